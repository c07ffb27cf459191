//! `pumicebay fleet set`, `unset` and `changes`: the operators' commands for configuration changes. They are
//! sent to the control machine that publishes.

use crate::fleet::carrier::actor::parse_scope;
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

/// How long the publisher is searched for.
const PUBLISHER_TIMEOUT: Duration = Duration::from_secs(8);
/// How long the publisher may take to answer an offer.
const OFFER_TIMEOUT: Duration = Duration::from_secs(15);
/// The pause before the control machines, or the publisher, are asked again.
const RETRY_DELAY: Duration = Duration::from_millis(250);
/// The time within which all processes that were connected to a failed publisher reconnect to the next one.
/// Until a publisher has published for this long, processes that are missing from its counts are not yet
/// known to be missing.
const RECONNECT_TIME: Duration = Duration::from_secs(8);
/// The exit code when a change is not in force everywhere, or when its state is unknown.
const EXIT_INCOMPLETE: u8 = 3;

async fn connect(fleet: &FleetConfig, address: SocketAddr) -> Result<CommandLink> {
    CommandLink::connect_with_version(fleet, address, MIN_CARRIER_VERSION).await
}

async fn ask_status(called: &mut CommandLink) -> Result<CarrierStatus> {
    let as_status = |frame| match frame {
        Frame::CarrierStatus(status) => Some(*status),
        _ => None,
    };
    called.query(Frame::CarrierStatusRequest, ANSWER_TIMEOUT, as_status).await
}

fn carrier_config(fleet: &FleetConfig) -> Result<&CarrierConfig> {
    fleet.carrier.as_deref().context("fleet.carrier: missing; this fleet has no carrier")
}

/// Connects to the control machine that publishes, and returns its status. The error has the status with the
/// newest version from any other control machine, and why the publisher was not found.
async fn find_publisher(
    fleet: &FleetConfig,
    timeout: Duration,
) -> Result<(CommandLink, CarrierStatus), (Option<CarrierStatus>, String)> {
    let carrier = carrier_config(fleet).map_err(|error| (None, error.to_string()))?;
    let deadline = Instant::now() + timeout;
    let (mut newest, mut why): (Option<CarrierStatus>, String) = (None, "no control machine answers".into());
    loop {
        for (name, address) in &carrier.control {
            let query = async {
                let mut called = connect(fleet, *address).await?;
                let status = ask_status(&mut called).await?;
                let publisher = status.publisher.clone();
                let Some(other) = publisher.filter(|other| *other != status.name) else {
                    return Ok((called, status));
                };
                let address = carrier
                    .address_of(&other)
                    .with_context(|| format!("{other} is not a control machine"))?;
                let mut called = connect(fleet, address).await.with_context(|| other.clone())?;
                let status = ask_status(&mut called).await.with_context(|| other.clone())?;
                anyhow::Ok((called, status))
            };
            match query.await {
                Ok((called, status)) if status.publisher.as_ref() == Some(&status.name) => {
                    return Ok((called, status));
                }
                Ok((_, status)) => {
                    why = "no control machine is known to be the publisher".into();
                    if newest.as_ref().is_none_or(|newest| newest.version < status.version) {
                        newest = Some(status);
                    }
                }
                Err(error) if newest.is_none() => why = format!("{name}: {error:#}"),
                Err(_) => {}
            }
        }
        if Instant::now() >= deadline {
            return Err((newest, why));
        }
        sleep(RETRY_DELAY).await;
    }
}

/// Runs `pumicebay fleet set`, or `unset` if there is no file. An error if the change was refused, or not
/// written.
pub async fn change(
    fleet: &FleetConfig,
    scope_text: &str,
    name: &str,
    file: Option<&str>,
    wait: Option<Duration>,
) -> Result<ExitCode> {
    carrier_config(fleet)?;
    let scope = parse_scope(scope_text).with_context(|| {
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
            eprintln!(
                "pumicebay: it is not known whether the change was written; see pumicebay fleet changes"
            );
            return Ok(ExitCode::from(EXIT_INCOMPLETE));
        }
    };
    println!("{version}");
    match wait {
        Some(wait) => wait_until_in_force(fleet, version, wait).await,
        None => Ok(ExitCode::SUCCESS),
    }
}

/// Offers the change to the publisher, and again to the next one if the outcome is unknown. An error if
/// nothing was written.
async fn offer(fleet: &FleetConfig, change: Change) -> Result<ChangeOutcome> {
    let (deadline, mut offered) = (Instant::now() + PUBLISHER_TIMEOUT, false);
    loop {
        let (mut called, _) =
            match find_publisher(fleet, deadline.saturating_duration_since(Instant::now())).await {
                Ok(found) => found,
                Err(_) if offered => return Ok(ChangeOutcome::Unknown),
                Err((_, why)) => bail!("nothing was written: {why}"),
            };
        let answer =
            called.query(Frame::SubmitChanges(1, vec![change.clone()]), OFFER_TIMEOUT, |frame| match frame {
                Frame::ChangeOutcome(1, outcome) => Some(Some(outcome)),
                Frame::CarrierStatus(_) => Some(None),
                _ => None,
            });
        match answer.await {
            // Another control machine publishes by now.
            Ok(None) => {}
            // A publisher that lost its lease during the write does not know the outcome. Writing the same
            // change again only creates a newer version of it.
            Ok(Some(ChangeOutcome::Unknown)) => offered = true,
            Ok(Some(outcome)) => return Ok(outcome),
            Err(error) => {
                eprintln!("pumicebay: {error:#}; retrying");
                offered = true;
            }
        }
        if offered && Instant::now() >= deadline {
            return Ok(ChangeOutcome::Unknown);
        }
        sleep(RETRY_DELAY).await;
    }
}

