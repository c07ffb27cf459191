//! What all stand-ins share: the model's nodes, origin and list, the auditor and the counts, behind one lock
//! that is never held while anything waits. One task is the clock of all jobs.

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

/// How a stand-in's process is: changes break its connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Life {
    pub listens: bool,
    pub epoch: u64,
}

/// An exchange that the load generator has out.
struct Out {
    wish: Operation,
    proxy: usize,
    missed: Vec<usize>,
}

/// What jobs need while a node is at work.
struct Desk {
    now: Nanos,
    waiting: HashMap<JobId, oneshot::Sender<JobOutcome>>,
    xchgs: HashMap<JobId, u64>,
    timers: mpsc::UnboundedSender<(Nanos, usize, JobId)>,
    auditor: Auditor,
    tally: RunMetrics,
    fallen: Vec<usize>,
    last: JobId,
}

struct Inner {
    desk: Desk,
    nodes: Vec<CacheNode>,
    origin: Origin,
    registry: Registry,
    network: Network,
    rng: Rng,
    late: Nanos,
    lies: Vec<bool>,
    clock: Vec<Option<i64>>,
    left: Vec<bool>,
    out: HashMap<u64, Out>,
}

pub struct Fleet {
    day: Scenario,
    inner: Mutex<Inner>,
    start: OnceLock<Instant>,
    unix: OnceLock<u64>,
    lives: Vec<watch::Sender<Life>>,
    /// The version of the list, for those who watch it.
    version: watch::Sender<u64>,
    addresses: OnceLock<Vec<SocketAddr>>,
    discoveries: OnceLock<Vec<SocketAddr>>,
}

struct Work<'a> {
    desk: &'a mut Desk,
    node: usize,
    cache: Option<usize>,
}

impl Environment for Work<'_> {
    fn schedule_completion(&mut self, at: Nanos, job: JobId) {
        // The clock of jobs ends with the fleet.
        let _ = self.desk.timers.send((at, self.node, job));
    }

    fn execution_started(&mut self, job: JobId) {
        if let Some(&xchg) = self.desk.xchgs.get(&job) {
            self.desk.auditor.executed(self.desk.now, xchg, self.cache);
        }
    }

    fn respond(&mut self, job: JobId, verdict: JobOutcome) {
        if let Some(waiting) = self.desk.waiting.remove(&job) {
            let _ = waiting.send(verdict);
        }
    }

    fn crashed(&mut self, _now: Nanos) {
        self.desk.fallen.push(self.node);
    }
}

impl Fleet {
    /// Starts all stand-ins on free ports of the loopback.
    pub async fn start(day: &Scenario, seed: u64) -> Result<Arc<Fleet>> {
        let count = day.nodes.count;
        let (timers, due) = mpsc::unbounded_channel();
        let desk = Desk {
            now: 0,
            waiting: HashMap::new(),
            xchgs: HashMap::new(),
            timers,
            auditor: Auditor::new(day, super::slack()),
            tally: RunMetrics::new(day),
            fallen: Vec::new(),
            last: 0,
        };
        let mut inner = Inner {
            desk,
            nodes: (0..count).map(|node| CacheNode::new(&day.nodes, seed, node)).collect(),
            origin: Origin::new(&day.origin, seed),
            registry: Registry::default(),
            network: Network::new(&day.network),
            rng: rng(seed, "network", 0),
            late: 0,
            lies: vec![false; count],
            clock: vec![None; count],
            left: vec![false; count],
            out: HashMap::new(),
        };
        for node in initially_absent_nodes(day) {
            inner.nodes[node].up = false;
            inner.left[node] = true;
        }
        for (node, keys) in warm_keys(day, &inner.nodes) {
            keys.into_iter()
                .for_each(|key| inner.nodes[node].store.insert(key, traffic::value_bytes(day, key)));
        }
        for node in 0..count {
            let entry = inner.actual(node);
            inner.registry.update(entry);
        }
        inner.registry.update(NodeEntry { node: count, state: NodeState::Ready, started_at: 0 });
        let life = |node: usize| Life { listens: node == count || inner.nodes[node].up, epoch: 1 };
        let lives = (0..=count).map(|node| watch::channel(life(node)).0).collect();
        let version = watch::channel(inner.registry.version()).0;
        let fleet = Arc::new(Fleet {
            day: day.clone(),
            inner: Mutex::new(inner),
            start: OnceLock::new(),
            unix: OnceLock::new(),
            lives,
            version,
            addresses: OnceLock::new(),
            discoveries: OnceLock::new(),
        });
        let mut addresses = Vec::new();
        for node in 0..=count {
            addresses.push(stand_ins::node(fleet.clone(), node).await?);
        }
        let mut discoveries = Vec::new();
        for proxy in 0..day.proxies.count {
            discoveries.push(stand_ins::discovery(fleet.clone(), proxy).await?);
        }
        let _ = fleet.addresses.set(addresses);
        let _ = fleet.discoveries.set(discoveries);
        tokio::spawn(clock(Arc::downgrade(&fleet), due));
        Ok(fleet)
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        let mut inner = self.inner.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        inner.desk.now = self.now();
        inner
    }

