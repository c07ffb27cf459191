//! Which requests wait, for what and for how long, and which are shed: order of requests for one key,
//! capacity of nodes, quotas of tenants.

use crate::balancer::Balancer;
use crate::host::{GiveUpReason, Host, Nanos, Node, RequestId, RequestParams};
use crate::nodes::NodeIndex;
use crate::policy::{MAX_BURST_CREDIT, ORIGIN_WAIT_DIVISOR, SECOND, WAIT_DIVISOR};
use crate::state::{RequestState, Route, Tenant};

/// A tenant counts as over quota at a proxy once it uses this multiple of the proxy's share of the quota, since
/// traffic is spread unevenly over proxies.
const QUOTA_TOLERANCE: f64 = 1.5;

impl<H: Host, F: NodeIndex> Balancer<H, F> {
    /// Whether earlier requests for the key, or a block of the key, keep the request from being sent. This
    /// preserves the order of effects on a key. A request that can't become first before a fetch would have
    /// to begin is given up immediately.
    pub(crate) fn waits_for_key_order(&mut self, id: RequestId) -> bool {
        let request = &self.requests[&id];
        let Some(key) = request.ordering_key().filter(|_| request.attempts.is_empty()) else { return false };
        let (ahead, blocked_until) = (self.key_queues.position(key, id), self.key_queues.blocked_until(key));
        let waits = ahead > 0 || self.now < blocked_until;
        let latest_start = request.arrived_at + request.route.latency_objective / ORIGIN_WAIT_DIVISOR;
        // The wait is estimated by the latency of the origin, where writes go.
        let origin_latency =
            self.origin.and_then(|node| self.nodes.states[node].stats.recent_answers.mean(self.now));
        let expected_wait = (ahead as f64
            * origin_latency.unwrap_or(self.machine_types.mean_latency)
            * SECOND as f64) as Nanos;
        self.requests.get_mut(&id).expect("a request being placed is open").waits_for_key = waits;
        if waits && self.now.max(blocked_until) + expected_wait > latest_start {
            self.give_up(id, GiveUpReason::KeyBusy);
        } else if waits {
            self.hold_request(id, ORIGIN_WAIT_DIVISOR);
            // Behind other requests it is placed again when those are finished.
            (ahead == 0).then(|| self.host.set_timer(blocked_until, id));
        }
        waits
    }

    /// Holds a request without attempts in flight until the latency objective divided by `divisor` has passed
    /// since its arrival, or its client stops waiting; then it is shed. Returns the waiting time.
    pub(crate) fn hold_request(&mut self, id: RequestId, divisor: u64) -> Nanos {
        let request = self.requests.get_mut(&id).expect("a waiting request is open");
        let max_wait = request.route.latency_objective / divisor;
        request.give_up_at = (request.arrived_at + max_wait.min(request.params.client_timeout)).max(self.now);
        self.host.set_timer(request.give_up_at, id);
        max_wait
    }

    /// Decides on a request for which no cache has capacity. Over the tenant's quota it is shed. Otherwise
    /// the origin serves it if it has capacity; if not, the request waits, in a queue short enough (rate
    /// times waiting time) that most of those waiting are answered.
    pub(crate) fn wait_for_capacity(&mut self, id: RequestId) {
        let RequestState { arrived_at, params, route, .. } = &self.requests[&id];
        let max_wait = route.latency_objective / WAIT_DIVISOR;
        let rate = self.all_caches.recent_answers.rate(self.now);
        if self.over_quota(params.tenant) {
            self.give_up(id, GiveUpReason::OverQuota);
        } else if self.now - arrived_at >= max_wait {
            self.give_up(id, GiveUpReason::WaitedTooLong);
        } else if self.origin_has_capacity(id) {
            self.send_to_origin(id);
        } else if self.capacity_queue.len() as f64 >= (rate * max_wait as f64 / SECOND as f64).max(1.0) {
            self.give_up(id, GiveUpReason::QueueFull);
        } else {
            self.hold_request(id, WAIT_DIVISOR);
            self.capacity_queue.push(id);
        }
    }

    /// Places those of the requests that still wait for a decision.
    pub(crate) fn place_waiting(&mut self, requests: Vec<RequestId>) {
        for id in requests {
            if self.requests.get(&id).is_some_and(RequestState::awaits_decision) {
                self.place_request(id);
            }
        }
    }

    /// The payoff of answering a request, in thousandths. Fetches are ordered by it alone, as each costs the
    /// origin about the same.
    pub(crate) fn payoff_milli(&self, params: &RequestParams, route: &Route) -> u64 {
        let share = if self.over_quota(params.tenant) { self.settings.over_quota_payoff } else { 1.0 };
        (1000.0 * route.payoff * share) as u64
    }

    /// Whether the limits of the node and of all caches together allow this request. This protects nodes that
    /// lose capacity when crowded: a small or reduced limit is rounded down, since one request too many from
    /// each proxy adds up. It also protects large fleets, where each proxy could have a request at every
    /// node: the limit for all caches together prevents that. Burst credit goes first to tenants that have
    /// used little of their share.
    pub(crate) fn has_capacity(&self, id: RequestId, node: Node) -> bool {
        let (here, all) = (&self.nodes.states[node].stats, &self.all_caches);
        let is_small = here.limit < 2.0 || here.limit_scale < 1.0;
        let limit = if is_small { here.limit.floor().max(1.0) } else { here.limit };
        let used_share = (self.quota_use(self.requests[&id].params.tenant) / QUOTA_TOLERANCE).min(1.0);
        let total_limit = (all.limit + all.burst_credit - MAX_BURST_CREDIT * used_share).max(1.0);
        (here.in_flight as f64) < limit && all.in_flight as f64 + 1.0 <= total_limit
    }

    /// The tenant's recent use of this proxy's share of its quota; 1 is all of it. A proxy that sees far more
    /// than an even share of all tenants' traffic has a share of each quota that is larger by as much.
    fn quota_use(&self, tenant: Option<usize>) -> f64 {
        let share = (1.0 / self.proxy_count).max(self.tenants.quota_use(self.now));
        let served = |tenant: &Tenant| tenant.served.rate(self.now) / tenant.quota / share;
        self.tenants.get(tenant).map_or(0.0, served)
    }

    /// Whether the tenant has used more than its share of the quota at this proxy.
    pub(crate) fn over_quota(&self, tenant: Option<usize>) -> bool {
        self.quota_use(tenant) > QUOTA_TOLERANCE
    }
}
