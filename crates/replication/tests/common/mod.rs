//! A simulation of a group of replicas in one process, with simulated links, disks, clocks and randomness.
//! After every event it checks the invariants of the replica concerned.
#![allow(dead_code)]

use pumicebay_replication::*;
use std::cmp::Ordering;
use std::collections::BTreeMap;

pub const MS: Nanos = 1_000_000;
pub const SECOND: Nanos = 1_000 * MS;
/// Unix time at the start of the simulation.
const EPOCH: Nanos = 1_000_000 * SECOND;
pub const RETENTION: Nanos = 60 * SECOND;
pub const MAX_CLOCK_SKEW: Nanos = 10 * SECOND;
/// The first end of a muted link closes it after this time, the second end a quarter of it later.
const LINK_TIMEOUT: Nanos = 2 * SECOND;
pub const BYTES_PER_SECOND: usize = 4_000;
/// More ticks than this in one simulation mean that a replica requests to be called in an endless loop.
const MAX_TICKS: u64 = 2_000_000;

/// The order of precedence within a slot, implemented independently of the crate: by token, time, out of
/// service, issuer and version.
pub fn rank(order: &Order) -> (u64, Nanos, ServiceState, Stamp) {
    (order.token, order.stamp.time, order.service, order.stamp.clone())
}

/// The rule for the state of a node, implemented independently of the crate.
pub fn expected(entries: &[Entry], node: &str) -> ServiceState {
    let orders_of_node: Vec<&Entry> = entries.iter().filter(|entry| entry.slot.node == node).collect();
    let leased: Vec<&Entry> =
        orders_of_node.iter().filter(|entry| entry.slot.lease.is_some()).copied().collect();
    let candidates = if leased.is_empty() { orders_of_node } else { leased };
    let latest = candidates.iter().map(|entry| entry.order.stamp.time).max();
    let at_latest = candidates.iter().filter(|entry| Some(entry.order.stamp.time) == latest);
    at_latest.map(|entry| entry.order.service).max().unwrap_or(ServiceState::In)
}

/// An event of the simulation. Processes are given by index and incarnation; events of an earlier incarnation
/// are ignored.
#[derive(Debug)]
enum Event {
    Tick(usize, u64),
    DialCompleted(usize, u64, String),
    Deliver(LinkId, usize, Message),
    LinkDown(LinkId, usize),
    Persisted(usize, u64, Snapshot),
    Start(usize),
}

/// A simulated process, running or not.
pub struct Process {
    pub name: String,
    pub replica: Option<Replica>,
    pub incarnation: u64,
    host: ActionQueue,
    pub disk: Option<Snapshot>,
    pub older_disk: Option<Snapshot>,
    /// How far its Unix clock is ahead, in nanoseconds.
    pub clock_ahead: Nanos,
    /// The process is cut off from all others before this time.
    pub isolated_until: Nanos,
    next_tick: Nanos,
    /// For each slot the greatest order that the current incarnation has had.
    greatest_seen: BTreeMap<Slot, Order>,
    applied: BTreeMap<String, ServiceState>,
}

/// A simulated link; the arrays are indexed by its ends, of which the first dialled.
struct Connection {
    endpoints: [(usize, u64); 2],
    open: [bool; 2],
    /// Whether messages sent by this end are lost.
    muted: [bool; 2],
    /// When the last message to each end arrives; later messages arrive after it.
    last_arrival: [Nanos; 2],
}

/// An order that was issued.
pub struct IssuedOrder {
    pub entry: Entry,
    /// The replica reported it as an order that may have been superseded.
    pub possibly_superseded: bool,
    /// No replica had it any more at some time, in memory or on a usable disk.
    pub may_be_lost: bool,
}

/// The state of the simulation.
pub struct Simulation {
    pub now: Nanos,
    pub random: oorandom::Rand64,
    queue: BTreeMap<(Nanos, u64), Event>,
    sequence: u64,
    pub processes: Vec<Process>,
    connections: BTreeMap<LinkId, Connection>,
    next_link: LinkId,
    pub max_delay: Nanos,
    pub target_links: usize,
    pub bytes_per_second: usize,
    pub issued: Vec<IssuedOrder>,
    pub stale_copies: u64,
    pub conflicts: u64,
    pub failure: Option<String>,
    /// How often replicas have requested to be called.
    pub ticks: u64,
    pub name: String,
    /// Bytes sent by each process (index) in each second.
    pub bytes_sent: BTreeMap<(usize, Nanos), usize>,
}

