//! A file of claims that the processes of an upgrade share: a table of fixed size, in buckets by the id's hash. A process
//! locks it for one claim, and does without the lock rather than wait for another process that is held up.

use super::CLAIM_PERIOD;
use pumicebay_core::Nanos;
use std::fs::{File, OpenOptions};
use std::io::{Error, ErrorKind, Result};
use std::os::unix::fs::FileExt;
use std::path::Path;

/// The file name; it ends with the version of the format.
const FILE_NAME: &str = "pumicebay-claims-1";
/// Buckets of the table.
const BUCKETS: u64 = 2048;
/// Records of a bucket.
const BUCKET_RECORDS: usize = 8;
/// A record: the hash of the id, when it was claimed, and the process that did.
const RECORD_BYTES: usize = 24;
/// How often the lock is tried.
const LOCK_TRIES: usize = 20;
const BUCKET_BYTES: usize = BUCKET_RECORDS * RECORD_BYTES;

/// The table, as one process uses it.
#[derive(Debug)]
pub struct SharedClaims {
    file: File,
    process: u64,
}

/// A claim of an id. All zeros stand for none.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Record {
    hash: u64,
    claimed_at: Nanos,
    process: u64,
}

impl Record {
    const NONE: Record = Record { hash: 0, claimed_at: 0, process: 0 };

    fn encode(self) -> [u8; RECORD_BYTES] {
        let mut bytes = [0; RECORD_BYTES];
        for (part, number) in bytes.chunks_exact_mut(8).zip([self.hash, self.claimed_at, self.process]) {
            part.copy_from_slice(&number.to_le_bytes());
        }
        bytes
    }

    fn decode(bytes: &[u8]) -> Record {
        let number = |at: usize| {
            bytes.get(8 * at..8 * at + 8).and_then(|part| part.try_into().ok()).map_or(0, u64::from_le_bytes)
        };
        Record { hash: number(0), claimed_at: number(1), process: number(2) }
    }

    fn is_current(&self, now: Nanos) -> bool {
        self.claimed_at > 0 && now < self.claimed_at.saturating_add(CLAIM_PERIOD)
    }
}

/// Holds the lock of the file, if it was free soon.
struct Lock<'a>(Option<&'a File>);

impl<'a> Lock<'a> {
    fn of(file: &'a File) -> Lock<'a> {
        let locked = (0..LOCK_TRIES).any(|_| file.try_lock().is_ok());
        Lock(locked.then_some(file))
    }
}

impl Drop for Lock<'_> {
    fn drop(&mut self) {
        let _ = self.0.map(File::unlock);
    }
}

impl SharedClaims {
    /// Opens the table in this folder, or creates it.
    ///
    /// # Errors
    /// When that fails, or there is something else of that name.
    pub fn open(folder: &Path, process: u64) -> Result<SharedClaims> {
        let path = folder.join(FILE_NAME);
        let file = OpenOptions::new().read(true).write(true).create(true).truncate(false).open(path)?;
        if !file.metadata()?.is_file() {
            return Err(Error::new(ErrorKind::InvalidData, "not a regular file"));
        }
        file.set_len(BUCKETS * BUCKET_BYTES as u64)?;
        Ok(SharedClaims { file, process })
    }

    /// Claims an id, in place of the oldest claim of its bucket if that is full. Returns false if another process has
    /// claimed it.
    ///
    /// # Errors
    /// When the file can't be read or written.
    pub fn claim(&self, now: Nanos, hash: u64) -> Result<bool> {
        let _lock = Lock::of(&self.file);
        let bucket = self.bucket(hash)?;
        if bucket.iter().any(|record| self.is_of_another(record, now, hash)) {
            return Ok(false);
        }
        let is_free = |record: &Record| !record.is_current(now);
        let index = bucket.iter().position(is_free);
        let oldest = (0..BUCKET_RECORDS).min_by_key(|&index| bucket[index].claimed_at);
        let index = index.or(oldest).unwrap_or(0);
        let claim = Record { hash, claimed_at: now, process: self.process };
        self.file.write_all_at(&claim.encode(), offset(hash) + (index * RECORD_BYTES) as u64)?;
        Ok(true)
    }

    /// Removes this process's claim of an id.
    ///
    /// # Errors
    /// When the file can't be read or written.
    pub fn release(&self, hash: u64) -> Result<()> {
        let is_own = |record: &Record| record.hash == hash && record.process == self.process;
        if let Some(index) = self.bucket(hash)?.iter().position(is_own) {
            let at = offset(hash) + (index * RECORD_BYTES) as u64;
            self.file.write_all_at(&Record::NONE.encode(), at)?;
        }
        Ok(())
    }

    fn is_of_another(&self, record: &Record, now: Nanos, hash: u64) -> bool {
        record.hash == hash && record.process != self.process && record.is_current(now)
    }

    fn bucket(&self, hash: u64) -> Result<[Record; BUCKET_RECORDS]> {
        let mut bytes = [0; BUCKET_BYTES];
        self.file.read_exact_at(&mut bytes, offset(hash))?;
        let mut records = [Record::NONE; BUCKET_RECORDS];
        for (record, bytes) in records.iter_mut().zip(bytes.chunks_exact(RECORD_BYTES)) {
            *record = Record::decode(bytes);
        }
        Ok(records)
    }
}

/// Where the bucket of this hash begins.
fn offset(hash: u64) -> u64 {
    hash % BUCKETS * BUCKET_BYTES as u64
}
