//! What the parts of a proxy tell the decisions, and the handle by which they do.

use crate::desk::{Desk, Order};
use crate::long::{Upload, Value};
use bytes::Bytes;
use pumicebay_core::{ListedNode, Nanos, Node, Outcome, ReportedLoad, RequestId, RequestParams};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Weak};
use tokio::sync::{mpsc, oneshot};

const MAILBOX: usize = 4096;
const ORDERS: usize = 64;

/// An exchange as it goes on to nodes; the value of a write is kept until its answer, no other.
#[derive(Debug)]
pub struct Cargo {
    /// When its last byte came.
    pub at: Nanos,
    /// Until when its client waits.
    pub ends: Nanos,
    /// Its client's connection, as long as it is there: tells of its end before the module hears of it.
    pub client: Weak<()>,
    pub write: bool,
    pub key: Bytes,
    pub id: Bytes,
    /// The list of names and values as it came.
    pub labels: Bytes,
    pub value: Bytes,
    /// The value instead, where it is long: as it comes.
    pub upload: Option<Box<Upload>>,
}

impl Cargo {
    pub fn client_has_left(&self) -> bool {
        self.client.strong_count() == 0
    }
}

/// The final answer to an exchange.
#[derive(Debug)]
pub enum Answer {
    Completed(Value),
    Shed(Nanos),
    Errored,
    /// The client's own fault, in words for it.
    Rejected(Bytes),
}

/// A node as discovery names it.
#[derive(Clone, Debug)]
pub struct Named {
    pub uid: Arc<str>,
    pub address: SocketAddr,
    pub listed: ListedNode,
}

/// Some entries of a list or of changes, in their order.
#[derive(Clone, Debug)]
pub struct ListPart {
    pub named: Vec<Named>,
    /// All nodes there are, once its last part has come.
    pub whole: bool,
    pub first: bool,
    pub last: bool,
}

/// What came back for a try or a probe.
#[derive(Debug)]
pub struct Back {
    pub outcome: Outcome,
    pub value: Value,
    pub held: Option<ReportedLoad>,
}

impl From<Outcome> for Back {
    fn from(outcome: Outcome) -> Back {
        Back { outcome, value: Bytes::new().into(), held: None }
    }
}

pub enum Event {
    Arrived(RequestId, RequestParams, Arc<Cargo>, oneshot::Sender<Answer>),
    Dropped(RequestId),
    Ended(RequestId, usize, Node, Back),
    Probed(Node, Back),
    Listed(ListPart),
    ListFailed,
}

impl Event {
    /// For the log.
    pub fn about(&self) -> &'static str {
        match self {
            Event::Arrived(..) => "a request that arrived",
            Event::Dropped(..) => "a client that left",
            Event::Ended(..) => "an attempt that ended",
            Event::Probed(..) => "a probe that ended",
            Event::Listed(..) => "entries of the list",
            Event::ListFailed => "a list that did not come",
        }
    }
}

/// The way to the module for all other actors.
#[derive(Clone)]
pub struct Door {
    mailbox: mpsc::Sender<Event>,
    last: Arc<AtomicU64>,
}

impl Door {
    async fn post(&self, event: Event) {
        // The module ends only with the process.
        let _ = self.mailbox.send(event).await;
    }

    /// Takes an exchange; its final answer comes by the channel.
    pub async fn arrive(&self, ask: RequestParams, cargo: Cargo) -> (RequestId, oneshot::Receiver<Answer>) {
        let (answer, answered) = oneshot::channel();
        let xchg = self.last.fetch_add(1, Ordering::Relaxed) + 1;
        self.post(Event::Arrived(xchg, ask, Arc::new(cargo), answer)).await;
        (xchg, answered)
    }

    pub async fn dropped(&self, xchg: RequestId) {
        self.post(Event::Dropped(xchg)).await;
    }

    pub async fn ended(&self, xchg: RequestId, try_no: usize, node: Node, back: Back) {
        self.post(Event::Ended(xchg, try_no, node, back)).await;
    }

    pub async fn probed(&self, node: Node, back: Back) {
        self.post(Event::Probed(node, back)).await;
    }

    pub async fn listed(&self, part: ListPart) {
        self.post(Event::Listed(part)).await;
    }

    pub async fn list_failed(&self) {
        self.post(Event::ListFailed).await;
    }
}

/// The module's mailboxes.
pub struct Mailbox(pub mpsc::Receiver<Event>, pub mpsc::Receiver<Order>);

pub fn door() -> (Door, Desk, Mailbox) {
    let ((mailbox, events), (orders, ordered)) = (mpsc::channel(MAILBOX), mpsc::channel(ORDERS));
    (Door { mailbox, last: Arc::default() }, Desk(orders), Mailbox(events, ordered))
}
