//! The lab itself: its auditor, its checker of histories, its virtual days, its scenarios' errors, and real days cut short.

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

/// A day on sockets has the cores to itself; virtual days share them. Beside one that is meant to
/// overload the load generator, or beside threads that reckon, another day's clients were late by
/// 26.6 ms on a smaller machine, and its verdict was the machine's.
static CORES: RwLock<()> = RwLock::new(());

/// For a day on sockets.
pub fn alone() -> RwLockWriteGuard<'static, ()> {
    CORES.write().unwrap_or_else(PoisonError::into_inner)
}

/// For virtual days.
pub fn shared() -> RwLockReadGuard<'static, ()> {
    CORES.read().unwrap_or_else(PoisonError::into_inner)
}

/// A scenario from its text.
pub fn day(text: &str) -> Scenario {
    scenario::parse(text, &[]).expect("a sound scenario")
}
