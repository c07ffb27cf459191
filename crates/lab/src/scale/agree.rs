//! Simulated voters, which run the voter code of the proxies with their own clocks and disks, and the state
//! of control machines as their clients: for the lease `carrier`, for reads of the record, and for writes of
//! a value.

use super::fleet::Endpoint;
use super::plan::Plan;
use pumicebay_accord::{
    Answer, DurableState, Effects, LeaseClient, Member, Message, Operation, OperationId, OperationKind,
    ProcessId, Record, Reply, StoreId, Voter, VoterConfig,
};
use pumicebay_carrier::{Nanos, Publisher};
use std::collections::{BTreeMap, BTreeSet};

const MILLISECOND: Nanos = 1_000_000;
/// Timeout of a quorum round, with the value of the real processes, as those of the next two constants.
const ROUND_TIMEOUT: Nanos = 250 * MILLISECOND;
/// Time after which a voter gives up an operation.
const OPERATION_TIMEOUT: Nanos = 2_000 * MILLISECOND;
/// Largest number of operations that a voter runs at once.
const MAX_PENDING_OPERATIONS: usize = 1024;
/// Time that one voter has to answer before the operation is sent to the next one.
pub const ANSWER_TIMEOUT: Nanos = 600 * MILLISECOND;
/// Delay before the next voter is asked after one was busy or did not know the outcome.
pub const BUSY_RETRY_DELAY: Nanos = 50 * MILLISECOND;
/// Time after which a control machine stops retrying an operation.
pub const OPERATION_DEADLINE: Nanos = 2_000 * MILLISECOND;

/// Local clock of a process: counts from the start of the process, with a constant drift.
#[derive(Clone, Copy, Debug, Default)]
pub struct Clock {
    /// Drift in parts per million; positive for a fast clock.
    pub ppm: i64,
    /// Global time of the process start.
    pub started_at: Nanos,
}

/// Local time at process start; large enough that subtracting a duration from a local time never goes below
/// zero.
const CLOCK_BASE: Nanos = 1_000_000_000_000;

impl Clock {
    /// Converts global simulated time to local time.
    pub fn local_time(self, global: Nanos) -> Nanos {
        let span = i128::from(global) - i128::from(self.started_at);
        (i128::from(CLOCK_BASE) + span * i128::from(1_000_000 + self.ppm) / 1_000_000) as Nanos
    }

    /// Converts local time to the global time at which this clock shows it, rounded up; `Nanos::MAX` (never)
    /// stays.
    pub fn global_time(self, local: Nanos) -> Nanos {
        if local == Nanos::MAX {
            return Nanos::MAX;
        }
        let span = i128::from(local) - i128::from(CLOCK_BASE);
        let span = (span * 1_000_000).div_euclid(i128::from(1_000_000 + self.ppm)) + 1;
        (i128::from(self.started_at) + span).max(0) as Nanos
    }
}

/// A voter with its clock and location.
pub struct SimulatedVoter {
    /// The voter code of the real processes.
    pub voter: Voter,
    /// Clock that all calls of the voter use.
    pub clock: Clock,
    /// Location, for the delays of its messages.
    pub endpoint: Endpoint,
}

/// Starts all voters of a plan, with a bootstrapped record; each takes its clock from `next_clock`.
pub fn start_voters(plan: &Plan, next_clock: &mut dyn FnMut() -> Clock) -> Vec<SimulatedVoter> {
    let members: Vec<Member> = (0..plan.voters)
        .map(|index| Member { name: format!("voter-{index}"), store: index as u64 + 1 })
        .collect();
    let config = VoterConfig {
        drift_ppm: plan.drift_ppm,
        round_timeout: ROUND_TIMEOUT,
        operation_timeout: OPERATION_TIMEOUT,
        max_pending: MAX_PENDING_OPERATIONS,
        eligible_voters: members.iter().map(|member| member.name.clone()).collect(),
        require_extra_confirmation: false,
    };
    let record = Record::bootstrap(1, members.clone());
    let start = |(index, member): (usize, &Member)| {
        let (mut effects, clock) = (Effects::default(), next_clock());
        let durable_state = DurableState::empty("scale", member.store);
        let mut voter =
            Voter::start(clock.local_time(0), &member.name, durable_state, config.clone(), &mut effects);
        voter.bootstrap(clock.local_time(0), record.clone(), &mut effects);
        let endpoint =
            Endpoint { region: index * plan.regions / plan.voters, site: usize::MAX - index, is_voter: true };
        SimulatedVoter { voter, clock, endpoint }
    };
    members.iter().enumerate().map(start).collect()
}

