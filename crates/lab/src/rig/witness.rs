//! The witness: what acts under leases really did, by one clock. An act is a connection on which `begin LEASE TOKEN WHO`
//! was said, until `end` or until it closes. Whatever an act may touch would refuse lower tokens than it has seen; the
//! witness does, and counts them. That an act is turned away is no overlap; that two run at once is, whatever their tokens.

use anyhow::Result;
use serde::Serialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::Instant;

/// How long a call at a door may take: an act has to end within its lease.
const CALL: Duration = Duration::from_millis(100);

#[derive(Clone, Debug, Serialize)]
pub struct Act {
    pub lease: String,
    pub token: u64,
    pub who: String,
    /// In seconds from the start; an act that has not ended has no end.
    pub begin: f64,
    pub end: Option<f64>,
}

#[derive(Debug)]
struct Seen {
    start: Instant,
    acts: Vec<Act>,
    highest: BTreeMap<String, u64>,
    turned_away: usize,
    /// Calls at an operators' door that were taken, and those under a lower token that were refused there.
    doors: (usize, usize),
    /// Calls that a door answered otherwise.
    wrong: Vec<String>,
}

#[derive(Clone)]
pub struct Witness {
    pub address: SocketAddr,
    seen: Arc<Mutex<Seen>>,
}

impl Witness {
    pub async fn listen() -> Result<Witness> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let seen = Seen {
            start: Instant::now(),
            acts: Vec::new(),
            highest: BTreeMap::new(),
            turned_away: 0,
            doors: (0, 0),
            wrong: Vec::new(),
        };
        let witness = Witness { address: listener.local_addr()?, seen: Arc::new(Mutex::new(seen)) };
        let taker = witness.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let witness = taker.clone();
                tokio::spawn(async move {
                    let mut open = None;
                    let _ = witness.hear(stream, &mut open).await;
                    witness.ended(&mut open);
                });
            }
        });
        Ok(witness)
    }

    fn seen(&self) -> MutexGuard<'_, Seen> {
        self.seen.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Times count from here; before anybody acts.
    pub fn begin(&self) {
        self.seen().start = Instant::now();
    }

    pub fn start(&self) -> Instant {
        self.seen().start
    }

    pub fn at(&self, instant: Instant) -> f64 {
        instant.saturating_duration_since(self.seen().start).as_secs_f64()
    }

    pub fn acts(&self) -> Vec<Act> {
        self.seen().acts.clone()
    }

    pub fn turned_away(&self) -> usize {
        self.seen().turned_away
    }

    /// Calls at the door taken and refused, and what was wrong with any.
    pub fn doors(&self) -> ((usize, usize), Vec<String>) {
        let seen = self.seen();
        (seen.doors, seen.wrong.clone())
    }

    async fn hear(&self, stream: TcpStream, open: &mut Option<usize>) -> Result<()> {
        stream.set_nodelay(true)?;
        let (read, mut write) = stream.into_split();
        let mut lines = BufReader::new(read).lines();
        while let Some(line) = lines.next_line().await? {
            let words: Vec<&str> = line.split(' ').collect();
            let taken = match words[..] {
                ["begin", lease, token, who] => self.begins(lease, token.parse()?, who, open),
                ["door", who, taken, refused] => {
                    self.called(who, taken, refused);
                    true
                }
                _ => {
                    self.ended(open);
                    true
                }
            };
            write.write_all(if taken { b"yes\n" } else { b"no\n" }).await?;
        }
        Ok(())
    }

    fn begins(&self, lease: &str, token: u64, who: &str, open: &mut Option<usize>) -> bool {
        self.ended(open);
        let mut seen = self.seen();
        let highest = seen.highest.entry(lease.into()).or_default();
        if token < *highest {
            seen.turned_away += 1;
            return false;
        }
        *highest = token;
        let begin = seen.start.elapsed().as_secs_f64();
        *open = Some(seen.acts.len());
        seen.acts.push(Act { lease: lease.into(), token, who: who.into(), begin, end: None });
        true
    }

    /// What the door answered to the newest token, and to the one before it after that; 0 is no answer in time. That a
    /// newest one is refused is no fault of the door: its lease may have ended meanwhile.
    fn called(&self, who: &str, newest: &str, lower: &str) {
        let mut seen = self.seen();
        seen.doors.0 += usize::from(newest == "200");
        seen.doors.1 += usize::from(lower == "409");
        if newest == "200" && lower == "200" {
            seen.wrong.push(format!("{who}: a door took a lower token after a higher one"));
        }
    }

    fn ended(&self, open: &mut Option<usize>) {
        let Some(at) = open.take() else { return };
        let mut seen = self.seen();
        let now = seen.start.elapsed().as_secs_f64();
        seen.acts[at].end = Some(now);
    }
}

