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

pub use apply::max_lease_wait;
pub use effects::Effects;
pub use fencing::{FenceCheck, FencingTokens};
pub use lease_client::{HeldLease, LeaseClient};
pub use message::{Answer, Ballot, Message, Operation, OperationId, OperationKind, Reply, SharedRecord};
pub use planted::{Fault, plant, planted};
pub use presence::{PeerState, Presence};
pub use probe_coordinator::{ProbeCoordinator, ProbeHost};
pub use record::{Entry, Lease, MAX_RECORD_BYTES, Member, Name, ProcessId, Record, StoreId, Token};
pub use voter::{DurableState, Host, Voter, VoterConfig, VotingState};

/// Whole nanoseconds.
pub type Nanos = u64;
