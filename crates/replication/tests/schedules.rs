//! Random schedules of a group with message delays, links that lose messages in one or both directions,
//! isolated processes, clocks that are ahead, and processes that restart with their own disk, an empty one,
//! an older copy or that of another process. Some stay away for longer than tombstones are kept.
//!
//! The invariants in `common` are checked at each step. After the last fault all running replicas must have
//! equal copies within `CONVERGENCE_BOUND`, and no superseded order may be in effect again.

mod common;

use common::{MS, RETENTION, SECOND, Simulation, rank};
use pumicebay_replication::*;
use std::collections::BTreeMap;

const PHASES: usize = 3;
const FAULT_PHASE: Nanos = 20 * SECOND;
const CONVERGENCE_BOUND: Nanos = 40 * SECOND;
/// The furthest that a clock is set ahead.
const MAX_CLOCK_AHEAD: Nanos = 30 * SECOND;
const SEEDS: u64 = 150;

fn issue_random_order(simulation: &mut Simulation) {
    let (index, node) =
        (simulation.random_below(simulation.processes.len() as u64) as usize, simulation.random_below(4));
    let service = if simulation.one_in(2) { ServiceState::Out } else { ServiceState::In };
    let lease = match simulation.random_below(3) {
        0 => None,
        number => Some(Lease { name: format!("lease{number}"), token: 1 + simulation.random_below(6) }),
    };
    simulation.issue(index, &format!("n{node}"), service, lease);
}

/// Injects a random fault, or issues a random order.
fn inject_random_event(simulation: &mut Simulation) {
    let index = simulation.random_below(simulation.processes.len() as u64) as usize;
    match simulation.random_below(10) {
        0 => simulation.mute_random_link(),
        1 => {
            let duration = simulation.random_below(20) * SECOND;
            simulation.isolate(index, duration);
        }
        2 | 3 => restart_with_random_disk(simulation, index),
        4 if simulation.one_in(4) => {
            simulation.processes[index].clock_ahead =
                [0, 5 * SECOND, MAX_CLOCK_AHEAD][simulation.random_below(3) as usize]
        }
        _ => issue_random_order(simulation),
    }
}

/// Restarts a process after a while with its own disk, an empty one, an older copy or that of another
/// process.
fn restart_with_random_disk(simulation: &mut Simulation, index: usize) {
    simulation.crash(index);
    match simulation.random_below(6) {
        0 => simulation.set_disk(index, None),
        1 => {
            let older = simulation.processes[index].older_disk.clone();
            simulation.set_disk(index, older);
        }
        2 => {
            let other = simulation.random_below(simulation.processes.len() as u64) as usize;
            let copied = simulation.processes[other].disk.clone();
            simulation.set_disk(index, copied);
        }
        _ => {}
    }
    let delay = simulation.random_below(8) * SECOND;
    simulation.schedule_start(index, delay);
}

/// Injects random events for the duration of a fault phase.
fn run_fault_phase(simulation: &mut Simulation) {
    let (until, max_pause) =
        (simulation.now + FAULT_PHASE, [100 * MS, SECOND][simulation.random_below(2) as usize]);
    while simulation.now < until && simulation.failure.is_none() {
        let next = simulation.now + MS + simulation.random_below(max_pause);
        simulation.run_until(next);
        inject_random_event(simulation);
    }
}

/// One process is stopped or isolated for longer than tombstones are kept, while the others receive orders;
/// then it returns.
fn one_process_stays_away(simulation: &mut Simulation) {
    let index = simulation.random_below(simulation.processes.len() as u64) as usize;
    let crashed = simulation.one_in(2);
    if crashed {
        simulation.crash(index);
    } else {
        simulation.isolate(index, RETENTION + 30 * SECOND);
    }
    for _ in 0..6 {
        let next = simulation.now + SECOND;
        simulation.run_until(next);
        issue_random_order(simulation);
    }
    let return_at = simulation.now + RETENTION + 25 * SECOND;
    simulation.run_until(return_at);
    simulation.schedule_start(index, 0);
}

/// Starts all processes with correct clocks, and runs until their copies are equal. Returns how long that
/// took, and the orders.
fn run_until_converged(simulation: &mut Simulation) -> (Nanos, Vec<Entry>) {
    for process in 0..simulation.processes.len() {
        simulation.processes[process].clock_ahead = 0;
        simulation.schedule_start(process, 0);
    }
    let start = simulation.now;
    let mut agreed = Vec::new();
    while simulation.failure.is_none() {
        match simulation.agreed_entries() {
            Ok(entries) if simulation.now > start + SECOND => {
                agreed = entries;
                break;
            }
            Err(difference) if simulation.now > start + CONVERGENCE_BOUND => {
                simulation.fail(format!("not converged: {difference}"))
            }
            _ => simulation.run_until(simulation.now + 100 * MS),
        }
    }
    (simulation.now - start, agreed)
}

