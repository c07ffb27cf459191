//! The world in virtual time: it takes what the proxies do, lets the model's parts work on it, and tells the
//! proxies what comes of it.

use crate::audit::{Auditor, FinalAnswer};
use crate::metrics::{OperationOutcome, RunMetrics};
use crate::simulated_proxy::{ProxyAction, ProxyInput, Scheduled, key_hash, node_uid};
use hashbrown::HashMap;
use pumicebay_core::table::rendezvous;
use pumicebay_core::{Nanos, Node, Outcome, RequestId, RequestParams};
use pumicebay_model::faults::{WorldChange, initially_absent_nodes, timeline};
use pumicebay_model::network::Network;
use pumicebay_model::node::CacheNode;
use pumicebay_model::origin::Origin;
use pumicebay_model::registry::{NodeEntry, NodeState, Registry};
use pumicebay_model::seeds::{Rng, rng};
use pumicebay_model::spec::{DiscoveryMode, Scenario};
use pumicebay_model::station::{Environment, Job, JobId, JobOutcome};
use pumicebay_model::traffic::{self, Operation, Traffic};
use pumicebay_model::{SECOND, millis, seconds};
use rand::RngExt;
use std::collections::BinaryHeap;
use std::sync::Arc;

/// Tries that an exchange has at most, as part of a job's number.
const MAX_ATTEMPTS: u64 = 16;
/// A silent list is given up after this.
const LIST_TIMEOUT: Nanos = 3 * SECOND / 2;
const AUDIT_INTERVAL: Nanos = SECOND;

/// A try's number at its node.
fn job_id(request: RequestId, attempt: usize) -> JobId {
    request * MAX_ATTEMPTS + (attempt as u64).min(MAX_ATTEMPTS - 1)
}

enum Event {
    Action(usize, ProxyAction),
    JobFinished(Node, JobId),
    Change(WorldChange),
    /// Discovery gets to know what a node says of itself.
    RegistryUpdate(Node),
    /// A node that fell over comes back.
    NodeRestart(Node),
    Retry(u64, usize),
    ClientTimeout(RequestId),
    ConnectionLost(RequestId, Nanos),
    Audit,
}

/// A try that a node has.
#[derive(Clone, Copy)]
struct JobOrigin {
    proxy: usize,
    node: Node,
}

struct OpenRequest {
    operation_id: u64,
    proxy: usize,
    sent: Nanos,
    missed_nodes: Vec<Node>,
}

struct PendingOperation {
    operation: Operation,
    requests: u32,
    /// Proxies that refused in a row.
    refusals: usize,
    last: OperationOutcome,
}

/// What every part needs while another is at work.
struct Core {
    now: Nanos,
    order: u64,
    events: BinaryHeap<Scheduled<Event>>,
    inputs: Vec<(usize, Nanos, ProxyInput)>,
    network: Network,
    rng: Rng,
    zones: usize,
    jobs: HashMap<JobId, JobOrigin>,
    epochs: Vec<u64>,
    auditor: Auditor,
    metrics: RunMetrics,
    overloaded_nodes: Vec<Node>,
}

impl Core {
    fn schedule(&mut self, at: Nanos, message: Event) {
        self.order += 1;
        self.events.push(Scheduled { at, order: self.order, message });
    }

    fn zone(&self, node: Node) -> usize {
        if node + 1 >= self.epochs.len() { 0 } else { node % self.zones }
    }

    /// Back from a node to a proxy.
    fn delay(&mut self, node: Node, proxy: usize) -> Nanos {
        let (from, to) = (self.zone(node), proxy % self.zones);
        self.network.delay(&mut self.rng, from, to)
    }

    fn send_input(&mut self, proxy: usize, at: Nanos, what: ProxyInput) {
        self.inputs.push((proxy, at, what));
    }

    /// The outcome of a try goes back to its proxy, after so long at least.
    fn send_outcome(&mut self, at: JobOrigin, job: JobId, outcome: Outcome, after: Nanos) {
        let (request, attempt) = (job / MAX_ATTEMPTS, (job % MAX_ATTEMPTS) as usize);
        let due = self.now + after + self.delay(at.node, at.proxy);
        self.auditor.attempt_ended(due, request, self.cache(at.node));
        let epoch = self.epochs[at.node];
        self.send_input(
            at.proxy,
            due,
            ProxyInput::AttemptEnded { request, attempt, outcome, epoch, value: request },
        );
    }

