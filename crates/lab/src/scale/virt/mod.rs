//! A whole fleet in virtual time: the decisions of every process, with the code that the proxies have, over links with delay
//! and loss. Same plan and seed, same bytes.
//!
//! One heap of events. A process that is stopped gets its events when it goes on; a link that is cut loses what is sent on
//! it, and both ends learn of it by silence; a process that dies has its links reset, unless its machine died with it.

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

pub const MILLISECOND: Nanos = 1_000_000;
pub const SECOND: Nanos = 1_000 * MILLISECOND;
/// Without a beat for so long an end of a link takes it for gone; beats are sent twice a second.
const SILENCE_TIMEOUT: Nanos = 2 * SECOND;
const HEARTBEAT_INTERVAL: Nanos = SECOND / 2;
/// How often the root's sum is looked at, and who has caught up.
const SUMMARY_CHECK_INTERVAL: Nanos = 100 * MILLISECOND;
const CATCH_UP_CHECK_INTERVAL: Nanos = 250 * MILLISECOND;
/// A process does not wake more often than this.
const MIN_WAKE_GAP: Nanos = MILLISECOND;
/// Who offers a change and is turned away, or finds nobody that publishes, comes again after this.
const REPROPOSE_DELAY: Nanos = 500 * MILLISECOND;
/// Who got no answer comes again after this.
const UNANSWERED_DELAY: Nanos = 2 * SECOND;
/// What the warm-up writes as one change, in bytes, and what a resource takes beside its patch.
const WARM_UP_CHANGE_BYTES: usize = 18 * 1024;
const RESOURCE_OVERHEAD: usize = 160;
/// One of so many calls of the decisions is timed.
const TIMING_SAMPLE_INTERVAL: u64 = 32;

type LinkId = u32;

enum Event {
    None,
    /// A process looks at its clock.
    Wake(usize),
    /// A call arrives at the parent; its answer at the child.
    DialArrived(LinkId),
    Connected(LinkId),
    /// The end of the child, or else of the parent, learns that the link is gone.
    LinkClosed(LinkId, bool),
    /// The same by silence, if what silenced it still lasts.
    LinkSilent(LinkId, bool),
    ToParent(LinkId, ChildMessage),
    ToChild(LinkId, ParentMessage),
    ApplyDone(usize, u64, Version, Applied, Vec<(Scope, String, String)>),
    PersistDone(usize, u64, Snapshot),
    VoterMessage(StoreId, StoreId, Message),
    VoterOperation(usize, Operation),
    VoterAnswer(Answer),
    VoterTimer(usize),
    LeaseTimer(usize),
    PublisherTimer(usize),
    SendOperation(usize, u64, u64, usize),
    FaultStart(usize),
    FaultEnd(usize),
    Kill(usize, bool),
    Start(usize, DiskState),
    ResetLink(usize),
    Propose(usize),
    CheckSummary,
    CheckCatchUp,
    StartMeasurement,
}

#[derive(Default)]
struct Link {
    child: usize,
    parent: usize,
    /// Whether each end takes it for there.
    child_open: bool,
    parent_open: bool,
    connected: bool,
    dialed_at: Nanos,
    /// When the last of what was sent each way arrives.
    last_up_arrival: Nanos,
    last_down_arrival: Nanos,
}

pub(super) struct SimulatedProcess {
    pub(super) node: Option<TreeNode>,
    incarnation: u64,
    pub(super) clock: Clock,
    wake_at: Nanos,
    ticked_at: Nanos,
    disk: Option<Snapshot>,
    initial_disk: Option<Snapshot>,
    /// Whether its disk is ever read again.
    disk_is_read: bool,
    parent_link: Option<LinkId>,
    child_links: BTreeSet<LinkId>,
    stalled: bool,
    slow: bool,
    /// Nobody is told that it is dead.
    died_silently: bool,
    backlog: VecDeque<Event>,
    pub(super) meter: Meter,
    held_version: Version,
    /// Since when it has lost a parent that died.
    orphaned_at: Option<Nanos>,
    /// It dies as it sends the next part of a difference.
    dies_during_delta: bool,
    pub(super) has_published: bool,
}

struct Proposal {
    changes: Vec<(usize, String)>,
    first_proposed_at: Nanos,
    measured: bool,
}

pub struct Simulation<'a> {
    pub(super) plan: &'a Plan,
    pub(super) seed: u64,
    pub(super) placements: Vec<Placement>,
    index_by_name: BTreeMap<String, usize>,
    random: SmallRng,
    now: Nanos,
    pub(super) measure_start: Nanos,
    pub(super) end: Nanos,
    queue: BinaryHeap<Reverse<(Nanos, u64, u32)>>,
    event_slots: Vec<Event>,
    free_slots: Vec<u32>,
    last_sequence: u64,
    pub(super) processes: Vec<SimulatedProcess>,
    links: Vec<Link>,
    partitioned: Vec<bool>,
    pub(super) voters: Vec<SimulatedVoter>,
    pub(super) voter_meters: Vec<Meter>,
    control_machines: Vec<ControlMachine>,
    pub(super) checker: Checker,
    proposals: Vec<Proposal>,
    resource_groups: [Vec<usize>; 5],
    /// Who a fault that names the root has hit.
    fault_targets: BTreeMap<usize, Vec<usize>>,
    /// How many came to one parent, of those whose parent died.
    pub(super) herd: BTreeMap<(usize, usize), usize>,
    parent_failures: usize,
    pub(super) reparent_seconds: Vec<f64>,
    pub(super) unanswered_proposals: usize,
    /// Calls to parents.
    pub(super) parent_dials: usize,
    pub(super) rejected_proposals: usize,
    pub(super) event_count: u64,
    decision_calls: u64,
    pub(super) sampled_cpu: BTreeMap<&'static str, (Duration, u64)>,
    pub(super) decision_counts: BTreeMap<&'static str, u64>,
}

/// Plays a plan, and what it cost this machine beside what was found.
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

    /// What is known from the start: who starts when, what changes when, who restarts, and the faults.
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
            // Proxies come when there is something to be had, relays first.
            let warm_up = self.measure_start;
            let within = match self.placements[at].role {
                Role::Control => 0..200 * MILLISECOND,
                Role::Relay => warm_up * 45 / 100..warm_up * 52 / 100,
                Role::Proxy => warm_up * 54 / 100..warm_up * 68 / 100,
            };
            let start = self.random.random_range(within);
            self.schedule(start, Event::Start(at, DiskState::Empty));
        }
        // Each resource is written once while the fleet warms up, many as one change.
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

pub fn frame_bytes(message: &impl serde::Serialize) -> usize {
    postcard::experimental::serialized_size(message).unwrap_or(0) + FRAME_OVERHEAD
}
