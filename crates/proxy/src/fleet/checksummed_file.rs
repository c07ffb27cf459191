//! Files with a header that holds a magic, a format version, the length and a checksum of the body. Writes
//! are atomic: the new file is written next to the old one, synced and renamed over it, and the folder is
//! synced.

use anyhow::{Context, Result, bail, ensure};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::fs::{File, OpenOptions, TryLockError};
use std::io::{ErrorKind, Write};
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::spawn_blocking;
use tokio::time::sleep;

/// The length of the magic.
const MAGIC_BYTES: usize = 8;
/// The length of the header: the magic, then version, body length and CRC-32 as little-endian `u32`.
const HEADER_BYTES: usize = MAGIC_BYTES + 12;
/// The delay before a write is retried after the disk failed or while another process has the lock.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// A kind of file: its format and its names.
#[derive(Clone, Copy, Debug)]
pub struct ChecksummedFile {
    /// The first bytes of the file.
    pub magic: &'static [u8; MAGIC_BYTES],
    /// The format version of the body.
    pub version: u32,
    /// The error message for a file with another magic.
    pub wrong_magic_message: &'static str,
    /// The name of the file in its folder.
    pub file_name: &'static str,
    /// The name of the lock file, which prevents two processes from writing the file.
    pub lock_name: &'static str,
}

impl ChecksummedFile {
    /// Encodes a body together with its header.
    pub fn encode(&self, body: &impl Serialize) -> Result<Vec<u8>> {
        let body = postcard::to_stdvec(body)?;
        let mut bytes = self.magic.to_vec();
        bytes.extend(self.version.to_le_bytes());
        bytes.extend(u32::try_from(body.len())?.to_le_bytes());
        bytes.extend(crc32fast::hash(&body).to_le_bytes());
        bytes.extend(body);
        Ok(bytes)
    }

    /// Decodes a file. Returns an error if the magic, version, length or checksum is wrong, or the body can't
    /// be decoded.
    pub fn decode<T: DeserializeOwned>(&self, bytes: &[u8]) -> Result<T> {
        ensure!(bytes.len() >= HEADER_BYTES && bytes.starts_with(self.magic), self.wrong_magic_message);
        let header_field = |index: usize| {
            bytes[MAGIC_BYTES + 4 * index..].first_chunk().map_or(0, |bytes| u32::from_le_bytes(*bytes))
        };
        let body = &bytes[HEADER_BYTES..];
        ensure!(
            header_field(0) == self.version,
            "format version {} is not supported, expected {}",
            header_field(0),
            self.version
        );
        ensure!(
            header_field(1) as usize == body.len(),
            "the body has {} bytes, expected {}",
            body.len(),
            header_field(1)
        );
        ensure!(header_field(2) == crc32fast::hash(body), "the checksum is wrong");
        postcard::from_bytes(body).context("the body can't be decoded")
    }

    /// Reads the file in `folder`; `None` if it does not exist.
    pub fn read(&self, folder: &Path) -> Result<Option<Vec<u8>>> {
        let path = folder.join(self.file_name);
        match std::fs::read(&path) {
            Ok(bytes) => Ok(Some(bytes)),
            Err(error) if error.kind() == ErrorKind::NotFound => Ok(None),
            Err(error) => Err(error).context(path.display().to_string()),
        }
    }

    /// Replaces the file in `folder` atomically. When it returns, the file survives a power failure.
    pub fn write(&self, folder: &Path, bytes: &[u8]) -> Result<()> {
        let new = folder.join(format!("{}.new", self.file_name));
        let mut file = File::create(&new).with_context(|| new.display().to_string())?;
        file.write_all(bytes).and_then(|()| file.sync_all()).with_context(|| new.display().to_string())?;
        std::fs::rename(&new, folder.join(self.file_name))?;
        sync_folder(folder)
    }

    /// Renames a file that must not be used to `*.aside`. One such file is kept for inspection.
    pub fn set_aside(&self, folder: &Path) -> Result<()> {
        std::fs::rename(folder.join(self.file_name), folder.join(format!("{}.aside", self.file_name)))?;
        sync_folder(folder)
    }

    /// Creates the folder if necessary and locks it until the returned file is dropped; `None` while another
    /// process has the lock.
    pub fn lock(&self, folder: &Path) -> Result<Option<File>> {
        std::fs::create_dir_all(folder).with_context(|| folder.display().to_string())?;
        let path = folder.join(self.lock_name);
        let lock = OpenOptions::new().create(true).truncate(false).write(true).open(&path);
        let lock = lock.with_context(|| path.display().to_string())?;
        match lock.try_lock() {
            Ok(()) => Ok(Some(lock)),
            Err(TryLockError::WouldBlock) => Ok(None),
            Err(TryLockError::Error(error)) => Err(error).context("locking the folder"),
        }
    }

    /// Writes each new value, skipping values that were replaced meanwhile, until the sender is dropped.
    /// `on_written` is called after each write. A failing disk is logged under `owner` and retried; the proxy
    /// keeps serving.
    pub async fn persist_latest<T, W>(
        self,
        owner: &'static str,
        folder: PathBuf,
        mut latest: watch::Receiver<Option<T>>,
        on_written: impl Fn(T) -> W + Send,
    ) where
        T: Serialize + Clone + Send + Sync + 'static,
        W: Future<Output = ()> + Send,
    {
        let (mut lock, mut last_error) = (None, String::new());
        while latest.changed().await.is_ok() {
            loop {
                let Some(value) = latest.borrow_and_update().clone() else { break };
                let (folder, held, body) = (folder.clone(), lock.take(), value.clone());
                let write = spawn_blocking(move || -> Result<File> {
                    let lock = match held {
                        Some(lock) => lock,
                        None => self
                            .lock(&folder)?
                            .with_context(|| format!("another process has locked {}", folder.display()))?,
                    };
                    self.write(&folder, &self.encode(&body)?).map(|()| lock)
                });
                match write.await.context("writing the file").flatten() {
                    Ok(held) => {
                        lock = Some(held);
                        if !std::mem::take(&mut last_error).is_empty() {
                            tracing::info!("{owner}: writing to disk works again");
                        }
                        on_written(value).await;
                        break;
                    }
                    Err(error) => {
                        let error_text = format!("{error:#}");
                        if last_error != error_text {
                            tracing::error!(
                                "{owner}: state can't be written to disk: {error_text}; the proxy keeps serving"
                            );
                        }
                        last_error = error_text;
                    }
                }
                sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Syncs a folder, so that renames in it survive a power failure.
fn sync_folder(folder: &Path) -> Result<()> {
    let Ok(opened) = File::open(folder) else { bail!("folder {} can't be opened", folder.display()) };
    opened.sync_all().context("syncing the folder")
}
