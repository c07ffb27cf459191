//! Runs a fleet of real processes on loopback that get their configuration from the carrier, with faults
//! drawn from a seed.
//!
//! Outside the processes, a prober asks each one continuously: at its operator endpoint which version it
//! holds, and as a client which request classes it accepts. An accepted class proves that its change is in
//! force, independent of what the carrier reports.

use super::plan::Plan;
use crate::operator_command;
use crate::rig::processes::LoopbackAddresses;
use crate::rig::relay::{LinkMode, Relay};
use anyhow::{Context, Result, ensure};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use serde::Serialize;
use serde_json::{Value as Json, json};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tempfile::TempDir;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::process::{Child, Command};
use tokio::time::{Instant, sleep, sleep_until, timeout};

/// Largest number of processes: one machine could not serve more within the timeouts below.
const MAX_PROCESSES: usize = 64;
/// Number of voters; they run in the first control machines.
const VOTERS: usize = 3;
/// Pause between two probes of a process.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);
/// Timeout of a probe.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout of the command that founds the fleet, while its processes start.
const START_TIMEOUT: Duration = Duration::from_secs(30);
/// Time for the fleet to form. If a link is lost while processes start on a busy machine, the carrier counts
/// its member as lost for a minute.
const FORMATION_TIMEOUT: Duration = Duration::from_secs(80);
/// Time after the last fault within which all processes must have the newest settled change.
const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(20);
/// Time after the last fault within which the publisher must report that: the carrier keeps lost members for
/// 75 s.
const REPORT_TIMEOUT: Duration = Duration::from_secs(90);
/// Mean time between the starts of two faults, in seconds.
const MEAN_FAULT_GAP: f64 = 3.5;
/// Time before the first fault, in seconds.
const FIRST_FAULT_AT: f64 = 2.0;
/// For this long after a restart a process is not checked: it is counted with its previous state until its
/// old link closes.
const STARTUP_GRACE: Duration = Duration::from_secs(3);
/// Number of changes for which the class of a change stays configured, so that a late process is detected.
const CLASS_WINDOW: u64 = 8;

/// Kind of a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// SIGKILL to a relay, and a restart at the end of the fault.
    KillRelay,
    /// SIGKILL to the control machine that publishes, and a restart at the end of the fault.
    KillPublisher,
    /// SIGKILL to a proxy that is no relay, and a restart at the end of the fault.
    KillLeaf,
    /// SIGSTOP to a relay, and SIGCONT at the end of the fault.
    StopRelay,
    /// All bytes on the links of the carrier from and to the process are dropped.
    Drop,
    /// All bytes on these links are delayed by this many milliseconds.
    Delay(u64),
    /// These links are reset again and again.
    Reset,
}

/// A fault on one process.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Fault {
    /// What fails.
    pub kind: FaultKind,
    /// Start, in seconds after the fleet has formed.
    #[serde(rename = "at")]
    pub start_seconds: f64,
    /// Duration in seconds.
    pub seconds: f64,
    /// Name of the process; `None` for the one that publishes at that time.
    #[serde(rename = "who")]
    pub target: Option<String>,
}

impl Fault {
    fn describe(&self) -> String {
        let target = self.target.as_deref().unwrap_or("the publisher");
        format!("{:?} {target} at {:.1} for {:.1} s", self.kind, self.start_seconds, self.seconds)
    }
}

/// Results of a run.
#[derive(Debug, Serialize)]
pub struct Outcome {
    /// Seed of the run.
    pub seed: u64,
    /// Number of processes.
    pub processes: usize,
    /// Injected faults.
    pub faults: Vec<Fault>,
    /// Number of settled changes.
    pub settled: usize,
    /// Number of changes with an unknown outcome.
    pub unknown: usize,
    /// Number of changes that were not written.
    pub refused: usize,
    /// Error output of the last one that was not written.
    #[serde(rename = "why")]
    pub refusal_reason: String,
    /// Number of reports of `fleet changes` that were compared with probes.
    pub claims: usize,
    /// Seconds from the end of the last fault until all processes had the newest settled change in force.
    pub converged: Option<f64>,
    /// Seconds from the end of the last fault until the publisher reported that.
    #[serde(rename = "said")]
    pub reported: Option<f64>,
    /// Seconds from the settling of a change until it was in force at a process, over all pairs of a change
    /// and a process that ran all the time: median, 99th percentile, maximum.
    pub in_force: (f64, f64, f64),
    /// Number of these pairs.
    pub pairs: usize,
    /// Descriptions of the first 10 violations.
    #[serde(rename = "wrong")]
    pub violations: Vec<String>,
    /// Last log lines of each process that mention the carrier, if there are violations.
    pub logs: Vec<String>,
}

