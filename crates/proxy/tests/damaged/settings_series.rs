//! Several new configurations in quick succession: each one that was replaced binds until its clients know of the change.

use crate::clients::{Answer, Client, command};
use crate::nodes::{Nodes, Spoilt};
use crate::process::{Options, ProxyProcess, configuration};
use futures_util::future::join_all;
use serde_json::{Value as Json, json};
use std::time::{Duration, Instant};
use tokio::time::{sleep, sleep_until};

/// The pause between two writes.
const WRITE_INTERVAL: Duration = Duration::from_millis(70);
/// Until when, from the first SIGHUP on, requests keep the rules of the configuration that it replaced.
const OLD_RULES_BIND: Duration = Duration::from_millis(1150);

/// Configurations after one in which the route `once` may run once, with one or several changes between any two.
fn series(base: &Json, changes: usize) -> Vec<Json> {
    let change = |number: usize| {
        let mut next = base.clone();
        let settings = &mut next["settings"];
        settings["routes"][1]["effect"] = json!(if number == 2 { "by_key" } else { "repeatable" });
        settings["permissions"]["most-upstream-tries"] = json!(4 - number % 2);
        if number % 2 == 1 {
            settings["routes"].as_array_mut().unwrap().push(json!({
                "name": "new", "effect": "repeatable", "payoff": 1.0, "dedup-scope": "all", "window-us": 5_000_000,
                "latency-objective-us": 300_000, "overall-timeout-us": 900_000
            }));
        }
        next
    };
    (0..changes).map(change).collect()
}

/// Writes to a node that has run each of them and says that it failed, while the configuration changes so often with such
/// pauses. Returns what was wrong.
async fn write_during_changes(changes: usize, pause: Duration) -> Vec<String> {
    let nodes = Nodes::default();
    let targets = nodes.start(1).await;
    let options = Options::new(targets);
    let proxy = ProxyProcess::start(&options).await;
    sleep(Duration::from_millis(300)).await;
    let address = proxy.address;
    let begun = Instant::now();
    let reconfiguring = tokio::spawn(async move {
        for (number, next) in series(&configuration(&options), changes).iter().enumerate() {
            sleep_until((begun + pause * number as u32).into()).await;
            proxy.reconfigure(next);
        }
        proxy
    });
    let mut faults = Vec::new();
    for number in 0.. {
        sleep_until((begun + WRITE_INTERVAL * number).into()).await;
        if begun.elapsed() > OLD_RULES_BIND {
            break;
        }
        let (key, id) = (format!("key-{number}"), format!("id-{number}"));
        nodes.spoil(&key, Spoilt::Failed, false);
        let write = command(&[b"C.SET", key.as_bytes(), id.as_bytes(), b"c=once,d=900", b"value"]);
        let mut client = Client::connect(address).await;
        client.send(&write).await;
        let first = client.answer(Instant::now()).await.answer;
        client.send(&write).await;
        let again = client.answer(Instant::now()).await.answer;
        if nodes.runs(&id) != 1 || first != Answer::Line("-ERR failed".into()) {
            let runs = nodes.runs(&id);
            faults.push(format!("{id}, {:?}: ran {runs} times, {first:?}, {again:?}", begun.elapsed()));
        }
    }
    drop(reconfiguring.await);
    faults
}

/// Guards against a second run of a write that may run once, as its route's effect changes and other changes follow: under its
/// first id, and under the same one again.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_write_that_may_run_once_runs_once_during_changes_in_quick_succession() {
    let play = async |(changes, pause_ms)| {
        let faults = write_during_changes(changes, Duration::from_millis(pause_ms)).await;
        assert!(faults.is_empty(), "{changes} changes, {pause_ms} ms apart: {faults:#?}");
    };
    let series = [(1, 0), (2, 30), (2, 400), (2, 900), (3, 250), (5, 200), (40, 20)];
    join_all(series.map(play)).await;
}
