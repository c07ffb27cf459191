//! Which peers a replica keeps links to: some drawn by chance, one of them drawn anew now and then, so that groups that
//! were cut from each other find each other again and nobody is asked by all.

use crate::{MILLISECOND, Nanos, SECOND};
use std::collections::BTreeSet;

/// A peer is drawn anew after half of this up to all of it.
const REDRAW: Nanos = 6 * SECOND;
/// The wait before another peer is dialled after one that could not be reached, by chance up to this, twice as much each
/// time, up to the other.
const REDIAL: [Nanos; 2] = [50 * MILLISECOND, 2 * SECOND];
/// A dial that has not come to anything by then is given up.
const DIALLING: Nanos = 2 * SECOND;

/// Draws peers and paces dials.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Peers {
    names: Vec<String>,
    /// Links that are wanted.
    wanted: usize,
    dialling: Option<(String, Nanos)>,
    next_dial: Nanos,
    failures: u32,
    redraw_at: Nanos,
}

impl Peers {
    pub fn new(now: Nanos, names: Vec<String>, wanted: usize, chance: f64) -> Peers {
        let redraw_at = now + REDRAW / 2 + part(REDRAW / 2, chance);
        Peers { names, wanted, dialling: None, next_dial: now, failures: 0, redraw_at }
    }

    /// Whom to dial now, if anybody: `linked` are those that there is a link to, `dialled` how many of them were dialled
    /// here.
    pub fn draw(
        &mut self,
        now: Nanos,
        linked: &BTreeSet<&str>,
        dialled: usize,
        chance: &mut impl FnMut() -> f64,
    ) -> Option<String> {
        if self.dialling.as_ref().is_some_and(|(_, since)| now >= since + DIALLING) {
            self.failed(now, chance());
        }
        let redraw = now >= self.redraw_at;
        let lacks = dialled < self.wanted || redraw;
        if self.dialling.is_some() || now < self.next_dial || !lacks {
            return None;
        }
        if redraw {
            self.redraw_at = now + REDRAW / 2 + part(REDRAW / 2, chance());
        }
        let others: Vec<&String> = self.names.iter().filter(|name| !linked.contains(name.as_str())).collect();
        let drawn = (others.len() as f64 * chance()) as usize;
        let name = others.get(drawn.min(others.len().saturating_sub(1)))?.to_string();
        self.dialling = Some((name.clone(), now));
        Some(name)
    }

    /// The dial came to a link.
    pub fn reached(&mut self, peer: &str) {
        if self.dialling.as_ref().is_some_and(|(name, _)| name == peer) {
            (self.dialling, self.failures) = (None, 0);
        }
    }

    /// The dial came to nothing.
    pub fn failed(&mut self, now: Nanos, chance: f64) {
        if self.dialling.take().is_some() {
            let most = (REDIAL[0] << self.failures.min(10)).min(REDIAL[1]);
            self.failures += 1;
            self.next_dial = now + part(most, chance);
        }
    }

    /// Whether more were dialled than are wanted.
    pub fn too_many(&self, dialled: usize) -> bool {
        dialled > self.wanted
    }

    /// When to look again. `lacks` says that fewer links are up than wanted and somebody is left to be dialled.
    pub fn due(&self, lacks: bool) -> Nanos {
        match &self.dialling {
            Some((_, since)) => since + DIALLING,
            None if lacks => self.next_dial,
            None => self.redraw_at.max(self.next_dial),
        }
    }

    pub fn wanted(&self) -> usize {
        self.wanted.min(self.names.len())
    }
}

fn part(most: Nanos, chance: f64) -> Nanos {
    (most as f64 * chance) as Nanos
}
