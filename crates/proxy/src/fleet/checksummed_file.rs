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
const HEAD: usize = MAGIC_BYTES + 12;
/// The pause before a disk that failed, or that another process has, is tried again.
const AGAIN: Duration = Duration::from_secs(1);

/// A kind of file.
#[derive(Clone, Copy, Debug)]
pub struct Sealed {
    /// What its files begin with.
    pub magic: &'static [u8; MAGIC_BYTES],
    /// Of its body.
    pub version: u32,
    /// What is said of a file that is none of its kind.
    pub foreign: &'static str,
    /// The name of the file, and of the one that keeps two processes from writing it.
    pub name: &'static str,
    pub lock: &'static str,
}

impl Sealed {
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
        ensure!(bytes.len() >= HEAD && bytes.starts_with(self.magic), self.foreign);
        let number = |at: usize| {
            bytes[MAGIC_BYTES + 4 * at..].first_chunk().map_or(0, |four| u32::from_le_bytes(*four))
        };
        let body = &bytes[HEAD..];
        ensure!(number(0) == self.version, "of version {}, this program reads {}", number(0), self.version);
        ensure!(number(1) as usize == body.len(), "{} bytes where {} were written", body.len(), number(1));
        ensure!(number(2) == crc32fast::hash(body), "its checksum is wrong");
        postcard::from_bytes(body).context("can't be read")
    }

    /// The bytes of the file in this folder; `None` where there is none.
    pub fn read(&self, folder: &Path) -> Result<Option<Vec<u8>>> {
        let path = folder.join(self.name);
        match std::fs::read(&path) {
            Ok(bytes) => Ok(Some(bytes)),
            Err(error) if error.kind() == ErrorKind::NotFound => Ok(None),
            Err(error) => Err(error).context(path.display().to_string()),
        }
    }

    /// Returns once it would survive a loss of power.
    pub fn write(&self, folder: &Path, bytes: &[u8]) -> Result<()> {
        let new = folder.join(format!("{}.new", self.name));
        let mut file = File::create(&new).with_context(|| new.display().to_string())?;
        file.write_all(bytes).and_then(|()| file.sync_all()).with_context(|| new.display().to_string())?;
        std::fs::rename(&new, folder.join(self.name))?;
        sync_folder(folder)
    }

    /// Puts away what can't be trusted; one such file is kept to be looked at.
    pub fn set_aside(&self, folder: &Path) -> Result<()> {
        std::fs::rename(folder.join(self.name), folder.join(format!("{}.aside", self.name)))?;
        sync_folder(folder)
    }

    /// The folder, made if need be and locked as long as this lives; `None` while another process has it.
    pub fn lock(&self, folder: &Path) -> Result<Option<File>> {
        std::fs::create_dir_all(folder).with_context(|| folder.display().to_string())?;
        let at = folder.join(self.lock);
        let lock = OpenOptions::new().create(true).truncate(false).write(true).open(&at);
        let lock = lock.with_context(|| at.display().to_string())?;
        match lock.try_lock() {
            Ok(()) => Ok(Some(lock)),
            Err(TryLockError::WouldBlock) => Ok(None),
            Err(TryLockError::Error(error)) => Err(error).context("lock"),
        }
    }

    /// Writes what comes, the newest only, as long as the process lives; `written` hears of each. Serving goes on whatever
    /// becomes of the disk; `who` says in the log whose it is.
    pub async fn keep_newest<T, W>(
        self,
        who: &'static str,
        folder: PathBuf,
        mut newest: watch::Receiver<Option<T>>,
        written: impl Fn(T) -> W + Send,
    ) where
        T: Serialize + Clone + Send + Sync + 'static,
        W: Future<Output = ()> + Send,
    {
        let (mut lock, mut trouble) = (None, String::new());
        while newest.changed().await.is_ok() {
            loop {
                let Some(kept) = newest.borrow_and_update().clone() else { break };
                let (folder, held, body) = (folder.clone(), lock.take(), kept.clone());
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
                        if !std::mem::take(&mut trouble).is_empty() {
                            tracing::info!("{who}: its disk works again");
                        }
                        written(kept).await;
                        break;
                    }
                    Err(error) => {
                        let why = format!("{error:#}");
                        if trouble != why {
                            tracing::error!("{who}: what it has is not kept: {why}; serving goes on");
                        }
                        trouble = why;
                    }
                }
                sleep(AGAIN).await;
            }
        }
    }
}

fn sync_folder(folder: &Path) -> Result<()> {
    let Ok(opened) = File::open(folder) else { bail!("{}: can't be opened", folder.display()) };
    opened.sync_all().context("its folder")
}
