//! Integration tests of a proxy on loopback, with stub servers for one cache node, the origin and discovery.
//! The key of a request selects how the stubs reply to it; they log what they receive.

mod advertised_timeouts;
mod cancellation;
mod carrier;
mod cli;
mod clients;
mod codecs;
mod config;
mod descriptors;
mod fleet;
mod large_list;
mod list;
mod long_writes;
mod metrics;
mod migrate;
mod nodes;
mod operations;
mod phases;
mod pipelined_long_values;
mod replication;
mod restart;
mod streamed_verdicts;

use bytes::BytesMut;
use expect_test::Expect;
use futures_util::{SinkExt, StreamExt};
use pumicebay::config::{Config, parse};
use pumicebay::counters::Counters;
use pumicebay::phases::{Phase, PhaseWatch};
use pumicebay::resp::{Frame, MAX_BULK_BYTES, Resp};
use pumicebay::serve::Proxy;
use pumicebay::upstream::settling::CAUTIOUS_SETTLE_TIME;
use serde_json::{Value as Json, json};
use std::fs::File;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, mpsc, oneshot};
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep};
use tokio_util::codec::{Decoder, Encoder, Framed};

/// The locks of the files of a fleet's process, below its folder in these tests.
const LOCK_FILES: [&str; 3] = ["voter/lock", "carrier/carrier.lock", "replica/replica.lock"];

/// State that a stub server shares with its test: a log of what it received, one permit for each held reply
/// (to keys with `held`) that it may send, and the attempts that it received.
#[derive(Clone)]
pub struct StubState(Arc<Mutex<String>>, Arc<Semaphore>, Arc<Mutex<Vec<ReceivedAttempt>>>);

/// An attempt that reached a stub server.
#[derive(Clone, Debug)]
pub struct ReceivedAttempt {
    /// The id of its request.
    pub id: String,
    /// The timeout that the proxy advertised in label `d`, in milliseconds; None without a valid one.
    pub timeout_ms: Option<u64>,
    /// When the stub received it.
    pub received_at: Instant,
}

impl Default for StubState {
    fn default() -> StubState {
        StubState(Arc::default(), Arc::new(Semaphore::new(0)), Arc::default())
    }
}

impl StubState {
    /// Adds a line to the log.
    pub fn record(&self, line: &str) {
        *self.0.lock().unwrap() += &format!("{line}\n");
    }

    /// The log so far.
    pub fn log(&self) -> String {
        self.0.lock().unwrap().clone()
    }

    /// Adds an attempt of the request `id`, which carried these labels.
    fn record_attempt(&self, id: &str, labels: &str) {
        let timeout_ms =
            labels.split(',').filter_map(|label| label.strip_prefix("d=")?.parse().ok()).next_back();
        self.2.lock().unwrap().push(ReceivedAttempt {
            id: id.into(),
            timeout_ms,
            received_at: Instant::now(),
        });
    }

    /// The attempts received so far.
    pub fn attempts(&self) -> Vec<ReceivedAttempt> {
        self.2.lock().unwrap().clone()
    }

    /// Lets the stub send this many held replies.
    pub fn release(&self, replies: usize) {
        self.1.add_permits(replies);
    }

    /// Waits until the test releases a held reply.
    async fn wait_for_release(&self) {
        self.1.acquire().await.expect("never closed").forget();
    }

    /// Waits until the log contains this text; panics after 2000 checks 5 ms apart.
    pub async fn wait_for(&self, text: &str) {
        for _ in 0..2000 {
            if self.log().contains(text) {
                return;
            }
            sleep(Duration::from_millis(5)).await;
        }
        panic!("not received in time: {text}\n{}", self.log());
    }
}

