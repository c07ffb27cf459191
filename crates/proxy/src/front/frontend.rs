//! What all client connections of a proxy share.

use crate::connection_limit::ConnectionLimit;
use crate::front::pacing::BusyConnections;
use crate::shared::Shared;
use crate::streaming::BufferedValueLimit;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use tokio::sync::Semaphore;
use tokio_util::task::TaskTracker;

/// Accepts client connections and serves them. Clones share all state.
#[derive(Clone)]
pub struct Frontend {
    /// State shared with the other actors.
    pub shared: Shared,
    /// Tasks of the open client connections.
    pub connections: TaskTracker,
    /// Limits client connections. To make room, it closes a connection that has not sent a request yet, else
    /// the one idle longest; a partly sent command does not prevent that.
    pub limit: ConnectionLimit,
    /// Number of open connections that have sent a request.
    pub used_connections: Arc<AtomicUsize>,
    /// Permits for commands beyond the first on a connection. Bounds the replies that slow readers leave in
    /// memory.
    pub pipeline_permits: Arc<Semaphore>,
    /// The connections that send more than is read from them.
    pub busy_connections: BusyConnections,
    /// Limits the memory of long values that have to arrive whole before they are passed on.
    pub buffered_values: BufferedValueLimit,
}
