//! The dispatcher actor: the balancer of `pumicebay-core`, its mailbox, and the host that carries out what
//! the balancer asks for. No handler ever waits for I/O.

use crate::control::{ControlCommand, NodeKind, PROBE_TIMEOUT};
use crate::event_loop;
use crate::fleet::probe_handle::ProbeHandle;
use crate::log_limiter::LogLimiter;
use crate::memory::MemoryMonitor;
use crate::messages::{Answer, AttemptResult, ClientRequest, DiscoveredNode, Event, ListPart, Mailbox};
use crate::nodes::{NodeEntry, NodeTable};
use crate::phases::Phase;
use crate::shared::Shared;
use crate::streaming::Value;
use crate::upstream::attempt::{self, NodeOperation, Target};
use bytes::Bytes;
use hashbrown::{HashMap, HashSet};
use pumicebay_core::{
    Balancer, GiveUpReason, Host, Nanos, Node, Outcome, ReportedLoad, RequestId, RequestParams, Settings,
};
use pumicebay_names::stable_hash;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep_until};
use tokio_util::sync::CancellationToken;

/// How long the dispatcher sleeps at most while no timer is set.
const IDLE_WAKE_INTERVAL: Nanos = 1_000_000_000;
/// How often the memory in use is checked.
const MEMORY_CHECK_INTERVAL: Nanos = 1_000_000_000;

/// The actor that owns the balancer. Its events come from clients, attempts and discovery; its control
/// commands go ahead of them.
pub struct Dispatcher {
    balance: Balancer<DispatcherHost>,
    mailbox: Mailbox,
    memory_monitor: MemoryMonitor,
    memory_check_at: Nanos,
    /// The nodes in the received parts of a full list.
    full_list: Vec<Node>,
}

/// Carries out what the balancer asks for.
struct DispatcherHost {
    shared: Shared,
    follow_discovery: mpsc::Sender<()>,
    nodes: NodeTable,
    log_budget: LogLimiter,
    open_requests: HashMap<RequestId, OpenRequest>,
    /// The ids of the requests that await their answers.
    open_ids: HashSet<Bytes>,
    timers: BinaryHeap<Reverse<(Nanos, u64)>>,
    /// Attempts and probes that could not be sent, reported as soon as the balancer has returned.
    unsent_attempts: Vec<(RequestId, usize, Node)>,
    unsent_probes: Vec<Node>,
    /// The prober of the fleet, if there is one: then one process probes on behalf of many.
    prober: Option<ProbeHandle>,
}

/// A request that the balancer has not forgotten yet.
struct OpenRequest {
    request: Arc<ClientRequest>,
    /// Taken when the final answer is sent.
    answer: Option<oneshot::Sender<Answer>>,
    /// Attempts so far, which is also the number of the next one.
    attempts: usize,
    /// Cancels the last attempt unless its last byte has been sent.
    cancel: CancellationToken,
}

impl Dispatcher {
    /// Creates the dispatcher. `follow_discovery` asks discovery to send changes from now on.
    pub fn new(
        shared: Shared,
        settings: Settings,
        follow_discovery: mpsc::Sender<()>,
        mailbox: Mailbox,
    ) -> Dispatcher {
        let (clock, config) = (shared.clock, shared.config.clone());
        let host = DispatcherHost {
            shared,
            follow_discovery,
            nodes: NodeTable::default(),
            log_budget: LogLimiter::default(),
            open_requests: HashMap::new(),
            open_ids: HashSet::new(),
            timers: BinaryHeap::new(),
            unsent_attempts: Vec::new(),
            unsent_probes: Vec::new(),
            prober: None,
        };
        let balance = Balancer::new(host, settings, config.seed, clock.now());
        let memory_monitor = MemoryMonitor::new(config.memory_limit_kb);
        Dispatcher { balance, mailbox, memory_monitor, memory_check_at: 0, full_list: Vec::new() }
    }

    /// Lets the fleet decide which process probes a node.
    pub fn use_prober(&mut self, prober: ProbeHandle) {
        self.balance.host.prober = Some(prober);
    }

    /// Handles control commands, the end of the process, timers and events, in this order of priority, until all handles
    /// are gone.
    pub async fn run(mut self) {
        let (mut leaving, mut stopped) = (self.balance.host.shared.phase.clone(), false);
        loop {
            let host = &self.balance.host;
            let now = host.shared.clock.now();
            let due = host.timers.peek().map_or(now + IDLE_WAKE_INTERVAL, |Reverse((at, _))| *at);
            let wake = host.shared.clock.instant(due);
            tokio::select! {
                biased;
                Some(command) = self.mailbox.1.recv() => self.handle_command(command),
                () = leaving.reached(Phase::Leaving), if !stopped => {
                    stopped = true;
                    self.balance.stop(self.balance.host.shared.clock.now());
                }
                () = sleep_until(wake) => self.run_timers(),
                event = self.mailbox.0.recv() => match event {
                    Some(event) => {
                        let counters = self.balance.host.shared.counters.clone();
                        let description = event.description();
                        event_loop::timed(&counters, || description.to_string(), || self.handle_event(event));
                    }
                    None => return,
                },
            }
            self.report_unsent();
        }
    }

