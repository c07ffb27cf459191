//! Which nodes a key's group ranks highest, kept for as long as the list of nodes allows, so that a key finds its
//! two highest rendezvous hashes among so many and not among all.
//!
//! A group's nodes are the first `SPAN` ready ones by rendezvous hash of the group: all of a smaller fleet. They
//! follow from the list alone, not from what happened before, so that all proxies agree.

use crate::host::Node;
use crate::ranks::Bits;
use crate::table::rendezvous;
use hashbrown::HashMap;
use smallvec::SmallVec;
use std::collections::VecDeque;

/// Nodes of a group, and how many more are remembered for those that leave.
pub const SPAN: usize = 128;
const MORE: usize = 64;
pub const GROUPS: u64 = 2048;
/// Nodes that became ready lately: a group that has missed more ranks all anew.
const LATELY: usize = 1024;

#[derive(Clone, Debug, Default)]
pub struct Groups {
    groups: HashMap<u64, Group>,
    identities: Vec<u64>,
    ready: Bits,
    /// The nodes that became ready, and how many had before them.
    lately: VecDeque<(Node, u64)>,
    joined: u64,
    scratch: Vec<(u64, Node)>,
}

#[derive(Clone, Debug, Default)]
struct Group {
    /// By falling rank, with the identity they had. No ready node that is missing ranks above any of them.
    nodes: Vec<(u32, u32)>,
    /// How many had become ready when it was last brought up to date.
    seen: u64,
    /// Whether no node is missing.
    whole: bool,
}

/// The group of a key.
pub fn group(key: u64) -> u64 {
    rendezvous(key, 0x6772_6f75_7073) % GROUPS
}

pub fn rank(group: u64, identity: u64) -> u64 {
    rendezvous(group.wrapping_add(1), identity)
}

/// The two that rank highest of those that `takes` admits, asked by falling rank; leaves the rest in any order.
pub fn two_highest(ranked: &mut Vec<(u64, Node)>, takes: impl Fn(Node) -> bool) -> SmallVec<[Node; 2]> {
    let mut two = SmallVec::new();
    while two.len() < 2 && !ranked.is_empty() {
        // Both at once, as they are mostly admitted.
        let (mut first, mut second) = (0, usize::MAX);
        for place in 1..ranked.len() {
            if ranked[place] > ranked[first] {
                (first, second) = (place, first);
            } else if second == usize::MAX || ranked[place] > ranked[second] {
                second = place;
            }
        }
        let places = [first, second].into_iter().filter(|&place| place != usize::MAX);
        let nodes: SmallVec<[Node; 2]> = places.clone().map(|place| ranked[place].1).collect();
        for node in nodes {
            if two.len() < 2 && takes(node) {
                two.push(node);
            }
        }
        let mut places: SmallVec<[usize; 2]> = places.collect();
        places.sort_unstable();
        places.into_iter().rev().for_each(|place| _ = ranked.swap_remove(place));
    }
    two
}

/// Tells apart the nodes that have had one number, one after another.
fn short(identity: u64) -> u32 {
    (identity ^ identity >> 32) as u32
}

impl Groups {
    pub fn put(&mut self, node: Node, identity: u64, ready: bool) {
        if node >= self.identities.len() {
            self.identities.resize(node + 1, 0);
        }
        let other = std::mem::replace(&mut self.identities[node], identity) != identity;
        let changed = self.ready.set(node, ready);
        if ready && (changed || other) {
            if self.lately.len() == LATELY {
                self.lately.pop_front();
            }
            self.lately.push_back((node, identity));
            self.joined += 1;
        }
    }

    /// Adds the nodes of the key's group, each with its rank for the key.
    pub fn of(&mut self, key: u64, into: &mut Vec<(u64, Node)>) {
        let ranked = |node: Node| (rendezvous(key, self.identities[node]), node);
        if self.ready.len() <= SPAN {
            return into.extend(self.ready.iter().map(ranked));
        }
        let number = group(key);
        self.refresh(number);
        if let Some(group) = self.groups.get(&number) {
            let there = group.nodes.iter().filter(|entry| self.there(entry)).take(SPAN);
            into.extend(
                there.map(|&(node, _)| (rendezvous(key, self.identities[node as Node]), node as Node)),
            );
        }
    }

    /// Still ready, and the same node.
    fn there(&self, &(node, identity): &(u32, u32)) -> bool {
        self.ready.has(node as Node) && short(self.identities[node as Node]) == identity
    }

    fn refresh(&mut self, number: u64) {
        let mut group = self.groups.remove(&number).unwrap_or_default();
        let missed = (self.joined - group.seen) as usize;
        if group.nodes.is_empty() || missed > self.lately.len() {
            self.fill(number, &mut group);
        } else if missed > 0 {
            for at in self.lately.len() - missed..self.lately.len() {
                let (node, identity) = self.lately[at];
                self.join(number, &mut group, node, identity);
            }
            group.seen = self.joined;
        }
        let there = group.nodes.iter().filter(|entry| self.there(entry)).take(SPAN).count();
        if there < SPAN && !(group.whole && there == self.ready.len()) {
            self.fill(number, &mut group);
        }
        self.groups.insert(number, group);
    }

    /// Ranks all nodes anew.
    fn fill(&mut self, number: u64, group: &mut Group) {
        self.scratch.clear();
        let ranked = self.ready.iter().map(|node| (rank(number, self.identities[node]), node));
        self.scratch.extend(ranked);
        let most = SPAN + MORE;
        group.whole = self.scratch.len() <= most;
        if !group.whole {
            self.scratch.select_nth_unstable_by(most, |one, other| other.cmp(one));
            self.scratch.truncate(most);
        }
        self.scratch.sort_unstable_by(|one, other| other.cmp(one));
        group.nodes.clear();
        let entry = |&(_, node): &(u64, Node)| (node as u32, short(self.identities[node]));
        group.nodes.extend(self.scratch.iter().map(entry));
        group.seen = self.joined;
    }

    /// A node became ready: it takes its place, unless it is below all that are remembered.
    fn join(&self, number: u64, group: &mut Group, node: Node, identity: u64) {
        let new = (node as u32, short(identity));
        if identity != self.identities[node] || group.nodes.contains(&new) {
            return;
        }
        group.nodes.retain(|entry| entry.0 != new.0);
        let order = |node: Node| (rank(number, self.identities[node]), node);
        // Entries of nodes whose number another has now rank as that one would: they go first.
        group.nodes.retain(|&(node, identity)| short(self.identities[node as Node]) == identity);
        let place = group.nodes.partition_point(|&(other, _)| order(other as Node) > order(node));
        if place < group.nodes.len() || group.whole {
            group.nodes.insert(place, new);
        }
        if group.nodes.len() > SPAN + MORE {
            group.nodes.truncate(SPAN + MORE);
            group.whole = false;
        }
    }
}
