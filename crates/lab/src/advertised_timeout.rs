//! Counts what attempts told their servers, against what their clients had left by their own clocks.

use pumicebay_model::{Nanos, SECOND};
use serde::Serialize;

const MILLISECOND: Nanos = SECOND / 1000;
/// An attempt may tell its server so much more time than its client has left, for what measuring is off by.
const SLACK: Nanos = 50 * MILLISECOND;

/// Attempts by what they told.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct TimeTold {
    /// First attempts, and those of them that told too much.
    pub first: u64,
    pub first_too_much: u64,
    /// The same of further attempts.
    pub further: u64,
    pub further_too_much: u64,
    /// The most that was told beyond what was left, in milliseconds.
    pub worst_ms: u64,
}

impl TimeTold {
    /// Counts an attempt that told `beyond` more than was left. Whether that was too much; `slack` is what times may be
    /// off by beside what measuring always is.
    pub fn add(&mut self, further: bool, beyond: Nanos, slack: Nanos) -> bool {
        let too_much = beyond > SLACK.max(slack);
        let (counted, over) = match further {
            true => (&mut self.further, &mut self.further_too_much),
            false => (&mut self.first, &mut self.first_too_much),
        };
        *counted += 1;
        *over += u64::from(too_much);
        self.worst_ms = self.worst_ms.max(beyond / MILLISECOND);
        too_much
    }
}
