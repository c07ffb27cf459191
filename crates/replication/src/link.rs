//! The state of one link: what its peer has, and which orders are in transit in either direction.

use crate::Nanos;
use crate::message::{Knowledge, Summary};
use crate::order::Slot;
use crate::vector::VersionVector;
use std::collections::VecDeque;

/// Identifies a link. The host assigns the number and never reuses it within one process.
pub type LinkId = u64;

/// Orders being sent to a peer in chunks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Transfer {
    /// Slots whose orders have not been sent yet.
    pub remaining: VecDeque<Slot>,
    /// Whether all orders of the sender are sent, instead of only those that the peer lacks.
    pub full_copy: bool,
    /// The sender's knowledge when the transfer began, sent with the last chunk. Once the peer has all
    /// chunks, it lacks nothing that this covers.
    pub knowledge: Knowledge,
}

/// A chunk that has not been acknowledged yet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct InFlight {
    /// The number of the chunk, repeated in its acknowledgement.
    pub number: u64,
    pub sent_at: Nanos,
    /// For the last chunk of a transfer: what the peer covers in addition once it has accepted the chunk.
    pub covers_after_ack: Option<VersionVector>,
}

/// State of a transfer being received.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Incoming {
    /// Entries of a full copy, collected until its last chunk arrives. Entries of other transfers are joined
    /// at once.
    pub entries: Vec<crate::order::Entry>,
    /// Whether the transfer is a full copy.
    pub full_copy: bool,
    /// An order of the transfer was rejected, so the sender's knowledge must not be adopted.
    pub rejected: bool,
}

/// One link and what is known of its peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Link {
    /// The name of the peer.
    pub peer: String,
    /// Whether this replica dialled the link.
    pub dialled: bool,
    /// When the link came up, on the monotonic clock as all times here.
    pub established_at: Nanos,
    /// The last summary received from the peer.
    pub peer_summary: Option<Summary>,
    /// Orders that the peer covers: its last summary, and what it has acknowledged since.
    pub peer_covers: VersionVector,
    /// The transfer to the peer, if one has chunks left to send.
    pub transfer: Option<Transfer>,
    /// The chunk that awaits its acknowledgement.
    pub in_flight: Option<InFlight>,
    /// The transfer from the peer.
    pub incoming: Incoming,
    /// Chunks sent so far; the next chunk gets the next number.
    pub chunks_sent: u64,
    /// What was sent is not sent again before this time: until then a summary does not reset `peer_covers`,
    /// and no other full copy is sent.
    pub resend_after: Nanos,
    /// The peer rejected a chunk: no chunk is sent before this time.
    pub backoff_until: Nanos,
    /// The digest of this replica when it last sent a summary; a summary for the same digest is not sent
    /// again.
    pub last_summary_digest: Option<u64>,
    /// When the next summary is to be sent; `Nanos::MAX` if none is due.
    pub summary_due: Nanos,
    /// When the next heartbeat is to be sent.
    pub heartbeat_due: Nanos,
    /// Whether the peer's last digest was equal to the digest of this replica; false before the first digest.
    pub digests_equal: bool,
    /// Since when the digests have differed; `None` while they are equal or before the first digest.
    pub differs_since: Option<Nanos>,
}

impl Link {
    /// A link that came up at `now`: a summary and a heartbeat are due at once.
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

    /// Records whether the digest that the peer just sent equals the own one.
    pub fn record_peer_digest(&mut self, now: Nanos, digests_equal: bool) {
        self.digests_equal = digests_equal;
        self.differs_since = if digests_equal { None } else { Some(self.differs_since.unwrap_or(now)) };
    }
}
