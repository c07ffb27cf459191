//! Placement of keys on caches, and fetches of keys that a cache lacks.

use crate::rig::{MS, SECOND, listed, rig};
use expect_test::expect;
use pumicebay_core::{ListedNode, NodeStatus, Outcome, RequestParams};

#[test]
fn a_key_gets_one_replica_and_overflows_to_the_origin() {
    let mut rig = rig(4, "retriable", &[]);
    (1..=7).for_each(|id| rig.arrive(id));
    rig.note(
        "four in flight are the most that the key's node may have; further requests overflow to the origin",
    );
    rig.arrive(8);
    rig.assert_calls(expect![[r#"
        1 to node 4, 2 to node 4, 3 to node 4, 4 to node 4, 5 to origin, 6 to origin, 7 to origin
        -- four in flight are the most that the key's node may have; further requests overflow to the origin
        8 to origin
    "#]]);
}

#[test]
fn a_busy_replica_serves_when_all_nodes_are_past_the_load_threshold() {
    let mut rig = rig(2, "retriable", &[]);
    (0..10).for_each(|key| rig.arrive_for(key + 1, key));
    rig.assert_calls(expect![[r#"
        1 to node 2, 2 to node 1, 3 to node 2, 4 to node 2, 5 to node 2, 6 to origin, 7 to node 1, 8 to node 1, 9 to node 1, 10 to origin
    "#]]);
}

#[test]
fn replicas_are_dropped_when_unused_or_draining() {
    let mut rig = rig(4, "retriable", &[]);
    rig.arrive(1);
    rig.end_attempt(1, 0, Outcome::Completed);
    rig.note("twelve seconds later the key gets a first replica again");
    rig.advance(12 * SECOND);
    rig.arrive(2);
    rig.end_attempt(2, 0, Outcome::Completed);
    rig.note("the other caches drain");
    for node in [1, 2, 3] {
        rig.balancer.node_listed(rig.now, node, ListedNode { status: NodeStatus::Draining, ..listed(node) });
    }
    rig.arrive(3);
    rig.assert_calls(expect![[r#"
        1 to node 4
        -- twelve seconds later the key gets a first replica again
        2 to node 4
        -- the other caches drain
        3 to node 4
    "#]]);
}

#[test]
fn a_refusing_node_counts_as_past_the_load_threshold() {
    let mut rig = rig(3, "retriable", &[]);
    rig.arrive(1);
    rig.end_attempt(1, 0, Outcome::Saturated);
    rig.note("for a while the node is avoided");
    rig.arrive(2);
    rig.assert_calls(expect![[r#"
        1 to node 1, 1 to node 2
        -- for a while the node is avoided
        2 to node 2
    "#]]);
}

#[test]
fn misses_of_a_key_share_one_fetch() {
    let mut rig = rig(3, "retriable", &[]);
    rig.arrive(1);
    rig.arrive(2);
    rig.end_attempt(1, 0, Outcome::Missed);
    rig.end_attempt(2, 0, Outcome::Missed);
    rig.note("the cache is about to get the key, so requests wait for the fetch");
    rig.arrive(3);
    rig.end_attempt(1, 1, Outcome::Completed);
    rig.assert_calls(expect![[r#"
        1 to node 1, 2 to node 1, 1 to origin
        -- the cache is about to get the key, so requests wait for the fetch
        2 to node 1, 3 to node 1
    "#]]);
}

#[test]
fn requests_that_waited_for_a_failed_fetch_are_placed_again() {
    let mut rig = rig(3, "retriable", &[]);
    rig.arrive(1);
    rig.arrive(2);
    rig.end_attempt(1, 0, Outcome::Missed);
    rig.end_attempt(2, 0, Outcome::Missed);
    rig.end_attempt(1, 1, Outcome::Saturated);
    rig.assert_calls(expect![[r#"
        1 to node 1, 2 to node 1, 1 to origin, 1 shed, 2 to node 1
    "#]]);
}

#[test]
fn requests_without_key_and_writes_are_placed() {
    let mut rig = rig(3, "retriable", &[]);
    rig.balancer.request_arrived(rig.now, 1, RequestParams { key: None, ..rig.params });
    rig.end_attempt(1, 0, Outcome::Missed);
    rig.balancer.request_arrived(rig.now + MS, 2, RequestParams { write: true, ..rig.params });
    rig.assert_calls(expect![[r#"
        1 to node 2, 1 to origin, 2 to origin
    "#]]);
}
