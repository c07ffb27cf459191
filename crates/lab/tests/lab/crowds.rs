//! Real days with more proxies than nodes: what none of them does alone, all may do together.

use crate::day;
use crate::sockets::{self, LAB, ROUTES};
use pumicebay_lab::results::Results;
use std::path::Path;

fn play(faults: &str) -> Results {
    let day = day(&format!(
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
    let results = sockets::play(&day, Path::new(LAB)).expect("a day that plays");
    println!("{}", results.table());
    assert!(results.rules_kept(), "{:?}", results.violations);
    assert!(results.notes.is_empty(), "{:?}", results.notes);
    let told = results.advertised_timeouts;
    assert_eq!((told.first_excessive, told.retries_excessive), (0, 0), "{told:?}");
    results
}

/// Half of the nodes are replaced by cold ones, while twice as much is asked.
#[test]
fn a_crowd_of_proxies_meets_cold_nodes() {
    let results = play(
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

/// Lists fall silent late, while a node drains and another dies; proxies are killed while clients call.
#[test]
fn lists_fall_silent_while_proxies_are_killed() {
    let results = play(
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