/// Column names of the first line of `Outcome::summary`.
pub fn table_header() -> &'static str {
    "seed  processes  faults  changes  unknown  refused  claims  wrong  converged s  said s  in force s: middle  99 in 100  longest\n"
}

impl Outcome {
    /// Text of the results: a table row, the faults, and the violations.
    pub fn summary(&self) -> String {
        let seconds = |time: Option<f64>| time.map_or("never".into(), |time| format!("{time:.1}"));
        let (median, p99, longest) = self.in_force;
        let mut lines = format!(
            "{:4}  {:9}  {:6}  {:7}  {:7}  {:7}  {:6}  {:5}  {:>11}  {:>6}  {median:18.2}  {p99:9.2}  {longest:7.2}\n",
            self.seed,
            self.processes,
            self.faults.len(),
            self.settled,
            self.unknown,
            self.refused,
            self.claims,
            self.violations.len(),
            seconds(self.converged),
            seconds(self.reported),
        );
        let faults: Vec<String> = self.faults.iter().map(Fault::describe).collect();
        let _ = writeln!(lines, "      {}", faults.join("; "));
        if !self.refusal_reason.is_empty() {
            let _ = writeln!(lines, "      not written: {}", self.refusal_reason);
        }
        for violation in &self.violations {
            let _ = writeln!(lines, "  WRONG: {violation}");
        }
        lines
    }
}

/// Names of the processes: control machines, of which the first three vote, and relays and leaves by site.
struct ProcessNames {
    control: Vec<String>,
    relays: Vec<Vec<String>>,
    leaves: Vec<Vec<String>>,
}

impl ProcessNames {
    fn new(plan: &Plan) -> ProcessNames {
        let control = (1..=plan.control_machines).map(|number| format!("c{number}")).collect();
        let (mut relays, mut leaves) = (vec![Vec::new(); plan.sites], vec![Vec::new(); plan.sites]);
        for number in 0..plan.proxies {
            let (site, turn) = (number % plan.sites, number / plan.sites);
            let relay = turn < plan.relays_per_site;
            let (of, kind) = if relay { (&mut relays, "r") } else { (&mut leaves, "l") };
            of[site].push(format!("{kind}{}-{}", site + 1, turn + 1));
        }
        ProcessNames { control, relays, leaves }
    }
}

/// Draws the faults of a seed, ordered by start; each hits another process than the two before it.
pub fn draw_faults(plan: &Plan, seed: u64) -> Vec<Fault> {
    let (names, mut random) = (ProcessNames::new(plan), SmallRng::seed_from_u64(seed));
    let (relays, leaves) = (names.relays.concat(), names.leaves.concat());
    let proxies = [relays.clone(), leaves.clone()].concat();
    let mut faults: Vec<Fault> = Vec::new();
    let mut at = FIRST_FAULT_AT;
    while at + 2.0 < plan.seconds {
        let kinds = [
            FaultKind::KillRelay,
            FaultKind::KillPublisher,
            FaultKind::KillLeaf,
            FaultKind::StopRelay,
            FaultKind::Drop,
            FaultKind::Delay(random.random_range(100..400)),
            FaultKind::Reset,
        ];
        let kind = *kinds.choose(&mut random).unwrap_or(&FaultKind::KillRelay);
        let of = match kind {
            FaultKind::KillRelay | FaultKind::StopRelay => &relays,
            FaultKind::KillLeaf => &leaves,
            _ => &proxies,
        };
        let hit = of.choose(&mut random).cloned().filter(|_| kind != FaultKind::KillPublisher);
        let seconds = random.random_range(2.0..6.0_f64).min(plan.seconds - at);
        let step = MEAN_FAULT_GAP * random.random_range(0.6..1.4);
        let none = hit.is_none() && kind != FaultKind::KillPublisher;
        if none || faults.iter().rev().take(2).any(|fault| fault.target == hit) {
            continue;
        }
        faults.push(Fault { kind, start_seconds: at, seconds, target: hit });
        at += step;
    }
    faults
}

/// Observations of one incarnation of a process.
#[derive(Default)]
struct Incarnation {
    /// Time of the start.
    started_at: Option<Instant>,
    /// Version that it holds, by its operator endpoint.
    held_version: Option<(u64, u64)>,
    /// Number of the newest change in force, by its classes.
    newest_in_force: u64,
    /// Time when each change was first observed in force.
    first_seen: BTreeMap<u64, Instant>,
    /// Time of its last answer.
    answered_at: Option<Instant>,
}

