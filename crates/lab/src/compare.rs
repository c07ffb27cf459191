//! Compares policies in virtual time, or builds on sockets, on the same seeds.

use crate::progress::Progress;
use crate::results::Results;
use crate::stats::Mean;
use crate::{real, virt};
use anyhow::{Result, ensure};
use pumicebay_model::spec::Scenario;
use rayon::prelude::*;
use std::fmt::Write;
use std::path::PathBuf;

/// Runs the scenario with each policy and seed, in parallel on all cores. Returns the results by policy, then
/// by seed, or an error for an unknown policy.
pub fn policies(scenario: &Scenario, policies: &[String], seeds: u64) -> Result<Vec<Vec<Results>>> {
    let pairs: Vec<(usize, u64)> = (0..policies.len())
        .flat_map(|policy| (0..seeds).map(move |seed| (policy, scenario.seed + seed)))
        .collect();
    let progress = Progress::new(&scenario.name, pairs.len());
    let played: Result<Vec<Results>> = pairs
        .par_iter()
        .map(|&(policy, seed)| {
            let results = virt::play(scenario, &policies[policy], seed, &|_| {});
            progress.finish_run();
            results
        })
        .collect();
    let mut played = played?.into_iter();
    Ok(policies.iter().map(|_| played.by_ref().take(seeds as usize).collect()).collect())
}

/// Runs the scenario on sockets with each build and seed, one run at a time. `self` is the lab's own build. A
/// path with the suffix `+fleet` runs its proxies as a fleet, one with `+replication` as a fleet that also
/// replicates. Returns an error for a fleet of fewer than three proxies, or if a run fails.
pub fn builds(scenario: &Scenario, proxies: &[String], seeds: u64) -> Result<Vec<Vec<Results>>> {
    let progress = Progress::new(&scenario.name, proxies.len() * seeds as usize);
    let mut runs: Vec<Vec<Results>> = proxies.iter().map(|_| Vec::new()).collect();
    // Seed by seed, so that other load on the machine affects all builds alike.
    for seed in 0..seeds {
        for (proxy, played) in proxies.iter().zip(&mut runs) {
            let (proxy, replication) = match proxy.strip_suffix("+replication") {
                Some(proxy) => (proxy, true),
                None => (proxy.as_str(), scenario.proxies.replication),
            };
            let (proxy, fleet) = match proxy.strip_suffix("+fleet") {
                Some(proxy) => (proxy, true),
                None => (proxy, scenario.proxies.fleet || replication),
            };
            let path = (proxy != "self").then(|| PathBuf::from(proxy));
            let mut build_scenario = scenario.clone();
            (build_scenario.proxies.fleet, build_scenario.proxies.replication) = (fleet, replication);
            ensure!(!fleet || build_scenario.proxies.count >= 3, "+fleet: expected 3 or more proxies");
            played.push(real::play(&build_scenario, scenario.seed + seed, path.as_ref(), &|_| {})?);
            progress.finish_run();
        }
    }
    Ok(runs)
}

/// A Markdown table with a row for each policy or build: its figures, and the mean gain of the first one over
/// it, paired by seed.
pub fn table(policies: &[String], runs: &[Vec<Results>]) -> String {
    let mut text = String::new();
    let first = &policies[0];
    let _ = writeln!(
        text,
        "| policy | payoff | worst 10 s | hit rate | origin/s | tries | p50, p99 ms | {first} gains (95%) | rules broken |"
    );
    let _ = writeln!(text, "| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for (name, played) in policies.iter().zip(runs) {
        let mean =
            |figure: fn(&Results) -> f64| Mean::of(&played.iter().map(figure).collect::<Vec<_>>()).mean;
        let shares = |played: &[Results]| played.iter().map(|run| run.share).collect::<Vec<f64>>();
        let gain = Mean::paired(&shares(&runs[0]), &shares(played));
        let broken: Vec<String> = (1..5)
            .chain([0])
            .filter_map(|rule: usize| {
                let count: u64 = played.iter().map(|run| run.violations_by_rule[rule]).sum();
                (count > 0).then(|| format!("{rule}: {count}x"))
            })
            .collect();
        let gain = if std::ptr::eq(played, &runs[0]) {
            "-".to_string()
        } else {
            format!("{:+.4} ±{:.4}", gain.mean, gain.half_width)
        };
        // The mean of a figure, and the median over the seeds of its ratio to the same figure of the first
        // policy. Used for the latency of the first route only.
        let with_ratio = |figure: fn(&Results) -> f64| {
            let mut ratios: Vec<f64> =
                played.iter().zip(&runs[0]).map(|(run, first)| figure(run) / figure(first)).collect();
            ratios.sort_by(f64::total_cmp);
            format!("{:.2} (x{:.3})", mean(figure), ratios.get(ratios.len() / 2).copied().unwrap_or(f64::NAN))
        };
        let latency = format!(
            "{}, {}",
            with_ratio(|run| run.latency[0].p50_ms),
            with_ratio(|run| run.latency[0].p99_ms)
        );
        let _ = writeln!(
            text,
            "| {name} | {:.3} | {:.3} | {:.3} | {:.1} | {:.3} | {latency} | {gain} | {} |",
            mean(|run| run.share),
            mean(|run| run.worst_ten_seconds),
            mean(|run| run.hit_rate),
            mean(|run| run.fetches_per_second),
            mean(|run| run.attempts_per_request),
            if broken.is_empty() { "none".to_string() } else { broken.join(", ") },
        );
    }
    text
}
