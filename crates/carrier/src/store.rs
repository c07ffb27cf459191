//! What a process holds: resources by scope and name, with digests at hand for whoever wants a part of them.

use crate::hash::hash;
use crate::resource::{Interest, Name, Place, Resource, Scope, Version};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Marks of removed resources that are kept; who is behind the newest that was not gets a whole set.
const TOMBSTONES: usize = 1_024;

pub(crate) type Key = (Scope, Name);
type Index = (Version, Scope, Name);

/// What a process has on its disk: what it holds, marks of removed resources included.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Kept {
    pub version: Version,
    /// The newest mark of a removed resource that is no longer among them.
    pub pruned: Version,
    pub resources: Vec<Resource>,
    /// The last good ones of those that were refused here.
    pub good: Vec<Resource>,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Store {
    pub version: Version,
    /// The newest mark that was dropped: nobody behind it can be told what was removed since.
    pub pruned: Version,
    resources: BTreeMap<Key, Resource>,
    by_version: BTreeSet<Index>,
    /// The same by scope: of many thousands a proxy wants those of five.
    by_scope: BTreeMap<Scope, BTreeSet<(Version, Name)>>,
    removed: BTreeSet<Index>,
    /// Of the resources that are there, by scope; marks are no part of it, since not everybody keeps the same.
    digests: BTreeMap<Scope, u64>,
    /// Of all the proxies of a site.
    proxies: BTreeMap<Name, u64>,
    all: u64,
}

/// Where a difference that is sent in parts has come to: after this resource, or within its patch.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Cursor {
    after: Option<Index>,
    /// Bytes of the patch of `after` that were sent, where it was cut.
    within: usize,
}

/// A part of a difference.
pub(crate) struct Part {
    pub resources: Vec<Resource>,
    pub last: bool,
    pub cut: bool,
    pub next: Cursor,
}

fn digest_of(resource: &Resource) -> u64 {
    let Some(patch) = &resource.patch else { return 0 };
    let (kind, one, two): (&[u8], &str, &str) = match &resource.scope {
        Scope::Fleet => (b"f", "", ""),
        Scope::Region(name) => (b"r", name, ""),
        Scope::Zone(name) => (b"z", name, ""),
        Scope::Site(name) => (b"s", name, ""),
        Scope::Proxy(site, name) => (b"p", site, name),
    };
    let (epoch, number) = (resource.version.epoch.to_le_bytes(), resource.version.number.to_le_bytes());
    hash([kind, one.as_bytes(), two.as_bytes(), resource.name.as_bytes(), &epoch, &number, patch.as_bytes()])
}

/// In bytes on a link, but for its patch.
fn frame(resource: &Resource) -> usize {
    // The greatest that versions, lengths and the kind of the scope may take.
    let scope = match &resource.scope {
        Scope::Fleet => 0,
        Scope::Region(name) | Scope::Zone(name) | Scope::Site(name) => name.len(),
        Scope::Proxy(site, name) => site.len() + name.len(),
    };
    40 + scope + resource.name.len()
}

/// In bytes on a link, at most.
pub(crate) fn size(resource: &Resource) -> usize {
    frame(resource) + resource.patch.as_ref().map_or(0, |patch| patch.len())
}

impl Store {
    pub fn from(kept: &Kept) -> Store {
        let mut store = Store { version: kept.version, pruned: kept.pruned, ..Store::default() };
        kept.resources.iter().for_each(|resource| store.put(resource.clone()));
        store.prune();
        store
    }

    pub fn iter(&self) -> impl Iterator<Item = &Resource> {
        self.resources.values()
    }

    pub fn get(&self, key: &Key) -> Option<&Resource> {
        self.resources.get(key)
    }

    /// What changed, up to this version, which is no lower than what is held.
    pub fn take(&mut self, version: Version, resources: impl IntoIterator<Item = Resource>) {
        resources.into_iter().for_each(|resource| self.put(resource));
        self.version = version;
        self.prune();
    }

    /// All there is at this version.
    pub fn replace(&mut self, version: Version, resources: impl IntoIterator<Item = Resource>) {
        // What was removed before it nobody here knows.
        *self = Store { pruned: version, ..Store::default() };
        self.take(version, resources);
    }

    fn put(&mut self, resource: Resource) {
        let key = (resource.scope.clone(), resource.name.clone());
        if let Some(old) = self.resources.get(&key) {
            if old.version >= resource.version {
                return;
            }
            let old = old.clone();
            self.forget(&old);
        }
        let index = (resource.version, key.0.clone(), key.1.clone());
        if resource.patch.is_none() {
            self.removed.insert(index.clone());
        }
        self.by_version.insert(index);
        self.by_scope.entry(key.0.clone()).or_default().insert((resource.version, key.1.clone()));
        self.count(&resource);
        self.resources.insert(key, resource);
    }

    fn forget(&mut self, old: &Resource) {
        let index = (old.version, old.scope.clone(), old.name.clone());
        self.unlist(&index);
        self.removed.remove(&index);
        self.count(old);
    }

    fn unlist(&mut self, index: &Index) {
        self.by_version.remove(index);
        let (version, scope, name) = index;
        if let Some(of) = self.by_scope.get_mut(scope) {
            of.remove(&(*version, name.clone()));
            if of.is_empty() {
                self.by_scope.remove(scope);
            }
        }
    }

    /// Exclusive or: once in, twice out.
    fn count(&mut self, resource: &Resource) {
        let digest = digest_of(resource);
        if digest == 0 {
            return;
        }
        self.all ^= digest;
        toggle(&mut self.digests, &resource.scope, digest);
        if let Scope::Proxy(site, _) = &resource.scope {
            toggle(&mut self.proxies, site, digest);
        }
    }

