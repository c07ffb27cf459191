//! A process that votes. It answers the prepare and accept messages of other voters, and runs rounds for the
//! operations that are submitted to it (Paxos on a single register: each round reads the newest
//! accepted record and replaces it as a whole). Whatever it says is on its disk first: the host sends no
//! message or answer before the state that was persisted ahead of it is synced.

use crate::Nanos;
use crate::apply::{self, ApplyContext, LeaseObservations};
use crate::message::{Answer, Ballot, Message, Operation, OperationId, OperationKind, Reply, SharedRecord};
use crate::presence::Presence;
use crate::record::{Member, Name, ProcessId, Record, StoreId};
use crate::round::{Round, newest_accepted};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

/// The process around a voter, which carries out its requests.
pub trait Host {
    /// Syncs this state to disk before anything that is sent or answered after this call leaves the process.
    fn persist(&mut self, state: &DurableState);
    /// Sends a message to the voter with this store. It may be lost.
    fn send(&mut self, to: StoreId, message: Message);
    /// Sends an answer to the process that issued the operation.
    fn answer(&mut self, answer: Answer);
    /// This record was found to be committed.
    fn committed(&mut self, record: &SharedRecord);
    /// Calls [`Voter::timer_fired`] at this time, or sooner.
    fn wake_at(&mut self, at: Nanos);
    /// A random number between 0 and 1.
    fn random(&mut self) -> f64;
    /// The voting state has changed.
    fn voting_state_changed(&mut self, state: VotingState);
}

/// The state that a voter keeps on its disk.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct DurableState {
    /// The name of the fleet.
    pub fleet: Name,
    /// The id of this disk.
    pub store: StoreId,
    /// How often the disk was opened.
    pub incarnation: u64,
    /// How often the state was written since the disk was empty. Other voters remember it, and so recognize a
    /// disk that was rolled back to an older copy.
    pub write_count: u64,
    /// The highest ballot promised: lower ones are refused.
    pub promised: Ballot,
    /// The ballot under which the record was accepted; the default where there is no record yet.
    pub accepted: Ballot,
    /// The record accepted last.
    pub record: SharedRecord,
    /// The highest write counts that were heard of other voters' disks.
    pub known_write_counts: BTreeMap<StoreId, u64>,
}

impl DurableState {
    /// The state of an empty folder, for which this store id was drawn.
    pub fn empty(fleet: &str, store: StoreId) -> DurableState {
        DurableState {
            fleet: fleet.into(),
            store,
            incarnation: 1,
            write_count: 0,
            promised: Ballot::default(),
            accepted: Ballot::default(),
            record: SharedRecord::default(),
            known_write_counts: BTreeMap::new(),
        }
    }

    /// Whether the disk has never had a record.
    pub fn is_empty(&self) -> bool {
        self.accepted == Ballot::default()
    }
}

/// Whether a voter votes, and why not if it doesn't. The variants' names are shown to operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum VotingState {
    /// Its folder was empty: it waits until the fleet is founded or until the other voters readmit it.
    Empty,
    /// It has restarted, and votes once enough other voters have confirmed that they know of no newer state
    /// of its disk.
    Doubts,
    /// It votes.
    Votes,
    /// Other voters know of later writes to its store: its disk is an older copy and must not vote again.
    Behind,
}

/// The configuration of a voter. It must be the same at all voters of a fleet.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct VoterConfig {
    /// How much faster or slower than real time a clock may run, in millionths.
    pub drift_ppm: u64,
    /// How long a round may take before it is started again. The time doubles with each round that fails.
    pub round_timeout: Nanos,
    /// How long an operation is kept before it is answered with [`Reply::Unknown`].
    pub operation_timeout: Nanos,
    /// The most operations that can be pending; beyond it the least important ones are answered with
    /// [`Reply::Busy`].
    pub max_pending: usize,
    /// The names of the processes that may vote.
    pub eligible_voters: Vec<Name>,
    /// Whether a voter that restarts needs a confirmation from one voter more than would make a majority
    /// together with it. With it, an older copy of its disk is detected wherever what the copy lacks was
    /// committed; without it, only where one of the voters that answer has heard of a later write.
    pub require_extra_confirmation: bool,
}

/// The ballot of the record with which a fleet is founded.
const FOUNDING_BALLOT: Ballot = Ballot { round: 1, store: 0, incarnation: 0 };
/// The most times that the round timeout is doubled after failed rounds.
const MAX_BACKOFF_DOUBLINGS: u32 = 5;

