//! The processes of a run: proxies that serve, and commands that acquire leases again and again. Each
//! connects to the voters through relays of its own. All processes are ended by their ids, also when a run
//! fails.

use super::plan::{Fault, Kind, Plan};
use super::recorder::Recorder;
use super::relay::{LinkMode, Relay};
use super::{Programs, affects_disk, sleep_at_most};
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

/// Between two checks for processes that have ended.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// How long the processes may take to start and the fleet to be bootstrapped.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
/// Number of log lines shown for each process.
const LOG_LINES_SHOWN: usize = 25;
/// The delay of [`Kind::Delay`], for each chunk.
const LINK_DELAY: Duration = Duration::from_millis(150);
/// From the fleet's bootstrap until all links are taken to be up.
const CONNECT_TIME: Duration = Duration::from_secs(3);

/// Voters' names and addresses, as in the configuration.
type AddressMap = serde_json::Map<String, Json>;

/// One process with its files and relays.
struct FleetProcess {
    name: String,
    config: PathBuf,
    folder: PathBuf,
    log: PathBuf,
    /// The running process; `None` while there is none.
    child: Option<Child>,
    /// Whether a fault keeps it from being started again.
    held_down: bool,
    /// For a command: the lease that it acquires. `None` for a proxy.
    lease: Option<String>,
    /// The relays to the other voters, by the voter's name.
    relays: BTreeMap<String, Relay>,
}

/// All processes of a run.
pub struct FleetProcesses {
    plan: Plan,
    programs: Programs,
    /// Addresses for everything in this run that listens.
    addresses: LoopbackAddresses,
    recorder_address: SocketAddr,
    processes: Vec<FleetProcess>,
    /// Where each voter and each spare listens itself, behind the relays.
    pub voter_addresses: BTreeMap<String, SocketAddr>,
    /// The operator endpoint of the last proxy.
    operator_address: Option<SocketAddr>,
    /// Bytes and frames per second while no process wanted a lease.
    pub idle_traffic: Option<(f64, f64)>,
    /// Proxies that ended though no fault ended them.
    unexpected_exits: Vec<String>,
    rng: SmallRng,
    folder: TempDir,
}

impl FleetProcesses {
    /// Starts the proxies, bootstraps the fleet, measures the idle traffic if the plan has an idle period,
    /// and then starts the commands. Returns an error if a process can't be started or the fleet is not
    /// bootstrapped in time.
    pub async fn start(
        plan: &Plan,
        seed: u64,
        programs: Programs,
        recorder: &Recorder,
    ) -> Result<FleetProcesses> {
        let folder = tempfile::tempdir().context("a folder for the processes")?;
        let (mut voters, mut addresses) = (BTreeMap::new(), LoopbackAddresses::new());
        for number in 1..=plan.voters + plan.spares {
            voters.insert(format!("p{number}"), addresses.next());
        }
        let rng = SmallRng::seed_from_u64(seed ^ 0x5eed);
        let (plan, address, unexpected_exits) = (plan.clone(), recorder.address, Vec::new());
        let mut all = FleetProcesses {
            plan,
            programs,
            addresses,
            recorder_address: address,
            processes: Vec::new(),
            voter_addresses: voters,
            operator_address: None,
            idle_traffic: None,
            unexpected_exits,
            rng,
            folder,
        };
        for name in all.plan.process_names() {
            let lease = name.strip_prefix('a').and_then(|number| number.parse::<usize>().ok());
            let lease = lease.map(|number| format!("lease{}", (number - 1) % all.plan.leases));
            all.add_process(&name, lease).await?;
        }
        for index in 0..all.plan.processes {
            all.spawn(index)?;
        }
        all.run_operator_command(&["found"]).await?;
        if all.plan.idle_seconds > 0.0 {
            sleep(CONNECT_TIME).await;
            let ((bytes, frames), since) = (all.traffic(), Instant::now());
            sleep(Duration::from_secs_f64(all.plan.idle_seconds)).await;
            let (now, seconds) = (all.traffic(), since.elapsed().as_secs_f64());
            all.idle_traffic = Some(((now.0 - bytes) as f64 / seconds, (now.1 - frames) as f64 / seconds));
        }
        recorder.start_clock();
        for index in all.plan.processes..all.processes.len() {
            all.spawn(index)?;
        }
        Ok(all)
    }

