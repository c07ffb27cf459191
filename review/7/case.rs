//! A cache node's long answer whose length does not fit: the client gets a part of the value as if it were whole.

#[path = "../common-2.rs"]
mod common;

use common::*;
use std::io::Write;
use std::thread;

/// How many reads there are, and which of them get a spoilt answer.
const READS: u64 = 30;
const SPOILT_EACH: u64 = 6;
/// How long the values are, and by how much less a spoilt answer says.
const VALUE: usize = 150_000;
const SHORT_BY: usize = 1_000;

const ROUTES: &str = r#"{"name":"read","effect":"repeatable","payoff":1.0,"latency-objective-us":500000,"overall-timeout-us":2000000}"#;

fn id_of(at: u64) -> String {
    format!("{:016x}", 0x51e0_77aa_0c3d_0000_u64 + at)
}

fn main() {
    let case = Case::start();
    let trouble = case.trouble;
    let spoilt = move |id: &str| trouble && (1..=READS / SPOILT_EACH).any(|at| id == id_of(at * SPOILT_EACH));
    let node = move |name: &'static str| {
        cache_node(move |command, output| {
            let value = value_for(&command.id, VALUE);
            let told = if spoilt(&command.id) { VALUE - SHORT_BY } else { VALUE };
            note(format!("cache node {name}: {} answered with {VALUE} bytes, said to be {told}", command.id));
            let mut answer = format!("*3\r\n${told}\r\n").into_bytes();
            answer.extend_from_slice(&value);
            answer.extend_from_slice(b"\r\n$3\r\nhit\r\n$-1\r\n");
            output.write_all(&answer)
        })
    };
    let origin = origin(|request, output| {
        let id = request.header("x-txn");
        note(format!("origin: {} id {id} runs", request.method));
        http_answer(output, 200, &value_for(id, VALUE))
    });
    let entries = vec![
        entry("n1", node("n1"), "cache"),
        entry("n2", node("n2"), "cache"),
        entry("n3", node("n3"), "cache"),
        entry("origin", origin, "origin"),
    ];
    let discovery = discovery(entries.clone());
    let listen = free_address();
    let file = case.folder.join("config.json");
    write_config(&file, &config(listen, discovery, &entries, ROUTES, 4));
    let mut proxy = Proxy::start(&case, "p1", &file, listen, None);
    if !proxy.wait_ready() {
        case.end(&[], false);
    }
    let mut broken = Vec::new();
    let (mut served, mut client) = (0, None);
    for at in 1..=READS {
        let (id, key) = (id_of(at), format!("sheet{at}"));
        client = client.or_else(|| Client::connect(listen));
        let Some(open) = &mut client else { break };
        note(format!("client: C.GET {key} {id} c=read,t=town,d=1900"));
        open.send(&[b"C.GET", key.as_bytes(), id.as_bytes(), b"c=read,t=town,d=1900"]);
        let reply = open.reply(millis(4000));
        note(format!("client: {id} got {}", reply.text()));
        match &reply {
            Reply::Bulk(value) if *value == value_for(&id, VALUE) => served += 1,
            Reply::Bulk(value) => broken.push(format!(
                "request {id} was served with {} bytes, a whole reply, where the value made for it has {VALUE}",
                value.len()
            )),
            // Failed or broken off, so that the client can tell.
            Reply::Error(_) => {}
            _ => client = None,
        }
        thread::sleep(millis(100));
    }
    let alive = !proxy.has_ended();
    drop(proxy);
    case.end(&broken, alive && served >= READS / 2);
}
