//! The voter's actor. It owns the voter's state machine and its disk. Messages and answers are sent only
//! after the state that they depend on was written to disk. If the disk fails, the voter stays silent until
//! the disk can be read and written again.

use crate::fleet::local_process::{LocalProcess, random_id};
use crate::fleet::outbound::VoterLinks;
use crate::fleet::store::{DiskContents, VoterDisk};
use crate::fleet::voter_handle::{VoterEvent, VoterMailbox};
use crate::fleet::wire::{self, Frame, Role, VoterStatus};
use anyhow::{Context, Result};
use pumicebay_accord::{
    Answer, DurableState, Effects, Name, Nanos, OperationId, SharedRecord, StoreId, Voter, VoterConfig,
    VotingState,
};
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::task::spawn_blocking;
use tokio::time::{Instant, MissedTickBehavior, interval, sleep_until};

/// The maximum number of events handled before the state is written to disk once for all of them.
const MAX_BATCH: usize = 64;
/// How long one quorum round may take, in nanoseconds.
const ROUND_TIMEOUT: Nanos = 250_000_000;
/// How long an operation may wait for its quorum round, in nanoseconds.
const OPERATION_TIMEOUT: Nanos = 2_000_000_000;
/// The delay before the disk is opened again after it failed or while another process has the lock.
const OPEN_RETRY_DELAY: Duration = Duration::from_millis(500);

/// The state of the actor.
struct VoterActor {
    local: LocalProcess,
    links: VoterLinks,
    /// Publishes the state of the disk to the handles.
    disk_sender: watch::Sender<Option<wire::DiskSummary>>,
    /// The voter and its disk; `None` while the disk does not work.
    open: Option<(Voter, Arc<VoterDisk>)>,
    /// Why the disk does not work.
    disk_error: Option<String>,
    /// The effects that the voter requested since the last write to disk.
    effects: Effects,
    random: oorandom::Rand64,
    /// The voter of each store, by the last hellos and heartbeats.
    voter_by_store: BTreeMap<StoreId, Name>,
    /// The link that receives the answer to each pending operation.
    reply_links: HashMap<OperationId, mpsc::Sender<Frame>>,
}

/// Runs the voter until all its handles are dropped.
pub async fn run(local: LocalProcess, links: VoterLinks, mailbox: VoterMailbox) {
    let VoterMailbox(mut events, disk_sender) = mailbox;
    let random = oorandom::Rand64::new(u128::from(random_id()));
    let (effects, voter_by_store, reply_links) = (Effects::default(), BTreeMap::new(), HashMap::new());
    let mut actor = VoterActor {
        local,
        links,
        disk_sender,
        open: None,
        disk_error: None,
        effects,
        random,
        voter_by_store,
        reply_links,
    };
    let mut reopen = interval(OPEN_RETRY_DELAY);
    reopen.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        let wait = actor.effects.wake_at.map_or(OPEN_RETRY_DELAY, |time| actor.local.clock.until(time));
        tokio::select! {
            event = events.recv() => match event {
                Some(event) => {
                    actor.handle_event(event);
                    for _ in 1..MAX_BATCH {
                        let Ok(event) = events.try_recv() else { break };
                        actor.handle_event(event);
                    }
                }
                None => return,
            },
            () = sleep_until(Instant::now() + wait) => actor.timer_fired(),
            _ = reopen.tick() => match actor.open {
                Some(_) => actor.timer_fired(),
                None => actor.try_open().await,
            },
        }
        if let Err(error) = actor.flush().await {
            actor.fail(&error);
        }
    }
}

impl VoterActor {
    /// The voter's settings.
    fn voter_config(&self) -> VoterConfig {
        let config = &self.local.config;
        VoterConfig {
            drift_ppm: config.drift_ppm,
            round_timeout: ROUND_TIMEOUT,
            operation_timeout: OPERATION_TIMEOUT,
            max_pending: config.max_pending,
            eligible_voters: config.potential_voters().map(|(name, _)| name.clone()).collect(),
            require_extra_confirmation: config.require_extra_confirmation,
        }
    }

