//! Sending attempts, retrying and giving up. No effect may happen twice, and every request must get exactly
//! one final answer.

use crate::balancer::Balancer;
use crate::host::{GiveUpReason, Host, Nanos, Node, Outcome, RequestId, RetrySafety};
use crate::nodes::NodeIndex;
use crate::policy::{QUICK_DIVISOR, WAIT_DIVISOR};
use crate::state::{Attempt, RequestState};

/// A request is given up after errors at this many nodes: it would fail at any node.
const MAX_ERROR_NODES: usize = 2;

impl<H: Host, F: NodeIndex> Balancer<H, F> {
    /// Sends the request's next attempt to a node, and starts the next pause if the node is cold.
    pub(crate) fn send(&mut self, id: RequestId, node: Node) {
        let request = self.requests.get_mut(&id).expect("a request being placed is open");
        request.start_attempt(self.now, node);
        request.give_up_at = request.client_deadline();
        let (work, client_deadline) = (request.params.work(), request.give_up_at);
        let deadline = self.attempt_deadline(id, node);
        let paced_until = (!self.is_warm(node)).then(|| {
            let (window, interval) = (self.settings.overload_window, self.cold_send_interval(node, work));
            // A proxy may catch up on sends that it left unused only within limits: half the overload window,
            // and the square root of window times interval, which is about the variation to expect by chance.
            // Otherwise all proxies that catch up at the same time would overload a cold node.
            let credit = (window / 2).min((window as f64 * interval).sqrt() as Nanos);
            self.nodes.states[node].paced_until.max(self.now.saturating_sub(credit)) + interval as Nanos
        });
        self.nodes.start_attempt(node, paced_until);
        (Some(node) != self.origin).then(|| self.all_caches.start(self.now));
        (deadline > client_deadline).then(|| self.host.set_timer(client_deadline, id));
        self.host.send(id, node, deadline.saturating_sub(self.now));
    }

    /// When an attempt ends. A first attempt at a cache ends halfway to the latency objective, to leave time
    /// for another: this protects requests from nodes far slower than the rest. It applies only while hits
    /// are quick and the origin has capacity for what may follow. A fetch outlives its client, who is still
    /// answered in time: clients with short timeouts would otherwise cause fetches that nobody uses.
    fn attempt_deadline(&self, id: RequestId, node: Node) -> Nanos {
        let request = &self.requests[&id];
        let is_first =
            request.attempts.len() == 1 && request.route.max_attempts > 2 && request.route.is_retriable();
        let at_quick_cache = Some(node) != self.origin
            && self.machine_types.hit_latency * QUICK_DIVISOR * 1e9 < self.settings.shortest_objective as f64;
        let halfway = (request.arrived_at + request.route.latency_objective / 2)
            .max(self.now + request.route.latency_objective / WAIT_DIVISOR);
        let outlives_client =
            request.leads_fetch && request.route.is_retriable() && !request.route.keeps_order;
        match () {
            () if outlives_client => {
                request.client_deadline().max(self.now + request.route.latency_objective)
            }
            () if is_first && at_quick_cache && self.origin_has_capacity(id) => {
                halfway.min(request.client_deadline())
            }
            () => request.client_deadline().min(request.dedup_deadline()),
        }
    }

    /// Decides what follows an attempt that has ended without a final answer: another attempt, or giving up.
    pub(crate) fn retry_or_give_up(&mut self, id: RequestId, node: Node, outcome: Outcome) {
        let (request, at_origin) = (&self.requests[&id], Some(node) == self.origin);
        let not_sent = outcome == Outcome::Unsent && self.nodes.states[node].is_ready();
        let given_up = match () {
            () if self.stopping => Some(GiveUpReason::Stopping),
            () if not_sent => Some(GiveUpReason::NotSent),
            () if at_origin && outcome == Outcome::Saturated => Some(GiveUpReason::OriginBusy),
            () if request.response_started => Some(GiveUpReason::BrokeOff),
            () if self.now >= request.client_deadline() => Some(GiveUpReason::OutOfTime),
            () => None,
        };
        if let Some(reason) = given_up {
            self.give_up(id, reason);
        } else if at_origin || outcome == Outcome::Missed {
            self.send_to_origin(id);
        } else {
            self.place_request(id);
        }
    }

