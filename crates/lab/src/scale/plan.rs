//! What is played: how large the fleet is, what changes, and which fault begins when.

use anyhow::{Context, Result, bail, ensure};
use serde::{Deserialize, Serialize};
use std::path::Path;

/// The most that a plan may ask for: above it a play would not end in a sitting.
const MAX_PROXIES: usize = 100_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// The process `who` dies, and is back after `seconds`, with the disk that `disk` says.
    Dies,
    /// Half of the proxies of `site` restart at once.
    HalfSite,
    /// All links of the proxies of `zone` are reset within one second.
    ZoneReconnects,
    /// `region` is cut off for `seconds`: what is sent is lost, and nobody is told.
    RegionCut,
    /// `count` changes within one second.
    Burst,
    /// `who` reads one byte a second.
    SlowChild,
    /// `who` is stopped (SIGSTOP) and goes on later.
    Stall,
    /// All control machines are gone.
    ControlGone,
    /// `who` refuses the next change that concerns it.
    Refused,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DiskState {
    #[default]
    Kept,
    Empty,
    /// A copy from the beginning of the play.
    Old,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    pub kind: FaultKind,
    /// In seconds from the start, and how long it lasts.
    #[serde(rename = "at")]
    pub start_seconds: f64,
    #[serde(default = "two")]
    pub seconds: f64,
    /// `proxy-N`, `relay-N`, `control-N`, or `root`: whoever publishes then.
    #[serde(default)]
    #[serde(rename = "who")]
    pub target: Option<String>,
    #[serde(default)]
    pub site: Option<usize>,
    #[serde(default)]
    pub zone: Option<usize>,
    #[serde(default)]
    pub region: Option<usize>,
    #[serde(default)]
    pub count: Option<usize>,
    #[serde(default)]
    pub disk: DiskState,
    /// It dies as it sends the next part of a difference, not before.
    #[serde(default)]
    #[serde(rename = "amid")]
    pub during_delta: bool,
    /// The machine is gone, so that nobody is told: others learn it by silence.
    #[serde(default)]
    #[serde(rename = "silent")]
    pub without_reset: bool,
}

fn two() -> f64 {
    2.0
}

/// So many of a hundred changes are of this size.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChangeSize {
    pub bytes: usize,
    pub share: f64,
}

/// So many for the fleet, so many for each region, zone and site, and one for each of this share of the proxies.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Resources {
    pub fleet: usize,
    #[serde(rename = "each")]
    pub per_location: usize,
    pub proxies: f64,
}

/// Shares of the changes by scope.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scopes {
    pub fleet: f64,
    pub region: f64,
    pub zone: f64,
    pub site: f64,
    pub proxy: f64,
}

/// How long a message travels one way, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Delays {
    pub site: f64,
    pub region: f64,
    #[serde(rename = "between")]
    pub inter_region: f64,
    /// Between voters: they are put near each other, as a round of theirs lasts 250 ms at most.
    pub voters: f64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    #[serde(default)]
    #[serde(rename = "about")]
    pub description: String,
    pub proxies: usize,
    pub sites: usize,
    pub zones: usize,
    pub regions: usize,
    /// Control machines, and voters, which are processes of their own here.
    #[serde(rename = "control")]
    pub control_machines: usize,
    #[serde(default = "five")]
    pub voters: usize,
    pub changes_per_second: f64,
    /// Not played: for the arithmetic of the capacity page.
    pub purges_per_second: f64,
    /// Measured time; `warm_seconds` before it, in which the fleet starts and the resources are written, count for nothing.
    pub seconds: f64,
    #[serde(default = "warm")]
    pub warm_seconds: f64,
    /// Proxies of each site that take children; none: all call the control machines.
    #[serde(default)]
    pub relays_per_site: usize,
    /// Different resources, each written once before the measured time.
    #[serde(default = "resources")]
    pub resources: Resources,
    #[serde(default = "sizes")]
    pub change_bytes: Vec<ChangeSize>,
    #[serde(default = "scopes")]
    pub scopes: Scopes,
    /// Of each proxy.
    #[serde(default)]
    pub restarts_per_day: f64,
    /// The stated drift, and how far clocks are off at the most, in millionths.
    #[serde(default = "drift")]
    pub drift_ppm: u64,
    #[serde(default)]
    pub clocks_ppm: i64,
    #[serde(default = "delays")]
    pub delays_ms: Delays,
    /// Of segments; a lost one is sent again after 200 ms.
    #[serde(default)]
    pub loss: f64,
    #[serde(default = "lease")]
    pub lease_seconds: f64,
    /// How long a disk takes, and putting a change in force.
    #[serde(default = "disk")]
    pub disk_ms: f64,
    #[serde(default = "apply")]
    pub apply_ms: f64,
    #[serde(default = "children")]
    #[serde(rename = "children")]
    pub max_children: usize,
    #[serde(default = "budget")]
    pub child_bytes_per_second: u64,
    #[serde(default = "part")]
    pub part_bytes: usize,
    #[serde(default = "named")]
    #[serde(rename = "named")]
    pub max_exceptions: usize,
    /// Without it proxies ask the voters, every so many seconds.
    #[serde(default = "yes")]
    pub carrier: bool,
    #[serde(default = "poll")]
    pub poll_seconds: f64,
    #[serde(default, rename = "fault")]
    pub faults: Vec<Fault>,
}

