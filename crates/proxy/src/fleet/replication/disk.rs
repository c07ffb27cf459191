//! The replica's copy on disk, where the process has a folder for it. None of it keeps a process from serving.

use crate::fleet::checksummed_file::ChecksummedFile;
use crate::fleet::replication::handle::{Event, Handle};
use anyhow::{Context, Result};
use pumicebay_replication::Snapshot;
use std::path::{Path, PathBuf};
use tokio::sync::watch;

const FILE: ChecksummedFile = ChecksummedFile {
    magic: b"pumicebr",
    version: 1,
    wrong_magic_message: "no file of replication",
    file_name: "replica",
    lock_name: "replica.lock",
};

/// The copy that was kept there. One that can't be read, or that is another process's, is set aside with a line in the
/// log.
pub fn read(folder: &Path, name: &str) -> Option<Snapshot> {
    let found = FILE.read(folder).and_then(|bytes| bytes.map(|bytes| whose(&bytes, name)).transpose());
    match found {
        Ok(kept) => kept,
        Err(error) => {
            tracing::error!("replication: the copy on disk is not used: {error:#}");
            if let Err(error) = FILE.set_aside(folder) {
                tracing::error!("replication: it can't be set aside: {error:#}");
            }
            None
        }
    }
}

fn whose(bytes: &[u8], name: &str) -> Result<Snapshot> {
    let kept: Snapshot = FILE.decode(bytes).with_context(|| FILE.file_name.to_string())?;
    anyhow::ensure!(kept.name == name, "it is {}'s", kept.name);
    Ok(kept)
}

/// Writes what comes, the newest only, as long as the process lives.
pub async fn run(folder: PathBuf, newest: watch::Receiver<Option<Snapshot>>, handle: Handle) {
    let written = |kept: Snapshot| {
        let handle = handle.clone();
        async move { _ = handle.say(Event::Kept(Box::new(kept))).await }
    };
    FILE.persist_latest("replication", folder, newest, written).await;
}
