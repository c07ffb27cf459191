//! One attempt or probe, from when the decisions ask for it to its outcome. Each has a task of its own, which ends with
//! it: a node that nothing is sent to has none.

use crate::clock::MILLIS;
use crate::messages::{AttemptResult, ClientRequest};
use crate::phases::Phase;
use crate::shared::Shared;
use crate::streaming::{self, Upload, Value};
use crate::upstream::connection::{Came, Connection, connect};
use pumicebay_core::{Nanos, Node, Outcome, ReportedLoad, RequestId};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::yield_now;
use tokio::time::{Instant, timeout_at};
use tokio_util::sync::CancellationToken;

/// A client whose request came no longer ago can't have left for longer.
const LATELY: Nanos = 20 * MILLIS;

/// What the module asks of a node; the node's address, which may change, comes with it.
pub enum Errand {
    /// `recall` takes it back: if its last byte isn't sent by then, it never is.
    Try {
        xchg: RequestId,
        try_no: usize,
        cargo: Arc<ClientRequest>,
        until: Instant,
        recall: CancellationToken,
    },
    Probe {
        until: Instant,
    },
}

impl Errand {
    fn recall(&self) -> Option<&CancellationToken> {
        if let Errand::Try { recall, .. } = self { Some(recall) } else { None }
    }

    /// Taken back, or its client has left, of which the module may not have heard.
    fn recalled(&self) -> bool {
        let gone = matches!(self, Errand::Try { cargo, .. } if cargo.client_disconnected());
        gone || self.recall().is_some_and(CancellationToken::is_cancelled)
    }

    /// Has the runtime hear first of clients that have left, where this one may have: guards nodes from attempts that
    /// begin for nobody after a turn in which nothing was heard. Whether it did.
    async fn hears(&self, shared: &Shared) -> bool {
        let now = shared.clock.now();
        let long =
            matches!(self, Errand::Try { cargo, .. } if now.saturating_sub(cargo.received_at) > LATELY);
        if long {
            // A task that yields goes on once the sockets were looked at, behind those who are told of an end then. One
            // of its own, as the node's may stand before these already.
            let _ = tokio::spawn(yield_now()).await;
        }
        long
    }

    /// Returns when it is taken back.
    async fn taken_back(&self) {
        match self.recall() {
            Some(recall) => recall.cancelled().await,
            None => std::future::pending().await,
        }
    }
}

/// Where an attempt goes.
#[derive(Clone, Copy, Debug)]
pub struct Target {
    pub node: Node,
    pub address: SocketAddr,
    pub origin: bool,
}

/// Begins an attempt or probe; the decisions are told of its outcome.
pub fn start(shared: &Shared, target: Target, errand: Errand) {
    let shared = shared.clone();
    tokio::spawn(async move {
        let mut leaving = shared.phase.clone();
        let (back, connection) = tokio::select! {
            done = carry(&shared, target, &errand) => done,
            () = leaving.reached(Phase::Leaving) => (Some(Outcome::Withdrawn.into()), None),
        };
        // The process that takes over needs the descriptors.
        if let Some(connection) = connection.filter(|_| shared.successor.get().is_none()) {
            shared.upstream.rest(target.node, connection);
        }
        let Some(back) = back else { return };
        match errand {
            Errand::Try { xchg, try_no, .. } => {
                shared.dispatcher.attempt_ended(xchg, try_no, target.node, back).await
            }
            Errand::Probe { .. } => shared.dispatcher.probe_ended(target.node, back).await,
        }
    });
}

