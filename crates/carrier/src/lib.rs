//! Distributes versioned configuration resources from the record that a fleet agrees on, over its control
//! machines and relays, down to every proxy, and aggregates on the way up which version is in force where.
//! This crate only decides: it does no I/O, reads no clock and has no random source of its own.
//! `docs/carrier.md` describes the protocol, what it guarantees, and the alternatives that were considered.
//!
//! The processes form a tree. Its root is the control machine that holds the lease `carrier`; each other
//! process has one parent at most. A version is "in force" at a process once the process has applied it to
//! its running configuration.
//!
//! Each process drives a [`TreeNode`]: the process calls one method for each event, and the method acts by
//! calling the process's [`Host`]. The holder of the lease `carrier` also drives a [`Publisher`]. Times are
//! whole nanoseconds of the process's own clock; messages contain only durations, never points in time, since
//! clocks differ between processes.

mod apply_state;
mod children;
mod fault_injection;
mod hash;
mod message;
mod node;
mod parents;
mod publisher;
mod resource;
mod store;
mod summary;

pub use fault_injection::{InjectedFault, inject_fault};
pub use message::{Attachment, ChildMessage, Exception, ExceptionKind, Member, ParentMessage, Summary};
pub use node::{ChildId, Host, TreeNode, TreeNodeConfig};
pub use publisher::{Change, ChangeOutcome, Publisher, PublisherHost, WriteOutcome};
pub use resource::{Interest, Location, Name, Resource, Scope, Version};
pub use store::Snapshot;

/// Whole nanoseconds, as a duration or as a point in time of the process's own clock.
pub type Nanos = u64;
const MILLISECOND: Nanos = 1_000_000;
const SECOND: Nanos = 1_000 * MILLISECOND;
