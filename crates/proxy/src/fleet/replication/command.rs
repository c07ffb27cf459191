//! `pumicebay fleet drain`, `undrain` and `orders`: what operators order of all proxies of a group, and what each knows of
//! it. Any proxy of the group takes an order; that it holds at the others is asked of each of them.

use crate::fleet::command_link::{ANSWER_TIMEOUT, CommandLink};
use crate::fleet::config::FleetConfig;
use crate::fleet::replication::config::ReplicationConfig;
use crate::fleet::wire::{Frame, MIN_REPLICATION_VERSION, MaintenanceAnswer, MaintenanceOrder};
use anyhow::{Context, Result, bail};
use pumicebay_accord::Token;
use pumicebay_replication::{Stamp, Status};
use serde_json::{Value as Json, json};
use std::collections::{BTreeMap, BTreeSet};
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Semaphore;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

/// Proxies that are asked at a time.
const TOGETHER: usize = 64;
const AGAIN: Duration = Duration::from_millis(100);
/// Not at all proxies, or not known.
const NOT_YET: u8 = 3;

/// Why a proxy is not known to hold an order.
type Missing = BTreeMap<String, String>;

fn section(fleet: &FleetConfig) -> Result<&ReplicationConfig> {
    fleet.replication.as_deref().context("fleet.replication: missing; nothing is replicated in this fleet")
}

/// `pumicebay fleet drain` and `undrain`. Under the lease of `pumicebay fleet run`, where it is started by that.
pub async fn order(
    fleet: Arc<FleetConfig>,
    node: &str,
    out: bool,
    wait: Option<Duration>,
) -> Result<ExitCode> {
    let call = MaintenanceOrder { node: node.into(), out_of_service: out, lease: held()? };
    let stamp = give(&fleet, &call).await?;
    println!("{} {}", if out { "out" } else { "back" }, named(&stamp));
    let Some(wait) = wait else { return Ok(ExitCode::SUCCESS) };
    let until = Instant::now() + wait;
    loop {
        let (statuses, mut missing) = everybody(&fleet).await?;
        let lacking = statuses.iter().filter(|(_, status)| !status.vector.covers(&stamp));
        missing.extend(lacking.map(|(name, _)| (name.clone(), "does not have it yet".to_string())));
        if missing.is_empty() {
            println!("holds at all {} proxies", statuses.len());
            return Ok(ExitCode::SUCCESS);
        }
        if Instant::now() >= until {
            let all = section(&fleet)?.peers.len();
            println!("holds at {} of {all} proxies, but not at these:", all - missing.len());
            missing.iter().for_each(|(name, why)| println!("  {name}  {why}"));
            return Ok(ExitCode::from(NOT_YET));
        }
        sleep(AGAIN).await;
    }
}

/// The lease and token that `pumicebay fleet run` gives its command.
fn held() -> Result<Option<(String, Token)>> {
    let (Ok(lease), Ok(token)) = (std::env::var("PUMICEBAY_LEASE"), std::env::var("PUMICEBAY_TOKEN")) else {
        return Ok(None);
    };
    let token =
        token.parse().with_context(|| format!("$PUMICEBAY_TOKEN: expected a number, found {token:?}"))?;
    Ok(Some((lease, token)))
}

fn named(stamp: &Stamp) -> String {
    format!("{}.{:016x}.{}", stamp.issuer.name, stamp.issuer.incarnation, stamp.version)
}

