//! The command line.

use crate::capacity;
use crate::progress::Progress;
use crate::results::Results;
use crate::rig::{self, Programs, plan::Plan};
use crate::scale;
use crate::scenario::{self, Text};
use crate::{compare, hunt, policy, real, report, sweep, virt};
use anyhow::{Context, Result, bail, ensure};
use lexopt::prelude::*;
use pumicebay_model::spec::Scenario;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

const HELP: &str = "\
pumicebay-lab: plays scenarios against the proxy's decisions, audits the rules, and compares

usage: pumicebay-lab COMMAND ...

  list [FOLDER]        the scenarios that ship, one line each (FOLDER: scenarios)
  run SCENARIO [--clock virtual|real] [--seed N] [--policy NAME] [--proxy PATH]
      [--json FILE] [--report FILE.html] [--set KEY=VALUE]
                       plays one day, in virtual time or with real proxies on loopback
                       sockets (PATH: another build of pumicebay)
  compare SCENARIO --policy A,B,... [--seeds N]
                       paired by seed: mean difference with a 95% interval
  compare SCENARIO --clock real --proxy PATH,PATH,... [--seeds N]
                       the same for builds, on sockets; `self` is the lab's own, PATH+fleet one
                       whose proxies are a fleet
  sweep SCENARIO --set KEY=V1,V2,... [--seeds N] [--report FILE.html]
                       a table and a plot over a grid
  hunt SCENARIO [--runs N] [--json FILE]
                       looks for the day that loses most, cuts it down, and writes it
                       to found/
  fleet PLAN [--clock real|virtual] [--seed N] [--seeds N] [--proxy PATH] [--json FILE] [--report FILE.html]
                       starts the processes of a fleet on loopback, injects PLAN's faults between
                       them, and judges leases and the record by a witness
  capacity [--slopes FILE] [--page FILE [--check]]
                       what the slopes that were measured say at the size in two years, as tables; with
                       --page they are written into the page, or compared with it
  capacity measure|measure-voters [--proxy PATH] [--json FILE]
                       the memory and processor time of a proxy by nodes, changes of the list and requests;
                       of a voter by processes that are linked to it
  scale PLAN [--seed N] [--seeds A..B|N] [--clock virtual|real] [--set KEY=VALUE]
      [--json FILE] [--report FILE.html]
                       plays a whole fleet that takes its configuration by the carrier (A..B: both
                       included)
  help                 print this

Every command takes --threads N. A broken rule makes the exit code 1, a wrong call 2, a run
that is not usable 3.";

/// Days of a hunt, and seeds, where the call has none.
const RUNS: u64 = 100;
const SEEDS: u64 = 10;

#[derive(Default)]
struct Call {
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

pub fn main() -> Result<ExitCode> {
    let call = parse(lexopt::Parser::from_env())?;
    if let Some(threads) = call.threads {
        rayon::ThreadPoolBuilder::new().num_threads(threads).build_global().context("--threads")?;
    }
    match call.command.as_deref() {
        Some("list") => list(call.path.as_deref().unwrap_or(Path::new("scenarios"))),
        Some("run") => run(&call),
        Some("compare") => compare(&call),
        Some("sweep") => sweep(&call),
        Some("hunt") => hunt(&call),
        Some("fleet") => fleet(&call),
        Some("capacity") => capacity(&call),
        Some("scale") => scale(&call),
        Some("help") => {
            say(&format!("{HELP}\n"));
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
            Long("seeds") => {
                let text = args.value()?.string()?;
                match text.split_once("..") {
                    // From one to another, both included.
                    Some((first, last)) => {
                        let number = |text: &str| {
                            text.parse::<u64>()
                                .with_context(|| format!("--seeds: expected A..B, found {text:?}"))
                        };
                        let (first, last) = (number(first)?, number(last)?);
                        ensure!(first <= last, "--seeds: expected A..B with A no higher than B");
                        (call.seed, call.seeds) = (Some(first), Some(last - first + 1));
                    }
                    None => {
                        let count = text
                            .parse()
                            .with_context(|| format!("--seeds: expected a count, found {text:?}"))?;
                        call.seeds = Some(count);
                    }
                }
            }
            Long("runs") => call.runs = Some(args.value()?.parse()?),
            Long("policy") => call.policy = Some(args.value()?.string()?),
            Long("proxy") => call.proxy = Some(args.value()?.string()?),
            Long("json") => call.json = Some(args.value()?.into()),
            Long("report") => call.report = Some(args.value()?.into()),
            Long("slopes") => call.slopes = Some(args.value()?.into()),
            Long("page") => call.page = Some(args.value()?.into()),
            Long("check") => call.check = true,
            Long("threads") => call.threads = Some(args.value()?.parse()?),
            Long("set") => {
                let text = args.value()?.string()?;
                let (key, value) = text.split_once('=').context("--set: expected KEY=VALUE")?;
                call.set.push((key.into(), value.into()));
            }
            Short('h') | Long("help") => call.command = Some("help".into()),
            Value(word) if call.command.is_none() => call.command = Some(word.string()?),
            Value(path) if call.path.is_none() => call.path = Some(path.into()),
            other => return Err(other.unexpected().into()),
        }
    }
    Ok(call)
}

impl Call {
    fn path(&self) -> Result<&Path> {
        self.path.as_deref().context("no scenario; see pumicebay-lab list")
    }

