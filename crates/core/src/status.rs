//! Figures about the balancer for counters and logs. Reading them changes nothing.

use crate::balancer::Balancer;
use crate::host::Host;
use crate::nodes::NodeIndex;

/// A proxy's view at one time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Status {
    /// Caches that are ready and not ejected.
    pub serving: usize,
    /// Ejected nodes.
    pub ejected: usize,
    /// Requests that lack their final answer or have attempts in flight.
    pub requests: usize,
    /// Attempts in flight at caches.
    pub attempts: usize,
    /// Fetches in flight at the origin.
    pub fetches: usize,
    /// Fetches that may be in flight at the origin on average.
    pub fetch_limit: f64,
    /// Fetches that wait for capacity at the origin.
    pub fetches_queued: usize,
}

impl<H: Host, F: NodeIndex> Balancer<H, F> {
    /// The current figures.
    pub fn status(&self) -> Status {
        let origin = self.origin.map(|node| &self.nodes.states[node].stats);
        Status {
            serving: self.nodes.serving(),
            ejected: self.nodes.ejected().count(),
            requests: self.requests.len(),
            attempts: self.all_caches.in_flight,
            fetches: origin.map_or(0, |stats| stats.in_flight),
            fetch_limit: origin.map_or(0.0, |stats| stats.limit),
            fetches_queued: self.fetches.queued(),
        }
    }
}
