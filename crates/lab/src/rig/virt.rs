//! A simulation in virtual time, for fleets larger than a machine holds. It drives the same [`Voter`] and
//! [`LeaseClient`] code as the proxies do, over links with loss and delay, with clocks that drift within the
//! stated bound, voters that crash and restart with their disks, and lease holders that die. The same plan
//! and seed give the same result. What processes, sockets and disks add is tested by the runs on real
//! processes.

use super::plan::Plan;
use pumicebay_accord::{
    Answer, DurableState, Effects, LeaseClient, Member, Message, Nanos, Operation, ProcessId, Record, Reply,
    SharedRecord, StoreId, Voter, VoterConfig,
};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use serde::Serialize;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

const MILLI: Nanos = 1_000_000;
const SECOND: f64 = 1e9;
/// Timeouts of the voters, the same as in the proxies.
const ROUND_TIMEOUT: Nanos = 250 * MILLI;
const OPERATION_TIMEOUT: Nanos = 2_000 * MILLI;
/// How long a process waits for an answer before it sends the operation to the next voter.
const RETRY_INTERVAL: Nanos = 600 * MILLI;
/// How long a disk takes to sync.
const DISK_SYNC: Nanos = 2 * MILLI;
/// The shortest and the longest delay of a message.
const MESSAGE_DELAY: (Nanos, Nanos) = (MILLI / 5, 5 * MILLI);
/// The share of messages that are lost while a voter's links are lossy.
const LOSS_RATE: f64 = 0.2;

/// The result of a simulation.
#[derive(Debug, Default, Serialize)]
pub struct SimulationOutcome {
    pub seed: u64,
    /// Number of processes that want a lease.
    pub processes: usize,
    /// Grants of a lease under a new token.
    pub grants: usize,
    /// Renewals under the same token.
    pub renewals: usize,
    /// Times that two processes held one lease at once, by true time.
    pub overlaps: usize,
    /// Grants whose token was not higher than all earlier ones of the lease.
    #[serde(rename = "tokens_wrong")]
    pub tokens_not_increasing: usize,
    /// Commits of a record that differs from another with the same version.
    #[serde(rename = "split")]
    pub conflicting_commits: usize,
    /// Messages per second over all links.
    #[serde(rename = "letters_per_second")]
    pub messages_per_second: f64,
    /// Bytes per second over all links, counted as frames.
    pub bytes_per_second: f64,
    /// Time from each granted lease operation to its answer, in milliseconds, ascending.
    #[serde(rename = "settled_ms")]
    pub latencies_ms: Vec<f64>,
    /// Time from each holder's death until another process holds its lease, in seconds, ascending.
    pub takeovers: Vec<f64>,
    /// The longest takeover to expect without other faults, in seconds: the duration of a lease by the clocks
    /// of the holder, the voter and the next holder, and the way there and back.
    pub bound: f64,
}

enum Event {
    /// A message reaches the first voter from the second.
    VoterMessage(StoreId, StoreId, Message),
    /// An operation reaches a voter.
    Submit(usize, Operation),
    /// An answer reaches the process that asked.
    Answer(Answer),
    /// The timer of a voter fires.
    VoterTimer(usize),
    /// The timer of a process's lease client fires.
    ProcessTimer(usize),
    /// A voter crashes.
    VoterCrash(usize),
    /// A voter restarts with its disk.
    VoterRestart(usize),
    /// The links of a voter become lossy, or reliable again.
    LinkLoss(usize, bool),
    /// The holder of this lease dies.
    HolderDeath(usize),
    /// A process sends the operation with this number to this voter, unless it has been answered.
    SendOperation(usize, u64, usize),
}

/// A clock that runs faster or slower than true time by a constant rate, in millionths.
#[derive(Clone, Copy)]
struct Clock {
    ppm: i64,
}

impl Clock {
    /// What this clock shows at a true time.
    fn to_local(self, truth: Nanos) -> Nanos {
        (i128::from(truth) * i128::from(1_000_000 + self.ppm) / 1_000_000) as Nanos
    }

