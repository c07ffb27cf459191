//! Distribution of configuration changes in a fleet of proxies on loopback: three voters, two control
//! machines, relays and leaves. Each is a complete proxy with stand-ins of its own.

use crate::cli::{File, RunningProxy, program};
use crate::operations::{Folder, call};
use crate::{TestEnvironment, configuration};
use expect_test::expect;
use pumicebay::config::parse;
use pumicebay::fleet::carrier::{apply, disk};
use pumicebay::fleet::wire::{Frame, Hello, Role};
use pumicebay_accord::ProcessId;
use pumicebay_carrier::{Attachment, ChildMessage, Interest, Member, Resource, Scope, Snapshot, Version};
use serde_json::{Value as Json, json};
use std::collections::BTreeMap;
use std::net::TcpListener;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

const VOTERS: [&str; 3] = ["v1", "v2", "v3"];
const CONTROL: [&str; 2] = ["c1", "c2"];

/// The running processes of a fleet by name, and the folder that has one subfolder for each.
struct Fleet {
    environments: BTreeMap<&'static str, TestEnvironment>,
    section: Json,
    folder: Folder,
    file: File,
}

/// A loopback address with a free port below the ephemeral range, so that the kernel does not assign the port
/// to another socket before it is used.
pub fn unused_address() -> String {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    loop {
        let number = std::process::id().wrapping_mul(61).wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed));
        let at = format!("127.0.0.1:{}", 12_000 + number % 20_000);
        if TcpListener::bind(&at).is_ok() {
            return at;
        }
    }
}

impl Fleet {
    /// Starts a fleet with these relays and leaves in addition to the voters and control machines, and founds
    /// its record.
    async fn start(test: &str, relays: &[&'static str], leaves: &[&'static str]) -> Fleet {
        let addresses = |names: &[&str]| {
            names.iter().map(|name| (name.to_string(), json!(unused_address()))).collect::<Json>()
        };
        let section = json!({
            "name": test, "zone": "hall", "voters": addresses(&VOTERS),
            "carrier": {
                "control": addresses(&CONTROL), "relays": addresses(relays), "region": "north", "site": "s1",
            },
        });
        let folder = Folder::new(&format!("carrier-{test}"));
        let file = File::new(&format!("carrier-{test}"), &json!({"fleet": section}).to_string());
        let mut fleet = Fleet { environments: BTreeMap::new(), section, folder, file };
        for name in VOTERS.iter().chain(&CONTROL).chain(relays).chain(leaves) {
            fleet.start_process(name, &[]).await;
        }
        for _ in 0..200 {
            let (code, _) = fleet.run_command(&["found"]).await;
            if code == 0 {
                break;
            }
            sleep(Duration::from_millis(50)).await;
        }
        fleet
    }

    /// Starts a process with its own folder and with these settings changed.
    async fn start_process(&mut self, name: &'static str, set: &[(&str, Json)]) {
        let mut section = self.section.clone();
        let folder = self.folder.0.join(name);
        section["folder"] = json!(folder.join("voter"));
        section["carrier"]["folder"] = json!(folder.join("carrier"));
        let own = [("/name", json!(name)), ("/fleet", section), ("/operator", json!("127.0.0.1:0"))];
        let set: Vec<(&str, Json)> = own.into_iter().chain(set.iter().cloned()).collect();
        let env = TestEnvironment::start(&set).await;
        self.environments.insert(name, env);
    }

    /// Simulates the kill of a process.
    async fn kill(&mut self, name: &str) {
        let env = self.environments.remove(name).unwrap();
        env.kill(&self.folder.0.join(name)).await;
    }

