//! Idle clients may take all file descriptors while discovery is unreachable. Guards against a proxy that
//! then cannot connect to discovery again, or cannot carry out an operator's call or reload.

use crate::cli::{File, RunningProxy};
use crate::operations::call;
use crate::{StubState, configuration, serve_cache_node, serve_origin, start_server, target};
use anyhow::Context as _;
use pumicebay::config::parse;
use pumicebay::signals::reload_on_hangup;
use serde_json::{Value as Json, json};
use std::io::Error;
use std::net::SocketAddr;
use std::process::Command;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout};

/// The longest that a call may be delayed for want of descriptors.
const MAX_DELAY: Duration = Duration::from_secs(5);

/// A discovery stub that serves long polls, can announce a new version without changed entries, and can close
/// all its connections.
struct DiscoveryStub {
    stub: StubState,
    address: SocketAddr,
    /// The version of the list, and how often all connections were closed.
    state: watch::Sender<(u64, u64)>,
}

impl DiscoveryStub {
    async fn start(version: u64, list: Json) -> DiscoveryStub {
        let (stub, state) = (StubState::default(), watch::Sender::new((version, 0)));
        let watched = state.clone();
        let serve = move |stream, stub, _| serve_discovery(stream, stub, watched.subscribe(), list.clone());
        DiscoveryStub { address: start_server(stub.clone(), serve).await, stub, state }
    }

    /// How many requests with this text it has received.
    fn request_count(&self, text: &str) -> usize {
        self.stub.log().matches(text).count()
    }

    /// Waits until it has received at least this many requests with this text; panics after `MAX_DELAY`.
    async fn wait_for(&self, text: &str, times: usize) {
        let start = Instant::now();
        while self.request_count(text) < times {
            assert!(
                start.elapsed() < MAX_DELAY,
                "{text}: not received {times} times in time\n{}",
                self.stub.log()
            );
            sleep(Duration::from_millis(2)).await;
        }
        println!("{text}: received {times} times after {} ms", start.elapsed().as_millis());
    }
}

/// A connection to the stub: a call that names a version is held for up to a second, until there is a newer
/// one.
async fn serve_discovery(
    mut stream: TcpStream,
    stub: StubState,
    mut state: watch::Receiver<(u64, u64)>,
    list: Json,
) {
    let (mut chunk, connection_epoch) = ([0; 4096], state.borrow().1);
    loop {
        let length = tokio::select! {
            length = stream.read(&mut chunk) => length.unwrap_or(0),
            _ = state.wait_for(|state| state.1 != connection_epoch) => return,
        };
        let text = String::from_utf8_lossy(&chunk[..length]).into_owned();
        let Some(line) = text.lines().next() else { return };
        stub.record(line);
        let since_version = line.split(['=', '&']).nth(1).and_then(|text| text.parse::<u64>().ok());
        let has_changed = |state: &(u64, u64)| {
            state.1 != connection_epoch || since_version.is_none_or(|since| since < state.0)
        };
        let _ = timeout(Duration::from_secs(1), state.wait_for(has_changed)).await;
        let (version, current_epoch) = *state.borrow();
        if current_epoch != connection_epoch {
            return;
        }
        let targets = if since_version.is_none() { list.clone() } else { json!([]) };
        let body = json!({"rev": version, "all": since_version.is_none(), "targets": targets}).to_string();
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        if stream.write_all(answer.as_bytes()).await.is_err() {
            return;
        }
    }
}

/// A proxy process with few descriptors, which connections of clients, operators and nodes use up.
struct SaturatedProcess {
    running: RunningProxy,
    file: File,
    json: Json,
    address: SocketAddr,
    operator_address: SocketAddr,
    cache: StubState,
    discovery: DiscoveryStub,
    /// Clients whose requests the cache node holds, and connections that stay idle.
    holding_clients: Vec<TcpStream>,
    idle: Vec<TcpStream>,
    descriptors: usize,
}

/// A loopback address of this process's own: on 127.0.0.1 the kernel could give the port to another socket
/// meanwhile.
fn unused_address() -> SocketAddr {
    let process_id = std::process::id();
    let address = format!("127.77.{}.{}:0", process_id >> 8 & 255, process_id & 255 | 1);
    std::net::TcpListener::bind(&address).unwrap().local_addr().unwrap()
}

