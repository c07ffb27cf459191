//! Queues of requests that must keep their order: one per key, in the order in which the requests arrived. A
//! queue is dropped once it is empty and its key is no longer blocked.

use crate::host::{Nanos, RequestId};
use hashbrown::HashMap;
use std::collections::VecDeque;

/// The queues by key.
#[derive(Debug, Default)]
pub struct KeyQueues {
    queues: HashMap<u64, KeyQueue>,
    /// When blocks end, and of which key.
    block_ends: VecDeque<(Nanos, u64)>,
}

#[derive(Debug, Default)]
struct KeyQueue {
    waiting: VecDeque<RequestId>,
    /// Until when an attempt that has ended here may still be running at its node.
    blocked_until: Nanos,
}

impl KeyQueues {
    /// Appends a request to its key's queue.
    pub fn enqueue(&mut self, key: u64, id: RequestId) {
        self.queues.entry(key).or_default().waiting.push_back(id);
    }

    /// How many requests are ahead of this one; 0 if it is not queued.
    pub fn position(&self, key: u64, id: RequestId) -> usize {
        let queue = self.queues.get(&key);
        queue.and_then(|queue| queue.waiting.iter().position(|&other| other == id)).unwrap_or(0)
    }

    /// Until when the key is blocked; 0 if it is not.
    pub fn blocked_until(&self, key: u64) -> Nanos {
        self.queues.get(&key).map_or(0, |queue| queue.blocked_until)
    }

    /// Blocks the key until this time, or until an earlier block ends if that is later.
    pub fn block_until(&mut self, key: u64, until: Nanos) {
        let queue = self.queues.entry(key).or_default();
        queue.blocked_until = queue.blocked_until.max(until);
        self.block_ends.push_back((until, key));
    }

    /// Removes a request from its queue. Returns the request that became first if the removed one was first.
    pub fn remove(&mut self, now: Nanos, key: u64, id: RequestId) -> Option<RequestId> {
        let queue = self.queues.get_mut(&key)?;
        let position = queue.waiting.iter().position(|&other| other == id)?;
        queue.waiting.remove(position);
        let next = queue.waiting.front().copied().filter(|_| position == 0);
        self.remove_if_idle(key, now);
        next
    }

    /// Drops the queues of keys whose block has ended.
    pub fn prune(&mut self, now: Nanos) {
        while let Some(&(_, key)) = self.block_ends.front().filter(|(until, _)| *until <= now) {
            self.block_ends.pop_front();
            self.remove_if_idle(key, now);
        }
    }

    fn remove_if_idle(&mut self, key: u64, now: Nanos) {
        if self.queues.get(&key).is_some_and(|queue| queue.waiting.is_empty() && queue.blocked_until <= now) {
            self.queues.remove(&key);
        }
    }

    /// The number of keys with a queue or a block.
    pub fn key_count(&self) -> usize {
        self.queues.len()
    }
}
