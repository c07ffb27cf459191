//! The one clock of the proxy: Unix time when it started plus what a steady clock has counted since. It
//! can be compared with the times that discovery gives, and never steps back when the machine's does.

use pumicebay_core::Nanos;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// The sockets' times are milliseconds.
pub const MILLIS: Nanos = 1_000_000;

#[derive(Clone, Copy, Debug)]
pub struct Clock {
    unix_start: Nanos,
    start: Instant,
}

impl Clock {
    pub fn start() -> Clock {
        let unix_start = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { unix_start: unix_start.as_nanos() as Nanos, start: Instant::now() }
    }

    pub fn now(&self) -> Nanos {
        self.at(Instant::now())
    }

    pub fn at(&self, instant: Instant) -> Nanos {
        self.unix_start + instant.saturating_duration_since(self.start).as_nanos() as Nanos
    }

    pub fn instant(&self, at: Nanos) -> Instant {
        self.start + Duration::from_nanos(at.saturating_sub(self.unix_start))
    }
}
