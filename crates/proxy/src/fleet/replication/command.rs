//! `pumicebay fleet drain`, `undrain` and `orders`: maintenance orders to all proxies of a group, and the
//! orders that each proxy knows. Any proxy of the group accepts an order; each of the others is asked whether
//! the order is in force there.

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

/// The maximum number of proxies that are asked for their status at the same time.
const MAX_CONCURRENT_CALLS: usize = 64;
/// The pause before the proxies are asked again.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// The exit code when an order is not in force at all proxies, or when that is unknown.
const EXIT_INCOMPLETE: u8 = 3;

/// The proxies that are not known to have an order, and why.
type MissingProxies = BTreeMap<String, String>;

fn replication_config(fleet: &FleetConfig) -> Result<&ReplicationConfig> {
    fleet.replication.as_deref().context("fleet.replication: missing; this fleet has no replication")
}

/// Runs `pumicebay fleet drain` or `undrain`; under the lease of `pumicebay fleet run`, if started by it.
/// With `wait`, it waits until the order is in force at all proxies. An error if the order was refused or no
/// proxy accepted it, or if that is unknown.
pub async fn order(
    fleet: Arc<FleetConfig>,
    node: &str,
    out: bool,
    wait: Option<Duration>,
) -> Result<ExitCode> {
    let call = MaintenanceOrder { node: node.into(), out_of_service: out, lease: lease_from_environment()? };
    let stamp = issue(&fleet, &call).await?;
    println!("{} {}", if out { "out" } else { "back" }, stamp_text(&stamp));
    let Some(wait) = wait else { return Ok(ExitCode::SUCCESS) };
    let deadline = Instant::now() + wait;
    loop {
        let (statuses, mut missing) = collect_statuses(&fleet).await?;
        let behind = statuses.iter().filter(|(_, status)| !status.vector.covers(&stamp));
        missing.extend(behind.map(|(name, _)| (name.clone(), "does not have it yet".to_string())));
        if missing.is_empty() {
            println!("holds at all {} proxies", statuses.len());
            return Ok(ExitCode::SUCCESS);
        }
        if Instant::now() >= deadline {
            let all = replication_config(&fleet)?.peers.len();
            println!("holds at {} of {all} proxies, but not at these:", all - missing.len());
            missing.iter().for_each(|(name, reason)| println!("  {name}  {reason}"));
            return Ok(ExitCode::from(EXIT_INCOMPLETE));
        }
        sleep(RETRY_DELAY).await;
    }
}

/// The lease and token that `pumicebay fleet run` passes to its command in environment variables, if they are
/// set.
fn lease_from_environment() -> Result<Option<(String, Token)>> {
    let (Ok(lease), Ok(token)) = (std::env::var("PUMICEBAY_LEASE"), std::env::var("PUMICEBAY_TOKEN")) else {
        return Ok(None);
    };
    let token =
        token.parse().with_context(|| format!("$PUMICEBAY_TOKEN: expected a number, found {token:?}"))?;
    Ok(Some((lease, token)))
}

fn stamp_text(stamp: &Stamp) -> String {
    format!("{}.{:016x}.{}", stamp.issuer.name, stamp.issuer.incarnation, stamp.version)
}

/// Issues the order at the first proxy that can be reached.
async fn issue(fleet: &FleetConfig, call: &MaintenanceOrder) -> Result<Stamp> {
    let mut last_failure = "no proxy of the group answers".to_string();
    for (name, address) in &replication_config(fleet)?.peers {
        let mut called =
            match CommandLink::connect_with_version(fleet, *address, MIN_REPLICATION_VERSION).await {
                Ok(called) => called,
                Err(error) => {
                    last_failure = format!("{name}: {error:#}");
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
            Ok(MaintenanceAnswer::Refused(reason)) => bail!("refused: {reason}"),
            Err(error) => {
                bail!("{name} did not answer, it is not known whether the order was issued: {error:#}")
            }
        };
    }
    bail!("nothing was ordered: {last_failure}")
}

/// The status of each proxy that answers, and why the others do not.
async fn collect_statuses(fleet: &Arc<FleetConfig>) -> Result<(BTreeMap<String, Status>, MissingProxies)> {
    let permits = Arc::new(Semaphore::new(MAX_CONCURRENT_CALLS));
    let mut queries = JoinSet::new();
    for (name, address) in replication_config(fleet)?.peers.clone() {
        let (fleet, permits) = (fleet.clone(), permits.clone());
        queries.spawn(async move {
            let _permit = permits.acquire().await;
            let status = async {
                let as_status = |frame| match frame {
                    Frame::ReplicationStatus(status) => Some(*status),
                    _ => None,
                };
                let mut called =
                    CommandLink::connect_with_version(&fleet, address, MIN_REPLICATION_VERSION).await?;
                called.query(Frame::ReplicationStatusRequest, ANSWER_TIMEOUT, as_status).await
            };
            (name, status.await)
        });
    }
    let (mut statuses, mut missing) = (BTreeMap::new(), MissingProxies::new());
    while let Some(result) = queries.join_next().await {
        match result.context("asking for the status")? {
            (name, Ok(status)) => _ = statuses.insert(name, status),
            (name, Err(error)) => _ = missing.insert(name, format!("{error:#}")),
        }
    }
    Ok((statuses, missing))
}

/// Runs `pumicebay fleet orders`: prints the orders that each proxy knows.
pub async fn orders(fleet: Arc<FleetConfig>, as_json: bool) -> Result<ExitCode> {
    let (statuses, missing) = collect_statuses(&fleet).await?;
    let digests: BTreeSet<u64> = statuses.values().map(|status| status.digest).collect();
    let equal = digests.len() <= 1 && missing.is_empty();
    if as_json {
        println!(
            "{:#}",
            json!({"equal": equal, "proxies": statuses_json(&statuses), "unreachable": missing})
        );
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
                println!("  possibly superseded: {} by {}", entry.slot.node, stamp_text(&entry.order.stamp));
            }
        }
        missing.iter().for_each(|(name, reason)| println!("{name}  {reason}"));
    }
    Ok(if equal { ExitCode::SUCCESS } else { ExitCode::from(EXIT_INCOMPLETE) })
}

fn statuses_json(statuses: &BTreeMap<String, Status>) -> Json {
    let proxy_json = |(name, status): (&String, &Status)| {
        let Status {
            out_of_service,
            order_count,
            digest,
            last_heard_age,
            linked_peers,
            differing_peers,
            bytes_sent,
            future_stamps,
            conflicts,
            ..
        } = status;
        let possibly_superseded: Vec<&String> =
            status.possibly_superseded.iter().map(|entry| &entry.slot.node).collect();
        json!({
            "name": name, "out": out_of_service, "orders": order_count, "digest": format!("{digest:016x}"),
            "age_s": last_heard_age.map(|age| age as f64 / 1e9), "linked": linked_peers,
            "differing": differing_peers, "bytes_sent": bytes_sent, "future": future_stamps,
            "conflicts": conflicts, "doubtful": possibly_superseded,
        })
    };
    statuses.iter().map(proxy_json).collect()
}
