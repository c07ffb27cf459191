//! The voter's actor: it owns the decisions and the disk. What they say goes out once the disk has what they keep; a disk
//! that fails silences the voter until it can be read and written again.

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

/// Events taken together before the disk is synced once for all.
const MAX_BATCH: usize = 64;
/// How long one round of the voters may take, and how long an ask waits for one.
const ROUND_TIMEOUT: Nanos = 250_000_000;
const OPERATION_TIMEOUT: Nanos = 2_000_000_000;
/// The pause before a disk that failed, or that another process has, is tried again.
const OPEN_RETRY_DELAY: Duration = Duration::from_millis(500);

struct VoterActor {
    local: LocalProcess,
    links: VoterLinks,
    disk_sender: watch::Sender<Option<wire::DiskSummary>>,
    /// The voter and its disk, while there is one that works.
    open: Option<(Voter, Arc<VoterDisk>)>,
    disk_error: Option<String>,
    /// What the decisions asked for since the disk was synced last.
    effects: Effects,
    random: oorandom::Rand64,
    /// Which voter has which store, by what they said last.
    voter_by_store: BTreeMap<StoreId, Name>,
    /// Where answers go.
    reply_links: HashMap<OperationId, mpsc::Sender<Frame>>,
}

/// Runs the voter as long as the process lives.
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
        let wait = actor.effects.wake_at.map_or(OPEN_RETRY_DELAY, |at| actor.local.clock.until(at));
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
    fn config_for_voter(&self) -> VoterConfig {
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

    async fn try_open(&mut self) {
        let config = self.local.config.clone();
        let Some(folder) = config.folder.clone() else { return };
        let name = config.name.clone();
        let opened = spawn_blocking(move || open_folder(&folder, &name)).await.context("opening").flatten();
        match opened {
            Ok(Some((disk, state))) => {
                let (config_for_voter, now) = (self.config_for_voter(), self.local.clock.now());
                let voter =
                    Voter::start(now, &self.local.id.name, state, config_for_voter, &mut self.effects);
                self.open = Some((voter, Arc::new(disk)));
                self.disk_error = None;
            }
            Ok(None) => self.disk_error = Some("another process has the folder".into()),
            Err(error) => self.fail(&error),
        }
    }

    /// Silences the voter until its disk works; what it was about to say is lost with what it was about to keep.
    fn fail(&mut self, error: &anyhow::Error) {
        let disk_error = format!("{error:#}");
        if self.disk_error.as_ref() != Some(&disk_error) {
            tracing::error!("fleet: the voter's disk: {disk_error}");
        }
        self.disk_error = Some(disk_error);
        self.open = None;
        self.effects = Effects::default();
        self.reply_links.clear();
    }

    fn handle_event(&mut self, event: VoterEvent) {
        let now = self.local.clock.now();
        match event {
            VoterEvent::Status(answer) => {
                let _ = answer.send(self.status(now));
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
            VoterEvent::LinkLost(peer, in_order) => {
                voter.presence.link_lost(&peer.name, peer.incarnation, in_order)
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

    fn timer_fired(&mut self) {
        let now = self.local.clock.now();
        self.effects.wake_at = None;
        self.effects.random = self.random.rand_float();
        if let Some((voter, _)) = &mut self.open {
            voter.timer_fired(now, &mut self.effects);
            self.effects.deliver_to_self(now, voter);
        }
    }

    /// Syncs what is to be kept, and only then lets out what was said.
    async fn flush(&mut self) -> Result<()> {
        let Some((voter, disk)) = &self.open else { return Ok(()) };
        let own_store = voter.durable_state().store;
        self.effects.committed.clear();
        if let Some(state) = self.effects.to_persist.drain(..).next_back() {
            let disk = disk.clone();
            spawn_blocking(move || disk.write(&state)).await.context("writing").flatten()?;
        }
        let summary = disk_summary(voter.durable_state());
        self.disk_sender.send_if_modified(|now| now.replace(summary.clone()).as_ref() != Some(&summary));
        for (to, message) in self.effects.messages.drain(..) {
            if let Some(name) = self.voter_by_store.get(&to) {
                self.links.send(name, Frame::VoterMessage(to, own_store, message));
            }
        }
        for answer in self.effects.answers.drain(..) {
            if let Some(link) = self.reply_links.remove(&answer.id) {
                // A link that is full is lost anyhow.
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
                // The others take this voter in again under a new store.
                disk.set_aside()?;
                self.open = None;
            }
        }
        Ok(())
    }

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
                    self.disk_error.clone().unwrap_or_else(|| "its disk is being opened".into()),
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

/// What a voter tells others of its disk.
fn disk_summary(state: &DurableState) -> wire::DiskSummary {
    wire::DiskSummary {
        store: state.store,
        empty: state.is_empty(),
        write_count: state.write_count,
        founded: state.record.0.founded,
        known_write_counts: state
            .known_write_counts
            .iter()
            .map(|(store, written)| (*store, *written))
            .collect(),
    }
}

/// Opens a voter's folder: what it has, or a new store where that is nothing or can't be trusted.
fn open_folder(folder: &std::path::Path, fleet: &str) -> Result<Option<(VoterDisk, DurableState)>> {
    let Some(disk) = VoterDisk::open(folder)? else { return Ok(None) };
    let state = match disk.read(fleet)? {
        DiskContents::Valid(state) => *state,
        DiskContents::Empty => DurableState::empty(fleet, random_id()),
        DiskContents::Corrupt(why) => {
            tracing::error!("fleet: the voter's file is set aside, it must not vote from it: {why}");
            disk.set_aside()?;
            DurableState::empty(fleet, random_id())
        }
    };
    Ok(Some((disk, state)))
}
