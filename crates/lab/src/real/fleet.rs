//! State shared by all stand-ins: the simulated nodes, origin and registry, the auditor and the counters.
//! One mutex guards it and is never held across an await. One task runs the timers of all jobs.

use crate::audit::{Auditor, FinalAnswer};
use crate::metrics::{OperationOutcome, RunMetrics};
use crate::platform;
use crate::real::stand_ins;
use crate::simulated_proxy::node_uid;
use crate::world::warm_keys;
use anyhow::Result;
use hashbrown::HashMap;
use pumicebay_model::faults::{WorldChange, initially_absent_nodes};
use pumicebay_model::network::Network;
use pumicebay_model::node::CacheNode;
use pumicebay_model::origin::Origin;
use pumicebay_model::registry::{NodeEntry, NodeState, Registry};
use pumicebay_model::seeds::{Rng, rng};
use pumicebay_model::spec::Scenario;
use pumicebay_model::station::{Environment, Job, JobId, JobOutcome};
use pumicebay_model::traffic::{self, Operation};
use pumicebay_model::{Nanos, millis, seconds};
use serde_json::{Value as Json, json};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{Instant, sleep, sleep_until};

/// State of a stand-in's simulated process. A new epoch is a new process: it breaks open connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessState {
    /// Whether it accepts connections at all.
    pub listening: bool,
    /// Number of the process, counted up at each stop and start.
    pub epoch: u64,
}

/// A request that the load generator has sent and that has not ended yet.
struct OpenRequest {
    operation: Operation,
    proxy: usize,
    /// Nodes that answered it with a miss.
    missed: Vec<usize>,
}

/// Bookkeeping that a node's job callbacks need while the node itself is borrowed.
struct Accounting {
    /// Scenario time when the lock was taken.
    now: Nanos,
    /// Where to send the outcomes of unfinished jobs.
    waiting: HashMap<JobId, oneshot::Sender<JobOutcome>>,
    /// Request that each unfinished job belongs to.
    request_ids: HashMap<JobId, u64>,
    /// Timers to set: time, node, job.
    timers: mpsc::UnboundedSender<(Nanos, usize, JobId)>,
    auditor: Auditor,
    tally: RunMetrics,
    /// Nodes that crashed from overload and are not handled yet; the origin's number is the node count.
    crashed_nodes: Vec<usize>,
    last_job: JobId,
}

/// State behind the mutex.
struct Inner {
    accounting: Accounting,
    nodes: Vec<CacheNode>,
    origin: Origin,
    registry: Registry,
    network: Network,
    rng: Rng,
    /// Extra delay of discovery's answers, from a fault.
    discovery_lag: Nanos,
    /// Nodes that discovery wrongly reports as left.
    falsely_left: Vec<bool>,
    /// Error of each node's reported start time, where a fault sets one.
    clock_offsets: Vec<Option<i64>>,
    /// Nodes that have left for good or not joined yet.
    left: Vec<bool>,
    /// Requests by their ids.
    open_requests: HashMap<u64, OpenRequest>,
}

/// The simulated cache nodes, origin and discovery of one run, served on loopback sockets.
pub struct Fleet {
    scenario: Scenario,
    inner: Mutex<Inner>,
    /// When the scenario began; unset before.
    start: OnceLock<Instant>,
    start_unix_ms: OnceLock<u64>,
    /// One for each node, and the last one for the origin.
    process_states: Vec<watch::Sender<ProcessState>>,
    /// Version of the registry, for discovery's long polls.
    version: watch::Sender<u64>,
    addresses: OnceLock<Vec<SocketAddr>>,
    discovery_addresses: OnceLock<Vec<SocketAddr>>,
}

/// Callbacks of one node's or the origin's jobs; `cache` is `None` for the origin.
struct JobEnvironment<'a> {
    accounting: &'a mut Accounting,
    node: usize,
    cache: Option<usize>,
}

