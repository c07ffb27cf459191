//! The identity of this process in its fleet, and its clock.

use crate::fleet::config::FleetConfig;
use pumicebay_accord::{Nanos, ProcessId};
use rustix::time::{ClockId, clock_gettime};
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// The clock for leases. It keeps running while the machine is suspended; a monotonic clock that stops then
/// would let a holder act on a lease that has expired. Tests can let it run fast or slow.
#[derive(Clone, Copy, Debug)]
pub struct FleetClock {
    /// How much faster than real time it runs, in parts per million.
    pub ppm: i64,
}

impl FleetClock {
    /// A clock that runs `ppm` parts per million faster than real time.
    pub fn new(ppm: i64) -> FleetClock {
        FleetClock { ppm }
    }

    /// The time since boot, in nanoseconds.
    pub fn now(self) -> Nanos {
        let time = clock_gettime(ClockId::Boottime);
        let nanos = i128::from(time.tv_sec) * 1_000_000_000 + i128::from(time.tv_nsec);
        (nanos + nanos * i128::from(self.ppm) / 1_000_000) as Nanos
    }

    /// The time left until `time`; zero if it has passed.
    pub fn until(self, time: Nanos) -> Duration {
        Duration::from_nanos(time.saturating_sub(self.now()))
    }
}

/// A random number above 0, used as a unique id or as a seed.
pub fn random_id() -> u64 {
    use std::hash::{BuildHasher, Hasher};
    std::hash::RandomState::new().build_hasher().finish().max(1)
}

/// The Unix time of the machine's clock.
pub fn unix_time() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}

/// An incarnation number for this process: the Unix time in microseconds. It is higher at each start unless
/// the machine's clock was set back.
pub fn new_incarnation() -> u64 {
    unix_time().as_micros() as u64
}

/// The identity, configuration and clock of this process.
#[derive(Clone, Debug)]
pub struct LocalProcess {
    /// The name and incarnation.
    pub id: ProcessId,
    /// The section `fleet` of the configuration.
    pub config: Arc<FleetConfig>,
    /// The clock for leases.
    pub clock: FleetClock,
}

impl LocalProcess {
    /// The process `name`, with a new incarnation.
    pub fn new(name: &str, config: Arc<FleetConfig>) -> LocalProcess {
        let clock = FleetClock::new(config.clock_ppm);
        LocalProcess { id: ProcessId { name: name.into(), incarnation: new_incarnation() }, config, clock }
    }
}
