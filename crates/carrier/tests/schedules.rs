//! Runs random schedules of a small fleet: lost and delayed messages, links that break or drop all messages,
//! processes that restart with their disk, an empty one or an older copy of it, and a lease that moves
//! between control machines. The invariants are checked at each step (see `common`). At the end all running
//! processes must agree within `CONVERGENCE_LIMIT`.

mod common;

use common::{MS, SECOND, Simulation, node_config};
use pumicebay_carrier::*;

/// For how long faults are injected.
const FAULT_PERIOD: Nanos = 40 * SECOND;
/// The maximum time from the last fault until all running processes have everything in force and the root's
/// summary says so.
const CONVERGENCE_LIMIT: Nanos = 75 * SECOND;
/// The number of schedules that are run by default.
const SEED_COUNT: u64 = 150;

/// A random fleet of control machines, relays and proxies.
fn fleet(rng: &mut common::Rng) -> Vec<TreeNodeConfig> {
    let control_names: Vec<Name> =
        (0..[1, 3][rng.below(2) as usize]).map(|index| format!("c{index}")).collect();
    let relays: Vec<Name> = (0..rng.below(3)).map(|index| format!("r{index}")).collect();
    let mut fleet: Vec<TreeNodeConfig> =
        control_names.iter().map(|name| node_config(name, "s0", true, false, vec![])).collect();
    fleet.extend(relays.iter().map(|name| node_config(name, "s0", false, true, vec![control_names.clone()])));
    // In some fleets the parents accept few children: enough for all children even if one parent is gone, but
    // a rejected child has to find another parent.
    if rng.one_in(3) {
        fleet.iter_mut().for_each(|config| {
            config.max_children = if config.is_relay { 1 } else { 9 / control_names.len() }
        });
    }
    let proxies = 1 + rng.below(8 - fleet.len() as u64).min(4);
    for index in 0..proxies {
        let site = ["s0", "s0", "s1"][rng.below(3) as usize];
        let tiers = if site == "s0" {
            vec![relays.clone(), control_names.clone()]
        } else {
            vec![control_names.clone()]
        };
        fleet.push(node_config(&format!("p{index}"), site, false, false, tiers));
    }
    fleet
}