    /// Writes the configuration of a process and starts its relays, but not the process.
    async fn add_process(&mut self, name: &str, lease: Option<String>) -> Result<()> {
        let max_error = self.plan.max_clock_error_ppm;
        let (listen, discovery) = (self.addresses.next().to_string(), self.addresses.next().to_string());
        let clock = if max_error > 0 { self.rng.random_range(-max_error..=max_error) } else { 0 };
        let (fleet_section, relays) = self.fleet_section(name, clock).await?;
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
        // The node that operator calls take out of service; nothing listens at its address.
        let node = json!({"uid": "n1", "endpoint": "127.0.0.1:1", "az": "a", "model": "cache", "state": "active",
                          "boot_ms": 0});
        json["known"] = json!({"rev": 1, "all": true, "targets": [node]});
        if lease.is_none() {
            let operator_address = self.addresses.next();
            json["operator"] = json!(operator_address.to_string());
            self.operator_address = Some(operator_address);
        }
        json["fleet"] = fleet_section;
        json["fleet"]["folder"] = json!(folder);
        std::fs::write(&config, json.to_string())?;
        let log = folder.with_extension("log");
        let name = name.into();
        self.processes.push(FleetProcess {
            name,
            config,
            folder,
            log,
            child: None,
            held_down: false,
            lease,
            relays,
        });
        Ok(())
    }

    /// Addresses of the voters and of the spares, without relays.
    pub fn direct_addresses(&self) -> (AddressMap, AddressMap) {
        self.split_spares(
            self.voter_addresses.iter().map(|(name, at)| (name.clone(), json!(at.to_string()))).collect(),
        )
    }

    /// Separates the voters' addresses from the spares'.
    fn split_spares(&self, addresses: AddressMap) -> (AddressMap, AddressMap) {
        addresses
            .into_iter()
            .partition(|(name, _)| self.plan.process_names()[..self.plan.voters].contains(name))
    }

    /// Starts the relays of a process. Returns its configuration section `fleet`, with the relays' addresses,
    /// and the relays.
    async fn fleet_section(&self, name: &str, clock_ppm: i64) -> Result<(Json, BTreeMap<String, Relay>)> {
        let (mut addresses, mut relays) = (serde_json::Map::new(), BTreeMap::new());
        for (voter, at) in &self.voter_addresses {
            if voter == name {
                addresses.insert(voter.clone(), json!(at.to_string()));
                continue;
            }
            let relay = Relay::start(*at).await?;
            addresses.insert(voter.clone(), json!(relay.address.to_string()));
            relays.insert(voter.clone(), relay);
        }
        let Plan { drift_ppm, cautious, .. } = self.plan;
        let (voters, spares) = self.split_spares(addresses);
        let fleet_section = json!({
            "name": "rig", "voters": voters, "spares": spares, "drift-ppm": drift_ppm, "clock-ppm": clock_ppm, "cautious": cautious,
        });
        Ok((fleet_section, relays))
    }

    /// Starts a process that is not running.
    fn spawn(&mut self, index: usize) -> Result<()> {
        let proc = &mut self.processes[index];
        let log = std::fs::OpenOptions::new().create(true).append(true).open(&proc.log)?;
        let mut command = Command::new(&self.programs.proxy);
        match &proc.lease {
            None => _ = command.args(["serve", "--config"]).arg(&proc.config),
            Some(lease) => {
                let time = self.plan.lease_seconds.to_string();
                command.args(["as-proxy", "fleet", "run", "--config"]).arg(&proc.config);
                command.args(["--lease", lease, "--time", &time, "--"]).arg(&self.programs.lab);
                command.args([
                    "act",
                    &self.recorder_address.to_string(),
                    &proc.name,
                    &self.plan.action_ms.to_string(),
                ]);
                command.args(self.operator_address.map(|address| address.to_string()));
            }
        }
        for name in
            ["PROXY_NAME", "PROXY_LISTEN", "PROXY_DISCOVERY", "PROXY_OPERATOR", "PROXY_CONFIG", "PROXY_FD"]
        {
            command.env_remove(name);
        }
        // The process keeps state that has to survive a restart in its private folder below TMPDIR.
        command.env("TMPDIR", self.folder.path());
        command.stdin(Stdio::null()).stdout(log.try_clone()?).stderr(log).kill_on_drop(true);
        proc.child = Some(command.spawn().with_context(|| self.programs.proxy.display().to_string())?);
        Ok(())
    }

