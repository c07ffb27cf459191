mod failures;
mod path;
mod plain;
mod rig;
mod rules;