/// A random change of a random resource.
fn change(simulation: &mut Simulation) -> Change {
    let rng = &mut simulation.rng;
    let proxy = format!("p{}", rng.below(3));
    let scope = match rng.below(6) {
        0 | 1 => Scope::Fleet,
        2 => Scope::Region("r".into()),
        3 => Scope::Zone("zs1".into()),
        4 => Scope::Site("s0".into()),
        _ => Scope::Proxy("s0".into(), proxy),
    };
    let patch = match rng.below(8) {
        0 => None,
        1 => Some(r#"{"bad":1}"#.to_string()),
        2 => Some(format!(r#"{{"long":"{}"}}"#, "ä".repeat(1_500))),
        // Contains the number of the proposal, by which `check_outcomes` finds the change.
        _ => Some(format!(r#"{{"x":{}}}"#, simulation.proposals + 1)),
    };
    Change { scope, name: format!("n{}", rng.below(4)), patch }
}

/// Injects a random fault or proposes random changes. `wipeable` is the only control machine that may lose
/// its disk.
fn inject_random_event(simulation: &mut Simulation, wipeable: usize) {
    let index = simulation.rng.below(simulation.processes.len() as u64) as usize;
    let links: Vec<ChildId> =
        simulation.links.iter().filter(|(_, link)| link.open == (true, true)).map(|(id, _)| *id).collect();
    let link = (!links.is_empty()).then(|| links[simulation.rng.below(links.len() as u64) as usize]);
    match (simulation.rng.below(9), link) {
        (0, Some(link)) => simulation.break_link(link),
        (1, Some(link)) => simulation.links.get_mut(&link).unwrap().drops_messages = true,
        (2 | 3, _) if simulation.processes[index].node.is_some() => {
            simulation.crash(index);
            // Only one of the control machines ever loses its disk, so that a majority keeps what was
            // confirmed.
            let allowed = !simulation.processes[index].config.is_control || index == wipeable;
            match simulation.rng.below(3) {
                0 if allowed => simulation.processes[index].disk = None,
                1 if allowed => {
                    simulation.processes[index].disk = simulation.processes[index].older_disk.clone()
                }
                _ => {}
            }
            let after = simulation.rng.below(6) * SECOND;
            simulation.schedule(after, common::Event::Start(index));
        }
        (4, _) => simulation.schedule(0, common::Event::GrantLease),
        (5, _) => simulation.lossy = !simulation.lossy,
        (6, _) if simulation.rng.one_in(3) => {
            let duration = simulation.rng.below(15) * SECOND;
            simulation.isolate(index, duration);
        }
        _ => {
            let changes = (0..1 + simulation.rng.below(3)).map(|_| change(simulation)).collect();
            simulation.propose(changes);
        }
    }
}

/// Runs the random schedule of this seed up to its last fault.
fn run_schedule(seed: u64) -> Simulation {
    let mut rng = common::Rng(seed);
    let fleet = fleet(&mut rng);
    let control_count = fleet.iter().filter(|config| config.is_control).count();
    let mut simulation = Simulation::new(seed, fleet);
    let wipeable = if control_count == 3 { simulation.rng.below(3) as usize } else { usize::MAX };
    simulation.max_delay = [5 * MS, 50 * MS, 400 * MS][simulation.rng.below(3) as usize];
    let max_interval = [200 * MS, SECOND, 4 * SECOND][simulation.rng.below(3) as usize];
    while simulation.now < FAULT_PERIOD && simulation.violation.is_none() {
        let next = simulation.now + MS + simulation.rng.below(max_interval);
        simulation.run(next);
        inject_random_event(&mut simulation, wipeable);
    }
    simulation.lossy = false;
    // One process may stay down for good. Among the control machines it can only be the one whose disk may be
    // lost, since a majority must keep theirs.
    let index = simulation.rng.below(5) as usize;
    let allowed =
        simulation.processes.get(index).is_some_and(|process| process.config.is_relay || index == wipeable);
    if allowed && (control_count == 3 || index >= control_count) {
        simulation.crash(index);
        simulation.processes[index].never_restarts = true;
    }
    simulation
}

/// Runs until all processes agree or an invariant is violated; returns the time since the last fault.
fn time_to_converge(simulation: &mut Simulation) -> Nanos {
    let begin = simulation.now;
    while simulation.violation.is_none() {
        match simulation.check_converged() {
            Ok(()) => break,
            Err(missing) if simulation.now > begin + CONVERGENCE_LIMIT => {
                simulation.violation = Some(format!("{}: not converged: {missing}", simulation.name))
            }
            Err(_) => simulation.run(simulation.now + 100 * MS),
        }
    }
    simulation.check_outcomes();
    simulation.now - begin
}

#[test]
fn random_schedules_keep_the_invariants() {
    // The environment variables SEED and SEEDS set the first seed and the number of seeds.
    let number_from_env = |name: &str| std::env::var(name).ok().and_then(|number| number.parse::<u64>().ok());
    let first_seed = number_from_env("SEED").unwrap_or(0);
    let seeds = first_seed
        ..first_seed
            + number_from_env("SEEDS").unwrap_or(if number_from_env("SEED").is_some() {
                1
            } else {
                SEED_COUNT
            });
    let (mut durations, mut deltas, mut settled) = (Vec::new(), 0, 0);
    for seed in seeds {
        let mut simulation = run_schedule(seed);
        durations.push(time_to_converge(&mut simulation));
        assert_eq!(simulation.violation, None);
        (deltas, settled) = (deltas + simulation.deltas, settled + simulation.settled.len());
    }
    durations.sort();
    let (median, longest) = (durations[durations.len() / 2] / MS, durations[durations.len() - 1] / MS);
    println!(
        "{} seeds: {settled} versions, {deltas} parts; \
         converged after {median} ms (median), {longest} ms (longest)",
        durations.len()
    );
}

/// Each injected fault must be found by the violation that it causes, within these seeds.
#[cfg(feature = "planted")]
#[test]
fn planted_faults_are_found() {
    for (fault, expected_text) in [
        (InjectedFault::SummaryFromHeldVersion, " claims "),
        (InjectedFault::AcceptsOlderVersion, " went back "),
        (InjectedFault::AppliesIncompleteDelta, ""),
        (InjectedFault::ForgetsLostChildren, " forgot "),
    ] {
        inject_fault(Some(fault));
        let found = (0..SEED_COUNT).find_map(|seed| {
            let mut simulation = run_schedule(seed);
            time_to_converge(&mut simulation);
            simulation.violation.filter(|violation| violation.contains(expected_text))
        });
        inject_fault(None);
        let found = found.unwrap_or_else(|| panic!("{fault:?} was not found"));
        println!("{fault:?}: {}", found.chars().take(120).collect::<String>());
    }
}