    /// The node's number where it is a cache.
    fn cache(&self, node: Node) -> Option<usize> {
        (node + 1 < self.epochs.len()).then_some(node)
    }
}

/// A node at work.
struct NodeEnvironment<'a> {
    core: &'a mut Core,
    node: Node,
    /// What was done at last, for whoever had the node do it.
    done: Option<(JobId, JobOutcome)>,
}

impl Environment for NodeEnvironment<'_> {
    fn schedule_completion(&mut self, at: Nanos, job: JobId) {
        self.core.schedule(at, Event::JobFinished(self.node, job));
    }

    fn execution_started(&mut self, job: JobId) {
        let (now, node) = (self.core.now, self.core.cache(self.node));
        self.core.auditor.executed(now, job / MAX_ATTEMPTS, node);
    }

    fn respond(&mut self, job: JobId, verdict: JobOutcome) {
        self.done = Some((job, verdict));
        let Some(at) = self.core.jobs.remove(&job) else { return };
        let outcome = match verdict {
            JobOutcome::Completed => Outcome::Completed,
            JobOutcome::Missed => Outcome::Missed,
            JobOutcome::Rejected => Outcome::Saturated,
            JobOutcome::Failed | JobOutcome::Corrupted => Outcome::Errored,
        };
        self.core.send_outcome(at, job, outcome, 0);
    }

    fn crashed(&mut self, _now: Nanos) {
        self.core.overloaded_nodes.push(self.node);
    }
}

pub struct World {
    scenario: Scenario,
    core: Core,
    nodes: Vec<CacheNode>,
    origin: Origin,
    registry: Registry,
    discovery_delay: Nanos,
    announces_gone: Vec<bool>,
    clock_offsets: Vec<Option<i64>>,
    departed: Vec<bool>,
    proxies: Vec<ProxyView>,
    traffic: Traffic,
    next_operation: Option<Operation>,
    operations: HashMap<u64, PendingOperation>,
    requests: HashMap<RequestId, OpenRequest>,
    last_operation_id: u64,
    last_request_id: RequestId,
    client_rng: Rng,
    retry_rng: Rng,
}

/// What discovery has told a proxy.
#[derive(Clone, Default)]
struct ProxyView {
    watches_list: bool,
    version: u64,
    announced_at: Nanos,
    incarnation: u64,
}

impl World {
    pub fn new(scenario: &Scenario, seed: u64) -> World {
        let nodes = scenario.nodes.count;
        let core = Core {
            now: 0,
            order: 0,
            events: BinaryHeap::new(),
            inputs: Vec::new(),
            network: Network::new(&scenario.network),
            rng: rng(seed, "network", 0),
            zones: scenario.nodes.zones,
            jobs: HashMap::new(),
            epochs: vec![1; nodes + 1],
            auditor: Auditor::new(scenario, millis(1.0)),
            metrics: RunMetrics::new(scenario),
            overloaded_nodes: Vec::new(),
        };
        let mut traffic = Traffic::new(scenario, seed);
        let next_operation = traffic.next();
        let mut world = World {
            core,
            nodes: (0..nodes).map(|node| CacheNode::new(&scenario.nodes, seed, node)).collect(),
            origin: Origin::new(&scenario.origin, seed),
            registry: Registry::default(),
            discovery_delay: 0,
            announces_gone: vec![false; nodes],
            clock_offsets: vec![None; nodes],
            departed: vec![false; nodes],
            proxies: vec![ProxyView::default(); scenario.proxies.count],
            traffic,
            next_operation,
            operations: HashMap::new(),
            requests: HashMap::new(),
            last_operation_id: 0,
            last_request_id: 0,
            client_rng: rng(seed, "clients", 0),
            retry_rng: rng(seed, "retries", 0),
            scenario: scenario.clone(),
        };
        world.initialize(seed);
        world
    }

