//! Discrete-event simulation of a whole fleet in virtual time: runs the decision code of the proxies for each
//! process, over links with delay and loss. Deterministic: the same plan and seed give the same results.
//!
//! All events are in one priority queue. A stopped process gets its events when it resumes. A partitioned
//! link loses its messages, and both ends detect that by missing heartbeats. A process that dies has its
//! links reset, unless its machine died with it.

mod changes;
mod events;
mod faults;
mod hosts;
mod links;
mod publishing;
mod voting;

use super::agree::{self, Clock, ControlMachine, SimulatedVoter};
use super::fleet::{self, Placement, Role};
use super::meter::{FRAME_OVERHEAD, Meter};
use super::plan::{DiskState, FaultKind, Plan};
use super::report::{Report, RunCost};
use super::truth::{Applied, Checker, ProcessState, TrackedResource};
use pumicebay_accord::{Answer, Message, Operation, StoreId};
use pumicebay_carrier::{ChildMessage, Nanos, ParentMessage, Scope, Snapshot, TreeNode, Version};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};
use std::time::{Duration, Instant};

/// A millisecond of simulated time.
pub const MILLISECOND: Nanos = 1_000_000;
/// A second of simulated time.
pub const SECOND: Nanos = 1_000 * MILLISECOND;
/// An end of a link closes it after this time without a heartbeat; heartbeats are sent twice a second.
const SILENCE_TIMEOUT: Nanos = 2 * SECOND;
const HEARTBEAT_INTERVAL: Nanos = SECOND / 2;
/// Interval at which the summary of the root is checked.
const SUMMARY_CHECK_INTERVAL: Nanos = 100 * MILLISECOND;
/// Interval at which the checker looks for processes that have caught up.
const CATCH_UP_CHECK_INTERVAL: Nanos = 250 * MILLISECOND;
/// Shortest interval between two timers of a process.
const MIN_WAKE_GAP: Nanos = MILLISECOND;
/// Delay before a change is proposed again that was refused or had an unknown outcome, or found no publisher.
const REPROPOSE_DELAY: Nanos = 500 * MILLISECOND;
/// Delay before a change is proposed again whose publisher stopped without an answer.
const UNANSWERED_DELAY: Nanos = 2 * SECOND;
/// Largest size of one change in the warm-up, in bytes.
const WARM_UP_CHANGE_BYTES: usize = 18 * 1024;
/// Bytes that a resource takes beside its patch.
const RESOURCE_OVERHEAD: usize = 160;
/// One of this many calls of the decision code is timed.
const TIMING_SAMPLE_INTERVAL: u64 = 32;

type LinkId = u32;

/// Simulated event. Processes, voters, proposals and faults are given by index; `u64` after a process is its
/// incarnation.
enum Event {
    /// Empty slot.
    None,
    /// Timer of the node of a process.
    Wake(usize),
    /// A connection arrives at the parent.
    DialArrived(LinkId),
    /// The connection is established at the child.
    Connected(LinkId),
    /// The child (`true`) or the parent learns that the other end closed the link.
    LinkClosed(LinkId, bool),
    /// The child (`true`) or the parent closes the link for missing heartbeats, if the cause still lasts.
    LinkSilent(LinkId, bool),
    /// A message arrives at the parent.
    ToParent(LinkId, ChildMessage),
    /// A message arrives at the child.
    ToChild(LinkId, ParentMessage),
    /// A process finished putting a version in force, with the resources that it refused: scope, name,
    /// reason.
    ApplyDone(usize, u64, Version, Applied, Vec<(Scope, String, String)>),
    /// A process finished writing a snapshot to disk.
    PersistDone(usize, u64, Snapshot),
    /// A message arrives at the first voter from the second one.
    VoterMessage(StoreId, StoreId, Message),
    /// An operation arrives at a voter.
    VoterOperation(usize, Operation),
    /// An answer of a voter arrives at a control machine.
    VoterAnswer(Answer),
    /// Timer of a voter.
    VoterTimer(usize),
    /// Timer of the lease client of a control machine.
    LeaseTimer(usize),
    /// Timer of the publisher of a control machine.
    PublisherTimer(usize),
    /// A control machine sends a pending operation again: machine, incarnation, operation number, voter.
    SendOperation(usize, u64, u64, usize),
    /// A fault of the plan starts.
    FaultStart(usize),
    /// A fault of the plan ends.
    FaultEnd(usize),
    /// A process dies; `true`: with its machine, so that its links are not reset.
    Kill(usize, bool),
    /// A process starts with its disk in the given state.
    Start(usize, DiskState),
    /// The link of a process to its parent is reset.
    ResetLink(usize),
    /// A change is proposed to the publisher.
    Propose(usize),
    /// The summary of the root is checked.
    CheckSummary,
    /// The checker looks for processes that have caught up.
    CheckCatchUp,
    /// The measured time starts.
    StartMeasurement,
}

