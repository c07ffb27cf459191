//! Plan files: size of the fleet, sizes and rates of changes, delays, and faults with their start times.

use anyhow::{Context, Result, bail, ensure};
use serde::{Deserialize, Serialize};
use std::path::Path;

/// Largest number of proxies, and of children of one process: a larger fleet would not finish in reasonable
/// time.
const MAX_PROXIES: usize = 100_000;

/// Kind of an injected fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// The process `who` dies and restarts after `seconds`, with its disk in the state `disk`.
    Dies,
    /// Half of the proxies of `site` restart at once.
    HalfSite,
    /// The parent links of all proxies of `zone` are reset within one second.
    ZoneReconnects,
    /// `region` is partitioned for `seconds`: messages to and from it are lost without an error.
    RegionCut,
    /// `count` changes are proposed within one second.
    Burst,
    /// The process `who` reads one byte a second from its parent.
    SlowChild,
    /// The process `who` is stopped, as by SIGSTOP, and resumed after `seconds`.
    Stall,
    /// All control machines die, and restart after `seconds`.
    ControlGone,
    /// The process `who` refuses one resource of fleet scope, beginning with its next change.
    Refused,
}

/// Disk of a process that restarts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DiskState {
    /// Unchanged.
    #[default]
    Kept,
    /// Lost.
    Empty,
    /// Restored from a copy that was taken at the start of the measured time.
    Old,
}

/// A fault of a plan; which of the optional fields it needs depends on its kind.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// What fails.
    pub kind: FaultKind,
    /// Start, in seconds from the start of the measured time.
    #[serde(rename = "at")]
    pub start_seconds: f64,
    /// Duration in seconds.
    #[serde(default = "two")]
    pub seconds: f64,
    /// `proxy-N`, `relay-N`, `control-N`, or `root` for the control machine that publishes at that time.
    #[serde(default)]
    #[serde(rename = "who")]
    pub target: Option<String>,
    /// Index of the site of `half_site`.
    #[serde(default)]
    pub site: Option<usize>,
    /// Index of the zone of `zone_reconnects`.
    #[serde(default)]
    pub zone: Option<usize>,
    /// Index of the region of `region_cut`.
    #[serde(default)]
    pub region: Option<usize>,
    /// Number of changes of `burst`.
    #[serde(default)]
    pub count: Option<usize>,
    /// State of the disk at the restart of a process that died.
    #[serde(default)]
    pub disk: DiskState,
    /// The process dies while it sends the next part of a delta, not at the start of the fault.
    #[serde(default)]
    #[serde(rename = "amid")]
    pub during_delta: bool,
    /// The machine fails with the process, so its links are not reset: peers detect it by missing heartbeats.
    #[serde(default)]
    #[serde(rename = "silent")]
    pub without_reset: bool,
}

fn two() -> f64 {
    2.0
}

/// One size of changes, and the share of changes that have it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChangeSize {
    /// Size of the patch in bytes.
    pub bytes: usize,
    /// Between 0 and 1; the shares of all sizes add up to 1.
    pub share: f64,
}

/// Numbers of resources by scope.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Resources {
    /// Resources of the whole fleet.
    pub fleet: usize,
    /// Resources of each region, of each zone and of each site.
    #[serde(rename = "each")]
    pub per_location: usize,
    /// Share of the proxies, between 0 and 1, that have one resource of their own.
    pub proxies: f64,
}

/// Shares of the changes by scope; they add up to 1.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scopes {
    /// Share of the changes that concern the whole fleet.
    pub fleet: f64,
    /// Share of the changes that concern one region.
    pub region: f64,
    /// Share of the changes that concern one zone.
    pub zone: f64,
    /// Share of the changes that concern one site.
    pub site: f64,
    /// Share of the changes that concern one proxy.
    pub proxy: f64,
}

/// One-way delays of messages, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Delays {
    /// Within a site.
    pub site: f64,
    /// Between sites of a region.
    pub region: f64,
    /// Between regions.
    #[serde(rename = "between")]
    pub inter_region: f64,
    /// Between voters, which are placed near each other because one of their quorum rounds lasts 250 ms at
    /// most.
    pub voters: f64,
}

