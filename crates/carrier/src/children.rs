//! The children of a process: what each holds, and what is on its way to it.

use crate::message::{Attachment, Down, Sum};
use crate::node::{Child, Host};
use crate::planted::{Fault, planted};
use crate::resource::{Interest, Version};
use crate::store::{Cursor, Store};
use crate::{MILLISECOND, Nanos, SECOND};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

const PULSE: Nanos = SECOND;
/// What was sent counts against a child's bytes a second for somewhat longer: on their way messages draw nearer to each other.
const SPENT: Nanos = SECOND + SECOND / 4;
/// A pulse that moves a child for which nothing changed comes this long after the last one, at the soonest.
const EARLY: Nanos = 250 * MILLISECOND;
/// One that says nothing for so long, or leaves a part without an answer, holds a place that others need.
const STALLED: Nanos = 10 * SECOND;
/// No part is cut smaller than this for want of bytes in a second; more of them come with the next.
pub(crate) const LEAST_PART: usize = 1_024;
/// What a part takes beside its resources, and a pulse, in bytes at most.
const FRAME: usize = 64;
const PULSE_BYTES: usize = 48;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Sending {
    after: Version,
    /// At which version a whole set was begun.
    whole: Option<Version>,
    from: Cursor,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Subscriber {
    pub who: Option<(Attachment, Interest)>,
    /// What it holds, as it said, and the digest of that.
    pub holds: (Version, u64),
    /// Of a control machine: what it has on disk.
    pub on_disk: Option<Version>,
    /// What it said of those at and below it.
    pub sum: Option<Sum>,
    /// The oldest version that is held here and not in force there, and since when.
    pub behind: Option<(Version, Nanos)>,
    sending: Option<Sending>,
    /// A part is on its way: the version that its last one leads to, and since when.
    part: Option<(Option<Version>, Nanos)>,
    /// A whole set was sent at this version: where its digest differs after that, sending it again would not help.
    whole_at: Option<Version>,
    /// Bytes sent in the last second, and when.
    spent: VecDeque<(Nanos, usize)>,
    pulsed: Nanos,
    pulse_at: Nanos,
    heard: Nanos,
    due: Nanos,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Children {
    of: BTreeMap<Child, Subscriber>,
    agenda: BTreeSet<(Nanos, Child)>,
}

/// What a child is sent from, and within which of.
#[derive(Clone, Copy)]
pub(crate) struct Served<'a> {
    pub store: &'a Store,
    pub age: Nanos,
    pub bytes_per_second: usize,
    pub part_bytes: usize,
}

impl Children {
    pub fn len(&self) -> usize {
        self.of.len()
    }

    pub fn iter(&self) -> impl Iterator<Item = (&Child, &Subscriber)> {
        self.of.iter()
    }

    /// Those that serve nobody themselves.
    pub fn proxies(&self) -> usize {
        let proxy = |one: &&Subscriber| matches!(one.who, Some((_, Interest::Proxy(..))));
        self.of.values().filter(proxy).count()
    }

    pub fn numbers(&self) -> Vec<Child> {
        self.of.keys().copied().collect()
    }

    pub fn get(&mut self, child: Child) -> Option<&mut Subscriber> {
        self.of.get_mut(&child)
    }

    pub fn add(&mut self, now: Nanos, child: Child) {
        let due = now + STALLED;
        self.agenda.insert((due, child));
        let new = Subscriber {
            who: None,
            holds: Default::default(),
            on_disk: None,
            sum: None,
            behind: None,
            sending: None,
            part: None,
            whole_at: None,
            spent: VecDeque::new(),
            pulsed: now,
            pulse_at: now,
            heard: now,
            due,
        };
        self.of.insert(child, new);
    }

    pub fn remove(&mut self, child: Child) -> Option<Subscriber> {
        let gone = self.of.remove(&child)?;
        self.agenda.remove(&(gone.due, child));
        Some(gone)
    }

    pub fn due(&self) -> Nanos {
        self.agenda.first().map_or(Nanos::MAX, |(due, _)| *due)
    }

    /// Those whose time has come.
    pub fn at(&self, now: Nanos) -> Vec<Child> {
        self.agenda.iter().take_while(|(due, _)| *due <= now).map(|(_, child)| *child).collect()
    }

    /// Sends this child what may be sent now; `false` where it has stalled.
    pub fn serve(&mut self, now: Nanos, child: Child, of: Served, host: &mut impl Host) -> bool {
        let Some(one) = self.of.get_mut(&child) else { return true };
        let mut due = one.heard + STALLED;
        if let Some((_, since)) = one.part {
            due = due.min(since + STALLED);
        }
        if now >= due {
            return false;
        }
        if let Some((_, wants)) = one.who.clone() {
            due = due.min(one.next_part(now, child, &wants, of, host));
            if now >= one.pulse_at {
                one.pulse(now, child, &wants, of, host);
            }
            due = due.min(one.pulse_at);
        }
        self.agenda.remove(&(one.due, child));
        one.due = due;
        self.agenda.insert((due, child));
        true
    }
}

impl Subscriber {
    pub fn heard(&mut self, now: Nanos) {
        self.heard = now;
    }

    /// It has taken a part that was not the last.
    pub fn took(&mut self) {
        if matches!(self.part, Some((None, _))) {
            self.part = None;
        }
    }

    /// It holds this now.
    pub fn holds(&mut self, version: Version, digest: u64) {
        self.holds = (version, digest);
        if let Some((Some(until), _)) = self.part
            && version >= until
        {
            (self.part, self.sending) = (None, None);
        }
    }

    /// Its first pulse comes at once.
    pub fn subscribed(
        &mut self,
        now: Nanos,
        who: Attachment,
        wants: Interest,
        version: Version,
        digest: u64,
    ) {
        self.who = Some((who, wants));
        self.holds = (version, digest);
        self.pulse_at = now;
    }

    /// Begins what it misses, or sends the next part of that; when to look again.
    fn next_part(
        &mut self,
        now: Nanos,
        child: Child,
        wants: &Interest,
        of: Served,
        host: &mut impl Host,
    ) -> Nanos {
        let store = of.store;
        if self.part.is_some() {
            return Nanos::MAX;
        }
        if self.sending.is_none() {
            self.begin(wants, store);
        }
        let Some(sending) = &mut self.sending else { return Nanos::MAX };
        // Marks of what was removed since it was begun may be gone: then only a new one helps.
        match &mut sending.whole {
            Some(began) if *began < store.pruned => {
                (*began, sending.from) = (store.version, Cursor::default());
            }
            None if sending.after < store.pruned => {
                (sending.whole, sending.from) = (Some(store.version), Cursor::default());
            }
            _ => {}
        }
        while self.spent.front().is_some_and(|(at, _)| at + SPENT <= now) {
            self.spent.pop_front();
        }
        let most = of.bytes_per_second.max(LEAST_PART + FRAME + PULSE_BYTES);
        let room = most
            .saturating_sub(self.spent.iter().map(|(_, bytes)| bytes).sum::<usize>() + PULSE_BYTES + FRAME);
        if room < LEAST_PART.min(of.part_bytes) {
            return self.spent.front().map_or(now, |(at, _)| at + SPENT);
        }
        let room = room.min(of.part_bytes.max(LEAST_PART) - FRAME);
        let Sending { after, whole, from } = sending;
        let part = store.part(wants, *after, *whole, from, room);
        *from = part.next;
        let bytes = FRAME + part.resources.iter().map(crate::store::size).sum::<usize>();
        self.spent.push_back((now, bytes));
        self.part = Some((part.last.then_some(store.version), now));
        if part.last && whole.is_some() {
            self.whole_at = Some(store.version);
        }
        host.send_down(
            child,
            Down::Delta {
                after: *after,
                version: store.version,
                whole: whole.is_some(),
                last: part.last,
                cut: part.cut,
                resources: part.resources,
            },
        );
        if part.last {
            self.pulse(now, child, wants, of, host);
        }
        now + STALLED
    }

    /// What is it to be sent, if anything? A parent that is behind its child sends it nothing; where nothing changed for
    /// the child a pulse carries it, soon.
    fn begin(&mut self, wants: &Interest, store: &Store) {
        let (version, digest) = self.holds;
        let same = store.digest(wants) == digest;
        let ahead = version > store.version && !planted(Fault::TakesOlder);
        if ahead || (version == store.version && same) {
            return;
        }
        if same {
            self.pulse_at = self.pulse_at.min(self.pulsed + EARLY);
            return;
        }
        let whole = version.epoch != store.version.epoch
            || version < store.pruned
            || store.delta(version, wants).next().is_none();
        if whole && self.whole_at == Some(store.version) {
            return;
        }
        let whole = whole.then_some(store.version);
        self.sending = Some(Sending { after: version, whole, from: Cursor::default() });
    }

    fn pulse(&mut self, now: Nanos, child: Child, wants: &Interest, of: Served, host: &mut impl Host) {
        let Served { store, age, .. } = of;
        let pulse = Down::Pulse { holds: store.version, digest: store.digest(wants), age };
        host.send_down(child, pulse);
        self.spent.push_back((now, PULSE_BYTES));
        (self.pulsed, self.pulse_at) = (now, now + PULSE);
    }
}
