//! The carrier actor. It owns the node of the distribution tree and, on the control machine that holds the
//! lease, the publisher. It drives both with the fleet's clock.

use crate::fleet::carrier::apply::{self, Applier};
use crate::fleet::carrier::config::{CarrierConfig, TreeRole};
use crate::fleet::carrier::handle::{Event, Handle};
use crate::fleet::carrier::links::{Parent, dial};
use crate::fleet::carrier::publish;
use crate::fleet::drive::{self, drive};
use crate::fleet::local_process::{LocalProcess, random_id};
use crate::fleet::voter_client::VoterClient;
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

/// The size of the parts into which a difference to a child is split, in bytes.
const PART_BYTES: usize = 4096;
/// The part size between control machines, in bytes.
const CONTROL_PART_BYTES: usize = 48 * 1024;
/// The maximum send rate to another control machine.
const CONTROL_BYTES_PER_SECOND: u64 = 1_000_000;
/// The maximum number of exceptions that a summary lists by name.
const MAX_EXCEPTIONS: usize = 16;
/// The actor ticks at least this often, to refresh the reported age of the configuration. Nanoseconds.
const MAX_TICK_INTERVAL: Nanos = 500_000_000;
/// A configuration that was confirmed longer ago than this is reported as possibly stale. Nanoseconds.
const STALE_AFTER: Nanos = 10_000_000_000;

/// The version of the configuration that this process holds, and when it was last known to be current.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ConfigFreshness {
    /// The version that this process holds.
    pub version: Version,
    /// The latest time at which the publisher is known to have held the same version; `None` if there has
    /// been no confirmation since the start.
    pub confirmed_at: Option<Instant>,
}

impl Display for ConfigFreshness {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        match self.confirmed_at {
            Some(confirmed_at) => {
                write!(f, "version {} as of {:.1} s ago", self.version, confirmed_at.elapsed().as_secs_f64())
            }
            None => write!(f, "version {}, nothing heard since the start", self.version),
        }
    }
}

/// An action that the node requested through its `Host`.
enum Action {
    ConnectParent(String),
    DisconnectParent,
    SendToParent(ChildMessage),
    SendToChild(ChildId, ParentMessage),
    DisconnectChild(ChildId),
    Apply(Version, Vec<Resource>),
    Persist(Snapshot),
}

/// The host of the node: queues the actions that the node requests, in order.
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

/// The actor's connections to the rest of the process.
pub struct ActorContext {
    /// Passed to tasks that report back to the actor.
    pub handle: Handle,
    /// Applies and checks resources in the serving process.
    pub applier: Applier,
    /// Sends operations to the voters; only on a control machine.
    pub voter_client: Option<VoterClient>,
    /// Passes the newest snapshot to the disk task; `None` if there is no folder.
    pub snapshot_sender: Option<watch::Sender<Option<Snapshot>>>,
    /// Requests that the lease be given back.
    pub release_lease: mpsc::Sender<()>,
    /// Publishes the version and the age of the configuration.
    pub freshness_sender: watch::Sender<ConfigFreshness>,
}

struct Actor {
    me: LocalProcess,
    config: Arc<CarrierConfig>,
    context: ActorContext,
    node: TreeNode,
    actions: ActionQueue,
    parent: Option<Parent>,
    /// The number of connection attempts to parents; the latest value identifies the current attempt.
    dial_count: u64,
    /// The number of connection attempts since a link to a parent was last up.
    dials_since_link: u32,
    children: HashMap<ChildId, mpsc::Sender<ParentMessage>>,
    publisher: Option<(Publisher, publish::RecordHost)>,
    /// The number of publishers started; the latest value identifies the current publisher.
    publisher_count: u64,
    /// When the current publisher was started.
    publisher_since: Nanos,
    /// The name of the control machine that publishes, if known.
    root: Option<String>,
    /// Whether a warning that the configuration may be stale was logged and is still valid.
    reported_stale: bool,
    started: Nanos,
}

