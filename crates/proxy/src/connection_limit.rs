//! A limit on the number of open connections. When it is reached, a connection that can be closed is asked to
//! close.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore};
use tokio::time::sleep;

/// The pause between two such requests while a new connection waits.
const RETRY_INTERVAL: Duration = Duration::from_millis(25);

/// How readily a connection is closed to make room, first to last.
#[derive(Clone, Copy, Debug)]
pub enum EvictionClass {
    /// It has never been used.
    Unused,
    /// It has been idle for a while.
    Idle,
    /// It has been idle for so short a time that a request may be on its way.
    RecentlyActive,
}

/// Limits the number of open connections. Clones share the limit.
#[derive(Clone)]
pub struct ConnectionLimit {
    permits: Arc<Semaphore>,
    queues: Arc<[EvictionQueue; 3]>,
}

/// The connections of one class that can be closed.
#[derive(Default)]
struct EvictionQueue {
    count: AtomicUsize,
    close: Notify,
}

/// Lowers the count when dropped, also if the waiting call is cancelled.
struct CountGuard<'a>(&'a AtomicUsize);

impl Drop for CountGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl ConnectionLimit {
    /// A limit of so many connections.
    pub fn new(connections: usize) -> ConnectionLimit {
        ConnectionLimit { permits: Arc::new(Semaphore::new(connections)), queues: Arc::default() }
    }

    /// Raises the limit.
    pub fn add_permits(&self, connections: usize) {
        self.permits.add_permits(connections);
    }

    /// Takes a permit for one connection; `None` if the limit is reached.
    pub fn try_acquire(&self) -> Option<OwnedSemaphorePermit> {
        self.permits.clone().try_acquire_owned().ok()
    }

    /// Waits for a permit for one connection. Asks others to close until it has one.
    pub async fn acquire(&self) -> OwnedSemaphorePermit {
        let permit = self.permits.clone().acquire_owned();
        tokio::pin!(permit);
        loop {
            tokio::select! {
                biased;
                permit = &mut permit => return permit.expect("never closed"),
                () = async { self.evict_one(); sleep(RETRY_INTERVAL).await } => {}
            }
        }
    }

    /// Asks one connection to close, of the first class that has any.
    pub fn evict_one(&self) {
        self.evict_from(EvictionClass::Unused);
    }

    /// Asks so many connections to close that have been used, or all of them if there are fewer.
    pub fn evict_used(&self, connections: usize) {
        let _all_asked = (0..connections).all(|_| self.evict_from(EvictionClass::Idle));
    }

    /// Asks one connection of class `best` or a later one to close. Returns whether there is one.
    fn evict_from(&self, best: EvictionClass) -> bool {
        let mut queues = self.queues[best as usize..].iter();
        let queue = queues.find(|queue| queue.count.load(Ordering::Relaxed) > 0);
        queue.inspect(|queue| queue.close.notify_one()).is_some()
    }

    /// Returns when this connection is the one to close: of each class the one that has waited here longest.
    pub async fn eviction_requested(&self, class: EvictionClass) {
        let EvictionQueue { count, close } = &self.queues[class as usize];
        count.fetch_add(1, Ordering::Relaxed);
        let _guard = CountGuard(count);
        close.notified().await;
    }
}
