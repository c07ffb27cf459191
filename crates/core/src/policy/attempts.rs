//! Sending, trying again and giving up. It must never cause an effect twice, nor leave a request without its
//! one answer.

use crate::balance::Balance;
use crate::fleet::Finder;
use crate::host::{Host, Nanos, Node, Outcome, Repeat, Xchg};
use crate::policy::{PATIENCE, QUICK};
use crate::state::{Cx, Try};

/// Nodes at which an exchange ends in errors before it is given up: it would fail at any.
const MOST_ERRORS: usize = 2;

impl<H: Host, F: Finder> Balance<H, F> {
    pub(crate) fn send(&mut self, xchg: Xchg, node: Node) {
        let cx = self.xchgs.get_mut(&xchg).expect("placed exchanges are known");
        cx.start(self.now, node);
        cx.until = cx.ends();
        let (work, ends) = (cx.ask.work(), cx.until);
        let until = self.try_ends(xchg, node);
        let rests = (!self.warm(node)).then(|| {
            let (fall, pause) = (self.rules.fall, self.pause(node, work));
            // Guards rule 4 from proxies that make up for what they left unused: chance allows for a root of
            // it.
            let saved = (fall / 2).min((fall as f64 * pause).sqrt() as Nanos);
            self.nodes.caches[node].rests_until.max(self.now.saturating_sub(saved)) + pause as Nanos
        });
        self.nodes.send(node, rests);
        (Some(node) != self.origin).then(|| self.all.start(self.now));
        (until > ends).then(|| self.host.wake(ends, xchg));
        self.host.send(xchg, node, until.saturating_sub(self.now));
    }

    /// When a try ends: a first one at a cache halfway to the objective, to leave time for another. Guards
    /// from nodes far slower than the rest, while these are quick and the origin has room for what follows. A
    /// fetch outlives its client, who is answered in time: guards from fetches that hasty clients make in
    /// vain.
    fn try_ends(&self, xchg: Xchg, node: Node) -> Nanos {
        let cx = &self.xchgs[&xchg];
        let first = cx.tries.len() == 1 && cx.route.most_tries > 2 && cx.route.free();
        let rest = Some(node) != self.origin && self.kinds.hits * QUICK * 1e9 < self.rules.objective as f64;
        let half = (cx.arrived + cx.route.objective / 2).max(self.now + cx.route.objective / PATIENCE);
        let outlives = cx.fetching && cx.route.free() && !cx.route.ordered;
        match () {
            () if outlives => cx.ends().max(self.now + cx.route.objective),
            () if first && rest && self.origin_fits(xchg) => half.min(cx.ends()),
            () => cx.ends().min(cx.discarded_until()),
        }
    }

    pub(crate) fn again(&mut self, xchg: Xchg, node: Node, outcome: Outcome) {
        let (cx, at_origin) = (&self.xchgs[&xchg], Some(node) == self.origin);
        let unsent = outcome == Outcome::Unsent && self.nodes.caches[node].ready();
        let lost = unsent || at_origin && outcome == Outcome::Saturated;
        if lost || cx.under_way || self.now >= cx.ends() {
            self.conclude(xchg);
        } else if at_origin || outcome == Outcome::Missed {
            self.ask_origin(xchg);
        } else {
            self.place(xchg);
        }
    }

    /// Whether the rules let this exchange go to this node now, and the node may be sent it.
    pub(crate) fn may_take(&self, cx: &Cx, node: Node) -> bool {
        let cache = &self.nodes.caches[node];
        let here = |t: &Try| t.node == node && (t.out || !t.missed);
        let origin = cache.listed.origin && cache.ready();
        let takes = origin || cache.serves() && self.within_budget(node, cx.ask.work());
        let again = || self.may_try_again(cx) && self.may_repeat(cx, node);
        takes && (cx.tries.is_empty() || again() && (origin || !cx.tries.iter().any(here)))
    }

    pub(crate) fn may_try_again(&self, cx: &Cx) -> bool {
        let never = cx.route.repeat == Repeat::NonRetriable && cx.may_have_run();
        cx.tries.len() < cx.route.most_tries && !never && cx.errors() < MOST_ERRORS
    }

    /// Rule 2: no effect twice.
    fn may_repeat(&self, cx: &Cx, node: Node) -> bool {
        let Some(first) = cx.tries.iter().find(|t| t.may_have_run) else { return true };
        let (here, there) = (&self.nodes.caches[node].listed, &self.nodes.caches[first.node].listed);
        match cx.route.repeat {
            Repeat::Retriable => true,
            Repeat::NonRetriable => false,
            Repeat::Deduped(scope) => self.now < first.sent + cx.route.window && here.shares(scope, there),
        }
    }

    /// The final answer, at once: shed where that is true, an error else. Guards from storms of retries.
    pub(crate) fn conclude(&mut self, xchg: Xchg) {
        let cx = &self.xchgs[&xchg];
        let pause = if self.rules.pauses { cx.route.objective / PATIENCE } else { 0 };
        match cx.route.repeat.harmless(cx.may_have_run()) && !cx.under_way {
            true => self.host.shed(xchg, pause),
            false => self.host.error(xchg),
        }
        self.settle(xchg);
    }

    pub(crate) fn settle(&mut self, xchg: Xchg) {
        let cx = self.xchgs.get_mut(&xchg).expect("settled exchanges are known");
        cx.over = true;
        self.fetches.leave_line(cx.ask.key, xchg, cx.worth);
        if cx.out() > 0 {
            // Guards nodes and rule 1 from tries that are written when nobody waits for them any more.
            return self.host.recall(xchg);
        }
        let (ordered, key) = (cx.ordered(), cx.ask.key.filter(|_| cx.fetching));
        self.xchgs.remove(&xchg);
        self.host.forget(xchg);
        let next = ordered.and_then(|key| self.turns.leave(self.now, key, xchg));
        self.place_all(next.into_iter().collect());
        let fetch = key.and_then(|key| self.fetches.end(key));
        fetch.into_iter().for_each(|fetch| self.place_all(fetch.waiting));
    }
}
