//! Checker of the simulation: tracks which version each process really has in force, and compares it with the
//! summary of the root.

use pumicebay_carrier::{Nanos, Scope, Summary, Version};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};

/// Target for the time until a change is in force everywhere, in seconds.
pub const CONVERGENCE_TARGET: f64 = 9.0;
/// For this long after its start a summary may still count a process with the version of its previous
/// incarnation.
const STARTUP_GRACE: Nanos = 10_000_000_000;
/// A process that was reachable for this long must have caught up.
const CATCH_UP_LIMIT: Nanos = 30_000_000_000;

/// A resource of the configuration.
pub struct TrackedResource {
    /// Processes that the resource applies to.
    pub scope: Scope,
    /// Versions of all its settled changes.
    pub versions: Vec<Version>,
}

/// A settled change of one resource.
pub struct TrackedChange {
    /// Index of the resource.
    pub resource: usize,
    /// Time of its first proposal.
    pub proposed_at: Nanos,
    /// Time when it settled, that is, was committed.
    pub settled_at: Nanos,
    /// Version at which it settled.
    pub version: Version,
    /// Bit set of the processes in its scope that were reachable all the time and do not have it in force.
    missing: Vec<u64>,
    /// Number of bits that are set in `missing`.
    missing_count: usize,
    /// Time when the last process put it in force.
    last_applied_at: Nanos,
    /// Time when it was in force everywhere.
    pub in_force_at: Option<Nanos>,
    /// Time when the summary of the root first reported it in force.
    pub reported_at: Option<Nanos>,
    /// Whether it was proposed in the measured time.
    pub measured: bool,
}

impl TrackedChange {
    /// Whether the process should have the change in force but does not.
    pub fn is_missing_at(&self, process: usize) -> bool {
        self.missing[process / 64] >> (process % 64) & 1 == 1
    }

    /// Clears the bit of a process, and notes the time when no bit is left.
    fn mark_applied(&mut self, process: usize, now: Nanos) {
        self.missing[process / 64] &= !(1 << (process % 64));
        self.missing_count -= 1;
        self.last_applied_at = self.last_applied_at.max(now);
        if self.missing_count == 0 {
            self.in_force_at = Some(self.last_applied_at);
        }
    }
}

/// Configuration that a process has in force.
#[derive(Clone, Debug, Default)]
pub struct Applied {
    /// Version of the whole configuration.
    pub version: Version,
    /// Index and version of each resource, ordered by index.
    pub resources: Vec<(u32, Version)>,
}

impl Applied {
    fn version_of(&self, resource: usize) -> Version {
        let at = self.resources.binary_search_by_key(&(resource as u32), |(resource, _)| *resource);
        at.map_or(Version::default(), |at| self.resources[at].1)
    }
}

/// Real state of a process.
#[derive(Clone, Debug, Default)]
pub struct ProcessState {
    /// Configuration in force.
    pub applied: Applied,
    /// Start of this incarnation.
    pub started_at: Nanos,
    /// Whether the process runs and can be reached.
    pub reachable: bool,
    /// While it catches up: since when it is reachable again, and the version that it has to reach.
    pub catching_up: Option<(Nanos, Version)>,
    /// Index of the resource that it refuses, and the first refused version.
    pub refuses: Option<(usize, Version)>,
}

/// Counts of violated rules.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Violations {
    /// Times that a process went back to an older version.
    #[serde(rename = "went_back")]
    pub regressions: usize,
    /// Times that the summary of the root reported a change in force at a process that did not have it.
    #[serde(rename = "claimed")]
    pub false_claims: usize,
    /// Processes that lacked an old change at the end, or whose refusal was never listed.
    pub not_converged: usize,
    /// Descriptions of the first 12 violations.
    #[serde(rename = "words")]
    pub descriptions: Vec<String>,
}

impl Violations {
    /// Adds a description, unless there are enough.
    pub fn note(&mut self, description: String) {
        if self.descriptions.len() < 12 {
            self.descriptions.push(description);
        }
    }

    /// Number of violations of all rules.
    pub fn total(&self) -> usize {
        self.regressions + self.false_claims + self.not_converged
    }
}

/// Real state of all processes and changes, and the violations found so far.
#[derive(Default)]
pub struct Checker {
    /// Resources by index.
    pub resources: Vec<TrackedResource>,
    /// Settled changes, in the order of settling.
    pub changes: Vec<TrackedChange>,
    /// Indexes of the changes that are not in force everywhere.
    pub not_in_force: Vec<usize>,
    /// Indexes of the changes that the summary of the root has not reported in force.
    pub unreported: Vec<usize>,
    /// Processes by index.
    pub processes: Vec<ProcessState>,
    /// Indexes of processes by name.
    pub index_by_name: BTreeMap<String, usize>,
    /// Newest settled version.
    pub latest_settled: Version,
    /// Violations found so far.
    pub violations: Violations,
    /// Start and end of each completed catch-up.
    pub caught_up: Vec<(Nanos, Nanos)>,
    /// Newest version that a summary reported in force.
    highest_claimed: Version,
    /// Indexes of the processes that are catching up.
    pub catching_up: BTreeSet<usize>,
    /// Time when the summary of the root first listed the refusal of a process.
    pub refusal_named: BTreeMap<usize, Nanos>,
}

impl Checker {
    /// Records a settled change and the processes in its scope.
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

    /// Records the configuration that a process put in force; reports a regression if it is older than the
    /// previous one.
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

    /// Records that a process can't be reached, which excuses it from all open changes.
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

    /// Records that a process can be reached again and must catch up with the newest settled version.
    pub fn mark_reachable(&mut self, now: Nanos, process: usize) {
        self.processes[process].reachable = true;
        self.processes[process].catching_up = Some((now, self.latest_settled));
        self.catching_up.insert(process);
    }

    /// Whether a process has all resources in its scope, except a refused one, at their newest version up to
    /// `until`.
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

    /// Checks which processes have caught up.
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

    /// Checks the summary of the root against the real state; `process_count` is the size of the whole fleet.
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
        // Processes that lack a change that the summary reports in force, and started long enough ago that
        // the summary counts their own reports.
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
        // If the summary counts all processes, each one that lacks a change must be a listed exception or be
        // among the unlisted ones. The check needs the full count because a member that moves between parents
        // is counted twice for a while.
        let exception_count = summary.exceptions.len() + summary.unnamed as usize;
        let unnamed: Vec<usize> = lacking.difference(&named).copied().collect();
        let false_claim = summary.members as usize >= process_count
            && (unnamed.len() > summary.unnamed as usize || lacking.len() > exception_count);
        if false_claim && summary.in_force > self.highest_claimed {
            self.violations.false_claims += 1;
            let process = unnamed.first().copied().unwrap_or_default();
            self.violations.note(format!(
                "{:.3} s: the summary reports {} in force at {} of {process_count} with {} exceptions, but {} processes lack it unlisted, among them process {process}",
                seconds(now),
                summary.in_force,
                summary.members,
                exception_count,
                unnamed.len()
            ));
        }
        self.highest_claimed = self.highest_claimed.max(summary.in_force);
    }

    /// Final check: reports processes that were reachable for `CATCH_UP_LIMIT` and lack a change that is as
    /// old.
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
                self.violations
                    .note(format!("the refusal of process {process} was never listed by the root"));
            }
        }
    }
}

fn seconds(now: Nanos) -> f64 {
    now as f64 / 1e9
}
