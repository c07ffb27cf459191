//! The processes of a play: proxies that serve, and commands that want leases again and again. Each calls the voters
//! through relays of its own. All are ended, by their ids, whatever happens.

use super::plan::{Fault, Kind, Plan};
use super::relay::{Mode, Relay};
use super::witness::Witness;
use super::{Programs, of_disk, pause};
use crate::operator_command;
use anyhow::{Context, Result};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use serde_json::{Value as Json, json};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;
use tempfile::TempDir;
use tokio::process::{Child, Command};
use tokio::time::{Instant, sleep};

const LOOK: Duration = Duration::from_millis(50);
/// How long a process may take to be there, and the fleet to be founded.
const READY: Duration = Duration::from_secs(10);
/// Lines of a log that are shown.
const LINES: usize = 25;
const DELAY: Duration = Duration::from_millis(150);
/// From the founding until all links are up.
const SETTLED: Duration = Duration::from_secs(3);

/// Names and addresses as the configuration has them.
type Called = serde_json::Map<String, Json>;

struct Proc {
    name: String,
    config: PathBuf,
    folder: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    /// Whether a fault keeps it down.
    down: bool,
    /// Of a command: the lease that it wants.
    lease: Option<String>,
    relays: BTreeMap<String, Relay>,
}

pub struct Procs {
    plan: Plan,
    programs: Programs,
    /// Where all of this play listens.
    home: Home,
    witness: SocketAddr,
    procs: Vec<Proc>,
    /// Where each that may vote really listens, the spares too.
    pub voters: BTreeMap<String, SocketAddr>,
    /// The operators' door of the last proxy.
    door: Option<SocketAddr>,
    /// Bytes and frames a second while nobody wanted anything.
    pub idle: Option<(f64, f64)>,
    notes: Vec<String>,
    random: SmallRng,
    folder: TempDir,
}

impl Procs {
    pub async fn start(plan: &Plan, seed: u64, programs: Programs, witness: &Witness) -> Result<Procs> {
        let folder = tempfile::tempdir().context("a folder for the processes")?;
        let (mut voters, mut home) = (BTreeMap::new(), Home::new());
        for number in 1..=plan.voters + plan.spares {
            voters.insert(format!("p{number}"), home.next());
        }
        let random = SmallRng::seed_from_u64(seed ^ 0x5eed);
        let (plan, address, notes) = (plan.clone(), witness.address, Vec::new());
        let mut all = Procs {
            plan,
            programs,
            home,
            witness: address,
            procs: Vec::new(),
            voters,
            door: None,
            idle: None,
            notes,
            random,
            folder,
        };
        for name in all.plan.names() {
            let lease = name.strip_prefix('a').and_then(|number| number.parse::<usize>().ok());
            let lease = lease.map(|number| format!("lease{}", (number - 1) % all.plan.leases));
            all.add(&name, lease).await?;
        }
        for at in 0..all.plan.processes {
            all.spawn(at)?;
        }
        all.asked(&["found"]).await?;
        if all.plan.idle_seconds > 0.0 {
            sleep(SETTLED).await;
            let ((bytes, frames), since) = (all.carried(), Instant::now());
            sleep(Duration::from_secs_f64(all.plan.idle_seconds)).await;
            let (now, seconds) = (all.carried(), since.elapsed().as_secs_f64());
            all.idle = Some(((now.0 - bytes) as f64 / seconds, (now.1 - frames) as f64 / seconds));
        }
        witness.begin();
        for at in all.plan.processes..all.procs.len() {
            all.spawn(at)?;
        }
        Ok(all)
    }

    async fn add(&mut self, name: &str, lease: Option<String>) -> Result<()> {
        let ppm = self.plan.clocks_ppm;
        let (listen, discovery) = (self.home.next().to_string(), self.home.next().to_string());
        let clock = if ppm > 0 { self.random.random_range(-ppm..=ppm) } else { 0 };
        let (section, relays) = self.section(name, clock).await?;
        let folder = self.folder.path().join(name);
        let config = folder.with_extension("json");
        let mut json = json!({
            "name": name, "listen": listen, "discovery": discovery,
            "limits": {"sockets": 512, "memory_mb": 64},
            "settings": {
                "fleet-size": 1, "me": 0, "skus": ["cache", "origin"], "failure-domains": ["a"],
                "domain": {"mode": "aside", "origin-kind": 1},
                "routes": [{"name": "read", "effect": "repeatable", "payoff": 1.0,
                            "latency-objective-us": 150_000, "overall-timeout-us": 1_000_000}]
            }
        });
        // A node that calls at the operators' door can be about; nobody is there.
        let node = json!({"uid": "n1", "endpoint": "127.0.0.1:1", "az": "a", "model": "cache", "state": "active",
                          "boot_ms": 0});
        json["known"] = json!({"rev": 1, "all": true, "targets": [node]});
        if lease.is_none() {
            let door = self.home.next();
            json["operator"] = json!(door.to_string());
            self.door = Some(door);
        }
        json["fleet"] = section;
        json["fleet"]["folder"] = json!(folder);
        std::fs::write(&config, json.to_string())?;
        let log = folder.with_extension("log");
        let name = name.into();
        self.procs.push(Proc { name, config, folder, log, child: None, down: false, lease, relays });
        Ok(())
    }

