//! Plays of a whole fleet that takes its configuration by the carrier: 16,000 proxies, the control machines, the voters.
//!
//! | file | job |
//! | --- | --- |
//! | `plan.rs` | what is played, from a file |
//! | `fleet.rs` | who there is, where, and the ways between |
//! | `virt.rs` | all of them in virtual time, by one heap of events |
//! | `agree.rs` | voters, and control machines that ask them |
//! | `truth.rs` | what is in force where, and whether what is said of it holds |
//! | `meter.rs` | bytes and messages of a process, and its worst second |
//! | `outcome.rs` | what is measured, taken together |
//! | `voters.rs` | the same fleet without the carrier |
//! | `report.rs` | what came of it, in words, and as a page |
//! | `real.rs` | some dozens of real processes on loopback, under faults |

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

/// What a call wants beside its plan and seeds.
pub struct Options<'a> {
    pub real: bool,
    /// Keys of the plan set to other values.
    pub overrides: &'a [(String, String)],
    pub json: Option<&'a Path>,
    pub report: Option<&'a Path>,
}

/// Plays a plan under these seeds; whether nothing went wrong.
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
