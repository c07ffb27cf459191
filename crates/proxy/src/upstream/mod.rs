//! Attempts and probes at cache nodes and at the origin, and the connections that carry them. The cost depends on the
//! traffic, not on the number of listed nodes. Which node gets what is decided in `pumicebay-core`, not here.

pub mod attempt;
pub mod connection;
pub mod pool;
pub mod protocol;
mod reply_wait;
pub mod settling;
