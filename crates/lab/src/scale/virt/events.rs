//! The event loop of processes: what happens to whom, and what their nodes ask for.

use super::super::fleet::{self, Role};
use super::super::truth::Applied;
use super::hosts::{Act, Acts};
use super::{Event, LEAST, LOOK, LinkId, SAMPLED, World, size};
use pumicebay_carrier::{ChildId, Nanos, ParentMessage, Resource, TreeNode, Version};
use rand::RngExt;
use std::cmp::Reverse;
use std::time::Instant;

impl World<'_> {
    pub(super) fn at(&mut self, at: Nanos, event: Event) {
        self.last += 1;
        let slot = match self.free.pop() {
            Some(slot) => {
                self.slots[slot as usize] = event;
                slot
            }
            None => {
                self.slots.push(event);
                (self.slots.len() - 1) as u32
            }
        };
        self.heap.push(Reverse((at, self.last, slot)));
    }

    /// Whose turn an event is, where that process may be stopped.
    pub(super) fn whose(&self, event: &Event) -> Option<usize> {
        let link = |link: &LinkId| &self.links[*link as usize];
        match event {
            Event::Wake(who) | Event::InForce(who, ..) | Event::Kept(who, ..) => Some(*who),
            Event::Called(id) | Event::Gone(id, false) | Event::Up(id, _) | Event::Silent(id, false) => {
                Some(link(id).parent)
            }
            Event::Connected(id) | Event::Gone(id, true) | Event::Down(id, _) | Event::Silent(id, true) => {
                Some(link(id).child)
            }
            Event::Asker(at) | Event::Publisher(at) | Event::Again(at, ..) => Some(*at),
            Event::Answer(answer) => self.by_name.get(&answer.id.process.name).copied(),
            _ => None,
        }
    }

    pub(super) fn happens(&mut self, event: Event) {
        if let Some(who) = self.whose(&event)
            && self.procs[who].stalled
        {
            return self.procs[who].backlog.push_back(event);
        }
        match event {
            Event::None => {}
            Event::Wake(who) => self.woke(who),
            Event::Called(id) => self.called(id),
            Event::Connected(id) => self.connected(id),
            Event::Gone(id, child) => self.gone(id, child),
            Event::Silent(id, child) => {
                if self.silenced(id) {
                    self.close(id, child);
                    self.gone_at(id, child);
                }
            }
            Event::Up(id, message) => {
                let (parent, open) = (self.links[id as usize].parent, self.links[id as usize].parent_open);
                if open {
                    self.received(parent, size(&message));
                    self.node(parent, |node, now, host| {
                        node.child_message(now, ChildId::from(id), message, host)
                    });
                    self.confirm(parent);
                }
            }
            Event::Down(id, message) => {
                let (child, open) = (self.links[id as usize].child, self.links[id as usize].child_open);
                if open {
                    self.received(child, size(&message));
                    self.node(child, |node, now, host| node.parent_message(now, message, host));
                }
            }
            Event::InForce(who, life, version, applied, refused) => {
                if self.procs[who].life == life && self.procs[who].node.is_some() {
                    self.truth.in_force(self.now, who, applied);
                    self.node(who, |node, now, host| node.applied(now, version, refused, host));
                }
            }
            Event::Kept(who, life, kept) => {
                if self.procs[who].life == life && self.procs[who].node.is_some() {
                    let version = kept.version;
                    if self.procs[who].keeps {
                        self.procs[who].disk = Some(kept);
                    }
                    self.node(who, |node, now, host| node.persisted(now, version, host));
                    self.confirm(who);
                }
            }
            Event::Vote(to, from, message) => {
                let at = to as usize - 1;
                self.voter_received(at, size(&message));
                self.voter(at, |voter, now, acts| voter.message_received(now, from, message, acts));
            }
            Event::Ask(at, ask) => {
                self.voter_received(at, size(&ask));
                self.voter(at, |voter, now, acts| voter.submit(now, ask, acts));
            }
            Event::Voter(at) => self.voter(at, |voter, now, acts| voter.timer_fired(now, acts)),
            Event::Answer(answer) => self.answered(answer),
            Event::Asker(at) => self.asker(at),
            Event::Publisher(at) => {
                if self.controls[at].publisher_wake == self.now {
                    self.controls[at].publisher_wake = Nanos::MAX;
                    self.publisher(at, |publisher, now, host| publisher.tick(now, host));
                }
            }
            Event::Again(at, life, number, to) => {
                if self.procs[at].life == life {
                    self.again(at, number, to);
                }
            }
            Event::Begins(number) => self.fault_begins(number),
            Event::Ends(number) => self.fault_ends(number),
            Event::Dies(who, silent) => self.dies(who, silent),
            Event::Starts(who, disk) => self.starts(who, disk),
            Event::Resets(who) => self.resets(who),
            Event::Offer(number) => self.offer(number),
            Event::Poll => self.poll(),
            Event::Look => {
                let sites = &self.sites;
                self.truth.look(self.now, &|who, scope| fleet::concerns(&sites[who], scope));
                self.at(self.now + LOOK, Event::Look);
            }
            Event::Measure => {
                let now = self.now;
                self.procs.iter_mut().for_each(|one| one.meter.begin(now));
                self.voter_meters.iter_mut().for_each(|meter| meter.begin(now));
                self.spent.clear();
                self.measured_calls.clear();
                self.truth.caught_up.clear();
                self.orphans.clear();
                self.calls_made = 0;
                self.herd.clear();
                for who in 0..self.procs.len() {
                    self.procs[who].old = self.procs[who].disk.clone();
                }
            }
        }
    }

    pub(super) fn woke(&mut self, who: usize) {
        let one = &mut self.procs[who];
        if one.wake != self.now {
            return;
        }
        one.wake = Nanos::MAX;
        let Some(node) = &one.node else { return };
        if node.due() <= one.clock.local(self.now) {
            one.ticked = self.now;
            self.node(who, |node, now, host| node.tick(now, host));
        } else {
            self.schedule(who);
        }
    }

    pub(in crate::scale) fn role(&self, who: usize) -> &'static str {
        match self.sites[who].role {
            Role::Proxy => "proxy",
            Role::Relay => "relay",
            Role::Control if self.controls[who].publisher.is_some() => "publisher",
            Role::Control => "control",
        }
    }

    /// Something happens to a process's node; what it asks for is carried out.
    pub(super) fn node(&mut self, who: usize, what: impl FnOnce(&mut TreeNode, Nanos, &mut Acts)) {
        self.calls += 1;
        let timed = self.calls.is_multiple_of(SAMPLED) && self.now >= self.begin;
        let one = &mut self.procs[who];
        let now = one.clock.local(self.now);
        let Some(node) = &mut one.node else { return };
        let mut host = Acts { acts: Vec::new(), random: &mut self.random, keeps: one.keeps };
        let started = timed.then(Instant::now);
        what(node, now, &mut host);
        let took = started.map(|started| started.elapsed());
        let acts = host.acts;
        let holds = node.version();
        if holds < one.holds {
            self.truth.wrong.went_back += 1;
            let words = format!("{} holds {holds} after {}", self.sites[who].name, one.holds);
            self.truth.wrong.note(words);
        }
        one.holds = holds;
        let role = self.role(who);
        *self.measured_calls.entry(role).or_default() += 1;
        if let Some(took) = took {
            let (spent, count) = self.spent.entry(role).or_default();
            (*spent, *count) = (*spent + took, *count + 1);
        }
        for act in acts {
            self.act(who, act);
        }
        self.schedule(who);
    }

    pub(super) fn schedule(&mut self, who: usize) {
        let one = &mut self.procs[who];
        let Some(node) = &one.node else { return };
        let due = node.due();
        if due == Nanos::MAX {
            return;
        }
        let due = one.clock.truth(due).max(self.now + 1).max(one.ticked + LEAST);
        if due < one.wake {
            one.wake = due;
            self.at(due, Event::Wake(who));
        }
    }

    pub(super) fn act(&mut self, who: usize, act: Act) {
        if self.procs[who].node.is_none() {
            return;
        }
        match act {
            Act::Dial(parent) => self.dial(who, &parent),
            Act::HangUp => {
                if let Some(id) = self.procs[who].up.take() {
                    self.close(id, true);
                }
            }
            Act::Drop(child) => self.close(child as LinkId, false),
            Act::Up(message) => {
                if let Some(id) = self.procs[who].up {
                    self.send(id, true, size(&message), Event::Up(id, message));
                }
            }
            Act::Down(child, message) => {
                let id = child as LinkId;
                let amid = self.procs[who].dies_amid && matches!(message, ParentMessage::Delta { .. });
                self.send(id, false, size(&message), Event::Down(id, message));
                if amid {
                    self.procs[who].dies_amid = false;
                    self.dies(who, false);
                }
            }
            Act::Force(version, resources) => self.put_in_force(who, version, resources),
            Act::Keep(kept) => {
                let took = (self.plan.disk_ms * 1e6 * self.random.random_range(0.7..1.5)) as Nanos;
                self.at(self.now + took + 1, Event::Kept(who, self.procs[who].life, kept));
            }
        }
    }

    pub(super) fn put_in_force(&mut self, who: usize, version: Version, resources: Vec<Resource>) {
        let mut applied = Applied { version, resources: Vec::with_capacity(resources.len()) };
        let mut refused = Vec::new();
        let refuses = self.truth.seen[who].refuses;
        for resource in resources {
            // Resources are named by their number.
            let Some(key) = resource.name.strip_prefix('r').and_then(|number| number.parse().ok()) else {
                continue;
            };
            let mut in_force = resource.version;
            if let Some((no, from)) = refuses
                && no == key as usize
                && resource.version >= from
            {
                let before = &self.truth.seen[who].applied.resources;
                let before = before.iter().find(|(had, _)| *had == key);
                in_force = before.map_or(Version::default(), |(_, version)| *version);
                refused.push((resource.scope, resource.name, "refused by the play".into()));
            }
            applied.resources.push((key, in_force));
        }
        applied.resources.sort_unstable();
        let took = (self.plan.apply_ms * 1e6 * self.random.random_range(0.5..1.5)) as Nanos;
        let life = self.procs[who].life;
        self.at(self.now + took + 1, Event::InForce(who, life, version, applied, refused));
    }
}
