//! One process in the distribution tree: it has one parent at most, any number of children, and the resources
//! that it holds.

use crate::apply_state::ApplyState;
use crate::children::{Children, ServeContext, Subscriber};
use crate::fault_injection::{InjectedFault, is_injected};
use crate::message::{Attachment, ChildMessage, Exception, ExceptionKind, Member, ParentMessage, Summary};
use crate::parents::{ParentSelector, STALE_AGE};
use crate::resource::{Interest, Location, Name, Resource, Scope, Version, invalid_name};
use crate::store::{Snapshot, Store};
use crate::summary::{self, LATE_AFTER, MembershipChanges, OwnState};
use crate::{MILLISECOND, Nanos, SECOND};

/// Identifies the link of a child. The host assigns the numbers and never reuses one within a process.
pub type ChildId = u64;

/// What a [`TreeNode`] needs from the process that it runs in.
pub trait Host {
    /// Opens a connection to this parent; the result is reported by `parent_connected` or
    /// `parent_disconnected`.
    fn connect_parent(&mut self, parent: &str);
    /// Ends the link or the pending connection to the parent; nothing is reported for it afterwards.
    fn disconnect_parent(&mut self);
    /// Sends a message on the link to the parent.
    fn send_to_parent(&mut self, message: ChildMessage);
    /// Sends a message on the link to a child.
    fn send_to_child(&mut self, child: ChildId, message: ParentMessage);
    /// Ends the child's link once everything before it is sent; nothing is reported for it afterwards.
    fn disconnect_child(&mut self, child: ChildId);
    /// Puts these resources in force: all that apply to this process now, the widest scope first, then by
    /// name. The result is reported by `applied`, and there is no second call before that. The process may
    /// refuse some of them; for those it leaves in force what it had.
    fn apply(&mut self, version: Version, resources: Vec<Resource>);
    /// Writes the snapshot to disk; reported by `persisted` once it is synced, and there is no second call
    /// before that. Called at most four times a second. A process without a disk reports nothing: what is
    /// only in memory counts towards no majority.
    fn persist(&mut self, snapshot: &Snapshot);
    /// A random number between 0 and 1.
    fn random(&mut self) -> f64;
}

/// The identity, the role and the limits of a process.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct TreeNodeConfig {
    pub member: Member,
    pub location: Location,
    /// Whether the process is a control machine: it holds all resources, and `set_root` determines its
    /// parent.
    pub is_control: bool,
    /// Whether the process is a relay: it holds the resources of every proxy of its site.
    pub is_relay: bool,
    /// The parent candidates: tiers are tried in the given order, the candidates of a tier in an order that
    /// differs between processes. Not used by control machines.
    pub parent_tiers: Vec<Vec<Name>>,
    /// The maximum number of children, not counting control machines and relays.
    pub max_children: usize,
    /// The maximum number of bytes that are sent to a child in any second, including heartbeats.
    pub child_bytes_per_second: u64,
    /// The maximum size of one part of a delta, in bytes.
    pub part_bytes: usize,
    /// The same limits for children that are control machines. They can be higher: all other processes wait
    /// for the control machines, and nothing leaves the record before a majority of them has it. Only proxies
    /// need protection from too much traffic.
    pub control_bytes_per_second: u64,
    pub control_part_bytes: usize,
    /// The other control machines. The root lists those that are not connected to it as exceptions, even if
    /// no living process ever had a link to them.
    pub control_machines: Vec<Name>,
    /// The maximum number of exceptions that are listed in a summary.
    pub max_exceptions: usize,
}

/// Links accepted beyond `max_children`: for control machines, relays, and children that have not subscribed
/// yet.
const SPARE_CHILDREN: usize = 64;
/// The maximum size of an incomplete delta, in bytes. A parent that sends more is faulty.
const MAX_INCOMPLETE_BYTES: usize = 4 * 1024 * 1024;
/// The minimum delay after the last summary if the summary has changed, and the interval if it has not.
const SUMMARY_INTERVAL: [Nanos; 2] = [250 * MILLISECOND, SECOND];
/// The minimum delay between two writes to disk. The second applies where only the version has changed,
/// except on control machines.
const PERSIST_INTERVAL: [Nanos; 2] = [250 * MILLISECOND, 10 * SECOND];

