//! The replica's actor: it owns the replica and drives it with the fleet's clock and the machine's.

use crate::fleet::drive::{self, drive};
use crate::fleet::local_process::{LocalProcess, random_id, unix_time};
use crate::fleet::replication::config::ReplicationConfig;
use crate::fleet::replication::handle::{Event, Handle, Order, Ordered};
use crate::fleet::replication::{Parts, disk, links};
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

/// A stamp may be so far ahead of this machine's clock.
const MOST_AHEAD: Nanos = 60 * SECOND;
/// In one part of a transfer.
const PART_BYTES: usize = 1024;
/// The replica is looked at this often at the least.
const LOOK: Nanos = SECOND;

/// An order whose giver waits until it is on disk.
struct Waiting {
    stamp: Stamp,
    on_disk: oneshot::Sender<()>,
}

struct Actor {
    me: LocalProcess,
    config: Arc<ReplicationConfig>,
    handle: Handle,
    replica: Replica,
    acts: ActionQueue,
    links: HashMap<LinkId, mpsc::Sender<Message>>,
    ordered: Ordered,
    tell: watch::Sender<Ordered>,
    keep: Option<watch::Sender<Option<Snapshot>>>,
    waiting: Vec<Waiting>,
}

/// By both clocks.
fn now(me: &LocalProcess) -> Now {
    Now { monotonic: me.clock.now(), unix: unix_time().as_nanos() as u64 }
}

/// Runs as long as the process lives.
pub async fn run(
    me: LocalProcess,
    config: Arc<ReplicationConfig>,
    parts: Parts,
    keep: Option<watch::Sender<Option<Snapshot>>>,
) {
    let kept = match config.folder.clone() {
        Some(folder) => {
            let name = me.id.name.clone();
            spawn_blocking(move || disk::read(&folder, &name)).await.ok().flatten()
        }
        None => None,
    };
    let now = now(&me);
    if let Some(kept) = &kept {
        let age = now.unix.saturating_sub(kept.as_of) as f64 / 1e9;
        tracing::info!("replication: starts with {} orders as of {age:.1} s ago", kept.entries.len());
    }
    let mut acts = ActionQueue::new(random_id());
    let terms = ReplicaConfig {
        id: ReplicaId { name: me.id.name.clone(), incarnation: random_id() },
        peers: config.peers.keys().filter(|name| **name != me.id.name).cloned().collect(),
        target_links: config.links,
        retention: config.retention.as_nanos() as u64,
        max_clock_skew: MOST_AHEAD,
        bytes_per_second: config.bytes_per_second,
        chunk_bytes: PART_BYTES,
    };
    let replica = Replica::start(now, terms, kept, &mut acts);
    let Parts { handle, events, tell, .. } = parts;
    let mut actor = Actor {
        me,
        config,
        handle,
        replica,
        acts,
        links: HashMap::new(),
        ordered: Ordered::default(),
        tell,
        keep,
        waiting: Vec::new(),
    };
    actor.carry_out();
    drive(actor, events).await;
}

impl drive::Actor for Actor {
    type Event = Event;

    fn wake_at(&self) -> Instant {
        let due = self.replica.next_deadline().min(self.me.clock.now() + LOOK);
        Instant::now() + self.me.clock.until(due)
    }

    fn handle_event(&mut self, event: Event) {
        let now = now(&self.me);
        match event {
            Event::LinkUp { link, peer, dialled, mailbox } => {
                self.links.insert(link, mailbox);
                self.replica.link_up(now, link, &peer, dialled, &mut self.acts);
            }
            Event::Heard { link, message } if self.links.contains_key(&link) => {
                self.replica.receive(now, link, message, &mut self.acts);
            }
            Event::LinkDown { link } if self.links.remove(&link).is_some() => {
                self.replica.link_down(now, link, &mut self.acts);
            }
            // Of a link that was closed here.
            Event::Heard { .. } | Event::LinkDown { .. } => {}
            Event::DialFailed => self.replica.dial_failed(now, &mut self.acts),
            Event::Kept(kept) => self.kept(now, &kept),
            Event::Give { order, answer, on_disk } => self.give(now, order, answer, on_disk),
            Event::Status { answer } => {
                let status = Frame::ReplicationStatus(Box::new(self.status(now)));
                let _ = answer.try_send(status);
            }
            Event::Show { answer } => _ = answer.send(self.status(now)),
        }
        self.carry_out();
    }