    /// Runs an operator's command `fleet` with the configuration of the last proxy, until it succeeds or time
    /// is up.
    async fn run_operator_command(&self, arguments: &[&str]) -> Result<()> {
        let config = &self.processes[self.plan.processes - 1].config;
        operator_command::fleet(&self.programs.proxy, arguments, config, READY_TIMEOUT).await
    }

    /// Until the given instant, starts commands that have ended again and notes proxies that ended
    /// unexpectedly.
    pub async fn supervise_until(&mut self, until: Instant) -> Result<()> {
        loop {
            for index in 0..self.processes.len() {
                let proc = &mut self.processes[index];
                let Some(status) = proc.child.as_mut().and_then(|child| child.try_wait().ok().flatten())
                else {
                    continue;
                };
                proc.child = None;
                if proc.lease.is_none() && !proc.held_down {
                    self.unexpected_exits.push(format!("{} ended unexpectedly: {status}", proc.name));
                } else if !proc.held_down {
                    self.spawn(index)?;
                }
            }
            if Instant::now() >= until {
                return Ok(());
            }
            sleep_at_most(until, POLL_INTERVAL).await;
        }
    }

    /// The index of the process with this name. Returns an error if there is none.
    fn index_of(&self, name: &str) -> Result<usize> {
        self.processes
            .iter()
            .position(|proc| proc.name == name)
            .with_context(|| format!("no process is named {name:?}"))
    }

    /// Applies a fault. Returns an error if its process does not exist or the fault can't be applied.
    pub async fn begin_fault(&mut self, fault: &Fault) -> Result<()> {
        let index = self.index_of(&fault.who)?;
        let link = match fault.kind {
            Kind::Drop => Some(LinkMode::Drop { there: true, back: true }),
            Kind::OneWay => {
                let there = self.rng.random_bool(0.5);
                Some(LinkMode::Drop { there, back: !there })
            }
            Kind::Reset => Some(LinkMode::Reset),
            Kind::Delay => Some(LinkMode::Delay(LINK_DELAY)),
            Kind::Slow => Some(LinkMode::Slow),
            Kind::Cut => Some(LinkMode::Cut),
            Kind::HalfOpen => Some(LinkMode::HalfOpen),
            _ => None,
        };
        if let Some(mode) = link {
            self.set_link_mode(fault, mode);
            return Ok(());
        }
        match fault.kind {
            Kind::Stop => self.signal(index, Signal::SIGSTOP),
            Kind::Replace => {
                let new = fault.to.as_deref().context("a replacement without a spare")?;
                self.run_operator_command(&["replace", &fault.who, new]).await?;
            }
            Kind::Full => {
                // File permissions don't stop root: a folder in place of the file that the voter wants to
                // create does.
                let new = self.processes[index].folder.join("voter.new");
                let _ = std::fs::remove_file(&new);
                std::fs::create_dir_all(new)?;
            }
            kind => {
                if kind == Kind::SetBack {
                    // The voter writes more after the copy is made and before the process is killed.
                    copy(
                        &self.processes[index].folder.join("voter"),
                        &self.processes[index].folder.join("copy"),
                    );
                    sleep(Duration::from_secs_f64(fault.seconds / 2.0)).await;
                }
                self.processes[index].held_down = true;
                if let Some(mut child) = self.processes[index].child.take() {
                    child.kill().await?;
                }
                if affects_disk(kind) {
                    self.damage_disk(index, kind)?;
                }
            }
        }
        Ok(())
    }

    /// Undoes a fault. Returns an error if a process can't be started again.
    pub async fn end_fault(&mut self, fault: &Fault) -> Result<()> {
        let index = self.index_of(&fault.who)?;
        match fault.kind {
            Kind::Stop => self.signal(index, Signal::SIGCONT),
            Kind::Replace => {}
            Kind::Full => _ = std::fs::remove_dir(self.processes[index].folder.join("voter.new")),
            Kind::Kill | Kind::Empty | Kind::SetBack | Kind::Spoil => {
                self.processes[index].held_down = false;
                if self.processes[index].child.is_none() {
                    self.spawn(index)?;
                }
            }
            _ => self.set_link_mode(fault, LinkMode::Pass),
        }
        Ok(())
    }

