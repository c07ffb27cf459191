//! One proxy in virtual time: a policy, and a host that turns the policy's actions into messages to the
//! world. Simulated proxies share no state, so many can run in parallel.

use crate::policy::{self, BoxedPolicy};
use hashbrown::HashMap;
use pumicebay_core::policy::deadline::advertised_timeout_ms;
use pumicebay_core::table::ReplicaTable;
use pumicebay_core::{
    Host, ListedNode, Nanos, Node, NodeStatus, Outcome, RequestId, RequestParams, Settings,
};
use pumicebay_model::millis;
use pumicebay_model::network::Network;
use pumicebay_model::registry::{NodeEntry, NodeState};
use pumicebay_model::seeds::{Rng, rng, splitmix64};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::sync::Arc;

/// A message from the world to a proxy.
#[derive(Clone, Debug)]
pub enum ProxyInput {
    /// A client's request arrived.
    RequestArrived { request: RequestId, params: RequestParams },
    /// An attempt ended. `epoch` is the connection epoch of the node, and `value` the request that the value
    /// was made for.
    AttemptEnded { request: RequestId, attempt: usize, outcome: Outcome, epoch: u64, value: RequestId },
    /// The node's process died and its connections broke.
    NodeReset { node: Node },
    /// Entries of the node list: all of them if `complete`, else those that changed.
    NodesListed { complete: bool, entries: Arc<Vec<NodeEntry>> },
    /// The request for the node list failed.
    ListFailed,
    /// A health probe ended.
    ProbeFinished { node: Node, outcome: Outcome },
    /// The proxy's process is killed.
    Kill,
    /// A new process starts with this node list.
    Start { entries: Arc<Vec<NodeEntry>>, incarnation: u64 },
}

/// A message from a proxy to the world.
#[derive(Clone, Debug)]
pub enum ProxyAction {
    /// An attempt is sent to a node. `epoch` is the epoch of the reused connection; `None` opens a new one.
    Attempt {
        request: RequestId,
        attempt: usize,
        node: Node,
        sent: Nanos,
        epoch: Option<u64>,
        /// How long the proxy tells the node that it will wait.
        advertised_timeout: Nanos,
    },
    /// Cancels an attempt by closing its connection.
    Cancel { request: RequestId, attempt: usize, node: Node, sent: Nanos },
    /// The connection of an attempt broke.
    Severed { request: RequestId, attempt: usize, node: Node, sent: Nanos },
    /// Closes an idle connection.
    Close { node: Node, epoch: u64 },
    /// Answers the client with a value; `value` is the request that the value was made for.
    Served { request: RequestId, sent: Nanos, value: RequestId },
    /// Rejects the request because of overload; the client should wait for `pause` before a retry.
    Shed { request: RequestId, sent: Nanos, pause: Nanos },
    /// Answers the client with an error.
    Errored { request: RequestId, sent: Nanos },
    /// No process is running, so the client's connection is refused.
    Refused { request: RequestId },
    /// Sends a health probe.
    Probe { node: Node },
    /// Requests the node list and its changes.
    WatchNodeList,
    /// A log line.
    Log(String),
}

/// A message with its arrival time. Messages that arrive at the same time are handled by ascending `order`.
/// Comparisons are reversed, so that a max-heap yields the earliest message.
pub struct Scheduled<T> {
    pub at: Nanos,
    pub order: u64,
    pub message: T,
}

impl<T> PartialEq for Scheduled<T> {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.order) == (other.at, other.order)
    }
}

impl<T> Eq for Scheduled<T> {}

impl<T> PartialOrd for Scheduled<T> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<T> Ord for Scheduled<T> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        // Reversed: the earliest message is the greatest.
        (other.at, other.order).cmp(&(self.at, self.order))
    }
}

enum Timer {
    /// Set by the policy with this token.
    Policy(u64),
    /// The timeout of an attempt.
    AttemptOverdue(RequestId, usize),
    /// Reports an attempt that was not sent because too little time was left to advertise a timeout.
    AttemptUnsent(RequestId, usize),
}

