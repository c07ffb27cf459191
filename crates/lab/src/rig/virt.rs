//! The same decisions in virtual time, for fleets larger than a machine holds: voters and askers over links with loss and
//! delay, clocks that drift within what is stated, voters that crash and come back with their disks, links that are cut,
//! holders that die. Same plan and seed, same bytes. What processes, sockets and disks add is the rig's to show.

use super::plan::Plan;
use pumicebay_accord::{
    Answer, DurableState, Effects, LeaseClient, Member, Message, Nanos, Operation, ProcessId, Record, Reply,
    SharedRecord, StoreId, Voter, VoterConfig,
};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use serde::Serialize;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

const MILLI: Nanos = 1_000_000;
const SECOND: f64 = 1e9;
/// The same as the processes have.
const ROUND: Nanos = 250 * MILLI;
const ASK: Nanos = 2_000 * MILLI;
const PATIENCE: Nanos = 600 * MILLI;
/// How long a disk takes to sync, and a letter on its way, at the least and at the most.
const SYNC: Nanos = 2 * MILLI;
const WAY: (Nanos, Nanos) = (MILLI / 5, 5 * MILLI);
/// Letters lost while links are bad.
const LOSS: f64 = 0.2;

/// What came of a play in virtual time.
#[derive(Debug, Default, Serialize)]
pub struct Found {
    pub seed: u64,
    pub processes: usize,
    pub grants: usize,
    pub renewals: usize,
    /// Two that both could act under one lease, by true time.
    pub overlaps: usize,
    /// A token that was held before, or is lower than one that was.
    pub tokens_wrong: usize,
    /// Two records settled as one version.
    pub split: usize,
    /// Letters and bytes a second, over all links; the bytes are those of the frames.
    pub letters_per_second: f64,
    pub bytes_per_second: f64,
    /// Of asks that changed the record, from the ask to its answer, in milliseconds.
    pub settled_ms: Vec<f64>,
    /// From a holder's death until another holds its lease, in seconds.
    pub takeovers: Vec<f64>,
    /// What that may take without other faults: the lease's time by the clocks of all three, and two ways.
    pub bound: f64,
}

enum Event {
    Vote(StoreId, StoreId, Message),
    Ask(usize, Operation),
    Answer(Answer),
    /// A voter or an asker looks at its clock.
    Voter(usize),
    Asker(usize),
    /// A voter goes down or comes back; links go bad or well again; the holder of a lease dies.
    Down(usize),
    Back(usize),
    Bad(usize, bool),
    Dies(usize),
    /// An ask that has not been answered goes to the next voter.
    Again(usize, u64, usize),
}

#[derive(Clone, Copy)]
struct Clock {
    ppm: i64,
}

impl Clock {
    fn local(self, truth: Nanos) -> Nanos {
        (i128::from(truth) * i128::from(1_000_000 + self.ppm) / 1_000_000) as Nanos
    }

    /// When this clock will show that, rounded up.
    fn truth(self, local: Nanos) -> Nanos {
        ((i128::from(local) * 1_000_000).div_euclid(i128::from(1_000_000 + self.ppm)) + 1) as Nanos
    }
}

struct Seat {
    voter: Option<Voter>,
    disk: DurableState,
    clock: Clock,
    bad: bool,
}

struct Asker {
    who: ProcessId,
    holding: LeaseClient,
    clock: Clock,
    lease: usize,
    last: u64,
    good: usize,
    open: BTreeMap<u64, (Operation, Nanos)>,
    dead: bool,
    held: Option<u64>,
}

struct World {
    plan: Plan,
    random: SmallRng,
    now: Nanos,
    queue: BinaryHeap<Reverse<(Nanos, u64)>>,
    events: BTreeMap<u64, Event>,
    last: u64,
    seats: Vec<Seat>,
    askers: Vec<Asker>,
    /// Highest token of a lease, who had it, and until when by true time at the most; who died holding it, and when.
    leases: Vec<(u64, usize, Nanos, Option<Nanos>)>,
    versions: BTreeMap<u64, SharedRecord>,
    letters: u64,
    bytes: u64,
    found: Found,
}

