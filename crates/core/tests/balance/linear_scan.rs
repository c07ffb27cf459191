//! Compares the load index with a linear scan over all nodes: two proxies get the same events and must make
//! exactly the same calls. The scan keeps no state and checks every node each time.

use proptest::prelude::*;
use pumicebay_core::groups::{GROUP_SIZE, group_of_key, group_rank};
use pumicebay_core::nodes::{LeastLoad, LoadIndex, LoadState, NodeIndex, NodesView};
use pumicebay_core::settings::Value;
use pumicebay_core::state::NodeState;
use pumicebay_core::table::rendezvous;
use pumicebay_core::{
    Balancer, Host, ListedNode, Nanos, Node, NodeStatus, Outcome, ReportedLoad, RequestId, RequestParams,
    Settings,
};

const MS: Nanos = 1_000_000;
const SECOND: Nanos = 1000 * MS;
const ORIGIN: Node = 0;

#[derive(Default)]
struct LinearScan;

/// Requests in flight at the node: those of its report plus later ones of this proxy, otherwise this proxy's.
fn reported_load(view: NodesView<'_>, state: &NodeState) -> u64 {
    let own = state.stats.in_flight;
    match state.report.filter(|report| view.now < report.at + view.report_lifetime) {
        Some(report) => (report.in_flight + own).saturating_sub(report.own).max(own) as u64,
        None => own as u64,
    }
}

impl LinearScan {
    /// Every node that can take a request, with the load it counts as and its place among nodes with that
    /// load.
    fn candidates(view: NodesView<'_>, mean: f64, excluded: &[Node]) -> Vec<(f64, (bool, u64), Node)> {
        let mut all = Vec::new();
        for (node, state) in view.states.iter().enumerate() {
            let warm = state.is_warm(view.now, view.warm_up);
            if !state.is_serving() || !warm && view.now < state.paced_until || excluded.contains(&node) {
                continue;
            }
            let load = reported_load(view, state);
            all.push(match () {
                () if view.now < state.refusing_until => (f64::MAX, (false, 0), node),
                () if state.observed => (load as f64, (false, 0), node),
                () => ((load as f64).max(mean), (true, load), node),
            });
        }
        all.sort_by(|one, other| {
            one.0.total_cmp(&other.0).then(one.1.cmp(&other.1)).then(one.2.cmp(&other.2))
        });
        all
    }
}

impl NodeIndex for LinearScan {
    fn set_load_state(&mut self, _node: Node, _state: Option<LoadState>) {}

    fn least_loaded(&self, view: NodesView<'_>, mean: f64, excluded: &[Node]) -> Option<LeastLoad> {
        let all = LinearScan::candidates(view, mean, excluded);
        let load = all.first()?.0;
        Some(LeastLoad { load, ties: all.iter().filter(|candidate| candidate.0 == load).count() })
    }

    fn nth_tie(&self, view: NodesView<'_>, mean: f64, excluded: &[Node], index: usize) -> Option<Node> {
        LinearScan::candidates(view, mean, excluded).get(index).map(|candidate| candidate.2)
    }

    fn rank_candidates(&mut self, view: NodesView<'_>, key: u64, into: &mut Vec<(u64, Node)>) {
        let ready =
            view.states.iter().enumerate().filter(|(_, state)| state.is_ready() && !state.listed.origin);
        let identity = |node: Node| view.states[node].listed.identity;
        let mut ranked: Vec<(u64, Node)> =
            ready.map(|(node, _)| (group_rank(group_of_key(key), identity(node)), node)).collect();
        if ranked.len() > GROUP_SIZE {
            ranked.sort_unstable_by(|one, other| other.cmp(one));
            ranked.truncate(GROUP_SIZE);
        }
        into.extend(ranked.into_iter().map(|(_, node)| (rendezvous(key, identity(node)), node)));
    }

    fn update_listing(&mut self, _node: Node, _identity: u64, _ready: bool) {}

    fn total_load(&self, view: NodesView<'_>, _tracked: u64) -> u64 {
        view.states.iter().filter(|state| state.is_serving()).map(|state| reported_load(view, state)).sum()
    }
}

/// Records all calls, and the attempts in flight and timers that follow from them.
#[derive(Default)]
struct RecordingHost {
    calls: Vec<String>,
    in_flight: Vec<(RequestId, usize, Node)>,
    attempts: std::collections::BTreeMap<RequestId, usize>,
    timers: Vec<(Nanos, u64)>,
}

impl Host for RecordingHost {
    fn send(&mut self, id: RequestId, node: Node, timeout: Nanos) {
        let attempts = self.attempts.entry(id).or_default();
        self.in_flight.push((id, *attempts, node));
        *attempts += 1;
        self.calls.push(format!("{id} to {node} within {timeout}"));
    }
    fn shed(&mut self, id: RequestId, pause: Nanos) {
        self.calls.push(format!("{id} shed {pause}"));
    }
    fn error(&mut self, id: RequestId) {
        self.calls.push(format!("{id} error"));
    }
    fn release_request(&mut self, id: RequestId) {
        self.calls.push(format!("{id} released"));
    }
    fn set_timer(&mut self, at: Nanos, token: u64) {
        self.timers.push((at, token));
    }
    fn probe(&mut self, node: Node) {
        self.calls.push(format!("probe {node}"));
    }
    fn release_node(&mut self, node: Node) {
        self.calls.push(format!("release {node}"));
    }
    fn watch_node_list(&mut self) {}
    fn log(&mut self, line: &str) {
        self.calls.push(line.to_string());
    }
}

