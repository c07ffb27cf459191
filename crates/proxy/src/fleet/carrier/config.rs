//! The section `fleet.carrier` of the configuration. Every error names the key that is wrong.

use crate::fleet::config::parse_addresses;
use crate::validation::check_value;
use anyhow::{Context, Result, bail, ensure};
use serde_json::Value as Json;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;

const KEYS: &[&str] =
    &["control", "region", "site", "relays", "listen", "folder", "children", "bytes-per-second"];
const MAX_CONTROL_MACHINES: usize = 64;
const DEFAULT_MAX_CHILDREN: u64 = 2048;
const DEFAULT_BYTES_PER_SECOND: u64 = 6000;
/// One part of a difference must be transferable within a few seconds at this rate.
const MIN_BYTES_PER_SECOND: u64 = 1000;

/// The role of a process in the distribution tree.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TreeRole {
    /// Stores all resources on disk, may publish, and accepts any process as a child.
    Control,
    /// Accepts the proxies of its site as children.
    Relay,
    /// Has a parent and no children.
    Leaf,
}

/// The parsed section `fleet.carrier`.
#[derive(Clone, Debug, PartialEq)]
pub struct CarrierConfig {
    /// The control machines, and the address at which each accepts children.
    pub control: BTreeMap<String, SocketAddr>,
    /// The relays of this process's site, and the address at which each accepts children.
    pub relays: BTreeMap<String, SocketAddr>,
    /// The region of this process.
    pub region: String,
    /// The site of this process.
    pub site: String,
    /// The address at which this process listens for children, if it differs from the one that they connect
    /// to.
    pub listen: Option<SocketAddr>,
    /// The folder of the snapshot file.
    pub folder: Option<PathBuf>,
    /// The maximum number of children of this process.
    pub max_children: usize,
    /// The maximum number of bytes that are sent to each child in a second.
    pub bytes_per_second: u64,
}

impl CarrierConfig {
    /// Parses the section for the process of this name; `None` if the section is missing. Unknown keys are
    /// logged and ignored; a wrong value is an error.
    pub fn parse(json: &Json, name: &str) -> Result<Option<CarrierConfig>> {
        let carrier = json.pointer("/fleet/carrier").unwrap_or(&Json::Null);
        if carrier.is_null() {
            return Ok(None);
        }
        let object = carrier
            .as_object()
            .with_context(|| format!("fleet.carrier: expected an object, found {carrier}"))?;
        for key in object.keys().filter(|key| !KEYS.contains(&key.as_str()) && !key.starts_with('#')) {
            tracing::warn!("configuration: fleet.carrier.{key} is unknown and ignored");
        }
        for key in ["region", "site", "listen", "folder"] {
            check_value(json, &format!("/fleet/carrier/{key}"), "a text", Json::is_string)?;
        }
        let text = |key: &str| carrier.get(key).and_then(Json::as_str);
        let number = |key: &str, default: u64, min: u64, max: u64| -> Result<usize> {
            let fits = |value: &Json| value.as_u64().is_some_and(|value| (min..=max).contains(&value));
            let expected = format!("a number from {min} to {max}");
            check_value(json, &format!("/fleet/carrier/{key}"), &expected, fits)?;
            Ok(carrier.get(key).and_then(Json::as_u64).unwrap_or(default) as usize)
        };
        let control = parse_addresses(carrier, "fleet.carrier", "control")?;
        ensure!(
            (1..=MAX_CONTROL_MACHINES).contains(&control.len()),
            "fleet.carrier.control: expected 1 to {MAX_CONTROL_MACHINES}, found {}",
            control.len()
        );
        let relays = parse_addresses(carrier, "fleet.carrier", "relays")?;
        if let Some(duplicate) = relays.keys().find(|relay| control.contains_key(*relay)) {
            bail!("fleet.carrier.relays: {duplicate} is among the control machines");
        }
        let folder = text("folder").map(PathBuf::from);
        ensure!(
            folder.is_some() || !control.contains_key(name),
            "fleet.carrier.folder: missing, and {name} is among the control machines"
        );
        let listen = text("listen").map(|at| {
            at.parse().with_context(|| format!("fleet.carrier.listen: expected ADDRESS:PORT, found {at:?}"))
        });
        Ok(Some(CarrierConfig {
            control,
            relays,
            region: text("region").unwrap_or_default().into(),
            site: text("site").unwrap_or_default().into(),
            listen: listen.transpose()?,
            folder,
            max_children: number("children", DEFAULT_MAX_CHILDREN, 1, 1 << 16)?,
            bytes_per_second: number(
                "bytes-per-second",
                DEFAULT_BYTES_PER_SECOND,
                MIN_BYTES_PER_SECOND,
                1 << 30,
            )? as u64,
        }))
    }

    /// The role of the process with this name.
    pub fn role(&self, name: &str) -> TreeRole {
        match name {
            _ if self.control.contains_key(name) => TreeRole::Control,
            _ if self.relays.contains_key(name) => TreeRole::Relay,
            _ => TreeRole::Leaf,
        }
    }

    /// The address at which the process with this name listens for children; `None` for a leaf.
    pub fn listen_address(&self, name: &str) -> Option<SocketAddr> {
        let address = self.address_of(name)?;
        Some(self.listen.unwrap_or(address))
    }

    /// The address to which children of the process with this name connect; `None` for a leaf.
    pub fn address_of(&self, name: &str) -> Option<SocketAddr> {
        self.control.get(name).or_else(|| self.relays.get(name)).copied()
    }

    /// A short description for the log: the role of the process with this name, and the size of the tree's
    /// top.
    pub fn summary(&self, name: &str) -> String {
        let role = match self.role(name) {
            TreeRole::Control => "control machine",
            TreeRole::Relay => "relay",
            TreeRole::Leaf => "leaf",
        };
        let (control, relays) = (self.control.len(), self.relays.len());
        format!("carrier: {role} of site {:?}, {control} control machines, {relays} relays here", self.site)
    }
}
