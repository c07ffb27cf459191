//! One replica: its copy of the orders, when it dials and when it writes to disk. What comes over its links is in
//! `receiving`, what goes out in `sending`.

mod receiving;
mod sending;

use crate::fault_injection::{Fault, is_injected};
use crate::link::{Link, LinkId};
use crate::map::{OrderMap, Snapshot, stable_hash};
use crate::message::Message;
use crate::order::{Entry, Lease, Refusal, ReplicaId, ServiceState};
use crate::peers::Peers;
use crate::status::Status;
use crate::vector::VersionVector;
use crate::{MILLISECOND, Nanos, SECOND};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// A change is followed by a heartbeat on each link after this: the orders themselves have come by then.
const HEARTBEAT_AFTER_CHANGE: Nanos = SECOND;
/// The copy goes to disk this soon after the last time, and without orders as late as the other.
const PERSIST_INTERVAL: [Nanos; 2] = [250 * MILLISECOND, 10 * SECOND];
/// Expired orders are looked for this often.
const EXPIRY_CHECK_INTERVAL: Nanos = SECOND;
/// Links that others may have dialled; more are closed.
const MAX_ACCEPTED_LINKS: usize = 64;

/// Both clocks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Now {
    /// Never steps back; spans are measured by it.
    pub monotonic: Nanos,
    /// Unix time, for stamps.
    pub unix: Nanos,
}

/// What a replica is, and its limits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaConfig {
    pub id: ReplicaId,
    /// All others of the group.
    pub peers: Vec<String>,
    /// Links that it keeps to peers of its choice.
    pub target_links: usize,
    /// An order that puts a node back is kept for so long.
    pub retention: Nanos,
    /// A stamp may be so far ahead of this replica's clock.
    pub max_clock_skew: Nanos,
    /// To all peers together, in any second.
    pub bytes_per_second: usize,
    /// In one part.
    pub chunk_bytes: usize,
}

/// What the process should log or count.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Report {
    /// A stamp is too far ahead; said once an origin.
    FutureStamp { entry: Entry, ahead: Nanos },
    /// One stamp with two contents.
    Conflict { entry: Entry },
    /// This copy missed orders that this peer has dropped since; so many of its own had ended by them.
    StaleCopy { peer: String, superseded: usize },
    /// An order older than ended ones are remembered, of a copy that was away: whether it had ended can't be told.
    PossiblySuperseded { entry: Entry },
    /// The disk's copy is not used.
    SnapshotIgnored { reason: String },
}

/// What a replica asks of the process that it lives in.
pub trait Host {
    /// Dials a peer; comes back as `link_up` or `dial_failed`.
    fn dial(&mut self, peer: &str);
    fn send(&mut self, link: LinkId, message: Message);
    /// Ends a link; nothing comes back for it.
    fn close(&mut self, link: LinkId);
    /// From now on this holds for the node.
    fn apply(&mut self, node: &str, service: ServiceState);
    /// To disk; comes back as `kept` once it is synced, and none is asked for before.
    fn persist(&mut self, snapshot: Snapshot);
    fn report(&mut self, report: Report);
    /// Between 0 and 1.
    fn random(&mut self) -> f64;
}

/// When the disk is written.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Persistence {
    write_in_progress: bool,
    last_write_started: Option<Nanos>,
    due: Option<Nanos>,
}

#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Counters {
    future_stamps: u64,
    conflicts: u64,
    bytes_sent: u64,
}

