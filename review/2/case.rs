//! A client sends three commands at once: a read of a long value, a write and a short read. In some rounds the cache
//! node resets its connection in the middle of the long value. The other two commands are owed their answers.

#[path = "../common.rs"]
mod common;

use common::*;
use std::io::{ErrorKind, Write};
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const CASE: &str = "2";
/// Rounds of three commands, and which of them meet a reset: one in four.
const ROUNDS: usize = 24;
const RESET_EVERY: usize = 4;
/// The length of a long value, far under the 4 MiB that may occur.
const LONG: usize = 256 * 1024;
/// After the last of the three overall timeouts and the half second in which an answer only earns nothing.
const PATIENCE: Duration = Duration::from_millis(6000 + 1000);

fn main() {
    std::process::exit(run());
}

fn run() -> i32 {
    let (record, reached) = (Record::new(), Seen::default());
    let resets: Arc<Mutex<usize>> = Arc::default();
    let mut nodes = Vec::new();
    for number in 1..=4 {
        let (record, reached, resets) = (record.clone(), reached.clone(), resets.clone());
        let address = cache_node(move |mut stream, words| {
            let (key, id) =
                (String::from_utf8_lossy(&words[1]), String::from_utf8_lossy(&words[2]).into_owned());
            reached.lock().unwrap().insert(id.clone(), Instant::now());
            thread::sleep(Duration::from_millis(20));
            let mut value = format!("v:{id}").into_bytes();
            if !key.starts_with("long") {
                return stream.write_all(&hit(&value));
            }
            value.resize(LONG, b'.');
            let answer = hit(&value);
            if !key.contains("reset") {
                record.add(format!("node {number}: {id} answered with {LONG} bytes"));
                return stream.write_all(&answer);
            }
            stream.write_all(&answer[..LONG / 2])?;
            thread::sleep(Duration::from_millis(200));
            *resets.lock().unwrap() += 1;
            record.add(format!("node {number}: {id} reset in the middle of the value"));
            reset_on_close(stream);
            Err(ErrorKind::ConnectionReset.into())
        });
        nodes.push(Listed { uid: format!("s-{number}"), address, origin: false });
    }
    let (of_origin, ran) = (record.clone(), reached.clone());
    let address = origin(listen(None), Duration::from_millis(30), move |id, _| {
        ran.lock().unwrap().insert(id.into(), Instant::now());
        of_origin.add(format!("origin: {id} has run"));
    });
    nodes.push(Listed { uid: "origin".into(), address, origin: true });
    let list = list_json(&nodes);
    let classes = [
        ("tile", "repeatable", 1.0, 500, 1000),
        ("overlay", "repeatable", 5.0, 2500, 6000),
        ("put", "once", 5.0, 1000, 2000),
    ];
    let Some(proxy) = Proxy::start(&list, discovery(list.clone()), &settings(&classes)) else {
        return NOT_RUN;
    };
    let until = Instant::now() + Duration::from_secs(8);
    let usual: Vec<_> = (0..3)
        .map(|_| {
            let address = proxy.address;
            thread::spawn(move || usual_client(address, "tile", until))
        })
        .collect();
    let (mut lost, mut cut, mut answered) = (0, 0, 0);
    for round in 0..ROUNDS {
        let reset = trouble() && round % RESET_EVERY == RESET_EVERY - 1;
        let ids = [new_id(), new_id(), new_id()];
        let key = format!("long-{}-{round}", if reset { "reset" } else { "whole" });
        let Ok(mut stream) = TcpStream::connect(proxy.address) else { return NOT_RUN };
        stream.set_read_timeout(Some(PATIENCE)).expect("a time limit");
        let mut bytes = command(&[b"C.GET", key.as_bytes(), ids[0].as_bytes(), b"c=overlay,d=6000"]);
        bytes.extend(command(&[b"C.SET", b"short-1", ids[1].as_bytes(), b"c=put,d=2000", b"new value"]));
        bytes.extend(command(&[b"C.GET", b"short-2", ids[2].as_bytes(), b"c=tile,d=1000"]));
        if stream.write_all(&bytes).is_err() {
            return NOT_RUN;
        }
        record.add(format!("client: round {round} sent {key} {}, put {}, tile {}", ids[0], ids[1], ids[2]));
        let mut reader = Reader::new(stream);
        let replies: Vec<Option<Vec<u8>>> = ids.iter().map(|_| reader.reply()).collect();
        for (at, (id, reply)) in ids.iter().zip(&replies).enumerate() {
            let got = reply
                .as_deref()
                .map(|reply| String::from_utf8_lossy(&reply[..reply.len().min(24)]).into_owned());
            let been = reached.lock().unwrap().contains_key(id);
            match &got {
                Some(got) => {
                    answered += 1;
                    record.add(format!("client: round {round} {id} answered {got:?}"));
                }
                // The value that broke has failed; the client can tell, since the connection ended.
                None if at == 0 && reset => {
                    cut += 1;
                    record.add(format!("client: round {round} {id} broke off: failed, not lost"));
                }
                None => {
                    // Only what the proxy has read counts: a node or the origin has had it.
                    lost += usize::from(been);
                    let how =
                        if been { "LOST: a node or the origin has run it" } else { "not answered, not read" };
                    record.add(format!("client: round {round} {id} {how}"));
                }
            }
        }
        thread::sleep(Duration::from_millis(100));
    }
    let usual: Vec<(usize, usize)> =
        usual.into_iter().map(|client| client.join().unwrap_or_default()).collect();
    let resets = *resets.lock().unwrap();
    record.add(format!("usual clients: (answered, with a value) {usual:?}"));
    record
        .add(format!("{ROUNDS} rounds: {answered} answered, {resets} resets, {cut} values cut, {lost} lost"));
    record.write(CASE);
    let served: usize = usual.iter().map(|(_, served)| served).sum();
    match () {
        () if served < 100 || trouble() && resets == 0 => NOT_RUN,
        () if lost > 0 => BROKEN,
        () => HELD,
    }
}
