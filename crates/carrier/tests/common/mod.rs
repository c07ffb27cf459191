//! Simulates a fleet in one process: tree nodes, links, disks, the record and its publisher, with a simulated
//! clock and a seeded random number generator. Checks the invariants of the protocol at each step.
#![allow(dead_code)]

use pumicebay_carrier::*;
use std::collections::{BTreeMap, VecDeque};

pub const MS: Nanos = 1_000_000;
pub const SECOND: Nanos = 1_000 * MS;

pub type Key = (Scope, Name);
/// The resources that a process has in force.
pub type Applied = BTreeMap<Key, Resource>;

/// The key of a resource: its scope and name.
pub fn key(resource: &Resource) -> Key {
    (resource.scope.clone(), resource.name.clone())
}

/// Puts these resources in force and refuses those whose patch contains "bad": their previous versions stay
/// in force.
pub fn apply(applied: &mut Applied, resources: Vec<Resource>) -> Vec<(Scope, Name, String)> {
    let mut refused = Vec::new();
    let previous = std::mem::take(applied);
    for resource in resources {
        let key = key(&resource);
        if resource.patch.as_ref().is_some_and(|patch| patch.contains("bad")) {
            if let Some(previous) = previous.get(&key) {
                applied.insert(key.clone(), previous.clone());
            }
            refused.push((key.0, key.1, "bad".to_string()));
        } else {
            applied.insert(key, resource);
        }
    }
    refused
}

/// The last write of each resource, up to a version.
pub fn last_writes(settled: &BTreeMap<Version, Vec<Resource>>, until: Version) -> BTreeMap<Key, &Resource> {
    let mut last: BTreeMap<Key, &Resource> = BTreeMap::new();
    for resource in settled.range(..=until).flat_map(|(_, resources)| resources) {
        if last.get(&key(resource)).is_none_or(|other| other.version < resource.version) {
            last.insert(key(resource), resource);
        }
    }
    last
}

/// Describes a resource that the process reports as in force in its summary, without an exception, although
/// it is not; `None` if the summary claims no more than what is in force.
pub fn false_claim(
    member: &Member,
    location: &Location,
    applied: &Applied,
    summary: &Summary,
    settled: &BTreeMap<Version, Vec<Resource>>,
) -> Option<String> {
    let own_exceptions = || summary.exceptions.iter().filter(|exception| exception.member == *member);
    // A summary lists at most four refusals for each member.
    if summary.unnamed > 0
        || own_exceptions().count() >= 4
        || own_exceptions().any(|exception| exception.kind == ExceptionKind::Late)
    {
        return None;
    }
    let own_interest = Interest::Proxy(location.clone(), member.name.clone());
    let newest = last_writes(settled, Version { epoch: u64::MAX, number: u64::MAX });
    let (key, write) = last_writes(settled, summary.in_force).into_iter().find(|(key, write)| {
        let applied_version = applied.get(key).map(|resource| resource.version);
        let correct = match &write.patch {
            Some(_) => applied_version
                .map_or(newest[key].version > write.version, |applied| applied >= write.version),
            None => applied_version.is_none_or(|applied| applied > write.version),
        };
        let refused = |exception: &Exception| {
            matches!(
                &exception.kind,
                ExceptionKind::Refused { scope, resource, .. } if (scope, resource) == (&key.0, &key.1)
            )
        };
        own_interest.includes(&key.0) && !correct && !own_exceptions().any(refused)
    })?;
    let applied_version = applied.get(&key).map(|resource| resource.version);
    Some(format!(
        "{} claims {}, but of {} {}, written at {}, it has {applied_version:?} in force",
        member.name, summary.in_force, key.0, key.1, write.version
    ))
}

/// A seeded random number generator.
#[derive(Clone, Copy)]
pub struct Rng(pub u64);

impl Rng {
    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }
    /// A number from 0 to `n - 1`.
    pub fn below(&mut self, n: u64) -> u64 {
        self.next() % n
    }
    /// True with a probability of 1 in `n`.
    pub fn one_in(&mut self, n: u64) -> bool {
        self.below(n) == 0
    }
}

/// One call that a tree node made to its host.
#[derive(Clone, Debug)]
pub enum HostCall {
    ConnectParent(Name),
    DisconnectParent,
    SendToParent(ChildMessage),
    SendToChild(ChildId, ParentMessage),
    DisconnectChild(ChildId),
    Apply(Version, Vec<Resource>),
    Persist(Snapshot),
}

/// Records the calls of a tree node, in order.
pub struct RecordingHost {
    pub calls: Vec<HostCall>,
    pub rng: Rng,
}

