//! One connection to a cache node or the origin. It carries one attempt at a time, since giving up an attempt means
//! closing its connection.

use crate::http::{self, Request};
use crate::messages::{AttemptResult, ClientRequest};
use crate::resp::{self, Frame, MAX_BULK_BYTES, readable};
use crate::shared::Shared;
use crate::streaming::{self, STALL_TIMEOUT, StreamedValue};
use crate::upstream::attempt::NodeOperation;
use crate::upstream::protocol::{
    cache_command, check_cache_value_end, is_cache_value, labels_with_time_left, origin_request,
    parse_cache_reply, parse_origin_response, parse_probe_reply,
};
use anyhow::{Context, Result, bail};
use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use pumicebay_core::policy::deadline::advertised_timeout_ms;
use pumicebay_core::{Outcome, ReportedLoad};
use socket2::SockRef;
use std::io::{ErrorKind, Read};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio::task::yield_now;
use tokio::time::timeout;
use tokio_util::codec::{Decoder, Framed};

/// How many interim (1xx) responses may precede the final one.
const MAX_INTERIM_RESPONSES: usize = 8;

/// The id of the next connection.
static NEXT_CONNECTION_ID: AtomicU64 = AtomicU64::new(1);

/// An open upstream connection, with its permit from the pool.
pub struct Connection {
    /// Identifies the connection in the log of this process.
    pub id: u64,
    transport: Transport,
    /// The address of the node.
    pub address: SocketAddr,
    /// How many attempts and probes it has carried.
    pub operations: u64,
    _permit: OwnedSemaphorePermit,
}

/// What is found on a connection between two operations.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdleState {
    /// It is open, and nothing has arrived.
    Quiet,
    /// Bytes have arrived that belong to no request, such as a second copy of the last reply.
    Unsolicited,
    /// The node has closed or reset it.
    Closed,
}

enum Transport {
    Cache(Framed<TcpStream, resp::StreamingResp>),
    Origin(Framed<TcpStream, http::StreamingClientCodec>),
}

/// What a node sent back for an attempt or a probe.
pub enum Reply {
    /// The whole reply, and whether the connection is closed after it.
    Whole(AttemptResult, bool),
    /// The start of a reply whose value follows.
    Streamed(StreamedReply),
}

/// A reply that has begun and whose value will be streamed.
pub struct StreamedReply {
    /// The length of the value in bytes.
    pub length: usize,
    /// The load that the node reports.
    pub reported_load: Option<ReportedLoad>,
    /// Whether the connection is closed after this reply.
    pub last: bool,
}

/// Writes a piece of a streamed value. A failure is `Unreachable`: without the last byte the node cannot have run the
/// request.
async fn write_piece(stream: &mut TcpStream, bytes: &[u8]) -> Result<(), Outcome> {
    match timeout(STALL_TIMEOUT, stream.write_all(bytes)).await {
        Ok(Ok(())) => Ok(()),
        Ok(Err(_)) | Err(_) => Err(Outcome::Unreachable),
    }
}

/// Opens a connection. At the pool's limit an idle one is closed for it.
///
/// # Errors
/// `Unsent` when the proxy has no permit or no descriptor for it, `Unreachable` when the node does not accept it in time.
pub async fn connect(shared: &Shared, address: SocketAddr, origin: bool) -> Result<Box<Connection>, Outcome> {
    let unsent = |_| {
        tracing::warn!("{address}: not connected: the limit of upstream connections is reached");
        Outcome::Unsent
    };
    let permit =
        timeout(shared.config.connect_timeout, shared.upstream.acquire_permit()).await.map_err(unsent)?;
    let stream = match timeout(shared.config.connect_timeout, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => stream,
        // ENFILE or EMFILE: that this proxy has no descriptor left says nothing about the node.
        Ok(Err(error)) if matches!(error.raw_os_error(), Some(23 | 24)) => return Err(Outcome::Unsent),
        Ok(Err(_)) | Err(_) => {
            shared.counters.connections_failed.add();
            return Err(Outcome::Unreachable);
        }
    };
    shared.counters.connections_opened.add();
    let _ = stream.set_nodelay(true);
    let transport = match origin {
        true => Transport::Origin(Framed::new(stream, http::StreamingClientCodec::new(MAX_BULK_BYTES))),
        false => Transport::Cache(Framed::new(stream, resp::StreamingResp::default())),
    };
    let id = NEXT_CONNECTION_ID.fetch_add(1, Ordering::Relaxed);
    Ok(Box::new(Connection { id, transport, address, operations: 0, _permit: permit }))
}

