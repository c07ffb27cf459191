//! Room for so many connections, and a word to one that can be closed when there is none left.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore};
use tokio::time::sleep;

/// The pause between one connection that is asked to close and the next.
const AGAIN: Duration = Duration::from_millis(25);
/// What is new is asked to close no sooner than this.
pub const NEW: Duration = Duration::from_millis(20);

/// How well a connection can be spared, best first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Spare {
    /// Never used.
    Unused,
    /// Not yet used, and so new that it may still be: not asked, but worth a pause.
    New,
    Idle,
    /// Idle for so short a time that something may be on its way.
    Lately,
}

#[derive(Clone)]
pub struct Room {
    free: Arc<Semaphore>,
    spare: Arc<[Waiting; 4]>,
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

    /// A place for one more, once there is one.
    pub async fn take(&self) -> OwnedSemaphorePermit {
        let permit = self.free.clone().acquire_owned();
        tokio::pin!(permit);
        let mut pauses = true;
        loop {
            tokio::select! {
                biased;
                permit = &mut permit => return permit.expect("never closed"),
                () = async { self.ask(pauses); sleep(AGAIN).await } => pauses = false,
            }
        }
    }

    /// Asks the connection to close that can be spared best, if there is one; where one may soon turn out to
    /// be unused, a caller that pauses asks none.
    pub fn ask(&self, pauses: bool) {
        let waits = |spare: &Spare| self.spare[*spare as usize].count.load(Ordering::Relaxed) > 0;
        let order = [Spare::Unused, Spare::New, Spare::Idle, Spare::Lately];
        let best = order.into_iter().find(|spare| waits(spare) && (pauses || *spare != Spare::New));
        if let Some(best) = best.filter(|best| *best != Spare::New) {
            self.spare[best as usize].close.notify_one();
        }
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
