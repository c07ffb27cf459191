//! Operators' actions: maintenance of nodes and changes of settings.

use crate::rig::{MS, SECOND, listed, rig};
use expect_test::expect;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use pumicebay_core::settings::Value;
use pumicebay_core::{ListedNode, NodeStatus, Outcome, Restrict, Settings, Superseded};

#[test]
fn a_node_out_of_service_gets_no_requests_whatever_is_listed_until_it_is_put_back() {
    let mut rig = rig(2, "retriable", &[]);
    let (one, two) = (listed(1).identity, listed(2).identity);
    for (id, node) in [(1, one), (2, two)] {
        rig.balancer.maintenance_changed(rig.now, node, true);
        rig.balancer.maintenance_changed(rig.now, node, true);
        rig.arrive(id);
    }
    rig.note("listed as draining, as gone, and as new: it stays out of service");
    for status in [NodeStatus::Draining, NodeStatus::Gone, NodeStatus::Ready] {
        let started = rig.now + SECOND;
        rig.balancer.node_listed(rig.now, 1, ListedNode { status, started, ..listed(1) });
        rig.balancer.list_completed(&[0, 1]);
    }
    rig.arrive(3);
    rig.note("put back without being listed again: it counts as cold and gets its share");
    rig.balancer.maintenance_changed(rig.now, one, false);
    rig.balancer.maintenance_changed(rig.now, one, false);
    for id in 4..8 {
        rig.advance(2 * SECOND);
        rig.arrive(id);
        rig.end_attempt(id, 0, Outcome::Completed);
    }
    rig.assert_calls(expect![[r#"
        log: node 1 taken out of service by an operator
        1 to node 2, 1 cancelled
        log: node 2 taken out of service by an operator
        2 to origin
        -- listed as draining, as gone, and as new: it stays out of service
        log: node 1 is cold: at first one request every 2.0 s
        1 cancelled, 1 cancelled, 1 cancelled, 1 cancelled, 1 cancelled, 1 cancelled, 3 to origin
        -- put back without being listed again: it counts as cold and gets its share
        log: node 1 is cold: at first one request every 2.0 s
        4 to node 1, 5 to node 1, 6 to node 1, 7 to node 1
    "#]]);
}

#[test]
fn failures_before_maintenance_are_cleared_after_it() {
    let mut rig = rig(1, "retriable", &[]);
    for id in 1..6 {
        rig.arrive(id);
        rig.end_attempt(id, 0, Outcome::Severed);
    }
    rig.balancer.maintenance_changed(rig.now, listed(1).identity, true);
    rig.advance(SECOND);
    rig.balancer.maintenance_changed(rig.now, listed(1).identity, false);
    rig.advance(5 * SECOND);
    rig.arrive(6);
    rig.assert_calls(expect![[r#"
        1 to node 1, 1 to origin, 2 to node 1, 2 to origin, 3 to node 1, 3 to origin, 4 to node 1, 4 to origin, 5 to node 1
        log: node 1 ejected: 5 failures, last Severed
        log: node 1 taken out of service by an operator
        log: node 1 is cold: at first one request every 2.0 s
        6 to node 1
    "#]]);
}

fn settings(routes: &[(&str, u64)], most: f64) -> Settings {
    let mut settings = Settings::default();
    settings.put("routes", Value::Number(routes.len() as f64));
    settings.put("most_tries", Value::Number(most));
    for (at, (repeat, objective)) in routes.iter().enumerate() {
        settings.put(format!("route.{at}.repeat"), Value::Text((*repeat).into()));
        settings.put(format!("route.{at}.objective"), Value::Time(objective * MS));
        settings.put(format!("route.{at}.window"), Value::Time(SECOND));
    }
    settings
}

#[test]
fn open_requests_keep_their_route_and_the_stricter_rule_applies_during_a_change() {
    let mut rig = rig(4, "retriable", &[]);
    rig.arrive(1);
    rig.balancer.settings_changed(rig.now, &settings(&[("non_retriable", 1000), ("retriable", 500)], 2.0));
    rig.note("arrived before the change: four attempts as before");
    for attempt in 0..3 {
        rig.end_attempt(1, attempt, Outcome::Severed);
    }
    rig.note("the route has become non-retriable");
    rig.arrive(2);
    rig.end_attempt(2, 0, Outcome::Severed);
    rig.note("a new route, two attempts at most");
    rig.params.route = 1;
    rig.arrive(3);
    rig.end_attempt(3, 0, Outcome::Unreachable);
    rig.end_attempt(3, 1, Outcome::Unreachable);
    rig.note("retriable again: clients may still mean the non-retriable route");
    rig.balancer.settings_changed(rig.now, &settings(&[("retriable", 1000), ("retriable", 500)], 4.0));
    rig.params.route = 0;
    rig.arrive(4);
    rig.end_attempt(4, 0, Outcome::Severed);
    rig.note("two seconds later they no longer do");
    rig.advance(2 * SECOND);
    rig.arrive(5);
    rig.end_attempt(5, 0, Outcome::Severed);
    rig.assert_calls(expect![[r#"
        1 to node 4
        -- arrived before the change: four attempts as before
        1 to node 1, 1 to node 2, 1 to node 3
        -- the route has become non-retriable
        2 to node 1, 2 error
        -- a new route, two attempts at most
        3 to node 4, 3 to node 1, 3 shed
        -- retriable again: clients may still mean the non-retriable route
        4 to node 1, 4 error
        -- two seconds later they no longer do
        5 to node 2, 5 to node 1
    "#]]);
}

/// The settings of a series of configurations that bind a request, by name.
const SERIES: [(&str, f64); 4] =
    [("non_retriable", 4.0), ("retriable", 4.0), ("retriable", 3.0), ("retriable", 4.0)];

/// Guards against forgetting a configuration early: each of several changes within the overlap binds for its whole time.
#[test]
fn the_strictest_of_several_configurations_in_quick_succession_applies() {
    for gap_ms in [0, 100, 400, 600] {
        let mut rig = rig(4, "non_retriable", &[]);
        let replaced_at = rig.now;
        let mut number = 0;
        let mut attempts = |rig: &mut crate::rig::Rig| {
            number += 1;
            rig.arrive(number);
            rig.end_attempt(number, 0, Outcome::Severed);
            rig.balancer.host.0.matches(&format!("{number} to ")).count()
        };
        for (repeat, most) in SERIES.into_iter().skip(1) {
            rig.balancer.settings_changed(rig.now, &settings(&[(repeat, 1000)], most));
            assert_eq!(attempts(&mut rig), 1, "{gap_ms} ms apart, {repeat}, {most} attempts at most");
            rig.advance(gap_ms * MS);
        }
        rig.advance(replaced_at + 1900 * MS - rig.now);
        assert_eq!(attempts(&mut rig), 1, "{gap_ms} ms apart, at the end of the overlap");
        rig.advance(100 * MS);
        assert!(attempts(&mut rig) > 1, "{gap_ms} ms apart, after the overlap");
    }
}

/// Guards against the same for what holds for all routes: two attempts at once, order, and the time for which a key is blocked.
#[test]
fn second_copies_and_order_follow_the_strictest_of_several_configurations() {
    let barred = [
        ("route.0.ordered", Value::Flag(true)),
        ("turn_gap", Value::Time(300 * MS)),
        ("second_copies", Value::Flag(false)),
    ];
    let mut rig = rig(4, "retriable", &barred);
    let mut allowed = settings(&[("retriable", 1000)], 4.0);
    allowed.put("second_copies", Value::Flag(true));
    for most in [4.0, 3.0] {
        allowed.put("most_tries", Value::Number(most));
        rig.balancer.settings_changed(rig.now, &allowed);
        rig.advance(400 * MS);
    }
    rig.arrive(1);
    rig.arrive(2);
    rig.note("stalls: no second attempt, and the request behind it waits");
    rig.balancer.reply_stalled(rig.now, 1, 0);
    rig.note("given up, and may still run: the key is blocked for 300 ms");
    rig.balancer.request_cancelled(rig.now, 1);
    rig.end_attempt(1, 0, Outcome::Severed);
    rig.now += 299 * MS;
    rig.balancer.timer_fired(rig.now, 2);
    rig.note("the block has ended");
    rig.now += MS;
    rig.balancer.timer_fired(rig.now, 2);
    rig.end_attempt(2, 0, Outcome::Completed);
    rig.note("two seconds after the changes");
    rig.advance(1200 * MS);
    rig.arrive(3);
    rig.arrive(4);
    rig.balancer.reply_stalled(rig.now, 3, 0);
    rig.note("barred again: not for what is open, either");
    rig.arrive(5);
    rig.balancer.settings_changed(rig.now, &settings(&[("retriable", 1000)], 4.0));
    rig.balancer.reply_stalled(rig.now, 5, 0);
    rig.assert_calls(expect![[r#"
        1 to node 4
        -- stalls: no second attempt, and the request behind it waits
        -- given up, and may still run: the key is blocked for 300 ms
        1 cancelled
        -- the block has ended
        2 to node 4
        -- two seconds after the changes
        3 to node 4, 4 to node 4, 3 to node 1
        -- barred again: not for what is open, either
        5 to node 1
    "#]]);
}

/// The tasks that a configuration allows, as bits.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Allowed(u8);

impl Restrict for Allowed {
    fn restrict(&mut self, other: &Allowed) {
        self.0 &= other.0;
    }
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(80), failure_persistence: None, ..ProptestConfig::default() })]
    /// Guards against the same in any series: a value that still binds is never forgotten, and one that no longer does binds
    /// no more, unless too many follow one another to be kept apart.
    #[test]
    fn what_still_binds_restricts_and_what_no_longer_does_is_dropped(
        changes in prop::collection::vec((0_u64..40, any::<u8>()), 0..120),
        (overlap, longest_delay) in (1_u64..60, 1_u64..40),
    ) {
        let mut merged = false;
        let (mut known, mut history, mut now) = (Superseded::new(Allowed(0xff)), vec![(0, Allowed(0xff))], 0);
        for (delay, allowed) in changes {
            now += delay % longest_delay;
            known.replace(now, now + overlap, Allowed(allowed));
            history.push((now, Allowed(allowed)));
            let ends = history.iter().skip(1).map(|(began, _)| began + overlap).chain([u64::MAX]);
            let binding: Vec<u8> =
                history.iter().zip(ends).filter(|(_, end)| *end > now).map(|((_, value), _)| value.0).collect();
            let expected = binding.iter().fold(0xff, |all, allowed| all & allowed);
            let strictest = known.strictest(now).0;
            prop_assert_eq!(strictest & !expected, 0, "forgotten: {:08b} of {:08b}", strictest, expected);
            merged |= binding.len() > 32;
            prop_assert!(merged || strictest == expected, "not dropped: {:08b} of {:08b}", strictest, expected);
        }
    }
}
