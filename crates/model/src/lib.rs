//! The emulated world round the proxies: cache nodes, an origin, clients, discovery and the network, and a
//! timeline of what goes wrong with them. It does no I/O and keeps no clock: whoever plays a day tells each
//! part what happens and when, and carries out what the part asks for. Times are whole nanoseconds.
//!
//! Nothing here was measured on real machines. What is left out is told in `docs/lab.md`.

pub mod faults;
pub mod network;
pub mod node;
pub mod origin;
pub mod registry;
pub mod seeds;
pub mod spec;
pub mod station;
pub mod store;
pub mod traffic;

/// A time, or a span of it, in nanoseconds.
pub type Nanos = u64;
pub const SECOND: Nanos = 1_000_000_000;

/// A span given in seconds; below zero or beyond reason it ends at the nearest that can be had.
pub fn seconds(span: f64) -> Nanos {
    (span * 1e9) as Nanos
}

/// A span given in milliseconds.
pub fn millis(span: f64) -> Nanos {
    (span * 1e6) as Nanos
}
