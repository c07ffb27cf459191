//! Runs one attempt or probe, from when the core asks for it to its outcome. Each has a task of its own that ends with
//! it, so a node that gets nothing has no task.

use crate::clock::{Clock, MILLIS};
use crate::messages::{AttemptResult, ClientRequest};
use crate::phases::Phase;
use crate::shared::Shared;
use crate::streaming::{self, Upload, Value};
use crate::upstream::connection::{Connection, Reply, StreamedReply, connect};
use crate::upstream::reply_wait::ReplyWait;
use pumicebay_core::policy::deadline;
use pumicebay_core::{Nanos, Node, Outcome, RequestId};
use std::fmt::{self, Display, Formatter};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::task::yield_now;
use tokio::time::{Instant, sleep_until};
use tokio_util::sync::CancellationToken;

/// The client of a request that arrived within this time is assumed to be still connected.
const RECENT: Nanos = 20 * MILLIS;

/// What the module asks of a node.
pub enum NodeOperation {
    /// One attempt of a request. If `cancel` is triggered before its last byte is sent, the rest is never sent.
    Attempt {
        /// The id of the request in this process.
        request_id: RequestId,
        /// 0 for the request's first attempt.
        attempt_number: usize,
        /// What is sent to the node.
        request: Arc<ClientRequest>,
        /// When the attempt is given up.
        deadline: Instant,
        /// Cancels the attempt.
        cancel: CancellationToken,
    },
    /// A health check, which for a cache node may also fetch its load.
    Probe {
        /// When the probe is given up.
        deadline: Instant,
    },
}

impl NodeOperation {
    fn cancel_token(&self) -> Option<&CancellationToken> {
        if let NodeOperation::Attempt { cancel, .. } = self { Some(cancel) } else { None }
    }

    /// Whether the attempt was cancelled, or its client has left, which the module may not know yet.
    fn is_cancelled(&self) -> bool {
        let gone = matches!(self, NodeOperation::Attempt { request, .. } if request.client_disconnected());
        gone || self.cancel_token().is_some_and(CancellationToken::is_cancelled)
    }

    /// Lets the runtime process disconnects first, if the request is old enough for its client to have left; returns
    /// whether it did. After a long turn, in which the runtime polled no sockets, this keeps attempts from being sent
    /// to nodes for clients that are gone.
    async fn yield_to_disconnects(&self, shared: &Shared) -> bool {
        let now = shared.clock.now();
        let old = matches!(self, NodeOperation::Attempt { request, .. } if now.saturating_sub(request.received_at) > RECENT);
        if old {
            // A task that yields runs again after the runtime has polled the sockets, behind the tasks that this woke.
            // A new task does the yielding because this one may already be queued ahead of them.
            let _ = tokio::spawn(yield_now()).await;
        }
        old
    }

    /// When the client of an attempt with a streamed value stops waiting; `None` while that is not known.
    fn upload_deadline(&self) -> Option<Instant> {
        if let NodeOperation::Attempt { request, .. } = self { request.upload_deadline() } else { None }
    }

    /// Returns once the client of an attempt with a streamed value has stopped waiting. The outcome says nothing about
    /// the node, which may just have been given the value too late.
    async fn upload_time_over(&self) -> Outcome {
        match self {
            NodeOperation::Attempt { request, .. } => request.upload_time_over().await,
            NodeOperation::Probe { .. } => std::future::pending().await,
        }
        Outcome::Unsent
    }

    /// Whether the request of an attempt has its final answer, or its client has left.
    pub fn is_answered(&self) -> bool {
        matches!(self, NodeOperation::Attempt { request, .. } if request.is_answered())
    }

    /// Returns once the request of an attempt has its final answer.
    pub async fn answered(&self) {
        self.cancelled().await;
        // Attempts are also cancelled where a node may get no new ones.
        if !self.is_answered() {
            std::future::pending().await
        }
    }

    /// When the reply to an attempt with this deadline is given up if it has begun.
    pub fn begun_reply_deadline(&self, clock: Clock, deadline: Instant) -> Instant {
        match self.client_deadline(clock) {
            Some(client_deadline) => {
                clock.instant(deadline::begun_reply_deadline(clock.at(deadline), clock.at(client_deadline)))
            }
            None => deadline,
        }
    }

    /// When a long value that has begun must be passed on; for a probe, which has none, now.
    pub fn first_byte_deadline(&self, clock: Clock) -> Instant {
        let client_deadline = self.client_deadline(clock).unwrap_or_else(Instant::now);
        clock.instant(deadline::first_byte_deadline(clock.at(client_deadline)))
    }

