//! The carrier's actor: it owns the node, and on a control machine that holds the lease the publisher, and drives both with
//! the fleet's clock.

use crate::fleet::asker::Asker;
use crate::fleet::carrier::apply::{self, Applier};
use crate::fleet::carrier::config::{CarrierConfig, TreeRole};
use crate::fleet::carrier::handle::{Event, Handle};
use crate::fleet::carrier::links::{Parent, dial};
use crate::fleet::carrier::publish;
use crate::fleet::drive::{self, drive};
use crate::fleet::me::{Me, draw};
use crate::fleet::wire::{CarrierStatus, Frame};
use pumicebay_accord::{HeldLease, Reply};
use pumicebay_carrier::{
    Change, ChangeOutcome, ChildId, ChildMessage, Host, Location, Member, Nanos, ParentMessage, Publisher,
    Resource, Scope, Snapshot, TreeNode, TreeNodeConfig, Version,
};
use std::collections::{HashMap, VecDeque};
use std::fmt::{Display, Formatter};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

const PART_BYTES: usize = 4096;
/// Between control machines.
const CONTROL_PART_BYTES: usize = 48 * 1024;
const CONTROL_BYTES_PER_SECOND: u64 = 1_000_000;
const MAX_EXCEPTIONS: usize = 16;
/// How often what is told of its age is renewed, at the least.
const MAX_TICK_INTERVAL: Nanos = 500_000_000;
/// From this age on a process says that what it has may be old.
const STALE_AFTER: Nanos = 10_000_000_000;

/// What the process is told of the carrier.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ConfigFreshness {
    pub version: Version,
    /// When the publisher is known to have held just this; `None` where it never was.
    pub confirmed_at: Option<Instant>,
}

impl Display for ConfigFreshness {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        match self.confirmed_at {
            Some(confirmed_at) => {
                write!(f, "version {} as of {:.1} s ago", self.version, confirmed_at.elapsed().as_secs_f64())
            }
            None => write!(f, "version {}, nothing heard publisher_since the start", self.version),
        }
    }
}

enum Action {
    ConnectParent(String),
    DisconnectParent,
    SendToParent(ChildMessage),
    SendToChild(ChildId, ParentMessage),
    DisconnectChild(ChildId),
    Apply(Version, Vec<Resource>),
    Persist(Snapshot),
}

/// What the node asks for, in its order.
struct ActionQueue {
    actions: VecDeque<Action>,
    random: oorandom::Rand64,
}

impl Host for ActionQueue {
    fn connect_parent(&mut self, parent: &str) {
        self.actions.push_back(Action::ConnectParent(parent.into()));
    }
    fn disconnect_parent(&mut self) {
        self.actions.push_back(Action::DisconnectParent);
    }
    fn send_to_parent(&mut self, message: ChildMessage) {
        self.actions.push_back(Action::SendToParent(message));
    }
    fn send_to_child(&mut self, child: ChildId, message: ParentMessage) {
        self.actions.push_back(Action::SendToChild(child, message));
    }
    fn disconnect_child(&mut self, child: ChildId) {
        self.actions.push_back(Action::DisconnectChild(child));
    }
    fn apply(&mut self, version: Version, resources: Vec<Resource>) {
        self.actions.push_back(Action::Apply(version, resources));
    }
    fn persist(&mut self, snapshot: &Snapshot) {
        self.actions.push_back(Action::Persist(snapshot.clone()));
    }
    fn random(&mut self) -> f64 {
        self.random.rand_float()
    }
}

/// What the actor needs of the rest of the process.
pub struct ActorContext {
    pub handle: Handle,
    pub applier: Applier,
    /// Of a control machine.
    pub asker: Option<Asker>,
    /// To the disk, where there is one.
    pub snapshot_sender: Option<watch::Sender<Option<Snapshot>>>,
    /// Gives the lease back.
    pub release_lease: mpsc::Sender<()>,
    pub freshness_sender: watch::Sender<ConfigFreshness>,
}

struct Actor {
    me: Me,
    config: Arc<CarrierConfig>,
    context: ActorContext,
    node: TreeNode,
    actions: ActionQueue,
    parent: Option<Parent>,
    dial_count: u64,
    /// How many of them came to nothing publisher_since a link was up.
    failed_dials: u32,
    children: HashMap<ChildId, mpsc::Sender<ParentMessage>>,
    publisher: Option<(Publisher, publish::RecordHost)>,
    publisher_count: u64,
    publisher_since: Nanos,
    /// Who publishes, as far as is known.
    root: Option<String>,
    /// Whether it has said that what it has may be old.
    reported_stale: bool,
    started: Nanos,
}