impl Environment for JobEnvironment<'_> {
    fn schedule_completion(&mut self, at: Nanos, job: JobId) {
        // Sending fails only after the timer task has ended with the fleet.
        let _ = self.accounting.timers.send((at, self.node, job));
    }

    fn execution_started(&mut self, job: JobId) {
        if let Some(&request_id) = self.accounting.request_ids.get(&job) {
            self.accounting.auditor.executed(self.accounting.now, request_id, self.cache);
        }
    }

    fn respond(&mut self, job: JobId, outcome: JobOutcome) {
        if let Some(waiting) = self.accounting.waiting.remove(&job) {
            let _ = waiting.send(outcome);
        }
    }

    fn crashed(&mut self, _now: Nanos) {
        self.accounting.crashed_nodes.push(self.node);
    }
}

impl Fleet {
    /// Starts all stand-ins on free loopback ports. Fails when a port cannot be bound.
    pub async fn start(scenario: &Scenario, seed: u64) -> Result<Arc<Fleet>> {
        let count = scenario.nodes.count;
        let (timers, due) = mpsc::unbounded_channel();
        let accounting = Accounting {
            now: 0,
            waiting: HashMap::new(),
            request_ids: HashMap::new(),
            timers,
            auditor: Auditor::new(scenario, super::slack()),
            tally: RunMetrics::new(scenario),
            crashed_nodes: Vec::new(),
            last_job: 0,
        };
        let mut inner = Inner {
            accounting,
            nodes: (0..count).map(|node| CacheNode::new(&scenario.nodes, seed, node)).collect(),
            origin: Origin::new(&scenario.origin, seed),
            registry: Registry::default(),
            network: Network::new(&scenario.network),
            rng: rng(seed, "network", 0),
            discovery_lag: 0,
            falsely_left: vec![false; count],
            clock_offsets: vec![None; count],
            left: vec![false; count],
            open_requests: HashMap::new(),
        };
        for node in initially_absent_nodes(scenario) {
            inner.nodes[node].up = false;
            inner.left[node] = true;
        }
        for (node, keys) in warm_keys(scenario, &inner.nodes) {
            keys.into_iter()
                .for_each(|key| inner.nodes[node].store.insert(key, traffic::value_bytes(scenario, key)));
        }
        for node in 0..count {
            let entry = inner.registry_entry(node);
            inner.registry.update(entry);
        }
        inner.registry.update(NodeEntry { node: count, state: NodeState::Ready, started_at: 0 });
        let process_state =
            |node: usize| ProcessState { listening: node == count || inner.nodes[node].up, epoch: 1 };
        let process_states = (0..=count).map(|node| watch::channel(process_state(node)).0).collect();
        let version = watch::channel(inner.registry.version()).0;
        let fleet = Arc::new(Fleet {
            scenario: scenario.clone(),
            inner: Mutex::new(inner),
            start: OnceLock::new(),
            start_unix_ms: OnceLock::new(),
            process_states,
            version,
            addresses: OnceLock::new(),
            discovery_addresses: OnceLock::new(),
        });
        let mut addresses = Vec::new();
        for node in 0..=count {
            addresses.push(stand_ins::node(fleet.clone(), node).await?);
        }
        let mut discovery_addresses = Vec::new();
        for proxy in 0..scenario.proxies.count {
            discovery_addresses.push(stand_ins::discovery(fleet.clone(), proxy).await?);
        }
        let _ = fleet.addresses.set(addresses);
        let _ = fleet.discovery_addresses.set(discovery_addresses);
        tokio::spawn(run_timers(Arc::downgrade(&fleet), due));
        Ok(fleet)
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        let mut inner = self.inner.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        inner.accounting.now = self.now();
        inner
    }

    /// Starts the scenario's clock.
    pub fn begin(&self) {
        let since_unix_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let _ = self.start_unix_ms.set(since_unix_epoch.as_millis() as u64);
        let _ = self.start.set(Instant::now());
    }

    /// Nanoseconds since the scenario began; 0 before it begins.
    pub fn now(&self) -> Nanos {
        self.start.get().map_or(0, |start| start.elapsed().as_nanos() as Nanos)
    }