/// Plays a plan: its processes all want one of its leases. Faults are drawn from the seed.
pub fn play(plan: &Plan, seed: u64) -> Found {
    let mut random = SmallRng::seed_from_u64(seed);
    let ppm = plan.clocks_ppm;
    let mut clock = || Clock { ppm: if ppm > 0 { random.random_range(-ppm..=ppm) } else { 0 } };
    let members: Vec<Member> =
        (0..plan.voters).map(|at| Member { name: format!("v{at}"), store: at as u64 + 1 }).collect();
    let terms = VoterConfig {
        drift_ppm: plan.drift_ppm,
        round_timeout: ROUND,
        operation_timeout: ASK,
        max_pending: 1024,
        eligible_voters: members.iter().map(|member| member.name.clone()).collect(),
        require_extra_confirmation: false,
    };
    let record = Record::bootstrap(1, members.clone());
    let seats = members.iter().map(|member| {
        let mut acts = Effects::default();
        let kept = DurableState::empty("virtual", member.store);
        let mut voter = Voter::start(0, &member.name, kept, terms.clone(), &mut acts);
        voter.bootstrap(0, record.clone(), &mut acts);
        Seat { disk: voter.durable_state().clone(), voter: Some(voter), clock: clock(), bad: false }
    });
    let seats: Vec<Seat> = seats.collect();
    let nanos = (plan.lease_seconds * SECOND) as Nanos;
    let askers = (0..plan.processes).map(|at| {
        let who = ProcessId { name: format!("p{at}"), incarnation: 1 };
        let lease = at % plan.leases;
        let holding = LeaseClient::new(0, who.clone(), &format!("lease{lease}"), nanos, plan.drift_ppm);
        Asker {
            who,
            holding,
            clock: clock(),
            lease,
            last: 0,
            good: 0,
            open: BTreeMap::new(),
            dead: false,
            held: None,
        }
    });
    let askers: Vec<Asker> = askers.collect();
    let drift = plan.drift_ppm as f64 / 1e6;
    // The voter waits by a clock that may be slow, the asker comes back by one that may be too.
    let bound =
        plan.lease_seconds * ((1.0 + drift) / (1.0 - drift)).powi(2) + plan.lease_seconds / 12.0 + 0.1;
    let mut world = World {
        plan: plan.clone(),
        random,
        now: 0,
        queue: BinaryHeap::new(),
        events: BTreeMap::new(),
        last: 0,
        seats,
        askers,
        leases: vec![(0, usize::MAX, 0, None); plan.leases],
        versions: BTreeMap::new(),
        letters: 0,
        bytes: 0,
        found: Found { seed, processes: plan.processes, bound, ..Found::default() },
    };
    world.run();
    world.found
}

impl World {
    fn run(&mut self) {
        let end = (self.plan.seconds * SECOND) as Nanos;
        for at in 0..self.askers.len() {
            let first = self.random.random_range(0..500 * MILLI);
            self.at(first, Event::Asker(at));
        }
        for at in 0..self.seats.len() {
            self.at(500 * MILLI, Event::Voter(at));
        }
        for _ in 0..self.plan.random {
            let begin = self.random.random_range(SECOND as Nanos..end.max(2 * SECOND as Nanos));
            let over = begin + self.random.random_range(300 * MILLI..4_000 * MILLI);
            let voter = self.random.random_range(0..self.seats.len());
            match self.random.random_range(0..3) {
                0 => {
                    self.at(begin, Event::Down(voter));
                    self.at(over, Event::Back(voter));
                }
                1 => {
                    self.at(begin, Event::Bad(voter, true));
                    self.at(over, Event::Bad(voter, false));
                }
                _ => {
                    let lease = self.random.random_range(0..self.plan.leases);
                    self.at(begin, Event::Dies(lease));
                }
            }
        }
        while let Some(Reverse((at, number))) = self.queue.pop() {
            if at > end {
                break;
            }
            self.now = at;
            if let Some(event) = self.events.remove(&number) {
                self.happens(event);
            }
        }
        let seconds = self.plan.seconds;
        self.found.letters_per_second = self.letters as f64 / seconds;
        self.found.bytes_per_second = self.bytes as f64 / seconds;
        self.found.settled_ms.sort_by(f64::total_cmp);
        self.found.takeovers.sort_by(f64::total_cmp);
    }

