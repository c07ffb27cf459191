//! Nodes grouped by their load in whole requests; the least loaded nodes are in the first bucket. Moving a
//! node costs two bit changes and a lookup among the few distinct loads.

use crate::host::Node;
use crate::node_set::NodeSet;
use std::collections::BTreeMap;

/// Sets of nodes by load.
#[derive(Clone, Debug, Default)]
pub struct LoadBuckets {
    bucket_of: Vec<Option<u64>>,
    buckets: BTreeMap<u64, NodeSet>,
    /// Empty sets, kept to reuse their memory.
    spare_sets: Vec<NodeSet>,
}

impl LoadBuckets {
    /// Moves a node to the bucket of this load, or out of all with None.
    pub fn set(&mut self, node: Node, load: Option<u64>) {
        if node >= self.bucket_of.len() {
            self.bucket_of.resize(node + 1, None);
        }
        let before = std::mem::replace(&mut self.bucket_of[node], load);
        if before == load {
            return;
        }
        if let Some(load) = load {
            let spare_sets = &mut self.spare_sets;
            self.buckets.entry(load).or_insert_with(|| spare_sets.pop().unwrap_or_default()).set(node, true);
        }
        if let Some(before) = before
            && let Some(set) = self.buckets.get_mut(&before)
        {
            set.set(node, false);
            if set.is_empty()
                && let Some(set) = self.buckets.remove(&before)
            {
                self.spare_sets.push(set);
            }
        }
    }

    /// The non-empty buckets, lowest load first.
    pub fn iter(&self) -> impl Iterator<Item = (u64, &NodeSet)> {
        self.buckets.iter().map(|(&load, set)| (load, set))
    }
}
