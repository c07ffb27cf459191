//! Baseline policies for comparisons. All but `careless` retry only where that is safe and send nothing to
//! draining nodes. They have no concurrency limits, no budgets for cold nodes and no queue in front of the
//! origin.

use crate::policy::Policy;
use hashbrown::HashMap;
use oorandom::Rand32;
use pumicebay_core::host::{DedupScope, RetrySafety};
use pumicebay_core::state::Route;
use pumicebay_core::table::rendezvous;
use pumicebay_core::{
    Host, ListedNode, Nanos, Node, NodeStatus, Outcome, RequestId, RequestParams, Settings,
};

/// The most attempts in flight at a node under bounded load, as a multiple of the mean of all candidates.
const LOAD_BOUND: f64 = 1.25;
/// The interval of the periodic timer, in nanoseconds.
const TICK_INTERVAL: Nanos = 100_000_000;
const TICK_TOKEN: u64 = 0;

/// How a baseline chooses among the candidate nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Algorithm {
    /// A uniformly random node.
    Random,
    /// The one with fewer attempts in flight of two random nodes.
    TwoChoices,
    /// The node with the highest rendezvous hash.
    Rendezvous,
    /// The node with the highest rendezvous hash among those below the load bound; among all if none is.
    BoundedRendezvous,
    /// A random node among all that were ever listed, draining and gone ones too; retries every failure, safe
    /// or not.
    Careless,
}

/// A request from its arrival until it is finished and no attempt is in flight.
struct RequestState {
    params: RequestParams,
    deadline: Nanos,
    attempts: Vec<Attempt>,
    /// The request was answered or cancelled: no further attempt is made.
    finished: bool,
}

struct Attempt {
    node: Node,
    sent_at: Nanos,
    in_flight: bool,
    /// False once the outcome shows that the node did not execute the request.
    may_have_run: bool,
}

/// A baseline policy with its host.
pub struct Baseline<H: Host> {
    host: H,
    algorithm: Algorithm,
    rng: Rand32,
    routes: Vec<Route>,
    max_attempts: usize,
    polls_list: bool,
    /// By node: its latest list entry and its attempts in flight.
    nodes: Vec<(ListedNode, usize)>,
    origin: Option<Node>,
    requests: HashMap<RequestId, RequestState>,
    /// When the node list is requested next; `Nanos::MAX` while a request is pending.
    watch_at: Nanos,
}

impl<H: Host + Send> Baseline<H> {
    /// Creates the policy and starts its periodic timer. `seed` determines its random choices.
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
            let available = listed.status == NodeStatus::Ready || self.is_careless() && listed.identity != 0;
            let untried = self.is_careless() || !state.attempts.iter().any(|attempt| attempt.node == node);
            available && !listed.origin && untried
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

    /// Sends the next attempt of a request, or rejects it if none is possible. Writes go to the origin, and
    /// so do reads whose latest attempt was not executed by its cache node, for example after a miss.
    fn dispatch(&mut self, now: Nanos, request: RequestId) {
        let state = &self.requests[&request];
        let rejected_by_cache =
            |attempt: &Attempt| !attempt.may_have_run && Some(attempt.node) != self.origin;
        let to_origin = state.params.write || state.attempts.last().is_some_and(rejected_by_cache);
        let node = if to_origin { self.origin } else { self.choose_node(request).or(self.origin) };
        match node {
            Some(node) if self.may_send(now, request, node) => self.send(now, request, node),
            _ => self.reject(request),
        }
    }

    /// Whether an attempt at this node is allowed: there is time and an attempt left, and the request cannot
    /// take effect twice. The careless baseline skips the last check.
    fn may_send(&self, now: Nanos, request: RequestId, node: Node) -> bool {
        let state = &self.requests[&request];
        if state.attempts.len() >= self.max_attempts || now >= state.deadline {
            return false;
        }
        let first =
            state.attempts.iter().find(|attempt| attempt.may_have_run).filter(|_| !self.is_careless());
        let route = &self.routes[state.params.route];
        first.is_none_or(|first| match route.retry_safety {
            RetrySafety::Retriable => true,
            RetrySafety::NonRetriable => false,
            RetrySafety::Deduped(scope) => {
                let (listed, first_listed) = (&self.nodes[node].0, &self.nodes[first.node].0);
                now < first.sent_at + route.dedup_window && listed.shares_dedup_scope(scope, first_listed)
            }
        })
    }

    fn send(&mut self, now: Nanos, request: RequestId, node: Node) {
        let state = self.requests.get_mut(&request).expect("a dispatched request is known");
        state.attempts.push(Attempt { node, sent_at: now, in_flight: true, may_have_run: true });
        self.nodes[node].1 += 1;
        self.host.send(request, node, state.deadline - now);
    }

    /// Ends a request without a value: sheds it if the client may safely send it again, else answers with an
    /// error.
    fn reject(&mut self, request: RequestId) {
        let state = self.requests.get_mut(&request).expect("a rejected request is known");
        state.finished = true;
        let may_have_run = state.attempts.iter().any(|attempt| attempt.may_have_run);
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
        if state.finished && !state.attempts.iter().any(|attempt| attempt.in_flight) {
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
        let Some(ended) = state.attempts.get_mut(attempt).filter(|attempt| attempt.in_flight) else { return };
        ended.in_flight = false;
        ended.may_have_run = !outcome.never_ran();
        state.finished |= finished;
        let (node, at_origin) = (ended.node, Some(ended.node) == self.origin);
        let not_retried = outcome == Outcome::Unsent || at_origin && outcome == Outcome::Saturated;
        let finished = state.finished;
        self.nodes[node].1 -= 1;
        if finished {
            self.release_if_finished(request);
        } else if not_retried || self.requests[&request].attempts.iter().any(|attempt| attempt.in_flight) {
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
