//! Configuration resources. Each belongs to a scope and has the version of the change that last wrote it.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::sync::Arc;

/// The name of a resource, a process or a location.
pub type Name = String;

/// The maximum length of a resource's name and of each name in its scope, in bytes.
pub(crate) const MAX_NAME_BYTES: usize = 200;

/// A version of the complete set of resources: the epoch of the record, which is higher each time the record
/// is created anew, and a number that grows with each change. Never reused, and ordered by epoch, then
/// number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Version {
    pub epoch: u64,
    pub number: u64,
}

/// The processes that a resource applies to. Resources of narrower scopes are applied after those of wider
/// ones.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Scope {
    Fleet,
    Region(Name),
    Zone(Name),
    Site(Name),
    /// One proxy, given by its site and its name.
    Proxy(Name, Name),
}

/// The location of a process.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Location {
    pub region: Name,
    pub zone: Name,
    pub site: Name,
}

/// The scopes that a process subscribes to.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Interest {
    /// Every scope: for a control machine, which serves any process.
    All,
    /// The scopes of a location and of every proxy of its site: for a relay.
    Site(Location),
    /// The scopes of a location and of one proxy: for a proxy that has no children.
    Proxy(Location, Name),
}

/// A part of the configuration as a JSON merge patch (RFC 7396), or a tombstone if it was removed.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Resource {
    pub scope: Scope,
    pub name: Name,
    /// The version of the change that last wrote this resource.
    pub version: Version,
    /// JSON text of the merge patch; `None` for a tombstone.
    pub patch: Option<Arc<str>>,
}

impl Interest {
    /// Whether resources of this scope belong to the interest.
    pub fn includes(&self, scope: &Scope) -> bool {
        let location = match self {
            Interest::All => return true,
            Interest::Site(location) | Interest::Proxy(location, _) => location,
        };
        match scope {
            Scope::Fleet => true,
            Scope::Region(region) => *region == location.region,
            Scope::Zone(zone) => *zone == location.zone,
            Scope::Site(site) => *site == location.site,
            Scope::Proxy(site, proxy) => {
                *site == location.site
                    && match self {
                        Interest::Proxy(_, name) => name == proxy,
                        _ => true,
                    }
            }
        }
    }
}

/// The first name among these that is empty or too long, or `None` if all are valid.
pub(crate) fn invalid_name<'a>(scope: &'a Scope, name: &'a Name) -> Option<&'a Name> {
    let (first, second) = match scope {
        Scope::Fleet => (None, None),
        Scope::Region(name) | Scope::Zone(name) | Scope::Site(name) => (Some(name), None),
        Scope::Proxy(site, proxy) => (Some(site), Some(proxy)),
    };
    let mut names = [Some(name), first, second].into_iter().flatten();
    names.find(|name| name.is_empty() || name.len() > MAX_NAME_BYTES)
}

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.epoch, self.number)
    }
}

impl fmt::Display for Scope {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Scope::Fleet => write!(f, "fleet"),
            Scope::Region(name) => write!(f, "region/{name}"),
            Scope::Zone(name) => write!(f, "zone/{name}"),
            Scope::Site(name) => write!(f, "site/{name}"),
            Scope::Proxy(site, name) => write!(f, "proxy/{site}/{name}"),
        }
    }
}
