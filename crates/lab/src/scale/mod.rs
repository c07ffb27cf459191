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
use report::{Cost, Found};
use std::path::Path;

/// What a call wants beside its plan and seeds.
pub struct Wants<'a> {
    pub real: bool,
    /// Keys of the plan set to other values.
    pub set: &'a [(String, String)],
    pub json: Option<&'a Path>,
    pub report: Option<&'a Path>,
}

/// Plays a plan under these seeds; whether nothing went wrong.
pub fn command(
    path: &Path,
    seeds: std::ops::RangeInclusive<u64>,
    wants: &Wants,
    say: &dyn Fn(&str),
) -> Result<bool> {
    let plan = Plan::read_with(path, wants.set)?;
    if wants.real {
        let program = std::env::current_exe().context("this program's own path")?;
        let (mut played, mut well) = (Vec::new(), true);
        say(real::head());
        for seed in seeds {
            let outcome = real::play(&plan, seed, &program)?;
            say(&outcome.summary());
            well &= outcome.wrong.is_empty();
            played.push(outcome);
        }
        if let Some(file) = wants.json {
            write(file, &(serde_json::to_string_pretty(&played)? + "\n"))?;
        }
        return Ok(well);
    }
    if !plan.carrier {
        let played: Vec<_> = seeds.into_par_iter().map(|seed| voters::play(&plan, seed)).collect();
        played.iter().for_each(|found| say(&found.summary()));
        if let Some(file) = wants.json {
            write(file, &(serde_json::to_string_pretty(&played)? + "\n"))?;
        }
        return Ok(true);
    }
    let played: Vec<(Found, Cost)> = seeds.into_par_iter().map(|seed| virt::play(&plan, seed)).collect();
    for (found, cost) in &played {
        say(&found.summary());
        say(&cost.summary());
    }
    if let Some(file) = wants.json {
        write(file, &(serde_json::to_string_pretty(&played)? + "\n"))?;
    }
    if let Some(file) = wants.report {
        write(file, &report::page(&plan, &played))?;
    }
    Ok(played.iter().all(|(found, _)| found.wrong.all() == 0))
}

fn write(path: &Path, text: &str) -> Result<()> {
    std::fs::write(path, text).with_context(|| path.display().to_string())
}
