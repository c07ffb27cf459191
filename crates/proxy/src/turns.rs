//! Notes work that keeps all else in the process waiting, since one thread does it all.

use crate::counters::Counters;
use std::time::{Duration, Instant};

/// A turn that takes longer is counted and logged.
const LONG: Duration = Duration::from_millis(20);

/// Does the work, and notes it where it was long, in the words of `what`.
pub fn noted<T>(counters: &Counters, what: impl FnOnce() -> String, work: impl FnOnce() -> T) -> T {
    let began = Instant::now();
    let done = work();
    let took = began.elapsed();
    counters.gauges.turn(took);
    if took >= LONG {
        counters.turns_long.add();
        tracing::info!("long turn: {} ms for {}", took.as_millis(), what());
    }
    done
}

/// Notes a timer that rang so much after its time: until then nothing else was heard either.
pub fn timer(counters: &Counters, late: Duration) {
    counters.gauges.timer(late);
    if late >= LONG {
        counters.timers_late.add();
    }
}
