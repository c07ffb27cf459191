//! Replication's links: peers that are dialled, peers and commands that call. Each is a task with a small mailbox; one that
//! does not read, or says nothing, ends, and nobody waits for it.

use crate::bans::{Maintenance, MaintenanceResult};
use crate::fleet::accept::Acceptor;
use crate::fleet::me::Me;
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
const PEER_QUEUE_CAPACITY: usize = 32;
/// Answers that wait for a command.
const COMMAND_QUEUE_CAPACITY: usize = 16;
/// Links that are taken at a time, commands included.
const MAX_INCOMING_LINKS: usize = 128;

/// Accepts as long as the process lives.
pub async fn accept(
    me: Me,
    config: Arc<ReplicationConfig>,
    handle: Handle,
    maintenance: Maintenance,
    address: SocketAddr,
) {
    let key = "fleet.replication.listen";
    let acceptor =
        Acceptor { part: "replication", key, callers: "peers", at: address, most: MAX_INCOMING_LINKS };
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
        if let Err(error) = run_command_link(handle, maintenance, link).await {
            tracing::debug!("replication: {name}: {error:#}");
        }
        return Ok(());
    }
    ensure!(name != me.who.name, "{name} calls itself: two processes of one name, or a copied configuration");
    ensure!(config.peers.contains_key(&name), "{name} is not among fleet.replication.peers");
    run_link(handle, link, &name, false).await.with_context(|| format!("peer {name}"))
}

/// Dials a peer; that it came to nothing is said too.
pub fn dial(me: &Me, config: &ReplicationConfig, handle: &Handle, peer: &str) {
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
                tracing::debug!("replication: no link to {peer}: {error:#}");
                handle.send(Event::DialFailed).await;
            }
        }
    });
}

async fn connect(me: &Me, peer: &str, address: Option<SocketAddr>) -> Result<Link> {
    let address = address.context("fleet.replication.peers has no such process")?;
    let (link, other) = Link::connect(address, &hello(me)).await?;
    ensure!(other.who.name == peer, "at {address} is {}", other.who);
    link.ensure_speaks(REPLICATION)?;
    Ok(link)
}

/// Carries what both ends say, until one ends it.
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
    let to_frame = |message| Frame::Replicate(Box::new(message));
    while let Some(frame) = link.hear(to_send, to_frame).await? {
        if let Frame::Replicate(message) = frame {
            handle.send(Event::MessageReceived { link: link_id, message: *message }).await;
        }
    }
    Ok(())
}

/// What a command asks for.
async fn run_command_link(handle: &Handle, maintenance: &Maintenance, mut link: Link) -> Result<()> {
    let (answers, mut answered) = mpsc::channel(COMMAND_QUEUE_CAPACITY);
    while let Some(frame) = link.hear(&mut answered, |frame| frame).await? {
        match frame {
            Frame::Replication => _ = handle.send(Event::StatusFrame { answer: answers.clone() }).await,
            Frame::Order(call) => {
                let answer = issue_order(maintenance, *call).await;
                link.send(&Frame::Ordered(Box::new(answer))).await?;
            }
            _ => {}
        }
    }
    Ok(())
}

/// A command's order goes the way of an operator's call at this proxy.
async fn issue_order(maintenance: &Maintenance, call: OrderCall) -> OrderAnswer {
    let OrderCall { node, out, under } = call;
    match maintenance.set_service(node.clone(), out, under).await {
        MaintenanceResult::Replicated(stamp) => OrderAnswer::Given(stamp),
        other => OrderAnswer::Refused(other.message(&node, out)),
    }
}
