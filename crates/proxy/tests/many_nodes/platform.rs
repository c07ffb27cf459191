//! A stand-in for the platform on which a proxy runs: it starts the process, limits its share of a core,
//! sends signals, and kills the process if it exceeds its memory limit.

use crate::send_command;
use crate::stand_ins::Discovery;
use pumicebay::resp::Frame;
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value as Json, json};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// How often the memory and the waits for a core are sampled.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(5);
/// The longest time until a process answers.
const START_TIMEOUT: Duration = Duration::from_secs(30);
/// The longest time from SIGTERM to the end of the process.
const STOP_TIMEOUT: Duration = Duration::from_millis(3700);

/// The share of a core that a process gets. An unoptimized build gets a whole core, as it takes several times
/// as long anyway.
const CORE_SHARE: f64 = if cfg!(debug_assertions) { 1.0 } else { 0.19 };
/// In each period of this length a process runs until it has used its share, and is then stopped.
const SHARE_PERIOD: Duration = Duration::from_millis(50);

/// Samples of the total time that a process has waited for a core. That time depends on the load of the
/// machine, not on the process.
#[derive(Clone, Default)]
pub struct CoreWaits(Arc<Mutex<Vec<(Instant, Duration)>>>);

impl CoreWaits {
    /// Adds a sample for the process with this id.
    fn sample(&self, pid: u32) {
        let times = std::fs::read_to_string(format!("/proc/{pid}/schedstat")).unwrap_or_default();
        let waited = times.split(' ').nth(1).and_then(|waited| waited.parse().ok());
        if let Some(waited) = waited.map(Duration::from_nanos) {
            self.0.lock().unwrap().push((Instant::now(), waited));
        }
    }

    /// How long the process waited between these times, from the last sample before to the first one after.
    pub fn between(&self, from: Instant, to: Instant) -> Duration {
        let samples = self.0.lock().unwrap();
        let before = samples.partition_point(|(at, _)| *at < from).saturating_sub(1);
        let after = samples.partition_point(|(at, _)| *at <= to).min(samples.len().saturating_sub(1));
        let waited = |index: usize| samples.get(index).map_or(Duration::ZERO, |(_, waited)| *waited);
        waited(after).saturating_sub(waited(before))
    }
}

/// How a proxy is started.
pub struct StartOptions<'a> {
    pub discovery: &'a Discovery,
    /// Whether the configuration contains the list as well.
    pub list_in_config: bool,
    /// The memory limit.
    pub limit_mb: u64,
}

/// A proxy process, killed on drop.
pub struct Process {
    pub address: SocketAddr,
    child: Child,
    config: Json,
    file: tempfile::TempPath,
    peak_kb: Arc<AtomicU64>,
    killed: Arc<AtomicBool>,
    pub core_waits: CoreWaits,
    log: Arc<Mutex<String>>,
}

/// A route whose requests may be retried, with its latency objective in milliseconds; the overall timeout is
/// twice that.
fn route(name: &str, objective_ms: u64) -> Json {
    json!({"name": name, "effect": "repeatable", "payoff": 1.0, "dedup-scope": "all", "window-us": 5_000_000,
           "latency-objective-us": objective_ms * 1000, "overall-timeout-us": objective_ms * 2000})
}

/// The process chooses its port itself: another socket could take one that is chosen for it before it listens.
fn configuration(options: &StartOptions) -> Json {
    let list_in_config =
        if options.list_in_config { options.discovery.whole_list() } else { json!({"targets": []}) };
    json!({
        "name": "n0", "listen": "127.0.0.1:0", "discovery": options.discovery.address.to_string(),
        "seed": "8c1f30d27a5be964", "known": list_in_config,
        "limits": {"cores": 1.0, "memory_mb": options.limit_mb, "sockets": 1024},
        "settings": {
            "discovery": "push", "domain": {"mode": "aside", "origin-kind": 1}, "fleet-size": 1, "me": 0,
            "skus": ["node", "origin"], "failure-domains": ["a", "b"],
            "permissions": {"may-probe": true, "retry-after": true, "most-upstream-tries": 4,
                            "conn-idle-us": 15_000_000, "connect-timeout-us": 200_000},
            "routes": [route("read", 300), route("quick", 75)],
            "rules": {"cold-us": 24_000_000, "fall-us": 1_000_000, "start-capacity": 0.12},
            "telemetry": {"columns": [], "via": "silent"}
        }
    })
}

/// The address at which the process of this log listens, once the log names it.
fn listening_address(log: &str) -> Option<SocketAddr> {
    log.lines().find_map(|line| line.split_once("INFO listens on ")?.1.parse().ok())
}