impl Connection {
    /// What is found on the connection while no reply is due.
    pub fn idle_state(&self) -> IdleState {
        let (stream, unread) = match &self.transport {
            Transport::Cache(framed) => (framed.get_ref(), framed.read_buffer()),
            Transport::Origin(framed) => (framed.get_ref(), framed.read_buffer()),
        };
        if unread.is_empty() { stream_state(stream) } else { IdleState::Unsolicited }
    }

    /// Writes a probe, or an attempt without its streamed value.
    ///
    /// # Errors
    /// `Unsent` when less than a millisecond is left for the attempt, `Unreachable` when writing fails.
    pub async fn write(&mut self, shared: &Shared, operation: &NodeOperation) -> Result<(), Outcome> {
        self.operations += 1;
        let encoded = match operation {
            NodeOperation::Probe { .. } => self.encode_probe(shared),
            NodeOperation::Attempt { request, deadline, .. } => {
                let clock = &shared.clock;
                let time_left_ms = advertised_timeout_ms(clock.now(), clock.at(*deadline), request.deadline)
                    .ok_or(Outcome::Unsent)?;
                self.encode_attempt(request, time_left_ms)
            }
        };
        encoded.map_err(|_| Outcome::Unreachable)?;
        let flushed = match &mut self.transport {
            Transport::Cache(framed) => SinkExt::<&Frame>::flush(framed).await,
            Transport::Origin(framed) => SinkExt::<Request>::flush(framed).await,
        };
        flushed.map_err(|_| Outcome::Unreachable)
    }

    fn encode_probe(&mut self, shared: &Shared) -> std::io::Result<()> {
        match &mut self.transport {
            Transport::Cache(framed) if shared.config.settings.text("reports") == "silent" => {
                framed.start_send_unpin(&Frame::command([b"PING"]))
            }
            Transport::Cache(framed) => framed.start_send_unpin(&Frame::command([b"INFO", b"load"])),
            Transport::Origin(framed) => framed.start_send_unpin(Request::get("/health/live".into())),
        }
    }

    /// `time_left_ms`: how many milliseconds the proxy will wait for the attempt.
    fn encode_attempt(&mut self, request: &ClientRequest, time_left_ms: u64) -> std::io::Result<()> {
        match &mut self.transport {
            Transport::Cache(framed) => {
                let words = cache_command(request, time_left_ms);
                match &request.upload {
                    Some(upload) => {
                        resp::encode_streamed_array(&words, upload.length, framed.write_buffer_mut())
                    }
                    None => framed.start_send_unpin(&Frame::Array(words)),
                }
            }
            Transport::Origin(framed) => {
                let labels = labels_with_time_left(&request.labels, time_left_ms);
                framed.start_send_unpin(origin_request(request, &labels))
            }
        }
    }

    /// Sends a streamed value as it arrives from the client, and the terminator after it.
    ///
    /// # Errors
    /// `Unsent` when the client stops sending, `Unreachable` when writing fails.
    pub async fn upload(&mut self, mut value: StreamedValue) -> Result<(), Outcome> {
        let (stream, end) = match &mut self.transport {
            Transport::Cache(framed) => (framed.get_mut(), &b"\r\n"[..]),
            Transport::Origin(framed) => (framed.get_mut(), &b""[..]),
        };
        // A client that stops in the middle of its value is no failure of the node.
        while let Some(piece) = value.next().await.map_err(|_| Outcome::Unsent)? {
            write_piece(stream, &piece).await?;
        }
        write_piece(stream, end).await
    }

    /// Whether a part of a reply has come, and not all of it.
    pub fn reply_has_begun(&self) -> bool {
        match &self.transport {
            Transport::Cache(framed) => !framed.read_buffer().is_empty() || framed.codec().is_within_frame(),
            Transport::Origin(framed) => {
                !framed.read_buffer().is_empty() || framed.codec().is_within_response()
            }
        }
    }

