//! The list of nodes: reading it from discovery, from the configuration and from the file of an earlier process.

pub mod configured_list;
pub mod entries;
pub mod list;
pub mod saved_list;
