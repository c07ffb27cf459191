//! Changes of configuration to a fleet of proxies on loopback: three voters, two control machines, relays and
//! leaves. Each is a whole proxy with stand-ins of its own.

use crate::cli::{File, Running, program};
use crate::operations::{Folder, call};
use crate::{World, configuration};
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

/// All processes of it, each with its folder.
struct Fleet {
    worlds: BTreeMap<&'static str, World>,
    section: Json,
    folder: Folder,
    file: File,
}

/// An address below those that the kernel gives out: nobody else takes it between now and its use.
pub fn free() -> String {
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
    /// Founded, with these processes beside the control machines.
    async fn start(test: &str, relays: &[&'static str], leaves: &[&'static str]) -> Fleet {
        let at =
            |names: &[&str]| names.iter().map(|name| (name.to_string(), json!(free()))).collect::<Json>();
        let section = json!({
            "name": test, "zone": "hall", "voters": at(&VOTERS),
            "carrier": {"control": at(&CONTROL), "relays": at(relays), "region": "north", "site": "s1"},
        });
        let folder = Folder::new(&format!("carrier-{test}"));
        let file = File::new(&format!("carrier-{test}"), &json!({"fleet": section}).to_string());
        let mut fleet = Fleet { worlds: BTreeMap::new(), section, folder, file };
        for name in VOTERS.iter().chain(&CONTROL).chain(relays).chain(leaves) {
            fleet.begin(name, &[]).await;
        }
        for _ in 0..200 {
            let (code, _) = fleet.say(&["found"]).await;
            if code == 0 {
                break;
            }
            sleep(Duration::from_millis(50)).await;
        }
        fleet
    }

    async fn begin(&mut self, name: &'static str, set: &[(&str, Json)]) {
        let mut section = self.section.clone();
        let folder = self.folder.0.join(name);
        section["folder"] = json!(folder.join("voter"));
        section["carrier"]["folder"] = json!(folder.join("carrier"));
        let own = [("/name", json!(name)), ("/fleet", section), ("/operator", json!("127.0.0.1:0"))];
        let set: Vec<(&str, Json)> = own.into_iter().chain(set.iter().cloned()).collect();
        let world = World::start(&set).await;
        self.worlds.insert(name, world);
    }

    /// As a process that is killed: its links, its listeners and all it was about to do are gone.
    async fn kill(&mut self, name: &str) -> World {
        let mut world = self.worlds.remove(name).unwrap();
        world.running.abort();
        let _ = (&mut world.running).await;
        world
    }

    /// `pumicebay fleet` with these words: its exit code, and all it says.
    async fn say(&self, words: &[&str]) -> (i32, String) {
        let path = self.file.path().to_string();
        let mut words: Vec<String> = words.iter().map(|word| word.to_string()).collect();
        words.insert(0, "fleet".into());
        words.extend(["--config".into(), path]);
        let done = tokio::task::spawn_blocking(move || {
            let words: Vec<&str> = words.iter().map(String::as_str).collect();
            program(&words).output().unwrap()
        });
        let done = done.await.unwrap();
        let text =
            format!("{}{}", String::from_utf8_lossy(&done.stdout), String::from_utf8_lossy(&done.stderr));
        (done.status.code().unwrap_or(-1), text)
    }

    /// Has it everywhere within so many seconds, or says where it is not.
    async fn set(&self, scope: &str, name: &str, patch: &Json, wait: &str) -> (i32, String) {
        let patch = File::new(&format!("{}-{name}", self.section["name"]), &patch.to_string());
        let (code, text) = self.say(&["set", scope, name, patch.path(), "--wait", wait]).await;
        // Versions begin with the time of the founding.
        let digits = |text: &str| !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
        let hidden = |word: &str| {
            let bare = word.trim_end_matches([' ', ',', ':', '\n']);
            let version = bare.split_once('.').is_some_and(|(one, two)| digits(one) && digits(two));
            if version { word.replace(bare, "VERSION") } else { word.into() }
        };
        (code, text.split_inclusive([' ', '\n']).map(hidden).collect())
    }

    /// Has it everywhere.
    async fn put(&self, scope: &str, name: &str, patch: &Json) {
        assert_eq!(self.set(scope, name, patch, "20").await, (0, "VERSION\n".into()));
    }

    async fn changes(&self) -> Json {
        let (_, text) = self.say(&["changes", "--json"]).await;
        serde_json::from_str(&text).unwrap_or_else(|_| json!(text))
    }

    /// What a client of each gets under this class.
    async fn ask(&self, class: &str) -> String {
        let mut trace = String::new();
        for (name, world) in &self.worlds {
            let labels = format!("c={class},t=acme,d=3000,size=9,k=x");
            let reply = world.client().await.ask(&["C.GET", "hit", name, &labels]).await;
            trace += &format!("{name} {reply}");
        }
        trace
    }
}

