//! Runs in virtual time: the same results on any number of threads, each operation ends once, and careless
//! policies are caught.

use crate::{parse_scenario, shared_cores};
use pumicebay_lab::results::Results;
use pumicebay_lab::stats::Mean;
use pumicebay_lab::sweep::grid;
use pumicebay_lab::{compare, hunt, scenario, virt};
use pumicebay_model::spec::Scenario;
use pumicebay_model::traffic::Traffic;
use std::path::Path;

fn play(scenario: &Scenario, policy: &str) -> Results {
    virt::play(scenario, policy, scenario.seed, &|_| {}).expect("a completed run")
}

#[test]
fn any_number_of_threads_gives_the_same_bytes() {
    let _guard = shared_cores();
    let scenario = parse_scenario(
        r#"
        seconds = 3
        warm_up_seconds = 1
        [proxies]
        count = 40
        [nodes]
        count = 120
        zones = 2
        [network]
        delay_ms = 20
        [[fault]]
        kind = "crash"
        at = 1
        lasts = 1
        nodes = ["n1..n30"]
        [[fault]]
        kind = "kill_proxy"
        at = 1.5
        proxies = ["p1..p5"]
    "#,
    );
    let results_of = |threads| {
        let pool = rayon::ThreadPoolBuilder::new().num_threads(threads).build().expect("threads");
        serde_json::to_string(&pool.install(|| play(&scenario, "pumicebay"))).expect("results are JSON")
    };
    let single_threaded = results_of(1);
    assert!(single_threaded.len() > 1000);
    assert_eq!(single_threaded, results_of(8));
}

/// A small scenario with faults of every kind, in which each operation must still end exactly once.
const ALL_FAULTS: &str = r#"
    seconds = 12
    warm_up_seconds = 0
    [proxies]
    count = 3
    [nodes]
    memory_mb = 8
    warm_up_seconds = 4
    down_seconds = 2
    [origin]
    slots = 4
    waiting = 8
    overrun_seconds = 0.5
    stop_seconds = 1
    [clients]
    rate = 300
    [[fault]]
    kind = "crash"
    at = 3
    lasts = 2
    nodes = ["n1", "n2"]
    [[fault]]
    kind = "kill_proxy"
    at = 4
    proxies = ["p1"]
    [[fault]]
    kind = "silent"
    at = 6
    lasts = 2
    nodes = ["n3"]
    [[fault]]
    kind = "partition"
    at = 6
    lasts = 2
    nodes = ["n4"]
    [[fault]]
    kind = "origin_stop"
    at = 8
    lasts = 1
"#;

#[test]
fn every_wish_ends_once() {
    let _guard = shared_cores();
    let scenario = parse_scenario(ALL_FAULTS);
    for policy in ["pumicebay", "two", "bounded"] {
        let results = play(&scenario, policy);
        assert_eq!(results.operations, Traffic::new(&scenario, scenario.seed).count() as u64, "{policy}");
        let Results { served, shed, errored, lost, .. } = results;
        assert!((served + shed + errored + lost - 1.0).abs() < 1e-9, "{policy}: {results:?}");
        assert_eq!(results.violations_by_rule[..4], [0; 4], "{policy}: {:?}", results.violations);
    }
    let results = play(&scenario, "pumicebay");
    assert!(results.rules_kept(), "{:?}", results.violations);
}

#[test]
fn the_careless_one_is_caught() {
    let _guard = shared_cores();
    let corrupting = parse_scenario(
        r#"
        seconds = 6
        warm_up_seconds = 1
        [clients]
        retry = "never"
        [[route]]
        name = "take"
        effect = "non_retriable"
        [[fault]]
        kind = "spoilt"
        at = 2
        lasts = 3
        share = 1.0
        nodes = ["n1..n4"]
    "#,
    );
    let careless = play(&corrupting, "careless");
    assert!(careless.violations_by_rule[2] > 10, "{:?}", careless.violations_by_rule);
    let broken = &careless.violations[0];
    assert!(broken.rule == 2 && broken.request > 0 && broken.node.is_some() && broken.at >= 2.0);
    let draining = parse_scenario(
        r#"
        seconds = 8
        warm_up_seconds = 1
        [nodes]
        drain_grace_ms = 500
        [[fault]]
        kind = "drain"
        at = 2
        lasts = 5
        nodes = ["n1..n4"]
    "#,
    );
    assert!(play(&draining, "careless").violations_by_rule[3] > 10);
    for scenario in [corrupting, draining] {
        for policy in ["pumicebay", "random"] {
            let results = play(&scenario, policy);
            assert!(results.rules_kept(), "{policy}: {:?}", results.violations);
        }
    }
}

