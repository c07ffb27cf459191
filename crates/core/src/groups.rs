//! Candidate nodes for keys: a key belongs to one of a fixed number of groups, and each group keeps its
//! highest ranking nodes for as long as the node list allows. A key then finds its two highest rendezvous
//! hashes among these candidates instead of among all nodes.
//!
//! The candidates of a group are the first `GROUP_SIZE` ready nodes by the group's rendezvous hash, or all
//! nodes of a smaller fleet. They depend on the current node list alone, not on its history, so that all
//! proxies agree.

use crate::host::Node;
use crate::node_set::NodeSet;
use crate::table::rendezvous;
use hashbrown::HashMap;
use smallvec::SmallVec;
use std::collections::VecDeque;

/// Candidate nodes of a group.
pub const GROUP_SIZE: usize = 128;
/// Further nodes that a group remembers to replace candidates that leave.
const SPARE_MEMBERS: usize = 64;
/// The number of groups.
pub const GROUP_COUNT: u64 = 2048;
/// How many nodes that became ready are remembered. A group that has missed more of them is rebuilt.
const MAX_RECENT_JOINS: usize = 1024;

/// The groups and the node list that they follow from.
#[derive(Clone, Debug, Default)]
pub struct CandidateGroups {
    groups: HashMap<u64, CandidateGroup>,
    identities: Vec<u64>,
    ready: NodeSet,
    /// The nodes that became ready last, with their identities.
    recent_joins: VecDeque<(Node, u64)>,
    /// How many nodes have become ready so far.
    join_count: u64,
    scratch: Vec<(u64, Node)>,
}

#[derive(Clone, Debug, Default)]
struct CandidateGroup {
    /// Nodes by descending rank, with a fingerprint of the identity they had. No ready node outside ranks
    /// above any of them.
    members: Vec<(u32, u32)>,
    /// The join count when the group was last updated.
    joins_seen: u64,
    /// Whether all ready nodes are members.
    complete: bool,
}

/// The group of a key.
pub fn group_of_key(key: u64) -> u64 {
    rendezvous(key, 0x6772_6f75_7073) % GROUP_COUNT
}

/// How high a node ranks for a group.
pub fn group_rank(group: u64, identity: u64) -> u64 {
    rendezvous(group.wrapping_add(1), identity)
}

/// The two highest ranking nodes that `admits` accepts, which is asked in descending order of rank. The
/// remaining entries of `ranked` are left in any order.
pub fn two_highest(ranked: &mut Vec<(u64, Node)>, admits: impl Fn(Node) -> bool) -> SmallVec<[Node; 2]> {
    let mut two = SmallVec::new();
    while two.len() < 2 && !ranked.is_empty() {
        // Finds the two highest in one pass, since both are usually admitted.
        let (mut first, mut second) = (0, usize::MAX);
        for index in 1..ranked.len() {
            if ranked[index] > ranked[first] {
                (first, second) = (index, first);
            } else if second == usize::MAX || ranked[index] > ranked[second] {
                second = index;
            }
        }
        let indices = [first, second].into_iter().filter(|&index| index != usize::MAX);
        let nodes: SmallVec<[Node; 2]> = indices.clone().map(|index| ranked[index].1).collect();
        for node in nodes {
            if two.len() < 2 && admits(node) {
                two.push(node);
            }
        }
        let mut indices: SmallVec<[usize; 2]> = indices.collect();
        indices.sort_unstable();
        indices.into_iter().rev().for_each(|index| _ = ranked.swap_remove(index));
    }
    two
}

/// Distinguishes the nodes that have had the same index one after another.
fn fingerprint(identity: u64) -> u32 {
    (identity ^ identity >> 32) as u32
}

impl CandidateGroups {
    /// Stores a node's identity and whether it is ready.
    pub fn update_node(&mut self, node: Node, identity: u64, ready: bool) {
        if node >= self.identities.len() {
            self.identities.resize(node + 1, 0);
        }
        let identity_changed = std::mem::replace(&mut self.identities[node], identity) != identity;
        let readiness_changed = self.ready.set(node, ready);
        if ready && (readiness_changed || identity_changed) {
            if self.recent_joins.len() == MAX_RECENT_JOINS {
                self.recent_joins.pop_front();
            }
            self.recent_joins.push_back((node, identity));
            self.join_count += 1;
        }
    }

