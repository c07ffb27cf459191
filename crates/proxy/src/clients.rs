//! The clients' front: RESP commands in, answers out in the order of the commands.

use crate::arrival::{self, ClientStream};
use crate::clock::MILLIS;
use crate::config::Config;
use crate::heir::{Passed, Seat};
use crate::long::{self, Long, Upload, Value};
use crate::messages::{Answer, Cargo};
use crate::phases::Phase;
use crate::resp::{Frame, Part, Parts, bad};
use crate::room::{Room, Spare};
use crate::shared::Shared;
use crate::tuning::Routes;
use bytes::{Bytes, BytesMut};
use futures_util::{FutureExt, SinkExt, StreamExt};
use pumicebay_core::{Ask, Nanos, RequestId};
use pumicebay_names::{NANOS, identity};
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

/// Commands on one connection that await their answers; more are left unread.
const PIPELINE: usize = 32;
/// A connection may be without a whole command for so long after it comes up, and without more of a long value.
const SILENT: Duration = Duration::from_millis(2700);
/// What stands idle for less is closed for want of room last, as a request might be on its way.
const IDLE: Duration = Duration::from_millis(2200);
/// Past the cap, new connections that have brought nothing wait before the door: so many, for no longer than
/// this, and the less the more there are. The rest of them wait in the kernel.
const LOBBY: usize = 16;
const NEW: Duration = Duration::from_millis(20);
/// How long a client may take to read what it asked for, or to write a command that is not its first.
const READING: Duration = Duration::from_secs(10);
/// How often it is looked whether a client that does not read its answer is still there.
const LOOK: Duration = Duration::from_millis(20);
/// What is still read from a client that was refused, and for how long.
const LINGER: Duration = Duration::from_secs(1);
const LINGER_BYTES: u64 = 1 << 20;
/// How large a buffer for replies stays.
const KEPT: usize = 8 * 1024;
/// The pause after a connection could not be accepted, for want of descriptors.
const NO_ROOM: Duration = Duration::from_millis(20);

#[derive(Clone)]
pub struct Front {
    pub shared: Shared,
    pub connections: TaskTracker,
    /// For clients' connections: asked to close is one that brought no exchange yet, else the one without one
    /// longest, also amid a command.
    pub room: Room,
    /// Connections that have brought an exchange.
    pub used: Arc<AtomicUsize>,
    /// Commands that connections may take beyond their first: bounds the answers that slow readers leave here.
    pub ahead: Arc<Semaphore>,
}

/// Takes the connections that the process before passes on, as long as this one lives.
pub async fn take_over(front: Front, seat: Arc<Seat>) {
    loop {
        match seat.next().await {
            Ok(Passed { stream, unread, used }) => {
                let front = front.clone();
                front.shared.counters.clients_taken_over.add();
                front.connections.clone().spawn(async move {
                    let _permit = front.room.take().await;
                    let mut client = Client::new(front, stream);
                    client.framed.read_buffer_mut().extend_from_slice(&unread);
                    if used {
                        client.crowd();
                    }
                    client.run().await;
                });
            }
            Err(error) => {
                tracing::warn!("connections passed on: {error}");
                sleep(NO_ROOM).await;
            }
        }
    }
}

/// Accepts until the phase says no more, and then what the kernel has accepted by that time: such a client may have
/// sent a command. Where another process has the same socket, it does.
pub async fn accept(front: Front, listener: TcpListener) {
    arrival::stamp(&listener);
    let (mut closing, lobby) = (front.shared.watch.clone(), Arc::new(Semaphore::new(LOBBY)));
    loop {
        let accepted = tokio::select! {
            biased;
            () = closing.reached(Phase::Closing) => break,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) => admit(&front, stream, &lobby).await,
            Err(error) => {
                front.shared.counters.accept_failures.add();
                tracing::warn!("accept: {error}");
                front.room.ask();
                sleep(NO_ROOM).await;
            }
        }
    }
    if front.shared.heir.get().is_none()
        && let Ok(listener) = listener.into_std()
    {
        // The kernel itself is asked: the runtime may not have heard of the last ones.
        while let Ok((stream, _)) = listener.accept()
            && stream.set_nonblocking(true).is_ok()
            && let Ok(stream) = TcpStream::from_std(stream)
        {
            admit(&front, stream, &lobby).await;
        }
    }
}

