//! A fleet in one process: nodes, links, disks, a record and its publisher, under a clock and chance of its own; and what
//! must hold at each step of it.
#![allow(dead_code)]

use pumicebay_carrier::*;
use std::collections::{BTreeMap, VecDeque};

pub const MS: Nanos = 1_000_000;
pub const SECOND: Nanos = 1_000 * MS;

pub type Key = (Scope, Name);
/// What a process has in force.
pub type Applied = BTreeMap<Key, Resource>;

pub fn key(resource: &Resource) -> Key {
    (resource.scope.clone(), resource.name.clone())
}

/// Puts this in force, but for what is bad: of that it keeps what it had.
pub fn apply(applied: &mut Applied, resources: Vec<Resource>) -> Vec<(Scope, Name, String)> {
    let mut refused = Vec::new();
    let had = std::mem::take(applied);
    for resource in resources {
        let key = key(&resource);
        if resource.patch.as_ref().is_some_and(|patch| patch.contains("bad")) {
            if let Some(had) = had.get(&key) {
                applied.insert(key.clone(), had.clone());
            }
            refused.push((key.0, key.1, "bad".to_string()));
        } else {
            applied.insert(key, resource);
        }
    }
    refused
}

/// The last write of each resource up to a version.
pub fn written(settled: &BTreeMap<Version, Vec<Resource>>, until: Version) -> BTreeMap<Key, &Resource> {
    let mut last: BTreeMap<Key, &Resource> = BTreeMap::new();
    for resource in settled.range(..=until).flat_map(|(_, resources)| resources) {
        if last.get(&key(resource)).is_none_or(|other| other.version < resource.version) {
            last.insert(key(resource), resource);
        }
    }
    last
}

/// Whether this process claims more in a sum than what it has in force, and names no exception for that.
pub fn claims(
    me: &Member,
    place: &Place,
    applied: &Applied,
    sum: &Sum,
    settled: &BTreeMap<Version, Vec<Resource>>,
) -> Option<String> {
    let mine = || sum.exceptions.iter().filter(|one| one.who == *me);
    // Of one member four refusals are named at most.
    if sum.unnamed > 0 || mine().count() >= 4 || mine().any(|one| one.why == Why::Late) {
        return None;
    }
    let concerns = Interest::Proxy(place.clone(), me.name.clone());
    let newest = written(settled, Version { epoch: u64::MAX, number: u64::MAX });
    let (key, write) = written(settled, sum.in_force).into_iter().find(|(key, write)| {
        let has = applied.get(key).map(|has| has.version);
        let right = match &write.patch {
            Some(_) => has.map_or(newest[key].version > write.version, |has| has >= write.version),
            None => has.is_none_or(|has| has > write.version),
        };
        let refused = |one: &Exception| {
            matches!(&one.why, Why::Refused { scope, resource, .. } if (scope, resource) == (&key.0, &key.1))
        };
        concerns.wants(&key.0) && !right && !mine().any(refused)
    })?;
    let has = applied.get(&key).map(|has| has.version);
    Some(format!(
        "{} claims {} with {} {} of {} at {has:?}",
        me.name, sum.in_force, key.0, key.1, write.version
    ))
}

#[derive(Clone, Copy)]
pub struct Chance(pub u64);

impl Chance {
    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }
    pub fn below(&mut self, n: u64) -> u64 {
        self.next() % n
    }
    pub fn one_in(&mut self, n: u64) -> bool {
        self.below(n) == 0
    }
}

#[derive(Clone, Debug)]
pub enum Act {
    Dial(Name),
    HangUp,
    Up(Up),
    Down(Child, Down),
    Drop(Child),
    Put(Version, Vec<Resource>),
    Keep(Kept),
}

/// What a node asked for, in order.
pub struct Acts {
    pub acts: Vec<Act>,
    pub chance: Chance,
}

