//! Whoever holds the lease `carrier` publishes: it takes changes in batches, writes them into the record under its token,
//! and gives them to its node once they are settled. The record has the changes that not yet a majority of the control
//! machines is known to have on disk; what came before, a majority has.

use crate::resource::{NAME, Name, Resource, Scope, Version, wrong_name};
use crate::{MILLISECOND, Nanos, SECOND};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Changes that wait at once.
const WAITING: usize = 1_024;
/// A batch takes at most so many bytes of the record, and all that is not confirmed at most the other.
const BATCH: usize = 24 * 1024;
const TAIL: usize = 32 * 1024;
/// Changes wait so long for room in the record before they are refused.
const FULL: Nanos = 5 * SECOND;
/// After a read that failed the next comes after this, twice as much each time, up to the other.
const READ_AGAIN: [Nanos; 2] = [250 * MILLISECOND, 2 * SECOND];
/// The longest patch, in bytes.
const PATCH: usize = 16 * 1024;

/// What a publisher asks of the process that it lives in.
pub trait PublisherHost {
    /// The record; comes back as `read` or `read_failed`.
    fn read(&mut self);
    /// The value `carrier`, under the token of the lease, if its version in the record is still this one, 0 where it was
    /// not there. Comes back as `written`.
    fn write(&mut self, text: String, version: u64);
    /// To `Node::publish`.
    fn publish(&mut self, version: Version, resources: Vec<Resource>);
    /// To whoever offered under this number.
    fn answer(&mut self, number: u64, outcome: Outcome);
    /// The lease: this process holds too little, or may publish no more. It is to be dropped.
    fn give_back(&mut self);
}

/// One resource to be written, or removed where there is no patch.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Change {
    pub scope: Scope,
    pub name: Name,
    /// JSON text of a merge patch: an object of at most 16 KiB.
    pub patch: Option<String>,
}

/// What became of an offer.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Outcome {
    /// In the record, as this version.
    Settled(Version),
    /// Nothing of it was written, for this reason.
    Refused(String),
    /// It may have been written or not.
    Unknown,
}

/// What became of a write.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Written {
    /// It is in the record, under this version of the record.
    Done(u64),
    /// It is not, and will not be: the lease is lost, or somebody else wrote.
    Refused,
    Unknown,
}

/// The value `carrier` of the record.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
struct Tail {
    version: Version,
    /// A majority of the control machines has this on disk; what was changed since is here.
    base: Version,
    changes: Vec<Resource>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Doing {
    Reading,
    /// Reads again at this time.
    Paused(Nanos),
    Ready,
    Writing,
    /// It publishes no more, for this reason.
    Stopped(String),
}

/// Changes that were offered as one: they become one version.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Offer {
    number: u64,
    changes: Vec<Change>,
    size: usize,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Publisher {
    doing: Doing,
    epoch: u64,
    /// The record's, as it was read or written last, and its version there.
    tail: Tail,
    entry: u64,
    /// The highest number given so far.
    number: u64,
    /// Waiting to be written, the oldest first.
    offers: VecDeque<Offer>,
    /// On their way into the record, each with its version.
    batch: Vec<(u64, Version)>,
    /// What the record will have with them.
    pending: Option<Tail>,
    /// Whether an earlier write of the same may have got there without a word, and whether the last was refused.
    unsure: bool,
    refused: bool,
    confirmed: Version,
    /// Since when the record has no room for the next offer.
    full: Option<Nanos>,
    pause: Nanos,
}

impl Publisher {
    /// The lease was got.
    pub fn start(_now: Nanos, host: &mut impl PublisherHost) -> Publisher {
        host.read();
        Publisher {
            doing: Doing::Reading,
            epoch: 0,
            tail: Tail::default(),
            entry: 0,
            number: 0,
            offers: VecDeque::new(),
            batch: Vec::new(),
            pending: None,
            unsure: false,
            refused: false,
            confirmed: Version::default(),
            full: None,
            pause: READ_AGAIN[0],
        }
    }

