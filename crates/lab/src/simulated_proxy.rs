//! One proxy in virtual time: a policy, and the host that carries out its acts as messages to the world. Seats
//! share nothing, so that many can be played at once.

use crate::policy::{self, Boxed};
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
pub enum ToSeat {
    Arrived {
        xchg: RequestId,
        ask: RequestParams,
    },
    /// What came of a try; `epoch` is the node's incarnation, and `value` the exchange it was made for.
    Back {
        xchg: RequestId,
        try_no: usize,
        outcome: Outcome,
        epoch: u64,
        value: RequestId,
    },
    /// The node's process died: its connections break.
    Reset {
        node: Node,
    },
    Listed {
        whole: bool,
        entries: Arc<Vec<NodeEntry>>,
    },
    ListFailed,
    Probed {
        node: Node,
        outcome: Outcome,
    },
    Kill,
    /// A new process, with the list it last had.
    Start {
        entries: Arc<Vec<NodeEntry>>,
        life: u64,
    },
}

/// What a proxy does to the world.
#[derive(Clone, Debug)]
pub enum ToWorld {
    /// `epoch` is that of the connection; none for a new one.
    Try {
        xchg: RequestId,
        try_no: usize,
        node: Node,
        sent: Nanos,
        epoch: Option<u64>,
        /// How long it tells the node that it will be waited for.
        told: Nanos,
    },
    /// Gives up a try by closing its connection.
    Cancel {
        xchg: RequestId,
        try_no: usize,
        node: Node,
        sent: Nanos,
    },
    /// A try's connection broke.
    Severed {
        xchg: RequestId,
        try_no: usize,
        node: Node,
        sent: Nanos,
    },
    /// Closes an idle connection.
    Close {
        node: Node,
        epoch: u64,
    },
    Served {
        xchg: RequestId,
        sent: Nanos,
        value: RequestId,
    },
    Shed {
        xchg: RequestId,
        sent: Nanos,
        pause: Nanos,
    },
    Errored {
        xchg: RequestId,
        sent: Nanos,
    },
    /// There is no process to take it.
    Refused {
        xchg: RequestId,
    },
    Probe {
        node: Node,
    },
    Follow,
    Log(String),
}

/// A message and when it arrives; those at the same time in the order they were sent.
pub struct Due<T> {
    pub at: Nanos,
    pub order: u64,
    pub what: T,
}

impl<T> PartialEq for Due<T> {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.order) == (other.at, other.order)
    }
}

impl<T> Eq for Due<T> {}

impl<T> PartialOrd for Due<T> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<T> Ord for Due<T> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        // The earliest first.
        (other.at, other.order).cmp(&(self.at, self.order))
    }
}

enum Timer {
    Woke(u64),
    Overdue(RequestId, usize),
    /// Hardly any time was left: it was not begun.
    NotBegun(RequestId, usize),
}

struct Open {
    answered: bool,
    /// Until when its client waits, as far as this proxy knows.
    client_ends: Nanos,
    /// The node of each try that is out.
    tries: Vec<Option<Node>>,
}

/// Carries out what a policy asks for.
pub struct Acts {
    number: usize,
    now: Nanos,
    zones: usize,
    network: Network,
    rng: Rng,
    idle_limit: Nanos,
    /// By node: when each idle connection was last used, and its epoch.
    idle: Vec<VecDeque<(Nanos, u64)>>,
    open: HashMap<RequestId, Open>,
    timers: BinaryHeap<Reverse<(Nanos, u64)>>,
    /// What the timers are for, by their order.
    due: HashMap<u64, Timer>,
    order: u64,
    out: Vec<(Nanos, ToWorld)>,
}

impl Acts {
    fn post(&mut self, after: Nanos, what: ToWorld) {
        self.out.push((self.now + after, what));
    }

    /// To a node; the origin is in the first zone.
    fn delay(&mut self, node: Node) -> Nanos {
        let zone = if node + 1 >= self.idle.len() { 0 } else { node % self.zones };
        self.network.delay(&mut self.rng, self.number % self.zones, zone)
    }

