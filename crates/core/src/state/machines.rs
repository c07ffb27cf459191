//! What kinds of machines take for an answer, and what this proxy is asked and its caches answer. Plain records, no
//! choices.

use crate::host::{Nanos, Node};
use crate::ring::Ring;
use crate::state::{Flow, SECOND};

/// How long answers take, in seconds: of each kind of machine, where it is known, and of all.
#[derive(Clone, Debug)]
pub struct Kinds {
    took: Vec<Took>,
    pub usual: f64,
    /// What nodes that had the key took lately.
    lately: Ring<8>,
    pub hits: f64,
}

impl Default for Kinds {
    fn default() -> Self {
        Kinds { took: Vec::new(), usual: 0.0, lately: Ring::new(2 * SECOND), hits: 0.0 }
    }
}

#[derive(Clone, Debug)]
struct Took {
    minute: Ring<20>,
    /// The mean, as of when it was last settled.
    mean: Option<f64>,
}

impl Kinds {
    pub fn add(&mut self, now: Nanos, kind: usize, took: Nanos) {
        let none = || Took { minute: Ring::new(60 * SECOND), mean: None };
        self.took.resize_with(self.took.len().max(kind + 1), none);
        self.took[kind].minute.add(now, took as f64 / SECOND as f64);
        self.lately.add(now, took as f64 / SECOND as f64);
    }

    /// Takes the means of the last minute, so that nothing sums them up for each decision.
    pub fn settle(&mut self, now: Nanos, all: &Flow) {
        self.usual = all.minute.mean(now).unwrap_or(self.usual);
        self.hits = self.lately.mean(now).unwrap_or(self.usual);
        self.took.iter_mut().for_each(|took| took.mean = took.minute.mean(now).or(took.mean));
    }

    pub fn took(&self, kind: usize) -> f64 {
        self.took.get(kind).and_then(|took| took.mean).unwrap_or(self.usual).max(1e-6)
    }
}

/// What is asked of this proxy, and what a warm cache that serves answers a second: each as of its turn, and all
/// on average.
#[derive(Clone, Debug)]
pub struct Pace {
    pub asked: Ring<8>,
    pub normal: Ring<20>,
    /// Of each cache the part of its capacity that it has, and what it answers a second.
    caches: Vec<(f64, f64)>,
    /// How many warm caches they make all together, one at least.
    pub able: f64,
    /// Whose turn it was last.
    pub turn: Node,
}

impl Default for Pace {
    fn default() -> Self {
        Pace {
            asked: Ring::new(2 * SECOND),
            normal: Ring::new(60 * SECOND),
            caches: Vec::new(),
            able: 0.0,
            turn: 0,
        }
    }
}

impl Pace {
    pub fn settle(&mut self, now: Nanos) {
        let warm = self.caches.iter().filter(|(part, _)| *part == 1.0);
        let (sum, count) = warm.fold((0.0, 0), |(sum, n), (_, rate)| (sum + rate, n + 1));
        self.normal.add(now, sum / f64::from(count.max(1)));
        self.able = self.caches.iter().map(|(part, _)| part).sum::<f64>().max(1.0);
    }

    pub fn rate(&mut self, node: Node, part: f64, rate: f64) {
        self.caches.resize(self.caches.len().max(node + 1), (0.0, 0.0));
        self.caches[node] = (part, rate);
    }
}
