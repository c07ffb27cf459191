//! Measures what resources a proxy needs. Each proxy is a real process that follows a stand-in for the
//! discovery service. Idle proxies are measured by the number of listed nodes, which do not exist, and by the
//! rate at which the list changes; busy proxies by the rate and the size of requests. Also measured are the
//! memory of a table of keys, and the first voter of an idle fleet.

use crate::real::http::{Response, ServerCodec};
use crate::rig::plan::Plan;
use crate::rig::{self, Programs};
use anyhow::{Context, Result, bail, ensure};
use futures_util::{SinkExt, StreamExt};
use pumicebay::resp::{Frame, Resp};
use pumicebay_core::table::ReplicaTable;
use serde::Serialize;
use serde_json::{Value as Json, json};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tempfile::TempDir;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::process::{Child, Command};
use tokio::sync::watch;
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
/// Numbers of processes of a fleet.
const FLEET_SIZES: [usize; 4] = [3, 15, 60, 300];
/// How long the traffic of a fleet's idle links is counted, in seconds.
const IDLE_SECONDS: f64 = 16.0;
/// How many runs are started at most until one of a fleet succeeds; each has another seed.
const MAX_RUNS: u64 = 3;
/// Between two readings of a voter's processor time.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// How long a proxy is measured.
const MEASURE_TIME: Duration = Duration::from_secs(12);
/// How long a proxy with the list runs before the measurement starts.
const SETTLE_TIME: Duration = Duration::from_secs(3);
/// How long a proxy may take to get the list, and then to answer a request.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// The path at which discovery serves its list.
const LIST_PATH: &str = "/registry/instances";

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

/// The measurement of the first voter of an idle fleet, and the traffic of all links of the fleet.
#[derive(Clone, Debug, Serialize)]
pub struct VoterUsage {
    pub processes: usize,
    /// The seed of the run.
    pub seed: u64,
    pub frames_per_second: f64,
    pub kilobytes_per_second: f64,
    /// Resident memory, in millions of bytes.
    pub resident_mb: f64,
    /// Processor time, in percent of one core.
    pub core_percent: f64,
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

/// The list of the discovery stand-in, with counters of its answers.
struct Registry {
    /// The address of the only node, if that node exists.
    cache: Option<SocketAddr>,
    /// For each node: the version at which it last changed, whether it is active, and when it started, as a
    /// version.
    entries: std::sync::Mutex<Vec<(u64, bool, u64)>>,
    version: watch::Sender<u64>,
    /// Bytes in the bodies of all answers.
    bytes: AtomicU64,
    /// Bytes of the last complete list.
    list_bytes: AtomicU64,
    /// Number of watch calls, which ask for changes after a version.
    watches: AtomicU64,
    /// Number of answers to them that reported a change.
    change_answers: AtomicU64,
}

impl Registry {
    fn new(nodes: usize, cache: Option<SocketAddr>) -> Registry {
        Registry {
            cache,
            entries: std::sync::Mutex::new(vec![(1, true, 0); nodes]),
            version: watch::Sender::new(1),
            bytes: AtomicU64::new(0),
            list_bytes: AtomicU64::new(0),
            watches: AtomicU64::new(0),
            change_answers: AtomicU64::new(0),
        }
    }

    /// The entries that changed after a version, or all of them.
    fn list(&self, since: Option<u64>) -> Json {
        let entries = self.entries.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        let changed =
            entries.iter().enumerate().filter(|(_, entry)| since.is_none_or(|since| entry.0 > since));
        let targets: Vec<Json> = changed.map(|(number, entry)| target(number, entry, self.cache)).collect();
        json!({"rev": *self.version.borrow(), "all": since.is_none(), "targets": targets})
    }

