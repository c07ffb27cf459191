//! A voter's disk: one checksummed file, and a lock that prevents two processes from voting with the same
//! folder.

use crate::fleet::checksummed_file::ChecksummedFile;
use anyhow::Result;
use pumicebay_accord::{DurableState, Fault, planted};
use std::fs::File;
use std::path::{Path, PathBuf};

/// The format of a voter's file.
const FILE: ChecksummedFile = ChecksummedFile {
    magic: b"pumicebv",
    version: 1,
    wrong_magic_message: "not a voter's file",
    file_name: "voter",
    lock_name: "lock",
};

/// The contents of a voter's folder.
#[derive(Debug)]
pub enum DiskContents {
    /// There is no file.
    Empty,
    /// The state from an intact file.
    Valid(Box<DurableState>),
    /// The file is damaged or belongs to another fleet; the text says why.
    Corrupt(String),
}

/// A voter's folder, locked.
#[derive(Debug)]
pub struct VoterDisk {
    folder: PathBuf,
    _lock: File,
}

impl VoterDisk {
    /// Opens and locks the folder; `None` while another process has the lock.
    pub fn open(folder: &Path) -> Result<Option<VoterDisk>> {
        let lock = FILE.lock(folder)?;
        Ok(lock.map(|lock| VoterDisk { folder: folder.into(), _lock: lock }))
    }

    /// Reads and checks the file. Returns an error only if it can't be read at all, since it may then still
    /// be intact.
    pub fn read(&self, fleet: &str) -> Result<DiskContents> {
        let Some(bytes) = FILE.read(&self.folder)? else { return Ok(DiskContents::Empty) };
        Ok(match decode(&bytes) {
            Ok(state) if state.fleet != fleet => {
                DiskContents::Corrupt(format!("the file belongs to fleet {:?}", state.fleet))
            }
            Ok(state) => DiskContents::Valid(Box::new(state)),
            Err(error) => DiskContents::Corrupt(format!("{error:#}")),
        })
    }

    /// Writes the state. When it returns, the state survives a power failure.
    pub fn write(&self, state: &DurableState) -> Result<()> {
        if planted(Fault::AnswerBeforeSync) {
            return Ok(());
        }
        FILE.write(&self.folder, &FILE.encode(state)?)
    }

    /// Renames a file from which the voter must not vote again. One such file is kept for inspection.
    pub fn set_aside(&self) -> Result<()> {
        FILE.set_aside(&self.folder)
    }
}

/// Decodes a voter's file; an error if it is damaged.
pub fn decode(bytes: &[u8]) -> Result<DurableState> {
    FILE.decode(bytes)
}