/// The received parts of a delta whose last part is still missing.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct IncompleteDelta {
    full_set: bool,
    resources: Vec<Resource>,
    bytes: usize,
    /// Whether the last patch continues in the next part.
    truncated: bool,
}

/// What is on disk, what is being written there, and when the next write is due.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct DiskState {
    persisted: Option<Version>,
    writing: Option<Version>,
    last_write: Option<Nanos>,
    due: Option<Nanos>,
}

/// The protocol state of one process in the distribution tree.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct TreeNode {
    config: TreeNodeConfig,
    /// The scopes that it holds for itself and its children, and those that it puts in force itself.
    interest: Interest,
    own_interest: Interest,
    store: Store,
    parents: ParentSelector,
    children: Children,
    apply_state: ApplyState,
    membership_changes: MembershipChanges,
    /// The number of links to a parent that it has had.
    attachment_count: u64,
    disk: DiskState,
    incomplete: Option<IncompleteDelta>,
    /// Whether this process publishes. Once it has published, what it holds is what the root holds.
    is_root: bool,
    /// The last time for which the root is known to have held exactly this.
    known_current_at: Option<Nanos>,
    has_published: bool,
    /// The last summary that was sent, when it was sent, when the summary was last computed, and when that is
    /// due again.
    sent_summary: Summary,
    summary_sent_at: Nanos,
    summary_computed_at: Nanos,
    summary_due: Nanos,
}

impl TreeNode {
    /// Starts from the snapshot that was on the disk, if there was one.
    pub fn start(
        now: Nanos,
        config: TreeNodeConfig,
        snapshot: Option<Snapshot>,
        host: &mut impl Host,
    ) -> TreeNode {
        let TreeNodeConfig { member, location, .. } = &config;
        let own_interest = Interest::Proxy(location.clone(), member.name.clone());
        let interest = match () {
            () if config.is_control => Interest::All,
            () if config.is_relay => Interest::Site(location.clone()),
            () => own_interest.clone(),
        };
        let parents = ParentSelector::new(
            now,
            &member.name,
            if config.is_control { &[] } else { &config.parent_tiers },
            host,
        );
        let on_disk = snapshot.is_some();
        let mut snapshot = snapshot.unwrap_or_default();
        // The location of the process may have changed since the snapshot was written.
        snapshot.resources.retain(|resource| interest.includes(&resource.scope));
        let store = Store::from_snapshot(&snapshot);
        let apply_state = ApplyState::with_last_good(snapshot.last_good);
        let persisted = on_disk.then_some(store.version);
        let mut node = TreeNode {
            config,
            interest,
            own_interest,
            store,
            parents,
            children: Children::default(),
            apply_state,
            membership_changes: MembershipChanges::default(),
            attachment_count: 0,
            disk: DiskState { persisted, ..DiskState::default() },
            incomplete: None,
            is_root: false,
            known_current_at: None,
            has_published: false,
            sent_summary: Summary::default(),
            summary_sent_at: now,
            summary_computed_at: now,
            summary_due: Nanos::MAX,
        };
        node.apply_state.request_apply(now, &node.store, &node.own_interest, host);
        node
    }

    /// Tells a control machine who holds the lease `carrier`. If it is the process itself, the process
    /// becomes the root. If nobody is known to hold the lease, the process keeps its current parent.
    pub fn set_root(&mut self, now: Nanos, root: Option<&str>, host: &mut impl Host) {
        if !self.config.is_control {
            return;
        }
        let is_root = root == Some(self.config.member.name.as_str());
        if is_root != self.is_root {
            if self.is_root && self.has_published {
                self.known_current_at = Some(now);
            }
            (self.is_root, self.has_published) = (is_root, false);
        }
        match root {
            Some(_) if is_root => self.parents.set_candidates(now, Vec::new(), host),
            Some(root) => self.parents.set_candidates(now, vec![root.into()], host),
            None => {}
        }
        if self.parents.parent().is_none() {
            self.incomplete = None;
        }
    }

