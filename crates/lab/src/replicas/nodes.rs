//! Stand-ins for cache nodes and the origin, and the clients. The stand-ins answer every request at once;
//! cache nodes record which proxy each request came from and when.

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

/// A client's pause between two requests, and before it reconnects.
const REQUEST_PAUSE: Duration = Duration::from_millis(20);
/// How long a client waits for a connection or an answer.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// A request that a cache node received.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    /// Unix time, in seconds.
    pub at: f64,
    /// The node that received it.
    pub node: String,
    /// The index of the proxy that sent it, taken from the request's id.
    pub proxy: usize,
}

/// The addresses of the stand-ins, and the requests that cache nodes have received.
#[derive(Clone)]
pub struct Nodes {
    pub caches: Vec<SocketAddr>,
    pub origin: SocketAddr,
    received: Arc<Mutex<Vec<ReceivedRequest>>>,
}

/// The id of a cache node, given by its index, in lists of nodes.
pub fn uid(node: usize) -> String {
    format!("n{}", node + 1)
}

/// The current Unix time in seconds.
pub fn unix_seconds() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64()
}

/// Starts this many cache nodes and an origin. Returns an error if one can't listen.
pub async fn start(count: usize) -> Result<Nodes> {
    let received = Arc::default();
    let mut caches = Vec::new();
    for node in 0..count {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        caches.push(listener.local_addr()?);
        tokio::spawn(accept_cache(listener, uid(node), Arc::clone(&received)));
    }
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let origin = listener.local_addr()?;
    tokio::spawn(accept_origin(listener));
    Ok(Nodes { caches, origin, received })
}

impl Nodes {
    /// The requests that cache nodes have received so far.
    pub fn received(&self) -> MutexGuard<'_, Vec<ReceivedRequest>> {
        self.received.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The number of requests that cache nodes have received so far.
    pub fn request_count(&self) -> usize {
        self.received().len()
    }
}

/// Serves all connections to a cache node.
async fn accept_cache(listener: TcpListener, node: String, received: Arc<Mutex<Vec<ReceivedRequest>>>) {
    while let Ok((stream, _)) = listener.accept().await {
        tokio::spawn(serve_cache(stream, node.clone(), received.clone()));
    }
}

/// Answers every request of one connection with a value, and records it.
async fn serve_cache(stream: TcpStream, node: String, received: Arc<Mutex<Vec<ReceivedRequest>>>) {
    let mut framed = Framed::new(stream, Resp);
    while let Some(Ok(Frame::Array(words))) = framed.next().await {
        let reply = match words.get(2) {
            Some(Frame::Bulk(id)) => {
                let id = String::from_utf8_lossy(id).into_owned();
                let proxy = id.split('-').next().and_then(|proxy| proxy.parse().ok()).unwrap_or(usize::MAX);
                let request = ReceivedRequest { at: unix_seconds(), node: node.clone(), proxy };
                received.lock().unwrap_or_else(PoisonError::into_inner).push(request);
                Frame::Array(vec![Frame::Bulk(Bytes::from_static(b"value")), Frame::Null, Frame::Null])
            }
            _ => Frame::simple("PONG"),
        };
        if framed.send(&reply).await.is_err() {
            return;
        }
    }
}

/// Answers every request to the origin with a value.
async fn accept_origin(listener: TcpListener) {
    while let Ok((mut stream, _)) = listener.accept().await {
        tokio::spawn(async move {
            let (mut head, mut buffer) = (Vec::new(), [0; 4096]);
            while let Ok(length @ 1..) = stream.read(&mut buffer).await {
                head.extend_from_slice(&buffer[..length]);
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

/// Starts a client for each proxy that requests one key after another until the set is dropped, and
/// reconnects whenever its connection fails.
pub fn start_clients(proxies: &[SocketAddr]) -> Clients {
    let mut clients = JoinSet::new();
    for (proxy, address) in proxies.iter().copied().enumerate() {
        clients.spawn(async move {
            for number in 0.. {
                let _ = run_connection(proxy, address, number).await;
                sleep(REQUEST_PAUSE).await;
            }
        });
    }
    Clients(clients)
}

/// The running clients.
pub struct Clients(JoinSet<()>);

impl Clients {
    /// Stops all clients.
    pub fn abort(mut self) {
        self.0.abort_all();
    }
}

/// Sends requests on one connection until it fails; the request's id starts with the proxy's index.
async fn run_connection(proxy: usize, address: SocketAddr, connection: u64) -> Option<()> {
    let stream = timeout(REQUEST_TIMEOUT, TcpStream::connect(address)).await.ok()?.ok()?;
    let mut framed = Framed::new(stream, Resp);
    for number in 0u64.. {
        let (key, id) = (format!("k{}", number % 300), format!("{proxy}-{connection}-{number}"));
        let words = ["C.GET", &key, &id, "c=read,d=1000"].map(|word| Frame::Bulk(word.to_string().into()));
        framed.send(&Frame::Array(words.to_vec())).await.ok()?;
        timeout(REQUEST_TIMEOUT, framed.next()).await.ok()??.ok()?;
        sleep(REQUEST_PAUSE).await;
    }
    None
}
