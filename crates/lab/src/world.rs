//! The world in virtual time: it takes what the proxies do, lets the model's parts work on it, and tells the
//! proxies what comes of it.

use crate::audit::{Auditor, Final};
use crate::metrics::{End, Tally};
use crate::simulated_proxy::{Due, ToSeat, ToWorld, key_mark, uid};
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
const TRIES: u64 = 16;
/// A silent list is given up after this.
const LIST_SILENT: Nanos = 3 * SECOND / 2;
const SWEEP: Nanos = SECOND;

/// A try's number at its node.
fn job_of(xchg: RequestId, try_no: usize) -> JobId {
    xchg * TRIES + (try_no as u64).min(TRIES - 1)
}

enum Event {
    Seat(usize, ToWorld),
    Finished(Node, JobId),
    Changes(WorldChange),
    /// Discovery gets to know what a node says of itself.
    Notice(Node),
    /// A node that fell over comes back.
    Back(Node),
    Again(u64, usize),
    TimedOut(RequestId),
    Cut(RequestId, Nanos),
    Sweep,
}

/// A try that a node has.
#[derive(Clone, Copy)]
struct At {
    proxy: usize,
    node: Node,
}

struct Cx {
    wish: u64,
    proxy: usize,
    sent: Nanos,
    missed: Vec<Node>,
}

struct Wanted {
    wish: Operation,
    tries: u32,
    /// Proxies that refused in a row.
    refused: usize,
    last: End,
}

/// What every part needs while another is at work.
struct Core {
    now: Nanos,
    order: u64,
    events: BinaryHeap<Due<Event>>,
    mail: Vec<(usize, Nanos, ToSeat)>,
    network: Network,
    rng: Rng,
    zones: usize,
    jobs: HashMap<JobId, At>,
    epochs: Vec<u64>,
    auditor: Auditor,
    tally: Tally,
    fallen: Vec<Node>,
}

impl Core {
    fn at(&mut self, at: Nanos, what: Event) {
        self.order += 1;
        self.events.push(Due { at, order: self.order, what });
    }

    fn zone(&self, node: Node) -> usize {
        if node + 1 >= self.epochs.len() { 0 } else { node % self.zones }
    }

    /// Back from a node to a proxy.
    fn delay(&mut self, node: Node, proxy: usize) -> Nanos {
        let (from, to) = (self.zone(node), proxy % self.zones);
        self.network.delay(&mut self.rng, from, to)
    }

    fn tell(&mut self, proxy: usize, at: Nanos, what: ToSeat) {
        self.mail.push((proxy, at, what));
    }

    /// The outcome of a try goes back to its proxy, after so long at least.
    fn back(&mut self, at: At, job: JobId, outcome: Outcome, after: Nanos) {
        let (xchg, try_no) = (job / TRIES, (job % TRIES) as usize);
        let due = self.now + after + self.delay(at.node, at.proxy);
        self.auditor.over(due, xchg, self.cache(at.node));
        let epoch = self.epochs[at.node];
        self.tell(at.proxy, due, ToSeat::Back { xchg, try_no, outcome, epoch, value: xchg });
    }

    /// The node's number where it is a cache.
    fn cache(&self, node: Node) -> Option<usize> {
        (node + 1 < self.epochs.len()).then_some(node)
    }
}

/// A node at work.
struct Work<'a> {
    core: &'a mut Core,
    node: Node,
    /// What was done at last, for whoever had the node do it.
    done: Option<(JobId, JobOutcome)>,
}

impl Environment for Work<'_> {
    fn schedule_completion(&mut self, at: Nanos, job: JobId) {
        self.core.at(at, Event::Finished(self.node, job));
    }

    fn execution_started(&mut self, job: JobId) {
        let (now, node) = (self.core.now, self.core.cache(self.node));
        self.core.auditor.ran(now, job / TRIES, node);
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
        self.core.back(at, job, outcome, 0);
    }

    fn crashed(&mut self, _now: Nanos) {
        self.core.fallen.push(self.node);
    }
}

