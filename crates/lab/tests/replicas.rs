//! Real proxies that replicate maintenance orders, with faults of their links, processes and disks.

use pumicebay_lab::replicas::run;
use std::path::Path;
use std::time::Duration;

const LAB: &str = env!("CARGO_BIN_EXE_pumicebay-lab");

/// After the faults all replicas must converge, and no node may get requests while it is out of service. The
/// environment variables SEED and SEEDS give the first seed and the number of seeds, 1 each by default.
#[test]
fn twelve_proxies_converge_after_faults() {
    let variable = |name: &str, default: u64| {
        std::env::var(name).ok().and_then(|number| number.parse::<u64>().ok()).unwrap_or(default)
    };
    let first = variable("SEED", 1);
    let mut times: Vec<Duration> = Vec::new();
    for seed in first..first + variable("SEEDS", 1) {
        let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build().unwrap();
        let outcome = runtime.block_on(run(seed, Path::new(LAB))).unwrap();
        println!(
            "seed {seed}: {} orders, {} requests, converged after {:.2} s; faults {:?}",
            outcome.orders,
            outcome.requests,
            outcome.converged_after.as_secs_f64(),
            outcome.faults
        );
        assert_eq!(outcome.violations, Vec::<String>::new(), "seed {seed}");
        assert!(outcome.requests > 500, "{outcome:?}");
        times.push(outcome.converged_after);
    }
    times.sort();
    println!("converged after {:?} (median), {:?} (longest)", times[times.len() / 2], times[times.len() - 1]);
}
