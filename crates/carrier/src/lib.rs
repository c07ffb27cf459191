//! Carries versioned resources of configuration from the record that a fleet agrees on, through its control machines, down to
//! every proxy, and sums what is in force on the way up. Decisions alone: no I/O, no clock, no chance of its own.
//! `docs/carrier.md` has the options weighed, the scheme and what is promised.
//!
//! Each process drives a [`Node`]: one method for each thing that can happen, which acts by calls to its [`Host`]. Whoever
//! holds the lease `carrier` drives a [`Publisher`] beside it. Times are whole nanoseconds of the process's own clock; only
//! spans are ever sent, never points in time.

mod message;
mod resource;

pub use message::{Down, Exception, Member, Sum, Up, Why};
pub use resource::{Interest, Name, Place, Resource, Scope, Version};

/// Whole nanoseconds.
pub type Nanos = u64;
