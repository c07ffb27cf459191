//! Probes of nodes that are down, for the whole of a zone: the actor between the module, which wants their outcomes, and the
//! fleet, in which one process probes for all. The choices are `pumicebay_accord::ProbeCoordinator`'s.

use crate::control::ControlHandle;
use crate::fleet::lease::Lease;
use crate::fleet::outbound::Links;
use crate::fleet::probe_handle::{Event, Mailbox};
use crate::fleet::voter_client::Asker;
use crate::fleet::voter_handle::Door;
use crate::fleet::wire::{Frame, News};
use pumicebay_accord::{Name, ProbeCoordinator, ProbeHost, Token};
use std::collections::VecDeque;
use std::time::Duration;
use tokio::sync::{broadcast, mpsc};
use tokio::time::{MissedTickBehavior, interval};

const TICK: Duration = Duration::from_millis(100);
/// The lease on a zone's probes.
const LEASE: Duration = Duration::from_secs(6);
/// How many voters are told: they pass it on to all, and one of them may be cut off.
const VOTERS: usize = 2;
/// Numbers of news that were heard lately.
const LATELY: usize = 64;

/// What the choices ask for.
struct Acts {
    asker: Asker,
    links: Links,
    own: Option<Door>,
    random: oorandom::Rand64,
    probe: Vec<Name>,
    answer: Vec<(Name, bool)>,
}

impl ProbeHost for Acts {
    fn probe(&mut self, node: &str) {
        self.probe.push(node.into());
    }
    fn deliver_outcome(&mut self, node: &str, answered: bool) {
        self.answer.push((node.into(), answered));
    }
    fn publish_outcome(&mut self, token: Token, node: &str, answered: bool) {
        let (zone, number) = (self.asker.me.config.zone.clone(), self.asker.number());
        self.spread(&Frame::News(News { zone, token, number, node: node.into(), answered }));
    }
    fn request_probe(&mut self, node: &str) {
        self.spread(&Frame::Wanted(self.asker.me.config.zone.clone(), node.into()));
    }
    fn random(&mut self) -> f64 {
        self.random.rand_float()
    }
}

impl Acts {
    fn spread(&self, frame: &Frame) {
        let mut told = 0;
        if let Some(own) = &self.own {
            own.pass_on(frame.clone());
            told += 1;
        }
        for voter in self.links.up() {
            if told == VOTERS {
                return;
            }
            told += usize::from(self.links.send(voter, frame.clone()));
        }
    }
}

/// Runs as long as the process lives.
pub async fn run(
    asker: Asker,
    links: Links,
    own: Option<Door>,
    desk: ControlHandle,
    Mailbox(mut mailbox): Mailbox,
    mut news: mpsc::Receiver<Frame>,
) {
    let zone = asker.me.config.zone.clone();
    let name = format!("probes/{zone}");
    let clock = asker.me.clock;
    // What this process's own voter is given to pass on.
    let mut passed = own.as_ref().map(Door::passed);
    let random = oorandom::Rand64::new(u128::from(crate::fleet::local_process::draw()));
    let mut acts = Acts { asker, links, own, random, probe: Vec::new(), answer: Vec::new() };
    let (mut watch, mut lease, mut lately) = (ProbeCoordinator::default(), None::<Lease>, VecDeque::new());
    let mut tick = interval(TICK);
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        let frame = tokio::select! {
            event = mailbox.recv() => match event {
                Some(Event::Wanted(uid)) => {
                    watch.outcome_wanted(clock.now(), &uid, &mut acts);
                    None
                }
                Some(Event::Probed(uid, answered)) => {
                    watch.probe_finished(clock.now(), &uid, answered, &mut acts);
                    None
                }
                None => return,
            },
            Some(frame) = news.recv() => Some(frame),
            Some(frame) = next(&mut passed) => Some(frame),
            _ = tick.tick() => {
                let held = lease.as_ref().and_then(|lease| *lease.held.borrow());
                // A lease that can't outlast a probe is none: the next holder may probe already.
                let held =
                    held.filter(|held| clock.now() + crate::control::PROBE_TIMEOUT.as_nanos() as u64 <= held.valid_until);
                watch.set_lease_token(held.map(|held| held.token));
                watch.tick(clock.now(), &mut acts);
                // Nobody probes while nothing is down, and nobody keeps a lease for it.
                match (&mut lease, watch.lease_needed()) {
                    (None, true) => lease = Some(Lease::want(acts.asker.clone(), &name, LEASE)),
                    (Some(held), false) => {
                        held.give_back().await;
                        lease = None;
                    }
                    _ => {}
                }
                None
            }
        };
        match frame {
            Some(Frame::News(news)) if news.zone == zone && !lately.contains(&(news.token, news.number)) => {
                lately.push_back((news.token, news.number));
                while lately.len() > LATELY {
                    lately.pop_front();
                }
                watch.outcome_received(clock.now(), news.token, &news.node, news.answered, &mut acts);
            }
            Some(Frame::Wanted(of, node)) if of == zone => watch.probe_requested(clock.now(), &node),
            _ => {}
        }
        for uid in acts.probe.drain(..) {
            desk.probe(uid).await;
        }
        for (uid, answered) in acts.answer.drain(..) {
            desk.probe_result(uid, answered).await;
        }
    }
}

async fn next(passed: &mut Option<broadcast::Receiver<Frame>>) -> Option<Frame> {
    match passed {
        Some(passed) => loop {
            match passed.recv().await {
                Ok(frame) => return Some(frame),
                // Some are lost where there are too many; the next come.
                Err(broadcast::error::RecvError::Lagged(_)) => {}
                Err(broadcast::error::RecvError::Closed) => return std::future::pending().await,
            }
        },
        None => std::future::pending().await,
    }
}
