//! A proxy on loopback with stand-ins for one cache node, the origin and discovery. What the stand-ins do
//! with an exchange its key tells; what they see they write down.

mod carrier;
mod cli;
mod clients;
mod config;
mod descriptors;
mod endings;
mod fleet;
mod list;
mod metrics;
mod migrate;
mod nodes;
mod operations;
mod phases;
mod replication;
mod restart;
mod size;
mod told;
mod wire;

use bytes::BytesMut;
use expect_test::Expect;
use futures_util::{SinkExt, StreamExt};
use pumicebay::config::{Config, parse};
use pumicebay::counters::Counters;
use pumicebay::phases::{Phase, PhaseWatch};
use pumicebay::resp::{Frame, MAX_BULK_BYTES, Resp};
use pumicebay::serve::Proxy;
use serde_json::{Value as Json, json};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, mpsc, oneshot};
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep};
use tokio_util::codec::{Decoder, Encoder, Framed};

/// What a stand-in saw, how many answers it holds back until told (for keys with `held`), and what attempts told it.
#[derive(Clone)]
pub struct Trace(Arc<Mutex<String>>, Arc<Semaphore>, Arc<Mutex<Vec<Told>>>);

/// How long an attempt told its server that it would be waited for, and when that came.
#[derive(Clone, Debug)]
pub struct Told {
    pub id: String,
    pub millis: Option<u64>,
    pub at: Instant,
}

impl Default for Trace {
    fn default() -> Trace {
        Trace(Arc::default(), Arc::new(Semaphore::new(0)), Arc::default())
    }
}

impl Trace {
    pub fn line(&self, line: &str) {
        *self.0.lock().unwrap() += &format!("{line}\n");
    }

    pub fn text(&self) -> String {
        self.0.lock().unwrap().clone()
    }

    /// An attempt came with these labels.
    fn attempt(&self, id: &str, labels: &str) {
        let millis = labels.split(',').filter_map(|label| label.strip_prefix("d=")?.parse().ok()).next_back();
        self.2.lock().unwrap().push(Told { id: id.into(), millis, at: Instant::now() });
    }

    /// What attempts told so far.
    pub fn told(&self) -> Vec<Told> {
        self.2.lock().unwrap().clone()
    }

    /// Lets so many held answers go.
    pub fn release(&self, answers: usize) {
        self.1.add_permits(answers);
    }

    async fn held(&self) {
        self.1.acquire().await.expect("never closed").forget();
    }

    /// Waits until something was seen; says so if that never happens.
    pub async fn until(&self, seen: &str) {
        for _ in 0..2000 {
            if self.text().contains(seen) {
                return;
            }
            sleep(Duration::from_millis(5)).await;
        }
        panic!("never seen: {seen}\n{}", self.text());
    }
}

/// A configuration with one deployment's figures; `set` changes it by JSON pointers.
pub fn configuration(set: &[(&str, Json)]) -> Json {
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
            "permissions": {"may-probe": true, "retry-after": true, "most-upstream-tries": 4,
                            "conn-idle-us": 15_000_000, "connect-timeout-us": 200_000},
            "routes": [route("read", "repeatable", 2000), route("put", "once", 2000),
                       route("quick", "repeatable", 100)],
            "rules": {"cold-us": 24_000_000, "fall-us": 1_000_000, "start-capacity": 0.12},
            "telemetry": {"columns": [], "via": "silent"}
        }
    });
    for (place, value) in set {
        let (parent, key) = place.rsplit_once('/').expect("a pointer");
        let parent = json.pointer_mut(parent).expect("a known place");
        parent.as_object_mut().expect("an object").insert(key.into(), value.clone());
    }
    json
}

pub fn target(uid: &str, endpoint: &str, model: &str, state: &str) -> Json {
    json!({"uid": uid, "endpoint": endpoint, "az": "a", "model": model, "pod_group": 3, "state": state,
           "capacity_hint": 1.0, "boot_ms": 0})
}

