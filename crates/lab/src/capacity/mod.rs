//! The size in two years: slopes that runs gave, their straight lines, and what those say at the target. The page
//! `docs/CAPACITY.md` holds the tables that are made here.

pub mod fit;
pub mod measure;
pub mod slopes;
pub mod tables;

use anyhow::{Context, Result, ensure};
use std::path::Path;

/// Where the slopes lie, and the page that shows them.
pub const SLOPES: &str = "docs/capacity/slopes.json";
pub const PAGE: &str = "docs/CAPACITY.md";

/// The page with its tables made anew between their markers.
pub fn page(text: &str, file: &slopes::File) -> Result<String> {
    let mut page = text.to_string();
    for (name, table) in tables::all(file) {
        let (begin, end) = (format!("<!-- table: {name} -->\n"), "<!-- end of table -->");
        let from =
            page.find(&begin).with_context(|| format!("no marker {:?}", begin.trim_end()))? + begin.len();
        let length = page[from..].find(end).with_context(|| format!("table {name}: no marker {end:?}"))?;
        ensure!(!page[from..from + length].contains("<!--"), "table {name}: no marker {end:?} of its own");
        page.replace_range(from..from + length, &format!("\n{table}\n"));
    }
    Ok(page)
}

/// Whether the page at `path` holds the tables of these slopes; the first line that differs otherwise.
pub fn check(path: &Path, file: &slopes::File) -> Result<()> {
    let text = read(path)?;
    let wanted = page(&text, file).with_context(|| path.display().to_string())?;
    let differs = text.lines().zip(wanted.lines()).position(|(is, should)| is != should);
    let at = differs.unwrap_or(text.lines().count().min(wanted.lines().count()));
    let line = |text: &str| text.lines().nth(at).unwrap_or("(its end)").to_string();
    ensure!(
        text == wanted,
        "{}: line {} differs from the slopes:\n  is:        {}\n  should be: {}",
        path.display(),
        at + 1,
        line(&text),
        line(&wanted)
    );
    Ok(())
}

pub fn read(path: &Path) -> Result<String> {
    std::fs::read_to_string(path).with_context(|| path.display().to_string())
}
