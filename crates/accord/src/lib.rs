//! One small record that the processes of a fleet agree on, and leases that two never hold at once. Decisions alone: no
//! I/O, no clock, no chance of its own. `docs/accord.md` has the options weighed, the scheme and what is promised.
//!
//! A process that votes drives a [`Voter`]: one method for each thing that can happen, which acts by calls to its
//! [`Host`]. Who wants a lease drives a [`Holding`] and sends the [`Ask`]s that it gives to any voter. Times are whole
//! nanoseconds of the process's own clock, which must run on through suspension and stay within the stated drift.

mod acts;
mod fences;
mod holding;
mod judge;
mod message;
mod planted;
mod presence;
mod record;
mod round;
mod voter;
mod watch;

pub use acts::Acts;
pub use fences::{Fences, Passage};
pub use holding::{Held, Holding};
pub use judge::outlasted;
pub use message::{Answer, Ask, AskId, Ballot, Message, Reply, Shared, Want};
pub use planted::{Fault, plant, planted};
pub use presence::{Presence, Seen};
pub use record::{Entry, Holder, LARGEST, Lease, Member, Name, Record, Store, Token};
pub use voter::{Host, Kept, Standing, Terms, Voter};
pub use watch::{Watch, WatchHost};

/// Whole nanoseconds.
pub type Nanos = u64;
