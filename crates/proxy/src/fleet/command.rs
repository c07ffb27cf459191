//! `pumicebay fleet ...`: what operators ask of a fleet. Each command reads a configuration's section `fleet` alone.

use crate::fleet::carrier::command as carrier;
use crate::fleet::command_link::{ANSWERS, Called};
use crate::fleet::config::FleetConfig;
use crate::fleet::local_process::{FleetClock, Me, draw, incarnation};
use crate::fleet::replication::command as replication;
use crate::fleet::voter_client::Asker;
use crate::fleet::wire::{Frame, Hello, Status};
use crate::fleet::{run, start_command, store};
use anyhow::{Context, Result, bail, ensure};
use lexopt::prelude::*;
use pumicebay_accord::{
    Lease, Member, OperationKind, PeerState, ProcessId, Record, Reply, SharedRecord, max_lease_wait,
};
use serde_json::{Value as Json, json};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::task::JoinSet;
use tokio::time::sleep;

pub const HELP: &str = "\
usage: pumicebay fleet COMMAND [--config FILE]

  status [--json]             voters, proxies, leases and how old what is shown is
  found [--from FILE] [--wait SECONDS]
                              makes the fleet's first record; all voters have to be there, with empty folders. FILE is a
                              voter's that survived the loss of the others: its record goes on once no lease in it can be
                              held any more, or SECONDS after all voters were found empty
  run --lease NAME [--time SECONDS] [--give-up SECONDS] -- COMMAND...
                              waits for the lease, runs COMMAND with $PUMICEBAY_LEASE and $PUMICEBAY_TOKEN, and ends it
                              when the lease is lost; the exit code is COMMAND's, 75 if it was not run, 76 if it was ended
  take-away NAME              whoever holds the lease renews it no more
  get NAME                    a value and its version
  put NAME TEXT [--version N] writes a value, if its version is still N; an empty TEXT removes it
  trust VOTER                 has a voter that Doubts vote at once: only where those whom it waits for are gone for good,
                              and its disk is surely no older copy
  set SCOPE NAME FILE [--wait SECONDS]
                              has all proxies of SCOPE (fleet, region/R, zone/Z, site/S or proxy/SITE/NAME) lay FILE, a JSON
                              merge patch, over their configuration; - is standard input. Exit code 0: written, and with
                              --wait in force everywhere; 3: not known, or not everywhere; 1: refused
  unset SCOPE NAME [--wait SECONDS]
                              takes that away again
  changes [--json]            the newest version, where it is not in force and why; exit code 3 unless it is everywhere
  drain NODE [--wait SECONDS], undrain NODE [--wait SECONDS]
                              takes a cache node, by its uid, out of service at all proxies of the replication group, or
                              puts it back; under the lease of fleet run, where that starts it. Exit code 0: given, and
                              with --wait it holds at all; 3: not at all, who lacks it is listed; 1: refused
  orders [--json]             what each proxy of the group knows; exit code 3 unless all know the same
  replace VOTER [NEW]         gives VOTER's seat to NEW, one of the spares or a voter, whose folder must be new

FILE is by default what $PROXY_CONFIG names.";

/// How long a command waits for a majority.
const PATIENCE: Duration = Duration::from_secs(5);

#[derive(Default)]
struct Call {
    command: Option<String>,
    words: Vec<String>,
    file: Option<String>,
    json: bool,
    lease: Option<String>,
    time: Option<f64>,
    give_up: Option<f64>,
    version: Option<u64>,
    from: Option<PathBuf>,
    wait: Option<f64>,
}

