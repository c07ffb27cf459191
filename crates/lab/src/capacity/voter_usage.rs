//! Measures the first voter of an idle fleet of real processes, and the traffic of all links of the fleet.

use crate::capacity::process::{memory, processor_seconds};
use crate::rig::plan::Plan;
use crate::rig::{self, Programs};
use anyhow::{Context, Result, bail, ensure};
use serde::Serialize;
use std::time::Duration;

/// Numbers of processes of a fleet.
const FLEET_SIZES: [usize; 4] = [3, 15, 60, 300];
/// How long the traffic of a fleet's idle links is counted, in seconds.
const IDLE_SECONDS: f64 = 16.0;
/// How many runs are started at most until one of a fleet succeeds; each has another seed.
const MAX_RUNS: u64 = 3;
/// Between two readings of a voter's processor time.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// The measurement of the first voter of an idle fleet, and the traffic of all links of the fleet.
#[derive(Clone, Debug, Serialize)]
pub struct VoterUsage {
    pub processes: usize,
    /// The seed of the run.
    pub seed: u64,
    pub frames_per_second: f64,
    pub kilobytes_per_second: f64,
    /// Resident memory, in millions of bytes.
    pub resident_mb: f64,
    /// Processor time, in percent of one core.
    pub core_percent: f64,
}

/// Measures the first voter of fleets of several sizes, one after the other. `say` gets a line for each run
/// that begins or fails. Returns an error if all runs of a size fail.
pub fn measure_voters(programs: &Programs, say: impl Fn(&str)) -> Result<Vec<VoterUsage>> {
    let mut measured = Vec::new();
    for processes in FLEET_SIZES {
        let measure = |seed| {
            say(&format!("a fleet of {processes} processes, seed {seed}"));
            measure_voter(programs, processes, seed)
                .inspect_err(|error| say(&format!("measurement failed: {error:#}")))
        };
        let measured_voter = (1..MAX_RUNS).find_map(|seed| measure(seed).ok());
        measured.push(measured_voter.map_or_else(|| measure(MAX_RUNS), Ok)?);
    }
    Ok(measured)
}

/// The measurements of voters as a text table.
pub fn voters_table(voters: &[VoterUsage]) -> String {
    let mut text = String::new();
    text += "processes  seed  frames/s  KB/s  a voter: resident MB  core %\n";
    for voter in voters {
        text += &format!(
            "{:>9} {:>5} {:>9.0} {:>5.1} {:>21.2} {:>7.3}\n",
            voter.processes,
            voter.seed,
            voter.frames_per_second,
            voter.kilobytes_per_second,
            voter.resident_mb,
            voter.core_percent
        );
    }
    text
}

/// Runs a fleet of real processes and measures its first voter while no process wants a lease. Returns an
/// error if the run fails or the idle period is missed.
pub fn measure_voter(programs: &Programs, processes: usize, seed: u64) -> Result<VoterUsage> {
    let plan = Plan {
        processes,
        idle_seconds: IDLE_SECONDS,
        seconds: 2.0,
        leases: 1,
        commands_per_lease: 1,
        ..Plan::default()
    };
    std::thread::scope(|scope| {
        let run = scope.spawn(|| rig::run_plan(&plan, seed, programs));
        let observed = observe_voter(|| run.is_finished());
        let Ok(outcome) = run.join() else { bail!("the run of {processes} processes panicked") };
        let (bytes, frames) = outcome?.idle_traffic.context("the run had no idle period")?;
        let (resident_mb, core_percent) = observed?;
        let kilobytes_per_second = bytes / 1e3;
        Ok(VoterUsage {
            processes,
            seed,
            frames_per_second: frames,
            kilobytes_per_second,
            resident_mb,
            core_percent,
        })
    })
}

/// Resident memory in millions of bytes, and processor time in percent of one core in the middle half of the
/// idle period, which ends when the first command is started.
fn observe_voter(finished: impl Fn() -> bool) -> Result<(f64, f64)> {
    let own = std::process::id();
    let (mut voter, mut readings) = (None, Vec::new());
    while find_child(own, &["/a1.json"]).is_none() {
        ensure!(!finished(), "the run ended before its first command was started");
        voter = voter.or_else(|| find_child(own, &["serve", "/p1.json"]));
        if let Some(voter) = &voter {
            readings.push((std::time::Instant::now(), processor_seconds(voter)?));
        }
        std::thread::sleep(POLL_INTERVAL);
    }
    let resident = memory(&voter.context("the first voter was not found among the processes")?, "VmRSS:")?;
    let before = |part: f64| {
        let at = std::time::Instant::now().checked_sub(Duration::from_secs_f64(IDLE_SECONDS * part));
        readings
            .iter()
            .rev()
            .find(|(seen, _)| at.is_some_and(|at| *seen <= at))
            .context("the idle period was not observed")
    };
    let ((from, first), (to, last)) = (before(0.75)?, before(0.25)?);
    let elapsed = to.duration_since(*from).as_secs_f64();
    ensure!(elapsed > 0.0, "the idle period was not observed");
    Ok((resident, (last - first) / elapsed * 100.0))
}

/// The process id of a child of this process whose command line has, for each suffix, an argument that ends
/// with it.
fn find_child(parent: u32, suffixes: &[&str]) -> Option<String> {
    let matches = |name: &String| {
        let read = |file: &str| std::fs::read_to_string(format!("/proc/{name}/{file}")).unwrap_or_default();
        let status = read("status");
        let parent_id = status.lines().find_map(|line| line.strip_prefix("PPid:")).unwrap_or_default();
        let line = read("cmdline");
        let has = |word: &&str| line.split('\0').any(|argument| argument.ends_with(*word));
        parent_id.trim() == parent.to_string() && suffixes.iter().all(has)
    };
    let entries =
        std::fs::read_dir("/proc").ok()?.filter_map(|entry| entry.ok()?.file_name().into_string().ok());
    entries.filter(|name| name.bytes().all(|byte| byte.is_ascii_digit())).find(matches)
}
