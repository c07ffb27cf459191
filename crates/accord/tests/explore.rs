//! A model checker for three voters and two lease clients. It runs the code of the crate through every order
//! of events: delivery in any order, loss (messages that are never delivered), duplication, crashes and
//! restarts with the disk intact, empty or an older copy, timeouts, and clocks at the limits of the
//! configured drift. A `Budget` limits how often each event can happen; within it the search is complete.
//! States are told apart by 64-bit hashes.
//!
//! Not covered: more than three voters at a time, three lease clients, and more of each event than the
//! budgets allow. The simulation in `crates/lab` goes further without being complete.
//!
//! The source files are included as modules instead of linking the library: states are compared by the
//! private fields of a voter, which are to stay private, and faults are injected into single threads, as many
//! scenarios are explored at a time.

// Not all items of the included sources are used here.
#![allow(dead_code)]

#[path = "../src/apply.rs"]
mod apply;
#[path = "../src/effects.rs"]
mod effects;
#[path = "../src/lease_client.rs"]
mod lease_client;
#[path = "../src/message.rs"]
mod message;
#[path = "../src/planted.rs"]
mod planted;
#[path = "../src/presence.rs"]
mod presence;
#[path = "../src/record.rs"]
mod record;
#[path = "../src/round.rs"]
mod round;
#[path = "../src/voter.rs"]
mod voter;

use crate::effects::Effects;
use crate::lease_client::LeaseClient;
use crate::message::{Answer, Ballot, Message, Operation, OperationId, OperationKind, Reply, SharedRecord};
use crate::planted::{Fault, plant, planted};
use crate::presence::Presence;
use crate::record::{Lease, Member, ProcessId, Record, StoreId, Token};
use crate::round::Round;
use crate::voter::{DurableState, Voter, VoterConfig, VotingState};
use rustc_hash::{FxHashSet, FxHasher};
use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};
use std::rc::Rc;
use std::time::Instant;

/// The same as in the library.
type Nanos = u64;

/// How many units an accurate clock counts in one tick of real time; drifting clocks count two more or less.
const TICK: Nanos = 8;
const DRIFT_PPM: u64 = 250_000;
/// The duration of the lease in units: two ticks by the slowest holder's clock and by the fastest voter's.
const LEASE: Nanos = 16;

/// The process that can replace the last voter.
struct SpareVoter {
    name: &'static str,
    store: StoreId,
}

const SPARE_VOTER: SpareVoter = SpareVoter { name: "v3", store: 4 };

/// How often each event can still happen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct Budget {
    ticks: u8,
    /// Timer events that end a round, or start one anew after a refusal.
    timeouts: u8,
    crashes: u8,
    /// Crashes after which the disk is empty.
    wipes: u8,
    /// Crashes after which the disk lacks the last write.
    rollbacks: u8,
    duplicates: u8,
    /// Acquisitions and renewals by each client. The next fields limit giving back the lease, writes under
    /// its token, and reads.
    lease_requests: [u8; 2],
    give_backs: u8,
    puts: u8,
    reads: u8,
    /// Replacements of the last voter by the spare one, which exists only where this is not zero.
    replacements: u8,
}

/// A bounded model that is explored completely.
struct Scenario {
    name: &'static str,
    budget: Budget,
    /// Clock units per tick of the voters and of the clients.
    voter_clock: Nanos,
    client_clock: Nanos,
    /// The voters that each client sends its operations to.
    contacts: [&'static [usize]; 2],
    /// Whether operations and answers arrive at once. Otherwise they can arrive late, and operations also
    /// twice.
    immediate_operations: bool,
    /// How many voters are down from the start.
    voters_down: usize,
    /// Whether to start where a replacement has been accepted by its proposer and by the spare voter alone,
    /// and is retried.
    replacement_abandoned: bool,
}

/// A message that was sent but not delivered. Voters are named by store or by index, clients by index.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum InFlight {
    VoterMessage(StoreId, StoreId, Message),
    Operation(usize, Operation),
    Answer(usize, Answer),
}

/// A voter, which is `None` while it is down, and its disk.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct VoterSlot {
    voter: Option<Voter>,
    disk: DurableState,
    /// The disk before the last write.
    older: DurableState,
}

/// A part of the state, shared between states until it changes, together with its hash.
#[derive(Clone)]
struct Hashed<T>(Rc<(T, u64)>);