/// Checks that no agreed order is undone by a lesser one, and that no order in effect is lost without a
/// report.
fn check_agreed_orders(
    simulation: &mut Simulation,
    previously_agreed: &mut BTreeMap<Slot, Order>,
    agreed: &[Entry],
) {
    let current: BTreeMap<Slot, Order> =
        agreed.iter().map(|entry| (entry.slot.clone(), entry.order.clone())).collect();
    let (unix_time, mut violation) = (simulation.unix_time(), None);
    let expired = |order: &Order| {
        order.service == ServiceState::In
            && order.stamp.time + RETENTION <= unix_time + MAX_CLOCK_AHEAD + SECOND
    };
    // Whether an order that wins over it was issued and may have been dropped since.
    let superseded = |slot: &Slot, order: &Order| {
        simulation.issued.iter().any(|other| {
            let later = other.entry.slot == *slot && rank(&other.entry.order) > rank(order);
            later && expired(&other.entry.order)
        })
    };
    let lost = |order: &Order| {
        simulation.issued.iter().any(|issued| issued.entry.order == *order && issued.may_be_lost)
    };
    for (slot, before) in previously_agreed.iter().filter(|(_, before)| !lost(before)) {
        match current.get(slot) {
            Some(order) if rank(order) < rank(before) && !expired(before) && !superseded(slot, before) => {
                violation = Some(format!("an agreed order was undone: {before:?} by {order:?}"));
            }
            None if !expired(before) && !superseded(slot, before) => {
                violation = Some(format!("an agreed order was lost: {before:?}"));
            }
            _ => {}
        }
    }
    for (slot, order) in &current {
        let superseding = simulation.issued.iter().find(|other| {
            let Entry { slot: of, order: superseding } = &other.entry;
            let wins = rank(superseding) > rank(order) && superseding.stamp.time > order.stamp.time;
            of == slot && wins && expired(superseding) && !other.may_be_lost
        });
        let listed =
            simulation.issued.iter().any(|issued| issued.entry.order == *order && issued.possibly_superseded);
        if let Some(superseding) = superseding.filter(|_| !listed) {
            violation = Some(format!(
                "a superseded order came back: {order:?} superseded by {:?}",
                superseding.entry
            ));
        }
    }
    for issued in simulation.issued.iter().filter(|issued| !issued.may_be_lost) {
        let Entry { slot, order } = &issued.entry;
        let won =
            current.get(slot).or(previously_agreed.get(slot)).is_some_and(|known| rank(known) >= rank(order))
                || superseded(slot, order);
        if !won && !expired(order) {
            violation = Some(format!("an issued order was lost without a report: {:?}", issued.entry));
        }
    }
    if let Some(violation) = violation {
        simulation.fail(violation);
    }
    previously_agreed.extend(current);
}

/// Runs the schedule of a seed. Returns the simulation and the convergence time of each phase.
fn run_schedule(seed: u64) -> (Simulation, Vec<Nanos>) {
    // The first simulation only draws the number of processes from the seed.
    let mut simulation = Simulation::new(seed, 0);
    let count = 2 + simulation.random_below(4) as usize;
    let mut simulation = Simulation::new(seed, count);
    simulation.max_delay = [5 * MS, 50 * MS, 300 * MS][simulation.random_below(3) as usize];
    let (mut previously_agreed, mut convergence_times) = (BTreeMap::new(), Vec::new());
    simulation.run_until(SECOND);
    for _ in 0..PHASES {
        run_fault_phase(&mut simulation);
        // Isolation ends before the time for convergence starts.
        let quiet_until = simulation.now + 20 * SECOND;
        simulation.run_until(quiet_until);
        if simulation.one_in(2) {
            one_process_stays_away(&mut simulation);
        }
        let (time, agreed) = run_until_converged(&mut simulation);
        convergence_times.push(time);
        check_agreed_orders(&mut simulation, &mut previously_agreed, &agreed);
    }
    (simulation, convergence_times)
}

#[test]
fn random_schedules_converge_without_losing_or_reviving_orders() {
    // The environment variables SEED and SEEDS set the first seed and the number of seeds.
    let variable = |name: &str| std::env::var(name).ok().and_then(|number| number.parse::<u64>().ok());
    let first = variable("SEED").unwrap_or(0);
    let seeds =
        first..first + variable("SEEDS").unwrap_or(if variable("SEED").is_some() { 1 } else { SEEDS });
    let (mut times, mut issued, mut stale_copies) = (Vec::new(), 0, 0);
    for seed in seeds {
        let (simulation, convergence_times) = run_schedule(seed);
        assert_eq!(simulation.failure, None);
        times.extend(convergence_times);
        (issued, stale_copies) = (issued + simulation.issued.len(), stale_copies + simulation.stale_copies);
    }
    times.sort();
    let (median, longest) = (times[times.len() / 2] / MS, times[times.len() - 1] / MS);
    println!(
        "{issued} orders, {stale_copies} stale copies; converged after {median} ms (median), {longest} ms (maximum)"
    );
}

/// Each injected fault is detected within these seeds, by its expected failure.
#[cfg(feature = "planted")]
#[test]
fn planted_faults_are_found() {
    for (fault, expected_text) in [
        (Fault::VectorWithFirstChunk, ""),
        (Fault::TimeBeforeToken, "a lower token won"),
        (Fault::NoTombstones, "came back"),
        (Fault::KeepsStaleCopy, ""),
        (Fault::ReusesIncarnation, ""),
        (Fault::AcceptsFutureStamps, "from the future"),
    ] {
        inject(Some(fault));
        let found = (0..SEEDS)
            .find_map(|seed| run_schedule(seed).0.failure.filter(|failure| failure.contains(expected_text)));
        inject(None);
        let found = found.unwrap_or_else(|| panic!("{fault:?} was not detected"));
        println!("{fault:?}: {}", found.chars().take(160).collect::<String>());
    }
}
