//! The orders that a replica has, joined by slot, and how far it knows each origin's.
//!
//! What must hold: the vector covers an order only if its slot has it or one that wins over it, or if such a one was
//! dropped since because it had expired. So an order that the vector covers and whose slot is empty has ended: that is
//! how a copy which was away for longer than dropped orders are kept learns of their end.

use crate::Nanos;
use crate::order::{Entry, LONGEST_NAME, Lease, Order, Origin, Refusal, Service, Slot, Stamp, holds};
use crate::planted::{Fault, planted};
use crate::vector::Vector;
use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;
use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{Hash, Hasher};

/// Orders that a replica keeps at most, and leases that may speak for one node.
pub const MOST_ORDERS: usize = 1 << 14;
const MOST_LEASES: usize = 16;
/// Dropped orders that are remembered, the newest: what comes late and loses to one of them has ended.
const MOST_REMEMBERED: usize = 4096;

/// What became of an order that came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Joined {
    /// It is kept, or it ended one that was.
    Changed,
    /// One that wins over it, or the same, is known.
    Known,
    /// The same stamp with other contents; the one that wins is kept.
    Conflict,
    /// Its stamp is too far ahead of this clock.
    Future,
    /// There is no room for more.
    Full,
}

/// What a replica keeps over a restart.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Kept {
    /// Whose copy it is.
    pub name: String,
    /// Unix time when another replica was heard last.
    pub as_of: Nanos,
    pub entries: Vec<Entry>,
    pub vector: Vector,
    pub horizon: Vector,
    /// Orders that were dropped, and what they had ended comes no more.
    pub remembered: Vec<Entry>,
    /// What others are known to cover.
    pub seen_elsewhere: Vector,
}

/// Orders by slot.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Map {
    orders: BTreeMap<Slot, Order>,
    pub vector: Vector,
    /// By origin, the highest version of an order that was dropped because it had expired.
    pub horizon: Vector,
    /// Dropped orders, by slot. They are not sent; a copy that forgot them only takes longer to learn what has ended.
    remembered: BTreeMap<Slot, Order>,
    /// The newest time of any stamp that came: the next one given here is later.
    newest: Nanos,
    /// Of all orders, joined by exclusive or.
    digest: u64,
}

/// The same number for the same value in every process and build of one version.
pub fn digest_of(value: &impl Hash) -> u64 {
    let mut hasher = SipHasher13::new_with_keys(0x7075_6d69, 0x6365_6261);
    value.hash(&mut hasher);
    hasher.finish()
}

impl Map {
    /// From what was kept.
    pub fn restored(kept: &Kept) -> Map {
        let mut map = Map { vector: kept.vector.clone(), horizon: kept.horizon.clone(), ..Map::default() };
        for entry in kept.entries.iter().filter(|entry| entry.is_sound()) {
            map.put(entry.slot.clone(), entry.order.clone());
        }
        for entry in &kept.remembered {
            map.remember(entry.slot.clone(), entry.order.clone());
        }
        map
    }

    /// Joins an order that came, and covers it if it is taken or known. `now` is Unix time; an order that puts a node back
    /// expires after `retention`.
    pub fn join(&mut self, now: Nanos, entry: &Entry, most_ahead: Nanos, retention: Nanos) -> Joined {
        let joined = self.join_order(now, entry, most_ahead, retention);
        if !matches!(joined, Joined::Future | Joined::Full) {
            self.newest = self.newest.max(entry.order.stamp.time);
            self.vector.add(&entry.order.stamp);
        }
        joined
    }

    fn join_order(&mut self, now: Nanos, entry: &Entry, most_ahead: Nanos, retention: Nanos) -> Joined {
        let Entry { slot, order } = entry;
        if order.stamp.time > now.saturating_add(most_ahead) && !planted(Fault::AcceptsFuture) {
            return Joined::Future;
        }
        let known = self.orders.get(slot);
        let conflict = known.is_some_and(|known| known.stamp == order.stamp && known != order);
        if known.is_some_and(|known| order.wins_over(known) != Ordering::Greater) {
            return if conflict { Joined::Conflict } else { Joined::Known };
        }
        if known.is_none() && self.has_ended(slot, order) {
            return Joined::Known;
        }
        if expired(order, now, retention) {
            // It has ended all that it won over, here too.
            let ended = self.take(slot).is_some();
            self.remember(slot.clone(), order.clone());
            self.horizon.raise(&order.stamp.origin, order.stamp.version);
            return if ended { Joined::Changed } else { Joined::Known };
        }
        if known.is_none() && self.orders.len() >= MOST_ORDERS {
            return Joined::Full;
        }
        self.put(slot.clone(), order.clone());
        if conflict { Joined::Conflict } else { Joined::Changed }
    }

    /// Whether an order whose slot is empty here was ended by one that was dropped since.
    fn has_ended(&self, slot: &Slot, order: &Order) -> bool {
        let loses = |dropped: &Order| order.wins_over(dropped) != Ordering::Greater;
        let ended = self.vector.covers(&order.stamp) || self.remembered.get(slot).is_some_and(loses);
        ended && !planted(Fault::KeepsStaleCopy)
    }

    fn remember(&mut self, slot: Slot, order: Order) {
        let known = self.remembered.get(&slot);
        if known.is_some_and(|known| order.wins_over(known) != Ordering::Greater) {
            return;
        }
        self.remembered.insert(slot, order);
        if self.remembered.len() > MOST_REMEMBERED {
            let oldest = self.remembered.iter().min_by_key(|(_, order)| order.stamp.time);
            let oldest = oldest.map(|(slot, _)| slot.clone());
            oldest.into_iter().for_each(|slot| _ = self.remembered.remove(&slot));
        }
    }

