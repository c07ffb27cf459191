//! The last good set on disk, where the process has a folder for it: one file, written beside the old one, synced and put in
//! its place, with what it is, its version, its length and a checksum. None of it keeps a process from serving.

use crate::fleet::carrier::door::{Door, Event};
use anyhow::{Context, Result, ensure};
use pumicebay_carrier::Kept;
use std::fs::{File, OpenOptions, TryLockError};
use std::io::{ErrorKind, Write};
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::spawn_blocking;
use tokio::time::sleep;

const NAME: &str = "carrier";
const NEW: &str = "carrier.new";
const LOCK: &str = "carrier.lock";
const MAGIC: &[u8; 8] = b"pumicebc";
const VERSION: u32 = 1;
const HEAD: usize = MAGIC.len() + 12;
/// The pause before a disk that failed, or that another process has, is tried again.
const AGAIN: Duration = Duration::from_secs(1);

/// What was kept there, if anything; why not, if it can't be read.
pub fn read(folder: &Path) -> Result<Option<Kept>> {
    match std::fs::read(folder.join(NAME)) {
        Ok(bytes) => decode(&bytes).map(Some).with_context(|| folder.join(NAME).display().to_string()),
        Err(error) if error.kind() == ErrorKind::NotFound => Ok(None),
        Err(error) => Err(error).context(folder.join(NAME).display().to_string()),
    }
}

/// Writes what comes, the newest only, as long as the process lives.
pub async fn run(folder: PathBuf, mut newest: watch::Receiver<Option<Kept>>, door: Door) {
    let (mut lock, mut trouble) = (None, String::new());
    while newest.changed().await.is_ok() {
        loop {
            let Some(kept) = newest.borrow_and_update().clone() else { break };
            let (folder, held, version) = (folder.clone(), lock.take(), kept.version);
            let written = spawn_blocking(move || -> Result<File> {
                let lock = held.map_or_else(|| locked(&folder), Ok)?;
                write(&folder, &kept).map(|()| lock)
            });
            match written.await.context("writing").flatten() {
                Ok(held) => {
                    lock = Some(held);
                    if !std::mem::take(&mut trouble).is_empty() {
                        tracing::info!("carrier: its disk works again, has {version}");
                    }
                    door.say(Event::Kept(version)).await;
                    break;
                }
                Err(error) => {
                    let why = format!("{error:#}");
                    if trouble != why {
                        tracing::error!("carrier: what is in force is not kept: {why}; serving goes on");
                    }
                    trouble = why;
                }
            }
            sleep(AGAIN).await;
        }
    }
}

/// Two processes, one of which takes over from the other, must not both write: the older would put back what is past.
fn locked(folder: &Path) -> Result<File> {
    std::fs::create_dir_all(folder).with_context(|| folder.display().to_string())?;
    let at = folder.join(LOCK);
    let lock = OpenOptions::new().create(true).truncate(false).write(true).open(&at);
    let lock = lock.with_context(|| at.display().to_string())?;
    match lock.try_lock() {
        Ok(()) => Ok(lock),
        Err(TryLockError::WouldBlock) => anyhow::bail!("another process has {}", folder.display()),
        Err(TryLockError::Error(error)) => Err(error).context("lock"),
    }
}

/// Returns once it would survive a loss of power.
fn write(folder: &Path, kept: &Kept) -> Result<()> {
    let new = folder.join(NEW);
    let mut file = File::create(&new).with_context(|| new.display().to_string())?;
    file.write_all(&encode(kept)?)
        .and_then(|()| file.sync_all())
        .with_context(|| new.display().to_string())?;
    std::fs::rename(&new, folder.join(NAME))?;
    File::open(folder)?.sync_all().context("its folder")
}

pub fn encode(kept: &Kept) -> Result<Vec<u8>> {
    let body = postcard::to_stdvec(kept)?;
    let mut bytes = MAGIC.to_vec();
    bytes.extend(VERSION.to_le_bytes());
    bytes.extend(u32::try_from(body.len())?.to_le_bytes());
    bytes.extend(crc32fast::hash(&body).to_le_bytes());
    bytes.extend(body);
    Ok(bytes)
}

/// What a file says, or why it can't be trusted.
pub fn decode(bytes: &[u8]) -> Result<Kept> {
    ensure!(bytes.len() >= HEAD && bytes.starts_with(MAGIC), "no file of the carrier");
    let number =
        |at: usize| bytes[MAGIC.len() + 4 * at..].first_chunk().map_or(0, |four| u32::from_le_bytes(*four));
    let body = &bytes[HEAD..];
    ensure!(number(0) == VERSION, "of version {}, this program reads {VERSION}", number(0));
    ensure!(number(1) as usize == body.len(), "{} bytes where {} were written", body.len(), number(1));
    ensure!(number(2) == crc32fast::hash(body), "its checksum is wrong");
    postcard::from_bytes(body).context("can't be read")
}