    fn read(&self) -> Result<Scenario> {
        let mut day = scenario::read(self.path()?, &self.set)?;
        day.seed = self.seed.unwrap_or(day.seed);
        Ok(day)
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
        policy::named(name).context("--policy")?;
        Ok(name)
    }

    fn seeds(&self) -> Result<u64> {
        let seeds = self.seeds.unwrap_or(SEEDS);
        ensure!(seeds > 0, "--seeds: expected 1 or more");
        Ok(seeds)
    }
}

/// A reader that has seen enough ends nothing.
fn say(text: &str) {
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
            Ok(day) => day.description,
            Err(error) => format!("can't be read: {error:#}"),
        };
        say(&format!("{:<32} {line}\n", path.display().to_string()));
    }
    Ok(ExitCode::SUCCESS)
}

fn run(call: &Call) -> Result<ExitCode> {
    let (day, policy) = (call.read()?, call.policy()?);
    let progress = Progress::new(&day.name, 1);
    let shows = |part| progress.at(part);
    let results = if call.real()? {
        ensure!(policy == "pumicebay", "--policy: baselines are played in virtual time only");
        real::play(&day, day.seed, call.proxy.as_ref().map(PathBuf::from).as_ref(), &shows)?
    } else {
        ensure!(call.proxy.is_none(), "--proxy: goes with --clock real");
        virt::play(&day, policy, day.seed, &shows)?
    };
    drop(progress);
    say(&results.table());
    if let Some(path) = &call.json {
        write(path, &(serde_json::to_string_pretty(&results)? + "\n"))?;
    }
    // A day on sockets leaves a report in any case: it can't be played again to the letter.
    let place = std::env::temp_dir().join(format!("pumicebay-{}.html", day.name));
    let path = call.report.as_ref().or(call.real()?.then_some(&place));
    if let Some(path) = path {
        write(path, &report::html(&results)?)?;
        say(&format!("  report: {}\n", path.display()));
    }
    Ok(code(&[results]))
}

fn code(days: &[Results]) -> ExitCode {
    if days.iter().any(|day| !day.rules_kept()) {
        ExitCode::from(1)
    } else if days.iter().any(|day| !day.usable) {
        ExitCode::from(3)
    } else {
        ExitCode::SUCCESS
    }
}

/// The first name's own days decide the exit code: the others are there to be compared with.
fn compare(call: &Call) -> Result<ExitCode> {
    let (day, seeds) = (call.read()?, call.seeds()?);
    let names = |text: &str| text.split(',').map(str::to_string).collect::<Vec<_>>();
    let (names, days) = if call.real()? {
        let proxies = names(call.proxy.as_deref().context("--proxy: expected paths, as A,B")?);
        let days = compare::builds(&day, &proxies, seeds)?;
        (proxies, days)
    } else {
        let policies = names(call.policy.as_deref().context("--policy: expected names, as A,B")?);
        let days = compare::days(&day, &policies, seeds)?;
        (policies, days)
    };
    say(&compare::table(&names, &days));
    Ok(code(&days[0]))
}

fn sweep(call: &Call) -> Result<ExitCode> {
    ensure!(!call.set.is_empty(), "--set: expected KEY=V1,V2,...");
    let (text, policy) = (Text::read(call.path()?)?, call.policy()?);
    let values = |(key, values): &(String, String)| {
        (key.clone(), values.split(',').map(str::to_string).collect::<Vec<_>>())
    };
    let set: Vec<_> = call.set.iter().map(values).collect();
    let points = sweep::play(&text, &set, policy, call.seeds()?, call.seed)?;
    say(&sweep::table(&points));
    if let Some(path) = &call.report {
        let name = call.path()?.file_stem().unwrap_or_default().to_string_lossy().into_owned();
        write(path, &report::sweep_html(&name, policy, &points)?)?;
        say(&format!("report: {}\n", path.display()));
    }
    Ok(ExitCode::SUCCESS)
}

fn hunt(call: &Call) -> Result<ExitCode> {
    let (text, policy) = (Text::read(call.path()?)?, call.policy()?);
    let found = hunt::hunt(&text, policy, call.runs.unwrap_or(RUNS), call.seed)?;
    let folder = Path::new("found");
    std::fs::create_dir_all(folder).context("found")?;
    let stem = call.path()?.file_stem().unwrap_or_default().to_string_lossy().into_owned();
    let path = folder.join(format!("{stem}-{policy}-{}.toml", found.results.seed));
    write(&path, &found.text)?;
    say(&found.results.table());
    let (before, after) = found.changes;
    say(&format!(
        "loses {:.3} ({:.3} before it was cut down from {before} changes to {after}): {}\n",
        found.loss,
        found.whole_loss,
        path.display()
    ));
    if let Some(path) = &call.json {
        write(path, &(serde_json::to_string_pretty(&found.results)? + "\n"))?;
    }
    Ok(code(&[found.results]))
}

