//! The processes of a play: proxies that serve and replicate, each with a folder and with a relay to each other one. All are
//! ended, by their ids, whatever happens.

use crate::replicas::nodes::{Nodes, uid, unix_seconds};
use crate::replicas::truth::{Held, Order};
use crate::rig::procs::Home;
use crate::rig::relay::{Mode, Relay};
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

const VOTERS: usize = 3;
const ANSWERS: Duration = Duration::from_millis(1500);
const LOOK: Duration = Duration::from_millis(50);
/// The name of a copy within its folder.
const COPY: &str = "replica";
const OLDER: &str = "replica.older";

/// What a process finds on its disk when it starts again.
#[derive(Clone, Copy, Debug)]
pub enum Disk {
    Own,
    Empty,
    Spoilt,
    /// As it was some while before.
    Older,
    /// A copy of another's.
    Of(usize),
}

impl Disk {
    /// Whether orders that only this process had may be gone.
    pub fn loses(self) -> bool {
        !matches!(self, Disk::Own)
    }
}

struct Process {
    name: String,
    config: PathBuf,
    folder: PathBuf,
    log: PathBuf,
    address: SocketAddr,
    replication: SocketAddr,
    /// To each other one, in the order of places.
    relays: Vec<Option<Relay>>,
    child: Option<Child>,
    /// When it was killed, in seconds of Unix time.
    killed: Vec<f64>,
    ended: Option<String>,
}

pub struct Group {
    program: PathBuf,
    processes: Vec<Process>,
    folder: TempDir,
}

impl Group {
    pub async fn start(count: usize, nodes: &Nodes, program: &Path) -> Result<Group> {
        let folder = tempfile::tempdir().context("a folder for the processes")?;
        let mut home = Home::new();
        let names: Vec<String> = (0..count).map(|at| format!("p{:02}", at + 1)).collect();
        let replication: Vec<SocketAddr> = names.iter().map(|_| home.next()).collect();
        let voters: BTreeMap<&String, String> =
            names.iter().take(VOTERS).map(|name| (name, home.next().to_string())).collect();
        let mut processes = Vec::new();
        for (at, name) in names.iter().enumerate() {
            let mut relays = Vec::new();
            for (other, address) in replication.iter().enumerate() {
                relays.push(if other == at { None } else { Some(Relay::start(*address).await?) });
            }
            let peers: BTreeMap<&String, String> = names
                .iter()
                .zip(relays.iter().zip(&replication))
                .map(|(name, (relay, own))| {
                    (name, relay.as_ref().map_or(*own, |relay| relay.address).to_string())
                })
                .collect();
            let own = folder.path().join(name);
            let address = home.next();
            let mut json = configuration(name, address, home.next(), nodes);
            json["fleet"] = json!({
                "name": "replicas", "voters": voters, "folder": own.join("voter"),
                "replication": {"peers": peers, "listen": replication[at].to_string(), "folder": own.join("copy")},
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
                replication: replication[at],
                relays,
                child: None,
                killed: Vec::new(),
                ended: None,
            });
        }
        let mut group = Group { program: program.into(), processes, folder };
        (0..count).try_for_each(|at| group.spawn(at))?;
        Ok(group)
    }

