//! The status of a replica.

use crate::Nanos;
use crate::order::Entry;
use crate::vector::VersionVector;
use serde::{Deserialize, Serialize};

/// The state of a replica as shown to operators.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// The name of the process.
    pub name: String,
    /// The nodes that are out of service by the known orders.
    pub out_of_service: Vec<String>,
    /// The number of orders that are kept.
    pub order_count: u64,
    /// The orders that are covered.
    pub vector: VersionVector,
    /// The digest of orders and knowledge; replicas with equal digests have equal copies.
    pub digest: u64,
    /// Nanoseconds since a message of another replica was received; `None` if that never happened, according
    /// to the snapshot on disk too.
    pub last_heard_age: Option<Nanos>,
    /// The peers to which a link exists.
    pub linked_peers: Vec<String>,
    /// Those of the linked peers whose last digest differed, or that have not sent one yet.
    pub differing_peers: Vec<String>,
    /// Bytes sent since the process started.
    pub bytes_sent: u64,
    /// Orders rejected because their stamps are too far in the future.
    pub future_stamps: u64,
    /// Orders received with a known stamp but other contents.
    pub conflicts: u64,
    /// Orders older than the retention that this replica had kept while it was disconnected, and that its
    /// peer did not cover. Whether they have been superseded cannot be determined; they stay in effect.
    pub possibly_superseded: Vec<Entry>,
}
