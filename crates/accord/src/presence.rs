//! Who is there, as one process sees it from its own links: a view, which decides nothing but what is shown and who is
//! offered a seat. Whoever is lost from it goes on by itself.

use crate::Nanos;
use crate::record::{Name, Store};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Seen {
    /// Its link is up, and it was heard lately.
    Up,
    /// Its link is up or just lost, and it says nothing.
    Silent,
    /// Not heard for long.
    Gone,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct One {
    incarnation: u64,
    /// Of a voter: its store, and whether that never had a record.
    store: Option<(Store, bool)>,
    heard: Nanos,
    linked: bool,
}

/// How long without a word until a process counts as silent, and as gone, in nanoseconds.
const SILENT: Nanos = 3_000_000_000;
const GONE: Nanos = 10_000_000_000;
/// Forgotten after so long: names of short-lived askers must not pile up.
const FORGOTTEN: Nanos = 3_600_000_000_000;

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Presence(BTreeMap<Name, One>);

impl Presence {
    /// It said hello on a link, or said anything since.
    pub fn heard(&mut self, now: Nanos, name: &str, incarnation: u64, store: Option<(Store, bool)>) {
        if let Some(one) = self.0.get_mut(name) {
            // A late word of an earlier life tells nothing.
            if incarnation >= one.incarnation {
                *one = One { incarnation, store, heard: now, linked: true };
            }
            return;
        }
        self.0.retain(|_, one| now.saturating_sub(one.heard) < FORGOTTEN);
        self.0.insert(name.into(), One { incarnation, store, heard: now, linked: true });
    }

    /// Its link went down. One that ended it in order is forgotten at once.
    pub fn lost(&mut self, name: &str, incarnation: u64, in_order: bool) {
        let Some(one) = self.0.get_mut(name).filter(|one| one.incarnation == incarnation) else { return };
        one.linked = false;
        if in_order {
            self.0.remove(name);
        }
    }

    pub fn store(&self, name: &str, now: Nanos) -> Option<Store> {
        let one = self.0.get(name).filter(|one| one.seen(now) == Seen::Up)?;
        one.store.map(|(store, _)| store)
    }

    pub fn empty(&self, name: &str) -> bool {
        self.0.get(name).and_then(|one| one.store).is_some_and(|(_, empty)| empty)
    }

    /// Name, incarnation, how it is seen, and how long ago it was heard.
    pub fn all(&self, now: Nanos) -> impl Iterator<Item = (&Name, u64, Seen, Nanos)> {
        self.0
            .iter()
            .map(move |(name, one)| (name, one.incarnation, one.seen(now), now.saturating_sub(one.heard)))
    }
}

impl One {
    fn seen(&self, now: Nanos) -> Seen {
        match now.saturating_sub(self.heard) {
            silent if silent < SILENT && self.linked => Seen::Up,
            silent if silent < GONE => Seen::Silent,
            _ => Seen::Gone,
        }
    }
}
