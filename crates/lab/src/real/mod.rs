//! A day on loopback sockets in real time: real proxies, each a process of its own, and stand-ins for all
//! else, which behave as the model does.

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

/// What times may be off by on a busy machine, for the auditor.
const SLACK: f64 = 50.0;
/// The most that a day may ask of sockets; beyond it use virtual time.
const MOST_NODES: usize = 4096;
const MOST_PROXIES: usize = 1024;
/// How late the load generator may be, for one in a hundred wishes, before the run is not usable.
pub const LATE_MS: f64 = 20.0;
/// From when all is ready until the day begins.
const BEFORE: Duration = Duration::from_millis(300);

/// Plays the day with this program as proxy, or with the lab's own copy of it.
pub fn play(
    day: &Scenario,
    seed: u64,
    proxy: Option<&PathBuf>,
    progress: &(dyn Fn(f64) + Sync),
) -> Result<Results> {
    ensure!(day.nodes.count <= MOST_NODES, "nodes.count: at most {MOST_NODES} on sockets");
    ensure!(day.proxies.count <= MOST_PROXIES, "proxies.count: at most {MOST_PROXIES} on sockets");
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    let results = runtime.block_on(async {
        let signal = signals()?;
        tokio::select! {
            results = whole(day, seed, proxy, progress) => results,
            // What was started ends with the future that holds it.
            signal = signal => Err(signal),
        }
    });
    runtime.shutdown_timeout(Duration::from_secs(1));
    results
}

/// Heard from this call on; the future ends with the first signal.
fn signals() -> Result<impl Future<Output = anyhow::Error>> {
    use tokio::signal::unix::{SignalKind, signal};
    let (mut term, mut int) = (signal(SignalKind::terminate())?, signal(SignalKind::interrupt())?);
    Ok(async move {
        tokio::select! { _ = term.recv() => {} _ = int.recv() => {} }
        anyhow::anyhow!("interrupted: the day is over, its processes are ended")
    })
}

async fn whole(
    day: &Scenario,
    seed: u64,
    proxy: Option<&PathBuf>,
    progress: &(dyn Fn(f64) + Sync),
) -> Result<Results> {
    let fleet = Fleet::start(day, seed).await.context("stand-ins")?;
    let mut proxies = Proxies::start(day, seed, proxy, &fleet).await?;
    sleep(BEFORE).await;
    fleet.begin();
    let load = load::start(day, seed, fleet.clone(), proxies.addresses());
    tokio::pin!(load);
    let mut changes = timeline(day).into_iter().peekable();
    let mut told = 0;
    let late = loop {
        let now = fleet.now();
        let due = changes.peek().map_or(Nanos::MAX, |(at, _)| *at);
        let wait = due.saturating_sub(now).min(millis(100.0));
        tokio::select! {
            late = &mut load => break late?,
            () = sleep(Duration::from_nanos(wait)) => {}
        }
        while let Some((_, change)) = changes.next_if(|(at, _)| *at <= fleet.now()) {
            match change {
                WorldChange::Kill(number) => proxies.kill(number, &fleet).await,
                change => fleet.changes(change).await,
            }
        }
        proxies.look_after(&fleet).await;
        if now / 1_000_000_000 > told {
            told = now / 1_000_000_000;
            progress((now as f64 / seconds(day.seconds) as f64).min(1.0));
        }
    };
    let mut notes = proxies.stop().await;
    // What nodes still have to say comes within the longest overall timeout.
    let _ = timeout(Duration::from_secs(2), fleet.quiet()).await;
    let (auditor, tally) = fleet.end();
    let mut results = finish(auditor, &tally, seed);
    results.usable = late.p99_ms <= LATE_MS && notes.iter().all(|note| !note.starts_with("p"));
    if late.p99_ms > LATE_MS {
        notes.push(format!(
            "the load generator was late: {:.1} ms for one wish in a hundred, at most {LATE_MS} ms is usable",
            late.p99_ms
        ));
    }
    results.notes = notes;
    Ok(results)
}

fn finish(mut auditor: Auditor, tally: &RunMetrics, seed: u64) -> Results {
    auditor.finish();
    tally.results("pumicebay", "real", seed, &auditor)
}

/// The auditor's slack on sockets.
pub fn slack() -> Nanos {
    millis(SLACK)
}

pub type SharedFleet = Arc<Fleet>;
