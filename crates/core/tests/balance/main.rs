mod failures;
mod operations;
mod path;
mod plain;
mod rig;
mod rules;
