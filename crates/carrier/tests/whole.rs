//! A bounded world explored whole: a root, a relay and a leaf, a few versions, and in every order what may happen to them
//! within a budget: messages and ends of links come when they come, but in order on each link; processes start again with their
//! disk or without; links break; messages are lost; time passes to whatever is due next. From each end a fair run must
//! bring all to the last version. States are told apart by 64-bit hashes.

mod common;

use common::{Act, Acts, Applied, Chance, SECOND, claims, terms, written};
use pumicebay_carrier::*;
use rustc_hash::{FxHashSet, FxHasher};
use std::cell::Cell;
use std::collections::{BTreeMap, VecDeque};
use std::hash::{Hash, Hasher};
use std::ops::{Deref, DerefMut};
use std::rc::Rc;

/// How long a fair run may take until all agree.
const FAIR: Nanos = 30 * SECOND;

/// How often each thing may happen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Budget {
    versions: u64,
    /// Restarts of the relay or the leaf, with their disk or an empty one.
    restarts: u8,
    cuts: u8,
    losses: u8,
    /// Steps of time, to what is due next, while messages may be on their way.
    steps: u8,
}

#[derive(Clone, Hash)]
struct Link {
    child: usize,
    parent: usize,
    /// On their way; `None` is the end.
    up: VecDeque<Option<Up>>,
    down: VecDeque<Option<Down>>,
    ends: [bool; 2],
    part: Option<Option<Version>>,
    sum: Option<(Member, Sum)>,
}

#[derive(Clone, Hash)]
struct Process {
    node: Node,
    disk: Option<Kept>,
    applied: Applied,
    putting: Option<(Version, Vec<Resource>)>,
    calls: Option<usize>,
    link: Option<Child>,
    life: u64,
}

/// Shared between states until it changes, with its hash once that was asked for.
#[derive(Clone)]
struct Part<T>(Rc<(T, Cell<Option<u64>>)>);

impl<T> Part<T> {
    fn new(what: T) -> Part<T> {
        Part(Rc::new((what, Cell::new(None))))
    }
}

impl<T> Deref for Part<T> {
    type Target = T;
    fn deref(&self) -> &T {
        &self.0.0
    }
}

impl<T: Clone> DerefMut for Part<T> {
    fn deref_mut(&mut self) -> &mut T {
        let part = Rc::make_mut(&mut self.0);
        part.1.set(None);
        &mut part.0
    }
}

impl<T: Hash> Hash for Part<T> {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        let hash = self.0.1.get().unwrap_or_else(|| digest(&self.0.0));
        self.0.1.set(Some(hash));
        hash.hash(hasher);
    }
}

#[derive(Clone, Hash)]
struct State {
    now: Nanos,
    processes: Vec<Part<Process>>,
    links: BTreeMap<Child, Part<Link>>,
    next: Child,
    published: u64,
    budget: Budget,
}

#[derive(Clone, Copy, Debug)]
enum Choice {
    Up(Child),
    Down(Child),
    Answer(usize),
    Force(usize),
    Publish,
    Restart(usize, bool),
    Cut(Child),
    LoseUp(Child),
    LoseDown(Child),
    Time,
}

const NAMES: [&str; 3] = ["c0", "r0", "p0"];

fn which(at: usize, life: u64) -> Terms {
    let control = vec!["c0".to_string()];
    let tiers = [vec![], vec![control.clone()], vec![vec!["r0".to_string()], control]];
    let mut terms = terms(NAMES[at], "s0", at == 0, at == 1, tiers[at].clone());
    terms.me.incarnation = life;
    (terms.child_bytes_per_second, terms.control_bytes_per_second) = (1_000_000, 1_000_000);
    terms
}

/// What each version changes: one is refused, one takes two parts and removes something.
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
    /// All changes up to a version, by that.
    static SETTLED: [BTreeMap<Version, Vec<Resource>>; 4] = std::array::from_fn(|until| {
        (1..=until as u64).map(|number| (Version { epoch: 1, number }, change(number))).collect()
    });
}

fn settled<R>(until: u64, how: impl FnOnce(&BTreeMap<Version, Vec<Resource>>) -> R) -> R {
    SETTLED.with(|settled| how(&settled[until as usize]))
}

fn acts() -> Acts {
    Acts { acts: Vec::new(), chance: Chance(5) }
}

