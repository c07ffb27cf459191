//! The events that the dispatcher handles, and the handle for sending them.

use crate::control::{ControlCommand, ControlHandle};
use crate::streaming::{Upload, Value};
use bytes::Bytes;
use pumicebay_core::{ListedNode, Nanos, Node, Outcome, ReportedLoad, RequestId, RequestParams};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Weak};
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep_until};

/// Events that may wait for the dispatcher.
const EVENT_QUEUE: usize = 4096;
/// Control commands that may wait for the dispatcher.
const COMMAND_QUEUE: usize = 64;

/// A client's request as it is forwarded to nodes. The value of a write is kept until the request is
/// answered.
#[derive(Debug)]
pub struct ClientRequest {
    /// When its last byte arrived.
    pub received_at: Nanos,
    /// When its client stops waiting.
    pub deadline: Nanos,
    /// Can be upgraded while the client is connected, so that a disconnect is seen before the dispatcher
    /// handles it.
    pub client_alive: Weak<()>,
    /// Whether it may run any number of times.
    pub may_run_twice: bool,
    /// Whether it writes a value.
    pub write: bool,
    pub key: Bytes,
    /// The client's id of the request, by which nodes tell requests apart.
    pub id: Bytes,
    /// The list of names and values as the client sent it.
    pub labels: Bytes,
    /// The value of a write, unless it is streamed; empty for a read.
    pub value: Bytes,
    /// The value of a write that is streamed.
    pub upload: Option<Box<Upload>>,
    /// Whether it has its final answer, or its client has left.
    pub answered: AtomicBool,
}

impl ClientRequest {
    /// Whether the client has disconnected.
    pub fn client_disconnected(&self) -> bool {
        self.client_alive.strong_count() == 0
    }

    /// Whether it has its final answer, or its client has left.
    pub fn is_answered(&self) -> bool {
        self.answered.load(Ordering::Relaxed)
    }

    /// How long the client waits from the request's last byte on.
    fn client_timeout(&self) -> Duration {
        Duration::from_nanos(self.deadline.saturating_sub(self.received_at))
    }

    /// When the client of a streamed write stops waiting; `None` while the last byte has not arrived.
    pub fn upload_deadline(&self) -> Option<Instant> {
        let arrived_at = self.upload.as_ref()?.last_byte.get()?;
        Some(*arrived_at + self.client_timeout())
    }

    /// Returns once the client of a streamed write has stopped waiting; never for other requests.
    pub async fn upload_time_over(&self) {
        match &self.upload {
            Some(upload) => sleep_until(*upload.last_byte.wait().await + self.client_timeout()).await,
            None => std::future::pending().await,
        }
    }
}

/// The final answer to a request.
#[derive(Debug)]
pub enum Answer {
    /// The value, or a node's reply to a write.
    Completed(Value),
    /// The client may safely send the request again, after so many nanoseconds.
    Shed(Nanos),
    /// The request failed; it may or may not have taken effect.
    Errored,
    /// The request itself is wrong; the text is sent to the client.
    Rejected(Bytes),
}

/// A node as discovery lists it.
#[derive(Clone, Debug)]
pub struct DiscoveredNode {
    /// Its unique id.
    pub uid: Arc<str>,
    /// The address of its service.
    pub address: SocketAddr,
    /// What else the list says about it.
    pub listed: ListedNode,
}

/// Consecutive entries of a list, or of changes to it.
#[derive(Clone, Debug)]
pub struct ListPart {
    /// The nodes of these entries.
    pub nodes: Vec<DiscoveredNode>,
    /// Whether the parts together name all nodes, so that others are gone after the last part.
    pub full: bool,
    /// Whether this is the first part.
    pub first: bool,
    /// Whether this is the last part.
    pub last: bool,
}

/// The result of an attempt or a probe.
#[derive(Debug)]
pub struct AttemptResult {
    /// How it ended.
    pub outcome: Outcome,
    /// The value, or the text of a rejection; empty otherwise.
    pub value: Value,
    /// The load that the node reported.
    pub reported_load: Option<ReportedLoad>,
}

