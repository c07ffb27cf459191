//! The actor of one node, a cache node or the origin: its idle connections and the tries that are out.
//! A connection carries one try at a time, since giving up a try means closing its connection.

use crate::clock::MILLIS;
use crate::config::Config;
use crate::http::{self, Request, Response};
use crate::long::{self, Long, PIECE, SILENT, Upload, Value};
use crate::module::{Back, Cargo};
use crate::phases::Phase;
use crate::resp::{self, Frame, LONGEST_BULK, begun};
use crate::room::Spare;
use crate::serve::Shared;
use anyhow::{Context, Result, bail};
use bytes::Bytes;
use futures_util::stream::FuturesUnordered;
use futures_util::{SinkExt, StreamExt};
use pumicebay_core::policy::deadline::time_to_tell;
use pumicebay_core::{Held, Nanos, Node, Outcome, RequestId};
use pumicebay_names as names;
use smallvec::SmallVec;
use socket2::SockRef;
use std::collections::VecDeque;

use std::io::{ErrorKind, Read, Write};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::{OwnedSemaphorePermit, mpsc};
use tokio::task::yield_now;
use tokio::time::{Instant, MissedTickBehavior, interval, timeout, timeout_at};
use tokio_util::codec::{Decoder, Framed};
use tokio_util::sync::CancellationToken;

const MAILBOX: usize = 1024;
const SWEEP: Duration = Duration::from_secs(1);
/// A connection is used until this part of the nodes' idle limit is left.
const MARGIN: u32 = 10;
/// Answers with a status of 1xx that may come ahead of the one that counts.
const MOST_INTERIM: usize = 8;
/// A client whose request came no longer ago can't have left for longer.
const LATELY: Nanos = 20 * MILLIS;
/// No node holds as many exchanges as this.
const MOST_HELD: f64 = 1e9;
/// What a label of its own takes at most.
const LEFT: usize = 24;

/// What the module asks of a node; the node's address, which may change, comes with it.
pub enum Errand {
    /// `recall` takes it back: if its last byte isn't sent by then, it never is.
    Try {
        xchg: RequestId,
        try_no: usize,
        cargo: Arc<Cargo>,
        until: Instant,
        recall: CancellationToken,
    },
    Probe {
        until: Instant,
    },
}

impl Errand {
    fn recall(&self) -> Option<&CancellationToken> {
        if let Errand::Try { recall, .. } = self { Some(recall) } else { None }
    }

    /// Taken back, or its client has left, of which the module may not have heard.
    fn recalled(&self) -> bool {
        let gone = matches!(self, Errand::Try { cargo, .. } if cargo.client_has_left());
        gone || self.recall().is_some_and(CancellationToken::is_cancelled)
    }

    /// Has the runtime hear first of clients that have left, where this one may have: guards nodes from attempts that
    /// begin for nobody after a turn in which nothing was heard. Whether it did.
    async fn hears(&self, shared: &Shared) -> bool {
        let now = shared.clock.now();
        let long = matches!(self, Errand::Try { cargo, .. } if now.saturating_sub(cargo.at) > LATELY);
        if long {
            // A task that yields goes on once the sockets were looked at, behind those who are told of an end then. One
            // of its own, as the node's may stand before these already.
            let _ = tokio::spawn(yield_now()).await;
        }
        long
    }

    /// Returns when it is taken back.
    async fn taken_back(&self) {
        match self.recall() {
            Some(recall) => recall.cancelled().await,
            None => std::future::pending().await,
        }
    }
}

pub type Mailbox = mpsc::Sender<(SocketAddr, Errand)>;

/// Starts the actor of a node; its mailbox is all that is left to know.
pub fn start(shared: &Shared, node: Node, origin: bool) -> Mailbox {
    let (mailbox, errands) = mpsc::channel(MAILBOX);
    let actor = Actor { shared: shared.clone(), node, origin, idle: VecDeque::new() };
    tokio::spawn(actor.run(errands));
    mailbox
}

struct Actor {
    shared: Shared,
    node: Node,
    origin: bool,
    idle: VecDeque<(Instant, Connection)>,
}

struct Connection {
    wire: Wire,
    address: SocketAddr,
    _permit: OwnedSemaphorePermit,
}

