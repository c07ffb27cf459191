//! Stand-ins of cache nodes and the origin: they answer every request at once, and note which proxy it came from and when.

use anyhow::Result;
use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use pumicebay::resp::{Frame, Resp};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};
use tokio_util::codec::Framed;

/// How often each proxy is asked, and how long a client waits.
const ASKS: Duration = Duration::from_millis(20);
const PATIENCE: Duration = Duration::from_secs(2);

/// A request as a cache node saw it.
#[derive(Clone, Debug)]
pub struct Seen {
    /// Unix time, in seconds.
    pub at: f64,
    pub node: String,
    /// The place of the proxy that sent it, by the request's id.
    pub proxy: usize,
}

#[derive(Clone)]
pub struct Nodes {
    pub caches: Vec<SocketAddr>,
    pub origin: SocketAddr,
    seen: Arc<Mutex<Vec<Seen>>>,
}

/// What stands for a cache node in lists.
pub fn uid(node: usize) -> String {
    format!("n{}", node + 1)
}

pub fn unix_seconds() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64()
}

pub async fn start(count: usize) -> Result<Nodes> {
    let seen = Arc::default();
    let mut caches = Vec::new();
    for node in 0..count {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        caches.push(listener.local_addr()?);
        tokio::spawn(accept_cache(listener, uid(node), Arc::clone(&seen)));
    }
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let origin = listener.local_addr()?;
    tokio::spawn(accept_origin(listener));
    Ok(Nodes { caches, origin, seen })
}

impl Nodes {
    /// What cache nodes saw so far.
    pub fn seen(&self) -> MutexGuard<'_, Vec<Seen>> {
        self.seen.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn requests(&self) -> usize {
        self.seen().len()
    }
}

async fn accept_cache(listener: TcpListener, node: String, seen: Arc<Mutex<Vec<Seen>>>) {
    while let Ok((stream, _)) = listener.accept().await {
        tokio::spawn(serve_cache(stream, node.clone(), seen.clone()));
    }
}

async fn serve_cache(stream: TcpStream, node: String, seen: Arc<Mutex<Vec<Seen>>>) {
    let mut framed = Framed::new(stream, Resp);
    while let Some(Ok(Frame::Array(words))) = framed.next().await {
        let reply = match words.get(2) {
            Some(Frame::Bulk(id)) => {
                let id = String::from_utf8_lossy(id).into_owned();
                let proxy = id.split('-').next().and_then(|proxy| proxy.parse().ok()).unwrap_or(usize::MAX);
                let one = Seen { at: unix_seconds(), node: node.clone(), proxy };
                seen.lock().unwrap_or_else(PoisonError::into_inner).push(one);
                Frame::Array(vec![Frame::Bulk(Bytes::from_static(b"value")), Frame::Null, Frame::Null])
            }
            _ => Frame::simple("PONG"),
        };
        if framed.send(&reply).await.is_err() {
            return;
        }
    }
}

async fn accept_origin(listener: TcpListener) {
    while let Ok((mut stream, _)) = listener.accept().await {
        tokio::spawn(async move {
            let (mut head, mut some) = (Vec::new(), [0; 4096]);
            while let Ok(length @ 1..) = stream.read(&mut some).await {
                head.extend_from_slice(&some[..length]);
                if head.ends_with(b"\r\n\r\n") {
                    head.clear();
                    let answer = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nvalue";
                    if stream.write_all(answer).await.is_err() {
                        return;
                    }
                }
            }
        });
    }
}

/// Asks each proxy for one key after another, until the set is dropped; one that is gone is asked again.
pub fn ask_all(proxies: &[SocketAddr]) -> Clients {
    let mut clients = JoinSet::new();
    for (proxy, address) in proxies.iter().copied().enumerate() {
        clients.spawn(async move {
            for number in 0.. {
                let _ = ask_on(proxy, address, number).await;
                sleep(ASKS).await;
            }
        });
    }
    Clients(clients)
}

/// The clients of a play.
pub struct Clients(JoinSet<()>);

impl Clients {
    pub fn abort(mut self) {
        self.0.abort_all();
    }
}

/// Requests on one connection, until it ends.
async fn ask_on(proxy: usize, address: SocketAddr, connection: u64) -> Option<()> {
    let stream = timeout(PATIENCE, TcpStream::connect(address)).await.ok()?.ok()?;
    let mut framed = Framed::new(stream, Resp);
    for number in 0u64.. {
        let (key, id) = (format!("k{}", number % 300), format!("{proxy}-{connection}-{number}"));
        let words = ["C.GET", &key, &id, "c=read,d=1000"].map(|word| Frame::Bulk(word.to_string().into()));
        framed.send(&Frame::Array(words.to_vec())).await.ok()?;
        timeout(PATIENCE, framed.next()).await.ok()??.ok()?;
        sleep(ASKS).await;
    }
    None
}
