//! The way to the replica's actor, and what holds by the orders.

use crate::fleet::wire::Frame;
use pumicebay_replication::{Lease, LinkId, Message, Refusal, ServiceState, Snapshot, Stamp, Status};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::timeout;

const QUEUE_CAPACITY: usize = 1024;
/// How long an order may take until it is on disk: operators' calls are answered within a second.
const PERSIST_TIMEOUT: Duration = Duration::from_millis(600);

/// An order as it is given at this process.
#[derive(Clone, Debug)]
pub struct NewOrder {
    pub node: String,
    pub service: ServiceState,
    pub lease: Option<Lease>,
}

/// What can happen to the replica.
pub enum Event {
    /// A link came up: what the peer is told goes into this mailbox.
    LinkUp {
        link: LinkId,
        peer: String,
        dialled: bool,
        mailbox: mpsc::Sender<Message>,
    },
    MessageReceived {
        link: LinkId,
        message: Message,
    },
    LinkDown {
        link: LinkId,
    },
    DialFailed,
    Persisted(Box<Snapshot>),
    Issue {
        order: NewOrder,
        answer: oneshot::Sender<Result<Stamp, Refusal>>,
        persisted: oneshot::Sender<()>,
    },
    StatusFrame {
        answer: mpsc::Sender<Frame>,
    },
    Status {
        answer: oneshot::Sender<Status>,
    },
}

/// What holds by all orders that are known: by node, as of a revision that grows.
#[derive(Clone, Debug, Default)]
pub struct ServiceStates {
    pub revision: u64,
    pub by_node: BTreeMap<String, ServiceState>,
}

/// Why an order was not given.
#[derive(Debug)]
pub enum IssueError {
    Refused(Refusal),
    /// It is given and spreads, but this process's disk does not have it.
    NotPersisted,
    /// The replica has ended.
    ReplicaStopped,
}

/// The way to the actor.
#[derive(Clone)]
pub struct Handle {
    events: mpsc::Sender<Event>,
    last_link: Arc<AtomicU64>,
    /// The revision of what holds that has been carried out.
    applied_revision: Arc<AtomicU64>,
}

impl Handle {
    /// Waits for room: each that says something is a task of its own, and only it waits. False when the actor has ended.
    pub async fn send(&self, event: Event) -> bool {
        self.events.send(event).await.is_ok()
    }

    /// A number for a new link, never used before in this process.
    pub fn next_link_id(&self) -> LinkId {
        self.last_link.fetch_add(1, Ordering::Relaxed) + 1
    }

    /// Gives an order; returns once it holds in the replica and is on disk, where there is one.
    pub async fn issue(&self, order: NewOrder) -> Result<Stamp, IssueError> {
        let ((answer, answered), (persisted, on_disk)) = (oneshot::channel(), oneshot::channel());
        if !self.send(Event::Issue { order, answer, persisted }).await {
            return Err(IssueError::ReplicaStopped);
        }
        let stamp = answered.await.map_err(|_| IssueError::ReplicaStopped)?.map_err(IssueError::Refused)?;
        match timeout(PERSIST_TIMEOUT, on_disk).await {
            Ok(Ok(())) => Ok(stamp),
            Ok(Err(_)) | Err(_) => Err(IssueError::NotPersisted),
        }
    }

    /// What the replica shows of itself.
    pub async fn status(&self) -> Option<Status> {
        let (answer, answered) = oneshot::channel();
        self.send(Event::Status { answer }).await;
        answered.await.ok()
    }

    /// What holds as of this revision has been carried out.
    pub fn set_applied_revision(&self, revision: u64) {
        self.applied_revision.store(revision, Ordering::Release);
    }

    pub fn applied_revision(&self) -> u64 {
        self.applied_revision.load(Ordering::Acquire)
    }
}

/// What one process has of it.
pub struct Channels {
    pub handle: Handle,
    pub events: mpsc::Receiver<Event>,
    pub states_sender: watch::Sender<ServiceStates>,
    pub states: watch::Receiver<ServiceStates>,
}

pub fn channels() -> Channels {
    let (events, mailbox) = mpsc::channel(QUEUE_CAPACITY);
    let (states_sender, states) = watch::channel(ServiceStates::default());
    let handle = Handle { events, last_link: Arc::default(), applied_revision: Arc::default() };
    Channels { handle, events: mailbox, states_sender, states }
}