/// A started process with its addresses and files.
struct ManagedProcess {
    /// Address for clients.
    listen: SocketAddr,
    /// Address of the operator endpoint.
    operator_address: SocketAddr,
    config: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    /// Incarnations so far; the last one is the current one while `child` is set.
    incarnations: Vec<Incarnation>,
    /// TCP relays in front of its possible parents, by name, which inject network faults.
    relays: BTreeMap<String, Relay>,
}

/// Processes and all that was observed of them.
#[derive(Default)]
struct Observations {
    processes: BTreeMap<String, ManagedProcess>,
    /// Number of the newest proposed change; refused and unknown ones have numbers too.
    newest: u64,
    /// Time and version of each settled change, by its number.
    settled: BTreeMap<u64, (Instant, (u64, u64))>,
    unknown: usize,
    refused: usize,
    /// Error output of the last refused change.
    refusal_reason: String,
    claims: usize,
    publisher: Option<String>,
    /// Time and version of the last report that all processes have a version in force.
    reported: Option<(Instant, (u64, u64))>,
    violations: BTreeSet<String>,
}

/// Handle of a running fleet.
#[derive(Clone)]
struct RealFleet {
    program: PathBuf,
    operator_config: PathBuf,
    sites: usize,
    folder: Arc<TempDir>,
    observations: Arc<Mutex<Observations>>,
}

/// Runs a plan on real processes of `program`, with faults drawn from the seed.
///
/// Fails if the plan does not fit real processes, or a process or file can't be created; violations are part
/// of the outcome.
pub fn run(plan: &Plan, seed: u64, program: &Path) -> Result<Outcome> {
    ensure!(
        plan.proxies + plan.control_machines <= MAX_PROCESSES,
        "proxies: expected {MAX_PROCESSES} processes at the most"
    );
    ensure!(plan.control_machines >= VOTERS, "control: expected {VOTERS} or more, the first of them vote");
    ensure!(plan.faults.is_empty(), "fault: the faults of real processes are drawn from the seed");
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build()?;
    let outcome = runtime.block_on(run_async(plan, seed, program));
    runtime.shutdown_timeout(Duration::from_secs(1));
    outcome
}

async fn run_async(plan: &Plan, seed: u64, program: &Path) -> Result<Outcome> {
    let fleet = RealFleet::start(plan, program).await?;
    let names: Vec<String> = fleet.observations().processes.keys().cloned().collect();
    for name in &names {
        let (fleet, name) = (fleet.clone(), name.clone());
        tokio::spawn(async move { fleet.probe(&name).await });
    }
    let claims = fleet.clone();
    tokio::spawn(async move { claims.poll_claims().await });
    let start = Instant::now();
    let second = |seconds: f64| start + Duration::from_secs_f64(seconds);
    let (changes, every) = (fleet.clone(), 1.0 / plan.changes_per_second.max(0.01));
    let last = second(plan.seconds);
    let changing = tokio::spawn(async move {
        let mut next = Instant::now();
        while next < last {
            sleep_until(next).await;
            changes.submit_change().await?;
            next = Instant::now().max(next + Duration::from_secs_f64(every));
        }
        anyhow::Ok(())
    });
    let faults = draw_faults(plan, seed);
    let mut steps: Vec<(f64, bool, usize)> = Vec::new();
    for (at, fault) in faults.iter().enumerate() {
        steps.extend([(fault.start_seconds, true, at), (fault.start_seconds + fault.seconds, false, at)]);
    }
    steps.sort_by(|first, second| first.0.total_cmp(&second.0));
    let mut hit: BTreeMap<usize, String> = BTreeMap::new();
    for (at, begins, number) in steps {
        sleep_until(second(at)).await;
        let fault = &faults[number];
        if begins {
            let publisher = fleet.observations().publisher.clone();
            let target = fault
                .target
                .clone()
                .or(publisher)
                .context("KillPublisher: no control machine has published yet")?;
            fleet.start_fault(fault.kind, &target).await?;
            hit.insert(number, target);
        } else if let Some(target) = hit.remove(&number) {
            fleet.end_fault(fault.kind, &target)?;
        }
    }
    changing.await??;
    let last_fault_ended = Instant::now();
    let (mut converged, mut reported) = (None, None);
    while last_fault_ended.elapsed() < REPORT_TIMEOUT && reported.is_none() {
        fleet.check_exits();
        let after = |instant: Instant| instant.saturating_duration_since(last_fault_ended).as_secs_f64();
        if converged.is_none() {
            converged = fleet.converged_at().map(after);
        }
        reported = fleet.reported_everywhere_at().map(after);
        if converged.is_none() && last_fault_ended.elapsed() > CONVERGENCE_TIMEOUT {
            break;
        }
        sleep(Duration::from_millis(50)).await;
    }
    fleet.stop().await;
    Ok(fleet.outcome(seed, faults, converged, reported))
}

