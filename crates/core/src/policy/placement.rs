//! Which cache node serves a key (PRESS): the least loaded member of its set, and past the threshold T the
//! least loaded cache of all, which then joins. It never places a request where the rules forbid an attempt.

use crate::balance::Balance;
use crate::fleet::Finder;
use crate::groups::two_highest;
use crate::host::{Ask, GiveUp, Host, Listed, Node, RequestId};
use crate::policy::FEW;

/// T is this multiple of the mean load over the ready caches, and no less than this proxy's part of FEW.
const T_FACTOR: f64 = 1.5;
/// Draws among the least loaded that may come to nothing, before all are looked at.
const DRAWS: usize = 8;

impl<H: Host, F: Finder> Balance<H, F> {
    pub(crate) fn place(&mut self, id: RequestId) {
        if self.waits_for_turn(id) {
            return;
        }
        let ask = self.requests[&id].ask;
        match self.pick(id, ask.key) {
            _ if ask.write && self.origin.is_some() => self.ask_origin(id),
            node if node.is_some() && node == self.fetches.fills(ask.key) => self.wait_for_fetch(id),
            Some(node) if self.fits(id, node) => self.serve(id, node),
            Some(_) => self.wait_for_room(id),
            None if self.origin.is_some() => self.ask_origin(id),
            None => self.give_up(id, GiveUp::NoNode),
        }
    }

    /// The set's least loaded member; past T, the least loaded cache overall joins it.
    fn pick(&mut self, id: RequestId, key: Option<u64>) -> Option<Node> {
        let (request, mean) = (&self.requests[&id], self.nodes.mean_load());
        if !request.attempts.is_empty() && !self.may_attempt_again(request) {
            return None;
        }
        let Some(key) = key else { return self.least_of_all(id, mean) };
        let (mut set, caches) = (std::mem::take(&mut self.scratch.set), &self.nodes.caches);
        set.clear();
        self.table.set(self.now, key, |node| caches[node].serves(), &mut set);
        set.retain(|&node| self.may_take(&self.requests[&id], node));
        let member = self.least(&set, mean);
        self.scratch.set = set;
        let chosen = if let Some(member) = member { member } else { self.seed(id, key, mean)? };
        let joins = if self.past_t(chosen, mean) { self.least_of_all(id, mean) } else { None };
        joins.filter(|&node| !self.past_t(node, mean)).or(Some(chosen))
    }

    /// Past T now, or on average: one of many proxies seldom has two at a node, and would see no hot key. Of
    /// that a few requests' worth: guards proxies with little traffic from copies by chance.
    fn past_t(&self, node: Node, mean: f64) -> bool {
        let lately = self.all.average(self.now) / self.serving();
        let some = (2.0 * FEW / self.fleet).max(FEW * self.kinds.usual / 2.0);
        self.load(node, mean) > (T_FACTOR * mean).max(FEW / self.fleet).max(1.0)
            || self.nodes.caches[node].flow.average(self.now) > (T_FACTOR * lately).max(some)
    }

    fn serve(&mut self, id: RequestId, node: Node) {
        let Ask { key, tenant, .. } = self.requests[&id].ask;
        self.tenants.serve(self.now, tenant);
        key.into_iter().for_each(|key| self.table.pick(self.now, key, node));
        self.send(id, node);
    }

    /// The first of the key's two highest rendezvous-hash caches; if it is past T the less busy of them.
    /// Guards large fleets from two copies of each key. Where neither takes it, the least of all.
    fn seed(&mut self, id: RequestId, key: u64, mean: f64) -> Option<Node> {
        self.rank(key);
        let mut ranked = std::mem::take(&mut self.scratch.ranked);
        let request = &self.requests[&id];
        let two = two_highest(&mut ranked, |node| self.may_take(request, node));
        self.scratch.ranked = ranked;
        let lighter = |one: &Node, other: &Node| self.load(*one, mean).total_cmp(&self.load(*other, mean));
        let first = two.first().copied().filter(|&node| !self.past_t(node, mean));
        first.or_else(|| two.iter().copied().min_by(lighter)).or_else(|| self.least_of_all(id, mean))
    }

