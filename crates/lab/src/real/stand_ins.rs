//! Stand-ins on loopback sockets: cache nodes speak RESP2, the origin and discovery HTTP/1.1. What they do
//! with what comes is the model's; here it is only carried out.

use crate::real::fleet::{Fleet, ProcessState};
use crate::real::http::{Request, Response, ServerCodec};
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
const RETRY_INTERVAL: Duration = Duration::from_millis(20);
/// The longest that a watch of the list may last.
const MAX_WATCH_MS: u64 = 60_000;

/// The value that is made for an exchange: its id, and as many bytes as it should have.
pub fn response_value(request_id: u64, size: u64) -> Bytes {
    let mut value = format!("{request_id:016x}:").into_bytes();
    value.resize((size as usize).max(value.len()), b'.');
    value.into()
}

/// The exchange that a value was made for.
pub fn request_id_of_value(value: &[u8]) -> Option<u64> {
    u64::from_str_radix(std::str::from_utf8(value.get(..16)?).ok()?, 16).ok()
}

/// Starts a cache node, or the origin; it listens whenever its process runs, at one address.
pub async fn node(fleet: Arc<Fleet>, node: usize) -> Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await.context("a free port")?;
    let address = listener.local_addr()?;
    let mut process_state = fleet.process_state(node);
    let mut bound = Some(listener);
    tokio::spawn(async move {
        loop {
            let ProcessState { listening, epoch } = *process_state.borrow_and_update();
            if !listening {
                bound = None;
                if process_state.changed().await.is_err() {
                    return;
                }
                continue;
            }
            let Some(listener) = &bound else {
                bound = TcpListener::bind(address).await.ok();
                if bound.is_none() {
                    sleep(RETRY_INTERVAL).await;
                }
                continue;
            };
            tokio::select! {
                accepted = listener.accept() => {
                    if let Ok((stream, _)) = accepted {
                        connection(fleet.clone(), node, epoch, stream);
                    }
                }
                changed = process_state.changed() => if changed.is_err() { return },
            }
        }
    });
    Ok(address)
}

