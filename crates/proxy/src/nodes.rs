//! The names and addresses of the listed nodes, indexed by the node numbers that the core uses. An entry here is all
//! that the proxy keeps for a listed node outside the core.

use crate::messages::DiscoveredNode;
use hashbrown::{HashMap, HashSet};
use pumicebay_core::{ListedNode, Node, NodeStatus};
use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap};
use std::net::SocketAddr;
use std::sync::Arc;

/// A node that is listed, or that is no longer listed but still has attempts under way.
#[derive(Clone, Debug)]
pub struct NodeEntry {
    /// The id that discovery uses.
    pub uid: Arc<str>,
    /// Where the node listens, as discovery last told.
    pub address: SocketAddr,
    /// Whether the node is the origin.
    pub origin: bool,
    /// Whether the log already says which uid this node number stands for.
    pub logged: bool,
    /// What the list says about it.
    listed: ListedNode,
    /// The node whose process has started later at the same address: then this one's is gone, whatever the list says.
    superseded_by: Option<Node>,
}

/// What an entry of the list means for the nodes, beside what it says.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ListingEffects {
    /// Whether the node's process is not the one that the proxy knew before, or is gone.
    pub process_replaced: bool,
    /// A node that another has superseded, or that is superseded no longer; it has to be listed anew.
    pub relisted: Option<Node>,
}

impl NodeEntry {
    /// Logs the uid and address that the node number stands for.
    pub fn log_number(&mut self, node: Node) {
        self.logged = true;
        tracing::info!("node {node} is {} at {}", self.uid, self.address);
    }
}

/// All known nodes, by number and by uid.
#[derive(Debug, Default)]
pub struct NodeTable {
    /// By node number.
    entries: Vec<Option<NodeEntry>>,
    by_uid: HashMap<Arc<str>, Node>,
    /// The node whose process listens at each address.
    by_address: HashMap<SocketAddr, Node>,
    /// The nodes that others have superseded.
    superseded: BTreeSet<Node>,
    /// Numbers of removed nodes; they are assigned again, the lowest first.
    free_numbers: BinaryHeap<Reverse<Node>>,
}

impl NodeTable {
    /// Adds a node that is not known yet. Returns its number and whether it is new; `None` for an unknown node that
    /// discovery reports as gone.
    pub fn upsert(&mut self, named: &DiscoveredNode) -> Option<(Node, bool)> {
        if let Some(&node) = self.by_uid.get(&named.uid) {
            return Some((node, false));
        }
        if named.listed.status == NodeStatus::Gone {
            return None;
        }
        let node = self.free_numbers.pop().map_or(self.entries.len(), |Reverse(node)| node);
        if node == self.entries.len() {
            self.entries.push(None);
        }
        let (uid, address, origin) = (named.uid.clone(), named.address, named.listed.origin);
        self.by_uid.insert(uid.clone(), node);
        let listed = ListedNode { status: NodeStatus::Gone, ..named.listed };
        let entry = NodeEntry { uid, address, origin, logged: false, listed, superseded_by: None };
        self.entries[node] = Some(entry);
        Some((node, true))
    }

    /// Records what the list says about a node, and finds out which node's process its address belongs to: of several
    /// that are listed there the one that has started last.
    pub fn record_listing(&mut self, node: Node, address: SocketAddr, listed: ListedNode) -> ListingEffects {
        let mut effects = ListingEffects::default();
        let Some(entry) = self.get_mut(node) else { return effects };
        effects.process_replaced = entry.address != address || listed.started > entry.listed.started;
        let previous_address = std::mem::replace(&mut entry.address, address);
        entry.listed = listed;
        if listed.status == NodeStatus::Gone || previous_address != address {
            effects.relisted = self.release_address(node, previous_address);
        }
        if listed.status != NodeStatus::Gone {
            effects.relisted = self.claim_address(node, address, listed).or(effects.relisted);
        }
        effects
    }

    /// Gives the address to this node if its process has started later than that of the node which has it. Returns the node
    /// that it supersedes.
    fn claim_address(&mut self, node: Node, address: SocketAddr, listed: ListedNode) -> Option<Node> {
        let holder = *self.by_address.entry(address).or_insert(node);
        let started = self.get(holder)?.listed.started;
        if holder == node || listed.started == started {
            return None;
        }
        if listed.started < started {
            self.set_superseded(node, Some(holder));
            return None;
        }
        self.by_address.insert(address, node);
        self.set_superseded(node, None);
        self.set_superseded(holder, Some(node));
        Some(holder)
    }

    fn set_superseded(&mut self, node: Node, by: Option<Node>) {
        match by {
            Some(_) => self.superseded.insert(node),
            None => self.superseded.remove(&node),
        };
        if let Some(entry) = self.get_mut(node) {
            entry.superseded_by = by;
        }
    }

    /// Takes the address from a node whose process listens there no longer. Returns a node that it has superseded.
    fn release_address(&mut self, node: Node, address: SocketAddr) -> Option<Node> {
        self.set_superseded(node, None);
        if self.by_address.get(&address) != Some(&node) {
            return None;
        }
        self.by_address.remove(&address);
        let by_this = |other: &&Node| {
            self.get(**other)
                .is_some_and(|entry| entry.superseded_by == Some(node) && entry.address == address)
        };
        let restored = *self.superseded.iter().find(by_this)?;
        self.set_superseded(restored, None);
        self.by_address.insert(address, restored);
        Some(restored)
    }

    /// Records that the list names these nodes only. Returns those of them that are superseded no longer.
    pub fn retain_listed(&mut self, named: &[Node]) -> Vec<Node> {
        let named: HashSet<Node> = named.iter().copied().collect();
        let mut relisted = Vec::new();
        for node in (0..self.entries.len()).filter(|node| !named.contains(node)) {
            let Some(entry) = self.get_mut(node).filter(|entry| entry.listed.status != NodeStatus::Gone)
            else {
                continue;
            };
            entry.listed.status = NodeStatus::Gone;
            let address = entry.address;
            relisted.extend(self.release_address(node, address));
        }
        relisted
    }

    /// What holds of a node: what the list says, but that it is gone where another has superseded it.
    pub fn listing(&self, node: Node) -> Option<ListedNode> {
        let entry = self.get(node)?;
        let status = if entry.superseded_by.is_some() { NodeStatus::Gone } else { entry.listed.status };
        Some(ListedNode { status, ..entry.listed })
    }

    /// The entry of a node number, if the number is in use.
    pub fn get(&self, node: Node) -> Option<&NodeEntry> {
        self.entries.get(node)?.as_ref()
    }

    /// The mutable entry of a node number, if the number is in use.
    pub fn get_mut(&mut self, node: Node) -> Option<&mut NodeEntry> {
        self.entries.get_mut(node)?.as_mut()
    }

    /// The number of the node with this uid, if it is known.
    pub fn find_by_uid(&self, uid: &str) -> Option<Node> {
        self.by_uid.get(uid).copied()
    }

    /// Removes a node and returns its entry; the number may then be assigned to another node.
    pub fn remove(&mut self, node: Node) -> Option<NodeEntry> {
        let entry = self.entries.get_mut(node)?.take()?;
        self.by_uid.remove(&entry.uid);
        self.superseded.remove(&node);
        if self.by_address.get(&entry.address) == Some(&node) {
            self.by_address.remove(&entry.address);
        }
        self.free_numbers.push(Reverse(node));
        Some(entry)
    }
}
