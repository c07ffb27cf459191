//! The voter's actor: it owns the decisions and the disk. What they say goes out once the disk has what they keep; a disk
//! that fails silences the voter until it can be read and written again.

use crate::fleet::local_process::{Me, draw};
use crate::fleet::outbound::Links;
use crate::fleet::store::{Disk, Found};
use crate::fleet::voter_handle::{Event, Mailbox};
use crate::fleet::wire::{self, Frame, Role, Status};
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
const BATCH: usize = 64;
/// How long one round of the voters may take, and how long an ask waits for one.
const ROUND: Nanos = 250_000_000;
const ASK: Nanos = 2_000_000_000;
/// The pause before a disk that failed, or that another process has, is tried again.
const AGAIN: Duration = Duration::from_millis(500);

struct Seat {
    me: Me,
    links: Links,
    tell: watch::Sender<Option<wire::Disk>>,
    /// The voter and its disk, while there is one that works.
    open: Option<(Voter, Arc<Disk>)>,
    trouble: Option<String>,
    /// What the decisions asked for since the disk was synced last.
    acts: Effects,
    random: oorandom::Rand64,
    /// Which voter has which store, by what they said last.
    stores: BTreeMap<StoreId, Name>,
    /// Where answers go.
    askers: HashMap<OperationId, mpsc::Sender<Frame>>,
}

/// Runs the voter as long as the process lives.
pub async fn run(me: Me, links: Links, mailbox: Mailbox) {
    let Mailbox(mut events, tell) = mailbox;
    let random = oorandom::Rand64::new(u128::from(draw()));
    let (acts, stores, askers) = (Effects::default(), BTreeMap::new(), HashMap::new());
    let mut seat = Seat { me, links, tell, open: None, trouble: None, acts, random, stores, askers };
    let mut again = interval(AGAIN);
    again.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        let wait = seat.acts.wake_at.map_or(AGAIN, |at| seat.me.clock.until(at));
        tokio::select! {
            event = events.recv() => match event {
                Some(event) => {
                    seat.take(event);
                    for _ in 1..BATCH {
                        let Ok(event) = events.try_recv() else { break };
                        seat.take(event);
                    }
                }
                None => return,
            },
            () = sleep_until(Instant::now() + wait) => seat.woke(),
            _ = again.tick() => match seat.open {
                Some(_) => seat.woke(),
                None => seat.try_open().await,
            },
        }
        if let Err(error) = seat.flush().await {
            seat.fail(&error);
        }
    }
}

impl Seat {
    fn terms(&self) -> VoterConfig {
        let config = &self.me.config;
        VoterConfig {
            drift_ppm: config.drift_ppm,
            round_timeout: ROUND,
            operation_timeout: ASK,
            max_pending: config.asks,
            eligible_voters: config.callable().map(|(name, _)| name.clone()).collect(),
            require_extra_confirmation: config.cautious,
        }
    }

    async fn try_open(&mut self) {
        let config = self.me.config.clone();
        let Some(folder) = config.folder.clone() else { return };
        let name = config.name.clone();
        let opened = spawn_blocking(move || open(&folder, &name)).await.context("opening").flatten();
        match opened {
            Ok(Some((disk, kept))) => {
                let (terms, now) = (self.terms(), self.me.clock.now());
                let voter = Voter::start(now, &self.me.who.name, kept, terms, &mut self.acts);
                self.open = Some((voter, Arc::new(disk)));
                self.trouble = None;
            }
            Ok(None) => self.trouble = Some("another process has the folder".into()),
            Err(error) => self.fail(&error),
        }
    }

    /// Silences the voter until its disk works; what it was about to say is lost with what it was about to keep.
    fn fail(&mut self, error: &anyhow::Error) {
        let trouble = format!("{error:#}");
        if self.trouble.as_ref() != Some(&trouble) {
            tracing::error!("fleet: the voter's disk: {trouble}");
        }
        self.trouble = Some(trouble);
        self.open = None;
        self.acts = Effects::default();
        self.askers.clear();
    }

    fn take(&mut self, event: Event) {
        let now = self.me.clock.now();
        match event {
            Event::Status(answer) => {
                let _ = answer.send(self.status(now));
                return;
            }
            Event::Heard(ref who, _, Some(ref disk)) => {
                self.stores.retain(|_, name| *name != who.name);
                self.stores.insert(disk.store, who.name.clone());
            }
            _ => {}
        }
        let Some((voter, _)) = &mut self.open else {
            if let Event::Ask(ask, link) = event {
                let busy = Answer { id: ask.id, reply: pumicebay_accord::Reply::Busy };
                let _ = link.try_send(Frame::Answer(busy));
            }
            return;
        };
        let acts = &mut self.acts;
        acts.random = self.random.rand_float();
        match event {
            Event::Heard(who, role, disk) => {
                if role == Role::Proxy {
                    let store = disk.as_ref().map(|disk| (disk.store, disk.empty));
                    voter.presence.heard_from(now, &who.name, who.incarnation, store);
                }
                if let Some(disk) = disk {
                    let own = voter.durable_state().store;
                    let knows = disk.known.iter().find(|(store, _)| *store == own).map_or(0, |(_, n)| *n);
                    voter.hello_received(now, disk.store, disk.written, knows, acts);
                }
            }
            Event::Lost(who, in_order) => voter.presence.link_lost(&who.name, who.incarnation, in_order),
            Event::Vote(to, from, message) if to == voter.durable_state().store => {
                voter.message_received(now, from, message, acts)
            }
            Event::Vote(..) => {}
            Event::Ask(ask, link) => {
                self.askers.insert(ask.id.clone(), link);
                voter.submit(now, ask, acts);
            }
            Event::Found(record, done) => {
                let _ = done.send(voter.bootstrap(now, record, acts));
            }
            Event::Trust(done) => {
                let _ = done.send(voter.trust_disk(now, acts));
            }
            Event::Status(_) => {}
        }
        acts.deliver_to_self(now, voter);
    }

