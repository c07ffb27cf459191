//! Concurrency limits: how many requests may be in flight at a node and at all nodes together, derived from
//! the concurrency at which answers came fastest.

use crate::balancer::Balancer;
use crate::host::{Host, Nanos, Node, ReportedLoad};
use crate::nodes::NodeIndex;
use crate::policy::{INITIAL_REQUESTS, MAX_BURST_CREDIT, MIN_SAMPLES, QUICK_DIVISOR, REPLICA_IDLE_TIMEOUT};
use crate::state::TrafficStats;

/// The limit is the concurrency at which answers came fastest times this headroom, which allows the proxy to
/// find out that more is possible.
const HEADROOM: f64 = 1.5;
/// The same for the origin.
const ORIGIN_HEADROOM: f64 = 2.0;
/// While answers are quick the minimum limit is scaled up by at most this factor.
const MAX_MINIMUM_SCALE: f64 = 4.0;
/// A node's limit shrinks once answers take longer than this multiple of their minimum latency.
const SLOW_FACTOR: f64 = 1.5;
/// Nodes whose limits are updated per tick: all nodes of a smaller fleet, otherwise in turns, so that each is
/// updated once a second.
const NODES_PER_TICK: usize = 512;

impl<H: Host, F: NodeIndex> Balancer<H, F> {
    /// Updates the statistics, the limit for all caches together, and that of the origin.
    pub(crate) fn update_limits(&mut self) {
        self.demand.refresh(self.now);
        self.machine_types.refresh(self.now, &self.all_caches);
        // Cold nodes count by their capacity share, and nodes that refuse requests count less. Otherwise warm
        // nodes would get what cold ones can't take, and crowded nodes what they refuse.
        let able_nodes = self.demand.warm_equivalents * self.all_caches.answered_share(self.now);
        let minimum = INITIAL_REQUESTS * able_nodes / self.proxy_count
            * self.minimum_scale(self.machine_types.hit_latency, QUICK_DIVISOR);
        update_limit(self.now, &mut self.all_caches, LimitParams { minimum, ..LimitParams::default() });
        self.origin.into_iter().for_each(|origin| self.update_node_limit(origin));
    }

    /// Updates the limit of one node.
    pub(crate) fn update_node_limit(&mut self, node: Node) {
        let minimum = (INITIAL_REQUESTS / self.proxy_count).floor().max(1.0);
        let origin = self.nodes.states[node].listed.origin.then(|| self.origin_min_limit(node));
        let params = match origin {
            Some(minimum) => {
                let remembers_min_latency = self.settings.origin_may_collapse;
                LimitParams {
                    headroom: ORIGIN_HEADROOM,
                    minimum,
                    remembers_min_latency,
                    ..LimitParams::default()
                }
            }
            None => LimitParams { minimum, slow_factor: SLOW_FACTOR, ..LimitParams::default() },
        };
        let state = &mut self.nodes.states[node];
        update_limit(self.now, &mut state.stats, params);
        let share = state.capacity_share(self.now, &self.settings);
        self.demand.record_rate(node, share, state.stats.recent_answers.rate(self.now));
    }

    /// By how much a proxy's minimum limit is scaled up while latency, in seconds, is a small part of the
    /// shortest objective. This serves busy proxies among many idle ones: capacity that the idle ones leave
    /// unused shows as quick answers.
    pub(crate) fn minimum_scale(&self, latency: f64, quick_divisor: f64) -> f64 {
        (self.settings.shortest_objective as f64 / 1e9 / quick_divisor / latency)
            .clamp(1.0, MAX_MINIMUM_SCALE)
    }

    /// Updates the limits of the nodes whose turn it is, and releases those that have been gone long enough.
    pub(crate) fn update_node_slice(&mut self) {
        let count = self.nodes.states.len();
        for _ in 0..count.min(NODES_PER_TICK.max(count.div_ceil(10))) {
            self.demand.last_updated = (self.demand.last_updated + 1) % count;
            let node = self.demand.last_updated;
            self.update_node_limit(node);
            // Releasing nodes bounds memory. The index may be reused only when no replica set or request
            // refers to it any more.
            let releasable = self.nodes.states[node].is_releasable(self.now, REPLICA_IDLE_TIMEOUT);
            if releasable && !self.requests.values().any(|request| request.attempted_on(node)) {
                self.nodes.remove(node);
                self.host.release_node(node);
            }
        }
    }

    /// A node has reported its load.
    pub fn load_reported(&mut self, now: Nanos, node: Node, load: ReportedLoad) {
        self.advance_to(now);
        (node < self.nodes.states.len())
            .then(|| self.nodes.change(node, |state| state.record_report(now, load)));
    }
}

/// What the limit of a node, or of all caches together, is derived from.
#[derive(Clone, Copy)]
struct LimitParams {
    /// The limit as a multiple of the best concurrency.
    headroom: f64,
    /// The lowest limit before it is scaled down.
    minimum: f64,
    /// The limit shrinks once answers take longer than this multiple of their minimum latency.
    slow_factor: f64,
    /// Keeps the minimum latency for longer than a minute. During a longer overload, the queueing time it
    /// causes would otherwise become the minimum latency, and the limit would follow it upwards.
    remembers_min_latency: bool,
}

impl Default for LimitParams {
    fn default() -> LimitParams {
        LimitParams {
            headroom: HEADROOM,
            minimum: 0.0,
            slow_factor: f64::INFINITY,
            remembers_min_latency: false,
        }
    }
}

/// Sets the limit to the best concurrency, the peak rate times the minimum latency, times the headroom, or to
/// the minimum if that is higher. It is scaled down while answers take far longer than their minimum.
fn update_limit(
    now: Nanos,
    stats: &mut TrafficStats,
    LimitParams { headroom, minimum, slow_factor, remembers_min_latency }: LimitParams,
) {
    let (minute_latency, recent_latency) =
        (stats.minute_answers.min_bucket_mean(now, MIN_SAMPLES), stats.recent_answers.mean(now));
    let min_latency =
        if remembers_min_latency { stats.update_min_latency(now, minute_latency) } else { minute_latency };
    let best_in_flight = stats.minute_answers.peak_rate(now) * min_latency.unwrap_or(0.0);
    if let (Some(min_latency), Some(recent_latency)) = (min_latency, recent_latency) {
        stats.limit_scale = (slow_factor * min_latency / recent_latency).min(1.0);
    }
    stats.set_limit(now, MAX_BURST_CREDIT, stats.limit_scale * (headroom * best_in_flight).max(minimum));
}
