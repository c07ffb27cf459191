//! Who is there, as one process sees it from its own links: a view, which decides nothing but what is shown and who is
//! offered a seat. Whoever is lost from it goes on by itself.

use crate::Nanos;
use crate::record::{Name, StoreId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum PeerState {
    /// Its link is up, and it was heard lately.
    Up,
    /// Its link is up or just lost, and it says nothing.
    Silent,
    /// Not heard for long.
    Gone,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Peer {
    incarnation: u64,
    /// Of a voter: its store, and whether that never had a record.
    store: Option<(StoreId, bool)>,
    last_heard: Nanos,
    linked: bool,
}

/// How long without a word until a process counts as silent, and as gone, in nanoseconds.
const SILENT_AFTER: Nanos = 3_000_000_000;
const GONE_AFTER: Nanos = 10_000_000_000;
/// Forgotten after so long: names of short-lived askers must not pile up.
const FORGET_AFTER: Nanos = 3_600_000_000_000;

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Presence(BTreeMap<Name, Peer>);

impl Presence {
    /// It said hello on a link, or said anything since.
    pub fn heard_from(&mut self, now: Nanos, name: &str, incarnation: u64, store: Option<(StoreId, bool)>) {
        if let Some(peer) = self.0.get_mut(name) {
            // A late word of an earlier life tells nothing.
            if incarnation >= peer.incarnation {
                *peer = Peer { incarnation, store, last_heard: now, linked: true };
            }
            return;
        }
        self.0.retain(|_, peer| now.saturating_sub(peer.last_heard) < FORGET_AFTER);
        self.0.insert(name.into(), Peer { incarnation, store, last_heard: now, linked: true });
    }

    /// Its link went down. One that ended it in order is forgotten at once.
    pub fn link_lost(&mut self, name: &str, incarnation: u64, in_order: bool) {
        let Some(peer) = self.0.get_mut(name).filter(|peer| peer.incarnation == incarnation) else { return };
        peer.linked = false;
        if in_order {
            self.0.remove(name);
        }
    }

    pub fn store_of(&self, name: &str, now: Nanos) -> Option<StoreId> {
        let peer = self.0.get(name).filter(|peer| peer.state(now) == PeerState::Up)?;
        peer.store.map(|(store, _)| store)
    }

    pub fn has_empty_store(&self, name: &str) -> bool {
        self.0.get(name).and_then(|peer| peer.store).is_some_and(|(_, empty)| empty)
    }

    /// Name, incarnation, how it is seen, and how long ago it was heard.
    pub fn peers(&self, now: Nanos) -> impl Iterator<Item = (&Name, u64, PeerState, Nanos)> {
        self.0.iter().map(move |(name, peer)| {
            (name, peer.incarnation, peer.state(now), now.saturating_sub(peer.last_heard))
        })
    }
}

impl Peer {
    fn state(&self, now: Nanos) -> PeerState {
        match now.saturating_sub(self.last_heard) {
            quiet_for if quiet_for < SILENT_AFTER && self.linked => PeerState::Up,
            quiet_for if quiet_for < GONE_AFTER => PeerState::Silent,
            _ => PeerState::Gone,
        }
    }
}
