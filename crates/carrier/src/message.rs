//! The messages between a parent and its children.

use crate::Nanos;
use crate::resource::{Interest, Name, Resource, Scope, Version};
use serde::{Deserialize, Serialize};

/// A process, identified by its name and its incarnation.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Member {
    pub name: Name,
    /// Grows with each restart of the process.
    pub incarnation: u64,
}

/// One link of a member to a parent. Each member numbers its own links, so that a process that learns of two
/// of them knows which one is later, whatever the order in which it learned of them.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Attachment {
    pub member: Member,
    /// Counts from 1 in each incarnation.
    pub number: u64,
}

impl Attachment {
    /// Whether this is a later link of the same process, either of the same or of a later incarnation.
    pub fn is_later_than(&self, other: &Attachment) -> bool {
        let order = |attachment: &Attachment| (attachment.member.incarnation, attachment.number);
        self.member.name == other.member.name && order(self) > order(other)
    }
}

/// A message from a child to its parent.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ChildMessage {
    /// The first message on a link: which member connects and by which of its links, what it wants, and the
    /// version and digest of what it holds of that.
    Subscribe { attachment: Attachment, interest: Interest, version: Version, digest: u64 },
    /// What the child holds now. Sent after the last part of a delta, after a delta that it ignored, and
    /// after a heartbeat that moved it to a newer version.
    Holds { version: Version, digest: u64 },
    /// Acknowledges a part that is not the last one of its delta: the parent may send the next part.
    #[serde(rename = "Took")]
    PartAck,
    /// Sent by control machines only: this version is on the child's disk.
    Persisted(Version),
    /// What is in force at the child and below it.
    Summary(Summary),
}

/// A message from a parent to its child.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ParentMessage {
    /// Sent once a second, and after the last part of a delta: the newest version that the parent holds, the
    /// digest of what the child wants at that version, and the age of the parent's knowledge. The age is the
    /// time since the root held exactly this, in nanoseconds, or `Nanos::MAX` if that is not known. A child
    /// whose own digest equals this one thereby holds that version.
    // The encoding on links is by position; the name is kept for encodings that write it out.
    #[serde(rename = "Pulse")]
    Heartbeat { version: Version, digest: u64, age: Nanos },
    /// What changed for the child after version `after`, up to `version`. Sent in parts; the child holds
    /// `version` only after the last part, and `version` grows from part to part when the parent's does. A
    /// full set replaces what the child has. If a part is `truncated`, its last patch continues in the next
    /// part under the same scope, name and version.
    Delta {
        after: Version,
        version: Version,
        full_set: bool,
        last: bool,
        truncated: bool,
        resources: Vec<Resource>,
    },
    /// The parent accepts no more children; the child should connect to another parent.
    AtCapacity,
}

/// What is in force at a process and at all processes below it in the tree. It never claims more than the
/// members have reported.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Summary {
    /// Every counted member has this version in force, except those listed as exceptions.
    pub in_force: Version,
    /// The number of counted members, including the exceptions.
    pub members: u32,
    /// The most severe exceptions, with at most four refusals for each member.
    pub exceptions: Vec<Exception>,
    /// The number of members that are exceptions but are not listed in `exceptions`.
    pub unnamed: u32,
    /// Members that recently arrived from another parent. A process that aggregates summaries no longer
    /// counts their earlier links as lost.
    pub arrived: Vec<Attachment>,
}

/// A member that does not have the summary's version completely in force.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Exception {
    pub member: Member,
    /// The last version that the member is known to have had in force.
    pub in_force: Version,
    pub kind: ExceptionKind,
}

/// Why a member is an exception.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum ExceptionKind {
    /// The member refused this version of this resource, for this reason; the last good version of it stays
    /// in force there.
    Refused { scope: Scope, resource: Name, version: Version, reason: String },
    /// The member is connected but has not caught up within the usual time.
    Late,
    /// The member's link with this number was lost, and no later link of it is known.
    Lost { attachment: u64 },
}