fn node_config(me: &Me, config: &CarrierConfig) -> TreeNodeConfig {
    let names = |members: &std::collections::BTreeMap<String, _>| -> Vec<String> {
        members.keys().filter(|name| **name != me.who.name).cloned().collect()
    };
    let role = config.role(&me.who.name);
    let tiers = match role {
        TreeRole::Control => Vec::new(),
        TreeRole::Relay => vec![names(&config.control)],
        TreeRole::Leaf => vec![names(&config.relays), names(&config.control)],
    };
    TreeNodeConfig {
        member: Member { name: me.who.name.clone(), incarnation: me.who.incarnation },
        location: location(me, config),
        is_control: role == TreeRole::Control,
        is_relay: role == TreeRole::Relay,
        parent_tiers: tiers,
        max_children: config.max_children,
        child_bytes_per_second: config.bytes_per_second,
        control_bytes_per_second: CONTROL_BYTES_PER_SECOND,
        control_part_bytes: CONTROL_PART_BYTES,
        control_machines: names(&config.control),
        part_bytes: PART_BYTES,
        max_exceptions: MAX_EXCEPTIONS,
    }
}

pub fn location(me: &Me, config: &CarrierConfig) -> Location {
    Location { region: config.region.clone(), zone: me.config.zone.clone(), site: config.site.clone() }
}

/// Runs as long as the process lives.
pub async fn run(
    me: Me,
    config: Arc<CarrierConfig>,
    snapshot: Option<Snapshot>,
    context: ActorContext,
    events: mpsc::Receiver<Event>,
) {
    let random = oorandom::Rand64::new(u128::from(draw()));
    let mut actions = ActionQueue { actions: VecDeque::new(), random };
    let started = me.clock.now();
    let node = TreeNode::start(started, node_config(&me, &config), snapshot, &mut actions);
    let mut actor = Actor {
        me,
        config,
        context,
        node,
        actions,
        parent: None,
        dial_count: 0,
        failed_dials: 0,
        children: HashMap::new(),
        publisher: None,
        publisher_count: 0,
        publisher_since: 0,
        root: None,
        reported_stale: false,
        started,
    };
    actor.execute_actions();
    drive(actor, events).await;
}

impl drive::Actor for Actor {
    type Event = Event;

    fn due(&self) -> Instant {
        let publisher = self.publisher.as_ref().map_or(Nanos::MAX, |(publisher, _)| publisher.due());
        let due = self.node.due().min(publisher).min(self.now() + MAX_TICK_INTERVAL);
        Instant::now() + self.me.clock.until(due)
    }

    fn take(&mut self, event: Event) {
        let now = self.now();
        // What comes of a dial that was given up counts no more.
        let dial_number = self.parent.as_ref().map(|parent| parent.number);
        let (node, actions) = (&mut self.node, &mut self.actions);
        match event {
            Event::ChildConnected(child, mailbox) => {
                self.children.insert(child, mailbox);
                node.child_connected(now, child, actions);
            }
            Event::ChildMessage(child, up) if self.children.contains_key(&child) => {
                node.child_message(now, child, up, actions);
            }
            Event::ChildDisconnected(child) if self.children.remove(&child).is_some() => {
                node.child_disconnected(now, child, actions);
            }
            Event::ParentConnected(number) if dial_number == Some(number) => {
                self.failed_dials = 0;
                node.parent_connected(now, actions);
            }
            Event::ParentMessage(number, down) if dial_number == Some(number) => {
                node.parent_message(now, down, actions)
            }
            Event::ParentDisconnected(number) if dial_number == Some(number) => {
                self.parent = None;
                node.parent_disconnected(now, actions);
            }
            // Of a link that was given up.
            Event::ChildMessage(..) | Event::ChildDisconnected(_) => {}
            Event::ParentConnected(_) | Event::ParentMessage(..) | Event::ParentDisconnected(_) => {}
            Event::Applied(version, refused) => node.applied(now, version, refused, actions),
            Event::FileReloaded => node.reapply(now, actions),
            Event::Persisted(version) => node.persisted(now, version, actions),
            Event::LeaseChanged(held, holder) => self.lease_changed(now, held, holder),
            Event::RecordRead(number, reply) => self.record_read(now, number, &reply),
            Event::RecordWritten(number, reply) => {
                if let Some((publisher, host)) =
                    self.publisher.as_mut().filter(|(_, host)| host.number == number)
                {
                    publisher.record_written(now, publish::write_outcome(reply), host);
                }
            }
            Event::Offer(number, changes, link) => self.check_offer(number, changes, link),
            Event::OfferChecked(number, changes, link, checked) => match (checked, &mut self.publisher) {
                (Err(why), _) => _ = link.try_send(Frame::Offered(number, ChangeOutcome::Refused(why))),
                (Ok(()), Some((publisher, host))) => {
                    let number = host.add_pending_offer(number, link);
                    publisher.propose(now, number, changes, host);
                }
                (Ok(()), None) => _ = link.try_send(self.status()),
            },
            Event::Status(link) => _ = link.try_send(self.status()),
        }
        self.execute_actions();
    }

