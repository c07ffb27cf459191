//! Who a process is to the others of its fleet, and its clock.

use crate::fleet::config::FleetConfig;
use pumicebay_accord::{Nanos, ProcessId};
use rustix::time::{ClockId, clock_gettime};
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// A clock that runs on while the machine is suspended, as leases need; a steady one that stops then would let a holder
/// act on a lease that has ended. A rig may have it run fast or slow.
#[derive(Clone, Copy, Debug)]
pub struct FleetClock {
    pub ppm: i64,
}

impl FleetClock {
    pub fn new(ppm: i64) -> FleetClock {
        FleetClock { ppm }
    }

    pub fn now(self) -> Nanos {
        let time = clock_gettime(ClockId::Boottime);
        let nanos = i128::from(time.tv_sec) * 1_000_000_000 + i128::from(time.tv_nsec);
        (nanos + nanos * i128::from(self.ppm) / 1_000_000) as Nanos
    }

    /// How long until then, at the least.
    pub fn until(self, time: Nanos) -> Duration {
        Duration::from_nanos(time.saturating_sub(self.now()))
    }
}

/// A number that nobody else draws.
pub fn random_id() -> u64 {
    use std::hash::{BuildHasher, Hasher};
    std::hash::RandomState::new().build_hasher().finish().max(1)
}

/// Unix time by the machine's clock.
pub fn unix_time() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}

/// A number that is higher at each start, as long as the machine's clock does not go back.
pub fn new_incarnation() -> u64 {
    unix_time().as_micros() as u64
}

/// Who this process is to the others.
#[derive(Clone, Debug)]
pub struct LocalProcess {
    pub id: ProcessId,
    pub config: Arc<FleetConfig>,
    pub clock: FleetClock,
}

impl LocalProcess {
    pub fn new(name: &str, config: Arc<FleetConfig>) -> LocalProcess {
        let clock = FleetClock::new(config.clock_ppm);
        LocalProcess { id: ProcessId { name: name.into(), incarnation: new_incarnation() }, config, clock }
    }
}
