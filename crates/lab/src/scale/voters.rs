//! The same fleet without the carrier: every proxy keeps a link to every voter, as it does today, and asks one of them for
//! the whole record every few seconds, to see whether a value of it has changed. The voters are the real ones; links and
//! beats are counted by their constants.

use super::agree::{self, Clock, PATIENCE, Said, Seat};
use super::fleet::{self, Site};
use super::meter::{Meter, beats, segments};
use super::plan::Plan;
use super::report::{LIMIT, Times, times};
use super::virt::{MILLI, SECOND, size};
use pumicebay_accord::{Message, Operation, OperationId, OperationKind, ProcessId, Reply, StoreId};
use pumicebay_carrier::Nanos;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use serde::Serialize;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::fmt::Write;

/// Links that a voter takes by default (`fleet.links`), and what its record may hold.
const LINKS: usize = 1024;
/// The configuration that the record has: as much as fits beside leases.
const VALUE: usize = 60 * 1024;

/// What came of it.
#[derive(Debug, Default, PartialEq, Serialize)]
pub struct Found {
    pub seed: u64,
    pub proxies: usize,
    pub voters: usize,
    pub seconds: f64,
    /// By arithmetic: links at each voter, the limit, and beats with headers that these links are a second.
    pub links: usize,
    pub most_links: usize,
    pub beats_per_second: f64,
    /// Asks, those that one voter turned away or left open, and those that got an answer.
    pub asks: usize,
    pub turned_away: usize,
    pub unanswered: usize,
    pub answered: usize,
    /// At a voter, as played without the limit on links: bytes a second without beats; the worst second with them.
    pub voter_bytes_per_second: f64,
    pub voter_worst: u64,
    pub proxy_worst: u64,
    pub record_bytes: usize,
    /// From a change's settling until the last proxy has read it.
    pub seen: Times,
    pub changes: usize,
    pub unfinished: usize,
    pub limits: Vec<String>,
}

enum Event {
    Vote(StoreId, StoreId, Message),
    Ask(usize, Operation),
    Answer(usize, Reply, usize, u64),
    Voter(usize),
    Poll(usize),
    Change,
    Patience(usize, u64),
}

struct Asker {
    good: usize,
    number: u64,
    open: Option<(u64, Nanos)>,
    seen: u64,
    meter: Meter,
}

struct Fleet<'a> {
    plan: &'a Plan,
    sites: Vec<Site>,
    random: SmallRng,
    now: Nanos,
    heap: BinaryHeap<Reverse<(Nanos, u64)>>,
    events: BTreeMap<u64, Event>,
    last: u64,
    seats: Vec<Seat>,
    meters: Vec<Meter>,
    askers: Vec<Asker>,
    /// Versions of the record at which the value changed, when, and how many have not read them yet.
    changes: Vec<(u64, Nanos, usize, Option<Nanos>)>,
    found: Found,
    sizes: BTreeMap<u64, usize>,
    writes: u64,
}

pub fn play(plan: &Plan, seed: u64) -> Found {
    let mut random = SmallRng::seed_from_u64(seed);
    let sites = fleet::everyone(plan);
    let ppm = plan.clocks_ppm;
    let mut clock = || Clock { ppm: if ppm > 0 { random.random_range(-ppm..=ppm) } else { 0 }, origin: 0 };
    let seats = agree::seats(plan, &mut clock);
    let askers = (0..plan.proxies)
        .map(|at| Asker { good: at % plan.voters, number: 0, open: None, seen: 0, meter: Meter::default() })
        .collect();
    let links = plan.proxies + plan.voters - 1;
    let (_, beat, _) = beats();
    let found = Found {
        seed,
        proxies: plan.proxies,
        voters: plan.voters,
        seconds: plan.seconds,
        links,
        most_links: LINKS,
        beats_per_second: (links as u64 * beat) as f64,
        ..Found::default()
    };
    let mut fleet = Fleet {
        plan,
        sites,
        random,
        now: 0,
        heap: BinaryHeap::new(),
        events: BTreeMap::new(),
        last: 0,
        meters: vec![Meter::default(); plan.voters],
        seats,
        askers,
        changes: Vec::new(),
        found,
        sizes: BTreeMap::new(),
        writes: 0,
    };
    fleet.run();
    fleet.found
}

