//! Compares the proxy's heap allocations per request and per connection to a node, on loopback sockets, with
//! `cost/baseline.json`, to prevent regressions of the usual request path. Only allocations are counted; time is not
//! measured. `UPDATE_BASELINE=1` writes the measured numbers to the file; a commit that raises a number must explain it.
//!
//! The proxy runs on a thread of its own, and only that thread's allocations are counted, in windows of some requests.
//! How many connections it opens hangs on how fast the machine is, since a connection rests after each reply. So
//! requests are measured in the windows in which none was opened, and connections in the others.

use pumicebay::config::parse;
use pumicebay::counters::Counters;
use pumicebay::serve::Proxy;
use serde_json::{Value as Json, json};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::mpsc::{Sender, channel};
use std::thread;
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};

/// The requests of a run. The first ones are not measured: tables and buffers reach their size in them.
const REQUESTS: usize = 1500;
const WARM_UP_REQUESTS: usize = 300;
/// The requests of a window, between two readings of the counters.
const WINDOW_REQUESTS: usize = 20;
/// The fewest requests, and the fewest connections, from which an average is taken.
const MIN_REQUESTS: usize = 200;
const MIN_CONNECTIONS: u64 = 20;
/// How much more than the baseline passes, in allocations per request or connection. The numbers are averages, to which
/// buffers that grow only now and then add fractions.
const TOLERANCE: f64 = 0.4;
const BASELINE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/cost/baseline.json");

/// The kinds of requests: the name in the baseline, the key, and the size of the value in bytes.
const REQUEST_KINDS: &[(&str, &str, usize)] = &[
    ("hit, 200 B", "hit", 200),
    ("hit, 4 KiB", "hit", 4096),
    ("hit, 63 KiB", "hit", 63 * 1024),
    ("miss with fetch, 200 B", "miss", 200),
    ("shed", "busy", 200),
];

/// Reads the arguments of one RESP command; `None` at the end of the stream.
fn read_command(reader: &mut BufReader<TcpStream>) -> Option<Vec<Vec<u8>>> {
    let mut line = String::new();
    let mut number = |reader: &mut BufReader<TcpStream>| {
        line.clear();
        reader.read_line(&mut line).ok().filter(|&read| read > 0)?;
        line.get(1..)?.trim().parse::<usize>().ok()
    };
    let count = number(reader)?;
    let argument = |_| {
        let mut argument = vec![0; number(reader)? + 2];
        reader.read_exact(&mut argument).ok()?;
        argument.truncate(argument.len() - 2);
        Some(argument)
    };
    (0..count).map(argument).collect()
}

/// Serves each connection to a free port on a thread of its own, until the test ends.
fn start_server(serve: impl Fn(TcpStream) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let (address, serve) = (listener.local_addr().expect("an address"), Arc::new(serve));
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let _ = stream.set_nodelay(true);
            let serve = serve.clone();
            thread::spawn(move || serve(stream));
        }
    });
    address
}

/// A cache node that answers as the key says: `hit`, `miss` or `busy`.
fn cache_node(stream: TcpStream, size: usize) {
    let (mut reader, mut writer) = (BufReader::new(stream.try_clone().expect("a handle")), stream);
    let value = [format!("*3\r\n${size}\r\n").as_bytes(), &vec![b'v'; size], b"\r\n$-1\r\n$-1\r\n"].concat();
    while let Some(command) = read_command(&mut reader) {
        let answer: &[u8] = match command.get(1).map(|key| &key[..]) {
            Some(b"hit") => &value,
            Some(b"busy") => b"-BUSY\r\n",
            Some(_) => b"*3\r\n$-1\r\n$-1\r\n$-1\r\n",
            None => b"+PONG\r\n",
        };
        if writer.write_all(answer).is_err() {
            return;
        }
    }
}

/// An origin that answers each request with a value of this size.
fn origin_server(stream: TcpStream, size: usize) {
    let (mut reader, mut writer) = (BufReader::new(stream.try_clone().expect("a handle")), stream);
    let mut value = format!("HTTP/1.1 200 OK\r\nContent-Length: {size}\r\n\r\n").into_bytes();
    value.resize(value.len() + size, b'v');
    let mut line = String::new();
    while reader.read_line(&mut line).is_ok_and(|read| read > 0) {
        if line == "\r\n" && writer.write_all(&value).is_err() {
            return;
        }
        line.clear();
    }
}

/// Keeps the connection open and sends nothing.
fn silent_server(_stream: TcpStream) {
    thread::park();
}

