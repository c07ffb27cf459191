//! The emulated origin: slow and of fixed capacity, with a bounded queue. It crashes when its queue stays
//! full for too long, and comes back after a fixed time.

use crate::seeds::{Rng, rng};
use crate::spec::OriginSpec;
use crate::station::{Admission, Environment, Job, JobId, JobOutcome, Station};
use crate::{Nanos, millis, seconds};
use rand_distr::{Distribution, LogNormal};

/// The origin server.
#[derive(Debug)]
pub struct Origin {
    spec: OriginSpec,
    station: Station,
    rng: Rng,
    /// Random variation of service times, with a mean of 1.
    service_time_factor: LogNormal<f64>,
    /// Factor on all service times; 1 without a fault.
    pub slowdown: f64,
    /// Whether a fault keeps it down.
    pub down: bool,
    /// End of the outage after its last crash.
    stopped_until: Nanos,
    /// Since when the queue has been full; it counts as full until it is less than half full.
    queue_full_since: Option<Nanos>,
}

impl Origin {
    /// Creates an idle origin.
    pub fn new(spec: &OriginSpec, seed: u64) -> Origin {
        Origin {
            station: Station::new(spec.slots, spec.queue_capacity),
            rng: rng(seed, "origin", 0),
            service_time_factor: LogNormal::new(
                -spec.service_time_sigma * spec.service_time_sigma / 2.0,
                spec.service_time_sigma,
            )
            .expect("the scenario's sigma was validated"),
            slowdown: 1.0,
            down: false,
            stopped_until: 0,
            queue_full_since: None,
            spec: spec.clone(),
        }
    }

    /// Whether it accepts connections.
    pub fn is_up(&self, now: Nanos) -> bool {
        !self.down && now >= self.stopped_until
    }

    /// Handles a job whose last byte has arrived: drops, rejects, queues or starts it. If the queue has been
    /// full for too long, the origin crashes.
    pub fn job_arrived(&mut self, now: Nanos, job: Job, env: &mut impl Environment) {
        if !self.is_up(now) {
            return;
        }
        match self.station.admit(job) {
            Admission::Start => self.start_job(now, job, env),
            Admission::Queued => {}
            Admission::Rejected => {
                env.respond(job.id, JobOutcome::Rejected);
                let since = *self.queue_full_since.get_or_insert(now);
                if now - since >= seconds(self.spec.overload_seconds) {
                    self.stop();
                    self.stopped_until = now + seconds(self.spec.down_seconds);
                    env.crashed(now);
                }
            }
        }
    }

    fn start_job(&mut self, now: Nanos, job: Job, env: &mut impl Environment) {
        self.station.start(job, JobOutcome::Completed);
        let duration = millis(self.spec.service_ms) as f64
            * self.slowdown
            * self.service_time_factor.sample(&mut self.rng);
        env.execution_started(job.id);
        env.schedule_completion(now + duration as Nanos, job.id);
    }

    /// Responds to a job at the time that was scheduled for it and starts the next ones. Ignores jobs that a
    /// stop discarded.
    pub fn job_finished(&mut self, now: Nanos, id: JobId, env: &mut impl Environment) {
        let Some((_, outcome)) = self.station.finish(id) else { return };
        env.respond(id, outcome);
        while let Some(job) = self.station.pop_startable() {
            self.start_job(now, job, env);
        }
        // The overload is over once the queue is less than half full.
        if self.station.queue_fill() < 0.5 {
            self.queue_full_since = None;
        }
    }

    /// Removes a job that still waits in the queue. A job that already runs continues.
    pub fn cancel(&mut self, id: JobId) {
        self.station.cancel(id);
    }

    /// Discards all jobs.
    pub fn stop(&mut self) {
        self.station.clear();
        self.queue_full_since = None;
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