    /// Runs `pumicebay fleet` with these arguments. Returns the exit code and the whole output.
    async fn run_command(&self, arguments: &[&str]) -> (i32, String) {
        let path = self.file.path().to_string();
        let mut arguments: Vec<String> = arguments.iter().map(|word| word.to_string()).collect();
        arguments.insert(0, "fleet".into());
        arguments.extend(["--config".into(), path]);
        let output = tokio::task::spawn_blocking(move || {
            let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
            program(&arguments).output().unwrap()
        });
        let output = output.await.unwrap();
        let text =
            format!("{}{}", String::from_utf8_lossy(&output.stdout), String::from_utf8_lossy(&output.stderr));
        (output.status.code().unwrap_or(-1), text)
    }

    /// Runs `pumicebay fleet set` and waits this many seconds until the change is in force everywhere.
    /// Returns the exit code, and the output with versions replaced by VERSION.
    async fn set(&self, scope: &str, name: &str, patch: &Json, wait: &str) -> (i32, String) {
        let patch = File::new(&format!("{}-{name}", self.section["name"]), &patch.to_string());
        let (code, text) = self.run_command(&["set", scope, name, patch.path(), "--wait", wait]).await;
        // A version begins with the time at which the record was founded, which differs in each run.
        let digits = |text: &str| !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
        let without_version = |word: &str| {
            let bare = word.trim_end_matches([' ', ',', ':', '\n']);
            let version = bare.split_once('.').is_some_and(|(one, two)| digits(one) && digits(two));
            if version { word.replace(bare, "VERSION") } else { word.into() }
        };
        (code, text.split_inclusive([' ', '\n']).map(without_version).collect())
    }

    /// Sets a resource, and asserts that it is in force everywhere.
    async fn set_everywhere(&self, scope: &str, name: &str, patch: &Json) {
        assert_eq!(self.set(scope, name, patch, "20").await, (0, "VERSION\n".into()));
    }

    async fn changes(&self) -> Json {
        let (_, text) = self.run_command(&["changes", "--json"]).await;
        serde_json::from_str(&text).unwrap_or_else(|_| json!(text))
    }

    /// Sends a request of this class to each process, and returns the replies.
    async fn request_at_each(&self, class: &str) -> String {
        let mut trace = String::new();
        for (name, env) in &self.environments {
            let labels = format!("c={class},t=acme,d=3000,size=9,k=x");
            let reply = env.client().await.execute(&["C.GET", "hit", name, &labels]).await;
            trace += &format!("{name} {reply}");
        }
        trace
    }
}

/// A patch that adds a route with this name.
fn with_route(fleet: &Fleet, name: &str) -> Json {
    let json = &fleet.environments.values().next().unwrap().config_json;
    let mut routes = json["settings"]["routes"].clone();
    let mut route = routes[0].clone();
    route["name"] = json!(name);
    routes.as_array_mut().unwrap().push(route);
    json!({"settings": {"routes": routes}})
}

