//! Compares the timeouts that attempts advertise to their servers with the time that their clients had left
//! by their own clocks.

use pumicebay_model::{Nanos, SECOND};
use serde::Serialize;

const MILLISECOND: Nanos = SECOND / 1000;
/// How much longer than the client's remaining time an advertised timeout may be, to allow for measurement
/// errors.
const MEASUREMENT_TOLERANCE: Nanos = 50 * MILLISECOND;

/// Counts of attempts, and of those whose advertised timeout was longer than the time that the client had
/// left.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct TimeoutCounts {
    /// The first attempts of their requests.
    #[serde(rename = "first")]
    pub first_attempts: u64,
    /// First attempts with an excessive timeout.
    #[serde(rename = "first_too_much")]
    pub first_excessive: u64,
    /// All further attempts.
    #[serde(rename = "further")]
    pub retries: u64,
    /// Further attempts with an excessive timeout.
    #[serde(rename = "further_too_much")]
    pub retries_excessive: u64,
    /// The largest excess over the time left, in milliseconds.
    #[serde(rename = "worst_ms")]
    pub worst_excess_ms: u64,
}

impl TimeoutCounts {
    /// Counts an attempt whose advertised timeout exceeded the time left by `excess` nanoseconds. Returns
    /// whether that is more than the measurement tolerance and more than `tolerance`.
    pub fn add(&mut self, is_retry: bool, excess: Nanos, tolerance: Nanos) -> bool {
        let excessive = excess > MEASUREMENT_TOLERANCE.max(tolerance);
        let (counted, counted_excessive) = match is_retry {
            true => (&mut self.retries, &mut self.retries_excessive),
            false => (&mut self.first_attempts, &mut self.first_excessive),
        };
        *counted += 1;
        *counted_excessive += u64::from(excessive);
        self.worst_excess_ms = self.worst_excess_ms.max(excess / MILLISECOND);
        excessive
    }
}