    /// The true time at which this clock shows a local time, rounded up.
    fn to_true(self, local: Nanos) -> Nanos {
        ((i128::from(local) * 1_000_000).div_euclid(i128::from(1_000_000 + self.ppm)) + 1) as Nanos
    }
}

/// A voter's machine: its process, disk, clock and links.
struct VoterHost {
    /// `None` while it is down.
    voter: Option<Voter>,
    disk: DurableState,
    clock: Clock,
    lossy: bool,
}

/// A process that wants a lease.
struct Process {
    id: ProcessId,
    lease_client: LeaseClient,
    clock: Clock,
    /// The index of the lease that it wants.
    lease: usize,
    /// The number of its last operation.
    last_number: u64,
    /// The voter to which it last sent an operation.
    current_voter: usize,
    /// Operations without an answer, with the times at which they were created.
    pending: BTreeMap<u64, (Operation, Nanos)>,
    dead: bool,
    /// The token under which it holds the lease.
    held_token: Option<u64>,
}

/// The state of a simulation.
struct Simulation {
    plan: Plan,
    rng: SmallRng,
    /// True time.
    now: Nanos,
    /// Times and numbers of the events to come.
    queue: BinaryHeap<Reverse<(Nanos, u64)>>,
    events: BTreeMap<u64, Event>,
    /// The number of the event that was scheduled last.
    last_event: u64,
    hosts: Vec<VoterHost>,
    processes: Vec<Process>,
    /// For each lease: its highest token, the process that had it, the latest true time until which that
    /// process may act, and when a holder died, if no other process has taken the lease over since.
    leases: Vec<(u64, usize, Nanos, Option<Nanos>)>,
    /// The first committed record of each recent version.
    versions: BTreeMap<u64, SharedRecord>,
    messages: u64,
    bytes: u64,
    outcome: SimulationOutcome,
}

/// Simulates a plan whose processes all want one of its leases. All faults are drawn from the seed; those
/// written out in the plan are not applied.
pub fn simulate(plan: &Plan, seed: u64) -> SimulationOutcome {
    let mut rng = SmallRng::seed_from_u64(seed);
    let max_error = plan.max_clock_error_ppm;
    let mut clock =
        || Clock { ppm: if max_error > 0 { rng.random_range(-max_error..=max_error) } else { 0 } };
    let members: Vec<Member> =
        (0..plan.voters).map(|index| Member { name: format!("v{index}"), store: index as u64 + 1 }).collect();
    let config = VoterConfig {
        drift_ppm: plan.drift_ppm,
        round_timeout: ROUND_TIMEOUT,
        operation_timeout: OPERATION_TIMEOUT,
        max_pending: 1024,
        eligible_voters: members.iter().map(|member| member.name.clone()).collect(),
        require_extra_confirmation: false,
    };
    let record = Record::bootstrap(1, members.clone());
    let hosts = members.iter().map(|member| {
        let mut effects = Effects::default();
        let state = DurableState::empty("virtual", member.store);
        let mut voter = Voter::start(0, &member.name, state, config.clone(), &mut effects);
        voter.bootstrap(0, record.clone(), &mut effects);
        VoterHost { disk: voter.durable_state().clone(), voter: Some(voter), clock: clock(), lossy: false }
    });
    let hosts: Vec<VoterHost> = hosts.collect();
    let nanos = (plan.lease_seconds * SECOND) as Nanos;
    let processes = (0..plan.processes).map(|index| {
        let id = ProcessId { name: format!("p{index}"), incarnation: 1 };
        let lease = index % plan.leases;
        let lease_client = LeaseClient::new(0, id.clone(), &format!("lease{lease}"), nanos, plan.drift_ppm);
        Process {
            id,
            lease_client,
            clock: clock(),
            lease,
            last_number: 0,
            current_voter: 0,
            pending: BTreeMap::new(),
            dead: false,
            held_token: None,
        }
    });
    let processes: Vec<Process> = processes.collect();
    let drift = plan.drift_ppm as f64 / 1e6;
    // The voter waits for the lease's end by a clock that may be slow, and so may be the clock by which the
    // next process retries.
    let bound =
        plan.lease_seconds * ((1.0 + drift) / (1.0 - drift)).powi(2) + plan.lease_seconds / 12.0 + 0.1;
    let mut simulation = Simulation {
        plan: plan.clone(),
        rng,
        now: 0,
        queue: BinaryHeap::new(),
        events: BTreeMap::new(),
        last_event: 0,
        hosts,
        processes,
        leases: vec![(0, usize::MAX, 0, None); plan.leases],
        versions: BTreeMap::new(),
        messages: 0,
        bytes: 0,
        outcome: SimulationOutcome { seed, processes: plan.processes, bound, ..SimulationOutcome::default() },
    };
    simulation.run();
    simulation.outcome
}

