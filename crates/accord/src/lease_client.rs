//! A lease from the side of who wants it: when to ask, and until when it may act.

use crate::Nanos;
use crate::apply::shorten_for_drift;
use crate::message::{Operation, OperationId, OperationKind, Reply};
use crate::planted::{Fault, planted};
use crate::record::{Name, ProcessId, Token};
use std::collections::BTreeMap;

/// What it has.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct HeldLease {
    pub token: Token,
    /// No act may last beyond this, by the holder's own clock.
    pub valid_until: Nanos,
}

/// Asks not answered are kept so many: an answer to an older one says nothing that a newer one does not.
const MAX_IN_FLIGHT: usize = 8;

/// One lease that somebody wants, for as long as this lives.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseClient {
    process: ProcessId,
    name: Name,
    duration: Nanos,
    drift_ppm: u64,
    held: Option<HeldLease>,
    /// When it asks next.
    operation_due: Nanos,
    /// Asks on their way and when each was made: an answer counts from there.
    in_flight: BTreeMap<u64, (Nanos, bool)>,
}

impl LeaseClient {
    pub fn new(now: Nanos, process: ProcessId, name: &str, duration: Nanos, drift_ppm: u64) -> LeaseClient {
        let (name, in_flight) = (name.into(), BTreeMap::new());
        LeaseClient { process, name, duration, drift_ppm, held: None, operation_due: now, in_flight }
    }

    /// When it wants to ask, or its time is up.
    pub fn wake_at(&self) -> Nanos {
        self.held.map_or(self.operation_due, |held| held.valid_until.min(self.operation_due))
    }

    /// What to ask now, if anything, under this number, which is higher than any before of this holder. It is renewed at a
    /// third of its time, and asked for again while no answer comes.
    pub fn next_operation(&mut self, now: Nanos, number: u64) -> Option<Operation> {
        self.drop_expired(now);
        if now < self.operation_due {
            return None;
        }
        let (duration, name) = (self.duration, self.name.clone());
        // Each grant has a token of its own: two that came of one impatient asker would end its first act.
        let (kind, next_after) = match self.held {
            Some(HeldLease { token, .. }) => (OperationKind::Renew(name, duration, token), duration / 12),
            None => (OperationKind::Acquire(name, duration), duration / 2),
        };
        self.operation_due = now + next_after;
        Some(self.track(now, number, kind))
    }

    /// An answer to the ask of this number.
    pub fn answer_received(&mut self, now: Nanos, number: u64, reply: &Reply) {
        let Some((asked_at, is_renewal)) = self.in_flight.remove(&number) else { return };
        self.drop_expired(now);
        match reply {
            Reply::Granted(token) => {
                // A renewal that was answered after its lease had ended here, or a grant from before it was given
                // back, gives nothing: it has to be asked for anew.
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
                // It is somebody else's, or was taken away.
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

    /// The token to act under, for an act that takes so long; `None` where it might not end in time.
    pub fn token_if_valid_for(&self, now: Nanos, act_duration: Nanos) -> Option<Token> {
        self.held.filter(|held| now + act_duration < held.valid_until).map(|held| held.token)
    }

    /// Whether this is its holder.
    pub fn belongs_to(&self, process: &ProcessId) -> bool {
        self.process == *process
    }

    pub fn held(&self) -> Option<HeldLease> {
        self.held
    }

    /// Stops at once, and says what to send so that others need not wait for the time to end.
    pub fn give_back(&mut self, now: Nanos, number: u64) -> Option<Operation> {
        self.drop_expired(now);
        // What is still on its way counts no more.
        self.in_flight.clear();
        let HeldLease { token, .. } = self.held.take()?;
        self.operation_due = now + self.duration / 3;
        Some(self.track(now, number, OperationKind::GiveBack(self.name.clone(), token)))
    }

    fn track(&mut self, now: Nanos, number: u64, kind: OperationKind) -> Operation {
        self.in_flight.insert(number, (now, matches!(kind, OperationKind::Renew(..))));
        while self.in_flight.len() > MAX_IN_FLIGHT {
            self.in_flight.pop_first();
        }
        Operation { id: OperationId { process: self.process.clone(), number }, kind }
    }

    fn drop_expired(&mut self, now: Nanos) {
        if self.held.is_some_and(|held| now >= held.valid_until) {
            self.held = None;
            self.operation_due = self.operation_due.min(now);
        }
    }
}