/// Lets a new connection in once there is room for it.
async fn admit(front: &Front, stream: TcpStream, lobby: &Arc<Semaphore>) {
    front.shared.counters.clients_accepted.add();
    let _ = stream.set_nodelay(true);
    let permit = front.room.try_take();
    let place = match permit {
        None => Some(lobby.clone().acquire_owned().await.expect("never closed")),
        Some(_) => None,
    };
    let patience = NEW * lobby.available_permits() as u32 / LOBBY as u32;
    let front = front.clone();
    front.connections.clone().spawn(async move {
        let _permit = match permit {
            Some(permit) => permit,
            // Those that say nothing must not turn out those that do.
            None if timeout(patience, stream.peek(&mut [0])).await.is_err() => {
                return front.shared.counters.clients_closed_for_room.add();
            }
            None => front.room.take().await,
        };
        drop(place);
        Client::new(front, stream).run().await;
    });
}

struct Client {
    front: Front,
    framed: Framed<ClientStream, Parts>,
    /// In the order of the commands.
    pending: VecDeque<Pending>,
    /// When the command began that has come in part.
    begun: Option<Instant>,
    /// It has brought an exchange.
    used: bool,
    /// Given up once the client has left: tells so to what has not begun yet, also where the module is busy.
    here: Arc<()>,
}

struct Pending {
    reply: Reply,
    _ahead: Option<OwnedSemaphorePermit>,
}

enum Reply {
    Ready(Frame),
    Waiting(RequestId, oneshot::Receiver<Answer>),
}

/// A reply as it is to be sent.
enum Due {
    Frame(Frame),
    Long(Long),
}

impl Client {
    fn new(front: Front, stream: TcpStream) -> Client {
        let framed = Framed::new(ClientStream::new(stream), Parts::default());
        Client { front, framed, pending: VecDeque::new(), begun: None, used: false, here: Arc::default() }
    }

    async fn run(mut self) {
        // Until the runtime has heard of it: what lies unread, and whether the client has left by now.
        let _ = self.framed.get_ref().tcp().writable().await;
        if let Err(error) = self.serve().await {
            tracing::debug!("client: {error}");
        }
        drop(self.here);
        if self.used {
            self.front.used.fetch_sub(1, Ordering::Relaxed);
        }
        for pending in std::mem::take(&mut self.pending) {
            if let Reply::Waiting(xchg, _) = pending.reply {
                self.front.shared.door.dropped(xchg).await;
            }
        }
    }

