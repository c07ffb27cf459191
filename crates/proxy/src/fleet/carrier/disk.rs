//! The snapshot file with the last good set of resources, if a folder is configured. A failure here never
//! stops the process from serving.

use crate::fleet::carrier::handle::{Event, Handle};
use crate::fleet::checksummed_file::ChecksummedFile;
use anyhow::{Context, Result};
use pumicebay_carrier::Snapshot;
use std::path::{Path, PathBuf};
use tokio::sync::watch;

const FILE: ChecksummedFile = ChecksummedFile {
    magic: b"pumicebc",
    version: 1,
    wrong_magic_message: "not a snapshot file of the carrier",
    file_name: "carrier",
    lock_name: "carrier.lock",
};

/// Reads the snapshot from the folder; `None` if there is no file, an error if it cannot be read or is
/// corrupt.
pub fn read(folder: &Path) -> Result<Option<Snapshot>> {
    let Some(bytes) = FILE.read(folder)? else { return Ok(None) };
    decode(&bytes).map(Some).with_context(|| folder.join(FILE.file_name).display().to_string())
}

/// Writes the newest snapshot whenever it changes, until the process ends. Intermediate ones may be skipped.
pub async fn run(folder: PathBuf, newest: watch::Receiver<Option<Snapshot>>, handle: Handle) {
    let written = |snapshot: Snapshot| {
        let handle = handle.clone();
        async move { _ = handle.send(Event::Persisted(snapshot.version)).await }
    };
    FILE.persist_latest("carrier", folder, newest, written).await;
}

/// The bytes of the snapshot file.
pub fn encode(snapshot: &Snapshot) -> Result<Vec<u8>> {
    FILE.encode(snapshot)
}

/// Decodes the bytes of a snapshot file; an error if they are corrupt or of another version.
pub fn decode(bytes: &[u8]) -> Result<Snapshot> {
    FILE.decode(bytes)
}
