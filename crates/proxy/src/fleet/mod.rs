//! The fleet: links between processes of the program, the record that they agree on, and leases. Nothing here runs, listens
//! or allocates unless the configuration has a section `fleet`. The choices are those of `pumicebay-accord`; this folder
//! carries them out.
//!
//! | file | job |
//! | --- | --- |
//! | `config.rs` | the section `fleet`, read and checked |
//! | `wire.rs` | frames, the hello, which versions understand each other |
//! | `store.rs` | a voter's disk: one file, synced, with a checksum and a lock |
//! | `seat.rs` | the voter: an actor that owns the `Voter` and its disk |
//! | `inbound.rs` | who calls a voter |
//! | `outbound.rs` | the links that a process keeps to the voters; beats, reconnects |
//! | `asker.rs` | asks voters until one answers |
//! | `probes.rs` | one process probes a node that is down for all of its zone |
//! | `lease.rs` | one lease held for as long as it is wanted |
//! | `command.rs`, `run.rs` | `pumicebay fleet ...` |

pub mod asker;
pub mod command;
pub mod config;
pub mod inbound;
pub mod lease;
pub mod outbound;
pub mod probes;
pub mod run;
pub mod seat;
pub mod store;
pub mod wire;

use crate::fleet::asker::Asker;
use crate::fleet::config::FleetConfig;
use crate::module::Desk;
use pumicebay_accord::{Holder, Nanos};
use rustix::time::{ClockId, clock_gettime};
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::task::JoinSet;

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
    pub fn until(self, at: Nanos) -> Duration {
        Duration::from_nanos(at.saturating_sub(self.now()))
    }
}

/// A number that nobody else draws.
pub fn draw() -> u64 {
    use std::hash::{BuildHasher, Hasher};
    std::hash::RandomState::new().build_hasher().finish().max(1)
}

/// A number that is higher at each start, as long as the machine's clock does not go back.
pub fn incarnation() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as u64
}

/// Who this process is to the others.
#[derive(Clone, Debug)]
pub struct Me {
    pub who: Holder,
    pub config: Arc<FleetConfig>,
    pub clock: FleetClock,
}

impl Me {
    pub fn new(name: &str, config: Arc<FleetConfig>) -> Me {
        let clock = FleetClock::new(config.clock_ppm);
        Me { who: Holder { name: name.into(), incarnation: incarnation() }, config, clock }
    }
}

/// Takes its part in the fleet: votes if it is to, and keeps links to the voters. Gives the way to ask them. Nothing that
/// fails here keeps a proxy from serving: what can't be opened is tried again.
pub fn start(me: &Me, desk: Desk, probes: probes::Mailbox, actors: &mut JoinSet<()>) -> Asker {
    let (door, mailbox) = seat::door();
    let listens = me.config.listens(&me.who.name);
    let own = listens.map(|_| door);
    let (links, answered, news) = outbound::start(me, wire::Role::Proxy, own.as_ref(), actors);
    if let (Some(at), Some(door)) = (listens, own.clone()) {
        actors.spawn(inbound::accept(me.clone(), door, at));
        actors.spawn(seat::run(me.clone(), links.clone(), mailbox));
    }
    let asker = asker::start(me, links.clone(), answered, own.clone(), actors);
    actors.spawn(probes::run(asker.clone(), links, own, desk, probes, news));
    asker
}

/// Links for a command, which votes nowhere.
pub fn start_command(me: &Me, actors: &mut JoinSet<()>) -> Asker {
    let (links, answered, _) = outbound::start(me, wire::Role::Command, None, actors);
    asker::start(me, links, answered, None, actors)
}