impl Simulation {
    /// Schedules the first timers and the faults, and handles events until the end of the run.
    fn run(&mut self) {
        let end = (self.plan.seconds * SECOND) as Nanos;
        for index in 0..self.processes.len() {
            let first = self.rng.random_range(0..500 * MILLI);
            self.schedule(first, Event::ProcessTimer(index));
        }
        for index in 0..self.hosts.len() {
            self.schedule(500 * MILLI, Event::VoterTimer(index));
        }
        for _ in 0..self.plan.random_faults {
            let begin = self.rng.random_range(SECOND as Nanos..end.max(2 * SECOND as Nanos));
            let end_of_fault = begin + self.rng.random_range(300 * MILLI..4_000 * MILLI);
            let voter = self.rng.random_range(0..self.hosts.len());
            match self.rng.random_range(0..3) {
                0 => {
                    self.schedule(begin, Event::VoterCrash(voter));
                    self.schedule(end_of_fault, Event::VoterRestart(voter));
                }
                1 => {
                    self.schedule(begin, Event::LinkLoss(voter, true));
                    self.schedule(end_of_fault, Event::LinkLoss(voter, false));
                }
                _ => {
                    let lease = self.rng.random_range(0..self.plan.leases);
                    self.schedule(begin, Event::HolderDeath(lease));
                }
            }
        }
        while let Some(Reverse((at, number))) = self.queue.pop() {
            if at > end {
                break;
            }
            self.now = at;
            if let Some(event) = self.events.remove(&number) {
                self.handle(event);
            }
        }
        let seconds = self.plan.seconds;
        self.outcome.messages_per_second = self.messages as f64 / seconds;
        self.outcome.bytes_per_second = self.bytes as f64 / seconds;
        self.outcome.latencies_ms.sort_by(f64::total_cmp);
        self.outcome.takeovers.sort_by(f64::total_cmp);
    }

    /// Schedules an event for a true time.
    fn schedule(&mut self, at: Nanos, event: Event) {
        self.last_event += 1;
        self.events.insert(self.last_event, event);
        self.queue.push(Reverse((at, self.last_event)));
    }

    /// Sends a message over a voter's link after a delay; it may be lost there.
    fn send_message(&mut self, voter: usize, encoded_size: usize, after: Nanos, event: Event) {
        self.messages += 1;
        self.bytes += encoded_size as u64 + 4;
        if self.hosts[voter].lossy && self.rng.random_bool(LOSS_RATE) {
            return;
        }
        let delay = self.rng.random_range(MESSAGE_DELAY.0..MESSAGE_DELAY.1);
        self.schedule(self.now + after + delay, event);
    }

    /// Handles one event at the current time.
    fn handle(&mut self, event: Event) {
        match event {
            Event::VoterMessage(to, from, message) => {
                self.call_voter(to as usize - 1, |voter, now, effects| {
                    voter.message_received(now, from, message, effects)
                });
            }
            Event::Submit(to, operation) => {
                self.call_voter(to, |voter, now, effects| voter.submit(now, operation, effects))
            }
            Event::VoterTimer(index) => {
                self.call_voter(index, |voter, now, effects| voter.timer_fired(now, effects))
            }
            Event::Answer(answer) => self.handle_answer(&answer),
            Event::ProcessTimer(index) => self.run_process(index),
            Event::SendOperation(index, number, to) => self.send_operation(index, number, to),
            Event::VoterCrash(index) => self.hosts[index].voter = None,
            Event::VoterRestart(index) => self.restart_voter(index),
            Event::LinkLoss(index, lossy) => self.hosts[index].lossy = lossy,
            Event::HolderDeath(lease) => {
                let now = self.now;
                let holds = |process: &&mut Process| {
                    process.lease == lease && process.held_token.is_some() && !process.dead
                };
                if let Some(process) = self.processes.iter_mut().find(holds) {
                    process.dead = true;
                    self.leases[lease].3 = Some(now);
                }
            }
        }
    }

