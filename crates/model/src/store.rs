//! The memory of a cache node: an LRU cache that is bounded in bytes. Only keys and sizes are kept, no
//! values.

use lru::LruCache;

/// An LRU cache of value sizes by key. The least recently used keys are evicted when memory runs short.
#[derive(Debug)]
pub struct Store {
    /// Value size in bytes by key.
    entries: LruCache<u64, u64>,
    /// Sum of the sizes of all entries.
    used_bytes: u64,
    capacity_bytes: u64,
}

impl Store {
    /// Creates an empty store.
    pub fn new(capacity_bytes: u64) -> Store {
        Store { entries: LruCache::unbounded(), used_bytes: 0, capacity_bytes }
    }

    /// Whether the key is stored; if so, it becomes the most recently used.
    pub fn lookup(&mut self, key: u64) -> bool {
        self.entries.get(&key).is_some()
    }

    /// Stores a key, in place of its earlier value, and evicts others to make room. A value that is larger
    /// than the whole capacity is not stored.
    pub fn insert(&mut self, key: u64, value_bytes: u64) {
        self.remove(key);
        if value_bytes > self.capacity_bytes {
            return;
        }
        self.entries.put(key, value_bytes);
        self.used_bytes += value_bytes;
        while self.used_bytes > self.capacity_bytes {
            let Some((_, evicted_bytes)) = self.entries.pop_lru() else { break };
            self.used_bytes -= evicted_bytes;
        }
    }

    /// Removes a key; no effect if it is not stored.
    pub fn remove(&mut self, key: u64) {
        self.used_bytes -= self.entries.pop(&key).unwrap_or(0);
    }

    /// Removes all keys.
    pub fn clear(&mut self) {
        self.entries.clear();
        self.used_bytes = 0;
    }

    /// Sum of the sizes of all stored values.
    pub fn used_bytes(&self) -> u64 {
        self.used_bytes
    }

    /// The number of stored keys.
    pub fn entry_count(&self) -> usize {
        self.entries.len()
    }
}
