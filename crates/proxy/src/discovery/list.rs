//! The actor that follows discovery: it fetches the list of nodes, then long-polls for changes, and passes the entries
//! to the module.

use crate::discovery::entries::{RawList, parse_list};
use crate::discovery::saved_list::{self, SavedList};
use crate::event_loop;
use crate::http::{ClientCodec, Request, Response};
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

/// How long discovery may hold a long poll when nothing has changed.
const LONG_POLL: Duration = Duration::from_secs(2);
/// How long discovery may take to answer a call, in addition to the time of a long poll.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1500);
/// How long connecting to discovery may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// The shortest delay between a failed call and the next.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);
/// The proxy must have a change within 6 s of the moment when discovery has it and can be reached. In the worst case
/// the change comes just as a call begins that will hang, and the call after that fails as well: the third call then
/// begins within this time of the first call's start. The rest of the 6 s is for the third call's connection, 0.5 s,
/// and a margin of 0.5 s for the answer. At its longest, this time holds the call that hangs (3.5 s), half of what is
/// left as a delay (0.75 s), the next call's connection (0.5 s) and a delay of 0.25 s.
const THIRD_CALL_WITHIN: Duration = Duration::from_secs(5);
/// How many entries are parsed and passed to the core at once.
const ENTRIES_PER_PART: usize = 128;
/// A read buffer of more bytes than this is freed after the answer.
const MAX_RETAINED_BUFFER: usize = 64 * 1024;

/// Follows discovery's list of nodes.
pub struct ListWatcher {
    shared: Shared,
    discovery: SocketAddr,
    /// In pull mode, the module's signal to call again; after a failure it comes in time.
    call_requests: mpsc::Receiver<()>,
    /// The version of the list as of the last answer; `None` makes the next call fetch the whole list.
    version: Option<u64>,
    connection: Option<Framed<TcpStream, ClientCodec>>,
    /// Whether to call again at once. If not, the next call is at the module's signal or at `latest_retry`, whichever
    /// is first.
    call_now: bool,
    latest_retry: Option<Instant>,
    /// When the last call began, and when the one before it did if that failed.
    call_started: Instant,
    failed_call_started: Option<Instant>,
    rng: Rand32,
    /// The list saved for the next process; `None` if there will be none.
    saved: Option<SavedList>,
}

impl ListWatcher {
    /// Watches for changes after this version of the list, which the core knows already. `call_requests` receives the
    /// module's signals to call again in pull mode.
    pub fn new(shared: Shared, call_requests: mpsc::Receiver<()>, version: Option<u64>) -> Self {
        let folder = shared.config.folder.clone().filter(|_| shared.config.listener_inherited);
        let saved = folder.map(SavedList::new);
        let (discovery, rng) = (shared.config.discovery, Rand32::new(shared.config.seed));
        ListWatcher {
            shared,
            discovery,
            call_requests,
            version,
            connection: None,
            call_now: false,
            latest_retry: None,
            call_started: Instant::now(),
            failed_call_started: None,
            rng,
            saved,
        }
    }

    /// Fetches the whole current list. A process that takes over needs it because the process before it may have been
    /// told more than the configuration contains.
    ///
    /// # Errors
    /// When discovery cannot be reached or its answer is not a whole list.
    pub async fn fetch_whole_list(&mut self) -> Result<Vec<DiscoveredNode>> {
        self.version = None;
        let body = self.call().await?;
        let list = self.parse_answer(&body)?;
        ensure!(list.whole, "asked for the whole list, got changes");
        let named = self.parse_entries(&list, 0..list.entries.len());
        self.save(&list);
        Ok(named)
    }

    /// Reads the list that an earlier process saved. Its version is not used: discovery is asked for the whole list.
    ///
    /// # Errors
    /// When there is no folder or no valid saved list.
    pub fn load_saved_list(&mut self, folder: Option<&Path>) -> Result<Vec<DiscoveredNode>> {
        let text = saved_list::read(folder.context("no folder")?)?;
        let (_, whole, named) = parse_list(&text, &self.shared.config)?;
        ensure!(whole, "not a whole list");
        Ok(named)
    }

