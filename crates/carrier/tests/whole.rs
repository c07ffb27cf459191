//! Explores all states of a small fleet exhaustively: a root, a relay and a proxy, a few versions, and every
//! order of the events that a budget allows. Messages and ends of links arrive at any time, but in order on
//! each link; processes restart with or without their disk; links break; messages are lost; time advances to
//! whatever is due next. From each final state a run without further faults must bring all processes to the
//! last version. States are distinguished by 64-bit hashes.

mod common;

use common::{Applied, HostCall, RecordingHost, Rng, SECOND, false_claim, last_writes, node_config};
use pumicebay_carrier::*;
use rustc_hash::{FxHashSet, FxHasher};
use std::cell::Cell;
use std::collections::{BTreeMap, VecDeque};
use std::hash::{Hash, Hasher};
use std::ops::{Deref, DerefMut};
use std::rc::Rc;

/// The maximum duration of a run without faults until all processes agree.
const FAIR_RUN_LIMIT: Nanos = 30 * SECOND;

/// How often each kind of event may happen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Budget {
    versions: u64,
    /// Restarts of the relay or the proxy, with their disk or an empty one.
    restarts: u8,
    broken_links: u8,
    lost_messages: u8,
    /// How often time advances to whatever is due next although messages may still be under way.
    time_steps: u8,
}

/// A link; `child` and `parent` are indexes of processes.
#[derive(Clone, Hash)]
struct Link {
    child: usize,
    parent: usize,
    /// Messages under way in each direction; `None` is the end of the link.
    up: VecDeque<Option<ChildMessage>>,
    down: VecDeque<Option<ParentMessage>>,
    /// Whether the child's end and the parent's end are open.
    open: [bool; 2],
    /// The part without an answer: the version that the child holds after it if it is the last part.
    part_in_flight: Option<Option<Version>>,
    /// The child and its last summary, as received by the parent.
    summary: Option<(Member, Summary)>,
}

/// A process; its tree node, its disk and the state of its host.
#[derive(Clone, Hash)]
struct Process {
    node: TreeNode,
    disk: Option<Snapshot>,
    applied: Applied,
    applying: Option<(Version, Vec<Resource>)>,
    connecting_to: Option<usize>,
    link: Option<ChildId>,
    incarnation: u64,
}

/// A part of a state that is shared between states until it changes, with its hash once that was computed.
#[derive(Clone)]
struct SharedPart<T>(Rc<(T, Cell<Option<u64>>)>);

impl<T> SharedPart<T> {
    fn new(value: T) -> SharedPart<T> {
        SharedPart(Rc::new((value, Cell::new(None))))
    }
}

impl<T> Deref for SharedPart<T> {
    type Target = T;
    fn deref(&self) -> &T {
        &self.0.0
    }
}

impl<T: Clone> DerefMut for SharedPart<T> {
    fn deref_mut(&mut self) -> &mut T {
        let part = Rc::make_mut(&mut self.0);
        part.1.set(None);
        &mut part.0
    }
}

impl<T: Hash> Hash for SharedPart<T> {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        let hash = self.0.1.get().unwrap_or_else(|| digest(&self.0.0));
        self.0.1.set(Some(hash));
        hash.hash(hasher);
    }
}

/// One state of the explored fleet.
#[derive(Clone, Hash)]
struct State {
    now: Nanos,
    processes: Vec<SharedPart<Process>>,
    links: BTreeMap<ChildId, SharedPart<Link>>,
    next_link: ChildId,
    published: u64,
    budget: Budget,
}

/// An event that can happen next. `Restart` keeps the disk if its flag is set.
#[derive(Clone, Copy, Debug)]
enum Choice {
    DeliverUp(ChildId),
    DeliverDown(ChildId),
    AnswerConnect(usize),
    FinishApply(usize),
    Publish,
    Restart(usize, bool),
    BreakLink(ChildId),
    LoseUp(ChildId),
    LoseDown(ChildId),
    AdvanceTime,
}

const NAMES: [&str; 3] = ["c0", "r0", "p0"];

