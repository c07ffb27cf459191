//! Everything around the proxies in virtual time: clients, nodes, origin, network and discovery. The world
//! handles the actions of the proxies with the model's components and sends the proxies the results.

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

/// The number of job ids reserved for the attempts of one request; later attempts share the last id.
const JOB_IDS_PER_REQUEST: u64 = 16;
/// How long a proxy waits for a node list that does not answer.
const LIST_TIMEOUT: Nanos = 3 * SECOND / 2;
/// The interval at which the requests that are due are audited.
const AUDIT_INTERVAL: Nanos = SECOND;

/// The id of an attempt's job at its node.
fn job_id(request: RequestId, attempt: usize) -> JobId {
    request * JOB_IDS_PER_REQUEST + (attempt as u64).min(JOB_IDS_PER_REQUEST - 1)
}

enum Event {
    /// An action of this proxy arrives.
    Action(usize, ProxyAction),
    /// A node, or the origin, finishes a job.
    JobFinished(Node, JobId),
    /// A change from the scenario's fault timeline.
    Change(WorldChange),
    /// Discovery learns what a node reports about itself.
    RegistryUpdate(Node),
    /// A node that crashed from overload restarts.
    NodeRestart(Node),
    /// The client of this operation sends its next request, to this proxy.
    Retry(u64, usize),
    /// The client stops waiting for this request.
    ClientTimeout(RequestId),
    /// The client's connection breaks because its proxy died at this time.
    ConnectionLost(RequestId, Nanos),
    /// Audits the requests that are due.
    Audit,
}

/// The proxy and the node of an attempt.
#[derive(Clone, Copy)]
struct JobEndpoints {
    proxy: usize,
    node: Node,
}

/// A request whose client waits for its answer.
struct OpenRequest {
    operation_id: u64,
    proxy: usize,
    sent: Nanos,
    /// Cache nodes that reported a miss; they store the value once the origin has served it.
    missed_nodes: Vec<Node>,
}

/// An operation of a client that has not ended.
struct PendingOperation {
    operation: Operation,
    /// Requests sent so far, without those whose connection was refused.
    requests: u32,
    /// Connections that were refused so far.
    refusals: usize,
    /// The outcome of the latest request.
    last: OperationOutcome,
}

/// The state that nodes and the origin use while they are borrowed themselves.
struct Core {
    now: Nanos,
    /// The number of events scheduled so far, which orders events of the same time.
    order: u64,
    events: BinaryHeap<Scheduled<Event>>,
    /// Messages to proxies that were not taken yet: proxy, arrival time, message.
    inputs: Vec<(usize, Nanos, ProxyInput)>,
    network: Network,
    rng: Rng,
    zones: usize,
    /// The jobs whose proxy still waits for the outcome.
    jobs: HashMap<JobId, JobEndpoints>,
    /// By node, the origin last: the connection epoch. It grows whenever a node starts or its connections
    /// break; a connection of an earlier epoch is broken.
    epochs: Vec<u64>,
    auditor: Auditor,
    metrics: RunMetrics,
    /// Nodes that crashed from overload during the current event.
    overloaded_nodes: Vec<Node>,
}

impl Core {
    fn schedule(&mut self, at: Nanos, message: Event) {
        self.order += 1;
        self.events.push(Scheduled { at, order: self.order, message });
    }

    /// The zone of a node; the origin is in the first zone.
    fn zone(&self, node: Node) -> usize {
        if node + 1 >= self.epochs.len() { 0 } else { node % self.zones }
    }

    /// A random one-way delay from a node to a proxy.
    fn delay(&mut self, node: Node, proxy: usize) -> Nanos {
        let (from, to) = (self.zone(node), proxy % self.zones);
        self.network.delay(&mut self.rng, from, to)
    }

    fn send_input(&mut self, proxy: usize, at: Nanos, input: ProxyInput) {
        self.inputs.push((proxy, at, input));
    }

    /// Sends the outcome of an attempt to its proxy, which receives it after `after` and the network delay.
    fn send_outcome(&mut self, endpoints: JobEndpoints, job: JobId, outcome: Outcome, after: Nanos) {
        let (request, attempt) = (job / JOB_IDS_PER_REQUEST, (job % JOB_IDS_PER_REQUEST) as usize);
        let due = self.now + after + self.delay(endpoints.node, endpoints.proxy);
        self.auditor.attempt_ended(due, request, self.cache(endpoints.node));
        let epoch = self.epochs[endpoints.node];
        self.send_input(
            endpoints.proxy,
            due,
            ProxyInput::AttemptEnded { request, attempt, outcome, epoch, value: request },
        );
    }

