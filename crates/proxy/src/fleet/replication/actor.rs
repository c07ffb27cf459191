//! The replica actor. It owns the replica, and drives it with the fleet's monotonic clock and the machine's
//! clock.

use crate::fleet::drive::{self, drive};
use crate::fleet::local_process::{LocalProcess, random_id, unix_time};
use crate::fleet::replication::config::ReplicationConfig;
use crate::fleet::replication::handle::{Event, Handle, NewOrder, ServiceStates};
use crate::fleet::replication::{ActorContext, disk, links};
use crate::fleet::wire::Frame;
use pumicebay_replication::{
    Action, ActionQueue, Entry, LinkId, Message, Nanos, Now, Refusal, Replica, ReplicaConfig, ReplicaId,
    Report, SECOND, ServiceState, Snapshot, Stamp, Status,
};
use std::collections::HashMap;
use std::sync::Arc;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::spawn_blocking;
use tokio::time::Instant;

/// The maximum time by which the stamp of an order may be ahead of this machine's clock. Nanoseconds.
const MAX_CLOCK_SKEW: Nanos = 60 * SECOND;
/// The size of one part of a transfer, in bytes.
const CHUNK_BYTES: usize = 1024;
/// The actor ticks at least this often. Nanoseconds.
const MAX_TICK_INTERVAL: Nanos = SECOND;

/// An issued order whose caller waits until it is on disk.
struct PendingOrder {
    stamp: Stamp,
    persisted: oneshot::Sender<()>,
}

struct Actor {
    me: LocalProcess,
    config: Arc<ReplicationConfig>,
    handle: Handle,
    replica: Replica,
    actions: ActionQueue,
    links: HashMap<LinkId, mpsc::Sender<Message>>,
    states: ServiceStates,
    states_sender: watch::Sender<ServiceStates>,
    snapshot_sender: Option<watch::Sender<Option<Snapshot>>>,
    pending_orders: Vec<PendingOrder>,
}

/// The current time by the fleet's monotonic clock and by the machine's clock.
fn read_clocks(me: &LocalProcess) -> Now {
    Now { monotonic: me.clock.now(), unix: unix_time().as_nanos() as u64 }
}

/// Loads the replica's copy from the disk, if there is one, and runs the actor until the process ends.
pub async fn run(
    me: LocalProcess,
    config: Arc<ReplicationConfig>,
    context: ActorContext,
    snapshot_sender: Option<watch::Sender<Option<Snapshot>>>,
) {
    let snapshot = match config.folder.clone() {
        Some(folder) => {
            let name = me.id.name.clone();
            spawn_blocking(move || disk::read(&folder, &name)).await.ok().flatten()
        }
        None => None,
    };
    let now = read_clocks(&me);
    if let Some(snapshot) = &snapshot {
        let age = now.unix.saturating_sub(snapshot.as_of) as f64 / 1e9;
        tracing::info!(
            "replication: starts with {} orders from disk, as of {age:.1} s ago",
            snapshot.entries.len()
        );
    }
    let mut actions = ActionQueue::new(random_id());
    let replica_config = ReplicaConfig {
        id: ReplicaId { name: me.id.name.clone(), incarnation: random_id() },
        peers: config.peers.keys().filter(|name| **name != me.id.name).cloned().collect(),
        target_links: config.target_links,
        retention: config.retention.as_nanos() as u64,
        max_clock_skew: MAX_CLOCK_SKEW,
        bytes_per_second: config.bytes_per_second,
        chunk_bytes: CHUNK_BYTES,
    };
    let replica = Replica::start(now, replica_config, snapshot, &mut actions);
    let ActorContext { handle, events, states_sender, .. } = context;
    let mut actor = Actor {
        me,
        config,
        handle,
        replica,
        actions,
        links: HashMap::new(),
        states: ServiceStates::default(),
        states_sender,
        snapshot_sender,
        pending_orders: Vec::new(),
    };
    actor.execute_actions();
    drive(actor, events).await;
}

impl drive::Actor for Actor {
    type Event = Event;

    fn wake_at(&self) -> Instant {
        let due = self.replica.next_deadline().min(self.me.clock.now() + MAX_TICK_INTERVAL);
        Instant::now() + self.me.clock.until(due)
    }

    fn handle_event(&mut self, event: Event) {
        let now = read_clocks(&self.me);
        match event {
            Event::LinkUp { link, peer, dialled, mailbox } => {
                self.links.insert(link, mailbox);
                self.replica.link_up(now, link, &peer, dialled, &mut self.actions);
            }
            Event::MessageReceived { link, message } if self.links.contains_key(&link) => {
                self.replica.receive(now, link, message, &mut self.actions);
            }
            Event::LinkDown { link } if self.links.remove(&link).is_some() => {
                self.replica.link_down(now, link, &mut self.actions);
            }
            // Events of a link that was already closed here.
            Event::MessageReceived { .. } | Event::LinkDown { .. } => {}
            Event::DialFailed => self.replica.dial_failed(now, &mut self.actions),
            Event::Persisted(snapshot) => self.snapshot_persisted(now, &snapshot),
            Event::Issue { order, answer, persisted } => self.issue(now, order, answer, persisted),
            Event::StatusFrame { answer } => {
                let status = Frame::ReplicationStatus(Box::new(self.status(now)));
                let _ = answer.try_send(status);
            }
            Event::Status { answer } => _ = answer.send(self.status(now)),
        }
        self.execute_actions();
    }

