//! An open request and its attempts. A plain record without decisions.

use crate::host::{Nanos, Node, Outcome, RequestParams, RetrySafety};
use crate::state::Route;
use smallvec::SmallVec;

/// An open request: it lacks its final answer, or has attempts in flight.
#[derive(Clone, Debug)]
pub struct RequestState {
    /// What the client sent.
    pub params: RequestParams,
    /// The route's settings when the request arrived, whatever changes later.
    pub route: Route,
    /// When the request arrived.
    pub arrived_at: Nanos,
    /// Its attempts in the order of their numbers.
    pub attempts: SmallVec<[Attempt; 2]>,
    /// Whether it has its final answer.
    pub answered: bool,
    /// Whether the client has received a part of the response.
    pub response_started: bool,
    /// Whether it fetches its key for other requests too.
    pub leads_fetch: bool,
    /// Payoff of answering it, in thousandths.
    pub payoff_milli: u64,
    /// When the request is given up: the end of its waiting time or, once an attempt has been sent, its
    /// client's deadline.
    pub give_up_at: Nanos,
    /// Whether it waits for earlier requests for its key.
    pub waits_for_key: bool,
}

/// An upstream attempt.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    /// The node it was sent to.
    pub node: Node,
    /// When it was sent.
    pub sent_at: Nanos,
    /// Whether it has not ended yet.
    pub in_flight: bool,
    /// Whether the node lacked the key.
    pub missed: bool,
    /// Its reply has begun and then paused.
    pub stalled: bool,
    /// Ended in an error that has not been counted against its node.
    pub unattributed_error: bool,
    /// Whether the node may have run the request.
    pub may_have_run: bool,
}

impl RequestState {
    /// A request without attempts.
    pub fn new(params: RequestParams, route: Route, now: Nanos, payoff_milli: u64) -> Self {
        RequestState {
            params,
            route,
            arrived_at: now,
            attempts: SmallVec::new(),
            answered: false,
            response_started: false,
            leads_fetch: false,
            give_up_at: 0,
            waits_for_key: false,
            payoff_milli,
        }
    }

    /// Adds an attempt that is sent now.
    pub fn start_attempt(&mut self, now: Nanos, node: Node) {
        self.attempts.push(Attempt {
            node,
            sent_at: now,
            in_flight: true,
            missed: false,
            stalled: false,
            unattributed_error: false,
            may_have_run: true,
        });
    }

    /// Records how an attempt ended and returns it; None for one that is not in flight.
    pub fn end_attempt(&mut self, index: usize, outcome: Outcome, answered: bool) -> Option<Attempt> {
        let ended = self.attempts.get_mut(index).filter(|attempt| attempt.in_flight)?;
        self.answered |= answered;
        ended.in_flight = false;
        ended.missed = outcome == Outcome::Missed;
        ended.unattributed_error = outcome == Outcome::Errored;
        ended.may_have_run = !outcome.never_ran();
        Some(*ended)
    }

    /// Until when nodes discard the last attempt as a duplicate if an earlier one ran; `Nanos::MAX` where
    /// they need not. A retry that waits for a connection must be sent within this time or not at all, since
    /// its effect could otherwise happen twice.
    pub fn dedup_deadline(&self) -> Nanos {
        let earlier = self
            .attempts
            .split_last()
            .and_then(|(_, earlier)| earlier.iter().find(|attempt| attempt.may_have_run));
        match (self.route.retry_safety, earlier) {
            (RetrySafety::Deduped(_), Some(first)) => first.sent_at + self.route.dedup_window,
            _ => Nanos::MAX,
        }
    }

    /// Whether an attempt was sent to this node.
    pub fn attempted_on(&self, node: Node) -> bool {
        self.attempts.iter().any(|attempt| attempt.node == node)
    }

    /// Fills `into` with the nodes of all attempts, sorted and without duplicates.
    pub fn attempted_nodes(&self, into: &mut Vec<Node>) {
        into.clear();
        into.extend(self.attempts.iter().map(|attempt| attempt.node));
        into.sort_unstable();
        into.dedup();
    }

    /// Returns the nodes of attempts that ended in errors, each attempt once only; once the request is `completed` also those
    /// of attempts that are in flight and stalled.
    pub fn take_failed_nodes(&mut self, completed: bool) -> SmallVec<[Node; 2]> {
        let has_failed = |attempt: &mut Attempt| {
            let errored = std::mem::take(&mut attempt.unattributed_error);
            errored || completed && attempt.in_flight && attempt.stalled
        };
        self.attempts.iter_mut().filter_map(|attempt| has_failed(attempt).then_some(attempt.node)).collect()
    }

    /// The number of attempts with errors that have not been counted against their node.
    pub fn error_count(&self) -> usize {
        self.attempts.iter().filter(|attempt| attempt.unattributed_error).count()
    }

    /// Whether any attempt may have run.
    pub fn may_have_run(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.may_have_run)
    }

    /// The number of attempts in flight.
    pub fn attempts_in_flight(&self) -> usize {
        self.attempts.iter().filter(|attempt| attempt.in_flight).count()
    }

    /// The key if the route keeps the order of requests for one key.
    pub fn ordering_key(&self) -> Option<u64> {
        self.params.key.filter(|_| self.route.keeps_order)
    }

    /// Whether something must be decided: there is neither a final answer nor an attempt in flight.
    pub fn awaits_decision(&self) -> bool {
        !self.answered && self.attempts_in_flight() == 0
    }

    /// When the client stops waiting.
    pub fn client_deadline(&self) -> Nanos {
        self.arrived_at + self.params.client_timeout
    }

    /// Whether the request can fetch its key for others too: a cache lacked the key, and it does not do so yet.
    pub fn may_lead_fetch(&self) -> bool {
        self.params.key.is_some() && self.first_missed_node().is_some() && !self.leads_fetch
    }

    /// The first node that lacked the key: it will store the origin's answer.
    pub fn first_missed_node(&self) -> Option<Node> {
        self.attempts.iter().find(|attempt| attempt.missed).map(|attempt| attempt.node)
    }
}
