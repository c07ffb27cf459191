//! The requesting side of a lease: when to send which operation, and until when the lease may be used.

use crate::Nanos;
use crate::apply::shorten_for_drift;
use crate::message::{Operation, OperationId, OperationKind, Reply};
use crate::planted::{Fault, planted};
use crate::record::{Name, ProcessId, Token};
use std::collections::BTreeMap;

/// A lease that is held.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct HeldLease {
    /// The fencing token of the grant.
    pub token: Token,
    /// No action under the lease may last beyond this time of the holder's clock.
    pub valid_until: Nanos,
}

/// How many operations without an answer are remembered: the answer to an older one says nothing that a newer
/// one does not.
const MAX_IN_FLIGHT: usize = 8;

/// One lease that a process wants, for as long as this value lives.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseClient {
    process: ProcessId,
    name: Name,
    duration: Nanos,
    drift_ppm: u64,
    held: Option<HeldLease>,
    /// When the next operation is due.
    operation_due: Nanos,
    /// Unanswered operations by number: when each was issued, from where its lease counts, and whether it is
    /// a renewal.
    in_flight: BTreeMap<u64, (Nanos, bool)>,
}

impl LeaseClient {
    /// Creates a client that wants the lease with this name for `duration` at a time. `drift_ppm` is how much
    /// faster or slower than real time a clock may run, in millionths.
    pub fn new(now: Nanos, process: ProcessId, name: &str, duration: Nanos, drift_ppm: u64) -> LeaseClient {
        let (name, in_flight) = (name.into(), BTreeMap::new());
        LeaseClient { process, name, duration, drift_ppm, held: None, operation_due: now, in_flight }
    }

    /// When the next operation is due or the lease ends, whichever is first.
    pub fn wake_at(&self) -> Nanos {
        self.held.map_or(self.operation_due, |held| held.valid_until.min(self.operation_due))
    }

    /// The operation to send now, if one is due. `number` must be higher than any before of this process. A
    /// lease is renewed at a third of its duration, and operations are repeated while no answer comes.
    pub fn next_operation(&mut self, now: Nanos, number: u64) -> Option<Operation> {
        self.drop_expired(now);
        if now < self.operation_due {
            return None;
        }
        let (duration, name) = (self.duration, self.name.clone());
        // Each grant has a token of its own: repeating an acquisition too early would lead to two grants, and
        // the second token would end an action that was started under the first.
        let (kind, next_after) = match self.held {
            Some(HeldLease { token, .. }) => (OperationKind::Renew(name, duration, token), duration / 12),
            None => (OperationKind::Acquire(name, duration), duration / 2),
        };
        self.operation_due = now + next_after;
        Some(self.track(now, number, kind))
    }

    /// Handles the answer to the operation with this number.
    pub fn answer_received(&mut self, now: Nanos, number: u64, reply: &Reply) {
        let Some((asked_at, is_renewal)) = self.in_flight.remove(&number) else { return };
        self.drop_expired(now);
        match reply {
            Reply::Granted(token) => {
                // A renewal whose answer came after the lease had ended here, or a grant from before the
                // lease was given back, grants nothing: the lease has to be acquired anew.
                if is_renewal && self.held.is_none_or(|held| held.token != *token) {
                    return;
                }
                if self.held.is_some_and(|held| held.token > *token) {
                    return;
                }
                let counted_from = if planted(Fault::LeaseCountedFromAnswer) { now } else { asked_at };
                let valid_until = counted_from + shorten_for_drift(self.duration, self.drift_ppm);
                let valid_until = self.held.map_or(valid_until, |held| held.valid_until.max(valid_until));
                if now < valid_until {
                    self.held = Some(HeldLease { token: *token, valid_until });
                    self.operation_due =
                        valid_until - shorten_for_drift(self.duration, self.drift_ppm) + self.duration / 3;
                }
            }
            Reply::Denied(_, remaining) if is_renewal => {
                // Another process holds the lease, or it was revoked.
                self.held = None;
                self.operation_due = now + (*remaining).max(self.duration / 12);
            }
            Reply::Denied(_, remaining) => {
                self.operation_due = now + (*remaining).clamp(self.duration / 12, self.duration)
            }
            Reply::Busy | Reply::Unknown => {
                self.operation_due = self.operation_due.min(now + self.duration / 12)
            }
            _ => {}
        }
    }

    /// The token for an action that takes this long; `None` where the action might outlast the lease.
    pub fn token_if_valid_for(&self, now: Nanos, action_duration: Nanos) -> Option<Token> {
        self.held.filter(|held| now + action_duration < held.valid_until).map(|held| held.token)
    }

    /// Whether this is the lease client of that process.
    pub fn belongs_to(&self, process: &ProcessId) -> bool {
        self.process == *process
    }

    /// The lease, if it is held as of the last call that was given the time.
    pub fn held(&self) -> Option<HeldLease> {
        self.held
    }

    /// Stops using the lease at once. Returns the operation that tells the voters, so that others need not
    /// wait for the lease to end; `None` where it is not held.
    pub fn give_back(&mut self, now: Nanos, number: u64) -> Option<Operation> {
        self.drop_expired(now);
        // Answers to earlier operations no longer count.
        self.in_flight.clear();
        let HeldLease { token, .. } = self.held.take()?;
        self.operation_due = now + self.duration / 3;
        Some(self.track(now, number, OperationKind::GiveBack(self.name.clone(), token)))
    }

    /// Remembers an operation until it is answered.
    fn track(&mut self, now: Nanos, number: u64, kind: OperationKind) -> Operation {
        self.in_flight.insert(number, (now, matches!(kind, OperationKind::Renew(..))));
        while self.in_flight.len() > MAX_IN_FLIGHT {
            self.in_flight.pop_first();
        }
        Operation { id: OperationId { process: self.process.clone(), number }, kind }
    }

    /// Drops the lease if it has ended, and makes the next operation due at once.
    fn drop_expired(&mut self, now: Nanos) {
        if self.held.is_some_and(|held| now >= held.valid_until) {
            self.held = None;
            self.operation_due = self.operation_due.min(now);
        }
    }
}