    fn client_delay(&mut self) -> Nanos {
        self.network.delay(&mut self.rng, 0, 0)
    }

    fn timer(&mut self, at: Nanos, timer: Timer) {
        self.order += 1;
        self.timers.push(Reverse((at, self.order)));
        self.due.insert(self.order, timer);
    }

    /// An idle connection to the node that is not too old; those that are get closed.
    fn connection(&mut self, node: Node) -> Option<u64> {
        while let Some((used, epoch)) = self.idle[node].pop_front() {
            if self.now < used + self.idle_limit {
                return Some(epoch);
            }
            let delay = self.delay(node);
            self.post(delay, ToWorld::Close { node, epoch });
        }
        None
    }

    /// Whether the exchange still awaits its answer, which it now has.
    fn answer(&mut self, xchg: RequestId) -> bool {
        self.open.get_mut(&xchg).is_some_and(|open| !std::mem::replace(&mut open.answered, true))
    }
}

impl Host for Acts {
    fn send(&mut self, xchg: RequestId, node: Node, timeout: Nanos) {
        let Some(open) = self.open.get_mut(&xchg) else { return };
        let try_no = open.tries.len();
        open.tries.push(Some(node));
        let Some(told) = advertised_timeout_ms(self.now, self.now + timeout, open.client_ends) else {
            return self.timer(self.now, Timer::NotBegun(xchg, try_no));
        };
        let told = millis(told as f64);
        let epoch = self.connection(node);
        let one_way = self.delay(node);
        // A new connection is there and back before it carries anything.
        let takes = if epoch.is_some() { one_way } else { 3 * one_way };
        self.post(takes, ToWorld::Try { xchg, try_no, node, sent: self.now, epoch, told });
        self.timer(self.now + timeout, Timer::Overdue(xchg, try_no));
    }

    fn shed(&mut self, xchg: RequestId, pause: Nanos) {
        if self.answer(xchg) {
            let delay = self.client_delay();
            self.post(delay, ToWorld::Shed { xchg, sent: self.now, pause });
        }
    }

    fn error(&mut self, xchg: RequestId) {
        if self.answer(xchg) {
            let delay = self.client_delay();
            self.post(delay, ToWorld::Errored { xchg, sent: self.now });
        }
    }

    fn release_request(&mut self, xchg: RequestId) {
        self.open.remove(&xchg);
    }

    fn set_timer(&mut self, at: Nanos, token: u64) {
        self.timer(at, Timer::Woke(token));
    }

    fn probe(&mut self, node: Node) {
        let delay = self.delay(node);
        self.post(delay, ToWorld::Probe { node });
    }

    /// A node keeps its number here: it may come back.
    fn release_node(&mut self, _node: Node) {}

    fn watch_node_list(&mut self) {
        self.post(self.network.min_delay(), ToWorld::Follow);
    }

    fn log(&mut self, line: &str) {
        self.post(self.network.min_delay(), ToWorld::Log(line.to_string()));
    }
}

/// What a seat is made of, the same for each.
#[derive(Clone)]
pub struct Rules {
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

pub struct Seat {
    number: usize,
    rules: Rules,
    policy: Option<Boxed<Acts>>,
    /// What a policy that is killed had learned, where that outlives it.
    kept_sets: Option<ReplicaTable>,
    inbox: BinaryHeap<Due<ToSeat>>,
    /// What it did, since last taken.
    out: Vec<(Nanos, ToWorld)>,
}

impl Seat {
    pub fn new(rules: Rules, number: usize) -> Seat {
        Seat { number, rules, policy: None, kept_sets: None, inbox: BinaryHeap::new(), out: Vec::new() }
    }

    pub fn mail(&mut self, at: Nanos, order: u64, what: ToSeat) {
        self.inbox.push(Due { at, order, what });
    }

