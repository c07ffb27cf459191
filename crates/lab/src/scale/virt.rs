//! A whole fleet in virtual time: the decisions of every process, with the code that the proxies have, over links with delay
//! and loss. Same plan and seed, same bytes.
//!
//! One heap of events. A process that is stopped gets its events when it goes on; a link that is cut loses what is sent on
//! it, and both ends learn of it by silence; a process that dies has its links reset, unless its machine died with it.

use super::agree::{self, BUSY, Clock, Control, For, PATIENCE, Said, Seat, TRIED};
use super::fleet::{self, Role, Site, Spot};
use super::meter::{FRAME, HELLO, Meter, OPENING, segments};
use super::plan::{Disk, Fault, Kind, Plan};
use super::report::{Cost, Found};
use super::truth::{Applied, Key, Seen, Truth};
use pumicebay_accord::{Answer, Ask, Message, Reply, Store, Want};
use pumicebay_carrier::{
    Change, Child, Down, Host, Kept, Nanos, Node, Outcome, Publisher, PublisherHost, Resource, Scope, Up,
    Version, Written,
};
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};
use std::time::{Duration, Instant};

pub const MILLI: Nanos = 1_000_000;
pub const SECOND: Nanos = 1_000 * MILLI;
/// Without a beat for so long an end of a link takes it for gone; beats are sent twice a second.
const SILENT: Nanos = 2 * SECOND;
const BEAT: Nanos = SECOND / 2;
/// How often the root's sum is looked at, and who has caught up.
const POLL: Nanos = 100 * MILLI;
const LOOK: Nanos = 250 * MILLI;
/// A process does not wake more often than this.
const LEAST: Nanos = MILLI;
/// Who offers a change and is turned away, or finds nobody that publishes, comes again after this.
const OFFER_AGAIN: Nanos = 500 * MILLI;
/// Who got no answer comes again after this.
const UNANSWERED: Nanos = 2 * SECOND;
/// What the warm-up writes as one change, in bytes, and what a resource takes beside its patch.
const GROUP: usize = 18 * 1024;
const RESOURCE: usize = 160;
/// One of so many calls of the decisions is timed.
const SAMPLED: u64 = 32;

type LinkId = u32;

enum Event {
    None,
    /// A process looks at its clock.
    Wake(usize),
    /// A call arrives at the parent; its answer at the child.
    Called(LinkId),
    Connected(LinkId),
    /// The end of the child, or else of the parent, learns that the link is gone.
    Gone(LinkId, bool),
    /// The same by silence, if what silenced it still lasts.
    Silent(LinkId, bool),
    Up(LinkId, Up),
    Down(LinkId, Down),
    InForce(usize, u64, Version, Applied, Vec<(Scope, String, String)>),
    Kept(usize, u64, Kept),
    Vote(Store, Store, Message),
    Ask(usize, Ask),
    Answer(Answer),
    Voter(usize),
    Asker(usize),
    Publisher(usize),
    Again(usize, u64, u64, usize),
    Begins(usize),
    Ends(usize),
    Dies(usize, bool),
    Starts(usize, Disk),
    Resets(usize),
    Offer(usize),
    Poll,
    Look,
    Measure,
}

#[derive(Default)]
struct Link {
    child: usize,
    parent: usize,
    /// Whether each end takes it for there.
    child_open: bool,
    parent_open: bool,
    connected: bool,
    called: Nanos,
    /// When the last of what was sent each way arrives.
    up: Nanos,
    down: Nanos,
}

pub(super) struct Proc {
    pub(super) node: Option<Node>,
    life: u64,
    pub(super) clock: Clock,
    wake: Nanos,
    ticked: Nanos,
    disk: Option<Kept>,
    old: Option<Kept>,
    /// Whether its disk is ever read again.
    keeps: bool,
    up: Option<LinkId>,
    down: BTreeSet<LinkId>,
    stalled: bool,
    slow: bool,
    /// Nobody is told that it is dead.
    vanished: bool,
    backlog: VecDeque<Event>,
    pub(super) meter: Meter,
    holds: Version,
    /// Since when it has lost a parent that died.
    orphan: Option<Nanos>,
    /// It dies as it sends the next part of a difference.
    dies_amid: bool,
    pub(super) published: bool,
}

/// What a node asked for, in order.
enum Act {
    Dial(String),
    HangUp,
    Up(Up),
    Down(Child, Down),
    Drop(Child),
    Force(Version, Vec<Resource>),
    Keep(Kept),
}

struct Acts<'a> {
    acts: Vec<Act>,
    random: &'a mut SmallRng,
    keeps: bool,
}

impl Host for Acts<'_> {
    fn dial(&mut self, parent: &str) {
        self.acts.push(Act::Dial(parent.into()));
    }
    fn hang_up(&mut self) {
        self.acts.push(Act::HangUp);
    }
    fn send_up(&mut self, message: Up) {
        self.acts.push(Act::Up(message));
    }
    fn send_down(&mut self, child: Child, message: Down) {
        self.acts.push(Act::Down(child, message));
    }
    fn drop_child(&mut self, child: Child) {
        self.acts.push(Act::Drop(child));
    }
    fn put_in_force(&mut self, version: Version, resources: Vec<Resource>) {
        self.acts.push(Act::Force(version, resources));
    }
    fn keep(&mut self, kept: &Kept) {
        // Of a disk that is never read again the version is enough.
        let kept = match self.keeps {
            true => kept.clone(),
            false => Kept { version: kept.version, ..Kept::default() },
        };
        self.acts.push(Act::Keep(kept));
    }
    fn chance(&mut self) -> f64 {
        self.random.random_range(0.0..1.0)
    }
}

enum PublisherAct {
    Read,
    Write(String, u64),
    Publish(Version, Vec<Resource>),
    Answer(u64, Outcome),
    GiveBack,
}

#[derive(Default)]
struct PublisherActs(Vec<PublisherAct>);

impl PublisherHost for PublisherActs {
    fn read(&mut self) {
        self.0.push(PublisherAct::Read);
    }
    fn write(&mut self, text: String, version: u64) {
        self.0.push(PublisherAct::Write(text, version));
    }
    fn publish(&mut self, version: Version, resources: Vec<Resource>) {
        self.0.push(PublisherAct::Publish(version, resources));
    }
    fn answer(&mut self, number: u64, outcome: Outcome) {
        self.0.push(PublisherAct::Answer(number, outcome));
    }
    fn give_back(&mut self) {
        self.0.push(PublisherAct::GiveBack);
    }
}

struct Offered {
    changes: Vec<(usize, String)>,
    first: Nanos,
    measured: bool,
}

