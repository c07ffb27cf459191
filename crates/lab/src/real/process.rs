//! Runs the proxies as child processes: starts and supervises them, kills and restarts them as the scenario
//! demands, and ends them on every way out. Their output is always read, so that a proxy that prints without
//! end never blocks on a full pipe; only its last lines are kept.

use crate::real::SharedFleet;
use crate::{operator_command, platform};
use anyhow::{Context, Result, bail};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use pumicebay_model::Nanos;
use pumicebay_model::seeds::splitmix64;
use pumicebay_model::spec::Scenario;
use serde_json::{Value as Json, json};
use std::collections::VecDeque;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::Stdio;
use std::sync::atomic::{AtomicU16, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tempfile::TempDir;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::process::{Child, Command};
use tokio::time::{Instant, sleep, timeout};

/// Last lines kept of a proxy's output.
const MAX_LOG_LINES: usize = 40;
/// Longest line kept, in bytes; a longer one is split.
const MAX_LOG_LINE_BYTES: u64 = 400;
/// Number of proxies that vote when the proxies form a fleet.
const VOTER_COUNT: usize = 3;

/// Lowest port that proxies listen on.
const FIRST_PORT: u16 = 10_000;
/// Size of the port range.
const PORT_COUNT: u16 = 20_000;
/// Distance between the first ports of lab processes with consecutive process ids.
const PORT_STRIDE: u32 = 997;

/// Last lines of a proxy's output.
type Log = Arc<Mutex<VecDeque<String>>>;

/// One proxy and its child process, while it has one.
struct Proxy {
    address: SocketAddr,
    /// Address for replication links, where the scenario has replication.
    replication_address: Option<SocketAddr>,
    /// Address for the fleet's links, if this proxy is a voter.
    voter_address: Option<SocketAddr>,
    config: PathBuf,
    child: Option<Child>,
    log: Log,
    /// When to start it again after a kill.
    restart_at: Option<Instant>,
    /// Number of starts so far.
    starts: u64,
}

/// All proxy processes of a run. Dropping it kills them.
pub struct Proxies {
    scenario: Scenario,
    seed: u64,
    program: PathBuf,
    proxies: Vec<Proxy>,
    notes: Vec<String>,
    folder: TempDir,
}

impl Proxies {
    /// Starts all proxies, waits until each answers, and founds the fleet where the scenario has one. Fails
    /// when a process ends or does not answer in time.
    pub async fn start(
        scenario: &Scenario,
        seed: u64,
        program: Option<&PathBuf>,
        fleet: &SharedFleet,
    ) -> Result<Proxies> {
        let program = match program {
            Some(program) => program.clone(),
            None => std::env::current_exe().context("cannot find the path of this executable")?,
        };
        let folder = tempfile::tempdir().context("cannot create a folder for configurations")?;
        let mut proxies = Vec::new();
        for number in 0..scenario.proxies.count {
            proxies.push(Proxy {
                address: free_address()?,
                replication_address: scenario.proxies.replication.then(free_address).transpose()?,
                voter_address: (scenario.proxies.fleet && number < VOTER_COUNT)
                    .then(free_address)
                    .transpose()?,
                config: folder.path().join(format!("p{}.json", number + 1)),
                child: None,
                log: Log::default(),
                restart_at: None,
                starts: 0,
            });
        }
        let mut all =
            Proxies { scenario: scenario.clone(), seed, program, proxies, notes: Vec::new(), folder };
        for number in 0..scenario.proxies.count {
            all.spawn(number, fleet)?;
        }
        for number in 0..scenario.proxies.count {
            all.wait_until_ready(number).await?;
        }
        if scenario.proxies.fleet {
            let within = Duration::from_secs_f64(scenario.proxies.ready_seconds);
            operator_command::fleet(&all.program, &["found"], &all.proxies[0].config, within).await?;
        }
        Ok(all)
    }

    /// Client addresses of the proxies, in order.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.proxies.iter().map(|proxy| proxy.address).collect()
    }

    /// Section `fleet` of a proxy's configuration.
    fn fleet_section(&self, number: usize) -> Json {
        let voters: serde_json::Map<_, _> = (1..)
            .zip(&self.proxies)
            .filter_map(|(number, proxy)| {
                Some((format!("p{number}"), json!(proxy.voter_address?.to_string())))
            })
            .collect();
        let folder = self.folder.path().join(format!("d{}", number + 1));
        let mut fleet_section = json!({"name": "lab", "voters": voters, "folder": folder});
        let peers: serde_json::Map<_, _> = (1..)
            .zip(&self.proxies)
            .filter_map(|(number, proxy)| {
                Some((format!("p{number}"), json!(proxy.replication_address?.to_string())))
            })
            .collect();
        if !peers.is_empty() {
            fleet_section["replication"] = json!({"peers": peers, "folder": folder.join("replica")});
        }
        fleet_section
    }

    /// Writes a proxy's configuration and starts its process.
    fn spawn(&mut self, number: usize, fleet: &SharedFleet) -> Result<()> {
        fleet.proxy_restarted(number);
        let fleet_section = self.scenario.proxies.fleet.then(|| self.fleet_section(number));
        let proxy = &mut self.proxies[number];
        proxy.starts += 1;
        let seed = splitmix64(self.seed ^ splitmix64(number as u64 ^ proxy.starts << 32));
        let mut config = json!({
            "name": format!("p{}", number + 1),
            "listen": proxy.address.to_string(),
            "discovery": fleet.discovery(number).context("discovery has no address for this proxy")?.to_string(),
            "seed": format!("{seed:016x}"),
            "limits": {"sockets": 4096, "memory_mb": 512},
            "known": fleet.list(number, None),
            "settings": platform::settings(&self.scenario, number),
        });
        if let Some(fleet_section) = fleet_section {
            config["fleet"] = fleet_section;
        }
        std::fs::write(&proxy.config, config.to_string())?;
        let mut child = Command::new(&self.program)
            .args(["serve", "--config"])
            .arg(&proxy.config)
            .env_remove("PROXY_NAME")
            .env_remove("PROXY_LISTEN")
            .env_remove("PROXY_DISCOVERY")
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .kill_on_drop(true)
            .spawn()
            .with_context(|| format!("p{}: cannot run {}", number + 1, self.program.display()))?;
        if let Some(stdout) = child.stdout.take() {
            tokio::spawn(keep_last_lines(stdout, proxy.log.clone()));
        }
        if let Some(stderr) = child.stderr.take() {
            tokio::spawn(keep_last_lines(stderr, proxy.log.clone()));
        }
        proxy.child = Some(child);
        proxy.restart_at = None;
        Ok(())
    }

    /// Waits until a proxy answers `PING`. Fails when it ends first or the time limit passes.
    async fn wait_until_ready(&mut self, number: usize) -> Result<()> {
        let name = format!("p{}", number + 1);
        let time_limit = self.scenario.proxies.ready_seconds;
        let until = Instant::now() + Duration::from_secs_f64(time_limit);
        while Instant::now() < until {
            let proxy = &mut self.proxies[number];
            if let Some(child) = &mut proxy.child
                && let Some(status) = child.try_wait()?
            {
                // Its last output may still be in the pipe.
                sleep(Duration::from_millis(50)).await;
                bail!("{name} did not start: {status}; last output:\n{}", log_text(&proxy.log));
            }
            if timeout(Duration::from_millis(500), answers_ping(proxy.address)).await.unwrap_or(false) {
                return Ok(());
            }
            sleep(Duration::from_millis(20)).await;
        }
        let log = log_text(&self.proxies[number].log);
        bail!("{name} did not answer within {time_limit} s; last output:\n{log}");
    }

    /// Kills a proxy with SIGKILL and schedules its restart.
    pub async fn kill(&mut self, number: usize, fleet: &SharedFleet) {
        let proxy = &mut self.proxies[number];
        if let Some(mut child) = proxy.child.take() {
            let _ = child.kill().await;
        }
        let wait = Duration::from_secs_f64(self.scenario.proxies.restart_seconds);
        proxy.restart_at = Some(Instant::now() + wait);
        fleet.proxy_restarted(number);
    }

    /// Restarts the proxies that are due, and notes those that ended by themselves.
    pub async fn supervise(&mut self, fleet: &SharedFleet) {
        for number in 0..self.proxies.len() {
            let proxy = &mut self.proxies[number];
            let ended = proxy.child.as_mut().and_then(|child| child.try_wait().ok().flatten());
            if let Some(status) = ended {
                proxy.child = None;
                let run_time = run_time(fleet.now());
                let output = log_text(&proxy.log);
                self.notes.push(format!(
                    "p{} ended by itself at {run_time}: {status}; last output:\n{output}",
                    number + 1
                ));
            }
            if self.proxies[number].restart_at.is_some_and(|restart_at| restart_at <= Instant::now())
                && let Err(error) = self.spawn(number, fleet)
            {
                self.proxies[number].restart_at = None;
                self.notes.push(format!("p{} did not restart: {error:#}", number + 1));
            }
        }
    }

    /// Sends SIGTERM to all proxies and kills those that do not end in time. Returns the notes of the run; a
    /// note that begins with a proxy's name makes the run unusable.
    pub async fn stop(&mut self) -> Vec<String> {
        for proxy in &self.proxies {
            let id = proxy.child.as_ref().and_then(Child::id).and_then(|id| i32::try_from(id).ok());
            if let Some(id) = id {
                let _ = kill(Pid::from_raw(id), Signal::SIGTERM);
            }
        }
        let until = Instant::now() + Duration::from_secs_f64(self.scenario.proxies.shutdown_seconds);
        for (number, proxy) in self.proxies.iter_mut().enumerate() {
            let Some(mut child) = proxy.child.take() else { continue };
            if tokio::time::timeout_at(until, child.wait()).await.is_err() {
                let _ = child.kill().await;
                self.notes.push(format!("p{} hung: it did not end after SIGTERM and was killed", number + 1));
            }
        }
        std::mem::take(&mut self.notes)
    }
}

