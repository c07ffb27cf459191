//! Test fixture: a proxy whose host records what it is asked to do.

use expect_test::Expect;
use pumicebay_core::settings::Value;
use pumicebay_core::{
    Balancer, Host, ListedNode, Nanos, Node, NodeStatus, Outcome, RequestId, RequestParams, Settings,
};

pub const MS: Nanos = 1_000_000;
pub const SECOND: Nanos = 1000 * MS;
/// The origin's index in every test; the caches are 1, 2, 3 and so on.
pub const ORIGIN: Node = 0;

/// The calls as text, and the timeout of each attempt.
#[derive(Default)]
pub struct CallLog(pub String, pub Vec<Nanos>);

impl CallLog {
    /// Appends a call. Calls are separated by commas; notes and log lines have lines of their own.
    fn call(&mut self, call: String) {
        let separator = if self.0.is_empty() || self.0.ends_with('\n') { "" } else { ", " };
        self.0 += &format!("{separator}{call}");
    }

    fn line(&mut self, line: String) {
        let separator = if self.0.is_empty() || self.0.ends_with('\n') { "" } else { "\n" };
        self.0 += &format!("{separator}{line}\n");
    }
}

impl Host for CallLog {
    fn send(&mut self, id: RequestId, node: Node, timeout: Nanos) {
        self.1.push(timeout);
        let name = if node == ORIGIN { "origin".into() } else { format!("node {node}") };
        self.call(format!("{id} to {name}"));
    }
    fn cancel_unsent(&mut self, id: RequestId) {
        self.call(format!("{id} cancelled"));
    }
    fn shed(&mut self, id: RequestId, pause: Nanos) {
        let pause = if pause > 0 { format!(" for {} ms", pause / MS) } else { String::new() };
        self.call(format!("{id} shed{pause}"));
    }
    fn error(&mut self, id: RequestId) {
        self.call(format!("{id} error"));
    }
    fn release_request(&mut self, _id: RequestId) {}
    fn set_timer(&mut self, _at: Nanos, _token: u64) {}
    fn probe(&mut self, node: Node) {
        self.call(format!("probe node {node}"));
    }
    fn release_node(&mut self, node: Node) {
        self.call(format!("release node {node}"));
    }
    fn watch_node_list(&mut self) {
        self.call("watch the node list".into());
    }
    fn log(&mut self, line: &str) {
        self.line(format!("log: {line}"));
    }
}

/// A balancer with a recording host, its time and the parameters of the next requests.
pub struct Rig {
    pub balancer: Balancer<CallLog>,
    pub now: Nanos,
    pub params: RequestParams,
}

/// One of two proxies, with the origin, this many warm caches, and a route with this retry safety. `more`
/// adds settings.
pub fn rig(caches: usize, repeat: &str, more: &[(&str, Value)]) -> Rig {
    seeded(1, caches, repeat, more)
}

/// The same with another seed for random choices.
pub fn seeded(seed: u64, caches: usize, repeat: &str, more: &[(&str, Value)]) -> Rig {
    let mut settings = Settings::default();
    let base = [
        ("routes", Value::Number(1.0)),
        ("route.0.repeat", Value::Text(repeat.into())),
        ("route.0.scope", Value::Text("zone".into())),
        ("route.0.window", Value::Time(SECOND)),
        ("route.0.objective", Value::Time(SECOND)),
        ("most_tries", Value::Number(4.0)),
        ("fleet", Value::Number(2.0)),
        ("probes", Value::Flag(true)),
        ("cold", Value::Time(20 * SECOND)),
        ("fall", Value::Time(SECOND)),
        ("start_capacity", Value::Number(0.1)),
    ];
    base.iter().chain(more).for_each(|(name, value)| settings.put(*name, value.clone()));
    let mut balancer = Balancer::new(CallLog::default(), settings, seed, 100 * SECOND);
    for node in 0..=caches {
        balancer.node_listed(100 * SECOND, node, listed(node));
    }
    balancer.list_completed(&(0..=caches).collect::<Vec<_>>());
    let params = RequestParams { key: Some(7), client_timeout: 2 * SECOND, ..RequestParams::default() };
    Rig { balancer, now: 100 * SECOND, params }
}

pub fn listed(node: Node) -> ListedNode {
    let identity = 0x9e37_79b9_7f4a_7c15_u64.wrapping_mul(node as u64 + 1);
    ListedNode {
        identity,
        zone: node % 2,
        origin: node == ORIGIN,
        status: NodeStatus::Ready,
        ..ListedNode::default()
    }
}

impl Rig {
    pub fn arrive(&mut self, id: RequestId) {
        self.balancer.request_arrived(self.now, id, self.params);
    }

    pub fn arrive_for(&mut self, id: RequestId, key: u64) {
        self.balancer.request_arrived(self.now, id, RequestParams { key: Some(key), ..self.params });
    }

    pub fn end_attempt(&mut self, id: RequestId, attempt: usize, outcome: Outcome) {
        self.balancer.attempt_ended(self.now, id, attempt, outcome, outcome == Outcome::Completed);
    }

    pub fn advance(&mut self, span: Nanos) {
        for _ in 0..span / (100 * MS) {
            self.now += 100 * MS;
            self.balancer.timer_fired(self.now, 0);
        }
    }

    pub fn note(&mut self, text: &str) {
        self.balancer.host.line(format!("-- {text}"));
    }

    pub fn assert_calls(self, expect: Expect) {
        expect.assert_eq(&format!("{}\n", self.balancer.host.0.trim_end()));
    }
}
