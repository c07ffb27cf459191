//! Replication's links: peers that are dialled, peers and commands that call. Each is a task with a small mailbox; one that
//! does not read, or says nothing, ends, and nobody waits for it.

use crate::bans::{Maintenance, MaintenanceResult};
use crate::fleet::acceptor::Acceptor;
use crate::fleet::local_process::Me;
use crate::fleet::replication::config::ReplicationConfig;
use crate::fleet::replication::handle::{Event, Handle};
use crate::fleet::wire::{Frame, Hello, Link, OrderAnswer, OrderCall, REPLICATION, Role};
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
    me: Me,
    config: Arc<ReplicationConfig>,
    handle: Handle,
    maintenance: Maintenance,
    at: SocketAddr,
) {
    let key = "fleet.replication.listen";
    let acceptor = Acceptor { part: "replication", key, callers: "peers", at, most: MOST_TAKEN };
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

fn hello(me: &Me) -> Hello {
    Hello::new(&me.config.name, &me.who, Role::Proxy, None)
}

async fn serve(
    me: &Me,
    config: &ReplicationConfig,
    handle: &Handle,
    maintenance: &Maintenance,
    stream: TcpStream,
) -> Result<()> {
    let (link, other) = Link::take(stream, async || hello(me)).await?;
    let name = other.who.name.clone();
    ensure!(link.speaks() >= REPLICATION, "{name} speaks links up to {}, not {REPLICATION}", link.speaks());
    if other.role == Role::Command {
        // Commands come and go.
        if let Err(error) = command(handle, maintenance, link).await {
            tracing::debug!("replication: {name}: {error:#}");
        }
        return Ok(());
    }
    ensure!(name != me.who.name, "{name} calls itself: two processes of one name, or a copied configuration");
    ensure!(config.peers.contains_key(&name), "{name} is not among fleet.replication.peers");
    talk(handle, link, &name, false).await.with_context(|| format!("peer {name}"))
}

/// Dials a peer; that it came to nothing is said too.
pub fn dial(me: &Me, config: &ReplicationConfig, handle: &Handle, peer: &str) {
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

async fn dialled(me: &Me, peer: &str, at: Option<SocketAddr>) -> Result<Link> {
    let at = at.context("fleet.replication.peers has no such process")?;
    let (link, other) = Link::connect(at, &hello(me)).await?;
    ensure!(other.who.name == peer, "at {at} is {}", other.who);
    link.ensure_speaks(REPLICATION)?;
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
    let said = |message| Frame::Replicate(Box::new(message));
    while let Some(frame) = link.hear(to_send, said).await? {
        if let Frame::Replicate(message) = frame {
            handle.say(Event::Heard { link: number, message: *message }).await;
        }
    }
    Ok(())
}

/// What a command asks for.
async fn command(handle: &Handle, maintenance: &Maintenance, mut link: Link) -> Result<()> {
    let (answers, mut answered) = mpsc::channel(ANSWERS);
    while let Some(frame) = link.hear(&mut answered, |frame| frame).await? {
        match frame {
            Frame::Replication => _ = handle.say(Event::Status { answer: answers.clone() }).await,
            Frame::Order(call) => {
                let answer = ordered(maintenance, *call).await;
                link.send(&Frame::Ordered(Box::new(answer))).await?;
            }
            _ => {}
        }
    }
    Ok(())
}

/// A command's order goes the way of an operator's call at this proxy.
async fn ordered(maintenance: &Maintenance, call: OrderCall) -> OrderAnswer {
    let OrderCall { node, out, under } = call;
    match maintenance.set_service(node.clone(), out, under).await {
        MaintenanceResult::Replicated(stamp) => OrderAnswer::Given(stamp),
        other => OrderAnswer::Refused(other.message(&node, out)),
    }
}