/// Connection of a child to a parent.
#[derive(Default)]
struct Link {
    child: usize,
    parent: usize,
    /// Whether the child considers the link open.
    child_open: bool,
    /// Whether the parent considers the link open.
    parent_open: bool,
    /// Whether the connection was established at the child.
    connected: bool,
    /// Time when the child began to connect.
    dialed_at: Nanos,
    /// Arrival time of the last message to the parent; later ones arrive after it.
    last_up_arrival: Nanos,
    /// Arrival time of the last message to the child; later ones arrive after it.
    last_down_arrival: Nanos,
}

/// A process of the fleet.
pub(super) struct SimulatedProcess {
    /// Its node of the tree; `None` while the process is dead.
    pub(super) node: Option<TreeNode>,
    /// Number of its starts.
    incarnation: u64,
    pub(super) clock: Clock,
    /// Global time of its next timer; `Nanos::MAX` for none.
    wake_at: Nanos,
    /// Global time of its last timer.
    ticked_at: Nanos,
    /// Snapshot on its disk.
    disk: Option<Snapshot>,
    /// Copy of its disk from the start of the measured time.
    initial_disk: Option<Snapshot>,
    /// Whether the run ever reads its disk; if not, snapshots keep only the version, to save memory.
    disk_is_read: bool,
    /// Link to its parent.
    parent_link: Option<LinkId>,
    /// Links to its children.
    child_links: BTreeSet<LinkId>,
    /// Whether it is stopped; its events wait in `backlog`.
    stalled: bool,
    /// Whether it reads one byte a second.
    slow: bool,
    /// Whether it died with its machine, so that its peers were not notified.
    died_silently: bool,
    /// Events that arrived while it was stopped.
    backlog: VecDeque<Event>,
    pub(super) meter: Meter,
    /// Newest version that its node holds.
    held_version: Version,
    /// Time when it lost a parent that failed, until it has another one.
    orphaned_at: Option<Nanos>,
    /// Whether it dies while it sends the next part of a delta.
    dies_during_delta: bool,
    /// Whether it ever was the publisher.
    pub(super) has_published: bool,
}

/// A proposed change of one or more resources.
struct Proposal {
    /// Index and patch of each resource.
    changes: Vec<(usize, String)>,
    first_proposed_at: Nanos,
    /// Whether it was first proposed in the measured time.
    measured: bool,
}

/// State of a simulation; all times are global simulated times.
pub struct Simulation<'a> {
    pub(super) plan: &'a Plan,
    pub(super) seed: u64,
    pub(super) placements: Vec<Placement>,
    index_by_name: BTreeMap<String, usize>,
    random: SmallRng,
    now: Nanos,
    /// Start of the measured time.
    pub(super) measure_start: Nanos,
    /// End of the run.
    pub(super) end: Nanos,
    /// Scheduled events: time, sequence number to break ties, index into `event_slots`.
    queue: BinaryHeap<Reverse<(Nanos, u64, u32)>>,
    /// Storage of the scheduled events, reused through `free_slots`.
    event_slots: Vec<Event>,
    /// Indexes of the unused `event_slots`.
    free_slots: Vec<u32>,
    last_sequence: u64,
    pub(super) processes: Vec<SimulatedProcess>,
    links: Vec<Link>,
    /// Whether each region is partitioned.
    partitioned: Vec<bool>,
    pub(super) voters: Vec<SimulatedVoter>,
    pub(super) voter_meters: Vec<Meter>,
    control_machines: Vec<ControlMachine>,
    pub(super) checker: Checker,
    proposals: Vec<Proposal>,
    /// Indexes of resources by the kind of their scope, as in `Scopes::shares`.
    resource_groups: [Vec<usize>; 5],
    /// Processes that each running fault hit, so that its end restores the same ones.
    fault_targets: BTreeMap<usize, Vec<usize>>,
    /// Number of orphaned children that connected to a parent, by the number of the failure and the parent.
    pub(super) herd: BTreeMap<(usize, usize), usize>,
    /// Number of failures of processes so far.
    parent_failures: usize,
    /// Time from the loss of a failed parent to the connection to another one, in seconds.
    pub(super) reparent_seconds: Vec<f64>,
    /// Proposals without an answer, or with an unknown outcome.
    pub(super) unanswered_proposals: usize,
    /// Connection attempts to parents.
    pub(super) parent_dials: usize,
    /// Proposals that the publisher refused.
    pub(super) rejected_proposals: usize,
    pub(super) event_count: u64,
    /// Number of calls of the decision code, to choose the timed ones.
    decision_calls: u64,
    /// Total time and number of the timed calls, by role.
    pub(super) sampled_cpu: BTreeMap<&'static str, (Duration, u64)>,
    /// Number of all calls in the measured time, by role.
    pub(super) decision_counts: BTreeMap<&'static str, u64>,
}