    /// The requested connection to the parent is up.
    pub fn parent_connected(&mut self, now: Nanos, host: &mut impl Host) {
        if !self.parents.connected(now) {
            return;
        }
        self.incomplete = None;
        self.attachment_count += 1;
        let attachment = Attachment { member: self.config.member.clone(), number: self.attachment_count };
        let interest = self.interest.clone();
        host.send_to_parent(ChildMessage::Subscribe {
            attachment,
            interest,
            version: self.store.version,
            digest: self.digest(),
        });
        self.send_persisted(host);
        self.send_summary(now, host);
    }

    /// The connection to the parent failed, or the link is lost.
    pub fn parent_disconnected(&mut self, now: Nanos, host: &mut impl Host) {
        self.incomplete = None;
        self.parents.disconnected(now, host);
    }

    /// A message of the parent arrived.
    pub fn parent_message(&mut self, now: Nanos, message: ParentMessage, host: &mut impl Host) {
        if self.parents.parent().is_none() {
            return;
        }
        self.parents.message_received(now);
        match message {
            ParentMessage::AtCapacity => self.leave_parent(now, host),
            ParentMessage::Heartbeat { version, digest, age } => {
                self.handle_heartbeat(now, version, digest, age, host)
            }
            ParentMessage::Delta { after, version, full_set, last, truncated, resources } => {
                let outdated = version < self.store.version || (version == self.store.version && !full_set);
                let gap = !full_set && after > self.store.version;
                if (outdated && !is_injected(InjectedFault::AcceptsOlderVersion)) || gap {
                    self.incomplete = None;
                    return self.send_held(host);
                }
                // A correct parent sends no resource that is newer than the delta, and no name that is too
                // long for a part.
                let is_invalid = |resource: &Resource| {
                    resource.version > version || invalid_name(&resource.scope, &resource.name).is_some()
                };
                if resources.iter().any(is_invalid) {
                    return self.leave_parent(now, host);
                }
                self.collect_part(full_set, truncated, resources);
                if self.incomplete.as_ref().is_some_and(|incomplete| incomplete.bytes > MAX_INCOMPLETE_BYTES)
                {
                    return self.leave_parent(now, host);
                }
                if !last && !is_injected(InjectedFault::AppliesIncompleteDelta) {
                    return host.send_to_parent(ChildMessage::PartAck);
                }
                let Some(IncompleteDelta { mut resources, .. }) = self.incomplete.take() else { return };
                // Resources outside the interest would make the digest differ from the parent's for ever.
                resources.retain(|resource| self.interest.includes(&resource.scope));
                if full_set {
                    self.store.replace_all(version, resources);
                } else {
                    self.store.apply_delta(version, resources);
                }
                self.held_changed(now, true, host);
                self.send_held(host);
            }
        }
    }

    /// Adds a received part to the incomplete delta, and joins a patch that was split between parts.
    fn collect_part(&mut self, full_set: bool, truncated: bool, resources: Vec<Resource>) {
        // A full set that begins while a delta is incomplete replaces it.
        let mut incomplete =
            self.incomplete.take().filter(|incomplete| incomplete.full_set == full_set).unwrap_or_else(
                || IncompleteDelta { full_set, resources: Vec::new(), bytes: 0, truncated: false },
            );
        let mut resources = resources.into_iter();
        if incomplete.truncated
            && let Some(begun) = incomplete.resources.pop()
            && let Some(first) = resources.next()
        {
            let same =
                (&begun.scope, &begun.name, begun.version) == (&first.scope, &first.name, first.version);
            incomplete.bytes += crate::store::encoded_size(&first);
            incomplete.resources.push(match (&begun.patch, &first.patch) {
                (Some(begun), Some(rest)) if same => {
                    let patch = Some(format!("{begun}{rest}").into());
                    Resource { patch, ..first }
                }
                // The truncated resource has changed since; its rest will not come.
                _ => first,
            });
        }
        for resource in resources {
            incomplete.bytes += crate::store::encoded_size(&resource);
            incomplete.resources.push(resource);
        }
        incomplete.truncated = truncated;
        self.incomplete = Some(incomplete);
    }

