//! Carries out what the balancer asks for: starts attempts and probes, sends final answers and keeps the timers.

use crate::control::PROBE_TIMEOUT;
use crate::dispatcher::claimed_ids::ClaimedIds;
use crate::fleet::probe_handle::ProbeHandle;
use crate::log_limiter::LogLimiter;
use crate::messages::{Answer, ClientRequest, DiscoveredNode};
use crate::nodes::{NodeEntry, NodeTable};
use crate::phases::Phase;
use crate::shared::Shared;
use crate::upstream::attempt::{self, NodeOperation, Target};
use bytes::Bytes;
use hashbrown::{HashMap, HashSet};
use pumicebay_core::{GiveUpReason, Host, Nanos, Node, RequestId};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// Carries out what the balancer asks for.
pub struct DispatcherHost {
    pub shared: Shared,
    pub follow_discovery: mpsc::Sender<()>,
    pub nodes: NodeTable,
    pub log_budget: LogLimiter,
    pub open_requests: HashMap<RequestId, OpenRequest>,
    /// The ids of the requests that await their answers.
    pub open_ids: HashSet<Bytes>,
    /// The ids of requests that may not run twice.
    pub claimed_ids: ClaimedIds,
    pub timers: BinaryHeap<Reverse<(Nanos, u64)>>,
    /// Attempts and probes that could not be sent, reported as soon as the balancer has returned.
    pub unsent_attempts: Vec<(RequestId, usize, Node)>,
    pub unsent_probes: Vec<Node>,
    /// The prober of the fleet, if there is one: then one process probes on behalf of many.
    pub prober: Option<ProbeHandle>,
}

/// A request that the balancer has not forgotten yet.
pub struct OpenRequest {
    pub request: Arc<ClientRequest>,
    /// Taken when the final answer is sent.
    pub answer: Option<oneshot::Sender<Answer>>,
    /// Attempts so far, which is also the number of the next one.
    pub attempts: usize,
    /// Attempts that may have run, or may yet.
    pub may_have_run: usize,
    /// Cancels the last attempt unless its last byte has been sent.
    pub cancel: CancellationToken,
}

impl DispatcherHost {
    /// A host that knows no node. `follow_discovery` asks discovery to send changes from now on.
    pub fn new(shared: Shared, follow_discovery: mpsc::Sender<()>) -> DispatcherHost {
        let folder = shared.config.folder.as_deref().filter(|_| shared.config.listener_inherited);
        let claimed_ids =
            folder.map_or_else(ClaimedIds::default, |folder| ClaimedIds::shared(folder, shared.clock.now()));
        DispatcherHost {
            shared,
            follow_discovery,
            nodes: NodeTable::default(),
            log_budget: LogLimiter::default(),
            open_requests: HashMap::new(),
            open_ids: HashSet::new(),
            claimed_ids,
            timers: BinaryHeap::new(),
            unsent_attempts: Vec::new(),
            unsent_probes: Vec::new(),
            prober: None,
        }
    }

    /// Removes and returns the next timer if it is due.
    pub fn pop_due_timer(&mut self, now: Nanos) -> Option<Reverse<(Nanos, u64)>> {
        let due = self.timers.peek().is_some_and(|Reverse((at, _))| *at <= now);
        if due { self.timers.pop() } else { None }
    }

    /// The sender for the final answer; `None` once the request has been answered.
    pub fn take_answer(&mut self, request_id: RequestId) -> Option<oneshot::Sender<Answer>> {
        let open = self.open_requests.get_mut(&request_id)?;
        let answer = open.answer.take()?;
        open.request.answered.store(true, Ordering::Relaxed);
        self.open_ids.remove(&open.request.id);
        Some(answer)
    }

    /// Logs a line about a node. There may be thousands of nodes, so lines beyond the budget get level debug.
    pub fn log_node(&mut self, line: impl std::fmt::Display) {
        if self.log_budget.allow(self.shared.clock.now()) {
            tracing::info!("{line}");
        } else {
            tracing::debug!("{line}");
        }
    }

    /// The node's number, which is new for a node seen the first time. `None` for a node that left before it
    /// was known.
    pub fn node_number(&mut self, discovered_node: &DiscoveredNode) -> Option<Node> {
        let (node, new) = self.nodes.upsert(discovered_node)?;
        if new {
            self.shared.counters.nodes_known.add();
            let logged = self.log_budget.allow(self.shared.clock.now());
            if let Some(known) = self.nodes.get_mut(node).filter(|_| logged) {
                known.log_number(node);
            }
        }
        Some(node)
    }

