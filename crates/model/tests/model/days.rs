//! Traffic, faults, lists and networks.

use expect_test::expect;
use pumicebay_model::faults::{Fault, FaultKind, timeline};
use pumicebay_model::network::Network;
use pumicebay_model::registry::{NodeEntry, NodeState, Registry};
use pumicebay_model::seeds::rng;
use pumicebay_model::spec::{ClientSpec, NetworkSpec, Scenario};
use pumicebay_model::traffic::{Operation, Traffic};

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

fn day(faults: Vec<Fault>) -> Scenario {
    Scenario { seconds: 20.0, fault: faults, ..Scenario::default() }
}

fn wishes(day: &Scenario) -> Vec<Operation> {
    Traffic::new(day, 9).collect()
}

#[test]
fn a_fault_does_not_redraw_the_traffic() {
    let calm = wishes(&day(Vec::new()));
    assert_eq!(wishes(&day(vec![fault(FaultKind::Crash, &["n1"])])), calm);
    // A burst and a scan add to what comes, and a hot key changes nothing but keys.
    let burst = wishes(&day(vec![fault(FaultKind::Burst, &[])]));
    let mut left = burst.clone();
    left.retain(|wish| calm.contains(wish));
    assert_eq!(left, calm);
    let hot = wishes(&day(vec![fault(FaultKind::HotKey, &[])]));
    assert!(hot.iter().zip(&calm).all(|(one, other)| (one.start, one.route) == (other.start, other.route)));
    let changed = hot.iter().zip(&calm).filter(|(one, other)| one.key != other.key).count();
    let within = calm.iter().filter(|wish| (5_000_000_000..9_000_000_000).contains(&wish.start)).count();
    assert!((0.4..0.6).contains(&(changed as f64 / within as f64)));
}

#[test]
fn rates_and_popularity_are_as_told() {
    let calm = wishes(&day(Vec::new()));
    let rate = calm.len() as f64 / 20.0;
    assert!((380.0..420.0).contains(&rate), "{rate} a second");
    let burst = wishes(&day(vec![fault(FaultKind::Burst, &[])]));
    assert!((burst.len() as f64 - calm.len() as f64 - 3200.0).abs() < 300.0);
    let swing = ClientSpec { swing: 1.0, swing_seconds: 20.0, ..ClientSpec::default() };
    let swing = wishes(&Scenario { clients: swing, ..day(Vec::new()) });
    let first = swing.iter().filter(|wish| wish.start < 10_000_000_000).count();
    assert!(first * 4 > swing.len() * 3, "{first} of {} in the first half", swing.len());
    let mut top: Vec<u64> = calm.iter().map(|wish| wish.key).collect();
    top.sort_unstable();
    let most = top.chunk_by(|one, other| one == other).map(<[u64]>::len).max().unwrap_or(0);
    assert!(most > calm.len() / 40, "the most popular key is asked for {most} times");
}

#[test]
fn timelines_are_in_order() {
    let faults = vec![
        fault(FaultKind::Replace, &["n1..n2"]),
        fault(FaultKind::Crash, &["n3"]),
        fault(FaultKind::KillProxy, &[]),
        fault(FaultKind::Flap, &["n4"]),
    ];
    let lines = timeline(&day(faults));
    let lines: String = lines.iter().map(|(at, change)| format!("{} {change:?}\n", at / 1_000_000)).collect();
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
fn what_can_not_be_is_named() {
    let mut wrong = day(vec![fault(FaultKind::Crash, &["n9"]), fault(FaultKind::Slow, &[])]);
    wrong.clients.rate = 0.0;
    let problems: Vec<String> =
        wrong.validate().into_iter().map(|problem| format!("{}: {}", problem.key, problem.message)).collect();
    assert_eq!(
        problems,
        [
            "clients.rate: expected more than 0",
            "fault.0.nodes: no \"n9\" in this scenario, expected n1 to n8",
            "fault.1.nodes: expected at least one node for this kind of fault",
        ]
    );
}

#[test]
fn proxies_may_be_unequal_and_more_than_is_said() {
    let mut uneven = day(Vec::new());
    uneven.proxies.count = 6;
    let first = |day: &Scenario| wishes(day).iter().filter(|wish| wish.proxy == 0).count() as f64;
    let (equal, all) = (first(&uneven), wishes(&uneven).len() as f64);
    uneven.proxies.first_proxy_load = 10.0;
    // One of six, and ten of fifteen; the others share the rest.
    assert!((0.15..0.18).contains(&(equal / all)), "{equal} of {all}");
    assert!((0.64..0.69).contains(&(first(&uneven) / all)), "of {all}");
    let last = wishes(&uneven).iter().filter(|wish| wish.proxy == 5).count() as f64;
    assert!((0.055..0.08).contains(&(last / all)), "{last} of {all}");
    (uneven.proxies.first_proxy_load, uneven.proxies.configured_count) = (0.0, 10_001);
    let keys: Vec<String> = uneven.validate().into_iter().map(|problem| problem.key).collect();
    assert_eq!(keys, ["proxies.said", "proxies.busiest"]);
}

#[test]
fn the_list_tells_changes_since_a_version_and_may_be_stale() {
    let mut list = Registry::default();
    let entry = |node, state| NodeEntry { node, state, started_at: 0 };
    assert!(list.update(entry(0, NodeState::Ready)) && list.update(entry(1, NodeState::Ready)));
    let version = list.version();
    assert!(!list.update(entry(1, NodeState::Ready)));
    assert!(list.update(entry(1, NodeState::Left)));
    assert_eq!(list.changes_since(version), [entry(1, NodeState::Left)]);
    assert_eq!(list.snapshot(), [entry(0, NodeState::Ready)]);
    list.set_frozen(0, true);
    assert!(!list.update(entry(0, NodeState::Left)));
}

#[test]
fn networks_delay_by_zone_and_part() {
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