/// A configuration with the figures of one deployment; `overrides` are JSON pointers and the values to set
/// there.
pub fn configuration(overrides: &[(&str, Json)]) -> Json {
    let route = |name, effect, objective: u64| {
        json!({"name": name, "effect": effect, "latency-objective-us": objective * 1000, "payoff": 1.0,
               "overall-timeout-us": objective * 2000, "dedup-scope": "all", "window-us": 5_000_000})
    };
    let mut json = json!({
        "name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:9", "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {"rev": 41, "all": true, "targets": []},
        "settings": {
            "discovery": "push", "domain": {"mode": "aside", "origin-kind": 1}, "fleet-size": 1, "me": 0,
            "skus": ["node", "origin"], "failure-domains": ["a", "b"],
            "orgs": [{"name": "acme", "quota-per-s": 1e6}],
            "permissions": {"may-probe": true, "retry-after": true, "most-upstream-tries": 4, "second-copies": true,
                            "conn-idle-us": 15_000_000, "connect-timeout-us": 200_000},
            "routes": [route("read", "repeatable", 2000), route("put", "once", 2000),
                       route("quick", "repeatable", 100)],
            "rules": {"cold-us": 24_000_000, "fall-us": 1_000_000, "start-capacity": 0.12},
            "telemetry": {"columns": [], "via": "silent"}
        }
    });
    for (pointer, value) in overrides {
        let (parent, key) = pointer.rsplit_once('/').expect("not a JSON pointer");
        let parent = json.pointer_mut(parent).expect("the pointer's parent does not exist");
        parent
            .as_object_mut()
            .expect("the pointer's parent is not an object")
            .insert(key.into(), value.clone());
    }
    json
}

/// An entry of discovery's list of nodes.
pub fn target(uid: &str, endpoint: &str, model: &str, state: &str) -> Json {
    json!({"uid": uid, "endpoint": endpoint, "az": "a", "model": model, "pod_group": 3, "state": state,
           "capacity_hint": 1.0, "boot_ms": 0})
}

/// A running proxy with its stub servers.
pub struct TestEnvironment {
    /// Where the proxy accepts clients.
    pub address: SocketAddr,
    /// Where the proxy accepts operator calls; None if not configured.
    pub operator_address: Option<SocketAddr>,
    /// Follows the proxy's phase.
    pub phase_watch: PhaseWatch,
    /// The stub of the cache node.
    pub cache: StubState,
    /// The stub of the origin.
    pub origin: StubState,
    /// The stub of discovery.
    pub discovery: StubState,
    /// The proxy's counters.
    pub counters: Arc<Counters>,
    /// Where the cache node's stub listens.
    pub cache_address: SocketAddr,
    /// Replies of the discovery stub to the next calls; a call waits until there is one.
    pub discovery_replies: mpsc::Sender<String>,
    /// Sending stops the proxy; None once it was told to stop.
    pub stop: Option<oneshot::Sender<()>>,
    /// Results of reading the configuration anew, for the proxy to apply.
    pub configs: mpsc::Sender<anyhow::Result<Config>>,
    /// The configuration that the proxy started with; `move_discovery` changes it.
    pub config_json: Json,
    /// Ends once the proxy has stopped.
    pub proxy_task: JoinHandle<()>,
}

impl TestEnvironment {
    /// Starts the stubs and a proxy with `configuration(overrides)`.
    pub async fn start(overrides: &[(&str, Json)]) -> TestEnvironment {
        TestEnvironment::start_with(overrides, |_| {}).await
    }

    /// Like `start`; `adjust` changes the parsed configuration before the proxy starts.
    pub async fn start_with(overrides: &[(&str, Json)], adjust: impl FnOnce(&mut Config)) -> TestEnvironment {
        let (cache, origin, discovery) = (StubState::default(), StubState::default(), StubState::default());
        let cache_address = start_server(cache.clone(), serve_cache_node).await;
        let origin_address = start_server(origin.clone(), serve_origin).await;
        let (discovery_replies, discovery_address) = self::start_discovery(discovery.clone()).await;
        let targets = json!([
            target("s-cache", &cache_address.to_string(), "node", "active"),
            target("s-origin", &origin_address.to_string(), "origin", "active"),
        ]);
        let mut config_json = configuration(overrides);
        config_json["known"]["targets"] = targets;
        config_json["discovery"] = json!(discovery_address.to_string());
        let mut config = parse(&config_json).expect("invalid configuration");
        adjust(&mut config);
        let counters = Arc::new(Counters::default());
        let proxy = Proxy::start(config, counters.clone()).await.expect("the proxy did not start");
        let (address, operator_address, phase_watch) = (proxy.address, proxy.operator, proxy.watch());
        let (stop, stopped) = oneshot::channel();
        let (configs, config_receiver) = mpsc::channel(1);
        let proxy_task = tokio::spawn(async move {
            let stop = async { stopped.await.unwrap_or(()) };
            proxy.run(stop, config_receiver).await.expect("the proxy failed");
        });
        let stop = Some(stop);
        TestEnvironment {
            address,
            operator_address,
            phase_watch,
            cache,
            origin,
            discovery,
            counters,
            cache_address,
            discovery_replies,
            stop,
            configs,
            config_json,
            proxy_task,
        }
    }

