//! The load balancing and retry decisions of pumicebay, without network code, I/O or a clock. Start reading
//! at [`balancer`].

pub mod balancer;
pub mod fetches;
pub mod groups;
pub mod host;
pub mod key_queues;
pub mod load_buckets;
pub mod node_set;
pub mod nodes;
pub mod policy;
pub mod settings;
pub mod sliding_window;
pub mod state;
pub mod status;
pub mod superseded;
pub mod table;

pub use balancer::Balancer;
pub use host::{
    GiveUpReason, Host, ListedNode, Nanos, Node, NodeStatus, Outcome, ReportedLoad, RequestId, RequestParams,
};
pub use settings::Settings;
pub use status::Status;
pub use superseded::{Restrict, Superseded};
