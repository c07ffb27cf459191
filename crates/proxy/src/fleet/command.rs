//! `pumicebay fleet ...`: the commands for operators of a fleet. They read only the section `fleet` of the
//! configuration.

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

/// The usage text.
pub const HELP: &str = "\
usage: pumicebay fleet COMMAND [--config FILE]

  status [--json]             shows voters, proxies, leases and how old this information is
  found [--from FILE] [--wait SECONDS]
                              creates the fleet's first record. All voters must be reachable and have empty folders.
                              FILE is the file of a voter that survived the loss of the others: its record is continued
                              once no lease in it can still be held, or SECONDS after all voters were found empty
  run --lease NAME [--time SECONDS] [--give-up SECONDS] -- COMMAND...
                              waits for the lease, runs COMMAND with $PUMICEBAY_LEASE and $PUMICEBAY_TOKEN, and ends it
                              when the lease is lost. The exit code is that of COMMAND, 75 if it was not run, or 76 if
                              it was ended because the lease was lost
  take-away NAME              prevents the current holder from renewing the lease
  get NAME                    prints a value and its version
  put NAME TEXT [--version N] writes a value, with --version only if its version is still N; an empty TEXT removes it
  trust VOTER                 lets a voter in state Doubts vote at once. Use it only if the voters that it waits for are
                              gone for good and its disk is certainly not an older copy
  set SCOPE NAME FILE [--wait SECONDS]
                              makes all proxies of SCOPE (fleet, region/R, zone/Z, site/S or proxy/SITE/NAME) apply FILE,
                              a JSON merge patch, to their configuration; - reads standard input. Exit code 0: written,
                              and with --wait in force everywhere; 3: unknown, or not in force everywhere; 1: refused
  unset SCOPE NAME [--wait SECONDS]
                              removes that patch again
  changes [--json]            shows the newest version, where it is not in force and why; exit code 3 unless it is in
                              force everywhere
  drain NODE [--wait SECONDS], undrain NODE [--wait SECONDS]
                              takes a cache node, given by its uid, out of service at all proxies of the replication
                              group, or puts it back; under the lease of fleet run, if started by it. Exit code 0:
                              given, and with --wait in effect at all proxies; 3: not at all proxies, the others are
                              listed; 1: refused
  orders [--json]             shows the orders that each proxy of the group knows; exit code 3 unless all know the same
  replace VOTER [NEW]         gives VOTER's seat to NEW, a spare or a voter, whose folder must be new

--config defaults to $PROXY_CONFIG.";

/// How long a command waits for a reply that needs a majority of the voters.
const QUORUM_TIMEOUT: Duration = Duration::from_secs(5);

/// The parsed command line; operands are the arguments after the command that are not options.
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

/// Parses the arguments after `fleet` and runs the command. Returns its exit code, or an error for code 1.
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
            Value(argument) if arguments.command.is_none() => arguments.command = Some(argument.string()?),
            Value(argument) => {
                arguments.operands.push(argument.string()?);
                // All arguments after the name of the program to run belong to that program.
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
    let config = Arc::new(config.context("fleet: section missing; this proxy belongs to no fleet")?);
    runtime.block_on(arguments.execute(command, config))
}

impl Arguments {
    /// The value of `--wait`.
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
            ("run", []) => bail!("run: no command given after --"),
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
            (command, operands) => bail!(
                "unknown command {command:?} with {} operands; see pumicebay fleet help",
                operands.len()
            ),
        }
    }
}

/// A duration from 0.1 to 86400 seconds; errors name the option `key`.
fn parse_seconds(key: &str, value: f64) -> Result<Duration> {
    let time = Duration::try_from_secs_f64(value).ok().filter(|time| *time >= Duration::from_millis(100));
    time.filter(|time| *time <= Duration::from_secs(86_400))
        .with_context(|| format!("{key}: expected 0.1 to 86400 seconds"))
}

/// Prints the version of a written value and maps the reply to an exit code or error.
fn print_reply(reply: Reply) -> Result<ExitCode> {
    match reply {
        Reply::Done => Ok(ExitCode::SUCCESS),
        Reply::Written(version) => {
            println!("{version}");
            Ok(ExitCode::SUCCESS)
        }
        Reply::Refused(reason) => bail!("{reason}"),
        Reply::Unknown => {
            bail!(
                "no majority of the voters answered in time; it is unknown whether the operation was applied"
            )
        }
        other => bail!("unexpected reply {other:?}"),
    }
}

