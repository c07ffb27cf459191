//! What the decisions tell of themselves for counters and logs. Reading it changes nothing.

use crate::balance::Balance;
use crate::fleet::Finder;
use crate::host::Host;

/// A proxy's view at one time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Status {
    /// Caches that are ready and not ejected.
    pub serving: usize,
    /// Ejected nodes.
    pub ejected: usize,
    /// Requests that are not wholly over.
    pub requests: usize,
    /// Attempts out at caches.
    pub attempts: usize,
    /// Fetches out at the origin, how many may be on average, and how many wait to begin.
    pub fetches: usize,
    pub fetches_bound: f64,
    pub fetches_queued: usize,
}

impl<H: Host, F: Finder> Balance<H, F> {
    pub fn status(&self) -> Status {
        let origin = self.origin.map(|node| &self.nodes.caches[node].flow);
        Status {
            serving: self.nodes.serving(),
            ejected: self.nodes.aside().count(),
            requests: self.requests.len(),
            attempts: self.all.in_flight,
            fetches: origin.map_or(0, |flow| flow.in_flight),
            fetches_bound: origin.map_or(0.0, |flow| flow.room),
            fetches_queued: self.fetches.in_line(),
        }
    }
}
