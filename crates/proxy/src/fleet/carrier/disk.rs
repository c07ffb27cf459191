//! The last good set on disk, where the process has a folder for it. None of it keeps a process from serving.

use crate::fleet::carrier::door::{Door, Event};
use crate::fleet::checksummed_file::ChecksummedFile;
use anyhow::{Context, Result};
use pumicebay_carrier::Snapshot;
use std::path::{Path, PathBuf};
use tokio::sync::watch;

const FILE: ChecksummedFile = ChecksummedFile {
    magic: b"pumicebc",
    version: 1,
    wrong_magic_message: "no file of the carrier",
    file_name: "carrier",
    lock_name: "carrier.lock",
};

/// What was kept there, if anything; why not, if it can't be read.
pub fn read(folder: &Path) -> Result<Option<Snapshot>> {
    let Some(bytes) = FILE.read(folder)? else { return Ok(None) };
    decode(&bytes).map(Some).with_context(|| folder.join(FILE.file_name).display().to_string())
}

/// Writes what comes, the newest only, as long as the process lives.
pub async fn run(folder: PathBuf, newest: watch::Receiver<Option<Snapshot>>, door: Door) {
    let written = |kept: Snapshot| {
        let door = door.clone();
        async move { _ = door.say(Event::Kept(kept.version)).await }
    };
    FILE.persist_latest("carrier", folder, newest, written).await;
}

pub fn encode(kept: &Snapshot) -> Result<Vec<u8>> {
    FILE.encode(kept)
}

/// What a file says, or why it can't be trusted.
pub fn decode(bytes: &[u8]) -> Result<Snapshot> {
    FILE.decode(bytes)
}