/// Reads the agreed record.
async fn read(voters: &VoterClient) -> Result<SharedRecord> {
    match voters.submit(OperationKind::Read, QUORUM_TIMEOUT).await {
        Reply::Record(record) => Ok(record),
        Reply::Unknown => bail!("no majority of the voters answered in time; see pumicebay fleet status"),
        other => bail!("unexpected reply {other:?}"),
    }
}

/// Creates the fleet's first record, from a surviving voter's file if `from` is given.
async fn bootstrap(config: &FleetConfig, from: Option<&Path>, wait: Option<f64>) -> Result<ExitCode> {
    let survivor_record = from.map(|file| survivor(file, &config.name)).transpose()?;
    let wait = wait.map(|wait| parse_seconds("--wait", wait)).transpose()?;
    ensure!(wait.is_none() || survivor_record.is_some(), "--wait: only allowed with --from");
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
        ensure!(disk.empty, "{name} already has a record, of a fleet founded at {}", disk.founded);
        voters.push(Member { name: name.clone(), store: disk.store });
        links.push(link);
    }
    let founded = SystemTime::now().duration_since(UNIX_EPOCH)?.as_millis() as u64;
    let record = match survivor_record {
        None => Record::bootstrap(founded, voters),
        Some(survivor_record) => {
            // All voters are empty, so no lease of the surviving record can be renewed. Its holders stop when
            // their leases expire.
            let wait = wait
                .unwrap_or_else(|| Duration::from_nanos(max_lease_wait(&survivor_record, config.drift_ppm)));
            eprintln!(
                "pumicebay: continuing from version {} in {:.1} s; later versions are lost",
                survivor_record.version,
                wait.as_secs_f64()
            );
            sleep(wait).await;
            Record::bootstrap_from(founded, voters, &survivor_record)
        }
    };
    for link in &mut links {
        let accepted = link
            .query(Frame::Bootstrap(record.clone()), ANSWER_TIMEOUT, accepted_flag)
            .await
            .with_context(|| voter_label(&link.hello))?;
        ensure!(
            accepted,
            "{} accepted another first record; empty all folders and start again",
            voter_label(&link.hello)
        );
    }
    println!("founded {} with {} voters", config.name, links.len());
    Ok(ExitCode::SUCCESS)
}

/// Reads the record from the file of a surviving voter, or from one that was set aside.
fn survivor(file: &Path, fleet: &str) -> Result<Record> {
    let bytes = std::fs::read(file).with_context(|| format!("--from {}", file.display()))?;
    let state = store::decode(&bytes).with_context(|| format!("--from {}", file.display()))?;
    ensure!(
        state.fleet == fleet,
        "--from {}: belongs to fleet {:?}, expected {fleet:?}",
        file.display(),
        state.fleet
    );
    ensure!(!state.is_empty(), "--from {}: contains no record", file.display());
    Ok((*state.record.0).clone())
}

/// Lets a voter vote that waits for other voters which are gone for good.
async fn trust(config: &FleetConfig, name: &str) -> Result<ExitCode> {
    let accepted = CommandLink::connect(config, config.voter_address(name)?)
        .await?
        .query(Frame::TrustDisk, ANSWER_TIMEOUT, accepted_flag)
        .await
        .with_context(|| format!("voter {name}"))?;
    ensure!(accepted, "{name} is not waiting to be trusted; see pumicebay fleet status");
    Ok(ExitCode::SUCCESS)
}

/// The flag of an `Accepted` frame.
fn accepted_flag(frame: Frame) -> Option<bool> {
    match frame {
        Frame::Accepted(accepted) => Some(accepted),
        _ => None,
    }
}

fn voter_label(hello: &Hello) -> String {
    format!("voter {}", hello.id.name)
}

/// Replaces a voter by the process `new`.
async fn replace(voters: &VoterClient, replaced: &str, new: &str) -> Result<ExitCode> {
    let config = &voters.local.config;
    let address = config.voter_address(new)?;
    let hello =
        CommandLink::connect(config, address).await.with_context(|| format!("{new} at {address}"))?.hello;
    let disk = hello.voter.with_context(|| format!("{new} does not vote, or its disk is not open"))?;
    let record = read(voters).await?;
    // The command was repeated after its reply was lost.
    if record.0.is_voter(disk.store) {
        return Ok(ExitCode::SUCCESS);
    }
    let old = record.0.voter_named(replaced).with_context(|| format!("{replaced} is not a voter"))?;
    ensure!(disk.empty || disk.store == old.store, "{new} has voted before: empty its folder first");
    let voter = Member { name: new.into(), store: disk.store };
    print_reply(
        voters.submit(OperationKind::ReplaceVoter { replaced: replaced.into(), voter }, QUORUM_TIMEOUT).await,
    )
}

