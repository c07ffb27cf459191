//! The resources that a process holds, by scope and name, with digests that are kept up to date for each
//! interest.

use crate::hash::hash;
use crate::resource::{Interest, Location, Name, Resource, Scope, Version};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// The maximum number of tombstones that are kept. A child that is behind the newest pruned one is sent a
/// full set.
const MAX_TOMBSTONES: usize = 1_024;

pub(crate) type Key = (Scope, Name);
/// The position of a resource in the order of versions.
type VersionKey = (Version, Scope, Name);

/// What a process has on its disk: the resources that it holds, including tombstones.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Snapshot {
    pub version: Version,
    /// The newest tombstone that is no longer among the resources.
    pub pruned: Version,
    pub resources: Vec<Resource>,
    /// The last good version of each resource that this process refused.
    pub last_good: Vec<Resource>,
}

/// The resources that a process holds, with indexes and digests.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Store {
    pub version: Version,
    /// The newest tombstone that was pruned: a child that holds an older version can't be told what was
    /// removed since.
    pub pruned: Version,
    resources: BTreeMap<Key, Resource>,
    by_version: BTreeSet<VersionKey>,
    /// The same by scope: of many thousands of scopes a proxy wants five.
    by_scope: BTreeMap<Scope, BTreeSet<(Version, Name)>>,
    tombstones: BTreeSet<VersionKey>,
    /// The digest of each scope's resources. Tombstones are left out, since processes don't all keep the same
    /// ones.
    scope_digests: BTreeMap<Scope, u64>,
    /// The digest of the resources of all proxies of each site.
    site_proxy_digests: BTreeMap<Name, u64>,
    total_digest: u64,
}

/// How far a delta that is sent in parts has come: after this resource, or within its patch.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Cursor {
    after: Option<VersionKey>,
    /// If the patch of `after` was truncated, how many bytes of it were sent.
    patch_offset: usize,
}

/// One part of a delta.
pub(crate) struct Part {
    pub resources: Vec<Resource>,
    pub last: bool,
    pub truncated: bool,
    /// Where the next part begins.
    pub next: Cursor,
}

/// The digest of one resource; 0 for a tombstone.
fn resource_digest(resource: &Resource) -> u64 {
    let Some(patch) = &resource.patch else { return 0 };
    let (kind, first, second): (&[u8], &str, &str) = match &resource.scope {
        Scope::Fleet => (b"f", "", ""),
        Scope::Region(name) => (b"r", name, ""),
        Scope::Zone(name) => (b"z", name, ""),
        Scope::Site(name) => (b"s", name, ""),
        Scope::Proxy(site, name) => (b"p", site, name),
    };
    let (epoch, number) = (resource.version.epoch.to_le_bytes(), resource.version.number.to_le_bytes());
    hash([
        kind,
        first.as_bytes(),
        second.as_bytes(),
        resource.name.as_bytes(),
        &epoch,
        &number,
        patch.as_bytes(),
    ])
}

/// The maximum encoded size of a resource without its patch, in bytes.
fn overhead_bytes(resource: &Resource) -> usize {
    // 40 bytes are the maximum for the version, the lengths and the kind of the scope.
    let scope = match &resource.scope {
        Scope::Fleet => 0,
        Scope::Region(name) | Scope::Zone(name) | Scope::Site(name) => name.len(),
        Scope::Proxy(site, name) => site.len() + name.len(),
    };
    40 + scope + resource.name.len()
}

/// The maximum encoded size of a resource, in bytes.
pub(crate) fn encoded_size(resource: &Resource) -> usize {
    overhead_bytes(resource) + resource.patch.as_ref().map_or(0, |patch| patch.len())
}

impl Store {
    pub fn from_snapshot(snapshot: &Snapshot) -> Store {
        let mut store = Store { version: snapshot.version, pruned: snapshot.pruned, ..Store::default() };
        snapshot.resources.iter().for_each(|resource| store.insert(resource.clone()));
        store.prune_tombstones();
        store
    }

    pub fn iter(&self) -> impl Iterator<Item = &Resource> {
        self.resources.values()
    }

    pub fn get(&self, key: &Key) -> Option<&Resource> {
        self.resources.get(key)
    }

