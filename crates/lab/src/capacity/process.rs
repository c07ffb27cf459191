//! A proxy that is measured, as a real process, and the resources that a process has used.

use anyhow::{Context, Result};
use serde_json::{Value as Json, json};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;
use std::process::Stdio;
use tempfile::TempDir;
use tokio::process::{Child, Command};

/// A running proxy; it is ended when this is dropped.
pub struct Proxy {
    child: Child,
    /// Where it accepts clients.
    pub address: SocketAddr,
    _folder: TempDir,
}

impl Proxy {
    /// Starts a proxy that follows the discovery service at this address.
    ///
    /// # Errors
    /// If the program does not start.
    pub fn start(program: &Path, discovery: SocketAddr) -> Result<Proxy> {
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

    /// A memory line of the process's status, such as `VmRSS:`, in millions of bytes.
    ///
    /// # Errors
    /// If the proxy has ended.
    pub fn memory(&self, name: &str) -> Result<f64> {
        memory(&self.id()?.to_string(), name)
    }

    /// Processor time used so far, in seconds.
    ///
    /// # Errors
    /// If the proxy has ended.
    pub fn processor_seconds(&self) -> Result<f64> {
        processor_seconds(&self.id()?.to_string())
    }
}

/// Processor time used so far by all threads of a process, in seconds.
///
/// # Errors
/// If there is no such process.
pub fn processor_seconds(process: &str) -> Result<f64> {
    let mut nanos = 0;
    for thread in std::fs::read_dir(format!("/proc/{process}/task"))? {
        let text = std::fs::read_to_string(thread?.path().join("schedstat"))?;
        let used = text.split_whitespace().next().and_then(|used| used.parse::<u64>().ok());
        nanos += used.context("schedstat: expected a number")?;
    }
    Ok(nanos as f64 / 1e9)
}

/// A memory line of a process's status, in millions of bytes.
///
/// # Errors
/// If there is no such process or line.
pub fn memory(process: &str, name: &str) -> Result<f64> {
    let status = std::fs::read_to_string(format!("/proc/{process}/status"))?;
    let line = status.lines().find_map(|line| line.strip_prefix(name));
    let kib = line.and_then(|line| line.split_whitespace().next()?.parse::<f64>().ok());
    Ok(kib.with_context(|| format!("no {name} of process {process}"))? * 1024.0 / 1e6)
}

/// The configuration of a proxy that follows the discovery stand-in.
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
