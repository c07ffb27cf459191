//! The recorder: a server outside the fleet that records by a single clock when each process acted under a
//! lease. An action lasts from `begin LEASE TOKEN WHO` on a connection until `end` or until the connection
//! closes. Like any resource that is protected by fencing tokens, the recorder rejects a token lower than one
//! that it has seen for the lease, and counts such rejections. A rejected action is no overlap. Two accepted
//! actions of one lease that run at once are, whatever their tokens.

use anyhow::Result;
use serde::Serialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::Instant;

/// How long a call to an operator endpoint may take. Short, because an action has to end within its lease.
const CALL_TIMEOUT: Duration = Duration::from_millis(100);

/// One action under a lease, as the recorder saw it.
#[derive(Clone, Debug, Serialize)]
pub struct Action {
    /// The name of the lease.
    pub lease: String,
    /// The lease's token under which the process acted.
    pub token: u64,
    /// The process that acted.
    pub who: String,
    /// In seconds from the start of the run.
    pub begin: f64,
    /// In seconds from the start of the run; `None` if the action has not ended.
    pub end: Option<f64>,
}

/// What has been recorded.
#[derive(Debug)]
struct Recorded {
    start: Instant,
    actions: Vec<Action>,
    /// The highest token seen for each lease.
    highest_tokens: BTreeMap<String, u64>,
    rejected_actions: usize,
    /// Calls under the newest token that an operator endpoint accepted, and calls under a lower token that it
    /// refused.
    operator_calls: (usize, usize),
    /// One line for each call under a lower token that an operator endpoint accepted after a higher one.
    operator_violations: Vec<String>,
}

/// A handle to the recorder. All clones share one record.
#[derive(Clone)]
pub struct Recorder {
    /// Where it listens.
    pub address: SocketAddr,
    recorded: Arc<Mutex<Recorded>>,
}

impl Recorder {
    /// Starts a recorder on a free loopback port. Returns an error if it can't listen.
    pub async fn listen() -> Result<Recorder> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let recorded = Recorded {
            start: Instant::now(),
            actions: Vec::new(),
            highest_tokens: BTreeMap::new(),
            rejected_actions: 0,
            operator_calls: (0, 0),
            operator_violations: Vec::new(),
        };
        let recorder = Recorder { address: listener.local_addr()?, recorded: Arc::new(Mutex::new(recorded)) };
        let server = recorder.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let recorder = server.clone();
                tokio::spawn(async move {
                    let mut open = None;
                    let _ = recorder.serve(stream, &mut open).await;
                    recorder.record_end(&mut open);
                });
            }
        });
        Ok(recorder)
    }

    fn recorded(&self) -> MutexGuard<'_, Recorded> {
        self.recorded.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Makes the current instant the start of the run. To be called before the first action.
    pub fn start_clock(&self) {
        self.recorded().start = Instant::now();
    }

    /// The start of the run.
    pub fn start(&self) -> Instant {
        self.recorded().start
    }

    /// Seconds from the start of the run until this instant; 0 if it is earlier.
    pub fn seconds_at(&self, instant: Instant) -> f64 {
        instant.saturating_duration_since(self.recorded().start).as_secs_f64()
    }

    /// The accepted actions so far, by their beginnings.
    pub fn actions(&self) -> Vec<Action> {
        self.recorded().actions.clone()
    }

    /// Number of actions rejected because of a lower token.
    pub fn rejected_actions(&self) -> usize {
        self.recorded().rejected_actions
    }

    /// Calls that operator endpoints accepted under the newest token and refused under a lower one, and the
    /// violations.
    pub fn operator_calls(&self) -> ((usize, usize), Vec<String>) {
        let recorded = self.recorded();
        (recorded.operator_calls, recorded.operator_violations.clone())
    }

    /// Serves one connection; `open` is the index of its action that has not ended.
    async fn serve(&self, stream: TcpStream, open: &mut Option<usize>) -> Result<()> {
        stream.set_nodelay(true)?;
        let (read, mut write) = stream.into_split();
        let mut lines = BufReader::new(read).lines();
        while let Some(line) = lines.next_line().await? {
            let words: Vec<&str> = line.split(' ').collect();
            let accepted = match words[..] {
                ["begin", lease, token, who] => self.record_begin(lease, token.parse()?, who, open),
                ["door", who, newest, lower] => {
                    self.record_operator_calls(who, newest, lower);
                    true
                }
                _ => {
                    self.record_end(open);
                    true
                }
            };
            write.write_all(if accepted { b"yes\n" } else { b"no\n" }).await?;
        }
        Ok(())
    }

    /// Records the beginning of an action; false if its token is lower than one seen for the lease.
    fn record_begin(&self, lease: &str, token: u64, who: &str, open: &mut Option<usize>) -> bool {
        self.record_end(open);
        let mut recorded = self.recorded();
        let highest = recorded.highest_tokens.entry(lease.into()).or_default();
        if token < *highest {
            recorded.rejected_actions += 1;
            return false;
        }
        *highest = token;
        let begin = recorded.start.elapsed().as_secs_f64();
        *open = Some(recorded.actions.len());
        recorded.actions.push(Action { lease: lease.into(), token, who: who.into(), begin, end: None });
        true
    }

    /// Records the HTTP statuses with which an operator endpoint answered a call under the newest token and
    /// then one under the token before; 0 stands for no answer in time. A refusal of the newest token is no
    /// violation, since its lease may have ended meanwhile.
    fn record_operator_calls(&self, who: &str, newest: &str, lower: &str) {
        let mut recorded = self.recorded();
        recorded.operator_calls.0 += usize::from(newest == "200");
        recorded.operator_calls.1 += usize::from(lower == "409");
        if newest == "200" && lower == "200" {
            recorded
                .operator_violations
                .push(format!("{who}: an operator endpoint accepted a lower token after a higher one"));
        }
    }

    /// Records the end of the connection's open action, if there is one.
    fn record_end(&self, open: &mut Option<usize>) {
        let Some(at) = open.take() else { return };
        let mut recorded = self.recorded();
        let now = recorded.start.elapsed().as_secs_f64();
        recorded.actions[at].end = Some(now);
    }
}

