//! The way to the voter, for links, askers and the probes: it needs nothing of the voter but its mailbox.

use crate::fleet::wire::{self, Frame, Role, VoterStatus};
use pumicebay_accord::{Message, Operation, ProcessId, Record, StoreId};
use tokio::sync::{broadcast, mpsc, oneshot, watch};

const MAILBOX_CAPACITY: usize = 1024;
/// What is to be passed on and waits on a link; the oldest is lost where there is more.
const BROADCAST_CAPACITY: usize = 128;

/// What can happen to a voter.
pub enum VoterEvent {
    /// A process said hello or gave a beat.
    PeerHeard(ProcessId, Role, Option<wire::DiskSummary>),
    /// Its link went down, in order or not.
    LinkLost(ProcessId, bool),
    /// To this store, from that.
    Message(StoreId, StoreId, Message),
    /// The answer goes to this link.
    Submit(Operation, mpsc::Sender<Frame>),
    Bootstrap(Record, oneshot::Sender<bool>),
    TrustDisk(oneshot::Sender<bool>),
    Status(oneshot::Sender<VoterStatus>),
}

/// The way to the voter: what it says of its disk is there without asking.
#[derive(Clone)]
pub struct VoterHandle {
    events: mpsc::Sender<VoterEvent>,
    /// What one process has for all.
    broadcast_sender: broadcast::Sender<Frame>,
    disk: watch::Receiver<Option<wire::DiskSummary>>,
}

impl VoterHandle {
    /// Lost where the voter has too much to do: whoever spoke says it again.
    pub fn try_send(&self, event: VoterEvent) {
        let _ = self.events.try_send(event);
    }

    pub async fn query<T>(&self, event: impl FnOnce(oneshot::Sender<T>) -> VoterEvent) -> Option<T> {
        let (reply_sender, reply) = oneshot::channel();
        self.events.send(event(reply_sender)).await.ok()?;
        reply.await.ok()
    }

    /// Passes a frame on to all whose links end here, and to this process itself.
    pub fn broadcast(&self, frame: Frame) {
        let _ = self.broadcast_sender.send(frame);
    }

    pub fn subscribe(&self) -> broadcast::Receiver<Frame> {
        self.broadcast_sender.subscribe()
    }

    pub fn disk_summary(&self) -> Option<wire::DiskSummary> {
        self.disk.borrow().clone()
    }
}

/// The voter's end.
pub struct VoterMailbox(pub mpsc::Receiver<VoterEvent>, pub watch::Sender<Option<wire::DiskSummary>>);

pub fn channel() -> (VoterHandle, VoterMailbox) {
    let (events, mailbox) = mpsc::channel(MAILBOX_CAPACITY);
    let (disk_sender, disk) = watch::channel(None);
    let (broadcast_sender, _) = broadcast::channel(BROADCAST_CAPACITY);
    (VoterHandle { events, broadcast_sender, disk }, VoterMailbox(mailbox, disk_sender))
}