pub struct World<'a> {
    pub(super) plan: &'a Plan,
    pub(super) seed: u64,
    pub(super) sites: Vec<Site>,
    by_name: BTreeMap<String, usize>,
    random: SmallRng,
    now: Nanos,
    pub(super) begin: Nanos,
    pub(super) end: Nanos,
    heap: BinaryHeap<Reverse<(Nanos, u64, u32)>>,
    slots: Vec<Event>,
    free: Vec<u32>,
    last: u64,
    pub(super) procs: Vec<Proc>,
    links: Vec<Link>,
    cut: Vec<bool>,
    pub(super) seats: Vec<Seat>,
    pub(super) voter_meters: Vec<Meter>,
    controls: Vec<Control>,
    pub(super) truth: Truth,
    offered: Vec<Offered>,
    groups: [Vec<usize>; 5],
    /// Who a fault that names the root has hit.
    hit: BTreeMap<usize, Vec<usize>>,
    /// How many came to one parent, of those whose parent died.
    pub(super) herd: BTreeMap<(usize, usize), usize>,
    deaths: usize,
    pub(super) orphans: Vec<f64>,
    pub(super) offers_again: usize,
    /// Calls to parents.
    pub(super) calls_made: usize,
    pub(super) answered_full: usize,
    pub(super) events: u64,
    calls: u64,
    pub(super) spent: BTreeMap<&'static str, (Duration, u64)>,
    pub(super) measured_calls: BTreeMap<&'static str, u64>,
}

/// Plays a plan, and what it cost this machine beside what was found.
pub fn play(plan: &Plan, seed: u64) -> (Found, Cost) {
    let started = Instant::now();
    let mut world = World::new(plan, seed);
    world.run();
    world.outcome(started)
}

