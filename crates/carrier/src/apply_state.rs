//! Tracks which of the held resources are in force at this process.

use crate::Nanos;
use crate::fault_injection::{InjectedFault, is_injected};
use crate::message::{Exception, ExceptionKind, Member};
use crate::node::Host;
use crate::resource::{Interest, Name, Resource, Scope, Version};
use crate::store::{Key, Store};
use std::collections::{BTreeMap, BTreeSet};

/// The number of refused resources that are reported for each member, and the number of characters of each
/// reason. Both are limited because summaries are sent once a second and share the link with everything else.
const MAX_REPORTED_REFUSALS: usize = 4;
const MAX_REASON_CHARS: usize = 100;

/// A request to the process to apply a set of resources, still without an answer.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct PendingApply {
    version: Version,
    resources: BTreeMap<Key, Resource>,
    /// Resources that were refused before and whose refused version is still the held one.
    still_refused: BTreeSet<Key>,
}

/// What is in force at this process, what it refused, and the request to apply resources that is under way.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct ApplyState {
    pub in_force: Version,
    /// Since when a version newer than `in_force` is held.
    pub behind_since: Option<Nanos>,
    /// The resources that the process has in force, of those that apply to it.
    applied: BTreeMap<Key, Resource>,
    pending: Option<PendingApply>,
    /// The local configuration under the resources has changed since they were last applied.
    reapply: bool,
    /// The refused version of each refused resource and the reason, until another version of the resource is
    /// in force or the resource is removed.
    refused: BTreeMap<Key, (Version, String)>,
    /// The last good version of each refused resource.
    last_good: BTreeMap<Key, Resource>,
}

impl ApplyState {
    /// Starts with the last good versions that were on the disk.
    pub fn with_last_good(last_good: Vec<Resource>) -> ApplyState {
        let last_good = last_good.into_iter().map(|resource| (resource_key(&resource), resource)).collect();
        ApplyState { last_good, ..ApplyState::default() }
    }

    /// The last good version of each refused resource.
    pub fn last_good(&self) -> Vec<Resource> {
        self.last_good.values().cloned().collect()
    }

    /// Records that the local configuration under the resources has changed: refused resources may be
    /// accepted now, and accepted ones may be refused.
    pub fn request_reapply(&mut self) {
        self.reapply = true;
    }

    /// Asks the process to apply the newest resources after the held ones or the applied ones have changed.
    /// Only one request is under way at a time.
    pub fn request_apply(
        &mut self,
        now: Nanos,
        store: &Store,
        own_interest: &Interest,
        host: &mut impl Host,
    ) {
        let held = |key: &Key| store.get(key).filter(|resource| resource.patch.is_some());
        self.last_good
            .retain(|key, last_good| held(key).is_some_and(|resource| resource.version >= last_good.version));
        let refused = self.refused.iter();
        let refused =
            refused.filter(|(key, (version, _))| held(key).is_some_and(|held| held.version == *version));
        let still_refused: BTreeSet<Key> =
            refused.filter(|_| !self.reapply).map(|(key, _)| key.clone()).collect();
        if self.pending.is_none() {
            let wanted: BTreeMap<Key, Resource> = store
                .iter()
                .filter(|resource| resource.patch.is_some() && own_interest.includes(&resource.scope))
                .filter_map(|resource| {
                    let key = resource_key(resource);
                    let resource = match still_refused.contains(&key) {
                        true => self.last_good.get(&key)?.clone(),
                        false => resource.clone(),
                    };
                    Some((key, resource))
                })
                .collect();
            if wanted == self.applied && !std::mem::take(&mut self.reapply) {
                self.in_force = store.version;
                self.refused.retain(|key, _| still_refused.contains(key));
            } else {
                self.reapply = false;
                // A full set can replace the content of the same version: what was reported as in force no
                // longer holds.
                if self.in_force >= store.version {
                    let number = store.version.number.saturating_sub(1);
                    self.in_force = Version { number, ..store.version };
                }
                let resources = wanted.values().cloned().collect();
                self.pending =
                    Some(PendingApply { version: store.version, resources: wanted, still_refused });
                host.apply(store.version, resources);
            }
        }
        if is_injected(InjectedFault::SummaryFromHeldVersion) {
            self.in_force = store.version;
        }
        self.behind_since =
            if self.in_force < store.version { self.behind_since.or(Some(now)) } else { None };
    }

    /// Records that the process has this version in force, except for the refused resources, of which the
    /// previous versions stay in force. Returns whether this version had been requested, and whether the last
    /// good versions have changed.
    pub fn finish_apply(
        &mut self,
        now: Nanos,
        version: Version,
        refused: Vec<(Scope, Name, String)>,
    ) -> (bool, bool) {
        let Some(done) = self.pending.take_if(|done| done.version == version) else { return (false, false) };
        let PendingApply { version, mut resources, still_refused } = done;
        let last_good_before = self.last_good.clone();
        let refused = refused.into_iter().map(|(scope, name, reason)| ((scope, name), reason));
        let refused: Vec<_> =
            refused.filter_map(|(key, reason)| Some((resources.remove(&key)?, key, reason))).collect();
        // A resource whose newest version is in force needs no last good version. That of a resource that is
        // still refused stays.
        self.last_good.retain(|key, _| !resources.contains_key(key) || still_refused.contains(key));
        self.refused.retain(|key, _| still_refused.contains(key));
        for (resource, key, reason) in refused {
            let previous = self.applied.remove(&key);
            if self.last_good.get(&key) == Some(&resource) {
                // The process refuses the last good version too, for instance after an update: there is none
                // left.
                self.last_good.remove(&key);
            } else {
                let reason = reason.chars().take(MAX_REASON_CHARS).collect();
                self.refused.insert(key.clone(), (resource.version, reason));
                if let Some(previous) = &previous {
                    self.last_good.insert(key.clone(), previous.clone());
                }
            }
            if let Some(previous) = previous {
                resources.insert(key, previous);
            }
        }
        self.applied = resources;
        // What is held now is newer than this version: if the process is behind, it is so from now on.
        if self.in_force < version {
            (self.in_force, self.behind_since) = (version, Some(now));
        }
        (true, last_good_before != self.last_good)
    }

    /// The refused resources of this process as exceptions, at most `MAX_REPORTED_REFUSALS`.
    pub fn exceptions(&self, member: &Member) -> Vec<Exception> {
        let kind =
            |((scope, resource), (version, reason)): (&Key, &(Version, String))| ExceptionKind::Refused {
                scope: scope.clone(),
                resource: resource.clone(),
                version: *version,
                reason: reason.clone(),
            };
        let refused = self.refused.iter().take(MAX_REPORTED_REFUSALS).map(kind);
        refused.map(|kind| Exception { member: member.clone(), in_force: self.in_force, kind }).collect()
    }
}

fn resource_key(resource: &Resource) -> Key {
    (resource.scope.clone(), resource.name.clone())
}
