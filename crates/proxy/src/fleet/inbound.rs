//! Who calls a voter: other voters, proxies, commands. Each link is a task; one that does not read, or says nothing, ends.

use crate::fleet::acceptor::Acceptor;
use crate::fleet::local_process::Me;
use crate::fleet::voter_handle::{Door, Event};
use crate::fleet::wire::{BEAT, Frame, Hello, Link, Role};
use anyhow::{Context, Result};
use std::net::SocketAddr;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::{MissedTickBehavior, interval};

/// Answers that wait on a link.
const ANSWERS: usize = 64;

/// Accepts as long as the process lives.
pub async fn accept(me: Me, door: Door, at: SocketAddr) {
    let most = me.config.links;
    let acceptor = Acceptor { part: "fleet", key: "fleet.listen", callers: "voters and askers", at, most };
    let serve = |stream, _| {
        let (me, door) = (me.clone(), door.clone());
        async move {
            if let Err(error) = serve(&me, &door, stream).await {
                tracing::debug!("fleet: a link ends: {error:#}");
            }
        }
    };
    acceptor.run(serve).await;
}

async fn serve(me: &Me, door: &Door, stream: TcpStream) -> Result<()> {
    let own = async || Hello::new(&me.config.name, &me.who, Role::Proxy, door.disk());
    let (mut link, hello) = Link::take(stream, own).await?;
    let who = hello.who.clone();
    door.post(Event::Heard(hello.who, hello.role, hello.voter));
    let ended = talk(door, &mut link, &who, hello.role).await;
    door.post(Event::Lost(who, ended.is_ok()));
    ended
}

async fn talk(door: &Door, link: &mut Link, who: &pumicebay_accord::ProcessId, role: Role) -> Result<()> {
    let (answers, mut answered) = mpsc::channel(ANSWERS);
    let mut passed = door.passed();
    let mut beat = interval(BEAT);
    beat.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            frame = link.next() => match frame? {
                Frame::Beat(disk) => door.post(Event::Heard(who.clone(), role, disk)),
                Frame::Vote(to, from, message) => door.post(Event::Vote(to, from, message)),
                Frame::Ask(ask) => door.post(Event::Ask(ask, answers.clone())),
                Frame::Found(record) => {
                    let done = door.ask(|done| Event::Found(record, done)).await.unwrap_or(false);
                    link.send(&Frame::Taken(done)).await?;
                }
                Frame::Trust => {
                    let done = door.ask(Event::Trust).await.unwrap_or(false);
                    link.send(&Frame::Taken(done)).await?;
                }
                Frame::Status => {
                    let status = door.ask(Event::Status).await.context("the voter has ended")?;
                    link.send(&Frame::StatusIs(Box::new(status))).await?;
                }
                frame @ (Frame::News(_) | Frame::Wanted(..)) => door.pass_on(frame),
                Frame::Bye => return Ok(()),
                // Answers to nobody here, and what goes to the carrier's own address.
                Frame::Answer(_) | Frame::Taken(_) | Frame::StatusIs(_) => {}
                Frame::Up(_) | Frame::Down(_) | Frame::Offer(..) | Frame::Offered(..) => {}
                Frame::Carrier | Frame::CarrierIs(_) => {}
                Frame::Replicate(_) | Frame::Order(_) | Frame::Ordered(_) => {}
                Frame::Replication | Frame::ReplicationIs(_) => {}
            },
            Some(answer) = answered.recv() => link.send(&answer).await?,
            frame = passed.recv(), if role == Role::Proxy => if let Ok(frame) = frame {
                link.send(&frame).await?;
            },
            _ = beat.tick() => link.send(&Frame::Beat(door.disk())).await?,
        }
    }
}
