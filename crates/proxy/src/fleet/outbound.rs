//! The links that a process keeps to the voters: dialled again after times by chance, beaten twice a second, and ended when
//! they are silent or do not read. A full mailbox loses its frame: nobody waits for a slow voter.

use crate::fleet::local_process::{Me, draw};
use crate::fleet::voter_handle::{Door, Event};
use crate::fleet::wire::{BEAT, Frame, Hello, Link, Role};
use anyhow::Result;
use pumicebay_accord::{Answer, Name};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;
use tokio::time::{MissedTickBehavior, interval, sleep};

const MAILBOX: usize = 256;
const ANSWERS: usize = 256;
/// The first and the longest time until a link is dialled again; the actual one is by chance up to it.
const AGAIN: Duration = Duration::from_millis(100);
const AGAIN_MOST: Duration = Duration::from_secs(3);

/// One link as the rest of the process sees it.
#[derive(Clone)]
struct One {
    frames: mpsc::Sender<Frame>,
    up: watch::Receiver<bool>,
}

/// The links to all that may vote but oneself.
#[derive(Clone, Default)]
pub struct Links(std::sync::Arc<BTreeMap<Name, One>>);

impl Links {
    /// Whether it was taken on; it may be lost all the same.
    pub fn send(&self, to: &str, frame: Frame) -> bool {
        let up = self.0.get(to).filter(|one| *one.up.borrow());
        up.is_some_and(|one| one.frames.try_send(frame).is_ok())
    }

    /// Those whose links are up, in the order of their names: all askers begin with the same, so that voters seldom
    /// collide.
    pub fn up(&self) -> impl Iterator<Item = &Name> {
        self.0.iter().filter(|(_, one)| *one.up.borrow()).map(|(name, _)| name)
    }
}

/// Starts a link to each that may vote. Answers come by the channel; what voters say of themselves goes to this
/// process's own voter, where it has one.
pub fn start(
    me: &Me,
    role: Role,
    own: Option<&Door>,
    actors: &mut JoinSet<()>,
) -> (Links, mpsc::Receiver<Answer>, mpsc::Receiver<Frame>) {
    let ((answers, answered), (news, heard)) = (mpsc::channel(ANSWERS), mpsc::channel(ANSWERS));
    let mut links = BTreeMap::new();
    for (name, at) in me.config.callable().filter(|(name, _)| **name != me.who.name) {
        let (frames, mailbox) = mpsc::channel(MAILBOX);
        let (tell, up) = watch::channel(false);
        links.insert(name.clone(), One { frames, up });
        let (answers, news) = (answers.clone(), news.clone());
        let dialler =
            Dialler { me: me.clone(), role, at, name: name.clone(), own: own.cloned(), answers, news };
        actors.spawn(dialler.run(mailbox, tell));
    }
    (Links(links.into()), answered, heard)
}

struct Dialler {
    me: Me,
    role: Role,
    name: Name,
    at: SocketAddr,
    own: Option<Door>,
    answers: mpsc::Sender<Answer>,
    news: mpsc::Sender<Frame>,
}

impl Dialler {
    async fn run(self, mut mailbox: mpsc::Receiver<Frame>, up: watch::Sender<bool>) {
        let mut random = oorandom::Rand64::new(u128::from(draw()));
        let mut wait = AGAIN;
        loop {
            let ended = self.link(&mut mailbox, &up).await;
            let was_up = up.send_replace(false);
            match ended {
                Ok(()) => return,
                Err(error) if was_up => tracing::info!("fleet: link to {} lost: {error:#}", self.name),
                // Said once, and again when it grows no more.
                Err(error) if wait == AGAIN => tracing::warn!("fleet: no link to {}: {error:#}", self.name),
                Err(error) => tracing::debug!("fleet: no link to {}: {error:#}", self.name),
            }
            // What waited was for a link that is gone.
            while mailbox.try_recv().is_ok() {}
            wait = if was_up { AGAIN } else { AGAIN_MOST.min(wait * 2) };
            // Many that lost a voter at once must not come back to it at once.
            sleep(wait.mul_f64(random.rand_float())).await;
        }
    }

    fn disk(&self) -> Option<crate::fleet::wire::Disk> {
        self.own.as_ref().and_then(Door::disk)
    }

    async fn link(&self, mailbox: &mut mpsc::Receiver<Frame>, up: &watch::Sender<bool>) -> Result<()> {
        let hello = Hello::new(&self.me.config.name, &self.me.who, self.role, self.disk());
        let (mut link, other) = Link::connect(self.at, &hello).await?;
        let who = other.who.clone();
        self.heard(&who, other.voter);
        up.send_replace(true);
        tracing::info!("fleet: link to {who} is up");
        let mut beat = interval(BEAT);
        beat.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                frame = mailbox.recv() => match frame {
                    Some(frame) => link.send(&frame).await?,
                    None => {
                        link.send(&Frame::Bye).await?;
                        return Ok(());
                    }
                },
                frame = link.next() => match frame? {
                    Frame::Beat(disk) => self.heard(&who, disk),
                    Frame::Answer(answer) => _ = self.answers.try_send(answer),
                    news @ (Frame::News(_) | Frame::Wanted(..)) => _ = self.news.try_send(news),
                    _ => {}
                },
                _ = beat.tick() => link.send(&Frame::Beat(self.disk())).await?,
            }
        }
    }

    fn heard(&self, who: &pumicebay_accord::ProcessId, disk: Option<crate::fleet::wire::Disk>) {
        if let Some(own) = &self.own {
            own.post(Event::Heard(who.clone(), Role::Proxy, disk));
        }
    }
}