    fn handle_heartbeat(
        &mut self,
        now: Nanos,
        version: Version,
        digest: u64,
        age: Nanos,
        host: &mut impl Host,
    ) {
        let parent_is_behind = version < self.store.version;
        self.parents.heartbeat(now, (!parent_is_behind).then_some(age), host);
        if parent_is_behind || digest != self.digest() || self.parents.parent().is_none() {
            return;
        }
        if age != Nanos::MAX {
            self.known_current_at = self.known_current_at.max(Some(now.saturating_sub(age)));
        }
        if version > self.store.version {
            // Nothing changed for this process: with equal digests it already holds the newer version.
            self.store.apply_delta(version, []);
            self.held_changed(now, false, host);
            self.send_held(host);
        }
    }

    fn send_held(&mut self, host: &mut impl Host) {
        host.send_to_parent(ChildMessage::Holds { version: self.store.version, digest: self.digest() });
    }

    fn send_persisted(&mut self, host: &mut impl Host) {
        if let (true, Some(version)) = (self.config.is_control, self.disk.persisted) {
            host.send_to_parent(ChildMessage::Persisted(version));
        }
    }

    /// Leaves a parent that is full or faulty for the next one.
    fn leave_parent(&mut self, now: Nanos, host: &mut impl Host) {
        self.incomplete = None;
        self.parents.disconnect(host);
        self.parents.disconnected(now, host);
    }

    /// Reacts to a new held version; `content` is false if only the version has changed.
    fn held_changed(&mut self, now: Nanos, content: bool, host: &mut impl Host) {
        self.apply_state.request_apply(now, &self.store, &self.own_interest, host);
        let interval = PERSIST_INTERVAL[usize::from(!content && !self.config.is_control)];
        let due = self.disk.last_write.map_or(now, |last_write| now.max(last_write + interval));
        self.disk.due = Some(self.disk.due.map_or(due, |other| other.min(due)));
        self.persist_if_due(now, host);
        let held = self.store.version;
        for child in self.children.ids() {
            if let Some(subscriber) = self.children.get_mut(child)
                && subscriber.summary.as_ref().is_some_and(|summary| summary.in_force < held)
            {
                subscriber.behind.get_or_insert((held, now));
            }
            self.serve(now, child, host);
        }
        self.summary_changed(now, host);
    }

    fn persist_if_due(&mut self, now: Nanos, host: &mut impl Host) {
        if self.disk.writing.is_some() || self.disk.due.is_none_or(|due| now < due) {
            return;
        }
        (self.disk.due, self.disk.last_write) = (None, Some(now));
        self.disk.writing = Some(self.store.version);
        host.persist(&Snapshot { last_good: self.apply_state.last_good(), ..self.store.snapshot() });
    }

    /// This version is on the disk.
    pub fn persisted(&mut self, now: Nanos, version: Version, host: &mut impl Host) {
        if self.disk.writing == Some(version) {
            (self.disk.persisted, self.disk.writing) = (Some(version), None);
            if self.parents.parent().is_some() {
                self.send_persisted(host);
            }
        }
        self.persist_if_due(now, host);
    }

    /// Called by the root's publisher: these changes are settled, and become this version. Ignored if this
    /// process is not the root.
    pub fn publish(&mut self, now: Nanos, version: Version, resources: Vec<Resource>, host: &mut impl Host) {
        if !self.is_root {
            return;
        }
        self.has_published = true;
        if version > self.store.version {
            self.store.apply_delta(version, resources);
            self.held_changed(now, true, host);
        }
    }