    /// The index of a cache node; `None` for the origin.
    fn cache(&self, node: Node) -> Option<usize> {
        (node + 1 < self.epochs.len()).then_some(node)
    }
}

/// The environment of a node, or of the origin, while it handles a job.
struct NodeEnvironment<'a> {
    core: &'a mut Core,
    node: Node,
    /// The latest job that ended, for the caller.
    done: Option<(JobId, JobOutcome)>,
}

impl Environment for NodeEnvironment<'_> {
    fn schedule_completion(&mut self, at: Nanos, job: JobId) {
        self.core.schedule(at, Event::JobFinished(self.node, job));
    }

    fn execution_started(&mut self, job: JobId) {
        let (now, node) = (self.core.now, self.core.cache(self.node));
        self.core.auditor.executed(now, job / JOB_IDS_PER_REQUEST, node);
    }

    fn respond(&mut self, job: JobId, verdict: JobOutcome) {
        self.done = Some((job, verdict));
        let Some(endpoints) = self.core.jobs.remove(&job) else { return };
        let outcome = match verdict {
            JobOutcome::Completed => Outcome::Completed,
            JobOutcome::Missed => Outcome::Missed,
            JobOutcome::Rejected => Outcome::Saturated,
            JobOutcome::Failed | JobOutcome::Corrupted => Outcome::Errored,
        };
        self.core.send_outcome(endpoints, job, outcome, 0);
    }

    fn crashed(&mut self, _now: Nanos) {
        self.core.overloaded_nodes.push(self.node);
    }
}

/// The simulated world. See the module's documentation.
pub struct World {
    scenario: Scenario,
    core: Core,
    nodes: Vec<CacheNode>,
    origin: Origin,
    registry: Registry,
    /// Extra delay of announcements, from a fault.
    discovery_delay: Nanos,
    /// By node: whether it wrongly reports that it has left.
    announces_gone: Vec<bool>,
    /// By node: the offset of a wrong clock, in nanoseconds; `None` for a correct one.
    clock_offsets: Vec<Option<i64>>,
    /// By node: whether it has left the fleet or has not joined it yet.
    departed: Vec<bool>,
    proxies: Vec<ProxyView>,
    traffic: Traffic,
    next_operation: Option<Operation>,
    /// The operations in progress, by id.
    operations: HashMap<u64, PendingOperation>,
    requests: HashMap<RequestId, OpenRequest>,
    last_operation_id: u64,
    last_request_id: RequestId,
    client_rng: Rng,
    retry_rng: Rng,
}

/// What discovery has announced to a proxy.
#[derive(Clone, Default)]
struct ProxyView {
    /// Whether the proxy receives changes of the node list.
    watches_list: bool,
    /// The version of the node list that was announced last, and when it arrives.
    version: u64,
    announced_at: Nanos,
    /// The number of processes that the proxy has had.
    incarnation: u64,
}

impl World {
    /// Creates the world at time 0 and schedules the faults. `seed` determines all random choices.
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
        // Proxies start at different times, so that their timers do not fire in step.
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

    /// What a node reports about itself to discovery.
    fn self_reported_entry(&self, node: Node) -> NodeEntry {
        let gone = self.departed[node] || self.announces_gone[node];
        self.nodes[node].registry_entry(node, self.core.now, gone, self.clock_offsets[node])
    }

    /// The time of the next event or operation; `Nanos::MAX` if there is none.
    pub fn next_event_at(&self) -> Nanos {
        let event = self.core.events.peek().map_or(Nanos::MAX, |due| due.at);
        event.min(self.next_operation.map_or(Nanos::MAX, |operation| operation.start))
    }

    /// Whether all operations have ended and no more will start.
    pub fn done(&self) -> bool {
        self.next_operation.is_none() && self.operations.is_empty()
    }

    /// Schedules an action of a proxy for its arrival time.
    pub fn apply(&mut self, proxy: usize, at: Nanos, action: ProxyAction) {
        self.core.schedule(at, Event::Action(proxy, action));
    }

