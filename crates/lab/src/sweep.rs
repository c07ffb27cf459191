//! A scenario over a grid of settings.

use crate::progress::Progress;
use crate::results::Results;
use crate::scenario::Text;
use crate::stats::Mean;
use crate::virt;
use anyhow::{Context, Result, ensure};
use pumicebay_model::spec::Scenario;
use rayon::prelude::*;
use std::fmt::Write;

/// Points of a grid that are played at most.
const MOST: usize = 400;

/// One place in the grid, and its days by seed.
pub struct Point {
    pub set: Vec<(String, String)>,
    pub days: Vec<Results>,
}

impl Point {
    pub fn mean(&self, figure: fn(&Results) -> f64) -> Mean {
        Mean::of(&self.days.iter().map(figure).collect::<Vec<_>>())
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
    text: &Text,
    set: &[(String, Vec<String>)],
    policy: &str,
    seeds: u64,
    seed: Option<u64>,
) -> Result<Vec<Point>> {
    let grid = grid(set);
    ensure!(grid.len() <= MOST, "--set: {} points, at most {MOST}", grid.len());
    // All are checked before the first is played.
    let days: Result<Vec<Scenario>> =
        grid.iter().map(|set| text.scenario(set).with_context(|| format!("with {set:?}"))).collect();
    let days = days?;
    let progress = Progress::new("sweep", days.len() * seeds as usize);
    let one = |day: &Scenario, number: u64| {
        let results = virt::play(day, policy, seed.unwrap_or(day.seed) + number, &|_| {});
        progress.step();
        results
    };
    let pairs: Vec<(usize, u64)> =
        (0..days.len()).flat_map(|at| (0..seeds).map(move |seed| (at, seed))).collect();
    let played: Result<Vec<Results>> = pairs.par_iter().map(|&(at, seed)| one(&days[at], seed)).collect();
    let mut played = played?.into_iter();
    let points = grid.into_iter();
    Ok(points.map(|set| Point { set, days: played.by_ref().take(seeds as usize).collect() }).collect())
}

pub fn table(points: &[Point]) -> String {
    let mut text = String::new();
    let _ = writeln!(text, "| set | payoff (95%) | worst 10 s | hit rate | origin/s | shed | rules broken |");
    let _ = writeln!(text, "| --- | --- | --- | --- | --- | --- | --- |");
    for point in points {
        let share = point.mean(|day| day.share);
        let broken: u64 = point.days.iter().flat_map(|day| day.rules_broken).sum();
        let _ = writeln!(
            text,
            "| {} | {:.3} ±{:.3} | {:.3} | {:.3} | {:.1} | {:.3} | {broken} |",
            point.name(),
            share.mean,
            share.half,
            point.mean(|day| day.worst_ten_seconds).mean,
            point.mean(|day| day.hit_rate).mean,
            point.mean(|day| day.fetches_per_second).mean,
            point.mean(|day| day.shed).mean,
        );
    }
    text
}
