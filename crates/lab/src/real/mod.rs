//! Plays a scenario in real time on loopback sockets: real proxies, each in its own process, and stand-ins
//! for cache nodes, origin and discovery, which behave as the simulation model does.

pub mod fleet;
pub mod http;
pub mod load;
pub mod process;
pub mod stand_ins;

use crate::audit::Auditor;
use crate::metrics::RunMetrics;
use crate::results::Results;
use anyhow::{Context, Result, ensure};
use fleet::Fleet;
use process::Proxies;
use pumicebay_model::faults::{WorldChange, timeline};
use pumicebay_model::spec::Scenario;
use pumicebay_model::{Nanos, millis, seconds};
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// Timing error, in milliseconds, that the auditor tolerates on a busy machine.
const AUDIT_SLACK_MS: f64 = 50.0;
/// Most nodes of a scenario on sockets; larger ones need virtual time.
const MAX_NODES: usize = 4096;
/// Most proxies of a scenario on sockets; larger ones need virtual time.
const MAX_PROXIES: usize = 1024;
/// Limit, in milliseconds, for the 99th percentile of the load generator's lateness. Beyond it the run is not
/// usable.
pub const MAX_LATENESS_MS: f64 = 20.0;
/// Pause between the readiness of all processes and the scenario's begin.
const START_DELAY: Duration = Duration::from_millis(300);

/// Plays the scenario with this program as proxy, or with this executable's own `serve` command. Fails when
/// the scenario is too large for sockets, a process does not start, or a signal interrupts the run.
pub fn play(
    scenario: &Scenario,
    seed: u64,
    proxy: Option<&PathBuf>,
    progress: &(dyn Fn(f64) + Sync),
) -> Result<Results> {
    ensure!(scenario.nodes.count <= MAX_NODES, "nodes.count: at most {MAX_NODES} on sockets");
    ensure!(scenario.proxies.count <= MAX_PROXIES, "proxies.count: at most {MAX_PROXIES} on sockets");
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    let results = runtime.block_on(async {
        let signal = termination_signal()?;
        tokio::select! {
            results = run(scenario, seed, proxy, progress) => results,
            // Dropping the run's future ends its processes.
            signal = signal => Err(signal),
        }
    });
    runtime.shutdown_timeout(Duration::from_secs(1));
    results
}

/// Handles SIGTERM and SIGINT from this call on; the future resolves at the first signal.
fn termination_signal() -> Result<impl Future<Output = anyhow::Error>> {
    use tokio::signal::unix::{SignalKind, signal};
    let (mut term, mut int) = (signal(SignalKind::terminate())?, signal(SignalKind::interrupt())?);
    Ok(async move {
        tokio::select! { _ = term.recv() => {} _ = int.recv() => {} }
        anyhow::anyhow!("interrupted by a signal: the run was aborted and its proxies were stopped")
    })
}

/// Starts stand-ins, proxies and load, applies the timeline, and collects the results.
async fn run(
    scenario: &Scenario,
    seed: u64,
    proxy: Option<&PathBuf>,
    progress: &(dyn Fn(f64) + Sync),
) -> Result<Results> {
    let fleet = Fleet::start(scenario, seed).await.context("cannot start the stand-ins")?;
    let mut proxies = Proxies::start(scenario, seed, proxy, &fleet).await?;
    sleep(START_DELAY).await;
    fleet.begin();
    let load = load::start(scenario, seed, fleet.clone(), proxies.addresses());
    tokio::pin!(load);
    let mut changes = timeline(scenario).into_iter().peekable();
    let mut reported_second = 0;
    let lateness = loop {
        let now = fleet.now();
        let due = changes.peek().map_or(Nanos::MAX, |(at, _)| *at);
        let wait = due.saturating_sub(now).min(millis(100.0));
        tokio::select! {
            lateness = &mut load => break lateness?,
            () = sleep(Duration::from_nanos(wait)) => {}
        }
        while let Some((_, change)) = changes.next_if(|(at, _)| *at <= fleet.now()) {
            match change {
                WorldChange::Kill(number) => proxies.kill(number, &fleet).await,
                change => fleet.apply_change(change).await,
            }
        }
        proxies.supervise(&fleet).await;
        if now / 1_000_000_000 > reported_second {
            reported_second = now / 1_000_000_000;
            progress((now as f64 / seconds(scenario.seconds) as f64).min(1.0));
        }
    };
    let mut notes = proxies.stop().await;
    // Outstanding jobs end within the longest overall timeout.
    let _ = timeout(Duration::from_secs(2), fleet.wait_until_idle()).await;
    let (auditor, tally) = fleet.finish();
    let mut results = collect_results(auditor, &tally, seed);
    results.usable = lateness.p99_ms <= MAX_LATENESS_MS && notes.iter().all(|note| !note.starts_with("p"));
    if lateness.p99_ms > MAX_LATENESS_MS {
        notes.push(format!(
            "the load generator was late: {:.1} ms for one operation in a hundred, at most {MAX_LATENESS_MS} ms is usable",
            lateness.p99_ms
        ));
    }
    results.notes = notes;
    Ok(results)
}

/// Audits what is left and computes the results.
fn collect_results(mut auditor: Auditor, tally: &RunMetrics, seed: u64) -> Results {
    auditor.finish();
    tally.results("pumicebay", "real", seed, &auditor)
}

/// The auditor's tolerance for timing errors on sockets.
pub fn slack() -> Nanos {
    millis(AUDIT_SLACK_MS)
}

/// The stand-ins, shared between the tasks of a run.
pub type SharedFleet = Arc<Fleet>;
