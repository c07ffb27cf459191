//! A checker of histories: whether all reads and writes of one value, as those who made them saw them, fit one order of its
//! writes that agrees with real time. The record numbers its versions, so the order is known and only has to be right.

use serde::Serialize;
use std::collections::BTreeMap;

#[derive(Clone, Debug, Serialize)]
pub struct Op {
    pub who: String,
    pub write: bool,
    /// In seconds, from before it was asked until it was answered.
    pub begin: f64,
    pub end: f64,
    pub text: String,
    /// As answered; `None` where nobody answered, and it may or may not have been done.
    pub version: Option<u64>,
    /// Of a write: the version that it was to replace.
    pub over: u64,
}

pub fn judge(operations: &[Op]) -> Vec<String> {
    let mut wrong = Vec::new();
    let mut done: Vec<(&Op, u64)> = operations.iter().filter_map(|op| Some((op, op.version?))).collect();
    done.sort_by(|one, two| one.0.begin.total_cmp(&two.0.begin));
    // A version has one text.
    let mut texts: BTreeMap<u64, &Op> = BTreeMap::new();
    for (op, version) in &done {
        let first = texts.entry(*version).or_insert(op);
        if first.text != op.text {
            wrong.push(format!(
                "version {version} is {:?} to {} and {:?} to {}",
                first.text, first.who, op.text, op.who
            ));
        }
        if op.write && first.write && first.who != op.who {
            wrong.push(format!("version {version} was written by {} and {}", first.who, op.who));
        }
    }
    // No write replaced another version than it was to.
    for (op, version) in done.iter().filter(|(op, _)| op.write) {
        if let Some((between, other)) = texts.range(op.over + 1..*version).find(|(_, other)| other.write) {
            wrong.push(format!(
                "{} wrote version {version} over {}, but {} wrote {between} between",
                op.who, op.over, other.who
            ));
        }
    }
    // What ended before another began is not later in the order. The highest version known at each time of ending.
    let mut ends: Vec<(f64, u64, &Op)> = done.iter().map(|(op, version)| (op.end, *version, *op)).collect();
    ends.sort_by(|one, two| one.0.total_cmp(&two.0));
    let (mut at, mut highest): (usize, Option<(u64, &Op)>) = (0, None);
    for (op, version) in &done {
        while let Some((_, known, other)) = ends.get(at).filter(|(end, ..)| *end < op.begin) {
            if highest.is_none_or(|(version, _)| version < *known) {
                highest = Some((*known, other));
            }
            at += 1;
        }
        if let Some((known, other)) = highest
            && (*version < known || op.write && *version == known)
        {
            wrong.push(format!(
                "{} {} version {version} at {:.3}, after {} had {known} at {:.3}",
                op.who,
                if op.write { "wrote" } else { "read" },
                op.begin,
                other.who,
                other.end
            ));
        }
    }
    wrong.truncate(5);
    wrong
}
