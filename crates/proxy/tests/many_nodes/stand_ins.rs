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

/// How long a node takes to answer.
const ANSWER_DELAY: Duration = Duration::from_millis(10);
/// How long a node takes to answer for keys that begin with `slow`.
const SLOW_ANSWER_DELAY: Duration = Duration::from_millis(250);

/// An attempt as a node saw it.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub id: String,
    /// When its last byte had arrived.
    pub arrived_at: Instant,
}

/// All cache nodes: a single listener accepts the connections to all their addresses.
#[derive(Clone)]
pub struct Nodes {
    port: u16,
    attempts: Arc<Mutex<Vec<Attempt>>>,
}

impl Nodes {
    pub async fn start() -> Nodes {
        let listener = TcpListener::bind("0.0.0.0:0").await.unwrap();
        let nodes = Nodes { port: listener.local_addr().unwrap().port(), attempts: Arc::default() };
        let attempts = nodes.attempts.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve_node(stream, attempts.clone()));
            }
        });
        nodes
    }

    /// This many entries in the format of discovery's list.
    pub fn entries(&self, nodes: usize) -> Vec<Json> {
        let entry = |node: usize| {
            let host = format!("127.{}.{}.{}", 1 + node / 40_000, node / 200 % 200, 1 + node % 200);
            json!({"uid": format!("s-{node:08x}"), "endpoint": format!("{host}:{}", self.port), "az": "a",
                   "model": "node", "pod_group": node % 7, "state": "active", "capacity_hint": 1.0, "boot_ms": 0})
        };
        (0..nodes).map(entry).collect()
    }

    /// The attempts that arrived so far.
    pub fn attempts(&self) -> Vec<Attempt> {
        self.attempts.lock().unwrap().clone()
    }
}

/// Records each attempt and answers it with its id, in the order of the commands.
async fn serve_node(stream: TcpStream, attempts: Arc<Mutex<Vec<Attempt>>>) {
    let mut framed = Framed::new(stream, Resp);
    while let Some(Ok(Frame::Array(arguments))) = framed.next().await {
        let [_, Frame::Bulk(key), Frame::Bulk(id), ..] = &arguments[..] else {
            let _ = framed.send(&Frame::simple("PONG")).await;
            continue;
        };
        let attempt = Attempt { id: String::from_utf8_lossy(id).into_owned(), arrived_at: Instant::now() };
        attempts.lock().unwrap().push(attempt);
        sleep(if key.starts_with(b"slow") { SLOW_ANSWER_DELAY } else { ANSWER_DELAY }).await;
        let answer = Frame::Array(vec![Frame::Bulk(id.clone()), Frame::Null, Frame::Null]);
        if framed.send(&answer).await.is_err() {
            return;
        }
    }
}

/// The list that discovery publishes.
#[derive(Clone, Default)]
struct Published {
    revision: u64,
    entries: Arc<Vec<Json>>,
    /// The index of the entry that the last revision changed; `None` if that revision is published as a whole
    /// list.
    changed: Option<usize>,
}

/// A discovery that publishes a list of nodes, and its changes to the callers that watch it.
pub struct Discovery {
    pub address: SocketAddr,
    published: watch::Sender<Published>,
}

impl Discovery {
    pub async fn start(entries: Vec<Json>) -> Discovery {
        let published = Published { revision: 41, entries: Arc::new(entries), changed: None };
        let published = watch::Sender::new(published);
        Discovery { address: listen(&published).await, published }
    }

    /// Serves the same list at another address as well.
    pub async fn listen_again(&self) -> SocketAddr {
        listen(&self.published).await
    }

    /// The whole list.
    pub fn whole_list(&self) -> Json {
        whole_list(&self.published.borrow())
    }

    /// Publishes one node's entry again, unchanged, as a new revision.
    pub fn publish_node(&self, node: usize) {
        self.published.send_modify(|published| {
            (published.revision, published.changed) = (published.revision + 1, Some(node))
        });
    }

    /// Replaces half of the nodes by others that have just started, and publishes the whole list.
    pub fn replace_half(&self) {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64;
        self.published.send_modify(|published| {
            let mut entries = (*published.entries).clone();
            for entry in entries.iter_mut().step_by(2) {
                let uid = format!("{}-new", entry["uid"].as_str().unwrap());
                (entry["uid"], entry["boot_ms"]) = (json!(uid), json!(now));
            }
            *published =
                Published { revision: published.revision + 1, entries: Arc::new(entries), changed: None };
        });
    }

    /// Publishes the whole list again, unchanged, as a new revision.
    pub fn publish_all(&self) {
        self.published.send_modify(|published| {
            (published.revision, published.changed) = (published.revision + 1, None)
        });
    }
}

fn whole_list(published: &Published) -> Json {
    json!({"rev": published.revision, "all": true, "targets": *published.entries})
}

/// Accepts calls to discovery on a free port.
async fn listen(published: &watch::Sender<Published>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (address, published) = (listener.local_addr().unwrap(), published.clone());
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve_discovery(stream, published.subscribe()));
        }
    });
    address
}

/// Answers the calls on one connection. A call with an index waits for a later revision, for at most the time
/// that it asks for.
async fn serve_discovery(
    stream: TcpStream,
    mut published: watch::Receiver<Published>,
) -> std::io::Result<()> {
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
            None => whole_list(&published.borrow_and_update()),
            Some(index) => {
                let wait = Duration::from_millis(field("wait=").unwrap_or(0));
                let _ = timeout(wait, published.wait_for(|published| published.revision > index)).await;
                answer_since(&published.borrow_and_update(), index)
            }
        };
        let body = body.to_string();
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
        stream.write_all(head.as_bytes()).await?;
        stream.write_all(body.as_bytes()).await?;
    }
}

/// The answer to a call that watches from this revision: the last change, or the whole list if the caller
/// missed more.
fn answer_since(published: &Published, index: u64) -> Json {
    let targets: Vec<&Json> = match published.changed {
        _ if published.revision == index => Vec::new(),
        Some(node) if published.revision == index + 1 => vec![&published.entries[node]],
        _ => return whole_list(published),
    };
    json!({"rev": published.revision, "all": false, "targets": targets})
}
