//! The load generator: open loop, so that what is slow delays nothing that comes after it, and latencies count
//! from when a client meant to send. It measures its own lateness.

use crate::audit::FinalAnswer;
use crate::metrics::OperationOutcome;
use crate::real::SharedFleet;
use crate::real::stand_ins::made_for;
use crate::simulated_proxy::key_text;
use anyhow::Result;
use futures_util::{SinkExt, StreamExt};
use hdrhistogram::Histogram;
use pumicebay::resp::{Frame, Resp};
use pumicebay_model::seeds::{Rng, rng};
use pumicebay_model::spec::Scenario;
use pumicebay_model::traffic::{
    CLIENT_TIMEOUT_MARGIN, MAX_CONNECTION_REFUSALS, Operation, Traffic, retry_delay,
};
use pumicebay_model::{Nanos, millis};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{sleep, sleep_until, timeout};
use tokio_util::codec::Framed;

const CONNECT: Duration = Duration::from_millis(500);
/// Idle connections that are kept to each proxy.
const KEPT: usize = 64;

type Wire = Framed<TcpStream, Resp>;

/// How late wishes were sent.
pub struct Lateness {
    pub p99_ms: f64,
}

struct Load {
    day: Scenario,
    fleet: SharedFleet,
    proxies: Vec<SocketAddr>,
    idle: Vec<Mutex<Vec<Wire>>>,
    last: AtomicU64,
    rng: Mutex<Rng>,
}

/// Sends all that the day has, and waits for the answers.
pub async fn start(
    day: &Scenario,
    seed: u64,
    fleet: SharedFleet,
    proxies: Vec<SocketAddr>,
) -> Result<Lateness> {
    let load = Arc::new(Load {
        day: day.clone(),
        fleet,
        idle: proxies.iter().map(|_| Mutex::default()).collect(),
        proxies,
        last: AtomicU64::new(0),
        rng: Mutex::new(rng(seed, "retries", 0)),
    });
    let mut late = Histogram::<u64>::new_with_bounds(1, 100_000_000, 3)?;
    let mut clients = JoinSet::new();
    for wish in Traffic::new(day, seed) {
        sleep_until(load.fleet.instant(wish.start)).await;
        late.saturating_record(load.fleet.now().saturating_sub(wish.start) / 1000 + 1);
        clients.spawn(load.clone().client(wish));
        while clients.try_join_next().is_some() {}
    }
    while clients.join_next().await.is_some() {}
    Ok(Lateness { p99_ms: late.value_at_quantile(0.99) as f64 / 1000.0 })
}

/// What became of one exchange.
enum Ended {
    Answer(Frame),
    /// There was no process to take it.
    Refused,
    /// The connection ended, or nothing came in time.
    Lost,
}

impl Load {
    /// One wish with all its retries.
    async fn client(self: Arc<Self>, wish: Operation) {
        let count = self.proxies.len();
        let (mut proxy, mut tries, mut refused) = (wish.proxy % count, 0, 0);
        let write = self.day.route[wish.route].write;
        let end = loop {
            tries += 1;
            let (end, pause) = match self.exchange(&wish, proxy, tries > 1).await {
                Ended::Refused => {
                    self.fleet.refused();
                    tries -= 1;
                    refused += 1;
                    proxy = (proxy + 1) % count;
                    if refused >= count.min(MAX_CONNECTION_REFUSALS) {
                        break OperationOutcome::Lost;
                    }
                    continue;
                }
                Ended::Lost => {
                    proxy = (proxy + 1) % count;
                    (OperationOutcome::Lost, millis(self.day.clients.failover_ms))
                }
                Ended::Answer(Frame::Bulk(_)) => {
                    break OperationOutcome::Served(self.fleet.now().saturating_sub(wish.start));
                }
                Ended::Answer(Frame::Error(text)) if text.starts_with(b"BUSY") => {
                    let pause =
                        std::str::from_utf8(&text[4..]).ok().and_then(|text| text.trim().parse().ok());
                    (OperationOutcome::Shed, millis(pause.unwrap_or(0.0)))
                }
                Ended::Answer(_) => (OperationOutcome::Errored, 0),
            };
            let again = self.again(tries, pause).filter(|_| !write || end == OperationOutcome::Shed);
            match again {
                Some(wait) => sleep(Duration::from_nanos(wait)).await,
                None => break end,
            }
        };
        self.fleet.wish(&wish, end);
    }

