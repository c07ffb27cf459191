//! The names and addresses of the listed nodes, indexed by the node numbers that the core uses. An entry here is all
//! that the proxy keeps for a listed node outside the core.

use crate::messages::DiscoveredNode;
use hashbrown::HashMap;
use pumicebay_core::{Node, NodeStatus};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
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
    /// Numbers of removed nodes; they are assigned again, the lowest first.
    free_numbers: BinaryHeap<Reverse<Node>>,
}

impl NodeTable {
    /// Adds a node or updates its address. Returns its number and whether it is new; `None` for an unknown node that
    /// discovery reports as gone.
    pub fn upsert(&mut self, named: &DiscoveredNode) -> Option<(Node, bool)> {
        if let Some(&node) = self.by_uid.get(&named.uid) {
            if let Some(entry) = &mut self.entries[node] {
                entry.address = named.address;
            }
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
        self.entries[node] = Some(NodeEntry { uid, address, origin, logged: false });
        Some((node, true))
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
        self.free_numbers.push(Reverse(node));
        Some(entry)
    }
}