fn config_of(index: usize, incarnation: u64) -> TreeNodeConfig {
    let control = vec!["c0".to_string()];
    let tiers = [vec![], vec![control.clone()], vec![vec!["r0".to_string()], control]];
    let mut config = node_config(NAMES[index], "s0", index == 0, index == 1, tiers[index].clone());
    config.member.incarnation = incarnation;
    (config.child_bytes_per_second, config.control_bytes_per_second) = (1_000_000, 1_000_000);
    config
}

/// The changes of each version. Version 2 takes two parts and removes a resource; later ones are refused.
fn change(number: u64) -> Vec<Resource> {
    let version = Version { epoch: 1, number };
    let resource = |name: &str, patch: Option<String>| Resource {
        scope: Scope::Fleet,
        name: name.into(),
        version,
        patch: patch.map(Into::into),
    };
    match number {
        1 => vec![resource("a", Some("{}".into())), resource("b", Some("{}".into()))],
        2 => vec![resource("a", Some(format!("{{\"x\":\"{}\"}}", "y".repeat(1_000)))), resource("b", None)],
        _ => vec![resource("a", Some("{\"bad\":1}".into()))],
    }
}

thread_local! {
    /// All changes up to each version, indexed by its number.
    static SETTLED: [BTreeMap<Version, Vec<Resource>>; 4] = std::array::from_fn(|until| {
        (1..=until as u64).map(|number| (Version { epoch: 1, number }, change(number))).collect()
    });
}

/// Calls a function with all changes up to a version number.
fn settled<R>(until: u64, call: impl FnOnce(&BTreeMap<Version, Vec<Resource>>) -> R) -> R {
    SETTLED.with(|settled| call(&settled[until as usize]))
}

fn recording_host() -> RecordingHost {
    RecordingHost { calls: Vec::new(), rng: Rng(5) }
}

impl State {
    fn new(budget: Budget) -> State {
        let mut state = State {
            now: 0,
            processes: Vec::new(),
            links: BTreeMap::new(),
            next_link: 1,
            published: 0,
            budget,
        };
        for index in 0..3 {
            let mut host = recording_host();
            let node = TreeNode::start(0, config_of(index, 1), None, &mut host);
            let process = Process {
                node,
                disk: None,
                applied: Applied::new(),
                applying: None,
                connecting_to: None,
                link: None,
                incarnation: 1,
            };
            state.processes.push(SharedPart::new(process));
        }
        state.with_node(0, |node, now, host| {
            node.set_root(now, Some("c0"), host);
            node.publish(now, Version { epoch: 1, number: 0 }, vec![], host);
        });
        // Lets the processes connect and converge before the exploration.
        state.run_fair();
        state
    }

    fn with_node(&mut self, index: usize, call: impl FnOnce(&mut TreeNode, Nanos, &mut RecordingHost)) {
        let mut host = recording_host();
        let before = self.processes[index].node.version();
        call(&mut self.processes[index].node, self.now, &mut host);
        assert!(self.processes[index].node.version() >= before, "{} went back from {before}", NAMES[index]);
        self.perform(index, host.calls);
    }

    fn perform(&mut self, index: usize, calls: Vec<HostCall>) {
        for call in calls {
            let link = self.processes[index].link;
            match call {
                HostCall::ConnectParent(name) => {
                    self.processes[index].connecting_to = NAMES.iter().position(|other| *other == name)
                }
                HostCall::DisconnectParent => {
                    self.processes[index].connecting_to = None;
                    if let Some(link) = self.processes[index].link.take() {
                        self.close_link(link, 0);
                    }
                }
                HostCall::SendToParent(message) => {
                    if let ChildMessage::Summary(summary) = &message {
                        self.check_summary(index, summary);
                    }
                    if let Some(link) = link.and_then(|link| self.links.get_mut(&link)) {
                        link.up.push_back(Some(message));
                    }
                }
                HostCall::SendToChild(child, message) => {
                    let Some(link) = self.links.get_mut(&child) else { continue };
                    if let ParentMessage::Delta { version, last, .. } = &message {
                        let previous = link.part_in_flight.replace(last.then_some(*version));
                        assert_eq!(previous, None, "a part was sent before the last one was answered");
                    }
                    link.down.push_back(Some(message));
                }
                HostCall::DisconnectChild(child) => self.close_link(child, 1),
                HostCall::Apply(version, resources) => {
                    let previous = self.processes[index].applying.replace((version, resources));
                    assert_eq!(previous, None, "asked to apply resources while others are being applied");
                }
                HostCall::Persist(snapshot) => {
                    let version = snapshot.version;
                    self.processes[index].disk = Some(snapshot);
                    self.with_node(index, |node, now, host| node.persisted(now, version, host));
                }
            }
        }
    }