    /// The process has put this version in force, except for the refused resources, given by scope and name
    /// with the reason: their previous versions are still in force.
    pub fn applied(
        &mut self,
        now: Nanos,
        version: Version,
        refused: Vec<(Scope, Name, String)>,
        host: &mut impl Host,
    ) {
        let (requested, last_good_changed) = self.apply_state.finish_apply(now, version, refused);
        if !requested {
            return;
        }
        self.apply_state.request_apply(now, &self.store, &self.own_interest, host);
        if last_good_changed {
            self.disk.due = Some(
                self.disk.last_write.map_or(now, |last_write| now.max(last_write + PERSIST_INTERVAL[0])),
            );
            self.persist_if_due(now, host);
        }
        self.summary_changed(now, host);
    }

    /// The local configuration under the resources has changed, for instance because a file was read again:
    /// all resources are applied anew.
    pub fn reapply(&mut self, now: Nanos, host: &mut impl Host) {
        self.apply_state.request_reapply();
        self.apply_state.request_apply(now, &self.store, &self.own_interest, host);
        self.summary_changed(now, host);
    }

    /// A child has connected.
    pub fn child_connected(&mut self, now: Nanos, child: ChildId, host: &mut impl Host) {
        self.children.add(now, child);
        // A child that has not subscribed yet takes none of the places for proxies, but the number of such
        // children is limited too.
        if self.children.len() > self.config.max_children + SPARE_CHILDREN {
            self.reject_child(now, child, host);
        }
    }

    fn reject_child(&mut self, now: Nanos, child: ChildId, host: &mut impl Host) {
        host.send_to_child(child, ParentMessage::AtCapacity);
        self.disconnect_child(now, child, host);
    }

    /// A message of a child arrived.
    pub fn child_message(&mut self, now: Nanos, child: ChildId, message: ChildMessage, host: &mut impl Host) {
        let Some(subscriber) = self.children.get_mut(child) else { return };
        subscriber.message_received(now);
        match message {
            ChildMessage::Subscribe { attachment, interest, version, digest } => {
                self.drop_earlier_links(now, child, &attachment, host);
                if self.children.get_mut(child).is_none() {
                    return;
                }
                // Control machines and relays are accepted even if proxies have taken all their places: a
                // control machine can connect to no process but the root, and other processes depend on a
                // relay.
                if matches!(interest, Interest::Proxy(..))
                    && self.children.proxy_count() >= self.config.max_children
                {
                    return self.reject_child(now, child, host);
                }
                if let Some(subscriber) = self.children.get_mut(child) {
                    subscriber.subscribe(now, attachment, interest, version, digest);
                }
            }
            ChildMessage::Holds { version, digest } => subscriber.set_held(version, digest),
            ChildMessage::Persisted(version) => subscriber.persisted = Some(version),
            ChildMessage::PartAck => subscriber.part_acknowledged(),
            ChildMessage::Summary(summary) => self.handle_summary(now, child, summary),
        }
        self.serve(now, child, host);
        self.summary_changed(now, host);
    }

    /// If the same process is connected by two links, only the later one is kept.
    fn drop_earlier_links(
        &mut self,
        now: Nanos,
        child: ChildId,
        attachment: &Attachment,
        host: &mut impl Host,
    ) {
        let subscribed =
            |(link, subscriber): (&ChildId, &Subscriber)| Some((*link, subscriber.subscription.clone()?.0));
        let others: Vec<(ChildId, Attachment)> = self.children.iter().filter_map(subscribed).collect();
        for (link, other) in others {
            if link == child || other.member.name != attachment.member.name {
                continue;
            }
            let earlier = if other.is_later_than(attachment) { child } else { link };
            self.disconnect_child(now, earlier, host);
        }
    }

    fn handle_summary(&mut self, now: Nanos, child: ChildId, mut summary: Summary) {
        let held = self.store.version;
        let max_exceptions = self.config.max_exceptions;
        if summary.exceptions.len() > max_exceptions {
            let more = (summary.exceptions.len() - max_exceptions) as u32;
            summary.unnamed = summary.unnamed.saturating_add(more);
            summary.exceptions.truncate(max_exceptions);
        }
        summary.arrived.truncate(max_exceptions);
        let Some(subscriber) = self.children.get_mut(child) else { return };
        let Some((attachment, _)) = subscriber.subscription.clone() else { return };
        if subscriber.behind.is_none_or(|(version, _)| summary.in_force >= version) {
            subscriber.behind = (summary.in_force < held).then_some((held, now));
        }
        let previous = subscriber.summary.replace(summary.clone());
        if previous.is_none() {
            self.membership_changes.record_arrival(now, &attachment);
        }
        let known = previous.map(|previous| previous.arrived).unwrap_or_default();
        for attachment in summary.arrived.iter().filter(|attachment| !known.contains(attachment)) {
            self.membership_changes.record_arrival(now, attachment);
        }
    }

