//! What a voter knows of the round that it runs.

use crate::message::{Answer, Ballot, Shared};
use crate::record::Store;
use std::collections::{BTreeMap, BTreeSet};

/// What others said that they had accepted.
pub type Accepted = BTreeMap<Store, (Ballot, Shared)>;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Round {
    None,
    /// Looks whether a majority has accepted one ballot: enough for reads.
    Peek {
        number: u64,
        asked: BTreeSet<Store>,
        said: Accepted,
    },
    /// Waits for promises.
    Prepare {
        ballot: Ballot,
        asked: BTreeSet<Store>,
        said: Accepted,
    },
    /// Waits for a majority to accept what came of the first `covered` asks, whose answers wait here.
    Accept {
        ballot: Ballot,
        record: Shared,
        yes: BTreeSet<Store>,
        covered: usize,
        answers: Vec<Option<Answer>>,
    },
}

/// The newest record among those said, and whether it is settled for sure; `None` until a majority of its voters has
/// spoken. A record among them may name voters that were not asked: these come second.
pub fn newest(said: &Accepted) -> (Option<(Ballot, Shared, bool)>, BTreeSet<Store>) {
    let Some((ballot, record)) = said.values().max_by_key(|(ballot, _)| *ballot) else {
        return (None, BTreeSet::new());
    };
    let spoke: BTreeSet<Store> = said.keys().copied().collect();
    if !record.0.settled_by(&spoke) {
        return (None, record.0.stores());
    }
    let same = said.iter().filter(|(_, (other, _))| other == ballot).map(|(store, _)| *store).collect();
    (Some((*ballot, record.clone(), record.0.settled_by(&same))), BTreeSet::new())
}
