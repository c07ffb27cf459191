//! Sending, trying again and giving up. It must never cause an effect twice, nor leave a request without its
//! one answer.

use crate::balance::Balance;
use crate::fleet::Finder;
use crate::host::{GiveUp, Host, Nanos, Node, Outcome, Repeat, RequestId};
use crate::policy::{PATIENCE, QUICK};
use crate::state::{Attempt, RequestState};

/// Nodes at which a request ends in errors before it is given up: it would fail at any.
const MOST_ERRORS: usize = 2;

impl<H: Host, F: Finder> Balance<H, F> {
    pub(crate) fn send(&mut self, id: RequestId, node: Node) {
        let request = self.requests.get_mut(&id).expect("placed requests are known");
        request.start(self.now, node);
        request.until = request.ends();
        let (work, ends) = (request.ask.work(), request.until);
        let until = self.attempt_ends(id, node);
        let rests = (!self.warm(node)).then(|| {
            let (fall, pause) = (self.rules.fall, self.pause(node, work));
            // Guards rule 4 from proxies that make up for what they left unused: chance allows for a root of
            // it.
            let saved = (fall / 2).min((fall as f64 * pause).sqrt() as Nanos);
            self.nodes.caches[node].rests_until.max(self.now.saturating_sub(saved)) + pause as Nanos
        });
        self.nodes.send(node, rests);
        (Some(node) != self.origin).then(|| self.all.start(self.now));
        (until > ends).then(|| self.host.wake(ends, id));
        self.host.send(id, node, until.saturating_sub(self.now));
    }

    /// When an attempt ends: a first one at a cache halfway to the objective, to leave time for another.
    /// Guards from nodes far slower than the rest, while these are quick and the origin has room for what
    /// follows. A fetch outlives its client, who is answered in time: guards from fetches that hasty clients
    /// make in vain.
    fn attempt_ends(&self, id: RequestId, node: Node) -> Nanos {
        let request = &self.requests[&id];
        let first = request.attempts.len() == 1 && request.route.most_attempts > 2 && request.route.free();
        let rest = Some(node) != self.origin && self.kinds.hits * QUICK * 1e9 < self.rules.objective as f64;
        let half = (request.arrived + request.route.objective / 2)
            .max(self.now + request.route.objective / PATIENCE);
        let outlives = request.fetching && request.route.free() && !request.route.ordered;
        match () {
            () if outlives => request.ends().max(self.now + request.route.objective),
            () if first && rest && self.origin_fits(id) => half.min(request.ends()),
            () => request.ends().min(request.discarded_until()),
        }
    }

    pub(crate) fn again(&mut self, id: RequestId, node: Node, outcome: Outcome) {
        let (request, at_origin) = (&self.requests[&id], Some(node) == self.origin);
        let unsent = outcome == Outcome::Unsent && self.nodes.caches[node].ready();
        let given_up = match () {
            () if unsent => Some(GiveUp::NotSent),
            () if at_origin && outcome == Outcome::Saturated => Some(GiveUp::OriginBusy),
            () if request.under_way => Some(GiveUp::BrokeOff),
            () if self.now >= request.ends() => Some(GiveUp::OutOfTime),
            () => None,
        };
        if let Some(reason) = given_up {
            self.give_up(id, reason);
        } else if at_origin || outcome == Outcome::Missed {
            self.ask_origin(id);
        } else {
            self.place(id);
        }
    }

    /// Whether the rules let this request go to this node now, and the node may be sent it.
    pub(crate) fn may_take(&self, request: &RequestState, node: Node) -> bool {
        let cache = &self.nodes.caches[node];
        let here = |t: &Attempt| t.node == node && (t.out || !t.missed);
        let origin = cache.listed.origin && cache.ready();
        let takes = origin || cache.serves() && self.within_budget(node, request.ask.work());
        let again = || self.may_attempt_again(request) && self.may_repeat(request, node);
        takes && (request.attempts.is_empty() || again() && (origin || !request.attempts.iter().any(here)))
    }

    pub(crate) fn may_attempt_again(&self, request: &RequestState) -> bool {
        let never = request.route.repeat == Repeat::NonRetriable && request.may_have_run();
        request.attempts.len() < request.route.most_attempts && !never && request.errors() < MOST_ERRORS
    }

    /// Rule 2: no effect twice.
    fn may_repeat(&self, request: &RequestState, node: Node) -> bool {
        let Some(first) = request.attempts.iter().find(|t| t.may_have_run) else { return true };
        let (here, there) = (&self.nodes.caches[node].listed, &self.nodes.caches[first.node].listed);
        match request.route.repeat {
            Repeat::Retriable => true,
            Repeat::NonRetriable => false,
            Repeat::Deduped(scope) => {
                self.now < first.sent + request.route.window && here.shares(scope, there)
            }
        }
    }

    /// The final answer, at once: shed where that is true, an error else. Guards from storms of retries.
    pub(crate) fn give_up(&mut self, id: RequestId, reason: GiveUp) {
        let request = &self.requests[&id];
        let attempts = request.attempts.len();
        let pause = if self.rules.pauses { request.route.objective / PATIENCE } else { 0 };
        match request.route.repeat.harmless(request.may_have_run()) && !request.under_way {
            true => self.host.shed(id, pause),
            false => self.host.error(id),
        }
        self.host.given_up(id, reason, attempts);
        self.finish(id);
    }

    pub(crate) fn finish(&mut self, id: RequestId) {
        let request = self.requests.get_mut(&id).expect("finished requests are known");
        request.over = true;
        self.fetches.leave_line(request.ask.key, id, request.worth);
        if request.out() > 0 {
            // Guards nodes and rule 1 from attempts that are written when nobody waits for them any more.
            return self.host.recall(id);
        }
        let (ordered, key) = (request.ordered(), request.ask.key.filter(|_| request.fetching));
        self.requests.remove(&id);
        self.host.forget(id);
        let next = ordered.and_then(|key| self.turns.leave(self.now, key, id));
        self.place_all(next.into_iter().collect());
        let fetch = key.and_then(|key| self.fetches.end(key));
        fetch.into_iter().for_each(|fetch| self.place_all(fetch.waiting));
    }
}
