//! An emulated cache node. It serves the keys that it holds, rejects jobs that find its queue full, starts
//! with an empty store and reduced capacity, and crashes when it is overloaded before it has warmed up.

use crate::registry::{NodeEntry, NodeState};
use crate::seeds::{Rng, rng};
use crate::spec::NodeSpec;
use crate::station::{Admission, Environment, Job, JobId, JobOutcome, Station};
use crate::store::Store;
use crate::{Nanos, millis, seconds};
use rand::RngExt;
use rand_distr::{Distribution, LogNormal};
use std::collections::VecDeque;

/// The cost of a lookup that finds nothing, as a share of that of a hit.
const MISS_COST: f64 = 0.2;

/// A cache node. The environment sets the public fields, as faults require.
#[derive(Debug)]
pub struct CacheNode {
    spec: NodeSpec,
    station: Station,
    /// The keys that it holds.
    pub store: Store,
    rng: Rng,
    /// Random variation of service times, with a mean of 1.
    service_time_factor: LogNormal<f64>,
    /// Factor on all service times, fixed for this machine.
    machine_slowdown: f64,
    /// Factor on all service times; 1 without a fault.
    pub slowdown: f64,
    /// Whether the process runs.
    pub up: bool,
    /// When the process started; 0 if that was before the scenario, so that it is warm.
    pub started_at: Nanos,
    /// Share of the jobs that fail at once, without execution.
    pub error_share: f64,
    /// Share of the hits and writes whose response is corrupted.
    pub corrupt_share: f64,
    /// Whether new connections are refused.
    pub refuses_connections: bool,
    /// Whether requests are accepted and never answered.
    pub unresponsive: bool,
    /// When it began to drain. New jobs are rejected once the drain grace has passed.
    pub draining_since: Option<Nanos>,
    paused_until: Nanos,
    open_connections: usize,
    /// Jobs that arrived within the overload window while the node was cold: arrival and service time.
    cold_arrivals: VecDeque<(Nanos, Nanos)>,
    /// Sum of the service times in `cold_arrivals`.
    cold_service_time: Nanos,
}

impl CacheNode {
    /// Creates a warm node with an empty store. `index` selects its random numbers.
    pub fn new(spec: &NodeSpec, seed: u64, index: usize) -> CacheNode {
        let mut rng = rng(seed, "node", index as u64);
        let deviation = rng.random_range(-1.0..=1.0) * spec.speed_variation;
        CacheNode {
            station: Station::new(spec.slots, spec.queue_capacity),
            store: Store::new((spec.memory_mb * 1e6) as u64),
            service_time_factor: LogNormal::new(
                -spec.service_time_sigma * spec.service_time_sigma / 2.0,
                spec.service_time_sigma,
            )
            .expect("the scenario's sigma was validated"),
            rng,
            machine_slowdown: 1.0 + deviation,
            slowdown: 1.0,
            up: true,
            started_at: 0,
            error_share: 0.0,
            corrupt_share: 0.0,
            refuses_connections: false,
            unresponsive: false,
            draining_since: None,
            paused_until: 0,
            open_connections: 0,
            cold_arrivals: VecDeque::new(),
            cold_service_time: 0,
            spec: spec.clone(),
        }
    }

    /// Accepts a connection. Returns false if the node is down, refuses connections or has reached its limit.
    pub fn connect(&mut self) -> bool {
        let accepts =
            self.up && !self.refuses_connections && self.open_connections < self.spec.max_connections;
        self.open_connections += usize::from(accepts);
        accepts
    }

    /// Closes one connection.
    pub fn disconnect(&mut self) {
        self.open_connections = self.open_connections.saturating_sub(1);
    }

    /// The number of open connections.
    pub fn open_connections(&self) -> usize {
        self.open_connections
    }

    /// Handles a job whose last byte has arrived: drops, fails, rejects, queues or starts it. A cold node
    /// that this job overloads crashes.
    pub fn job_arrived(&mut self, now: Nanos, job: Job, env: &mut impl Environment) {
        if !self.up || self.unresponsive {
            return;
        }
        if self.error_share > 0.0 && self.rng.random::<f64>() < self.error_share {
            return env.respond(job.id, JobOutcome::Failed);
        }
        if self.draining_since.is_some_and(|since| now > since + millis(self.spec.drain_grace_ms)) {
            return env.respond(job.id, JobOutcome::Rejected);
        }
        if self.overloaded_while_cold(now, job.service_time) {
            self.stop();
            return env.crashed(now);
        }
        match self.station.admit(job) {
            Admission::Start => self.start_job(now, job, env),
            Admission::Queued => {}
            Admission::Rejected => env.respond(job.id, JobOutcome::Rejected),
        }
    }