    /// The day begins now.
    pub fn begin(&self) {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let _ = self.unix.set(unix.as_millis() as u64);
        let _ = self.start.set(Instant::now());
    }

    /// Since the day began.
    pub fn now(&self) -> Nanos {
        self.start.get().map_or(0, |start| start.elapsed().as_nanos() as Nanos)
    }

    /// When that time of the day is.
    pub fn instant(&self, at: Nanos) -> Instant {
        self.start.get().copied().unwrap_or_else(Instant::now) + Duration::from_nanos(at)
    }

    pub fn origin(&self) -> usize {
        self.day.nodes.count
    }

    pub fn day(&self) -> &Scenario {
        &self.day
    }

    pub fn life(&self, node: usize) -> watch::Receiver<Life> {
        self.lives[node].subscribe()
    }

    /// Where a node, or the origin, listens while it does.
    pub fn address(&self, node: usize) -> Option<SocketAddr> {
        self.addresses.get()?.get(node).copied()
    }

    pub fn discovery(&self, proxy: usize) -> Option<SocketAddr> {
        self.discoveries.get()?.get(proxy).copied()
    }

    // ---- Tries ------------------------------------------------------------------------------------

    /// A try has come to a stand-in and told it how long it will be waited for: what is known of its exchange, one-way
    /// delay, and whether it gets here.
    pub fn came(&self, xchg: u64, node: usize, told: Option<Nanos>) -> Option<(Operation, Nanos, bool)> {
        let mut inner = self.lock();
        let cache = (node < self.origin()).then_some(node);
        let now = inner.desk.now;
        inner.desk.tally.attempts += 1;
        inner.desk.auditor.attempt_sent(now, xchg, cache);
        inner.desk.auditor.timeout_advertised(now, xchg, cache, told);
        let (wish, proxy) = inner.out.get(&xchg).map(|out| (out.wish, out.proxy))?;
        let zones = self.day.nodes.zones;
        let Inner { network, rng, .. } = &mut *inner;
        let delay = network.delay(rng, proxy % zones, cache.map_or(0, |node| node % zones));
        Some((wish, delay, network.can_reach(proxy, node)))
    }

    /// Puts the job to the node; its verdict comes by the channel, if it ever does.
    pub fn arrive(&self, xchg: u64, node: usize, wish: &Operation) -> (JobId, oneshot::Receiver<JobOutcome>) {
        let mut inner = self.lock();
        let Inner { desk, nodes, origin, .. } = &mut *inner;
        desk.last += 1;
        let route = &self.day.route[wish.route];
        let job = Job {
            id: desk.last,
            key: wish.key,
            value_bytes: wish.value_bytes,
            service_time: millis(route.service_ms),
            write: route.write,
        };
        let (tell, told) = oneshot::channel();
        desk.waiting.insert(job.id, tell);
        desk.xchgs.insert(job.id, xchg);
        let now = desk.now;
        (node < nodes.len()).then(|| desk.auditor.node_received(now, xchg, node));
        match nodes.get_mut(node) {
            Some(cache) => cache.job_arrived(now, job, &mut Work { desk, node, cache: Some(node) }),
            None => origin.job_arrived(now, job, &mut Work { desk, node, cache: None }),
        }
        self.falls(&mut inner);
        (job.id, told)
    }

    /// The proxy has given up the try.
    pub fn cancelled(&self, job: Option<JobId>, xchg: u64, node: usize) {
        let mut inner = self.lock();
        let Inner { desk, nodes, origin, .. } = &mut *inner;
        desk.auditor.attempt_ended(desk.now, xchg, (node < nodes.len()).then_some(node));
        if let Some(job) = job {
            desk.waiting.remove(&job);
            desk.xchgs.remove(&job);
            match nodes.get_mut(node) {
                Some(node) => node.cancel(job),
                None => origin.cancel(job),
            }
        }
    }

