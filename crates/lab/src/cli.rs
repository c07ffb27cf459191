//! The command line: parses the arguments and runs one command.

use crate::capacity;
use crate::progress::Progress;
use crate::results::Results;
use crate::rig::{self, Programs, plan::Plan};
use crate::scale;
use crate::scenario::{self, ScenarioSource};
use crate::{compare, hunt, policy, real, report, sweep, virt};
use anyhow::{Context, Result, bail, ensure};
use lexopt::prelude::*;
use pumicebay_model::spec::Scenario;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

const HELP: &str = "\
pumicebay-lab: runs scenarios against the proxy's decisions, audits the rules, and compares

usage: pumicebay-lab COMMAND ...

  list [FOLDER]        the scenarios that ship, one line each (default: scenarios)
  run SCENARIO [--clock virtual|real] [--seed N] [--policy NAME] [--proxy PATH]
      [--json FILE] [--report FILE.html] [--set KEY=VALUE]
                       runs a scenario once, in virtual time or with real proxies on loopback
                       sockets (PATH: another build of pumicebay)
  compare SCENARIO --policy A,B,... [--seeds N]
                       compares policies, paired by seed: mean difference with a 95% interval
  compare SCENARIO --clock real --proxy PATH,PATH,... [--seeds N]
                       compares builds on sockets; `self` is the lab's own build, PATH+fleet a
                       build whose proxies form a fleet
  sweep SCENARIO --set KEY=V1,V2,... [--seeds N] [--report FILE.html]
                       runs a grid of settings: a table and a plot
  hunt SCENARIO [--runs N] [--json FILE]
                       searches for the run with the largest loss, removes the changes that
                       do not contribute to it, and writes the scenario to found/
  fleet PLAN [--clock real|virtual] [--seed N] [--seeds N] [--proxy PATH] [--json FILE] [--report FILE.html]
                       starts the processes of a fleet on loopback, injects PLAN's faults between
                       them, and checks the leases and the record against a witness
  capacity [--slopes FILE] [--page FILE [--check]]
                       tables of the resources needed at the size in two years, from measured slopes;
                       with --page they are written into the page, or compared with it
  capacity measure|measure-voters [--proxy PATH] [--json FILE]
                       measures the memory and processor time of a proxy by nodes, list changes and
                       requests; of a voter by the processes connected to it
  scale PLAN [--seed N] [--seeds A..B|N] [--clock virtual|real] [--set KEY=VALUE]
      [--json FILE] [--report FILE.html]
                       runs a whole fleet that receives its configuration through the carrier (A..B
                       includes both)
  help                 print this

Every command takes --threads N. The exit code is 1 if a rule was broken, 2 for a usage or
other error, 3 if a run is not usable.";

/// The number of runs of `hunt` without `--runs`.
const DEFAULT_RUNS: u64 = 100;
/// The number of seeds of `compare` and `sweep` without `--seeds`.
const DEFAULT_SEEDS: u64 = 10;

/// The parsed command line.
#[derive(Default)]
struct Options {
    command: Option<String>,
    path: Option<PathBuf>,
    clock: Option<String>,
    seed: Option<u64>,
    seeds: Option<u64>,
    runs: Option<u64>,
    policy: Option<String>,
    proxy: Option<String>,
    json: Option<PathBuf>,
    report: Option<PathBuf>,
    set: Vec<(String, String)>,
    threads: Option<usize>,
    slopes: Option<PathBuf>,
    page: Option<PathBuf>,
    check: bool,
}

/// Runs the command that the process's arguments name. Returns an error for wrong arguments, unreadable files
/// and failed runs.
pub fn main() -> Result<ExitCode> {
    let options = parse(lexopt::Parser::from_env())?;
    if let Some(threads) = options.threads {
        rayon::ThreadPoolBuilder::new().num_threads(threads).build_global().context("--threads")?;
    }
    match options.command.as_deref() {
        Some("list") => list(options.path.as_deref().unwrap_or(Path::new("scenarios"))),
        Some("run") => run(&options),
        Some("compare") => compare(&options),
        Some("sweep") => sweep(&options),
        Some("hunt") => hunt(&options),
        Some("fleet") => fleet(&options),
        Some("capacity") => capacity(&options),
        Some("scale") => scale(&options),
        Some("help") => {
            write_stdout(&format!("{HELP}\n"));
            Ok(ExitCode::SUCCESS)
        }
        Some(other) => bail!("unknown command {other:?}; see pumicebay-lab help"),
        None => bail!("no command given; see pumicebay-lab help"),
    }
}

