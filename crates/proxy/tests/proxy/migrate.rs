//! The move of a configuration from a pool of proxies in several zones to one beside each client.

use crate::cli::{File, program};
use crate::{TestEnvironment, configuration};
use expect_test::expect;
use pumicebay::config;
use pumicebay::migrate::{MigrationOptions, migrate};
use serde_json::{Value as Json, json};

/// A pool of three with peers in two zones, with notes and a key that nobody knows.
fn pool() -> Json {
    let mut json = configuration(&[
        ("/peers", json!(["127.0.0.1:7001", "127.0.0.1:7002"])),
        ("/# peers", json!("the other two")),
        ("/peer_listen", json!("127.0.0.1:7000")),
        ("/# rack", json!("a note")),
        ("/colour", json!("grey")),
        ("/settings/fleet-size", json!(3)),
        ("/settings/my-zone", json!("a")),
        ("/settings/permissions/peers", json!(true)),
    ]);
    json["settings"]["routes"][1]["dedup-scope"] = json!("zone");
    json["known"]["targets"] = json!([
        crate::target("n1", "127.0.0.1:7101", "node", "active"),
        {"uid": "n2", "endpoint": "127.0.0.1:7102", "az": "b", "model": "node", "state": "active"},
        {"uid": "o", "endpoint": "127.0.0.1:7103", "az": "b", "model": "origin", "state": "active"},
    ]);
    json
}

fn answers() -> MigrationOptions {
    let per_proxy = vec![("name", json!("c7")), ("seed", json!("1f")), ("me", json!(7))];
    MigrationOptions { proxies: Some(480), probes: Some(false), zone: Some("a".into()), per_proxy }
}

