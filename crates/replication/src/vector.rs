//! How far the orders of each origin are known.

use crate::order::{ReplicaId, Stamp};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// By origin, the highest version up to which all is covered, and single orders beyond that: those of a transfer that has
/// not ended yet, or never did. Origins that gave no order are not in it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct VersionVector {
    versions: BTreeMap<ReplicaId, u64>,
    dots: BTreeSet<(ReplicaId, u64)>,
}

impl VersionVector {
    pub fn get(&self, issuer: &ReplicaId) -> u64 {
        self.versions.get(issuer).copied().unwrap_or(0)
    }

    /// Whether this order is covered.
    pub fn covers(&self, stamp: &Stamp) -> bool {
        stamp.version <= self.get(&stamp.issuer)
            || !self.dots.is_empty() && self.dots.contains(&(stamp.issuer.clone(), stamp.version))
    }

    /// Whether all that the other covers is covered.
    pub fn covers_all(&self, other: &VersionVector) -> bool {
        let dot = |(issuer, version): &(ReplicaId, u64)| {
            *version <= self.get(issuer) || self.dots.contains(&(issuer.clone(), *version))
        };
        other.versions.iter().all(|(issuer, version)| self.get(issuer) >= *version)
            && other.dots.iter().all(dot)
    }

    /// What of this the other does not cover.
    pub fn difference(&self, other: &VersionVector) -> VersionVector {
        let newer = self.versions.iter().filter(|(issuer, version)| other.get(issuer) < **version);
        let versions = newer.map(|(issuer, version)| (issuer.clone(), *version)).collect();
        let known = |(issuer, version): &(ReplicaId, u64)| {
            *version <= other.get(issuer) || other.dots.contains(&(issuer.clone(), *version))
        };
        VersionVector { versions, dots: self.dots.iter().filter(|dot| !known(dot)).cloned().collect() }
    }

    /// Covers an origin up to this version.
    pub fn raise(&mut self, issuer: &ReplicaId, version: u64) {
        match self.versions.get_mut(issuer) {
            Some(known) => *known = version.max(*known),
            None => _ = self.versions.insert(issuer.clone(), version),
        }
        let versions = &self.versions;
        self.dots.retain(|(issuer, version)| versions.get(issuer).is_none_or(|known| version > known));
    }

    /// Covers this order alone.
    pub fn add(&mut self, stamp: &Stamp) {
        if !self.covers(stamp) {
            self.dots.insert((stamp.issuer.clone(), stamp.version));
        }
    }

    /// Covers what either covers.
    pub fn join(&mut self, other: &VersionVector) {
        for (issuer, version) in &other.versions {
            if self.get(issuer) < *version {
                self.raise(issuer, *version);
            }
        }
        for (issuer, version) in &other.dots {
            if self.get(issuer) < *version {
                self.dots.insert((issuer.clone(), *version));
            }
        }
    }

    /// Origins with all that is covered of each without a gap.
    pub fn iter(&self) -> impl Iterator<Item = (&ReplicaId, u64)> {
        self.versions.iter().map(|(issuer, version)| (issuer, *version))
    }

    pub fn is_empty(&self) -> bool {
        self.versions.is_empty() && self.dots.is_empty()
    }
}
