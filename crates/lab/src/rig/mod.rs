//! The test rig: runs several processes of the program on loopback as one fleet. Each directed link between
//! two processes passes through a relay that can inject faults. Faults come from a written timeline or are
//! drawn from a seed. A recorder outside the processes notes by a single clock which of them acted under
//! which lease, and when.
//!
//! | file | purpose |
//! | --- | --- |
//! | `plan.rs` | size of the fleet and its faults, read from a file or drawn from a seed |
//! | `relay.rs` | a TCP relay that drops, delays, slows or cuts what passes |
//! | `processes.rs` | starts, supervises and stops the processes; applies faults |
//! | `recorder.rs` | records the actions under leases and checks that they don't overlap |
//! | `history.rs` | checks that all reads and writes of the record fit one order |
//! | `clients.rs` | clients that read and write the record during the run |
//! | `virt.rs` | simulates the voters and lease clients in virtual time, for large fleets |
//! | `report.rs` | an HTML timeline of the actions and the faults |
//!
//! A fault of a link or a process is undone after its duration; the fleet then has to recover without help.

pub mod clients;
pub mod history;
pub mod plan;
pub mod processes;
pub mod recorder;
pub mod relay;
pub mod report;
pub mod virt;

use anyhow::{Context, Result, bail};
use plan::{Fault, Kind, Plan};
use processes::FleetProcesses;
use recorder::{Action, Recorder};
use serde::Serialize;
use std::path::PathBuf;
use std::time::Duration;
use tokio::time::{Instant, sleep, sleep_until};

/// Within this time after the last fault is undone, writes must succeed and every lease must be held again.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(15);

/// The result of a run.
#[derive(Debug, Serialize)]
pub struct Outcome {
    pub seed: u64,
    /// The plan that was run, with the faults drawn from the seed.
    pub plan: Plan,
    /// The actions under leases, by their beginnings.
    #[serde(rename = "acts")]
    pub actions: Vec<Action>,
    /// Actions that the recorder rejected because it had already seen a higher token of the lease.
    #[serde(rename = "turned_away")]
    pub rejected_actions: usize,
    /// Reads and writes that were answered.
    pub reads: usize,
    pub writes: usize,
    /// Reads and writes that no majority answered in time.
    pub unanswered: usize,
    /// Longest time from the end of a holder's last action under one token to the first action under the
    /// next, in seconds.
    pub longest_gap: f64,
    /// Median and 99th percentile of the time from a write's submission until it was committed and answered,
    /// in milliseconds.
    #[serde(rename = "settle_ms")]
    pub write_latency_ms: (f64, f64),
    /// Bytes and frames per second over all links between processes; the links of the rig's own clients don't
    /// count.
    pub bytes_per_second: f64,
    pub frames_per_second: f64,
    /// Bytes and frames per second while no process wanted a lease; `None` where the plan has no idle period.
    #[serde(rename = "idle")]
    pub idle_traffic: Option<(f64, f64)>,
    /// Calls under a lease's newest token that an operator endpoint accepted, and calls under a lower token
    /// that it refused.
    #[serde(rename = "doors")]
    pub operator_calls: (usize, usize),
    /// How long the fleet took to recover after the last fault was undone, in seconds; `None` if it did not
    /// in time.
    #[serde(rename = "back")]
    pub recovery_seconds: Option<f64>,
    /// Overlapping actions in a run whose clocks drifted more than the stated bound, where they are no
    /// violation.
    pub overlaps: Vec<String>,
    /// One line for each violation that was found.
    #[serde(rename = "wrong")]
    pub violations: Vec<String>,
    /// The last fleet lines of each proxy's log; empty where there is no violation.
    pub logs: Vec<String>,
}

/// The programs of a run: the proxy, and the lab, which commands run under a lease (see [`run_act_command`]).
#[derive(Clone, Debug)]
pub struct Programs {
    pub proxy: PathBuf,
    pub lab: PathBuf,
}

/// Runs a plan on real processes. Fails where a process can't be started, the fleet can't be bootstrapped or
/// a fault can't be applied; what the fleet does wrong is in [`Outcome::violations`] instead.
pub fn run_plan(plan: &Plan, seed: u64, programs: &Programs) -> Result<Outcome> {
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(4).enable_all().build()?;
    let outcome = runtime.block_on(run(plan, seed, programs.clone()));
    runtime.shutdown_timeout(Duration::from_secs(1));
    outcome
}

/// The command `act WITNESS WHO MILLIS [DOOR]`: performs actions under the lease that its environment names.
/// WITNESS is the recorder's address, WHO the name of the process, MILLIS the duration of an action, and DOOR
/// the address of an operator endpoint. Returns false once the recorder rejects the token.
pub fn run_act_command(arguments: &[String]) -> Result<bool> {
    let [address, who, millis, operator @ ..] = arguments else { bail!("act WITNESS WHO MILLIS [DOOR]") };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(recorder::perform_actions(
        address,
        who,
        millis.parse()?,
        operator.first().map(String::as_str),
    ))
}

