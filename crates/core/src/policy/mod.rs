//! The decisions of a proxy, one matter a module: each adds methods to [`Balance`](crate::balance::Balance),
//! which holds the state. Numbers that several modules share stand here.

mod attempts;
pub mod deadline;
mod events;
mod health;
mod limits;
mod membership;
mod origin;
mod placement;
mod queueing;

use crate::host::Nanos;

pub(crate) const SECOND: Nanos = 1_000_000_000;
pub(crate) const TICK: Nanos = SECOND / 10;
/// Keys in the table; members leave their set when unpicked for so long.
pub(crate) const TABLE_KEYS: usize = 1 << 16;
pub(crate) const UNPICKED: Nanos = 10 * SECOND;
/// How long a report counts: a queue is gone soon.
pub(crate) const REPORT_LAST: Nanos = SECOND / 2;
/// So many answers in a bucket of time are enough to measure by.
pub(crate) const ENOUGH: u32 = 10;
/// What is allowed while nothing is measured: so many requests for the whole fleet of proxies.
pub(crate) const FEW: f64 = 9.0;
/// Answers are quick below the shortest objective over this: the least room is then so many times as large.
pub(crate) const QUICK: f64 = 3.0;
/// Requests that unused room adds up to at most: a part below one is one now and then.
pub(crate) const SAVED: f64 = 3.0;
/// What a request waits for room, a shed client to come back, or a fetch to begin: its objective over this.
pub(crate) const PATIENCE: u64 = 8;
pub(crate) const ORIGIN_PATIENCE: u64 = 3;
