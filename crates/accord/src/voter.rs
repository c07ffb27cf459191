//! A process that votes: it promises and accepts, and runs rounds for those who ask it. What it says is on its disk
//! first: the host lets nothing out before what was kept ahead of it is synced.

use crate::Nanos;
use crate::apply::{self, Judge, Sights};
use crate::message::{Answer, Ask, AskId, Ballot, Message, Reply, Shared, Want};
use crate::presence::Presence;
use crate::record::{Holder, Member, Name, Record, Store};
use crate::round::{Round, newest};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

/// What a voter asks of the process that it lives in.
pub trait Host {
    /// Syncs this to disk before anything that is sent or answered after it goes out.
    fn keep(&mut self, kept: &Kept);
    /// To a voter, by its store; lost where it can't be had.
    fn send(&mut self, to: Store, message: Message);
    fn answer(&mut self, answer: Answer);
    /// This record is settled.
    fn settled(&mut self, record: &Shared);
    /// To be woken at this time, or sooner.
    fn wake(&mut self, at: Nanos);
    /// Between 0 and 1.
    fn chance(&mut self) -> f64;
    /// Its standing has changed.
    fn stands(&mut self, standing: Standing);
}

/// What a voter has on its disk.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Kept {
    pub fleet: Name,
    pub store: Store,
    /// How often it was opened.
    pub incarnation: u64,
    /// How often it was written: others know a copy by it.
    pub written: u64,
    pub promised: Ballot,
    pub accepted: Ballot,
    pub record: Shared,
    /// How often others had written theirs, as this one heard.
    pub known: BTreeMap<Store, u64>,
}

impl Kept {
    /// That of an empty folder, for which a store was drawn.
    pub fn empty(fleet: &str, store: Store) -> Kept {
        Kept {
            fleet: fleet.into(),
            store,
            incarnation: 1,
            written: 0,
            promised: Ballot::default(),
            accepted: Ballot::default(),
            record: Shared::default(),
            known: BTreeMap::new(),
        }
    }

    /// Whether it has never had a record.
    pub fn is_empty(&self) -> bool {
        self.accepted == Ballot::default()
    }
}

/// Why a voter votes, or does not.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Standing {
    /// Its folder was empty: it waits for the fleet to be founded, or to be taken in by the others.
    Empty,
    /// Back from a start: it votes once enough others have said that they know nothing newer of it.
    Doubts,
    Votes,
    /// Others know more of this store than it does: its disk is an older copy, and must not vote again.
    Behind,
}

/// What all voters of a fleet are set to alike.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Terms {
    /// How much faster or slower than real time a clock may run, in millionths.
    pub drift_ppm: u64,
    /// How long a round may take before it is begun again.
    pub round: Nanos,
    /// How long an ask is kept.
    pub ask: Nanos,
    /// Asks that wait at once; the least needed are turned away.
    pub asks: usize,
    /// Names that may vote.
    pub may_vote: Vec<Name>,
    /// Whether a voter that comes back asks one more of the others than makes a majority with it. Then an older copy of
    /// its disk is found wherever what it forgot was settled; without, only where one of those that it hears from
    /// has heard of a later write.
    pub cautious: bool,
}

/// The ballot of the record that a fleet is founded with.
const FOUNDED: Ballot = Ballot { round: 1, store: 0, incarnation: 0 };
/// Backing off grows up to so many doublings.
const DOUBLINGS: u32 = 5;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Voter {
    pub me: Name,
    pub(crate) terms: Terms,
    pub(crate) kept: Kept,
    pub(crate) standing: Standing,
    /// Other voters that knew nothing newer of this one, since it started.
    pub(crate) vouched: BTreeSet<Store>,
    pub present: Presence,
    pub(crate) sights: Sights,
    /// Asks and until when they are kept, the oldest first.
    pub(crate) asks: VecDeque<(Ask, Nanos)>,
    pub(crate) round: Round,
    /// When the round is given up, or the next may begin.
    pub(crate) due: Nanos,
    /// Rounds given up in a row.
    vain: u32,
    /// The highest round seen anywhere.
    highest: u64,
    /// The last ballot under which it saw an exchange of voters settled. That alone tells it: with answers lost in turns,
    /// what others say may leave it open each time, and it would settle the same exchange again and again.
    exchanged: Ballot,
    peeks: u64,
    own_asks: u64,
}

