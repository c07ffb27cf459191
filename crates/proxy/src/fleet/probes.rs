//! Shared probes of nodes that are down. One process of each zone, the holder of a lease, probes for all
//! processes of the zone. This actor connects the dispatcher, which wants the outcomes, with the fleet.
//! `pumicebay_accord::ProbeCoordinator` makes the decisions.

use crate::control::ControlHandle;
use crate::fleet::lease::LeaseHandle;
use crate::fleet::outbound::VoterLinks;
use crate::fleet::probe_handle::{ProbeEvent, ProbeMailbox};
use crate::fleet::voter_client::VoterClient;
use crate::fleet::voter_handle::VoterHandle;
use crate::fleet::wire::{Frame, ProbeOutcome};
use pumicebay_accord::{Name, ProbeCoordinator, ProbeHost, Token};
use std::collections::VecDeque;
use std::time::Duration;
use tokio::sync::{broadcast, mpsc};
use tokio::time::{MissedTickBehavior, interval};

/// How often the coordinator is ticked and the lease is checked.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// The duration of the lease on a zone's probes.
const LEASE_DURATION: Duration = Duration::from_secs(6);
/// The number of voters to which a frame is sent. Each voter passes it on to all processes; with more than
/// one voter, the frame arrives even if one of them is cut off.
const MAX_RELAYING_VOTERS: usize = 2;
/// How many received outcomes are remembered to drop duplicates.
const MAX_RECENT_OUTCOMES: usize = 64;

/// The actions that the coordinator requests. Probes and outcomes are collected and carried out after each
/// event.
struct ProbeActions {
    voters: VoterClient,
    links: VoterLinks,
    own_voter: Option<VoterHandle>,
    random: oorandom::Rand64,
    to_probe: Vec<Name>,
    outcomes: Vec<(Name, bool)>,
}

impl ProbeHost for ProbeActions {
    fn probe(&mut self, node: &str) {
        self.to_probe.push(node.into());
    }
    fn deliver_outcome(&mut self, node: &str, answered: bool) {
        self.outcomes.push((node.into(), answered));
    }
    fn publish_outcome(&mut self, token: Token, node: &str, answered: bool) {
        let (zone, number) = (self.voters.local.config.zone.clone(), self.voters.next_number());
        self.send_to_voters(&Frame::ProbeOutcome(ProbeOutcome {
            zone,
            token,
            number,
            node: node.into(),
            answered,
        }));
    }
    fn request_probe(&mut self, node: &str) {
        self.send_to_voters(&Frame::ProbeRequest(self.voters.local.config.zone.clone(), node.into()));
    }
    fn random(&mut self) -> f64 {
        self.random.rand_float()
    }
}

impl ProbeActions {
    /// Sends a frame to up to `MAX_RELAYING_VOTERS` voters, which pass it on to all processes.
    fn send_to_voters(&self, frame: &Frame) {
        let mut sent = 0;
        if let Some(own_voter) = &self.own_voter {
            own_voter.broadcast(frame.clone());
            sent += 1;
        }
        for voter in self.links.connected() {
            if sent == MAX_RELAYING_VOTERS {
                return;
            }
            sent += usize::from(self.links.send(voter, frame.clone()));
        }
    }
}

/// Runs the probe actor until the dispatcher drops its handle. `probe_frames` are the frames that other
/// voters pass on.
pub async fn run(
    voters: VoterClient,
    links: VoterLinks,
    own_voter: Option<VoterHandle>,
    control: ControlHandle,
    ProbeMailbox(mut mailbox): ProbeMailbox,
    mut probe_frames: mpsc::Receiver<Frame>,
) {
    let zone = voters.local.config.zone.clone();
    let name = format!("probes/{zone}");
    let clock = voters.local.clock;
    // Frames that this process's own voter passes on.
    let mut broadcasts = own_voter.as_ref().map(VoterHandle::subscribe);
    let random = oorandom::Rand64::new(u128::from(crate::fleet::local_process::random_id()));
    let mut actions =
        ProbeActions { voters, links, own_voter, random, to_probe: Vec::new(), outcomes: Vec::new() };
    let (mut coordinator, mut lease, mut recent) =
        (ProbeCoordinator::default(), None::<LeaseHandle>, VecDeque::new());
    let mut tick = interval(TICK_INTERVAL);
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        let frame = tokio::select! {
            event = mailbox.recv() => match event {
                Some(ProbeEvent::OutcomeWanted(uid)) => {
                    coordinator.outcome_wanted(clock.now(), &uid, &mut actions);
                    None
                }
                Some(ProbeEvent::ProbeFinished(uid, answered)) => {
                    coordinator.probe_finished(clock.now(), &uid, answered, &mut actions);
                    None
                }
                None => return,
            },
            Some(frame) = probe_frames.recv() => Some(frame),
            Some(frame) = next_broadcast(&mut broadcasts) => Some(frame),
            _ = tick.tick() => {
                let held = lease.as_ref().and_then(|lease| *lease.held.borrow());
                // A lease that can expire during a probe does not count: the next holder might already be
                // probing.
                let held =
                    held.filter(|held| clock.now() + crate::control::PROBE_TIMEOUT.as_nanos() as u64 <= held.valid_until);
                coordinator.set_lease_token(held.map(|held| held.token));
                coordinator.tick(clock.now(), &mut actions);
                // The lease is held only while a node is down.
                match (&mut lease, coordinator.lease_needed()) {
                    (None, true) => lease = Some(LeaseHandle::acquire(actions.voters.clone(), &name, LEASE_DURATION)),
                    (Some(held), false) => {
                        held.release().await;
                        lease = None;
                    }
                    _ => {}
                }
                None
            }
        };
        match frame {
            Some(Frame::ProbeOutcome(outcome))
                if outcome.zone == zone && !recent.contains(&(outcome.token, outcome.number)) =>
            {
                recent.push_back((outcome.token, outcome.number));
                while recent.len() > MAX_RECENT_OUTCOMES {
                    recent.pop_front();
                }
                coordinator.outcome_received(
                    clock.now(),
                    outcome.token,
                    &outcome.node,
                    outcome.answered,
                    &mut actions,
                );
            }
            Some(Frame::ProbeRequest(probe_zone, node)) if probe_zone == zone => {
                coordinator.probe_requested(clock.now(), &node)
            }
            _ => {}
        }
        for uid in actions.to_probe.drain(..) {
            control.probe(uid).await;
        }
        for (uid, answered) in actions.outcomes.drain(..) {
            control.probe_result(uid, answered).await;
        }
    }
}

/// The next frame that this process's own voter passes on; waits forever if there is no voter.
async fn next_broadcast(broadcasts: &mut Option<broadcast::Receiver<Frame>>) -> Option<Frame> {
    match broadcasts {
        Some(broadcasts) => loop {
            match broadcasts.recv().await {
                Ok(frame) => return Some(frame),
                // Frames were dropped because too many waited; continue with the next one.
                Err(broadcast::error::RecvError::Lagged(_)) => {}
                Err(broadcast::error::RecvError::Closed) => return std::future::pending().await,
            }
        },
        None => std::future::pending().await,
    }
}
