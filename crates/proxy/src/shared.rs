//! What all parts of a proxy share. It stands below them all and imports none that uses it.

use crate::clock::Clock;
use crate::config::Config;
use crate::counters::Counters;
use crate::heir::Successor;
use crate::messages::DispatcherHandle;
use crate::phases::PhaseWatch;
use crate::tuning::Routes;
use crate::upstream::pool::Pool;
use std::sync::{Arc, OnceLock};
use tokio::sync::{Semaphore, watch};

/// What all actors share.
#[derive(Clone)]
pub struct Shared {
    pub clock: Clock,
    pub config: Arc<Config>,
    pub counters: Arc<Counters>,
    pub dispatcher: DispatcherHandle,
    pub phase: PhaseWatch,
    /// As of the last settings that were taken.
    pub routes: watch::Receiver<Arc<Routes>>,
    /// Connections to nodes.
    pub upstream: Pool,
    /// For long answers of nodes that are on their way.
    pub streamed_values: Arc<Semaphore>,
    /// The process that takes over from this one, once it has.
    pub successor: Arc<OnceLock<Successor>>,
}