impl Host for RecordingHost {
    fn connect_parent(&mut self, parent: &str) {
        self.calls.push(HostCall::ConnectParent(parent.into()));
    }
    fn disconnect_parent(&mut self) {
        self.calls.push(HostCall::DisconnectParent);
    }
    fn send_to_parent(&mut self, message: ChildMessage) {
        self.calls.push(HostCall::SendToParent(message));
    }
    fn send_to_child(&mut self, child: ChildId, message: ParentMessage) {
        self.calls.push(HostCall::SendToChild(child, message));
    }
    fn disconnect_child(&mut self, child: ChildId) {
        self.calls.push(HostCall::DisconnectChild(child));
    }
    fn apply(&mut self, version: Version, resources: Vec<Resource>) {
        self.calls.push(HostCall::Apply(version, resources));
    }
    fn persist(&mut self, snapshot: &Snapshot) {
        self.calls.push(HostCall::Persist(snapshot.clone()));
    }
    fn random(&mut self) -> f64 {
        (self.rng.next() >> 11) as f64 / (1u64 << 53) as f64
    }
}

/// Records the calls of a publisher, in order.
#[derive(Default)]
pub struct RecordingPublisherHost {
    pub calls: VecDeque<PublisherCall>,
}

/// One call that a publisher made to its host.
#[derive(Clone, Debug)]
pub enum PublisherCall {
    ReadRecord,
    WriteRecord(String, u64),
    Publish(Version, Vec<Resource>),
    Answer(u64, ChangeOutcome),
    ReleaseLease,
}

impl PublisherHost for RecordingPublisherHost {
    fn read_record(&mut self) {
        self.calls.push_back(PublisherCall::ReadRecord);
    }
    fn write_record(&mut self, text: String, version: u64) {
        self.calls.push_back(PublisherCall::WriteRecord(text, version));
    }
    fn publish(&mut self, version: Version, resources: Vec<Resource>) {
        self.calls.push_back(PublisherCall::Publish(version, resources));
    }
    fn answer(&mut self, number: u64, outcome: ChangeOutcome) {
        self.calls.push_back(PublisherCall::Answer(number, outcome));
    }
    fn release_lease(&mut self) {
        self.calls.push_back(PublisherCall::ReleaseLease);
    }
}

/// A scheduled event. Events of a process have its index and mostly its incarnation; events of a publisher
/// have the token of its lease. Those of an earlier incarnation, connection or lease are ignored.
#[derive(Clone, Debug)]
pub enum Event {
    Tick(usize, u64),
    /// Index, incarnation and connection number of the child, and the parent's name.
    ConnectAnswered(usize, u64, u64, Name),
    ToParent(ChildId, ChildMessage),
    ToChild(ChildId, ParentMessage),
    ClosedAtParent(ChildId),
    ClosedAtChild(ChildId),
    Applied(usize, u64, Version, Vec<Resource>),
    Persisted(usize, u64, Snapshot),
    Start(usize),
    GrantLease,
    RootAnnounced(usize, u64),
    RecordRead(u64),
    /// Token, text and version of the write, whether its outcome stays unknown, and whether the write is
    /// lost.
    RecordWritten(u64, String, u64, bool, bool),
    CheckMajority(u64),
    Propose,
}

/// A simulated process with its disk.
pub struct Process {
    pub config: TreeNodeConfig,
    pub node: Option<TreeNode>,
    pub incarnation: u64,
    pub host: RecordingHost,
    /// The snapshot on its disk, and the one that was there before the last write.
    pub disk: Option<Snapshot>,
    pub older_disk: Option<Snapshot>,
    /// What it has in force, and whether it is applying resources now.
    pub applied: Applied,
    pub applying: bool,
    /// Its link to a parent, and the number of its last connection.
    pub link: Option<ChildId>,
    pub connect_number: u64,
    /// The links of children that were lost here, and when; and the latest known link of each process.
    pub lost_links: Vec<(Attachment, Nanos)>,
    pub latest_links: BTreeMap<Name, Attachment>,
    /// When the next tick of the tree node is scheduled.
    pub wake_at: Nanos,
    /// How long it takes to put resources in force; writing its disk takes a quarter of it.
    pub apply_delay: Nanos,
    /// Whether it stays down after a crash, and until when it is cut off from all other processes.
    pub never_restarts: bool,
    pub isolated_until: Nanos,
}

/// A link between two processes, each given by its index and incarnation.
pub struct Link {
    pub child: (usize, u64),
    pub parent: (usize, u64),
    /// Messages are lost without the ends noticing.
    pub drops_messages: bool,
    /// When the last message in each direction arrives: messages stay in order.
    pub up_delivered_at: Nanos,
    pub down_delivered_at: Nanos,
    /// Whether the child's end and the parent's end are open.
    pub open: (bool, bool),
    /// The part without an answer: the version that the child holds after it if it is the last part.
    pub part_in_flight: Option<Option<Version>>,
    /// The child's subscription and its last summary, as received by the parent.
    pub attachment: Option<Attachment>,
    pub summary: Option<Summary>,
    /// When how many bytes were sent to the child within the last second.
    pub sent: VecDeque<(Nanos, usize)>,
}

