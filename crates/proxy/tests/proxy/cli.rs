//! The commands of the program, and how a serving process reacts to signals and to a lack of descriptors.

use crate::configuration;
use expect_test::expect;
use serde_json::json;
use std::io::{BufRead, BufReader, Read, Write};
use std::process::{Child, ChildStderr, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};

/// The program with these arguments. Its standard output and error are captured.
pub fn program(args: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_pumicebay"));
    command.args(args).env_remove("PROXY_CONFIG").stdout(Stdio::piped()).stderr(Stdio::piped());
    command
}

/// A file with a name of its own in the temporary folder, removed on drop.
pub struct File(std::path::PathBuf);

impl File {
    /// Writes a file with this text; `name` becomes part of the file's name.
    pub fn new(name: &str, text: &str) -> File {
        // Tests that run at the same time must not share a file.
        static NEXT_NUMBER: AtomicUsize = AtomicUsize::new(0);
        let (pid, number) = (std::process::id(), NEXT_NUMBER.fetch_add(1, Ordering::Relaxed));
        let path = std::env::temp_dir().join(format!("pumicebay-{pid}-{number}-{name}.json"));
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
fn each_command_prints_its_result_or_an_error() {
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
        let output = program(args).output().unwrap();
        let text =
            format!("{}{}", String::from_utf8_lossy(&output.stdout), String::from_utf8_lossy(&output.stderr));
        let text = [&good, &bad, &broken].iter().fold(text, |text, file| text.replace(file.path(), "FILE"));
        trace += &format!("{}: {:?}\n{text}", args.first().unwrap_or(&""), output.status.code());
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

/// A serving proxy process, killed on drop.
pub struct RunningProxy {
    child: Child,
    log: BufReader<ChildStderr>,
    address: String,
    /// Its log up to the line that it listens.
    pub startup_log: String,
}

impl RunningProxy {
    /// Starts a process and waits until its log says that it listens.
    pub fn start(mut command: Command) -> RunningProxy {
        let mut child = command.stderr(Stdio::piped()).spawn().unwrap();
        let mut log = BufReader::new(child.stderr.take().unwrap());
        let (mut startup_log, mut line) = (String::new(), String::new());
        while !line.contains("INFO listens on 127.0.0.1:") {
            line.clear();
            assert!(log.read_line(&mut line).unwrap() > 0, "the process ended before it listened");
            startup_log += &line;
        }
        let address = line.trim().rsplit(' ').next().unwrap().to_string();
        RunningProxy { child, log, address, startup_log }
    }

    /// The process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// The address on which it accepts clients.
    pub fn address(&self) -> &str {
        &self.address
    }

    /// The output of the command `counters` for this process.
    fn counters(&self) -> String {
        let counters = program(&["counters", &self.address]).output().unwrap();
        String::from_utf8_lossy(&counters.stdout).into_owned()
    }

    /// Sends a signal, such as `-TERM`.
    pub fn signal(&self, signal: &str) {
        let sent = Command::new("kill").args([signal, &self.child.id().to_string()]).status().unwrap();
        assert!(sent.success());
    }

    /// Sends SIGTERM and waits for the end. Returns the exit code and the rest of the log.
    pub fn stop(&mut self) -> (Option<i32>, String) {
        self.signal("-TERM");
        let mut rest = String::new();
        self.log.read_to_string(&mut rest).unwrap();
        (self.child.wait().unwrap().code(), rest)
    }
}

impl Drop for RunningProxy {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A SIGTERM that arrives during startup, here while the process waits for a silent discovery, must neither
/// be lost nor cut the startup off: once the process is ready to serve it drains and stops as usual.
#[test]
fn sigterm_during_startup_leads_to_an_orderly_stop() {
    let silent = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = silent.local_addr().unwrap().to_string();
    let file = File::new("starting", &configuration(&[("/discovery", json!(address))]).to_string());
    let socket = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let mut command = program(&["serve", "--config", file.path()]);
    command.stdin(std::os::fd::OwnedFd::from(socket)).env("PROXY_FD", "0").stderr(Stdio::piped());
    let mut child = command.spawn().unwrap();
    // The call to discovery shows that startup is under way.
    let (_call, _) = silent.accept().unwrap();
    let sent = Command::new("kill").args(["-TERM", &child.id().to_string()]).status().unwrap();
    assert!(sent.success());
    let (mut log, mut stderr) = (String::new(), child.stderr.take().unwrap());
    stderr.read_to_string(&mut log).unwrap();
    assert_eq!(child.wait().unwrap().code(), Some(0), "{log}");
    assert!(log.contains("Draining") && log.contains("Stopped") && !log.contains("panicked"), "{log}");
}

/// A second SIGTERM, and a SIGHUP to reload the configuration, change nothing in a process that is already
/// stopping.
#[test]
fn further_signals_do_not_disturb_an_orderly_stop() {
    let file = File::new("twice", &configuration(&[]).to_string());
    let mut running = RunningProxy::start(program(&["serve", "--config", file.path()]));
    running.signal("-TERM");
    running.signal("-HUP");
    let (code, log) = running.stop();
    assert_eq!(code, Some(0));
    assert!(log.contains("Draining") && log.contains("Stopped") && !log.contains("panicked"), "{log}");
}

#[test]
fn a_process_reports_its_counters_and_stops_on_sigterm() {
    let file = File::new("serve", &configuration(&[]).to_string());
    let mut running = RunningProxy::start(program(&["serve", "--config", file.path()]));
    let counters = running.counters();
    assert!(
        counters.contains("clients_accepted 1\n") && counters.contains("exchanges_taken 0\n"),
        "{counters}"
    );
    let (code, rest) = running.stop();
    assert_eq!(code, Some(0), "{rest}");
    let phases: Vec<&str> = rest.lines().filter_map(|line| line.rsplit("INFO ").next()).collect();
    let all_phases_logged = ["Draining", "Closing", "Stopped"].iter().all(|phase| phases.contains(phase));
    assert!(all_phases_logged && rest.contains("counters: clients_accepted 1, "), "{rest}");
}

/// An invalid file leaves the old configuration in force. After a valid reload, the discovery address from
/// the file replaces the one from `PROXY_DISCOVERY`.
#[test]
fn sighup_reloads_the_configuration() {
    let file = File::new("hangup", &configuration(&[]).to_string());
    let mut command = program(&["serve", "--config", file.path()]);
    command.env("PROXY_DISCOVERY", "127.0.0.1:7");
    let mut running = RunningProxy::start(command);
    let mut logged = String::new();
    for (text, expected) in [
        (configuration(&[("/discovery", json!("nowhere"))]).to_string(), "ERROR"),
        ("{".into(), "ERROR"),
        (configuration(&[]).to_string(), "read again"),
    ] {
        std::fs::write(file.path(), text).unwrap();
        running.signal("-HUP");
        let mut line = String::new();
        while !line.contains(expected) {
            line.clear();
            assert!(running.log.read_line(&mut line).unwrap() > 0, "the process ended");
        }
        let (_, text) = line.split_once('Z').unwrap();
        logged += text.trim_start().replace(file.path(), "FILE").as_str();
    }
    expect![[r#"
        ERROR the old configuration stays: configuration FILE: discovery: expected ADDRESS:PORT, found "nowhere": invalid socket address syntax
        ERROR the old configuration stays: configuration FILE: EOF while parsing an object at line 1 column 1
        INFO configuration read again: n0 listens on 127.0.0.1:0, discovery at 127.0.0.1:9, 0 nodes known; at most 595 client connections and 397 to nodes; routes: read (retriable), put (non-retriable), quick (retriable)
    "#]].assert_eq(&logged);
    assert_eq!(running.stop().0, Some(0));
}

/// The system allows fewer descriptors than the configuration says, so accepting connections fails. The
/// process must close the connections that are idle longest to make room, and go on serving.
#[test]
fn running_out_of_descriptors_does_not_stop_the_process() {
    let file = File::new("few", &configuration(&[]).to_string());
    let mut command = Command::new("sh");
    let serve =
        format!("ulimit -n 40; exec {} serve --config {}", env!("CARGO_BIN_EXE_pumicebay"), file.path());
    let mut running = RunningProxy::start({
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
    let counters = running.counters();
    assert!(
        !counters.contains("accept_failures 0\n") && !counters.contains("clients_closed_for_room 0\n"),
        "{counters}"
    );
    let (code, rest) = running.stop();
    assert_eq!(code, Some(0), "{rest}");
}
