//! Starts a proxy process and follows its log and its memory. A process beyond its memory limit is killed, as by the
//! platform.

use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value as Json, json};
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener};
use std::os::fd::OwnedFd;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;
use tempfile::TempDir;
use tokio::time::sleep;

/// How often the memory is sampled.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(5);
/// How often to look whether the process listens, and how many times.
const START_POLL: Duration = Duration::from_millis(20);
const START_POLLS: usize = 1500;

/// How a proxy is configured.
pub struct Options {
    /// The entries of the list of nodes.
    pub targets: Vec<Json>,
    pub memory_mb: u64,
    /// Whether a request may have two attempts in flight.
    pub second_copies: bool,
    /// The clients' listening socket and the folder that the processes of an upgrade share.
    pub inherited: Option<(TcpListener, TempDir)>,
    /// Where discovery listens, if there is one.
    pub discovery: Option<SocketAddr>,
}

impl Options {
    /// The usual limits.
    pub fn new(targets: Vec<Json>) -> Options {
        Options { targets, memory_mb: 48, second_copies: true, inherited: None, discovery: None }
    }

    /// The same for processes that inherit one listening socket.
    pub fn with_inherited_listener(self) -> Options {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        Options { inherited: Some((listener, tempfile::tempdir().unwrap())), ..self }
    }
}

/// A route with its latency objective in milliseconds; its overall timeout is two and a half times that.
fn route(name: &str, effect: &str, objective_ms: u64) -> Json {
    json!({"name": name, "effect": effect, "payoff": 1.0, "dedup-scope": "all", "window-us": 5_000_000,
           "latency-objective-us": objective_ms * 1000, "overall-timeout-us": objective_ms * 2500})
}

/// The configuration of a proxy that chooses its own port.
pub fn configuration(options: &Options) -> Json {
    let discovery = options.discovery.map_or("127.0.0.1:9".into(), |address| address.to_string());
    json!({
        "name": "n0", "listen": "127.0.0.1:0", "discovery": discovery, "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": options.memory_mb, "sockets": 384},
        "known": {"rev": 41, "all": true, "targets": options.targets},
        "settings": {
            "discovery": "push", "domain": {"mode": "aside", "origin-kind": 1}, "fleet-size": 1, "me": 0,
            "skus": ["node", "origin"], "failure-domains": ["a"],
            "permissions": {"may-probe": true, "retry-after": true, "most-upstream-tries": 4,
                            "second-copies": options.second_copies,
                            "conn-idle-us": 15_000_000, "connect-timeout-us": 200_000},
            "routes": [route("read", "repeatable", 800), route("once", "once", 800), route("tile", "repeatable", 400)],
            "rules": {"cold-us": 24_000_000, "fall-us": 1_000_000, "start-capacity": 0.12},
            "telemetry": {"columns": [], "via": "silent"}
        }
    })
}

/// A proxy process, killed on drop. If the test has failed by then, its log is printed.
pub struct ProxyProcess {
    pub address: SocketAddr,
    child: Child,
    log: Arc<Mutex<String>>,
    peak_kb: Arc<AtomicU64>,
    over_limit: Arc<AtomicBool>,
    /// Deleted on drop.
    config: tempfile::TempPath,
}

impl ProxyProcess {
    /// Starts a process and waits until it listens.
    pub async fn start(options: &Options) -> ProxyProcess {
        let config = tempfile::NamedTempFile::new().unwrap().into_temp_path();
        std::fs::write(&config, configuration(options).to_string()).unwrap();
        let mut command = Command::new(env!("CARGO_BIN_EXE_pumicebay"));
        command.args(["serve", "--config"]).arg(&config).stdin(Stdio::null()).stderr(Stdio::piped());
        if let Some((listener, folder)) = &options.inherited {
            let socket = OwnedFd::from(listener.try_clone().unwrap());
            command.stdin(socket).env("PROXY_FD", "0").env("TMPDIR", folder.path());
        }
        let mut child = command.spawn().unwrap();
        let log = follow_log(&mut child);
        let (peak_kb, over_limit) = (Arc::default(), Arc::default());
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        let mut process = ProxyProcess { address, child, log, peak_kb, over_limit, config };
        for _ in 0..START_POLLS {
            if let Some(address) = listening_address(&process.log()) {
                process.address = address;
                // Before it has begun, the memory of a process is that of the test. Its peak counts from its start.
                process.enforce_memory_limit(options.memory_mb * 1024);
                return process;
            }
            sleep(START_POLL).await;
        }
        panic!("the proxy did not start");
    }

    /// The log so far.
    pub fn log(&self) -> String {
        self.log.lock().unwrap().clone()
    }

    /// Samples the peak memory as long as the process lives, and kills it beyond the limit.
    fn enforce_memory_limit(&self, limit_kb: u64) {
        let (pid, peak_kb, over_limit) = (self.child.id(), self.peak_kb.clone(), self.over_limit.clone());
        thread::spawn(move || {
            while let Ok(status) = std::fs::read_to_string(format!("/proc/{pid}/status")) {
                let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
                let peak = peak.and_then(|peak| peak.trim().split(' ').next()?.parse::<u64>().ok());
                let Some(peak) = peak else { return };
                peak_kb.fetch_max(peak, Ordering::SeqCst);
                if peak > limit_kb {
                    over_limit.store(true, Ordering::SeqCst);
                    let _ = kill_process(Pid::from_raw(pid as i32).unwrap(), Signal::KILL);
                    return;
                }
                thread::sleep(SAMPLE_INTERVAL);
            }
        });
    }

    /// Sends SIGHUP: the configuration is read again.
    pub fn reload(&self) {
        kill_process(Pid::from_child(&self.child), Signal::HUP).unwrap();
    }

    /// Replaces the configuration and sends SIGHUP.
    pub fn reconfigure(&self, configuration: &Json) {
        std::fs::write(&self.config, configuration.to_string()).unwrap();
        self.reload();
    }

    /// Sends SIGTERM.
    pub fn terminate(&self) {
        kill_process(Pid::from_child(&self.child), Signal::TERM).unwrap();
    }

    /// The peak of its resident memory.
    pub fn peak_mb(&self) -> f64 {
        self.peak_kb.load(Ordering::SeqCst) as f64 / 1024.0
    }

    /// Panics if the process was killed or has ended.
    pub fn assert_alive(&mut self) {
        assert!(!self.over_limit.load(Ordering::SeqCst), "killed for memory at {:.1} MB", self.peak_mb());
        assert!(self.child.try_wait().unwrap().is_none(), "the process has ended");
    }
}

impl Drop for ProxyProcess {
    fn drop(&mut self) {
        if thread::panicking() {
            eprintln!("peak {:.1} MB; the proxy's log:\n{}", self.peak_mb(), self.log());
        }
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The address that the process has chosen, once its log names it.
fn listening_address(log: &str) -> Option<SocketAddr> {
    log.lines().find_map(|line| line.split_once("INFO listens on ")?.1.parse().ok())
}

/// Reads the log as it is written.
fn follow_log(child: &mut Child) -> Arc<Mutex<String>> {
    let (lines, log) = (BufReader::new(child.stderr.take().unwrap()), Arc::<Mutex<String>>::default());
    let shared_log = log.clone();
    thread::spawn(move || {
        for line in lines.lines().map_while(Result::ok) {
            *shared_log.lock().unwrap() += &format!("{line}\n");
        }
    });
    log
}