/// A voter. Each method handles one event and reacts by calling the host.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Voter {
    /// The name of the process.
    pub name: Name,
    pub(crate) config: VoterConfig,
    pub(crate) durable: DurableState,
    pub(crate) voting_state: VotingState,
    /// The other voters that have confirmed, since the start, that they know of no newer state of this disk.
    pub(crate) confirmed_by: BTreeSet<StoreId>,
    /// The processes that this one sees over its links.
    pub presence: Presence,
    pub(crate) observations: LeaseObservations,
    /// Pending operations and until when each is kept, the oldest first.
    pub(crate) pending: VecDeque<(Operation, Nanos)>,
    pub(crate) round: Round,
    /// When the running round times out, or else the earliest start of the next one.
    pub(crate) round_due: Nanos,
    /// How many rounds in a row have timed out.
    failed_rounds: u32,
    /// The highest round number seen in any ballot.
    highest_round: u64,
    /// The last ballot under which this voter saw a change of voters committed. Without it, if different
    /// answers are lost each time, the reports may never show that the change is committed, and the voter
    /// would commit the same change again and again.
    committed_voter_change: Ballot,
    /// How many read-only rounds were started: the number of the last.
    peek_count: u64,
    /// How many operations this voter has issued itself: the number of the last.
    own_operations: u64,
}

impl Voter {
    /// Starts a voter from the state that was read from its disk, which counts as opened once more. The new
    /// incarnation is persisted before anything is sent.
    pub fn start(
        now: Nanos,
        name: &str,
        mut durable: DurableState,
        config: VoterConfig,
        host: &mut impl Host,
    ) -> Voter {
        durable.incarnation += 1;
        let voting_state = if durable.is_empty() { VotingState::Empty } else { VotingState::Doubts };
        let mut voter = Voter {
            name: name.into(),
            highest_round: durable.promised.round,
            committed_voter_change: Ballot::default(),
            config,
            durable,
            voting_state,
            confirmed_by: BTreeSet::new(),
            presence: Presence::default(),
            observations: LeaseObservations::default(),
            pending: VecDeque::new(),
            round: Round::Idle,
            round_due: 0,
            failed_rounds: 0,
            peek_count: 0,
            own_operations: 0,
        };
        // This write is not counted: other voters may know as many writes as were on the disk, and one that
        // knows of more shows that the disk is an older copy.
        host.persist(&voter.durable);
        voter.observations.observe(now, &voter.durable.record.0);
        host.voting_state_changed(voting_state);
        voter
    }

    /// The state on the disk, including what was passed to [`Host::persist`] last.
    pub fn durable_state(&self) -> &DurableState {
        &self.durable
    }

    /// The configuration.
    pub fn config(&self) -> &VoterConfig {
        &self.config
    }

    /// Whether this voter votes, and why not if it doesn't.
    pub fn voting_state(&self) -> VotingState {
        self.voting_state
    }

    /// Whether this store is one of the voters in the newest record that it knows.
    pub fn is_current_voter(&self) -> bool {
        self.durable.record.0.is_voter(self.durable.store)
    }

    /// How often another voter's disk was written, as far as this voter has heard.
    pub fn known_write_count(&self, store: StoreId) -> u64 {
        self.durable.known_write_counts.get(&store).copied().unwrap_or(0)
    }

    /// How much longer the holder of the lease with this name can believe that it holds it, in nanoseconds.
    pub fn remaining(&self, now: Nanos, name: &str) -> Nanos {
        let lease = self.durable.record.0.leases.get(name);
        lease.map_or(0, |lease| self.observations.remaining(now, name, lease, self.config.drift_ppm))
    }

    /// Takes the fleet's first record, on an operator's command. Returns whether this voter now has the
    /// record of this founding.
    pub fn bootstrap(&mut self, now: Nanos, record: Record, host: &mut impl Host) -> bool {
        if !self.durable.is_empty()
            || !record.is_voter(self.durable.store)
            || self.durable.promised > FOUNDING_BALLOT
        {
            return self.durable.record.0.founded == record.founded;
        }
        (self.durable.promised, self.durable.accepted) = (FOUNDING_BALLOT, FOUNDING_BALLOT);
        self.durable.record = SharedRecord(Arc::new(record));
        self.highest_round = self.highest_round.max(FOUNDING_BALLOT.round);
        self.observations.observe(now, &self.durable.record.0);
        self.persist(host);
        self.set_voting_state(VotingState::Votes, host);
        true
    }

