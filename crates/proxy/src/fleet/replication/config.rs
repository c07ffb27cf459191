//! The section `fleet.replication` of the configuration. Every error names the key that is wrong.

use crate::fleet::config::parse_addresses;
use crate::validation::check_value;
use anyhow::{Context, Result, ensure};
use serde_json::Value as Json;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

const KEYS: &[&str] = &["peers", "listen", "folder", "links", "bytes-per-second", "retention-s"];
const MAX_PEERS: usize = 4096;
const DEFAULT_LINKS: u64 = 4;
const MAX_LINKS: u64 = 32;
/// The part of the bandwidth for control traffic that the carrier leaves.
const DEFAULT_BYTES_PER_SECOND: u64 = 2000;
const MIN_BYTES_PER_SECOND: u64 = 1024;
const DEFAULT_RETENTION_SECONDS: u64 = 7 * 86_400;
const MIN_RETENTION_SECONDS: u64 = 10;
const MAX_RETENTION_SECONDS: u64 = 365 * 86_400;

/// The parsed section `fleet.replication`.
#[derive(Clone, Debug, PartialEq)]
pub struct ReplicationConfig {
    /// The proxies of the group including this one, and the address at which each accepts links.
    pub peers: BTreeMap<String, SocketAddr>,
    /// The address at which this process listens for links, if it differs from the one that the others
    /// connect to.
    pub listen: Option<SocketAddr>,
    /// The folder of the replica's copy on disk.
    pub folder: Option<PathBuf>,
    /// The number of links that this process keeps to peers that it chooses.
    pub target_links: usize,
    /// The maximum number of bytes sent to all peers together in a second.
    pub bytes_per_second: usize,
    /// How long an order that puts a node back in service is kept.
    pub retention: Duration,
}

impl ReplicationConfig {
    /// Parses the section for the process of this name, or for a command if the name is empty. `None` if the
    /// section is missing. An unknown key or a wrong value is an error.
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
        let number = |key: &str, default: u64, min: u64, max: u64| -> Result<u64> {
            let fits = |value: &Json| value.as_u64().is_some_and(|value| (min..=max).contains(&value));
            let expected = format!("a number from {min} to {max}");
            check_value(json, &format!("/fleet/replication/{key}"), &expected, fits)?;
            Ok(section.get(key).and_then(Json::as_u64).unwrap_or(default))
        };
        let peers = parse_addresses(section, "fleet.replication", "peers")?;
        ensure!(
            (2..=MAX_PEERS).contains(&peers.len()),
            "fleet.replication.peers: expected 2 to {MAX_PEERS}, found {}",
            peers.len()
        );
        // A command has an empty name, and is not a peer.
        ensure!(
            name.is_empty() || peers.contains_key(name),
            "fleet.replication.peers: {name} is not among them"
        );
        let listen = text("listen").map(|at| {
            at.parse()
                .with_context(|| format!("fleet.replication.listen: expected ADDRESS:PORT, found {at:?}"))
        });
        let retention =
            number("retention-s", DEFAULT_RETENTION_SECONDS, MIN_RETENTION_SECONDS, MAX_RETENTION_SECONDS)?;
        Ok(Some(ReplicationConfig {
            peers,
            listen: listen.transpose()?,
            folder: text("folder").map(PathBuf::from),
            target_links: number("links", DEFAULT_LINKS, 1, MAX_LINKS)? as usize,
            bytes_per_second: number(
                "bytes-per-second",
                DEFAULT_BYTES_PER_SECOND,
                MIN_BYTES_PER_SECOND,
                1 << 30,
            )? as usize,
            retention: Duration::from_secs(retention),
        }))
    }

    /// The address at which the process with this name listens for links; `None` if it is not in the group.
    pub fn listen_address(&self, name: &str) -> Option<SocketAddr> {
        let peer_address = self.peers.get(name)?;
        Some(self.listen.unwrap_or(*peer_address))
    }

    /// A short description for the log.
    pub fn summary(&self) -> String {
        format!("replication among {} proxies", self.peers.len())
    }
}
