//! Stand-ins on loopback sockets: cache nodes speak RESP2, the origin and discovery HTTP/1.1. The simulation
//! model decides how each answers; this module only does the input and output.

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

/// Pause before binding an address again, and between checks whether discovery is responsive again.
const RETRY_INTERVAL: Duration = Duration::from_millis(20);
/// Longest long poll of discovery, in milliseconds.
const MAX_WATCH_MS: u64 = 60_000;

/// The value for a request: its id, padded to `size` bytes. The id shows whether a client gets its own
/// answer.
pub fn response_value(request_id: u64, size: u64) -> Bytes {
    let mut value = format!("{request_id:016x}:").into_bytes();
    value.resize((size as usize).max(value.len()), b'.');
    value.into()
}

/// Id of the request that a value was made for; `None` when it does not begin with an id.
pub fn request_id_of_value(value: &[u8]) -> Option<u64> {
    u64::from_str_radix(std::str::from_utf8(value.get(..16)?).ok()?, 16).ok()
}

/// Starts a cache node or the origin. It listens at one address for as long as its simulated process does.
/// Fails when no port can be bound.
pub async fn node(fleet: Arc<Fleet>, node: usize) -> Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await.context("cannot bind a port for a node")?;
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
                        serve_connection(fleet.clone(), node, epoch, stream);
                    }
                }
                changed = process_state.changed() => if changed.is_err() { return },
            }
        }
    });
    Ok(address)
}

/// Serves one connection until it or the simulated process ends.
fn serve_connection(fleet: Arc<Fleet>, node: usize, epoch: u64, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    if !fleet.accepts_connection(node) {
        // The node has no room for another connection: reset it at once.
        let _ = stream.set_zero_linger();
        return;
    }
    let mut process_state = fleet.process_state(node);
    tokio::spawn(async move {
        let origin = node == fleet.origin();
        let process_ended = async {
            // A node that only refuses new connections keeps the open ones, so the epoch decides.
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

/// An attempt at a stand-in. Dropped before its answer, it counts as given up by the proxy, however its
/// connection ended.
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

/// Runs an attempt through the model and returns its outcome and value. Returns `None` when `closed`
/// completes first: the proxy closed the connection.
async fn run_attempt(
    fleet: &Fleet,
    node: usize,
    request_id: u64,
    told_time: Option<u64>,
    closed: impl Future<Output = ()>,
) -> Option<(JobOutcome, Bytes)> {
    let mut attempt = Attempt { fleet, request_id, node, job: None, open: true };
    let outcome_and_value = async {
        let Some((operation, delay, reachable)) = fleet.attempt_received(request_id, node, told_time) else {
            // The request has already ended for its client.
            return Some((JobOutcome::Rejected, Bytes::new()));
        };
        if !reachable {
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
        done = outcome_and_value => done,
        () = closed => None,
    }
}

/// Serves a cache node's connection, one command at a time.
async fn serve_cache(fleet: &Fleet, node: usize, stream: TcpStream) {
    let mut framed = Framed::new(stream, Resp);
    let mut pipelined = None;
    loop {
        let frame = match pipelined.take() {
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
                // Meanwhile either the connection ends or a pipelined command arrives, which is kept for
                // later.
                let closed = async {
                    if let Some(Ok(frame)) = framed.next().await {
                        pipelined = Some(frame);
                        std::future::pending::<()>().await;
                    }
                };
                let told_time = command_words.get(3).and_then(|labels| parse_told_time(labels));
                match run_attempt(fleet, node, request_id, told_time, closed).await {
                    None => return,
                    Some((JobOutcome::Corrupted, _)) => {
                        let _ = framed.get_mut().write_all(b"*3\r\n$what?\r\n").await;
                        return;
                    }
                    Some((JobOutcome::Completed, value)) => {
                        let cache_status = Frame::Bulk(Bytes::from_static(b"hit"));
                        Frame::Array(vec![Frame::Bulk(value), cache_status, Frame::Null])
                    }
                    Some((JobOutcome::Missed, _)) => {
                        let cache_status = Frame::Bulk(Bytes::from_static(b"miss"));
                        Frame::Array(vec![Frame::Null, cache_status, Frame::Null])
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

/// The bulk strings of a command.
fn command_words(frame: &Frame) -> Vec<Bytes> {
    let Frame::Array(parts) = frame else { return Vec::new() };
    let word = |part: &Frame| if let Frame::Bulk(word) = part { word.clone() } else { Bytes::new() };
    parts.iter().map(word).collect()
}

/// A request id from its hexadecimal form.
fn parse_request_id(word: &[u8]) -> Option<u64> {
    u64::from_str_radix(std::str::from_utf8(word).ok()?, 16).ok()
}

/// How long the proxy says that it will wait for the attempt, from label `d` in milliseconds.
fn parse_told_time(labels: &[u8]) -> Option<Nanos> {
    let mut labels = std::str::from_utf8(labels).ok()?.split(',');
    let told_time = labels.find_map(|label| label.strip_prefix("d="))?;
    Some(millis(told_time.parse().ok()?))
}

/// Serves a connection to the origin, one request at a time.
async fn serve_origin(fleet: &Fleet, node: usize, stream: TcpStream) {
    let mut framed = Framed::new(stream, ServerCodec);
    let mut pipelined: Option<Request> = None;
    loop {
        let request = match pipelined.take() {
            Some(request) => request,
            None => match framed.next().await {
                Some(Ok(request)) => request,
                _ => return,
            },
        };
        let response = if request.path.starts_with("/health/") {
            Response { status: 200, ..Response::default() }
        } else if let Some(request_id) = request.header("x-txn").and_then(parse_request_id) {
            let closed = async {
                if let Some(Ok(request)) = framed.next().await {
                    pipelined = Some(request);
                    std::future::pending::<()>().await;
                }
            };
            let told_time = request.header("x-labels").and_then(parse_told_time);
            match run_attempt(fleet, node, request_id, told_time, closed).await {
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

/// Starts a proxy's discovery agent. Fails when no port can be bound.
pub async fn discovery(fleet: Arc<Fleet>, proxy: usize) -> Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await.context("cannot bind a port for discovery")?;
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

/// Serves a connection to discovery: whole lists, and long polls for changes.
async fn serve_discovery(fleet: &Fleet, proxy: usize, stream: TcpStream) {
    let mut framed = Framed::new(stream, ServerCodec);
    while let Some(Ok(request)) = framed.next().await {
        let since = request.query("index");
        // A list that a closed connection never got must not count as known to the proxy.
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

/// Waits until discovery answers: with a `since` version until there is a newer one or the long poll ends,
/// and in any case while discovery is unresponsive.
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

/// Waits for the delay with which a change reachable a proxy.
async fn wait_propagation_delay(fleet: &Fleet) {
    let delay: Nanos = fleet.discovery_delay().unwrap_or(millis(10.0));
    sleep(Duration::from_nanos(delay)).await;
}

/// Waits while discovery is unresponsive.
async fn wait_until_responsive(fleet: &Fleet) {
    while fleet.discovery_delay().is_none() {
        sleep(RETRY_INTERVAL).await;
    }
}
