//! What is agreed on: named values, leases and who votes.

use crate::Nanos;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// The most that a record may take, as it goes over the links, in bytes.
pub const MAX_RECORD_BYTES: usize = 64 * 1024;

/// A disk of a voter: a number drawn when its folder was empty. Never two disks, and never zero.
pub type StoreId = u64;
/// Grows with each grant of a lease, and is never given twice.
pub type Token = u64;
pub type Name = String;

/// A process that votes.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Member {
    pub name: Name,
    pub store: StoreId,
}

/// Who holds or asks: a name and which life of it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ProcessId {
    pub name: Name,
    pub incarnation: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Lease {
    pub holder: Option<ProcessId>,
    /// The number that the holder gave the ask which got or renewed it. It only grows within an incarnation, so no two
    /// states of a lease look alike: a voter that judges age by sight must not take a new renewal for an old one.
    pub operation_number: u64,
    /// How long it lasts, by the holder's clock, from before it asked.
    pub duration: Nanos,
    pub token: Token,
    /// An operator has taken it away: it is renewed no more, and goes on to another when its time has ended.
    pub revoked: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Entry {
    pub text: String,
    /// The record's version when it was written last: never the same for two texts.
    pub version: u64,
    /// Who wrote it last, and that ask's number.
    pub written_by: (ProcessId, u64),
}

#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Record {
    /// When the fleet was founded, in milliseconds of Unix time; voters of another founding are strangers. Tokens begin
    /// above it, so that they grow over a loss of all disks too.
    pub founded: u64,
    /// Changes since then.
    pub version: u64,
    pub voters: Vec<Member>,
    /// The voters of the record that this one was made from. Both sets have to accept it.
    pub previous_voters: Vec<Member>,
    pub leases: BTreeMap<Name, Lease>,
    pub values: BTreeMap<Name, Entry>,
}

impl Record {
    /// The first record of a fleet.
    pub fn bootstrap(founded: u64, voters: Vec<Member>) -> Record {
        Record { founded, previous_voters: voters.clone(), voters, ..Record::default() }
    }

    /// The first record of a fleet whose majority was lost, from what a voter that survived has: its values, and its leases
    /// with their tokens, which nobody holds any more. What was settled after it is lost. Tokens go on above the new
    /// founding: those that the survivor had not heard of lie below it.
    pub fn bootstrap_from(founded: u64, voters: Vec<Member>, survived: &Record) -> Record {
        let mut record = Record::bootstrap(founded.max(survived.founded + 1), voters);
        record.version = survived.version + 1;
        record.values = survived.values.clone();
        record.leases = survived.leases.clone();
        for lease in record.leases.values_mut() {
            (lease.holder, lease.revoked) = (None, false);
            lease.token = lease.token.max(record.founded);
        }
        record
    }

    /// All stores that this record concerns.
    pub fn all_stores(&self) -> BTreeSet<StoreId> {
        self.voters.iter().chain(&self.previous_voters).map(|member| member.store).collect()
    }

    /// Whether those that said yes are a majority of the voters, and of those before where they differ.
    pub fn has_quorum(&self, accepted_by: &BTreeSet<StoreId>) -> bool {
        is_majority(&self.voters, accepted_by) && is_majority(&self.previous_voters, accepted_by)
    }

    /// Who votes under this name.
    pub fn voter_named(&self, name: &str) -> Option<&Member> {
        self.voters.iter().find(|member| member.name == name)
    }

    pub fn is_voter(&self, store: StoreId) -> bool {
        self.voters.iter().any(|member| member.store == store)
    }

    /// In bytes, as it goes over the links.
    pub fn encoded_size(&self) -> usize {
        postcard::experimental::serialized_size(self).unwrap_or(usize::MAX)
    }
}

fn is_majority(voters: &[Member], accepted_by: &BTreeSet<StoreId>) -> bool {
    let count = voters.iter().filter(|member| accepted_by.contains(&member.store)).count();
    // A minority settles: the split that a majority is there to prevent.
    if crate::planted(crate::Fault::MinorityCommits) {
        return count >= 1;
    }
    count > voters.len() / 2
}
