//! The proxy's phases, from start to exit. Every actor that acts on one holds a `Watch`.

use crate::counters::Counters;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::yield_now;
use tokio::time::sleep;
use tokio_util::task::TaskTracker;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Reads its settings and opens its sockets.
    Starting,
    /// Takes and answers exchanges.
    Serving,
    /// Told to stop: goes on as before, since connections still come.
    Draining,
    /// Takes no new connections and closes those of its clients between exchanges.
    Closing,
    /// Gives up what is still out, and sends nothing more.
    Leaving,
    Stopped,
}

/// The longest that a platform waits for exchanges that were taken, and what it adds to that before it kills.
const MAX_REQUEST_WAIT: Duration = Duration::from_secs(3);
const CLOSING_MARGIN: Duration = Duration::from_millis(50);
const LEAVING_TIMEOUT: Duration = Duration::from_millis(80);

pub struct Phases(watch::Sender<Phase>, Arc<Counters>);

#[derive(Clone)]
pub struct PhaseWatch(watch::Receiver<Phase>);

impl Default for Phases {
    fn default() -> Self {
        Phases::new(Arc::default())
    }
}

impl Phases {
    pub fn new(counters: Arc<Counters>) -> Self {
        Phases(watch::Sender::new(Phase::Starting), counters)
    }

    pub fn watch(&self) -> PhaseWatch {
        PhaseWatch(self.0.subscribe())
    }

    pub fn enter(&self, phase: Phase) {
        tracing::info!("{phase:?}");
        self.0.send_replace(phase);
    }

    /// From the signal to stop until all is answered, or until the platform's patience ends.
    pub async fn stop(&self, draining: Duration, longest_request: Duration, clients: &TaskTracker) {
        self.enter(Phase::Draining);
        sleep(draining).await;
        self.enter(Phase::Closing);
        // Connections that the kernel has accepted are taken in before anyone is waited for.
        yield_now().await;
        clients.close();
        let answered =
            tokio::time::timeout(longest_request.min(MAX_REQUEST_WAIT) + CLOSING_MARGIN, clients.wait())
                .await;
        if answered.is_err() {
            self.enter(Phase::Leaving);
            if tokio::time::timeout(LEAVING_TIMEOUT, clients.wait()).await.is_err() {
                tracing::warn!("{} client connections cut at exit", clients.len());
                (0..clients.len()).for_each(|_| self.1.cut_at_exit.add());
            }
        }
        self.enter(Phase::Stopped);
    }
}

impl PhaseWatch {
    pub fn current(&self) -> Phase {
        *self.0.borrow()
    }

    /// Returns once this phase, or a later one, has come.
    pub async fn reached(&mut self, phase: Phase) {
        if self.0.wait_for(|current| *current >= phase).await.is_err() {
            std::future::pending().await
        }
    }
}