impl From<Outcome> for AttemptResult {
    fn from(outcome: Outcome) -> AttemptResult {
        AttemptResult { outcome, value: Bytes::new().into(), reported_load: None }
    }
}

/// An event for the dispatcher.
pub enum Event {
    /// A client's request arrived; the sender takes its final answer.
    RequestReceived(RequestId, RequestParams, Arc<ClientRequest>, oneshot::Sender<Answer>),
    /// The client of a request disconnected.
    ClientDisconnected(RequestId),
    /// An attempt ended: the request, the attempt's number, the node, and the result.
    AttemptEnded(RequestId, usize, Node, AttemptResult),
    /// The reply to an attempt has begun and then paused: the request and the attempt's number.
    ReplyStalled(RequestId, usize),
    /// A probe of the node ended.
    ProbeEnded(Node, AttemptResult),
    /// Discovery sent entries of the list.
    NodesListed(ListPart),
    /// A call for the list failed.
    ListFailed,
}

impl Event {
    /// Names the event in the log.
    pub fn description(&self) -> &'static str {
        match self {
            Event::RequestReceived(..) => "the arrival of a request",
            Event::ClientDisconnected(..) => "the disconnect of a client",
            Event::AttemptEnded(..) => "the end of an attempt",
            Event::ReplyStalled(..) => "a reply that has paused",
            Event::ProbeEnded(..) => "the end of a probe",
            Event::NodesListed(..) => "entries of the node list",
            Event::ListFailed => "a failed call for the node list",
        }
    }
}

/// Sends events to the dispatcher. Clones share the mailbox.
#[derive(Clone)]
pub struct DispatcherHandle {
    events: mpsc::Sender<Event>,
    last_request_id: Arc<AtomicU64>,
}

impl DispatcherHandle {
    async fn send(&self, event: Event) {
        // The dispatcher ends only with the process, so a failure to send needs no handling.
        let _ = self.events.send(event).await;
    }

    /// Submits a request. Returns its number and the channel by which the final answer comes.
    pub async fn submit(
        &self,
        ask: RequestParams,
        request: ClientRequest,
    ) -> (RequestId, oneshot::Receiver<Answer>) {
        let (answer, answered) = oneshot::channel();
        let request_id = self.last_request_id.fetch_add(1, Ordering::Relaxed) + 1;
        self.send(Event::RequestReceived(request_id, ask, Arc::new(request), answer)).await;
        (request_id, answered)
    }

    /// Reports that the client of a request disconnected.
    pub async fn client_disconnected(&self, request_id: RequestId) {
        self.send(Event::ClientDisconnected(request_id)).await;
    }

    /// Reports the result of an attempt.
    pub async fn attempt_ended(
        &self,
        request_id: RequestId,
        attempt_number: usize,
        node: Node,
        result: AttemptResult,
    ) {
        self.send(Event::AttemptEnded(request_id, attempt_number, node, result)).await;
    }

    /// Reports that the reply to an attempt has begun and then paused.
    pub async fn reply_stalled(&self, request_id: RequestId, attempt_number: usize) {
        self.send(Event::ReplyStalled(request_id, attempt_number)).await;
    }

    /// Reports the result of a probe.
    pub async fn probe_ended(&self, node: Node, result: AttemptResult) {
        self.send(Event::ProbeEnded(node, result)).await;
    }

    /// Reports entries of the list.
    pub async fn nodes_listed(&self, part: ListPart) {
        self.send(Event::NodesListed(part)).await;
    }

    /// Reports that a call for the list failed.
    pub async fn list_failed(&self) {
        self.send(Event::ListFailed).await;
    }
}

/// The dispatcher's ends of the channels for events and for control commands.
pub struct Mailbox(pub mpsc::Receiver<Event>, pub mpsc::Receiver<ControlCommand>);

/// Creates the channels of a dispatcher.
pub fn channels() -> (DispatcherHandle, ControlHandle, Mailbox) {
    let ((events, event_queue), (commands, command_queue)) =
        (mpsc::channel(EVENT_QUEUE), mpsc::channel(COMMAND_QUEUE));
    (
        DispatcherHandle { events, last_request_id: Arc::default() },
        ControlHandle(commands),
        Mailbox(event_queue, command_queue),
    )
}
