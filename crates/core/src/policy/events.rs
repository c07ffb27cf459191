//! What can happen to a proxy, one method each. Each hands what it means to the module whose matter it is.

use crate::balance::Balance;
use crate::fleet::Finder;
use crate::host::{Ask, Host, Nanos, Outcome, Xchg};
use crate::policy::TICK;
use crate::state::Cx;
use smallvec::SmallVec;

/// Requests count from 1.
const TICK_TOKEN: u64 = 0;

impl<H: Host, F: Finder> Balance<H, F> {
    pub fn arrived(&mut self, now: Nanos, xchg: Xchg, ask: Ask) {
        self.at(now);
        self.pace.asked.add(now, ask.work());
        let route = self.route(ask.route);
        let cx = Cx::new(ask, route, now, self.worth(&ask, &route));
        cx.ordered().into_iter().for_each(|key| self.turns.enter(key, xchg));
        self.xchgs.insert(xchg, cx);
        self.place(xchg);
    }

    /// A try ended; `over` says that its exchange has its final answer.
    pub fn ended(&mut self, now: Nanos, xchg: Xchg, try_no: usize, outcome: Outcome, over: bool) {
        self.at(now);
        let Some(cx) = self.xchgs.get_mut(&xchg) else { return };
        let Some(this) = cx.end(try_no, outcome, over) else { return };
        let (over, held, late) = (cx.over, cx.held(), (now >= cx.ends()).then_some(cx.route.objective));
        let rests = cx.ordered().filter(|_| outcome.may_still_run());
        rests.into_iter().for_each(|key| self.turns.rest(key, now + self.rules.turn_gap));
        // Served here, it was no fault of its own that it failed elsewhere.
        let blamed = if outcome.serves() { cx.blamed() } else { SmallVec::new() };
        self.learn(this.node, this.sent, outcome, late);
        blamed.into_iter().for_each(|node| self.blame(node, Outcome::Errored));
        if over {
            self.settle(xchg);
        } else if held {
            self.again(xchg, this.node, outcome);
        }
        self.serve_line();
        let queue = std::mem::take(&mut self.queue);
        self.place_all(queue);
    }

    pub fn under_way(&mut self, xchg: Xchg) {
        self.xchgs.get_mut(&xchg).into_iter().for_each(|cx| cx.under_way = true);
    }

    pub fn dropped(&mut self, now: Nanos, xchg: Xchg) {
        self.at(now);
        self.xchgs.contains_key(&xchg).then(|| self.settle(xchg));
    }

    pub fn woke(&mut self, now: Nanos, token: u64) {
        self.at(now);
        match self.xchgs.get(&token).filter(|cx| !cx.over).map(|cx| (cx.until, cx.waits)) {
            _ if token == TICK_TOKEN => self.tick(),
            Some((until, _)) if now >= until => self.conclude(token),
            Some((_, true)) => self.place(token),
            _ => {}
        }
    }

    pub(crate) fn tick(&mut self) {
        self.host.wake(self.now + TICK, TICK_TOKEN);
        self.take_turns();
        self.measure_all();
        self.probe_ejected();
        self.serve_line();
        self.turns.sweep(self.now);
        if self.follow_at <= self.now && self.rules.asks_list {
            self.follow_at = Nanos::MAX;
            self.host.follow();
        }
    }
}
