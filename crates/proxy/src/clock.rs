//! The proxy's only clock: the Unix time at the start plus the monotonic time since. Its times can be
//! compared with those that discovery gives, and it never steps back when the system clock does.

use pumicebay_core::Nanos;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// Nanoseconds per millisecond, the unit of times in the protocols.
pub const MILLIS: Nanos = 1_000_000;

/// A clock that yields Unix time in nanoseconds.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    unix_start: Nanos,
    start: Instant,
}

impl Clock {
    /// Starts the clock at the current Unix time.
    pub fn start() -> Clock {
        let unix_start = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { unix_start: unix_start.as_nanos() as Nanos, start: Instant::now() }
    }

    /// The current time.
    pub fn now(&self) -> Nanos {
        self.at(Instant::now())
    }

    /// The time of an `Instant`; the start time for one before the start.
    pub fn at(&self, instant: Instant) -> Nanos {
        self.unix_start + instant.saturating_duration_since(self.start).as_nanos() as Nanos
    }

    /// The `Instant` of a time; the start for a time before it.
    pub fn instant(&self, at: Nanos) -> Instant {
        self.start + Duration::from_nanos(at.saturating_sub(self.unix_start))
    }
}
