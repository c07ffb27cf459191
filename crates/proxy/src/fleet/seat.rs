//! The voter's actor: it owns the decisions and the disk. What they say goes out once the disk has what they keep; a disk
//! that fails silences the voter until it can be read and written again.

use crate::fleet::door::{Event, Mailbox};
use crate::fleet::me::{Me, draw};
use crate::fleet::outbound::Links;
use crate::fleet::store::{Disk, Found};
use crate::fleet::wire::{self, Frame, Role, Status};
use anyhow::{Context, Result};
use pumicebay_accord::{Acts, Answer, AskId, Kept, Name, Nanos, Shared, Standing, Store, Terms, Voter};
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
    acts: Acts,
    random: oorandom::Rand64,
    /// Which voter has which store, by what they said last.
    stores: BTreeMap<Store, Name>,
    /// Where answers go.
    askers: HashMap<AskId, mpsc::Sender<Frame>>,
}

/// Runs the voter as long as the process lives.
pub async fn run(me: Me, links: Links, mailbox: Mailbox) {
    let Mailbox(mut events, tell) = mailbox;
    let random = oorandom::Rand64::new(u128::from(draw()));
    let (acts, stores, askers) = (Acts::default(), BTreeMap::new(), HashMap::new());
    let mut seat = Seat { me, links, tell, open: None, trouble: None, acts, random, stores, askers };
    let mut again = interval(AGAIN);
    again.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        let wait = seat.acts.wake.map_or(AGAIN, |at| seat.me.clock.until(at));
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
    fn terms(&self) -> Terms {
        let config = &self.me.config;
        Terms {
            drift_ppm: config.drift_ppm,
            round: ROUND,
            ask: ASK,
            asks: config.asks,
            may_vote: config.callable().map(|(name, _)| name.clone()).collect(),
            cautious: config.cautious,
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
        self.acts = Acts::default();
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
        acts.chance = self.random.rand_float();
        match event {
            Event::Heard(who, role, disk) => {
                if role == Role::Proxy {
                    let store = disk.as_ref().map(|disk| (disk.store, disk.empty));
                    voter.present.heard(now, &who.name, who.incarnation, store);
                }
                if let Some(disk) = disk {
                    let own = voter.kept().store;
                    let knows = disk.known.iter().find(|(store, _)| *store == own).map_or(0, |(_, n)| *n);
                    voter.greeted(now, disk.store, disk.written, knows, acts);
                }
            }
            Event::Lost(who, in_order) => voter.present.lost(&who.name, who.incarnation, in_order),
            Event::Vote(to, from, message) if to == voter.kept().store => voter.got(now, from, message, acts),
            Event::Vote(..) => {}
            Event::Ask(ask, link) => {
                self.askers.insert(ask.id.clone(), link);
                voter.asked(now, ask, acts);
            }
            Event::Found(record, done) => {
                let _ = done.send(voter.found(now, record, acts));
            }
            Event::Trust(done) => {
                let _ = done.send(voter.trusted(now, acts));
            }
            Event::Status(_) => {}
        }
        acts.hear_itself(now, voter);
    }

    fn woke(&mut self) {
        let now = self.me.clock.now();
        self.acts.wake = None;
        self.acts.chance = self.random.rand_float();
        if let Some((voter, _)) = &mut self.open {
            voter.woke(now, &mut self.acts);
            self.acts.hear_itself(now, voter);
        }
    }

    /// Syncs what is to be kept, and only then lets out what was said.
    async fn flush(&mut self) -> Result<()> {
        let Some((voter, disk)) = &self.open else { return Ok(()) };
        let own = voter.kept().store;
        self.acts.settled.clear();
        if let Some(kept) = self.acts.kept.drain(..).next_back() {
            let disk = disk.clone();
            spawn_blocking(move || disk.write(&kept)).await.context("writing").flatten()?;
        }
        let said = said(voter.kept());
        self.tell.send_if_modified(|now| now.replace(said.clone()).as_ref() != Some(&said));
        for (to, message) in self.acts.sent.drain(..) {
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
        if let Some(standing) = self.acts.standing.take() {
            let Kept { incarnation, written, accepted, .. } = voter.kept();
            tracing::info!(
                "fleet: voter {standing:?}, store {own:016x} opened {incarnation} times, written {written}, \
                 accepted round {}",
                accepted.round
            );
            if standing == Standing::Behind {
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
                    .unwrap_or_else(|| said(&Kept::empty(&self.me.config.name, 0))),
                standing: Standing::Empty,
                seated: false,
                trouble: Some(self.trouble.clone().unwrap_or_else(|| "its disk is being opened".into())),
                record: Shared::default(),
                left: Vec::new(),
                present: Vec::new(),
            };
        };
        let kept = voter.kept();
        Status {
            name: self.me.who.name.clone(),
            disk: said(kept),
            standing: voter.standing(),
            seated: voter.seated(),
            trouble: self.trouble.clone(),
            record: kept.record.clone(),
            left: kept.record.0.leases.keys().map(|name| (name.clone(), voter.left(now, name))).collect(),
            present: voter
                .present
                .all(now)
                .map(|(name, life, seen, ago)| (name.clone(), life, seen, ago))
                .collect(),
        }
    }
}

/// What a voter tells others of its disk.
fn said(kept: &Kept) -> wire::Disk {
    wire::Disk {
        store: kept.store,
        empty: kept.is_empty(),
        written: kept.written,
        founded: kept.record.0.founded,
        known: kept.known.iter().map(|(store, written)| (*store, *written)).collect(),
    }
}

/// Opens a voter's folder: what it has, or a new store where that is nothing or can't be trusted.
fn open(folder: &std::path::Path, fleet: &str) -> Result<Option<(Disk, Kept)>> {
    let Some(disk) = Disk::open(folder)? else { return Ok(None) };
    let kept = match disk.read(fleet)? {
        Found::Whole(kept) => *kept,
        Found::Nothing => Kept::empty(fleet, draw()),
        Found::Spoilt(why) => {
            tracing::error!("fleet: the voter's file is set aside, it must not vote from it: {why}");
            disk.set_aside()?;
            Kept::empty(fleet, draw())
        }
    };
    Ok(Some((disk, kept)))
}
