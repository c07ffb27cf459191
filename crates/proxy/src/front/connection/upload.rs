//! A command whose last argument is long: its value is forwarded while it arrives. A node runs a write with its last byte, so
//! that byte must not be forwarded before the command has come to a valid end.

use super::{Client, SILENCE_TIMEOUT};
use crate::front::input::{Input, next_part};
use crate::front::pacing::WorkMeter;
use crate::front::replies::Reply;
use crate::front::upload_arrival::UploadArrival;
use crate::resp::{Frame, FramePart, invalid};
use crate::streaming::{self, Upload, ValueSender};
use bytes::Bytes;
use tokio::time::{Instant, timeout};

impl Client {
    /// Forwards the value of a write as it arrives, but its last byte only at the valid end of the command. Discards the value
    /// if the reply comes first. The replies to earlier commands are sent meanwhile: reading on is the only way to see that
    /// the client has left behind the value.
    pub(super) async fn receive_upload(
        &mut self,
        words: Vec<Frame>,
        length: usize,
        meter: &WorkMeter,
    ) -> std::io::Result<()> {
        let mut arrival = UploadArrival::new(length, self.framed.get_ref().received_at());
        let mut sender = self.begin_upload(words, length, &mut arrival).await;
        let mut piece = None;
        let error = loop {
            arrival.check(&self.framed);
            let (reply_pending, piece_pending) =
                (!self.pending.is_empty(), sender.is_some() && piece.is_some());
            let waiting_since = Instant::now();
            let next = async {
                if piece_pending {
                    // The receiver of the value is slow, not the client.
                    arrival.watch(&mut self.framed).await;
                    return Ok(None);
                }
                timeout(SILENCE_TIMEOUT, next_part(&mut self.framed, &mut self.pacer, meter)).await.map(Some)
            };
            tokio::select! {
                biased;
                reply = self.pending.next(), if reply_pending => {
                    self.send_reply(reply).await?;
                    // The last reply is that of the write.
                    sender = sender.filter(|_| !self.pending.is_empty());
                }
                sent = send_piece(&mut sender, &piece), if piece_pending => {
                    piece = None;
                    sender = sender.filter(|_| sent.is_ok());
                }
                input = next => match input {
                    Ok(None) => return Ok(()),
                    Ok(Some(Input::Part(FramePart::Piece(received)))) => {
                        arrival.record_wait(waiting_since.elapsed());
                        arrival.record_taken(received.len());
                        piece = Some(received);
                    }
                    Ok(Some(Input::Part(FramePart::End(_)))) => {
                        arrival.record_wait(waiting_since.elapsed());
                        arrival.record_end();
                        arrival.check(&self.framed);
                        // The command is valid: only now may a node get all of it.
                        return sender.map_or(Ok(()), ValueSender::finish);
                    }
                    Ok(Some(Input::Part(_))) => break invalid("out of step"),
                    Ok(Some(Input::Pause)) => {}
                    Ok(Some(Input::Disconnected)) => return Ok(()),
                    Ok(Some(Input::Failed(error))) => break error,
                    Err(_) => break invalid("command without end"),
                },
            }
        };
        // The reply to the write, which is due before the error, waits for the rest of the value.
        drop(sender);
        self.reject(error).await
    }

    /// Submits the write, or refuses it if too many values are being streamed. Returns where its value goes.
    async fn begin_upload(
        &mut self,
        mut words: Vec<Frame>,
        length: usize,
        arrival: &mut UploadArrival,
    ) -> Option<ValueSender> {
        words.push(Frame::Bulk(Bytes::new()));
        let (reply, sender) = match self.frontend.shared.streamed_values.clone().try_acquire_owned() {
            Ok(permit) => {
                let (sender, value) = streaming::streamed_value(length, Some(permit));
                let upload = Box::new(Upload::new(value, arrival.last_byte()));
                let reply = self.handle_command(Frame::Array(words), Some(upload)).await;
                (reply, Some(sender))
            }
            Err(_) => (Reply::Ready(Frame::error("BUSY")), None),
        };
        if let Reply::Waiting(request) = &reply {
            arrival.limit(request.client_timeout);
            if !self.used {
                self.mark_used();
            }
        }
        self.pending.push(reply, None);
        sender
    }
}

/// Sends a piece to the receiver of the value. Cancel safe: a cancelled call has not sent it.
async fn send_piece(sender: &mut Option<ValueSender>, piece: &Option<Bytes>) -> std::io::Result<()> {
    match (sender, piece) {
        (Some(sender), Some(piece)) => sender.send(piece.clone()).await,
        _ => Ok(()),
    }
}
