//! The list that a process leaves for the next one in its place: the text of each entry, as it was told last.

use crate::messages::DiscoveredNode;
use anyhow::{Context, Result, ensure};
use pumicebay_core::NodeStatus;
use serde_json::value::RawValue;
use std::collections::BTreeMap;
use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::{Path, PathBuf};

/// Its name has the version of its form.
const NAME: &str = "pumicebay-list-1";
/// No file that is longer is read.
const LONGEST: u64 = 16 * 1024 * 1024;

/// What was told last, and where it is left.
pub struct LeftList {
    folder: PathBuf,
    told: BTreeMap<Box<str>, Box<RawValue>>,
}

impl LeftList {
    pub fn new(folder: PathBuf) -> LeftList {
        LeftList { folder, told: BTreeMap::new() }
    }

    /// All that was told before is told no more.
    pub fn clear(&mut self) {
        self.told.clear();
    }

    pub fn note(&mut self, named: &DiscoveredNode, text: &RawValue) {
        if named.listed.status == NodeStatus::Gone {
            self.told.remove(&*named.uid);
        } else {
            self.told.insert((&*named.uid).into(), text.to_owned());
        }
    }

    /// Writes it beside the old file, then in its place.
    pub fn write(&self, version: u64) -> std::io::Result<()> {
        let new = self.folder.join(format!("{NAME}.{}", std::process::id()));
        let mut file = BufWriter::new(File::create(&new)?);
        write!(file, "{{\"rev\":{version},\"all\":true,\"targets\":[")?;
        for (at, text) in self.told.values().enumerate() {
            let comma = if at > 0 { "," } else { "" };
            write!(file, "{comma}{}", text.get())?;
        }
        file.write_all(b"]}")?;
        file.into_inner()?;
        std::fs::rename(new, self.folder.join(NAME))
    }
}

/// What a process before this one left.
///
/// # Errors
/// Where there is none, or what is there can't be one: a pipe is never read to its end, and a huge file not into memory.
pub fn read(folder: &Path) -> Result<Vec<u8>> {
    let file = folder.join(NAME);
    let about = std::fs::metadata(&file).context("none was left")?;
    ensure!(about.is_file() && about.len() <= LONGEST, "no list: {} bytes", about.len());
    Ok(std::fs::read(file)?)
}
