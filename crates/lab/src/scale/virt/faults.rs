//! What goes wrong by the plan: processes that die, stop or start again, regions and links that are cut.

use super::super::agree::Control;
use super::super::fleet::{self};
use super::super::plan::{Disk, Fault, Kind};
use super::super::truth::Applied;
use super::hosts::Acts;
use super::{Event, LEAST, Link, LinkId, MILLI, SECOND, World};
use pumicebay_carrier::{Nanos, TreeNode, Version};
use rand::RngExt;
use rand::seq::IndexedRandom;

impl World<'_> {
    pub(super) fn named(&self, fault: &Fault) -> Option<usize> {
        let (kind, number) = fault.who.as_deref()?.rsplit_once('-')?;
        let number: usize = number.parse().ok()?;
        Some(if kind == "control" { number } else { self.plan.control + number })
    }

    pub(super) fn half_site(&self, fault: &Fault) -> Vec<usize> {
        let site = fault.site.unwrap_or_default();
        let all: Vec<usize> =
            (self.plan.control..self.procs.len()).filter(|who| self.sites[*who].site == site).collect();
        // Every other one, relays among them.
        all.into_iter().step_by(2).collect()
    }

    pub(super) fn fault_begins(&mut self, number: usize) {
        let plan = self.plan;
        let fault = &plan.faults[number];
        let who = self.named(fault).or_else(|| self.root());
        let whom: Vec<usize> = match fault.kind {
            Kind::Dies | Kind::SlowChild | Kind::Stall | Kind::Refused => who.into_iter().collect(),
            Kind::HalfSite => self.half_site(fault),
            Kind::ControlGone => (0..plan.control).collect(),
            Kind::ZoneReconnects => (plan.control..self.procs.len())
                .filter(|who| Some(self.sites[*who].zone) == fault.zone)
                .collect(),
            Kind::RegionCut | Kind::Burst => Vec::new(),
        };
        self.hit.insert(number, whom.clone());
        match fault.kind {
            Kind::Dies if fault.amid => whom.into_iter().for_each(|who| self.procs[who].dies_amid = true),
            Kind::Dies | Kind::HalfSite | Kind::ControlGone => {
                self.deaths += 1;
                whom.into_iter().for_each(|who| self.dies(who, fault.silent));
                if fault.kind == Kind::ControlGone {
                    self.procs.iter_mut().for_each(|one| one.orphan = None);
                }
            }
            Kind::SlowChild => {
                for who in whom {
                    self.procs[who].slow = true;
                    self.truth.lost(who);
                    if let Some(id) = self.procs[who].up {
                        self.falls_silent(id);
                    }
                }
            }
            Kind::Stall => {
                self.deaths += 1;
                for who in whom {
                    self.procs[who].stalled = true;
                    self.truth.lost(who);
                    let down: Vec<LinkId> = self.procs[who].down.iter().copied().collect();
                    self.orphan(&down);
                    down.into_iter().chain(self.procs[who].up).for_each(|id| self.falls_silent(id));
                }
            }
            Kind::Refused => {
                let key = *self.groups[0].choose(&mut self.random).unwrap_or(&0);
                let next = Version { number: self.truth.settled.number + 1, ..self.truth.settled };
                whom.into_iter().for_each(|who| self.truth.seen[who].refuses = Some((key, next)));
                self.offer_at(self.now + MILLI, key);
            }
            Kind::ZoneReconnects => {
                for who in whom {
                    let at = self.now + self.random.random_range(0..SECOND);
                    self.at(at, Event::Resets(who));
                }
            }
            Kind::RegionCut => {
                let Some(region) = fault.region else { return };
                self.cut[region] = true;
                (plan.control..self.procs.len())
                    .filter(|who| self.sites[*who].region == region)
                    .for_each(|who| self.truth.lost(who));
                let crossing = |id: &LinkId| {
                    let Link { child, parent, child_open, parent_open, .. } = self.links[*id as usize];
                    (child_open || parent_open) && self.cut_between(self.spot(child), self.spot(parent))
                };
                let all: Vec<LinkId> = (0..self.links.len() as LinkId).filter(crossing).collect();
                all.into_iter().for_each(|id| self.falls_silent(id));
            }
            Kind::Burst => {}
        }
    }

    pub(super) fn fault_ends(&mut self, number: usize) {
        let fault = &self.plan.faults[number];
        let whom = self.hit.remove(&number).unwrap_or_default();
        match fault.kind {
            Kind::Dies | Kind::HalfSite | Kind::ControlGone => {
                for who in whom {
                    self.procs[who].dies_amid = false;
                    self.starts(who, fault.disk);
                }
            }
            Kind::SlowChild => {
                for who in whom {
                    self.procs[who].slow = false;
                    self.truth.back(self.now, who);
                }
            }
            Kind::Stall => {
                for who in whom {
                    self.procs[who].stalled = false;
                    self.truth.back(self.now, who);
                    for event in std::mem::take(&mut self.procs[who].backlog) {
                        self.happens(event);
                    }
                    // Times that came while it was stopped.
                    self.procs[who].wake = Nanos::MAX;
                    self.schedule(who);
                    if who < self.plan.control {
                        self.controls[who].wake = self.now;
                        self.asker(who);
                        if self.controls[who].publisher.is_some() {
                            self.publisher(who, |publisher, now, host| publisher.tick(now, host));
                        }
                    }
                }
            }
            Kind::RegionCut => {
                let Some(region) = fault.region else { return };
                self.cut[region] = false;
                for who in self.plan.control..self.procs.len() {
                    let one = &self.procs[who];
                    if self.sites[who].region == region && one.node.is_some() && !one.stalled && !one.slow {
                        self.truth.back(self.now, who);
                    }
                }
            }
            Kind::Refused | Kind::Burst | Kind::ZoneReconnects => {}
        }
    }

    pub(super) fn orphan(&mut self, links: &[LinkId]) {
        for id in links {
            let child = self.links[*id as usize].child;
            self.procs[child].orphan = Some(self.now);
        }
    }

    pub(super) fn dies(&mut self, who: usize, silent: bool) {
        if self.procs[who].node.take().is_none() {
            return;
        }
        self.truth.lost(who);
        let one = &mut self.procs[who];
        (one.vanished, one.orphan, one.dies_amid) = (silent, None, false);
        one.backlog.clear();
        let (up, down) = (one.up.take(), std::mem::take(&mut one.down));
        let down: Vec<LinkId> = down.into_iter().collect();
        self.orphan(&down);
        for (id, child) in down.iter().map(|id| (*id, false)).chain(up.map(|id| (id, true))) {
            if silent {
                self.falls_silent(id);
            }
            self.close(id, child);
        }
        if who < self.plan.control {
            self.stop_publishing(who);
            self.controls[who].token = None;
        }
    }

    pub(super) fn starts(&mut self, who: usize, disk: Disk) {
        if self.procs[who].node.is_some() {
            return;
        }
        let one = &mut self.procs[who];
        one.life += 1;
        let life = one.life;
        one.clock.origin = self.now;
        (one.wake, one.ticked, one.vanished, one.stalled) = (Nanos::MAX, self.now, false, false);
        match disk {
            Disk::Kept => {}
            Disk::Empty => one.disk = None,
            Disk::Old => one.disk = one.old.clone(),
        }
        let kept = one.disk.clone();
        one.holds = kept.as_ref().map_or(Version::default(), |kept| kept.version);
        let now = one.clock.local(self.now);
        let terms = fleet::terms(self.plan, &self.sites, who, life);
        let mut host = Acts { acts: Vec::new(), random: &mut self.random, keeps: one.keeps };
        one.node = Some(TreeNode::start(now, terms, kept, &mut host));
        let acts = host.acts;
        let seen = &mut self.truth.seen[who];
        (seen.applied, seen.born) = (Applied::default(), self.now);
        if !self.cut[self.sites[who].region] {
            self.truth.back(self.now, who);
        }
        for act in acts {
            self.act(who, act);
        }
        self.schedule(who);
        if who < self.plan.control {
            let good = who % self.plan.voters;
            self.controls[who] = Control::new(self.plan, now, &self.sites[who].name, life, good);
            self.controls[who].wake = self.now + LEAST;
            self.at(self.now + LEAST, Event::Asker(who));
        }
    }

    /// The link to the parent is reset.
    pub(super) fn resets(&mut self, who: usize) {
        if self.procs[who].node.is_some()
            && let Some(id) = self.procs[who].up
        {
            self.close(id, true);
            self.gone_at(id, true);
        }
    }
}