    /// Another voter said hello: its store, how often that was written, and how often, as far as it knows,
    /// this voter's store was written.
    pub fn hello_received(
        &mut self,
        now: Nanos,
        store: StoreId,
        write_count: u64,
        known_write_count: u64,
        host: &mut impl Host,
    ) {
        self.record_write_count(store, write_count);
        if known_write_count > self.durable.write_count {
            // A voter whose disk was rolled back to an older copy has forgotten what it promised and
            // accepted.
            self.set_voting_state(VotingState::Behind, host);
        } else if self.voting_state == VotingState::Doubts && write_count > 0 {
            self.confirmed_by.insert(store);
            if self.confirmed_by_enough() {
                self.set_voting_state(VotingState::Votes, host);
                self.start_round(now, host);
            }
        }
    }

    /// An operator confirms that this disk is not an older copy, for the case that the voters that could
    /// confirm it are lost for good. Returns whether this voter votes now.
    pub fn trust_disk(&mut self, now: Nanos, host: &mut impl Host) -> bool {
        if self.voting_state != VotingState::Doubts {
            return self.voting_state == VotingState::Votes;
        }
        self.set_voting_state(VotingState::Votes, host);
        self.start_round(now, host);
        true
    }

    /// Whether enough voters have confirmed: whatever this voter committed together with others, one of them
    /// must have heard of.
    fn confirmed_by_enough(&self) -> bool {
        let DurableState { store, record, .. } = &self.durable;
        let enough_of = |voters: &[Member]| {
            let needed = voters.len() / 2 + usize::from(self.config.require_extra_confirmation);
            let confirms =
                |member: &&Member| member.store != *store && self.confirmed_by.contains(&member.store);
            voters.iter().filter(confirms).count() >= needed
        };
        enough_of(&record.0.voters) && enough_of(&record.0.previous_voters)
    }

    /// Takes an operation to be applied in one of the next rounds, or answers it at once.
    pub fn submit(&mut self, now: Nanos, operation: Operation, host: &mut impl Host) {
        let busy = |id: OperationId| Answer { id, reply: Reply::Busy };
        if self.voting_state != VotingState::Votes {
            return host.answer(busy(operation.id));
        }
        // A repetition of an operation that is still pending.
        if self.pending.iter().any(|(pending, _)| pending.id == operation.id) {
            return;
        }
        // Many processes waiting for one lease must not cost a round each. A denial promises nothing, so it
        // can be given from what this voter knows.
        if let OperationKind::Acquire(name, _) = &operation.kind
            && let Some(lease) = self.durable.record.0.leases.get(name)
            && !lease.held_by(&operation.id.process)
            && let remaining @ 1.. = self.remaining(now, name)
        {
            let reply = Reply::Denied(lease.holder.clone(), remaining);
            return host.answer(Answer { id: operation.id, reply });
        }
        if self.pending.len() >= self.config.max_pending {
            // Of the operations that no running round covers, the least important is rejected, the newest
            // first; it can be the one just submitted.
            let covered = match &self.round {
                Round::Accept { covered, .. } => *covered,
                _ => 0,
            };
            let waiting = self.pending.iter().enumerate().skip(covered);
            match waiting.max_by_key(|(_, (operation, _))| operation.kind.shed_priority()) {
                Some((at, (other, _))) if other.kind.shed_priority() > operation.kind.shed_priority() => {
                    if let Some((other, _)) = self.pending.remove(at) {
                        host.answer(busy(other.id));
                    }
                }
                _ => return host.answer(busy(operation.id)),
            }
        }
        let until = now + self.config.operation_timeout;
        self.pending.push_back((operation, until));
        host.wake_at(until);
        self.start_round(now, host);
    }