    fn close_link(&mut self, link: ChildId, side: usize) {
        let Some(link_state) = self.links.get_mut(&link) else { return };
        link_state.open[side] = false;
        if side == 0 {
            link_state.up.push_back(None)
        } else {
            link_state.down.push_back(None)
        }
        if link_state.open == [false, false] {
            self.links.remove(&link);
        }
    }

    fn check_summary(&self, index: usize, summary: &Summary) {
        let process = &self.processes[index];
        let location = config_of(index, 1).location;
        let member = Member { name: NAMES[index].into(), incarnation: process.incarnation };
        if let Some(violation) = settled(self.published, |settled| {
            false_claim(&member, &location, &process.applied, summary, settled)
        }) {
            panic!("{violation}");
        }
        for link in self.links.values().filter(|link| link.parent == index && link.open[1]) {
            let Some((child, below)) = &link.summary else { continue };
            let is_listed = |exception: &Exception| {
                exception.member == *child
                    && matches!(exception.kind, ExceptionKind::Late | ExceptionKind::Lost { .. })
            };
            let correct = summary.in_force <= below.in_force
                || summary.unnamed > 0
                || summary.exceptions.iter().any(is_listed);
            assert!(
                correct,
                "{} claims {}, but its child {} reported {}",
                NAMES[index], summary.in_force, child.name, below.in_force
            );
        }
    }

    /// The events that can happen next: of the links and hosts, and with faults also those that the budget
    /// allows.
    fn choices(&self, with_faults: bool) -> Vec<Choice> {
        let mut choices = Vec::new();
        let budget = self.budget;
        for (&id, link) in &self.links {
            if !link.up.is_empty() {
                choices.push(Choice::DeliverUp(id));
            }
            if !link.down.is_empty() {
                choices.push(Choice::DeliverDown(id));
            }
            if with_faults && budget.broken_links > 0 && link.open == [true, true] {
                choices.push(Choice::BreakLink(id));
            }
            if with_faults && budget.lost_messages > 0 && matches!(link.up.front(), Some(Some(_))) {
                choices.push(Choice::LoseUp(id));
            }
            if with_faults && budget.lost_messages > 0 && matches!(link.down.front(), Some(Some(_))) {
                choices.push(Choice::LoseDown(id));
            }
        }
        for (index, process) in self.processes.iter().enumerate() {
            if process.connecting_to.is_some() {
                choices.push(Choice::AnswerConnect(index));
            }
            if process.applying.is_some() {
                choices.push(Choice::FinishApply(index));
            }
            if with_faults && budget.restarts > 0 && index > 0 {
                choices.push(Choice::Restart(index, true));
                choices.push(Choice::Restart(index, false));
            }
        }
        if with_faults && self.published < budget.versions {
            choices.push(Choice::Publish);
        }
        if with_faults && budget.time_steps > 0 {
            choices.push(Choice::AdvanceTime);
        }
        choices
    }

