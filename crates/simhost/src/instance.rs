//! One proxy: its decisions, and the names that its indices stand for.

use crate::wire::{Entry, Fields, Wire, outcome};
use anyhow::{Context, Result, bail, ensure};
use hashbrown::HashMap;
use pumicebay_core::{Balancer, ListedNode, Nanos, Node, NodeStatus, RequestId, RequestParams};
use pumicebay_names::{self as names, NANOS_PER_MICROSECOND, stable_hash};
use serde_json::Value as Json;
use std::collections::BTreeMap;

pub struct Instance {
    balance: Balancer<Wire>,
    nodes: HashMap<String, Node>,
    routes: Vec<String>,
    tenants: Vec<String>,
    zones: Vec<String>,
    kinds: Vec<String>,
    origin_kind: Option<String>,
    /// The names of a load report's figures.
    columns: Vec<String>,
    last: RequestId,
}

impl Instance {
    pub fn attach(now: Nanos, fields: &Fields) -> Result<Instance> {
        let settings: Json = fields.get(2)?;
        ensure!(settings.is_object(), "settings: expected an object");
        if let Some(why) = names::invalid_setting(&settings) {
            bail!("settings.{why}");
        }
        let kinds = names::names_at(&settings, "/skus", "");
        let origin = settings.pointer("/domain/origin-kind").and_then(Json::as_u64);
        let columns = names::names_at(&settings, "/telemetry/columns", "");
        let wire = Wire { proxy: fields.get(0)?, ..Wire::default() };
        Ok(Instance {
            balance: Balancer::new(wire, names::settings_from_json(&settings), fields.get(1)?, now),
            nodes: HashMap::new(),
            routes: names::names_at(&settings, "/routes", "/name"),
            tenants: names::names_at(&settings, "/orgs", "/name"),
            zones: names::names_at(&settings, "/failure-domains", ""),
            origin_kind: origin.and_then(|kind| kinds.get(kind as usize).cloned()),
            kinds,
            columns,
            last: 0,
        })
    }

    pub fn take_actions(&mut self, reply: &mut String) {
        reply.push_str(&self.balance.host.out);
        self.balance.host.out.clear();
    }

    pub fn topology(&mut self, now: Nanos, fields: &Fields, banks: &BTreeMap<u64, Vec<Entry>>) -> Result<()> {
        let form: u64 = fields.get(1)?;
        if form == 2 {
            self.balance.list_request_failed(now);
            return Ok(());
        }
        let bank: u64 = fields.get(3)?;
        let entries = banks.get(&bank).with_context(|| format!("Topology: no list {bank}"))?;
        let mut named = Vec::with_capacity(entries.len());
        for entry in entries {
            let node = self.node(&entry.2);
            let listed = self.describe(entry)?;
            self.balance.node_listed(now, node, listed);
            named.push(node);
        }
        match form {
            0 => {}
            3 | 4 => self.balance.list_completed(&named),
            _ => bail!("Topology: unknown form {form}"),
        }
        Ok(())
    }

    fn describe(&self, entry: &Entry) -> Result<ListedNode> {
        let Entry(cell, started, address, rating, zone, mode, kind) = entry;
        Ok(ListedNode {
            identity: stable_hash(address),
            zone: self.zones.iter().position(|name| Some(name) == zone.as_ref()).unwrap_or(self.zones.len()),
            cell: cell.unwrap_or(0),
            status: match mode {
                2 => NodeStatus::Ready,
                0 => NodeStatus::Draining,
                1 => NodeStatus::Gone,
                _ => bail!("List: unknown state {mode}"),
            },
            started: started.unwrap_or(0) * NANOS_PER_MICROSECOND,
            origin: kind.is_some() && *kind == self.origin_kind,
            machine_type: self
                .kinds
                .iter()
                .position(|name| Some(name) == kind.as_ref())
                .unwrap_or(self.kinds.len()),
            weight: rating.filter(|rating| *rating > 0.0).unwrap_or(1.0),
        })
    }

