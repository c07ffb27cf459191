//! A file with the last list of nodes, which the next process in this one's place reads when it starts. It holds the
//! JSON text of each entry as discovery last sent it.

use crate::messages::DiscoveredNode;
use anyhow::{Context, Result, ensure};
use pumicebay_core::NodeStatus;
use serde_json::value::RawValue;
use std::collections::BTreeMap;
use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::{Path, PathBuf};

/// The file name; it ends with the version of the format.
const FILE_NAME: &str = "pumicebay-list-1";
/// Larger files are not read.
const MAX_FILE_BYTES: u64 = 16 * 1024 * 1024;

/// The last known entries, and the directory that they are saved in.
pub struct SavedList {
    folder: PathBuf,
    /// JSON text of each entry, by uid.
    entries: BTreeMap<Box<str>, Box<RawValue>>,
}

impl SavedList {
    /// An empty list that will be saved in `folder`.
    pub fn new(folder: PathBuf) -> SavedList {
        SavedList { folder, entries: BTreeMap::new() }
    }

    /// Removes all entries; called before a whole list replaces them.
    pub fn clear(&mut self) {
        self.entries.clear();
    }

    /// Adds or replaces an entry, or removes it if its node is gone.
    pub fn record(&mut self, named: &DiscoveredNode, text: &RawValue) {
        if named.listed.status == NodeStatus::Gone {
            self.entries.remove(&*named.uid);
        } else {
            self.entries.insert((&*named.uid).into(), text.to_owned());
        }
    }

    /// Writes the list to a temporary file and renames that to the final name.
    pub fn write(&self, version: u64) -> std::io::Result<()> {
        let new = self.folder.join(format!("{FILE_NAME}.{}", std::process::id()));
        let mut file = BufWriter::new(File::create(&new)?);
        write!(file, "{{\"rev\":{version},\"all\":true,\"targets\":[")?;
        for (at, text) in self.entries.values().enumerate() {
            let comma = if at > 0 { "," } else { "" };
            write!(file, "{comma}{}", text.get())?;
        }
        file.write_all(b"]}")?;
        file.into_inner()?;
        std::fs::rename(new, self.folder.join(FILE_NAME))
    }
}

/// Reads the list that an earlier process saved.
///
/// # Errors
/// When there is no such file, or it is not a regular file of at most 16 MiB: reading a pipe might never end, and a
/// huge file would fill the memory.
pub fn read(folder: &Path) -> Result<Vec<u8>> {
    let file = folder.join(FILE_NAME);
    let metadata = std::fs::metadata(&file).context("no saved list")?;
    ensure!(
        metadata.is_file() && metadata.len() <= MAX_FILE_BYTES,
        "saved list is not a regular file or too long: {} bytes",
        metadata.len()
    );
    Ok(std::fs::read(file)?)
}