/// The arguments after `fleet`.
pub fn main(mut args: lexopt::Parser, runtime: &tokio::runtime::Runtime) -> Result<ExitCode> {
    let mut call = Call::default();
    while let Some(arg) = args.next()? {
        match arg {
            Long("config") => call.file = Some(args.value()?.string()?),
            Long("json") => call.json = true,
            Long("lease") => call.lease = Some(args.value()?.string()?),
            Long("time") => call.time = Some(args.value()?.parse().context("--time")?),
            Long("give-up") => call.give_up = Some(args.value()?.parse().context("--give-up")?),
            Long("from") => call.from = Some(args.value()?.into()),
            Long("wait") => call.wait = Some(args.value()?.parse().context("--wait")?),
            Long("version") => call.version = Some(args.value()?.parse().context("--version")?),
            Short('h') | Long("help") => call.command = Some("help".into()),
            Value(word) if call.command.is_none() => call.command = Some(word.string()?),
            Value(word) => {
                call.words.push(word.string()?);
                // What follows the first word of a command to run belongs to that command.
                if matches!(call.command.as_deref(), Some("run" | "guard")) {
                    let rest = args.raw_args()?.map(|word| word.into_string());
                    call.words
                        .extend(rest.collect::<Result<Vec<_>, _>>().map_err(|w| anyhow::anyhow!("{w:?}"))?);
                }
            }
            other => return Err(other.unexpected().into()),
        }
    }
    let command = call.command.as_deref().context("no command; see pumicebay fleet help")?;
    if command == "help" {
        println!("{HELP}");
        return Ok(ExitCode::SUCCESS);
    }
    if command == "guard" {
        let (program, arguments) = call.words.split_first().context("guard: no command")?;
        return runtime.block_on(run::guard(program, arguments));
    }
    let file = call.file.clone().or_else(|| std::env::var("PROXY_CONFIG").ok());
    let file = file.context("no configuration: neither --config nor $PROXY_CONFIG is given")?;
    let text = std::fs::read_to_string(&file).with_context(|| format!("configuration {file}"))?;
    let config: Json = serde_json::from_str(&text).with_context(|| format!("configuration {file}"))?;
    let config = FleetConfig::parse(&config, "").with_context(|| format!("configuration {file}"))?;
    let config = Arc::new(config.context("fleet: missing; this proxy is in no fleet")?);
    runtime.block_on(call.carry_out(command, config))
}

impl Call {
    fn waits(&self) -> Result<Option<Duration>> {
        self.wait.map(|wait| seconds("--wait", wait)).transpose()
    }

    async fn carry_out(&self, command: &str, config: Arc<FleetConfig>) -> Result<ExitCode> {
        match (command, &self.words[..]) {
            ("status", []) => return status(&config, self.json).await,
            ("found", []) => return found(&config, self.from.as_deref(), self.wait).await,
            ("trust", [name]) => return trust(&config, name).await,
            ("drain", [node]) => return replication::order(config, node, true, self.waits()?).await,
            ("undrain", [node]) => return replication::order(config, node, false, self.waits()?).await,
            ("orders", []) => return replication::orders(config, self.json).await,
            ("changes", []) => return carrier::changes(&config, self.json).await,
            ("set", [scope, name, file]) => {
                return carrier::change(&config, scope, name, Some(file), self.waits()?).await;
            }
            ("unset", [scope, name]) => {
                return carrier::change(&config, scope, name, None, self.waits()?).await;
            }
            _ => {}
        }
        let who = ProcessId { name: format!("command-{:08x}", draw() as u32), incarnation: incarnation() };
        let clock = FleetClock::new(config.clock_ppm);
        let me = Me { who, config, clock };
        let mut actors = JoinSet::new();
        let asker = start_command(&me, &mut actors);
        match (command, &self.words[..]) {
            ("run", [program, arguments @ ..]) => {
                let lease = self.lease.as_deref().context("run: --lease NAME is missing")?;
                let time = seconds("--time", self.time.unwrap_or(10.0))?;
                let give_up = self.give_up.map(|give_up| seconds("--give-up", give_up)).transpose()?;
                run::run(asker, lease, time, give_up, program, arguments).await
            }
            ("run", []) => bail!("run: no command; it follows --"),
            ("take-away", [name]) => done(asker.want(OperationKind::TakeAway(name.clone()), PATIENCE).await),
            ("get", [name]) => {
                let record = read(&asker).await?;
                let entry = record.0.values.get(name).with_context(|| format!("no value {name:?}"))?;
                println!("{} {}", entry.version, entry.text);
                Ok(ExitCode::SUCCESS)
            }
            ("put", [name, text]) => {
                let (name, text) = (name.clone(), text.clone());
                let want = OperationKind::Put { name, text, expected_version: self.version, fence: None };
                done(asker.want(want, PATIENCE).await)
            }
            ("replace", [out]) => replace(&asker, out, out).await,
            ("replace", [out, new]) => replace(&asker, out, new).await,
            (command, words) => bail!("{command:?} with {} words; see pumicebay fleet help", words.len()),
        }
    }
}

