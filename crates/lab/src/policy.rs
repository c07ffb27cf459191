//! The interface that the decisions have, so that others can stand in their place.

use anyhow::{Context, Result, ensure};
use pumicebay_core::table::ReplicaTable;
use pumicebay_core::{Balancer, Host, ListedNode, Nanos, Node, Outcome, RequestId, RequestParams, Settings};

/// What a policy is told, each by a call of its own; it acts through its host.
pub trait Policy<H: Host>: Send {
    fn arrived(&mut self, now: Nanos, xchg: RequestId, ask: RequestParams);
    fn ended(&mut self, now: Nanos, xchg: RequestId, try_no: usize, outcome: Outcome, over: bool);
    fn dropped(&mut self, now: Nanos, xchg: RequestId);
    fn woke(&mut self, now: Nanos, token: u64);
    fn listed(&mut self, now: Nanos, node: Node, listed: ListedNode);
    fn listed_all(&mut self, named: &[Node]);
    fn list_failed(&mut self, now: Nanos);
    fn probed(&mut self, node: Node, outcome: Outcome);
    fn host(&mut self) -> &mut H;
    /// The learned sets of keys, where it has any.
    fn take_sets(&mut self) -> Option<ReplicaTable> {
        None
    }
    fn put_sets(&mut self, _sets: ReplicaTable) {}
}

impl<H: Host + Send> Policy<H> for Balancer<H> {
    fn arrived(&mut self, now: Nanos, xchg: RequestId, ask: RequestParams) {
        Balancer::request_arrived(self, now, xchg, ask);
    }
    fn ended(&mut self, now: Nanos, xchg: RequestId, try_no: usize, outcome: Outcome, over: bool) {
        Balancer::attempt_ended(self, now, xchg, try_no, outcome, over);
    }
    fn dropped(&mut self, now: Nanos, xchg: RequestId) {
        Balancer::request_cancelled(self, now, xchg);
    }
    fn woke(&mut self, now: Nanos, token: u64) {
        Balancer::timer_fired(self, now, token);
    }
    fn listed(&mut self, now: Nanos, node: Node, listed: ListedNode) {
        Balancer::node_listed(self, now, node, listed);
    }
    fn listed_all(&mut self, named: &[Node]) {
        Balancer::list_completed(self, named);
    }
    fn list_failed(&mut self, now: Nanos) {
        Balancer::list_request_failed(self, now);
    }
    fn probed(&mut self, node: Node, outcome: Outcome) {
        Balancer::probe_finished(self, node, outcome);
    }
    fn host(&mut self) -> &mut H {
        &mut self.host
    }
    fn take_sets(&mut self) -> Option<ReplicaTable> {
        Some(Balancer::take_replicas(self))
    }
    fn put_sets(&mut self, sets: ReplicaTable) {
        Balancer::set_replicas(self, sets);
    }
}

/// The project's own, whose learned sets outlive a restart of their proxy: the most that placement replicated between
/// proxies could give.
pub const KEEPS_SETS: &str = "pumicebay+sets";
/// The policies by name: the project's own, and the baselines.
pub const NAMES: &[&str] = &["pumicebay", "random", "two", "rendezvous", "bounded", "careless", KEEPS_SETS];

/// A policy's name and the salt of its own chance: `two#1` is `two` with other draws on the same day, which
/// tells how large the noise is.
pub fn named(text: &str) -> Result<(&str, u64)> {
    let (name, salt) = text.split_once('#').unwrap_or((text, "0"));
    ensure!(NAMES.contains(&name), "no policy {name:?}, expected one of {}", NAMES.join(", "));
    let salt = salt.parse().with_context(|| format!("policy {text:?}: expected a number behind #"))?;
    Ok((name, salt))
}

pub type Boxed<H> = Box<dyn Policy<H>>;

/// Makes one; none where the name is not known.
pub fn make<H: Host + Send + 'static>(
    name: &str,
    host: H,
    settings: Settings,
    seed: u64,
    now: Nanos,
) -> Option<Boxed<H>> {
    use crate::baselines::{Baseline, Choice};
    let choice = match name {
        "pumicebay" | KEEPS_SETS => return Some(Box::new(Balancer::new(host, settings, seed, now))),
        "random" => Choice::Random,
        "two" => Choice::LeastOfTwo,
        "rendezvous" => Choice::Rendezvous,
        "bounded" => Choice::Bounded,
        "careless" => Choice::Careless,
        _ => return None,
    };
    Some(Box::new(Baseline::new(host, choice, &settings, seed, now)))
}
