//! The decisions of a proxy, one subject per module. Each module adds methods to
//! [`Balancer`](crate::balancer::Balancer), which holds the state. Constants that several modules share are
//! here.

mod attempts;
pub mod deadline;
mod events;
mod health;
mod hedging;
mod limits;
pub mod membership;
mod origin;
mod placement;
mod queueing;

use crate::host::Nanos;

pub(crate) const SECOND: Nanos = 1_000_000_000;
/// The interval between ticks.
pub(crate) const TICK: Nanos = SECOND / 10;
/// The most keys in the replica table.
pub(crate) const MAX_TABLE_KEYS: usize = 1 << 16;
/// A node leaves a key's replicas when not picked for this long.
pub(crate) const REPLICA_IDLE_TIMEOUT: Nanos = 10 * SECOND;
/// How long a load report counts. Queues change quickly, so it is short.
pub(crate) const REPORT_LIFETIME: Nanos = SECOND / 2;
/// The least number of answers in a bucket of time that makes its mean usable.
pub(crate) const MIN_SAMPLES: u32 = 10;
/// Requests that all proxies together may have in flight while nothing has been measured.
pub(crate) const INITIAL_REQUESTS: f64 = 9.0;
/// Answers are quick when they take less than the shortest objective divided by this. The minimum limit is
/// then scaled up by as much as they are quicker.
pub(crate) const QUICK_DIVISOR: f64 = 3.0;
/// The most requests that unused concurrency adds up to. With a limit below one, a request is sent each time
/// that enough credit has been earned.
pub(crate) const MAX_BURST_CREDIT: f64 = 3.0;
/// A request waits for capacity, and a shed client before it retries, for the latency objective divided by
/// this.
pub(crate) const WAIT_DIVISOR: u64 = 8;
/// A fetch waits to begin for the latency objective divided by this.
pub(crate) const ORIGIN_WAIT_DIVISOR: u64 = 3;
