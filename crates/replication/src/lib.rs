//! Replicates orders of maintenance (a cache node out of service, or back) between the proxies of a group. Decisions
//! alone: no I/O, no clock, no chance of its own. `docs/replication.md` has the options weighed, the rule for orders that
//! differ and what is promised.
//!
//! Each process drives a [`Replica`]: one method for each thing that can happen, which acts by calls to its [`Host`].
//! Replication is eventually consistent: it must never be leaned on by a rule that needs something to be true at once.

mod actions;
mod fault_injection;
mod link;
mod map;
mod message;
mod order;
mod peers;
mod replica;
mod status;
mod vector;

pub use actions::{Action, ActionQueue};
pub use fault_injection::{Fault, inject};
pub use link::LinkId;
pub use map::{JoinOutcome, OrderMap, Snapshot};
pub use message::{Chunk, Knowledge, Message, Summary};
pub use order::{Entry, Lease, Order, Refusal, ReplicaId, ServiceState, Slot, Stamp, effective_state};
pub use replica::{Host, Now, Replica, ReplicaConfig, Report};
pub use status::Status;
pub use vector::VersionVector;

/// Whole nanoseconds.
pub type Nanos = u64;
const MILLISECOND: Nanos = 1_000_000;
/// One second.
pub const SECOND: Nanos = 1_000 * MILLISECOND;
