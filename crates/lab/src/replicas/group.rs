//! The processes of a run: proxies that serve and replicate, each with a folder of its own and a relay to
//! each other proxy. All processes are ended by their ids, also when a run fails.

use crate::replicas::expected::{Order, OutOfServiceInterval};
use crate::replicas::nodes::{Nodes, uid, unix_seconds};
use crate::rig::processes::LoopbackAddresses;
use crate::rig::relay::{LinkMode, Relay};
use anyhow::{Context, Result, bail};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use pumicebay::fleet::wire::{Frame, Hello, Link, MaintenanceAnswer, MaintenanceOrder, Role};
use pumicebay_accord::ProcessId;
use pumicebay_replication::{Stamp, Status};
use serde_json::{Value as Json, json};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::Duration;
use tempfile::TempDir;
use tokio::net::TcpStream;
use tokio::process::{Child, Command};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, timeout};

/// Number of proxies that are listed as voters.
const VOTERS: usize = 3;
/// How long a proxy may take to answer a query or an order.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1500);
/// Between two queries of the proxies' states.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// File name of a replica within its folder.
const REPLICA_FILE: &str = "replica";
/// File name of an earlier copy of it, kept for [`Disk::Older`].
const OLDER_REPLICA_FILE: &str = "replica.older";

/// What a process finds on its disk when it starts again.
#[derive(Clone, Copy, Debug)]
pub enum Disk {
    /// What it left there.
    Own,
    /// No replica.
    Empty,
    /// A corrupted replica.
    Spoilt,
    /// Its replica as it was when the process was first killed.
    Older,
    /// The replica of another proxy, given by its index.
    Of(usize),
}

impl Disk {
    /// Whether orders that only this process had may be lost.
    pub fn may_lose_orders(self) -> bool {
        !matches!(self, Disk::Own)
    }
}

/// One proxy with its files, addresses and relays.
struct Process {
    name: String,
    config: PathBuf,
    folder: PathBuf,
    log: PathBuf,
    /// Where it serves clients.
    address: SocketAddr,
    /// Where it listens for other replicas, behind the relays.
    replication: SocketAddr,
    /// The relays to each proxy, by its index; `None` for the process itself.
    relays: Vec<Option<Relay>>,
    child: Option<Child>,
    /// When it was killed, in seconds of Unix time.
    kill_times: Vec<f64>,
    /// Its exit status, if it had ended before it was to be killed.
    ended: Option<String>,
}

/// All proxies of a run.
pub struct Group {
    program: PathBuf,
    processes: Vec<Process>,
    folder: TempDir,
}

impl Group {
    /// Writes the configurations and starts the relays and processes. Returns an error if one of them can't
    /// be started.
    pub async fn start(count: usize, nodes: &Nodes, program: &Path) -> Result<Group> {
        let folder = tempfile::tempdir().context("a folder for the processes")?;
        let mut loopback = LoopbackAddresses::new();
        let names: Vec<String> = (0..count).map(|index| format!("p{:02}", index + 1)).collect();
        let replication: Vec<SocketAddr> = names.iter().map(|_| loopback.next()).collect();
        let voters: BTreeMap<&String, String> =
            names.iter().take(VOTERS).map(|name| (name, loopback.next().to_string())).collect();
        let mut processes = Vec::new();
        for (index, name) in names.iter().enumerate() {
            let mut relays = Vec::new();
            for (other, address) in replication.iter().enumerate() {
                relays.push(if other == index { None } else { Some(Relay::start(*address).await?) });
            }
            let peers: BTreeMap<&String, String> = names
                .iter()
                .zip(relays.iter().zip(&replication))
                .map(|(name, (relay, own))| {
                    (name, relay.as_ref().map_or(*own, |relay| relay.address).to_string())
                })
                .collect();
            let own = folder.path().join(name);
            let address = loopback.next();
            let mut json = configuration(name, address, loopback.next(), nodes);
            json["fleet"] = json!({
                "name": "replicas", "voters": voters, "folder": own.join("voter"),
                "replication": {"peers": peers, "listen": replication[index].to_string(), "folder": own.join("copy")},
            });
            let config = own.with_extension("json");
            std::fs::write(&config, json.to_string())?;
            std::fs::create_dir_all(own.join("copy"))?;
            std::fs::create_dir_all(own.join("tmp"))?;
            processes.push(Process {
                name: name.clone(),
                config,
                log: own.with_extension("log"),
                folder: own,
                address,
                replication: replication[index],
                relays,
                child: None,
                kill_times: Vec::new(),
                ended: None,
            });
        }
        let mut group = Group { program: program.into(), processes, folder };
        (0..count).try_for_each(|index| group.spawn(index))?;
        Ok(group)
    }

