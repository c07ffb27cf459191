//! The section `fleet.carrier` of the configuration. Every message names the key.

use crate::fleet::config::parse_addresses;
use crate::validation::check_value;
use anyhow::{Context, Result, bail, ensure};
use serde_json::Value as Json;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;

const KEYS: &[&str] =
    &["control", "region", "site", "relays", "listen", "folder", "children", "bytes-per-second"];
const MOST_CONTROL: usize = 64;
const CHILDREN: u64 = 2048;
const BYTES_PER_SECOND: u64 = 6000;
/// A part of a difference has to fit into some seconds of it.
const FEWEST_BYTES_PER_SECOND: u64 = 1000;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Part {
    /// Keeps all on disk, may publish, takes any process as a child.
    Control,
    /// Takes the proxies of its site as children.
    Relay,
    Leaf,
}

#[derive(Clone, Debug, PartialEq)]
pub struct CarrierConfig {
    /// The control machines, and where each takes children.
    pub control: BTreeMap<String, SocketAddr>,
    /// Those of this process's site that take the others of the site as children.
    pub relays: BTreeMap<String, SocketAddr>,
    pub region: String,
    pub site: String,
    /// Where this process takes children, if it is not where they call it.
    pub listen: Option<SocketAddr>,
    /// Where the last good set is kept.
    pub folder: Option<PathBuf>,
    /// How many children this process takes at the most, and what it sends to each in a second.
    pub children: usize,
    pub bytes_per_second: u64,
}

impl CarrierConfig {
    /// `None` where the section `fleet` has no such section.
    pub fn parse(json: &Json, name: &str) -> Result<Option<CarrierConfig>> {
        let carrier = json.pointer("/fleet/carrier").unwrap_or(&Json::Null);
        if carrier.is_null() {
            return Ok(None);
        }
        let object = carrier
            .as_object()
            .with_context(|| format!("fleet.carrier: expected an object, found {carrier}"))?;
        for key in object.keys().filter(|key| !KEYS.contains(&key.as_str()) && !key.starts_with('#')) {
            tracing::warn!("configuration: fleet.carrier.{key} is not known and not used");
        }
        for key in ["region", "site", "listen", "folder"] {
            check_value(json, &format!("/fleet/carrier/{key}"), "a text", Json::is_string)?;
        }
        let text = |key: &str| carrier.get(key).and_then(Json::as_str);
        let number = |key: &str, default: u64, least: u64, most: u64| -> Result<usize> {
            let fits = |value: &Json| value.as_u64().is_some_and(|value| (least..=most).contains(&value));
            let wanted = format!("a number from {least} to {most}");
            check_value(json, &format!("/fleet/carrier/{key}"), &wanted, fits)?;
            Ok(carrier.get(key).and_then(Json::as_u64).unwrap_or(default) as usize)
        };
        let control = parse_addresses(carrier, "fleet.carrier", "control")?;
        ensure!(
            (1..=MOST_CONTROL).contains(&control.len()),
            "fleet.carrier.control: expected 1 to {MOST_CONTROL}, found {}",
            control.len()
        );
        let relays = parse_addresses(carrier, "fleet.carrier", "relays")?;
        if let Some(twice) = relays.keys().find(|relay| control.contains_key(*relay)) {
            bail!("fleet.carrier.relays: {twice} is among the control machines");
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
            children: number("children", CHILDREN, 1, 1 << 16)?,
            bytes_per_second: number("bytes-per-second", BYTES_PER_SECOND, FEWEST_BYTES_PER_SECOND, 1 << 30)?
                as u64,
        }))
    }

    /// What a process of this name does.
    pub fn part(&self, name: &str) -> Part {
        match name {
            _ if self.control.contains_key(name) => Part::Control,
            _ if self.relays.contains_key(name) => Part::Relay,
            _ => Part::Leaf,
        }
    }

    /// Where a process of this name takes children; a leaf takes none.
    pub fn listens(&self, name: &str) -> Option<SocketAddr> {
        let called = self.called(name)?;
        Some(self.listen.unwrap_or(called))
    }

    /// Where this one is called by its children.
    pub fn called(&self, name: &str) -> Option<SocketAddr> {
        self.control.get(name).or_else(|| self.relays.get(name)).copied()
    }

    pub fn summary(&self, name: &str) -> String {
        let part = match self.part(name) {
            Part::Control => "control machine",
            Part::Relay => "relay",
            Part::Leaf => "leaf",
        };
        let (control, relays) = (self.control.len(), self.relays.len());
        format!("carrier: {part} of site {:?}, {control} control machines, {relays} relays here", self.site)
    }
}