impl<T: Clone + Hash> Hashed<T> {
    fn new(value: T) -> Hashed<T> {
        let hash = hash_of(&value);
        Hashed(Rc::new((value, hash)))
    }

    fn change<R>(&mut self, update: impl FnOnce(&mut T) -> R) -> R {
        let mut value = self.0.0.clone();
        let result = update(&mut value);
        *self = Hashed::new(value);
        result
    }
}

impl<T> std::ops::Deref for Hashed<T> {
    type Target = T;
    fn deref(&self) -> &T {
        &self.0.0
    }
}

impl<T> Hash for Hashed<T> {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.0.1.hash(state);
    }
}

/// The state of the whole system.
#[derive(Clone, Hash)]
struct SystemState {
    budget: Budget,
    tick: Nanos,
    slots: Vec<Hashed<VoterSlot>>,
    clients: Vec<Hashed<LeaseClient>>,
    requests_left: [u8; 2],
    /// Undelivered messages by hash. Those between voters can be delivered at any time and any number of
    /// times, or never.
    network: BTreeMap<u64, Rc<InFlight>>,
    /// The hash of each committed version, and the lease's token in it.
    committed: BTreeMap<u64, (u64, Token)>,
    /// The highest token that a client has held the lease under, and which client.
    highest_used: (Token, usize),
    /// The last token that each client held, for writes that come late.
    last_token: [Token; 2],
    /// The highest committed version at the time of each read, by operation number.
    reads: BTreeMap<u64, u64>,
    last_store: StoreId,
    last_numbers: [u64; 2],
}

/// An event. Numbers are indexes of voters and clients, but for `Deliver`: it has the hash of the message,
/// and whether the message stays in the network or, for an accept message, its answer is lost.
#[derive(Clone, Copy, Debug)]
enum Step {
    Tick,
    Deliver(u64, bool),
    Wake(usize),
    Crash(usize, Loss),
    Restart(usize),
    Hello(usize, usize),
    RequestLease(usize, usize),
    GiveBack(usize, usize),
    Put(usize, usize),
    Read(usize, usize),
    ReplaceVoter(usize),
}

/// What a crash takes from the disk.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Loss {
    None,
    All,
    LastWrite,
}

fn hash_of(value: &impl Hash) -> u64 {
    let mut hasher = FxHasher::default();
    value.hash(&mut hasher);
    hasher.finish()
}

impl SystemState {
    fn add(&mut self, item: InFlight) {
        self.network.insert(hash_of(&item), Rc::new(item));
    }

    /// Drops messages that can no longer have an effect: answers to rounds that are over, and requests whose
    /// answers would be such and whose receiver has promised a higher ballot. Ballots are never reused.
    fn drop_stale(&mut self) {
        let voter = |store: StoreId| {
            self.slots
                .iter()
                .filter_map(|slot| slot.voter.as_ref())
                .find(|voter| voter.durable_state().store == store)
        };
        let runs = |store: StoreId, expected: Ballot| {
            voter(store).is_some_and(|voter| match &voter.round {
                Round::Prepare { ballot, .. } | Round::Accept { ballot, .. } => *ballot == expected,
                _ => false,
            })
        };
        let peeks = |store: StoreId, expected: u64| {
            voter(store).is_some_and(
                |voter| matches!(&voter.round, Round::Peek { number, .. } if *number == expected),
            )
        };
        let still_useful = |item: &InFlight| match item {
            InFlight::VoterMessage(from, to, message) => match message {
                Message::Promise(ballot, ..) => voter(*to).is_some_and(
                    |voter| matches!(&voter.round, Round::Prepare { ballot: ours, .. } if ours == ballot),
                ),
                Message::Accepted(ballot, _) | Message::Refuse(ballot, _) => runs(*to, *ballot),
                Message::Peeked(number, ..) => peeks(*to, *number),
                Message::Peek(number) => peeks(*from, *number),
                Message::Prepare(ballot, _) | Message::Accept(ballot, ..) => {
                    runs(*from, *ballot)
                        || voter(*to).is_none_or(|voter| voter.durable_state().promised < *ballot)
                        || matches!(message, Message::Accept(..))
                            && voter(*to).is_none_or(|voter| {
                                voter.durable_state().promised == *ballot
                                    && voter.durable_state().accepted < *ballot
                            })
                }
            },
            _ => true,
        };
        let network = std::mem::take(&mut self.network);
        self.network = network.into_iter().filter(|(_, item)| still_useful(item)).collect();
    }
}