fn five() -> usize {
    5
}
fn warm() -> f64 {
    15.0
}
fn resources() -> Resources {
    Resources { fleet: 24, per_location: 1, proxies: 0.01 }
}
fn sizes() -> Vec<ChangeSize> {
    let size = |bytes, share| ChangeSize { bytes, share };
    vec![size(200, 0.7), size(600, 0.25), size(3000, 0.05)]
}
fn scopes() -> Scopes {
    Scopes { fleet: 0.3, region: 0.1, zone: 0.1, site: 0.3, proxy: 0.2 }
}
fn drift() -> u64 {
    10_000
}
fn delays() -> Delays {
    Delays { site: 0.2, region: 2.0, inter_region: 60.0, voters: 8.0 }
}
fn lease() -> f64 {
    3.0
}
fn disk() -> f64 {
    4.0
}
fn apply() -> f64 {
    20.0
}
fn children() -> usize {
    2048
}
fn budget() -> u64 {
    6_000
}
fn part() -> usize {
    4096
}
fn named() -> usize {
    16
}
fn yes() -> bool {
    true
}
fn poll() -> f64 {
    4.0
}

impl Plan {
    pub fn read(path: &Path) -> Result<Plan> {
        Plan::read_with(path, &[])
    }

    /// With these keys set instead, as `--set KEY=VALUE` has them.
    pub fn read_with(path: &Path, set: &[(String, String)]) -> Result<Plan> {
        let text = std::fs::read_to_string(path).with_context(|| path.display().to_string())?;
        let mut table: toml::Table = toml::from_str(&text).with_context(|| path.display().to_string())?;
        for (key, value) in set {
            let value: toml::Table = toml::from_str(&format!("value = {value}"))
                .with_context(|| format!("--set {key}: {value:?} is no value"))?;
            table.extend(value.into_iter().map(|(_, value)| (key.clone(), value)));
        }
        Plan::parse(&toml::to_string(&table)?).with_context(|| path.display().to_string())
    }

    pub fn parse(text: &str) -> Result<Plan> {
        let plan: Plan = toml::from_str(text)?;
        let counts = [
            ("proxies", plan.proxies, 1, MAX_PROXIES),
            ("sites", plan.sites, 1, plan.proxies),
            ("zones", plan.zones, 1, plan.sites),
            ("regions", plan.regions, 1, plan.zones),
            ("control", plan.control_machines, 1, 64),
            ("relays_per_site", plan.relays_per_site, 0, plan.proxies / plan.sites),
            ("resources.fleet", plan.resources.fleet, 1, 1000),
            ("resources.each", plan.resources.per_location, 0, 10),
            ("children", plan.max_children, 1, MAX_PROXIES),
            ("part_bytes", plan.part_bytes, 64, 65_536),
            ("named", plan.max_exceptions, 0, 4096),
        ];
        for (key, found, least, most) in counts {
            ensure!((least..=most).contains(&found), "{key}: expected {least} to {most}, found {found}");
        }
        ensure!(matches!(plan.voters, 3 | 5), "voters: expected three or five, found {}", plan.voters);
        let budget = plan.child_bytes_per_second;
        ensure!(budget >= 64, "child_bytes_per_second: expected 64 or more, found {budget}");
        let Delays { site, region, inter_region, voters } = plan.delays_ms;
        let numbers = [
            ("changes_per_second", plan.changes_per_second, 0.0, 1000.0),
            ("purges_per_second", plan.purges_per_second, 0.0, 1e6),
            ("seconds", plan.seconds, 1.0, 86_400.0),
            ("warm_seconds", plan.warm_seconds, 5.0, 600.0),
            ("restarts_per_day", plan.restarts_per_day, 0.0, 10_000.0),
            ("loss", plan.loss, 0.0, 0.5),
            ("resources.proxies", plan.resources.proxies, 0.0, 1.0),
            ("lease_seconds", plan.lease_seconds, 0.5, 600.0),
            ("disk_ms", plan.disk_ms, 0.0, 10_000.0),
            ("apply_ms", plan.apply_ms, 0.0, 10_000.0),
            ("poll_seconds", plan.poll_seconds, 0.1, 3600.0),
            ("delays_ms.site", site, 0.0, 1000.0),
            ("delays_ms.region", region, 0.0, 1000.0),
            ("delays_ms.between", inter_region, 0.0, 1000.0),
            ("delays_ms.voters", voters, 0.0, 1000.0),
            ("clocks_ppm", plan.clocks_ppm as f64, 0.0, plan.drift_ppm as f64),
            ("drift_ppm", plan.drift_ppm as f64, 0.0, 500_000.0),
        ];
        for (key, found, least, most) in numbers {
            ensure!((least..=most).contains(&found), "{key}: expected {least} to {most}, found {found}");
        }
        for (index, size) in plan.change_bytes.iter().enumerate() {
            let fits = (16..=32_768).contains(&size.bytes);
            ensure!(fits, "change_bytes.{index}.bytes: expected 16 to 32768, found {}", size.bytes);
        }
        let shares: Vec<f64> = plan.change_bytes.iter().map(|size| size.share).collect();
        check_shares("change_bytes", &shares)?;
        check_shares("scopes", &plan.scopes.shares())?;
        for (index, fault) in plan.faults.iter().enumerate() {
            plan.check_fault(fault).with_context(|| format!("fault {index}"))?;
        }
        Ok(plan)
    }

