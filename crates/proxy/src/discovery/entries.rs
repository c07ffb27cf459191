//! Reads a list of nodes, or changes of one, entry by entry: a tree of a whole list would take many times its text.

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

/// Beyond reason for what the list says of a node's size.
const MOST_RATED: f64 = 1e6;
/// Of an entry that can't be read, so much is quoted.
const LONGEST_QUOTE: usize = 80;

/// A list or changes of one, whose entries are not read yet.
#[derive(Debug)]
pub struct ListText<'a> {
    pub version: u64,
    /// All nodes there are, not changes alone.
    pub whole: bool,
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

fn field<'a, T: Deserialize<'a>>(field: Option<&'a RawValue>) -> Option<T> {
    serde_json::from_str(field?.get()).ok()
}

impl<'a> ListText<'a> {
    /// # Errors
    /// Names the key that is missing or broken.
    pub fn read(text: &'a [u8]) -> Result<ListText<'a>> {
        let body: Body = serde_json::from_slice(text).context("no JSON object")?;
        let version = field(body.rev).context("rev: expected a number")?;
        let whole = field(body.all).context("all: expected true or false")?;
        let entries = field(body.targets).context("targets: expected a list")?;
        Ok(ListText { version, whole, entries })
    }

    /// Reads one of its entries. One that can't be read is left out with a line in the log.
    pub fn named(&self, at: usize, config: &Config) -> Option<DiscoveredNode> {
        let read = entry(self.entries[at], config);
        read.inspect_err(|error| tracing::warn!("list: targets[{at}] left out: {error:#}")).ok()
    }
}

/// Reads a list or its changes at once: its version, whether it is whole, and its entries.
///
/// # Errors
/// Names the key that is missing or broken.
pub fn entries(text: &[u8], config: &Config) -> Result<(u64, bool, Vec<DiscoveredNode>)> {
    let list = ListText::read(text)?;
    let named = (0..list.entries.len()).filter_map(|at| list.named(at, config)).collect();
    Ok((list.version, list.whole, named))
}

fn entry(text: &RawValue, config: &Config) -> Result<DiscoveredNode> {
    let target: Json = serde_json::from_str(text.get())?;
    let text = |key: &str| target.get(key).and_then(Json::as_str);
    let number = |key: &str| target.get(key).and_then(Json::as_u64).unwrap_or(0);
    let uid = text("uid").context("uid: expected a text")?;
    let quoted = |text: &str| text.chars().take(LONGEST_QUOTE).collect::<String>();
    let endpoint =
        text("endpoint").with_context(|| format!("{:?}: endpoint: expected a text", quoted(uid)))?;
    let address: SocketAddr =
        endpoint.parse().with_context(|| format!("{:?}: endpoint: {:?}", quoted(uid), quoted(endpoint)))?;
    let status = match text("state") {
        Some("active") => NodeStatus::Ready,
        Some("leaving") => NodeStatus::Draining,
        Some("left") => NodeStatus::Gone,
        other => bail!("{:?}: state: {:?}", quoted(uid), other.map(quoted)),
    };
    let zone = config.zones.iter().position(|zone| Some(zone.as_str()) == text("az"));
    let origin = config.origin_kind.as_deref();
    let model = config.kinds.iter().position(|kind| Some(kind.as_str()) == text("model"));
    let rating = target.get("capacity_hint").and_then(Json::as_f64);
    let listed = ListedNode {
        identity: stable_hash(uid),
        zone: zone.unwrap_or(config.zones.len()),
        cell: number("pod_group"),
        status,
        started: number("boot_ms").saturating_mul(MILLIS),
        origin: origin.is_some() && origin == text("model"),
        machine_type: model.unwrap_or(config.kinds.len()),
        weight: rating.filter(|rating| (0.0..MOST_RATED).contains(rating) && *rating > 0.0).unwrap_or(1.0),
    };
    Ok(DiscoveredNode { uid: uid.into(), address, listed })
}