impl RealFleet {
    fn observations(&self) -> MutexGuard<'_, Observations> {
        self.observations.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn start(plan: &Plan, program: &Path) -> Result<RealFleet> {
        let folder =
            Arc::new(tempfile::tempdir().context("creating a temporary directory for the processes")?);
        let operator_config = folder.path().join("operator.json");
        let observations = Arc::new(Mutex::new(Observations::default()));
        let fleet =
            RealFleet { program: program.into(), operator_config, sites: plan.sites, folder, observations };
        let (names, mut home) = (ProcessNames::new(plan), LoopbackAddresses::new());
        let mut at = BTreeMap::new();
        for name in names.control.iter().chain(names.relays.iter().flatten()) {
            at.insert(name.clone(), home.next());
        }
        let votes: BTreeMap<String, SocketAddr> =
            names.control[..VOTERS].iter().map(|name| (name.clone(), home.next())).collect();
        let operator_fleet = json!({"name": "real", "voters": address_map(&votes), "carrier":
            {"control": address_map(&at.iter().filter(|(name, _)| names.control.contains(name))
                .map(|(name, at)| (name.clone(), *at)).collect())}});
        std::fs::write(&fleet.operator_config, json!({"fleet": operator_fleet}).to_string())?;
        let everyone = names.control.iter().map(|name| (name, 0));
        let in_sites = (0..plan.sites).flat_map(|site| {
            names.relays[site].iter().chain(&names.leaves[site]).map(move |name| (name, site))
        });
        for (name, site) in everyone.chain(in_sites) {
            let mut relays = BTreeMap::new();
            for parent in names.control.iter().chain(&names.relays[site]).filter(|parent| *parent != name) {
                relays.insert(parent.clone(), Relay::start(at[parent]).await?);
            }
            let relayed_addresses = |of: &[String]| -> Json {
                let relayed_address =
                    |name: &String| relays.get(name).map_or(at[name], |relay| relay.address);
                address_map(&of.iter().map(|name| (name.clone(), relayed_address(name))).collect())
            };
            let folder = fleet.folder.path().join(name);
            let carrier = json!({
                "control": relayed_addresses(&names.control), "relays": relayed_addresses(&names.relays[site]), "region": "north",
                "site": format!("s{}", site + 1), "folder": folder.join("carrier"),
            });
            let (listen, operator_address) = (home.next(), home.next());
            let config = json!({
                "name": name, "listen": listen, "discovery": home.next(), "operator": operator_address,
                "limits": {"sockets": 256, "memory_mb": 64},
                "settings": {
                    "fleet-size": 1, "me": 0, "skus": ["cache", "origin"], "failure-domains": ["a"],
                    "domain": {"mode": "aside", "origin-kind": 1}, "routes": routes(0),
                    // Present from the start: a patch can't add a section that the file lacks.
                    "permissions": {"most-upstream-tries": 2},
                },
                "fleet": {"name": "real", "zone": "hall", "voters": address_map(&votes), "folder": folder.join("voter"),
                          "carrier": carrier},
            });
            let (file, log) = (folder.with_extension("json"), folder.with_extension("log"));
            std::fs::write(&file, config.to_string())?;
            let process = ManagedProcess {
                listen,
                operator_address,
                config: file,
                log,
                child: None,
                incarnations: Vec::new(),
                relays,
            };
            fleet.observations().processes.insert(name.clone(), process);
            fleet.spawn(name)?;
        }
        operator_command::fleet(&fleet.program, &["found"], &fleet.operator_config, START_TIMEOUT).await?;
        // Waits until all links are up, so that faults start on a complete fleet.
        fleet.wait_until_formed().await?;
        Ok(fleet)
    }

    /// Waits until `fleet changes` reports a complete fleet; fails after `FORMATION_TIMEOUT`.
    async fn wait_until_formed(&self) -> Result<()> {
        let until = Instant::now() + FORMATION_TIMEOUT;
        loop {
            let output = self.fleet_command(&["changes"]).await?;
            if output.status.success() {
                return Ok(());
            }
            let output_text = String::from_utf8_lossy(&output.stdout).to_string()
                + &String::from_utf8_lossy(&output.stderr);
            ensure!(Instant::now() < until, "the fleet did not form before the first fault: {output_text}");
            sleep(PROBE_INTERVAL).await;
        }
    }