impl State {
    fn new(budget: Budget) -> State {
        let mut state =
            State { now: 0, processes: Vec::new(), links: BTreeMap::new(), next: 1, published: 0, budget };
        for at in 0..3 {
            let mut host = acts();
            let node = Node::start(0, which(at, 1), None, &mut host);
            let process = Process {
                node,
                disk: None,
                applied: Applied::new(),
                putting: None,
                calls: None,
                link: None,
                life: 1,
            };
            state.processes.push(Part::new(process));
        }
        state.with(0, |node, now, host| {
            node.root_is(now, Some("c0"), host);
            node.publish(now, Version { epoch: 1, number: 0 }, vec![], host);
        });
        // They have found each other.
        state.fair();
        state
    }

    fn with(&mut self, at: usize, how: impl FnOnce(&mut Node, Nanos, &mut Acts)) {
        let mut host = acts();
        let before = self.processes[at].node.holds();
        how(&mut self.processes[at].node, self.now, &mut host);
        assert!(self.processes[at].node.holds() >= before, "{} went back from {before}", NAMES[at]);
        self.act(at, host.acts);
    }

    fn act(&mut self, at: usize, acts: Vec<Act>) {
        for act in acts {
            let link = self.processes[at].link;
            match act {
                Act::Dial(name) => self.processes[at].calls = NAMES.iter().position(|other| *other == name),
                Act::HangUp => {
                    self.processes[at].calls = None;
                    if let Some(link) = self.processes[at].link.take() {
                        self.end(link, 0);
                    }
                }
                Act::Up(message) => {
                    if let Up::Sum(sum) = &message {
                        self.check(at, sum);
                    }
                    if let Some(link) = link.and_then(|link| self.links.get_mut(&link)) {
                        link.up.push_back(Some(message));
                    }
                }
                Act::Down(child, message) => {
                    let Some(link) = self.links.get_mut(&child) else { continue };
                    if let Down::Delta { version, last, .. } = &message {
                        let before = link.part.replace(last.then_some(*version));
                        assert_eq!(before, None, "a second part on its way");
                    }
                    link.down.push_back(Some(message));
                }
                Act::Drop(child) => self.end(child, 1),
                Act::Put(version, resources) => {
                    let before = self.processes[at].putting.replace((version, resources));
                    assert_eq!(before, None, "asked to put in force while that is done");
                }
                Act::Keep(kept) => {
                    let version = kept.version;
                    self.processes[at].disk = Some(kept);
                    self.with(at, |node, now, host| node.kept(now, version, host));
                }
            }
        }
    }

    fn end(&mut self, link: Child, side: usize) {
        let Some(one) = self.links.get_mut(&link) else { return };
        one.ends[side] = false;
        if side == 0 {
            one.up.push_back(None)
        } else {
            one.down.push_back(None)
        }
        if one.ends == [false, false] {
            self.links.remove(&link);
        }
    }

    fn check(&self, at: usize, sum: &Sum) {
        let process = &self.processes[at];
        let place = which(at, 1).place;
        let me = Member { name: NAMES[at].into(), incarnation: process.life };
        if let Some(wrong) =
            settled(self.published, |settled| claims(&me, &place, &process.applied, sum, settled))
        {
            panic!("{wrong}");
        }
        for link in self.links.values().filter(|link| link.parent == at && link.ends[1]) {
            let Some((who, below)) = &link.sum else { continue };
            let late = |one: &Exception| one.who == *who && matches!(one.why, Why::Late | Why::Lost { .. });
            let right = sum.in_force <= below.in_force || sum.unnamed > 0 || sum.exceptions.iter().any(late);
            assert!(right, "{} claims {}, {} said {}", NAMES[at], sum.in_force, who.name, below.in_force);
        }
    }

    /// What the links and hosts may do; and with a budget, what more may happen.
    fn choices(&self, all: bool) -> Vec<Choice> {
        let mut choices = Vec::new();
        let b = self.budget;
        for (&at, link) in &self.links {
            if !link.up.is_empty() {
                choices.push(Choice::Up(at));
            }
            if !link.down.is_empty() {
                choices.push(Choice::Down(at));
            }
            if all && b.cuts > 0 && link.ends == [true, true] {
                choices.push(Choice::Cut(at));
            }
            if all && b.losses > 0 && matches!(link.up.front(), Some(Some(_))) {
                choices.push(Choice::LoseUp(at));
            }
            if all && b.losses > 0 && matches!(link.down.front(), Some(Some(_))) {
                choices.push(Choice::LoseDown(at));
            }
        }
        for (at, process) in self.processes.iter().enumerate() {
            if process.calls.is_some() {
                choices.push(Choice::Answer(at));
            }
            if process.putting.is_some() {
                choices.push(Choice::Force(at));
            }
            if all && b.restarts > 0 && at > 0 {
                choices.push(Choice::Restart(at, true));
                choices.push(Choice::Restart(at, false));
            }
        }
        if all && self.published < b.versions {
            choices.push(Choice::Publish);
        }
        if all && b.steps > 0 {
            choices.push(Choice::Time);
        }
        choices
    }