enum Wire {
    Cache(Framed<TcpStream, resp::Parts>),
    Origin(Framed<TcpStream, http::Parts>),
}

/// Writes some of a long value. Until the last byte is written nothing can have run.
async fn send(stream: &mut TcpStream, bytes: &[u8]) -> Result<(), Outcome> {
    match timeout(SILENT, stream.write_all(bytes)).await {
        Ok(Ok(())) => Ok(()),
        Ok(Err(_)) | Err(_) => Err(Outcome::Unreachable),
    }
}

/// What a try or probe came to unless the module has been told already, and its connection if that can carry
/// another.
type Done = (Errand, Option<Back>, Option<Connection>);

/// What comes back: all of it, or the beginning of a long value. And whether it is the last on this connection.
enum Came {
    Whole(Back, bool),
    Long(usize, Option<Held>, bool),
}

impl Actor {
    async fn run(mut self, mut errands: mpsc::Receiver<(SocketAddr, Errand)>) {
        let mut out = FuturesUnordered::new();
        let mut sweep = interval(SWEEP);
        sweep.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let (mut closing, mut closed) = (self.shared.watch.clone(), false);
        let room = self.shared.upstream.clone();
        loop {
            tokio::select! {
                errand = errands.recv() => match errand {
                    Some((address, errand)) => out.push(self.begin(address, errand)),
                    None => return,
                },
                Some(done) = out.next() => self.done(done).await,
                () = room.asked(Spare::Idle), if !self.idle.is_empty() => {
                    self.shared.counters.connections_closed_for_room.add();
                    self.idle.pop_front();
                }
                _ = sweep.tick() => self.sweep(),
                () = closing.reached(Phase::Closing), if !closed => {
                    closed = true;
                    // The process that takes over needs the descriptors.
                    if self.shared.heir.get().is_some() {
                        self.idle.clear();
                    }
                }
            }
        }
    }

    async fn done(&mut self, (errand, back, connection): Done) {
        if let Some(connection) = connection.filter(|_| self.shared.heir.get().is_none()) {
            self.idle.push_back((Instant::now(), connection));
        }
        let Some(back) = back else { return };
        match errand {
            Errand::Try { xchg, try_no, .. } => self.shared.door.ended(xchg, try_no, self.node, back).await,
            Errand::Probe { .. } => self.shared.door.probed(self.node, back).await,
        }
    }

    /// Whether a connection stood idle not too long and is still open.
    fn usable(config: &Config, (since, connection): &(Instant, Connection)) -> bool {
        since.elapsed() < config.idle - config.idle / MARGIN && connection.alive()
    }

    fn sweep(&mut self) {
        self.idle.retain(|idle| Self::usable(&self.shared.config, idle));
    }

    /// Takes the connection that stood idle longest, so that each is used before its time is up. None of
    /// those that lead to where the node was before.
    fn begin(&mut self, address: SocketAddr, errand: Errand) -> impl Future<Output = Done> + use<> {
        let mut idle = std::iter::from_fn(|| self.idle.pop_front());
        let usable =
            |at: &(Instant, Connection)| at.1.address == address && Self::usable(&self.shared.config, at);
        // One that is taken back needs none.
        let connection = if errand.recalled() { None } else { idle.find(usable) };
        let connection = connection.map(|(_, connection)| connection);
        let (shared, origin, node) = (self.shared.clone(), self.origin, self.node);
        async move {
            let mut leaving = shared.watch.clone();
            let (back, connection) = tokio::select! {
                done = carry(&shared, node, &errand, connection, (address, origin)) => done,
                () = leaving.reached(Phase::Leaving) => (Some(Outcome::Withdrawn.into()), None),
            };
            (errand, back, connection)
        }
    }
}

