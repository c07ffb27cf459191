//! The voters, with the code that decides for them, their clocks and disks; and how a control machine asks them: for the
//! lease `carrier`, for the record, and for a value to be written.

use super::fleet::Endpoint;
use super::plan::Plan;
use pumicebay_accord::{
    Answer, DurableState, Effects, LeaseClient, Member, Message, Operation, OperationId, OperationKind,
    ProcessId, Record, Reply, StoreId, Voter, VoterConfig,
};
use pumicebay_carrier::{Nanos, Publisher};
use std::collections::{BTreeMap, BTreeSet};

const MILLISECOND: Nanos = 1_000_000;
/// The same as the processes have.
const ROUND_TIMEOUT: Nanos = 250 * MILLISECOND;
const OPERATION_TIMEOUT: Nanos = 2_000 * MILLISECOND;
const MAX_PENDING_OPERATIONS: usize = 1024;
/// How long one voter has before the next is asked, and after one that could not say.
pub const ANSWER_TIMEOUT: Nanos = 600 * MILLISECOND;
pub const BUSY_RETRY_DELAY: Nanos = 50 * MILLISECOND;
/// How long an ask is tried at all.
pub const OPERATION_DEADLINE: Nanos = 2_000 * MILLISECOND;

/// A clock that counts from the start of its process, somewhat too fast or too slow.
#[derive(Clone, Copy, Debug, Default)]
pub struct Clock {
    pub ppm: i64,
    pub started_at: Nanos,
}

/// What a process's clock shows at its start: spans below it must not go under zero.
const CLOCK_BASE: Nanos = 1_000_000_000_000;

impl Clock {
    pub fn local_time(self, global: Nanos) -> Nanos {
        let span = i128::from(global) - i128::from(self.started_at);
        (i128::from(CLOCK_BASE) + span * i128::from(1_000_000 + self.ppm) / 1_000_000) as Nanos
    }

    /// When this clock will show that, rounded up.
    pub fn global_time(self, local: Nanos) -> Nanos {
        if local == Nanos::MAX {
            return Nanos::MAX;
        }
        let span = i128::from(local) - i128::from(CLOCK_BASE);
        let span = (span * 1_000_000).div_euclid(i128::from(1_000_000 + self.ppm)) + 1;
        (i128::from(self.started_at) + span).max(0) as Nanos
    }
}

pub struct SimulatedVoter {
    pub voter: Voter,
    pub clock: Clock,
    pub endpoint: Endpoint,
}

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

/// What an ask of a control machine is for.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum OperationPurpose {
    Lease,
    Read,
    Write,
}

pub struct PendingOperation {
    pub operation: Operation,
    pub purpose: OperationPurpose,
    pub submitted_at: Nanos,
}

/// What a control machine is beside its node.
pub struct ControlMachine {
    pub process: ProcessId,
    pub lease_client: LeaseClient,
    pub last_operation_number: u64,
    pub preferred_voter: usize,
    pub pending: BTreeMap<u64, PendingOperation>,
    pub publisher: Option<Publisher>,
    pub token: Option<u64>,
    /// Changes that it was offered and has not answered.
    pub proposals: BTreeSet<u64>,
    /// Times at which it and its publisher look at their clocks.
    pub wake_at: Nanos,
    pub publisher_wake_at: Nanos,
}

impl ControlMachine {
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

    pub fn next_operation_number(&mut self) -> u64 {
        self.last_operation_number += 1;
        self.last_operation_number
    }

    pub fn start_operation(&mut self, purpose: OperationPurpose, now: Nanos, kind: OperationKind) -> u64 {
        let number = self.next_operation_number();
        let operation = Operation { id: OperationId { process: self.process.clone(), number }, kind };
        self.pending.insert(number, PendingOperation { operation, purpose, submitted_at: now });
        number
    }
}

/// What a voter wants sent, to whom, and when it looks at its clock next.
pub struct VoterOutput {
    pub messages: Vec<(StoreId, Message)>,
    pub answers: Vec<Answer>,
    pub wake_at: Option<Nanos>,
    /// Whether its disk was written before these go out.
    pub persisted: bool,
}

impl SimulatedVoter {
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

/// Whether an answer says anything: another voter may know what this one does not.
pub fn is_conclusive(reply: &Reply) -> bool {
    !matches!(reply, Reply::Busy | Reply::Unknown)
}
