//! Requests in flight and their answers, at one node or at all caches together. A plain record without
//! decisions.

use crate::host::{Nanos, Outcome};
use crate::sliding_window::SlidingWindow;
use crate::state::SECOND;

/// How long it takes until a minimum latency is forgotten.
const MIN_LATENCY_MEMORY: Nanos = 300 * SECOND;

/// Requests in flight at one node or at all caches together, and their answers.
#[derive(Clone, Debug)]
pub struct TrafficStats {
    /// Attempts in flight.
    pub in_flight: usize,
    /// Latency of recent answers, in seconds.
    pub recent_answers: SlidingWindow<8>,
    /// Latency of answers over the last minute, in seconds.
    pub minute_answers: SlidingWindow<20>,
    /// Recent attempts in flight, integrated over time in seconds.
    in_flight_seconds: SlidingWindow<8>,
    /// The lowest mean latency of answers that is remembered, in seconds.
    pub min_latency: Option<f64>,
    /// When `min_latency` was last updated.
    min_latency_at: Nanos,
    /// Recent attempts that were refused or timed out.
    recent_losses: SlidingWindow<8>,
    /// Factor from 0 to 1 on the limit; below 1 while answers take far longer than their minimum.
    pub limit_scale: f64,
    /// How many attempts may be in flight on average.
    pub limit: f64,
    /// Attempts that may be in flight beyond the limit, earned by leaving it unused.
    pub burst_credit: f64,
    max_burst_credit: f64,
    credit_updated_at: Nanos,
}

impl Default for TrafficStats {
    fn default() -> Self {
        TrafficStats {
            in_flight: 0,
            recent_answers: SlidingWindow::new(2 * SECOND),
            minute_answers: SlidingWindow::new(60 * SECOND),
            in_flight_seconds: SlidingWindow::new(2 * SECOND),
            min_latency: None,
            min_latency_at: 0,
            recent_losses: SlidingWindow::new(2 * SECOND),
            limit_scale: 1.0,
            limit: 0.0,
            burst_credit: f64::INFINITY,
            max_burst_credit: 0.0,
            credit_updated_at: 0,
        }
    }
}

impl TrafficStats {
    /// Sets the concurrency limit and the most credit that may accumulate.
    pub fn set_limit(&mut self, now: Nanos, max_burst_credit: f64, limit: f64) {
        (self.max_burst_credit, self.limit) = (max_burst_credit, limit);
        self.update_credit(now);
    }

    /// Counts an attempt that is sent.
    pub fn start(&mut self, now: Nanos) {
        self.update_credit(now);
        self.in_flight += 1;
    }

    /// Earns credit for unused concurrency, by the requests that it could have served, or spends credit on
    /// use beyond the limit.
    fn update_credit(&mut self, now: Nanos) {
        let elapsed = now.saturating_sub(self.credit_updated_at) as f64 / SECOND as f64;
        let completed = elapsed / self.recent_answers.mean(now).unwrap_or(1.0).max(1e-3);
        self.burst_credit = (self.burst_credit + (self.limit - self.in_flight as f64) * completed)
            .clamp(0.0, self.max_burst_credit);
        self.in_flight_seconds.add(now, self.in_flight as f64 * elapsed);
        self.credit_updated_at = now;
    }

    /// How many attempts were in flight when answers came fastest: the peak rate of the last minute times the
    /// minimum latency.
    pub fn best_in_flight(&self, now: Nanos) -> f64 {
        self.minute_answers.peak_rate(now) * self.min_latency.unwrap_or(0.0)
    }

    /// Updates the minimum latency with that of the last minute, and returns it. A lower earlier value is
    /// forgotten gradually.
    pub fn update_min_latency(&mut self, now: Nanos, minute: Option<f64>) -> Option<f64> {
        if let (Some(minute), Some(remembered)) = (minute, self.min_latency) {
            let elapsed = now.saturating_sub(self.min_latency_at) as f64 / MIN_LATENCY_MEMORY as f64;
            self.min_latency = Some(minute.min(remembered + (minute - remembered) * elapsed.min(1.0)));
        }
        (self.min_latency, self.min_latency_at) = (self.min_latency.or(minute), now);
        self.min_latency
    }

    /// The mean number of attempts in flight recently.
    pub fn average_in_flight(&self, now: Nanos) -> f64 {
        self.in_flight_seconds.sum_per_second(now)
    }

    /// The share of recent attempts that were answered, rather than refused or timed out.
    pub fn answered_share(&self, now: Nanos) -> f64 {
        let (recent_answers, recent_losses) = (self.recent_answers.rate(now), self.recent_losses.rate(now));
        if recent_losses > 0.0 { recent_answers / (recent_answers + recent_losses) } else { 1.0 }
    }

    /// Counts the end of an attempt.
    pub fn end(&mut self, now: Nanos, sent_at: Nanos, outcome: Outcome) {
        self.update_credit(now);
        self.in_flight = self.in_flight.saturating_sub(1);
        if matches!(outcome, Outcome::Saturated | Outcome::Overdue) {
            self.recent_losses.add(now, 1.0);
        }
        if matches!(outcome, Outcome::Completed | Outcome::Missed) {
            let latency = now.saturating_sub(sent_at) as f64 / SECOND as f64;
            self.recent_answers.add(now, latency);
            self.minute_answers.add(now, latency);
        }
    }
}