/// Carries out one try or probe, over an idle connection or a new one.
async fn carry(
    shared: &Shared,
    node: Node,
    errand: &Errand,
    idle: Option<Connection>,
    (address, origin): (SocketAddr, bool),
) -> (Option<Back>, Option<Connection>) {
    let (Errand::Try { until, .. } | Errand::Probe { until }) = errand;
    let mut until = *until;
    let patience = until.saturating_duration_since(Instant::now());
    let upload = match errand {
        Errand::Try { cargo, .. } => cargo.upload.as_deref(),
        Errand::Probe { .. } => None,
    };
    let value = upload.and_then(Upload::take);
    if upload.is_some() && value.is_none() {
        // An earlier try has sent it on already.
        return (Some(Outcome::Unsent.into()), idle);
    }
    let heard = errand.hears(shared).await;
    // Meanwhile it may have ended, or brought what nobody asked for.
    let idle = idle.filter(|connection| !heard || connection.alive());
    if errand.recalled() {
        shared.counters.tries_taken_back.add();
        return (Some(Outcome::Unsent.into()), idle);
    }
    let up = async {
        if let Some(connection) = idle {
            shared.counters.connections_reused.add();
            return Ok(connection);
        }
        let connection = connect(shared, address, origin).await?;
        errand.hears(shared).await;
        Ok(connection)
    };
    let mut connection = match unless_taken_back(shared, errand, in_time(until, up)).await {
        Ok(connection) => connection,
        Err(outcome) => return (Some(outcome.into()), None),
    };
    if errand.recalled() {
        shared.counters.tries_taken_back.add();
        return (Some(Outcome::Unsent.into()), Some(connection));
    }
    // Until the last byte is written nothing can have run.
    let written = connection.write(shared, errand);
    if let Err(outcome) = unless_taken_back(shared, errand, in_time(until, written)).await {
        return (Some(outcome.into()), None);
    }
    if let Some(value) = value {
        if let Err(outcome) = unless_taken_back(shared, errand, connection.upload(value)).await {
            return (Some(outcome.into()), None);
        }
        // The time of a request counts from its last byte.
        until = Instant::now() + patience;
    }
    let within = shared.config.connect / 2;
    let failed = |error: &anyhow::Error| {
        let garbage =
            error.downcast_ref::<std::io::Error>().is_none_or(|e| e.kind() == ErrorKind::InvalidData);
        if garbage {
            tracing::warn!("{address}: {error:#}");
        }
        if garbage { Outcome::Errored } else { Outcome::Severed }
    };
    match timeout_at(until, connection.read(errand, within)).await {
        Ok(Ok(Came::Whole(back, last))) => (Some(back), (!last).then_some(connection)),
        Ok(Ok(Came::Long(length, held, last))) => {
            // The first of it tells whether there is a value at all: until then another try is possible.
            let room = shared.long.clone().acquire_owned();
            let begun =
                timeout_at(until, async { Ok((room.await?, connection.first(length, within).await?)) });
            let (room, first) = match begun.await {
                Ok(Ok(begun)) => begun,
                Ok(Err(error)) => return (Some(failed(&error).into()), None),
                Err(_) => return (Some(Outcome::Overdue.into()), None),
            };
            let (source, value) = long::long(length, Some(room));
            let back = Back { outcome: Outcome::Completed, value: Value::Long(value), held };
            if let Errand::Try { xchg, try_no, .. } = errand {
                shared.door.ended(*xchg, *try_no, node, back).await;
            }
            match connection.pass_on(first, source).await {
                Ok(()) => (None, (!last).then_some(connection)),
                Err(error) => {
                    tracing::info!("{address}: {error:#}");
                    shared.counters.values_broken.add();
                    (None, None)
                }
            }
        }
        Ok(Err(error)) => (Some(failed(&error).into()), None),
        Err(_) => (Some(Outcome::Overdue.into()), None),
    }
}

/// A step of sending, as long as the try is not taken back. Guards rules 1 and 3, and nodes, from tries that waited
/// while what they are for was over. Looked at first whenever the step could go on, so that what is taken back before
/// its last byte never runs.
async fn unless_taken_back<T>(
    shared: &Shared,
    errand: &Errand,
    step: impl Future<Output = Result<T, Outcome>>,
) -> Result<T, Outcome> {
    tokio::select! {
        biased;
        () = errand.taken_back() => {
            shared.counters.tries_taken_back.add();
            Err(Outcome::Unsent)
        }
        done = step => done,
    }
}

/// A step of sending that is not done by then reached nobody.
async fn in_time<T>(until: Instant, step: impl Future<Output = Result<T, Outcome>>) -> Result<T, Outcome> {
    timeout_at(until, step).await.unwrap_or(Err(Outcome::Unreachable))
}