    /// Starts another discovery stub and reloads the configuration with its address. Returns its state and
    /// the sender of its replies.
    pub async fn move_discovery(&mut self) -> (StubState, mpsc::Sender<String>) {
        let state = StubState::default();
        let (replies, address) = start_discovery(state.clone()).await;
        self.config_json["discovery"] = json!(address.to_string());
        self.configs.send(parse(&self.config_json)).await.expect("the proxy does not run");
        (state, replies)
    }

    /// Connects a new client.
    pub async fn client(&self) -> Client {
        let stream = TcpStream::connect(self.address).await.expect("could not connect to the proxy");
        Client(Framed::new(stream, ReplyCodec))
    }

    /// The counters whose names begin with `prefix`, one a line.
    pub fn counter_lines(&self, prefix: &str) -> String {
        let text = self.counters.to_string();
        text.lines().filter(|line| line.starts_with(prefix)).map(|line| format!("{line}\n")).collect()
    }

    /// Waits until the counters contain this line (name and value); panics after 4000 checks 5 ms apart.
    pub async fn wait_for_counter(&self, line: &str) {
        for _ in 0..4000 {
            if self.counters.to_string().lines().any(|other| other == line) {
                return;
            }
            sleep(Duration::from_millis(5)).await;
        }
        panic!("the counters never contained: {line}\n{}", self.counters);
    }

    /// Simulates the kill of the process: its links, listeners and pending work are gone, and it writes no more to its files
    /// below `folder`.
    pub async fn kill(mut self, folder: &Path) {
        self.proxy_task.abort();
        let _ = (&mut self.proxy_task).await;
        // A write that has begun outlives its task, and would replace what a test puts into the folder. It holds the lock.
        for lock in LOCK_FILES {
            wait_until_unlocked(&folder.join(lock)).await;
        }
    }

    /// Tells the proxy to stop, and returns once it drains.
    pub async fn stop(&mut self) {
        self.stop.take().expect("stopped twice").send(()).expect("the proxy does not run");
        self.phase_watch.reached(Phase::Draining).await;
    }

    /// Compares the replies to clients and the logs of the cache node and the origin with the expected text.
    pub fn assert_traffic(&self, replies: &str, expect: Expect) {
        // Sorted by connection, since the order between concurrent connections varies.
        let sorted = |state: &StubState| {
            let text = state.log();
            let mut lines: Vec<&str> = text.lines().collect();
            lines.sort_by_key(|line| line.split(':').next().and_then(|number| number.parse::<usize>().ok()));
            lines.iter().map(|line| format!("{line}\n")).collect::<String>()
        };
        let (cache, origin) = (sorted(&self.cache), sorted(&self.origin));
        expect.assert_eq(&format!("{replies}-- cache node\n{cache}-- origin\n{origin}"));
    }
}

/// Waits until a connection to a node whose last reply has just arrived can carry another request, also if a node has
/// sent more than its replies.
pub async fn connections_settle() {
    sleep(CAUTIOUS_SETTLE_TIME + Duration::from_millis(30)).await;
}

/// The codec of test clients. Unlike `Resp`, it decodes bulk strings of any length as one frame.
pub struct ReplyCodec;

impl Decoder for ReplyCodec {
    type Item = Frame;
    type Error = std::io::Error;

    fn decode(&mut self, buffer: &mut BytesMut) -> std::io::Result<Option<Frame>> {
        let line_end = buffer.iter().take(20).position(|&byte| byte == b'\n');
        let head = line_end.and_then(|end| std::str::from_utf8(&buffer[..end]).ok()).unwrap_or_default();
        match head.trim_end().strip_prefix('$').and_then(|length| length.parse::<usize>().ok()) {
            Some(length) if length > MAX_BULK_BYTES => {
                let start = head.len() + 1;
                let complete = buffer.len() >= start + length + 2;
                let mut frame = || buffer.split_to(start + length + 2).freeze().slice(start..start + length);
                Ok(complete.then(|| Frame::Bulk(frame())))
            }
            _ => Resp.decode(buffer),
        }
    }
}

