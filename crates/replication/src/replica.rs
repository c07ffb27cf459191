//! One replica: its copy, its links, and what goes over them.

use crate::link::{InFlight, Incoming, Link, LinkId, Transfer};
use crate::map::{Joined, Kept, Map, digest_of};
use crate::message::{Knowledge, Message, Part, Summary};
use crate::order::{Entry, Lease, Origin, Refusal, Service, Slot};
use crate::peers::Peers;
use crate::planted::{Fault, planted};
use crate::status::Status;
use crate::vector::Vector;
use crate::{MILLISECOND, Nanos, SECOND};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// A change is followed by a heartbeat on each link after this: the orders themselves have come by then.
const SETTLED: Nanos = SECOND;
/// How often a link is told the digest.
const HEARTBEAT: Nanos = 5 * SECOND;
/// A part without an answer for so long ends its link.
const STALLED: Nanos = 3 * SECOND;
/// What was sent and is lacked all the same is sent again after this.
const RESEND: Nanos = 5 * SECOND;
/// The copy goes to disk this soon after the last time, and without orders as late as the other.
const KEEP: [Nanos; 2] = [250 * MILLISECOND, 10 * SECOND];
/// Expired orders are looked for this often.
const SWEEP: Nanos = SECOND;
/// Copies that differ for so long though both cover the same are compared whole.
const REPAIR: Nanos = 12 * SECOND;
/// Links that others may have dialled; more are closed.
const MOST_TAKEN: usize = 64;
/// No part is cut smaller than this.
const LEAST_PART: usize = 512;
/// Entries of a whole copy that is on its way, at most: more is no copy.
const MOST_INCOMING: usize = 1 << 15;
/// Doubtful orders that are remembered.
const MOST_DOUBTFUL: usize = 256;

/// Both clocks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Now {
    /// Never steps back; spans are measured by it.
    pub steady: Nanos,
    /// Unix time, for stamps.
    pub unix: Nanos,
}

/// What a replica is, and its limits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Terms {
    pub me: Origin,
    /// All others of the group.
    pub peers: Vec<String>,
    /// Links that it keeps to peers of its choice.
    pub links: usize,
    /// An order that puts a node back is kept for so long.
    pub retention: Nanos,
    /// A stamp may be so far ahead of this replica's clock.
    pub most_ahead: Nanos,
    /// To all peers together, in any second.
    pub bytes_per_second: usize,
    /// In one part.
    pub part_bytes: usize,
}

/// What the process should log or count.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Report {
    /// A stamp is too far ahead; said once an origin.
    Future { entry: Entry, ahead: Nanos },
    /// One stamp with two contents.
    Conflict { entry: Entry },
    /// This copy missed orders that this peer has dropped since; so many of its own had ended by them.
    WasAway { peer: String, ended: usize },
    /// An order older than ended ones are remembered, of a copy that was away: whether it had ended can't be told.
    Doubtful { entry: Entry },
    /// The disk's copy is not used.
    NotUsed { why: String },
}

/// What a replica asks of the process that it lives in.
pub trait Host {
    /// Dials a peer; comes back as `link_up` or `dial_failed`.
    fn dial(&mut self, peer: &str);
    fn send(&mut self, link: LinkId, message: Message);
    /// Ends a link; nothing comes back for it.
    fn close(&mut self, link: LinkId);
    /// From now on this holds for the node.
    fn apply(&mut self, node: &str, service: Service);
    /// To disk; comes back as `kept` once it is synced, and none is asked for before.
    fn keep(&mut self, kept: Kept);
    fn report(&mut self, report: Report);
    /// Between 0 and 1.
    fn chance(&mut self) -> f64;
}

/// When the disk is written.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Disk {
    writing: bool,
    wrote: Option<Nanos>,
    due: Option<Nanos>,
}

#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Counts {
    future: u64,
    conflicts: u64,
    bytes: u64,
}

/// One process's copy of the orders, and its part in bringing it to the others.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Replica {
    terms: Terms,
    map: Map,
    /// What holds for each node that orders are known for.
    applied: BTreeMap<String, Service>,
    links: BTreeMap<LinkId, Link>,
    peers: Peers,
    /// What others are known to cover.
    seen_elsewhere: Vector,
    /// Unix time when another was heard last.
    as_of: Nanos,
    doubtful: Vec<Entry>,
    future_origins: BTreeSet<Origin>,
    disk: Disk,
    sweep_at: Nanos,
    /// Bytes sent in the last second, and when.
    spent: VecDeque<(Nanos, usize)>,
    counts: Counts,
}

