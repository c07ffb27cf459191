//! Clients that send requests, and checks on what they and the nodes observed: each request gets its answer
//! in time, and no attempt begins after its client has left.

use crate::platform::CoreWaits;
use crate::stand_ins::Nodes;
use futures_util::{SinkExt, StreamExt};
use pumicebay::resp::{Frame, Resp};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{sleep, sleep_until, timeout};
use tokio_util::codec::Framed;

/// An answer that arrives later than this after the request's time limit is a violation.
const MAX_ANSWER_DELAY: Duration = Duration::from_millis(500);
/// An attempt that arrives at a node later than this after its client has left is a violation: 100 ms
/// by the rule, and 50 ms for delays of a busy machine.
const MAX_ATTEMPT_DELAY: Duration = Duration::from_millis(100 + 50);
/// The number of clients at a time.
const CLIENTS: usize = 24;
/// The pause between two requests of a client.
const REQUEST_PAUSE: Duration = Duration::from_millis(10);
/// How long most clients wait for an answer.
const CLIENT_TIME_LIMIT: Duration = Duration::from_millis(150);
/// The other clients leave after this time, before their answer.
const LEAVE_AFTER: Duration = Duration::from_millis(60);
/// The longer time limit that these clients state in their requests.
const LEAVING_TIME_LIMIT: Duration = Duration::from_millis(600);

/// A request as its client saw it.
#[derive(Clone, Debug)]
struct RequestRecord {
    sent_at: Instant,
    time_limit: Duration,
    answered_at: Option<Instant>,
    /// When the client closed its connection without waiting for the answer.
    left_at: Option<Instant>,
    /// Sent on a kept connection that the proxy closed at the same time, so that it cannot have read the
    /// request.
    unread: bool,
}

/// The requests that clients sent, by id, and the nodes that recorded the attempts.
#[derive(Clone)]
pub struct Audit {
    nodes: Nodes,
    /// Time that the proxy waited for a core is not counted against it.
    core_waits: CoreWaits,
    requests: Arc<Mutex<HashMap<String, RequestRecord>>>,
    next_number: Arc<AtomicU64>,
}

impl Audit {
    pub fn new(nodes: Nodes, core_waits: CoreWaits) -> Audit {
        Audit { nodes, core_waits, requests: Arc::default(), next_number: Arc::default() }
    }

    /// Waits until attempts for requests whose client left would have been seen.
    pub async fn wait_for_late_attempts(&self) {
        sleep(LEAVING_TIME_LIMIT).await;
    }

    /// Changes the record of the request with this id.
    fn update(&self, id: &str, change: impl FnOnce(&mut RequestRecord)) {
        if let Some(record) = self.requests.lock().unwrap().get_mut(id) {
            change(record);
        }
    }

    /// Panics if a request was not answered in time, or was closed without an answer after an attempt, or if
    /// an attempt has no request or began too long after its client had left.
    pub fn assert_no_violation(&self) {
        let requests = self.requests.lock().unwrap();
        let mut violations = Vec::new();
        for (id, request) in
            requests.iter().filter(|(_, request)| request.left_at.is_none() && !request.unread)
        {
            let latest = request.sent_at + request.time_limit + MAX_ANSWER_DELAY;
            match request.answered_at {
                Some(answered_at)
                    if answered_at <= latest + self.core_waits.between(request.sent_at, answered_at) => {}
                Some(answered_at) => {
                    violations.push(format!("{id}: answered {:?} too late", answered_at - latest))
                }
                None => violations.push(format!("{id}: no answer")),
            }
        }
        let attempts = self.nodes.attempts();
        let attempted_ids: HashSet<&str> = attempts.iter().map(|attempt| attempt.id.as_str()).collect();
        let answerless = requests.iter().filter(|(_, request)| request.unread);
        let answerless = answerless.filter(|(id, _)| attempted_ids.contains(id.as_str()));
        violations
            .extend(answerless.map(|(id, _)| format!("{id}: closed without an answer after an attempt")));
        for attempt in &attempts {
            let Some(request) = requests.get(&attempt.id) else {
                violations.push(format!("{}: attempt for a request that no client sent", attempt.id));
                continue;
            };
            let late = request.left_at.and_then(|left_at| {
                let waited = self.core_waits.between(left_at, attempt.arrived_at);
                attempt.arrived_at.checked_duration_since(left_at + MAX_ATTEMPT_DELAY + waited)
            });
            violations.extend(
                late.map(|late| format!("{}: attempt {late:?} too long after its client left", attempt.id)),
            );
        }
        let answered = requests.values().filter(|request| request.answered_at.is_some()).count();
        let late = |request: &&RequestRecord| {
            request.answered_at.is_some_and(|answered_at| {
                answered_at > request.sent_at + request.time_limit + MAX_ANSWER_DELAY
            })
        };
        let late: Vec<&RequestRecord> = requests.values().filter(late).collect();
        let waited = |request: &&RequestRecord| {
            self.core_waits.between(request.sent_at, request.answered_at.unwrap_or(request.sent_at))
        };
        let waited = late.iter().map(waited).min().unwrap_or_default();
        println!("{} requests, {answered} answered, {} violations", requests.len(), violations.len());
        println!("{} answered late, while the proxy waited at least {waited:?} for a core", late.len());
        assert!(answered > 200, "200 requests or fewer were answered");
        violations.sort();
        assert!(
            violations.is_empty(),
            "{} violations, the first: {:#?}",
            violations.len(),
            &violations[..violations.len().min(10)]
        );
    }
}

