//! The index against a plain walk over all nodes: two proxies get the same events and must act alike, to the
//! letter. The walk keeps nothing and looks at every node each time.

use proptest::prelude::*;
use pumicebay_core::fleet::{Finder, Indexed, Least, Place, View};
use pumicebay_core::groups::{SPAN, group, rank};
use pumicebay_core::settings::Value;
use pumicebay_core::state::Cache;
use pumicebay_core::table::rendezvous;
use pumicebay_core::{Ask, Balance, Held, Host, Listed, Nanos, Node, Outcome, RequestId, Settings, Standing};

const MS: Nanos = 1_000_000;
const SECOND: Nanos = 1000 * MS;
const ORIGIN: Node = 0;

#[derive(Default)]
struct Walk;

/// What the node has in flight, by its own word or by this proxy's sends.
fn load(view: View<'_>, cache: &Cache) -> u64 {
    let own = cache.flow.in_flight;
    match cache.report.filter(|report| view.now < report.at + view.last) {
        Some(report) => (report.in_flight + own).saturating_sub(report.own).max(own) as u64,
        None => own as u64,
    }
}

impl Walk {
    /// Every node that takes a request, with the load it counts as, and where it stands among its ties.
    fn takers(view: View<'_>, mean: f64, not: &[Node]) -> Vec<(f64, (bool, u64), Node)> {
        let mut all = Vec::new();
        for (node, cache) in view.caches.iter().enumerate() {
            let warm = cache.warm(view.now, view.cold);
            if !cache.serves() || !warm && view.now < cache.rests_until || not.contains(&node) {
                continue;
            }
            let load = load(view, cache);
            all.push(match () {
                () if view.now < cache.refuses_until => (f64::MAX, (false, 0), node),
                () if cache.heard => (load as f64, (false, 0), node),
                () => ((load as f64).max(mean), (true, load), node),
            });
        }
        all.sort_by(|one, other| {
            one.0.total_cmp(&other.0).then(one.1.cmp(&other.1)).then(one.2.cmp(&other.2))
        });
        all
    }
}

impl Finder for Walk {
    fn put(&mut self, _node: Node, _place: Option<Place>) {}

    fn least(&self, view: View<'_>, mean: f64, not: &[Node]) -> Option<Least> {
        let all = Walk::takers(view, mean, not);
        let load = all.first()?.0;
        Some(Least { load, ties: all.iter().filter(|taker| taker.0 == load).count() })
    }

    fn tie(&self, view: View<'_>, mean: f64, not: &[Node], place: usize) -> Option<Node> {
        Walk::takers(view, mean, not).get(place).map(|taker| taker.2)
    }

    fn ranked(&mut self, view: View<'_>, key: u64, into: &mut Vec<(u64, Node)>) {
        let ready = view.caches.iter().enumerate().filter(|(_, cache)| cache.ready() && !cache.listed.origin);
        let identity = |node: Node| view.caches[node].listed.identity;
        let mut ranked: Vec<(u64, Node)> =
            ready.map(|(node, _)| (rank(group(key), identity(node)), node)).collect();
        if ranked.len() > SPAN {
            ranked.sort_unstable_by(|one, other| other.cmp(one));
            ranked.truncate(SPAN);
        }
        into.extend(ranked.into_iter().map(|(_, node)| (rendezvous(key, identity(node)), node)));
    }

    fn listed(&mut self, _node: Node, _identity: u64, _ready: bool) {}

    fn sum(&self, view: View<'_>, _counted: u64) -> u64 {
        view.caches.iter().filter(|cache| cache.serves()).map(|cache| load(view, cache)).sum()
    }
}

/// Writes down all acts, and keeps the attempts that are out.
#[derive(Default)]
struct Notes {
    acts: Vec<String>,
    out: Vec<(RequestId, usize, Node)>,
    attempts: std::collections::BTreeMap<RequestId, usize>,
    wakes: Vec<(Nanos, u64)>,
}