/// The simulated fleet, its record and its event queue.
pub struct Simulation {
    pub now: Nanos,
    pub rng: Rng,
    /// Scheduled events by time, then by the order in which they were scheduled.
    pub queue: BTreeMap<(Nanos, u64), Event>,
    pub sequence: u64,
    pub processes: Vec<Process>,
    pub links: BTreeMap<ChildId, Link>,
    pub next_link: ChildId,
    /// The record: its epoch, the value `carrier` with its version, the version of the record, the token of
    /// the lease, and which process holds the lease.
    pub epoch: u64,
    pub entry: Option<(String, u64)>,
    pub record_version: u64,
    pub token: u64,
    pub holder: Option<usize>,
    pub publisher: Option<Publisher>,
    pub publisher_host: RecordingPublisherHost,
    /// The number of proposals so far, and the outcome of each by its number.
    pub proposals: u64,
    pub outcomes: BTreeMap<u64, ChangeOutcome>,
    /// All changes that were ever settled, by version.
    pub settled: BTreeMap<Version, Vec<Resource>>,
    /// Whether messages and writes to the record are lost at random.
    pub lossy: bool,
    /// The maximum delay of a message.
    pub max_delay: Nanos,
    /// The number of parts that were sent.
    pub deltas: u64,
    /// The first violated invariant.
    pub violation: Option<String>,
    pub name: String,
    /// Whether events are printed; set by the environment variable SHOW.
    pub verbose: bool,
}

/// The configuration of a process with small limits.
pub fn node_config(
    name: &str,
    site: &str,
    is_control: bool,
    is_relay: bool,
    parent_tiers: Vec<Vec<Name>>,
) -> TreeNodeConfig {
    TreeNodeConfig {
        member: Member { name: name.into(), incarnation: 1 },
        location: Location { region: "r".into(), zone: format!("z{site}"), site: site.into() },
        is_control,
        is_relay,
        parent_tiers,
        max_children: 16,
        child_bytes_per_second: 6_000,
        part_bytes: 1_024,
        control_bytes_per_second: 6_000,
        control_part_bytes: 1_024,
        control_machines: Vec::new(),
        max_exceptions: 16,
    }
}

impl Simulation {
    pub fn new(seed: u64, processes: Vec<TreeNodeConfig>) -> Simulation {
        let mut simulation = Simulation {
            now: 0,
            rng: Rng(seed),
            queue: BTreeMap::new(),
            sequence: 0,
            processes: Vec::new(),
            links: BTreeMap::new(),
            next_link: 1,
            epoch: 7,
            entry: None,
            record_version: 1,
            token: 0,
            holder: None,
            publisher: None,
            publisher_host: RecordingPublisherHost::default(),
            proposals: 0,
            outcomes: BTreeMap::new(),
            settled: BTreeMap::new(),
            lossy: false,
            max_delay: 20 * MS,
            deltas: 0,
            violation: None,
            name: format!("seed {seed}"),
            verbose: std::env::var("SHOW").is_ok(),
        };
        for (index, config) in processes.into_iter().enumerate() {
            let apply_delay = 20 * MS + simulation.rng.below(400) * MS;
            simulation.processes.push(Process {
                config,
                node: None,
                incarnation: 0,
                host: RecordingHost { calls: Vec::new(), rng: Rng(seed ^ (index as u64 + 1) << 32) },
                disk: None,
                older_disk: None,
                applied: BTreeMap::new(),
                applying: false,
                link: None,
                connect_number: 0,
                lost_links: Vec::new(),
                latest_links: BTreeMap::new(),
                wake_at: Nanos::MAX,
                apply_delay,
                never_restarts: false,
                isolated_until: 0,
            });
            simulation.schedule(0, Event::Start(index));
        }
        simulation.schedule(100 * MS, Event::GrantLease);
        simulation
    }

    /// Schedules an event after this delay.
    pub fn schedule(&mut self, after: Nanos, event: Event) {
        self.sequence += 1;
        self.queue.insert((self.now + after, self.sequence), event);
    }

    fn report_violation(&mut self, what: String) {
        if self.violation.is_none() {
            self.violation = Some(format!("{}, at {} ms: {what}", self.name, self.now / MS));
        }
    }

    /// Runs until this time, or until an invariant is violated.
    pub fn run(&mut self, until: Nanos) {
        while self.violation.is_none() {
            let Some((&(at, sequence), _)) = self.queue.first_key_value() else { break };
            if at > until {
                break;
            }
            let Some(event) = self.queue.remove(&(at, sequence)) else { break };
            self.now = at;
            self.handle(event);
        }
        self.now = until;
    }

