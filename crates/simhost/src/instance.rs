//! One proxy of the simulation: its balancer, and the names that the balancer's indices stand for.

use crate::wire::{Fields, ListEntry, ProtocolHost, parse_outcome};
use anyhow::{Context, Result, bail, ensure};
use hashbrown::HashMap;
use pumicebay_core::{Balancer, ListedNode, Nanos, Node, NodeStatus, RequestId, RequestParams};
use pumicebay_names::{self as names, NANOS_PER_MICROSECOND, stable_hash};
use serde_json::Value as Json;
use std::collections::BTreeMap;

/// A proxy's balancer and its translation tables. The methods that take `Fields` handle one event each and
/// fail if a field has the wrong type or an unknown value.
pub struct Instance {
    balancer: Balancer<ProtocolHost>,
    /// Node index by address.
    nodes: HashMap<String, Node>,
    /// Route names by the balancer's indices; likewise for tenants, zones and machine types.
    routes: Vec<String>,
    tenants: Vec<String>,
    zones: Vec<String>,
    machine_types: Vec<String>,
    /// The machine type by which the origin is recognised in node lists.
    origin_type: Option<String>,
    /// The column names of a load report.
    load_columns: Vec<String>,
    last_request_id: RequestId,
}

impl Instance {
    /// Handles `Attach`: creates a proxy from its settings. Fails if the settings are invalid.
    pub fn attach(now: Nanos, fields: &Fields) -> Result<Instance> {
        let settings: Json = fields.get(2)?;
        ensure!(settings.is_object(), "settings: expected an object");
        if let Some(problem) = names::invalid_setting(&settings) {
            bail!("settings.{problem}");
        }
        let machine_types = names::names_at(&settings, "/skus", "");
        let origin_index = settings.pointer("/domain/origin-kind").and_then(Json::as_u64);
        let load_columns = names::names_at(&settings, "/telemetry/columns", "");
        let host = ProtocolHost { proxy: fields.get(0)?, ..ProtocolHost::default() };
        Ok(Instance {
            balancer: Balancer::new(host, names::settings_from_json(&settings), fields.get(1)?, now),
            nodes: HashMap::new(),
            routes: names::names_at(&settings, "/routes", "/name"),
            tenants: names::names_at(&settings, "/orgs", "/name"),
            zones: names::names_at(&settings, "/failure-domains", ""),
            origin_type: origin_index.and_then(|index| machine_types.get(index as usize).cloned()),
            machine_types,
            load_columns,
            last_request_id: 0,
        })
    }

    /// Moves the actions since the last call to the end of the reply.
    pub fn take_actions(&mut self, reply: &mut String) {
        reply.push_str(&self.balancer.host.actions);
        self.balancer.host.actions.clear();
    }

    /// Handles `Topology`: applies a node list that an earlier `List` event defined. Form 0 lists only
    /// changed nodes, forms 3 and 4 list all nodes, and form 2 reports that the request for the list has
    /// failed.
    pub fn topology(
        &mut self,
        now: Nanos,
        fields: &Fields,
        node_lists: &BTreeMap<u64, Vec<ListEntry>>,
    ) -> Result<()> {
        let form: u64 = fields.get(1)?;
        if form == 2 {
            self.balancer.list_request_failed(now);
            return Ok(());
        }
        let list_id: u64 = fields.get(3)?;
        let entries =
            node_lists.get(&list_id).with_context(|| format!("Topology: unknown node list {list_id}"))?;
        let mut listed_nodes = Vec::with_capacity(entries.len());
        for entry in entries {
            let node = self.node_index(&entry.2);
            let listed = self.listed_node(entry)?;
            self.balancer.node_listed(now, node, listed);
            listed_nodes.push(node);
        }
        match form {
            0 => {}
            3 | 4 => self.balancer.list_completed(&listed_nodes),
            _ => bail!("Topology: unknown form {form}"),
        }
        Ok(())
    }

    /// Converts an entry of a node list. A zone or machine type that the settings do not name gets the index
    /// after the last one. Fails if the status is unknown.
    fn listed_node(&self, entry: &ListEntry) -> Result<ListedNode> {
        let ListEntry(cell, started, address, weight, zone, status, machine_type) = entry;
        Ok(ListedNode {
            identity: stable_hash(address),
            zone: self.zones.iter().position(|name| Some(name) == zone.as_ref()).unwrap_or(self.zones.len()),
            cell: cell.unwrap_or(0),
            status: match status {
                2 => NodeStatus::Ready,
                0 => NodeStatus::Draining,
                1 => NodeStatus::Gone,
                _ => bail!("List: unknown node status {status}"),
            },
            started: started.unwrap_or(0) * NANOS_PER_MICROSECOND,
            origin: machine_type.is_some() && *machine_type == self.origin_type,
            machine_type: self
                .machine_types
                .iter()
                .position(|name| Some(name) == machine_type.as_ref())
                .unwrap_or(self.machine_types.len()),
            weight: weight.filter(|weight| *weight > 0.0).unwrap_or(1.0),
        })
    }

