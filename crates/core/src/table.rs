//! The table from key to set of cache nodes: bounded, and aged by when its members were last picked.

use crate::host::{Nanos, Node};
use lru::LruCache;
use std::num::NonZeroUsize;

pub struct Table {
    sets: LruCache<u64, Vec<Member>>,
    unpicked: Nanos,
}

struct Member {
    node: Node,
    picked: Nanos,
}

impl Table {
    /// Holds at most `keys`, those used longest ago leave first; members unpicked for so long leave.
    pub fn new(keys: usize, unpicked: Nanos) -> Self {
        Table { sets: LruCache::new(NonZeroUsize::new(keys).unwrap_or(NonZeroUsize::MIN)), unpicked }
    }

    /// Adds the key's set to `into`, after dropping what aged and what `stays` denies.
    pub fn set(&mut self, now: Nanos, key: u64, stays: impl Fn(Node) -> bool, into: &mut Vec<Node>) {
        let Some(set) = self.sets.get_mut(&key) else { return };
        set.retain(|member| now < member.picked + self.unpicked && stays(member.node));
        into.extend(set.iter().map(|member| member.node));
    }

    /// Puts a node in the key's set, or marks it picked.
    pub fn pick(&mut self, now: Nanos, key: u64, node: Node) {
        let set = self.sets.get_or_insert_mut(key, Vec::new);
        if let Some(member) = set.iter_mut().find(|member| member.node == node) {
            member.picked = now;
        } else {
            set.push(Member { node, picked: now });
        }
    }
}

/// How high a node ranks for a key; alike at every proxy.
pub fn rendezvous(key: u64, identity: u64) -> u64 {
    let mut mixed = key ^ identity;
    for factor in [0xff51_afd7_ed55_8ccd, 0xc4ce_b9fe_1a85_ec53] {
        mixed = (mixed ^ (mixed >> 33)).wrapping_mul(factor);
    }
    mixed ^ (mixed >> 33)
}