/// One process's copy of the orders, and its part in bringing it to the others.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Replica {
    config: ReplicaConfig,
    map: OrderMap,
    /// What holds for each node that orders are known for.
    applied: BTreeMap<String, ServiceState>,
    links: BTreeMap<LinkId, Link>,
    peers: Peers,
    /// What others are known to cover.
    seen_elsewhere: VersionVector,
    /// Unix time when another was heard last.
    as_of: Nanos,
    possibly_superseded: Vec<Entry>,
    future_stamp_issuers: BTreeSet<ReplicaId>,
    persistence: Persistence,
    expiry_check_at: Nanos,
    /// Bytes sent in the last second, and when.
    recent_sends: VecDeque<(Nanos, usize)>,
    counters: Counters,
}
impl Replica {
    /// From what was on the disk; what holds by it is applied at once.
    pub fn start(
        now: Now,
        mut config: ReplicaConfig,
        snapshot: Option<Snapshot>,
        host: &mut impl Host,
    ) -> Replica {
        if is_injected(Fault::ReusesIncarnation) {
            config.id.incarnation = 1;
        }
        let other_replica = snapshot.as_ref().filter(|snapshot| snapshot.name != config.id.name);
        if let Some(snapshot) = other_replica {
            host.report(Report::SnapshotIgnored { reason: format!("it is {}'s", snapshot.name) });
        }
        let snapshot = snapshot.filter(|snapshot| snapshot.name == config.id.name).unwrap_or_default();
        let random = host.random();
        let mut replica = Replica {
            map: OrderMap::from_snapshot(&snapshot),
            applied: BTreeMap::new(),
            links: BTreeMap::new(),
            peers: Peers::new(now.monotonic, config.peers.clone(), config.target_links, random),
            seen_elsewhere: snapshot.seen_elsewhere,
            as_of: snapshot.as_of,
            possibly_superseded: Vec::new(),
            future_stamp_issuers: BTreeSet::new(),
            persistence: Persistence::default(),
            expiry_check_at: now.monotonic,
            recent_sends: VecDeque::new(),
            counters: Counters::default(),
            config,
        };
        if is_injected(Fault::ReusesIncarnation) {
            replica.map.vector = VersionVector::default();
        }
        replica.apply_changes(host);
        replica.tick(now, host);
        replica
    }

    /// An operator's order, given at this process.
    pub fn issue(
        &mut self,
        now: Now,
        node: &str,
        service: ServiceState,
        lease: Option<Lease>,
        host: &mut impl Host,
    ) -> Result<Entry, Refusal> {
        let entry = self.map.issue(now.unix, &self.config.id, node, service, lease)?;
        self.on_change(now, host);
        self.tick(now, host);
        Ok(entry)
    }

    /// A link came up, dialled here or by the peer.
    pub fn link_up(&mut self, now: Now, link: LinkId, peer: &str, dialled: bool, host: &mut impl Host) {
        if dialled {
            self.peers.dial_succeeded(peer);
        }
        let accepted = self.links.values().filter(|link| !link.dialled).count();
        if !dialled && accepted >= MAX_ACCEPTED_LINKS {
            return host.close(link);
        }
        self.links.insert(link, Link::new(now.monotonic, peer, dialled));
        self.close_surplus_link(host);
        self.tick(now, host);
    }

    /// One more than wanted was dialled so that another takes its place: the one that is there longest goes.
    fn close_surplus_link(&mut self, host: &mut impl Host) {
        if !self.peers.exceeds_target(self.dialled_links()) {
            return;
        }
        let dialled = self.links.iter().filter(|(_, link)| link.dialled);
        let oldest = dialled.min_by_key(|(id, link)| (link.established_at, **id)).map(|(id, _)| *id);
        if let Some(oldest) = oldest {
            self.links.remove(&oldest);
            host.close(oldest);
        }
    }

    /// A dial came to nothing.
    pub fn dial_failed(&mut self, now: Now, host: &mut impl Host) {
        self.peers.dial_failed(now.monotonic, host.random());
        self.tick(now, host);
    }

    /// A link ended.
    pub fn link_down(&mut self, now: Now, link: LinkId, host: &mut impl Host) {
        self.links.remove(&link);
        self.tick(now, host);
    }

    /// What is known has changed: what holds is applied, peers are told, the disk is written.
    fn on_change(&mut self, now: Now, host: &mut impl Host) {
        self.apply_changes(host);
        let due = self
            .persistence
            .last_write_started
            .map_or(now.monotonic, |started| now.monotonic.max(started + PERSIST_INTERVAL[0]));
        self.persistence.due = Some(self.persistence.due.map_or(due, |other| other.min(due)));
        for link in self.links.values_mut() {
            link.heartbeat_due = link.heartbeat_due.min(now.monotonic + HEARTBEAT_AFTER_CHANGE);
        }
    }

