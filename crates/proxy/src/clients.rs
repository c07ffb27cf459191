//! Client connections: reads RESP commands and writes the replies in the order of the commands.

use crate::client_stream::{self, ClientStream};
use crate::clock::MILLIS;
use crate::config::Config;
use crate::connection_limit::{ConnectionLimit, EvictionClass};
use crate::counters::Counters;
use crate::messages::{Answer, ClientRequest};
use crate::phases::Phase;
use crate::resp::{Frame, FramePart, StreamingResp, invalid};
use crate::routes::Routes;
use crate::shared::Shared;
use crate::streaming::{self, BufferedValueLimit, StreamedValue, Upload, Value};
use crate::takeover::{PassedConnection, TakeoverSocket};
use bytes::{Bytes, BytesMut};
use futures_util::future::BoxFuture;
use futures_util::{FutureExt, SinkExt, StreamExt};
use pumicebay_core::{Nanos, RequestId, RequestParams};
use pumicebay_names::{NANOS_PER_MICROSECOND, stable_hash};
use std::collections::VecDeque;
use std::io::ErrorKind;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Weak};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, Interest, copy, sink};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, oneshot};
use tokio::time::{Instant, sleep, sleep_until, timeout, timeout_at};
use tokio_util::codec::Framed;
use tokio_util::task::TaskTracker;

/// Commands of one connection that may await their replies; further ones stay unread in the socket.
const MAX_PIPELINED: usize = 32;
/// How long a new connection may take to send its first whole command, and how long a client may pause while
/// it sends a long value.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(2700);
/// Connections idle for less than this are evicted last, since a request may be on its way.
const RECENT_ACTIVITY: Duration = Duration::from_millis(2200);
/// Above the connection limit, at most this many accepted connections wait for their first bytes; the others
/// stay in the kernel's accept queue.
const MAX_WAITING_CONNECTIONS: usize = 16;
/// The longest that such a connection waits for its first bytes (less, the more of them wait), and the age at
/// which a connection without a request may be evicted.
const NEW_CONNECTION_WAIT: Duration = Duration::from_millis(20);
/// How long a client may take to read a reply, or to send the rest of a command after the first one.
const CLIENT_IO_TIMEOUT: Duration = Duration::from_secs(10);
/// How often a blocked write checks whether the client is still connected.
const DISCONNECT_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// How long the rest of the input of a rejected client is read before the connection is closed.
const LINGER: Duration = Duration::from_secs(1);
/// How many bytes of it are read at most.
const LINGER_BYTES: u64 = 1 << 20;
/// Capacity of the write buffer that a connection keeps between replies.
const MAX_KEPT_BUFFER: usize = 8 * 1024;
/// Pause after an accept failed, usually for want of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Accepts client connections and serves them. Clones share all state.
#[derive(Clone)]
pub struct Frontend {
    /// State shared with the other actors.
    pub shared: Shared,
    /// Tasks of the open client connections.
    pub connections: TaskTracker,
    /// Limits client connections. To make room, it closes a connection that has not sent a request yet, else
    /// the one idle longest; a partly sent command does not prevent that.
    pub limit: ConnectionLimit,
    /// Number of open connections that have sent a request.
    pub used_connections: Arc<AtomicUsize>,
    /// Permits for commands beyond the first on a connection. Bounds the replies that slow readers leave in
    /// memory.
    pub pipeline_permits: Arc<Semaphore>,
    /// Limits the memory of long values that have to arrive whole before they are passed on.
    pub buffered_values: BufferedValueLimit,
}

