//! The orders that a replica keeps, merged by slot, and the version vector of the orders that it covers.
//!
//! Invariant: the vector covers an order only if its slot holds that order or one that wins over it, or if
//! such an order has been dropped since because it had expired. So an order that the vector covers and whose
//! slot is empty has been superseded or has expired. This is how a replica that was disconnected for longer
//! than the retention learns which of its orders have been superseded by orders that were dropped in the
//! meantime.

use crate::Nanos;
use crate::fault_injection::{Fault, is_injected};
use crate::order::{
    Entry, Lease, MAX_NAME_BYTES, Order, Refusal, ReplicaId, ServiceState, Slot, Stamp, effective_state,
};
use crate::vector::VersionVector;
use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;
use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{Hash, Hasher};

/// The maximum number of orders that a replica keeps.
pub const MAX_ORDERS: usize = 1 << 14;
/// The maximum number of orders for one node, and so of leases with orders for it.
const MAX_LEASES_PER_NODE: usize = 16;
/// How many dropped orders are remembered, the newest ones. A late order that loses to one of them has been
/// superseded.
const MAX_RECENTLY_DROPPED: usize = 4096;

/// The result of joining a received order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JoinOutcome {
    /// The order is kept, or it removed an older one.
    Changed,
    /// The order, or one that supersedes it, was known already.
    Known,
    /// A known order has the same stamp with other contents. The greater of the two is kept.
    Conflict,
    /// The stamp is too far ahead of the local clock.
    FutureStamp,
    /// The limit of orders is reached.
    LimitReached,
}

/// The state that a replica keeps over a restart, encoded with postcard.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The name of the replica whose copy this is.
    pub name: String,
    /// Unix time when a message of another replica was last received; 0 if never.
    pub as_of: Nanos,
    /// The orders that are kept.
    pub entries: Vec<Entry>,
    /// The orders that are covered.
    pub vector: VersionVector,
    /// For each issuer, the highest version of an order that was dropped because it had expired.
    pub gc_horizon: VersionVector,
    /// Dropped orders. What they superseded is not accepted again.
    pub recently_dropped: Vec<Entry>,
    /// The orders that other replicas are known to cover.
    pub seen_elsewhere: VersionVector,
}

/// The orders of a replica by slot; at most one order is kept per slot.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OrderMap {
    orders: BTreeMap<Slot, Order>,
    /// The orders that are covered.
    pub vector: VersionVector,
    /// For each issuer, the highest version of an order that was dropped because it had expired.
    pub gc_horizon: VersionVector,
    /// Dropped orders by slot. They are not sent to peers. A replica that has forgotten one only takes longer
    /// to learn which orders it superseded.
    recently_dropped: BTreeMap<Slot, Order>,
    /// The newest time of any stamp received. The next order issued here gets a later time.
    newest_time: Nanos,
    /// The exclusive or of the hashes of all orders.
    digest: u64,
}

/// A hash that is the same for equal values in every process and every build of one version.
pub fn stable_hash(value: &impl Hash) -> u64 {
    let mut hasher = SipHasher13::new_with_keys(0x7075_6d69, 0x6365_6261);
    value.hash(&mut hasher);
    hasher.finish()
}

impl OrderMap {
    /// Restores the orders of a snapshot; entries that are not well-formed are left out.
    pub fn from_snapshot(snapshot: &Snapshot) -> OrderMap {
        let mut map = OrderMap {
            vector: snapshot.vector.clone(),
            gc_horizon: snapshot.gc_horizon.clone(),
            ..OrderMap::default()
        };
        for entry in snapshot.entries.iter().filter(|entry| entry.is_valid()) {
            map.insert(entry.slot.clone(), entry.order.clone());
        }
        for entry in &snapshot.recently_dropped {
            map.record_dropped(entry.slot.clone(), entry.order.clone());
        }
        map
    }

    /// Joins a received order, and covers it unless it is rejected (its stamp is in the future, or the limit
    /// is reached). `now` is Unix time. An order that puts a node back into service expires after
    /// `retention`.
    pub fn join(
        &mut self,
        now: Nanos,
        entry: &Entry,
        max_clock_skew: Nanos,
        retention: Nanos,
    ) -> JoinOutcome {
        let outcome = self.join_order(now, entry, max_clock_skew, retention);
        if !matches!(outcome, JoinOutcome::FutureStamp | JoinOutcome::LimitReached) {
            self.newest_time = self.newest_time.max(entry.order.stamp.time);
            self.vector.add(&entry.order.stamp);
        }
        outcome
    }

