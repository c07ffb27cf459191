//! A cache node or the origin as this proxy knows it. A plain record without decisions.

use crate::host::{ListedNode, Nanos, NodeStatus, Outcome, ReportedLoad};
use crate::state::{PolicySettings, TrafficStats};

/// A cache node or the origin as this proxy knows it.
#[derive(Clone, Debug, Default)]
pub struct NodeState {
    /// The entry in the node list.
    pub listed: ListedNode,
    /// This proxy's traffic to the node.
    pub stats: TrafficStats,
    /// The last load report, unless it has expired.
    pub report: Option<LoadReport>,
    /// When the node was last listed, or last had an attempt or a probe in flight.
    pub last_in_use: Nanos,
    /// Whether the node has ever responded to an attempt or reported its load.
    pub observed: bool,
    /// Until when this proxy has used up its share of a cold node.
    pub paced_until: Nanos,
    /// Since when the node has had attempts in flight without responding.
    pub unanswered_since: Nanos,
    /// How long attempts that timed out have waited, in total, since the node last responded.
    pub timed_out_wait: Nanos,
    /// Until when the node counts as refusing requests.
    pub refusing_until: Nanos,
    /// Failures less the successes since then.
    pub failures: usize,
    /// Some for an ejected node: how many probes in a row it has answered since.
    pub ejected: Option<usize>,
    /// Whether a probe is in flight.
    pub probe_in_flight: bool,
    /// Operators took the node out of service: it counts as draining, whatever discovery lists.
    pub in_maintenance: bool,
}

/// The load that a node reported, with this proxy's own share at that time.
#[derive(Clone, Copy, Debug)]
pub struct LoadReport {
    /// Requests in flight at the node, from all proxies.
    pub in_flight: usize,
    /// Those of them that this proxy had sent.
    pub own: usize,
    /// When the report came.
    pub at: Nanos,
}

impl NodeState {
    /// Listed as ready and not taken out of service. Holds for the origin as well as for caches.
    pub fn is_ready(&self) -> bool {
        self.listed.status == NodeStatus::Ready && !self.in_maintenance
    }

    /// A ready cache that is not ejected.
    pub fn is_serving(&self) -> bool {
        self.is_ready() && !self.listed.origin && self.ejected.is_none()
    }

    /// Counts an attempt that is sent now.
    pub fn start_attempt(&mut self, now: Nanos) {
        if self.stats.in_flight == 0 {
            self.unanswered_since = now;
        }
        self.stats.start(now);
    }

    /// Stores a load report. To a report of waiting requests alone, this proxy's own requests are added as in
    /// service.
    pub fn record_report(&mut self, now: Nanos, load: ReportedLoad) {
        let own = self.stats.in_flight;
        let in_flight = match load {
            ReportedLoad::InFlight(count) => count as usize,
            ReportedLoad::Queued(count) => count as usize + own,
        };
        self.observed = true;
        self.report = Some(LoadReport { in_flight, own, at: now });
    }

    /// Counts the outcome of an attempt. Any response ends the node's silence.
    pub fn end_attempt(&mut self, now: Nanos, sent_at: Nanos, outcome: Outcome) {
        self.stats.end(now, sent_at, outcome);
        self.observed = true;
        match outcome {
            Outcome::Overdue => self.timed_out_wait += now.saturating_sub(sent_at),
            Outcome::Withdrawn | Outcome::Unsent => {}
            _ => (self.unanswered_since, self.timed_out_wait) = (now, 0),
        }
    }

    /// Requests in flight at the node: those of the last report plus this proxy's later ones, otherwise its
    /// own. Expired reports are removed by [`Nodes`](crate::nodes::Nodes).
    pub fn load_count(&self) -> u64 {
        let own = self.stats.in_flight;
        let since_report = |report: LoadReport| (report.in_flight + own).saturating_sub(report.own).max(own);
        self.report.map_or(own, since_report) as u64
    }

    /// The same as [`load_count`](NodeState::load_count), as a float.
    pub fn load(&self) -> f64 {
        self.load_count() as f64
    }

    /// Whether a cache has been gone for `idle_time` with nothing in flight, so that its index may be reused.
    pub fn is_releasable(&mut self, now: Nanos, idle_time: Nanos) -> bool {
        let awaits_answer = self.stats.in_flight > 0 || self.probe_in_flight;
        if awaits_answer || self.listed.status != NodeStatus::Gone {
            self.last_in_use = now;
        }
        let listed = self.listed.identity != 0 && !self.listed.origin;
        listed && now >= self.last_in_use + idle_time
    }

    /// Ends an ejection, and clears the failures that led to it.
    pub fn reinstate(&mut self) {
        (self.ejected, self.failures, self.timed_out_wait) = (None, 0, 0);
    }

    /// Clears everything held against the node.
    pub fn clear_penalties(&mut self) {
        self.reinstate();
        self.refusing_until = 0;
    }

    /// How long ago its process started.
    pub fn age(&self, now: Nanos) -> Nanos {
        now.saturating_sub(self.listed.started)
    }

    /// The share of full capacity that the node has at least; 0 while it is not serving.
    pub fn capacity_share(&self, now: Nanos, settings: &PolicySettings) -> f64 {
        let PolicySettings { warm_up, start_capacity: start, .. } = *settings;
        match () {
            () if !self.is_serving() => 0.0,
            () if self.is_warm(now, warm_up) => 1.0,
            () => start + (1.0 - start) * (self.age(now) as f64 / warm_up as f64),
        }
    }

    /// Whether its process has been running for longer than the warm-up takes.
    pub fn is_warm(&self, now: Nanos, warm_up: Nanos) -> bool {
        self.listed.started == 0 || self.age(now) >= warm_up
    }
}
