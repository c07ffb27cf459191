//! Converts a scenario into the `settings` of a proxy's configuration. A proxy on sockets reads them from a
//! file; in virtual time the decisions receive them through the same parser.

use pumicebay_model::spec::{DedupScope, DiscoveryMode, RetrySafety, Scenario};
use serde_json::{Value as Json, json};

/// The kind of the origin in the node list.
pub const ORIGIN: &str = "origin";
/// The kind of a cache node in the node list.
pub const CACHE: &str = "cache";

/// Milliseconds to microseconds.
fn micros(millis: f64) -> u64 {
    (millis * 1000.0) as u64
}

/// The name of the zone with this index.
pub fn zone(number: usize) -> String {
    format!("z{}", number + 1)
}

/// The object `settings` in the configuration of the proxy with this index.
pub fn settings(scenario: &Scenario, index: usize) -> Json {
    let routes = scenario.route.iter().map(|route| {
        json!({
            "name": route.name,
            "effect": match route.retry_safety {
                RetrySafety::Retriable => "repeatable",
                RetrySafety::Deduped => "by_key",
                RetrySafety::NonRetriable => "once",
            },
            "dedup-scope": match route.dedup_scope { DedupScope::Fleet => "all", DedupScope::Zone => "zone" },
            "window-us": micros(route.dedup_window_seconds * 1000.0),
            "latency-objective-us": micros(route.objective_ms),
            "overall-timeout-us": micros(route.timeout_ms),
            "payoff": route.payoff,
        })
    });
    let routes: Vec<Json> = routes.collect();
    let tenants =
        scenario.tenant.iter().map(|tenant| json!({"name": tenant.name, "quota-per-s": tenant.quota}));
    let tenants: Vec<Json> = tenants.collect();
    json!({
        "discovery": match scenario.discovery.mode { DiscoveryMode::Push => "push", DiscoveryMode::Poll => "ask" },
        "domain": {"mode": "aside", "origin-kind": 1},
        "fleet-size": if scenario.proxies.configured_count > 0 {
            scenario.proxies.configured_count
        } else {
            scenario.proxies.count
        },
        "me": index,
        "skus": [CACHE, ORIGIN],
        "failure-domains": (0..scenario.nodes.zones).map(zone).collect::<Vec<_>>(),
        "orgs": tenants,
        "permissions": {
            "may-probe": scenario.proxies.probes,
            "retry-after": scenario.proxies.retry_after,
            "most-upstream-tries": scenario.proxies.max_attempts,
            "conn-idle-us": micros(scenario.nodes.idle_timeout_seconds * 1000.0),
            "connect-timeout-us": micros(CONNECT_MS),
        },
        "routes": Json::Array(routes),
        "rules": {
            "cold-us": micros(scenario.nodes.warm_up_seconds * 1000.0),
            "fall-us": micros(scenario.nodes.overload_window_seconds * 1000.0),
            "fall-multiple": scenario.nodes.overload_multiple,
            "start-capacity": scenario.nodes.start_capacity,
            "drain-grace-us": micros(scenario.nodes.drain_grace_ms),
        },
        "telemetry": {"columns": [], "via": "silent"},
    })
}

/// The connect timeout of a proxy for its nodes, in milliseconds.
pub const CONNECT_MS: f64 = 200.0;