    fn tick(&mut self) {
        let now = now(&self.me);
        self.replica.tick(now, &mut self.acts);
        self.carry_out();
    }
}

impl Actor {
    fn give(
        &mut self,
        now: Now,
        order: Order,
        answer: oneshot::Sender<Result<Stamp, Refusal>>,
        on_disk: oneshot::Sender<()>,
    ) {
        let Order { node, service, lease } = order;
        let given = self.replica.issue(now, &node, service, lease, &mut self.acts);
        let stamp = given.map(|Entry { order, .. }| order.stamp);
        match (&stamp, &self.keep) {
            (Ok(stamp), Some(_)) => self.waiting.push(Waiting { stamp: stamp.clone(), on_disk }),
            // Without a disk memory has to do.
            _ => _ = on_disk.send(()),
        }
        let _ = answer.send(stamp);
    }

    fn kept(&mut self, now: Now, kept: &Snapshot) {
        let written = |waiting: &mut Waiting| kept.vector.covers(&waiting.stamp);
        for Waiting { on_disk, .. } in self.waiting.extract_if(.., written) {
            let _ = on_disk.send(());
        }
        self.waiting.retain(|waiting| !waiting.on_disk.is_closed());
        self.replica.persisted(now, &mut self.acts);
    }

    /// What it shows of itself: what holds counts once it is carried out.
    fn status(&self, now: Now) -> Status {
        let mut status = self.replica.status(now);
        if self.handle.last_applied() < self.ordered.revision {
            status.vector = Default::default();
        }
        status
    }

    /// What was asked for, until nothing more is.
    fn carry_out(&mut self) {
        let mut changed = false;
        while let Some(act) = self.acts.actions.pop_front() {
            match act {
                Action::Dial(peer) => links::dial(&self.me, &self.config, &self.handle, &peer),
                Action::Send(link, message) => self.send(link, message),
                Action::Close(link) => _ = self.links.remove(&link),
                Action::Apply(node, service) => {
                    tracing::info!("replication: {node} is {service:?} of service");
                    self.ordered.services.insert(node, service);
                    changed = true;
                }
                // Where there is no disk nothing comes back, and nothing more is to be kept.
                Action::Persist(kept) => {
                    if let Some(keep) = &self.keep {
                        keep.send_replace(Some(kept));
                    }
                }
                Action::Report(report) => log(&report),
            }
        }
        if changed {
            self.ordered.revision += 1;
            self.tell.send_replace(self.ordered.clone());
        }
    }

    fn send(&mut self, link: LinkId, message: Message) {
        let full = |mailbox: &mpsc::Sender<Message>| mailbox.try_send(message).is_err();
        if self.links.get(&link).is_some_and(full) {
            // It does not read: as good as gone.
            self.links.remove(&link);
            let now = now(&self.me);
            self.replica.link_down(now, link, &mut self.acts);
        }
    }
}

fn log(report: &Report) {
    match report {
        Report::FutureStamp { entry, ahead } => tracing::error!(
            "replication: an order of {} for {} is {:.1} s ahead of this clock, refused",
            entry.order.stamp.issuer.name,
            entry.slot.node,
            *ahead as f64 / 1e9
        ),
        Report::Conflict { entry } => tracing::error!(
            "replication: one stamp with two contents, a copied disk or corruption: {} for {}",
            entry.order.stamp.issuer.name,
            entry.slot.node
        ),
        Report::StaleCopy { peer, superseded: ended } => {
            tracing::warn!("replication: this copy was away; {ended} orders had ended according to {peer}");
        }
        Report::PossiblySuperseded { entry } => tracing::warn!(
            "replication: {} of service for {} by {} is older than ended orders are remembered; it holds, look at it",
            match entry.order.service {
                ServiceState::Out => "out",
                ServiceState::In => "in",
            },
            entry.slot.node,
            entry.order.stamp.issuer.name
        ),
        Report::SnapshotIgnored { reason: why } => {
            tracing::error!("replication: the copy on disk is not used: {why}")
        }
    }
}
