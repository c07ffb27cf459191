//! A process that is started again is ready long before the 10 s that it is given, whatever it finds.

use crate::cli::{File, program};
use crate::operations::Folder;
use crate::{configuration, target};
use pumicebay_names::stable_hash;
use serde_json::{Value as Json, json};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::path::Path;
use std::process::Stdio;
use std::time::{Duration, Instant};

/// Half of what nine in ten are given.
const READY: Duration = Duration::from_secs(5);

/// A list of so many nodes, at none of which anybody listens.
fn list(nodes: usize) -> Json {
    let at = |node: usize| format!("127.{}.{}.{}:9", 100 + node / 62_500, node / 250 % 250, 1 + node % 250);
    let node = |node: usize| target(&format!("s-{node:06}"), &at(node), "node", "active");
    json!({"rev": 41, "all": true, "targets": (0..nodes).map(node).collect::<Vec<_>>()})
}

/// Starts a process as the platform does, with its socket open already and this in its private folder: how long until
/// the first PONG, without what it waited for a core: that is the machine's. Prints when each phase came.
fn started(name: &str, discovery: &str, list: &Json, spoil: impl Fn(&Path)) -> Duration {
    let file = configuration(&[("/discovery", json!(discovery)), ("/known", list.clone())]);
    let door = ("/operator", json!("127.0.0.1:0"));
    let file = File::new(&format!("restart-{name}"), &with(file, &door).to_string());
    let folder = Folder::new(&format!("restart-{name}"));
    spoil(&folder.0.join(format!("pumicebay-{:016x}", stable_hash("n0"))));
    let socket = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut client = TcpStream::connect(socket.local_addr().unwrap()).unwrap();
    client.set_read_timeout(Some(Duration::from_secs(30))).unwrap();
    client.write_all(b"*1\r\n$4\r\nPING\r\n").unwrap();
    let mut command = program(&["serve", "--config", file.path()]);
    command.stdin(std::os::fd::OwnedFd::from(socket)).env("PROXY_FD", "0").env("TMPDIR", &folder.0);
    let start = Instant::now();
    let mut child = command.stderr(Stdio::piped()).spawn().unwrap();
    let log = BufReader::new(child.stderr.take().unwrap());
    let phases = std::thread::spawn(move || {
        let mut phases = String::new();
        for line in log.lines().map_while(Result::ok) {
            let words = line.split_once("Z ").map_or("", |(_, words)| words.trim());
            if !words.starts_with("INFO node ") {
                phases += &format!("  {:4} ms {words:.110}\n", start.elapsed().as_millis());
            }
        }
        phases
    });
    let mut reply = [0; 7];
    let answered = client.read_exact(&mut reply);
    let ready = start.elapsed();
    let waited = std::fs::read_to_string(format!("/proc/{}/schedstat", child.id())).unwrap_or_default();
    let waited = waited.split(' ').nth(1).and_then(|waited| waited.parse().ok()).unwrap_or(0);
    child.kill().unwrap();
    child.wait().unwrap();
    let own = ready.saturating_sub(Duration::from_nanos(waited));
    println!("{name}: {} ms, {} its own\n{}", ready.as_millis(), own.as_millis(), phases.join().unwrap());
    answered.unwrap();
    assert_eq!(&reply, b"+PONG\r\n");
    own
}

fn with(mut json: Json, (place, value): &(&str, Json)) -> Json {
    json[&place[1..]] = value.clone();
    json
}

/// A name, and what is done to the folder.
type Spoilt<'a> = (&'a str, &'a dyn Fn(&Path));

fn nothing(_: &Path) {}

/// What a process before left, in the folder.
fn left(folder: &Path, text: &str) {
    std::fs::create_dir_all(folder).unwrap();
    std::fs::write(folder.join("pumicebay-list-1"), text).unwrap();
}

#[test]
fn it_is_ready_in_time_while_discovery_is_down() {
    let silent = TcpListener::bind("127.0.0.1:0").unwrap();
    let silent = silent.local_addr().map(|at| (silent, at.to_string())).unwrap();
    for nodes in [200, 7200] {
        let list = list(nodes);
        for (how, at) in [("refuses", "127.0.0.1:9"), ("silent", silent.1.as_str())] {
            let ready =
                started(&format!("{nodes}-{how}"), at, &list, |folder| left(folder, &list.to_string()));
            assert!(ready < READY, "{nodes} nodes, discovery {how}: {ready:?}");
        }
    }
}

#[test]
fn it_is_ready_in_time_whatever_lies_in_its_folder() {
    let (few, many) = (list(200), list(7200));
    let text = many.to_string();
    let spoilt: &[Spoilt] = &[
        ("no-folder", &nothing),
        ("empty", &|folder| left(folder, "")),
        ("cut-off", &|folder| left(folder, &text[..text.len() / 2])),
        ("no-list", &|folder| left(folder, "[7]")),
        ("no-text", &|folder| {
            left(folder, "");
            std::fs::write(folder.join("pumicebay-list-1"), vec![0xff; 32 << 20]).unwrap();
        }),
        ("pipe", &|folder| {
            std::fs::create_dir_all(folder).unwrap();
            let made = std::process::Command::new("mkfifo").arg(folder.join("pumicebay-list-1")).status();
            assert!(made.unwrap().success());
        }),
        ("huge", &|folder| {
            left(folder, "");
            let file = std::fs::File::create(folder.join("pumicebay-list-1")).unwrap();
            file.set_len(8 << 30).unwrap();
        }),
        ("directories", &|folder| {
            let names = ["pumicebay-list-1", "pumicebay-heir-1/x", "pumicebay-ban-1-", "pumicebay-back-1-zz"];
            names.iter().for_each(|name| std::fs::create_dir_all(folder.join(name)).unwrap());
        }),
        ("many-bans", &|folder| {
            left(folder, "{");
            for ban in 0..7200 {
                let uid: String = format!("s-{ban:06}").bytes().map(|byte| format!("{byte:02x}")).collect();
                std::fs::write(folder.join(format!("pumicebay-ban-1-{uid}")), "").unwrap();
            }
        }),
        ("a-file", &|folder| std::fs::write(folder, "no folder").unwrap()),
    ];
    for (name, spoil) in spoilt {
        let list = if ["cut-off", "many-bans"].contains(name) { &many } else { &few };
        let ready = started(name, "127.0.0.1:9", list, spoil);
        assert!(ready < READY, "{name}: {ready:?}");
    }
}
