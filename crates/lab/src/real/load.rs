//! Open-loop load generator: a slow request does not delay later ones, and latencies count from the scheduled
//! send time. It measures how late it sends.

use crate::audit::FinalAnswer;
use crate::metrics::OperationOutcome;
use crate::real::SharedFleet;
use crate::real::stand_ins::request_id_of_value;
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

/// Timeout for connecting to a proxy.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Most idle connections kept open to each proxy.
const MAX_IDLE_CONNECTIONS: usize = 64;

type Connection = Framed<TcpStream, Resp>;

/// How late operations were sent after their scheduled time.
pub struct Lateness {
    /// 99th percentile, in milliseconds.
    pub p99_ms: f64,
}

/// What the clients of a run share.
struct Load {
    scenario: Scenario,
    fleet: SharedFleet,
    proxies: Vec<SocketAddr>,
    idle: Vec<Mutex<Vec<Connection>>>,
    last_request_id: AtomicU64,
    rng: Mutex<Rng>,
}

/// Sends all operations of the scenario and waits until each has ended. Fails when the histogram cannot be
/// made.
pub async fn start(
    scenario: &Scenario,
    seed: u64,
    fleet: SharedFleet,
    proxies: Vec<SocketAddr>,
) -> Result<Lateness> {
    let load = Arc::new(Load {
        scenario: scenario.clone(),
        fleet,
        idle: proxies.iter().map(|_| Mutex::default()).collect(),
        proxies,
        last_request_id: AtomicU64::new(0),
        rng: Mutex::new(rng(seed, "retries", 0)),
    });
    let mut lateness = Histogram::<u64>::new_with_bounds(1, 100_000_000, 3)?;
    let mut clients = JoinSet::new();
    for operation in Traffic::new(scenario, seed) {
        sleep_until(load.fleet.instant(operation.start)).await;
        lateness.saturating_record(load.fleet.now().saturating_sub(operation.start) / 1000 + 1);
        clients.spawn(load.clone().client(operation));
        while clients.try_join_next().is_some() {}
    }
    while clients.join_next().await.is_some() {}
    Ok(Lateness { p99_ms: lateness.value_at_quantile(0.99) as f64 / 1000.0 })
}

/// How one request ended for its client.
enum RequestEnd {
    Answer(Frame),
    /// The proxy accepted no connection.
    Refused,
    /// The connection ended, or no answer came in time.
    Lost,
}

impl Load {
    /// Runs one operation with all its client retries. Writes are retried only when they were shed, as only
    /// then it is certain that they had no effect.
    async fn client(self: Arc<Self>, operation: Operation) {
        let count = self.proxies.len();
        let (mut proxy, mut requests, mut refused) = (operation.proxy % count, 0, 0);
        let write = self.scenario.route[operation.route].write;
        let end = loop {
            requests += 1;
            let (end, pause) = match self.send_request(&operation, proxy, requests > 1).await {
                RequestEnd::Refused => {
                    self.fleet.connection_refused();
                    requests -= 1;
                    refused += 1;
                    proxy = (proxy + 1) % count;
                    if refused >= count.min(MAX_CONNECTION_REFUSALS) {
                        break OperationOutcome::Lost;
                    }
                    continue;
                }
                RequestEnd::Lost => {
                    proxy = (proxy + 1) % count;
                    (OperationOutcome::Lost, millis(self.scenario.clients.failover_ms))
                }
                RequestEnd::Answer(Frame::Bulk(_)) => {
                    break OperationOutcome::Served(self.fleet.now().saturating_sub(operation.start));
                }
                RequestEnd::Answer(Frame::Error(text)) if text.starts_with(b"BUSY") => {
                    let pause =
                        std::str::from_utf8(&text[4..]).ok().and_then(|text| text.trim().parse().ok());
                    (OperationOutcome::Shed, millis(pause.unwrap_or(0.0)))
                }
                RequestEnd::Answer(_) => (OperationOutcome::Errored, 0),
            };
            let retry_wait =
                self.retry_wait(requests, pause).filter(|_| !write || end == OperationOutcome::Shed);
            match retry_wait {
                Some(wait) => sleep(Duration::from_nanos(wait)).await,
                None => break end,
            }
        };
        self.fleet.operation_ended(&operation, end);
    }

    /// Delay before the next retry; `None` when there are no more retries.
    fn retry_wait(&self, requests: u32, pause: Nanos) -> Option<Nanos> {
        let mut rng = self.rng.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        retry_delay(&self.scenario, &mut rng, requests, pause)
    }

