//! The nodes as this proxy knows them, with aggregates that are updated on each change so that no decision
//! visits all nodes: the nodes that can take a request by load, the total load, the ejected nodes, and when
//! the passing of time alone changes any of these. No decisions are made here.

use crate::groups::CandidateGroups;
use crate::host::{ListedNode, Nanos, Node, NodeStatus};
use crate::load_buckets::LoadBuckets;
use crate::node_set::NodeSet;
use crate::state::NodeState;
use hashbrown::HashSet;
use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap};

/// A view of all nodes, which an index may search.
#[derive(Clone, Copy)]
pub struct NodesView<'a> {
    /// The nodes by index.
    pub states: &'a [NodeState],
    /// The current time.
    pub now: Nanos,
    /// How long a new process takes to warm up.
    pub warm_up: Nanos,
    /// How long a load report counts.
    pub report_lifetime: Nanos,
}

/// How an index sorts a node; None stands for a node that can't be sent requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadState {
    /// A node that has responded or reported, with its load in requests.
    Observed(u64),
    /// A node not yet heard from, with its load in requests: it counts as having at least the mean load.
    Unobserved(u64),
    /// A node that recently refused requests: it ranks behind all others.
    Refusing,
}

/// The lowest load, and how many nodes have it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LeastLoad {
    /// The load in requests; `f64::MAX` where all nodes refuse.
    pub load: f64,
    /// How many nodes have this load.
    pub ties: usize,
}

