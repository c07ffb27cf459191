//! A real proxy process between peers that are slow, fast or rude: nodes that pause anywhere in a reply, clients that send
//! at full speed, read slowly or leave, and processes that follow one another at one address.

mod bad_long_writes;
mod clients;
mod departures;
mod discovery;
mod fast_clients;
mod nodes;
mod paused_replies;
mod process;
mod replaced_nodes;
mod slow_crowds;
mod slow_readers;
mod soak;