/// A command in RESP.
fn encode_command(arguments: &[&str]) -> Vec<u8> {
    let bulk = |argument: &&str| format!("${}\r\n{argument}\r\n", argument.len());
    format!("*{}\r\n{}", arguments.len(), arguments.iter().map(bulk).collect::<String>()).into_bytes()
}

impl SaturatedProcess {
    /// Starts a process whose configuration allows this many sockets, and the platform this many descriptors.
    async fn start(sockets: usize, descriptors: usize) -> SaturatedProcess {
        let cache = StubState::default();
        let nodes = json!([
            target(
                "s-cache",
                &start_server(cache.clone(), serve_cache_node).await.to_string(),
                "node",
                "active"
            ),
            target(
                "s-origin",
                &start_server(StubState::default(), serve_origin).await.to_string(),
                "origin",
                "active"
            ),
        ]);
        let (discovery, operator_address) = (DiscoveryStub::start(41, nodes.clone()).await, unused_address());
        let mut json = configuration(&[
            ("/discovery", json!(discovery.address.to_string())),
            ("/operator", json!(operator_address.to_string())),
            ("/limits/sockets", json!(sockets)),
            ("/settings/routes/0/overall-timeout-us", json!(60_000_000)),
            ("/settings/routes/0/latency-objective-us", json!(60_000_000)),
        ]);
        json["known"]["targets"] = nodes;
        let file = File::new(&format!("descriptors-{sockets}-{descriptors}"), &json.to_string());
        let program = env!("CARGO_BIN_EXE_pumicebay");
        let serve = format!("ulimit -n {descriptors}; exec {program} serve --config {}", file.path());
        let mut command = Command::new("sh");
        command.args(["-c", &serve]);
        let running = tokio::task::spawn_blocking(|| RunningProxy::start(command)).await.unwrap();
        let address = running.address().parse().unwrap();
        discovery.wait_for("index=41", 1).await;
        let (holding_clients, idle) = (Vec::new(), Vec::new());
        SaturatedProcess {
            running,
            file,
            json,
            address,
            operator_address,
            cache,
            discovery,
            holding_clients,
            idle,
            descriptors,
        }
    }

    /// How many descriptors the process has open.
    fn open_descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.running.id())).unwrap().count()
    }

    /// Connects one more client, which sends PING and then stays idle.
    async fn add_idle_client(&mut self) {
        let mut client = TcpStream::connect(self.address).await.unwrap();
        let _ = client.write_all(&encode_command(&["PING"])).await;
        let _ = timeout(MAX_DELAY, client.read(&mut [0; 7])).await;
        self.idle.push(client);
    }

    /// Sends a request of this client to which the node holds the reply, so that a connection to the node
    /// stays open.
    async fn send_held_request(&mut self, client: usize) {
        let id = format!("id-{}", self.cache.log().len());
        let key = format!("held-{id}");
        let _ = self.holding_clients[client]
            .write_all(&encode_command(&["C.GET", &key, &id, "c=read,d=60000"]))
            .await;
    }

    /// Opens connections of nodes and operators up to their limits, and this many idle clients, the last ones
    /// above the limit.
    async fn open_connections(&mut self, clients: usize) {
        for client in 0..40 {
            self.holding_clients.push(TcpStream::connect(self.address).await.unwrap());
            self.send_held_request(client).await;
        }
        for _ in 0..40 {
            self.idle.push(TcpStream::connect(self.operator_address).await.unwrap());
        }
        for _ in 0..clients {
            self.add_idle_client().await;
        }
    }

    /// The reply to a new client; if its connection is closed for want of descriptors, it connects again.
    async fn get(&self, key: &str) -> String {
        let start = Instant::now();
        while start.elapsed() < MAX_DELAY {
            let mut reply = vec![0; 200];
            let mut client = TcpStream::connect(self.address).await.unwrap();
            let _ = client.write_all(&encode_command(&["C.GET", key, "id-late", "c=read,d=3000"])).await;
            if let Ok(Ok(length @ 1..)) = timeout(MAX_DELAY, client.read(&mut reply)).await {
                println!("{key}: {} ms", start.elapsed().as_millis());
                return String::from_utf8_lossy(&reply[..length]).replace("\r\n", " ");
            }
        }
        "no reply".into()
    }

    /// Changes discovery's address in the configuration file and sends SIGHUP; the process must call the new
    /// address.
    async fn move_discovery(&mut self) {
        let new_discovery = DiscoveryStub::start(7, self.json["known"]["targets"].clone()).await;
        self.json["discovery"] = json!(new_discovery.address.to_string());
        std::fs::write(self.file.path(), self.json.to_string()).unwrap();
        self.running.signal("-HUP");
        new_discovery.wait_for("instances HTTP", 1).await;
        new_discovery.wait_for("index=7", 1).await;
        self.discovery = new_discovery;
    }

    /// Asserts that clients and operators get replies, and that the process stops when told to.
    async fn assert_serves_and_stops(mut self) {
        let reply = self.get("hit-late").await;
        assert!(reply.contains("id-late"), "{reply}");
        assert_eq!(call(self.operator_address, "GET", "/status", "").await, "200 serving\n");
        self.cache.release(1000);
        (self.holding_clients, self.idle) = (Vec::new(), Vec::new());
        let (code, log) = tokio::task::spawn_blocking(move || self.running.stop()).await.unwrap();
        assert!(code == Some(0) && !log.contains("panicked"), "{log}");
    }
}

