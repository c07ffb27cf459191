//! Nodes that operators have taken out of service, by `uid`. Each is a file in the proxy's private folder, so that a
//! process that serves beside this one or comes after it takes the same nodes out: the process that gets the call writes
//! the file, and every process reads the folder.

use crate::control::{ControlHandle, NodeKind};
use crate::fleet::replication::handle::{Handle, IssueError, NewOrder, ServiceStates};
use pumicebay_accord::{FenceCheck, FencingTokens, Token};
use pumicebay_replication::{Lease, Refusal, ServiceState, Stamp};
use std::collections::BTreeSet;
use std::io::ErrorKind;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{MissedTickBehavior, interval};

/// Start of the name of the file for a node that is out of service, with the version of the format; the node's `uid` in
/// hex follows.
const OUT_FILE_PREFIX: &str = "pumicebay-ban-1-";
/// Start of the name of the file for a node that was put back. Its age tells a successor how long ago that was, so that
/// it treats the node as cold for as long as this process does.
const RETURNED_FILE_PREFIX: &str = "pumicebay-back-1-";
/// Start of the name of the file for the highest token seen of a lease; the lease in hex, `-` and the token follow.
const FENCE_FILE_PREFIX: &str = "pumicebay-fence-1-";
/// How often the folder is read, and thus how long a call to another process may take to act here.
const SCAN_INTERVAL: Duration = Duration::from_millis(100);
/// How many calls may wait for the actor.
const MAILBOX: usize = 64;
/// The longest `uid` in bytes: file names are limited to 255 bytes.
const MAX_UID_BYTES: usize = 110;
/// The longest lease name in bytes, for the same reason.
pub const MAX_LEASE_BYTES: usize = 100;

/// The result of a maintenance call.
#[derive(Debug, PartialEq, Eq)]
pub enum MaintenanceResult {
    /// Done at this proxy.
    Done,
    /// Done at this proxy, and replicated to the others of the group as the order with this stamp.
    Replicated(Stamp),
    /// Refused because an order under a lease stands against it.
    Refused(String),
    /// No node with this uid is known.
    UnknownNode,
    /// The node is the origin, which cannot be taken out of service.
    IsOrigin,
    /// The token is out of date: this lease has moved on to this token.
    StaleToken(String, Token),
    /// The call failed for this reason.
    Failed(String),
}

impl MaintenanceResult {
    /// The text of the answer to the operator. `out_of_service` is what the call asked for.
    pub fn message(&self, uid: &str, out_of_service: bool) -> String {
        match self {
            MaintenanceResult::Done | MaintenanceResult::Replicated(_) if out_of_service => {
                format!("{uid} gets nothing more")
            }
            MaintenanceResult::Done | MaintenanceResult::Replicated(_) => format!("{uid} is back"),
            MaintenanceResult::UnknownNode => format!("no cache node {uid:?} is known"),
            MaintenanceResult::IsOrigin => format!("{uid} is the origin, not a cache node"),
            MaintenanceResult::StaleToken(lease, token) => format!("{lease} has gone on to token {token}"),
            MaintenanceResult::Refused(why) => format!("{uid}: {why}"),
            MaintenanceResult::Failed(error) => format!("{uid}: could not be kept: {error}"),
        }
    }
}

/// A call that takes a node out of service or puts it back.
pub struct MaintenanceCall {
    uid: String,
    out_of_service: bool,
    /// The lease and token that the caller acts under, if any.
    lease: Option<(String, Token)>,
    reply: oneshot::Sender<MaintenanceResult>,
}

/// A handle to the maintenance actor.
#[derive(Clone)]
pub struct Maintenance(mpsc::Sender<MaintenanceCall>);

impl Maintenance {
    /// Takes a node out of service or puts it back, under a lease and token if the caller has one. Returns once the
    /// change is in effect.
    pub async fn set_service(
        &self,
        uid: String,
        out_of_service: bool,
        lease: Option<(String, Token)>,
    ) -> MaintenanceResult {
        let (reply, result) = oneshot::channel();
        let stopping = || MaintenanceResult::Failed("the proxy ends".into());
        if self.0.send(MaintenanceCall { uid, out_of_service, lease, reply }).await.is_err() {
            return stopping();
        }
        result.await.unwrap_or_else(|_| stopping())
    }
}

/// Creates the handle and the mailbox for [`MaintenanceActor::run`].
pub fn channel() -> (Maintenance, mpsc::Receiver<MaintenanceCall>) {
    let (calls, mailbox) = mpsc::channel(MAILBOX);
    (Maintenance(calls), mailbox)
}

/// The actor that keeps the nodes that are out of service. It handles calls, orders of the group and the files of other
/// processes one at a time.
pub struct MaintenanceActor {
    /// The module, which is told of each change.
    pub control: ControlHandle,
    /// The proxy's private folder; without one the nodes are out of service for this process only.
    pub folder: Option<PathBuf>,
    /// The nodes that the module was told are out of service.
    pub out: BTreeSet<String>,
    /// The highest tokens seen in calls under leases.
    pub fences: FencingTokens,
    /// Set if orders are replicated in a group.
    pub replication: Option<Replication>,
}

