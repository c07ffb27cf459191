//! Room for so many connections, and a word to the one that stands idle longest when there is none left.

use std::sync::Arc;
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore};

#[derive(Clone)]
pub struct Room {
    free: Arc<Semaphore>,
    close_idle: Arc<Notify>,
}

impl Room {
    pub fn new(connections: usize) -> Room {
        Room { free: Arc::new(Semaphore::new(connections)), close_idle: Arc::new(Notify::new()) }
    }

    /// A place for one more, once there is one.
    pub async fn take(&self) -> OwnedSemaphorePermit {
        if self.free.available_permits() == 0 {
            self.ask();
        }
        self.free.clone().acquire_owned().await.expect("never closed")
    }

    /// Asks for an idle connection to be closed.
    pub fn ask(&self) {
        self.close_idle.notify_one();
    }

    /// Returns when this is the connection to close: of those that wait here, the one that does so longest.
    pub async fn asked(&self) {
        self.close_idle.notified().await;
    }
}