impl<'a> World<'a> {
    fn new(plan: &'a Plan, seed: u64) -> World<'a> {
        let mut random = SmallRng::seed_from_u64(seed);
        let sites = fleet::everyone(plan);
        let ppm = plan.clocks_ppm;
        let mut drawn = SmallRng::seed_from_u64(seed ^ 0xc10c);
        let mut clock = || Clock { ppm: if ppm > 0 { drawn.random_range(-ppm..=ppm) } else { 0 }, origin: 0 };
        let seats = agree::seats(plan, &mut clock);
        let by_name: BTreeMap<String, usize> =
            sites.iter().enumerate().map(|(at, site)| (site.name.clone(), at)).collect();
        let procs = sites.iter().map(|site| Proc {
            node: None,
            life: 0,
            clock: clock(),
            wake: Nanos::MAX,
            ticked: 0,
            disk: None,
            old: None,
            keeps: site.role == Role::Control,
            up: None,
            down: BTreeSet::new(),
            stalled: false,
            slow: false,
            vanished: false,
            backlog: VecDeque::new(),
            meter: Meter::default(),
            holds: Version::default(),
            orphan: None,
            dies_amid: false,
            published: false,
        });
        let procs: Vec<Proc> = procs.collect();
        let controls =
            (0..plan.control).map(|at| Control::new(plan, 0, &sites[at].name, 1, at % plan.voters)).collect();
        let mut truth = Truth::default();
        truth.names = by_name.clone();
        truth.seen = vec![Seen::default(); sites.len()];
        let mut groups: [Vec<usize>; 5] = Default::default();
        for (group, scopes) in fleet::resources(plan, &sites).into_iter().enumerate() {
            for scope in scopes {
                groups[group].push(truth.keys.len());
                truth.keys.push(Key { scope, versions: Vec::new() });
            }
        }
        let begin = (plan.warm_seconds * 1e9) as Nanos;
        let end = begin + (plan.seconds * 1e9) as Nanos;
        let _: f64 = random.random_range(0.0..1.0);
        World {
            plan,
            seed,
            by_name,
            random,
            now: 0,
            begin,
            end,
            heap: BinaryHeap::new(),
            slots: Vec::new(),
            free: Vec::new(),
            last: 0,
            procs,
            links: Vec::new(),
            cut: vec![false; plan.regions],
            voter_meters: vec![Meter::default(); seats.len()],
            seats,
            controls,
            truth,
            offered: Vec::new(),
            groups,
            hit: BTreeMap::new(),
            herd: BTreeMap::new(),
            deaths: 0,
            orphans: Vec::new(),
            offers_again: 0,
            calls_made: 0,
            answered_full: 0,
            events: 0,
            calls: 0,
            spent: BTreeMap::new(),
            measured_calls: BTreeMap::new(),
            sites,
        }
    }

    fn run(&mut self) {
        self.begins();
        while let Some(Reverse((at, _, slot))) = self.heap.pop() {
            if at > self.end {
                break;
            }
            self.now = at;
            self.events += 1;
            let event = std::mem::replace(&mut self.slots[slot as usize], Event::None);
            self.free.push(slot);
            self.happens(event);
        }
        self.now = self.end;
        let sites = &self.sites;
        self.truth.ended(self.end, &|who, scope| fleet::concerns(&sites[who], scope));
    }

    /// What is known from the start: who starts when, what changes when, who restarts, and the faults.
    fn begins(&mut self) {
        let plan = self.plan;
        for at in 0..plan.voters {
            self.at(100 * MILLI, Event::Voter(at));
            let links = plan.voters - 1 + plan.control;
            (0..links).for_each(|_| self.voter_meters[at].link(0, true));
        }
        for at in 0..plan.control {
            (0..plan.voters).for_each(|_| self.procs[at].meter.link(0, true));
        }
        for at in 0..self.procs.len() {
            // Proxies come when there is something to be had, relays first.
            let warm = self.begin;
            let within = match self.sites[at].role {
                Role::Control => 0..200 * MILLI,
                Role::Relay => warm * 45 / 100..warm * 52 / 100,
                Role::Proxy => warm * 54 / 100..warm * 68 / 100,
            };
            let start = self.random.random_range(within);
            self.at(start, Event::Starts(at, Disk::Empty));
        }
        // Each resource is written once while the fleet warms up, many as one change.
        let mut groups: Vec<Vec<(usize, String)>> = vec![Vec::new()];
        let mut bytes = 0;
        for key in 0..self.truth.keys.len() {
            let patch = self.drawn_patch(key);
            bytes += patch.len() + RESOURCE;
            if bytes > GROUP {
                (bytes, groups) = (0, [groups, vec![Vec::new()]].concat());
            }
            groups.last_mut().expect("never empty").push((key, patch));
        }
        let (from, until, count) = (SECOND, self.begin * 25 / 100, groups.len() as Nanos);
        for (number, changes) in groups.into_iter().enumerate() {
            let at = from + until.saturating_sub(from) * number as Nanos / count;
            self.offer_all(at, changes);
        }
        let mut at = self.begin;
        loop {
            at += self.gap(plan.changes_per_second);
            if at >= self.end {
                break;
            }
            let key = self.drawn_key();
            self.offer_at(at, key);
        }
        let restarts = plan.restarts_per_day * plan.proxies as f64 / 86_400.0;
        let mut at = self.begin;
        loop {
            at += self.gap(restarts);
            if at + 4 * SECOND >= self.end {
                break;
            }
            let who = plan.control + self.random.random_range(0..plan.proxies);
            self.procs[who].keeps = true;
            self.at(at, Event::Dies(who, false));
            self.at(at + 2 * SECOND, Event::Starts(who, Disk::Kept));
        }
        for (number, fault) in plan.faults.iter().enumerate() {
            let begins = self.begin + (fault.at * 1e9) as Nanos;
            self.at(begins, Event::Begins(number));
            self.at(begins + (fault.seconds * 1e9) as Nanos, Event::Ends(number));
            if let Some(who) = self.named(fault) {
                self.procs[who].keeps = true;
            }
            if fault.kind == Kind::HalfSite {
                self.half_site(fault).into_iter().for_each(|who| self.procs[who].keeps = true);
            }
            if let (Kind::Burst, Some(count)) = (fault.kind, fault.count) {
                for _ in 0..count {
                    let at = begins + self.random.random_range(0..SECOND);
                    let key = self.drawn_key();
                    self.offer_at(at, key);
                }
            }
        }
        self.at(self.begin, Event::Measure);
        self.at(POLL, Event::Poll);
        self.at(LOOK, Event::Look);
    }

    /// Until the next of what happens so often a second by chance.
    fn gap(&mut self, per_second: f64) -> Nanos {
        let drawn = -(1.0 - self.random.random_range(0.0..1.0f64)).ln();
        if per_second > 0.0 { (drawn / per_second * 1e9) as Nanos } else { self.end }
    }

    fn drawn_key(&mut self) -> usize {
        let drawn = self.random.random_range(0.0..1.0);
        let mut sum = 0.0;
        for (group, share) in self.plan.scopes.shares().iter().enumerate() {
            sum += share;
            if drawn < sum
                && let Some(key) = self.groups[group].choose(&mut self.random)
            {
                return *key;
            }
        }
        self.groups[0][0]
    }

    fn drawn_patch(&mut self, key: usize) -> String {
        let drawn = self.random.random_range(0.0..1.0);
        let (mut sum, mut bytes) = (0.0, self.plan.change_bytes[0].bytes);
        for size in &self.plan.change_bytes {
            sum += size.share;
            if drawn < sum {
                bytes = size.bytes;
                break;
            }
        }
        let number = self.offered.len() + key;
        format!("{{\"a\":\"{number:0width$}\"}}", width = bytes.saturating_sub(8).max(1))
    }

    fn offer_at(&mut self, at: Nanos, key: usize) {
        let patch = self.drawn_patch(key);
        self.offer_all(at, vec![(key, patch)]);
    }

    fn offer_all(&mut self, at: Nanos, changes: Vec<(usize, String)>) {
        let measured = at >= self.begin;
        self.offered.push(Offered { changes, first: at, measured });
        self.at(at, Event::Offer(self.offered.len() - 1));
    }

    fn at(&mut self, at: Nanos, event: Event) {
        self.last += 1;
        let slot = match self.free.pop() {
            Some(slot) => {
                self.slots[slot as usize] = event;
                slot
            }
            None => {
                self.slots.push(event);
                (self.slots.len() - 1) as u32
            }
        };
        self.heap.push(Reverse((at, self.last, slot)));
    }

    /// Whose turn an event is, where that process may be stopped.
    fn whose(&self, event: &Event) -> Option<usize> {
        let link = |link: &LinkId| &self.links[*link as usize];
        match event {
            Event::Wake(who) | Event::InForce(who, ..) | Event::Kept(who, ..) => Some(*who),
            Event::Called(id) | Event::Gone(id, false) | Event::Up(id, _) | Event::Silent(id, false) => {
                Some(link(id).parent)
            }
            Event::Connected(id) | Event::Gone(id, true) | Event::Down(id, _) | Event::Silent(id, true) => {
                Some(link(id).child)
            }
            Event::Asker(at) | Event::Publisher(at) | Event::Again(at, ..) => Some(*at),
            Event::Answer(answer) => self.by_name.get(&answer.id.who.name).copied(),
            _ => None,
        }
    }

    fn happens(&mut self, event: Event) {
        if let Some(who) = self.whose(&event)
            && self.procs[who].stalled
        {
            return self.procs[who].backlog.push_back(event);
        }
        match event {
            Event::None => {}
            Event::Wake(who) => self.woke(who),
            Event::Called(id) => self.called(id),
            Event::Connected(id) => self.connected(id),
            Event::Gone(id, child) => self.gone(id, child),
            Event::Silent(id, child) => {
                if self.silenced(id) {
                    self.close(id, child);
                    self.gone_at(id, child);
                }
            }
            Event::Up(id, message) => {
                let (parent, open) = (self.links[id as usize].parent, self.links[id as usize].parent_open);
                if open {
                    self.received(parent, size(&message));
                    self.node(parent, |node, now, host| node.child_said(now, Child::from(id), message, host));
                    self.confirm(parent);
                }
            }
            Event::Down(id, message) => {
                let (child, open) = (self.links[id as usize].child, self.links[id as usize].child_open);
                if open {
                    self.received(child, size(&message));
                    self.node(child, |node, now, host| node.told(now, message, host));
                }
            }
            Event::InForce(who, life, version, applied, refused) => {
                if self.procs[who].life == life && self.procs[who].node.is_some() {
                    self.truth.in_force(self.now, who, applied);
                    self.node(who, |node, now, host| node.in_force(now, version, refused, host));
                }
            }
            Event::Kept(who, life, kept) => {
                if self.procs[who].life == life && self.procs[who].node.is_some() {
                    let version = kept.version;
                    if self.procs[who].keeps {
                        self.procs[who].disk = Some(kept);
                    }
                    self.node(who, |node, now, host| node.kept(now, version, host));
                    self.confirm(who);
                }
            }
            Event::Vote(to, from, message) => {
                let at = to as usize - 1;
                self.voter_received(at, size(&message));
                self.voter(at, |voter, now, acts| voter.got(now, from, message, acts));
            }
            Event::Ask(at, ask) => {
                self.voter_received(at, size(&ask));
                self.voter(at, |voter, now, acts| voter.asked(now, ask, acts));
            }
            Event::Voter(at) => self.voter(at, |voter, now, acts| voter.woke(now, acts)),
            Event::Answer(answer) => self.answered(answer),
            Event::Asker(at) => self.asker(at),
            Event::Publisher(at) => {
                if self.controls[at].publisher_wake == self.now {
                    self.controls[at].publisher_wake = Nanos::MAX;
                    self.publisher(at, |publisher, now, host| publisher.tick(now, host));
                }
            }
            Event::Again(at, life, number, to) => {
                if self.procs[at].life == life {
                    self.again(at, number, to);
                }
            }
            Event::Begins(number) => self.fault_begins(number),
            Event::Ends(number) => self.fault_ends(number),
            Event::Dies(who, silent) => self.dies(who, silent),
            Event::Starts(who, disk) => self.starts(who, disk),
            Event::Resets(who) => self.resets(who),
            Event::Offer(number) => self.offer(number),
            Event::Poll => self.poll(),
            Event::Look => {
                let sites = &self.sites;
                self.truth.look(self.now, &|who, scope| fleet::concerns(&sites[who], scope));
                self.at(self.now + LOOK, Event::Look);
            }
            Event::Measure => {
                let now = self.now;
                self.procs.iter_mut().for_each(|one| one.meter.begin(now));
                self.voter_meters.iter_mut().for_each(|meter| meter.begin(now));
                self.spent.clear();
                self.measured_calls.clear();
                self.truth.caught_up.clear();
                self.orphans.clear();
                self.calls_made = 0;
                self.herd.clear();
                for who in 0..self.procs.len() {
                    self.procs[who].old = self.procs[who].disk.clone();
                }
            }
        }
    }

    // Nodes.

    fn woke(&mut self, who: usize) {
        let one = &mut self.procs[who];
        if one.wake != self.now {
            return;
        }
        one.wake = Nanos::MAX;
        let Some(node) = &one.node else { return };
        if node.due() <= one.clock.local(self.now) {
            one.ticked = self.now;
            self.node(who, |node, now, host| node.tick(now, host));
        } else {
            self.schedule(who);
        }
    }

    pub(super) fn role(&self, who: usize) -> &'static str {
        match self.sites[who].role {
            Role::Proxy => "proxy",
            Role::Relay => "relay",
            Role::Control if self.controls[who].publisher.is_some() => "publisher",
            Role::Control => "control",
        }
    }