fn settings(proxies: u64, repeat: &str) -> Settings {
    let mut settings = Settings::default();
    let base = [
        ("routes", Value::Number(1.0)),
        ("route.0.repeat", Value::Text(repeat.into())),
        ("route.0.scope", Value::Text("zone".into())),
        ("route.0.window", Value::Time(SECOND)),
        ("route.0.objective", Value::Time(SECOND)),
        ("most_tries", Value::Number(4.0)),
        ("fleet", Value::Number(proxies as f64)),
        ("probes", Value::Flag(true)),
        ("cold", Value::Time(6 * SECOND)),
        ("fall", Value::Time(SECOND)),
        ("start_capacity", Value::Number(0.1)),
    ];
    base.into_iter().for_each(|(name, value)| settings.put(name, value));
    settings
}

/// An event; its numbers are reduced to valid values where it is applied.
#[derive(Clone, Copy, Debug)]
enum Step {
    Arrive { key: u64, work_hint: u64 },
    End { which: usize, outcome: u8 },
    List { node: usize, drawn_status: u8, fresh: bool },
    Report { node: usize, load: u64 },
    Advance { ms: u64 },
}

fn step() -> impl Strategy<Value = Step> {
    let key = prop_oneof![3 => 0u64..4, 1 => any::<u64>()];
    prop_oneof![
        8 => (key.clone(), prop_oneof![9 => Just(0u64), 1 => 1u64..5000])
            .prop_map(|(key, work_hint)| Step::Arrive { key, work_hint }),
        8 => (any::<usize>(), 0u8..12).prop_map(|(which, outcome)| Step::End { which, outcome }),
        2 => (any::<usize>(), 0u8..4, any::<bool>())
            .prop_map(|(node, drawn_status, fresh)| Step::List { node, drawn_status, fresh }),
        1 => (any::<usize>(), 0u64..9).prop_map(|(node, load)| Step::Report { node, load }),
        4 => prop_oneof![4 => 1u64..60, 1 => 60u64..4000].prop_map(|ms| Step::Advance { ms }),
    ]
}

fn listed(node: Node, status: NodeStatus, started: Nanos) -> ListedNode {
    let identity = rendezvous(node as u64, 99);
    ListedNode { identity, zone: node % 3, origin: node == ORIGIN, status, started, ..ListedNode::default() }
}

fn outcome(draw: u8) -> Outcome {
    match draw {
        0 => Outcome::Errored,
        1 => Outcome::Saturated,
        2 => Outcome::Overdue,
        3 => Outcome::Unreachable,
        4 => Outcome::Severed,
        5 | 6 => Outcome::Missed,
        _ => Outcome::Completed,
    }
}

/// A balancer with the index under test.
struct Proxy<F: NodeIndex> {
    balancer: Balancer<RecordingHost, F>,
    now: Nanos,
    last: RequestId,
    nodes: usize,
}

impl<F: NodeIndex> Proxy<F> {
    fn new(nodes: usize, proxies: u64, repeat: &str) -> Self {
        let now = 100 * SECOND;
        let mut balancer = Balancer::with_index(RecordingHost::default(), settings(proxies, repeat), 5, now);
        for node in 0..=nodes {
            balancer.node_listed(now, node, listed(node, NodeStatus::Ready, 0));
        }
        balancer.list_completed(&(0..=nodes).collect::<Vec<_>>());
        Proxy { balancer, now, last: 0, nodes }
    }

    /// Applies an event and returns the calls that it caused.
    fn apply(&mut self, step: Step) -> Vec<String> {
        let (now, count) = (self.now, self.nodes);
        let cache = |node: usize| 1 + node % count;
        match step {
            Step::Arrive { key, work_hint } => {
                self.last += 1;
                let work_hint = (work_hint > 0).then_some(work_hint * MS);
                let params = RequestParams {
                    key: Some(key),
                    work_hint,
                    client_timeout: 2 * SECOND,
                    ..RequestParams::default()
                };
                self.balancer.request_arrived(now, self.last, params);
            }
            Step::End { which, outcome: draw } if !self.balancer.host.in_flight.is_empty() => {
                let index = which % self.balancer.host.in_flight.len();
                let (id, attempt, node) = self.balancer.host.in_flight.swap_remove(index);
                let outcome = match outcome(draw) {
                    Outcome::Missed if node == ORIGIN => Outcome::Completed,
                    outcome => outcome,
                };
                self.balancer.attempt_ended(now, id, attempt, outcome, outcome == Outcome::Completed);
            }
            Step::End { .. } => {}
            Step::List { node, drawn_status, fresh } => {
                let status = match drawn_status {
                    0 | 1 => NodeStatus::Ready,
                    2 => NodeStatus::Draining,
                    _ => NodeStatus::Gone,
                };
                let started = if fresh { now } else { 0 };
                self.balancer.node_listed(now, cache(node), listed(cache(node), status, started));
            }
            Step::Report { node, load } => {
                self.balancer.load_reported(now, cache(node), ReportedLoad::InFlight(load as f64))
            }
            Step::Advance { ms } => self.advance(ms * MS),
        }
        std::mem::take(&mut self.balancer.host.calls)
    }

