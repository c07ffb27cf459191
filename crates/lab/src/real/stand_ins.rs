//! Stand-ins on loopback sockets: cache nodes speak RESP2, the origin and discovery HTTP/1.1. What they do
//! with what comes is the model's; here it is only carried out.

use crate::real::fleet::{Fleet, Life};
use crate::real::http::{Answer, Asked, Server};
use anyhow::{Context, Result};
use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use pumicebay::resp::{Frame, Resp};
use pumicebay_model::station::JobOutcome;
use pumicebay_model::{Nanos, millis};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};
use tokio_util::codec::Framed;

/// How long an address that was given up is asked for again, in steps of this.
const AGAIN: Duration = Duration::from_millis(20);
/// The longest that a watch of the list may last.
const LONGEST_WATCH: u64 = 60_000;

/// The value that is made for an exchange: its id, and as many bytes as it should have.
pub fn value(xchg: u64, size: u64) -> Bytes {
    let mut value = format!("{xchg:016x}:").into_bytes();
    value.resize((size as usize).max(value.len()), b'.');
    value.into()
}

/// The exchange that a value was made for.
pub fn made_for(value: &[u8]) -> Option<u64> {
    u64::from_str_radix(std::str::from_utf8(value.get(..16)?).ok()?, 16).ok()
}

/// Starts a cache node, or the origin; it listens whenever its process runs, at one address.
pub async fn node(fleet: Arc<Fleet>, node: usize) -> Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await.context("a free port")?;
    let address = listener.local_addr()?;
    let mut life = fleet.life(node);
    let mut bound = Some(listener);
    tokio::spawn(async move {
        loop {
            let Life { listens, epoch } = *life.borrow_and_update();
            if !listens {
                bound = None;
                if life.changed().await.is_err() {
                    return;
                }
                continue;
            }
            let Some(listener) = &bound else {
                bound = TcpListener::bind(address).await.ok();
                if bound.is_none() {
                    sleep(AGAIN).await;
                }
                continue;
            };
            tokio::select! {
                accepted = listener.accept() => {
                    if let Ok((stream, _)) = accepted {
                        connection(fleet.clone(), node, epoch, stream);
                    }
                }
                changed = life.changed() => if changed.is_err() { return },
            }
        }
    });
    Ok(address)
}

/// Serves one connection until it ends, or the process that has it does.
fn connection(fleet: Arc<Fleet>, node: usize, epoch: u64, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    if !fleet.connects(node) {
        // Dropped at once: it has as many as it can hold.
        let _ = stream.set_zero_linger();
        return;
    }
    let mut life = fleet.life(node);
    tokio::spawn(async move {
        let origin = node == fleet.origin();
        let died = async {
            // A node that only refuses new connections keeps those that it has.
            while life.borrow_and_update().epoch == epoch {
                if life.changed().await.is_err() {
                    return;
                }
            }
        };
        let ended = async {
            if origin {
                serve_origin(&fleet, node, stream).await
            } else {
                serve_cache(&fleet, node, stream).await
            }
        };
        tokio::select! { () = died => {} () = ended => {} }
        fleet.disconnects(node, epoch);
    });
}

/// Ends a try however its connection does: dropped unanswered, it counts as given up.
struct Try<'a> {
    fleet: &'a Fleet,
    xchg: u64,
    node: usize,
    job: Option<u64>,
    open: bool,
}

impl Drop for Try<'_> {
    fn drop(&mut self) {
        if self.open {
            self.fleet.cancelled(self.job, self.xchg, self.node);
        }
    }
}

/// Carries a try through the model; none where it is never answered. `gone` says that its proxy closed.
async fn work(
    fleet: &Fleet,
    node: usize,
    xchg: u64,
    told: Option<u64>,
    gone: impl Future<Output = ()>,
) -> Option<(JobOutcome, Bytes)> {
    let mut this = Try { fleet, xchg, node, job: None, open: true };
    let carried = async {
        let Some((wish, delay, reaches)) = fleet.came(xchg, node, told) else {
            // Its client is gone: the request is already over.
            return Some((JobOutcome::Rejected, Bytes::new()));
        };
        if !reaches {
            return std::future::pending().await;
        }
        sleep(Duration::from_nanos(delay)).await;
        let (job, verdict) = fleet.arrive(xchg, node, &wish);
        this.job = Some(job);
        let Ok(verdict) = verdict.await else { return std::future::pending().await };
        if node == fleet.origin() && verdict == JobOutcome::Completed {
            fleet.fetched(xchg);
        }
        sleep(Duration::from_nanos(delay)).await;
        fleet.answered(job, xchg, node, verdict);
        this.open = false;
        Some((verdict, value(xchg, wish.value_bytes)))
    };
    tokio::select! {
        done = carried => done,
        () = gone => None,
    }
}