    /// Something happens to a process's node; what it asks for is carried out.
    fn node(&mut self, who: usize, what: impl FnOnce(&mut Node, Nanos, &mut Acts)) {
        self.calls += 1;
        let timed = self.calls.is_multiple_of(SAMPLED) && self.now >= self.begin;
        let one = &mut self.procs[who];
        let now = one.clock.local(self.now);
        let Some(node) = &mut one.node else { return };
        let mut host = Acts { acts: Vec::new(), random: &mut self.random, keeps: one.keeps };
        let started = timed.then(Instant::now);
        what(node, now, &mut host);
        let took = started.map(|started| started.elapsed());
        let acts = host.acts;
        let holds = node.holds();
        if holds < one.holds {
            self.truth.wrong.went_back += 1;
            let words = format!("{} holds {holds} after {}", self.sites[who].name, one.holds);
            self.truth.wrong.note(words);
        }
        one.holds = holds;
        let role = self.role(who);
        *self.measured_calls.entry(role).or_default() += 1;
        if let Some(took) = took {
            let (spent, count) = self.spent.entry(role).or_default();
            (*spent, *count) = (*spent + took, *count + 1);
        }
        for act in acts {
            self.act(who, act);
        }
        self.schedule(who);
    }

    fn schedule(&mut self, who: usize) {
        let one = &mut self.procs[who];
        let Some(node) = &one.node else { return };
        let due = node.due();
        if due == Nanos::MAX {
            return;
        }
        let due = one.clock.truth(due).max(self.now + 1).max(one.ticked + LEAST);
        if due < one.wake {
            one.wake = due;
            self.at(due, Event::Wake(who));
        }
    }

    fn act(&mut self, who: usize, act: Act) {
        if self.procs[who].node.is_none() {
            return;
        }
        match act {
            Act::Dial(parent) => self.dial(who, &parent),
            Act::HangUp => {
                if let Some(id) = self.procs[who].up.take() {
                    self.close(id, true);
                }
            }
            Act::Drop(child) => self.close(child as LinkId, false),
            Act::Up(message) => {
                if let Some(id) = self.procs[who].up {
                    self.send(id, true, size(&message), Event::Up(id, message));
                }
            }
            Act::Down(child, message) => {
                let id = child as LinkId;
                let amid = self.procs[who].dies_amid && matches!(message, Down::Delta { .. });
                self.send(id, false, size(&message), Event::Down(id, message));
                if amid {
                    self.procs[who].dies_amid = false;
                    self.dies(who, false);
                }
            }
            Act::Force(version, resources) => self.put_in_force(who, version, resources),
            Act::Keep(kept) => {
                let took = (self.plan.disk_ms * 1e6 * self.random.random_range(0.7..1.5)) as Nanos;
                self.at(self.now + took + 1, Event::Kept(who, self.procs[who].life, kept));
            }
        }
    }

    fn put_in_force(&mut self, who: usize, version: Version, resources: Vec<Resource>) {
        let mut applied = Applied { version, resources: Vec::with_capacity(resources.len()) };
        let mut refused = Vec::new();
        let refuses = self.truth.seen[who].refuses;
        for resource in resources {
            // Resources are named by their number.
            let Some(key) = resource.name.strip_prefix('r').and_then(|number| number.parse().ok()) else {
                continue;
            };
            let mut in_force = resource.version;
            if let Some((no, from)) = refuses
                && no == key as usize
                && resource.version >= from
            {
                let before = &self.truth.seen[who].applied.resources;
                let before = before.iter().find(|(had, _)| *had == key);
                in_force = before.map_or(Version::default(), |(_, version)| *version);
                refused.push((resource.scope, resource.name, "refused by the play".into()));
            }
            applied.resources.push((key, in_force));
        }
        applied.resources.sort_unstable();
        let took = (self.plan.apply_ms * 1e6 * self.random.random_range(0.5..1.5)) as Nanos;
        let life = self.procs[who].life;
        self.at(self.now + took + 1, Event::InForce(who, life, version, applied, refused));
    }

    // Links.

    fn spot(&self, who: usize) -> Spot {
        fleet::spot(&self.sites[who])
    }

    /// Whether a cut lies between them.
    fn cut_between(&self, one: Spot, other: Spot) -> bool {
        one.region != other.region && (self.cut[one.region] || self.cut[other.region])
    }

