mod failures;
mod fleet;
mod operations;
mod order;
mod path;
mod plain;
mod rig;
mod rules;
