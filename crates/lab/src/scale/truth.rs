//! What is in force where, as it truly is, and whether what is said of it holds.

use pumicebay_carrier::{Nanos, Scope, Summary, Version};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};

/// From one change on, in force everywhere within this time is the aim, in seconds.
pub const AIM: f64 = 9.0;
/// So long after its start what a process had in force in its last life may still be counted.
const YOUNG: Nanos = 10_000_000_000;
/// Who could be reached for so long has to have caught up.
const CAUGHT_UP: Nanos = 30_000_000_000;

/// One resource: its scope, and every version that was settled for it.
pub struct Key {
    pub scope: Scope,
    pub versions: Vec<Version>,
}

pub struct Change {
    pub key: usize,
    /// When it was offered first, and settled.
    pub offered: Nanos,
    pub settled: Nanos,
    pub version: Version,
    /// Whom it concerns and who could be reached all the while, but does not have it in force.
    missing: Vec<u64>,
    left: usize,
    last: Nanos,
    /// When it was in force everywhere, and when the root's own sum first said so.
    pub done: Option<Nanos>,
    pub told: Option<Nanos>,
    pub measured: bool,
}

impl Change {
    pub fn lacks(&self, who: usize) -> bool {
        self.missing[who / 64] >> (who % 64) & 1 == 1
    }

    fn has(&mut self, who: usize, now: Nanos) {
        self.missing[who / 64] &= !(1 << (who % 64));
        self.left -= 1;
        self.last = self.last.max(now);
        if self.left == 0 {
            self.done = Some(self.last);
        }
    }
}

/// What one process has in force.
#[derive(Clone, Debug, Default)]
pub struct Applied {
    pub version: Version,
    /// Resources by number, in order.
    pub resources: Vec<(u32, Version)>,
}

impl Applied {
    fn of(&self, key: usize) -> Version {
        let at = self.resources.binary_search_by_key(&(key as u32), |(key, _)| *key);
        at.map_or(Version::default(), |at| self.resources[at].1)
    }
}

/// A process as the judge sees it.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    pub applied: Applied,
    pub born: Nanos,
    /// Whether it lives and can be reached.
    pub reached: bool,
    /// Since when it is back, and which version it has to catch up with.
    pub back: Option<(Nanos, Version)>,
    /// The resource that it refuses, and from which version on.
    pub refuses: Option<(usize, Version)>,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Wrong {
    pub went_back: usize,
    pub claimed: usize,
    pub not_converged: usize,
    /// The first few, in words.
    pub words: Vec<String>,
}

impl Wrong {
    pub fn note(&mut self, words: String) {
        if self.words.len() < 12 {
            self.words.push(words);
        }
    }

    pub fn all(&self) -> usize {
        self.went_back + self.claimed + self.not_converged
    }
}

#[derive(Default)]
pub struct Truth {
    pub keys: Vec<Key>,
    pub changes: Vec<Change>,
    /// Changes that are not in force everywhere, or of which the root's sum does not say so.
    pub open: Vec<usize>,
    pub untold: Vec<usize>,
    pub seen: Vec<Seen>,
    pub names: BTreeMap<String, usize>,
    pub settled: Version,
    pub wrong: Wrong,
    /// Since when each was back that has caught up, and when it had.
    pub caught_up: Vec<(Nanos, Nanos)>,
    claimed: Version,
    pub backs: BTreeSet<usize>,
    /// When the refusal was first named by the root's sum.
    pub refusal_named: BTreeMap<usize, Nanos>,
}

impl Truth {
    /// A change is settled: it concerns these.
    pub fn settled(
        &mut self,
        now: Nanos,
        key: usize,
        offered: Nanos,
        version: Version,
        whom: &[usize],
        measured: bool,
    ) {
        let mut missing = vec![0; self.seen.len().div_ceil(64)];
        let mut left = 0;
        for &who in whom {
            let seen = &self.seen[who];
            let refuses = seen.refuses.is_some_and(|(refused, _)| refused == key);
            if seen.reached && !refuses && seen.applied.of(key) < version {
                missing[who / 64] |= 1 << (who % 64);
                left += 1;
            }
        }
        self.settled = self.settled.max(version);
        self.keys[key].versions.push(version);
        let done = (left == 0).then_some(now);
        let change = Change {
            key,
            offered,
            settled: now,
            version,
            missing,
            left,
            last: now,
            done,
            told: None,
            measured,
        };
        self.open.push(self.changes.len());
        self.untold.push(self.changes.len());
        self.changes.push(change);
    }

    /// A process has this in force now.
    pub fn in_force(&mut self, now: Nanos, who: usize, applied: Applied) {
        if applied.version < self.seen[who].applied.version {
            self.wrong.went_back += 1;
            let (from, to) = (self.seen[who].applied.version, applied.version);
            self.wrong.note(format!("{:.3} s: process {who} went back from {from} to {to}", at(now)));
        }
        let Truth { changes, open, seen, .. } = self;
        for &number in open.iter() {
            let change = &mut changes[number];
            if change.lacks(who) && applied.of(change.key) >= change.version {
                change.has(who, now);
            }
        }
        open.retain(|&number| changes[number].done.is_none());
        seen[who].applied = applied;
    }

    /// It can't be reached any more, so nothing is wanted of it; or a refusal excuses it.
    pub fn lost(&mut self, who: usize) {
        self.seen[who].reached = false;
        self.seen[who].back = None;
        self.backs.remove(&who);
        for &number in &self.open {
            let change = &mut self.changes[number];
            if change.lacks(who) {
                let last = change.last;
                change.has(who, last);
            }
        }
        let changes = &self.changes;
        self.open.retain(|&number| changes[number].done.is_none());
    }