impl Host for Acts {
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
        self.acts.push(Act::Put(version, resources));
    }
    fn keep(&mut self, kept: &Kept) {
        self.acts.push(Act::Keep(kept.clone()));
    }
    fn chance(&mut self) -> f64 {
        (self.chance.next() >> 11) as f64 / (1u64 << 53) as f64
    }
}

/// What a publisher asked for, in order.
#[derive(Default)]
pub struct Asked {
    pub acts: VecDeque<Ask>,
}

#[derive(Clone, Debug)]
pub enum Ask {
    Read,
    Write(String, u64),
    Publish(Version, Vec<Resource>),
    Answer(u64, Outcome),
    GiveBack,
}

impl PublisherHost for Asked {
    fn read(&mut self) {
        self.acts.push_back(Ask::Read);
    }
    fn write(&mut self, text: String, version: u64) {
        self.acts.push_back(Ask::Write(text, version));
    }
    fn publish(&mut self, version: Version, resources: Vec<Resource>) {
        self.acts.push_back(Ask::Publish(version, resources));
    }
    fn answer(&mut self, number: u64, outcome: Outcome) {
        self.acts.push_back(Ask::Answer(number, outcome));
    }
    fn give_back(&mut self) {
        self.acts.push_back(Ask::GiveBack);
    }
}

#[derive(Clone, Debug)]
pub enum Event {
    Tick(usize, u64),
    Answered(usize, u64, u64, Name),
    ToParent(Child, Up),
    ToChild(Child, Down),
    GoneAtParent(Child),
    GoneAtChild(Child),
    InForce(usize, u64, Version, Vec<Resource>),
    Kept(usize, u64, Kept),
    Start(usize),
    Lease,
    RootIs(usize, u64),
    Read(u64),
    Written(u64, String, u64, bool, bool),
    Confirm(u64),
    Offer,
}

pub struct Process {
    pub terms: Terms,
    pub node: Option<Node>,
    pub life: u64,
    pub host: Acts,
    /// On its disk, and what was there a write before.
    pub disk: Option<Kept>,
    pub older: Option<Kept>,
    /// What it has in force, and what is being put.
    pub applied: Applied,
    pub putting: bool,
    /// Its link up, and the number of its last call.
    pub link: Option<Child>,
    pub call: u64,
    /// Links that were lost here, and when; and the latest link of each process that is known here.
    pub gone: Vec<(Attachment, Nanos)>,
    pub came: BTreeMap<Name, Attachment>,
    pub wakes: Nanos,
    /// How long it takes to put something in force, and to write its disk.
    pub slow: Nanos,
    /// It never comes back; nobody reaches it, and it nobody, until then.
    pub dead: bool,
    pub island: Nanos,
}

pub struct Link {
    pub child: (usize, u64),
    pub parent: (usize, u64),
    /// Messages vanish.
    pub mute: bool,
    pub up_at: Nanos,
    pub down_at: Nanos,
    pub ends: (bool, bool),
    /// A part is on its way, and where it leads.
    pub part: Option<Option<Version>>,
    pub who: Option<Attachment>,
    pub sum: Option<Sum>,
    pub sent: VecDeque<(Nanos, usize)>,
}

pub struct World {
    pub now: Nanos,
    pub chance: Chance,
    pub queue: BTreeMap<(Nanos, u64), Event>,
    pub order: u64,
    pub processes: Vec<Process>,
    pub links: BTreeMap<Child, Link>,
    pub next_link: Child,
    /// The record: its founding, the value with its version, the token of the lease and who holds it.
    pub epoch: u64,
    pub entry: Option<(String, u64)>,
    pub record: u64,
    pub token: u64,
    pub holder: Option<usize>,
    pub publisher: Option<Publisher>,
    pub asked: Asked,
    pub offers: u64,
    pub answers: BTreeMap<u64, Outcome>,
    /// All that was ever settled, by version.
    pub settled: BTreeMap<Version, Vec<Resource>>,
    pub lossy: bool,
    pub longest: Nanos,
    pub deltas: u64,
    pub fault: Option<String>,
    pub name: String,
    /// Prints what happens.
    pub shown: bool,
}