    /// The instant of a scenario time.
    pub fn instant(&self, at: Nanos) -> Instant {
        self.start.get().copied().unwrap_or_else(Instant::now) + Duration::from_nanos(at)
    }

    /// Number that stands for the origin: the count of cache nodes.
    pub fn origin(&self) -> usize {
        self.scenario.nodes.count
    }

    /// The scenario that is played.
    pub fn scenario(&self) -> &Scenario {
        &self.scenario
    }

    /// Watches the process state of a node or the origin.
    pub fn process_state(&self, node: usize) -> watch::Receiver<ProcessState> {
        self.process_states[node].subscribe()
    }

    /// Address of a node or the origin; `None` before the start or for an unknown number.
    pub fn address(&self, node: usize) -> Option<SocketAddr> {
        self.addresses.get()?.get(node).copied()
    }

    /// Address of a proxy's discovery agent; `None` before the start or for an unknown proxy.
    pub fn discovery(&self, proxy: usize) -> Option<SocketAddr> {
        self.discovery_addresses.get()?.get(proxy).copied()
    }

    // ---- Attempts ---------------------------------------------------------------------------------

    /// Records an attempt that reached a stand-in and the time that its proxy said it would wait. Returns the
    /// request's operation, the one-way delay, and whether the simulated network lets the attempt through;
    /// `None` when no such request is open.
    pub fn attempt_received(
        &self,
        request_id: u64,
        node: usize,
        time_told: Option<Nanos>,
    ) -> Option<(Operation, Nanos, bool)> {
        let mut inner = self.lock();
        let cache = (node < self.origin()).then_some(node);
        let now = inner.accounting.now;
        inner.accounting.tally.attempts += 1;
        inner.accounting.auditor.attempt_sent(now, request_id, cache);
        inner.accounting.auditor.timeout_advertised(now, request_id, cache, time_told);
        let (operation, proxy) =
            inner.open_requests.get(&request_id).map(|request| (request.operation, request.proxy))?;
        let zones = self.scenario.nodes.zones;
        let Inner { network, rng, .. } = &mut *inner;
        let delay = network.delay(rng, proxy % zones, cache.map_or(0, |node| node % zones));
        Some((operation, delay, network.can_reach(proxy, node)))
    }

    /// Submits an attempt's job to the node. The channel gets its outcome, or closes when there will be none.
    pub fn submit_job(
        &self,
        request_id: u64,
        node: usize,
        operation: &Operation,
    ) -> (JobId, oneshot::Receiver<JobOutcome>) {
        let mut inner = self.lock();
        let Inner { accounting, nodes, origin, .. } = &mut *inner;
        accounting.last_job += 1;
        let route = &self.scenario.route[operation.route];
        let job = Job {
            id: accounting.last_job,
            key: operation.key,
            value_bytes: operation.value_bytes,
            service_time: millis(route.service_ms),
            write: route.write,
        };
        let (sender, receiver) = oneshot::channel();
        accounting.waiting.insert(job.id, sender);
        accounting.request_ids.insert(job.id, request_id);
        let now = accounting.now;
        (node < nodes.len()).then(|| accounting.auditor.node_received(now, request_id, node));
        match nodes.get_mut(node) {
            Some(cache) => {
                cache.job_arrived(now, job, &mut JobEnvironment { accounting, node, cache: Some(node) })
            }
            None => origin.job_arrived(now, job, &mut JobEnvironment { accounting, node, cache: None }),
        }
        self.handle_crashes(&mut inner);
        (job.id, receiver)
    }

    /// Records that the proxy gave up the attempt, and cancels its job.
    pub fn attempt_cancelled(&self, job: Option<JobId>, request_id: u64, node: usize) {
        let mut inner = self.lock();
        let Inner { accounting, nodes, origin, .. } = &mut *inner;
        accounting.auditor.attempt_ended(accounting.now, request_id, (node < nodes.len()).then_some(node));
        if let Some(job) = job {
            accounting.waiting.remove(&job);
            accounting.request_ids.remove(&job);
            match nodes.get_mut(node) {
                Some(node) => node.cancel(job),
                None => origin.cancel(job),
            }
        }
    }

