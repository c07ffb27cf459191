//! A whole fleet in virtual time: the decisions of every process, with the code that the proxies have, over links with delay
//! and loss. Same plan and seed, same bytes.
//!
//! One heap of events. A process that is stopped gets its events when it goes on; a link that is cut loses what is sent on
//! it, and both ends learn of it by silence; a process that dies has its links reset, unless its machine died with it.

mod changes;
mod events;
mod faults;
mod hosts;
mod links;
mod publishing;
mod voting;

use super::agree::{self, Clock, Control, Seat};
use super::fleet::{self, Role, Site};
use super::meter::{FRAME, Meter};
use super::plan::{Disk, Kind, Plan};
use super::report::{Cost, Found};
use super::truth::{Applied, Key, Seen, Truth};
use pumicebay_accord::{Answer, Message, Operation, StoreId};
use pumicebay_carrier::{ChildMessage, Nanos, ParentMessage, Scope, Snapshot, TreeNode, Version};
use rand::rngs::SmallRng;
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
    Up(LinkId, ChildMessage),
    Down(LinkId, ParentMessage),
    InForce(usize, u64, Version, Applied, Vec<(Scope, String, String)>),
    Kept(usize, u64, Snapshot),
    Vote(StoreId, StoreId, Message),
    Ask(usize, Operation),
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
    pub(super) node: Option<TreeNode>,
    life: u64,
    pub(super) clock: Clock,
    wake: Nanos,
    ticked: Nanos,
    disk: Option<Snapshot>,
    old: Option<Snapshot>,
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
}

pub fn size(what: &impl serde::Serialize) -> usize {
    postcard::experimental::serialized_size(what).unwrap_or(0) + FRAME
}
