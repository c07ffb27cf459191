//! Idle clients may fill all descriptors while discovery is down: it is followed again all the same, and what an
//! operator asks for meanwhile is done.

use crate::cli::{File, RunningProxy};
use crate::operations::call;
use crate::{Trace, cache_node, configuration, listen, origin_server, target};
use anyhow::Context as _;
use pumicebay::config::parse;
use pumicebay::serve::reload_on_hangup;
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

/// How long a call may be late for want of descriptors.
const SOON: Duration = Duration::from_secs(5);

/// A discovery that holds calls for a while, tells versions without changes, and can end all its connections.
struct Agent {
    trace: Trace,
    address: SocketAddr,
    /// The version, and how often its connections were ended.
    state: watch::Sender<(u64, u64)>,
}

impl Agent {
    async fn start(version: u64, list: Json) -> Agent {
        let (trace, state) = (Trace::default(), watch::Sender::new((version, 0)));
        let watched = state.clone();
        let serve = move |stream, trace, _| serve(stream, trace, watched.subscribe(), list.clone());
        Agent { address: listen(trace.clone(), serve).await, trace, state }
    }

    /// How often it was asked for this.
    fn asked(&self, what: &str) -> usize {
        self.trace.text().matches(what).count()
    }

    async fn until(&self, what: &str, times: usize) {
        let start = Instant::now();
        while self.asked(what) < times {
            assert!(start.elapsed() < SOON, "{what} {times}: not in time\n{}", self.trace.text());
            sleep(Duration::from_millis(2)).await;
        }
        println!("{what} {times}: {} ms", start.elapsed().as_millis());
    }
}

async fn serve(mut stream: TcpStream, trace: Trace, mut state: watch::Receiver<(u64, u64)>, list: Json) {
    let (mut some, life) = ([0; 4096], state.borrow().1);
    loop {
        let length = tokio::select! {
            length = stream.read(&mut some) => length.unwrap_or(0),
            _ = state.wait_for(|now| now.1 != life) => return,
        };
        let text = String::from_utf8_lossy(&some[..length]).into_owned();
        let Some(line) = text.lines().next() else { return };
        trace.line(line);
        let from = line.split(['=', '&']).nth(1).and_then(|from| from.parse::<u64>().ok());
        let news = |now: &(u64, u64)| now.1 != life || from.is_none_or(|from| from < now.0);
        let _ = timeout(Duration::from_secs(1), state.wait_for(news)).await;
        let (version, now) = *state.borrow();
        if now != life {
            return;
        }
        let targets = if from.is_none() { list.clone() } else { json!([]) };
        let body = json!({"rev": version, "all": from.is_none(), "targets": targets}).to_string();
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        if stream.write_all(answer.as_bytes()).await.is_err() {
            return;
        }
    }
}

/// A process with few descriptors, filled up by clients, callers and nodes.
struct Filled {
    running: RunningProxy,
    file: File,
    json: Json,
    address: SocketAddr,
    door: SocketAddr,
    cache: Trace,
    discovery: Agent,
    /// Clients that may ask for something, and those that only sit there.
    busy: Vec<TcpStream>,
    idle: Vec<TcpStream>,
    descriptors: usize,
}

/// An address where nobody else listens: not the one that sockets get by chance.
fn free() -> SocketAddr {
    let own = std::process::id();
    let at = format!("127.77.{}.{}:0", own >> 8 & 255, own & 255 | 1);
    std::net::TcpListener::bind(&at).unwrap().local_addr().unwrap()
}

fn words(words: &[&str]) -> Vec<u8> {
    let bulk = |word: &&str| format!("${}\r\n{word}\r\n", word.len());
    format!("*{}\r\n{}", words.len(), words.iter().map(bulk).collect::<String>()).into_bytes()
}

impl Filled {
    /// Room for so many sockets by its limits, descriptors for so many by the platform's.
    async fn start(sockets: usize, descriptors: usize) -> Filled {
        let cache = Trace::default();
        let nodes = json!([
            target("s-cache", &listen(cache.clone(), cache_node).await.to_string(), "node", "active"),
            target(
                "s-origin",
                &listen(Trace::default(), origin_server).await.to_string(),
                "origin",
                "active"
            ),
        ]);
        let (discovery, door) = (Agent::start(41, nodes.clone()).await, free());
        let mut json = configuration(&[
            ("/discovery", json!(discovery.address.to_string())),
            ("/operator", json!(door.to_string())),
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
        discovery.until("index=41", 1).await;
        let (busy, idle) = (Vec::new(), Vec::new());
        Filled { running, file, json, address, door, cache, discovery, busy, idle, descriptors }
    }

    /// Descriptors that the process has open.
    fn open(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.running.id())).unwrap().count()
    }

    /// One more client, which says that it is there and no more.
    async fn client(&mut self) {
        let mut client = TcpStream::connect(self.address).await.unwrap();
        let _ = client.write_all(&words(&["PING"])).await;
        let _ = timeout(SOON, client.read(&mut [0; 7])).await;
        self.idle.push(client);
    }