/// Carries out one try or probe, over an idle connection or a new one.
async fn carry(
    shared: &Shared,
    target: Target,
    errand: &Errand,
) -> (Option<AttemptResult>, Option<Box<Connection>>) {
    let Target { node, address, origin } = target;
    // One that is taken back needs no connection.
    let idle = if errand.recalled() { None } else { shared.upstream.take(node, address) };
    let (Errand::Try { until, .. } | Errand::Probe { until }) = errand;
    let mut until = *until;
    let patience = until.saturating_duration_since(Instant::now());
    let upload = match errand {
        Errand::Try { cargo, .. } => cargo.upload.as_deref(),
        Errand::Probe { .. } => None,
    };
    let value = upload.and_then(Upload::take);
    if upload.is_some() && value.is_none() {
        // An earlier try has sent it on already.
        return (Some(Outcome::Unsent.into()), idle);
    }
    let heard = errand.hears(shared).await;
    // Meanwhile it may have ended, or brought what nobody asked for.
    let idle = idle.filter(|connection| !heard || connection.alive());
    if errand.recalled() {
        shared.counters.tries_taken_back.add();
        return (Some(Outcome::Unsent.into()), idle);
    }
    let up = async {
        if let Some(connection) = idle {
            shared.counters.connections_reused.add();
            return Ok(connection);
        }
        // Boxed, as are other rare parts: what each attempt holds while it waits stays small.
        let connection = Box::pin(connect(shared, address, origin)).await?;
        errand.hears(shared).await;
        Ok(connection)
    };
    let mut connection = match unless_taken_back(shared, errand, in_time(until, up)).await {
        Ok(connection) => connection,
        Err(outcome) => return (Some(outcome.into()), None),
    };
    if errand.recalled() {
        shared.counters.tries_taken_back.add();
        return (Some(Outcome::Unsent.into()), Some(connection));
    }
    // Until the last byte is written nothing can have run.
    let written = connection.write(shared, errand);
    if let Err(outcome) = unless_taken_back(shared, errand, in_time(until, written)).await {
        return (Some(outcome.into()), None);
    }
    if let Some(value) = value {
        if let Err(outcome) = unless_taken_back(shared, errand, Box::pin(connection.upload(value))).await {
            return (Some(outcome.into()), None);
        }
        // The time of a request counts from its last byte.
        until = Instant::now() + patience;
    }
    let within = shared.config.connect / 2;
    match timeout_at(until, connection.read(errand, within)).await {
        Ok(Ok(Came::Whole(back, last))) => (Some(back), (!last).then_some(connection)),
        Ok(Ok(Came::Long(length, held, last))) => {
            let long = Begun { length, held, last, until, within };
            Box::pin(pass_on(shared, target, errand, connection, long)).await
        }
        Ok(Err(error)) => (Some(failed(address, &error).into()), None),
        Err(_) => (Some(Outcome::Overdue.into()), None),
    }
}

/// A long answer that has begun to come.
struct Begun {
    length: usize,
    held: Option<ReportedLoad>,
    /// Whether the connection carries no other after it.
    last: bool,
    /// When the first of it must be here, and how soon more after that.
    until: Instant,
    within: Duration,
}

/// Passes a long answer on as it comes.
async fn pass_on(
    shared: &Shared,
    target: Target,
    errand: &Errand,
    mut connection: Box<Connection>,
    begun: Begun,
) -> (Option<AttemptResult>, Option<Box<Connection>>) {
    let Begun { length, held, last, until, within } = begun;
    let address = target.address;
    // The first of it tells whether there is a value at all: until then another try is possible.
    let room = shared.streamed_values.clone().acquire_owned();
    let begun = timeout_at(until, async { Ok((room.await?, connection.first(length, within).await?)) });
    let (room, first) = match begun.await {
        Ok(Ok(begun)) => begun,
        Ok(Err(error)) => return (Some(failed(address, &error).into()), None),
        Err(_) => return (Some(Outcome::Overdue.into()), None),
    };
    let (source, value) = streaming::streamed_value(length, Some(room));
    let back =
        AttemptResult { outcome: Outcome::Completed, value: Value::Streamed(value), reported_load: held };
    if let Errand::Try { xchg, try_no, .. } = errand {
        shared.dispatcher.attempt_ended(*xchg, *try_no, target.node, back).await;
    }
    match connection.pass_on(first, source).await {
        Ok(()) => (None, (!last).then_some(connection)),
        Err(error) => {
            tracing::info!("{address}: {error:#}");
            shared.counters.values_broken.add();
            (None, None)
        }
    }
}

/// What an attempt came to that brought no whole answer.
fn failed(address: SocketAddr, error: &anyhow::Error) -> Outcome {
    let garbage = error.downcast_ref::<std::io::Error>().is_none_or(|e| e.kind() == ErrorKind::InvalidData);
    if garbage {
        tracing::warn!("{address}: {error:#}");
    }
    if garbage { Outcome::Errored } else { Outcome::Severed }
}

/// A step of sending, as long as the try is not taken back. Guards rules 1 and 3, and nodes, from tries that waited
/// while what they are for was over. Looked at first whenever the step could go on, so that what is taken back before
/// its last byte never runs.
async fn unless_taken_back<T>(
    shared: &Shared,
    errand: &Errand,
    step: impl Future<Output = Result<T, Outcome>>,
) -> Result<T, Outcome> {
    tokio::select! {
        biased;
        () = errand.taken_back() => {
            shared.counters.tries_taken_back.add();
            Err(Outcome::Unsent)
        }
        done = step => done,
    }
}

/// A step of sending that is not done by then reached nobody.
async fn in_time<T>(until: Instant, step: impl Future<Output = Result<T, Outcome>>) -> Result<T, Outcome> {
    timeout_at(until, step).await.unwrap_or(Err(Outcome::Unreachable))
}