impl Voter {
    /// From what was on the disk, opened once more; its new incarnation is kept before anything is said.
    pub fn start(now: Nanos, me: &str, mut kept: Kept, terms: Terms, host: &mut impl Host) -> Voter {
        kept.incarnation += 1;
        let standing = if kept.is_empty() { Standing::Empty } else { Standing::Doubts };
        let mut voter = Voter {
            me: me.into(),
            highest: kept.promised.round,
            exchanged: Ballot::default(),
            terms,
            kept,
            standing,
            vouched: BTreeSet::new(),
            present: Presence::default(),
            sights: Sights::default(),
            asks: VecDeque::new(),
            round: Round::None,
            due: 0,
            vain: 0,
            peeks: 0,
            own_asks: 0,
        };
        // Not counted as written: others may know as many writes as were on the disk, and one that knows of more tells
        // that this is an older copy.
        host.keep(&voter.kept);
        voter.sights.saw(now, &voter.kept.record.0);
        host.stands(standing);
        voter
    }

    pub fn kept(&self) -> &Kept {
        &self.kept
    }

    pub fn terms(&self) -> &Terms {
        &self.terms
    }

    pub fn standing(&self) -> Standing {
        self.standing
    }

    /// Whether the newest record that it knows counts this store.
    pub fn seated(&self) -> bool {
        self.kept.record.0.votes(self.kept.store)
    }

    /// How often another voter's disk was written, as far as this one has heard.
    pub fn knows_of(&self, store: Store) -> u64 {
        self.kept.known.get(&store).copied().unwrap_or(0)
    }

    /// How much longer the holder of a lease may believe that it holds it.
    pub fn left(&self, now: Nanos, lease: &str) -> Nanos {
        let stands = self.kept.record.0.leases.get(lease);
        stands.map_or(0, |stands| self.sights.left(now, lease, stands, self.terms.drift_ppm))
    }

    /// The fleet's first record, by an operator's word. Whether it was taken.
    pub fn found(&mut self, now: Nanos, record: Record, host: &mut impl Host) -> bool {
        if !self.kept.is_empty() || !record.votes(self.kept.store) || self.kept.promised > FOUNDED {
            return self.kept.record.0.founded == record.founded;
        }
        (self.kept.promised, self.kept.accepted) = (FOUNDED, FOUNDED);
        self.kept.record = Shared(Arc::new(record));
        self.highest = self.highest.max(FOUNDED.round);
        self.sights.saw(now, &self.kept.record.0);
        self.keep(host);
        self.stand(Standing::Votes, host);
        true
    }

    /// Another voter said hello: its store, how often that was written, and how often it believes that ours was.
    pub fn greeted(&mut self, now: Nanos, store: Store, written: u64, knows: u64, host: &mut impl Host) {
        self.heard(store, written);
        if knows > self.kept.written {
            // A voter whose disk was set back to an older copy has forgotten what it promised and accepted.
            self.stand(Standing::Behind, host);
        } else if self.standing == Standing::Doubts && written > 0 {
            self.vouched.insert(store);
            if self.enough_vouch() {
                self.stand(Standing::Votes, host);
                self.begin(now, host);
            }
        }
    }

    /// A person's word that this disk is no older copy, where those who could say so are gone for good. Whether it helped.
    pub fn trusted(&mut self, now: Nanos, host: &mut impl Host) -> bool {
        if self.standing != Standing::Doubts {
            return self.standing == Standing::Votes;
        }
        self.stand(Standing::Votes, host);
        self.begin(now, host);
        true
    }

    /// What it settled with others, one of these must have heard of.
    fn enough_vouch(&self) -> bool {
        let Kept { store, record, .. } = &self.kept;
        let enough = |voters: &[Member]| {
            let wanted = voters.len() / 2 + usize::from(self.terms.cautious);
            let vouch = |member: &&Member| member.store != *store && self.vouched.contains(&member.store);
            voters.iter().filter(vouch).count() >= wanted
        };
        enough(&record.0.voters) && enough(&record.0.before)
    }

