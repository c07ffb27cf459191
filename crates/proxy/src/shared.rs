//! What all parts of a proxy share. It stands below them all and imports none that uses it.

use crate::clock::Clock;
use crate::config::Config;
use crate::counters::Counters;
use crate::heir::Heir;
use crate::messages::Door;
use crate::phases::Watch;
use crate::tuning::Routes;
use crate::upstream::pool::ConnectionPool;
use std::sync::{Arc, OnceLock};
use tokio::sync::{Semaphore, watch};

/// What all actors share.
#[derive(Clone)]
pub struct Shared {
    pub clock: Clock,
    pub config: Arc<Config>,
    pub counters: Arc<Counters>,
    pub door: Door,
    pub watch: Watch,
    /// As of the last settings that were taken.
    pub routes: watch::Receiver<Arc<Routes>>,
    /// Connections to nodes.
    pub upstream: ConnectionPool,
    /// For long answers of nodes that are on their way.
    pub long: Arc<Semaphore>,
    /// The process that takes over from this one, once it has.
    pub heir: Arc<OnceLock<Heir>>,
}