impl Replica {
    /// From what was on the disk; what holds by it is applied at once.
    pub fn start(now: Now, mut terms: Terms, kept: Option<Kept>, host: &mut impl Host) -> Replica {
        if planted(Fault::ReusesOrigin) {
            terms.me.incarnation = 1;
        }
        let foreign = kept.as_ref().filter(|kept| kept.name != terms.me.name);
        if let Some(kept) = foreign {
            host.report(Report::NotUsed { why: format!("it is {}'s", kept.name) });
        }
        let kept = kept.filter(|kept| kept.name == terms.me.name).unwrap_or_default();
        let chance = host.chance();
        let mut replica = Replica {
            map: Map::restored(&kept),
            applied: BTreeMap::new(),
            links: BTreeMap::new(),
            peers: Peers::new(now.steady, terms.peers.clone(), terms.links, chance),
            seen_elsewhere: kept.seen_elsewhere,
            as_of: kept.as_of,
            doubtful: Vec::new(),
            future_origins: BTreeSet::new(),
            disk: Disk::default(),
            sweep_at: now.steady,
            spent: VecDeque::new(),
            counts: Counts::default(),
            terms,
        };
        if planted(Fault::ReusesOrigin) {
            replica.map.vector = Vector::default();
        }
        replica.apply(host);
        replica.tick(now, host);
        replica
    }

    /// An operator's order, given at this process.
    pub fn give(
        &mut self,
        now: Now,
        node: &str,
        service: Service,
        lease: Option<Lease>,
        host: &mut impl Host,
    ) -> Result<Entry, Refusal> {
        let entry = self.map.give(now.unix, &self.terms.me, node, service, lease)?;
        self.changed(now, host);
        self.tick(now, host);
        Ok(entry)
    }

    /// A link came up, dialled here or by the peer.
    pub fn link_up(&mut self, now: Now, link: LinkId, peer: &str, dialled: bool, host: &mut impl Host) {
        if dialled {
            self.peers.reached(peer);
        }
        let taken = self.links.values().filter(|link| !link.dialled).count();
        if !dialled && taken >= MOST_TAKEN {
            return host.close(link);
        }
        self.links.insert(link, Link::new(now.steady, peer, dialled));
        self.close_surplus(host);
        self.tick(now, host);
    }

    /// One more than wanted was dialled so that another takes its place: the one that is there longest goes.
    fn close_surplus(&mut self, host: &mut impl Host) {
        if !self.peers.too_many(self.dialled()) {
            return;
        }
        let dialled = self.links.iter().filter(|(_, link)| link.dialled);
        let oldest = dialled.min_by_key(|(id, link)| (link.since, **id)).map(|(id, _)| *id);
        if let Some(oldest) = oldest {
            self.links.remove(&oldest);
            host.close(oldest);
        }
    }

    /// A dial came to nothing.
    pub fn dial_failed(&mut self, now: Now, host: &mut impl Host) {
        self.peers.failed(now.steady, host.chance());
        self.tick(now, host);
    }

    /// A link ended.
    pub fn link_down(&mut self, now: Now, link: LinkId, host: &mut impl Host) {
        self.links.remove(&link);
        self.tick(now, host);
    }

    /// The other end of a link said this.
    pub fn heard(&mut self, now: Now, id: LinkId, message: Message, host: &mut impl Host) {
        if !self.links.contains_key(&id) {
            return;
        }
        self.as_of = now.unix;
        match message {
            Message::Heartbeat(digest) => self.heartbeat(now, id, digest),
            Message::Summary(summary) => self.summary(now, id, summary),
            Message::Part(part) => self.part(now, id, part, host),
            Message::Took { number, taken } => self.took(now, id, number, taken),
        }
        self.tick(now, host);
    }

    fn heartbeat(&mut self, now: Now, id: LinkId, digest: u64) {
        let own = self.digest();
        let vector = self.map.vector.clone();
        let Some(link) = self.links.get_mut(&id) else { return };
        link.hears(now.steady, digest == own);
        if link.equal {
            link.covers.join(&vector);
            self.seen_elsewhere.join(&vector);
        } else {
            // Both say what they have: this end does now.
            (link.said, link.say_at) = (None, link.say_at.min(now.steady));
        }
    }

