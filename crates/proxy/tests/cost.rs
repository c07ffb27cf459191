//! The guard of the ordinary path: heap allocations of the proxy for one exchange, on loopback sockets, against
//! `cost/baseline.json`. Counts only, never time. `UPDATE_BASELINE=1` writes what is measured; a number that grows
//! has to be explained where it is committed.
//!
//! The proxy has a thread of its own and only that thread's allocations count. What starting and ending take is
//! left out by the difference of two runs, one longer than the other.

use pumicebay::config::parse;
use pumicebay::counters::Counters;
use pumicebay::serve::Proxy;
use serde_json::{Value as Json, json};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::mpsc::channel;
use std::thread;

const FEW: usize = 300;
const MANY: usize = 1500;
/// Counts are averages: buffers that grow now and then make parts of one.
const SLACK: f64 = 0.4;
const BASELINE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/cost/baseline.json");

/// What an exchange is: its name, key and the bytes of its value.
const KINDS: &[(&str, &str, usize)] = &[
    ("hit, 200 B", "hit", 200),
    ("hit, 4 KiB", "hit", 4096),
    ("hit, 63 KiB", "hit", 63 * 1024),
    ("miss with fetch, 200 B", "miss", 200),
    ("shed", "busy", 200),
];

/// One RESP command, or none at the end.
fn words(from: &mut BufReader<TcpStream>) -> Option<Vec<Vec<u8>>> {
    let mut line = String::new();
    let mut number = |from: &mut BufReader<TcpStream>| {
        line.clear();
        from.read_line(&mut line).ok().filter(|&read| read > 0)?;
        line.get(1..)?.trim().parse::<usize>().ok()
    };
    let count = number(from)?;
    let word = |_| {
        let mut word = vec![0; number(from)? + 2];
        from.read_exact(&mut word).ok()?;
        word.truncate(word.len() - 2);
        Some(word)
    };
    (0..count).map(word).collect()
}

