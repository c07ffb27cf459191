//! Hollow proxies on sockets: not there yet.

use super::plan::Plan;
use anyhow::{Result, bail};

/// Refuses, by name: a play that answered in virtual time instead would be taken for a real one.
pub fn play(_plan: &Plan, _seed: u64) -> Result<()> {
    bail!("--clock: real is not there yet for scale; only virtual is")
}