    fn apply_changes(&mut self, host: &mut impl Host) {
        let mut nodes = self.map.nodes();
        nodes.extend(self.applied.keys().cloned());
        for node in nodes {
            let service = self.map.effective_state(&node);
            let before = self.applied.get(&node).copied();
            let known = service.unwrap_or(ServiceState::In);
            if before.unwrap_or(ServiceState::In) != known {
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
        if now.monotonic >= self.expiry_check_at {
            self.expiry_check_at = now.monotonic + EXPIRY_CHECK_INTERVAL;
            if self.map.drop_expired(now.unix, self.config.retention) > 0 {
                self.on_change(now, host);
            }
        }
        self.dial_if_due(now, host);
        let digest = self.digest();
        for id in self.links.keys().copied().collect::<Vec<_>>() {
            self.send_due_messages(now, id, digest, host);
        }
        self.persist_if_due(now, host);
    }

    fn dial_if_due(&mut self, now: Now, host: &mut impl Host) {
        let linked: BTreeSet<&str> = self.links.values().map(|link| link.peer.as_str()).collect();
        let dialled = self.dialled_links();
        let chosen = self.peers.choose(now.monotonic, &linked, dialled, &mut || host.random());
        if let Some(peer) = chosen {
            host.dial(&peer);
        }
    }

    fn dialled_links(&self) -> usize {
        self.links.values().filter(|link| link.dialled).count()
    }

    fn persist_if_due(&mut self, now: Now, host: &mut impl Host) {
        let periodic = self
            .persistence
            .last_write_started
            .map_or(now.monotonic, |started| started + PERSIST_INTERVAL[1]);
        let due = self.persistence.due.unwrap_or(Nanos::MAX).min(periodic);
        if self.persistence.write_in_progress || now.monotonic < due {
            return;
        }
        self.persistence =
            Persistence { write_in_progress: true, last_write_started: Some(now.monotonic), due: None };
        host.persist(self.snapshot());
    }

    /// What goes to disk.
    pub fn snapshot(&self) -> Snapshot {
        Snapshot {
            name: self.config.id.name.clone(),
            as_of: self.as_of,
            entries: self.map.entries().collect(),
            vector: self.map.vector.clone(),
            gc_horizon: self.map.gc_horizon.clone(),
            recently_dropped: self.map.recently_dropped().collect(),
            seen_elsewhere: self.seen_elsewhere.clone(),
        }
    }

    /// The disk has what was last given to it.
    pub fn persisted(&mut self, now: Now, host: &mut impl Host) {
        self.persistence.write_in_progress = false;
        self.tick(now, host);
    }

    /// When `tick` wants to be called next, at the latest; anything that happens may move it.
    pub fn next_deadline(&self) -> Nanos {
        let linked: BTreeSet<&str> = self.links.values().map(|link| link.peer.as_str()).collect();
        let below_target =
            self.dialled_links() < self.peers.target_links() && linked.len() < self.config.peers.len();
        let persist = match (self.persistence.write_in_progress, self.persistence.last_write_started) {
            (true, _) => Nanos::MAX,
            (false, last_write_started) => self
                .persistence
                .due
                .unwrap_or(Nanos::MAX)
                .min(last_write_started.map_or(0, |started| started + PERSIST_INTERVAL[1])),
        };
        let links = self.links.values().map(|link| self.link_deadline(link)).min().unwrap_or(Nanos::MAX);
        self.peers.next_deadline(below_target).min(persist).min(links).min(self.expiry_check_at)
    }

    /// Equal where orders and knowledge are.
    pub fn digest(&self) -> u64 {
        stable_hash(&(&self.map.vector, self.map.digest()))
    }

    /// The orders that it has.
    pub fn map(&self) -> &OrderMap {
        &self.map
    }

    /// What it shows of itself.
    pub fn status(&self, now: Now) -> Status {
        let out_of_service = self.applied.iter().filter(|(_, service)| **service == ServiceState::Out);
        let linked: BTreeSet<String> = self.links.values().map(|link| link.peer.clone()).collect();
        let differing: BTreeSet<String> =
            self.links.values().filter(|link| !link.digests_equal).map(|link| link.peer.clone()).collect();
        Status {
            name: self.config.id.name.clone(),
            out_of_service: out_of_service.map(|(node, _)| node.clone()).collect(),
            order_count: self.map.len() as u64,
            vector: self.map.vector.clone(),
            digest: self.digest(),
            last_heard_age: (self.as_of > 0).then(|| now.unix.saturating_sub(self.as_of)),
            linked_peers: linked.into_iter().collect(),
            differing_peers: differing.into_iter().collect(),
            bytes_sent: self.counters.bytes_sent,
            future_stamps: self.counters.future_stamps,
            conflicts: self.counters.conflicts,
            possibly_superseded: self.possibly_superseded.clone(),
        }
    }
}
