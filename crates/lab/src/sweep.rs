//! A scenario over a grid of settings.

use crate::progress::Progress;
use crate::results::Results;
use crate::scenario::ScenarioSource;
use crate::stats::Mean;
use crate::virt;
use anyhow::{Context, Result, ensure};
use pumicebay_model::spec::Scenario;
use rayon::prelude::*;
use std::fmt::Write;

/// Points of a grid that are played at most.
const MAX_POINTS: usize = 400;

/// One place in the grid, and its days by seed.
pub struct Point {
    pub set: Vec<(String, String)>,
    pub runs: Vec<Results>,
}

impl Point {
    pub fn mean(&self, figure: fn(&Results) -> f64) -> Mean {
        Mean::of(&self.runs.iter().map(figure).collect::<Vec<_>>())
    }

    pub fn name(&self) -> String {
        let pairs = self.set.iter().map(|(key, value)| format!("{key}={value}"));
        pairs.collect::<Vec<_>>().join(" ")
    }
}

/// Every combination of the values, the last key's changing first.
pub fn grid(set: &[(String, Vec<String>)]) -> Vec<Vec<(String, String)>> {
    set.iter().fold(vec![Vec::new()], |points, (key, values)| {
        let with = |point: &Vec<(String, String)>, value: &String| {
            point.iter().cloned().chain([(key.clone(), value.clone())]).collect()
        };
        points.iter().flat_map(|point| values.iter().map(move |value| with(point, value))).collect()
    })
}

pub fn play(
    text: &ScenarioSource,
    set: &[(String, Vec<String>)],
    policy: &str,
    seeds: u64,
    seed: Option<u64>,
) -> Result<Vec<Point>> {
    let grid = grid(set);
    ensure!(grid.len() <= MAX_POINTS, "--set: {} points, at most {MAX_POINTS}", grid.len());
    // All are checked before the first is played.
    let scenarios: Result<Vec<Scenario>> =
        grid.iter().map(|set| text.scenario(set).with_context(|| format!("with {set:?}"))).collect();
    let scenarios = scenarios?;
    let progress = Progress::new("sweep", scenarios.len() * seeds as usize);
    let run_one = |scenario: &Scenario, number: u64| {
        let results = virt::play(scenario, policy, seed.unwrap_or(scenario.seed) + number, &|_| {});
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