    /// Ends with the connection: the client closed it, broke it, said nothing, or is asked to take another.
    async fn serve(&mut self) -> std::io::Result<()> {
        let (mut closing, mut close_at) = (self.front.shared.watch.clone(), Phase::Closing);
        let room = self.front.room.clone();
        let (mut spoke, mut since) = (self.used, Instant::now());
        loop {
            let idle = self.pending.is_empty();
            let more = idle || self.pending.len() < PIPELINE && self.front.ahead.available_permits() > 0;
            // What is left unread can't be late.
            self.begun = self.begun.filter(|_| more);
            tokio::select! {
                biased;
                reply = next(&mut self.pending), if !idle => {
                    self.answer(reply).await?;
                    since = Instant::now();
                }
                frame = whole(&mut self.framed, &mut self.begun, more) => match frame {
                    // Nothing but the value of a write may be long.
                    Some(Ok(Part::Begin(words, _))) if !writes(&words) => {
                        return self.refuse(bad("bulk string too long")).await;
                    }
                    Some(Ok(Part::Begin(words, length))) => {
                        spoke = true;
                        self.upload(words, length).await?;
                        since = Instant::now();
                    }
                    Some(Ok(part)) => {
                        let Part::Frame(frame) = part else { return self.refuse(bad("out of step")).await };
                        let reply = self.command(frame, None).await;
                        spoke = true;
                        if !self.used && matches!(reply, Reply::Waiting(..)) {
                            self.crowd();
                        }
                        let ahead = || self.front.ahead.clone().try_acquire_owned().ok();
                        let _ahead = if idle { None } else { ahead() };
                        self.pending.push_back(Pending { reply, _ahead });
                    }
                    Some(Err(error)) => return self.refuse(error).await,
                    None => return Ok(()),
                },
                () = closing.reached(close_at), if idle => {
                    // Closed here, a command that is on its way would meet nobody.
                    if let Some(heir) = self.front.shared.heir.get() {
                        let unread = self.framed.read_buffer();
                        match heir.pass(self.framed.get_ref().tcp(), unread, self.used).await {
                            Ok(()) => {
                                self.front.shared.counters.clients_passed_on.add();
                                return Ok(());
                            }
                            Err(error) => tracing::warn!("a connection stays: {error}"),
                        }
                    }
                    // What has come in part may still come whole.
                    if close_at == Phase::Leaving || self.framed.read_buffer().is_empty() {
                        return Ok(());
                    }
                    close_at = Phase::Leaving;
                }
                () = spared(&room, self.used, since), if idle => {
                    self.front.shared.counters.clients_closed_for_room.add();
                    return Ok(());
                }
                () = sleep_until(since + SILENT), if !spoke => {
                    self.front.shared.counters.clients_silent.add();
                    return self.refuse(bad("no whole command in time")).await;
                }
            }
        }
    }

    /// A connection has brought its first exchange. Clients may hold so many for requests: some use each
    /// once and keep it, and have none left for others unless those idle longest are closed.
    fn crowd(&mut self) {
        self.used = true;
        let used = self.front.used.fetch_add(1, Ordering::Relaxed) + 1;
        let most = self.front.shared.config.max_used_client_connections;
        self.front.room.ask_used(used.saturating_sub(most));
    }

    /// What can't be read: answers what came before it, says what is wrong, and closes.
    async fn refuse(&mut self, error: std::io::Error) -> std::io::Result<()> {
        if error.kind() != ErrorKind::InvalidData {
            return Err(error);
        }
        self.front.shared.counters.bad_commands.add();
        let reply = Reply::Ready(Frame::error(format!("ERR Protocol error: {error}")));
        self.pending.push_back(Pending { reply, _ahead: None });
        self.answer_all().await?;
        // Closing before all is read would reset the connection, and the client might lose the reply.
        let stream = self.framed.get_mut();
        stream.shutdown().await?;
        let (mut rest, mut nowhere) = (stream.take(LINGER_BYTES), sink());
        tokio::select! {
            _ = timeout(LINGER, copy(&mut rest, &mut nowhere)) => {}
            () = self.front.room.asked(Spare::Unused) => {}
        }
        Ok(())
    }

    /// Answers what is pending, in its order, as long as the client is there.
    async fn answer_all(&mut self) -> std::io::Result<()> {
        while !self.pending.is_empty() {
            let reply = tokio::select! {
                biased;
                reply = next(&mut self.pending) => reply,
                () = left(self.framed.get_ref().tcp()) => return Err(ErrorKind::ConnectionAborted.into()),
            };
            self.answer(reply).await?;
        }
        Ok(())
    }

