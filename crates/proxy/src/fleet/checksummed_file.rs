//! Files of this program's own: what a file is, its version, its length and a checksum stand before its body. A file is
//! written whole beside the old one, synced, put in its place, and its folder synced: it is there whole or not at all.

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

const MAGIC_BYTES: usize = 8;
const HEADER_BYTES: usize = MAGIC_BYTES + 12;
/// The pause before a disk that failed, or that another process has, is tried again.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// A kind of file.
#[derive(Clone, Copy, Debug)]
pub struct ChecksummedFile {
    /// What its files begin with.
    pub magic: &'static [u8; MAGIC_BYTES],
    /// Of its body.
    pub version: u32,
    /// What is said of a file that is none of its kind.
    pub wrong_magic_message: &'static str,
    /// The name of the file, and of the one that keeps two processes from writing it.
    pub file_name: &'static str,
    pub lock_name: &'static str,
}

impl ChecksummedFile {
    /// The bytes of a file.
    pub fn encode(&self, body: &impl Serialize) -> Result<Vec<u8>> {
        let body = postcard::to_stdvec(body)?;
        let mut bytes = self.magic.to_vec();
        bytes.extend(self.version.to_le_bytes());
        bytes.extend(u32::try_from(body.len())?.to_le_bytes());
        bytes.extend(crc32fast::hash(&body).to_le_bytes());
        bytes.extend(body);
        Ok(bytes)
    }

    /// What a file says, or why it can't be trusted.
    pub fn decode<T: DeserializeOwned>(&self, bytes: &[u8]) -> Result<T> {
        ensure!(bytes.len() >= HEADER_BYTES && bytes.starts_with(self.magic), self.wrong_magic_message);
        let header_field = |index: usize| {
            bytes[MAGIC_BYTES + 4 * index..].first_chunk().map_or(0, |bytes| u32::from_le_bytes(*bytes))
        };
        let body = &bytes[HEADER_BYTES..];
        ensure!(
            header_field(0) == self.version,
            "of version {}, this program reads {}",
            header_field(0),
            self.version
        );
        ensure!(
            header_field(1) as usize == body.len(),
            "{} bytes where {} were written",
            body.len(),
            header_field(1)
        );
        ensure!(header_field(2) == crc32fast::hash(body), "its checksum is wrong");
        postcard::from_bytes(body).context("can't be read")
    }

    /// The bytes of the file in this folder; `None` where there is none.
    pub fn read(&self, folder: &Path) -> Result<Option<Vec<u8>>> {
        let path = folder.join(self.file_name);
        match std::fs::read(&path) {
            Ok(bytes) => Ok(Some(bytes)),
            Err(error) if error.kind() == ErrorKind::NotFound => Ok(None),
            Err(error) => Err(error).context(path.display().to_string()),
        }
    }

    /// Returns once it would survive a loss of power.
    pub fn write(&self, folder: &Path, bytes: &[u8]) -> Result<()> {
        let new = folder.join(format!("{}.new", self.file_name));
        let mut file = File::create(&new).with_context(|| new.display().to_string())?;
        file.write_all(bytes).and_then(|()| file.sync_all()).with_context(|| new.display().to_string())?;
        std::fs::rename(&new, folder.join(self.file_name))?;
        sync_folder(folder)
    }

    /// Puts away what can't be trusted; one such file is kept to be looked at.
    pub fn set_aside(&self, folder: &Path) -> Result<()> {
        std::fs::rename(folder.join(self.file_name), folder.join(format!("{}.aside", self.file_name)))?;
        sync_folder(folder)
    }

    /// The folder, made if need be and locked as long as this lives; `None` while another process has it.
    pub fn lock(&self, folder: &Path) -> Result<Option<File>> {
        std::fs::create_dir_all(folder).with_context(|| folder.display().to_string())?;
        let path = folder.join(self.lock_name);
        let lock = OpenOptions::new().create(true).truncate(false).write(true).open(&path);
        let lock = lock.with_context(|| path.display().to_string())?;
        match lock.try_lock() {
            Ok(()) => Ok(Some(lock)),
            Err(TryLockError::WouldBlock) => Ok(None),
            Err(TryLockError::Error(error)) => Err(error).context("lock"),
        }
    }

    /// Writes what comes, the newest only, as long as the process lives; `written` hears of each. Serving goes on whatever
    /// becomes of the disk; `who` says in the log whose it is.
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
                            .with_context(|| format!("another process has {}", folder.display()))?,
                    };
                    self.write(&folder, &self.encode(&body)?).map(|()| lock)
                });
                match write.await.context("writing").flatten() {
                    Ok(held) => {
                        lock = Some(held);
                        if !std::mem::take(&mut last_error).is_empty() {
                            tracing::info!("{owner}: its disk works again");
                        }
                        on_written(value).await;
                        break;
                    }
                    Err(error) => {
                        let error_text = format!("{error:#}");
                        if last_error != error_text {
                            tracing::error!(
                                "{owner}: what it has is not kept: {error_text}; serving goes on"
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

fn sync_folder(folder: &Path) -> Result<()> {
    let Ok(opened) = File::open(folder) else { bail!("{}: can't be opened", folder.display()) };
    opened.sync_all().context("its folder")
}
