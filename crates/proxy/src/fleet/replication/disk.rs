//! The replica's copy on disk, if a folder is configured. A failure here never stops the process from
//! serving.

use crate::fleet::checksummed_file::ChecksummedFile;
use crate::fleet::replication::handle::{Event, Handle};
use anyhow::{Context, Result};
use pumicebay_replication::Snapshot;
use std::path::{Path, PathBuf};
use tokio::sync::watch;

const FILE: ChecksummedFile = ChecksummedFile {
    magic: b"pumicebr",
    version: 1,
    wrong_magic_message: "not a replica file",
    file_name: "replica",
    lock_name: "replica.lock",
};

/// Reads the copy from the folder; `None` if there is no usable one. A copy that cannot be read, or that
/// belongs to another process, is logged and set aside.
pub fn read(folder: &Path, name: &str) -> Option<Snapshot> {
    let snapshot =
        FILE.read(folder).and_then(|bytes| bytes.map(|bytes| decode_own(&bytes, name)).transpose());
    match snapshot {
        Ok(snapshot) => snapshot,
        Err(error) => {
            tracing::error!("replication: the copy on disk is not used: {error:#}");
            if let Err(error) = FILE.set_aside(folder) {
                tracing::error!("replication: the copy on disk cannot be set aside: {error:#}");
            }
            None
        }
    }
}

fn decode_own(bytes: &[u8], name: &str) -> Result<Snapshot> {
    let snapshot: Snapshot = FILE.decode(bytes).with_context(|| FILE.file_name.to_string())?;
    anyhow::ensure!(snapshot.name == name, "it belongs to {}", snapshot.name);
    Ok(snapshot)
}

/// Writes the newest snapshot whenever it changes, until the process ends. Intermediate ones may be skipped.
pub async fn run(folder: PathBuf, newest: watch::Receiver<Option<Snapshot>>, handle: Handle) {
    let written = |snapshot: Snapshot| {
        let handle = handle.clone();
        async move { _ = handle.send(Event::Persisted(Box::new(snapshot))).await }
    };
    FILE.persist_latest("replication", folder, newest, written).await;
}
