//! Measures what resources a proxy needs. Each proxy is a real process that follows a stand-in for the
//! discovery service. Idle proxies are measured by the number of listed nodes, which do not exist, and by the
//! rate at which the list changes; busy proxies by the rate and the size of requests. Also measured is the
//! memory of a table of keys.

use crate::capacity::discovery::{Registry, change_regularly, serve_discovery};
use crate::capacity::process::{Proxy, memory};
use anyhow::{Context, Result, bail, ensure};
use futures_util::{SinkExt, StreamExt};
use pumicebay::resp::{Frame, Resp};
use pumicebay_core::table::ReplicaTable;
use serde::Serialize;
use std::net::Ipv4Addr;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, MissedTickBehavior, interval, sleep, timeout};
use tokio_util::codec::Framed;

/// Numbers of listed nodes.
const NODE_COUNTS: [usize; 5] = [0, 72, 720, 2_400, 7_200];
/// Changes of the list per second.
const CHANGE_RATES: [f64; 4] = [0.2, 1.0, 5.0, 20.0];
/// Changes of the list per second on an ordinary day at the target size.
const QUIET_CHANGE_RATE: f64 = 0.08;
/// Numbers of keys in a table.
const KEY_COUNTS: [usize; 5] = [10_000, 30_000, 100_000, 300_000, 1_000_000];
/// Requests per second of one client and bytes of each value, for a cache that has every key. First the rate
/// varies, then the size.
const TRAFFIC: [(f64, usize); 9] = [
    (4.0, 200),
    (20.0, 200),
    (80.0, 200),
    (250.0, 200),
    (800.0, 200),
    (50.0, 1_000),
    (50.0, 10_000),
    (50.0, 50_000),
    (50.0, 250_000),
];
/// How long a proxy is measured.
const MEASURE_TIME: Duration = Duration::from_secs(12);
/// How long a proxy with the list runs before the measurement starts.
const SETTLE_TIME: Duration = Duration::from_secs(3);
/// How long a proxy may take to get the list, and then to answer a request.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// The measurement of one idle proxy.
#[derive(Clone, Debug, Default, Serialize)]
pub struct IdleProxy {
    /// Number of listed nodes.
    pub nodes: usize,
    /// Changes of the list per second.
    pub changes_per_second: f64,
    /// Resident memory at the end of the measurement, in millions of bytes.
    pub resident_mb: f64,
    /// The most resident memory that it ever had, in millions of bytes.
    pub peak_mb: f64,
    /// Processor time during the measurement, in percent of one core.
    pub core_percent: f64,
    /// Processor time from its start until the measurement, in milliseconds.
    pub start_ms: f64,
    /// Bytes per second in the bodies of discovery's answers during the measurement.
    pub bytes_per_second: f64,
    /// Bytes of the last complete list.
    pub list_bytes: u64,
    /// Number of discovery's answers that reported a change.
    #[serde(rename = "told")]
    pub change_answers: u64,
}

/// The measurement of one proxy between one client and one cache.
#[derive(Clone, Debug, Serialize)]
pub struct BusyProxy {
    pub requests_per_second: f64,
    /// Bytes of each value.
    pub value_bytes: usize,
    /// Bits of values per second, in millions.
    pub megabits_per_second: f64,
    /// Processor time, in percent of one core.
    pub core_percent: f64,
    /// Number of answers other than the value.
    pub failed: u64,
    /// The text of the last such answer; empty if there is none.
    #[serde(rename = "said")]
    pub last_failure: String,
}

/// All measurements of a proxy.
#[derive(Debug, Serialize)]
pub struct Measurements {
    pub idle: Vec<IdleProxy>,
    pub busy: Vec<BusyProxy>,
    /// Numbers of keys, each with the memory of a table of that many, in millions of bytes.
    pub tables: Vec<(usize, f64)>,
}

impl Measurements {
    /// The measurements as a text table.
    pub fn table(&self) -> String {
        let mut text =
            String::from("  nodes  changes/s  resident MB  peak MB  core %  start ms  bytes/s  list bytes\n");
        for idle in &self.idle {
            text += &format!(
                "{:>7} {:>10.2} {:>12.2} {:>8.2} {:>7.3} {:>9.0} {:>8.0} {:>11}\n",
                idle.nodes,
                idle.changes_per_second,
                idle.resident_mb,
                idle.peak_mb,
                idle.core_percent,
                idle.start_ms,
                idle.bytes_per_second,
                idle.list_bytes
            );
        }
        text += "requests/s  value bytes   Mbit/s  core %  failed\n";
        for busy in &self.busy {
            text += &format!(
                "{:>10.1} {:>12} {:>8.3} {:>7.3} {:>7}\n",
                busy.requests_per_second,
                busy.value_bytes,
                busy.megabits_per_second,
                busy.core_percent,
                busy.failed
            );
        }
        for (keys, mb) in &self.tables {
            text += &format!("a table of {keys} keys: {mb:.2} MB\n");
        }
        text
    }
}

