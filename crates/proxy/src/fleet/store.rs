//! A voter's disk: one file, written whole beside the old one, synced, put in its place, and its folder synced. It begins
//! with what it is, its version, its length and a checksum. A lock keeps two processes from voting from one folder.

use anyhow::{Context, Result, ensure};
use pumicebay_accord::{Fault, Kept, planted};
use std::fs::{File, OpenOptions, TryLockError};
use std::io::{ErrorKind, Write};
use std::path::{Path, PathBuf};

const NAME: &str = "voter";
const NEW: &str = "voter.new";
const ASIDE: &str = "voter.aside";
const LOCK: &str = "lock";
const MAGIC: &[u8; 8] = b"pumicebv";
const VERSION: u32 = 1;
const HEAD: usize = MAGIC.len() + 12;

/// What is in a voter's folder.
#[derive(Debug)]
pub enum Found {
    Nothing,
    Whole(Box<Kept>),
    /// Why it can't be trusted.
    Spoilt(String),
}

/// A voter's folder, locked.
#[derive(Debug)]
pub struct Disk {
    folder: PathBuf,
    _lock: File,
}

impl Disk {
    /// `None` while another process has it.
    pub fn open(folder: &Path) -> Result<Option<Disk>> {
        std::fs::create_dir_all(folder).with_context(|| folder.display().to_string())?;
        let lock = OpenOptions::new().create(true).truncate(false).write(true).open(folder.join(LOCK))?;
        match lock.try_lock() {
            Ok(()) => Ok(Some(Disk { folder: folder.into(), _lock: lock })),
            Err(TryLockError::WouldBlock) => Ok(None),
            Err(TryLockError::Error(error)) => Err(error.into()),
        }
    }

    /// Only a file that can't be read at all is an error: it may be whole.
    pub fn read(&self, fleet: &str) -> Result<Found> {
        let bytes = match std::fs::read(self.folder.join(NAME)) {
            Ok(bytes) => bytes,
            Err(error) if error.kind() == ErrorKind::NotFound => return Ok(Found::Nothing),
            Err(error) => return Err(error).context(self.folder.join(NAME).display().to_string()),
        };
        Ok(match decode(&bytes) {
            Ok(kept) if kept.fleet != fleet => Found::Spoilt(format!("of fleet {:?}", kept.fleet)),
            Ok(kept) => Found::Whole(Box::new(kept)),
            Err(why) => Found::Spoilt(format!("{why:#}")),
        })
    }

    /// Returns once it would survive a loss of power.
    pub fn write(&self, kept: &Kept) -> Result<()> {
        if planted(Fault::AnswerBeforeSync) {
            return Ok(());
        }
        let (new, name) = (self.folder.join(NEW), self.folder.join(NAME));
        let mut file = File::create(&new).with_context(|| new.display().to_string())?;
        file.write_all(&encode(kept)?).and_then(|()| file.sync_all()).context("voter's file")?;
        std::fs::rename(&new, &name)?;
        File::open(&self.folder)?.sync_all().context("voter's folder")
    }

    /// Puts away what must not vote again; one such file is kept to be looked at.
    pub fn set_aside(&self) -> Result<()> {
        std::fs::rename(self.folder.join(NAME), self.folder.join(ASIDE))?;
        File::open(&self.folder)?.sync_all().context("voter's folder")
    }
}

fn encode(kept: &Kept) -> Result<Vec<u8>> {
    let body = postcard::to_stdvec(kept)?;
    let mut bytes = MAGIC.to_vec();
    bytes.extend(VERSION.to_le_bytes());
    bytes.extend(u32::try_from(body.len())?.to_le_bytes());
    bytes.extend(crc32fast::hash(&body).to_le_bytes());
    bytes.extend(body);
    Ok(bytes)
}

/// What a voter's file says, or why it can't be trusted.
pub fn decode(bytes: &[u8]) -> Result<Kept> {
    ensure!(bytes.len() >= HEAD && bytes.starts_with(MAGIC), "no voter's file");
    let number =
        |at: usize| bytes[MAGIC.len() + 4 * at..].first_chunk().map_or(0, |four| u32::from_le_bytes(*four));
    let body = &bytes[HEAD..];
    ensure!(number(0) == VERSION, "of version {}, this program reads {VERSION}", number(0));
    ensure!(number(1) as usize == body.len(), "{} bytes where {} were written", body.len(), number(1));
    ensure!(number(2) == crc32fast::hash(body), "its checksum is wrong");
    postcard::from_bytes(body).context("can't be read")
}
