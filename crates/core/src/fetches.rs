//! The keys that are being fetched from the origin, who waits for each, and the line of fetches that
//! have not begun, sorted by how many wait for them and then by age.

use crate::host::{Node, Xchg};
use hashbrown::HashMap;
use std::collections::BTreeSet;

#[derive(Default)]
pub struct Fetches {
    by_key: HashMap<u64, Fetch>,
    line: BTreeSet<(usize, Xchg)>,
}

pub struct Fetch {
    /// Who fetches it.
    pub by: Xchg,
    /// The node that will hold the key.
    pub fills: Node,
    pub waiting: Vec<Xchg>,
}

impl Fetches {
    pub fn start(&mut self, key: u64, fetch: Fetch) {
        self.by_key.insert(key, fetch);
    }

    pub fn get(&self, key: Option<u64>) -> Option<&Fetch> {
        self.by_key.get(&key?)
    }

    pub fn wait(&mut self, key: Option<u64>, xchg: Xchg) {
        let Some(fetch) = key.and_then(|key| self.by_key.get_mut(&key)) else { return };
        let in_line = self.line.remove(&(fetch.waiting.len(), fetch.by));
        fetch.waiting.push(xchg);
        if in_line {
            self.line.insert((fetch.waiting.len(), fetch.by));
        }
    }

    pub fn end(&mut self, key: u64) -> Option<Fetch> {
        self.by_key.remove(&key)
    }

    /// How many wait for what this exchange fetches.
    fn waiters(&self, key: Option<u64>, xchg: Xchg) -> usize {
        self.get(key).filter(|fetch| fetch.by == xchg).map_or(0, |fetch| fetch.waiting.len())
    }

    pub fn line_up(&mut self, key: Option<u64>, xchg: Xchg) {
        self.line.insert((self.waiters(key, xchg), xchg));
    }

    pub fn leave_line(&mut self, key: Option<u64>, xchg: Xchg) {
        self.line.remove(&(self.waiters(key, xchg), xchg));
    }

    pub fn in_line(&self) -> usize {
        self.line.len()
    }

    /// Takes who brings an answer to most, of those the latest.
    pub fn take_most_awaited(&mut self) -> Option<Xchg> {
        self.line.pop_last().map(|(_, xchg)| xchg)
    }

    /// Who brings an answer to fewest, of those the oldest.
    pub fn least_awaited(&self) -> Option<Xchg> {
        self.line.first().map(|&(_, xchg)| xchg)
    }
}
