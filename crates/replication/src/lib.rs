//! Replicates orders of maintenance (a cache node out of service, or back) between the proxies of a group. Decisions
//! alone: no I/O, no clock, no chance of its own. `docs/replication.md` has the options weighed, the rule for orders that
//! differ and what is promised.
//!
//! Each process drives a [`Replica`]: one method for each thing that can happen, which acts by calls to its [`Host`].
//! Replication is eventually consistent: it must never be leaned on by a rule that needs something to be true at once.

mod acts;
mod link;
mod map;
mod message;
mod order;
mod peers;
mod planted;
mod replica;
mod status;
mod vector;

pub use acts::{Act, Acts};
pub use link::LinkId;
pub use map::{Joined, Kept, Map};
pub use message::{Knowledge, Message, Part, Summary};
pub use order::{Entry, Lease, Order, Origin, Refusal, Service, Slot, Stamp, holds};
pub use planted::{Fault, plant};
pub use replica::{Host, Now, Replica, Report, Terms};
pub use status::Status;
pub use vector::Vector;

/// Whole nanoseconds.
pub type Nanos = u64;
const MILLISECOND: Nanos = 1_000_000;
/// One second.
pub const SECOND: Nanos = 1_000 * MILLISECOND;
