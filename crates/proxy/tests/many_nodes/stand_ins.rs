//! Stand-ins for any number of cache nodes, and for discovery.

use futures_util::{SinkExt, StreamExt};
use pumicebay::resp::{Frame, Resp};
use serde_json::{Value as Json, json};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};
use tokio_util::codec::Framed;

/// What a node takes for an answer, and for keys that begin with `slow`.
const ANSWER: Duration = Duration::from_millis(10);
const SLOW_ANSWER: Duration = Duration::from_millis(250);

/// An attempt as a node saw it.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub id: String,
    /// When its last byte had come.
    pub at: Instant,
}

/// All cache nodes: one listener takes what comes for any of them.
#[derive(Clone)]
pub struct Nodes {
    port: u16,
    attempts: Arc<Mutex<Vec<Attempt>>>,
}

impl Nodes {
    pub async fn start() -> Nodes {
        let listener = TcpListener::bind("0.0.0.0:0").await.unwrap();
        let nodes = Nodes { port: listener.local_addr().unwrap().port(), attempts: Arc::default() };
        let seen = nodes.attempts.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(stream, seen.clone()));
            }
        });
        nodes
    }

    /// Entries of so many nodes, in discovery's form.
    pub fn list(&self, nodes: usize) -> Vec<Json> {
        let entry = |node: usize| {
            let host = format!("127.{}.{}.{}", 1 + node / 40_000, node / 200 % 200, 1 + node % 200);
            json!({"uid": format!("s-{node:08x}"), "endpoint": format!("{host}:{}", self.port), "az": "a",
                   "model": "node", "pod_group": node % 7, "state": "active", "capacity_hint": 1.0, "boot_ms": 0})
        };
        (0..nodes).map(entry).collect()
    }

    pub fn attempts(&self) -> Vec<Attempt> {
        self.attempts.lock().unwrap().clone()
    }
}

/// Answers each read with its key, in the order of the commands.
async fn serve(stream: TcpStream, seen: Arc<Mutex<Vec<Attempt>>>) {
    let mut framed = Framed::new(stream, Resp);
    while let Some(Ok(Frame::Array(words))) = framed.next().await {
        let [_, Frame::Bulk(key), Frame::Bulk(id), ..] = &words[..] else {
            let _ = framed.send(&Frame::simple("PONG")).await;
            continue;
        };
        let attempt = Attempt { id: String::from_utf8_lossy(id).into_owned(), at: Instant::now() };
        seen.lock().unwrap().push(attempt);
        sleep(if key.starts_with(b"slow") { SLOW_ANSWER } else { ANSWER }).await;
        let answer = Frame::Array(vec![Frame::Bulk(id.clone()), Frame::Null, Frame::Null]);
        if framed.send(&answer).await.is_err() {
            return;
        }
    }
}

/// What discovery has to tell.
#[derive(Clone, Default)]
struct Told {
    revision: u64,
    entries: Arc<Vec<Json>>,
    /// What the last revision changed; none for a revision that is told whole.
    changed: Option<usize>,
}

/// Tells a list, and its changes to those who watch it.
pub struct Discovery {
    pub address: SocketAddr,
    told: watch::Sender<Told>,
}

impl Discovery {
    pub async fn start(entries: Vec<Json>) -> Discovery {
        let told = Told { revision: 41, entries: Arc::new(entries), changed: None };
        let told = watch::Sender::new(told);
        Discovery { address: listen(&told).await, told }
    }

    /// The same at another address.
    pub async fn again(&self) -> SocketAddr {
        listen(&self.told).await
    }

    /// The whole list.
    pub fn list(&self) -> Json {
        list(&self.told.borrow())
    }

    /// A node that is told anew, with what it was.
    pub fn change(&self, node: usize) {
        self.told.send_modify(|told| (told.revision, told.changed) = (told.revision + 1, Some(node)));
    }

    /// Half of the nodes are replaced by others, whose processes began now.
    pub fn release(&self) {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64;
        self.told.send_modify(|told| {
            let mut entries = (*told.entries).clone();
            for entry in entries.iter_mut().step_by(2) {
                let uid = format!("{}-new", entry["uid"].as_str().unwrap());
                (entry["uid"], entry["boot_ms"]) = (json!(uid), json!(now));
            }
            *told = Told { revision: told.revision + 1, entries: Arc::new(entries), changed: None };
        });
    }

    /// All nodes are told anew.
    pub fn whole(&self) {
        self.told.send_modify(|told| (told.revision, told.changed) = (told.revision + 1, None));
    }
}

fn list(told: &Told) -> Json {
    json!({"rev": told.revision, "all": true, "targets": *told.entries})
}

async fn listen(told: &watch::Sender<Told>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (address, told) = (listener.local_addr().unwrap(), told.clone());
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(tell(stream, told.subscribe()));
        }
    });
    address
}

/// Answers the calls on one connection.
async fn tell(stream: TcpStream, mut told: watch::Receiver<Told>) -> std::io::Result<()> {
    let mut stream = BufReader::new(stream);
    loop {
        let mut call = String::new();
        stream.read_line(&mut call).await?;
        let mut header = String::new();
        while stream.read_line(&mut header).await? > 2 {
            header.clear();
        }
        if call.is_empty() {
            return Ok(());
        }
        let field = |name: &str| {
            let (_, rest) = call.split_once(name)?;
            rest.split(['&', ' ']).next()?.parse::<u64>().ok()
        };
        let body = match field("index=") {
            None => list(&told.borrow_and_update()),
            Some(index) => {
                let wait = Duration::from_millis(field("wait=").unwrap_or(0));
                let _ = timeout(wait, told.wait_for(|told| told.revision > index)).await;
                changes(&told.borrow_and_update(), index)
            }
        };
        let body = body.to_string();
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
        stream.write_all(head.as_bytes()).await?;
        stream.write_all(body.as_bytes()).await?;
    }
}

/// What a watch is told: whoever has missed more than the last change gets all.
fn changes(told: &Told, index: u64) -> Json {
    let targets: Vec<&Json> = match told.changed {
        _ if told.revision == index => Vec::new(),
        Some(node) if told.revision == index + 1 => vec![&told.entries[node]],
        _ => return list(told),
    };
    json!({"rev": told.revision, "all": false, "targets": targets})
}
