//! The carrier's links: children that call, the parent that is dialled, commands. Each is a task with a small mailbox; one
//! that does not read, or says nothing, ends, and nobody waits for it.

use crate::fleet::acceptor::Acceptor;
use crate::fleet::carrier::door::{Door, Event};
use crate::fleet::local_process::LocalProcess;
use crate::fleet::wire::{Frame, Hello, Link, MIN_CARRIER_VERSION, Role};
use anyhow::{Context, Result, ensure};
use pumicebay_carrier::{ChildId, ChildMessage, ParentMessage};
use std::net::SocketAddr;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::AbortHandle;

/// What waits for a child: one part of a difference and some pulses. One whose mailbox is full does not read.
const DOWNS: usize = 8;
const UPS: usize = 16;
/// Answers that wait for a command.
const ANSWERS: usize = 16;
/// Links beyond those of proxies: other control machines, relays, those that are told that there is no room, commands.
const SPARE: usize = 256;

/// Accepts as long as the process lives.
pub async fn accept(me: LocalProcess, door: Door, at: SocketAddr, children: usize) {
    let most = children.saturating_add(SPARE);
    let acceptor = Acceptor {
        log_prefix: "carrier",
        config_key: "fleet.carrier.listen",
        peer_kind: "children",
        address: at,
        max_links: most,
    };
    let serve = |stream, number| {
        let (me, door) = (me.clone(), door.clone());
        async move {
            if let Err(error) = serve(&me, &door, stream, number).await {
                tracing::info!("carrier: a link ends: {error:#}");
            }
        }
    };
    acceptor.run(serve).await;
}

fn hello(me: &LocalProcess) -> Hello {
    Hello::new(&me.config.name, &me.id, Role::Proxy, None)
}

async fn serve(me: &LocalProcess, door: &Door, stream: TcpStream, number: ChildId) -> Result<()> {
    let (mut link, other) = Link::accept(stream, async || hello(me)).await?;
    let name = other.id.to_string();
    ensure!(
        link.version() >= MIN_CARRIER_VERSION,
        "{name} speaks links up to {}, not {MIN_CARRIER_VERSION}",
        link.version()
    );
    if other.role == Role::Command {
        // Commands come and go.
        if let Err(error) = command(door, &mut link).await {
            tracing::debug!("carrier: {name}: {error:#}");
        }
        return Ok(());
    }
    let (downs, mailbox) = mpsc::channel(DOWNS);
    door.say(Event::ChildUp(number, downs)).await;
    let ended = child(door, &mut link, &other, number, mailbox).await;
    door.say(Event::ChildLost(number)).await;
    ended.with_context(|| format!("child {name}"))
}

async fn child(
    door: &Door,
    link: &mut Link,
    other: &Hello,
    number: ChildId,
    mut mailbox: mpsc::Receiver<ParentMessage>,
) -> Result<()> {
    let said = |down| Frame::ToChild(Box::new(down));
    while let Some(frame) = link.next_while_sending(&mut mailbox, said).await? {
        let Frame::ToParent(up) = frame else { continue };
        if let ChildMessage::Subscribe { attachment, .. } = &*up {
            let who = &attachment.member;
            let same = who.name == other.id.name && who.incarnation == other.id.incarnation;
            ensure!(same, "subscribes as {}, and said hello as {}", who.name, other.id);
        }
        door.say(Event::ChildSaid(number, *up)).await;
    }
    Ok(())
}

async fn command(door: &Door, link: &mut Link) -> Result<()> {
    let (answers, mut answered) = mpsc::channel(ANSWERS);
    while let Some(frame) = link.next_while_sending(&mut answered, |frame| frame).await? {
        match frame {
            Frame::SubmitChanges(number, changes) => {
                door.say(Event::Offer(number, changes, answers.clone())).await;
            }
            Frame::CarrierStatusRequest => _ = door.say(Event::Status(answers.clone())).await,
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
    pub ups: mpsc::Sender<ChildMessage>,
    task: AbortHandle,
}

impl Drop for Parent {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Dials; what comes of it, and that it ended, is said under this number. `first` is the dial after a link that was up.
pub fn dial(
    me: &LocalProcess,
    door: &Door,
    number: u64,
    name: &str,
    at: Option<SocketAddr>,
    first: bool,
) -> Parent {
    let (ups, mailbox) = mpsc::channel(UPS);
    let (me, door, parent) = (me.clone(), door.clone(), name.to_string());
    let task = tokio::spawn(async move {
        let mut up = false;
        match parent_link(&me, &door, number, &parent, at, mailbox, &mut up).await {
            Ok(()) => tracing::info!("carrier: parent {parent} ended the link"),
            Err(error) if up => tracing::info!("carrier: link to parent {parent} lost: {error:#}"),
            // Said once, until one is up again.
            Err(error) if first => tracing::info!("carrier: no link to parent {parent}: {error:#}"),
            Err(error) => tracing::debug!("carrier: no link to parent {parent}: {error:#}"),
        }
        door.say(Event::ParentLost(number)).await;
    });
    Parent { number, name: name.into(), ups, task: task.abort_handle() }
}

async fn parent_link(
    me: &LocalProcess,
    door: &Door,
    number: u64,
    name: &str,
    at: Option<SocketAddr>,
    mut mailbox: mpsc::Receiver<ChildMessage>,
    up: &mut bool,
) -> Result<()> {
    let at = at.context("fleet.carrier has no such control machine or relay")?;
    let (mut link, other) = Link::connect(at, &hello(me)).await?;
    ensure!(other.id.name == name, "at {at} is {}", other.id);
    link.ensure_version(MIN_CARRIER_VERSION)?;
    door.say(Event::ParentUp(number)).await;
    *up = true;
    tracing::info!("carrier: parent is {}", other.id);
    let said = |up| Frame::ToParent(Box::new(up));
    while let Some(frame) = link.next_while_sending(&mut mailbox, said).await? {
        if let Frame::ToChild(down) = frame {
            door.say(Event::ParentSaid(number, *down)).await;
        }
    }
    Ok(())
}
