//! The names and addresses of the listed nodes, under the numbers by which the decisions know them. All that a listed
//! node has outside the decisions is its entry here.

use crate::messages::DiscoveredNode;
use hashbrown::HashMap;
use pumicebay_core::{Node, NodeStatus};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;
use std::sync::Arc;

/// A node that is listed, or owes something still.
#[derive(Clone, Debug)]
pub struct Known {
    pub uid: Arc<str>,
    pub address: SocketAddr,
    pub origin: bool,
    /// Its name stands in the log beside its number.
    pub logged: bool,
}

impl Known {
    /// Says which node has this number.
    pub fn log(&mut self, node: Node) {
        self.logged = true;
        tracing::info!("node {node} is {} at {}", self.uid, self.address);
    }
}

#[derive(Debug, Default)]
pub struct Nodes {
    /// By number.
    known: Vec<Option<Known>>,
    by_uid: HashMap<Arc<str>, Node>,
    /// Numbers that had a node; each is given to another, the lowest first.
    free: BinaryHeap<Reverse<Node>>,
}

impl Nodes {
    /// The number of a node, with whether it is new. None for one that left before it was known.
    pub fn number(&mut self, named: &DiscoveredNode) -> Option<(Node, bool)> {
        if let Some(&node) = self.by_uid.get(&named.uid) {
            if let Some(known) = &mut self.known[node] {
                known.address = named.address;
            }
            return Some((node, false));
        }
        if named.listed.status == NodeStatus::Gone {
            return None;
        }
        let node = self.free.pop().map_or(self.known.len(), |Reverse(node)| node);
        if node == self.known.len() {
            self.known.push(None);
        }
        let (uid, address, origin) = (named.uid.clone(), named.address, named.listed.origin);
        self.by_uid.insert(uid.clone(), node);
        self.known[node] = Some(Known { uid, address, origin, logged: false });
        Some((node, true))
    }

    pub fn get(&self, node: Node) -> Option<&Known> {
        self.known.get(node)?.as_ref()
    }

    pub fn get_mut(&mut self, node: Node) -> Option<&mut Known> {
        self.known.get_mut(node)?.as_mut()
    }

    pub fn find(&self, uid: &str) -> Option<Node> {
        self.by_uid.get(uid).copied()
    }

    /// Its number is free for another.
    pub fn remove(&mut self, node: Node) -> Option<Known> {
        let known = self.known.get_mut(node)?.take()?;
        self.by_uid.remove(&known.uid);
        self.free.push(Reverse(node));
        Some(known)
    }
}
