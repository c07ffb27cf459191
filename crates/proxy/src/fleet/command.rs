//! `pumicebay fleet ...`: what operators ask of a fleet. Each command reads a configuration's section `fleet` alone.

use crate::fleet::carrier::command as carrier;
use crate::fleet::command_link::{ANSWER_TIMEOUT, CommandLink};
use crate::fleet::config::FleetConfig;
use crate::fleet::local_process::{FleetClock, LocalProcess, new_incarnation, random_id};
use crate::fleet::replication::command as replication;
use crate::fleet::voter_client::VoterClient;
use crate::fleet::wire::{Frame, Hello, VoterStatus};
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
const QUORUM_TIMEOUT: Duration = Duration::from_secs(5);

#[derive(Default)]
struct Arguments {
    command: Option<String>,
    operands: Vec<String>,
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
    let mut arguments = Arguments::default();
    while let Some(arg) = args.next()? {
        match arg {
            Long("config") => arguments.file = Some(args.value()?.string()?),
            Long("json") => arguments.json = true,
            Long("lease") => arguments.lease = Some(args.value()?.string()?),
            Long("time") => arguments.time = Some(args.value()?.parse().context("--time")?),
            Long("give-up") => arguments.give_up = Some(args.value()?.parse().context("--give-up")?),
            Long("from") => arguments.from = Some(args.value()?.into()),
            Long("wait") => arguments.wait = Some(args.value()?.parse().context("--wait")?),
            Long("version") => arguments.version = Some(args.value()?.parse().context("--version")?),
            Short('h') | Long("help") => arguments.command = Some("help".into()),
            Value(word) if arguments.command.is_none() => arguments.command = Some(word.string()?),
            Value(word) => {
                arguments.operands.push(word.string()?);
                // What follows the first word of a command to run belongs to that command.
                if matches!(arguments.command.as_deref(), Some("run" | "guard")) {
                    let rest = args.raw_args()?.map(|word| word.into_string());
                    arguments
                        .operands
                        .extend(rest.collect::<Result<Vec<_>, _>>().map_err(|w| anyhow::anyhow!("{w:?}"))?);
                }
            }
            other => return Err(other.unexpected().into()),
        }
    }
    let command = arguments.command.as_deref().context("no command; see pumicebay fleet help")?;
    if command == "help" {
        println!("{HELP}");
        return Ok(ExitCode::SUCCESS);
    }
    if command == "guard" {
        let (program, arguments) = arguments.operands.split_first().context("guard: no command")?;
        return runtime.block_on(run::guard(program, arguments));
    }
    let file = arguments.file.clone().or_else(|| std::env::var("PROXY_CONFIG").ok());
    let file = file.context("no configuration: neither --config nor $PROXY_CONFIG is given")?;
    let text = std::fs::read_to_string(&file).with_context(|| format!("configuration {file}"))?;
    let config: Json = serde_json::from_str(&text).with_context(|| format!("configuration {file}"))?;
    let config = FleetConfig::parse(&config, "").with_context(|| format!("configuration {file}"))?;
    let config = Arc::new(config.context("fleet: missing; this proxy is in no fleet")?);
    runtime.block_on(arguments.execute(command, config))
}

impl Arguments {
    fn wait_time(&self) -> Result<Option<Duration>> {
        self.wait.map(|wait| parse_seconds("--wait", wait)).transpose()
    }