/// A request that the policy has not released yet.
struct OpenRequest {
    answered: bool,
    /// When the client stops waiting, as far as this proxy knows.
    client_deadline: Nanos,
    /// By attempt: its node while it is in flight.
    attempts: Vec<Option<Node>>,
}

/// Carries out the actions of a policy.
pub struct SimulatedHost {
    index: usize,
    now: Nanos,
    zones: usize,
    network: Network,
    rng: Rng,
    idle_limit: Nanos,
    /// By node: when each idle connection was last used, and its connection epoch.
    idle: Vec<VecDeque<(Nanos, u64)>>,
    open_requests: HashMap<RequestId, OpenRequest>,
    timers: BinaryHeap<Reverse<(Nanos, u64)>>,
    /// The purpose of each timer, by its order number.
    timer_targets: HashMap<u64, Timer>,
    order: u64,
    actions: Vec<(Nanos, ProxyAction)>,
}

impl SimulatedHost {
    fn send_after(&mut self, after: Nanos, message: ProxyAction) {
        self.actions.push((self.now + after, message));
    }

    /// A random one-way delay to a node. The origin is in the first zone.
    fn delay(&mut self, node: Node) -> Nanos {
        let zone = if node + 1 >= self.idle.len() { 0 } else { node % self.zones };
        self.network.delay(&mut self.rng, self.index % self.zones, zone)
    }

    fn client_delay(&mut self) -> Nanos {
        self.network.delay(&mut self.rng, 0, 0)
    }

    fn schedule(&mut self, at: Nanos, timer: Timer) {
        self.order += 1;
        self.timers.push(Reverse((at, self.order)));
        self.timer_targets.insert(self.order, timer);
    }

    /// Takes an idle connection to the node and closes those that exceeded the idle limit. `None` if none is
    /// left.
    fn connection(&mut self, node: Node) -> Option<u64> {
        while let Some((last_used, epoch)) = self.idle[node].pop_front() {
            if self.now < last_used + self.idle_limit {
                return Some(epoch);
            }
            let delay = self.delay(node);
            self.send_after(delay, ProxyAction::Close { node, epoch });
        }
        None
    }

    /// Marks the request as answered; false if it was answered before or is not open.
    fn mark_answered(&mut self, request: RequestId) -> bool {
        self.open_requests.get_mut(&request).is_some_and(|open| !std::mem::replace(&mut open.answered, true))
    }
}

impl Host for SimulatedHost {
    fn send(&mut self, request: RequestId, node: Node, timeout: Nanos) {
        let Some(open) = self.open_requests.get_mut(&request) else { return };
        let attempt = open.attempts.len();
        open.attempts.push(Some(node));
        let Some(advertised_timeout) =
            advertised_timeout_ms(self.now, self.now + timeout, open.client_deadline)
        else {
            return self.schedule(self.now, Timer::AttemptUnsent(request, attempt));
        };
        let advertised_timeout = millis(advertised_timeout as f64);
        let epoch = self.connection(node);
        let one_way = self.delay(node);
        // A new connection needs one round trip before it carries the attempt.
        let delay = if epoch.is_some() { one_way } else { 3 * one_way };
        self.send_after(
            delay,
            ProxyAction::Attempt { request, attempt, node, sent: self.now, epoch, advertised_timeout },
        );
        self.schedule(self.now + timeout, Timer::AttemptOverdue(request, attempt));
    }

    fn shed(&mut self, request: RequestId, pause: Nanos) {
        if self.mark_answered(request) {
            let delay = self.client_delay();
            self.send_after(delay, ProxyAction::Shed { request, sent: self.now, pause });
        }
    }

    fn error(&mut self, request: RequestId) {
        if self.mark_answered(request) {
            let delay = self.client_delay();
            self.send_after(delay, ProxyAction::Errored { request, sent: self.now });
        }
    }