    /// Handles timeouts; to be called at the time that was requested by [`Host::wake_at`], and harmless at
    /// any other.
    pub fn timer_fired(&mut self, now: Nanos, host: &mut impl Host) {
        if self.round != Round::Idle && now >= self.round_due {
            self.round_timed_out(now, host);
        }
        if self.round == Round::Idle {
            while self.pending.front().is_some_and(|(_, until)| *until <= now) {
                if let Some((operation, _)) = self.pending.pop_front() {
                    host.answer(Answer { id: operation.id, reply: Reply::Unknown });
                }
            }
        }
        if self.voting_state == VotingState::Votes && self.is_current_voter() && self.no_replacement_pending()
        {
            // A voter that is back with an empty disk is readmitted under its new store, by a regular
            // operation.
            if let Some(kind) = apply::find_voter_to_readmit(&self.durable.record.0, &self.presence, now) {
                self.own_operations += 1;
                let process = ProcessId { name: self.name.clone(), incarnation: self.durable.incarnation };
                let id = OperationId { process, number: self.own_operations };
                self.pending.push_back((Operation { id, kind }, now + self.config.operation_timeout));
            }
        }
        self.start_round(now, host);
        if let Some((_, until)) = self.pending.front() {
            host.wake_at(*until);
        }
    }

    /// Whether no replacement of a voter is pending.
    fn no_replacement_pending(&self) -> bool {
        !self
            .pending
            .iter()
            .any(|(operation, _)| matches!(operation.kind, OperationKind::ReplaceVoter { .. }))
    }

    /// Handles a message from another voter, or from this one itself.
    pub fn message_received(&mut self, now: Nanos, from: StoreId, message: Message, host: &mut impl Host) {
        match message {
            Message::Prepare(ballot, write_count) => {
                self.record_write_count(from, write_count);
                self.handle_prepare(from, ballot, host);
            }
            Message::Accept(ballot, record, write_count) => {
                self.record_write_count(from, write_count);
                self.handle_accept(now, from, ballot, record, host);
            }
            Message::Peek(number) => {
                if self.voting_state == VotingState::Votes {
                    let DurableState { accepted, record, write_count, .. } = &self.durable;
                    host.send(from, Message::Peeked(number, *accepted, record.clone(), *write_count));
                }
            }
            Message::Promise(ballot, accepted, record, write_count) => {
                self.record_write_count(from, write_count);
                if let Round::Prepare { ballot: own_ballot, reports, .. } = &mut self.round
                    && *own_ballot == ballot
                {
                    reports.insert(from, (accepted, record));
                    self.check_promises(now, host);
                }
            }
            Message::Accepted(ballot, write_count) => {
                self.record_write_count(from, write_count);
                if let Round::Accept { ballot: own_ballot, record, accepted_by, .. } = &mut self.round
                    && *own_ballot == ballot
                {
                    accepted_by.insert(from);
                    if record.0.has_quorum(accepted_by) {
                        self.finish_accept(now, host);
                    }
                }
            }
            Message::Refuse(ballot, promised) => {
                self.highest_round = self.highest_round.max(promised.round);
                let own_ballot = match &self.round {
                    Round::Prepare { ballot, .. } | Round::Accept { ballot, .. } => *ballot,
                    _ => return,
                };
                if own_ballot == ballot {
                    self.yield_to_higher_ballot(now, host);
                }
            }
            Message::Peeked(number, accepted, record, write_count) => {
                self.record_write_count(from, write_count);
                self.handle_peeked(now, number, from, (accepted, record), host);
            }
        }
    }

    // The acceptor: answers to the rounds of any voter.

    fn handle_prepare(&mut self, from: StoreId, ballot: Ballot, host: &mut impl Host) {
        if !self.may_respond() {
            return;
        }
        if ballot < self.durable.promised {
            return host.send(from, Message::Refuse(ballot, self.durable.promised));
        }
        if ballot > self.durable.promised {
            self.durable.promised = ballot;
            self.highest_round = self.highest_round.max(ballot.round);
            self.persist(host);
        }
        let DurableState { accepted, record, write_count, .. } = &self.durable;
        host.send(from, Message::Promise(ballot, *accepted, record.clone(), *write_count));
    }

    fn handle_accept(
        &mut self,
        now: Nanos,
        from: StoreId,
        ballot: Ballot,
        record: SharedRecord,
        host: &mut impl Host,
    ) {
        // Two operators who found the fleet at the same time must not mix their records.
        let other_fleet = !self.durable.is_empty() && self.durable.record.0.founded != record.0.founded;
        if !self.may_respond() || other_fleet {
            return;
        }
        if ballot < self.durable.promised {
            return host.send(from, Message::Refuse(ballot, self.durable.promised));
        }
        if ballot > self.durable.accepted {
            (self.durable.promised, self.durable.accepted, self.durable.record) = (ballot, ballot, record);
            self.highest_round = self.highest_round.max(ballot.round);
            self.observations.observe(now, &self.durable.record.0);
            self.persist(host);
            if self.voting_state == VotingState::Empty {
                self.set_voting_state(VotingState::Votes, host);
            }
        }
        host.send(from, Message::Accepted(ballot, self.durable.write_count));
    }

