mod failures;
mod operations;
mod order;
mod path;
mod plain;
mod rig;
mod rules;
