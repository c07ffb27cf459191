//! The replies that a connection owes, in the order of its commands.

use crate::clock::MILLIS;
use crate::counters::Counters;
use crate::messages::Answer;
use crate::resp::Frame;
use crate::streaming::{BufferedValueLimit, LastByteArrival, StreamedValue, Value};
use futures_util::future::BoxFuture;
use pumicebay_core::RequestId;
use std::collections::VecDeque;
use std::io::ErrorKind;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{OwnedSemaphorePermit, oneshot};
use tokio::time::{Instant, timeout};

/// The replies that are not sent yet.
#[derive(Default)]
pub struct PendingReplies(VecDeque<PendingReply>);

/// The reply to a command that was read, and the permit of a pipelined command.
struct PendingReply {
    reply: Reply,
    _permit: Option<OwnedSemaphorePermit>,
}

/// A reply that is known, or awaited.
pub enum Reply {
    /// It is known.
    Ready(Frame),
    /// It is awaited from the dispatcher.
    Waiting(OpenRequest),
    /// A long value that has to arrive whole before any of it is sent.
    Buffering(BoxFuture<'static, OutgoingReply>),
}

/// A request that the dispatcher has.
pub struct OpenRequest {
    /// Its id in this process.
    pub request_id: RequestId,
    /// How long the client waits from the request's last byte on.
    pub client_timeout: Duration,
    /// When the client stops waiting.
    pub deadline: ClientDeadline,
    /// Receives the final answer.
    pub answer: oneshot::Receiver<Answer>,
}

/// When a client stops waiting.
pub enum ClientDeadline {
    /// Its request came whole.
    At(Instant),
    /// A streamed write: its time counts from the last byte, which may still be to come.
    AfterLastByte(LastByteArrival),
}

/// A reply that is ready to be written.
pub enum OutgoingReply {
    /// It is in memory as a whole.
    Frame(Frame),
    /// A long value of which the rest is still to arrive, and how long the client would still wait when it began.
    Arriving(StreamedValue, Duration),
    /// A long value that has arrived whole.
    Buffered(StreamedValue),
}

impl PendingReplies {
    /// Adds the reply to the command that was read last.
    pub fn push(&mut self, reply: Reply, permit: Option<OwnedSemaphorePermit>) {
        self.0.push_back(PendingReply { reply, _permit: permit });
    }

    /// How many replies are due.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether no reply is due.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// The next reply to send, which the caller then removes. Never returns while no reply is due. Cancel safe.
    pub async fn next(&mut self) -> OutgoingReply {
        let reply = match self.0.front_mut().map(|pending| &mut pending.reply) {
            Some(Reply::Ready(reply)) => reply.clone(),
            Some(Reply::Waiting(request)) => return request.reply().await,
            Some(Reply::Buffering(buffered)) => return buffered.await,
            None => std::future::pending().await,
        };
        OutgoingReply::Frame(reply)
    }

    /// Removes the next reply, because it is being sent.
    pub fn remove_next(&mut self) {
        self.0.pop_front();
    }

    /// Keeps back the next reply, a long value, until all of it has arrived. If it breaks off, does not fit into the
    /// memory for such values, or takes longer than `time_limit`, the request is answered as failed.
    pub fn buffer_next(
        &mut self,
        value: StreamedValue,
        time_limit: Duration,
        limit: &BufferedValueLimit,
        counters: &Arc<Counters>,
    ) {
        let (limit, counters) = (limit.clone(), counters.clone());
        if let Some(next) = self.0.front_mut() {
            next.reply = Reply::Buffering(Box::pin(buffer_value(value, time_limit, limit, counters)));
        }
    }

    /// The requests that the dispatcher has not answered.
    pub fn open_requests(self) -> impl Iterator<Item = RequestId> {
        self.0.into_iter().filter_map(|pending| match pending.reply {
            Reply::Waiting(request) => Some(request.request_id),
            _ => None,
        })
    }
}

impl OpenRequest {
    /// How long the client still waits at this time.
    fn time_left(&self, now: Instant) -> Duration {
        let deadline = match &self.deadline {
            ClientDeadline::At(deadline) => Some(*deadline),
            ClientDeadline::AfterLastByte(arrival) => arrival.get().map(|at| *at + self.client_timeout),
        };
        deadline.map_or(self.client_timeout, |deadline| deadline.saturating_duration_since(now))
    }

    /// Waits for the final answer. Cancel safe.
    async fn reply(&mut self) -> OutgoingReply {
        OutgoingReply::Frame(match (&mut self.answer).await {
            Ok(Answer::Completed(Value::Whole(value))) => Frame::Bulk(value),
            Ok(Answer::Completed(Value::Streamed(value))) => {
                let time_left = self.time_left(value.began_at);
                return OutgoingReply::Arriving(value, time_left);
            }
            Ok(Answer::Shed(0)) => Frame::error("BUSY"),
            Ok(Answer::Shed(pause)) => Frame::error(format!("BUSY {}", pause.div_ceil(MILLIS))),
            Ok(Answer::Errored) => Frame::error("ERR failed"),
            Ok(Answer::Rejected(why)) => Frame::Error(why),
            Err(_) => Frame::error("ERR no answer"),
        })
    }
}

/// Waits for the whole value, or answers the request as failed.
async fn buffer_value(
    value: StreamedValue,
    time_limit: Duration,
    limit: BufferedValueLimit,
    counters: Arc<Counters>,
) -> OutgoingReply {
    let buffered = timeout(time_limit, value.buffer_whole(&limit)).await;
    match buffered.unwrap_or_else(|_| Err(ErrorKind::TimedOut.into())) {
        Ok(value) => {
            counters.values_buffered.add();
            OutgoingReply::Buffered(value)
        }
        Err(error) => {
            tracing::info!("a long value was given up before any of it was sent to the client: {error}");
            counters.values_given_up.add();
            OutgoingReply::Frame(Frame::error("ERR failed"))
        }
    }
}