impl Scenario {
    /// The state from which the scenario is explored.
    fn initial_state(&self) -> SystemState {
        let config = VoterConfig {
            drift_ppm: DRIFT_PPM,
            round_timeout: 0,
            operation_timeout: Nanos::MAX / 4,
            max_pending: 8,
            require_extra_confirmation: self.budget.rollbacks > 0,
            eligible_voters: (0..4).map(|number| format!("v{number}")).collect(),
        };
        let voters = (0..3).map(|number| Member { name: format!("v{number}"), store: number + 1 }).collect();
        let record = Record::bootstrap(0, voters);
        let slots = (0..3).map(|number: u64| {
            let (durable, mut effects) = (DurableState::empty("fleet", number + 1), Effects::default());
            let mut voter = Voter::start(0, &format!("v{number}"), durable, config.clone(), &mut effects);
            assert!(voter.bootstrap(0, record.clone(), &mut effects));
            let disk = voter.durable_state().clone();
            Hashed::new(VoterSlot { voter: Some(voter), older: disk.clone(), disk })
        });
        let spare = (self.budget.replacements > 0).then(|| {
            let (durable, mut effects) =
                (DurableState::empty("fleet", SPARE_VOTER.store), Effects::default());
            let voter = Voter::start(0, SPARE_VOTER.name, durable, config.clone(), &mut effects);
            let disk = voter.durable_state().clone();
            Hashed::new(VoterSlot { voter: Some(voter), older: disk.clone(), disk })
        });
        let clients = (0..2).map(|number| {
            let process = ProcessId { name: format!("h{number}"), incarnation: 1 };
            Hashed::new(LeaseClient::new(0, process, "lease", LEASE, DRIFT_PPM))
        });
        let mut slots: Vec<Hashed<VoterSlot>> = slots.collect();
        slots[3 - self.voters_down..].iter_mut().for_each(|slot| slot.change(|slot| slot.voter = None));
        slots.extend(spare);
        let mut system = SystemState {
            budget: self.budget,
            tick: 0,
            slots,
            clients: clients.collect(),
            requests_left: self.budget.lease_requests,
            network: BTreeMap::new(),
            committed: BTreeMap::from([(0, (hash_of(&record), 0))]),
            highest_used: (0, 0),
            last_token: [0, 0],
            reads: BTreeMap::new(),
            last_store: SPARE_VOTER.store,
            last_numbers: [0, 0],
        };
        if self.replacement_abandoned {
            system = self.after(&system, Step::ReplaceVoter(1)).expect("no failure so far");
            let prepare = |message: &Message| matches!(message, Message::Prepare(..));
            let promise = |message: &Message| matches!(message, Message::Promise(..));
            let accept = |message: &Message| matches!(message, Message::Accept(..));
            let item = |system: &SystemState, to: StoreId, matches_kind: &dyn Fn(&Message) -> bool| {
                let is = |item: &InFlight| {
                    matches!(item, InFlight::VoterMessage(_, receiver, message)
                        if *receiver == to && matches_kind(message))
                };
                system.network.iter().find(|(_, item)| is(item)).map_or(0, |(key, _)| *key)
            };
            for (to, matches_kind) in
                [(3, &prepare as &dyn Fn(&Message) -> bool), (2, &promise), (SPARE_VOTER.store, &accept)]
            {
                // The answer of the spare voter is lost.
                system = self
                    .after(&system, Step::Deliver(item(&system, to, matches_kind), to == SPARE_VOTER.store))
                    .expect("no failure so far");
            }
            system.network.clear();
            system = self.after(&system, Step::Wake(1)).expect("no failure so far");
        }
        system
    }

