//! Sets of nodes as bits, which find the so-manieth of their members without a walk over nodes.

use crate::host::Node;

#[derive(Clone, Debug, Default)]
pub struct Bits {
    words: Vec<u64>,
    count: usize,
}

impl Bits {
    pub fn len(&self) -> usize {
        self.count
    }

    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    pub fn has(&self, node: Node) -> bool {
        self.words.get(node / 64).is_some_and(|word| word >> (node % 64) & 1 == 1)
    }

    /// Says whether that changed anything.
    pub fn set(&mut self, node: Node, there: bool) -> bool {
        if self.has(node) == there {
            return false;
        }
        if node / 64 >= self.words.len() {
            self.words.resize(node / 64 + 1, 0);
        }
        self.words[node / 64] ^= 1 << (node % 64);
        self.count = if there { self.count + 1 } else { self.count - 1 };
        true
    }

    /// How many are there that these do not name.
    pub fn without(&self, not: &[Node]) -> usize {
        self.count - not.iter().filter(|&&node| self.has(node)).count()
    }

    /// The member of that place, from 0, in the order of nodes, of those that `not` does not name (each once).
    pub fn nth(&self, mut place: usize, not: &[Node]) -> Option<Node> {
        for (at, &word) in self.words.iter().enumerate() {
            let mut word = word;
            if !not.is_empty() {
                let here = not.iter().filter(|&&node| node / 64 == at);
                here.for_each(|node| word &= !(1 << (node % 64)));
            }
            let ones = word.count_ones() as usize;
            if place < ones {
                (0..place).for_each(|_| word &= word - 1);
                return Some(at * 64 + word.trailing_zeros() as usize);
            }
            place -= ones;
        }
        None
    }

    pub fn iter(&self) -> impl Iterator<Item = Node> + '_ {
        let ones = |(at, &word): (usize, &u64)| {
            let first = (word != 0).then_some(word);
            let words =
                std::iter::successors(first, |word| Some(word & (word - 1)).filter(|rest| *rest != 0));
            words.map(move |word| at * 64 + word.trailing_zeros() as usize)
        };
        self.words.iter().enumerate().flat_map(ones)
    }
}
