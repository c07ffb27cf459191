//! Real processes that take their configuration by the carrier, under faults: nothing goes back, nothing is said to be in
//! force that is not, and all is in force everywhere once the faults are undone.

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
fn changes_come_through_faults_between_real_processes() {
    let outcome = real::run(&plan(), 1, Path::new(LAB)).expect("a play");
    println!("{}{}", real::table_header(), outcome.summary());
    assert!(outcome.violations.is_empty(), "{}\n{}", outcome.summary(), outcome.logs.join("\n"));
    assert!(
        outcome.faults.len() >= 2 && outcome.settled >= 3 && outcome.claims >= 1 && outcome.pairs >= 10,
        "hardly anything happened: {}",
        outcome.summary()
    );
}

#[test]
fn a_seed_draws_the_same_faults_again() {
    let plan = Plan { seconds: 60.0, ..plan() };
    assert_eq!(real::draw_faults(&plan, 7), real::draw_faults(&plan, 7));
    assert_ne!(real::draw_faults(&plan, 7), real::draw_faults(&plan, 8));
}
