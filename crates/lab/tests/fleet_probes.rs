//! Probes of a node that is down: each process probes for itself, or in a fleet one process probes for all.
//! If the probing process dies, another has to take over.

mod common;

use common::{LAB, Proxy};
use serde_json::{Value as Json, json};
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::process::Command;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Starts a node that accepts connections and never answers. Returns its address and a counter of the PINGs
/// that it received.
fn dead_node() -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (address, probes) = (listener.local_addr().unwrap(), Arc::new(AtomicUsize::new(0)));
    let count = probes.clone();
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let count = count.clone();
            std::thread::spawn(move || {
                let mut bytes = [0; 512];
                while let Ok(read @ 1..) = stream.read(&mut bytes) {
                    let pings =
                        bytes[..read].windows(4).filter(|four| four.eq_ignore_ascii_case(b"PING")).count();
                    count.fetch_add(pings, Ordering::Relaxed);
                }
            });
        }
    });
    (address, probes)
}

fn configuration(number: usize, host: Ipv4Addr, node: SocketAddr, folder: Option<&Path>) -> Json {
    let at = |port: usize| format!("{host}:{}", 20_000 + port);
    let uid = |uid: &str, endpoint: String, model: &str| json!({"uid": uid, "endpoint": endpoint, "az": "a", "model": model, "state": "active", "boot_ms": 0});
    let mut json = json!({
        "name": format!("p{number}"), "listen": at(number), "discovery": at(999), "seed": format!("{number:x}"),
        "known": {"rev": 1, "all": true, "targets": [uid("n1", node.to_string(), "cache")]},
        "settings": {
            "discovery": "push", "domain": {"mode": "aside", "origin-kind": 1}, "fleet-size": 5, "me": number - 1,
            "skus": ["cache", "origin"], "failure-domains": ["a"], "orgs": [{"name": "acme", "quota-per-s": 1e6}],
            "permissions": {"may-probe": true, "retry-after": true, "most-upstream-tries": 2,
                            "conn-idle-us": 15_000_000, "connect-timeout-us": 200_000},
            "routes": [{"name": "read", "effect": "repeatable", "latency-objective-us": 100_000, "payoff": 1.0,
                        "overall-timeout-us": 300_000}],
            "rules": {"cold-us": 1_000_000, "fall-us": 1_000_000, "start-capacity": 0.5},
            "telemetry": {"columns": [], "via": "silent"}
        }
    });
    if let Some(folder) = folder {
        let voters: serde_json::Map<_, _> =
            (1..=3).map(|voter| (format!("p{voter}"), json!(at(500 + voter)))).collect();
        json["fleet"] =
            json!({"name": "probes", "voters": voters, "folder": folder.join(format!("d{number}"))});
    }
    json
}

/// Sends requests for this many seconds, so that the node is ejected and there is a reason to probe it.
/// Answers don't matter.
fn send_requests(at: SocketAddr, seconds: f64) {
    let until = Instant::now() + Duration::from_secs_f64(seconds);
    let Ok(mut stream) = TcpStream::connect(at) else { return };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
    let mut number = 0;
    while Instant::now() < until {
        number += 1;
        let words = [
            "C.GET".into(),
            format!("k{number}"),
            format!("{at}-{number}"),
            "c=read,t=acme,d=300,size=9,k=x".into(),
        ];
        let mut command = format!("*{}\r\n", words.len());
        words.iter().for_each(|word: &String| command += &format!("${}\r\n{word}\r\n", word.len()));
        if stream.write_all(command.as_bytes()).is_err() || stream.read(&mut [0; 512]).is_err() {
            return;
        }
        sleep(Duration::from_millis(50));
    }
}

/// Counts the probes in 8 s once all processes have found the node dead. With `kill` the first and the last
/// process are killed at the beginning of that time.
fn count_probes(processes: usize, fleet: bool, kill: bool) -> usize {
    let host = Ipv4Addr::new(127, 77, std::process::id() as u8, 1 + u8::from(fleet) + 2 * u8::from(kill));
    let (node, count) = dead_node();
    let folder = tempfile::tempdir().unwrap();
    let (mut all, mut files, mut listens) = (Vec::new(), Vec::new(), Vec::new());
    for number in 1..=processes {
        let json = configuration(number, host, node, fleet.then_some(folder.path()));
        let file = folder.path().join(format!("p{number}.json"));
        all.push(Proxy::start(&json, &file));
        files.push(file);
        listens.push(json["listen"].as_str().unwrap().parse::<SocketAddr>().unwrap());
    }
    if fleet {
        let bootstrapped = |_: &usize| {
            sleep(Duration::from_millis(100));
            let mut command = Command::new(LAB);
            command.args(["as-proxy", "fleet", "found", "--config"]).arg(&files[0]);
            command.output().unwrap().status.success()
        };
        assert!((0..50).any(|number| bootstrapped(&number)), "the fleet was not bootstrapped");
    }
    let clients: Vec<_> =
        listens.into_iter().map(|at| std::thread::spawn(move || send_requests(at, 14.0))).collect();
    sleep(Duration::from_secs(5));
    let before = count.load(Ordering::Relaxed);
    if kill {
        // One of these holds the lease for probing. Only one of three voters is killed, so a majority is
        // left.
        all.pop();
        all.remove(0);
    }
    sleep(Duration::from_secs(8));
    let after = count.load(Ordering::Relaxed);
    clients.into_iter().for_each(|client| client.join().unwrap());
    drop(all);
    after - before
}

#[test]
fn one_process_probes_for_all_and_another_takes_over() {
    let processes = std::env::var("FLEET_PROCESSES").ok().and_then(|count| count.parse().ok()).unwrap_or(6);
    let (alone, together, killed) = std::thread::scope(|scope| {
        let runs = [(false, false), (true, false), (true, true)]
            .map(|(fleet, kill)| scope.spawn(move || count_probes(processes, fleet, kill)));
        let [alone, together, killed] = runs.map(|run| run.join().unwrap());
        (alone, together, killed)
    });
    println!(
        "{processes} processes, probes in 8 s: {alone} without a fleet, {together} in a fleet, {killed} in a fleet with two processes killed"
    );
    assert!(together >= 4 && together * 2 < alone, "probes: {alone} without a fleet, {together} in one");
    assert!(
        killed >= 2 && killed < alone,
        "probes: {alone} without a fleet, {killed} with two processes killed"
    );
}