    /// Somebody wants something.
    pub fn asked(&mut self, now: Nanos, ask: Ask, host: &mut impl Host) {
        let turned = |id: AskId| Answer { id, reply: Reply::Busy };
        if self.standing != Standing::Votes {
            return host.answer(turned(ask.id));
        }
        // Sent again while it waits.
        if self.asks.iter().any(|(waits, _)| waits.id == ask.id) {
            return;
        }
        // Many that wait for one lease must not cost a round each: a no promises nothing, so what this voter knows is
        // enough for it.
        if let Want::Acquire(name, _) = &ask.want
            && let Some(lease) = self.kept.record.0.leases.get(name)
            && !lease.held_by(&ask.id.who)
            && let left @ 1.. = self.left(now, name)
        {
            let reply = Reply::Denied(lease.holder.clone(), left);
            return host.answer(Answer { id: ask.id, reply });
        }
        if self.asks.len() >= self.terms.asks {
            // Of those that no round has taken up yet the least needed goes, the newest first; it may be this one.
            let free = match &self.round {
                Round::Accept { covered, .. } => *covered,
                _ => 0,
            };
            let waiting = self.asks.iter().enumerate().skip(free);
            match waiting.max_by_key(|(_, (ask, _))| ask.want.spare()) {
                Some((at, (other, _))) if other.want.spare() > ask.want.spare() => {
                    if let Some((other, _)) = self.asks.remove(at) {
                        host.answer(turned(other.id));
                    }
                }
                _ => return host.answer(turned(ask.id)),
            }
        }
        let until = now + self.terms.ask;
        self.asks.push_back((ask, until));
        host.wake(until);
        self.begin(now, host);
    }

    /// The time that was asked for has come, or some other has.
    pub fn woke(&mut self, now: Nanos, host: &mut impl Host) {
        if self.round != Round::None && now >= self.due {
            self.give_up(now, host);
        }
        if self.round == Round::None {
            while self.asks.front().is_some_and(|(_, until)| *until <= now) {
                if let Some((ask, _)) = self.asks.pop_front() {
                    host.answer(Answer { id: ask.id, reply: Reply::Unknown });
                }
            }
        }
        if self.standing == Standing::Votes && self.seated() && self.no_seat_asked() {
            // Who is back empty under a voter's name gets its seat again, by agreement.
            if let Some(want) = apply::to_seat(&self.kept.record.0, &self.present, now) {
                self.own_asks += 1;
                let who = Holder { name: self.me.clone(), incarnation: self.kept.incarnation };
                let id = AskId { who, number: self.own_asks };
                self.asks.push_back((Ask { id, want }, now + self.terms.ask));
            }
        }
        self.begin(now, host);
        if let Some((_, until)) = self.asks.front() {
            host.wake(*until);
        }
    }

    fn no_seat_asked(&self) -> bool {
        !self.asks.iter().any(|(ask, _)| matches!(ask.want, Want::Seat { .. }))
    }

    /// A message from another voter, or from itself.
    pub fn got(&mut self, now: Nanos, from: Store, message: Message, host: &mut impl Host) {
        match message {
            Message::Prepare(ballot, written) => {
                self.heard(from, written);
                self.prepare(from, ballot, host);
            }
            Message::Accept(ballot, record, written) => {
                self.heard(from, written);
                self.accept(now, from, ballot, record, host);
            }
            Message::Peek(number) => {
                if self.standing == Standing::Votes {
                    let Kept { accepted, record, written, .. } = &self.kept;
                    host.send(from, Message::Peeked(number, *accepted, record.clone(), *written));
                }
            }
            Message::Promise(ballot, accepted, record, written) => {
                self.heard(from, written);
                if let Round::Prepare { ballot: ours, said, .. } = &mut self.round
                    && *ours == ballot
                {
                    said.insert(from, (accepted, record));
                    self.prepared(now, host);
                }
            }
            Message::Accepted(ballot, written) => {
                self.heard(from, written);
                if let Round::Accept { ballot: ours, record, yes, .. } = &mut self.round
                    && *ours == ballot
                {
                    yes.insert(from);
                    if record.0.settled_by(yes) {
                        self.settled(now, host);
                    }
                }
            }
            Message::Refuse(ballot, promised) => {
                self.highest = self.highest.max(promised.round);
                let ours = match &self.round {
                    Round::Prepare { ballot, .. } | Round::Accept { ballot, .. } => *ballot,
                    _ => return,
                };
                if ours == ballot {
                    self.give_way(now, host);
                }
            }
            Message::Peeked(number, accepted, record, written) => {
                self.heard(from, written);
                self.peeked(now, number, from, (accepted, record), host);
            }
        }
    }