    /// Calls the tree node of a process, if it is running, and performs the calls that the node makes to its
    /// host. The held version must never decrease.
    fn with_node(&mut self, index: usize, call: impl FnOnce(&mut TreeNode, Nanos, &mut RecordingHost)) {
        let process = &mut self.processes[index];
        let Some(node) = &mut process.node else { return };
        let before = node.version();
        call(node, self.now, &mut process.host);
        let (after, due) = (node.version(), node.due());
        let calls = std::mem::take(&mut process.host.calls);
        if after < before {
            self.report_violation(format!(
                "{} went back from {before} to {after}",
                self.processes[index].config.member.name
            ));
        }
        for call in calls {
            self.perform(index, call);
        }
        self.wake(index, due);
    }

    fn wake(&mut self, index: usize, due: Nanos) {
        let process = &mut self.processes[index];
        if due < process.wake_at {
            process.wake_at = due.max(self.now + 1);
            let incarnation = process.incarnation;
            let after = process.wake_at - self.now;
            self.schedule(after, Event::Tick(index, incarnation));
        }
    }

    fn random_delay(&mut self) -> Nanos {
        MS + self.rng.below(self.max_delay)
    }

    fn perform(&mut self, index: usize, call: HostCall) {
        let incarnation = self.processes[index].incarnation;
        match call {
            HostCall::ConnectParent(name) => {
                self.processes[index].connect_number += 1;
                let connect_number = self.processes[index].connect_number;
                let after = self.random_delay();
                self.schedule(after, Event::ConnectAnswered(index, incarnation, connect_number, name));
            }
            HostCall::DisconnectParent => {
                self.processes[index].connect_number += 1;
                if let Some(link) = self.processes[index].link.take() {
                    self.close_link(link, true);
                }
            }
            HostCall::SendToParent(message) => self.send_up(index, message),
            HostCall::SendToChild(child, message) => self.send_down(child, message),
            HostCall::DisconnectChild(child) => {
                self.child_left(index, child);
                self.close_link(child, false);
            }
            HostCall::Apply(version, resources) => {
                if std::mem::replace(&mut self.processes[index].applying, true) {
                    self.report_violation("asked to apply resources while others are being applied".into());
                }
                let apply_delay = self.processes[index].apply_delay;
                self.schedule(apply_delay, Event::Applied(index, incarnation, version, resources));
            }
            HostCall::Persist(snapshot) => {
                let write_delay = self.processes[index].apply_delay / 4;
                self.schedule(write_delay, Event::Persisted(index, incarnation, snapshot));
            }
        }
    }

    /// Closes one end of a link; the other end learns of it later.
    fn close_link(&mut self, link: ChildId, by_child: bool) {
        let after = self.random_delay();
        let Some(link_state) = self.links.get_mut(&link) else { return };
        if by_child {
            link_state.open.0 = false;
        } else {
            link_state.open.1 = false;
        }
        // Messages that were sent before arrive first.
        let (up, down) = (link_state.up_delivered_at + 1, link_state.down_delivered_at + 1);
        let (drops_messages, now) = (link_state.drops_messages, self.now);
        // A link that drops messages delays the news of its end too.
        let after = if drops_messages { after + 15 * SECOND } else { after };
        match by_child {
            true => self.schedule(up.saturating_sub(now).max(after), Event::ClosedAtParent(link)),
            false => self.schedule(down.saturating_sub(now).max(after), Event::ClosedAtChild(link)),
        }
    }

    fn send_up(&mut self, index: usize, message: ChildMessage) {
        if let ChildMessage::Summary(summary) = &message {
            self.check_summary(index, summary);
        }
        let after = self.random_delay();
        let lost = self.lossy && self.rng.one_in(30);
        let Some(link) = self.processes[index].link else { return };
        let Some(link_state) = self.links.get_mut(&link) else { return };
        link_state.up_delivered_at = (self.now + after).max(link_state.up_delivered_at + 1);
        let after = link_state.up_delivered_at - self.now;
        if !link_state.drops_messages && !lost {
            self.schedule(after, Event::ToParent(link, message));
        }
    }

    fn send_down(&mut self, link: ChildId, message: ParentMessage) {
        let after = self.random_delay();
        let lost = self.lossy && self.rng.one_in(30);
        let now = self.now;
        let bytes = postcard::experimental::serialized_size(&message).unwrap();
        let Some(link_state) = self.links.get_mut(&link) else { return };
        link_state.sent.push_back((now, bytes));
        while link_state.sent.front().is_some_and(|(at, _)| at + SECOND <= now) {
            link_state.sent.pop_front();
        }
        let window_bytes: usize = link_state.sent.iter().map(|(_, bytes)| bytes).sum();
        let second_part = match &message {
            ParentMessage::Delta { version, last, .. } => {
                link_state.part_in_flight.replace(last.then_some(*version)).is_some()
            }
            _ => false,
        };
        link_state.down_delivered_at = (now + after).max(link_state.down_delivered_at + 1);
        let (after, drops_messages) = (link_state.down_delivered_at - now, link_state.drops_messages);
        if second_part {
            self.report_violation("a part was sent before the last one was answered".into());
        }
        if window_bytes > 6_000 || bytes > 1_024 {
            self.report_violation(format!("sent {window_bytes} bytes in a second, {bytes} in one message"));
        }
        self.deltas += u64::from(matches!(message, ParentMessage::Delta { .. }));
        if !drops_messages && !lost {
            self.schedule(after, Event::ToChild(link, message));
        }
    }