    fn apply_choice(&mut self, choice: Choice) {
        match choice {
            Choice::DeliverUp(link) => {
                let Some(link_state) = self.links.get_mut(&link) else { return };
                let Some(message) = link_state.up.pop_front() else { return };
                let parent = link_state.parent;
                if !link_state.open[1] {
                    return;
                }
                match &message {
                    None => {
                        link_state.open[1] = false;
                        self.links.remove(&link);
                        return self
                            .with_node(parent, |node, now, host| node.child_disconnected(now, link, host));
                    }
                    Some(ChildMessage::PartAck) => {
                        link_state.part_in_flight = link_state.part_in_flight.filter(|part| part.is_some())
                    }
                    Some(ChildMessage::Holds { version, .. }) => {
                        link_state.part_in_flight = link_state
                            .part_in_flight
                            .filter(|part| part.is_none_or(|until| *version < until));
                    }
                    Some(ChildMessage::Summary(summary)) => {
                        let child = Member {
                            name: NAMES[link_state.child].into(),
                            incarnation: self.processes[link_state.child].incarnation,
                        };
                        link_state.summary = Some((
                            link_state.summary.take().map_or(child, |(child, _)| child),
                            summary.clone(),
                        ));
                    }
                    _ => {}
                }
                if let Some(message) = message {
                    self.with_node(parent, |node, now, host| node.child_message(now, link, message, host));
                }
            }
            Choice::DeliverDown(link) => {
                let Some(link_state) = self.links.get_mut(&link) else { return };
                let Some(message) = link_state.down.pop_front() else { return };
                let child = link_state.child;
                if !link_state.open[0] || self.processes[child].link != Some(link) {
                    return;
                }
                match message {
                    Some(message) => {
                        self.with_node(child, |node, now, host| node.parent_message(now, message, host))
                    }
                    None => {
                        link_state.open[0] = false;
                        if !link_state.open[1] {
                            self.links.remove(&link);
                        }
                        self.processes[child].link = None;
                        self.with_node(child, |node, now, host| node.parent_disconnected(now, host));
                    }
                }
            }
            Choice::AnswerConnect(index) => {
                let Some(parent) = self.processes[index].connecting_to.take() else { return };
                let link = self.next_link;
                self.next_link += 1;
                let new = Link {
                    child: index,
                    parent,
                    up: VecDeque::new(),
                    down: VecDeque::new(),
                    open: [true, true],
                    part_in_flight: None,
                    summary: None,
                };
                self.links.insert(link, SharedPart::new(new));
                self.processes[index].link = Some(link);
                self.with_node(parent, |node, now, host| node.child_connected(now, link, host));
                self.with_node(index, |node, now, host| node.parent_connected(now, host));
            }
            Choice::FinishApply(index) => {
                let Some((version, resources)) = self.processes[index].applying.take() else { return };
                let refused = common::apply(&mut self.processes[index].applied, resources);
                self.with_node(index, |node, now, host| node.applied(now, version, refused, host));
            }
            Choice::Publish => {
                self.published += 1;
                let version = Version { epoch: 1, number: self.published };
                let changes = settled(self.published, |settled| settled[&version].clone());
                self.with_node(0, |node, now, host| node.publish(now, version, changes, host));
            }
            Choice::Restart(index, keep_disk) => {
                self.budget.restarts -= 1;
                let links: Vec<ChildId> = self.links.keys().copied().collect();
                for link in links {
                    let link_state = &self.links[&link];
                    let (child, parent) = (link_state.child, link_state.parent);
                    if child == index {
                        self.close_link(link, 0);
                    } else if parent == index {
                        self.close_link(link, 1);
                    }
                }
                let incarnation = self.processes[index].incarnation + 1;
                let snapshot = self.processes[index].disk.clone().filter(|_| keep_disk);
                let mut host = recording_host();
                let node =
                    TreeNode::start(self.now, config_of(index, incarnation), snapshot.clone(), &mut host);
                let new = Process {
                    node,
                    disk: snapshot,
                    applied: Applied::new(),
                    applying: None,
                    connecting_to: None,
                    link: None,
                    incarnation,
                };
                self.processes[index] = SharedPart::new(new);
                self.perform(index, host.calls);
            }
            Choice::BreakLink(link) => {
                self.budget.broken_links -= 1;
                let Some(link_state) = self.links.get_mut(&link) else { return };
                (link_state.up, link_state.down) = (VecDeque::from([None]), VecDeque::from([None]));
            }
            Choice::LoseUp(link) | Choice::LoseDown(link) => {
                self.budget.lost_messages -= 1;
                let Some(link_state) = self.links.get_mut(&link) else { return };
                if matches!(choice, Choice::LoseUp(_)) {
                    link_state.up.pop_front();
                } else {
                    link_state.down.pop_front();
                }
            }
            Choice::AdvanceTime => {
                self.budget.time_steps = self.budget.time_steps.saturating_sub(1);
                self.advance_time();
            }
        }
    }

    /// Advances time to whatever is due next and runs everything that is due then.
    fn advance_time(&mut self) {
        let due = self.processes.iter().map(|process| process.node.due()).min().unwrap_or(0);
        self.now = self.now.max(due);
        for index in 0..self.processes.len() {
            if self.processes[index].node.due() <= self.now {
                self.with_node(index, |node, now, host| node.tick(now, host));
            }
        }
    }

