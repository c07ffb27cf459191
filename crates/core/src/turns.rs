//! The lines of requests that keep their order: one a key, in the order in which they were taken. A line is gone once
//! nobody stands in it and its key's rest is over.

use crate::host::{Nanos, RequestId};
use hashbrown::HashMap;
use std::collections::VecDeque;

#[derive(Debug, Default)]
pub struct Turns {
    lines: HashMap<u64, Line>,
    /// When rests end, and of which key.
    rests: VecDeque<(Nanos, u64)>,
}

#[derive(Debug, Default)]
struct Line {
    waiting: VecDeque<RequestId>,
    /// Until when an attempt that ended may still run.
    rests_until: Nanos,
}

impl Turns {
    pub fn enter(&mut self, key: u64, id: RequestId) {
        self.lines.entry(key).or_default().waiting.push_back(id);
    }

    /// How many stand before this one.
    pub fn before(&self, key: u64, id: RequestId) -> usize {
        let line = self.lines.get(&key);
        line.and_then(|line| line.waiting.iter().position(|&other| other == id)).unwrap_or(0)
    }

    pub fn rests_until(&self, key: u64) -> Nanos {
        self.lines.get(&key).map_or(0, |line| line.rests_until)
    }

    pub fn rest(&mut self, key: u64, until: Nanos) {
        let line = self.lines.entry(key).or_default();
        line.rests_until = line.rests_until.max(until);
        self.rests.push_back((until, key));
    }

    /// Takes a request out of its line: who is first then, if it was.
    pub fn leave(&mut self, now: Nanos, key: u64, id: RequestId) -> Option<RequestId> {
        let line = self.lines.get_mut(&key)?;
        let place = line.waiting.iter().position(|&other| other == id)?;
        line.waiting.remove(place);
        let next = line.waiting.front().copied().filter(|_| place == 0);
        self.tidy(key, now);
        next
    }

    /// Forgets keys whose rest is over.
    pub fn sweep(&mut self, now: Nanos) {
        while let Some(&(_, key)) = self.rests.front().filter(|(until, _)| *until <= now) {
            self.rests.pop_front();
            self.tidy(key, now);
        }
    }

    fn tidy(&mut self, key: u64, now: Nanos) {
        if self.lines.get(&key).is_some_and(|line| line.waiting.is_empty() && line.rests_until <= now) {
            self.lines.remove(&key);
        }
    }

    /// How many keys anything is kept for.
    pub fn keys(&self) -> usize {
        self.lines.len()
    }
}