    /// Where the voters and the spares are called without relays.
    pub fn called(&self) -> (Called, Called) {
        self.split(self.voters.iter().map(|(name, at)| (name.clone(), json!(at.to_string()))).collect())
    }

    fn split(&self, called: Called) -> (Called, Called) {
        called.into_iter().partition(|(name, _)| self.plan.names()[..self.plan.voters].contains(name))
    }

    /// A section `fleet` whose links go through relays of its own.
    async fn section(&self, name: &str, clock_ppm: i64) -> Result<(Json, BTreeMap<String, Relay>)> {
        let (mut called, mut relays) = (serde_json::Map::new(), BTreeMap::new());
        for (voter, at) in &self.voters {
            if voter == name {
                called.insert(voter.clone(), json!(at.to_string()));
                continue;
            }
            let relay = Relay::start(*at).await?;
            called.insert(voter.clone(), json!(relay.address.to_string()));
            relays.insert(voter.clone(), relay);
        }
        let Plan { drift_ppm, cautious, .. } = self.plan;
        let (voters, spares) = self.split(called);
        let section = json!({
            "name": "rig", "voters": voters, "spares": spares, "drift-ppm": drift_ppm, "clock-ppm": clock_ppm, "cautious": cautious,
        });
        Ok((section, relays))
    }

    fn spawn(&mut self, at: usize) -> Result<()> {
        let proc = &mut self.procs[at];
        let log = std::fs::OpenOptions::new().create(true).append(true).open(&proc.log)?;
        let mut command = Command::new(&self.programs.proxy);
        match &proc.lease {
            None => _ = command.args(["serve", "--config"]).arg(&proc.config),
            Some(lease) => {
                let time = self.plan.lease_seconds.to_string();
                command.args(["as-proxy", "fleet", "run", "--config"]).arg(&proc.config);
                command.args(["--lease", lease, "--time", &time, "--"]).arg(&self.programs.lab);
                command.args(["act", &self.witness.to_string(), &proc.name, &self.plan.act_ms.to_string()]);
                command.args(self.door.map(|door| door.to_string()));
            }
        }
        for name in
            ["PROXY_NAME", "PROXY_LISTEN", "PROXY_DISCOVERY", "PROXY_OPERATOR", "PROXY_CONFIG", "PROXY_FD"]
        {
            command.env_remove(name);
        }
        // Its private folder, where what it has to know over a restart lies.
        command.env("TMPDIR", self.folder.path());
        command.stdin(Stdio::null()).stdout(log.try_clone()?).stderr(log).kill_on_drop(true);
        proc.child = Some(command.spawn().with_context(|| self.programs.proxy.display().to_string())?);
        Ok(())
    }

    /// What an operator asks of the fleet, by the configuration of its last proxy.
    async fn asked(&self, words: &[&str]) -> Result<()> {
        let config = &self.procs[self.plan.processes - 1].config;
        operator_command::fleet(&self.programs.proxy, words, config, READY).await
    }

    /// Starts commands that ended again, and notices proxies that did, until then.
    pub async fn look_after_until(&mut self, until: Instant) -> Result<()> {
        loop {
            for at in 0..self.procs.len() {
                let proc = &mut self.procs[at];
                let Some(status) = proc.child.as_mut().and_then(|child| child.try_wait().ok().flatten())
                else {
                    continue;
                };
                proc.child = None;
                if proc.lease.is_none() && !proc.down {
                    self.notes.push(format!("{} ended by itself: {status}", proc.name));
                } else if !proc.down {
                    self.spawn(at)?;
                }
            }
            if Instant::now() >= until {
                return Ok(());
            }
            pause(until, LOOK).await;
        }
    }

    fn at(&self, name: &str) -> Result<usize> {
        self.procs.iter().position(|proc| proc.name == name).with_context(|| format!("nobody is {name:?}"))
    }

    pub async fn begin(&mut self, fault: &Fault) -> Result<()> {
        let at = self.at(&fault.who)?;
        let link = match fault.kind {
            Kind::Drop => Some(Mode::Drop { there: true, back: true }),
            Kind::OneWay => {
                let there = self.random.random_bool(0.5);
                Some(Mode::Drop { there, back: !there })
            }
            Kind::Reset => Some(Mode::Reset),
            Kind::Delay => Some(Mode::Delay(DELAY)),
            Kind::Slow => Some(Mode::Slow),
            Kind::Cut => Some(Mode::Cut),
            Kind::HalfOpen => Some(Mode::HalfOpen),
            _ => None,
        };
        if let Some(mode) = link {
            self.set(fault, mode);
            return Ok(());
        }
        match fault.kind {
            Kind::Stop => self.signal(at, Signal::SIGSTOP),
            Kind::Replace => {
                let new = fault.to.as_deref().context("an exchange without a spare")?;
                self.asked(&["replace", &fault.who, new]).await?;
            }
            Kind::Full => {
                // Whoever runs this may write anywhere: a folder where the file is to be made stops it all the same.
                let new = self.procs[at].folder.join("voter.new");
                let _ = std::fs::remove_file(&new);
                std::fs::create_dir_all(new)?;
            }
            kind => {
                if kind == Kind::SetBack {
                    // The copy is of now; some more is written before the process dies.
                    copy(&self.procs[at].folder.join("voter"), &self.procs[at].folder.join("copy"));
                    sleep(Duration::from_secs_f64(fault.seconds / 2.0)).await;
                }
                self.procs[at].down = true;
                if let Some(mut child) = self.procs[at].child.take() {
                    child.kill().await?;
                }
                if of_disk(kind) {
                    self.spoil(at, kind)?;
                }
            }
        }
        Ok(())
    }

