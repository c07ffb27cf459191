//! Counters and gauges of a proxy since its start. `Display` writes them as one name and value a line.

use crate::memory::MemoryUsage;
use pumicebay_core::{GiveUpReason, Outcome, Status};
use std::fmt::{Display, Formatter, Result};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Defines `Counters` with these fields, which are written out under their own names.
macro_rules! counters {
    ($($name:ident)*) => {
        #[derive(Debug, Default)]
        pub struct Counters { $(pub $name: Counter,)* pub given_up: GivenUp, pub gauges: Gauges }

        impl Display for Counters {
            fn fmt(&self, f: &mut Formatter<'_>) -> Result {
                $(writeln!(f, "{} {}", stringify!($name), self.$name.count())?;)*
                write!(f, "{}{}", self.given_up, self.gauges)
            }
        }
    };
}

/// A count that only grows.
#[derive(Debug, Default)]
pub struct Counter(AtomicU64);

impl Counter {
    /// Adds one.
    pub fn add(&self) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }

    /// The count so far.
    pub fn count(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// Requests that were given up, by reason: those without any attempt, and those with at least one.
#[derive(Debug, Default)]
pub struct GivenUp {
    unattempted: [Counter; GiveUpReason::ALL.len()],
    attempted: [Counter; GiveUpReason::ALL.len()],
}

impl GivenUp {
    /// Counts a request that was given up after so many attempts.
    pub fn add(&self, reason: GiveUpReason, attempts: usize) {
        let counters = if attempts == 0 { &self.unattempted } else { &self.attempted };
        counters[reason as usize].add();
    }
}

impl Display for GivenUp {
    fn fmt(&self, f: &mut Formatter<'_>) -> Result {
        for (kind, counters) in [("unattempted", &self.unattempted), ("given_up", &self.attempted)] {
            for reason in GiveUpReason::ALL {
                writeln!(f, "{kind}_{} {}", reason.name(), counters[reason as usize].count())?;
            }
        }
        Ok(())
    }
}

/// Current values, or the highest since the start.
#[derive(Debug, Default)]
pub struct Gauges {
    caches_serving: AtomicU64,
    caches_ejected: AtomicU64,
    requests_open: AtomicU64,
    attempts_out: AtomicU64,
    /// Idle connections to nodes.
    resting: AtomicU64,
    fetches_out: AtomicU64,
    fetches_bound_milli: AtomicU64,
    fetches_queued: AtomicU64,
    longest_turn_us: AtomicU64,
    longest_command_us: AtomicU64,
    latest_timer_us: AtomicU64,
}

impl Gauges {
    /// Sets the gauges of the balancer, and the number of idle connections to nodes.
    pub fn update(&self, status: &Status, idle_connections: usize) {
        let set = |gauge: &AtomicU64, value: usize| gauge.store(value as u64, Ordering::Relaxed);
        set(&self.caches_serving, status.serving);
        set(&self.caches_ejected, status.ejected);
        set(&self.requests_open, status.requests);
        set(&self.attempts_out, status.attempts);
        set(&self.resting, idle_connections);
        set(&self.fetches_out, status.fetches);
        set(&self.fetches_bound_milli, (status.fetch_limit * 1000.0) as usize);
        set(&self.fetches_queued, status.fetches_queued);
    }

    /// Records how long one piece of work blocked the event loop. The gauge keeps the longest.
    pub fn record_turn(&self, elapsed: Duration) {
        self.longest_turn_us.fetch_max(elapsed.as_micros() as u64, Ordering::Relaxed);
    }

    /// Records how long one command of a client took to parse. The gauge keeps the longest.
    pub fn record_command(&self, elapsed: Duration) {
        self.longest_command_us.fetch_max(elapsed.as_micros() as u64, Ordering::Relaxed);
    }

    /// Records how late a timer of the balancer fired. The gauge keeps the longest delay.
    pub fn record_timer_delay(&self, delay: Duration) {
        self.latest_timer_us.fetch_max(delay.as_micros() as u64, Ordering::Relaxed);
    }
}

impl Display for Gauges {
    fn fmt(&self, f: &mut Formatter<'_>) -> Result {
        let gauges = [
            ("caches_serving", &self.caches_serving),
            ("caches_ejected", &self.caches_ejected),
            ("requests_open", &self.requests_open),
            ("attempts_out", &self.attempts_out),
            ("resting_connections", &self.resting),
            ("fetches_out", &self.fetches_out),
            ("fetches_bound_milli", &self.fetches_bound_milli),
            ("fetches_queued", &self.fetches_queued),
            ("longest_turn_us", &self.longest_turn_us),
            ("longest_command_us", &self.longest_command_us),
            ("latest_timer_us", &self.latest_timer_us),
        ];
        for (name, gauge) in gauges {
            writeln!(f, "{name} {}", gauge.load(Ordering::Relaxed))?;
        }
        let Some(MemoryUsage { resident_kb, peak_kb }) = MemoryUsage::current() else { return Ok(()) };
        writeln!(f, "memory_resident_kb {resident_kb}\nmemory_peak_kb {peak_kb}")
    }
}

counters! {
    clients_accepted clients_taken_over clients_passed_on clients_closed_for_room clients_silent clients_paused accept_failures
    exchanges_taken exchanges_completed exchanges_shed exchanges_errored exchanges_rejected
    exchanges_dropped exchanges_untaken ids_repeated
    commands_handled bad_commands replies_lost
    tries_sent tries_completed tries_missed tries_errored tries_saturated tries_overdue
    tries_unreachable tries_severed tries_withdrawn tries_unsent tries_rejected
    tries_taken_back
    connections_opened connections_failed connections_reused connections_closed_for_room
    connections_closed_idle connections_unsolicited connections_settling
    probes_sent probes_failed
    nodes_known nodes_dismissed
    replies_stalled values_broken values_buffered values_given_up
    turns_long timers_late cut_at_exit
    list_answers list_failures reloads reloads_failed
}

impl Counters {
    /// Counts the outcome of an upstream attempt.
    pub fn count_attempt(&self, outcome: Outcome) {
        match outcome {
            Outcome::Completed => self.tries_completed.add(),
            Outcome::Missed => self.tries_missed.add(),
            Outcome::Errored => self.tries_errored.add(),
            Outcome::Saturated => self.tries_saturated.add(),
            Outcome::Overdue => self.tries_overdue.add(),
            Outcome::Unreachable => self.tries_unreachable.add(),
            Outcome::Severed => self.tries_severed.add(),
            Outcome::Withdrawn => self.tries_withdrawn.add(),
            Outcome::Unsent => self.tries_unsent.add(),
            Outcome::Rejected => self.tries_rejected.add(),
        }
    }
}