/// Uses up all descriptors with more than a hundred idle clients above the limit and all other connections at
/// theirs; then discovery's connection is closed, the list changes, and discovery moves.
async fn assert_discovery_followed(sockets: usize, descriptors: usize, clients: usize) {
    let mut process = SaturatedProcess::start(sockets, descriptors).await;
    process.open_connections(clients).await;
    // Discovery's connection is closed, and new clients compete for its descriptor.
    let request_count = process.discovery.request_count("index=41");
    process.discovery.state.send_modify(|state| state.1 += 1);
    for _ in 0..20 {
        process.add_idle_client().await;
    }
    process.discovery.wait_for("index=41", request_count + 1).await;
    process.discovery.state.send_modify(|state| state.0 = 42);
    process.discovery.wait_for("index=42", 1).await;
    process.move_discovery().await;
    process.assert_serves_and_stops().await;
}

#[tokio::test]
async fn discovery_is_followed_at_the_connection_limits() {
    assert_discovery_followed(128, 128, 160).await;
    assert_discovery_followed(608, 608, 450).await;
}

#[tokio::test]
async fn discovery_is_followed_when_descriptors_run_out_below_the_limits() {
    assert_discovery_followed(256, 64, 100).await;
}

/// The last descriptors go to connections to nodes, and no new client connects, for which an idle one would
/// be closed.
#[tokio::test]
async fn discovery_is_followed_when_node_connections_take_the_last_descriptors() {
    let mut process = SaturatedProcess::start(256, 64).await;
    process.holding_clients.push(TcpStream::connect(process.address).await.unwrap());
    while process.open_descriptors() < process.descriptors - 4 {
        process.add_idle_client().await;
    }
    let request_count = process.discovery.request_count("index=41");
    for _ in 0..12 {
        process.send_held_request(0).await;
        sleep(Duration::from_millis(2)).await;
    }
    process.discovery.state.send_modify(|state| state.1 += 1);
    for _ in 0..12 {
        process.send_held_request(0).await;
        sleep(Duration::from_millis(2)).await;
    }
    process.discovery.wait_for("index=41", request_count + 1).await;
    process.move_discovery().await;
    process.assert_serves_and_stops().await;
}

/// Guards against a lost SIGHUP: reading the configuration fails three times for want of descriptors and is
/// retried.
#[tokio::test]
async fn a_reload_that_fails_for_want_of_descriptors_is_retried() {
    let failures_left = AtomicUsize::new(3);
    let read = move || match failures_left.fetch_sub(1, Ordering::Relaxed) {
        0 => parse(&configuration(&[])),
        left => Err(Error::from_raw_os_error([0, 24, 23, 24][left])).context("configuration FILE"),
    };
    let mut configs = reload_on_hangup(read).unwrap();
    let process_id = std::process::id().to_string();
    assert!(Command::new("kill").args(["-HUP", &process_id]).status().unwrap().success());
    let config = timeout(MAX_DELAY, configs.recv()).await.unwrap().unwrap();
    assert_eq!(config.unwrap().name, "n0");
}
