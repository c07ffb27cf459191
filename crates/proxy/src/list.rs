//! The list actor: follows discovery by watches and hands its entries to the module.

use crate::clock::MILLIS;
use crate::config::Config;
use crate::http::{Http, Request, Response};
use crate::messages::Named;
use crate::shared::Shared;
use crate::turns;
use anyhow::{Context, Result, bail, ensure};
use futures_util::{SinkExt, StreamExt};
use oorandom::Rand32;
use pumicebay_core::{Listed, Standing};
use pumicebay_names::identity;
use serde_json::{Value as Json, json};
use std::collections::BTreeMap;
use std::future::pending;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};
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
/// A list of many thousand nodes.
const LONGEST: usize = 16 * 1024 * 1024;
/// The file that a process leaves for the next one; its name has the version of its form.
const LEFT: &str = "pumicebay-list-1";
/// Beyond reason for what the list says of a node's size.
const MOST_RATED: f64 = 1e6;

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
    /// All entries as they were told last, by `uid`; kept for the process after this one.
    told: BTreeMap<String, Json>,
}

impl List {
    pub fn new(shared: Shared, follow: mpsc::Receiver<()>) -> Self {
        let version = shared.config.known.get("rev").and_then(Json::as_u64);
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
            told: BTreeMap::new(),
        }
    }

    /// The whole list as it is now, for a process that takes over from one that may have been told more than the
    /// configuration knows.
    pub async fn first(&mut self) -> Result<Vec<Named>> {
        self.version = None;
        let body = self.call().await?;
        let (whole, named) = self.take(&body)?;
        ensure!(whole, "asked for the whole list, got changes");
        Ok(named)
    }

    /// What a process before this one was told last. Its version is not followed: discovery is asked anew.
    pub fn left(&mut self, folder: Option<&Path>) -> Result<Vec<Named>> {
        let file = folder.context("no folder")?.join(LEFT);
        // Guards the start from what is no list: a pipe is never read to its end, and a huge file not into memory.
        let about = std::fs::metadata(&file)?;
        ensure!(about.is_file() && about.len() <= LONGEST as u64, "no list: {} bytes", about.len());
        let json: Json = serde_json::from_slice(&std::fs::read(file)?)?;
        let (_, whole, named) = entries(&json, &self.shared.config)?;
        ensure!(whole, "not a whole list");
        Ok(named)
    }

    /// Takes in an answer: whether it is whole, and its entries.
    fn take(&mut self, body: &Json) -> Result<(bool, Vec<Named>)> {
        let (version, whole, named) = entries(body, &self.shared.config)?;
        if let Some(last) = self.version.take_if(|last| version < *last) {
            // Guards rule 3 from an answer that is older than what was told: only one to a call for the whole list,
            // which is made anew, shows that discovery itself has gone back.
            bail!("answers with version {version} after {last}");
        }
        self.version = Some(version);
        self.shared.counters.list_answers.add();
        if whole {
            self.told.clear();
        }
        for target in body.get("targets").and_then(Json::as_array).into_iter().flatten() {
            if let Some(uid) = target.get("uid").and_then(Json::as_str) {
                self.told.insert(uid.into(), target.clone());
            }
        }
        self.told.retain(|_, target| target.get("state").and_then(Json::as_str) != Some("left"));
        if self.shared.config.inherited
            && !named.is_empty()
            && let Some(folder) = &self.shared.config.folder
            && let Err(error) = leave(folder, version, &self.told)
        {
            tracing::warn!("the list is not kept for a process after this one: {error}");
        }
        Ok((whole, named))
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
            let counters = self.shared.counters.clone();
            let taken = turns::noted(
                &counters,
                || "entries taken from the list".into(),
                || answer.and_then(|body| self.take(&body)),
            );
            match taken {
                Ok((whole, named)) => {
                    self.failed = None;
                    self.shared.door.listed(whole, named).await;
                }
                Err(error) => {
                    self.shared.counters.list_failures.add();
                    (self.connection, self.due) = (None, false);
                    self.latest = Some(Instant::now() + self.pause());
                    self.failed = Some(self.began);
                    tracing::warn!("discovery: {error:#}");
                    if self.asked() {
                        // What the module said before, and was not waited for, is not about this failure.
                        while self.follow.try_recv().is_ok() {}
                        self.shared.door.list_failed().await;
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
    async fn next(&mut self) -> Result<Json> {
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

    async fn call(&mut self) -> Result<Json> {
        let (path, held) = match self.version {
            Some(version) => (format!("/registry/instances?index={version}&wait={}", HELD.as_millis()), HELD),
            None => ("/registry/instances".to_string(), Duration::ZERO),
        };
        let answer = timeout(held + SILENT, self.exchange(path)).await.context("silent")??;
        ensure!(answer.status == 200, "status {}", answer.status);
        if answer.last {
            self.connection = None;
        }
        let bytes = answer.body.len();
        let parse = || serde_json::from_slice(&answer.body).context("answer is no JSON");
        turns::noted(&self.shared.counters, || format!("reading a list of {bytes} bytes"), parse)
    }

    async fn exchange(&mut self, path: String) -> Result<Response> {
        let mut connection = match self.connection.take() {
            Some(connection) => connection,
            None => {
                let stream = TcpStream::connect(self.discovery);
                let stream = timeout(CONNECT, stream).await.context("not reached")?.context("not reached")?;
                stream.set_nodelay(true)?;
                Framed::new(stream, Http::new(LONGEST))
            }
        };
        connection.send(Request::get(path)).await?;
        let mut answer = connection.next().await.context("closed")??;
        while answer.interim() {
            answer = connection.next().await.context("closed")??;
        }
        self.connection = Some(connection);
        Ok(answer)
    }
}

/// Writes the list for a process after this one: beside the old file, then in its place.
fn leave(folder: &Path, version: u64, told: &BTreeMap<String, Json>) -> std::io::Result<()> {
    let targets: Vec<&Json> = told.values().collect();
    let list = json!({"rev": version, "all": true, "targets": targets});
    let new = folder.join(format!("{LEFT}.{}", std::process::id()));
    std::fs::write(&new, list.to_string())?;
    std::fs::rename(new, folder.join(LEFT))
}

/// Reads a list or its changes: its version, whether it is whole, and its entries. One that can't be read
/// is left out with a line in the log.
pub fn entries(json: &Json, config: &Config) -> Result<(u64, bool, Vec<Named>)> {
    let version = json.get("rev").and_then(Json::as_u64).context("rev: expected a number")?;
    let whole = json.get("all").and_then(Json::as_bool).context("all: expected true or false")?;
    let targets = json.get("targets").and_then(Json::as_array).context("targets: expected a list")?;
    let mut named = Vec::with_capacity(targets.len());
    for target in targets {
        match entry(target, config) {
            Ok(entry) => named.push(entry),
            Err(error) => tracing::warn!("discovery: entry left out: {error:#}"),
        }
    }
    Ok((version, whole, named))
}

fn entry(target: &Json, config: &Config) -> Result<Named> {
    let text = |key: &str| target.get(key).and_then(Json::as_str);
    let number = |key: &str| target.get(key).and_then(Json::as_u64).unwrap_or(0);
    let uid = text("uid").context("uid: expected a text")?;
    let endpoint = text("endpoint").context("endpoint: expected a text")?;
    let address: SocketAddr = endpoint.parse().with_context(|| format!("endpoint: {endpoint:?}"))?;
    let standing = match text("state") {
        Some("active") => Standing::Ready,
        Some("leaving") => Standing::Draining,
        Some("left") => Standing::Gone,
        other => bail!("state: {other:?}"),
    };
    let zone = config.zones.iter().position(|zone| Some(zone.as_str()) == text("az"));
    let origin = config.origin_kind.as_deref();
    let model = config.kinds.iter().position(|kind| Some(kind.as_str()) == text("model"));
    let rating = target.get("capacity_hint").and_then(Json::as_f64);
    let listed = Listed {
        identity: identity(uid),
        zone: zone.unwrap_or(config.zones.len()),
        cell: number("pod_group"),
        standing,
        started: number("boot_ms") * MILLIS,
        origin: origin.is_some() && origin == text("model"),
        kind: model.unwrap_or(config.kinds.len()),
        rating: rating.filter(|rating| (0.0..MOST_RATED).contains(rating) && *rating > 0.0).unwrap_or(1.0),
    };
    Ok(Named { uid: uid.to_string(), address, listed })
}