    /// Orders that were dropped and are remembered.
    pub fn remembered(&self) -> impl Iterator<Item = Entry> + '_ {
        self.remembered.iter().map(|(slot, order)| Entry { slot: slot.clone(), order: order.clone() })
    }

    /// Drops what has ended according to another copy, all of which is given: orders that its vector covers and whose
    /// slots are empty there.
    pub fn drop_ended(&mut self, slots: &BTreeSet<Slot>, vector: &Vector) -> usize {
        if planted(Fault::KeepsStaleCopy) {
            return 0;
        }
        let has_ended =
            |(slot, order): &(&Slot, &Order)| !slots.contains(*slot) && vector.covers(&order.stamp);
        let ended: Vec<Slot> = self.orders.iter().filter(has_ended).map(|(slot, _)| slot.clone()).collect();
        for slot in &ended {
            if let Some(order) = self.take(slot) {
                self.remember(slot.clone(), order);
            }
        }
        ended.len()
    }

    /// Orders older than dropped ones are kept that this vector does not cover.
    pub fn doubtful(&self, now: Nanos, retention: Nanos, vector: &Vector) -> Vec<Entry> {
        let old = |entry: &Entry| entry.order.stamp.time.saturating_add(retention) <= now;
        self.entries().filter(|entry| old(entry) && !vector.covers(&entry.order.stamp)).collect()
    }

    /// Gives an order here. `now` is Unix time.
    pub fn give(
        &mut self,
        now: Nanos,
        me: &Origin,
        node: &str,
        service: Service,
        lease: Option<Lease>,
    ) -> Result<Entry, Refusal> {
        let sound = |name: &str| (1..=LONGEST_NAME).contains(&name.len());
        if !sound(node) || lease.as_ref().is_some_and(|lease| !sound(&lease.name)) {
            return Err(Refusal::Name);
        }
        let slot = Slot { node: node.into(), lease: lease.as_ref().map(|lease| lease.name.clone()) };
        let token = lease.as_ref().map_or(0, |lease| lease.token);
        let spoken = self.slots(node).find_map(|(slot, _)| slot.lease.clone());
        if let (None, Some(lease)) = (&lease, spoken) {
            return Err(Refusal::UnderLease { lease });
        }
        let known = self.orders.get(&slot);
        let highest = known.or(self.remembered.get(&slot)).map_or(0, |order| order.token);
        if token < highest {
            return Err(Refusal::Late { token: highest });
        }
        let full = self.orders.len() >= MOST_ORDERS || self.slots(node).count() >= MOST_LEASES;
        if known.is_none() && full {
            return Err(Refusal::Full);
        }
        let version = self.vector.get(me) + 1;
        let stamp = Stamp { time: now.max(self.newest + 1), origin: me.clone(), version };
        let order = Order { service, token, stamp };
        self.put(slot.clone(), order.clone());
        self.vector.raise(me, version);
        Ok(Entry { slot, order })
    }

    /// Drops orders that put nodes back, once they have expired. Gives how many.
    pub fn drop_expired(&mut self, now: Nanos, retention: Nanos) -> usize {
        let gone = |order: &Order| {
            let at_once = planted(Fault::NoTombstones) && order.service == Service::In;
            at_once || expired(order, now, retention)
        };
        let expired: Vec<Slot> =
            self.orders.iter().filter(|(_, order)| gone(order)).map(|(slot, _)| slot.clone()).collect();
        for slot in &expired {
            if let Some(order) = self.take(slot)
                && !planted(Fault::NoTombstones)
            {
                self.horizon.raise(&order.stamp.origin, order.stamp.version);
                self.remember(slot.clone(), order);
            }
        }
        expired.len()
    }

    fn put(&mut self, slot: Slot, order: Order) {
        self.newest = self.newest.max(order.stamp.time);
        self.digest ^= digest_of(&(&slot, &order));
        if let Some(before) = self.orders.insert(slot.clone(), order) {
            self.digest ^= digest_of(&(&slot, &before));
        }
    }

    fn take(&mut self, slot: &Slot) -> Option<Order> {
        let order = self.orders.remove(slot)?;
        self.digest ^= digest_of(&(slot, &order));
        Some(order)
    }

    /// Orders that a vector does not cover, the newest first.
    pub fn beyond(&self, vector: &Vector) -> Vec<Slot> {
        let beyond = self.orders.iter().filter(|(_, order)| !vector.covers(&order.stamp));
        let mut beyond: Vec<(&Stamp, &Slot)> = beyond.map(|(slot, order)| (&order.stamp, slot)).collect();
        beyond.sort_by(|one, other| other.cmp(one));
        beyond.into_iter().map(|(_, slot)| slot.clone()).collect()
    }

    pub fn get(&self, slot: &Slot) -> Option<Entry> {
        let order = self.orders.get(slot)?.clone();
        Some(Entry { slot: slot.clone(), order })
    }

    fn slots<'a>(&'a self, node: &'a str) -> impl Iterator<Item = (&'a Slot, &'a Order)> {
        let first = Slot { node: node.into(), lease: None };
        self.orders.range(first..).take_while(move |(slot, _)| slot.node == node)
    }

    /// What holds for a node; `None` where no order is known.
    pub fn holds(&self, node: &str) -> Option<Service> {
        holds(self.slots(node))
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
    order.service == Service::In && order.stamp.time.saturating_add(retention) <= now
}
