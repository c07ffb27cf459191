//! Discovery: a versioned list of nodes with their states. It repeats what it was told, which may be late,
//! outdated or false.

use crate::Nanos;

/// The state that discovery reports for a node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum NodeState {
    /// The node takes new work.
    Ready,
    /// The node finishes its work and should get no more.
    Draining,
    /// The node is not a member, or no longer one.
    #[default]
    Left,
}

/// What discovery reports about one node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct NodeEntry {
    /// Index of the node; the index after the last cache node is the origin.
    pub node: usize,
    /// Whether the node is ready, drains or has left.
    pub state: NodeState,
    /// Start time of the process as the node reports it; 0 if it started before the scenario.
    pub started_at: Nanos,
}

/// The discovery service's list of nodes.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    version: u64,
    /// By node index: the version of the last change, and the current entry.
    entries: Vec<(u64, NodeEntry)>,
    /// By node index: whether updates of the node are ignored.
    frozen: Vec<bool>,
    /// Whether the service leaves all requests unanswered.
    pub unresponsive: bool,
}

impl Registry {
    /// Replaces the entry of a node and increments the version. Returns false, without a change, if the
    /// entry is the same as before or the node is frozen.
    pub fn update(&mut self, entry: NodeEntry) -> bool {
        let node = entry.node;
        if node >= self.entries.len() {
            let fill = |at| (0, NodeEntry { node: at, ..NodeEntry::default() });
            self.entries.extend((self.entries.len()..=node).map(fill));
            self.frozen.resize(node + 1, false);
        }
        if self.frozen[node] || self.entries[node].1 == entry {
            return false;
        }
        self.version += 1;
        self.entries[node] = (self.version, entry);
        true
    }

    /// Freezes a node's entry, so that later updates are ignored, or lifts the freeze. No effect on a node
    /// that is not in the list.
    pub fn set_frozen(&mut self, node: usize, frozen: bool) {
        if let Some(flag) = self.frozen.get_mut(node) {
            *flag = frozen;
        }
    }

    /// The number of changes so far.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The entry of a node; None if its index is above all that were ever listed.
    pub fn get(&self, node: usize) -> Option<NodeEntry> {
        self.entries.get(node).map(|(_, entry)| *entry)
    }

    /// All entries except those of nodes that left.
    pub fn snapshot(&self) -> Vec<NodeEntry> {
        let present = |(_, entry): &&(u64, NodeEntry)| entry.state != NodeState::Left;
        self.entries.iter().filter(present).map(|(_, entry)| *entry).collect()
    }

    /// The entries that changed after this version, including those of nodes that left.
    pub fn changes_since(&self, version: u64) -> Vec<NodeEntry> {
        self.entries.iter().filter(|(at, _)| *at > version).map(|(_, entry)| *entry).collect()
    }
}