pub fn terms(name: &str, site: &str, control: bool, relay: bool, tiers: Vec<Vec<Name>>) -> Terms {
    Terms {
        me: Member { name: name.into(), incarnation: 1 },
        place: Place { region: "r".into(), zone: format!("z{site}"), site: site.into() },
        control,
        relay,
        tiers,
        children: 16,
        child_bytes_per_second: 6_000,
        part_bytes: 1_024,
        control_bytes_per_second: 6_000,
        control_part_bytes: 1_024,
        control_machines: Vec::new(),
        named: 16,
    }
}

impl World {
    pub fn new(seed: u64, processes: Vec<Terms>) -> World {
        let mut world = World {
            now: 0,
            chance: Chance(seed),
            queue: BTreeMap::new(),
            order: 0,
            processes: Vec::new(),
            links: BTreeMap::new(),
            next_link: 1,
            epoch: 7,
            entry: None,
            record: 1,
            token: 0,
            holder: None,
            publisher: None,
            asked: Asked::default(),
            offers: 0,
            answers: BTreeMap::new(),
            settled: BTreeMap::new(),
            lossy: false,
            longest: 20 * MS,
            deltas: 0,
            fault: None,
            name: format!("seed {seed}"),
            shown: std::env::var("SHOW").is_ok(),
        };
        for (at, terms) in processes.into_iter().enumerate() {
            let slow = 20 * MS + world.chance.below(400) * MS;
            world.processes.push(Process {
                terms,
                node: None,
                life: 0,
                host: Acts { acts: Vec::new(), chance: Chance(seed ^ (at as u64 + 1) << 32) },
                disk: None,
                older: None,
                applied: BTreeMap::new(),
                putting: false,
                link: None,
                call: 0,
                gone: Vec::new(),
                came: BTreeMap::new(),
                wakes: Nanos::MAX,
                slow,
                dead: false,
                island: 0,
            });
            world.later(0, Event::Start(at));
        }
        world.later(100 * MS, Event::Lease);
        world
    }

    pub fn later(&mut self, after: Nanos, event: Event) {
        self.order += 1;
        self.queue.insert((self.now + after, self.order), event);
    }

    fn wrong(&mut self, what: String) {
        if self.fault.is_none() {
            self.fault = Some(format!("{}, at {} ms: {what}", self.name, self.now / MS));
        }
    }

    /// Until this time, or until something is wrong.
    pub fn run(&mut self, until: Nanos) {
        while self.fault.is_none() {
            let Some((&(at, order), _)) = self.queue.first_key_value() else { break };
            if at > until {
                break;
            }
            let Some(event) = self.queue.remove(&(at, order)) else { break };
            self.now = at;
            self.happen(event);
        }
        self.now = until;
    }

    fn with(&mut self, at: usize, how: impl FnOnce(&mut Node, Nanos, &mut Acts)) {
        let process = &mut self.processes[at];
        let Some(node) = &mut process.node else { return };
        let before = node.holds();
        how(node, self.now, &mut process.host);
        let (after, due) = (node.holds(), node.due());
        let acts = std::mem::take(&mut process.host.acts);
        if after < before {
            self.wrong(format!("{} went back from {before} to {after}", self.processes[at].terms.me.name));
        }
        for act in acts {
            self.act(at, act);
        }
        self.wake(at, due);
    }

    fn wake(&mut self, at: usize, due: Nanos) {
        let process = &mut self.processes[at];
        if due < process.wakes {
            process.wakes = due.max(self.now + 1);
            let life = process.life;
            let after = process.wakes - self.now;
            self.later(after, Event::Tick(at, life));
        }
    }

    fn delay(&mut self) -> Nanos {
        MS + self.chance.below(self.longest)
    }

