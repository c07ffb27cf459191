//! A bad client's long write whose length is wrong: what was never a command is run at the origin and served.

#[path = "../common-2.rs"]
mod common;

use common::*;
use std::sync::{Arc, Mutex};
use std::thread;

/// How long the values are, and how many bytes a bad client sends beyond the length that it has told.
const VALUE: usize = 100_000;
const BEYOND: usize = 500;
const BAD_CLIENTS: u64 = 5;

const ROUTES: &str = r#"{"name":"read","effect":"repeatable","payoff":1.0,"latency-objective-us":500000,"overall-timeout-us":2000000},
{"name":"put","effect":"once","payoff":3.0,"latency-objective-us":500000,"overall-timeout-us":2000000}"#;

fn main() {
    let case = Case::start();
    let stored: Arc<Mutex<Vec<(String, Vec<u8>)>>> = Arc::default();
    let cache = cache_node(|_, output| std::io::Write::write_all(output, MISS));
    let store = stored.clone();
    let origin = origin(move |request, output| {
        let id = request.header("x-txn").to_string();
        note(format!(
            "origin: {} {} id {id} runs with {} bytes",
            request.method,
            request.path,
            request.body.len()
        ));
        store.lock().unwrap().push((id.clone(), request.body.clone()));
        http_answer(output, 200, format!("receipt {id}").as_bytes())
    });
    let entries = vec![entry("n1", cache, "cache"), entry("origin", origin, "origin")];
    let discovery = discovery(entries.clone());
    let listen = free_address();
    let file = case.folder.join("config.json");
    write_config(&file, &config(listen, discovery, &entries, ROUTES, 4));
    let mut proxy = Proxy::start(&case, "p1", &file, listen, None);
    if !proxy.wait_ready() {
        case.end(&[], false);
    }
    let mut broken = Vec::new();
    // A usual client first: long writes are served.
    let usual = "77aa000000000001";
    let value = value_for(usual, VALUE);
    let mut client = Client::connect(listen).expect("a usual client connects");
    note(format!("usual client: C.SET map {usual} c=put, a value of {VALUE} bytes"));
    client.send(&[b"C.SET", b"map", usual.as_bytes(), b"c=put,t=town,d=1900", &value]);
    let reply = client.reply(millis(4000));
    note(format!("usual client: got {}", reply.text()));
    let able = matches!(reply, Reply::Bulk(_));
    for at in 0..BAD_CLIENTS {
        let id = format!("bad{at:013x}");
        let beyond = if case.trouble { BEYOND } else { 0 };
        let sent = value_for(&id, VALUE + beyond);
        let Some(mut client) = Client::connect(listen) else { continue };
        let labels = "c=put,t=town,d=1900";
        let mut bytes = format!(
            "*5\r\n$5\r\nC.SET\r\n$3\r\nmap\r\n${}\r\n{id}\r\n${}\r\n{labels}\r\n",
            id.len(),
            labels.len()
        )
        .into_bytes();
        bytes.extend_from_slice(format!("${VALUE}\r\n").as_bytes());
        bytes.extend_from_slice(&sent);
        bytes.extend_from_slice(b"\r\n");
        note(format!(
            "client: C.SET map {id} {labels}, a value said to be of {VALUE} bytes, {} bytes sent",
            sent.len()
        ));
        client.send_bytes(&bytes);
        let reply = client.reply(millis(3500));
        note(format!("client: {id} got {}", reply.text()));
        thread::sleep(millis(200));
        if case.trouble {
            if let Reply::Bulk(receipt) = &reply {
                broken
                    .push(format!("bad client {id} was served with {:?}", String::from_utf8_lossy(receipt)));
            }
            let ran = stored.lock().unwrap().iter().filter(|(other, _)| *other == id).count();
            if ran > 0 {
                broken.push(format!("the origin ran a write {id} that no client sent, {ran} time(s)"));
            }
        } else if !matches!(reply, Reply::Bulk(_)) {
            note("a usual client's write was not served");
        }
    }
    let alive = !proxy.has_ended();
    drop(proxy);
    case.end(&broken, alive && able);
}
