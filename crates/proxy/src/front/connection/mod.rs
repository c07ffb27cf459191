//! One client connection, from its first command to its end.

mod upload;

use crate::connection_limit::{ConnectionLimit, EvictionClass};
use crate::event_loop;
use crate::front::client_stream::ClientStream;
use crate::front::commands::{Command, is_write, parse_command};
use crate::front::frontend::Frontend;
use crate::front::input::{Input, disconnected, has_input, is_disconnected, next_command};
use crate::front::pacing::{Pacer, WorkMeter, pause_over};
use crate::front::replies::{ClientDeadline, OpenRequest, OutgoingReply, PendingReplies, Reply};
use crate::front::writer::{release_buffer, write_frame, write_value};
use crate::messages::ClientRequest;
use crate::phases::Phase;
use crate::resp::{Frame, FramePart, StreamingResp, invalid};
use crate::shared::Shared;
use crate::streaming::Upload;
use pumicebay_core::Nanos;
use std::io::ErrorKind;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, copy, sink};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep_until, timeout, timeout_at};
use tokio_util::codec::Framed;

/// Commands of one connection that may await their replies; further ones stay unread in the socket.
const MAX_PIPELINED: usize = 32;
/// How long a new connection may take to send its first whole command, and how long a client may pause while
/// it sends a long value.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(2700);
/// Connections idle for less than this are evicted last, since a request may be on its way.
const RECENT_ACTIVITY: Duration = Duration::from_millis(2200);
/// The longest that a connection above the limit waits for its first bytes (less, the more of them wait), and the age at
/// which a connection without a request may be evicted.
pub const NEW_CONNECTION_WAIT: Duration = Duration::from_millis(20);
/// How long the rest of the input of a rejected client is read before the connection is closed.
const LINGER: Duration = Duration::from_secs(1);
/// How many bytes of it are read at most.
const LINGER_BYTES: u64 = 1 << 20;

/// One client connection.
pub struct Client {
    frontend: Frontend,
    framed: Framed<ClientStream, StreamingResp>,
    /// How much its commands make the event loop work.
    pacer: Pacer,
    /// The replies that are due.
    pending: PendingReplies,
    /// When the first byte of a partly received command was seen.
    command_started: Option<Instant>,
    /// Whether it has sent a request.
    used: bool,
    /// Dropped when the client disconnects. Attempts that have not started check it through
    /// `ClientRequest::client_alive`, which works even while the dispatcher is busy.
    alive: Arc<()>,
}

impl Client {
    /// A connection that has sent nothing yet.
    pub fn new(frontend: Frontend, stream: TcpStream) -> Client {
        let framed = Framed::new(ClientStream::new(stream), StreamingResp::default());
        Client {
            pacer: Pacer::new(frontend.busy_connections.clone()),
            frontend,
            framed,
            pending: PendingReplies::default(),
            command_started: None,
            used: false,
            alive: Arc::default(),
        }
    }

    /// A connection that the previous process passes on, with the bytes that it had read and not used. `used`: whether
    /// it has sent a request.
    pub fn taken_over(frontend: Frontend, stream: TcpStream, unread: &[u8], used: bool) -> Client {
        let mut client = Client::new(frontend, stream);
        client.framed.read_buffer_mut().extend_from_slice(unread);
        if used {
            client.mark_used();
        }
        client
    }

    /// Serves the client until the connection ends.
    pub async fn run(mut self) {
        // Lets the runtime poll the socket first, so that it knows of unread data and of a client that has
        // already left.
        let _ = self.framed.get_ref().tcp().writable().await;
        let meter = WorkMeter::start();
        let ended = meter.measure(self.serve(&meter)).await;
        self.report_unanswered(&ended);
        drop(self.alive);
        if self.used {
            self.frontend.used_connections.fetch_sub(1, Ordering::Relaxed);
        }
        for request_id in self.pending.open_requests() {
            self.frontend.shared.dispatcher.client_disconnected(request_id).await;
        }
    }

    /// Logs why the connection ends, and counts the replies that are due to a client that is still connected.
    fn report_unanswered(&self, ended: &std::io::Result<()>) {
        let why = ended.as_ref().err().map_or("closed".into(), ToString::to_string);
        if self.pending.is_empty() || is_disconnected(self.framed.get_ref().tcp()) {
            return tracing::debug!("client connection ended: {why}");
        }
        tracing::warn!("client connection ended with {} replies due: {why}", self.pending.len());
        (0..self.pending.len()).for_each(|_| self.frontend.shared.counters.replies_lost.add());
    }