impl Simulation {
    pub fn new(seed: u64, processes: usize) -> Simulation {
        let mut simulation = Simulation {
            now: 0,
            random: oorandom::Rand64::new(u128::from(seed)),
            queue: BTreeMap::new(),
            sequence: 0,
            processes: Vec::new(),
            connections: BTreeMap::new(),
            next_link: 1,
            max_delay: 20 * MS,
            target_links: 2,
            bytes_per_second: BYTES_PER_SECOND,
            issued: Vec::new(),
            stale_copies: 0,
            conflicts: 0,
            failure: None,
            ticks: 0,
            name: format!("seed {seed}"),
            bytes_sent: BTreeMap::new(),
        };
        for index in 0..processes {
            simulation.processes.push(Process {
                name: format!("p{index}"),
                replica: None,
                incarnation: 0,
                host: ActionQueue::new(seed ^ (index as u64 + 1) << 20),
                disk: None,
                older_disk: None,
                clock_ahead: 0,
                isolated_until: 0,
                next_tick: Nanos::MAX,
                greatest_seen: BTreeMap::new(),
                applied: BTreeMap::new(),
            });
            simulation.schedule(0, Event::Start(index));
        }
        simulation
    }

    /// A random number below `bound`.
    pub fn random_below(&mut self, bound: u64) -> u64 {
        self.random.rand_range(0..bound)
    }

    /// True with probability 1 / `bound`.
    pub fn one_in(&mut self, bound: u64) -> bool {
        self.random_below(bound) == 0
    }

    fn schedule(&mut self, after: Nanos, event: Event) {
        self.sequence += 1;
        self.queue.insert((self.now + after, self.sequence), event);
    }

    /// Records the first failure; the simulation then stops.
    pub fn fail(&mut self, description: String) {
        if self.failure.is_none() {
            self.failure = Some(format!("{}, at {} ms: {description}", self.name, self.now / MS));
        }
    }

    /// Handles all events up to this time.
    pub fn run_until(&mut self, until: Nanos) {
        while self.failure.is_none() {
            let Some((&(time, sequence), _)) = self.queue.first_key_value() else { break };
            if time > until {
                break;
            }
            let Some(event) = self.queue.remove(&(time, sequence)) else { break };
            self.now = time;
            self.handle(event);
        }
        self.now = until;
    }

    fn clocks(&self, index: usize) -> Now {
        Now { monotonic: self.now, unix: EPOCH + self.now + self.processes[index].clock_ahead }
    }

    fn delay(&mut self) -> Nanos {
        MS + self.random.rand_range(0..self.max_delay)
    }

    /// Calls a method of a running replica and carries out the actions that it requests. `None` if it is not
    /// running.
    pub fn with_replica<T>(
        &mut self,
        index: usize,
        call: impl FnOnce(&mut Replica, Now, &mut ActionQueue) -> T,
    ) -> Option<T> {
        let now = self.clocks(index);
        let process = &mut self.processes[index];
        let replica = process.replica.as_mut()?;
        let result = call(replica, now, &mut process.host);
        self.carry_out_actions(index);
        Some(result)
    }

    /// Carries out the actions that a replica has requested, checks its invariants and schedules its next
    /// tick.
    fn carry_out_actions(&mut self, index: usize) {
        let actions = std::mem::take(&mut self.processes[index].host.actions);
        for action in actions {
            self.carry_out(index, action);
        }
        self.check_invariants(index);
        let process = &mut self.processes[index];
        let Some(replica) = &process.replica else { return };
        let due = replica.next_deadline().max(self.now + 1);
        if due < process.next_tick {
            process.next_tick = due;
            let (incarnation, after) = (process.incarnation, due - self.now);
            self.schedule(after, Event::Tick(index, incarnation));
        }
    }

