//! Parses a list of nodes, or changes to one, entry by entry: a JSON tree of a whole list would take many times the
//! memory of its text.

use crate::clock::MILLIS;
use crate::config::Config;
use crate::messages::DiscoveredNode;
use anyhow::{Context, Result, bail};
use pumicebay_core::{ListedNode, NodeStatus};
use pumicebay_names::stable_hash;
use serde::Deserialize;
use serde_json::Value as Json;
use serde_json::value::RawValue;
use std::net::SocketAddr;

/// Capacity ratings of this or more are implausible and ignored.
const MAX_RATING: f64 = 1e6;
/// How many characters of a value an error message quotes.
const MAX_QUOTED_CHARS: usize = 80;

/// A list of nodes, or changes to one, whose entries are not parsed yet.
#[derive(Debug)]
pub struct RawList<'a> {
    /// The version of the list at discovery.
    pub version: u64,
    /// Whether these are all nodes rather than only changes.
    pub whole: bool,
    /// The JSON text of each entry.
    pub entries: Vec<&'a RawValue>,
}

#[derive(Deserialize)]
struct Body<'a> {
    #[serde(borrow)]
    rev: Option<&'a RawValue>,
    #[serde(borrow)]
    all: Option<&'a RawValue>,
    #[serde(borrow)]
    targets: Option<&'a RawValue>,
}

fn parse_field<'a, T: Deserialize<'a>>(field: Option<&'a RawValue>) -> Option<T> {
    serde_json::from_str(field?.get()).ok()
}

impl<'a> RawList<'a> {
    /// Parses the outer object of a list.
    ///
    /// # Errors
    /// When a key is missing or has the wrong type; the message names it.
    pub fn parse(text: &'a [u8]) -> Result<RawList<'a>> {
        let body: Body = serde_json::from_slice(text).context("not a JSON object")?;
        let version = parse_field(body.rev).context("rev: expected a number")?;
        let whole = parse_field(body.all).context("all: expected true or false")?;
        let entries = parse_field(body.targets).context("targets: expected a list")?;
        Ok(RawList { version, whole, entries })
    }

    /// Parses the entry at this index. An invalid entry is logged and gives `None`.
    pub fn entry(&self, at: usize, config: &Config) -> Option<DiscoveredNode> {
        let parsed = parse_entry(self.entries[at], config);
        parsed.inspect_err(|error| tracing::warn!("list of nodes: targets[{at}] ignored: {error:#}")).ok()
    }
}

/// Parses a whole list or changes: returns its version, whether it is whole, and its valid entries.
///
/// # Errors
/// When a key of the outer object is missing or has the wrong type; the message names it.
pub fn parse_list(text: &[u8], config: &Config) -> Result<(u64, bool, Vec<DiscoveredNode>)> {
    let list = RawList::parse(text)?;
    let named = (0..list.entries.len()).filter_map(|at| list.entry(at, config)).collect();
    Ok((list.version, list.whole, named))
}

fn parse_entry(text: &RawValue, config: &Config) -> Result<DiscoveredNode> {
    let target: Json = serde_json::from_str(text.get())?;
    let text = |key: &str| target.get(key).and_then(Json::as_str);
    let number = |key: &str| target.get(key).and_then(Json::as_u64).unwrap_or(0);
    let uid = text("uid").context("uid: expected a string")?;
    let quoted = |text: &str| text.chars().take(MAX_QUOTED_CHARS).collect::<String>();
    let endpoint =
        text("endpoint").with_context(|| format!("{:?}: endpoint: expected a string", quoted(uid)))?;
    let address: SocketAddr =
        endpoint.parse().with_context(|| format!("{:?}: endpoint: {:?}", quoted(uid), quoted(endpoint)))?;
    let status = match text("state") {
        Some("active") => NodeStatus::Ready,
        Some("leaving") => NodeStatus::Draining,
        Some("left") => NodeStatus::Gone,
        other => bail!("{:?}: unknown state: {:?}", quoted(uid), other.map(quoted)),
    };
    let zone = config.zones.iter().position(|zone| Some(zone.as_str()) == text("az"));
    let origin = config.origin_kind.as_deref();
    let kind = config.machine_kinds.iter().position(|kind| Some(kind.as_str()) == text("model"));
    let rating = target.get("capacity_hint").and_then(Json::as_f64);
    let listed = ListedNode {
        identity: stable_hash(uid),
        zone: zone.unwrap_or(config.zones.len()),
        cell: number("pod_group"),
        status,
        started: number("boot_ms").saturating_mul(MILLIS),
        origin: origin.is_some() && origin == text("model"),
        machine_type: kind.unwrap_or(config.machine_kinds.len()),
        weight: rating.filter(|rating| (0.0..MAX_RATING).contains(rating) && *rating > 0.0).unwrap_or(1.0),
    };
    Ok(DiscoveredNode { uid: uid.into(), address, listed })
}