    /// Records that the link of a child ended at this parent.
    fn child_left(&mut self, index: usize, link: ChildId) {
        let now = self.now;
        let Some(Link { attachment: Some(attachment), summary: Some(_), .. }) = self.links.get(&link) else {
            return;
        };
        let attachment = attachment.clone();
        let process = &mut self.processes[index];
        process.lost_links.retain(|(lost, _)| !attachment.is_later_than(lost));
        if process
            .latest_links
            .get(&attachment.member.name)
            .is_none_or(|latest| !latest.is_later_than(&attachment))
        {
            process.lost_links.push((attachment, now));
        }
    }

    /// Records that a member arrived here or below: its earlier links no longer count as lost.
    fn child_arrived(&mut self, index: usize, attachment: &Attachment) {
        let process = &mut self.processes[index];
        process.lost_links.retain(|(lost, _)| !attachment.is_later_than(lost));
        let latest =
            process.latest_links.entry(attachment.member.name.clone()).or_insert_with(|| attachment.clone());
        if attachment.is_later_than(latest) {
            *latest = attachment.clone();
        }
    }

    /// Handles an event.
    pub fn handle(&mut self, event: Event) {
        if self.verbose
            && !matches!(event, Event::Tick(..) | Event::ToChild(_, ParentMessage::Heartbeat { .. }))
        {
            println!("{:6} {event:?}", self.now / MS);
        }
        match event {
            Event::Tick(index, incarnation) => {
                if self.processes[index].incarnation == incarnation
                    && self.processes[index].wake_at <= self.now
                {
                    self.processes[index].wake_at = Nanos::MAX;
                    self.with_node(index, |node, now, host| node.tick(now, host));
                }
            }
            Event::ConnectAnswered(index, incarnation, connect_number, name) => {
                self.connect_answered(index, incarnation, connect_number, &name)
            }
            Event::ToParent(link, message) => self.deliver_up(link, message),
            Event::ToChild(link, message) => {
                let Some(link_state) = self.links.get(&link) else { return };
                let (index, incarnation) = link_state.child;
                if link_state.open.0 && self.processes[index].incarnation == incarnation {
                    self.with_node(index, |node, now, host| node.parent_message(now, message, host));
                }
            }
            Event::ClosedAtParent(link) => {
                let Some(link_state) = self.links.get_mut(&link) else { return };
                let (index, incarnation) = link_state.parent;
                if std::mem::replace(&mut link_state.open.1, false)
                    && self.processes[index].incarnation == incarnation
                {
                    self.child_left(index, link);
                    self.with_node(index, |node, now, host| node.child_disconnected(now, link, host));
                }
            }
            Event::ClosedAtChild(link) => {
                let Some(link_state) = self.links.get_mut(&link) else { return };
                let (index, incarnation) = link_state.child;
                if std::mem::replace(&mut link_state.open.0, false)
                    && self.processes[index].incarnation == incarnation
                    && self.processes[index].link == Some(link)
                {
                    self.processes[index].link = None;
                    self.with_node(index, |node, now, host| node.parent_disconnected(now, host));
                }
            }
            Event::Applied(index, incarnation, version, resources) => {
                self.applied(index, incarnation, version, resources)
            }
            Event::Persisted(index, incarnation, snapshot) => {
                let process = &mut self.processes[index];
                if process.incarnation == incarnation && process.node.is_some() {
                    let version = snapshot.version;
                    process.older_disk = process.disk.replace(snapshot);
                    self.with_node(index, |node, now, host| node.persisted(now, version, host));
                    self.schedule(MS, Event::CheckMajority(self.token));
                }
            }
            Event::Start(index) => self.start(index),
            Event::GrantLease => self.grant_lease(),
            Event::RootAnnounced(index, token) => {
                if token == self.token {
                    let name = self.holder.map(|holder| self.processes[holder].config.member.name.clone());
                    self.with_node(index, |node, now, host| node.set_root(now, name.as_deref(), host));
                    if self.holder == Some(index) && self.publisher.is_none() {
                        self.publisher = Some(Publisher::start(self.now, &mut self.publisher_host));
                        self.perform_publisher_calls();
                    }
                }
            }
            _ => self.handle_publisher_event(event),
        }
    }

