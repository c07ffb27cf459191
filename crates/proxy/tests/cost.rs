//! Compares the proxy's heap allocations per request, on loopback sockets, with `cost/baseline.json`, to
//! prevent regressions of the usual request path. Only allocations are counted; time is not measured.
//! `UPDATE_BASELINE=1` writes the measured numbers to the file; a commit that raises a number must explain
//! it.
//!
//! The proxy runs on a thread of its own, and only that thread's allocations are counted. Allocations of
//! startup and shutdown cancel out, because the result is the difference between a long and a short run.

use pumicebay::config::parse;
use pumicebay::counters::Counters;
use pumicebay::serve::Proxy;
use serde_json::{Value as Json, json};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::mpsc::channel;
use std::thread;

/// The number of requests in the short and the long run.
const SHORT_RUN: usize = 300;
const LONG_RUN: usize = 1500;
/// How much more than the baseline passes, in allocations per request. The numbers are averages, to which
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

/// All allocations of a proxy from its start to its end, in which it serves this many requests one after
/// another.
fn allocations(key: &str, size: usize, requests: usize) -> u64 {
    allocations_with(&configuration(size, key == "busy"), key, size, requests)
}

/// As [`allocations`], for a proxy with this configuration.
fn allocations_with(configuration: &Json, key: &str, size: usize, requests: usize) -> u64 {
    let config = parse(configuration).expect("a valid configuration");
    let (address_sender, addresses) = channel();
    let (stop, stopped) = tokio::sync::oneshot::channel::<()>();
    let proxy = thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        let counted = allocation_counter::measure(|| {
            runtime.block_on(async {
                let proxy = Proxy::start(config, Arc::new(Counters::default())).await.expect("a proxy");
                address_sender.send(proxy.address).expect("a listener");
                let (_keep, reloads) = tokio::sync::mpsc::channel(1);
                let stop = async { stopped.await.unwrap_or(()) };
                proxy.run(stop, reloads).await.expect("an orderly stop");
            });
        });
        counted.count_total
    });
    let mut writer = TcpStream::connect(addresses.recv().expect("an address")).expect("a connection");
    writer.set_nodelay(true).expect("a socket");
    let mut reader = BufReader::new(writer.try_clone().expect("a handle"));
    let mut line = String::new();
    for id in 0..requests {
        let id = format!("{id:016x}");
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
    }
    drop((writer, reader));
    stop.send(()).expect("a running proxy");
    proxy.join().expect("the proxy failed")
}

/// Allocations per request, without those of startup and shutdown.
fn allocations_per_request(key: &str, size: usize) -> f64 {
    let (short_run, long_run) = (allocations(key, size, SHORT_RUN), allocations(key, size, LONG_RUN));
    long_run.saturating_sub(short_run) as f64 / (LONG_RUN - SHORT_RUN) as f64
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
    let (short_run, long_run) = (
        allocations_with(&measured, "hit", size, SHORT_RUN),
        allocations_with(&measured, "hit", size, LONG_RUN),
    );
    drop(stop);
    serving.join().expect("the other proxies failed");
    long_run.saturating_sub(short_run) as f64 / (LONG_RUN - SHORT_RUN) as f64
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
        thread::spawn(move || ((*name).to_string(), allocations_per_request(key, *size)))
    });
    let kinds: Vec<_> = kinds.collect();
    let measured: Vec<(String, f64)> =
        kinds.into_iter().map(|kind| kind.join().expect("a measurement failed")).collect();
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
    // The check itself works: one more allocation per request is found for every kind.
    let increased: Vec<(String, f64)> =
        measured.into_iter().map(|(name, count)| (name, count + 1.0)).collect();
    assert_eq!(self::regressions(&baseline, &increased).len(), REQUEST_KINDS.len());
}
