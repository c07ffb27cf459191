//! The publisher, driven by the holder of the lease `carrier`: it takes proposed changes in batches, writes
//! them into the record under the token of the lease, and gives them to the tree node of its process once
//! they are settled, that is once they are in the record. The record keeps only the changes that are not yet
//! known to be on the disks of a majority of the control machines; a majority has everything older.

use crate::resource::{MAX_NAME_BYTES, Name, Resource, Scope, Version, invalid_name};
use crate::{MILLISECOND, Nanos, SECOND};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// The maximum number of changes that wait to be written.
const MAX_WAITING_CHANGES: usize = 1_024;
/// The maximum size of one batch and of all unconfirmed changes, in bytes of the record.
const MAX_BATCH_BYTES: usize = 24 * 1024;
const MAX_UNCONFIRMED_BYTES: usize = 32 * 1024;
/// How long changes wait for room in the record before they are refused.
const ROOM_TIMEOUT: Nanos = 5 * SECOND;
/// The delay before the record is read again after a failed read: the first at the beginning, twice as much
/// each time, up to the second.
const READ_BACKOFF: [Nanos; 2] = [250 * MILLISECOND, 2 * SECOND];
/// The maximum length of a patch, in bytes.
const MAX_PATCH_BYTES: usize = 16 * 1024;

/// What a [`Publisher`] needs from the process that it runs in.
pub trait PublisherHost {
    /// Reads the record; the result is reported by `record_read` or `record_read_failed`.
    fn read_record(&mut self);
    /// Writes the value `carrier` of the record under the token of the lease, if the version of the value in
    /// the record is still this one, 0 if there was no value. The result is reported by `record_written`.
    fn write_record(&mut self, text: String, version: u64);
    /// Passes settled changes to `TreeNode::publish`.
    fn publish(&mut self, version: Version, resources: Vec<Resource>);
    /// Answers the proposal with this number.
    fn answer(&mut self, number: u64, outcome: ChangeOutcome);
    /// Gives the lease back because this process holds too little or may not publish any longer. The
    /// publisher is to be dropped.
    fn release_lease(&mut self);
}

/// A change of one resource: its new patch, or its removal if there is no patch.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Change {
    pub scope: Scope,
    pub name: Name,
    /// JSON text of a merge patch: an object of at most 16 KiB.
    pub patch: Option<String>,
}

/// The outcome of a proposal.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ChangeOutcome {
    /// The changes are in the record, as this version.
    Settled(Version),
    /// None of the changes was written, for this reason.
    Refused(String),
    /// The changes may have been written or not.
    Unknown,
}

/// The outcome of a write to the record.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum WriteOutcome {
    /// It is in the record, under this version of the value.
    Committed(u64),
    /// It is not in the record and never will be: the lease is lost, or another process wrote the value.
    Refused,
    /// It may be in the record or not.
    Unknown,
}

/// The value `carrier` of the record, as JSON.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
struct RecordValue {
    version: Version,
    /// A majority of the control machines has this version on disk; `changes` has everything that changed
    /// since.
    base: Version,
    changes: Vec<Resource>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum State {
    Reading,
    /// Waits until this time to read the record again.
    ReadBackoff(Nanos),
    Ready,
    Writing,
    /// Publishes no longer, for this reason.
    Stopped(String),
}

/// Changes that were proposed together: they become one version.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Proposal {
    number: u64,
    changes: Vec<Change>,
    size: usize,
}

/// Writes proposed changes into the record and publishes them, as long as its process holds the lease
/// `carrier`.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Publisher {
    state: State,
    epoch: u64,
    /// The value that was last read or written, and its version in the record.
    value: RecordValue,
    value_version: u64,
    /// The highest version number that was assigned so far.
    last_number: u64,
    /// Proposals that wait to be written, the oldest first.
    proposals: VecDeque<Proposal>,
    /// Numbers of the proposals that are being written, each with its version.
    batch: Vec<(u64, Version)>,
    /// The value that is being written.
    pending: Option<RecordValue>,
    /// Whether an earlier write of the same value may have succeeded although its outcome was unknown, and
    /// whether the last write was refused.
    earlier_write_unknown: bool,
    last_write_refused: bool,
    confirmed: Version,
    /// Since when the record has no room for the next proposal.
    full_since: Option<Nanos>,
    read_backoff: Nanos,
}

