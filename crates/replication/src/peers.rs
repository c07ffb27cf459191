//! Which peers a replica keeps links to: some drawn by chance, one of them drawn anew now and then, so that groups that
//! were cut from each other find each other again and nobody is asked by all.

use crate::{MILLISECOND, Nanos, SECOND};
use std::collections::BTreeSet;

/// A peer is drawn anew after half of this up to all of it.
const ROTATION_PERIOD: Nanos = 6 * SECOND;
/// The wait before another peer is dialled after one that could not be reached, by chance up to this, twice as much each
/// time, up to the other.
const REDIAL_BACKOFF: [Nanos; 2] = [50 * MILLISECOND, 2 * SECOND];
/// A dial that has not come to anything by then is given up.
const DIAL_TIMEOUT: Nanos = 2 * SECOND;

/// Draws peers and paces dials.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Peers {
    names: Vec<String>,
    /// Links that are wanted.
    target_links: usize,
    dialling: Option<(String, Nanos)>,
    next_dial: Nanos,
    failures: u32,
    rotate_at: Nanos,
}

impl Peers {
    pub fn new(now: Nanos, names: Vec<String>, target_links: usize, random: f64) -> Peers {
        let rotate_at = now + ROTATION_PERIOD / 2 + random_fraction(ROTATION_PERIOD / 2, random);
        Peers { names, target_links, dialling: None, next_dial: now, failures: 0, rotate_at }
    }

    /// Whom to dial now, if anybody: `linked` are those that there is a link to, `dialled` how many of them were dialled
    /// here.
    pub fn choose(
        &mut self,
        now: Nanos,
        linked: &BTreeSet<&str>,
        dialled: usize,
        random: &mut impl FnMut() -> f64,
    ) -> Option<String> {
        if self.dialling.as_ref().is_some_and(|(_, since)| now >= since + DIAL_TIMEOUT) {
            self.dial_failed(now, random());
        }
        let rotate = now >= self.rotate_at;
        let below_target = dialled < self.target_links || rotate;
        if self.dialling.is_some() || now < self.next_dial || !below_target {
            return None;
        }
        if rotate {
            self.rotate_at = now + ROTATION_PERIOD / 2 + random_fraction(ROTATION_PERIOD / 2, random());
        }
        let candidates: Vec<&String> =
            self.names.iter().filter(|name| !linked.contains(name.as_str())).collect();
        let index = (candidates.len() as f64 * random()) as usize;
        let name = candidates.get(index.min(candidates.len().saturating_sub(1)))?.to_string();
        self.dialling = Some((name.clone(), now));
        Some(name)
    }

    /// The dial came to a link.
    pub fn dial_succeeded(&mut self, peer: &str) {
        if self.dialling.as_ref().is_some_and(|(name, _)| name == peer) {
            (self.dialling, self.failures) = (None, 0);
        }
    }

    /// The dial came to nothing.
    pub fn dial_failed(&mut self, now: Nanos, random: f64) {
        if self.dialling.take().is_some() {
            let max = (REDIAL_BACKOFF[0] << self.failures.min(10)).min(REDIAL_BACKOFF[1]);
            self.failures += 1;
            self.next_dial = now + random_fraction(max, random);
        }
    }

    /// Whether more were dialled than are wanted.
    pub fn exceeds_target(&self, dialled: usize) -> bool {
        dialled > self.target_links
    }

    /// When to look again. `lacks` says that fewer links are up than wanted and somebody is left to be dialled.
    pub fn next_deadline(&self, below_target: bool) -> Nanos {
        match &self.dialling {
            Some((_, since)) => since + DIAL_TIMEOUT,
            None if below_target => self.next_dial,
            None => self.rotate_at.max(self.next_dial),
        }
    }

    pub fn target_links(&self) -> usize {
        self.target_links.min(self.names.len())
    }
}

fn random_fraction(max: Nanos, random: f64) -> Nanos {
    (max as f64 * random) as Nanos
}
