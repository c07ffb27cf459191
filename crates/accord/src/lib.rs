//! One small record that the processes of a fleet agree on, and leases that two never hold at once. Decisions alone: no
//! I/O, no clock, no chance of its own. `docs/accord.md` has the options weighed, the scheme and what is promised.
//!
//! A process that votes drives a [`Voter`]: one method for each thing that can happen, which acts by calls to its
//! [`Host`]. Who wants a lease drives a [`Holding`] and sends the [`Ask`]s that it gives to any voter. Times are whole
//! nanoseconds of the process's own clock, which must run on through suspension and stay within the stated drift.

mod apply;
mod effects;
mod fencing;
mod lease_client;
mod message;
mod planted;
mod presence;
mod probe_coordinator;
mod record;
mod round;
mod voter;

pub use apply::outlasted;
pub use effects::Acts;
pub use fencing::{Fences, Passage};
pub use lease_client::{Held, Holding};
pub use message::{Answer, Ask, AskId, Ballot, Message, Reply, Shared, Want};
pub use planted::{Fault, plant, planted};
pub use presence::{Presence, Seen};
pub use probe_coordinator::{Watch, WatchHost};
pub use record::{Entry, Holder, LARGEST, Lease, Member, Name, Record, Store, Token};
pub use voter::{Host, Kept, Standing, Terms, Voter};

/// Whole nanoseconds.
pub type Nanos = u64;