/// The replicated part of maintenance.
pub struct Replication {
    /// The handle to the replica.
    pub handle: Handle,
    /// The service state of each node by all orders known.
    pub ordered: watch::Receiver<ServiceStates>,
}

impl MaintenanceActor {
    /// Runs until all handles are dropped.
    pub async fn run(mut self, mut calls: mpsc::Receiver<MaintenanceCall>) {
        let mut scan = interval(SCAN_INTERVAL);
        scan.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                biased;
                call = calls.recv() => match call {
                    Some(MaintenanceCall { uid, out_of_service, lease, reply }) => {
                        let _ = reply.send(self.handle_call(uid, out_of_service, lease).await);
                    }
                    None => return,
                },
                ordered = next_ordered(&mut self.replication) => self.apply_orders(ordered).await,
                _ = scan.tick() => self.scan_folder().await,
            }
        }
    }

    async fn handle_call(
        &mut self,
        uid: String,
        out_of_service: bool,
        lease: Option<(String, Token)>,
    ) -> MaintenanceResult {
        match self.control.node_kind(uid.clone()).await {
            NodeKind::Cache => {}
            // A node that discovery has dropped since it was taken out can still be put back.
            NodeKind::Unknown if self.out.contains(&uid) => {}
            NodeKind::Unknown => return MaintenanceResult::UnknownNode,
            NodeKind::Origin => return MaintenanceResult::IsOrigin,
        }
        let order_lease = lease.clone().map(|(name, token)| Lease { name, token });
        // An earlier holder of the lease that was stopped in the middle of its work must not undo the next one's.
        if let Some((lease, token)) = lease {
            match self.check_fence(&lease, token) {
                Ok(FenceCheck::Current) => {}
                Ok(FenceCheck::Superseded(highest)) => return MaintenanceResult::StaleToken(lease, highest),
                Ok(FenceCheck::TooManyLeases) => {
                    return MaintenanceResult::Failed("too many leases are known".into());
                }
                Err(error) => return MaintenanceResult::Failed(error.to_string()),
            }
        }
        let stamp = match &self.replication {
            Some(replication) => match replication.submit(&uid, out_of_service, order_lease).await {
                Ok(stamp) => Some(stamp),
                Err(refused) => return refused,
            },
            None => None,
        };
        // Saved before it acts, so that a successor that starts now finds it.
        if let Err(error) = self.save(&uid, out_of_service) {
            tracing::error!("maintenance: {uid} could not be saved: {error}");
            return MaintenanceResult::Failed(error.to_string());
        }
        self.update_module(uid, out_of_service).await;
        stamp.map_or(MaintenanceResult::Done, MaintenanceResult::Replicated)
    }

    /// Applies the group's orders to the nodes whose state differs from them.
    async fn apply_orders(&mut self, ordered: ServiceStates) {
        for (uid, service) in ordered.by_node {
            let out_of_service = service == ServiceState::Out;
            if self.out.contains(&uid) == out_of_service {
                continue;
            }
            if let Err(error) = self.save(&uid, out_of_service) {
                tracing::error!(
                    "maintenance: {uid} could not be saved and will be lost at a restart: {error}"
                );
            }
            self.update_module(uid, out_of_service).await;
        }
        if let Some(replication) = &self.replication {
            replication.handle.set_applied_revision(ordered.revision);
        }
    }

    /// Decides whether a call under this token may act. If so, the token is on disk before the call acts, because the
    /// lease outlives a power loss.
    fn check_fence(&mut self, lease: &str, token: Token) -> std::io::Result<FenceCheck> {
        let folder = self.folder.as_deref();
        let seen = folder.map(read_fences).transpose()?.unwrap_or_default();
        seen.iter().for_each(|(lease, token)| self.fences.observe(lease, *token));
        let passage = self.fences.check(lease, token);
        if passage == FenceCheck::Current {
            if let Some(folder) = folder.filter(|_| !seen.contains(&(lease.into(), token))) {
                let path =
                    |token: Token| folder.join(format!("{FENCE_FILE_PREFIX}{}-{token}", encode_hex(lease)));
                std::fs::File::create(path(token))?;
                std::fs::File::open(folder)?.sync_all()?;
                let lower = seen.iter().filter(|(of, lower)| of == lease && *lower < token);
                lower.for_each(|(_, lower)| _ = std::fs::remove_file(path(*lower)));
            }
            self.fences.observe(lease, token);
        }
        Ok(passage)
    }

    async fn update_module(&mut self, uid: String, out_of_service: bool) {
        if out_of_service {
            self.out.insert(uid.clone());
        } else {
            self.out.remove(&uid);
        }
        self.control.set_maintenance(uid, out_of_service).await;
    }

    fn save(&self, uid: &str, out_of_service: bool) -> std::io::Result<()> {
        let Some(folder) = &self.folder else { return Ok(()) };
        if uid.len() > MAX_UID_BYTES {
            return Err(std::io::Error::new(ErrorKind::InvalidInput, "id too long"));
        }
        let (out, returned) = (
            folder.join(format!("{OUT_FILE_PREFIX}{}", encode_hex(uid))),
            folder.join(format!("{RETURNED_FILE_PREFIX}{}", encode_hex(uid))),
        );
        let (new, old) = if out_of_service { (out, returned) } else { (returned, out) };
        // The files are empty; the name and the time say everything, so a file is complete as soon as it exists.
        std::fs::File::create(new)?;
        std::fs::remove_file(old).or_else(|e| if e.kind() == ErrorKind::NotFound { Ok(()) } else { Err(e) })
    }

    /// Applies what other processes wrote into the folder.
    async fn scan_folder(&mut self) {
        let Some(found) = self.folder.as_deref().map(|folder| read_uids(folder, OUT_FILE_PREFIX)) else {
            return;
        };
        let found = match found {
            Ok(found) => found,
            Err(error) => return tracing::debug!("maintenance: the folder cannot be read: {error}"),
        };
        let changed: Vec<String> = found.symmetric_difference(&self.out).cloned().collect();
        for uid in changed {
            let out_of_service = found.contains(&uid);
            self.update_module(uid, out_of_service).await;
        }
    }
}

