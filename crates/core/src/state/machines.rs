//! Latency by machine type, and the request rates of this proxy and its caches. Plain records without
//! decisions.

use crate::host::{Nanos, Node};
use crate::sliding_window::SlidingWindow;
use crate::state::{SECOND, TrafficStats};

/// Latency of answers, in seconds: for each machine type where it is known, and for all caches.
#[derive(Clone, Debug)]
pub struct MachineTypes {
    by_type: Vec<TypeLatency>,
    /// Mean latency of all caches over the last minute, in seconds.
    pub mean_latency: f64,
    /// Latency of recent hits, in seconds.
    recent_hits: SlidingWindow<8>,
    /// Mean latency of recent hits, in seconds.
    pub hit_latency: f64,
}

impl Default for MachineTypes {
    fn default() -> Self {
        MachineTypes {
            by_type: Vec::new(),
            mean_latency: 0.0,
            recent_hits: SlidingWindow::new(2 * SECOND),
            hit_latency: 0.0,
        }
    }
}

#[derive(Clone, Debug)]
struct TypeLatency {
    minute_answers: SlidingWindow<20>,
    /// The mean when it was last refreshed.
    mean: Option<f64>,
}

impl MachineTypes {
    /// Records the latency of a hit at a node of this machine type.
    pub fn record(&mut self, now: Nanos, machine_type: usize, latency: Nanos) {
        let none = || TypeLatency { minute_answers: SlidingWindow::new(60 * SECOND), mean: None };
        self.by_type.resize_with(self.by_type.len().max(machine_type + 1), none);
        self.by_type[machine_type].minute_answers.add(now, latency as f64 / SECOND as f64);
        self.recent_hits.add(now, latency as f64 / SECOND as f64);
    }

    /// Recomputes the means of the last minute, so that decisions need not sum them up each time.
    pub fn refresh(&mut self, now: Nanos, all_caches: &TrafficStats) {
        self.mean_latency = all_caches.minute_answers.mean(now).unwrap_or(self.mean_latency);
        self.hit_latency = self.recent_hits.mean(now).unwrap_or(self.mean_latency);
        self.by_type
            .iter_mut()
            .for_each(|latency| latency.mean = latency.minute_answers.mean(now).or(latency.mean));
    }

    /// The mean latency of a machine type, in seconds; that of all caches where it is unknown.
    pub fn latency(&self, machine_type: usize) -> f64 {
        self.by_type.get(machine_type).and_then(|latency| latency.mean).unwrap_or(self.mean_latency).max(1e-6)
    }
}

/// The demand on this proxy, and the rate at which warm serving caches answer. Each cache's values are of its
/// last update.
#[derive(Clone, Debug)]
pub struct DemandStats {
    /// Work of arriving requests.
    pub requests: SlidingWindow<8>,
    /// Mean answers per second of a warm cache.
    pub warm_rates: SlidingWindow<20>,
    /// For each cache its share of full capacity, and its answers per second.
    nodes: Vec<(f64, f64)>,
    /// The capacity of all caches in units of a warm cache, at least one.
    pub warm_equivalents: f64,
    /// The node that was updated last.
    pub last_updated: Node,
}

impl Default for DemandStats {
    fn default() -> Self {
        DemandStats {
            requests: SlidingWindow::new(2 * SECOND),
            warm_rates: SlidingWindow::new(60 * SECOND),
            nodes: Vec::new(),
            warm_equivalents: 0.0,
            last_updated: 0,
        }
    }
}

impl DemandStats {
    /// Recomputes the totals over all caches.
    pub fn refresh(&mut self, now: Nanos) {
        let warm = self.nodes.iter().filter(|(capacity_share, _)| *capacity_share == 1.0);
        let (sum, count) = warm.fold((0.0, 0), |(sum, n), (_, rate)| (sum + rate, n + 1));
        self.warm_rates.add(now, sum / f64::from(count.max(1)));
        self.warm_equivalents =
            self.nodes.iter().map(|(capacity_share, _)| capacity_share).sum::<f64>().max(1.0);
    }

    /// Stores a cache's share of full capacity and its answers per second.
    pub fn record_rate(&mut self, node: Node, capacity_share: f64, rate: f64) {
        self.nodes.resize(self.nodes.len().max(node + 1), (0.0, 0.0));
        self.nodes[node] = (capacity_share, rate);
    }
}