    /// Whether this request may be sent to this node now, by the limits on retries and the state of the node.
    pub(crate) fn may_send(&self, request: &RequestState, node: Node) -> bool {
        let state = &self.nodes.states[node];
        let tried_here = |attempt: &Attempt| attempt.node == node && (attempt.in_flight || !attempt.missed);
        let is_ready_origin = state.listed.origin && state.is_ready();
        let accepts =
            is_ready_origin || state.is_serving() && self.within_cold_budget(node, request.params.work());
        let may_repeat = || self.may_retry(request) && self.is_safe_repeat(request, node);
        accepts
            && (request.attempts.is_empty()
                || may_repeat() && (is_ready_origin || !request.attempts.iter().any(tried_here)))
    }

    /// Whether the request may have another attempt, at whichever node.
    pub(crate) fn may_retry(&self, request: &RequestState) -> bool {
        let must_not_repeat =
            request.route.retry_safety == RetrySafety::NonRetriable && request.may_have_run();
        request.attempts.len() < request.route.max_attempts
            && !must_not_repeat
            && request.error_count() < MAX_ERROR_NODES
    }

    /// Whether an attempt at this node can't cause the request's effect a second time.
    fn is_safe_repeat(&self, request: &RequestState, node: Node) -> bool {
        let Some(first) = request.attempts.iter().find(|attempt| attempt.may_have_run) else { return true };
        let (here, there) = (&self.nodes.states[node].listed, &self.nodes.states[first.node].listed);
        match request.route.retry_safety {
            RetrySafety::Retriable => true,
            RetrySafety::NonRetriable => false,
            RetrySafety::Deduped(scope) => {
                self.now < first.sent_at + request.route.dedup_window && here.shares_dedup_scope(scope, there)
            }
        }
    }

    /// Sends the final answer immediately: shed where the client may safely retry, otherwise an error. Early
    /// answers keep clients that time out from causing retry storms.
    pub(crate) fn give_up(&mut self, id: RequestId, reason: GiveUpReason) {
        let request = &self.requests[&id];
        let attempts = request.attempts.len();
        let pause =
            if self.settings.sends_retry_after { request.route.latency_objective / WAIT_DIVISOR } else { 0 };
        match request.route.retry_safety.client_may_retry(request.may_have_run()) && !request.response_started
        {
            true => self.host.shed(id, pause),
            false => self.host.error(id),
        }
        self.host.given_up(id, reason, attempts);
        self.finish(id);
    }

    /// Marks the request as answered. Once it has no attempt in flight, it is removed and the requests that
    /// waited for it are placed.
    pub(crate) fn finish(&mut self, id: RequestId) {
        let request = self.requests.get_mut(&id).expect("a request being finished is open");
        request.answered = true;
        self.fetches.dequeue(request.params.key, id, request.payoff_milli);
        if request.attempts_in_flight() > 0 {
            // Nodes should not get attempts that nobody waits for, and no attempt may be sent after the final
            // answer.
            return self.host.cancel_unsent(id);
        }
        let (ordering_key, fetched_key) =
            (request.ordering_key(), request.params.key.filter(|_| request.leads_fetch));
        self.requests.remove(&id);
        self.host.release_request(id);
        let next = ordering_key.and_then(|key| self.key_queues.remove(self.now, key, id));
        self.place_waiting(next.into_iter().collect());
        let fetch = fetched_key.and_then(|key| self.fetches.finish(key));
        fetch.into_iter().for_each(|fetch| self.place_waiting(fetch.waiters));
    }
}