    /// Checks that no lesser order replaces a greater one in a slot, and that the applied states follow from
    /// the orders.
    fn check_invariants(&mut self, index: usize) {
        let process = &mut self.processes[index];
        let Some(replica) = &process.replica else { return };
        let mut violation = None;
        let entries: Vec<Entry> = replica.map().entries().collect();
        for Entry { slot, order } in &entries {
            let seen = process.greatest_seen.entry(slot.clone()).or_insert_with(|| order.clone());
            match rank(order).cmp(&rank(seen)) {
                Ordering::Less if order.token < seen.token => {
                    violation = Some(format!("{}: a lower token won: {order:?} over {seen:?}", process.name));
                }
                Ordering::Less => {
                    violation = Some(format!(
                        "{}: a superseded order came back: {order:?} superseded by {seen:?}",
                        process.name
                    ));
                }
                _ => *seen = order.clone(),
            }
        }
        for node in entries.iter().map(|entry| &entry.slot.node) {
            let expected = expected(&entries, node);
            let applied = process.applied.get(node).copied().unwrap_or(ServiceState::In);
            if applied != expected {
                violation = Some(format!(
                    "{}: the applied state of {node} is {applied:?}, not {expected:?}",
                    process.name
                ));
            }
        }
        if let Some(violation) = violation {
            self.fail(violation);
        }
    }

    fn carry_out(&mut self, index: usize, action: Action) {
        let incarnation = self.processes[index].incarnation;
        match action {
            Action::Dial(peer) => {
                let after = self.delay();
                self.schedule(after, Event::DialCompleted(index, incarnation, peer));
            }
            Action::Send(link, message) => self.send(index, link, message),
            Action::Close(link) => self.end_link(link, index),
            Action::Apply(node, service) => _ = self.processes[index].applied.insert(node, service),
            Action::Persist(snapshot) => {
                self.schedule(30 * MS, Event::Persisted(index, incarnation, snapshot))
            }
            Action::Report(Report::StaleCopy { .. }) => self.stale_copies += 1,
            Action::Report(Report::Conflict { .. }) => self.conflicts += 1,
            Action::Report(Report::PossiblySuperseded { entry }) => {
                let same = |issued: &&mut IssuedOrder| issued.entry == entry;
                self.issued.iter_mut().filter(same).for_each(|issued| issued.possibly_superseded = true);
            }
            Action::Report(_) => {}
        }
    }

    fn send(&mut self, index: usize, link: LinkId, message: Message) {
        *self.bytes_sent.entry((index, self.now / SECOND)).or_default() += message.size();
        let after = self.delay();
        let (now, incarnation) = (self.now, self.processes[index].incarnation);
        let Some(connection) = self.connections.get_mut(&link) else { return };
        let end = usize::from(connection.endpoints[0] != (index, incarnation));
        let arrives = (now + after).max(connection.last_arrival[1 - end] + 1);
        connection.last_arrival[1 - end] = arrives;
        if connection.open[end] && !connection.muted[end] {
            self.schedule(arrives - now, Event::Deliver(link, 1 - end, message));
        }
    }

