//! Stand-ins for cache nodes and the origin. The key of a request says where its reply pauses and for how long.

use bytes::BytesMut;
use pumicebay::resp::{Frame, Resp};
use serde_json::{Value as Json, json};
use std::collections::HashMap;
use std::io::{ErrorKind, Result};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;
use tokio_util::codec::Decoder;

/// How long a spoilt reply may pause behind its value.
const PAUSE_BEHIND_VALUE: Duration = Duration::from_millis(30);
/// How long a node takes to answer.
const SERVICE_TIME: Duration = Duration::from_millis(4);
/// How much of a value comes before a pause that is early in it: less than the proxy wants before it passes a value on.
const EARLY_BYTES: usize = 1000;

/// Where a reply pauses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Position {
    /// In the middle of the head.
    Head,
    /// Between the head and the value.
    Body,
    /// After the first bytes of the value.
    Early,
    /// In the middle of the value.
    Middle,
    /// Before the last byte.
    End,
}

impl Position {
    pub const ALL: [Position; 5] =
        [Position::Head, Position::Body, Position::Early, Position::Middle, Position::End];

    /// How many bytes of a reply with these lengths come before the pause.
    fn offset(self, head: usize, value: usize, whole: usize) -> usize {
        match self {
            Position::Head => head / 2,
            Position::Body => head,
            Position::Early => head + EARLY_BYTES.min(value / 2),
            Position::Middle => head + value / 2,
            Position::End => whole - 1,
        }
    }
}

/// How the origin tells the length of a value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    Length,
    Chunked,
    UntilClose,
}

/// How a key is answered.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// Whether caches lack the key, and how the origin frames its value then.
    pub origin: Option<Framing>,
    pub length: usize,
    pub position: Position,
    pub pause: Duration,
}

impl Plan {
    /// A short value without a pause.
    pub fn prompt() -> Plan {
        Plan { origin: None, length: 20, position: Position::End, pause: Duration::ZERO }
    }
}