    /// Parses the outer object of an answer and takes over its version.
    fn parse_answer<'a>(&mut self, body: &'a [u8]) -> Result<RawList<'a>> {
        let list = RawList::parse(body)?;
        if let Some(last) = self.version.take_if(|last| list.version < *last) {
            // An answer older than the last one, say from a cache, could put a draining or removed node back into
            // service, which must get no new work. The next call fetches the whole list: only an old version in that
            // answer shows that discovery itself has gone back.
            bail!("answered with version {} after {last}", list.version);
        }
        self.version = Some(list.version);
        self.shared.counters.list_answers.add();
        if let (true, Some(saved)) = (list.whole, &mut self.saved) {
            saved.clear();
        }
        Ok(list)
    }

    /// Parses these entries of an answer and records them for saving.
    fn parse_entries(&mut self, list: &RawList, range: Range<usize>) -> Vec<DiscoveredNode> {
        let mut part = Vec::with_capacity(range.len());
        for at in range {
            let Some(named) = list.entry(at, &self.shared.config) else { continue };
            if let Some(saved) = &mut self.saved {
                saved.record(&named, list.entries[at]);
            }
            part.push(named);
        }
        part
    }

    /// Saves the list for the next process, unless the answer had no entries.
    fn save(&self, list: &RawList) {
        if let Some(saved) = self.saved.as_ref().filter(|_| !list.entries.is_empty())
            && let Err(error) = saved.write(list.version)
        {
            tracing::warn!("the list of nodes was not saved for the next process: {error}");
        }
    }

    /// Passes an answer to the module a few entries at a time, so that requests do not wait behind a long list.
    async fn apply_answer(&mut self, body: &[u8]) -> Result<()> {
        let counters = self.shared.counters.clone();
        let what = || format!("reading a list of {} bytes", body.len());
        let list = event_loop::timed(&counters, what, || self.parse_answer(body))?;
        let (whole, entries) = (list.whole, list.entries.len());
        let mut from = 0;
        loop {
            let to = (from + ENTRIES_PER_PART).min(entries);
            let what = || format!("reading {} entries of the list", to - from);
            let named = event_loop::timed(&counters, what, || self.parse_entries(&list, from..to));
            let part = ListPart { nodes: named, full: whole, first: from == 0, last: to == entries };
            self.shared.dispatcher.nodes_listed(part).await;
            if to == entries {
                break;
            }
            from = to;
            yield_now().await;
        }
        event_loop::timed(&counters, || "saving the list".into(), || self.save(&list));
        Ok(())
    }

    /// Follows discovery at its current address until the task is dropped. A new address is asked for the whole list at
    /// once. An answer that has arrived is passed on completely, whatever comes meanwhile.
    pub async fn run(mut self, mut discovery: watch::Receiver<SocketAddr>) {
        self.call_now = !self.is_pull_mode();
        loop {
            self.discovery = *discovery.borrow_and_update();
            let answer = tokio::select! {
                biased;
                Ok(()) = discovery.changed() => {
                    (self.version, self.connection) = (None, None);
                    // The interrupted call counts as failed: a change that it would have brought is due as soon as if
                    // the call had gone on.
                    (self.call_now, self.failed_call_started) = (true, Some(self.call_started));
                    continue;
                }
                answer = self.next_answer() => answer,
            };
            let applied = match answer {
                Ok(body) => self.apply_answer(&body).await,
                Err(error) => Err(error),
            };
            match applied {
                Ok(()) => self.failed_call_started = None,
                Err(error) => {
                    self.shared.counters.list_failures.add();
                    (self.connection, self.call_now) = (None, false);
                    self.latest_retry = Some(Instant::now() + self.retry_delay());
                    self.failed_call_started = Some(self.call_started);
                    tracing::warn!("discovery: {error:#}");
                    if self.is_pull_mode() {
                        // Signals that the module sent before this failure say nothing about it.
                        while self.call_requests.try_recv().is_ok() {}
                        self.shared.dispatcher.list_failed().await;
                    }
                }
            }
        }
    }

    /// Whether discovery is a service that all proxies share, so that the module decides when to call it.
    fn is_pull_mode(&self) -> bool {
        self.shared.config.settings.text("discovery") == "ask"
    }

    /// The longest delay after a failed call. Calls to an agent beside the proxy cost little, so it is the minimum
    /// there. With a service that all proxies share it is the longest that leaves as much time for the delay after the
    /// next call, spread over its second half: this keeps the proxies from all coming back together and overloading
    /// discovery.
    fn retry_delay(&mut self) -> Duration {
        if !self.is_pull_mode() {
            return MIN_RETRY_DELAY;
        }
        let left = |began: Instant| (began + THIRD_CALL_WITHIN).saturating_duration_since(Instant::now());
        let longest =
            (left(self.call_started) / 2).min(self.failed_call_started.map_or(THIRD_CALL_WITHIN, left));
        longest.mul_f32(0.5 + self.rng.rand_float() / 2.0).max(MIN_RETRY_DELAY)
    }

    /// Calls discovery: at once after a success, and after a failure at the module's signal or after the longest delay.
    async fn next_answer(&mut self) -> Result<Bytes> {
        if !self.call_now {
            let latest = self.latest_retry;
            let delay_over = async move {
                match latest {
                    Some(latest) => sleep_until(latest).await,
                    None => pending().await,
                }
            };
            tokio::select! {
                requested = self.call_requests.recv() => if requested.is_none() {
                    // The module ends only with the process.
                    pending().await
                },
                () = delay_over => {}
            }
        }
        (self.call_now, self.call_started) = (true, Instant::now());
        self.call().await
    }

    /// Long-polls for changes since the last version, or fetches the whole list if there is none.
    async fn call(&mut self) -> Result<Bytes> {
        let (path, held) = match self.version {
            Some(version) => {
                (format!("/registry/instances?index={version}&wait={}", LONG_POLL.as_millis()), LONG_POLL)
            }
            None => ("/registry/instances".to_string(), Duration::ZERO),
        };
        let response =
            timeout(held + RESPONSE_TIMEOUT, self.send(path)).await.context("no answer in time")??;
        ensure!(response.status == 200, "status {}", response.status);
        if response.last {
            self.connection = None;
        }
        Ok(response.body)
    }

    /// Sends a GET over the open connection, or over a new one, and returns the final response.
    async fn send(&mut self, path: String) -> Result<Response> {
        let mut connection = match self.connection.take() {
            Some(connection) => connection,
            None => {
                let stream = TcpStream::connect(self.discovery);
                let stream = timeout(CONNECT_TIMEOUT, stream)
                    .await
                    .context("could not connect")?
                    .context("could not connect")?;
                stream.set_nodelay(true)?;
                Framed::new(stream, ClientCodec::new(self.shared.config.max_list_bytes))
            }
        };
        connection.send(Request::get(path)).await?;
        let mut response = connection.next().await.context("connection closed")??;
        while response.is_interim() {
            response = connection.next().await.context("connection closed")??;
        }
        // Frees a buffer that has grown to the size of a whole list.
        let buffer = connection.read_buffer_mut();
        if buffer.capacity() > MAX_RETAINED_BUFFER && buffer.is_empty() {
            *buffer = BytesMut::new();
        }
        self.connection = Some(connection);
        Ok(response)
    }
}
