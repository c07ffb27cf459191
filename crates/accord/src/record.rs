//! The record that the voters agree on: named values, leases and the set of voters.

use crate::Nanos;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// The largest encoded size of a record, in bytes.
pub const MAX_RECORD_BYTES: usize = 64 * 1024;

/// Identifies the disk of a voter: a random number drawn when its folder was empty. It is never zero, and no
/// two disks have the same.
pub type StoreId = u64;
/// A fencing token: it grows with each grant of a lease, and no two grants have the same.
pub type Token = u64;
/// The name of a process, a lease or a value.
pub type Name = String;

/// A voter: its name and its store.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Member {
    /// The name of the process.
    pub name: Name,
    /// The disk under which it votes.
    pub store: StoreId,
}

/// Identifies one run of a process: its name and its incarnation.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ProcessId {
    /// The name, which stays the same over restarts.
    pub name: Name,
    /// Tells the runs of the process apart; a later run has a higher number.
    pub incarnation: u64,
}

/// A lease: the right of one process at a time to do something.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Lease {
    /// Who holds the lease; `None` where it was given back.
    pub holder: Option<ProcessId>,
    /// The number of the operation by which the holder acquired or last renewed the lease. It only grows
    /// within an incarnation, so that no two states of a lease are equal: a voter measures a lease's age from
    /// when it first observed its state, and must not take a new renewal for one that it already knows.
    pub operation_number: u64,
    /// How long the lease lasts by the holder's clock, counted from before the operation was sent.
    pub duration: Nanos,
    /// The token of the last grant.
    pub token: Token,
    /// Whether an operator has revoked the lease: it is no longer renewed, and another process can acquire it
    /// once its duration has passed.
    pub revoked: bool,
}

/// A named value.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Entry {
    /// The value.
    pub text: String,
    /// The version of the record in which the value was last written. No two texts of a value have the same
    /// version.
    pub version: u64,
    /// The process that wrote the value last, and the number of the operation that did.
    pub written_by: (ProcessId, u64),
}

/// The replicated record. It is replaced as a whole with each change.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Record {
    /// When the fleet was founded, in milliseconds of Unix time. A voter that has a record ignores those of
    /// another founding. Tokens start above this time, so that they keep growing even after all disks were
    /// lost.
    pub founded: u64,
    /// The number of changes since the founding.
    pub version: u64,
    /// The processes that vote.
    pub voters: Vec<Member>,
    /// The voters of the record that this one was derived from. A majority of both sets has to accept the
    /// record.
    pub previous_voters: Vec<Member>,
    /// The leases by name, including those that nobody holds.
    pub leases: BTreeMap<Name, Lease>,
    /// The values by name.
    pub values: BTreeMap<Name, Entry>,
}

impl Record {
    /// Creates the first record of a fleet.
    pub fn bootstrap(founded: u64, voters: Vec<Member>) -> Record {
        Record { founded, previous_voters: voters.clone(), voters, ..Record::default() }
    }

    /// Creates the first record of a fleet that lost the majority of its voters, from the record of a voter
    /// that survived: with its values, and with its leases and their tokens but without holders. Changes
    /// committed after the surviving record are lost. Tokens continue above the new founding time, because
    /// the tokens that the survivor did not know of lie below it.
    pub fn bootstrap_from(founded: u64, voters: Vec<Member>, survivor: &Record) -> Record {
        let mut record = Record::bootstrap(founded.max(survivor.founded + 1), voters);
        record.version = survivor.version + 1;
        record.values = survivor.values.clone();
        record.leases = survivor.leases.clone();
        for lease in record.leases.values_mut() {
            (lease.holder, lease.revoked) = (None, false);
            lease.token = lease.token.max(record.founded);
        }
        record
    }

    /// The stores of the voters and of the previous voters.
    pub fn all_stores(&self) -> BTreeSet<StoreId> {
        self.voters.iter().chain(&self.previous_voters).map(|member| member.store).collect()
    }

    /// Whether the stores that accepted include a majority of the voters, and also of the previous voters.
    pub fn has_quorum(&self, accepted_by: &BTreeSet<StoreId>) -> bool {
        is_majority(&self.voters, accepted_by) && is_majority(&self.previous_voters, accepted_by)
    }

    /// The voter with this name, or `None`.
    pub fn voter_named(&self, name: &str) -> Option<&Member> {
        self.voters.iter().find(|member| member.name == name)
    }

    /// Whether this store belongs to one of the voters.
    pub fn is_voter(&self, store: StoreId) -> bool {
        self.voters.iter().any(|member| member.store == store)
    }

    /// The size of the encoded record in bytes.
    pub fn encoded_size(&self) -> usize {
        postcard::experimental::serialized_size(self).unwrap_or(usize::MAX)
    }
}

fn is_majority(voters: &[Member], accepted_by: &BTreeSet<StoreId>) -> bool {
    let count = voters.iter().filter(|member| accepted_by.contains(&member.store)).count();
    // A minority commits a change: this lets two halves of a split fleet decide differently, which the
    // majority rule prevents.
    if crate::planted(crate::Fault::MinorityCommits) {
        return count >= 1;
    }
    count > voters.len() / 2
}