/// Waits until the version is in force everywhere. Returns early if the only processes without it have
/// refused it, as waiting would not change that.
async fn wait_until_in_force(fleet: &FleetConfig, version: Version, wait: Duration) -> Result<ExitCode> {
    let deadline = Instant::now() + wait;
    loop {
        let left = deadline.saturating_duration_since(Instant::now());
        match find_publisher(fleet, left).await {
            Ok((mut called, mut status)) => loop {
                let sum = &status.summary;
                let refused = |exception: &Exception| matches!(exception.kind, ExceptionKind::Refused { .. });
                let all = counts_are_complete(&status) && sum.in_force >= version && sum.unnamed == 0;
                if all && sum.exceptions.is_empty() {
                    return Ok(ExitCode::SUCCESS);
                }
                if all && sum.exceptions.iter().all(refused) || Instant::now() >= deadline {
                    eprint!("{}", status_text(&status_json(&status)));
                    return Ok(ExitCode::from(EXIT_INCOMPLETE));
                }
                sleep(RETRY_DELAY).await;
                match ask_status(&mut called).await {
                    Ok(newer) if newer.publisher.as_ref() == Some(&newer.name) => status = newer,
                    _ => break,
                }
            },
            Err((_, why)) => {
                eprintln!("pumicebay: it is not known whether {version} is in force: {why}");
                return Ok(ExitCode::from(EXIT_INCOMPLETE));
            }
        }
    }
}

/// Runs `pumicebay fleet changes`: prints the newest version, and where it is not in force.
pub async fn changes(fleet: &FleetConfig, as_json: bool) -> Result<ExitCode> {
    carrier_config(fleet)?;
    let (status, published) = match find_publisher(fleet, ANSWER_TIMEOUT).await {
        Ok((_, status)) => (status, true),
        Err((Some(status), _)) => (status, false),
        Err((None, why)) => bail!("{why}"),
    };
    let mut json = status_json(&status);
    if !published {
        json["publisher"] = Json::Null;
    }
    if as_json {
        println!("{json:#}");
    } else {
        print!("{}", status_text(&json));
    }
    Ok(if json["everywhere"] == true && published {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(EXIT_INCOMPLETE)
    })
}

/// Whether all processes had time to connect to the publisher, so that its counts include them.
fn counts_are_complete(status: &CarrierStatus) -> bool {
    status.publishing_for.is_some_and(|time| Duration::from_nanos(time) >= RECONNECT_TIME)
}

fn status_json(status: &CarrierStatus) -> Json {
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
        "everywhere": counts_are_complete(status)
            && sum.in_force >= *holds && sum.exceptions.is_empty() && sum.unnamed == 0,
        "gathered": counts_are_complete(status), "publishes_s": publishes.map(|time| time as f64 / 1e9),
        "in_force": sum.in_force.to_string(), "members": sum.members,
        "exceptions": sum.exceptions.iter().map(exception).collect::<Vec<_>>(), "unnamed": sum.unnamed,
        "queue": queue, "children": children, "age_s": age.map(|age| age as f64 / 1e9),
    })
}

fn status_text(status: &Json) -> String {
    let text = |value: &Json| value.as_str().map_or_else(|| value.to_string(), String::from);
    let [version, in_force, members, queue, by] =
        ["version", "in_force", "members", "queue", "said_by"].map(|key| text(&status[key]));
    let empty = Vec::new();
    let exceptions = status["exceptions"].as_array().unwrap_or(&empty);
    let everywhere = match status["everywhere"].as_bool() {
        Some(true) => "in force everywhere".into(),
        _ if status["gathered"] == false => {
            format!("{in_force} is in force at those counted; others may not be connected yet")
        }
        _ if exceptions.is_empty() && status["unnamed"] == 0 => {
            format!("not everywhere yet; {in_force} is in force everywhere")
        }
        _ => format!("{in_force} is in force everywhere but for those below"),
    };
    let publisher = match status["publisher"].as_str() {
        Some(publisher) => format!("published by {publisher}"),
        None => format!("NOBODY IS KNOWN TO PUBLISH: status from {by}"),
    };
    let mut lines =
        format!("version {version}, {everywhere}\n{members} members, {queue} waiting, {publisher}\n");
    for exception in exceptions {
        let [name, in_force, why] = ["name", "in_force", "why"].map(|key| text(&exception[key]));
        lines += &format!("  {name}  has {in_force}  {why}\n");
    }
    if status["unnamed"] != 0 {
        lines += &format!("  and {} more\n", status["unnamed"]);
    }
    lines
}
