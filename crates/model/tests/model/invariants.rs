//! Properties that hold under random events.

use proptest::prelude::*;
use pumicebay_model::node::CacheNode;
use pumicebay_model::origin::Origin;
use pumicebay_model::spec::{NodeSpec, OriginSpec};
use pumicebay_model::station::{Environment, Job, JobId, JobOutcome};
use pumicebay_model::store::Store;
use pumicebay_model::{Nanos, SECOND};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

/// Keeps the timers of a node or the origin and records what it reports.
#[derive(Default)]
pub struct TestEnvironment {
    /// Scheduled completions, earliest first.
    pub timers: BinaryHeap<Reverse<(Nanos, JobId)>>,
    pub responses: BTreeMap<JobId, Vec<JobOutcome>>,
    /// How often each job was executed.
    pub executions: BTreeMap<JobId, usize>,
    pub crashes: usize,
}

impl Environment for TestEnvironment {
    fn schedule_completion(&mut self, at: Nanos, job: JobId) {
        self.timers.push(Reverse((at, job)));
    }
    fn execution_started(&mut self, job: JobId) {
        *self.executions.entry(job).or_default() += 1;
    }
    fn respond(&mut self, job: JobId, outcome: JobOutcome) {
        self.responses.entry(job).or_default().push(outcome);
    }
    fn crashed(&mut self, _now: Nanos) {
        self.crashes += 1;
    }
}

/// A read with a service time of 10 ms.
pub fn read_job(id: JobId, key: u64) -> Job {
    Job { id, key, value_bytes: 1000, service_time: 10_000_000, write: false }
}

/// A reference implementation of the store: a list of keys and sizes, with the most recently used at the end.
#[derive(Default)]
struct ReferenceStore(Vec<(u64, u64)>);

impl ReferenceStore {
    fn lookup(&mut self, key: u64) -> bool {
        let Some(at) = self.0.iter().position(|entry| entry.0 == key) else { return false };
        let entry = self.0.remove(at);
        self.0.push(entry);
        true
    }