    fn initialize(&mut self, seed: u64) {
        for node in initially_absent_nodes(&self.scenario) {
            self.nodes[node].up = false;
            self.departed[node] = true;
        }
        for (node, keys) in warm_keys(&self.scenario, &self.nodes) {
            for key in keys {
                self.nodes[node].store.insert(key, traffic::value_bytes(&self.scenario, key));
            }
        }
        for node in 0..self.nodes.len() {
            self.registry.update(self.self_reported_entry(node));
        }
        self.registry.update(NodeEntry { node: self.nodes.len(), state: NodeState::Ready, started_at: 0 });
        // Proxies do not start in step.
        let mut starts = rng(seed, "starts", 0);
        for proxy in 0..self.proxies.len() {
            let at = starts.random_range(0..millis(100.0));
            self.start_proxy(proxy, at);
        }
        for (at, change) in timeline(&self.scenario) {
            if let WorldChange::Kill(proxy) = change {
                self.core.send_input(proxy, at, ProxyInput::Kill);
            }
            self.core.schedule(at, Event::Change(change));
        }
        self.core.schedule(AUDIT_INTERVAL, Event::Audit);
    }

    /// What a node is, as it says itself.
    fn self_reported_entry(&self, node: Node) -> NodeEntry {
        let gone = self.departed[node] || self.announces_gone[node];
        self.nodes[node].registry_entry(node, self.core.now, gone, self.clock_offsets[node])
    }

    pub fn next_event_at(&self) -> Nanos {
        let event = self.core.events.peek().map_or(Nanos::MAX, |due| due.at);
        event.min(self.next_operation.map_or(Nanos::MAX, |operation| operation.start))
    }

    /// Whether all that was asked for has come to its end.
    pub fn done(&self) -> bool {
        self.next_operation.is_none() && self.operations.is_empty()
    }

    /// Takes what a proxy did.
    pub fn apply(&mut self, proxy: usize, at: Nanos, what: ProxyAction) {
        self.core.schedule(at, Event::Action(proxy, what));
    }

