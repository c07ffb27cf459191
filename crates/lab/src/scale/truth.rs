//! What is in force where, as it truly is, and whether what is said of it holds.

use pumicebay_carrier::{Nanos, Scope, Summary, Version};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};

/// From one change on, in force everywhere within this time is the aim, in seconds.
pub const CONVERGENCE_TARGET: f64 = 9.0;
/// So long after its start what a process had in force in its last life may still be counted.
const STARTUP_GRACE: Nanos = 10_000_000_000;
/// Who could be reached for so long has to have caught up.
const CATCH_UP_LIMIT: Nanos = 30_000_000_000;

/// One resource: its scope, and every version that was settled for it.
pub struct TrackedResource {
    pub scope: Scope,
    pub versions: Vec<Version>,
}

pub struct TrackedChange {
    pub resource: usize,
    /// When it was offered first, and settled.
    pub proposed_at: Nanos,
    pub settled_at: Nanos,
    pub version: Version,
    /// Whom it concerns and who could be reached all the while, but does not have it in force.
    missing: Vec<u64>,
    missing_count: usize,
    last_applied_at: Nanos,
    /// When it was in force everywhere, and when the root's own sum first said so.
    pub in_force_at: Option<Nanos>,
    pub reported_at: Option<Nanos>,
    pub measured: bool,
}

impl TrackedChange {
    pub fn is_missing_at(&self, process: usize) -> bool {
        self.missing[process / 64] >> (process % 64) & 1 == 1
    }