async fn serve_cache(fleet: &Fleet, node: usize, stream: TcpStream) {
    let mut framed = Framed::new(stream, Resp);
    let mut ahead = None;
    loop {
        let frame = match ahead.take() {
            Some(frame) => frame,
            None => match framed.next().await {
                Some(Ok(frame)) => frame,
                _ => return,
            },
        };
        let words = words(&frame);
        let reply = match words.first().map(|word| &word[..]) {
            Some(b"PING") if fleet.speaks(node) => Frame::simple("PONG"),
            Some(b"PING") => return std::future::pending().await,
            Some(b"C.GET" | b"C.SET") => {
                let Some(xchg) = words.get(2).and_then(|id| id_of(id)) else {
                    let _ = framed.send(&Frame::error("SYNTAX")).await;
                    return;
                };
                // What comes meanwhile is the end, or a command that waits its turn.
                let gone = async {
                    if let Some(Ok(frame)) = framed.next().await {
                        ahead = Some(frame);
                        std::future::pending::<()>().await;
                    }
                };
                let told = words.get(3).and_then(|labels| told(labels));
                match work(fleet, node, xchg, told, gone).await {
                    None => return,
                    Some((JobOutcome::Corrupted, _)) => {
                        let _ = framed.get_mut().write_all(b"*3\r\n$what?\r\n").await;
                        return;
                    }
                    Some((JobOutcome::Completed, value)) => {
                        let how = Frame::Bulk(Bytes::from_static(b"hit"));
                        Frame::Array(vec![Frame::Bulk(value), how, Frame::Null])
                    }
                    Some((JobOutcome::Missed, _)) => {
                        let how = Frame::Bulk(Bytes::from_static(b"miss"));
                        Frame::Array(vec![Frame::Null, how, Frame::Null])
                    }
                    Some((JobOutcome::Rejected, _)) => Frame::error("BUSY"),
                    Some((JobOutcome::Failed, _)) => Frame::error("ERR failed"),
                }
            }
            _ => Frame::error("ERR unknown command"),
        };
        if framed.send(&reply).await.is_err() {
            return;
        }
    }
}

fn words(frame: &Frame) -> Vec<Bytes> {
    let Frame::Array(parts) = frame else { return Vec::new() };
    let word = |part: &Frame| if let Frame::Bulk(word) = part { word.clone() } else { Bytes::new() };
    parts.iter().map(word).collect()
}

fn id_of(word: &[u8]) -> Option<u64> {
    u64::from_str_radix(std::str::from_utf8(word).ok()?, 16).ok()
}

/// How long an attempt tells that it will be waited for, in nanoseconds.
fn told(labels: &[u8]) -> Option<Nanos> {
    let mut labels = std::str::from_utf8(labels).ok()?.split(',');
    let told = labels.find_map(|label| label.strip_prefix("d="))?;
    Some(millis(told.parse().ok()?))
}

async fn serve_origin(fleet: &Fleet, node: usize, stream: TcpStream) {
    let mut framed = Framed::new(stream, Server);
    let mut ahead: Option<Asked> = None;
    loop {
        let asked = match ahead.take() {
            Some(asked) => asked,
            None => match framed.next().await {
                Some(Ok(asked)) => asked,
                _ => return,
            },
        };
        let answer = if asked.path.starts_with("/health/") {
            Answer { status: 200, ..Answer::default() }
        } else if let Some(xchg) = asked.header("x-txn").and_then(id_of) {
            let gone = async {
                if let Some(Ok(asked)) = framed.next().await {
                    ahead = Some(asked);
                    std::future::pending::<()>().await;
                }
            };
            let told = asked.header("x-labels").and_then(told);
            match work(fleet, node, xchg, told, gone).await {
                None => return,
                Some((JobOutcome::Completed, value)) => Answer { status: 200, header: None, body: value },
                Some((JobOutcome::Rejected, _)) => {
                    Answer { status: 503, header: Some(("X-Turned-Away", "1")), body: Bytes::new() }
                }
                Some(_) => Answer { status: 500, ..Answer::default() },
            }
        } else {
            Answer { status: 400, ..Answer::default() }
        };
        if framed.send(answer).await.is_err() {
            return;
        }
    }
}

/// Starts discovery's agent beside a proxy.
pub async fn discovery(fleet: Arc<Fleet>, proxy: usize) -> Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await.context("a free port")?;
    let address = listener.local_addr()?;
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let _ = stream.set_nodelay(true);
            let fleet = fleet.clone();
            tokio::spawn(async move { agent(&fleet, proxy, stream).await });
        }
    });
    Ok(address)
}

async fn agent(fleet: &Fleet, proxy: usize, stream: TcpStream) {
    let mut framed = Framed::new(stream, Server);
    while let Some(Ok(asked)) = framed.next().await {
        let since = asked.query("index");
        // A caller that is gone is told nothing.
        tokio::select! {
            () = due(fleet, since, asked.query("wait").unwrap_or(0)) => {}
            _ = framed.next() => return,
        }
        let body = fleet.list(proxy, since).to_string().into();
        if framed.send(Answer { status: 200, header: None, body }).await.is_err() {
            return;
        }
    }
}

/// Waits until discovery has something to tell: news, the end of the watch, and the end of its own silence.
async fn due(fleet: &Fleet, since: Option<u64>, wait: u64) {
    if let Some(version) = since {
        let mut versions = fleet.versions();
        let wait = Duration::from_millis(wait.min(LONGEST_WATCH));
        let newer = async { versions.wait_for(|now| *now > version).await.is_ok() };
        if timeout(wait, newer).await.unwrap_or(false) {
            told_after(fleet).await;
        }
    }
    silence(fleet).await;
}

async fn told_after(fleet: &Fleet) {
    let delay: Nanos = fleet.tells_after().unwrap_or(millis(10.0));
    sleep(Duration::from_nanos(delay)).await;
}

/// Waits while discovery answers nobody.
async fn silence(fleet: &Fleet) {
    while fleet.tells_after().is_none() {
        sleep(AGAIN).await;
    }
}
