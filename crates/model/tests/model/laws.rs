//! Laws under random events.

use proptest::prelude::*;
use pumicebay_model::node::CacheNode;
use pumicebay_model::origin::Origin;
use pumicebay_model::spec::{NodeSpec, OriginSpec};
use pumicebay_model::station::{Environment, Job, JobId, JobOutcome};
use pumicebay_model::store::Store;
use pumicebay_model::{Nanos, SECOND};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

/// Plays a place's own timers, and notes what it answers.
#[derive(Default)]
pub struct Bench {
    pub timers: BinaryHeap<Reverse<(Nanos, JobId)>>,
    pub answers: BTreeMap<JobId, Vec<JobOutcome>>,
    pub ran: BTreeMap<JobId, usize>,
    pub fell: usize,
}

impl Environment for Bench {
    fn schedule_completion(&mut self, at: Nanos, job: JobId) {
        self.timers.push(Reverse((at, job)));
    }
    fn execution_started(&mut self, job: JobId) {
        *self.ran.entry(job).or_default() += 1;
    }
    fn respond(&mut self, job: JobId, verdict: JobOutcome) {
        self.answers.entry(job).or_default().push(verdict);
    }
    fn crashed(&mut self, _now: Nanos) {
        self.fell += 1;
    }
}

pub fn job(id: JobId, key: u64) -> Job {
    Job { id, key, value_bytes: 1000, service_time: 10_000_000, write: false }
}

/// The plainest way to keep copies: a list, the one used last at its end.
#[derive(Default)]
struct Plain(Vec<(u64, u64)>);

impl Plain {
    fn read(&mut self, key: u64) -> bool {
        let Some(at) = self.0.iter().position(|copy| copy.0 == key) else { return false };
        let copy = self.0.remove(at);
        self.0.push(copy);
        true
    }

    fn keep(&mut self, key: u64, size: u64, memory: u64) {
        self.0.retain(|copy| copy.0 != key);
        if size > memory {
            return;
        }
        self.0.push((key, size));
        while self.0.iter().map(|copy| copy.1).sum::<u64>() > memory {
            self.0.remove(0);
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 128, failure_persistence: None, ..ProptestConfig::default() })]

    /// The store does what a plain list does, and holds no more than its memory.
    #[test]
    fn store_is_least_recently_used(steps in prop::collection::vec((0u8..4, 0u64..12, 1u64..60), 1..200)) {
        let (mut store, mut plain) = (Store::new(100), Plain::default());
        for (step, key, size) in steps {
            match step {
                0 => prop_assert_eq!(store.lookup(key), plain.read(key)),
                1 | 2 => {
                    store.insert(key, size * 2);
                    plain.keep(key, size * 2, 100);
                }
                _ => {
                    store.remove(key);
                    plain.0.retain(|copy| copy.0 != key);
                }
            }
            prop_assert!(store.used_bytes() <= 100);
            prop_assert_eq!(store.used_bytes(), plain.0.iter().map(|copy| copy.1).sum::<u64>());
            prop_assert_eq!(store.entry_count(), plain.0.len());
        }
    }

    /// Every job that arrives at a node that stays up ends once, and no more are served than there are slots.
    #[test]
    fn jobs_end_once(
        steps in prop::collection::vec((0u64..40, 0u64..6, 0u8..10), 1..150),
        slots in 1usize..5, queue_capacity in 0usize..6,
    ) {
        let spec = NodeSpec { slots, queue_capacity, ..NodeSpec::default() };
        let (mut node, mut bench, mut now) = (CacheNode::new(&spec, 3, 0), Bench::default(), 0);
        let mut cancelled = Vec::new();
        for (id, (gap, key, odd)) in (1..).zip(&steps) {
            now += gap * 1_000_000;
            run(&mut node, &mut bench, now);
            node.job_arrived(now, job(id, *key), &mut bench);
            match odd {
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
        run(&mut node, &mut bench, Nanos::MAX);
        prop_assert_eq!(node.in_flight(), 0);
        for id in 1..=steps.len() as u64 {
            let ends = bench.answers.get(&id).map_or(0, Vec::len);
            prop_assert!(ends == 1 || ends == 0 && cancelled.contains(&id), "job {} ended {} times", id, ends);
            let ran = bench.ran.get(&id).copied().unwrap_or(0);
            let done = bench.answers.get(&id).is_some_and(|all| all[0] == JobOutcome::Completed);
            prop_assert_eq!(ran, usize::from(done));
        }
    }

    /// So it is at the origin, however often it stops.
    #[test]
    fn origin_ends_what_it_takes(gaps in prop::collection::vec(0u64..30, 1..200), slots in 1usize..4) {
        let spec = OriginSpec { slots, queue_capacity: 4, overload_seconds: 0.2, down_seconds: 0.3, ..OriginSpec::default() };
        let (mut origin, mut bench, mut now) = (Origin::new(&spec, 5), Bench::default(), 0);
        let mut taken = 0;
        for (id, gap) in (1..).zip(&gaps) {
            now += gap * 1_000_000;
            while let Some(&Reverse((at, done))) = bench.timers.peek().filter(|Reverse((at, _))| *at <= now) {
                bench.timers.pop();
                origin.job_finished(at, done, &mut bench);
            }
            taken += usize::from(origin.is_up(now));
            origin.job_arrived(now, job(id, id), &mut bench);
            prop_assert!(origin.running() <= slots);
        }
        let answered: usize = bench.answers.values().map(Vec::len).sum();
        prop_assert!(bench.answers.values().all(|all| all.len() == 1));
        // What is neither answered nor there was lost in a stop.
        prop_assert!(answered + origin.in_flight() <= taken);
        prop_assert!(bench.fell > 0 || answered + origin.in_flight() == taken);
    }
}

/// Ends what is due by then.
pub fn run(node: &mut CacheNode, bench: &mut Bench, until: Nanos) {
    while let Some(&Reverse((at, id))) = bench.timers.peek().filter(|Reverse((at, _))| *at <= until) {
        bench.timers.pop();
        node.job_finished(at, id, bench);
    }
}

/// An origin that takes all that is asked of it falls, and is back after its time.
#[test]
fn an_overrun_origin_stops_and_comes_back() {
    let spec = OriginSpec {
        slots: 1,
        queue_capacity: 1,
        overload_seconds: 0.5,
        down_seconds: 2.0,
        ..OriginSpec::default()
    };
    let (mut origin, mut bench) = (Origin::new(&spec, 1), Bench::default());
    let mut fell_at = None;
    for step in 0..100u64 {
        let now = step * 10_000_000;
        origin.job_arrived(now, job(step + 1, step), &mut bench);
        if bench.fell == 1 && fell_at.is_none() {
            fell_at = Some(now);
        }
    }
    let fell_at = fell_at.expect("it falls");
    assert!(fell_at >= SECOND / 2 && !origin.is_up(fell_at + SECOND) && origin.is_up(fell_at + 2 * SECOND));
}
