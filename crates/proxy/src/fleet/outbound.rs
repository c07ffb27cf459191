//! The links of a process to the voters. They reconnect after random delays, send heartbeats twice a second,
//! and end when the peer sends nothing or does not read. A frame for a full mailbox is dropped, so that
//! nothing waits for a slow voter.

use crate::fleet::local_process::{LocalProcess, random_id};
use crate::fleet::voter_handle::{VoterEvent, VoterHandle};
use crate::fleet::wire::{Frame, HEARTBEAT_INTERVAL, Hello, Link, Role};
use anyhow::Result;
use pumicebay_accord::{Answer, Name};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;
use tokio::time::{MissedTickBehavior, interval, sleep};

/// The number of frames that wait to be sent on a link.
const MAILBOX_CAPACITY: usize = 256;
/// The number of received answers, and of received probe frames, that wait to be handled.
const RECEIVE_CAPACITY: usize = 256;
/// The initial and the maximum upper bound of the reconnect delay. The actual delay is random, from 0 to the
/// bound.
const MIN_RECONNECT_DELAY: Duration = Duration::from_millis(100);
const MAX_RECONNECT_DELAY: Duration = Duration::from_secs(3);

/// A handle of the task that runs a link.
#[derive(Clone)]
struct LinkHandle {
    frames: mpsc::Sender<Frame>,
    up: watch::Receiver<bool>,
}

/// The links to all voters and spares other than this process.
#[derive(Clone, Default)]
pub struct VoterLinks(std::sync::Arc<BTreeMap<Name, LinkHandle>>);

impl VoterLinks {
    /// Queues a frame for a voter. Returns false if the link is down or its mailbox is full. A queued frame
    /// can still be lost.
    pub fn send(&self, voter: &str, frame: Frame) -> bool {
        let up = self.0.get(voter).filter(|link| *link.up.borrow());
        up.is_some_and(|link| link.frames.try_send(frame).is_ok())
    }

    /// The names of the voters whose links are up, in order. All clients start with the same voter, so that
    /// voters seldom propose concurrently.
    pub fn connected(&self) -> impl Iterator<Item = &Name> {
        self.0.iter().filter(|(_, link)| *link.up.borrow()).map(|(name, _)| name)
    }
}

/// Starts a link to each voter and spare. Returns the links and the receivers of answers and of probe frames.
/// Hellos and heartbeats go to `own_voter`, the voter of this process, if it has one.
pub fn start(
    local: &LocalProcess,
    role: Role,
    own_voter: Option<&VoterHandle>,
    actors: &mut JoinSet<()>,
) -> (VoterLinks, mpsc::Receiver<Answer>, mpsc::Receiver<Frame>) {
    let ((answer_sender, answers), (probe_frame_sender, probe_frames)) =
        (mpsc::channel(RECEIVE_CAPACITY), mpsc::channel(RECEIVE_CAPACITY));
    let mut links = BTreeMap::new();
    for (name, address) in local.config.potential_voters().filter(|(name, _)| **name != local.id.name) {
        let (frames, mailbox) = mpsc::channel(MAILBOX_CAPACITY);
        let (up_sender, up) = watch::channel(false);
        links.insert(name.clone(), LinkHandle { frames, up });
        let (answer_sender, probe_frame_sender) = (answer_sender.clone(), probe_frame_sender.clone());
        let dialer = Dialer {
            local: local.clone(),
            role,
            address,
            name: name.clone(),
            own_voter: own_voter.cloned(),
            answer_sender,
            probe_frame_sender,
        };
        actors.spawn(dialer.run(mailbox, up_sender));
    }
    (VoterLinks(links.into()), answers, probe_frames)
}

/// The task that keeps one link.
struct Dialer {
    local: LocalProcess,
    role: Role,
    name: Name,
    address: SocketAddr,
    own_voter: Option<VoterHandle>,
    answer_sender: mpsc::Sender<Answer>,
    probe_frame_sender: mpsc::Sender<Frame>,
}

impl Dialer {
    /// Connects and reconnects until the mailbox is closed.
    async fn run(self, mut mailbox: mpsc::Receiver<Frame>, up: watch::Sender<bool>) {
        let mut random = oorandom::Rand64::new(u128::from(random_id()));
        let mut max_delay = MIN_RECONNECT_DELAY;
        loop {
            let result = self.run_link(&mut mailbox, &up).await;
            let was_up = up.send_replace(false);
            match result {
                Ok(()) => return,
                Err(error) if was_up => tracing::info!("fleet: link to {} lost: {error:#}", self.name),
                // The first failure in a row is a warning; further ones are logged at debug level.
                Err(error) if max_delay == MIN_RECONNECT_DELAY => {
                    tracing::warn!("fleet: no link to {}: {error:#}", self.name)
                }
                Err(error) => tracing::debug!("fleet: no link to {}: {error:#}", self.name),
            }
            // The queued frames were meant for the link that ended.
            while mailbox.try_recv().is_ok() {}
            max_delay = if was_up { MIN_RECONNECT_DELAY } else { MAX_RECONNECT_DELAY.min(max_delay * 2) };
            // Processes that lost the same voter at the same time must not all reconnect at the same time.
            sleep(max_delay.mul_f64(random.rand_float())).await;
        }
    }

    fn disk_summary(&self) -> Option<crate::fleet::wire::DiskSummary> {
        self.own_voter.as_ref().and_then(VoterHandle::disk_summary)
    }

    /// Runs one connection. Returns `Ok` when the mailbox is closed, and an error when the link fails.
    async fn run_link(&self, mailbox: &mut mpsc::Receiver<Frame>, up: &watch::Sender<bool>) -> Result<()> {
        let hello = Hello::new(&self.local.config.name, &self.local.id, self.role, self.disk_summary());
        let (mut link, peer_hello) = Link::connect(self.address, &hello).await?;
        let peer = peer_hello.id.clone();
        self.peer_heard(&peer, peer_hello.voter);
        up.send_replace(true);
        tracing::info!("fleet: link to {peer} is up");
        let mut heartbeat = interval(HEARTBEAT_INTERVAL);
        heartbeat.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                frame = mailbox.recv() => match frame {
                    Some(frame) => link.send(&frame).await?,
                    None => {
                        link.send(&Frame::Bye).await?;
                        return Ok(());
                    }
                },
                frame = link.next() => match frame? {
                    Frame::Heartbeat(disk) => self.peer_heard(&peer, disk),
                    Frame::Answer(answer) => _ = self.answer_sender.try_send(answer),
                    frame @ (Frame::ProbeOutcome(_) | Frame::ProbeRequest(..)) => _ = self.probe_frame_sender.try_send(frame),
                    _ => {}
                },
                _ = heartbeat.tick() => link.send(&Frame::Heartbeat(self.disk_summary())).await?,
            }
        }
    }

    /// Reports a hello or heartbeat of the peer to this process's own voter.
    fn peer_heard(&self, peer: &pumicebay_accord::ProcessId, disk: Option<crate::fleet::wire::DiskSummary>) {
        if let Some(own_voter) = &self.own_voter {
            own_voter.try_send(VoterEvent::PeerHeard(peer.clone(), Role::Proxy, disk));
        }
    }
}