impl Replication {
    /// Submits an order to the replica. The error is the result of the call.
    async fn submit(
        &self,
        uid: &str,
        out_of_service: bool,
        lease: Option<Lease>,
    ) -> Result<Stamp, MaintenanceResult> {
        let service = if out_of_service { ServiceState::Out } else { ServiceState::In };
        let name = lease.as_ref().map(|lease| lease.name.clone()).unwrap_or_default();
        let order = NewOrder { node: uid.into(), service, lease };
        self.handle.issue(order).await.map_err(|not_given| match not_given {
            IssueError::Refused(Refusal::StaleToken { token }) => MaintenanceResult::StaleToken(name, token),
            IssueError::Refused(refusal) => MaintenanceResult::Refused(refusal.to_string()),
            IssueError::NotPersisted => MaintenanceResult::Failed(
                "it holds and goes on to the others, but is not on this disk".into(),
            ),
            IssueError::ReplicaStopped => MaintenanceResult::Failed("the proxy ends".into()),
        })
    }
}

/// Waits for the next state by all orders; forever if there is no replication.
async fn next_ordered(replication: &mut Option<Replication>) -> ServiceStates {
    if let Some(replication) = replication
        && replication.ordered.changed().await.is_ok()
    {
        return replication.ordered.borrow_and_update().clone();
    }
    std::future::pending().await
}

/// Reads what a process needs at its start: the nodes that are out of service, and those that were put back less than
/// `cold` ago.
///
/// # Errors
/// When the folder cannot be read.
pub fn load(folder: &Path, cold: Duration) -> std::io::Result<(BTreeSet<String>, BTreeSet<String>)> {
    let is_recent = |uid: &String| {
        let file = std::fs::metadata(folder.join(format!("{RETURNED_FILE_PREFIX}{}", encode_hex(uid))));
        let age = file.and_then(|file| file.modified()).ok().and_then(|time| time.elapsed().ok());
        age.is_some_and(|age| age < cold)
    };
    let returned = read_uids(folder, RETURNED_FILE_PREFIX)?;
    Ok((read_uids(folder, OUT_FILE_PREFIX)?, returned.into_iter().filter(is_recent).collect()))
}

/// The uids of all files with this prefix. Files whose names are not valid are skipped.
fn read_uids(folder: &Path, prefix: &str) -> std::io::Result<BTreeSet<String>> {
    let mut uids = BTreeSet::new();
    for uid in name_suffixes(folder, prefix)? {
        match decode_hex(&uid) {
            Some(uid) => _ = uids.insert(uid),
            None => tracing::debug!("maintenance: file ignored: {uid:?} is not a uid in hex"),
        }
    }
    Ok(uids)
}

/// The leases and tokens of all fence files. A lease has several while the file of a lower token is being removed.
fn read_fences(folder: &Path) -> std::io::Result<Vec<(String, Token)>> {
    let parse = |name: String| {
        let (lease, token) = name.split_once('-')?;
        decode_hex(lease).zip(token.parse().ok())
    };
    Ok(name_suffixes(folder, FENCE_FILE_PREFIX)?.into_iter().filter_map(parse).collect())
}

/// The names of all files with this prefix, without the prefix.
fn name_suffixes(folder: &Path, prefix: &str) -> std::io::Result<Vec<String>> {
    let mut names = Vec::new();
    for entry in std::fs::read_dir(folder)? {
        let name = entry?.file_name();
        names.extend(name.to_str().and_then(|name| name.strip_prefix(prefix)).map(str::to_string));
    }
    Ok(names)
}

fn encode_hex(uid: &str) -> String {
    uid.bytes().map(|byte| format!("{byte:02x}")).collect()
}

fn decode_hex(text: &str) -> Option<String> {
    let pair = |at: usize| u8::from_str_radix(text.get(at..at + 2)?, 16).ok();
    let bytes: Option<Vec<u8>> = (0..text.len()).step_by(2).map(pair).collect();
    String::from_utf8(bytes?).ok().filter(|uid| !uid.is_empty())
}