    /// Records an outcome that is about to be written to the proxy.
    pub fn attempt_answered(&self, job: JobId, request_id: u64, node: usize, outcome: JobOutcome) {
        let mut inner = self.lock();
        let now = inner.accounting.now;
        let cache = (node < self.origin()).then_some(node);
        inner.accounting.auditor.attempt_ended(now, request_id, cache);
        inner.accounting.request_ids.remove(&job);
        match (cache, outcome) {
            (Some(_), JobOutcome::Missed) => inner.accounting.tally.misses += 1,
            (Some(_), JobOutcome::Completed) => inner.accounting.tally.hits += 1,
            _ => {}
        }
        if outcome == JobOutcome::Completed {
            inner.accounting.tally.served(now, cache);
        }
        if let (Some(node), JobOutcome::Missed) = (cache, outcome)
            && let Some(request) = inner.open_requests.get_mut(&request_id)
        {
            request.missed.push(node);
        }
    }

    /// Updates the caches after the origin completed a request: a read is stored at the nodes that missed it,
    /// a write removes the key from all nodes.
    pub fn origin_completed(&self, request_id: u64) {
        let mut inner = self.lock();
        let Inner { nodes, open_requests, .. } = &mut *inner;
        let Some(OpenRequest { operation, missed, .. }) = open_requests.get(&request_id) else { return };
        if self.scenario.route[operation.route].write {
            nodes.iter_mut().for_each(|node| node.store.remove(operation.key));
        } else {
            for &node in missed.iter().filter(|&&node| nodes[node].up).collect::<Vec<_>>() {
                nodes[node].store.insert(operation.key, operation.value_bytes);
            }
        }
    }

    /// Completes a job whose timer expired.
    fn job_finished(&self, node: usize, job: JobId) {
        let mut inner = self.lock();
        let Inner { accounting, nodes, origin, .. } = &mut *inner;
        let now = accounting.now;
        match nodes.get_mut(node) {
            Some(cache) => {
                cache.job_finished(now, job, &mut JobEnvironment { accounting, node, cache: Some(node) })
            }
            None => origin.job_finished(now, job, &mut JobEnvironment { accounting, node, cache: None }),
        }
        self.handle_crashes(&mut inner);
    }

    /// Counts a new connection to the node; false when it has no room for it or is down.
    pub fn accepts_connection(&self, node: usize) -> bool {
        let mut inner = self.lock();
        let now = inner.accounting.now;
        match inner.nodes.get_mut(node) {
            Some(node) => node.connect(),
            None => inner.origin.is_up(now),
        }
    }

    /// Releases a connection, unless its process has ended meanwhile.
    pub fn connection_closed(&self, node: usize, epoch: u64) {
        if self.process_states[node].borrow().epoch == epoch
            && let Some(node) = self.lock().nodes.get_mut(node)
        {
            node.disconnect();
        }
    }

    /// Whether a node answers a probe.
    pub fn answers_probes(&self, node: usize) -> bool {
        self.lock().nodes.get(node).is_none_or(|node| node.up && !node.unresponsive)
    }

    // ---- Requests of the load generator -----------------------------------------------------------

    /// Records that a client starts a request at a proxy, with its overall timeout.
    pub fn request_accepted(&self, request_id: u64, operation: &Operation, proxy: usize, timeout: Nanos) {
        let mut inner = self.lock();
        let now = inner.accounting.now;
        inner.accounting.tally.requests += 1;
        inner.accounting.auditor.request_accepted(now, request_id, proxy, operation.route, now + timeout);
        inner
            .open_requests
            .insert(request_id, OpenRequest { operation: *operation, proxy, missed: Vec::new() });
    }