    /// Makes one change: with an even count a node starts to leave, with the next count it is back as a new
    /// process.
    fn change(&self, count: u64) {
        let mut entries = self.entries.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        let version = *self.version.borrow() + 1;
        let number = (count / 2) as usize % entries.len().max(1);
        if let Some(entry) = entries.get_mut(number) {
            let active = count % 2 == 1;
            *entry = (version, active, if active { version } else { entry.2 });
        }
        drop(entries);
        self.version.send_replace(version);
    }
}

/// A node's entry in the list.
fn target(number: usize, &(_, active, started): &(u64, bool, u64), cache: Option<SocketAddr>) -> Json {
    // Nothing listens at these addresses: an idle proxy does not connect to nodes.
    let unused = || format!("127.{}.{}.1:7001", 1 + number / 250, 1 + number % 250);
    let address = cache.map_or_else(unused, |cache| cache.to_string());
    json!({
        "uid": format!("node-{number:05}"),
        "endpoint": address,
        "az": format!("z{}", 1 + number % 52),
        "model": "cache",
        "pod_group": 0,
        "state": if active { "active" } else { "leaving" },
        "boot_ms": started,
    })
}

/// Changes the list at this rate, per second, until it is aborted.
async fn change_regularly(registry: Arc<Registry>, changes: f64) {
    let mut due = interval(Duration::from_secs_f64(1.0 / changes));
    due.set_missed_tick_behavior(MissedTickBehavior::Burst);
    let mut count = 0;
    loop {
        due.tick().await;
        registry.change(count);
        count += 1;
    }
}

/// Accepts connections as the discovery service.
async fn serve_discovery(registry: Arc<Registry>, listener: TcpListener) {
    while let Ok((stream, _)) = listener.accept().await {
        let _ = stream.set_nodelay(true);
        let registry = registry.clone();
        tokio::spawn(async move { serve_connection(&registry, stream).await });
    }
}

/// Answers the requests of one connection; a watch call is held until the list changes or its wait ends.
async fn serve_connection(registry: &Registry, stream: TcpStream) {
    let mut framed = Framed::new(stream, ServerCodec);
    while let Some(Ok(request)) = framed.next().await {
        let since = request.query("index").filter(|_| request.path.starts_with(LIST_PATH));
        if let Some(since) = since {
            registry.watches.fetch_add(1, Ordering::Relaxed);
            let mut versions = registry.version.subscribe();
            let max_wait = Duration::from_millis(request.query("wait").unwrap_or(0).min(60_000));
            let changed = async { versions.wait_for(|version| *version > since).await.is_ok() };
            if timeout(max_wait, changed).await.unwrap_or(false) {
                registry.change_answers.fetch_add(1, Ordering::Relaxed);
            }
        }
        let body = registry.list(since).to_string();
        registry.bytes.fetch_add(body.len() as u64, Ordering::Relaxed);
        if since.is_none() {
            registry.list_bytes.store(body.len() as u64, Ordering::Relaxed);
        }
        if framed.send(Response { status: 200, header: None, body: body.into() }).await.is_err() {
            return;
        }
    }
}

/// Measures the first voter of fleets of several sizes, one after the other. `say` gets a line for each run
/// that begins or fails. Returns an error if all runs of a size fail.
pub fn measure_voters(programs: &Programs, say: impl Fn(&str)) -> Result<Vec<VoterUsage>> {
    let mut measured = Vec::new();
    for processes in FLEET_SIZES {
        let measure = |seed| {
            say(&format!("a fleet of {processes} processes, seed {seed}"));
            measure_voter(programs, processes, seed)
                .inspect_err(|error| say(&format!("measurement failed: {error:#}")))
        };
        let measured_voter = (1..MAX_RUNS).find_map(|seed| measure(seed).ok());
        measured.push(measured_voter.map_or_else(|| measure(MAX_RUNS), Ok)?);
    }
    Ok(measured)
}

/// The measurements of voters as a text table.
pub fn voters_table(voters: &[VoterUsage]) -> String {
    let mut text = String::new();
    text += "processes  seed  frames/s  KB/s  a voter: resident MB  core %\n";
    for voter in voters {
        text += &format!(
            "{:>9} {:>5} {:>9.0} {:>5.1} {:>21.2} {:>7.3}\n",
            voter.processes,
            voter.seed,
            voter.frames_per_second,
            voter.kilobytes_per_second,
            voter.resident_mb,
            voter.core_percent
        );
    }
    text
}

/// Runs a fleet of real processes and measures its first voter while no process wants a lease. Returns an
/// error if the run fails or the idle period is missed.
pub fn measure_voter(programs: &Programs, processes: usize, seed: u64) -> Result<VoterUsage> {
    let plan = Plan {
        processes,
        idle_seconds: IDLE_SECONDS,
        seconds: 2.0,
        leases: 1,
        commands_per_lease: 1,
        ..Plan::default()
    };
    std::thread::scope(|scope| {
        let run = scope.spawn(|| rig::run_plan(&plan, seed, programs));
        let observed = observe_voter(|| run.is_finished());
        let Ok(outcome) = run.join() else { bail!("the run of {processes} processes panicked") };
        let (bytes, frames) = outcome?.idle_traffic.context("the run had no idle period")?;
        let (resident_mb, core_percent) = observed?;
        let kilobytes_per_second = bytes / 1e3;
        Ok(VoterUsage {
            processes,
            seed,
            frames_per_second: frames,
            kilobytes_per_second,
            resident_mb,
            core_percent,
        })
    })
}

/// Resident memory in millions of bytes, and processor time in percent of one core in the middle half of the
/// idle period, which ends when the first command is started.
fn observe_voter(finished: impl Fn() -> bool) -> Result<(f64, f64)> {
    let own = std::process::id();
    let (mut voter, mut readings) = (None, Vec::new());
    while find_child(own, &["/a1.json"]).is_none() {
        ensure!(!finished(), "the run ended before its first command was started");
        voter = voter.or_else(|| find_child(own, &["serve", "/p1.json"]));
        if let Some(voter) = &voter {
            readings.push((std::time::Instant::now(), processor_seconds(voter)?));
        }
        std::thread::sleep(POLL_INTERVAL);
    }
    let resident = memory(&voter.context("the first voter was not found among the processes")?, "VmRSS:")?;
    let before = |part: f64| {
        let at = std::time::Instant::now().checked_sub(Duration::from_secs_f64(IDLE_SECONDS * part));
        readings
            .iter()
            .rev()
            .find(|(seen, _)| at.is_some_and(|at| *seen <= at))
            .context("the idle period was not observed")
    };
    let ((from, first), (to, last)) = (before(0.75)?, before(0.25)?);
    let elapsed = to.duration_since(*from).as_secs_f64();
    ensure!(elapsed > 0.0, "the idle period was not observed");
    Ok((resident, (last - first) / elapsed * 100.0))
}

/// The process id of a child of this process whose command line has, for each suffix, an argument that ends
/// with it.
fn find_child(parent: u32, suffixes: &[&str]) -> Option<String> {
    let matches = |name: &String| {
        let read = |file: &str| std::fs::read_to_string(format!("/proc/{name}/{file}")).unwrap_or_default();
        let status = read("status");
        let parent_id = status.lines().find_map(|line| line.strip_prefix("PPid:")).unwrap_or_default();
        let line = read("cmdline");
        let has = |word: &&str| line.split('\0').any(|argument| argument.ends_with(*word));
        parent_id.trim() == parent.to_string() && suffixes.iter().all(has)
    };
    let entries =
        std::fs::read_dir("/proc").ok()?.filter_map(|entry| entry.ok()?.file_name().into_string().ok());
    entries.filter(|name| name.bytes().all(|byte| byte.is_ascii_digit())).find(matches)
}

/// A running proxy; it is ended when this is dropped.
struct Proxy {
    child: Child,
    address: SocketAddr,
    _folder: TempDir,
}

impl Proxy {
    fn start(program: &Path, discovery: SocketAddr) -> Result<Proxy> {
        let folder = tempfile::tempdir().context("a folder for the configuration")?;
        let path = folder.path().join("proxy.json");
        let listen =
            std::net::TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).context("a free port")?.local_addr()?;
        std::fs::write(&path, configuration(listen, discovery).to_string())?;
        let child = Command::new(program)
            .args(["serve", "--config"])
            .arg(&path)
            .env_remove("PROXY_NAME")
            .env_remove("PROXY_LISTEN")
            .env_remove("PROXY_DISCOVERY")
            .env_remove("PROXY_OPERATOR")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .kill_on_drop(true)
            .spawn()
            .with_context(|| program.display().to_string())?;
        Ok(Proxy { child, address: listen, _folder: folder })
    }

