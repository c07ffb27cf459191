//! What must hold, reckoned from the orders that were given by rules written once more, and what the nodes saw.

use crate::replicas::nodes::{Nodes, Seen};
use pumicebay_replication::{Stamp, Status};
use std::collections::{BTreeMap, BTreeSet};

/// Nothing is sent to a node later than this after its proxy held it out of service, and what times may be off by.
const AFTER: f64 = 0.05;
const SLACK: f64 = 0.1;

/// An order as it was given.
#[derive(Clone, Debug)]
pub struct Order {
    pub node: String,
    pub out: bool,
    pub lease: Option<(String, u64)>,
}

#[derive(Clone, Debug)]
struct Given {
    order: Order,
    stamp: Stamp,
    /// Its proxy lost its disk before others had it.
    may_be_lost: bool,
}

/// All orders of a play.
#[derive(Default)]
pub struct Truth(Vec<(usize, Given)>);

impl Truth {
    pub fn was_given(&mut self, at: usize, order: Order, stamp: Stamp) {
        self.0.push((at, Given { order, stamp, may_be_lost: false }));
    }

    pub fn given(&self) -> usize {
        self.0.len()
    }

    /// A proxy loses its disk: what it gave and none of these others covers may be lost.
    pub fn loses_disk(&mut self, at: usize, others: &[Status]) {
        for (_, given) in self.0.iter_mut().filter(|(by, _)| *by == at) {
            given.may_be_lost |= !others.iter().any(|other| other.vector.covers(&given.stamp));
        }
    }

    /// Nodes that must be out, if those that may be lost are left out or counted.
    fn out(&self, with_lost: bool) -> BTreeSet<String> {
        let mut slots: BTreeMap<(&str, Option<&str>), &Given> = BTreeMap::new();
        for (_, given) in self.0.iter().filter(|(_, given)| with_lost || !given.may_be_lost) {
            let lease = given.order.lease.as_ref().map(|(name, _)| name.as_str());
            let slot = slots.entry((&given.order.node, lease)).or_insert(given);
            if rank(given) > rank(slot) {
                *slot = given;
            }
        }
        let mut nodes: BTreeMap<&str, Vec<&Given>> = BTreeMap::new();
        for ((node, _), given) in slots {
            nodes.entry(node).or_default().push(given);
        }
        let is_out = |(_, slots): &(&str, Vec<&Given>)| {
            let leased = slots.iter().any(|given| given.order.lease.is_some());
            let counts = slots.iter().filter(|given| given.order.lease.is_some() == leased);
            counts
                .max_by_key(|given| (given.stamp.time, given.order.out))
                .is_some_and(|given| given.order.out)
        };
        nodes.into_iter().filter(is_out).map(|(node, _)| node.to_string()).collect()
    }

    /// What is not as it must be; `None` where all is.
    pub fn lacking(&self, statuses: &[Status], proxies: usize) -> Option<String> {
        if statuses.len() < proxies {
            return Some(format!("{} of {proxies} proxies answer", statuses.len()));
        }
        let digests: BTreeSet<u64> = statuses.iter().map(|status| status.digest).collect();
        if digests.len() > 1 {
            return Some(format!("{} different copies", digests.len()));
        }
        let lacks = |status: &&Status| {
            let kept = self.0.iter().filter(|(_, given)| !given.may_be_lost);
            kept.clone().any(|(_, given)| !status.vector.covers(&given.stamp))
        };
        if let Some(status) = statuses.iter().find(lacks) {
            return Some(format!("{} lacks an order that was given", status.name));
        }
        let out: BTreeSet<String> = statuses.first()?.out_of_service.iter().cloned().collect();
        let may = [self.out(false), self.out(true)];
        (!may.contains(&out)).then(|| format!("{out:?} are out, not {:?}", may[0]))
    }
}

fn rank(given: &Given) -> (u64, u64, bool, &Stamp) {
    let token = given.order.lease.as_ref().map_or(0, |(_, token)| *token);
    (token, given.stamp.time, given.order.out, &given.stamp)
}

/// From when until when a proxy held a node out of service, in seconds of Unix time.
#[derive(Clone, Debug)]
pub struct Held {
    pub proxy: usize,
    pub node: String,
    pub from: f64,
    pub until: f64,
}

/// Requests that nodes got from proxies that held them out of service.
pub fn sent_while_out(held: &[Held], nodes: &Nodes) -> Vec<String> {
    let within = |seen: &Seen, held: &Held| {
        seen.proxy == held.proxy
            && seen.node == held.node
            && seen.at > held.from + AFTER + SLACK
            && seen.at < held.until
    };
    let seen = nodes.seen();
    let broken =
        held.iter().filter_map(|held| seen.iter().find(|seen| within(seen, held)).map(|seen| (held, seen)));
    broken
        .map(|(held, seen)| {
            format!(
                "p{} sent to {} {:.3} s after it held it out",
                held.proxy + 1,
                held.node,
                seen.at - held.from
            )
        })
        .collect()
}
