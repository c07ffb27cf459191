//! The connections that rest between attempts, to all nodes together, and the room for those there are. It keeps state
//! for connections alone, none for nodes.

use crate::counters::Counters;
use crate::phases::{Phase, PhaseWatch};
use crate::shared::Shared;
use crate::upstream::connection::Connection;
use pumicebay_core::Node;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::{Instant, MissedTickBehavior, interval};

/// How often resting connections are looked at.
const SWEEP: Duration = Duration::from_secs(1);
/// A connection is used until this part of the nodes' idle limit is left.
const MARGIN: u32 = 10;

#[derive(Clone)]
pub struct Pool {
    room: Arc<Semaphore>,
    /// Attempts that wait for room.
    waiting: Arc<AtomicUsize>,
    /// By how long they rest, the longest first.
    resting: Arc<Mutex<VecDeque<Resting>>>,
    counters: Arc<Counters>,
    /// How long a connection may rest.
    longest: Duration,
}

struct Resting {
    since: Instant,
    node: Node,
    connection: Box<Connection>,
}

/// An attempt that waits for room, as long as it does.
struct Waits<'a>(&'a AtomicUsize);

impl Drop for Waits<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Pool {
    /// Room for so many connections, which nodes let rest for no longer than `idle`.
    pub fn new(connections: usize, idle: Duration, counters: Arc<Counters>) -> Pool {
        let room = Arc::new(Semaphore::new(connections));
        let longest = idle - idle / MARGIN;
        Pool { room, waiting: Arc::default(), resting: Arc::default(), counters, longest }
    }

    /// More connections from now on.
    pub fn grow(&self, connections: usize) {
        self.room.add_permits(connections);
    }

    /// Room for one more connection. Where there is none, the connection that rests longest is closed, or the next
    /// that would rest.
    pub async fn room(&self) -> OwnedSemaphorePermit {
        if self.room.available_permits() == 0 {
            self.close_one();
        }
        self.waiting.fetch_add(1, Ordering::Relaxed);
        let _waits = Waits(&self.waiting);
        self.room.clone().acquire_owned().await.expect("never closed")
    }

    /// Of the connections to this node at this address the one that rests longest, so that each is used before its
    /// time is up. Those that can't be used any more are closed.
    pub fn take(&self, node: Node, address: SocketAddr) -> Option<Box<Connection>> {
        let mut resting = self.resting();
        while let Some(place) = resting.iter().position(|resting| resting.node == node) {
            let one = resting.remove(place)?;
            if one.connection.address == address && self.usable(&one) {
                return Some(one.connection);
            }
        }
        None
    }

    /// A connection that has done its work rests, unless its room is waited for.
    pub fn rest(&self, node: Node, connection: Box<Connection>) {
        if self.waiting.load(Ordering::Relaxed) > 0 && self.room.available_permits() == 0 {
            return self.counters.connections_closed_for_room.add();
        }
        self.resting().push_back(Resting { since: Instant::now(), node, connection });
    }

    /// Closes those to a node that is gone.
    pub fn forget(&self, node: Node) {
        self.resting().retain(|resting| resting.node != node);
    }

    pub fn count(&self) -> usize {
        self.resting().len()
    }

    fn close_one(&self) {
        if self.resting().pop_front().is_some() {
            self.counters.connections_closed_for_room.add();
        }
    }

    /// Rests not too long and is still open.
    fn usable(&self, resting: &Resting) -> bool {
        resting.since.elapsed() < self.longest && resting.connection.alive()
    }

    fn sweep(&self) {
        self.resting().retain(|resting| self.usable(resting));
    }

    fn resting(&self) -> MutexGuard<'_, VecDeque<Resting>> {
        self.resting.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Closes resting connections in time, and all once another process takes over, which needs their descriptors.
pub async fn sweep(shared: Shared) {
    let (mut closing, mut closed): (PhaseWatch, bool) = (shared.phase.clone(), false);
    let mut due = interval(SWEEP);
    due.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = due.tick() => shared.upstream.sweep(),
            () = closing.reached(Phase::Closing), if !closed => {
                closed = true;
                if shared.successor.get().is_some() {
                    shared.upstream.resting().clear();
                }
            }
        }
    }
}
