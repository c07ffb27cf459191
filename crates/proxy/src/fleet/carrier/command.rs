//! `pumicebay fleet set`, `unset` and `changes`: what operators ask of the carrier, by way of the control machine that
//! publishes.

use crate::fleet::carrier::actor::scope;
use crate::fleet::carrier::config::CarrierConfig;
use crate::fleet::command_link::{ANSWER_TIMEOUT, CommandLink};
use crate::fleet::config::FleetConfig;
use crate::fleet::wire::{CarrierStatus, Frame, MIN_CARRIER_VERSION};
use anyhow::{Context, Result, bail, ensure};
use pumicebay_carrier::{Change, ChangeOutcome, Exception, ExceptionKind, Version};
use serde_json::{Value as Json, json};
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// How long a publisher is looked for, and how long one may take to settle an offer.
const PATIENCE: Duration = Duration::from_secs(8);
const SETTLES: Duration = Duration::from_secs(15);
const AGAIN: Duration = Duration::from_millis(250);
/// Whoever lost its way to a publisher that is gone is linked to the next by then: before it, who is not counted is not
/// known either.
const GATHERED: Duration = Duration::from_secs(8);
/// Not known, or not in force everywhere.
const NOT_YET: u8 = 3;

async fn call(fleet: &FleetConfig, at: SocketAddr) -> Result<CommandLink> {
    CommandLink::connect_with_version(fleet, at, MIN_CARRIER_VERSION).await
}

async fn ask_status(called: &mut CommandLink) -> Result<CarrierStatus> {
    let wanted = |frame| match frame {
        Frame::CarrierStatus(status) => Some(*status),
        _ => None,
    };
    called.query(Frame::CarrierStatusRequest, ANSWER_TIMEOUT, wanted).await
}

fn carrier(fleet: &FleetConfig) -> Result<&CarrierConfig> {
    fleet.carrier.as_deref().context("fleet.carrier: missing; nothing is carried in this fleet")
}

/// The link to whoever publishes, and what it says; else the newest that any control machine says.
async fn publisher(
    fleet: &FleetConfig,
    patience: Duration,
) -> Result<(CommandLink, CarrierStatus), (Option<CarrierStatus>, String)> {
    let carrier = carrier(fleet).map_err(|error| (None, error.to_string()))?;
    let until = Instant::now() + patience;
    let (mut newest, mut why): (Option<CarrierStatus>, String) = (None, "no control machine answers".into());
    loop {
        for (name, at) in &carrier.control {
            let asked = async {
                let mut called = call(fleet, *at).await?;
                let status = ask_status(&mut called).await?;
                let publishes = status.publisher.clone();
                let Some(other) = publishes.filter(|other| *other != status.name) else {
                    return Ok((called, status));
                };
                let at = carrier.called(&other).with_context(|| format!("{other} is no control machine"))?;
                let mut called = call(fleet, at).await.with_context(|| other.clone())?;
                let status = ask_status(&mut called).await.with_context(|| other.clone())?;
                anyhow::Ok((called, status))
            };
            match asked.await {
                Ok((called, status)) if status.publisher.as_ref() == Some(&status.name) => {
                    return Ok((called, status));
                }
                Ok((_, status)) => {
                    why = "no control machine is known to publish".into();
                    if newest.as_ref().is_none_or(|newest| newest.version < status.version) {
                        newest = Some(status);
                    }
                }
                Err(error) if newest.is_none() => why = format!("{name}: {error:#}"),
                Err(_) => {}
            }
        }
        if Instant::now() >= until {
            return Err((newest, why));
        }
        sleep(AGAIN).await;
    }
}

/// `pumicebay fleet set` and `unset`.
pub async fn change(
    fleet: &FleetConfig,
    scope_text: &str,
    name: &str,
    file: Option<&str>,
    wait: Option<Duration>,
) -> Result<ExitCode> {
    carrier(fleet)?;
    let scope = scope(scope_text).with_context(|| {
        format!("{scope_text:?}: expected fleet, region/R, zone/Z, site/S or proxy/SITE/NAME")
    })?;
    let patch = match file {
        Some("-") => Some(std::io::read_to_string(std::io::stdin()).context("standard input")?),
        Some(file) => Some(std::fs::read_to_string(file).with_context(|| file.to_string())?),
        None => None,
    };
    if let Some(patch) = &patch {
        let json: Json = serde_json::from_str(patch).with_context(|| file.unwrap_or_default().to_string())?;
        ensure!(json.is_object(), "{}: expected an object, found {json}", file.unwrap_or_default());
    }
    let version = match offer(fleet, Change { scope, name: name.into(), patch }).await? {
        ChangeOutcome::Settled(version) => version,
        ChangeOutcome::Refused(why) => bail!("refused: {why}"),
        ChangeOutcome::Unknown => {
            eprintln!("pumicebay: whether it was written is not known; see pumicebay fleet changes");
            return Ok(ExitCode::from(NOT_YET));
        }
    };
    println!("{version}");
    match wait {
        Some(wait) => wait_for(fleet, version, wait).await,
        None => Ok(ExitCode::SUCCESS),
    }
}