    /// Opens the disk and starts the voter from its state.
    async fn try_open(&mut self) {
        let config = self.local.config.clone();
        let Some(folder) = config.folder.clone() else { return };
        let name = config.name.clone();
        let opened =
            spawn_blocking(move || open_folder(&folder, &name)).await.context("opening the folder").flatten();
        match opened {
            Ok(Some((disk, state))) => {
                let (voter_config, now) = (self.voter_config(), self.local.clock.now());
                let voter = Voter::start(now, &self.local.id.name, state, voter_config, &mut self.effects);
                self.open = Some((voter, Arc::new(disk)));
                self.disk_error = None;
            }
            Ok(None) => self.disk_error = Some("another process has locked the folder".into()),
            Err(error) => self.fail(&error),
        }
    }

    /// Stops the voter until its disk works. Its unsent messages and answers are dropped together with the
    /// unwritten state.
    fn fail(&mut self, error: &anyhow::Error) {
        let disk_error = format!("{error:#}");
        if self.disk_error.as_ref() != Some(&disk_error) {
            tracing::error!("fleet: the voter's disk failed: {disk_error}");
        }
        self.disk_error = Some(disk_error);
        self.open = None;
        self.effects = Effects::default();
        self.reply_links.clear();
    }

    /// Handles one event. Its effects are carried out by `flush`.
    fn handle_event(&mut self, event: VoterEvent) {
        let now = self.local.clock.now();
        match event {
            VoterEvent::Status(reply_sender) => {
                let _ = reply_sender.send(self.status(now));
                return;
            }
            VoterEvent::PeerHeard(ref peer, _, Some(ref disk)) => {
                self.voter_by_store.retain(|_, name| *name != peer.name);
                self.voter_by_store.insert(disk.store, peer.name.clone());
            }
            _ => {}
        }
        let Some((voter, _)) = &mut self.open else {
            if let VoterEvent::Submit(operation, link) = event {
                let busy = Answer { id: operation.id, reply: pumicebay_accord::Reply::Busy };
                let _ = link.try_send(Frame::Answer(busy));
            }
            return;
        };
        let effects = &mut self.effects;
        effects.random = self.random.rand_float();
        match event {
            VoterEvent::PeerHeard(peer, role, disk) => {
                if role == Role::Proxy {
                    let store = disk.as_ref().map(|disk| (disk.store, disk.empty));
                    voter.presence.heard_from(now, &peer.name, peer.incarnation, store);
                }
                if let Some(disk) = disk {
                    let own_store = voter.durable_state().store;
                    let known_write_count = disk
                        .known_write_counts
                        .iter()
                        .find(|(store, _)| *store == own_store)
                        .map_or(0, |(_, n)| *n);
                    voter.hello_received(now, disk.store, disk.write_count, known_write_count, effects);
                }
            }
            VoterEvent::LinkLost(peer, clean) => {
                voter.presence.link_lost(&peer.name, peer.incarnation, clean)
            }
            VoterEvent::Message(to, from, message) if to == voter.durable_state().store => {
                voter.message_received(now, from, message, effects)
            }
            VoterEvent::Message(..) => {}
            VoterEvent::Submit(operation, link) => {
                self.reply_links.insert(operation.id.clone(), link);
                voter.submit(now, operation, effects);
            }
            VoterEvent::Bootstrap(record, reply_sender) => {
                let _ = reply_sender.send(voter.bootstrap(now, record, effects));
            }
            VoterEvent::TrustDisk(reply_sender) => {
                let _ = reply_sender.send(voter.trust_disk(now, effects));
            }
            VoterEvent::Status(_) => {}
        }
        effects.deliver_to_self(now, voter);
    }

    /// Runs the timers of the voter that are due.
    fn timer_fired(&mut self) {
        let now = self.local.clock.now();
        self.effects.wake_at = None;
        self.effects.random = self.random.rand_float();
        if let Some((voter, _)) = &mut self.open {
            voter.timer_fired(now, &mut self.effects);
            self.effects.deliver_to_self(now, voter);
        }
    }

