//! The links that a process keeps to the voters: dialled again after times by chance, beaten twice a second, and ended when
//! they are silent or do not read. A full mailbox loses its frame: nobody waits for a slow voter.

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

const MAILBOX_CAPACITY: usize = 256;
const RECEIVE_CAPACITY: usize = 256;
/// The first and the longest time until a link is dialled again; the actual one is by chance up to it.
const MIN_RECONNECT_DELAY: Duration = Duration::from_millis(100);
const MAX_RECONNECT_DELAY: Duration = Duration::from_secs(3);

/// One link as the rest of the process sees it.
#[derive(Clone)]
struct LinkHandle {
    frames: mpsc::Sender<Frame>,
    up: watch::Receiver<bool>,
}

/// The links to all that may vote but oneself.
#[derive(Clone, Default)]
pub struct VoterLinks(std::sync::Arc<BTreeMap<Name, LinkHandle>>);

impl VoterLinks {
    /// Whether it was taken on; it may be lost all the same.
    pub fn send(&self, voter: &str, frame: Frame) -> bool {
        let up = self.0.get(voter).filter(|link| *link.up.borrow());
        up.is_some_and(|link| link.frames.try_send(frame).is_ok())
    }

    /// Those whose links are up, in the order of their names: all askers begin with the same, so that voters seldom
    /// collide.
    pub fn connected(&self) -> impl Iterator<Item = &Name> {
        self.0.iter().filter(|(_, link)| *link.up.borrow()).map(|(name, _)| name)
    }
}

/// Starts a link to each that may vote. Answers come by the channel; what voters say of themselves goes to this
/// process's own voter, where it has one.
pub fn start(
    local: &LocalProcess,
    role: Role,
    own_voter: Option<&VoterHandle>,
    actors: &mut JoinSet<()>,
) -> (VoterLinks, mpsc::Receiver<Answer>, mpsc::Receiver<Frame>) {
    let ((answers, answered), (probe_frames, received_probe_frames)) =
        (mpsc::channel(RECEIVE_CAPACITY), mpsc::channel(RECEIVE_CAPACITY));
    let mut links = BTreeMap::new();
    for (name, address) in local.config.potential_voters().filter(|(name, _)| **name != local.id.name) {
        let (frames, mailbox) = mpsc::channel(MAILBOX_CAPACITY);
        let (up_sender, up) = watch::channel(false);
        links.insert(name.clone(), LinkHandle { frames, up });
        let (answers, probe_frames) = (answers.clone(), probe_frames.clone());
        let dialer = Dialer {
            local: local.clone(),
            role,
            address,
            name: name.clone(),
            own_voter: own_voter.cloned(),
            answers,
            probe_frames,
        };
        actors.spawn(dialer.run(mailbox, up_sender));
    }
    (VoterLinks(links.into()), answered, received_probe_frames)
}

struct Dialer {
    local: LocalProcess,
    role: Role,
    name: Name,
    address: SocketAddr,
    own_voter: Option<VoterHandle>,
    answers: mpsc::Sender<Answer>,
    probe_frames: mpsc::Sender<Frame>,
}

impl Dialer {
    async fn run(self, mut mailbox: mpsc::Receiver<Frame>, up: watch::Sender<bool>) {
        let mut random = oorandom::Rand64::new(u128::from(random_id()));
        let mut max_delay = MIN_RECONNECT_DELAY;
        loop {
            let ended = self.run_link(&mut mailbox, &up).await;
            let was_up = up.send_replace(false);
            match ended {
                Ok(()) => return,
                Err(error) if was_up => tracing::info!("fleet: link to {} lost: {error:#}", self.name),
                // Said once, and again when it grows no more.
                Err(error) if max_delay == MIN_RECONNECT_DELAY => {
                    tracing::warn!("fleet: no link to {}: {error:#}", self.name)
                }
                Err(error) => tracing::debug!("fleet: no link to {}: {error:#}", self.name),
            }
            // What waited was for a link that is gone.
            while mailbox.try_recv().is_ok() {}
            max_delay = if was_up { MIN_RECONNECT_DELAY } else { MAX_RECONNECT_DELAY.min(max_delay * 2) };
            // Many that lost a voter at once must not come back to it at once.
            sleep(max_delay.mul_f64(random.rand_float())).await;
        }
    }

    fn disk_summary(&self) -> Option<crate::fleet::wire::DiskSummary> {
        self.own_voter.as_ref().and_then(VoterHandle::disk_summary)
    }

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
                    Frame::Answer(answer) => _ = self.answers.try_send(answer),
                    frame @ (Frame::ProbeOutcome(_) | Frame::ProbeRequest(..)) => _ = self.probe_frames.try_send(frame),
                    _ => {}
                },
                _ = heartbeat.tick() => link.send(&Frame::Heartbeat(self.disk_summary())).await?,
            }
        }
    }

    fn peer_heard(&self, peer: &pumicebay_accord::ProcessId, disk: Option<crate::fleet::wire::DiskSummary>) {
        if let Some(own_voter) = &self.own_voter {
            own_voter.try_send(VoterEvent::PeerHeard(peer.clone(), Role::Proxy, disk));
        }
    }
}