    /// Starts a process as a new incarnation.
    fn spawn(&self, name: &str) -> Result<()> {
        let mut observations = self.observations();
        let process =
            observations.processes.get_mut(name).with_context(|| format!("no process is named {name:?}"))?;
        let log = std::fs::OpenOptions::new().create(true).append(true).open(&process.log)?;
        let mut command = Command::new(&self.program);
        command.args(["as-proxy", "serve", "--config"]).arg(&process.config);
        for name in
            ["PROXY_NAME", "PROXY_LISTEN", "PROXY_DISCOVERY", "PROXY_OPERATOR", "PROXY_CONFIG", "PROXY_FD"]
        {
            command.env_remove(name);
        }
        command.env("TMPDIR", self.folder.path());
        command.stdin(Stdio::null()).stdout(log.try_clone()?).stderr(log).kill_on_drop(true);
        process.child = Some(command.spawn().with_context(|| self.program.display().to_string())?);
        process.incarnations.push(Incarnation { started_at: Some(Instant::now()), ..Incarnation::default() });
        Ok(())
    }

    async fn start_fault(&self, kind: FaultKind, target: &str) -> Result<()> {
        match kind {
            FaultKind::KillRelay | FaultKind::KillPublisher | FaultKind::KillLeaf => {
                let child =
                    self.observations().processes.get_mut(target).and_then(|process| process.child.take());
                if let Some(mut child) = child {
                    child.kill().await?;
                }
            }
            FaultKind::StopRelay => self.signal(target, Signal::SIGSTOP),
            FaultKind::Drop => self.set_link_mode(target, LinkMode::Drop { there: true, back: true }),
            FaultKind::Delay(millis) => {
                self.set_link_mode(target, LinkMode::Delay(Duration::from_millis(millis)))
            }
            FaultKind::Reset => self.set_link_mode(target, LinkMode::Reset),
        }
        Ok(())
    }

    fn end_fault(&self, kind: FaultKind, target: &str) -> Result<()> {
        match kind {
            FaultKind::KillRelay | FaultKind::KillPublisher | FaultKind::KillLeaf => {
                let down =
                    self.observations().processes.get(target).is_some_and(|process| process.child.is_none());
                if down {
                    self.spawn(target)?;
                }
            }
            FaultKind::StopRelay => self.signal(target, Signal::SIGCONT),
            _ => self.set_link_mode(target, LinkMode::Pass),
        }
        Ok(())
    }

    fn signal(&self, target: &str, signal: Signal) {
        let observations = self.observations();
        let id =
            observations.processes.get(target).and_then(|process| process.child.as_ref()).and_then(Child::id);
        if let Some(id) = id.and_then(|id| i32::try_from(id).ok()) {
            let _ = kill(Pid::from_raw(id), signal);
        }
    }

    /// Sets the mode of the relays on all links that the process opens and that others open to it.
    fn set_link_mode(&self, target: &str, mode: LinkMode) {
        for (name, process) in &self.observations().processes {
            for (_, relay) in process.relays.iter().filter(|(parent, _)| name == target || *parent == target)
            {
                relay.set_mode(mode);
            }
        }
    }

    /// Records processes that exited without a fault.
    fn check_exits(&self) {
        let mut observations = self.observations();
        let Observations { processes, violations, .. } = &mut *observations;
        for (name, process) in processes {
            if let Some(status) = process.child.as_mut().and_then(|child| child.try_wait().ok().flatten()) {
                process.child = None;
                violations.insert(format!("{name} exited unexpectedly: {status}"));
            }
        }
    }

    /// Runs `pumicebay fleet` with these arguments.
    async fn fleet_command(&self, arguments: &[&str]) -> Result<std::process::Output> {
        let mut command = Command::new(&self.program);
        command.args(["as-proxy", "fleet"]).args(arguments).arg("--config").arg(&self.operator_config);
        Ok(command.stdin(Stdio::null()).kill_on_drop(true).output().await?)
    }