    /// Serves commands until the connection ends: the client closed it, it broke, the client was silent for
    /// too long, or the connection is passed on or evicted.
    async fn serve(&mut self, meter: &WorkMeter) -> std::io::Result<()> {
        let (mut closing, mut close_at) = (self.frontend.shared.phase.clone(), Phase::Closing);
        let limit = self.frontend.limit.clone();
        let (mut sent_command, mut last_active) = (self.used, Instant::now());
        loop {
            let idle = self.pending.is_empty();
            let may_pipeline = self.pending.len() < MAX_PIPELINED
                && !self.pacer.is_beyond_burst()
                && self.frontend.pipeline_permits.available_permits() > 0;
            let may_read = idle || may_pipeline;
            // A partly received command does not time out while the proxy is not reading.
            self.command_started = self.command_started.filter(|_| may_read);
            let paused_until = self.pacer.paused_until();
            let read_more = may_read && paused_until.is_none();
            tokio::select! {
                biased;
                reply = self.pending.next(), if !idle => {
                    self.send_reply(reply).await?;
                    last_active = Instant::now();
                }
                () = pause_over(paused_until), if paused_until.is_some() => self.pacer.resume(),
                input = next_command(&mut self.framed, &mut self.command_started, &mut self.pacer, meter, read_more) => match input {
                    // Only the value of a write may be long.
                    Input::Part(FramePart::Begin { before, .. }) if !is_write(&before) => {
                        return self.reject(invalid("bulk string too long")).await;
                    }
                    Input::Part(FramePart::Begin { members_after: 1.., .. }) => {
                        return self.reject(invalid("words behind a value")).await;
                    }
                    Input::Part(FramePart::Begin { before: words, length, .. }) => {
                        sent_command = true;
                        self.receive_upload(words, length, meter).await?;
                        last_active = Instant::now();
                    }
                    Input::Part(FramePart::Frame(frame)) => {
                        let reply = self.handle_command(frame, None).await;
                        sent_command = true;
                        if !self.used && matches!(reply, Reply::Waiting(_)) {
                            self.mark_used();
                        }
                        let permit = || self.frontend.pipeline_permits.clone().try_acquire_owned().ok();
                        let permit = if idle { None } else { permit() };
                        self.pending.push(reply, permit);
                        self.pause_if_due(meter);
                    }
                    Input::Part(_) => return self.reject(invalid("out of step")).await,
                    Input::Pause => {}
                    Input::Disconnected => return Ok(()),
                    Input::Failed(error) => return self.reject(error).await,
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

    /// Pauses the connection, and counts that, if its commands make the event loop work too much.
    fn pause_if_due(&mut self, meter: &WorkMeter) {
        let Client { pacer, framed, .. } = self;
        if pacer.must_pause(meter, Instant::now(), || has_input(framed)) && pacer.is_beyond_burst() {
            self.frontend.shared.counters.clients_paused.add();
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
        self.pending.push(reply, None);
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
                reply = self.pending.next() => reply,
                () = disconnected(self.framed.get_ref().tcp()) => return Err(ErrorKind::ConnectionAborted.into()),
            };
            self.send_reply(reply).await?;
        }
        Ok(())
    }

    /// Writes the next reply. If more has arrived behind its command, a long value is buffered first: if it broke off while
    /// the client has a part of it, only closing the connection would tell the client, and the replies to what came
    /// behind it would be lost.
    async fn send_reply(&mut self, reply: OutgoingReply) -> std::io::Result<()> {
        match reply {
            OutgoingReply::Arriving(value, time_left) if self.has_more_input() => {
                let Frontend { buffered_values, shared, .. } = &self.frontend;
                self.pending.buffer_next(value, time_left, buffered_values, &shared.counters);
                return Ok(());
            }
            OutgoingReply::Frame(reply) => {
                self.pending.remove_next();
                write_frame(&mut self.framed, &reply).await?;
            }
            OutgoingReply::Arriving(value, _) | OutgoingReply::Buffered(value) => {
                self.pending.remove_next();
                write_value(&mut self.framed, value).await?;
            }
        }
        release_buffer(&mut self.framed);
        Ok(())
    }

    /// Whether anything has arrived behind the command whose reply is the next: commands, or the beginning of one, read or
    /// not.
    fn has_more_input(&self) -> bool {
        let within_command = self.framed.codec().is_within_frame() || !self.framed.read_buffer().is_empty();
        self.pending.len() > 1 || within_command || self.framed.get_ref().unread_bytes() > 0
    }

    /// Executes a command, or submits its request to the dispatcher.
    async fn handle_command(&mut self, frame: Frame, upload: Option<Box<Upload>>) -> Reply {
        let age = self.framed.get_ref().received_at().elapsed().as_nanos() as Nanos;
        let received_at = self.frontend.shared.clock.now().saturating_sub(age);
        let routes = self.frontend.shared.routes.borrow().clone();
        let Shared { config, counters, .. } = &self.frontend.shared;
        match event_loop::timed_command(counters, || parse_command(frame, config, &routes)) {
            // The client left while the request waited for a connection slot or behind other commands.
            Ok(Command::Request(..)) if is_disconnected(self.framed.get_ref().tcp()) => {
                self.frontend.shared.counters.exchanges_untaken.add();
                Reply::Ready(Frame::error("ERR the client has left"))
            }
            Ok(Command::Request(ask, request)) => {
                let deadline = received_at.saturating_add(ask.client_timeout);
                let client_timeout = Duration::from_nanos(ask.client_timeout);
                let last_byte = upload.as_ref().map(|upload| upload.last_byte.clone());
                let request = ClientRequest {
                    received_at,
                    deadline,
                    client_alive: Arc::downgrade(&self.alive),
                    upload,
                    ..request
                };
                self.pacer.charge_request();
                let (request_id, answer) = self.frontend.shared.dispatcher.submit(ask, request).await;
                let deadline = match last_byte {
                    Some(last_byte) => ClientDeadline::AfterLastByte(last_byte),
                    None => ClientDeadline::At(self.frontend.shared.clock.instant(deadline)),
                };
                Reply::Waiting(OpenRequest { request_id, client_timeout, deadline, answer })
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
