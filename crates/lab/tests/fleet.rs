//! Fleets of processes on loopback with faults of their links, processes and disks. No two actions under one
//! lease may overlap, reads and writes of the record must fit one order, and the fleet must recover once the
//! faults are undone.

use pumicebay_lab::rig::plan::{Fault, Kind, Plan};
use pumicebay_lab::rig::{Outcome, Programs, run_plan, virt};

const LAB: &str = env!("CARGO_BIN_EXE_pumicebay-lab");

/// A plan with faults given as kind, process, start and duration in seconds.
fn plan(faults: &[(Kind, &str, f64, f64)]) -> Plan {
    let fault = |&(kind, who, at, seconds): &(Kind, &str, f64, f64)| Fault {
        kind,
        at,
        seconds,
        who: who.into(),
        to: None,
    };
    Plan { seconds: 7.0, cautious: false, faults: faults.iter().map(fault).collect(), ..Plan::default() }
}

/// Runs a plan, and fails if there was a violation or too little happened to tell.
fn run_checked(plan: &Plan, seed: u64) -> Outcome {
    let programs = Programs { proxy: LAB.into(), lab: LAB.into() };
    let outcome = run_plan(plan, seed, &programs).expect("the run starts");
    println!("{}", outcome.summary());
    assert!(outcome.violations.is_empty(), "{}\n{}", outcome.summary(), outcome.logs.join("\n"));
    assert!(
        outcome.actions.len() > 20 && outcome.writes > 20,
        "too few actions or writes: {}",
        outcome.summary()
    );
    outcome
}

#[test]
fn every_kind_of_link_fault() {
    run_checked(
        &plan(&[
            (Kind::Delay, "p1", 0.3, 3.0),
            (Kind::Slow, "a1", 0.3, 3.0),
            (Kind::Cut, "p2", 0.8, 0.8),
            (Kind::OneWay, "p3", 1.0, 2.5),
            (Kind::HalfOpen, "a2", 2.0, 2.0),
            (Kind::Reset, "p1", 3.5, 1.5),
            (Kind::Drop, "a3", 4.0, 2.0),
        ]),
        11,
    );
}

/// All processes send their operations to the first voter first. While its links drop everything, the other
/// voters must go on without it, and it must not go on alone.
#[test]
fn a_voter_cut_off_and_later_another() {
    run_checked(
        &plan(&[(Kind::Drop, "p1", 0.5, 2.5), (Kind::Drop, "p3", 3.5, 2.5), (Kind::Drop, "a1", 2.0, 2.0)]),
        12,
    );
}

/// A lease holder is stopped with SIGSTOP in the middle of an action. Its guard process has to end the action
/// so that another process can take over, and the first one must notice that when it continues.
#[test]
fn holders_and_voters_stopped() {
    let outcome = run_checked(
        &plan(&[
            (Kind::Stop, "a1", 0.5, 2.5),
            (Kind::Stop, "a2", 1.0, 3.0),
            (Kind::Stop, "p2", 1.5, 2.0),
            (Kind::Stop, "p1", 4.0, 2.0),
        ]),
        13,
    );
    // The duration of a lease, both sides' allowance for drift, an operation's timeout, and the time that a
    // voter was stopped.
    assert!(outcome.longest_gap < 6.0, "{}", outcome.longest_gap);
}

#[test]
fn processes_killed_one_after_the_other_and_all_voters_at_once() {
    run_checked(
        &plan(&[
            (Kind::Kill, "a1", 0.4, 0.5),
            (Kind::Kill, "p5", 0.6, 1.0),
            (Kind::Kill, "p1", 1.5, 1.0),
            (Kind::Kill, "a3", 2.5, 0.3),
            (Kind::Kill, "p1", 3.5, 1.5),
            (Kind::Kill, "p2", 3.5, 1.0),
            (Kind::Kill, "p3", 3.5, 0.5),
        ]),
        14,
    );
}

#[test]
fn disks_emptied_corrupted_and_full() {
    run_checked(
        &plan(&[(Kind::Full, "p2", 0.4, 1.2), (Kind::Empty, "p1", 2.0, 0.5), (Kind::Spoil, "p3", 4.5, 0.5)]),
        15,
    );
}

#[test]
fn a_disk_set_back_to_an_older_copy() {
    let plan =
        Plan { cautious: true, ..plan(&[(Kind::SetBack, "p2", 0.8, 1.2), (Kind::Delay, "p3", 1.0, 2.0)]) };
    run_checked(&plan, 16);
}

/// Two of three voters are replaced by spares while one voter's links are delayed. Then the processes of the
/// replaced voters are killed, so that the new voters must have all data.
#[test]
fn voters_replaced_one_at_a_time() {
    let replace = |who: &str, to: &str, at| Fault {
        kind: Kind::Replace,
        at,
        seconds: 0.1,
        who: who.into(),
        to: Some(to.into()),
    };
    let mut plan = plan(&[
        (Kind::Delay, "p2", 0.3, 3.0),
        (Kind::Kill, "p1", 4.0, 2.5),
        (Kind::Kill, "p3", 4.0, 2.5),
        (Kind::Drop, "p5", 4.5, 1.0),
    ]);
    plan.faults.extend([replace("p1", "p4", 0.8), replace("p3", "p5", 2.2)]);
    let outcome = run_checked(&Plan { processes: 6, spares: 2, ..plan }, 17);
    // Calls to an operator endpoint under a lease's token are accepted, and those under the token before are
    // refused.
    assert!(outcome.operator_calls.0 >= 4 && outcome.operator_calls.1 >= 4, "{:?}", outcome.operator_calls);
}

/// Clocks that are off by up to a half, where one thousandth is stated. Two holders may then act at once, but
/// neither the recorder nor an operator endpoint may accept a lower token after a higher one, and the record
/// must keep one order.
#[test]
fn clocks_beyond_the_stated_drift() {
    let plan =
        plan(&[(Kind::Stop, "a1", 1.0, 2.0), (Kind::Drop, "a3", 2.0, 2.0), (Kind::Kill, "p1", 3.5, 1.0)]);
    run_checked(&Plan { drift_ppm: 1000, max_clock_error_ppm: 500_000, ..plan }, 18);
}

#[test]
fn random_faults_from_seeds() {
    for seed in [1, 7] {
        run_checked(&Plan { seconds: 9.0, random_faults: 5, ..plan(&[]) }.with_random_faults(seed), seed);
    }
}

/// Three hundred processes compete for thirty leases in virtual time, with voters that crash, links that lose
/// messages and holders that die.
#[test]
fn three_hundred_processes_in_virtual_time() {
    let plan = Plan {
        processes: 300,
        voters: 5,
        seconds: 40.0,
        leases: 30,
        lease_seconds: 4.0,
        random_faults: 25,
        ..Plan::default()
    };
    for seed in 1..=8 {
        let outcome = virt::simulate(&plan, seed);
        println!("{}", outcome.summary());
        assert_eq!(outcome.violations(), 0, "{}", outcome.summary());
        assert!(outcome.grants >= 30 && outcome.takeovers.len() > 2, "{}", outcome.summary());
        assert_eq!(
            outcome.summary(),
            virt::simulate(&plan, seed).summary(),
            "the same seed gave another result"
        );
    }
}
