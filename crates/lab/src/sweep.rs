//! Runs a scenario over a grid of settings.

use crate::progress::Progress;
use crate::results::Results;
use crate::scenario::ScenarioSource;
use crate::stats::Mean;
use crate::virt;
use anyhow::{Context, Result, ensure};
use pumicebay_model::spec::Scenario;
use rayon::prelude::*;
use std::fmt::Write;

/// The maximum number of points of a grid.
const MAX_POINTS: usize = 400;

/// One point of the grid, with its runs by seed.
pub struct Point {
    pub set: Vec<(String, String)>,
    pub runs: Vec<Results>,
}

impl Point {
    /// The mean of a figure over the seeds.
    pub fn mean(&self, figure: fn(&Results) -> f64) -> Mean {
        Mean::of(&self.runs.iter().map(figure).collect::<Vec<_>>())
    }

    /// The settings of the point as `KEY=VALUE`, separated by spaces.
    pub fn name(&self) -> String {
        let pairs = self.set.iter().map(|(key, value)| format!("{key}={value}"));
        pairs.collect::<Vec<_>>().join(" ")
    }
}

/// Every combination of the values; the value of the last key changes fastest.
pub fn grid(set: &[(String, Vec<String>)]) -> Vec<Vec<(String, String)>> {
    set.iter().fold(vec![Vec::new()], |points, (key, values)| {
        let with = |point: &Vec<(String, String)>, value: &String| {
            point.iter().cloned().chain([(key.clone(), value.clone())]).collect()
        };
        points.iter().flat_map(|point| values.iter().map(move |value| with(point, value))).collect()
    })
}

/// Runs the scenario at every point of the grid with `seeds` seeds, from `seed` or else from the seed of the
/// scenario. Returns an error if the grid has too many points or a point is no valid scenario.
pub fn play(
    text: &ScenarioSource,
    set: &[(String, Vec<String>)],
    policy: &str,
    seeds: u64,
    seed: Option<u64>,
) -> Result<Vec<Point>> {
    let grid = grid(set);
    ensure!(grid.len() <= MAX_POINTS, "--set: {} points, expected at most {MAX_POINTS}", grid.len());
    // All points are checked before the first run.
    let scenarios: Result<Vec<Scenario>> =
        grid.iter().map(|set| text.scenario(set).with_context(|| format!("with {set:?}"))).collect();
    let scenarios = scenarios?;
    let progress = Progress::new("sweep", scenarios.len() * seeds as usize);
    let run_one = |scenario: &Scenario, seed_offset: u64| {
        let results = virt::play(scenario, policy, seed.unwrap_or(scenario.seed) + seed_offset, &|_| {});
        progress.finish_run();
        results
    };
    let pairs: Vec<(usize, u64)> =
        (0..scenarios.len()).flat_map(|at| (0..seeds).map(move |seed| (at, seed))).collect();
    let played: Result<Vec<Results>> =
        pairs.par_iter().map(|&(at, seed)| run_one(&scenarios[at], seed)).collect();
    let mut played = played?.into_iter();
    let points = grid.into_iter();
    Ok(points.map(|set| Point { set, runs: played.by_ref().take(seeds as usize).collect() }).collect())
}

/// A Markdown table with a row for each point.
pub fn table(points: &[Point]) -> String {
    let mut text = String::new();
    let _ = writeln!(text, "| set | payoff (95%) | worst 10 s | hit rate | origin/s | shed | rules broken |");
    let _ = writeln!(text, "| --- | --- | --- | --- | --- | --- | --- |");
    for point in points {
        let share = point.mean(|run| run.share);
        let broken: u64 = point.runs.iter().flat_map(|run| run.violations_by_rule).sum();
        let _ = writeln!(
            text,
            "| {} | {:.3} ±{:.3} | {:.3} | {:.3} | {:.1} | {:.3} | {broken} |",
            point.name(),
            share.mean,
            share.half_width,
            point.mean(|run| run.worst_ten_seconds).mean,
            point.mean(|run| run.hit_rate).mean,
            point.mean(|run| run.fetches_per_second).mean,
            point.mean(|run| run.shed).mean,
        );
    }
    text
}
