//! Replicates maintenance orders (a cache node is out of service, or back in service) between the proxies of
//! a group. The crate only decides: it has no I/O, no clock and no randomness of its own.
//!
//! Each process drives one [`Replica`]: it calls a method for each event, and the replica responds through
//! its [`Host`]. Orders are merged by a join semilattice, so messages may be lost, repeated or reordered.
//!
//! Replication is eventually consistent. No rule that needs a state to hold everywhere at once may depend on
//! it.
//!
//! The design and its guarantees are described in `docs/replication.md`.

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

/// A time or duration in whole nanoseconds.
pub type Nanos = u64;
const MILLISECOND: Nanos = 1_000_000;
/// One second in nanoseconds.
pub const SECOND: Nanos = 1_000 * MILLISECOND;