    pub async fn end(&mut self, fault: &Fault) -> Result<()> {
        let at = self.at(&fault.who)?;
        match fault.kind {
            Kind::Stop => self.signal(at, Signal::SIGCONT),
            Kind::Replace => {}
            Kind::Full => _ = std::fs::remove_dir(self.procs[at].folder.join("voter.new")),
            Kind::Kill | Kind::Empty | Kind::SetBack | Kind::Spoil => {
                self.procs[at].down = false;
                if self.procs[at].child.is_none() {
                    self.spawn(at)?;
                }
            }
            _ => self.set(fault, Mode::Pass),
        }
        Ok(())
    }

    fn spoil(&mut self, at: usize, kind: Kind) -> Result<()> {
        let folder = &self.procs[at].folder;
        let file = folder.join("voter");
        match kind {
            Kind::Empty => std::fs::remove_dir_all(folder)?,
            Kind::SetBack => copy(&folder.join("copy"), &file),
            _ => {
                let mut bytes = std::fs::read(&file).unwrap_or_default();
                let place = self.random.random_range(0..bytes.len().max(1));
                if self.random.random_bool(0.5) {
                    bytes.truncate(place);
                } else if let Some(byte) = bytes.get_mut(place) {
                    *byte ^= 1 << self.random.random_range(0..8);
                }
                std::fs::write(&file, bytes)?;
            }
        }
        Ok(())
    }

    /// All links of a process: those that it dials, and where it votes those that others dial to it.
    fn set(&self, fault: &Fault, mode: Mode) {
        for proc in &self.procs {
            for (voter, relay) in &proc.relays {
                let hit = match &fault.to {
                    Some(to) => proc.name == fault.who && voter == to,
                    None => proc.name == fault.who || *voter == fault.who,
                };
                if hit {
                    relay.set(mode);
                }
            }
        }
    }

    fn signal(&self, at: usize, signal: Signal) {
        let id = self.procs[at].child.as_ref().and_then(Child::id).and_then(|id| i32::try_from(id).ok());
        if let Some(id) = id {
            let _ = kill(Pid::from_raw(id), signal);
        }
    }

    /// Ends all; gives what was noticed on the way.
    pub async fn stop(&mut self) -> Vec<String> {
        for at in 0..self.procs.len() {
            self.procs[at].down = true;
            self.signal(at, Signal::SIGCONT);
            // A command ends what it runs; killed outright it would leave that to its guard.
            self.signal(at, Signal::SIGTERM);
        }
        let until = Instant::now() + Duration::from_secs(2);
        for proc in &mut self.procs {
            if let Some(mut child) = proc.child.take()
                && tokio::time::timeout_at(until, child.wait()).await.is_err()
            {
                let _ = child.kill().await;
            }
        }
        std::mem::take(&mut self.notes)
    }

    /// Bytes and frames over all links.
    pub fn carried(&self) -> (u64, u64) {
        let all = self.procs.iter().flat_map(|proc| proc.relays.values()).map(Relay::carried);
        all.fold((0, 0), |(bytes, frames), one| (bytes + one.0, frames + one.1))
    }

    pub fn logs(&self) -> Vec<String> {
        let last = |proc: &Proc| {
            let text = std::fs::read_to_string(&proc.log).unwrap_or_default();
            let lines: Vec<&str> = text.lines().filter(|line| line.contains("fleet")).collect();
            format!("{}:\n{}", proc.name, lines[lines.len().saturating_sub(LINES)..].join("\n"))
        };
        self.procs.iter().filter(|proc| proc.lease.is_none()).map(last).collect()
    }
}

fn copy(from: &Path, to: &Path) {
    // Nothing written yet is nothing to set back.
    let _ = std::fs::copy(from, to);
}

/// Loopback addresses of this play alone, with ports that the system gives to nobody: one that was only found free may
/// be another's by the time it is used.
pub(crate) struct Home(Ipv4Addr, u16);

impl Home {
    pub(crate) fn new() -> Home {
        static PLAYS: AtomicU8 = AtomicU8::new(1);
        let play = PLAYS.fetch_add(1, Ordering::Relaxed).max(1);
        let [high, low] = (std::process::id() as u16).to_be_bytes();
        Home(Ipv4Addr::new(127, high.max(1), low, play), 20_000)
    }

    pub(crate) fn next(&mut self) -> SocketAddr {
        self.1 += 1;
        SocketAddr::from((self.0, self.1))
    }
}
