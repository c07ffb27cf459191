//! Proxies as processes, for tests that look after each by itself.

use serde_json::Value as Json;
use std::io::{BufRead, BufReader};
use std::path::Path;
use std::process::{Child, Command, Stdio};

pub const LAB: &str = env!("CARGO_BIN_EXE_pumicebay-lab");

/// A process that ends with the test.
pub struct Proxy(Child);

impl Proxy {
    /// Returns once it listens; its configuration is written to this file.
    pub fn start(config: &Json, file: &Path) -> Proxy {
        std::fs::write(file, config.to_string()).unwrap();
        let mut command = Command::new(LAB);
        let mut child = command.args(["serve", "--config"]).arg(file).stderr(Stdio::piped()).spawn().unwrap();
        let mut log = BufReader::new(child.stderr.take().unwrap()).lines();
        let listens = log.any(|line| line.unwrap().contains("INFO listens on"));
        assert!(listens, "{} does not start", file.display());
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
