//! Policies to compare with. They keep the plain rules of retries and drains (all but the careless one) and
//! nothing else: no bounds, no budgets for cold nodes, no line before the origin.

use crate::policy::Policy;
use hashbrown::HashMap;
use oorandom::Rand32;
use pumicebay_core::host::{DedupScope, RetrySafety};
use pumicebay_core::state::Route;
use pumicebay_core::table::rendezvous;
use pumicebay_core::{
    Host, ListedNode, Nanos, Node, NodeStatus, Outcome, RequestId, RequestParams, Settings,
};

/// How much more than the mean a node may have in flight under bounded load.
const LOAD_BOUND: f64 = 1.25;
const TICK_INTERVAL: Nanos = 100_000_000;
const TICK_TOKEN: u64 = 0;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Algorithm {
    Random,
    /// The less loaded of two drawn at random.
    TwoChoices,
    /// The highest rendezvous hash.
    Rendezvous,
    /// The highest rendezvous hash that is not past its bound.
    BoundedRendezvous,
    /// Random; sends to whatever was ever listed, and sends again whatever failed.
    Careless,
}

struct RequestState {
    params: RequestParams,
    deadline: Nanos,
    attempts: Vec<Attempt>,
    finished: bool,
}

struct Attempt {
    node: Node,
    sent_at: Nanos,
    in_flight: bool,
    /// Unless it is known not to have.
    may_have_run: bool,
}

pub struct Baseline<H: Host> {
    host: H,
    algorithm: Algorithm,
    rng: Rand32,
    routes: Vec<Route>,
    max_attempts: usize,
    polls_list: bool,
    nodes: Vec<(ListedNode, usize)>,
    origin: Option<Node>,
    requests: HashMap<RequestId, RequestState>,
    watch_at: Nanos,
}

impl<H: Host + Send> Baseline<H> {
    pub fn new(host: H, algorithm: Algorithm, settings: &Settings, seed: u64, now: Nanos) -> Self {
        let mut baseline = Baseline {
            host,
            algorithm,
            rng: Rand32::new(seed),
            routes: Route::all_from(settings),
            max_attempts: settings.number("most_tries", 1.0) as usize,
            polls_list: settings.text("discovery") == "ask",
            nodes: Vec::new(),
            origin: None,
            requests: HashMap::new(),
            watch_at: now,
        };
        baseline.timer_fired(now, TICK_TOKEN);
        baseline
    }

    fn is_careless(&self) -> bool {
        self.algorithm == Algorithm::Careless
    }

    fn candidates(&self, state: &RequestState) -> Vec<Node> {
        let eligible = |&node: &Node| {
            let listed = &self.nodes[node].0;
            let listed_ready =
                listed.status == NodeStatus::Ready || self.is_careless() && listed.identity != 0;
            let untried = self.is_careless() || !state.attempts.iter().any(|t| t.node == node);
            listed_ready && !listed.origin && untried
        };
        (0..self.nodes.len()).filter(eligible).collect()
    }

    fn pick_random(&mut self, candidates: &[Node]) -> Option<Node> {
        let count = u32::try_from(candidates.len()).unwrap_or(u32::MAX);
        (count > 0).then(|| candidates[self.rng.rand_range(0..count) as usize])
    }

    fn choose_node(&mut self, request: RequestId) -> Option<Node> {
        let state = &self.requests[&request];
        let (candidates, key) = (self.candidates(state), state.params.key.unwrap_or(request));
        let hash = |node: &Node| rendezvous(key, self.nodes[*node].0.identity);
        match self.algorithm {
            Algorithm::Random | Algorithm::Careless => self.pick_random(&candidates),
            Algorithm::TwoChoices => {
                let pair = [self.pick_random(&candidates)?, self.pick_random(&candidates)?];
                pair.into_iter().min_by_key(|&node| self.nodes[node].1)
            }
            Algorithm::Rendezvous => candidates.into_iter().max_by_key(hash),
            Algorithm::BoundedRendezvous => {
                let sum: usize = candidates.iter().map(|&node| self.nodes[node].1).sum();
                let limit = (LOAD_BOUND * (sum + 1) as f64 / candidates.len().max(1) as f64).ceil();
                let free = |node: &Node| (self.nodes[*node].1 as f64) < limit;
                candidates
                    .iter()
                    .copied()
                    .filter(free)
                    .max_by_key(hash)
                    .or(candidates.into_iter().max_by_key(hash))
            }
        }
    }

    fn dispatch(&mut self, now: Nanos, request: RequestId) {
        let state = &self.requests[&request];
        let rejected_by_cache = |t: &Attempt| !t.may_have_run && Some(t.node) != self.origin;
        let to_origin = state.params.write || state.attempts.last().is_some_and(rejected_by_cache);
        let node = if to_origin { self.origin } else { self.choose_node(request).or(self.origin) };
        match node {
            Some(node) if self.may_send(now, request, node) => self.send(now, request, node),
            _ => self.reject(request),
        }
    }

