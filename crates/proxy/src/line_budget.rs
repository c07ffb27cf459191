//! Bounds the log lines about nodes: a list of thousands would bring as many at once.

use pumicebay_core::Nanos;

/// Lines in a second; the rest are counted.
const LINES: usize = 64;
const SECOND: Nanos = 1_000_000_000;

#[derive(Debug, Default)]
pub struct LineBudget {
    /// When the second began, what was written in it, and what was left out.
    since: Nanos,
    written: usize,
    left_out: usize,
}

impl LineBudget {
    /// Whether one more line may be written now.
    pub fn allows(&mut self, now: Nanos) -> bool {
        if now >= self.since + SECOND {
            self.report();
            *self = LineBudget { since: now, ..LineBudget::default() };
        }
        let allowed = self.written < LINES;
        if allowed {
            self.written += 1;
        } else {
            self.left_out += 1;
        }
        allowed
    }

    /// Says how many lines were left out, if any, once their second is over.
    pub fn report_at(&mut self, now: Nanos) {
        if self.left_out > 0 && now >= self.since + SECOND {
            self.report();
            self.left_out = 0;
        }
    }

    fn report(&self) {
        if self.left_out > 0 {
            tracing::info!("{} more lines about nodes left out", self.left_out);
        }
    }
}
