//! The state that the replicas must reach, computed from the accepted orders by a second implementation of
//! the merge rules, and a check of the requests that the nodes received.

use crate::replicas::nodes::{Nodes, ReceivedRequest};
use pumicebay_replication::{Stamp, Status};
use std::collections::{BTreeMap, BTreeSet};

/// A proxy may send to a node for at most this long after it took the node out of service, in seconds.
const MAX_DELAY: f64 = 0.05;
/// The tolerance for inexact times, in seconds.
const TIME_TOLERANCE: f64 = 0.1;

/// An operator's order.
#[derive(Clone, Debug)]
pub struct Order {
    pub node: String,
    /// Whether it takes the node out of service or returns it.
    pub out: bool,
    /// The lease under which it is given, and its token.
    pub lease: Option<(String, u64)>,
}

/// An order that a proxy accepted.
#[derive(Clone, Debug)]
struct AcceptedOrder {
    order: Order,
    stamp: Stamp,
    /// Whether its proxy lost its disk before another proxy was known to have the order.
    may_be_lost: bool,
}

/// All accepted orders of a run, each with the index of the proxy that accepted it.
#[derive(Default)]
pub struct ExpectedState(Vec<(usize, AcceptedOrder)>);

impl ExpectedState {
    /// Notes an order that the proxy with this index accepted under this stamp.
    pub fn order_accepted(&mut self, proxy: usize, order: Order, stamp: Stamp) {
        self.0.push((proxy, AcceptedOrder { order, stamp, may_be_lost: false }));
    }

    /// The number of accepted orders.
    pub fn accepted_count(&self) -> usize {
        self.0.len()
    }

    /// Notes that a proxy loses its disk: those of its orders that none of the other proxies' states cover
    /// may be lost.
    pub fn disk_lost(&mut self, proxy: usize, others: &[Status]) {
        for (_, accepted) in self.0.iter_mut().filter(|(by, _)| *by == proxy) {
            accepted.may_be_lost |= !others.iter().any(|other| other.vector.covers(&accepted.stamp));
        }
    }

    /// The nodes that must be out of service, with or without the orders that may be lost.
    fn nodes_out(&self, include_uncertain: bool) -> BTreeSet<String> {
        let mut latest: BTreeMap<(&str, Option<&str>), &AcceptedOrder> = BTreeMap::new();
        for (_, accepted) in self.0.iter().filter(|(_, accepted)| include_uncertain || !accepted.may_be_lost)
        {
            let lease = accepted.order.lease.as_ref().map(|(name, _)| name.as_str());
            let slot = latest.entry((&accepted.order.node, lease)).or_insert(accepted);
            if rank(accepted) > rank(slot) {
                *slot = accepted;
            }
        }
        let mut nodes: BTreeMap<&str, Vec<&AcceptedOrder>> = BTreeMap::new();
        for ((node, _), accepted) in latest {
            nodes.entry(node).or_default().push(accepted);
        }
        let is_out = |(_, slots): &(&str, Vec<&AcceptedOrder>)| {
            let leased = slots.iter().any(|accepted| accepted.order.lease.is_some());
            let deciding = slots.iter().filter(|accepted| accepted.order.lease.is_some() == leased);
            deciding
                .max_by_key(|accepted| (accepted.stamp.time, accepted.order.out))
                .is_some_and(|accepted| accepted.order.out)
        };
        nodes.into_iter().filter(is_out).map(|(node, _)| node.to_string()).collect()
    }

    /// The first difference between the proxies' states and the expected one; `None` if there is none.
    pub fn mismatch(&self, statuses: &[Status], proxies: usize) -> Option<String> {
        if statuses.len() < proxies {
            return Some(format!("only {} of {proxies} proxies answered", statuses.len()));
        }
        let digests: BTreeSet<u64> = statuses.iter().map(|status| status.digest).collect();
        if digests.len() > 1 {
            return Some(format!("proxies have {} different replicas", digests.len()));
        }
        let lacks_order = |status: &&Status| {
            let durable = self.0.iter().filter(|(_, accepted)| !accepted.may_be_lost);
            durable.clone().any(|(_, accepted)| !status.vector.covers(&accepted.stamp))
        };
        if let Some(status) = statuses.iter().find(lacks_order) {
            return Some(format!("{} lacks an accepted order", status.name));
        }
        let out: BTreeSet<String> = statuses.first()?.out_of_service.iter().cloned().collect();
        let allowed = [self.nodes_out(false), self.nodes_out(true)];
        (!allowed.contains(&out))
            .then(|| format!("nodes {out:?} are out of service, expected {:?}", allowed[0]))
    }
}

/// Orders for one node under one lease, or under none, override each other by this rank.
fn rank(accepted: &AcceptedOrder) -> (u64, u64, bool, &Stamp) {
    let token = accepted.order.lease.as_ref().map_or(0, |(_, token)| *token);
    (token, accepted.stamp.time, accepted.order.out, &accepted.stamp)
}

/// An interval during which a proxy kept a node out of service, in seconds of Unix time.
#[derive(Clone, Debug)]
pub struct OutOfServiceInterval {
    /// The index of the proxy.
    pub proxy: usize,
    pub node: String,
    pub from: f64,
    pub until: f64,
}

/// Returns one line for each interval in which the node still received a request from the proxy that kept it
/// out of service.
pub fn sent_while_out(intervals: &[OutOfServiceInterval], nodes: &Nodes) -> Vec<String> {
    let within = |request: &ReceivedRequest, interval: &OutOfServiceInterval| {
        request.proxy == interval.proxy
            && request.node == interval.node
            && request.at > interval.from + MAX_DELAY + TIME_TOLERANCE
            && request.at < interval.until
    };
    let requests = nodes.received();
    let violations = intervals.iter().filter_map(|interval| {
        requests.iter().find(|request| within(request, interval)).map(|request| (interval, request))
    });
    violations
        .map(|(interval, request)| {
            format!(
                "p{} sent a request to {} {:.3} s after it took the node out of service",
                interval.proxy + 1,
                interval.node,
                request.at - interval.from
            )
        })
        .collect()
}