async fn offer(fleet: &FleetConfig, change: Change) -> Result<ChangeOutcome> {
    let (until, mut offered) = (Instant::now() + PATIENCE, false);
    loop {
        let (mut called, _) = match publisher(fleet, until.saturating_duration_since(Instant::now())).await {
            Ok(found) => found,
            Err(_) if offered => return Ok(ChangeOutcome::Unknown),
            Err((_, why)) => bail!("nothing was written: {why}"),
        };
        let answer =
            called.query(Frame::SubmitChanges(1, vec![change.clone()]), SETTLES, |frame| match frame {
                Frame::ChangeOutcome(1, outcome) => Some(Some(outcome)),
                Frame::CarrierStatus(_) => Some(None),
                _ => None,
            });
        match answer.await {
            // Another publishes by now.
            Ok(None) => {}
            // A publisher that lost its lease amid the write does not know. The same change once more is only a newer
            // version of it.
            Ok(Some(ChangeOutcome::Unknown)) => offered = true,
            Ok(Some(outcome)) => return Ok(outcome),
            Err(error) => {
                eprintln!("pumicebay: {error:#}; asked again");
                offered = true;
            }
        }
        if offered && Instant::now() >= until {
            return Ok(ChangeOutcome::Unknown);
        }
        sleep(AGAIN).await;
    }
}

/// Until it is in force everywhere, or all that is missing won't come by waiting.
async fn wait_for(fleet: &FleetConfig, version: Version, wait: Duration) -> Result<ExitCode> {
    let until = Instant::now() + wait;
    loop {
        let left = until.saturating_duration_since(Instant::now());
        match publisher(fleet, left).await {
            Ok((mut called, mut status)) => loop {
                let sum = &status.summary;
                let refused = |exception: &Exception| matches!(exception.kind, ExceptionKind::Refused { .. });
                let all = gathered(&status) && sum.in_force >= version && sum.unnamed == 0;
                if all && sum.exceptions.is_empty() {
                    return Ok(ExitCode::SUCCESS);
                }
                if all && sum.exceptions.iter().all(refused) || Instant::now() >= until {
                    eprint!("{}", words(&shown(&status)));
                    return Ok(ExitCode::from(NOT_YET));
                }
                sleep(AGAIN).await;
                match ask_status(&mut called).await {
                    Ok(newer) if newer.publisher.as_ref() == Some(&newer.name) => status = newer,
                    _ => break,
                }
            },
            Err((_, why)) => {
                eprintln!("pumicebay: whether {version} is in force is not known: {why}");
                return Ok(ExitCode::from(NOT_YET));
            }
        }
    }
}

/// `pumicebay fleet changes`.
pub async fn changes(fleet: &FleetConfig, as_json: bool) -> Result<ExitCode> {
    carrier(fleet)?;
    let (status, published) = match publisher(fleet, ANSWER_TIMEOUT).await {
        Ok((_, status)) => (status, true),
        Err((Some(status), _)) => (status, false),
        Err((None, why)) => bail!("{why}"),
    };
    let mut shown = shown(&status);
    if !published {
        shown["publisher"] = Json::Null;
    }
    if as_json {
        println!("{shown:#}");
    } else {
        print!("{}", words(&shown));
    }
    Ok(if shown["everywhere"] == true && published { ExitCode::SUCCESS } else { ExitCode::from(NOT_YET) })
}

fn gathered(status: &CarrierStatus) -> bool {
    status.publishing_for.is_some_and(|time| Duration::from_nanos(time) >= GATHERED)
}

fn shown(status: &CarrierStatus) -> Json {
    let CarrierStatus {
        name,
        publisher,
        publishing_for: publishes,
        version: holds,
        age,
        summary: sum,
        queued_changes: queue,
        children,
    } = status;
    let exception = |exception: &Exception| {
        let why = match &exception.kind {
            ExceptionKind::Refused { scope, resource, version, reason } => {
                format!("refused {resource} for {scope}, of {version}: {reason}")
            }
            ExceptionKind::Late => "late".into(),
            ExceptionKind::Lost { .. } => "lost".into(),
        };
        json!({"name": exception.member.name, "in_force": exception.in_force.to_string(), "why": why})
    };
    json!({
        "version": holds.to_string(), "publisher": publisher, "said_by": name,
        "everywhere": gathered(status) && sum.in_force >= *holds && sum.exceptions.is_empty() && sum.unnamed == 0,
        "gathered": gathered(status), "publishes_s": publishes.map(|time| time as f64 / 1e9),
        "in_force": sum.in_force.to_string(), "members": sum.members,
        "exceptions": sum.exceptions.iter().map(exception).collect::<Vec<_>>(), "unnamed": sum.unnamed,
        "queue": queue, "children": children, "age_s": age.map(|age| age as f64 / 1e9),
    })
}

fn words(shown: &Json) -> String {
    let text = |json: &Json| json.as_str().map_or_else(|| json.to_string(), String::from);
    let [version, in_force, members, queue, by] =
        ["version", "in_force", "members", "queue", "said_by"].map(|key| text(&shown[key]));
    let empty = Vec::new();
    let exceptions = shown["exceptions"].as_array().unwrap_or(&empty);
    let everywhere = match shown["everywhere"].as_bool() {
        Some(true) => "in force everywhere".into(),
        _ if shown["gathered"] == false => {
            format!("{in_force} is in force at those counted; others may not be linked yet")
        }
        _ if exceptions.is_empty() && shown["unnamed"] == 0 => {
            format!("not everywhere yet; {in_force} is in force everywhere")
        }
        _ => format!("{in_force} is in force everywhere but for those below"),
    };
    let publisher = match shown["publisher"].as_str() {
        Some(publisher) => format!("published by {publisher}"),
        None => format!("NOBODY IS KNOWN TO PUBLISH: as {by} knows it"),
    };
    let mut lines =
        format!("version {version}, {everywhere}\n{members} members, {queue} waiting, {publisher}\n");
    for exception in exceptions {
        let [name, in_force, why] = ["name", "in_force", "why"].map(|key| text(&exception[key]));
        lines += &format!("  {name}  has {in_force}  {why}\n");
    }
    if shown["unnamed"] != 0 {
        lines += &format!("  and {} more\n", shown["unnamed"]);
    }
    lines
}
