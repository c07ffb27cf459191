//! The guarantees to clients, nodes and the origin: one answer in time, no effect twice, no new requests to
//! nodes that are not ready, no overload of cold nodes; and the answers when no node is left.

use crate::rig::{MS, ORIGIN, Rig, SECOND, listed, rig};
use expect_test::expect;
use pumicebay_core::settings::Value;
use pumicebay_core::{ListedNode, NodeStatus, Outcome, RequestParams};

#[test]
fn a_waiting_request_is_answered_in_time_and_only_once() {
    let mut rig = rig(1, "retriable", &[]);
    rig.arrive(1);
    rig.arrive(2);
    rig.end_attempt(1, 0, Outcome::Missed);
    rig.end_attempt(2, 0, Outcome::Missed);
    rig.note("the fetch hangs: the request that waits for it is shed when the objective is out of reach");
    rig.now += SECOND;
    rig.balancer.timer_fired(rig.now, 2);
    rig.balancer.timer_fired(rig.now, 2);
    rig.note("the fetching request ends with its overall timeout; late and repeated events change nothing");
    rig.now += SECOND;
    rig.end_attempt(1, 1, Outcome::Overdue);
    rig.end_attempt(1, 1, Outcome::Overdue);
    rig.balancer.request_cancelled(rig.now, 1);
    rig.balancer.request_cancelled(rig.now, 77);
    rig.assert_calls(expect![[r#"
        1 to node 1, 2 to node 1, 1 to origin
        -- the fetch hangs: the request that waits for it is shed when the objective is out of reach
        2 shed
        -- the fetching request ends with its overall timeout; late and repeated events change nothing
        1 shed
    "#]]);
}

#[test]
fn a_retry_causes_no_effect_twice() {
    let mut all = String::new();
    for (repeat, outcome) in [
        ("retriable", Outcome::Severed),
        ("non_retriable", Outcome::Unreachable),
        ("non_retriable", Outcome::Severed),
        ("deduped", Outcome::Severed),
    ] {
        let mut rig = rig(4, repeat, &[]);
        rig.note(&format!("{repeat}, {outcome:?}"));
        rig.arrive(1);
        rig.end_attempt(1, 0, outcome);
        rig.note("past the dedup window");
        rig.now += SECOND;
        rig.end_attempt(1, 1, Outcome::Severed);
        all += &format!("{}\n", rig.balancer.host.0);
    }
    expect![[r#"
        -- retriable, Severed
        1 to node 4, 1 to node 1
        -- past the dedup window
        1 to node 2
        -- non_retriable, Unreachable
        1 to node 4, 1 to node 1
        -- past the dedup window
        1 error
        -- non_retriable, Severed
        1 to node 4, 1 error
        -- past the dedup window

        -- deduped, Severed
        1 to node 4, 1 to node 2
        -- past the dedup window
        1 error
    "#]]
    .assert_eq(&all);
}

/// A retry may wait for its connection, so its time ends with the dedup window. A first attempt has all its
/// time.
#[test]
fn a_retry_that_waits_is_sent_within_the_dedup_window() {
    let mut rig = rig(4, "deduped", &[]);
    rig.arrive(1);
    rig.now += 900 * MS;
    rig.end_attempt(1, 0, Outcome::Severed);
    let timeouts: Vec<u64> = rig.balancer.host.1.iter().map(|timeout| timeout / MS).collect();
    expect!["[2000, 100]"].assert_eq(&format!("{timeouts:?}"));
}

#[test]
fn no_new_requests_to_a_draining_or_gone_node() {
    let mut rig = rig(2, "retriable", &[]);
    rig.balancer.node_listed(rig.now, 1, ListedNode { status: NodeStatus::Draining, ..listed(1) });
    (1..=3).for_each(|key| rig.arrive_for(key, key));
    rig.note("a complete list without node 2");
    rig.balancer.list_completed(&[ORIGIN, 1]);
    (4..=5).for_each(|key| rig.arrive_for(key, key));
    rig.note("and a list without the origin");
    rig.balancer.list_completed(&[]);
    rig.arrive_for(6, 6);
    rig.assert_calls(expect![[r#"
        1 to node 2, 2 to node 2, 3 to node 2
        -- a complete list without node 2
        1 cancelled, 2 cancelled, 3 cancelled, 4 to origin, 5 to origin
        -- and a list without the origin
        1 cancelled, 2 cancelled, 3 cancelled, 4 cancelled, 5 cancelled, 6 shed
    "#]]);
}

/// The first requests of many proxies could overload a cold node together. Many new nodes once reduced the
/// share of each.
#[test]
fn a_cold_node_gets_its_share_of_normal_load() {
    let more = [("start_capacity", Value::Number(0.2)), ("fleet", Value::Number(100.0))];
    let (mut rig, mut sent) = (rig(3, "retriable", &more), Vec::new());
    for id in 1..=120 {
        if id == 21 {
            (3..9).for_each(|n| {
                rig.balancer.node_listed(rig.now, n, ListedNode { started: rig.now, ..listed(n) })
            });
        }
        rig.arrive_for(id, id);
        rig.end_attempt(id, 0, Outcome::Completed);
        rig.advance(100 * MS);
        sent.push(if rig.balancer.host.0.contains(&format!("{id} to node 3")) { "x" } else { "." });
    }
    expect![".x.x......xx....xxx...........x..........x...........x........x........x..................x.....x..x.......x....x......."].assert_eq(&sent.concat());
}

/// Proxies that catch up together on sends they left unused would overload a cold node. Twice the square root
/// of the expected number is about what chance allows.
#[test]
fn a_cold_node_gets_no_burst_larger_than_chance_allows() {
    let mut rig =
        rig(2, "retriable", &[("start_capacity", Value::Number(0.2)), ("fleet", Value::Number(1.0))]);
    let mut requests = 0;
    let mut send = |rig: &mut Rig, count: u64| {
        for _ in 0..count {
            requests += 1;
            rig.arrive_for(requests, requests);
            rig.end_attempt(requests, 0, Outcome::Completed);
        }
    };
    for _ in 0..50 {
        send(&mut rig, 80);
        rig.advance(100 * MS);
    }
    rig.balancer.node_listed(rig.now, 3, ListedNode { started: rig.now, ..listed(3) });
    rig.advance(SECOND);
    send(&mut rig, 300);
    let sent = rig.balancer.host.0.matches("to node 3").count();
    // About 400 requests per second are normal, so about 90 are the node's share by then.
    assert!((5..=20).contains(&sent), "{sent} requests at once");
}

#[test]
fn the_origin_serves_without_caches_and_requests_are_shed_without_nodes() {
    let mut rig = rig(0, "retriable", &[("pauses", Value::Flag(true))]);
    rig.arrive(1);
    rig.balancer.list_completed(&[]);
    rig.arrive(2);
    rig.assert_calls(expect![[r#"
        1 to origin, 1 cancelled, 2 shed for 125 ms
    "#]]);
}

#[test]
fn no_heavy_request_to_a_cold_node() {
    let mut rig = rig(2, "retriable", &[]);
    rig.params = RequestParams { key: None, work_hint: Some(10 * MS), ..rig.params };
    (1..=2).for_each(|id| rig.arrive(id));
    rig.advance(100 * MS);
    rig.balancer.node_listed(rig.now, 3, ListedNode { started: rig.now, ..listed(3) });
    rig.params.work_hint = Some(500 * MS);
    (3..=5).for_each(|id| rig.arrive(id));
    rig.params.work_hint = Some(5 * MS);
    (6..=7).for_each(|id| rig.arrive(id));
    rig.assert_calls(expect![[r#"
        1 to node 1, 2 to node 2
        log: node 3 is cold: at first one request every 2.0 s
        3 to node 1, 4 to node 2, 5 to node 2, 6 to node 1, 7 to node 2
    "#]]);
}
