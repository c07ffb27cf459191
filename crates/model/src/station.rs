//! A service station, as queueing theory has it: a fixed number of slots and a bounded queue. Cache nodes and
//! the origin are built on it.

use crate::Nanos;
use hashbrown::HashMap;
use std::collections::VecDeque;

/// Identifies a job. It is assigned by the environment and never reused.
pub type JobId = u64;

/// The work that one upstream attempt asks of a cache node or of the origin.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Job {
    /// Identifies the job.
    pub id: JobId,
    /// The key that it reads or writes.
    pub key: u64,
    /// Size of the value in bytes.
    pub value_bytes: u64,
    /// Time to execute it on a cache node at full capacity and without contention, before random variation.
    /// The origin uses its own service time instead.
    pub service_time: Nanos,
    /// Whether it writes the value rather than reads it.
    pub write: bool,
}

/// The result of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobOutcome {
    /// The value was read, or the write was executed.
    Completed,
    /// The node does not hold the key.
    Missed,
    /// Rejected before execution: the queue is full, or the node drains.
    Rejected,
    /// An error response; a caller cannot tell whether the job was executed.
    Failed,
    /// The job was executed, but its response is wrong or unreadable.
    Corrupted,
}

/// What a cache node or the origin asks of the environment that drives it: a simulator, or a server on
/// sockets.
pub trait Environment {
    /// Requests a call of `job_finished` for this job at that time.
    fn schedule_completion(&mut self, at: Nanos, job: JobId);
    /// The job is being executed: its effect can no longer be prevented.
    fn execution_started(&mut self, job: JobId);
    /// Sends the result of a job.
    fn respond(&mut self, job: JobId, outcome: JobOutcome);
    /// The process crashed from overload: it is down and its connections break.
    fn crashed(&mut self, now: Nanos);
}

/// The jobs that are being executed, each in a slot, and the queue of those that wait for a slot.
#[derive(Debug)]
pub struct Station {
    slots: usize,
    queue_capacity: usize,
    /// Jobs in slots with the outcomes that they will have.
    running: HashMap<JobId, (Job, JobOutcome)>,
    queue: VecDeque<Job>,
}

/// What became of an arriving job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// A slot is free; the caller has to start the job.
    Start,
    /// The job waits for a slot.
    Queued,
    /// All slots are taken and the queue is full.
    Rejected,
}

impl Station {
    /// Creates an idle station.
    pub fn new(slots: usize, queue_capacity: usize) -> Station {
        Station { slots, queue_capacity, running: HashMap::new(), queue: VecDeque::new() }
    }

    /// Queues or rejects a job, unless a slot is free for it: then the caller has to call `start`.
    pub fn admit(&mut self, job: Job) -> Admission {
        if self.running.len() < self.slots {
            Admission::Start
        } else if self.queue.len() < self.queue_capacity {
            self.queue.push_back(job);
            Admission::Queued
        } else {
            Admission::Rejected
        }
    }

    /// Puts a job into a slot, with the outcome that it will have.
    pub fn start(&mut self, job: Job, outcome: JobOutcome) {
        self.running.insert(job.id, (job, outcome));
    }

    /// Frees the slot of a job and returns its outcome; None if it is not running, because a stop discarded
    /// it.
    pub fn finish(&mut self, id: JobId) -> Option<(Job, JobOutcome)> {
        self.running.remove(&id)
    }

    /// Takes the first job from the queue; None if it is empty or no slot is free.
    pub fn pop_startable(&mut self) -> Option<Job> {
        if self.running.len() < self.slots { self.queue.pop_front() } else { None }
    }

    /// Removes a job from the queue, because its caller gave up. A job that already runs continues. Returns
    /// whether a job was removed.
    pub fn cancel(&mut self, id: JobId) -> bool {
        let before = self.queue.len();
        self.queue.retain(|job| job.id != id);
        self.queue.len() < before
    }

    /// Discards all jobs, running and queued.
    pub fn clear(&mut self) {
        self.running.clear();
        self.queue.clear();
    }

    /// Whether the job occupies a slot.
    pub fn is_running(&self, id: JobId) -> bool {
        self.running.contains_key(&id)
    }

    /// The number of jobs in slots.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// The number of jobs that wait for a slot.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// The filled share of the queue, from 0 to 1.
    pub fn queue_fill(&self) -> f64 {
        self.queue.len() as f64 / self.queue_capacity.max(1) as f64
    }

    /// Whether the next job would be rejected.
    pub fn is_full(&self) -> bool {
        self.queue.len() >= self.queue_capacity && self.running.len() >= self.slots
    }
}
