//! Waits for the reply to an attempt or a probe. A reply that has begun is still being given, however slowly, so it is not
//! given up before its client stops waiting. When it pauses, the dispatcher is told, which may send another attempt.

use crate::shared::Shared;
use crate::streaming::PIECE_BYTES;
use crate::upstream::attempt::{NodeOperation, Target, failure_outcome};
use crate::upstream::connection::{Connection, Reply};
use bytes::Bytes;
use pumicebay_core::Outcome;
use std::time::Duration;
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::{Instant, sleep_until, timeout, timeout_at};

/// The wait for one reply.
pub struct ReplyWait<'a> {
    shared: &'a Shared,
    target: Target,
    operation: &'a NodeOperation,
    /// When the reply is given up.
    deadline: Instant,
    /// A reply that has begun and brings nothing for so long has paused.
    stall_timeout: Duration,
    /// Whether the dispatcher was told that it has paused.
    stalled: bool,
}

impl<'a> ReplyWait<'a> {
    /// A wait that ends at `deadline` unless the reply has begun by then.
    pub fn new(
        shared: &'a Shared,
        target: Target,
        operation: &'a NodeOperation,
        deadline: Instant,
    ) -> ReplyWait<'a> {
        let stall_timeout = shared.config.connect_timeout / 2;
        ReplyWait { shared, target, operation, deadline, stall_timeout, stalled: false }
    }

    /// Waits for the whole reply, or the start of one whose value is streamed.
    ///
    /// # Errors
    /// The outcome of the attempt if the reply is malformed, breaks off, does not come in time, or is needed no more.
    pub async fn reply(&mut self, connection: &mut Connection) -> Result<Reply, Outcome> {
        loop {
            let read = timeout_at(self.deadline, connection.read_reply(self.operation, self.stall_timeout));
            let read = tokio::select! {
                biased;
                () = self.operation.answered(), if self.may_withdraw() => return Err(Outcome::Withdrawn),
                read = read => read,
            };
            match read {
                Ok(Ok(Some(reply))) => {
                    self.extend_deadline();
                    return Ok(reply);
                }
                Ok(Ok(None)) => self.report_stall(connection).await,
                Ok(Err(error)) => return Err(failure_outcome(self.operation, connection, &error)),
                Err(_) if connection.reply_has_begun() && self.extend_deadline() => {
                    self.report_stall(connection).await
                }
                Err(_) => return Err(Outcome::Overdue),
            }
        }
    }

    /// Waits for a permit to stream the value.
    ///
    /// # Errors
    /// `Overdue` if there is none in time.
    pub async fn permit(&self) -> Result<OwnedSemaphorePermit, Outcome> {
        let permit = timeout_at(self.deadline, self.shared.streamed_values.clone().acquire_owned()).await;
        permit.ok().and_then(Result::ok).ok_or(Outcome::Overdue)
    }

    /// Waits for the first pieces of a streamed value of this length, up to [`PIECE_BYTES`] or a little more. They show that
    /// the node really sends a value: until then another attempt is possible. Shortly before its client stops waiting, the
    /// value is passed on with what has come.
    ///
    /// # Errors
    /// The outcome of the attempt if the value breaks off, or is needed no more.
    pub async fn first_pieces(
        &mut self,
        connection: &mut Connection,
        length: usize,
    ) -> Result<Vec<Bytes>, Outcome> {
        let (mut pieces, mut received) = (Vec::new(), 0);
        let pass_on_at = self.operation.first_byte_deadline(self.shared.clock);
        while received < length.min(PIECE_BYTES) {
            let piece = tokio::select! {
                biased;
                () = self.operation.answered(), if self.may_withdraw() => return Err(Outcome::Withdrawn),
                piece = timeout(self.stall_timeout, connection.next_piece()) => piece,
                () = sleep_until(pass_on_at), if !self.operation.is_answered() => break,
                () = sleep_until(self.deadline) => return Err(Outcome::Overdue),
            };
            match piece {
                Ok(Ok(Some(piece))) => {
                    received += piece.len();
                    pieces.push(piece);
                }
                Ok(Ok(None)) => return Err(Outcome::Errored),
                Ok(Err(error)) => return Err(failure_outcome(self.operation, connection, &error)),
                Err(_) => self.report_stall(connection).await,
            }
        }
        Ok(pieces)
    }

    /// Whether the attempt ends early once its request is answered. One at the origin goes on, since caches store what it
    /// brings.
    fn may_withdraw(&self) -> bool {
        self.stalled && !self.target.origin
    }

    /// Lets the reply take as long as its client waits. Returns whether that is longer than before.
    fn extend_deadline(&mut self) -> bool {
        let before = self.deadline;
        self.deadline = self.operation.begun_reply_deadline(self.shared.clock, before);
        self.deadline > before
    }

    /// Tells the dispatcher, once, that the reply has begun and paused.
    async fn report_stall(&mut self, connection: &Connection) {
        self.extend_deadline();
        let NodeOperation::Attempt { request_id, attempt_number, .. } = self.operation else { return };
        if std::mem::replace(&mut self.stalled, true) {
            return;
        }
        self.shared.counters.replies_stalled.add();
        tracing::debug!(
            "{}: the reply has paused on connection {}; {}",
            connection.address,
            connection.id,
            self.operation
        );
        self.shared.dispatcher.reply_stalled(*request_id, *attempt_number).await;
    }
}