    fn choose(&mut self, choice: Choice) {
        match choice {
            Choice::Up(link) => {
                let Some(one) = self.links.get_mut(&link) else { return };
                let Some(message) = one.up.pop_front() else { return };
                let parent = one.parent;
                if !one.ends[1] {
                    return;
                }
                match &message {
                    None => {
                        one.ends[1] = false;
                        self.links.remove(&link);
                        return self.with(parent, |node, now, host| node.child_lost(now, link, host));
                    }
                    Some(Up::Took) => one.part = one.part.filter(|part| part.is_some()),
                    Some(Up::Holds { version, .. }) => {
                        one.part = one.part.filter(|part| part.is_none_or(|until| *version < until));
                    }
                    Some(Up::Sum(sum)) => {
                        let who = Member {
                            name: NAMES[one.child].into(),
                            incarnation: self.processes[one.child].life,
                        };
                        one.sum = Some((one.sum.take().map_or(who, |(who, _)| who), sum.clone()));
                    }
                    _ => {}
                }
                if let Some(message) = message {
                    self.with(parent, |node, now, host| node.child_said(now, link, message, host));
                }
            }
            Choice::Down(link) => {
                let Some(one) = self.links.get_mut(&link) else { return };
                let Some(message) = one.down.pop_front() else { return };
                let child = one.child;
                if !one.ends[0] || self.processes[child].link != Some(link) {
                    return;
                }
                match message {
                    Some(message) => self.with(child, |node, now, host| node.told(now, message, host)),
                    None => {
                        one.ends[0] = false;
                        if !one.ends[1] {
                            self.links.remove(&link);
                        }
                        self.processes[child].link = None;
                        self.with(child, |node, now, host| node.parent_lost(now, host));
                    }
                }
            }
            Choice::Answer(at) => {
                let Some(parent) = self.processes[at].calls.take() else { return };
                let link = self.next;
                self.next += 1;
                let new = Link {
                    child: at,
                    parent,
                    up: VecDeque::new(),
                    down: VecDeque::new(),
                    ends: [true, true],
                    part: None,
                    sum: None,
                };
                self.links.insert(link, Part::new(new));
                self.processes[at].link = Some(link);
                self.with(parent, |node, now, host| node.child_up(now, link, host));
                self.with(at, |node, now, host| node.parent_up(now, host));
            }
            Choice::Force(at) => {
                let Some((version, resources)) = self.processes[at].putting.take() else { return };
                let refused = common::apply(&mut self.processes[at].applied, resources);
                self.with(at, |node, now, host| node.in_force(now, version, refused, host));
            }
            Choice::Publish => {
                self.published += 1;
                let version = Version { epoch: 1, number: self.published };
                let changes = settled(self.published, |settled| settled[&version].clone());
                self.with(0, |node, now, host| node.publish(now, version, changes, host));
            }
            Choice::Restart(at, disk) => {
                self.budget.restarts -= 1;
                let links: Vec<Child> = self.links.keys().copied().collect();
                for link in links {
                    let one = &self.links[&link];
                    let (child, parent) = (one.child, one.parent);
                    if child == at {
                        self.end(link, 0);
                    } else if parent == at {
                        self.end(link, 1);
                    }
                }
                let life = self.processes[at].life + 1;
                let kept = self.processes[at].disk.clone().filter(|_| disk);
                let mut host = acts();
                let node = Node::start(self.now, which(at, life), kept.clone(), &mut host);
                let new = Process {
                    node,
                    disk: kept,
                    applied: Applied::new(),
                    putting: None,
                    calls: None,
                    link: None,
                    life,
                };
                self.processes[at] = Part::new(new);
                self.act(at, host.acts);
            }
            Choice::Cut(link) => {
                self.budget.cuts -= 1;
                let Some(one) = self.links.get_mut(&link) else { return };
                (one.up, one.down) = (VecDeque::from([None]), VecDeque::from([None]));
            }
            Choice::LoseUp(link) | Choice::LoseDown(link) => {
                self.budget.losses -= 1;
                let Some(one) = self.links.get_mut(&link) else { return };
                if matches!(choice, Choice::LoseUp(_)) {
                    one.up.pop_front();
                } else {
                    one.down.pop_front();
                }
            }
            Choice::Time => {
                self.budget.steps = self.budget.steps.saturating_sub(1);
                self.pass();
            }
        }
    }