/// Why a control machine sent an operation.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum OperationPurpose {
    /// Acquires, renews or releases the lease.
    Lease,
    /// Reads the record for the publisher.
    Read,
    /// Writes the record for the publisher.
    Write,
}

/// An operation that has no conclusive answer yet.
pub struct PendingOperation {
    /// The operation, sent again unchanged in each retry.
    pub operation: Operation,
    /// Who receives the answer.
    pub purpose: OperationPurpose,
    /// Global time of the first send.
    pub submitted_at: Nanos,
}

/// State of a control machine beside its node of the tree.
pub struct ControlMachine {
    /// Identity of this incarnation.
    pub process: ProcessId,
    /// Client side of the lease.
    pub lease_client: LeaseClient,
    /// Number of the last operation.
    pub last_operation_number: u64,
    /// Voter that is asked first: the last one asked.
    pub preferred_voter: usize,
    /// Operations without a conclusive answer, by number.
    pub pending: BTreeMap<u64, PendingOperation>,
    /// The publisher, while this machine holds the lease.
    pub publisher: Option<Publisher>,
    /// Fencing token of the held lease.
    pub token: Option<u64>,
    /// Numbers of the proposals that it received and has not answered.
    pub proposals: BTreeSet<u64>,
    /// Global time of the next timer of the lease client; `Nanos::MAX` for none.
    pub wake_at: Nanos,
    /// Global time of the next timer of the publisher; `Nanos::MAX` for none.
    pub publisher_wake_at: Nanos,
}

impl ControlMachine {
    /// State after a start at local time `now`.
    pub fn new(
        plan: &Plan,
        now: Nanos,
        name: &str,
        incarnation: u64,
        preferred_voter: usize,
    ) -> ControlMachine {
        let process = ProcessId { name: name.into(), incarnation };
        let lease_duration = (plan.lease_seconds * 1e9) as Nanos;
        ControlMachine {
            lease_client: LeaseClient::new(now, process.clone(), "carrier", lease_duration, plan.drift_ppm),
            process,
            last_operation_number: 0,
            preferred_voter,
            pending: BTreeMap::new(),
            publisher: None,
            token: None,
            proposals: BTreeSet::new(),
            wake_at: Nanos::MAX,
            publisher_wake_at: Nanos::MAX,
        }
    }

    /// Takes the next operation number.
    pub fn next_operation_number(&mut self) -> u64 {
        self.last_operation_number += 1;
        self.last_operation_number
    }

    /// Registers a new operation as pending and returns its number.
    pub fn start_operation(&mut self, purpose: OperationPurpose, now: Nanos, kind: OperationKind) -> u64 {
        let number = self.next_operation_number();
        let operation = Operation { id: OperationId { process: self.process.clone(), number }, kind };
        self.pending.insert(number, PendingOperation { operation, purpose, submitted_at: now });
        number
    }
}

/// Effects of one call of a voter.
pub struct VoterOutput {
    /// Messages to other voters.
    pub messages: Vec<(StoreId, Message)>,
    /// Answers to control machines and proxies.
    pub answers: Vec<Answer>,
    /// Global time of the next timer.
    pub wake_at: Option<Nanos>,
    /// Whether state was written to disk, which delays the messages and answers.
    pub persisted: bool,
}

impl SimulatedVoter {
    /// Calls the voter at global time `now` and collects its effects.
    pub fn run(
        &mut self,
        now: Nanos,
        random: f64,
        call: impl FnOnce(&mut Voter, Nanos, &mut Effects),
    ) -> VoterOutput {
        let local = self.clock.local_time(now);
        let mut effects = Effects { random, ..Effects::default() };
        call(&mut self.voter, local, &mut effects);
        effects.deliver_to_self(local, &mut self.voter);
        VoterOutput {
            messages: effects.messages,
            answers: effects.answers,
            wake_at: effects.wake_at.map(|wake_at| self.clock.global_time(wake_at)),
            persisted: !effects.to_persist.is_empty(),
        }
    }
}

/// Whether an answer ends its operation; otherwise another voter may know the outcome.
pub fn is_conclusive(reply: &Reply) -> bool {
    !matches!(reply, Reply::Busy | Reply::Unknown)
}
