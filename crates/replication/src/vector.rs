//! The version vector: which orders of each issuer are known.

use crate::order::{ReplicaId, Stamp};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// For each issuer, the version up to which all orders are covered, and single orders beyond that version
/// (dots), which come from a transfer that is not complete or never was completed. Issuers without orders are
/// not included.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct VersionVector {
    /// For each issuer, the highest version of its gapless range, which starts at 1.
    versions: BTreeMap<ReplicaId, u64>,
    /// Single orders beyond the gapless range of their issuer.
    dots: BTreeSet<(ReplicaId, u64)>,
}

impl VersionVector {
    /// The version up to which all orders of the issuer are covered; 0 if there is none.
    pub fn get(&self, issuer: &ReplicaId) -> u64 {
        self.versions.get(issuer).copied().unwrap_or(0)
    }

    /// Whether the order with this stamp is covered.
    pub fn covers(&self, stamp: &Stamp) -> bool {
        stamp.version <= self.get(&stamp.issuer)
            || !self.dots.is_empty() && self.dots.contains(&(stamp.issuer.clone(), stamp.version))
    }

    /// Whether everything that `other` covers is covered.
    pub fn covers_all(&self, other: &VersionVector) -> bool {
        let covers_dot = |(issuer, version): &(ReplicaId, u64)| {
            *version <= self.get(issuer) || self.dots.contains(&(issuer.clone(), *version))
        };
        other.versions.iter().all(|(issuer, version)| self.get(issuer) >= *version)
            && other.dots.iter().all(covers_dot)
    }

    /// The part of this vector that `other` does not cover.
    pub fn difference(&self, other: &VersionVector) -> VersionVector {
        let newer = self.versions.iter().filter(|(issuer, version)| other.get(issuer) < **version);
        let versions = newer.map(|(issuer, version)| (issuer.clone(), *version)).collect();
        let known = |(issuer, version): &(ReplicaId, u64)| {
            *version <= other.get(issuer) || other.dots.contains(&(issuer.clone(), *version))
        };
        VersionVector { versions, dots: self.dots.iter().filter(|dot| !known(dot)).cloned().collect() }
    }

    /// Covers all orders of the issuer up to this version.
    pub fn raise(&mut self, issuer: &ReplicaId, version: u64) {
        match self.versions.get_mut(issuer) {
            Some(known) => *known = version.max(*known),
            None => _ = self.versions.insert(issuer.clone(), version),
        }
        let versions = &self.versions;
        self.dots.retain(|(issuer, version)| versions.get(issuer).is_none_or(|known| version > known));
    }

    /// Covers the order with this stamp alone.
    pub fn add(&mut self, stamp: &Stamp) {
        if !self.covers(stamp) {
            self.dots.insert((stamp.issuer.clone(), stamp.version));
        }
    }

    /// Covers everything that `other` covers, in addition.
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

    /// All issuers with the version up to which all of their orders are covered. Dots are left out.
    pub fn iter(&self) -> impl Iterator<Item = (&ReplicaId, u64)> {
        self.versions.iter().map(|(issuer, version)| (issuer, *version))
    }

    /// Whether no order is covered.
    pub fn is_empty(&self) -> bool {
        self.versions.is_empty() && self.dots.is_empty()
    }
}
