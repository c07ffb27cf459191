//! The orders that a replica has, joined by slot, and how far it knows each origin's.
//!
//! What must hold: the vector covers an order only if its slot has it or one that wins over it, or if such a one was
//! dropped since because it had expired. So an order that the vector covers and whose slot is empty has ended: that is
//! how a copy which was away for longer than dropped orders are kept learns of their end.

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

/// Orders that a replica keeps at most, and leases that may speak for one node.
pub const MAX_ORDERS: usize = 1 << 14;
const MAX_LEASES_PER_NODE: usize = 16;
/// Dropped orders that are remembered, the newest: what comes late and loses to one of them has ended.
const MAX_RECENTLY_DROPPED: usize = 4096;

/// What became of an order that came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JoinOutcome {
    /// It is kept, or it ended one that was.
    Changed,
    /// One that wins over it, or the same, is known.
    Known,
    /// The same stamp with other contents; the one that wins is kept.
    Conflict,
    /// Its stamp is too far ahead of this clock.
    FutureStamp,
    /// There is no room for more.
    LimitReached,
}

/// What a replica keeps over a restart.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Whose copy it is.
    pub name: String,
    /// Unix time when another replica was heard last.
    pub as_of: Nanos,
    pub entries: Vec<Entry>,
    pub vector: VersionVector,
    pub gc_horizon: VersionVector,
    /// Orders that were dropped, and what they had ended comes no more.
    pub recently_dropped: Vec<Entry>,
    /// What others are known to cover.
    pub seen_elsewhere: VersionVector,
}

/// Orders by slot.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OrderMap {
    orders: BTreeMap<Slot, Order>,
    pub vector: VersionVector,
    /// By origin, the highest version of an order that was dropped because it had expired.
    pub gc_horizon: VersionVector,
    /// Dropped orders, by slot. They are not sent; a copy that forgot them only takes longer to learn what has ended.
    recently_dropped: BTreeMap<Slot, Order>,
    /// The newest time of any stamp that came: the next one given here is later.
    newest_time: Nanos,
    /// Of all orders, joined by exclusive or.
    digest: u64,
}

/// The same number for the same value in every process and build of one version.
pub fn stable_hash(value: &impl Hash) -> u64 {
    let mut hasher = SipHasher13::new_with_keys(0x7075_6d69, 0x6365_6261);
    value.hash(&mut hasher);
    hasher.finish()
}

impl OrderMap {
    /// From what was kept.
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

    /// Joins an order that came, and covers it if it is taken or known. `now` is Unix time; an order that puts a node back
    /// expires after `retention`.
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
        if expired(order, now, retention) {
            // It has ended all that it won over, here too.
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

    /// Whether an order whose slot is empty here was ended by one that was dropped since.
    fn is_superseded(&self, slot: &Slot, order: &Order) -> bool {
        let does_not_win = |dropped: &Order| order.cmp_precedence(dropped) != Ordering::Greater;
        let superseded =
            self.vector.covers(&order.stamp) || self.recently_dropped.get(slot).is_some_and(does_not_win);
        superseded && !is_injected(Fault::KeepsStaleCopy)
    }

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

    /// Orders that were dropped and are remembered.
    pub fn recently_dropped(&self) -> impl Iterator<Item = Entry> + '_ {
        self.recently_dropped.iter().map(|(slot, order)| Entry { slot: slot.clone(), order: order.clone() })
    }

    /// Drops what has ended according to another copy, all of which is given: orders that its vector covers and whose
    /// slots are empty there.
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

    /// Orders older than dropped ones are kept that this vector does not cover.
    pub fn possibly_superseded(&self, now: Nanos, retention: Nanos, vector: &VersionVector) -> Vec<Entry> {
        let past_retention = |entry: &Entry| entry.order.stamp.time.saturating_add(retention) <= now;
        self.entries().filter(|entry| past_retention(entry) && !vector.covers(&entry.order.stamp)).collect()
    }

    /// Gives an order here. `now` is Unix time.
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

    /// Drops orders that put nodes back, once they have expired. Gives how many.
    pub fn drop_expired(&mut self, now: Nanos, retention: Nanos) -> usize {
        let should_drop = |order: &Order| {
            let drop_at_once = is_injected(Fault::NoTombstones) && order.service == ServiceState::In;
            drop_at_once || expired(order, now, retention)
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

    /// Orders that a vector does not cover, the newest first.
    pub fn not_covered_by(&self, vector: &VersionVector) -> Vec<Slot> {
        let uncovered = self.orders.iter().filter(|(_, order)| !vector.covers(&order.stamp));
        let mut uncovered: Vec<(&Stamp, &Slot)> =
            uncovered.map(|(slot, order)| (&order.stamp, slot)).collect();
        uncovered.sort_by(|one, other| other.cmp(one));
        uncovered.into_iter().map(|(_, slot)| slot.clone()).collect()
    }

    pub fn get(&self, slot: &Slot) -> Option<Entry> {
        let order = self.orders.get(slot)?.clone();
        Some(Entry { slot: slot.clone(), order })
    }

    fn orders_of_node<'a>(&'a self, node: &'a str) -> impl Iterator<Item = (&'a Slot, &'a Order)> {
        let first = Slot { node: node.into(), lease: None };
        self.orders.range(first..).take_while(move |(slot, _)| slot.node == node)
    }

    /// What holds for a node; `None` where no order is known.
    pub fn effective_state(&self, node: &str) -> Option<ServiceState> {
        effective_state(self.orders_of_node(node))
    }

    /// All nodes that orders are known for.
    pub fn nodes(&self) -> BTreeSet<String> {
        self.orders.keys().map(|slot| slot.node.clone()).collect()
    }

    pub fn entries(&self) -> impl Iterator<Item = Entry> + '_ {
        self.orders.iter().map(|(slot, order)| Entry { slot: slot.clone(), order: order.clone() })
    }

    pub fn len(&self) -> usize {
        self.orders.len()
    }

    pub fn is_empty(&self) -> bool {
        self.orders.is_empty()
    }

    /// Equal where the orders are.
    pub fn digest(&self) -> u64 {
        self.digest
    }
}

/// Whether an order puts its node back and is older than tombstones are kept.
fn expired(order: &Order, now: Nanos, retention: Nanos) -> bool {
    order.service == ServiceState::In && order.stamp.time.saturating_add(retention) <= now
}