#[test]
fn a_policy_without_budgets_buries_cold_nodes() {
    let _guard = shared_cores();
    let scenario = parse_scenario(
        r#"
        seconds = 10
        [nodes]
        count = 4
        cores = 1
        start_capacity = 0.05
        fall_multiple = 2.0
        [clients]
        rate = 600
        [[fault]]
        kind = "crash"
        at = 4
        lasts = 2
        nodes = ["n1"]
    "#,
    );
    assert!(play(&scenario, "random").violations_by_rule[4] > 0);
    let results = play(&scenario, "pumicebay");
    assert!(results.rules_kept(), "{:?}", results.violations);
}

/// Each proxy sends a cold node its part of what the node can take, and the sum must fit although one proxy
/// has ten times the traffic of another and there are twice as many proxies as configured.
#[test]
fn cold_nodes_bear_what_unequal_proxies_send_together() {
    let _guard = shared_cores();
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios/cold-sum.toml");
    let scenario = scenario::read(&path, &[]).expect("a valid scenario");
    let results_of =
        |policy| virt::run(&scenario, policy, scenario.seed, &|_| {}).expect("a completed run").0;
    let auditor = results_of("pumicebay");
    assert_eq!(
        (auditor.violations_by_rule, auditor.uncharged_overloads),
        ([0; 5], 0),
        "{:?}",
        auditor.violations
    );
    assert!((0.3..1.0).contains(&auditor.worst_cold_load), "{} of its limit", auditor.worst_cold_load);
    assert!(results_of("random").violations_by_rule[4] > 0, "a policy without budgets");
}

#[test]
fn faults_are_seen_and_service_comes_back() {
    let _guard = shared_cores();
    let scenario = parse_scenario(
        r#"
        seconds = 20
        [clients]
        retry = "never"
        [[fault]]
        kind = "origin_stop"
        at = 8
        lasts = 4
        [[route]]
        name = "put"
        write = true
        share = 0.5
        [[route]]
        name = "read"
        share = 0.5
    "#,
    );
    let recovery = &play(&scenario, "pumicebay").recovery[0];
    assert!(recovery.lowest < 0.7, "{recovery:?}");
    assert!(recovery.seconds.is_some_and(|seconds| (2.0..8.0).contains(&seconds)), "{recovery:?}");
}

#[test]
fn comparisons_pair_by_seed_and_noise_covers_zero() {
    let _guard = shared_cores();
    let scenario =
        parse_scenario("seconds = 6\n[nodes]\nmemory_mb = 8\n[origin]\nslots = 4\n[clients]\nrate = 800");
    let names = ["pumicebay".to_string(), "pumicebay#1".into(), "random".into()];
    let runs = compare::policies(&scenario, &names, 6).expect("completed runs");
    let shares = |policy: usize| runs[policy].iter().map(|run| run.share).collect::<Vec<_>>();
    let noise = Mean::paired(&shares(0), &shares(1));
    assert!(noise.covers_zero(), "{noise:?}");
    let gain = Mean::paired(&shares(0), &shares(2));
    assert!(gain.mean > gain.half_width, "{gain:?}");
    assert!(compare::table(&names, &runs).lines().count() == 5);
}

#[test]
fn grids_and_hunts() {
    let _guard = shared_cores();
    let set =
        [("a".to_string(), vec!["1".to_string(), "2".into()]), ("b".into(), vec!["3".into(), "4".into()])];
    let points: Vec<String> = grid(&set)
        .into_iter()
        .map(|point| point.into_iter().map(|(key, value)| key + &value).collect::<String>())
        .collect();
    assert_eq!(points, ["a1b3", "a1b4", "a2b3", "a2b4"]);
    let text = pumicebay_lab::scenario::ScenarioSource::new(
        "seconds = 8\n[clients]\nrate = 200\n[ranges]\n\"clients.rate\" = [100.0, 600.0]",
    );
    let found = hunt::hunt(&text, "random", 6, Some(3)).expect("a hunt");
    assert!(found.loss >= 0.9 * found.unreduced_loss && found.changes.1 <= found.changes.0);
    // The scenario text that the hunt wrote gives the result that it found.
    let replayed = play(&parse_scenario(&found.text), "random");
    assert_eq!(replayed.share, found.results.share);
}

/// Guards against a bound on origin fetches that grows with the number of caches: at a cold start hundreds of
/// caches then stopped the origin.
#[test]
fn a_cold_fleet_does_not_stop_its_origin_however_many_caches_and_proxies_it_has() {
    let _guard = shared_cores();
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios/calm.toml");
    for (nodes, proxies) in [(12, 6), (192, 1), (192, 6), (192, 60)] {
        let set = |key: &str, value: u32| (key.to_string(), value.to_string());
        let set = [
            set("seconds", 12),
            set("nodes.count", nodes),
            set("proxies.count", proxies),
            set("clients.warm_keys", 0),
        ];
        let scenario = scenario::read(&path, &set).expect("a valid scenario");
        let results = play(&scenario, "pumicebay");
        assert_eq!(results.origin_stops, 0, "{nodes} caches, {proxies} proxies");
    }
}
