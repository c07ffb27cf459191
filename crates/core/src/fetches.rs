//! The keys that are being fetched from the origin, who waits for each, and the line of fetches that
//! have not begun, sorted by what their answers are worth and then by age.

use crate::host::{Node, RequestId};
use hashbrown::HashMap;
use std::collections::BTreeSet;

#[derive(Default)]
pub struct Fetches {
    by_key: HashMap<u64, Fetch>,
    line: BTreeSet<(u64, RequestId)>,
}

pub struct Fetch {
    /// Who fetches it.
    pub by: RequestId,
    /// The node that will hold the key.
    pub fills: Node,
    /// What the answer is worth to all who wait for it.
    pub worth: u64,
    pub waiting: Vec<RequestId>,
}

impl Fetches {
    pub fn start(&mut self, key: u64, fetch: Fetch) {
        self.by_key.insert(key, fetch);
    }

    pub fn get(&self, key: Option<u64>) -> Option<&Fetch> {
        self.by_key.get(&key?)
    }

    /// The node that is to hold the key, if it is being fetched.
    pub fn fills(&self, key: Option<u64>) -> Option<Node> {
        self.get(key).map(|fetch| fetch.fills)
    }

    pub fn wait(&mut self, key: Option<u64>, id: RequestId, worth: u64) {
        let Some(fetch) = key.and_then(|key| self.by_key.get_mut(&key)) else { return };
        let in_line = self.line.remove(&(fetch.worth, fetch.by));
        fetch.waiting.push(id);
        fetch.worth += worth;
        if in_line {
            self.line.insert((fetch.worth, fetch.by));
        }
    }

    pub fn end(&mut self, key: u64) -> Option<Fetch> {
        self.by_key.remove(&key)
    }

    /// What the answer is worth to all who wait if this request fetches, else to itself.
    fn worth(&self, key: Option<u64>, id: RequestId, own: u64) -> u64 {
        self.get(key).filter(|fetch| fetch.by == id).map_or(own, |fetch| fetch.worth)
    }

    pub fn line_up(&mut self, key: Option<u64>, id: RequestId, own: u64) {
        self.line.insert((self.worth(key, id, own), id));
    }

    pub fn leave_line(&mut self, key: Option<u64>, id: RequestId, own: u64) {
        self.line.remove(&(self.worth(key, id, own), id));
    }

    pub fn in_line(&self) -> usize {
        self.line.len()
    }

    /// The one whose answer is worth most, of those the latest.
    pub fn worthiest(&self) -> Option<RequestId> {
        self.line.last().map(|&(_, id)| id)
    }

    pub fn take_worthiest(&mut self) {
        self.line.pop_last();
    }

    /// The one whose answer is worth least, of those the oldest.
    pub fn least_worthy(&self) -> Option<RequestId> {
        self.line.first().map(|&(_, id)| id)
    }
}