    /// Starts a process, unless it runs. Returns an error if it can't be started.
    pub fn spawn(&mut self, index: usize) -> Result<()> {
        let process = &mut self.processes[index];
        if process.child.is_some() {
            return Ok(());
        }
        let log = std::fs::OpenOptions::new().create(true).append(true).open(&process.log)?;
        let mut command = Command::new(&self.program);
        command.args(["serve", "--config"]).arg(&process.config);
        for name in
            ["PROXY_NAME", "PROXY_LISTEN", "PROXY_DISCOVERY", "PROXY_OPERATOR", "PROXY_CONFIG", "PROXY_FD"]
        {
            command.env_remove(name);
        }
        command.env("TMPDIR", process.folder.join("tmp"));
        command.stdin(Stdio::null()).stdout(log.try_clone()?).stderr(log).kill_on_drop(true);
        process.child = Some(command.spawn().with_context(|| self.program.display().to_string())?);
        Ok(())
    }

    /// Kills a process with SIGKILL. After the first kill its replica is copied, for a later start with
    /// [`Disk::Older`].
    pub async fn kill(&mut self, index: usize) {
        let process = &mut self.processes[index];
        if let Some(mut child) = process.child.take() {
            if let Ok(Some(status)) = child.try_wait() {
                process.ended = Some(status.to_string());
            }
            let _ = child.kill().await;
            process.kill_times.push(unix_seconds());
        }
        let copy = process.folder.join("copy");
        let older = copy.join(OLDER_REPLICA_FILE);
        if !older.exists() {
            let _ = std::fs::copy(copy.join(REPLICA_FILE), older);
        }
    }

    /// Sends a signal to a process, if it runs.
    pub fn signal(&self, index: usize, signal: Signal) {
        let id = self.processes[index].child.as_ref().and_then(Child::id);
        if let Some(id) = id.and_then(|id| i32::try_from(id).ok()) {
            let _ = kill(Pid::from_raw(id), signal);
        }
    }

    /// Prepares the disk of a process that is down. Unless the disk is its own, the private folder is emptied
    /// too, since the bans stored there would be lost with the disk. Returns an error if the files can't be
    /// changed.
    pub fn prepare_disk(&self, index: usize, disk: Disk) -> Result<()> {
        let copy = |index: usize, name: &str| self.processes[index].folder.join("copy").join(name);
        let own = copy(index, REPLICA_FILE);
        match disk {
            Disk::Own => return Ok(()),
            Disk::Empty => _ = std::fs::remove_file(&own),
            Disk::Spoilt => std::fs::write(&own, b"pumicebr, and then nothing of use")?,
            Disk::Older => _ = std::fs::copy(copy(index, OLDER_REPLICA_FILE), &own),
            Disk::Of(other) => _ = std::fs::copy(copy(other, REPLICA_FILE), &own),
        }
        let private = self.processes[index].folder.join("tmp");
        std::fs::remove_dir_all(&private)?;
        Ok(std::fs::create_dir_all(&private)?)
    }

    /// Sets the mode of all links between these proxies and all others.
    pub fn set_link_mode(&self, proxies: &[usize], mode: LinkMode) {
        for (index, process) in self.processes.iter().enumerate() {
            for (other, relay) in process.relays.iter().enumerate() {
                let between = proxies.contains(&index) != proxies.contains(&other);
                relay.iter().filter(|_| between).for_each(|relay| relay.set_mode(mode));
            }
        }
    }

