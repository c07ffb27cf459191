//! The section `fleet` of the configuration. Every message names the key.

use crate::fleet::carrier::config::{CarrierConfig, Part};
use crate::fleet::replication::config::ReplicationConfig;
use crate::validation::check_value;
use anyhow::{Context, Result, bail, ensure};
use serde_json::Value as Json;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

const KEYS: &[&str] = &[
    "name",
    "zone",
    "listen",
    "voters",
    "spares",
    "folder",
    "drift-ppm",
    "cautious",
    "asks",
    "links",
    "clock-ppm",
    "carrier",
    "replication",
];
/// A quartz clock is good to some 100 millionths; a stepped or virtual one is worse.
const DEFAULT_DRIFT_PPM: u64 = 10_000;
const MAX_DRIFT_PPM: u64 = 500_000;
const DEFAULT_MAX_PENDING: u64 = 1024;
const DEFAULT_MAX_LINKS: u64 = 1024;

#[derive(Clone, Debug, PartialEq)]
pub struct FleetConfig {
    /// The fleet's name: processes of two fleets do not talk.
    pub name: String,
    /// Processes of one zone share the probes of nodes that are down.
    pub zone: String,
    /// Where this process takes links, if it is not where the others call it.
    pub listen: Option<SocketAddr>,
    /// Who votes from the founding on, and where each is called.
    pub voters: BTreeMap<String, SocketAddr>,
    /// Who may be given a voter's place.
    pub spares: BTreeMap<String, SocketAddr>,
    /// Where a voter keeps its file; it has to outlive the process.
    pub folder: Option<PathBuf>,
    /// How much faster or slower than real time any clock of the fleet may run, in millionths; the same everywhere.
    pub drift_ppm: u64,
    /// Whether a voter that comes back hears one more of the others before it votes.
    pub require_extra_confirmation: bool,
    /// Asks that wait at a voter, and links to it, at the most.
    pub max_pending: usize,
    pub max_links: usize,
    /// For rigs: how much faster this process's fleet clock runs, in millionths.
    pub clock_ppm: i64,
    /// How changes of configuration reach this process, if they do.
    pub carrier: Option<Arc<CarrierConfig>>,
    /// How orders of maintenance reach this process, if they do.
    pub replication: Option<Arc<ReplicationConfig>>,
}

impl FleetConfig {
    /// `None` where the configuration has no such section.
    pub fn parse(json: &Json, name: &str) -> Result<Option<FleetConfig>> {
        let fleet = json.get("fleet").unwrap_or(&Json::Null);
        if fleet.is_null() {
            return Ok(None);
        }
        let object =
            fleet.as_object().with_context(|| format!("fleet: expected an object, found {fleet}"))?;
        for key in object.keys().filter(|key| !KEYS.contains(&key.as_str()) && !key.starts_with('#')) {
            tracing::warn!("configuration: fleet.{key} is not known and not used");
        }
        for key in ["name", "zone", "listen", "folder"] {
            check_value(json, &format!("/fleet/{key}"), "a text", Json::is_string)?;
        }
        check_value(json, "/fleet/cautious", "true or false", Json::is_boolean)?;
        check_value(json, "/fleet/clock-ppm", "millionths", Json::is_i64)?;
        let text = |key: &str| fleet.get(key).and_then(Json::as_str);
        let number = |key: &str, default: u64, max: u64| -> Result<u64> {
            let fits = |value: &Json| value.as_u64().is_some_and(|value| value >= 1 && value <= max);
            check_value(json, &format!("/fleet/{key}"), &format!("a number from 1 to {max}"), fits)?;
            Ok(fleet.get(key).and_then(Json::as_u64).unwrap_or(default))
        };
        let fleet_name = text("name").context("fleet.name: missing")?;
        ensure!((1..=100).contains(&fleet_name.len()), "fleet.name: expected 1 to 100 bytes");
        let voters = parse_addresses(fleet, "fleet", "voters")?;
        ensure!(
            voters.len() == 3 || voters.len() == 5,
            "fleet.voters: expected three or five, found {}",
            voters.len()
        );
        let spares = parse_addresses(fleet, "fleet", "spares")?;
        if let Some(duplicate) = spares.keys().find(|spare| voters.contains_key(*spare)) {
            bail!("fleet.spares: {duplicate} is among the voters");
        }
        let folder = text("folder").map(PathBuf::from);
        let may_vote = voters.contains_key(name) || spares.contains_key(name);
        ensure!(
            folder.is_some() || !may_vote,
            "fleet.folder: missing, and {name} is among the voters or spares"
        );
        let listen = text("listen").map(|address| {
            address.parse().with_context(|| format!("fleet.listen: expected ADDRESS:PORT, found {address:?}"))
        });
        let carrier = CarrierConfig::parse(json, name)?;
        if let Some(carrier) = &carrier {
            let in_use =
                |address: SocketAddr| voters.values().chain(spares.values()).any(|other| *other == address);
            let mut listeners = carrier.control.iter().chain(&carrier.relays);
            if let Some((other, address)) = listeners.find(|(_, address)| in_use(**address)) {
                bail!(
                    "fleet.carrier: {other} takes children at {address}, where a voter or spare takes links"
                );
            }
        }
        Ok(Some(FleetConfig {
            name: fleet_name.into(),
            zone: text("zone").unwrap_or_default().into(),
            listen: listen.transpose()?,
            voters,
            spares,
            folder,
            drift_ppm: number("drift-ppm", DEFAULT_DRIFT_PPM, MAX_DRIFT_PPM)?,
            require_extra_confirmation: fleet.get("cautious").and_then(Json::as_bool).unwrap_or(false),
            max_pending: number("asks", DEFAULT_MAX_PENDING, 1 << 20)? as usize,
            max_links: number("links", DEFAULT_MAX_LINKS, 1 << 16)? as usize,
            clock_ppm: fleet.get("clock-ppm").and_then(Json::as_i64).unwrap_or(0),
            carrier: carrier.map(Arc::new),
            replication: ReplicationConfig::parse(json, name)?.map(Arc::new),
        }))
    }

