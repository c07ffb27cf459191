//! Aggregates what is in force at a process and below it into one summary.

use crate::children::Children;
use crate::fault_injection::{InjectedFault, is_injected};
use crate::message::{Attachment, Exception, ExceptionKind, Member, Summary};
use crate::resource::{Interest, Version};
use crate::{Nanos, SECOND};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

/// A member is late if what is held here is not in force there for longer than the first of these. For a
/// child that has children itself it is the second, since the processes below it receive a version later.
pub(crate) const LATE_AFTER: [Nanos; 2] = [3 * SECOND, 5 * SECOND];
/// A lost member is listed as an exception for so long, unless it arrives elsewhere.
const LOST_RETENTION: Nanos = 60 * SECOND;
/// For how long summaries report that a member has arrived: longer than its old parent, which may notice the
/// loss late, lists the member as lost.
const ARRIVAL_RETENTION: Nanos = 75 * SECOND;
/// The maximum number of arrivals that are remembered; the newest are kept.
const MAX_ARRIVALS: usize = 4096;

/// A member whose link was lost.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct LostMember {
    /// The number of the link that was lost.
    attachment: u64,
    /// The last version that the member is known to have had in force.
    in_force: Version,
    /// Until when the member is listed.
    until: Nanos,
}

/// A member that arrived at this process or at one below it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Arrival {
    /// The number of the link by which it arrived.
    attachment: u64,
    /// Until when the arrival is reported in summaries.
    until: Nanos,
}

/// The members that were lost and those that arrived recently.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct MembershipChanges {
    lost: BTreeMap<Member, LostMember>,
    arrived: BTreeMap<Member, Arrival>,
    last_expiry: Nanos,
}

impl MembershipChanges {
    /// Records that the link of a child that was counted is lost. If there are more than `max` lost members,
    /// the one that would expire first is removed.
    pub fn record_lost(&mut self, now: Nanos, attachment: Attachment, in_force: Version, max: usize) {
        // News can arrive out of order: the end of a link may be noticed after the member arrived by its next
        // link. The member must not be listed as lost then.
        if self.has_arrived_later(now, &attachment) {
            return;
        }
        if is_injected(InjectedFault::ForgetsLostChildren) {
            return;
        }
        let lost = LostMember { attachment: attachment.number, in_force, until: now + LOST_RETENTION };
        self.lost.insert(attachment.member, lost);
        limit_len(&mut self.lost, max, |lost| lost.until);
    }

    /// Records that a member arrived at this process, or at one below it.
    pub fn record_arrival(&mut self, now: Nanos, arrived: &Attachment) {
        let stays_lost =
            |lost: &Attachment| lost.member.name != arrived.member.name || !arrived.is_later_than(lost);
        self.lost.retain(|member, lost| stays_lost(&attachment(member, lost.attachment)));
        let known = self.arrived.get(&arrived.member);
        if known.is_some_and(|known| known.attachment >= arrived.number) {
            return;
        }
        let arrival = Arrival { attachment: arrived.number, until: now + ARRIVAL_RETENTION };
        self.arrived.insert(arrived.member.clone(), arrival);
        limit_len(&mut self.arrived, MAX_ARRIVALS, |arrival| arrival.until);
    }

    /// The members that arrived recently and are not lost again, the newest first, at most `max`.
    fn recent_arrivals(&self, now: Nanos, max: usize) -> Vec<Attachment> {
        let present = self
            .arrived
            .iter()
            .filter(|(member, arrival)| now < arrival.until && !self.lost.contains_key(*member));
        let mut recent: Vec<_> =
            present.map(|(member, arrival)| (Reverse(arrival.until), member, arrival.attachment)).collect();
        recent.sort();
        recent.into_iter().take(max).map(|(_, member, number)| attachment(member, number)).collect()
    }

    /// Whether a later link of this process is known to have come up.
    fn has_arrived_later(&self, now: Nanos, lost: &Attachment) -> bool {
        let newest = Member { name: lost.member.name.clone(), incarnation: u64::MAX };
        let mut incarnations = self.arrived.range(&lost.member..=&newest);
        incarnations.any(|(member, arrival)| {
            now < arrival.until && attachment(member, arrival.attachment).is_later_than(lost)
        })
    }

    /// Removes lost members and arrivals that have expired, at most once a second.
    pub fn remove_expired(&mut self, now: Nanos) {
        if now < self.last_expiry + SECOND {
            return;
        }
        self.last_expiry = now;
        self.lost.retain(|_, lost| now < lost.until);
        self.arrived.retain(|_, arrival| now < arrival.until);
    }
}

fn attachment(member: &Member, number: u64) -> Attachment {
    Attachment { member: member.clone(), number }
}

/// Removes the entries that expire first until at most `max` are left.
fn limit_len<V>(map: &mut BTreeMap<Member, V>, max: usize, until: impl Fn(&V) -> Nanos) {
    while map.len() > max {
        let oldest = map.iter().min_by_key(|(_, entry)| until(entry)).map(|(member, _)| member.clone());
        let Some(oldest) = oldest else { return };
        map.remove(&oldest);
    }
}

/// The state of a process itself, without its children.
pub(crate) struct OwnState {
    pub member: Member,
    pub in_force: Version,
    pub late: bool,
    pub exceptions: Vec<Exception>,
}

