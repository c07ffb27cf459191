//! The way to the voter, for links, askers and the probes: it needs nothing of the voter but its mailbox.

use crate::fleet::wire::{self, Frame, Role, Status};
use pumicebay_accord::{Message, Operation, ProcessId, Record, StoreId};
use tokio::sync::{broadcast, mpsc, oneshot, watch};

const MAILBOX: usize = 1024;
/// What is to be passed on and waits on a link; the oldest is lost where there is more.
const PASSED: usize = 128;

/// What can happen to a voter.
pub enum Event {
    /// A process said hello or gave a beat.
    Heard(ProcessId, Role, Option<wire::Disk>),
    /// Its link went down, in order or not.
    Lost(ProcessId, bool),
    /// To this store, from that.
    Vote(StoreId, StoreId, Message),
    /// The answer goes to this link.
    Ask(Operation, mpsc::Sender<Frame>),
    Found(Record, oneshot::Sender<bool>),
    Trust(oneshot::Sender<bool>),
    Status(oneshot::Sender<Status>),
}

/// The way to the voter: what it says of its disk is there without asking.
#[derive(Clone)]
pub struct Door {
    events: mpsc::Sender<Event>,
    /// What one process has for all.
    pass: broadcast::Sender<Frame>,
    disk: watch::Receiver<Option<wire::Disk>>,
}

impl Door {
    /// Lost where the voter has too much to do: whoever spoke says it again.
    pub fn post(&self, event: Event) {
        let _ = self.events.try_send(event);
    }

    pub async fn ask<T>(&self, event: impl FnOnce(oneshot::Sender<T>) -> Event) -> Option<T> {
        let (answer, answered) = oneshot::channel();
        self.events.send(event(answer)).await.ok()?;
        answered.await.ok()
    }

    /// Passes a frame on to all whose links end here, and to this process itself.
    pub fn pass_on(&self, frame: Frame) {
        let _ = self.pass.send(frame);
    }

    pub fn passed(&self) -> broadcast::Receiver<Frame> {
        self.pass.subscribe()
    }

    pub fn disk(&self) -> Option<wire::Disk> {
        self.disk.borrow().clone()
    }
}

/// The voter's end.
pub struct Mailbox(pub mpsc::Receiver<Event>, pub watch::Sender<Option<wire::Disk>>);

pub fn door() -> (Door, Mailbox) {
    let (events, mailbox) = mpsc::channel(MAILBOX);
    let (tell, disk) = watch::channel(None);
    let (pass, _) = broadcast::channel(PASSED);
    (Door { events, pass, disk }, Mailbox(mailbox, tell))
}
