//! The publisher at the control machine that has the lease.

use super::super::agree::{self, For};
use super::hosts::{PublisherAct, PublisherActs};
use super::{Event, LEAST, SAMPLED, World};
use pumicebay_accord::OperationKind;
use pumicebay_carrier::{Nanos, Publisher, Version, WriteOutcome};
use std::time::Instant;

impl World<'_> {
    pub(super) fn publisher(
        &mut self,
        at: usize,
        what: impl FnOnce(&mut Publisher, Nanos, &mut PublisherActs),
    ) {
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

    pub(super) fn published(&mut self, at: usize, acts: PublisherActs) {
        for act in acts.0 {
            match act {
                PublisherAct::Read => self.asks(at, For::Read, OperationKind::Read),
                PublisherAct::Write(text, version) => {
                    let now = self.procs[at].clock.local(self.now);
                    let Some(token) = self.controls[at].holding.token_if_valid_for(now, 0) else {
                        self.publisher(at, |publisher, now, host| {
                            publisher.record_written(now, WriteOutcome::Refused, host);
                        });
                        continue;
                    };
                    let want = OperationKind::Put {
                        name: "carrier".into(),
                        text,
                        expected_version: Some(version),
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
    pub(super) fn confirm(&mut self, at: usize) {
        if at >= self.plan.control || self.controls[at].publisher.is_none() {
            return;
        }
        let Some(node) = &self.procs[at].node else { return };
        let mut versions: Vec<Version> = node.persisted_versions().map(|(_, version)| version).collect();
        versions.sort_unstable_by(|one, other| other.cmp(one));
        if let Some(&majority) = versions.get(self.plan.control / 2) {
            self.publisher(at, |publisher, now, host| publisher.majority_persisted(now, majority, host));
        }
    }

    pub(in crate::scale) fn root(&self) -> Option<usize> {
        let publishes = |at: &usize| {
            self.controls[*at].publisher.is_some()
                && self.procs[*at].node.is_some()
                && !self.procs[*at].stalled
        };
        (0..self.plan.control).filter(publishes).max_by_key(|at| self.controls[*at].token)
    }
}
