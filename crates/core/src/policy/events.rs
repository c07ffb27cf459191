//! The events that a proxy reacts to, one method each. Decisions about them are in the other modules.

use crate::balancer::Balancer;
use crate::host::{GiveUpReason, Host, Nanos, Outcome, RequestId, RequestParams};
use crate::nodes::NodeIndex;
use crate::policy::TICK;
use crate::state::RequestState;
use smallvec::SmallVec;

/// The timer token of the periodic tick. Request ids, which are the other tokens, count from 1.
const TICK_TOKEN: u64 = 0;

impl<H: Host, F: NodeIndex> Balancer<H, F> {
    /// A client's request has arrived under a new id.
    pub fn request_arrived(&mut self, now: Nanos, id: RequestId, params: RequestParams) {
        self.advance_to(now);
        self.demand.requests.add(now, params.work());
        let route = self.route(params.route);
        let request = RequestState::new(params, route, now, self.payoff_milli(&params, &route));
        request.ordering_key().into_iter().for_each(|key| self.key_queues.enqueue(key, id));
        self.requests.insert(id, request);
        self.place_request(id);
    }

    /// An attempt has ended. `answered` tells whether its request has its final answer.
    pub fn attempt_ended(
        &mut self,
        now: Nanos,
        id: RequestId,
        attempt: usize,
        outcome: Outcome,
        answered: bool,
    ) {
        self.advance_to(now);
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(ended) = request.end_attempt(attempt, outcome, answered) else { return };
        let (answered, awaits_decision, objective_if_expired) = (
            request.answered,
            request.awaits_decision(),
            (now >= request.client_deadline()).then_some(request.route.latency_objective),
        );
        let (route, block_time) = (request.params.route, request.route.key_block_time);
        let blocked_key = request.ordering_key().filter(|_| outcome.may_still_run());
        // Another node served the request, so its earlier errors count against the nodes that returned them.
        let failed_nodes = match outcome.is_success() {
            true => request.take_failed_nodes(outcome == Outcome::Completed),
            false => SmallVec::new(),
        };
        if let Some(key) = blocked_key {
            let block_time = block_time.max(self.route(route).key_block_time);
            self.key_queues.block_until(key, now + block_time);
        }
        self.record_outcome(ended.node, ended.sent_at, outcome, objective_if_expired);
        failed_nodes.into_iter().for_each(|node| self.record_failure(node, Outcome::Errored));
        if answered {
            self.finish(id);
        } else if awaits_decision {
            self.retry_or_give_up(id, ended.node, outcome);
        } else {
            self.hedge_stalled(id);
        }
        self.drain_fetch_queue();
        let waiting = std::mem::take(&mut self.capacity_queue);
        self.place_waiting(waiting);
    }

    /// The client has received a first part of the response, so the request can't be retried any more.
    pub fn response_started(&mut self, id: RequestId) {
        self.requests.get_mut(&id).into_iter().for_each(|request| request.response_started = true);
    }

    /// The client has gone and needs no answer.
    pub fn request_cancelled(&mut self, now: Nanos, id: RequestId) {
        self.advance_to(now);
        self.requests.contains_key(&id).then(|| self.finish(id));
    }

    /// The proxy is about to end. Requests that wait are given up now, and those with an attempt in flight when that
    /// ends: their own timers would be too late.
    pub fn stop(&mut self, now: Nanos) {
        self.advance_to(now);
        self.stopping = true;
        let waiting = self.requests.iter().filter(|(_, request)| request.awaits_decision());
        let mut waiting: Vec<RequestId> = waiting.map(|(&id, _)| id).collect();
        // The latest first: the end of one that others wait for would place these one within the other.
        waiting.sort_unstable_by(|a, b| b.cmp(a));
        self.place_waiting(waiting);
    }

    /// A timer set with this token has fired: the periodic tick, or that of the request with this id.
    pub fn timer_fired(&mut self, now: Nanos, token: u64) {
        self.advance_to(now);
        match self
            .requests
            .get(&token)
            .filter(|request| !request.answered)
            .map(|request| (request.give_up_at, request.waits_for_key))
        {
            _ if token == TICK_TOKEN => self.tick(),
            Some((give_up_at, _)) if now >= give_up_at => {
                let attempt_sent = self.requests[&token].attempts_in_flight() > 0;
                self.give_up(
                    token,
                    if attempt_sent { GiveUpReason::OutOfTime } else { GiveUpReason::WaitedTooLong },
                );
            }
            Some((_, true)) => self.place_request(token),
            _ => {}
        }
    }

    /// Does the periodic work and sets the timer for the next tick.
    pub(crate) fn tick(&mut self) {
        self.host.set_timer(self.now + TICK, TICK_TOKEN);
        self.update_node_slice();
        self.update_limits();
        self.probe_ejected();
        self.drain_fetch_queue();
        self.key_queues.prune(self.now);
        if self.watch_at <= self.now && self.settings.watches_list {
            self.watch_at = Nanos::MAX;
            self.host.watch_node_list();
        }
    }
}