    fn act(&mut self, at: usize, act: Act) {
        let life = self.processes[at].life;
        match act {
            Act::Dial(name) => {
                self.processes[at].call += 1;
                let call = self.processes[at].call;
                let after = self.delay();
                self.later(after, Event::Answered(at, life, call, name));
            }
            Act::HangUp => {
                self.processes[at].call += 1;
                if let Some(link) = self.processes[at].link.take() {
                    self.end(link, true);
                }
            }
            Act::Up(message) => self.send_up(at, message),
            Act::Down(child, message) => self.send_down(child, message),
            Act::Drop(child) => {
                self.left(at, child);
                self.end(child, false);
            }
            Act::Put(version, resources) => {
                if std::mem::replace(&mut self.processes[at].putting, true) {
                    self.wrong("asked to put in force while that is done".into());
                }
                let slow = self.processes[at].slow;
                self.later(slow, Event::InForce(at, life, version, resources));
            }
            Act::Keep(kept) => {
                let slow = self.processes[at].slow / 4;
                self.later(slow, Event::Kept(at, life, kept));
            }
        }
    }

    /// One end has ended the link; the other learns it later.
    fn end(&mut self, link: Child, by_child: bool) {
        let after = self.delay();
        let Some(one) = self.links.get_mut(&link) else { return };
        if by_child {
            one.ends.0 = false;
        } else {
            one.ends.1 = false;
        }
        // What was sent before is there first.
        let (up, down) = (one.up_at + 1, one.down_at + 1);
        let (mute, now) = (one.mute, self.now);
        // Through a link that swallows everything the end is learned late.
        let after = if mute { after + 15 * SECOND } else { after };
        match by_child {
            true => self.later(up.saturating_sub(now).max(after), Event::GoneAtParent(link)),
            false => self.later(down.saturating_sub(now).max(after), Event::GoneAtChild(link)),
        }
    }

    fn send_up(&mut self, at: usize, message: Up) {
        if let Up::Sum(sum) = &message {
            self.check_sum(at, sum);
        }
        let after = self.delay();
        let lost = self.lossy && self.chance.one_in(30);
        let Some(link) = self.processes[at].link else { return };
        let Some(one) = self.links.get_mut(&link) else { return };
        one.up_at = (self.now + after).max(one.up_at + 1);
        let after = one.up_at - self.now;
        if !one.mute && !lost {
            self.later(after, Event::ToParent(link, message));
        }
    }

    fn send_down(&mut self, link: Child, message: Down) {
        let after = self.delay();
        let lost = self.lossy && self.chance.one_in(30);
        let now = self.now;
        let bytes = postcard::experimental::serialized_size(&message).unwrap();
        let Some(one) = self.links.get_mut(&link) else { return };
        one.sent.push_back((now, bytes));
        while one.sent.front().is_some_and(|(at, _)| at + SECOND <= now) {
            one.sent.pop_front();
        }
        let all: usize = one.sent.iter().map(|(_, bytes)| bytes).sum();
        let twice = match &message {
            Down::Delta { version, last, .. } => one.part.replace(last.then_some(*version)).is_some(),
            _ => false,
        };
        one.down_at = (now + after).max(one.down_at + 1);
        let (after, mute) = (one.down_at - now, one.mute);
        if twice {
            self.wrong("a second part on its way".into());
        }
        if all > 6_000 || bytes > 1_024 {
            self.wrong(format!("{all} bytes in a second, {bytes} in one"));
        }
        self.deltas += u64::from(matches!(message, Down::Delta { .. }));
        if !mute && !lost {
            self.later(after, Event::ToChild(link, message));
        }
    }

    /// A child's link is gone for this parent.
    fn left(&mut self, at: usize, link: Child) {
        let now = self.now;
        let Some(Link { who: Some(who), sum: Some(_), .. }) = self.links.get(&link) else { return };
        let who = who.clone();
        let process = &mut self.processes[at];
        process.gone.retain(|(gone, _)| !who.is_later_than(gone));
        if process.came.get(&who.member.name).is_none_or(|came| !came.is_later_than(&who)) {
            process.gone.push((who, now));
        }
    }