#[tokio::test]
async fn change_reaches_all_processes_in_its_scope() {
    let fleet = Fleet::start("reach", &["r1"], &["l1", "l2"]).await;
    let patch = with_route(&fleet, "fresh");
    fleet.set_everywhere("fleet", "routes", &patch).await;
    expect![[r#"
        c1 hit: value of c1
        c2 hit: value of c2
        l1 hit: value of l1
        l2 hit: value of l2
        r1 hit: value of r1
        v1 hit: value of v1
        v2 hit: value of v2
        v3 hit: value of v3
    "#]]
    .assert_eq(&fleet.request_at_each("fresh").await);
    let changes = fleet.changes().await;
    assert_eq!((&changes["everywhere"], &changes["members"]), (&json!(true), &json!(8)), "{changes:#}");
    // A change for a single proxy, and one for a site that has no proxies here.
    let own = with_route(&fleet, "own");
    fleet.set_everywhere("proxy/s1/l2", "routes", &own).await;
    let count_served = |text: String| text.lines().filter(|line| line.contains("value of")).count();
    assert_eq!(count_served(fleet.request_at_each("own").await), 1);
    fleet.set_everywhere("site/other", "routes", &own).await;
    assert_eq!(count_served(fleet.request_at_each("own").await), 1);
    let (code, text) = fleet.run_command(&["unset", "proxy/s1/l2", "routes", "--wait", "10"]).await;
    assert_eq!(code, 0, "{text}");
    assert_eq!(count_served(fleet.request_at_each("fresh").await), 8);
    // An unreadable frame closes its link and affects nothing else.
    let (c1, who) =
        (&fleet.section["carrier"]["control"]["c1"], ProcessId { name: "x".into(), incarnation: 1 });
    let foreign = Attachment { member: Member { name: "y".into(), incarnation: 1 }, number: 1 };
    let up = ChildMessage::Subscribe {
        attachment: foreign,
        interest: Interest::All,
        version: Version::default(),
        digest: 0,
    };
    let up = postcard::to_stdvec(&Frame::ToParent(Box::new(up))).unwrap();
    let framed = |bytes: &[u8]| [&(bytes.len() as u32).to_be_bytes(), bytes].concat();
    for bytes in [framed(&[99, 1, 2]), vec![255; 8], framed(&[]), framed(&up), framed(&up)[..9].to_vec()] {
        let mut stream = TcpStream::connect(c1.as_str().unwrap()).await.unwrap();
        let hello = postcard::to_stdvec(&Hello::new("reach", &who, Role::Proxy, None)).unwrap();
        stream.write_all(&framed(&hello)).await.unwrap();
        stream.write_all(&bytes).await.unwrap();
        stream.shutdown().await.unwrap();
        let ended = timeout(Duration::from_secs(4), stream.read_to_end(&mut Vec::new())).await;
        assert!(ended.is_ok(), "the link stays open after {bytes:?}");
    }
    fleet.set_everywhere("fleet", "routes", &with_route(&fleet, "after")).await;
}

/// A change that the publisher's own configuration cannot accept is refused at once, with the key. A change
/// that only one proxy cannot accept is in force everywhere else, and that proxy is listed with the reason.
#[tokio::test]
async fn refused_change_is_reported_with_its_key() {
    let mut fleet = Fleet::start("refuse", &[], &["l1"]).await;
    // The rules in the file of l2 lack a key that the files of all others have.
    fleet
        .start_process("l2", &[("/settings/rules", json!({"fall-us": 1_000_000, "start-capacity": 0.12}))])
        .await;
    let mut trace = String::new();
    for patch in [
        json!({"settings": {"routes": []}}),
        json!({"settings": {"permissions": {"most-upstream-tries": "many"}}}),
        json!({"listen": "127.0.0.1:1"}),
    ] {
        let (code, text) = fleet.set("fleet", "wrong", &patch, "5").await;
        trace += &format!("{code} {text}");
    }
    let (code, text) = fleet.run_command(&["unset", "planet", "wrong"]).await;
    trace += &format!("{code} {text}");
    let mut patch = with_route(&fleet, "fresh");
    patch["settings"]["rules"] = json!({"cold-us": 24_000_000});
    let (code, text) = fleet.set("fleet", "rules", &patch, "20").await;
    let publisher = fleet.changes().await["publisher"].as_str().unwrap_or("?").to_string();
    trace += &format!("{code} {}", text.replace(&publisher, "PUBLISHER"));
    expect![[r#"
        1 pumicebay: refused: wrong for fleet: settings.routes: expected one or more
        1 pumicebay: refused: wrong for fleet: settings.permissions.most-upstream-tries: expected a whole number, found "many"
        1 pumicebay: refused: wrong for fleet: needs a restart, put it into the file: listen
        1 pumicebay: "planet": expected fleet, region/R, zone/Z, site/S or proxy/SITE/NAME
        3 VERSION
        version VERSION, VERSION is in force everywhere but for those below
        7 members, 0 waiting, published by PUBLISHER
          l2  has VERSION  refused rules for fleet, of VERSION: needs a restart, put it into the file: settings.rules.cold-us
    "#]]
    .assert_eq(&trace);
    expect![[r#"
        c1 hit: value of c1
        c2 hit: value of c2
        l1 hit: value of l1
        l2 hit: -ERR label 'c': unknown or missing class
        v1 hit: value of v1
        v2 hit: value of v2
        v3 hit: value of v3
    "#]]
    .assert_eq(&fleet.request_at_each("fresh").await);
    // Once the file of l2 is corrected and reloaded, l2 is no longer listed as an exception.
    let l2 = &fleet.environments["l2"];
    let mut corrected = l2.config_json.clone();
    corrected["settings"]["rules"]["cold-us"] = json!(24_000_000);
    l2.configs.send(parse(&corrected)).await.unwrap();
    let mut changes = json!(null);
    for _ in 0..100 {
        changes = fleet.changes().await;
        if changes["everywhere"] == true {
            break;
        }
        sleep(Duration::from_millis(100)).await;
    }
    assert_eq!(changes["everywhere"], true, "{changes:#}");
    assert!(fleet.request_at_each("fresh").await.contains("l2 hit: value of l2"));
}

#[tokio::test]
async fn children_of_a_lost_relay_connect_to_another_parent() {
    let mut fleet = Fleet::start("relay", &["r1", "r2"], &["l1", "l2", "l3", "l4"]).await;
    fleet.set_everywhere("fleet", "routes", &with_route(&fleet, "one")).await;
    fleet.kill("r1").await;
    // The exit code says that the change is not everywhere: what is in force at the lost relay is unknown.
    let (code, text) = fleet.set("fleet", "routes", &with_route(&fleet, "two"), "12").await;
    assert_eq!(code, 3, "{text}");
    assert_eq!(
        fleet.request_at_each("two").await.matches("value of").count(),
        10,
        "{}",
        fleet.request_at_each("two").await
    );
    let changes = fleet.changes().await;
    let named = |exception: &Json| format!("{} {}", exception["name"], exception["why"]);
    let exceptions: Vec<String> = changes["exceptions"].as_array().unwrap().iter().map(named).collect();
    assert_eq!(exceptions, [r#""r1" "lost""#], "{changes:#}");
    // After the relay has restarted, a change reaches all processes again.
    fleet.start_process("r1", &[]).await;
    fleet.set_everywhere("fleet", "routes", &with_route(&fleet, "three")).await;
}

/// Without control machines, proxies continue to serve, and restarted ones use their snapshot. One whose
/// snapshot file is corrupt starts with its own configuration file alone.
#[tokio::test]
async fn serving_continues_without_any_control_machine() {
    let mut fleet = Fleet::start("gone", &["r1"], &["l1", "l2"]).await;
    fleet.set_everywhere("fleet", "routes", &with_route(&fleet, "fresh")).await;
    // The relay is killed too, as it would send its resources to restarted children.
    for name in CONTROL.into_iter().chain(["r1", "l1", "l2"]) {
        fleet.kill(name).await;
    }
    let corrupt = fleet.folder.0.join("l2/carrier/carrier");
    let mut bytes = std::fs::read(&corrupt).unwrap();
    bytes[30] ^= 1;
    std::fs::write(&corrupt, bytes).unwrap();
    for name in ["l1", "l2"] {
        fleet.start_process(name, &[]).await;
    }
    expect![[r#"
        l1 hit: value of l1
        l2 hit: -ERR label 'c': unknown or missing class
        v1 hit: value of v1
        v2 hit: value of v2
        v3 hit: value of v3
    "#]]
    .assert_eq(&fleet.request_at_each("fresh").await);
    assert_eq!(fleet.request_at_each("read").await.matches("value of").count(), 5);
    let status = call(fleet.environments["l1"].operator_address.unwrap(), "GET", "/status", "").await;
    assert!(
        status.starts_with("200 serving, carrier: version ") && status.contains("nothing heard"),
        "{status}"
    );
    let (code, text) = fleet.set("fleet", "routes", &with_route(&fleet, "late"), "1").await;
    assert!(code == 1 && text.contains("nothing was written"), "{code} {text}");
    // Once the control machines and the relay are back with their folders, changes reach all processes again.
    for name in CONTROL.into_iter().chain(["r1"]) {
        fleet.start_process(name, &[]).await;
    }
    fleet.set_everywhere("fleet", "routes", &with_route(&fleet, "late")).await;
    assert_eq!(fleet.request_at_each("late").await.matches("value of").count(), 8);
}

fn resource(scope: Scope, name: &str, number: u64, patch: &str) -> Resource {
    Resource { scope, name: name.into(), version: Version { epoch: 7, number }, patch: Some(patch.into()) }
}

/// A snapshot file that is truncated at any byte, or has any single bit flipped, is detected as corrupt.
#[test]
fn corrupt_snapshot_file_is_detected() {
    let resources = vec![resource(Scope::Fleet, "a", 3, "{}")];
    let snapshot = Snapshot { version: Version { epoch: 7, number: 3 }, resources, ..Snapshot::default() };
    let encoded = disk::encode(&snapshot).unwrap();
    assert_eq!(disk::decode(&encoded).unwrap(), snapshot);
    for at in 0..encoded.len() {
        assert!(disk::decode(&encoded[..at]).is_err(), "truncated at byte {at}");
        for bit in 0..8 {
            let mut flipped = encoded.clone();
            flipped[at] ^= 1 << bit;
            assert!(disk::decode(&flipped).is_err(), "bit flipped in byte {at}");
        }
    }
    let mut later = encoded;
    later[8] = 2;
    expect!["format version 2 is not supported, expected 1"]
        .assert_eq(&disk::decode(&later).unwrap_err().to_string());
}

/// The examples of RFC 7396.
#[test]
fn merge_follows_rfc_7396() {
    for (target, patch, merged) in [
        (json!({"a": "b"}), json!({"a": "c"}), json!({"a": "c"})),
        (json!({"a": "b"}), json!({"b": "c"}), json!({"a": "b", "b": "c"})),
        (json!({"a": "b"}), json!({"a": null}), json!({})),
        (json!({"a": "b", "b": "c"}), json!({"a": null}), json!({"b": "c"})),
        (json!({"a": ["b"]}), json!({"a": "c"}), json!({"a": "c"})),
        (json!({"a": "c"}), json!({"a": ["b"]}), json!({"a": ["b"]})),
        (json!({"a": {"b": "c"}}), json!({"a": {"b": "d", "c": null}}), json!({"a": {"b": "d"}})),
        (json!({"a": [{"b": "c"}]}), json!({"a": [1]}), json!({"a": [1]})),
        (json!(["a", "b"]), json!(["c", "d"]), json!(["c", "d"])),
        (json!({"a": "b"}), json!(["c"]), json!(["c"])),
        (json!({"a": "foo"}), json!(null), json!(null)),
        (json!({"e": null}), json!({"a": 1}), json!({"e": null, "a": 1})),
        (json!([1, 2]), json!({"a": "b", "c": null}), json!({"a": "b"})),
        (json!({}), json!({"a": {"bb": {"ccc": null}}}), json!({"a": {"bb": {}}})),
    ] {
        let mut target = target;
        apply::merge(&mut target, &patch);
        assert_eq!(target, merged);
    }
}

/// Narrower scopes override wider ones. For a resource that is refused, its last accepted version stays in
/// force.
#[test]
fn refused_resource_keeps_its_last_accepted_version() {
    let file = parse(&configuration(&[])).unwrap();
    let with_limit =
        |number: Json| json!({"settings": {"permissions": {"most-upstream-tries": number}}}).to_string();
    let site = Scope::Site("s1".into());
    let mut all = vec![
        resource(site.clone(), "tries", 1, &with_limit(json!(3))),
        resource(Scope::Fleet, "tries", 2, &with_limit(json!(2))),
    ];
    apply::sort_by_precedence(&mut all);
    let first = apply::apply_resources(&file, &all, &[]);
    let limit = |applied: &apply::AppliedConfig| {
        applied.config.json["settings"]["permissions"]["most-upstream-tries"].clone()
    };
    assert_eq!((limit(&first), first.refused.len(), first.accepted.len()), (json!(3), 0, 2));
    let next = [
        resource(Scope::Fleet, "bad", 4, "[]"),
        all[0].clone(),
        resource(site, "tries", 3, &with_limit(json!("many"))),
    ];
    let second = apply::apply_resources(&file, &next, &first.accepted);
    assert_eq!(
        (limit(&second), second.accepted.len()),
        (json!(3), 2),
        "the last accepted version of the site's resource stays"
    );
    expect![[r#"
        fleet bad: expected an object, found []
        site/s1 tries: settings.permissions.most-upstream-tries: expected a whole number, found "many""#]]
    .assert_eq(
        &second
            .refused
            .iter()
            .map(|(scope, name, why)| format!("{scope} {name}: {why}"))
            .collect::<Vec<_>>()
            .join("\n"),
    );
}

/// Runs the program in separate processes: three voters that are also control machines, a relay and a leaf.
/// Changes are distributed, and a snapshot is used at a restart, after processes are killed.
#[test]
fn changes_are_distributed_after_processes_are_killed() {
    let names = ["v1", "v2", "v3"];
    let addresses = |names: &[&str]| -> Json {
        names.iter().map(|name| (name.to_string(), json!(unused_address()))).collect()
    };
    let folder = Folder::new("carrier-real");
    let mut section = json!({"name": "real", "voters": addresses(&names),
        "carrier": {"control": addresses(&names), "relays": addresses(&["r1"]), "site": "s1"}});
    let mut files = BTreeMap::new();
    for name in ["v1", "v2", "v3", "r1", "l1"] {
        section["folder"] = json!(folder.0.join(name).join("voter"));
        section["carrier"]["folder"] = json!(folder.0.join(name).join("carrier"));
        let json = configuration(&[("/name", json!(name)), ("/fleet", section.clone())]);
        files.insert(name, File::new(&format!("carrier-real-{name}"), &json.to_string()));
    }
    let start = |name: &str| RunningProxy::start(program(&["serve", "--config", files[name].path()]));
    let mut running: BTreeMap<&str, RunningProxy> = files.keys().map(|name| (*name, start(name))).collect();
    let run_command = |arguments: &[&str]| {
        let arguments: Vec<&str> =
            ["fleet"].iter().chain(arguments).chain(&["--config", files["l1"].path()]).copied().collect();
        let output = program(&arguments).output().unwrap();
        let text =
            format!("{}{}", String::from_utf8_lossy(&output.stdout), String::from_utf8_lossy(&output.stderr));
        (output.status.code().unwrap_or(-1), text)
    };
    while run_command(&["found"]).0 != 0 {
        std::thread::sleep(Duration::from_millis(50));
    }
    let with_limit = |number: u64| {
        let patch = json!({"settings": {"permissions": {"most-upstream-tries": number}}});
        File::new(&format!("carrier-real-{number}"), &patch.to_string())
    };
    let (code, text) = run_command(&["set", "fleet", "tries", with_limit(2).path(), "--wait", "30"]);
    assert_eq!(code, 0, "{text}");
    // After the publisher and the relay are killed, the others take the change and list the missing ones.
    let (_, changes) = run_command(&["changes", "--json"]);
    let changes: Json = serde_json::from_str(&changes).unwrap();
    assert_eq!(changes["members"], 5, "{changes:#}");
    running.remove(changes["publisher"].as_str().unwrap()).unwrap();
    running.remove("r1").unwrap();
    let (code, text) = run_command(&["set", "fleet", "tries", with_limit(3).path(), "--wait", "30"]);
    assert_eq!(code, 3, "{text}");
    // Without any control machine, a proxy starts with the resources of its snapshot.
    running.clear();
    let log = start("l1").startup_log.clone();
    assert!(log.contains("carrier: starts with version") && log.contains("1 of 1 resources"), "{log}");
}