    /// Applies what changed up to this version, which must not be lower than the held one.
    pub fn apply_delta(&mut self, version: Version, resources: impl IntoIterator<Item = Resource>) {
        resources.into_iter().for_each(|resource| self.insert(resource));
        self.version = version;
        self.prune_tombstones();
    }

    /// Replaces everything with the full set of this version.
    pub fn replace_all(&mut self, version: Version, resources: impl IntoIterator<Item = Resource>) {
        // A full set does not say what was removed before this version.
        *self = Store { pruned: version, ..Store::default() };
        self.apply_delta(version, resources);
    }

    /// Inserts a resource unless the held version of it is as new.
    fn insert(&mut self, resource: Resource) {
        let key = (resource.scope.clone(), resource.name.clone());
        if let Some(old) = self.resources.get(&key) {
            if old.version >= resource.version {
                return;
            }
            let old = old.clone();
            self.remove_from_indexes(&old);
        }
        let version_key = (resource.version, key.0.clone(), key.1.clone());
        if resource.patch.is_none() {
            self.tombstones.insert(version_key.clone());
        }
        self.by_version.insert(version_key);
        self.by_scope.entry(key.0.clone()).or_default().insert((resource.version, key.1.clone()));
        self.toggle_digest(&resource);
        self.resources.insert(key, resource);
    }

    fn remove_from_indexes(&mut self, old: &Resource) {
        let version_key = (old.version, old.scope.clone(), old.name.clone());
        self.remove_version_key(&version_key);
        self.tombstones.remove(&version_key);
        self.toggle_digest(old);
    }

    fn remove_version_key(&mut self, version_key: &VersionKey) {
        self.by_version.remove(version_key);
        let (version, scope, name) = version_key;
        if let Some(in_scope) = self.by_scope.get_mut(scope) {
            in_scope.remove(&(*version, name.clone()));
            if in_scope.is_empty() {
                self.by_scope.remove(scope);
            }
        }
    }

    /// Adds a resource to the digests or, called a second time, removes it: digests are combined by exclusive
    /// or.
    fn toggle_digest(&mut self, resource: &Resource) {
        let digest = resource_digest(resource);
        if digest == 0 {
            return;
        }
        self.total_digest ^= digest;
        toggle(&mut self.scope_digests, &resource.scope, digest);
        if let Scope::Proxy(site, _) = &resource.scope {
            toggle(&mut self.site_proxy_digests, site, digest);
        }
    }

    fn prune_tombstones(&mut self) {
        while self.tombstones.len() > MAX_TOMBSTONES {
            let Some(oldest) = self.tombstones.pop_first() else { return };
            self.pruned = self.pruned.max(oldest.0);
            self.remove_version_key(&oldest);
            self.resources.remove(&(oldest.1, oldest.2));
        }
    }

    /// The digest of the held resources that belong to this interest.
    pub fn digest(&self, interest: &Interest) -> u64 {
        let (location, proxies) = match interest {
            Interest::All => return self.total_digest,
            Interest::Site(location) => (location, self.site_proxy_digests.get(&location.site).copied()),
            Interest::Proxy(location, name) => (
                location,
                self.scope_digests.get(&Scope::Proxy(location.site.clone(), name.clone())).copied(),
            ),
        };
        let scope_digest = |scope: &Scope| self.scope_digests.get(scope).copied().unwrap_or(0);
        location_scopes(location)
            .iter()
            .fold(proxies.unwrap_or(0), |digest, scope| digest ^ scope_digest(scope))
    }