/// The first proxy that can be reached takes the order.
async fn give(fleet: &FleetConfig, call: &MaintenanceOrder) -> Result<Stamp> {
    let mut why = "no proxy of the group answers".to_string();
    for (name, at) in &section(fleet)?.peers {
        let mut called = match CommandLink::connect_with_version(fleet, *at, MIN_REPLICATION_VERSION).await {
            Ok(called) => called,
            Err(error) => {
                why = format!("{name}: {error:#}");
                continue;
            }
        };
        let answer =
            called.query(
                Frame::MaintenanceOrder(Box::new(call.clone())),
                ANSWER_TIMEOUT,
                |frame| match frame {
                    Frame::MaintenanceAnswer(answer) => Some(*answer),
                    _ => None,
                },
            );
        return match answer.await {
            Ok(MaintenanceAnswer::Applied(stamp)) => Ok(stamp),
            Ok(MaintenanceAnswer::Refused(why)) => bail!("refused: {why}"),
            Err(error) => bail!("{name} did not answer, whether it was given is not known: {error:#}"),
        };
    }
    bail!("nothing was ordered: {why}")
}

/// What each proxy says of itself, and why others do not.
async fn everybody(fleet: &Arc<FleetConfig>) -> Result<(BTreeMap<String, Status>, Missing)> {
    let room = Arc::new(Semaphore::new(TOGETHER));
    let mut asked = JoinSet::new();
    for (name, at) in section(fleet)?.peers.clone() {
        let (fleet, room) = (fleet.clone(), room.clone());
        asked.spawn(async move {
            let _place = room.acquire().await;
            let status = async {
                let wanted = |frame| match frame {
                    Frame::ReplicationStatus(status) => Some(*status),
                    _ => None,
                };
                let mut called =
                    CommandLink::connect_with_version(&fleet, at, MIN_REPLICATION_VERSION).await?;
                called.query(Frame::ReplicationStatusRequest, ANSWER_TIMEOUT, wanted).await
            };
            (name, status.await)
        });
    }
    let (mut statuses, mut missing) = (BTreeMap::new(), Missing::new());
    while let Some(answered) = asked.join_next().await {
        match answered.context("asking")? {
            (name, Ok(status)) => _ = statuses.insert(name, status),
            (name, Err(error)) => _ = missing.insert(name, format!("{error:#}")),
        }
    }
    Ok((statuses, missing))
}

/// `pumicebay fleet orders`: what each proxy knows.
pub async fn orders(fleet: Arc<FleetConfig>, as_json: bool) -> Result<ExitCode> {
    let (statuses, missing) = everybody(&fleet).await?;
    let digests: BTreeSet<u64> = statuses.values().map(|status| status.digest).collect();
    let equal = digests.len() <= 1 && missing.is_empty();
    if as_json {
        println!("{:#}", json!({"equal": equal, "proxies": shown(&statuses), "unreachable": missing}));
    } else {
        for (name, status) in &statuses {
            let age = status
                .last_heard_age
                .map_or("nothing heard".into(), |age| format!("{:.1} s", age as f64 / 1e9));
            println!(
                "{name}  copy {:016x}  as of {age}  {} orders  out: {}",
                status.digest,
                status.order_count,
                status.out_of_service.join(" ")
            );
            for entry in &status.possibly_superseded {
                println!("  doubtful: {} by {}", entry.slot.node, named(&entry.order.stamp));
            }
        }
        missing.iter().for_each(|(name, why)| println!("{name}  {why}"));
    }
    Ok(if equal { ExitCode::SUCCESS } else { ExitCode::from(NOT_YET) })
}

fn shown(statuses: &BTreeMap<String, Status>) -> Json {
    let one = |(name, status): (&String, &Status)| {
        let Status {
            out_of_service: out,
            order_count: orders,
            digest,
            last_heard_age: age,
            linked_peers: linked,
            differing_peers: differing,
            bytes_sent,
            future_stamps: future,
            conflicts,
            ..
        } = status;
        let doubtful: Vec<&String> =
            status.possibly_superseded.iter().map(|entry| &entry.slot.node).collect();
        json!({
            "name": name, "out": out, "orders": orders, "digest": format!("{digest:016x}"),
            "age_s": age.map(|age| age as f64 / 1e9), "linked": linked, "differing": differing,
            "bytes_sent": bytes_sent, "future": future, "conflicts": conflicts, "doubtful": doubtful,
        })
    };
    statuses.iter().map(one).collect()
}
