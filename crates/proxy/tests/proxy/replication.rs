//! Orders of maintenance in a group of proxies on loopback, each a whole proxy with stand-ins of its own.

use crate::carrier::free;
use crate::cli::{File, program};
use crate::operations::{Folder, call};
use crate::{World, configuration};
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
const OUT: &str = "/maintenance/enter";
const BACK: &str = "/maintenance/exit";

/// All processes of it, each with its folder.
struct Group {
    worlds: BTreeMap<&'static str, World>,
    section: Json,
    folder: Folder,
    file: File,
}

fn at(names: &[&str]) -> Json {
    names.iter().map(|name| (name.to_string(), json!(free()))).collect()
}

impl Group {
    async fn start(test: &str) -> Group {
        let section = json!({"name": test, "voters": at(&NAMES[..3]), "replication": {"peers": at(&NAMES)}});
        let folder = Folder::new(&format!("replication-{test}"));
        let file = File::new(&format!("replication-{test}"), &json!({"fleet": section}).to_string());
        let mut group = Group { worlds: BTreeMap::new(), section, folder, file };
        for name in NAMES {
            group.begin(name).await;
        }
        group.until_linked().await;
        group
    }

    async fn begin(&mut self, name: &'static str) {
        let mut section = self.section.clone();
        let folder = self.folder.0.join(name);
        section["folder"] = json!(folder.join("voter"));
        section["replication"]["folder"] = json!(folder.join("replica"));
        // A node that is put back is warm at once: whether it serves tells whether it is out.
        let warm = ("/settings/rules/cold-us", json!(1000));
        let own = [("/name", json!(name)), ("/fleet", section), ("/operator", json!("127.0.0.1:0")), warm];
        let world = World::start(&own).await;
        self.worlds.insert(name, world);
    }

    /// All take links, and know the same.
    async fn until_linked(&self) {
        for _ in 0..100 {
            if self.say(&["orders"], None).await.starts_with("0 ") {
                return;
            }
            sleep(Duration::from_millis(50)).await;
        }
        panic!("not linked: {}", self.say(&["orders"], None).await);
    }

    /// As a process that is killed.
    async fn kill(&mut self, name: &str) {
        let mut world = self.worlds.remove(name).unwrap();
        world.running.abort();
        let _ = (&mut world.running).await;
    }

    /// `pumicebay fleet` with these words, under this lease: its exit code, and what it says without stamps.
    async fn say(&self, words: &[&str], lease: Option<(&str, u64)>) -> String {
        let path = self.file.path().to_string();
        let mut words: Vec<String> = words.iter().map(|word| word.to_string()).collect();
        words.insert(0, "fleet".into());
        words.extend(["--config".into(), path]);
        let lease = lease.map(|(name, token)| (name.to_string(), token.to_string()));
        let done = tokio::task::spawn_blocking(move || {
            let words: Vec<&str> = words.iter().map(String::as_str).collect();
            let mut command = program(&words);
            if let Some((name, token)) = lease {
                command.env("PUMICEBAY_LEASE", name).env("PUMICEBAY_TOKEN", token);
            }
            command.output().unwrap()
        });
        let done = done.await.unwrap();
        let text =
            format!("{}{}", String::from_utf8_lossy(&done.stdout), String::from_utf8_lossy(&done.stderr));
        let stamps = |line: &str| match line.split_once('.') {
            Some((words, _)) if line.starts_with("out ") || line.starts_with("back ") => format!("{words}\n"),
            _ => format!("{line}\n"),
        };
        let lines: String = text.lines().map(stamps).collect();
        format!("{} {lines}", done.status.code().unwrap_or(-1))
    }

    /// Who serves a client of each: its own cache node or, where that is out of service, the origin.
    async fn serves(&self) -> String {
        let mut trace = String::new();
        for (name, world) in &self.worlds {
            let reply = world.client().await.ask(&["C.GET", "hit", name, "c=read,d=3000"]).await;
            trace += if reply.contains("origin's") { "o" } else { "c" };
        }
        trace
    }

    async fn until_serves(&self, wanted: &str) {
        for _ in 0..100 {
            if self.serves().await == wanted {
                return;
            }
            sleep(Duration::from_millis(50)).await;
        }
        panic!("{} serve, not {wanted}", self.serves().await);
    }

    async fn call(&self, name: &str, path: &str, body: Json) -> String {
        call(self.worlds[name].operator.unwrap(), "POST", path, &body.to_string()).await
    }
}