    /// When something is next to happen here.
    pub fn next_at(&mut self) -> Nanos {
        let mail = self.inbox.peek().map_or(Nanos::MAX, |due| due.at);
        let timer = self.policy.as_mut().and_then(|policy| policy.host().timers.peek().map(|due| due.0.0));
        mail.min(timer.unwrap_or(Nanos::MAX))
    }

    /// Plays all that happens here before that time.
    pub fn play(&mut self, until: Nanos) {
        loop {
            let mail = self.inbox.peek().map_or(Nanos::MAX, |due| due.at);
            let next = self.next_at();
            if next >= until {
                break;
            }
            if mail <= next {
                let Some(due) = self.inbox.pop() else { break };
                self.handle(due.at, due.what);
            } else if let Some(policy) = &mut self.policy {
                let Some(Reverse((at, order))) = policy.host().timers.pop() else { break };
                policy.host().now = at;
                match policy.host().due.remove(&order) {
                    Some(Timer::Woke(token)) => policy.woke(at, token),
                    Some(Timer::Overdue(xchg, try_no)) => self.overdue(at, xchg, try_no),
                    Some(Timer::NotBegun(xchg, try_no)) => self.not_begun(at, xchg, try_no),
                    None => {}
                }
            }
            self.collect();
        }
    }

    /// What it did since last asked: when each arrives, in the order it was done.
    pub fn take(&mut self) -> std::vec::Drain<'_, (Nanos, ToWorld)> {
        self.out.drain(..)
    }

    fn collect(&mut self) {
        if let Some(policy) = &mut self.policy {
            self.out.append(&mut policy.host().out);
        }
    }

    fn handle(&mut self, now: Nanos, what: ToSeat) {
        if let ToSeat::Start { entries, life } = what {
            self.start(now, life);
            return self.listed(now, true, &entries);
        }
        let Some(policy) = &mut self.policy else {
            if let ToSeat::Arrived { xchg, .. } = what {
                self.out.push((now + self.rules.network.min_delay(), ToWorld::Refused { xchg }));
            }
            return;
        };
        policy.host().now = now;
        match what {
            ToSeat::Arrived { xchg, ask } => {
                let client_ends = now.saturating_add(ask.client_timeout);
                policy.host().open.insert(xchg, Open { answered: false, client_ends, tries: Vec::new() });
                policy.arrived(now, xchg, ask);
            }
            ToSeat::Back { xchg, try_no, outcome, epoch, value } => {
                self.back(now, xchg, try_no, outcome, (epoch, value));
            }
            ToSeat::Reset { node } => self.reset(now, node),
            ToSeat::Listed { whole, entries } => self.listed(now, whole, &entries),
            ToSeat::ListFailed => policy.list_failed(now),
            ToSeat::Probed { node, outcome } => policy.probed(node, outcome),
            ToSeat::Kill => {
                self.collect();
                let sets = self.policy.take().and_then(|mut policy| policy.take_sets());
                self.kept_sets = sets.filter(|_| self.rules.policy == policy::KEEPS_SETS);
            }
            ToSeat::Start { .. } => {}
        }
    }

    fn start(&mut self, now: Nanos, life: u64) {
        let Rules { policy, salt, settings, seed, nodes, zones, idle_limit, network } = &self.rules;
        let acts = Acts {
            number: self.number,
            now,
            zones: *zones,
            network: network.clone(),
            rng: rng(*seed, "seat", splitmix64(self.number as u64) ^ life),
            idle_limit: *idle_limit,
            idle: vec![VecDeque::new(); nodes + 1],
            open: HashMap::new(),
            timers: BinaryHeap::new(),
            due: HashMap::new(),
            order: 0,
            out: Vec::new(),
        };
        let seed = splitmix64(seed ^ splitmix64(self.number as u64 ^ life << 32)).wrapping_add(*salt);
        self.policy = policy::make(policy, acts, settings.clone(), seed, now);
        if let (Some(policy), Some(sets)) = (&mut self.policy, self.kept_sets.take()) {
            policy.put_sets(sets);
        }
    }