/// Time since the scenario began, as text in seconds.
fn run_time(now: Nanos) -> String {
    format!("{:.1} s", now as f64 / 1e9)
}

/// A loopback address that is free at the moment. Its port lies below the kernel's ephemeral range: otherwise
/// a connection or listener of a stand-in could take it before the proxy binds it. Fails when no port is
/// free.
fn free_address() -> Result<SocketAddr> {
    static TAKEN: AtomicU16 = AtomicU16::new(0);
    // Lab processes that run at the same time begin at different ports.
    let first = std::process::id().wrapping_mul(PORT_STRIDE) as u16 % PORT_COUNT;
    for _ in 0..PORT_COUNT {
        let taken = TAKEN.fetch_add(1, Ordering::Relaxed);
        let port = FIRST_PORT + first.wrapping_add(taken) % PORT_COUNT;
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", port)) {
            return Ok(listener.local_addr()?);
        }
    }
    bail!("no free port from {FIRST_PORT} on")
}

/// Whether the proxy at this address answers `PING`.
async fn answers_ping(address: SocketAddr) -> bool {
    let probe = async {
        let mut stream = TcpStream::connect(address).await?;
        stream.write_all(b"*1\r\n$4\r\nPING\r\n").await?;
        let mut answer = [0; 5];
        stream.read_exact(&mut answer).await?;
        std::io::Result::Ok(&answer == b"+PONG")
    };
    probe.await.unwrap_or(false)
}

/// Reads a process's output to its end and keeps the last lines, each at most `MAX_LOG_LINE_BYTES` long.
async fn keep_last_lines(from: impl tokio::io::AsyncRead + Unpin, log: Log) {
    let mut from = BufReader::new(from);
    let mut line = Vec::new();
    loop {
        line.clear();
        match (&mut from).take(MAX_LOG_LINE_BYTES).read_until(b'\n', &mut line).await {
            Ok(0) | Err(_) => return,
            Ok(_) => {
                let mut log = log.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
                if log.len() == MAX_LOG_LINES {
                    log.pop_front();
                }
                log.push_back(String::from_utf8_lossy(&line).trim_end().to_string());
            }
        }
    }
}

/// The kept lines, indented.
fn log_text(log: &Log) -> String {
    let log = log.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
    log.iter().map(|line| format!("    {line}\n")).collect::<String>().trim_end().to_string()
}