    fn summary(&mut self, now: Now, id: LinkId, summary: Summary) {
        let own = self.digest();
        self.seen_elsewhere.join(&summary.knowledge.vector);
        let Some(link) = self.links.get_mut(&id) else { return };
        link.hears(now.steady, digest_of(&(&summary.knowledge.vector, summary.digest)) == own);
        // What was sent a short while ago may be on its way still.
        if now.steady >= link.not_before && link.in_flight.is_none() {
            link.covers = Vector::default();
        }
        link.covers.join(&summary.knowledge.vector);
        // What others have dropped, and is covered here, counts as dropped here too: so that all know who was away.
        if self.map.vector.covers_all(&summary.knowledge.horizon) {
            self.map.horizon.join(&summary.knowledge.horizon);
        }
        link.summary = Some(summary);
    }

    fn took(&mut self, now: Now, id: LinkId, number: u64, taken: bool) {
        let Some(link) = self.links.get_mut(&id) else { return };
        let answered = link.in_flight.take_if(|in_flight| in_flight.number == number);
        let Some(InFlight { covers, .. }) = answered else { return };
        if let Some(covers) = covers.filter(|_| taken) {
            link.covers.join(&covers);
        }
        if !taken {
            (link.transfer, link.refused_until) = (None, now.steady + RESEND);
        }
    }

    fn part(&mut self, now: Now, id: LinkId, part: Part, host: &mut impl Host) {
        let Part { number, whole, entries, last } = part;
        let Some(link) = self.links.get_mut(&id) else { return };
        let incoming = link.incoming.entries.len() + entries.len();
        if !entries.iter().all(Entry::is_sound) || incoming > MOST_INCOMING {
            // Nobody who keeps to this protocol says that.
            self.links.remove(&id);
            return host.close(id);
        }
        if whole != link.incoming.whole {
            link.incoming = Incoming { whole, ..Incoming::default() };
        }
        if whole {
            link.incoming.entries.extend(entries);
        } else {
            self.join(now, id, &entries, host);
        }
        let taken = match last {
            Some(knowledge) => self.last_part(now, id, knowledge, host),
            None => true,
        };
        self.send(now, id, Message::Took { number, taken }, host);
        let summary = self.links.get(&id).and_then(|link| link.summary.clone());
        if let Some(summary) = summary.filter(|_| planted(Fault::VectorWithFirstPart)) {
            self.map.vector.join(&summary.knowledge.vector);
        }
    }

    /// All parts are here: whether what their sender knew is known here now.
    fn last_part(&mut self, now: Now, id: LinkId, knowledge: Knowledge, host: &mut impl Host) -> bool {
        let Some(link) = self.links.get_mut(&id) else { return false };
        let Incoming { entries, whole, refused } = std::mem::take(&mut link.incoming);
        if whole {
            return self.join_whole(now, id, &entries, knowledge, host);
        }
        if !refused {
            self.map.vector.join(&knowledge.vector);
        }
        self.changed(now, host);
        !refused
    }

    /// Joins all that a peer has. This copy missed orders that the peer has dropped: what had ended by them ends here.
    fn join_whole(
        &mut self,
        now: Now,
        id: LinkId,
        entries: &[Entry],
        knowledge: Knowledge,
        host: &mut impl Host,
    ) -> bool {
        let retention = self.terms.retention;
        let slots: BTreeSet<Slot> = entries.iter().map(|entry| entry.slot.clone()).collect();
        let ended = self.map.drop_ended(&slots, &knowledge.vector);
        let doubtful = self.map.doubtful(now.unix, retention, &knowledge.vector);
        if let Some(link) = self.links.get(&id) {
            host.report(Report::WasAway { peer: link.peer.clone(), ended });
        }
        for entry in doubtful {
            host.report(Report::Doubtful { entry: entry.clone() });
            self.doubtful.push(entry);
            self.doubtful.truncate(MOST_DOUBTFUL);
        }
        self.join(now, id, entries, host);
        let incoming = self.links.get_mut(&id).map(|link| std::mem::take(&mut link.incoming));
        let taken = incoming.is_some_and(|incoming| !incoming.refused);
        if taken {
            self.map.vector.join(&knowledge.vector);
            self.map.horizon.join(&knowledge.horizon);
        }
        self.changed(now, host);
        taken
    }