    /// The steps that are possible in a state.
    fn steps(&self, system: &SystemState) -> Vec<Step> {
        let (mut steps, left) = (Vec::new(), &system.budget);
        if left.ticks > 0 {
            steps.push(Step::Tick);
        }
        for (&key, item) in &system.network {
            steps.push(Step::Deliver(key, false));
            // An operation that is delivered twice, or an accept message whose answer is lost.
            let repeat = left.duplicates > 0 && matches!(**item, InFlight::Operation(..));
            if repeat || matches!(**item, InFlight::VoterMessage(_, _, Message::Accept(..))) {
                steps.push(Step::Deliver(key, true));
            }
        }
        for (index, slot) in system.slots.iter().enumerate() {
            match &slot.voter {
                Some(voter) => {
                    let running = voter.round != Round::Idle;
                    let empty_voter_seen = voter.voting_state() == VotingState::Votes
                        && crate::apply::find_voter_to_readmit(
                            &voter.durable_state().record.0,
                            &voter.presence,
                            0,
                        )
                        .is_some();
                    if left.timeouts > 0 && (running || !voter.pending.is_empty() || empty_voter_seen) {
                        steps.push(Step::Wake(index));
                    }
                    for (budget, loss) in [
                        (left.crashes, Loss::None),
                        (left.wipes, Loss::All),
                        (left.rollbacks, Loss::LastWrite),
                    ] {
                        // Only the voter that gets no operations loses its disk; otherwise the search would
                        // take too long.
                        if budget > 0 && (loss != Loss::All || index == 2) {
                            steps.push(Step::Crash(index, loss));
                        }
                    }
                    let has_news = |other: usize| {
                        system.slots[other].voter.as_ref().is_some_and(|other| {
                            voter.voting_state() == VotingState::Doubts
                                && !voter.confirmed_by.contains(&other.durable_state().store)
                                || other.voting_state() == VotingState::Empty
                                    && voter.presence.store_of(&other.name, 0)
                                        != Some(other.durable_state().store)
                        })
                    };
                    let others = (0..3).filter(|&other| other != index && has_news(other));
                    steps.extend(others.map(|other| Step::Hello(index, other)));
                }
                None if index < 3 - self.voters_down || index == 3 => steps.push(Step::Restart(index)),
                None => {}
            }
        }
        for (index, client) in system.clients.iter().enumerate() {
            let now = self.now(system);
            let contacts = self.contacts[index];
            if system.requests_left[index] > 0 && now >= client.wake_at() {
                steps.extend(contacts.iter().map(|&to| Step::RequestLease(index, to)));
            }
            if left.give_backs > 0 && client.token_if_valid_for(now, 0).is_some() {
                steps.push(Step::GiveBack(index, contacts[0]));
            }
            if left.puts > 0 && system.last_token[index] > 0 {
                steps.push(Step::Put(index, contacts[0]));
            }
        }
        if left.replacements > 0 {
            steps.extend(self.contacts[1].iter().map(|&to| Step::ReplaceVoter(to)));
        }
        if left.reads > 0 {
            steps.extend(self.contacts[1].iter().map(|&to| Step::Read(1, to)));
        }
        steps
    }

    fn now(&self, system: &SystemState) -> Nanos {
        system.tick * self.client_clock
    }

