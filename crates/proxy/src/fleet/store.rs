//! A voter's disk: one sealed file, and a lock that keeps two processes from voting from one folder.

use crate::fleet::checksummed_file::Sealed;
use anyhow::Result;
use pumicebay_accord::{DurableState, Fault, planted};
use std::fs::File;
use std::path::{Path, PathBuf};

const FILE: Sealed =
    Sealed { magic: b"pumicebv", version: 1, foreign: "no voter's file", name: "voter", lock: "lock" };

/// What is in a voter's folder.
#[derive(Debug)]
pub enum Found {
    Nothing,
    Whole(Box<DurableState>),
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
        let lock = FILE.lock(folder)?;
        Ok(lock.map(|lock| Disk { folder: folder.into(), _lock: lock }))
    }

    /// Only a file that can't be read at all is an error: it may be whole.
    pub fn read(&self, fleet: &str) -> Result<Found> {
        let Some(bytes) = FILE.read(&self.folder)? else { return Ok(Found::Nothing) };
        Ok(match decode(&bytes) {
            Ok(kept) if kept.fleet != fleet => Found::Spoilt(format!("of fleet {:?}", kept.fleet)),
            Ok(kept) => Found::Whole(Box::new(kept)),
            Err(why) => Found::Spoilt(format!("{why:#}")),
        })
    }

    /// Returns once it would survive a loss of power.
    pub fn write(&self, kept: &DurableState) -> Result<()> {
        if planted(Fault::AnswerBeforeSync) {
            return Ok(());
        }
        FILE.write(&self.folder, &FILE.encode(kept)?)
    }

    /// Puts away what must not vote again; one such file is kept to be looked at.
    pub fn set_aside(&self) -> Result<()> {
        FILE.set_aside(&self.folder)
    }
}

/// What a voter's file says, or why it can't be trusted.
pub fn decode(bytes: &[u8]) -> Result<DurableState> {
    FILE.decode(bytes)
}