    /// Restarts a voter with its disk and the configuration of one that is up.
    fn restart_voter(&mut self, index: usize) {
        if self.hosts[index].voter.is_some() {
            return;
        }
        let Some(config) =
            self.hosts.iter().find_map(|host| host.voter.as_ref()).map(|voter| voter.config().clone())
        else {
            // All voters are down. The configuration has to come from another one, so this restart is put
            // off.
            return self.schedule(self.now + SECOND as Nanos, Event::VoterRestart(index));
        };
        let (now, disk) = (self.hosts[index].clock.to_local(self.now), self.hosts[index].disk.clone());
        let mut effects = Effects::default();
        let mut voter = Voter::start(now, &format!("v{index}"), disk, config, &mut effects);
        // On each new link both ends exchange hello messages; here the restarted voter receives the others'.
        for other in self.hosts.iter().filter_map(|host| host.voter.as_ref()) {
            let state = other.durable_state();
            voter.hello_received(
                now,
                state.store,
                state.write_count,
                other.known_write_count(voter.durable_state().store),
                &mut effects,
            );
        }
        self.hosts[index].disk = voter.durable_state().clone();
        self.hosts[index].voter = Some(voter);
        self.schedule(self.now + MILLI, Event::VoterTimer(index));
    }

    /// Calls a voter that is up and carries out the effects: writes its disk, sets its timer, sends messages
    /// and answers.
    fn call_voter(&mut self, index: usize, call: impl FnOnce(&mut Voter, Nanos, &mut Effects)) {
        let random = self.rng.random_range(0.0..1.0);
        let host = &mut self.hosts[index];
        let now = host.clock.to_local(self.now);
        let Some(voter) = &mut host.voter else { return };
        let own = voter.durable_state().store;
        let mut effects = Effects { random, ..Effects::default() };
        call(voter, now, &mut effects);
        effects.deliver_to_self(now, voter);
        let after = if effects.to_persist.is_empty() { 0 } else { DISK_SYNC };
        if let Some(state) = effects.to_persist.pop() {
            host.disk = state;
        }
        if let Some(wake) = effects.wake_at {
            let wake = host.clock.to_true(wake).max(self.now + MILLI / 10);
            self.schedule(wake, Event::VoterTimer(index));
        }
        for record in effects.committed {
            let version = record.0.version;
            let first = self.versions.entry(version).or_insert_with(|| record.clone());
            self.outcome.conflicting_commits += usize::from(*first != record);
            while self.versions.len() > 1000 {
                self.versions.pop_first();
            }
        }
        for (to, message) in effects.messages {
            let encoded_size = encoded_size(&message);
            // The message may be lost by the links of either end.
            let voter = if self.hosts[index].lossy { index } else { to as usize - 1 };
            self.send_message(voter, encoded_size, after, Event::VoterMessage(to, own, message));
        }
        for answer in effects.answers {
            self.send_message(index, encoded_size(&answer), after, Event::Answer(answer));
        }
    }

    /// Lets a process's lease client submit its next operation, and schedules its next timer.
    fn run_process(&mut self, index: usize) {
        let process = &mut self.processes[index];
        if process.dead {
            return;
        }
        let now = process.clock.to_local(self.now);
        process.last_number += 1;
        let (number, to) = (process.last_number, process.current_voter);
        if let Some(operation) = process.lease_client.next_operation(now, number) {
            process.pending.insert(number, (operation, self.now));
            self.send_operation(index, number, to);
        }
        let process = &self.processes[index];
        let due = process.clock.to_true(process.lease_client.wake_at()).max(self.now + MILLI);
        self.schedule(due, Event::ProcessTimer(index));
    }

