//! Builds the report and the cost of a simulation.

use super::meter::{Flow, Meter};
use super::report::{PROXY_BYTE_LIMIT, Report, RunCost, Traffic, time_stats};
use super::truth::CONVERGENCE_TARGET;
use super::virt::Simulation;
use pumicebay_carrier::{Nanos, Scope, TreeNode};
use std::collections::BTreeMap;
use std::time::Instant;

/// Estimated bytes of a map entry and an allocation beside their content.
const MAP_ENTRY_BYTES: usize = 120;
/// Estimated bytes of the state of a child, without names.
const CHILD_STATE_BYTES: usize = 700;

impl Simulation<'_> {
    /// Report of the finished simulation, and what it cost since `started`.
    pub(super) fn outcome(&self, started: Instant) -> (Report, RunCost) {
        let plan = self.plan;
        let seconds = |from: Nanos, to: Nanos| to.saturating_sub(from) as f64 / 1e9;
        let measured: Vec<_> = self.checker.changes.iter().filter(|change| change.measured).collect();
        let mut from_offer: Vec<f64> = Vec::new();
        let (mut in_force, mut reported) = (Vec::new(), Vec::new());
        for change in &measured {
            if let Some(done) = change.in_force_at {
                from_offer.push(seconds(change.proposed_at, done));
                in_force.push(seconds(change.settled_at, done));
            }
            reported.extend(change.reported_at.map(|at| seconds(change.settled_at, at)));
        }
        let late = |all: &[f64]| all.iter().filter(|time| **time > CONVERGENCE_TARGET).count();
        let late = (late(&from_offer), late(&in_force));
        // Changes that settled too shortly before the end had no time to be applied and are not counted as
        // unfinished.
        let had_time = |settled: Nanos| settled + (CONVERGENCE_TARGET * 1e9) as Nanos <= self.end;
        let not_done = measured
            .iter()
            .filter(|change| change.in_force_at.is_none() && had_time(change.settled_at))
            .count();
        let not_reported = measured
            .iter()
            .filter(|change| change.reported_at.is_none() && had_time(change.settled_at))
            .count();
        let catch_up_seconds = |(since, at): &(Nanos, Nanos)| seconds(*since, *at);
        let mut caught_up: Vec<f64> = self.checker.caught_up.iter().map(catch_up_seconds).collect();
        let report = Report {
            seed: self.seed,
            proxies: plan.proxies,
            relays_per_site: plan.relays_per_site,
            seconds: plan.seconds,
            changes: measured.len(),
            from_offer: time_stats(&mut from_offer),
            in_force: time_stats(&mut in_force),
            reported: time_stats(&mut reported),
            late,
            unfinished: (not_done, not_reported),
            rejected: self.rejected_proposals,
            unanswered: self.unanswered_proposals,
            parent_dials: self.parent_dials,
            summary_at_end: self.summary_at_end(),
            traffic: self.traffic(),
            reparenting: time_stats(&mut self.reparent_seconds.clone()),
            herd: self.herd.values().copied().max().unwrap_or(0),
            caught_up: time_stats(&mut caught_up),
            converged: self.convergence_seconds(),
            refusals_named: self.checker.refusal_named.len(),
            violations: self.checker.violations.clone(),
        };
        (report, self.cost(started))
    }

    /// Seconds from the end of the last fault until all reachable processes have the changes settled by then;
    /// `None` if some never had them.
    fn convergence_seconds(&self) -> Option<f64> {
        let ends = self
            .plan
            .faults
            .iter()
            .map(|fault| self.measure_start + ((fault.start_seconds + fault.seconds) * 1e9) as Nanos);
        let last = ends.max().unwrap_or(self.measure_start);
        let mut latest = last;
        for change in self.checker.changes.iter().filter(|change| change.settled_at <= last) {
            latest = latest.max(change.in_force_at?);
        }
        for process in &self.checker.catching_up {
            if self.checker.processes[*process].catching_up.is_some_and(|(since, _)| since <= last) {
                return None;
            }
        }
        let catch_up_times =
            self.checker.caught_up.iter().filter(|(since, _)| *since <= last).map(|(_, at)| *at);
        Some((catch_up_times.max().unwrap_or(last).max(latest) - last) as f64 / 1e9)
    }

    /// Members in the summary of the root at the end, and exceptions, listed or only counted.
    fn summary_at_end(&self) -> (u32, u32) {
        let root = self.root().and_then(|at| Some((at, self.processes[at].node.as_ref()?)));
        root.map_or((0, 0), |(at, node)| {
            let summary = node.summary(self.processes[at].clock.local_time(self.end));
            (summary.members, summary.exceptions.len() as u32 + summary.unnamed)
        })
    }

    /// Role for the traffic report: a control machine that ever published counts as publisher for the whole
    /// run.
    fn reported_role(&self, process: usize) -> &'static str {
        match self.role(process) {
            "control" if self.processes[process].has_published => "publisher",
            role => role,
        }
    }

    fn traffic(&self) -> BTreeMap<String, Traffic> {
        let mut all: BTreeMap<String, Traffic> = BTreeMap::new();
        let processes = (0..self.processes.len()).map(|process| {
            let children = self.processes[process].node.as_ref().map_or(0, TreeNode::child_count);
            (
                self.reported_role(process),
                self.placements[process].name.clone(),
                &self.processes[process].meter,
                children,
            )
        });
        let voters = (0..self.voter_meters.len())
            .map(|at| ("voter", format!("voter-{at}"), &self.voter_meters[at], 0usize));
        for (role, name, meter, children) in processes.chain(voters) {
            let traffic = all.entry(role.into()).or_default();
            self.add_traffic(traffic, name, meter, children);
        }
        for traffic in all.values_mut() {
            let process_seconds = traffic.processes as f64 * self.plan.seconds;
            for sum in
                [&mut traffic.frames, &mut traffic.headers, &mut traffic.heartbeats, &mut traffic.messages]
            {
                *sum /= process_seconds;
            }
        }
        all
    }

    fn add_traffic(&self, traffic: &mut Traffic, name: String, meter: &Meter, children: usize) {
        let Flow { frames, headers, .. } = meter.heartbeat_traffic(self.end);
        let Meter { sent, received, .. } = meter;
        traffic.processes += 1;
        traffic.frames += (sent.frames + received.frames) as f64;
        traffic.headers += (sent.headers + received.headers) as f64;
        traffic.heartbeats += (frames + headers) as f64;
        traffic.messages += (sent.messages + received.messages) as f64;
        traffic.over_limit += usize::from(meter.peak_bytes > PROXY_BYTE_LIMIT);
        traffic.children = traffic.children.max(children);
        if meter.peak_bytes > traffic.worst {
            (traffic.worst, traffic.worst_of) = (meter.peak_bytes, name);
            traffic.worst_at = meter.peak_at.saturating_sub(self.measure_start) as f64 / 1e9;
        }
    }

    fn cost(&self, started: Instant) -> RunCost {
        let mut processes: BTreeMap<&str, usize> = BTreeMap::new();
        let mut memory: BTreeMap<String, f64> = BTreeMap::new();
        for process in 0..self.processes.len() {
            // Uses the role at the end of the run: only one control machine publishes at a time.
            *processes.entry(self.role(process)).or_default() += 1;
            if let Some(node) = &self.processes[process].node {
                *memory.entry(self.role(process).into()).or_default() += node_state_bytes(node) as f64;
            }
        }
        processes.insert("voter", self.voters.len());
        for (role, sum) in &mut memory {
            *sum /= processes.get(role.as_str()).copied().unwrap_or(1) as f64;
        }
        let decisions = self.sampled_cpu.iter().map(|(role, (sampled_cpu, timed))| {
            let calls = self.decision_counts.get(role).copied().unwrap_or(0) as f64;
            let seconds_per_call = sampled_cpu.as_secs_f64() / (*timed).max(1) as f64;
            let count = processes.get(role).copied().unwrap_or(1).max(1) as f64;
            (role.to_string(), 1e6 * seconds_per_call * calls / count / self.plan.seconds)
        });
        RunCost {
            seed: self.seed,
            seconds: started.elapsed().as_secs_f64(),
            events: self.event_count,
            decisions: decisions.collect(),
            memory,
            resident: resident_bytes(),
        }
    }
}

/// Estimated bytes of the state of a node: resources are held in a map by name and in a map by version, those
/// in scope of the process in a third one.
fn node_state_bytes(node: &TreeNode) -> usize {
    let resources = node.resources().map(|resource| {
        let scope = match &resource.scope {
            Scope::Fleet => 0,
            Scope::Region(name) | Scope::Zone(name) | Scope::Site(name) => name.len(),
            Scope::Proxy(site, name) => site.len() + name.len(),
        };
        let keys = scope + resource.name.len();
        resource.patch.as_ref().map_or(0, |patch| patch.len()) + 4 * keys + 3 * MAP_ENTRY_BYTES
    });
    size_of::<TreeNode>() + resources.sum::<usize>() + node.child_count() * CHILD_STATE_BYTES
}

/// Resident memory of this process in bytes, by pages of 4096; 0 where /proc is missing.
fn resident_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: u64 = text.split(' ').nth(1).and_then(|pages| pages.parse().ok()).unwrap_or(0);
    pages * 4096
}