    /// Mail to the proxies since last asked, in its order.
    pub fn drain_inputs(&mut self) -> std::vec::Drain<'_, (usize, Nanos, ProxyInput)> {
        self.core.inputs.drain(..)
    }

    /// The rules and the counts, once the day is over.
    pub fn finish(mut self) -> (Auditor, RunMetrics) {
        self.core.auditor.finish();
        (self.core.auditor, self.core.metrics)
    }

    /// Plays all that happens before that time.
    pub fn run_until(&mut self, until: Nanos) {
        while self.next_event_at() < until {
            let event = self.core.events.peek().map_or(Nanos::MAX, |due| due.at);
            if let Some(operation) = self.next_operation.filter(|operation| operation.start <= event) {
                self.core.now = operation.start;
                self.next_operation = self.traffic.next();
                self.operation_started(operation);
            } else if let Some(due) = self.core.events.pop() {
                self.core.now = due.at;
                self.handle(due.message);
            }
            while let Some(node) = self.core.overloaded_nodes.pop() {
                self.node_overloaded(node);
            }
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Action(proxy, what) => self.handle_action(proxy, what),
            Event::JobFinished(node, job) => self.job_finished(node, job),
            Event::Change(change) => self.apply_change(change),
            Event::RegistryUpdate(node) => {
                if self.registry.update(self.self_reported_entry(node)) {
                    self.announce_to_all();
                }
            }
            Event::NodeRestart(node) => self.start_node(node),
            Event::Retry(operation_id, proxy) => self.send_request(operation_id, proxy),
            Event::ClientTimeout(request) => self.request_ended(request, OperationOutcome::Lost, 0),
            Event::ConnectionLost(request, died) => {
                if self.requests.contains_key(&request) {
                    self.core.auditor.request_abandoned(died, request);
                    self.request_ended(
                        request,
                        OperationOutcome::Lost,
                        millis(self.scenario.clients.failover_ms),
                    );
                }
            }
            Event::Audit => {
                let now = self.core.now;
                self.core.auditor.audit_due(now);
                if !self.done() {
                    self.core.schedule(now + AUDIT_INTERVAL, Event::Audit);
                }
            }
        }
    }

    // ---- Clients --------------------------------------------------------------------------------

    fn operation_started(&mut self, operation: Operation) {
        self.last_operation_id += 1;
        let pending = PendingOperation { operation, requests: 0, refusals: 0, last: OperationOutcome::Lost };
        self.operations.insert(self.last_operation_id, pending);
        self.send_request(self.last_operation_id, operation.proxy);
    }

    fn send_request(&mut self, operation_id: u64, proxy: usize) {
        let now = self.core.now;
        let Some(pending) = self.operations.get_mut(&operation_id) else { return };
        pending.requests += 1;
        let (operation, route) = (pending.operation, &self.scenario.route[pending.operation.route]);
        self.last_request_id += 1;
        let request = self.last_request_id;
        let timeout = millis(route.timeout_ms);
        let params = RequestParams {
            route: operation.route,
            tenant: (!self.scenario.tenant.is_empty()).then_some(operation.tenant),
            key: Some(key_hash(operation.key)),
            write: route.write,
            work_hint: None,
            client_timeout: timeout,
            is_retry: pending.requests > 1,
        };
        let at = now + self.core.network.delay(&mut self.client_rng, 0, 0);
        self.core.metrics.requests += 1;
        self.core.auditor.request_accepted(at, request, proxy, operation.route, at + timeout);
        self.core.auditor.set_client_deadline(request, now + timeout);
        self.core.send_input(proxy, at, ProxyInput::RequestArrived { request, params });
        self.core.schedule(now + timeout + traffic::CLIENT_TIMEOUT_MARGIN, Event::ClientTimeout(request));
        self.requests
            .insert(request, OpenRequest { operation_id, proxy, sent: now, missed_nodes: Vec::new() });
    }

    /// An exchange ended for its client; it may ask again.
    fn request_ended(&mut self, request: RequestId, outcome: OperationOutcome, pause: Nanos) {
        let Some(open) = self.requests.remove(&request) else { return };
        let Some(pending) = self.operations.get_mut(&open.operation_id) else { return };
        let served = matches!(outcome, OperationOutcome::Served(_));
        pending.last = outcome;
        let repeatable =
            !self.scenario.route[pending.operation.route].write || outcome == OperationOutcome::Shed;
        let retry_delay = match served || !repeatable {
            true => None,
            false => traffic::retry_delay(&self.scenario, &mut self.retry_rng, pending.requests, pause),
        };
        match retry_delay {
            Some(wait) => {
                let proxy_step = usize::from(outcome == OperationOutcome::Lost);
                let proxy = (open.proxy + proxy_step) % self.scenario.proxies.count;
                self.core.schedule(self.core.now + wait, Event::Retry(open.operation_id, proxy));
            }
            None => {
                if let Some(pending) = self.operations.remove(&open.operation_id) {
                    self.core.metrics.operation_finished(&pending.operation, pending.last);
                }
            }
        }
    }

    /// The connection was refused: another proxy is asked at once, until all were.
    fn connection_refused(&mut self, request: RequestId) {
        let now = self.core.now;
        self.core.auditor.request_abandoned(now, request);
        self.core.metrics.refused += 1;
        let Some(open) = self.requests.remove(&request) else { return };
        let Some(pending) = self.operations.get_mut(&open.operation_id) else { return };
        pending.refusals += 1;
        // Nothing was taken: it does not count as a try.
        pending.requests -= 1;
        if pending.refusals < self.scenario.proxies.count.min(traffic::MAX_CONNECTION_REFUSALS) {
            self.send_request(open.operation_id, (open.proxy + 1) % self.scenario.proxies.count);
        } else if let Some(pending) = self.operations.remove(&open.operation_id) {
            self.core.metrics.operation_finished(&pending.operation, OperationOutcome::Lost);
        }
    }

    fn answered(&mut self, request: RequestId, sent: Nanos, answer: FinalAnswer, sound: bool, pause: Nanos) {
        self.core.auditor.answered(sent, request, answer, sound);
        let Some(open) = self.requests.get(&request) else { return };
        debug_assert!(open.sent <= sent);
        let since = self.operations.get(&open.operation_id).map_or(sent, |pending| pending.operation.start);
        let outcome = match answer {
            FinalAnswer::Served => OperationOutcome::Served(self.core.now - since),
            FinalAnswer::Shed => OperationOutcome::Shed,
            FinalAnswer::Errored => OperationOutcome::Errored,
        };
        match answer {
            FinalAnswer::Shed => self.core.metrics.shed += 1,
            FinalAnswer::Errored => self.core.metrics.errored += 1,
            FinalAnswer::Served => {}
        }
        self.request_ended(request, outcome, pause);
    }

    // ---- What proxies do --------------------------------------------------------------------------

    fn handle_action(&mut self, proxy: usize, what: ProxyAction) {
        match what {
            ProxyAction::Attempt { request, attempt, node, sent, epoch, advertised_timeout } => {
                self.attempt_arrived(JobOrigin { proxy, node }, job_id(request, attempt), sent, epoch);
                let cache = self.core.cache(node);
                self.core.auditor.timeout_advertised(sent, request, cache, Some(advertised_timeout));
            }
            ProxyAction::Cancel { request, attempt, node, sent } => {
                let job = job_id(request, attempt);
                self.core.auditor.attempt_ended(sent, request, self.core.cache(node));
                self.core.jobs.remove(&job);
                match self.nodes.get_mut(node) {
                    Some(node) => {
                        node.cancel(job);
                        node.disconnect();
                    }
                    None => self.origin.cancel(job),
                }
            }
            ProxyAction::Severed { request, attempt, node, sent } => {
                self.core.auditor.attempt_ended(sent, request, self.core.cache(node));
                self.core.jobs.remove(&job_id(request, attempt));
            }
            ProxyAction::Close { node, epoch } => {
                if self.core.epochs[node] == epoch
                    && let Some(node) = self.nodes.get_mut(node)
                {
                    node.disconnect();
                }
            }
            ProxyAction::Served { request, sent, value } => {
                self.answered(request, sent, FinalAnswer::Served, value == request, 0);
            }
            ProxyAction::Shed { request, sent, pause } => {
                self.answered(request, sent, FinalAnswer::Shed, true, pause)
            }
            ProxyAction::Errored { request, sent } => {
                self.answered(request, sent, FinalAnswer::Errored, true, 0)
            }
            ProxyAction::Refused { request } => self.connection_refused(request),
            ProxyAction::Probe { node } => self.probe(proxy, node),
            ProxyAction::WatchNodeList => self.watch_node_list(proxy),
            ProxyAction::Log(_) => self.core.metrics.log_lines += 1,
        }
    }

    fn attempt_arrived(&mut self, at: JobOrigin, job: JobId, sent: Nanos, epoch: Option<u64>) {
        let (now, request) = (self.core.now, job / MAX_ATTEMPTS);
        let cache = self.core.cache(at.node);
        self.core.metrics.attempts += 1;
        self.core.auditor.attempt_sent(sent, request, cache);
        if !self.core.network.can_reach(at.proxy, at.node) {
            if epoch.is_none() {
                self.core.send_outcome(at, job, Outcome::Unreachable, millis(crate::platform::CONNECT_MS));
            }
            return;
        }
        let up = match cache {
            Some(node) => match epoch {
                Some(epoch) => self.nodes[node].up && epoch == self.core.epochs[node],
                None => self.nodes[node].connect(),
            },
            None => self.origin.is_up(now),
        };
        if !up {
            let lost = if epoch.is_some() { Outcome::Severed } else { Outcome::Unreachable };
            return self.core.send_outcome(at, job, lost, 0);
        }
        let Some(open) = self.requests.get(&request) else {
            // Its client is gone, and so is what it asked for: the node turns it away.
            return self.core.send_outcome(at, job, Outcome::Saturated, 0);
        };
        let operation = self.operations[&open.operation_id].operation;
        let route = &self.scenario.route[operation.route];
        let job = Job {
            id: job,
            key: operation.key,
            value_bytes: operation.value_bytes,
            service_time: millis(route.service_ms),
            write: route.write,
        };
        self.core.jobs.insert(job.id, at);
        cache.into_iter().for_each(|node| self.core.auditor.node_received(now, request, node));
        let mut environment = NodeEnvironment { core: &mut self.core, node: at.node, done: None };
        match self.nodes.get_mut(at.node) {
            Some(node) => node.job_arrived(now, job, &mut environment),
            None => self.origin.job_arrived(now, job, &mut environment),
        }
    }

    fn job_finished(&mut self, node: Node, job: JobId) {
        let now = self.core.now;
        let asked = self.core.jobs.contains_key(&job);
        let mut environment = NodeEnvironment { core: &mut self.core, node, done: None };
        match self.nodes.get_mut(node) {
            Some(node) => node.job_finished(now, job, &mut environment),
            None => self.origin.job_finished(now, job, &mut environment),
        }
        // Others may have begun and ended at once, but this one's verdict was the first.
        let Some((_, verdict)) = environment.done.filter(|(done, _)| *done == job) else { return };
        let request = job / MAX_ATTEMPTS;
        match (node < self.nodes.len(), verdict) {
            (true, JobOutcome::Missed) => {
                self.core.metrics.misses += 1;
                if let Some(open) = self.requests.get_mut(&request) {
                    open.missed_nodes.push(node);
                }
            }
            (true, JobOutcome::Completed) => {
                self.core.metrics.hits += 1;
                self.core.metrics.served(now, Some(node));
            }
            (false, JobOutcome::Completed) => self.origin_answered(request, asked),
            _ => {}
        }
    }

    /// The origin has answered: where it was missed a copy is kept, and what was written drops all copies.
    fn origin_answered(&mut self, request: RequestId, asked: bool) {
        self.core.metrics.served(self.core.now, None);
        let Some(open) = self.requests.get(&request) else { return };
        let operation = self.operations[&open.operation_id].operation;
        if self.scenario.route[operation.route].write {
            self.nodes.iter_mut().for_each(|node| node.store.remove(operation.key));
        } else if asked {
            for &node in &open.missed_nodes {
                if self.nodes[node].up {
                    self.nodes[node].store.insert(operation.key, operation.value_bytes);
                }
            }
        }
    }

    fn probe(&mut self, proxy: usize, node: Node) {
        let now = self.core.now;
        let live_nodes = self.core.network.can_reach(proxy, node);
        let (up, silent) = match self.nodes.get(node) {
            Some(node) => (node.up && !node.refuses_connections, node.unresponsive),
            None => (self.origin.is_up(now), false),
        };
        let (outcome, after) = match (live_nodes, up, silent) {
            (false, ..) => (Outcome::Unreachable, millis(crate::platform::CONNECT_MS)),
            (true, false, _) => (Outcome::Unreachable, 0),
            (true, true, true) => (Outcome::Overdue, SECOND),
            (true, true, false) => (Outcome::Completed, 0),
        };
        let due = now + after + self.core.delay(node, proxy);
        self.core.send_input(proxy, due, ProxyInput::ProbeFinished { node, outcome });
    }

    // ---- Discovery --------------------------------------------------------------------------------

    /// A proxy's process begins at that time, with the list as it is now.
    fn start_proxy(&mut self, proxy: usize, at: Nanos) {
        let entries = self.registry.snapshot();
        self.core.auditor.proxy_restarted(proxy);
        for entry in entries.iter().filter(|entry| entry.node < self.nodes.len()) {
            self.core.auditor.state_announced(at, proxy, entry.node, entry.state);
            self.core.auditor.start_announced(at, proxy, entry.node, entry.started_at);
        }
        let view = &mut self.proxies[proxy];
        view.incarnation += 1;
        view.version = self.registry.version();
        view.announced_at = at;
        view.watches_list = self.scenario.discovery.mode == DiscoveryMode::Push;
        let incarnation = view.incarnation;
        self.core.send_input(proxy, at, ProxyInput::Start { entries: Arc::new(entries), incarnation });
    }

    fn announce_to_all(&mut self) {
        (0..self.proxies.len()).for_each(|proxy| self.announce_changes(proxy));
    }

    /// Tells a proxy what changed since it was last told.
    fn announce_changes(&mut self, proxy: usize) {
        let view = &mut self.proxies[proxy];
        if self.registry.unresponsive || !view.watches_list || view.version == self.registry.version() {
            return;
        }
        let entries = self.registry.changes_since(view.version);
        view.version = self.registry.version();
        let usual = millis(self.scenario.discovery.propagation_ms);
        let delay = self.core.network.min_delay()
            + self.discovery_delay
            + self.core.rng.random_range(usual..=2 * usual);
        view.announced_at = (self.core.now + delay).max(view.announced_at + 1);
        let at = view.announced_at;
        for entry in entries.iter().filter(|entry| entry.node < self.nodes.len()) {
            self.core.auditor.state_announced(at, proxy, entry.node, entry.state);
            self.core.auditor.start_announced(at, proxy, entry.node, entry.started_at);
        }
        self.core.send_input(
            proxy,
            at,
            ProxyInput::NodesListed { complete: false, entries: Arc::new(entries) },
        );
    }

    fn watch_node_list(&mut self, proxy: usize) {
        if self.registry.unresponsive {
            let at = self.core.now + LIST_TIMEOUT;
            self.core.send_input(proxy, at, ProxyInput::ListFailed);
        } else {
            self.proxies[proxy].watches_list = true;
            self.announce_changes(proxy);
        }
    }

    fn set_discovery(&mut self, responds: bool) {
        self.registry.unresponsive = !responds;
        if responds {
            return self.announce_to_all();
        }
        if self.scenario.discovery.mode == DiscoveryMode::Poll {
            let at = self.core.now + LIST_TIMEOUT;
            for proxy in 0..self.proxies.len() {
                if std::mem::take(&mut self.proxies[proxy].watches_list) {
                    self.core.send_input(proxy, at, ProxyInput::ListFailed);
                }
            }
        }
    }

    fn schedule_detection(&mut self, node: Node) {
        let after = millis(self.scenario.discovery.detection_ms);
        self.core.schedule(self.core.now + after, Event::RegistryUpdate(node));
    }

    // ---- What goes wrong --------------------------------------------------------------------------

    fn apply_change(&mut self, change: WorldChange) {
        let now = self.core.now;
        match change {
            WorldChange::Stop(node) => self.stop_node(node),
            WorldChange::Start(node) => self.start_node(node),
            WorldChange::NodeSpeed(node, factor) => self.nodes[node].slowdown = factor,
            WorldChange::Pause(node, until) => self.nodes[node].pause(until),
            WorldChange::Errors(node, share) => self.nodes[node].error_share = share,
            WorldChange::Spoils(node, share) => self.nodes[node].corrupt_share = share,
            WorldChange::Refuses(node, refuses) => self.nodes[node].refuses_connections = refuses,
            WorldChange::Silent(node, silent) => self.nodes[node].unresponsive = silent,
            WorldChange::Drain(node) => {
                self.nodes[node].draining_since = Some(now);
                self.announce_now(node);
            }
            WorldChange::Undrain(node) => {
                self.nodes[node].draining_since = None;
                self.announce_now(node);
            }
            WorldChange::Leave(node) => {
                self.departed[node] = true;
                self.stop_node(node);
                self.announce_now(node);
            }
            WorldChange::OriginSpeed(factor) => self.origin.slowdown = factor,
            WorldChange::OriginDown(down) => {
                self.origin.down = down;
                if down {
                    self.origin.stop();
                    self.break_connections(self.nodes.len());
                }
            }
            WorldChange::Void => self.nodes.iter_mut().for_each(|node| node.store.clear()),
            WorldChange::Kill(proxy) => self.kill_proxy(proxy),
            WorldChange::Discovery(responds) => self.set_discovery(responds),
            WorldChange::DiscoveryLate(discovery_delay) => self.discovery_delay = discovery_delay,
            WorldChange::Freeze(node, frozen) => {
                self.registry.set_frozen(node, frozen);
                self.announce_now(node);
            }
            WorldChange::Lie(node, announces_gone) => {
                self.announces_gone[node] = announces_gone;
                self.announce_now(node);
            }
            WorldChange::Clock(node, off) => {
                self.clock_offsets[node] = (off != 0).then_some(off);
                self.announce_now(node);
            }
            WorldChange::Cut(proxy, node, cut) => self.core.network.set_partitioned(proxy, node, cut),
        }
    }

    /// Discovery is told on purpose.
    fn announce_now(&mut self, node: Node) {
        self.core.schedule(self.core.now, Event::RegistryUpdate(node));
    }

    fn stop_node(&mut self, node: Node) {
        self.nodes[node].stop();
        self.break_connections(node);
        self.schedule_detection(node);
    }

    fn start_node(&mut self, node: Node) {
        if !self.nodes[node].up || self.departed[node] {
            self.nodes[node].start(self.core.now.max(1));
            self.core.auditor.node_started(self.core.now.max(1), node);
            self.departed[node] = false;
            self.core.epochs[node] += 1;
            self.schedule_detection(node);
        }
    }

    /// All connections to a node, or the origin, break, and its jobs are lost.
    fn break_connections(&mut self, node: Node) {
        self.core.epochs[node] += 1;
        self.core.jobs.retain(|_, at| at.node != node);
        for proxy in 0..self.proxies.len() {
            let due = self.core.now + self.core.delay(node, proxy);
            self.core.send_input(proxy, due, ProxyInput::NodeReset { node });
        }
    }

    fn node_overloaded(&mut self, node: Node) {
        let now = self.core.now;
        if let Some(cache) = self.core.cache(node) {
            self.core.metrics.cold_node_overloads += 1;
            self.core.auditor.cold_node_overloaded(now, cache);
            self.break_connections(node);
            self.schedule_detection(node);
            self.core.schedule(now + seconds(self.scenario.nodes.down_seconds), Event::NodeRestart(node));
        } else {
            self.core.metrics.origin_stops += 1;
            if self.origin.slowdown <= 1.0 {
                self.core.auditor.origin_stopped(now);
            }
            self.break_connections(node);
        }
    }

    fn kill_proxy(&mut self, proxy: usize) {
        let now = self.core.now;
        self.proxies[proxy].watches_list = false;
        let open = self.requests.iter().filter(|(_, open)| open.proxy == proxy).map(|(&request, _)| request);
        let mut open: Vec<RequestId> = open.collect();
        open.sort_unstable();
        // After all that it has still answered.
        let reset = now + 2 * self.core.network.min_delay() + millis(5.0);
        for request in open {
            self.core.auditor.request_abandoned(now, request);
            self.core.schedule(reset, Event::ConnectionLost(request, now));
        }
        let least = self.core.network.min_delay();
        self.start_proxy(proxy, now + seconds(self.scenario.proxies.restart_seconds).max(least));
    }
}

