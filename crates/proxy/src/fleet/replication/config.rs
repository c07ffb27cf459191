//! The section `fleet.replication` of the configuration. Every message names the key.

use crate::fleet::config::parse_addresses;
use crate::validation::check_value;
use anyhow::{Context, Result, ensure};
use serde_json::Value as Json;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

const KEYS: &[&str] = &["peers", "listen", "folder", "links", "bytes-per-second", "retention-s"];
const MOST_PEERS: usize = 4096;
const LINKS: u64 = 4;
const MOST_LINKS: u64 = 32;
/// What the carrier leaves of the bytes that control may take.
const BYTES_PER_SECOND: u64 = 2000;
const FEWEST_BYTES_PER_SECOND: u64 = 1024;
const RETENTION_SECONDS: u64 = 7 * 86_400;
const LEAST_RETENTION_SECONDS: u64 = 10;
const MOST_RETENTION_SECONDS: u64 = 365 * 86_400;

#[derive(Clone, Debug, PartialEq)]
pub struct ReplicationConfig {
    /// The group, this process included, and where each takes links.
    pub peers: BTreeMap<String, SocketAddr>,
    /// Where this process takes links, if it is not where the others call it.
    pub listen: Option<SocketAddr>,
    /// Where its copy is kept.
    pub folder: Option<PathBuf>,
    /// Links to peers of its choice.
    pub links: usize,
    /// To all peers together.
    pub bytes_per_second: usize,
    /// For how long an order that puts a node back is kept.
    pub retention: Duration,
}

impl ReplicationConfig {
    /// `None` where the section `fleet` has no such section.
    pub fn parse(json: &Json, name: &str) -> Result<Option<ReplicationConfig>> {
        let section = json.pointer("/fleet/replication").unwrap_or(&Json::Null);
        if section.is_null() {
            return Ok(None);
        }
        let object = section
            .as_object()
            .with_context(|| format!("fleet.replication: expected an object, found {section}"))?;
        if let Some(key) = object.keys().find(|key| !KEYS.contains(&key.as_str()) && !key.starts_with('#')) {
            anyhow::bail!("fleet.replication.{key}: is not known");
        }
        for key in ["listen", "folder"] {
            check_value(json, &format!("/fleet/replication/{key}"), "a text", Json::is_string)?;
        }
        let text = |key: &str| section.get(key).and_then(Json::as_str);
        let number = |key: &str, default: u64, least: u64, most: u64| -> Result<u64> {
            let fits = |value: &Json| value.as_u64().is_some_and(|value| (least..=most).contains(&value));
            let wanted = format!("a number from {least} to {most}");
            check_value(json, &format!("/fleet/replication/{key}"), &wanted, fits)?;
            Ok(section.get(key).and_then(Json::as_u64).unwrap_or(default))
        };
        let peers = parse_addresses(section, "fleet.replication", "peers")?;
        ensure!(
            (2..=MOST_PEERS).contains(&peers.len()),
            "fleet.replication.peers: expected 2 to {MOST_PEERS}, found {}",
            peers.len()
        );
        // A command reads the section under no name.
        ensure!(
            name.is_empty() || peers.contains_key(name),
            "fleet.replication.peers: {name} is not among them"
        );
        let listen = text("listen").map(|at| {
            at.parse()
                .with_context(|| format!("fleet.replication.listen: expected ADDRESS:PORT, found {at:?}"))
        });
        let retention =
            number("retention-s", RETENTION_SECONDS, LEAST_RETENTION_SECONDS, MOST_RETENTION_SECONDS)?;
        Ok(Some(ReplicationConfig {
            peers,
            listen: listen.transpose()?,
            folder: text("folder").map(PathBuf::from),
            links: number("links", LINKS, 1, MOST_LINKS)? as usize,
            bytes_per_second: number("bytes-per-second", BYTES_PER_SECOND, FEWEST_BYTES_PER_SECOND, 1 << 30)?
                as usize,
            retention: Duration::from_secs(retention),
        }))
    }

    /// Where a process of this name takes links.
    pub fn listens(&self, name: &str) -> Option<SocketAddr> {
        let called = self.peers.get(name)?;
        Some(self.listen.unwrap_or(*called))
    }

    pub fn summary(&self) -> String {
        format!("replication among {} proxies", self.peers.len())
    }
}
