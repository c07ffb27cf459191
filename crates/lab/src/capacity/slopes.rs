//! The file of slopes: the target's figures, and for each quantity the points that a run gave. Whatever is missing,
//! unknown or beyond reason is refused by its name.

use anyhow::{Context, Result, ensure};
use serde::{Deserialize, Deserializer, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;

/// Points of a slope: at least so many, over so many times the least.
const FEWEST: usize = 4;
const SPAN: f64 = 100.0;
/// No figure of the target is larger.
const MOST: f64 = 1e12;

/// The figures that the target has to have.
pub const TARGET: &[&str] = &[
    "proxies",
    "sites",
    "nodes",
    "regions",
    "zones",
    "zone_proxies",
    "zone_nodes",
    "requests_per_second",
    "megabits_per_second",
    "objects",
    "purges_per_second",
    "purge_seconds",
    "changes_per_day",
    "change_seconds",
    "burst_changes",
    "core_percent",
    "memory_mb",
    "kilobytes_per_second",
    "control_machines",
    "failing_machines_per_day",
    "restarted_machines_per_day",
    "list_changes_per_second",
];

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct File {
    pub target: BTreeMap<String, f64>,
    pub slopes: Vec<Slope>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    Proxy,
    Site,
    Control,
    Voter,
    Node,
    Discovery,
}

/// Where the points come from: virtual time, a part without the process around it, or processes on sockets.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    Simulated,
    Hollow,
    Real,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Slope {
    pub name: String,
    pub role: Role,
    pub quantity: String,
    pub unit: String,
    /// What x counts.
    pub x: String,
    /// The figures of the target that x is to be taken to, or one divided by another.
    pub at: Vec<String>,
    pub points: Vec<(f64, f64)>,
    /// How much y may be, where the target says so; `null` where it doesn't.
    #[serde(deserialize_with = "stated")]
    pub limit: Option<f64>,
    pub command: String,
    /// `null` where nothing is drawn.
    #[serde(deserialize_with = "stated")]
    pub seed: Option<u64>,
    pub date: String,
    pub kind: Kind,
}

/// May be null, but not left out.
fn stated<'de, D: Deserializer<'de>, T: Deserialize<'de>>(from: D) -> Result<Option<T>, D::Error> {
    Option::deserialize(from)
}

impl File {
    pub fn read(path: &Path) -> Result<File> {
        File::parse(&super::read(path)?).with_context(|| path.display().to_string())
    }

    pub fn parse(text: &str) -> Result<File> {
        let file: File = serde_json::from_str(text)?;
        file.sound()?;
        Ok(file)
    }

    /// A figure of the target, or one divided by another, as `requests_per_second/proxies`.
    pub fn place(&self, name: &str) -> f64 {
        match name.split_once('/') {
            Some((whole, parts)) => self.figure(whole) / self.figure(parts),
            None => self.figure(name),
        }
    }

    /// A figure of the target.
    pub fn figure(&self, name: &str) -> f64 {
        self.target.get(name).copied().unwrap_or_default()
    }

    fn sound(&self) -> Result<()> {
        for name in TARGET {
            let value = self.target.get(*name).with_context(|| format!("target.{name}: missing"))?;
            ensure!(
                *value > 0.0 && *value <= MOST,
                "target.{name}: expected more than 0 and at most {MOST:e}, found {value}"
            );
        }
        if let Some(name) = self.target.keys().find(|name| !TARGET.contains(&name.as_str())) {
            anyhow::bail!("target.{name}: not known");
        }
        let percent = self.figure("core_percent");
        ensure!(percent <= 100.0, "target.core_percent: expected at most 100, found {percent}");
        for (part, whole) in
            [("zone_proxies", "proxies"), ("zone_nodes", "nodes"), ("regions", "zones"), ("zones", "sites")]
        {
            let (less, more) = (self.figure(part), self.figure(whole));
            ensure!(less <= more, "target.{part}: expected at most {whole}, {more}, found {less}");
        }
        ensure!(!self.slopes.is_empty(), "slopes: expected one or more");
        let mut names = BTreeSet::new();
        for (at, slope) in self.slopes.iter().enumerate() {
            ensure!(!slope.name.trim().is_empty(), "slopes[{at}].name: empty");
            ensure!(names.insert(&slope.name), "slopes[{at}].name: {:?} is there twice", slope.name);
            slope.sound().with_context(|| format!("slopes[{at}], {}", slope.name))?;
        }
        Ok(())
    }
}

impl Slope {
    fn sound(&self) -> Result<()> {
        let texts = [
            ("quantity", &self.quantity),
            ("unit", &self.unit),
            ("x", &self.x),
            ("command", &self.command),
            ("date", &self.date),
        ];
        for (key, text) in texts {
            ensure!(!text.trim().is_empty(), "{key}: empty");
            ensure!(!text.contains(['|', '\n', '<']), "{key}: has a sign that breaks a table: {text:?}");
        }
        ensure!(is_date(&self.date), "date: expected YYYY-MM-DD, found {:?}", self.date);
        ensure!(!self.at.is_empty(), "at: expected one figure of the target or more");
        for name in &self.at {
            let (whole, parts) = name.split_once('/').unwrap_or((name, TARGET[0]));
            let known = [whole, parts].iter().all(|name| TARGET.contains(name));
            ensure!(known, "at: the target has no figure {name:?}");
        }
        for (x, y) in &self.points {
            let sound = [x, y].into_iter().all(|value| (0.0..=MOST).contains(value));
            ensure!(sound, "points: expected 0 to {MOST:e}, found [{x}, {y}]");
        }
        // Nothing at all is a point, but no decade begins there.
        let mut xs: Vec<f64> = self.points.iter().map(|point| point.0).filter(|x| *x > 0.0).collect();
        xs.sort_by(f64::total_cmp);
        xs.dedup();
        ensure!(
            xs.len() >= FEWEST,
            "points: expected {FEWEST} or more with different x above 0, found {}",
            xs.len()
        );
        let (least, most) = (xs[0], xs[xs.len() - 1]);
        ensure!(most >= SPAN * least, "points: expected two decades of x or more, found {least} to {most}");
        if let Some(limit) = self.limit {
            ensure!(
                limit > 0.0 && limit <= MOST,
                "limit: expected more than 0 and at most {MOST:e}, found {limit}"
            );
        }
        Ok(())
    }
}

fn is_date(text: &str) -> bool {
    let parts: Vec<&str> = text.split('-').collect();
    let number = |at: usize, digits: usize| {
        let part =
            parts.get(at).filter(|part| part.len() == digits && part.bytes().all(|b| b.is_ascii_digit()));
        part.and_then(|part| part.parse::<u32>().ok())
    };
    let day = (number(0, 4), number(1, 2), number(2, 2));
    parts.len() == 3 && matches!(day, (Some(2000..), Some(1..=12), Some(1..=31)))
}