    async fn execute(&self, command: &str, config: Arc<FleetConfig>) -> Result<ExitCode> {
        match (command, &self.operands[..]) {
            ("status", []) => return status(&config, self.json).await,
            ("found", []) => return bootstrap(&config, self.from.as_deref(), self.wait).await,
            ("trust", [name]) => return trust(&config, name).await,
            ("drain", [node]) => return replication::order(config, node, true, self.wait_time()?).await,
            ("undrain", [node]) => return replication::order(config, node, false, self.wait_time()?).await,
            ("orders", []) => return replication::orders(config, self.json).await,
            ("changes", []) => return carrier::changes(&config, self.json).await,
            ("set", [scope, name, file]) => {
                return carrier::change(&config, scope, name, Some(file), self.wait_time()?).await;
            }
            ("unset", [scope, name]) => {
                return carrier::change(&config, scope, name, None, self.wait_time()?).await;
            }
            _ => {}
        }
        let id =
            ProcessId { name: format!("command-{:08x}", random_id() as u32), incarnation: new_incarnation() };
        let clock = FleetClock::new(config.clock_ppm);
        let local = LocalProcess { id, config, clock };
        let mut actors = JoinSet::new();
        let voters = start_command(&local, &mut actors);
        match (command, &self.operands[..]) {
            ("run", [program, arguments @ ..]) => {
                let lease = self.lease.as_deref().context("run: --lease NAME is missing")?;
                let time = parse_seconds("--time", self.time.unwrap_or(10.0))?;
                let give_up = self.give_up.map(|give_up| parse_seconds("--give-up", give_up)).transpose()?;
                run::run(voters, lease, time, give_up, program, arguments).await
            }
            ("run", []) => bail!("run: no command; it follows --"),
            ("take-away", [name]) => {
                print_reply(voters.submit(OperationKind::TakeAway(name.clone()), QUORUM_TIMEOUT).await)
            }
            ("get", [name]) => {
                let record = read(&voters).await?;
                let entry = record.0.values.get(name).with_context(|| format!("no value {name:?}"))?;
                println!("{} {}", entry.version, entry.text);
                Ok(ExitCode::SUCCESS)
            }
            ("put", [name, text]) => {
                let (name, text) = (name.clone(), text.clone());
                let kind = OperationKind::Put { name, text, expected_version: self.version, fence: None };
                print_reply(voters.submit(kind, QUORUM_TIMEOUT).await)
            }
            ("replace", [replaced]) => replace(&voters, replaced, replaced).await,
            ("replace", [replaced, new]) => replace(&voters, replaced, new).await,
            (command, words) => bail!("{command:?} with {} words; see pumicebay fleet help", words.len()),
        }
    }
}

fn parse_seconds(key: &str, value: f64) -> Result<Duration> {
    let time = Duration::try_from_secs_f64(value).ok().filter(|time| *time >= Duration::from_millis(100));
    time.filter(|time| *time <= Duration::from_secs(86_400))
        .with_context(|| format!("{key}: expected 0.1 to 86400 seconds"))
}

