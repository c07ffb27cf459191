//! Carries versioned resources of configuration from the record that a fleet agrees on, through its control machines, down to
//! every proxy, and sums what is in force on the way up. Decisions alone: no I/O, no clock, no chance of its own.
//! `docs/carrier.md` has the options weighed, the scheme and what is promised.
//!
//! Each process drives a [`Node`]: one method for each thing that can happen, which acts by calls to its [`Host`]. Whoever
//! holds the lease `carrier` drives a [`Publisher`] beside it. Times are whole nanoseconds of the process's own clock; only
//! spans are ever sent, never points in time.

mod children;
mod force;
mod hash;
mod message;
mod node;
mod parents;
mod planted;
mod publisher;
mod resource;
mod store;
mod sums;

pub use message::{Attachment, Down, Exception, Member, Sum, Up, Why};
pub use node::{Child, Host, Node, Terms};
pub use planted::{Fault, plant};
pub use publisher::{Change, Outcome, Publisher, PublisherHost, Written};
pub use resource::{Interest, Name, Place, Resource, Scope, Version};
pub use store::Kept;

/// Whole nanoseconds.
pub type Nanos = u64;
const MILLISECOND: Nanos = 1_000_000;
const SECOND: Nanos = 1_000 * MILLISECOND;
