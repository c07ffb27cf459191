//! Proxies as processes, for tests that start and stop each of them.

use serde_json::Value as Json;
use std::io::{BufRead, BufReader};
use std::path::Path;
use std::process::{Child, Command, Stdio};

/// The lab's program, which is also the proxy.
pub const LAB: &str = env!("CARGO_BIN_EXE_pumicebay-lab");

/// A proxy that is killed when this is dropped.
pub struct Proxy(Child);

impl Proxy {
    /// Writes the configuration to this file, starts a proxy with it and returns once the proxy listens.
    pub fn start(config: &Json, file: &Path) -> Proxy {
        std::fs::write(file, config.to_string()).unwrap();
        let mut command = Command::new(LAB);
        let mut child = command.args(["serve", "--config"]).arg(file).stderr(Stdio::piped()).spawn().unwrap();
        let mut log = BufReader::new(child.stderr.take().unwrap()).lines();
        let listens = log.any(|line| line.unwrap().contains("INFO listens on"));
        assert!(listens, "the proxy of {} ended before it listened", file.display());
        std::thread::spawn(move || log.for_each(drop));
        Proxy(child)
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}
