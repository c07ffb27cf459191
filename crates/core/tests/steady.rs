//! A hit in the steady state allocates nothing, in a test program of its own: allocations of all threads count.

use pumicebay_core::settings::Value;
use pumicebay_core::{Ask, Balance, Host, Listed, Nanos, Node, Outcome, RequestId, Settings, Standing};
use stats_alloc::{INSTRUMENTED_SYSTEM, Region, StatsAlloc};
use std::alloc::System;

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

const SECOND: Nanos = 1_000_000_000;

struct Quiet {
    last: Option<Node>,
}

impl Host for Quiet {
    fn send(&mut self, _xchg: RequestId, node: Node, _timeout: Nanos) {
        self.last = Some(node);
    }
    fn shed(&mut self, _xchg: RequestId, _pause: Nanos) {}
    fn error(&mut self, _xchg: RequestId) {}
    fn forget(&mut self, _xchg: RequestId) {}
    fn wake(&mut self, _at: Nanos, _token: u64) {}
    fn probe(&mut self, _node: Node) {}
    fn dismiss(&mut self, _node: Node) {}
    fn follow(&mut self) {}
    fn log(&mut self, _line: &str) {}
}

#[test]
fn a_hit_allocates_nothing() {
    let mut settings = Settings::default();
    settings.put("routes", Value::Number(1.0));
    settings.put("route.0.repeat", Value::Text("retriable".into()));
    settings.put("most_tries", Value::Number(4.0));
    for nodes in [10, 1000] {
        let mut now = 100 * SECOND;
        let mut balance = Balance::new(Quiet { last: None }, settings.clone(), 1, now);
        for node in 0..=nodes {
            let identity = node as u64 * 77 + 1;
            let standing = Standing::Ready;
            let listed = Listed { identity, origin: node == 0, standing, ..Listed::default() };
            balance.listed(now, node, listed);
        }
        let mut allocated = 0;
        // Requests for fifty keys, four at once, with ticks; what came before is the warm-up.
        for round in 0..20_000u64 {
            let region = Region::new(ALLOCATOR);
            now += SECOND / 10_000;
            for id in 4 * round + 1..=4 * round + 4 {
                let ask = Ask { key: Some(id % 50), grace: SECOND, ..Ask::default() };
                balance.arrived(now, id, ask);
            }
            for id in 4 * round + 1..=4 * round + 4 {
                balance.ended(now, id, 0, Outcome::Completed, true);
            }
            if round % 1000 == 0 {
                balance.woke(now, 0);
            }
            if round >= 10_000 {
                allocated += region.change().allocations;
            }
        }
        assert!(balance.host.last.is_some());
        assert_eq!(allocated, 0, "with {nodes} nodes");
    }
}
