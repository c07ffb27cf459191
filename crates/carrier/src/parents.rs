//! Chooses the parent of a process: its candidates in an order of its own, with one link at a time.

use crate::hash::hash;
use crate::node::Host;
use crate::resource::Name;
use crate::{MILLISECOND, Nanos, SECOND};

/// A parent that sends nothing for so long, or does not answer a connection request within it, counts as
/// lost.
const LINK_TIMEOUT: Nanos = 2 * SECOND;
/// A parent whose knowledge is older than this is left for another one.
pub(crate) const STALE_AGE: Nanos = 4 * SECOND;
/// The delay before connecting to the next candidate is random, up to the first of these at the beginning and
/// twice as much after each failure, up to the second.
const RECONNECT_BACKOFF: [Nanos; 2] = [100 * MILLISECOND, 3 * SECOND];
/// Children that find their parent's knowledge stale leave it after a random delay up to this, so that they
/// don't leave all at once.
const STALE_SWITCH_JITTER: Nanos = SECOND;
/// If all candidates are stale, another one is tried after a random delay between half of this and all of it:
/// the first at the beginning, twice as much each time, up to the second.
const STALE_SWITCH_BACKOFF: [Nanos; 2] = [10 * SECOND, 60 * SECOND];
/// A process whose parent is not its first candidate retries an earlier one after a random delay between half
/// of this and all of it.
const PREFERRED_RETRY_INTERVAL: Nanos = 60 * SECOND;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Link {
    /// Not connected; the next connection is opened at this time.
    Idle(Nanos),
    /// A connection was requested at this time.
    Connecting(Nanos),
    /// Connected; the parent's last message arrived at this time.
    Connected(Nanos),
}

/// The parent candidates of a process, the link to the current one, and when to switch to another.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct ParentSelector {
    candidates: Vec<Name>,
    /// Index of the candidate of the current link.
    current: usize,
    link: Link,
    /// Connections in a row that ended without a heartbeat.
    failures: u32,
    /// Set while an earlier candidate is tried: the index of the candidate to return to if the earlier one is
    /// no better.
    return_to: Option<usize>,
    /// The last time for which the parent's knowledge is known to have been current, or when the link came
    /// up.
    fresh_at: Nanos,
    /// While the parent is stale: when another candidate is tried, and the upper bound of that delay, 0 for
    /// the first one.
    stale_switch: Option<(Nanos, Nanos)>,
    /// When an earlier candidate is tried, and how often one was tried so far.
    preferred_retry_at: Nanos,
    preferred_retries: usize,
}

impl ParentSelector {
    /// Orders the candidates of each tier by rendezvous hashing with the process's own name, and leaves out
    /// the process itself.
    pub fn new(now: Nanos, own_name: &str, tiers: &[Vec<Name>], host: &mut impl Host) -> ParentSelector {
        let mut candidates = Vec::new();
        for tier in tiers {
            let mut tier: Vec<&Name> = tier.iter().filter(|name| *name != own_name).collect();
            tier.sort_by_key(|name| (hash([own_name.as_bytes(), name.as_bytes()]), *name));
            candidates.extend(tier.into_iter().cloned());
        }
        let first =
            if candidates.is_empty() { Nanos::MAX } else { now + random_delay(RECONNECT_BACKOFF[0], host) };
        let (link, preferred_retry_at) = (Link::Idle(first), Nanos::MAX);
        ParentSelector {
            candidates,
            current: 0,
            link,
            failures: 0,
            return_to: None,
            fresh_at: now,
            stale_switch: None,
            preferred_retry_at,
            preferred_retries: 0,
        }
    }

    /// Replaces the candidates of a control machine: the root, or none if the control machine is the root
    /// itself.
    pub fn set_candidates(&mut self, now: Nanos, candidates: Vec<Name>, host: &mut impl Host) {
        if self.candidates == candidates {
            return;
        }
        self.disconnect(host);
        (self.candidates, self.current, self.failures, self.return_to, self.preferred_retry_at) =
            (candidates, 0, 0, None, Nanos::MAX);
        self.connect(now, host);
    }

    /// The parent's name, or `None` while there is no link to one.
    pub fn parent(&self) -> Option<&str> {
        match self.link {
            Link::Connected(_) => self.candidates.get(self.current).map(Name::as_str),
            _ => None,
        }
    }

    /// Records that the requested link is up; `false` if none was requested.
    pub fn connected(&mut self, now: Nanos) -> bool {
        let connecting = matches!(self.link, Link::Connecting(_));
        if connecting {
            (self.link, self.fresh_at) = (Link::Connected(now), now);
        }
        connecting
    }

    /// Records that a message of the parent arrived.
    pub fn message_received(&mut self, now: Nanos) {
        if let Link::Connected(last_message) = &mut self.link {
            *last_message = now;
        }
    }

