//! A cache node, step by step.

use crate::laws::{Bench, job, run};
use pumicebay_model::SECOND;
use pumicebay_model::node::CacheNode;
use pumicebay_model::spec::NodeSpec;
use pumicebay_model::station::JobOutcome;

fn node(spec: &NodeSpec) -> (CacheNode, Bench) {
    let mut node = CacheNode::new(spec, 1, 0);
    node.store.insert(7, 1000);
    (node, Bench::default())
}

fn verdicts(bench: &Bench) -> Vec<JobOutcome> {
    bench.answers.values().flatten().copied().collect()
}

#[test]
fn hits_misses_and_what_has_no_room() {
    let (mut node, mut bench) = node(&NodeSpec { slots: 1, queue_capacity: 1, ..NodeSpec::default() });
    node.job_arrived(0, job(1, 7), &mut bench);
    node.job_arrived(0, job(2, 8), &mut bench);
    node.job_arrived(0, job(3, 7), &mut bench);
    run(&mut node, &mut bench, SECOND);
    assert_eq!(verdicts(&bench), [JobOutcome::Completed, JobOutcome::Missed, JobOutcome::Rejected]);
}

#[test]
fn errors_spoils_and_silence() {
    let (mut node, mut bench) = node(&NodeSpec::default());
    node.error_share = 1.0;
    node.job_arrived(0, job(1, 7), &mut bench);
    (node.error_share, node.corrupt_share) = (0.0, 1.0);
    node.job_arrived(0, job(2, 7), &mut bench);
    run(&mut node, &mut bench, SECOND);
    node.unresponsive = true;
    node.job_arrived(SECOND, job(3, 7), &mut bench);
    run(&mut node, &mut bench, 9 * SECOND);
    assert_eq!(verdicts(&bench), [JobOutcome::Failed, JobOutcome::Corrupted]);
    // A quick error has not run, an answer that got spoilt has.
    assert_eq!(bench.ran.keys().copied().collect::<Vec<_>>(), [2]);
}

#[test]
fn a_pause_delays_what_is_served() {
    let (mut node, mut bench) = node(&NodeSpec::default());
    node.job_arrived(0, job(1, 7), &mut bench);
    node.pause(3 * SECOND);
    run(&mut node, &mut bench, 3 * SECOND - 1);
    assert!(bench.answers.is_empty());
    run(&mut node, &mut bench, 3 * SECOND);
    assert_eq!(verdicts(&bench), [JobOutcome::Completed]);
}

#[test]
fn draining_nodes_finish_and_turn_away() {
    let (mut node, mut bench) = node(&NodeSpec::default());
    node.draining_since = Some(0);
    node.job_arrived(SECOND / 2, job(1, 7), &mut bench);
    node.job_arrived(2 * SECOND, job(2, 7), &mut bench);
    run(&mut node, &mut bench, 9 * SECOND);
    assert_eq!(verdicts(&bench), [JobOutcome::Completed, JobOutcome::Rejected]);
}

#[test]
fn a_new_process_is_empty_cold_and_warms() {
    let (mut node, _) = node(&NodeSpec { warm_up_seconds: 10.0, start_capacity: 0.2, ..NodeSpec::default() });
    node.start(5 * SECOND);
    assert_eq!(node.store.entry_count(), 0);
    assert_eq!(node.capacity_share(5 * SECOND), 0.2);
    assert!((node.capacity_share(10 * SECOND) - 0.6).abs() < 1e-9);
    assert_eq!(node.capacity_share(15 * SECOND), 1.0);
}

#[test]
fn a_cold_node_falls_when_it_is_buried_and_a_warm_one_does_not() {
    let spec = NodeSpec { cores: 1, overload_multiple: 2.0, ..NodeSpec::default() };
    // One core that is at a fifth bears 2 * 0.2 s a second, which is 40 of these, and by chance 14 more.
    let offer = |started, count| {
        let (mut node, mut bench) = node(&spec);
        node.started_at = started;
        for id in 1..=count {
            node.job_arrived(SECOND, job(id, 7), &mut bench);
        }
        (bench.fell, node.up)
    };
    assert_eq!(offer(SECOND, 54), (0, true));
    assert_eq!(offer(SECOND, 55), (1, false));
    assert_eq!(offer(0, 60), (0, true));
}

#[test]
fn connections_are_refused_past_the_table() {
    let (mut node, _) = node(&NodeSpec { max_connections: 2, ..NodeSpec::default() });
    assert!(node.connect() && node.connect() && !node.connect());
    node.disconnect();
    assert!(node.connect());
    node.refuses_connections = true;
    node.disconnect();
    assert!(!node.connect());
}
