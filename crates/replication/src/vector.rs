//! How far the orders of each origin are known.

use crate::order::{Origin, Stamp};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// By origin, the highest version up to which all is covered, and single orders beyond that: those of a transfer that has
/// not ended yet, or never did. Origins that gave no order are not in it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Vector {
    versions: BTreeMap<Origin, u64>,
    dots: BTreeSet<(Origin, u64)>,
}

impl Vector {
    pub fn get(&self, origin: &Origin) -> u64 {
        self.versions.get(origin).copied().unwrap_or(0)
    }

    /// Whether this order is covered.
    pub fn covers(&self, stamp: &Stamp) -> bool {
        stamp.version <= self.get(&stamp.origin)
            || !self.dots.is_empty() && self.dots.contains(&(stamp.origin.clone(), stamp.version))
    }

    /// Whether all that the other covers is covered.
    pub fn covers_all(&self, other: &Vector) -> bool {
        let dot = |(origin, version): &(Origin, u64)| {
            *version <= self.get(origin) || self.dots.contains(&(origin.clone(), *version))
        };
        other.versions.iter().all(|(origin, version)| self.get(origin) >= *version)
            && other.dots.iter().all(dot)
    }

    /// What of this the other does not cover.
    pub fn beyond(&self, other: &Vector) -> Vector {
        let newer = self.versions.iter().filter(|(origin, version)| other.get(origin) < **version);
        let versions = newer.map(|(origin, version)| (origin.clone(), *version)).collect();
        let known = |(origin, version): &(Origin, u64)| {
            *version <= other.get(origin) || other.dots.contains(&(origin.clone(), *version))
        };
        Vector { versions, dots: self.dots.iter().filter(|dot| !known(dot)).cloned().collect() }
    }

    /// Covers an origin up to this version.
    pub fn raise(&mut self, origin: &Origin, version: u64) {
        match self.versions.get_mut(origin) {
            Some(known) => *known = version.max(*known),
            None => _ = self.versions.insert(origin.clone(), version),
        }
        let versions = &self.versions;
        self.dots.retain(|(origin, version)| versions.get(origin).is_none_or(|known| version > known));
    }

    /// Covers this order alone.
    pub fn add(&mut self, stamp: &Stamp) {
        if !self.covers(stamp) {
            self.dots.insert((stamp.origin.clone(), stamp.version));
        }
    }

    /// Covers what either covers.
    pub fn join(&mut self, other: &Vector) {
        for (origin, version) in &other.versions {
            if self.get(origin) < *version {
                self.raise(origin, *version);
            }
        }
        for (origin, version) in &other.dots {
            if self.get(origin) < *version {
                self.dots.insert((origin.clone(), *version));
            }
        }
    }

    /// Origins with all that is covered of each without a gap.
    pub fn iter(&self) -> impl Iterator<Item = (&Origin, u64)> {
        self.versions.iter().map(|(origin, version)| (origin, *version))
    }

    pub fn is_empty(&self) -> bool {
        self.versions.is_empty() && self.dots.is_empty()
    }
}