/// Runs the plan, waits for the fleet's recovery and collects the outcome.
async fn run(plan: &Plan, seed: u64, programs: Programs) -> Result<Outcome> {
    let recorder = Recorder::listen().await?;
    let mut processes = FleetProcesses::start(plan, seed, programs, &recorder).await?;
    let start = recorder.start();
    let time_at = |seconds: f64| start + Duration::from_secs_f64(seconds);
    let clients = clients::start(&processes, &recorder)?;
    // The beginnings and ends of all faults, by time.
    let mut steps: Vec<(f64, bool, &Fault)> = plan
        .faults
        .iter()
        .flat_map(|fault| [(fault.at, true, fault), (fault.at + fault.seconds, false, fault)])
        .collect();
    steps.sort_by(|one, two| one.0.total_cmp(&two.0));
    for (at, begins, fault) in steps {
        processes.supervise_until(time_at(at)).await?;
        let applied =
            if begins { processes.begin_fault(fault).await } else { processes.end_fault(fault).await };
        applied.with_context(|| format!("{fault:?}"))?;
    }
    processes.supervise_until(time_at(plan.seconds)).await?;
    // All faults are undone: writes must succeed again, and every lease must have a holder that acts.
    let repaired = Instant::now();
    let mut recovery_seconds = None;
    while repaired.elapsed() < RECOVERY_TIMEOUT && recovery_seconds.is_none() {
        let actions = recorder.actions();
        let since = recorder.seconds_at(repaired);
        let all_held = (0..plan.leases).all(|lease| {
            actions.iter().any(|action| action.lease == format!("lease{lease}") && action.begin > since)
        });
        if all_held && clients.wrote_since(repaired) {
            recovery_seconds = Some(repaired.elapsed().as_secs_f64());
        }
        processes.supervise_until(Instant::now() + Duration::from_millis(50)).await?;
    }
    let operations = clients.stop().await;
    let ((bytes, frames), elapsed) = (processes.traffic(), start.elapsed().as_secs_f64());
    let unexpected_exits = processes.stop().await;
    sleep(Duration::from_millis(100)).await;
    let actions = recorder.actions();
    let (mut overlaps, mut violations) = recorder::check_actions(&actions);
    // With clocks that drift more than the stated bound two holders may overlap; only the order of tokens is
    // guaranteed.
    if plan.max_clock_error_ppm.unsigned_abs() <= plan.drift_ppm {
        violations.append(&mut overlaps);
    }
    violations.extend(history::check(&operations));
    violations.extend(unexpected_exits);
    let (operator_calls, operator_violations) = recorder.operator_calls();
    violations.extend(operator_violations);
    if recovery_seconds.is_none() {
        violations
            .push(format!("not recovered {} s after the last fault was undone", RECOVERY_TIMEOUT.as_secs()));
    }
    let logs = if violations.is_empty() { Vec::new() } else { processes.logs() };
    let count = |what: &dyn Fn(&history::Operation) -> bool| operations.iter().filter(|op| what(op)).count();
    Ok(Outcome {
        seed,
        plan: plan.clone(),
        rejected_actions: recorder.rejected_actions(),
        reads: count(&|op| op.version.is_some() && !op.write),
        writes: count(&|op| op.version.is_some() && op.write),
        unanswered: count(&|op| op.version.is_none()),
        longest_gap: recorder::longest_gap(&actions),
        actions,
        write_latency_ms: write_latency(&operations),
        bytes_per_second: bytes as f64 / elapsed,
        frames_per_second: frames as f64 / elapsed,
        idle_traffic: processes.idle_traffic,
        operator_calls,
        recovery_seconds,
        overlaps,
        violations,
        logs,
    })
}

impl Outcome {
    /// The result as text: one line of figures, the faults, and a line for each overlap and violation.
    pub fn summary(&self) -> String {
        let faults: Vec<String> = self.plan.faults.iter().map(Fault::description).collect();
        let recovery = self
            .recovery_seconds
            .map_or("not recovered".into(), |seconds| format!("recovered after {seconds:.1} s"));
        let idle = self.idle_traffic.map_or(String::new(), |(bytes, frames)| {
            format!(" (idle {:.1} KB/s and {frames:.0} frames/s)", bytes / 1e3)
        });
        let mut lines = format!(
            "seed {}: {} processes, {} actions, {} rejected by token, {} reads, {} writes, {} unanswered, longest gap \
             {:.1} s, write latency median {:.1} ms and 99th percentile {:.1} ms, links {:.1} KB/s and {:.0} frames/s{idle}, \
             operator endpoints accepted {} and refused {}, {recovery}\n  \
             faults: {}\n",
            self.seed,
            self.plan.processes,
            self.actions.len(),
            self.rejected_actions,
            self.reads,
            self.writes,
            self.unanswered,
            self.longest_gap,
            self.write_latency_ms.0,
            self.write_latency_ms.1,
            self.bytes_per_second / 1e3,
            self.frames_per_second,
            self.operator_calls.0,
            self.operator_calls.1,
            faults.join("; "),
        );
        for overlap in &self.overlaps {
            lines += &format!("  overlap with clocks beyond the stated drift: {overlap}\n");
        }
        for violation in &self.violations {
            lines += &format!("  WRONG: {violation}\n");
        }
        lines
    }
}

/// Median and 99th percentile of the latencies of answered writes, in milliseconds; NaN where there are none.
fn write_latency(operations: &[history::Operation]) -> (f64, f64) {
    let answered = operations.iter().filter(|op| op.write && op.version.is_some());
    let mut times: Vec<f64> = answered.map(|op| (op.end - op.begin) * 1e3).collect();
    times.sort_by(f64::total_cmp);
    let percentile = |part: f64| times.get((times.len() as f64 * part) as usize).copied().unwrap_or(f64::NAN);
    (percentile(0.5), percentile(0.99))
}

/// Whether a fault removes or changes what a voter has on its disk.
fn affects_disk(kind: Kind) -> bool {
    matches!(kind, Kind::Empty | Kind::SetBack | Kind::Spoil)
}

/// Sleeps until the given instant, but no longer than `longest`.
async fn sleep_at_most(until: Instant, longest: Duration) {
    sleep_until(until.min(Instant::now() + longest)).await;
}