    /// Advances the time; timers fire when due, and every probe is answered.
    fn advance(&mut self, span: Nanos) {
        let until = self.now + span;
        loop {
            let timers = &mut self.balancer.host.timers;
            let Some(index) = (0..timers.len()).min_by_key(|&index| timers[index]) else { break };
            if timers[index].0 > until {
                break;
            }
            let (at, token) = timers.swap_remove(index);
            self.now = self.now.max(at);
            self.balancer.timer_fired(self.now, token);
            let calls = self.balancer.host.calls.clone();
            for call in calls.iter().rev().take_while(|call| call.starts_with("probe ")) {
                let node = call["probe ".len()..].parse().expect("a probe names its node");
                self.balancer.probe_finished(node, Outcome::Completed);
            }
        }
        self.now = until;
    }
}

/// Applies the steps to a proxy with the load index and to one with the linear scan.
fn compare(nodes: usize, proxies: u64, repeat: &str, steps: &[Step]) -> Result<(), TestCaseError> {
    let mut indexed = Proxy::<LoadIndex>::new(nodes, proxies, repeat);
    let mut linear = Proxy::<LinearScan>::new(nodes, proxies, repeat);
    for (index, step) in steps.iter().enumerate() {
        let (one, other) = (indexed.apply(*step), linear.apply(*step));
        prop_assert_eq!(one, other, "at step {}: {:?}", index, step);
    }
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 96, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn the_index_decides_like_a_linear_scan(
        nodes in prop_oneof![1usize..12, 12usize..300],
        proxies in prop_oneof![Just(1u64), Just(9), Just(100)],
        repeat in prop_oneof![Just("retriable"), Just("deduped"), Just("non_retriable")],
        steps in prop::collection::vec(step(), 1..250),
    ) {
        compare(nodes, proxies, repeat, &steps)?;
    }

    /// Many nodes leave and join, so that groups lose and gain members.
    #[test]
    fn groups_depend_on_the_node_list_alone(
        nodes in 130usize..300,
        flips in prop::collection::vec((any::<usize>(), any::<bool>(), 0u64..6), 1..400),
    ) {
        let (mut indexed, mut linear) = (Proxy::<LoadIndex>::new(nodes, 1, "retriable"), Proxy::<LinearScan>::new(nodes, 1, "retriable"));
        for (node, ready, key) in flips {
            let node = 1 + node % nodes;
            let status = if ready { NodeStatus::Ready } else { NodeStatus::Gone };
            let (now, listed) = (indexed.now, listed(node, status, 0));
            indexed.balancer.node_listed(now, node, listed);
            linear.balancer.node_listed(now, node, listed);
            let step = Step::Arrive { key: rendezvous(key, 7), work_hint: 0 };
            prop_assert_eq!(indexed.apply(step), linear.apply(step));
        }
    }
}

/// The comparison must be able to fail: it detects an index that ignores refusals.
#[test]
fn a_wrong_index_is_detected() {
    #[derive(Default)]
    struct WrongIndex(LoadIndex);
    impl NodeIndex for WrongIndex {
        fn set_load_state(&mut self, node: Node, state: Option<LoadState>) {
            let state = if state == Some(LoadState::Refusing) { Some(LoadState::Observed(0)) } else { state };
            self.0.set_load_state(node, state);
        }
        fn least_loaded(&self, view: NodesView<'_>, mean: f64, excluded: &[Node]) -> Option<LeastLoad> {
            self.0.least_loaded(view, mean, excluded)
        }
        fn nth_tie(&self, view: NodesView<'_>, mean: f64, excluded: &[Node], index: usize) -> Option<Node> {
            self.0.nth_tie(view, mean, excluded, index)
        }
        fn rank_candidates(&mut self, view: NodesView<'_>, key: u64, into: &mut Vec<(u64, Node)>) {
            self.0.rank_candidates(view, key, into);
        }
        fn update_listing(&mut self, node: Node, identity: u64, ready: bool) {
            self.0.update_listing(node, identity, ready);
        }
        fn total_load(&self, view: NodesView<'_>, tracked: u64) -> u64 {
            self.0.total_load(view, tracked)
        }
    }
    let (mut wrong, mut linear) =
        (Proxy::<WrongIndex>::new(4, 1, "retriable"), Proxy::<LinearScan>::new(4, 1, "retriable"));
    let mut differ = false;
    for round in 0..40 {
        for step in [Step::Arrive { key: round, work_hint: 0 }, Step::End { which: 0, outcome: 1 }] {
            differ |= wrong.apply(step) != linear.apply(step);
        }
    }
    assert!(differ);
}