pub struct World {
    pub address: SocketAddr,
    pub operator: Option<SocketAddr>,
    pub watch: PhaseWatch,
    pub cache: Trace,
    pub origin: Trace,
    pub discovery: Trace,
    pub counters: Arc<Counters>,
    pub cache_address: SocketAddr,
    /// Answers for discovery's next calls; a call without one waits.
    pub tell: mpsc::Sender<String>,
    pub stop: Option<oneshot::Sender<()>>,
    /// Configurations that are read anew.
    pub configs: mpsc::Sender<anyhow::Result<Config>>,
    pub json: Json,
    pub running: JoinHandle<()>,
}

impl World {
    pub async fn start(set: &[(&str, Json)]) -> World {
        World::start_with(set, |_| {}).await
    }

    pub async fn start_with(set: &[(&str, Json)], change: impl FnOnce(&mut Config)) -> World {
        let (cache, origin, discovery) = (Trace::default(), Trace::default(), Trace::default());
        let cache_address = listen(cache.clone(), cache_node).await;
        let origin_address = listen(origin.clone(), origin_server).await;
        let (tell, discovery_address) = self::discovery(discovery.clone()).await;
        let targets = json!([
            target("s-cache", &cache_address.to_string(), "node", "active"),
            target("s-origin", &origin_address.to_string(), "origin", "active"),
        ]);
        let mut json = configuration(set);
        json["known"]["targets"] = targets;
        json["discovery"] = json!(discovery_address.to_string());
        let mut config = parse(&json).expect("a sound configuration");
        change(&mut config);
        let counters = Arc::new(Counters::default());
        let proxy = Proxy::start(config, counters.clone()).await.expect("a proxy");
        let (address, operator, watch) = (proxy.address, proxy.operator, proxy.watch());
        let (stop, stopped) = oneshot::channel();
        let (configs, fresh) = mpsc::channel(1);
        let running = tokio::spawn(async move {
            let stop = async { stopped.await.unwrap_or(()) };
            proxy.run(stop, fresh).await.expect("a proxy that stops by itself");
        });
        let stop = Some(stop);
        World {
            address,
            operator,
            watch,
            cache,
            origin,
            discovery,
            counters,
            cache_address,
            tell,
            stop,
            configs,
            json,
            running,
        }
    }

    /// Another discovery, which the configuration names from now on.
    pub async fn move_discovery(&mut self) -> (Trace, mpsc::Sender<String>) {
        let trace = Trace::default();
        let (tell, address) = discovery(trace.clone()).await;
        self.json["discovery"] = json!(address.to_string());
        self.configs.send(parse(&self.json)).await.expect("a running proxy");
        (trace, tell)
    }

    pub async fn client(&self) -> Client {
        let stream = TcpStream::connect(self.address).await.expect("a connection");
        Client(Framed::new(stream, Replies))
    }

    /// The counters whose names begin so.
    pub fn counted(&self, name: &str) -> String {
        let text = self.counters.to_string();
        text.lines().filter(|line| line.starts_with(name)).map(|line| format!("{line}\n")).collect()
    }

    pub async fn until_counted(&self, line: &str) {
        for _ in 0..4000 {
            if self.counters.to_string().lines().any(|counted| counted == line) {
                return;
            }
            sleep(Duration::from_millis(5)).await;
        }
        panic!("never counted: {line}\n{}", self.counters);
    }

    pub async fn stop(&mut self) {
        self.stop.take().expect("stopped once").send(()).expect("a running proxy");
        self.watch.reached(Phase::Draining).await;
    }

    pub fn check(&self, replies: &str, expect: Expect) {
        // By connection: what several do at the same time has no order.
        let sorted = |trace: &Trace| {
            let text = trace.text();
            let mut lines: Vec<&str> = text.lines().collect();
            lines.sort_by_key(|line| line.split(':').next().and_then(|number| number.parse::<usize>().ok()));
            lines.iter().map(|line| format!("{line}\n")).collect::<String>()
        };
        let (cache, origin) = (sorted(&self.cache), sorted(&self.origin));
        expect.assert_eq(&format!("{replies}-- cache node\n{cache}-- origin\n{origin}"));
    }
}

/// What a client reads: values of any length whole.
pub struct Replies;

impl Decoder for Replies {
    type Item = Frame;
    type Error = std::io::Error;

