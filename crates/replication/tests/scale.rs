//! A whole zone in virtual time: how soon an order holds everywhere, what it costs in bytes, and how a process that comes
//! back, or all at once, catch up.

mod common;

use common::{MS, SECOND, World};
use pumicebay_replication::*;

/// What the carrier leaves of the bytes that control may take, and what of it beats take on some eight links.
const BYTES_PER_SECOND: usize = 2_000;
const BEATS: usize = 200;
/// Orders that stand, given at so many processes.
const ORDERS: usize = 64;
const GIVEN_AT: usize = 16;

struct Figures {
    proxies: usize,
    /// From the order until it holds everywhere, of twenty.
    median: Nanos,
    longest: Nanos,
    /// Bytes of a process, in the mean and in its worst second: idle, and while orders are given one a second.
    idle: f64,
    ordered: f64,
    worst: usize,
    /// One process with an empty disk, and all at once with theirs, until the copies are equal.
    one: Nanos,
    all: Nanos,
    all_worst: usize,
}

fn until_agreed(world: &mut World) -> Nanos {
    let begin = world.now;
    while world.fault.is_none() && world.agreed().is_err() {
        assert!(world.now < begin + 60 * SECOND, "not agreed: {:?}", world.agreed());
        world.run(world.now + 10 * MS);
    }
    assert_eq!(world.fault, None);
    world.now - begin
}

/// Bytes of a process in the mean of all, and of the worst in its worst second.
fn bytes(world: &mut World, seconds: u64, mut each: impl FnMut(&mut World, u64)) -> (f64, usize) {
    world.bytes.clear();
    for second in 0..seconds {
        each(world, second);
        world.run(world.now + SECOND);
    }
    let sum: usize = world.bytes.values().sum();
    let worst = world.bytes.values().max().copied().unwrap_or(0);
    (sum as f64 / (seconds * world.processes.len() as u64) as f64, worst)
}

fn measure(proxies: usize) -> Figures {
    let mut world = World::new(proxies as u64, proxies);
    (world.links, world.longest, world.bytes_per_second) = (4, 2 * MS, BYTES_PER_SECOND);
    world.run(5 * SECOND);
    for number in 0..ORDERS {
        world.give(number % GIVEN_AT.min(proxies), &format!("node-{number:04}"), Service::Out, None);
        world.run(world.now + 20 * MS);
    }
    until_agreed(&mut world);
    world.run(world.now + 10 * SECOND);
    let (idle, _) = bytes(&mut world, 20, |_, _| {});
    let mut times = Vec::new();
    let (ordered, worst) = bytes(&mut world, 20, |world, second| {
        let at = world.below(proxies as u64) as usize % GIVEN_AT;
        let service = if second % 2 == 0 { Service::In } else { Service::Out };
        world.give(at.min(proxies - 1), &format!("node-{:04}", second / 2), service, None);
        let stamp = world.given.last().unwrap().entry.order.stamp.clone();
        let (begin, mut holds) = (world.now, false);
        while !holds {
            world.run(world.now + 5 * MS);
            let covers = |replica: &Replica| replica.map().vector.covers(&stamp);
            holds = world.processes.iter().all(|process| process.replica.as_ref().is_some_and(covers));
        }
        times.push(world.now - begin);
    });
    times.sort();
    world.crash(0);
    world.set_disk(0, None);
    world.start_later(0, 0);
    world.run(world.now + MS);
    let one = until_agreed(&mut world);
    for at in 0..proxies {
        world.crash(at);
        let after = world.below(1000) * MS;
        world.start_later(at, after);
    }
    world.bytes.clear();
    world.run(world.now + SECOND + MS);
    let all = until_agreed(&mut world);
    world.run(world.now + 10 * SECOND);
    let all_worst = world.bytes.values().max().copied().unwrap_or(0);
    let (median, longest) = (times[times.len() / 2], times[times.len() - 1]);
    Figures { proxies, median, longest, idle, ordered, worst, one, all, all_worst }
}

#[test]
fn a_zone_holds_an_order_soon_and_within_its_bytes() {
    // SIZES in the environment: others than this, which takes some seconds; a zone has 308.
    let sizes = std::env::var("SIZES").unwrap_or("100".into());
    for proxies in sizes.split(',').map(|size| size.parse().unwrap()) {
        let figures = measure(proxies);
        let Figures { median, longest, idle, ordered, worst, one, all, all_worst, .. } = figures;
        println!(
            "{} proxies: holds everywhere after {} ms (median), {} ms (longest); bytes a second idle {idle:.0}, with an \
             order a second {ordered:.0}, worst {worst}; one back {} ms, all back {} ms, worst {all_worst}",
            figures.proxies,
            median / MS,
            longest / MS,
            one / MS,
            all / MS
        );
        assert!(longest < 2 * SECOND, "{} ms", longest / MS);
        assert!(worst.max(all_worst) + BEATS <= 2 * BYTES_PER_SECOND, "{worst} {all_worst}");
        assert!(one < 5 * SECOND && all < 10 * SECOND, "{} {}", one / MS, all / MS);
    }
}