    pub fn spawn(&mut self, at: usize) -> Result<()> {
        let process = &mut self.processes[at];
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

    /// Killed as it stands; where its disk may become older later, this is what it was.
    pub async fn kill(&mut self, at: usize) {
        let process = &mut self.processes[at];
        if let Some(mut child) = process.child.take() {
            if let Ok(Some(status)) = child.try_wait() {
                process.ended = Some(status.to_string());
            }
            let _ = child.kill().await;
            process.killed.push(unix_seconds());
        }
        let copy = process.folder.join("copy");
        let older = copy.join(OLDER);
        if !older.exists() {
            let _ = std::fs::copy(copy.join(COPY), older);
        }
    }

    pub fn signal(&self, at: usize, signal: Signal) {
        let id = self.processes[at].child.as_ref().and_then(Child::id);
        if let Some(id) = id.and_then(|id| i32::try_from(id).ok()) {
            let _ = kill(Pid::from_raw(id), signal);
        }
    }

    /// Of a process that is down. The bans in its private folder go with a disk that is lost.
    pub fn lay_disk(&self, at: usize, disk: Disk) -> Result<()> {
        let copy = |at: usize, name: &str| self.processes[at].folder.join("copy").join(name);
        let own = copy(at, COPY);
        match disk {
            Disk::Own => return Ok(()),
            Disk::Empty => _ = std::fs::remove_file(&own),
            Disk::Spoilt => std::fs::write(&own, b"pumicebr, and then nothing of use")?,
            Disk::Older => _ = std::fs::copy(copy(at, OLDER), &own),
            Disk::Of(other) => _ = std::fs::copy(copy(other, COPY), &own),
        }
        let private = self.processes[at].folder.join("tmp");
        std::fs::remove_dir_all(&private)?;
        Ok(std::fs::create_dir_all(&private)?)
    }

    /// What happens to what passes between these and all others.
    pub fn set_links(&self, proxies: &[usize], mode: Mode) {
        for (at, process) in self.processes.iter().enumerate() {
            for (other, relay) in process.relays.iter().enumerate() {
                let between = proxies.contains(&at) != proxies.contains(&other);
                relay.iter().filter(|_| between).for_each(|relay| relay.set(mode));
            }
        }
    }

    /// All links pass, all processes run.
    pub async fn heal(&mut self) -> Result<()> {
        let relays = self.processes.iter().flat_map(|process| process.relays.iter().flatten());
        relays.for_each(|relay| relay.set(Mode::Pass));
        (0..self.processes.len()).try_for_each(|at| self.spawn(at))
    }

    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.processes.iter().map(|process| process.address).collect()
    }

    /// Those that answer.
    pub async fn statuses(&self) -> Vec<Status> {
        let mut asked = JoinSet::new();
        for process in &self.processes {
            let at = process.replication;
            asked.spawn(async move {
                let wanted = |frame| match frame {
                    Frame::ReplicationStatus(status) => Some(*status),
                    _ => None,
                };
                ask(at, Frame::ReplicationStatusRequest, wanted).await
            });
        }
        asked.join_all().await.into_iter().flatten().collect()
    }

    /// All answer, and have the same copy.
    pub async fn until_equal(&self, within: Duration) -> Result<()> {
        let until = Instant::now() + within;
        loop {
            let statuses = self.statuses().await;
            let equal = statuses.windows(2).all(|two| two[0].digest == two[1].digest);
            let linked = statuses.iter().all(|status| !status.linked_peers.is_empty());
            if equal && linked && statuses.len() == self.processes.len() {
                return Ok(());
            }
            if Instant::now() > until {
                bail!("{} of {} are there\n{}", statuses.len(), self.processes.len(), self.last_lines());
            }
            sleep(LOOK).await;
        }
    }

    /// An operator's order at this proxy: its stamp, if it was given.
    pub async fn order(&self, at: usize, order: &Order) -> Option<Stamp> {
        let call = MaintenanceOrder {
            node: order.node.clone(),
            out_of_service: order.out,
            lease: order.lease.clone(),
        };
        let wanted = |frame| match frame {
            Frame::MaintenanceAnswer(answer) => Some(*answer),
            _ => None,
        };
        match ask(self.processes[at].replication, Frame::MaintenanceOrder(Box::new(call)), wanted).await? {
            MaintenanceAnswer::Applied(stamp) => Some(stamp),
            MaintenanceAnswer::Refused(_) => None,
        }
    }

    /// When each proxy held which node out of service, by its log.
    pub fn maintenance(&self) -> Vec<Held> {
        let each = self.processes.iter().enumerate();
        each.flat_map(|(proxy, process)| {
            let log = std::fs::read_to_string(&process.log).unwrap_or_default();
            held(proxy, &log, &process.killed)
        })
        .collect()
    }

