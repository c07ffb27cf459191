//! The decisions, one matter a module.

pub mod deadline;