    /// Takes the messages to the proxies since the last call, in the order in which they were sent.
    pub fn drain_inputs(&mut self) -> std::vec::Drain<'_, (usize, Nanos, ProxyInput)> {
        self.core.inputs.drain(..)
    }

    /// Audits the remaining requests and returns the auditor and the metrics of the run.
    pub fn finish(mut self) -> (Auditor, RunMetrics) {
        self.core.auditor.finish();
        (self.core.auditor, self.core.metrics)
    }

    /// Handles all events before `until`.
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
            Event::Action(proxy, action) => self.handle_action(proxy, action),
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

    /// A request ended for its client, which sends another one if the retry policy allows it. A client that
    /// got no answer turns to the next proxy.
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

    /// The connection was refused. The client turns to the next proxy at once, until the limit of refusals is
    /// reached.
    fn connection_refused(&mut self, request: RequestId) {
        let now = self.core.now;
        self.core.auditor.request_abandoned(now, request);
        self.core.metrics.refused += 1;
        let Some(open) = self.requests.remove(&request) else { return };
        let Some(pending) = self.operations.get_mut(&open.operation_id) else { return };
        pending.refusals += 1;
        // No proxy accepted the request, so it does not count as one.
        pending.requests -= 1;
        if pending.refusals < self.scenario.proxies.count.min(traffic::MAX_CONNECTION_REFUSALS) {
            self.send_request(open.operation_id, (open.proxy + 1) % self.scenario.proxies.count);
        } else if let Some(pending) = self.operations.remove(&open.operation_id) {
            self.core.metrics.operation_finished(&pending.operation, OperationOutcome::Lost);
        }
    }

    fn answered(
        &mut self,
        request: RequestId,
        sent: Nanos,
        answer: FinalAnswer,
        value_matches: bool,
        pause: Nanos,
    ) {
        self.core.auditor.answered(sent, request, answer, value_matches);
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

    // ---- Actions of proxies -----------------------------------------------------------------------

    fn handle_action(&mut self, proxy: usize, action: ProxyAction) {
        match action {
            ProxyAction::Attempt { request, attempt, node, sent, epoch, advertised_timeout } => {
                self.attempt_arrived(JobEndpoints { proxy, node }, job_id(request, attempt), sent, epoch);
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

    fn attempt_arrived(&mut self, endpoints: JobEndpoints, job: JobId, sent: Nanos, epoch: Option<u64>) {
        let (now, request) = (self.core.now, job / JOB_IDS_PER_REQUEST);
        let cache = self.core.cache(endpoints.node);
        self.core.metrics.attempts += 1;
        self.core.auditor.attempt_sent(sent, request, cache);
        if !self.core.network.can_reach(endpoints.proxy, endpoints.node) {
            if epoch.is_none() {
                self.core.send_outcome(
                    endpoints,
                    job,
                    Outcome::Unreachable,
                    millis(crate::platform::CONNECT_MS),
                );
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
            return self.core.send_outcome(endpoints, job, lost, 0);
        }
        let Some(open) = self.requests.get(&request) else {
            // The request is closed and its parameters are gone, so the node rejects the attempt.
            return self.core.send_outcome(endpoints, job, Outcome::Saturated, 0);
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
        self.core.jobs.insert(job.id, endpoints);
        cache.into_iter().for_each(|node| self.core.auditor.node_received(now, request, node));
        let mut environment = NodeEnvironment { core: &mut self.core, node: endpoints.node, done: None };
        match self.nodes.get_mut(endpoints.node) {
            Some(node) => node.job_arrived(now, job, &mut environment),
            None => self.origin.job_arrived(now, job, &mut environment),
        }
    }

    fn job_finished(&mut self, node: Node, job: JobId) {
        let now = self.core.now;
        let awaited = self.core.jobs.contains_key(&job);
        let mut environment = NodeEnvironment { core: &mut self.core, node, done: None };
        match self.nodes.get_mut(node) {
            Some(node) => node.job_finished(now, job, &mut environment),
            None => self.origin.job_finished(now, job, &mut environment),
        }
        // Other jobs may have started and ended during this call; their outcome is not this job's.
        let Some((_, verdict)) = environment.done.filter(|(done, _)| *done == job) else { return };
        let request = job / JOB_IDS_PER_REQUEST;
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
            (false, JobOutcome::Completed) => self.origin_answered(request, awaited),
            _ => {}
        }
    }

    /// The origin answered. A read value is stored at the nodes that missed it, if its proxy still waits for
    /// it (`awaited`); a write removes all cached copies.
    fn origin_answered(&mut self, request: RequestId, awaited: bool) {
        self.core.metrics.served(self.core.now, None);
        let Some(open) = self.requests.get(&request) else { return };
        let operation = self.operations[&open.operation_id].operation;
        if self.scenario.route[operation.route].write {
            self.nodes.iter_mut().for_each(|node| node.store.remove(operation.key));
        } else if awaited {
            for &node in &open.missed_nodes {
                if self.nodes[node].up {
                    self.nodes[node].store.insert(operation.key, operation.value_bytes);
                }
            }
        }
    }

    fn probe(&mut self, proxy: usize, node: Node) {
        let now = self.core.now;
        let reachable = self.core.network.can_reach(proxy, node);
        let (up, silent) = match self.nodes.get(node) {
            Some(node) => (node.up && !node.refuses_connections, node.unresponsive),
            None => (self.origin.is_up(now), false),
        };
        let (outcome, after) = match (reachable, up, silent) {
            (false, ..) => (Outcome::Unreachable, millis(crate::platform::CONNECT_MS)),
            (true, false, _) => (Outcome::Unreachable, 0),
            (true, true, true) => (Outcome::Overdue, SECOND),
            (true, true, false) => (Outcome::Completed, 0),
        };
        let due = now + after + self.core.delay(node, proxy);
        self.core.send_input(proxy, due, ProxyInput::ProbeFinished { node, outcome });
    }

    // ---- Discovery --------------------------------------------------------------------------------

    /// Starts a proxy's process at time `at` with the current node list.
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

    /// Announces to a proxy the changes of the node list since the last announcement.
    fn announce_changes(&mut self, proxy: usize) {
        let view = &mut self.proxies[proxy];
        if self.registry.unresponsive || !view.watches_list || view.version == self.registry.version() {
            return;
        }
        let entries = self.registry.changes_since(view.version);
        view.version = self.registry.version();
        let min_delay = millis(self.scenario.discovery.propagation_ms);
        let delay = self.core.network.min_delay()
            + self.discovery_delay
            + self.core.rng.random_range(min_delay..=2 * min_delay);
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

    /// A proxy requests the node list.
    fn watch_node_list(&mut self, proxy: usize) {
        if self.registry.unresponsive {
            let at = self.core.now + LIST_TIMEOUT;
            self.core.send_input(proxy, at, ProxyInput::ListFailed);
        } else {
            self.proxies[proxy].watches_list = true;
            self.announce_changes(proxy);
        }
    }

    /// Discovery stops responding, or responds again.
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

    /// Discovery notices a change of the node after the detection delay.
    fn schedule_detection(&mut self, node: Node) {
        let after = millis(self.scenario.discovery.detection_ms);
        self.core.schedule(self.core.now + after, Event::RegistryUpdate(node));
    }

    // ---- Faults -----------------------------------------------------------------------------------

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

    /// The node reports a change to discovery itself, without the detection delay.
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

    /// Breaks all connections to a node, or to the origin. The outcomes of its jobs are lost.
    fn break_connections(&mut self, node: Node) {
        self.core.epochs[node] += 1;
        self.core.jobs.retain(|_, endpoints| endpoints.node != node);
        for proxy in 0..self.proxies.len() {
            let due = self.core.now + self.core.delay(node, proxy);
            self.core.send_input(proxy, due, ProxyInput::NodeReset { node });
        }
    }

    /// A cache node, or the origin, crashed from overload.
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

    /// Kills a proxy's process, breaks the connections of its clients and restarts it after the configured
    /// time.
    fn kill_proxy(&mut self, proxy: usize) {
        let now = self.core.now;
        self.proxies[proxy].watches_list = false;
        let open = self.requests.iter().filter(|(_, open)| open.proxy == proxy).map(|(&request, _)| request);
        let mut open: Vec<RequestId> = open.collect();
        open.sort_unstable();
        // Later than all answers that the proxy sent before it was killed.
        let reset = now + 2 * self.core.network.min_delay() + millis(5.0);
        for request in open {
            self.core.auditor.request_abandoned(now, request);
            self.core.schedule(reset, Event::ConnectionLost(request, now));
        }
        let min_delay = self.core.network.min_delay();
        self.start_proxy(proxy, now + seconds(self.scenario.proxies.restart_seconds).max(min_delay));
    }
}

/// The keys that each node holds at the start: those for which it has one of the two highest rendezvous
/// hashes. The most popular keys come last, so that they remain where a store is full.
pub fn warm_keys(scenario: &Scenario, nodes: &[CacheNode]) -> Vec<(Node, Vec<u64>)> {
    let live_nodes: Vec<(Node, u64)> = (0..nodes.len())
        .filter(|&node| nodes[node].up)
        .map(|node| (node, pumicebay_names::stable_hash(&node_uid(node))))
        .collect();
    let mut held_keys: Vec<(Node, Vec<u64>)> = (0..nodes.len()).map(|node| (node, Vec::new())).collect();
    let count = (scenario.clients.keys as f64 * scenario.clients.warm_keys) as u64;
    for rank in (1..=count).rev() {
        let key = traffic::key_at_rank(rank % scenario.clients.keys);
        let key_hash = key_hash(key);
        let mut best: [(u64, Node); 2] = [(0, usize::MAX); 2];
        for &(node, identity) in &live_nodes {
            let hash = rendezvous(key_hash, identity);
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