    /// Whether this voter may answer prepare and accept messages. A voter with an empty folder may: it is
    /// asked under its new store only, which no earlier majority counted.
    fn may_respond(&self) -> bool {
        matches!(self.voting_state, VotingState::Votes | VotingState::Empty)
    }

    // The proposer: rounds for submitted operations.

    /// Starts a round if there are pending operations, none is running and the pause after the last one is
    /// over.
    fn start_round(&mut self, now: Nanos, host: &mut impl Host) {
        if self.round != Round::Idle || self.pending.is_empty() || self.voting_state != VotingState::Votes {
            return;
        }
        if now < self.round_due {
            return host.wake_at(self.round_due);
        }
        self.round_due = now + (self.config.round_timeout << self.failed_rounds.min(MAX_BACKOFF_DOUBLINGS));
        host.wake_at(self.round_due);
        let recipients = self.durable.record.0.all_stores();
        let reads = self.pending.iter().all(|(operation, _)| operation.kind == OperationKind::Read);
        if reads && self.failed_rounds == 0 {
            self.peek_count += 1;
            let number = self.peek_count;
            self.round = Round::Peek { number, recipients: recipients.clone(), reports: BTreeMap::new() };
            return recipients.iter().for_each(|&store| host.send(store, Message::Peek(number)));
        }
        self.start_prepare(now, recipients, host);
    }

    /// Starts the first phase of a round: asks for promises under a new ballot.
    fn start_prepare(&mut self, now: Nanos, recipients: BTreeSet<StoreId>, host: &mut impl Host) {
        self.highest_round += 1;
        let DurableState { store, incarnation, .. } = self.durable;
        let ballot = Ballot { round: self.highest_round, store, incarnation };
        self.round = Round::Prepare { ballot, recipients: recipients.clone(), reports: BTreeMap::new() };
        self.broadcast(now, &recipients, host, |write_count| Message::Prepare(ballot, write_count));
    }

    fn handle_peeked(
        &mut self,
        now: Nanos,
        number: u64,
        from: StoreId,
        accepted: (Ballot, SharedRecord),
        host: &mut impl Host,
    ) {
        let Round::Peek { number: own_number, recipients, reports } = &mut self.round else { return };
        if *own_number != number {
            return;
        }
        reports.insert(from, accepted);
        let (newest_report, added) = newest_accepted(reports);
        let added: Vec<StoreId> = added.difference(recipients).copied().collect();
        recipients.extend(&added);
        added.iter().for_each(|&store| host.send(store, Message::Peek(number)));
        match newest_report {
            Some((_, record, true)) => {
                self.round = Round::Idle;
                let (reads, rest): (VecDeque<_>, VecDeque<_>) =
                    self.pending.drain(..).partition(|(operation, _)| operation.kind == OperationKind::Read);
                self.pending = rest;
                reads.iter().for_each(|(operation, _)| host.answer(apply::read_answer(operation, &record)));
                self.round_finished(now, &record, host);
            }
            // A majority has reported, but different ballots: only a full round can tell which record is
            // committed.
            Some((_, _, false)) => {
                let recipients = recipients.clone();
                self.start_prepare(now, recipients, host);
            }
            None => {}
        }
    }

