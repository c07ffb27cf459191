//! The time limits of an attempt that the host applies by itself: what it advertises to its server, and how long a reply
//! that has begun may take.

use crate::host::Nanos;

const MILLISECOND: Nanos = 1_000_000;
/// How long before its client's deadline a long value is passed on that has only begun.
const FIRST_BYTE_MARGIN: Nanos = 50 * MILLISECOND;

/// The timeout to advertise, in whole milliseconds, rounded down. It is what is left of the attempt's own
/// time, and never extends past the client's deadline, even where the attempt itself does. None if less than
/// one millisecond is left: then the attempt must not begin. This keeps servers, including the origin, from
/// working for clients that have gone.
pub fn advertised_timeout_ms(now: Nanos, attempt_deadline: Nanos, client_deadline: Nanos) -> Option<u64> {
    let left = attempt_deadline.min(client_deadline).saturating_sub(now) / MILLISECOND;
    (left > 0).then_some(left)
}

/// When the attempt ends if its reply has begun. Its node is still giving the reply, so it has at least as long as the
/// client waits: only a node that gives nothing is given up earlier.
pub fn begun_reply_deadline(attempt_deadline: Nanos, client_deadline: Nanos) -> Nanos {
    attempt_deadline.max(client_deadline)
}

/// When a long value must begin to be passed on, however little of it has come: the client waits for its first byte only
/// until its deadline, and for the rest as long as the node gives it.
pub fn first_byte_deadline(client_deadline: Nanos) -> Nanos {
    client_deadline.saturating_sub(FIRST_BYTE_MARGIN)
}
