//! A small record that the processes of a fleet agree on by majority vote, and leases of which at most one
//! process holds each at a time. This crate makes decisions only: it does no I/O, reads no clock and draws no
//! random numbers.
//!
//! A process that votes drives a [`Voter`]: the voter has one method for each event, and reacts by calling
//! its [`Host`]. A process that wants a lease drives a [`LeaseClient`] and sends the [`Operation`]s that it
//! returns to any voter. Times are whole nanoseconds of the process's own clock, which must keep running
//! while the machine is suspended and must stay within the configured drift.

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

/// A time or a duration in whole nanoseconds.
pub type Nanos = u64;