    fn release_request(&mut self, request: RequestId) {
        self.open_requests.remove(&request);
    }

    fn set_timer(&mut self, at: Nanos, token: u64) {
        self.schedule(at, Timer::Policy(token));
    }

    fn probe(&mut self, node: Node) {
        let delay = self.delay(node);
        self.send_after(delay, ProxyAction::Probe { node });
    }

    /// Does nothing: a node keeps its number, because it may come back.
    fn release_node(&mut self, _node: Node) {}

    fn watch_node_list(&mut self) {
        self.send_after(self.network.min_delay(), ProxyAction::WatchNodeList);
    }

    fn log(&mut self, line: &str) {
        self.send_after(self.network.min_delay(), ProxyAction::Log(line.to_string()));
    }
}

/// The configuration of a simulated proxy.
#[derive(Clone)]
pub struct ProxyConfig {
    pub policy: String,
    /// Added to the seed of the policy's random choices.
    pub salt: u64,
    pub settings: Settings,
    pub seed: u64,
    /// The number of cache nodes; the origin has the next index.
    pub nodes: usize,
    pub zones: usize,
    /// How long an idle connection may be reused, in nanoseconds.
    pub idle_limit: Nanos,
    pub network: Network,
}

/// A proxy in virtual time. It handles messages and timers in order of time.
pub struct SimulatedProxy {
    index: usize,
    config: ProxyConfig,
    /// `None` while no process is running.
    policy: Option<BoxedPolicy<SimulatedHost>>,
    /// The replica table of a killed process, if the policy keeps it across restarts.
    kept_replicas: Option<ReplicaTable>,
    inbox: BinaryHeap<Scheduled<ProxyInput>>,
    /// Actions since the last call of `drain_actions`, with their arrival times.
    actions: Vec<(Nanos, ProxyAction)>,
}

impl SimulatedProxy {
    /// Creates a proxy without a process; `ProxyInput::Start` starts one.
    pub fn new(config: ProxyConfig, index: usize) -> SimulatedProxy {
        SimulatedProxy {
            index,
            config,
            policy: None,
            kept_replicas: None,
            inbox: BinaryHeap::new(),
            actions: Vec::new(),
        }
    }

    /// Delivers a message for its arrival time `at`; `order` breaks ties.
    pub fn deliver(&mut self, at: Nanos, order: u64, message: ProxyInput) {
        self.inbox.push(Scheduled { at, order, message });
    }

    /// The time of the next message or timer; `Nanos::MAX` if there is none.
    pub fn next_event_at(&mut self) -> Nanos {
        let next_message = self.inbox.peek().map_or(Nanos::MAX, |due| due.at);
        let next_timer =
            self.policy.as_mut().and_then(|policy| policy.host().timers.peek().map(|due| due.0.0));
        next_message.min(next_timer.unwrap_or(Nanos::MAX))
    }

    /// Handles all messages and timers before `until`.
    pub fn run_until(&mut self, until: Nanos) {
        loop {
            let next_message = self.inbox.peek().map_or(Nanos::MAX, |due| due.at);
            let next = self.next_event_at();
            if next >= until {
                break;
            }
            if next_message <= next {
                let Some(due) = self.inbox.pop() else { break };
                self.handle(due.at, due.message);
            } else if let Some(policy) = &mut self.policy {
                let Some(Reverse((at, order))) = policy.host().timers.pop() else { break };
                policy.host().now = at;
                match policy.host().timer_targets.remove(&order) {
                    Some(Timer::Policy(token)) => policy.timer_fired(at, token),
                    Some(Timer::AttemptOverdue(request, attempt)) => {
                        self.attempt_overdue(at, request, attempt)
                    }
                    Some(Timer::AttemptUnsent(request, attempt)) => self.attempt_unsent(at, request, attempt),
                    None => {}
                }
            }
            self.collect_actions();
        }
    }