    fn again(&self, tries: u32, pause: Nanos) -> Option<Nanos> {
        let mut rng = self.rng.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        retry_delay(&self.day, &mut rng, tries, pause)
    }

    async fn exchange(&self, wish: &Operation, proxy: usize, retry: bool) -> Ended {
        let route = &self.day.route[wish.route];
        let patience = millis(route.timeout_ms);
        let xchg = self.last.fetch_add(1, Ordering::Relaxed) + 1;
        let delay = Duration::from_secs_f64(self.day.network.delay_ms / 1000.0);
        sleep(delay).await;
        self.fleet.taken(xchg, wish, proxy, patience);
        let words = self.words(wish, xchg, retry);
        let carried = timeout(
            Duration::from_nanos(patience + CLIENT_TIMEOUT_MARGIN),
            self.carry(proxy, xchg, patience, &words),
        )
        .await;
        let ended = carried.unwrap_or(Ended::Lost);
        match &ended {
            Ended::Answer(frame) => self.answered(xchg, frame),
            // The auditor knows of kills; any other silence is the proxy's fault.
            Ended::Refused => self.fleet.excused(xchg, self.fleet.now()),
            Ended::Lost if self.dead(proxy).await => self.fleet.excused(xchg, self.fleet.now()),
            Ended::Lost => {}
        }
        if let Ended::Answer(_) = ended {
            sleep(delay).await;
        }
        self.fleet.over(xchg);
        ended
    }

    fn answered(&self, xchg: u64, frame: &Frame) {
        let (answer, sound) = match frame {
            Frame::Bulk(value) => (FinalAnswer::Served, made_for(value) == Some(xchg)),
            Frame::Error(text) if text.starts_with(b"BUSY") => (FinalAnswer::Shed, true),
            _ => (FinalAnswer::Errored, true),
        };
        self.fleet.final_answer(xchg, answer, sound);
    }

    fn words(&self, wish: &Operation, xchg: u64, retry: bool) -> Frame {
        let route = &self.day.route[wish.route];
        let mut labels = format!("c={}", route.name);
        if let Some(tenant) = self.day.tenant.get(wish.tenant) {
            labels += &format!(",t={}", tenant.name);
        }
        labels += &format!(",d={}", route.timeout_ms as u64);
        if retry {
            labels += ",r=1";
        }
        let text = |text: String| Frame::Bulk(text.into_bytes().into());
        let command = if route.write { "C.SET" } else { "C.GET" };
        let mut words = vec![text(command.into()), text(key_text(wish.key))];
        words.extend([text(format!("{xchg:016x}")), text(labels)]);
        if route.write {
            words.push(Frame::Bulk(vec![b'w'; wish.value_bytes as usize].into()));
        }
        Frame::Array(words)
    }

    /// Over a connection that is kept, or a new one. One that a proxy closed between two requests is replaced
    /// once.
    async fn carry(&self, proxy: usize, xchg: u64, patience: Nanos, words: &Frame) -> Ended {
        let asked = || self.fleet.asked(xchg, patience);
        let kept = self.idle[proxy].lock().unwrap_or_else(std::sync::PoisonError::into_inner).pop();
        if let Some(mut wire) = kept
            && let Some(frame) = ask(&mut wire, words, asked).await
        {
            self.keep(proxy, wire);
            return Ended::Answer(frame);
        }
        let Ok(Ok(stream)) = timeout(CONNECT, TcpStream::connect(self.proxies[proxy])).await else {
            return Ended::Refused;
        };
        let _ = stream.set_nodelay(true);
        let mut wire = Framed::new(stream, Resp);
        match ask(&mut wire, words, asked).await {
            Some(frame) => {
                self.keep(proxy, wire);
                Ended::Answer(frame)
            }
            None => Ended::Lost,
        }
    }

    fn keep(&self, proxy: usize, wire: Wire) {
        let mut idle = self.idle[proxy].lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        if idle.len() < KEPT {
            idle.push(wire);
        }
    }

    /// Whether nobody listens there any more.
    async fn dead(&self, proxy: usize) -> bool {
        !matches!(timeout(CONNECT, TcpStream::connect(self.proxies[proxy])).await, Ok(Ok(_)))
    }
}

/// One command and its answer; none where the connection ended first. `asked` hears when it is written.
async fn ask(wire: &mut Wire, words: &Frame, asked: impl Fn()) -> Option<Frame> {
    wire.send(words).await.ok()?;
    asked();
    wire.next().await?.ok()
}
