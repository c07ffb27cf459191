//! Requests in flight and their answers, at a node or at all caches together. A plain record, no choices.

use crate::host::{Nanos, Outcome};
use crate::ring::Ring;
use crate::state::SECOND;

/// How long the least time of answers takes to be forgotten.
const FORGETS: Nanos = 300 * SECOND;

/// Requests in flight at a node, or at all caches together, and their answers.
#[derive(Clone, Debug)]
pub struct Flow {
    pub in_flight: usize,
    /// How long the answers took, in seconds: lately, and over the last minute.
    pub answers: Ring<8>,
    pub minute: Ring<20>,
    /// Seconds in flight, lately.
    held: Ring<8>,
    /// The least time that answers took on average, in seconds, as far as it is remembered, and as of when.
    pub least_took: Option<f64>,
    least_at: Nanos,
    /// Attempts that came to nothing for want of room or of time, lately.
    lost: Ring<8>,
    /// The part of its room that is left while answers take far longer than they can.
    pub squeeze: f64,
    /// How many may be in flight on average, and what was saved of that until lately.
    pub room: f64,
    pub saved: f64,
    most_saved: f64,
    saved_at: Nanos,
}

impl Default for Flow {
    fn default() -> Self {
        Flow {
            in_flight: 0,
            answers: Ring::new(2 * SECOND),
            minute: Ring::new(60 * SECOND),
            held: Ring::new(2 * SECOND),
            least_took: None,
            least_at: 0,
            lost: Ring::new(2 * SECOND),
            squeeze: 1.0,
            room: 0.0,
            saved: f64::INFINITY,
            most_saved: 0.0,
            saved_at: 0,
        }
    }
}

impl Flow {
    /// Sets the room, and how much of it is saved at most.
    pub fn saves(&mut self, now: Nanos, most: f64, room: f64) {
        (self.most_saved, self.room) = (most, room);
        self.save(now);
    }

    pub fn start(&mut self, now: Nanos) {
        self.save(now);
        self.in_flight += 1;
    }

    /// Saves room that was not used, by requests that would have gone through it, or spends what was.
    fn save(&mut self, now: Nanos) {
        let past = now.saturating_sub(self.saved_at) as f64 / SECOND as f64;
        let through = past / self.answers.mean(now).unwrap_or(1.0).max(1e-3);
        self.saved = (self.saved + (self.room - self.in_flight as f64) * through).clamp(0.0, self.most_saved);
        self.held.add(now, self.in_flight as f64 * past);
        self.saved_at = now;
    }

    /// How many were in flight when answers came best: the best rate of the last minute times their least time.
    pub fn best(&self, now: Nanos) -> f64 {
        self.minute.peak_rate(now) * self.least_took.unwrap_or(0.0)
    }

    /// The least time of answers, given that of the last minute: what was less before is forgotten slowly.
    pub fn remember_least(&mut self, now: Nanos, minute: Option<f64>) -> Option<f64> {
        if let (Some(minute), Some(least)) = (minute, self.least_took) {
            let past = now.saturating_sub(self.least_at) as f64 / FORGETS as f64;
            self.least_took = Some(minute.min(least + (minute - least) * past.min(1.0)));
        }
        (self.least_took, self.least_at) = (self.least_took.or(minute), now);
        self.least_took
    }

    /// How many were in flight on average, lately.
    pub fn average(&self, now: Nanos) -> f64 {
        self.held.sum_rate(now)
    }

    /// The part of what was sent lately that was answered, and neither turned away nor overdue.
    pub fn answered(&self, now: Nanos) -> f64 {
        let (answers, lost) = (self.answers.rate(now), self.lost.rate(now));
        if lost > 0.0 { answers / (answers + lost) } else { 1.0 }
    }

    pub fn end(&mut self, now: Nanos, sent: Nanos, outcome: Outcome) {
        self.save(now);
        self.in_flight = self.in_flight.saturating_sub(1);
        if matches!(outcome, Outcome::Saturated | Outcome::Overdue) {
            self.lost.add(now, 1.0);
        }
        if matches!(outcome, Outcome::Completed | Outcome::Missed) {
            let took = now.saturating_sub(sent) as f64 / SECOND as f64;
            self.answers.add(now, took);
            self.minute.add(now, took);
        }
    }
}