/// Serves one connection until it ends, or the process that has it does.
fn connection(fleet: Arc<Fleet>, node: usize, epoch: u64, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    if !fleet.accepts_connection(node) {
        // Dropped at once: it has as many as it can hold.
        let _ = stream.set_zero_linger();
        return;
    }
    let mut process_state = fleet.process_state(node);
    tokio::spawn(async move {
        let origin = node == fleet.origin();
        let process_ended = async {
            // A node that only refuses new connections keeps those that it has.
            while process_state.borrow_and_update().epoch == epoch {
                if process_state.changed().await.is_err() {
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
        tokio::select! { () = process_ended => {} () = ended => {} }
        fleet.connection_closed(node, epoch);
    });
}

/// Ends a try however its connection does: dropped unanswered, it counts as given up.
struct Attempt<'a> {
    fleet: &'a Fleet,
    request_id: u64,
    node: usize,
    job: Option<u64>,
    open: bool,
}

impl Drop for Attempt<'_> {
    fn drop(&mut self) {
        if self.open {
            self.fleet.attempt_cancelled(self.job, self.request_id, self.node);
        }
    }
}

/// Carries a try through the model; none where it is never answered. `gone` says that its proxy closed.
async fn run_attempt(
    fleet: &Fleet,
    node: usize,
    request_id: u64,
    told_time: Option<u64>,
    gone: impl Future<Output = ()>,
) -> Option<(JobOutcome, Bytes)> {
    let mut attempt = Attempt { fleet, request_id, node, job: None, open: true };
    let outcome_sent = async {
        let Some((operation, delay, reaches)) = fleet.attempt_received(request_id, node, told_time) else {
            // Its client is gone: the request is already over.
            return Some((JobOutcome::Rejected, Bytes::new()));
        };
        if !reaches {
            return std::future::pending().await;
        }
        sleep(Duration::from_nanos(delay)).await;
        let (job, outcome) = fleet.submit_job(request_id, node, &operation);
        attempt.job = Some(job);
        let Ok(outcome) = outcome.await else { return std::future::pending().await };
        if node == fleet.origin() && outcome == JobOutcome::Completed {
            fleet.origin_completed(request_id);
        }
        sleep(Duration::from_nanos(delay)).await;
        fleet.attempt_answered(job, request_id, node, outcome);
        attempt.open = false;
        Some((outcome, response_value(request_id, operation.value_bytes)))
    };
    tokio::select! {
        done = outcome_sent => done,
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
        let command_words = command_words(&frame);
        let reply = match command_words.first().map(|word| &word[..]) {
            Some(b"PING") if fleet.answers_probes(node) => Frame::simple("PONG"),
            Some(b"PING") => return std::future::pending().await,
            Some(b"C.GET" | b"C.SET") => {
                let Some(request_id) = command_words.get(2).and_then(|id| parse_request_id(id)) else {
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
                let told_time = command_words.get(3).and_then(|labels| parse_told_time(labels));
                match run_attempt(fleet, node, request_id, told_time, gone).await {
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

fn command_words(frame: &Frame) -> Vec<Bytes> {
    let Frame::Array(parts) = frame else { return Vec::new() };
    let word = |part: &Frame| if let Frame::Bulk(word) = part { word.clone() } else { Bytes::new() };
    parts.iter().map(word).collect()
}

fn parse_request_id(word: &[u8]) -> Option<u64> {
    u64::from_str_radix(std::str::from_utf8(word).ok()?, 16).ok()
}

/// How long an attempt tells that it will be waited for, in nanoseconds.
fn parse_told_time(labels: &[u8]) -> Option<Nanos> {
    let mut labels = std::str::from_utf8(labels).ok()?.split(',');
    let told_time = labels.find_map(|label| label.strip_prefix("d="))?;
    Some(millis(told_time.parse().ok()?))
}

async fn serve_origin(fleet: &Fleet, node: usize, stream: TcpStream) {
    let mut framed = Framed::new(stream, ServerCodec);
    let mut ahead: Option<Request> = None;
    loop {
        let request = match ahead.take() {
            Some(request) => request,
            None => match framed.next().await {
                Some(Ok(request)) => request,
                _ => return,
            },
        };
        let response = if request.path.starts_with("/health/") {
            Response { status: 200, ..Response::default() }
        } else if let Some(request_id) = request.header("x-txn").and_then(parse_request_id) {
            let gone = async {
                if let Some(Ok(request)) = framed.next().await {
                    ahead = Some(request);
                    std::future::pending::<()>().await;
                }
            };
            let told_time = request.header("x-labels").and_then(parse_told_time);
            match run_attempt(fleet, node, request_id, told_time, gone).await {
                None => return,
                Some((JobOutcome::Completed, value)) => Response { status: 200, header: None, body: value },
                Some((JobOutcome::Rejected, _)) => {
                    Response { status: 503, header: Some(("X-Turned-Away", "1")), body: Bytes::new() }
                }
                Some(_) => Response { status: 500, ..Response::default() },
            }
        } else {
            Response { status: 400, ..Response::default() }
        };
        if framed.send(response).await.is_err() {
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
            tokio::spawn(async move { serve_discovery(&fleet, proxy, stream).await });
        }
    });
    Ok(address)
}

async fn serve_discovery(fleet: &Fleet, proxy: usize, stream: TcpStream) {
    let mut framed = Framed::new(stream, ServerCodec);
    while let Some(Ok(request)) = framed.next().await {
        let since = request.query("index");
        // A caller that is gone is told nothing.
        tokio::select! {
            () = wait_until_due(fleet, since, request.query("wait").unwrap_or(0)) => {}
            _ = framed.next() => return,
        }
        let body = fleet.list(proxy, since).to_string().into();
        if framed.send(Response { status: 200, header: None, body }).await.is_err() {
            return;
        }
    }
}

/// Waits until discovery has something to tell: news, the end of the watch, and the end of its own silence.
async fn wait_until_due(fleet: &Fleet, since: Option<u64>, wait: u64) {
    if let Some(version) = since {
        let mut versions = fleet.registry_versions();
        let wait = Duration::from_millis(wait.min(MAX_WATCH_MS));
        let newer = async { versions.wait_for(|now| *now > version).await.is_ok() };
        if timeout(wait, newer).await.unwrap_or(false) {
            wait_propagation_delay(fleet).await;
        }
    }
    wait_until_responsive(fleet).await;
}

async fn wait_propagation_delay(fleet: &Fleet) {
    let delay: Nanos = fleet.discovery_delay().unwrap_or(millis(10.0));
    sleep(Duration::from_nanos(delay)).await;
}

/// Waits while discovery answers nobody.
async fn wait_until_responsive(fleet: &Fleet) {
    while fleet.discovery_delay().is_none() {
        sleep(RETRY_INTERVAL).await;
    }
}