    /// Runs the timers that are due, and updates the gauges.
    fn run_timers(&mut self) {
        let now = self.balance.host.shared.clock.now();
        let counters = self.balance.host.shared.counters.clone();
        while let Some(Reverse((at, token))) = self.balance.host.pop_due_timer(now) {
            event_loop::timer_fired(&counters, Duration::from_nanos(now.saturating_sub(at)));
            self.balance.timer_fired(now, token);
        }
        let idle_connections = self.balance.host.shared.upstream.idle_count();
        counters.gauges.update(&self.balance.status(), idle_connections);
        self.balance.host.log_budget.report_at(now);
        if self.memory_check_at <= now {
            self.memory_check_at = now + MEMORY_CHECK_INTERVAL;
            self.memory_monitor.check();
        }
    }

    fn handle_command(&mut self, command: ControlCommand) {
        let now = self.balance.host.shared.clock.now();
        match command {
            ControlCommand::LookUp(uid, answer) => {
                let host = &self.balance.host;
                let known = host.nodes.find_by_uid(&uid).and_then(|node| host.nodes.get(node));
                let kind = |known: &NodeEntry| if known.origin { NodeKind::Origin } else { NodeKind::Cache };
                let _ = answer.send(known.map_or(NodeKind::Unknown, kind));
            }
            ControlCommand::SetMaintenance(uid, out_of_service, done) => {
                self.set_maintenance(now, &uid, out_of_service);
                let _ = done.send(());
            }
            ControlCommand::Probe(uid) => {
                let host = &mut self.balance.host;
                let sent = host.nodes.find_by_uid(&uid).is_some_and(|node| host.send_probe(node));
                if let Some(prober) = host.prober.as_ref().filter(|_| !sent) {
                    prober.probe_finished(&uid, false);
                }
            }
            ControlCommand::ProbeResult(uid, answered) => {
                if let Some(node) = self.balance.host.nodes.find_by_uid(&uid) {
                    let outcome = if answered { Outcome::Completed } else { Outcome::Unreachable };
                    self.balance.probe_finished(node, outcome);
                }
            }
            ControlCommand::ApplySettings(settings, done) => {
                self.balance.settings_changed(now, &settings);
                let _ = done.send(());
            }
        }
    }

    /// Takes a node out of service or puts it back, whether it is listed or not.
    pub fn set_maintenance(&mut self, now: Nanos, uid: &str, out_of_service: bool) {
        tracing::info!("maintenance: {uid} {}", if out_of_service { "out" } else { "back" });
        self.balance.maintenance_changed(now, stable_hash(uid), out_of_service);
    }

    fn handle_event(&mut self, event: Event) {
        let now = self.balance.host.shared.clock.now();
        match event {
            // Nodes identify a request by its id: with two open requests of one id, either client could get
            // the other's value.
            Event::RequestReceived(_, _, request, answer)
                if self.balance.host.open_ids.contains(&request.id) =>
            {
                self.balance.host.shared.counters.exchanges_rejected.add();
                let _ = answer.send(Answer::Rejected(Bytes::from_static(b"ERR id of an open request")));
            }
            Event::RequestReceived(request_id, ask, request, answer) => {
                // The time that the client has left is computed once, from the arrival of the request's last
                // byte.
                let client_timeout = request.deadline.saturating_sub(now);
                self.balance.host.open_ids.insert(request.id.clone());
                self.balance.host.shared.counters.exchanges_taken.add();
                let cancel = CancellationToken::new();
                let open = OpenRequest { request, answer: Some(answer), attempts: 0, cancel };
                self.balance.host.open_requests.insert(request_id, open);
                self.balance.request_arrived(now, request_id, RequestParams { client_timeout, ..ask });
            }
            Event::ClientDisconnected(request_id) => {
                if self.balance.host.take_answer(request_id).is_some() {
                    self.balance.host.shared.counters.exchanges_dropped.add();
                    self.balance.request_cancelled(now, request_id);
                }
            }
            Event::AttemptEnded(request_id, attempt_number, node, result) => {
                self.attempt_ended(now, request_id, attempt_number, node, result)
            }
            Event::ProbeEnded(node, result) => {
                if result.outcome != Outcome::Completed {
                    self.balance.host.shared.counters.probes_failed.add();
                }
                self.record_load(now, node, result.reported_load);
                let host = &self.balance.host;
                match (&host.prober, host.nodes.get(node)) {
                    // The prober reports the result back to this process too, if its balancer asked for it.
                    (Some(prober), Some(known)) => {
                        prober.probe_finished(&known.uid, result.outcome == Outcome::Completed)
                    }
                    _ => self.balance.probe_finished(node, result.outcome),
                }
            }
            Event::NodesListed(part) => self.apply_list_part(part),
            Event::ListFailed => self.balance.list_request_failed(now),
        }
    }

