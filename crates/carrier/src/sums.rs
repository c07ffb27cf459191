//! What is in force at and below a process, as a sum.

use crate::children::Children;
use crate::message::{Attachment, Exception, Member, Sum, Why};
use crate::planted::{Fault, planted};
use crate::resource::{Interest, Version};
use crate::{Nanos, SECOND};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

/// What is held here for longer than this and not in force at a member is late there; at one that has others below it,
/// which come later by nature, the other.
pub(crate) const LATE: [Nanos; 2] = [3 * SECOND, 5 * SECOND];
/// A lost member is named for so long, unless it arrives elsewhere.
const LOST: Nanos = 60 * SECOND;
/// How long it is carried up that one has arrived: longer than its old parent, which may notice late, has it as lost.
const ARRIVED: Nanos = 75 * SECOND;
/// Arrivals remembered at once, the newest.
const ARRIVALS: usize = 4096;

/// A member whose link was lost.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct LostMember {
    /// The number of the link that was lost.
    attachment: u64,
    /// What it had in force last.
    in_force: Version,
    /// Until when it is named.
    until: Nanos,
}

/// A member that came to this process or to one below it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Arrival {
    /// The number of the link by which it came.
    attachment: u64,
    /// Until when that is carried up.
    until: Nanos,
}

/// Members that went, and that came.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Moves {
    lost: BTreeMap<Member, LostMember>,
    arrived: BTreeMap<Member, Arrival>,
    looked: Nanos,
}

impl Moves {
    /// A child that was counted is gone. Of more than `most` the first to be forgotten anyway goes.
    pub fn lost(&mut self, now: Nanos, who: Attachment, in_force: Version, most: usize) {
        // Guards the sum from news that cross: the end of a link may be seen after the arrival by the next one.
        if self.came_later(now, &who) {
            return;
        }
        if planted(Fault::ForgetsLost) {
            return;
        }
        let lost = LostMember { attachment: who.number, in_force, until: now + LOST };
        self.lost.insert(who.member, lost);
        bound(&mut self.lost, most, |lost| lost.until);
    }

    /// A member came to this process, or to one below it.
    pub fn arrived(&mut self, now: Nanos, who: &Attachment) {
        let stays = |lost: &Attachment| lost.member.name != who.member.name || !who.is_later_than(lost);
        self.lost.retain(|member, lost| stays(&attachment(member, lost.attachment)));
        let known = self.arrived.get(&who.member);
        if known.is_some_and(|known| known.attachment >= who.number) {
            return;
        }
        let arrival = Arrival { attachment: who.number, until: now + ARRIVED };
        self.arrived.insert(who.member.clone(), arrival);
        bound(&mut self.arrived, ARRIVALS, |arrival| arrival.until);
    }

    /// Who came within the last while, the newest first, at most so many.
    fn lately(&self, now: Nanos, most: usize) -> Vec<Attachment> {
        let there =
            self.arrived.iter().filter(|(who, arrival)| now < arrival.until && !self.lost.contains_key(*who));
        let mut lately: Vec<_> =
            there.map(|(member, arrival)| (Reverse(arrival.until), member, arrival.attachment)).collect();
        lately.sort();
        lately.into_iter().take(most).map(|(_, member, number)| attachment(member, number)).collect()
    }

    /// Whether a later link of this process is known to have come up.
    fn came_later(&self, now: Nanos, lost: &Attachment) -> bool {
        let newest = Member { name: lost.member.name.clone(), incarnation: u64::MAX };
        let mut incarnations = self.arrived.range(&lost.member..=&newest);
        incarnations.any(|(member, arrival)| {
            now < arrival.until && attachment(member, arrival.attachment).is_later_than(lost)
        })
    }

    pub fn forget_old(&mut self, now: Nanos) {
        if now < self.looked + SECOND {
            return;
        }
        self.looked = now;
        self.lost.retain(|_, lost| now < lost.until);
        self.arrived.retain(|_, arrival| now < arrival.until);
    }
}

fn attachment(member: &Member, number: u64) -> Attachment {
    Attachment { member: member.clone(), number }
}

fn bound<V>(map: &mut BTreeMap<Member, V>, most: usize, until: impl Fn(&V) -> Nanos) {
    while map.len() > most {
        let oldest = map.iter().min_by_key(|(_, what)| until(what)).map(|(who, _)| who.clone());
        let Some(oldest) = oldest else { return };
        map.remove(&oldest);
    }
}

/// What a process says of itself.
pub(crate) struct Own {
    pub me: Member,
    pub in_force: Version,
    pub late: bool,
    pub exceptions: Vec<Exception>,
}