    /// To what is due next, all of it.
    fn pass(&mut self) {
        let due = self.processes.iter().map(|process| process.node.due()).min().unwrap_or(0);
        self.now = self.now.max(due);
        for at in 0..self.processes.len() {
            if self.processes[at].node.due() <= self.now {
                self.with(at, |node, now, host| node.tick(now, host));
            }
        }
    }

    fn agreed(&self) -> bool {
        let version = Version { epoch: 1, number: self.published };
        let newest = |settled: &_| written(settled, version).into_values().cloned().collect();
        let newest: Vec<Resource> = settled(self.published, newest);
        let there = |process: &Part<Process>| {
            let mut held = process.node.resources().filter(|one| one.patch.is_some());
            process.node.holds() == version
                && held.all(|one| newest.contains(one))
                && newest
                    .iter()
                    .filter(|one| one.patch.is_some())
                    .all(|one| process.node.resources().any(|held| held == one))
        };
        let sum = self.processes[0].node.sum(self.now);
        let lost = sum.exceptions.iter().filter(|one| matches!(one.why, Why::Lost { .. })).count();
        sum.in_force == version && sum.members as usize - lost == 3 && self.processes.iter().all(there)
    }

    /// Nothing more goes wrong, and everything gets there.
    fn fair(&mut self) {
        let until = self.now + FAIR;
        while self.now < until {
            while let Some(choice) = self.choices(false).first() {
                self.choose(*choice);
            }
            if self.agreed() {
                return;
            }
            self.pass();
        }
        let all: Vec<String> =
            self.processes.iter().map(|process| format!("{}", process.node.holds())).collect();
        panic!("not agreed: {all:?}, {:?}", self.processes[0].node.sum(self.now));
    }
}

fn digest(what: &impl Hash) -> u64 {
    let mut hasher = FxHasher::default();
    what.hash(&mut hasher);
    hasher.finish()
}

/// All states, and how many of them are ends.
fn explore(budget: Budget) -> (usize, usize) {
    let mut seen = FxHashSet::default();
    let mut ends = 0;
    let mut open = vec![State::new(budget)];
    while let Some(state) = open.pop() {
        if !seen.insert(digest(&state)) {
            continue;
        }
        let choices = state.choices(true);
        if choices.is_empty() {
            ends += 1;
            state.clone().fair();
        }
        for choice in choices {
            let mut next = state.clone();
            next.choose(choice);
            open.push(next);
        }
    }
    (seen.len(), ends)
}

#[test]
fn all_orders_of_a_bounded_world() {
    let none = Budget { versions: 2, restarts: 0, cuts: 0, losses: 0, steps: 0 };
    let mut budgets = vec![
        none,
        Budget { restarts: 1, ..none },
        Budget { cuts: 1, ..none },
        Budget { losses: 1, ..none },
        Budget { versions: 3, ..none },
        Budget { versions: 1, restarts: 1, steps: 1, ..none },
        Budget { versions: 1, cuts: 1, steps: 1, ..none },
        Budget { versions: 1, losses: 1, steps: 1, ..none },
        Budget { versions: 1, restarts: 1, losses: 1, ..none },
    ];
    // Minutes more, with DEEP in the environment.
    if std::env::var("DEEP").is_ok() {
        budgets = vec![
            Budget { steps: 1, ..none },
            Budget { restarts: 1, losses: 1, ..none },
            Budget { restarts: 1, cuts: 1, ..none },
            Budget { losses: 1, steps: 1, ..none },
            Budget { versions: 1, restarts: 1, cuts: 1, losses: 1, ..none },
            Budget { versions: 1, losses: 1, steps: 2, ..none },
        ];
    }
    for budget in budgets {
        let begin = std::time::Instant::now();
        let (states, ends) = explore(budget);
        println!("{budget:?}: {states} states, {ends} ends, {} ms", begin.elapsed().as_millis());
    }
}