/// Plays a fleet's plan under one seed or several; exit code 1 where anything went wrong.
fn fleet(call: &Call) -> Result<ExitCode> {
    let plan = Plan::read(call.path()?)?;
    let (first, count) = (call.seed.unwrap_or(1), call.seeds.unwrap_or(1));
    // Processes are what a fleet is about: virtual time has to be asked for.
    let real = call.clock.is_none() || call.real()?;
    let lab = std::env::current_exe().context("this program's own path")?;
    let programs = Programs { proxy: call.proxy.as_ref().map_or(lab.clone(), PathBuf::from), lab };
    let mut wrong = 0;
    for seed in first..first.saturating_add(count) {
        if !real {
            let found = rig::virt::simulate(&plan, seed);
            say(&found.summary());
            wrong += found.violations();
            continue;
        }
        let outcome = rig::run_plan(&plan.with_random_faults(seed), seed, &programs)?;
        say(&outcome.summary());
        // Of several seeds, the first that went wrong is kept, or the last.
        if wrong == 0 {
            if let Some(file) = &call.json {
                std::fs::write(file, serde_json::to_string_pretty(&outcome)?).context("--json")?;
            }
            if let Some(file) = &call.report {
                std::fs::write(file, rig::report::html_timeline(&outcome)).context("--report")?;
            }
        }
        wrong += usize::from(!outcome.violations.is_empty());
    }
    Ok(if wrong > 0 { ExitCode::from(1) } else { ExitCode::SUCCESS })
}

/// The tables of the size in two years, or the measures that some of its slopes come from. `--check` compares and changes
/// nothing.
fn capacity(call: &Call) -> Result<ExitCode> {
    let words = call.path.as_deref().and_then(Path::to_str);
    let tables = call.check || call.page.is_some();
    ensure!(words.is_none() || !tables, "--page, --check: do not go with measure");
    match words {
        Some("measure") => {
            let own = std::env::current_exe().context("this program's own path")?;
            let program = call.proxy.as_ref().map_or(own, PathBuf::from);
            let measures = capacity::measure::measure_proxy(&program, |line| eprintln!("{line}"))?;
            say(&measures.table());
            if let Some(file) = &call.json {
                write(file, &(serde_json::to_string_pretty(&measures)? + "\n"))?;
            }
            return Ok(ExitCode::SUCCESS);
        }
        Some("measure-voters") => {
            let lab = std::env::current_exe().context("this program's own path")?;
            let programs = Programs { proxy: call.proxy.as_ref().map_or(lab.clone(), PathBuf::from), lab };
            let voters = capacity::measure::measure_voters(&programs, |line| eprintln!("{line}"))?;
            say(&capacity::measure::voters_table(&voters));
            if let Some(file) = &call.json {
                write(file, &(serde_json::to_string_pretty(&voters)? + "\n"))?;
            }
            return Ok(ExitCode::SUCCESS);
        }
        Some(other) => bail!("capacity: expected measure, measure-voters or nothing, found {other:?}"),
        None => {}
    }
    let slopes = call.slopes.as_deref().unwrap_or(Path::new(capacity::SLOPES_PATH));
    let file = capacity::slopes::SlopesFile::read(slopes)?;
    match (&call.page, call.check) {
        (page, true) => {
            capacity::check_page(page.as_deref().unwrap_or(Path::new(capacity::PAGE_PATH)), &file)?
        }
        (Some(page), false) => write(page, &capacity::update_page(&capacity::read(page)?, &file)?)?,
        (None, false) => capacity::tables::all(&file)
            .iter()
            .for_each(|(name, table)| say(&format!("## {name}\n\n{table}\n"))),
    }
    Ok(ExitCode::SUCCESS)
}

/// Plays a whole fleet that takes its configuration by the carrier; exit code 1 where anything went wrong.
fn scale(call: &Call) -> Result<ExitCode> {
    let (first, count) = (call.seed.unwrap_or(1), call.seeds.unwrap_or(1));
    ensure!(count > 0, "--seeds: expected 1 or more");
    let wants = scale::Options {
        real: call.real()?,
        overrides: &call.set,
        json: call.json.as_deref(),
        report: call.report.as_deref(),
    };
    let seeds = first..=first.saturating_add(count - 1);
    let path = call.path.as_deref().context("no plan; see scenarios/scale")?;
    let well = scale::run(path, seeds, &wants, &say)?;
    Ok(if well { ExitCode::SUCCESS } else { ExitCode::from(1) })
}