    /// The verdict is on its way to the proxy.
    pub fn answered(&self, job: JobId, xchg: u64, node: usize, verdict: JobOutcome) {
        let mut inner = self.lock();
        let now = inner.desk.now;
        let cache = (node < self.origin()).then_some(node);
        inner.desk.auditor.attempt_ended(now, xchg, cache);
        inner.desk.xchgs.remove(&job);
        match (cache, verdict) {
            (Some(_), JobOutcome::Missed) => inner.desk.tally.misses += 1,
            (Some(_), JobOutcome::Completed) => inner.desk.tally.hits += 1,
            _ => {}
        }
        if verdict == JobOutcome::Completed {
            inner.desk.tally.served(now, cache);
        }
        if let (Some(node), JobOutcome::Missed) = (cache, verdict)
            && let Some(out) = inner.out.get_mut(&xchg)
        {
            out.missed.push(node);
        }
    }

    /// The origin is done: where it was missed a copy is kept, and what was written drops all copies.
    pub fn fetched(&self, xchg: u64) {
        let mut inner = self.lock();
        let Inner { nodes, out, .. } = &mut *inner;
        let Some(Out { wish, missed, .. }) = out.get(&xchg) else { return };
        if self.day.route[wish.route].write {
            nodes.iter_mut().for_each(|node| node.store.remove(wish.key));
        } else {
            for &node in missed.iter().filter(|&&node| nodes[node].up).collect::<Vec<_>>() {
                nodes[node].store.insert(wish.key, wish.value_bytes);
            }
        }
    }

    fn finished(&self, node: usize, job: JobId) {
        let mut inner = self.lock();
        let Inner { desk, nodes, origin, .. } = &mut *inner;
        let now = desk.now;
        match nodes.get_mut(node) {
            Some(cache) => cache.job_finished(now, job, &mut Work { desk, node, cache: Some(node) }),
            None => origin.job_finished(now, job, &mut Work { desk, node, cache: None }),
        }
        self.falls(&mut inner);
    }

    /// Whether a connection to this node is taken up.
    pub fn connects(&self, node: usize) -> bool {
        let mut inner = self.lock();
        let now = inner.desk.now;
        match inner.nodes.get_mut(node) {
            Some(node) => node.connect(),
            None => inner.origin.is_up(now),
        }
    }

    pub fn disconnects(&self, node: usize, epoch: u64) {
        if self.lives[node].borrow().epoch == epoch
            && let Some(node) = self.lock().nodes.get_mut(node)
        {
            node.disconnect();
        }
    }

    /// Whether a node answers a probe.
    pub fn speaks(&self, node: usize) -> bool {
        self.lock().nodes.get(node).is_none_or(|node| node.up && !node.unresponsive)
    }

    // ---- Exchanges, as the load generator has them ------------------------------------------------

    pub fn taken(&self, xchg: u64, wish: &Operation, proxy: usize, timeout: Nanos) {
        let mut inner = self.lock();
        let now = inner.desk.now;
        inner.desk.tally.requests += 1;
        inner.desk.auditor.request_accepted(now, xchg, proxy, wish.route, now + timeout);
        inner.out.insert(xchg, Out { wish: *wish, proxy, missed: Vec::new() });
    }

    /// Its client has written its last byte, and waits so long from now on.
    pub fn asked(&self, xchg: u64, patience: Nanos) {
        let mut inner = self.lock();
        let until = inner.desk.now + patience;
        inner.desk.auditor.set_client_deadline(xchg, until);
    }

    pub fn final_answer(&self, xchg: u64, answer: FinalAnswer, sound: bool) {
        let mut inner = self.lock();
        let now = inner.desk.now;
        inner.desk.auditor.answered(now, xchg, answer, sound);
        match answer {
            FinalAnswer::Shed => inner.desk.tally.shed += 1,
            FinalAnswer::Errored => inner.desk.tally.errored += 1,
            FinalAnswer::Served => {}
        }
        inner.desk.auditor.audit_due(now);
    }

    /// No answer is owed: nothing was taken, or its proxy was killed.
    pub fn excused(&self, xchg: u64, at: Nanos) {
        self.lock().desk.auditor.request_abandoned(at, xchg);
    }

    pub fn refused(&self) {
        self.lock().desk.tally.refused += 1;
    }

    /// The exchange is over for its client.
    pub fn over(&self, xchg: u64) {
        self.lock().out.remove(&xchg);
    }

    pub fn wish(&self, wish: &Operation, end: OperationOutcome) {
        self.lock().desk.tally.operation_finished(wish, end);
    }

    // ---- Discovery --------------------------------------------------------------------------------

    pub fn versions(&self) -> watch::Receiver<u64> {
        self.version.subscribe()
    }

