//! The way to the carrier's actor, for links, the disk and commands: it needs nothing of the actor but its mailbox.

use crate::fleet::carrier::apply::Refusal;
use crate::fleet::wire::Frame;
use pumicebay_accord::{HeldLease, Reply};
use pumicebay_carrier::{Change, ChildId, ChildMessage, ParentMessage, Version};
use tokio::sync::mpsc;

const QUEUE_CAPACITY: usize = 1024;

/// What can happen to the carrier.
pub enum Event {
    /// A child's link is up; what it is told goes into this mailbox.
    ChildConnected(ChildId, mpsc::Sender<ParentMessage>),
    ChildMessage(ChildId, ChildMessage),
    ChildDisconnected(ChildId),
    /// Of the dial with this number.
    ParentConnected(u64),
    ParentMessage(u64, ParentMessage),
    ParentDisconnected(u64),
    /// What was put in force, and what was not.
    Applied(Version, Vec<Refusal>),
    /// The file was read again: what was refused may do now, and what did not.
    FileReloaded,
    Persisted(Version),
    /// The lease, and who has it where that is another.
    LeaseChanged(Option<HeldLease>, Option<String>),
    /// Answers to the publisher of this number.
    RecordRead(u64, Reply),
    RecordWritten(u64, Reply),
    /// A command's, under its own number; the answer goes to its link.
    Offer(u64, Vec<Change>, mpsc::Sender<Frame>),
    OfferChecked(u64, Vec<Change>, mpsc::Sender<Frame>, Result<(), String>),
    Status(mpsc::Sender<Frame>),
}

#[derive(Clone)]
pub struct Handle(mpsc::Sender<Event>);

impl Handle {
    /// Waits for room: each that says something is a task of its own, and only it waits. False when the carrier has ended.
    pub async fn send(&self, event: Event) -> bool {
        self.0.send(event).await.is_ok()
    }
}

pub fn channel() -> (Handle, mpsc::Receiver<Event>) {
    let (events, mailbox) = mpsc::channel(QUEUE_CAPACITY);
    (Handle(events), mailbox)
}
