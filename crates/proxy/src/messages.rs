//! What the parts of a proxy tell the decisions, and the handle by which they do.

use crate::desk::{ControlCommand, ControlHandle};
use crate::long::{Upload, Value};
use bytes::Bytes;
use pumicebay_core::{Ask, Held, Listed, Nanos, Node, Outcome, RequestId};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Weak};
use tokio::sync::{mpsc, oneshot};

const EVENT_QUEUE: usize = 4096;
const COMMAND_QUEUE: usize = 64;

/// An exchange as it goes on to nodes; the value of a write is kept until its answer, no other.
#[derive(Debug)]
pub struct ClientRequest {
    /// When its last byte came.
    pub received_at: Nanos,
    /// Until when its client waits.
    pub deadline: Nanos,
    /// Its client's connection, as long as it is there: tells of its end before the module hears of it.
    pub client_alive: Weak<()>,
    pub write: bool,
    pub key: Bytes,
    pub id: Bytes,
    /// The list of names and values as it came.
    pub labels: Bytes,
    pub value: Bytes,
    /// The value instead, where it is long: as it comes.
    pub upload: Option<Box<Upload>>,
}

impl ClientRequest {
    pub fn client_disconnected(&self) -> bool {
        self.client_alive.strong_count() == 0
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
pub struct ListedNode {
    pub uid: Arc<str>,
    pub address: SocketAddr,
    pub listed: Listed,
}

/// Some entries of a list or of changes, in their order.
#[derive(Clone, Debug)]
pub struct ListPart {
    pub nodes: Vec<ListedNode>,
    /// All nodes there are, once its last part has come.
    pub full: bool,
    pub first: bool,
    pub last: bool,
}

/// What came back for a try or a probe.
#[derive(Debug)]
pub struct AttemptResult {
    pub outcome: Outcome,
    pub value: Value,
    pub held: Option<Held>,
}

impl From<Outcome> for AttemptResult {
    fn from(outcome: Outcome) -> AttemptResult {
        AttemptResult { outcome, value: Bytes::new().into(), held: None }
    }
}

pub enum Event {
    RequestReceived(RequestId, Ask, Arc<ClientRequest>, oneshot::Sender<Answer>),
    ClientDisconnected(RequestId),
    AttemptEnded(RequestId, usize, Node, AttemptResult),
    ProbeEnded(Node, AttemptResult),
    NodesListed(ListPart),
    ListFailed,
}

impl Event {
    /// For the log.
    pub fn description(&self) -> &'static str {
        match self {
            Event::RequestReceived(..) => "a request that arrived",
            Event::ClientDisconnected(..) => "a client that left",
            Event::AttemptEnded(..) => "an attempt that ended",
            Event::ProbeEnded(..) => "a probe that ended",
            Event::NodesListed(..) => "entries of the list",
            Event::ListFailed => "a list that did not come",
        }
    }
}

/// The way to the module for all other actors.
#[derive(Clone)]
pub struct DispatcherHandle {
    events: mpsc::Sender<Event>,
    last_request_id: Arc<AtomicU64>,
}

impl DispatcherHandle {
    async fn send(&self, event: Event) {
        // The module ends only with the process.
        let _ = self.events.send(event).await;
    }

    /// Takes an exchange; its final answer comes by the channel.
    pub async fn submit(&self, ask: Ask, request: ClientRequest) -> (RequestId, oneshot::Receiver<Answer>) {
        let (answer, answered) = oneshot::channel();
        let request_id = self.last_request_id.fetch_add(1, Ordering::Relaxed) + 1;
        self.send(Event::RequestReceived(request_id, ask, Arc::new(request), answer)).await;
        (request_id, answered)
    }

    pub async fn client_disconnected(&self, request_id: RequestId) {
        self.send(Event::ClientDisconnected(request_id)).await;
    }

    pub async fn attempt_ended(
        &self,
        request_id: RequestId,
        attempt: usize,
        node: Node,
        result: AttemptResult,
    ) {
        self.send(Event::AttemptEnded(request_id, attempt, node, result)).await;
    }

    pub async fn probe_ended(&self, node: Node, result: AttemptResult) {
        self.send(Event::ProbeEnded(node, result)).await;
    }

    pub async fn nodes_listed(&self, part: ListPart) {
        self.send(Event::NodesListed(part)).await;
    }

    pub async fn list_failed(&self) {
        self.send(Event::ListFailed).await;
    }
}

/// The module's mailboxes.
pub struct Mailbox(pub mpsc::Receiver<Event>, pub mpsc::Receiver<ControlCommand>);

pub fn channels() -> (DispatcherHandle, ControlHandle, Mailbox) {
    let ((events, event_queue), (commands, command_queue)) =
        (mpsc::channel(EVENT_QUEUE), mpsc::channel(COMMAND_QUEUE));
    (
        DispatcherHandle { events, last_request_id: Arc::default() },
        ControlHandle(commands),
        Mailbox(event_queue, command_queue),
    )
}
