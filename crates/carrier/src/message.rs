//! What parent and child say to each other.

use crate::Nanos;
use crate::resource::{Interest, Name, Resource, Scope, Version};
use serde::{Deserialize, Serialize};

/// A process: its name and which life of it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Member {
    pub name: Name,
    pub incarnation: u64,
}

/// One link of a member to a parent. A member numbers its own links, so that whoever hears of two of them knows which
/// is the later one, in whatever order the news came.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Attachment {
    pub member: Member,
    /// Counts from 1 in each incarnation.
    pub number: u64,
}

impl Attachment {
    /// Whether this is a later link of the same process, or of a later incarnation of it.
    pub fn is_later_than(&self, other: &Attachment) -> bool {
        let order = |one: &Attachment| (one.member.incarnation, one.number);
        self.member.name == other.member.name && order(self) > order(other)
    }
}

/// From a child to its parent.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Up {
    /// First on a link: who calls on which of its links, what it wants, and the version and digest of what it holds of
    /// that.
    Subscribe { who: Attachment, wants: Interest, holds: Version, digest: u64 },
    /// What it holds now: the answer to the last part of a difference, to one that it passed over, and to a pulse that
    /// moved it.
    Holds { version: Version, digest: u64 },
    /// The answer to a part that is not the last: the next may come.
    Took,
    /// Of a control machine: this is on its disk.
    Kept(Version),
    /// What is in force below and at the child, as a sum.
    Sum(Sum),
}

/// From a parent to its child.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Down {
    /// Once a second, and after the last part of a difference: the newest version that the parent holds, the digest of what
    /// the child wants at that version, and how old the parent's knowledge is: time since the root held just this, in
    /// nanoseconds, the greatest number where it is not known. A child that has this digest holds that version by it.
    Pulse { holds: Version, digest: u64, age: Nanos },
    /// What changed for the child after `after`, up to `version`; in parts, of which only the last makes it hold `version`,
    /// which grows from part to part where the parent's does. A whole one replaces what the child has. Of a part that is
    /// `cut` the last patch goes on in the next part, under the same scope, name and version.
    Delta { after: Version, version: Version, whole: bool, last: bool, cut: bool, resources: Vec<Resource> },
    /// No room for one more child: it goes to another.
    Full,
}

/// What is in force at a process and all below it. It never claims more than what was said to be in force there.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Sum {
    /// Everyone counted has this in force, but the exceptions.
    pub in_force: Version,
    /// All that are counted, exceptions included.
    pub members: u32,
    /// The gravest, and of one member four refusals at most.
    pub exceptions: Vec<Exception>,
    /// Members that are exceptions beyond those named.
    pub unnamed: u32,
    /// Who came from another parent a short while ago: whoever sums takes their earlier links off what it has as lost.
    pub arrived: Vec<Attachment>,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Exception {
    pub who: Member,
    /// What it had in force last.
    pub in_force: Version,
    pub why: Why,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Why {
    /// It refused this resource, at this version of it, for this reason; the last good one stays in force.
    Refused { scope: Scope, resource: Name, version: Version, reason: String },
    /// It is there and has not caught up within the time that is usual.
    Late,
    /// Its link of this number was lost, and no later one has been heard of.
    Lost { attachment: u64 },
}
