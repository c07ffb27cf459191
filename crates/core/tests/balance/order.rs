//! Routes that keep order: requests for one key run one at a time, in the order in which they arrived.

use crate::rig::{MS, SECOND, listed, rig};
use expect_test::expect;
use proptest::prelude::*;
use pumicebay_core::settings::Value;
use pumicebay_core::{Balancer, Host, Nanos, Node, Outcome, RequestId, RequestParams, Settings};
use std::collections::{BTreeMap, BTreeSet};

fn ordered() -> [(&'static str, Value); 3] {
    [
        ("route.0.ordered", Value::Flag(true)),
        ("turn_gap", Value::Time(300 * MS)),
        ("route.0.objective", Value::Time(2 * SECOND)),
    ]
}

/// A second write was once sent while the first one for its key was in flight.
#[test]
fn requests_of_one_key_run_one_at_a_time_and_the_key_is_blocked_after_a_lost_attempt() {
    let mut rig = rig(2, "non_retriable", &ordered());
    rig.params.write = true;
    (1..=3).for_each(|id| rig.arrive(id));
    rig.note("requests for another key, or without one, do not wait");
    rig.arrive_for(4, 8);
    rig.params.key = None;
    rig.arrive(5);
    rig.params.key = Some(7);
    rig.note("the client of 2 leaves; 1 is answered");
    rig.balancer.request_cancelled(rig.now, 2);
    rig.end_attempt(1, 0, Outcome::Completed);
    rig.note("3's connection breaks, and it may still run: 6 waits until the key is no longer blocked");
    rig.end_attempt(3, 0, Outcome::Severed);
    rig.arrive(6);
    rig.now += 299 * MS;
    rig.balancer.timer_fired(rig.now, 6);
    rig.note("the block has ended");
    rig.now += MS;
    rig.balancer.timer_fired(rig.now, 6);
    rig.note("its own next attempt is not held back, but the request behind it is");
    rig.arrive(7);
    rig.end_attempt(6, 0, Outcome::Unreachable);
    rig.assert_calls(expect![[r#"
        1 to origin
        -- requests for another key, or without one, do not wait
        4 to origin, 5 to origin
        -- the client of 2 leaves; 1 is answered
        3 to origin
        -- 3's connection breaks, and it may still run: 6 waits until the key is no longer blocked
        3 error
        -- the block has ended
        6 to origin
        -- its own next attempt is not held back, but the request behind it is
        6 to origin
    "#]]);
}

/// A request whose turn can't come in time should not wait: it is shed immediately.
#[test]
fn requests_behind_a_long_queue_are_shed_immediately() {
    let mut rig = rig(2, "retriable", &ordered());
    rig.params.write = true;
    rig.arrive(1);
    rig.now += 400 * MS;
    rig.end_attempt(1, 0, Outcome::Completed);
    (2..=6).for_each(|id| rig.arrive(id));
    rig.note("400 ms each, a third of the objective of 2 s: one request may wait behind the first");
    rig.now += SECOND;
    (2..=6).for_each(|id| rig.balancer.timer_fired(rig.now, id));
    rig.assert_calls(expect![[r#"
        1 to origin, 2 to origin, 4 shed, 5 shed, 6 shed
        -- 400 ms each, a third of the objective of 2 s: one request may wait behind the first
        3 shed
    "#]]);
}

#[derive(Default)]
struct RecordingHost {
    sent: Vec<RequestId>,
    answered: BTreeSet<RequestId>,
    timers: BTreeSet<(Nanos, u64)>,
}

impl Host for RecordingHost {
    fn send(&mut self, id: RequestId, _node: Node, _timeout: Nanos) {
        self.sent.push(id);
    }
    fn shed(&mut self, id: RequestId, _pause: Nanos) {
        assert!(self.answered.insert(id), "request {id} answered twice");
    }
    fn error(&mut self, id: RequestId) {
        assert!(self.answered.insert(id), "request {id} answered twice");
    }
    fn set_timer(&mut self, at: Nanos, token: u64) {
        self.timers.insert((at, token));
    }
    fn release_request(&mut self, _id: RequestId) {}
    fn probe(&mut self, _node: Node) {}
    fn release_node(&mut self, _node: Node) {}
    fn watch_node_list(&mut self) {}
    fn log(&mut self, _line: &str) {}
}

/// Checks the order of attempts independently of the balancer's own records.
struct OrderChecker {
    balancer: Balancer<RecordingHost>,
    now: Nanos,
    /// The key of each request, and whether its order must be kept.
    keys: BTreeMap<RequestId, (u64, bool)>,
    /// For each request the number of its attempts, and those in flight.
    attempts: BTreeMap<RequestId, (usize, BTreeSet<usize>)>,
    blocked_until: BTreeMap<u64, Nanos>,
}

const BLOCK_TIME: Nanos = 300 * MS;

impl OrderChecker {
    fn new(probes: bool) -> OrderChecker {
        let mut settings = Settings::default();
        settings.put("routes", Value::Number(2.0));
        for (at, repeat) in ["non_retriable", "retriable"].into_iter().enumerate() {
            settings.put(format!("route.{at}.repeat"), Value::Text(repeat.into()));
            settings.put(format!("route.{at}.objective"), Value::Time(SECOND));
            settings.put(format!("route.{at}.ordered"), Value::Flag(at == 0));
        }
        settings.put("most_tries", Value::Number(4.0));
        settings.put("turn_gap", Value::Time(BLOCK_TIME));
        settings.put("probes", Value::Flag(probes));
        let now = 100 * SECOND;
        let mut balancer = Balancer::new(RecordingHost::default(), settings, 1, now);
        (0..4).for_each(|node| balancer.node_listed(now, node, listed(node)));
        let (keys, attempts, blocked_until) = (BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
        OrderChecker { balancer, now, keys, attempts, blocked_until }
    }

    /// Checks each attempt sent since the last call.
    fn check(&mut self) {
        for id in std::mem::take(&mut self.balancer.host.sent) {
            let (key, ordered) = self.keys[&id];
            let (count, in_flight) = self.attempts.entry(id).or_default();
            in_flight.insert(*count);
            *count += 1;
            let first = *count == 1;
            if !ordered {
                continue;
            }
            for (&earlier, _) in self.keys.range(..id).filter(|(_, other)| **other == (key, true)) {
                let answered = self.balancer.host.answered.contains(&earlier);
                let in_flight =
                    self.attempts.get(&earlier).is_some_and(|(_, in_flight)| !in_flight.is_empty());
                assert!(
                    answered && !in_flight,
                    "request {id} sent while earlier request {earlier} for its key is open"
                );
            }
            let unblocked = self.blocked_until.get(&key).is_none_or(|until| self.now >= *until);
            assert!(!first || unblocked, "request {id} sent while its key is blocked");
        }
    }

    fn end(&mut self, id: RequestId, attempt: usize, outcome: Outcome) {
        self.attempts.get_mut(&id).unwrap().1.remove(&attempt);
        let (key, ordered) = self.keys[&id];
        if ordered && matches!(outcome, Outcome::Overdue | Outcome::Severed | Outcome::Withdrawn) {
            self.blocked_until.insert(key, self.now + BLOCK_TIME);
        }
        if outcome == Outcome::Completed {
            self.balancer.host.answered.insert(id);
        }
        let answered = self.balancer.host.answered.contains(&id);
        self.balancer.attempt_ended(self.now, id, attempt, outcome, answered);
        self.check();
    }

    fn advance(&mut self, span: Nanos) {
        let until = self.now + span;
        while let Some(&(at, token)) = self.balancer.host.timers.first().filter(|(at, _)| *at <= until) {
            self.balancer.host.timers.pop_first();
            self.now = self.now.max(at);
            self.balancer.timer_fired(self.now, token);
            self.check();
        }
        self.now = until;
    }

    fn in_flight(&self) -> Vec<(RequestId, usize)> {
        self.attempts
            .iter()
            .flat_map(|(&id, (_, in_flight))| in_flight.iter().map(move |&attempt| (id, attempt)))
            .collect()
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

    /// Whatever events occur in whatever order: requests of a key run one at a time and in order, blocks are
    /// kept, and in the end no state is left.
    #[test]
    fn order_holds_under_any_events(events in prop::collection::vec((0..10_u8, 0..64_usize, 0..8_usize), 1..200)) {
        let mut checker = OrderChecker::new(events.len() % 2 == 0);
        let mut last = 0;
        for (kind, pick, other) in events {
            match kind {
                0..4 => {
                    last += 1;
                    let (key, route) = (pick as u64 % 3, usize::from(other == 0));
                    checker.keys.insert(last, (key, route == 0 && key > 0));
                    let params = RequestParams { key: (key > 0).then_some(key), write: other % 2 == 1, route, ..RequestParams::default() };
                    checker.balancer.request_arrived(checker.now, last, RequestParams { client_timeout: 2 * SECOND, ..params });
                    checker.check();
                }
                4..8 => {
                    let in_flight = checker.in_flight();
                    if let Some(&(id, attempt)) = in_flight.get(pick % in_flight.len().max(1)) {
                        checker.end(id, attempt, OUTCOMES[other]);
                    }
                }
                8 if last > 0 => {
                    let id = 1 + pick as u64 % last;
                    if checker.balancer.host.answered.insert(id) {
                        checker.balancer.request_cancelled(checker.now, id);
                        checker.check();
                    }
                }
                _ => checker.advance((1 + pick as u64) * 20 * MS),
            }
        }
        while let Some((id, attempt)) = checker.in_flight().first().copied() {
            checker.end(id, attempt, Outcome::Overdue);
        }
        checker.advance(10 * SECOND);
        while let Some((id, attempt)) = checker.in_flight().first().copied() {
            checker.end(id, attempt, Outcome::Overdue);
        }
        checker.advance(10 * SECOND);
        prop_assert_eq!(checker.balancer.host.answered.len() as u64, last);
        prop_assert_eq!(checker.balancer.key_queues.key_count(), 0);
    }
}
