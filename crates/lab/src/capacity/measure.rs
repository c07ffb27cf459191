//! What an idle proxy costs, measured: a real process beside a stand-in for discovery that lists nodes which are not
//! there, by the number of nodes and by how often the list changes; and what a table of keys takes.

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

/// The nodes that are listed, and how often an entry changes, a second.
const NODES: [usize; 5] = [0, 72, 720, 2_400, 7_200];
const CHANGES: [f64; 4] = [0.2, 1.0, 5.0, 20.0];
/// What the target's ordinary day has.
const QUIET: f64 = 0.08;
const KEYS: [usize; 5] = [10_000, 30_000, 100_000, 300_000, 1_000_000];
/// What one client asks a second, for values of so many bytes, of a cache that has them: by requests and by bytes.
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
/// Processes of a fleet, the seconds that its idle links are counted, and how often one that does not come about is
/// begun anew.
const PROCESSES: [usize; 4] = [3, 15, 60, 300];
const IDLE_LINKS: f64 = 16.0;
const PLAYS: u64 = 3;
/// How often a voter is looked at.
const LOOK: Duration = Duration::from_millis(250);
/// How long a proxy is watched, and how long before that it may settle.
const WATCHED: Duration = Duration::from_secs(12);
const SETTLES: Duration = Duration::from_secs(3);
/// How long it may take until it has the list.
const READY: Duration = Duration::from_secs(20);
const WHOLE: &str = "/registry/instances";

/// One proxy that was watched.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Idle {
    pub nodes: usize,
    pub changes_per_second: f64,
    /// Resident once it stands, and the most that it ever was.
    pub resident_mb: f64,
    pub peak_mb: f64,
    /// Of one core, while it is watched.
    pub core_percent: f64,
    /// Processor time from its start until it stands with the list.
    pub start_ms: f64,
    /// Bodies of discovery's answers while it is watched, a second, and the whole list.
    pub bytes_per_second: f64,
    pub list_bytes: u64,
    /// The answers that told it of changes.
    pub told: u64,
}

/// A proxy under such traffic, with one client and one cache.
#[derive(Clone, Debug, Serialize)]
pub struct Busy {
    pub requests_per_second: f64,
    pub value_bytes: usize,
    pub megabits_per_second: f64,
    pub core_percent: f64,
    /// Answers that were no value, and what the last of them said.
    pub failed: u64,
    pub said: String,
}

/// The first voter of a fleet of which nobody wants anything, and what all its links carry.
#[derive(Clone, Debug, Serialize)]
pub struct Voter {
    pub processes: usize,
    pub seed: u64,
    pub frames_per_second: f64,
    pub kilobytes_per_second: f64,
    pub resident_mb: f64,
    pub core_percent: f64,
}

#[derive(Debug, Serialize)]
pub struct Measures {
    pub idle: Vec<Idle>,
    pub busy: Vec<Busy>,
    /// Keys, and the megabytes of a table of that many.
    pub tables: Vec<(usize, f64)>,
}

impl Measures {
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

/// Measures `program`, one process after the other. Nothing else should run beside it.
pub fn measure(program: &Path, say: impl Fn(&str)) -> Result<Measures> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let tables = tables()?;
    let mut measures = Measures { idle: Vec::new(), busy: Vec::new(), tables };
    let quiet = NODES.map(|nodes| (nodes, QUIET));
    let most = NODES[NODES.len() - 1];
    let changing = CHANGES.map(|changes| (most, changes));
    for (nodes, changes) in quiet.into_iter().chain(changing) {
        say(&format!("{nodes} nodes, {changes} changes a second"));
        measures.idle.push(runtime.block_on(idle(program, nodes, changes, WATCHED))?);
    }
    for (requests, bytes) in TRAFFIC {
        say(&format!("{requests} requests a second for {bytes} bytes"));
        measures.busy.push(runtime.block_on(busy(program, requests, bytes, WATCHED))?);
    }
    Ok(measures)
}