    // What it does as one of the voters.

    fn prepare(&mut self, from: Store, ballot: Ballot, host: &mut impl Host) {
        if !self.may_speak() {
            return;
        }
        if ballot < self.kept.promised {
            return host.send(from, Message::Refuse(ballot, self.kept.promised));
        }
        if ballot > self.kept.promised {
            self.kept.promised = ballot;
            self.highest = self.highest.max(ballot.round);
            self.keep(host);
        }
        let Kept { accepted, record, written, .. } = &self.kept;
        host.send(from, Message::Promise(ballot, *accepted, record.clone(), *written));
    }

    fn accept(&mut self, now: Nanos, from: Store, ballot: Ballot, record: Shared, host: &mut impl Host) {
        // Two foundings by two operators at once must not mix.
        let stranger = !self.kept.is_empty() && self.kept.record.0.founded != record.0.founded;
        if !self.may_speak() || stranger {
            return;
        }
        if ballot < self.kept.promised {
            return host.send(from, Message::Refuse(ballot, self.kept.promised));
        }
        if ballot > self.kept.accepted {
            (self.kept.promised, self.kept.accepted, self.kept.record) = (ballot, ballot, record);
            self.highest = self.highest.max(ballot.round);
            self.sights.saw(now, &self.kept.record.0);
            self.keep(host);
            if self.standing == Standing::Empty {
                self.stand(Standing::Votes, host);
            }
        }
        host.send(from, Message::Accepted(ballot, self.kept.written));
    }

    /// One whose folder is empty may be asked under its new store alone, which nobody has counted before.
    fn may_speak(&self) -> bool {
        matches!(self.standing, Standing::Votes | Standing::Empty)
    }

    // What it does for those who ask.

    fn begin(&mut self, now: Nanos, host: &mut impl Host) {
        if self.round != Round::None || self.asks.is_empty() || self.standing != Standing::Votes {
            return;
        }
        if now < self.due {
            return host.wake(self.due);
        }
        self.due = now + (self.terms.round << self.vain.min(DOUBLINGS));
        host.wake(self.due);
        let asked = self.kept.record.0.stores();
        let reads = self.asks.iter().all(|(ask, _)| ask.want == Want::Read);
        if reads && self.vain == 0 {
            self.peeks += 1;
            let number = self.peeks;
            self.round = Round::Peek { number, asked: asked.clone(), said: BTreeMap::new() };
            return asked.iter().for_each(|&store| host.send(store, Message::Peek(number)));
        }
        self.propose(now, asked, host);
    }

    fn propose(&mut self, now: Nanos, asked: BTreeSet<Store>, host: &mut impl Host) {
        self.highest += 1;
        let Kept { store, incarnation, .. } = self.kept;
        let ballot = Ballot { round: self.highest, store, incarnation };
        self.round = Round::Prepare { ballot, asked: asked.clone(), said: BTreeMap::new() };
        self.call(now, &asked, host, |written| Message::Prepare(ballot, written));
    }

    fn peeked(
        &mut self,
        now: Nanos,
        number: u64,
        from: Store,
        accepted: (Ballot, Shared),
        host: &mut impl Host,
    ) {
        let Round::Peek { number: ours, asked, said } = &mut self.round else { return };
        if *ours != number {
            return;
        }
        said.insert(from, accepted);
        let (found, more) = newest(said);
        let more: Vec<Store> = more.difference(asked).copied().collect();
        asked.extend(&more);
        more.iter().for_each(|&store| host.send(store, Message::Peek(number)));
        match found {
            Some((_, record, true)) => {
                self.round = Round::None;
                let (reads, rest): (VecDeque<_>, VecDeque<_>) =
                    self.asks.drain(..).partition(|(ask, _)| ask.want == Want::Read);
                self.asks = rest;
                reads.iter().for_each(|(ask, _)| host.answer(apply::told(ask, &record)));
                self.done(now, &record, host);
            }
            // A majority has spoken, and not alike: only a round tells which it is.
            Some((_, _, false)) => {
                let asked = asked.clone();
                self.propose(now, asked, host);
            }
            None => {}
        }
    }

