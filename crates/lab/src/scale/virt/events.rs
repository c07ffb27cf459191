//! Handling of events, calls of the nodes, and execution of the effects that they request.

use super::super::fleet::{self, Role};
use super::super::truth::Applied;
use super::hosts::{NodeEffect, NodeEffects};
use super::{
    CATCH_UP_CHECK_INTERVAL, Event, LinkId, MIN_WAKE_GAP, Simulation, TIMING_SAMPLE_INTERVAL, frame_bytes,
};
use pumicebay_carrier::{ChildId, Nanos, ParentMessage, Resource, TreeNode, Version};
use rand::RngExt;
use std::cmp::Reverse;
use std::time::Instant;

impl Simulation<'_> {
    /// Schedules an event.
    pub(super) fn schedule(&mut self, at: Nanos, event: Event) {
        self.last_sequence += 1;
        let slot = match self.free_slots.pop() {
            Some(slot) => {
                self.event_slots[slot as usize] = event;
                slot
            }
            None => {
                self.event_slots.push(event);
                (self.event_slots.len() - 1) as u32
            }
        };
        self.queue.push(Reverse((at, self.last_sequence, slot)));
    }

    /// Process that receives an event and may be stopped; `None` for other events.
    pub(super) fn target_process(&self, event: &Event) -> Option<usize> {
        let link = |link: &LinkId| &self.links[*link as usize];
        match event {
            Event::Wake(process) | Event::ApplyDone(process, ..) | Event::PersistDone(process, ..) => {
                Some(*process)
            }
            Event::DialArrived(id)
            | Event::LinkClosed(id, false)
            | Event::ToParent(id, _)
            | Event::LinkSilent(id, false) => Some(link(id).parent),
            Event::Connected(id)
            | Event::LinkClosed(id, true)
            | Event::ToChild(id, _)
            | Event::LinkSilent(id, true) => Some(link(id).child),
            Event::LeaseTimer(index) | Event::PublisherTimer(index) | Event::SendOperation(index, ..) => {
                Some(*index)
            }
            Event::VoterAnswer(answer) => self.index_by_name.get(&answer.id.process.name).copied(),
            _ => None,
        }
    }

    /// Handles an event, or queues it while its process is stopped.
    pub(super) fn handle(&mut self, event: Event) {
        if let Some(process) = self.target_process(&event)
            && self.processes[process].stalled
        {
            return self.processes[process].backlog.push_back(event);
        }
        match event {
            Event::None => {}
            Event::Wake(process) => self.wake(process),
            Event::DialArrived(id) => self.dial_arrived(id),
            Event::Connected(id) => self.connected(id),
            Event::LinkClosed(id, child) => self.close_arrived(id, child),
            Event::LinkSilent(id, child) => {
                if self.is_silent(id) {
                    self.close(id, child);
                    self.notify_closed(id, child);
                }
            }
            Event::ToParent(id, message) => {
                let (parent, open) = (self.links[id as usize].parent, self.links[id as usize].parent_open);
                if open {
                    self.record_received(parent, frame_bytes(&message));
                    self.with_node(parent, |node, now, host| {
                        node.child_message(now, ChildId::from(id), message, host)
                    });
                    self.report_majority(parent);
                }
            }
            Event::ToChild(id, message) => {
                let (child, open) = (self.links[id as usize].child, self.links[id as usize].child_open);
                if open {
                    self.record_received(child, frame_bytes(&message));
                    self.with_node(child, |node, now, host| node.parent_message(now, message, host));
                }
            }
            Event::ApplyDone(process, incarnation, version, applied, refused) => {
                if self.processes[process].incarnation == incarnation
                    && self.processes[process].node.is_some()
                {
                    self.checker.applied(self.now, process, applied);
                    self.with_node(process, |node, now, host| node.applied(now, version, refused, host));
                }
            }
            Event::PersistDone(process, incarnation, snapshot) => {
                if self.processes[process].incarnation == incarnation
                    && self.processes[process].node.is_some()
                {
                    let version = snapshot.version;
                    if self.processes[process].disk_is_read {
                        self.processes[process].disk = Some(snapshot);
                    }
                    self.with_node(process, |node, now, host| node.persisted(now, version, host));
                    self.report_majority(process);
                }
            }
            Event::VoterMessage(to, from, message) => {
                let index = to as usize - 1;
                self.record_voter_received(index, frame_bytes(&message));
                self.with_voter(index, |voter, now, effects| {
                    voter.message_received(now, from, message, effects)
                });
            }
            Event::VoterOperation(index, operation) => {
                self.record_voter_received(index, frame_bytes(&operation));
                self.with_voter(index, |voter, now, effects| voter.submit(now, operation, effects));
            }
            Event::VoterTimer(index) => {
                self.with_voter(index, |voter, now, effects| voter.timer_fired(now, effects))
            }
            Event::VoterAnswer(answer) => self.answer_received(answer),
            Event::LeaseTimer(index) => self.run_lease_client(index),
            Event::PublisherTimer(index) => {
                if self.control_machines[index].publisher_wake_at == self.now {
                    self.control_machines[index].publisher_wake_at = Nanos::MAX;
                    self.with_publisher(index, |publisher, now, host| publisher.tick(now, host));
                }
            }
            Event::SendOperation(index, incarnation, number, to) => {
                if self.processes[index].incarnation == incarnation {
                    self.send_operation(index, number, to);
                }
            }
            Event::FaultStart(number) => self.start_fault(number),
            Event::FaultEnd(number) => self.end_fault(number),
            Event::Kill(process, silent) => self.kill(process, silent),
            Event::Start(process, disk) => self.start(process, disk),
            Event::ResetLink(process) => self.reset_parent_link(process),
            Event::Propose(number) => self.propose(number),
            Event::CheckSummary => self.check_summary(),
            Event::CheckCatchUp => {
                let placements = &self.placements;
                self.checker
                    .check_catch_up(self.now, &|process, scope| fleet::in_scope(&placements[process], scope));
                self.schedule(self.now + CATCH_UP_CHECK_INTERVAL, Event::CheckCatchUp);
            }
            Event::StartMeasurement => {
                let now = self.now;
                self.processes.iter_mut().for_each(|state| state.meter.reset(now));
                self.voter_meters.iter_mut().for_each(|meter| meter.reset(now));
                self.sampled_cpu.clear();
                self.decision_counts.clear();
                self.checker.caught_up.clear();
                self.reparent_seconds.clear();
                self.parent_dials = 0;
                self.herd.clear();
                for process in 0..self.processes.len() {
                    self.processes[process].initial_disk = self.processes[process].disk.clone();
                }
            }
        }
    }

    /// Runs the timer of a node; ignores a timer that was replaced by another one.
    pub(super) fn wake(&mut self, process: usize) {
        let state = &mut self.processes[process];
        if state.wake_at != self.now {
            return;
        }
        state.wake_at = Nanos::MAX;
        let Some(node) = &state.node else { return };
        if node.due() <= state.clock.local_time(self.now) {
            state.ticked_at = self.now;
            self.with_node(process, |node, now, host| node.tick(now, host));
        } else {
            self.schedule_wake(process);
        }
    }

    /// Current role of a process, as reports name it.
    pub(in crate::scale) fn role(&self, process: usize) -> &'static str {
        match self.placements[process].role {
            Role::Proxy => "proxy",
            Role::Relay => "relay",
            Role::Control if self.control_machines[process].publisher.is_some() => "publisher",
            Role::Control => "control",
        }
    }

    /// Calls the node of a process and performs the effects that it requests; reports a version that went
    /// back.
    pub(super) fn with_node(
        &mut self,
        process: usize,
        call: impl FnOnce(&mut TreeNode, Nanos, &mut NodeEffects),
    ) {
        self.decision_calls += 1;
        let timed =
            self.decision_calls.is_multiple_of(TIMING_SAMPLE_INTERVAL) && self.now >= self.measure_start;
        let state = &mut self.processes[process];
        let now = state.clock.local_time(self.now);
        let Some(node) = &mut state.node else { return };
        let mut host =
            NodeEffects { effects: Vec::new(), random: &mut self.random, disk_is_read: state.disk_is_read };
        let started = timed.then(Instant::now);
        call(node, now, &mut host);
        let took = started.map(|started| started.elapsed());
        let effects = host.effects;
        let holds = node.version();
        if holds < state.held_version {
            self.checker.violations.regressions += 1;
            let description = format!(
                "{} holds version {holds} after {}",
                self.placements[process].name, state.held_version
            );
            self.checker.violations.note(description);
        }
        state.held_version = holds;
        let role = self.role(process);
        *self.decision_counts.entry(role).or_default() += 1;
        if let Some(took) = took {
            let (sampled_cpu, count) = self.sampled_cpu.entry(role).or_default();
            (*sampled_cpu, *count) = (*sampled_cpu + took, *count + 1);
        }
        for effect in effects {
            self.perform(process, effect);
        }
        self.schedule_wake(process);
    }

    /// Schedules the timer of a node, unless an earlier one is scheduled.
    pub(super) fn schedule_wake(&mut self, process: usize) {
        let state = &mut self.processes[process];
        let Some(node) = &state.node else { return };
        let due = node.due();
        if due == Nanos::MAX {
            return;
        }
        let due = state.clock.global_time(due).max(self.now + 1).max(state.ticked_at + MIN_WAKE_GAP);
        if due < state.wake_at {
            state.wake_at = due;
            self.schedule(due, Event::Wake(process));
        }
    }

    /// Performs an effect that a node requested.
    pub(super) fn perform(&mut self, process: usize, effect: NodeEffect) {
        if self.processes[process].node.is_none() {
            return;
        }
        match effect {
            NodeEffect::ConnectParent(parent) => self.connect_parent(process, &parent),
            NodeEffect::DisconnectParent => {
                if let Some(id) = self.processes[process].parent_link.take() {
                    self.close(id, true);
                }
            }
            NodeEffect::DisconnectChild(child) => self.close(child as LinkId, false),
            NodeEffect::SendToParent(message) => {
                if let Some(id) = self.processes[process].parent_link {
                    self.send(id, true, frame_bytes(&message), Event::ToParent(id, message));
                }
            }
            NodeEffect::SendToChild(child, message) => {
                let id = child as LinkId;
                let dies_now = self.processes[process].dies_during_delta
                    && matches!(message, ParentMessage::Delta { .. });
                self.send(id, false, frame_bytes(&message), Event::ToChild(id, message));
                if dies_now {
                    self.processes[process].dies_during_delta = false;
                    self.kill(process, false);
                }
            }
            NodeEffect::Apply(version, resources) => self.apply(process, version, resources),
            NodeEffect::Persist(snapshot) => {
                let took = (self.plan.disk_ms * 1e6 * self.random.random_range(0.7..1.5)) as Nanos;
                self.schedule(
                    self.now + took + 1,
                    Event::PersistDone(process, self.processes[process].incarnation, snapshot),
                );
            }
        }
    }

    /// Starts to put resources in force, except a refused one, which keeps its previous version.
    pub(super) fn apply(&mut self, process: usize, version: Version, resources: Vec<Resource>) {
        let mut applied = Applied { version, resources: Vec::with_capacity(resources.len()) };
        let mut refused = Vec::new();
        let refuses = self.checker.processes[process].refuses;
        for resource in resources {
            // The name of a resource is `r` and its index.
            let Some(resource_index) = resource.name.strip_prefix('r').and_then(|number| number.parse().ok())
            else {
                continue;
            };
            let mut in_force = resource.version;
            if let Some((refused_index, from)) = refuses
                && refused_index == resource_index as usize
                && resource.version >= from
            {
                let before = &self.checker.processes[process].applied.resources;
                let before = before.iter().find(|(had, _)| *had == resource_index);
                in_force = before.map_or(Version::default(), |(_, version)| *version);
                refused.push((resource.scope, resource.name, "refused by the test".into()));
            }
            applied.resources.push((resource_index, in_force));
        }
        applied.resources.sort_unstable();
        let took = (self.plan.apply_ms * 1e6 * self.random.random_range(0.5..1.5)) as Nanos;
        let incarnation = self.processes[process].incarnation;
        self.schedule(self.now + took + 1, Event::ApplyDone(process, incarnation, version, applied, refused));
    }
}