    /// The node index of an address. New addresses get the next free index.
    fn node_index(&mut self, address: &str) -> Node {
        if let Some(&node) = self.nodes.get(address) {
            return node;
        }
        self.nodes.insert(address.to_string(), self.nodes.len());
        self.balancer.host.addresses.push(address.to_string());
        self.nodes.len() - 1
    }

    /// Handles `Arrival`: a client's request. A transaction id that is already open is ignored.
    pub fn request_arrived(&mut self, now: Nanos, fields: &Fields) -> Result<()> {
        let transaction_id: &str = fields.get(1)?;
        let route: &str = fields.get(2)?;
        let tenant: Json = fields.get(6)?;
        let params = RequestParams {
            route: self.routes.iter().position(|name| name == route).context("Arrival: unknown route")?,
            tenant: tenant.as_str().and_then(|tenant| self.tenants.iter().position(|name| name == tenant)),
            write: fields.get::<Option<bool>>(3)?.unwrap_or(false),
            key: fields.get(5)?,
            work_hint: fields.get::<Option<u64>>(7)?.map(|micros| micros * NANOS_PER_MICROSECOND),
            client_timeout: fields.get::<u64>(8)? * NANOS_PER_MICROSECOND,
            is_retry: fields.get::<Option<bool>>(9)?.unwrap_or(false),
        };
        if self.balancer.host.request_ids.contains_key(transaction_id) {
            return Ok(());
        }
        self.last_request_id += 1;
        self.balancer.host.request_ids.insert(transaction_id.to_string(), self.last_request_id);
        self.balancer.host.transaction_ids.insert(self.last_request_id, transaction_id.to_string());
        self.balancer.request_arrived(now, self.last_request_id, params);
        Ok(())
    }

    /// Handles `Ended`: an attempt has ended, and its node may have reported its load. The event tells
    /// whether the request has its final answer.
    pub fn attempt_ended(&mut self, now: Nanos, fields: &Fields) -> Result<()> {
        let outcome = parse_outcome(fields.get(2)?)?;
        let request_answered: bool = fields.get(3)?;
        let attempt: usize = fields.get(6)?;
        self.load_reported(now, fields, 7, 8)?;
        if let Some(id) = self.request_id(fields)? {
            self.balancer.attempt_ended(now, id, attempt, outcome, request_answered);
        }
        Ok(())
    }

    /// Handles `Dropped`: the client has cancelled its request.
    pub fn request_cancelled(&mut self, now: Nanos, fields: &Fields) -> Result<()> {
        if let Some(id) = self.request_id(fields)? {
            self.balancer.request_cancelled(now, id);
        }
        Ok(())
    }

    /// Handles `UnderWay`: the response to the client has started.
    pub fn response_started(&mut self, fields: &Fields) -> Result<()> {
        if let Some(id) = self.request_id(fields)? {
            self.balancer.response_started(id);
        }
        Ok(())
    }

    /// Handles `TimeoutFired`. A token that is not a number is not one of the balancer's and is ignored.
    pub fn timer_fired(&mut self, now: Nanos, fields: &Fields) -> Result<()> {
        if let Ok(token) = fields.get::<&str>(1)?.parse() {
            self.balancer.timer_fired(now, token);
        }
        Ok(())
    }

    /// Handles `ProbeDone`: a health probe has ended, and the node may have reported its load.
    pub fn probe_finished(&mut self, now: Nanos, fields: &Fields) -> Result<()> {
        let outcome = parse_outcome(fields.get(2)?)?;
        self.load_reported(now, fields, 1, 4)?;
        if let Some(&node) = self.nodes.get(fields.get::<&str>(1)?) {
            self.balancer.probe_finished(node, outcome);
        }
        Ok(())
    }

    /// The request that the event's transaction id stands for; None if it is no longer open.
    fn request_id(&self, fields: &Fields) -> Result<Option<RequestId>> {
        Ok(self.balancer.host.request_ids.get(fields.get::<&str>(1)?).copied())
    }

    /// Passes the load that a node reports to the balancer, if the event carries a load report. The arguments
    /// are the indices of the fields with the node's address and the report.
    fn load_reported(
        &mut self,
        now: Nanos,
        fields: &Fields,
        address_field: usize,
        report_field: usize,
    ) -> Result<()> {
        let report: Option<Vec<Option<f64>>> = fields.get(report_field)?;
        let columns = self.load_columns.iter().zip(report.iter().flatten());
        let load = columns.filter_map(|(name, value)| names::reported_load(name, (*value)?)).next();
        if let (Some(load), Some(&node)) = (load, self.nodes.get(fields.get::<&str>(address_field)?)) {
            self.balancer.load_reported(now, node, load);
        }
        Ok(())
    }
}
