//! Simulates a whole zone in virtual time. Measures how soon an order reaches all proxies, how many bytes
//! that takes, and how long it takes after a restart of one or of all proxies until their copies are equal.

mod common;

use common::{MS, SECOND, Simulation};
use pumicebay_replication::*;

/// The bytes per second that the carrier leaves of the budget for control messages, and how many of these
/// heartbeats take on about eight links.
const BYTES_PER_SECOND: usize = 2_000;
const HEARTBEAT_BYTES: usize = 200;
/// Orders in effect during the measurement, and the number of processes that issue them.
const ACTIVE_ORDERS: usize = 64;
const ISSUERS: usize = 16;

struct Measurements {
    proxies: usize,
    /// From issuing an order until all proxies have it, over twenty orders.
    median_delay: Nanos,
    max_delay: Nanos,
    /// Bytes per second of a process: the mean while idle, the mean while one order is issued per second, and
    /// the maximum of the latter.
    idle_bytes: f64,
    issuing_bytes: f64,
    peak_bytes: usize,
    /// Time until all copies are equal: after one process restarts with an empty disk, and after all restart
    /// with their disks. Last the maximum bytes per second of a process in the second case.
    one_restart: Nanos,
    full_restart: Nanos,
    restart_peak_bytes: usize,
}

/// Runs until all copies are equal, and returns how long that took.
fn run_until_agreed(simulation: &mut Simulation) -> Nanos {
    let start = simulation.now;
    while simulation.failure.is_none() && simulation.agreed_entries().is_err() {
        assert!(simulation.now < start + 60 * SECOND, "copies not equal: {:?}", simulation.agreed_entries());
        simulation.run_until(simulation.now + 10 * MS);
    }
    assert_eq!(simulation.failure, None);
    simulation.now - start
}

/// The mean bytes per second of all processes, and the maximum of one process in one second. `every_second`
/// is called at the start of each second.
fn measure_bytes(
    simulation: &mut Simulation,
    seconds: u64,
    mut every_second: impl FnMut(&mut Simulation, u64),
) -> (f64, usize) {
    simulation.bytes_sent.clear();
    for second in 0..seconds {
        every_second(simulation, second);
        simulation.run_until(simulation.now + SECOND);
    }
    let sum: usize = simulation.bytes_sent.values().sum();
    let peak_bytes = simulation.bytes_sent.values().max().copied().unwrap_or(0);
    (sum as f64 / (seconds * simulation.processes.len() as u64) as f64, peak_bytes)
}

/// Measures a zone with this number of proxies.
fn measure(proxies: usize) -> Measurements {
    let mut simulation = Simulation::new(proxies as u64, proxies);
    (simulation.target_links, simulation.max_delay, simulation.bytes_per_second) =
        (4, 2 * MS, BYTES_PER_SECOND);
    simulation.run_until(5 * SECOND);
    for number in 0..ACTIVE_ORDERS {
        simulation.issue(
            number % ISSUERS.min(proxies),
            &format!("node-{number:04}"),
            ServiceState::Out,
            None,
        );
        simulation.run_until(simulation.now + 20 * MS);
    }
    run_until_agreed(&mut simulation);
    simulation.run_until(simulation.now + 10 * SECOND);
    let (idle_bytes, _) = measure_bytes(&mut simulation, 20, |_, _| {});
    let mut delays = Vec::new();
    let (issuing_bytes, peak_bytes) = measure_bytes(&mut simulation, 20, |simulation, second| {
        let index = simulation.random_below(proxies as u64) as usize % ISSUERS;
        let service = if second % 2 == 0 { ServiceState::In } else { ServiceState::Out };
        simulation.issue(index.min(proxies - 1), &format!("node-{:04}", second / 2), service, None);
        let stamp = simulation.issued.last().unwrap().entry.order.stamp.clone();
        let (start, mut everywhere) = (simulation.now, false);
        while !everywhere {
            simulation.run_until(simulation.now + 5 * MS);
            let covers = |replica: &Replica| replica.map().vector.covers(&stamp);
            everywhere =
                simulation.processes.iter().all(|process| process.replica.as_ref().is_some_and(covers));
        }
        delays.push(simulation.now - start);
    });
    delays.sort();
    simulation.crash(0);
    simulation.set_disk(0, None);
    simulation.schedule_start(0, 0);
    simulation.run_until(simulation.now + MS);
    let one_restart = run_until_agreed(&mut simulation);
    for index in 0..proxies {
        simulation.crash(index);
        let delay = simulation.random_below(1000) * MS;
        simulation.schedule_start(index, delay);
    }
    simulation.bytes_sent.clear();
    simulation.run_until(simulation.now + SECOND + MS);
    let full_restart = run_until_agreed(&mut simulation);
    simulation.run_until(simulation.now + 10 * SECOND);
    let restart_peak_bytes = simulation.bytes_sent.values().max().copied().unwrap_or(0);
    let (median_delay, max_delay) = (delays[delays.len() / 2], delays[delays.len() - 1]);
    Measurements {
        proxies,
        median_delay,
        max_delay,
        idle_bytes,
        issuing_bytes,
        peak_bytes,
        one_restart,
        full_restart,
        restart_peak_bytes,
    }
}

#[test]
fn an_order_reaches_a_whole_zone_in_time_and_within_the_byte_budget() {
    // The environment variable SIZES sets the numbers of proxies, separated by commas. 100 take some seconds;
    // a zone has 308.
    let sizes = std::env::var("SIZES").unwrap_or("100".into());
    for proxies in sizes.split(',').map(|size| size.parse().unwrap()) {
        let measurements = measure(proxies);
        let Measurements {
            median_delay,
            max_delay,
            idle_bytes,
            issuing_bytes,
            peak_bytes,
            one_restart,
            full_restart,
            restart_peak_bytes,
            ..
        } = measurements;
        println!(
            "{} proxies: an order reaches all after {} ms (median), {} ms (maximum); bytes per second idle \
             {idle_bytes:.0}, with one order per second {issuing_bytes:.0}, maximum {peak_bytes}; restart of one {} ms, of \
             all {} ms, maximum {restart_peak_bytes}",
            measurements.proxies,
            median_delay / MS,
            max_delay / MS,
            one_restart / MS,
            full_restart / MS
        );
        assert!(max_delay < 2 * SECOND, "an order took {} ms to reach all proxies", max_delay / MS);
        assert!(
            peak_bytes.max(restart_peak_bytes) + HEARTBEAT_BYTES <= 2 * BYTES_PER_SECOND,
            "bytes per second: {peak_bytes} with orders, {restart_peak_bytes} after a restart"
        );
        assert!(
            one_restart < 5 * SECOND && full_restart < 10 * SECOND,
            "copies were equal {} ms after one restart, {} ms after all restarted",
            one_restart / MS,
            full_restart / MS
        );
    }
}