/// What each node holds at the start: the keys whose two highest rendezvous hashes it is among, the most
/// popular kept last, so that they stay.
pub fn warm_keys(scenario: &Scenario, nodes: &[CacheNode]) -> Vec<(Node, Vec<u64>)> {
    let live_nodes: Vec<(Node, u64)> = (0..nodes.len())
        .filter(|&node| nodes[node].up)
        .map(|node| (node, pumicebay_names::stable_hash(&node_uid(node))))
        .collect();
    let mut held_keys: Vec<(Node, Vec<u64>)> = (0..nodes.len()).map(|node| (node, Vec::new())).collect();
    let count = (scenario.clients.keys as f64 * scenario.clients.warm_keys) as u64;
    for rank in (1..=count).rev() {
        let key = traffic::key_at_rank(rank % scenario.clients.keys);
        let hash = key_hash(key);
        let mut best: [(u64, Node); 2] = [(0, usize::MAX); 2];
        for &(node, identity) in &live_nodes {
            let hash = rendezvous(hash, identity);
            if hash > best[0].0 {
                best = [(hash, node), best[0]];
            } else if hash > best[1].0 {
                best[1] = (hash, node);
            }
        }
        best.iter()
            .filter(|(_, node)| *node != usize::MAX)
            .for_each(|(_, node)| held_keys[*node].1.push(key));
    }
    held_keys
}