    /// Starts the second phase of a round once a majority has promised: applies the pending operations to the
    /// newest accepted record and asks the voters to accept the result. If nothing changes and the record is
    /// committed already, the round ends here.
    fn check_promises(&mut self, now: Nanos, host: &mut impl Host) {
        let Round::Prepare { ballot, recipients, reports } = &mut self.round else { return };
        let (ballot, (newest_report, added)) = (*ballot, newest_accepted(reports));
        let added: Vec<StoreId> = added.difference(recipients).copied().collect();
        recipients.extend(&added);
        let write_count = self.durable.write_count;
        added.iter().for_each(|&store| host.send(store, Message::Prepare(ballot, write_count)));
        let Some((newest_ballot, newest, committed)) = newest_report else { return };
        let committed = committed || newest_ballot == self.committed_voter_change;
        self.observations.observe(now, &newest.0);
        // A change of voters has to be committed before another change is built on it. Otherwise voters that
        // only know the previous voters could agree on a record without the new voters.
        let must_commit_first = !committed
            && newest.0.previous_voters != newest.0.voters
            && !crate::planted(crate::Fault::UncommittedVoterChange);
        let (mut record, mut answers) = ((*newest.0).clone(), Vec::new());
        if !must_commit_first {
            let context = ApplyContext {
                now,
                observations: &self.observations,
                drift_ppm: self.config.drift_ppm,
                eligible_voters: &self.config.eligible_voters,
            };
            answers =
                self.pending.iter().map(|(operation, _)| context.apply(&mut record, operation)).collect();
            if record != *newest.0 {
                record.version += 1;
                record.previous_voters = newest.0.voters.clone();
            }
        }
        let covered = answers.len();
        let unchanged = committed && record == *newest.0;
        let record = if unchanged { newest } else { SharedRecord(Arc::new(record)) };
        let stores = record.0.all_stores();
        self.round =
            Round::Accept { ballot, record: record.clone(), accepted_by: BTreeSet::new(), covered, answers };
        if unchanged {
            return self.finish_accept(now, host);
        }
        self.broadcast(now, &stores, host, |write_count| {
            Message::Accept(ballot, record.clone(), write_count)
        });
    }

    /// Ends a round whose record is committed, and answers the operations that it covers.
    fn finish_accept(&mut self, now: Nanos, host: &mut impl Host) {
        let Round::Accept { ballot, record, covered, answers, .. } =
            std::mem::replace(&mut self.round, Round::Idle)
        else {
            return;
        };
        // The round committed the newest record as it was found, without applying any operations.
        if covered == 0 {
            self.committed_voter_change = ballot;
        }
        for ((operation, _), answer) in self.pending.drain(..covered).zip(answers) {
            host.answer(answer.unwrap_or_else(|| apply::read_answer(&operation, &record)));
        }
        self.round_finished(now, &record, host);
    }

    /// Ends the pauses, reports the committed record and starts the next round if operations are pending.
    fn round_finished(&mut self, now: Nanos, record: &SharedRecord, host: &mut impl Host) {
        (self.round_due, self.failed_rounds) = (now, 0);
        host.committed(record);
        self.start_round(now, host);
    }

    /// No majority answered: a retry soon after would not help.
    fn round_timed_out(&mut self, now: Nanos, host: &mut impl Host) {
        let max_delay = self.config.round_timeout << self.failed_rounds.min(MAX_BACKOFF_DOUBLINGS);
        self.failed_rounds += 1;
        self.back_off(now, max_delay / 2, host);
    }

    /// Another voter has used a higher ballot. Equal pauses would make two competing voters collide for ever,
    /// so the pauses are random. They stay short: if they grew, a voter that runs round after round would
    /// keep out the one whose pauses become longer and longer.
    fn yield_to_higher_ballot(&mut self, now: Nanos, host: &mut impl Host) {
        self.back_off(now, self.config.round_timeout / 4, host);
    }

    /// Gives up the round, and pauses for a random time of at most `max_delay`.
    fn back_off(&mut self, now: Nanos, max_delay: Nanos, host: &mut impl Host) {
        self.round = Round::Idle;
        self.round_due = now + (max_delay as f64 * host.random()) as Nanos;
        host.wake_at(self.round_due);
    }

    /// Sends a message to all these stores, to itself first: its own acceptance is then on its disk before
    /// the others receive the message, and the message carries the write count after it.
    fn broadcast(
        &mut self,
        now: Nanos,
        stores: &BTreeSet<StoreId>,
        host: &mut impl Host,
        message_for: impl Fn(u64) -> Message,
    ) {
        let own = self.durable.store;
        if stores.contains(&own) {
            self.message_received(now, own, message_for(self.durable.write_count), host);
        }
        let message = message_for(self.durable.write_count);
        let others = stores.iter().filter(|store| **store != own);
        others.for_each(|&store| host.send(store, message.clone()));
    }

    /// Remembers the highest write count of another voter's disk.
    fn record_write_count(&mut self, store: StoreId, write_count: u64) {
        let known = self.durable.known_write_counts.entry(store).or_default();
        *known = write_count.max(*known);
    }

    /// Persists the state as one more write.
    fn persist(&mut self, host: &mut impl Host) {
        self.durable.write_count += 1;
        host.persist(&self.durable);
    }

    fn set_voting_state(&mut self, voting_state: VotingState, host: &mut impl Host) {
        if self.voting_state != voting_state {
            self.voting_state = voting_state;
            host.voting_state_changed(voting_state);
        }
    }
}