/// Measures `program`, one process after the other; nothing else should run on the machine meanwhile. `say`
/// gets a line for each measurement that begins. Returns an error if a process does not start, does not get
/// the list or does not answer.
pub fn measure_proxy(program: &Path, say: impl Fn(&str)) -> Result<Measurements> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let tables = measure_tables()?;
    let mut measurements = Measurements { idle: Vec::new(), busy: Vec::new(), tables };
    let quiet = NODE_COUNTS.map(|nodes| (nodes, QUIET_CHANGE_RATE));
    let most_nodes = NODE_COUNTS[NODE_COUNTS.len() - 1];
    let changing = CHANGE_RATES.map(|changes| (most_nodes, changes));
    for (nodes, changes) in quiet.into_iter().chain(changing) {
        say(&format!("{nodes} nodes, {changes} changes a second"));
        measurements.idle.push(runtime.block_on(measure_idle(program, nodes, changes, MEASURE_TIME))?);
    }
    for (requests, bytes) in TRAFFIC {
        say(&format!("{requests} requests a second for {bytes} bytes"));
        measurements.busy.push(runtime.block_on(measure_busy(program, requests, bytes, MEASURE_TIME))?);
    }
    Ok(measurements)
}

/// Starts a proxy with this many nodes listed and this many changes of the list per second, and measures it
/// for the given time. Returns an error if the proxy does not get the list or ends.
pub async fn measure_idle(
    program: &Path,
    nodes: usize,
    changes: f64,
    duration: Duration,
) -> Result<IdleProxy> {
    let registry = Arc::new(Registry::new(nodes, None));
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.context("a free port")?;
    let discovery = listener.local_addr()?;
    let serving = tokio::spawn(serve_discovery(registry.clone(), listener));
    let proxy = Proxy::start(program, discovery)?;
    let ready = async {
        while registry.watches.load(Ordering::Relaxed) == 0 {
            sleep(Duration::from_millis(10)).await;
        }
    };
    timeout(READY_TIMEOUT, ready).await.context("the proxy did not follow discovery")?;
    sleep(SETTLE_TIME).await;
    let earlier = registry.bytes.load(Ordering::Relaxed);
    let (before, began) = (proxy.processor_seconds()?, Instant::now());
    let changing = tokio::spawn(change_regularly(registry.clone(), changes));
    sleep(duration).await;
    let (after, elapsed) = (proxy.processor_seconds()?, began.elapsed().as_secs_f64());
    changing.abort();
    serving.abort();
    let bytes = registry.bytes.load(Ordering::Relaxed) - earlier;
    Ok(IdleProxy {
        nodes,
        changes_per_second: changes,
        resident_mb: proxy.memory("VmRSS:")?,
        peak_mb: proxy.memory("VmHWM:")?,
        core_percent: (after - before) / elapsed * 100.0,
        start_ms: before * 1e3,
        bytes_per_second: bytes as f64 / elapsed,
        list_bytes: registry.list_bytes.load(Ordering::Relaxed),
        change_answers: registry.change_answers.load(Ordering::Relaxed),
    })
}

