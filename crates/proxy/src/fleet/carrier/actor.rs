//! The carrier's actor: it owns the node, and on a control machine that holds the lease the publisher, and drives both with
//! the fleet's clock.

use crate::fleet::carrier::apply::{self, Layer};
use crate::fleet::carrier::config::{CarrierConfig, Part};
use crate::fleet::carrier::door::{Door, Event};
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

const PART_BYTES: usize = 4096;
/// Between control machines.
const CONTROL_PART_BYTES: usize = 48 * 1024;
const CONTROL_BYTES_PER_SECOND: u64 = 1_000_000;
const NAMED: usize = 16;
/// How often what is told of its age is renewed, at the least.
const LOOK: Nanos = 500_000_000;
/// From this age on a process says that what it has may be old.
const OLD: Nanos = 10_000_000_000;

/// What the process is told of the carrier.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Told {
    pub holds: Version,
    /// When the publisher is known to have held just this; `None` where it never was.
    pub known: Option<Instant>,
}

impl Display for Told {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        match self.known {
            Some(known) => {
                write!(f, "version {} as of {:.1} s ago", self.holds, known.elapsed().as_secs_f64())
            }
            None => write!(f, "version {}, nothing heard since the start", self.holds),
        }
    }
}

enum Act {
    Dial(String),
    HangUp,
    Up(ChildMessage),
    Down(ChildId, ParentMessage),
    Drop(ChildId),
    PutInForce(Version, Vec<Resource>),
    Keep(Snapshot),
}

/// What the node asks for, in its order.
struct Acts {
    acts: VecDeque<Act>,
    random: oorandom::Rand64,
}

impl Host for Acts {
    fn connect_parent(&mut self, parent: &str) {
        self.acts.push_back(Act::Dial(parent.into()));
    }
    fn disconnect_parent(&mut self) {
        self.acts.push_back(Act::HangUp);
    }
    fn send_to_parent(&mut self, message: ChildMessage) {
        self.acts.push_back(Act::Up(message));
    }
    fn send_to_child(&mut self, child: ChildId, message: ParentMessage) {
        self.acts.push_back(Act::Down(child, message));
    }
    fn disconnect_child(&mut self, child: ChildId) {
        self.acts.push_back(Act::Drop(child));
    }
    fn apply(&mut self, version: Version, resources: Vec<Resource>) {
        self.acts.push_back(Act::PutInForce(version, resources));
    }
    fn persist(&mut self, kept: &Snapshot) {
        self.acts.push_back(Act::Keep(kept.clone()));
    }
    fn random(&mut self) -> f64 {
        self.random.rand_float()
    }
}

/// What the actor needs of the rest of the process.
pub struct Ways {
    pub door: Door,
    pub layer: Layer,
    /// Of a control machine.
    pub asker: Option<VoterClient>,
    /// To the disk, where there is one.
    pub keep: Option<watch::Sender<Option<Snapshot>>>,
    /// Gives the lease back.
    pub give_back: mpsc::Sender<()>,
    pub tell: watch::Sender<Told>,
}

struct Actor {
    me: LocalProcess,
    config: Arc<CarrierConfig>,
    ways: Ways,
    node: TreeNode,
    acts: Acts,
    parent: Option<Parent>,
    dials: u64,
    /// How many of them came to nothing since a link was up.
    vain: u32,
    children: HashMap<ChildId, mpsc::Sender<ParentMessage>>,
    publisher: Option<(Publisher, publish::Host)>,
    publishers: u64,
    since: Nanos,
    /// Who publishes, as far as is known.
    root: Option<String>,
    /// Whether it has said that what it has may be old.
    old: bool,
    started: Nanos,
}

