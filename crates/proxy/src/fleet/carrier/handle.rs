//! The handle of the carrier actor, for links, the disk task and commands. It depends only on the actor's
//! event queue.

use crate::fleet::carrier::apply::Refusal;
use crate::fleet::wire::Frame;
use pumicebay_accord::{HeldLease, Reply};
use pumicebay_carrier::{Change, ChildId, ChildMessage, ParentMessage, Version};
use tokio::sync::mpsc;

const QUEUE_CAPACITY: usize = 1024;

/// An event for the carrier actor.
pub enum Event {
    /// A child's link is up; messages to the child go into this queue.
    ChildConnected(ChildId, mpsc::Sender<ParentMessage>),
    /// A message from a child.
    ChildMessage(ChildId, ChildMessage),
    /// A child's link has ended.
    ChildDisconnected(ChildId),
    /// The connection attempt with this number succeeded.
    ParentConnected(u64),
    /// A message from the parent, on the link of the connection attempt with this number.
    ParentMessage(u64, ParentMessage),
    /// The connection attempt with this number failed, or its link has ended.
    ParentDisconnected(u64),
    /// Resources of this version were put in force, except for the refused ones.
    Applied(Version, Vec<Refusal>),
    /// The configuration file was reloaded, so resources that were refused may be accepted now and vice
    /// versa.
    FileReloaded,
    /// The snapshot of this version is on disk.
    Persisted(Version),
    /// The lease as held by this process, and the name of its holder if that is another process.
    LeaseChanged(Option<HeldLease>, Option<String>),
    /// The answer to a read by the publisher with this number.
    RecordRead(u64, Reply),
    /// The answer to a write by the publisher with this number.
    RecordWritten(u64, Reply),
    /// Changes offered by a command under the command's own number; the answer goes to its link.
    Offer(u64, Vec<Change>, mpsc::Sender<Frame>),
    /// Whether this process's own configuration accepts the offered changes, or why not.
    OfferChecked(u64, Vec<Change>, mpsc::Sender<Frame>, Result<(), String>),
    /// A command's request for the status; the answer goes to its link.
    Status(mpsc::Sender<Frame>),
}

/// Sends events to the carrier actor.
#[derive(Clone)]
pub struct Handle(mpsc::Sender<Event>);

impl Handle {
    /// Sends an event, waiting while the queue is full. Each sender is a task of its own, so nothing else
    /// waits. Returns false if the actor has ended.
    pub async fn send(&self, event: Event) -> bool {
        self.0.send(event).await.is_ok()
    }
}

/// Creates a handle and the event queue that it writes to.
pub fn channel() -> (Handle, mpsc::Receiver<Event>) {
    let (events, mailbox) = mpsc::channel(QUEUE_CAPACITY);
    (Handle(events), mailbox)
}