    /// How much later a proxy is told; none while discovery answers nobody.
    pub fn tells_after(&self) -> Option<Nanos> {
        use rand::RngExt;
        let mut inner = self.lock();
        let usual = millis(self.day.discovery.propagation_ms);
        let delay = inner.rng.random_range(usual..=2 * usual);
        (!inner.registry.unresponsive).then_some(delay + inner.late)
    }

    /// The list as discovery has it for one proxy, which is told it with this: whole, or since a version.
    pub fn list(&self, proxy: usize, since: Option<u64>) -> Json {
        let mut inner = self.lock();
        let entries = match since {
            Some(version) => inner.registry.changes_since(version),
            None => inner.registry.snapshot(),
        };
        let now = inner.desk.now;
        for entry in entries.iter().filter(|entry| entry.node < self.origin()) {
            inner.desk.auditor.state_announced(now, proxy, entry.node, entry.state);
            inner.desk.auditor.start_announced(now, proxy, entry.node, entry.started_at);
        }
        let targets: Vec<Json> = entries.iter().map(|entry| self.target(entry)).collect();
        json!({"rev": inner.registry.version(), "all": since.is_none(), "targets": targets})
    }

    fn target(&self, entry: &NodeEntry) -> Json {
        let origin = entry.node == self.origin();
        let address = self.addresses.get().and_then(|all| all.get(entry.node)).map(ToString::to_string);
        let unix = self.unix.get().copied().unwrap_or(0);
        json!({
            "uid": if origin { "origin".into() } else { node_uid(entry.node) },
            "endpoint": address.unwrap_or_default(),
            "az": platform::zone(if origin { 0 } else { entry.node % self.day.nodes.zones }),
            "model": if origin { platform::ORIGIN } else { platform::CACHE },
            "pod_group": 0,
            "state": match entry.state {
                NodeState::Ready => "active",
                NodeState::Draining => "leaving",
                NodeState::Left => "left",
            },
            "boot_ms": if entry.started_at == 0 { 0 } else { unix + entry.started_at / 1_000_000 },
        })
    }

    /// A proxy starts from nothing.
    pub fn restarted(&self, proxy: usize) {
        self.lock().desk.auditor.proxy_restarted(proxy);
    }

    fn says(&self, inner: &mut Inner, node: usize) {
        let entry = inner.actual(node);
        if inner.registry.update(entry) {
            self.version.send_replace(inner.registry.version());
        }
    }

    /// Discovery gets to know of a node after a while.
    fn notice(self: &Arc<Self>, node: usize, after: Nanos) {
        let fleet = self.clone();
        tokio::spawn(async move {
            sleep(Duration::from_nanos(after)).await;
            let mut inner = fleet.lock();
            fleet.says(&mut inner, node);
        });
    }

    // ---- What goes wrong --------------------------------------------------------------------------

    pub async fn changes(self: &Arc<Self>, change: WorldChange) {
        let mut inner = self.lock();
        let (now, noticed) = (inner.desk.now, millis(self.day.discovery.detection_ms));
        match change {
            WorldChange::Stop(node) => {
                self.node_stops(&mut inner, node);
                self.notice(node, noticed);
            }
            WorldChange::Start(node) => {
                self.node_starts(&mut inner, node);
                self.notice(node, noticed);
            }
            WorldChange::NodeSpeed(node, factor) => inner.nodes[node].slowdown = factor,
            WorldChange::Pause(node, until) => inner.nodes[node].pause(until),
            WorldChange::Errors(node, share) => inner.nodes[node].error_share = share,
            WorldChange::Spoils(node, share) => inner.nodes[node].corrupt_share = share,
            WorldChange::Refuses(node, refuses) => {
                inner.nodes[node].refuses_connections = refuses;
                self.lives[node].send_modify(|life| life.listens = !refuses);
            }
            WorldChange::Silent(node, silent) => inner.nodes[node].unresponsive = silent,
            WorldChange::Drain(node) => {
                inner.nodes[node].draining_since = Some(now);
                self.says(&mut inner, node);
            }
            WorldChange::Undrain(node) => {
                inner.nodes[node].draining_since = None;
                self.says(&mut inner, node);
            }
            WorldChange::Leave(node) => {
                inner.left[node] = true;
                self.node_stops(&mut inner, node);
                self.says(&mut inner, node);
            }
            WorldChange::OriginSpeed(factor) => inner.origin.slowdown = factor,
            WorldChange::OriginDown(down) => {
                inner.origin.down = down;
                if down {
                    inner.origin.stop();
                }
                let listens = !down;
                self.lives[self.origin()].send_modify(|life| *life = Life { listens, epoch: life.epoch + 1 });
            }
            WorldChange::Void => inner.nodes.iter_mut().for_each(|node| node.store.clear()),
            WorldChange::Kill(_) => {}
            WorldChange::Discovery(speaks) => inner.registry.unresponsive = !speaks,
            WorldChange::DiscoveryLate(late) => inner.late = late,
            WorldChange::Freeze(node, frozen) => {
                inner.registry.set_frozen(node, frozen);
                self.says(&mut inner, node);
            }
            WorldChange::Lie(node, lies) => {
                inner.lies[node] = lies;
                self.says(&mut inner, node);
            }
            WorldChange::Clock(node, off) => {
                inner.clock[node] = (off != 0).then_some(off);
                self.says(&mut inner, node);
            }
            WorldChange::Cut(proxy, node, cut) => inner.network.set_partitioned(proxy, node, cut),
        }
    }

