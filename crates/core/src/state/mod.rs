//! The state on which decisions are based: plain records without decisions.

mod machines;
mod node;
mod request;
mod route;
mod tenant;
mod traffic;

pub use machines::{DemandStats, MachineTypes};
pub use node::{LoadReport, NodeState};
pub use request::{Attempt, RequestState};
pub use route::{PolicySettings, Route};
pub use tenant::{Tenant, Tenants};
pub use traffic::TrafficStats;

use crate::host::{Nanos, Node};

const SECOND: Nanos = 1_000_000_000;

/// Buffers that are kept to reuse their memory.
#[derive(Clone, Debug, Default)]
pub struct Scratch {
    /// Replicas of a key.
    pub replicas: Vec<Node>,
    /// Candidate nodes with their rank for a key.
    pub ranked: Vec<(u64, Node)>,
    /// Nodes to leave out of a search.
    pub excluded: Vec<Node>,
}