/// Clients that send requests until new connections are refused.
pub struct Load {
    stop: Arc<AtomicBool>,
    clients: JoinSet<()>,
}

impl Load {
    pub fn start(address: SocketAddr, audit: Audit) -> Load {
        let (stop, mut clients) = (Arc::<AtomicBool>::default(), JoinSet::new());
        for number in 0..CLIENTS {
            clients.spawn(client(number, address, audit.clone(), stop.clone()));
        }
        Load { stop, clients }
    }

    /// After a further 300 ms, lets the clients open no new connections and waits until the proxy has closed
    /// all of theirs.
    pub async fn finish_open_connections(mut self) {
        sleep(Duration::from_millis(300)).await;
        self.stop.store(true, Ordering::SeqCst);
        while self.clients.join_next().await.is_some() {}
    }
}

/// A client that keeps its connection for all requests, or, if it is every third, closes it each time before
/// the answer.
async fn client(number: usize, address: SocketAddr, audit: Audit, stop: Arc<AtomicBool>) {
    let leaves = number.is_multiple_of(3);
    while !stop.load(Ordering::SeqCst) {
        let Ok(stream) = TcpStream::connect(address).await else { return };
        let mut framed = Framed::new(stream, Resp);
        let mut reused = false;
        while request(&mut framed, &audit, leaves, reused).await {
            reused = true;
            sleep(REQUEST_PAUSE).await;
        }
        sleep(REQUEST_PAUSE).await;
    }
}

/// Sends one request and records what happens. Returns whether the connection can carry another.
async fn request(framed: &mut Framed<TcpStream, Resp>, audit: &Audit, leaves: bool, reused: bool) -> bool {
    let number = audit.next_number.fetch_add(1, Ordering::SeqCst);
    let (id, time_limit) =
        (format!("r{number}"), if leaves { LEAVING_TIME_LIMIT } else { CLIENT_TIME_LIMIT });
    let key = format!("{}-{}", if leaves { "slow" } else { "quick" }, number % 5_000);
    let route = if leaves { "read" } else { "quick" };
    let labels = format!("c={route},d={}", time_limit.as_millis());
    let arguments = [&b"C.GET"[..], key.as_bytes(), id.as_bytes(), labels.as_bytes()];
    let arguments = arguments.iter().map(|argument| Frame::Bulk(argument.to_vec().into())).collect();
    let sent_at = Instant::now();
    let record = RequestRecord { sent_at, time_limit, answered_at: None, left_at: None, unread: false };
    audit.requests.lock().unwrap().insert(id.clone(), record);
    if framed.send(&Frame::Array(arguments)).await.is_err() {
        audit.update(&id, |record| record.unread = reused);
        return false;
    }
    if leaves {
        sleep_until((sent_at + LEAVE_AFTER).into()).await;
        let left_at = close(framed).await;
        audit.update(&id, |record| record.left_at = Some(left_at));
        return false;
    }
    match timeout(time_limit + 2 * MAX_ANSWER_DELAY, framed.next()).await {
        Ok(Some(Ok(_))) => {
            audit.update(&id, |record| record.answered_at = Some(Instant::now()));
            true
        }
        // The proxy may close a kept connection just when a request is sent on it; that request counts as
        // unread.
        Ok(_) => {
            audit.update(&id, |record| record.unread = reused);
            false
        }
        Err(_) => false,
    }
}

/// Closes the client's side of the connection and returns when that was.
async fn close(framed: &mut Framed<TcpStream, Resp>) -> Instant {
    let _ = tokio::io::AsyncWriteExt::shutdown(framed.get_mut()).await;
    Instant::now()
}