/// Combines the state of a process with the summaries of its children. Lists at most `max_exceptions`
/// exceptions and as many arrivals.
pub(crate) fn summarize(
    now: Nanos,
    held: Version,
    own: OwnState,
    children: &Children,
    changes: &MembershipChanges,
    max_exceptions: usize,
) -> Summary {
    let mut lowest = (!own.late).then_some(own.in_force);
    let (mut members, mut unnamed) = (1u32, 0u32);
    let mut exceptions = own.exceptions;
    let mut lost: BTreeSet<Member> = BTreeSet::new();
    let reconnected = reconnected_here(children);
    for (_, child) in children.iter() {
        let (Some((child_attachment, interest)), Some(summary)) = (&child.subscription, &child.summary)
        else {
            continue;
        };
        let child_member = &child_attachment.member;
        // A member that came back elsewhere or was lost in two places must not be counted twice. Neither must
        // this process itself, which a former parent of it may list as lost.
        let counted_elsewhere = |other: &&Exception| {
            let ExceptionKind::Lost { attachment: number } = other.kind else { return false };
            let link = attachment(&other.member, number);
            let is_child = reconnected
                .get(link.member.name.as_str())
                .is_some_and(|attachment| attachment.is_later_than(&link));
            let is_own =
                other.member.name == own.member.name && other.member.incarnation <= own.member.incarnation;
            changes.has_arrived_later(now, &link) || is_child || is_own || !lost.insert(link.member)
        };
        let (duplicates, below): (Vec<&Exception>, Vec<&Exception>) =
            summary.exceptions.iter().partition(counted_elsewhere);
        let count = summary.members.saturating_sub(duplicates.len() as u32).max(1);
        members = members.saturating_add(count);
        // Never more than what is held here: a child's claim beyond that can't be trusted.
        let in_force = summary.in_force.min(held);
        let late_after = LATE_AFTER[usize::from(!matches!(interest, Interest::Proxy(..)))];
        if child.behind.is_some_and(|(_, since)| now >= since + late_after) {
            let others = below.into_iter().filter(|other| {
                other.member != *child_member
                    || other.kind.severity_rank() > ExceptionKind::Late.severity_rank()
            });
            let others: Vec<Exception> = others.cloned().collect();
            let mut listed: BTreeSet<&Member> = others.iter().map(|other| &other.member).collect();
            listed.insert(child_member);
            // No member below a late child may count as having this process's version in force.
            unnamed = unnamed.saturating_add(count.saturating_sub(listed.len() as u32).max(summary.unnamed));
            exceptions.push(Exception { member: child_member.clone(), in_force, kind: ExceptionKind::Late });
            exceptions.extend(others);
        } else {
            exceptions.extend(below.into_iter().cloned());
            unnamed = unnamed.saturating_add(summary.unnamed);
            lowest = Some(lowest.map_or(in_force, |lowest| lowest.min(in_force)));
        }
    }
    for (member, LostMember { attachment, in_force, until }) in &changes.lost {
        if now < *until && lost.insert(member.clone()) {
            members = members.saturating_add(1);
            let kind = ExceptionKind::Lost { attachment: *attachment };
            exceptions.push(Exception { member: member.clone(), in_force: *in_force, kind });
        }
    }
    let (exceptions, more) = limit_exceptions(exceptions, max_exceptions);
    let unnamed = unnamed.saturating_add(more);
    Summary {
        in_force: lowest.unwrap_or(own.in_force),
        members,
        exceptions,
        unnamed,
        arrived: changes.recent_arrivals(now, max_exceptions),
    }
}

/// The members that some child lists as lost but that are children here, with their latest links. Used in
/// addition to the recorded arrivals, which expire.
fn reconnected_here(children: &Children) -> BTreeMap<&str, &Attachment> {
    let exceptions = children
        .iter()
        .filter_map(|(_, child)| child.summary.as_ref())
        .flat_map(|summary| &summary.exceptions);
    let lost: BTreeSet<&str> = exceptions
        .filter(|exception| matches!(exception.kind, ExceptionKind::Lost { .. }))
        .map(|exception| exception.member.name.as_str())
        .collect();
    let mut reconnected = BTreeMap::new();
    if lost.is_empty() {
        return reconnected;
    }
    for (_, child) in children.iter().filter(|(_, child)| child.summary.is_some()) {
        if let Some((attachment, _)) = &child.subscription
            && lost.contains(attachment.member.name.as_str())
        {
            let latest = reconnected.entry(attachment.member.name.as_str()).or_insert(attachment);
            *latest = (*latest).max(attachment);
        }
    }
    reconnected
}

/// The most severe exceptions, at most `max`, of which up to half may be refusals, since their reasons help
/// the operator. Also returns how many members are left out or listed only with a less severe exception than
/// their most severe one.
fn limit_exceptions(mut exceptions: Vec<Exception>, max: usize) -> (Vec<Exception>, u32) {
    if exceptions.len() <= max {
        return (exceptions, 0);
    }
    exceptions.sort_by_key(|exception| exception.kind.severity_rank());
    let refused =
        exceptions.split_off(exceptions.partition_point(|exception| exception.kind.severity_rank() < 2));
    let reserved = refused.len().min(max / 2);
    let mut omitted = exceptions.split_off(exceptions.len().min(max - reserved));
    let mut refused = refused.into_iter();
    exceptions.extend(refused.by_ref().take(max - exceptions.len()));
    omitted.extend(refused);
    let is_listed = |exception: &Exception| {
        exceptions.iter().any(|other| {
            other.member == exception.member && other.kind.severity_rank() <= exception.kind.severity_rank()
        })
    };
    let unnamed: BTreeSet<&Member> =
        omitted.iter().filter(|exception| !is_listed(exception)).map(|exception| &exception.member).collect();
    let unnamed = unnamed.len() as u32;
    (exceptions, unnamed)
}

impl ExceptionKind {
    /// 0 is the most severe: a lost or late member may have nothing in force, one that refuses a resource has
    /// all others.
    fn severity_rank(&self) -> u8 {
        match self {
            ExceptionKind::Lost { .. } => 0,
            ExceptionKind::Late => 1,
            ExceptionKind::Refused { .. } => 2,
        }
    }
}
