//! A linearizability checker: whether all reads and writes of one value, as the clients saw them, fit one
//! order of its writes that agrees with real time. The record numbers its versions, so the order is known and
//! only has to be verified.

use serde::Serialize;
use std::collections::BTreeMap;

/// One read or write of the value, as the client saw it.
#[derive(Clone, Debug, Serialize)]
pub struct Operation {
    pub client: String,
    pub write: bool,
    /// Just before the client sent it, in seconds from the start of the run.
    pub begin: f64,
    /// When the client had the answer, or gave up waiting, in seconds from the start of the run.
    pub end: f64,
    /// The text that was read or written.
    pub value: String,
    /// The version read or written, as answered; `None` where no answer came and the operation may or may not
    /// have happened.
    pub version: Option<u64>,
    /// For a write: the version that it was to replace. 0 for a read.
    pub expected_version: u64,
}

/// Returns one line for each contradiction that was found, at most five; none where the history is
/// consistent.
pub fn check(operations: &[Operation]) -> Vec<String> {
    let mut violations = Vec::new();
    let mut answered: Vec<(&Operation, u64)> =
        operations.iter().filter_map(|op| Some((op, op.version?))).collect();
    answered.sort_by(|left, right| left.0.begin.total_cmp(&right.0.begin));
    // Each version has a single text and a single writer.
    let mut first_by_version: BTreeMap<u64, &Operation> = BTreeMap::new();
    for (op, version) in &answered {
        let first = first_by_version.entry(*version).or_insert(op);
        if first.value != op.value {
            violations.push(format!(
                "version {version} holds {:?} according to {} and {:?} according to {}",
                first.value, first.client, op.value, op.client
            ));
        }
        if op.write && first.write && first.client != op.client {
            violations.push(format!("version {version} was written by {} and {}", first.client, op.client));
        }
    }
    // No write replaced a version other than the one it expected.
    for (op, version) in answered.iter().filter(|(op, _)| op.write) {
        if let Some((between, other)) =
            first_by_version.range(op.expected_version + 1..*version).find(|(_, other)| other.write)
        {
            violations.push(format!(
                "{} wrote version {version} to replace version {}, but {} wrote version {between} in between",
                op.client, op.expected_version, other.client
            ));
        }
    }
    // An operation that ended before another began must not come later in the order: each operation is
    // compared with the highest version known when it began.
    let mut ends: Vec<(f64, u64, &Operation)> =
        answered.iter().map(|(op, version)| (op.end, *version, *op)).collect();
    ends.sort_by(|left, right| left.0.total_cmp(&right.0));
    let (mut next, mut highest): (usize, Option<(u64, &Operation)>) = (0, None);
    for (op, version) in &answered {
        while let Some((_, known, other)) = ends.get(next).filter(|(end, ..)| *end < op.begin) {
            if highest.is_none_or(|(version, _)| version < *known) {
                highest = Some((*known, other));
            }
            next += 1;
        }
        if let Some((known, other)) = highest
            && (*version < known || op.write && *version == known)
        {
            violations.push(format!(
                "{} {} version {version} at {:.3}, after {} had seen version {known} at {:.3}",
                op.client,
                if op.write { "wrote" } else { "read" },
                op.begin,
                other.client,
                other.end
            ));
        }
    }
    violations.truncate(5);
    violations
}