    /// Writes what is buffered, within the time that a client has to read it and no longer than it is there:
    /// others wait for their answers behind this one.
    async fn flush(&mut self) -> std::io::Result<()> {
        let by = Instant::now() + READING;
        loop {
            match timeout(LOOK, SinkExt::<&Frame>::flush(&mut self.framed)).await {
                Ok(flushed) => return flushed,
                Err(_) if has_left(self.framed.get_ref().tcp()) => {
                    return Err(ErrorKind::ConnectionAborted.into());
                }
                Err(_) if Instant::now() >= by => return Err(ErrorKind::TimedOut.into()),
                Err(_) => {}
            }
        }
    }

    /// Sends the reply that is due, within the time that a client has to read it.
    async fn answer(&mut self, reply: Due) -> std::io::Result<()> {
        self.pending.pop_front();
        match reply {
            Due::Frame(reply) => {
                self.framed.feed(&reply).await?;
                self.flush().await?;
            }
            Due::Long(value) => self.pass_on(value).await?,
        }
        // A large value leaves no large buffer behind.
        let sent = self.framed.write_buffer_mut();
        if sent.capacity() > KEPT {
            *sent = BytesMut::with_capacity(KEPT);
        }
        Ok(())
    }

    /// A command whose last word is long: passed on as it comes, or left out where it is answered before. What was
    /// asked before it is answered first.
    async fn upload(&mut self, mut words: Vec<Frame>, length: usize) -> std::io::Result<()> {
        self.answer_all().await?;
        words.push(Frame::Bulk(Bytes::new()));
        let (reply, mut source) = match self.front.shared.long.clone().try_acquire_owned() {
            Ok(room) => {
                let (source, value) = long::long(length, Some(room));
                let reply = self.command(Frame::Array(words), Some(Box::new(Upload::new(value)))).await;
                (reply, Some(source))
            }
            Err(_) => (Reply::Ready(Frame::error("BUSY")), None),
        };
        if !self.used && matches!(reply, Reply::Waiting(..)) {
            self.crowd();
        }
        self.pending.push_back(Pending { reply, _ahead: None });
        let mut piece = None;
        loop {
            let (awaits, wanted) = (!self.pending.is_empty(), source.is_some() && piece.is_some());
            tokio::select! {
                biased;
                reply = next(&mut self.pending), if awaits => {
                    self.answer(reply).await?;
                    source = None;
                }
                sent = bring(&source, &piece), if wanted => {
                    piece = None;
                    source = source.filter(|_| sent.is_ok());
                }
                part = timeout(SILENT, part(&mut self.framed, !wanted)) => match part {
                    // Nobody has taken the last piece for as long as a client may be silent.
                    Err(_) if wanted => {}
                    Ok(Some(Ok(Part::Piece(some)))) => piece = Some(some),
                    Ok(Some(Ok(Part::End(after)))) if after.is_empty() => return Ok(()),
                    Ok(Some(Ok(_))) => return self.refuse(bad("words behind a value")).await,
                    Ok(Some(Err(error))) => return self.refuse(error).await,
                    Ok(None) => return Ok(()),
                    Err(_) => return self.refuse(bad("command without end")).await,
                },
            }
        }
    }

    /// Passes a long value on as it comes. One that breaks off ends the connection, so that the client can tell.
    async fn pass_on(&mut self, mut value: Long) -> std::io::Result<()> {
        let head = format!("${}\r\n", value.length);
        self.framed.write_buffer_mut().extend_from_slice(head.as_bytes());
        loop {
            let piece = tokio::select! {
                biased;
                piece = value.next() => piece?,
                () = left(self.framed.get_ref().tcp()) => return Err(ErrorKind::ConnectionAborted.into()),
            };
            let last = piece.is_none();
            self.framed.write_buffer_mut().extend_from_slice(&piece.unwrap_or(Bytes::from_static(b"\r\n")));
            self.flush().await?;
            if last {
                return Ok(());
            }
        }
    }

