//! The proxy on sockets: actors round the decisions of `pumicebay-core`. Start reading at [`serve`].

pub mod arrival;
pub mod bans;
pub mod cli;
pub mod clients;
pub mod clock;
pub mod config;
pub mod counters;
pub mod desk;
pub mod fleet;
pub mod heir;
pub mod http;
pub mod list;
pub mod listen;
pub mod long;
pub mod memory;
pub mod migrate;
pub mod module;
pub mod node;
pub mod operator;
pub mod phases;
pub mod resp;
pub mod room;
pub mod serve;
pub mod sound;
pub mod tuning;
pub mod turns;
