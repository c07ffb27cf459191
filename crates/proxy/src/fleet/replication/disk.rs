//! The replica's copy on disk, where the process has a folder for it. None of it keeps a process from serving.

use crate::fleet::replication::handle::{Event, Handle};
use crate::fleet::sealed::Sealed;
use anyhow::{Context, Result};
use pumicebay_replication::Snapshot;
use std::path::{Path, PathBuf};
use tokio::sync::watch;

const FILE: Sealed = Sealed {
    magic: b"pumicebr",
    version: 1,
    foreign: "no file of replication",
    name: "replica",
    lock: "replica.lock",
};

/// The copy that was kept there. One that can't be read, or that is another process's, is set aside with a line in the
/// log.
pub fn read(folder: &Path, name: &str) -> Option<Snapshot> {
    let snapshot =
        FILE.read(folder).and_then(|bytes| bytes.map(|bytes| decode_own(&bytes, name)).transpose());
    match snapshot {
        Ok(snapshot) => snapshot,
        Err(error) => {
            tracing::error!("replication: the copy on disk is not used: {error:#}");
            if let Err(error) = FILE.set_aside(folder) {
                tracing::error!("replication: it can't be set aside: {error:#}");
            }
            None
        }
    }
}

fn decode_own(bytes: &[u8], name: &str) -> Result<Snapshot> {
    let snapshot: Snapshot = FILE.decode(bytes).with_context(|| FILE.name.to_string())?;
    anyhow::ensure!(snapshot.name == name, "it is {}'s", snapshot.name);
    Ok(snapshot)
}

/// Writes what comes, the newest only, as long as the process lives.
pub async fn run(folder: PathBuf, newest: watch::Receiver<Option<Snapshot>>, handle: Handle) {
    let written = |snapshot: Snapshot| {
        let handle = handle.clone();
        async move { _ = handle.send(Event::Persisted(Box::new(snapshot))).await }
    };
    FILE.keep_newest("replication", folder, newest, written).await;
}
