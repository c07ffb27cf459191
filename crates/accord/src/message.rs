//! Messages between voters, and the operations and answers exchanged with the processes that use them.

use crate::record::{Member, Name, ProcessId, Record, StoreId, Token};
use crate::{Lease, Nanos};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// A ballot number: one round of one incarnation of one store. No ballot is used twice.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ballot {
    /// The number of the round; ballots are ordered by it first.
    pub round: u64,
    /// The store of the voter that runs the round.
    pub store: StoreId,
    /// The incarnation of that voter.
    pub incarnation: u64,
}

/// A message between voters. The last number of most variants is the sender's
/// [`write_count`](crate::DurableState::write_count): a receiver that knows a higher count for a store can
/// tell that this store was rolled back to an older copy.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Message {
    /// Asks for a promise to accept no lower ballot.
    Prepare(Ballot, u64),
    /// The ballot that is promised, and the ballot and record that were accepted before it.
    Promise(Ballot, Ballot, SharedRecord, u64),
    /// Asks the receiver to accept this record under this ballot.
    Accept(Ballot, SharedRecord, u64),
    /// The record of this ballot was accepted.
    Accepted(Ballot, u64),
    /// The ballot that is refused, and the higher ballot that was promised instead.
    Refuse(Ballot, Ballot),
    /// Asks for the accepted ballot and record. The sender chooses the number, by which it matches
    /// the answers.
    Peek(u64),
    /// Answers `Peek`: its number, and the accepted ballot and record.
    Peeked(u64, Ballot, SharedRecord, u64),
}

/// A record behind a shared pointer, as it is sent to many. Two are equal when their records are equal.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SharedRecord(pub Arc<Record>);

/// Identifies an operation: the process that issued it, and a number that only grows within an incarnation of
/// this process.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct OperationId {
    /// The process that issued the operation.
    pub process: ProcessId,
    /// The number of the operation.
    pub number: u64,
}

/// An operation on the record, as it is sent to a voter.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Operation {
    /// Identifies the operation; a repetition has the same id.
    pub id: OperationId,
    /// What the operation does.
    pub kind: OperationKind,
}

/// The kinds of operations, with their arguments.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum OperationKind {
    /// Acquires a lease for this duration by the requester's clock, counted from before the operation was
    /// sent.
    Acquire(Name, Nanos),
    /// Renews the lease that is held under this token for this duration, counted in the same way.
    Renew(Name, Nanos, Token),
    /// Gives back the lease that is held under this token, so that others need not wait for its end.
    GiveBack(Name, Token),
    /// Revokes a lease on an operator's command: its holder can no longer renew it.
    TakeAway(Name),
    /// Writes a value, provided that its version is still `expected_version` (0: the value does not exist)
    /// and that the lease `fence.0` is still held under the token `fence.1`. A condition that is `None` is
    /// not checked. An empty text removes the value.
    Put { name: Name, text: String, expected_version: Option<u64>, fence: Option<(Name, Token)> },
    /// Replaces a voter by another one, or by a new store under the same name.
    #[serde(rename = "Seat")]
    ReplaceVoter { replaced: Name, voter: Member },
    /// Reads the whole record.
    Read,
}

impl OperationKind {
    /// The order in which a voter that is overloaded rejects operations: those with the highest value first.
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

/// The answer to the operation with this id.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Answer {
    /// The id of the operation that is answered.
    pub id: OperationId,
    /// Its outcome.
    pub reply: Reply,
}

/// The outcome of an operation.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Reply {
    /// The lease was acquired or renewed under this token.
    Granted(Token),
    /// The lease is held by another process, or it has ended: who holds it, and about how much longer, in
    /// nanoseconds.
    Denied(Option<ProcessId>, Nanos),
    /// The operation was applied, or it had nothing left to do.
    Done,
    /// The value was written, and this is its version in the record.
    Written(u64),
    /// The operation was rejected, for the reason given in the text.
    Refused(String),
    /// The committed record, in answer to a read.
    Record(SharedRecord),
    /// No majority answered in time; the operation may or may not have been applied.
    Unknown,
    /// The voter is overloaded or does not vote; ask again later, or ask another voter.
    Busy,
}

impl Lease {
    /// Whether this process, in this incarnation, holds the lease.
    pub fn held_by(&self, process: &ProcessId) -> bool {
        self.holder.as_ref() == Some(process)
    }
}
