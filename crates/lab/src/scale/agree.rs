//! The voters, with the code that decides for them, their clocks and disks; and how a control machine asks them: for the
//! lease `carrier`, for the record, and for a value to be written.

use super::fleet::Spot;
use super::plan::Plan;
use pumicebay_accord::{
    Answer, DurableState, Effects, LeaseClient, Member, Message, Operation, OperationId, OperationKind,
    ProcessId, Record, Reply, StoreId, Voter, VoterConfig,
};
use pumicebay_carrier::{Nanos, Publisher};
use std::collections::{BTreeMap, BTreeSet};

const MILLI: Nanos = 1_000_000;
/// The same as the processes have.
const ROUND: Nanos = 250 * MILLI;
const ASK: Nanos = 2_000 * MILLI;
const ASKS: usize = 1024;
/// How long one voter has before the next is asked, and after one that could not say.
pub const PATIENCE: Nanos = 600 * MILLI;
pub const BUSY: Nanos = 50 * MILLI;
/// How long an ask is tried at all.
pub const TRIED: Nanos = 2_000 * MILLI;

/// A clock that counts from the start of its process, somewhat too fast or too slow.
#[derive(Clone, Copy, Debug, Default)]
pub struct Clock {
    pub ppm: i64,
    pub origin: Nanos,
}

/// What a process's clock shows at its start: spans below it must not go under zero.
const BASE: Nanos = 1_000_000_000_000;

impl Clock {
    pub fn local(self, truth: Nanos) -> Nanos {
        let span = i128::from(truth) - i128::from(self.origin);
        (i128::from(BASE) + span * i128::from(1_000_000 + self.ppm) / 1_000_000) as Nanos
    }

    /// When this clock will show that, rounded up.
    pub fn truth(self, local: Nanos) -> Nanos {
        if local == Nanos::MAX {
            return Nanos::MAX;
        }
        let span = i128::from(local) - i128::from(BASE);
        let span = (span * 1_000_000).div_euclid(i128::from(1_000_000 + self.ppm)) + 1;
        (i128::from(self.origin) + span).max(0) as Nanos
    }
}

pub struct Seat {
    pub voter: Voter,
    pub clock: Clock,
    pub spot: Spot,
}

pub fn seats(plan: &Plan, clocks: &mut dyn FnMut() -> Clock) -> Vec<Seat> {
    let members: Vec<Member> =
        (0..plan.voters).map(|at| Member { name: format!("voter-{at}"), store: at as u64 + 1 }).collect();
    let terms = VoterConfig {
        drift_ppm: plan.drift_ppm,
        round_timeout: ROUND,
        operation_timeout: ASK,
        max_pending: ASKS,
        eligible_voters: members.iter().map(|member| member.name.clone()).collect(),
        require_extra_confirmation: false,
    };
    let record = Record::bootstrap(1, members.clone());
    let seat = |(at, member): (usize, &Member)| {
        let (mut acts, clock) = (Effects::default(), clocks());
        let kept = DurableState::empty("scale", member.store);
        let mut voter = Voter::start(clock.local(0), &member.name, kept, terms.clone(), &mut acts);
        voter.bootstrap(clock.local(0), record.clone(), &mut acts);
        let spot = Spot { region: at * plan.regions / plan.voters, site: usize::MAX - at, voter: true };
        Seat { voter, clock, spot }
    };
    members.iter().enumerate().map(seat).collect()
}

/// What an ask of a control machine is for.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum For {
    Lease,
    Read,
    Write,
}

pub struct Open {
    pub ask: Operation,
    pub what: For,
    pub asked: Nanos,
}

/// What a control machine is beside its node.
pub struct Control {
    pub who: ProcessId,
    pub holding: LeaseClient,
    pub last: u64,
    pub good: usize,
    pub open: BTreeMap<u64, Open>,
    pub publisher: Option<Publisher>,
    pub token: Option<u64>,
    /// Changes that it was offered and has not answered.
    pub offers: BTreeSet<u64>,
    /// Times at which it and its publisher look at their clocks.
    pub wake: Nanos,
    pub publisher_wake: Nanos,
}

impl Control {
    pub fn new(plan: &Plan, now: Nanos, name: &str, incarnation: u64, good: usize) -> Control {
        let who = ProcessId { name: name.into(), incarnation };
        let time = (plan.lease_seconds * 1e9) as Nanos;
        Control {
            holding: LeaseClient::new(now, who.clone(), "carrier", time, plan.drift_ppm),
            who,
            last: 0,
            good,
            open: BTreeMap::new(),
            publisher: None,
            token: None,
            offers: BTreeSet::new(),
            wake: Nanos::MAX,
            publisher_wake: Nanos::MAX,
        }
    }

    pub fn number(&mut self) -> u64 {
        self.last += 1;
        self.last
    }

    pub fn ask(&mut self, what: For, now: Nanos, want: OperationKind) -> u64 {
        let number = self.number();
        let ask = Operation { id: OperationId { process: self.who.clone(), number }, kind: want };
        self.open.insert(number, Open { ask, what, asked: now });
        number
    }
}

/// What a voter wants sent, to whom, and when it looks at its clock next.
pub struct Said {
    pub messages: Vec<(StoreId, Message)>,
    pub answers: Vec<Answer>,
    pub wake: Option<Nanos>,
    /// Whether its disk was written before these go out.
    pub kept: bool,
}

impl Seat {
    pub fn act(
        &mut self,
        now: Nanos,
        random: f64,
        what: impl FnOnce(&mut Voter, Nanos, &mut Effects),
    ) -> Said {
        let local = self.clock.local(now);
        let mut acts = Effects { random, ..Effects::default() };
        what(&mut self.voter, local, &mut acts);
        acts.deliver_to_self(local, &mut self.voter);
        Said {
            messages: acts.messages,
            answers: acts.answers,
            wake: acts.wake_at.map(|wake| self.clock.truth(wake)),
            kept: !acts.to_persist.is_empty(),
        }
    }
}

/// Whether an answer says anything: another voter may know what this one does not.
pub fn says(reply: &Reply) -> bool {
    !matches!(reply, Reply::Busy | Reply::Unknown)
}