    /// Cuts a process off from all others for a while; no process notices it at once.
    pub fn isolate(&mut self, index: usize, duration: Nanos) {
        self.processes[index].isolated_until = self.now + duration;
        for link in self.links.values_mut().filter(|link| link.child.0 == index || link.parent.0 == index) {
            link.drops_messages = true;
        }
    }

    fn connect_answered(&mut self, index: usize, incarnation: u64, connect_number: u64, name: &str) {
        let process = &self.processes[index];
        if process.incarnation != incarnation || process.connect_number != connect_number {
            return;
        }
        let parent =
            self.processes.iter().position(|other| other.config.member.name == name && other.node.is_some());
        let Some(parent) = parent else {
            return self.with_node(index, |node, now, host| node.parent_disconnected(now, host));
        };
        self.links.retain(|_, link| link.open != (false, false));
        if self.processes[index].isolated_until > self.now || self.processes[parent].isolated_until > self.now
        {
            return;
        }
        let link = self.next_link;
        self.next_link += 1;
        self.links.insert(
            link,
            Link {
                child: (index, incarnation),
                parent: (parent, self.processes[parent].incarnation),
                drops_messages: false,
                up_delivered_at: self.now,
                down_delivered_at: self.now,
                open: (true, true),
                part_in_flight: None,
                attachment: None,
                summary: None,
                sent: VecDeque::new(),
            },
        );
        self.processes[index].link = Some(link);
        self.with_node(parent, |node, now, host| node.child_connected(now, link, host));
        self.with_node(index, |node, now, host| node.parent_connected(now, host));
    }

    fn deliver_up(&mut self, link: ChildId, message: ChildMessage) {
        let Some(link_state) = self.links.get_mut(&link) else { return };
        let (index, incarnation) = link_state.parent;
        if !link_state.open.1 || self.processes[index].incarnation != incarnation {
            return;
        }
        let mut arrived = Vec::new();
        match &message {
            ChildMessage::Subscribe { attachment, .. } => {
                link_state.attachment = Some(attachment.clone());
                arrived.push(attachment.clone());
            }
            ChildMessage::PartAck if link_state.part_in_flight == Some(None) => {
                link_state.part_in_flight = None
            }
            ChildMessage::Holds { version, .. }
                if link_state
                    .part_in_flight
                    .is_some_and(|part| part.is_some_and(|until| *version >= until)) =>
            {
                link_state.part_in_flight = None;
            }
            ChildMessage::Summary(summary) => {
                link_state.summary = Some(summary.clone());
                arrived.extend(summary.arrived.clone());
            }
            _ => {}
        }
        arrived.iter().for_each(|attachment| self.child_arrived(index, attachment));
        self.with_node(index, |node, now, host| node.child_message(now, link, message, host));
    }

    fn applied(&mut self, index: usize, incarnation: u64, version: Version, resources: Vec<Resource>) {
        let process = &mut self.processes[index];
        if process.incarnation != incarnation || process.node.is_none() {
            return;
        }
        process.applying = false;
        let mut applied = process.applied.clone();
        let refused = apply(&mut applied, resources);
        // Of a held resource that had a good version in force, some version must stay in force.
        let lost = process.node.as_ref().and_then(|node| {
            let is_held = |key: &Key| {
                let same = |held: &&Resource| {
                    (&held.scope, &held.name) == (&key.0, &key.1) && held.version <= version
                };
                node.resources().find(same).is_some_and(|held| held.patch.is_some())
            };
            process.applied.keys().find(|key| !applied.contains_key(*key) && is_held(key))
        });
        let lost = lost.cloned();
        process.applied = applied;
        if let Some((scope, name)) = lost {
            self.report_violation(format!("no version of {name} for {scope} is in force any more"));
        }
        self.with_node(index, |node, now, host| node.applied(now, version, refused, host));
    }

    /// Starts a process with its disk, unless it is running or stays down.
    pub fn start(&mut self, index: usize) {
        let process = &mut self.processes[index];
        if process.never_restarts || process.node.is_some() {
            return;
        }
        process.incarnation += 1;
        process.config.member.incarnation = process.incarnation;
        (process.applying, process.wake_at, process.link) = (false, Nanos::MAX, None);
        (process.applied, process.lost_links, process.latest_links) = Default::default();
        let node = TreeNode::start(self.now, process.config.clone(), process.disk.clone(), &mut process.host);
        process.node = Some(node);
        let token = self.token;
        self.with_node(index, |_, _, _| ());
        if self.processes[index].config.is_control && self.holder.is_some() {
            self.handle(Event::RootAnnounced(index, token));
        }
    }

