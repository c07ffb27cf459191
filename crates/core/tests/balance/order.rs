//! Requests of routes that keep order: one at a time a key, in the order in which they were taken.

use crate::rig::{MS, SECOND, listed, rig};
use expect_test::expect;
use proptest::prelude::*;
use pumicebay_core::settings::Value;
use pumicebay_core::{Ask, Balance, Host, Nanos, Node, Outcome, RequestId, Settings};
use std::collections::{BTreeMap, BTreeSet};

fn ordered() -> [(&'static str, Value); 3] {
    [
        ("route.0.ordered", Value::Flag(true)),
        ("turn_gap", Value::Time(300 * MS)),
        ("route.0.objective", Value::Time(2 * SECOND)),
    ]
}

/// The case that broke on poznan-depot's rough-1: a second write was sent while the first of its key was out.
#[test]
fn exchanges_of_one_key_go_one_by_one_and_the_key_rests_after_a_lost_try() {
    let mut rig = rig(2, "non_retriable", &ordered());
    rig.ask.write = true;
    (1..=3).for_each(|id| rig.arrive(id));
    rig.note("another key, and none, are free");
    rig.arrive_for(4, 8);
    rig.ask.key = None;
    rig.arrive(5);
    rig.ask.key = Some(7);
    rig.note("the client of 2 leaves; 1 is over");
    rig.balance.dropped(rig.now, 2);
    rig.end(1, 0, Outcome::Completed);
    rig.note("3 is reset, and may run yet: 6 waits for the rest");
    rig.end(3, 0, Outcome::Severed);
    rig.arrive(6);
    rig.now += 299 * MS;
    rig.balance.woke(rig.now, 6);
    rig.note("rested");
    rig.now += MS;
    rig.balance.woke(rig.now, 6);
    rig.note("its own next try is not held back, those behind it are");
    rig.arrive(7);
    rig.end(6, 0, Outcome::Unreachable);
    rig.check(expect![[r#"
        1 to origin
        -- another key, and none, are free
        4 to origin, 5 to origin
        -- the client of 2 leaves; 1 is over
        3 to origin
        -- 3 is reset, and may run yet: 6 waits for the rest
        3 error
        -- rested
        6 to origin
        -- its own next try is not held back, those behind it are
        6 to origin
    "#]]);
}

/// A line that can't be reached in time is no place to wait: what comes is shed at once.
#[test]
fn a_long_line_is_shed_at_once() {
    let mut rig = rig(2, "retriable", &ordered());
    rig.ask.write = true;
    rig.arrive(1);
    rig.now += 400 * MS;
    rig.end(1, 0, Outcome::Completed);
    (2..=6).for_each(|id| rig.arrive(id));
    rig.note("400 ms each, a third of the objective of 2 s: one may stand behind the first");
    rig.now += SECOND;
    (2..=6).for_each(|id| rig.balance.woke(rig.now, id));
    rig.check(expect![[r#"
        1 to origin, 2 to origin, 4 shed, 5 shed, 6 shed
        -- 400 ms each, a third of the objective of 2 s: one may stand behind the first
        3 shed
    "#]]);
}

#[derive(Default)]
struct Acts {
    sent: Vec<RequestId>,
    over: BTreeSet<RequestId>,
    wakes: BTreeSet<(Nanos, u64)>,
}

impl Host for Acts {
    fn send(&mut self, id: RequestId, _node: Node, _timeout: Nanos) {
        self.sent.push(id);
    }
    fn shed(&mut self, id: RequestId, _pause: Nanos) {
        assert!(self.over.insert(id), "{id} answered twice");
    }
    fn error(&mut self, id: RequestId) {
        assert!(self.over.insert(id), "{id} answered twice");
    }
    fn wake(&mut self, at: Nanos, token: u64) {
        self.wakes.insert((at, token));
    }
    fn forget(&mut self, _xchg: RequestId) {}
    fn probe(&mut self, _node: Node) {}
    fn dismiss(&mut self, _node: Node) {}
    fn follow(&mut self) {}
    fn log(&mut self, _line: &str) {}
}

/// What must hold, kept apart from the decisions.
struct World {
    balance: Balance<Acts>,
    now: Nanos,
    keys: BTreeMap<RequestId, (u64, bool)>,
    /// Attempts by request: how many, and which are out.
    attempts: BTreeMap<RequestId, (usize, BTreeSet<usize>)>,
    rests: BTreeMap<u64, Nanos>,
}

const GAP: Nanos = 300 * MS;

impl World {
    fn new(probes: bool) -> World {
        let mut settings = Settings::default();
        settings.put("routes", Value::Number(2.0));
        for (at, repeat) in ["non_retriable", "retriable"].into_iter().enumerate() {
            settings.put(format!("route.{at}.repeat"), Value::Text(repeat.into()));
            settings.put(format!("route.{at}.objective"), Value::Time(SECOND));
            settings.put(format!("route.{at}.ordered"), Value::Flag(at == 0));
        }
        settings.put("most_tries", Value::Number(4.0));
        settings.put("turn_gap", Value::Time(GAP));
        settings.put("probes", Value::Flag(probes));
        let now = 100 * SECOND;
        let mut balance = Balance::new(Acts::default(), settings, 1, now);
        (0..4).for_each(|node| balance.listed(now, node, listed(node)));
        let (keys, attempts, rests) = (BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
        World { balance, now, keys, attempts, rests }
    }

    /// Looks at each attempt that was sent since.
    fn check(&mut self) {
        for id in std::mem::take(&mut self.balance.host.sent) {
            let (key, ordered) = self.keys[&id];
            let (count, out) = self.attempts.entry(id).or_default();
            out.insert(*count);
            *count += 1;
            let first = *count == 1;
            if !ordered {
                continue;
            }
            for (&earlier, _) in self.keys.range(..id).filter(|(_, other)| **other == (key, true)) {
                let over = self.balance.host.over.contains(&earlier);
                let out = self.attempts.get(&earlier).is_some_and(|(_, out)| !out.is_empty());
                assert!(over && !out, "{id} sent while {earlier} of its key is not over");
            }
            let rested = self.rests.get(&key).is_none_or(|until| self.now >= *until);
            assert!(!first || rested, "{id} sent while its key rests");
        }
    }

    fn end(&mut self, id: RequestId, attempt: usize, outcome: Outcome) {
        self.attempts.get_mut(&id).unwrap().1.remove(&attempt);
        let (key, ordered) = self.keys[&id];
        if ordered && matches!(outcome, Outcome::Overdue | Outcome::Severed | Outcome::Withdrawn) {
            self.rests.insert(key, self.now + GAP);
        }
        if outcome == Outcome::Completed {
            self.balance.host.over.insert(id);
        }
        let over = self.balance.host.over.contains(&id);
        self.balance.ended(self.now, id, attempt, outcome, over);
        self.check();
    }

    fn pass(&mut self, span: Nanos) {
        let until = self.now + span;
        while let Some(&(at, token)) = self.balance.host.wakes.first().filter(|(at, _)| *at <= until) {
            self.balance.host.wakes.pop_first();
            self.now = self.now.max(at);
            self.balance.woke(self.now, token);
            self.check();
        }
        self.now = until;
    }

    fn out(&self) -> Vec<(RequestId, usize)> {
        self.attempts.iter().flat_map(|(&id, (_, out))| out.iter().map(move |&no| (id, no))).collect()
    }
}

const OUTCOMES: [Outcome; 8] = [
    Outcome::Completed,
    Outcome::Missed,
    Outcome::Errored,
    Outcome::Saturated,
    Outcome::Overdue,
    Outcome::Unreachable,
    Outcome::Severed,
    Outcome::Unsent,
];

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, failure_persistence: None, ..ProptestConfig::default() })]

    /// Whatever happens in whatever order: one out at a time, in order, rest kept, and in the end nothing is left.
    #[test]
    fn order_holds_under_any_events(events in prop::collection::vec((0..10_u8, 0..64_usize, 0..8_usize), 1..200)) {
        let mut world = World::new(events.len() % 2 == 0);
        let mut last = 0;
        for (kind, pick, other) in events {
            match kind {
                0..4 => {
                    last += 1;
                    let (key, route) = (pick as u64 % 3, usize::from(other == 0));
                    world.keys.insert(last, (key, route == 0 && key > 0));
                    let ask = Ask { key: (key > 0).then_some(key), write: other % 2 == 1, route, ..Ask::default() };
                    world.balance.arrived(world.now, last, Ask { grace: 2 * SECOND, ..ask });
                    world.check();
                }
                4..8 => {
                    let out = world.out();
                    if let Some(&(id, attempt)) = out.get(pick % out.len().max(1)) {
                        world.end(id, attempt, OUTCOMES[other]);
                    }
                }
                8 if last > 0 => {
                    let id = 1 + pick as u64 % last;
                    if world.balance.host.over.insert(id) {
                        world.balance.dropped(world.now, id);
                        world.check();
                    }
                }
                _ => world.pass((1 + pick as u64) * 20 * MS),
            }
        }
        while let Some((id, attempt)) = world.out().first().copied() {
            world.end(id, attempt, Outcome::Overdue);
        }
        world.pass(10 * SECOND);
        while let Some((id, attempt)) = world.out().first().copied() {
            world.end(id, attempt, Outcome::Overdue);
        }
        world.pass(10 * SECOND);
        prop_assert_eq!(world.balance.host.over.len() as u64, last);
        prop_assert_eq!(world.balance.turns.keys(), 0);
    }
}