    fn decode(&mut self, buffer: &mut BytesMut) -> std::io::Result<Option<Frame>> {
        let line = buffer.iter().take(20).position(|&byte| byte == b'\n');
        let head = line.and_then(|end| std::str::from_utf8(&buffer[..end]).ok()).unwrap_or_default();
        match head.trim_end().strip_prefix('$').and_then(|length| length.parse::<usize>().ok()) {
            Some(length) if length > MAX_BULK_BYTES => {
                let begin = head.len() + 1;
                let whole = buffer.len() >= begin + length + 2;
                let mut frame = || buffer.split_to(begin + length + 2).freeze().slice(begin..begin + length);
                Ok(whole.then(|| Frame::Bulk(frame())))
            }
            _ => Resp.decode(buffer),
        }
    }
}

impl Encoder<&Frame> for Replies {
    type Error = std::io::Error;

    fn encode(&mut self, frame: &Frame, buffer: &mut BytesMut) -> std::io::Result<()> {
        Resp.encode(frame, buffer)
    }
}

/// A long value in which each place differs from its neighbours.
pub fn long(length: usize) -> Vec<u8> {
    (0..length).map(|at| (at % 251) as u8).collect()
}

pub struct Client(pub Framed<TcpStream, Replies>);

impl Client {
    pub async fn send(&mut self, words: &[&str]) {
        let words = words.iter().map(|word| Frame::Bulk(word.as_bytes().to_vec().into())).collect();
        self.0.send(&Frame::Array(words)).await.expect("a command sent");
    }

    /// The next reply as a line.
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

    pub async fn ask(&mut self, words: &[&str]) -> String {
        self.send(words).await;
        format!("{}: {}", words.get(1).unwrap_or(&words[0]), self.reply().await)
    }

    /// Reads a key whose name tells the stand-ins what to do.
    pub async fn get(&mut self, key: &str) -> String {
        self.ask(&["C.GET", key, &format!("id-{key}"), "c=read,t=acme,d=3000,size=9,k=x"]).await
    }
}

/// Accepts on a free port; each connection has a number.
async fn listen<F>(trace: Trace, serve: impl Fn(TcpStream, Trace, usize) -> F + Send + 'static) -> SocketAddr
where
    F: Future<Output = ()> + Send + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        for number in 1.. {
            let Ok((stream, _)) = listener.accept().await else { return };
            tokio::spawn(serve(stream, trace.clone(), number));
        }
    });
    address
}

/// `d` varies with the time that has passed: all that is told is whether it is within what the client sent.
fn labels(labels: &str) -> String {
    let one = |label: &str| match label.strip_prefix("d=").map(str::parse::<u64>) {
        Some(Ok(1..=4000)) => "d=LEFT".into(),
        _ => label.to_string(),
    };
    labels.split(',').map(one).collect::<Vec<_>>().join(",")
}

