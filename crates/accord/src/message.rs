//! What voters and askers say to each other.

use crate::record::{Member, Name, ProcessId, Record, StoreId, Token};
use crate::{Lease, Nanos};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Ballots are never used twice: a round of one life of one store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ballot {
    pub round: u64,
    pub store: StoreId,
    pub incarnation: u64,
}

/// Between voters. The last number of most is how often the sender has written its disk: by it others know an older copy.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Message {
    Prepare(Ballot, u64),
    /// The ballot asked for, and what was accepted before it.
    Promise(Ballot, Ballot, SharedRecord, u64),
    Accept(Ballot, SharedRecord, u64),
    Accepted(Ballot, u64),
    /// The ballot refused, and the one promised instead.
    Refuse(Ballot, Ballot),
    /// What is accepted now: the number is the asker's own, to tell answers apart.
    Peek(u64),
    Peeked(u64, Ballot, SharedRecord, u64),
}

/// A record that is sent to many. Two are the same when they say the same.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SharedRecord(pub Arc<Record>);

/// Who asked, and the number that it gave its ask. Numbers only grow within an incarnation.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct OperationId {
    pub process: ProcessId,
    pub number: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Operation {
    pub id: OperationId,
    pub kind: OperationKind,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum OperationKind {
    /// A lease for so long, by the asker's clock, from before it asked.
    Acquire(Name, Nanos),
    /// The lease held under this token, for so long again.
    Renew(Name, Nanos, Token),
    GiveBack(Name, Token),
    /// A person's word: whoever holds it renews it no more.
    TakeAway(Name),
    /// A value, if its version is still this one (0: not there), and if this lease is held under this token. An empty
    /// text removes it.
    Put {
        name: Name,
        text: String,
        expected_version: Option<u64>,
        fence: Option<(Name, Token)>,
    },
    /// A voter in place of another, or a new store under the same name.
    ReplaceVoter {
        replaced: Name,
        voter: Member,
    },
    /// The whole record.
    Read,
}

impl OperationKind {
    /// What a voter that has too much to do turns away first: the higher, the sooner.
    pub fn shed_priority(&self) -> u8 {
        match self {
            OperationKind::Read => 2,
            OperationKind::Acquire(..)
            | OperationKind::Put { .. }
            | OperationKind::TakeAway(_)
            | OperationKind::ReplaceVoter { .. } => 1,
            OperationKind::Renew(..) | OperationKind::GiveBack(..) => 0,
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Answer {
    pub id: OperationId,
    pub reply: Reply,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Reply {
    /// Got or renewed, under this token.
    Granted(Token),
    /// Somebody else's, or ended: who holds it, and about how much longer.
    Denied(Option<ProcessId>, Nanos),
    Done,
    /// The value stands in the record since this version of it.
    Written(u64),
    /// Why not, in words.
    Refused(String),
    Record(SharedRecord),
    /// No majority answered in time; whether it was done is not known.
    Unknown,
    /// Too much to do; ask again later, or another voter.
    Busy,
}

impl Lease {
    pub fn held_by(&self, process: &ProcessId) -> bool {
        self.holder.as_ref() == Some(process)
    }
}
