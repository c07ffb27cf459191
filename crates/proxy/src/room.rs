//! Room for so many connections, and a word to one that can be closed when there is none left.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore};
use tokio::time::sleep;

/// The pause between one connection that is asked to close and the next.
const AGAIN: Duration = Duration::from_millis(25);

/// How well a connection can be spared, best first.
#[derive(Clone, Copy, Debug)]
pub enum Spare {
    /// Never used.
    Unused,
    Idle,
    /// Idle for so short a time that something may be on its way.
    Lately,
}

#[derive(Clone)]
pub struct Room {
    free: Arc<Semaphore>,
    spare: Arc<[Waiting; 3]>,
}

/// Connections that can be closed.
#[derive(Default)]
struct Waiting {
    count: AtomicUsize,
    close: Notify,
}

struct Counted<'a>(&'a AtomicUsize);

impl Drop for Counted<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Room {
    pub fn new(connections: usize) -> Room {
        Room { free: Arc::new(Semaphore::new(connections)), spare: Arc::default() }
    }

    /// More connections from now on.
    pub fn grow(&self, connections: usize) {
        self.free.add_permits(connections);
    }

    /// A place for one more, if there is one now.
    pub fn try_take(&self) -> Option<OwnedSemaphorePermit> {
        self.free.clone().try_acquire_owned().ok()
    }

    /// A place for one more, once there is one.
    pub async fn take(&self) -> OwnedSemaphorePermit {
        let permit = self.free.clone().acquire_owned();
        tokio::pin!(permit);
        loop {
            tokio::select! {
                biased;
                permit = &mut permit => return permit.expect("never closed"),
                () = async { self.ask(); sleep(AGAIN).await } => {}
            }
        }
    }

    /// Asks the connection to close that can be spared best, if there is one.
    pub fn ask(&self) {
        self.ask_from(Spare::Unused);
    }

    /// Asks for so many of those that have been used.
    pub fn ask_used(&self, connections: usize) {
        let _all = (0..connections).all(|_| self.ask_from(Spare::Idle));
    }

    /// Asks one that can be spared so well at best; says whether there is one.
    fn ask_from(&self, best: Spare) -> bool {
        let mut spare = self.spare[best as usize..].iter();
        let waiting = spare.find(|waiting| waiting.count.load(Ordering::Relaxed) > 0);
        waiting.inspect(|waiting| waiting.close.notify_one()).is_some()
    }

    /// Returns when this is the connection to close: of those that can be spared alike, the one that waits
    /// here longest.
    pub async fn asked(&self, spare: Spare) {
        let Waiting { count, close } = &self.spare[spare as usize];
        count.fetch_add(1, Ordering::Relaxed);
        let _counted = Counted(count);
        close.notified().await;
    }
}
