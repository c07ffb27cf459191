//! The interface that the decisions have, so that others can stand in their place.

use anyhow::{Context, Result, ensure};
use pumicebay_core::table::Table;
use pumicebay_core::{Ask, Balance, Host, Listed, Nanos, Node, Outcome, RequestId, Settings};

/// What a policy is told, each by a call of its own; it acts through its host.
pub trait Policy<H: Host>: Send {
    fn arrived(&mut self, now: Nanos, xchg: RequestId, ask: Ask);
    fn ended(&mut self, now: Nanos, xchg: RequestId, try_no: usize, outcome: Outcome, over: bool);
    fn dropped(&mut self, now: Nanos, xchg: RequestId);
    fn woke(&mut self, now: Nanos, token: u64);
    fn listed(&mut self, now: Nanos, node: Node, listed: Listed);
    fn listed_all(&mut self, named: &[Node]);
    fn list_failed(&mut self, now: Nanos);
    fn probed(&mut self, node: Node, outcome: Outcome);
    fn host(&mut self) -> &mut H;
    /// The learned sets of keys, where it has any.
    fn take_sets(&mut self) -> Option<Table> {
        None
    }
    fn put_sets(&mut self, _sets: Table) {}
}

impl<H: Host + Send> Policy<H> for Balance<H> {
    fn arrived(&mut self, now: Nanos, xchg: RequestId, ask: Ask) {
        Balance::arrived(self, now, xchg, ask);
    }
    fn ended(&mut self, now: Nanos, xchg: RequestId, try_no: usize, outcome: Outcome, over: bool) {
        Balance::ended(self, now, xchg, try_no, outcome, over);
    }
    fn dropped(&mut self, now: Nanos, xchg: RequestId) {
        Balance::dropped(self, now, xchg);
    }
    fn woke(&mut self, now: Nanos, token: u64) {
        Balance::woke(self, now, token);
    }
    fn listed(&mut self, now: Nanos, node: Node, listed: Listed) {
        Balance::listed(self, now, node, listed);
    }
    fn listed_all(&mut self, named: &[Node]) {
        Balance::listed_all(self, named);
    }
    fn list_failed(&mut self, now: Nanos) {
        Balance::list_failed(self, now);
    }
    fn probed(&mut self, node: Node, outcome: Outcome) {
        Balance::probed(self, node, outcome);
    }
    fn host(&mut self) -> &mut H {
        &mut self.host
    }
    fn take_sets(&mut self) -> Option<Table> {
        Some(Balance::take_sets(self))
    }
    fn put_sets(&mut self, sets: Table) {
        Balance::put_sets(self, sets);
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
        "pumicebay" | KEEPS_SETS => return Some(Box::new(Balance::new(host, settings, seed, now))),
        "random" => Choice::Random,
        "two" => Choice::LeastOfTwo,
        "rendezvous" => Choice::Rendezvous,
        "bounded" => Choice::Bounded,
        "careless" => Choice::Careless,
        _ => return None,
    };
    Some(Box::new(Baseline::new(host, choice, &settings, seed, now)))
}
