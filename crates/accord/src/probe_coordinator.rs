//! Who probes a node that is down: for each zone one process alone, the holder of a lease, and the others are told. Where
//! nothing is heard from it each probes by itself, rarely and at times by chance: hundreds that lost a holder must not
//! become a crowd at a sick node.

use crate::Nanos;
use crate::record::{Name, Token};
use std::collections::BTreeMap;

/// What it asks of the process that it lives in.
pub trait ProbeHost {
    /// Probe this node; the outcome comes by `probed`.
    fn probe(&mut self, node: &str);
    /// What the decisions of this process waited for.
    fn deliver_outcome(&mut self, node: &str, answered: bool);
    /// Tell all others of the zone.
    fn publish_outcome(&mut self, token: Token, node: &str, answered: bool);
    /// Ask whoever holds the lease to probe this node.
    fn request_probe(&mut self, node: &str);
    /// Between 0 and 1.
    fn random(&mut self) -> f64;
}

/// How often the holder probes a node, about.
const PROBE_INTERVAL: Nanos = 500_000_000;
/// How long a node is probed for those who want it, from the last time that anybody did.
const INTEREST_TIMEOUT: Nanos = 10_000_000_000;
/// How often it probes then, about.
const LONE_PROBE_INTERVAL: Nanos = 5_000_000_000;

#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct NodeState {
    /// Since when the decisions of this process wait for an outcome.
    waiting_since: Option<Nanos>,
    /// When anybody wanted it last, when somebody was asked for it, and when something was told of it.
    last_wanted: Nanos,
    last_request: Option<Nanos>,
    last_outcome: Nanos,
    probing: bool,
    next_probe: Nanos,
    /// Whether it is probed without the holder.
    probes_alone: bool,
}

#[derive(Debug, Default)]
pub struct ProbeCoordinator {
    nodes: BTreeMap<Name, NodeState>,
    /// The token under which this process probes for its zone, if it does.
    lease_token: Option<Token>,
    /// The highest heard: who tells under a lower one holds the lease no more.
    highest_token: Token,
}

impl ProbeCoordinator {
    /// Without a word for so long a process is on its own.
    pub const HOLDER_TIMEOUT: Nanos = 3_000_000_000;

    /// Whether anything is wanted of whoever holds the lease.
    pub fn lease_needed(&self) -> bool {
        !self.nodes.is_empty()
    }

    /// The lease is held under this token, or is not.
    pub fn set_lease_token(&mut self, token: Option<Token>) {
        self.lease_token = token;
        self.highest_token = self.highest_token.max(token.unwrap_or(0));
    }

    /// The decisions of this process want the outcome of a probe.
    pub fn outcome_wanted(&mut self, now: Nanos, node: &str, host: &mut impl ProbeHost) {
        let state = self.nodes.entry(node.into()).or_default();
        state.last_wanted = now;
        state.waiting_since.get_or_insert(now);
        self.check_node(now, node, host);
    }

    /// Another process asks for a node, of all of its zone: that is enough for the others too.
    pub fn probe_requested(&mut self, now: Nanos, node: &str) {
        let state = self.nodes.entry(node.into()).or_default();
        (state.last_request, state.last_wanted) = (Some(now), now);
    }

    /// The outcome of a probe of this process's own.
    pub fn probe_finished(&mut self, now: Nanos, node: &str, answered: bool, host: &mut impl ProbeHost) {
        let held = self.lease_token;
        let Some(state) = self.nodes.get_mut(node) else { return };
        state.probing = false;
        if let Some(token) = held {
            state.last_outcome = now;
            host.publish_outcome(token, node, answered);
        }
        if state.waiting_since.take().is_some() {
            host.deliver_outcome(node, answered);
        }
    }

    /// The holder tells of a node.
    pub fn outcome_received(
        &mut self,
        now: Nanos,
        token: Token,
        node: &str,
        answered: bool,
        host: &mut impl ProbeHost,
    ) {
        if token < self.highest_token || self.lease_token.is_some() {
            return;
        }
        self.highest_token = token;
        let Some(state) = self.nodes.get_mut(node) else { return };
        (state.last_outcome, state.probes_alone) = (now, false);
        if state.waiting_since.take().is_some() {
            host.deliver_outcome(node, answered);
        }
    }

    /// Some time has passed.
    pub fn tick(&mut self, now: Nanos, host: &mut impl ProbeHost) {
        self.nodes.retain(|_, state| {
            state.waiting_since.is_some() || state.probing || now < state.last_wanted + INTEREST_TIMEOUT
        });
        let nodes: Vec<Name> = self.nodes.keys().cloned().collect();
        nodes.iter().for_each(|node| self.check_node(now, node, host));
    }

    fn check_node(&mut self, now: Nanos, node: &str, host: &mut impl ProbeHost) {
        let held = self.lease_token.is_some();
        let Some(state) = self.nodes.get_mut(node) else { return };
        if held {
            if !state.probing && now >= state.next_probe && now < state.last_wanted + INTEREST_TIMEOUT {
                state.probing = true;
                state.next_probe = now + with_jitter(PROBE_INTERVAL, host);
                host.probe(node);
            }
            return;
        }
        let Some(waiting_since) = state.waiting_since else { return };
        if now < waiting_since.max(state.last_outcome) + ProbeCoordinator::HOLDER_TIMEOUT {
            if state.last_request.is_none_or(|last_request| now >= last_request + INTEREST_TIMEOUT / 2) {
                state.last_request = Some(now);
                host.request_probe(node);
            }
            return;
        }
        if !state.probes_alone {
            state.probes_alone = true;
            state.next_probe = now + (LONE_PROBE_INTERVAL as f64 * host.random()) as Nanos;
        }
        if !state.probing && now >= state.next_probe {
            state.probing = true;
            state.next_probe = now + with_jitter(LONE_PROBE_INTERVAL, host);
            host.probe(node);
        }
    }
}

/// A time, half as much more or less.
fn with_jitter(interval: Nanos, host: &mut impl ProbeHost) -> Nanos {
    (interval as f64 * (0.5 + host.random())) as Nanos
}