/// Accepts for ever, with a thread for each connection.
fn listen(serve: impl Fn(TcpStream) + Send + Sync + 'static) -> SocketAddr {
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

/// Answers as the key says: `hit`, `miss` or `busy`.
fn cache_node(stream: TcpStream, size: usize) {
    let (mut from, mut to) = (BufReader::new(stream.try_clone().expect("a handle")), stream);
    let value = [format!("*3\r\n${size}\r\n").as_bytes(), &vec![b'v'; size], b"\r\n$-1\r\n$-1\r\n"].concat();
    while let Some(words) = words(&mut from) {
        let answer: &[u8] = match words.get(1).map(|key| &key[..]) {
            Some(b"hit") => &value,
            Some(b"busy") => b"-BUSY\r\n",
            Some(_) => b"*3\r\n$-1\r\n$-1\r\n$-1\r\n",
            None => b"+PONG\r\n",
        };
        if to.write_all(answer).is_err() {
            return;
        }
    }
}

fn origin(stream: TcpStream, size: usize) {
    let (mut from, mut to) = (BufReader::new(stream.try_clone().expect("a handle")), stream);
    let mut value = format!("HTTP/1.1 200 OK\r\nContent-Length: {size}\r\n\r\n").into_bytes();
    value.resize(value.len() + size, b'v');
    let mut line = String::new();
    while from.read_line(&mut line).is_ok_and(|read| read > 0) {
        if line == "\r\n" && to.write_all(&value).is_err() {
            return;
        }
        line.clear();
    }
}

fn silent(_stream: TcpStream) {
    thread::park();
}

fn configuration(size: usize, shed: bool) -> Json {
    let cache = listen(move |stream| cache_node(stream, size));
    let origin = listen(move |stream| origin(stream, size));
    let target = |uid: &str, at: SocketAddr, model: &str| json!({"uid": uid, "endpoint": at.to_string(), "az": "a", "model": model, "state": "active"});
    let mut targets = vec![target("n1", cache, "node")];
    if !shed {
        targets.push(target("origin", origin, "origin"));
    }
    json!({
        "listen": "127.0.0.1:0", "discovery": listen(silent).to_string(),
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

/// All allocations of a proxy's life, in which it serves so many exchanges one after another.
fn allocations(key: &str, size: usize, exchanges: usize) -> u64 {
    allocations_of(&configuration(size, key == "busy"), key, size, exchanges)
}

fn allocations_of(configuration: &Json, key: &str, size: usize, exchanges: usize) -> u64 {
    let config = parse(configuration).expect("a sound configuration");
    let (tell, told) = channel();
    let (stop, stopped) = tokio::sync::oneshot::channel::<()>();
    let proxy = thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        let counted = allocation_counter::measure(|| {
            runtime.block_on(async {
                let proxy = Proxy::start(config, Arc::new(Counters::default())).await.expect("a proxy");
                tell.send(proxy.address).expect("a listener");
                let (_keep, fresh) = tokio::sync::mpsc::channel(1);
                let stop = async { stopped.await.unwrap_or(()) };
                proxy.run(stop, fresh).await.expect("an end");
            });
        });
        counted.count_total
    });
    let mut to = TcpStream::connect(told.recv().expect("an address")).expect("a connection");
    to.set_nodelay(true).expect("a socket");
    let mut from = BufReader::new(to.try_clone().expect("a handle"));
    let mut line = String::new();
    for id in 0..exchanges {
        let id = format!("{id:016x}");
        let labels = "c=read,d=1500";
        let command = format!(
            "*4\r\n$5\r\nC.GET\r\n${}\r\n{key}\r\n$16\r\n{id}\r\n${}\r\n{labels}\r\n",
            key.len(),
            labels.len()
        );
        to.write_all(command.as_bytes()).expect("a command sent");
        line.clear();
        from.read_line(&mut line).expect("an answer");
        assert_eq!(line.starts_with("-BUSY"), key == "busy", "{line}");
        if key != "busy" {
            let mut value = vec![0; size + 2];
            from.read_exact(&mut value).expect("a value");
        }
    }
    drop((to, from));
    stop.send(()).expect("a running proxy");
    proxy.join().expect("a proxy that ends")
}

/// For one exchange, beyond what starting and ending take.
fn cost(key: &str, size: usize) -> f64 {
    let (few, many) = (allocations(key, size, FEW), allocations(key, size, MANY));
    many.saturating_sub(few) as f64 / (MANY - FEW) as f64
}

/// Of a hit at a proxy that has links to two others for orders of maintenance, of which there are none.
fn cost_beside_replication(size: usize) -> f64 {
    // The voters are down; the group's links are up.
    let group = |names: [&str; 3]| {
        Json::Object(names.map(|name| (name.to_string(), json!(free()))).into_iter().collect())
    };
    let peers = group(["p1", "p2", "p3"]);
    let section = json!({"name": "f", "voters": group(["v1", "v2", "v3"]), "replication": {"peers": peers}});
    let of_name = |name: &str| {
        let mut configuration = configuration(size, false);
        configuration["name"] = json!(name);
        configuration["fleet"] = section.clone();
        configuration
    };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let (others, (stop, stopped)) = (["p2", "p3"].map(of_name), std::sync::mpsc::channel::<()>());
    let serving = thread::spawn(move || {
        runtime.block_on(async {
            for other in others {
                let config = parse(&other).expect("a sound configuration");
                let proxy = Proxy::start(config, Arc::new(Counters::default())).await.expect("a proxy");
                let (_keep, fresh) = tokio::sync::mpsc::channel(1);
                tokio::spawn(async move { proxy.run(std::future::pending(), fresh).await });
            }
            while stopped.try_recv() == Err(std::sync::mpsc::TryRecvError::Empty) {
                tokio::time::sleep(std::time::Duration::from_millis(10)).await;
            }
        });
    });
    let own = of_name("p1");
    let (few, many) = (allocations_of(&own, "hit", size, FEW), allocations_of(&own, "hit", size, MANY));
    drop(stop);
    serving.join().expect("others that end");
    many.saturating_sub(few) as f64 / (MANY - FEW) as f64
}

/// An address that nobody listens at.
fn free() -> String {
    TcpListener::bind("127.0.0.1:0").and_then(|socket| socket.local_addr()).expect("a free port").to_string()
}

#[test]
fn links_between_proxies_cost_an_exchange_nothing() {
    let baseline = std::fs::read_to_string(BASELINE).expect("a baseline");
    let baseline: Json = serde_json::from_str(&baseline).expect("a baseline that can be read");
    let (name, _, size) = KINDS[0];
    let measured = [(name.to_string(), cost_beside_replication(size))];
    println!("{measured:?}");
    let grown = grown(&baseline, &measured);
    assert!(grown.is_empty(), "{}", grown.join("\n"));
}

/// What has grown past the baseline.
fn grown(baseline: &Json, measured: &[(String, f64)]) -> Vec<String> {
    let line = |(name, now): &(String, f64)| {
        let before = baseline.get(name).and_then(Json::as_f64);
        let grown = before.is_none_or(|before| *now > before + SLACK);
        grown.then(|| format!("{name}: {now:.2} allocations an exchange, {before:?} before"))
    };
    measured.iter().filter_map(line).collect()
}

#[test]
fn allocations_of_an_exchange_do_not_grow() {
    let kinds =
        KINDS.iter().map(|(name, key, size)| thread::spawn(move || ((*name).to_string(), cost(key, *size))));
    let kinds: Vec<_> = kinds.collect();
    let measured: Vec<(String, f64)> = kinds.into_iter().map(|kind| kind.join().expect("a cost")).collect();
    if std::env::var_os("UPDATE_BASELINE").is_some() {
        let round = |(name, count): &(String, f64)| (name.clone(), json!((count * 10.0).round() / 10.0));
        let baseline: serde_json::Map<String, Json> = measured.iter().map(round).collect();
        let text = serde_json::to_string_pretty(&baseline).expect("JSON");
        std::fs::write(BASELINE, text + "\n").expect("a baseline written");
    }
    let baseline = std::fs::read_to_string(BASELINE).expect("a baseline");
    let baseline: Json = serde_json::from_str(&baseline).expect("a baseline that can be read");
    let grown = grown(&baseline, &measured);
    assert!(grown.is_empty(), "{}", grown.join("\n"));
    // One more, on purpose, is noticed for every kind.
    let more: Vec<(String, f64)> = measured.into_iter().map(|(name, count)| (name, count + 1.0)).collect();
    assert_eq!(self::grown(&baseline, &more).len(), KINDS.len());
}