    fn silenced(&self, id: LinkId) -> bool {
        let link = &self.links[id as usize];
        let (child, parent) = (&self.procs[link.child], &self.procs[link.parent]);
        let mute = |one: &Proc| one.stalled || one.vanished;
        // The other end may be gone without a word.
        !link.child_open
            || !link.parent_open
            || mute(child)
            || mute(parent)
            || child.slow
            || self.cut_between(self.spot(link.child), self.spot(link.parent))
    }

    fn way(&mut self, from: Spot, to: Spot, segments: u64) -> Nanos {
        fleet::way(self.plan, from, to, segments, &mut self.random)
    }

    fn dial(&mut self, who: usize, parent: &str) {
        let Some(&parent) = self.by_name.get(parent) else { return };
        self.calls_made += 1;
        let id = self.links.len() as LinkId;
        self.links.push(Link { child: who, parent, child_open: true, called: self.now, ..Link::default() });
        self.procs[who].up = Some(id);
        let (here, there) = (self.spot(who), self.spot(parent));
        let way = 3 * self.way(here, there, 1);
        self.at(self.now + way, Event::Called(id));
    }

    /// The connection is there, and so is the hello.
    fn called(&mut self, id: LinkId) {
        let Link { child, parent, child_open, called, .. } = self.links[id as usize];
        let fails = |world: &mut World, at: Nanos| {
            let at = at.max(world.now + 1);
            world.at(at, Event::Gone(id, true));
        };
        if !child_open {
            return;
        }
        let (here, there) = (self.spot(parent), self.spot(child));
        let silent = self.cut_between(here, there) || self.procs[child].slow || self.procs[parent].vanished;
        if silent {
            return fails(self, called + SILENT);
        }
        let way = self.way(here, there, 1);
        if self.procs[parent].node.is_none() {
            return fails(self, self.now + way);
        }
        let now = self.now;
        for who in [child, parent] {
            let meter = &mut self.procs[who].meter;
            meter.sends(now, HELLO, OPENING);
            meter.receives(now, HELLO, OPENING - 1);
        }
        let link = &mut self.links[id as usize];
        (link.parent_open, link.up, link.down) = (true, now, now + way);
        self.procs[parent].down.insert(id);
        self.procs[parent].meter.link(now, true);
        self.at(now + way, Event::Connected(id));
        self.node(parent, |node, now, host| node.child_up(now, Child::from(id), host));
    }

    fn connected(&mut self, id: LinkId) {
        let Link { child, parent, child_open, .. } = self.links[id as usize];
        if !child_open || self.silenced(id) {
            return;
        }
        self.links[id as usize].connected = true;
        self.procs[child].meter.link(self.now, true);
        if let Some(since) = self.procs[child].orphan.take() {
            self.orphans.push((self.now - since) as f64 / 1e9);
            *self.herd.entry((self.deaths, parent)).or_default() += 1;
        }
        self.node(child, |node, now, host| node.parent_up(now, host));
    }

    /// This end takes the link for gone, and the other end is told unless it can't be.
    fn close(&mut self, id: LinkId, child: bool) {
        let link = &mut self.links[id as usize];
        let open = if child { &mut link.child_open } else { &mut link.parent_open };
        if !std::mem::replace(open, false) {
            return;
        }
        let was_connected = link.connected;
        let (own, other) = if child { (link.child, link.parent) } else { (link.parent, link.child) };
        let other_open = if child { link.parent_open } else { link.child_open };
        let last = if child { link.up } else { link.down };
        if child {
            if self.procs[own].up == Some(id) {
                self.procs[own].up = None;
            }
            if was_connected {
                self.procs[own].meter.link(self.now, false);
            }
        } else {
            self.procs[own].down.remove(&id);
            self.procs[own].meter.link(self.now, false);
        }
        let (here, there) = (self.spot(own), self.spot(other));
        if other_open && !self.cut_between(here, there) && !self.procs[own].vanished {
            let way = self.way(here, there, 1);
            self.at((self.now + way).max(last + 1), Event::Gone(id, !child));
        }
    }

    fn gone(&mut self, id: LinkId, child: bool) {
        let Link { child: below, parent, child_open, parent_open, .. } = self.links[id as usize];
        let open = if child { child_open } else { parent_open };
        if !open
            || (self.links[id as usize].connected && self.cut_between(self.spot(below), self.spot(parent)))
        {
            return;
        }
        self.close(id, child);
        self.gone_at(id, child);
    }

    /// This end is told that its link is gone.
    fn gone_at(&mut self, id: LinkId, child: bool) {
        let Link { child: below, parent, .. } = self.links[id as usize];
        if child {
            self.node(below, |node, now, host| node.parent_lost(now, host));
        } else {
            self.node(parent, |node, now, host| node.child_lost(now, Child::from(id), host));
        }
    }

    /// Both ends, or the one that can notice, learn of silence on a link.
    fn falls_silent(&mut self, id: LinkId) {
        for child in [true, false] {
            let since = self.random.random_range(0..BEAT);
            self.at(self.now + SILENT - since, Event::Silent(id, child));
        }
    }

    fn send(&mut self, id: LinkId, up: bool, bytes: usize, event: Event) {
        let Link { child, parent, child_open, parent_open, .. } = self.links[id as usize];
        let (from, to, open) = if up { (child, parent, child_open) } else { (parent, child, parent_open) };
        if !open {
            return;
        }
        let segments = segments(bytes);
        self.procs[from].meter.sends(self.now, bytes, segments);
        let (here, there) = (self.spot(from), self.spot(to));
        if self.cut_between(here, there) {
            return;
        }
        let mut at = self.now + self.way(here, there, segments);
        let slow = !up && self.procs[child].slow;
        let link = &mut self.links[id as usize];
        let last = if up { &mut link.up } else { &mut link.down };
        at = at.max(*last + 1);
        if slow {
            at += bytes as Nanos * SECOND;
        }
        *last = at;
        self.at(at, event);
    }

    fn received(&mut self, who: usize, bytes: usize) {
        self.procs[who].meter.receives(self.now, bytes, segments(bytes));
    }

    fn voter_received(&mut self, at: usize, bytes: usize) {
        self.voter_meters[at].receives(self.now, bytes, segments(bytes));
    }

    // Voters, and those who ask them.

