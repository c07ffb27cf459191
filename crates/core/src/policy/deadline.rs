//! How long an attempt may tell its server that it will be waited for.

use crate::host::Nanos;

const MILLISECOND: Nanos = 1_000_000;

/// The time to tell, in whole milliseconds, rounded down: the attempt's own, and never past the end of its
/// client's patience, also where the attempt outlives it. `None` where less than one is left: then no attempt
/// begins. Guards servers, the origin among them, from work for clients that have gone.
pub fn time_to_tell(now: Nanos, attempt_ends: Nanos, client_ends: Nanos) -> Option<u64> {
    let left = attempt_ends.min(client_ends).saturating_sub(now) / MILLISECOND;
    (left > 0).then_some(left)
}
