//! Maintenance orders in a group of proxies on loopback, each a complete proxy with stand-ins of its own.

use crate::carrier::unused_address;
use crate::cli::{File, program};
use crate::operations::{Folder, call};
use crate::{TestEnvironment, configuration};
use expect_test::expect;
use pumicebay::config::parse;
use pumicebay::fleet::wire::{Frame, Hello, Role};
use pumicebay_accord::ProcessId;
use pumicebay_replication::Message;
use serde_json::{Value as Json, json};
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

const NAMES: [&str; 4] = ["p1", "p2", "p3", "p4"];
const DRAIN_PATH: &str = "/maintenance/enter";
const UNDRAIN_PATH: &str = "/maintenance/exit";

/// The running proxies of a group by name, and the folder that has one subfolder for each.
struct Group {
    environments: BTreeMap<&'static str, TestEnvironment>,
    section: Json,
    folder: Folder,
    file: File,
}

/// Assigns an unused address to each name.
fn addresses(names: &[&str]) -> Json {
    names.iter().map(|name| (name.to_string(), json!(unused_address()))).collect()
}

impl Group {
    /// Starts a group of four proxies and waits until they are linked.
    async fn start(test: &str) -> Group {
        let section = json!({
            "name": test, "voters": addresses(&NAMES[..3]), "replication": {"peers": addresses(&NAMES)},
        });
        let folder = Folder::new(&format!("replication-{test}"));
        let file = File::new(&format!("replication-{test}"), &json!({"fleet": section}).to_string());
        let mut group = Group { environments: BTreeMap::new(), section, folder, file };
        for name in NAMES {
            group.start_process(name).await;
        }
        group.wait_until_linked().await;
        group
    }

    /// Starts a proxy with its own folder.
    async fn start_process(&mut self, name: &'static str) {
        let mut section = self.section.clone();
        let folder = self.folder.0.join(name);
        section["folder"] = json!(folder.join("voter"));
        section["replication"]["folder"] = json!(folder.join("replica"));
        // A node that is put back is warm at once, so it serves exactly when it is in service.
        let no_warm_up = ("/settings/rules/cold-us", json!(1000));
        let own =
            [("/name", json!(name)), ("/fleet", section), ("/operator", json!("127.0.0.1:0")), no_warm_up];
        let env = TestEnvironment::start(&own).await;
        self.environments.insert(name, env);
    }

    /// Waits until all proxies accept links and have equal copies.
    async fn wait_until_linked(&self) {
        for _ in 0..100 {
            if self.run_command(&["orders"], None).await.starts_with("0 ") {
                return;
            }
            sleep(Duration::from_millis(50)).await;
        }
        panic!("not linked: {}", self.run_command(&["orders"], None).await);
    }

    /// Simulates the kill of a process.
    async fn kill(&mut self, name: &str) {
        let env = self.environments.remove(name).unwrap();
        env.kill(&self.folder.0.join(name)).await;
    }

    /// Runs `pumicebay fleet` with these arguments under this lease. Returns the exit code, and the output
    /// without stamps.
    async fn run_command(&self, arguments: &[&str], lease: Option<(&str, u64)>) -> String {
        let path = self.file.path().to_string();
        let mut arguments: Vec<String> = arguments.iter().map(|word| word.to_string()).collect();
        arguments.insert(0, "fleet".into());
        arguments.extend(["--config".into(), path]);
        let lease = lease.map(|(name, token)| (name.to_string(), token.to_string()));
        let output = tokio::task::spawn_blocking(move || {
            let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
            let mut command = program(&arguments);
            if let Some((name, token)) = lease {
                command.env("PUMICEBAY_LEASE", name).env("PUMICEBAY_TOKEN", token);
            }
            command.output().unwrap()
        });
        let output = output.await.unwrap();
        let text =
            format!("{}{}", String::from_utf8_lossy(&output.stdout), String::from_utf8_lossy(&output.stderr));
        let without_stamp = |line: &str| match line.split_once('.') {
            Some((order, _)) if line.starts_with("out ") || line.starts_with("back ") => format!("{order}\n"),
            _ => format!("{line}\n"),
        };
        let lines: String = text.lines().map(without_stamp).collect();
        format!("{} {lines}", output.status.code().unwrap_or(-1))
    }

    /// Which node serves a client of each proxy: `c` for the proxy's own cache node, or `o` for the origin
    /// where the cache node is out of service.
    async fn serving_sources(&self) -> String {
        let mut trace = String::new();
        for (name, env) in &self.environments {
            let reply = env.client().await.execute(&["C.GET", "hit", name, "c=read,d=3000"]).await;
            trace += if reply.contains("origin's") { "o" } else { "c" };
        }
        trace
    }

    /// Waits until the clients are served by these nodes.
    async fn wait_until_serving(&self, expected: &str) {
        for _ in 0..100 {
            if self.serving_sources().await == expected {
                return;
            }
            sleep(Duration::from_millis(50)).await;
        }
        panic!("served by {}, expected {expected}", self.serving_sources().await);
    }