    /// The record was founded as `epoch`, and has this text and version of the value `carrier`. `holds` is what the node
    /// of this process holds.
    pub fn read(
        &mut self,
        now: Nanos,
        epoch: u64,
        entry: Option<(&str, u64)>,
        holds: Version,
        host: &mut impl PublisherHost,
    ) {
        if self.doing != Doing::Reading {
            return;
        }
        self.pause = READ_AGAIN[0];
        let tail = match entry {
            None => Ok(Tail { version: holds, base: holds, changes: Vec::new() }),
            Some((text, _)) => serde_json::from_str::<Tail>(text),
        };
        let tail = match tail {
            Ok(tail) => tail,
            Err(error) => {
                return self.stop(&format!("the record's value `carrier` can't be read: {error}"), host);
            }
        };
        let entry = entry.map_or(0, |(_, version)| version);
        if let Some(pending) = self.pending.take() {
            if tail == pending {
                self.answer_settled(host);
            } else if entry != self.entry || self.refused {
                // Somebody else wrote after it, or the lease is lost: a write that comes late is refused.
                return self.stop("the lease `carrier` was lost, or somebody else wrote", host);
            } else {
                // Whichever of the two writes comes first, the other is refused; both say the same.
                return self.send(pending, host);
            }
        }
        self.entry = entry;
        if tail.base > holds {
            // A majority holds what this one lacks; the record has it no more.
            let words = format!("this process holds {holds}, the record only what came after {}", tail.base);
            return self.stop(&words, host);
        }
        if holds.epoch > epoch {
            return self.stop(&format!("this process holds {holds}, of a later founding than {epoch}"), host);
        }
        if tail.version.number.max(holds.number) > u64::MAX / 2 {
            // Nobody counts that far: it was written by hand, or a disk lies. Numbers must go on growing.
            return self.stop(&format!("no numbers are left after {} and {holds}", tail.version), host);
        }
        self.epoch = epoch;
        self.number = self.number.max(tail.version.number).max(holds.number);
        self.doing = Doing::Ready;
        host.publish(tail.version, tail.changes.clone());
        self.tail = tail;
        self.write(now, host);
    }

    fn answer_settled(&mut self, host: &mut impl PublisherHost) {
        (self.unsure, self.refused) = (false, false);
        for (number, version) in self.batch.drain(..) {
            host.answer(number, Outcome::Settled(version));
        }
    }

    /// The record could not be read.
    pub fn read_failed(&mut self, now: Nanos, _host: &mut impl PublisherHost) {
        if self.doing == Doing::Reading {
            self.doing = Doing::Paused(now + self.pause);
            self.pause = (2 * self.pause).min(READ_AGAIN[1]);
        }
    }

    /// Changes that become one version, all or none.
    pub fn offered(&mut self, now: Nanos, number: u64, changes: Vec<Change>, host: &mut impl PublisherHost) {
        let waiting: usize = self.offers.iter().map(|offer| offer.changes.len().max(1)).sum();
        let size = changes.iter().map(size).sum();
        let refused = match &self.doing {
            Doing::Stopped(why) => Some(why.clone()),
            _ if waiting + changes.len() > WAITING => {
                Some(format!("{WAITING} changes at most may wait to be written"))
            }
            _ if size > BATCH => {
                Some(format!("the changes take {size} bytes of the record, {BATCH} at most may"))
            }
            _ if self.full.is_some_and(|since| now >= since + FULL) && size > self.room() => Some(full()),
            _ => changes.iter().find_map(|change| wrong(change).err()),
        };
        if let Some(refused) = refused {
            return host.answer(number, Outcome::Refused(refused));
        }
        self.offers.push_back(Offer { number, changes, size });
        self.write(now, host);
    }

    /// What a majority of all control machines has on disk.
    pub fn confirmed(&mut self, now: Nanos, majority: Version, host: &mut impl PublisherHost) {
        if majority > self.confirmed {
            self.confirmed = majority;
            self.write(now, host);
        }
    }

    /// Writes what waits, and what of the tail is not confirmed yet, if nothing is on its way.
    fn write(&mut self, now: Nanos, host: &mut impl PublisherHost) {
        if self.doing != Doing::Ready {
            return;
        }
        let version = self.tail.version;
        let kept = self
            .unconfirmed()
            .map(|resource| ((resource.scope.clone(), resource.name.clone()), resource.clone()));
        let mut kept: BTreeMap<_, Resource> = kept.collect();
        let mut next = Tail { version, base: self.base(), changes: Vec::new() };
        let room = self.room();
        let mut batch = 0;
        while let Some(offer) = self.offers.front() {
            if batch + offer.size > BATCH {
                break;
            }
            if batch + offer.size > room {
                self.full.get_or_insert(now);
                break;
            }
            let Some(offer) = self.offers.pop_front() else { break };
            (batch, self.full) = (batch + offer.size, None);
            self.number = self.number.saturating_add(1);
            next.version = Version { epoch: self.epoch, number: self.number };
            for Change { scope, name, patch } in offer.changes {
                let patch = patch.map(Into::into);
                let key = (scope.clone(), name.clone());
                kept.insert(key, Resource { scope, name, version: next.version, patch });
            }
            self.batch.push((offer.number, next.version));
        }
        if batch == 0 && self.batch.is_empty() {
            if version.epoch == self.epoch {
                return;
            }
            // The record was founded anew. What was settled and lost with the old one may be held by some and not by
            // others: under a new version all come to hold what this process holds.
            self.number = self.number.saturating_add(1);
            next.version = Version { epoch: self.epoch, number: self.number };
        }
        next.changes = kept.into_values().collect();
        next.changes.sort_by_key(|resource| resource.version);
        self.send(next, host);
    }

