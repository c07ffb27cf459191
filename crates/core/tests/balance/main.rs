mod failures;
mod path;
mod rig;
mod rules;
