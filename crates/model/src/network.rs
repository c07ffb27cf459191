//! Network delays within and between zones, and partitions between proxies and nodes.

use crate::seeds::Rng;
use crate::spec::NetworkSpec;
use crate::{Nanos, millis};
use rand::RngExt;
use std::collections::BTreeSet;

/// The emulated network: one-way delays with jitter, and the links that are cut.
#[derive(Clone, Debug)]
pub struct Network {
    spec: NetworkSpec,
    /// Cut links, as pairs of proxy index and node index.
    partitioned: BTreeSet<(usize, usize)>,
}

impl Network {
    /// Creates a network without partitions.
    pub fn new(spec: &NetworkSpec) -> Network {
        Network { spec: spec.clone(), partitioned: BTreeSet::new() }
    }

    /// The lower bound of every one-way delay.
    pub fn min_delay(&self) -> Nanos {
        millis(self.spec.delay_ms).max(1)
    }

    /// Draws the one-way delay of a message between two zones. Jitter is exponentially distributed and only
    /// adds to the delay.
    pub fn delay(&self, rng: &mut Rng, from: usize, to: usize) -> Nanos {
        let zone_delay = if from == to { 0.0 } else { self.spec.zone_delay_ms };
        let jitter = -self.spec.jitter_ms * (1.0 - rng.random::<f64>()).ln();
        self.min_delay() + millis(zone_delay + jitter)
    }

    /// Cuts the link between a proxy and a node, or restores it.
    pub fn set_partitioned(&mut self, proxy: usize, node: usize, partitioned: bool) {
        if partitioned {
            self.partitioned.insert((proxy, node));
        } else {
            self.partitioned.remove(&(proxy, node));
        }
    }

    /// Whether messages from the proxy reach the node.
    pub fn can_reach(&self, proxy: usize, node: usize) -> bool {
        !self.partitioned.contains(&(proxy, node))
    }
}
