//! The messages that two replicas exchange over a link, encoded with postcard.

use crate::order::Entry;
use crate::vector::VersionVector;
use serde::{Deserialize, Serialize};

/// Which orders a replica knows.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Knowledge {
    /// The orders that are covered.
    pub vector: VersionVector,
    /// For each issuer, the highest version of an order that was dropped because it had expired.
    pub gc_horizon: VersionVector,
}

/// A short description of a replica's state, from which a peer works out what to send.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// The orders that the sender covers, and those that it has dropped.
    pub knowledge: Knowledge,
    /// The digest of all orders that the sender keeps; see [`OrderMap::digest`](crate::OrderMap::digest).
    pub digest: u64,
}

/// Some of the orders of a transfer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// The number of the chunk on its link, counted from 1 and repeated in the acknowledgement.
    pub number: u64,
    /// Whether the chunks of this transfer together hold all orders of the sender. An order that the sender's
    /// knowledge covers and that the chunks do not contain has been superseded.
    pub full_copy: bool,
    /// The orders.
    pub entries: Vec<Entry>,
    /// Sent with the last chunk: what the sender knew when the transfer began. In a full copy this is all of
    /// its knowledge, otherwise only what the receiver did not cover at that time.
    pub sender_knowledge: Option<Knowledge>,
}

/// A message between two replicas.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// The digest of the sender's orders and knowledge. A receiver with another digest answers with its
    /// summary; one with the same digest does not answer.
    Heartbeat(u64),
    /// What the sender has.
    Summary(Summary),
    /// Part of a transfer.
    Chunk(Chunk),
    /// Acknowledges the chunk of this number, so that the next one may be sent. `accepted` is false if the
    /// transfer is complete but the sender's knowledge was not adopted, because an order was rejected.
    #[serde(rename = "Took")]
    Ack { number: u64, accepted: bool },
}

impl Message {
    /// The encoded size in bytes, without the frame around it.
    pub fn size(&self) -> usize {
        postcard::experimental::serialized_size(self).unwrap_or(0)
    }
}