    fn voter(
        &mut self,
        at: usize,
        what: impl FnOnce(&mut pumicebay_accord::Voter, Nanos, &mut pumicebay_accord::Acts),
    ) {
        self.calls += 1;
        let timed = self.calls.is_multiple_of(SAMPLED) && self.now >= self.begin;
        let chance = self.random.random_range(0.0..1.0);
        let started = timed.then(Instant::now);
        let Said { messages, answers, wake, kept } = self.seats[at].act(self.now, chance, what);
        *self.measured_calls.entry("voter").or_default() += 1;
        if let Some(started) = started {
            let (spent, count) = self.spent.entry("voter").or_default();
            (*spent, *count) = (*spent + started.elapsed(), *count + 1);
        }
        if let Some(wake) = wake {
            self.at(wake.max(self.now + LEAST), Event::Voter(at));
        }
        let later = if kept { (self.plan.disk_ms * 1e6) as Nanos } else { 0 };
        let (own, here) = (at as Store + 1, self.seats[at].spot);
        for (to, message) in messages {
            let there = self.seats[to as usize - 1].spot;
            let bytes = size(&message);
            self.voter_meters[at].sends(self.now, bytes, segments(bytes));
            if !self.cut_between(here, there) {
                let way = self.way(here, there, segments(bytes));
                self.at(self.now + later + way, Event::Vote(to, own, message));
            }
        }
        for answer in answers {
            let Some(&who) = self.by_name.get(&answer.id.who.name) else { continue };
            let bytes = size(&answer);
            self.voter_meters[at].sends(self.now, bytes, segments(bytes));
            let there = self.spot(who);
            if !self.cut_between(here, there) {
                let way = self.way(here, there, segments(bytes));
                self.at(self.now + later + way, Event::Answer(answer));
            }
        }
    }

    /// A control machine looks at its lease.
    fn asker(&mut self, at: usize) {
        let control = &mut self.controls[at];
        if control.wake != self.now || self.procs[at].node.is_none() {
            return;
        }
        control.wake = Nanos::MAX;
        let now = self.procs[at].clock.local(self.now);
        let number = control.number();
        if let Some(ask) = control.holding.ask(now, number) {
            let open = agree::Open { ask, what: For::Lease, asked: self.now };
            control.open.insert(number, open);
            let good = control.good;
            self.again(at, number, good);
        }
        self.lease(at);
    }

    /// Follows what the lease says: who publishes, and when to look again.
    fn lease(&mut self, at: usize) {
        let now = self.procs[at].clock.local(self.now);
        let control = &mut self.controls[at];
        let token = control.holding.may(now, 0);
        let before = std::mem::replace(&mut control.token, token);
        let due = self.procs[at].clock.truth(control.holding.due()).max(self.now + LEAST);
        if due < control.wake {
            control.wake = due;
            self.at(due, Event::Asker(at));
        }
        if token == before {
            return;
        }
        self.stop_publishing(at);
        if token.is_some() {
            let mut acts = PublisherActs::default();
            self.controls[at].publisher = Some(Publisher::start(now, &mut acts));
            // Who publishes has no parent, and needs none.
            (self.procs[at].published, self.procs[at].orphan) = (true, None);
            let name = self.sites[at].name.clone();
            self.node(at, |node, now, host| node.root_is(now, Some(&name), host));
            self.published(at, acts);
        } else {
            self.node(at, |node, now, host| node.root_is(now, None, host));
        }
    }

    fn stop_publishing(&mut self, at: usize) {
        self.controls[at].publisher = None;
        self.controls[at].publisher_wake = Nanos::MAX;
        for number in std::mem::take(&mut self.controls[at].offers) {
            self.offers_again += 1;
            self.at(self.now + UNANSWERED, Event::Offer(number as usize));
        }
    }

    fn asks(&mut self, at: usize, what: For, want: Want) {
        let number = self.controls[at].ask(what, self.now, want);
        let good = self.controls[at].good;
        self.again(at, number, good);
    }

    /// Sends an ask to this voter, and to the next where it does not answer.
    fn again(&mut self, at: usize, number: u64, to: usize) {
        let now = self.now;
        let Some(open) = self.controls[at].open.get(&number) else { return };
        if now - open.asked > TRIED || self.procs[at].node.is_none() {
            let what = open.what;
            self.controls[at].open.remove(&number);
            return self.replied(at, number, what, &Reply::Unknown);
        }
        let ask = open.ask.clone();
        self.controls[at].good = to;
        let bytes = size(&ask);
        self.procs[at].meter.sends(now, bytes, segments(bytes));
        let (here, there) = (self.spot(at), self.seats[to].spot);
        if !self.cut_between(here, there) {
            let way = self.way(here, there, segments(bytes));
            self.at(now + way, Event::Ask(to, ask));
        }
        let next = (to + 1) % self.seats.len();
        self.at(now + PATIENCE, Event::Again(at, self.procs[at].life, number, next));
    }

    fn answered(&mut self, answer: Answer) {
        let Some(&at) = self.by_name.get(&answer.id.who.name) else { return };
        if self.procs[at].node.is_none() || self.controls[at].who != answer.id.who {
            return;
        }
        self.received(at, size(&answer));
        let number = answer.id.number;
        if !agree::says(&answer.reply) {
            let next = (self.controls[at].good + 1) % self.seats.len();
            let life = self.procs[at].life;
            return self.at(self.now + BUSY, Event::Again(at, life, number, next));
        }
        let Some(open) = self.controls[at].open.remove(&number) else { return };
        self.replied(at, number, open.what, &answer.reply);
    }

    fn replied(&mut self, at: usize, number: u64, what: For, reply: &Reply) {
        let now = self.procs[at].clock.local(self.now);
        match what {
            For::Lease => {
                self.controls[at].holding.answered(now, number, reply);
                self.lease(at);
                if let Reply::Denied(Some(holder), _) = reply
                    && self.controls[at].token.is_none()
                {
                    let name = holder.name.clone();
                    // Its own last life may still have the lease.
                    let root = (name != self.sites[at].name).then_some(name);
                    self.node(at, |node, now, host| node.root_is(now, root.as_deref(), host));
                }
            }
            For::Read => {
                let Some(node) = &self.procs[at].node else { return };
                let holds = node.holds();
                match reply {
                    Reply::Record(record) => {
                        let record = record.clone();
                        self.publisher(at, |publisher, now, host| {
                            let entry = record.0.values.get("carrier");
                            let entry = entry.map(|entry| (entry.text.as_str(), entry.version));
                            publisher.read(now, record.0.founded, entry, holds, host);
                        });
                    }
                    _ => self.publisher(at, |publisher, now, host| publisher.read_failed(now, host)),
                }
            }
            For::Write => {
                let written = match reply {
                    Reply::Written(version) => Written::Done(*version),
                    Reply::Refused(_) | Reply::Denied(..) => Written::Refused,
                    _ => Written::Unknown,
                };
                self.publisher(at, |publisher, now, host| publisher.written(now, written, host));
            }
        }
    }

