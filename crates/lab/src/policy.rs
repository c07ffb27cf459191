//! The interface of the balancing decisions, which the baselines implement too, and the policies by name.

use anyhow::{Context, Result, ensure};
use pumicebay_core::table::ReplicaTable;
use pumicebay_core::{Balancer, Host, ListedNode, Nanos, Node, Outcome, RequestId, RequestParams, Settings};

/// Receives the events of a proxy and acts through its host. Times are in nanoseconds from the start of the
/// run.
pub trait Policy<H: Host>: Send {
    /// A client's request arrived.
    fn request_arrived(&mut self, now: Nanos, request: RequestId, params: RequestParams);
    /// An attempt ended with this outcome. If `request_finished`, the request needs no further
    /// attempt.
    fn attempt_ended(
        &mut self,
        now: Nanos,
        request: RequestId,
        attempt: usize,
        outcome: Outcome,
        request_finished: bool,
    );
    /// The client gave up the request.
    fn request_cancelled(&mut self, now: Nanos, request: RequestId);
    /// The timer that was set with this token fired.
    fn timer_fired(&mut self, now: Nanos, token: u64);
    /// The node list has a new or changed entry for this node.
    fn node_listed(&mut self, now: Nanos, node: Node, listed: ListedNode);
    /// A complete list was received; nodes that are not in it are gone.
    fn list_completed(&mut self, listed_nodes: &[Node]);
    /// The request for the node list failed.
    fn list_request_failed(&mut self, now: Nanos);
    /// A health probe of this node ended.
    fn probe_finished(&mut self, node: Node, outcome: Outcome);
    /// The host that carries out the actions of the policy.
    fn host(&mut self) -> &mut H;
    /// Takes the learned replica table out of the policy; `None` if the policy learns none.
    fn take_replicas(&mut self) -> Option<ReplicaTable> {
        None
    }
    /// Restores a replica table that was taken out of an earlier process. Policies that learn none
    /// ignore it.
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

/// The project's own policy with a replica table that survives a restart of its proxy: the upper bound of
/// what replicating the table between proxies can gain.
pub const KEEPS_REPLICAS: &str = "pumicebay+sets";
/// The names of all policies: the project's own and the baselines.
pub const NAMES: &[&str] =
    &["pumicebay", "random", "two", "rendezvous", "bounded", "careless", KEEPS_REPLICAS];

/// Splits a policy's name from the salt of its random seed: `two#1` is `two` with other random choices on the
/// same traffic, which shows how large the noise is. Returns an error for an unknown name or a salt that is
/// no number.
pub fn parse(text: &str) -> Result<(&str, u64)> {
    let (name, salt) = text.split_once('#').unwrap_or((text, "0"));
    ensure!(NAMES.contains(&name), "unknown policy {name:?}, expected one of {}", NAMES.join(", "));
    let salt = salt.parse().with_context(|| format!("policy {text:?}: expected a number after #"))?;
    Ok((name, salt))
}

/// A policy chosen by name.
pub type BoxedPolicy<H> = Box<dyn Policy<H>>;

/// Creates the policy with this name; `None` if the name is unknown.
pub fn create<H: Host + Send + 'static>(
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
