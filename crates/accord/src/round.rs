//! What a voter knows of the round that it runs.

use crate::message::{Answer, Ballot, SharedRecord};
use crate::record::StoreId;
use std::collections::{BTreeMap, BTreeSet};

/// What others said that they had accepted.
pub type AcceptedReports = BTreeMap<StoreId, (Ballot, SharedRecord)>;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Round {
    Idle,
    /// Looks whether a majority has accepted one ballot: enough for reads.
    Peek {
        number: u64,
        recipients: BTreeSet<StoreId>,
        reports: AcceptedReports,
    },
    /// Waits for promises.
    Prepare {
        ballot: Ballot,
        recipients: BTreeSet<StoreId>,
        reports: AcceptedReports,
    },
    /// Waits for a majority to accept what came of the first `covered` asks, whose answers wait here.
    Accept {
        ballot: Ballot,
        record: SharedRecord,
        accepted_by: BTreeSet<StoreId>,
        covered: usize,
        answers: Vec<Option<Answer>>,
    },
}

/// The newest record among those said, and whether it is settled for sure; `None` until a majority of its voters has
/// spoken. A record among them may name voters that were not asked: these come second.
pub fn newest_accepted(
    reports: &AcceptedReports,
) -> (Option<(Ballot, SharedRecord, bool)>, BTreeSet<StoreId>) {
    let Some((ballot, record)) = reports.values().max_by_key(|(ballot, _)| *ballot) else {
        return (None, BTreeSet::new());
    };
    let reporters: BTreeSet<StoreId> = reports.keys().copied().collect();
    if !record.0.has_quorum(&reporters) {
        return (None, record.0.all_stores());
    }
    let same_ballot =
        reports.iter().filter(|(_, (other, _))| other == ballot).map(|(store, _)| *store).collect();
    (Some((*ballot, record.clone(), record.0.has_quorum(&same_ballot))), BTreeSet::new())
}
