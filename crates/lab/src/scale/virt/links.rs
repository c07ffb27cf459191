//! Links between processes: connections, delays, loss, and failures that are detected by missing heartbeats.

use super::super::fleet::{self, Endpoint};
use super::super::meter::{HANDSHAKE_SEGMENTS, HELLO_BYTES, segments};
use super::{Event, HEARTBEAT_INTERVAL, Link, LinkId, SECOND, SILENCE_TIMEOUT, SimulatedProcess, Simulation};
use pumicebay_carrier::{ChildId, Nanos};
use rand::RngExt;

impl Simulation<'_> {
    /// Network location of a process.
    pub(super) fn endpoint(&self, process: usize) -> Endpoint {
        fleet::endpoint(&self.placements[process])
    }

    /// Whether a partition separates the two.
    pub(super) fn is_partitioned(&self, first: Endpoint, second: Endpoint) -> bool {
        first.region != second.region && (self.partitioned[first.region] || self.partitioned[second.region])
    }

    /// Whether heartbeats are missing on a link.
    pub(super) fn is_silent(&self, id: LinkId) -> bool {
        let link = &self.links[id as usize];
        let (child, parent) = (&self.processes[link.child], &self.processes[link.parent]);
        let mute = |state: &SimulatedProcess| state.stalled || state.died_silently;
        // The other end may have closed the link without a notification.
        !link.child_open
            || !link.parent_open
            || mute(child)
            || mute(parent)
            || child.slow
            || self.is_partitioned(self.endpoint(link.child), self.endpoint(link.parent))
    }

    /// Draws the one-way delay of a message.
    pub(super) fn transit_time(&mut self, from: Endpoint, to: Endpoint, segments: u64) -> Nanos {
        fleet::transit_time(self.plan, from, to, segments, &mut self.random)
    }

    /// Connects a process to a parent; the handshake takes three one-way delays.
    pub(super) fn connect_parent(&mut self, process: usize, parent: &str) {
        let Some(&parent) = self.index_by_name.get(parent) else { return };
        self.parent_dials += 1;
        let id = self.links.len() as LinkId;
        self.links.push(Link {
            child: process,
            parent,
            child_open: true,
            dialed_at: self.now,
            ..Link::default()
        });
        self.processes[process].parent_link = Some(id);
        let (here, there) = (self.endpoint(process), self.endpoint(parent));
        let transit = 3 * self.transit_time(here, there, 1);
        self.schedule(self.now + transit, Event::DialArrived(id));
    }

    /// Accepts a connection with its hello at the parent, or fails it: at once if the parent is dead, by
    /// timeout if it is silent.
    pub(super) fn dial_arrived(&mut self, id: LinkId) {
        let Link { child, parent, child_open, dialed_at, .. } = self.links[id as usize];
        let fails = |simulation: &mut Simulation, at: Nanos| {
            let at = at.max(simulation.now + 1);
            simulation.schedule(at, Event::LinkClosed(id, true));
        };
        if !child_open {
            return;
        }
        let (here, there) = (self.endpoint(parent), self.endpoint(child));
        let silent = self.is_partitioned(here, there)
            || self.processes[child].slow
            || self.processes[parent].died_silently;
        if silent {
            return fails(self, dialed_at + SILENCE_TIMEOUT);
        }
        let transit = self.transit_time(here, there, 1);
        if self.processes[parent].node.is_none() {
            return fails(self, self.now + transit);
        }
        let now = self.now;
        for process in [child, parent] {
            let meter = &mut self.processes[process].meter;
            meter.record_sent(now, HELLO_BYTES, HANDSHAKE_SEGMENTS);
            meter.record_received(now, HELLO_BYTES, HANDSHAKE_SEGMENTS - 1);
        }
        let link = &mut self.links[id as usize];
        (link.parent_open, link.last_up_arrival, link.last_down_arrival) = (true, now, now + transit);
        self.processes[parent].child_links.insert(id);
        self.processes[parent].meter.link_changed(now, true);
        self.schedule(now + transit, Event::Connected(id));
        self.with_node(parent, |node, now, host| node.child_connected(now, ChildId::from(id), host));
    }

    /// The connection is established at the child.
    pub(super) fn connected(&mut self, id: LinkId) {
        let Link { child, parent, child_open, .. } = self.links[id as usize];
        if !child_open || self.is_silent(id) {
            return;
        }
        self.links[id as usize].connected = true;
        self.processes[child].meter.link_changed(self.now, true);
        if let Some(since) = self.processes[child].orphaned_at.take() {
            self.reparent_seconds.push((self.now - since) as f64 / 1e9);
            *self.herd.entry((self.parent_failures, parent)).or_default() += 1;
        }
        self.with_node(child, |node, now, host| node.parent_connected(now, host));
    }

    /// Closes one end of a link, and notifies the other end if it can be reached.
    pub(super) fn close(&mut self, id: LinkId, child: bool) {
        let link = &mut self.links[id as usize];
        let open = if child { &mut link.child_open } else { &mut link.parent_open };
        if !std::mem::replace(open, false) {
            return;
        }
        let was_connected = link.connected;
        let (own, other) = if child { (link.child, link.parent) } else { (link.parent, link.child) };
        let other_open = if child { link.parent_open } else { link.child_open };
        let last = if child { link.last_up_arrival } else { link.last_down_arrival };
        if child {
            if self.processes[own].parent_link == Some(id) {
                self.processes[own].parent_link = None;
            }
            if was_connected {
                self.processes[own].meter.link_changed(self.now, false);
            }
        } else {
            self.processes[own].child_links.remove(&id);
            self.processes[own].meter.link_changed(self.now, false);
        }
        let (here, there) = (self.endpoint(own), self.endpoint(other));
        if other_open && !self.is_partitioned(here, there) && !self.processes[own].died_silently {
            let transit = self.transit_time(here, there, 1);
            self.schedule((self.now + transit).max(last + 1), Event::LinkClosed(id, !child));
        }
    }

    /// Handles the notification that the other end closed the link.
    pub(super) fn close_arrived(&mut self, id: LinkId, child: bool) {
        let Link { child: below, parent, child_open, parent_open, .. } = self.links[id as usize];
        let open = if child { child_open } else { parent_open };
        if !open
            || (self.links[id as usize].connected
                && self.is_partitioned(self.endpoint(below), self.endpoint(parent)))
        {
            return;
        }
        self.close(id, child);
        self.notify_closed(id, child);
    }

    /// Tells the node at one end that its link is closed.
    pub(super) fn notify_closed(&mut self, id: LinkId, child: bool) {
        let Link { child: below, parent, .. } = self.links[id as usize];
        if child {
            self.with_node(below, |node, now, host| node.parent_disconnected(now, host));
        } else {
            self.with_node(parent, |node, now, host| node.child_disconnected(now, ChildId::from(id), host));
        }
    }

    /// Schedules the heartbeat timeouts of both ends of a link that became silent.
    pub(super) fn schedule_silence(&mut self, id: LinkId) {
        for child in [true, false] {
            let since = self.random.random_range(0..HEARTBEAT_INTERVAL);
            self.schedule(self.now + SILENCE_TIMEOUT - since, Event::LinkSilent(id, child));
        }
    }

    /// Sends a message on a link, in order; a partition loses it.
    pub(super) fn send(&mut self, id: LinkId, up: bool, bytes: usize, event: Event) {
        let Link { child, parent, child_open, parent_open, .. } = self.links[id as usize];
        let (from, to, open) = if up { (child, parent, child_open) } else { (parent, child, parent_open) };
        if !open {
            return;
        }
        let segments = segments(bytes);
        self.processes[from].meter.record_sent(self.now, bytes, segments);
        let (here, there) = (self.endpoint(from), self.endpoint(to));
        if self.is_partitioned(here, there) {
            return;
        }
        let mut at = self.now + self.transit_time(here, there, segments);
        let slow = !up && self.processes[child].slow;
        let link = &mut self.links[id as usize];
        let last = if up { &mut link.last_up_arrival } else { &mut link.last_down_arrival };
        at = at.max(*last + 1);
        if slow {
            at += bytes as Nanos * SECOND;
        }
        *last = at;
        self.schedule(at, event);
    }

    /// Counts a message at its receiver.
    pub(super) fn record_received(&mut self, process: usize, bytes: usize) {
        self.processes[process].meter.record_received(self.now, bytes, segments(bytes));
    }
}
