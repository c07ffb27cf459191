//! Decides who probes a node that is down: in each zone one process alone, the holder of a lease, which tells
//! the others the outcomes. Where nothing is heard from the holder, each process probes by itself, rarely and
//! at random times: hundreds of processes that lost the holder must not all probe a failing node at once.

use crate::Nanos;
use crate::record::{Name, Token};
use std::collections::BTreeMap;

/// The process around the coordinator, which carries out its requests.
pub trait ProbeHost {
    /// Probes this node. The outcome is reported by [`ProbeCoordinator::probe_finished`].
    fn probe(&mut self, node: &str);
    /// Gives this process's load balancing the outcome that it waits for.
    fn deliver_outcome(&mut self, node: &str, answered: bool);
    /// Tells all other processes of the zone the outcome, under the token of the lease.
    fn publish_outcome(&mut self, token: Token, node: &str, answered: bool);
    /// Asks the holder of the lease to probe this node.
    fn request_probe(&mut self, node: &str);
    /// A random number between 0 and 1.
    fn random(&mut self) -> f64;
}

/// The mean interval at which the holder probes a node.
const PROBE_INTERVAL: Nanos = 500_000_000;
/// How long a node is probed after the last request for it.
const INTEREST_TIMEOUT: Nanos = 10_000_000_000;
/// The mean interval at which a process without a holder probes a node.
const LONE_PROBE_INTERVAL: Nanos = 5_000_000_000;

/// The state of a node that some process wants probed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct NodeState {
    /// Since when this process's load balancing has been waiting for an outcome.
    waiting_since: Option<Nanos>,
    /// When any process last wanted an outcome, when this or another process last asked the holder for one,
    /// and when an outcome was last published.
    last_wanted: Nanos,
    last_request: Option<Nanos>,
    last_outcome: Nanos,
    /// Whether a probe by this process is running, and when the next may start.
    probing: bool,
    next_probe: Nanos,
    /// Whether this process probes the node itself as the holder is silent.
    probes_alone: bool,
}

/// The nodes to probe, and who probes them.
#[derive(Debug, Default)]
pub struct ProbeCoordinator {
    nodes: BTreeMap<Name, NodeState>,
    /// The token under which this process probes for its zone, if it holds the lease.
    lease_token: Option<Token>,
    /// The highest token heard: a process that publishes under a lower one no longer holds the lease.
    highest_token: Token,
}

impl ProbeCoordinator {
    /// After how long without an outcome from the holder a process probes by itself, in nanoseconds.
    pub const HOLDER_TIMEOUT: Nanos = 3_000_000_000;

    /// Whether any node has to be probed, so that a process of the zone should hold the lease.
    pub fn lease_needed(&self) -> bool {
        !self.nodes.is_empty()
    }

    /// Sets the token under which this process holds the lease, or `None` where it does not.
    pub fn set_lease_token(&mut self, token: Option<Token>) {
        self.lease_token = token;
        self.highest_token = self.highest_token.max(token.unwrap_or(0));
    }

    /// This process's load balancing wants the outcome of a probe.
    pub fn outcome_wanted(&mut self, now: Nanos, node: &str, host: &mut impl ProbeHost) {
        let state = self.nodes.entry(node.into()).or_default();
        state.last_wanted = now;
        state.waiting_since.get_or_insert(now);
        self.check_node(now, node, host);
    }

    /// Another process of the zone asked for a probe of this node. Such a request reaches the whole zone, so
    /// that this process need not repeat it.
    pub fn probe_requested(&mut self, now: Nanos, node: &str) {
        let state = self.nodes.entry(node.into()).or_default();
        (state.last_request, state.last_wanted) = (Some(now), now);
    }

    /// A probe by this process has finished.
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

    /// An outcome was published under this token by the holder of the lease. An outcome under an outdated
    /// token is ignored.
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

    /// Checks all nodes; to be called at regular intervals.
    pub fn tick(&mut self, now: Nanos, host: &mut impl ProbeHost) {
        self.nodes.retain(|_, state| {
            state.waiting_since.is_some() || state.probing || now < state.last_wanted + INTEREST_TIMEOUT
        });
        let nodes: Vec<Name> = self.nodes.keys().cloned().collect();
        nodes.iter().for_each(|node| self.check_node(now, node, host));
    }

    /// Starts a probe or asks the holder for one, if either is due.
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

/// A random duration between half and one and a half times this interval.
fn with_jitter(interval: Nanos, host: &mut impl ProbeHost) -> Nanos {
    (interval as f64 * (0.5 + host.random())) as Nanos
}