    /// Sends an operation to a voter and schedules the retry at the next one, unless it was answered or is
    /// too old.
    fn send_operation(&mut self, index: usize, number: u64, to: usize) {
        let give_up_after = (self.plan.lease_seconds * SECOND / 2.0) as Nanos;
        let process = &mut self.processes[index];
        let Some((operation, created)) = process.pending.get(&number) else { return };
        if self.now - created > give_up_after || process.dead {
            process.pending.remove(&number);
            return;
        }
        let operation = operation.clone();
        process.current_voter = to;
        self.send_message(to, encoded_size(&operation), 0, Event::Submit(to, operation));
        let next = (to + 1) % self.hosts.len();
        self.schedule(self.now + RETRY_INTERVAL, Event::SendOperation(index, number, next));
    }

    /// Gives an answer to the lease client that asked, and checks the lease that it then holds.
    fn handle_answer(&mut self, answer: &Answer) {
        let Some(index) = self.processes.iter().position(|process| process.id == answer.id.process) else {
            return;
        };
        let process = &mut self.processes[index];
        if process.dead || matches!(answer.reply, Reply::Busy | Reply::Unknown) {
            return;
        }
        let Some((_, created)) = process.pending.remove(&answer.id.number) else { return };
        let now = process.clock.to_local(self.now);
        process.lease_client.answer_received(now, answer.id.number, &answer.reply);
        if matches!(answer.reply, Reply::Granted(_)) {
            self.outcome.latencies_ms.push((self.now - created) as f64 / MILLI as f64);
        }
        let (lease, held) = (process.lease, process.lease_client.held());
        let until = held.map(|held| (held.token, process.clock.to_true(held.valid_until)));
        let previous_token = std::mem::replace(&mut process.held_token, held.map(|held| held.token));
        if let Some((token, until)) = until {
            let (highest, holder, held_until, died) = &mut self.leases[lease];
            if previous_token == Some(token) {
                self.outcome.renewals += 1;
                *held_until = until;
            } else {
                self.outcome.grants += 1;
                self.outcome.overlaps += usize::from(*holder != index && *held_until > self.now);
                self.outcome.tokens_not_increasing += usize::from(token <= *highest);
                if let Some(died) = died.take() {
                    self.outcome.takeovers.push((self.now - died) as f64 / SECOND);
                }
                (*highest, *holder, *held_until) = (token, index, until);
            }
        }
        let due = self.processes[index]
            .clock
            .to_true(self.processes[index].lease_client.wake_at())
            .max(self.now + MILLI);
        self.schedule(due, Event::ProcessTimer(index));
    }
}

/// Size of a message in a frame, in bytes.
fn encoded_size(message: &impl Serialize) -> usize {
    postcard::experimental::serialized_size(message).unwrap_or(0)
}

impl SimulationOutcome {
    /// The result as one line of text.
    pub fn summary(&self) -> String {
        let percentile =
            |all: &[f64], part: f64| all.get((all.len() as f64 * part) as usize).copied().unwrap_or(f64::NAN);
        let longest = self.takeovers.last().copied().unwrap_or(f64::NAN);
        format!(
            "seed {} (virtual): {} processes, {} grants, {} renewals, {} overlaps, {} tokens not increasing, {} conflicting \
             commits, latency median {:.1} ms and 99th percentile {:.1} ms; {} takeovers, median {:.2} s, longest {longest:.2} s, \
             bound {:.2} s without other faults; {:.0} messages/s and {:.1} KB/s\n",
            self.seed,
            self.processes,
            self.grants,
            self.renewals,
            self.overlaps,
            self.tokens_not_increasing,
            self.conflicting_commits,
            percentile(&self.latencies_ms, 0.5),
            percentile(&self.latencies_ms, 0.99),
            self.takeovers.len(),
            percentile(&self.takeovers, 0.5),
            self.bound,
            self.messages_per_second,
            self.bytes_per_second / 1e3,
        )
    }

    /// The number of violations of all kinds.
    pub fn violations(&self) -> usize {
        self.overlaps + self.tokens_not_increasing + self.conflicting_commits
    }
}
