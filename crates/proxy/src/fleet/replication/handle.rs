//! The way to the replica's actor, and what holds by the orders.

use crate::fleet::wire::Frame;
use pumicebay_replication::{Lease, LinkId, Message, Refusal, ServiceState, Snapshot, Stamp, Status};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::timeout;

const MAILBOX: usize = 1024;
/// How long an order may take until it is on disk: operators' calls are answered within a second.
const ON_DISK: Duration = Duration::from_millis(600);

/// An order as it is given at this process.
#[derive(Clone, Debug)]
pub struct Order {
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
    Heard {
        link: LinkId,
        message: Message,
    },
    LinkDown {
        link: LinkId,
    },
    DialFailed,
    Kept(Box<Snapshot>),
    Give {
        order: Order,
        answer: oneshot::Sender<Result<Stamp, Refusal>>,
        on_disk: oneshot::Sender<()>,
    },
    Status {
        answer: mpsc::Sender<Frame>,
    },
    Show {
        answer: oneshot::Sender<Status>,
    },
}

/// What holds by all orders that are known: by node, as of a revision that grows.
#[derive(Clone, Debug, Default)]
pub struct Ordered {
    pub revision: u64,
    pub services: BTreeMap<String, ServiceState>,
}

/// Why an order was not given.
#[derive(Debug)]
pub enum NotGiven {
    Refused(Refusal),
    /// It is given and spreads, but this process's disk does not have it.
    NotOnDisk,
    /// The replica has ended.
    Ended,
}

/// The way to the actor.
#[derive(Clone)]
pub struct Handle {
    events: mpsc::Sender<Event>,
    links: Arc<AtomicU64>,
    /// The revision of what holds that has been carried out.
    applied: Arc<AtomicU64>,
}

impl Handle {
    /// Waits for room: each that says something is a task of its own, and only it waits. False when the actor has ended.
    pub async fn say(&self, event: Event) -> bool {
        self.events.send(event).await.is_ok()
    }

    /// A number for a new link, never used before in this process.
    pub fn new_link(&self) -> LinkId {
        self.links.fetch_add(1, Ordering::Relaxed) + 1
    }

    /// Gives an order; returns once it holds in the replica and is on disk, where there is one.
    pub async fn give(&self, order: Order) -> Result<Stamp, NotGiven> {
        let ((answer, answered), (on_disk, written)) = (oneshot::channel(), oneshot::channel());
        if !self.say(Event::Give { order, answer, on_disk }).await {
            return Err(NotGiven::Ended);
        }
        let stamp = answered.await.map_err(|_| NotGiven::Ended)?.map_err(NotGiven::Refused)?;
        match timeout(ON_DISK, written).await {
            Ok(Ok(())) => Ok(stamp),
            Ok(Err(_)) | Err(_) => Err(NotGiven::NotOnDisk),
        }
    }

    /// What the replica shows of itself.
    pub async fn show(&self) -> Option<Status> {
        let (answer, answered) = oneshot::channel();
        self.say(Event::Show { answer }).await;
        answered.await.ok()
    }

    /// What holds as of this revision has been carried out.
    pub fn applied(&self, revision: u64) {
        self.applied.store(revision, Ordering::Release);
    }

    pub fn last_applied(&self) -> u64 {
        self.applied.load(Ordering::Acquire)
    }
}

/// What one process has of it.
pub struct Channels {
    pub handle: Handle,
    pub events: mpsc::Receiver<Event>,
    pub tell: watch::Sender<Ordered>,
    pub ordered: watch::Receiver<Ordered>,
}

pub fn channels() -> Channels {
    let (events, mailbox) = mpsc::channel(MAILBOX);
    let (tell, ordered) = watch::channel(Ordered::default());
    let handle = Handle { events, links: Arc::default(), applied: Arc::default() };
    Channels { handle, events: mailbox, tell, ordered }
}