impl Fleet<'_> {
    fn run(&mut self) {
        let end = (self.plan.seconds * 1e9) as Nanos;
        let every = (self.plan.poll_seconds * 1e9) as Nanos;
        for voter in 0..self.plan.voters {
            (0..self.found.links).for_each(|_| self.meters[voter].link(0, true));
            self.at(100 * MILLI, Event::Voter(voter));
        }
        for who in 0..self.askers.len() {
            (0..self.plan.voters).for_each(|_| self.askers[who].meter.link(0, true));
            let first = SECOND + self.random.random_range(0..every);
            self.at(first, Event::Poll(who));
        }
        self.at(SECOND / 2, Event::Change);
        while let Some(Reverse((at, number))) = self.heap.pop() {
            if at > end {
                break;
            }
            self.now = at;
            if let Some(event) = self.events.remove(&number) {
                self.happens(event);
            }
        }
        self.now = end;
        self.ended();
    }

    fn ended(&mut self) {
        let mut seen: Vec<f64> = Vec::new();
        // The first is the value itself, and what changed a moment ago had no time.
        for (_, settled, left, done) in self.changes.iter().skip(1) {
            match done {
                Some(done) => seen.push((done - settled) as f64 / 1e9),
                None => self.found.unfinished += usize::from(*left > 0 && settled + 9 * SECOND < self.now),
            }
        }
        let bytes = |meter: &Meter| {
            let (sent, received) = (meter.sent, meter.received);
            sent.frames + sent.headers + received.frames + received.headers
        };
        let seconds = self.plan.seconds;
        let found = &mut self.found;
        found.changes = self.changes.len().saturating_sub(1);
        found.seen = times(&mut seen);
        found.voter_bytes_per_second =
            self.meters.iter().map(bytes).sum::<u64>() as f64 / seconds / self.meters.len() as f64;
        found.voter_worst = self.meters.iter().map(|meter| meter.worst).max().unwrap_or(0);
        found.proxy_worst = self.askers.iter().map(|asker| asker.meter.worst).max().unwrap_or(0);
        found.record_bytes = self.sizes.values().copied().max().unwrap_or(0);
        let mut limits = Vec::new();
        if found.links > LINKS {
            limits.push(format!(
                "links: {} at each voter, {LINKS} at most (fleet.links): broken from {} proxies on",
                found.links,
                LINKS + 2 - found.voters
            ));
        }
        let reads = found.record_bytes as f64 * found.proxies as f64 / self.plan.poll_seconds;
        limits.push(format!(
            "bytes: {:.1} MB a second of records from the voters together, by arithmetic",
            reads / 1e6
        ));
        if found.proxy_worst > LIMIT {
            limits.push(format!("a proxy's {LIMIT} B a second: {} in its worst one", found.proxy_worst));
        }
        found.limits = limits;
    }

    fn at(&mut self, at: Nanos, event: Event) {
        self.last += 1;
        self.events.insert(self.last, event);
        self.heap.push(Reverse((at, self.last)));
    }

    fn happens(&mut self, event: Event) {
        match event {
            Event::Vote(to, from, message) => {
                let at = to as usize - 1;
                let bytes = size(&message);
                self.meters[at].receives(self.now, bytes, segments(bytes));
                self.voter(at, |voter, now, acts| voter.message_received(now, from, message, acts));
            }
            Event::Ask(at, ask) => {
                let bytes = size(&ask);
                self.meters[at].receives(self.now, bytes, segments(bytes));
                self.voter(at, |voter, now, acts| voter.submit(now, ask, acts));
            }
            Event::Voter(at) => self.voter(at, |voter, now, acts| voter.timer_fired(now, acts)),
            Event::Answer(who, reply, bytes, number) => self.answered(who, reply, bytes, number),
            Event::Poll(who) => self.poll(who),
            Event::Patience(who, number) => {
                if self.askers[who].open.is_some_and(|(open, _)| open == number) {
                    self.askers[who].good = (self.askers[who].good + 1) % self.plan.voters;
                    self.askers[who].open = None;
                    self.found.unanswered += 1;
                    self.ask(who);
                }
            }
            Event::Change => self.change(),
        }
    }

    /// An operator writes the value anew, through the first voter.
    fn change(&mut self) {
        self.writes += 1;
        let text = format!("{:0VALUE$}", self.writes);
        let want =
            OperationKind::Put { name: "configuration".into(), text, expected_version: None, fence: None };
        let who = ProcessId { name: "operator".into(), incarnation: 1 };
        let ask = Operation { id: OperationId { process: who, number: self.writes }, kind: want };
        self.at(self.now + MILLI, Event::Ask(0, ask));
        let gap =
            -(1.0 - self.random.random_range(0.0..1.0f64)).ln() / self.plan.changes_per_second.max(1e-3);
        let first = if self.writes == 1 { 2 * self.plan.poll_seconds as Nanos * SECOND } else { 0 };
        self.at(self.now + first + (gap * 1e9) as Nanos, Event::Change);
    }

    fn poll(&mut self, who: usize) {
        let every = (self.plan.poll_seconds * 1e9) as Nanos;
        self.at(self.now + every, Event::Poll(who));
        if self.askers[who].open.is_none() {
            self.ask(who);
        }
    }

    fn ask(&mut self, who: usize) {
        self.found.asks += 1;
        let asker = &mut self.askers[who];
        asker.number += 1;
        asker.open = Some((asker.number, self.now));
        let (number, to) = (asker.number, asker.good);
        let name = self.sites[self.plan.control + who].name.clone();
        let id = OperationId { process: ProcessId { name, incarnation: who as u64 }, number };
        let ask = Operation { id, kind: OperationKind::Read };
        let bytes = size(&ask);
        asker.meter.sends(self.now, bytes, segments(bytes));
        let (here, there) = (fleet::spot(&self.sites[self.plan.control + who]), self.seats[to].spot);
        let way = fleet::way(self.plan, here, there, segments(bytes), &mut self.random);
        self.at(self.now + way, Event::Ask(to, ask));
        self.at(self.now + PATIENCE, Event::Patience(who, number));
    }

    fn answered(&mut self, who: usize, reply: Reply, bytes: usize, number: u64) {
        let asker = &mut self.askers[who];
        asker.meter.receives(self.now, bytes, segments(bytes));
        if asker.open.is_none_or(|(open, _)| open != number) {
            return;
        }
        match reply {
            Reply::Record(record) => {
                self.found.answered += 1;
                asker.open = None;
                let version = record.0.values.get("configuration").map_or(0, |entry| entry.version);
                let before = asker.seen;
                asker.seen = version.max(before);
                for (changed, _, left, done) in self.changes.iter_mut().rev() {
                    if *changed <= before {
                        break;
                    }
                    if *changed <= version {
                        *left -= 1;
                        if *left == 0 {
                            *done = Some(self.now);
                        }
                    }
                }
            }
            // Turned away: its patience ends, and the next is asked.
            _ => self.found.turned_away += 1,
        }
    }

    fn voter(
        &mut self,
        at: usize,
        what: impl FnOnce(&mut pumicebay_accord::Voter, Nanos, &mut pumicebay_accord::Effects),
    ) {
        let chance = self.random.random_range(0.0..1.0);
        let Said { messages, answers, wake, kept } = self.seats[at].act(self.now, chance, what);
        if let Some(wake) = wake {
            self.at(wake.max(self.now + MILLI), Event::Voter(at));
        }
        let later = if kept { (self.plan.disk_ms * 1e6) as Nanos } else { 0 };
        let here = self.seats[at].spot;
        for (to, message) in messages {
            let there = self.seats[to as usize - 1].spot;
            let bytes = size(&message);
            self.meters[at].sends(self.now, bytes, segments(bytes));
            let way = fleet::way(self.plan, here, there, segments(bytes), &mut self.random);
            self.at(self.now + later + way, Event::Vote(to, at as StoreId + 1, message));
        }
        for answer in answers {
            if answer.id.process.name == "operator" {
                if let Reply::Written(version) = answer.reply {
                    self.changes.push((version, self.now, self.askers.len(), None));
                }
                continue;
            }
            let who = answer.id.process.incarnation as usize;
            // The same record goes to many: its size is taken once.
            let bytes = match &answer.reply {
                Reply::Record(record) => {
                    let record_bytes =
                        *self.sizes.entry(record.0.version).or_insert_with(|| record.0.encoded_size());
                    record_bytes + 40
                }
                _ => size(&answer),
            };
            self.meters[at].sends(self.now, bytes, segments(bytes));
            let there = fleet::spot(&self.sites[self.plan.control + who]);
            let way = fleet::way(self.plan, here, there, 1, &mut self.random);
            self.at(self.now + later + way, Event::Answer(who, answer.reply, bytes, answer.id.number));
        }
    }
}

impl Found {
    pub fn summary(&self) -> String {
        let mut lines = format!(
            "seed {} (virtual, simulated, without the carrier): {} proxies at {} voters, {} s\n  by arithmetic: {} links at each voter, \
             beats {:.1} MB a second there\n  played as if there were no limit on links: {} asks, {} answered, {} turned away, {} \
             without an answer in time; a voter {:.1} MB a second, worst second {:.1} MB; a proxy's worst second {} B; {} changes, read \
             by all after {:.2} s, longest {:.2} ({}), {} not by the end\n",
            self.seed,
            self.proxies,
            self.voters,
            self.seconds,
            self.links,
            self.beats_per_second / 1e6,
            self.asks,
            self.answered,
            self.turned_away,
            self.unanswered,
            self.voter_bytes_per_second / 1e6,
            self.voter_worst as f64 / 1e6,
            self.proxy_worst,
            self.changes,
            self.seen.median,
            self.seen.longest,
            self.seen.count,
            self.unfinished,
        );
        for limit in &self.limits {
            let _ = writeln!(lines, "  limit: {limit}");
        }
        lines
    }
}