    /// Makes all links forward again and starts all processes that are down. Returns an error if one can't be
    /// started.
    pub async fn repair(&mut self) -> Result<()> {
        let relays = self.processes.iter().flat_map(|process| process.relays.iter().flatten());
        relays.for_each(|relay| relay.set_mode(LinkMode::Pass));
        (0..self.processes.len()).try_for_each(|index| self.spawn(index))
    }

    /// Where the proxies serve clients.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.processes.iter().map(|process| process.address).collect()
    }

    /// The replication states of all proxies that answer in time, in no particular order.
    pub async fn statuses(&self) -> Vec<Status> {
        let mut queries = JoinSet::new();
        for process in &self.processes {
            let at = process.replication;
            queries.spawn(async move {
                let wanted = |frame| match frame {
                    Frame::ReplicationStatus(status) => Some(*status),
                    _ => None,
                };
                query(at, Frame::ReplicationStatusRequest, wanted).await
            });
        }
        queries.join_all().await.into_iter().flatten().collect()
    }

    /// Waits until all proxies answer, have links and hold equal replicas. Returns an error if that takes too
    /// long.
    pub async fn wait_until_equal(&self, within: Duration) -> Result<()> {
        let until = Instant::now() + within;
        loop {
            let statuses = self.statuses().await;
            let equal = statuses.windows(2).all(|two| two[0].digest == two[1].digest);
            let linked = statuses.iter().all(|status| !status.linked_peers.is_empty());
            if equal && linked && statuses.len() == self.processes.len() {
                return Ok(());
            }
            if Instant::now() > until {
                bail!(
                    "{} of {} proxies answered, or replicas differ or have no links; the last log lines of the first proxy, newest first:\n{}",
                    statuses.len(),
                    self.processes.len(),
                    self.last_lines()
                );
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Sends an operator's order to this proxy. Returns its stamp, or `None` if it was refused or not
    /// answered in time.
    pub async fn send_order(&self, index: usize, order: &Order) -> Option<Stamp> {
        let call = MaintenanceOrder {
            node: order.node.clone(),
            out_of_service: order.out,
            lease: order.lease.clone(),
        };
        let wanted = |frame| match frame {
            Frame::MaintenanceAnswer(answer) => Some(*answer),
            _ => None,
        };
        match query(self.processes[index].replication, Frame::MaintenanceOrder(Box::new(call)), wanted)
            .await?
        {
            MaintenanceAnswer::Applied(stamp) => Some(stamp),
            MaintenanceAnswer::Refused(_) => None,
        }
    }

    /// When each proxy kept which node out of service, according to its log.
    pub fn out_of_service_intervals(&self) -> Vec<OutOfServiceInterval> {
        let each = self.processes.iter().enumerate();
        each.flat_map(|(proxy, process)| {
            let log = std::fs::read_to_string(&process.log).unwrap_or_default();
            parse_intervals(proxy, &log, &process.kill_times)
        })
        .collect()
    }

    /// One line for each process that ended without being killed.
    pub fn unexpected_exits(&mut self) -> Vec<String> {
        let mut ended = Vec::new();
        for process in &mut self.processes {
            let now = process.child.as_mut().and_then(|child| child.try_wait().ok().flatten());
            let how = process.ended.clone().or(now.map(|status| status.to_string()));
            ended.extend(how.map(|how| format!("{} ended unexpectedly: {how}", process.name)));
        }
        ended
    }

    /// The last lines of the first proxy's log, newest first.
    fn last_lines(&self) -> String {
        let _ = &self.folder;
        let log =
            self.processes.first().map(|process| std::fs::read_to_string(&process.log).unwrap_or_default());
        log.unwrap_or_default().lines().rev().take(10).collect::<Vec<_>>().join("\n")
    }
}

/// Sends a frame to a process over a new link, as a command does. Returns the first answer that `wanted`
/// accepts, or `None` if there is none in time.
async fn query<T>(at: SocketAddr, frame: Frame, wanted: impl Fn(Frame) -> Option<T>) -> Option<T> {
    let request = async {
        let who = ProcessId { name: "rig".into(), incarnation: 1 };
        let stream = TcpStream::connect(at).await.ok()?;
        let (mut link, _) =
            Link::initiate(stream, &Hello::new("replicas", &who, Role::Command, None)).await.ok()?;
        link.send(&frame).await.ok()?;
        loop {
            if let Some(answer) = wanted(link.next().await.ok()?) {
                return Some(answer);
            }
        }
    };
    timeout(ANSWER_TIMEOUT, request).await.ok().flatten()
}

/// The configuration of one proxy without its section `fleet`; nothing listens at the discovery address.
fn configuration(name: &str, listen: SocketAddr, discovery: SocketAddr, nodes: &Nodes) -> Json {
    let target = |uid: String, endpoint: SocketAddr, model: &str| {
        json!({"uid": uid, "endpoint": endpoint.to_string(), "az": "a", "model": model, "pod_group": 0,
               "state": "active", "capacity_hint": 1.0, "boot_ms": 0})
    };
    let caches = nodes.caches.iter().enumerate();
    let mut targets: Vec<Json> = caches.map(|(node, at)| target(uid(node), *at, "cache")).collect();
    targets.push(target("origin".into(), nodes.origin, "origin"));
    json!({
        "name": name, "listen": listen.to_string(), "discovery": discovery.to_string(),
        "limits": {"sockets": 512, "memory_mb": 64},
        "known": {"rev": 1, "all": true, "targets": targets},
        "settings": {
            "fleet-size": 1, "me": 0, "skus": ["cache", "origin"], "failure-domains": ["a"],
            "domain": {"mode": "aside", "origin-kind": 1},
            // A node that returns to service counts as warm at once, so that it soon gets requests again.
            "rules": {"cold-us": 1000},
            "routes": [{"name": "read", "effect": "repeatable", "payoff": 1.0,
                        "latency-objective-us": 500_000, "overall-timeout-us": 1_000_000}]
        }
    })
}

/// Reads from a proxy's log when nodes went out of service and returned. A kill of the proxy ends an open
/// interval.
fn parse_intervals(proxy: usize, log: &str, kill_times: &[f64]) -> Vec<OutOfServiceInterval> {
    let mut intervals: Vec<OutOfServiceInterval> = Vec::new();
    for line in log.lines() {
        let Some((time, words)) = line.split_once("maintenance: ") else { continue };
        let Some(at) = time.split_whitespace().next().and_then(parse_unix_time) else { continue };
        let mut words = words.split_whitespace();
        let (Some(node), Some(what)) = (words.next(), words.next()) else { continue };
        let until = kill_times.iter().copied().find(|killed| *killed > at).unwrap_or(f64::INFINITY);
        let open = intervals.iter_mut().find(|interval| interval.node == node && interval.until > at);
        match (what, open) {
            ("out", None) => {
                intervals.push(OutOfServiceInterval { proxy, node: node.into(), from: at, until })
            }
            ("back", Some(open)) => open.until = at,
            _ => {}
        }
    }
    intervals
}

/// Parses a log line's UTC time, such as `2026-12-02T06:23:49.123456Z`, to Unix time in seconds; `None` if it
/// is malformed.
fn parse_unix_time(text: &str) -> Option<f64> {
    let (date, time) = text.strip_suffix('Z')?.split_once('T')?;
    let mut date = date.split('-').map(|part| part.parse::<i64>().ok());
    let (year, month, day) = (date.next()??, date.next()??, date.next()??);
    let mut time = time.split(':').map(|part| part.parse::<f64>().ok());
    let seconds = time.next()?? * 3600.0 + time.next()?? * 60.0 + time.next()??;
    // Days since 1970 in the Gregorian calendar, counted with years that begin in March so that a leap day
    // comes last.
    let (year, month) = if month > 2 { (year, month - 3) } else { (year - 1, month + 9) };
    let days = 365 * year + year / 4 - year / 100 + year / 400 + (153 * month + 2) / 5 + day - 1 - 719_468;
    Some(days as f64 * 86_400.0 + seconds)
}