fn print_reply(reply: Reply) -> Result<ExitCode> {
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

async fn read(voters: &VoterClient) -> Result<SharedRecord> {
    match voters.submit(OperationKind::Read, QUORUM_TIMEOUT).await {
        Reply::Record(record) => Ok(record),
        Reply::Unknown => bail!("no majority of the voters answered in time; see pumicebay fleet status"),
        other => bail!("unexpected answer {other:?}"),
    }
}

async fn bootstrap(config: &FleetConfig, from: Option<&Path>, wait: Option<f64>) -> Result<ExitCode> {
    let survivor_record = from.map(|file| survivor(file, &config.name)).transpose()?;
    let wait = wait.map(|wait| parse_seconds("--wait", wait)).transpose()?;
    ensure!(wait.is_none() || survivor_record.is_some(), "--wait: only with --from");
    let (mut links, mut voters) = (Vec::new(), Vec::new());
    for (name, address) in &config.voters {
        let link = CommandLink::connect(config, *address)
            .await
            .with_context(|| format!("voter {name} at {address}"))?;
        let disk = link
            .hello
            .voter
            .as_ref()
            .with_context(|| format!("{name} does not vote, or its disk is not open"))?;
        ensure!(link.hello.id.name == *name, "at {address} is {}, not {name}", link.hello.id);
        ensure!(disk.empty, "{name} has a record, founded at {}: the fleet is founded already", disk.founded);
        voters.push(Member { name: name.clone(), store: disk.store });
        links.push(link);
    }
    let founded = SystemTime::now().duration_since(UNIX_EPOCH)?.as_millis() as u64;
    let record = match survivor_record {
        None => Record::bootstrap(founded, voters),
        Some(survivor_record) => {
            // All voters are empty now: nobody renews a lease of the record before, whose holders stop in their time.
            let wait = wait
                .unwrap_or_else(|| Duration::from_nanos(max_lease_wait(&survivor_record, config.drift_ppm)));
            eprintln!(
                "pumicebay: version {} goes on in {:.1} s: what was agreed after it is lost",
                survivor_record.version,
                wait.as_secs_f64()
            );
            sleep(wait).await;
            Record::bootstrap_from(founded, voters, &survivor_record)
        }
    };
    for link in &mut links {
        let accepted = link
            .query(Frame::Bootstrap(record.clone()), ANSWER_TIMEOUT, accepted)
            .await
            .with_context(|| voter_label(&link.hello))?;
        ensure!(
            accepted,
            "{} took another founding; empty all folders and begin again",
            voter_label(&link.hello)
        );
    }
    println!("founded {} with {} voters", config.name, links.len());
    Ok(ExitCode::SUCCESS)
}

/// The record of a voter that survived, from its file or one that was set aside.
fn survivor(file: &Path, fleet: &str) -> Result<Record> {
    let bytes = std::fs::read(file).with_context(|| format!("--from {}", file.display()))?;
    let state = store::decode(&bytes).with_context(|| format!("--from {}", file.display()))?;
    ensure!(state.fleet == fleet, "--from {}: of fleet {:?}, not {fleet:?}", file.display(), state.fleet);
    ensure!(!state.is_empty(), "--from {}: has no record", file.display());
    Ok((*state.record.0).clone())
}

/// An operator's word for a voter that waits for others who are gone for good.
async fn trust(config: &FleetConfig, name: &str) -> Result<ExitCode> {
    let accepted = CommandLink::connect(config, config.voter_address(name)?)
        .await?
        .query(Frame::TrustDisk, ANSWER_TIMEOUT, accepted)
        .await
        .with_context(|| format!("voter {name}"))?;
    ensure!(accepted, "{name} has nothing to be trusted with: see pumicebay fleet status");
    Ok(ExitCode::SUCCESS)
}

fn accepted(frame: Frame) -> Option<bool> {
    match frame {
        Frame::Accepted(accepted) => Some(accepted),
        _ => None,
    }
}

fn voter_label(hello: &Hello) -> String {
    format!("voter {}", hello.id.name)
}

async fn replace(voters: &VoterClient, replaced: &str, new: &str) -> Result<ExitCode> {
    let config = &voters.local.config;
    let address = config.voter_address(new)?;
    let hello =
        CommandLink::connect(config, address).await.with_context(|| format!("{new} at {address}"))?.hello;
    let disk = hello.voter.with_context(|| format!("{new} does not vote, or its disk is not open"))?;
    let record = read(voters).await?;
    // Asked again after an answer that was lost.
    if record.0.is_voter(disk.store) {
        return Ok(ExitCode::SUCCESS);
    }
    let old = record.0.voter_named(replaced).with_context(|| format!("{replaced} is no voter"))?;
    ensure!(disk.empty || disk.store == old.store, "{new} has voted before: empty its folder first");
    let voter = Member { name: new.into(), store: disk.store };
    print_reply(
        voters.submit(OperationKind::ReplaceVoter { replaced: replaced.into(), voter }, QUORUM_TIMEOUT).await,
    )
}

async fn status(config: &FleetConfig, as_json: bool) -> Result<ExitCode> {
    let mut calls = JoinSet::new();
    for (name, address) in config.potential_voters() {
        let (config, name) = (config.clone(), name.clone());
        calls.spawn(async move {
            let query = async {
                let extract = |frame| match frame {
                    Frame::Status(status) => Some(*status),
                    _ => None,
                };
                CommandLink::connect(&config, address)
                    .await?
                    .query(Frame::StatusRequest, ANSWER_TIMEOUT, extract)
                    .await
            };
            (name, query.await)
        });
    }
    let all: BTreeMap<String, Result<VoterStatus>> = calls.join_all().await.into_iter().collect();
    let reachable: Vec<&VoterStatus> = all.values().flatten().collect();
    // Agreed is what a majority of the voters has accepted alike; until then the newest is shown, and said to be so.
    let newest = reachable.iter().max_by_key(|status| (status.record.0.founded, status.record.0.version));
    let record = newest.map(|status| status.record.clone()).unwrap_or_default();
    let holds_record = |status: &&&VoterStatus| {
        status.record == record && status.is_current_voter && status.disk_error.is_none()
    };
    let agreed =
        record.0.has_quorum(&reachable.iter().filter(holds_record).map(|status| status.disk.store).collect());
    let status_json = status_json(&all, &record, agreed);
    if as_json {
        println!("{status_json:#}");
    } else {
        print!("{}", status_text(&status_json));
    }
    Ok(if agreed { ExitCode::SUCCESS } else { ExitCode::from(3) })
}

fn status_json(all: &BTreeMap<String, Result<VoterStatus>>, record: &SharedRecord, agreed: bool) -> Json {
    let voters = all.iter().map(|(name, status)| match status {
        Ok(status) => json!({
            "name": name, "standing": format!("{:?}", status.voting_state), "seated": status.is_current_voter,
            "trouble": status.disk_error, "store": format!("{:016x}", status.disk.store),
            "written": status.disk.write_count, "version": status.record.0.version,
        }),
        Err(error) => json!({"name": name, "standing": "unreachable", "trouble": format!("{error:#}")}),
    });
    // Who is there: the best that any voter says of it, and the newest life.
    let rank =
        |seen: &PeerState| matches!(seen, PeerState::Up) as u8 * 2 + matches!(seen, PeerState::Silent) as u8;
    let mut present: BTreeMap<&String, (u64, u8, &PeerState, u64)> = BTreeMap::new();
    for (name, incarnation, seen, silent_for) in all.values().flatten().flat_map(|status| &status.peers) {
        let this = (*incarnation, rank(seen), seen, *silent_for);
        let best = present.entry(name).or_insert(this);
        if (this.0, this.1, u64::MAX - this.3) > (best.0, best.1, u64::MAX - best.3) {
            *best = this;
        }
    }
    let left = |name: &String| {
        let reported = |status: &VoterStatus| {
            status.remaining_leases.iter().find(|(lease, _)| lease == name).map(|(_, left)| *left)
        };
        all.values()
            .flatten()
            .filter(|status| status.record == *record)
            .filter_map(reported)
            .min()
            .unwrap_or(0)
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
        "proxies": present.iter().map(|(name, (incarnation, _, seen, silent_for))| {
            json!({"name": name, "incarnation": incarnation, "seen": format!("{seen:?}"), "heard_s": *silent_for as f64 / 1e9})
        }).collect::<Vec<_>>(),
        "leases": record.0.leases.iter().map(lease).collect::<Vec<_>>(),
        "values": record.0.values.iter().map(|(name, entry)| {
            json!({"name": name, "version": entry.version, "text": entry.text})
        }).collect::<Vec<_>>(),
    })
}

fn status_text(status_json: &Json) -> String {
    let text = |json: &Json| match json {
        Json::String(text) => text.clone(),
        Json::Null => "-".into(),
        Json::Number(number) if number.is_f64() => format!("{:.1}", number.as_f64().unwrap_or(0.0)),
        other => other.to_string(),
    };
    let agreed = match status_json["agreed"].as_bool() {
        Some(true) => "agreed",
        _ => "NOT AGREED: no majority of the seats has it alike; shown is the newest seen",
    };
    let mut lines = format!(
        "record {} of {} bytes, {agreed}\n",
        text(&status_json["version"]),
        text(&status_json["bytes"])
    );
    for (what, keys) in [
        ("voters", &["name", "standing", "seated", "version", "trouble"][..]),
        ("leases", &["name", "holder", "token", "left_s", "taken_away"]),
        ("values", &["name", "version", "text"]),
        ("proxies", &["name", "incarnation", "seen", "heard_s"]),
    ] {
        let rows = status_json[what].as_array().map_or(&[][..], Vec::as_slice);
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