    fn join_order(
        &mut self,
        now: Nanos,
        entry: &Entry,
        max_clock_skew: Nanos,
        retention: Nanos,
    ) -> JoinOutcome {
        let Entry { slot, order } = entry;
        if order.stamp.time > now.saturating_add(max_clock_skew) && !is_injected(Fault::AcceptsFutureStamps) {
            return JoinOutcome::FutureStamp;
        }
        let known = self.orders.get(slot);
        let conflicting = known.is_some_and(|known| known.stamp == order.stamp && known != order);
        if known.is_some_and(|known| order.cmp_precedence(known) != Ordering::Greater) {
            return if conflicting { JoinOutcome::Conflict } else { JoinOutcome::Known };
        }
        if known.is_none() && self.is_superseded(slot, order) {
            return JoinOutcome::Known;
        }
        if is_expired(order, now, retention) {
            // The expired order supersedes a lesser one here as everywhere else, but is not kept itself.
            let superseded = self.remove(slot).is_some();
            self.record_dropped(slot.clone(), order.clone());
            self.gc_horizon.raise(&order.stamp.issuer, order.stamp.version);
            return if superseded { JoinOutcome::Changed } else { JoinOutcome::Known };
        }
        if known.is_none() && self.orders.len() >= MAX_ORDERS {
            return JoinOutcome::LimitReached;
        }
        self.insert(slot.clone(), order.clone());
        if conflicting { JoinOutcome::Conflict } else { JoinOutcome::Changed }
    }

    /// Whether an order whose slot is empty has been superseded by an order that was dropped since.
    fn is_superseded(&self, slot: &Slot, order: &Order) -> bool {
        let does_not_win = |dropped: &Order| order.cmp_precedence(dropped) != Ordering::Greater;
        let superseded =
            self.vector.covers(&order.stamp) || self.recently_dropped.get(slot).is_some_and(does_not_win);
        superseded && !is_injected(Fault::KeepsStaleCopy)
    }

    /// Remembers a dropped order, unless a greater one of its slot is remembered. Forgets the oldest beyond
    /// the limit.
    fn record_dropped(&mut self, slot: Slot, order: Order) {
        let known = self.recently_dropped.get(&slot);
        if known.is_some_and(|known| order.cmp_precedence(known) != Ordering::Greater) {
            return;
        }
        self.recently_dropped.insert(slot, order);
        if self.recently_dropped.len() > MAX_RECENTLY_DROPPED {
            let oldest = self.recently_dropped.iter().min_by_key(|(_, order)| order.stamp.time);
            let oldest = oldest.map(|(slot, _)| slot.clone());
            oldest.into_iter().for_each(|slot| _ = self.recently_dropped.remove(&slot));
        }
    }