    /// The state after a step, or an error that says which property is violated.
    fn after(&self, system: &SystemState, step: Step) -> Result<SystemState, String> {
        let mut next = system.clone();
        let now = next.tick * self.voter_clock;
        match step {
            Step::Tick => {
                next.budget.ticks -= 1;
                next.tick += 1;
            }
            Step::Deliver(key, repeat) => {
                let item = next.network.get(&key).cloned().ok_or("no such message")?;
                match &*item {
                    InFlight::VoterMessage(..) => {}
                    _ if repeat => next.budget.duplicates -= 1,
                    _ => _ = next.network.remove(&key),
                }
                match (*item).clone() {
                    InFlight::VoterMessage(from, to, message) => {
                        let slot = next.slots.iter().position(|slot| {
                            slot.voter.as_ref().is_some_and(|voter| voter.durable_state().store == to)
                        });
                        if let Some(slot) = slot {
                            self.run_voter(&mut next, slot, |voter, effects| {
                                voter.message_received(now, from, message, effects)
                            })?;
                        }
                        // An accept message is answered at once, or its answer is lost. The message itself
                        // can be delivered again, and so the answer can come late.
                        while let Some((&key, reply)) = next.network.iter().find(|(_, item)| {
                            matches!(***item, InFlight::VoterMessage(_, _, Message::Accepted(..)))
                        }) {
                            let reply = reply.clone();
                            next.network.remove(&key);
                            let InFlight::VoterMessage(from, to, message) = &*reply else { continue };
                            let slot = next.slots.iter().position(|slot| {
                                slot.voter.as_ref().is_some_and(|voter| voter.durable_state().store == *to)
                            });
                            if let (Some(slot), false) = (slot, repeat) {
                                let message = message.clone();
                                self.run_voter(&mut next, slot, |voter, effects| {
                                    voter.message_received(now, *from, message, effects)
                                })?;
                            }
                        }
                    }
                    InFlight::Operation(to, operation) => {
                        self.run_voter(&mut next, to, |voter, effects| voter.submit(now, operation, effects))?
                    }
                    InFlight::Answer(to, answer) => self.answer_received(&mut next, to, answer)?,
                }
            }
            Step::Wake(index) => {
                next.budget.timeouts -= 1;
                self.run_voter(&mut next, index, |voter, effects| voter.timer_fired(now, effects))?;
            }
            Step::Crash(index, loss) => {
                match loss {
                    Loss::None => next.budget.crashes -= 1,
                    Loss::LastWrite => next.budget.rollbacks -= 1,
                    Loss::All => {
                        next.budget.wipes -= 1;
                        next.last_store += 1;
                    }
                }
                let store = next.last_store;
                next.slots[index].change(|slot| {
                    slot.voter = None;
                    match loss {
                        Loss::None => {}
                        Loss::LastWrite => slot.disk = slot.older.clone(),
                        // Injected fault: a voter that has lost its disk votes under the store id that the
                        // others count.
                        Loss::All if planted(Fault::EmptyDiskVotes) => {
                            slot.disk = DurableState::empty("fleet", slot.disk.store);
                        }
                        Loss::All => slot.disk = DurableState::empty("fleet", store),
                    }
                });
            }
            Step::Restart(index) => {
                let config = system
                    .slots
                    .iter()
                    .find_map(|slot| slot.voter.as_ref())
                    .map(|voter| voter.config.clone());
                let (config, mut effects) = (config.ok_or("all voters are down")?, Effects::default());
                next.slots[index].change(|slot| {
                    let voter =
                        Voter::start(now, &format!("v{index}"), slot.disk.clone(), config, &mut effects);
                    slot.disk = voter.durable_state().clone();
                    slot.older = slot.disk.clone();
                    slot.voter = Some(voter);
                });
            }
            Step::Hello(index, to) => {
                // A new link replaces the one between these two, and the messages on it are lost. Only
                // scenarios with rollbacks need this.
                if self.budget.rollbacks > 0 {
                    let ends = [index, to].map(|slot| next.slots[slot].disk.store);
                    next.network.retain(|_, item| match **item {
                        InFlight::VoterMessage(from, to, _) => !(ends.contains(&from) && ends.contains(&to)),
                        _ => true,
                    });
                }
                for (index, to) in [(index, to), (to, index)] {
                    let other = next.slots[to].voter.clone().ok_or("the voter is down")?;
                    let other_state = other.durable_state();
                    let (store, empty, write_count) =
                        (other_state.store, other_state.is_empty(), other_state.write_count);
                    self.run_voter(&mut next, index, |voter, effects| {
                        let (incarnation, own_store) = (other_state.incarnation, voter.durable_state().store);
                        voter.presence.heard_from(0, &other.name, incarnation, Some((store, empty)));
                        voter.hello_received(
                            now,
                            store,
                            write_count,
                            other.known_write_count(own_store),
                            effects,
                        );
                    })?;
                }
            }
            Step::RequestLease(index, to) => {
                next.requests_left[index] -= 1;
                let now = self.now(&next);
                next.last_numbers[index] += 1;
                let number = next.last_numbers[index];
                if let Some(operation) =
                    next.clients[index].change(|client| client.next_operation(now, number))
                {
                    self.send_operation(&mut next, to, operation)?;
                }
            }
            Step::GiveBack(index, to) => {
                next.budget.give_backs -= 1;
                let now = self.now(&next);
                next.last_numbers[index] += 1;
                let number = next.last_numbers[index];
                if let Some(operation) = next.clients[index].change(|client| client.give_back(now, number)) {
                    self.send_operation(&mut next, to, operation)?;
                }
            }
            Step::Put(index, to) => {
                next.budget.puts -= 1;
                let token = next.last_token[index];
                let kind = OperationKind::Put {
                    name: "act".into(),
                    text: token.to_string(),
                    expected_version: None,
                    fence: Some(("lease".into(), token)),
                };
                let operation = self.new_operation(&mut next, index, kind);
                self.send_operation(&mut next, to, operation)?;
            }
            Step::ReplaceVoter(to) => {
                next.budget.replacements -= 1;
                let voter = Member { name: SPARE_VOTER.name.into(), store: SPARE_VOTER.store };
                let operation = self.new_operation(
                    &mut next,
                    1,
                    OperationKind::ReplaceVoter { replaced: "v2".into(), voter },
                );
                self.send_operation(&mut next, to, operation)?;
            }
            Step::Read(index, to) => {
                next.budget.reads -= 1;
                let operation = self.new_operation(&mut next, index, OperationKind::Read);
                let newest = next.committed.keys().next_back().copied().unwrap_or(0);
                next.reads.insert(operation.id.number, newest);
                self.send_operation(&mut next, to, operation)?;
            }
        }
        self.check(&mut next)?;
        next.drop_stale();
        Ok(next)
    }

