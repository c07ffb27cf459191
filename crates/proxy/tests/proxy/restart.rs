//! A restarted process is ready to serve well within the 10 s that it is allowed, whether or not discovery
//! answers and whatever an earlier process left in its private folder.

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

/// The longest startup that passes: half of the 10 s within which nine in ten restarts must be ready.
const MAX_STARTUP: Duration = Duration::from_secs(5);

/// A list of this many nodes; nothing listens at their addresses.
fn node_list(nodes: usize) -> Json {
    let address =
        |node: usize| format!("127.{}.{}.{}:9", 100 + node / 62_500, node / 250 % 250, 1 + node % 250);
    let node = |node: usize| target(&format!("s-{node:06}"), &address(node), "node", "active");
    json!({"rev": 41, "all": true, "targets": (0..nodes).map(node).collect::<Vec<_>>()})
}

/// Starts a process as the platform does, with its listening socket already open, after preparing its private
/// folder. Returns the time until the first PONG, less the time that the process waited for a core, which
/// depends on the machine's load and not on the proxy. Prints when each line was logged.
fn startup_time(name: &str, discovery: &str, list: &Json, prepare_folder: impl Fn(&Path)) -> Duration {
    let file = configuration(&[("/discovery", json!(discovery)), ("/known", list.clone())]);
    let operator = ("/operator", json!("127.0.0.1:0"));
    let file = File::new(&format!("restart-{name}"), &with_value(file, &operator).to_string());
    let folder = Folder::new(&format!("restart-{name}"));
    prepare_folder(&folder.0.join(format!("pumicebay-{:016x}", stable_hash("n0"))));
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
    let core_wait = std::fs::read_to_string(format!("/proc/{}/schedstat", child.id())).unwrap_or_default();
    let core_wait = core_wait.split(' ').nth(1).and_then(|nanos| nanos.parse().ok()).unwrap_or(0);
    child.kill().unwrap();
    child.wait().unwrap();
    let own_time = ready.saturating_sub(Duration::from_nanos(core_wait));
    println!(
        "{name}: ready after {} ms, {} ms without waits for a core\n{}",
        ready.as_millis(),
        own_time.as_millis(),
        phases.join().unwrap()
    );
    answered.unwrap();
    assert_eq!(&reply, b"+PONG\r\n");
    own_time
}

/// Sets a key of the outermost object, given as a JSON pointer.
fn with_value(mut json: Json, (pointer, value): &(&str, Json)) -> Json {
    json[&pointer[1..]] = value.clone();
    json
}

/// A case's name, and what it puts into the private folder.
type FolderCase<'a> = (&'a str, &'a dyn Fn(&Path));

/// Does not create the private folder.
fn leave_missing(_: &Path) {}

/// Creates the private folder with this text as the list of nodes that an earlier process saved.
fn write_list_file(folder: &Path, text: &str) {
    std::fs::create_dir_all(folder).unwrap();
    std::fs::write(folder.join("pumicebay-list-1"), text).unwrap();
}

/// Discovery refuses connections or never answers: the process must become ready with the list that it has.
#[test]
fn a_restart_is_ready_in_time_while_discovery_is_down() {
    let silent = TcpListener::bind("127.0.0.1:0").unwrap();
    let silent = silent.local_addr().map(|address| (silent, address.to_string())).unwrap();
    for nodes in [200, 7200] {
        let list = node_list(nodes);
        for (behaviour, address) in [("refuses", "127.0.0.1:9"), ("silent", silent.1.as_str())] {
            let ready = startup_time(&format!("{nodes}-{behaviour}"), address, &list, |folder| {
                write_list_file(folder, &list.to_string())
            });
            assert!(ready < MAX_STARTUP, "{nodes} nodes, discovery {behaviour}: {ready:?}");
        }
    }
}

/// Missing, truncated, invalid or very large files, a named pipe that blocks its reader, and directories in
/// place of files must neither delay the startup nor end the process.
#[test]
fn a_restart_is_ready_in_time_whatever_its_folder_contains() {
    let (few, many) = (node_list(200), node_list(7200));
    let text = many.to_string();
    let cases: &[FolderCase] = &[
        ("no-folder", &leave_missing),
        ("empty", &|folder| write_list_file(folder, "")),
        ("cut-off", &|folder| write_list_file(folder, &text[..text.len() / 2])),
        ("no-list", &|folder| write_list_file(folder, "[7]")),
        ("no-text", &|folder| {
            write_list_file(folder, "");
            std::fs::write(folder.join("pumicebay-list-1"), vec![0xff; 32 << 20]).unwrap();
        }),
        ("pipe", &|folder| {
            std::fs::create_dir_all(folder).unwrap();
            let made = std::process::Command::new("mkfifo").arg(folder.join("pumicebay-list-1")).status();
            assert!(made.unwrap().success());
        }),
        ("huge", &|folder| {
            write_list_file(folder, "");
            let file = std::fs::File::create(folder.join("pumicebay-list-1")).unwrap();
            file.set_len(8 << 30).unwrap();
        }),
        ("directories", &|folder| {
            let names = ["pumicebay-list-1", "pumicebay-heir-1/x", "pumicebay-ban-1-", "pumicebay-back-1-zz"];
            names.iter().for_each(|name| std::fs::create_dir_all(folder.join(name)).unwrap());
        }),
        ("many-bans", &|folder| {
            write_list_file(folder, "{");
            for node in 0..7200 {
                let uid: String = format!("s-{node:06}").bytes().map(|byte| format!("{byte:02x}")).collect();
                std::fs::write(folder.join(format!("pumicebay-ban-1-{uid}")), "").unwrap();
            }
        }),
        ("a-file", &|folder| std::fs::write(folder, "no folder").unwrap()),
    ];
    for (name, prepare_folder) in cases {
        let list = if ["cut-off", "many-bans"].contains(name) { &many } else { &few };
        let ready = startup_time(name, "127.0.0.1:9", list, prepare_folder);
        assert!(ready < MAX_STARTUP, "{name}: {ready:?}");
    }
}
