//! Nodes that operators have taken out of service, by `uid`. Each is a file in the proxy's private folder, so that a
//! process that serves beside this one, or comes after it, keeps the same bans: whoever is called writes, both look.

use crate::desk::{Desk, Whose};
use crate::fleet::replication::handle::{Handle, NotGiven, Order, Ordered};
use pumicebay_accord::{FenceCheck, FencingTokens, Token};
use pumicebay_replication::{Lease, Refusal, Service, Stamp};
use std::collections::BTreeSet;
use std::io::ErrorKind;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{MissedTickBehavior, interval};

/// A file's name is this, which has the version, and the `uid` in hex.
const NAME: &str = "pumicebay-ban-1-";
/// One that was put back leaves a file of this name: a successor takes the node for as cold as this process does.
const BACK: &str = "pumicebay-back-1-";
/// The highest token seen of a lease: this, the lease in hex, `-` and the token.
const FENCE: &str = "pumicebay-fence-1-";
/// How often the folder is looked through; a ban from another process acts so much later.
const LOOK: Duration = Duration::from_millis(100);
const MAILBOX: usize = 64;
/// No `uid` is longer: file names end at 255 bytes.
const LONGEST_UID: usize = 110;
/// No lease that a call names is longer, for the same reason.
pub const LONGEST_LEASE: usize = 100;

/// What became of a call.
#[derive(Debug, PartialEq, Eq)]
pub enum Asked {
    Done,
    /// It holds here, and goes on to the others of the group under this stamp.
    Ordered(Stamp),
    /// An order under a lease stands against it.
    Refused(String),
    Unknown,
    Origin,
    /// It came under this lease, which has gone on to this token.
    Late(String, Token),
    Failed(String),
}

impl Asked {
    /// What became of a call about this node, in words.
    pub fn words(&self, who: &str, out: bool) -> String {
        match self {
            Asked::Done | Asked::Ordered(_) if out => format!("{who} gets nothing more"),
            Asked::Done | Asked::Ordered(_) => format!("{who} is back"),
            Asked::Unknown => format!("no cache node {who:?} is known"),
            Asked::Origin => format!("{who} is the origin, not a cache node"),
            Asked::Late(lease, token) => format!("{lease} has gone on to token {token}"),
            Asked::Refused(why) => format!("{who}: {why}"),
            Asked::Failed(error) => format!("{who}: could not be kept: {error}"),
        }
    }
}

/// An id, whether it goes out, the lease and token that the caller acts under, and where the answer is awaited.
pub struct Call {
    uid: String,
    out: bool,
    under: Option<(String, Token)>,
    done: oneshot::Sender<Asked>,
}

/// The way to the actor.
#[derive(Clone)]
pub struct Maintenance(mpsc::Sender<Call>);

impl Maintenance {
    /// Takes a node out of service or puts it back; answers once that holds.
    pub async fn ask(&self, uid: String, out: bool, under: Option<(String, Token)>) -> Asked {
        let (done, answer) = oneshot::channel();
        let gone = || Asked::Failed("the proxy ends".into());
        if self.0.send(Call { uid, out, under, done }).await.is_err() {
            return gone();
        }
        answer.await.unwrap_or_else(|_| gone())
    }
}

pub fn maintenance() -> (Maintenance, mpsc::Receiver<Call>) {
    let (calls, mailbox) = mpsc::channel(MAILBOX);
    (Maintenance(calls), mailbox)
}

/// The actor that keeps the bans; calls and what other processes wrote take their turns here.
pub struct Bans {
    pub desk: Desk,
    /// Without a folder, bans hold for this process alone.
    pub folder: Option<PathBuf>,
    /// Those that the module has been told of.
    pub out: BTreeSet<String>,
    /// What calls under leases brought.
    pub fences: FencingTokens,
    /// Where orders are replicated: the way to the replica, and what holds by all orders.
    pub replication: Option<Replication>,
}

/// What is replicated of maintenance.
pub struct Replication {
    pub handle: Handle,
    pub ordered: watch::Receiver<Ordered>,
}

