//! Who waits, for what and how long, and who is shed: turns on a key, room at nodes, quotas of tenants.

use crate::balance::Balance;
use crate::fleet::Finder;
use crate::host::{Ask, GiveUp, Host, Nanos, Node, RequestId};
use crate::policy::{ORIGIN_PATIENCE, PATIENCE, SAVED, SECOND};
use crate::state::{RequestState, Route, Tenant};

/// How much more than its part of the traffic a proxy may see.
const UNEVEN: f64 = 1.5;

impl<H: Host, F: Finder> Balance<H, F> {
    /// Whether those of its key that came first, or the key's rest, keep the request from going: guards the
    /// order of effects on a key. What can't be first as soon as a fetch would begin is given up at once.
    pub(crate) fn waits_for_turn(&mut self, id: RequestId) -> bool {
        let request = &self.requests[&id];
        let Some(key) = request.ordered().filter(|_| request.attempts.is_empty()) else { return false };
        let (before, rests) = (self.turns.before(key, id), self.turns.rests_until(key));
        let waits = before > 0 || self.now < rests;
        let last = request.arrived + request.route.objective / ORIGIN_PATIENCE;
        // Writes go to the origin.
        let took = self.origin.and_then(|node| self.nodes.caches[node].flow.answers.mean(self.now));
        let turns = (before as f64 * took.unwrap_or(self.kinds.usual) * SECOND as f64) as Nanos;
        self.requests.get_mut(&id).expect("placed requests are known").waits = waits;
        if waits && self.now.max(rests) + turns > last {
            self.give_up(id, GiveUp::KeyBusy);
        } else if waits {
            self.hold(id, ORIGIN_PATIENCE);
            // Behind others it is placed again when those are over.
            (before == 0).then(|| self.host.wake(rests, id));
        }
        waits
    }

    /// Holds a request with nothing out, for this part of its objective since it arrived; then it is shed.
    pub(crate) fn hold(&mut self, id: RequestId, part: u64) -> Nanos {
        let request = self.requests.get_mut(&id).expect("waiting requests are known");
        let patience = request.route.objective / part;
        request.until = (request.arrived + patience.min(request.ask.grace)).max(self.now);
        self.host.wake(request.until, id);
        patience
    }

    /// No cache has room: surplus is shed. Within quota the origin serves if it has room; else the
    /// request waits, in a queue so short (rate times time) that waits mostly end in an answer.
    pub(crate) fn wait_for_room(&mut self, id: RequestId) {
        let RequestState { arrived, ask, route, .. } = &self.requests[&id];
        let patience = route.objective / PATIENCE;
        let rate = self.all.answers.rate(self.now);
        if self.surplus(ask.tenant) {
            self.give_up(id, GiveUp::OverQuota);
        } else if self.now - arrived >= patience {
            self.give_up(id, GiveUp::WaitedTooLong);
        } else if self.origin_fits(id) {
            self.ask_origin(id);
        } else if self.queue.len() as f64 >= (rate * patience as f64 / SECOND as f64).max(1.0) {
            self.give_up(id, GiveUp::QueueFull);
        } else {
            self.hold(id, PATIENCE);
            self.queue.push(id);
        }
    }

    pub(crate) fn place_all(&mut self, requests: Vec<RequestId>) {
        for id in requests {
            if self.requests.get(&id).is_some_and(RequestState::held) {
                self.place(id);
            }
        }
    }

    /// What an answer is worth, in thousandths: a fetch costs the origin about the same for each.
    pub(crate) fn worth(&self, ask: &Ask, route: &Route) -> u64 {
        let part = if self.surplus(ask.tenant) { self.rules.surplus_payoff } else { 1.0 };
        (1000.0 * route.payoff * part) as u64
    }

    /// Guards nodes that lose capacity when crowded; little or shrunk room is rounded down, since the odd one
    /// more from each proxy is many. Guards large fleets, with one from each at every node: all caches are
    /// bounded together, and what room was saved goes first to tenants that had little of their part.
    pub(crate) fn fits(&self, id: RequestId, node: Node) -> bool {
        let (here, all) = (&self.nodes.caches[node].flow, &self.all);
        let little = here.room < 2.0 || here.squeeze < 1.0;
        let room = if little { here.room.floor().max(1.0) } else { here.room };
        let had = (self.part_had(self.requests[&id].ask.tenant) / UNEVEN).min(1.0);
        let in_all = (all.room + all.saved - SAVED * had).max(1.0);
        (here.in_flight as f64) < room && all.in_flight as f64 + 1.0 <= in_all
    }

    /// What the tenant had lately of this proxy's part of its quota. Guards proxies that see far more than an
    /// equal part of all tenants' traffic: their part of each quota is as much larger.
    fn part_had(&self, tenant: Option<usize>) -> f64 {
        let part = (1.0 / self.fleet).max(self.tenants.all_had(self.now));
        let served = |tenant: &Tenant| tenant.served.rate(self.now) / tenant.quota / part;
        self.tenants.get(tenant).map_or(0.0, served)
    }

    pub(crate) fn surplus(&self, tenant: Option<usize>) -> bool {
        self.part_had(tenant) > UNEVEN
    }
}