impl Publisher {
    /// Starts once the process has the lease.
    pub fn start(_now: Nanos, host: &mut impl PublisherHost) -> Publisher {
        host.read_record();
        Publisher {
            state: State::Reading,
            epoch: 0,
            value: RecordValue::default(),
            value_version: 0,
            last_number: 0,
            proposals: VecDeque::new(),
            batch: Vec::new(),
            pending: None,
            earlier_write_unknown: false,
            last_write_refused: false,
            confirmed: Version::default(),
            full_since: None,
            read_backoff: READ_BACKOFF[0],
        }
    }

    /// The record was read: it was created as `epoch`, and `entry` is the text and the version of its value
    /// `carrier`, if there is one. `held` is the version that the tree node of this process holds.
    pub fn record_read(
        &mut self,
        now: Nanos,
        epoch: u64,
        entry: Option<(&str, u64)>,
        held: Version,
        host: &mut impl PublisherHost,
    ) {
        if self.state != State::Reading {
            return;
        }
        self.read_backoff = READ_BACKOFF[0];
        let value = match entry {
            None => Ok(RecordValue { version: held, base: held, changes: Vec::new() }),
            Some((text, _)) => serde_json::from_str::<RecordValue>(text),
        };
        let value = match value {
            Ok(value) => value,
            Err(error) => {
                return self.stop(&format!("cannot parse the record's value `carrier`: {error}"), host);
            }
        };
        let value_version = entry.map_or(0, |(_, version)| version);
        if let Some(pending) = self.pending.take() {
            if value == pending {
                self.answer_settled(host);
            } else if value_version != self.value_version || self.last_write_refused {
                // Another process wrote the value since, or the lease is lost: a delayed write will be
                // refused.
                return self.stop("the lease `carrier` was lost, or another process wrote the record", host);
            } else {
                // The delayed write and this one have the same content: whichever comes first, the other is
                // refused.
                return self.send_write(pending, host);
            }
        }
        self.value_version = value_version;
        if value.base > held {
            // A majority holds changes that this process lacks and that are no longer in the record.
            let reason = format!(
                "this process holds version {held}, but the record only has changes after {}",
                value.base
            );
            return self.stop(&reason, host);
        }
        if held.epoch > epoch {
            return self.stop(
                &format!(
                    "this process holds version {held}, of a later epoch than the record's epoch {epoch}"
                ),
                host,
            );
        }
        if value.version.number.max(held.number) > u64::MAX / 2 {
            // Counting never gets that far: the value was written by hand, or a disk is corrupt. Numbers must
            // keep growing.
            return self.stop(
                &format!("no version numbers are left after {} in the record and {held} here", value.version),
                host,
            );
        }
        self.epoch = epoch;
        self.last_number = self.last_number.max(value.version.number).max(held.number);
        self.state = State::Ready;
        host.publish(value.version, value.changes.clone());
        self.value = value;
        self.write_next(now, host);
    }

    fn answer_settled(&mut self, host: &mut impl PublisherHost) {
        (self.earlier_write_unknown, self.last_write_refused) = (false, false);
        for (number, version) in self.batch.drain(..) {
            host.answer(number, ChangeOutcome::Settled(version));
        }
    }

    /// The record could not be read.
    pub fn record_read_failed(&mut self, now: Nanos, _host: &mut impl PublisherHost) {
        if self.state == State::Reading {
            self.state = State::ReadBackoff(now + self.read_backoff);
            self.read_backoff = (2 * self.read_backoff).min(READ_BACKOFF[1]);
        }
    }

    /// Proposes changes that become one version, all or none. The outcome is reported by
    /// `PublisherHost::answer` with this number.
    pub fn propose(&mut self, now: Nanos, number: u64, changes: Vec<Change>, host: &mut impl PublisherHost) {
        let waiting: usize = self.proposals.iter().map(|proposal| proposal.changes.len().max(1)).sum();
        let size = changes.iter().map(change_size).sum();
        let refused = match &self.state {
            State::Stopped(reason) => Some(reason.clone()),
            _ if waiting + changes.len() > MAX_WAITING_CHANGES => {
                Some(format!("at most {MAX_WAITING_CHANGES} changes may wait to be written"))
            }
            _ if size > MAX_BATCH_BYTES => Some(format!(
                "the changes take {size} bytes of the record, {MAX_BATCH_BYTES} at most are allowed"
            )),
            _ if self.full_since.is_some_and(|since| now >= since + ROOM_TIMEOUT)
                && size > self.free_bytes() =>
            {
                Some(record_full())
            }
            _ => changes.iter().find_map(|change| validate(change).err()),
        };
        if let Some(refused) = refused {
            return host.answer(number, ChangeOutcome::Refused(refused));
        }
        self.proposals.push_back(Proposal { number, changes, size });
        self.write_next(now, host);
    }