    fn send_operation(&self, next: &mut SystemState, to: usize, operation: Operation) -> Result<(), String> {
        if self.immediate_operations {
            let now = next.tick * self.voter_clock;
            return self.run_voter(next, to, |voter, effects| voter.submit(now, operation, effects));
        }
        next.add(InFlight::Operation(to, operation));
        Ok(())
    }

    fn new_operation(&self, next: &mut SystemState, index: usize, kind: OperationKind) -> Operation {
        next.last_numbers[index] += 1;
        let process = ProcessId { name: format!("h{index}"), incarnation: 1 };
        Operation { id: OperationId { process, number: next.last_numbers[index] }, kind }
    }

    /// Lets a voter handle an event, delivers its messages to itself, and carries out its other requests.
    fn run_voter(
        &self,
        next: &mut SystemState,
        index: usize,
        event: impl FnOnce(&mut Voter, &mut Effects),
    ) -> Result<(), String> {
        let now = next.tick * self.voter_clock;
        let mut slot = (*next.slots[index]).clone();
        let Some(voter) = &mut slot.voter else { return Ok(()) };
        let own_store = voter.durable_state().store;
        let mut effects = Effects::default();
        event(voter, &mut effects);
        effects.deliver_to_self(now, voter);
        for state in effects.to_persist {
            let older = std::mem::replace(&mut slot.older, slot.disk.clone());
            // Injected fault: answers leave before the write. The disk still has the earlier state, which a
            // crash finds.
            slot.disk = if planted(Fault::AnswerBeforeSync) { older } else { state.clone() };
            if planted(Fault::AnswerBeforeSync) {
                slot.older = state;
            }
        }
        // Write counts matter only where disks are rolled back. Elsewhere they would make states differ only
        // by the way in which they were reached.
        let track_write_counts = self.budget.rollbacks > 0;
        if !track_write_counts {
            let VoterSlot { voter, disk, older } = &mut slot;
            for state in voter.iter_mut().map(|voter| &mut voter.durable).chain([disk, older]) {
                state.known_write_counts.clear();
                state.write_count = 1;
            }
            if !planted(Fault::AnswerBeforeSync) {
                slot.older = slot.disk.clone();
            }
        }
        next.slots[index] = Hashed::new(slot);
        for (to, mut message) in effects.messages {
            if let (
                Message::Promise(.., write_count)
                | Message::Accepted(_, write_count)
                | Message::Peeked(.., write_count)
                | Message::Prepare(_, write_count)
                | Message::Accept(.., write_count),
                false,
            ) = (&mut message, track_write_counts)
            {
                *write_count = 1;
            }
            next.add(InFlight::VoterMessage(own_store, to, message));
        }
        for answer in effects.answers {
            if let Some(to) = next.clients.iter().position(|client| client.belongs_to(&answer.id.process)) {
                match self.immediate_operations {
                    true => self.answer_received(next, to, answer)?,
                    false => next.add(InFlight::Answer(to, answer)),
                }
            }
        }
        for SharedRecord(record) in effects.committed {
            let token = record.leases.get("lease").map_or(0, |lease| lease.token);
            let hash_and_token = (hash_of(&*record), token);
            if *next.committed.entry(record.version).or_insert(hash_and_token) != hash_and_token {
                return Err(format!("two records committed as version {}", record.version));
            }
            let write = record.values.get("act").filter(|entry| entry.version == record.version);
            let previous = record.version.checked_sub(1).and_then(|previous| next.committed.get(&previous));
            if let (Some(write), Some((_, token))) = (write, previous)
                && write.text.parse::<Token>().is_ok_and(|used_token| used_token < *token)
            {
                return Err(format!(
                    "a write under token {} while the lease is at token {token}",
                    write.text
                ));
            }
        }
        Ok(())
    }

    fn answer_received(&self, next: &mut SystemState, index: usize, answer: Answer) -> Result<(), String> {
        let number = answer.id.number;
        if let (Reply::Record(record), Some(newest)) = (&answer.reply, next.reads.get(&number))
            && record.0.version < *newest
        {
            return Err(format!(
                "a read returned version {} after version {newest} was committed",
                record.0.version
            ));
        }
        let now = self.now(next);
        next.clients[index].change(|client| client.answer_received(now, number, &answer.reply));
        Ok(())
    }

