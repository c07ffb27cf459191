//! Failures of nodes, the origin, discovery and other proxies, as one proxy sees them.

use crate::rig::{MS, SECOND, listed, rig, seeded};
use expect_test::expect;
use pumicebay_core::settings::Value;
use pumicebay_core::{ListedNode, NodeStatus, Outcome, ReportedLoad};

#[test]
fn a_node_that_fails_quickly_is_ejected_until_it_answers_probes() {
    let mut rig = rig(2, "retriable", &[("most_tries", Value::Number(1.0)), ("fleet", Value::Number(3.0))]);
    for id in 1..=6 {
        rig.arrive_for(id, id);
        rig.end_attempt(id, 0, Outcome::Unreachable);
    }
    rig.advance(100 * MS);
    for node in [1, 2, 1, 2] {
        rig.balancer.probe_finished(node, Outcome::Completed);
    }
    rig.note("both are reinstated");
    rig.now += SECOND;
    (31..=34).for_each(|id| rig.arrive_for(id, id));
    rig.assert_calls(expect![[r#"
        1 to node 1, 1 shed, 2 to node 2, 2 shed, 3 to node 2, 3 shed, 4 to node 2
        log: node 2 ejected: 3 failures, last Unreachable
        4 shed, 5 to node 1, 5 shed, 6 to node 1
        log: node 1 ejected: 3 failures, last Unreachable
        6 shed, probe node 1, probe node 2
        log: node 1 reinstated: 2 probes answered
        log: node 2 reinstated: 2 probes answered
        -- both are reinstated
        31 to node 2, 32 to node 1, 33 to node 2, 34 to node 1
    "#]]);
}

#[test]
fn a_node_that_fails_two_times_in_three_is_ejected() {
    let mut rig = rig(2, "retriable", &[("fleet", Value::Number(3.0))]);
    for id in 1..=24 {
        rig.arrive_for(id, id);
        // Requests that fail at node 1 are then served by another node.
        let first = rig.balancer.host.0.trim_end().ends_with(&format!("{id} to node 1"));
        let fails = first && id % 3 != 0;
        rig.end_attempt(id, 0, if fails { Outcome::Errored } else { Outcome::Completed });
        if fails {
            rig.end_attempt(id, 1, Outcome::Completed);
        }
    }
    rig.assert_calls(expect![[r#"
        1 to node 1, 1 to node 2, 2 to node 2, 3 to node 2, 4 to node 2, 5 to node 2, 6 to node 1, 7 to node 1, 7 to node 2, 8 to node 1, 8 to node 2, 9 to node 1, 10 to node 2, 11 to node 1, 11 to node 2, 12 to node 1, 13 to node 1, 13 to node 2, 14 to node 1, 14 to node 2
        log: node 1 ejected: 3 failures, last Errored
        15 to node 2, 16 to node 2, 17 to node 2, 18 to node 2, 19 to node 2, 20 to node 2, 21 to node 2, 22 to node 2, 23 to node 2, 24 to node 2
    "#]]);
}

/// Requests that fail at every node once ejected all nodes, and were retried at one node after another. Such
/// requests say nothing about a node; a node that fails on its own must still be found among them.
#[test]
fn requests_that_fail_at_every_node_eject_none_and_end_after_two_errors() {
    let mut rig = rig(4, "retriable", &[("fleet", Value::Number(9.0))]);
    for id in 1..=6 {
        rig.arrive_for(id, id);
        rig.end_attempt(id, 0, Outcome::Errored);
        rig.end_attempt(id, 1, Outcome::Errored);
    }
    rig.note("one that another node serves, and one that another node misses");
    for (id, outcome) in [(7, Outcome::Completed), (8, Outcome::Missed)] {
        rig.arrive_for(id, id);
        rig.end_attempt(id, 0, Outcome::Errored);
        rig.end_attempt(id, 1, outcome);
    }
    rig.assert_calls(expect![[r#"
        1 to node 1, 1 to node 4, 1 shed, 2 to node 3, 2 to node 2, 2 shed, 3 to node 4, 3 to node 2, 3 shed, 4 to node 3, 4 to node 2, 4 shed, 5 to node 2, 5 to node 4, 5 shed, 6 to node 1, 6 to node 4, 6 shed
        -- one that another node serves, and one that another node misses
        7 to node 4, 7 to node 1
        log: node 4 ejected: 1 failures, last Errored
        8 to node 1, 8 to node 3
        log: node 1 ejected: 1 failures, last Errored
        8 to origin
    "#]]);
}

/// The origin's limit once grew along with the origin's own queue.
#[test]
fn origin_fetches_are_limited_and_queued_by_the_number_of_waiters() {
    let mut rig = rig(4, "retriable", &[("fleet", Value::Number(4.0))]);
    // Before any load the origin gets only this proxy's share of nine fetches.
    for key in 101..=108 {
        rig.arrive_for(key, key);
        rig.end_attempt(key, 0, Outcome::Completed);
    }
    rig.advance(SECOND / 10);
    for key in 1..=8 {
        rig.arrive_for(key, key);
        rig.end_attempt(key, 0, Outcome::Missed);
    }
    rig.note("9 waits for the fetch of 5; the origin has not been slow so far and gets the others");
    rig.arrive_for(9, 5);
    rig.arrive_for(10, 10);
    rig.end_attempt(10, 0, Outcome::Missed);
    rig.end_attempt(1, 1, Outcome::Completed);
    rig.end_attempt(2, 1, Outcome::Completed);
    rig.assert_calls(expect![[r#"
        101 to node 1, 102 to node 2, 103 to node 1, 104 to node 3, 105 to node 1, 106 to node 1, 107 to node 4, 108 to node 3, 1 to node 1, 1 to origin, 2 to node 3, 2 to origin, 3 to node 4, 3 to origin, 4 to node 3, 4 to origin, 5 to node 2, 5 to origin, 6 to node 1, 6 to origin, 7 to node 4, 7 to origin, 8 to node 1, 8 to origin
        -- 9 waits for the fetch of 5; the origin has not been slow so far and gets the others
        10 to node 4, 10 to origin
    "#]]);
}

/// At a cold start each cache once added to the fetches allowed at the origin; with many caches this stopped
/// the origin.
#[test]
fn fetches_of_a_cold_start_do_not_grow_with_the_number_of_caches() {
    let mut rig = rig(400, "retriable", &[("fleet", Value::Number(4.0))]);
    let mut max_fetches = 0;
    for id in 1..=400 {
        rig.arrive_for(id, id);
        rig.end_attempt(id, 0, Outcome::Missed);
        if id % 20 == 0 {
            rig.advance(SECOND / 10);
        }
        max_fetches = max_fetches.max(rig.balancer.status().fetches);
    }
    // Twenty requests in a tenth of a second are 67 in a third of their objective; buckets of a quarter of a
    // second hold some more.
    assert!(max_fetches <= 90, "{max_fetches} fetches in flight at an origin that has answered none");
}

/// The concurrency during an overload longer than a minute once counted as the best that the origin can do.
#[test]
fn the_origin_limit_does_not_follow_an_overload_longer_than_the_measured_window() {
    let mut rig = rig(400, "retriable", &[("fleet", Value::Number(4.0))]);
    let (mut id, mut in_flight, mut max_fetches) = (0, std::collections::VecDeque::new(), 0);
    // The origin answers ten requests per tenth of a second for two minutes, however many are in flight.
    for tenth in 0..1200 {
        for _ in 0..20 {
            id += 1;
            rig.arrive_for(id, id);
            rig.end_attempt(id, 0, Outcome::Missed);
            if rig.balancer.status().fetches > in_flight.len() {
                in_flight.push_back(id);
            }
        }
        max_fetches = if tenth < 600 { 0 } else { max_fetches.max(in_flight.len()) };
        rig.advance(SECOND / 10);
        let answered = in_flight.len().min(10);
        in_flight.drain(..answered).for_each(|id| rig.end_attempt(id, 1, Outcome::Completed));
    }
    // The limit is no higher than at the cold start above.
    assert!(max_fetches <= 90, "{max_fetches} fetches in the second minute");
}

/// Requests of small tenants were once shed at proxies whose share of the traffic is above the average.
#[test]
fn requests_over_quota_are_shed_and_others_overflow_to_the_origin() {
    let tenants = [
        ("tenants", Value::Number(2.0)),
        ("tenant.0.quota", Value::Number(2.0)),
        ("tenant.1.quota", Value::Number(20.0)),
    ];
    let mut rig = rig(1, "retriable", &tenants);
    rig.params.tenant = Some(0);
    for id in 1..=5 {
        rig.arrive(id);
        rig.end_attempt(id, 0, Outcome::Completed);
    }
    rig.advance(SECOND);
    rig.note("tenant 0 has used its share; the node is full");
    rig.params.tenant = Some(1);
    (31..=34).for_each(|id| rig.arrive(id));
    rig.params.tenant = Some(0);
    rig.arrive(35);
    rig.params.tenant = Some(1);
    (36..=41).for_each(|id| rig.arrive(id));
    rig.note("40 and 41 waited for capacity");
    rig.end_attempt(31, 0, Outcome::Completed);
    rig.assert_calls(expect![[r#"
        1 to node 1, 2 to node 1, 3 to node 1, 4 to node 1, 5 to node 1
        -- tenant 0 has used its share; the node is full
        31 to node 1, 32 to node 1, 33 to node 1, 34 to node 1, 35 to origin, 36 to origin, 37 to origin, 38 to origin, 40 shed, 41 shed
        -- 40 and 41 waited for capacity
        39 to node 1
    "#]]);
}

/// Every proxy once asked again at the next tick, which overloaded a discovery service that does not scale.
#[test]
fn failed_list_requests_are_repeated_with_growing_delay() {
    let mut rig = rig(0, "retriable", &[("discovery", Value::Text("ask".into()))]);
    let mut waits = Vec::new();
    for _ in 0..8 {
        rig.balancer.host.0.clear();
        rig.balancer.list_request_failed(rig.now);
        let failed = rig.now;
        while rig.balancer.host.0.is_empty() {
            rig.advance(100 * MS);
        }
        waits.push((rig.now - failed) / MS);
    }
    expect!["[100, 200, 400, 900, 1900, 3300, 5200, 3000] ms"].assert_eq(&format!("{waits:?} ms"));
}

/// One request from each of many proxies once overloaded every node, and one fetch from each the origin.
#[test]
fn many_proxies_have_little_in_flight_over_all_caches_and_at_the_origin() {
    let mut rig = rig(6, "retriable", &[("fleet", Value::Number(60.0))]);
    (1..=8).for_each(|key| rig.arrive_for(key, key));
    rig.note("two of them miss");
    rig.end_attempt(1, 0, Outcome::Missed);
    rig.end_attempt(2, 0, Outcome::Missed);
    rig.assert_calls(expect![[r#"
        1 to node 1, 2 to node 3, 3 to node 6, 4 to origin, 5 to node 5, 7 to node 4, 8 shed
        -- two of them miss
    "#]]);
}

/// Each of many proxies rarely has two requests at a node at once, so hot keys once got no further replicas.
#[test]
fn a_hot_key_spreads_though_each_of_many_proxies_sees_little_of_it() {
    let mut rig = rig(6, "retriable", &[("fleet", Value::Number(60.0))]);
    for id in 1..=16 {
        rig.arrive(id);
        rig.advance(200 * MS);
        rig.end_attempt(id, 0, Outcome::Completed);
        rig.advance(100 * MS);
    }
    rig.assert_calls(expect![[r#"
        1 to node 4, 2 to node 4, 3 to node 4, 4 to node 4, 5 to node 4, 6 to node 4, 7 to node 4, 8 to node 4, 9 to node 4, 10 to node 4, 11 to node 4, 12 to node 4, 13 to node 4, 14 to node 4, 15 to node 4, 16 to node 4
    "#]]);
}

/// Crowded nodes lose capacity and once never recovered: ten proxies allowed four requests each.
#[test]
fn many_proxies_share_the_initial_limit_and_a_slow_node_gets_less() {
    let mut all = String::new();
    for (proxy_count, latency) in [(2.0, 10 * MS), (10.0, 10 * MS), (2.0, 400 * MS)] {
        let mut rig = rig(1, "retriable", &[("fleet", Value::Number(proxy_count))]);
        for id in 1..=40 {
            rig.arrive(id);
            rig.now += if id > 20 { latency } else { 10 * MS };
            rig.end_attempt(id, 0, Outcome::Completed);
            rig.balancer.timer_fired(rig.now, 0);
        }
        rig.balancer.host.0.clear();
        rig.balancer.list_completed(&[1]);
        rig.note(&format!("{proxy_count} proxies, the last answers in {} ms", latency / MS));
        (41..=46).for_each(|id| rig.arrive(id));
        all += &format!("{}\n", rig.balancer.host.0);
    }
    expect![[r#"
        -- 2 proxies, the last answers in 10 ms
        41 to node 1, 42 to node 1, 43 to node 1, 44 to node 1, 45 shed, 46 shed
        -- 10 proxies, the last answers in 10 ms
        41 to node 1, 42 shed, 43 shed, 44 shed, 45 shed, 46 shed
        -- 2 proxies, the last answers in 400 ms
        41 to node 1, 42 shed, 43 shed, 44 shed, 45 shed, 46 shed
    "#]]
    .assert_eq(&all);
}

/// Removed nodes must not use up memory. A late answer still finds its node, and the next node with its index
/// inherits nothing.
#[test]
fn the_index_of_a_gone_cache_is_released_once_nothing_is_in_flight() {
    let mut rig = rig(1, "retriable", &[("most_tries", Value::Number(1.0))]);
    rig.params.client_timeout = 60 * SECOND;
    rig.arrive(1);
    rig.balancer.node_listed(rig.now, 1, ListedNode { status: NodeStatus::Gone, ..listed(1) });
    rig.advance(15 * SECOND);
    rig.note("gone for 15 s, with an attempt in flight");
    rig.end_attempt(1, 0, Outcome::Severed);
    rig.advance(9 * SECOND);
    rig.note("nothing in flight for 9 s");
    rig.advance(SECOND);
    rig.note("nothing in flight for 10 s");
    rig.balancer.node_listed(rig.now, 1, listed(8));
    for id in 2..5 {
        rig.arrive(id);
    }
    rig.end_attempt(2, 0, Outcome::Completed);
    rig.balancer.node_listed(rig.now, 1, ListedNode { status: NodeStatus::Gone, ..listed(8) });
    rig.advance(9 * SECOND);
    rig.assert_calls(expect![[r#"
        1 to node 1, 1 cancelled
        -- gone for 15 s, with an attempt in flight
        1 shed
        -- nothing in flight for 9 s
        release node 1
        -- nothing in flight for 10 s
        2 to node 1, 3 to node 1, 4 to node 1, 3 cancelled, 4 cancelled
    "#]]);
}

/// Most of many proxies send to a node so rarely that each once waited for a slow node until its client had
/// gone.
#[test]
fn a_first_attempt_at_a_slow_node_ends_halfway_to_the_objective_and_the_node_is_avoided() {
    let mut rig = rig(4, "retriable", &[("fleet", Value::Number(60.0))]);
    rig.arrive(1);
    rig.note("half a second later; the next node answers in time, and serves the key for a while");
    rig.now += SECOND / 2;
    rig.end_attempt(1, 0, Outcome::Overdue);
    rig.end_attempt(1, 1, Outcome::Completed);
    for id in 2..=4 {
        rig.advance(2 * SECOND);
        rig.arrive(id);
        rig.end_attempt(id, 0, Outcome::Completed);
    }
    assert_eq!(rig.balancer.host.1, [SECOND / 2, 3 * SECOND / 2, SECOND / 2, SECOND / 2, SECOND / 2]);
    rig.assert_calls(expect![[r#"
        1 to node 4
        -- half a second later; the next node answers in time, and serves the key for a while
        1 to node 1, 2 to node 1, 3 to node 1, 4 to node 1
    "#]]);
}

/// Without probes, a node that quickly returns errors once kept attracting requests.
#[test]
fn without_probes_a_failing_node_counts_as_refusing_until_a_request_succeeds() {
    let mut rig = rig(2, "retriable", &[("probes", Value::Flag(false)), ("fleet", Value::Number(60.0))]);
    rig.arrive(1);
    rig.end_attempt(1, 0, Outcome::Errored);
    rig.end_attempt(1, 1, Outcome::Completed);
    for id in 2..=5 {
        rig.advance(3 * SECOND);
        rig.arrive_for(id, 100 + id);
        rig.end_attempt(id, 0, Outcome::Completed);
    }
    rig.assert_calls(expect![[r#"
        1 to node 1, 1 to node 2, 2 to node 2, 3 to node 2, 4 to node 2, 5 to node 1
    "#]]);
}

/// With uneven traffic the busy proxies once shed requests while caches, the origin and quotas were idle.
#[test]
fn a_proxy_with_far_more_than_its_share_is_served_while_answers_are_quick() {
    let mut rig = rig(
        6,
        "retriable",
        &[
            ("fleet", Value::Number(60.0)),
            ("tenants", Value::Number(2.0)),
            ("tenant.0.quota", Value::Number(60.0)),
            ("tenant.1.quota", Value::Number(60.0)),
        ],
    );
    for id in 1..=200 {
        rig.params.tenant = Some(id as usize % 2);
        rig.arrive_for(id, id % 7);
        rig.now += 10 * MS;
        rig.end_attempt(id, 0, Outcome::Completed);
        if id % 10 == 0 {
            rig.balancer.timer_fired(rig.now, 0);
        }
    }
    rig.note("fifty times its share of both quotas; now more requests at once than there are caches");
    let before = rig.balancer.host.0.len();
    (301..=308).for_each(|id| rig.arrive_for(id, id));
    assert!(!rig.balancer.host.0[..before].contains("shed"));
    rig.balancer.host.0.drain(..before);
    rig.assert_calls(expect![[r#"
        301 to node 2, 302 to node 5, 303 to origin, 305 to node 1, 308 to node 4
    "#]]);
}

/// Reports that arrive late once made all proxies choose the node that last reported the shortest queue.
#[test]
fn a_reported_queue_counts_for_half_a_second_in_addition_to_own_requests() {
    let mut rig = rig(2, "retriable", &[]);
    rig.arrive(1);
    rig.end_attempt(1, 0, Outcome::Completed);
    rig.note("the key's node reports twenty requests waiting");
    [1, 2].into_iter().for_each(|node| rig.balancer.load_reported(rig.now, node, ReportedLoad::Queued(0.0)));
    rig.balancer.load_reported(rig.now, 1, ReportedLoad::Queued(20.0));
    rig.arrive(2);
    rig.end_attempt(2, 0, Outcome::Completed);
    rig.note("a second later the report has expired");
    rig.now += SECOND;
    rig.arrive(3);
    rig.assert_calls(expect![[r#"
        1 to node 1
        -- the key's node reports twenty requests waiting
        2 to node 2
        -- a second later the report has expired
        3 to node 1
    "#]]);
}

/// Proxies, which don't know of each other's choices, once copied each key to random nodes.
#[test]
fn all_proxies_choose_the_same_first_node_for_a_key() {
    let mut all = String::new();
    for seed in 1..=3 {
        let mut rig = seeded(seed, 8, "retriable", &[("fleet", Value::Number(60.0))]);
        (1..=6).for_each(|key| rig.arrive_for(key, key));
        all += &format!("{}\n", rig.balancer.host.0);
    }
    expect![[r#"
        1 to node 1, 2 to node 3, 3 to node 6, 4 to origin, 5 to node 5
        1 to node 1, 2 to node 3, 3 to node 6, 4 to origin, 5 to node 5
        1 to node 1, 2 to node 3, 3 to node 6, 4 to origin, 5 to node 5
    "#]]
    .assert_eq(&all);
}

/// Slow machines once got as many keys as fast ones, and were late with all of them.
#[test]
fn machine_types_that_answer_sooner_get_more_keys() {
    let mut rig = rig(4, "retriable", &[]);
    for node in 1..=4 {
        let (machine_type, weight) = (node % 2, if node < 3 { 2.0 } else { 1.0 });
        rig.balancer.node_listed(rig.now, node, ListedNode { machine_type, weight, ..listed(node) });
    }
    let mut counts = [0; 5];
    for key in 1..=600 {
        rig.balancer.host.0.clear();
        rig.arrive_for(key, key * 7919);
        let node = (1..=4).find(|node| rig.balancer.host.0.contains(&format!("to node {node}"))).unwrap_or(0);
        counts[node] += 1;
        rig.now += if node % 2 == 0 { 40 * MS } else { 10 * MS };
        rig.end_attempt(key, 0, Outcome::Completed);
        rig.balancer.timer_fired(rig.now, 0);
    }
    // Odd nodes answer four times as fast; the first two nodes have twice the weight.
    expect![[r#"
        [319, 87, 158, 36]
    "#]]
    .assert_eq(&format!("{:?}\n", &counts[1..]));
}

/// When all nodes were slow, every first attempt was once cut short, which caused a miss and one more fetch
/// each.
#[test]
fn first_attempts_keep_their_full_timeout_while_hits_are_slow() {
    let mut timeouts = Vec::new();
    for latency in [100, 400] {
        let mut rig = rig(4, "retriable", &[]);
        for id in 1..=10 {
            rig.arrive_for(id, id);
            rig.now += latency * MS;
            rig.end_attempt(id, 0, Outcome::Completed);
            rig.balancer.timer_fired(rig.now, 0);
        }
        rig.arrive(11);
        timeouts.push(rig.balancer.host.1.last().copied().unwrap_or(0) / MS);
    }
    assert_eq!(timeouts, [500, 2000]);
}

/// A refusal once counted for 100 ms only. One of fifty proxies uses a node every few seconds, so it found
/// the same node full each time, and a third of all attempts were refused.
#[test]
fn a_refusal_counts_until_this_proxy_would_use_the_node_again() {
    let mut rig = rig(4, "retriable", &[]);
    // One answer per second from one of four nodes: each node is used every four seconds.
    for id in 1..=8 {
        rig.arrive_for(id, id);
        rig.end_attempt(id, 0, Outcome::Completed);
        rig.advance(SECOND);
    }
    let key = |rig: &mut crate::rig::Rig, id: u64| rig.arrive_for(id, 1);
    rig.note("its node is full");
    key(&mut rig, 9);
    rig.end_attempt(9, 0, Outcome::Saturated);
    rig.end_attempt(9, 1, Outcome::Completed);
    rig.note("one second later, and five");
    rig.advance(SECOND);
    key(&mut rig, 10);
    rig.end_attempt(10, 0, Outcome::Completed);
    rig.advance(4 * SECOND);
    key(&mut rig, 11);
    rig.assert_calls(expect![[r#"
        1 to node 1, 2 to node 3, 3 to node 4, 4 to node 3, 5 to node 2, 6 to node 1, 7 to node 4, 8 to node 1
        -- its node is full
        9 to node 1, 9 to node 4
        -- one second later, and five
        10 to node 4, 11 to node 4
    "#]]);
}

/// Fetches that waited for half their objective were answered too late for it, so an overloaded origin never
/// recovered.
#[test]
fn a_fetch_waits_a_third_of_its_objective() {
    let mut rig = rig(1, "retriable", &[]);
    for id in [1, 2] {
        rig.arrive(id);
        rig.end_attempt(id, 0, Outcome::Missed);
    }
    for ms in [332, 2] {
        rig.note(&format!("{ms} ms later"));
        rig.now += ms * crate::rig::MS;
        rig.balancer.timer_fired(rig.now, 2);
    }
    rig.assert_calls(expect![[r#"
        1 to node 1, 1 to origin
        -- 332 ms later
        -- 2 ms later
        2 shed
    "#]]);
}
