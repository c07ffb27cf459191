//! Notes work that keeps all else in the process waiting, since one thread does it all.

use crate::counters::Counters;
use std::time::{Duration, Instant};

/// A turn that takes longer is counted and logged.
const SLOW_TURN: Duration = Duration::from_millis(20);

/// Does the work, and notes it where it was long, in the words of `what`.
pub fn timed<T>(counters: &Counters, description: impl FnOnce() -> String, work: impl FnOnce() -> T) -> T {
    let started = Instant::now();
    let result = work();
    let elapsed = started.elapsed();
    counters.gauges.record_turn(elapsed);
    if elapsed >= SLOW_TURN {
        counters.turns_long.add();
        tracing::info!("long turn: {} ms for {}", elapsed.as_millis(), description());
    }
    result
}

/// Notes a timer that rang so much after its time: until then nothing else was heard either.
pub fn timer_fired(counters: &Counters, delay: Duration) {
    counters.gauges.record_timer_delay(delay);
    if delay >= SLOW_TURN {
        counters.timers_late.add();
    }
}