    async fn command(&mut self, frame: Frame, upload: Option<Box<Upload>>) -> Reply {
        let waited = self.framed.get_ref().arrived().elapsed().as_nanos() as Nanos;
        let at = self.front.shared.clock.now().saturating_sub(waited);
        let routes = self.front.shared.routes.borrow().clone();
        match read(frame, &self.front.shared.config, &routes) {
            // It waited for room, or behind others: nobody is there for the answer.
            Ok(Command::Exchange(..)) if has_left(self.framed.get_ref().tcp()) => {
                self.front.shared.counters.exchanges_untaken.add();
                Reply::Ready(Frame::error("ERR the client has left"))
            }
            Ok(Command::Exchange(ask, cargo)) => {
                let ends = at.saturating_add(ask.grace);
                let cargo = Cargo { at, ends, client: Arc::downgrade(&self.here), upload, ..cargo };
                let (xchg, answered) = self.front.shared.door.arrive(ask, cargo).await;
                Reply::Waiting(xchg, answered)
            }
            Ok(Command::Reply(reply)) => Reply::Ready(reply),
            Ok(Command::Counters) => Reply::Ready(Frame::Bulk(self.front.shared.counters.to_string().into())),
            Err(why) => {
                self.front.shared.counters.bad_commands.add();
                tracing::debug!("client: {why}");
                Reply::Ready(Frame::error(format!("ERR {why}")))
            }
        }
    }
}

/// Brings a piece to whoever takes the value; losing the race to something else loses nothing.
async fn bring(source: &Option<long::Source>, piece: &Option<Bytes>) -> std::io::Result<()> {
    match (source, piece) {
        (Some(source), Some(piece)) => source.send(piece.clone()).await,
        _ => Ok(()),
    }
}

/// Returns when a connection that has been idle since then is to make room.
async fn spared(room: &Room, used: bool, since: Instant) {
    if !used {
        sleep_until(since + NEW).await;
        return room.asked(Spare::Unused).await;
    }
    if timeout_at(since + IDLE, room.asked(Spare::Lately)).await.is_err() {
        room.asked(Spare::Idle).await;
    }
}

/// Returns once the client has left: it closed its side, or the connection broke. What lies unread before that
/// does not hide it, as word of the end alone is waited for.
async fn left(stream: &TcpStream) {
    let ready = stream.ready(Interest::PRIORITY).await;
    if ready.is_ok_and(|ready| !ready.is_read_closed()) {
        std::future::pending().await
    }
}

/// Whether it has, as far as the runtime has heard.
fn has_left(stream: &TcpStream) -> bool {
    left(stream).now_or_never().is_some()
}

/// The next part of what a client sends. None once it has left, which is all that is looked for if nothing more
/// is to be read.
async fn part(framed: &mut Framed<ClientStream, Parts>, more: bool) -> Option<std::io::Result<Part>> {
    if !more {
        left(framed.get_ref().tcp()).await;
        return None;
    }
    framed.next().await
}

/// The next command, which must be whole some time after its first byte. None once the client has left.
async fn whole(
    framed: &mut Framed<ClientStream, Parts>,
    since: &mut Option<Instant>,
    more: bool,
) -> Option<std::io::Result<Part>> {
    if !more {
        return part(framed, more).await;
    }
    if framed.read_buffer().is_empty() {
        if let Err(error) = framed.get_mut().something().await {
            return Some(Err(error));
        }
    } else {
        framed.get_mut().note_unread();
    }
    let by = *since.get_or_insert_with(Instant::now) + READING;
    let frame = timeout_at(by, framed.next()).await;
    *since = None;
    frame.unwrap_or_else(|_| Some(Err(bad("command without end"))))
}