    /// When the client of an attempt stops waiting; `None` for a probe, and while that is not known.
    fn client_deadline(&self, clock: Clock) -> Option<Instant> {
        match self {
            NodeOperation::Attempt { request, .. } if request.upload.is_some() => request.upload_deadline(),
            NodeOperation::Attempt { request, .. } => Some(clock.instant(request.deadline)),
            NodeOperation::Probe { .. } => None,
        }
    }

    /// Returns when the attempt is cancelled; never for a probe.
    async fn cancelled(&self) {
        match self.cancel_token() {
            Some(cancel) => cancel.cancelled().await,
            None => std::future::pending().await,
        }
    }
}

impl Display for NodeOperation {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            NodeOperation::Attempt { attempt_number, request, .. } => {
                write!(f, "request {}: attempt {attempt_number}", String::from_utf8_lossy(&request.id))
            }
            NodeOperation::Probe { .. } => write!(f, "probe"),
        }
    }
}

/// The node that an attempt or probe goes to.
#[derive(Clone, Copy, Debug)]
pub struct Target {
    /// The number of the node.
    pub node: Node,
    /// Its current address, which discovery may change later.
    pub address: SocketAddr,
    /// Whether the node is the origin.
    pub origin: bool,
}

/// Spawns a task that runs an attempt or probe and reports its outcome to the module.
pub fn spawn(shared: &Shared, target: Target, operation: NodeOperation) {
    let shared = shared.clone();
    tokio::spawn(async move {
        let mut leaving = shared.phase.clone();
        let (back, connection) = tokio::select! {
            done = run(&shared, target, &operation) => done,
            () = leaving.reached(Phase::Leaving) => (Some(Outcome::Withdrawn.into()), None),
        };
        // A process that takes over needs the descriptors, so nothing is put back then.
        if let Some(connection) = connection.filter(|_| shared.successor.get().is_none()) {
            shared.upstream.put_back(target.node, connection);
        }
        let Some(back) = back else { return };
        match operation {
            NodeOperation::Attempt { request_id, attempt_number, .. } => {
                shared.dispatcher.attempt_ended(request_id, attempt_number, target.node, back).await
            }
            NodeOperation::Probe { .. } => shared.dispatcher.probe_ended(target.node, back).await,
        }
    });
}

/// Runs an attempt or probe over an idle connection or a new one. Returns what is still to be reported, and the
/// connection if it can be reused.
async fn run(
    shared: &Shared,
    target: Target,
    operation: &NodeOperation,
) -> (Option<AttemptResult>, Option<Box<Connection>>) {
    let Target { node, address, origin } = target;
    // A cancelled attempt needs no connection.
    let idle = if operation.is_cancelled() { None } else { shared.upstream.take_idle(node, address) };
    let (NodeOperation::Attempt { deadline, .. } | NodeOperation::Probe { deadline }) = operation;
    let mut deadline = *deadline;
    let time_limit = deadline.saturating_duration_since(Instant::now());
    let upload = match operation {
        NodeOperation::Attempt { request, .. } => request.upload.as_deref(),
        NodeOperation::Probe { .. } => None,
    };
    let value = upload.and_then(Upload::take);
    if upload.is_some() && value.is_none() {
        // An earlier attempt has already sent the streamed value, which is not kept.
        return (Some(Outcome::Unsent.into()), idle);
    }
    let began = Instant::now();
    let yielded = operation.yield_to_disconnects(shared).await;
    // Meanwhile the connection may have been closed, or have received bytes that belong to no attempt.
    let idle = idle.filter(|connection| !yielded || shared.upstream.is_quiet(connection, began));
    if operation.is_cancelled() {
        shared.counters.tries_taken_back.add();
        return (Some(Outcome::Unsent.into()), idle);
    }
    let connected = async {
        if let Some(connection) = idle {
            shared.counters.connections_reused.add();
            return Ok(connection);
        }
        // Boxed, like other rare steps, to keep the future of each waiting attempt small.
        let connection = Box::pin(connect(shared, address, origin)).await?;
        operation.yield_to_disconnects(shared).await;
        Ok(connection)
    };
    let mut connection = match send_step(shared, operation, unreachable_at(deadline), connected).await {
        Ok(connection) => connection,
        Err(outcome) => return (Some(outcome.into()), None),
    };
    if operation.is_cancelled() {
        shared.counters.tries_taken_back.add();
        return (Some(Outcome::Unsent.into()), Some(connection));
    }
    tracing::debug!(
        "{operation} to {address}: on connection {}, {} requests before it",
        connection.id,
        connection.operations
    );
    // Until its last byte is written, the node cannot have run the request.
    let written = connection.write(shared, operation);
    if let Err(outcome) = send_step(shared, operation, unreachable_at(deadline), written).await {
        return (Some(outcome.into()), None);
    }
    if let Some(value) = value {
        let uploaded = Box::pin(connection.upload(value));
        if let Err(outcome) = send_step(shared, operation, operation.upload_time_over(), uploaded).await {
            return (Some(outcome.into()), None);
        }
        // The time limit of an attempt with a streamed value counts from the value's last byte.
        deadline = Instant::now() + time_limit;
        if let Some(client_deadline) = operation.upload_deadline() {
            deadline = deadline.min(client_deadline);
        }
    }
    let mut wait = ReplyWait::new(shared, target, operation, deadline);
    match wait.reply(&mut connection).await {
        Ok(Reply::Whole(back, last)) => (Some(back), (!last).then_some(connection)),
        Ok(Reply::Streamed(reply)) => {
            Box::pin(stream_value(shared, target, operation, connection, wait, reply)).await
        }
        Err(outcome) => (Some(outcome.into()), None),
    }
}

