//! Real processes that get their configuration from the carrier, under faults: no process goes back to an
//! older version, no change is reported in force that is not, and all changes are in force everywhere once
//! the faults have ended.

use pumicebay_lab::scale::{plan::Plan, real};
use std::path::Path;

const LAB: &str = env!("CARGO_BIN_EXE_pumicebay-lab");

fn plan() -> Plan {
    Plan::parse(
        "proxies = 6\nsites = 2\nzones = 1\nregions = 1\ncontrol = 4\nrelays_per_site = 1\nvoters = 3\n\
         changes_per_second = 1.0\npurges_per_second = 0\nseconds = 10",
    )
    .unwrap()
}

#[test]
fn changes_reach_all_real_processes_despite_faults() {
    let outcome = real::run(&plan(), 1, Path::new(LAB)).expect("the run failed");
    println!("{}{}", real::table_header(), outcome.summary());
    assert!(outcome.violations.is_empty(), "{}\n{}", outcome.summary(), outcome.logs.join("\n"));
    assert!(
        outcome.faults.len() >= 2 && outcome.settled >= 3 && outcome.claims >= 1 && outcome.pairs >= 10,
        "too few faults, changes or reports to test anything: {}",
        outcome.summary()
    );
}

#[test]
fn a_seed_always_draws_the_same_faults() {
    let plan = Plan { seconds: 60.0, ..plan() };
    assert_eq!(real::draw_faults(&plan, 7), real::draw_faults(&plan, 7));
    assert_ne!(real::draw_faults(&plan, 7), real::draw_faults(&plan, 8));
}
