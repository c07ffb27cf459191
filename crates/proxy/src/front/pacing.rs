//! Paces clients that make the event loop work more than their share. One thread does all the work of the process, so a
//! client that sends at full speed would take the time in which others are answered. Only reading pauses: replies are never
//! held back, and a client that leaves is noticed.

use std::future::poll_fn;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;
use tokio::task::yield_now;
use tokio::time::{Instant, sleep_until};

/// Work after which other tasks get a turn.
const MAX_TURN: Duration = Duration::from_micros(500);
/// Connections with input left after such a turn may use one part in so many of the time without a pause: each of them alone,
/// and all of them together.
const EACH_SHARE_DIVISOR: u32 = 20;
const ALL_SHARE_DIVISOR: u32 = 4;
/// Work beyond that share which may be done at once: by each of them alone, and by all of them together.
const EACH_BURST: Duration = Duration::from_millis(4);
const ALL_BURST: Duration = Duration::from_millis(100);
/// Beyond that a connection pauses for this many times its work, and as many times more as there are others like it: all of
/// them together then leave most of the time to the rest.
const PAUSE_FACTOR: u32 = 4;
/// The longest pause.
const MAX_PAUSE: Duration = Duration::from_millis(250);
/// What other tasks do for a request: the dispatcher and its attempts.
const REQUEST_OVERHEAD: Duration = Duration::from_micros(50);

/// The number of connections that send more than is read from them. Clones share it.
#[derive(Clone, Debug, Default)]
pub struct BusyConnections(Arc<AtomicUsize>);

impl BusyConnections {
    fn add(&self) -> BusyGuard {
        self.0.fetch_add(1, Ordering::Relaxed);
        BusyGuard(self.clone())
    }

    /// The number, at least one.
    fn count(&self) -> u32 {
        self.0.load(Ordering::Relaxed).max(1) as u32
    }
}

/// Counts a connection as busy until it is dropped.
#[derive(Debug)]
struct BusyGuard(BusyConnections);

impl Drop for BusyGuard {
    fn drop(&mut self) {
        self.0.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Measures the time that the event loop spends on one connection: how long the polls of its task take.
#[derive(Debug)]
pub struct WorkMeter {
    created_at: Instant,
    /// When the current poll began, in nanoseconds since the creation.
    poll_began: AtomicU64,
    /// The time of all polls before it, in nanoseconds.
    finished: AtomicU64,
}

impl WorkMeter {
    /// A meter that has measured nothing.
    pub fn start() -> WorkMeter {
        WorkMeter { created_at: Instant::now(), poll_began: AtomicU64::new(0), finished: AtomicU64::new(0) }
    }

    /// Runs the connection, and measures it.
    pub async fn measure<F: Future>(&self, connection: F) -> F::Output {
        let mut connection = pin!(connection);
        poll_fn(|context| {
            let began = self.age();
            self.poll_began.store(began, Ordering::Relaxed);
            let poll = connection.as_mut().poll(context);
            self.finished.fetch_add(self.age() - began, Ordering::Relaxed);
            poll
        })
        .await
    }

    /// The work so far, that of the current poll included. Only the connection itself may ask.
    fn work(&self) -> Duration {
        let current = self.age() - self.poll_began.load(Ordering::Relaxed);
        Duration::from_nanos(self.finished.load(Ordering::Relaxed) + current)
    }

    fn age(&self) -> u64 {
        self.created_at.elapsed().as_nanos() as u64
    }
}

/// The work of one connection, and its pauses.
#[derive(Debug)]
pub struct Pacer {
    all_busy: BusyConnections,
    /// Held while the connection sends more than is read from it.
    busy: Option<BusyGuard>,
    /// Work that was measured at the last decision.
    measured: Duration,
    /// Work that others do for the connection, and that was not charged yet.
    uncharged: Duration,
    /// Work that exceeds the connection's share so far.
    excess: Duration,
    excess_at: Instant,
    /// Whether that is more than may be done at once.
    beyond_burst: bool,
    /// Work since the last pause.
    turn: Duration,
    paused_until: Option<Instant>,
}

impl Pacer {
    /// A connection that has done nothing yet.
    pub fn new(all_busy: BusyConnections) -> Pacer {
        Pacer {
            all_busy,
            busy: None,
            measured: Duration::ZERO,
            uncharged: Duration::ZERO,
            excess: Duration::ZERO,
            excess_at: Instant::now(),
            beyond_burst: false,
            turn: Duration::ZERO,
            paused_until: None,
        }
    }

    /// Charges the connection for what others do for a request.
    pub fn charge_request(&mut self) {
        self.uncharged += REQUEST_OVERHEAD;
    }

    /// Whether the connection sends so much that it may have only one command in progress.
    pub fn is_beyond_burst(&self) -> bool {
        self.beyond_burst
    }

    /// Decides on a pause. Returns whether there is one: then nothing may be read until it is over and [`Pacer::resume`]
    /// was called. `has_more` tells whether more has arrived than was used: a client that waits for its replies is never
    /// busy, however much its requests cost.
    pub fn must_pause(&mut self, meter: &WorkMeter, now: Instant, has_more: impl FnOnce() -> bool) -> bool {
        let measured = meter.work();
        let work = measured.saturating_sub(self.measured) + std::mem::take(&mut self.uncharged);
        self.measured = measured;
        self.turn += work;
        let share = EACH_SHARE_DIVISOR.max(ALL_SHARE_DIVISOR * self.all_busy.count());
        let free = now.saturating_duration_since(self.excess_at) / share;
        self.excess = (self.excess + work).saturating_sub(free);
        self.excess_at = now;
        if self.paused_until.is_some() {
            return true;
        }
        if self.excess < MAX_TURN || !has_more() {
            self.busy = None;
        } else if self.busy.is_none() {
            self.busy = Some(self.all_busy.add());
        }
        let busy = self.all_busy.count();
        self.beyond_burst = self.busy.is_some() && self.excess > EACH_BURST.min(ALL_BURST / busy);
        if self.turn >= MAX_TURN {
            let factor = if self.beyond_burst { PAUSE_FACTOR * busy } else { 0 };
            self.paused_until = Some(now + (self.turn * factor).min(MAX_PAUSE));
            self.turn = Duration::ZERO;
        }
        self.paused_until.is_some()
    }

    /// Until when the connection pauses, if it does.
    pub fn paused_until(&self) -> Option<Instant> {
        self.paused_until
    }

    /// Ends the pause.
    pub fn resume(&mut self) {
        self.paused_until = None;
    }
}

/// Returns once a pause until this time is over and other tasks had a turn; never without one. Cancel safe.
pub async fn pause_over(until: Option<Instant>) {
    match until {
        Some(until) => {
            sleep_until(until).await;
            yield_now().await;
        }
        None => std::future::pending().await,
    }
}