    /// Whoever has come here by a later link is not lost any more.
    fn came(&mut self, at: usize, who: &Attachment) {
        let process = &mut self.processes[at];
        process.gone.retain(|(gone, _)| !who.is_later_than(gone));
        let came = process.came.entry(who.member.name.clone()).or_insert_with(|| who.clone());
        if who.is_later_than(came) {
            *came = who.clone();
        }
    }

    pub fn happen(&mut self, event: Event) {
        if self.shown && !matches!(event, Event::Tick(..) | Event::ToChild(_, Down::Pulse { .. })) {
            println!("{:6} {event:?}", self.now / MS);
        }
        match event {
            Event::Tick(at, life) => {
                if self.processes[at].life == life && self.processes[at].wakes <= self.now {
                    self.processes[at].wakes = Nanos::MAX;
                    self.with(at, |node, now, host| node.tick(now, host));
                }
            }
            Event::Answered(at, life, call, name) => self.answered(at, life, call, &name),
            Event::ToParent(link, message) => self.deliver_up(link, message),
            Event::ToChild(link, message) => {
                let Some(one) = self.links.get(&link) else { return };
                let (at, life) = one.child;
                if one.ends.0 && self.processes[at].life == life {
                    self.with(at, |node, now, host| node.told(now, message, host));
                }
            }
            Event::GoneAtParent(link) => {
                let Some(one) = self.links.get_mut(&link) else { return };
                let (at, life) = one.parent;
                if std::mem::replace(&mut one.ends.1, false) && self.processes[at].life == life {
                    self.left(at, link);
                    self.with(at, |node, now, host| node.child_lost(now, link, host));
                }
            }
            Event::GoneAtChild(link) => {
                let Some(one) = self.links.get_mut(&link) else { return };
                let (at, life) = one.child;
                if std::mem::replace(&mut one.ends.0, false)
                    && self.processes[at].life == life
                    && self.processes[at].link == Some(link)
                {
                    self.processes[at].link = None;
                    self.with(at, |node, now, host| node.parent_lost(now, host));
                }
            }
            Event::InForce(at, life, version, resources) => self.in_force(at, life, version, resources),
            Event::Kept(at, life, kept) => {
                let process = &mut self.processes[at];
                if process.life == life && process.node.is_some() {
                    let version = kept.version;
                    process.older = process.disk.replace(kept);
                    self.with(at, |node, now, host| node.kept(now, version, host));
                    self.later(MS, Event::Confirm(self.token));
                }
            }
            Event::Start(at) => self.start(at),
            Event::Lease => self.lease(),
            Event::RootIs(at, token) => {
                if token == self.token {
                    let name = self.holder.map(|holder| self.processes[holder].terms.me.name.clone());
                    self.with(at, |node, now, host| node.root_is(now, name.as_deref(), host));
                    if self.holder == Some(at) && self.publisher.is_none() {
                        self.publisher = Some(Publisher::start(self.now, &mut self.asked));
                        self.asked();
                    }
                }
            }
            _ => self.publishing(event),
        }
    }

    /// Cut off from all others for a while, without a word to anybody.
    pub fn isolate(&mut self, at: usize, time: Nanos) {
        self.processes[at].island = self.now + time;
        for link in self.links.values_mut().filter(|link| link.child.0 == at || link.parent.0 == at) {
            link.mute = true;
        }
    }

