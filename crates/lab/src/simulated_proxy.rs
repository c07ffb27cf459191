//! One proxy in virtual time: a policy, and the host that carries out its acts as messages to the world. Seats
//! share nothing, so that many can be played at once.

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

/// What becomes known to a proxy.
#[derive(Clone, Debug)]
pub enum ProxyInput {
    RequestArrived {
        request: RequestId,
        params: RequestParams,
    },
    /// What came of a try; `epoch` is the node's incarnation, and `value` the exchange it was made for.
    AttemptEnded {
        request: RequestId,
        attempt: usize,
        outcome: Outcome,
        epoch: u64,
        value: RequestId,
    },
    /// The node's process died: its connections break.
    NodeReset {
        node: Node,
    },
    NodesListed {
        complete: bool,
        entries: Arc<Vec<NodeEntry>>,
    },
    ListFailed,
    ProbeFinished {
        node: Node,
        outcome: Outcome,
    },
    Kill,
    /// A new process, with the list it last had.
    Start {
        entries: Arc<Vec<NodeEntry>>,
        incarnation: u64,
    },
}

/// What a proxy does to the world.
#[derive(Clone, Debug)]
pub enum ProxyAction {
    /// `epoch` is that of the connection; none for a new one.
    Attempt {
        request: RequestId,
        attempt: usize,
        node: Node,
        sent: Nanos,
        epoch: Option<u64>,
        /// How long it tells the node that it will be waited for.
        advertised_timeout: Nanos,
    },
    /// Gives up a try by closing its connection.
    Cancel {
        request: RequestId,
        attempt: usize,
        node: Node,
        sent: Nanos,
    },
    /// A try's connection broke.
    Severed {
        request: RequestId,
        attempt: usize,
        node: Node,
        sent: Nanos,
    },
    /// Closes an idle connection.
    Close {
        node: Node,
        epoch: u64,
    },
    Served {
        request: RequestId,
        sent: Nanos,
        value: RequestId,
    },
    Shed {
        request: RequestId,
        sent: Nanos,
        pause: Nanos,
    },
    Errored {
        request: RequestId,
        sent: Nanos,
    },
    /// There is no process to take it.
    Refused {
        request: RequestId,
    },
    Probe {
        node: Node,
    },
    WatchNodeList,
    Log(String),
}

/// A message and when it arrives; those at the same time in the order they were sent.
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
        // The earliest first.
        (other.at, other.order).cmp(&(self.at, self.order))
    }
}

enum Timer {
    Policy(u64),
    AttemptOverdue(RequestId, usize),
    /// Hardly any time was left: it was not begun.
    AttemptUnsent(RequestId, usize),
}

struct OpenRequest {
    answered: bool,
    /// Until when its client waits, as far as this proxy knows.
    client_deadline: Nanos,
    /// The node of each try that is out.
    attempts: Vec<Option<Node>>,
}

/// Carries out what a policy asks for.
pub struct SimulatedHost {
    index: usize,
    now: Nanos,
    zones: usize,
    network: Network,
    rng: Rng,
    idle_limit: Nanos,
    /// By node: when each idle connection was last used, and its epoch.
    idle: Vec<VecDeque<(Nanos, u64)>>,
    open_requests: HashMap<RequestId, OpenRequest>,
    timers: BinaryHeap<Reverse<(Nanos, u64)>>,
    /// What the timers are for, by their order.
    timer_targets: HashMap<u64, Timer>,
    order: u64,
    actions: Vec<(Nanos, ProxyAction)>,
}

impl SimulatedHost {
    fn send_after(&mut self, after: Nanos, message: ProxyAction) {
        self.actions.push((self.now + after, message));
    }

    /// To a node; the origin is in the first zone.
    fn delay(&mut self, node: Node) -> Nanos {
        let zone = if node + 1 >= self.idle.len() { 0 } else { node % self.zones };
        self.network.delay(&mut self.rng, self.index % self.zones, zone)
    }

    fn client_delay(&mut self) -> Nanos {
        self.network.delay(&mut self.rng, 0, 0)
    }

    fn schedule(&mut self, at: Nanos, schedule: Timer) {
        self.order += 1;
        self.timers.push(Reverse((at, self.order)));
        self.timer_targets.insert(self.order, schedule);
    }

    /// An idle connection to the node that is not too old; those that are get closed.
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

    /// Whether the exchange still awaits its answer, which it now has.
    fn take_answer(&mut self, request: RequestId) -> bool {
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
        // A new connection is there and back before it carries anything.
        let delay = if epoch.is_some() { one_way } else { 3 * one_way };
        self.send_after(
            delay,
            ProxyAction::Attempt { request, attempt, node, sent: self.now, epoch, advertised_timeout },
        );
        self.schedule(self.now + timeout, Timer::AttemptOverdue(request, attempt));
    }

    fn shed(&mut self, request: RequestId, pause: Nanos) {
        if self.take_answer(request) {
            let delay = self.client_delay();
            self.send_after(delay, ProxyAction::Shed { request, sent: self.now, pause });
        }
    }

    fn error(&mut self, request: RequestId) {
        if self.take_answer(request) {
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

    /// A node keeps its number here: it may come back.
    fn release_node(&mut self, _node: Node) {}

    fn watch_node_list(&mut self) {
        self.send_after(self.network.min_delay(), ProxyAction::WatchNodeList);
    }

    fn log(&mut self, line: &str) {
        self.send_after(self.network.min_delay(), ProxyAction::Log(line.to_string()));
    }
}

/// What a seat is made of, the same for each.
#[derive(Clone)]
pub struct ProxyConfig {
    pub policy: String,
    /// Added to the seed of the policy's own chance.
    pub salt: u64,
    pub settings: Settings,
    pub seed: u64,
    pub nodes: usize,
    pub zones: usize,
    pub idle_limit: Nanos,
    pub network: Network,
}

pub struct SimulatedProxy {
    index: usize,
    config: ProxyConfig,
    policy: Option<BoxedPolicy<SimulatedHost>>,
    /// What a policy that is killed had learned, where that outlives it.
    kept_replicas: Option<ReplicaTable>,
    inbox: BinaryHeap<Scheduled<ProxyInput>>,
    /// What it did, since last taken.
    actions: Vec<(Nanos, ProxyAction)>,
}

impl SimulatedProxy {
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

    pub fn deliver(&mut self, at: Nanos, order: u64, message: ProxyInput) {
        self.inbox.push(Scheduled { at, order, message });
    }

    /// When something is next to happen here.
    pub fn next_event_at(&mut self) -> Nanos {
        let next_message = self.inbox.peek().map_or(Nanos::MAX, |due| due.at);
        let schedule = self.policy.as_mut().and_then(|policy| policy.host().timers.peek().map(|due| due.0.0));
        next_message.min(schedule.unwrap_or(Nanos::MAX))
    }

    /// Plays all that happens here before that time.
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

    /// What it did since last asked: when each arrives, in the order it was done.
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
        self.policy = policy::make(policy, host, settings.clone(), seed, now);
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

    /// An outcome counts if its try is still out; a connection that is sound is kept.
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
        if outcome == Outcome::Completed && host.take_answer(request) {
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

/// What stands for a node at every proxy.
pub fn node_uid(node: Node) -> String {
    format!("n{}", node + 1)
}

/// A key as clients write it, and what stands for it in the decisions, which is a hash of that.
pub fn key_text(key: u64) -> String {
    format!("{key:016x}")
}

pub fn key_hash(key: u64) -> u64 {
    pumicebay_names::stable_hash(&key_text(key))
}

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
