//! What is carried: resources, each for a scope, with the version of the change that wrote it last.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::sync::Arc;

pub type Name = String;

/// The longest name of a resource or in its scope, in bytes.
pub(crate) const NAME: usize = 200;

/// Of the whole set: which founding of the record, and how many changes since. Never reused, and compared as written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Version {
    pub epoch: u64,
    pub number: u64,
}

/// Whom a resource concerns. Narrower ones are applied after wider ones.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Scope {
    Fleet,
    Region(Name),
    Zone(Name),
    Site(Name),
    /// One proxy, and its site.
    Proxy(Name, Name),
}

/// Where a process is.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Place {
    pub region: Name,
    pub zone: Name,
    pub site: Name,
}

/// Which scopes a process wants.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Interest {
    /// A control machine: it serves anybody.
    All,
    /// A relay: its place, and every proxy of its site.
    Site(Place),
    /// A proxy that serves no children.
    Proxy(Place, Name),
}

/// A part of the configuration as a JSON merge patch (RFC 7396), or the mark that it was removed.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Resource {
    pub scope: Scope,
    pub name: Name,
    /// Of the change that wrote it last.
    pub version: Version,
    pub patch: Option<Arc<str>>,
}

impl Interest {
    pub fn wants(&self, scope: &Scope) -> bool {
        let place = match self {
            Interest::All => return true,
            Interest::Site(place) | Interest::Proxy(place, _) => place,
        };
        match scope {
            Scope::Fleet => true,
            Scope::Region(region) => *region == place.region,
            Scope::Zone(zone) => *zone == place.zone,
            Scope::Site(site) => *site == place.site,
            Scope::Proxy(site, proxy) => {
                *site == place.site
                    && match self {
                        Interest::Proxy(_, name) => name == proxy,
                        _ => true,
                    }
            }
        }
    }
}

/// A name that nothing can bear, if there is one among these.
pub(crate) fn wrong_name<'a>(scope: &'a Scope, name: &'a Name) -> Option<&'a Name> {
    let (one, two) = match scope {
        Scope::Fleet => (None, None),
        Scope::Region(one) | Scope::Zone(one) | Scope::Site(one) => (Some(one), None),
        Scope::Proxy(site, proxy) => (Some(site), Some(proxy)),
    };
    let mut names = [Some(name), one, two].into_iter().flatten();
    names.find(|name| name.is_empty() || name.len() > NAME)
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