    fn answered(&mut self, at: usize, life: u64, call: u64, name: &str) {
        let process = &self.processes[at];
        if process.life != life || process.call != call {
            return;
        }
        let parent =
            self.processes.iter().position(|other| other.terms.me.name == name && other.node.is_some());
        let Some(parent) = parent else {
            return self.with(at, |node, now, host| node.parent_lost(now, host));
        };
        self.links.retain(|_, link| link.ends != (false, false));
        if self.processes[at].island > self.now || self.processes[parent].island > self.now {
            return;
        }
        let link = self.next_link;
        self.next_link += 1;
        self.links.insert(
            link,
            Link {
                child: (at, life),
                parent: (parent, self.processes[parent].life),
                mute: false,
                up_at: self.now,
                down_at: self.now,
                ends: (true, true),
                part: None,
                who: None,
                sum: None,
                sent: VecDeque::new(),
            },
        );
        self.processes[at].link = Some(link);
        self.with(parent, |node, now, host| node.child_up(now, link, host));
        self.with(at, |node, now, host| node.parent_up(now, host));
    }

    fn deliver_up(&mut self, link: Child, message: Up) {
        let Some(one) = self.links.get_mut(&link) else { return };
        let (at, life) = one.parent;
        if !one.ends.1 || self.processes[at].life != life {
            return;
        }
        let mut came = Vec::new();
        match &message {
            Up::Subscribe { who, .. } => {
                one.who = Some(who.clone());
                came.push(who.clone());
            }
            Up::Took if one.part == Some(None) => one.part = None,
            Up::Holds { version, .. }
                if one.part.is_some_and(|part| part.is_some_and(|until| *version >= until)) =>
            {
                one.part = None;
            }
            Up::Sum(sum) => {
                one.sum = Some(sum.clone());
                came.extend(sum.arrived.clone());
            }
            _ => {}
        }
        came.iter().for_each(|who| self.came(at, who));
        self.with(at, |node, now, host| node.child_said(now, link, message, host));
    }

    fn in_force(&mut self, at: usize, life: u64, version: Version, resources: Vec<Resource>) {
        let process = &mut self.processes[at];
        if process.life != life || process.node.is_none() {
            return;
        }
        process.putting = false;
        let mut applied = process.applied.clone();
        let refused = apply(&mut applied, resources);
        // Of what is held and there was a good one, one stays in force.
        let lost = process.node.as_ref().and_then(|node| {
            let there = |key: &Key| {
                let same = |held: &&Resource| {
                    (&held.scope, &held.name) == (&key.0, &key.1) && held.version <= version
                };
                node.resources().find(same).is_some_and(|held| held.patch.is_some())
            };
            process.applied.keys().find(|key| !applied.contains_key(*key) && there(key))
        });
        let lost = lost.cloned();
        process.applied = applied;
        if let Some((scope, name)) = lost {
            self.wrong(format!("the last good {name} for {scope} was given up"));
        }
        self.with(at, |node, now, host| node.in_force(now, version, refused, host));
    }

    pub fn start(&mut self, at: usize) {
        let process = &mut self.processes[at];
        if process.dead || process.node.is_some() {
            return;
        }
        process.life += 1;
        process.terms.me.incarnation = process.life;
        (process.putting, process.wakes, process.link) = (false, Nanos::MAX, None);
        (process.applied, process.gone, process.came) = Default::default();
        let node = Node::start(self.now, process.terms.clone(), process.disk.clone(), &mut process.host);
        process.node = Some(node);
        let token = self.token;
        self.with(at, |_, _, _| ());
        if self.processes[at].terms.control && self.holder.is_some() {
            self.happen(Event::RootIs(at, token));
        }
    }

    /// Without a word; its links break.
    pub fn crash(&mut self, at: usize) {
        self.processes[at].node = None;
        self.processes[at].link = None;
        let life = self.processes[at].life;
        let links: Vec<Child> = self.links.keys().copied().collect();
        for link in links {
            if self.links[&link].child == (at, life) && self.links[&link].ends.0 {
                self.end(link, true);
            }
            if self.links[&link].parent == (at, life) && self.links[&link].ends.1 {
                self.end(link, false);
            }
        }
        if self.holder == Some(at) {
            // The lease runs out.
            self.later(6 * SECOND, Event::Lease);
            (self.holder, self.publisher) = (None, None);
            self.token += 1;
        }
    }