    fn join(&mut self, now: Now, id: LinkId, entries: &[Entry], host: &mut impl Host) {
        let Terms { most_ahead, retention, .. } = self.terms;
        let (mut refused, mut changed) = (false, false);
        for entry in entries {
            match self.map.join(now.unix, entry, most_ahead, retention) {
                Joined::Changed => changed = true,
                Joined::Known => {}
                Joined::Full => refused = true,
                Joined::Future => {
                    refused = true;
                    self.future(now, entry, host);
                }
                Joined::Conflict => {
                    changed = true;
                    self.counts.conflicts += 1;
                    host.report(Report::Conflict { entry: entry.clone() });
                }
            }
        }
        if let Some(link) = self.links.get_mut(&id) {
            link.incoming.refused |= refused;
        }
        if changed {
            self.changed(now, host);
        }
    }

    fn future(&mut self, now: Now, entry: &Entry, host: &mut impl Host) {
        self.counts.future += 1;
        if self.future_origins.insert(entry.order.stamp.origin.clone()) {
            let ahead = entry.order.stamp.time.saturating_sub(now.unix);
            host.report(Report::Future { entry: entry.clone(), ahead });
        }
    }

    /// Whether a peer that covers the same has had other orders for longer than news may take.
    fn differs_for_long(&self, now: Now, link: &Link) -> bool {
        let same = link.covers.covers_all(&self.map.vector);
        same && link.differs_since.is_some_and(|since| now.steady >= since + REPAIR)
    }

    /// Whether a peer misses an order that was dropped here: it may have what that one ended.
    fn misses_dropped(&self, link: &Link) -> bool {
        link.summary.is_some() && !link.covers.covers_all(&self.map.horizon)
    }

    /// What is known has changed: what holds is applied, peers are told, the disk is written.
    fn changed(&mut self, now: Now, host: &mut impl Host) {
        self.apply(host);
        let due = self.disk.wrote.map_or(now.steady, |wrote| now.steady.max(wrote + KEEP[0]));
        self.disk.due = Some(self.disk.due.map_or(due, |other| other.min(due)));
        for link in self.links.values_mut() {
            link.beat_at = link.beat_at.min(now.steady + SETTLED);
        }
    }

    fn apply(&mut self, host: &mut impl Host) {
        let mut nodes = self.map.nodes();
        nodes.extend(self.applied.keys().cloned());
        for node in nodes {
            let service = self.map.holds(&node);
            let before = self.applied.get(&node).copied();
            let known = service.unwrap_or(Service::In);
            if before.unwrap_or(Service::In) != known {
                host.apply(&node, known);
            }
            match service {
                Some(service) => _ = self.applied.insert(node, service),
                None => _ = self.applied.remove(&node),
            }
        }
    }

    /// Some time has passed, or something happened.
    pub fn tick(&mut self, now: Now, host: &mut impl Host) {
        if now.steady >= self.sweep_at {
            self.sweep_at = now.steady + SWEEP;
            if self.map.drop_expired(now.unix, self.terms.retention) > 0 {
                self.changed(now, host);
            }
        }
        self.dial(now, host);
        for id in self.links.keys().copied().collect::<Vec<_>>() {
            self.serve(now, id, host);
        }
        self.keep(now, host);
    }

    fn dial(&mut self, now: Now, host: &mut impl Host) {
        let linked: BTreeSet<&str> = self.links.values().map(|link| link.peer.as_str()).collect();
        let dialled = self.dialled();
        let drawn = self.peers.draw(now.steady, &linked, dialled, &mut || host.chance());
        if let Some(peer) = drawn {
            host.dial(&peer);
        }
    }

    fn dialled(&self) -> usize {
        self.links.values().filter(|link| link.dialled).count()
    }

