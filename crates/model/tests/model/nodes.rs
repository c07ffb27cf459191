//! The behaviour of a cache node, one feature at a time.

use crate::invariants::{TestEnvironment, read_job, run_until};
use pumicebay_model::SECOND;
use pumicebay_model::node::CacheNode;
use pumicebay_model::spec::NodeSpec;
use pumicebay_model::station::JobOutcome;

/// A warm node that holds key 7.
fn node(spec: &NodeSpec) -> (CacheNode, TestEnvironment) {
    let mut node = CacheNode::new(spec, 1, 0);
    node.store.insert(7, 1000);
    (node, TestEnvironment::default())
}

/// All outcomes, ordered by job.
fn outcomes(env: &TestEnvironment) -> Vec<JobOutcome> {
    env.responses.values().flatten().copied().collect()
}

#[test]
fn jobs_hit_miss_or_are_rejected_by_a_full_queue() {
    let (mut node, mut env) = node(&NodeSpec { slots: 1, queue_capacity: 1, ..NodeSpec::default() });
    node.job_arrived(0, read_job(1, 7), &mut env);
    node.job_arrived(0, read_job(2, 8), &mut env);
    node.job_arrived(0, read_job(3, 7), &mut env);
    run_until(&mut node, &mut env, SECOND);
    assert_eq!(outcomes(&env), [JobOutcome::Completed, JobOutcome::Missed, JobOutcome::Rejected]);
}

#[test]
fn faults_make_a_node_fail_corrupt_or_drop_responses() {
    let (mut node, mut env) = node(&NodeSpec::default());
    node.error_share = 1.0;
    node.job_arrived(0, read_job(1, 7), &mut env);
    (node.error_share, node.corrupt_share) = (0.0, 1.0);
    node.job_arrived(0, read_job(2, 7), &mut env);
    run_until(&mut node, &mut env, SECOND);
    node.unresponsive = true;
    node.job_arrived(SECOND, read_job(3, 7), &mut env);
    run_until(&mut node, &mut env, 9 * SECOND);
    assert_eq!(outcomes(&env), [JobOutcome::Failed, JobOutcome::Corrupted]);
    // A job that fails at once is not executed; one whose response is corrupted is.
    assert_eq!(env.executions.keys().copied().collect::<Vec<_>>(), [2]);
}

#[test]
fn a_pause_delays_running_jobs() {
    let (mut node, mut env) = node(&NodeSpec::default());
    node.job_arrived(0, read_job(1, 7), &mut env);
    node.pause(3 * SECOND);
    run_until(&mut node, &mut env, 3 * SECOND - 1);
    assert!(env.responses.is_empty());
    run_until(&mut node, &mut env, 3 * SECOND);
    assert_eq!(outcomes(&env), [JobOutcome::Completed]);
}

#[test]
fn a_draining_node_rejects_new_jobs_only_after_the_grace() {
    let (mut node, mut env) = node(&NodeSpec::default());
    node.draining_since = Some(0);
    node.job_arrived(SECOND / 2, read_job(1, 7), &mut env);
    node.job_arrived(2 * SECOND, read_job(2, 7), &mut env);
    run_until(&mut node, &mut env, 9 * SECOND);
    assert_eq!(outcomes(&env), [JobOutcome::Completed, JobOutcome::Rejected]);
}

#[test]
fn a_new_process_is_empty_and_warms_up() {
    let (mut node, _) = node(&NodeSpec { warm_up_seconds: 10.0, start_capacity: 0.2, ..NodeSpec::default() });
    node.start(5 * SECOND);
    assert_eq!(node.store.entry_count(), 0);
    assert_eq!(node.capacity_share(5 * SECOND), 0.2);
    assert!((node.capacity_share(10 * SECOND) - 0.6).abs() < 1e-9);
    assert_eq!(node.capacity_share(15 * SECOND), 1.0);
}

#[test]
fn an_overloaded_node_crashes_only_while_cold() {
    let spec = NodeSpec { cores: 1, overload_multiple: 2.0, ..NodeSpec::default() };
    // One core at a fifth of its capacity is allowed 2 * 0.2 s of work a second, which is 40 of these jobs.
    // The margin for random clustering adds 14.
    let offer = |started_at, count| {
        let (mut node, mut env) = node(&spec);
        node.started_at = started_at;
        for id in 1..=count {
            node.job_arrived(SECOND, read_job(id, 7), &mut env);
        }
        (env.crashes, node.up)
    };
    assert_eq!(offer(SECOND, 54), (0, true));
    assert_eq!(offer(SECOND, 55), (1, false));
    assert_eq!(offer(0, 60), (0, true));
}

#[test]
fn connections_beyond_the_limit_are_refused() {
    let (mut node, _) = node(&NodeSpec { max_connections: 2, ..NodeSpec::default() });
    assert!(node.connect() && node.connect() && !node.connect());
    node.disconnect();
    assert!(node.connect());
    node.refuses_connections = true;
    node.disconnect();
    assert!(!node.connect());
}