    fn converged(&self) -> bool {
        let version = Version { epoch: 1, number: self.published };
        let newest = |settled: &_| last_writes(settled, version).into_values().cloned().collect();
        let newest: Vec<Resource> = settled(self.published, newest);
        let has_newest = |process: &SharedPart<Process>| {
            let mut held = process.node.resources().filter(|resource| resource.patch.is_some());
            process.node.version() == version
                && held.all(|resource| newest.contains(resource))
                && newest
                    .iter()
                    .filter(|resource| resource.patch.is_some())
                    .all(|resource| process.node.resources().any(|held| held == resource))
        };
        let summary = self.processes[0].node.summary(self.now);
        let lost = summary
            .exceptions
            .iter()
            .filter(|exception| matches!(exception.kind, ExceptionKind::Lost { .. }))
            .count();
        summary.in_force == version
            && summary.members as usize - lost == 3
            && self.processes.iter().all(has_newest)
    }

    /// Runs without further faults until all processes have converged; panics if that takes too long.
    fn run_fair(&mut self) {
        let until = self.now + FAIR_RUN_LIMIT;
        while self.now < until {
            while let Some(choice) = self.choices(false).first() {
                self.apply_choice(*choice);
            }
            if self.converged() {
                return;
            }
            self.advance_time();
        }
        let versions: Vec<String> =
            self.processes.iter().map(|process| format!("{}", process.node.version())).collect();
        panic!("not converged: {versions:?}, {:?}", self.processes[0].node.summary(self.now));
    }
}

fn digest(value: &impl Hash) -> u64 {
    let mut hasher = FxHasher::default();
    value.hash(&mut hasher);
    hasher.finish()
}

/// The number of reachable states, and how many of them are final.
fn explore(budget: Budget) -> (usize, usize) {
    let mut visited = FxHashSet::default();
    let mut final_states = 0;
    let mut unexplored = vec![State::new(budget)];
    while let Some(state) = unexplored.pop() {
        if !visited.insert(digest(&state)) {
            continue;
        }
        let choices = state.choices(true);
        if choices.is_empty() {
            final_states += 1;
            state.clone().run_fair();
        }
        for choice in choices {
            let mut next = state.clone();
            next.apply_choice(choice);
            unexplored.push(next);
        }
    }
    (visited.len(), final_states)
}

#[test]
fn all_orders_of_events_in_a_small_fleet_converge() {
    let no_faults = Budget { versions: 2, restarts: 0, broken_links: 0, lost_messages: 0, time_steps: 0 };
    let mut budgets = vec![
        no_faults,
        Budget { restarts: 1, ..no_faults },
        Budget { broken_links: 1, ..no_faults },
        Budget { lost_messages: 1, ..no_faults },
        Budget { versions: 3, ..no_faults },
        Budget { versions: 1, restarts: 1, time_steps: 1, ..no_faults },
        Budget { versions: 1, broken_links: 1, time_steps: 1, ..no_faults },
        Budget { versions: 1, lost_messages: 1, time_steps: 1, ..no_faults },
        Budget { versions: 1, restarts: 1, lost_messages: 1, ..no_faults },
    ];
    // With the environment variable DEEP these are replaced by larger budgets, which take minutes more.
    if std::env::var("DEEP").is_ok() {
        budgets = vec![
            Budget { time_steps: 1, ..no_faults },
            Budget { restarts: 1, lost_messages: 1, ..no_faults },
            Budget { restarts: 1, broken_links: 1, ..no_faults },
            Budget { lost_messages: 1, time_steps: 1, ..no_faults },
            Budget { versions: 1, restarts: 1, broken_links: 1, lost_messages: 1, ..no_faults },
            Budget { versions: 1, lost_messages: 1, time_steps: 2, ..no_faults },
        ];
    }
    for budget in budgets {
        let begin = std::time::Instant::now();
        let (states, final_states) = explore(budget);
        println!(
            "{budget:?}: {states} states, {final_states} final states, {} ms",
            begin.elapsed().as_millis()
        );
    }
}
