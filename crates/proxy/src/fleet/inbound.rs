//! Incoming links of a voter, from other voters, proxies and commands. Each link is a task. A link ends if
//! the peer does not read or sends nothing.

use crate::fleet::acceptor::Acceptor;
use crate::fleet::local_process::LocalProcess;
use crate::fleet::voter_handle::{VoterEvent, VoterHandle};
use crate::fleet::wire::{Frame, HEARTBEAT_INTERVAL, Hello, Link, Role};
use anyhow::{Context, Result};
use std::net::SocketAddr;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::{MissedTickBehavior, interval};

/// The number of answers that wait to be sent on a link.
const ANSWER_CAPACITY: usize = 64;

/// Accepts and serves links for as long as the process runs.
pub async fn accept(local: LocalProcess, voter: VoterHandle, address: SocketAddr) {
    let max_links = local.config.max_links;
    let acceptor = Acceptor {
        log_prefix: "fleet",
        config_key: "fleet.listen",
        peer_kind: "voters, proxies and commands",
        address,
        max_links,
    };
    let serve = |stream, _| {
        let (local, voter) = (local.clone(), voter.clone());
        async move {
            if let Err(error) = serve(&local, &voter, stream).await {
                tracing::debug!("fleet: incoming link ended: {error:#}");
            }
        }
    };
    acceptor.run(serve).await;
}

/// Serves one connection, from the hello until the link ends.
async fn serve(local: &LocalProcess, voter: &VoterHandle, stream: TcpStream) -> Result<()> {
    let own_hello = async || Hello::new(&local.config.name, &local.id, Role::Proxy, voter.disk_summary());
    let (mut link, hello) = Link::accept(stream, own_hello).await?;
    let peer = hello.id.clone();
    voter.try_send(VoterEvent::PeerHeard(hello.id, hello.role, hello.voter));
    let result = serve_frames(voter, &mut link, &peer, hello.role).await;
    voter.try_send(VoterEvent::LinkLost(peer, result.is_ok()));
    result
}

/// Handles frames until the peer closes the link (`Ok`) or the link fails.
async fn serve_frames(
    voter: &VoterHandle,
    link: &mut Link,
    peer: &pumicebay_accord::ProcessId,
    role: Role,
) -> Result<()> {
    let (answer_sender, mut answers) = mpsc::channel(ANSWER_CAPACITY);
    let mut broadcasts = voter.subscribe();
    let mut heartbeat = interval(HEARTBEAT_INTERVAL);
    heartbeat.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            frame = link.next() => match frame? {
                Frame::Heartbeat(disk) => voter.try_send(VoterEvent::PeerHeard(peer.clone(), role, disk)),
                Frame::VoterMessage(to, from, message) => voter.try_send(VoterEvent::Message(to, from, message)),
                Frame::Submit(operation) => voter.try_send(VoterEvent::Submit(operation, answer_sender.clone())),
                Frame::Bootstrap(record) => {
                    let accepted = voter.query(|accepted| VoterEvent::Bootstrap(record, accepted)).await.unwrap_or(false);
                    link.send(&Frame::Accepted(accepted)).await?;
                }
                Frame::TrustDisk => {
                    let accepted = voter.query(VoterEvent::TrustDisk).await.unwrap_or(false);
                    link.send(&Frame::Accepted(accepted)).await?;
                }
                Frame::StatusRequest => {
                    let status = voter.query(VoterEvent::Status).await.context("the voter actor has ended")?;
                    link.send(&Frame::Status(Box::new(status))).await?;
                }
                frame @ (Frame::ProbeOutcome(_) | Frame::ProbeRequest(..)) => voter.broadcast(frame),
                Frame::Bye => return Ok(()),
                // Answers are not expected on incoming links. Frames of the carrier and of replication belong
                // on those parts' own addresses.
                Frame::Answer(_) | Frame::Accepted(_) | Frame::Status(_) => {}
                Frame::ToParent(_) | Frame::ToChild(_) | Frame::SubmitChanges(..) | Frame::ChangeOutcome(..) => {}
                Frame::CarrierStatusRequest | Frame::CarrierStatus(_) => {}
                Frame::Replication(_) | Frame::MaintenanceOrder(_) | Frame::MaintenanceAnswer(_) => {}
                Frame::ReplicationStatusRequest | Frame::ReplicationStatus(_) => {}
            },
            Some(answer) = answers.recv() => link.send(&answer).await?,
            frame = broadcasts.recv(), if role == Role::Proxy => if let Ok(frame) = frame {
                link.send(&frame).await?;
            },
            _ = heartbeat.tick() => link.send(&Frame::Heartbeat(voter.disk_summary())).await?,
        }
    }
}