    /// Checks that at most one client holds the lease, and that tokens only grow from holder to holder.
    fn check(&self, next: &mut SystemState) -> Result<(), String> {
        let usable: Vec<Option<Token>> =
            (0..2).map(|index| next.clients[index].token_if_valid_for(self.now(next), 0)).collect();
        if let [Some(first_token), Some(second_token)] = usable[..] {
            return Err(format!(
                "both clients hold the lease, under tokens {first_token} and {second_token}"
            ));
        }
        for (index, token) in usable.iter().enumerate() {
            let Some(token) = *token else { continue };
            next.last_token[index] = token;
            let (highest, who) = next.highest_used;
            if token < highest || token == highest && who != index {
                return Err(format!(
                    "h{index} holds the lease under token {token} after token {highest} was held by h{who}"
                ));
            }
            next.highest_used = (token, index);
        }
        Ok(())
    }

    /// Explores all reachable states. Returns their number, or the steps that led to a violated property.
    fn explore(&self, max_states: usize) -> Result<usize, String> {
        struct Path(Option<Rc<Path>>, Step);
        let describe_failure = |mut tail: &Option<Rc<Path>>, last: Step, error: String| {
            let mut steps = vec![format!("{last:?}")];
            while let Some(path) = tail {
                steps.push(format!("{:?}", path.1));
                tail = &path.0;
            }
            steps.reverse();
            format!("{}: {error}, after {}", self.name, steps.join(", "))
        };
        let first = self.initial_state();
        let mut seen = FxHashSet::default();
        seen.insert(hash_of(&first));
        let mut stack: Vec<(SystemState, Option<Rc<Path>>)> = vec![(first, None)];
        while let Some((system, path)) = stack.pop() {
            for step in self.steps(&system) {
                let next = match self.after(&system, step) {
                    Ok(next) => next,
                    Err(error) => return Err(describe_failure(&path, step, error)),
                };
                if seen.insert(hash_of(&next)) {
                    if seen.len() > max_states {
                        return Err(format!("{}: more than {max_states} states", self.name));
                    }
                    stack.push((next, Some(Rc::new(Path(path.clone(), step)))));
                }
            }
        }
        Ok(seen.len())
    }
}

/// The scenarios that CI explores completely. `ACCORD_DEEPER=N` explores larger ones, of up to N states each.
fn scenarios() -> Vec<Scenario> {
    let (slow, fast) = (TICK - 2, TICK + 2);
    let deeper = u8::from(std::env::var("ACCORD_DEEPER").is_ok());
    let scenario = |name, immediate_operations, voters_down, budget, voter_clock, client_clock| Scenario {
        name,
        budget,
        voter_clock,
        client_clock,
        contacts: [&[0][..], &[1][..]],
        immediate_operations,
        voters_down,
        replacement_abandoned: false,
    };
    // Rounds of voters, with no time passing.
    let rounds =
        |name, budget| scenario(name, true, 0, Budget { lease_requests: [1, 1], ..budget }, TICK, TICK);
    // An operation at the first voter, while that voter or another one carries out a replacement.
    let replacement = |name, to, budget| Scenario {
        contacts: [&[0], to],
        ..scenario(name, true, 0, Budget { replacements: 1, lease_requests: [1, 0], ..budget }, TICK, TICK)
    };
    let (lease_requests, none) = ([2, 1 + deeper], Budget::default());
    // Durations of leases: two of the three voters are up.
    let times =
        |name, budget, voter_clock, client_clock| scenario(name, false, 1, budget, voter_clock, client_clock);
    vec![
        rounds("collisions", Budget { timeouts: 2 + deeper, ..none }),
        // Both clients' operations are in one batch: a simulation found a fault here that scenarios with a
        // voter for each client could not show.
        Scenario { contacts: [&[0], &[0]], ..rounds("one voter", Budget { timeouts: 1 + deeper, ..none }) },
        rounds("crash", Budget { crashes: 1, timeouts: 1 + deeper, ..none }),
        rounds("rollback", Budget { rollbacks: 1, timeouts: deeper, ..none }),
        rounds("wipe", Budget { wipes: 1, timeouts: 1 + deeper, ..none }),
        replacement("replacement", &[1], Budget { timeouts: deeper, ..none }),
        Scenario {
            replacement_abandoned: true,
            budget: Budget { timeouts: 1 + deeper, replacements: 1, lease_requests: [1, 1], ..none },
            ..replacement("abandoned replacement", &[1], none)
        },
        replacement("replacement and crash", &[0], Budget { crashes: 1, timeouts: deeper, ..none }),
        rounds("reads", Budget { reads: 1, timeouts: deeper, ..none }),
        times("slow holders", Budget { ticks: 3, lease_requests, ..none }, fast, slow),
        times("fast holders", Budget { ticks: 3, lease_requests, ..none }, slow, fast),
        times(
            "duplicates",
            Budget { ticks: 3, lease_requests: [1 + deeper, 1], duplicates: 1, ..none },
            fast,
            slow,
        ),
        times(
            "give back",
            Budget { give_backs: 1, ticks: 1, lease_requests, duplicates: deeper, ..none },
            TICK,
            TICK,
        ),
        times(
            "give back twice",
            Budget { give_backs: 1, ticks: 2, lease_requests: [3, 1], ..none },
            TICK,
            TICK,
        ),
        times("writes", Budget { give_backs: 1, puts: 1, lease_requests: [1, 1], ..none }, TICK, TICK),
    ]
}

