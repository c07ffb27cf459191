//! Reads a client's commands, and notices when it disconnects.

use crate::front::client_stream::ClientStream;
use crate::front::pacing::{Pacer, WorkMeter, pause_over};
use crate::resp::{FramePart, StreamingResp, invalid};
use futures_util::FutureExt;
use std::future::poll_fn;
use std::io::{Error, ErrorKind, Result};
use std::pin::pin;
use std::time::Duration;
use tokio::io::{AsyncReadExt, Interest};
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout_at};
use tokio_util::codec::{Decoder, Framed};

/// How long a client may take to send the rest of a command after the first byte.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(10);

/// Returns once the client has closed its side or the connection broke. Waits for that alone, so unread data
/// before the end does not hide it.
pub async fn disconnected(stream: &TcpStream) {
    let ready = stream.ready(Interest::PRIORITY).await;
    if ready.is_ok_and(|ready| !ready.is_read_closed()) {
        std::future::pending().await
    }
}

/// Whether the client has disconnected, as far as the runtime has been notified.
pub fn is_disconnected(stream: &TcpStream) -> bool {
    disconnected(stream).now_or_never().is_some()
}

/// What a read of the client's input ends with.
pub enum Input {
    /// A command, or a part of a long one.
    Part(FramePart),
    /// The client has sent so much that the connection pauses. The next read goes on where this one ended.
    Pause,
    /// The client has disconnected.
    Disconnected,
    /// The connection broke, or the input is not valid.
    Failed(Error),
}

/// The next part of a command that has begun. Records when it arrived.
pub async fn next_part(
    framed: &mut Framed<ClientStream, StreamingResp>,
    pacer: &mut Pacer,
    meter: &WorkMeter,
) -> Input {
    loop {
        match read_part(framed, pacer, meter).await {
            // Its own receiver slows a long value down.
            Input::Pause => {
                pause_over(pacer.paused_until()).await;
                pacer.resume();
            }
            input => return input,
        }
    }
}

/// The next command, which must be complete within `COMMAND_TIMEOUT` of its first byte. Without `read_more` it reads
/// nothing and only waits for the client's end.
pub async fn next_command(
    framed: &mut Framed<ClientStream, StreamingResp>,
    started: &mut Option<Instant>,
    pacer: &mut Pacer,
    meter: &WorkMeter,
    read_more: bool,
) -> Input {
    if !read_more {
        disconnected(framed.get_ref().tcp()).await;
        return Input::Disconnected;
    }
    if framed.read_buffer().is_empty() {
        match read(framed).await {
            Ok(0) => return Input::Disconnected,
            Ok(_) => {}
            Err(error) => return Input::Failed(error),
        }
    } else {
        framed.get_mut().record_unread_since();
    }
    let deadline = *started.get_or_insert_with(Instant::now) + COMMAND_TIMEOUT;
    let input = timeout_at(deadline, read_part(framed, pacer, meter)).await;
    if !matches!(input, Ok(Input::Pause)) {
        *started = None;
    }
    input.unwrap_or_else(|_| Input::Failed(invalid("command without end")))
}

/// Reads until a part of a command is complete, or the connection has to pause. Cancel safe.
async fn read_part(
    framed: &mut Framed<ClientStream, StreamingResp>,
    pacer: &mut Pacer,
    meter: &WorkMeter,
) -> Input {
    loop {
        match decode(framed) {
            Ok(Some(part)) => return Input::Part(part),
            Ok(None) => {}
            Err(error) => return Input::Failed(error),
        }
        if pacer.must_pause(meter, Instant::now(), || framed.get_ref().unread_bytes() > 0) {
            return Input::Pause;
        }
        match read(framed).await {
            Ok(0) if framed.read_buffer().is_empty() => return Input::Disconnected,
            Ok(0) => return Input::Failed(ErrorKind::UnexpectedEof.into()),
            Ok(_) => {}
            Err(error) => return Input::Failed(error),
        }
    }
}

/// Whether anything has arrived that was not used yet.
pub fn has_input(framed: &Framed<ClientStream, StreamingResp>) -> bool {
    !framed.read_buffer().is_empty() || framed.get_ref().unread_bytes() > 0
}

fn decode(framed: &mut Framed<ClientStream, StreamingResp>) -> Result<Option<FramePart>> {
    let mut buffer = std::mem::take(framed.read_buffer_mut());
    let part = framed.codec_mut().decode(&mut buffer);
    *framed.read_buffer_mut() = buffer;
    part
}

/// Reads what has arrived into the buffer, and records when it did if the buffer was empty. Returns how many bytes that were,
/// 0 at the end of the stream. Cancel safe.
pub async fn read(framed: &mut Framed<ClientStream, StreamingResp>) -> Result<usize> {
    if framed.read_buffer().is_empty() {
        framed.get_mut().wait_readable().await?;
    }
    poll_fn(|context| {
        let mut buffer = std::mem::take(framed.read_buffer_mut());
        // Doubles the buffer if it is full.
        buffer.reserve(1);
        let read = pin!(framed.get_mut().read_buf(&mut buffer)).poll(context);
        *framed.read_buffer_mut() = buffer;
        read
    })
    .await
}
