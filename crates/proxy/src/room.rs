//! Room for so many connections, and a word to one that can be closed when there is none left.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore};
use tokio::time::sleep;

/// The pause between one connection that is asked to close and the next.
const RETRY_INTERVAL: Duration = Duration::from_millis(25);

/// How well a connection can be spared, best first.
#[derive(Clone, Copy, Debug)]
pub enum EvictionClass {
    /// Never used.
    Unused,
    Idle,
    /// Idle for so short a time that something may be on its way.
    RecentlyActive,
}

#[derive(Clone)]
pub struct ConnectionLimit {
    permits: Arc<Semaphore>,
    queues: Arc<[EvictionQueue; 3]>,
}

/// Connections that can be closed.
#[derive(Default)]
struct EvictionQueue {
    count: AtomicUsize,
    close: Notify,
}

struct CountGuard<'a>(&'a AtomicUsize);

impl Drop for CountGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl ConnectionLimit {
    pub fn new(connections: usize) -> ConnectionLimit {
        ConnectionLimit { permits: Arc::new(Semaphore::new(connections)), queues: Arc::default() }
    }

    /// More connections from now on.
    pub fn add_permits(&self, connections: usize) {
        self.permits.add_permits(connections);
    }

    /// A place for one more, if there is one now.
    pub fn try_acquire(&self) -> Option<OwnedSemaphorePermit> {
        self.permits.clone().try_acquire_owned().ok()
    }

    /// A place for one more, once there is one.
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

    /// Asks the connection to close that can be spared best, if there is one.
    pub fn evict_one(&self) {
        self.evict_from(EvictionClass::Unused);
    }

    /// Asks for so many of those that have been used.
    pub fn evict_used(&self, connections: usize) {
        let _all_asked = (0..connections).all(|_| self.evict_from(EvictionClass::Idle));
    }

    /// Asks one that can be spared so well at best; says whether there is one.
    fn evict_from(&self, best: EvictionClass) -> bool {
        let mut queues = self.queues[best as usize..].iter();
        let queue = queues.find(|queue| queue.count.load(Ordering::Relaxed) > 0);
        queue.inspect(|queue| queue.close.notify_one()).is_some()
    }

    /// Returns when this is the connection to close: of those that can be spared alike, the one that waits
    /// here longest.
    pub async fn eviction_requested(&self, class: EvictionClass) {
        let EvictionQueue { count, close } = &self.queues[class as usize];
        count.fetch_add(1, Ordering::Relaxed);
        let _guard = CountGuard(count);
        close.notified().await;
    }
}
