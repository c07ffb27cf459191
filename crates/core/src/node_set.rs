//! A set of nodes as a bitmap, which finds its n-th member without visiting each node.

use crate::host::Node;

/// A set of nodes.
#[derive(Clone, Debug, Default)]
pub struct NodeSet {
    words: Vec<u64>,
    count: usize,
}

impl NodeSet {
    /// The number of members.
    pub fn len(&self) -> usize {
        self.count
    }

    /// Whether there are no members.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Whether the node is a member.
    pub fn contains(&self, node: Node) -> bool {
        self.words.get(node / 64).is_some_and(|word| word >> (node % 64) & 1 == 1)
    }

    /// Adds or removes a node. Returns whether that changed the set.
    pub fn set(&mut self, node: Node, present: bool) -> bool {
        if self.contains(node) == present {
            return false;
        }
        if node / 64 >= self.words.len() {
            self.words.resize(node / 64 + 1, 0);
        }
        self.words[node / 64] ^= 1 << (node % 64);
        self.count = if present { self.count + 1 } else { self.count - 1 };
        true
    }

    /// The number of members that are not in `excluded`.
    pub fn count_excluding(&self, excluded: &[Node]) -> usize {
        self.count - excluded.iter().filter(|&&node| self.contains(node)).count()
    }

    /// The member at this index, counted from 0 in the order of nodes, without those in `excluded` (each
    /// named once). None past the last.
    pub fn nth_excluding(&self, mut index: usize, excluded: &[Node]) -> Option<Node> {
        for (word_index, &word) in self.words.iter().enumerate() {
            let mut word = word;
            if !excluded.is_empty() {
                let here = excluded.iter().filter(|&&node| node / 64 == word_index);
                here.for_each(|node| word &= !(1 << (node % 64)));
            }
            let ones = word.count_ones() as usize;
            if index < ones {
                (0..index).for_each(|_| word &= word - 1);
                return Some(word_index * 64 + word.trailing_zeros() as usize);
            }
            index -= ones;
        }
        None
    }

    /// The members in order.
    pub fn iter(&self) -> impl Iterator<Item = Node> + '_ {
        let ones = |(word_index, &word): (usize, &u64)| {
            let first = (word != 0).then_some(word);
            let words =
                std::iter::successors(first, |word| Some(word & (word - 1)).filter(|rest| *rest != 0));
            words.map(move |word| word_index * 64 + word.trailing_zeros() as usize)
        };
        self.words.iter().enumerate().flat_map(ones)
    }
}
