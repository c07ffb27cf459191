//! The wire's fields going in, and the `Host` whose acts become the wire's actions going out.

use anyhow::{Context, Result};
use hashbrown::HashMap;
use pumicebay_core::{Host, Nanos, Node, Outcome, RequestId};
use pumicebay_names::NANOS_PER_MICROSECOND;
use serde::Deserialize;
use serde_json::value::RawValue;
use std::fmt::Write;

/// The values of one event, in the wire's order; those left out at the end count as null.
pub struct Fields<'a> {
    pub name: &'a str,
    pub values: &'a [&'a RawValue],
}

impl<'a> Fields<'a> {
    pub fn get<T: Deserialize<'a>>(&self, place: usize) -> Result<T> {
        let text = self.values.get(place).map_or("null", |value| value.get());
        serde_json::from_str(text).with_context(|| format!("{}: field {}", self.name, place + 1))
    }
}

/// A node of a `List`: cell, start, address, rating, zone, state and kind.
#[derive(Deserialize)]
pub struct Entry(
    pub Option<u64>,
    pub Option<u64>,
    pub String,
    pub Option<f64>,
    pub Option<String>,
    pub u64,
    pub Option<String>,
);

pub fn outcome(reason: &str) -> Result<Outcome> {
    Ok(match reason {
        "completed" => Outcome::Completed,
        "errored" => Outcome::Errored,
        "saturated" => Outcome::Saturated,
        "overdue" => Outcome::Overdue,
        "refused_conn" => Outcome::Unreachable,
        "severed" => Outcome::Severed,
        "recalled" => Outcome::Withdrawn,
        "superseded" => Outcome::Unsent,
        "lookup_miss" => Outcome::Missed,
        _ => anyhow::bail!("unknown outcome {reason}"),
    })
}

/// One instance's actions since they were last taken, and what its indices stand for.
#[derive(Default)]
pub struct Wire {
    pub proxy: u64,
    pub out: String,
    pub addresses: Vec<String>,
    pub xchgs: HashMap<String, RequestId>,
    pub tids: HashMap<RequestId, String>,
}

impl Wire {
    fn text(text: &str) -> String {
        serde_json::to_string(text).expect("text is always JSON")
    }

    /// Writes an action whose further values are already JSON.
    fn act(&mut self, name: &str, values: std::fmt::Arguments) {
        write!(self.out, "[\"{name}\",{}{values}],", self.proxy).expect("a string takes all");
    }
}

impl Host for Wire {
    fn send(&mut self, xchg: RequestId, node: Node, timeout: Nanos) {
        let (tid, address) = (Self::text(&self.tids[&xchg]), Self::text(&self.addresses[node]));
        self.act("Try", format_args!(",{tid},{},{address}", timeout.div_ceil(NANOS_PER_MICROSECOND)));
    }

    fn shed(&mut self, xchg: RequestId, pause: Nanos) {
        let tid = Self::text(&self.tids[&xchg]);
        self.act("Busy", format_args!(",{tid},{}", pause / NANOS_PER_MICROSECOND));
    }

    fn error(&mut self, xchg: RequestId) {
        let tid = Self::text(&self.tids[&xchg]);
        self.act("GiveUp", format_args!(",{tid}"));
    }

    fn release_request(&mut self, xchg: RequestId) {
        if let Some(tid) = self.tids.remove(&xchg) {
            self.xchgs.remove(&tid);
        }
    }

    fn set_timer(&mut self, at: Nanos, token: u64) {
        self.act("SetTimer", format_args!(",\"{token}\",{}", at.div_ceil(NANOS_PER_MICROSECOND)));
    }

    fn probe(&mut self, node: Node) {
        let address = Self::text(&self.addresses[node]);
        self.act("Check", format_args!(",{address}"));
    }

    /// An address keeps its number: it may come back.
    fn release_node(&mut self, _node: Node) {}

    fn watch_node_list(&mut self) {
        self.act("Follow", format_args!(",true"));
    }

    fn log(&mut self, line: &str) {
        let line = Self::text(line);
        self.act("SayLog", format_args!(",{line}"));
    }
}