fn seconds(key: &str, value: f64) -> Result<Duration> {
    let time = Duration::try_from_secs_f64(value).ok().filter(|time| *time >= Duration::from_millis(100));
    time.filter(|time| *time <= Duration::from_secs(86_400))
        .with_context(|| format!("{key}: expected 0.1 to 86400 seconds"))
}

fn done(reply: Reply) -> Result<ExitCode> {
    match reply {
        Reply::Done => Ok(ExitCode::SUCCESS),
        Reply::Written(version) => {
            println!("{version}");
            Ok(ExitCode::SUCCESS)
        }
        Reply::Refused(why) => bail!("{why}"),
        Reply::Unknown => {
            bail!("no majority of the voters answered in time; whether it was done is not known")
        }
        other => bail!("unexpected answer {other:?}"),
    }
}

async fn read(asker: &Asker) -> Result<SharedRecord> {
    match asker.want(OperationKind::Read, PATIENCE).await {
        Reply::Record(record) => Ok(record),
        Reply::Unknown => bail!("no majority of the voters answered in time; see pumicebay fleet status"),
        other => bail!("unexpected answer {other:?}"),
    }
}

async fn found(config: &FleetConfig, from: Option<&Path>, wait: Option<f64>) -> Result<ExitCode> {
    let survived = from.map(|file| survivor(file, &config.name)).transpose()?;
    let wait = wait.map(|wait| seconds("--wait", wait)).transpose()?;
    ensure!(wait.is_none() || survived.is_some(), "--wait: only with --from");
    let (mut called, mut voters) = (Vec::new(), Vec::new());
    for (name, at) in &config.voters {
        let one = Called::call(config, *at).await.with_context(|| format!("voter {name} at {at}"))?;
        let disk = one
            .hello
            .voter
            .as_ref()
            .with_context(|| format!("{name} does not vote, or its disk is not open"))?;
        ensure!(one.hello.who.name == *name, "at {at} is {}, not {name}", one.hello.who);
        ensure!(disk.empty, "{name} has a record, founded at {}: the fleet is founded already", disk.founded);
        voters.push(Member { name: name.clone(), store: disk.store });
        called.push(one);
    }
    let founded = SystemTime::now().duration_since(UNIX_EPOCH)?.as_millis() as u64;
    let record = match survived {
        None => Record::bootstrap(founded, voters),
        Some(survived) => {
            // All voters are empty now: nobody renews a lease of the record before, whose holders stop in their time.
            let wait =
                wait.unwrap_or_else(|| Duration::from_nanos(max_lease_wait(&survived, config.drift_ppm)));
            eprintln!(
                "pumicebay: version {} goes on in {:.1} s: what was agreed after it is lost",
                survived.version,
                wait.as_secs_f64()
            );
            sleep(wait).await;
            Record::bootstrap_from(founded, voters, &survived)
        }
    };
    for one in &mut called {
        let taken = one
            .ask(Frame::Found(record.clone()), ANSWERS, taken)
            .await
            .with_context(|| one_name(&one.hello))?;
        ensure!(taken, "{} took another founding; empty all folders and begin again", one_name(&one.hello));
    }
    println!("founded {} with {} voters", config.name, called.len());
    Ok(ExitCode::SUCCESS)
}

