//! Proxies as processes: started, watched, killed as the day has it, and ended whatever happens. One that
//! prints without end is read without end, and all but its last lines are dropped.

use crate::real::SharedFleet;
use crate::{operator, platform};
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

/// Lines of a proxy's log that are kept, and the bytes of each.
const MAX_LOG_LINES: usize = 40;
const MAX_LOG_LINE_BYTES: u64 = 400;
/// Where the proxies are a fleet.
const VOTER_COUNT: usize = 3;

/// Where proxies listen: so many ports from the first on, and how far apart programs begin.
const FIRST_PORT: u16 = 10_000;
const PORT_COUNT: u16 = 20_000;
const PORT_STRIDE: u32 = 997;

type Log = Arc<Mutex<VecDeque<String>>>;

struct Proxy {
    address: SocketAddr,
    /// Where it takes links of replication, if it does.
    replication_address: Option<SocketAddr>,
    /// Where it takes the fleet's links, if it votes.
    voter_address: Option<SocketAddr>,
    config: PathBuf,
    child: Option<Child>,
    log: Log,
    /// When it is to start again.
    restart_at: Option<Instant>,
    starts: u64,
}

pub struct Proxies {
    scenario: Scenario,
    seed: u64,
    program: PathBuf,
    proxies: Vec<Proxy>,
    notes: Vec<String>,
    folder: TempDir,
}

impl Proxies {
    /// Starts all, and waits until each answers.
    pub async fn start(
        scenario: &Scenario,
        seed: u64,
        program: Option<&PathBuf>,
        fleet: &SharedFleet,
    ) -> Result<Proxies> {
        let program = match program {
            Some(program) => program.clone(),
            None => std::env::current_exe().context("this program's own path")?,
        };
        let folder = tempfile::tempdir().context("a folder for configurations")?;
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
            operator::fleet(&all.program, &["found"], &all.proxies[0].config, within).await?;
        }
        Ok(all)
    }

    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.proxies.iter().map(|proxy| proxy.address).collect()
    }

    /// The section `fleet` of a proxy.
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

    fn spawn(&mut self, number: usize, fleet: &SharedFleet) -> Result<()> {
        fleet.proxy_restarted(number);
        let fleet_section = self.scenario.proxies.fleet.then(|| self.fleet_section(number));
        let proxy = &mut self.proxies[number];
        proxy.starts += 1;
        let seed = splitmix64(self.seed ^ splitmix64(number as u64 ^ proxy.starts << 32));
        let mut config = json!({
            "name": format!("p{}", number + 1),
            "listen": proxy.address.to_string(),
            "discovery": fleet.discovery(number).context("discovery")?.to_string(),
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
            .with_context(|| format!("p{}: {}", number + 1, self.program.display()))?;
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

    async fn wait_until_ready(&mut self, number: usize) -> Result<()> {
        let name = format!("p{}", number + 1);
        let time_limit = self.scenario.proxies.ready_seconds;
        let until = Instant::now() + Duration::from_secs_f64(time_limit);
        while Instant::now() < until {
            let proxy = &mut self.proxies[number];
            if let Some(child) = &mut proxy.child
                && let Some(status) = child.try_wait()?
            {
                // What it said may still be on its way.
                sleep(Duration::from_millis(50)).await;
                bail!("{name} did not start: {status}; it said:\n{}", log_text(&proxy.log));
            }
            if timeout(Duration::from_millis(500), answers_ping(proxy.address)).await.unwrap_or(false) {
                return Ok(());
            }
            sleep(Duration::from_millis(20)).await;
        }
        let log = log_text(&self.proxies[number].log);
        bail!("{name} did not answer within {time_limit} s; it said:\n{log}");
    }

    /// Kills it outright; it starts again as the scenario has it.
    pub async fn kill(&mut self, number: usize, fleet: &SharedFleet) {
        let proxy = &mut self.proxies[number];
        if let Some(mut child) = proxy.child.take() {
            let _ = child.kill().await;
        }
        let wait = Duration::from_secs_f64(self.scenario.proxies.restart_seconds);
        proxy.restart_at = Some(Instant::now() + wait);
        fleet.proxy_restarted(number);
    }

    /// Starts those again that are due, and notices those that ended by themselves.
    pub async fn supervise(&mut self, fleet: &SharedFleet) {
        for number in 0..self.proxies.len() {
            let proxy = &mut self.proxies[number];
            let ended = proxy.child.as_mut().and_then(|child| child.try_wait().ok().flatten());
            if let Some(status) = ended {
                proxy.child = None;
                let run_time = run_time(fleet.now());
                let said = log_text(&proxy.log);
                self.notes.push(format!(
                    "p{} ended by itself run_time {run_time}: {status}; it said:\n{said}",
                    number + 1
                ));
            }
            if self.proxies[number].restart_at.is_some_and(|restart_at| restart_at <= Instant::now())
                && let Err(error) = self.spawn(number, fleet)
            {
                self.proxies[number].restart_at = None;
                self.notes.push(format!("p{} did not start restart_at: {error:#}", number + 1));
            }
        }
    }

    /// Asks all to end, and sees that they do. Gives what was noticed; what begins with a proxy's name spoils
    /// the day.
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
                self.notes.push(format!("p{} hung: it did not end when asked to", number + 1));
            }
        }
        std::mem::take(&mut self.notes)
    }
}

fn run_time(now: Nanos) -> String {
    format!("{:.1} s", now as f64 / 1e9)
}

/// An address that nobody listens at. It lies below the ports that the kernel gives to whoever names none: else a
/// connection or listener of a stand-in could have it before the proxy does.
fn free_address() -> Result<SocketAddr> {
    static TAKEN: AtomicU16 = AtomicU16::new(0);
    // Programs that run beside this one begin elsewhere.
    let first = std::process::id().wrapping_mul(PORT_STRIDE) as u16 % PORT_COUNT;
    for _ in 0..PORT_COUNT {
        let taken = TAKEN.fetch_add(1, Ordering::Relaxed);
        let port = FIRST_PORT + first.wrapping_add(taken) % PORT_COUNT;
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", port)) {
            return Ok(listener.local_addr()?);
        }
    }
    bail!("no free_address port from {FIRST_PORT} on")
}

async fn answers_ping(address: SocketAddr) -> bool {
    let asked = async {
        let mut stream = TcpStream::connect(address).await?;
        stream.write_all(b"*1\r\n$4\r\nPING\r\n").await?;
        let mut answer = [0; 5];
        stream.read_exact(&mut answer).await?;
        std::io::Result::Ok(&answer == b"+PONG")
    };
    asked.await.unwrap_or(false)
}

/// Reads to the end and keeps the last lines, each cut to a length.
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

fn log_text(log: &Log) -> String {
    let log = log.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
    log.iter().map(|line| format!("    {line}\n")).collect::<String>().trim_end().to_string()
}
