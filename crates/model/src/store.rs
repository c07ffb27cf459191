//! What a cache node holds: copies by key, those used longest ago leave first when memory runs short.

use lru::LruCache;

#[derive(Debug)]
pub struct Store {
    copies: LruCache<u64, u64>,
    /// In bytes: what the copies take, and what they may.
    held: u64,
    memory: u64,
}

impl Store {
    pub fn new(memory: u64) -> Store {
        Store { copies: LruCache::unbounded(), held: 0, memory }
    }

    /// Whether the key is there; it then counts as just used.
    pub fn read(&mut self, key: u64) -> bool {
        self.copies.get(&key).is_some()
    }

    /// Keeps a copy. One that is longer than all memory is not kept.
    pub fn keep(&mut self, key: u64, size: u64) {
        self.drop_copy(key);
        if size > self.memory {
            return;
        }
        self.copies.put(key, size);
        self.held += size;
        while self.held > self.memory {
            let Some((_, size)) = self.copies.pop_lru() else { break };
            self.held -= size;
        }
    }

    pub fn drop_copy(&mut self, key: u64) {
        self.held -= self.copies.pop(&key).unwrap_or(0);
    }

    pub fn clear(&mut self) {
        self.copies.clear();
        self.held = 0;
    }

    /// In bytes.
    pub fn held(&self) -> u64 {
        self.held
    }

    pub fn copies(&self) -> usize {
        self.copies.len()
    }
}
