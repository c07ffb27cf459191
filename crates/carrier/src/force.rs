//! What of what is held is in force at this process.

use crate::Nanos;
use crate::message::{Exception, Member, Why};
use crate::node::Host;
use crate::planted::{Fault, planted};
use crate::resource::{Interest, Name, Resource, Scope, Version};
use crate::store::{Key, Store};
use std::collections::{BTreeMap, BTreeSet};

/// Of one member at most so many refused resources are named, and of a reason so many characters said: sums go up once a
/// second, beside all else that a link bears.
const NAMED: usize = 4;
const REASON: usize = 100;

/// What the process was asked to put in force.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Out {
    version: Version,
    set: BTreeMap<Key, Resource>,
    /// What is refused at this version too.
    refused: BTreeSet<Key>,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Force {
    pub in_force: Version,
    /// Since when more is held than is in force.
    pub behind: Option<Nanos>,
    /// What the process has in force, of each resource that concerns it.
    applied: BTreeMap<Key, Resource>,
    out: Option<Out>,
    /// At which version each is refused, and why, until another version of it is in force or it is removed.
    refused: BTreeMap<Key, (Version, String)>,
    /// The last good ones of those that are refused.
    good: BTreeMap<Key, Resource>,
}

impl Force {
    pub fn from(good: Vec<Resource>) -> Force {
        let good = good.into_iter().map(|resource| (key(&resource), resource)).collect();
        Force { good, ..Force::default() }
    }

    /// The last good ones of those that are refused.
    pub fn good(&self) -> Vec<Resource> {
        self.good.values().cloned().collect()
    }

    /// What is held has changed, or something came to be in force: asks for the newest, one at a time.
    pub fn look(&mut self, now: Nanos, store: &Store, concerns: &Interest, host: &mut impl Host) {
        let held = |key: &Key| store.get(key).filter(|resource| resource.patch.is_some());
        self.good.retain(|key, good| held(key).is_some_and(|resource| resource.version >= good.version));
        let refused = self.refused.iter();
        let refused =
            refused.filter(|(key, (version, _))| held(key).is_some_and(|held| held.version == *version));
        let refused: BTreeSet<Key> = refused.map(|(key, _)| key.clone()).collect();
        if self.out.is_none() {
            let wanted: BTreeMap<Key, Resource> = store
                .iter()
                .filter(|resource| resource.patch.is_some() && concerns.wants(&resource.scope))
                .filter_map(|resource| {
                    let key = key(resource);
                    let resource = match refused.contains(&key) {
                        true => self.good.get(&key)?.clone(),
                        false => resource.clone(),
                    };
                    Some((key, resource))
                })
                .collect();
            if wanted == self.applied {
                self.in_force = store.version;
                self.refused.retain(|key, _| refused.contains(key));
            } else {
                // The same version with other content, after a whole set: what was said of it counts no more.
                if self.in_force >= store.version {
                    let number = store.version.number.saturating_sub(1);
                    self.in_force = Version { number, ..store.version };
                }
                let resources = wanted.values().cloned().collect();
                self.out = Some(Out { version: store.version, set: wanted, refused });
                host.put_in_force(store.version, resources);
            }
        }
        if planted(Fault::SumOfHeld) {
            self.in_force = store.version;
        }
        self.behind = if self.in_force < store.version { self.behind.or(Some(now)) } else { None };
    }

    /// The process has this version in force, but for those that it refused: of them it has what it had.
    /// Whether that was asked for, and whether the last good ones have changed.
    pub fn done(
        &mut self,
        now: Nanos,
        version: Version,
        refused: Vec<(Scope, Name, String)>,
    ) -> (bool, bool) {
        let Some(out) = self.out.take_if(|out| out.version == version) else { return (false, false) };
        let Out { version, mut set, refused: still } = out;
        let before = self.good.clone();
        let refused = refused.into_iter().map(|(scope, name, reason)| ((scope, name), reason));
        let refused: Vec<_> =
            refused.filter_map(|(key, reason)| Some((set.remove(&key)?, key, reason))).collect();
        // Whose newest is in force needs no other. The last good one of a refused one stays that.
        self.good.retain(|key, _| !set.contains_key(key) || still.contains(key));
        self.refused.retain(|key, _| still.contains(key));
        for (resource, key, reason) in refused {
            let had = self.applied.remove(&key);
            if self.good.get(&key) == Some(&resource) {
                // It will not have that either, say after an update: there is none.
                self.good.remove(&key);
            } else {
                let reason = reason.chars().take(REASON).collect();
                self.refused.insert(key.clone(), (resource.version, reason));
                if let Some(had) = &had {
                    self.good.insert(key.clone(), had.clone());
                }
            }
            if let Some(had) = had {
                set.insert(key, had);
            }
        }
        self.applied = set;
        // What is held now is later than this: it is late from here on, if it is.
        if self.in_force < version {
            (self.in_force, self.behind) = (version, Some(now));
        }
        (true, before != self.good)
    }

    pub fn exceptions(&self, me: &Member) -> Vec<Exception> {
        let why = |((scope, resource), (version, reason)): (&Key, &(Version, String))| Why::Refused {
            scope: scope.clone(),
            resource: resource.clone(),
            version: *version,
            reason: reason.clone(),
        };
        let refused = self.refused.iter().take(NAMED).map(why);
        refused.map(|why| Exception { who: me.clone(), in_force: self.in_force, why }).collect()
    }
}

fn key(resource: &Resource) -> Key {
    (resource.scope.clone(), resource.name.clone())
}