fn parse(mut args: lexopt::Parser) -> Result<Options> {
    let mut options = Options::default();
    while let Some(arg) = args.next()? {
        match arg {
            Long("clock") => options.clock = Some(args.value()?.string()?),
            Long("seed") => options.seed = Some(args.value()?.parse()?),
            Long("seeds") => {
                let text = args.value()?.string()?;
                match text.split_once("..") {
                    // A..B includes both ends.
                    Some((first, last)) => {
                        let number = |text: &str| {
                            text.parse::<u64>()
                                .with_context(|| format!("--seeds: expected A..B, found {text:?}"))
                        };
                        let (first, last) = (number(first)?, number(last)?);
                        ensure!(first <= last, "--seeds: expected A..B with A no higher than B");
                        (options.seed, options.seeds) = (Some(first), Some(last - first + 1));
                    }
                    None => {
                        let count = text
                            .parse()
                            .with_context(|| format!("--seeds: expected a count, found {text:?}"))?;
                        options.seeds = Some(count);
                    }
                }
            }
            Long("runs") => options.runs = Some(args.value()?.parse()?),
            Long("policy") => options.policy = Some(args.value()?.string()?),
            Long("proxy") => options.proxy = Some(args.value()?.string()?),
            Long("json") => options.json = Some(args.value()?.into()),
            Long("report") => options.report = Some(args.value()?.into()),
            Long("slopes") => options.slopes = Some(args.value()?.into()),
            Long("page") => options.page = Some(args.value()?.into()),
            Long("check") => options.check = true,
            Long("threads") => options.threads = Some(args.value()?.parse()?),
            Long("set") => {
                let text = args.value()?.string()?;
                let (key, value) = text.split_once('=').context("--set: expected KEY=VALUE")?;
                options.set.push((key.into(), value.into()));
            }
            Short('h') | Long("help") => options.command = Some("help".into()),
            Value(word) if options.command.is_none() => options.command = Some(word.string()?),
            Value(path) if options.path.is_none() => options.path = Some(path.into()),
            other => return Err(other.unexpected().into()),
        }
    }
    Ok(options)
}

impl Options {
    fn path(&self) -> Result<&Path> {
        self.path.as_deref().context("no scenario given; see pumicebay-lab list")
    }

    fn read(&self) -> Result<Scenario> {
        let mut scenario = scenario::read(self.path()?, &self.set)?;
        scenario.seed = self.seed.unwrap_or(scenario.seed);
        Ok(scenario)
    }

    fn real(&self) -> Result<bool> {
        match self.clock.as_deref() {
            None | Some("virtual") => Ok(false),
            Some("real") => Ok(true),
            Some(other) => bail!("--clock: expected virtual or real, found {other:?}"),
        }
    }

    fn policy(&self) -> Result<&str> {
        let name = self.policy.as_deref().unwrap_or("pumicebay");
        policy::parse(name).context("--policy")?;
        Ok(name)
    }

    fn seeds(&self) -> Result<u64> {
        let seeds = self.seeds.unwrap_or(DEFAULT_SEEDS);
        ensure!(seeds > 0, "--seeds: expected 1 or more");
        Ok(seeds)
    }
}

/// Writes to standard output. A write error is ignored, so that a closed pipe does not end the run.
fn write_stdout(text: &str) {
    let _ = std::io::stdout().write_all(text.as_bytes());
}

fn write(path: &Path, text: &str) -> Result<()> {
    std::fs::write(path, text).with_context(|| path.display().to_string())
}

fn list(folder: &Path) -> Result<ExitCode> {
    let entries = std::fs::read_dir(folder).with_context(|| folder.display().to_string())?;
    let paths = entries.filter_map(|entry| Some(entry.ok()?.path()));
    let mut paths: Vec<PathBuf> =
        paths.filter(|path| path.extension().is_some_and(|e| e == "toml")).collect();
    paths.sort();
    for path in paths {
        let line = match scenario::read(&path, &[]) {
            Ok(scenario) => scenario.description,
            Err(error) => format!("unreadable: {error:#}"),
        };
        write_stdout(&format!("{:<32} {line}\n", path.display().to_string()));
    }
    Ok(ExitCode::SUCCESS)
}