    fn woke(&mut self) {
        let now = self.me.clock.now();
        self.acts.wake_at = None;
        self.acts.random = self.random.rand_float();
        if let Some((voter, _)) = &mut self.open {
            voter.timer_fired(now, &mut self.acts);
            self.acts.deliver_to_self(now, voter);
        }
    }

    /// Syncs what is to be kept, and only then lets out what was said.
    async fn flush(&mut self) -> Result<()> {
        let Some((voter, disk)) = &self.open else { return Ok(()) };
        let own = voter.durable_state().store;
        self.acts.committed.clear();
        if let Some(kept) = self.acts.to_persist.drain(..).next_back() {
            let disk = disk.clone();
            spawn_blocking(move || disk.write(&kept)).await.context("writing").flatten()?;
        }
        let said = said(voter.durable_state());
        self.tell.send_if_modified(|now| now.replace(said.clone()).as_ref() != Some(&said));
        for (to, message) in self.acts.messages.drain(..) {
            if let Some(name) = self.stores.get(&to) {
                self.links.send(name, Frame::Vote(to, own, message));
            }
        }
        for answer in self.acts.answers.drain(..) {
            if let Some(link) = self.askers.remove(&answer.id) {
                // A link that is full is lost anyhow.
                let _ = link.try_send(Frame::Answer(answer));
            }
        }
        if let Some(standing) = self.acts.voting_state.take() {
            let DurableState { incarnation, write_count: written, accepted, .. } = voter.durable_state();
            tracing::info!(
                "fleet: voter {standing:?}, store {own:016x} opened {incarnation} times, written {written}, \
                 accepted round {}",
                accepted.round
            );
            if standing == VotingState::Behind {
                // The others take this voter in again under a new store.
                disk.set_aside()?;
                self.open = None;
            }
        }
        Ok(())
    }

    fn status(&self, now: Nanos) -> Status {
        let Some((voter, _)) = &self.open else {
            return Status {
                name: self.me.who.name.clone(),
                disk: self
                    .tell
                    .borrow()
                    .clone()
                    .unwrap_or_else(|| said(&DurableState::empty(&self.me.config.name, 0))),
                standing: VotingState::Empty,
                seated: false,
                trouble: Some(self.trouble.clone().unwrap_or_else(|| "its disk is being opened".into())),
                record: SharedRecord::default(),
                left: Vec::new(),
                present: Vec::new(),
            };
        };
        let kept = voter.durable_state();
        Status {
            name: self.me.who.name.clone(),
            disk: said(kept),
            standing: voter.voting_state(),
            seated: voter.is_current_voter(),
            trouble: self.trouble.clone(),
            record: kept.record.clone(),
            left: kept
                .record
                .0
                .leases
                .keys()
                .map(|name| (name.clone(), voter.remaining(now, name)))
                .collect(),
            present: voter
                .presence
                .peers(now)
                .map(|(name, life, seen, ago)| (name.clone(), life, seen, ago))
                .collect(),
        }
    }
}

/// What a voter tells others of its disk.
fn said(kept: &DurableState) -> wire::Disk {
    wire::Disk {
        store: kept.store,
        empty: kept.is_empty(),
        written: kept.write_count,
        founded: kept.record.0.founded,
        known: kept.known_write_counts.iter().map(|(store, written)| (*store, *written)).collect(),
    }
}

/// Opens a voter's folder: what it has, or a new store where that is nothing or can't be trusted.
fn open(folder: &std::path::Path, fleet: &str) -> Result<Option<(Disk, DurableState)>> {
    let Some(disk) = Disk::open(folder)? else { return Ok(None) };
    let kept = match disk.read(fleet)? {
        Found::Whole(kept) => *kept,
        Found::Nothing => DurableState::empty(fleet, draw()),
        Found::Spoilt(why) => {
            tracing::error!("fleet: the voter's file is set aside, it must not vote from it: {why}");
            disk.set_aside()?;
            DurableState::empty(fleet, draw())
        }
    };
    Ok(Some((disk, kept)))
}
