//! Operators' actions: maintenance of nodes and changes of settings.

use crate::rig::{MS, SECOND, listed, rig};
use expect_test::expect;
use pumicebay_core::settings::Value;
use pumicebay_core::{ListedNode, NodeStatus, Outcome, Settings};

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
