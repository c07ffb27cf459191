//! Changes of configuration: random choice, proposal to the publisher, and its outcome.

use super::super::fleet::{self};
use super::{Event, Proposal, REPROPOSE_DELAY, SUMMARY_CHECK_INTERVAL, Simulation};
use pumicebay_carrier::{Change, ChangeOutcome, Nanos};
use rand::RngExt;
use rand::seq::IndexedRandom;

impl Simulation<'_> {
    /// Draws the time to the next event of a Poisson process with this rate; the end of the run if the rate
    /// is zero.
    pub(super) fn exponential_gap(&mut self, per_second: f64) -> Nanos {
        let drawn = -(1.0 - self.random.random_range(0.0..1.0f64)).ln();
        if per_second > 0.0 { (drawn / per_second * 1e9) as Nanos } else { self.end }
    }

    /// Draws the resource of a change by the shares of scopes; a fleet resource if the drawn scope has none.
    pub(super) fn draw_resource(&mut self) -> usize {
        let drawn = self.random.random_range(0.0..1.0);
        let mut sum = 0.0;
        for (group, share) in self.plan.scopes.shares().iter().enumerate() {
            sum += share;
            if drawn < sum
                && let Some(resource_index) = self.resource_groups[group].choose(&mut self.random)
            {
                return *resource_index;
            }
        }
        self.resource_groups[0][0]
    }

    /// Makes a patch of a random size.
    pub(super) fn draw_patch(&mut self, resource_index: usize) -> String {
        let drawn = self.random.random_range(0.0..1.0);
        let (mut sum, mut bytes) = (0.0, self.plan.change_bytes[0].bytes);
        for size in &self.plan.change_bytes {
            sum += size.share;
            if drawn < sum {
                bytes = size.bytes;
                break;
            }
        }
        let number = self.proposals.len() + resource_index;
        format!("{{\"a\":\"{number:0width$}\"}}", width = bytes.saturating_sub(8).max(1))
    }

    /// Schedules a change of one resource.
    pub(super) fn propose_at(&mut self, at: Nanos, resource_index: usize) {
        let patch = self.draw_patch(resource_index);
        self.propose_all_at(at, vec![(resource_index, patch)]);
    }

    /// Schedules one change of several resources.
    pub(super) fn propose_all_at(&mut self, at: Nanos, changes: Vec<(usize, String)>) {
        let measured = at >= self.measure_start;
        self.proposals.push(Proposal { changes, first_proposed_at: at, measured });
        self.schedule(at, Event::Propose(self.proposals.len() - 1));
    }

    /// Proposes a change to the publisher; tries again later if none can be reached.
    pub(super) fn propose(&mut self, number: usize) {
        let Some(root) = self.root().filter(|root| !self.partitioned[self.placements[*root].region]) else {
            return self.schedule(self.now + REPROPOSE_DELAY, Event::Propose(number));
        };
        let change = |(resource_index, patch): &(usize, String)| {
            let scope = self.checker.resources[*resource_index].scope.clone();
            Change { scope, name: format!("r{resource_index}"), patch: Some(patch.clone()) }
        };
        let changes: Vec<Change> = self.proposals[number].changes.iter().map(change).collect();
        self.control_machines[root].proposals.insert(number as u64);
        self.with_publisher(root, |publisher, now, host| {
            publisher.propose(now, number as u64, changes, host);
        });
    }

    /// Records a settled change, or schedules its next proposal.
    pub(super) fn proposal_answered(&mut self, number: usize, outcome: ChangeOutcome) {
        match outcome {
            ChangeOutcome::Settled(version) => {
                let Proposal { ref changes, first_proposed_at, measured } = self.proposals[number];
                for resource_index in
                    changes.iter().map(|(resource_index, _)| *resource_index).collect::<Vec<_>>()
                {
                    let scope = &self.checker.resources[resource_index].scope;
                    let targets: Vec<usize> = (self.plan.control_machines..self.processes.len())
                        .filter(|process| fleet::in_scope(&self.placements[*process], scope))
                        .collect();
                    self.checker.change_settled(
                        self.now,
                        resource_index,
                        first_proposed_at,
                        version,
                        &targets,
                        measured,
                    );
                }
            }
            ChangeOutcome::Refused(_) => {
                self.rejected_proposals += 1;
                self.schedule(self.now + REPROPOSE_DELAY, Event::Propose(number));
            }
            ChangeOutcome::Unknown => {
                self.unanswered_proposals += 1;
                self.schedule(self.now + REPROPOSE_DELAY, Event::Propose(number));
            }
        }
    }

    /// Lets the checker compare the summary of the root with the real state.
    pub(super) fn check_summary(&mut self) {
        self.schedule(self.now + SUMMARY_CHECK_INTERVAL, Event::CheckSummary);
        let Some(root) = self.root() else { return };
        let state = &self.processes[root];
        let Some(node) = &state.node else { return };
        let summary = node.summary(state.clock.local_time(self.now));
        let all = self.processes.len();
        let placements = &self.placements;
        self.checker.check_summary(self.now, &summary, all, &|process, scope| {
            fleet::in_scope(&placements[process], scope)
        });
    }
}
