//! Fleets of processes on loopback with faults between them: no two acts under one lease overlap, the record has one
//! order, and all works again once the faults are undone.

use pumicebay_lab::rig::plan::{Fault, Kind, Plan};
use pumicebay_lab::rig::{Outcome, Programs, play, virt};

const LAB: &str = env!("CARGO_BIN_EXE_pumicebay-lab");

/// Faults as `kind who at seconds`.
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

fn played(plan: &Plan, seed: u64) -> Outcome {
    let programs = Programs { proxy: LAB.into(), lab: LAB.into() };
    let outcome = play(plan, seed, &programs).expect("a play");
    println!("{}", outcome.summary());
    assert!(outcome.wrong.is_empty(), "{}\n{}", outcome.summary(), outcome.logs.join("\n"));
    assert!(
        outcome.acts.len() > 20 && outcome.writes > 20,
        "hardly anything happened: {}",
        outcome.summary()
    );
    outcome
}

#[test]
fn links_of_every_bad_kind() {
    played(
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

/// The first voter is asked by all; with it cut off the others go on without, and it does not.
#[test]
fn a_voter_cut_off_and_then_all_but_one_pair() {
    played(
        &plan(&[(Kind::Drop, "p1", 0.5, 2.5), (Kind::Drop, "p3", 3.5, 2.5), (Kind::Drop, "a1", 2.0, 2.0)]),
        12,
    );
}

/// A holder that is stopped in the middle of an act: its guard ends the act, another takes over, and the first finds out.
#[test]
fn holders_and_voters_that_stand_still() {
    let outcome = played(
        &plan(&[
            (Kind::Stop, "a1", 0.5, 2.5),
            (Kind::Stop, "a2", 1.0, 3.0),
            (Kind::Stop, "p2", 1.5, 2.0),
            (Kind::Stop, "p1", 4.0, 2.0),
        ]),
        13,
    );
    // One lease's time, what both sides allow for drift, an ask's patience, and the time that a voter stood still.
    assert!(outcome.longest_gap < 6.0, "{}", outcome.longest_gap);
}

#[test]
fn processes_killed_one_after_the_other_and_all_voters_at_once() {
    played(
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
fn disks_emptied_spoilt_and_full() {
    played(
        &plan(&[(Kind::Full, "p2", 0.4, 1.2), (Kind::Empty, "p1", 2.0, 0.5), (Kind::Spoil, "p3", 4.5, 0.5)]),
        15,
    );
}

#[test]
fn a_disk_set_back_to_an_older_copy() {
    let plan =
        Plan { cautious: true, ..plan(&[(Kind::SetBack, "p2", 0.8, 1.2), (Kind::Delay, "p3", 1.0, 2.0)]) };
    played(&plan, 16);
}

/// Two of three voters are exchanged for spares, with a slow link; then the old ones' processes are gone, and the new
/// ones have to have it all.
#[test]
fn voters_exchanged_one_at_a_time() {
    let exchange = |who: &str, to: &str, at| Fault {
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
    plan.faults.extend([exchange("p1", "p4", 0.8), exchange("p3", "p5", 2.2)]);
    let outcome = played(&Plan { processes: 6, spares: 2, ..plan }, 17);
    // Calls at an operators' door under a lease, and the same under the token before: taken, and refused.
    assert!(outcome.doors.0 >= 4 && outcome.doors.1 >= 4, "{:?}", outcome.doors);
}

/// Clocks up to twice as fast or as slow, where a thousandth is stated: two may act at once then, but no act under a
/// lower token is let through after a higher one, at the witness and at the door, and the record keeps its one order.
#[test]
fn clocks_past_the_stated_drift() {
    let plan =
        plan(&[(Kind::Stop, "a1", 1.0, 2.0), (Kind::Drop, "a3", 2.0, 2.0), (Kind::Kill, "p1", 3.5, 1.0)]);
    played(&Plan { drift_ppm: 1000, clocks_ppm: 500_000, ..plan }, 18);
}

#[test]
fn faults_drawn_from_seeds() {
    for seed in [1, 7] {
        played(&Plan { seconds: 9.0, random: 5, ..plan(&[]) }.drawn(seed), seed);
    }
}

/// Three hundred that want thirty leases, in virtual time, with voters that crash, links that lose and holders that die.
#[test]
fn three_hundred_in_virtual_time() {
    let plan = Plan {
        processes: 300,
        voters: 5,
        seconds: 40.0,
        leases: 30,
        lease_seconds: 4.0,
        random: 25,
        ..Plan::default()
    };
    for seed in 1..=8 {
        let found = virt::play(&plan, seed);
        println!("{}", found.summary());
        assert_eq!(found.wrong(), 0, "{}", found.summary());
        assert!(found.grants >= 30 && found.takeovers.len() > 2, "{}", found.summary());
        assert_eq!(found.summary(), virt::play(&plan, seed).summary(), "same seed, same bytes");
    }
}