    /// Records that the client has written the whole request and waits this long from now.
    pub fn request_sent(&self, request_id: u64, wait: Nanos) {
        let mut inner = self.lock();
        let until = inner.accounting.now + wait;
        inner.accounting.auditor.set_client_deadline(request_id, until);
    }

    /// Records a request's final answer; `sound` is false for a value made for another request.
    pub fn final_answer(&self, request_id: u64, answer: FinalAnswer, sound: bool) {
        let mut inner = self.lock();
        let now = inner.accounting.now;
        inner.accounting.auditor.answered(now, request_id, answer, sound);
        match answer {
            FinalAnswer::Shed => inner.accounting.tally.shed += 1,
            FinalAnswer::Errored => inner.accounting.tally.errored += 1,
            FinalAnswer::Served => {}
        }
        inner.accounting.auditor.audit_due(now);
    }

    /// Frees the proxy of the duty to answer: it never accepted the request, or was killed.
    pub fn excuse_request(&self, request_id: u64, at: Nanos) {
        self.lock().accounting.auditor.request_abandoned(at, request_id);
    }

    /// Counts a client connection that a proxy refused.
    pub fn connection_refused(&self) {
        self.lock().accounting.tally.refused += 1;
    }

    /// Removes a request that has ended for its client.
    pub fn request_closed(&self, request_id: u64) {
        self.lock().open_requests.remove(&request_id);
    }

    /// Counts how an operation ended after all its retries.
    pub fn operation_ended(&self, operation: &Operation, end: OperationOutcome) {
        self.lock().accounting.tally.operation_finished(operation, end);
    }

    // ---- Discovery --------------------------------------------------------------------------------

    /// Watches the version of the registry.
    pub fn registry_versions(&self) -> watch::Receiver<u64> {
        self.version.subscribe()
    }

    /// Random delay until a proxy learns of a change; `None` while discovery is unresponsive.
    pub fn discovery_delay(&self) -> Option<Nanos> {
        use rand::RngExt;
        let mut inner = self.lock();
        let minimum = millis(self.scenario.discovery.propagation_ms);
        let delay = inner.rng.random_range(minimum..=2 * minimum);
        (!inner.registry.unresponsive).then_some(delay + inner.discovery_lag)
    }

    /// The registry as JSON, whole or only the changes since a version. Records for the auditor that the
    /// proxy has learned these entries.
    pub fn list(&self, proxy: usize, since: Option<u64>) -> Json {
        let mut inner = self.lock();
        let entries = match since {
            Some(version) => inner.registry.changes_since(version),
            None => inner.registry.snapshot(),
        };
        let now = inner.accounting.now;
        for entry in entries.iter().filter(|entry| entry.node < self.origin()) {
            inner.accounting.auditor.state_announced(now, proxy, entry.node, entry.state);
            inner.accounting.auditor.start_announced(now, proxy, entry.node, entry.started_at);
        }
        let targets: Vec<Json> = entries.iter().map(|entry| self.target(entry)).collect();
        json!({"rev": inner.registry.version(), "all": since.is_none(), "targets": targets})
    }

    fn target(&self, entry: &NodeEntry) -> Json {
        let origin = entry.node == self.origin();
        let address = self.addresses.get().and_then(|all| all.get(entry.node)).map(ToString::to_string);
        let start_unix_ms = self.start_unix_ms.get().copied().unwrap_or(0);
        json!({
            "uid": if origin { "origin".into() } else { node_uid(entry.node) },
            "endpoint": address.unwrap_or_default(),
            "az": platform::zone(if origin { 0 } else { entry.node % self.scenario.nodes.zones }),
            "model": if origin { platform::ORIGIN } else { platform::CACHE },
            "pod_group": 0,
            "state": match entry.state {
                NodeState::Ready => "active",
                NodeState::Draining => "leaving",
                NodeState::Left => "left",
            },
            "boot_ms": if entry.started_at == 0 { 0 } else { start_unix_ms + entry.started_at / 1_000_000 },
        })
    }