impl Process {
    /// Starts a process and waits until it answers.
    pub async fn start(options: &StartOptions<'_>) -> Process {
        let config = configuration(options);
        let file = tempfile::NamedTempFile::new().unwrap().into_temp_path();
        std::fs::write(&file, config.to_string()).unwrap();
        let mut child = Command::new(env!("CARGO_BIN_EXE_pumicebay"))
            .args(["serve", "--config"])
            .arg(&file)
            .stdin(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        if CORE_SHARE < 1.0 {
            limit_core_share(child.id());
        }
        let core_waits = CoreWaits::default();
        let (peak_kb, killed, log) = (Arc::default(), Arc::default(), Arc::<Mutex<String>>::default());
        enforce_memory_limit(
            child.id(),
            options.limit_mb * 1024,
            Arc::clone(&peak_kb),
            Arc::clone(&killed),
            core_waits.clone(),
        );
        let (lines, shared_log) = (BufReader::new(child.stderr.take().unwrap()), log.clone());
        thread::spawn(move || {
            for line in lines.lines().map_while(Result::ok) {
                *shared_log.lock().unwrap() += &format!("{line}\n");
            }
        });
        // Known once the process listens.
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        let mut process = Process { address, child, config, file, peak_kb, killed, core_waits, log };
        let polls = (START_TIMEOUT.as_millis() / 20) as usize;
        for _ in 0..polls {
            process.assert_alive();
            if let Some(address) = listening_address(&process.log())
                && matches!(send_command(address, &[b"PING"]).await, Some(Frame::Simple(_)))
            {
                process.address = address;
                return process;
            }
            sleep(Duration::from_millis(20)).await;
        }
        panic!("not ready within {START_TIMEOUT:?}\n{}", process.log());
    }

    /// Panics if the process was killed or has ended.
    pub fn assert_alive(&mut self) {
        let killed = self.was_killed();
        let limit = &self.config["limits"]["memory_mb"];
        let peak = self.peak_mb();
        assert!(!killed, "killed: {peak:.1} MB of {limit} MB\n{}", self.log());
        assert!(self.child.try_wait().unwrap().is_none(), "the process ended by itself\n{}", self.log());
    }

    /// Whether the process was killed because it exceeded its memory limit.
    pub fn was_killed(&self) -> bool {
        self.killed.load(Ordering::SeqCst)
    }

    /// The peak of its resident memory.
    pub fn peak_mb(&self) -> f64 {
        self.peak_kb.load(Ordering::SeqCst) as f64 / 1024.0
    }

    /// Its log so far.
    pub fn log(&self) -> String {
        self.log.lock().unwrap().clone()
    }

    /// Reloads the configuration with this address of discovery.
    pub fn move_discovery(&mut self, to: &SocketAddr) {
        self.config["discovery"] = json!(to.to_string());
        std::fs::write(&self.file, self.config.to_string()).unwrap();
        self.signal(Signal::HUP);
    }

    /// Sends SIGTERM.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    fn signal(&self, signal: Signal) {
        let _ = kill_process(Pid::from_child(&self.child), signal);
    }

    /// Waits for the end of the process. Returns false if it takes longer than allowed.
    pub async fn stopped_in_time(&mut self) -> bool {
        let polls = (STOP_TIMEOUT.as_millis() / 20) as usize;
        for _ in 0..polls {
            if self.child.try_wait().unwrap().is_some() {
                return true;
            }
            sleep(Duration::from_millis(20)).await;
        }
        false
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Stops a process for the rest of each period in which it has used its share of a core.
fn limit_core_share(pid: u32) {
    let cpu_time = move || {
        let times = std::fs::read_to_string(format!("/proc/{pid}/schedstat")).ok()?;
        times.split(' ').next()?.parse().ok().map(Duration::from_nanos)
    };
    let signal = move |signal| kill_process(Pid::from_raw(pid as i32).unwrap(), signal);
    thread::spawn(move || {
        let (mut period, mut before) = (Instant::now(), Duration::ZERO);
        while let Some(now) = cpu_time() {
            if period.elapsed() >= SHARE_PERIOD {
                (period, before) = (Instant::now(), now);
            }
            if now.saturating_sub(before) > SHARE_PERIOD.mul_f64(CORE_SHARE) {
                if signal(Signal::STOP).is_err() {
                    return;
                }
                thread::sleep(SHARE_PERIOD.saturating_sub(period.elapsed()));
                if signal(Signal::CONT).is_err() {
                    return;
                }
                (period, before) = (Instant::now(), cpu_time().unwrap_or_default());
            }
            thread::sleep(Duration::from_millis(1));
        }
    });
}

/// Samples the peak memory of a process as long as it lives, and kills it if it exceeds the limit.
fn enforce_memory_limit(
    pid: u32,
    limit_kb: u64,
    peak_kb: Arc<AtomicU64>,
    killed: Arc<AtomicBool>,
    core_waits: CoreWaits,
) {
    thread::spawn(move || {
        while let Ok(status) = std::fs::read_to_string(format!("/proc/{pid}/status")) {
            let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
            let peak = peak.and_then(|peak| peak.trim().split(' ').next()?.parse::<u64>().ok());
            let Some(peak) = peak else { return };
            peak_kb.fetch_max(peak, Ordering::SeqCst);
            core_waits.sample(pid);
            if peak > limit_kb {
                killed.store(true, Ordering::SeqCst);
                let _ = kill_process(Pid::from_raw(pid as i32).unwrap(), Signal::KILL);
                return;
            }
            thread::sleep(SAMPLE_INTERVAL);
        }
    });
}