    /// Says on a link what is to be said there now.
    fn serve(&mut self, now: Now, id: LinkId, host: &mut impl Host) {
        let own = self.digest();
        let Some(link) = self.links.get_mut(&id) else { return };
        let stalled = |in_flight: &InFlight| now.steady >= in_flight.since + STALLED;
        if link.in_flight.as_ref().is_some_and(stalled) {
            self.links.remove(&id);
            return host.close(id);
        }
        if now.steady >= link.say_at {
            link.say_at = Nanos::MAX;
            if link.said != Some(own) {
                link.said = Some(own);
                link.beat_at = now.steady + HEARTBEAT;
                let summary = self.own_summary();
                self.send(now, id, Message::Summary(summary), host);
            }
        }
        let Some(link) = self.links.get_mut(&id) else { return };
        if now.steady >= link.beat_at {
            link.beat_at = now.steady + HEARTBEAT;
            self.send(now, id, Message::Heartbeat(own), host);
        }
        self.transfer(now, id, host);
    }

    /// Begins what the other end lacks, or sends the next part of it.
    fn transfer(&mut self, now: Now, id: LinkId, host: &mut impl Host) {
        let Some(link) = self.links.get(&id) else { return };
        if link.summary.is_none() || link.in_flight.is_some() || now.steady < link.refused_until {
            return;
        }
        if link.transfer.is_none() {
            let whole = self.misses_dropped(link) || self.differs_for_long(now, link);
            let nothing_new = link.covers.covers_all(&self.map.vector);
            let wanted = if whole { now.steady >= link.not_before } else { !nothing_new };
            if !wanted {
                return;
            }
            let nothing = Vector::default();
            let slots = self.map.beyond(if whole { &nothing } else { &link.covers });
            let knowledge = match whole {
                true => self.knowledge(),
                false => {
                    Knowledge { vector: self.map.vector.beyond(&link.covers), horizon: Vector::default() }
                }
            };
            if let Some(link) = self.links.get_mut(&id) {
                link.transfer = Some(Transfer { slots: slots.into(), whole, knowledge });
            }
        }
        self.next_part(now, id, host);
    }

    fn next_part(&mut self, now: Now, id: LinkId, host: &mut impl Host) {
        let room = self.room(now.steady);
        if room < LEAST_PART {
            return;
        }
        let room = room.min(self.terms.part_bytes.max(LEAST_PART));
        let (map, Some(link)) = (&self.map, self.links.get_mut(&id)) else { return };
        let Some(transfer) = &mut link.transfer else { return };
        let (mut entries, mut bytes) = (Vec::new(), 0);
        while let Some(slot) = transfer.slots.front() {
            match map.get(slot) {
                Some(entry) => {
                    bytes += postcard::experimental::serialized_size(&entry).unwrap_or(0);
                    if bytes > room && !entries.is_empty() {
                        break;
                    }
                    entries.push(entry);
                }
                // It was dropped meanwhile: only all there is tells the other what had ended by it.
                None if !transfer.whole => {
                    link.transfer = None;
                    return;
                }
                None => {}
            }
            transfer.slots.pop_front();
        }
        let whole = transfer.whole;
        let last = transfer.slots.is_empty().then(|| transfer.knowledge.clone());
        link.parts += 1;
        let covers = last.as_ref().map(|knowledge| knowledge.vector.clone());
        link.in_flight = Some(InFlight { number: link.parts, since: now.steady, covers });
        if last.is_some() {
            link.transfer = None;
            link.not_before = now.steady + RESEND;
        }
        let number = link.parts;
        self.send(now, id, Message::Part(Part { number, whole, entries, last }), host);
    }

    fn send(&mut self, now: Now, id: LinkId, message: Message, host: &mut impl Host) {
        let bytes = message.size();
        self.spent.push_back((now.steady, bytes));
        self.counts.bytes += bytes as u64;
        host.send(id, message);
    }

    /// Bytes that may still be sent in this second.
    fn room(&mut self, now: Nanos) -> usize {
        while self.spent.front().is_some_and(|(at, _)| at + SECOND <= now) {
            self.spent.pop_front();
        }
        let spent: usize = self.spent.iter().map(|(_, bytes)| bytes).sum();
        self.terms.bytes_per_second.max(2 * LEAST_PART).saturating_sub(spent)
    }

    fn keep(&mut self, now: Now, host: &mut impl Host) {
        let regularly = self.disk.wrote.map_or(now.steady, |wrote| wrote + KEEP[1]);
        let due = self.disk.due.unwrap_or(Nanos::MAX).min(regularly);
        if self.disk.writing || now.steady < due {
            return;
        }
        self.disk = Disk { writing: true, wrote: Some(now.steady), due: None };
        host.keep(self.kept_copy());
    }

