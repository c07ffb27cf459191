//! The children of a process: what each of them holds, and what is being sent to it.

use crate::fault_injection::{InjectedFault, is_injected};
use crate::message::{Attachment, ParentMessage, Summary};
use crate::node::{ChildId, Host};
use crate::resource::{Interest, Version};
use crate::store::{Cursor, Store};
use crate::{MILLISECOND, Nanos, SECOND};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

const HEARTBEAT_INTERVAL: Nanos = SECOND;
/// Sent bytes count against a child's bytes per second for somewhat longer than a second, since messages that
/// were sent apart can arrive closer together.
const BANDWIDTH_WINDOW: Nanos = SECOND + SECOND / 4;
/// A heartbeat that moves a child to a newer version without changes for it is sent early, but not sooner
/// than this after the last heartbeat.
const MIN_HEARTBEAT_INTERVAL: Nanos = 250 * MILLISECOND;
/// A child that sends nothing for so long, or does not answer a part within it, is disconnected: it takes a
/// place that other children need.
const STALL_TIMEOUT: Nanos = 10 * SECOND;
/// No part is made smaller than this, in bytes, because the bytes of a second are used up; it is sent later
/// instead.
pub(crate) const MIN_PART_BYTES: usize = 1_024;
/// The maximum size of a part without its resources and of a heartbeat, in bytes.
const PART_OVERHEAD_BYTES: usize = 64;
const HEARTBEAT_BYTES: usize = 48;

/// A delta that is being sent to a child in parts.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Transfer {
    after: Version,
    /// If a full set is sent: the version at which it was begun.
    full_set: Option<Version>,
    cursor: Cursor,
}

/// One child and the state of its link.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Subscriber {
    /// Which member it is and what it wants, once it has subscribed.
    pub subscription: Option<(Attachment, Interest)>,
    /// The version that the child reported to hold, and the digest of it.
    pub held: (Version, u64),
    /// The version on the child's disk; reported by control machines only.
    pub persisted: Option<Version>,
    /// The child's last summary of itself and everything below it.
    pub summary: Option<Summary>,
    /// The oldest version that is held here but not in force there, and since when.
    pub behind: Option<(Version, Nanos)>,
    transfer: Option<Transfer>,
    /// A part without an answer: the version that the child holds after it if it is the last part, and when
    /// it was sent.
    part_in_flight: Option<(Option<Version>, Nanos)>,
    /// The version at which a full set was sent: if the digest still differs after that, sending it again
    /// would not help.
    full_set_sent: Option<Version>,
    /// When how many bytes were sent within the bandwidth window.
    sent_bytes: VecDeque<(Nanos, usize)>,
    last_heartbeat: Nanos,
    next_heartbeat: Nanos,
    /// When the child's last message arrived.
    last_message: Nanos,
    due: Nanos,
}

/// All children, and when each of them needs attention.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Children {
    subscribers: BTreeMap<ChildId, Subscriber>,
    due_times: BTreeSet<(Nanos, ChildId)>,
}

/// The resources that a child is sent, the age of this process's knowledge in nanoseconds, and the child's
/// limits.
#[derive(Clone, Copy)]
pub(crate) struct ServeContext<'a> {
    pub store: &'a Store,
    pub age: Nanos,
    pub bytes_per_second: usize,
    pub part_bytes: usize,
}

impl Children {
    pub fn len(&self) -> usize {
        self.subscribers.len()
    }

    pub fn iter(&self) -> impl Iterator<Item = (&ChildId, &Subscriber)> {
        self.subscribers.iter()
    }

    /// The number of subscribed children that have no children themselves.
    pub fn proxy_count(&self) -> usize {
        let is_proxy =
            |subscriber: &&Subscriber| matches!(subscriber.subscription, Some((_, Interest::Proxy(..))));
        self.subscribers.values().filter(is_proxy).count()
    }