    /// Takes the actions since the last call with their arrival times, in the order in which they were taken.
    pub fn drain_actions(&mut self) -> std::vec::Drain<'_, (Nanos, ProxyAction)> {
        self.actions.drain(..)
    }

    fn collect_actions(&mut self) {
        if let Some(policy) = &mut self.policy {
            self.actions.append(&mut policy.host().actions);
        }
    }

    fn handle(&mut self, now: Nanos, message: ProxyInput) {
        if let ProxyInput::Start { entries, incarnation } = message {
            self.start(now, incarnation);
            return self.nodes_listed(now, true, &entries);
        }
        let Some(policy) = &mut self.policy else {
            if let ProxyInput::RequestArrived { request, .. } = message {
                self.actions.push((now + self.config.network.min_delay(), ProxyAction::Refused { request }));
            }
            return;
        };
        policy.host().now = now;
        match message {
            ProxyInput::RequestArrived { request, params } => {
                let client_deadline = now.saturating_add(params.client_timeout);
                policy
                    .host()
                    .open_requests
                    .insert(request, OpenRequest { answered: false, client_deadline, attempts: Vec::new() });
                policy.request_arrived(now, request, params);
            }
            ProxyInput::AttemptEnded { request, attempt, outcome, epoch, value } => {
                self.attempt_ended(now, request, attempt, outcome, (epoch, value));
            }
            ProxyInput::NodeReset { node } => self.node_reset(now, node),
            ProxyInput::NodesListed { complete, entries } => self.nodes_listed(now, complete, &entries),
            ProxyInput::ListFailed => policy.list_request_failed(now),
            ProxyInput::ProbeFinished { node, outcome } => policy.probe_finished(node, outcome),
            ProxyInput::Kill => {
                self.collect_actions();
                let replicas = self.policy.take().and_then(|mut policy| policy.take_replicas());
                self.kept_replicas = replicas.filter(|_| self.config.policy == policy::KEEPS_REPLICAS);
            }
            ProxyInput::Start { .. } => {}
        }
    }

    fn start(&mut self, now: Nanos, incarnation: u64) {
        let ProxyConfig { policy, salt, settings, seed, nodes, zones, idle_limit, network } = &self.config;
        let host = SimulatedHost {
            index: self.index,
            now,
            zones: *zones,
            network: network.clone(),
            rng: rng(*seed, "seat", splitmix64(self.index as u64) ^ incarnation),
            idle_limit: *idle_limit,
            idle: vec![VecDeque::new(); nodes + 1],
            open_requests: HashMap::new(),
            timers: BinaryHeap::new(),
            timer_targets: HashMap::new(),
            order: 0,
            actions: Vec::new(),
        };
        let seed = splitmix64(seed ^ splitmix64(self.index as u64 ^ incarnation << 32)).wrapping_add(*salt);
        self.policy = policy::create(policy, host, settings.clone(), seed, now);
        if let (Some(policy), Some(replicas)) = (&mut self.policy, self.kept_replicas.take()) {
            policy.set_replicas(replicas);
        }
    }

    fn nodes_listed(&mut self, now: Nanos, complete: bool, entries: &[NodeEntry]) {
        let (origin, zones) = (self.config.nodes, self.config.zones);
        let Some(policy) = &mut self.policy else { return };
        for entry in entries {
            policy.node_listed(now, entry.node, listed_node(entry, origin, zones));
        }
        if complete {
            let listed_nodes: Vec<Node> = entries.iter().map(|entry| entry.node).collect();
            policy.list_completed(&listed_nodes);
        }
    }

    /// Passes an outcome to the policy if its attempt is still in flight. A connection that is still usable
    /// becomes idle.
    fn attempt_ended(
        &mut self,
        now: Nanos,
        request: RequestId,
        attempt: usize,
        outcome: Outcome,
        response: (u64, RequestId),
    ) {
        let Some(policy) = &mut self.policy else { return };
        let host = policy.host();
        let Some(open) = host.open_requests.get_mut(&request) else { return };
        let Some(node) = open.attempts.get_mut(attempt).and_then(Option::take) else { return };
        if !matches!(outcome, Outcome::Unreachable | Outcome::Severed | Outcome::Overdue) {
            host.idle[node].push_back((now, response.0));
        }
        if outcome == Outcome::Completed && host.mark_answered(request) {
            let delay = host.client_delay();
            host.send_after(delay, ProxyAction::Served { request, sent: now, value: response.1 });
        }
        let request_finished = host.open_requests.get(&request).is_none_or(|open| open.answered);
        policy.attempt_ended(now, request, attempt, outcome, request_finished);
    }

    fn attempt_overdue(&mut self, now: Nanos, request: RequestId, attempt: usize) {
        let Some(policy) = &mut self.policy else { return };
        let host = policy.host();
        let Some(open) = host.open_requests.get_mut(&request) else { return };
        let Some(node) = open.attempts.get_mut(attempt).and_then(Option::take) else { return };
        let request_finished = open.answered;
        let delay = host.delay(node);
        host.send_after(delay, ProxyAction::Cancel { request, attempt, node, sent: now });
        policy.attempt_ended(now, request, attempt, Outcome::Overdue, request_finished);
    }

    fn attempt_unsent(&mut self, now: Nanos, request: RequestId, attempt: usize) {
        let Some(policy) = &mut self.policy else { return };
        let Some(open) = policy.host().open_requests.get_mut(&request) else { return };
        let was_in_flight = open.attempts.get_mut(attempt).and_then(Option::take).is_some();
        let request_finished = open.answered;
        if was_in_flight {
            policy.attempt_ended(now, request, attempt, Outcome::Unsent, request_finished);
        }
    }

    fn node_reset(&mut self, now: Nanos, node: Node) {
        let Some(policy) = &mut self.policy else { return };
        let host = policy.host();
        host.idle[node].clear();
        let mut severed: Vec<(RequestId, usize)> = Vec::new();
        for (&request, open) in &host.open_requests {
            let attempts = open.attempts.iter().enumerate().filter(|(_, at)| **at == Some(node));
            severed.extend(attempts.map(|(attempt, _)| (request, attempt)));
        }
        severed.sort_unstable();
        for &(request, attempt) in &severed {
            let delay = host.delay(node);
            host.send_after(delay, ProxyAction::Severed { request, attempt, node, sent: now });
        }
        for (request, attempt) in severed {
            self.attempt_ended(now, request, attempt, Outcome::Severed, (0, request));
        }
    }
}

/// The identifier of a cache node in the node list, the same at every proxy.
pub fn node_uid(node: Node) -> String {
    format!("n{}", node + 1)
}

/// A key as clients write it: 16 hexadecimal digits.
pub fn key_text(key: u64) -> String {
    format!("{key:016x}")
}

/// The hash of the key's text, by which the decisions know a key.
pub fn key_hash(key: u64) -> u64 {
    pumicebay_names::stable_hash(&key_text(key))
}

/// Converts an entry of the registry into the list entry that a policy receives. `origin` is the node number
/// of the origin.
pub fn listed_node(entry: &NodeEntry, origin: Node, zones: usize) -> ListedNode {
    let is_origin = entry.node == origin;
    ListedNode {
        identity: pumicebay_names::stable_hash(&if is_origin {
            "origin".into()
        } else {
            node_uid(entry.node)
        }),
        zone: if is_origin { 0 } else { entry.node % zones },
        cell: 0,
        status: match entry.state {
            NodeState::Ready => NodeStatus::Ready,
            NodeState::Draining => NodeStatus::Draining,
            NodeState::Left => NodeStatus::Gone,
        },
        started: entry.started_at,
        origin: is_origin,
        ..ListedNode::default()
    }
}