    fn attempt_ended(
        &mut self,
        now: Nanos,
        request_id: RequestId,
        attempt_number: usize,
        node: Node,
        result: AttemptResult,
    ) {
        let host = &mut self.balance.host;
        let counters = host.shared.counters.clone();
        counters.count_attempt(result.outcome);
        if let Some(open) = host.open_requests.get(&request_id) {
            let (id, outcome) = (String::from_utf8_lossy(&open.request.id), result.outcome);
            tracing::debug!("request {id}: attempt {attempt_number} at node {node} ended: {outcome:?}");
        }
        // A value or a rejection is the node's answer to the client.
        let answer = match (result.outcome, result.value) {
            (Outcome::Completed, value) => Some((&counters.exchanges_completed, Answer::Completed(value))),
            (Outcome::Rejected, Value::Whole(why)) => {
                Some((&counters.exchanges_rejected, Answer::Rejected(why)))
            }
            _ => None,
        };
        if let Some((counter, answer)) = answer
            && let Some(client) = host.take_answer(request_id)
        {
            counter.add();
            let _ = client.send(answer);
        }
        let answered = host.open_requests.get(&request_id).is_none_or(|open| open.answer.is_none());
        self.record_load(now, node, result.reported_load);
        self.balance.attempt_ended(now, request_id, attempt_number, result.outcome, answered);
    }

    fn record_load(&mut self, now: Nanos, node: Node, load: Option<ReportedLoad>) {
        if let Some(load) = load {
            self.balance.load_reported(now, node, load);
        }
    }

    /// Applies a full list, or changes to it.
    pub fn apply_list(&mut self, full: bool, nodes: Vec<DiscoveredNode>) {
        self.apply_list_part(ListPart { nodes, full, first: true, last: true });
    }

    /// Applies some entries of a list. After the last part of a full list, nodes that it did not name are
    /// gone.
    fn apply_list_part(&mut self, part: ListPart) {
        let now = self.balance.host.shared.clock.now();
        if part.first {
            self.full_list.clear();
        }
        for discovered_node in part.nodes {
            let Some(node) = self.balance.host.node_number(&discovered_node) else { continue };
            self.balance.node_listed(now, node, discovered_node.listed);
            self.full_list.extend(part.full.then_some(node));
        }
        if part.full && part.last {
            let nodes = std::mem::take(&mut self.full_list);
            self.balance.list_completed(&nodes);
        }
    }

    /// Reports attempts and probes that could not be sent, until the balancer asks for no more of them.
    fn report_unsent(&mut self) {
        while let Some((request_id, attempt_number, node)) = self.balance.host.unsent_attempts.pop() {
            let now = self.balance.host.shared.clock.now();
            self.attempt_ended(now, request_id, attempt_number, node, Outcome::Unsent.into());
        }
        while let Some(node) = self.balance.host.unsent_probes.pop() {
            self.balance.probe_finished(node, Outcome::Unsent);
        }
    }
}

impl DispatcherHost {
    /// Removes and returns the next timer if it is due.
    fn pop_due_timer(&mut self, now: Nanos) -> Option<Reverse<(Nanos, u64)>> {
        let due = self.timers.peek().is_some_and(|Reverse((at, _))| *at <= now);
        if due { self.timers.pop() } else { None }
    }

    /// The sender for the final answer; `None` once the request has been answered.
    fn take_answer(&mut self, request_id: RequestId) -> Option<oneshot::Sender<Answer>> {
        let open = self.open_requests.get_mut(&request_id)?;
        let answer = open.answer.take()?;
        self.open_ids.remove(&open.request.id);
        Some(answer)
    }

    /// Logs a line about a node. There may be thousands of nodes, so lines beyond the budget get level debug.
    fn log_node(&mut self, line: impl std::fmt::Display) {
        if self.log_budget.allow(self.shared.clock.now()) {
            tracing::info!("{line}");
        } else {
            tracing::debug!("{line}");
        }
    }

    /// The node's number, which is new for a node seen the first time. `None` for a node that left before it
    /// was known.
    fn node_number(&mut self, discovered_node: &DiscoveredNode) -> Option<Node> {
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
    fn send_probe(&mut self, node: Node) -> bool {
        let sent =
            self.start_attempt(node, NodeOperation::Probe { deadline: Instant::now() + PROBE_TIMEOUT });
        if sent {
            self.shared.counters.probes_sent.add();
        }
        sent
    }

    /// Starts an attempt or probe; false if the node is no longer known.
    fn start_attempt(&mut self, node: Node, operation: NodeOperation) -> bool {
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
        self.open_requests.remove(&request_id);
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
        if let Some(open) = self.open_requests.get(&request_id) {
            let (id, reason) = (String::from_utf8_lossy(&open.request.id), reason.name());
            tracing::debug!("request {id}: given up after {attempts} attempts: {reason}");
        }
    }
}