    fn check_fault(&self, fault: &Fault) -> Result<()> {
        let end = fault.start_seconds + fault.seconds;
        ensure!(fault.start_seconds >= 0.0 && fault.seconds >= 0.0, "at, seconds: expected zero or more");
        ensure!(end <= self.seconds, "seconds: ends at {end}, after the play");
        let number = |key: &str, given: Option<usize>, most: usize| {
            let found = given.with_context(|| format!("{key}: missing"))?;
            ensure!(found < most, "{key}: expected less than {most}, found {found}");
            Ok(())
        };
        match fault.kind {
            FaultKind::HalfSite => number("site", fault.site, self.sites),
            FaultKind::ZoneReconnects => number("zone", fault.zone, self.zones),
            FaultKind::RegionCut => number("region", fault.region, self.regions),
            FaultKind::Burst => number("count", fault.count, 10_001),
            FaultKind::ControlGone => Ok(()),
            FaultKind::Dies | FaultKind::SlowChild | FaultKind::Stall | FaultKind::Refused => {
                let who = fault.target.as_deref().context("who: missing")?;
                let (kind, number) = who.rsplit_once('-').unwrap_or((who, ""));
                let number = number.parse::<usize>().ok();
                let relays = self.relays_per_site * self.sites;
                let fits = match (kind, number) {
                    ("root", None) => fault.kind != FaultKind::Refused && fault.kind != FaultKind::SlowChild,
                    ("control", Some(number)) => {
                        number < self.control_machines && fault.kind != FaultKind::Refused
                    }
                    ("proxy", Some(number)) => number < self.proxies,
                    ("relay", Some(number)) => number < relays,
                    _ => bail!("who: expected proxy-N, relay-N, control-N or root, found {who:?}"),
                };
                ensure!(fits, "who: nobody of this fault is {who:?}");
                Ok(())
            }
        }
    }
}

/// Shares that add up to one.
fn check_shares(key: &str, shares: &[f64]) -> Result<()> {
    let sum: f64 = shares.iter().sum();
    ensure!(shares.iter().all(|share| *share >= 0.0), "{key}: expected no share below zero");
    ensure!((sum - 1.0).abs() < 1e-6, "{key}: expected shares that add up to 1, found {sum}");
    Ok(())
}

impl Scopes {
    pub fn shares(&self) -> [f64; 5] {
        [self.fleet, self.region, self.zone, self.site, self.proxy]
    }
}

impl Fault {
    pub fn describe(&self) -> String {
        let mut text = format!("{:.1} s {:?}", self.start_seconds, self.kind);
        if let Some(who) = &self.target {
            text += &format!(" {who}");
        }
        for (name, value) in
            [("site", self.site), ("zone", self.zone), ("region", self.region), ("count", self.count)]
        {
            if let Some(value) = value {
                text += &format!(" {name} {value}");
            }
        }
        text + &format!(" for {:.1} s", self.seconds)
    }
}