    /// Rule 2, which the careless one does not know.
    fn may_send(&self, now: Nanos, request: RequestId, node: Node) -> bool {
        let state = &self.requests[&request];
        if state.attempts.len() >= self.max_attempts || now >= state.deadline {
            return false;
        }
        let first = state.attempts.iter().find(|t| t.may_have_run).filter(|_| !self.is_careless());
        let route = &self.routes[state.params.route];
        first.is_none_or(|first| match route.retry_safety {
            RetrySafety::Retriable => true,
            RetrySafety::NonRetriable => false,
            RetrySafety::Deduped(scope) => {
                let (here, there) = (&self.nodes[node].0, &self.nodes[first.node].0);
                now < first.sent_at + route.dedup_window && here.shares_dedup_scope(scope, there)
            }
        })
    }

    fn send(&mut self, now: Nanos, request: RequestId, node: Node) {
        let state = self.requests.get_mut(&request).expect("a dispatched request is known");
        state.attempts.push(Attempt { node, sent_at: now, in_flight: true, may_have_run: true });
        self.nodes[node].1 += 1;
        self.host.send(request, node, state.deadline - now);
    }

    fn reject(&mut self, request: RequestId) {
        let state = self.requests.get_mut(&request).expect("a rejected request is known");
        state.finished = true;
        let may_have_run = state.attempts.iter().any(|t| t.may_have_run);
        let retry_safety = self.routes[state.params.route].retry_safety;
        if !may_have_run
            || matches!(retry_safety, RetrySafety::Retriable | RetrySafety::Deduped(DedupScope::Fleet))
        {
            self.host.shed(request, 0);
        } else {
            self.host.error(request);
        }
        self.release_if_finished(request);
    }

    fn release_if_finished(&mut self, request: RequestId) {
        let state = &self.requests[&request];
        if state.finished && !state.attempts.iter().any(|t| t.in_flight) {
            self.requests.remove(&request);
            self.host.release_request(request);
        }
    }
}

impl<H: Host + Send> Policy<H> for Baseline<H> {
    fn request_arrived(&mut self, now: Nanos, request: RequestId, params: RequestParams) {
        self.requests.insert(
            request,
            RequestState {
                params,
                deadline: now + params.client_timeout,
                attempts: Vec::new(),
                finished: false,
            },
        );
        self.dispatch(now, request);
    }

    fn attempt_ended(
        &mut self,
        now: Nanos,
        request: RequestId,
        attempt: usize,
        outcome: Outcome,
        finished: bool,
    ) {
        let Some(state) = self.requests.get_mut(&request) else { return };
        let Some(ended) = state.attempts.get_mut(attempt).filter(|t| t.in_flight) else { return };
        ended.in_flight = false;
        ended.may_have_run = !outcome.never_ran();
        state.finished |= finished;
        let (node, at_origin) = (ended.node, Some(ended.node) == self.origin);
        let not_retried = outcome == Outcome::Unsent || at_origin && outcome == Outcome::Saturated;
        let finished = state.finished;
        self.nodes[node].1 -= 1;
        if finished {
            self.release_if_finished(request);
        } else if not_retried || self.requests[&request].attempts.iter().any(|t| t.in_flight) {
            self.reject(request);
        } else {
            self.dispatch(now, request);
        }
    }

    fn request_cancelled(&mut self, _now: Nanos, request: RequestId) {
        if let Some(state) = self.requests.get_mut(&request) {
            state.finished = true;
            self.release_if_finished(request);
        }
    }

    fn timer_fired(&mut self, now: Nanos, token: u64) {
        if token == TICK_TOKEN {
            self.host.set_timer(now + TICK_INTERVAL, TICK_TOKEN);
            if self.polls_list && self.watch_at <= now {
                self.watch_at = Nanos::MAX;
                self.host.watch_node_list();
            }
        }
    }

    fn node_listed(&mut self, _now: Nanos, node: Node, listed: ListedNode) {
        self.nodes.resize(self.nodes.len().max(node + 1), (ListedNode::default(), 0));
        self.nodes[node].0 = listed;
        self.origin = listed.origin.then_some(node).or(self.origin);
    }

    fn list_completed(&mut self, listed_nodes: &[Node]) {
        for node in (0..self.nodes.len()).filter(|node| !listed_nodes.contains(node)) {
            self.nodes[node].0.status = NodeStatus::Gone;
        }
    }

    fn list_request_failed(&mut self, now: Nanos) {
        self.watch_at = now + 10 * TICK_INTERVAL;
    }

    fn probe_finished(&mut self, _node: Node, _outcome: Outcome) {}

    fn host(&mut self) -> &mut H {
        &mut self.host
    }
}