fn terms(me: &LocalProcess, config: &CarrierConfig) -> TreeNodeConfig {
    let names = |of: &std::collections::BTreeMap<String, _>| -> Vec<String> {
        of.keys().filter(|name| **name != me.id.name).cloned().collect()
    };
    let part = config.part(&me.id.name);
    let tiers = match part {
        Part::Control => Vec::new(),
        Part::Relay => vec![names(&config.control)],
        Part::Leaf => vec![names(&config.relays), names(&config.control)],
    };
    TreeNodeConfig {
        member: Member { name: me.id.name.clone(), incarnation: me.id.incarnation },
        location: place(me, config),
        is_control: part == Part::Control,
        is_relay: part == Part::Relay,
        parent_tiers: tiers,
        max_children: config.children,
        child_bytes_per_second: config.bytes_per_second,
        control_bytes_per_second: CONTROL_BYTES_PER_SECOND,
        control_part_bytes: CONTROL_PART_BYTES,
        control_machines: names(&config.control),
        part_bytes: PART_BYTES,
        max_exceptions: NAMED,
    }
}

pub fn place(me: &LocalProcess, config: &CarrierConfig) -> Location {
    Location { region: config.region.clone(), zone: me.config.zone.clone(), site: config.site.clone() }
}

/// Runs as long as the process lives.
pub async fn run(
    me: LocalProcess,
    config: Arc<CarrierConfig>,
    kept: Option<Snapshot>,
    ways: Ways,
    events: mpsc::Receiver<Event>,
) {
    let random = oorandom::Rand64::new(u128::from(random_id()));
    let mut acts = Acts { acts: VecDeque::new(), random };
    let started = me.clock.now();
    let node = TreeNode::start(started, terms(&me, &config), kept, &mut acts);
    let mut actor = Actor {
        me,
        config,
        ways,
        node,
        acts,
        parent: None,
        dials: 0,
        vain: 0,
        children: HashMap::new(),
        publisher: None,
        publishers: 0,
        since: 0,
        root: None,
        old: false,
        started,
    };
    actor.carry_out();
    drive(actor, events).await;
}

impl drive::Actor for Actor {
    type Event = Event;

    fn wake_at(&self) -> Instant {
        let publisher = self.publisher.as_ref().map_or(Nanos::MAX, |(publisher, _)| publisher.due());
        let due = self.node.due().min(publisher).min(self.now() + LOOK);
        Instant::now() + self.me.clock.until(due)
    }

    fn handle_event(&mut self, event: Event) {
        let now = self.now();
        // What comes of a dial that was given up counts no more.
        let dialled = self.parent.as_ref().map(|parent| parent.number);
        let (node, acts) = (&mut self.node, &mut self.acts);
        match event {
            Event::ChildUp(child, mailbox) => {
                self.children.insert(child, mailbox);
                node.child_connected(now, child, acts);
            }
            Event::ChildSaid(child, up) if self.children.contains_key(&child) => {
                node.child_message(now, child, up, acts);
            }
            Event::ChildLost(child) if self.children.remove(&child).is_some() => {
                node.child_disconnected(now, child, acts);
            }
            Event::ParentUp(number) if dialled == Some(number) => {
                self.vain = 0;
                node.parent_connected(now, acts);
            }
            Event::ParentSaid(number, down) if dialled == Some(number) => {
                node.parent_message(now, down, acts)
            }
            Event::ParentLost(number) if dialled == Some(number) => {
                self.parent = None;
                node.parent_disconnected(now, acts);
            }
            // Of a link that was given up.
            Event::ChildSaid(..) | Event::ChildLost(_) => {}
            Event::ParentUp(_) | Event::ParentSaid(..) | Event::ParentLost(_) => {}
            Event::InForce(version, refused) => node.applied(now, version, refused, acts),
            Event::Reread => node.reapply(now, acts),
            Event::Kept(version) => node.persisted(now, version, acts),
            Event::Lease(held, holder) => self.lease(now, held, holder),
            Event::Read(number, reply) => self.publisher_read(now, number, &reply),
            Event::Written(number, reply) => {
                if let Some((publisher, host)) =
                    self.publisher.as_mut().filter(|(_, host)| host.number == number)
                {
                    publisher.record_written(now, publish::written(reply), host);
                }
            }
            Event::Offer(number, changes, link) => self.offered(number, changes, link),
            Event::Checked(number, changes, link, checked) => match (checked, &mut self.publisher) {
                (Err(why), _) => _ = link.try_send(Frame::ChangeOutcome(number, ChangeOutcome::Refused(why))),
                (Ok(()), Some((publisher, host))) => {
                    let number = host.waits(number, link);
                    publisher.propose(now, number, changes, host);
                }
                (Ok(()), None) => _ = link.try_send(self.status()),
            },
            Event::Status(link) => _ = link.try_send(self.status()),
        }
        self.carry_out();
    }

