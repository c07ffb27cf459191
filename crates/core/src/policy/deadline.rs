//! The timeout that an attempt advertises to its server.

use crate::host::Nanos;

const MILLISECOND: Nanos = 1_000_000;

/// The timeout to advertise, in whole milliseconds, rounded down. It is what is left of the attempt's own
/// time, and never extends past the client's deadline, even where the attempt itself does. None if less than
/// one millisecond is left: then the attempt must not begin. This keeps servers, including the origin, from
/// working for clients that have gone.
pub fn advertised_timeout_ms(now: Nanos, attempt_deadline: Nanos, client_deadline: Nanos) -> Option<u64> {
    let left = attempt_deadline.min(client_deadline).saturating_sub(now) / MILLISECOND;
    (left > 0).then_some(left)
}