    /// Stops a process without notice; its links break.
    pub fn crash(&mut self, index: usize) {
        self.processes[index].node = None;
        self.processes[index].link = None;
        let incarnation = self.processes[index].incarnation;
        let links: Vec<ChildId> = self.links.keys().copied().collect();
        for link in links {
            if self.links[&link].child == (index, incarnation) && self.links[&link].open.0 {
                self.close_link(link, true);
            }
            if self.links[&link].parent == (index, incarnation) && self.links[&link].open.1 {
                self.close_link(link, false);
            }
        }
        if self.holder == Some(index) {
            // The lease expires.
            self.schedule(6 * SECOND, Event::GrantLease);
            (self.holder, self.publisher) = (None, None);
            self.token += 1;
        }
    }

    /// Breaks a link; both ends learn of it later.
    pub fn break_link(&mut self, link: ChildId) {
        self.close_link(link, true);
        self.close_link(link, false);
        if let Some(link_state) = self.links.get_mut(&link) {
            link_state.open = (true, true);
        }
    }

    /// Grants the lease to one of the running control machines.
    fn grant_lease(&mut self) {
        let running: Vec<usize> = (0..self.processes.len())
            .filter(|index| self.processes[*index].config.is_control && self.processes[*index].node.is_some())
            .collect();
        if running.is_empty() {
            return self.schedule(SECOND, Event::GrantLease);
        }
        self.token += 1;
        self.publisher = None;
        self.publisher_host.calls.clear();
        self.holder = Some(running[self.rng.below(running.len() as u64) as usize]);
        for index in running {
            let after = self.random_delay();
            self.schedule(after, Event::RootAnnounced(index, self.token));
        }
    }

    /// Proposes changes to the publisher, if there is one.
    pub fn propose(&mut self, changes: Vec<Change>) {
        self.proposals += 1;
        let number = self.proposals;
        let now = self.now;
        if let Some(publisher) = &mut self.publisher {
            publisher.propose(now, number, changes, &mut self.publisher_host);
            self.perform_publisher_calls();
        }
    }

    fn perform_publisher_calls(&mut self) {
        while let Some(call) = self.publisher_host.calls.pop_front() {
            let after = self.random_delay();
            match call {
                PublisherCall::ReadRecord => self.schedule(after, Event::RecordRead(self.token)),
                PublisherCall::WriteRecord(text, version) => {
                    let unknown = self.lossy && self.rng.one_in(4);
                    let lost = unknown && self.rng.one_in(2);
                    self.schedule(after, Event::RecordWritten(self.token, text, version, unknown, lost));
                }
                PublisherCall::Publish(version, resources) => {
                    self.settled.entry(version).or_insert_with(|| resources.clone());
                    if let Some(holder) = self.holder {
                        self.with_node(holder, |node, now, host| node.publish(now, version, resources, host));
                    }
                    self.schedule(MS, Event::CheckMajority(self.token));
                }
                PublisherCall::Answer(number, outcome) => {
                    self.outcomes.insert(number, outcome);
                }
                PublisherCall::ReleaseLease => {
                    self.schedule(after, Event::GrantLease);
                    return;
                }
            }
        }
    }

    fn handle_publisher_event(&mut self, event: Event) {
        let token = match &event {
            Event::RecordRead(token) | Event::RecordWritten(token, ..) | Event::CheckMajority(token) => {
                *token
            }
            _ => return,
        };
        if token != self.token {
            return;
        }
        let Some(holder) = self.holder else { return };
        let control_count = self.processes.iter().filter(|process| process.config.is_control).count();
        let Some(node) = &self.processes[holder].node else { return };
        let (held, majority) = (node.version(), node.majority_version(control_count));
        let now = self.now;
        let Some(mut publisher) = self.publisher.take() else { return };
        match event {
            Event::RecordRead(_) => {
                let entry = self.entry.clone();
                let entry = entry.as_ref().map(|(text, version)| (text.as_str(), *version));
                publisher.record_read(now, self.epoch, entry, held, &mut self.publisher_host);
            }
            Event::RecordWritten(_, text, version, unknown, lost) => {
                let version_matches = self.entry.as_ref().map_or(0, |(_, version)| *version) == version;
                if version_matches && !lost {
                    self.record_version += 1;
                    self.entry = Some((text, self.record_version));
                }
                let outcome = match (unknown, version_matches) {
                    (true, _) => WriteOutcome::Unknown,
                    (false, true) => WriteOutcome::Committed(self.record_version),
                    (false, false) => WriteOutcome::Refused,
                };
                publisher.record_written(now, outcome, &mut self.publisher_host);
            }
            _ => publisher.majority_persisted(now, majority, &mut self.publisher_host),
        }
        self.publisher = Some(publisher);
        self.perform_publisher_calls();
    }

