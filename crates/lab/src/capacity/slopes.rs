//! The file of measured points: the figures of the target size, and for each quantity its points by size,
//! here called a slope. A file with a missing, unknown or implausible value is rejected with an error that
//! names it.

use anyhow::{Context, Result, ensure};
use serde::{Deserialize, Deserializer, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;

/// A slope needs at least this many points with different x above 0.
const MIN_POINTS: usize = 4;
/// The largest x of a slope must be at least this many times the smallest x above 0.
const MIN_SPAN: f64 = 100.0;
/// No figure of the target and no coordinate of a point may be larger.
const MAX_VALUE: f64 = 1e12;

/// The names of the target's figures, all of which are required.
pub const TARGET_FIGURES: &[&str] = &[
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

/// The content of the file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SlopesFile {
    /// The target's figures by name, see [`TARGET_FIGURES`].
    pub target: BTreeMap<String, f64>,
    /// One entry for each measured quantity.
    pub slopes: Vec<Slope>,
}

/// What uses the resource.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    Proxy,
    /// A site or a zone.
    Site,
    /// A control machine.
    Control,
    Voter,
    /// A cache node.
    Node,
    Discovery,
}

/// How the points were obtained.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PointSource {
    /// In virtual time.
    Simulated,
    /// On one component without the process around it.
    Hollow,
    /// On processes that communicate over sockets.
    Real,
}

/// The measured points of one quantity, and the target at which their line is evaluated.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Slope {
    pub name: String,
    pub role: Role,
    pub quantity: String,
    pub unit: String,
    /// What x is, in words.
    pub x: String,
    /// Where the line is evaluated: figures of the target, or one divided by another.
    #[serde(rename = "at")]
    pub evaluate_at: Vec<String>,
    /// Measured (x, y).
    pub points: Vec<(f64, f64)>,
    /// The largest y that the target allows; `null` where it states none.
    #[serde(deserialize_with = "stated")]
    pub limit: Option<f64>,
    /// The command that obtained the points.
    pub command: String,
    /// The seed of the run; `null` where nothing is drawn at random.
    #[serde(deserialize_with = "stated")]
    pub seed: Option<u64>,
    /// The date of the run, as YYYY-MM-DD.
    pub date: String,
    pub kind: PointSource,
}

/// Reads a key that may be null but must be present: without this, serde takes a missing `Option` for null.
fn stated<'de, D: Deserializer<'de>, T: Deserialize<'de>>(from: D) -> Result<Option<T>, D::Error> {
    Option::deserialize(from)
}

impl SlopesFile {
    /// Reads and checks the file. Returns an error that names the path and what is wrong.
    pub fn read(path: &Path) -> Result<SlopesFile> {
        SlopesFile::parse(&super::read(path)?).with_context(|| path.display().to_string())
    }

    /// Parses and checks the file's text. Returns an error that names the key that is wrong.
    pub fn parse(text: &str) -> Result<SlopesFile> {
        let file: SlopesFile = serde_json::from_str(text)?;
        file.validate()?;
        Ok(file)
    }

    /// The value of a figure of the target or of one divided by another, such as
    /// `requests_per_second/proxies`.
    pub fn evaluate_figure(&self, name: &str) -> f64 {
        match name.split_once('/') {
            Some((numerator, denominator)) => self.figure(numerator) / self.figure(denominator),
            None => self.figure(name),
        }
    }

    /// The value of a figure of the target; 0 if there is none of this name.
    pub fn figure(&self, name: &str) -> f64 {
        self.target.get(name).copied().unwrap_or_default()
    }

    fn validate(&self) -> Result<()> {
        for name in TARGET_FIGURES {
            let value = self.target.get(*name).with_context(|| format!("target.{name}: missing"))?;
            ensure!(
                *value > 0.0 && *value <= MAX_VALUE,
                "target.{name}: expected more than 0 and at most {MAX_VALUE:e}, found {value}"
            );
        }
        if let Some(name) = self.target.keys().find(|name| !TARGET_FIGURES.contains(&name.as_str())) {
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
            slope.validate().with_context(|| format!("slopes[{at}], {}", slope.name))?;
        }
        Ok(())
    }
}

impl Slope {
    fn validate(&self) -> Result<()> {
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
        ensure!(!self.evaluate_at.is_empty(), "at: expected one figure of the target or more");
        for name in &self.evaluate_at {
            let (numerator, denominator) = name.split_once('/').unwrap_or((name, TARGET_FIGURES[0]));
            let known = [numerator, denominator].iter().all(|name| TARGET_FIGURES.contains(name));
            ensure!(known, "at: the target has no figure {name:?}");
        }
        for (x, y) in &self.points {
            let valid = [x, y].into_iter().all(|value| (0.0..=MAX_VALUE).contains(value));
            ensure!(valid, "points: expected 0 to {MAX_VALUE:e}, found [{x}, {y}]");
        }
        // x = 0 may be a point, but the span over decades can't begin there.
        let mut xs: Vec<f64> = self.points.iter().map(|point| point.0).filter(|x| *x > 0.0).collect();
        xs.sort_by(f64::total_cmp);
        xs.dedup();
        ensure!(
            xs.len() >= MIN_POINTS,
            "points: expected {MIN_POINTS} or more with different x above 0, found {}",
            xs.len()
        );
        let (least, most) = (xs[0], xs[xs.len() - 1]);
        ensure!(
            most >= MIN_SPAN * least,
            "points: expected two decades of x or more, found {least} to {most}"
        );
        if let Some(limit) = self.limit {
            ensure!(
                limit > 0.0 && limit <= MAX_VALUE,
                "limit: expected more than 0 and at most {MAX_VALUE:e}, found {limit}"
            );
        }
        Ok(())
    }
}

/// Whether the text is a date of the form YYYY-MM-DD, from the year 2000 on.
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
