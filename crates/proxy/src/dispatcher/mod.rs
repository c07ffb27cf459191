//! The dispatcher actor: the balancer of `pumicebay-core`, its mailbox, and the host that carries out what
//! the balancer asks for. No handler ever waits for I/O.

mod claimed_ids;
mod host;

use crate::control::{ControlCommand, NodeKind};
use crate::dispatcher::host::{DispatcherHost, OpenRequest};
use crate::event_loop;
use crate::fleet::probe_handle::ProbeHandle;
use crate::memory::MemoryMonitor;
use crate::messages::{Answer, AttemptResult, DiscoveredNode, Event, ListPart, Mailbox};
use crate::nodes::NodeEntry;
use crate::phases::Phase;
use crate::shared::Shared;
use crate::streaming::Value;
use bytes::Bytes;
use pumicebay_core::{Balancer, Nanos, Node, Outcome, ReportedLoad, RequestId, RequestParams, Settings};
use pumicebay_names::stable_hash;
use std::cmp::Reverse;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::sleep_until;
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

impl Dispatcher {
    /// Creates the dispatcher. `follow_discovery` asks discovery to send changes from now on.
    pub fn new(
        shared: Shared,
        settings: Settings,
        follow_discovery: mpsc::Sender<()>,
        mailbox: Mailbox,
    ) -> Dispatcher {
        let (clock, config) = (shared.clock, shared.config.clone());
        let host = DispatcherHost::new(shared, follow_discovery);
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
            Event::RequestReceived(_, _, request, answer)
                if !request.may_run_twice && !self.balance.host.claimed_ids.claim(now, &request.id) =>
            {
                self.balance.host.shared.counters.ids_repeated.add();
                let _ = answer.send(Answer::Rejected(Bytes::from_static(b"ERR id of an earlier request")));
            }
            Event::RequestReceived(request_id, ask, request, answer) => {
                // The time that the client has left is computed once, from the arrival of the request's last
                // byte.
                let client_timeout = request.deadline.saturating_sub(now);
                self.balance.host.open_ids.insert(request.id.clone());
                self.balance.host.shared.counters.exchanges_taken.add();
                let cancel = CancellationToken::new();
                let open =
                    OpenRequest { request, answer: Some(answer), attempts: 0, may_have_run: 0, cancel };
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
            Event::ReplyStalled(request_id, attempt_number) => {
                self.balance.reply_stalled(now, request_id, attempt_number)
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
        if let Some(open) = host.open_requests.get_mut(&request_id) {
            if result.outcome.never_ran() {
                open.may_have_run = open.may_have_run.saturating_sub(1);
            }
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
            let DiscoveredNode { address, listed, .. } = discovered_node;
            let effects = self.balance.host.nodes.record_listing(node, address, listed);
            if effects.process_replaced {
                // They lead to the process before.
                self.balance.host.shared.upstream.close_idle(node);
            }
            self.full_list.extend(part.full.then_some(node));
            for node in [Some(node), effects.relisted].into_iter().flatten() {
                self.apply_listing(now, node);
            }
        }
        if part.full && part.last {
            let nodes = std::mem::take(&mut self.full_list);
            for node in self.balance.host.nodes.retain_listed(&nodes) {
                self.apply_listing(now, node);
            }
            self.balance.list_completed(&nodes);
        }
    }

    /// Tells the balancer what holds of a node.
    fn apply_listing(&mut self, now: Nanos, node: Node) {
        let Some(listed) = self.balance.host.nodes.listing(node) else { return };
        self.balance.node_listed(now, node, listed);
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