impl Encoder<&Frame> for ReplyCodec {
    type Error = std::io::Error;

    fn encode(&mut self, frame: &Frame, buffer: &mut BytesMut) -> std::io::Result<()> {
        Resp.encode(frame, buffer)
    }
}

/// A value of this length in which each byte differs from its neighbours, so that lost or swapped parts are
/// found.
pub fn patterned_value(length: usize) -> Vec<u8> {
    (0..length).map(|index| (index % 251) as u8).collect()
}

/// A client's connection to the proxy.
pub struct Client(pub Framed<TcpStream, ReplyCodec>);

impl Client {
    /// Sends a command.
    pub async fn send(&mut self, arguments: &[&str]) {
        let arguments =
            arguments.iter().map(|argument| Frame::Bulk(argument.as_bytes().to_vec().into())).collect();
        self.0.send(&Frame::Array(arguments)).await.expect("could not send the command");
    }

    /// The next reply as a line of text, or `closed` at the end of the connection.
    pub async fn reply(&mut self) -> String {
        match self.0.next().await {
            Some(Ok(Frame::Bulk(bytes))) if bytes.len() > 100 => format!("{} bytes\n", bytes.len()),
            Some(Ok(Frame::Bulk(bytes))) => format!("{}\n", String::from_utf8_lossy(&bytes)),
            Some(Ok(Frame::Simple(text))) => format!("+{}\n", String::from_utf8_lossy(&text)),
            Some(Ok(Frame::Error(text))) => format!("-{}\n", String::from_utf8_lossy(&text)),
            Some(Ok(other)) => format!("{other:?}\n"),
            Some(Err(error)) => format!("broken: {:?}\n", error.kind()),
            None => "closed\n".into(),
        }
    }

    /// Sends a command and returns its reply as a line, after the key (or the command's name without one).
    pub async fn execute(&mut self, arguments: &[&str]) -> String {
        self.send(arguments).await;
        format!("{}: {}", arguments.get(1).unwrap_or(&arguments[0]), self.reply().await)
    }

    /// Reads a key; its name selects how the stubs reply.
    pub async fn get(&mut self, key: &str) -> String {
        self.execute(&["C.GET", key, &format!("id-{key}"), "c=read,t=acme,d=3000,size=9,k=x"]).await
    }
}

/// Starts a server on a free port of loopback. `serve` handles one connection, given its number from 1.
async fn start_server<F>(
    state: StubState,
    serve: impl Fn(TcpStream, StubState, usize) -> F + Send + 'static,
) -> SocketAddr
where
    F: Future<Output = ()> + Send + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("no free port");
    let address = listener.local_addr().expect("the listener has no address");
    tokio::spawn(async move {
        for number in 1.. {
            let Ok((stream, _)) = listener.accept().await else { return };
            tokio::spawn(serve(stream, state.clone(), number));
        }
    });
    address
}

/// Waits until no process has locked this file; panics after 4000 checks 5 ms apart.
async fn wait_until_unlocked(path: &Path) {
    let Ok(file) = File::open(path) else { return };
    for _ in 0..4000 {
        if file.try_lock().is_ok() {
            return;
        }
        sleep(Duration::from_millis(5)).await;
    }
    panic!("{} stays locked", path.display());
}

/// Replaces the value of label `d` by `LEFT` if it is within 1 to 4000 ms: the time that the client has left
/// varies with the time that has passed.
fn mask_time_left(labels: &str) -> String {
    let mask = |label: &str| match label.strip_prefix("d=").map(str::parse::<u64>) {
        Some(Ok(1..=4000)) => "d=LEFT".into(),
        _ => label.to_string(),
    };
    labels.split(',').map(mask).collect::<Vec<_>>().join(",")
}

