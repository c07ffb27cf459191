//! What can happen to a proxy, one method each. Each hands what it means to the module whose matter it is.

use crate::balance::Balance;
use crate::fleet::Finder;
use crate::host::{Ask, GiveUp, Host, Nanos, Outcome, RequestId};
use crate::policy::TICK;
use crate::state::RequestState;
use smallvec::SmallVec;

/// Requests count from 1.
const TICK_TOKEN: u64 = 0;

impl<H: Host, F: Finder> Balance<H, F> {
    pub fn arrived(&mut self, now: Nanos, id: RequestId, ask: Ask) {
        self.at(now);
        self.pace.asked.add(now, ask.work());
        let route = self.route(ask.route);
        let request = RequestState::new(ask, route, now, self.worth(&ask, &route));
        request.ordered().into_iter().for_each(|key| self.turns.enter(key, id));
        self.requests.insert(id, request);
        self.place(id);
    }

    /// An attempt ended; `over` says that its request has its final answer.
    pub fn ended(&mut self, now: Nanos, id: RequestId, attempt: usize, outcome: Outcome, over: bool) {
        self.at(now);
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(this) = request.end(attempt, outcome, over) else { return };
        let (over, held, late) =
            (request.over, request.held(), (now >= request.ends()).then_some(request.route.objective));
        let rests = request.ordered().filter(|_| outcome.may_still_run());
        rests.into_iter().for_each(|key| self.turns.rest(key, now + self.rules.turn_gap));
        // Served here, it was no fault of its own that it failed elsewhere.
        let blamed = if outcome.serves() { request.blamed() } else { SmallVec::new() };
        self.learn(this.node, this.sent, outcome, late);
        blamed.into_iter().for_each(|node| self.blame(node, Outcome::Errored));
        if over {
            self.finish(id);
        } else if held {
            self.again(id, this.node, outcome);
        }
        self.serve_line();
        let queue = std::mem::take(&mut self.queue);
        self.place_all(queue);
    }

    pub fn under_way(&mut self, id: RequestId) {
        self.requests.get_mut(&id).into_iter().for_each(|request| request.under_way = true);
    }

    pub fn dropped(&mut self, now: Nanos, id: RequestId) {
        self.at(now);
        self.requests.contains_key(&id).then(|| self.finish(id));
    }

    pub fn woke(&mut self, now: Nanos, token: u64) {
        self.at(now);
        match self
            .requests
            .get(&token)
            .filter(|request| !request.over)
            .map(|request| (request.until, request.waits))
        {
            _ if token == TICK_TOKEN => self.tick(),
            Some((until, _)) if now >= until => {
                let sent = self.requests[&token].out() > 0;
                self.give_up(token, if sent { GiveUp::OutOfTime } else { GiveUp::WaitedTooLong });
            }
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