    /// Processes that nobody killed and that are gone.
    pub fn ended_by_themselves(&mut self) -> Vec<String> {
        let mut ended = Vec::new();
        for process in &mut self.processes {
            let now = process.child.as_mut().and_then(|child| child.try_wait().ok().flatten());
            let how = process.ended.clone().or(now.map(|status| status.to_string()));
            ended.extend(how.map(|how| format!("{} ended by itself: {how}", process.name)));
        }
        ended
    }

    fn last_lines(&self) -> String {
        let _ = &self.folder;
        let log =
            self.processes.first().map(|process| std::fs::read_to_string(&process.log).unwrap_or_default());
        log.unwrap_or_default().lines().rev().take(10).collect::<Vec<_>>().join("\n")
    }
}

/// Asks a process on a link of its own, as a command does.
async fn ask<T>(at: SocketAddr, frame: Frame, wanted: impl Fn(Frame) -> Option<T>) -> Option<T> {
    let asked = async {
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
    timeout(ANSWERS, asked).await.ok().flatten()
}

fn configuration(name: &str, listen: SocketAddr, nobody: SocketAddr, nodes: &Nodes) -> Json {
    let target = |uid: String, endpoint: SocketAddr, model: &str| {
        json!({"uid": uid, "endpoint": endpoint.to_string(), "az": "a", "model": model, "pod_group": 0,
               "state": "active", "capacity_hint": 1.0, "boot_ms": 0})
    };
    let caches = nodes.caches.iter().enumerate();
    let mut targets: Vec<Json> = caches.map(|(node, at)| target(uid(node), *at, "cache")).collect();
    targets.push(target("origin".into(), nodes.origin, "origin"));
    json!({
        "name": name, "listen": listen.to_string(), "discovery": nobody.to_string(),
        "limits": {"sockets": 512, "memory_mb": 64},
        "known": {"rev": 1, "all": true, "targets": targets},
        "settings": {
            "fleet-size": 1, "me": 0, "skus": ["cache", "origin"], "failure-domains": ["a"],
            "domain": {"mode": "aside", "origin-kind": 1},
            // A node that is put back is warm at once: that it serves again is seen.
            "rules": {"cold-us": 1000},
            "routes": [{"name": "read", "effect": "repeatable", "payoff": 1.0,
                        "latency-objective-us": 500_000, "overall-timeout-us": 1_000_000}]
        }
    })
}

/// What a proxy's log says of nodes going out of service and coming back; a kill ends what was held.
fn held(proxy: usize, log: &str, killed: &[f64]) -> Vec<Held> {
    let mut held: Vec<Held> = Vec::new();
    for line in log.lines() {
        let Some((at, words)) = line.split_once("maintenance: ") else { continue };
        let Some(at) = at.split_whitespace().next().and_then(unix_of) else { continue };
        let mut words = words.split_whitespace();
        let (Some(node), Some(what)) = (words.next(), words.next()) else { continue };
        let until = killed.iter().copied().find(|killed| *killed > at).unwrap_or(f64::INFINITY);
        let open = held.iter_mut().find(|held| held.node == node && held.until > at);
        match (what, open) {
            ("out", None) => held.push(Held { proxy, node: node.into(), from: at, until }),
            ("back", Some(open)) => open.until = at,
            _ => {}
        }
    }
    held
}

/// Unix time of a log line's time in UTC, `2026-12-02T06:23:49.123456Z`, in seconds.
fn unix_of(text: &str) -> Option<f64> {
    let (date, time) = text.strip_suffix('Z')?.split_once('T')?;
    let mut date = date.split('-').map(|part| part.parse::<i64>().ok());
    let (year, month, day) = (date.next()??, date.next()??, date.next()??);
    let mut time = time.split(':').map(|part| part.parse::<f64>().ok());
    let seconds = time.next()?? * 3600.0 + time.next()?? * 60.0 + time.next()??;
    // Days since 1970 of a date of the Gregorian calendar, with years that begin in March.
    let (year, month) = if month > 2 { (year, month - 3) } else { (year - 1, month + 9) };
    let days = 365 * year + year / 4 - year / 100 + year / 400 + (153 * month + 2) / 5 + day - 1 - 719_468;
    Some(days as f64 * 86_400.0 + seconds)
}