    fn tick(&mut self) {
        let now = self.now();
        self.node.tick(now, &mut self.actions);
        if let Some((publisher, host)) = &mut self.publisher {
            publisher.tick(now, host);
        }
        self.execute_actions();
        self.report_freshness(now);
    }
}

impl Actor {
    fn now(&self) -> Nanos {
        self.me.clock.now()
    }

    /// What was asked for, until nothing more is.
    fn execute_actions(&mut self) {
        loop {
            self.execute_publisher_actions();
            let Some(action) = self.actions.actions.pop_front() else { return };
            match action {
                Action::ConnectParent(name) => {
                    self.dial_count += 1;
                    let address = self.config.address_of(&name);
                    self.parent = Some(dial(
                        &self.me,
                        &self.context.handle,
                        self.dial_count,
                        &name,
                        address,
                        self.failed_dials == 0,
                    ));
                    self.failed_dials = self.failed_dials.saturating_add(1);
                }
                Action::DisconnectParent => self.parent = None,
                Action::SendToParent(up) => {
                    let full = |parent: &Parent| parent.sender.try_send(up).is_err();
                    if self.parent.as_ref().is_some_and(full) {
                        // It does not read: as good as gone.
                        self.parent = None;
                        self.node.parent_disconnected(self.me.clock.now(), &mut self.actions);
                    }
                }
                Action::SendToChild(child, down) => {
                    let full = |mailbox: &mpsc::Sender<ParentMessage>| mailbox.try_send(down).is_err();
                    if self.children.get(&child).is_some_and(full) {
                        tracing::info!("carrier: a child that does not read is dropped");
                        self.children.remove(&child);
                        self.node.child_disconnected(self.me.clock.now(), child, &mut self.actions);
                    }
                }
                Action::DisconnectChild(child) => _ = self.children.remove(&child),
                Action::Apply(version, resources) => {
                    let (applier, handle) = (self.context.applier.clone(), self.context.handle.clone());
                    tokio::spawn(async move {
                        if let Some(refused) = applier.apply(resources).await {
                            handle.send(Event::Applied(version, refused)).await;
                        }
                    });
                }
                Action::Persist(snapshot) => {
                    // Where there is no disk nothing comes back, and nothing more is to be kept.
                    if let Some(snapshot_sender) = &self.context.snapshot_sender {
                        snapshot_sender.send_replace(Some(snapshot));
                    }
                }
            }
        }
    }

    fn execute_publisher_actions(&mut self) {
        let now = self.now();
        let Some((publisher, host)) = &mut self.publisher else { return };
        publisher.majority_persisted(now, self.node.majority_version(self.config.control.len()), host);
        for action in std::mem::take(&mut host.actions) {
            match action {
                publish::Action::Publish(version, resources) => {
                    self.node.publish(now, version, resources, &mut self.actions);
                }
                publish::Action::ReleaseLease => {
                    host.fail_pending_offers();
                    self.publisher = None;
                    let _ = self.context.release_lease.try_send(());
                    self.root = None;
                    return self.node.set_root(now, None, &mut self.actions);
                }
            }
        }
    }

    fn lease_changed(&mut self, now: Nanos, held: Option<HeldLease>, holder: Option<String>) {
        let root = if held.is_some() { Some(self.me.who.name.clone()) } else { holder };
        if root != self.root {
            tracing::info!("carrier: {} publishes", root.as_deref().unwrap_or("nobody that is known"));
            self.root = root;
        }
        self.node.set_root(now, self.root.as_deref(), &mut self.actions);
        self.end_publisher();
        if let (Some(held), Some(asker)) = (held, &self.context.asker) {
            (self.publisher_count, self.publisher_since) = (self.publisher_count + 1, now);
            let handle = self.context.handle.clone();
            let mut host = publish::RecordHost::new(asker.clone(), handle, self.publisher_count, held.token);
            let publisher = Publisher::start(now, &mut host);
            self.publisher = Some((publisher, host));
        }
    }