/// Joins what a process says of itself and what its children said.
pub(crate) fn sum(
    now: Nanos,
    holds: Version,
    own: Own,
    children: &Children,
    moves: &Moves,
    named: usize,
) -> Sum {
    let mut lowest = (!own.late).then_some(own.in_force);
    let (mut members, mut unnamed) = (1u32, 0u32);
    let mut exceptions = own.exceptions;
    let mut lost: BTreeSet<Member> = BTreeSet::new();
    let here = lost_and_here(children);
    for (_, one) in children.iter() {
        let (Some((who, wants)), Some(sum)) = (&one.who, &one.sum) else { continue };
        let who = &who.member;
        // Neither whoever came back elsewhere nor whoever was lost in two places counts twice; nor does this process, which
        // one that was its parent has as lost.
        let twice = |other: &&Exception| {
            let Why::Lost { attachment: number } = other.why else { return false };
            let link = attachment(&other.who, number);
            let is_child =
                here.get(link.member.name.as_str()).is_some_and(|child| child.is_later_than(&link));
            let is_own = other.who.name == own.me.name && other.who.incarnation <= own.me.incarnation;
            moves.came_later(now, &link) || is_child || is_own || !lost.insert(link.member)
        };
        let (back, below): (Vec<&Exception>, Vec<&Exception>) = sum.exceptions.iter().partition(twice);
        let count = sum.members.saturating_sub(back.len() as u32).max(1);
        members = members.saturating_add(count);
        // Never more than is held here: what a child claims beyond that may be anything.
        let in_force = sum.in_force.min(holds);
        let allowed = LATE[usize::from(!matches!(wants, Interest::Proxy(..)))];
        if one.behind.is_some_and(|(_, since)| now >= since + allowed) {
            let others =
                below.into_iter().filter(|other| other.who != *who || other.why.rank() > Why::Late.rank());
            let others: Vec<Exception> = others.cloned().collect();
            let mut named: BTreeSet<&Member> = others.iter().map(|other| &other.who).collect();
            named.insert(who);
            // None of those below it may count as in force.
            unnamed = unnamed.saturating_add(count.saturating_sub(named.len() as u32).max(sum.unnamed));
            exceptions.push(Exception { who: who.clone(), in_force, why: Why::Late });
            exceptions.extend(others);
        } else {
            exceptions.extend(below.into_iter().cloned());
            unnamed = unnamed.saturating_add(sum.unnamed);
            lowest = Some(lowest.map_or(in_force, |lowest| lowest.min(in_force)));
        }
    }
    for (who, LostMember { attachment, in_force, until }) in &moves.lost {
        if now < *until && lost.insert(who.clone()) {
            members = members.saturating_add(1);
            let why = Why::Lost { attachment: *attachment };
            exceptions.push(Exception { who: who.clone(), in_force: *in_force, why });
        }
    }
    let (exceptions, more) = name(exceptions, named);
    let unnamed = unnamed.saturating_add(more);
    Sum {
        in_force: lowest.unwrap_or(own.in_force),
        members,
        exceptions,
        unnamed,
        arrived: moves.lately(now, named),
    }
}

/// Those that some child has as lost and that are children here, with their links: these stay known when their arrival
/// is forgotten.
fn lost_and_here(children: &Children) -> BTreeMap<&str, &Attachment> {
    let exceptions = children.iter().filter_map(|(_, one)| one.sum.as_ref()).flat_map(|sum| &sum.exceptions);
    let lost: BTreeSet<&str> = exceptions
        .filter(|one| matches!(one.why, Why::Lost { .. }))
        .map(|one| one.who.name.as_str())
        .collect();
    let mut here = BTreeMap::new();
    if lost.is_empty() {
        return here;
    }
    for (_, one) in children.iter().filter(|(_, one)| one.sum.is_some()) {
        if let Some((who, _)) = &one.who
            && lost.contains(who.member.name.as_str())
        {
            let link = here.entry(who.member.name.as_str()).or_insert(who);
            *link = (*link).max(who);
        }
    }
    here
}

/// The gravest, but up to half for refusals, whose reasons help; and how many members are not named for the gravest
/// that there is of them.
fn name(mut exceptions: Vec<Exception>, most: usize) -> (Vec<Exception>, u32) {
    if exceptions.len() <= most {
        return (exceptions, 0);
    }
    exceptions.sort_by_key(|one| one.why.rank());
    let refused = exceptions.split_off(exceptions.partition_point(|one| one.why.rank() < 2));
    let spared = refused.len().min(most / 2);
    let mut others = exceptions.split_off(exceptions.len().min(most - spared));
    let mut refused = refused.into_iter();
    exceptions.extend(refused.by_ref().take(most - exceptions.len()));
    others.extend(refused);
    let named = |one: &Exception| {
        exceptions.iter().any(|other| other.who == one.who && other.why.rank() <= one.why.rank())
    };
    let unnamed: BTreeSet<&Member> = others.iter().filter(|one| !named(one)).map(|one| &one.who).collect();
    let unnamed = unnamed.len() as u32;
    (exceptions, unnamed)
}

impl Why {
    /// The gravest first: who is lost or late may have nothing in force, who refuses has all else.
    fn rank(&self) -> u8 {
        match self {
            Why::Lost { .. } => 0,
            Why::Late => 1,
            Why::Refused { .. } => 2,
        }
    }
}
