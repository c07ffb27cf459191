//! Which nodes there are and which of them may be sent anything: the list, drains, maintenance, and the
//! routes as settings change. It must never send new work to a node that is not ready.

use crate::balance::Balance;
use crate::fleet::Finder;
use crate::host::{Host, Listed, Nanos, Node, RequestId};
use crate::policy::{SECOND, TICK};
use crate::settings::Settings;
use crate::state::{Attempt, Route, Rules};
use std::collections::BTreeSet;

/// The longest wait before discovery is asked again.
const FOLLOW_WAIT: Nanos = 4 * SECOND;
/// How long after new settings clients may still mean the old ones.
const CHANGING: Nanos = 2 * SECOND;

impl<H: Host, F: Finder> Balance<H, F> {
    pub fn listed(&mut self, now: Nanos, node: Node, listed: Listed) {
        self.at(now);
        self.follow_wait = TICK;
        let before = self.nodes.caches.get(node).map_or(0, |cache| cache.listed.started);
        let started = listed.started.max(before);
        self.nodes.list(node, Listed { started, ..listed });
        if listed.origin && self.origin != Some(node) {
            self.origin = Some(node);
            self.begin_fetches(node);
        }
        (started > before && !self.warm(node)).then(|| self.cool(node));
        (self.nodes.caches[node].flow.room == 0.0).then(|| self.measure_node(node));
        (!self.nodes.caches[node].ready()).then(|| self.recall());
    }

    pub fn listed_all(&mut self, named: &[Node]) {
        self.nodes.list_only(named);
        self.measure_all();
        self.recall();
    }

    /// Takes back what is not yet on its way to nodes that get nothing new: guards rule 3 from sends that
    /// wait.
    fn recall(&mut self) {
        let unready = |t: &Attempt| t.out && !self.nodes.caches[t.node].ready();
        let back = self
            .requests
            .iter()
            .filter(|(_, request)| request.attempts.iter().any(unready))
            .map(|(&id, _)| id);
        back.collect::<BTreeSet<RequestId>>().into_iter().for_each(|id| self.host.recall(id));
    }

    /// Operators take a node out of service or put it back, as one that started now, whatever the list tells:
    /// guards a restarted process from all its old work, and from what was held against the last one.
    pub fn maintained(&mut self, now: Nanos, identity: u64, out: bool) {
        self.at(now);
        let (true, Some(node)) = self.nodes.ban(identity, out) else { return };
        if out {
            self.recall();
            return self.host.log(&format!("node {node} out of service"));
        }
        self.nodes.renew(node);
        self.cool(node);
    }

    /// Other routes from now on, under the numbers they had; open requests keep theirs. For a while clients
    /// mean either, and the stricter binds: guards from an effect that may no longer come twice.
    pub fn retuned(&mut self, now: Nanos, settings: &Settings) {
        self.at(now);
        let routes = Route::all(settings);
        self.rules = Rules::new(settings, &routes);
        self.before = (now + CHANGING, std::mem::replace(&mut self.routes, routes));
    }

    pub(crate) fn route(&self, at: usize) -> Route {
        let (until, before) = &self.before;
        let mut route = self.routes[at];
        if let Some(before) = before.get(at).filter(|_| self.now < *until) {
            route.repeat = route.repeat.max(before.repeat);
            route.window = route.window.min(before.window);
            route.most_attempts = route.most_attempts.min(before.most_attempts);
            route.ordered |= before.ordered;
        }
        route
    }

    /// Guards the list service, which many proxies that ask again at once would drown.
    pub fn list_failed(&mut self, now: Nanos) {
        self.follow_at = now + (self.follow_wait as f64 * (0.5 + f64::from(self.rng.rand_float()))) as Nanos;
        self.follow_wait = (2 * self.follow_wait).min(FOLLOW_WAIT);
    }
}