    /// Submits a change that adds a class to the routes of the fleet. Each third change concerns one site
    /// only and adds no class, so it is observed by its version.
    async fn submit_change(&self) -> Result<()> {
        let number = {
            let mut observations = self.observations();
            observations.newest += 1;
            observations.newest
        };
        let of_site = format!("site/s{}", number as usize % self.sites + 1);
        let (scope, patch) = if number % 3 == 2 {
            (of_site.as_str(), json!({"settings": {"permissions": {"most-upstream-tries": 1 + number % 4}}}))
        } else {
            ("fleet", json!({"settings": {"routes": routes(number)}}))
        };
        let file = self.folder.path().join("patch.json");
        std::fs::write(&file, patch.to_string())?;
        let output = self.fleet_command(&["set", scope, "rig", &file.to_string_lossy()]).await?;
        let mut observations = self.observations();
        let text = String::from_utf8_lossy(&output.stdout);
        match (output.status.code(), parse_version(text.trim())) {
            (Some(0), Some(version)) => {
                if let Some((before, (_, was))) = observations.settled.last_key_value()
                    && *was >= version
                {
                    let text = format!(
                        "change {number} settled at version {version:?}, not after change {before} at {was:?}"
                    );
                    observations.violations.insert(text);
                }
                observations.settled.insert(number, (Instant::now(), version));
            }
            (Some(3), _) => observations.unknown += 1,
            _ => {
                observations.refused += 1;
                observations.refusal_reason = String::from_utf8_lossy(&output.stderr).trim().into();
            }
        }
        Ok(())
    }

    /// Probes one process continuously.
    async fn probe(&self, name: &str) {
        loop {
            let now = {
                let observations = self.observations();
                observations.processes.get(name).and_then(|process| {
                    process.child.as_ref().map(|_| {
                        (
                            process.listen,
                            process.operator_address,
                            process.incarnations.len(),
                            observations.newest,
                        )
                    })
                })
            };
            if let Some((listen, operator_address, incarnation, newest)) = now {
                let holds = timeout(ANSWER_TIMEOUT, held_version(operator_address)).await;
                let known = timeout(ANSWER_TIMEOUT, newest_class(listen, newest)).await;
                let mut observations = self.observations();
                if let (Ok(Ok(holds)), Ok(Ok(known))) = (holds, known) {
                    observations.record_probe(name, incarnation, holds, known);
                }
            }
            sleep(PROBE_INTERVAL).await;
        }
    }

    /// Polls the report of the publisher and checks each complete one.
    async fn poll_claims(&self) {
        loop {
            sleep(PROBE_INTERVAL * 2).await;
            let Ok(Ok(output)) =
                timeout(ANSWER_TIMEOUT * 5, self.fleet_command(&["changes", "--json"])).await
            else {
                continue;
            };
            let Ok(claim) = serde_json::from_slice::<Json>(&output.stdout) else { continue };
            let heard = Instant::now();
            if let Some(publisher) = claim["publisher"].as_str() {
                self.observations().publisher = Some(publisher.into());
            }
            if claim["gathered"] == true {
                self.check_claim(&claim, heard).await;
            }
        }
    }

    /// Checks a report: each process that it counts and does not list as an exception must have the change in
    /// force. Processes are probed after the report, which is not stricter than the report, since a change in
    /// force never goes back within an incarnation.
    async fn check_claim(&self, claim: &Json, heard: Instant) {
        let Some(in_force) = claim["in_force"].as_str().and_then(parse_version) else { return };
        let of = claim["version"].as_str().and_then(parse_version);
        let named: BTreeSet<&str> = claim["exceptions"]
            .as_array()
            .into_iter()
            .flatten()
            .filter_map(|one| one["name"].as_str())
            .collect();
        let (wanted, current, all) = {
            let observations = self.observations();
            let settled = |(number, (_, at)): (&u64, &(Instant, (u64, u64)))| {
                (*at <= in_force && number % 3 != 2).then_some(*number)
            };
            let wanted = observations.settled.iter().rev().find_map(settled);
            let past_startup = |incarnation: &Incarnation| {
                incarnation
                    .started_at
                    .is_some_and(|started_at| heard.duration_since(started_at) > STARTUP_GRACE)
            };
            let incarnations = observations.processes.iter().filter(|(name, process)| {
                process.child.is_some()
                    && process.incarnations.last().is_some_and(past_startup)
                    && !named.contains(name.as_str())
            });
            let current: Vec<_> = incarnations
                .map(|(name, process)| (name.clone(), process.listen, process.incarnations.len()))
                .collect();
            (wanted, current, observations.processes.len())
        };
        let Some(wanted) = wanted else { return };
        let newest = self.observations().newest;
        let asked =
            current.iter().map(|(_, listen, _)| timeout(ANSWER_TIMEOUT, newest_class(*listen, newest)));
        let answers = futures_util::future::join_all(asked).await;
        let mut observations = self.observations();
        observations.claims += 1;
        let lacking: Vec<String> = current
            .iter()
            .zip(answers)
            .filter_map(|((name, _, incarnation), answer)| match answer {
                Ok(Ok(Some(known))) if known < wanted && observations.is_current(name, *incarnation) => {
                    Some(format!("{name} has {known}"))
                }
                _ => None,
            })
            .collect();
        let members = claim["members"].as_u64().unwrap_or(0) as usize;
        let unnamed = claim["unnamed"].as_u64().unwrap_or(0) as usize;
        if lacking.len() > all.saturating_sub(members) + unnamed {
            let lacking = lacking.join(", ");
            observations.violations.insert(format!(
                "change {wanted} is reported in force at {members} members, but {lacking}: {claim}"
            ));
        }
        if claim["everywhere"] == true && members == all {
            observations.reported = of.map(|of| (heard, of));
        }
    }

