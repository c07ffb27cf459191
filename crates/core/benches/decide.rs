//! Cost of a decision by the number of nodes: `cargo bench -p pumicebay-core --bench decide`.
//!
//! One proxy with a host that only records its sends. Keys follow a Zipf distribution and are held by the
//! nodes. There are half as many requests in flight as nodes, at most 2,000, and requests arrive at 20,000
//! per second. Ticks are included. Prints the mean time, the longest call into the balancer and heap
//! allocations, the first and last per request from its arrival to its outcome.

use pumicebay_core::settings::Value;
use pumicebay_core::{
    Balancer, Host, ListedNode, Nanos, Node, NodeStatus, Outcome, RequestId, RequestParams, Settings,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Zipf};
use stats_alloc::{INSTRUMENTED_SYSTEM, Region, StatsAlloc};
use std::alloc::System;
use std::collections::VecDeque;
use std::time::{Duration, Instant};

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

const SECOND: Nanos = 1_000_000_000;
const ARRIVAL_INTERVAL: Nanos = 50_000;
const TICK: Nanos = SECOND / 10;
const KEYS: f64 = 100_000.0;

#[derive(Default)]
struct RecordingHost {
    sent: Vec<(RequestId, Node)>,
    ticks: VecDeque<Nanos>,
}

impl Host for RecordingHost {
    fn send(&mut self, id: RequestId, node: Node, _timeout: Nanos) {
        self.sent.push((id, node));
    }
    fn shed(&mut self, _id: RequestId, _pause: Nanos) {}
    fn error(&mut self, _id: RequestId) {}
    fn release_request(&mut self, _id: RequestId) {}
    fn set_timer(&mut self, at: Nanos, token: u64) {
        if token == 0 {
            self.ticks.push_back(at);
        }
    }
    fn probe(&mut self, _node: Node) {}
    fn release_node(&mut self, _node: Node) {}
    fn watch_node_list(&mut self) {}
    fn log(&mut self, _line: &str) {}
}

fn listed(node: Node, status: NodeStatus) -> ListedNode {
    let identity = 0x9e37_79b9_7f4a_7c15_u64.wrapping_mul(node as u64 + 1);
    ListedNode { identity, status, origin: node == 0, ..ListedNode::default() }
}

fn settings() -> Settings {
    let mut settings = Settings::default();
    let base = [
        ("routes", Value::Number(1.0)),
        ("route.0.repeat", Value::Text("retriable".into())),
        ("route.0.objective", Value::Time(SECOND)),
        ("most_tries", Value::Number(4.0)),
        ("fleet", Value::Number(1.0)),
        ("probes", Value::Flag(true)),
        ("cold", Value::Time(20 * SECOND)),
        ("fall", Value::Time(SECOND)),
        ("start_capacity", Value::Number(0.1)),
    ];
    base.into_iter().for_each(|(name, value)| settings.put(name, value));
    settings
}

/// What the requests and the node list look like.
#[derive(Clone, Copy, PartialEq)]
enum Workload {
    Steady,
    /// One node in a hundred leaves or rejoins each second.
    Flapping,
    /// Every request has a new key.
    UniqueKeys,
    /// A quarter of all requests are for one key.
    HotKey,
}

struct Cost {
    mean: Duration,
    longest: Duration,
    allocations: f64,
}

fn measure(nodes: usize, workload: Workload, requests: u64) -> Cost {
    let mut balancer = Balancer::new(RecordingHost::default(), settings(), 1, 100 * SECOND);
    let mut now = 100 * SECOND;
    for node in 0..=nodes {
        balancer.node_listed(now, node, listed(node, NodeStatus::Ready));
    }
    balancer.list_completed(&(0..=nodes).collect::<Vec<_>>());
    let (mut rng, zipf) =
        (ChaCha8Rng::seed_from_u64(1), Zipf::new(KEYS, 1.0).expect("valid Zipf parameters"));
    let max_in_flight = (nodes / 2 + 2).min(2000);
    let mut in_flight = VecDeque::with_capacity(max_in_flight + 1);
    balancer.host.sent.reserve(max_in_flight);
    let (mut total, mut longest, mut flap_count) = (Duration::ZERO, Duration::ZERO, 0);
    let warm_up = requests;
    let mut region = Region::new(ALLOCATOR);
    for id in 1..=warm_up + requests {
        now += ARRIVAL_INTERVAL;
        let key = match workload {
            Workload::UniqueKeys => id.wrapping_mul(0x9e37_79b9_7f4a_7c15),
            Workload::HotKey if id % 4 == 0 => 7,
            _ => (zipf.sample(&mut rng) as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15),
        };
        if id == warm_up + 1 {
            (total, longest) = (Duration::ZERO, Duration::ZERO);
            region = Region::new(ALLOCATOR);
        }
        let mut timed = |balancer: &mut Balancer<RecordingHost>,
                         call: &mut dyn FnMut(&mut Balancer<RecordingHost>)| {
            let started = Instant::now();
            call(balancer);
            let elapsed = started.elapsed();
            total += elapsed;
            longest = longest.max(elapsed);
        };
        while balancer.host.ticks.front().is_some_and(|at| *at <= now) {
            balancer.host.ticks.pop_front();
            timed(&mut balancer, &mut |balancer| balancer.timer_fired(now, 0));
        }
        let second = SECOND * 100 / (nodes as u64).max(1);
        if workload == Workload::Flapping && now / second > (now - ARRIVAL_INTERVAL) / second {
            flap_count += 1;
            let node = 1 + flap_count / 2 * 7 % nodes;
            let status = if flap_count % 2 == 1 { NodeStatus::Gone } else { NodeStatus::Ready };
            timed(&mut balancer, &mut |balancer| balancer.node_listed(now, node, listed(node, status)));
        }
        let params = RequestParams { key: Some(key), client_timeout: 2 * SECOND, ..RequestParams::default() };
        timed(&mut balancer, &mut |balancer| balancer.request_arrived(now, id, params));
        in_flight.extend(balancer.host.sent.drain(..));
        while in_flight.len() > max_in_flight {
            let Some((id, _)) = in_flight.pop_front() else { break };
            timed(&mut balancer, &mut |balancer| {
                balancer.attempt_ended(now, id, 0, Outcome::Completed, true)
            });
            in_flight.extend(balancer.host.sent.drain(..));
        }
    }
    let allocations = region.change().allocations as f64 / requests as f64;
    assert!(now > TICK);
    Cost { mean: total / requests as u32, longest, allocations }
}

fn main() {
    println!("| nodes | workload | µs per request | longest call, µs | allocations per request |");
    println!("| --- | --- | --- | --- | --- |");
    let workloads = [
        (Workload::Steady, "steady"),
        (Workload::Flapping, "1% of nodes flap each second"),
        (Workload::UniqueKeys, "unique keys"),
        (Workload::HotKey, "one key gets a quarter"),
    ];
    for (workload, name) in workloads {
        for nodes in [10, 100, 1000, 10_000] {
            let quick = std::env::args().any(|arg| arg == "--quick");
            let cost = measure(nodes, workload, if quick { 2_000 } else { 60_000 });
            println!(
                "| {nodes} | {name} | {:.2} | {:.0} | {:.2} |",
                cost.mean.as_nanos() as f64 / 1000.0,
                cost.longest.as_nanos() as f64 / 1000.0,
                cost.allocations
            );
        }
    }
}