    fn tick(&mut self) {
        let now = read_clocks(&self.me);
        self.replica.tick(now, &mut self.actions);
        self.execute_actions();
    }
}

impl Actor {
    fn issue(
        &mut self,
        now: Now,
        order: NewOrder,
        answer: oneshot::Sender<Result<Stamp, Refusal>>,
        persisted: oneshot::Sender<()>,
    ) {
        let NewOrder { node, service, lease } = order;
        let issued = self.replica.issue(now, &node, service, lease, &mut self.actions);
        let stamp = issued.map(|Entry { order, .. }| order.stamp);
        match (&stamp, &self.snapshot_sender) {
            (Ok(stamp), Some(_)) => {
                self.pending_orders.push(PendingOrder { stamp: stamp.clone(), persisted })
            }
            // Without a disk the order is only kept in memory, so there is nothing to wait for.
            _ => _ = persisted.send(()),
        }
        let _ = answer.send(stamp);
    }

    fn snapshot_persisted(&mut self, now: Now, snapshot: &Snapshot) {
        let is_persisted = |pending: &mut PendingOrder| snapshot.vector.covers(&pending.stamp);
        for PendingOrder { persisted, .. } in self.pending_orders.extract_if(.., is_persisted) {
            let _ = persisted.send(());
        }
        self.pending_orders.retain(|pending| !pending.persisted.is_closed());
        self.replica.persisted(now, &mut self.actions);
    }

    /// The status of the replica. Its orders count only once they are applied in the serving process, so
    /// until then the vector is empty.
    fn status(&self, now: Now) -> Status {
        let mut status = self.replica.status(now);
        if self.handle.applied_revision() < self.states.revision {
            status.vector = Default::default();
        }
        status
    }

    /// Executes the queued actions until the queue is empty.
    fn execute_actions(&mut self) {
        let mut changed = false;
        while let Some(action) = self.actions.actions.pop_front() {
            match action {
                Action::Dial(peer) => links::dial(&self.me, &self.config, &self.handle, &peer),
                Action::Send(link, message) => self.send(link, message),
                Action::Close(link) => _ = self.links.remove(&link),
                Action::Apply(node, service) => {
                    tracing::info!("replication: service state of {node} is now {service:?}");
                    self.states.by_node.insert(node, service);
                    changed = true;
                }
                // Without a disk, `persisted` is never reported, so the replica requests no further writes.
                Action::Persist(snapshot) => {
                    if let Some(snapshot_sender) = &self.snapshot_sender {
                        snapshot_sender.send_replace(Some(snapshot));
                    }
                }
                Action::Report(report) => log_report(&report),
            }
        }
        if changed {
            self.states.revision += 1;
            self.states_sender.send_replace(self.states.clone());
        }
    }

    fn send(&mut self, link: LinkId, message: Message) {
        let is_full = |sender: &mpsc::Sender<Message>| sender.try_send(message).is_err();
        if self.links.get(&link).is_some_and(is_full) {
            // The peer does not read its messages; treat the link as down.
            self.links.remove(&link);
            let now = read_clocks(&self.me);
            self.replica.link_down(now, link, &mut self.actions);
        }
    }
}

fn log_report(report: &Report) {
    match report {
        Report::FutureStamp { entry, ahead } => tracing::error!(
            "replication: order from {} for {} refused: its stamp is {:.1} s ahead of this machine's clock",
            entry.order.stamp.issuer.name,
            entry.slot.node,
            *ahead as f64 / 1e9
        ),
        Report::Conflict { entry } => tracing::error!(
            "replication: two different orders from {} for {} have the same stamp; a disk was copied or data \
             is corrupt",
            entry.order.stamp.issuer.name,
            entry.slot.node
        ),
        Report::StaleCopy { peer, superseded } => {
            tracing::warn!(
                "replication: this copy was out of date; according to {peer}, {superseded} of its orders were \
                 superseded"
            );
        }
        Report::PossiblySuperseded { entry } => tracing::warn!(
            "replication: order {} of service for {} from {} is older than the retention and may have been \
             superseded; it stays in force, please check it",
            match entry.order.service {
                ServiceState::Out => "out",
                ServiceState::In => "in",
            },
            entry.slot.node,
            entry.order.stamp.issuer.name
        ),
        Report::SnapshotIgnored { reason } => {
            tracing::error!("replication: the copy on disk is not used: {reason}")
        }
    }
}