/// The reply that is due next; who gets it takes it off. Losing the race to something else loses nothing.
async fn next(pending: &mut VecDeque<Pending>) -> Due {
    let reply = match pending.front_mut().map(|pending| &mut pending.reply) {
        Some(Reply::Ready(reply)) => reply.clone(),
        Some(Reply::Waiting(_, answered)) => match answered.await {
            Ok(Answer::Completed(Value::Whole(value))) => Frame::Bulk(value),
            Ok(Answer::Completed(Value::Long(value))) => return Due::Long(value),
            Ok(Answer::Shed(0)) => Frame::error("BUSY"),
            Ok(Answer::Shed(pause)) => Frame::error(format!("BUSY {}", pause.div_ceil(MILLIS))),
            Ok(Answer::Errored) => Frame::error("ERR failed"),
            Ok(Answer::Rejected(why)) => Frame::Error(why),
            Err(_) => Frame::error("ERR no answer"),
        },
        None => std::future::pending().await,
    };
    Due::Frame(reply)
}

enum Command {
    Exchange(Ask, Cargo),
    Reply(Frame),
    Counters,
}

/// Whether these words want but the value of a write.
fn writes(words: &[Frame]) -> bool {
    matches!(words, [Frame::Bulk(name), _, _, _] if name.eq_ignore_ascii_case(b"C.SET"))
}

/// Reads a client's command, or says in plain words what is wrong with it.
fn read(frame: Frame, config: &Config, routes: &Routes) -> Result<Command, String> {
    let Frame::Array(words) = frame else { return Err("expected a command".into()) };
    let word = |word: Frame| if let Frame::Bulk(word) = word { Some(word) } else { None };
    let words: Option<Vec<Bytes>> = words.into_iter().map(word).collect();
    let words = words.ok_or("expected a command of bulk strings")?;
    let Some((name, rest)) = words.split_first() else { return Err("empty command".into()) };
    let arity = || format!("wrong number of arguments for '{}'", String::from_utf8_lossy(name));
    let is = |word: &[u8]| name.eq_ignore_ascii_case(word);
    match rest {
        [key, id, labels] if is(b"C.GET") => exchange(config, routes, key, id, labels, None),
        [key, id, labels, value] if is(b"C.SET") => exchange(config, routes, key, id, labels, Some(value)),
        [] if is(b"PING") => Ok(Command::Reply(Frame::simple("PONG"))),
        [text] if is(b"PING") => Ok(Command::Reply(Frame::Bulk(text.clone()))),
        _ if is(b"CLIENT") || is(b"SELECT") => Ok(Command::Reply(Frame::simple("OK"))),
        [what] if is(b"INFO") && what.eq_ignore_ascii_case(b"counters") => Ok(Command::Counters),
        _ if is(b"C.GET") || is(b"C.SET") || is(b"PING") => Err(arity()),
        _ => Err(format!("unknown command '{}'", String::from_utf8_lossy(name))),
    }
}

fn exchange(
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
    let (mut route, mut ask) = (None, Ask { write: value.is_some(), ..Ask::default() });
    let mut grace = None;
    for label in text.split(',').filter(|label| !label.is_empty()) {
        let (name, value) = label.split_once('=').ok_or_else(|| format!("label '{label}' without value"))?;
        let number = || value.parse::<u64>().map_err(|_| format!("label '{name}': expected a number"));
        match name {
            "c" => route = routes.find(value),
            "t" => ask.tenant = config.tenants.iter().position(|known| known == value),
            "d" => grace = Some(number()?),
            "r" => ask.retry = value == "1",
            "work-hint-us" => ask.hint = Some(number()?.saturating_mul(NANOS)),
            _ => {}
        }
    }
    let overall;
    (ask.route, overall) = route.ok_or("label 'c': unknown or missing class")?;
    ask.grace = grace.map_or(overall, |grace| grace.saturating_mul(MILLIS).min(overall));
    ask.key = Some(identity(&String::from_utf8_lossy(key)));
    let value = value.cloned().unwrap_or_default();
    let (key, id, labels) = (key.clone(), id.clone(), labels.clone());
    let cargo =
        Cargo { at: 0, ends: 0, client: Weak::new(), write: ask.write, key, id, labels, value, upload: None };
    Ok(Command::Exchange(ask, cargo))
}
