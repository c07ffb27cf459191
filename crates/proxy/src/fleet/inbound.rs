//! Who calls a voter: other voters, proxies, commands. Each link is a task; one that does not read, or says nothing, ends.

use crate::fleet::acceptor::Acceptor;
use crate::fleet::local_process::LocalProcess;
use crate::fleet::voter_handle::{VoterEvent, VoterHandle};
use crate::fleet::wire::{Frame, HEARTBEAT_INTERVAL, Hello, Link, Role};
use anyhow::{Context, Result};
use std::net::SocketAddr;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::{MissedTickBehavior, interval};

/// Answers that wait on a link.
const ANSWER_QUEUE: usize = 64;

/// Accepts as long as the process lives.
pub async fn accept(local: LocalProcess, voter: VoterHandle, address: SocketAddr) {
    let max_links = local.config.max_links;
    let acceptor = Acceptor {
        log_prefix: "fleet",
        config_key: "fleet.listen",
        peer_kind: "voters and askers",
        address,
        max_links,
    };
    let serve = |stream, _| {
        let (local, voter) = (local.clone(), voter.clone());
        async move {
            if let Err(error) = serve(&local, &voter, stream).await {
                tracing::debug!("fleet: a link ends: {error:#}");
            }
        }
    };
    acceptor.run(serve).await;
}

async fn serve(local: &LocalProcess, voter: &VoterHandle, stream: TcpStream) -> Result<()> {
    let own = async || Hello::new(&local.config.name, &local.id, Role::Proxy, voter.disk_summary());
    let (mut link, hello) = Link::accept(stream, own).await?;
    let peer = hello.id.clone();
    voter.try_send(VoterEvent::PeerHeard(hello.id, hello.role, hello.voter));
    let ended = serve_frames(voter, &mut link, &peer, hello.role).await;
    voter.try_send(VoterEvent::LinkLost(peer, ended.is_ok()));
    ended
}

async fn serve_frames(
    voter: &VoterHandle,
    link: &mut Link,
    peer: &pumicebay_accord::ProcessId,
    role: Role,
) -> Result<()> {
    let (answers, mut answered) = mpsc::channel(ANSWER_QUEUE);
    let mut broadcasts = voter.subscribe();
    let mut heartbeat = interval(HEARTBEAT_INTERVAL);
    heartbeat.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            frame = link.next() => match frame? {
                Frame::Heartbeat(disk) => voter.try_send(VoterEvent::PeerHeard(peer.clone(), role, disk)),
                Frame::VoterMessage(to, from, message) => voter.try_send(VoterEvent::Message(to, from, message)),
                Frame::Submit(operation) => voter.try_send(VoterEvent::Submit(operation, answers.clone())),
                Frame::Bootstrap(record) => {
                    let accepted = voter.query(|accepted| VoterEvent::Bootstrap(record, accepted)).await.unwrap_or(false);
                    link.send(&Frame::Accepted(accepted)).await?;
                }
                Frame::TrustDisk => {
                    let accepted = voter.query(VoterEvent::TrustDisk).await.unwrap_or(false);
                    link.send(&Frame::Accepted(accepted)).await?;
                }
                Frame::StatusRequest => {
                    let status = voter.query(VoterEvent::Status).await.context("the voter has ended")?;
                    link.send(&Frame::Status(Box::new(status))).await?;
                }
                frame @ (Frame::ProbeOutcome(_) | Frame::ProbeRequest(..)) => voter.broadcast(frame),
                Frame::Bye => return Ok(()),
                // Answers to nobody here, and what goes to the carrier's own address.
                Frame::Answer(_) | Frame::Accepted(_) | Frame::Status(_) => {}
                Frame::ToParent(_) | Frame::ToChild(_) | Frame::SubmitChanges(..) | Frame::ChangeOutcome(..) => {}
                Frame::CarrierStatusRequest | Frame::CarrierStatus(_) => {}
                Frame::Replication(_) | Frame::MaintenanceOrder(_) | Frame::MaintenanceAnswer(_) => {}
                Frame::ReplicationStatusRequest | Frame::ReplicationStatus(_) => {}
            },
            Some(answer) = answered.recv() => link.send(&answer).await?,
            frame = broadcasts.recv(), if role == Role::Proxy => if let Ok(frame) = frame {
                link.send(&frame).await?;
            },
            _ = heartbeat.tick() => link.send(&Frame::Heartbeat(voter.disk_summary())).await?,
        }
    }
}