    fn at(&mut self, at: Nanos, event: Event) {
        self.last += 1;
        self.events.insert(self.last, event);
        self.queue.push(Reverse((at, self.last)));
    }

    /// A letter on its way to or from a voter, or lost there.
    fn letter(&mut self, voter: usize, size: usize, later: Nanos, event: Event) {
        self.letters += 1;
        self.bytes += size as u64 + 4;
        if self.seats[voter].bad && self.random.random_bool(LOSS) {
            return;
        }
        let way = self.random.random_range(WAY.0..WAY.1);
        self.at(self.now + later + way, event);
    }

    fn happens(&mut self, event: Event) {
        match event {
            Event::Vote(to, from, message) => {
                self.act(to as usize - 1, |voter, now, acts| {
                    voter.message_received(now, from, message, acts)
                });
            }
            Event::Ask(to, ask) => self.act(to, |voter, now, acts| voter.submit(now, ask, acts)),
            Event::Voter(at) => self.act(at, |voter, now, acts| voter.timer_fired(now, acts)),
            Event::Answer(answer) => self.answered(&answer),
            Event::Asker(at) => self.asker(at),
            Event::Again(at, number, to) => self.again(at, number, to),
            Event::Down(at) => self.seats[at].voter = None,
            Event::Back(at) => self.back(at),
            Event::Bad(at, bad) => self.seats[at].bad = bad,
            Event::Dies(lease) => {
                let now = self.now;
                let holds = |asker: &&mut Asker| asker.lease == lease && asker.held.is_some() && !asker.dead;
                if let Some(asker) = self.askers.iter_mut().find(holds) {
                    asker.dead = true;
                    self.leases[lease].3 = Some(now);
                }
            }
        }
    }

    fn back(&mut self, at: usize) {
        if self.seats[at].voter.is_some() {
            return;
        }
        let Some(terms) =
            self.seats.iter().find_map(|seat| seat.voter.as_ref()).map(|voter| voter.config().clone())
        else {
            // All are down: this one waits for another, as a play can't end without.
            return self.at(self.now + SECOND as Nanos, Event::Back(at));
        };
        let (now, disk) = (self.seats[at].clock.local(self.now), self.seats[at].disk.clone());
        let mut acts = Effects::default();
        let mut voter = Voter::start(now, &format!("v{at}"), disk, terms, &mut acts);
        // The links that come up say hello.
        for other in self.seats.iter().filter_map(|seat| seat.voter.as_ref()) {
            let kept = other.durable_state();
            voter.hello_received(
                now,
                kept.store,
                kept.write_count,
                other.known_write_count(voter.durable_state().store),
                &mut acts,
            );
        }
        self.seats[at].disk = voter.durable_state().clone();
        self.seats[at].voter = Some(voter);
        self.at(self.now + MILLI, Event::Voter(at));
    }

    fn act(&mut self, at: usize, what: impl FnOnce(&mut Voter, Nanos, &mut Effects)) {
        let random = self.random.random_range(0.0..1.0);
        let seat = &mut self.seats[at];
        let now = seat.clock.local(self.now);
        let Some(voter) = &mut seat.voter else { return };
        let own = voter.durable_state().store;
        let mut acts = Effects { random, ..Effects::default() };
        what(voter, now, &mut acts);
        acts.deliver_to_self(now, voter);
        let later = if acts.to_persist.is_empty() { 0 } else { SYNC };
        if let Some(kept) = acts.to_persist.pop() {
            seat.disk = kept;
        }
        if let Some(wake) = acts.wake_at {
            let wake = seat.clock.truth(wake).max(self.now + MILLI / 10);
            self.at(wake, Event::Voter(at));
        }
        for record in acts.committed {
            let version = record.0.version;
            let first = self.versions.entry(version).or_insert_with(|| record.clone());
            self.found.split += usize::from(*first != record);
            while self.versions.len() > 1000 {
                self.versions.pop_first();
            }
        }
        for (to, message) in acts.messages {
            let size = size(&message);
            // Bad links of either end lose it.
            let voter = if self.seats[at].bad { at } else { to as usize - 1 };
            self.letter(voter, size, later, Event::Vote(to, own, message));
        }
        for answer in acts.answers {
            self.letter(at, size(&answer), later, Event::Answer(answer));
        }
    }