    /// The index of an address, new ones in the order they come.
    fn node(&mut self, address: &str) -> Node {
        if let Some(&node) = self.nodes.get(address) {
            return node;
        }
        self.nodes.insert(address.to_string(), self.nodes.len());
        self.balance.host.addresses.push(address.to_string());
        self.nodes.len() - 1
    }

    pub fn arrival(&mut self, now: Nanos, fields: &Fields) -> Result<()> {
        let tid: &str = fields.get(1)?;
        let route: &str = fields.get(2)?;
        let tenant: Json = fields.get(6)?;
        let ask = RequestParams {
            route: self.routes.iter().position(|name| name == route).context("Arrival: unknown route")?,
            tenant: tenant.as_str().and_then(|tenant| self.tenants.iter().position(|name| name == tenant)),
            write: fields.get::<Option<bool>>(3)?.unwrap_or(false),
            key: fields.get(5)?,
            work_hint: fields.get::<Option<u64>>(7)?.map(|hint| hint * NANOS_PER_MICROSECOND),
            client_timeout: fields.get::<u64>(8)? * NANOS_PER_MICROSECOND,
            is_retry: fields.get::<Option<bool>>(9)?.unwrap_or(false),
        };
        if self.balance.host.xchgs.contains_key(tid) {
            return Ok(());
        }
        self.last += 1;
        self.balance.host.xchgs.insert(tid.to_string(), self.last);
        self.balance.host.tids.insert(self.last, tid.to_string());
        self.balance.request_arrived(now, self.last, ask);
        Ok(())
    }

    pub fn end(&mut self, now: Nanos, fields: &Fields) -> Result<()> {
        let outcome = outcome(fields.get(2)?)?;
        let over: bool = fields.get(3)?;
        let try_no: usize = fields.get(6)?;
        self.report(now, fields, 7, 8)?;
        if let Some(xchg) = self.xchg(fields)? {
            self.balance.attempt_ended(now, xchg, try_no, outcome, over);
        }
        Ok(())
    }

    pub fn dropped(&mut self, now: Nanos, fields: &Fields) -> Result<()> {
        if let Some(xchg) = self.xchg(fields)? {
            self.balance.request_cancelled(now, xchg);
        }
        Ok(())
    }

    pub fn under_way(&mut self, fields: &Fields) -> Result<()> {
        if let Some(xchg) = self.xchg(fields)? {
            self.balance.response_started(xchg);
        }
        Ok(())
    }

    pub fn timeout(&mut self, now: Nanos, fields: &Fields) -> Result<()> {
        if let Ok(token) = fields.get::<&str>(1)?.parse() {
            self.balance.timer_fired(now, token);
        }
        Ok(())
    }

    pub fn probe_done(&mut self, now: Nanos, fields: &Fields) -> Result<()> {
        let outcome = outcome(fields.get(2)?)?;
        self.report(now, fields, 1, 4)?;
        if let Some(&node) = self.nodes.get(fields.get::<&str>(1)?) {
            self.balance.probe_finished(node, outcome);
        }
        Ok(())
    }

    fn xchg(&self, fields: &Fields) -> Result<Option<RequestId>> {
        Ok(self.balance.host.xchgs.get(fields.get::<&str>(1)?).copied())
    }

    /// Passes on how much a node reports that it holds, where the event carries a report.
    fn report(&mut self, now: Nanos, fields: &Fields, node: usize, load: usize) -> Result<()> {
        let row: Option<Vec<Option<f64>>> = fields.get(load)?;
        let figures = self.columns.iter().zip(row.iter().flatten());
        let held = figures.filter_map(|(name, value)| names::reported_load(name, (*value)?)).next();
        if let (Some(held), Some(&node)) = (held, self.nodes.get(fields.get::<&str>(node)?)) {
            self.balance.load_reported(now, node, held);
        }
        Ok(())
    }
}