/// Finds the least loaded nodes that can take requests. [`LoadIndex`] is the one in use; a test compares it
/// with a linear scan.
pub trait NodeIndex: Default {
    /// Stores how a node is to be sorted.
    fn set_load_state(&mut self, node: Node, state: Option<LoadState>);
    /// The lowest load of the nodes that are not excluded; None if there are none.
    fn least_loaded(&self, view: NodesView<'_>, mean: f64, excluded: &[Node]) -> Option<LeastLoad>;
    /// The node at this index among those that tie for the lowest load: observed nodes in order, then
    /// unobserved ones by load and order.
    fn nth_tie(&self, view: NodesView<'_>, mean: f64, excluded: &[Node], index: usize) -> Option<Node>;
    /// Appends the candidate nodes of a key's group, each with its rank for the key.
    fn rank_candidates(&mut self, view: NodesView<'_>, key: u64, into: &mut Vec<(u64, Node)>);
    /// Stores a node's identity and whether it may hold keys.
    fn update_listing(&mut self, node: Node, identity: u64, ready: bool);
    /// The total load of the serving nodes. `tracked` is the sum that was kept up to date as they changed.
    fn total_load(&self, view: NodesView<'_>, tracked: u64) -> u64;
}

/// Index of nodes by load.
#[derive(Clone, Debug, Default)]
pub struct LoadIndex {
    observed: LoadBuckets,
    unobserved: LoadBuckets,
    refusing: NodeSet,
    /// The candidate nodes of each group of keys.
    pub groups: CandidateGroups,
}

impl NodeIndex for LoadIndex {
    fn set_load_state(&mut self, node: Node, state: Option<LoadState>) {
        let bucket = |wanted: fn(LoadState) -> Option<u64>| state.and_then(wanted);
        self.observed
            .set(node, bucket(|state| if let LoadState::Observed(load) = state { Some(load) } else { None }));
        self.unobserved.set(
            node,
            bucket(|state| if let LoadState::Unobserved(load) = state { Some(load) } else { None }),
        );
        self.refusing.set(node, state == Some(LoadState::Refusing));
    }

    fn least_loaded(&self, _view: NodesView<'_>, mean: f64, excluded: &[Node]) -> Option<LeastLoad> {
        let least = |load: u64, ties: usize| LeastLoad { load: load as f64, ties };
        let mut observed = self.observed.iter().map(|(load, set)| least(load, set.count_excluding(excluded)));
        let observed = observed.find(|least| least.ties > 0);
        // All nodes at or below the mean count as having the mean.
        let under = self.unobserved.iter().take_while(|(load, _)| *load as f64 <= mean);
        let under: usize = under.map(|(_, set)| set.count_excluding(excluded)).sum();
        let mut over = self.unobserved.iter().map(|(load, set)| least(load, set.count_excluding(excluded)));
        let unobserved = match under {
            0 => over.find(|least| least.load > mean && least.ties > 0),
            ties => Some(LeastLoad { load: mean, ties }),
        };
        match (observed, unobserved) {
            (Some(one), Some(other)) if one.load == other.load => {
                Some(LeastLoad { ties: one.ties + other.ties, ..one })
            }
            (Some(one), Some(other)) => Some(if one.load < other.load { one } else { other }),
            (Some(one), None) | (None, Some(one)) => Some(one),
            (None, None) => {
                let ties = self.refusing.count_excluding(excluded);
                (ties > 0).then_some(LeastLoad { load: f64::MAX, ties })
            }
        }
    }

    fn nth_tie(&self, view: NodesView<'_>, mean: f64, excluded: &[Node], mut index: usize) -> Option<Node> {
        let LeastLoad { load, .. } = self.least_loaded(view, mean, excluded)?;
        if load == f64::MAX {
            return self.refusing.nth_excluding(index, excluded);
        }
        let observed = self.observed.iter().filter(|(load_of_bucket, _)| *load_of_bucket as f64 == load);
        let unobserved =
            self.unobserved.iter().filter(|(load_of_bucket, _)| (*load_of_bucket as f64).max(mean) == load);
        for (_, set) in observed.chain(unobserved) {
            match set.nth_excluding(index, excluded) {
                Some(node) => return Some(node),
                None => index -= set.count_excluding(excluded),
            }
        }
        None
    }

    fn rank_candidates(&mut self, _view: NodesView<'_>, key: u64, into: &mut Vec<(u64, Node)>) {
        self.groups.candidates(key, into);
    }

    fn update_listing(&mut self, node: Node, identity: u64, ready: bool) {
        self.groups.update_node(node, identity, ready);
    }

    fn total_load(&self, _view: NodesView<'_>, tracked: u64) -> u64 {
        tracked
    }
}

/// A node's contribution to the aggregates.
#[derive(Clone, Copy, Debug, Default)]
struct Contribution {
    /// Its load, while it is serving.
    load: Option<u64>,
    /// When the passing of time alone next changes its contribution; 0 for never.
    recheck_at: Nanos,
}

/// All nodes, with the aggregates over them.
#[derive(Debug, Default)]
pub struct Nodes<F: NodeIndex> {
    /// The nodes by index.
    pub states: Vec<NodeState>,
    /// Finds nodes by load.
    pub index: F,
    contributions: Vec<Contribution>,
    load_sum: u64,
    serving: usize,
    ejected: BTreeSet<Node>,
    /// Identities that operators took out of service. They are kept whatever discovery lists.
    maintenance: HashSet<u64>,
    recheck_queue: BinaryHeap<Reverse<(Nanos, Node)>>,
    now: Nanos,
    warm_up: Nanos,
    report_lifetime: Nanos,
}

impl<F: NodeIndex> Nodes<F> {
    /// `warm_up` is how long a new process takes to warm up, `report_lifetime` how long a load report counts.
    pub fn new(warm_up: Nanos, report_lifetime: Nanos) -> Self {
        Nodes {
            states: Vec::new(),
            index: F::default(),
            contributions: Vec::new(),
            load_sum: 0,
            serving: 0,
            ejected: BTreeSet::new(),
            maintenance: HashSet::new(),
            recheck_queue: BinaryHeap::new(),
            now: 0,
            warm_up,
            report_lifetime,
        }
    }

    /// A view of the nodes for the index.
    pub fn view(&self) -> NodesView<'_> {
        let Nodes { states, now, warm_up, report_lifetime, .. } = self;
        NodesView { states, now: *now, warm_up: *warm_up, report_lifetime: *report_lifetime }
    }

    /// Advances the time and updates the nodes for which something has expired.
    pub fn advance_to(&mut self, now: Nanos) {
        self.now = now;
        while let Some(&Reverse((due, node))) =
            self.recheck_queue.peek().filter(|Reverse((due, _))| *due <= now)
        {
            self.recheck_queue.pop();
            if self.contributions[node].recheck_at == due {
                self.contributions[node].recheck_at = 0;
                self.reindex(node);
            }
        }
    }

    /// Changes a node, adding it if it is new, and updates the aggregates.
    pub fn change<R>(&mut self, node: Node, change: impl FnOnce(&mut NodeState) -> R) -> R {
        if node >= self.states.len() {
            self.states.resize(node + 1, NodeState::default());
            self.contributions.resize(node + 1, Contribution::default());
        }
        let result = change(&mut self.states[node]);
        self.reindex(node);
        result
    }

    /// Stores how discovery lists a node.
    pub fn update_listing(&mut self, node: Node, listed: ListedNode) {
        let in_maintenance = self.maintenance.contains(&listed.identity);
        self.change(node, |state| (state.listed, state.in_maintenance) = (listed, in_maintenance));
        let ready = self.states[node].is_ready() && !listed.origin;
        self.index.update_listing(node, listed.identity, ready);
    }

    /// Marks all nodes that are not named as gone.
    pub fn retain_listed(&mut self, named: &[Node]) {
        let mut kept = NodeSet::default();
        named.iter().for_each(|&node| _ = kept.set(node, true));
        for node in (0..self.states.len()).filter(|&node| !kept.contains(node)) {
            self.update_listing(node, ListedNode { status: NodeStatus::Gone, ..self.states[node].listed });
        }
    }

    /// Counts an attempt to a node; a cold node then gets no more from this proxy until `paced_until`.
    pub fn start_attempt(&mut self, node: Node, paced_until: Option<Nanos>) {
        let now = self.now;
        self.change(node, |state| {
            state.start_attempt(now);
            state.paced_until = paced_until.unwrap_or(state.paced_until);
        });
    }

    /// Treats the node as one whose process started now, and clears its penalties.
    pub fn restart(&mut self, node: Node) {
        self.update_listing(node, ListedNode { started: self.now, ..self.states[node].listed });
        self.change(node, NodeState::clear_penalties);
    }

    /// Removes a node: its index may be given to another.
    pub fn remove(&mut self, node: Node) {
        self.update_listing(node, ListedNode::default());
        self.change(node, |state| *state = NodeState::default());
    }

    /// Takes an identity out of service or puts it back. Returns whether that changed anything, and the node
    /// that has the identity.
    pub fn set_maintenance(&mut self, identity: u64, out_of_service: bool) -> (bool, Option<Node>) {
        let changed = if out_of_service {
            self.maintenance.insert(identity)
        } else {
            self.maintenance.remove(&identity)
        };
        let node = self.states.iter().position(|state| state.listed.identity == identity);
        if let Some(node) = node.filter(|_| changed) {
            self.update_listing(node, self.states[node].listed);
        }
        (changed, node)
    }

    fn reindex(&mut self, node: Node) {
        let (state, now) = (&mut self.states[node], self.now);
        if state.report.is_some_and(|report| now >= report.at + self.report_lifetime) {
            state.report = None;
        }
        let (load, warm) = (state.load_count(), state.is_warm(now, self.warm_up));
        let (serving, paced) = (state.is_serving(), !warm && now < state.paced_until);
        let load_state = match () {
            () if !serving || paced => None,
            () if now < state.refusing_until => Some(LoadState::Refusing),
            () if state.observed => Some(LoadState::Observed(load)),
            () => Some(LoadState::Unobserved(load)),
        };
        self.index.set_load_state(node, load_state);
        let contribution = &mut self.contributions[node];
        self.load_sum = self.load_sum - contribution.load.unwrap_or(0) + if serving { load } else { 0 };
        self.serving = self.serving - usize::from(contribution.load.is_some()) + usize::from(serving);
        contribution.load = serving.then_some(load);
        if state.ejected.is_some() {
            self.ejected.insert(node);
        } else if !self.ejected.is_empty() {
            self.ejected.remove(&node);
        }
        let later = [
            state.report.map(|report| report.at + self.report_lifetime),
            Some(state.refusing_until),
            (!warm).then_some(state.paced_until),
            (!warm).then_some(state.listed.started.saturating_add(self.warm_up)),
        ];
        let next = later.into_iter().flatten().filter(|due| *due > now).min();
        if let Some(next) = next
            && (contribution.recheck_at <= now || next < contribution.recheck_at)
        {
            contribution.recheck_at = next;
            self.recheck_queue.push(Reverse((next, node)));
        }
    }

    /// The number of serving caches.
    pub fn serving(&self) -> usize {
        self.serving
    }

    /// The mean load of the serving caches, in requests.
    pub fn mean_load(&self) -> f64 {
        self.index.total_load(self.view(), self.load_sum) as f64 / self.serving.max(1) as f64
    }

    /// The lowest load of the nodes that are not excluded; None if there are none.
    pub fn least_loaded(&self, mean: f64, excluded: &[Node]) -> Option<LeastLoad> {
        self.index.least_loaded(self.view(), mean, excluded)
    }

    /// The node at this index among those that tie for the lowest load.
    pub fn nth_tie(&self, mean: f64, excluded: &[Node], index: usize) -> Option<Node> {
        self.index.nth_tie(self.view(), mean, excluded, index)
    }

    /// Fills `into` with the candidate nodes of a key's group, each with its rank for the key.
    pub fn rank_candidates(&mut self, key: u64, into: &mut Vec<(u64, Node)>) {
        into.clear();
        let Nodes { index, states, now, warm_up, report_lifetime, .. } = self;
        index.rank_candidates(
            NodesView { states, now: *now, warm_up: *warm_up, report_lifetime: *report_lifetime },
            key,
            into,
        );
    }

    /// The ejected nodes.
    pub fn ejected(&self) -> impl Iterator<Item = Node> + '_ {
        self.ejected.iter().copied()
    }
}
