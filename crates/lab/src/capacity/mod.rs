//! Capacity planning for the target size of two years from now: measured points of resource use by size,
//! straight lines fitted to them, and the lines' values at the target. The page `docs/CAPACITY.md` holds the
//! tables that are generated here.

mod discovery;
pub mod fit;
pub mod measure;
mod process;
pub mod slopes;
pub mod tables;
pub mod voter_usage;

use anyhow::{Context, Result, ensure};
use std::path::Path;

/// Path of the file with the measured points, from the repository's root.
pub const SLOPES_PATH: &str = "docs/capacity/slopes.json";
/// Path of the page with the tables, from the repository's root.
pub const PAGE_PATH: &str = "docs/CAPACITY.md";

/// The page's text with each table between its markers generated anew. Returns an error where a marker is
/// missing.
pub fn update_page(text: &str, file: &slopes::SlopesFile) -> Result<String> {
    let mut updated = text.to_string();
    for (name, table) in tables::all(file) {
        let (begin, end) = (format!("<!-- table: {name} -->\n"), "<!-- end of table -->");
        let from =
            updated.find(&begin).with_context(|| format!("no marker {:?}", begin.trim_end()))? + begin.len();
        let length = updated[from..].find(end).with_context(|| format!("table {name}: no marker {end:?}"))?;
        ensure!(!updated[from..from + length].contains("<!--"), "table {name}: no marker {end:?} of its own");
        updated.replace_range(from..from + length, &format!("\n{table}\n"));
    }
    Ok(updated)
}

/// Checks that the page at `path` holds the tables generated from this file. Returns an error that names the
/// first line that differs, or the marker that is missing.
pub fn check_page(path: &Path, file: &slopes::SlopesFile) -> Result<()> {
    let text = read(path)?;
    let expected = update_page(&text, file).with_context(|| path.display().to_string())?;
    let first_difference = text.lines().zip(expected.lines()).position(|(is, should)| is != should);
    let at = first_difference.unwrap_or(text.lines().count().min(expected.lines().count()));
    let line = |text: &str| text.lines().nth(at).unwrap_or("(its end)").to_string();
    ensure!(
        text == expected,
        "{}: line {} differs from the slopes:\n  is:        {}\n  should be: {}",
        path.display(),
        at + 1,
        line(&text),
        line(&expected)
    );
    Ok(())
}

/// Reads a text file. Returns an error that names the path.
pub fn read(path: &Path) -> Result<String> {
    std::fs::read_to_string(path).with_context(|| path.display().to_string())
}
