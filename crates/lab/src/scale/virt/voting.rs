//! Voters, and the operations of control machines: lease, reads and writes.

use super::super::agree::{
    self, ANSWER_TIMEOUT, BUSY_RETRY_DELAY, OPERATION_DEADLINE, OperationPurpose, VoterOutput,
};
use super::super::meter::segments;
use super::hosts::PublisherEffects;
use super::{Event, MIN_WAKE_GAP, Simulation, TIMING_SAMPLE_INTERVAL, UNANSWERED_DELAY, frame_bytes};
use pumicebay_accord::{Answer, OperationKind, Reply, StoreId};
use pumicebay_carrier::{Nanos, Publisher, WriteOutcome};
use rand::RngExt;
use std::time::Instant;

impl Simulation<'_> {
    /// Counts a message at a voter.
    pub(super) fn record_voter_received(&mut self, index: usize, bytes: usize) {
        self.voter_meters[index].record_received(self.now, bytes, segments(bytes));
    }

    /// Calls a voter and sends its messages and answers, after the write to disk if it wrote.
    pub(super) fn with_voter(
        &mut self,
        index: usize,
        call: impl FnOnce(&mut pumicebay_accord::Voter, Nanos, &mut pumicebay_accord::Effects),
    ) {
        self.decision_calls += 1;
        let timed =
            self.decision_calls.is_multiple_of(TIMING_SAMPLE_INTERVAL) && self.now >= self.measure_start;
        let random = self.random.random_range(0.0..1.0);
        let started = timed.then(Instant::now);
        let VoterOutput { messages, answers, wake_at, persisted } =
            self.voters[index].run(self.now, random, call);
        *self.decision_counts.entry("voter").or_default() += 1;
        if let Some(started) = started {
            let (sampled_cpu, count) = self.sampled_cpu.entry("voter").or_default();
            (*sampled_cpu, *count) = (*sampled_cpu + started.elapsed(), *count + 1);
        }
        if let Some(wake_at) = wake_at {
            self.schedule(wake_at.max(self.now + MIN_WAKE_GAP), Event::VoterTimer(index));
        }
        let later = if persisted { (self.plan.disk_ms * 1e6) as Nanos } else { 0 };
        let (own, here) = (index as StoreId + 1, self.voters[index].endpoint);
        for (to, message) in messages {
            let there = self.voters[to as usize - 1].endpoint;
            let bytes = frame_bytes(&message);
            self.voter_meters[index].record_sent(self.now, bytes, segments(bytes));
            if !self.is_partitioned(here, there) {
                let transit = self.transit_time(here, there, segments(bytes));
                self.schedule(self.now + later + transit, Event::VoterMessage(to, own, message));
            }
        }
        for answer in answers {
            let Some(&process) = self.index_by_name.get(&answer.id.process.name) else { continue };
            let bytes = frame_bytes(&answer);
            self.voter_meters[index].record_sent(self.now, bytes, segments(bytes));
            let there = self.endpoint(process);
            if !self.is_partitioned(here, there) {
                let transit = self.transit_time(here, there, segments(bytes));
                self.schedule(self.now + later + transit, Event::VoterAnswer(answer));
            }
        }
    }

    /// Runs the timer of the lease client of a control machine.
    pub(super) fn run_lease_client(&mut self, index: usize) {
        let control = &mut self.control_machines[index];
        if control.wake_at != self.now || self.processes[index].node.is_none() {
            return;
        }
        control.wake_at = Nanos::MAX;
        let now = self.processes[index].clock.local_time(self.now);
        let number = control.next_operation_number();
        if let Some(operation) = control.lease_client.next_operation(now, number) {
            let open = agree::PendingOperation {
                operation,
                purpose: OperationPurpose::Lease,
                submitted_at: self.now,
            };
            control.pending.insert(number, open);
            let preferred_voter = control.preferred_voter;
            self.send_operation(index, number, preferred_voter);
        }
        self.update_lease(index);
    }

    /// Starts or stops the publisher as the lease was acquired or lost, and schedules the timer of the lease
    /// client.
    pub(super) fn update_lease(&mut self, index: usize) {
        let now = self.processes[index].clock.local_time(self.now);
        let control = &mut self.control_machines[index];
        let token = control.lease_client.token_if_valid_for(now, 0);
        let before = std::mem::replace(&mut control.token, token);
        let due = self.processes[index]
            .clock
            .global_time(control.lease_client.wake_at())
            .max(self.now + MIN_WAKE_GAP);
        if due < control.wake_at {
            control.wake_at = due;
            self.schedule(due, Event::LeaseTimer(index));
        }
        if token == before {
            return;
        }
        self.stop_publishing(index);
        if token.is_some() {
            let mut effects = PublisherEffects::default();
            self.control_machines[index].publisher = Some(Publisher::start(now, &mut effects));
            // The publisher is the root of the tree and needs no parent.
            (self.processes[index].has_published, self.processes[index].orphaned_at) = (true, None);
            let name = self.placements[index].name.clone();
            self.with_node(index, |node, now, host| node.set_root(now, Some(&name), host));
            self.perform_publisher_effects(index, effects);
        } else {
            self.with_node(index, |node, now, host| node.set_root(now, None, host));
        }
    }

    /// Stops the publisher; its unanswered changes are proposed again later.
    pub(super) fn stop_publishing(&mut self, index: usize) {
        self.control_machines[index].publisher = None;
        self.control_machines[index].publisher_wake_at = Nanos::MAX;
        for number in std::mem::take(&mut self.control_machines[index].proposals) {
            self.unanswered_proposals += 1;
            self.schedule(self.now + UNANSWERED_DELAY, Event::Propose(number as usize));
        }
    }

    /// Submits a new operation to the preferred voter.
    pub(super) fn submit(&mut self, index: usize, purpose: OperationPurpose, kind: OperationKind) {
        let number = self.control_machines[index].start_operation(purpose, self.now, kind);
        let preferred_voter = self.control_machines[index].preferred_voter;
        self.send_operation(index, number, preferred_voter);
    }

    /// Sends a pending operation to this voter, and schedules a retry with the next one; gives up after
    /// `OPERATION_DEADLINE`.
    pub(super) fn send_operation(&mut self, index: usize, number: u64, to: usize) {
        let now = self.now;
        let Some(open) = self.control_machines[index].pending.get(&number) else { return };
        if now - open.submitted_at > OPERATION_DEADLINE || self.processes[index].node.is_none() {
            let purpose = open.purpose;
            self.control_machines[index].pending.remove(&number);
            return self.operation_finished(index, number, purpose, &Reply::Unknown);
        }
        let operation = open.operation.clone();
        self.control_machines[index].preferred_voter = to;
        let bytes = frame_bytes(&operation);
        self.processes[index].meter.record_sent(now, bytes, segments(bytes));
        let (here, there) = (self.endpoint(index), self.voters[to].endpoint);
        if !self.is_partitioned(here, there) {
            let transit = self.transit_time(here, there, segments(bytes));
            self.schedule(now + transit, Event::VoterOperation(to, operation));
        }
        let next = (to + 1) % self.voters.len();
        self.schedule(
            now + ANSWER_TIMEOUT,
            Event::SendOperation(index, self.processes[index].incarnation, number, next),
        );
    }

    /// Handles an answer of a voter; retries with the next voter if it is not conclusive.
    pub(super) fn answer_received(&mut self, answer: Answer) {
        let Some(&index) = self.index_by_name.get(&answer.id.process.name) else { return };
        if self.processes[index].node.is_none() || self.control_machines[index].process != answer.id.process {
            return;
        }
        self.record_received(index, frame_bytes(&answer));
        let number = answer.id.number;
        if !agree::is_conclusive(&answer.reply) {
            let next = (self.control_machines[index].preferred_voter + 1) % self.voters.len();
            let incarnation = self.processes[index].incarnation;
            return self.schedule(
                self.now + BUSY_RETRY_DELAY,
                Event::SendOperation(index, incarnation, number, next),
            );
        }
        let Some(open) = self.control_machines[index].pending.remove(&number) else { return };
        self.operation_finished(index, number, open.purpose, &answer.reply);
    }

    /// Passes the outcome of an operation to the lease client or the publisher.
    pub(super) fn operation_finished(
        &mut self,
        index: usize,
        number: u64,
        purpose: OperationPurpose,
        reply: &Reply,
    ) {
        let now = self.processes[index].clock.local_time(self.now);
        match purpose {
            OperationPurpose::Lease => {
                self.control_machines[index].lease_client.answer_received(now, number, reply);
                self.update_lease(index);
                if let Reply::Denied(Some(holder), _) = reply
                    && self.control_machines[index].token.is_none()
                {
                    let name = holder.name.clone();
                    // The holder may be the previous incarnation of this machine, which is not a parent.
                    let root = (name != self.placements[index].name).then_some(name);
                    self.with_node(index, |node, now, host| node.set_root(now, root.as_deref(), host));
                }
            }
            OperationPurpose::Read => {
                let Some(node) = &self.processes[index].node else { return };
                let holds = node.version();
                match reply {
                    Reply::Record(record) => {
                        let record = record.clone();
                        self.with_publisher(index, |publisher, now, host| {
                            let entry = record.0.values.get("carrier");
                            let entry = entry.map(|entry| (entry.text.as_str(), entry.version));
                            publisher.record_read(now, record.0.founded, entry, holds, host);
                        });
                    }
                    _ => self.with_publisher(index, |publisher, now, host| {
                        publisher.record_read_failed(now, host)
                    }),
                }
            }
            OperationPurpose::Write => {
                let written = match reply {
                    Reply::Written(version) => WriteOutcome::Committed(*version),
                    Reply::Refused(_) | Reply::Denied(..) => WriteOutcome::Refused,
                    _ => WriteOutcome::Unknown,
                };
                self.with_publisher(index, |publisher, now, host| {
                    publisher.record_written(now, written, host)
                });
            }
        }
    }
}
