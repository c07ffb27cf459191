//! Decides how long a connection to a node rests after a reply before it carries another request.
//!
//! Nothing on the wire names the request that a reply belongs to. A second copy of a reply that crosses the next request
//! would be read as the reply to that, so a connection must have been silent for a while first. It never reads or writes.

use std::sync::{Mutex, PoisonError};
use std::time::Duration;
use tokio::time::Instant;

/// How long a connection rests while no node is known to send more than its replies. Second copies come up to some
/// milliseconds late.
pub const USUAL_SETTLE_TIME: Duration = Duration::from_millis(50);
/// How long it rests after a node was seen to do so.
pub const CAUTIOUS_SETTLE_TIME: Duration = Duration::from_millis(250);
/// How long the proxy remembers that.
pub const CAUTION_PERIOD: Duration = Duration::from_secs(30);

/// The settle time of all connections to nodes.
#[derive(Debug, Default)]
pub struct SettleTime {
    /// When bytes that belong to no request were last seen, on any connection.
    last_unsolicited: Mutex<Option<Instant>>,
}

impl SettleTime {
    /// Records that bytes arrived that belong to no request.
    pub fn record_unsolicited(&self, now: Instant) {
        *self.last_unsolicited.lock().unwrap_or_else(PoisonError::into_inner) = Some(now);
    }

    /// How long a connection must have been silent before it is used again.
    pub fn current(&self, now: Instant) -> Duration {
        let last = *self.last_unsolicited.lock().unwrap_or_else(PoisonError::into_inner);
        match last {
            Some(last) if now.saturating_duration_since(last) < CAUTION_PERIOD => CAUTIOUS_SETTLE_TIME,
            _ => USUAL_SETTLE_TIME,
        }
    }
}