/// Returns the overlaps between actions of one lease by different processes, and the tokens that did not
/// increase from one process to the next; at most five lines of each.
pub fn check_actions(actions: &[Action]) -> (Vec<String>, Vec<String>) {
    let (mut overlaps, mut token_errors) = (Vec::new(), Vec::new());
    for (at, later) in actions.iter().enumerate() {
        for earlier in
            actions[..at].iter().filter(|earlier| earlier.lease == later.lease && earlier.who != later.who)
        {
            if earlier.end.is_none_or(|end| end > later.begin) {
                overlaps.push(format!(
                    "{}: {} acts under token {} from {:.3} to {}, {} under token {} from {:.3}",
                    later.lease,
                    earlier.who,
                    earlier.token,
                    earlier.begin,
                    earlier.end.map_or("no end".into(), |end| format!("{end:.3}")),
                    later.who,
                    later.token,
                    later.begin
                ));
            }
            if earlier.token >= later.token {
                token_errors.push(format!(
                    "{}: {} acts under token {} after {} under token {}",
                    later.lease, later.who, later.token, earlier.who, earlier.token
                ));
            }
        }
    }
    overlaps.truncate(5);
    token_errors.truncate(5);
    (overlaps, token_errors)
}

/// The longest time between the last action under one token of a lease and the first under the next, in
/// seconds.
pub fn longest_gap(actions: &[Action]) -> f64 {
    let mut last: BTreeMap<&str, &Action> = BTreeMap::new();
    let mut longest = 0.0_f64;
    for action in actions {
        if let Some(previous) = last.insert(&action.lease, action)
            && previous.token != action.token
        {
            longest = longest.max(action.begin - previous.end.unwrap_or(action.begin));
        }
    }
    longest
}

/// The command that runs under a lease: performs one action after the other until it is ended or its token is
/// rejected. Returns false for a rejected token, and an error if it loses the recorder.
pub async fn perform_actions(address: &str, who: &str, millis: u64, operator: Option<&str>) -> Result<bool> {
    let environment = |name| std::env::var(name).unwrap_or_default();
    let (lease, token) = (environment("PUMICEBAY_LEASE"), environment("PUMICEBAY_TOKEN"));
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let (read, mut write) = stream.into_split();
    let mut lines = BufReader::new(read).lines();
    for turn in 0..25 {
        write.write_all(format!("begin {lease} {token} {who}\n").as_bytes()).await?;
        if lines.next_line().await?.as_deref() != Some("yes") {
            return Ok(false);
        }
        // In its first turn it also takes a node out of service through the operator endpoint, then tries the
        // same under the token before its own, which has to be refused.
        if let (Some(operator), 0, Ok(own)) = (operator, turn, token.parse::<u64>()) {
            let mut statuses = Vec::new();
            for token in [own, own - 1] {
                statuses.push(call_operator(operator, &lease, token).await.unwrap_or(0));
            }
            write.write_all(format!("door {who} {} {}\n", statuses[0], statuses[1]).as_bytes()).await?;
            lines.next_line().await?;
        }
        tokio::time::sleep(Duration::from_millis(millis)).await;
        write.write_all(b"end\n").await?;
        lines.next_line().await?;
    }
    Ok(true)
}

/// Takes a node out of service through an operator endpoint, under a lease and its token. Returns the HTTP
/// status, 0 if the answer has none, and an error if the call fails or takes too long.
async fn call_operator(operator: &str, lease: &str, token: u64) -> Result<u16> {
    let request = async {
        let mut stream = TcpStream::connect(operator).await?;
        let body = format!("{{\"who\":\"n1\",\"lease\":\"{lease}\",\"token\":{token}}}");
        let head = format!("POST /maintenance/enter HTTP/1.1\r\nContent-Length: {}\r\n\r\n", body.len());
        stream.write_all(format!("{head}{body}").as_bytes()).await?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer).await?;
        Ok(answer.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0))
    };
    tokio::time::timeout(CALL_TIMEOUT, request).await?
}