    /// What a majority has, the next time that the record is written.
    fn base(&self) -> Version {
        self.tail.base.max(self.confirmed.min(self.tail.version))
    }

    fn unconfirmed(&self) -> impl Iterator<Item = &Resource> {
        let base = self.base();
        self.tail.changes.iter().filter(move |resource| resource.version > base)
    }

    /// For more changes, in bytes of the record.
    fn room(&self) -> usize {
        TAIL.saturating_sub(self.unconfirmed().map(size_of).sum())
    }

    fn send(&mut self, next: Tail, host: &mut impl PublisherHost) {
        match serde_json::to_string(&next) {
            Ok(text) => {
                (self.doing, self.pending) = (Doing::Writing, Some(next));
                host.write(text, self.entry);
            }
            Err(error) => self.stop(&format!("the changes can't be written: {error}"), host),
        }
    }

    /// What became of the write.
    pub fn written(&mut self, now: Nanos, written: Written, host: &mut impl PublisherHost) {
        if self.doing != Doing::Writing {
            return;
        }
        match written {
            Written::Done(entry) => {
                let Some(next) = self.pending.take() else { return };
                let before = std::mem::replace(&mut self.tail, next).version;
                (self.entry, self.doing) = (entry, Doing::Ready);
                let new = self.tail.changes.iter().filter(|resource| resource.version > before).cloned();
                host.publish(self.tail.version, new.collect());
                self.answer_settled(host);
                self.write(now, host);
            }
            // An earlier write of the same may be what this one met.
            Written::Refused if self.unsure => {
                self.refused = true;
                self.read_now(host);
            }
            Written::Refused => {
                let words =
                    "this process publishes no more: the lease `carrier` was lost, or somebody else wrote";
                for (number, _) in std::mem::take(&mut self.batch) {
                    host.answer(number, Outcome::Refused(words.into()));
                }
                self.stop(words, host);
            }
            Written::Unknown => {
                self.unsure = true;
                self.read_now(host);
            }
        }
    }

    fn read_now(&mut self, host: &mut impl PublisherHost) {
        self.doing = Doing::Reading;
        host.read();
    }

    /// Publishes no more. What may have got into the record nobody knows; the rest did not.
    fn stop(&mut self, words: &str, host: &mut impl PublisherHost) {
        for (number, _) in std::mem::take(&mut self.batch) {
            host.answer(number, Outcome::Unknown);
        }
        for offer in std::mem::take(&mut self.offers) {
            host.answer(offer.number, Outcome::Refused(words.into()));
        }
        self.doing = Doing::Stopped(words.into());
        host.give_back();
    }

    /// Some time has passed.
    pub fn tick(&mut self, now: Nanos, host: &mut impl PublisherHost) {
        match self.doing {
            Doing::Paused(until) if now >= until => self.read_now(host),
            _ => {}
        }
        if self.full.is_some_and(|since| now >= since + FULL) {
            for offer in std::mem::take(&mut self.offers) {
                host.answer(offer.number, Outcome::Refused(full()));
            }
        }
    }

    /// When `tick` wants to be called next, at the latest; any event may move it.
    pub fn due(&self) -> Nanos {
        let paused = match self.doing {
            Doing::Paused(until) => until,
            _ => Nanos::MAX,
        };
        let full = self.full.filter(|_| !self.offers.is_empty()).map_or(Nanos::MAX, |since| since + FULL);
        paused.min(full)
    }
}

fn full() -> String {
    format!(
        "the record has no room: {TAIL} bytes of changes wait in it for a majority of the control machines to have them \
         on disk"
    )
}

/// What is wrong with a change, in words that name it.
fn wrong(change: &Change) -> Result<(), String> {
    let Change { scope, name, patch } = change;
    if let Some(one) = wrong_name(scope, name) {
        let begin: String = one.chars().take(40).collect();
        return Err(format!("the name `{begin}` has {} bytes, 1 to {NAME} are allowed", one.len()));
    }
    let Some(patch) = patch else { return Ok(()) };
    if patch.len() > PATCH {
        return Err(format!(
            "the patch of `{name}` for {scope} has {} bytes, {PATCH} at most are allowed",
            patch.len()
        ));
    }
    match serde_json::from_str::<serde_json::Map<String, serde_json::Value>>(patch) {
        Ok(_) => Ok(()),
        Err(error) => Err(format!("the patch of `{name}` for {scope} is no JSON object: {error}")),
    }
}

/// In bytes of the record, at most.
fn size(change: &Change) -> usize {
    let resource = Resource {
        scope: change.scope.clone(),
        name: change.name.clone(),
        version: Version { epoch: u64::MAX, number: u64::MAX },
        patch: change.patch.as_deref().map(Into::into),
    };
    size_of(&resource)
}

fn size_of(resource: &Resource) -> usize {
    serde_json::to_string(resource).map_or(usize::MAX / 4, |text| text.len() + 1)
}
