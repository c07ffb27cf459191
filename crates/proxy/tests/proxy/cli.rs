//! The program as a person or the platform starts it.

use crate::configuration;
use expect_test::expect;
use serde_json::json;
use std::io::{BufRead, BufReader, Read, Write};
use std::process::{Child, ChildStderr, Command, Stdio};

pub fn program(args: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_pumicebay"));
    command.args(args).env_remove("PROXY_CONFIG").stdout(Stdio::piped()).stderr(Stdio::piped());
    command
}

/// A configuration file, gone with the test.
pub struct File(std::path::PathBuf);

impl File {
    pub fn new(name: &str, text: &str) -> File {
        let path = std::env::temp_dir().join(format!("pumicebay-{}-{name}.json", std::process::id()));
        std::fs::write(&path, text).unwrap();
        File(path)
    }

    pub fn path(&self) -> &str {
        self.0.to_str().unwrap()
    }
}

impl Drop for File {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

#[test]
fn commands_say_what_they_do_and_what_is_wrong() {
    let good = File::new("good", &configuration(&[]).to_string());
    let bad = File::new("bad", &configuration(&[("/listen", json!("nowhere"))]).to_string());
    let broken = File::new("broken", "{");
    let mut trace = String::new();
    for args in [
        &["version"][..],
        &["check", "--config", good.path()],
        &["check", "--config", bad.path()],
        &["serve", "--config", broken.path()],
        &["serve", "--config", "/nowhere/config.json"],
        &["serve"],
        &["dance"],
        &["check", "--fast"],
        &[],
    ] {
        let done = program(args).output().unwrap();
        let text =
            format!("{}{}", String::from_utf8_lossy(&done.stdout), String::from_utf8_lossy(&done.stderr));
        let text = [&good, &bad, &broken].iter().fold(text, |text, file| text.replace(file.path(), "FILE"));
        trace += &format!("{}: {:?}\n{text}", args.first().unwrap_or(&""), done.status.code());
    }
    expect![[r#"
        version: Some(0)
        pumicebay 0.1.0
        check: Some(0)
        n0 listens on 127.0.0.1:0, discovery at 127.0.0.1:9, 0 nodes known
        at most 595 client connections and 397 to nodes
        routes: read (retriable), put (non-retriable), quick (retriable)
        check: Some(1)
        pumicebay: configuration FILE: listen: expected ADDRESS:PORT, found "nowhere": invalid socket address syntax
        serve: Some(1)
        pumicebay: configuration FILE: EOF while parsing an object at line 1 column 1
        serve: Some(1)
        pumicebay: configuration /nowhere/config.json: No such file or directory (os error 2)
        serve: Some(1)
        pumicebay: no configuration: neither --config nor $PROXY_CONFIG is given
        dance: Some(1)
        pumicebay: unknown command "dance"; see pumicebay help
        check: Some(1)
        pumicebay: invalid option '--fast'
        : Some(1)
        pumicebay: no command; see pumicebay help
    "#]]
    .assert_eq(&trace);
}

/// A running proxy; ends with the test at the latest.
pub struct Running {
    child: Child,
    log: BufReader<ChildStderr>,
    address: String,
    /// What it said until it listened.
    pub begun: String,
}

impl Running {
    pub fn start(mut command: Command) -> Running {
        let mut child = command.stderr(Stdio::piped()).spawn().unwrap();
        let mut log = BufReader::new(child.stderr.take().unwrap());
        let (mut begun, mut line) = (String::new(), String::new());
        while !line.contains("INFO listens on 127.0.0.1:") {
            line.clear();
            assert!(log.read_line(&mut line).unwrap() > 0, "ended before it listened");
            begun += &line;
        }
        let address = line.trim().rsplit(' ').next().unwrap().to_string();
        Running { child, log, address, begun }
    }

    fn counters(&self) -> String {
        let counted = program(&["counters", &self.address]).output().unwrap();
        String::from_utf8_lossy(&counted.stdout).into_owned()
    }

    fn signal(&self, signal: &str) {
        let sent = Command::new("kill").args([signal, &self.child.id().to_string()]).status().unwrap();
        assert!(sent.success());
    }

    /// Tells it to stop; its exit code and the rest of its log.
    pub fn stop(&mut self) -> (Option<i32>, String) {
        self.signal("-TERM");
        let mut rest = String::new();
        self.log.read_to_string(&mut rest).unwrap();
        (self.child.wait().unwrap().code(), rest)
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Told to stop while it starts, here by waiting for a discovery that is silent: it ends in order once it could serve.
#[test]
fn it_ends_in_order_when_told_to_while_it_starts() {
    let silent = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let at = silent.local_addr().unwrap().to_string();
    let file = File::new("starting", &configuration(&[("/discovery", json!(at))]).to_string());
    let socket = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let mut command = program(&["serve", "--config", file.path()]);
    command.stdin(std::os::fd::OwnedFd::from(socket)).env("PROXY_FD", "0").stderr(Stdio::piped());
    let mut child = command.spawn().unwrap();
    // It has begun to start when discovery is called.
    let (_call, _) = silent.accept().unwrap();
    let sent = Command::new("kill").args(["-TERM", &child.id().to_string()]).status().unwrap();
    assert!(sent.success());
    let (mut log, mut stderr) = (String::new(), child.stderr.take().unwrap());
    stderr.read_to_string(&mut log).unwrap();
    assert_eq!(child.wait().unwrap().code(), Some(0), "{log}");
    assert!(log.contains("Draining") && log.contains("Stopped") && !log.contains("panicked"), "{log}");
}

/// Told to stop once more, and to read its configuration, while it stops: both change nothing.
#[test]
fn it_ends_in_order_however_often_it_is_told() {
    let file = File::new("twice", &configuration(&[]).to_string());
    let mut running = Running::start(program(&["serve", "--config", file.path()]));
    running.signal("-TERM");
    running.signal("-HUP");
    let (code, log) = running.stop();
    assert_eq!(code, Some(0));
    assert!(log.contains("Draining") && log.contains("Stopped") && !log.contains("panicked"), "{log}");
}

#[test]
fn it_serves_tells_its_counters_and_ends_when_told_to() {
    let file = File::new("serve", &configuration(&[]).to_string());
    let mut running = Running::start(program(&["serve", "--config", file.path()]));
    let counted = running.counters();
    assert!(counted.contains("clients_accepted 1\n") && counted.contains("exchanges_taken 0\n"), "{counted}");
    let (code, rest) = running.stop();
    assert_eq!(code, Some(0), "{rest}");
    let phases: Vec<&str> = rest.lines().filter_map(|line| line.rsplit("INFO ").next()).collect();
    let told = ["Draining", "Closing", "Stopped"].iter().all(|phase| phases.contains(phase));
    assert!(told && rest.contains("counters: clients_accepted 1, "), "{rest}");
}

/// What the file then says of discovery goes before the variable.
#[test]
fn a_hangup_makes_it_read_its_configuration_again() {
    let file = File::new("hangup", &configuration(&[]).to_string());
    let mut command = program(&["serve", "--config", file.path()]);
    command.env("PROXY_DISCOVERY", "127.0.0.1:7");
    let mut running = Running::start(command);
    let mut told = String::new();
    for (text, word) in [
        (configuration(&[("/discovery", json!("nowhere"))]).to_string(), "ERROR"),
        ("{".into(), "ERROR"),
        (configuration(&[]).to_string(), "read again"),
    ] {
        std::fs::write(file.path(), text).unwrap();
        running.signal("-HUP");
        let mut line = String::new();
        while !line.contains(word) {
            line.clear();
            assert!(running.log.read_line(&mut line).unwrap() > 0, "ended");
        }
        let (_, text) = line.split_once('Z').unwrap();
        told += text.trim_start().replace(file.path(), "FILE").as_str();
    }
    expect![[r#"
        ERROR the old configuration stays: configuration FILE: discovery: expected ADDRESS:PORT, found "nowhere": invalid socket address syntax
        ERROR the old configuration stays: configuration FILE: EOF while parsing an object at line 1 column 1
        INFO configuration read again: n0 listens on 127.0.0.1:0, discovery at 127.0.0.1:9, 0 nodes known; at most 595 client connections and 397 to nodes; routes: read (retriable), put (non-retriable), quick (retriable)
    "#]].assert_eq(&told);
    assert_eq!(running.stop().0, Some(0));
}

/// Fewer descriptors than it was told: the connections that are idle longest make room, and it lives on.
#[test]
fn it_survives_a_want_of_descriptors() {
    let file = File::new("few", &configuration(&[]).to_string());
    let mut command = Command::new("sh");
    let serve =
        format!("ulimit -n 40; exec {} serve --config {}", env!("CARGO_BIN_EXE_pumicebay"), file.path());
    let mut running = Running::start({
        command.args(["-c", &serve]);
        command
    });
    let mut clients = Vec::new();
    for _ in 0..80 {
        let mut client = std::net::TcpStream::connect(&running.address).unwrap();
        client.write_all(b"*1\r\n$4\r\nPING\r\n").unwrap();
        let mut reply = [0; 7];
        client.read_exact(&mut reply).unwrap();
        assert_eq!(&reply, b"+PONG\r\n");
        clients.push(client);
    }
    let counted = running.counters();
    assert!(
        !counted.contains("accept_failures 0\n") && !counted.contains("clients_closed_for_room 0\n"),
        "{counted}"
    );
    let (code, rest) = running.stop();
    assert_eq!(code, Some(0), "{rest}");
}