/// Serves the connections that the previous process passes on, for as long as this process runs.
pub async fn take_over(frontend: Frontend, socket: Arc<TakeoverSocket>) {
    loop {
        match socket.receive().await {
            Ok(PassedConnection { stream, unread, used }) => {
                let frontend = frontend.clone();
                frontend.shared.counters.clients_taken_over.add();
                frontend.connections.clone().spawn(async move {
                    let _permit = frontend.limit.acquire().await;
                    let mut client = Client::new(frontend, stream);
                    client.framed.read_buffer_mut().extend_from_slice(&unread);
                    if used {
                        client.mark_used();
                    }
                    client.run().await;
                });
            }
            Err(error) => {
                tracing::warn!("receiving a client connection from the previous process failed: {error}");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Accepts client connections until the phase reaches `Closing`, and then those that the kernel had accepted
/// by that time, since their clients may have sent a command. If a successor has the same listening socket,
/// it accepts the latter instead.
pub async fn accept(frontend: Frontend, listener: TcpListener) {
    client_stream::enable_timestamps(&listener);
    let (mut closing, waiting_slots) =
        (frontend.shared.phase.clone(), Arc::new(Semaphore::new(MAX_WAITING_CONNECTIONS)));
    loop {
        let accepted = tokio::select! {
            biased;
            () = closing.reached(Phase::Closing) => break,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) => admit(&frontend, stream, &waiting_slots).await,
            Err(error) => {
                frontend.shared.counters.accept_failures.add();
                tracing::warn!("accepting a client connection failed: {error}");
                frontend.limit.evict_one();
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    if frontend.shared.successor.get().is_none()
        && let Ok(listener) = listener.into_std()
    {
        // Calls accept directly: the runtime may not have been notified of the last connections yet.
        while let Ok((stream, _)) = listener.accept()
            && stream.set_nonblocking(true).is_ok()
            && let Ok(stream) = TcpStream::from_std(stream)
        {
            admit(&frontend, stream, &waiting_slots).await;
        }
    }
}

/// Starts serving a new connection as soon as the limit allows it.
async fn admit(frontend: &Frontend, stream: TcpStream, waiting_slots: &Arc<Semaphore>) {
    frontend.shared.counters.clients_accepted.add();
    let _ = stream.set_nodelay(true);
    let permit = frontend.limit.try_acquire();
    let slot = match permit {
        None => Some(waiting_slots.clone().acquire_owned().await.expect("never closed")),
        Some(_) => None,
    };
    let max_wait =
        NEW_CONNECTION_WAIT * waiting_slots.available_permits() as u32 / MAX_WAITING_CONNECTIONS as u32;
    let frontend = frontend.clone();
    frontend.connections.clone().spawn(async move {
        let _permit = match permit {
            Some(permit) => permit,
            // A connection that sends nothing must not evict one that does.
            None if timeout(max_wait, stream.peek(&mut [0])).await.is_err() => {
                return frontend.shared.counters.clients_closed_for_room.add();
            }
            None => frontend.limit.acquire().await,
        };
        drop(slot);
        Client::new(frontend, stream).run().await;
    });
}

/// One client connection.
struct Client {
    frontend: Frontend,
    framed: Framed<ClientStream, StreamingResp>,
    /// Replies that are not sent yet, in the order of the commands.
    pending: VecDeque<PendingReply>,
    /// When the first byte of a partly received command was seen.
    command_started: Option<Instant>,
    /// Whether it has sent a request.
    used: bool,
    /// Dropped when the client disconnects. Attempts that have not started check it through
    /// `ClientRequest::client_alive`, which works even while the dispatcher is busy.
    alive: Arc<()>,
}

/// The reply to a command that was read, and the permit of a pipelined command.
struct PendingReply {
    reply: Reply,
    _permit: Option<OwnedSemaphorePermit>,
}

/// A reply that is known, or awaited from the dispatcher.
enum Reply {
    Ready(Frame),
    Waiting(OpenRequest),
    /// A long value that has to arrive whole before any of it is sent.
    Buffering(BoxFuture<'static, OutgoingReply>),
}

/// A request that the dispatcher has.
struct OpenRequest {
    request_id: RequestId,
    /// When the client stops waiting.
    deadline: Instant,
    /// Receives the final answer.
    answer: oneshot::Receiver<Answer>,
}

/// A reply that is ready to be written.
enum OutgoingReply {
    Frame(Frame),
    /// A long value of which the rest is still to arrive, and how long the client would still wait when it began.
    Arriving(StreamedValue, Duration),
    /// A long value that has arrived whole.
    Buffered(StreamedValue),
}

impl Client {
    fn new(frontend: Frontend, stream: TcpStream) -> Client {
        let framed = Framed::new(ClientStream::new(stream), StreamingResp::default());
        Client {
            frontend,
            framed,
            pending: VecDeque::new(),
            command_started: None,
            used: false,
            alive: Arc::default(),
        }
    }

    async fn run(mut self) {
        // Lets the runtime poll the socket first, so that it knows of unread data and of a client that has
        // already left.
        let _ = self.framed.get_ref().tcp().writable().await;
        let ended = self.serve().await;
        self.report_unanswered(&ended);
        drop(self.alive);
        if self.used {
            self.frontend.used_connections.fetch_sub(1, Ordering::Relaxed);
        }
        for pending in std::mem::take(&mut self.pending) {
            if let Reply::Waiting(request) = pending.reply {
                self.frontend.shared.dispatcher.client_disconnected(request.request_id).await;
            }
        }
    }

    /// Logs why the connection ends, and counts the replies that are due to a client that is still connected.
    fn report_unanswered(&self, ended: &std::io::Result<()>) {
        let why = ended.as_ref().err().map_or("closed".into(), ToString::to_string);
        if self.pending.is_empty() || is_disconnected(self.framed.get_ref().tcp()) {
            return tracing::debug!("client connection ended: {why}");
        }
        tracing::warn!("client connection ended with {} replies due: {why}", self.pending.len());
        self.pending.iter().for_each(|_| self.frontend.shared.counters.replies_lost.add());
    }

    /// Serves commands until the connection ends: the client closed it, it broke, the client was silent for
    /// too long, or the connection is passed on or evicted.
    async fn serve(&mut self) -> std::io::Result<()> {
        let (mut closing, mut close_at) = (self.frontend.shared.phase.clone(), Phase::Closing);
        let limit = self.frontend.limit.clone();
        let (mut sent_command, mut last_active) = (self.used, Instant::now());
        loop {
            let idle = self.pending.is_empty();
            let read_more = idle
                || self.pending.len() < MAX_PIPELINED
                    && self.frontend.pipeline_permits.available_permits() > 0;
            // A partly received command does not time out while the proxy is not reading.
            self.command_started = self.command_started.filter(|_| read_more);
            tokio::select! {
                biased;
                reply = next_reply(&mut self.pending), if !idle => {
                    self.send_reply(reply).await?;
                    last_active = Instant::now();
                }
                frame = next_command(&mut self.framed, &mut self.command_started, read_more) => match frame {
                    // Only the value of a write may be long.
                    Some(Ok(FramePart::Begin(words, _))) if !is_write(&words) => {
                        return self.reject(invalid("bulk string too long")).await;
                    }
                    Some(Ok(FramePart::Begin(words, length))) => {
                        sent_command = true;
                        self.receive_upload(words, length).await?;
                        last_active = Instant::now();
                    }
                    Some(Ok(part)) => {
                        let FramePart::Frame(frame) = part else { return self.reject(invalid("out of step")).await };
                        let reply = self.handle_command(frame, None).await;
                        sent_command = true;
                        if !self.used && matches!(reply, Reply::Waiting(_)) {
                            self.mark_used();
                        }
                        let permit = || self.frontend.pipeline_permits.clone().try_acquire_owned().ok();
                        let _permit = if idle { None } else { permit() };
                        self.pending.push_back(PendingReply { reply, _permit });
                    }
                    Some(Err(error)) => return self.reject(error).await,
                    None => return Ok(()),
                },
                () = closing.reached(close_at), if idle => {
                    // Closing the connection here would lose a command that is on its way, so it is
                    // passed to the successor instead.
                    if let Some(successor) = self.frontend.shared.successor.get() {
                        let unread = self.framed.read_buffer();
                        match successor.pass(self.framed.get_ref().tcp(), unread, self.used).await {
                            Ok(()) => {
                                self.frontend.shared.counters.clients_passed_on.add();
                                return Ok(());
                            }
                            Err(error) => tracing::warn!("a client connection could not be passed on: {error}"),
                        }
                    }
                    // A partly received command may still be completed: the connection stays open until
                    // `Leaving`.
                    if close_at == Phase::Leaving || self.framed.read_buffer().is_empty() {
                        return Ok(());
                    }
                    close_at = Phase::Leaving;
                }
                () = eviction_requested(&limit, self.used, last_active), if idle => {
                    self.frontend.shared.counters.clients_closed_for_room.add();
                    return Ok(());
                }
                () = sleep_until(last_active + SILENCE_TIMEOUT), if !sent_command => {
                    self.frontend.shared.counters.clients_silent.add();
                    return self.reject(invalid("no whole command in time")).await;
                }
            }
        }
    }

    /// Notes that the connection has sent its first request, and evicts others above `Config::used`. Guards
    /// against clients that open a connection per request and keep it: without closing those idle longest, no
    /// connections would be left for other clients.
    fn mark_used(&mut self) {
        self.used = true;
        let used = self.frontend.used_connections.fetch_add(1, Ordering::Relaxed) + 1;
        let max_used = self.frontend.shared.config.max_used_client_connections;
        self.frontend.limit.evict_used(used.saturating_sub(max_used));
    }

    /// Handles input that can't be parsed: answers the commands before it, sends an error and closes the
    /// connection.
    async fn reject(&mut self, error: std::io::Error) -> std::io::Result<()> {
        if error.kind() != ErrorKind::InvalidData {
            return Err(error);
        }
        self.frontend.shared.counters.bad_commands.add();
        let reply = Reply::Ready(Frame::error(format!("ERR Protocol error: {error}")));
        self.pending.push_back(PendingReply { reply, _permit: None });
        self.send_pending_replies().await?;
        // Closing with unread input would reset the connection, and the client might lose the reply.
        let stream = self.framed.get_mut();
        stream.shutdown().await?;
        let (mut rest, mut discard) = (stream.take(LINGER_BYTES), sink());
        tokio::select! {
            _ = timeout(LINGER, copy(&mut rest, &mut discard)) => {}
            () = self.frontend.limit.eviction_requested(EvictionClass::Unused) => {}
        }
        Ok(())
    }

    /// Sends all pending replies in order. Fails once the client has disconnected.
    async fn send_pending_replies(&mut self) -> std::io::Result<()> {
        while !self.pending.is_empty() {
            let reply = tokio::select! {
                biased;
                reply = next_reply(&mut self.pending) => reply,
                () = disconnected(self.framed.get_ref().tcp()) => return Err(ErrorKind::ConnectionAborted.into()),
            };
            self.send_reply(reply).await?;
        }
        Ok(())
    }

    /// Flushes the write buffer. Fails when the client does not read in time or has disconnected, since other
    /// requests wait for their replies behind this one.
    async fn flush(&mut self) -> std::io::Result<()> {
        let deadline = Instant::now() + CLIENT_IO_TIMEOUT;
        loop {
            match timeout(DISCONNECT_CHECK_INTERVAL, SinkExt::<&Frame>::flush(&mut self.framed)).await {
                Ok(flushed) => return flushed,
                Err(_) if is_disconnected(self.framed.get_ref().tcp()) => {
                    return Err(ErrorKind::ConnectionAborted.into());
                }
                Err(_) if Instant::now() >= deadline => return Err(ErrorKind::TimedOut.into()),
                Err(_) => {}
            }
        }
    }

    /// Writes the next reply, within the time that a client has to read it; a long value may have to be buffered first.
    async fn send_reply(&mut self, reply: OutgoingReply) -> std::io::Result<()> {
        let reply = match reply {
            OutgoingReply::Arriving(value, time_left) if self.has_read_more() => {
                self.buffer_next_reply(value, time_left);
                return Ok(());
            }
            reply => reply,
        };
        self.pending.pop_front();
        match reply {
            OutgoingReply::Frame(reply) => {
                self.framed.feed(&reply).await?;
                self.flush().await?;
            }
            OutgoingReply::Arriving(value, _) | OutgoingReply::Buffered(value) => {
                self.stream_reply(value).await?;
            }
        }
        // Releases the memory that a large value took.
        let sent = self.framed.write_buffer_mut();
        if sent.capacity() > MAX_KEPT_BUFFER {
            *sent = BytesMut::with_capacity(MAX_KEPT_BUFFER);
        }
        Ok(())
    }

    /// Whether anything was read behind the command whose reply is the next: commands, or the beginning of one.
    fn has_read_more(&self) -> bool {
        let within_command = self.framed.codec().is_within_frame() || !self.framed.read_buffer().is_empty();
        self.pending.len() > 1 || within_command
    }

    /// Keeps back the next reply, a long value, until all of it has arrived. If a value breaks off of which the client
    /// has a part, only closing the connection tells the client, and the replies to the commands that were read behind
    /// it are lost.
    fn buffer_next_reply(&mut self, value: StreamedValue, time_limit: Duration) {
        let (limit, counters) =
            (self.frontend.buffered_values.clone(), self.frontend.shared.counters.clone());
        if let Some(next) = self.pending.front_mut() {
            next.reply = Reply::Buffering(Box::pin(buffer_value(value, time_limit, limit, counters)));
        }
    }

    /// Handles a command whose last argument is long: forwards the value as it arrives, or discards it if the
    /// reply comes first. The replies to earlier commands are sent before.
    async fn receive_upload(&mut self, mut words: Vec<Frame>, length: usize) -> std::io::Result<()> {
        self.send_pending_replies().await?;
        words.push(Frame::Bulk(Bytes::new()));
        let (reply, mut sender) = match self.frontend.shared.streamed_values.clone().try_acquire_owned() {
            Ok(permit) => {
                let (sender, value) = streaming::streamed_value(length, Some(permit));
                let reply =
                    self.handle_command(Frame::Array(words), Some(Box::new(Upload::new(value)))).await;
                (reply, Some(sender))
            }
            Err(_) => (Reply::Ready(Frame::error("BUSY")), None),
        };
        if !self.used && matches!(reply, Reply::Waiting(_)) {
            self.mark_used();
        }
        self.pending.push_back(PendingReply { reply, _permit: None });
        let mut piece = None;
        loop {
            let (reply_pending, piece_pending) =
                (!self.pending.is_empty(), sender.is_some() && piece.is_some());
            tokio::select! {
                biased;
                reply = next_reply(&mut self.pending), if reply_pending => {
                    self.send_reply(reply).await?;
                    sender = None;
                }
                sent = send_piece(&sender, &piece), if piece_pending => {
                    piece = None;
                    sender = sender.filter(|_| sent.is_ok());
                }
                part = timeout(SILENCE_TIMEOUT, next_part(&mut self.framed, !piece_pending)) => match part {
                    // The receiver of the value is slow, not the client.
                    Err(_) if piece_pending => {}
                    Ok(Some(Ok(FramePart::Piece(received)))) => piece = Some(received),
                    Ok(Some(Ok(FramePart::End(after)))) if after.is_empty() => return Ok(()),
                    Ok(Some(Ok(_))) => return self.reject(invalid("words behind a value")).await,
                    Ok(Some(Err(error))) => return self.reject(error).await,
                    Ok(None) => return Ok(()),
                    Err(_) => return self.reject(invalid("command without end")).await,
                },
            }
        }
    }

    /// Writes a streamed value as it arrives. If the value ends early the connection is closed, so that the
    /// client can tell.
    async fn stream_reply(&mut self, mut value: StreamedValue) -> std::io::Result<()> {
        let head = format!("${}\r\n", value.length);
        self.framed.write_buffer_mut().extend_from_slice(head.as_bytes());
        loop {
            let piece = tokio::select! {
                biased;
                piece = value.next() => piece?,
                () = disconnected(self.framed.get_ref().tcp()) => return Err(ErrorKind::ConnectionAborted.into()),
            };
            let last = piece.is_none();
            self.framed.write_buffer_mut().extend_from_slice(&piece.unwrap_or(Bytes::from_static(b"\r\n")));
            self.flush().await?;
            if last {
                return Ok(());
            }
        }
    }

    /// Executes a command, or submits its request to the dispatcher.
    async fn handle_command(&mut self, frame: Frame, upload: Option<Box<Upload>>) -> Reply {
        let age = self.framed.get_ref().received_at().elapsed().as_nanos() as Nanos;
        let received_at = self.frontend.shared.clock.now().saturating_sub(age);
        let routes = self.frontend.shared.routes.borrow().clone();
        match parse_command(frame, &self.frontend.shared.config, &routes) {
            // The client left while the request waited for a connection slot or behind other commands.
            Ok(Command::Request(..)) if is_disconnected(self.framed.get_ref().tcp()) => {
                self.frontend.shared.counters.exchanges_untaken.add();
                Reply::Ready(Frame::error("ERR the client has left"))
            }
            Ok(Command::Request(ask, request)) => {
                let deadline = received_at.saturating_add(ask.client_timeout);
                let request = ClientRequest {
                    received_at,
                    deadline,
                    client_alive: Arc::downgrade(&self.alive),
                    upload,
                    ..request
                };
                let (request_id, answer) = self.frontend.shared.dispatcher.submit(ask, request).await;
                let deadline = self.frontend.shared.clock.instant(deadline);
                Reply::Waiting(OpenRequest { request_id, deadline, answer })
            }
            Ok(Command::Reply(reply)) => Reply::Ready(reply),
            Ok(Command::Counters) => {
                Reply::Ready(Frame::Bulk(self.frontend.shared.counters.to_string().into()))
            }
            Err(why) => {
                self.frontend.shared.counters.bad_commands.add();
                tracing::debug!("client command rejected: {why}");
                Reply::Ready(Frame::error(format!("ERR {why}")))
            }
        }
    }
}

/// Sends a piece to the receiver of the value. Cancel safe: a cancelled call has not sent it.
async fn send_piece(sender: &Option<streaming::ValueSender>, piece: &Option<Bytes>) -> std::io::Result<()> {
    match (sender, piece) {
        (Some(sender), Some(piece)) => sender.send(piece.clone()).await,
        _ => Ok(()),
    }
}

/// Returns when a connection idle since `last_active` is asked to close to make room.
async fn eviction_requested(limit: &ConnectionLimit, used: bool, last_active: Instant) {
    if !used {
        sleep_until(last_active + NEW_CONNECTION_WAIT).await;
        return limit.eviction_requested(EvictionClass::Unused).await;
    }
    if timeout_at(last_active + RECENT_ACTIVITY, limit.eviction_requested(EvictionClass::RecentlyActive))
        .await
        .is_err()
    {
        limit.eviction_requested(EvictionClass::Idle).await;
    }
}

/// Returns once the client has closed its side or the connection broke. Waits for that alone, so unread data
/// before the end does not hide it.
async fn disconnected(stream: &TcpStream) {
    let ready = stream.ready(Interest::PRIORITY).await;
    if ready.is_ok_and(|ready| !ready.is_read_closed()) {
        std::future::pending().await
    }
}

/// Whether the client has disconnected, as far as the runtime has been notified.
fn is_disconnected(stream: &TcpStream) -> bool {
    disconnected(stream).now_or_never().is_some()
}

/// The next part of the client's input; `None` once it has disconnected. Without `read_more` it reads nothing
/// and only waits for that.
async fn next_part(
    framed: &mut Framed<ClientStream, StreamingResp>,
    read_more: bool,
) -> Option<std::io::Result<FramePart>> {
    if !read_more {
        disconnected(framed.get_ref().tcp()).await;
        return None;
    }
    framed.next().await
}

/// The next command, which must be complete within `CLIENT_IO_TIMEOUT` of its first byte; `None` once the
/// client has disconnected.
async fn next_command(
    framed: &mut Framed<ClientStream, StreamingResp>,
    started: &mut Option<Instant>,
    read_more: bool,
) -> Option<std::io::Result<FramePart>> {
    if !read_more {
        return next_part(framed, read_more).await;
    }
    if framed.read_buffer().is_empty() {
        if let Err(error) = framed.get_mut().wait_readable().await {
            return Some(Err(error));
        }
    } else {
        framed.get_mut().record_unread_since();
    }
    let deadline = *started.get_or_insert_with(Instant::now) + CLIENT_IO_TIMEOUT;
    let frame = timeout_at(deadline, framed.next()).await;
    *started = None;
    frame.unwrap_or_else(|_| Some(Err(invalid("command without end"))))
}

/// Waits for the whole value. If it breaks off, does not fit into the memory for such values, or takes longer than
/// `time_limit`, the request is answered as failed.
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

/// The next reply to send, which the caller then removes. Cancel safe.
async fn next_reply(pending: &mut VecDeque<PendingReply>) -> OutgoingReply {
    let reply = match pending.front_mut().map(|pending| &mut pending.reply) {
        Some(Reply::Ready(reply)) => reply.clone(),
        Some(Reply::Waiting(OpenRequest { deadline, answer, .. })) => match answer.await {
            Ok(Answer::Completed(Value::Whole(value))) => Frame::Bulk(value),
            Ok(Answer::Completed(Value::Streamed(value))) => {
                let time_left = deadline.saturating_duration_since(value.began_at);
                return OutgoingReply::Arriving(value, time_left);
            }
            Ok(Answer::Shed(0)) => Frame::error("BUSY"),
            Ok(Answer::Shed(pause)) => Frame::error(format!("BUSY {}", pause.div_ceil(MILLIS))),
            Ok(Answer::Errored) => Frame::error("ERR failed"),
            Ok(Answer::Rejected(why)) => Frame::Error(why),
            Err(_) => Frame::error("ERR no answer"),
        },
        Some(Reply::Buffering(buffered)) => return buffered.await,
        None => std::future::pending().await,
    };
    OutgoingReply::Frame(reply)
}

/// A parsed client command.
enum Command {
    Request(RequestParams, ClientRequest),
    Reply(Frame),
    Counters,
}

/// Whether these are the arguments of a write up to its value.
fn is_write(words: &[Frame]) -> bool {
    matches!(words, [Frame::Bulk(name), _, _, _] if name.eq_ignore_ascii_case(b"C.SET"))
}

/// Parses a client command. The error is the text sent to the client.
fn parse_command(frame: Frame, config: &Config, routes: &Routes) -> Result<Command, String> {
    let Frame::Array(words) = frame else { return Err("expected a command".into()) };
    let word = |word: Frame| if let Frame::Bulk(word) = word { Some(word) } else { None };
    let words: Option<Vec<Bytes>> = words.into_iter().map(word).collect();
    let words = words.ok_or("expected a command of bulk strings")?;
    let Some((name, rest)) = words.split_first() else { return Err("empty command".into()) };
    let arity = || format!("wrong number of arguments for '{}'", String::from_utf8_lossy(name));
    let is = |word: &[u8]| name.eq_ignore_ascii_case(word);
    match rest {
        [key, id, labels] if is(b"C.GET") => parse_request(config, routes, key, id, labels, None),
        [key, id, labels, value] if is(b"C.SET") => {
            parse_request(config, routes, key, id, labels, Some(value))
        }
        [] if is(b"PING") => Ok(Command::Reply(Frame::simple("PONG"))),
        [text] if is(b"PING") => Ok(Command::Reply(Frame::Bulk(text.clone()))),
        _ if is(b"CLIENT") || is(b"SELECT") => Ok(Command::Reply(Frame::simple("OK"))),
        [what] if is(b"INFO") && what.eq_ignore_ascii_case(b"counters") => Ok(Command::Counters),
        _ if is(b"C.GET") || is(b"C.SET") || is(b"PING") => Err(arity()),
        _ => Err(format!("unknown command '{}'", String::from_utf8_lossy(name))),
    }
}

/// Parses the arguments of a read, or of a write if there is a `value`.
fn parse_request(
    config: &Config,
    routes: &Routes,
    key: &Bytes,
    id: &Bytes,
    labels: &Bytes,
    value: Option<&Bytes>,
) -> Result<Command, String> {
    let text = std::str::from_utf8(labels).map_err(|_| "labels are no text")?;
    if text.chars().any(char::is_control)
        || id.iter().any(u8::is_ascii_control)
        || key.is_empty()
        || id.is_empty()
    {
        return Err("empty key or id, or control characters in id or labels".into());
    }
    let (mut route, mut ask) = (None, RequestParams { write: value.is_some(), ..RequestParams::default() });
    let mut grace = None;
    for label in text.split(',').filter(|label| !label.is_empty()) {
        let (name, value) = label.split_once('=').ok_or_else(|| format!("label '{label}' without value"))?;
        let number = || value.parse::<u64>().map_err(|_| format!("label '{name}': expected a number"));
        match name {
            "c" => route = routes.find(value),
            "t" => ask.tenant = config.tenants.iter().position(|known| known == value),
            "d" => grace = Some(number()?),
            "r" => ask.is_retry = value == "1",
            "work-hint-us" => ask.work_hint = Some(number()?.saturating_mul(NANOS_PER_MICROSECOND)),
            _ => {}
        }
    }
    let overall_timeout;
    (ask.route, overall_timeout) = route.ok_or("label 'c': unknown or missing class")?;
    ask.client_timeout =
        grace.map_or(overall_timeout, |grace| grace.saturating_mul(MILLIS).min(overall_timeout));
    ask.key = Some(stable_hash(&String::from_utf8_lossy(key)));
    let value = value.cloned().unwrap_or_default();
    let (key, id, labels) = (key.clone(), id.clone(), labels.clone());
    let request = ClientRequest {
        received_at: 0,
        deadline: 0,
        client_alive: Weak::new(),
        write: ask.write,
        key,
        id,
        labels,
        value,
        upload: None,
    };
    Ok(Command::Request(ask, request))
}