pub struct World {
    day: Scenario,
    core: Core,
    nodes: Vec<CacheNode>,
    origin: Origin,
    registry: Registry,
    late: Nanos,
    lies: Vec<bool>,
    clock: Vec<Option<i64>>,
    left: Vec<bool>,
    proxies: Vec<Known>,
    traffic: Traffic,
    next_wish: Option<Operation>,
    wishes: HashMap<u64, Wanted>,
    xchgs: HashMap<RequestId, Cx>,
    last_wish: u64,
    last_xchg: RequestId,
    client_rng: Rng,
    retry_rng: Rng,
}

/// What discovery has told a proxy.
#[derive(Clone, Default)]
struct Known {
    follows: bool,
    version: u64,
    told: Nanos,
    life: u64,
}

impl World {
    pub fn new(day: &Scenario, seed: u64) -> World {
        let nodes = day.nodes.count;
        let core = Core {
            now: 0,
            order: 0,
            events: BinaryHeap::new(),
            mail: Vec::new(),
            network: Network::new(&day.network),
            rng: rng(seed, "network", 0),
            zones: day.nodes.zones,
            jobs: HashMap::new(),
            epochs: vec![1; nodes + 1],
            auditor: Auditor::new(day, millis(1.0)),
            tally: Tally::new(day),
            fallen: Vec::new(),
        };
        let mut traffic = Traffic::new(day, seed);
        let next_wish = traffic.next();
        let mut world = World {
            core,
            nodes: (0..nodes).map(|node| CacheNode::new(&day.nodes, seed, node)).collect(),
            origin: Origin::new(&day.origin, seed),
            registry: Registry::default(),
            late: 0,
            lies: vec![false; nodes],
            clock: vec![None; nodes],
            left: vec![false; nodes],
            proxies: vec![Known::default(); day.proxies.count],
            traffic,
            next_wish,
            wishes: HashMap::new(),
            xchgs: HashMap::new(),
            last_wish: 0,
            last_xchg: 0,
            client_rng: rng(seed, "clients", 0),
            retry_rng: rng(seed, "retries", 0),
            day: day.clone(),
        };
        world.begin(seed);
        world
    }

    fn begin(&mut self, seed: u64) {
        for node in initially_absent_nodes(&self.day) {
            self.nodes[node].up = false;
            self.left[node] = true;
        }
        for (node, keys) in warm(&self.day, &self.nodes) {
            for key in keys {
                self.nodes[node].store.insert(key, traffic::value_bytes(&self.day, key));
            }
        }
        for node in 0..self.nodes.len() {
            self.registry.update(self.actual(node));
        }
        self.registry.update(NodeEntry { node: self.nodes.len(), state: NodeState::Ready, started_at: 0 });
        // Proxies do not start in step.
        let mut starts = rng(seed, "starts", 0);
        for proxy in 0..self.proxies.len() {
            let at = starts.random_range(0..millis(100.0));
            self.start(proxy, at);
        }
        for (at, change) in timeline(&self.day) {
            if let WorldChange::Kill(proxy) = change {
                self.core.tell(proxy, at, ToSeat::Kill);
            }
            self.core.at(at, Event::Changes(change));
        }
        self.core.at(SWEEP, Event::Sweep);
    }

    /// What a node is, as it says itself.
    fn actual(&self, node: Node) -> NodeEntry {
        let gone = self.left[node] || self.lies[node];
        self.nodes[node].registry_entry(node, self.core.now, gone, self.clock[node])
    }

    pub fn next_at(&self) -> Nanos {
        let event = self.core.events.peek().map_or(Nanos::MAX, |due| due.at);
        event.min(self.next_wish.map_or(Nanos::MAX, |wish| wish.start))
    }

    /// Whether all that was asked for has come to its end.
    pub fn done(&self) -> bool {
        self.next_wish.is_none() && self.wishes.is_empty()
    }

    /// Takes what a proxy did.
    pub fn take(&mut self, proxy: usize, at: Nanos, what: ToWorld) {
        self.core.at(at, Event::Seat(proxy, what));
    }