    /// A majority of all control machines has this version on disk.
    pub fn majority_persisted(&mut self, now: Nanos, majority: Version, host: &mut impl PublisherHost) {
        if majority > self.confirmed {
            self.confirmed = majority;
            self.write_next(now, host);
        }
    }

    /// Writes the waiting proposals, and the unconfirmed changes of the value again, if no write is under
    /// way.
    fn write_next(&mut self, now: Nanos, host: &mut impl PublisherHost) {
        if self.state != State::Ready {
            return;
        }
        let version = self.value.version;
        let changes = self
            .unconfirmed()
            .map(|resource| ((resource.scope.clone(), resource.name.clone()), resource.clone()));
        let mut changes: BTreeMap<_, Resource> = changes.collect();
        let mut next = RecordValue { version, base: self.next_base(), changes: Vec::new() };
        let free_bytes = self.free_bytes();
        let mut batch_bytes = 0;
        while let Some(proposal) = self.proposals.front() {
            if batch_bytes + proposal.size > MAX_BATCH_BYTES {
                break;
            }
            if batch_bytes + proposal.size > free_bytes {
                self.full_since.get_or_insert(now);
                break;
            }
            let Some(proposal) = self.proposals.pop_front() else { break };
            (batch_bytes, self.full_since) = (batch_bytes + proposal.size, None);
            self.last_number = self.last_number.saturating_add(1);
            next.version = Version { epoch: self.epoch, number: self.last_number };
            for Change { scope, name, patch } in proposal.changes {
                let patch = patch.map(Into::into);
                let key = (scope.clone(), name.clone());
                changes.insert(key, Resource { scope, name, version: next.version, patch });
            }
            self.batch.push((proposal.number, next.version));
        }
        if batch_bytes == 0 && self.batch.is_empty() {
            if version.epoch == self.epoch {
                return;
            }
            // The record was created anew. Changes that were settled and lost with the old record may be held
            // by some processes and not by others: a new version makes all of them hold what this process
            // holds.
            self.last_number = self.last_number.saturating_add(1);
            next.version = Version { epoch: self.epoch, number: self.last_number };
        }
        next.changes = changes.into_values().collect();
        next.changes.sort_by_key(|resource| resource.version);
        self.send_write(next, host);
    }

    /// The base of the next value that is written: the newest version that a majority has on disk.
    fn next_base(&self) -> Version {
        self.value.base.max(self.confirmed.min(self.value.version))
    }

    fn unconfirmed(&self) -> impl Iterator<Item = &Resource> {
        let base = self.next_base();
        self.value.changes.iter().filter(move |resource| resource.version > base)
    }

    /// The room for more changes, in bytes of the record.
    fn free_bytes(&self) -> usize {
        MAX_UNCONFIRMED_BYTES.saturating_sub(self.unconfirmed().map(resource_size).sum())
    }

    fn send_write(&mut self, next: RecordValue, host: &mut impl PublisherHost) {
        match serde_json::to_string(&next) {
            Ok(text) => {
                (self.state, self.pending) = (State::Writing, Some(next));
                host.write_record(text, self.value_version);
            }
            Err(error) => self.stop(&format!("cannot encode the changes: {error}"), host),
        }
    }

