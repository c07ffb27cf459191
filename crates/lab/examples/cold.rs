//! Prints the table of cold nodes in docs/lab-results.md: the load that all proxies together put on a cold
//! node, as a part of the load at which it crashes, for the worst of ten seeds.
//!
//! `cargo run --release --example cold -- MULTIPLE RATE [DAY]`: MULTIPLE is the load that a node survives,
//! relative to its normal load when warm and scaled by its present capacity (1 is the normal load); RATE is
//! the requests per second of a warm node; DAY is the number of one scenario, from 0, instead of all. There
//! are eight warm nodes, and four more join in the scenario `join`.

use pumicebay_lab::{scenario, virt};
use rayon::prelude::*;
use std::path::Path;

/// Row name, and settings or faults before and after the base scenario.
const SCENARIOS: [(&str, &str, &str); 7] = [
    ("replace", REPLACE, ""),
    ("join", JOIN, ""),
    ("restarts amid", REPLACE, RESTARTS),
    ("one has ten times", "proxies.busiest = 10", REPLACE),
    ("twice as said", "proxies.said = half", REPLACE),
    ("heard late", "", LATE),
    ("all at once", "proxies.busiest = 10\nproxies.said = half", ALL),
];
const REPLACE: &str = "[[fault]]\nkind = \"replace\"\nat = 8\nevery = 3\nnodes = [\"n1..n3\"]";
const JOIN: &str = "[[fault]]\nkind = \"growth\"\nat = 9\nnodes = [\"n9..n12\"]";
const RESTARTS: &str = "[[fault]]\nkind = \"restart_proxies\"\nat = 10\nevery = 0.5";
const LATE: &str = "[[fault]]\nkind = \"discovery_late\"\nat = 8\nlasts = 9\nfactor = 3
    [[fault]]\nkind = \"crash\"\nat = 9\nlasts = 1\nnodes = [\"n1\", \"n2\"]";
const ALL: &str = "[[fault]]\nkind = \"replace\"\nat = 8\nevery = 3\nnodes = [\"n1..n3\"]
    [[fault]]\nkind = \"restart_proxies\"\nat = 10\nevery = 0.5
    [[fault]]\nkind = \"discovery_late\"\nat = 8\nlasts = 9\nfactor = 1";

fn main() {
    let numbers: Vec<f64> = std::env::args().skip(1).filter_map(|arg| arg.parse().ok()).collect();
    let (&[multiple, rate], only) = (&numbers[..2], numbers.get(2).map(|&number| number as usize)) else {
        panic!("expected MULTIPLE RATE [DAY]: two numbers and optionally the number of a scenario");
    };
    println!("| day | 1 | 5 | 20 | 30 | 60 |\n| --- | --- | --- | --- | --- | --- |");
    for (_, (name, before, after)) in
        (0..).zip(SCENARIOS).filter(|(number, _)| only.is_none_or(|only| only == *number))
    {
        print!("| {name} ");
        for proxies in [1, 5, 20, 30, 60] {
            let before = before.replace("half", &(proxies / 2).max(1).to_string());
            let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios/base/cold.toml");
            let base = std::fs::read_to_string(path).expect("a readable scenarios/base/cold.toml");
            let text =
                format!("{}\n{base}\n{}\n{after}", text_of_kind(&before, false), text_of_kind(&before, true));
            let overrides = [
                ("proxies.count", proxies as f64),
                ("clients.rate", 12.0 * rate),
                (
                    "nodes.fall_multiple",
                    multiple * rate * 0.004 / 2.0 * if before == JOIN { 1.5 } else { 1.0 },
                ),
            ];
            let to_text = |(key, value): (&str, f64)| (key.to_string(), value.to_string());
            let scenario = scenario::parse(&text, &overrides.map(to_text)).expect("a valid scenario");
            let run_seed = |seed| {
                let (auditor, tally) =
                    virt::run(&scenario, "pumicebay", seed, &|_| {}).expect("a completed run");
                (
                    auditor.worst_cold_load,
                    auditor.violations_by_rule[4],
                    auditor.uncharged_overloads,
                    tally.cold_node_overloads,
                )
            };
            let runs: Vec<_> = (1..=10u64).into_par_iter().map(run_seed).collect();
            let worst = runs.iter().map(|run| run.0).fold(0.0, f64::max);
            let sum = |part: fn(&(f64, u64, u64, u64)) -> u64| runs.iter().map(part).sum::<u64>();
            print!("| {worst:.2}, {} charged, {} not ", sum(|run| run.1), sum(|run| run.2));
        }
        println!("|");
    }
}

/// The text if it is of the wanted kind, else nothing: TOML tables of faults go after the base, plain keys
/// before it.
fn text_of_kind(text: &str, faults: bool) -> &str {
    if text.starts_with("[[") == faults { text } else { "" }
}
