//! A voter's disk: one sealed file, and a lock that keeps two processes from voting from one folder.

use crate::fleet::checksummed_file::ChecksummedFile;
use anyhow::Result;
use pumicebay_accord::{DurableState, Fault, planted};
use std::fs::File;
use std::path::{Path, PathBuf};

const FILE: ChecksummedFile = ChecksummedFile {
    magic: b"pumicebv",
    version: 1,
    wrong_magic_message: "no voter's file",
    file_name: "voter",
    lock_name: "lock",
};

/// What is in a voter's folder.
#[derive(Debug)]
pub enum DiskContents {
    Empty,
    Valid(Box<DurableState>),
    /// Why it can't be trusted.
    Corrupt(String),
}

/// A voter's folder, locked.
#[derive(Debug)]
pub struct VoterDisk {
    folder: PathBuf,
    _lock: File,
}

impl VoterDisk {
    /// `None` while another process has it.
    pub fn open(folder: &Path) -> Result<Option<VoterDisk>> {
        let lock = FILE.lock(folder)?;
        Ok(lock.map(|lock| VoterDisk { folder: folder.into(), _lock: lock }))
    }

    /// Only a file that can't be read at all is an error: it may be whole.
    pub fn read(&self, fleet: &str) -> Result<DiskContents> {
        let Some(bytes) = FILE.read(&self.folder)? else { return Ok(DiskContents::Empty) };
        Ok(match decode(&bytes) {
            Ok(state) if state.fleet != fleet => DiskContents::Corrupt(format!("of fleet {:?}", state.fleet)),
            Ok(state) => DiskContents::Valid(Box::new(state)),
            Err(error) => DiskContents::Corrupt(format!("{error:#}")),
        })
    }

    /// Returns once it would survive a loss of power.
    pub fn write(&self, state: &DurableState) -> Result<()> {
        if planted(Fault::AnswerBeforeSync) {
            return Ok(());
        }
        FILE.write(&self.folder, &FILE.encode(state)?)
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
