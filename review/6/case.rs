//! Two new configurations in quick succession: a class that may not run twice is repeated while its old rules still bind.

#[path = "../common-2.rs"]
mod common;

use common::*;
use std::collections::BTreeMap;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Instant;

/// How long after the first SIGHUP the second one comes.
const BETWEEN: u64 = 400;
/// When requests are sent, after the first SIGHUP. Rules of a new configuration bind from 1.2 s after its SIGHUP.
const SENT_AT: [u64; 6] = [550, 630, 710, 790, 870, 950];

fn routes(effect: &str) -> String {
    format!(
        r#"{{"name":"read","effect":"repeatable","payoff":1.0,"latency-objective-us":300000,"overall-timeout-us":1000000,"dedup-scope":"all","window-us":5000000}},
{{"name":"book","effect":"{effect}","payoff":3.0,"latency-objective-us":400000,"overall-timeout-us":1000000,"dedup-scope":"all","window-us":5000000}}"#
    )
}

fn main() {
    let case = Case::start();
    let runs: Arc<Mutex<BTreeMap<String, u32>>> = Arc::default();
    let cache = cache_node(|command, output| {
        note(format!("cache node: {} misses", command.id));
        output.write_all(MISS)
    });
    let seen = runs.clone();
    // The origin runs each write and then says 500, which means that it may have run.
    let origin = origin(move |request, output| {
        let id = request.header("x-txn").to_string();
        let count = {
            let mut seen = seen.lock().unwrap();
            let count = seen.entry(id.clone()).or_default();
            *count += 1;
            *count
        };
        note(format!("origin: {} {} id {id} runs, time {count}, answered 500", request.method, request.path));
        http_answer(output, 500, b"")
    });
    let entries = vec![entry("n1", cache, "cache"), entry("origin", origin, "origin")];
    let discovery = discovery(entries.clone());
    let listen = free_address();
    let file = case.folder.join("config.json");
    let text = |effect: &str, tries| config(listen, discovery, &entries, &routes(effect), tries);
    write_config(&file, &text("once", 4));
    let mut proxy = Proxy::start(&case, "p1", &file, listen, None);
    if !proxy.wait_ready() {
        case.end(&[], false);
    }
    thread::sleep(millis(2500));
    let begun = Instant::now();
    write_config(&file, &text("repeatable", 4));
    proxy.signal(SIGHUP, "SIGHUP with `book` repeatable");
    let clients: Vec<_> = SENT_AT
        .into_iter()
        .enumerate()
        .map(|(at, sent_at)| {
            thread::spawn(move || {
                sleep_until(begun + millis(sent_at));
                let id = format!("{:016x}", 0x9b1f_03aa_5c7e_0000_u64 + at as u64);
                let key = format!("slot{at}");
                let mut client = Client::connect(listen)?;
                note(format!(
                    "client: C.SET {key} {id} c=book,t=town,d=900, {} ms after the first SIGHUP",
                    begun.elapsed().as_millis()
                ));
                let sent = begun.elapsed();
                client.send(&[b"C.SET", key.as_bytes(), id.as_bytes(), b"c=book,t=town,d=900", b"booked"]);
                let reply = client.reply(millis(1500));
                note(format!(
                    "client: {id} got {}, {} ms after the first SIGHUP",
                    reply.text(),
                    begun.elapsed().as_millis()
                ));
                Some((id, sent, reply))
            })
        })
        .collect();
    if case.trouble {
        sleep_until(begun + millis(BETWEEN));
        write_config(&file, &text("repeatable", 3));
        proxy.signal(SIGHUP, "SIGHUP with 3 tries for 4");
    }
    let answered: Vec<_> = clients.into_iter().filter_map(|client| client.join().ok().flatten()).collect();
    thread::sleep(millis(300));
    let alive = !proxy.has_ended();
    drop(proxy);
    let runs = runs.lock().unwrap();
    let mut broken = Vec::new();
    let mut judged = 0;
    for (id, sent, _) in &answered {
        // The old rules bind for what was sent well within 1.2 s of the first SIGHUP.
        if *sent > millis(1100) {
            continue;
        }
        judged += 1;
        let count = runs.get(id).copied().unwrap_or(0);
        if count > 1 {
            broken.push(format!("request {id}, taken while `book` must not run twice, ran {count} times"));
        }
    }
    let ran = answered.iter().filter(|(id, ..)| runs.contains_key(id)).count();
    case.end(&broken, alive && judged == SENT_AT.len() && ran > 0);
}