impl Host for Notes {
    fn send(&mut self, id: RequestId, node: Node, timeout: Nanos) {
        let attempts = self.attempts.entry(id).or_default();
        self.out.push((id, *attempts, node));
        *attempts += 1;
        self.acts.push(format!("{id} to {node} within {timeout}"));
    }
    fn shed(&mut self, id: RequestId, pause: Nanos) {
        self.acts.push(format!("{id} shed {pause}"));
    }
    fn error(&mut self, id: RequestId) {
        self.acts.push(format!("{id} error"));
    }
    fn forget(&mut self, id: RequestId) {
        self.acts.push(format!("{id} forgotten"));
    }
    fn wake(&mut self, at: Nanos, token: u64) {
        self.wakes.push((at, token));
    }
    fn probe(&mut self, node: Node) {
        self.acts.push(format!("probe {node}"));
    }
    fn dismiss(&mut self, node: Node) {
        self.acts.push(format!("dismiss {node}"));
    }
    fn follow(&mut self) {}
    fn log(&mut self, line: &str) {
        self.acts.push(line.to_string());
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

/// An event, with figures that mean what it makes of them.
#[derive(Clone, Copy, Debug)]
enum Step {
    Arrive { key: u64, hint: u64 },
    Ends { which: usize, outcome: u8 },
    List { node: usize, standing: u8, fresh: bool },
    Reports { node: usize, load: u64 },
    Passes { ms: u64 },
}

fn step() -> impl Strategy<Value = Step> {
    let key = prop_oneof![3 => 0u64..4, 1 => any::<u64>()];
    prop_oneof![
        8 => (key.clone(), prop_oneof![9 => Just(0u64), 1 => 1u64..5000])
            .prop_map(|(key, hint)| Step::Arrive { key, hint }),
        8 => (any::<usize>(), 0u8..12).prop_map(|(which, outcome)| Step::Ends { which, outcome }),
        2 => (any::<usize>(), 0u8..4, any::<bool>())
            .prop_map(|(node, standing, fresh)| Step::List { node, standing, fresh }),
        1 => (any::<usize>(), 0u64..9).prop_map(|(node, load)| Step::Reports { node, load }),
        4 => prop_oneof![4 => 1u64..60, 1 => 60u64..4000].prop_map(|ms| Step::Passes { ms }),
    ]
}

fn listed(node: Node, standing: Standing, started: Nanos) -> Listed {
    let identity = rendezvous(node as u64, 99);
    Listed { identity, zone: node % 3, origin: node == ORIGIN, standing, started, ..Listed::default() }
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

struct Proxy<F: Finder> {
    balance: Balance<Notes, F>,
    now: Nanos,
    last: RequestId,
    nodes: usize,
}

impl<F: Finder> Proxy<F> {
    fn new(nodes: usize, proxies: u64, repeat: &str) -> Self {
        let now = 100 * SECOND;
        let mut balance = Balance::with_finder(Notes::default(), settings(proxies, repeat), 5, now);
        for node in 0..=nodes {
            balance.listed(now, node, listed(node, Standing::Ready, 0));
        }
        balance.listed_all(&(0..=nodes).collect::<Vec<_>>());
        Proxy { balance, now, last: 0, nodes }
    }

    fn take(&mut self, step: Step) -> Vec<String> {
        let (now, count) = (self.now, self.nodes);
        let cache = |node: usize| 1 + node % count;
        match step {
            Step::Arrive { key, hint } => {
                self.last += 1;
                let hint = (hint > 0).then_some(hint * MS);
                let ask = Ask { key: Some(key), hint, grace: 2 * SECOND, ..Ask::default() };
                self.balance.arrived(now, self.last, ask);
            }
            Step::Ends { which, outcome: draw } if !self.balance.host.out.is_empty() => {
                let place = which % self.balance.host.out.len();
                let (id, attempt, node) = self.balance.host.out.swap_remove(place);
                let outcome = match outcome(draw) {
                    Outcome::Missed if node == ORIGIN => Outcome::Completed,
                    outcome => outcome,
                };
                self.balance.ended(now, id, attempt, outcome, outcome == Outcome::Completed);
            }
            Step::Ends { .. } => {}
            Step::List { node, standing, fresh } => {
                let chosen = match standing {
                    0 | 1 => Standing::Ready,
                    2 => Standing::Draining,
                    _ => Standing::Gone,
                };
                let started = if fresh { now } else { 0 };
                self.balance.listed(now, cache(node), listed(cache(node), chosen, started));
            }
            Step::Reports { node, load } => {
                self.balance.reported(now, cache(node), Held::InFlight(load as f64))
            }
            Step::Passes { ms } => self.pass(ms * MS),
        }
        std::mem::take(&mut self.balance.host.acts)
    }

    /// Time passes, with all wake-ups at their time and every probe answered.
    fn pass(&mut self, span: Nanos) {
        let until = self.now + span;
        loop {
            let wakes = &mut self.balance.host.wakes;
            let Some(place) = (0..wakes.len()).min_by_key(|&place| wakes[place]) else { break };
            if wakes[place].0 > until {
                break;
            }
            let (at, token) = wakes.swap_remove(place);
            self.now = self.now.max(at);
            self.balance.woke(self.now, token);
            let acts = self.balance.host.acts.clone();
            for act in acts.iter().rev().take_while(|act| act.starts_with("probe ")) {
                let node = act["probe ".len()..].parse().expect("a node");
                self.balance.probed(node, Outcome::Completed);
            }
        }
        self.now = until;
    }
}

fn alike(nodes: usize, proxies: u64, repeat: &str, steps: &[Step]) -> Result<(), TestCaseError> {
    let mut indexed = Proxy::<Indexed>::new(nodes, proxies, repeat);
    let mut plain = Proxy::<Walk>::new(nodes, proxies, repeat);
    for (place, step) in steps.iter().enumerate() {
        let (one, other) = (indexed.take(*step), plain.take(*step));
        prop_assert_eq!(one, other, "at step {}: {:?}", place, step);
    }
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 96, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn the_index_acts_as_the_walk(
        nodes in prop_oneof![1usize..12, 12usize..300],
        proxies in prop_oneof![Just(1u64), Just(9), Just(100)],
        repeat in prop_oneof![Just("retriable"), Just("deduped"), Just("non_retriable")],
        steps in prop::collection::vec(step(), 1..250),
    ) {
        alike(nodes, proxies, repeat, &steps)?;
    }

    /// Many nodes come and go, so that groups lose and gain members.
    #[test]
    fn groups_follow_from_the_list_alone(
        nodes in 130usize..300,
        flips in prop::collection::vec((any::<usize>(), any::<bool>(), 0u64..6), 1..400),
    ) {
        let (mut indexed, mut plain) = (Proxy::<Indexed>::new(nodes, 1, "retriable"), Proxy::<Walk>::new(nodes, 1, "retriable"));
        for (node, ready, key) in flips {
            let node = 1 + node % nodes;
            let standing = if ready { Standing::Ready } else { Standing::Gone };
            let (now, listed) = (indexed.now, listed(node, standing, 0));
            indexed.balance.listed(now, node, listed);
            plain.balance.listed(now, node, listed);
            let step = Step::Arrive { key: rendezvous(key, 7), hint: 0 };
            prop_assert_eq!(indexed.take(step), plain.take(step));
        }
    }
}

/// A finder that forgets who refuses is told from the walk: the comparison can fail.
#[test]
fn a_wrong_index_is_found() {
    #[derive(Default)]
    struct Wrong(Indexed);
    impl Finder for Wrong {
        fn put(&mut self, node: Node, place: Option<Place>) {
            let place = if place == Some(Place::Refuses) { Some(Place::Heard(0)) } else { place };
            self.0.put(node, place);
        }
        fn least(&self, view: View<'_>, mean: f64, not: &[Node]) -> Option<Least> {
            self.0.least(view, mean, not)
        }
        fn tie(&self, view: View<'_>, mean: f64, not: &[Node], place: usize) -> Option<Node> {
            self.0.tie(view, mean, not, place)
        }
        fn ranked(&mut self, view: View<'_>, key: u64, into: &mut Vec<(u64, Node)>) {
            self.0.ranked(view, key, into);
        }
        fn listed(&mut self, node: Node, identity: u64, ready: bool) {
            self.0.listed(node, identity, ready);
        }
        fn sum(&self, view: View<'_>, counted: u64) -> u64 {
            self.0.sum(view, counted)
        }
    }
    let (mut wrong, mut plain) =
        (Proxy::<Wrong>::new(4, 1, "retriable"), Proxy::<Walk>::new(4, 1, "retriable"));
    let mut differ = false;
    for round in 0..40 {
        for step in [Step::Arrive { key: round, hint: 0 }, Step::Ends { which: 0, outcome: 1 }] {
            differ |= wrong.take(step) != plain.take(step);
        }
    }
    assert!(differ);
}