    pub fn ids(&self) -> Vec<ChildId> {
        self.subscribers.keys().copied().collect()
    }

    pub fn get_mut(&mut self, child: ChildId) -> Option<&mut Subscriber> {
        self.subscribers.get_mut(&child)
    }

    pub fn add(&mut self, now: Nanos, child: ChildId) {
        let due = now + STALL_TIMEOUT;
        self.due_times.insert((due, child));
        let subscriber = Subscriber {
            subscription: None,
            held: Default::default(),
            persisted: None,
            summary: None,
            behind: None,
            transfer: None,
            part_in_flight: None,
            full_set_sent: None,
            sent_bytes: VecDeque::new(),
            last_heartbeat: now,
            next_heartbeat: now,
            last_message: now,
            due,
        };
        self.subscribers.insert(child, subscriber);
    }

    pub fn remove(&mut self, child: ChildId) -> Option<Subscriber> {
        let removed = self.subscribers.remove(&child)?;
        self.due_times.remove(&(removed.due, child));
        Some(removed)
    }

    /// When the next child needs attention; `Nanos::MAX` if there are no children.
    pub fn due(&self) -> Nanos {
        self.due_times.first().map_or(Nanos::MAX, |(due, _)| *due)
    }

    /// The children that need attention now.
    pub fn due_at(&self, now: Nanos) -> Vec<ChildId> {
        self.due_times.iter().take_while(|(due, _)| *due <= now).map(|(_, child)| *child).collect()
    }

    /// Sends this child what may be sent now; `false` if the child has stalled.
    pub fn serve(&mut self, now: Nanos, child: ChildId, context: ServeContext, host: &mut impl Host) -> bool {
        let Some(subscriber) = self.subscribers.get_mut(&child) else { return true };
        let mut due = subscriber.last_message + STALL_TIMEOUT;
        if let Some((_, since)) = subscriber.part_in_flight {
            due = due.min(since + STALL_TIMEOUT);
        }
        if now >= due {
            return false;
        }
        if let Some((_, interest)) = subscriber.subscription.clone() {
            due = due.min(subscriber.send_next_part(now, child, &interest, context, host));
            if now >= subscriber.next_heartbeat {
                subscriber.send_heartbeat(now, child, &interest, context, host);
            }
            due = due.min(subscriber.next_heartbeat);
        }
        self.due_times.remove(&(subscriber.due, child));
        subscriber.due = due;
        self.due_times.insert((due, child));
        true
    }
}

impl Subscriber {
    /// Records that a message of the child arrived.
    pub fn message_received(&mut self, now: Nanos) {
        self.last_message = now;
    }

    /// Records that the child has acknowledged a part that was not the last.
    pub fn part_acknowledged(&mut self) {
        if matches!(self.part_in_flight, Some((None, _))) {
            self.part_in_flight = None;
        }
    }

    /// Records what the child holds now.
    pub fn set_held(&mut self, version: Version, digest: u64) {
        self.held = (version, digest);
        if let Some((Some(until), _)) = self.part_in_flight
            && version >= until
        {
            (self.part_in_flight, self.transfer) = (None, None);
        }
    }

    /// Records the subscription; the first heartbeat is sent at once.
    pub fn subscribe(
        &mut self,
        now: Nanos,
        attachment: Attachment,
        interest: Interest,
        version: Version,
        digest: u64,
    ) {
        self.subscription = Some((attachment, interest));
        self.held = (version, digest);
        self.next_heartbeat = now;
    }