    fn insert(&mut self, key: u64, value_bytes: u64, capacity_bytes: u64) {
        self.0.retain(|entry| entry.0 != key);
        if value_bytes > capacity_bytes {
            return;
        }
        self.0.push((key, value_bytes));
        while self.0.iter().map(|entry| entry.1).sum::<u64>() > capacity_bytes {
            self.0.remove(0);
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 128, failure_persistence: None, ..ProptestConfig::default() })]

    /// The store behaves as the reference implementation and never exceeds its capacity.
    #[test]
    fn store_evicts_the_least_recently_used_keys(
        steps in prop::collection::vec((0u8..4, 0u64..12, 1u64..60), 1..200)
    ) {
        let (mut store, mut reference) = (Store::new(100), ReferenceStore::default());
        for (step, key, size) in steps {
            match step {
                0 => prop_assert_eq!(store.lookup(key), reference.lookup(key)),
                1 | 2 => {
                    store.insert(key, size * 2);
                    reference.insert(key, size * 2, 100);
                }
                _ => {
                    store.remove(key);
                    reference.0.retain(|entry| entry.0 != key);
                }
            }
            prop_assert!(store.used_bytes() <= 100);
            prop_assert_eq!(store.used_bytes(), reference.0.iter().map(|entry| entry.1).sum::<u64>());
            prop_assert_eq!(store.entry_count(), reference.0.len());
        }
    }

    /// Each job that arrives at a node that stays up gets exactly one response, unless it is cancelled, and
    /// the limits on running and waiting jobs hold.
    #[test]
    fn each_job_of_a_node_ends_once(
        steps in prop::collection::vec((0u64..40, 0u64..6, 0u8..10), 1..150),
        slots in 1usize..5, queue_capacity in 0usize..6,
    ) {
        let spec = NodeSpec { slots, queue_capacity, ..NodeSpec::default() };
        let (mut node, mut env, mut now) = (CacheNode::new(&spec, 3, 0), TestEnvironment::default(), 0);
        let mut cancelled = Vec::new();
        for (id, (gap, key, event)) in (1..).zip(&steps) {
            now += gap * 1_000_000;
            run_until(&mut node, &mut env, now);
            node.job_arrived(now, read_job(id, *key), &mut env);
            match event {
                0 => node.store.insert(*key, 1000),
                1 => node.pause(now + 50_000_000),
                2 => {
                    cancelled.push(id);
                    node.cancel(id);
                }
                _ => {}
            }
            prop_assert!(node.running() <= slots);
            prop_assert!(node.in_flight() <= slots + queue_capacity);
        }
        run_until(&mut node, &mut env, Nanos::MAX);
        prop_assert_eq!(node.in_flight(), 0);
        for id in 1..=steps.len() as u64 {
            let ends = env.responses.get(&id).map_or(0, Vec::len);
            prop_assert!(ends == 1 || ends == 0 && cancelled.contains(&id), "job {} ended {} times", id, ends);
            let executions = env.executions.get(&id).copied().unwrap_or(0);
            let completed = env.responses.get(&id).is_some_and(|all| all[0] == JobOutcome::Completed);
            prop_assert_eq!(executions, usize::from(completed));
        }
    }

    /// Each job gets at most one response from the origin, however often it crashes, and only a crash loses
    /// jobs that it has accepted.
    #[test]
    fn only_a_crash_of_the_origin_loses_jobs(
        gaps in prop::collection::vec(0u64..30, 1..200), slots in 1usize..4
    ) {
        let spec = OriginSpec {
            slots, queue_capacity: 4, overload_seconds: 0.2, down_seconds: 0.3, ..OriginSpec::default()
        };
        let (mut origin, mut env, mut now) = (Origin::new(&spec, 5), TestEnvironment::default(), 0);
        let mut accepted = 0;
        for (id, gap) in (1..).zip(&gaps) {
            now += gap * 1_000_000;
            while let Some(&Reverse((at, done))) = env.timers.peek().filter(|Reverse((at, _))| *at <= now) {
                env.timers.pop();
                origin.job_finished(at, done, &mut env);
            }
            accepted += usize::from(origin.is_up(now));
            origin.job_arrived(now, read_job(id, id), &mut env);
            prop_assert!(origin.running() <= slots);
        }
        let answered: usize = env.responses.values().map(Vec::len).sum();
        prop_assert!(env.responses.values().all(|all| all.len() == 1));
        // Jobs that are neither answered nor in flight were lost in a crash.
        prop_assert!(answered + origin.in_flight() <= accepted);
        prop_assert!(env.crashes > 0 || answered + origin.in_flight() == accepted);
    }
}

/// Completes all jobs whose scheduled completion is not after `until`.
pub fn run_until(node: &mut CacheNode, env: &mut TestEnvironment, until: Nanos) {
    while let Some(&Reverse((at, id))) = env.timers.peek().filter(|Reverse((at, _))| *at <= until) {
        env.timers.pop();
        node.job_finished(at, id, env);
    }
}

/// An origin whose queue stays full crashes, and is up again after its downtime.
#[test]
fn an_overloaded_origin_crashes_and_recovers() {
    let spec = OriginSpec {
        slots: 1,
        queue_capacity: 1,
        overload_seconds: 0.5,
        down_seconds: 2.0,
        ..OriginSpec::default()
    };
    let (mut origin, mut env) = (Origin::new(&spec, 1), TestEnvironment::default());
    let mut crashed_at = None;
    for step in 0..100u64 {
        let now = step * 10_000_000;
        origin.job_arrived(now, read_job(step + 1, step), &mut env);
        if env.crashes == 1 && crashed_at.is_none() {
            crashed_at = Some(now);
        }
    }
    let crashed_at = crashed_at.expect("the origin crashes");
    assert!(
        crashed_at >= SECOND / 2
            && !origin.is_up(crashed_at + SECOND)
            && origin.is_up(crashed_at + 2 * SECOND)
    );
}