    /// Sends one request and reports to the auditor how it ended.
    async fn send_request(&self, operation: &Operation, proxy: usize, retry: bool) -> RequestEnd {
        let route = &self.scenario.route[operation.route];
        let time_limit = millis(route.timeout_ms);
        let request_id = self.last_request_id.fetch_add(1, Ordering::Relaxed) + 1;
        let delay = Duration::from_secs_f64(self.scenario.network.delay_ms / 1000.0);
        sleep(delay).await;
        self.fleet.request_accepted(request_id, operation, proxy, time_limit);
        let command = self.request_command(operation, request_id, retry);
        let result = timeout(
            Duration::from_nanos(time_limit + CLIENT_TIMEOUT_MARGIN),
            self.send_to_proxy(proxy, request_id, time_limit, &command),
        )
        .await;
        let ended = result.unwrap_or(RequestEnd::Lost);
        match &ended {
            RequestEnd::Answer(frame) => self.report_answer(request_id, frame),
            // A refused connection or a dead proxy owes no answer; any other missing answer is the proxy's
            // fault.
            RequestEnd::Refused => self.fleet.excuse_request(request_id, self.fleet.now()),
            RequestEnd::Lost if self.is_down(proxy).await => {
                self.fleet.excuse_request(request_id, self.fleet.now())
            }
            RequestEnd::Lost => {}
        }
        if let RequestEnd::Answer(_) = ended {
            sleep(delay).await;
        }
        self.fleet.request_closed(request_id);
        ended
    }

    /// Reports a final answer to the auditor.
    fn report_answer(&self, request_id: u64, frame: &Frame) {
        let (answer, sound) = match frame {
            Frame::Bulk(value) => (FinalAnswer::Served, request_id_of_value(value) == Some(request_id)),
            Frame::Error(text) if text.starts_with(b"BUSY") => (FinalAnswer::Shed, true),
            _ => (FinalAnswer::Errored, true),
        };
        self.fleet.final_answer(request_id, answer, sound);
    }

    /// The RESP command of a request, with its id and labels.
    fn request_command(&self, operation: &Operation, request_id: u64, retry: bool) -> Frame {
        let route = &self.scenario.route[operation.route];
        let mut labels = format!("c={}", route.name);
        if let Some(tenant) = self.scenario.tenant.get(operation.tenant) {
            labels += &format!(",t={}", tenant.name);
        }
        labels += &format!(",d={}", route.timeout_ms as u64);
        if retry {
            labels += ",r=1";
        }
        let text = |text: String| Frame::Bulk(text.into_bytes().into());
        let name = if route.write { "C.SET" } else { "C.GET" };
        let mut parts = vec![text(name.into()), text(key_text(operation.key))];
        parts.extend([text(format!("{request_id:016x}")), text(labels)]);
        if route.write {
            parts.push(Frame::Bulk(vec![b'w'; operation.value_bytes as usize].into()));
        }
        Frame::Array(parts)
    }

    /// Sends the command over an idle connection or a new one. An idle connection that the proxy has closed
    /// since its last request is replaced once.
    async fn send_to_proxy(
        &self,
        proxy: usize,
        request_id: u64,
        time_limit: Nanos,
        command: &Frame,
    ) -> RequestEnd {
        let on_sent = || self.fleet.request_sent(request_id, time_limit);
        let idle_connection =
            self.idle[proxy].lock().unwrap_or_else(std::sync::PoisonError::into_inner).pop();
        if let Some(mut connection) = idle_connection
            && let Some(frame) = send_command(&mut connection, command, on_sent).await
        {
            self.return_connection(proxy, connection);
            return RequestEnd::Answer(frame);
        }
        let Ok(Ok(stream)) = timeout(CONNECT_TIMEOUT, TcpStream::connect(self.proxies[proxy])).await else {
            return RequestEnd::Refused;
        };
        let _ = stream.set_nodelay(true);
        let mut connection = Framed::new(stream, Resp);
        match send_command(&mut connection, command, on_sent).await {
            Some(frame) => {
                self.return_connection(proxy, connection);
                RequestEnd::Answer(frame)
            }
            None => RequestEnd::Lost,
        }
    }

    /// Puts a connection back into the idle pool, or drops it when the pool is full.
    fn return_connection(&self, proxy: usize, connection: Connection) {
        let mut idle = self.idle[proxy].lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        if idle.len() < MAX_IDLE_CONNECTIONS {
            idle.push(connection);
        }
    }

    /// Whether the proxy accepts no connections any more.
    async fn is_down(&self, proxy: usize) -> bool {
        !matches!(timeout(CONNECT_TIMEOUT, TcpStream::connect(self.proxies[proxy])).await, Ok(Ok(_)))
    }
}

/// Sends a command and returns its reply; `None` when the connection ended first. Calls `on_sent` once the
/// command is written.
async fn send_command(connection: &mut Connection, command: &Frame, on_sent: impl Fn()) -> Option<Frame> {
    connection.send(command).await.ok()?;
    on_sent();
    connection.next().await?.ok()
}