/// A run: the fleet, its load and its faults.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Free text, shown in the report.
    #[serde(default)]
    #[serde(rename = "about")]
    pub description: String,
    /// Number of proxies, relays among them.
    pub proxies: usize,
    /// Number of sites; proxies are spread over them evenly.
    pub sites: usize,
    /// Number of zones; sites are spread over them evenly.
    pub zones: usize,
    /// Number of regions; zones are spread over them evenly.
    pub regions: usize,
    /// Number of control machines; one of them at a time holds the lease and publishes changes.
    #[serde(rename = "control")]
    pub control_machines: usize,
    /// Number of voters, 3 or 5; in virtual time they are separate processes.
    #[serde(default = "five")]
    pub voters: usize,
    /// Mean rate of proposed changes.
    pub changes_per_second: f64,
    /// Rate of purges; not simulated, only used in capacity calculations.
    pub purges_per_second: f64,
    /// Measured time in seconds, which follows the `warm_seconds`.
    pub seconds: f64,
    /// Unmeasured time at the beginning, in seconds, in which the fleet starts and each resource is written
    /// once.
    #[serde(default = "warm")]
    pub warm_seconds: f64,
    /// Number of relays, proxies that accept children, at each site; with 0 all proxies connect to the
    /// control machines.
    #[serde(default)]
    pub relays_per_site: usize,
    /// Resources of the fleet, each written once before the measured time.
    #[serde(default = "resources")]
    pub resources: Resources,
    /// Distribution of the sizes of changes.
    #[serde(default = "sizes")]
    pub change_bytes: Vec<ChangeSize>,
    /// Distribution of the scopes of changes.
    #[serde(default = "scopes")]
    pub scopes: Scopes,
    /// Mean number of restarts of each proxy in a day.
    #[serde(default)]
    pub restarts_per_day: f64,
    /// Bound on clock drift that leases and voters assume, in parts per million.
    #[serde(default = "drift")]
    pub drift_ppm: u64,
    /// Largest real drift of a clock, in parts per million.
    #[serde(default)]
    pub clocks_ppm: i64,
    /// One-way delays of messages.
    #[serde(default = "delays")]
    pub delays_ms: Delays,
    /// Share of lost segments, between 0 and 1; a lost one is sent again after 200 ms.
    #[serde(default)]
    pub loss: f64,
    /// Duration of the lease that the publishing control machine holds, in seconds.
    #[serde(default = "lease")]
    pub lease_seconds: f64,
    /// Time of one write to disk, in milliseconds.
    #[serde(default = "disk")]
    pub disk_ms: f64,
    /// Time to put a change in force, in milliseconds.
    #[serde(default = "apply")]
    pub apply_ms: f64,
    /// Largest number of children of one process.
    #[serde(default = "children")]
    #[serde(rename = "children")]
    pub max_children: usize,
    /// Send rate to one child, in bytes a second.
    #[serde(default = "budget")]
    pub child_bytes_per_second: u64,
    /// Size of one part of a delta, in bytes.
    #[serde(default = "part")]
    pub part_bytes: usize,
    /// Largest number of exceptions that a summary lists by name; further ones are only counted.
    #[serde(default = "named")]
    #[serde(rename = "named")]
    pub max_exceptions: usize,
    /// Whether the carrier distributes changes; without it proxies poll the voters.
    #[serde(default = "yes")]
    pub carrier: bool,
    /// Interval of polls of one proxy without the carrier, in seconds.
    #[serde(default = "poll")]
    pub poll_seconds: f64,
    /// Injected faults.
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
    /// Reads a plan; fails if the file can't be read or the plan is invalid.
    pub fn read(path: &Path) -> Result<Plan> {
        Plan::read_with(path, &[])
    }

    /// Reads a plan with the given keys replaced, as by `--set KEY=VALUE`; values are TOML expressions.
    pub fn read_with(path: &Path, set: &[(String, String)]) -> Result<Plan> {
        let text = std::fs::read_to_string(path).with_context(|| path.display().to_string())?;
        let mut table: toml::Table = toml::from_str(&text).with_context(|| path.display().to_string())?;
        for (key, value) in set {
            let value: toml::Table = toml::from_str(&format!("value = {value}"))
                .with_context(|| format!("--set {key}: {value:?} is not a TOML value"))?;
            table.extend(value.into_iter().map(|(_, value)| (key.clone(), value)));
        }
        Plan::parse(&toml::to_string(&table)?).with_context(|| path.display().to_string())
    }

    /// Parses and validates a plan; errors begin with the key that is wrong.
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

    /// Validates one fault against the size of the fleet; errors begin with the key that is wrong.
    fn check_fault(&self, fault: &Fault) -> Result<()> {
        let end = fault.start_seconds + fault.seconds;
        ensure!(fault.start_seconds >= 0.0 && fault.seconds >= 0.0, "at, seconds: expected zero or more");
        ensure!(end <= self.seconds, "seconds: ends at {end}, after the end of the run");
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
                ensure!(fits, "who: {who:?} does not exist or cannot have this fault");
                Ok(())
            }
        }
    }
}

/// Checks that no share is negative and that all add up to 1.
fn check_shares(key: &str, shares: &[f64]) -> Result<()> {
    let sum: f64 = shares.iter().sum();
    ensure!(shares.iter().all(|share| *share >= 0.0), "{key}: expected no share below zero");
    ensure!((sum - 1.0).abs() < 1e-6, "{key}: expected shares that add up to 1, found {sum}");
    Ok(())
}

impl Scopes {
    /// Shares in the order fleet, region, zone, site, proxy.
    pub fn shares(&self) -> [f64; 5] {
        [self.fleet, self.region, self.zone, self.site, self.proxy]
    }
}

impl Fault {
    /// One line for the report: start, kind, target and duration.
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
