//! Traffic, fault timelines, validation, discovery and network delays.

use expect_test::expect;
use pumicebay_model::faults::{Fault, FaultKind, timeline};
use pumicebay_model::network::Network;
use pumicebay_model::registry::{NodeEntry, NodeState, Registry};
use pumicebay_model::seeds::rng;
use pumicebay_model::spec::{ClientSpec, NetworkSpec, Scenario};
use pumicebay_model::traffic::{Operation, Traffic};

/// A fault from second 5 to second 9.
fn fault(kind: FaultKind, nodes: &[&str]) -> Fault {
    Fault {
        kind,
        start_seconds: 5.0,
        duration_seconds: 4.0,
        nodes: nodes.iter().map(ToString::to_string).collect(),
        proxies: Vec::new(),
        factor: 3.0,
        share: 0.5,
        interval_seconds: 2.0,
    }
}

/// A scenario of 20 seconds with these faults.
fn scenario(faults: Vec<Fault>) -> Scenario {
    Scenario { seconds: 20.0, fault: faults, ..Scenario::default() }
}

/// All operations of a scenario, always with the same seed.
fn operations(scenario: &Scenario) -> Vec<Operation> {
    Traffic::new(scenario, 9).collect()
}

#[test]
fn adding_a_fault_does_not_change_the_usual_traffic() {
    let usual = operations(&scenario(Vec::new()));
    assert_eq!(operations(&scenario(vec![fault(FaultKind::Crash, &["n1"])])), usual);
    // A burst, like a scan, adds operations, and a hot key changes nothing but keys.
    let burst = operations(&scenario(vec![fault(FaultKind::Burst, &[])]));
    let mut retained = burst.clone();
    retained.retain(|operation| usual.contains(operation));
    assert_eq!(retained, usual);
    let hot = operations(&scenario(vec![fault(FaultKind::HotKey, &[])]));
    assert!(hot.iter().zip(&usual).all(|(one, other)| (one.start, one.route) == (other.start, other.route)));
    let changed = hot.iter().zip(&usual).filter(|(one, other)| one.key != other.key).count();
    let within =
        usual.iter().filter(|operation| (5_000_000_000..9_000_000_000).contains(&operation.start)).count();
    assert!((0.4..0.6).contains(&(changed as f64 / within as f64)));
}

#[test]
fn request_rate_and_key_popularity_follow_the_settings() {
    let usual = operations(&scenario(Vec::new()));
    let rate = usual.len() as f64 / 20.0;
    assert!((380.0..420.0).contains(&rate), "{rate} requests a second");
    let burst = operations(&scenario(vec![fault(FaultKind::Burst, &[])]));
    assert!((burst.len() as f64 - usual.len() as f64 - 3200.0).abs() < 300.0);
    let swing = ClientSpec { swing: 1.0, swing_seconds: 20.0, ..ClientSpec::default() };
    let swing = operations(&Scenario { clients: swing, ..scenario(Vec::new()) });
    let first = swing.iter().filter(|operation| operation.start < 10_000_000_000).count();
    assert!(first * 4 > swing.len() * 3, "{first} of {} operations in the first half", swing.len());
    let mut keys: Vec<u64> = usual.iter().map(|operation| operation.key).collect();
    keys.sort_unstable();
    let most = keys.chunk_by(|one, other| one == other).map(<[u64]>::len).max().unwrap_or(0);
    assert!(most > usual.len() / 40, "the most popular key is requested {most} times");
}

#[test]
fn timelines_are_ordered_by_time() {
    let faults = vec![
        fault(FaultKind::Replace, &["n1..n2"]),
        fault(FaultKind::Crash, &["n3"]),
        fault(FaultKind::KillProxy, &[]),
        fault(FaultKind::Flap, &["n4"]),
    ];
    let changes = timeline(&scenario(faults));
    let lines: String =
        changes.iter().map(|(at, change)| format!("{} {change:?}\n", at / 1_000_000)).collect();
    expect![[r#"
        5000 Drain(0)
        5000 Stop(2)
        5000 Kill(0)
        5000 Kill(1)
        5000 Stop(3)
        6000 Start(3)
        7000 Leave(0)
        7000 Drain(1)
        7000 Stop(3)
        8000 Start(0)
        8000 Start(3)
        9000 Leave(1)
        9000 Start(2)
        10000 Start(1)
    "#]]
    .assert_eq(&lines);
}

#[test]
fn invalid_settings_are_reported_with_their_keys() {
    let mut invalid = scenario(vec![fault(FaultKind::Crash, &["n9"]), fault(FaultKind::Slow, &[])]);
    invalid.clients.rate = 0.0;
    let errors: Vec<String> =
        invalid.validate().into_iter().map(|error| format!("{}: {}", error.key, error.message)).collect();
    assert_eq!(
        errors,
        [
            "clients.rate: expected more than 0",
            "fault.0.nodes: no \"n9\" in this scenario, expected n1 to n8",
            "fault.1.nodes: expected at least one node for this kind of fault",
        ]
    );
}

#[test]
fn the_first_proxy_may_get_a_multiple_of_the_traffic() {
    let mut unequal = scenario(Vec::new());
    unequal.proxies.count = 6;
    let first = |scenario: &Scenario| {
        operations(scenario).iter().filter(|operation| operation.proxy == 0).count() as f64
    };
    let (equal, all) = (first(&unequal), operations(&unequal).len() as f64);
    unequal.proxies.first_proxy_load = 10.0;
    // The first proxy gets 1 of 6 parts at first and 10 of 15 then; the others share the rest equally.
    assert!((0.15..0.18).contains(&(equal / all)), "{equal} of {all}");
    assert!((0.64..0.69).contains(&(first(&unequal) / all)), "of {all}");
    let last = operations(&unequal).iter().filter(|operation| operation.proxy == 5).count() as f64;
    assert!((0.055..0.08).contains(&(last / all)), "{last} of {all}");
    (unequal.proxies.first_proxy_load, unequal.proxies.configured_count) = (0.0, 10_001);
    let keys: Vec<String> = unequal.validate().into_iter().map(|error| error.key).collect();
    assert_eq!(keys, ["proxies.said", "proxies.busiest"]);
}

#[test]
fn the_registry_lists_changes_since_a_version_and_keeps_frozen_entries() {
    let mut registry = Registry::default();
    let entry = |node, state| NodeEntry { node, state, started_at: 0 };
    assert!(registry.update(entry(0, NodeState::Ready)) && registry.update(entry(1, NodeState::Ready)));
    let version = registry.version();
    assert!(!registry.update(entry(1, NodeState::Ready)));
    assert!(registry.update(entry(1, NodeState::Left)));
    assert_eq!(registry.changes_since(version), [entry(1, NodeState::Left)]);
    assert_eq!(registry.snapshot(), [entry(0, NodeState::Ready)]);
    registry.set_frozen(0, true);
    assert!(!registry.update(entry(0, NodeState::Left)));
}

#[test]
fn network_delays_grow_between_zones_and_partitions_cut_links() {
    let spec = NetworkSpec { delay_ms: 1.0, zone_delay_ms: 5.0, jitter_ms: 0.1 };
    let (mut network, mut rng) = (Network::new(&spec), rng(1, "test", 0));
    let near = network.delay(&mut rng, 0, 0);
    let far = network.delay(&mut rng, 0, 1);
    assert!(near >= network.min_delay() && near < 3_000_000 && far >= 6_000_000);
    network.set_partitioned(0, 3, true);
    assert!(!network.can_reach(0, 3) && network.can_reach(1, 3));
    network.set_partitioned(0, 3, false);
    assert!(network.can_reach(0, 3));
}
