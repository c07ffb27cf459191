//! The handle of the voter actor, for links, the voter client and the shared probes. It depends only on the
//! actor's mailbox.

use crate::fleet::wire::{self, Frame, Role, VoterStatus};
use pumicebay_accord::{Message, Operation, ProcessId, Record, StoreId};
use tokio::sync::{broadcast, mpsc, oneshot, watch};

/// The capacity of the voter's mailbox.
const MAILBOX_CAPACITY: usize = 1024;
/// The number of broadcast frames that wait for a slow link; beyond it the oldest are dropped.
const BROADCAST_CAPACITY: usize = 128;

/// An event for the voter actor.
pub enum VoterEvent {
    /// A hello or heartbeat from a process, with its role and, if it is a voter, the state of its disk.
    PeerHeard(ProcessId, Role, Option<wire::DiskSummary>),
    /// The link to a process ended; `true` if it was closed cleanly.
    LinkLost(ProcessId, bool),
    /// A message between voters: the receiver's store, the sender's store and the message.
    Message(StoreId, StoreId, Message),
    /// An operation, and the link that receives the answer.
    Submit(Operation, mpsc::Sender<Frame>),
    /// The first record of a new fleet. Replies whether the voter accepted it.
    Bootstrap(Record, oneshot::Sender<bool>),
    /// An operator's confirmation that the disk is not an older copy. Replies whether the voter was waiting
    /// for it.
    TrustDisk(oneshot::Sender<bool>),
    /// Asks for the voter's status.
    Status(oneshot::Sender<VoterStatus>),
}

/// A handle of the voter actor. The disk summary is available without a round trip to the actor.
#[derive(Clone)]
pub struct VoterHandle {
    events: mpsc::Sender<VoterEvent>,
    /// Frames that one process sends to all processes.
    broadcast_sender: broadcast::Sender<Frame>,
    disk: watch::Receiver<Option<wire::DiskSummary>>,
}

impl VoterHandle {
    /// Sends an event. The event is dropped if the mailbox is full; the senders repeat theirs.
    pub fn try_send(&self, event: VoterEvent) {
        let _ = self.events.try_send(event);
    }

    /// Sends an event that carries a reply channel and returns the reply; `None` if the actor has ended.
    pub async fn query<T>(&self, event: impl FnOnce(oneshot::Sender<T>) -> VoterEvent) -> Option<T> {
        let (reply_sender, reply) = oneshot::channel();
        self.events.send(event(reply_sender)).await.ok()?;
        reply.await.ok()
    }

    /// Passes a frame on to all proxies with a link to this process, and to this process itself.
    pub fn broadcast(&self, frame: Frame) {
        let _ = self.broadcast_sender.send(frame);
    }

    /// Receives the frames passed to `broadcast` from now on.
    pub fn subscribe(&self) -> broadcast::Receiver<Frame> {
        self.broadcast_sender.subscribe()
    }

    /// The state of the voter's disk as last published; `None` before the disk was opened.
    pub fn disk_summary(&self) -> Option<wire::DiskSummary> {
        self.disk.borrow().clone()
    }
}

/// The receiving end, owned by the voter actor: its events, and where it publishes the state of its disk.
pub struct VoterMailbox(pub mpsc::Receiver<VoterEvent>, pub watch::Sender<Option<wire::DiskSummary>>);

/// Creates a connected handle and mailbox.
pub fn channel() -> (VoterHandle, VoterMailbox) {
    let (events, mailbox) = mpsc::channel(MAILBOX_CAPACITY);
    let (disk_sender, disk) = watch::channel(None);
    let (broadcast_sender, _) = broadcast::channel(BROADCAST_CAPACITY);
    (VoterHandle { events, broadcast_sender, disk }, VoterMailbox(mailbox, disk_sender))
}
