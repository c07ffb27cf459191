//! Links between processes: calls, delays, loss, cuts that are learned of by silence.

use super::super::fleet::{self, Spot};
use super::super::meter::{HELLO, OPENING, segments};
use super::{BEAT, Event, Link, LinkId, Proc, SECOND, SILENT, World};
use pumicebay_carrier::{ChildId, Nanos};
use rand::RngExt;

impl World<'_> {
    pub(super) fn spot(&self, who: usize) -> Spot {
        fleet::spot(&self.sites[who])
    }

    /// Whether a cut lies between them.
    pub(super) fn cut_between(&self, one: Spot, other: Spot) -> bool {
        one.region != other.region && (self.cut[one.region] || self.cut[other.region])
    }

    pub(super) fn silenced(&self, id: LinkId) -> bool {
        let link = &self.links[id as usize];
        let (child, parent) = (&self.procs[link.child], &self.procs[link.parent]);
        let mute = |one: &Proc| one.stalled || one.vanished;
        // The other end may be gone without a word.
        !link.child_open
            || !link.parent_open
            || mute(child)
            || mute(parent)
            || child.slow
            || self.cut_between(self.spot(link.child), self.spot(link.parent))
    }

    pub(super) fn way(&mut self, from: Spot, to: Spot, segments: u64) -> Nanos {
        fleet::way(self.plan, from, to, segments, &mut self.random)
    }

    pub(super) fn dial(&mut self, who: usize, parent: &str) {
        let Some(&parent) = self.by_name.get(parent) else { return };
        self.calls_made += 1;
        let id = self.links.len() as LinkId;
        self.links.push(Link { child: who, parent, child_open: true, called: self.now, ..Link::default() });
        self.procs[who].up = Some(id);
        let (here, there) = (self.spot(who), self.spot(parent));
        let way = 3 * self.way(here, there, 1);
        self.at(self.now + way, Event::Called(id));
    }

    /// The connection is there, and so is the hello.
    pub(super) fn called(&mut self, id: LinkId) {
        let Link { child, parent, child_open, called, .. } = self.links[id as usize];
        let fails = |world: &mut World, at: Nanos| {
            let at = at.max(world.now + 1);
            world.at(at, Event::Gone(id, true));
        };
        if !child_open {
            return;
        }
        let (here, there) = (self.spot(parent), self.spot(child));
        let silent = self.cut_between(here, there) || self.procs[child].slow || self.procs[parent].vanished;
        if silent {
            return fails(self, called + SILENT);
        }
        let way = self.way(here, there, 1);
        if self.procs[parent].node.is_none() {
            return fails(self, self.now + way);
        }
        let now = self.now;
        for who in [child, parent] {
            let meter = &mut self.procs[who].meter;
            meter.sends(now, HELLO, OPENING);
            meter.receives(now, HELLO, OPENING - 1);
        }
        let link = &mut self.links[id as usize];
        (link.parent_open, link.up, link.down) = (true, now, now + way);
        self.procs[parent].down.insert(id);
        self.procs[parent].meter.link(now, true);
        self.at(now + way, Event::Connected(id));
        self.node(parent, |node, now, host| node.child_connected(now, ChildId::from(id), host));
    }

    pub(super) fn connected(&mut self, id: LinkId) {
        let Link { child, parent, child_open, .. } = self.links[id as usize];
        if !child_open || self.silenced(id) {
            return;
        }
        self.links[id as usize].connected = true;
        self.procs[child].meter.link(self.now, true);
        if let Some(since) = self.procs[child].orphan.take() {
            self.orphans.push((self.now - since) as f64 / 1e9);
            *self.herd.entry((self.deaths, parent)).or_default() += 1;
        }
        self.node(child, |node, now, host| node.parent_connected(now, host));
    }

    /// This end takes the link for gone, and the other end is told unless it can't be.
    pub(super) fn close(&mut self, id: LinkId, child: bool) {
        let link = &mut self.links[id as usize];
        let open = if child { &mut link.child_open } else { &mut link.parent_open };
        if !std::mem::replace(open, false) {
            return;
        }
        let was_connected = link.connected;
        let (own, other) = if child { (link.child, link.parent) } else { (link.parent, link.child) };
        let other_open = if child { link.parent_open } else { link.child_open };
        let last = if child { link.up } else { link.down };
        if child {
            if self.procs[own].up == Some(id) {
                self.procs[own].up = None;
            }
            if was_connected {
                self.procs[own].meter.link(self.now, false);
            }
        } else {
            self.procs[own].down.remove(&id);
            self.procs[own].meter.link(self.now, false);
        }
        let (here, there) = (self.spot(own), self.spot(other));
        if other_open && !self.cut_between(here, there) && !self.procs[own].vanished {
            let way = self.way(here, there, 1);
            self.at((self.now + way).max(last + 1), Event::Gone(id, !child));
        }
    }

    pub(super) fn gone(&mut self, id: LinkId, child: bool) {
        let Link { child: below, parent, child_open, parent_open, .. } = self.links[id as usize];
        let open = if child { child_open } else { parent_open };
        if !open
            || (self.links[id as usize].connected && self.cut_between(self.spot(below), self.spot(parent)))
        {
            return;
        }
        self.close(id, child);
        self.gone_at(id, child);
    }

    /// This end is told that its link is gone.
    pub(super) fn gone_at(&mut self, id: LinkId, child: bool) {
        let Link { child: below, parent, .. } = self.links[id as usize];
        if child {
            self.node(below, |node, now, host| node.parent_disconnected(now, host));
        } else {
            self.node(parent, |node, now, host| node.child_disconnected(now, ChildId::from(id), host));
        }
    }

    /// Both ends, or the one that can notice, learn of silence on a link.
    pub(super) fn falls_silent(&mut self, id: LinkId) {
        for child in [true, false] {
            let since = self.random.random_range(0..BEAT);
            self.at(self.now + SILENT - since, Event::Silent(id, child));
        }
    }

    pub(super) fn send(&mut self, id: LinkId, up: bool, bytes: usize, event: Event) {
        let Link { child, parent, child_open, parent_open, .. } = self.links[id as usize];
        let (from, to, open) = if up { (child, parent, child_open) } else { (parent, child, parent_open) };
        if !open {
            return;
        }
        let segments = segments(bytes);
        self.procs[from].meter.sends(self.now, bytes, segments);
        let (here, there) = (self.spot(from), self.spot(to));
        if self.cut_between(here, there) {
            return;
        }
        let mut at = self.now + self.way(here, there, segments);
        let slow = !up && self.procs[child].slow;
        let link = &mut self.links[id as usize];
        let last = if up { &mut link.up } else { &mut link.down };
        at = at.max(*last + 1);
        if slow {
            at += bytes as Nanos * SECOND;
        }
        *last = at;
        self.at(at, event);
    }

    pub(super) fn received(&mut self, who: usize, bytes: usize) {
        self.procs[who].meter.receives(self.now, bytes, segments(bytes));
    }
}