    /// A client asks for what the node holds back, so that a connection to it stays.
    async fn hold(&mut self, client: usize) {
        let id = format!("id-{}", self.cache.text().len());
        let key = format!("held-{id}");
        let _ = self.busy[client].write_all(&words(&["C.GET", &key, &id, "c=read,d=60000"])).await;
    }

    /// Connections to nodes and callers up to their caps, and so many clients, the last ones past all room.
    async fn fill(&mut self, clients: usize) {
        for client in 0..40 {
            self.busy.push(TcpStream::connect(self.address).await.unwrap());
            self.hold(client).await;
        }
        for _ in 0..40 {
            self.idle.push(TcpStream::connect(self.door).await.unwrap());
        }
        for _ in 0..clients {
            self.client().await;
        }
    }

    /// A client's answer; one that is turned away for want of room calls again.
    async fn get(&self, key: &str) -> String {
        let start = Instant::now();
        while start.elapsed() < SOON {
            let mut reply = vec![0; 200];
            let mut client = TcpStream::connect(self.address).await.unwrap();
            let _ = client.write_all(&words(&["C.GET", key, "id-late", "c=read,d=3000"])).await;
            if let Ok(Ok(length @ 1..)) = timeout(SOON, client.read(&mut reply)).await {
                println!("{key}: {} ms", start.elapsed().as_millis());
                return String::from_utf8_lossy(&reply[..length]).replace("\r\n", " ");
            }
        }
        "no answer".into()
    }

    /// A hangup: where the file says discovery is now, it is asked.
    async fn moves(&mut self) {
        let moved = Agent::start(7, self.json["known"]["targets"].clone()).await;
        self.json["discovery"] = json!(moved.address.to_string());
        std::fs::write(self.file.path(), self.json.to_string()).unwrap();
        self.running.signal("-HUP");
        moved.until("instances HTTP", 1).await;
        moved.until("index=7", 1).await;
        self.discovery = moved;
    }

    /// Clients and operators are answered, and it ends when told to.
    async fn ends(mut self) {
        let reply = self.get("hit-late").await;
        assert!(reply.contains("id-late"), "{reply}");
        assert_eq!(call(self.door, "GET", "/status", "").await, "200 serving\n");
        self.cache.release(1000);
        (self.busy, self.idle) = (Vec::new(), Vec::new());
        let (code, log) = tokio::task::spawn_blocking(move || self.running.stop()).await.unwrap();
        assert!(code == Some(0) && !log.contains("panicked"), "{log}");
    }
}

/// Over a hundred idle clients more than room, and all else at its cap too.
async fn holds(sockets: usize, descriptors: usize, clients: usize) {
    let mut filled = Filled::start(sockets, descriptors).await;
    filled.fill(clients).await;
    // Discovery's connection ends, and clients are there for its descriptor.
    let asked = filled.discovery.asked("index=41");
    filled.discovery.state.send_modify(|state| state.1 += 1);
    for _ in 0..20 {
        filled.client().await;
    }
    filled.discovery.until("index=41", asked + 1).await;
    filled.discovery.state.send_modify(|state| state.0 = 42);
    filled.discovery.until("index=42", 1).await;
    filled.moves().await;
    filled.ends().await;
}

#[tokio::test]
async fn discovery_is_followed_though_all_room_is_taken() {
    holds(128, 128, 160).await;
    holds(608, 608, 450).await;
}

#[tokio::test]
async fn discovery_is_followed_though_descriptors_run_out_below_the_limits() {
    holds(256, 64, 100).await;
}

/// The last descriptors go to connections to nodes, and no client comes whose turn would make room.
#[tokio::test]
async fn discovery_is_followed_though_nodes_have_the_last_descriptors() {
    let mut filled = Filled::start(256, 64).await;
    filled.busy.push(TcpStream::connect(filled.address).await.unwrap());
    while filled.open() < filled.descriptors - 4 {
        filled.client().await;
    }
    let asked = filled.discovery.asked("index=41");
    for _ in 0..12 {
        filled.hold(0).await;
        sleep(Duration::from_millis(2)).await;
    }
    filled.discovery.state.send_modify(|state| state.1 += 1);
    for _ in 0..12 {
        filled.hold(0).await;
        sleep(Duration::from_millis(2)).await;
    }
    filled.discovery.until("index=41", asked + 1).await;
    filled.moves().await;
    filled.ends().await;
}

/// An operator's word is not lost for want of a descriptor.
#[tokio::test]
async fn a_configuration_that_no_descriptor_is_there_for_is_read_again() {
    let left = AtomicUsize::new(3);
    let read = move || match left.fetch_sub(1, Ordering::Relaxed) {
        0 => parse(&configuration(&[])),
        left => Err(Error::from_raw_os_error([0, 24, 23, 24][left])).context("configuration FILE"),
    };
    let mut configs = reload_on_hangup(read).unwrap();
    let own = std::process::id().to_string();
    assert!(Command::new("kill").args(["-HUP", &own]).status().unwrap().success());
    let config = timeout(SOON, configs.recv()).await.unwrap().unwrap();
    assert_eq!(config.unwrap().name, "n0");
}