    fn publisher(&mut self, at: usize, what: impl FnOnce(&mut Publisher, Nanos, &mut PublisherActs)) {
        let now = self.procs[at].clock.local(self.now);
        let Some(publisher) = &mut self.controls[at].publisher else { return };
        self.calls += 1;
        let timed = self.calls.is_multiple_of(SAMPLED) && self.now >= self.begin;
        let mut acts = PublisherActs::default();
        let started = timed.then(Instant::now);
        what(publisher, now, &mut acts);
        *self.measured_calls.entry("publisher").or_default() += 1;
        if let Some(started) = started {
            let (spent, count) = self.spent.entry("publisher").or_default();
            (*spent, *count) = (*spent + started.elapsed(), *count + 1);
        }
        self.published(at, acts);
    }

    fn published(&mut self, at: usize, acts: PublisherActs) {
        for act in acts.0 {
            match act {
                PublisherAct::Read => self.asks(at, For::Read, Want::Read),
                PublisherAct::Write(text, version) => {
                    let now = self.procs[at].clock.local(self.now);
                    let Some(token) = self.controls[at].holding.may(now, 0) else {
                        self.publisher(at, |publisher, now, host| {
                            publisher.written(now, Written::Refused, host);
                        });
                        continue;
                    };
                    let want = Want::Put {
                        name: "carrier".into(),
                        text,
                        version: Some(version),
                        fence: Some(("carrier".into(), token)),
                    };
                    self.asks(at, For::Write, want);
                }
                PublisherAct::Publish(version, resources) => {
                    self.node(at, |node, now, host| node.publish(now, version, resources, host));
                    self.confirm(at);
                }
                PublisherAct::Answer(number, outcome) => {
                    self.controls[at].offers.remove(&number);
                    self.outcome_of(number as usize, outcome);
                }
                PublisherAct::GiveBack => {
                    let now = self.procs[at].clock.local(self.now);
                    let number = self.controls[at].number();
                    if let Some(ask) = self.controls[at].holding.give_back(now, number) {
                        let open = agree::Open { ask, what: For::Lease, asked: self.now };
                        self.controls[at].open.insert(number, open);
                        let good = self.controls[at].good;
                        self.again(at, number, good);
                    }
                    self.lease(at);
                }
            }
        }
        let control = &mut self.controls[at];
        if let Some(publisher) = &control.publisher {
            let due = publisher.due();
            if due != Nanos::MAX {
                let due = self.procs[at].clock.truth(due).max(self.now + LEAST);
                if due < control.publisher_wake {
                    control.publisher_wake = due;
                    self.at(due, Event::Publisher(at));
                }
            }
        }
    }

    /// What a majority of the control machines has on disk, to whoever publishes.
    fn confirm(&mut self, at: usize) {
        if at >= self.plan.control || self.controls[at].publisher.is_none() {
            return;
        }
        let Some(node) = &self.procs[at].node else { return };
        let mut versions: Vec<Version> = node.confirmed().map(|(_, version)| version).collect();
        versions.sort_unstable_by(|one, other| other.cmp(one));
        if let Some(&majority) = versions.get(self.plan.control / 2) {
            self.publisher(at, |publisher, now, host| publisher.confirmed(now, majority, host));
        }
    }

    // Changes.

    pub(super) fn root(&self) -> Option<usize> {
        let publishes = |at: &usize| {
            self.controls[*at].publisher.is_some()
                && self.procs[*at].node.is_some()
                && !self.procs[*at].stalled
        };
        (0..self.plan.control).filter(publishes).max_by_key(|at| self.controls[*at].token)
    }

    fn offer(&mut self, number: usize) {
        let Some(root) = self.root().filter(|root| !self.cut[self.sites[*root].region]) else {
            return self.at(self.now + OFFER_AGAIN, Event::Offer(number));
        };
        let change = |(key, patch): &(usize, String)| {
            let scope = self.truth.keys[*key].scope.clone();
            Change { scope, name: format!("r{key}"), patch: Some(patch.clone()) }
        };
        let changes: Vec<Change> = self.offered[number].changes.iter().map(change).collect();
        self.controls[root].offers.insert(number as u64);
        self.publisher(root, |publisher, now, host| {
            publisher.offered(now, number as u64, changes, host);
        });
    }

    fn outcome_of(&mut self, number: usize, outcome: Outcome) {
        match outcome {
            Outcome::Settled(version) => {
                let Offered { ref changes, first, measured } = self.offered[number];
                for key in changes.iter().map(|(key, _)| *key).collect::<Vec<_>>() {
                    let scope = &self.truth.keys[key].scope;
                    let whom: Vec<usize> = (self.plan.control..self.procs.len())
                        .filter(|who| fleet::concerns(&self.sites[*who], scope))
                        .collect();
                    self.truth.settled(self.now, key, first, version, &whom, measured);
                }
            }
            Outcome::Refused(_) => {
                self.answered_full += 1;
                self.at(self.now + OFFER_AGAIN, Event::Offer(number));
            }
            Outcome::Unknown => {
                self.offers_again += 1;
                self.at(self.now + OFFER_AGAIN, Event::Offer(number));
            }
        }
    }

    fn poll(&mut self) {
        self.at(self.now + POLL, Event::Poll);
        let Some(root) = self.root() else { return };
        let one = &self.procs[root];
        let Some(node) = &one.node else { return };
        let sum = node.sum(one.clock.local(self.now));
        let all = self.procs.len();
        let sites = &self.sites;
        self.truth.claimed(self.now, &sum, all, &|who, scope| fleet::concerns(&sites[who], scope));
    }

    // Faults.

    fn named(&self, fault: &Fault) -> Option<usize> {
        let (kind, number) = fault.who.as_deref()?.rsplit_once('-')?;
        let number: usize = number.parse().ok()?;
        Some(if kind == "control" { number } else { self.plan.control + number })
    }

    fn half_site(&self, fault: &Fault) -> Vec<usize> {
        let site = fault.site.unwrap_or_default();
        let all: Vec<usize> =
            (self.plan.control..self.procs.len()).filter(|who| self.sites[*who].site == site).collect();
        // Every other one, relays among them.
        all.into_iter().step_by(2).collect()
    }