    fn listed(&mut self, now: Nanos, whole: bool, entries: &[NodeEntry]) {
        let (origin, zones) = (self.rules.nodes, self.rules.zones);
        let Some(policy) = &mut self.policy else { return };
        for entry in entries {
            policy.listed(now, entry.node, listed(entry, origin, zones));
        }
        if whole {
            let named: Vec<Node> = entries.iter().map(|entry| entry.node).collect();
            policy.listed_all(&named);
        }
    }

    /// An outcome counts if its try is still out; a connection that is sound is kept.
    fn back(&mut self, now: Nanos, xchg: RequestId, try_no: usize, outcome: Outcome, came: (u64, RequestId)) {
        let Some(policy) = &mut self.policy else { return };
        let acts = policy.host();
        let Some(open) = acts.open.get_mut(&xchg) else { return };
        let Some(node) = open.tries.get_mut(try_no).and_then(Option::take) else { return };
        if !matches!(outcome, Outcome::Unreachable | Outcome::Severed | Outcome::Overdue) {
            acts.idle[node].push_back((now, came.0));
        }
        if outcome == Outcome::Completed && acts.answer(xchg) {
            let delay = acts.client_delay();
            acts.post(delay, ToWorld::Served { xchg, sent: now, value: came.1 });
        }
        let over = acts.open.get(&xchg).is_none_or(|open| open.answered);
        policy.ended(now, xchg, try_no, outcome, over);
    }

    fn overdue(&mut self, now: Nanos, xchg: RequestId, try_no: usize) {
        let Some(policy) = &mut self.policy else { return };
        let acts = policy.host();
        let Some(open) = acts.open.get_mut(&xchg) else { return };
        let Some(node) = open.tries.get_mut(try_no).and_then(Option::take) else { return };
        let over = open.answered;
        let delay = acts.delay(node);
        acts.post(delay, ToWorld::Cancel { xchg, try_no, node, sent: now });
        policy.ended(now, xchg, try_no, Outcome::Overdue, over);
    }

    fn not_begun(&mut self, now: Nanos, xchg: RequestId, try_no: usize) {
        let Some(policy) = &mut self.policy else { return };
        let Some(open) = policy.host().open.get_mut(&xchg) else { return };
        let taken_out = open.tries.get_mut(try_no).and_then(Option::take).is_some();
        let over = open.answered;
        if taken_out {
            policy.ended(now, xchg, try_no, Outcome::Unsent, over);
        }
    }

    fn reset(&mut self, now: Nanos, node: Node) {
        let Some(policy) = &mut self.policy else { return };
        let acts = policy.host();
        acts.idle[node].clear();
        let mut broken: Vec<(RequestId, usize)> = Vec::new();
        for (&xchg, open) in &acts.open {
            let tries = open.tries.iter().enumerate().filter(|(_, at)| **at == Some(node));
            broken.extend(tries.map(|(try_no, _)| (xchg, try_no)));
        }
        broken.sort_unstable();
        for &(xchg, try_no) in &broken {
            let delay = acts.delay(node);
            acts.post(delay, ToWorld::Severed { xchg, try_no, node, sent: now });
        }
        for (xchg, try_no) in broken {
            self.back(now, xchg, try_no, Outcome::Severed, (0, xchg));
        }
    }
}

/// What stands for a node at every proxy.
pub fn uid(node: Node) -> String {
    format!("n{}", node + 1)
}

/// A key as clients write it, and what stands for it in the decisions, which is a hash of that.
pub fn key_text(key: u64) -> String {
    format!("{key:016x}")
}

pub fn key_mark(key: u64) -> u64 {
    pumicebay_names::stable_hash(&key_text(key))
}

pub fn listed(entry: &NodeEntry, origin: Node, zones: usize) -> ListedNode {
    let is_origin = entry.node == origin;
    ListedNode {
        identity: pumicebay_names::stable_hash(&if is_origin { "origin".into() } else { uid(entry.node) }),
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