    /// Records that a proxy restarted without its memory.
    pub fn proxy_restarted(&self, proxy: usize) {
        self.lock().accounting.auditor.proxy_restarted(proxy);
    }

    /// Writes a node's present state to the registry.
    fn publish_entry(&self, inner: &mut Inner, node: usize) {
        let entry = inner.registry_entry(node);
        if inner.registry.update(entry) {
            self.version.send_replace(inner.registry.version());
        }
    }

    /// Writes a node's state to the registry after discovery's detection delay.
    fn publish_entry_later(self: &Arc<Self>, node: usize, after: Nanos) {
        let fleet = self.clone();
        tokio::spawn(async move {
            sleep(Duration::from_nanos(after)).await;
            let mut inner = fleet.lock();
            fleet.publish_entry(&mut inner, node);
        });
    }

    // ---- Faults -----------------------------------------------------------------------------------

    /// Applies a change of the scenario's timeline. Kills of proxies are done by their owner.
    pub async fn apply_change(self: &Arc<Self>, change: WorldChange) {
        let mut inner = self.lock();
        let (now, detection) = (inner.accounting.now, millis(self.scenario.discovery.detection_ms));
        match change {
            WorldChange::Stop(node) => {
                self.stop_node(&mut inner, node);
                self.publish_entry_later(node, detection);
            }
            WorldChange::Start(node) => {
                self.start_node(&mut inner, node);
                self.publish_entry_later(node, detection);
            }
            WorldChange::NodeSpeed(node, factor) => inner.nodes[node].slowdown = factor,
            WorldChange::Pause(node, until) => inner.nodes[node].pause(until),
            WorldChange::Errors(node, share) => inner.nodes[node].error_share = share,
            WorldChange::Spoils(node, share) => inner.nodes[node].corrupt_share = share,
            WorldChange::Refuses(node, refuses) => {
                inner.nodes[node].refuses_connections = refuses;
                self.process_states[node].send_modify(|state| state.listening = !refuses);
            }
            WorldChange::Silent(node, silent) => inner.nodes[node].unresponsive = silent,
            WorldChange::Drain(node) => {
                inner.nodes[node].draining_since = Some(now);
                self.publish_entry(&mut inner, node);
            }
            WorldChange::Undrain(node) => {
                inner.nodes[node].draining_since = None;
                self.publish_entry(&mut inner, node);
            }
            WorldChange::Leave(node) => {
                inner.left[node] = true;
                self.stop_node(&mut inner, node);
                self.publish_entry(&mut inner, node);
            }
            WorldChange::OriginSpeed(factor) => inner.origin.slowdown = factor,
            WorldChange::OriginDown(down) => {
                inner.origin.down = down;
                if down {
                    inner.origin.stop();
                }
                let listening = !down;
                self.process_states[self.origin()]
                    .send_modify(|state| *state = ProcessState { listening, epoch: state.epoch + 1 });
            }
            WorldChange::Void => inner.nodes.iter_mut().for_each(|node| node.store.clear()),
            WorldChange::Kill(_) => {}
            WorldChange::Discovery(speaks) => inner.registry.unresponsive = !speaks,
            WorldChange::DiscoveryLate(late) => inner.discovery_lag = late,
            WorldChange::Freeze(node, frozen) => {
                inner.registry.set_frozen(node, frozen);
                self.publish_entry(&mut inner, node);
            }
            WorldChange::Lie(node, falsely_left) => {
                inner.falsely_left[node] = falsely_left;
                self.publish_entry(&mut inner, node);
            }
            WorldChange::Clock(node, offset) => {
                inner.clock_offsets[node] = (offset != 0).then_some(offset);
                self.publish_entry(&mut inner, node);
            }
            WorldChange::Cut(proxy, node, cut) => inner.network.set_partitioned(proxy, node, cut),
        }
    }

    fn stop_node(&self, inner: &mut Inner, node: usize) {
        inner.nodes[node].stop();
        self.process_states[node]
            .send_modify(|state| *state = ProcessState { listening: false, epoch: state.epoch + 1 });
    }

