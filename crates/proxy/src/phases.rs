//! The phases of a proxy from its start to its exit. Each actor that depends on them has a `PhaseWatch`.

use crate::counters::Counters;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::yield_now;
use tokio::time::sleep;
use tokio_util::task::TaskTracker;

/// A phase of the process, in order of time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Reads its configuration and opens its sockets.
    Starting,
    /// Accepts and answers requests.
    Serving,
    /// Told to stop; serves as before, since new connections still arrive.
    Draining,
    /// Accepts no new connections, and closes client connections as soon as they have no open request.
    Closing,
    /// Withdraws the open attempts and sends nothing more.
    Leaving,
    /// About to exit.
    Stopped,
}

/// The longest time for which the platform waits for accepted requests when it stops a process.
const MAX_REQUEST_WAIT: Duration = Duration::from_secs(3);
/// How much longer `Closing` may take: part of what the platform adds to that before it kills the process.
const CLOSING_MARGIN: Duration = Duration::from_millis(50);
/// How long `Leaving` may take, from the same addition.
const LEAVING_TIMEOUT: Duration = Duration::from_millis(80);

/// Sets the phase.
pub struct Phases(watch::Sender<Phase>, Arc<Counters>);

/// Observes the phase.
#[derive(Clone)]
pub struct PhaseWatch(watch::Receiver<Phase>);

impl Default for Phases {
    fn default() -> Self {
        Phases::new(Arc::default())
    }
}

impl Phases {
    /// Begins with `Starting`.
    pub fn new(counters: Arc<Counters>) -> Self {
        Phases(watch::Sender::new(Phase::Starting), counters)
    }

    /// A watch on the phase.
    pub fn watch(&self) -> PhaseWatch {
        PhaseWatch(self.0.subscribe())
    }

    /// Enters and logs a phase.
    pub fn enter(&self, phase: Phase) {
        tracing::info!("{phase:?}");
        self.0.send_replace(phase);
    }

    /// Stops: goes through the phases until all requests are answered or the time that the platform grants is
    /// over. `longest_request` is the longest overall timeout of a request.
    pub async fn stop(&self, draining: Duration, longest_request: Duration, clients: &TaskTracker) {
        self.enter(Phase::Draining);
        sleep(draining).await;
        self.enter(Phase::Closing);
        // Connections that the kernel has accepted get their tasks before the wait for all tasks begins.
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
    /// The current phase.
    pub fn current(&self) -> Phase {
        *self.0.borrow()
    }

    /// Returns once this phase or a later one is reached.
    pub async fn reached(&mut self, phase: Phase) {
        if self.0.wait_for(|current| *current >= phase).await.is_err() {
            std::future::pending().await
        }
    }
}