/// Streams a long value to the client as it arrives, after reporting the attempt as completed.
async fn stream_value(
    shared: &Shared,
    target: Target,
    operation: &NodeOperation,
    mut connection: Box<Connection>,
    mut wait: ReplyWait<'_>,
    reply: StreamedReply,
) -> (Option<AttemptResult>, Option<Box<Connection>>) {
    let StreamedReply { length, reported_load, last } = reply;
    let address = target.address;
    let begun = match wait.permit().await {
        Ok(permit) => wait.first_pieces(&mut connection, length).await.map(|first| (permit, first)),
        Err(outcome) => Err(outcome),
    };
    let (permit, first) = match begun {
        Ok(begun) => begun,
        Err(outcome) => return (Some(outcome.into()), None),
    };
    let (source, value) = streaming::streamed_value(length, Some(permit));
    let back = AttemptResult { outcome: Outcome::Completed, value: Value::Streamed(value), reported_load };
    if let NodeOperation::Attempt { request_id, attempt_number, .. } = operation {
        shared.dispatcher.attempt_ended(*request_id, *attempt_number, target.node, back).await;
    }
    match connection.forward_value(first, source).await {
        Ok(()) => (None, (!last).then_some(connection)),
        Err(error) => {
            tracing::info!("{address}: streaming a long value failed: {error:#}");
            shared.counters.values_broken.add();
            (None, None)
        }
    }
}

/// The outcome of an attempt that got no whole reply: `Errored` if the reply was malformed, which is logged, and `Severed`
/// if the connection broke.
pub fn failure_outcome(operation: &NodeOperation, connection: &Connection, error: &anyhow::Error) -> Outcome {
    let Connection { id, address, operations, .. } = connection;
    let invalid_reply =
        error.downcast_ref::<std::io::Error>().is_none_or(|e| e.kind() == ErrorKind::InvalidData);
    if invalid_reply {
        tracing::warn!(
            "{address}: no valid reply: {error:#}; {operation}, request {operations} on connection {id}"
        );
        return Outcome::Errored;
    }
    tracing::debug!("{address}: connection {id} broke: {error:#}; {operation}");
    Outcome::Severed
}

/// Runs a step of sending unless the attempt is cancelled, then the outcome is `Unsent`, or its time is over first, then
/// it is what `time_over` returns. Every step that sends goes through here, so that none outlasts its request. An attempt
/// that waited must not start once its request is answered, its client gone or its node draining: no attempt of a
/// request may go on after its final answer, a draining node gets no new work, and nodes do no work in vain.
/// Cancellation and time are checked first each time the step could go on, so that what is cancelled or late before its
/// last byte never runs.
async fn send_step<T>(
    shared: &Shared,
    operation: &NodeOperation,
    time_over: impl Future<Output = Outcome>,
    step: impl Future<Output = Result<T, Outcome>>,
) -> Result<T, Outcome> {
    tokio::select! {
        biased;
        () = operation.cancelled() => {
            shared.counters.tries_taken_back.add();
            Err(Outcome::Unsent)
        }
        outcome = time_over => Err(outcome),
        done = step => done,
    }
}

/// The outcome of a step of sending that is not done by the deadline: the node has not received the whole request.
async fn unreachable_at(deadline: Instant) -> Outcome {
    sleep_until(deadline).await;
    Outcome::Unreachable
}
