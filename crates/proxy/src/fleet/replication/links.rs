//! Replication's links: outgoing ones to peers, and incoming ones from peers and commands. Each link is a
//! task with a small queue. A link whose other end does not read or stays silent is closed, so nothing waits
//! for it.

use crate::bans::{Maintenance, MaintenanceResult};
use crate::fleet::acceptor::Acceptor;
use crate::fleet::local_process::LocalProcess;
use crate::fleet::replication::config::ReplicationConfig;
use crate::fleet::replication::handle::{Event, Handle};
use crate::fleet::wire::{
    Frame, Hello, Link, MIN_REPLICATION_VERSION, MaintenanceAnswer, MaintenanceOrder, Role,
};
use anyhow::{Context, Result, ensure};
use pumicebay_replication::{LinkId, Message};
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::net::TcpStream;
use tokio::sync::mpsc;

/// The queue of messages to a peer has room for a part of a transfer, an acknowledgement and some summaries.
/// A peer whose queue is full does not read its messages.
const PEER_QUEUE_CAPACITY: usize = 32;
/// The maximum number of answers that wait to be sent to a command.
const COMMAND_QUEUE_CAPACITY: usize = 16;
/// The maximum number of incoming links at a time, including those of commands.
const MAX_INCOMING_LINKS: usize = 128;

/// Accepts links at this address until the process ends.
pub async fn accept(
    me: LocalProcess,
    config: Arc<ReplicationConfig>,
    handle: Handle,
    maintenance: Maintenance,
    address: SocketAddr,
) {
    let key = "fleet.replication.listen";
    let acceptor = Acceptor {
        log_prefix: "replication",
        config_key: key,
        peer_kind: "peers",
        address,
        max_links: MAX_INCOMING_LINKS,
    };
    let serve = |stream, _| {
        let (me, config) = (me.clone(), config.clone());
        let (handle, maintenance) = (handle.clone(), maintenance.clone());
        async move {
            if let Err(error) = serve(&me, &config, &handle, &maintenance, stream).await {
                tracing::info!("replication: incoming link ended: {error:#}");
            }
        }
    };
    acceptor.run(serve).await;
}

fn hello(me: &LocalProcess) -> Hello {
    Hello::new(&me.config.name, &me.id, Role::Proxy, None)
}

async fn serve(
    me: &LocalProcess,
    config: &ReplicationConfig,
    handle: &Handle,
    maintenance: &Maintenance,
    stream: TcpStream,
) -> Result<()> {
    let (link, other) = Link::accept(stream, async || hello(me)).await?;
    let name = other.id.name.clone();
    ensure!(
        link.version() >= MIN_REPLICATION_VERSION,
        "{name} supports link versions up to {}, version {MIN_REPLICATION_VERSION} is required",
        link.version()
    );
    if other.role == Role::Command {
        // Commands are short-lived; the end of their links is logged at debug level only.
        if let Err(error) = run_command_link(handle, maintenance, link).await {
            tracing::debug!("replication: {name}: {error:#}");
        }
        return Ok(());
    }
    ensure!(
        name != me.id.name,
        "{name} connects to itself: two processes have the same name, or a configuration was copied"
    );
    ensure!(config.peers.contains_key(&name), "{name} is not listed in fleet.replication.peers");
    run_link(handle, link, &name, false).await.with_context(|| format!("peer {name}"))
}

/// Connects to a peer in a task of its own; a failure is reported to the actor too.
pub fn dial(me: &LocalProcess, config: &ReplicationConfig, handle: &Handle, peer: &str) {
    let (me, handle, peer) = (me.clone(), handle.clone(), peer.to_string());
    let address = config.peers.get(&peer).copied();
    tokio::spawn(async move {
        match connect(&me, &peer, address).await {
            Ok(link) => {
                if let Err(error) = run_link(&handle, link, &peer, true).await {
                    tracing::info!("replication: link to {peer} lost: {error:#}");
                }
            }
            Err(error) => {
                tracing::debug!("replication: cannot connect to {peer}: {error:#}");
                handle.send(Event::DialFailed).await;
            }
        }
    });
}

async fn connect(me: &LocalProcess, peer: &str, address: Option<SocketAddr>) -> Result<Link> {
    let address = address.context("fleet.replication.peers lists no process of this name")?;
    let (link, other) = Link::connect(address, &hello(me)).await?;
    ensure!(other.id.name == peer, "{address} belongs to {}", other.id);
    link.ensure_version(MIN_REPLICATION_VERSION)?;
    Ok(link)
}

/// Runs a link until one end closes it, and reports its start and end to the actor.
async fn run_link(handle: &Handle, mut link: Link, peer: &str, dialled: bool) -> Result<()> {
    let (mailbox, mut to_send) = mpsc::channel(PEER_QUEUE_CAPACITY);
    let link_id = handle.next_link_id();
    handle.send(Event::LinkUp { link: link_id, peer: peer.into(), dialled, mailbox }).await;
    let ended = forward_messages(handle, &mut link, link_id, &mut to_send).await;
    handle.send(Event::LinkDown { link: link_id }).await;
    ended
}

async fn forward_messages(
    handle: &Handle,
    link: &mut Link,
    link_id: LinkId,
    to_send: &mut mpsc::Receiver<Message>,
) -> Result<()> {
    let to_frame = |message| Frame::Replication(Box::new(message));
    while let Some(frame) = link.next_while_sending(to_send, to_frame).await? {
        if let Frame::Replication(message) = frame {
            handle.send(Event::MessageReceived { link: link_id, message: *message }).await;
        }
    }
    Ok(())
}

/// Answers the requests of a command.
async fn run_command_link(handle: &Handle, maintenance: &Maintenance, mut link: Link) -> Result<()> {
    let (answer_sender, mut answer_queue) = mpsc::channel(COMMAND_QUEUE_CAPACITY);
    while let Some(frame) = link.next_while_sending(&mut answer_queue, |frame| frame).await? {
        match frame {
            Frame::ReplicationStatusRequest => {
                _ = handle.send(Event::StatusFrame { answer: answer_sender.clone() }).await
            }
            Frame::MaintenanceOrder(call) => {
                let answer = issue_order(maintenance, *call).await;
                link.send(&Frame::MaintenanceAnswer(Box::new(answer))).await?;
            }
            _ => {}
        }
    }
    Ok(())
}

/// Issues a command's order in the same way as an operator's call at this proxy.
async fn issue_order(maintenance: &Maintenance, call: MaintenanceOrder) -> MaintenanceAnswer {
    let MaintenanceOrder { node, out_of_service: out, lease: under } = call;
    match maintenance.set_service(node.clone(), out, under).await {
        MaintenanceResult::Replicated(stamp) => MaintenanceAnswer::Applied(stamp),
        other => MaintenanceAnswer::Refused(other.message(&node, out)),
    }
}