fn run(options: &Options) -> Result<ExitCode> {
    let (scenario, policy) = (options.read()?, options.policy()?);
    let progress = Progress::new(&scenario.name, 1);
    let show_progress = |fraction| progress.set(fraction);
    let results = if options.real()? {
        ensure!(policy == "pumicebay", "--policy: baselines run in virtual time only");
        real::play(
            &scenario,
            scenario.seed,
            options.proxy.as_ref().map(PathBuf::from).as_ref(),
            &show_progress,
        )?
    } else {
        ensure!(options.proxy.is_none(), "--proxy: requires --clock real");
        virt::play(&scenario, policy, scenario.seed, &show_progress)?
    };
    drop(progress);
    write_stdout(&results.table());
    if let Some(path) = &options.json {
        write(path, &(serde_json::to_string_pretty(&results)? + "\n"))?;
    }
    // A run on sockets always writes a report, because it cannot be reproduced exactly.
    let default_path = std::env::temp_dir().join(format!("pumicebay-{}.html", scenario.name));
    let path = options.report.as_ref().or(options.real()?.then_some(&default_path));
    if let Some(path) = path {
        write(path, &report::html(&results)?)?;
        write_stdout(&format!("  report: {}\n", path.display()));
    }
    Ok(exit_code(&[results]))
}

/// 1 if a rule was broken, else 3 if a run is not usable, else 0.
fn exit_code(runs: &[Results]) -> ExitCode {
    if runs.iter().any(|results| !results.rules_kept()) {
        ExitCode::from(1)
    } else if runs.iter().any(|results| !results.usable) {
        ExitCode::from(3)
    } else {
        ExitCode::SUCCESS
    }
}

/// Only the runs of the first policy or build decide the exit code; the others are its reference.
fn compare(options: &Options) -> Result<ExitCode> {
    let (scenario, seeds) = (options.read()?, options.seeds()?);
    let names = |text: &str| text.split(',').map(str::to_string).collect::<Vec<_>>();
    let (names, runs) = if options.real()? {
        let proxies = names(options.proxy.as_deref().context("--proxy: expected paths, as A,B")?);
        let runs = compare::builds(&scenario, &proxies, seeds)?;
        (proxies, runs)
    } else {
        let policies = names(options.policy.as_deref().context("--policy: expected names, as A,B")?);
        let runs = compare::policies(&scenario, &policies, seeds)?;
        (policies, runs)
    };
    write_stdout(&compare::table(&names, &runs));
    Ok(exit_code(&runs[0]))
}

fn sweep(options: &Options) -> Result<ExitCode> {
    ensure!(!options.set.is_empty(), "--set: expected KEY=V1,V2,...");
    let (text, policy) = (ScenarioSource::read(options.path()?)?, options.policy()?);
    let values = |(key, values): &(String, String)| {
        (key.clone(), values.split(',').map(str::to_string).collect::<Vec<_>>())
    };
    let set: Vec<_> = options.set.iter().map(values).collect();
    let points = sweep::play(&text, &set, policy, options.seeds()?, options.seed)?;
    write_stdout(&sweep::table(&points));
    if let Some(path) = &options.report {
        let name = options.path()?.file_stem().unwrap_or_default().to_string_lossy().into_owned();
        write(path, &report::sweep_html(&name, policy, &points)?)?;
        write_stdout(&format!("report: {}\n", path.display()));
    }
    Ok(ExitCode::SUCCESS)
}

fn hunt(options: &Options) -> Result<ExitCode> {
    let (text, policy) = (ScenarioSource::read(options.path()?)?, options.policy()?);
    let found = hunt::hunt(&text, policy, options.runs.unwrap_or(DEFAULT_RUNS), options.seed)?;
    let folder = Path::new("found");
    std::fs::create_dir_all(folder).context("found")?;
    let stem = options.path()?.file_stem().unwrap_or_default().to_string_lossy().into_owned();
    let path = folder.join(format!("{stem}-{policy}-{}.toml", found.results.seed));
    write(&path, &found.text)?;
    write_stdout(&found.results.table());
    let (before, after) = found.changes;
    write_stdout(&format!(
        "loss {:.3} ({:.3} before reduction from {before} changes to {after}): {}\n",
        found.loss,
        found.unreduced_loss,
        path.display()
    ));
    if let Some(path) = &options.json {
        write(path, &(serde_json::to_string_pretty(&found.results)? + "\n"))?;
    }
    Ok(exit_code(&[found.results]))
}

