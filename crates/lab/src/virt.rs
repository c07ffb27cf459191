//! A day in virtual time: the world and the proxies by turns, in windows no longer than a message takes at
//! least. Within a window nobody can hear of another, so the proxies are played at once, on as many threads
//! as there are, and the day does not depend on how many.

use crate::audit::Auditor;
use crate::metrics::Tally;
use crate::platform;
use crate::policy;
use crate::results::Results;
use crate::simulated_proxy::{Rules, Seat};
use crate::world::World;
use anyhow::Result;
use pumicebay_core::Nanos;
use pumicebay_model::network::Network;
use pumicebay_model::spec::Scenario;
use pumicebay_model::{SECOND, seconds};
use rayon::prelude::*;

/// Work of a window, in nodes times proxies that have something to do, below which one thread is quicker.
const LITTLE: usize = 4000;
/// What a day may take beyond its last arrival.
const AFTER: Nanos = 120 * SECOND;

/// Plays the day; `progress` hears how much of it is over, between 0 and 1.
pub fn play(day: &Scenario, policy: &str, seed: u64, progress: &(dyn Fn(f64) + Sync)) -> Result<Results> {
    let (auditor, tally) = run(day, policy, seed, progress)?;
    Ok(tally.results(policy, "virtual", seed, &auditor))
}

pub fn run(
    day: &Scenario,
    policy: &str,
    seed: u64,
    progress: &(dyn Fn(f64) + Sync),
) -> Result<(Auditor, Tally)> {
    let (name, salt) = policy::named(policy)?;
    let rules = |proxy| Rules {
        policy: name.into(),
        salt,
        settings: pumicebay_names::settings_from_json(&platform::settings(day, proxy)),
        seed,
        nodes: day.nodes.count,
        zones: day.nodes.zones,
        idle_limit: seconds(day.nodes.idle_timeout_seconds * 0.9),
        network: Network::new(&day.network),
    };
    let mut seats: Vec<Seat> = (0..day.proxies.count).map(|proxy| Seat::new(rules(proxy), proxy)).collect();
    let mut world = World::new(day, seed);
    let window = Network::new(&day.network).min_delay();
    let (whole, mut order, mut told) = (seconds(day.seconds), 0, 0);
    loop {
        for (proxy, at, what) in world.mail() {
            order += 1;
            seats[proxy].mail(at, order, what);
        }
        let next = seats.iter_mut().map(Seat::next_at).min().unwrap_or(Nanos::MAX).min(world.next_at());
        if world.done() || next >= whole + AFTER {
            break;
        }
        let until = next + window;
        let mut busy: Vec<&mut Seat> = seats.iter_mut().filter_map(|seat| due(seat, until)).collect();
        if busy.len() * day.nodes.count < LITTLE {
            busy.iter_mut().for_each(|seat| seat.play(until));
        } else {
            busy.par_iter_mut().for_each(|seat| seat.play(until));
        }
        world.play(until);
        for (proxy, seat) in seats.iter_mut().enumerate() {
            for (at, what) in seat.take() {
                world.take(proxy, at, what);
            }
        }
        if next / SECOND > told {
            told = next / SECOND;
            progress((next as f64 / whole as f64).min(1.0));
        }
    }
    progress(1.0);
    Ok(world.end())
}

fn due(seat: &mut Seat, until: Nanos) -> Option<&mut Seat> {
    (seat.next_at() < until).then_some(seat)
}