/// Explores scenarios in parallel, with a fault injected or with none. Returns their results in the same
/// order.
fn explore_all(
    scenarios: &[Scenario],
    fault: Option<Fault>,
    max_states: usize,
) -> Vec<Result<usize, String>> {
    std::thread::scope(|scope| {
        let run = |scenario| {
            move || {
                plant(fault);
                Scenario::explore(scenario, max_states)
            }
        };
        let runs: Vec<_> = scenarios.iter().map(|scenario| scope.spawn(run(scenario))).collect();
        runs.into_iter().map(|run| run.join().unwrap_or_else(|_| Err("panicked".into()))).collect()
    })
}

/// Guards against two records committed as one version, two holders of one lease, tokens that do not grow,
/// late writes under an old token, and stale reads.
#[test]
fn no_order_of_events_breaks_agreement_or_leases() {
    let max_states = std::env::var("ACCORD_DEEPER")
        .ok()
        .and_then(|max_states| max_states.parse().ok())
        .unwrap_or(2_000_000);
    let (start, mut scenarios) = (Instant::now(), scenarios());
    if std::env::var("ACCORD_DEEPER").is_err() {
        // These have some two million states more each, and are only needed to detect the faults injected
        // there.
        scenarios.retain(|scenario| !["give back twice", "abandoned replacement"].contains(&scenario.name));
    }
    if let Ok(only) = std::env::var("ACCORD_ONLY") {
        scenarios.retain(|scenario| scenario.name.contains(&only));
    }
    let found = explore_all(&scenarios, None, max_states);
    for (scenario, found) in scenarios.iter().zip(&found) {
        println!("{:14} {found:?}", scenario.name);
    }
    println!("explored all scenarios in {:.0} s", start.elapsed().as_secs_f64());
    assert_eq!(found.iter().filter(|found| found.is_err()).count(), 0);
}

/// Guards against a model checker that detects nothing: each fault must be found in the scenario listed for
/// it.
#[test]
fn each_injected_fault_is_detected() {
    let expected = [
        (Fault::AnswerBeforeSync, "crash"),
        (Fault::LeaseCountedFromAnswer, "slow holders"),
        (Fault::TokenNotIncremented, "give back"),
        (Fault::DriftIgnored, "slow holders"),
        (Fault::EmptyDiskVotes, "wipe"),
        (Fault::LateRenewalRevivesLease, "give back twice"),
        (Fault::FencingTokenIgnored, "writes"),
        (Fault::MinorityCommits, "collisions"),
        (Fault::RenewalNotObserved, "slow holders"),
        (Fault::UncommittedVoterChange, "abandoned replacement"),
    ];
    assert_eq!(expected.map(|(fault, _)| fault), Fault::ALL);
    std::thread::scope(|scope| {
        for (fault, name) in expected {
            scope.spawn(move || {
                plant(Some(fault));
                let scenario = scenarios().into_iter().find(|scenario| scenario.name == name).expect(name);
                let found = scenario.explore(3_000_000);
                let error = found.expect_err("the injected fault was not detected");
                assert!(!error.ends_with("states"), "{fault:?}: {error}");
                println!("{fault:?}: {}", &error[..error.len().min(120)]);
            });
        }
    });
}
