//! What becomes of an ask: the one place that changes a record, and the one that says when a lease has ended.

use crate::message::{Answer, Operation, OperationKind, Reply, SharedRecord};
use crate::planted::{Fault, planted};
use crate::record::{Entry, Lease, MAX_RECORD_BYTES, Member, Name, ProcessId, Record, Token};
use crate::{Nanos, Presence};
use std::collections::BTreeMap;

/// Leases as this voter has seen them, each since when by its clock. A lease is judged by its sight alone: its holder
/// counted from before it asked, and nobody can see it before that.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct LeaseObservations(BTreeMap<Name, (Lease, Nanos)>);

impl LeaseObservations {
    /// Takes in a record, agreed or not: what is on its way may have been answered already.
    pub fn observe(&mut self, now: Nanos, record: &Record) {
        self.0.retain(|name, _| record.leases.contains_key(name));
        for (name, lease) in &record.leases {
            match self.0.get_mut(name) {
                Some((seen, _)) if same_state(seen, lease) => {}
                Some(seen) => *seen = (lease.clone(), now),
                None => _ = self.0.insert(name.clone(), (lease.clone(), now)),
            }
        }
    }

    /// How much longer its holder may believe that it holds it, at the most. One that was not seen as it stands, such as
    /// one given a moment ago in the same batch, counts from now: two who ask together must not both get it.
    pub fn remaining(&self, now: Nanos, name: &str, lease: &Lease, drift_ppm: u64) -> Nanos {
        if lease.holder.is_none() {
            return 0;
        }
        let since =
            self.0.get(name).filter(|(seen, _)| same_state(seen, lease)).map_or(now, |(_, since)| *since);
        (since + lengthen_for_drift(lease.duration, drift_ppm)).saturating_sub(now)
    }
}

/// Whether these are one state of a lease.
fn same_state(seen: &Lease, lease: &Lease) -> bool {
    if planted(Fault::RenewalNotObserved) {
        return seen.token == lease.token && seen.holder == lease.holder;
    }
    seen == lease
}

/// A time by a clock that may be fast, when the other's may be slow.
pub fn lengthen_for_drift(duration: Nanos, drift_ppm: u64) -> Nanos {
    if planted(Fault::DriftIgnored) {
        return duration;
    }
    duration.saturating_add(drift_allowance(duration, drift_ppm))
}

/// The same by the clock of who holds.
pub fn shorten_for_drift(duration: Nanos, drift_ppm: u64) -> Nanos {
    if planted(Fault::DriftIgnored) {
        return duration;
    }
    duration - drift_allowance(duration, drift_ppm)
}

/// Rounded up: what is allowed for drift is never less than stated.
fn drift_allowance(duration: Nanos, ppm: u64) -> Nanos {
    let allowance = (u128::from(duration) * u128::from(ppm)).div_ceil(1_000_000);
    Nanos::try_from(allowance).unwrap_or(Nanos::MAX)
}

/// How long until no lease of this record can be held any more, from when none is renewed: its holder's clock and that of
/// who waits may both be off.
pub fn max_lease_wait(record: &Record, drift_ppm: u64) -> Nanos {
    let longest_duration = record.leases.values().map(|lease| lease.duration).max().unwrap_or(0);
    lengthen_for_drift(longest_duration, 2 * drift_ppm)
}

/// What asks are judged by.
pub struct ApplyContext<'a> {
    pub now: Nanos,
    pub observations: &'a LeaseObservations,
    pub drift_ppm: u64,
    /// Names that may vote.
    pub eligible_voters: &'a [Name],
}