async fn connect(shared: &Shared, address: SocketAddr, origin: bool) -> Result<Connection, Outcome> {
    let unsent = |_| {
        tracing::warn!("{address}: no connection to spare");
        Outcome::Unsent
    };
    let permit = timeout(shared.config.connect, shared.upstream.take()).await.map_err(unsent)?;
    let stream = match timeout(shared.config.connect, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => stream,
        // This proxy's own want of descriptors says nothing about the node.
        Ok(Err(error)) if matches!(error.raw_os_error(), Some(23 | 24)) => return Err(Outcome::Unsent),
        Ok(Err(_)) | Err(_) => {
            shared.counters.connections_failed.add();
            return Err(Outcome::Unreachable);
        }
    };
    shared.counters.connections_opened.add();
    let _ = stream.set_nodelay(true);
    let wire = match origin {
        true => Wire::Origin(Framed::new(stream, http::Parts::new(LONGEST_BULK))),
        false => Wire::Cache(Framed::new(stream, resp::Parts::default())),
    };
    Ok(Connection { wire, address, _permit: permit })
}

impl Connection {
    /// May carry another try: nothing is left of the last one.
    fn alive(&self) -> bool {
        let (stream, unread) = match &self.wire {
            Wire::Cache(framed) => (framed.get_ref(), framed.read_buffer()),
            Wire::Origin(framed) => (framed.get_ref(), framed.read_buffer()),
        };
        unread.is_empty() && quiet(stream)
    }

    /// Writes a probe, or an attempt but for a value that follows. `Unsent` where hardly any time is left for it.
    async fn write(&mut self, shared: &Shared, errand: &Errand) -> Result<(), Outcome> {
        let written = match errand {
            Errand::Probe { .. } => self.write_probe(shared).await,
            Errand::Try { cargo, until, .. } => {
                let clock = &shared.clock;
                let tell = time_to_tell(clock.now(), clock.at(*until), cargo.ends).ok_or(Outcome::Unsent)?;
                self.write_attempt(cargo, tell).await
            }
        };
        written.map_err(|_| Outcome::Unreachable)
    }

    async fn write_probe(&mut self, shared: &Shared) -> std::io::Result<()> {
        match &mut self.wire {
            Wire::Cache(framed) if shared.config.settings.text("reports") == "silent" => {
                framed.send(&Frame::command([b"PING"])).await
            }
            Wire::Cache(framed) => framed.send(&Frame::command([b"INFO", b"load"])).await,
            Wire::Origin(framed) => framed.send(Request::get("/health/live".into())).await,
        }
    }

    /// `tell`: for how many milliseconds the attempt will be waited for.
    async fn write_attempt(&mut self, cargo: &Cargo, tell: u64) -> std::io::Result<()> {
        match &mut self.wire {
            Wire::Cache(framed) => {
                let words = command(cargo, tell);
                match &cargo.upload {
                    Some(upload) => {
                        resp::encode_beginning(&words, upload.length, framed.write_buffer_mut())?;
                        SinkExt::<&Frame>::flush(framed).await
                    }
                    None => framed.send(&Frame::Array(words)).await,
                }
            }
            Wire::Origin(framed) => {
                let labels = labels(&cargo.labels, tell);
                framed.send(request(cargo, &labels)).await
            }
        }
    }

    /// Sends a long value as it comes, up to its last byte, with what ends it.
    async fn upload(&mut self, mut value: Long) -> Result<(), Outcome> {
        let (stream, end) = match &mut self.wire {
            Wire::Cache(framed) => (framed.get_mut(), &b"\r\n"[..]),
            Wire::Origin(framed) => (framed.get_mut(), &b""[..]),
        };
        // A client that stops amid its value is no fault of the node's.
        while let Some(piece) = value.next().await.map_err(|_| Outcome::Unsent)? {
            send(stream, &piece).await?;
        }
        send(stream, end).await
    }

