//! The list actor: follows discovery by watches and hands its entries to the module.

use crate::discovery::entries::{ListText, entries};
use crate::discovery::left::{self, LeftList};
use crate::event_loop;
use crate::http::{Http, Request, Response};
use crate::messages::{DiscoveredNode, ListPart};
use crate::shared::Shared;
use anyhow::{Context, Result, bail, ensure};
use bytes::{Bytes, BytesMut};
use futures_util::{SinkExt, StreamExt};
use oorandom::Rand32;
use std::future::pending;
use std::net::SocketAddr;
use std::ops::Range;
use std::path::Path;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};
use tokio::task::yield_now;
use tokio::time::{Instant, sleep_until, timeout};
use tokio_util::codec::Framed;

/// How long discovery may hold a call that has nothing to tell, and how long past that it may stay silent.
const HELD: Duration = Duration::from_secs(2);
const SILENT: Duration = Duration::from_millis(1500);
/// How long a connection to it may take to come up.
const CONNECT: Duration = Duration::from_millis(500);
/// The least pause before a call after one that failed.
const AGAIN: Duration = Duration::from_millis(100);
/// A change counts as told 6 s after discovery had it and could be reached. It may come as a call begins that will
/// hang, and the next may fail as well: the one after that begins within this time of the first's beginning. The rest
/// is for its connection, 0.5 s, and a margin of 0.5 s for the answer. At its longest, the call that hangs (3.5 s), half
/// of what is left as a pause (0.75 s), the next call's connection (0.5 s) and a pause of 0.25 s come to it.
const THIRD: Duration = Duration::from_secs(5);
/// Entries that are read and handed to the decisions in one piece.
const PART: usize = 128;
/// How much room for answers stays after a long one.
const KEPT: usize = 64 * 1024;

pub struct List {
    shared: Shared,
    discovery: SocketAddr,
    /// Where the list must be asked for, the module says when, and after a failure in time.
    follow: mpsc::Receiver<()>,
    version: Option<u64>,
    connection: Option<Framed<TcpStream, Http>>,
    /// To be called at once; if not, when the module says so, or then at the latest.
    due: bool,
    latest: Option<Instant>,
    /// When the last call began, and the one before it if that failed.
    began: Instant,
    failed: Option<Instant>,
    rng: Rand32,
    /// What is kept for a process after this one, where there is to be one.
    left: Option<LeftList>,
}

impl List {
    /// Follows from this version of the list, which the decisions know already.
    pub fn new(shared: Shared, follow: mpsc::Receiver<()>, version: Option<u64>) -> Self {
        let folder = shared.config.folder.clone().filter(|_| shared.config.inherited);
        let left = folder.map(LeftList::new);
        let (discovery, rng) = (shared.config.discovery, Rand32::new(shared.config.seed));
        List {
            shared,
            discovery,
            follow,
            version,
            connection: None,
            due: false,
            latest: None,
            began: Instant::now(),
            failed: None,
            rng,
            left,
        }
    }

    /// The whole list as it is now, for a process that takes over from one that may have been told more than the
    /// configuration knows.
    pub async fn first(&mut self) -> Result<Vec<DiscoveredNode>> {
        self.version = None;
        let body = self.call().await?;
        let list = self.read(&body)?;
        ensure!(list.whole, "asked for the whole list, got changes");
        let named = self.part(&list, 0..list.entries.len());
        self.leave(&list);
        Ok(named)
    }

    /// What a process before this one was told last. Its version is not followed: discovery is asked anew.
    pub fn left(&mut self, folder: Option<&Path>) -> Result<Vec<DiscoveredNode>> {
        let text = left::read(folder.context("no folder")?)?;
        let (_, whole, named) = entries(&text, &self.shared.config)?;
        ensure!(whole, "not a whole list");
        Ok(named)
    }