/// A patch that gives the proxies one more route.
fn with_route(fleet: &Fleet, name: &str) -> Json {
    let json = &fleet.worlds.values().next().unwrap().json;
    let mut routes = json["settings"]["routes"].clone();
    let mut route = routes[0].clone();
    route["name"] = json!(name);
    routes.as_array_mut().unwrap().push(route);
    json!({"settings": {"routes": routes}})
}

#[tokio::test]
async fn a_change_reaches_all_and_holds_there() {
    let fleet = Fleet::start("reach", &["r1"], &["l1", "l2"]).await;
    let patch = with_route(&fleet, "fresh");
    fleet.put("fleet", "routes", &patch).await;
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
    .assert_eq(&fleet.ask("fresh").await);
    let changes = fleet.changes().await;
    assert_eq!((&changes["everywhere"], &changes["members"]), (&json!(true), &json!(8)), "{changes:#}");
    // One proxy alone, and another site alone.
    let own = with_route(&fleet, "own");
    fleet.put("proxy/s1/l2", "routes", &own).await;
    let holds = |text: String| text.lines().filter(|line| line.contains("value of")).count();
    assert_eq!(holds(fleet.ask("own").await), 1);
    fleet.put("site/other", "routes", &own).await;
    assert_eq!(holds(fleet.ask("own").await), 1);
    let (code, said) = fleet.say(&["unset", "proxy/s1/l2", "routes", "--wait", "10"]).await;
    assert_eq!(code, 0, "{said}");
    assert_eq!(holds(fleet.ask("fresh").await), 8);
    // What can't be read ends its link, and nothing else.
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
        assert!(ended.is_ok(), "the link goes on after {bytes:?}");
    }
    fleet.put("fleet", "routes", &with_route(&fleet, "after")).await;
}

/// What the publisher's own file can't take is refused at once, with the key; what one proxy alone can't take is named, and
/// the rest have it.
#[tokio::test]
async fn what_is_refused_is_named_with_its_key() {
    let mut fleet = Fleet::start("refuse", &[], &["l1"]).await;
    // Its file lacks what those of all others have.
    fleet.begin("l2", &[("/settings/rules", json!({"fall-us": 1_000_000, "start-capacity": 0.12}))]).await;
    let mut trace = String::new();
    for patch in [
        json!({"settings": {"routes": []}}),
        json!({"settings": {"permissions": {"most-upstream-tries": "many"}}}),
        json!({"listen": "127.0.0.1:1"}),
    ] {
        let (code, said) = fleet.set("fleet", "wrong", &patch, "5").await;
        trace += &format!("{code} {said}");
    }
    let (code, said) = fleet.say(&["unset", "planet", "wrong"]).await;
    trace += &format!("{code} {said}");
    let mut patch = with_route(&fleet, "fresh");
    patch["settings"]["rules"] = json!({"cold-us": 24_000_000});
    let (code, said) = fleet.set("fleet", "rules", &patch, "20").await;
    let publisher = fleet.changes().await["publisher"].as_str().unwrap_or("?").to_string();
    trace += &format!("{code} {}", said.replace(&publisher, "PUBLISHER"));
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
    .assert_eq(&fleet.ask("fresh").await);
    // Its file is mended and read again: the exception is gone.
    let l2 = &fleet.worlds["l2"];
    let mut mended = l2.json.clone();
    mended["settings"]["rules"]["cold-us"] = json!(24_000_000);
    l2.configs.send(parse(&mended)).await.unwrap();
    let mut changes = json!(null);
    for _ in 0..100 {
        changes = fleet.changes().await;
        if changes["everywhere"] == true {
            break;
        }
        sleep(Duration::from_millis(100)).await;
    }
    assert_eq!(changes["everywhere"], true, "{changes:#}");
    assert!(fleet.ask("fresh").await.contains("l2 hit: value of l2"));
}