    /// Breaks a link; both ends learn it.
    pub fn cut(&mut self, link: Child) {
        self.end(link, true);
        self.end(link, false);
        if let Some(one) = self.links.get_mut(&link) {
            one.ends = (true, true);
        }
    }

    /// The lease goes to one of the control machines that live.
    fn lease(&mut self) {
        let living: Vec<usize> = (0..self.processes.len())
            .filter(|at| self.processes[*at].terms.control && self.processes[*at].node.is_some())
            .collect();
        if living.is_empty() {
            return self.later(SECOND, Event::Lease);
        }
        self.token += 1;
        self.publisher = None;
        self.asked.acts.clear();
        self.holder = Some(living[self.chance.below(living.len() as u64) as usize]);
        for at in living {
            let after = self.delay();
            self.later(after, Event::RootIs(at, self.token));
        }
    }

    pub fn offer(&mut self, changes: Vec<Change>) {
        self.offers += 1;
        let number = self.offers;
        let now = self.now;
        if let Some(publisher) = &mut self.publisher {
            publisher.offered(now, number, changes, &mut self.asked);
            self.asked();
        }
    }

    fn asked(&mut self) {
        while let Some(ask) = self.asked.acts.pop_front() {
            let after = self.delay();
            match ask {
                Ask::Read => self.later(after, Event::Read(self.token)),
                Ask::Write(text, version) => {
                    let unknown = self.lossy && self.chance.one_in(4);
                    let lost = unknown && self.chance.one_in(2);
                    self.later(after, Event::Written(self.token, text, version, unknown, lost));
                }
                Ask::Publish(version, resources) => {
                    self.settled.entry(version).or_insert_with(|| resources.clone());
                    if let Some(holder) = self.holder {
                        self.with(holder, |node, now, host| node.publish(now, version, resources, host));
                    }
                    self.later(MS, Event::Confirm(self.token));
                }
                Ask::Answer(number, outcome) => {
                    self.answers.insert(number, outcome);
                }
                Ask::GiveBack => {
                    self.later(after, Event::Lease);
                    return;
                }
            }
        }
    }

    fn publishing(&mut self, event: Event) {
        let token = match &event {
            Event::Read(token) | Event::Written(token, ..) | Event::Confirm(token) => *token,
            _ => return,
        };
        if token != self.token {
            return;
        }
        let Some(holder) = self.holder else { return };
        let controls = self.processes.iter().filter(|process| process.terms.control).count();
        let Some(node) = &self.processes[holder].node else { return };
        let (holds, majority) = (node.holds(), node.majority(controls));
        let now = self.now;
        let Some(mut publisher) = self.publisher.take() else { return };
        match event {
            Event::Read(_) => {
                let entry = self.entry.clone();
                let entry = entry.as_ref().map(|(text, version)| (text.as_str(), *version));
                publisher.read(now, self.epoch, entry, holds, &mut self.asked);
            }
            Event::Written(_, text, version, unknown, lost) => {
                let fits = self.entry.as_ref().map_or(0, |(_, version)| *version) == version;
                if fits && !lost {
                    self.record += 1;
                    self.entry = Some((text, self.record));
                }
                let written = match (unknown, fits) {
                    (true, _) => Written::Unknown,
                    (false, true) => Written::Done(self.record),
                    (false, false) => Written::Refused,
                };
                publisher.written(now, written, &mut self.asked);
            }
            _ => publisher.confirmed(now, majority, &mut self.asked),
        }
        self.publisher = Some(publisher);
        self.asked();
    }

