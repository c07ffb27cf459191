//! What two replicas say to each other over a link.

use crate::order::Entry;
use crate::vector::VersionVector;
use serde::{Deserialize, Serialize};

/// How far a replica knows what was ordered.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Knowledge {
    pub vector: VersionVector,
    /// By origin, the highest version that was dropped because it had expired.
    pub gc_horizon: VersionVector,
}

/// What a replica has, in short.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    pub knowledge: Knowledge,
    /// Of all its orders.
    pub digest: u64,
}

/// Some of the orders that the other lacks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// Counts on a link; the answer bears it.
    pub number: u64,
    /// Together with its other parts all that the sender has: what it lacks and covers has ended.
    pub full_copy: bool,
    pub entries: Vec<Entry>,
    /// With the last part: what the sender knew when it began, beyond what the receiver covered then; of a whole one all.
    pub sender_knowledge: Option<Knowledge>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// A digest of orders and knowledge: who has the same says nothing, else its summary.
    Heartbeat(u64),
    Summary(Summary),
    Chunk(Chunk),
    /// The answer to the part of this number: the next may come. `taken` says that its orders are known here.
    Ack {
        number: u64,
        accepted: bool,
    },
}

impl Message {
    /// How many bytes it takes on a link, its frame not counted.
    pub fn size(&self) -> usize {
        postcard::experimental::serialized_size(self).unwrap_or(0)
    }
}