    /// Reads the reply, or the start of one whose value is streamed. `None` if it has begun and nothing more comes within
    /// `stall_timeout`; the next call reads on.
    ///
    /// # Errors
    /// When the connection breaks or the reply is malformed.
    pub async fn read_reply(
        &mut self,
        operation: &NodeOperation,
        stall_timeout: Duration,
    ) -> Result<Option<Reply>> {
        let probe = matches!(operation, NodeOperation::Probe { .. });
        match &mut self.transport {
            Transport::Cache(framed) => match next_part(framed, stall_timeout).await? {
                None => Ok(None),
                Some(resp::FramePart::Frame(frame)) => {
                    let back = if probe { parse_probe_reply(frame) } else { parse_cache_reply(frame) }
                        .context("cache node")?;
                    Ok(Some(Reply::Whole(back, false)))
                }
                Some(resp::FramePart::Begin { before, length, members_after })
                    if is_cache_value(&before, members_after) && !probe =>
                {
                    let (reported_load, last) = (None, false);
                    Ok(Some(Reply::Streamed(StreamedReply { length, reported_load, last })))
                }
                Some(other) => bail!("cache node: unexpected {other:?}"),
            },
            Transport::Origin(framed) => {
                for _ in 0..=MAX_INTERIM_RESPONSES {
                    match next_part(framed, stall_timeout).await? {
                        None => return Ok(None),
                        Some(http::Part::Whole(response)) if response.is_interim() => {}
                        Some(http::Part::Whole(response)) => {
                            let last = response.last;
                            return Ok(Some(Reply::Whole(parse_origin_response(response), last)));
                        }
                        Some(http::Part::Begin(response, length)) if response.status == 200 && !probe => {
                            let last = response.last;
                            let reported_load = parse_origin_response(response).reported_load;
                            return Ok(Some(Reply::Streamed(StreamedReply { length, reported_load, last })));
                        }
                        Some(other) => bail!("origin: unexpected {other:?}"),
                    }
                }
                bail!("origin: too many interim (1xx) responses")
            }
        }
    }

    /// The next piece of a streamed value; `None` at the end of the reply, which is valid then. Cancel safe.
    ///
    /// # Errors
    /// When the value breaks off or the reply is malformed behind it.
    pub async fn next_piece(&mut self) -> Result<Option<Bytes>> {
        match &mut self.transport {
            Transport::Cache(framed) => match next_item(framed).await? {
                resp::FramePart::Piece(piece) => Ok(Some(piece)),
                resp::FramePart::End(after) => {
                    check_cache_value_end(after).context("cache node")?;
                    Ok(None)
                }
                other => bail!("cache node: unexpected {other:?}"),
            },
            Transport::Origin(framed) => match next_item(framed).await? {
                http::Part::Piece(piece) => Ok(Some(piece)),
                http::Part::End => Ok(None),
                other => bail!("origin: unexpected {other:?}"),
            },
        }
    }

    /// Forwards a streamed value, starting with the pieces that were read already, to the task that writes it to the
    /// client. The value's last byte follows once the reply has come whole.
    ///
    /// # Errors
    /// When the value breaks off, the reply is malformed behind it, or the client stops reading.
    pub async fn forward_value(
        &mut self,
        first: Vec<Bytes>,
        mut source: streaming::ValueSender,
    ) -> Result<()> {
        for piece in first {
            source.send(piece).await?;
        }
        let stalled = || format!("no further piece of a long value within {STALL_TIMEOUT:?}");
        while let Some(piece) = timeout(STALL_TIMEOUT, self.next_piece()).await.with_context(stalled)?? {
            source.send(piece).await?;
            // Lets other tasks run between two pieces.
            yield_now().await;
        }
        source.finish()?;
        Ok(())
    }
}

async fn next_item<C: Decoder>(framed: &mut Framed<TcpStream, C>) -> Result<C::Item>
where
    C::Error: Into<anyhow::Error>,
{
    let item = framed.next().await.ok_or_else(|| std::io::Error::from(ErrorKind::UnexpectedEof))?;
    item.map_err(Into::into)
}

/// The next part of a reply. It may take any time to begin; `None` once a part has begun and nothing more of it comes within
/// `stall_timeout`.
async fn next_part<C: Decoder>(
    framed: &mut Framed<TcpStream, C>,
    stall_timeout: Duration,
) -> Result<Option<C::Item>>
where
    C::Error: Into<anyhow::Error>,
{
    readable(framed).await?;
    let mut received = 0;
    loop {
        match timeout(stall_timeout, next_item(framed)).await {
            Ok(part) => return part.map(Some),
            // Slow, but still arriving.
            Err(_) if framed.read_buffer().len() > received => received = framed.read_buffer().len(),
            Err(_) => return Ok(None),
        }
    }
}

/// What a read of the idle stream finds. Asks the socket itself: the runtime learns of new bytes only when it next polls,
/// and a second copy of the last reply would be read as the reply to the next attempt.
pub fn stream_state(stream: &TcpStream) -> IdleState {
    match (&*SockRef::from(stream)).read(&mut [0]) {
        Err(error) if error.kind() == ErrorKind::WouldBlock => IdleState::Quiet,
        Ok(1..) => IdleState::Unsolicited,
        Ok(0) | Err(_) => IdleState::Closed,
    }
}