/// Starts a proxy with so many nodes listed, and watches it.
pub async fn idle(program: &Path, nodes: usize, changes: f64, watched: Duration) -> Result<Idle> {
    let registry = Arc::new(Registry::new(nodes, None));
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.context("a free port")?;
    let discovery = listener.local_addr()?;
    let serving = tokio::spawn(serve(registry.clone(), listener));
    let proxy = Proxy::start(program, discovery)?;
    let stands = async {
        while registry.watches.load(Ordering::Relaxed) == 0 {
            sleep(Duration::from_millis(10)).await;
        }
    };
    timeout(READY, stands).await.context("the proxy did not follow discovery")?;
    sleep(SETTLES).await;
    let earlier = registry.bytes.load(Ordering::Relaxed);
    let (before, began) = (proxy.processor()?, Instant::now());
    let changing = tokio::spawn(change(registry.clone(), changes));
    sleep(watched).await;
    let (after, took) = (proxy.processor()?, began.elapsed().as_secs_f64());
    changing.abort();
    serving.abort();
    let bytes = registry.bytes.load(Ordering::Relaxed) - earlier;
    Ok(Idle {
        nodes,
        changes_per_second: changes,
        resident_mb: proxy.memory("VmRSS:")?,
        peak_mb: proxy.memory("VmHWM:")?,
        core_percent: (after - before) / took * 100.0,
        start_ms: before * 1e3,
        bytes_per_second: bytes as f64 / took,
        list_bytes: registry.whole.load(Ordering::Relaxed),
        told: registry.told.load(Ordering::Relaxed),
    })
}

/// Starts a proxy before one cache, and watches it while a client asks so often for values of so many bytes. An answer
/// that comes late delays what is asked next.
pub async fn busy(program: &Path, requests: f64, bytes: usize, watched: Duration) -> Result<Busy> {
    let caches = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.context("a free port")?;
    let registry = Arc::new(Registry::new(1, Some(caches.local_addr()?)));
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.context("a free port")?;
    let discovery = listener.local_addr()?;
    let serving = tokio::spawn(serve(registry.clone(), listener));
    let cache = tokio::spawn(hold(caches, bytes));
    let proxy = Proxy::start(program, discovery)?;
    let stands = async {
        while registry.watches.load(Ordering::Relaxed) == 0 {
            sleep(Duration::from_millis(10)).await;
        }
    };
    timeout(READY, stands).await.context("the proxy did not follow discovery")?;
    sleep(SETTLES).await;
    let mut client = TcpStream::connect(proxy.address).await.context("the proxy")?;
    client.set_nodelay(true)?;
    let mut due = interval(Duration::from_secs_f64(1.0 / requests));
    due.set_missed_tick_behavior(MissedTickBehavior::Burst);
    let (before, began) = (proxy.processor()?, Instant::now());
    let (mut asked, mut failed, mut said) = (0_u64, 0_u64, String::new());
    let mut room = vec![0; bytes + 64];
    while began.elapsed() < watched {
        due.tick().await;
        asked += 1;
        let (key, id) = (format!("key{:06}", asked % 1_000), format!("{asked:016x}"));
        let words = ["C.GET", &key, &id, "c=read,d=1000"];
        let command: String = words.iter().map(|word| format!("${}\r\n{word}\r\n", word.len())).collect();
        client.write_all(format!("*4\r\n{command}").as_bytes()).await?;
        let answer = value(&mut client, &mut room, bytes);
        if let Some(other) = timeout(READY, answer).await.context("no answer")?? {
            (failed, said) = (failed + 1, other);
        }
    }
    let (after, took) = (proxy.processor()?, began.elapsed().as_secs_f64());
    serving.abort();
    cache.abort();
    let requests = asked as f64 / took;
    Ok(Busy {
        requests_per_second: requests,
        value_bytes: bytes,
        megabits_per_second: requests * bytes as f64 * 8.0 / 1e6,
        core_percent: (after - before) / took * 100.0,
        failed,
        said,
    })
}

/// Reads one answer: nothing for a value of that length, else what it says instead.
async fn value(client: &mut TcpStream, room: &mut [u8], bytes: usize) -> Result<Option<String>> {
    let head = format!("${bytes}\r\n");
    let whole = head.len() + bytes + 2;
    let mut filled = 0;
    while filled < whole {
        let read = client.read(&mut room[filled..whole]).await?;
        ensure!(read > 0, "the proxy ended the connection");
        filled += read;
        if room[0] != b'$' && room[..filled].ends_with(b"\r\n") {
            return Ok(Some(String::from_utf8_lossy(&room[..filled - 2]).into_owned()));
        }
    }
    ensure!(room.starts_with(head.as_bytes()), "a value of another length");
    Ok(None)
}