    /// Sends an operator's call to this proxy.
    async fn call(&self, name: &str, path: &str, body: Json) -> String {
        call(self.environments[name].operator_address.unwrap(), "POST", path, &body.to_string()).await
    }
}

#[tokio::test]
async fn order_applies_at_all_proxies_and_can_be_reverted() {
    let group = Group::start("hold").await;
    let mut trace = String::new();
    for (arguments, lease) in [
        (vec!["drain", "s-cache", "--wait", "10"], None),
        (vec!["undrain", "s-cache", "--wait", "10"], None),
        (vec!["drain", "s-nobody"], None),
        (vec!["drain", "s-origin"], None),
        (vec!["drain", "s-cache", "--wait", "10"], Some(("repair", 5))),
        (vec!["undrain", "s-cache"], None),
        (vec!["undrain", "s-cache"], Some(("repair", 4))),
    ] {
        trace += &group.run_command(&arguments, lease).await;
        trace += &format!("{}\n", group.serving_sources().await);
    }
    expect![[r#"
        0 out p1
        holds at all 4 proxies
        oooo
        0 back p1
        holds at all 4 proxies
        cccc
        1 pumicebay: refused: no cache node "s-nobody" is known
        cccc
        1 pumicebay: refused: s-origin is the origin, not a cache node
        cccc
        0 out p1
        holds at all 4 proxies
        oooo
        1 pumicebay: refused: s-cache: the node has an order under lease "repair": a new order needs a lease and its token
        oooo
        1 pumicebay: refused: repair has gone on to token 5
        oooo
    "#]]
    .assert_eq(&trace);
    // An operator's call at one proxy is replicated in the same way.
    let back = group.call("p3", UNDRAIN_PATH, json!({"who": "s-cache"})).await;
    let leased =
        group.call("p3", UNDRAIN_PATH, json!({"who": "s-cache", "lease": "repair", "token": 6})).await;
    group.wait_until_serving("cccc").await;
    let late = group.call("p4", DRAIN_PATH, json!({"who": "s-cache", "lease": "repair", "token": 5})).await;
    expect![[r#"
        409 s-cache: the node has an order under lease "repair": a new order needs a lease and its token
        200 s-cache is back
        409 repair has gone on to token 6
    "#]]
    .assert_eq(&(back + &leased + &late));
    let mut status = String::new();
    for _ in 0..200 {
        status = call(group.environments["p2"].operator_address.unwrap(), "GET", "/status", "").await;
        if status.trim_end().ends_with(", 0 nodes out, 3 peers linked, 0 differ") {
            break;
        }
        sleep(Duration::from_millis(50)).await;
    }
    assert!(status.starts_with("200 serving, replication: 2 orders as of "), "{status}");
    assert!(status.trim_end().ends_with(", 0 nodes out, 3 peers linked, 0 differ"), "{status}");
    let orders: Json =
        serde_json::from_str(&group.run_command(&["orders", "--json"], None).await[2..]).unwrap();
    assert_eq!((&orders["equal"], orders["proxies"].as_array().unwrap().len()), (&json!(true), 4));
}

/// Proxies that are down while orders are issued learn them after a restart, even if their folder was lost,
/// is corrupt or belongs to another proxy. An order that was superseded meanwhile does not come back from an
/// old copy.
#[tokio::test]
async fn restarted_proxy_learns_orders_issued_while_it_was_down() {
    let mut group = Group::start("away").await;
    assert_eq!(
        group.run_command(&["drain", "s-cache", "--wait", "10"], None).await,
        "0 out p1\nholds at all 4 proxies\n"
    );
    group.kill("p4").await;
    group.kill("p3").await;
    // The node is put back and taken out again while two proxies are down; these are listed as missing the
    // order.
    assert_eq!(group.run_command(&["undrain", "s-cache"], None).await, "0 back p1\n");
    let incomplete = group.run_command(&["drain", "s-cache", "--wait", "0.5"], None).await;
    assert!(
        incomplete.starts_with("3 out p1\nholds at 2 of 4 proxies, but not at these:\n  p3  "),
        "{incomplete}"
    );
    assert_eq!(group.run_command(&["undrain", "s-cache"], None).await, "0 back p1\n");
    std::fs::remove_dir_all(group.folder.0.join("p3/replica")).unwrap();
    group.start_process("p4").await;
    group.start_process("p3").await;
    group.wait_until_serving("cccc").await;
    // A corrupt file, and one that belongs to another proxy, are set aside.
    for (name, from) in [("p4", None), ("p3", Some("p1"))] {
        group.kill(name).await;
        let file = |name: &str| group.folder.0.join(name).join("replica/replica");
        match from {
            Some(other) => _ = std::fs::copy(file(other), file(name)).unwrap(),
            None => std::fs::write(file(name), b"pumicebr and no more").unwrap(),
        }
        group.start_process(name).await;
    }
    assert_eq!(
        group.run_command(&["drain", "s-cache", "--wait", "10"], None).await,
        "0 out p1\nholds at all 4 proxies\n"
    );
    assert_eq!(group.serving_sources().await, "oooo");
    let was_set_aside = |name: &str| group.folder.0.join(name).join("replica/replica.aside").exists();
    assert!(was_set_aside("p3") && was_set_aside("p4") && !was_set_aside("p1"));
}

/// Guards against an order that is reported as kept although the disk does not have it.
#[tokio::test]
async fn order_that_the_disk_does_not_take_is_reported_and_holds() {
    let group = Group::start("full").await;
    let replica_folder = group.folder.0.join("p1/replica");
    let _ = std::fs::remove_dir_all(&replica_folder);
    std::fs::write(&replica_folder, b"no folder").unwrap();
    assert_eq!(
        group.run_command(&["drain", "s-cache", "--wait", "10"], None).await,
        "1 pumicebay: refused: s-cache: could not be kept: it holds and goes on to the others, but is not on this disk\n"
    );
    group.wait_until_serving("oooo").await;
}

/// An unreadable frame closes its link and affects nothing else. A process that is not a peer of the group,
/// or has the name of the proxy itself, is disconnected.
#[tokio::test]
async fn invalid_frames_and_unknown_peers_are_disconnected() {
    let group = Group::start("absurd").await;
    let address = group.section["replication"]["peers"]["p1"].as_str().unwrap();
    let framed = |bytes: &[u8]| [&(bytes.len() as u32).to_be_bytes(), bytes].concat();
    let acknowledgement =
        postcard::to_stdvec(&Frame::Replication(Box::new(Message::Ack { number: 9, accepted: true })))
            .unwrap();
    for (name, bytes) in [
        ("p2", framed(&[99, 1, 2])),
        ("p2", vec![255; 8]),
        ("p2", framed(&[])),
        ("p2", framed(&acknowledgement)[..7].to_vec()),
        ("stranger", framed(&acknowledgement)),
        ("p1", framed(&acknowledgement)),
    ] {
        let mut stream = TcpStream::connect(address).await.unwrap();
        let who = ProcessId { name: name.into(), incarnation: 1 };
        let hello = postcard::to_stdvec(&Hello::new("absurd", &who, Role::Proxy, None)).unwrap();
        stream.write_all(&framed(&hello)).await.unwrap();
        let _ = stream.write_all(&bytes).await;
        let _ = stream.shutdown().await;
        let ended = timeout(Duration::from_secs(4), stream.read_to_end(&mut Vec::new())).await;
        assert!(ended.is_ok(), "the link of {name} stays open after {bytes:?}");
    }
    assert_eq!(
        group.run_command(&["drain", "s-cache", "--wait", "10"], None).await,
        "0 out p1\nholds at all 4 proxies\n"
    );
}

#[test]
fn invalid_section_is_refused_with_its_key() {
    let error = |section: Json| {
        let fleet = json!({"name": "f", "voters": addresses(&["a", "b", "c"]), "replication": section});
        let json = configuration(&[("/name", json!("p1")), ("/fleet", fleet)]);
        parse(&json).err().map_or("taken".into(), |error| format!("{error:#}"))
    };
    let peers = || json!({"p1": "127.0.0.1:1", "p2": "127.0.0.1:2"});
    let mut trace = String::new();
    for section in [
        json!({"peers": peers()}),
        json!({"peers": peers(), "links": 4, "bytes-per-second": 2000, "retention-s": 60, "#": "note"}),
        json!([]),
        json!({}),
        json!({"peers": {"p1": "127.0.0.1:1"}}),
        json!({"peers": {"p1": "127.0.0.1:1", "p2": "nowhere"}}),
        json!({"peers": {"p2": "127.0.0.1:1", "p3": "127.0.0.1:2"}}),
        json!({"peers": peers(), "links": 0}),
        json!({"peers": peers(), "bytes-per-second": 10}),
        json!({"peers": peers(), "retention-s": "week"}),
        json!({"peers": peers(), "listen": "here"}),
        json!({"peers": peers(), "folder": 7}),
        json!({"peers": peers(), "keys": 9}),
    ] {
        trace += &format!("{}\n", error(section));
    }
    expect![[r#"
        taken
        taken
        fleet.replication: expected an object, found []
        fleet.replication.peers: expected 2 to 4096, found 0
        fleet.replication.peers: expected 2 to 4096, found 1
        fleet.replication.peers.p2: expected ADDRESS:PORT, found "nowhere"
        fleet.replication.peers: p1 is not among them
        fleet.replication.links: expected a number from 1 to 32, found 0
        fleet.replication.bytes-per-second: expected a number from 1024 to 1073741824, found 10
        fleet.replication.retention-s: expected a number from 10 to 31536000, found "week"
        fleet.replication.listen: expected ADDRESS:PORT, found "here": invalid socket address syntax
        fleet.replication.folder: expected a text, found 7
        fleet.replication.keys: is not known
    "#]]
    .assert_eq(&trace);
}