    fn tick(&mut self) {
        let now = self.now();
        self.node.tick(now, &mut self.acts);
        if let Some((publisher, host)) = &mut self.publisher {
            publisher.tick(now, host);
        }
        self.carry_out();
        self.tell(now);
    }
}

impl Actor {
    fn now(&self) -> Nanos {
        self.me.clock.now()
    }

    /// What was asked for, until nothing more is.
    fn carry_out(&mut self) {
        loop {
            self.publisher_acts();
            let Some(act) = self.acts.acts.pop_front() else { return };
            match act {
                Act::Dial(name) => {
                    self.dials += 1;
                    let at = self.config.called(&name);
                    self.parent =
                        Some(dial(&self.me, &self.ways.door, self.dials, &name, at, self.vain == 0));
                    self.vain = self.vain.saturating_add(1);
                }
                Act::HangUp => self.parent = None,
                Act::Up(up) => {
                    let full = |parent: &Parent| parent.ups.try_send(up).is_err();
                    if self.parent.as_ref().is_some_and(full) {
                        // It does not read: as good as gone.
                        self.parent = None;
                        self.node.parent_disconnected(self.me.clock.now(), &mut self.acts);
                    }
                }
                Act::Down(child, down) => {
                    let full = |mailbox: &mpsc::Sender<ParentMessage>| mailbox.try_send(down).is_err();
                    if self.children.get(&child).is_some_and(full) {
                        tracing::info!("carrier: a child that does not read is dropped");
                        self.children.remove(&child);
                        self.node.child_disconnected(self.me.clock.now(), child, &mut self.acts);
                    }
                }
                Act::Drop(child) => _ = self.children.remove(&child),
                Act::PutInForce(version, resources) => {
                    let (layer, door) = (self.ways.layer.clone(), self.ways.door.clone());
                    tokio::spawn(async move {
                        if let Some(refused) = layer.lay(resources).await {
                            door.say(Event::InForce(version, refused)).await;
                        }
                    });
                }
                Act::Keep(kept) => {
                    // Where there is no disk nothing comes back, and nothing more is to be kept.
                    if let Some(keep) = &self.ways.keep {
                        keep.send_replace(Some(kept));
                    }
                }
            }
        }
    }

    fn publisher_acts(&mut self) {
        let now = self.now();
        let Some((publisher, host)) = &mut self.publisher else { return };
        publisher.majority_persisted(now, self.node.majority_version(self.config.control.len()), host);
        for act in std::mem::take(&mut host.acts) {
            match act {
                publish::Act::Publish(version, resources) => {
                    self.node.publish(now, version, resources, &mut self.acts);
                }
                publish::Act::GiveBack => {
                    host.end();
                    self.publisher = None;
                    let _ = self.ways.give_back.try_send(());
                    self.root = None;
                    return self.node.set_root(now, None, &mut self.acts);
                }
            }
        }
    }

