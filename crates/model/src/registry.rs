//! Discovery: the list of nodes with a version, and what it says of each. It tells what it was told, which
//! may be late, old or untrue.

use crate::Nanos;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum State {
    Ready,
    Draining,
    #[default]
    Left,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Entry {
    pub node: usize,
    pub state: State,
    /// When the node says its process started; 0 for long ago.
    pub started: Nanos,
}

#[derive(Clone, Debug, Default)]
pub struct Registry {
    version: u64,
    entries: Vec<(u64, Entry)>,
    /// Nodes that it tells nothing new of.
    frozen: Vec<bool>,
    /// It answers nobody.
    pub silent: bool,
}

impl Registry {
    /// Says this of a node from now on; false where that is nothing new, or not believed.
    pub fn set(&mut self, entry: Entry) -> bool {
        let node = entry.node;
        if node >= self.entries.len() {
            let fill = |at| (0, Entry { node: at, ..Entry::default() });
            self.entries.extend((self.entries.len()..=node).map(fill));
            self.frozen.resize(node + 1, false);
        }
        if self.frozen[node] || self.entries[node].1 == entry {
            return false;
        }
        self.version += 1;
        self.entries[node] = (self.version, entry);
        true
    }

    /// Goes on saying of a node what it says now, whatever becomes of it.
    pub fn freeze(&mut self, node: usize, frozen: bool) {
        if let Some(flag) = self.frozen.get_mut(node) {
            *flag = frozen;
        }
    }

    pub fn version(&self) -> u64 {
        self.version
    }

    pub fn get(&self, node: usize) -> Option<Entry> {
        self.entries.get(node).map(|(_, entry)| *entry)
    }

    /// The whole list, without those that left.
    pub fn whole(&self) -> Vec<Entry> {
        let there = |(_, entry): &&(u64, Entry)| entry.state != State::Left;
        self.entries.iter().filter(there).map(|(_, entry)| *entry).collect()
    }

    /// What changed after this version.
    pub fn since(&self, version: u64) -> Vec<Entry> {
        self.entries.iter().filter(|(at, _)| *at > version).map(|(_, entry)| *entry).collect()
    }
}
