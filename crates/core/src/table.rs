//! The table from a key to the cache nodes that hold it, and the hash that ranks nodes for a key. The table
//! is bounded, and replicas expire by when they were last picked.

use crate::host::{Nanos, Node};
use lru::LruCache;
use std::num::NonZeroUsize;

/// Replicas by key.
pub struct ReplicaTable {
    replicas_by_key: LruCache<u64, Vec<Replica>>,
    idle_timeout: Nanos,
}

struct Replica {
    node: Node,
    last_picked: Nanos,
}

impl ReplicaTable {
    /// Holds at most `max_keys`, dropping the least recently used; replicas expire when not picked for
    /// `idle_timeout`.
    pub fn new(max_keys: usize, idle_timeout: Nanos) -> Self {
        ReplicaTable {
            replicas_by_key: LruCache::new(NonZeroUsize::new(max_keys).unwrap_or(NonZeroUsize::MIN)),
            idle_timeout,
        }
    }

    /// Appends the key's replicas to `into`, after dropping those that have expired or that `keep` declines.
    pub fn replicas(&mut self, now: Nanos, key: u64, keep: impl Fn(Node) -> bool, into: &mut Vec<Node>) {
        let Some(replicas) = self.replicas_by_key.get_mut(&key) else { return };
        replicas.retain(|replica| now < replica.last_picked + self.idle_timeout && keep(replica.node));
        into.extend(replicas.iter().map(|replica| replica.node));
    }

    /// Adds a node to the key's replicas, or marks it as picked now.
    pub fn mark_picked(&mut self, now: Nanos, key: u64, node: Node) {
        let replicas = self.replicas_by_key.get_or_insert_mut(key, Vec::new);
        if let Some(replica) = replicas.iter_mut().find(|replica| replica.node == node) {
            replica.last_picked = now;
        } else {
            replicas.push(Replica { node, last_picked: now });
        }
    }
}

/// Rendezvous hash: how high a node ranks for a key, the same at every proxy.
pub fn rendezvous(key: u64, identity: u64) -> u64 {
    let mut hash = key ^ identity;
    for factor in [0xff51_afd7_ed55_8ccd, 0xc4ce_b9fe_1a85_ec53] {
        hash = (hash ^ (hash >> 33)).wrapping_mul(factor);
    }
    hash ^ (hash >> 33)
}
