//! Maintenance orders, and the rule that decides between conflicting ones. The rule is a pure function of the
//! known orders, independent of the sequence in which they arrived.
//!
//! Orders of one slot (a node and a lease, or a node without a lease) are totally ordered, and only the
//! greatest is kept. The state of a node is derived from the orders in all of its slots.

use crate::Nanos;
use crate::fault_injection::{Fault, is_injected};
use serde::{Deserialize, Serialize};
use std::cmp::Ordering;
use std::fmt;

/// The maximum length of the name of a node, a lease or a process, in bytes.
pub const MAX_NAME_BYTES: usize = 200;

/// One run of a replica process. Each start gets a new identity, so that no version number is used twice,
/// whatever state the disk is in.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ReplicaId {
    /// The configured name of the process.
    pub name: String,
    /// A number that is unique to this start of the process.
    pub incarnation: u64,
}

/// Identifies an order: when and by which process it was issued.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Stamp {
    /// Unix time at the issuer or, if that is later, one more than the newest time that it had seen in any
    /// stamp.
    pub time: Nanos,
    /// The process that issued the order.
    pub issuer: ReplicaId,
    /// The sequence number among the orders of this issuer, starting at 1.
    pub version: u64,
}

/// Whether a node is in service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum ServiceState {
    /// The node receives requests.
    In,
    /// The node receives no new requests.
    Out,
}

/// The lease under which an order is issued, and its fencing token.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Lease {
    /// The name of the lease.
    pub name: String,
    /// Increases with each new holder of the lease; orders of earlier holders are refused.
    pub token: u64,
}

/// The register that an order writes: a node and, for an order under a lease, the name of that lease. An
/// order replaces only orders of the same slot.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Slot {
    /// The id of the node.
    pub node: String,
    /// The name of the lease; `None` for orders without a lease.
    pub lease: Option<String>,
}

/// The value of a slot: the state of the node, and where the order came from.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Order {
    /// The state that the node shall have.
    pub service: ServiceState,
    /// The fencing token of the lease; 0 without a lease.
    pub token: u64,
    /// When and by whom the order was issued.
    pub stamp: Stamp,
}

/// An order together with its slot, as it is sent and stored.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Entry {
    /// The slot that the order writes.
    pub slot: Slot,
    /// The order.
    pub order: Order,
}

/// Why an order cannot be issued.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The token is lower than this one, which the lease has already reached.
    StaleToken { token: u64 },
    /// An order under this lease exists for the node, so it can only be changed by orders under a lease.
    LeaseRequired { lease: String },
    /// A name is empty or longer than `MAX_NAME_BYTES`.
    InvalidName,
    /// The limit of orders, or of leases for one node, is reached.
    LimitReached,
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Refusal::StaleToken { token } => {
                write!(f, "the token is stale: the lease has reached token {token}")
            }
            Refusal::LeaseRequired { lease } => {
                write!(
                    f,
                    "the node has an order under lease {lease:?}: a new order needs a lease and its token"
                )
            }
            Refusal::InvalidName => {
                write!(f, "the names of a node and a lease must have 1 to {MAX_NAME_BYTES} bytes")
            }
            Refusal::LimitReached => write!(f, "the limit of orders, or of leases for one node, is reached"),
        }
    }
}

impl Order {
    /// Compares two orders of one slot; the greater one is kept. The higher token wins, then the later time,
    /// then out of service, then the greater stamp.
    pub fn cmp_precedence(&self, other: &Order) -> Ordering {
        let by_token = self.token.cmp(&other.token);
        let by_time = self.stamp.time.cmp(&other.stamp.time);
        let by_token_and_time =
            if is_injected(Fault::TimeBeforeToken) { by_time.then(by_token) } else { by_token.then(by_time) };
        by_token_and_time.then(self.service.cmp(&other.service)).then_with(|| self.stamp.cmp(&other.stamp))
    }
}

impl Entry {
    /// Whether an entry received from a peer is well-formed: its names have valid lengths, an order without a
    /// lease has token 0, and its version is at least 1.
    pub fn is_valid(&self) -> bool {
        let valid_name = |name: &str| (1..=MAX_NAME_BYTES).contains(&name.len());
        let lease = self.slot.lease.as_deref();
        valid_name(&self.slot.node)
            && valid_name(&self.order.stamp.issuer.name)
            && lease.is_none_or(valid_name)
            && (lease.is_some() || self.order.token == 0)
            && self.order.stamp.version > 0
    }
}

/// The state of a node, given the orders of all its slots. If there are orders under a lease, the latest of
/// them decides, and out of service wins a tie; otherwise the order without a lease decides. `None` if there
/// is no order.
pub fn effective_state<'a>(orders: impl Iterator<Item = (&'a Slot, &'a Order)>) -> Option<ServiceState> {
    let precedence = |(slot, order): (&'a Slot, &'a Order)| {
        (slot.lease.is_some(), order.stamp.time, order.service, &order.stamp)
    };
    orders.map(precedence).max().map(|(_, _, service, _)| service)
}
