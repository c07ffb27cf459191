//! Searches for the run on which a policy loses most: draws random values from the scenario's ranges and
//! random faults of all kinds, keeps the worst run, and removes the changes that do not contribute to its
//! loss.

use crate::progress::Progress;
use crate::results::Results;
use crate::scenario::{ScenarioSource, set_value};
use crate::virt;
use anyhow::{Context, Result};
use pumicebay_model::seeds::{Rng, rng};
use pumicebay_model::spec::Scenario;
use rand::RngExt;
use rayon::prelude::*;
use toml::{Table, Value};

/// The maximum number of faults drawn for a run.
const MAX_FAULTS: usize = 3;
/// A change is removed if at least this share of the loss remains without it.
const MIN_RETAINED_LOSS: f64 = 0.9;
/// The fault kinds that are drawn, and whether each one targets nodes.
const FAULT_KINDS: &[(&str, bool)] = &[
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

/// The reduced scenario with the largest loss that was found.
pub struct WorstCase {
    /// The scenario as TOML.
    pub text: String,
    pub results: Results,
    /// The payoff share that the run loses to its faults; 1 more if it breaks a rule.
    pub loss: f64,
    /// The loss before the reduction.
    pub unreduced_loss: f64,
    /// The number of changes before and after the reduction.
    pub changes: (usize, usize),
}

/// One random change to the scenario: a fault, or the value of a key.
#[derive(Clone, Debug)]
enum Mutation {
    Fault(Table),
    Set(String, f64),
}

/// The loss of a run: the payoff share of the same run without faults, less its own; 1 more if it breaks a
/// rule.
fn loss(scenario: &Scenario, policy: &str) -> Result<(f64, Results)> {
    let results = virt::play(scenario, policy, scenario.seed, &|_| {})?;
    let faultless = Scenario { fault: Vec::new(), ..scenario.clone() };
    let faultless = virt::play(&faultless, policy, scenario.seed, &|_| {})?;
    let penalty = if results.rules_kept() { 0.0 } else { 1.0 };
    Ok((faultless.share - results.share + penalty, results))
}

/// Plays `runs` random variants and reduces the worst. `seed` replaces the seed of the scenario. Returns an
/// error for no runs, an unknown policy, or a range whose key does not exist.
pub fn hunt(text: &ScenarioSource, policy: &str, runs: u64, seed: Option<u64>) -> Result<WorstCase> {
    let tree = text.tree()?;
    let scenario = text.check(tree.clone())?;
    let seed = seed.unwrap_or(scenario.seed);
    let progress = Progress::new("hunt", runs as usize);
    let run_one = |run: u64| {
        let mutations = draw_mutations(&scenario, &mut rng(seed, "hunt", run));
        let played =
            build_scenario(text, &tree, &mutations, seed + run).and_then(|scenario| loss(&scenario, policy));
        progress.finish_run();
        played.map(|(loss, _)| (loss, run, mutations))
    };
    let played: Result<Vec<(f64, u64, Vec<Mutation>)>> = (0..runs).into_par_iter().map(run_one).collect();
    let worst = played?.into_iter().max_by(|one, other| one.0.total_cmp(&other.0).then(other.1.cmp(&one.1)));
    let (unreduced_loss, run, mut mutations) = worst.context("--runs: expected 1 or more")?;
    let unreduced_count = mutations.len();
    // Removes one change after another, as long as most of the loss remains.
    let mut index = 0;
    while index < mutations.len() && unreduced_loss > 0.0 {
        let mut reduced = mutations.clone();
        reduced.remove(index);
        let (reduced_loss, _) = loss(&build_scenario(text, &tree, &reduced, seed + run)?, policy)?;
        if reduced_loss >= MIN_RETAINED_LOSS * unreduced_loss {
            mutations = reduced;
        } else {
            index += 1;
        }
    }
    let found = build_scenario(text, &tree, &mutations, seed + run)?;
    let (loss, results) = loss(&found, policy)?;
    let text = toml::to_string(&apply(&tree, &mutations, seed + run)?)?;
    Ok(WorstCase { text, results, loss, unreduced_loss, changes: (unreduced_count, mutations.len()) })
}

fn draw_mutations(scenario: &Scenario, rng: &mut Rng) -> Vec<Mutation> {
    let mut mutations = Vec::new();
    for (key, &(min, max)) in &scenario.ranges {
        mutations.push(Mutation::Set(key.clone(), rng.random_range(min..=max.max(min))));
    }
    for _ in 0..rng.random_range(1..=MAX_FAULTS) {
        let (kind, targets_nodes) = FAULT_KINDS[rng.random_range(0..FAULT_KINDS.len())];
        let mut fault = Table::new();
        let earliest = scenario.warm_up_seconds + 2.0;
        let at = rng.random_range(earliest.min(scenario.seconds * 0.5)..=scenario.seconds * 0.7);
        fault.insert("kind".into(), Value::String(kind.into()));
        let mut number = |key: &str, value: f64| {
            fault.insert(key.into(), Value::Float((value * 100.0).round() / 100.0));
        };
        number("at", at);
        number("lasts", rng.random_range(1.0..=(scenario.seconds * 0.4).max(2.0)));
        number("factor", rng.random_range(1.5..=8.0));
        number("share", rng.random_range(0.1..=0.9));
        number("every", rng.random_range(0.5..=3.0));
        if targets_nodes {
            let count = rng.random_range(1..=(scenario.nodes.count / 2).max(1));
            let first = rng.random_range(1..=scenario.nodes.count - count + 1);
            let name = Value::String(format!("n{first}..n{}", first + count - 1));
            fault.insert("nodes".into(), Value::Array(vec![name]));
        }
        mutations.push(Mutation::Fault(fault));
    }
    mutations
}

/// The scenario's tree with these changes and this seed. Its base is merged already.
fn apply(tree: &Value, mutations: &[Mutation], seed: u64) -> Result<Value> {
    let mut tree = tree.clone();
    let faults = mutations.iter().filter_map(|mutation| match mutation {
        Mutation::Fault(fault) => Some(Value::Table(fault.clone())),
        Mutation::Set(..) => None,
    });
    let faults: Vec<Value> = faults.collect();
    for mutation in mutations {
        if let Mutation::Set(key, value) = mutation {
            // Integer keys keep integer values.
            let is_integer = matches!(value_at(&tree, key), Some(Value::Integer(_)));
            let value = if is_integer { format!("{}", value.round() as i64) } else { format!("{value:?}") };
            set_value(&mut tree, key, &value).with_context(|| format!("ranges: {key}"))?;
        }
    }
    let table = tree.as_table_mut().context("a scenario is a table")?;
    table.insert("fault".into(), Value::Array(faults));
    table.insert("seed".into(), Value::Integer(i64::try_from(seed).unwrap_or(0)));
    table.remove("base");
    table.remove("ranges");
    Ok(tree)
}

fn value_at<'a>(tree: &'a Value, key: &str) -> Option<&'a Value> {
    key.split('.').try_fold(tree, |at, part| match at {
        Value::Array(list) => list.get(part.parse::<usize>().ok()?),
        _ => at.get(part),
    })
}

fn build_scenario(
    text: &ScenarioSource,
    tree: &Value,
    mutations: &[Mutation],
    seed: u64,
) -> Result<Scenario> {
    text.check(apply(tree, mutations, seed)?)
}