impl Bans {
    pub async fn run(mut self, mut calls: mpsc::Receiver<Call>) {
        let mut look = interval(LOOK);
        look.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                biased;
                call = calls.recv() => match call {
                    Some(Call { uid, out, under, done }) => {
                        let _ = done.send(self.called(uid, out, under).await);
                    }
                    None => return,
                },
                ordered = ordered(&mut self.replication) => self.carry_out(ordered).await,
                _ = look.tick() => self.look().await,
            }
        }
    }

    async fn called(&mut self, uid: String, out: bool, under: Option<(String, Token)>) -> Asked {
        match self.desk.whose(uid.clone()).await {
            Whose::Cache => {}
            // One that discovery has dropped since can be put back all the same.
            Whose::Nobody if self.out.contains(&uid) => {}
            Whose::Nobody => return Asked::Unknown,
            Whose::Origin => return Asked::Origin,
        }
        let order_lease = under.clone().map(|(name, token)| Lease { name, token });
        // Who held the lease before, and was stopped in the middle of its work, must not undo the next one's.
        if let Some((lease, token)) = under {
            match self.fence(&lease, token) {
                Ok(FenceCheck::Current) => {}
                Ok(FenceCheck::Superseded(highest)) => return Asked::Late(lease, highest),
                Ok(FenceCheck::TooManyLeases) => return Asked::Failed("too many leases are known".into()),
                Err(error) => return Asked::Failed(error.to_string()),
            }
        }
        let given = match &self.replication {
            Some(replication) => match replication.give(&uid, out, order_lease).await {
                Ok(stamp) => Some(stamp),
                Err(refused) => return refused,
            },
            None => None,
        };
        // Kept before it acts: a successor that starts now must find it.
        if let Err(error) = self.keep(&uid, out) {
            tracing::error!("maintenance: {uid}: {error}");
            return Asked::Failed(error.to_string());
        }
        self.tell(uid, out).await;
        given.map_or(Asked::Done, Asked::Ordered)
    }

    /// Carries out what holds by the orders of the group.
    async fn carry_out(&mut self, ordered: Ordered) {
        for (uid, service) in ordered.services {
            let out = service == Service::Out;
            if self.out.contains(&uid) == out {
                continue;
            }
            if let Err(error) = self.keep(&uid, out) {
                tracing::error!("maintenance: {uid} is not kept over a restart: {error}");
            }
            self.tell(uid, out).await;
        }
        if let Some(replication) = &self.replication {
            replication.handle.applied(ordered.revision);
        }
    }

    /// Whether a call under this token may act; if so it is on disk before it does, as the lease goes on over a loss of
    /// power too.
    fn fence(&mut self, lease: &str, token: Token) -> std::io::Result<FenceCheck> {
        let folder = self.folder.as_deref();
        let seen = folder.map(read_fences).transpose()?.unwrap_or_default();
        seen.iter().for_each(|(lease, token)| self.fences.observe(lease, *token));
        let passage = self.fences.check(lease, token);
        if passage == FenceCheck::Current {
            if let Some(folder) = folder.filter(|_| !seen.contains(&(lease.into(), token))) {
                let name = |token: Token| folder.join(format!("{FENCE}{}-{token}", hex(lease)));
                std::fs::File::create(name(token))?;
                std::fs::File::open(folder)?.sync_all()?;
                let lower = seen.iter().filter(|(of, lower)| of == lease && *lower < token);
                lower.for_each(|(_, lower)| _ = std::fs::remove_file(name(*lower)));
            }
            self.fences.observe(lease, token);
        }
        Ok(passage)
    }

    async fn tell(&mut self, uid: String, out: bool) {
        if out {
            self.out.insert(uid.clone());
        } else {
            self.out.remove(&uid);
        }
        self.desk.maintained(uid, out).await;
    }

    fn keep(&self, uid: &str, out: bool) -> std::io::Result<()> {
        let Some(folder) = &self.folder else { return Ok(()) };
        if uid.len() > LONGEST_UID {
            return Err(std::io::Error::new(ErrorKind::InvalidInput, "id too long"));
        }
        let (ban, back) =
            (folder.join(format!("{NAME}{}", hex(uid))), folder.join(format!("{BACK}{}", hex(uid))));
        let (new, old) = if out { (ban, back) } else { (back, ban) };
        // All there is to each is the name and its time: there at once and whole.
        std::fs::File::create(new)?;
        std::fs::remove_file(old).or_else(|e| if e.kind() == ErrorKind::NotFound { Ok(()) } else { Err(e) })
    }

    /// Takes over what another process wrote.
    async fn look(&mut self) {
        let Some(there) = self.folder.as_deref().map(|folder| read(folder, NAME)) else { return };
        let there = match there {
            Ok(there) => there,
            Err(error) => return tracing::debug!("maintenance: {error}"),
        };
        let changed: Vec<String> = there.symmetric_difference(&self.out).cloned().collect();
        for uid in changed {
            let out = there.contains(&uid);
            self.tell(uid, out).await;
        }
    }
}