impl ApplyContext<'_> {
    /// Changes the record as asked, or leaves it; `None` for a read, which is answered with what gets settled.
    pub fn apply(&self, record: &mut Record, operation: &Operation) -> Option<Answer> {
        let original = record.clone();
        let reply = match &operation.kind {
            OperationKind::Acquire(name, duration) => self.acquire(record, operation, name, *duration),
            OperationKind::Renew(name, duration, token) => {
                self.renew(record, operation, name, *duration, *token)
            }
            OperationKind::GiveBack(name, token) => give_back(record, operation, name, *token),
            OperationKind::TakeAway(name) => match record.leases.get_mut(name) {
                Some(lease) => {
                    lease.revoked = lease.holder.is_some();
                    Reply::Done
                }
                None => Reply::Refused(format!("no lease {name:?}")),
            },
            OperationKind::Put { name, text, expected_version, fence } => {
                put(record, operation, name, text, *expected_version, fence.as_ref())
            }
            OperationKind::ReplaceVoter { replaced, voter } => self.replace_voter(record, replaced, voter),
            OperationKind::Read => return None,
        };
        let reply = if record.encoded_size() > MAX_RECORD_BYTES {
            *record = original;
            Reply::Refused(format!("the record would be over {MAX_RECORD_BYTES} bytes"))
        } else {
            reply
        };
        Some(Answer { id: operation.id.clone(), reply })
    }

    fn acquire(&self, record: &mut Record, operation: &Operation, name: &str, duration: Nanos) -> Reply {
        let number = operation.id.number;
        if let Some(lease) = record.leases.get(name) {
            if lease.held_by(&operation.id.process) && !lease.revoked {
                // Asked again after the round that did it was given up, or from before a later ask.
                match number.cmp(&lease.operation_number) {
                    std::cmp::Ordering::Equal => return Reply::Granted(lease.token),
                    std::cmp::Ordering::Less => return Reply::Refused("an old ask".into()),
                    std::cmp::Ordering::Greater => {}
                }
            } else if lease.holder.is_some() {
                let remaining = self.remaining(name, lease);
                if remaining > 0 {
                    return Reply::Denied(lease.holder.clone(), remaining);
                }
            }
        }
        let floor = record.founded;
        let lease = record.leases.entry(name.into()).or_insert_with(|| Lease {
            holder: None,
            operation_number: 0,
            duration,
            token: floor,
            revoked: false,
        });
        let token = if planted(Fault::TokenNotIncremented) { lease.token } else { lease.token + 1 };
        *lease = Lease {
            holder: Some(operation.id.process.clone()),
            operation_number: number,
            duration,
            token,
            revoked: false,
        };
        Reply::Granted(token)
    }

    fn remaining(&self, name: &str, lease: &Lease) -> Nanos {
        self.observations.remaining(self.now, name, lease, self.drift_ppm)
    }

    fn renew(
        &self,
        record: &mut Record,
        operation: &Operation,
        name: &str,
        duration: Nanos,
        token: Token,
    ) -> Reply {
        let Some(lease) = record.leases.get_mut(name) else { return Reply::Denied(None, 0) };
        let remaining = self.remaining(name, lease);
        let revived = planted(Fault::LateRenewalRevivesLease);
        if !revived && (!lease.held_by(&operation.id.process) || lease.token != token) {
            return Reply::Denied(lease.holder.clone(), remaining);
        }
        if operation.id.number == lease.operation_number && lease.held_by(&operation.id.process) {
            return Reply::Granted(token);
        }
        // Whoever may have been told that it ended must not be told otherwise.
        if !revived && (lease.revoked || remaining == 0 || operation.id.number < lease.operation_number) {
            return Reply::Denied(None, remaining);
        }
        *lease = Lease {
            holder: Some(operation.id.process.clone()),
            operation_number: operation.id.number,
            duration,
            token,
            revoked: false,
        };
        Reply::Granted(token)
    }

    fn replace_voter(&self, record: &mut Record, replaced: &str, voter: &Member) -> Reply {
        if record.is_voter(voter.store) {
            return Reply::Done;
        }
        if !self.eligible_voters.contains(&voter.name) {
            return Reply::Refused(format!(
                "{:?} is not among the fleet's voters in the configuration",
                voter.name
            ));
        }
        if replaced != voter.name && record.voter_named(&voter.name).is_some() {
            return Reply::Refused(format!("{:?} votes already", voter.name));
        }
        match record.voters.iter_mut().find(|member| member.name == replaced) {
            Some(member) => *member = voter.clone(),
            None => return Reply::Refused(format!("{replaced:?} is no voter")),
        }
        Reply::Done
    }
}

fn give_back(record: &mut Record, operation: &Operation, name: &str, token: Token) -> Reply {
    if let Some(lease) = record.leases.get_mut(name)
        && lease.held_by(&operation.id.process)
        && lease.token == token
        && lease.operation_number < operation.id.number
    {
        lease.holder = None;
        lease.revoked = false;
    }
    Reply::Done
}

fn put(
    record: &mut Record,
    operation: &Operation,
    name: &str,
    text: &str,
    expected_version: Option<u64>,
    fence: Option<&(Name, Token)>,
) -> Reply {
    let written_by = (operation.id.process.clone(), operation.id.number);
    let current = record.values.get(name);
    if let Some(entry) = current.filter(|entry| entry.written_by == written_by) {
        return Reply::Written(entry.version);
    }
    let current_version = current.map_or(0, |entry| entry.version);
    if let Some((lease, token)) = fence {
        let newest_token = record.leases.get(lease).map_or(0, |lease| lease.token);
        let held_by_writer = |lease: &Lease| lease.token == *token && lease.held_by(&operation.id.process);
        if !planted(Fault::FencingTokenIgnored) && !record.leases.get(lease).is_some_and(held_by_writer) {
            return Reply::Refused(format!(
                "{lease:?} is no longer held under {token}, its newest is {newest_token}"
            ));
        }
    }
    if let Some(expected) = expected_version.filter(|expected| *expected != current_version) {
        return Reply::Refused(format!("{name:?} is at version {current_version}, not {expected}"));
    }
    if text.is_empty() {
        record.values.remove(name);
    } else {
        record
            .values
            .insert(name.into(), Entry { text: text.into(), version: record.version + 1, written_by });
    }
    Reply::Written(record.version + 1)
}

/// Answers to reads, from a record that is settled.
pub fn read_answer(operation: &Operation, record: &SharedRecord) -> Answer {
    Answer { id: operation.id.clone(), reply: Reply::Record(record.clone()) }
}

/// Who voters take in again: a process under a voter's name whose store is new, seen here by its own link.
pub fn find_voter_to_readmit(record: &Record, presence: &Presence, now: Nanos) -> Option<OperationKind> {
    let returned = |member: &&Member| {
        presence.store_of(&member.name, now).is_some_and(|store| store != member.store)
            && presence.has_empty_store(&member.name)
    };
    let member = record.voters.iter().find(returned)?;
    let store = presence.store_of(&member.name, now)?;
    Some(OperationKind::ReplaceVoter {
        replaced: member.name.clone(),
        voter: Member { name: member.name.clone(), store },
    })
}

/// A holder as words.
impl std::fmt::Display for ProcessId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}#{}", self.name, self.incarnation)
    }
}
