//! Measures how long the event loop is blocked. One thread does all the work of the process, so a long piece
//! of work delays everything else.

use crate::counters::Counters;
use std::time::{Duration, Instant};

/// Work that takes longer is counted and logged.
const SLOW_TURN: Duration = Duration::from_millis(20);

/// Runs `work` and measures it. If it was slow, the log line names it by `description`.
pub fn timed<T>(counters: &Counters, description: impl FnOnce() -> String, work: impl FnOnce() -> T) -> T {
    let started = Instant::now();
    let result = work();
    let elapsed = started.elapsed();
    counters.gauges.record_turn(elapsed);
    if elapsed >= SLOW_TURN {
        counters.turns_long.add();
        tracing::info!("event loop blocked for {} ms by {}", elapsed.as_millis(), description());
    }
    result
}

/// Records a timer that fired late by `delay`: for that long nothing else was handled either.
pub fn timer_fired(counters: &Counters, delay: Duration) {
    counters.gauges.record_timer_delay(delay);
    if delay >= SLOW_TURN {
        counters.timers_late.add();
    }
}

/// Runs `handle`, which handles one command of a client, and measures it.
pub fn timed_command<T>(counters: &Counters, handle: impl FnOnce() -> T) -> T {
    let started = Instant::now();
    let result = handle();
    counters.commands_handled.add();
    counters.gauges.record_command(started.elapsed());
    result
}