    fn start_node(&self, inner: &mut Inner, node: usize) {
        if !inner.nodes[node].up || inner.left[node] {
            let now = inner.accounting.now.max(1);
            inner.nodes[node].start(now);
            inner.accounting.auditor.node_started(now, node);
            inner.left[node] = false;
            self.process_states[node]
                .send_modify(|state| *state = ProcessState { listening: true, epoch: state.epoch + 1 });
        }
    }

    /// Stops nodes that crashed from overload, and schedules their restart.
    fn handle_crashes(&self, inner: &mut Inner) {
        while let Some(node) = inner.accounting.crashed_nodes.pop() {
            let now = inner.accounting.now;
            let down = if node < self.origin() {
                inner.accounting.tally.cold_node_overloads += 1;
                inner.accounting.auditor.cold_node_overloaded(now, node);
                seconds(self.scenario.nodes.down_seconds)
            } else {
                inner.accounting.tally.origin_stops += 1;
                if inner.origin.slowdown <= 1.0 {
                    inner.accounting.auditor.origin_stopped(now);
                }
                seconds(self.scenario.origin.down_seconds)
            };
            self.process_states[node]
                .send_modify(|state| *state = ProcessState { listening: false, epoch: state.epoch + 1 });
            // Job number 0 is never a job: it is the timer that restarts the node.
            let _ = inner.accounting.timers.send((now + down, node, 0));
        }
    }

    /// Restarts a node, or makes the origin listen again, after a crash from overload.
    fn restart_after_crash(self: &Arc<Self>, node: usize) {
        let mut inner = self.lock();
        if node < self.origin() {
            self.start_node(&mut inner, node);
            self.publish_entry_later(node, millis(self.scenario.discovery.detection_ms));
        } else if inner.origin.is_up(inner.accounting.now) {
            self.process_states[node].send_modify(|state| state.listening = true);
        }
    }

    /// Waits until no job is outstanding.
    pub async fn wait_until_idle(&self) {
        while !self.lock().accounting.waiting.is_empty() {
            sleep(Duration::from_millis(20)).await;
        }
    }

    /// Takes the auditor and the counters out at the end of the run.
    pub fn finish(&self) -> (Auditor, RunMetrics) {
        let mut inner = self.lock();
        let auditor = std::mem::replace(&mut inner.accounting.auditor, Auditor::new(&self.scenario, 0));
        (auditor, std::mem::replace(&mut inner.accounting.tally, RunMetrics::new(&self.scenario)))
    }
}

impl Inner {
    /// The registry entry that a node has now, with the faults that falsify it.
    fn registry_entry(&self, node: usize) -> NodeEntry {
        let gone = self.left[node] || self.falsely_left[node];
        self.nodes[node].registry_entry(node, self.accounting.now, gone, self.clock_offsets[node])
    }
}

/// Completes jobs when their timers expire; ends with the fleet. It wakes at least every 100 ms so that it
/// notices that end.
async fn run_timers(fleet: std::sync::Weak<Fleet>, mut due: mpsc::UnboundedReceiver<(Nanos, usize, JobId)>) {
    let mut timers: BinaryHeap<Reverse<(Nanos, usize, JobId)>> = BinaryHeap::new();
    loop {
        let Some(current) = fleet.upgrade() else { return };
        let next = timers.peek().map_or(Nanos::MAX, |Reverse((at, ..))| *at);
        let wake = current.instant(next.min(current.now() + millis(100.0)));
        drop(current);
        tokio::select! {
            timer = due.recv() => match timer {
                Some(timer) => timers.push(Reverse(timer)),
                None => return,
            },
            () = sleep_until(wake) => {}
        }
        let Some(current) = fleet.upgrade() else { return };
        while let Some(&Reverse((at, node, job))) = timers.peek() {
            if at > current.now() {
                break;
            }
            timers.pop();
            if job == 0 {
                current.restart_after_crash(node);
            } else {
                current.job_finished(node, job);
            }
        }
    }
}