    /// The link of a child is lost.
    pub fn child_disconnected(&mut self, now: Nanos, child: ChildId, host: &mut impl Host) {
        let Some(subscriber) = self.children.remove(child) else { return };
        if let (Some((attachment, _)), Some(summary)) = (subscriber.subscription, subscriber.summary) {
            self.membership_changes.record_lost(
                now,
                attachment,
                summary.in_force,
                self.config.max_children + SPARE_CHILDREN,
            );
        }
        self.summary_changed(now, host);
    }

    fn disconnect_child(&mut self, now: Nanos, child: ChildId, host: &mut impl Host) {
        host.disconnect_child(child);
        self.child_disconnected(now, child, host);
    }

    fn serve(&mut self, now: Nanos, child: ChildId, host: &mut impl Host) {
        let age = self.age(now).unwrap_or(Nanos::MAX);
        let config = &self.config;
        let child_is_control = self
            .children
            .get_mut(child)
            .is_some_and(|subscriber| matches!(subscriber.subscription, Some((_, Interest::All))));
        let (bytes_per_second, part_bytes) = match child_is_control {
            true => (config.control_bytes_per_second, config.control_part_bytes),
            false => (config.child_bytes_per_second, config.part_bytes),
        };
        let bytes_per_second = usize::try_from(bytes_per_second).unwrap_or(usize::MAX);
        let context = ServeContext { store: &self.store, age, bytes_per_second, part_bytes };
        if !self.children.serve(now, child, context, host) {
            self.disconnect_child(now, child, host);
        }
    }

    /// The summary may have changed: if so, it is sent soon. It is not computed for each event, since there
    /// may be a thousand children.
    fn summary_changed(&mut self, now: Nanos, host: &mut impl Host) {
        self.summary_due = self.summary_due.min(self.summary_computed_at + SUMMARY_INTERVAL[0]);
        self.send_summary_if_due(now, host);
    }

    fn send_summary_if_due(&mut self, now: Nanos, host: &mut impl Host) {
        if now >= self.summary_due && self.parents.parent().is_some() {
            (self.summary_computed_at, self.summary_due) = (now, self.summary_sent_at + SUMMARY_INTERVAL[1]);
            if now >= self.summary_due || self.summary(now) != self.sent_summary {
                self.send_summary(now, host);
            }
        }
    }

    fn send_summary(&mut self, now: Nanos, host: &mut impl Host) {
        (self.summary_sent_at, self.summary_computed_at, self.summary_due) =
            (now, now, now + SUMMARY_INTERVAL[1]);
        self.sent_summary = self.summary(now);
        host.send_to_parent(ChildMessage::Summary(self.sent_summary.clone()));
    }

    /// Does everything that is due by now.
    pub fn tick(&mut self, now: Nanos, host: &mut impl Host) {
        if self.parents.tick(now, host) {
            self.incomplete = None;
        }
        for child in self.children.due_at(now) {
            self.serve(now, child, host);
        }
        self.persist_if_due(now, host);
        self.membership_changes.remove_expired(now);
        self.send_summary_if_due(now, host);
    }

    /// The latest time at which `tick` must be called next. Any other call may change it.
    pub fn due(&self) -> Nanos {
        let summary = if self.parents.parent().is_some() { self.summary_due } else { Nanos::MAX };
        let persist = self.disk.due.filter(|_| self.disk.writing.is_none()).unwrap_or(Nanos::MAX);
        self.parents.due().min(self.children.due()).min(summary).min(persist)
    }

    fn digest(&self) -> u64 {
        self.store.digest(&self.interest)
    }