    /// Time when the last process was observed with the newest settled change; `None` while any lacks it.
    fn converged_at(&self) -> Option<Instant> {
        let observations = self.observations();
        let (_, (_, version)) = observations.settled.last_key_value()?;
        let (wanted, _) = observations.settled.iter().rev().find(|(number, _)| *number % 3 != 2)?;
        let mut last = None;
        for process in observations.processes.values() {
            process.child.as_ref()?;
            let incarnation = process.incarnations.last()?;
            if incarnation.held_version? < *version || incarnation.newest_in_force < *wanted {
                return None;
            }
            last = last.max(incarnation.answered_at);
        }
        last
    }

    /// Time of the report that all processes have the newest settled version, if there was one.
    fn reported_everywhere_at(&self) -> Option<Instant> {
        let observations = self.observations();
        let (_, (_, version)) = observations.settled.last_key_value()?;
        observations.reported.filter(|(_, reported)| reported >= version).map(|(at, _)| at)
    }

    async fn stop(&self) {
        let mut children = Vec::new();
        for process in self.observations().processes.values_mut() {
            children.extend(process.child.take());
        }
        for child in &mut children {
            let _ = child.kill().await;
        }
    }

    fn outcome(
        &self,
        seed: u64,
        faults: Vec<Fault>,
        converged: Option<f64>,
        reported: Option<f64>,
    ) -> Outcome {
        let mut observations = self.observations();
        let (mut times, mut violations) = (Vec::new(), std::mem::take(&mut observations.violations));
        for (number, (settled, _)) in observations.settled.iter().filter(|(number, _)| *number % 3 != 2) {
            for incarnation in observations.processes.values().flat_map(|process| &process.incarnations) {
                if incarnation.started_at.is_some_and(|started_at| started_at < *settled)
                    && let Some((_, at)) = incarnation.first_seen.range(number..).next()
                {
                    times.push(at.saturating_duration_since(*settled).as_secs_f64());
                }
            }
        }
        times.sort_by(f64::total_cmp);
        let value_at = |share: f64| {
            times.get(((times.len() as f64 * share) as usize).min(times.len().saturating_sub(1)))
        };
        let quantile = |share: f64| value_at(share).copied().unwrap_or(f64::NAN);
        if converged.is_none_or(|seconds| seconds > CONVERGENCE_TIMEOUT.as_secs_f64()) {
            let behind = observations.processes.iter().map(|(name, process)| {
                let incarnation = process.incarnations.last();
                format!(
                    "{name} {:?} {}",
                    incarnation.and_then(|incarnation| incarnation.held_version),
                    incarnation.map_or(0, |incarnation| incarnation.newest_in_force)
                )
            });
            let behind = behind.collect::<Vec<_>>().join(", ");
            let last =
                observations.settled.last_key_value().map(|(number, (_, version))| (*number, *version));
            violations.insert(format!(
                "not converged within {} s on {last:?} (change, version): {behind}",
                CONVERGENCE_TIMEOUT.as_secs()
            ));
        } else if reported.is_none() {
            violations.insert(format!(
                "in force everywhere, but not reported so within {} s",
                REPORT_TIMEOUT.as_secs()
            ));
        }
        let logs = if violations.is_empty() { Vec::new() } else { observations.logs() };
        Outcome {
            seed,
            processes: observations.processes.len(),
            faults,
            settled: observations.settled.len(),
            unknown: observations.unknown,
            refused: observations.refused,
            refusal_reason: observations.refusal_reason.clone(),
            claims: observations.claims,
            converged,
            reported,
            in_force: (quantile(0.5), quantile(0.99), quantile(1.0)),
            pairs: times.len(),
            violations: violations.into_iter().take(10).collect(),
            logs,
        }
    }
}