/// The record of a voter that survived, from its file or one that was set aside.
fn survivor(file: &Path, fleet: &str) -> Result<Record> {
    let bytes = std::fs::read(file).with_context(|| format!("--from {}", file.display()))?;
    let kept = store::decode(&bytes).with_context(|| format!("--from {}", file.display()))?;
    ensure!(kept.fleet == fleet, "--from {}: of fleet {:?}, not {fleet:?}", file.display(), kept.fleet);
    ensure!(!kept.is_empty(), "--from {}: has no record", file.display());
    Ok((*kept.record.0).clone())
}

/// An operator's word for a voter that waits for others who are gone for good.
async fn trust(config: &FleetConfig, name: &str) -> Result<ExitCode> {
    let taken = Called::call(config, config.called(name)?)
        .await?
        .ask(Frame::Trust, ANSWERS, taken)
        .await
        .with_context(|| format!("voter {name}"))?;
    ensure!(taken, "{name} has nothing to be trusted with: see pumicebay fleet status");
    Ok(ExitCode::SUCCESS)
}

fn taken(frame: Frame) -> Option<bool> {
    match frame {
        Frame::Taken(taken) => Some(taken),
        _ => None,
    }
}

fn one_name(hello: &Hello) -> String {
    format!("voter {}", hello.who.name)
}

async fn replace(asker: &Asker, out: &str, new: &str) -> Result<ExitCode> {
    let config = &asker.me.config;
    let at = config.called(new)?;
    let hello = Called::call(config, at).await.with_context(|| format!("{new} at {at}"))?.hello;
    let disk = hello.voter.with_context(|| format!("{new} does not vote, or its disk is not open"))?;
    let record = read(asker).await?;
    // Asked again after an answer that was lost.
    if record.0.is_voter(disk.store) {
        return Ok(ExitCode::SUCCESS);
    }
    let old = record.0.voter_named(out).with_context(|| format!("{out} is no voter"))?;
    ensure!(disk.empty || disk.store == old.store, "{new} has voted before: empty its folder first");
    let voter = Member { name: new.into(), store: disk.store };
    done(asker.want(OperationKind::ReplaceVoter { replaced: out.into(), voter }, PATIENCE).await)
}

async fn status(config: &FleetConfig, as_json: bool) -> Result<ExitCode> {
    let mut calls = JoinSet::new();
    for (name, at) in config.callable() {
        let (config, name) = (config.clone(), name.clone());
        calls.spawn(async move {
            let asked = async {
                let wanted = |frame| match frame {
                    Frame::StatusIs(status) => Some(*status),
                    _ => None,
                };
                Called::call(&config, at).await?.ask(Frame::Status, ANSWERS, wanted).await
            };
            (name, asked.await)
        });
    }
    let all: BTreeMap<String, Result<Status>> = calls.join_all().await.into_iter().collect();
    let there: Vec<&Status> = all.values().flatten().collect();
    // Agreed is what a majority of the voters has accepted alike; until then the newest is shown, and said to be so.
    let newest = there.iter().max_by_key(|status| (status.record.0.founded, status.record.0.version));
    let record = newest.map(|status| status.record.clone()).unwrap_or_default();
    let same = |status: &&&Status| status.record == record && status.seated && status.trouble.is_none();
    let agreed = record.0.has_quorum(&there.iter().filter(same).map(|status| status.disk.store).collect());
    let shown = shown(&all, &record, agreed);
    if as_json {
        println!("{shown:#}");
    } else {
        print!("{}", words(&shown));
    }
    Ok(if agreed { ExitCode::SUCCESS } else { ExitCode::from(3) })
}

