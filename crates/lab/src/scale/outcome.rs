//! What came of a play in virtual time, taken together.

use super::meter::{Flow, Meter};
use super::report::{Cost, Found, LIMIT, Traffic, times};
use super::truth::AIM;
use super::virt::World;
use pumicebay_carrier::{Nanos, Scope, TreeNode};
use std::collections::BTreeMap;
use std::time::Instant;

/// What a map's entry and an allocation take beside what is in them, about.
const ENTRY: usize = 120;
/// What is known of a child, without names.
const CHILD: usize = 700;

impl World<'_> {
    pub(super) fn outcome(&self, started: Instant) -> (Found, Cost) {
        let plan = self.plan;
        let seconds = |from: Nanos, to: Nanos| to.saturating_sub(from) as f64 / 1e9;
        let measured: Vec<_> = self.truth.changes.iter().filter(|change| change.measured).collect();
        let mut from_offer: Vec<f64> = Vec::new();
        let (mut in_force, mut told) = (Vec::new(), Vec::new());
        for change in &measured {
            if let Some(done) = change.done {
                from_offer.push(seconds(change.offered, done));
                in_force.push(seconds(change.settled, done));
            }
            told.extend(change.told.map(|at| seconds(change.settled, at)));
        }
        let late = |all: &[f64]| all.iter().filter(|time| **time > AIM).count();
        let late = (late(&from_offer), late(&in_force));
        // What was settled a moment before the end had no time.
        let old = |settled: Nanos| settled + (AIM * 1e9) as Nanos <= self.end;
        let not_done = measured.iter().filter(|change| change.done.is_none() && old(change.settled)).count();
        let not_told = measured.iter().filter(|change| change.told.is_none() && old(change.settled)).count();
        let caught = |(since, at): &(Nanos, Nanos)| seconds(*since, *at);
        let mut caught_up: Vec<f64> = self.truth.caught_up.iter().map(caught).collect();
        let found = Found {
            seed: self.seed,
            proxies: plan.proxies,
            relays_per_site: plan.relays_per_site,
            seconds: plan.seconds,
            changes: measured.len(),
            from_offer: times(&mut from_offer),
            in_force: times(&mut in_force),
            told: times(&mut told),
            late,
            unfinished: (not_done, not_told),
            turned_away: self.answered_full,
            unanswered: self.offers_again,
            calls: self.calls_made,
            sum_at_end: self.sum_at_end(),
            traffic: self.traffic(),
            orphans: times(&mut self.orphans.clone()),
            herd: self.herd.values().copied().max().unwrap_or(0),
            caught_up: times(&mut caught_up),
            converged: self.converged(),
            refusals_named: self.truth.refusal_named.len(),
            wrong: self.truth.wrong.clone(),
        };
        (found, self.cost(started))
    }

    /// From when the last fault was undone until everybody that can be reached has what was settled by then.
    fn converged(&self) -> Option<f64> {
        let ends =
            self.plan.faults.iter().map(|fault| self.begin + ((fault.at + fault.seconds) * 1e9) as Nanos);
        let last = ends.max().unwrap_or(self.begin);
        let mut latest = last;
        for change in self.truth.changes.iter().filter(|change| change.settled <= last) {
            latest = latest.max(change.done?);
        }
        for who in &self.truth.backs {
            if self.truth.seen[*who].back.is_some_and(|(since, _)| since <= last) {
                return None;
            }
        }
        let caught = self.truth.caught_up.iter().filter(|(since, _)| *since <= last).map(|(_, at)| *at);
        Some((caught.max().unwrap_or(last).max(latest) - last) as f64 / 1e9)
    }

    /// Of the root: members, and exceptions, named or not.
    fn sum_at_end(&self) -> (u32, u32) {
        let root = self.root().and_then(|at| Some((at, self.procs[at].node.as_ref()?)));
        root.map_or((0, 0), |(at, node)| {
            let sum = node.summary(self.procs[at].clock.local(self.end));
            (sum.members, sum.exceptions.len() as u32 + sum.unnamed)
        })
    }

    /// A control machine that has published is counted as publisher, all the while.
    fn lasting_role(&self, who: usize) -> &'static str {
        match self.role(who) {
            "control" if self.procs[who].published => "publisher",
            role => role,
        }
    }

    fn traffic(&self) -> BTreeMap<String, Traffic> {
        let mut all: BTreeMap<String, Traffic> = BTreeMap::new();
        let procs = (0..self.procs.len()).map(|who| {
            let children = self.procs[who].node.as_ref().map_or(0, TreeNode::child_count);
            (self.lasting_role(who), self.sites[who].name.clone(), &self.procs[who].meter, children)
        });
        let voters = (0..self.voter_meters.len())
            .map(|at| ("voter", format!("voter-{at}"), &self.voter_meters[at], 0usize));
        for (role, name, meter, children) in procs.chain(voters) {
            let traffic = all.entry(role.into()).or_default();
            self.count(traffic, name, meter, children);
        }
        for traffic in all.values_mut() {
            let each = traffic.processes as f64 * self.plan.seconds;
            for sum in [&mut traffic.frames, &mut traffic.headers, &mut traffic.beats, &mut traffic.messages]
            {
                *sum /= each;
            }
        }
        all
    }

    fn count(&self, traffic: &mut Traffic, name: String, meter: &Meter, children: usize) {
        let Flow { frames, headers, .. } = meter.beaten(self.end);
        let Meter { sent, received, .. } = meter;
        traffic.processes += 1;
        traffic.frames += (sent.frames + received.frames) as f64;
        traffic.headers += (sent.headers + received.headers) as f64;
        traffic.beats += (frames + headers) as f64;
        traffic.messages += (sent.messages + received.messages) as f64;
        traffic.over += usize::from(meter.worst > LIMIT);
        traffic.children = traffic.children.max(children);
        if meter.worst > traffic.worst {
            (traffic.worst, traffic.worst_of) = (meter.worst, name);
            traffic.worst_at = meter.worst_at.saturating_sub(self.begin) as f64 / 1e9;
        }
    }

    fn cost(&self, started: Instant) -> Cost {
        let mut processes: BTreeMap<&str, usize> = BTreeMap::new();
        let mut memory: BTreeMap<String, f64> = BTreeMap::new();
        for who in 0..self.procs.len() {
            // Whoever publishes is one at a time.
            *processes.entry(self.role(who)).or_default() += 1;
            if let Some(node) = &self.procs[who].node {
                *memory.entry(self.role(who).into()).or_default() += state(node) as f64;
            }
        }
        processes.insert("voter", self.seats.len());
        for (role, sum) in &mut memory {
            *sum /= processes.get(role.as_str()).copied().unwrap_or(1) as f64;
        }
        let decisions = self.spent.iter().map(|(role, (spent, timed))| {
            let calls = self.measured_calls.get(role).copied().unwrap_or(0) as f64;
            let each = spent.as_secs_f64() / (*timed).max(1) as f64;
            let count = processes.get(role).copied().unwrap_or(1).max(1) as f64;
            (role.to_string(), 1e6 * each * calls / count / self.plan.seconds)
        });
        Cost {
            seed: self.seed,
            seconds: started.elapsed().as_secs_f64(),
            events: self.events,
            decisions: decisions.collect(),
            memory,
            resident: resident(),
        }
    }
}

/// In bytes, about: resources stand in a map by name and in one by version, those that concern the process in one more.
fn state(node: &TreeNode) -> usize {
    let resources = node.resources().map(|resource| {
        let scope = match &resource.scope {
            Scope::Fleet => 0,
            Scope::Region(name) | Scope::Zone(name) | Scope::Site(name) => name.len(),
            Scope::Proxy(site, name) => site.len() + name.len(),
        };
        let keys = scope + resource.name.len();
        resource.patch.as_ref().map_or(0, |patch| patch.len()) + 4 * keys + 3 * ENTRY
    });
    size_of::<TreeNode>() + resources.sum::<usize>() + node.child_count() * CHILD
}

fn resident() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: u64 = text.split(' ').nth(1).and_then(|pages| pages.parse().ok()).unwrap_or(0);
    pages * 4096
}