impl Observations {
    /// Whether this incarnation of the process still runs.
    fn is_current(&self, name: &str, incarnation: usize) -> bool {
        self.processes
            .get(name)
            .is_some_and(|process| process.child.is_some() && process.incarnations.len() == incarnation)
    }

    /// Records the answers of a process; a version or change older than in its previous answers is a
    /// violation.
    fn record_probe(&mut self, name: &str, number: usize, holds: Option<(u64, u64)>, known: Option<u64>) {
        if !self.is_current(name, number) {
            return;
        }
        let Some(incarnation) =
            self.processes.get_mut(name).and_then(|process| process.incarnations.last_mut())
        else {
            return;
        };
        incarnation.answered_at = Some(Instant::now());
        if holds < incarnation.held_version {
            self.violations.insert(format!(
                "{name} held version {:?} and then the older {holds:?}",
                incarnation.held_version
            ));
        }
        incarnation.held_version = holds;
        // `None`: the process accepts none of the probed classes, its newest one is older.
        let known = known.unwrap_or(0);
        if known != 0 && known < incarnation.newest_in_force {
            self.violations.insert(format!(
                "{name} had change {} in force and then the older {known}",
                incarnation.newest_in_force
            ));
        }
        if known > incarnation.newest_in_force {
            incarnation.newest_in_force = known;
            incarnation.first_seen.insert(known, Instant::now());
        }
    }

    /// Last log lines of each process that mention the carrier.
    fn logs(&self) -> Vec<String> {
        let last = |(name, process): (&String, &ManagedProcess)| {
            let text = std::fs::read_to_string(&process.log).unwrap_or_default();
            let lines: Vec<&str> = text.lines().filter(|line| line.contains("carrier")).collect();
            format!("{name}:\n{}", lines[lines.len().saturating_sub(20)..].join("\n"))
        };
        self.processes.iter().map(last).collect()
    }
}

/// JSON object of names and addresses.
fn address_map(of: &BTreeMap<String, SocketAddr>) -> Json {
    of.iter().map(|(name, at)| (name.clone(), json!(at.to_string()))).collect()
}

/// Routes, one for each class, that are configured once this change is in force.
fn routes(number: u64) -> Json {
    let first = (number + 1).saturating_sub(CLASS_WINDOW);
    let route = |number: u64| {
        json!({"name": format!("f{number}"), "effect": "repeatable", "payoff": 1.0,
               "latency-objective-us": 150_000, "overall-timeout-us": 1_000_000})
    };
    (first..=number).map(route).collect()
}

/// Parses a version, `EPOCH.NUMBER`; the epoch is the founding time of the fleet record.
fn parse_version(text: &str) -> Option<(u64, u64)> {
    let (epoch, number) = text.split_once('.')?;
    Some((epoch.parse().ok()?, number.parse().ok()?))
}

/// Version that a process holds by its operator endpoint; `None` before it holds any.
async fn held_version(operator_address: SocketAddr) -> Result<Option<(u64, u64)>> {
    let mut stream = TcpStream::connect(operator_address).await?;
    stream.write_all(b"GET /status HTTP/1.1\r\nContent-Length: 0\r\n\r\n").await?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await?;
    let after = answer.split_once("carrier: version ").with_context(|| answer.clone())?.1;
    Ok(parse_version(after.split([' ', ',']).next().unwrap_or_default()))
}

/// Newest change whose class the process accepts from a client; `None` if it accepts none of the probed ones.
async fn newest_class(listen: SocketAddr, newest: u64) -> Result<Option<u64>> {
    let mut stream = BufReader::new(TcpStream::connect(listen).await?);
    let asked: Vec<u64> = ((newest + 1).saturating_sub(2 * CLASS_WINDOW)..=newest).rev().collect();
    let mut text = String::new();
    for number in &asked {
        let labels = format!("c=f{number},t=rig,d=200,size=9,k=x");
        let arguments = ["C.GET", "key", "rig", &labels];
        let _ = write!(text, "*{}\r\n", arguments.len());
        for argument in arguments {
            let _ = write!(text, "${}\r\n{argument}\r\n", argument.len());
        }
        stream.write_all(text.as_bytes()).await?;
        text.clear();
        stream.read_line(&mut text).await?;
        ensure!(!text.is_empty(), "the process closed the connection without a reply");
        if !text.contains("unknown or missing class") {
            return Ok(Some(*number));
        }
        text.clear();
    }
    Ok(None)
}