/// Simulates a plan; returns the report, and what the simulation cost this machine.
pub fn run(plan: &Plan, seed: u64) -> (Report, RunCost) {
    let started = Instant::now();
    let mut simulation = Simulation::new(plan, seed);
    simulation.run();
    simulation.outcome(started)
}

impl<'a> Simulation<'a> {
    fn new(plan: &'a Plan, seed: u64) -> Simulation<'a> {
        let mut random = SmallRng::seed_from_u64(seed);
        let placements = fleet::place_processes(plan);
        let ppm = plan.clocks_ppm;
        let mut clock_random = SmallRng::seed_from_u64(seed ^ 0xc10c);
        let mut clock =
            || Clock { ppm: if ppm > 0 { clock_random.random_range(-ppm..=ppm) } else { 0 }, started_at: 0 };
        let voters = agree::start_voters(plan, &mut clock);
        let index_by_name: BTreeMap<String, usize> =
            placements.iter().enumerate().map(|(at, site)| (site.name.clone(), at)).collect();
        let processes = placements.iter().map(|site| SimulatedProcess {
            node: None,
            incarnation: 0,
            clock: clock(),
            wake_at: Nanos::MAX,
            ticked_at: 0,
            disk: None,
            initial_disk: None,
            disk_is_read: site.role == Role::Control,
            parent_link: None,
            child_links: BTreeSet::new(),
            stalled: false,
            slow: false,
            died_silently: false,
            backlog: VecDeque::new(),
            meter: Meter::default(),
            held_version: Version::default(),
            orphaned_at: None,
            dies_during_delta: false,
            has_published: false,
        });
        let processes: Vec<SimulatedProcess> = processes.collect();
        let control_machines = (0..plan.control_machines)
            .map(|at| ControlMachine::new(plan, 0, &placements[at].name, 1, at % plan.voters))
            .collect();
        let mut checker = Checker::default();
        checker.index_by_name = index_by_name.clone();
        checker.processes = vec![ProcessState::default(); placements.len()];
        let mut resource_groups: [Vec<usize>; 5] = Default::default();
        for (group, scopes) in fleet::resource_scopes(plan, &placements).into_iter().enumerate() {
            for scope in scopes {
                resource_groups[group].push(checker.resources.len());
                checker.resources.push(TrackedResource { scope, versions: Vec::new() });
            }
        }
        let measure_start = (plan.warm_seconds * 1e9) as Nanos;
        let end = measure_start + (plan.seconds * 1e9) as Nanos;
        let _: f64 = random.random_range(0.0..1.0);
        Simulation {
            plan,
            seed,
            index_by_name,
            random,
            now: 0,
            measure_start,
            end,
            queue: BinaryHeap::new(),
            event_slots: Vec::new(),
            free_slots: Vec::new(),
            last_sequence: 0,
            processes,
            links: Vec::new(),
            partitioned: vec![false; plan.regions],
            voter_meters: vec![Meter::default(); voters.len()],
            voters,
            control_machines,
            checker,
            proposals: Vec::new(),
            resource_groups,
            fault_targets: BTreeMap::new(),
            herd: BTreeMap::new(),
            parent_failures: 0,
            reparent_seconds: Vec::new(),
            unanswered_proposals: 0,
            parent_dials: 0,
            rejected_proposals: 0,
            event_count: 0,
            decision_calls: 0,
            sampled_cpu: BTreeMap::new(),
            decision_counts: BTreeMap::new(),
            placements,
        }
    }

    fn run(&mut self) {
        self.schedule_plan();
        while let Some(Reverse((at, _, slot))) = self.queue.pop() {
            if at > self.end {
                break;
            }
            self.now = at;
            self.event_count += 1;
            let event = std::mem::replace(&mut self.event_slots[slot as usize], Event::None);
            self.free_slots.push(slot);
            self.handle(event);
        }
        self.now = self.end;
        let placements = &self.placements;
        self.checker
            .check_final_state(self.end, &|process, scope| fleet::in_scope(&placements[process], scope));
    }

    /// Schedules all that the plan determines: starts, changes, restarts and faults.
    fn schedule_plan(&mut self) {
        let plan = self.plan;
        for at in 0..plan.voters {
            self.schedule(100 * MILLISECOND, Event::VoterTimer(at));
            let links = plan.voters - 1 + plan.control_machines;
            (0..links).for_each(|_| self.voter_meters[at].link_changed(0, true));
        }
        for at in 0..plan.control_machines {
            (0..plan.voters).for_each(|_| self.processes[at].meter.link_changed(0, true));
        }
        for at in 0..self.processes.len() {
            // Proxies start once the resources are written, relays before the others.
            let warm_up = self.measure_start;
            let within = match self.placements[at].role {
                Role::Control => 0..200 * MILLISECOND,
                Role::Relay => warm_up * 45 / 100..warm_up * 52 / 100,
                Role::Proxy => warm_up * 54 / 100..warm_up * 68 / 100,
            };
            let start = self.random.random_range(within);
            self.schedule(start, Event::Start(at, DiskState::Empty));
        }
        // Writes each resource once in the warm-up, many in one change.
        let mut groups: Vec<Vec<(usize, String)>> = vec![Vec::new()];
        let mut bytes = 0;
        for resource_index in 0..self.checker.resources.len() {
            let patch = self.draw_patch(resource_index);
            bytes += patch.len() + RESOURCE_OVERHEAD;
            if bytes > WARM_UP_CHANGE_BYTES {
                (bytes, groups) = (0, [groups, vec![Vec::new()]].concat());
            }
            groups.last_mut().expect("never empty").push((resource_index, patch));
        }
        let (from, until, count) = (SECOND, self.measure_start * 25 / 100, groups.len() as Nanos);
        for (number, changes) in groups.into_iter().enumerate() {
            let at = from + until.saturating_sub(from) * number as Nanos / count;
            self.propose_all_at(at, changes);
        }
        let mut at = self.measure_start;
        loop {
            at += self.exponential_gap(plan.changes_per_second);
            if at >= self.end {
                break;
            }
            let resource_index = self.draw_resource();
            self.propose_at(at, resource_index);
        }
        let restarts = plan.restarts_per_day * plan.proxies as f64 / 86_400.0;
        let mut at = self.measure_start;
        loop {
            at += self.exponential_gap(restarts);
            if at + 4 * SECOND >= self.end {
                break;
            }
            let process = plan.control_machines + self.random.random_range(0..plan.proxies);
            self.processes[process].disk_is_read = true;
            self.schedule(at, Event::Kill(process, false));
            self.schedule(at + 2 * SECOND, Event::Start(process, DiskState::Kept));
        }
        for (number, fault) in plan.faults.iter().enumerate() {
            let starts_at = self.measure_start + (fault.start_seconds * 1e9) as Nanos;
            self.schedule(starts_at, Event::FaultStart(number));
            self.schedule(starts_at + (fault.seconds * 1e9) as Nanos, Event::FaultEnd(number));
            if let Some(process) = self.fault_target(fault) {
                self.processes[process].disk_is_read = true;
            }
            if fault.kind == FaultKind::HalfSite {
                self.half_site_processes(fault)
                    .into_iter()
                    .for_each(|process| self.processes[process].disk_is_read = true);
            }
            if let (FaultKind::Burst, Some(count)) = (fault.kind, fault.count) {
                for _ in 0..count {
                    let at = starts_at + self.random.random_range(0..SECOND);
                    let resource_index = self.draw_resource();
                    self.propose_at(at, resource_index);
                }
            }
        }
        self.schedule(self.measure_start, Event::StartMeasurement);
        self.schedule(SUMMARY_CHECK_INTERVAL, Event::CheckSummary);
        self.schedule(CATCH_UP_CHECK_INTERVAL, Event::CheckCatchUp);
    }
}

/// Bytes of a message as a frame.
pub fn frame_bytes(message: &impl serde::Serialize) -> usize {
    postcard::experimental::serialized_size(message).unwrap_or(0) + FRAME_OVERHEAD
}