    fn end_publisher(&mut self) {
        if let Some((_, mut host)) = self.publisher.take() {
            host.fail_pending_offers();
        }
    }

    fn record_read(&mut self, now: Nanos, number: u64, reply: &Reply) {
        let held_version = self.node.version();
        let Some((publisher, host)) = self.publisher.as_mut().filter(|(_, host)| host.number == number)
        else {
            return;
        };
        match reply {
            Reply::Record(record) => {
                let (epoch, entry) = publish::founding_and_value(record);
                publisher.record_read(now, epoch, entry, held_version, host);
            }
            _ => publisher.record_read_failed(now, host),
        }
    }

    /// What is check_offer is tried on this process's own file first: its words name the key that is wrong.
    fn check_offer(&mut self, number: u64, changes: Vec<Change>, link: mpsc::Sender<Frame>) {
        if self.publisher.is_none() {
            let _ = link.try_send(self.status());
            return;
        }
        let (applier, handle) = (self.context.applier.clone(), self.context.handle.clone());
        let resources = changes.iter().map(|Change { scope, name, patch }| Resource {
            scope: scope.clone(),
            name: name.clone(),
            version: Version::default(),
            patch: patch.as_deref().map(Into::into),
        });
        let resources: Vec<Resource> = resources.collect();
        tokio::spawn(async move {
            let checked = applier.check(resources).await;
            handle.send(Event::OfferChecked(number, changes, link, checked)).await;
        });
    }

    fn status(&self) -> Frame {
        let now = self.now();
        Frame::CarrierIs(Box::new(CarrierStatus {
            name: self.me.who.name.clone(),
            publisher: self.root.clone(),
            publishes: self.publisher.as_ref().map(|_| now.saturating_sub(self.publisher_since)),
            holds: self.node.version(),
            age: self.node.age(now),
            sum: self.node.summary(now),
            queue: self.publisher.as_ref().map_or(0, |(_, host)| host.pending_offers.len() as u64),
            children: self.node.child_count() as u64,
        }))
    }

    /// What the process knows of its age, and a line when that becomes old, or is well again.
    fn report_freshness(&mut self, now: Nanos) {
        let age = self.node.age(now);
        let confirmed_at = age.and_then(|age| Instant::now().checked_sub(Duration::from_nanos(age)));
        let version = self.node.version();
        self.context.freshness_sender.send_replace(ConfigFreshness { version, confirmed_at });
        let stale = age.unwrap_or(now.saturating_sub(self.started)) > STALE_AFTER;
        if stale != self.reported_stale {
            self.reported_stale = stale;
            let seconds = age.unwrap_or(0) as f64 / 1e9;
            match (stale, age) {
                (true, Some(_)) => tracing::warn!(
                    "carrier: version {version} is known to be the newest as of {seconds:.1} s ago; serving goes on"
                ),
                (true, None) => tracing::warn!(
                    "carrier: nothing heard yet, version {version} is from before the start; serving goes on"
                ),
                (false, _) => {
                    tracing::info!("carrier: well again, version {version} as of {seconds:.1} s ago")
                }
            }
        }
    }
}

/// A scope as commands write it.
pub fn parse_scope(text: &str) -> Option<Scope> {
    let mut words = text.split('/');
    let mut word = || words.next().filter(|word| !word.is_empty()).map(String::from);
    let scope = match word()?.as_str() {
        "fleet" => Scope::Fleet,
        "region" => Scope::Region(word()?),
        "zone" => Scope::Zone(word()?),
        "site" => Scope::Site(word()?),
        "proxy" => Scope::Proxy(word()?, word()?),
        _ => return None,
    };
    words.next().is_none().then_some(scope)
}

/// What of the kept set concerns this process, in the order in which it is laid.
pub fn relevant_resources(me: &str, location: Location, resources: &[Resource]) -> Vec<Resource> {
    let interest = pumicebay_carrier::Interest::Proxy(location, me.into());
    let mut all: Vec<Resource> =
        resources.iter().filter(|resource| interest.includes(&resource.scope)).cloned().collect();
    apply::sort_by_precedence(&mut all);
    all
}