/// What is unusual about a reply, without a pause. The request has run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Spoilt {
    /// The node says that the request failed.
    Failed,
    /// It tells a length that is off by so many bytes.
    Length(isize),
    /// It is said to have so many members more, or fewer, than it has.
    Members(isize),
    /// These bytes come behind the value, and nothing more.
    Tail(&'static [u8]),
    /// The same, and the connection is closed.
    Closed(&'static [u8]),
    /// The connection is closed so many bytes before the end of the value.
    Cut(usize),
}

/// What follows the value in a cache's reply.
pub const CACHE_TAIL: &[u8] = b"\r\n$-1\r\n$-1\r\n";

impl Spoilt {
    /// Writes the reply with this value, with a pause behind the value if `pauses`. Fails if the connection is to be closed.
    async fn write(self, stream: &mut TcpStream, origin: bool, value: &[u8], pauses: bool) -> Result<()> {
        let (mut length, mut members, mut value) = (value.len(), 3, value);
        let mut tail = if origin { &b""[..] } else { CACHE_TAIL };
        match self {
            Spoilt::Failed if origin => {
                return stream.write_all(b"HTTP/1.1 500 Failed\r\nContent-Length: 0\r\n\r\n").await;
            }
            Spoilt::Failed => return stream.write_all(b"-ERR failed\r\n").await,
            Spoilt::Length(off) => length = length.checked_add_signed(off).unwrap(),
            Spoilt::Members(off) => members += off,
            Spoilt::Tail(bytes) | Spoilt::Closed(bytes) => tail = bytes,
            Spoilt::Cut(missing) => (value, tail) = (&value[..value.len() - missing], b""),
        }
        let head = match origin {
            true => format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n"),
            false => format!("*{members}\r\n${length}\r\n"),
        };
        if pauses {
            stream.write_all(&[head.as_bytes(), value].concat()).await?;
            sleep(PAUSE_BEHIND_VALUE).await;
            stream.write_all(tail).await?;
        } else {
            stream.write_all(&[head.as_bytes(), value, tail].concat()).await?;
        }
        match self {
            Spoilt::Closed(_) | Spoilt::Cut(_) => Err(ErrorKind::ConnectionAborted.into()),
            _ => Ok(()),
        }
    }
}

/// What the nodes share: the plans by key, and when each request id has run.
#[derive(Clone, Default)]
pub struct Nodes {
    plans: Arc<Mutex<HashMap<String, Plan>>>,
    spoilt: Arc<Mutex<HashMap<String, (Spoilt, bool)>>>,
    runs: Arc<Mutex<HashMap<String, Vec<Instant>>>>,
    /// How often the machines of the nodes have vanished. Connections from before stay open and silent.
    vanished: Arc<AtomicUsize>,
    /// The uid of the node and the id of each run, in their order.
    places: Arc<Mutex<Vec<(String, String)>>>,
}

/// The time in milliseconds, as discovery gives it.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

/// The value of this length that is made for a request.
pub fn value_for(id: &str, length: usize) -> Vec<u8> {
    let word = format!("{id} ");
    let mut value = word.repeat(length.div_ceil(word.len())).into_bytes();
    value.truncate(length);
    value
}

impl Nodes {
    /// Starts so many caches and the origin. Returns their entries in discovery's list.
    pub async fn start(&self, caches: usize) -> Vec<Json> {
        let mut targets = Vec::new();
        for number in 0..=caches {
            let (uid, model) =
                if number == 0 { ("s-origin".into(), "origin") } else { (format!("s-{number}"), "node") };
            let endpoint = self.listen(&uid, number == 0).await.to_string();
            targets.push(json!({"uid": uid, "endpoint": endpoint, "az": "a", "model": model, "pod_group": 0,
                                "state": "active", "capacity_hint": 1.0, "boot_ms": 0}));
        }
        targets
    }

    /// Answers this key by this plan from now on. Other keys have a short value at the caches.
    pub fn plan(&self, key: &str, plan: Plan) {
        self.plans.lock().unwrap().insert(key.into(), plan);
    }

    /// Spoils each reply for this key from now on, with a pause behind its value if `pauses`.
    pub fn spoil(&self, key: &str, spoilt: Spoilt, pauses: bool) {
        self.spoilt.lock().unwrap().insert(key.into(), (spoilt, pauses));
    }

    fn spoilt(&self, key: &str) -> Option<(Spoilt, bool)> {
        self.spoilt.lock().unwrap().get(key).copied()
    }

    /// The machines of all nodes vanish and come back at once, with new processes.
    pub fn vanish(&self) {
        self.vanished.fetch_add(1, Ordering::SeqCst);
    }

    /// Never returns if the machines have vanished since this count.
    async fn check_present(&self, vanished: usize) {
        if self.vanished.load(Ordering::SeqCst) > vanished {
            std::future::pending().await
        }
    }

    /// The ids that ran more than once.
    pub fn repeated(&self) -> Vec<String> {
        let runs = self.runs.lock().unwrap();
        runs.iter().filter(|(_, begun)| begun.len() > 1).map(|(id, _)| id.clone()).collect()
    }

    /// How often this id ran.
    pub fn runs(&self, id: &str) -> usize {
        self.runs.lock().unwrap().get(id).map_or(0, Vec::len)
    }

    /// The ids that began to run after this time.
    pub fn begun_after(&self, time: Instant) -> Vec<String> {
        let runs = self.runs.lock().unwrap();
        let late = |begun: &Vec<Instant>| begun.iter().any(|at| *at > time);
        runs.iter().filter(|(_, begun)| late(begun)).map(|(id, _)| id.clone()).collect()
    }

    fn plan_for(&self, key: &str) -> Plan {
        self.plans.lock().unwrap().get(key).copied().unwrap_or_else(Plan::prompt)
    }

    /// How many requests whose ids begin with `prefix` the process at the address of this node has run.
    pub fn runs_at(&self, uid: &str, prefix: &str) -> usize {
        let places = self.places.lock().unwrap();
        places.iter().filter(|(at, id)| at == uid && id.starts_with(prefix)).count()
    }

    fn record_run(&self, uid: &str, id: &str) {
        self.places.lock().unwrap().push((uid.into(), id.into()));
        self.runs.lock().unwrap().entry(id.into()).or_default().push(Instant::now());
    }

    async fn listen(&self, uid: &str, origin: bool) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let (address, nodes, uid) = (listener.local_addr().unwrap(), self.clone(), uid.to_string());
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let _ = stream.set_nodelay(true);
                let (nodes, uid) = (nodes.clone(), uid.clone());
                tokio::spawn(async move {
                    match origin {
                        true => nodes.serve_origin(stream, &uid).await,
                        false => nodes.serve_cache(stream, &uid).await,
                    }
                });
            }
        });
        address
    }

    async fn serve_cache(&self, mut stream: TcpStream, uid: &str) {
        let vanished = self.vanished.load(Ordering::SeqCst);
        let (mut buffer, mut codec) = (BytesMut::new(), Resp);
        while stream.read_buf(&mut buffer).await.is_ok_and(|length| length > 0) {
            self.check_present(vanished).await;
            while let Ok(Some(Frame::Array(words))) = codec.decode(&mut buffer) {
                let [_, Frame::Bulk(key), Frame::Bulk(id), ..] = &words[..] else {
                    let _ = stream.write_all(b"+PONG\r\n").await;
                    continue;
                };
                let (key, id) = (String::from_utf8_lossy(key), String::from_utf8_lossy(id));
                let plan = self.plan_for(&key);
                if plan.origin.is_some() {
                    sleep(SERVICE_TIME).await;
                    let _ = stream.write_all(b"*3\r\n$-1\r\n$-1\r\n$-1\r\n").await;
                    continue;
                }
                self.record_run(uid, &id);
                sleep(SERVICE_TIME).await;
                if let Some((spoilt, pauses)) = self.spoilt(&key) {
                    if spoilt.write(&mut stream, false, &value_for(&id, plan.length), pauses).await.is_err() {
                        return;
                    }
                    continue;
                }
                let head = format!("*3\r\n${}\r\n", plan.length);
                if write_paused(&mut stream, &plan, head.as_bytes(), &id, b"\r\n$-1\r\n$-1\r\n")
                    .await
                    .is_err()
                {
                    return;
                }
            }
        }
    }

    async fn serve_origin(&self, mut stream: TcpStream, uid: &str) {
        let mut buffer = BytesMut::new();
        while stream.read_buf(&mut buffer).await.is_ok_and(|length| length > 0) {
            let Some(end) = buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n") else { continue };
            let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
            let header = |name: &str| head.lines().find_map(|line| line.strip_prefix(name));
            let body: usize = header("Content-Length: ").and_then(|text| text.parse().ok()).unwrap_or(0);
            if buffer.len() < end + 4 + body {
                continue;
            }
            let _ = buffer.split_to(end + 4 + body);
            let key = head.split([' ', '/']).nth(2).unwrap_or_default();
            let id = header("X-Txn: ").unwrap_or_default().to_string();
            let plan = self.plan_for(key);
            self.record_run(uid, &id);
            sleep(SERVICE_TIME).await;
            if let Some((spoilt, pauses)) = self.spoilt(key) {
                if spoilt.write(&mut stream, true, &value_for(&id, plan.length), pauses).await.is_err() {
                    return;
                }
                continue;
            }
            let length = plan.length;
            let (head, tail) = match plan.origin.unwrap_or(Framing::Length) {
                Framing::Length => (format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n"), ""),
                Framing::Chunked => (
                    format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{length:x}\r\n"),
                    "\r\n0\r\n\r\n",
                ),
                Framing::UntilClose => ("HTTP/1.1 200 OK\r\n\r\n".into(), ""),
            };
            let written = write_paused(&mut stream, &plan, head.as_bytes(), &id, tail.as_bytes()).await;
            if written.is_err() || plan.origin == Some(Framing::UntilClose) {
                return;
            }
        }
    }
}

/// Writes a reply with the pause of its plan.
async fn write_paused(stream: &mut TcpStream, plan: &Plan, head: &[u8], id: &str, tail: &[u8]) -> Result<()> {
    let reply = [head, &value_for(id, plan.length), tail].concat();
    if plan.pause.is_zero() {
        return stream.write_all(&reply).await;
    }
    let (before, after) = reply.split_at(plan.position.offset(head.len(), plan.length, reply.len()));
    stream.write_all(before).await?;
    sleep(plan.pause).await;
    stream.write_all(after).await
}
