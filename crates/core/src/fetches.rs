//! Fetches from the origin: those in progress by key with the requests that wait for them, and the queue of
//! fetches that have not begun, ordered by payoff and then by age.

use crate::host::{Node, RequestId};
use hashbrown::HashMap;
use std::collections::BTreeSet;

/// Fetches in progress and the queue for the origin.
#[derive(Default)]
pub struct Fetches {
    by_key: HashMap<u64, Fetch>,
    queue: BTreeSet<(u64, RequestId)>,
}

/// One fetch of a key, on behalf of all requests for it.
pub struct Fetch {
    /// The request that fetches.
    pub leader: RequestId,
    /// The node that will hold the key.
    pub target_node: Node,
    /// Payoff of the answer for the leader and all waiters together, in thousandths.
    pub payoff_milli: u64,
    /// Requests that wait for the fetch.
    pub waiters: Vec<RequestId>,
}

impl Fetches {
    /// Registers the key's fetch.
    pub fn start(&mut self, key: u64, fetch: Fetch) {
        self.by_key.insert(key, fetch);
    }

    /// The key's fetch, if there is one.
    pub fn get(&self, key: Option<u64>) -> Option<&Fetch> {
        self.by_key.get(&key?)
    }

    /// The node that will hold the key, if it is being fetched.
    pub fn target_node(&self, key: Option<u64>) -> Option<Node> {
        self.get(key).map(|fetch| fetch.target_node)
    }

    /// Adds a request that waits for the key's fetch, whose payoff grows by that of the request.
    pub fn add_waiter(&mut self, key: Option<u64>, id: RequestId, payoff_milli: u64) {
        let Some(fetch) = key.and_then(|key| self.by_key.get_mut(&key)) else { return };
        let queued = self.queue.remove(&(fetch.payoff_milli, fetch.leader));
        fetch.waiters.push(id);
        fetch.payoff_milli += payoff_milli;
        if queued {
            self.queue.insert((fetch.payoff_milli, fetch.leader));
        }
    }

    /// Removes the key's fetch and returns it.
    pub fn finish(&mut self, key: u64) -> Option<Fetch> {
        self.by_key.remove(&key)
    }

    /// The payoff of the whole fetch if this request leads it, otherwise the request's own.
    fn payoff_milli(&self, key: Option<u64>, id: RequestId, own_payoff_milli: u64) -> u64 {
        self.get(key).filter(|fetch| fetch.leader == id).map_or(own_payoff_milli, |fetch| fetch.payoff_milli)
    }

    /// Adds a request to the queue for the origin.
    pub fn enqueue(&mut self, key: Option<u64>, id: RequestId, own_payoff_milli: u64) {
        self.queue.insert((self.payoff_milli(key, id, own_payoff_milli), id));
    }

    /// Removes a request from the queue for the origin, if it is there.
    pub fn dequeue(&mut self, key: Option<u64>, id: RequestId, own_payoff_milli: u64) {
        self.queue.remove(&(self.payoff_milli(key, id, own_payoff_milli), id));
    }

    /// The length of the queue for the origin.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// The queued request with the highest payoff, the latest among equals.
    pub fn highest_payoff(&self) -> Option<RequestId> {
        self.queue.last().map(|&(_, id)| id)
    }

    /// Removes the queued request with the highest payoff.
    pub fn pop_highest_payoff(&mut self) {
        self.queue.pop_last();
    }

    /// The queued request with the lowest payoff, the oldest among equals.
    pub fn lowest_payoff(&self) -> Option<RequestId> {
        self.queue.first().map(|&(_, id)| id)
    }
}