    fn mark_applied(&mut self, process: usize, now: Nanos) {
        self.missing[process / 64] &= !(1 << (process % 64));
        self.missing_count -= 1;
        self.last_applied_at = self.last_applied_at.max(now);
        if self.missing_count == 0 {
            self.in_force_at = Some(self.last_applied_at);
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
    fn version_of(&self, resource: usize) -> Version {
        let at = self.resources.binary_search_by_key(&(resource as u32), |(resource, _)| *resource);
        at.map_or(Version::default(), |at| self.resources[at].1)
    }
}

/// A process as the judge sees it.
#[derive(Clone, Debug, Default)]
pub struct ProcessState {
    pub applied: Applied,
    pub started_at: Nanos,
    /// Whether it lives and can be reached.
    pub reachable: bool,
    /// Since when it is back, and which version it has to catch up with.
    pub catching_up: Option<(Nanos, Version)>,
    /// The resource that it refuses, and from which version on.
    pub refuses: Option<(usize, Version)>,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Violations {
    #[serde(rename = "went_back")]
    pub regressions: usize,
    #[serde(rename = "claimed")]
    pub false_claims: usize,
    pub not_converged: usize,
    /// The first few, in words.
    #[serde(rename = "description")]
    pub descriptions: Vec<String>,
}

impl Violations {
    pub fn note(&mut self, description: String) {
        if self.descriptions.len() < 12 {
            self.descriptions.push(description);
        }
    }

    pub fn total(&self) -> usize {
        self.regressions + self.false_claims + self.not_converged
    }
}

#[derive(Default)]
pub struct Checker {
    pub resources: Vec<TrackedResource>,
    pub changes: Vec<TrackedChange>,
    /// Changes that are not in force everywhere, or of which the root's sum does not say so.
    pub not_in_force: Vec<usize>,
    pub unreported: Vec<usize>,
    pub processes: Vec<ProcessState>,
    pub index_by_name: BTreeMap<String, usize>,
    pub latest_settled: Version,
    pub violations: Violations,
    /// Since when each was back that has caught up, and when it had.
    pub caught_up: Vec<(Nanos, Nanos)>,
    highest_claimed: Version,
    pub catching_up: BTreeSet<usize>,
    /// When the refusal was first named by the root's sum.
    pub refusal_named: BTreeMap<usize, Nanos>,
}

impl Checker {
    /// A change is settled: it concerns these.
    pub fn change_settled(
        &mut self,
        now: Nanos,
        resource: usize,
        proposed_at: Nanos,
        version: Version,
        processes_in_scope: &[usize],
        measured: bool,
    ) {
        let mut missing = vec![0; self.processes.len().div_ceil(64)];
        let mut missing_count = 0;
        for &process in processes_in_scope {
            let state = &self.processes[process];
            let refuses = state.refuses.is_some_and(|(refused, _)| refused == resource);
            if state.reachable && !refuses && state.applied.version_of(resource) < version {
                missing[process / 64] |= 1 << (process % 64);
                missing_count += 1;
            }
        }
        self.latest_settled = self.latest_settled.max(version);
        self.resources[resource].versions.push(version);
        let in_force_at = (missing_count == 0).then_some(now);
        let change = TrackedChange {
            resource,
            proposed_at,
            settled_at: now,
            version,
            missing,
            missing_count,
            last_applied_at: now,
            in_force_at,
            reported_at: None,
            measured,
        };
        self.not_in_force.push(self.changes.len());
        self.unreported.push(self.changes.len());
        self.changes.push(change);
    }

    /// A process has this in force now.
    pub fn applied(&mut self, now: Nanos, process: usize, applied: Applied) {
        if applied.version < self.processes[process].applied.version {
            self.violations.regressions += 1;
            let (from, to) = (self.processes[process].applied.version, applied.version);
            self.violations
                .note(format!("{:.3} s: process {process} went back from {from} to {to}", seconds(now)));
        }
        let Checker { changes, not_in_force, processes, .. } = self;
        for &number in not_in_force.iter() {
            let change = &mut changes[number];
            if change.is_missing_at(process) && applied.version_of(change.resource) >= change.version {
                change.mark_applied(process, now);
            }
        }
        not_in_force.retain(|&number| changes[number].in_force_at.is_none());
        processes[process].applied = applied;
    }

    /// It can't be reached any more, so nothing is wanted of it; or a refusal excuses it.
    pub fn mark_unreachable(&mut self, process: usize) {
        self.processes[process].reachable = false;
        self.processes[process].catching_up = None;
        self.catching_up.remove(&process);
        for &number in &self.not_in_force {
            let change = &mut self.changes[number];
            if change.is_missing_at(process) {
                let last_applied_at = change.last_applied_at;
                change.mark_applied(process, last_applied_at);
            }
        }
        let changes = &self.changes;
        self.not_in_force.retain(|&number| changes[number].in_force_at.is_none());
    }

    pub fn mark_reachable(&mut self, now: Nanos, process: usize) {
        self.processes[process].reachable = true;
        self.processes[process].catching_up = Some((now, self.latest_settled));
        self.catching_up.insert(process);
    }

    fn has_all_until(
        &self,
        process: usize,
        until: Version,
        in_scope: &dyn Fn(usize, &Scope) -> bool,
    ) -> bool {
        let state = &self.processes[process];
        self.resources.iter().enumerate().all(|(number, resource)| {
            let newest = resource.versions.iter().filter(|version| **version <= until).max();
            let refused = state.refuses.is_some_and(|(refused, _)| refused == number);
            newest.is_none_or(|newest| {
                refused || !in_scope(process, &resource.scope) || state.applied.version_of(number) >= *newest
            })
        })
    }

    /// Those that are back: who has caught up?
    pub fn check_catch_up(&mut self, now: Nanos, in_scope: &dyn Fn(usize, &Scope) -> bool) {
        let waiting: Vec<usize> = self.catching_up.iter().copied().collect();
        for process in waiting {
            let Some((since, until)) = self.processes[process].catching_up else { continue };
            if self.has_all_until(process, until, in_scope) {
                self.processes[process].catching_up = None;
                self.catching_up.remove(&process);
                self.caught_up.push((since, now));
            }
        }
    }

    /// What the root says of the whole: does it hold? `all`: processes that are to be counted.
    pub fn check_summary(
        &mut self,
        now: Nanos,
        summary: &Summary,
        process_count: usize,
        in_scope: &dyn Fn(usize, &Scope) -> bool,
    ) {
        let named: BTreeSet<usize> = summary
            .exceptions
            .iter()
            .filter_map(|exception| self.index_by_name.get(&exception.member.name).copied())
            .collect();
        for exception in &summary.exceptions {
            if let (pumicebay_carrier::ExceptionKind::Refused { .. }, Some(&process)) =
                (&exception.kind, self.index_by_name.get(&exception.member.name))
            {
                self.refusal_named.entry(process).or_insert(now);
            }
        }
        let reachable = self.processes.iter().filter(|state| state.reachable).count();
        if summary.members as usize >= reachable {
            let (changes, in_force) = (&mut self.changes, summary.in_force);
            self.unreported.retain(|&number| {
                let reported = changes[number].version <= in_force;
                if reported {
                    changes[number].reported_at = Some(now);
                }
                !reported
            });
        }
        // Who lacks what the sum says is in force, though it was there long enough to be counted by what it says itself?
        let mut lacking: BTreeSet<usize> = BTreeSet::new();
        let past_startup = |state: &ProcessState| now >= state.started_at + STARTUP_GRACE;
        for &number in &self.not_in_force {
            let change = &self.changes[number];
            if change.version > summary.in_force {
                continue;
            }
            let missing = (0..self.processes.len())
                .filter(|&process| change.is_missing_at(process) && past_startup(&self.processes[process]));
            lacking.extend(missing);
        }
        for &process in &self.catching_up {
            let until = self.processes[process].catching_up.map(|(_, until)| until.min(summary.in_force));
            if past_startup(&self.processes[process])
                && until.is_some_and(|until| !self.has_all_until(process, until, in_scope))
            {
                lacking.insert(process);
            }
        }
        // With all counted, each that lacks must be named, or be among so many more. A member that moves is counted twice for a
        // while, which claims nothing of anybody.
        let exception_count = summary.exceptions.len() + summary.unnamed as usize;
        let unnamed: Vec<usize> = lacking.difference(&named).copied().collect();
        let false_claim = summary.members as usize >= process_count
            && (unnamed.len() > summary.unnamed as usize || lacking.len() > exception_count);
        if false_claim && summary.in_force > self.highest_claimed {
            self.violations.false_claims += 1;
            let process = unnamed.first().copied().unwrap_or_default();
            self.violations.note(format!(
                "{:.3} s: the sum claims {} at {} of {process_count} with {} exceptions, and {} lack it, as process {process}",
                seconds(now),
                summary.in_force,
                summary.members,
                exception_count,
                unnamed.len()
            ));
        }
        self.highest_claimed = self.highest_claimed.max(summary.in_force);
    }

    /// At the end: who could be reached for long and lacks what was settled long ago?
    pub fn check_final_state(&mut self, now: Nanos, in_scope: &dyn Fn(usize, &Scope) -> bool) {
        self.check_catch_up(now, in_scope);
        let mut lacking = BTreeMap::new();
        for &number in &self.not_in_force {
            let change = &self.changes[number];
            if now < change.settled_at + CATCH_UP_LIMIT {
                continue;
            }
            for process in (0..self.processes.len()).filter(|&process| change.is_missing_at(process)) {
                lacking.entry(process).or_insert(change.version);
            }
        }
        for &process in &self.catching_up {
            if let Some((since, until)) = self.processes[process].catching_up
                && now >= since + CATCH_UP_LIMIT
            {
                lacking.entry(process).or_insert(until);
            }
        }
        for (process, version) in lacking {
            self.violations.not_converged += 1;
            self.violations
                .note(format!("process {process} has not converged: it lacks {version} at the end"));
        }
        for (process, state) in self.processes.iter().enumerate() {
            let overdue = state.refuses.is_some_and(|(resource, from)| {
                let since =
                    self.changes.iter().find(|change| change.resource == resource && change.version >= from);
                since.is_some_and(|change| now >= change.settled_at + CATCH_UP_LIMIT)
            });
            if overdue && !self.refusal_named.contains_key(&process) {
                self.violations.not_converged += 1;
                self.violations.note(format!("the refusal of process {process} was never named"));
            }
        }
    }
}

fn seconds(now: Nanos) -> f64 {
    now as f64 / 1e9
}
