//! Applies operations to a record, and decides when a lease has ended. Nothing else changes a record.

use crate::message::{Answer, Operation, OperationKind, Reply, SharedRecord};
use crate::planted::{Fault, planted};
use crate::record::{Entry, Lease, MAX_RECORD_BYTES, Member, Name, ProcessId, Record, Token};
use crate::{Nanos, Presence};
use std::collections::BTreeMap;

/// The lease states that this voter has observed, each with the time of its clock at which it first did. A
/// lease's age is measured from there alone: the holder counts from before it sent its operation, and no
/// voter can observe the lease before that.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct LeaseObservations(BTreeMap<Name, (Lease, Nanos)>);

impl LeaseObservations {
    /// Takes note of the leases of a record, committed or not: a record that is still being voted on may
    /// already have been answered.
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

    /// How much longer the holder can at most believe that it holds the lease, in nanoseconds. A state that
    /// was not observed, such as one granted earlier in the same batch, counts from now: two processes that
    /// ask at the same time must not both get the lease.
    pub fn remaining(&self, now: Nanos, name: &str, lease: &Lease, drift_ppm: u64) -> Nanos {
        if lease.holder.is_none() {
            return 0;
        }
        let since =
            self.0.get(name).filter(|(seen, _)| same_state(seen, lease)).map_or(now, |(_, since)| *since);
        (since + lengthen_for_drift(lease.duration, drift_ppm)).saturating_sub(now)
    }
}

/// Whether these are the same state of a lease.
fn same_state(seen: &Lease, lease: &Lease) -> bool {
    if planted(Fault::RenewalNotObserved) {
        return seen.token == lease.token && seen.holder == lease.holder;
    }
    seen == lease
}

/// A duration that another process measures, as an upper bound on this process's clock: this clock may be
/// fast while the other is slow.
pub fn lengthen_for_drift(duration: Nanos, drift_ppm: u64) -> Nanos {
    if planted(Fault::DriftIgnored) {
        return duration;
    }
    duration.saturating_add(drift_allowance(duration, drift_ppm))
}

/// The duration for which the holder may rely on a lease by its own clock, which may be slow.
pub fn shorten_for_drift(duration: Nanos, drift_ppm: u64) -> Nanos {
    if planted(Fault::DriftIgnored) {
        return duration;
    }
    duration - drift_allowance(duration, drift_ppm)
}

/// The most by which a duration can be off with this drift, rounded up so that it is never too small.
fn drift_allowance(duration: Nanos, ppm: u64) -> Nanos {
    let allowance = (u128::from(duration) * u128::from(ppm)).div_ceil(1_000_000);
    Nanos::try_from(allowance).unwrap_or(Nanos::MAX)
}

/// How long after renewals stop no lease of this record can be held any more, in nanoseconds. Both the
/// holder's clock and that of the waiting process may be off, hence twice the drift.
pub fn max_lease_wait(record: &Record, drift_ppm: u64) -> Nanos {
    let longest_duration = record.leases.values().map(|lease| lease.duration).max().unwrap_or(0);
    lengthen_for_drift(longest_duration, 2 * drift_ppm)
}

/// The context in which operations are applied.
pub struct ApplyContext<'a> {
    /// The time on this voter's clock.
    pub now: Nanos,
    /// The lease states that this voter has observed.
    pub observations: &'a LeaseObservations,
    /// How much faster or slower than real time a clock may run, in millionths.
    pub drift_ppm: u64,
    /// The names of the processes that may vote.
    pub eligible_voters: &'a [Name],
}

impl ApplyContext<'_> {
    /// Applies an operation to the record, or leaves the record unchanged where it is refused. Returns `None`
    /// for a read, which is answered with the record that gets committed.
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
                None => Reply::Refused(format!("lease {name:?} does not exist")),
            },
            OperationKind::Put { name, text, expected_version, fence } => {
                put(record, operation, name, text, *expected_version, fence.as_ref())
            }
            OperationKind::ReplaceVoter { replaced, voter } => self.replace_voter(record, replaced, voter),
            OperationKind::Read => return None,
        };
        let reply = if record.encoded_size() > MAX_RECORD_BYTES {
            *record = original;
            Reply::Refused(format!("the record would exceed {MAX_RECORD_BYTES} bytes"))
        } else {
            reply
        };
        Some(Answer { id: operation.id.clone(), reply })
    }

    fn acquire(&self, record: &mut Record, operation: &Operation, name: &str, duration: Nanos) -> Reply {
        let number = operation.id.number;
        if let Some(lease) = record.leases.get(name) {
            if lease.held_by(&operation.id.process) && !lease.revoked {
                // A repetition, as the round that granted the lease was given up after it took effect, or an
                // operation from before a later one.
                match number.cmp(&lease.operation_number) {
                    std::cmp::Ordering::Equal => return Reply::Granted(lease.token),
                    std::cmp::Ordering::Less => return Reply::Refused("an outdated operation".into()),
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

    /// How much longer the lease can be held at most, in nanoseconds.
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
        // A process that may have been told that its lease ended must not be told afterwards that it was
        // renewed.
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
                "{:?} is not listed among the fleet's voters in the configuration",
                voter.name
            ));
        }
        if replaced != voter.name && record.voter_named(&voter.name).is_some() {
            return Reply::Refused(format!("{:?} is a voter already", voter.name));
        }
        match record.voters.iter_mut().find(|member| member.name == replaced) {
            Some(member) => *member = voter.clone(),
            None => return Reply::Refused(format!("{replaced:?} is not a voter")),
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
                "lease {lease:?} is no longer held under token {token}; its newest token is {newest_token}"
            ));
        }
    }
    if let Some(expected) = expected_version.filter(|expected| *expected != current_version) {
        return Reply::Refused(format!("value {name:?} is at version {current_version}, not {expected}"));
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

/// The answer to a read, from a committed record.
pub fn read_answer(operation: &Operation, record: &SharedRecord) -> Answer {
    Answer { id: operation.id.clone(), reply: Reply::Record(record.clone()) }
}

/// The operation that readmits a voter with a new store: a process under a voter's name that this process
/// sees on its own link, and whose store is another one and empty.
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

/// Formats a process as its name and incarnation, as in `name#7`.
impl std::fmt::Display for ProcessId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}#{}", self.name, self.incarnation)
    }
}