fn node_config(me: &LocalProcess, config: &CarrierConfig) -> TreeNodeConfig {
    let names = |members: &std::collections::BTreeMap<String, _>| -> Vec<String> {
        members.keys().filter(|name| **name != me.id.name).cloned().collect()
    };
    let role = config.role(&me.id.name);
    let tiers = match role {
        TreeRole::Control => Vec::new(),
        TreeRole::Relay => vec![names(&config.control)],
        TreeRole::Leaf => vec![names(&config.relays), names(&config.control)],
    };
    TreeNodeConfig {
        member: Member { name: me.id.name.clone(), incarnation: me.id.incarnation },
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

/// The location of this process in the fleet.
pub fn location(me: &LocalProcess, config: &CarrierConfig) -> Location {
    Location { region: config.region.clone(), zone: me.config.zone.clone(), site: config.site.clone() }
}

/// Runs the actor until the process ends. `snapshot` is what was loaded from the disk, if anything.
pub async fn run(
    me: LocalProcess,
    config: Arc<CarrierConfig>,
    snapshot: Option<Snapshot>,
    context: ActorContext,
    events: mpsc::Receiver<Event>,
) {
    let random = oorandom::Rand64::new(u128::from(random_id()));
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
        dials_since_link: 0,
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

    fn wake_at(&self) -> Instant {
        let publisher = self.publisher.as_ref().map_or(Nanos::MAX, |(publisher, _)| publisher.due());
        let due = self.node.due().min(publisher).min(self.now() + MAX_TICK_INTERVAL);
        Instant::now() + self.me.clock.until(due)
    }

    fn handle_event(&mut self, event: Event) {
        let now = self.now();
        // Events of an abandoned connection attempt are ignored.
        let dial_number = self.parent.as_ref().map(|parent| parent.number);
        let (node, actions) = (&mut self.node, &mut self.actions);
        match event {
            Event::ChildConnected(child, sender) => {
                self.children.insert(child, sender);
                node.child_connected(now, child, actions);
            }
            Event::ChildMessage(child, message) if self.children.contains_key(&child) => {
                node.child_message(now, child, message, actions);
            }
            Event::ChildDisconnected(child) if self.children.remove(&child).is_some() => {
                node.child_disconnected(now, child, actions);
            }
            Event::ParentConnected(number) if dial_number == Some(number) => {
                self.dials_since_link = 0;
                node.parent_connected(now, actions);
            }
            Event::ParentMessage(number, message) if dial_number == Some(number) => {
                node.parent_message(now, message, actions)
            }
            Event::ParentDisconnected(number) if dial_number == Some(number) => {
                self.parent = None;
                node.parent_disconnected(now, actions);
            }
            // Events of a link that was already closed here.
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
                (Err(reason), _) => {
                    _ = link.try_send(Frame::ChangeOutcome(number, ChangeOutcome::Refused(reason)))
                }
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

    /// Executes the queued actions until the queue is empty.
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
                        self.dials_since_link == 0,
                    ));
                    self.dials_since_link = self.dials_since_link.saturating_add(1);
                }
                Action::DisconnectParent => self.parent = None,
                Action::SendToParent(message) => {
                    let is_full = |parent: &Parent| parent.sender.try_send(message).is_err();
                    if self.parent.as_ref().is_some_and(is_full) {
                        // The parent does not read its messages; treat it as disconnected.
                        self.parent = None;
                        self.node.parent_disconnected(self.me.clock.now(), &mut self.actions);
                    }
                }
                Action::SendToChild(child, message) => {
                    let is_full = |sender: &mpsc::Sender<ParentMessage>| sender.try_send(message).is_err();
                    if self.children.get(&child).is_some_and(is_full) {
                        tracing::info!("carrier: a child is disconnected, it does not read its messages");
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
                    // Without a disk, `persisted` is never reported, so the node requests no further writes.
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
        let root = if held.is_some() { Some(self.me.id.name.clone()) } else { holder };
        if root != self.root {
            tracing::info!("carrier: the publisher is now {}", root.as_deref().unwrap_or("unknown"));
            self.root = root;
        }
        self.node.set_root(now, self.root.as_deref(), &mut self.actions);
        self.stop_publisher();
        if let (Some(held), Some(voter_client)) = (held, &self.context.voter_client) {
            (self.publisher_count, self.publisher_since) = (self.publisher_count + 1, now);
            let handle = self.context.handle.clone();
            let mut host =
                publish::RecordHost::new(voter_client.clone(), handle, self.publisher_count, held.token);
            let publisher = Publisher::start(now, &mut host);
            self.publisher = Some((publisher, host));
        }
    }

    fn stop_publisher(&mut self) {
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
                let (founded, value) = publish::founding_and_value(record);
                publisher.record_read(now, founded, value, held_version, host);
            }
            _ => publisher.record_read_failed(now, host),
        }
    }

    /// Checks offered changes against this process's own configuration file first, so that a refusal names
    /// the key that is wrong.
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
        Frame::CarrierStatus(Box::new(CarrierStatus {
            name: self.me.id.name.clone(),
            publisher: self.root.clone(),
            publishing_for: self.publisher.as_ref().map(|_| now.saturating_sub(self.publisher_since)),
            version: self.node.version(),
            age: self.node.age(now),
            summary: self.node.summary(now),
            queued_changes: self.publisher.as_ref().map_or(0, |(_, host)| host.pending_offers.len() as u64),
            children: self.node.child_count() as u64,
        }))
    }

    /// Publishes the age of the configuration, and logs when it becomes stale or current again.
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
                    "carrier: version {version} was last confirmed as the newest {seconds:.1} s ago; serving \
                     continues"
                ),
                (true, None) => tracing::warn!(
                    "carrier: nothing heard from the publisher yet, version {version} is from before the \
                     start; serving continues"
                ),
                (false, _) => {
                    tracing::info!("carrier: current again, version {version} confirmed {seconds:.1} s ago")
                }
            }
        }
    }
}

/// Parses a scope as it is written in commands, such as `site/S`. `None` if the text is not a scope.
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

/// The resources that apply to this process, in the order in which they are merged.
pub fn relevant_resources(me: &str, location: Location, resources: &[Resource]) -> Vec<Resource> {
    let interest = pumicebay_carrier::Interest::Proxy(location, me.into());
    let mut all: Vec<Resource> =
        resources.iter().filter(|resource| interest.includes(&resource.scope)).cloned().collect();
    apply::sort_by_precedence(&mut all);
    all
}