    fn fault_begins(&mut self, number: usize) {
        let plan = self.plan;
        let fault = &plan.faults[number];
        let who = self.named(fault).or_else(|| self.root());
        let whom: Vec<usize> = match fault.kind {
            Kind::Dies | Kind::SlowChild | Kind::Stall | Kind::Refused => who.into_iter().collect(),
            Kind::HalfSite => self.half_site(fault),
            Kind::ControlGone => (0..plan.control).collect(),
            Kind::ZoneReconnects => (plan.control..self.procs.len())
                .filter(|who| Some(self.sites[*who].zone) == fault.zone)
                .collect(),
            Kind::RegionCut | Kind::Burst => Vec::new(),
        };
        self.hit.insert(number, whom.clone());
        match fault.kind {
            Kind::Dies if fault.amid => whom.into_iter().for_each(|who| self.procs[who].dies_amid = true),
            Kind::Dies | Kind::HalfSite | Kind::ControlGone => {
                self.deaths += 1;
                whom.into_iter().for_each(|who| self.dies(who, fault.silent));
                if fault.kind == Kind::ControlGone {
                    self.procs.iter_mut().for_each(|one| one.orphan = None);
                }
            }
            Kind::SlowChild => {
                for who in whom {
                    self.procs[who].slow = true;
                    self.truth.lost(who);
                    if let Some(id) = self.procs[who].up {
                        self.falls_silent(id);
                    }
                }
            }
            Kind::Stall => {
                self.deaths += 1;
                for who in whom {
                    self.procs[who].stalled = true;
                    self.truth.lost(who);
                    let down: Vec<LinkId> = self.procs[who].down.iter().copied().collect();
                    self.orphan(&down);
                    down.into_iter().chain(self.procs[who].up).for_each(|id| self.falls_silent(id));
                }
            }
            Kind::Refused => {
                let key = *self.groups[0].choose(&mut self.random).unwrap_or(&0);
                let next = Version { number: self.truth.settled.number + 1, ..self.truth.settled };
                whom.into_iter().for_each(|who| self.truth.seen[who].refuses = Some((key, next)));
                self.offer_at(self.now + MILLI, key);
            }
            Kind::ZoneReconnects => {
                for who in whom {
                    let at = self.now + self.random.random_range(0..SECOND);
                    self.at(at, Event::Resets(who));
                }
            }
            Kind::RegionCut => {
                let Some(region) = fault.region else { return };
                self.cut[region] = true;
                (plan.control..self.procs.len())
                    .filter(|who| self.sites[*who].region == region)
                    .for_each(|who| self.truth.lost(who));
                let crossing = |id: &LinkId| {
                    let Link { child, parent, child_open, parent_open, .. } = self.links[*id as usize];
                    (child_open || parent_open) && self.cut_between(self.spot(child), self.spot(parent))
                };
                let all: Vec<LinkId> = (0..self.links.len() as LinkId).filter(crossing).collect();
                all.into_iter().for_each(|id| self.falls_silent(id));
            }
            Kind::Burst => {}
        }
    }

    fn fault_ends(&mut self, number: usize) {
        let fault = &self.plan.faults[number];
        let whom = self.hit.remove(&number).unwrap_or_default();
        match fault.kind {
            Kind::Dies | Kind::HalfSite | Kind::ControlGone => {
                for who in whom {
                    self.procs[who].dies_amid = false;
                    self.starts(who, fault.disk);
                }
            }
            Kind::SlowChild => {
                for who in whom {
                    self.procs[who].slow = false;
                    self.truth.back(self.now, who);
                }
            }
            Kind::Stall => {
                for who in whom {
                    self.procs[who].stalled = false;
                    self.truth.back(self.now, who);
                    for event in std::mem::take(&mut self.procs[who].backlog) {
                        self.happens(event);
                    }
                    // Times that came while it was stopped.
                    self.procs[who].wake = Nanos::MAX;
                    self.schedule(who);
                    if who < self.plan.control {
                        self.controls[who].wake = self.now;
                        self.asker(who);
                        if self.controls[who].publisher.is_some() {
                            self.publisher(who, |publisher, now, host| publisher.tick(now, host));
                        }
                    }
                }
            }
            Kind::RegionCut => {
                let Some(region) = fault.region else { return };
                self.cut[region] = false;
                for who in self.plan.control..self.procs.len() {
                    let one = &self.procs[who];
                    if self.sites[who].region == region && one.node.is_some() && !one.stalled && !one.slow {
                        self.truth.back(self.now, who);
                    }
                }
            }
            Kind::Refused | Kind::Burst | Kind::ZoneReconnects => {}
        }
    }

    fn orphan(&mut self, links: &[LinkId]) {
        for id in links {
            let child = self.links[*id as usize].child;
            self.procs[child].orphan = Some(self.now);
        }
    }

    fn dies(&mut self, who: usize, silent: bool) {
        if self.procs[who].node.take().is_none() {
            return;
        }
        self.truth.lost(who);
        let one = &mut self.procs[who];
        (one.vanished, one.orphan, one.dies_amid) = (silent, None, false);
        one.backlog.clear();
        let (up, down) = (one.up.take(), std::mem::take(&mut one.down));
        let down: Vec<LinkId> = down.into_iter().collect();
        self.orphan(&down);
        for (id, child) in down.iter().map(|id| (*id, false)).chain(up.map(|id| (id, true))) {
            if silent {
                self.falls_silent(id);
            }
            self.close(id, child);
        }
        if who < self.plan.control {
            self.stop_publishing(who);
            self.controls[who].token = None;
        }
    }

    fn starts(&mut self, who: usize, disk: Disk) {
        if self.procs[who].node.is_some() {
            return;
        }
        let one = &mut self.procs[who];
        one.life += 1;
        let life = one.life;
        one.clock.origin = self.now;
        (one.wake, one.ticked, one.vanished, one.stalled) = (Nanos::MAX, self.now, false, false);
        match disk {
            Disk::Kept => {}
            Disk::Empty => one.disk = None,
            Disk::Old => one.disk = one.old.clone(),
        }
        let kept = one.disk.clone();
        one.holds = kept.as_ref().map_or(Version::default(), |kept| kept.version);
        let now = one.clock.local(self.now);
        let terms = fleet::terms(self.plan, &self.sites, who, life);
        let mut host = Acts { acts: Vec::new(), random: &mut self.random, keeps: one.keeps };
        one.node = Some(Node::start(now, terms, kept, &mut host));
        let acts = host.acts;
        let seen = &mut self.truth.seen[who];
        (seen.applied, seen.born) = (Applied::default(), self.now);
        if !self.cut[self.sites[who].region] {
            self.truth.back(self.now, who);
        }
        for act in acts {
            self.act(who, act);
        }
        self.schedule(who);
        if who < self.plan.control {
            let good = who % self.plan.voters;
            self.controls[who] = Control::new(self.plan, now, &self.sites[who].name, life, good);
            self.controls[who].wake = self.now + LEAST;
            self.at(self.now + LEAST, Event::Asker(who));
        }
    }

    /// The link to the parent is reset.
    fn resets(&mut self, who: usize) {
        if self.procs[who].node.is_some()
            && let Some(id) = self.procs[who].up
        {
            self.close(id, true);
            self.gone_at(id, true);
        }
    }
}

pub fn size(what: &impl serde::Serialize) -> usize {
    postcard::experimental::serialized_size(what).unwrap_or(0) + FRAME
}