    /// A sum claims no more than what is in force at whom it counts, but for the exceptions, and names who was lost.
    pub fn check_sum(&mut self, at: usize, sum: &Sum) {
        let process = &self.processes[at];
        let me = &process.terms.me;
        let late = |who: &Member| {
            sum.unnamed > 0
                || sum
                    .exceptions
                    .iter()
                    .any(|one| one.who == *who && matches!(one.why, Why::Late | Why::Lost { .. }))
        };
        let mut faults = Vec::new();
        faults.extend(claims(me, &process.terms.place, &process.applied, sum, &self.settled));
        for link in self.links.values() {
            if link.parent == (at, process.life)
                && link.ends.1
                && let (Some(who), Some(below)) = (&link.who, &link.sum)
                && sum.in_force > below.in_force
                && !late(&who.member)
            {
                faults.push(format!(
                    "{} claims {}, {} said {}",
                    me.name, sum.in_force, who.member.name, below.in_force
                ));
            }
        }
        for (who, since) in &process.gone {
            let counted = |link: &Link| {
                link.parent == (at, process.life)
                    && link.ends.1
                    && link.who.as_ref().is_some_and(|other| other.member.name == who.member.name)
            };
            if self.now < since + 59 * SECOND && !late(&who.member) && !self.links.values().any(counted) {
                faults.push(format!("{} forgot {who:?} of {since} in {sum:?}", me.name));
            }
        }
        faults.into_iter().for_each(|fault| self.wrong(fault));
    }

    /// What was answered is what became of it.
    pub fn check_answers(&mut self) {
        let all = || self.settled.values().flatten();
        let mut faults = Vec::new();
        for (number, outcome) in &self.answers {
            let patch = format!(r#"{{"x":{number}}}"#);
            let there = all().any(|one| one.patch.as_deref() == Some(patch.as_str()));
            match outcome {
                Outcome::Settled(version) if self.settled.range(version..).next().is_none() => {
                    faults.push(format!("offer {number} is not settled as {version}"));
                }
                Outcome::Refused(words) if there => {
                    faults.push(format!("offer {number} was refused, {words}: it is there"))
                }
                _ => {}
            }
        }
        faults.into_iter().for_each(|fault| self.wrong(fault));
    }

    /// Whether everybody holds and has in force what is settled last; else who does not.
    pub fn settled_everywhere(&self) -> Result<(), String> {
        let Some(holder) = self.holder else { return Err("no root".into()) };
        let (Some(root), Some((version, _))) = (&self.processes[holder].node, self.settled.last_key_value())
        else {
            return Err("no root".into());
        };
        let newest = written(&self.settled, *version);
        let sum = root.sum(self.now);
        let living = self.processes.iter().filter(|process| process.node.is_some());
        for process in living.clone() {
            let Some(node) = &process.node else { continue };
            let name = &process.terms.me.name;
            if node.holds() != *version {
                return Err(format!("{name} holds {}, not {version}", node.holds()));
            }
            let concerns = Interest::Proxy(process.terms.place.clone(), name.clone());
            let held: BTreeMap<Key, &Resource> =
                node.resources().map(|one| ((one.scope.clone(), one.name.clone()), one)).collect();
            for (key, write) in
                newest.iter().filter(|(key, write)| concerns.wants(&key.0) && write.patch.is_some())
            {
                if held.get(key).is_none_or(|held| held != write) {
                    return Err(format!("{name} lacks {}", key.1));
                }
                let bad = write.patch.as_ref().is_some_and(|patch| patch.contains("bad"));
                if !bad && process.applied.get(key).is_none_or(|has| has != *write) {
                    return Err(format!("{name} has not in force {}", key.1));
                }
            }
            let more = held.values().find(|held| {
                held.patch.is_some()
                    && newest.get(&(held.scope.clone(), held.name.clone())).is_none_or(|write| write != *held)
            });
            if let Some(more) = more {
                return Err(format!("{name} still has {}", more.name));
            }
        }
        if sum.in_force != *version {
            return Err(format!("the sum says {}", sum.in_force));
        }
        let lost = sum.exceptions.iter().filter(|one| matches!(one.why, Why::Lost { .. })).count();
        let late = sum.exceptions.iter().filter(|one| one.why == Why::Late).count();
        if sum.members as usize - lost != living.count() || late > 0 {
            return Err(format!("the sum counts {sum:?}"));
        }
        Ok(())
    }
}