/// The configuration of a proxy in front of a cache node and an origin. If requests are to be shed, there is no
/// origin.
fn configuration(size: usize, shed: bool) -> Json {
    let cache = start_server(move |stream| cache_node(stream, size));
    let origin = start_server(move |stream| origin_server(stream, size));
    let target = |uid: &str, at: SocketAddr, model: &str| json!({"uid": uid, "endpoint": at.to_string(), "az": "a", "model": model, "state": "active"});
    let mut targets = vec![target("n1", cache, "node")];
    if !shed {
        targets.push(target("origin", origin, "origin"));
    }
    json!({
        "listen": "127.0.0.1:0", "discovery": start_server(silent_server).to_string(),
        "known": {"rev": 1, "all": true, "targets": targets},
        "settings": {
            "discovery": "push", "domain": {"mode": "aside", "origin-kind": 1}, "fleet-size": 1,
            "skus": ["node", "origin"], "failure-domains": ["a"],
            "permissions": {"most-upstream-tries": 4, "may-probe": false},
            "routes": [{"name": "read", "effect": "repeatable", "payoff": 1.0,
                        "latency-objective-us": 1_000_000, "overall-timeout-us": 2_000_000}],
            "telemetry": {"columns": [], "via": "silent"}
        }
    })
}

/// What the proxy's thread did from one reading of the counters to the next, while it served `WINDOW_REQUESTS`.
#[derive(Clone, Copy, Debug)]
struct Window {
    allocations: u64,
    /// Connections to nodes that were opened.
    connections: u64,
}

/// Starts a proxy with this configuration, sends its address, and runs it until `window_ends` is closed. Returns a
/// window for each message.
fn run_proxy(
    configuration: &Json,
    address_sender: &Sender<SocketAddr>,
    mut window_ends: UnboundedReceiver<Sender<()>>,
) -> Vec<Window> {
    let config = parse(configuration).expect("a valid configuration");
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let counters = Arc::new(Counters::default());
    let proxy = runtime.block_on(Proxy::start(config, counters.clone())).expect("a proxy");
    address_sender.send(proxy.address).expect("a listener");
    let (_keep, reloads) = tokio::sync::mpsc::channel(1);
    let mut serving = Box::pin(proxy.run(std::future::pending(), reloads));
    let mut windows = Vec::with_capacity(REQUESTS / WINDOW_REQUESTS);
    loop {
        let (opened_before, mut window_end) = (counters.connections_opened.count(), None);
        let counted = allocation_counter::measure(|| {
            window_end = runtime.block_on(async {
                tokio::select! {
                    ended = &mut serving => panic!("the proxy ended: {ended:?}"),
                    window_end = window_ends.recv() => window_end,
                }
            });
        });
        let connections = counters.connections_opened.count() - opened_before;
        windows.push(Window { allocations: counted.count_total, connections });
        match window_end {
            Some(client) => client.send(()).expect("a client that waits"),
            None => return windows,
        }
    }
}

/// Sends a proxy with this configuration `REQUESTS` one after another. Returns its windows, the last of which has no
/// requests.
fn measure_windows(configuration: &Json, key: &str, size: usize) -> Vec<Window> {
    let (address_sender, addresses) = channel();
    let (end_window, window_ends) = unbounded_channel();
    let configuration = configuration.clone();
    let proxy = thread::spawn(move || run_proxy(&configuration, &address_sender, window_ends));
    let mut writer = TcpStream::connect(addresses.recv().expect("an address")).expect("a connection");
    writer.set_nodelay(true).expect("a socket");
    let mut reader = BufReader::new(writer.try_clone().expect("a handle"));
    let mut line = String::new();
    for number in 1..=REQUESTS {
        let id = format!("{number:016x}");
        let labels = "c=read,d=1500";
        let command = format!(
            "*4\r\n$5\r\nC.GET\r\n${}\r\n{key}\r\n$16\r\n{id}\r\n${}\r\n{labels}\r\n",
            key.len(),
            labels.len()
        );
        writer.write_all(command.as_bytes()).expect("a command sent");
        line.clear();
        reader.read_line(&mut line).expect("an answer");
        assert_eq!(line.starts_with("-BUSY"), key == "busy", "{line}");
        if key != "busy" {
            let mut value = vec![0; size + 2];
            reader.read_exact(&mut value).expect("a value");
        }
        if number.is_multiple_of(WINDOW_REQUESTS) {
            let (go_on, may_go_on) = channel();
            end_window.send(go_on).expect("a running proxy");
            may_go_on.recv().expect("a running proxy");
        }
    }
    drop(end_window);
    proxy.join().expect("the proxy failed")
}

/// The averages of a run.
#[derive(Clone, Copy, Debug)]
struct Cost {
    per_request: f64,
    per_connection: f64,
}

/// The allocations per request in the windows without a new connection, and what one more connection adds in the others.
fn average_cost(windows: &[Window]) -> Cost {
    let measured = &windows[WARM_UP_REQUESTS / WINDOW_REQUESTS..REQUESTS / WINDOW_REQUESTS];
    let sum = |windows: &[Window], count: fn(&Window) -> u64| windows.iter().map(count).sum::<u64>() as f64;
    let quiet: Vec<Window> = measured.iter().copied().filter(|window| window.connections == 0).collect();
    let requests = quiet.len() * WINDOW_REQUESTS;
    assert!(
        requests >= MIN_REQUESTS,
        "only {requests} requests without a new connection near them: {windows:?}"
    );
    let per_request = sum(&quiet, |window| window.allocations) / requests as f64;
    // The first window has the client's own connection.
    let opening: Vec<Window> = windows[1..].iter().copied().filter(|window| window.connections > 0).collect();
    let connections = sum(&opening, |window| window.connections);
    assert!(connections >= MIN_CONNECTIONS as f64, "only {connections} connections: {windows:?}");
    let of_requests = per_request * (opening.len() * WINDOW_REQUESTS) as f64;
    Cost {
        per_request,
        per_connection: (sum(&opening, |window| window.allocations) - of_requests) / connections,
    }
}