    /// What goes to disk.
    pub fn kept_copy(&self) -> Kept {
        Kept {
            name: self.terms.me.name.clone(),
            as_of: self.as_of,
            entries: self.map.entries().collect(),
            vector: self.map.vector.clone(),
            horizon: self.map.horizon.clone(),
            remembered: self.map.remembered().collect(),
            seen_elsewhere: self.seen_elsewhere.clone(),
        }
    }

    /// The disk has what was last given to it.
    pub fn kept(&mut self, now: Now, host: &mut impl Host) {
        self.disk.writing = false;
        self.tick(now, host);
    }

    /// When `tick` wants to be called next, at the latest; anything that happens may move it.
    pub fn due(&self) -> Nanos {
        let linked: BTreeSet<&str> = self.links.values().map(|link| link.peer.as_str()).collect();
        let lacks = self.dialled() < self.peers.wanted() && linked.len() < self.terms.peers.len();
        let keep = match (self.disk.writing, self.disk.wrote) {
            (true, _) => Nanos::MAX,
            (false, wrote) => {
                self.disk.due.unwrap_or(Nanos::MAX).min(wrote.map_or(0, |wrote| wrote + KEEP[1]))
            }
        };
        let links = self.links.values().map(|link| self.link_due(link)).min().unwrap_or(Nanos::MAX);
        self.peers.due(lacks).min(keep).min(links).min(self.sweep_at)
    }

    fn link_due(&self, link: &Link) -> Nanos {
        let stalled = link.in_flight.as_ref().map(|in_flight| in_flight.since + STALLED);
        // The next part waits for room: that is when the oldest bytes of the second are a second old.
        let waits = link.transfer.is_some() && link.in_flight.is_none();
        let room = waits.then(|| self.spent.front().map_or(0, |(at, _)| at + SECOND));
        // What else is lacked goes out at once; a whole copy is not sent again at once.
        let idle = link.transfer.is_none() && link.in_flight.is_none();
        let resend = (idle && self.misses_dropped(link)).then_some(link.not_before.max(link.refused_until));
        let lacks = idle && !link.covers.covers_all(&self.map.vector) && !self.misses_dropped(link);
        let refused = (lacks && link.refused_until > 0).then_some(link.refused_until);
        let repair = link.differs_since.filter(|_| idle && !lacks).map(|since| since + REPAIR);
        let repair = repair.map(|at| at.max(link.not_before).max(link.refused_until));
        let next = [stalled, room, resend, refused, repair].into_iter().flatten().min().unwrap_or(Nanos::MAX);
        next.min(link.say_at).min(link.beat_at)
    }

    fn knowledge(&self) -> Knowledge {
        Knowledge { vector: self.map.vector.clone(), horizon: self.map.horizon.clone() }
    }

    fn own_summary(&self) -> Summary {
        Summary { knowledge: self.knowledge(), digest: self.map.digest() }
    }

    /// Equal where orders and knowledge are.
    pub fn digest(&self) -> u64 {
        digest_of(&(&self.map.vector, self.map.digest()))
    }

    /// The orders that it has.
    pub fn map(&self) -> &Map {
        &self.map
    }

    /// What it shows of itself.
    pub fn status(&self, now: Now) -> Status {
        let out = self.applied.iter().filter(|(_, service)| **service == Service::Out);
        let linked: BTreeSet<String> = self.links.values().map(|link| link.peer.clone()).collect();
        let differing: BTreeSet<String> =
            self.links.values().filter(|link| !link.equal).map(|link| link.peer.clone()).collect();
        Status {
            name: self.terms.me.name.clone(),
            out: out.map(|(node, _)| node.clone()).collect(),
            orders: self.map.len() as u64,
            vector: self.map.vector.clone(),
            digest: self.digest(),
            age: (self.as_of > 0).then(|| now.unix.saturating_sub(self.as_of)),
            linked: linked.into_iter().collect(),
            differing: differing.into_iter().collect(),
            bytes_sent: self.counts.bytes,
            future: self.counts.future,
            conflicts: self.counts.conflicts,
            doubtful: self.doubtful.clone(),
        }
    }
}
