//! Chooses the peers to which a replica keeps links. Peers are chosen at random, so that no peer is dialled
//! by all others, and one link is moved to another peer now and then, so that parts of the group that were
//! separated find each other again.

use crate::{MILLISECOND, Nanos, SECOND};
use std::collections::BTreeSet;

/// One link is moved to another peer after a random time between half of this and all of it.
const ROTATION_PERIOD: Nanos = 6 * SECOND;
/// The lower and upper limit of the maximum delay before the next dial after a failed one. The maximum
/// doubles with each failure; the delay is a random part of it.
const REDIAL_BACKOFF: [Nanos; 2] = [50 * MILLISECOND, 2 * SECOND];
/// A dial without a result after this time counts as failed.
const DIAL_TIMEOUT: Nanos = 2 * SECOND;

/// Chooses peers and limits the rate of dials.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Peers {
    /// The names of all peers of the group.
    names: Vec<String>,
    /// How many dialled links to keep.
    target_links: usize,
    /// The peer being dialled, and since when.
    dialling: Option<(String, Nanos)>,
    /// No dial starts before this time.
    next_dial: Nanos,
    /// Dials that failed since the last successful one.
    failures: u32,
    /// When to move one link to another peer.
    rotate_at: Nanos,
}

impl Peers {
    /// Starts without links; `random` is a number between 0 and 1.
    pub fn new(now: Nanos, names: Vec<String>, target_links: usize, random: f64) -> Peers {
        let rotate_at = now + ROTATION_PERIOD / 2 + random_fraction(ROTATION_PERIOD / 2, random);
        Peers { names, target_links, dialling: None, next_dial: now, failures: 0, rotate_at }
    }

    /// Chooses the peer to dial now, or `None` if no dial is due. `linked` are the peers to which a link
    /// exists, `dialled` is the number of links dialled here, and `random` returns numbers between 0 and 1.
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
        let wants_link = dialled < self.target_links || rotate;
        if self.dialling.is_some() || now < self.next_dial || !wants_link {
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

    /// The dial of this peer led to a link.
    pub fn dial_succeeded(&mut self, peer: &str) {
        if self.dialling.as_ref().is_some_and(|(name, _)| name == peer) {
            (self.dialling, self.failures) = (None, 0);
        }
    }

    /// The dial in progress failed; the next one waits for the backoff.
    pub fn dial_failed(&mut self, now: Nanos, random: f64) {
        if self.dialling.take().is_some() {
            let max = (REDIAL_BACKOFF[0] << self.failures.min(10)).min(REDIAL_BACKOFF[1]);
            self.failures += 1;
            self.next_dial = now + random_fraction(max, random);
        }
    }

    /// Whether more links were dialled than the target.
    pub fn exceeds_target(&self, dialled: usize) -> bool {
        dialled > self.target_links
    }

    /// When to call `choose` again. `below_target` tells that there are fewer links than the target and that
    /// a peer without a link is left.
    pub fn next_deadline(&self, below_target: bool) -> Nanos {
        match &self.dialling {
            Some((_, since)) => since + DIAL_TIMEOUT,
            None if below_target => self.next_dial,
            None => self.rotate_at.max(self.next_dial),
        }
    }

    /// How many links can be kept: the target, or the number of peers if that is lower.
    pub fn target_links(&self) -> usize {
        self.target_links.min(self.names.len())
    }
}

/// The part `random` (between 0 and 1) of `max`.
fn random_fraction(max: Nanos, random: f64) -> Nanos {
    (max as f64 * random) as Nanos
}