    fn id(&self) -> Result<u32> {
        self.child.id().context("the proxy has ended")
    }

    /// A memory line of the process's status, such as `VmRSS:`, in millions of bytes.
    fn memory(&self, name: &str) -> Result<f64> {
        memory(&self.id()?.to_string(), name)
    }

    /// Processor time used so far, in seconds.
    fn processor_seconds(&self) -> Result<f64> {
        processor_seconds(&self.id()?.to_string())
    }
}

/// Processor time used so far by all threads of a process, in seconds.
fn processor_seconds(process: &str) -> Result<f64> {
    let mut nanos = 0;
    for thread in std::fs::read_dir(format!("/proc/{process}/task"))? {
        let text = std::fs::read_to_string(thread?.path().join("schedstat"))?;
        let used = text.split_whitespace().next().and_then(|used| used.parse::<u64>().ok());
        nanos += used.context("schedstat: expected a number")?;
    }
    Ok(nanos as f64 / 1e9)
}

/// A memory line of a process's status, in millions of bytes.
fn memory(process: &str, name: &str) -> Result<f64> {
    let status = std::fs::read_to_string(format!("/proc/{process}/status"))?;
    let line = status.lines().find_map(|line| line.strip_prefix(name));
    let kib = line.and_then(|line| line.split_whitespace().next()?.parse::<f64>().ok());
    Ok(kib.with_context(|| format!("no {name} of process {process}"))? * 1024.0 / 1e6)
}

/// The configuration of a proxy that follows the discovery stand-in.
fn configuration(listen: SocketAddr, discovery: SocketAddr) -> Json {
    let zones: BTreeMap<usize, String> = (1..=52).map(|zone| (zone, format!("z{zone}"))).collect();
    json!({
        "name": "p1",
        "listen": listen.to_string(),
        "discovery": discovery.to_string(),
        "seed": "0000000000000001",
        "settings": {
            "discovery": "push",
            "domain": {"mode": "aside", "origin-kind": 1},
            "fleet-size": 16_000,
            "me": 0,
            "skus": ["cache", "origin"],
            "failure-domains": zones.values().collect::<Vec<_>>(),
            "orgs": [],
            "permissions": {"may-probe": true, "retry-after": true, "most-upstream-tries": 4},
            "routes": [{"name": "read", "effect": "repeatable", "payoff": 1.0,
                "latency-objective-us": 150_000, "overall-timeout-us": 1_000_000}],
            "rules": {"cold-us": 10_000_000, "start-capacity": 0.2, "fall-us": 1_000_000},
            "telemetry": {"columns": [], "via": "silent"},
        },
    })
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