    /// Checks that a summary claims no more than what is in force at the members that it counts, except for
    /// its exceptions, and that it lists the members that were lost.
    pub fn check_summary(&mut self, index: usize, summary: &Summary) {
        let process = &self.processes[index];
        let member = &process.config.member;
        let is_listed = |listed: &Member| {
            summary.unnamed > 0
                || summary.exceptions.iter().any(|exception| {
                    exception.member == *listed
                        && matches!(exception.kind, ExceptionKind::Late | ExceptionKind::Lost { .. })
                })
        };
        let mut violations = Vec::new();
        violations.extend(false_claim(
            member,
            &process.config.location,
            &process.applied,
            summary,
            &self.settled,
        ));
        for link in self.links.values() {
            if link.parent == (index, process.incarnation)
                && link.open.1
                && let (Some(attachment), Some(below)) = (&link.attachment, &link.summary)
                && summary.in_force > below.in_force
                && !is_listed(&attachment.member)
            {
                violations.push(format!(
                    "{} claims {}, but its child {} reported {}",
                    member.name, summary.in_force, attachment.member.name, below.in_force
                ));
            }
        }
        for (attachment, since) in &process.lost_links {
            let is_connected = |link: &Link| {
                link.parent == (index, process.incarnation)
                    && link.open.1
                    && link
                        .attachment
                        .as_ref()
                        .is_some_and(|other| other.member.name == attachment.member.name)
            };
            if self.now < since + 59 * SECOND
                && !is_listed(&attachment.member)
                && !self.links.values().any(is_connected)
            {
                violations.push(format!(
                    "{} forgot {attachment:?}, lost at {since} ns, in {summary:?}",
                    member.name
                ));
            }
        }
        violations.into_iter().for_each(|violation| self.report_violation(violation));
    }

    /// Checks that the answer to each proposal agrees with what was settled.
    pub fn check_outcomes(&mut self) {
        let all = || self.settled.values().flatten();
        let mut violations = Vec::new();
        for (number, outcome) in &self.outcomes {
            let patch = format!(r#"{{"x":{number}}}"#);
            let is_settled = all().any(|resource| resource.patch.as_deref() == Some(patch.as_str()));
            match outcome {
                ChangeOutcome::Settled(version) if self.settled.range(version..).next().is_none() => {
                    violations.push(format!("proposal {number} is not settled as {version}"));
                }
                ChangeOutcome::Refused(reason) if is_settled => {
                    violations.push(format!("proposal {number} was refused, but it is settled: {reason}"))
                }
                _ => {}
            }
        }
        violations.into_iter().for_each(|violation| self.report_violation(violation));
    }

    /// Checks that all running processes hold the last settled version and have it in force, and that the
    /// root's summary says so. The error names what is missing where.
    pub fn check_converged(&self) -> Result<(), String> {
        let Some(holder) = self.holder else { return Err("there is no root".into()) };
        let (Some(root), Some((version, _))) = (&self.processes[holder].node, self.settled.last_key_value())
        else {
            return Err("there is no root".into());
        };
        let newest = last_writes(&self.settled, *version);
        let summary = root.summary(self.now);
        let running = self.processes.iter().filter(|process| process.node.is_some());
        for process in running.clone() {
            let Some(node) = &process.node else { continue };
            let name = &process.config.member.name;
            if node.version() != *version {
                return Err(format!("{name} holds {}, not {version}", node.version()));
            }
            let own_interest = Interest::Proxy(process.config.location.clone(), name.clone());
            let held: BTreeMap<Key, &Resource> = node
                .resources()
                .map(|resource| ((resource.scope.clone(), resource.name.clone()), resource))
                .collect();
            for (key, write) in
                newest.iter().filter(|(key, write)| own_interest.includes(&key.0) && write.patch.is_some())
            {
                if held.get(key).is_none_or(|held| held != write) {
                    return Err(format!("{name} lacks {}", key.1));
                }
                let bad = write.patch.as_ref().is_some_and(|patch| patch.contains("bad"));
                if !bad && process.applied.get(key).is_none_or(|applied| applied != *write) {
                    return Err(format!("{name} does not have in force {}", key.1));
                }
            }
            let unexpected = held.values().find(|held| {
                held.patch.is_some()
                    && newest.get(&(held.scope.clone(), held.name.clone())).is_none_or(|write| write != *held)
            });
            if let Some(unexpected) = unexpected {
                return Err(format!("{name} still has {}", unexpected.name));
            }
        }
        if summary.in_force != *version {
            return Err(format!("the root's summary has {} in force", summary.in_force));
        }
        let lost = summary
            .exceptions
            .iter()
            .filter(|exception| matches!(exception.kind, ExceptionKind::Lost { .. }))
            .count();
        let late =
            summary.exceptions.iter().filter(|exception| exception.kind == ExceptionKind::Late).count();
        if summary.members as usize - lost != running.count() || late > 0 {
            return Err(format!("the root's summary has the wrong members: {summary:?}"));
        }
        Ok(())
    }
}
