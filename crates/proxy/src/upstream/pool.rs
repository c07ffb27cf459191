//! The pool of upstream connections: keeps idle connections between attempts and limits their total number over all
//! nodes. It holds state per connection only, none per node.

use crate::counters::Counters;
use crate::phases::{Phase, PhaseWatch};
use crate::shared::Shared;
use crate::upstream::connection::{Connection, IdleState};
use crate::upstream::settling::SettleTime;
use pumicebay_core::Node;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::{Instant, MissedTickBehavior, interval};

/// How often idle connections are checked.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// A connection is closed this fraction of the nodes' idle timeout before that timeout: one tenth.
const IDLE_MARGIN_DIVISOR: u32 = 10;

/// A handle to the pool; clones share it.
#[derive(Clone)]
pub struct ConnectionPool {
    /// One permit for each connection that may still be opened.
    permits: Arc<Semaphore>,
    /// The number of attempts that wait for a permit.
    waiting: Arc<AtomicUsize>,
    /// Idle connections, the longest idle first.
    idle: Arc<Mutex<VecDeque<IdleConnection>>>,
    /// How long a connection rests between two requests.
    settle_time: Arc<SettleTime>,
    counters: Arc<Counters>,
    /// How long a connection may stay idle.
    max_idle: Duration,
}

struct IdleConnection {
    since: Instant,
    node: Node,
    connection: Box<Connection>,
}

impl IdleConnection {
    /// Whether it was idle for this long, or has not carried any request.
    fn has_settled(&self, settle_time: Duration) -> bool {
        self.connection.operations == 0 || self.since.elapsed() >= settle_time
    }
}

/// Counts an attempt as waiting for a permit until it is dropped.
struct WaitingGuard<'a>(&'a AtomicUsize);

impl Drop for WaitingGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl ConnectionPool {
    /// A pool of at most `connections` connections to nodes that close them when they were idle for `idle_timeout`.
    pub fn new(connections: usize, idle_timeout: Duration, counters: Arc<Counters>) -> ConnectionPool {
        let permits = Arc::new(Semaphore::new(connections));
        let max_idle = idle_timeout - idle_timeout / IDLE_MARGIN_DIVISOR;
        let (waiting, idle, settle_time) = (Arc::default(), Arc::default(), Arc::default());
        ConnectionPool { permits, waiting, idle, settle_time, counters, max_idle }
    }

    /// Raises the limit by this many connections.
    pub fn grow(&self, connections: usize) {
        self.permits.add_permits(connections);
    }

    /// Waits for a permit to open one more connection. At the limit the longest idle connection is closed; if none is
    /// idle, the next one that becomes idle.
    pub async fn acquire_permit(&self) -> OwnedSemaphorePermit {
        if self.permits.available_permits() == 0 {
            self.close_longest_idle();
        }
        self.waiting.fetch_add(1, Ordering::Relaxed);
        let _waiting = WaitingGuard(&self.waiting);
        self.permits.clone().acquire_owned().await.expect("never closed")
    }

    /// Takes the longest idle connection to this node at this address, so that each is used before it times out, if it
    /// has settled. Unusable ones found on the way are closed.
    pub fn take_idle(&self, node: Node, address: SocketAddr) -> Option<Box<Connection>> {
        let mut idle = self.lock_idle();
        let settle_time = self.settle_time.current(Instant::now());
        let settled = |idle: &IdleConnection| idle.node == node && idle.has_settled(settle_time);
        while let Some(index) = idle.iter().position(settled) {
            let one = idle.remove(index)?;
            if one.connection.address == address && self.is_usable(&one) {
                return Some(one.connection);
            }
        }
        if idle.iter().any(|idle| idle.node == node) {
            self.counters.connections_settling.add();
        }
        None
    }

    /// Returns a connection to the pool after use, or closes it if an attempt waits for its permit.
    pub fn put_back(&self, node: Node, connection: Box<Connection>) {
        if self.waiting.load(Ordering::Relaxed) > 0 && self.permits.available_permits() == 0 {
            return self.counters.connections_closed_for_room.add();
        }
        self.lock_idle().push_back(IdleConnection { since: Instant::now(), node, connection });
    }

    /// Closes the idle connections to a node that is gone.
    pub fn close_idle(&self, node: Node) {
        self.lock_idle().retain(|idle| idle.node != node);
    }

    /// The number of idle connections.
    pub fn idle_count(&self) -> usize {
        self.lock_idle().len()
    }

    fn close_longest_idle(&self) {
        if self.lock_idle().pop_front().is_some() {
            self.counters.connections_closed_for_room.add();
        }
    }

    /// Whether the connection was idle for less than the limit, is still open and has received nothing.
    fn is_usable(&self, idle: &IdleConnection) -> bool {
        idle.since.elapsed() < self.max_idle && self.is_quiet(&idle.connection, idle.since)
    }

    /// Whether a connection, idle since then, can carry another operation. Counts and logs why it cannot.
    pub fn is_quiet(&self, connection: &Connection, since: Instant) -> bool {
        let state = connection.idle_state();
        let counter = match state {
            IdleState::Quiet => return true,
            IdleState::Unsolicited => {
                self.settle_time.record_unsolicited(Instant::now());
                &self.counters.connections_unsolicited
            }
            IdleState::Closed => &self.counters.connections_closed_idle,
        };
        counter.add();
        let Connection { id, address, operations, .. } = connection;
        let idle = since.elapsed();
        tracing::debug!(
            "{address}: connection {id} closed: {state:?} after {operations} requests, idle {idle:?}"
        );
        false
    }

    fn sweep(&self) {
        self.lock_idle().retain(|idle| self.is_usable(idle));
    }

    fn lock_idle(&self) -> MutexGuard<'_, VecDeque<IdleConnection>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Closes idle connections before they time out, and all of them once another process takes over, which needs their
/// descriptors. Runs until the task is dropped.
pub async fn sweep(shared: Shared) {
    let (mut closing, mut closed): (PhaseWatch, bool) = (shared.phase.clone(), false);
    let mut due = interval(SWEEP_INTERVAL);
    due.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = due.tick() => shared.upstream.sweep(),
            () = closing.reached(Phase::Closing), if !closed => {
                closed = true;
                if shared.successor.get().is_some() {
                    shared.upstream.lock_idle().clear();
                }
            }
        }
    }
}