    fn asker(&mut self, at: usize) {
        let asker = &mut self.askers[at];
        if asker.dead {
            return;
        }
        let now = asker.clock.local(self.now);
        asker.last += 1;
        let (number, to) = (asker.last, asker.good);
        if let Some(ask) = asker.holding.next_operation(now, number) {
            asker.open.insert(number, (ask, self.now));
            self.again(at, number, to);
        }
        let asker = &self.askers[at];
        let due = asker.clock.truth(asker.holding.wake_at()).max(self.now + MILLI);
        self.at(due, Event::Asker(at));
    }

    fn again(&mut self, at: usize, number: u64, to: usize) {
        let patience = (self.plan.lease_seconds * SECOND / 2.0) as Nanos;
        let asker = &mut self.askers[at];
        let Some((ask, asked)) = asker.open.get(&number) else { return };
        if self.now - asked > patience || asker.dead {
            asker.open.remove(&number);
            return;
        }
        let ask = ask.clone();
        asker.good = to;
        self.letter(to, size(&ask), 0, Event::Ask(to, ask));
        let next = (to + 1) % self.seats.len();
        self.at(self.now + PATIENCE, Event::Again(at, number, next));
    }

    fn answered(&mut self, answer: &Answer) {
        let Some(at) = self.askers.iter().position(|asker| asker.who == answer.id.process) else { return };
        let asker = &mut self.askers[at];
        if asker.dead || matches!(answer.reply, Reply::Busy | Reply::Unknown) {
            return;
        }
        let Some((_, asked)) = asker.open.remove(&answer.id.number) else { return };
        let now = asker.clock.local(self.now);
        asker.holding.answer_received(now, answer.id.number, &answer.reply);
        if matches!(answer.reply, Reply::Granted(_)) {
            self.found.settled_ms.push((self.now - asked) as f64 / MILLI as f64);
        }
        let (lease, held) = (asker.lease, asker.holding.held());
        let until = held.map(|held| (held.token, asker.clock.truth(held.valid_until)));
        let was = std::mem::replace(&mut asker.held, held.map(|held| held.token));
        if let Some((token, until)) = until {
            let (highest, who, before, died) = &mut self.leases[lease];
            if was == Some(token) {
                self.found.renewals += 1;
                *before = until;
            } else {
                self.found.grants += 1;
                self.found.overlaps += usize::from(*who != at && *before > self.now);
                self.found.tokens_wrong += usize::from(token <= *highest);
                if let Some(died) = died.take() {
                    self.found.takeovers.push((self.now - died) as f64 / SECOND);
                }
                (*highest, *who, *before) = (token, at, until);
            }
        }
        let due = self.askers[at].clock.truth(self.askers[at].holding.wake_at()).max(self.now + MILLI);
        self.at(due, Event::Asker(at));
    }
}

fn size(what: &impl Serialize) -> usize {
    postcard::experimental::serialized_size(what).unwrap_or(0)
}

impl Found {
    pub fn summary(&self) -> String {
        let of =
            |all: &[f64], part: f64| all.get((all.len() as f64 * part) as usize).copied().unwrap_or(f64::NAN);
        let longest = self.takeovers.last().copied().unwrap_or(f64::NAN);
        format!(
            "seed {} (virtual): {} processes, {} grants, {} renewals, {} overlaps, {} tokens wrong, {} splits, settled in \
             {:.1} ms, 99 in 100 in {:.1}; {} takeovers, {:.2} s, longest {longest:.2}, bound {:.2} without other faults; \
             {:.0} letters and {:.1} KB a second\n",
            self.seed,
            self.processes,
            self.grants,
            self.renewals,
            self.overlaps,
            self.tokens_wrong,
            self.split,
            of(&self.settled_ms, 0.5),
            of(&self.settled_ms, 0.99),
            self.takeovers.len(),
            of(&self.takeovers, 0.5),
            self.bound,
            self.letters_per_second,
            self.bytes_per_second / 1e3,
        )
    }

    pub fn wrong(&self) -> usize {
        self.overlaps + self.tokens_wrong + self.split
    }
}
