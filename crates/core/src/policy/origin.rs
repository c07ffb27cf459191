//! Fetches from the origin: one per key, within the origin's concurrency limit, those with the highest payoff
//! first. Cache misses must not overload the origin.

use crate::balancer::Balancer;
use crate::fetches::Fetch;
use crate::host::{GiveUpReason, Host, Nanos, Node, RequestId};
use crate::nodes::NodeIndex;
use crate::policy::{
    INITIAL_REQUESTS, MAX_BURST_CREDIT, MIN_SAMPLES, ORIGIN_WAIT_DIVISOR, QUICK_DIVISOR, SECOND,
};
use crate::state::NodeState;

/// Fetches in flight for each serving cache, by all proxies together: before the origin's latency is known,
/// and after.
const ORIGIN_FETCHES_PER_CACHE: [f64; 2] = [1.8, 1.3];
/// `QUICK_DIVISOR` for an origin that does not stop when overloaded.
const ORIGIN_QUICK_DIVISOR: f64 = 1.5;

impl<H: Host, F: NodeIndex> Balancer<H, F> {
    /// Lets the request wait for the fetch of its key.
    pub(crate) fn wait_for_fetch(&mut self, id: RequestId) {
        let request = &self.requests[&id];
        self.fetches.add_waiter(request.params.key, id, request.payoff_milli);
        self.hold_request(id, ORIGIN_WAIT_DIVISOR);
    }

    /// Sends a request to the origin. Of the requests that miss a key one fetches it and the others wait for
    /// it; beyond the origin's limit a request is queued.
    pub(crate) fn send_to_origin(&mut self, id: RequestId) {
        let Some(origin) = self.origin.filter(|&node| self.may_send(&self.requests[&id], node)) else {
            return self.give_up(id, GiveUpReason::NoNode);
        };
        let request = &self.requests[&id];
        let (key, payoff_milli) = (request.params.key, request.payoff_milli);
        if request.may_lead_fetch() && self.fetches.get(key).is_some() {
            return self.wait_for_fetch(id);
        }
        self.start_fetch(id);
        if self.origin_has_capacity(id) {
            return self.send(id, origin);
        }
        self.fetches.enqueue(key, id, payoff_milli);
        let max_wait = self.hold_request(id, ORIGIN_WAIT_DIVISOR);
        self.trim_fetch_queue(origin, max_wait);
    }

    /// Registers the request as the one that fetches its key for others too, if a cache lacked the key.
    pub(crate) fn start_fetch(&mut self, id: RequestId) {
        let request = self.requests.get_mut(&id).expect("a request being placed is open");
        let payoff_milli = request.payoff_milli;
        if request.may_lead_fetch()
            && let (Some(key), Some(target_node)) = (request.params.key, request.first_missed_node())
        {
            request.leads_fetch = true;
            self.fetches.start(key, Fetch { leader: id, target_node, payoff_milli, waiters: Vec::new() });
        }
    }

    /// Keeps the queue no longer than the origin can answer within the waiting time: the request with the
    /// lowest payoff is given up.
    fn trim_fetch_queue(&mut self, origin: Node, max_wait: Nanos) {
        let max_queued =
            self.nodes.states[origin].stats.recent_answers.rate(self.now) * max_wait as f64 / SECOND as f64;
        if self.fetches.queued() as f64 > max_queued.max(2.0)
            && let Some(id) = self.fetches.lowest_payoff()
        {
            self.give_up(id, GiveUpReason::FetchQueueFull);
        }
    }

    /// Sends queued requests to the origin while it has capacity.
    pub(crate) fn drain_fetch_queue(&mut self) {
        while let Some(id) = self.fetches.highest_payoff().filter(|&id| self.origin_has_capacity(id)) {
            self.fetches.pop_highest_payoff();
            self.send_to_origin(id);
        }
    }

    /// Whether the origin's concurrency limit allows this request. A limit below one allows a fetch each time
    /// that enough credit has been earned. Tenants over their quota leave some credit to others.
    pub(crate) fn origin_has_capacity(&self, id: RequestId) -> bool {
        let Some(NodeState { stats, .. }) = self.origin.map(|n| &self.nodes.states[n]) else { return false };
        let reserve =
            if self.over_quota(self.requests[&id].params.tenant) { MAX_BURST_CREDIT - 1.0 } else { 0.0 };
        stats.in_flight as f64 + 1.0 <= stats.limit.ceil().min(stats.limit + stats.burst_credit - reserve)
    }

    /// The minimum limit for fetches. It protects an origin that stops when overloaded: a proxy gets more
    /// than its share only while answers are quick, and never more than follows from what the origin has
    /// answered or, where that is too little, from the rate of requests. The share alone is not safe, since
    /// it grows with the number of caches: thousands may share an origin that has only handled a few fetches.
    pub(crate) fn origin_min_limit(&self, node: Node) -> f64 {
        let stats = &self.nodes.states[node].stats;
        let measured = stats.minute_answers.min_bucket_mean(self.now, MIN_SAMPLES).is_some();
        let quick_divisor =
            if self.settings.origin_may_collapse { QUICK_DIVISOR } else { ORIGIN_QUICK_DIVISOR };
        let latency = stats.recent_answers.mean(self.now).unwrap_or(0.0);
        let scale = self.minimum_scale(latency, quick_divisor);
        let share = ORIGIN_FETCHES_PER_CACHE[usize::from(measured)]
            * scale
            * (self.serving_count() / self.proxy_count);
        if !self.settings.origin_may_collapse {
            return share;
        }
        let proven = if measured { scale * stats.best_in_flight(self.now) } else { 0.0 };
        share.min(proven.max(self.expected_origin_fetches(latency)).max(INITIAL_REQUESTS / self.proxy_count))
    }

    /// Sets the initial credit for fetches where a proxy's share is less than one: with a random part of a
    /// fetch each, only some proxies begin with one. Otherwise the origin would get a fetch from each proxy
    /// at once.
    pub(crate) fn init_origin_credit(&mut self, node: Node) {
        if self.settings.origin_may_collapse && INITIAL_REQUESTS < self.proxy_count {
            self.nodes.states[node].stats.burst_credit = self.first_fetch_credit;
        }
    }

    /// Requests that arrive while a quick fetch takes place, each of which may miss; fewer as fetches take
    /// longer.
    fn expected_origin_fetches(&self, latency: f64) -> f64 {
        let quick_latency = self.settings.shortest_objective as f64 / SECOND as f64 / QUICK_DIVISOR;
        self.demand.requests.peak_rate(self.now) * quick_latency * (quick_latency / latency).min(1.0)
    }
}