    /// Starts a probe; false if the node is no longer known.
    pub fn send_probe(&mut self, node: Node) -> bool {
        let sent =
            self.start_attempt(node, NodeOperation::Probe { deadline: Instant::now() + PROBE_TIMEOUT });
        if sent {
            self.shared.counters.probes_sent.add();
        }
        sent
    }

    /// Starts an attempt or probe; false if the node is no longer known.
    pub fn start_attempt(&mut self, node: Node, operation: NodeOperation) -> bool {
        let Some(known) = self.nodes.get_mut(node) else { return false };
        if !known.logged {
            known.log_number(node);
        }
        let target = Target { node, address: known.address, origin: known.origin };
        attempt::spawn(&self.shared, target, operation);
        true
    }
}

impl Host for DispatcherHost {
    fn send(&mut self, request_id: RequestId, node: Node, timeout: Nanos) {
        let until = self.shared.clock.instant(self.shared.clock.now() + timeout);
        let Some(open) = self.open_requests.get_mut(&request_id) else { return };
        let attempt_number = open.attempts;
        open.attempts += 1;
        open.may_have_run += 1;
        if open.cancel.is_cancelled() {
            open.cancel = CancellationToken::new();
        }
        let (request, cancel) = (open.request.clone(), open.cancel.clone());
        let operation =
            NodeOperation::Attempt { request_id, attempt_number, request, deadline: until, cancel };
        // From `Leaving` on nothing is sent.
        if self.shared.phase.current() >= Phase::Leaving || !self.start_attempt(node, operation) {
            self.unsent_attempts.push((request_id, attempt_number, node));
        } else {
            self.shared.counters.tries_sent.add();
            if let Some(open) = self.open_requests.get(&request_id) {
                let id = String::from_utf8_lossy(&open.request.id);
                tracing::debug!(
                    "request {id}: attempt {attempt_number} to node {node}, {timeout} ns at most"
                );
            }
        }
    }

    fn cancel_unsent(&mut self, request_id: RequestId) {
        self.open_requests.get(&request_id).into_iter().for_each(|open| open.cancel.cancel());
    }

    fn shed(&mut self, request_id: RequestId, pause: Nanos) {
        if let Some(answer) = self.take_answer(request_id) {
            self.shared.counters.exchanges_shed.add();
            let _ = answer.send(Answer::Shed(pause));
        }
    }

    fn error(&mut self, request_id: RequestId) {
        if let Some(answer) = self.take_answer(request_id) {
            self.shared.counters.exchanges_errored.add();
            let _ = answer.send(Answer::Errored);
        }
    }

    fn release_request(&mut self, request_id: RequestId) {
        let Some(open) = self.open_requests.remove(&request_id) else { return };
        if !open.request.may_run_twice && open.may_have_run == 0 {
            self.claimed_ids.release(&open.request.id);
        }
    }

    fn set_timer(&mut self, at: Nanos, token: u64) {
        self.timers.push(Reverse((at, token)));
    }

    fn probe(&mut self, node: Node) {
        let sent = match (&self.prober, self.nodes.get(node)) {
            (Some(prober), Some(known)) => prober.outcome_wanted(&known.uid),
            _ => self.send_probe(node),
        };
        if !sent {
            self.unsent_probes.push(node);
        }
    }

    fn release_node(&mut self, node: Node) {
        if let Some(NodeEntry { uid, .. }) = self.nodes.remove(node) {
            self.log_node(format_args!("node {node} is no longer {uid}: removed"));
            self.shared.counters.nodes_dismissed.add();
            self.shared.upstream.close_idle(node);
        }
    }

    fn watch_node_list(&mut self) {
        // If the channel is full, a call is already waiting to be made, and one call serves both.
        let _ = self.follow_discovery.try_send(());
    }

    fn log(&mut self, line: &str) {
        self.log_node(line);
    }

    fn given_up(&mut self, request_id: RequestId, reason: GiveUpReason, attempts: usize) {
        self.shared.counters.given_up.add(reason, attempts);
        let Some(open) = self.open_requests.get(&request_id) else { return };
        let (id, reason) = (String::from_utf8_lossy(&open.request.id), reason.name());
        if attempts > 0 && self.log_budget.allow(self.shared.clock.now()) {
            tracing::info!("request {id}: given up after {attempts} attempts: {reason}");
        } else {
            tracing::debug!("request {id}: given up after {attempts} attempts: {reason}");
        }
    }
}