#[tokio::test]
async fn an_order_holds_at_all_proxies_and_is_taken_back() {
    let group = Group::start("hold").await;
    let mut trace = String::new();
    for (words, lease) in [
        (vec!["drain", "s-cache", "--wait", "10"], None),
        (vec!["undrain", "s-cache", "--wait", "10"], None),
        (vec!["drain", "s-nobody"], None),
        (vec!["drain", "s-origin"], None),
        (vec!["drain", "s-cache", "--wait", "10"], Some(("repair", 5))),
        (vec!["undrain", "s-cache"], None),
        (vec!["undrain", "s-cache"], Some(("repair", 4))),
    ] {
        trace += &group.say(&words, lease).await;
        trace += &format!("{}\n", group.serves().await);
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
        1 pumicebay: refused: s-cache: lease "repair" has spoken for it: an order needs a lease and its token
        oooo
        1 pumicebay: refused: repair has gone on to token 5
        oooo
    "#]]
    .assert_eq(&trace);
    // A call at one proxy's own door goes the same way.
    let back = group.call("p3", BACK, json!({"who": "s-cache"})).await;
    let leased = group.call("p3", BACK, json!({"who": "s-cache", "lease": "repair", "token": 6})).await;
    group.until_serves("cccc").await;
    let late = group.call("p4", OUT, json!({"who": "s-cache", "lease": "repair", "token": 5})).await;
    expect![[r#"
        409 s-cache: lease "repair" has spoken for it: an order needs a lease and its token
        200 s-cache is back
        409 repair has gone on to token 6
    "#]]
    .assert_eq(&(back + &leased + &late));
    let mut status = String::new();
    for _ in 0..200 {
        status = call(group.worlds["p2"].operator.unwrap(), "GET", "/status", "").await;
        if status.trim_end().ends_with(", 0 nodes out, 3 peers linked, 0 differ") {
            break;
        }
        sleep(Duration::from_millis(50)).await;
    }
    assert!(status.starts_with("200 serving, replication: 2 orders as of "), "{status}");
    assert!(status.trim_end().ends_with(", 0 nodes out, 3 peers linked, 0 differ"), "{status}");
    let orders: Json = serde_json::from_str(&group.say(&["orders", "--json"], None).await[2..]).unwrap();
    assert_eq!((&orders["equal"], orders["proxies"].as_array().unwrap().len()), (&json!(true), 4));
}

/// Proxies that are gone while an order is given have it once they are back, whatever became of their folder; what an
/// order that was taken back meanwhile had ended does not come back with an old one.
#[tokio::test]
async fn who_was_away_has_what_was_ordered_meanwhile() {
    let mut group = Group::start("away").await;
    assert_eq!(
        group.say(&["drain", "s-cache", "--wait", "10"], None).await,
        "0 out p1\nholds at all 4 proxies\n"
    );
    group.kill("p4").await;
    group.kill("p3").await;
    // It comes back alone with what it had, and serves by that at once.
    assert_eq!(group.say(&["undrain", "s-cache"], None).await, "0 back p1\n");
    let lacking = group.say(&["drain", "s-cache", "--wait", "0.5"], None).await;
    assert!(lacking.starts_with("3 out p1\nholds at 2 of 4 proxies, but not at these:\n  p3  "), "{lacking}");
    assert_eq!(group.say(&["undrain", "s-cache"], None).await, "0 back p1\n");
    std::fs::remove_dir_all(group.folder.0.join("p3/replica")).unwrap();
    group.begin("p4").await;
    group.begin("p3").await;
    group.until_serves("cccc").await;
    // A spoilt file, and another's, are set aside.
    for (name, from) in [("p4", None), ("p3", Some("p1"))] {
        group.kill(name).await;
        let file = |name: &str| group.folder.0.join(name).join("replica/replica");
        match from {
            Some(other) => _ = std::fs::copy(file(other), file(name)).unwrap(),
            None => std::fs::write(file(name), b"pumicebr and no more").unwrap(),
        }
        group.begin(name).await;
    }
    assert_eq!(
        group.say(&["drain", "s-cache", "--wait", "10"], None).await,
        "0 out p1\nholds at all 4 proxies\n"
    );
    assert_eq!(group.serves().await, "oooo");
    let aside = |name: &str| group.folder.0.join(name).join("replica/replica.aside").exists();
    assert!(aside("p3") && aside("p4") && !aside("p1"));
}

/// What can't be read ends its link, and nothing else; whoever is none of the group is turned away.
#[tokio::test]
async fn links_end_on_what_is_none_of_the_group() {
    let group = Group::start("absurd").await;
    let address = group.section["replication"]["peers"]["p1"].as_str().unwrap();
    let framed = |bytes: &[u8]| [&(bytes.len() as u32).to_be_bytes(), bytes].concat();
    let took = postcard::to_stdvec(&Frame::Replication(Box::new(Message::Ack { number: 9, accepted: true })))
        .unwrap();
    for (name, bytes) in [
        ("p2", framed(&[99, 1, 2])),
        ("p2", vec![255; 8]),
        ("p2", framed(&[])),
        ("p2", framed(&took)[..7].to_vec()),
        ("stranger", framed(&took)),
        ("p1", framed(&took)),
    ] {
        let mut stream = TcpStream::connect(address).await.unwrap();
        let who = ProcessId { name: name.into(), incarnation: 1 };
        let hello = postcard::to_stdvec(&Hello::new("absurd", &who, Role::Proxy, None)).unwrap();
        stream.write_all(&framed(&hello)).await.unwrap();
        let _ = stream.write_all(&bytes).await;
        let _ = stream.shutdown().await;
        let ended = timeout(Duration::from_secs(4), stream.read_to_end(&mut Vec::new())).await;
        assert!(ended.is_ok(), "the link of {name} goes on after {bytes:?}");
    }
    assert_eq!(
        group.say(&["drain", "s-cache", "--wait", "10"], None).await,
        "0 out p1\nholds at all 4 proxies\n"
    );
}

#[test]
fn a_wrong_section_is_refused_by_its_key() {
    let error = |section: Json| {
        let fleet = json!({"name": "f", "voters": at(&["a", "b", "c"]), "replication": section});
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