    /// The version that this process holds.
    pub fn version(&self) -> Version {
        self.store.version
    }

    /// How long ago the root is known to have held exactly what this process holds; `None` if that is not
    /// known.
    pub fn age(&self, now: Nanos) -> Option<Nanos> {
        if self.is_root && self.has_published {
            Some(0)
        } else {
            self.known_current_at.map(|known_current_at| now.saturating_sub(known_current_at))
        }
    }

    /// Whether what this process holds may be older than the promised age.
    pub fn is_stale(&self, now: Nanos) -> bool {
        self.age(now).is_none_or(|age| age > STALE_AGE)
    }

    /// What is in force at this process and below it.
    pub fn summary(&self, now: Nanos) -> Summary {
        let ApplyState { in_force, behind_since, .. } = self.apply_state;
        let late = behind_since.is_some_and(|since| now >= since + LATE_AFTER[0]);
        let member = &self.config.member;
        let mut exceptions = self.apply_state.exceptions(member);
        if late {
            exceptions.insert(0, Exception { member: member.clone(), in_force, kind: ExceptionKind::Late });
        }
        let own = OwnState { member: member.clone(), in_force, late, exceptions };
        let mut summary = summary::summarize(
            now,
            self.store.version,
            own,
            &self.children,
            &self.membership_changes,
            self.config.max_exceptions,
        );
        if self.is_root {
            self.add_missing_control_machines(&mut summary);
        }
        summary
    }

    /// Lists the control machines that are not connected as lost. Without it "in force everywhere" could be
    /// reported after a publisher died: a publisher is nobody's child, so no process notices the loss of its
    /// link.
    fn add_missing_control_machines(&self, summary: &mut Summary) {
        let is_child = |name: &Name| {
            let has_name = |attachment: &Attachment| attachment.member.name == *name;
            self.children.iter().any(|(_, subscriber)| {
                subscriber.subscription.as_ref().is_some_and(|(attachment, _)| has_name(attachment))
            })
        };
        let is_counted = |name: &Name| {
            is_child(name) || summary.exceptions.iter().any(|exception| exception.member.name == *name)
        };
        let missing: Vec<&Name> =
            self.config.control_machines.iter().filter(|name| !is_counted(name)).collect();
        for name in missing {
            summary.members = summary.members.saturating_add(1);
            let member = Member { name: name.clone(), incarnation: 0 };
            match summary.exceptions.len() < self.config.max_exceptions {
                true => {
                    let kind = ExceptionKind::Lost { attachment: 0 };
                    summary.exceptions.push(Exception { member, in_force: Version::default(), kind });
                }
                false => summary.unnamed = summary.unnamed.saturating_add(1),
            }
        }
    }

    /// The name of the parent that this process has a link to, or `None`.
    pub fn parent(&self) -> Option<&str> {
        self.parents.parent()
    }

    /// The number of connected children.
    pub fn child_count(&self) -> usize {
        self.children.len()
    }

    /// The held resources including tombstones, the widest scope first, then by name.
    pub fn resources(&self) -> impl Iterator<Item = &Resource> {
        self.store.iter()
    }

    /// The version on the disk of each control machine, as far as known: of this process itself and of its
    /// children.
    pub fn persisted_versions(&self) -> impl Iterator<Item = (&str, Version)> {
        let own = self.disk.persisted.map(|version| (self.config.member.name.as_str(), version));
        let held = self.store.version;
        let children =
            self.children.iter().filter_map(move |(_, subscriber)| match &subscriber.subscription {
                Some((attachment, Interest::All)) => {
                    Some((attachment.member.name.as_str(), subscriber.persisted?.min(held)))
                }
                _ => None,
            });
        own.into_iter().chain(children)
    }

    /// The newest version that a majority of this many control machines has on disk.
    pub fn majority_version(&self, control_machines: usize) -> Version {
        let mut versions: Vec<Version> = self.persisted_versions().map(|(_, version)| version).collect();
        versions.sort_by(|one, other| other.cmp(one));
        versions.get(control_machines / 2).copied().unwrap_or_default()
    }
}
