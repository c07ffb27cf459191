//! A place that serves so many jobs at once and lets so many wait: what cache nodes and the origin share.

use crate::Nanos;
use hashbrown::HashMap;
use std::collections::VecDeque;

/// A job's number, given by whoever plays the day and never used twice.
pub type JobId = u64;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Job {
    pub id: JobId,
    pub key: u64,
    /// The bytes of the value.
    pub size: u64,
    /// How long it takes a warm place that is not crowded, before chance.
    pub work: Nanos,
    pub write: bool,
}

/// How a job ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The value, or a write's receipt.
    Done,
    /// The node lacks the key.
    Missed,
    /// Turned away unseen.
    Busy,
    /// It may have run.
    Failed,
    /// An answer that is not what was asked for, or can't be read.
    Spoilt,
}

/// What a place asks of whoever plays the day.
pub trait Site {
    /// Asks for `finished` with this job at that time.
    fn finish(&mut self, at: Nanos, job: JobId);
    /// The job has begun to run: its effect can't be taken back.
    fn ran(&mut self, job: JobId);
    fn answer(&mut self, job: JobId, verdict: Verdict);
    /// The place has fallen over by itself: it is down, its connections break.
    fn fell(&mut self, now: Nanos);
}

#[derive(Debug)]
pub struct Station {
    slots: usize,
    waiting: usize,
    serving: HashMap<JobId, (Job, Verdict)>,
    queue: VecDeque<Job>,
}

/// Where a job went.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Taken {
    Begin,
    Waits,
    Full,
}

impl Station {
    pub fn new(slots: usize, waiting: usize) -> Station {
        Station { slots, waiting, serving: HashMap::new(), queue: VecDeque::new() }
    }

    /// A job that may begin is the caller's to begin.
    pub fn take(&mut self, job: Job) -> Taken {
        if self.serving.len() < self.slots {
            Taken::Begin
        } else if self.queue.len() < self.waiting {
            self.queue.push_back(job);
            Taken::Waits
        } else {
            Taken::Full
        }
    }

    pub fn begin(&mut self, job: Job, verdict: Verdict) {
        self.serving.insert(job.id, (job, verdict));
    }

    /// Ends a job that is being served, and says how; none for one that was lost meanwhile.
    pub fn end(&mut self, id: JobId) -> Option<(Job, Verdict)> {
        self.serving.remove(&id)
    }

    /// The next that waits, if there is room for it.
    pub fn next_waiting(&mut self) -> Option<Job> {
        if self.serving.len() < self.slots { self.queue.pop_front() } else { None }
    }

    /// Whoever asked is gone: a job that waits leaves, one that is served goes on.
    pub fn cancel(&mut self, id: JobId) -> bool {
        let before = self.queue.len();
        self.queue.retain(|job| job.id != id);
        self.queue.len() < before
    }

    pub fn clear(&mut self) {
        self.serving.clear();
        self.queue.clear();
    }

    pub fn serves(&self, id: JobId) -> bool {
        self.serving.contains_key(&id)
    }

    pub fn served(&self) -> usize {
        self.serving.len()
    }

    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// How full the waiting room is, between 0 and 1.
    pub fn crowd(&self) -> f64 {
        self.queue.len() as f64 / self.waiting.max(1) as f64
    }

    pub fn full(&self) -> bool {
        self.queue.len() >= self.waiting && self.serving.len() >= self.slots
    }
}