    /// The dropped orders that are remembered.
    pub fn recently_dropped(&self) -> impl Iterator<Item = Entry> + '_ {
        self.recently_dropped.iter().map(|(slot, order)| Entry { slot: slot.clone(), order: order.clone() })
    }

    /// Given the slots of a peer's full copy and the vector that it covers, drops the orders that have been
    /// superseded there: those that the vector covers and whose slots the copy does not contain. Returns how
    /// many were dropped.
    pub fn drop_superseded(&mut self, slots: &BTreeSet<Slot>, vector: &VersionVector) -> usize {
        if is_injected(Fault::KeepsStaleCopy) {
            return 0;
        }
        let is_superseded =
            |(slot, order): &(&Slot, &Order)| !slots.contains(*slot) && vector.covers(&order.stamp);
        let superseded: Vec<Slot> =
            self.orders.iter().filter(is_superseded).map(|(slot, _)| slot.clone()).collect();
        for slot in &superseded {
            if let Some(order) = self.remove(slot) {
                self.record_dropped(slot.clone(), order);
            }
        }
        superseded.len()
    }

    /// Orders older than the retention that the given vector of a peer does not cover. Any order that
    /// superseded them may have been dropped.
    pub fn possibly_superseded(&self, now: Nanos, retention: Nanos, vector: &VersionVector) -> Vec<Entry> {
        let past_retention = |entry: &Entry| entry.order.stamp.time.saturating_add(retention) <= now;
        self.entries().filter(|entry| past_retention(entry) && !vector.covers(&entry.order.stamp)).collect()
    }

    /// Issues a new order of this replica. `now` is Unix time. Returns why the order is refused if a name is
    /// invalid, the order needs a lease, its token is stale, or a limit is reached.
    pub fn issue(
        &mut self,
        now: Nanos,
        issuer: &ReplicaId,
        node: &str,
        service: ServiceState,
        lease: Option<Lease>,
    ) -> Result<Entry, Refusal> {
        let valid_name = |name: &str| (1..=MAX_NAME_BYTES).contains(&name.len());
        if !valid_name(node) || lease.as_ref().is_some_and(|lease| !valid_name(&lease.name)) {
            return Err(Refusal::InvalidName);
        }
        let slot = Slot { node: node.into(), lease: lease.as_ref().map(|lease| lease.name.clone()) };
        let token = lease.as_ref().map_or(0, |lease| lease.token);
        let governing_lease = self.orders_of_node(node).find_map(|(slot, _)| slot.lease.clone());
        if let (None, Some(lease)) = (&lease, governing_lease) {
            return Err(Refusal::LeaseRequired { lease });
        }
        let known = self.orders.get(&slot);
        let highest = known.or(self.recently_dropped.get(&slot)).map_or(0, |order| order.token);
        if token < highest {
            return Err(Refusal::StaleToken { token: highest });
        }
        let full =
            self.orders.len() >= MAX_ORDERS || self.orders_of_node(node).count() >= MAX_LEASES_PER_NODE;
        if known.is_none() && full {
            return Err(Refusal::LimitReached);
        }
        let version = self.vector.get(issuer) + 1;
        let stamp = Stamp { time: now.max(self.newest_time + 1), issuer: issuer.clone(), version };
        let order = Order { service, token, stamp };
        self.insert(slot.clone(), order.clone());
        self.vector.raise(issuer, version);
        Ok(Entry { slot, order })
    }

    /// Drops expired orders, all of which put nodes back into service. Returns how many were dropped.
    pub fn drop_expired(&mut self, now: Nanos, retention: Nanos) -> usize {
        let should_drop = |order: &Order| {
            let drop_at_once = is_injected(Fault::NoTombstones) && order.service == ServiceState::In;
            drop_at_once || is_expired(order, now, retention)
        };
        let expired: Vec<Slot> = self
            .orders
            .iter()
            .filter(|(_, order)| should_drop(order))
            .map(|(slot, _)| slot.clone())
            .collect();
        for slot in &expired {
            if let Some(order) = self.remove(slot)
                && !is_injected(Fault::NoTombstones)
            {
                self.gc_horizon.raise(&order.stamp.issuer, order.stamp.version);
                self.record_dropped(slot.clone(), order);
            }
        }
        expired.len()
    }

    fn insert(&mut self, slot: Slot, order: Order) {
        self.newest_time = self.newest_time.max(order.stamp.time);
        self.digest ^= stable_hash(&(&slot, &order));
        if let Some(before) = self.orders.insert(slot.clone(), order) {
            self.digest ^= stable_hash(&(&slot, &before));
        }
    }

    fn remove(&mut self, slot: &Slot) -> Option<Order> {
        let order = self.orders.remove(slot)?;
        self.digest ^= stable_hash(&(slot, &order));
        Some(order)
    }

    /// The slots whose orders the vector does not cover, those with the newest stamps first.
    pub fn not_covered_by(&self, vector: &VersionVector) -> Vec<Slot> {
        let uncovered = self.orders.iter().filter(|(_, order)| !vector.covers(&order.stamp));
        let mut uncovered: Vec<(&Stamp, &Slot)> =
            uncovered.map(|(slot, order)| (&order.stamp, slot)).collect();
        uncovered.sort_by(|one, other| other.cmp(one));
        uncovered.into_iter().map(|(_, slot)| slot.clone()).collect()
    }

    /// The order of this slot; `None` if it is empty.
    pub fn get(&self, slot: &Slot) -> Option<Entry> {
        let order = self.orders.get(slot)?.clone();
        Some(Entry { slot: slot.clone(), order })
    }

    fn orders_of_node<'a>(&'a self, node: &'a str) -> impl Iterator<Item = (&'a Slot, &'a Order)> {
        let first = Slot { node: node.into(), lease: None };
        self.orders.range(first..).take_while(move |(slot, _)| slot.node == node)
    }

    /// The state of a node; `None` if there is no order for it.
    pub fn effective_state(&self, node: &str) -> Option<ServiceState> {
        effective_state(self.orders_of_node(node))
    }

    /// All nodes for which there are orders.
    pub fn nodes(&self) -> BTreeSet<String> {
        self.orders.keys().map(|slot| slot.node.clone()).collect()
    }

    /// All orders with their slots.
    pub fn entries(&self) -> impl Iterator<Item = Entry> + '_ {
        self.orders.iter().map(|(slot, order)| Entry { slot: slot.clone(), order: order.clone() })
    }

    /// The number of orders.
    pub fn len(&self) -> usize {
        self.orders.len()
    }

    /// Whether there are no orders.
    pub fn is_empty(&self) -> bool {
        self.orders.is_empty()
    }

    /// A hash that is the same for equal sets of orders.
    pub fn digest(&self) -> u64 {
        self.digest
    }
}

/// Whether an order puts its node back into service and is older than the retention. Until then it is kept as
/// a tombstone of the order that it superseded.
fn is_expired(order: &Order, now: Nanos, retention: Nanos) -> bool {
    order.service == ServiceState::In && order.stamp.time.saturating_add(retention) <= now
}
