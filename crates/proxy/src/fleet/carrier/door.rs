//! The way to the carrier's actor, for links, the disk and commands: it needs nothing of the actor but its mailbox.

use crate::fleet::carrier::apply::Refusal;
use crate::fleet::wire::Frame;
use pumicebay_accord::{HeldLease, Reply};
use pumicebay_carrier::{Change, ChildId, ChildMessage, ParentMessage, Version};
use tokio::sync::mpsc;

const MAILBOX: usize = 1024;

/// What can happen to the carrier.
pub enum Event {
    /// A child's link is up; what it is told goes into this mailbox.
    ChildUp(ChildId, mpsc::Sender<ParentMessage>),
    ChildSaid(ChildId, ChildMessage),
    ChildLost(ChildId),
    /// Of the dial with this number.
    ParentUp(u64),
    ParentSaid(u64, ParentMessage),
    ParentLost(u64),
    /// What was put in force, and what was not.
    InForce(Version, Vec<Refusal>),
    /// The file was read again: what was refused may do now, and what did not.
    Reread,
    Kept(Version),
    /// The lease, and who has it where that is another.
    Lease(Option<HeldLease>, Option<String>),
    /// Answers to the publisher of this number.
    Read(u64, Reply),
    Written(u64, Reply),
    /// A command's, under its own number; the answer goes to its link.
    Offer(u64, Vec<Change>, mpsc::Sender<Frame>),
    Checked(u64, Vec<Change>, mpsc::Sender<Frame>, Result<(), String>),
    Status(mpsc::Sender<Frame>),
}

#[derive(Clone)]
pub struct Door(mpsc::Sender<Event>);

impl Door {
    /// Waits for room: each that says something is a task of its own, and only it waits. False when the carrier has ended.
    pub async fn say(&self, event: Event) -> bool {
        self.0.send(event).await.is_ok()
    }
}

pub fn door() -> (Door, mpsc::Receiver<Event>) {
    let (events, mailbox) = mpsc::channel(MAILBOX);
    (Door(events), mailbox)
}
