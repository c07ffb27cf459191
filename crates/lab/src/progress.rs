//! Shows how far a long run is, on a terminal only.

use indicatif::{ProgressBar, ProgressStyle};
use std::io::IsTerminal;

const STEPS: f64 = 1000.0;

pub struct Progress(Option<ProgressBar>);

impl Progress {
    /// Over so many days.
    pub fn new(what: &str, days: usize) -> Progress {
        if !std::io::stderr().is_terminal() {
            return Progress(None);
        }
        let bar = ProgressBar::new((days as f64 * STEPS) as u64);
        let style = ProgressStyle::with_template("{msg} {wide_bar} {percent}% {eta}");
        bar.set_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()));
        bar.set_message(what.to_string());
        Progress(Some(bar))
    }

    /// Part of one day is over.
    pub fn at(&self, part: f64) {
        if let Some(bar) = &self.0 {
            bar.set_position((part * STEPS) as u64);
        }
    }

    /// One of many days is over.
    pub fn step(&self) {
        if let Some(bar) = &self.0 {
            bar.inc(STEPS as u64);
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
