//! The carrier's links: children that call, the parent that is dialled, commands. Each is a task with a small mailbox; one
//! that does not read, or says nothing, ends, and nobody waits for it.

use crate::fleet::accept::Acceptor;
use crate::fleet::carrier::handle::{Event, Handle};
use crate::fleet::me::Me;
use crate::fleet::wire::{CARRIER, Frame, Hello, Link, Role};
use anyhow::{Context, Result, ensure};
use pumicebay_carrier::{ChildId, ChildMessage, ParentMessage};
use std::net::SocketAddr;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::AbortHandle;

/// What waits for a child: one part of a difference and some pulses. One whose mailbox is full does not read.
const CHILD_QUEUE_CAPACITY: usize = 8;
const PARENT_QUEUE_CAPACITY: usize = 16;
/// Answers that wait for a command.
const COMMAND_QUEUE_CAPACITY: usize = 16;
/// Links beyond those of proxies: other control machines, relays, those that are told that there is no room, commands.
const EXTRA_LINKS: usize = 256;

/// Accepts as long as the process lives.
pub async fn accept(me: Me, handle: Handle, address: SocketAddr, max_children: usize) {
    let max_links = max_children.saturating_add(EXTRA_LINKS);
    let acceptor = Acceptor {
        part: "carrier",
        key: "fleet.carrier.listen",
        callers: "children",
        at: address,
        most: max_links,
    };
    let serve = |stream, number| {
        let (me, handle) = (me.clone(), handle.clone());
        async move {
            if let Err(error) = serve(&me, &handle, stream, number).await {
                tracing::info!("carrier: a link ends: {error:#}");
            }
        }
    };
    acceptor.run(serve).await;
}

fn hello(me: &Me) -> Hello {
    Hello::new(&me.config.name, &me.who, Role::Proxy, None)
}

async fn serve(me: &Me, handle: &Handle, stream: TcpStream, number: ChildId) -> Result<()> {
    let (mut link, other) = Link::take(stream, async || hello(me)).await?;
    let name = other.who.to_string();
    ensure!(link.speaks() >= CARRIER, "{name} speaks links up to {}, not {CARRIER}", link.speaks());
    if other.role == Role::Command {
        // Commands come and go.
        if let Err(error) = run_command_link(handle, &mut link).await {
            tracing::debug!("carrier: {name}: {error:#}");
        }
        return Ok(());
    }
    let (sender, mailbox) = mpsc::channel(CHILD_QUEUE_CAPACITY);
    handle.send(Event::ChildConnected(number, sender)).await;
    let ended = run_child_link(handle, &mut link, &other, number, mailbox).await;
    handle.send(Event::ChildDisconnected(number)).await;
    ended.with_context(|| format!("child {name}"))
}

async fn run_child_link(
    handle: &Handle,
    link: &mut Link,
    other: &Hello,
    number: ChildId,
    mut mailbox: mpsc::Receiver<ParentMessage>,
) -> Result<()> {
    let to_frame = |message| Frame::Down(Box::new(message));
    while let Some(frame) = link.hear(&mut mailbox, to_frame).await? {
        let Frame::Up(message) = frame else { continue };
        if let ChildMessage::Subscribe { attachment, .. } = &*message {
            let member = &attachment.member;
            let same_process = member.name == other.who.name && member.incarnation == other.who.incarnation;
            ensure!(same_process, "subscribes as {}, and to_frame hello as {}", member.name, other.who);
        }
        handle.send(Event::ChildMessage(number, *message)).await;
    }
    Ok(())
}

async fn run_command_link(handle: &Handle, link: &mut Link) -> Result<()> {
    let (answers, mut answered) = mpsc::channel(COMMAND_QUEUE_CAPACITY);
    while let Some(frame) = link.hear(&mut answered, |frame| frame).await? {
        match frame {
            Frame::Offer(number, changes) => {
                handle.send(Event::Offer(number, changes, answers.clone())).await;
            }
            Frame::Carrier => _ = handle.send(Event::Status(answers.clone())).await,
            _ => {}
        }
    }
    Ok(())
}

/// The link to a parent, or the dial to one: it ends with this.
pub struct Parent {
    /// Of the dial: what comes of an earlier one counts no more.
    pub number: u64,
    pub name: String,
    pub sender: mpsc::Sender<ChildMessage>,
    task: AbortHandle,
}

impl Drop for Parent {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Dials; what comes of it, and that it ended, is to_frame under this number. `first` is the dial after a link that was up.
pub fn dial(
    me: &Me,
    handle: &Handle,
    number: u64,
    name: &str,
    address: Option<SocketAddr>,
    first_dial: bool,
) -> Parent {
    let (sender, mailbox) = mpsc::channel(PARENT_QUEUE_CAPACITY);
    let (me, handle, parent) = (me.clone(), handle.clone(), name.to_string());
    let task = tokio::spawn(async move {
        let mut connected = false;
        match run_parent_link(&me, &handle, number, &parent, address, mailbox, &mut connected).await {
            Ok(()) => tracing::info!("carrier: parent {parent} ended the link"),
            Err(error) if connected => tracing::info!("carrier: link to parent {parent} lost: {error:#}"),
            // Said once, until one is up again.
            Err(error) if first_dial => tracing::info!("carrier: no link to parent {parent}: {error:#}"),
            Err(error) => tracing::debug!("carrier: no link to parent {parent}: {error:#}"),
        }
        handle.send(Event::ParentDisconnected(number)).await;
    });
    Parent { number, name: name.into(), sender, task: task.abort_handle() }
}

async fn run_parent_link(
    me: &Me,
    handle: &Handle,
    number: u64,
    name: &str,
    address: Option<SocketAddr>,
    mut mailbox: mpsc::Receiver<ChildMessage>,
    connected: &mut bool,
) -> Result<()> {
    let address = address.context("fleet.carrier has no such control machine or relay")?;
    let (mut link, other) = Link::connect(address, &hello(me)).await?;
    ensure!(other.who.name == name, "at {address} is {}", other.who);
    link.ensure_speaks(CARRIER)?;
    handle.send(Event::ParentConnected(number)).await;
    *connected = true;
    tracing::info!("carrier: parent is {}", other.who);
    let to_frame = |message| Frame::Up(Box::new(message));
    while let Some(frame) = link.hear(&mut mailbox, to_frame).await? {
        if let Frame::Down(message) = frame {
            handle.send(Event::ParentMessage(number, *message)).await;
        }
    }
    Ok(())
}