    pub fn back(&mut self, now: Nanos, who: usize) {
        self.seen[who].reached = true;
        self.seen[who].back = Some((now, self.settled));
        self.backs.insert(who);
    }

    fn has_all(&self, who: usize, until: Version, concerns: &dyn Fn(usize, &Scope) -> bool) -> bool {
        let seen = &self.seen[who];
        self.keys.iter().enumerate().all(|(number, key)| {
            let newest = key.versions.iter().filter(|version| **version <= until).max();
            let refused = seen.refuses.is_some_and(|(refused, _)| refused == number);
            newest.is_none_or(|newest| {
                refused || !concerns(who, &key.scope) || seen.applied.of(number) >= *newest
            })
        })
    }

    /// Those that are back: who has caught up?
    pub fn look(&mut self, now: Nanos, concerns: &dyn Fn(usize, &Scope) -> bool) {
        let backs: Vec<usize> = self.backs.iter().copied().collect();
        for who in backs {
            let Some((since, until)) = self.seen[who].back else { continue };
            if self.has_all(who, until, concerns) {
                self.seen[who].back = None;
                self.backs.remove(&who);
                self.caught_up.push((since, now));
            }
        }
    }

    /// What the root says of the whole: does it hold? `all`: processes that are to be counted.
    pub fn claimed(
        &mut self,
        now: Nanos,
        sum: &Summary,
        all: usize,
        concerns: &dyn Fn(usize, &Scope) -> bool,
    ) {
        let excepted: BTreeSet<usize> = sum
            .exceptions
            .iter()
            .filter_map(|exception| self.names.get(&exception.member.name).copied())
            .collect();
        for exception in &sum.exceptions {
            if let (pumicebay_carrier::ExceptionKind::Refused { .. }, Some(&who)) =
                (&exception.kind, self.names.get(&exception.member.name))
            {
                self.refusal_named.entry(who).or_insert(now);
            }
        }
        let reached = self.seen.iter().filter(|seen| seen.reached).count();
        if sum.members as usize >= reached {
            let (changes, in_force) = (&mut self.changes, sum.in_force);
            self.untold.retain(|&number| {
                let told = changes[number].version <= in_force;
                if told {
                    changes[number].told = Some(now);
                }
                !told
            });
        }
        // Who lacks what the sum says is in force, though it was there long enough to be counted by what it says itself?
        let mut lacking: BTreeSet<usize> = BTreeSet::new();
        let old = |seen: &Seen| now >= seen.born + YOUNG;
        for &number in &self.open {
            let change = &self.changes[number];
            if change.version > sum.in_force {
                continue;
            }
            let lack = (0..self.seen.len()).filter(|&who| change.lacks(who) && old(&self.seen[who]));
            lacking.extend(lack);
        }
        for &who in &self.backs {
            let until = self.seen[who].back.map(|(_, until)| until.min(sum.in_force));
            if old(&self.seen[who]) && until.is_some_and(|until| !self.has_all(who, until, concerns)) {
                lacking.insert(who);
            }
        }
        // With all counted, each that lacks must be named, or be among so many more. A member that moves is counted twice for a
        // while, which claims nothing of anybody.
        let excepted_in_all = sum.exceptions.len() + sum.unnamed as usize;
        let missed: Vec<usize> = lacking.difference(&excepted).copied().collect();
        let wrong = sum.members as usize >= all
            && (missed.len() > sum.unnamed as usize || lacking.len() > excepted_in_all);
        if wrong && sum.in_force > self.claimed {
            self.wrong.claimed += 1;
            let who = missed.first().copied().unwrap_or_default();
            self.wrong.note(format!(
                "{:.3} s: the sum claims {} at {} of {all} with {} exceptions, and {} lack it, as process {who}",
                at(now),
                sum.in_force,
                sum.members,
                excepted_in_all,
                missed.len()
            ));
        }
        self.claimed = self.claimed.max(sum.in_force);
    }

    /// At the end: who could be reached for long and lacks what was settled long ago?
    pub fn ended(&mut self, now: Nanos, concerns: &dyn Fn(usize, &Scope) -> bool) {
        self.look(now, concerns);
        let mut lacking = BTreeMap::new();
        for &number in &self.open {
            let change = &self.changes[number];
            if now < change.settled + CAUGHT_UP {
                continue;
            }
            for who in (0..self.seen.len()).filter(|&who| change.lacks(who)) {
                lacking.entry(who).or_insert(change.version);
            }
        }
        for &who in &self.backs {
            if let Some((since, until)) = self.seen[who].back
                && now >= since + CAUGHT_UP
            {
                lacking.entry(who).or_insert(until);
            }
        }
        for (who, version) in lacking {
            self.wrong.not_converged += 1;
            self.wrong.note(format!("process {who} has not converged: it lacks {version} at the end"));
        }
        for (who, seen) in self.seen.iter().enumerate() {
            let long = seen.refuses.is_some_and(|(key, from)| {
                let since = self.changes.iter().find(|change| change.key == key && change.version >= from);
                since.is_some_and(|change| now >= change.settled + CAUGHT_UP)
            });
            if long && !self.refusal_named.contains_key(&who) {
                self.wrong.not_converged += 1;
                self.wrong.note(format!("the refusal of process {who} was never named"));
            }
        }
    }
}

fn at(now: Nanos) -> f64 {
    now as f64 / 1e9
}