#[tokio::test]
async fn children_of_a_relay_that_is_gone_go_to_others() {
    let mut fleet = Fleet::start("relay", &["r1", "r2"], &["l1", "l2", "l3", "l4"]).await;
    fleet.put("fleet", "routes", &with_route(&fleet, "one")).await;
    drop(fleet.kill("r1").await);
    // Not everywhere: it is not known what is in force at the relay that is gone.
    let (code, said) = fleet.set("fleet", "routes", &with_route(&fleet, "two"), "12").await;
    assert_eq!(code, 3, "{said}");
    assert_eq!(fleet.ask("two").await.matches("value of").count(), 10, "{}", fleet.ask("two").await);
    let changes = fleet.changes().await;
    let named = |exception: &Json| format!("{} {}", exception["name"], exception["why"]);
    let exceptions: Vec<String> = changes["exceptions"].as_array().unwrap().iter().map(named).collect();
    assert_eq!(exceptions, [r#""r1" "lost""#], "{changes:#}");
    // It comes back, and all is well.
    fleet.begin("r1", &[]).await;
    fleet.put("fleet", "routes", &with_route(&fleet, "three")).await;
}

/// Proxies serve on, and start from what they kept; one whose kept file is spoilt starts from its own file alone.
#[tokio::test]
async fn serving_goes_on_without_any_control_machine() {
    let mut fleet = Fleet::start("gone", &["r1"], &["l1", "l2"]).await;
    fleet.put("fleet", "routes", &with_route(&fleet, "fresh")).await;
    // The relay too: it would give those that start what it has.
    for name in CONTROL.into_iter().chain(["r1", "l1", "l2"]) {
        drop(fleet.kill(name).await);
    }
    let spoilt = fleet.folder.0.join("l2/carrier/carrier");
    let mut bytes = std::fs::read(&spoilt).unwrap();
    bytes[30] ^= 1;
    std::fs::write(&spoilt, bytes).unwrap();
    for name in ["l1", "l2"] {
        fleet.begin(name, &[]).await;
    }
    expect![[r#"
        l1 hit: value of l1
        l2 hit: -ERR label 'c': unknown or missing class
        v1 hit: value of v1
        v2 hit: value of v2
        v3 hit: value of v3
    "#]]
    .assert_eq(&fleet.ask("fresh").await);
    assert_eq!(fleet.ask("read").await.matches("value of").count(), 5);
    let status = call(fleet.worlds["l1"].operator.unwrap(), "GET", "/status", "").await;
    assert!(
        status.starts_with("200 serving, carrier: version ") && status.contains("nothing heard"),
        "{status}"
    );
    let (code, said) = fleet.set("fleet", "routes", &with_route(&fleet, "late"), "1").await;
    assert!(code == 1 && said.contains("nothing was written"), "{code} {said}");
    // They come back with their folders, and with them all the rest.
    for name in CONTROL.into_iter().chain(["r1"]) {
        fleet.begin(name, &[]).await;
    }
    fleet.put("fleet", "routes", &with_route(&fleet, "late")).await;
    assert_eq!(fleet.ask("late").await.matches("value of").count(), 8);
}

fn resource(scope: Scope, name: &str, number: u64, patch: &str) -> Resource {
    Resource { scope, name: name.into(), version: Version { epoch: 7, number }, patch: Some(patch.into()) }
}

/// Cut at every byte and flipped at every bit, a kept file is either whole or known to be spoilt.
#[test]
fn a_kept_file_is_whole_or_known_not_to_be() {
    let resources = vec![resource(Scope::Fleet, "a", 3, "{}")];
    let kept = Snapshot { version: Version { epoch: 7, number: 3 }, resources, ..Snapshot::default() };
    let whole = disk::encode(&kept).unwrap();
    assert_eq!(disk::decode(&whole).unwrap(), kept);
    for at in 0..whole.len() {
        assert!(disk::decode(&whole[..at]).is_err(), "cut at {at}");
        for bit in 0..8 {
            let mut flipped = whole.clone();
            flipped[at] ^= 1 << bit;
            assert!(disk::decode(&flipped).is_err(), "flipped at {at}");
        }
    }
    let mut later = whole;
    later[8] = 2;
    expect!["format version 2 is not supported, expected 1"]
        .assert_eq(&disk::decode(&later).unwrap_err().to_string());
}

/// The examples of RFC 7396.
#[test]
fn patches_are_merged_as_the_rfc_says() {
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

/// Narrower scopes go over wider ones, and of those that fail the last good ones stay.
#[test]
fn what_fails_is_left_out_and_its_last_good_one_stays() {
    let file = parse(&configuration(&[])).unwrap();
    let tries =
        |number: Json| json!({"settings": {"permissions": {"most-upstream-tries": number}}}).to_string();
    let site = Scope::Site("s1".into());
    let mut all = vec![
        resource(site.clone(), "tries", 1, &tries(json!(3))),
        resource(Scope::Fleet, "tries", 2, &tries(json!(2))),
    ];
    apply::in_order(&mut all);
    let first = apply::lay(&file, &all, &[]);
    let said =
        |laid: &apply::Laid| laid.config.json["settings"]["permissions"]["most-upstream-tries"].clone();
    assert_eq!((said(&first), first.refused.len(), first.good.len()), (json!(3), 0, 2));
    let next = [
        resource(Scope::Fleet, "bad", 4, "[]"),
        all[0].clone(),
        resource(site, "tries", 3, &tries(json!("many"))),
    ];
    let second = apply::lay(&file, &next, &first.good);
    assert_eq!((said(&second), second.good.len()), (json!(3), 2), "the site's last good one");
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

/// The program itself: three voters that are control machines, a relay and a leaf, each a process that can be killed.
#[test]
fn processes_carry_changes_and_survive_kills() {
    let names = ["v1", "v2", "v3"];
    let at =
        |names: &[&str]| -> Json { names.iter().map(|name| (name.to_string(), json!(free()))).collect() };
    let folder = Folder::new("carrier-real");
    let mut section = json!({"name": "real", "voters": at(&names),
        "carrier": {"control": at(&names), "relays": at(&["r1"]), "site": "s1"}});
    let mut files = BTreeMap::new();
    for name in ["v1", "v2", "v3", "r1", "l1"] {
        section["folder"] = json!(folder.0.join(name).join("voter"));
        section["carrier"]["folder"] = json!(folder.0.join(name).join("carrier"));
        let json = configuration(&[("/name", json!(name)), ("/fleet", section.clone())]);
        files.insert(name, File::new(&format!("carrier-real-{name}"), &json.to_string()));
    }
    let start = |name: &str| Running::start(program(&["serve", "--config", files[name].path()]));
    let mut running: BTreeMap<&str, Running> = files.keys().map(|name| (*name, start(name))).collect();
    let say = |words: &[&str]| {
        let words: Vec<&str> =
            ["fleet"].iter().chain(words).chain(&["--config", files["l1"].path()]).copied().collect();
        let done = program(&words).output().unwrap();
        let text =
            format!("{}{}", String::from_utf8_lossy(&done.stdout), String::from_utf8_lossy(&done.stderr));
        (done.status.code().unwrap_or(-1), text)
    };
    while say(&["found"]).0 != 0 {
        std::thread::sleep(Duration::from_millis(50));
    }
    let tries = |number: u64| {
        let patch = json!({"settings": {"permissions": {"most-upstream-tries": number}}});
        File::new(&format!("carrier-real-{number}"), &patch.to_string())
    };
    let (code, said) = say(&["set", "fleet", "tries", tries(2).path(), "--wait", "30"]);
    assert_eq!(code, 0, "{said}");
    // The publisher and the relay are killed: the others go on without them, and name them.
    let (_, changes) = say(&["changes", "--json"]);
    let changes: Json = serde_json::from_str(&changes).unwrap();
    assert_eq!(changes["members"], 5, "{changes:#}");
    running.remove(changes["publisher"].as_str().unwrap()).unwrap();
    running.remove("r1").unwrap();
    let (code, said) = say(&["set", "fleet", "tries", tries(3).path(), "--wait", "30"]);
    assert_eq!(code, 3, "{said}");
    // All control machines are gone: a proxy that starts has the last good set.
    running.clear();
    let log = start("l1").begun.clone();
    assert!(log.contains("carrier: starts with version") && log.contains("1 of 1 resources"), "{log}");
}
