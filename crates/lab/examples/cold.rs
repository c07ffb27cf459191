//! The table of cold nodes in docs/lab-results.md: how much of what a cold node falls by it gets from all proxies
//! together, at the worst of ten seeds. `cargo run --release --example cold -- MULTIPLE RATE [DAY]`: at multiple 1 a node
//! bears what it does of normal work when warm, by the part that it has; the rate is of a warm node, a second, of eight such before four join.

use pumicebay_lab::{scenario, virt};
use rayon::prelude::*;
use std::path::Path;

const DAYS: [(&str, &str, &str); 7] = [
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
    let (&[multiple, rate], only) = (&numbers[..2], numbers.get(2).map(|&day| day as usize)) else {
        panic!("expected MULTIPLE RATE, and a day's number or none");
    };
    println!("| day | 1 | 5 | 20 | 30 | 60 |\n| --- | --- | --- | --- | --- | --- |");
    for (_, (name, first, last)) in (0..).zip(DAYS).filter(|(day, _)| only.is_none_or(|only| only == *day)) {
        print!("| {name} ");
        for proxies in [1, 5, 20, 30, 60] {
            let first = first.replace("half", &(proxies / 2).max(1).to_string());
            let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios/base/cold.toml");
            let base = std::fs::read_to_string(path).expect("the base of cold days");
            let text = format!("{}\n{base}\n{}\n{last}", keys(&first, false), keys(&first, true));
            let set = [
                ("proxies.count", proxies as f64),
                ("clients.rate", 12.0 * rate),
                (
                    "nodes.fall_multiple",
                    multiple * rate * 0.004 / 2.0 * if first == JOIN { 1.5 } else { 1.0 },
                ),
            ];
            let whole = |(key, value): (&str, f64)| (key.to_string(), value.to_string());
            let day = scenario::parse(&text, &set.map(whole)).expect("a sound day");
            let play = |seed| {
                let (auditor, tally) = virt::run(&day, "pumicebay", seed, &|_| {}).expect("a day that plays");
                (
                    auditor.worst_cold_load,
                    auditor.violations_by_rule[4],
                    auditor.uncharged_overloads,
                    tally.cold_node_overloads,
                )
            };
            let played: Vec<_> = (1..=10u64).into_par_iter().map(play).collect();
            let worst = played.iter().map(|day| day.0).fold(0.0, f64::max);
            let sum = |part: fn(&(f64, u64, u64, u64)) -> u64| played.iter().map(part).sum::<u64>();
            print!("| {worst:.2}, {} charged, {} not ", sum(|day| day.1), sum(|day| day.2));
        }
        println!("|");
    }
}

/// The faults of a day stand after all else, its other keys before.
fn keys(text: &str, faults: bool) -> &str {
    if text.starts_with("[[") == faults { text } else { "" }
}
