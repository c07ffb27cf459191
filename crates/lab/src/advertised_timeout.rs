//! Counts what attempts told their servers, against what their clients had left by their own clocks.

use pumicebay_model::{Nanos, SECOND};
use serde::Serialize;

const MILLISECOND: Nanos = SECOND / 1000;
/// An attempt may tell its server so much more time than its client has left, for what measuring is off by.
const MEASUREMENT_TOLERANCE: Nanos = 50 * MILLISECOND;

/// Attempts by what they told.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct TimeoutCounts {
    /// First attempts, and those of them that told too much.
    #[serde(rename = "first")]
    pub first_attempts: u64,
    #[serde(rename = "first_too_much")]
    pub first_excessive: u64,
    /// The same of further attempts.
    #[serde(rename = "further")]
    pub retries: u64,
    #[serde(rename = "further_too_much")]
    pub retries_excessive: u64,
    /// The most that was told beyond what was left, in milliseconds.
    #[serde(rename = "worst_ms")]
    pub worst_excess_ms: u64,
}

impl TimeoutCounts {
    /// Counts an attempt that told `beyond` more than was left. Whether that was too much; `slack` is what times may be
    /// off by beside what measuring always is.
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