/// Allocations per hit at a proxy with links to two others for the replication of maintenance orders, while
/// there are no orders.
fn allocations_per_request_with_replication(size: usize) -> f64 {
    // The voters are down, but the links between the proxies of the group are up.
    let group = |names: [&str; 3]| {
        Json::Object(names.map(|name| (name.to_string(), json!(unused_address()))).into_iter().collect())
    };
    let peers = group(["p1", "p2", "p3"]);
    let section = json!({"name": "f", "voters": group(["v1", "v2", "v3"]), "replication": {"peers": peers}});
    let configuration_of = |name: &str| {
        let mut configuration = configuration(size, false);
        configuration["name"] = json!(name);
        configuration["fleet"] = section.clone();
        configuration
    };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let (others, (stop, stopped)) = (["p2", "p3"].map(configuration_of), std::sync::mpsc::channel::<()>());
    let serving = thread::spawn(move || {
        runtime.block_on(async {
            for other in others {
                let config = parse(&other).expect("a valid configuration");
                let proxy = Proxy::start(config, Arc::new(Counters::default())).await.expect("a proxy");
                let (_keep, reloads) = tokio::sync::mpsc::channel(1);
                tokio::spawn(async move { proxy.run(std::future::pending(), reloads).await });
            }
            while stopped.try_recv() == Err(std::sync::mpsc::TryRecvError::Empty) {
                tokio::time::sleep(std::time::Duration::from_millis(10)).await;
            }
        });
    });
    let measured = configuration_of("p1");
    let windows = measure_windows(&measured, "hit", size);
    drop(stop);
    serving.join().expect("the other proxies failed");
    average_cost(&windows).per_request
}

/// An address at which nothing listens.
fn unused_address() -> String {
    TcpListener::bind("127.0.0.1:0").and_then(|socket| socket.local_addr()).expect("a free port").to_string()
}

/// The replication of maintenance orders must not slow down requests while no order is given.
#[test]
fn links_between_proxies_add_no_allocations_to_a_request() {
    let baseline = std::fs::read_to_string(BASELINE).expect("a baseline");
    let baseline: Json = serde_json::from_str(&baseline).expect("a baseline that can be read");
    let (name, _, size) = REQUEST_KINDS[0];
    let measured = [(name.to_string(), allocations_per_request_with_replication(size))];
    println!("{measured:?}");
    let found = regressions(&baseline, &measured);
    assert!(found.is_empty(), "{}", found.join("\n"));
}

/// A line for each measured number that exceeds the baseline or is not in it.
fn regressions(baseline: &Json, measured: &[(String, f64)]) -> Vec<String> {
    let line = |(name, now): &(String, f64)| {
        let before = baseline.get(name).and_then(Json::as_f64);
        let exceeded = before.is_none_or(|before| *now > before + TOLERANCE);
        exceeded.then(|| format!("{name}: {now:.2} allocations per request, {before:?} in the baseline"))
    };
    measured.iter().filter_map(line).collect()
}

#[test]
fn allocations_per_request_do_not_exceed_the_baseline() {
    let kinds = REQUEST_KINDS.iter().map(|(name, key, size)| {
        thread::spawn(move || {
            (*name, average_cost(&measure_windows(&configuration(*size, *key == "busy"), key, *size)))
        })
    });
    let kinds: Vec<_> = kinds.collect();
    let measured: Vec<(String, f64)> = kinds
        .into_iter()
        .map(|kind| kind.join().expect("a measurement failed"))
        .flat_map(|(name, cost)| {
            [(name.to_string(), cost.per_request), (format!("{name}, a connection"), cost.per_connection)]
        })
        .collect();
    println!("{measured:?}");
    if std::env::var_os("UPDATE_BASELINE").is_some() {
        let round = |(name, count): &(String, f64)| (name.clone(), json!((count * 10.0).round() / 10.0));
        let baseline: serde_json::Map<String, Json> = measured.iter().map(round).collect();
        let text = serde_json::to_string_pretty(&baseline).expect("JSON");
        std::fs::write(BASELINE, text + "\n").expect("a baseline written");
    }
    let baseline = std::fs::read_to_string(BASELINE).expect("a baseline");
    let baseline: Json = serde_json::from_str(&baseline).expect("a baseline that can be read");
    let found = regressions(&baseline, &measured);
    assert!(found.is_empty(), "{}", found.join("\n"));
    // The check itself works: one more allocation per request or connection is found for every kind.
    let increased: Vec<(String, f64)> =
        measured.into_iter().map(|(name, count)| (name, count + 1.0)).collect();
    assert_eq!(self::regressions(&baseline, &increased).len(), 2 * REQUEST_KINDS.len());
}
