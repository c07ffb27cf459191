//! Writes replies to a client that may read slowly or leave. A client that does not read in time ends its connection, since
//! other requests wait for their replies behind.

use crate::front::client_stream::ClientStream;
use crate::front::input::{disconnected, is_disconnected};
use crate::resp::{Frame, StreamingResp};
use crate::streaming::StreamedValue;
use bytes::{Bytes, BytesMut};
use futures_util::{FutureExt, SinkExt};
use std::io::{ErrorKind, Result};
use std::time::Duration;
use tokio::time::{Instant, timeout};
use tokio_util::codec::Framed;

/// How long a client may take to read a reply, or a piece of a long one.
const READ_TIMEOUT: Duration = Duration::from_secs(10);
/// How often a blocked write checks whether the client is still connected.
const DISCONNECT_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Capacity of the write buffer that a connection keeps between replies.
const MAX_KEPT_BUFFER: usize = 8 * 1024;

/// Writes a reply that is in memory as a whole.
///
/// # Errors
/// When the client does not read in time or has disconnected.
pub async fn write_frame(framed: &mut Framed<ClientStream, StreamingResp>, reply: &Frame) -> Result<()> {
    framed.feed(reply).await?;
    flush(framed).await
}

/// Writes a streamed value as it arrives.
///
/// # Errors
/// When the value ends early, or the client does not read in time or has disconnected. The connection must be closed
/// then, so that the client can tell that the value is not whole.
pub async fn write_value(
    framed: &mut Framed<ClientStream, StreamingResp>,
    mut value: StreamedValue,
) -> Result<()> {
    let head = format!("${}\r\n", value.length);
    framed.write_buffer_mut().extend_from_slice(head.as_bytes());
    loop {
        let piece = match value.next().now_or_never() {
            Some(piece) => piece?,
            None => {
                // The client waits for the first byte, which may come long before the next piece.
                flush(framed).await?;
                tokio::select! {
                    biased;
                    piece = value.next() => piece?,
                    () = disconnected(framed.get_ref().tcp()) => return Err(ErrorKind::ConnectionAborted.into()),
                }
            }
        };
        let last = piece.is_none();
        framed.write_buffer_mut().extend_from_slice(&piece.unwrap_or(Bytes::from_static(b"\r\n")));
        flush(framed).await?;
        if last {
            return Ok(());
        }
    }
}

/// Releases the memory that a large reply took.
pub fn release_buffer(framed: &mut Framed<ClientStream, StreamingResp>) {
    let sent = framed.write_buffer_mut();
    if sent.capacity() > MAX_KEPT_BUFFER {
        *sent = BytesMut::with_capacity(MAX_KEPT_BUFFER);
    }
}

/// Flushes the write buffer.
async fn flush(framed: &mut Framed<ClientStream, StreamingResp>) -> Result<()> {
    let deadline = Instant::now() + READ_TIMEOUT;
    loop {
        match timeout(DISCONNECT_CHECK_INTERVAL, SinkExt::<&Frame>::flush(framed)).await {
            Ok(flushed) => return flushed,
            Err(_) if is_disconnected(framed.get_ref().tcp()) => {
                return Err(ErrorKind::ConnectionAborted.into());
            }
            Err(_) if Instant::now() >= deadline => return Err(ErrorKind::TimedOut.into()),
            Err(_) => {}
        }
    }
}
