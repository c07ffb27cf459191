//! What the decisions remember: plain records, no choices.

mod cache;
mod flow;
mod machines;
mod request;
mod route;
mod tenant;

pub use cache::{Cache, Report};
pub use flow::Flow;
pub use machines::{Kinds, Pace};
pub use request::{Attempt, RequestState};
pub use route::{Route, Rules};
pub use tenant::{Tenant, Tenants};

use crate::host::{Nanos, Node};

const SECOND: Nanos = 1_000_000_000;

/// Lists that are kept for their memory.
#[derive(Clone, Debug, Default)]
pub struct Scratch {
    pub set: Vec<Node>,
    pub ranked: Vec<(u64, Node)>,
    pub not: Vec<Node>,
}
