//! Reads a client's commands, and notices when it disconnects.

use crate::front::client_stream::ClientStream;
use crate::resp::{FramePart, StreamingResp, invalid};
use futures_util::{FutureExt, StreamExt};
use std::time::Duration;
use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout_at};
use tokio_util::codec::Framed;

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

/// The next part of a command that has begun; `None` once the client has disconnected. Records when it arrived.
pub async fn next_part(
    framed: &mut Framed<ClientStream, StreamingResp>,
) -> Option<std::io::Result<FramePart>> {
    if framed.read_buffer().is_empty()
        && let Err(error) = framed.get_mut().wait_readable().await
    {
        return Some(Err(error));
    }
    framed.next().await
}

/// The next command, which must be complete within `COMMAND_TIMEOUT` of its first byte; `None` once the
/// client has disconnected. Without `read_more` it reads nothing and only waits for that.
pub async fn next_command(
    framed: &mut Framed<ClientStream, StreamingResp>,
    started: &mut Option<Instant>,
    read_more: bool,
) -> Option<std::io::Result<FramePart>> {
    if !read_more {
        disconnected(framed.get_ref().tcp()).await;
        return None;
    }
    if framed.read_buffer().is_empty() {
        if let Err(error) = framed.get_mut().wait_readable().await {
            return Some(Err(error));
        }
    } else {
        framed.get_mut().record_unread_since();
    }
    let deadline = *started.get_or_insert_with(Instant::now) + COMMAND_TIMEOUT;
    let frame = timeout_at(deadline, framed.next()).await;
    *started = None;
    frame.unwrap_or_else(|_| Some(Err(invalid("command without end"))))
}
