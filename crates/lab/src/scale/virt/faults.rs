//! Faults of the plan: processes that die, stop or restart, resets of links, and partitions of regions.

use super::super::agree::ControlMachine;
use super::super::fleet::{self};
use super::super::plan::{DiskState, Fault, FaultKind};
use super::super::truth::Applied;
use super::hosts::NodeEffects;
use super::{Event, Link, LinkId, MILLISECOND, MIN_WAKE_GAP, SECOND, Simulation};
use pumicebay_carrier::{Nanos, TreeNode, Version};
use rand::RngExt;
use rand::seq::IndexedRandom;

impl Simulation<'_> {
    /// Index of the process that a fault names; `None` for `root` or no name.
    pub(super) fn fault_target(&self, fault: &Fault) -> Option<usize> {
        let (kind, number) = fault.target.as_deref()?.rsplit_once('-')?;
        let number: usize = number.parse().ok()?;
        Some(if kind == "control" { number } else { self.plan.control_machines + number })
    }

    /// Half of the proxies of the site of a fault.
    pub(super) fn half_site_processes(&self, fault: &Fault) -> Vec<usize> {
        let site = fault.site.unwrap_or_default();
        let all: Vec<usize> = (self.plan.control_machines..self.processes.len())
            .filter(|process| self.placements[*process].site == site)
            .collect();
        // Every second proxy, relays among them.
        all.into_iter().step_by(2).collect()
    }

    /// Starts a fault.
    pub(super) fn start_fault(&mut self, number: usize) {
        let plan = self.plan;
        let fault = &plan.faults[number];
        let process = self.fault_target(fault).or_else(|| self.root());
        let targets: Vec<usize> = match fault.kind {
            FaultKind::Dies | FaultKind::SlowChild | FaultKind::Stall | FaultKind::Refused => {
                process.into_iter().collect()
            }
            FaultKind::HalfSite => self.half_site_processes(fault),
            FaultKind::ControlGone => (0..plan.control_machines).collect(),
            FaultKind::ZoneReconnects => (plan.control_machines..self.processes.len())
                .filter(|process| Some(self.placements[*process].zone) == fault.zone)
                .collect(),
            FaultKind::RegionCut | FaultKind::Burst => Vec::new(),
        };
        self.fault_targets.insert(number, targets.clone());
        match fault.kind {
            FaultKind::Dies if fault.during_delta => {
                targets.into_iter().for_each(|process| self.processes[process].dies_during_delta = true)
            }
            FaultKind::Dies | FaultKind::HalfSite | FaultKind::ControlGone => {
                self.parent_failures += 1;
                targets.into_iter().for_each(|process| self.kill(process, fault.without_reset));
                if fault.kind == FaultKind::ControlGone {
                    self.processes.iter_mut().for_each(|state| state.orphaned_at = None);
                }
            }
            FaultKind::SlowChild => {
                for process in targets {
                    self.processes[process].slow = true;
                    self.checker.mark_unreachable(process);
                    if let Some(id) = self.processes[process].parent_link {
                        self.schedule_silence(id);
                    }
                }
            }
            FaultKind::Stall => {
                self.parent_failures += 1;
                for process in targets {
                    self.processes[process].stalled = true;
                    self.checker.mark_unreachable(process);
                    let down: Vec<LinkId> = self.processes[process].child_links.iter().copied().collect();
                    self.mark_orphaned(&down);
                    down.into_iter()
                        .chain(self.processes[process].parent_link)
                        .for_each(|id| self.schedule_silence(id));
                }
            }
            FaultKind::Refused => {
                let resource_index = *self.resource_groups[0].choose(&mut self.random).unwrap_or(&0);
                let next =
                    Version { number: self.checker.latest_settled.number + 1, ..self.checker.latest_settled };
                targets.into_iter().for_each(|process| {
                    self.checker.processes[process].refuses = Some((resource_index, next))
                });
                self.propose_at(self.now + MILLISECOND, resource_index);
            }
            FaultKind::ZoneReconnects => {
                for process in targets {
                    let at = self.now + self.random.random_range(0..SECOND);
                    self.schedule(at, Event::ResetLink(process));
                }
            }
            FaultKind::RegionCut => {
                let Some(region) = fault.region else { return };
                self.partitioned[region] = true;
                (plan.control_machines..self.processes.len())
                    .filter(|process| self.placements[*process].region == region)
                    .for_each(|process| self.checker.mark_unreachable(process));
                let crossing = |id: &LinkId| {
                    let Link { child, parent, child_open, parent_open, .. } = self.links[*id as usize];
                    (child_open || parent_open)
                        && self.is_partitioned(self.endpoint(child), self.endpoint(parent))
                };
                let all: Vec<LinkId> = (0..self.links.len() as LinkId).filter(crossing).collect();
                all.into_iter().for_each(|id| self.schedule_silence(id));
            }
            FaultKind::Burst => {}
        }
    }

    /// Ends a fault and restores its processes.
    pub(super) fn end_fault(&mut self, number: usize) {
        let fault = &self.plan.faults[number];
        let targets = self.fault_targets.remove(&number).unwrap_or_default();
        match fault.kind {
            FaultKind::Dies | FaultKind::HalfSite | FaultKind::ControlGone => {
                for process in targets {
                    self.processes[process].dies_during_delta = false;
                    self.start(process, fault.disk);
                }
            }
            FaultKind::SlowChild => {
                for process in targets {
                    self.processes[process].slow = false;
                    self.checker.mark_reachable(self.now, process);
                }
            }
            FaultKind::Stall => {
                for process in targets {
                    self.processes[process].stalled = false;
                    self.checker.mark_reachable(self.now, process);
                    for event in std::mem::take(&mut self.processes[process].backlog) {
                        self.handle(event);
                    }
                    // Handles the timers that expired while it was stopped.
                    self.processes[process].wake_at = Nanos::MAX;
                    self.schedule_wake(process);
                    if process < self.plan.control_machines {
                        self.control_machines[process].wake_at = self.now;
                        self.run_lease_client(process);
                        if self.control_machines[process].publisher.is_some() {
                            self.with_publisher(process, |publisher, now, host| publisher.tick(now, host));
                        }
                    }
                }
            }
            FaultKind::RegionCut => {
                let Some(region) = fault.region else { return };
                self.partitioned[region] = false;
                for process in self.plan.control_machines..self.processes.len() {
                    let state = &self.processes[process];
                    if self.placements[process].region == region
                        && state.node.is_some()
                        && !state.stalled
                        && !state.slow
                    {
                        self.checker.mark_reachable(self.now, process);
                    }
                }
            }
            FaultKind::Refused | FaultKind::Burst | FaultKind::ZoneReconnects => {}
        }
    }

    /// Notes that the children of these links lost their parent now.
    pub(super) fn mark_orphaned(&mut self, links: &[LinkId]) {
        for id in links {
            let child = self.links[*id as usize].child;
            self.processes[child].orphaned_at = Some(self.now);
        }
    }

    /// Kills a process; if `silent`, its peers detect it by missing heartbeats only.
    pub(super) fn kill(&mut self, process: usize, silent: bool) {
        if self.processes[process].node.take().is_none() {
            return;
        }
        self.checker.mark_unreachable(process);
        let state = &mut self.processes[process];
        (state.died_silently, state.orphaned_at, state.dies_during_delta) = (silent, None, false);
        state.backlog.clear();
        let (up, down) = (state.parent_link.take(), std::mem::take(&mut state.child_links));
        let down: Vec<LinkId> = down.into_iter().collect();
        self.mark_orphaned(&down);
        for (id, child) in down.iter().map(|id| (*id, false)).chain(up.map(|id| (id, true))) {
            if silent {
                self.schedule_silence(id);
            }
            self.close(id, child);
        }
        if process < self.plan.control_machines {
            self.stop_publishing(process);
            self.control_machines[process].token = None;
        }
    }

    /// Starts a dead process as a new incarnation.
    pub(super) fn start(&mut self, process: usize, disk: DiskState) {
        if self.processes[process].node.is_some() {
            return;
        }
        let state = &mut self.processes[process];
        state.incarnation += 1;
        let incarnation = state.incarnation;
        state.clock.started_at = self.now;
        (state.wake_at, state.ticked_at, state.died_silently, state.stalled) =
            (Nanos::MAX, self.now, false, false);
        match disk {
            DiskState::Kept => {}
            DiskState::Empty => state.disk = None,
            DiskState::Old => state.disk = state.initial_disk.clone(),
        }
        let snapshot = state.disk.clone();
        state.held_version = snapshot.as_ref().map_or(Version::default(), |snapshot| snapshot.version);
        let now = state.clock.local_time(self.now);
        let config = fleet::node_config(self.plan, &self.placements, process, incarnation);
        let mut host =
            NodeEffects { effects: Vec::new(), random: &mut self.random, disk_is_read: state.disk_is_read };
        state.node = Some(TreeNode::start(now, config, snapshot, &mut host));
        let effects = host.effects;
        let checked = &mut self.checker.processes[process];
        (checked.applied, checked.started_at) = (Applied::default(), self.now);
        if !self.partitioned[self.placements[process].region] {
            self.checker.mark_reachable(self.now, process);
        }
        for effect in effects {
            self.perform(process, effect);
        }
        self.schedule_wake(process);
        if process < self.plan.control_machines {
            let preferred_voter = process % self.plan.voters;
            self.control_machines[process] = ControlMachine::new(
                self.plan,
                now,
                &self.placements[process].name,
                incarnation,
                preferred_voter,
            );
            self.control_machines[process].wake_at = self.now + MIN_WAKE_GAP;
            self.schedule(self.now + MIN_WAKE_GAP, Event::LeaseTimer(process));
        }
    }

    /// Resets the link of a process to its parent.
    pub(super) fn reset_parent_link(&mut self, process: usize) {
        if self.processes[process].node.is_some()
            && let Some(id) = self.processes[process].parent_link
        {
            self.close(id, true);
            self.notify_closed(id, true);
        }
    }
}
