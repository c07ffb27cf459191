//! The nodes as this proxy knows them, with what is kept as they change so that nothing walks over all of them:
//! who can take a request by load, the sum of loads, who is aside, and when time alone changes any of it.
//! There are no choices here.

use crate::classes::Classes;
use crate::groups::Groups;
use crate::host::{Listed, Nanos, Node, Standing};
use crate::ranks::Bits;
use crate::state::Cache;
use hashbrown::HashSet;
use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap};

/// What a search may look at: the nodes themselves.
#[derive(Clone, Copy)]
pub struct View<'a> {
    pub caches: &'a [Cache],
    pub now: Nanos,
    /// How long a new process takes to warm, and how long reports count.
    pub cold: Nanos,
    pub last: Nanos,
}

/// Where a node stands for a search; none for one that takes nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Place {
    Heard(u64),
    /// Counts as carrying the mean at least.
    Unheard(u64),
    Refuses,
}

/// The least load, and how many nodes carry it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Least {
    pub load: f64,
    pub ties: usize,
}

/// Finds the least loaded of all that take requests. The project's own is [`Indexed`]; tests have one that walks.
pub trait Finder: Default {
    fn put(&mut self, node: Node, place: Option<Place>);
    /// Of all that these do not name.
    fn least(&self, view: View<'_>, mean: f64, not: &[Node]) -> Option<Least>;
    /// The one of that place among the ties: those heard from by number, then the others by load and number.
    fn tie(&self, view: View<'_>, mean: f64, not: &[Node], place: usize) -> Option<Node>;
    /// The first nodes of a key's group, each with its rank for the key.
    fn ranked(&mut self, view: View<'_>, key: u64, into: &mut Vec<(u64, Node)>);
    fn listed(&mut self, node: Node, identity: u64, ready: bool);
    /// The loads of all that serve, given what was counted as they changed.
    fn sum(&self, view: View<'_>, counted: u64) -> u64;
}

#[derive(Clone, Debug, Default)]
pub struct Indexed {
    heard: Classes,
    unheard: Classes,
    refuses: Bits,
    pub groups: Groups,
}

impl Finder for Indexed {
    fn put(&mut self, node: Node, place: Option<Place>) {
        let class = |wanted: fn(Place) -> Option<u64>| place.and_then(wanted);
        self.heard.put(node, class(|place| if let Place::Heard(load) = place { Some(load) } else { None }));
        self.unheard
            .put(node, class(|place| if let Place::Unheard(load) = place { Some(load) } else { None }));
        self.refuses.set(node, place == Some(Place::Refuses));
    }

    fn least(&self, _view: View<'_>, mean: f64, not: &[Node]) -> Option<Least> {
        let least = |load: u64, ties: usize| Least { load: load as f64, ties };
        let mut heard = self.heard.each().map(|(load, set)| least(load, set.without(not)));
        let heard = heard.find(|least| least.ties > 0);
        // All that carry the mean or less count the same.
        let under = self.unheard.each().take_while(|(load, _)| *load as f64 <= mean);
        let under: usize = under.map(|(_, set)| set.without(not)).sum();
        let mut over = self.unheard.each().map(|(load, set)| least(load, set.without(not)));
        let unheard = match under {
            0 => over.find(|least| least.load > mean && least.ties > 0),
            ties => Some(Least { load: mean, ties }),
        };
        match (heard, unheard) {
            (Some(one), Some(other)) if one.load == other.load => {
                Some(Least { ties: one.ties + other.ties, ..one })
            }
            (Some(one), Some(other)) => Some(if one.load < other.load { one } else { other }),
            (Some(one), None) | (None, Some(one)) => Some(one),
            (None, None) => {
                let ties = self.refuses.without(not);
                (ties > 0).then_some(Least { load: f64::MAX, ties })
            }
        }
    }

    fn tie(&self, view: View<'_>, mean: f64, not: &[Node], mut place: usize) -> Option<Node> {
        let Least { load, .. } = self.least(view, mean, not)?;
        if load == f64::MAX {
            return self.refuses.nth(place, not);
        }
        let heard = self.heard.each().filter(|(class, _)| *class as f64 == load);
        let unheard = self.unheard.each().filter(|(class, _)| (*class as f64).max(mean) == load);
        for (_, set) in heard.chain(unheard) {
            match set.nth(place, not) {
                Some(node) => return Some(node),
                None => place -= set.without(not),
            }
        }
        None
    }

    fn ranked(&mut self, _view: View<'_>, key: u64, into: &mut Vec<(u64, Node)>) {
        self.groups.of(key, into);
    }

    fn listed(&mut self, node: Node, identity: u64, ready: bool) {
        self.groups.put(node, identity, ready);
    }

    fn sum(&self, _view: View<'_>, counted: u64) -> u64 {
        counted
    }
}

/// What is counted of one node.
#[derive(Clone, Copy, Debug, Default)]
struct Counted {
    /// Its load, while it serves.
    load: Option<u64>,
    /// When time alone next changes it.
    due: Nanos,
}

#[derive(Debug, Default)]
pub struct Fleet<F: Finder> {
    pub caches: Vec<Cache>,
    pub finder: F,
    counted: Vec<Counted>,
    sum: u64,
    serving: usize,
    aside: BTreeSet<Node>,
    /// Identities that operators took out of service: they outlive all that the list says of a node.
    bans: HashSet<u64>,
    due: BinaryHeap<Reverse<(Nanos, Node)>>,
    now: Nanos,
    cold: Nanos,
    last: Nanos,
}

impl<F: Finder> Fleet<F> {
    /// With how long a new process takes to warm, and how long reports count.
    pub fn new(cold: Nanos, last: Nanos) -> Self {
        Fleet {
            caches: Vec::new(),
            finder: F::default(),
            counted: Vec::new(),
            sum: 0,
            serving: 0,
            aside: BTreeSet::new(),
            bans: HashSet::new(),
            due: BinaryHeap::new(),
            now: 0,
            cold,
            last,
        }
    }

    pub fn view(&self) -> View<'_> {
        let Fleet { caches, now, cold, last, .. } = self;
        View { caches, now: *now, cold: *cold, last: *last }
    }

    /// Time has passed: what grew too old no longer counts.
    pub fn at(&mut self, now: Nanos) {
        self.now = now;
        while let Some(&Reverse((due, node))) = self.due.peek().filter(|Reverse((due, _))| *due <= now) {
            self.due.pop();
            if self.counted[node].due == due {
                self.counted[node].due = 0;
                self.place(node);
            }
        }
    }

    /// Changes a node, new ones come to be; all that is counted of it follows.
    pub fn change<R>(&mut self, node: Node, change: impl FnOnce(&mut Cache) -> R) -> R {
        if node >= self.caches.len() {
            self.caches.resize(node + 1, Cache::default());
            self.counted.resize(node + 1, Counted::default());
        }
        let result = change(&mut self.caches[node]);
        self.place(node);
        result
    }

    pub fn list(&mut self, node: Node, listed: Listed) {
        let banned = self.bans.contains(&listed.identity);
        self.change(node, |cache| (cache.listed, cache.banned) = (listed, banned));
        let ready = self.caches[node].ready() && !listed.origin;
        self.finder.listed(node, listed.identity, ready);
    }

    /// All that these do not name are gone.
    pub fn list_only(&mut self, named: &[Node]) {
        let mut there = Bits::default();
        named.iter().for_each(|&node| _ = there.set(node, true));
        for node in (0..self.caches.len()).filter(|&node| !there.has(node)) {
            self.list(node, Listed { standing: Standing::Gone, ..self.caches[node].listed });
        }
    }

    /// An attempt goes there; a cold node then rests for this proxy until that time.
    pub fn send(&mut self, node: Node, rests: Option<Nanos>) {
        let now = self.now;
        self.change(node, |cache| {
            cache.send(now);
            cache.rests_until = rests.unwrap_or(cache.rests_until);
        });
    }

    /// As one whose process started now, with nothing held against it.
    pub fn renew(&mut self, node: Node) {
        self.list(node, Listed { started: self.now, ..self.caches[node].listed });
        self.change(node, Cache::pardon);
    }

    /// The node's number is free for another.
    pub fn forget(&mut self, node: Node) {
        self.list(node, Listed::default());
        self.change(node, |cache| *cache = Cache::default());
    }

    /// Takes an identity out of service or puts it back: whether that changed anything, and which node has it now.
    pub fn ban(&mut self, identity: u64, out: bool) -> (bool, Option<Node>) {
        let changed = if out { self.bans.insert(identity) } else { self.bans.remove(&identity) };
        let node = self.caches.iter().position(|cache| cache.listed.identity == identity);
        if let Some(node) = node.filter(|_| changed) {
            self.list(node, self.caches[node].listed);
        }
        (changed, node)
    }

    fn place(&mut self, node: Node) {
        let (cache, now) = (&mut self.caches[node], self.now);
        if cache.report.is_some_and(|report| now >= report.at + self.last) {
            cache.report = None;
        }
        let (load, warm) = (cache.whole_load(), cache.warm(now, self.cold));
        let (serves, rests) = (cache.serves(), !warm && now < cache.rests_until);
        let place = match () {
            () if !serves || rests => None,
            () if now < cache.refuses_until => Some(Place::Refuses),
            () if cache.heard => Some(Place::Heard(load)),
            () => Some(Place::Unheard(load)),
        };
        self.finder.put(node, place);
        let counted = &mut self.counted[node];
        self.sum = self.sum - counted.load.unwrap_or(0) + if serves { load } else { 0 };
        self.serving = self.serving - usize::from(counted.load.is_some()) + usize::from(serves);
        counted.load = serves.then_some(load);
        if cache.aside.is_some() {
            self.aside.insert(node);
        } else if !self.aside.is_empty() {
            self.aside.remove(&node);
        }
        let later = [
            cache.report.map(|report| report.at + self.last),
            Some(cache.refuses_until),
            (!warm).then_some(cache.rests_until),
            (!warm).then_some(cache.listed.started.saturating_add(self.cold)),
        ];
        let next = later.into_iter().flatten().filter(|due| *due > now).min();
        if let Some(next) = next
            && (counted.due <= now || next < counted.due)
        {
            counted.due = next;
            self.due.push(Reverse((next, node)));
        }
    }

    /// How many caches serve.
    pub fn serving(&self) -> usize {
        self.serving
    }

    pub fn mean_load(&self) -> f64 {
        self.finder.sum(self.view(), self.sum) as f64 / self.serving.max(1) as f64
    }

    pub fn least(&self, mean: f64, not: &[Node]) -> Option<Least> {
        self.finder.least(self.view(), mean, not)
    }

    pub fn tie(&self, mean: f64, not: &[Node], place: usize) -> Option<Node> {
        self.finder.tie(self.view(), mean, not, place)
    }

    /// The first nodes of a key's group, each with its rank for the key.
    pub fn ranked(&mut self, key: u64, into: &mut Vec<(u64, Node)>) {
        into.clear();
        let Fleet { finder, caches, now, cold, last, .. } = self;
        finder.ranked(View { caches, now: *now, cold: *cold, last: *last }, key, into);
    }

    /// Those that are set aside.
    pub fn aside(&self) -> impl Iterator<Item = Node> + '_ {
        self.aside.iter().copied()
    }
}
