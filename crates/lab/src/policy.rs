//! The interface that the decisions have, so that others can stand in their place.

use anyhow::{Context, Result, ensure};
use pumicebay_core::table::ReplicaTable;
use pumicebay_core::{Balancer, Host, ListedNode, Nanos, Node, Outcome, RequestId, RequestParams, Settings};

/// What a policy is told, each by a call of its own; it acts through its host.
pub trait Policy<H: Host>: Send {
    fn request_arrived(&mut self, now: Nanos, request: RequestId, params: RequestParams);
    fn attempt_ended(
        &mut self,
        now: Nanos,
        request: RequestId,
        attempt: usize,
        outcome: Outcome,
        request_finished: bool,
    );
    fn request_cancelled(&mut self, now: Nanos, request: RequestId);
    fn timer_fired(&mut self, now: Nanos, token: u64);
    fn node_listed(&mut self, now: Nanos, node: Node, listed: ListedNode);
    fn list_completed(&mut self, listed_nodes: &[Node]);
    fn list_request_failed(&mut self, now: Nanos);
    fn probe_finished(&mut self, node: Node, outcome: Outcome);
    fn host(&mut self) -> &mut H;
    /// The learned sets of keys, where it has any.
    fn take_replicas(&mut self) -> Option<ReplicaTable> {
        None
    }
    fn set_replicas(&mut self, _replicas: ReplicaTable) {}
}

impl<H: Host + Send> Policy<H> for Balancer<H> {
    fn request_arrived(&mut self, now: Nanos, request: RequestId, params: RequestParams) {
        Balancer::request_arrived(self, now, request, params);
    }
    fn attempt_ended(
        &mut self,
        now: Nanos,
        request: RequestId,
        attempt: usize,
        outcome: Outcome,
        request_finished: bool,
    ) {
        Balancer::attempt_ended(self, now, request, attempt, outcome, request_finished);
    }
    fn request_cancelled(&mut self, now: Nanos, request: RequestId) {
        Balancer::request_cancelled(self, now, request);
    }
    fn timer_fired(&mut self, now: Nanos, token: u64) {
        Balancer::timer_fired(self, now, token);
    }
    fn node_listed(&mut self, now: Nanos, node: Node, listed: ListedNode) {
        Balancer::node_listed(self, now, node, listed);
    }
    fn list_completed(&mut self, listed_nodes: &[Node]) {
        Balancer::list_completed(self, listed_nodes);
    }
    fn list_request_failed(&mut self, now: Nanos) {
        Balancer::list_request_failed(self, now);
    }
    fn probe_finished(&mut self, node: Node, outcome: Outcome) {
        Balancer::probe_finished(self, node, outcome);
    }
    fn host(&mut self) -> &mut H {
        &mut self.host
    }
    fn take_replicas(&mut self) -> Option<ReplicaTable> {
        Some(Balancer::take_replicas(self))
    }
    fn set_replicas(&mut self, replicas: ReplicaTable) {
        Balancer::set_replicas(self, replicas);
    }
}

/// The project's own, whose learned sets outlive a restart of their proxy: the most that placement replicated between
/// proxies could give.
pub const KEEPS_REPLICAS: &str = "pumicebay+sets";
/// The policies by name: the project's own, and the baselines.
pub const NAMES: &[&str] =
    &["pumicebay", "random", "two", "rendezvous", "bounded", "careless", KEEPS_REPLICAS];

/// A policy's name and the salt of its own chance: `two#1` is `two` with other draws on the same day, which
/// tells how large the noise is.
pub fn parse(text: &str) -> Result<(&str, u64)> {
    let (name, salt) = text.split_once('#').unwrap_or((text, "0"));
    ensure!(NAMES.contains(&name), "no policy {name:?}, expected one of {}", NAMES.join(", "));
    let salt = salt.parse().with_context(|| format!("policy {text:?}: expected a number behind #"))?;
    Ok((name, salt))
}

pub type BoxedPolicy<H> = Box<dyn Policy<H>>;

/// Makes one; none where the name is not known.
pub fn make<H: Host + Send + 'static>(
    name: &str,
    host: H,
    settings: Settings,
    seed: u64,
    now: Nanos,
) -> Option<BoxedPolicy<H>> {
    use crate::baselines::{Algorithm, Baseline};
    let algorithm = match name {
        "pumicebay" | KEEPS_REPLICAS => return Some(Box::new(Balancer::new(host, settings, seed, now))),
        "random" => Algorithm::Random,
        "two" => Algorithm::TwoChoices,
        "rendezvous" => Algorithm::Rendezvous,
        "bounded" => Algorithm::BoundedRendezvous,
        "careless" => Algorithm::Careless,
        _ => return None,
    };
    Some(Box::new(Baseline::new(host, algorithm, &settings, seed, now)))
}
