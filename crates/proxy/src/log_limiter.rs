//! Rate limit for log lines about nodes: reading a list of thousands of nodes would otherwise log thousands of lines
//! at once.

use pumicebay_core::Nanos;

/// Lines that may be logged in one second; the rest are only counted.
const MAX_LINES_PER_SECOND: usize = 64;
const SECOND: Nanos = 1_000_000_000;

/// Counts the log lines of the current one-second window.
#[derive(Debug, Default)]
pub struct LogLimiter {
    /// When the window began, and how many lines were written and suppressed in it.
    window_start: Nanos,
    written: usize,
    suppressed: usize,
}

impl LogLimiter {
    /// Counts one more line and returns whether it may be written.
    pub fn allow(&mut self, now: Nanos) -> bool {
        if now >= self.window_start + SECOND {
            self.log_suppressed();
            *self = LogLimiter { window_start: now, ..LogLimiter::default() };
        }
        let allowed = self.written < MAX_LINES_PER_SECOND;
        if allowed {
            self.written += 1;
        } else {
            self.suppressed += 1;
        }
        allowed
    }

    /// Logs how many lines were suppressed, if any, once their window is over.
    pub fn report_at(&mut self, now: Nanos) {
        if self.suppressed > 0 && now >= self.window_start + SECOND {
            self.log_suppressed();
            self.suppressed = 0;
        }
    }

    fn log_suppressed(&self) {
        if self.suppressed > 0 {
            tracing::info!("{} more log lines about nodes were suppressed", self.suppressed);
        }
    }
}
