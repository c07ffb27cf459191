//! The state that all actors of a proxy share. Other modules import it; it imports none of those that use it.

use crate::clock::Clock;
use crate::config::Config;
use crate::counters::Counters;
use crate::messages::DispatcherHandle;
use crate::phases::PhaseWatch;
use crate::routes::Routes;
use crate::takeover::Successor;
use crate::upstream::pool::ConnectionPool;
use std::sync::{Arc, OnceLock};
use tokio::sync::{Semaphore, watch};

/// State that all actors share.
#[derive(Clone)]
pub struct Shared {
    /// The proxy's clock.
    pub clock: Clock,
    /// The configuration at the start.
    pub config: Arc<Config>,
    /// Counters and gauges.
    pub counters: Arc<Counters>,
    /// Sends events to the dispatcher.
    pub dispatcher: DispatcherHandle,
    /// The current phase.
    pub phase: PhaseWatch,
    /// The routes of the settings in force.
    pub routes: watch::Receiver<Arc<Routes>>,
    /// Connections to nodes.
    pub upstream: ConnectionPool,
    /// Permits for long values that are being streamed.
    pub streamed_values: Arc<Semaphore>,
    /// The process that takes over from this one, once there is one.
    pub successor: Arc<OnceLock<Successor>>,
}
