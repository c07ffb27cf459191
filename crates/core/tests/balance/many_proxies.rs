//! What one of several hundred proxies may conclude from the few requests that it sees.

use crate::rig::{MS, Rig, SECOND, listed, rig};
use expect_test::expect;
use pumicebay_core::settings::Value;
use pumicebay_core::{ListedNode, Outcome};

fn one_of_300(caches: usize) -> Rig {
    rig(caches, "retriable", &[("fleet", Value::Number(300.0))])
}

/// The timeout of each attempt, in milliseconds.
fn timeouts(rig: &Rig) -> String {
    let times: Vec<u64> = rig.balancer.host.1.iter().map(|time| time / MS).collect();
    format!("{times:?}")
}

/// A request that times out: its client waits 100 ms, with an objective of a second.
fn time_out(rig: &mut Rig, id: u64) {
    rig.arrive(id);
    rig.advance(100 * MS);
    rig.end_attempt(id, 0, Outcome::Overdue);
}

/// With clients that gave up after 129 ms, each of 300 proxies once ejected a crowded node after a single
/// timeout. This made 1,500 ejections a second, and the keys scattered over nodes that lacked them.
#[test]
fn short_client_timeouts_eject_no_node_but_silence_for_an_objective_does() {
    let mut rig = one_of_300(1);
    rig.params.client_timeout = 100 * MS;
    (1..=8).for_each(|id| time_out(&mut rig, id));
    rig.note("one answer, then ten timeouts");
    rig.arrive(9);
    rig.end_attempt(9, 0, Outcome::Completed);
    (10..=19).for_each(|id| time_out(&mut rig, id));
    rig.assert_calls(expect![[r#"
        1 to node 1, 1 shed, 2 to node 1, 2 shed, 3 to node 1, 3 shed, 4 to node 1, 4 shed, 5 to node 1, 5 shed, 6 to node 1, 6 shed, 7 to node 1, 7 shed, 8 to node 1, 8 shed
        -- one answer, then ten timeouts
        9 to node 1, 10 to node 1, 10 shed, 11 to node 1, 11 shed, 12 to node 1, 12 shed, 13 to node 1, 13 shed, 14 to node 1, 14 shed, 15 to node 1, 15 shed, 16 to node 1, 16 shed, 17 to node 1, 17 shed, 18 to node 1, 18 shed, 19 to node 1
        log: node 1 ejected: 1 failures, last Overdue
        19 shed
    "#]]);
}

/// A dead node is still ejected after a single request that waited long enough.
#[test]
fn a_node_that_is_silent_for_an_objective_is_ejected_after_one_request() {
    let mut rig = one_of_300(4);
    rig.arrive(1);
    rig.advance(2 * SECOND);
    rig.end_attempt(1, 0, Outcome::Overdue);
    rig.assert_calls(expect![[r#"
        1 to node 4
        log: node 4 ejected: 1 failures, last Overdue
        1 shed
    "#]]);
}

/// Answered probes count as responses: time waited before them no longer counts.
#[test]
fn a_reinstated_node_is_not_ejected_again_for_one_short_timeout() {
    let mut rig = one_of_300(1);
    rig.arrive(1);
    rig.advance(2 * SECOND);
    rig.end_attempt(1, 0, Outcome::Overdue);
    (0..2).for_each(|_| rig.balancer.probe_finished(1, Outcome::Completed));
    rig.params.client_timeout = 100 * MS;
    time_out(&mut rig, 2);
    rig.assert_calls(expect![[r#"
        1 to node 1
        log: node 1 ejected: 1 failures, last Overdue
        1 shed
        log: node 1 reinstated: 2 probes answered
        2 to node 1, 2 shed
    "#]]);
}

/// Half of the origin's answers once came too late for clients with short timeouts, were discarded, and were
/// then fetched again by the clients' next attempts.
#[test]
fn a_fetch_outlives_its_client_and_later_requests_wait_for_it() {
    let mut rig = one_of_300(4);
    rig.params.client_timeout = 100 * MS;
    rig.arrive(1);
    rig.end_attempt(1, 0, Outcome::Missed);
    let times = timeouts(&rig);
    rig.note(&format!("timeouts of {times} ms; the client's deadline has passed"));
    rig.now += 100 * MS;
    rig.balancer.timer_fired(rig.now, 1);
    rig.note("the client's next attempt, then another client that leaves, and a third");
    rig.arrive(2);
    rig.arrive(3);
    rig.balancer.request_cancelled(rig.now, 3);
    rig.now += 50 * MS;
    rig.arrive(4);
    rig.note("the origin answers");
    rig.balancer.attempt_ended(rig.now, 1, 1, Outcome::Completed, true);
    rig.assert_calls(expect![[r#"
        1 to node 4, 1 to origin
        -- timeouts of [100, 1000] ms; the client's deadline has passed
        1 shed, 1 cancelled
        -- the client's next attempt, then another client that leaves, and a third
        -- the origin answers
        2 to node 4, 4 to origin
    "#]]);
}

/// The same for a client that cancels its request.
#[test]
fn later_requests_wait_for_a_fetch_whose_client_left() {
    let mut rig = one_of_300(4);
    rig.arrive(1);
    rig.end_attempt(1, 0, Outcome::Missed);
    rig.balancer.request_cancelled(rig.now, 1);
    rig.arrive(2);
    rig.note("the origin fails: the waiting request is placed again");
    rig.balancer.attempt_ended(rig.now, 1, 1, Outcome::Errored, true);
    rig.assert_calls(expect![[r#"
        1 to node 4, 1 to origin, 1 cancelled
        -- the origin fails: the waiting request is placed again
        2 to node 4
    "#]]);
}

/// A write, or a request of a route that may not repeat, gets no more time than its client has.
#[test]
fn only_fetches_of_retriable_routes_outlive_their_clients() {
    let mut rig = rig(4, "deduped", &[("fleet", Value::Number(300.0))]);
    rig.params.client_timeout = 100 * MS;
    rig.arrive(1);
    rig.end_attempt(1, 0, Outcome::Missed);
    rig.params.write = true;
    rig.arrive(2);
    expect!["[100, 100]"].assert_eq(&timeouts(&rig));
}

/// When most attempts were refused, each refusal once counted for ten seconds. Every proxy then avoided the
/// refusing nodes and sent requests to nodes that lacked the keys.
#[test]
fn a_refusal_among_many_counts_only_briefly() {
    let mut rig = one_of_300(2);
    rig.arrive(1);
    rig.note("one answer, eight refusals");
    rig.end_attempt(1, 0, Outcome::Completed);
    for id in 2..=5 {
        rig.arrive(id);
        (0..2).for_each(|attempt| rig.end_attempt(id, attempt, Outcome::Saturated));
    }
    rig.note("a fifth of a second later both nodes are used");
    rig.advance(200 * MS);
    for id in 6..=11 {
        rig.arrive(id);
        rig.end_attempt(id, 0, Outcome::Completed);
    }
    rig.assert_calls(expect![[r#"
        1 to node 1
        -- one answer, eight refusals
        2 to node 1, 2 to node 2, 2 to origin, 3 to node 1, 3 to node 2, 4 to node 1, 4 to node 2, 5 to node 2, 5 to node 1, 3 shed
        -- a fifth of a second later both nodes are used
        6 to node 2, 7 to node 1, 8 to node 2, 9 to node 1, 10 to node 1, 11 to node 1
    "#]]);
}

/// When six nodes in ten were new, the total limit once counted them at full capacity, and the warm nodes got
/// all of the load.
#[test]
fn cold_nodes_count_in_the_total_limit_by_their_capacity_share() {
    let mut counts = Vec::new();
    for cold in [0, 20] {
        let mut rig = rig(40, "retriable", &[("fleet", Value::Number(18.0))]);
        rig.now += 60 * SECOND;
        for node in 1..=cold {
            rig.balancer.node_listed(rig.now, node, ListedNode { started: rig.now, ..listed(node) });
        }
        // Answers are slow enough that the minimum limit applies.
        for id in 101..=104 {
            rig.arrive_for(id, id);
            rig.advance(400 * MS);
            rig.end_attempt(id, 0, Outcome::Completed);
        }
        rig.balancer.host.0.clear();
        (1..=60).for_each(|id| rig.arrive_for(id, id));
        counts.push(rig.balancer.host.0.matches("to node").count());
    }
    expect!["[23, 14]"].assert_eq(&format!("{counts:?}"));
}
