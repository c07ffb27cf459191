//! What a replica shows of itself.

use crate::Nanos;
use crate::order::Entry;
use crate::vector::VersionVector;
use serde::{Deserialize, Serialize};

/// A replica as operators see it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Status {
    pub name: String,
    /// Nodes that orders hold out of service.
    pub out_of_service: Vec<String>,
    /// Orders that are known, and how far.
    pub order_count: u64,
    pub vector: VersionVector,
    pub digest: u64,
    /// How long ago another replica was heard, in nanoseconds; `None` where none was, nor on disk.
    pub last_heard_age: Option<Nanos>,
    /// Peers that there is a link to, and those of them whose copy differs.
    pub linked_peers: Vec<String>,
    pub differing_peers: Vec<String>,
    /// Bytes sent since the start.
    pub bytes_sent: u64,
    /// Orders refused for a stamp from the future, and stamps that came with two contents.
    pub future_stamps: u64,
    pub conflicts: u64,
    /// Orders older than ended ones are remembered which came from a copy that was away: whether they had been ended
    /// cannot be told. They hold.
    pub possibly_superseded: Vec<Entry>,
}