/// A cache that has every key.
async fn hold(listener: TcpListener, bytes: usize) {
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

/// Discovery's list: each entry with the version at which it last changed.
struct Registry {
    /// Where the only node that is there listens.
    cache: Option<SocketAddr>,
    entries: std::sync::Mutex<Vec<(u64, bool, u64)>>,
    version: watch::Sender<u64>,
    /// What it has answered, and its last whole list.
    bytes: AtomicU64,
    whole: AtomicU64,
    /// Calls that watch it, and answers that told of changes.
    watches: AtomicU64,
    told: AtomicU64,
}

impl Registry {
    fn new(nodes: usize, cache: Option<SocketAddr>) -> Registry {
        Registry {
            cache,
            entries: std::sync::Mutex::new(vec![(1, true, 0); nodes]),
            version: watch::Sender::new(1),
            bytes: AtomicU64::new(0),
            whole: AtomicU64::new(0),
            watches: AtomicU64::new(0),
            told: AtomicU64::new(0),
        }
    }

    fn list(&self, since: Option<u64>) -> Json {
        let entries = self.entries.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        let news = entries.iter().enumerate().filter(|(_, entry)| since.is_none_or(|since| entry.0 > since));
        let targets: Vec<Json> = news.map(|(number, entry)| target(number, entry, self.cache)).collect();
        json!({"rev": *self.version.borrow(), "all": since.is_none(), "targets": targets})
    }

    /// A node begins to leave, and at the next call is back as a new process.
    fn change(&self, count: u64) {
        let mut entries = self.entries.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        let version = *self.version.borrow() + 1;
        let number = (count / 2) as usize % entries.len().max(1);
        if let Some(entry) = entries.get_mut(number) {
            let stays = count % 2 == 1;
            *entry = (version, stays, if stays { version } else { entry.2 });
        }
        drop(entries);
        self.version.send_replace(version);
    }
}

fn target(number: usize, &(_, stays, started): &(u64, bool, u64), cache: Option<SocketAddr>) -> Json {
    // Nobody listens there: an idle proxy calls no node.
    let nobody = || format!("127.{}.{}.1:7001", 1 + number / 250, 1 + number % 250);
    let address = cache.map_or_else(nobody, |cache| cache.to_string());
    json!({
        "uid": format!("node-{number:05}"),
        "endpoint": address,
        "az": format!("z{}", 1 + number % 52),
        "model": "cache",
        "pod_group": 0,
        "state": if stays { "active" } else { "leaving" },
        "boot_ms": started,
    })
}

async fn change(registry: Arc<Registry>, changes: f64) {
    let mut due = interval(Duration::from_secs_f64(1.0 / changes));
    due.set_missed_tick_behavior(MissedTickBehavior::Burst);
    let mut count = 0;
    loop {
        due.tick().await;
        registry.change(count);
        count += 1;
    }
}

async fn serve(registry: Arc<Registry>, listener: TcpListener) {
    while let Ok((stream, _)) = listener.accept().await {
        let _ = stream.set_nodelay(true);
        let registry = registry.clone();
        tokio::spawn(async move { answer(&registry, stream).await });
    }
}

async fn answer(registry: &Registry, stream: TcpStream) {
    let mut framed = Framed::new(stream, ServerCodec);
    while let Some(Ok(asked)) = framed.next().await {
        let since = asked.query("index").filter(|_| asked.path.starts_with(WHOLE));
        if let Some(since) = since {
            registry.watches.fetch_add(1, Ordering::Relaxed);
            let mut versions = registry.version.subscribe();
            let held = Duration::from_millis(asked.query("wait").unwrap_or(0).min(60_000));
            let news = async { versions.wait_for(|version| *version > since).await.is_ok() };
            if timeout(held, news).await.unwrap_or(false) {
                registry.told.fetch_add(1, Ordering::Relaxed);
            }
        }
        let body = registry.list(since).to_string();
        registry.bytes.fetch_add(body.len() as u64, Ordering::Relaxed);
        if since.is_none() {
            registry.whole.store(body.len() as u64, Ordering::Relaxed);
        }
        if framed.send(Response { status: 200, header: None, body: body.into() }).await.is_err() {
            return;
        }
    }
}

/// Measures the first voter of fleets of these programs, one after the other.
pub fn voters(programs: &Programs, say: impl Fn(&str)) -> Result<Vec<Voter>> {
    let mut measured = Vec::new();
    for processes in PROCESSES {
        let play = |seed| {
            say(&format!("a fleet of {processes} processes, seed {seed}"));
            voter(programs, processes, seed).inspect_err(|error| say(&format!("no measure: {error:#}")))
        };
        let played = (1..PLAYS).find_map(|seed| play(seed).ok());
        measured.push(played.map_or_else(|| play(PLAYS), Ok)?);
    }
    Ok(measured)
}

pub fn voters_table(voters: &[Voter]) -> String {
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

/// Plays a fleet on sockets and watches its first voter, once it is founded and nobody wants anything.
pub fn voter(programs: &Programs, processes: usize, seed: u64) -> Result<Voter> {
    let plan =
        Plan { processes, idle_seconds: IDLE_LINKS, seconds: 2.0, leases: 1, askers: 1, ..Plan::default() };
    std::thread::scope(|scope| {
        let play = scope.spawn(|| rig::play(&plan, seed, programs));
        let watched = watch_voter(|| play.is_finished());
        let Ok(outcome) = play.join() else { bail!("the play of {processes} processes broke off") };
        let (bytes, frames) = outcome?.idle.context("the play had no idle time")?;
        let (resident_mb, core_percent) = watched?;
        let kilobytes_per_second = bytes / 1e3;
        Ok(Voter {
            processes,
            seed,
            frames_per_second: frames,
            kilobytes_per_second,
            resident_mb,
            core_percent,
        })
    })
}

/// Resident megabytes and the part of a core amid the idle time, which ends as the first command is started.
fn watch_voter(over: impl Fn() -> bool) -> Result<(f64, f64)> {
    let own = std::process::id();
    let (mut voter, mut used) = (None, Vec::new());
    while child(own, &["/a1.json"]).is_none() {
        ensure!(!over(), "the play ended before anybody wanted anything");
        voter = voter.or_else(|| child(own, &["serve", "/p1.json"]));
        if let Some(voter) = &voter {
            used.push((std::time::Instant::now(), processor(voter)?));
        }
        std::thread::sleep(LOOK);
    }
    let resident = memory(&voter.context("the first voter is not there")?, "VmRSS:")?;
    let before = |part: f64| {
        let at = std::time::Instant::now().checked_sub(Duration::from_secs_f64(IDLE_LINKS * part));
        used.iter().rev().find(|(seen, _)| at.is_some_and(|at| *seen <= at)).context("no idle time was seen")
    };
    let ((from, first), (to, last)) = (before(0.75)?, before(0.25)?);
    let took = to.duration_since(*from).as_secs_f64();
    ensure!(took > 0.0, "no idle time was seen");
    Ok((resident, (last - first) / took * 100.0))
}

/// A child of the process whose command line has arguments that end so.
fn child(parent: u32, words: &[&str]) -> Option<String> {
    let ours = |name: &String| {
        let read = |file: &str| std::fs::read_to_string(format!("/proc/{name}/{file}")).unwrap_or_default();
        let status = read("status");
        let of = status.lines().find_map(|line| line.strip_prefix("PPid:")).unwrap_or_default();
        let line = read("cmdline");
        let has = |word: &&str| line.split('\0').any(|argument| argument.ends_with(*word));
        of.trim() == parent.to_string() && words.iter().all(has)
    };
    let entries =
        std::fs::read_dir("/proc").ok()?.filter_map(|entry| entry.ok()?.file_name().into_string().ok());
    entries.filter(|name| name.bytes().all(|byte| byte.is_ascii_digit())).find(ours)
}

/// A proxy's process; ended with this.
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

    /// A line of the process's status, in megabytes of a million bytes.
    fn memory(&self, name: &str) -> Result<f64> {
        memory(&self.id()?.to_string(), name)
    }

    fn processor(&self) -> Result<f64> {
        processor(&self.id()?.to_string())
    }
}

/// Seconds of a core that the threads of a process have used.
fn processor(process: &str) -> Result<f64> {
    let mut nanos = 0;
    for thread in std::fs::read_dir(format!("/proc/{process}/task"))? {
        let text = std::fs::read_to_string(thread?.path().join("schedstat"))?;
        let used = text.split_whitespace().next().and_then(|used| used.parse::<u64>().ok());
        nanos += used.context("schedstat: expected a number")?;
    }
    Ok(nanos as f64 / 1e9)
}

fn memory(process: &str, name: &str) -> Result<f64> {
    let status = std::fs::read_to_string(format!("/proc/{process}/status"))?;
    let line = status.lines().find_map(|line| line.strip_prefix(name));
    let kib = line.and_then(|line| line.split_whitespace().next()?.parse::<f64>().ok());
    Ok(kib.with_context(|| format!("no {name} of process {process}"))? * 1024.0 / 1e6)
}

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

/// The memory of tables from key to one node each. All stay until the last is made, so that none uses the room of another.
fn tables() -> Result<Vec<(usize, f64)>> {
    let (mut found, mut kept) = (Vec::new(), Vec::new());
    for keys in KEYS {
        let before = memory("self", "VmRSS:")?;
        let mut table = ReplicaTable::new(keys, u64::MAX / 2);
        for key in 0..keys as u64 {
            table.mark_picked(0, key.wrapping_mul(0x9e37_79b9_7f4a_7c15), key as usize % 7_200);
        }
        kept.push(table);
        found.push((keys, memory("self", "VmRSS:")? - before));
    }
    ensure!(kept.len() == KEYS.len(), "a table is missing");
    if found.iter().any(|(_, mb)| *mb <= 0.0) {
        bail!("a table took no memory that could be seen");
    }
    Ok(found)
}
