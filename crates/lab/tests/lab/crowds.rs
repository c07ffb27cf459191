//! Runs on sockets with more proxies than nodes: load that is harmless from one proxy can overload a node
//! when all proxies send it together.

use crate::parse_scenario;
use crate::sockets::{self, LAB, ROUTES};
use pumicebay_lab::results::Results;
use std::path::Path;

fn play_without_violations(faults: &str) -> Results {
    let scenario = parse_scenario(&format!(
        r#"
        seconds = 9
        warm_up_seconds = 1
        [proxies]
        count = 24
        [nodes]
        count = 8
        zones = 2
        warm_up_seconds = 4
        start_capacity = 0.2
        [clients]
        rate = 400
        keys = 2000
        {faults}
        {ROUTES}
    "#
    ));
    let results = sockets::play(&scenario, Path::new(LAB)).expect("a completed run");
    println!("{}", results.table());
    assert!(results.rules_kept(), "{:?}", results.violations);
    assert!(results.notes.is_empty(), "{:?}", results.notes);
    let time_told = results.advertised_timeouts;
    assert_eq!((time_told.first_excessive, time_told.retries_excessive), (0, 0), "{time_told:?}");
    results
}

/// Half of the nodes are replaced by cold ones during a burst of twice the load: the proxies together must
/// not overload the cold nodes.
#[test]
fn a_crowd_of_proxies_meets_cold_nodes() {
    let results = play_without_violations(
        r#"
        [[fault]]
        kind = "replace"
        at = 2
        every = 0.5
        nodes = ["n1..n4"]
        [[fault]]
        kind = "burst"
        at = 3
        lasts = 3
        factor = 2
    "#,
    );
    assert!(results.share > 0.8, "{}", results.table());
}

/// Discovery stops answering while a node drains and another crashes, and proxies are killed under load: the
/// restarted proxies must keep the rules with the lists they have.
#[test]
fn lists_fall_silent_while_proxies_are_killed() {
    let results = play_without_violations(
        r#"
        [[fault]]
        kind = "discovery_silent"
        at = 4
        lasts = 3
        [[fault]]
        kind = "drain"
        at = 4.5
        nodes = ["n2"]
        [[fault]]
        kind = "crash"
        at = 5
        lasts = 2
        nodes = ["n3"]
        [[fault]]
        kind = "kill_proxy"
        at = 3
        proxies = ["p1..p8"]
        [[fault]]
        kind = "kill_proxy"
        at = 5.5
        proxies = ["p9..p16"]
    "#,
    );
    assert!(results.share > 0.8, "{}", results.table());
}
