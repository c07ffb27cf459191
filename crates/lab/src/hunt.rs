//! Looks for the day on which a policy loses most: draws days from the scenario's ranges with faults of all
//! kinds, keeps the worst, and takes away what does not matter.

use crate::progress::Progress;
use crate::results::Results;
use crate::scenario::{Text, put};
use crate::virt;
use anyhow::{Context, Result};
use pumicebay_model::seeds::{Rng, rng};
use pumicebay_model::spec::Scenario;
use rand::RngExt;
use rayon::prelude::*;
use toml::{Table, Value};

/// Faults that are drawn for a day, at most.
const FAULTS: usize = 3;
/// What may go while this part of the loss stays.
const STAYS: f64 = 0.9;
/// Kinds that are drawn, and whether each befalls nodes.
const KINDS: &[(&str, bool)] = &[
    ("crash", true),
    ("slow", true),
    ("stall", true),
    ("flap", true),
    ("errors", true),
    ("spoilt", true),
    ("refuse", true),
    ("silent", true),
    ("drain", true),
    ("replace", true),
    ("origin_slow", false),
    ("origin_stop", false),
    ("void", false),
    ("scan", false),
    ("hot_key", false),
    ("burst", false),
    ("kill_proxy", false),
    ("restart_proxies", false),
    ("discovery_silent", false),
    ("discovery_late", false),
    ("discovery_stale", true),
    ("partition", true),
];

/// A day that was found, as text, with its results and what it loses without its faults.
pub struct Found {
    pub text: String,
    pub results: Results,
    pub loss: f64,
    /// What it lost before it was cut down, and how many changes it had.
    pub whole_loss: f64,
    pub changes: (usize, usize),
}

/// One change of a drawn day: a fault, or a key's value.
#[derive(Clone, Debug)]
enum Draw {
    Fault(Table),
    Set(String, f64),
}

/// What a day loses: payoff that the same day keeps where nothing goes wrong; a broken rule is all of it.
fn loss(day: &Scenario, policy: &str) -> Result<(f64, Results)> {
    let results = virt::play(day, policy, day.seed, &|_| {})?;
    let calm = Scenario { fault: Vec::new(), ..day.clone() };
    let calm = virt::play(&calm, policy, day.seed, &|_| {})?;
    let broken = if results.rules_kept() { 0.0 } else { 1.0 };
    Ok((calm.share - results.share + broken, results))
}

pub fn hunt(text: &Text, policy: &str, runs: u64, seed: Option<u64>) -> Result<Found> {
    let tree = text.tree()?;
    let day = text.check(tree.clone())?;
    let seed = seed.unwrap_or(day.seed);
    let progress = Progress::new("hunt", runs as usize);
    let one = |run: u64| {
        let draws = draw(&day, &mut rng(seed, "hunt", run));
        let played = build(text, &tree, &draws, seed + run).and_then(|day| loss(&day, policy));
        progress.step();
        played.map(|(loss, _)| (loss, run, draws))
    };
    let played: Result<Vec<(f64, u64, Vec<Draw>)>> = (0..runs).into_par_iter().map(one).collect();
    let worst = played?.into_iter().max_by(|one, other| one.0.total_cmp(&other.0).then(other.1.cmp(&one.1)));
    let (whole_loss, run, mut draws) = worst.context("--runs: expected 1 or more")?;
    let before = draws.len();
    // One after another is taken away, as long as most of the loss stays.
    let mut place = 0;
    while place < draws.len() && whole_loss > 0.0 {
        let mut fewer = draws.clone();
        fewer.remove(place);
        let (less, _) = loss(&build(text, &tree, &fewer, seed + run)?, policy)?;
        if less >= STAYS * whole_loss {
            draws = fewer;
        } else {
            place += 1;
        }
    }
    let found = build(text, &tree, &draws, seed + run)?;
    let (loss, results) = loss(&found, policy)?;
    let text = toml::to_string(&tree_of(&tree, &draws, seed + run)?)?;
    Ok(Found { text, results, loss, whole_loss, changes: (before, draws.len()) })
}

fn draw(day: &Scenario, rng: &mut Rng) -> Vec<Draw> {
    let mut draws = Vec::new();
    for (key, &(least, most)) in &day.ranges {
        draws.push(Draw::Set(key.clone(), rng.random_range(least..=most.max(least))));
    }
    for _ in 0..rng.random_range(1..=FAULTS) {
        let (kind, nodes) = KINDS[rng.random_range(0..KINDS.len())];
        let mut fault = Table::new();
        let from = day.warm_up_seconds + 2.0;
        let at = rng.random_range(from.min(day.seconds * 0.5)..=day.seconds * 0.7);
        fault.insert("kind".into(), Value::String(kind.into()));
        let mut number = |key: &str, value: f64| {
            fault.insert(key.into(), Value::Float((value * 100.0).round() / 100.0));
        };
        number("at", at);
        number("lasts", rng.random_range(1.0..=(day.seconds * 0.4).max(2.0)));
        number("factor", rng.random_range(1.5..=8.0));
        number("share", rng.random_range(0.1..=0.9));
        number("every", rng.random_range(0.5..=3.0));
        if nodes {
            let count = rng.random_range(1..=(day.nodes.count / 2).max(1));
            let first = rng.random_range(1..=day.nodes.count - count + 1);
            let name = Value::String(format!("n{first}..n{}", first + count - 1));
            fault.insert("nodes".into(), Value::Array(vec![name]));
        }
        draws.push(Draw::Fault(fault));
    }
    draws
}

fn tree_of(tree: &Value, draws: &[Draw], seed: u64) -> Result<Value> {
    let mut tree = tree.clone();
    let faults = draws.iter().filter_map(|draw| match draw {
        Draw::Fault(fault) => Some(Value::Table(fault.clone())),
        Draw::Set(..) => None,
    });
    let faults: Vec<Value> = faults.collect();
    for draw in draws {
        if let Draw::Set(key, value) = draw {
            // Counts stay whole.
            let whole = matches!(find(&tree, key), Some(Value::Integer(_)));
            let value = if whole { format!("{}", value.round() as i64) } else { format!("{value:?}") };
            put(&mut tree, key, &value).with_context(|| format!("ranges: {key}"))?;
        }
    }
    let table = tree.as_table_mut().context("a scenario is a table")?;
    table.insert("fault".into(), Value::Array(faults));
    table.insert("seed".into(), Value::Integer(i64::try_from(seed).unwrap_or(0)));
    table.remove("base");
    table.remove("ranges");
    Ok(tree)
}

fn find<'a>(tree: &'a Value, key: &str) -> Option<&'a Value> {
    key.split('.').try_fold(tree, |at, part| match at {
        Value::Array(list) => list.get(part.parse::<usize>().ok()?),
        _ => at.get(part),
    })
}

fn build(text: &Text, tree: &Value, draws: &[Draw], seed: u64) -> Result<Scenario> {
    text.check(tree_of(tree, draws, seed)?)
}