    /// Begins to send what the child misses, or sends the next part of it. Returns when to call this again.
    fn send_next_part(
        &mut self,
        now: Nanos,
        child: ChildId,
        interest: &Interest,
        context: ServeContext,
        host: &mut impl Host,
    ) -> Nanos {
        let store = context.store;
        if self.part_in_flight.is_some() {
            return Nanos::MAX;
        }
        if self.transfer.is_none() {
            self.begin_transfer(interest, store);
        }
        let Some(transfer) = &mut self.transfer else { return Nanos::MAX };
        // Tombstones that were set since the transfer began may have been pruned: then only a new full set is
        // complete.
        match &mut transfer.full_set {
            Some(begun_at) if *begun_at < store.pruned => {
                (*begun_at, transfer.cursor) = (store.version, Cursor::default());
            }
            None if transfer.after < store.pruned => {
                (transfer.full_set, transfer.cursor) = (Some(store.version), Cursor::default());
            }
            _ => {}
        }
        while self.sent_bytes.front().is_some_and(|(at, _)| at + BANDWIDTH_WINDOW <= now) {
            self.sent_bytes.pop_front();
        }
        let limit = context.bytes_per_second.max(MIN_PART_BYTES + PART_OVERHEAD_BYTES + HEARTBEAT_BYTES);
        let available = limit.saturating_sub(
            self.sent_bytes.iter().map(|(_, bytes)| bytes).sum::<usize>()
                + HEARTBEAT_BYTES
                + PART_OVERHEAD_BYTES,
        );
        if available < MIN_PART_BYTES.min(context.part_bytes) {
            return self.sent_bytes.front().map_or(now, |(at, _)| at + BANDWIDTH_WINDOW);
        }
        let available = available.min(context.part_bytes.max(MIN_PART_BYTES) - PART_OVERHEAD_BYTES);
        let Transfer { after, full_set, cursor } = transfer;
        let part = store.next_part(interest, *after, *full_set, cursor, available);
        *cursor = part.next;
        let bytes =
            PART_OVERHEAD_BYTES + part.resources.iter().map(crate::store::encoded_size).sum::<usize>();
        self.sent_bytes.push_back((now, bytes));
        self.part_in_flight = Some((part.last.then_some(store.version), now));
        if part.last && full_set.is_some() {
            self.full_set_sent = Some(store.version);
        }
        host.send_to_child(
            child,
            ParentMessage::Delta {
                after: *after,
                version: store.version,
                full_set: full_set.is_some(),
                last: part.last,
                truncated: part.truncated,
                resources: part.resources,
            },
        );
        if part.last {
            self.send_heartbeat(now, child, interest, context, host);
        }
        now + STALL_TIMEOUT
    }

    /// Decides what the child is to be sent, if anything. A parent that is behind its child sends it nothing.
    /// If nothing changed for the child, an early heartbeat moves it to the newer version.
    fn begin_transfer(&mut self, interest: &Interest, store: &Store) {
        let (version, digest) = self.held;
        let same_content = store.digest(interest) == digest;
        let child_is_ahead = version > store.version && !is_injected(InjectedFault::AcceptsOlderVersion);
        if child_is_ahead || (version == store.version && same_content) {
            return;
        }
        if same_content {
            self.next_heartbeat = self.next_heartbeat.min(self.last_heartbeat + MIN_HEARTBEAT_INTERVAL);
            return;
        }
        let full_set = version.epoch != store.version.epoch
            || version < store.pruned
            || store.changed_since(version, interest).next().is_none();
        if full_set && self.full_set_sent == Some(store.version) {
            return;
        }
        let full_set = full_set.then_some(store.version);
        self.transfer = Some(Transfer { after: version, full_set, cursor: Cursor::default() });
    }

    fn send_heartbeat(
        &mut self,
        now: Nanos,
        child: ChildId,
        interest: &Interest,
        context: ServeContext,
        host: &mut impl Host,
    ) {
        let ServeContext { store, age, .. } = context;
        let heartbeat =
            ParentMessage::Heartbeat { version: store.version, digest: store.digest(interest), age };
        host.send_to_child(child, heartbeat);
        self.sent_bytes.push_back((now, HEARTBEAT_BYTES));
        (self.last_heartbeat, self.next_heartbeat) = (now, now + HEARTBEAT_INTERVAL);
    }
}
