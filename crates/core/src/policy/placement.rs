//! Which cache node serves a key (PRESS): the least loaded of the key's replicas and, if that is past the
//! load threshold T, the least loaded cache of all, which becomes a replica. A request is never placed where
//! an attempt is not allowed.

use crate::balancer::Balancer;
use crate::groups::two_highest;
use crate::host::{GiveUpReason, Host, ListedNode, Node, RequestId, RequestParams};
use crate::nodes::NodeIndex;
use crate::policy::INITIAL_REQUESTS;

/// The threshold T is this multiple of the mean load of the serving caches, and at least this proxy's share
/// of `INITIAL_REQUESTS`.
const OVERLOAD_FACTOR: f64 = 1.5;
/// Random draws among the least loaded nodes that may turn out unsuitable before every node is checked.
const MAX_DRAWS: usize = 8;

impl<H: Host, F: NodeIndex> Balancer<H, F> {
    /// Decides what happens to a request without attempts in flight: it is sent, waits or is given up.
    pub(crate) fn place_request(&mut self, id: RequestId) {
        if self.stopping {
            return self.give_up(id, GiveUpReason::Stopping);
        }
        if self.waits_for_key_order(id) {
            return;
        }
        let params = self.requests[&id].params;
        match self.choose_node(id, params.key) {
            _ if params.write && self.origin.is_some() => self.send_to_origin(id),
            node if node.is_some() && node == self.fetches.target_node(params.key) => self.wait_for_fetch(id),
            Some(node) if self.has_capacity(id, node) => self.serve(id, node),
            Some(_) => self.wait_for_capacity(id),
            None if self.origin.is_some() => self.send_to_origin(id),
            None => self.give_up(id, GiveUpReason::NoNode),
        }
    }

    /// The least loaded replica of the key or, past T, the least loaded cache of all. None where no cache may
    /// be sent the request.
    pub(crate) fn choose_node(&mut self, id: RequestId, key: Option<u64>) -> Option<Node> {
        let (request, mean) = (&self.requests[&id], self.nodes.mean_load());
        if !request.attempts.is_empty() && !self.may_retry(request) {
            return None;
        }
        let Some(key) = key else { return self.least_loaded_overall(id, mean) };
        let (mut candidates, states) = (std::mem::take(&mut self.scratch.replicas), &self.nodes.states);
        candidates.clear();
        self.replicas.replicas(self.now, key, |node| states[node].is_serving(), &mut candidates);
        candidates.retain(|&node| self.may_send(&self.requests[&id], node));
        let replica = self.least_loaded(&candidates, mean);
        self.scratch.replicas = candidates;
        let chosen =
            if let Some(replica) = replica { replica } else { self.choose_first_replica(id, key, mean)? };
        let added = if self.is_overloaded(chosen, mean) { self.least_loaded_overall(id, mean) } else { None };
        added.filter(|&node| !self.is_overloaded(node, mean)).or(Some(chosen))
    }

    /// Whether a node's load is past T, now or on average. The average matters because one of many proxies
    /// rarely has two requests at a node and would not notice a hot key. It must amount to a few requests:
    /// proxies with little traffic would otherwise copy keys by chance.
    fn is_overloaded(&self, node: Node, mean: f64) -> bool {
        let mean_in_flight = self.all_caches.average_in_flight(self.now) / self.serving_count();
        let minimum = (2.0 * INITIAL_REQUESTS / self.proxy_count)
            .max(INITIAL_REQUESTS * self.machine_types.mean_latency / 2.0);
        self.effective_load(node, mean)
            > (OVERLOAD_FACTOR * mean).max(INITIAL_REQUESTS / self.proxy_count).max(1.0)
            || self.nodes.states[node].stats.average_in_flight(self.now)
                > (OVERLOAD_FACTOR * mean_in_flight).max(minimum)
    }

    /// Sends the request to a cache, which becomes or stays a replica of the key.
    pub(crate) fn serve(&mut self, id: RequestId, node: Node) {
        let RequestParams { key, tenant, .. } = self.requests[&id].params;
        self.tenants.record_served(self.now, tenant);
        key.into_iter().for_each(|key| self.replicas.mark_picked(self.now, key, node));
        self.send(id, node);
    }

    /// The cache with the highest rendezvous hash for the key; if that is past T, the less loaded of the two
    /// highest. Keeping to one node first avoids two copies of each key in large fleets. If neither can take
    /// the request, the least loaded cache of all.
    fn choose_first_replica(&mut self, id: RequestId, key: u64, mean: f64) -> Option<Node> {
        self.rank_candidates(key);
        let mut ranked = std::mem::take(&mut self.scratch.ranked);
        let request = &self.requests[&id];
        let top_two = two_highest(&mut ranked, |node| self.may_send(request, node));
        self.scratch.ranked = ranked;
        let by_load = |one: &Node, other: &Node| {
            self.effective_load(*one, mean).total_cmp(&self.effective_load(*other, mean))
        };
        let first = top_two.first().copied().filter(|&node| !self.is_overloaded(node, mean));
        first
            .or_else(|| top_two.iter().copied().min_by(by_load))
            .or_else(|| self.least_loaded_overall(id, mean))
    }