/// What is wrong with these acts: two of one lease at once, and a token that two have or that does not grow.
pub fn judge(acts: &[Act]) -> (Vec<String>, Vec<String>) {
    let (mut overlaps, mut wrong) = (Vec::new(), Vec::new());
    for (at, two) in acts.iter().enumerate() {
        for one in acts[..at].iter().filter(|one| one.lease == two.lease && one.who != two.who) {
            if one.end.is_none_or(|end| end > two.begin) {
                overlaps.push(format!(
                    "{}: {} acts under {} from {:.3} to {}, {} under {} from {:.3}",
                    two.lease,
                    one.who,
                    one.token,
                    one.begin,
                    one.end.map_or("ever".into(), |end| format!("{end:.3}")),
                    two.who,
                    two.token,
                    two.begin
                ));
            }
            if one.token >= two.token {
                wrong.push(format!(
                    "{}: {} acts under {} after {} under {}",
                    two.lease, two.who, two.token, one.who, one.token
                ));
            }
        }
    }
    overlaps.truncate(5);
    wrong.truncate(5);
    (overlaps, wrong)
}

/// The longest time between one holder's last act and the next one's first.
pub fn longest_gap(acts: &[Act]) -> f64 {
    let mut last: BTreeMap<&str, &Act> = BTreeMap::new();
    let mut longest = 0.0_f64;
    for act in acts {
        if let Some(before) = last.insert(&act.lease, act)
            && before.token != act.token
        {
            longest = longest.max(act.begin - before.end.unwrap_or(act.begin));
        }
    }
    longest
}

/// The command that acts under a lease: one act after the other, until it is ended or turned away.
pub async fn act(address: &str, who: &str, millis: u64, door: Option<&str>) -> Result<bool> {
    let variable = |name| std::env::var(name).unwrap_or_default();
    let (lease, token) = (variable("PUMICEBAY_LEASE"), variable("PUMICEBAY_TOKEN"));
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let (read, mut write) = stream.into_split();
    let mut lines = BufReader::new(read).lines();
    for turn in 0..25 {
        write.write_all(format!("begin {lease} {token} {who}\n").as_bytes()).await?;
        if lines.next_line().await?.as_deref() != Some("yes") {
            return Ok(false);
        }
        // Once a lease it also takes a node out of service, and tries so under the token before its own.
        if let (Some(door), 0, Ok(own)) = (door, turn, token.parse::<u64>()) {
            let mut answers = Vec::new();
            for token in [own, own - 1] {
                answers.push(call(door, &lease, token).await.unwrap_or(0));
            }
            write.write_all(format!("door {who} {} {}\n", answers[0], answers[1]).as_bytes()).await?;
            lines.next_line().await?;
        }
        tokio::time::sleep(Duration::from_millis(millis)).await;
        write.write_all(b"end\n").await?;
        lines.next_line().await?;
    }
    Ok(true)
}

/// Takes a node out of service at an operators' door, under a lease and token; the status of the answer.
async fn call(door: &str, lease: &str, token: u64) -> Result<u16> {
    let talk = async {
        let mut stream = TcpStream::connect(door).await?;
        let body = format!("{{\"who\":\"n1\",\"lease\":\"{lease}\",\"token\":{token}}}");
        let head = format!("POST /maintenance/enter HTTP/1.1\r\nContent-Length: {}\r\n\r\n", body.len());
        stream.write_all(format!("{head}{body}").as_bytes()).await?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer).await?;
        Ok(answer.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0))
    };
    tokio::time::timeout(CALL, talk).await?
}
