//! A lease from the side of who wants it: when to ask, and until when it may act.

use crate::Nanos;
use crate::apply::shorter;
use crate::message::{Ask, AskId, Reply, Want};
use crate::planted::{Fault, planted};
use crate::record::{Holder, Name, Token};
use std::collections::BTreeMap;

/// What it has.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Held {
    pub token: Token,
    /// No act may last beyond this, by the holder's own clock.
    pub until: Nanos,
}

/// Asks not answered are kept so many: an answer to an older one says nothing that a newer one does not.
const OPEN: usize = 8;

/// One lease that somebody wants, for as long as this lives.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Holding {
    who: Holder,
    name: Name,
    time: Nanos,
    drift_ppm: u64,
    held: Option<Held>,
    /// When it asks next.
    due: Nanos,
    /// Asks on their way and when each was made: an answer counts from there.
    open: BTreeMap<u64, (Nanos, bool)>,
}

impl Holding {
    pub fn new(now: Nanos, who: Holder, name: &str, time: Nanos, drift_ppm: u64) -> Holding {
        let (name, open) = (name.into(), BTreeMap::new());
        Holding { who, name, time, drift_ppm, held: None, due: now, open }
    }

    /// When it wants to ask, or its time is up.
    pub fn due(&self) -> Nanos {
        self.held.map_or(self.due, |held| held.until.min(self.due))
    }

    /// What to ask now, if anything, under this number, which is higher than any before of this holder. It is renewed at a
    /// third of its time, and asked for again while no answer comes.
    pub fn ask(&mut self, now: Nanos, number: u64) -> Option<Ask> {
        self.drop_ended(now);
        if now < self.due {
            return None;
        }
        let (time, name) = (self.time, self.name.clone());
        // Each grant has a token of its own: two that came of one impatient asker would end its first act.
        let (want, again) = match self.held {
            Some(Held { token, .. }) => (Want::Renew(name, time, token), time / 12),
            None => (Want::Acquire(name, time), time / 2),
        };
        self.due = now + again;
        Some(self.numbered(now, number, want))
    }

    /// An answer to the ask of this number.
    pub fn answered(&mut self, now: Nanos, number: u64, reply: &Reply) {
        let Some((asked, renewal)) = self.open.remove(&number) else { return };
        self.drop_ended(now);
        match reply {
            Reply::Granted(token) => {
                // A renewal that was answered after its lease had ended here, or a grant from before it was given
                // back, gives nothing: it has to be asked for anew.
                if renewal && self.held.is_none_or(|held| held.token != *token) {
                    return;
                }
                if self.held.is_some_and(|held| held.token > *token) {
                    return;
                }
                let from = if planted(Fault::CountsFromAnswer) { now } else { asked };
                let until = from + shorter(self.time, self.drift_ppm);
                let until = self.held.map_or(until, |held| held.until.max(until));
                if now < until {
                    self.held = Some(Held { token: *token, until });
                    self.due = until - shorter(self.time, self.drift_ppm) + self.time / 3;
                }
            }
            Reply::Denied(_, left) if renewal => {
                // It is somebody else's, or was taken away.
                self.held = None;
                self.due = now + (*left).max(self.time / 12);
            }
            Reply::Denied(_, left) => self.due = now + (*left).clamp(self.time / 12, self.time),
            Reply::Busy | Reply::Unknown => self.due = self.due.min(now + self.time / 12),
            _ => {}
        }
    }

    /// The token to act under, for an act that takes so long; `None` where it might not end in time.
    pub fn may(&self, now: Nanos, takes: Nanos) -> Option<Token> {
        self.held.filter(|held| now + takes < held.until).map(|held| held.token)
    }

    /// Whether this is its holder.
    pub fn is(&self, who: &Holder) -> bool {
        self.who == *who
    }

    pub fn held(&self) -> Option<Held> {
        self.held
    }

    /// Stops at once, and says what to send so that others need not wait for the time to end.
    pub fn give_back(&mut self, now: Nanos, number: u64) -> Option<Ask> {
        self.drop_ended(now);
        // What is still on its way counts no more.
        self.open.clear();
        let Held { token, .. } = self.held.take()?;
        self.due = now + self.time / 3;
        Some(self.numbered(now, number, Want::GiveBack(self.name.clone(), token)))
    }

    fn numbered(&mut self, now: Nanos, number: u64, want: Want) -> Ask {
        self.open.insert(number, (now, matches!(want, Want::Renew(..))));
        while self.open.len() > OPEN {
            self.open.pop_first();
        }
        Ask { id: AskId { who: self.who.clone(), number }, want }
    }

    fn drop_ended(&mut self, now: Nanos) {
        if self.held.is_some_and(|held| now >= held.until) {
            self.held = None;
            self.due = self.due.min(now);
        }
    }
}