    /// A process has closed a link. The other end is told, after the link timeout if messages of this end are
    /// lost.
    fn end_link(&mut self, link: LinkId, index: usize) {
        let after = self.delay();
        let incarnation = self.processes[index].incarnation;
        let Some(connection) = self.connections.get_mut(&link) else { return };
        let end = usize::from(connection.endpoints[0] != (index, incarnation));
        connection.open[end] = false;
        let after = if connection.muted[end] { after + LINK_TIMEOUT } else { after };
        let arrives = (self.now + after).max(connection.last_arrival[1 - end] + 1);
        self.schedule(arrives - self.now, Event::LinkDown(link, 1 - end));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Tick(index, incarnation) => {
                self.ticks += 1;
                if self.ticks > MAX_TICKS {
                    self.fail("replicas request ticks in an endless loop".into());
                }
                if self.processes[index].incarnation == incarnation
                    && self.processes[index].next_tick <= self.now
                {
                    self.processes[index].next_tick = Nanos::MAX;
                    self.with_replica(index, |replica, now, host| replica.tick(now, host));
                }
            }
            Event::DialCompleted(index, incarnation, peer) => self.complete_dial(index, incarnation, &peer),
            Event::Deliver(link, end, message) => {
                let Some(connection) = self.connections.get(&link) else { return };
                let (index, incarnation) = connection.endpoints[end];
                if connection.open[end] && self.processes[index].incarnation == incarnation {
                    let from_future = self.future_entries(index, &message);
                    self.with_replica(index, |replica, now, host| replica.receive(now, link, message, host));
                    let has = |entry: &Entry| {
                        let replica = self.processes[index].replica.as_ref();
                        replica.is_some_and(|replica| replica.map().get(&entry.slot).as_ref() == Some(entry))
                    };
                    if let Some(entry) = from_future.into_iter().find(has) {
                        self.fail(format!("p{index} accepted an order from the future: {entry:?}"));
                    }
                }
            }
            Event::LinkDown(link, end) => {
                let Some(connection) = self.connections.get_mut(&link) else { return };
                let (index, incarnation) = connection.endpoints[end];
                if std::mem::replace(&mut connection.open[end], false)
                    && self.processes[index].incarnation == incarnation
                {
                    self.with_replica(index, |replica, now, host| replica.link_down(now, link, host));
                }
            }
            Event::Persisted(index, incarnation, snapshot) => {
                let process = &mut self.processes[index];
                if process.incarnation == incarnation && process.replica.is_some() {
                    process.older_disk = process.disk.replace(snapshot);
                    self.with_replica(index, |replica, now, host| replica.persisted(now, host));
                }
            }
            Event::Start(index) => self.start(index),
        }
    }

    /// The orders in a chunk whose stamps are too far ahead of this process's clock, and which it does not
    /// know yet.
    fn future_entries(&self, index: usize, message: &Message) -> Vec<Entry> {
        let (now, Message::Chunk(chunk)) = (self.clocks(index), message) else { return Vec::new() };
        let known = |entry: &Entry| {
            let replica = self.processes[index].replica.as_ref();
            replica.is_some_and(|replica| replica.map().get(&entry.slot).as_ref() == Some(entry))
        };
        let too_far_ahead =
            |entry: &&Entry| entry.order.stamp.time > now.unix + MAX_CLOCK_SKEW && !known(entry);
        chunk.entries.iter().filter(too_far_ahead).cloned().collect()
    }

    fn complete_dial(&mut self, index: usize, incarnation: u64, peer: &str) {
        if self.processes[index].incarnation != incarnation || self.processes[index].replica.is_none() {
            return;
        }
        let other = self.processes.iter().position(|process| process.name == peer);
        let reached = other.filter(|other| {
            let process = &self.processes[*other];
            process.replica.is_some()
                && process.isolated_until <= self.now
                && self.processes[index].isolated_until <= self.now
        });
        let Some(other) = reached else {
            self.with_replica(index, |replica, now, host| replica.dial_failed(now, host));
            return;
        };
        let link = self.next_link;
        self.next_link += 1;
        let endpoints = [(index, incarnation), (other, self.processes[other].incarnation)];
        let connection =
            Connection { endpoints, open: [true; 2], muted: [false; 2], last_arrival: [self.now; 2] };
        self.connections.insert(link, connection);
        let name = self.processes[index].name.clone();
        self.with_replica(other, |replica, now, host| replica.link_up(now, link, &name, false, host));
        self.with_replica(index, |replica, now, host| replica.link_up(now, link, peer, true, host));
    }

    /// Starts a process after a delay, if it is not running then.
    pub fn schedule_start(&mut self, index: usize, after: Nanos) {
        self.schedule(after, Event::Start(index));
    }

    fn start(&mut self, index: usize) {
        if self.processes[index].replica.is_some() {
            return;
        }
        let names: Vec<String> = self.processes.iter().map(|process| process.name.clone()).collect();
        let now = self.clocks(index);
        let target_links = self.target_links;
        let process = &mut self.processes[index];
        process.incarnation += 1;
        process.next_tick = Nanos::MAX;
        (process.greatest_seen, process.applied) = Default::default();
        let config = ReplicaConfig {
            id: ReplicaId { name: process.name.clone(), incarnation: process.incarnation },
            peers: names.into_iter().filter(|name| *name != process.name).collect(),
            target_links,
            retention: RETENTION,
            max_clock_skew: MAX_CLOCK_SKEW,
            bytes_per_second: self.bytes_per_second,
            chunk_bytes: 1024,
        };
        process.replica = Some(Replica::start(now, config, process.disk.clone(), &mut process.host));
        self.carry_out_actions(index);
    }

    /// Stops a process without notice; its links break.
    pub fn crash(&mut self, index: usize) {
        let incarnation = self.processes[index].incarnation;
        if self.processes[index].replica.take().is_none() {
            return;
        }
        let links: Vec<LinkId> = self.connections.keys().copied().collect();
        for link in links {
            if self.connections[&link].endpoints.contains(&(index, incarnation)) {
                self.end_link(link, index);
            }
        }
        self.mark_lost_orders();
    }

    /// Marks the orders that no replica covers any more, in memory or on a usable disk.
    fn mark_lost_orders(&mut self) {
        let has = |process: &Process, stamp: &Stamp| {
            let own_disk = process.disk.as_ref().filter(|snapshot| snapshot.name == process.name);
            own_disk.is_some_and(|snapshot| snapshot.vector.covers(stamp))
                || process.replica.as_ref().is_some_and(|replica| replica.map().vector.covers(stamp))
        };
        for issued in &mut self.issued {
            let stamp = &issued.entry.order.stamp;
            issued.may_be_lost |= !self.processes.iter().any(|process| has(process, stamp));
        }
    }

    /// Replaces the disk of a process. Orders that only this disk had may be lost.
    pub fn set_disk(&mut self, index: usize, disk: Option<Snapshot>) {
        self.processes[index].disk = disk;
        self.mark_lost_orders();
    }

    /// Cuts a process off from all others for a while, without closing its links.
    pub fn isolate(&mut self, index: usize, duration: Nanos) {
        self.processes[index].isolated_until = self.now + duration;
        let links: Vec<LinkId> = self.connections.keys().copied().collect();
        for link in links {
            if self.connections[&link].endpoints.iter().any(|(end, _)| *end == index) {
                self.mute_link(link, [true, true]);
            }
        }
    }

    /// From now on messages of the muted ends are lost. Both ends close the link when they notice.
    fn mute_link(&mut self, link: LinkId, muted: [bool; 2]) {
        if let Some(connection) = self.connections.get_mut(&link) {
            connection.muted = [connection.muted[0] || muted[0], connection.muted[1] || muted[1]];
            self.schedule(LINK_TIMEOUT, Event::LinkDown(link, 0));
            self.schedule(LINK_TIMEOUT + LINK_TIMEOUT / 4, Event::LinkDown(link, 1));
        }
    }

    /// Mutes one or both ends of a random link.
    pub fn mute_random_link(&mut self) {
        let open: Vec<LinkId> = self
            .connections
            .iter()
            .filter(|(_, connection)| connection.open == [true; 2])
            .map(|(link, _)| *link)
            .collect();
        if !open.is_empty() {
            let link = open[self.random_below(open.len() as u64) as usize];
            let muted = [[true, true], [true, false], [false, true]][self.random_below(3) as usize];
            self.mute_link(link, muted);
        }
    }

    /// Issues an order at a process and records it, if the process is running and accepts it.
    pub fn issue(&mut self, index: usize, node: &str, service: ServiceState, lease: Option<Lease>) {
        let issued =
            self.with_replica(index, |replica, now, host| replica.issue(now, node, service, lease, host));
        if let Some(Ok(entry)) = issued {
            self.issued.push(IssuedOrder { entry, possibly_superseded: false, may_be_lost: false });
        }
    }

    /// The orders of all running replicas if they are equal, otherwise the difference between two of them.
    pub fn agreed_entries(&self) -> Result<Vec<Entry>, String> {
        let mut first: Option<(&str, Vec<Entry>)> = None;
        for process in &self.processes {
            let Some(replica) = &process.replica else { continue };
            let entries: Vec<Entry> = replica.map().entries().collect();
            match &first {
                None => first = Some((&process.name, entries)),
                Some((_, other)) if *other == entries => {}
                Some((other, theirs)) => {
                    let only = |one: &[Entry], two: &[Entry]| -> Vec<Entry> {
                        one.iter().filter(|entry| !two.contains(entry)).cloned().collect()
                    };
                    let (more, less) = (only(&entries, theirs), only(theirs, &entries));
                    return Err(format!(
                        "{} and {other} differ: {more:?} only here, {less:?} only there",
                        process.name
                    ));
                }
            }
        }
        Ok(first.map(|(_, entries)| entries).unwrap_or_default())
    }

    pub fn unix_time(&self) -> Nanos {
        EPOCH + self.now
    }
}
