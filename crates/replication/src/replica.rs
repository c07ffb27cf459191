//! One replica: its copy of the orders, when it dials and when it writes to disk. What comes over its links is in
//! `receiving`, what goes out in `sending`.

mod receiving;
mod sending;

use crate::link::{Link, LinkId};
use crate::map::{Kept, Map, digest_of};
use crate::message::Message;
use crate::order::{Entry, Lease, Origin, Refusal, Service};
use crate::peers::Peers;
use crate::planted::{Fault, planted};
use crate::status::Status;
use crate::vector::Vector;
use crate::{MILLISECOND, Nanos, SECOND};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// A change is followed by a heartbeat on each link after this: the orders themselves have come by then.
const SETTLED: Nanos = SECOND;
/// The copy goes to disk this soon after the last time, and without orders as late as the other.
const KEEP: [Nanos; 2] = [250 * MILLISECOND, 10 * SECOND];
/// Expired orders are looked for this often.
const SWEEP: Nanos = SECOND;
/// Links that others may have dialled; more are closed.
const MOST_TAKEN: usize = 64;

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
        let digest = self.digest();
        for id in self.links.keys().copied().collect::<Vec<_>>() {
            self.serve(now, id, digest, host);
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