    /// The least loaded cache of all that may be sent the request.
    fn least_loaded_overall(&mut self, id: RequestId, mean: f64) -> Option<Node> {
        let request = &self.requests[&id];
        let mut excluded = std::mem::take(&mut self.scratch.excluded);
        request.attempted_nodes(&mut excluded);
        let restricted = request.may_have_run() && !request.route.is_retriable();
        let found = if restricted { None } else { self.draw_least_loaded(id, mean, &mut excluded) };
        let exhausted = self.nodes.least_loaded(mean, &excluded).is_none();
        self.scratch.excluded = excluded;
        if found.is_some() {
            return found;
        }
        // For a retry that only some nodes deduplicate, or work too heavy for cold nodes, each node is
        // checked.
        let (request, nodes) = (&self.requests[&id], 0..if exhausted { 0 } else { self.nodes.states.len() });
        let accepts = |&node: &Node| Some(node) != self.origin && self.may_send(request, node);
        let candidates: Vec<Node> = nodes.filter(accepts).collect();
        self.least_loaded(&candidates, mean)
    }

    /// Of equally loaded nodes the one that ranks highest for the key, otherwise a random one. With many
    /// proxies most loads are equal, and random choice would put a copy of each key on every node.
    fn draw_least_loaded(&mut self, id: RequestId, mean: f64, excluded: &mut Vec<Node>) -> Option<Node> {
        self.scratch.ranked.clear();
        self.requests[&id].params.key.into_iter().for_each(|key| self.rank_candidates(key));
        self.scratch.ranked.sort_unstable_by(|one, other| other.cmp(one));
        for _ in 0..MAX_DRAWS {
            let least = self.nodes.least_loaded(mean, excluded)?;
            let request = &self.requests[&id];
            let is_tied = |node| self.effective_load(node, mean) == least.load && !excluded.contains(&node);
            let is_suitable = |&node: &Node| {
                is_tied(node) && self.may_send(request, node) && !self.is_overloaded(node, mean)
            };
            if let Some(node) = self.scratch.ranked.iter().map(|ranked| ranked.1).find(is_suitable) {
                return Some(node);
            }
            let index = self.random_index(least.ties);
            let node = self.nodes.nth_tie(mean, excluded, index)?;
            if self.may_send(&self.requests[&id], node) {
                return Some(node);
            }
            excluded.push(node);
        }
        None
    }

    /// Ranks the nodes of the key's group by weighted rendezvous hashing: how likely a node is to be first is
    /// proportional to its listed weight divided by the latency of its machine type.
    fn rank_candidates(&mut self, key: u64) {
        let mut ranked = std::mem::take(&mut self.scratch.ranked);
        self.nodes.rank_candidates(key, &mut ranked);
        for (rank, node) in &mut ranked {
            let ListedNode { machine_type, weight, .. } = self.nodes.states[*node].listed;
            let fraction = (*rank as f64 + 1.0) / u64::MAX as f64;
            *rank =
                !(-fraction.ln().min(0.0) / (weight / self.machine_types.latency(machine_type))).to_bits();
        }
        self.scratch.ranked = ranked;
    }

    /// The least loaded of these nodes, ties broken at random.
    fn least_loaded(&mut self, among: &[Node], mean: f64) -> Option<Node> {
        let lowest = among.iter().map(|&node| self.effective_load(node, mean)).fold(f64::INFINITY, f64::min);
        let ties = among.iter().filter(|&&node| self.effective_load(node, mean) == lowest).count();
        let index = self.random_index(ties);
        among.iter().copied().filter(|&node| self.effective_load(node, mean) == lowest).nth(index)
    }

    /// A random index below `ties`.
    fn random_index(&mut self, ties: usize) -> usize {
        if ties < 2 { 0 } else { self.rng.rand_range(0..ties as u32) as usize }
    }

    /// The load to compare nodes by. A node that recently refused counts as overloaded; one not yet heard
    /// from counts as having at least the mean.
    fn effective_load(&self, node: Node, mean: f64) -> f64 {
        let state = &self.nodes.states[node];
        match state.load() {
            _ if self.now < state.refusing_until => f64::MAX,
            load if state.observed => load,
            load => load.max(mean),
        }
    }

    /// The number of serving caches, at least one.
    pub(crate) fn serving_count(&self) -> f64 {
        self.nodes.serving().max(1) as f64
    }
}