    fn lease(&mut self, now: Nanos, held: Option<HeldLease>, holder: Option<String>) {
        let root = if held.is_some() { Some(self.me.id.name.clone()) } else { holder };
        if root != self.root {
            tracing::info!("carrier: {} publishes", root.as_deref().unwrap_or("nobody that is known"));
            self.root = root;
        }
        self.node.set_root(now, self.root.as_deref(), &mut self.acts);
        self.end_publisher();
        if let (Some(held), Some(asker)) = (held, &self.ways.asker) {
            (self.publishers, self.since) = (self.publishers + 1, now);
            let door = self.ways.door.clone();
            let mut host = publish::Host::new(asker.clone(), door, self.publishers, held.token);
            let publisher = Publisher::start(now, &mut host);
            self.publisher = Some((publisher, host));
        }
    }

    fn end_publisher(&mut self) {
        if let Some((_, mut host)) = self.publisher.take() {
            host.end();
        }
    }

    fn publisher_read(&mut self, now: Nanos, number: u64, reply: &Reply) {
        let holds = self.node.version();
        let Some((publisher, host)) = self.publisher.as_mut().filter(|(_, host)| host.number == number)
        else {
            return;
        };
        match reply {
            Reply::Record(record) => {
                let (epoch, entry) = publish::entry(record);
                publisher.record_read(now, epoch, entry, holds, host);
            }
            _ => publisher.record_read_failed(now, host),
        }
    }

    /// What is offered is tried on this process's own file first: its words name the key that is wrong.
    fn offered(&mut self, number: u64, changes: Vec<Change>, link: mpsc::Sender<Frame>) {
        if self.publisher.is_none() {
            let _ = link.try_send(self.status());
            return;
        }
        let (layer, door) = (self.ways.layer.clone(), self.ways.door.clone());
        let new = changes.iter().map(|Change { scope, name, patch }| Resource {
            scope: scope.clone(),
            name: name.clone(),
            version: Version::default(),
            patch: patch.as_deref().map(Into::into),
        });
        let new: Vec<Resource> = new.collect();
        tokio::spawn(async move {
            let checked = layer.check(new).await;
            door.say(Event::Checked(number, changes, link, checked)).await;
        });
    }

    fn status(&self) -> Frame {
        let now = self.now();
        Frame::CarrierStatus(Box::new(CarrierStatus {
            name: self.me.id.name.clone(),
            publisher: self.root.clone(),
            publishing_for: self.publisher.as_ref().map(|_| now.saturating_sub(self.since)),
            version: self.node.version(),
            age: self.node.age(now),
            summary: self.node.summary(now),
            queued_changes: self.publisher.as_ref().map_or(0, |(_, host)| host.waiting.len() as u64),
            children: self.node.child_count() as u64,
        }))
    }

    /// What the process knows of its age, and a line when that becomes old, or is well again.
    fn tell(&mut self, now: Nanos) {
        let age = self.node.age(now);
        let known = age.and_then(|age| Instant::now().checked_sub(Duration::from_nanos(age)));
        let holds = self.node.version();
        self.ways.tell.send_replace(Told { holds, known });
        let old = age.unwrap_or(now.saturating_sub(self.started)) > OLD;
        if old != self.old {
            self.old = old;
            let seconds = age.unwrap_or(0) as f64 / 1e9;
            match (old, age) {
                (true, Some(_)) => tracing::warn!(
                    "carrier: version {holds} is known to be the newest as of {seconds:.1} s ago; serving goes on"
                ),
                (true, None) => tracing::warn!(
                    "carrier: nothing heard yet, version {holds} is from before the start; serving goes on"
                ),
                (false, _) => tracing::info!("carrier: well again, version {holds} as of {seconds:.1} s ago"),
            }
        }
    }
}

/// A scope as commands write it.
pub fn scope(text: &str) -> Option<Scope> {
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
pub fn concerning(me: &str, place: Location, resources: &[Resource]) -> Vec<Resource> {
    let interest = pumicebay_carrier::Interest::Proxy(place, me.into());
    let mut all: Vec<Resource> =
        resources.iter().filter(|resource| interest.includes(&resource.scope)).cloned().collect();
    apply::in_order(&mut all);
    all
}