    fn start_job(&mut self, now: Nanos, job: Job, env: &mut impl Environment) {
        let hit = job.write || self.store.lookup(job.key);
        let corrupted = hit && self.corrupt_share > 0.0 && self.rng.random::<f64>() < self.corrupt_share;
        let outcome = match hit {
            _ if corrupted => JobOutcome::Corrupted,
            true => JobOutcome::Completed,
            false => JobOutcome::Missed,
        };
        self.station.start(job, outcome);
        let contention = (self.station.running() as f64 / self.spec.cores as f64).max(1.0)
            * (1.0 + self.spec.queue_slowdown * self.station.queue_fill());
        let cost = if hit { 1.0 } else { MISS_COST };
        let total_slowdown = self.machine_slowdown * self.slowdown * contention / self.capacity_share(now);
        let duration =
            job.service_time as f64 * cost * total_slowdown * self.service_time_factor.sample(&mut self.rng);
        if hit {
            env.execution_started(job.id);
        }
        env.schedule_completion(now.max(self.paused_until) + duration as Nanos, job.id);
    }

    /// Responds to a job at the time that was scheduled for it and starts the next ones; while the node is
    /// paused the completion is scheduled again for the end of the pause. Ignores jobs that a stop discarded.
    pub fn job_finished(&mut self, now: Nanos, id: JobId, env: &mut impl Environment) {
        if self.station.is_running(id) && now < self.paused_until {
            return env.schedule_completion(self.paused_until, id);
        }
        let Some((_, outcome)) = self.station.finish(id) else { return };
        if !self.unresponsive {
            env.respond(id, outcome);
        }
        while let Some(job) = self.station.pop_startable() {
            self.start_job(now, job, env);
        }
    }

    /// Removes a job that still waits in the queue. A job that already runs continues.
    pub fn cancel(&mut self, id: JobId) {
        self.station.cancel(id);
    }

    /// The share of its full capacity that the process has, from 0 to 1. It grows linearly during the
    /// warm-up.
    pub fn capacity_share(&self, now: Nanos) -> f64 {
        let warm_up = seconds(self.spec.warm_up_seconds);
        if self.started_at == 0 || now >= self.started_at + warm_up {
            return 1.0;
        }
        let progress = now.saturating_sub(self.started_at) as f64 / warm_up as f64;
        self.spec.start_capacity + (1.0 - self.spec.start_capacity) * progress
    }

    /// Records an arrival and returns whether the work that arrived within the window exceeds the
    /// configured multiple of the present capacity. Always false on a warm node.
    fn overloaded_while_cold(&mut self, now: Nanos, service_time: Nanos) -> bool {
        let capacity_share = self.capacity_share(now);
        if capacity_share >= 1.0 || self.spec.overload_multiple <= 0.0 {
            self.cold_arrivals.clear();
            self.cold_service_time = 0;
            return false;
        }
        let window = seconds(self.spec.overload_window_seconds);
        while let Some(&(at, service_time)) = self.cold_arrivals.front().filter(|(at, _)| at + window <= now)
        {
            debug_assert!(at <= now);
            self.cold_service_time -= service_time;
            self.cold_arrivals.pop_front();
        }
        self.cold_arrivals.push_back((now, service_time));
        self.cold_service_time += service_time;
        let limit = self.spec.overload_multiple * self.spec.cores as f64 * capacity_share * window as f64;
        // Counted in jobs of mean service time, the margin is twice the square root of the limit plus two:
        // random clustering of arrivals alone must not crash the node.
        let mean = self.cold_service_time as f64 / self.cold_arrivals.len() as f64;
        self.cold_service_time as f64 > limit + 2.0 * (limit * mean).sqrt() + 2.0 * mean
    }

    /// Ends the process: its jobs, connections and stored values are lost.
    pub fn stop(&mut self) {
        self.up = false;
        self.open_connections = 0;
        self.station.clear();
        self.store.clear();
        self.cold_arrivals.clear();
        self.cold_service_time = 0;
    }

    /// Starts a new process, cold and with an empty store.
    pub fn start(&mut self, now: Nanos) {
        self.stop();
        (self.up, self.started_at, self.paused_until, self.draining_since) = (true, now, 0, None);
    }

    /// Completes no job before that time, as during a long pause of the process.
    pub fn pause(&mut self, until: Nanos) {
        self.paused_until = self.paused_until.max(until);
    }

    /// What the node reports to discovery. `reported_left` makes it report that it has left; a `clock_offset`
    /// in nanoseconds makes it report a start time of `now` plus the offset.
    pub fn registry_entry(
        &self,
        node: usize,
        now: Nanos,
        reported_left: bool,
        clock_offset: Option<i64>,
    ) -> NodeEntry {
        let state = match self.draining_since {
            _ if !self.up || reported_left => NodeState::Left,
            Some(_) => NodeState::Draining,
            None => NodeState::Ready,
        };
        let started_at = clock_offset.map_or(self.started_at, |offset| now.saturating_add_signed(offset));
        NodeEntry { node, state, started_at }
    }

    /// The number of jobs that run or wait.
    pub fn in_flight(&self) -> usize {
        self.station.running() + self.station.queued()
    }

    /// The number of jobs that run.
    pub fn running(&self) -> usize {
        self.station.running()
    }
}