    /// Writes the state to disk and only then sends messages and answers.
    async fn flush(&mut self) -> Result<()> {
        let Some((voter, disk)) = &self.open else { return Ok(()) };
        let own_store = voter.durable_state().store;
        self.effects.committed.clear();
        if let Some(state) = self.effects.to_persist.drain(..).next_back() {
            let disk = disk.clone();
            spawn_blocking(move || disk.write(&state)).await.context("writing the state").flatten()?;
        }
        let summary = disk_summary(voter.durable_state());
        self.disk_sender
            .send_if_modified(|current| current.replace(summary.clone()).as_ref() != Some(&summary));
        for (to, message) in self.effects.messages.drain(..) {
            if let Some(name) = self.voter_by_store.get(&to) {
                self.links.send(name, Frame::VoterMessage(to, own_store, message));
            }
        }
        for answer in self.effects.answers.drain(..) {
            if let Some(link) = self.reply_links.remove(&answer.id) {
                // A link with a full queue is about to fail anyway.
                let _ = link.try_send(Frame::Answer(answer));
            }
        }
        if let Some(voting_state) = self.effects.voting_state.take() {
            let DurableState { incarnation, write_count, accepted, .. } = voter.durable_state();
            tracing::info!(
                "fleet: voter {voting_state:?}, store {own_store:016x} opened {incarnation} times, written {write_count}, \
                 accepted round {}",
                accepted.round
            );
            if voting_state == VotingState::Behind {
                // The other voters admit this one again under a new store.
                disk.set_aside()?;
                self.open = None;
            }
        }
        Ok(())
    }

    /// The status for an operator's command.
    fn status(&self, now: Nanos) -> VoterStatus {
        let Some((voter, _)) = &self.open else {
            return VoterStatus {
                name: self.local.id.name.clone(),
                disk: self
                    .disk_sender
                    .borrow()
                    .clone()
                    .unwrap_or_else(|| disk_summary(&DurableState::empty(&self.local.config.name, 0))),
                voting_state: VotingState::Empty,
                is_current_voter: false,
                disk_error: Some(
                    self.disk_error.clone().unwrap_or_else(|| "the disk is being opened".into()),
                ),
                record: SharedRecord::default(),
                remaining_leases: Vec::new(),
                peers: Vec::new(),
            };
        };
        let state = voter.durable_state();
        VoterStatus {
            name: self.local.id.name.clone(),
            disk: disk_summary(state),
            voting_state: voter.voting_state(),
            is_current_voter: voter.is_current_voter(),
            disk_error: self.disk_error.clone(),
            record: state.record.clone(),
            remaining_leases: state
                .record
                .0
                .leases
                .keys()
                .map(|name| (name.clone(), voter.remaining(now, name)))
                .collect(),
            peers: voter
                .presence
                .peers(now)
                .map(|(name, incarnation, seen, silent_for)| (name.clone(), incarnation, seen, silent_for))
                .collect(),
        }
    }
}

/// The summary of a voter's disk that its hellos and heartbeats carry.
fn disk_summary(state: &DurableState) -> wire::DiskSummary {
    wire::DiskSummary {
        store: state.store,
        empty: state.is_empty(),
        write_count: state.write_count,
        founded: state.record.0.founded,
        known_write_counts: state.known_write_counts.iter().map(|(store, count)| (*store, *count)).collect(),
    }
}

/// Opens a voter's folder and reads its state. Starts a new store if the folder is empty or its file is
/// damaged, which is then set aside. `None` while another process has the folder locked.
fn open_folder(folder: &std::path::Path, fleet: &str) -> Result<Option<(VoterDisk, DurableState)>> {
    let Some(disk) = VoterDisk::open(folder)? else { return Ok(None) };
    let state = match disk.read(fleet)? {
        DiskContents::Valid(state) => *state,
        DiskContents::Empty => DurableState::empty(fleet, random_id()),
        DiskContents::Corrupt(reason) => {
            tracing::error!("fleet: the voter's file is unusable and was set aside: {reason}");
            disk.set_aside()?;
            DurableState::empty(fleet, random_id())
        }
    };
    Ok(Some((disk, state)))
}