    /// The write to the record has ended with this outcome.
    pub fn record_written(&mut self, now: Nanos, outcome: WriteOutcome, host: &mut impl PublisherHost) {
        if self.state != State::Writing {
            return;
        }
        match outcome {
            WriteOutcome::Committed(value_version) => {
                let Some(next) = self.pending.take() else { return };
                let previous = std::mem::replace(&mut self.value, next).version;
                (self.value_version, self.state) = (value_version, State::Ready);
                let new = self.value.changes.iter().filter(|resource| resource.version > previous).cloned();
                host.publish(self.value.version, new.collect());
                self.answer_settled(host);
                self.write_next(now, host);
            }
            // It may have been refused because an earlier write of the same value succeeded.
            WriteOutcome::Refused if self.earlier_write_unknown => {
                self.last_write_refused = true;
                self.read_again(host);
            }
            WriteOutcome::Refused => {
                let reason = "this process no longer publishes: the lease `carrier` was lost, or another \
                              process wrote the record";
                for (number, _) in std::mem::take(&mut self.batch) {
                    host.answer(number, ChangeOutcome::Refused(reason.into()));
                }
                self.stop(reason, host);
            }
            WriteOutcome::Unknown => {
                self.earlier_write_unknown = true;
                self.read_again(host);
            }
        }
    }

    fn read_again(&mut self, host: &mut impl PublisherHost) {
        self.state = State::Reading;
        host.read_record();
    }

    /// Stops publishing. The outcome of the proposals that are being written is unknown; those that wait were
    /// not written.
    fn stop(&mut self, reason: &str, host: &mut impl PublisherHost) {
        for (number, _) in std::mem::take(&mut self.batch) {
            host.answer(number, ChangeOutcome::Unknown);
        }
        for proposal in std::mem::take(&mut self.proposals) {
            host.answer(proposal.number, ChangeOutcome::Refused(reason.into()));
        }
        self.state = State::Stopped(reason.into());
        host.release_lease();
    }

    /// Does everything that is due by now.
    pub fn tick(&mut self, now: Nanos, host: &mut impl PublisherHost) {
        match self.state {
            State::ReadBackoff(until) if now >= until => self.read_again(host),
            _ => {}
        }
        if self.full_since.is_some_and(|since| now >= since + ROOM_TIMEOUT) {
            for proposal in std::mem::take(&mut self.proposals) {
                host.answer(proposal.number, ChangeOutcome::Refused(record_full()));
            }
        }
    }

    /// The latest time at which `tick` must be called next. Any other call may change it.
    pub fn due(&self) -> Nanos {
        let read_at = match self.state {
            State::ReadBackoff(until) => until,
            _ => Nanos::MAX,
        };
        let room_deadline = self
            .full_since
            .filter(|_| !self.proposals.is_empty())
            .map_or(Nanos::MAX, |since| since + ROOM_TIMEOUT);
        read_at.min(room_deadline)
    }
}

/// The reason for a refusal because the record has no room.
fn record_full() -> String {
    format!(
        "the record is full: it has room for {MAX_UNCONFIRMED_BYTES} bytes of changes that are not yet on \
         the disks of a majority of the control machines"
    )
}

/// Checks the names and the patch of a change; the error says what is wrong with which name or patch.
fn validate(change: &Change) -> Result<(), String> {
    let Change { scope, name, patch } = change;
    if let Some(invalid) = invalid_name(scope, name) {
        let begin: String = invalid.chars().take(40).collect();
        return Err(format!(
            "the name `{begin}` has {} bytes, 1 to {MAX_NAME_BYTES} are allowed",
            invalid.len()
        ));
    }
    let Some(patch) = patch else { return Ok(()) };
    if patch.len() > MAX_PATCH_BYTES {
        return Err(format!(
            "the patch of `{name}` for {scope} has {} bytes, {MAX_PATCH_BYTES} at most are allowed",
            patch.len()
        ));
    }
    match serde_json::from_str::<serde_json::Map<String, serde_json::Value>>(patch) {
        Ok(_) => Ok(()),
        Err(error) => Err(format!("the patch of `{name}` for {scope} is not a JSON object: {error}")),
    }
}

/// The maximum size of a change in the record, in bytes.
fn change_size(change: &Change) -> usize {
    let resource = Resource {
        scope: change.scope.clone(),
        name: change.name.clone(),
        version: Version { epoch: u64::MAX, number: u64::MAX },
        patch: change.patch.as_deref().map(Into::into),
    };
    resource_size(&resource)
}

fn resource_size(resource: &Resource) -> usize {
    serde_json::to_string(resource).map_or(usize::MAX / 4, |text| text.len() + 1)
}