    /// Removes, sets back or corrupts what a stopped voter has on its disk.
    fn damage_disk(&mut self, index: usize, kind: Kind) -> Result<()> {
        let folder = &self.processes[index].folder;
        let file = folder.join("voter");
        match kind {
            Kind::Empty => std::fs::remove_dir_all(folder)?,
            Kind::SetBack => copy(&folder.join("copy"), &file),
            _ => {
                let mut bytes = std::fs::read(&file).unwrap_or_default();
                let place = self.rng.random_range(0..bytes.len().max(1));
                if self.rng.random_bool(0.5) {
                    bytes.truncate(place);
                } else if let Some(byte) = bytes.get_mut(place) {
                    *byte ^= 1 << self.rng.random_range(0..8);
                }
                std::fs::write(&file, bytes)?;
            }
        }
        Ok(())
    }

    /// Sets the mode of the links that a fault affects: the one link to `fault.to`, or else all links that
    /// the process dials and, for a voter, those that others dial to it.
    fn set_link_mode(&self, fault: &Fault, mode: LinkMode) {
        for proc in &self.processes {
            for (voter, relay) in &proc.relays {
                let hit = match &fault.to {
                    Some(to) => proc.name == fault.who && voter == to,
                    None => proc.name == fault.who || *voter == fault.who,
                };
                if hit {
                    relay.set_mode(mode);
                }
            }
        }
    }

    /// Sends a signal to a process, if it runs.
    fn signal(&self, index: usize, signal: Signal) {
        let id =
            self.processes[index].child.as_ref().and_then(Child::id).and_then(|id| i32::try_from(id).ok());
        if let Some(id) = id {
            let _ = kill(Pid::from_raw(id), signal);
        }
    }

    /// Ends all processes. Returns the proxies that ended unexpectedly during the run.
    pub async fn stop(&mut self) -> Vec<String> {
        for index in 0..self.processes.len() {
            self.processes[index].held_down = true;
            self.signal(index, Signal::SIGCONT);
            // On SIGTERM a command ends the program that it runs; if it were killed, its guard process would
            // have to do that.
            self.signal(index, Signal::SIGTERM);
        }
        let until = Instant::now() + Duration::from_secs(2);
        for proc in &mut self.processes {
            if let Some(mut child) = proc.child.take()
                && tokio::time::timeout_at(until, child.wait()).await.is_err()
            {
                let _ = child.kill().await;
            }
        }
        std::mem::take(&mut self.unexpected_exits)
    }

    /// Bytes and frames over all links so far.
    pub fn traffic(&self) -> (u64, u64) {
        let all = self.processes.iter().flat_map(|proc| proc.relays.values()).map(Relay::traffic);
        all.fold((0, 0), |(bytes, frames), one| (bytes + one.0, frames + one.1))
    }

    /// The last lines about the fleet from each proxy's log.
    pub fn logs(&self) -> Vec<String> {
        let last = |proc: &FleetProcess| {
            let text = std::fs::read_to_string(&proc.log).unwrap_or_default();
            let lines: Vec<&str> = text.lines().filter(|line| line.contains("fleet")).collect();
            format!("{}:\n{}", proc.name, lines[lines.len().saturating_sub(LOG_LINES_SHOWN)..].join("\n"))
        };
        self.processes.iter().filter(|proc| proc.lease.is_none()).map(last).collect()
    }
}

/// Copies a file, if it exists.
fn copy(from: &Path, to: &Path) {
    // A file that has not been written yet can't be set back.
    let _ = std::fs::copy(from, to);
}

/// Loopback addresses that only this run uses, with ports outside the range that the system assigns: a port
/// that was merely found free may be taken by another process by the time it is used.
pub(crate) struct LoopbackAddresses(Ipv4Addr, u16);

impl LoopbackAddresses {
    /// Addresses for another run of this process.
    pub(crate) fn new() -> LoopbackAddresses {
        static RUNS: AtomicU8 = AtomicU8::new(1);
        let run = RUNS.fetch_add(1, Ordering::Relaxed).max(1);
        let [high, low] = (std::process::id() as u16).to_be_bytes();
        LoopbackAddresses(Ipv4Addr::new(127, high.max(1), low, run), 20_000)
    }

    /// An address that has not been returned before.
    pub(crate) fn next(&mut self) -> SocketAddr {
        self.1 += 1;
        SocketAddr::from((self.0, self.1))
    }
}