/// Prints the status of all voters. The exit code is 3 unless the record is agreed.
async fn status(config: &FleetConfig, as_json: bool) -> Result<ExitCode> {
    let mut queries = JoinSet::new();
    for (name, address) in config.potential_voters() {
        let (config, name) = (config.clone(), name.clone());
        queries.spawn(async move {
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
    let all: BTreeMap<String, Result<VoterStatus>> = queries.join_all().await.into_iter().collect();
    let reachable: Vec<&VoterStatus> = all.values().flatten().collect();
    // The record is agreed if a majority of the voters has accepted the same one. Otherwise the newest record
    // is shown and marked as not agreed.
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

/// The JSON form of the status.
fn status_json(all: &BTreeMap<String, Result<VoterStatus>>, record: &SharedRecord, agreed: bool) -> Json {
    let voters = all.iter().map(|(name, status)| match status {
        Ok(status) => json!({
            "name": name, "standing": format!("{:?}", status.voting_state), "seated": status.is_current_voter,
            "trouble": status.disk_error, "store": format!("{:016x}", status.disk.store),
            "written": status.disk.write_count, "version": status.record.0.version,
        }),
        Err(error) => json!({"name": name, "standing": "unreachable", "trouble": format!("{error:#}")}),
    });
    // For each process: its newest incarnation, in the best state that any voter reports.
    let rank =
        |seen: &PeerState| matches!(seen, PeerState::Up) as u8 * 2 + matches!(seen, PeerState::Silent) as u8;
    let mut peers: BTreeMap<&String, (u64, u8, &PeerState, u64)> = BTreeMap::new();
    for (name, incarnation, seen, silent_for) in all.values().flatten().flat_map(|status| &status.peers) {
        let candidate = (*incarnation, rank(seen), seen, *silent_for);
        let best = peers.entry(name).or_insert(candidate);
        if (candidate.0, candidate.1, u64::MAX - candidate.3) > (best.0, best.1, u64::MAX - best.3) {
            *best = candidate;
        }
    }
    let remaining = |name: &String| {
        let reported = |status: &VoterStatus| {
            status.remaining_leases.iter().find(|(lease, _)| lease == name).map(|(_, nanos)| *nanos)
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
            "seconds": lease.duration as f64 / 1e9, "left_s": remaining(name) as f64 / 1e9, "taken_away": lease.revoked,
        })
    };
    json!({
        "agreed": agreed, "founded": record.0.founded, "version": record.0.version, "bytes": record.0.encoded_size(),
        "seats": record.0.voters.iter().map(|member| &member.name).collect::<Vec<_>>(),
        "voters": voters.collect::<Vec<_>>(),
        "proxies": peers.iter().map(|(name, (incarnation, _, seen, silent_for))| {
            json!({"name": name, "incarnation": incarnation, "seen": format!("{seen:?}"), "heard_s": *silent_for as f64 / 1e9})
        }).collect::<Vec<_>>(),
        "leases": record.0.leases.iter().map(lease).collect::<Vec<_>>(),
        "values": record.0.values.iter().map(|(name, entry)| {
            json!({"name": name, "version": entry.version, "text": entry.text})
        }).collect::<Vec<_>>(),
    })
}

/// The text form of the status.
fn status_text(status_json: &Json) -> String {
    let text = |json: &Json| match json {
        Json::String(text) => text.clone(),
        Json::Null => "-".into(),
        Json::Number(number) if number.is_f64() => format!("{:.1}", number.as_f64().unwrap_or(0.0)),
        other => other.to_string(),
    };
    let agreed = match status_json["agreed"].as_bool() {
        Some(true) => "agreed",
        _ => "NOT AGREED: no majority of the voters has the same record; showing the newest one",
    };
    let mut lines = format!(
        "record {} of {} bytes, {agreed}\n",
        text(&status_json["version"]),
        text(&status_json["bytes"])
    );
    for (section, keys) in [
        ("voters", &["name", "standing", "seated", "version", "trouble"][..]),
        ("leases", &["name", "holder", "token", "left_s", "taken_away"]),
        ("values", &["name", "version", "text"]),
        ("proxies", &["name", "incarnation", "seen", "heard_s"]),
    ] {
        let rows = status_json[section].as_array().map_or(&[][..], Vec::as_slice);
        if rows.is_empty() {
            continue;
        }
        lines += &format!(
            "{section}: {}
",
            keys.join(", ")
        );
        for row in rows {
            let cells: Vec<String> = keys.iter().map(|key| text(&row[*key])).collect();
            lines += &format!("  {}\n", cells.join("  "));
        }
    }
    lines
}