    /// The least loaded cache overall that may take the request.
    fn least_of_all(&mut self, id: RequestId, mean: f64) -> Option<Node> {
        let request = &self.requests[&id];
        let mut not = std::mem::take(&mut self.scratch.not);
        request.nodes(&mut not);
        let few = request.may_have_run() && !request.route.free();
        let found = if few { None } else { self.draw_least(id, mean, &mut not) };
        let all = self.nodes.least(mean, &not).is_none();
        self.scratch.not = not;
        if found.is_some() {
            return found;
        }
        // A repeat that only some nodes discard, or work too heavy for cold ones: looked for one by one.
        let (request, caches) = (&self.requests[&id], 0..if all { 0 } else { self.nodes.caches.len() });
        let takes = |&node: &Node| Some(node) != self.origin && self.may_take(request, node);
        let takers: Vec<Node> = caches.filter(takes).collect();
        self.least(&takers, mean)
    }

    /// Of equals the one that ranks highest for the key, else one by chance. Guards fleets of many proxies,
    /// where most loads are equal, from a copy of each key at every node.
    fn draw_least(&mut self, id: RequestId, mean: f64, not: &mut Vec<Node>) -> Option<Node> {
        self.scratch.ranked.clear();
        self.requests[&id].ask.key.into_iter().for_each(|key| self.rank(key));
        self.scratch.ranked.sort_unstable_by(|one, other| other.cmp(one));
        for _ in 0..DRAWS {
            let least = self.nodes.least(mean, not)?;
            let request = &self.requests[&id];
            let equal = |node| self.load(node, mean) == least.load && !not.contains(&node);
            let free = |&node: &Node| equal(node) && self.may_take(request, node) && !self.past_t(node, mean);
            if let Some(node) = self.scratch.ranked.iter().map(|ranked| ranked.1).find(free) {
                return Some(node);
            }
            let place = self.draw(least.ties);
            let node = self.nodes.tie(mean, not, place)?;
            if self.may_take(&self.requests[&id], node) {
                return Some(node);
            }
            not.push(node);
        }
        None
    }

    /// The nodes of a key's group by rendezvous hash, each as likely to be first as it has capacity: what the
    /// list says of its size, over what its kind of machine takes for an answer.
    fn rank(&mut self, key: u64) {
        let mut ranked = std::mem::take(&mut self.scratch.ranked);
        self.nodes.ranked(key, &mut ranked);
        for (rank, node) in &mut ranked {
            let Listed { kind, rating, .. } = self.nodes.caches[*node].listed;
            let part = (*rank as f64 + 1.0) / u64::MAX as f64;
            *rank = !(-part.ln().min(0.0) / (rating / self.kinds.took(kind))).to_bits();
        }
        self.scratch.ranked = ranked;
    }

    /// The least loaded of these, ties broken at random.
    fn least(&mut self, among: &[Node], mean: f64) -> Option<Node> {
        let lowest = among.iter().map(|&node| self.load(node, mean)).fold(f64::INFINITY, f64::min);
        let ties = among.iter().filter(|&&node| self.load(node, mean) == lowest).count();
        let place = self.draw(ties);
        among.iter().copied().filter(|&node| self.load(node, mean) == lowest).nth(place)
    }

    fn draw(&mut self, ties: usize) -> usize {
        if ties < 2 { 0 } else { self.rng.rand_range(0..ties as u32) as usize }
    }

    /// A refusal counts as over T, a cache not yet heard from as carrying the mean.
    fn load(&self, node: Node, mean: f64) -> f64 {
        let cache = &self.nodes.caches[node];
        match cache.load() {
            _ if self.now < cache.refuses_until => f64::MAX,
            load if cache.heard => load,
            load => load.max(mean),
        }
    }

    pub(crate) fn serving(&self) -> f64 {
        self.nodes.serving().max(1) as f64
    }
}