    /// Reads an answer, whose version counts from now on.
    fn read<'a>(&mut self, body: &'a [u8]) -> Result<ListText<'a>> {
        let list = ListText::read(body)?;
        if let Some(last) = self.version.take_if(|last| list.version < *last) {
            // Guards rule 3 from an answer that is older than what was told: only one to a call for the whole list,
            // which is made anew, shows that discovery itself has gone back.
            bail!("answers with version {} after {last}", list.version);
        }
        self.version = Some(list.version);
        self.shared.counters.list_answers.add();
        if let (true, Some(left)) = (list.whole, &mut self.left) {
            left.clear();
        }
        Ok(list)
    }

    /// Reads some entries of an answer.
    fn part(&mut self, list: &ListText, range: Range<usize>) -> Vec<DiscoveredNode> {
        let mut part = Vec::with_capacity(range.len());
        for at in range {
            let Some(named) = list.named(at, &self.shared.config) else { continue };
            if let Some(left) = &mut self.left {
                left.note(&named, list.entries[at]);
            }
            part.push(named);
        }
        part
    }

    /// Leaves what was told for a process after this one.
    fn leave(&self, list: &ListText) {
        if let Some(left) = self.left.as_ref().filter(|_| !list.entries.is_empty())
            && let Err(error) = left.write(list.version)
        {
            tracing::warn!("the list is not kept for a process after this one: {error}");
        }
    }

    /// Takes in an answer, some entries at a time: guards requests from waiting behind a long list.
    async fn take(&mut self, body: &[u8]) -> Result<()> {
        let counters = self.shared.counters.clone();
        let what = || format!("reading a list of {} bytes", body.len());
        let list = event_loop::timed(&counters, what, || self.read(body))?;
        let (whole, entries) = (list.whole, list.entries.len());
        let mut from = 0;
        loop {
            let to = (from + PART).min(entries);
            let what = || format!("reading {} entries of the list", to - from);
            let named = event_loop::timed(&counters, what, || self.part(&list, from..to));
            let part = ListPart { nodes: named, full: whole, first: from == 0, last: to == entries };
            self.shared.dispatcher.nodes_listed(part).await;
            if to == entries {
                break;
            }
            from = to;
            yield_now().await;
        }
        event_loop::timed(&counters, || "leaving the list".into(), || self.leave(&list));
        Ok(())
    }

    /// Follows discovery where it is now: a new address is asked for the whole list at once. What was told is
    /// passed on whatever comes meanwhile.
    pub async fn run(mut self, mut discovery: watch::Receiver<SocketAddr>) {
        self.due = !self.asked();
        loop {
            self.discovery = *discovery.borrow_and_update();
            let answer = tokio::select! {
                biased;
                Ok(()) = discovery.changed() => {
                    (self.version, self.connection) = (None, None);
                    // What the call broken off would have told is owed by the time it was.
                    (self.due, self.failed) = (true, Some(self.began));
                    continue;
                }
                answer = self.next() => answer,
            };
            let taken = match answer {
                Ok(body) => self.take(&body).await,
                Err(error) => Err(error),
            };
            match taken {
                Ok(()) => self.failed = None,
                Err(error) => {
                    self.shared.counters.list_failures.add();
                    (self.connection, self.due) = (None, false);
                    self.latest = Some(Instant::now() + self.pause());
                    self.failed = Some(self.began);
                    tracing::warn!("discovery: {error:#}");
                    if self.asked() {
                        // What the module said before, and was not waited for, is not about this failure.
                        while self.follow.try_recv().is_ok() {}
                        self.shared.dispatcher.list_failed().await;
                    }
                }
            }
        }
    }

    /// A service that all share, which the module says when to call.
    fn asked(&self) -> bool {
        self.shared.config.settings.text("discovery") == "ask"
    }

    /// The longest pause after a call that failed. An agent beside the proxy is asked for free; a service that all
    /// share has the longest that leaves as much for the pause after the next call, spread over its second half:
    /// guards it from all proxies that come back together.
    fn pause(&mut self) -> Duration {
        if !self.asked() {
            return AGAIN;
        }
        let left = |began: Instant| (began + THIRD).saturating_duration_since(Instant::now());
        let longest = (left(self.began) / 2).min(self.failed.map_or(THIRD, left));
        longest.mul_f32(0.5 + self.rng.rand_float() / 2.0).max(AGAIN)
    }

    /// Calls again at once, but after a failure: then when the module says so, or the longest pause is over.
    async fn next(&mut self) -> Result<Bytes> {
        if !self.due {
            let latest = self.latest;
            let over = async move {
                match latest {
                    Some(latest) => sleep_until(latest).await,
                    None => pending().await,
                }
            };
            tokio::select! {
                said = self.follow.recv() => if said.is_none() {
                    // The module ends only with the process.
                    pending().await
                },
                () = over => {}
            }
        }
        (self.due, self.began) = (true, Instant::now());
        self.call().await
    }

    async fn call(&mut self) -> Result<Bytes> {
        let (path, held) = match self.version {
            Some(version) => (format!("/registry/instances?index={version}&wait={}", HELD.as_millis()), HELD),
            None => ("/registry/instances".to_string(), Duration::ZERO),
        };
        let answer = timeout(held + SILENT, self.exchange(path)).await.context("silent")??;
        ensure!(answer.status == 200, "status {}", answer.status);
        if answer.last {
            self.connection = None;
        }
        Ok(answer.body)
    }

    async fn exchange(&mut self, path: String) -> Result<Response> {
        let mut connection = match self.connection.take() {
            Some(connection) => connection,
            None => {
                let stream = TcpStream::connect(self.discovery);
                let stream = timeout(CONNECT, stream).await.context("not reached")?.context("not reached")?;
                stream.set_nodelay(true)?;
                Framed::new(stream, Http::new(self.shared.config.longest_list))
            }
        };
        connection.send(Request::get(path)).await?;
        let mut answer = connection.next().await.context("closed")??;
        while answer.interim() {
            answer = connection.next().await.context("closed")??;
        }
        // A whole list leaves no room of its size behind.
        let room = connection.read_buffer_mut();
        if room.capacity() > KEPT && room.is_empty() {
            *room = BytesMut::new();
        }
        self.connection = Some(connection);
        Ok(answer)
    }
}