    /// Appends the candidate nodes of the key's group, each with its rank for the key.
    pub fn candidates(&mut self, key: u64, into: &mut Vec<(u64, Node)>) {
        let ranked = |node: Node| (rendezvous(key, self.identities[node]), node);
        if self.ready.len() <= GROUP_SIZE {
            return into.extend(self.ready.iter().map(ranked));
        }
        let group_number = group_of_key(key);
        self.refresh(group_number);
        if let Some(group) = self.groups.get(&group_number) {
            let current = group.members.iter().filter(|entry| self.is_current(entry)).take(GROUP_SIZE);
            into.extend(
                current.map(|&(node, _)| (rendezvous(key, self.identities[node as Node]), node as Node)),
            );
        }
    }

    /// Whether the member is still ready and still the same node.
    fn is_current(&self, &(node, identity): &(u32, u32)) -> bool {
        self.ready.contains(node as Node) && fingerprint(self.identities[node as Node]) == identity
    }

    /// Brings a group up to date with the node list.
    fn refresh(&mut self, group_number: u64) {
        let mut group = self.groups.remove(&group_number).unwrap_or_default();
        let missed = (self.join_count - group.joins_seen) as usize;
        if group.members.is_empty() || missed > self.recent_joins.len() {
            self.rebuild(group_number, &mut group);
        } else if missed > 0 {
            for index in self.recent_joins.len() - missed..self.recent_joins.len() {
                let (node, identity) = self.recent_joins[index];
                self.insert_joined(group_number, &mut group, node, identity);
            }
            group.joins_seen = self.join_count;
        }
        let current = group.members.iter().filter(|entry| self.is_current(entry)).take(GROUP_SIZE).count();
        if current < GROUP_SIZE && !(group.complete && current == self.ready.len()) {
            self.rebuild(group_number, &mut group);
        }
        self.groups.insert(group_number, group);
    }

    /// Ranks all nodes again.
    fn rebuild(&mut self, group_number: u64, group: &mut CandidateGroup) {
        self.scratch.clear();
        let ranked = self.ready.iter().map(|node| (group_rank(group_number, self.identities[node]), node));
        self.scratch.extend(ranked);
        let max_members = GROUP_SIZE + SPARE_MEMBERS;
        group.complete = self.scratch.len() <= max_members;
        if !group.complete {
            self.scratch.select_nth_unstable_by(max_members, |one, other| other.cmp(one));
            self.scratch.truncate(max_members);
        }
        self.scratch.sort_unstable_by(|one, other| other.cmp(one));
        group.members.clear();
        let entry = |&(_, node): &(u64, Node)| (node as u32, fingerprint(self.identities[node]));
        group.members.extend(self.scratch.iter().map(entry));
        group.joins_seen = self.join_count;
    }

    /// Inserts a node that became ready, unless it ranks below all members.
    fn insert_joined(&self, group_number: u64, group: &mut CandidateGroup, node: Node, identity: u64) {
        let entry = (node as u32, fingerprint(identity));
        if identity != self.identities[node] || group.members.contains(&entry) {
            return;
        }
        group.members.retain(|other| other.0 != entry.0);
        let order = |node: Node| (group_rank(group_number, self.identities[node]), node);
        // Members whose index another node has now would rank as that node does, so they are removed first.
        group.members.retain(|&(node, identity)| fingerprint(self.identities[node as Node]) == identity);
        let index = group.members.partition_point(|&(other, _)| order(other as Node) > order(node));
        if index < group.members.len() || group.complete {
            group.members.insert(index, entry);
        }
        if group.members.len() > GROUP_SIZE + SPARE_MEMBERS {
            group.members.truncate(GROUP_SIZE + SPARE_MEMBERS);
            group.complete = false;
        }
    }
}