    /// What came back. Severed where nothing whole came.
    async fn read(&mut self, errand: &Errand, within: Duration) -> Result<Came> {
        let probe = matches!(errand, Errand::Probe { .. });
        match &mut self.wire {
            Wire::Cache(framed) => match part(framed, within).await? {
                resp::Part::Frame(frame) => {
                    let back = if probe { probed(frame) } else { replied(frame) }.context("cache node")?;
                    Ok(Came::Whole(back, false))
                }
                resp::Part::Begin(before, length) if before.is_empty() && !probe => {
                    Ok(Came::Long(length, None, false))
                }
                other => bail!("cache node: unexpected {other:?}"),
            },
            Wire::Origin(framed) => {
                for _ in 0..=MOST_INTERIM {
                    match part(framed, within).await? {
                        http::Part::Whole(response) if response.interim() => {}
                        http::Part::Whole(response) => {
                            let last = response.last;
                            return Ok(Came::Whole(answered(response), last));
                        }
                        http::Part::Begin(response, length) if response.status == 200 && !probe => {
                            let last = response.last;
                            return Ok(Came::Long(length, answered(response).held, last));
                        }
                        other => bail!("origin: unexpected {other:?}"),
                    }
                }
                bail!("origin: no answer behind those with 1xx")
            }
        }
    }

    /// The next piece of a long value; none when it is over and so is all that belongs to it.
    async fn piece(&mut self, silent: Duration) -> Result<Option<Bytes>> {
        match &mut self.wire {
            Wire::Cache(framed) => match timeout(silent, some(framed)).await?? {
                resp::Part::Piece(piece) => Ok(Some(piece)),
                resp::Part::End(_) => Ok(None),
                other => bail!("cache node: unexpected {other:?}"),
            },
            Wire::Origin(framed) => match timeout(silent, some(framed)).await?? {
                http::Part::Piece(piece) => Ok(Some(piece)),
                http::Part::End => Ok(None),
                other => bail!("origin: unexpected {other:?}"),
            },
        }
    }

    /// The first pieces of a long value of this length.
    async fn first(&mut self, length: usize, within: Duration) -> Result<Vec<Bytes>> {
        let (mut pieces, mut came) = (Vec::new(), 0);
        while came < length.min(PIECE) {
            let piece = self.piece(within).await?.context("a long value without an end")?;
            came += piece.len();
            pieces.push(piece);
        }
        Ok(pieces)
    }

    /// Brings a long value to whoever takes it.
    async fn pass_on(&mut self, first: Vec<Bytes>, source: long::Source) -> Result<()> {
        for piece in first {
            source.send(piece).await?;
        }
        while let Some(piece) = self.piece(SILENT).await? {
            source.send(piece).await?;
        }
        Ok(())
    }
}

async fn some<C: Decoder>(framed: &mut Framed<TcpStream, C>) -> Result<C::Item>
where
    C::Error: Into<anyhow::Error>,
{
    let part = framed.next().await.ok_or_else(|| std::io::Error::from(ErrorKind::UnexpectedEof))?;
    part.map_err(Into::into)
}

/// What comes next. Once it has begun to come, more of it must follow within this time: what stops amid an answer
/// gives none.
async fn part<C: Decoder>(framed: &mut Framed<TcpStream, C>, within: Duration) -> Result<C::Item>
where
    C::Error: Into<anyhow::Error>,
{
    begun(framed).await?;
    let mut came = 0;
    loop {
        match timeout(within, some(framed)).await {
            Ok(part) => return part,
            // Slowly, but it comes.
            Err(_) if framed.read_buffer().len() > came => came = framed.read_buffer().len(),
            Err(_) => bail!("answer stopped short"),
        }
    }
}

/// Open, and without a byte that nobody asked for. Asks the socket itself: the runtime hears of what came
/// only when it next looks, and an answer's second copy would be read as the next one's.
pub fn quiet(stream: &TcpStream) -> bool {
    let read = (&*SockRef::from(stream)).read(&mut [0]);
    read.is_err_and(|error| error.kind() == ErrorKind::WouldBlock)
}

/// An attempt as a cache node reads it: all as it came, but for how many milliseconds it will be waited for. Without a
/// value that is still to come.
pub fn command(cargo: &Cargo, tell: u64) -> Vec<Frame> {
    let word: &'static [u8] = if cargo.write { b"C.SET" } else { b"C.GET" };
    let mut words = Vec::with_capacity(5);
    words.extend([Bytes::from_static(word), cargo.key.clone(), cargo.id.clone()].map(Frame::Bulk));
    words.push(Frame::Bulk(Bytes::copy_from_slice(&labels(&cargo.labels, tell))));
    if cargo.write && cargo.upload.is_none() {
        words.push(Frame::Bulk(cargo.value.clone()));
    }
    words
}