/// Starts a proxy in front of one cache and measures it while a client sends this many requests per second
/// for values of this many bytes. The client waits for each answer, so a late answer delays the next request.
/// Returns an error if the proxy does not get the list, does not answer in time or ends.
pub async fn measure_busy(
    program: &Path,
    requests: f64,
    bytes: usize,
    duration: Duration,
) -> Result<BusyProxy> {
    let caches = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.context("a free port")?;
    let registry = Arc::new(Registry::new(1, Some(caches.local_addr()?)));
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.context("a free port")?;
    let discovery = listener.local_addr()?;
    let serving = tokio::spawn(serve_discovery(registry.clone(), listener));
    let cache = tokio::spawn(serve_cache(caches, bytes));
    let proxy = Proxy::start(program, discovery)?;
    let ready = async {
        while registry.watches.load(Ordering::Relaxed) == 0 {
            sleep(Duration::from_millis(10)).await;
        }
    };
    timeout(READY_TIMEOUT, ready).await.context("the proxy did not follow discovery")?;
    sleep(SETTLE_TIME).await;
    let mut client = TcpStream::connect(proxy.address).await.context("connecting to the proxy")?;
    client.set_nodelay(true)?;
    let mut due = interval(Duration::from_secs_f64(1.0 / requests));
    due.set_missed_tick_behavior(MissedTickBehavior::Burst);
    let (before, began) = (proxy.processor_seconds()?, Instant::now());
    let (mut request_count, mut failed, mut last_failure) = (0_u64, 0_u64, String::new());
    let mut buffer = vec![0; bytes + 64];
    while began.elapsed() < duration {
        due.tick().await;
        request_count += 1;
        let (key, id) = (format!("key{:06}", request_count % 1_000), format!("{request_count:016x}"));
        let words = ["C.GET", &key, &id, "c=read,d=1000"];
        let command: String = words.iter().map(|word| format!("${}\r\n{word}\r\n", word.len())).collect();
        client.write_all(format!("*4\r\n{command}").as_bytes()).await?;
        let answer = read_value(&mut client, &mut buffer, bytes);
        if let Some(other) = timeout(READY_TIMEOUT, answer).await.context("the proxy did not answer")?? {
            (failed, last_failure) = (failed + 1, other);
        }
    }
    let (after, elapsed) = (proxy.processor_seconds()?, began.elapsed().as_secs_f64());
    serving.abort();
    cache.abort();
    let requests = request_count as f64 / elapsed;
    Ok(BusyProxy {
        requests_per_second: requests,
        value_bytes: bytes,
        megabits_per_second: requests * bytes as f64 * 8.0 / 1e6,
        core_percent: (after - before) / elapsed * 100.0,
        failed,
        last_failure,
    })
}

/// Reads one answer. Returns `None` for a value of the expected length, or the text of another answer, and an
/// error if the connection ends or the value has another length.
async fn read_value(client: &mut TcpStream, buffer: &mut [u8], bytes: usize) -> Result<Option<String>> {
    let head = format!("${bytes}\r\n");
    let length = head.len() + bytes + 2;
    let mut filled = 0;
    while filled < length {
        let read = client.read(&mut buffer[filled..length]).await?;
        ensure!(read > 0, "the proxy closed the connection");
        filled += read;
        if buffer[0] != b'$' && buffer[..filled].ends_with(b"\r\n") {
            return Ok(Some(String::from_utf8_lossy(&buffer[..filled - 2]).into_owned()));
        }
    }
    ensure!(buffer.starts_with(head.as_bytes()), "the proxy answered with a value of unexpected length");
    Ok(None)
}

/// Serves as a cache that has every key.
async fn serve_cache(listener: TcpListener, bytes: usize) {
    let value = bytes::Bytes::from(vec![b'.'; bytes]);
    while let Ok((stream, _)) = listener.accept().await {
        let (_, value) = (stream.set_nodelay(true), value.clone());
        tokio::spawn(async move {
            let mut framed = Framed::new(stream, Resp);
            while let Some(Ok(_)) = framed.next().await {
                let how = Frame::Bulk(bytes::Bytes::from_static(b"hit"));
                let answer = Frame::Array(vec![Frame::Bulk(value.clone()), how, Frame::Null]);
                if framed.send(&answer).await.is_err() {
                    return;
                }
            }
        });
    }
}

/// The memory of tables that map each key to one node. All tables are kept until the last is built, so that
/// none reuses memory that another has freed.
fn measure_tables() -> Result<Vec<(usize, f64)>> {
    let (mut measured, mut kept) = (Vec::new(), Vec::new());
    for keys in KEY_COUNTS {
        let before = memory("self", "VmRSS:")?;
        let mut table = ReplicaTable::new(keys, u64::MAX / 2);
        for key in 0..keys as u64 {
            table.mark_picked(0, key.wrapping_mul(0x9e37_79b9_7f4a_7c15), key as usize % 7_200);
        }
        kept.push(table);
        measured.push((keys, memory("self", "VmRSS:")? - before));
    }
    ensure!(kept.len() == KEY_COUNTS.len(), "a table is missing");
    if measured.iter().any(|(_, mb)| *mb <= 0.0) {
        bail!("a table of keys did not increase the resident memory");
    }
    Ok(measured)
}