impl Replication {
    /// Gives an order, or says why not.
    async fn give(&self, uid: &str, out: bool, lease: Option<Lease>) -> Result<Stamp, Asked> {
        let service = if out { Service::Out } else { Service::In };
        let name = lease.as_ref().map(|lease| lease.name.clone()).unwrap_or_default();
        let order = Order { node: uid.into(), service, lease };
        self.handle.give(order).await.map_err(|not_given| match not_given {
            NotGiven::Refused(Refusal::Late { token }) => Asked::Late(name, token),
            NotGiven::Refused(refusal) => Asked::Refused(refusal.to_string()),
            NotGiven::NotOnDisk => {
                Asked::Failed("it holds and goes on to the others, but is not on this disk".into())
            }
            NotGiven::Ended => Asked::Failed("the proxy ends".into()),
        })
    }
}

/// What holds by the orders, once that has changed.
async fn ordered(replication: &mut Option<Replication>) -> Ordered {
    if let Some(replication) = replication
        && replication.ordered.changed().await.is_ok()
    {
        return replication.ordered.borrow_and_update().clone();
    }
    std::future::pending().await
}

/// What a process finds when it starts: the nodes that are out, and those put back for less than this time.
pub fn found(folder: &Path, cold: Duration) -> std::io::Result<(BTreeSet<String>, BTreeSet<String>)> {
    let fresh = |uid: &String| {
        let file = std::fs::metadata(folder.join(format!("{BACK}{}", hex(uid))));
        let since = file.and_then(|file| file.modified()).ok().and_then(|time| time.elapsed().ok());
        since.is_some_and(|since| since < cold)
    };
    let back = read(folder, BACK)?;
    Ok((read(folder, NAME)?, back.into_iter().filter(fresh).collect()))
}

/// The ids that files of this kind name. Files that are none of ours are passed over.
fn read(folder: &Path, kind: &str) -> std::io::Result<BTreeSet<String>> {
    let mut uids = BTreeSet::new();
    for uid in names(folder, kind)? {
        match unhex(&uid) {
            Some(uid) => _ = uids.insert(uid),
            None => tracing::debug!("maintenance: {uid:?} is no file of ours"),
        }
    }
    Ok(uids)
}

/// Leases and tokens that files name; a lease may have several while one is taken away.
fn read_fences(folder: &Path) -> std::io::Result<Vec<(String, Token)>> {
    let seen = |name: String| {
        let (lease, token) = name.split_once('-')?;
        unhex(lease).zip(token.parse().ok())
    };
    Ok(names(folder, FENCE)?.into_iter().filter_map(seen).collect())
}

/// What follows in the names of files that begin so.
fn names(folder: &Path, kind: &str) -> std::io::Result<Vec<String>> {
    let mut names = Vec::new();
    for entry in std::fs::read_dir(folder)? {
        let name = entry?.file_name();
        names.extend(name.to_str().and_then(|name| name.strip_prefix(kind)).map(str::to_string));
    }
    Ok(names)
}

fn hex(uid: &str) -> String {
    uid.bytes().map(|byte| format!("{byte:02x}")).collect()
}

fn unhex(text: &str) -> Option<String> {
    let pair = |at: usize| u8::from_str_radix(text.get(at..at + 2)?, 16).ok();
    let bytes: Option<Vec<u8>> = (0..text.len()).step_by(2).map(pair).collect();
    String::from_utf8(bytes?).ok().filter(|uid| !uid.is_empty())
}
