//! Changes of configuration: drawn, offered, and what became of them.

use super::super::fleet::{self};
use super::{Event, OFFER_AGAIN, Offered, POLL, World};
use pumicebay_carrier::{Change, ChangeOutcome, Nanos};
use rand::RngExt;
use rand::seq::IndexedRandom;

impl World<'_> {
    /// Until the next of what happens so often a second by chance.
    pub(super) fn gap(&mut self, per_second: f64) -> Nanos {
        let drawn = -(1.0 - self.random.random_range(0.0..1.0f64)).ln();
        if per_second > 0.0 { (drawn / per_second * 1e9) as Nanos } else { self.end }
    }

    pub(super) fn drawn_key(&mut self) -> usize {
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

    pub(super) fn drawn_patch(&mut self, key: usize) -> String {
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

    pub(super) fn offer_at(&mut self, at: Nanos, key: usize) {
        let patch = self.drawn_patch(key);
        self.offer_all(at, vec![(key, patch)]);
    }

    pub(super) fn offer_all(&mut self, at: Nanos, changes: Vec<(usize, String)>) {
        let measured = at >= self.begin;
        self.offered.push(Offered { changes, first: at, measured });
        self.at(at, Event::Offer(self.offered.len() - 1));
    }

    pub(super) fn offer(&mut self, number: usize) {
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
            publisher.propose(now, number as u64, changes, host);
        });
    }

    pub(super) fn outcome_of(&mut self, number: usize, outcome: ChangeOutcome) {
        match outcome {
            ChangeOutcome::Settled(version) => {
                let Offered { ref changes, first, measured } = self.offered[number];
                for key in changes.iter().map(|(key, _)| *key).collect::<Vec<_>>() {
                    let scope = &self.truth.keys[key].scope;
                    let whom: Vec<usize> = (self.plan.control..self.procs.len())
                        .filter(|who| fleet::concerns(&self.sites[*who], scope))
                        .collect();
                    self.truth.settled(self.now, key, first, version, &whom, measured);
                }
            }
            ChangeOutcome::Refused(_) => {
                self.answered_full += 1;
                self.at(self.now + OFFER_AGAIN, Event::Offer(number));
            }
            ChangeOutcome::Unknown => {
                self.offers_again += 1;
                self.at(self.now + OFFER_AGAIN, Event::Offer(number));
            }
        }
    }

    pub(super) fn poll(&mut self) {
        self.at(self.now + POLL, Event::Poll);
        let Some(root) = self.root() else { return };
        let one = &self.procs[root];
        let Some(node) = &one.node else { return };
        let sum = node.summary(one.clock.local(self.now));
        let all = self.procs.len();
        let sites = &self.sites;
        self.truth.claimed(self.now, &sum, all, &|who, scope| fleet::concerns(&sites[who], scope));
    }
}