    /// Handles a heartbeat with the age of the parent's knowledge; `None` if the parent is behind this
    /// process.
    pub fn heartbeat(&mut self, now: Nanos, age: Option<Nanos>, host: &mut impl Host) {
        self.failures = 0;
        match age.filter(|age| *age <= STALE_AGE) {
            Some(age) => {
                self.fresh_at = self.fresh_at.max(now.saturating_sub(age));
                (self.stale_switch, self.return_to) = (None, None);
                if self.current > 0 && self.preferred_retry_at == Nanos::MAX {
                    self.preferred_retry_at =
                        now + PREFERRED_RETRY_INTERVAL / 2 + random_delay(PREFERRED_RETRY_INTERVAL / 2, host);
                }
            }
            None if self.return_to.is_some() => {
                self.disconnect(host);
                self.disconnected(now, host);
            }
            None => {}
        }
    }

    /// Handles a link that was lost or refused: selects the next candidate.
    pub fn disconnected(&mut self, now: Nanos, host: &mut impl Host) {
        if self.candidates.is_empty() {
            self.link = Link::Idle(Nanos::MAX);
            return;
        }
        if let Some(previous) = self.return_to.take() {
            self.current = previous;
            return self.connect(now, host);
        }
        self.current = (self.current + 1) % self.candidates.len();
        let max_delay = (RECONNECT_BACKOFF[0] << self.failures.min(10)).min(RECONNECT_BACKOFF[1]);
        self.failures += 1;
        self.preferred_retry_at = Nanos::MAX;
        self.link = Link::Idle(now + random_delay(max_delay, host));
    }

    /// Ends the link or the pending connection, if there is one.
    pub fn disconnect(&mut self, host: &mut impl Host) {
        if !matches!(self.link, Link::Idle(_)) {
            host.disconnect_parent();
        }
        self.link = Link::Idle(Nanos::MAX);
    }

    /// How long the parent may be silent. Longer after failed connections: where thousands of children
    /// connect at once an answer takes longer, and giving up too early only causes more connections.
    fn link_timeout(&self) -> Nanos {
        LINK_TIMEOUT << self.failures.min(2)
    }

    fn connect(&mut self, now: Nanos, host: &mut impl Host) {
        self.link = Link::Idle(Nanos::MAX);
        if let Some(name) = self.candidates.get(self.current) {
            self.link = Link::Connecting(now);
            host.connect_parent(name);
        }
    }

    /// Does what is due; returns whether it ended the link or the pending connection.
    pub fn tick(&mut self, now: Nanos, host: &mut impl Host) -> bool {
        match self.link {
            Link::Idle(next) if now >= next => {
                self.connect(now, host);
                false
            }
            Link::Connecting(since) | Link::Connected(since) if now >= since + self.link_timeout() => {
                self.disconnect(host);
                self.disconnected(now, host);
                true
            }
            Link::Connected(_) if now >= self.fresh_at + STALE_AGE && self.candidates.len() > 1 => {
                let (next, max_delay) = *self
                    .stale_switch
                    .get_or_insert_with(|| (now + random_delay(STALE_SWITCH_JITTER, host), 0));
                if now < next {
                    return false;
                }
                // If the next candidate is no fresher, the process stays there for the whole delay. Without
                // the delay a crowd of children would move from candidate to candidate all the time.
                let max_delay = if max_delay == 0 {
                    STALE_SWITCH_BACKOFF[0]
                } else {
                    (2 * max_delay).min(STALE_SWITCH_BACKOFF[1])
                };
                self.stale_switch =
                    Some((now + max_delay / 2 + random_delay(max_delay / 2, host), max_delay));
                self.disconnect(host);
                (self.current, self.preferred_retry_at) =
                    ((self.current + 1) % self.candidates.len(), Nanos::MAX);
                self.connect(now, host);
                true
            }
            Link::Connected(_) if now >= self.preferred_retry_at && self.current > 0 => {
                self.preferred_retry_at = Nanos::MAX;
                self.disconnect(host);
                (self.return_to, self.current) = (Some(self.current), self.preferred_retries % self.current);
                self.preferred_retries = self.preferred_retries.wrapping_add(1);
                self.connect(now, host);
                true
            }
            _ => false,
        }
    }

    /// When `tick` has something to do next; `Nanos::MAX` if nothing is planned.
    pub fn due(&self) -> Nanos {
        match self.link {
            Link::Idle(next) => next,
            Link::Connecting(since) => since + self.link_timeout(),
            Link::Connected(last_message) => {
                let stale_at = self
                    .stale_switch
                    .map_or(self.fresh_at + STALE_AGE, |(next, _)| next.max(self.fresh_at + STALE_AGE));
                let stale_at = if self.candidates.len() > 1 { stale_at } else { Nanos::MAX };
                (last_message + self.link_timeout()).min(stale_at).min(self.preferred_retry_at)
            }
        }
    }
}

/// A random duration between 0 and `max`.
fn random_delay(max: Nanos, host: &mut impl Host) -> Nanos {
    (max as f64 * host.random()) as Nanos
}
