//! Orders of maintenance and the rule for those that differ: a pure function over what is known, whatever order it came
//! in. Within a slot (a node and a lease, or a node and no lease) orders are totally ordered; what holds for a node is read
//! from all its slots.

use crate::Nanos;
use crate::fault_injection::{Fault, is_injected};
use serde::{Deserialize, Serialize};
use std::cmp::Ordering;
use std::fmt;

/// The longest name of a node, of a lease or of a process, in bytes.
pub const MAX_NAME_BYTES: usize = 200;

/// One start of a process. Each start is another origin, so that no number is ever used twice, whatever its disk says.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ReplicaId {
    pub name: String,
    /// A number that no other start draws.
    pub incarnation: u64,
}

/// When and by whom an order was given.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Stamp {
    /// Unix time, or one more than the newest that its origin had seen, if that is later.
    pub time: Nanos,
    pub issuer: ReplicaId,
    /// The origin's orders count from 1.
    pub version: u64,
}

/// What an order says of its node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum ServiceState {
    In,
    /// Nothing new is sent there.
    Out,
}

/// The lease that an order is given under, and its fencing token.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Lease {
    pub name: String,
    pub token: u64,
}

/// What one order replaces another of: a node and the lease, if any.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Slot {
    pub node: String,
    pub lease: Option<String>,
}

/// An order as a slot keeps it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Order {
    pub service: ServiceState,
    /// 0 without a lease.
    pub token: u64,
    pub stamp: Stamp,
}

/// An order with its slot, as it travels.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Entry {
    pub slot: Slot,
    pub order: Order,
}

/// Why an order is not taken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The lease has gone on to this token.
    StaleToken { token: u64 },
    /// A lease has spoken for this node: only an order under a lease may change that.
    LeaseRequired { lease: String },
    /// A name is empty or longer than it may be.
    InvalidName,
    /// There are as many orders, or leases for one node, as may be.
    LimitReached,
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Refusal::StaleToken { token } => write!(f, "the lease has gone on to token {token}"),
            Refusal::LeaseRequired { lease } => {
                write!(f, "lease {lease:?} has spoken for it: an order needs a lease and its token")
            }
            Refusal::InvalidName => write!(f, "expected names of 1 to {MAX_NAME_BYTES} bytes"),
            Refusal::LimitReached => write!(f, "too many orders or leases are known"),
        }
    }
}

impl Order {
    /// A total order within a slot: a higher token wins, then the later time, then out of service.
    pub fn cmp_precedence(&self, other: &Order) -> Ordering {
        let by_token = self.token.cmp(&other.token);
        let by_time = self.stamp.time.cmp(&other.stamp.time);
        let by_token_and_time =
            if is_injected(Fault::TimeBeforeToken) { by_time.then(by_token) } else { by_token.then(by_time) };
        by_token_and_time.then(self.service.cmp(&other.service)).then_with(|| self.stamp.cmp(&other.stamp))
    }
}

impl Entry {
    /// Whether all its names may be used.
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

/// What holds for a node, given the orders of all its slots: the latest of those given under a lease, out of service where
/// two are as late; without any of those the one without a lease. `None` where there is no order at all.
pub fn effective_state<'a>(orders: impl Iterator<Item = (&'a Slot, &'a Order)>) -> Option<ServiceState> {
    let precedence = |(slot, order): (&'a Slot, &'a Order)| {
        (slot.lease.is_some(), order.stamp.time, order.service, &order.stamp)
    };
    orders.map(precedence).max().map(|(_, _, service, _)| service)
}
