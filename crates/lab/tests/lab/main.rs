//! Tests of the lab: the auditor, the history checker, runs in virtual time, errors in scenarios, and short
//! runs on sockets.

mod audit;
mod crowds;
mod history;
mod scenarios;
mod sockets;
mod stand_ins;
mod virtual_days;

use pumicebay_lab::scenario;
use pumicebay_model::spec::Scenario;
use std::sync::{PoisonError, RwLock, RwLockReadGuard, RwLockWriteGuard};

/// A run on sockets has the cores to itself; runs in virtual time share them. Beside the run that overloads
/// the load generator, or beside computing threads, the clients of another run on sockets were 26.6 ms late
/// on a smaller machine, so that its result measured the machine and not the proxy.
static CORES: RwLock<()> = RwLock::new(());

/// Held by a run on sockets.
pub fn exclusive_cores() -> RwLockWriteGuard<'static, ()> {
    CORES.write().unwrap_or_else(PoisonError::into_inner)
}

/// Held by runs in virtual time.
pub fn shared_cores() -> RwLockReadGuard<'static, ()> {
    CORES.read().unwrap_or_else(PoisonError::into_inner)
}

/// Parses a scenario that must be valid.
pub fn parse_scenario(text: &str) -> Scenario {
    scenario::parse(text, &[]).expect("a valid scenario")
}