    fn prepared(&mut self, now: Nanos, host: &mut impl Host) {
        let Round::Prepare { ballot, asked, said } = &mut self.round else { return };
        let (ballot, (found, more)) = (*ballot, newest(said));
        let more: Vec<Store> = more.difference(asked).copied().collect();
        asked.extend(&more);
        let written = self.kept.written;
        more.iter().for_each(|&store| host.send(store, Message::Prepare(ballot, written)));
        let Some((newest, best, sure)) = found else { return };
        let sure = sure || newest == self.exchanged;
        self.sights.saw(now, &best.0);
        // A change of voters has to be settled before anything is built on it: else who knows only the voters before
        // it could agree without those after it.
        let as_it_is =
            !sure && best.0.before != best.0.voters && !crate::planted(crate::Fault::ExchangeUnsettled);
        let (mut record, mut answers) = ((*best.0).clone(), Vec::new());
        if !as_it_is {
            let judge = Judge {
                now,
                sights: &self.sights,
                drift_ppm: self.terms.drift_ppm,
                may_vote: &self.terms.may_vote,
            };
            answers = self.asks.iter().map(|(ask, _)| judge.judge(&mut record, ask)).collect();
            if record != *best.0 {
                record.version += 1;
                record.before = best.0.voters.clone();
            }
        }
        let covered = answers.len();
        let unchanged = sure && record == *best.0;
        let record = if unchanged { best } else { Shared(Arc::new(record)) };
        let stores = record.0.stores();
        self.round = Round::Accept { ballot, record: record.clone(), yes: BTreeSet::new(), covered, answers };
        if unchanged {
            return self.settled(now, host);
        }
        self.call(now, &stores, host, |written| Message::Accept(ballot, record.clone(), written));
    }

    fn settled(&mut self, now: Nanos, host: &mut impl Host) {
        let Round::Accept { ballot, record, covered, answers, .. } =
            std::mem::replace(&mut self.round, Round::None)
        else {
            return;
        };
        // Settled as it was found.
        if covered == 0 {
            self.exchanged = ballot;
        }
        for ((ask, _), answer) in self.asks.drain(..covered).zip(answers) {
            host.answer(answer.unwrap_or_else(|| apply::told(&ask, &record)));
        }
        self.done(now, &record, host);
    }

    fn done(&mut self, now: Nanos, record: &Shared, host: &mut impl Host) {
        (self.due, self.vain) = (now, 0);
        host.settled(record);
        self.begin(now, host);
    }

    /// No majority answers: asking again soon would not help.
    fn give_up(&mut self, now: Nanos, host: &mut impl Host) {
        let longest = self.terms.round << self.vain.min(DOUBLINGS);
        self.vain += 1;
        self.pause(now, longest / 2, host);
    }

    /// Another was quicker. Two that collide would do so for ever at equal pauses, so these are by chance; they stay short,
    /// as one that runs round after round would else keep out the one that waits longer and longer.
    fn give_way(&mut self, now: Nanos, host: &mut impl Host) {
        self.pause(now, self.terms.round / 4, host);
    }

    fn pause(&mut self, now: Nanos, longest: Nanos, host: &mut impl Host) {
        self.round = Round::None;
        self.due = now + (longest as f64 * host.chance()) as Nanos;
        host.wake(self.due);
    }

    /// Calls all of these, itself first: its own yes is on its disk before the others hear of the call, and they hear with
    /// it how often that was written.
    fn call(
        &mut self,
        now: Nanos,
        stores: &BTreeSet<Store>,
        host: &mut impl Host,
        what: impl Fn(u64) -> Message,
    ) {
        let own = self.kept.store;
        if stores.contains(&own) {
            self.got(now, own, what(self.kept.written), host);
        }
        let message = what(self.kept.written);
        let others = stores.iter().filter(|store| **store != own);
        others.for_each(|&store| host.send(store, message.clone()));
    }

    fn heard(&mut self, store: Store, written: u64) {
        let known = self.kept.known.entry(store).or_default();
        *known = written.max(*known);
    }

    fn keep(&mut self, host: &mut impl Host) {
        self.kept.written += 1;
        host.keep(&self.kept);
    }

    fn stand(&mut self, standing: Standing, host: &mut impl Host) {
        if self.standing != standing {
            self.standing = standing;
            host.stands(standing);
        }
    }
}