/// Runs a fleet plan with one or more seeds; exit code 1 if any run failed.
fn fleet(options: &Options) -> Result<ExitCode> {
    let plan = Plan::read(options.path()?)?;
    let (first, count) = (options.seed.unwrap_or(1), options.seeds.unwrap_or(1));
    // Unlike for the other commands, real processes are the default; virtual time needs `--clock virtual`.
    let real = options.clock.is_none() || options.real()?;
    let lab = std::env::current_exe().context("path of the current executable")?;
    let programs = Programs { proxy: options.proxy.as_ref().map_or(lab.clone(), PathBuf::from), lab };
    let mut failures = 0;
    for seed in first..first.saturating_add(count) {
        if !real {
            let found = rig::virt::simulate(&plan, seed);
            write_stdout(&found.summary());
            failures += found.violations();
            continue;
        }
        let outcome = rig::run_plan(&plan.with_random_faults(seed), seed, &programs)?;
        write_stdout(&outcome.summary());
        // Of several seeds, the files keep the first run that failed, or the last run if none failed.
        if failures == 0 {
            if let Some(file) = &options.json {
                std::fs::write(file, serde_json::to_string_pretty(&outcome)?).context("--json")?;
            }
            if let Some(file) = &options.report {
                std::fs::write(file, rig::report::html_timeline(&outcome)).context("--report")?;
            }
        }
        failures += usize::from(!outcome.violations.is_empty());
    }
    Ok(if failures > 0 { ExitCode::from(1) } else { ExitCode::SUCCESS })
}

/// Writes the tables of the resources needed at the size in two years, or runs the measurements that some of
/// their slopes come from. `--check` compares the page with the tables and changes nothing.
fn capacity(options: &Options) -> Result<ExitCode> {
    let subcommand = options.path.as_deref().and_then(Path::to_str);
    let tables = options.check || options.page.is_some();
    ensure!(subcommand.is_none() || !tables, "--page, --check: not allowed with measure or measure-voters");
    match subcommand {
        Some("measure") => {
            let own = std::env::current_exe().context("path of the current executable")?;
            let program = options.proxy.as_ref().map_or(own, PathBuf::from);
            let measures = capacity::measure::measure_proxy(&program, |line| eprintln!("{line}"))?;
            write_stdout(&measures.table());
            if let Some(file) = &options.json {
                write(file, &(serde_json::to_string_pretty(&measures)? + "\n"))?;
            }
            return Ok(ExitCode::SUCCESS);
        }
        Some("measure-voters") => {
            let lab = std::env::current_exe().context("path of the current executable")?;
            let programs = Programs { proxy: options.proxy.as_ref().map_or(lab.clone(), PathBuf::from), lab };
            let voters = capacity::voter_usage::measure_voters(&programs, |line| eprintln!("{line}"))?;
            write_stdout(&capacity::voter_usage::voters_table(&voters));
            if let Some(file) = &options.json {
                write(file, &(serde_json::to_string_pretty(&voters)? + "\n"))?;
            }
            return Ok(ExitCode::SUCCESS);
        }
        Some(other) => bail!("capacity: expected measure, measure-voters or nothing, found {other:?}"),
        None => {}
    }
    let slopes = options.slopes.as_deref().unwrap_or(Path::new(capacity::SLOPES_PATH));
    let file = capacity::slopes::SlopesFile::read(slopes)?;
    match (&options.page, options.check) {
        (page, true) => {
            capacity::check_page(page.as_deref().unwrap_or(Path::new(capacity::PAGE_PATH)), &file)?
        }
        (Some(page), false) => write(page, &capacity::update_page(&capacity::read(page)?, &file)?)?,
        (None, false) => capacity::tables::all(&file)
            .iter()
            .for_each(|(name, table)| write_stdout(&format!("## {name}\n\n{table}\n"))),
    }
    Ok(ExitCode::SUCCESS)
}

/// Runs a whole fleet that receives its configuration through the carrier; exit code 1 if any run failed.
fn scale(options: &Options) -> Result<ExitCode> {
    let (first, count) = (options.seed.unwrap_or(1), options.seeds.unwrap_or(1));
    ensure!(count > 0, "--seeds: expected 1 or more");
    let scale_options = scale::Options {
        real: options.real()?,
        overrides: &options.set,
        json: options.json.as_deref(),
        report: options.report.as_deref(),
    };
    let seeds = first..=first.saturating_add(count - 1);
    let path = options.path.as_deref().context("no plan given; see scenarios/scale")?;
    let passed = scale::run(path, seeds, &scale_options, &write_stdout)?;
    Ok(if passed { ExitCode::SUCCESS } else { ExitCode::from(1) })
}
