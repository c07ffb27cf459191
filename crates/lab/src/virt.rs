//! Runs a scenario in virtual time. The world and the proxies take turns in windows no longer than the
//! minimum network delay. Messages sent within a window arrive after it, so the proxies run in parallel on
//! all threads, and the results do not depend on the number of threads.

use crate::audit::Auditor;
use crate::metrics::RunMetrics;
use crate::platform;
use crate::policy;
use crate::results::Results;
use crate::simulated_proxy::{ProxyConfig, SimulatedProxy};
use crate::world::World;
use anyhow::Result;
use pumicebay_core::Nanos;
use pumicebay_model::network::Network;
use pumicebay_model::spec::Scenario;
use pumicebay_model::{SECOND, seconds};
use rayon::prelude::*;

/// The work of a window, as nodes times active proxies, below which one thread is faster than several.
const MIN_PARALLEL_WORK: usize = 4000;
/// How long a run may continue after the scenario's end until all operations are finished.
const MAX_OVERRUN: Nanos = 120 * SECOND;

/// Runs the scenario and returns its results. `progress` receives the elapsed fraction, from 0 to 1. Returns
/// an error for an unknown policy.
pub fn play(
    scenario: &Scenario,
    policy: &str,
    seed: u64,
    progress: &(dyn Fn(f64) + Sync),
) -> Result<Results> {
    let (auditor, metrics) = run(scenario, policy, seed, progress)?;
    Ok(metrics.results(policy, "virtual", seed, &auditor))
}

/// The same as [`play`], but returns the auditor and the metrics.
pub fn run(
    scenario: &Scenario,
    policy: &str,
    seed: u64,
    progress: &(dyn Fn(f64) + Sync),
) -> Result<(Auditor, RunMetrics)> {
    let (name, salt) = policy::parse(policy)?;
    let config = |proxy| ProxyConfig {
        policy: name.into(),
        salt,
        settings: pumicebay_names::settings_from_json(&platform::settings(scenario, proxy)),
        seed,
        nodes: scenario.nodes.count,
        zones: scenario.nodes.zones,
        idle_limit: seconds(scenario.nodes.idle_timeout_seconds * 0.9),
        network: Network::new(&scenario.network),
    };
    let mut proxies: Vec<SimulatedProxy> =
        (0..scenario.proxies.count).map(|proxy| SimulatedProxy::new(config(proxy), proxy)).collect();
    let mut world = World::new(scenario, seed);
    let window = Network::new(&scenario.network).min_delay();
    let (duration, mut order, mut reported) = (seconds(scenario.seconds), 0, 0);
    loop {
        for (index, at, input) in world.drain_inputs() {
            order += 1;
            proxies[index].deliver(at, order, input);
        }
        let next = proxies
            .iter_mut()
            .map(SimulatedProxy::next_event_at)
            .min()
            .unwrap_or(Nanos::MAX)
            .min(world.next_event_at());
        if world.done() || next >= duration + MAX_OVERRUN {
            break;
        }
        let until = next + window;
        let mut busy: Vec<&mut SimulatedProxy> =
            proxies.iter_mut().filter_map(|proxy| has_event_before(proxy, until)).collect();
        if busy.len() * scenario.nodes.count < MIN_PARALLEL_WORK {
            busy.iter_mut().for_each(|proxy| proxy.run_until(until));
        } else {
            busy.par_iter_mut().for_each(|proxy| proxy.run_until(until));
        }
        world.run_until(until);
        for (index, proxy) in proxies.iter_mut().enumerate() {
            for (at, action) in proxy.drain_actions() {
                world.apply(index, at, action);
            }
        }
        if next / SECOND > reported {
            reported = next / SECOND;
            progress((next as f64 / duration as f64).min(1.0));
        }
    }
    progress(1.0);
    Ok(world.finish())
}

/// The proxy, if it has an event before `until`.
fn has_event_before(proxy: &mut SimulatedProxy, until: Nanos) -> Option<&mut SimulatedProxy> {
    (proxy.next_event_at() < until).then_some(proxy)
}