    /// Whether a process of this name keeps links to the voters: with a carrier, those at its edges do not.
    pub fn connects_to_voters(&self, name: &str) -> bool {
        let not_control = |carrier: &Arc<CarrierConfig>| carrier.part(name) != Part::Control;
        self.voter_address(name).is_ok() || !self.carrier.as_ref().is_some_and(not_control)
    }

    /// Where a process of this name takes links; only who may vote does.
    pub fn listen_address(&self, name: &str) -> Option<SocketAddr> {
        let address = self.voter_address(name).ok()?;
        Some(self.listen.unwrap_or(address))
    }

    /// All that may vote, and where each is called.
    pub fn potential_voters(&self) -> impl Iterator<Item = (&String, SocketAddr)> {
        self.voters.iter().chain(&self.spares).map(|(name, address)| (name, *address))
    }

    /// Where this one of them is called.
    pub fn voter_address(&self, name: &str) -> Result<SocketAddr> {
        let address = self.voters.get(name).or_else(|| self.spares.get(name));
        address.copied().with_context(|| format!("{name} is neither among fleet.voters nor fleet.spares"))
    }

    pub fn summary(&self, name: &str) -> String {
        let role = match self.listen_address(name) {
            Some(_) => "may vote",
            None if self.connects_to_voters(name) => "asks",
            None => "has no links to voters",
        };
        let carrier =
            self.carrier.as_ref().map_or(String::new(), |carrier| format!("; {}", carrier.summary(name)));
        let replication =
            self.replication.as_ref().map_or(String::new(), |section| format!("; {}", section.summary()));
        let (fleet, voters, drift) = (&self.name, self.voters.len(), self.drift_ppm);
        format!("fleet {fleet}: {role}, {voters} voters, drift {drift} ppm{carrier}{replication}")
    }
}

/// Names and addresses under `key` of the section that messages call `section`.
pub fn parse_addresses(json: &Json, section: &str, key: &str) -> Result<BTreeMap<String, SocketAddr>> {
    let all = json.get(key).unwrap_or(&Json::Null);
    if all.is_null() {
        return Ok(BTreeMap::new());
    }
    let object =
        all.as_object().with_context(|| format!("{section}.{key}: expected names with addresses"))?;
    object
        .iter()
        .filter(|(name, _)| !name.starts_with('#'))
        .map(|(name, address)| {
            let parsed = address.as_str().and_then(|address| address.parse().ok());
            let address = parsed
                .with_context(|| format!("{section}.{key}.{name}: expected ADDRESS:PORT, found {address}"))?;
            Ok((name.clone(), address))
        })
        .collect()
}
