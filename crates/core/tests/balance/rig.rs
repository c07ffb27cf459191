//! A proxy with a host that writes down what it is asked to do.

use expect_test::Expect;
use pumicebay_core::settings::Value;
use pumicebay_core::{Ask, Balance, Host, Listed, Nanos, Node, Outcome, RequestId, Settings, Standing};

pub const MS: Nanos = 1_000_000;
pub const SECOND: Nanos = 1000 * MS;
/// The origin's index in every test; the caches are 1, 2, 3 ...
pub const ORIGIN: Node = 0;

/// What was asked for, and the time that each attempt was given.
#[derive(Default)]
pub struct Trace(pub String, pub Vec<Nanos>);

impl Trace {
    /// Acts stand side by side, notes and logs on lines of their own.
    fn act(&mut self, act: String) {
        let apart = if self.0.is_empty() || self.0.ends_with('\n') { "" } else { ", " };
        self.0 += &format!("{apart}{act}");
    }

    fn line(&mut self, line: String) {
        let apart = if self.0.is_empty() || self.0.ends_with('\n') { "" } else { "\n" };
        self.0 += &format!("{apart}{line}\n");
    }
}

impl Host for Trace {
    fn send(&mut self, id: RequestId, node: Node, timeout: Nanos) {
        self.1.push(timeout);
        let name = if node == ORIGIN { "origin".into() } else { format!("node {node}") };
        self.act(format!("{id} to {name}"));
    }
    fn recall(&mut self, id: RequestId) {
        self.act(format!("{id} taken back"));
    }
    fn shed(&mut self, id: RequestId, pause: Nanos) {
        let back = if pause > 0 { format!(" for {} ms", pause / MS) } else { String::new() };
        self.act(format!("{id} shed{back}"));
    }
    fn error(&mut self, id: RequestId) {
        self.act(format!("{id} error"));
    }
    fn forget(&mut self, _xchg: RequestId) {}
    fn wake(&mut self, _at: Nanos, _token: u64) {}
    fn probe(&mut self, node: Node) {
        self.act(format!("probe node {node}"));
    }
    fn dismiss(&mut self, node: Node) {
        self.act(format!("dismiss node {node}"));
    }
    fn follow(&mut self) {
        self.act("follow the list".into());
    }
    fn log(&mut self, line: &str) {
        self.line(format!("log: {line}"));
    }
}

pub struct Rig {
    pub balance: Balance<Trace>,
    pub now: Nanos,
    pub ask: Ask,
}

/// One proxy of two, with the origin and so many warm caches, and a route that repeats as told.
pub fn rig(caches: usize, repeat: &str, more: &[(&str, Value)]) -> Rig {
    seeded(1, caches, repeat, more)
}

/// The same with another chance.
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
    let mut balance = Balance::new(Trace::default(), settings, seed, 100 * SECOND);
    for node in 0..=caches {
        balance.listed(100 * SECOND, node, listed(node));
    }
    balance.listed_all(&(0..=caches).collect::<Vec<_>>());
    let ask = Ask { key: Some(7), grace: 2 * SECOND, ..Ask::default() };
    Rig { balance, now: 100 * SECOND, ask }
}

pub fn listed(node: Node) -> Listed {
    let identity = 0x9e37_79b9_7f4a_7c15_u64.wrapping_mul(node as u64 + 1);
    Listed {
        identity,
        zone: node % 2,
        origin: node == ORIGIN,
        standing: Standing::Ready,
        ..Listed::default()
    }
}

impl Rig {
    pub fn arrive(&mut self, id: RequestId) {
        self.balance.arrived(self.now, id, self.ask);
    }

    pub fn arrive_for(&mut self, id: RequestId, key: u64) {
        self.balance.arrived(self.now, id, Ask { key: Some(key), ..self.ask });
    }

    pub fn end(&mut self, id: RequestId, attempt: usize, outcome: Outcome) {
        self.balance.ended(self.now, id, attempt, outcome, outcome == Outcome::Completed);
    }

    pub fn pass(&mut self, span: Nanos) {
        for _ in 0..span / (100 * MS) {
            self.now += 100 * MS;
            self.balance.woke(self.now, 0);
        }
    }

    pub fn note(&mut self, text: &str) {
        self.balance.host.line(format!("-- {text}"));
    }

    pub fn check(self, expect: Expect) {
        expect.assert_eq(&format!("{}\n", self.balance.host.0.trim_end()));
    }
}