/// The labels as a node gets them; most lists fit in place.
type Labels = SmallVec<[u8; 256]>;

/// The labels as they came, with `d` as what is left, in milliseconds: put at its place, or at the end.
pub fn labels(came: &[u8], tell: u64) -> Labels {
    let mut told = false;
    let mut own = [0; LEFT];
    let free = {
        let mut free = &mut own[..];
        let _ = write!(free, "d={tell}");
        free.len()
    };
    let own = &own[..LEFT - free];
    let mut labels = Labels::new();
    for (place, label) in came.split(|&byte| byte == b',').enumerate() {
        if place > 0 {
            labels.push(b',');
        }
        let is_left = label.starts_with(b"d=");
        labels.extend_from_slice(if is_left { own } else { label });
        told |= is_left;
    }
    if !told {
        labels.push(b',');
        labels.extend_from_slice(own);
    }
    labels
}

/// A try as the origin reads it, with the labels that go to it.
pub fn request<'a>(cargo: &'a Cargo, labels: &'a [u8]) -> Request<'a> {
    Request {
        method: if cargo.write { "PUT" } else { "GET" },
        path: http::path(&cargo.key),
        headers: vec![("X-Txn", &cargo.id), ("X-Labels", labels)],
        body: (cargo.write && cargo.upload.is_none()).then_some(&cargo.value[..]),
        follows: cargo.upload.as_ref().map(|upload| upload.length),
    }
}

/// What a cache node's reply to a try means.
pub fn replied(frame: Frame) -> Result<Back> {
    match frame {
        Frame::Array(parts) => {
            let [first, _, report] = <[Frame; 3]>::try_from(parts).ok().context("unexpected array")?;
            let (outcome, value) = match first {
                Frame::Bulk(value) => (Outcome::Completed, value),
                Frame::Null => (Outcome::Missed, Bytes::new()),
                other => bail!("unexpected value {other:?}"),
            };
            let held = if let Frame::Bulk(report) = report { held(&report) } else { None };
            Ok(Back { outcome, value: value.into(), held })
        }
        Frame::Error(text) if text.starts_with(b"BUSY") => Ok(Outcome::Saturated.into()),
        Frame::Error(text) if text.starts_with(b"ERR failed") => Ok(Outcome::Errored.into()),
        Frame::Error(text) if text.starts_with(b"ERR ") => {
            Ok(Back { value: text.into(), ..Outcome::Rejected.into() })
        }
        other => bail!("unexpected reply {other:?}"),
    }
}

pub fn probed(frame: Frame) -> Result<Back> {
    match frame {
        Frame::Simple(_) => Ok(Outcome::Completed.into()),
        Frame::Bulk(report) => Ok(Back { held: held(&report), ..Outcome::Completed.into() }),
        Frame::Error(_) => Ok(Outcome::Errored.into()),
        other => bail!("unexpected reply {other:?}"),
    }
}

/// What the origin's answer means.
pub fn answered(response: Response) -> Back {
    let turned_away = response.header("x-turned-away") == Some(b"1");
    let outcome = match response.status {
        200 => Outcome::Completed,
        503 | 504 if turned_away => Outcome::Saturated,
        500 => Outcome::Errored,
        400..500 => {
            let value = Bytes::from(format!("ERR origin: status {}", response.status)).into();
            return Back { value, ..Outcome::Rejected.into() };
        }
        status => {
            tracing::warn!("origin: status {status}");
            Outcome::Errored
        }
    };
    let held = response.header("x-pressure").and_then(held);
    Back { outcome, value: response.body.into(), held }
}

/// How much a node says it holds, in a report of names and values; one that can't be is none.
fn held(report: &[u8]) -> Option<Held> {
    let report = std::str::from_utf8(report).ok()?;
    let mut fields = report.split([',', ';', ' ']).filter_map(|field| field.split_once(['=', ':']));
    fields.find_map(|(name, value)| {
        let count = value.trim().parse().ok().filter(|count| (0.0..MOST_HELD).contains(count))?;
        names::held(name.trim(), count)
    })
}
