//! The handle of the replica actor, and the service states that follow from the orders.

use crate::fleet::wire::Frame;
use pumicebay_replication::{Lease, LinkId, Message, Refusal, ServiceState, Snapshot, Stamp, Status};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::timeout;

const QUEUE_CAPACITY: usize = 1024;
/// How long writing an order to disk may take. It is below one second because operators' calls are answered
/// within a second.
const PERSIST_TIMEOUT: Duration = Duration::from_millis(600);

/// An order to be issued at this process.
#[derive(Clone, Debug)]
pub struct NewOrder {
    /// The id of the node.
    pub node: String,
    /// The state that the node shall have.
    pub service: ServiceState,
    /// The lease under which the order is issued, if any.
    pub lease: Option<Lease>,
}

/// An event for the replica actor.
pub enum Event {
    /// A link is up. `dialled` is true if this process connected; messages to the peer go into `mailbox`.
    LinkUp { link: LinkId, peer: String, dialled: bool, mailbox: mpsc::Sender<Message> },
    /// A message from the peer at the other end of the link.
    MessageReceived { link: LinkId, message: Message },
    /// A link has ended.
    LinkDown { link: LinkId },
    /// A connection attempt to a peer failed.
    DialFailed,
    /// This snapshot is on disk.
    Persisted(Box<Snapshot>),
    /// Issues an order. `answer` gets its stamp, or why it is refused; `persisted` is signalled once it is on
    /// disk.
    Issue { order: NewOrder, answer: oneshot::Sender<Result<Stamp, Refusal>>, persisted: oneshot::Sender<()> },
    /// A command's request for the status, to be answered with a frame.
    StatusFrame { answer: mpsc::Sender<Frame> },
    /// A request for the status from within the process.
    Status { answer: oneshot::Sender<Status> },
}

/// The service state of each node that has orders, derived from all known orders.
#[derive(Clone, Debug, Default)]
pub struct ServiceStates {
    /// Increases with each change.
    pub revision: u64,
    /// The service state by node id.
    pub by_node: BTreeMap<String, ServiceState>,
}

/// Why issuing an order failed.
#[derive(Debug)]
pub enum IssueError {
    /// The replica refused the order.
    Refused(Refusal),
    /// The order is in force and is replicated, but it was not written to this process's disk in time.
    NotPersisted,
    /// The replica actor has ended.
    ReplicaStopped,
}

/// Sends events to the replica actor.
#[derive(Clone)]
pub struct Handle {
    events: mpsc::Sender<Event>,
    /// The id of the newest link.
    last_link: Arc<AtomicU64>,
    /// The newest revision of the service states that has been applied in the serving process.
    applied_revision: Arc<AtomicU64>,
}

impl Handle {
    /// Sends an event, waiting while the queue is full. Each sender is a task of its own, so nothing else
    /// waits. Returns false if the actor has ended.
    pub async fn send(&self, event: Event) -> bool {
        self.events.send(event).await.is_ok()
    }

    /// An id for a new link, never used before in this process.
    pub fn next_link_id(&self) -> LinkId {
        self.last_link.fetch_add(1, Ordering::Relaxed) + 1
    }

    /// Issues an order. Returns its stamp once it is in force in the replica and, if there is a disk, written
    /// to it.
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

    /// The status of the replica; `None` if the actor has ended.
    pub async fn status(&self) -> Option<Status> {
        let (answer, answered) = oneshot::channel();
        self.send(Event::Status { answer }).await;
        answered.await.ok()
    }

    /// Reports that the service states of this revision have been applied in the serving process.
    pub fn set_applied_revision(&self, revision: u64) {
        self.applied_revision.store(revision, Ordering::Release);
    }

    /// The newest revision of the service states that has been applied in the serving process.
    pub fn applied_revision(&self) -> u64 {
        self.applied_revision.load(Ordering::Acquire)
    }
}

/// The ends of the channels to and from the replica actor of one process.
pub struct Channels {
    /// Sends events to the actor.
    pub handle: Handle,
    /// The actor's event queue.
    pub events: mpsc::Receiver<Event>,
    /// Publishes the service states.
    pub states_sender: watch::Sender<ServiceStates>,
    /// Receives the service states.
    pub states: watch::Receiver<ServiceStates>,
}

/// Creates the channels of one process.
pub fn channels() -> Channels {
    let (events, mailbox) = mpsc::channel(QUEUE_CAPACITY);
    let (states_sender, states) = watch::channel(ServiceStates::default());
    let handle = Handle { events, last_link: Arc::default(), applied_revision: Arc::default() };
    Channels { handle, events: mailbox, states_sender, states }
}
