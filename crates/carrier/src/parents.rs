//! Whom to call: candidates in an order of the process's own, one link at a time.

use crate::hash::hash;
use crate::node::Host;
use crate::resource::Name;
use crate::{MILLISECOND, Nanos, SECOND};

/// Without a word from the parent for so long, or without an answer to a call, it is taken for lost.
const SILENT: Nanos = 2 * SECOND;
/// A parent whose knowledge is older than this is left for another.
pub(crate) const OLD: Nanos = 4 * SECOND;
/// The wait before the next candidate is called is by chance up to this, twice as much each time, up to the other.
const REDIAL: [Nanos; 2] = [100 * MILLISECOND, 3 * SECOND];
/// Those who find their parent old leave it within this time, by chance, and not all at once.
const SPREAD: Nanos = SECOND;
/// Where all are old another is asked after half of this up to all of it, twice as much each time, up to the other.
const RARELY: [Nanos; 2] = [10 * SECOND, 60 * SECOND];
/// On a later candidate: an earlier one is tried again after half of this up to all of it.
const HOME: Nanos = 60 * SECOND;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Link {
    /// The next call is at this time.
    None(Nanos),
    /// Called, at this time.
    Called(Nanos),
    /// Up, and heard from last at this time.
    Up(Nanos),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Parents {
    candidates: Vec<Name>,
    at: usize,
    link: Link,
    /// Calls in a row that brought nothing.
    vain: u32,
    /// An earlier candidate is tried: where it goes straight back to if that one is no better.
    back: Option<usize>,
    /// When the parent's knowledge was that of the root, or the link came up.
    fresh: Nanos,
    /// When another is asked because all are old, and how long the last wait was at most.
    old: Option<(Nanos, Nanos)>,
    /// When an earlier candidate is tried, and how often that was done.
    home: Nanos,
    tried: usize,
}

impl Parents {
    /// Each tier in rendezvous order by the process's own name, and never itself.
    pub fn new(now: Nanos, me: &str, tiers: &[Vec<Name>], host: &mut impl Host) -> Parents {
        let mut candidates = Vec::new();
        for tier in tiers {
            let mut tier: Vec<&Name> = tier.iter().filter(|name| *name != me).collect();
            tier.sort_by_key(|name| (hash([me.as_bytes(), name.as_bytes()]), *name));
            candidates.extend(tier.into_iter().cloned());
        }
        let first = if candidates.is_empty() { Nanos::MAX } else { now + by_chance(REDIAL[0], host) };
        let (link, home) = (Link::None(first), Nanos::MAX);
        Parents { candidates, at: 0, link, vain: 0, back: None, fresh: now, old: None, home, tried: 0 }
    }

    /// These from now on, of a control machine: the root, or none where it is that itself.
    pub fn set(&mut self, now: Nanos, candidates: Vec<Name>, host: &mut impl Host) {
        if self.candidates == candidates {
            return;
        }
        self.end(host);
        (self.candidates, self.at, self.vain, self.back, self.home) = (candidates, 0, 0, None, Nanos::MAX);
        self.call(now, host);
    }

    /// The parent, while there is a link to it.
    pub fn parent(&self) -> Option<&str> {
        match self.link {
            Link::Up(_) => self.candidates.get(self.at).map(Name::as_str),
            _ => None,
        }
    }

    /// Whether the link that was called for is there now.
    pub fn up(&mut self, now: Nanos) -> bool {
        let called = matches!(self.link, Link::Called(_));
        if called {
            (self.link, self.fresh) = (Link::Up(now), now);
        }
        called
    }

    pub fn heard(&mut self, now: Nanos) {
        if let Link::Up(heard) = &mut self.link {
            *heard = now;
        }
    }

    /// The parent told how old its knowledge is; `None` where it is behind this process.
    pub fn pulse(&mut self, now: Nanos, age: Option<Nanos>, host: &mut impl Host) {
        self.vain = 0;
        match age.filter(|age| *age <= OLD) {
            Some(age) => {
                self.fresh = self.fresh.max(now.saturating_sub(age));
                (self.old, self.back) = (None, None);
                if self.at > 0 && self.home == Nanos::MAX {
                    self.home = now + HOME / 2 + by_chance(HOME / 2, host);
                }
            }
            None if self.back.is_some() => {
                self.end(host);
                self.lost(now, host);
            }
            None => {}
        }
    }

    /// The link is gone, or turned away.
    pub fn lost(&mut self, now: Nanos, host: &mut impl Host) {
        if self.candidates.is_empty() {
            self.link = Link::None(Nanos::MAX);
            return;
        }
        if let Some(back) = self.back.take() {
            self.at = back;
            return self.call(now, host);
        }
        self.at = (self.at + 1) % self.candidates.len();
        let most = (REDIAL[0] << self.vain.min(10)).min(REDIAL[1]);
        self.vain += 1;
        self.home = Nanos::MAX;
        self.link = Link::None(now + by_chance(most, host));
    }

    /// Ends the link, or the call, if there is one.
    pub fn end(&mut self, host: &mut impl Host) {
        if !matches!(self.link, Link::None(_)) {
            host.hang_up();
        }
        self.link = Link::None(Nanos::MAX);
    }

    /// Longer after calls in vain: where thousands call at once an answer takes its time, and giving up on it too soon only
    /// makes more calls.
    fn patience(&self) -> Nanos {
        SILENT << self.vain.min(2)
    }

    fn call(&mut self, now: Nanos, host: &mut impl Host) {
        self.link = Link::None(Nanos::MAX);
        if let Some(name) = self.candidates.get(self.at) {
            self.link = Link::Called(now);
            host.dial(name);
        }
    }

    /// Whether the link that was up has been ended by it.
    pub fn tick(&mut self, now: Nanos, host: &mut impl Host) -> bool {
        match self.link {
            Link::None(next) if now >= next => {
                self.call(now, host);
                false
            }
            Link::Called(since) | Link::Up(since) if now >= since + self.patience() => {
                self.end(host);
                self.lost(now, host);
                true
            }
            Link::Up(_) if now >= self.fresh + OLD && self.candidates.len() > 1 => {
                let (next, wait) = *self.old.get_or_insert_with(|| (now + by_chance(SPREAD, host), 0));
                if now < next {
                    return false;
                }
                // Where this one is no younger it stays there: a crowd must not go round and round.
                let wait = if wait == 0 { RARELY[0] } else { (2 * wait).min(RARELY[1]) };
                self.old = Some((now + wait / 2 + by_chance(wait / 2, host), wait));
                self.end(host);
                (self.at, self.home) = ((self.at + 1) % self.candidates.len(), Nanos::MAX);
                self.call(now, host);
                true
            }
            Link::Up(_) if now >= self.home && self.at > 0 => {
                self.home = Nanos::MAX;
                self.end(host);
                (self.back, self.at) = (Some(self.at), self.tried % self.at);
                self.tried = self.tried.wrapping_add(1);
                self.call(now, host);
                true
            }
            _ => false,
        }
    }

    pub fn due(&self) -> Nanos {
        match self.link {
            Link::None(next) => next,
            Link::Called(since) => since + self.patience(),
            Link::Up(heard) => {
                let old = self.old.map_or(self.fresh + OLD, |(next, _)| next.max(self.fresh + OLD));
                let old = if self.candidates.len() > 1 { old } else { Nanos::MAX };
                (heard + self.patience()).min(old).min(self.home)
            }
        }
    }
}

fn by_chance(most: Nanos, host: &mut impl Host) -> Nanos {
    (most as f64 * host.chance()) as Nanos
}
