//! Tests the distribution of configuration to a whole fleet by the carrier, which passes changes down a tree
//! of processes: 16,000 proxies, the control machines and the voters in virtual time, or some dozens of real
//! processes.
//!
//! The control machine that holds a lease from the voters publishes changes and is the root of the tree. A
//! change settles when it is committed, and is in force at a process once that process applied it. Each
//! process reports to its parent, and the summary of the root states the version that is in force at all its
//! members, except for listed exceptions.
//!
//! | file | purpose |
//! | --- | --- |
//! | `plan.rs` | plan files: fleet size, rate of changes, faults |
//! | `fleet.rs` | processes, their locations, and the delays between them |
//! | `virt/` | discrete-event simulation of all processes in virtual time |
//! | `agree.rs` | the voters, and the control machines as their clients |
//! | `truth.rs` | checker: what is in force where, and whether the reported summary is right |
//! | `meter.rs` | bytes and messages of a process, and its peak second |
//! | `outcome.rs` | builds the report of a simulation |
//! | `voters.rs` | baseline without the carrier: proxies poll the voters |
//! | `report.rs` | report as JSON fields, text and HTML |
//! | `real.rs` | real processes on loopback, under faults |

mod agree;
mod fleet;
mod meter;
mod outcome;
pub mod plan;
pub mod real;
pub mod report;
mod truth;
pub mod virt;
pub mod voters;

use anyhow::{Context, Result};
use plan::Plan;
use rayon::prelude::*;
use report::{Report, RunCost};
use std::path::Path;

/// Options of a run beside its plan and seeds.
pub struct Options<'a> {
    /// Starts real processes on loopback instead of simulating the fleet in virtual time.
    pub real: bool,
    /// Plan keys with the values that replace those of the file.
    pub overrides: &'a [(String, String)],
    /// File for the results as JSON.
    pub json: Option<&'a Path>,
    /// File for the HTML page; written for simulations with the carrier only.
    pub report: Option<&'a Path>,
}

/// Runs the plan at `path` once for each seed, prints the summaries and writes the requested files.
///
/// Returns whether no run violated a rule; runs without the carrier have none and always return true. Fails
/// if the plan is invalid, real processes can't be started, or a file can't be written.
pub fn run(
    path: &Path,
    seeds: std::ops::RangeInclusive<u64>,
    options: &Options,
    print: &dyn Fn(&str),
) -> Result<bool> {
    let plan = Plan::read_with(path, options.overrides)?;
    if options.real {
        let program = std::env::current_exe().context("this program's own path")?;
        let (mut results, mut ok) = (Vec::new(), true);
        print(real::table_header());
        for seed in seeds {
            let outcome = real::run(&plan, seed, &program)?;
            print(&outcome.summary());
            ok &= outcome.violations.is_empty();
            results.push(outcome);
        }
        if let Some(file) = options.json {
            write(file, &(serde_json::to_string_pretty(&results)? + "\n"))?;
        }
        return Ok(ok);
    }
    if !plan.carrier {
        let results: Vec<_> = seeds.into_par_iter().map(|seed| voters::run(&plan, seed)).collect();
        results.iter().for_each(|report| print(&report.summary()));
        if let Some(file) = options.json {
            write(file, &(serde_json::to_string_pretty(&results)? + "\n"))?;
        }
        return Ok(true);
    }
    let results: Vec<(Report, RunCost)> = seeds.into_par_iter().map(|seed| virt::run(&plan, seed)).collect();
    for (report, cost) in &results {
        print(&report.summary());
        print(&cost.summary());
    }
    if let Some(file) = options.json {
        write(file, &(serde_json::to_string_pretty(&results)? + "\n"))?;
    }
    if let Some(file) = options.report {
        write(file, &report::html_page(&plan, &results))?;
    }
    Ok(results.iter().all(|(report, _)| report.violations.total() == 0))
}

fn write(path: &Path, text: &str) -> Result<()> {
    std::fs::write(path, text).with_context(|| path.display().to_string())
}
