//! Voters, and the control machines that ask them for the lease, reads and writes.

use super::super::agree::{self, BUSY, For, PATIENCE, Said, TRIED};
use super::super::meter::segments;
use super::hosts::PublisherActs;
use super::{Event, LEAST, SAMPLED, UNANSWERED, World, size};
use pumicebay_accord::{Answer, OperationKind, Reply, StoreId};
use pumicebay_carrier::{Nanos, Publisher, WriteOutcome};
use rand::RngExt;
use std::time::Instant;

impl World<'_> {
    pub(super) fn voter_received(&mut self, at: usize, bytes: usize) {
        self.voter_meters[at].receives(self.now, bytes, segments(bytes));
    }

    pub(super) fn voter(
        &mut self,
        at: usize,
        what: impl FnOnce(&mut pumicebay_accord::Voter, Nanos, &mut pumicebay_accord::Effects),
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
        let (own, here) = (at as StoreId + 1, self.seats[at].spot);
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
            let Some(&who) = self.by_name.get(&answer.id.process.name) else { continue };
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
    pub(super) fn asker(&mut self, at: usize) {
        let control = &mut self.controls[at];
        if control.wake != self.now || self.procs[at].node.is_none() {
            return;
        }
        control.wake = Nanos::MAX;
        let now = self.procs[at].clock.local(self.now);
        let number = control.number();
        if let Some(ask) = control.holding.next_operation(now, number) {
            let open = agree::Open { ask, what: For::Lease, asked: self.now };
            control.open.insert(number, open);
            let good = control.good;
            self.again(at, number, good);
        }
        self.lease(at);
    }

    /// Follows what the lease says: who publishes, and when to look again.
    pub(super) fn lease(&mut self, at: usize) {
        let now = self.procs[at].clock.local(self.now);
        let control = &mut self.controls[at];
        let token = control.holding.token_if_valid_for(now, 0);
        let before = std::mem::replace(&mut control.token, token);
        let due = self.procs[at].clock.truth(control.holding.wake_at()).max(self.now + LEAST);
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
            self.node(at, |node, now, host| node.set_root(now, Some(&name), host));
            self.published(at, acts);
        } else {
            self.node(at, |node, now, host| node.set_root(now, None, host));
        }
    }

    pub(super) fn stop_publishing(&mut self, at: usize) {
        self.controls[at].publisher = None;
        self.controls[at].publisher_wake = Nanos::MAX;
        for number in std::mem::take(&mut self.controls[at].offers) {
            self.offers_again += 1;
            self.at(self.now + UNANSWERED, Event::Offer(number as usize));
        }
    }

    pub(super) fn asks(&mut self, at: usize, what: For, want: OperationKind) {
        let number = self.controls[at].ask(what, self.now, want);
        let good = self.controls[at].good;
        self.again(at, number, good);
    }

    /// Sends an ask to this voter, and to the next where it does not answer.
    pub(super) fn again(&mut self, at: usize, number: u64, to: usize) {
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

    pub(super) fn answered(&mut self, answer: Answer) {
        let Some(&at) = self.by_name.get(&answer.id.process.name) else { return };
        if self.procs[at].node.is_none() || self.controls[at].who != answer.id.process {
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

    pub(super) fn replied(&mut self, at: usize, number: u64, what: For, reply: &Reply) {
        let now = self.procs[at].clock.local(self.now);
        match what {
            For::Lease => {
                self.controls[at].holding.answer_received(now, number, reply);
                self.lease(at);
                if let Reply::Denied(Some(holder), _) = reply
                    && self.controls[at].token.is_none()
                {
                    let name = holder.name.clone();
                    // Its own last life may still have the lease.
                    let root = (name != self.sites[at].name).then_some(name);
                    self.node(at, |node, now, host| node.set_root(now, root.as_deref(), host));
                }
            }
            For::Read => {
                let Some(node) = &self.procs[at].node else { return };
                let holds = node.version();
                match reply {
                    Reply::Record(record) => {
                        let record = record.clone();
                        self.publisher(at, |publisher, now, host| {
                            let entry = record.0.values.get("carrier");
                            let entry = entry.map(|entry| (entry.text.as_str(), entry.version));
                            publisher.record_read(now, record.0.founded, entry, holds, host);
                        });
                    }
                    _ => self.publisher(at, |publisher, now, host| publisher.record_read_failed(now, host)),
                }
            }
            For::Write => {
                let written = match reply {
                    Reply::Written(version) => WriteOutcome::Committed(*version),
                    Reply::Refused(_) | Reply::Denied(..) => WriteOutcome::Refused,
                    _ => WriteOutcome::Unknown,
                };
                self.publisher(at, |publisher, now, host| publisher.record_written(now, written, host));
            }
        }
    }
}
