//! What a replica knows of one link: what its other end has, and what is on its way there.

use crate::Nanos;
use crate::message::{Knowledge, Summary};
use crate::order::Slot;
use crate::vector::VersionVector;
use std::collections::VecDeque;

/// A link's number: the host gives it, and never gives it again in one process.
pub type LinkId = u64;

/// Orders that go to a peer in parts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Transfer {
    pub remaining: VecDeque<Slot>,
    pub full_copy: bool,
    /// What the sender knew when it began: with its last part this is what the other lacks nothing of.
    pub knowledge: Knowledge,
}

/// A part that has no answer yet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct InFlight {
    pub number: u64,
    pub sent_at: Nanos,
    /// The last of its transfer: then the other covers this.
    pub covers_after_ack: Option<VersionVector>,
}

/// Parts of a whole copy that came so far.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Incoming {
    pub entries: Vec<crate::order::Entry>,
    pub full_copy: bool,
    /// One of its orders was not taken: its sender's knowledge must not be either.
    pub rejected: bool,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Link {
    pub peer: String,
    /// This replica dialled it.
    pub dialled: bool,
    pub established_at: Nanos,
    /// What the other end said last.
    pub peer_summary: Option<Summary>,
    /// What it covers by now: as it said, and as was sent since.
    pub peer_covers: VersionVector,
    pub transfer: Option<Transfer>,
    pub in_flight: Option<InFlight>,
    pub incoming: Incoming,
    /// Parts sent so far.
    pub chunks_sent: u64,
    /// What was sent is not sent again before this.
    pub resend_after: Nanos,
    /// The other end did not take what was sent: nothing is sent before this.
    pub backoff_until: Nanos,
    /// What was last said here of this replica, and when something is to be said again.
    pub last_summary_digest: Option<u64>,
    pub summary_due: Nanos,
    /// Heartbeats are due at this time.
    pub heartbeat_due: Nanos,
    /// Whether the other end's digest was equal when it was heard last.
    pub digests_equal: bool,
    /// Since when it has not been.
    pub differs_since: Option<Nanos>,
}

impl Link {
    pub fn new(now: Nanos, peer: &str, dialled: bool) -> Link {
        Link {
            peer: peer.into(),
            dialled,
            established_at: now,
            peer_summary: None,
            peer_covers: VersionVector::default(),
            transfer: None,
            in_flight: None,
            incoming: Incoming::default(),
            chunks_sent: 0,
            resend_after: 0,
            backoff_until: 0,
            last_summary_digest: None,
            summary_due: now,
            heartbeat_due: now,
            digests_equal: false,
            differs_since: None,
        }
    }

    /// The other end told its digest.
    pub fn record_peer_digest(&mut self, now: Nanos, digests_equal: bool) {
        self.digests_equal = digests_equal;
        self.differs_since = if digests_equal { None } else { Some(self.differs_since.unwrap_or(now)) };
    }
}
