//! The emulated world around the proxies: cache nodes, an origin, clients, discovery, the network, and a
//! timeline of faults. The crate does no I/O and keeps no clock. A driver, in virtual time or on sockets,
//! passes events with their times to each part and carries out what the part requests. Times are whole
//! nanoseconds.
//!
//! The default values are assumptions, not measurements of real machines. `docs/lab.md` lists what the model
//! leaves out.

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

/// A point in time, from the start of the scenario, or a duration, in nanoseconds.
pub type Nanos = u64;
/// One second in nanoseconds.
pub const SECOND: Nanos = 1_000_000_000;

/// Converts seconds to nanoseconds. Negative and NaN values give 0, values that are too large the maximum.
pub fn seconds(seconds: f64) -> Nanos {
    (seconds * 1e9) as Nanos
}

/// Converts milliseconds to nanoseconds, with the same limits as `seconds`.
pub fn millis(millis: f64) -> Nanos {
    (millis * 1e6) as Nanos
}