    fn prune(&mut self) {
        while self.removed.len() > TOMBSTONES {
            let Some(oldest) = self.removed.pop_first() else { return };
            self.pruned = self.pruned.max(oldest.0);
            self.unlist(&oldest);
            self.resources.remove(&(oldest.1, oldest.2));
        }
    }

    /// Of what is wanted by this interest.
    pub fn digest(&self, interest: &Interest) -> u64 {
        let (place, proxies) = match interest {
            Interest::All => return self.all,
            Interest::Site(place) => (place, self.proxies.get(&place.site).copied()),
            Interest::Proxy(place, name) => {
                (place, self.digests.get(&Scope::Proxy(place.site.clone(), name.clone())).copied())
            }
        };
        let of = |scope: &Scope| self.digests.get(scope).copied().unwrap_or(0);
        around(place).iter().fold(proxies.unwrap_or(0), |digest, scope| digest ^ of(scope))
    }

    /// What is wanted from here on, in the order of versions.
    fn wanted<'a>(
        &'a self,
        begin: Index,
        interest: &'a Interest,
    ) -> Box<dyn Iterator<Item = &'a Resource> + 'a> {
        let get = |scope: &Scope, name: &Name| self.resources.get(&(scope.clone(), name.clone()));
        let Interest::Proxy(place, proxy) = interest else {
            let past = self.by_version.range(begin..);
            let past = past.filter(|(_, scope, _)| interest.wants(scope));
            return Box::new(past.filter_map(move |(_, scope, name)| get(scope, name)));
        };
        let mut found: Vec<&Resource> = Vec::new();
        for scope in around(place).into_iter().chain([Scope::Proxy(place.site.clone(), proxy.clone())]) {
            let of = self.by_scope.get(&scope).into_iter();
            let past = of
                .flat_map(|of| of.range((begin.0, Name::new())..))
                .filter_map(|(_, name)| get(&scope, name));
            let order = (&begin.0, &begin.1, &begin.2);
            found.extend(past.filter(|one| (&one.version, &one.scope, &one.name) >= order));
        }
        found.sort_by(|one, other| {
            (one.version, &one.scope, &one.name).cmp(&(other.version, &other.scope, &other.name))
        });
        Box::new(found.into_iter())
    }

    /// What bears a version above this one, the oldest first, marks of removed ones included.
    pub fn delta<'a>(&'a self, after: Version, interest: &'a Interest) -> impl Iterator<Item = &'a Resource> {
        self.wanted(past(after), interest).filter(move |one| one.version > after)
    }

    /// The next part, of at most so many bytes, of what this interest misses `after` a version; of a whole set, which
    /// was begun at version `began`, without the marks of what was removed before.
    pub fn part(
        &self,
        interest: &Interest,
        after: Version,
        whole: Option<Version>,
        from: &Cursor,
        room: usize,
    ) -> Part {
        let mut part = Part { resources: Vec::new(), last: true, cut: false, next: from.clone() };
        let mut left = room;
        let begin = from
            .after
            .clone()
            .unwrap_or_else(|| past(if whole.is_some() { Version::default() } else { after }));
        for resource in self.wanted(begin, interest) {
            let index = (resource.version, resource.scope.clone(), resource.name.clone());
            let resumed = from.after.as_ref() == Some(&index);
            // A cut patch goes on where it stopped, unless the resource has changed since: then it bears a higher
            // version, comes later, and the child drops the piece it has.
            if (resumed && from.within == 0) || (whole.is_none() && resource.version <= after) {
                continue;
            }
            if resource.patch.is_none() && whole.is_some_and(|began| resource.version <= began) {
                continue;
            }
            let skip = if resumed { from.within } else { 0 };
            let text = resource.patch.as_ref().map(|patch| patch.get(skip..).unwrap_or_default());
            let needs = frame(resource) + text.map_or(0, str::len);
            if needs <= left {
                left -= needs;
                part.resources.push(match skip {
                    0 => resource.clone(),
                    _ => Resource { patch: text.map(Into::into), ..resource.clone() },
                });
                part.next = Cursor { after: Some(index), within: 0 };
                continue;
            }
            part.last = false;
            if let Some(text) = text {
                let mut fits = left.saturating_sub(frame(resource)).min(text.len());
                while !text.is_char_boundary(fits) {
                    fits -= 1;
                }
                if fits > 0 {
                    part.cut = true;
                    part.resources.push(Resource { patch: Some(text[..fits].into()), ..resource.clone() });
                    part.next = Cursor { after: Some(index), within: skip + fits };
                }
            }
            break;
        }
        part
    }

    pub fn kept(&self) -> Kept {
        let resources = self.resources.values().cloned().collect();
        Kept { version: self.version, pruned: self.pruned, resources, good: Vec::new() }
    }
}

/// The scopes of a place, the widest first.
fn around(place: &Place) -> [Scope; 4] {
    let Place { region, zone, site } = place.clone();
    [Scope::Fleet, Scope::Region(region), Scope::Zone(zone), Scope::Site(site)]
}

/// Where what bears a higher version begins.
fn past(version: Version) -> Index {
    (Version { number: version.number.saturating_add(1), ..version }, Scope::Fleet, Name::new())
}

fn toggle<K: Ord + Clone>(digests: &mut BTreeMap<K, u64>, key: &K, digest: u64) {
    let now = digests.get(key).copied().unwrap_or(0) ^ digest;
    if now == 0 {
        digests.remove(key);
    } else {
        digests.insert(key.clone(), now);
    }
}
