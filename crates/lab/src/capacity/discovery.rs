//! A stand-in for the discovery service, with a list that changes at a given rate and counters of what it sends.

use crate::real::http::{Response, ServerCodec};
use futures_util::{SinkExt, StreamExt};
use serde_json::{Value as Json, json};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{MissedTickBehavior, interval, timeout};
use tokio_util::codec::Framed;

/// The path at which discovery serves its list.
const LIST_PATH: &str = "/registry/instances";

/// The list of the discovery stand-in, with counters of its answers.
pub struct Registry {
    /// The address of the only node, if that node exists.
    cache: Option<SocketAddr>,
    /// For each node: the version at which it last changed, whether it is active, and when it started, as a
    /// version.
    entries: std::sync::Mutex<Vec<(u64, bool, u64)>>,
    version: watch::Sender<u64>,
    /// Bytes in the bodies of all answers.
    pub bytes: AtomicU64,
    /// Bytes of the last complete list.
    pub list_bytes: AtomicU64,
    /// Number of watch calls, which ask for changes after a version.
    pub watches: AtomicU64,
    /// Number of answers to them that reported a change.
    pub change_answers: AtomicU64,
}

impl Registry {
    /// A list of so many nodes, all active. `cache`: the address of the only one, if that node exists.
    pub fn new(nodes: usize, cache: Option<SocketAddr>) -> Registry {
        Registry {
            cache,
            entries: std::sync::Mutex::new(vec![(1, true, 0); nodes]),
            version: watch::Sender::new(1),
            bytes: AtomicU64::new(0),
            list_bytes: AtomicU64::new(0),
            watches: AtomicU64::new(0),
            change_answers: AtomicU64::new(0),
        }
    }

    /// The entries that changed after a version, or all of them.
    fn list(&self, since: Option<u64>) -> Json {
        let entries = self.entries.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        let changed =
            entries.iter().enumerate().filter(|(_, entry)| since.is_none_or(|since| entry.0 > since));
        let targets: Vec<Json> = changed.map(|(number, entry)| target(number, entry, self.cache)).collect();
        json!({"rev": *self.version.borrow(), "all": since.is_none(), "targets": targets})
    }

    /// Makes one change: with an even count a node starts to leave, with the next count it is back as a new
    /// process.
    fn change(&self, count: u64) {
        let mut entries = self.entries.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        let version = *self.version.borrow() + 1;
        let number = (count / 2) as usize % entries.len().max(1);
        if let Some(entry) = entries.get_mut(number) {
            let active = count % 2 == 1;
            *entry = (version, active, if active { version } else { entry.2 });
        }
        drop(entries);
        self.version.send_replace(version);
    }
}

/// A node's entry in the list.
fn target(number: usize, &(_, active, started): &(u64, bool, u64), cache: Option<SocketAddr>) -> Json {
    // Nothing listens at these addresses: an idle proxy does not connect to nodes.
    let unused = || format!("127.{}.{}.1:7001", 1 + number / 250, 1 + number % 250);
    let address = cache.map_or_else(unused, |cache| cache.to_string());
    json!({
        "uid": format!("node-{number:05}"),
        "endpoint": address,
        "az": format!("z{}", 1 + number % 52),
        "model": "cache",
        "pod_group": 0,
        "state": if active { "active" } else { "leaving" },
        "boot_ms": started,
    })
}

/// Changes the list at this rate, per second, until it is aborted.
pub async fn change_regularly(registry: Arc<Registry>, changes: f64) {
    let mut due = interval(Duration::from_secs_f64(1.0 / changes));
    due.set_missed_tick_behavior(MissedTickBehavior::Burst);
    let mut count = 0;
    loop {
        due.tick().await;
        registry.change(count);
        count += 1;
    }
}

/// Accepts connections as the discovery service.
pub async fn serve_discovery(registry: Arc<Registry>, listener: TcpListener) {
    while let Ok((stream, _)) = listener.accept().await {
        let _ = stream.set_nodelay(true);
        let registry = registry.clone();
        tokio::spawn(async move { serve_connection(&registry, stream).await });
    }
}

/// Answers the requests of one connection; a watch call is held until the list changes or its wait ends.
async fn serve_connection(registry: &Registry, stream: TcpStream) {
    let mut framed = Framed::new(stream, ServerCodec);
    while let Some(Ok(request)) = framed.next().await {
        let since = request.query("index").filter(|_| request.path.starts_with(LIST_PATH));
        if let Some(since) = since {
            registry.watches.fetch_add(1, Ordering::Relaxed);
            let mut versions = registry.version.subscribe();
            let max_wait = Duration::from_millis(request.query("wait").unwrap_or(0).min(60_000));
            let changed = async { versions.wait_for(|version| *version > since).await.is_ok() };
            if timeout(max_wait, changed).await.unwrap_or(false) {
                registry.change_answers.fetch_add(1, Ordering::Relaxed);
            }
        }
        let body = registry.list(since).to_string();
        registry.bytes.fetch_add(body.len() as u64, Ordering::Relaxed);
        if since.is_none() {
            registry.list_bytes.store(body.len() as u64, Ordering::Relaxed);
        }
        if framed.send(Response { status: 200, header: None, body: body.into() }).await.is_err() {
            return;
        }
    }
}
