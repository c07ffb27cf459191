//! The lab itself: its auditor, its virtual days, its scenarios' errors, and real days cut short.

mod audit;
mod scenarios;
mod sockets;
mod stand_ins;
mod virtual_days;

use pumicebay_lab::scenario;
use pumicebay_model::spec::Scenario;

/// A scenario from its text.
pub fn day(text: &str) -> Scenario {
    scenario::parse(text, &[]).expect("a sound scenario")
}
