//! The state of the round that a voter runs.

use crate::message::{Answer, Ballot, SharedRecord};
use crate::record::StoreId;
use std::collections::{BTreeMap, BTreeSet};

/// The ballot and record that each store reported as accepted.
pub type AcceptedReports = BTreeMap<StoreId, (Ballot, SharedRecord)>;

/// The round in progress, if any.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Round {
    /// No round is running.
    Idle,
    /// Finds out whether a majority has accepted the same ballot, which is enough to answer reads.
    Peek { number: u64, recipients: BTreeSet<StoreId>, reports: AcceptedReports },
    /// Waits for a majority of promises.
    Prepare { ballot: Ballot, recipients: BTreeSet<StoreId>, reports: AcceptedReports },
    /// Waits for a majority to accept the record that results from the first `covered` pending operations.
    /// Their answers are kept until then; `None` stands for a read, which is answered with the committed
    /// record.
    Accept {
        ballot: Ballot,
        record: SharedRecord,
        accepted_by: BTreeSet<StoreId>,
        covered: usize,
        answers: Vec<Option<Answer>>,
    },
}

/// The newest reported ballot and record, and whether the reports show that it is committed; `None` until a
/// majority of its voters has reported. The second value is the set of the newest record's stores while their
/// reports are missing, as it can name voters that were not asked.
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
