//! The publisher at the control machine that holds the lease.

use super::super::agree::{self, OperationPurpose};
use super::hosts::{PublisherEffect, PublisherEffects};
use super::{Event, MIN_WAKE_GAP, Simulation, TIMING_SAMPLE_INTERVAL};
use pumicebay_accord::OperationKind;
use pumicebay_carrier::{Nanos, Publisher, Version, WriteOutcome};
use std::time::Instant;

impl Simulation<'_> {
    /// Calls the publisher of a control machine, if any, and performs its effects.
    pub(super) fn with_publisher(
        &mut self,
        index: usize,
        call: impl FnOnce(&mut Publisher, Nanos, &mut PublisherEffects),
    ) {
        let now = self.processes[index].clock.local_time(self.now);
        let Some(publisher) = &mut self.control_machines[index].publisher else { return };
        self.decision_calls += 1;
        let timed =
            self.decision_calls.is_multiple_of(TIMING_SAMPLE_INTERVAL) && self.now >= self.measure_start;
        let mut effects = PublisherEffects::default();
        let started = timed.then(Instant::now);
        call(publisher, now, &mut effects);
        *self.decision_counts.entry("publisher").or_default() += 1;
        if let Some(started) = started {
            let (sampled_cpu, count) = self.sampled_cpu.entry("publisher").or_default();
            (*sampled_cpu, *count) = (*sampled_cpu + started.elapsed(), *count + 1);
        }
        self.perform_publisher_effects(index, effects);
    }

    /// Performs the effects that a publisher requested, and schedules its timer.
    pub(super) fn perform_publisher_effects(&mut self, index: usize, effects: PublisherEffects) {
        for effect in effects.0 {
            match effect {
                PublisherEffect::Read => self.submit(index, OperationPurpose::Read, OperationKind::Read),
                PublisherEffect::Write(text, version) => {
                    let now = self.processes[index].clock.local_time(self.now);
                    let Some(token) = self.control_machines[index].lease_client.token_if_valid_for(now, 0)
                    else {
                        self.with_publisher(index, |publisher, now, host| {
                            publisher.record_written(now, WriteOutcome::Refused, host);
                        });
                        continue;
                    };
                    let kind = OperationKind::Put {
                        name: "carrier".into(),
                        text,
                        expected_version: Some(version),
                        fence: Some(("carrier".into(), token)),
                    };
                    self.submit(index, OperationPurpose::Write, kind);
                }
                PublisherEffect::Publish(version, resources) => {
                    self.with_node(index, |node, now, host| node.publish(now, version, resources, host));
                    self.report_majority(index);
                }
                PublisherEffect::Answer(number, outcome) => {
                    self.control_machines[index].proposals.remove(&number);
                    self.proposal_answered(number as usize, outcome);
                }
                PublisherEffect::ReleaseLease => {
                    let now = self.processes[index].clock.local_time(self.now);
                    let number = self.control_machines[index].next_operation_number();
                    if let Some(operation) = self.control_machines[index].lease_client.give_back(now, number)
                    {
                        let open = agree::PendingOperation {
                            operation,
                            purpose: OperationPurpose::Lease,
                            submitted_at: self.now,
                        };
                        self.control_machines[index].pending.insert(number, open);
                        let preferred_voter = self.control_machines[index].preferred_voter;
                        self.send_operation(index, number, preferred_voter);
                    }
                    self.update_lease(index);
                }
            }
        }
        let control = &mut self.control_machines[index];
        if let Some(publisher) = &control.publisher {
            let due = publisher.due();
            if due != Nanos::MAX {
                let due = self.processes[index].clock.global_time(due).max(self.now + MIN_WAKE_GAP);
                if due < control.publisher_wake_at {
                    control.publisher_wake_at = due;
                    self.schedule(due, Event::PublisherTimer(index));
                }
            }
        }
    }

    /// Tells the publisher the newest version that a majority of the control machines has on disk.
    pub(super) fn report_majority(&mut self, index: usize) {
        if index >= self.plan.control_machines || self.control_machines[index].publisher.is_none() {
            return;
        }
        let Some(node) = &self.processes[index].node else { return };
        let mut versions: Vec<Version> = node.persisted_versions().map(|(_, version)| version).collect();
        versions.sort_unstable_by(|first, second| second.cmp(first));
        if let Some(&majority) = versions.get(self.plan.control_machines / 2) {
            self.with_publisher(index, |publisher, now, host| {
                publisher.majority_persisted(now, majority, host)
            });
        }
    }

    /// Control machine that publishes; the one with the highest token if several do.
    pub(in crate::scale) fn root(&self) -> Option<usize> {
        let publishes = |index: &usize| {
            self.control_machines[*index].publisher.is_some()
                && self.processes[*index].node.is_some()
                && !self.processes[*index].stalled
        };
        (0..self.plan.control_machines)
            .filter(publishes)
            .max_by_key(|index| self.control_machines[*index].token)
    }
}