fn shown(all: &BTreeMap<String, Result<Status>>, record: &SharedRecord, agreed: bool) -> Json {
    let voters = all.iter().map(|(name, status)| match status {
        Ok(status) => json!({
            "name": name, "standing": format!("{:?}", status.standing), "seated": status.seated,
            "trouble": status.trouble, "store": format!("{:016x}", status.disk.store),
            "written": status.disk.written, "version": status.record.0.version,
        }),
        Err(error) => json!({"name": name, "standing": "unreachable", "trouble": format!("{error:#}")}),
    });
    // Who is there: the best that any voter says of it, and the newest life.
    let rank =
        |seen: &PeerState| matches!(seen, PeerState::Up) as u8 * 2 + matches!(seen, PeerState::Silent) as u8;
    let mut present: BTreeMap<&String, (u64, u8, &PeerState, u64)> = BTreeMap::new();
    for (name, life, seen, ago) in all.values().flatten().flat_map(|status| &status.present) {
        let this = (*life, rank(seen), seen, *ago);
        let best = present.entry(name).or_insert(this);
        if (this.0, this.1, u64::MAX - this.3) > (best.0, best.1, u64::MAX - best.3) {
            *best = this;
        }
    }
    let left = |name: &String| {
        let said =
            |status: &Status| status.left.iter().find(|(lease, _)| lease == name).map(|(_, left)| *left);
        all.values().flatten().filter(|status| status.record == *record).filter_map(said).min().unwrap_or(0)
    };
    let lease = |(name, lease): (&String, &Lease)| {
        json!({
            "name": name, "holder": lease.holder.as_ref().map(ProcessId::to_string), "token": lease.token,
            "seconds": lease.duration as f64 / 1e9, "left_s": left(name) as f64 / 1e9, "taken_away": lease.revoked,
        })
    };
    json!({
        "agreed": agreed, "founded": record.0.founded, "version": record.0.version, "bytes": record.0.encoded_size(),
        "seats": record.0.voters.iter().map(|member| &member.name).collect::<Vec<_>>(),
        "voters": voters.collect::<Vec<_>>(),
        "proxies": present.iter().map(|(name, (life, _, seen, ago))| {
            json!({"name": name, "incarnation": life, "seen": format!("{seen:?}"), "heard_s": *ago as f64 / 1e9})
        }).collect::<Vec<_>>(),
        "leases": record.0.leases.iter().map(lease).collect::<Vec<_>>(),
        "values": record.0.values.iter().map(|(name, entry)| {
            json!({"name": name, "version": entry.version, "text": entry.text})
        }).collect::<Vec<_>>(),
    })
}

fn words(shown: &Json) -> String {
    let text = |json: &Json| match json {
        Json::String(text) => text.clone(),
        Json::Null => "-".into(),
        Json::Number(number) if number.is_f64() => format!("{:.1}", number.as_f64().unwrap_or(0.0)),
        other => other.to_string(),
    };
    let agreed = match shown["agreed"].as_bool() {
        Some(true) => "agreed",
        _ => "NOT AGREED: no majority of the seats has it alike; shown is the newest seen",
    };
    let mut lines =
        format!("record {} of {} bytes, {agreed}\n", text(&shown["version"]), text(&shown["bytes"]));
    for (what, keys) in [
        ("voters", &["name", "standing", "seated", "version", "trouble"][..]),
        ("leases", &["name", "holder", "token", "left_s", "taken_away"]),
        ("values", &["name", "version", "text"]),
        ("proxies", &["name", "incarnation", "seen", "heard_s"]),
    ] {
        let rows = shown[what].as_array().map_or(&[][..], Vec::as_slice);
        if rows.is_empty() {
            continue;
        }
        lines += &format!("{what}: {}\n", keys.join(", "));
        for row in rows {
            let cells: Vec<String> = keys.iter().map(|key| text(&row[*key])).collect();
            lines += &format!("  {}\n", cells.join("  "));
        }
    }
    lines
}
