//! The processes that are present, as one process sees them over its own links. This view is used for display
//! and to decide which voter is readmitted with a new store; nothing else depends on it. A process that is
//! missing from it keeps working.

use crate::Nanos;
use crate::record::{Name, StoreId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The state of another process. The variants' names are shown to operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum PeerState {
    /// Its link is up, and it was heard recently.
    Up,
    /// It was not heard recently, or its link was lost a short time ago.
    Silent,
    /// It has not been heard for a long time.
    Gone,
}

/// What is known of another process.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Peer {
    incarnation: u64,
    /// For a voter: its store, and whether this store has never had a record.
    store: Option<(StoreId, bool)>,
    last_heard: Nanos,
    linked: bool,
}

/// After how long without a message a process counts as silent, and as gone, in nanoseconds.
const SILENT_AFTER: Nanos = 3_000_000_000;
const GONE_AFTER: Nanos = 10_000_000_000;
/// After how long a process is forgotten, in nanoseconds. Without it the names of short-lived commands would
/// accumulate.
const FORGET_AFTER: Nanos = 3_600_000_000_000;

/// The known processes by name.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Presence(BTreeMap<Name, Peer>);

impl Presence {
    /// Records that a process said hello on a link, or sent anything after that.
    pub fn heard_from(&mut self, now: Nanos, name: &str, incarnation: u64, store: Option<(StoreId, bool)>) {
        if let Some(peer) = self.0.get_mut(name) {
            // A late message of an earlier incarnation says nothing about the present one.
            if incarnation >= peer.incarnation {
                *peer = Peer { incarnation, store, last_heard: now, linked: true };
            }
            return;
        }
        self.0.retain(|_, peer| now.saturating_sub(peer.last_heard) < FORGET_AFTER);
        self.0.insert(name.into(), Peer { incarnation, store, last_heard: now, linked: true });
    }

    /// Records that a process's link went down. A process that closed the link in order is removed at once.
    pub fn link_lost(&mut self, name: &str, incarnation: u64, in_order: bool) {
        let Some(peer) = self.0.get_mut(name).filter(|peer| peer.incarnation == incarnation) else { return };
        peer.linked = false;
        if in_order {
            self.0.remove(name);
        }
    }

    /// The store of the voter with this name, if the voter is up.
    pub fn store_of(&self, name: &str, now: Nanos) -> Option<StoreId> {
        let peer = self.0.get(name).filter(|peer| peer.state(now) == PeerState::Up)?;
        peer.store.map(|(store, _)| store)
    }

    /// Whether the voter with this name last reported a store that has never had a record.
    pub fn has_empty_store(&self, name: &str) -> bool {
        self.0.get(name).and_then(|peer| peer.store).is_some_and(|(_, empty)| empty)
    }

    /// All known processes: name, incarnation, state, and nanoseconds since it was last heard.
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
