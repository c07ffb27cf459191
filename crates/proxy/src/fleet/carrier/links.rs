//! The carrier's links: incoming ones from children and commands, and the outgoing one to the parent. Each
//! link is a task with a small queue. A link whose other end does not read or stays silent is closed, so
//! nothing waits for it.

use crate::fleet::acceptor::Acceptor;
use crate::fleet::carrier::handle::{Event, Handle};
use crate::fleet::local_process::LocalProcess;
use crate::fleet::wire::{Frame, Hello, Link, MIN_CARRIER_VERSION, Role};
use anyhow::{Context, Result, ensure};
use pumicebay_carrier::{ChildId, ChildMessage, ParentMessage};
use std::net::SocketAddr;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::AbortHandle;

/// The queue of messages to a child has room for one part of a difference and some heartbeats. A child whose
/// queue is full does not read its messages.
const CHILD_QUEUE_CAPACITY: usize = 8;
/// The capacity of the queue of messages to the parent.
const PARENT_QUEUE_CAPACITY: usize = 16;
/// The maximum number of answers that wait to be sent to a command.
const COMMAND_QUEUE_CAPACITY: usize = 16;
/// Links accepted in addition to the maximum number of children: other control machines, relays, children
/// that are told that there is no room, commands.
const EXTRA_LINKS: usize = 256;

/// Accepts links at this address until the process ends.
pub async fn accept(me: LocalProcess, handle: Handle, address: SocketAddr, max_children: usize) {
    let max_links = max_children.saturating_add(EXTRA_LINKS);
    let acceptor = Acceptor {
        log_prefix: "carrier",
        config_key: "fleet.carrier.listen",
        peer_kind: "children",
        address,
        max_links,
    };
    let serve = |stream, number| {
        let (me, handle) = (me.clone(), handle.clone());
        async move {
            if let Err(error) = serve(&me, &handle, stream, number).await {
                tracing::info!("carrier: incoming link ended: {error:#}");
            }
        }
    };
    acceptor.run(serve).await;
}

fn hello(me: &LocalProcess) -> Hello {
    Hello::new(&me.config.name, &me.id, Role::Proxy, None)
}

async fn serve(me: &LocalProcess, handle: &Handle, stream: TcpStream, number: ChildId) -> Result<()> {
    let (mut link, other) = Link::accept(stream, async || hello(me)).await?;
    let name = other.id.to_string();
    ensure!(
        link.version() >= MIN_CARRIER_VERSION,
        "{name} supports link versions up to {}, version {MIN_CARRIER_VERSION} is required",
        link.version()
    );
    if other.role == Role::Command {
        // Commands are short-lived; the end of their links is logged at debug level only.
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
    let to_frame = |message| Frame::ToChild(Box::new(message));
    while let Some(frame) = link.next_while_sending(&mut mailbox, to_frame).await? {
        let Frame::ToParent(message) = frame else { continue };
        if let ChildMessage::Subscribe { attachment, .. } = &*message {
            let member = &attachment.member;
            let same_process = member.name == other.id.name && member.incarnation == other.id.incarnation;
            ensure!(same_process, "subscribes as {}, but its hello was from {}", member.name, other.id);
        }
        handle.send(Event::ChildMessage(number, *message)).await;
    }
    Ok(())
}

async fn run_command_link(handle: &Handle, link: &mut Link) -> Result<()> {
    let (answer_sender, mut answer_queue) = mpsc::channel(COMMAND_QUEUE_CAPACITY);
    while let Some(frame) = link.next_while_sending(&mut answer_queue, |frame| frame).await? {
        match frame {
            Frame::SubmitChanges(number, changes) => {
                handle.send(Event::Offer(number, changes, answer_sender.clone())).await;
            }
            Frame::CarrierStatusRequest => _ = handle.send(Event::Status(answer_sender.clone())).await,
            _ => {}
        }
    }
    Ok(())
}

/// The link to a parent, or the connection attempt; dropping it ends the task.
pub struct Parent {
    /// The number of the connection attempt; events of earlier ones are ignored.
    pub number: u64,
    /// The name of the parent.
    pub name: String,
    /// Messages to the parent.
    pub sender: mpsc::Sender<ChildMessage>,
    task: AbortHandle,
}

impl Drop for Parent {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Connects to a parent in a task of its own. Its events carry this number. `first_dial` is true for the
/// first attempt after a link was up.
pub fn dial(
    me: &LocalProcess,
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
            Ok(()) => tracing::info!("carrier: parent {parent} closed the link"),
            Err(error) if connected => tracing::info!("carrier: link to parent {parent} lost: {error:#}"),
            // Logged once until a link is up again.
            Err(error) if first_dial => {
                tracing::info!("carrier: cannot connect to parent {parent}: {error:#}")
            }
            Err(error) => tracing::debug!("carrier: cannot connect to parent {parent}: {error:#}"),
        }
        handle.send(Event::ParentDisconnected(number)).await;
    });
    Parent { number, name: name.into(), sender, task: task.abort_handle() }
}

async fn run_parent_link(
    me: &LocalProcess,
    handle: &Handle,
    number: u64,
    name: &str,
    address: Option<SocketAddr>,
    mut mailbox: mpsc::Receiver<ChildMessage>,
    connected: &mut bool,
) -> Result<()> {
    let address = address.context("fleet.carrier lists no control machine or relay of this name")?;
    let (mut link, other) = Link::connect(address, &hello(me)).await?;
    ensure!(other.id.name == name, "{address} belongs to {}", other.id);
    link.ensure_version(MIN_CARRIER_VERSION)?;
    handle.send(Event::ParentConnected(number)).await;
    *connected = true;
    tracing::info!("carrier: connected to parent {}", other.id);
    let to_frame = |message| Frame::ToParent(Box::new(message));
    while let Some(frame) = link.next_while_sending(&mut mailbox, to_frame).await? {
        if let Frame::ToChild(message) = frame {
            handle.send(Event::ParentMessage(number, *message)).await;
        }
    }
    Ok(())
}
