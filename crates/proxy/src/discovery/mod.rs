//! The list of nodes: how discovery and the configuration tell it, and who follows it.

pub mod entries;
pub mod known;
pub mod left;
pub mod list;
