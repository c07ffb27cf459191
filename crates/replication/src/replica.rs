//! One replica: its copy of the orders, when it dials peers and when it writes to disk. The submodule
//! `receiving` handles messages from peers, `sending` produces messages to them.

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

/// After a change a heartbeat is sent on each link with this delay; by then the orders themselves have
/// arrived.
const HEARTBEAT_AFTER_CHANGE: Nanos = SECOND;
/// The minimum time between two writes to disk, and the maximum time, which applies if no order changes.
const PERSIST_INTERVAL: [Nanos; 2] = [250 * MILLISECOND, 10 * SECOND];
/// How often expired orders are dropped.
const EXPIRY_CHECK_INTERVAL: Nanos = SECOND;
/// The maximum number of links dialled by peers; further ones are closed.
const MAX_ACCEPTED_LINKS: usize = 64;

/// The current time on both clocks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Now {
    /// A clock that never steps back; durations are measured with it.
    pub monotonic: Nanos,
    /// Unix time, used for stamps.
    pub unix: Nanos,
}

/// The identity and the limits of a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaConfig {
    /// The identity of this start of the process.
    pub id: ReplicaId,
    /// The names of all other replicas of the group.
    pub peers: Vec<String>,
    /// The number of links that the replica dials.
    pub target_links: usize,
    /// How long an order that puts a node back into service is kept.
    pub retention: Nanos,
    /// How far a stamp may be ahead of the local clock.
    pub max_clock_skew: Nanos,
    /// The limit of bytes sent to all peers together in any second; chunks wait for it, other messages only
    /// count towards it.
    pub bytes_per_second: usize,
    /// The limit of bytes of entries in one chunk; a single entry may exceed it.
    pub chunk_bytes: usize,
}

/// An event that the process should log or count.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Report {
    /// A stamp is too far ahead of the local clock, by `ahead`. Reported once for each issuer.
    FutureStamp { entry: Entry, ahead: Nanos },
    /// An order has a known stamp with other contents.
    Conflict { entry: Entry },
    /// The peer sent a full copy, because this copy lacked orders that the peer had already dropped or had a
    /// different digest for too long. `superseded` orders were dropped because of it.
    StaleCopy { peer: String, superseded: usize },
    /// This copy, which had been disconnected, has an order older than the retention that the peer does not
    /// cover. Whether it has been superseded cannot be determined.
    PossiblySuperseded { entry: Entry },
    /// The snapshot from disk is not used.
    SnapshotIgnored { reason: String },
}

/// The effects that a replica requests from the process that drives it.
pub trait Host {
    /// Dials a peer. The result is passed to [`Replica::link_up`] or [`Replica::dial_failed`].
    fn dial(&mut self, peer: &str);
    /// Sends a message over a link.
    fn send(&mut self, link: LinkId, message: Message);
    /// Closes a link. [`Replica::link_down`] is not called for it.
    fn close(&mut self, link: LinkId);
    /// The state of the node is this from now on.
    fn apply(&mut self, node: &str, service: ServiceState);
    /// Writes a snapshot to disk. [`Replica::persisted`] is called once it is synced; no other snapshot is
    /// written before that.
    fn persist(&mut self, snapshot: Snapshot);
    /// Logs or counts an event.
    fn report(&mut self, report: Report);
    /// A random number between 0 and 1.
    fn random(&mut self) -> f64;
}

/// The schedule of writes to disk, on the monotonic clock.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Persistence {
    write_in_progress: bool,
    last_write_started: Option<Nanos>,
    due: Option<Nanos>,
}

/// Counters shown in the status.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Counters {
    future_stamps: u64,
    conflicts: u64,
    bytes_sent: u64,
}

/// One process's copy of the orders, and its part in replicating them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Replica {
    config: ReplicaConfig,
    map: OrderMap,
    /// The state that the host was told of, for each node with orders.
    applied: BTreeMap<String, ServiceState>,
    links: BTreeMap<LinkId, Link>,
    peers: Peers,
    /// The orders that other replicas are known to cover.
    seen_elsewhere: VersionVector,
    /// Unix time when a message of another replica was last received; 0 if never.
    as_of: Nanos,
    /// Orders that may have been superseded while this replica was disconnected; see
    /// [`Report::PossiblySuperseded`].
    possibly_superseded: Vec<Entry>,
    /// Issuers whose stamps in the future have been reported.
    future_stamp_issuers: BTreeSet<ReplicaId>,
    persistence: Persistence,
    expiry_check_at: Nanos,
    /// The messages sent in the last second: when, and how many bytes.
    recent_sends: VecDeque<(Nanos, usize)>,
    counters: Counters,
}

impl Replica {
    /// Starts from the snapshot that was on disk, and applies the states of its nodes at once. A snapshot of
    /// another replica is reported and not used.
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
            host.report(Report::SnapshotIgnored {
                reason: format!("it belongs to replica {}", snapshot.name),
            });
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

    /// Issues an operator's order at this replica. Returns why it is refused; see [`Refusal`].
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

    /// A link came up, dialled by this replica or by the peer.
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

    /// Closes the oldest dialled link if there are more than the target. That is the case after one more was
    /// dialled to replace it.
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

    /// The dial in progress failed.
    pub fn dial_failed(&mut self, now: Now, host: &mut impl Host) {
        self.peers.dial_failed(now.monotonic, host.random());
        self.tick(now, host);
    }

    /// A link went down.
    pub fn link_down(&mut self, now: Now, link: LinkId, host: &mut impl Host) {
        self.links.remove(&link);
        self.tick(now, host);
    }

    /// The orders have changed: applies the states of nodes, and schedules heartbeats to peers and a write to
    /// disk.
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

    /// Tells the host the nodes whose state has changed. A node without orders is in service.
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

    /// Does what is due: drops expired orders, dials, sends messages and writes to disk. Called when time has
    /// passed and after each event.
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

    /// The state to be written to disk.
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

    /// The last snapshot passed to [`Host::persist`] has been synced to disk.
    pub fn persisted(&mut self, now: Now, host: &mut impl Host) {
        self.persistence.write_in_progress = false;
        self.tick(now, host);
    }

    /// When `tick` must be called next at the latest, on the monotonic clock. Any event may change it.
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

    /// A hash that is equal for replicas with equal orders and vectors.
    pub fn digest(&self) -> u64 {
        stable_hash(&(&self.map.vector, self.map.digest()))
    }

    /// The orders that the replica keeps.
    pub fn map(&self) -> &OrderMap {
        &self.map
    }

    /// The status for operators.
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