    /// The resources of this interest from a position on, in the order of versions.
    fn resources_from<'a>(
        &'a self,
        start: VersionKey,
        interest: &'a Interest,
    ) -> Box<dyn Iterator<Item = &'a Resource> + 'a> {
        let get = |scope: &Scope, name: &Name| self.resources.get(&(scope.clone(), name.clone()));
        let Interest::Proxy(location, proxy) = interest else {
            let keys = self.by_version.range(start..);
            let keys = keys.filter(|(_, scope, _)| interest.includes(scope));
            return Box::new(keys.filter_map(move |(_, scope, name)| get(scope, name)));
        };
        let mut found: Vec<&Resource> = Vec::new();
        for scope in
            location_scopes(location).into_iter().chain([Scope::Proxy(location.site.clone(), proxy.clone())])
        {
            let in_scope = self.by_scope.get(&scope).into_iter();
            let resources = in_scope
                .flat_map(|in_scope| in_scope.range((start.0, Name::new())..))
                .filter_map(|(_, name)| get(&scope, name));
            let start = (&start.0, &start.1, &start.2);
            found.extend(
                resources.filter(|resource| (&resource.version, &resource.scope, &resource.name) >= start),
            );
        }
        found.sort_by(|one, other| {
            (one.version, &one.scope, &one.name).cmp(&(other.version, &other.scope, &other.name))
        });
        Box::new(found.into_iter())
    }

    /// The resources of this interest with a version above `after`, the oldest first, including tombstones.
    pub fn changed_since<'a>(
        &'a self,
        after: Version,
        interest: &'a Interest,
    ) -> impl Iterator<Item = &'a Resource> {
        self.resources_from(first_key_after(after), interest).filter(move |resource| resource.version > after)
    }

    /// The next part, of at most `max_bytes` bytes, of what this interest misses after version `after`. For a
    /// full set, which was begun at the version in `full_set`, tombstones up to that version are left out.
    pub fn next_part(
        &self,
        interest: &Interest,
        after: Version,
        full_set: Option<Version>,
        cursor: &Cursor,
        max_bytes: usize,
    ) -> Part {
        let mut part = Part { resources: Vec::new(), last: true, truncated: false, next: cursor.clone() };
        let mut remaining = max_bytes;
        let start = cursor
            .after
            .clone()
            .unwrap_or_else(|| first_key_after(if full_set.is_some() { Version::default() } else { after }));
        for resource in self.resources_from(start, interest) {
            let version_key = (resource.version, resource.scope.clone(), resource.name.clone());
            let resumed = cursor.after.as_ref() == Some(&version_key);
            // A truncated patch continues where it stopped, unless the resource has changed since: then it
            // has a higher version and comes later, and the child drops the piece that it has.
            if (resumed && cursor.patch_offset == 0) || (full_set.is_none() && resource.version <= after) {
                continue;
            }
            if resource.patch.is_none() && full_set.is_some_and(|begun_at| resource.version <= begun_at) {
                continue;
            }
            let skipped = if resumed { cursor.patch_offset } else { 0 };
            let text = resource.patch.as_ref().map(|patch| patch.get(skipped..).unwrap_or_default());
            let needed = overhead_bytes(resource) + text.map_or(0, str::len);
            if needed <= remaining {
                remaining -= needed;
                part.resources.push(match skipped {
                    0 => resource.clone(),
                    _ => Resource { patch: text.map(Into::into), ..resource.clone() },
                });
                part.next = Cursor { after: Some(version_key), patch_offset: 0 };
                continue;
            }
            part.last = false;
            if let Some(text) = text {
                let mut fitting = remaining.saturating_sub(overhead_bytes(resource)).min(text.len());
                while !text.is_char_boundary(fitting) {
                    fitting -= 1;
                }
                if fitting > 0 {
                    part.truncated = true;
                    part.resources.push(Resource { patch: Some(text[..fitting].into()), ..resource.clone() });
                    part.next = Cursor { after: Some(version_key), patch_offset: skipped + fitting };
                }
            }
            break;
        }
        part
    }

    /// The snapshot for the disk, without the last good versions, which the store does not have.
    pub fn snapshot(&self) -> Snapshot {
        let resources = self.resources.values().cloned().collect();
        Snapshot { version: self.version, pruned: self.pruned, resources, last_good: Vec::new() }
    }
}

/// The scopes that contain a location, the widest first.
fn location_scopes(location: &Location) -> [Scope; 4] {
    let Location { region, zone, site } = location.clone();
    [Scope::Fleet, Scope::Region(region), Scope::Zone(zone), Scope::Site(site)]
}

/// The position before all resources with a version above this one.
fn first_key_after(version: Version) -> VersionKey {
    (Version { number: version.number.saturating_add(1), ..version }, Scope::Fleet, Name::new())
}

fn toggle<K: Ord + Clone>(digests: &mut BTreeMap<K, u64>, key: &K, digest: u64) {
    let combined = digests.get(key).copied().unwrap_or(0) ^ digest;
    if combined == 0 {
        digests.remove(key);
    } else {
        digests.insert(key.clone(), combined);
    }
}