async fn cache_node(stream: TcpStream, trace: Trace, number: usize) {
    let mut framed = Framed::new(stream, Resp);
    while let Some(Ok(Frame::Array(words))) = framed.next().await {
        let word = |at: usize| match words.get(at) {
            Some(Frame::Bulk(word)) => String::from_utf8_lossy(word).into_owned(),
            _ => String::new(),
        };
        let key = word(1);
        let line = format!("{number}: {} {key} {} {}", word(0), word(2), labels(&word(3)));
        if !key.is_empty() {
            trace.attempt(&word(2), &word(3));
        }
        trace.line(line.trim_end());
        let array = |first| Frame::Array(vec![first, Frame::Null, Frame::Null]);
        let reply = match key.split('-').next().unwrap_or_default() {
            "hit" => array(Frame::Bulk(format!("value of {}", word(2)).into())),
            "held" => {
                trace.held().await;
                array(Frame::Bulk(format!("value of {}", word(2)).into()))
            }
            "slow" => {
                sleep(Duration::from_millis(800)).await;
                array(Frame::Bulk(format!("value of {}", word(2)).into()))
            }
            "late" => {
                sleep(Duration::from_millis(300)).await;
                array(Frame::Null)
            }
            "large" => array(Frame::Bulk(vec![b'x'; 60_000].into())),
            "huge" => array(Frame::Bulk(vec![b'x'; 400_000].into())),
            "endless" => {
                let _ = framed.get_mut().write_all(b"*3\r\n$3221225472\r\nxxxx").await;
                continue;
            }
            "long" => {
                let piece = key.rsplit('-').next().and_then(|size| size.parse().ok()).unwrap_or(4 << 20);
                let mut reply = BytesMut::new();
                Resp.encode(&array(Frame::Bulk(long(4 << 20).into())), &mut reply).unwrap();
                for (at, some) in reply.chunks(piece).enumerate() {
                    if framed.get_mut().write_all(some).await.is_err() {
                        return;
                    }
                    // Pieces apart where they are few, or at the beginning.
                    if piece > 100_000 || at < 40 {
                        sleep(Duration::from_millis(2)).await;
                    }
                }
                continue;
            }
            "breaks" => {
                let _ = framed.get_mut().write_all(b"*3\r\n$200000\r\n").await;
                let _ = framed.get_mut().write_all(&long(150_000)).await;
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
                let _ = framed.feed(&array(Frame::Bulk("value".into()))).await;
                array(Frame::Bulk("value".into()))
            }
            "cut" => break,
            "hang" => continue,
            "" => Frame::simple("PONG"),
            _ => array(Frame::Null),
        };
        if framed.send(&reply).await.is_err() {
            break;
        }
    }
    trace.line(&format!("{number}: closed"));
}

async fn origin_server(mut stream: TcpStream, trace: Trace, number: usize) {
    let mut buffer = Vec::new();
    loop {
        let mut some = [0; 65_536];
        match stream.read(&mut some).await {
            Ok(length) if length > 0 => buffer.extend_from_slice(&some[..length]),
            _ => break,
        }
        let Some(end) = buffer.windows(4).position(|four| four == b"\r\n\r\n") else { continue };
        let (head, body) = (String::from_utf8_lossy(&buffer[..end]).into_owned(), &buffer[end + 4..]);
        let field = |name: &str| head.lines().find_map(|line| line.strip_prefix(name)).unwrap_or_default();
        if body.len() < field("Content-Length: ").parse().unwrap_or(0) {
            continue;
        }
        let body = match body.len() {
            0..100 => String::from_utf8_lossy(body).into_owned(),
            length if body == long(length) => format!("{length} bytes"),
            length => format!("{length} other bytes"),
        };
        let first = head.lines().next().unwrap_or_default().trim_end_matches(" HTTP/1.1");
        let key = first.split('/').nth(1).unwrap_or_default();
        // Of a late one `d` is written down as it came.
        let told = field("X-Labels: ").to_string();
        trace.attempt(field("X-Txn: "), &told);
        let told = if key.starts_with("late") { told } else { labels(&told) };
        trace.line(format!("{number}: {first} {} {told} {body}", field("X-Txn: ")).trim_end());
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
        if key.split('-').nth(1) == Some("held") {
            trace.held().await;
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
    trace.line(&format!("{number}: closed"));
}

async fn discovery(trace: Trace) -> (mpsc::Sender<String>, SocketAddr) {
    let (tell, told) = mpsc::channel(8);
    let told = Arc::new(tokio::sync::Mutex::new(told));
    let agent = move |stream, trace, _| agent(stream, trace, told.clone());
    (tell, listen(trace, agent).await)
}

async fn agent(mut stream: TcpStream, trace: Trace, told: Arc<tokio::sync::Mutex<mpsc::Receiver<String>>>) {
    let mut some = [0; 4096];
    while let Ok(length @ 1..) = stream.read(&mut some).await {
        let text = String::from_utf8_lossy(&some[..length]);
        trace.line(text.lines().next().unwrap_or_default());
        let Some(answer) = told.lock().await.recv().await else { return };
        if answer == "close" {
            return;
        }
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", answer.len());
        if let Some(half) = answer.strip_prefix("half ") {
            // The rest never comes.
            let _ = stream.write_all(format!("{head}{half}").as_bytes()).await;
            std::future::pending::<()>().await;
        }
        if stream.write_all(format!("{head}{answer}").as_bytes()).await.is_err() {
            return;
        }
    }
}
