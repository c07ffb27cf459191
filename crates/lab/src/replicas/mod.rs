//! Runs a group of real proxies on loopback that replicate maintenance orders, with faults of their links and
//! processes: links that drop in one direction or both, delays, resets, and processes that are stopped,
//! killed, and started again with an intact, empty, corrupted, outdated or foreign disk. A run reports
//! violations, among them requests sent to nodes that were out of service, and how long the group took to
//! converge.
//!
//! | file | purpose |
//! | --- | --- |
//! | `group.rs` | the processes, their relays, their disks |
//! | `faults.rs` | the faults, drawn from the seed |
//! | `nodes.rs` | stand-ins for cache nodes and the origin; the cache nodes record which proxy sent a request and when |
//! | `expected.rs` | the state that the replicas must reach, computed from the accepted orders |

mod expected;
mod faults;
mod group;
mod nodes;

use crate::replicas::expected::ExpectedState;
use crate::replicas::faults::Fault;
use crate::replicas::group::Group;
use anyhow::{Result, ensure};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::path::Path;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Number of proxies.
pub const PROXIES: usize = 12;
/// Number of cache nodes.
const NODES: usize = 3;
/// Number of faults of a run.
const FAULTS: usize = 10;
/// The longest pause after a fault.
const MAX_PAUSE: Duration = Duration::from_millis(1500);
/// Within this time after the start all processes have links and equal replicas.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Within this time after the last fault is undone the group has to converge.
const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(60);
/// Between two queries of the proxies' states.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The result of a run.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// One line for each violation.
    pub violations: Vec<String>,
    /// Number of orders that the proxies accepted.
    pub orders: usize,
    /// The faults, in Debug form.
    pub faults: Vec<String>,
    /// From the repair of the last fault until every proxy had the expected state, or until the run gave up
    /// on that.
    pub converged_after: Duration,
    /// Number of requests that cache nodes received.
    pub requests: usize,
}

/// Runs a seed with this program as proxy. Returns an error if the group does not start, a fault can't be
/// applied or too few orders are accepted; violations are part of the outcome.
pub async fn run(seed: u64, program: &Path) -> Result<Outcome> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let nodes = nodes::start(NODES).await?;
    let mut group = Group::start(PROXIES, &nodes, program).await?;
    let (mut expected, mut outcome) = (ExpectedState::default(), Outcome::default());
    group.wait_until_equal(READY_TIMEOUT).await?;
    let clients = nodes::start_clients(&group.addresses());
    for _ in 0..FAULTS {
        send_order(&mut group, &mut expected, &mut rng).await;
        let fault = Fault::draw(&mut rng, PROXIES);
        outcome.faults.push(format!("{fault:?}"));
        fault.apply(&mut group, &mut expected, &mut rng).await?;
        sleep(MAX_PAUSE.mul_f64(rng.random())).await;
        send_order(&mut group, &mut expected, &mut rng).await;
    }
    group.repair().await?;
    let repaired_at = Instant::now();
    loop {
        let mismatch = expected.mismatch(&group.statuses().await, PROXIES);
        if mismatch.is_none() {
            break;
        }
        if repaired_at.elapsed() > CONVERGENCE_TIMEOUT {
            outcome.violations.extend(mismatch);
            break;
        }
        sleep(POLL_INTERVAL).await;
    }
    outcome.converged_after = repaired_at.elapsed();
    clients.abort();
    outcome.orders = expected.accepted_count();
    outcome.requests = nodes.request_count();
    ensure!(outcome.orders > FAULTS / 2, "only {} orders were accepted", outcome.orders);
    outcome.violations.extend(expected::sent_while_out(&group.out_of_service_intervals(), &nodes));
    outcome.violations.extend(group.unexpected_exits());
    Ok(outcome)
}

/// Sends an operator's order for a random node to a random proxy, and notes it if it is accepted.
async fn send_order(group: &mut Group, expected: &mut ExpectedState, rng: &mut SmallRng) {
    let (proxy, node) = (rng.random_range(0..PROXIES), rng.random_range(0..NODES));
    let lease = match rng.random_range(0..3) {
        0 => None,
        number => Some((format!("lease{number}"), rng.random_range(1..6))),
    };
    let order = expected::Order { node: nodes::uid(node), out: rng.random(), lease };
    if let Some(stamp) = group.send_order(proxy, &order).await {
        expected.order_accepted(proxy, order, stamp);
    }
}
