//! Nodes by their load in whole requests: the least loaded are those of the first class that has any. A node
//! changes its class at the cost of two bits and a step through the few loads there are.

use crate::host::Node;
use crate::ranks::Bits;
use std::collections::BTreeMap;

#[derive(Clone, Debug, Default)]
pub struct Classes {
    of: Vec<Option<u64>>,
    sets: BTreeMap<u64, Bits>,
    /// Sets that are empty now, kept for their memory.
    spare: Vec<Bits>,
}

impl Classes {
    /// Puts a node in a class, or in none.
    pub fn put(&mut self, node: Node, class: Option<u64>) {
        if node >= self.of.len() {
            self.of.resize(node + 1, None);
        }
        let before = std::mem::replace(&mut self.of[node], class);
        if before == class {
            return;
        }
        if let Some(class) = class {
            let spare = &mut self.spare;
            self.sets.entry(class).or_insert_with(|| spare.pop().unwrap_or_default()).set(node, true);
        }
        if let Some(before) = before
            && let Some(set) = self.sets.get_mut(&before)
        {
            set.set(node, false);
            if set.is_empty()
                && let Some(set) = self.sets.remove(&before)
            {
                self.spare.push(set);
            }
        }
    }

    /// The classes that have any member, the least load first.
    pub fn each(&self) -> impl Iterator<Item = (u64, &Bits)> {
        self.sets.iter().map(|(&class, set)| (class, set))
    }
}