#[test]
fn each_thing_that_changes_is_listed_and_nothing_is_lost() {
    let done = migrate(&pool().to_string(), &answers()).unwrap().unwrap();
    assert!(done.missing.is_empty());
    assert_eq!((&done.json["# rack"], &done.json["colour"]), (&json!("a note"), &json!("grey")));
    config::parse(&done.json).unwrap();
    assert_eq!(migrate(&done.json.to_string(), &answers()).unwrap(), None, "the new shape stays as it is");
    expect![[r#"
        not carried over: peers ["127.0.0.1:7001","127.0.0.1:7002"]: proxies beside their clients do not exchange news
        not carried over: # peers "the other two": proxies beside their clients do not exchange news
        not carried over: peer_listen "127.0.0.1:7000": proxies beside their clients do not exchange news
        not carried over: settings.permissions.peers true: proxies beside their clients do not exchange news
        changed: settings.failure-domains ["a","b"] -> ["a"]
        not carried over: known.targets[1] {"az":"b","endpoint":"127.0.0.1:7102","model":"node","state":"active","uid":"n2"}: "b" is not "a"
        changed: known.targets[2].az of "o" "b" -> "a"
        changed: settings.routes.1.dedup-scope "zone" -> "all"
        changed: settings.fleet-size 3 -> 480
        changed: settings.permissions.may-probe true -> false
        changed: name "n0" -> "c7"
        look at: listen stays "127.0.0.1:0"; each proxy needs its own value (--listen)
        changed: seed "8c1f30d27a5be964" -> "1f"
        changed: settings.me 0 -> 7
        look at: settings.telemetry stays {"columns":[],"via":"silent"}; it must match what the new nodes report
    "#]].assert_eq(&(done.report.join("\n") + "\n"));
}

#[test]
fn what_the_old_file_cannot_know_is_asked_for() {
    let done = migrate(&pool().to_string(), &MigrationOptions::default()).unwrap().unwrap();
    expect![[r#"
        missing: settings.failure-domains, currently a, b: one of them must become the one location, give --zone NAME
        missing: settings.fleet-size, currently 3: cannot be derived from the old file, give --proxies N
        missing: settings.permissions.may-probe, currently true: cannot be derived from the old file, give --probes yes|no
    "#]]
    .assert_eq(&(done.missing.join("\n") + "\n"));
}

#[test]
fn the_command_refuses_before_it_writes() {
    let (old, new) = (File::new("pool", &pool().to_string()), File::new("beside", "kept"));
    let shaped =
        File::new("shaped", &migrate(&pool().to_string(), &answers()).unwrap().unwrap().json.to_string());
    let broken = File::new("broken-pool", &configuration(&[("/peers", json!("x"))]).to_string());
    let full = ["--proxies", "480", "--probes", "no", "--zone", "a"];
    let mut trace = String::new();
    for (what, from, to, more) in [
        ("answers missing", &old, &new, &["--zone", "a"][..]),
        ("no such zone", &old, &new, &["--proxies", "480", "--probes", "no", "--zone", "c"]),
        ("broken", &broken, &new, &full),
        ("there already", &old, &new, &full),
        ("itself", &old, &old, &full),
        ("of the new shape", &shaped, &new, &full),
    ] {
        let run = program(&["migrate", "--config", from.path(), "--output", to.path()])
            .args(more)
            .output()
            .unwrap();
        let (out, err) = (String::from_utf8_lossy(&run.stdout), String::from_utf8_lossy(&run.stderr));
        let last = format!("{}{err}", out.lines().last().map(|line| format!("{line}\n")).unwrap_or_default());
        let last = last.replace(from.path(), "OLD").replace(to.path(), "NEW");
        trace += &format!("{what}: {:?}\n{last}", run.status.code());
        assert_eq!(std::fs::read_to_string(new.path()).unwrap(), "kept");
        assert_eq!(std::fs::read_to_string(old.path()).unwrap(), pool().to_string());
    }
    expect![[r#"
        answers missing: Some(1)
        missing: settings.permissions.may-probe, currently true: cannot be derived from the old file, give --probes yes|no
        pumicebay: 2 options are missing: nothing written
        no such zone: Some(1)
        pumicebay: configuration OLD: settings.failure-domains: no zone "c" among a, b
        broken: Some(1)
        pumicebay: configuration OLD: peers: expected a list, found "x"
        there already: Some(1)
        look at: settings.telemetry stays {"columns":[],"via":"silent"}; it must match what the new nodes report
        pumicebay: NEW: exists; --force replaces it
        itself: Some(1)
        look at: settings.telemetry stays {"columns":[],"via":"silent"}; it must match what the new nodes report
        pumicebay: OLD: is the file of the old configuration
        of the new shape: Some(0)
        OLD already has the new layout: nothing changed, nothing written
    "#]]
    .assert_eq(&trace);
}

#[test]
fn a_dry_run_prints_the_same_list_and_the_file_comes_whole() {
    let (old, new) = (File::new("pool-2", &pool().to_string()), File::new("new-2", ""));
    std::fs::remove_file(new.path()).unwrap();
    let run = |more: &[&str]| {
        let full = ["--proxies", "480", "--probes", "no", "--zone", "a", "--listen", "127.0.0.1:0"];
        let mut command = program(&["migrate", "--config", old.path(), "--output", new.path()]);
        let done = command.args(full).args(more).output().unwrap();
        assert_eq!(done.status.code(), Some(0), "{}", String::from_utf8_lossy(&done.stderr));
        let text = String::from_utf8_lossy(&done.stdout).into_owned();
        let (list, last) = text.trim_end().rsplit_once('\n').unwrap();
        (list.to_string(), last.to_string())
    };
    let (dry, _) = run(&["--dry-run"]);
    assert!(!std::path::Path::new(new.path()).exists());
    let (list, last) = run(&[]);
    assert_eq!(dry, list);
    assert!(last.ends_with("written"));
    let checked = program(&["check", "--config", new.path()]).output().unwrap();
    assert_eq!(checked.status.code(), Some(0));
    std::fs::write(new.path(), "older").unwrap();
    run(&["--force"]);
    assert!(std::fs::read_to_string(new.path()).unwrap().contains("\"fleet-size\": 480"));
}

#[tokio::test]
async fn a_migrated_configuration_serves_a_hit_and_a_miss() {
    let world = TestEnvironment::start_with(&[], |config| {
        let mut json = pool();
        json["known"] = serde_json::from_str(&config.known.take().unwrap()).unwrap();
        json["discovery"] = json!(config.discovery.to_string());
        let done = migrate(&json.to_string(), &answers()).unwrap().unwrap();
        *config = config::parse(&done.json).unwrap();
    })
    .await;
    let mut client = world.client().await;
    let replies = client.get("hit-1").await + &client.get("miss-1").await;
    world.assert_traffic(
        &replies,
        expect![[r#"
        hit-1: value of id-hit-1
        miss-1: origin's id-miss-1
        -- cache node
        1: C.GET hit-1 id-hit-1 c=read,t=acme,d=LEFT,size=9,k=x
        1: C.GET miss-1 id-miss-1 c=read,t=acme,d=LEFT,size=9,k=x
        -- origin
        1: GET /miss-1 id-miss-1 c=read,t=acme,d=LEFT,size=9,k=x
    "#]],
    );
}
