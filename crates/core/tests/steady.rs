//! A cache hit in the steady state allocates no memory. This is a test program of its own because the
//! allocations of all threads are counted.

use pumicebay_core::settings::Value;
use pumicebay_core::{
    Balancer, Host, ListedNode, Nanos, Node, NodeStatus, Outcome, RequestId, RequestParams, Settings,
};
use stats_alloc::{INSTRUMENTED_SYSTEM, Region, StatsAlloc};
use std::alloc::System;

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

const SECOND: Nanos = 1_000_000_000;

struct LastNodeHost {
    last: Option<Node>,
}

impl Host for LastNodeHost {
    fn send(&mut self, _id: RequestId, node: Node, _timeout: Nanos) {
        self.last = Some(node);
    }
    fn shed(&mut self, _id: RequestId, _pause: Nanos) {}
    fn error(&mut self, _id: RequestId) {}
    fn release_request(&mut self, _id: RequestId) {}
    fn set_timer(&mut self, _at: Nanos, _token: u64) {}
    fn probe(&mut self, _node: Node) {}
    fn release_node(&mut self, _node: Node) {}
    fn watch_node_list(&mut self) {}
    fn log(&mut self, _line: &str) {}
}

#[test]
fn a_hit_in_the_steady_state_allocates_nothing() {
    let mut settings = Settings::default();
    settings.put("routes", Value::Number(1.0));
    settings.put("route.0.repeat", Value::Text("retriable".into()));
    settings.put("most_tries", Value::Number(4.0));
    for nodes in [10, 1000] {
        let mut now = 100 * SECOND;
        let mut balancer = Balancer::new(LastNodeHost { last: None }, settings.clone(), 1, now);
        for node in 0..=nodes {
            let identity = node as u64 * 77 + 1;
            let status = NodeStatus::Ready;
            let listed = ListedNode { identity, origin: node == 0, status, ..ListedNode::default() };
            balancer.node_listed(now, node, listed);
        }
        let mut allocated = 0;
        // Requests for fifty keys, four at a time, with ticks. The first 10,000 rounds warm up.
        for round in 0..20_000u64 {
            let region = Region::new(ALLOCATOR);
            now += SECOND / 10_000;
            for id in 4 * round + 1..=4 * round + 4 {
                let params =
                    RequestParams { key: Some(id % 50), client_timeout: SECOND, ..RequestParams::default() };
                balancer.request_arrived(now, id, params);
            }
            for id in 4 * round + 1..=4 * round + 4 {
                balancer.attempt_ended(now, id, 0, Outcome::Completed, true);
            }
            if round % 1000 == 0 {
                balancer.timer_fired(now, 0);
            }
            if round >= 10_000 {
                allocated += region.change().allocations;
            }
        }
        assert!(balancer.host.last.is_some());
        assert_eq!(allocated, 0, "allocations with {nodes} nodes");
    }
}
