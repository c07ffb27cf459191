//! A progress bar for long runs, shown on a terminal only.

use indicatif::{ProgressBar, ProgressStyle};
use std::io::IsTerminal;

/// Steps of the bar for one run.
const STEPS_PER_RUN: f64 = 1000.0;

/// A progress bar on standard error; nothing if that is no terminal.
pub struct Progress(Option<ProgressBar>);

impl Progress {
    /// Creates a bar for this number of runs.
    pub fn new(label: &str, runs: usize) -> Progress {
        if !std::io::stderr().is_terminal() {
            return Progress(None);
        }
        let bar = ProgressBar::new((runs as f64 * STEPS_PER_RUN) as u64);
        let style = ProgressStyle::with_template("{msg} {wide_bar} {percent}% {eta}");
        bar.set_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()));
        bar.set_message(label.to_string());
        Progress(Some(bar))
    }

    /// Sets the elapsed fraction of a single run, from 0 to 1.
    pub fn set(&self, fraction: f64) {
        if let Some(bar) = &self.0 {
            bar.set_position((fraction * STEPS_PER_RUN) as u64);
        }
    }

    /// Counts one of several runs as finished.
    pub fn finish_run(&self) {
        if let Some(bar) = &self.0 {
            bar.inc(STEPS_PER_RUN as u64);
        }
    }
}

impl Drop for Progress {
    fn drop(&mut self) {
        if let Some(bar) = &self.0 {
            bar.finish_and_clear();
        }
    }
}
