//! Parsing of the configuration: defaults, and error messages that name the key.

use crate::configuration;
use expect_test::expect;
use pumicebay::config;
use pumicebay::routes::{RouteRegistry, Routes};
use serde_json::json;
use std::time::Duration;
use tokio::time::sleep;

#[test]
fn each_error_names_the_invalid_key() {
    let mut trace = String::new();
    for (pointer, value) in [
        ("/listen", json!(null)),
        ("/listen", json!("localhost")),
        ("/discovery", json!(8500)),
        ("/seed", json!("xyz")),
        ("/limits/sockets", json!("many")),
        ("/limits/sockets", json!(63)),
        ("/limits/memory_mb", json!(1)),
        ("/known", json!([])),
        ("/known/targets", json!({})),
        ("/settings", json!(null)),
        ("/settings", json!(5)),
        ("/settings/routes", json!([])),
        ("/settings/routes", json!([{"name": "x", "latency-objective-us": 0}])),
        ("/settings/routes", json!([{"latency-objective-us": 1, "overall-timeout-us": 1}])),
        ("/settings/routes", json!([{"name": "x", "latency-objective-us": 1, "overall-timeout-us": 1}])),
        ("/settings/fleet-size", json!(0)),
        ("/settings/fleet-size", json!(-3)),
        ("/settings/domain/origin-kind", json!(9)),
        ("/settings/permissions/may-probe", json!("yes")),
        ("/settings/permissions/conn-idle-us", json!(1.5)),
        ("/settings/rules/start-capacity", json!(12)),
        ("/settings/rules/cold-us", json!("24 s")),
        ("/settings/domain/origin-fall-multiple", json!("three")),
        ("/settings/telemetry/via", json!("loud")),
        ("/settings/telemetry/columns", json!([1])),
        ("/settings/skus", json!("node")),
        ("/settings/discovery", json!("pull")),
        ("/settings/orgs", json!([{"name": "acme", "quota-per-s": 0}])),
        ("/settings/rules/turn-gap-us", json!("300 ms")),
        ("/settings/routes/0/keep-order", json!(1)),
        ("/settings/objective-mix", json!({"nines-wanted": "two"})),
    ] {
        let error = config::parse(&configuration(&[(pointer, value)])).expect_err(pointer);
        trace += &format!("{error:#}\n");
    }
    expect![[r#"
        listen: missing
        listen: expected ADDRESS:PORT, found "localhost": invalid socket address syntax
        discovery: expected a string, found 8500
        seed: expected 64 bits in hex, found "xyz": invalid digit found in string
        limits.sockets: expected a whole number, found "many"
        limits.sockets: expected 64 or more, found 63
        limits.memory_mb: expected 8 or more, found 1
        known: expected an object, found []
        known.targets: expected a list, found {}
        settings: expected an object, found null
        settings: expected an object, found 5
        settings.routes: expected one or more
        settings.routes[0].latency-objective-us: expected microseconds, found 0
        settings.routes[0].name: expected a string
        settings.routes[0].effect: expected repeatable, by_key or once, found ""
        settings.fleet-size: expected 1 or more, found 0
        settings.fleet-size: expected a whole number, found -3
        settings.domain.origin-kind: no kind 9 in settings.skus
        settings.permissions.may-probe: expected true or false, found "yes"
        settings.permissions.conn-idle-us: expected a whole number, found 1.5
        settings.rules.start-capacity: expected a fraction between 0 and 1, found 12
        settings.rules.cold-us: expected a whole number, found "24 s"
        settings.domain.origin-fall-multiple: expected 0 or more, found "three"
        settings.telemetry.via: expected silent or pull or piggyback, found "loud"
        settings.telemetry.columns: expected a list of strings, found [1]
        settings.skus: expected a list of strings, found "node"
        settings.discovery: expected push or ask, found "pull"
        settings.orgs[0].quota-per-s: expected more than 0, found 0
        settings.rules.turn-gap-us: expected microseconds, found "300 ms"
        settings.routes[0].keep-order: expected true or false, found 1
        settings.objective-mix.nines-wanted: expected 0 or more, found "two"
    "#]]
    .assert_eq(&trace);
}

#[test]
fn missing_keys_get_defaults() {
    let mut json = configuration(&[]);
    for key in ["name", "seed", "limits", "known"] {
        json.as_object_mut().unwrap().remove(key);
    }
    json["settings"]["permissions"] = json!({});
    json["settings"]["domain"] = json!({"origin-kind": -1});
    let config = config::parse(&json).unwrap();
    let trace = format!(
        "{}\nseed {}, origin kind {:?}, idle timeout {:?}, connect timeout {:?}, longest route timeout {:?}, {} pipelined commands\n",
        config.summary(),
        config.seed,
        config.origin_kind,
        config.node_idle_timeout,
        config.connect_timeout,
        RouteRegistry::default().apply(&json["settings"]).1.longest_timeout(),
        config.max_pipelined_commands
    );
    expect![[r#"
        pumicebay listens on 127.0.0.1:0, discovery at 127.0.0.1:9, 0 nodes known
        at most 595 client connections and 397 to nodes
        routes: read (retriable), put (non-retriable), quick (retriable)
        seed 0, origin kind None, idle timeout 15s, connect timeout 200ms, longest route timeout 4s, 384 pipelined commands
    "#]]
    .assert_eq(&trace);
}

/// Guards against limits of a route that are forgotten early: of several configurations in quick succession the one that allows
/// least binds the time of its requests and whether their ids may come again, also for a route that was dropped in between.
#[tokio::test(start_paused = true)]
async fn a_route_keeps_the_strictest_limits_of_recent_configurations() {
    let mut registry = RouteRegistry::default();
    let mut apply = |timeout_ms: u64, effect: &str, listed: bool| {
        let read = json!({"name": "read", "effect": effect, "overall-timeout-us": timeout_ms * 1000});
        let other = json!({"name": "other", "effect": "once", "overall-timeout-us": 500_000});
        let routes = if listed { json!([other, read]) } else { json!([other]) };
        registry.apply(&json!({"routes": routes})).1
    };
    let limits = |routes: &Routes| {
        let read = routes.find("read").unwrap();
        (read.overall_timeout / 1_000_000, read.may_run_twice)
    };
    assert_eq!(limits(&apply(1000, "once", true)), (1000, false));
    sleep(Duration::from_secs(5)).await;
    for (timeout_ms, listed) in [(3000, true), (2500, false), (2000, true), (4000, true)] {
        assert_eq!(limits(&apply(timeout_ms, "repeatable", listed)), (1000, false), "{timeout_ms}");
        sleep(Duration::from_millis(499)).await;
    }
    let routes = apply(4000, "repeatable", true);
    assert_eq!((limits(&routes), routes.longest_timeout()), ((1000, false), Duration::from_secs(4)));
    sleep(Duration::from_millis(4)).await;
    assert_eq!(limits(&routes), (2000, true));
    sleep(Duration::from_secs(2)).await;
    assert_eq!(limits(&routes), (4000, true));
}
