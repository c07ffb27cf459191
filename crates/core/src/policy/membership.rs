//! Which nodes exist and which of them may be sent requests: the node list, draining, maintenance, and the
//! routes when settings change. A node that is not ready must never be sent new requests.

use crate::balancer::Balancer;
use crate::host::{Host, ListedNode, Nanos, Node, RequestId};
use crate::nodes::NodeIndex;
use crate::policy::{SECOND, TICK};
use crate::settings::Settings;
use crate::state::{Attempt, PolicySettings, Route};
use crate::superseded::Superseded;
use std::collections::BTreeSet;

/// The longest wait before discovery is asked again.
const MAX_WATCH_BACKOFF: Nanos = 4 * SECOND;
/// How long after a change of settings clients may still refer to the old ones.
pub const SETTINGS_OVERLAP: Nanos = 2 * SECOND;

impl<H: Host, F: NodeIndex> Balancer<H, F> {
    /// Discovery has listed a node, or changed its entry.
    pub fn node_listed(&mut self, now: Nanos, node: Node, listed: ListedNode) {
        self.advance_to(now);
        self.watch_backoff = TICK;
        let previous_start = self.nodes.states.get(node).map_or(0, |state| state.listed.started);
        let started = listed.started.max(previous_start);
        self.nodes.update_listing(node, ListedNode { started, ..listed });
        if listed.origin && self.origin != Some(node) {
            self.origin = Some(node);
            self.init_origin_credit(node);
        }
        (started > previous_start && !self.is_warm(node)).then(|| self.start_pacing(node));
        (self.nodes.states[node].stats.limit == 0.0).then(|| self.update_node_limit(node));
        (!self.nodes.states[node].is_ready()).then(|| self.cancel_unsent_to_unready());
    }

    /// Discovery has listed all nodes; those that are not named are gone.
    pub fn list_completed(&mut self, listed_nodes: &[Node]) {
        self.nodes.retain_listed(listed_nodes);
        self.update_limits();
        self.cancel_unsent_to_unready();
    }

    /// Cancels attempts that are not yet sent to nodes that may get no new requests. A send that waits could
    /// otherwise reach a draining node after its drain grace.
    fn cancel_unsent_to_unready(&mut self) {
        let to_unready = |attempt: &Attempt| attempt.in_flight && !self.nodes.states[attempt.node].is_ready();
        let affected = self
            .requests
            .iter()
            .filter(|(_, request)| request.attempts.iter().any(to_unready))
            .map(|(&id, _)| id);
        affected.collect::<BTreeSet<RequestId>>().into_iter().for_each(|id| self.host.cancel_unsent(id));
    }

    /// Operators have taken a node out of service or put it back, whatever discovery lists. A node that is
    /// put back counts as one whose process started now: it would otherwise get its full load at once, and
    /// keep the penalties of the process previous.
    pub fn maintenance_changed(&mut self, now: Nanos, identity: u64, out_of_service: bool) {
        self.advance_to(now);
        let (true, Some(node)) = self.nodes.set_maintenance(identity, out_of_service) else { return };
        if out_of_service {
            self.cancel_unsent_to_unready();
            return self.host.log(&format!("node {node} taken out of service by an operator"));
        }
        self.nodes.restart(node);
        self.start_pacing(node);
    }

    /// Applies new settings. Routes keep their index, and open requests keep their route. For a while clients
    /// may mean the routes of any configuration that was replaced lately, and the strictest rule applies: an
    /// effect that may not happen twice under one of them must not be repeated.
    pub fn settings_changed(&mut self, now: Nanos, settings: &Settings) {
        self.advance_to(now);
        let routes = Route::all_from(settings);
        self.settings = PolicySettings::new(settings, &routes);
        self.routes.truncate(routes.len());
        let added = routes.iter().skip(self.routes.len()).copied().map(Superseded::new).collect::<Vec<_>>();
        for (known, route) in self.routes.iter_mut().zip(routes) {
            known.replace(now, now + SETTINGS_OVERLAP, route);
        }
        self.routes.extend(added);
    }

    /// The settings of a route for a request arriving now: the strictest of those in force and those that
    /// still bind.
    pub(crate) fn route(&self, index: usize) -> Route {
        self.routes[index].strictest(self.now)
    }

    /// A request for the node list has failed. It is repeated after a growing, randomized delay: many proxies
    /// that asked again at once would overload discovery.
    pub fn list_request_failed(&mut self, now: Nanos) {
        self.watch_at = now + (self.watch_backoff as f64 * (0.5 + f64::from(self.rng.rand_float()))) as Nanos;
        self.watch_backoff = (2 * self.watch_backoff).min(MAX_WATCH_BACKOFF);
    }
}
