//! The command line.

use crate::progress::Progress;
use crate::{compare, real, scenario, virt};
use anyhow::{Context, Result, bail};
use lexopt::prelude::*;
use std::path::PathBuf;
use std::process::ExitCode;

const HELP: &str = "\
pumicebay-lab: plays scenarios, audits the rules, and compares

usage: pumicebay-lab COMMAND ...

  list                      the scenarios that ship, one line each
  run SCENARIO [--clock virtual|real] [--seed N] [--policy NAME] [--proxy PATH]
      [--json FILE] [--report FILE.html]
  compare SCENARIO --policy A,B,... [--seeds N]
                            paired by seed: mean difference with a 95% interval
  help                      print this

Every command takes --set KEY=VALUE, which changes the scenario, and --threads N.
A broken rule makes the exit code 1, a wrong call 2.";

#[derive(Default)]
struct Call {
    command: Option<String>,
    scenario: Option<PathBuf>,
    clock: Option<String>,
    seed: Option<u64>,
    seeds: Option<u64>,
    policy: Option<String>,
    proxy: Option<PathBuf>,
    json: Option<PathBuf>,
    set: Vec<(String, String)>,
    threads: Option<usize>,
}

pub fn main() -> Result<ExitCode> {
    let call = parse(lexopt::Parser::from_env())?;
    if let Some(threads) = call.threads {
        rayon::ThreadPoolBuilder::new().num_threads(threads).build_global().context("--threads")?;
    }
    match call.command.as_deref() {
        Some("run") => run(&call),
        Some("compare") => compare(&call),
        Some("help") => {
            println!("{HELP}");
            Ok(ExitCode::SUCCESS)
        }
        Some(other) => bail!("unknown command {other:?}; see pumicebay-lab help"),
        None => bail!("no command; see pumicebay-lab help"),
    }
}

fn parse(mut args: lexopt::Parser) -> Result<Call> {
    let mut call = Call::default();
    while let Some(arg) = args.next()? {
        match arg {
            Long("clock") => call.clock = Some(args.value()?.string()?),
            Long("seed") => call.seed = Some(args.value()?.parse()?),
            Long("seeds") => call.seeds = Some(args.value()?.parse()?),
            Long("policy") => call.policy = Some(args.value()?.string()?),
            Long("proxy") => call.proxy = Some(args.value()?.into()),
            Long("json") => call.json = Some(args.value()?.into()),
            Long("threads") => call.threads = Some(args.value()?.parse()?),
            Long("set") => {
                let text = args.value()?.string()?;
                let (key, value) = text.split_once('=').context("--set: expected KEY=VALUE")?;
                call.set.push((key.into(), value.into()));
            }
            Short('h') | Long("help") => call.command = Some("help".into()),
            Value(word) if call.command.is_none() => call.command = Some(word.string()?),
            Value(path) if call.scenario.is_none() => call.scenario = Some(path.into()),
            other => return Err(other.unexpected().into()),
        }
    }
    Ok(call)
}

impl Call {
    fn read(&self) -> Result<pumicebay_model::spec::Scenario> {
        let path = self.scenario.as_ref().context("no scenario; see pumicebay-lab list")?;
        let mut day = scenario::read(path, &self.set)?;
        day.seed = self.seed.unwrap_or(day.seed);
        Ok(day)
    }
}

fn run(call: &Call) -> Result<ExitCode> {
    let day = call.read()?;
    let policy = call.policy.as_deref().unwrap_or("pumicebay");
    let progress = Progress::new(&day.name, 1);
    let shows = |part| progress.at(part);
    let results = match call.clock.as_deref() {
        None | Some("virtual") => virt::play(&day, policy, day.seed, &shows)?,
        Some("real") if policy == "pumicebay" => real::play(&day, day.seed, call.proxy.as_ref(), &shows)?,
        Some("real") => bail!("--policy: baselines are played in virtual time only"),
        Some(other) => bail!("--clock: expected virtual or real, found {other:?}"),
    };
    drop(progress);
    print!("{}", results.table());
    if let Some(path) = &call.json {
        let text = serde_json::to_string_pretty(&results)?;
        std::fs::write(path, text + "\n").with_context(|| path.display().to_string())?;
    }
    Ok(if results.rules_kept() { ExitCode::SUCCESS } else { ExitCode::from(1) })
}

fn compare(call: &Call) -> Result<ExitCode> {
    let day = call.read()?;
    let policies = call.policy.as_deref().context("--policy: expected names, as A,B")?;
    let policies: Vec<String> = policies.split(',').map(str::to_string).collect();
    let days = compare::days(&day, &policies, call.seeds.unwrap_or(5).max(1))?;
    print!("{}", compare::table(&policies, &days));
    Ok(ExitCode::SUCCESS)
}
