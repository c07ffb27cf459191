//! Who probes a node that is down: for each zone one process alone, the holder of a lease, and the others are told. Where
//! nothing is heard from it each probes by itself, rarely and at times by chance: hundreds that lost a holder must not
//! become a crowd at a sick node.

use crate::Nanos;
use crate::record::{Name, Token};
use std::collections::BTreeMap;

/// What it asks of the process that it lives in.
pub trait WatchHost {
    /// Probe this node; the outcome comes by `probed`.
    fn probe(&mut self, node: &str);
    /// What the decisions of this process waited for.
    fn answer(&mut self, node: &str, answered: bool);
    /// Tell all others of the zone.
    fn tell(&mut self, token: Token, node: &str, answered: bool);
    /// Ask whoever holds the lease to probe this node.
    fn ask_for(&mut self, node: &str);
    /// Between 0 and 1.
    fn chance(&mut self) -> f64;
}

/// How often the holder probes a node, about.
const EVERY: Nanos = 500_000_000;
/// How long a node is probed for those who want it, from the last time that anybody did.
const KEEP: Nanos = 10_000_000_000;
/// How often it probes then, about.
const RARE: Nanos = 5_000_000_000;

#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct One {
    /// Since when the decisions of this process wait for an outcome.
    waits: Option<Nanos>,
    /// When anybody wanted it last, when somebody was asked for it, and when something was told of it.
    wanted: Nanos,
    asked: Option<Nanos>,
    told: Nanos,
    probing: bool,
    next: Nanos,
    /// Whether it is probed without the holder.
    alone: bool,
}

#[derive(Debug, Default)]
pub struct Watch {
    nodes: BTreeMap<Name, One>,
    /// The token under which this process probes for its zone, if it does.
    held: Option<Token>,
    /// The highest heard: who tells under a lower one holds the lease no more.
    highest: Token,
}

impl Watch {
    /// Without a word for so long a process is on its own.
    pub const SILENT: Nanos = 3_000_000_000;

    /// Whether anything is wanted of whoever holds the lease.
    pub fn needed(&self) -> bool {
        !self.nodes.is_empty()
    }

    /// The lease is held under this token, or is not.
    pub fn held(&mut self, token: Option<Token>) {
        self.held = token;
        self.highest = self.highest.max(token.unwrap_or(0));
    }

    /// The decisions of this process want the outcome of a probe.
    pub fn wanted(&mut self, now: Nanos, node: &str, host: &mut impl WatchHost) {
        let one = self.nodes.entry(node.into()).or_default();
        one.wanted = now;
        one.waits.get_or_insert(now);
        self.look_at(now, node, host);
    }

    /// Another process asks for a node, of all of its zone: that is enough for the others too.
    pub fn asked_for(&mut self, now: Nanos, node: &str) {
        let one = self.nodes.entry(node.into()).or_default();
        (one.asked, one.wanted) = (Some(now), now);
    }

    /// The outcome of a probe of this process's own.
    pub fn probed(&mut self, now: Nanos, node: &str, answered: bool, host: &mut impl WatchHost) {
        let held = self.held;
        let Some(one) = self.nodes.get_mut(node) else { return };
        one.probing = false;
        if let Some(token) = held {
            one.told = now;
            host.tell(token, node, answered);
        }
        if one.waits.take().is_some() {
            host.answer(node, answered);
        }
    }

    /// The holder tells of a node.
    pub fn told(&mut self, now: Nanos, token: Token, node: &str, answered: bool, host: &mut impl WatchHost) {
        if token < self.highest || self.held.is_some() {
            return;
        }
        self.highest = token;
        let Some(one) = self.nodes.get_mut(node) else { return };
        (one.told, one.alone) = (now, false);
        if one.waits.take().is_some() {
            host.answer(node, answered);
        }
    }

    /// Some time has passed.
    pub fn tick(&mut self, now: Nanos, host: &mut impl WatchHost) {
        self.nodes.retain(|_, one| one.waits.is_some() || one.probing || now < one.wanted + KEEP);
        let nodes: Vec<Name> = self.nodes.keys().cloned().collect();
        nodes.iter().for_each(|node| self.look_at(now, node, host));
    }

    fn look_at(&mut self, now: Nanos, node: &str, host: &mut impl WatchHost) {
        let held = self.held.is_some();
        let Some(one) = self.nodes.get_mut(node) else { return };
        if held {
            if !one.probing && now >= one.next && now < one.wanted + KEEP {
                one.probing = true;
                one.next = now + by_chance(EVERY, host);
                host.probe(node);
            }
            return;
        }
        let Some(waits) = one.waits else { return };
        if now < waits.max(one.told) + Watch::SILENT {
            if one.asked.is_none_or(|asked| now >= asked + KEEP / 2) {
                one.asked = Some(now);
                host.ask_for(node);
            }
            return;
        }
        if !one.alone {
            one.alone = true;
            one.next = now + (RARE as f64 * host.chance()) as Nanos;
        }
        if !one.probing && now >= one.next {
            one.probing = true;
            one.next = now + by_chance(RARE, host);
            host.probe(node);
        }
    }
}

/// A time, half as much more or less.
fn by_chance(time: Nanos, host: &mut impl WatchHost) -> Nanos {
    (time as f64 * (0.5 + host.chance())) as Nanos
}
