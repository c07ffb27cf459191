//! The section `fleet` of the configuration. Each error message names the key.

use crate::fleet::carrier::config::{CarrierConfig, TreeRole};
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
/// The default of `drift-ppm`. A quartz clock is accurate to about 100 ppm; a stepped or virtual clock is
/// worse.
const DEFAULT_DRIFT_PPM: u64 = 10_000;
const MAX_DRIFT_PPM: u64 = 500_000;
const DEFAULT_MAX_PENDING: u64 = 1024;
const DEFAULT_MAX_LINKS: u64 = 1024;

/// The parsed section `fleet`.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetConfig {
    /// The name of the fleet. Processes of different fleets refuse links to each other.
    pub name: String,
    /// The zone. Processes of one zone share the probes of nodes that are down.
    pub zone: String,
    /// The address to listen on, if it differs from the address under which the other processes connect.
    pub listen: Option<SocketAddr>,
    /// The initial voters and their addresses.
    pub voters: BTreeMap<String, SocketAddr>,
    /// Processes that can replace a voter, and their addresses.
    pub spares: BTreeMap<String, SocketAddr>,
    /// The folder of a voter's file. It must survive restarts of the process.
    pub folder: Option<PathBuf>,
    /// How much faster or slower than real time any clock of the fleet may run, in parts per million. Must be
    /// the same in all processes.
    pub drift_ppm: u64,
    /// Whether a restarted voter needs the confirmation of one more other voter before it votes.
    pub require_extra_confirmation: bool,
    /// The maximum number of operations pending at a voter.
    pub max_pending: usize,
    /// The maximum number of links to a voter.
    pub max_links: usize,
    /// For tests: how much faster the fleet clock of this process runs, in parts per million.
    pub clock_ppm: i64,
    /// The section `fleet.carrier`, if this process receives configuration changes through the carrier.
    pub carrier: Option<Arc<CarrierConfig>>,
    /// The section `fleet.replication`, if this process replicates maintenance orders.
    pub replication: Option<Arc<ReplicationConfig>>,
}

impl FleetConfig {
    /// Parses the section for the process `name`. Returns `None` if the configuration has no such section,
    /// and an error that names the key if a value is invalid.
    pub fn parse(json: &Json, name: &str) -> Result<Option<FleetConfig>> {
        let fleet = json.get("fleet").unwrap_or(&Json::Null);
        if fleet.is_null() {
            return Ok(None);
        }
        let object =
            fleet.as_object().with_context(|| format!("fleet: expected an object, found {fleet}"))?;
        for key in object.keys().filter(|key| !KEYS.contains(&key.as_str()) && !key.starts_with('#')) {
            tracing::warn!("configuration: unknown key fleet.{key} is ignored");
        }
        for key in ["name", "zone", "listen", "folder"] {
            check_value(json, &format!("/fleet/{key}"), "a text", Json::is_string)?;
        }
        check_value(json, "/fleet/cautious", "true or false", Json::is_boolean)?;
        check_value(json, "/fleet/clock-ppm", "a whole number (ppm)", Json::is_i64)?;
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
            "fleet.voters: expected 3 or 5 voters, found {}",
            voters.len()
        );
        let spares = parse_addresses(fleet, "fleet", "spares")?;
        if let Some(duplicate) = spares.keys().find(|spare| voters.contains_key(*spare)) {
            bail!("fleet.spares: {duplicate} is already a voter");
        }
        let folder = text("folder").map(PathBuf::from);
        let may_vote = voters.contains_key(name) || spares.contains_key(name);
        ensure!(folder.is_some() || !may_vote, "fleet.folder: missing, but {name} is a voter or spare");
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
                    "fleet.carrier: {other} uses {address}, which is already the address of a voter or spare"
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

    /// Whether the process `name` keeps links to the voters. With a carrier, only control machines and
    /// potential voters do.
    pub fn connects_to_voters(&self, name: &str) -> bool {
        let not_control = |carrier: &Arc<CarrierConfig>| carrier.role(name) != TreeRole::Control;
        self.voter_address(name).is_ok() || !self.carrier.as_ref().is_some_and(not_control)
    }

    /// The address on which the process `name` accepts links; `None` if it is neither a voter nor a spare.
    pub fn listen_address(&self, name: &str) -> Option<SocketAddr> {
        let address = self.voter_address(name).ok()?;
        Some(self.listen.unwrap_or(address))
    }

    /// All voters and spares with their addresses.
    pub fn potential_voters(&self) -> impl Iterator<Item = (&String, SocketAddr)> {
        self.voters.iter().chain(&self.spares).map(|(name, address)| (name, *address))
    }

    /// The address of a voter or spare; an error if `name` is neither.
    pub fn voter_address(&self, name: &str) -> Result<SocketAddr> {
        let address = self.voters.get(name).or_else(|| self.spares.get(name));
        address.copied().with_context(|| format!("{name} is in neither fleet.voters nor fleet.spares"))
    }

    /// One line about the section, for the log and the configuration check.
    pub fn summary(&self, name: &str) -> String {
        let role = match self.listen_address(name) {
            Some(_) => "may vote",
            None if self.connects_to_voters(name) => "does not vote",
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

/// Parses the map from names to addresses under `key`. Error messages call the section `section`.
pub fn parse_addresses(json: &Json, section: &str, key: &str) -> Result<BTreeMap<String, SocketAddr>> {
    let all = json.get(key).unwrap_or(&Json::Null);
    if all.is_null() {
        return Ok(BTreeMap::new());
    }
    let object = all
        .as_object()
        .with_context(|| format!("{section}.{key}: expected an object of names and addresses"))?;
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
