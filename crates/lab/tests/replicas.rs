//! Real proxies that replicate orders, with faults between and at them.

use pumicebay_lab::replicas::play;
use std::path::Path;
use std::time::Duration;

const LAB: &str = env!("CARGO_BIN_EXE_pumicebay-lab");

/// SEED and SEEDS in the environment: the first, and how many.
#[test]
fn twelve_proxies_agree_after_faults() {
    let set = |name: &str, default: u64| {
        std::env::var(name).ok().and_then(|number| number.parse::<u64>().ok()).unwrap_or(default)
    };
    let first = set("SEED", 1);
    let mut times: Vec<Duration> = Vec::new();
    for seed in first..first + set("SEEDS", 1) {
        let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build().unwrap();
        let outcome = runtime.block_on(play(seed, Path::new(LAB))).unwrap();
        println!(
            "seed {seed}: {} orders, {} requests, agreed after {:.2} s; faults {:?}",
            outcome.orders,
            outcome.requests,
            outcome.agreed_after.as_secs_f64(),
            outcome.faults
        );
        assert_eq!(outcome.wrong, Vec::<String>::new(), "seed {seed}");
        assert!(outcome.requests > 500, "{outcome:?}");
        times.push(outcome.agreed_after);
    }
    times.sort();
    println!("agreed after {:?} (median), {:?} (longest)", times[times.len() / 2], times[times.len() - 1]);
}