    fn node_stops(&self, inner: &mut Inner, node: usize) {
        inner.nodes[node].stop();
        self.lives[node].send_modify(|life| *life = Life { listens: false, epoch: life.epoch + 1 });
    }

    fn node_starts(&self, inner: &mut Inner, node: usize) {
        if !inner.nodes[node].up || inner.left[node] {
            let now = inner.desk.now.max(1);
            inner.nodes[node].start(now);
            inner.desk.auditor.node_started(now, node);
            inner.left[node] = false;
            self.lives[node].send_modify(|life| *life = Life { listens: true, epoch: life.epoch + 1 });
        }
    }

    /// Nodes that fell over by themselves stop, and come back.
    fn falls(&self, inner: &mut Inner) {
        while let Some(node) = inner.desk.fallen.pop() {
            let now = inner.desk.now;
            let down = if node < self.origin() {
                inner.desk.tally.cold_node_overloads += 1;
                inner.desk.auditor.cold_node_overloaded(now, node);
                seconds(self.day.nodes.down_seconds)
            } else {
                inner.desk.tally.origin_stops += 1;
                if inner.origin.slowdown <= 1.0 {
                    inner.desk.auditor.origin_stopped(now);
                }
                seconds(self.day.origin.down_seconds)
            };
            self.lives[node].send_modify(|life| *life = Life { listens: false, epoch: life.epoch + 1 });
            // The clock of jobs brings it back: a job of no number.
            let _ = inner.desk.timers.send((now + down, node, 0));
        }
    }

    fn back(self: &Arc<Self>, node: usize) {
        let mut inner = self.lock();
        if node < self.origin() {
            self.node_starts(&mut inner, node);
            self.notice(node, millis(self.day.discovery.detection_ms));
        } else if inner.origin.is_up(inner.desk.now) {
            self.lives[node].send_modify(|life| life.listens = true);
        }
    }

    /// Waits until no node has a job.
    pub async fn quiet(&self) {
        while !self.lock().desk.waiting.is_empty() {
            sleep(Duration::from_millis(20)).await;
        }
    }

    /// The rules and the counts; the day is over.
    pub fn end(&self) -> (Auditor, RunMetrics) {
        let mut inner = self.lock();
        let auditor = std::mem::replace(&mut inner.desk.auditor, Auditor::new(&self.day, 0));
        (auditor, std::mem::replace(&mut inner.desk.tally, RunMetrics::new(&self.day)))
    }
}

impl Inner {
    fn actual(&self, node: usize) -> NodeEntry {
        let gone = self.left[node] || self.lies[node];
        self.nodes[node].registry_entry(node, self.desk.now, gone, self.clock[node])
    }
}

/// Tells the nodes when their jobs are done; ends with the fleet.
async fn clock(fleet: std::sync::Weak<Fleet>, mut due: mpsc::UnboundedReceiver<(Nanos, usize, JobId)>) {
    let mut timers: BinaryHeap<Reverse<(Nanos, usize, JobId)>> = BinaryHeap::new();
    loop {
        let Some(here) = fleet.upgrade() else { return };
        let next = timers.peek().map_or(Nanos::MAX, |Reverse((at, ..))| *at);
        let wake = here.instant(next.min(here.now() + millis(100.0)));
        drop(here);
        tokio::select! {
            timer = due.recv() => match timer {
                Some(timer) => timers.push(Reverse(timer)),
                None => return,
            },
            () = sleep_until(wake) => {}
        }
        let Some(here) = fleet.upgrade() else { return };
        while let Some(&Reverse((at, node, job))) = timers.peek() {
            if at > here.now() {
                break;
            }
            timers.pop();
            if job == 0 {
                here.back(node);
            } else {
                here.finished(node, job);
            }
        }
    }
}