    /// Mail to the proxies since last asked, in its order.
    pub fn mail(&mut self) -> std::vec::Drain<'_, (usize, Nanos, ToSeat)> {
        self.core.mail.drain(..)
    }

    /// The rules and the counts, once the day is over.
    pub fn end(mut self) -> (Auditor, Tally) {
        self.core.auditor.finish();
        (self.core.auditor, self.core.tally)
    }

    /// Plays all that happens before that time.
    pub fn play(&mut self, until: Nanos) {
        while self.next_at() < until {
            let event = self.core.events.peek().map_or(Nanos::MAX, |due| due.at);
            if let Some(wish) = self.next_wish.filter(|wish| wish.start <= event) {
                self.core.now = wish.start;
                self.next_wish = self.traffic.next();
                self.wish(wish);
            } else if let Some(due) = self.core.events.pop() {
                self.core.now = due.at;
                self.happens(due.what);
            }
            while let Some(node) = self.core.fallen.pop() {
                self.fell(node);
            }
        }
    }

    fn happens(&mut self, event: Event) {
        match event {
            Event::Seat(proxy, what) => self.did(proxy, what),
            Event::Finished(node, job) => self.finished(node, job),
            Event::Changes(change) => self.changes(change),
            Event::Notice(node) => {
                if self.registry.update(self.actual(node)) {
                    self.tell_all();
                }
            }
            Event::Back(node) => self.node_starts(node),
            Event::Again(wish, proxy) => self.ask(wish, proxy),
            Event::TimedOut(xchg) => self.ended(xchg, End::Lost, 0),
            Event::Cut(xchg, died) => {
                if self.xchgs.contains_key(&xchg) {
                    self.core.auditor.lost(died, xchg);
                    self.ended(xchg, End::Lost, millis(self.day.clients.failover_ms));
                }
            }
            Event::Sweep => {
                let now = self.core.now;
                self.core.auditor.sweep(now);
                if !self.done() {
                    self.core.at(now + SWEEP, Event::Sweep);
                }
            }
        }
    }

    // ---- Clients --------------------------------------------------------------------------------

    fn wish(&mut self, wish: Operation) {
        self.last_wish += 1;
        let wanted = Wanted { wish, tries: 0, refused: 0, last: End::Lost };
        self.wishes.insert(self.last_wish, wanted);
        self.ask(self.last_wish, wish.proxy);
    }

    fn ask(&mut self, number: u64, proxy: usize) {
        let now = self.core.now;
        let Some(wanted) = self.wishes.get_mut(&number) else { return };
        wanted.tries += 1;
        let (wish, route) = (wanted.wish, &self.day.route[wanted.wish.route]);
        self.last_xchg += 1;
        let xchg = self.last_xchg;
        let timeout = millis(route.timeout_ms);
        let ask = RequestParams {
            route: wish.route,
            tenant: (!self.day.tenant.is_empty()).then_some(wish.tenant),
            key: Some(key_mark(wish.key)),
            write: route.write,
            work_hint: None,
            client_timeout: timeout,
            is_retry: wanted.tries > 1,
        };
        let at = now + self.core.network.delay(&mut self.client_rng, 0, 0);
        self.core.tally.exchanges += 1;
        self.core.auditor.taken(at, xchg, proxy, wish.route, at + timeout);
        self.core.auditor.client_waits_until(xchg, now + timeout);
        self.core.tell(proxy, at, ToSeat::Arrived { xchg, ask });
        self.core.at(now + timeout + traffic::CLIENT_TIMEOUT_MARGIN, Event::TimedOut(xchg));
        self.xchgs.insert(xchg, Cx { wish: number, proxy, sent: now, missed: Vec::new() });
    }

    /// An exchange ended for its client; it may ask again.
    fn ended(&mut self, xchg: RequestId, end: End, pause: Nanos) {
        let Some(cx) = self.xchgs.remove(&xchg) else { return };
        let Some(wanted) = self.wishes.get_mut(&cx.wish) else { return };
        let served = matches!(end, End::Served(_));
        wanted.last = end;
        let repeatable = !self.day.route[wanted.wish.route].write || end == End::Shed;
        let again = match served || !repeatable {
            true => None,
            false => traffic::retry_delay(&self.day, &mut self.retry_rng, wanted.tries, pause),
        };
        match again {
            Some(wait) => {
                let moves = usize::from(end == End::Lost);
                let proxy = (cx.proxy + moves) % self.day.proxies.count;
                self.core.at(self.core.now + wait, Event::Again(cx.wish, proxy));
            }
            None => {
                if let Some(wanted) = self.wishes.remove(&cx.wish) {
                    self.core.tally.wish(&wanted.wish, wanted.last);
                }
            }
        }
    }

    /// The connection was refused: another proxy is asked at once, until all were.
    fn refused(&mut self, xchg: RequestId) {
        let now = self.core.now;
        self.core.auditor.lost(now, xchg);
        self.core.tally.refused += 1;
        let Some(cx) = self.xchgs.remove(&xchg) else { return };
        let Some(wanted) = self.wishes.get_mut(&cx.wish) else { return };
        wanted.refused += 1;
        // Nothing was taken: it does not count as a try.
        wanted.tries -= 1;
        if wanted.refused < self.day.proxies.count.min(traffic::MAX_CONNECTION_REFUSALS) {
            self.ask(cx.wish, (cx.proxy + 1) % self.day.proxies.count);
        } else if let Some(wanted) = self.wishes.remove(&cx.wish) {
            self.core.tally.wish(&wanted.wish, End::Lost);
        }
    }

    fn answered(&mut self, xchg: RequestId, sent: Nanos, answer: Final, sound: bool, pause: Nanos) {
        self.core.auditor.answered(sent, xchg, answer, sound);
        let Some(cx) = self.xchgs.get(&xchg) else { return };
        debug_assert!(cx.sent <= sent);
        let since = self.wishes.get(&cx.wish).map_or(sent, |wanted| wanted.wish.start);
        let end = match answer {
            Final::Served => End::Served(self.core.now - since),
            Final::Shed => End::Shed,
            Final::Errored => End::Errored,
        };
        match answer {
            Final::Shed => self.core.tally.shed += 1,
            Final::Errored => self.core.tally.errored += 1,
            Final::Served => {}
        }
        self.ended(xchg, end, pause);
    }

    // ---- What proxies do --------------------------------------------------------------------------

    fn did(&mut self, proxy: usize, what: ToWorld) {
        match what {
            ToWorld::Try { xchg, try_no, node, sent, epoch, told } => {
                self.tried(At { proxy, node }, job_of(xchg, try_no), sent, epoch);
                let cache = self.core.cache(node);
                self.core.auditor.told_time(sent, xchg, cache, Some(told));
            }
            ToWorld::Cancel { xchg, try_no, node, sent } => {
                let job = job_of(xchg, try_no);
                self.core.auditor.over(sent, xchg, self.core.cache(node));
                self.core.jobs.remove(&job);
                match self.nodes.get_mut(node) {
                    Some(node) => {
                        node.cancel(job);
                        node.disconnect();
                    }
                    None => self.origin.cancel(job),
                }
            }
            ToWorld::Severed { xchg, try_no, node, sent } => {
                self.core.auditor.over(sent, xchg, self.core.cache(node));
                self.core.jobs.remove(&job_of(xchg, try_no));
            }
            ToWorld::Close { node, epoch } => {
                if self.core.epochs[node] == epoch
                    && let Some(node) = self.nodes.get_mut(node)
                {
                    node.disconnect();
                }
            }
            ToWorld::Served { xchg, sent, value } => {
                self.answered(xchg, sent, Final::Served, value == xchg, 0);
            }
            ToWorld::Shed { xchg, sent, pause } => self.answered(xchg, sent, Final::Shed, true, pause),
            ToWorld::Errored { xchg, sent } => self.answered(xchg, sent, Final::Errored, true, 0),
            ToWorld::Refused { xchg } => self.refused(xchg),
            ToWorld::Probe { node } => self.probed(proxy, node),
            ToWorld::Follow => self.follows(proxy),
            ToWorld::Log(_) => self.core.tally.log_lines += 1,
        }
    }

    fn tried(&mut self, at: At, job: JobId, sent: Nanos, epoch: Option<u64>) {
        let (now, xchg) = (self.core.now, job / TRIES);
        let cache = self.core.cache(at.node);
        self.core.tally.tries += 1;
        self.core.auditor.sent(sent, xchg, cache);
        if !self.core.network.can_reach(at.proxy, at.node) {
            if epoch.is_none() {
                self.core.back(at, job, Outcome::Unreachable, millis(crate::platform::CONNECT_MS));
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
            return self.core.back(at, job, lost, 0);
        }
        let Some(cx) = self.xchgs.get(&xchg) else {
            // Its client is gone, and so is what it asked for: the node turns it away.
            return self.core.back(at, job, Outcome::Saturated, 0);
        };
        let wish = self.wishes[&cx.wish].wish;
        let route = &self.day.route[wish.route];
        let job = Job {
            id: job,
            key: wish.key,
            value_bytes: wish.value_bytes,
            service_time: millis(route.service_ms),
            write: route.write,
        };
        self.core.jobs.insert(job.id, at);
        cache.into_iter().for_each(|node| self.core.auditor.got(now, xchg, node));
        let mut work = Work { core: &mut self.core, node: at.node, done: None };
        match self.nodes.get_mut(at.node) {
            Some(node) => node.job_arrived(now, job, &mut work),
            None => self.origin.job_arrived(now, job, &mut work),
        }
    }

    fn finished(&mut self, node: Node, job: JobId) {
        let now = self.core.now;
        let asked = self.core.jobs.contains_key(&job);
        let mut work = Work { core: &mut self.core, node, done: None };
        match self.nodes.get_mut(node) {
            Some(node) => node.job_finished(now, job, &mut work),
            None => self.origin.job_finished(now, job, &mut work),
        }
        // Others may have begun and ended at once, but this one's verdict was the first.
        let Some((_, verdict)) = work.done.filter(|(done, _)| *done == job) else { return };
        let xchg = job / TRIES;
        match (node < self.nodes.len(), verdict) {
            (true, JobOutcome::Missed) => {
                self.core.tally.misses += 1;
                if let Some(cx) = self.xchgs.get_mut(&xchg) {
                    cx.missed.push(node);
                }
            }
            (true, JobOutcome::Completed) => {
                self.core.tally.hits += 1;
                self.core.tally.served(now, Some(node));
            }
            (false, JobOutcome::Completed) => self.fetched(xchg, asked),
            _ => {}
        }
    }

    /// The origin has answered: where it was missed a copy is kept, and what was written drops all copies.
    fn fetched(&mut self, xchg: RequestId, asked: bool) {
        self.core.tally.served(self.core.now, None);
        let Some(cx) = self.xchgs.get(&xchg) else { return };
        let wish = self.wishes[&cx.wish].wish;
        if self.day.route[wish.route].write {
            self.nodes.iter_mut().for_each(|node| node.store.remove(wish.key));
        } else if asked {
            for &node in &cx.missed {
                if self.nodes[node].up {
                    self.nodes[node].store.insert(wish.key, wish.value_bytes);
                }
            }
        }
    }

    fn probed(&mut self, proxy: usize, node: Node) {
        let now = self.core.now;
        let there = self.core.network.can_reach(proxy, node);
        let (up, silent) = match self.nodes.get(node) {
            Some(node) => (node.up && !node.refuses_connections, node.unresponsive),
            None => (self.origin.is_up(now), false),
        };
        let (outcome, after) = match (there, up, silent) {
            (false, ..) => (Outcome::Unreachable, millis(crate::platform::CONNECT_MS)),
            (true, false, _) => (Outcome::Unreachable, 0),
            (true, true, true) => (Outcome::Overdue, SECOND),
            (true, true, false) => (Outcome::Completed, 0),
        };
        let due = now + after + self.core.delay(node, proxy);
        self.core.tell(proxy, due, ToSeat::Probed { node, outcome });
    }

    // ---- Discovery --------------------------------------------------------------------------------

    /// A proxy's process begins at that time, with the list as it is now.
    fn start(&mut self, proxy: usize, at: Nanos) {
        let entries = self.registry.snapshot();
        self.core.auditor.restarted(proxy);
        for entry in entries.iter().filter(|entry| entry.node < self.nodes.len()) {
            self.core.auditor.told(at, proxy, entry.node, entry.state);
            self.core.auditor.told_start(at, proxy, entry.node, entry.started_at);
        }
        let known = &mut self.proxies[proxy];
        known.life += 1;
        known.version = self.registry.version();
        known.told = at;
        known.follows = self.day.discovery.mode == DiscoveryMode::Push;
        let life = known.life;
        self.core.tell(proxy, at, ToSeat::Start { entries: Arc::new(entries), life });
    }

    fn tell_all(&mut self) {
        (0..self.proxies.len()).for_each(|proxy| self.tell_list(proxy));
    }

    /// Tells a proxy what changed since it was last told.
    fn tell_list(&mut self, proxy: usize) {
        let known = &mut self.proxies[proxy];
        if self.registry.unresponsive || !known.follows || known.version == self.registry.version() {
            return;
        }
        let entries = self.registry.changes_since(known.version);
        known.version = self.registry.version();
        let usual = millis(self.day.discovery.propagation_ms);
        let delay = self.core.network.min_delay() + self.late + self.core.rng.random_range(usual..=2 * usual);
        known.told = (self.core.now + delay).max(known.told + 1);
        let at = known.told;
        for entry in entries.iter().filter(|entry| entry.node < self.nodes.len()) {
            self.core.auditor.told(at, proxy, entry.node, entry.state);
            self.core.auditor.told_start(at, proxy, entry.node, entry.started_at);
        }
        self.core.tell(proxy, at, ToSeat::Listed { whole: false, entries: Arc::new(entries) });
    }

    fn follows(&mut self, proxy: usize) {
        if self.registry.unresponsive {
            let at = self.core.now + LIST_SILENT;
            self.core.tell(proxy, at, ToSeat::ListFailed);
        } else {
            self.proxies[proxy].follows = true;
            self.tell_list(proxy);
        }
    }

    fn discovery(&mut self, speaks: bool) {
        self.registry.unresponsive = !speaks;
        if speaks {
            return self.tell_all();
        }
        if self.day.discovery.mode == DiscoveryMode::Poll {
            let at = self.core.now + LIST_SILENT;
            for proxy in 0..self.proxies.len() {
                if std::mem::take(&mut self.proxies[proxy].follows) {
                    self.core.tell(proxy, at, ToSeat::ListFailed);
                }
            }
        }
    }

    fn notice(&mut self, node: Node) {
        let after = millis(self.day.discovery.detection_ms);
        self.core.at(self.core.now + after, Event::Notice(node));
    }

    // ---- What goes wrong --------------------------------------------------------------------------

    fn changes(&mut self, change: WorldChange) {
        let now = self.core.now;
        match change {
            WorldChange::Stop(node) => self.node_stops(node),
            WorldChange::Start(node) => self.node_starts(node),
            WorldChange::NodeSpeed(node, factor) => self.nodes[node].slowdown = factor,
            WorldChange::Pause(node, until) => self.nodes[node].pause(until),
            WorldChange::Errors(node, share) => self.nodes[node].error_share = share,
            WorldChange::Spoils(node, share) => self.nodes[node].corrupt_share = share,
            WorldChange::Refuses(node, refuses) => self.nodes[node].refuses_connections = refuses,
            WorldChange::Silent(node, silent) => self.nodes[node].unresponsive = silent,
            WorldChange::Drain(node) => {
                self.nodes[node].draining_since = Some(now);
                self.at_once(node);
            }
            WorldChange::Undrain(node) => {
                self.nodes[node].draining_since = None;
                self.at_once(node);
            }
            WorldChange::Leave(node) => {
                self.left[node] = true;
                self.node_stops(node);
                self.at_once(node);
            }
            WorldChange::OriginSpeed(factor) => self.origin.slowdown = factor,
            WorldChange::OriginDown(down) => {
                self.origin.down = down;
                if down {
                    self.origin.stop();
                    self.breaks(self.nodes.len());
                }
            }
            WorldChange::Void => self.nodes.iter_mut().for_each(|node| node.store.clear()),
            WorldChange::Kill(proxy) => self.killed(proxy),
            WorldChange::Discovery(speaks) => self.discovery(speaks),
            WorldChange::DiscoveryLate(late) => self.late = late,
            WorldChange::Freeze(node, frozen) => {
                self.registry.set_frozen(node, frozen);
                self.at_once(node);
            }
            WorldChange::Lie(node, lies) => {
                self.lies[node] = lies;
                self.at_once(node);
            }
            WorldChange::Clock(node, off) => {
                self.clock[node] = (off != 0).then_some(off);
                self.at_once(node);
            }
            WorldChange::Cut(proxy, node, cut) => self.core.network.set_partitioned(proxy, node, cut),
        }
    }

    /// Discovery is told on purpose.
    fn at_once(&mut self, node: Node) {
        self.core.at(self.core.now, Event::Notice(node));
    }

    fn node_stops(&mut self, node: Node) {
        self.nodes[node].stop();
        self.breaks(node);
        self.notice(node);
    }

    fn node_starts(&mut self, node: Node) {
        if !self.nodes[node].up || self.left[node] {
            self.nodes[node].start(self.core.now.max(1));
            self.core.auditor.started(self.core.now.max(1), node);
            self.left[node] = false;
            self.core.epochs[node] += 1;
            self.notice(node);
        }
    }

    /// All connections to a node, or the origin, break, and its jobs are lost.
    fn breaks(&mut self, node: Node) {
        self.core.epochs[node] += 1;
        self.core.jobs.retain(|_, at| at.node != node);
        for proxy in 0..self.proxies.len() {
            let due = self.core.now + self.core.delay(node, proxy);
            self.core.tell(proxy, due, ToSeat::Reset { node });
        }
    }

    fn fell(&mut self, node: Node) {
        let now = self.core.now;
        if let Some(cache) = self.core.cache(node) {
            self.core.tally.buried += 1;
            self.core.auditor.buried(now, cache);
            self.breaks(node);
            self.notice(node);
            self.core.at(now + seconds(self.day.nodes.down_seconds), Event::Back(node));
        } else {
            self.core.tally.origin_stops += 1;
            if self.origin.slowdown <= 1.0 {
                self.core.auditor.origin_stopped(now);
            }
            self.breaks(node);
        }
    }

    fn killed(&mut self, proxy: usize) {
        let now = self.core.now;
        self.proxies[proxy].follows = false;
        let open = self.xchgs.iter().filter(|(_, cx)| cx.proxy == proxy).map(|(&xchg, _)| xchg);
        let mut open: Vec<RequestId> = open.collect();
        open.sort_unstable();
        // After all that it has still answered.
        let reset = now + 2 * self.core.network.min_delay() + millis(5.0);
        for xchg in open {
            self.core.auditor.lost(now, xchg);
            self.core.at(reset, Event::Cut(xchg, now));
        }
        let least = self.core.network.min_delay();
        self.start(proxy, now + seconds(self.day.proxies.restart_seconds).max(least));
    }
}

/// What each node holds at the start: the keys whose two highest rendezvous hashes it is among, the most
/// popular kept last, so that they stay.
pub fn warm(day: &Scenario, nodes: &[CacheNode]) -> Vec<(Node, Vec<u64>)> {
    let there: Vec<(Node, u64)> = (0..nodes.len())
        .filter(|&node| nodes[node].up)
        .map(|node| (node, pumicebay_names::stable_hash(&uid(node))))
        .collect();
    let mut held: Vec<(Node, Vec<u64>)> = (0..nodes.len()).map(|node| (node, Vec::new())).collect();
    let most = (day.clients.keys as f64 * day.clients.warm_keys) as u64;
    for rank in (1..=most).rev() {
        let key = traffic::key_at_rank(rank % day.clients.keys);
        let mark = key_mark(key);
        let mut best: [(u64, Node); 2] = [(0, usize::MAX); 2];
        for &(node, identity) in &there {
            let hash = rendezvous(mark, identity);
            if hash > best[0].0 {
                best = [(hash, node), best[0]];
            } else if hash > best[1].0 {
                best[1] = (hash, node);
            }
        }
        best.iter().filter(|(_, node)| *node != usize::MAX).for_each(|(_, node)| held[*node].1.push(key));
    }
    held
}
