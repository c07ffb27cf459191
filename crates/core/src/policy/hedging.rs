//! Hedged attempts: a second attempt beside one whose reply has begun and then paused. The node may only be slow, so its
//! attempt goes on, or it may never finish, so the request must not depend on it alone. At most two attempts of a request
//! are ever in flight, and only where the settings allow that and the request may run twice.

use crate::balancer::Balancer;
use crate::host::{Host, Nanos, Node, RequestId};
use crate::nodes::NodeIndex;
use crate::state::RequestState;

impl<H: Host, F: NodeIndex> Balancer<H, F> {
    /// The reply to an attempt has begun, and no more of it has come for a while.
    pub fn reply_stalled(&mut self, now: Nanos, id: RequestId, attempt: usize) {
        self.advance_to(now);
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(attempt) = request.attempts.get_mut(attempt).filter(|attempt| attempt.in_flight) else {
            return;
        };
        attempt.stalled = true;
        self.hedge_stalled(id);
    }

    /// Sends another attempt of this request if the one in flight has stalled and a node has capacity. The request never
    /// waits for capacity here: the attempt in flight may still answer it.
    pub(crate) fn hedge_stalled(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id).filter(|request| self.may_hedge(request)) else { return };
        if request.params.write {
            return;
        }
        let key = request.params.key;
        if request.first_missed_node().is_some() {
            return self.hedge_at_origin(id);
        }
        match self.choose_node(id, key) {
            Some(node) if self.fetches.target_node(key) == Some(node) => {}
            Some(node) if self.has_capacity(id, node) => self.serve(id, node),
            Some(_) => {}
            None => self.hedge_at_origin(id),
        }
    }

    fn may_hedge(&self, request: &RequestState) -> bool {
        let mut in_flight = request.attempts.iter().filter(|attempt| attempt.in_flight);
        let stalled_alone = matches!((in_flight.next(), in_flight.next()), (Some(only), None)
            if only.stalled && Some(only.node) != self.origin);
        stalled_alone
            && request.route.second_copies
            && self.route(request.params.route).second_copies
            && !self.stopping
            && !request.answered
            && !request.response_started
            && !request.route.keeps_order
            && request.route.is_retriable()
            && self.now < request.client_deadline()
            && self.may_retry(request)
    }

    /// Sends the attempt to the origin if that has capacity and does not fetch the key already.
    fn hedge_at_origin(&mut self, id: RequestId) {
        let request = &self.requests[&id];
        let may_send = |node: &Node| self.may_send(request, *node) && self.origin_has_capacity(id);
        let Some(origin) = self.origin.filter(may_send) else { return };
        if self.fetches.get(request.params.key).is_some() {
            return;
        }
        self.start_fetch(id);
        self.send(id, origin);
    }
}