/// A cache node's connection. The first part of the key (up to `-`) selects the reply, for example `hit`,
/// `held` (sent once the test releases it), `slow`, `fail` or `hang` (none); any other key misses.
async fn serve_cache_node(stream: TcpStream, state: StubState, number: usize) {
    let mut framed = Framed::new(stream, Resp);
    while let Some(Ok(Frame::Array(arguments))) = framed.next().await {
        let argument = |index: usize| match arguments.get(index) {
            Some(Frame::Bulk(argument)) => String::from_utf8_lossy(argument).into_owned(),
            _ => String::new(),
        };
        let key = argument(1);
        let line =
            format!("{number}: {} {key} {} {}", argument(0), argument(2), mask_time_left(&argument(3)));
        if !key.is_empty() {
            state.record_attempt(&argument(2), &argument(3));
        }
        state.record(line.trim_end());
        let read_reply = |value| Frame::Array(vec![value, Frame::Null, Frame::Null]);
        let reply = match key.split('-').next().unwrap_or_default() {
            "hit" => read_reply(Frame::Bulk(format!("value of {}", argument(2)).into())),
            "held" => {
                state.wait_for_release().await;
                read_reply(Frame::Bulk(format!("value of {}", argument(2)).into()))
            }
            "slow" => {
                sleep(Duration::from_millis(800)).await;
                read_reply(Frame::Bulk(format!("value of {}", argument(2)).into()))
            }
            "late" => {
                sleep(Duration::from_millis(300)).await;
                read_reply(Frame::Null)
            }
            "large" => read_reply(Frame::Bulk(vec![b'x'; 60_000].into())),
            "huge" => read_reply(Frame::Bulk(vec![b'x'; 400_000].into())),
            "endless" => {
                let _ = framed.get_mut().write_all(b"*3\r\n$3221225472\r\nxxxx").await;
                continue;
            }
            "long" => {
                let piece_length =
                    key.rsplit('-').next().and_then(|size| size.parse().ok()).unwrap_or(4 << 20);
                let mut reply = BytesMut::new();
                Resp.encode(&read_reply(Frame::Bulk(patterned_value(4 << 20).into())), &mut reply).unwrap();
                for (index, chunk) in reply.chunks(piece_length).enumerate() {
                    if framed.get_mut().write_all(chunk).await.is_err() {
                        return;
                    }
                    // Pauses between pieces if they are large, and thus few, and between the first 40.
                    if piece_length > 100_000 || index < 40 {
                        sleep(Duration::from_millis(2)).await;
                    }
                }
                continue;
            }
            ending @ ("breaks" | "resets" | "stalls") => {
                if key.contains("-held") {
                    state.wait_for_release().await;
                }
                let _ = framed.get_mut().write_all(b"*3\r\n$200000\r\n").await;
                break_off(framed.get_mut(), ending).await;
                break;
            }
            "claims" => {
                let _ = framed.get_mut().write_all(b"*3\r\n$200000\r\nno such value").await;
                continue;
            }
            "fail" => Frame::error("ERR failed"),
            "reject" => Frame::error("ERR bad request"),
            "busy" => Frame::error("BUSY"),
            "garbage" => {
                let _ = framed.get_mut().write_all(b"what?\r\n").await;
                continue;
            }
            "odd" => Frame::Integer(7),
            "short" => {
                let _ = framed.get_mut().write_all(b"*3\r\n$20\r\nhalf a val").await;
                continue;
            }
            "twice" => {
                let _ = framed.feed(&read_reply(Frame::Bulk("value".into()))).await;
                read_reply(Frame::Bulk("value".into()))
            }
            "cut" => break,
            "hang" => continue,
            "" => Frame::simple("PONG"),
            _ => read_reply(Frame::Null),
        };
        if framed.send(&reply).await.is_err() {
            break;
        }
    }
    state.record(&format!("{number}: closed"));
}

/// Sends 150,000 of the 200,000 bytes of a value, and then nothing more: `breaks` ends the connection, `resets` resets
/// it, and `stalls` keeps it open until the proxy closes it.
async fn break_off(stream: &mut TcpStream, ending: &str) {
    let _ = stream.write_all(&patterned_value(150_000)).await;
    match ending {
        "resets" => {
            // A reset discards what the proxy has not read yet.
            sleep(Duration::from_millis(50)).await;
            let _ = stream.set_zero_linger();
        }
        "stalls" => drop(stream.read(&mut [0]).await),
        _ => {}
    }
}

