//! A group of real proxies that replicate orders of maintenance, on loopback, with faults between and at them: links that
//! drop one way or both, delays, resets, processes that are stopped, killed, and started again with each kind of disk.
//! Plays a seed and says what was wrong, how long the group took to agree, and what was sent to nodes that were out.
//!
//! | file | job |
//! | --- | --- |
//! | `group.rs` | the processes, their relays, their disks |
//! | `faults.rs` | what goes wrong, drawn from the seed |
//! | `nodes.rs` | stand-ins of cache nodes and the origin, which note who asked them and when |
//! | `truth.rs` | what must hold, reckoned from the orders that were given |

mod faults;
mod group;
mod nodes;
mod truth;

use crate::replicas::faults::Fault;
use crate::replicas::group::Group;
use crate::replicas::truth::Truth;
use anyhow::{Result, ensure};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::path::Path;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Proxies of a play, and cache nodes.
pub const PROXIES: usize = 12;
const NODES: usize = 3;
/// Faults of a play, and the longest pause between two.
const FAULTS: usize = 10;
const PAUSE: Duration = Duration::from_millis(1500);
/// All processes link within this, and agree within this after the last fault.
const READY: Duration = Duration::from_secs(20);
const BOUND: Duration = Duration::from_secs(60);
const LOOK: Duration = Duration::from_millis(50);

/// What a play came to.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// What must not have been, in words.
    pub wrong: Vec<String>,
    /// Orders that were given, and faults.
    pub orders: usize,
    pub faults: Vec<String>,
    /// From the last fault until every proxy held what must hold.
    pub agreed_after: Duration,
    /// Requests that nodes got.
    pub requests: usize,
}

/// Plays a seed with this program as proxy.
pub async fn play(seed: u64, program: &Path) -> Result<Outcome> {
    let mut random = SmallRng::seed_from_u64(seed);
    let nodes = nodes::start(NODES).await?;
    let mut group = Group::start(PROXIES, &nodes, program).await?;
    let (mut truth, mut outcome) = (Truth::default(), Outcome::default());
    group.until_equal(READY).await?;
    let clients = nodes::ask_all(&group.addresses());
    for _ in 0..FAULTS {
        order(&mut group, &mut truth, &mut random).await;
        let fault = Fault::draw(&mut random, PROXIES);
        outcome.faults.push(format!("{fault:?}"));
        fault.strike(&mut group, &mut truth, &mut random).await?;
        sleep(PAUSE.mul_f64(random.random())).await;
        order(&mut group, &mut truth, &mut random).await;
    }
    group.heal().await?;
    let healed = Instant::now();
    loop {
        let lacking = truth.lacking(&group.statuses().await, PROXIES);
        if lacking.is_none() {
            break;
        }
        if healed.elapsed() > BOUND {
            outcome.wrong.extend(lacking);
            break;
        }
        sleep(LOOK).await;
    }
    outcome.agreed_after = healed.elapsed();
    clients.abort();
    outcome.orders = truth.given();
    outcome.requests = nodes.requests();
    ensure!(outcome.orders > FAULTS / 2, "only {} orders were given", outcome.orders);
    outcome.wrong.extend(truth::sent_while_out(&group.maintenance(), &nodes));
    outcome.wrong.extend(group.ended_by_themselves());
    Ok(outcome)
}

/// An operator's order at a proxy drawn by chance.
async fn order(group: &mut Group, truth: &mut Truth, random: &mut SmallRng) {
    let (at, node) = (random.random_range(0..PROXIES), random.random_range(0..NODES));
    let lease = match random.random_range(0..3) {
        0 => None,
        number => Some((format!("lease{number}"), random.random_range(1..6))),
    };
    let order = truth::Order { node: nodes::uid(node), out: random.random(), lease };
    if let Some(stamp) = group.order(at, &order).await {
        truth.was_given(at, order, stamp);
    }
}
