//! What a replica knows of one link: what its other end has, and what is on its way there.

use crate::Nanos;
use crate::message::{Knowledge, Summary};
use crate::order::Slot;
use crate::vector::Vector;
use std::collections::VecDeque;

/// A link's number: the host gives it, and never gives it again in one process.
pub type LinkId = u64;

/// Orders that go to a peer in parts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Transfer {
    pub slots: VecDeque<Slot>,
    pub whole: bool,
    /// What the sender knew when it began: with its last part this is what the other lacks nothing of.
    pub knowledge: Knowledge,
}

/// A part that has no answer yet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct InFlight {
    pub number: u64,
    pub since: Nanos,
    /// The last of its transfer: then the other covers this.
    pub covers: Option<Vector>,
}

/// Parts of a whole copy that came so far.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Incoming {
    pub entries: Vec<crate::order::Entry>,
    pub whole: bool,
    /// One of its orders was not taken: its sender's knowledge must not be either.
    pub refused: bool,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Link {
    pub peer: String,
    /// This replica dialled it.
    pub dialled: bool,
    pub since: Nanos,
    /// What the other end said last.
    pub summary: Option<Summary>,
    /// What it covers by now: as it said, and as was sent since.
    pub covers: Vector,
    pub transfer: Option<Transfer>,
    pub in_flight: Option<InFlight>,
    pub incoming: Incoming,
    /// Parts sent so far.
    pub parts: u64,
    /// What was sent is not sent again before this.
    pub not_before: Nanos,
    /// The other end did not take what was sent: nothing is sent before this.
    pub refused_until: Nanos,
    /// What was last said here of this replica, and when something is to be said again.
    pub said: Option<u64>,
    pub say_at: Nanos,
    /// Heartbeats are due at this time.
    pub beat_at: Nanos,
    /// Whether the other end's digest was equal when it was heard last.
    pub equal: bool,
    /// Since when it has not been.
    pub differs_since: Option<Nanos>,
}

impl Link {
    pub fn new(now: Nanos, peer: &str, dialled: bool) -> Link {
        Link {
            peer: peer.into(),
            dialled,
            since: now,
            summary: None,
            covers: Vector::default(),
            transfer: None,
            in_flight: None,
            incoming: Incoming::default(),
            parts: 0,
            not_before: 0,
            refused_until: 0,
            said: None,
            say_at: now,
            beat_at: now,
            equal: false,
            differs_since: None,
        }
    }

    /// The other end told its digest.
    pub fn hears(&mut self, now: Nanos, equal: bool) {
        self.equal = equal;
        self.differs_since = if equal { None } else { Some(self.differs_since.unwrap_or(now)) };
    }
}
