//! A whole zone in virtual time: how soon an order holds everywhere, what it costs in bytes, and how a process that comes
//! back, or all at once, catch up.

mod common;

use common::{MS, SECOND, Simulation};
use pumicebay_replication::*;

/// What the carrier leaves of the bytes that control may take, and what of it beats take on some eight links.
const BYTES_PER_SECOND: usize = 2_000;
const HEARTBEAT_BYTES: usize = 200;
/// Orders that stand, given at so many processes.
const STANDING_ORDERS: usize = 64;
const ISSUERS: usize = 16;

struct Measurements {
    proxies: usize,
    /// From the order until it holds everywhere, of twenty.
    median_delay: Nanos,
    max_delay: Nanos,
    /// Bytes of a process, in the mean and in its worst second: idle, and while orders are given one a second.
    idle_bytes: f64,
    ordering_bytes: f64,
    peak_bytes: usize,
    /// One process with an empty disk, and all at once with theirs, until the copies are equal.
    one_restart: Nanos,
    full_restart: Nanos,
    restart_peak_bytes: usize,
}

fn run_until_agreed(simulation: &mut Simulation) -> Nanos {
    let start = simulation.now;
    while simulation.failure.is_none() && simulation.agreed_entries().is_err() {
        assert!(simulation.now < start + 60 * SECOND, "not agreed: {:?}", simulation.agreed_entries());
        simulation.run_until(simulation.now + 10 * MS);
    }
    assert_eq!(simulation.failure, None);
    simulation.now - start
}

/// Bytes of a process in the mean of all, and of the worst in its worst second.
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

fn measure(proxies: usize) -> Measurements {
    let mut simulation = Simulation::new(proxies as u64, proxies);
    (simulation.target_links, simulation.max_delay, simulation.bytes_per_second) =
        (4, 2 * MS, BYTES_PER_SECOND);
    simulation.run_until(5 * SECOND);
    for number in 0..STANDING_ORDERS {
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
    let (ordering_bytes, peak_bytes) = measure_bytes(&mut simulation, 20, |simulation, second| {
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
        ordering_bytes,
        peak_bytes,
        one_restart,
        full_restart,
        restart_peak_bytes,
    }
}

#[test]
fn an_order_reaches_a_whole_zone_in_time_and_within_the_byte_budget() {
    // SIZES in the environment: others than this, which takes some seconds; a zone has 308.
    let sizes = std::env::var("SIZES").unwrap_or("100".into());
    for proxies in sizes.split(',').map(|size| size.parse().unwrap()) {
        let measurements = measure(proxies);
        let Measurements {
            median_delay,
            max_delay,
            idle_bytes,
            ordering_bytes,
            peak_bytes,
            one_restart,
            full_restart,
            restart_peak_bytes,
            ..
        } = measurements;
        println!(
            "{} proxies: holds everywhere after {} ms (median), {} ms (longest); bytes a second idle {idle_bytes:.0}, with an \
             order a second {ordering_bytes:.0}, worst {peak_bytes}; one back {} ms, all back {} ms, worst {restart_peak_bytes}",
            measurements.proxies,
            median_delay / MS,
            max_delay / MS,
            one_restart / MS,
            full_restart / MS
        );
        assert!(max_delay < 2 * SECOND, "{} ms", max_delay / MS);
        assert!(
            peak_bytes.max(restart_peak_bytes) + HEARTBEAT_BYTES <= 2 * BYTES_PER_SECOND,
            "{peak_bytes} {restart_peak_bytes}"
        );
        assert!(
            one_restart < 5 * SECOND && full_restart < 10 * SECOND,
            "{} {}",
            one_restart / MS,
            full_restart / MS
        );
    }
}