/// An origin's connection. The second part of the key (between the first two `-`) selects the reply, for
/// example `held` (sent once the test releases it), `error`, `away` (turned away), `mute` (none, and the
/// connection ends) or `breaks` (part of a value); any other key has a value.
async fn serve_origin(mut stream: TcpStream, state: StubState, number: usize) {
    let mut buffer = Vec::new();
    loop {
        let mut chunk = [0; 65_536];
        match stream.read(&mut chunk).await {
            Ok(length) if length > 0 => buffer.extend_from_slice(&chunk[..length]),
            _ => break,
        }
        let Some(head_length) = buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n") else { continue };
        let (head, body) =
            (String::from_utf8_lossy(&buffer[..head_length]).into_owned(), &buffer[head_length + 4..]);
        let field = |name: &str| head.lines().find_map(|line| line.strip_prefix(name)).unwrap_or_default();
        if body.len() < field("Content-Length: ").parse().unwrap_or(0) {
            continue;
        }
        let body = match body.len() {
            0..100 => String::from_utf8_lossy(body).into_owned(),
            length if body == patterned_value(length) => format!("{length} bytes"),
            length => format!("{length} other bytes"),
        };
        let request_line = head.lines().next().unwrap_or_default().trim_end_matches(" HTTP/1.1");
        let key = request_line.split('/').nth(1).unwrap_or_default();
        // For keys that begin with `late`, the log has the value of `d` as received.
        let received_labels = field("X-Labels: ").to_string();
        state.record_attempt(field("X-Txn: "), &received_labels);
        let logged_labels =
            if key.starts_with("late") { received_labels } else { mask_time_left(&received_labels) };
        state.record(
            format!("{number}: {request_line} {} {logged_labels} {body}", field("X-Txn: ")).trim_end(),
        );
        let (status, header) = match key.split('-').nth(1).unwrap_or_default() {
            "error" => ("500 No", ""),
            "away" => ("503 No", "X-Turned-Away: 1\r\n"),
            "maybe" => ("503 No", ""),
            "mute" => return,
            "reject" => ("400 Bad", ""),
            "early" => ("103 Hints\r\n\r\nHTTP/1.1 200 OK", ""),
            "flood" => ("103 Hints", ""),
            _ => ("200 OK", "X-Pressure: inflight=3,util=0.5\r\n"),
        };
        if key.contains("-held") {
            state.wait_for_release().await;
        }
        if let Some(ending @ ("breaks" | "resets" | "stalls")) = key.split('-').nth(1) {
            let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n").await;
            break_off(&mut stream, ending).await;
            break;
        }
        let mut value = format!("origin's {}", field("X-Txn: "));
        if key == "miss-huge" {
            value = "o".repeat(300_000);
        }
        let mut answer =
            format!("HTTP/1.1 {status}\r\n{header}Content-Length: {}\r\n\r\n{value}", value.len());
        if status == "103 Hints" {
            answer = "HTTP/1.1 103 Hints\r\n\r\n".repeat(100);
        }
        if stream.write_all(answer.as_bytes()).await.is_err() {
            break;
        }
        buffer.clear();
    }
    state.record(&format!("{number}: closed"));
}

/// Starts a discovery stub. Returns the sender of its replies, and its address.
async fn start_discovery(state: StubState) -> (mpsc::Sender<String>, SocketAddr) {
    let (sender, receiver) = mpsc::channel(8);
    let replies = Arc::new(tokio::sync::Mutex::new(receiver));
    let serve = move |stream, state, _| serve_discovery(stream, state, replies.clone());
    (sender, start_server(state, serve).await)
}

/// A connection to the discovery stub: each call takes the next of the replies. `close` closes the
/// connection, and a reply after `half ` is announced as longer than what is sent of it.
async fn serve_discovery(
    mut stream: TcpStream,
    state: StubState,
    replies: Arc<tokio::sync::Mutex<mpsc::Receiver<String>>>,
) {
    let mut chunk = [0; 4096];
    while let Ok(length @ 1..) = stream.read(&mut chunk).await {
        let text = String::from_utf8_lossy(&chunk[..length]);
        state.record(text.lines().next().unwrap_or_default());
        let Some(answer) = replies.lock().await.recv().await else { return };
        if answer == "close" {
            return;
        }
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", answer.len());
        if let Some(partial_body) = answer.strip_prefix("half ") {
            // The last bytes of the announced length, those of the prefix `half `, are never sent.
            let _ = stream.write_all(format!("{head}{partial_body}").as_bytes()).await;
            std::future::pending::<()>().await;
        }
        if stream.write_all(format!("{head}{answer}").as_bytes()).await.is_err() {
            return;
        }
    }
}
