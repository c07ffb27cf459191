//! The simulator's line protocol: access to the fields of an event, and a `Host` that writes the balancer's
//! calls as actions.

use anyhow::{Context, Result};
use hashbrown::HashMap;
use pumicebay_core::{Host, Nanos, Node, Outcome, RequestId};
use pumicebay_names::NANOS_PER_MICROSECOND;
use serde::Deserialize;
use serde_json::value::RawValue;
use std::fmt::Write;

/// One event: its name, and its other values in the protocol's order. Values that are omitted at the end
/// count as null.
pub struct Fields<'a> {
    /// The event's name, for error messages.
    pub name: &'a str,
    /// The values after the name, not yet parsed.
    pub values: &'a [&'a RawValue],
}

impl<'a> Fields<'a> {
    /// Parses the value at an index, from 0. Fails with the event's name and the position, from 1, if the
    /// value has another type.
    pub fn get<T: Deserialize<'a>>(&self, index: usize) -> Result<T> {
        let text = self.values.get(index).map_or("null", |value| value.get());
        serde_json::from_str(text).with_context(|| format!("{}: field {}", self.name, index + 1))
    }
}

/// A node in a `List` event: cell, start time in microseconds, address, weight, zone, status and machine
/// type.
#[derive(Deserialize)]
pub struct ListEntry(
    pub Option<u64>,
    pub Option<u64>,
    pub String,
    pub Option<f64>,
    pub Option<String>,
    pub u64,
    pub Option<String>,
);

/// The outcome of an attempt or a probe by its name in the protocol. Fails for an unknown name.
pub fn parse_outcome(name: &str) -> Result<Outcome> {
    Ok(match name {
        "completed" => Outcome::Completed,
        "errored" => Outcome::Errored,
        "saturated" => Outcome::Saturated,
        "overdue" => Outcome::Overdue,
        "refused_conn" => Outcome::Unreachable,
        "severed" => Outcome::Severed,
        "recalled" => Outcome::Withdrawn,
        "superseded" => Outcome::Unsent,
        "lookup_miss" => Outcome::Missed,
        _ => anyhow::bail!("unknown outcome {name}"),
    })
}

/// The host of one proxy's balancer: collects its actions and translates between the balancer's indices and
/// the protocol's names.
#[derive(Default)]
pub struct ProtocolHost {
    /// The proxy's number in the protocol.
    pub proxy: u64,
    /// The actions since they were last taken, as JSON arrays, each followed by a comma.
    pub actions: String,
    /// Address by node index.
    pub addresses: Vec<String>,
    /// Open requests by their transaction id in the protocol.
    pub request_ids: HashMap<String, RequestId>,
    /// The reverse of `request_ids`.
    pub transaction_ids: HashMap<RequestId, String>,
}

impl ProtocolHost {
    fn json_string(text: &str) -> String {
        serde_json::to_string(text).expect("a string can always be written as JSON")
    }

    /// Writes an action. `values` are its values after the proxy's number, each as JSON after a comma.
    fn push_action(&mut self, name: &str, values: std::fmt::Arguments) {
        write!(self.actions, "[\"{name}\",{}{values}],", self.proxy)
            .expect("writing to a string cannot fail");
    }
}

impl Host for ProtocolHost {
    fn send(&mut self, id: RequestId, node: Node, timeout: Nanos) {
        let (transaction_id, address) =
            (Self::json_string(&self.transaction_ids[&id]), Self::json_string(&self.addresses[node]));
        self.push_action(
            "Try",
            format_args!(",{transaction_id},{},{address}", timeout.div_ceil(NANOS_PER_MICROSECOND)),
        );
    }

    fn shed(&mut self, id: RequestId, pause: Nanos) {
        let transaction_id = Self::json_string(&self.transaction_ids[&id]);
        self.push_action("Busy", format_args!(",{transaction_id},{}", pause / NANOS_PER_MICROSECOND));
    }

    fn error(&mut self, id: RequestId) {
        let transaction_id = Self::json_string(&self.transaction_ids[&id]);
        self.push_action("GiveUp", format_args!(",{transaction_id}"));
    }

    fn release_request(&mut self, id: RequestId) {
        if let Some(transaction_id) = self.transaction_ids.remove(&id) {
            self.request_ids.remove(&transaction_id);
        }
    }

    fn set_timer(&mut self, at: Nanos, token: u64) {
        self.push_action("SetTimer", format_args!(",\"{token}\",{}", at.div_ceil(NANOS_PER_MICROSECOND)));
    }

    fn probe(&mut self, node: Node) {
        let address = Self::json_string(&self.addresses[node]);
        self.push_action("Check", format_args!(",{address}"));
    }

    /// Does nothing: an address keeps its index, because the node may be listed again.
    fn release_node(&mut self, _node: Node) {}

    fn watch_node_list(&mut self) {
        self.push_action("Follow", format_args!(",true"));
    }

    fn log(&mut self, line: &str) {
        let line = Self::json_string(line);
        self.push_action("SayLog", format_args!(",{line}"));
    }
}
