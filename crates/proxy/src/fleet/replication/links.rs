//! Replication's links: peers that are dialled, peers and commands that call. Each is a task with a small mailbox; one that
//! does not read, or says nothing, ends, and nobody waits for it.

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

/// What waits for a peer: a part, its answer, summaries. One whose mailbox is full does not read.
const MAILBOX: usize = 32;
/// Answers that wait for a command.
const ANSWERS: usize = 16;
/// Links that are taken at a time, commands included.
const MOST_TAKEN: usize = 128;

/// Accepts as long as the process lives.
pub async fn accept(
    me: LocalProcess,
    config: Arc<ReplicationConfig>,
    handle: Handle,
    maintenance: Maintenance,
    at: SocketAddr,
) {
    let key = "fleet.replication.listen";
    let acceptor = Acceptor {
        log_prefix: "replication",
        config_key: key,
        peer_kind: "peers",
        address: at,
        max_links: MOST_TAKEN,
    };
    let serve = |stream, _| {
        let (me, config) = (me.clone(), config.clone());
        let (handle, maintenance) = (handle.clone(), maintenance.clone());
        async move {
            if let Err(error) = serve(&me, &config, &handle, &maintenance, stream).await {
                tracing::info!("replication: a link ends: {error:#}");
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
        "{name} speaks links up to {}, not {MIN_REPLICATION_VERSION}",
        link.version()
    );
    if other.role == Role::Command {
        // Commands come and go.
        if let Err(error) = command(handle, maintenance, link).await {
            tracing::debug!("replication: {name}: {error:#}");
        }
        return Ok(());
    }
    ensure!(name != me.id.name, "{name} calls itself: two processes of one name, or a copied configuration");
    ensure!(config.peers.contains_key(&name), "{name} is not among fleet.replication.peers");
    talk(handle, link, &name, false).await.with_context(|| format!("peer {name}"))
}

/// Dials a peer; that it came to nothing is said too.
pub fn dial(me: &LocalProcess, config: &ReplicationConfig, handle: &Handle, peer: &str) {
    let (me, handle, peer) = (me.clone(), handle.clone(), peer.to_string());
    let at = config.peers.get(&peer).copied();
    tokio::spawn(async move {
        match dialled(&me, &peer, at).await {
            Ok(link) => {
                if let Err(error) = talk(&handle, link, &peer, true).await {
                    tracing::info!("replication: link to {peer} lost: {error:#}");
                }
            }
            Err(error) => {
                tracing::debug!("replication: no link to {peer}: {error:#}");
                handle.say(Event::DialFailed).await;
            }
        }
    });
}

async fn dialled(me: &LocalProcess, peer: &str, at: Option<SocketAddr>) -> Result<Link> {
    let at = at.context("fleet.replication.peers has no such process")?;
    let (link, other) = Link::connect(at, &hello(me)).await?;
    ensure!(other.id.name == peer, "at {at} is {}", other.id);
    link.ensure_version(MIN_REPLICATION_VERSION)?;
    Ok(link)
}

/// Carries what both ends say, until one ends it.
async fn talk(handle: &Handle, mut link: Link, peer: &str, dialled: bool) -> Result<()> {
    let (mailbox, mut to_send) = mpsc::channel(MAILBOX);
    let number = handle.new_link();
    handle.say(Event::LinkUp { link: number, peer: peer.into(), dialled, mailbox }).await;
    let ended = pass_on(handle, &mut link, number, &mut to_send).await;
    handle.say(Event::LinkDown { link: number }).await;
    ended
}

async fn pass_on(
    handle: &Handle,
    link: &mut Link,
    number: LinkId,
    to_send: &mut mpsc::Receiver<Message>,
) -> Result<()> {
    let said = |message| Frame::Replication(Box::new(message));
    while let Some(frame) = link.next_while_sending(to_send, said).await? {
        if let Frame::Replication(message) = frame {
            handle.say(Event::Heard { link: number, message: *message }).await;
        }
    }
    Ok(())
}

/// What a command asks for.
async fn command(handle: &Handle, maintenance: &Maintenance, mut link: Link) -> Result<()> {
    let (answers, mut answered) = mpsc::channel(ANSWERS);
    while let Some(frame) = link.next_while_sending(&mut answered, |frame| frame).await? {
        match frame {
            Frame::ReplicationStatusRequest => {
                _ = handle.say(Event::Status { answer: answers.clone() }).await
            }
            Frame::MaintenanceOrder(call) => {
                let answer = ordered(maintenance, *call).await;
                link.send(&Frame::MaintenanceAnswer(Box::new(answer))).await?;
            }
            _ => {}
        }
    }
    Ok(())
}

/// A command's order goes the way of an operator's call at this proxy.
async fn ordered(maintenance: &Maintenance, call: MaintenanceOrder) -> MaintenanceAnswer {
    let MaintenanceOrder { node, out_of_service: out, lease: under } = call;
    match maintenance.set_service(node.clone(), out, under).await {
        MaintenanceResult::Replicated(stamp) => MaintenanceAnswer::Applied(stamp),
        other => MaintenanceAnswer::Refused(other.message(&node, out)),
    }
}
