//! Traffic of a process: totals, and the peak within any second.

use pumicebay_carrier::Nanos;
use serde::Serialize;

/// Bytes of a frame beside its message: length and type.
pub const FRAME_OVERHEAD: usize = 4 + 1;
/// Bytes of the TCP/IP headers of a segment.
pub const SEGMENT_HEADER_BYTES: u64 = 40;
/// Largest payload of a segment in bytes.
const MAX_SEGMENT_BYTES: usize = 1460;
/// Bytes of a heartbeat, an empty frame; each end of a link sends one twice a second.
const HEARTBEAT_BYTES: u64 = 4 + 2;
/// Heartbeats that one end sends and receives on a link in a second.
const HEARTBEATS_PER_SECOND: u64 = 4;
/// Bytes of the hello frame that each end sends on a new link.
pub const HELLO_BYTES: usize = 64;
/// Segments that an end sends to open a connection, for the bytes of their headers; it receives one less.
pub const HANDSHAKE_SEGMENTS: u64 = 3;

/// Number of slots of the sliding window of one second.
const WINDOW_SLOTS: usize = 10;
/// Duration of a slot: a tenth of a second.
const SLOT_DURATION: Nanos = 100_000_000;

/// Amount of traffic in one direction.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Flow {
    /// Bytes of frames.
    pub frames: u64,
    /// Bytes of TCP/IP headers.
    pub headers: u64,
    /// Number of messages.
    pub messages: u64,
}

/// Counts the traffic of a process and tracks its peak second; times are global simulated times.
#[derive(Clone, Debug, Default)]
pub struct Meter {
    /// Bytes of each slot of the window, used as a ring buffer.
    slot_bytes: [u32; WINDOW_SLOTS],
    /// Number of the current slot since time 0.
    current_slot: u64,
    /// Sum of `slot_bytes`.
    window_bytes: u64,
    /// Sent without heartbeats.
    pub sent: Flow,
    /// Received without heartbeats.
    pub received: Flow,
    /// Bytes of the peak second: both directions, with headers and heartbeats.
    pub peak_bytes: u64,
    /// End of the peak second.
    pub peak_at: Nanos,
    /// Number of open links; `link_nanos` integrates it over time, to derive the traffic of heartbeats.
    pub links: u32,
    /// Time of the last change of `links`.
    links_since: Nanos,
    link_nanos: u128,
}

/// Number of segments that carry so many bytes.
pub fn segments(bytes: usize) -> u64 {
    bytes.div_ceil(MAX_SEGMENT_BYTES) as u64
}

/// Heartbeats of one link at each end in a second: bytes of frames, bytes with headers, and number.
pub fn heartbeat_rates() -> (u64, u64, u64) {
    (
        HEARTBEATS_PER_SECOND * HEARTBEAT_BYTES,
        HEARTBEATS_PER_SECOND * (HEARTBEAT_BYTES + SEGMENT_HEADER_BYTES),
        HEARTBEATS_PER_SECOND,
    )
}

impl Meter {
    /// Moves the window to `now` and drops the slots that left it.
    fn advance(&mut self, now: Nanos) {
        let slot = now / SLOT_DURATION;
        let steps = slot.saturating_sub(self.current_slot).min(WINDOW_SLOTS as u64);
        for step in 1..=steps {
            let index = ((slot - steps + step) % WINDOW_SLOTS as u64) as usize;
            self.window_bytes -= u64::from(self.slot_bytes[index]);
            self.slot_bytes[index] = 0;
        }
        self.current_slot = slot;
    }

    /// Adds bytes to the window and updates the peak.
    fn record(&mut self, now: Nanos, bytes: u64) {
        self.advance(now);
        self.slot_bytes[(self.current_slot % WINDOW_SLOTS as u64) as usize] += bytes as u32;
        self.window_bytes += bytes;
        let total = self.window_bytes + u64::from(self.links) * heartbeat_rates().1;
        if total > self.peak_bytes {
            (self.peak_bytes, self.peak_at) = (total, now);
        }
    }

    /// Counts a sent message.
    pub fn record_sent(&mut self, now: Nanos, bytes: usize, segments: u64) {
        self.sent.frames += bytes as u64;
        self.sent.headers += segments * SEGMENT_HEADER_BYTES;
        self.sent.messages += 1;
        self.record(now, bytes as u64 + segments * SEGMENT_HEADER_BYTES);
    }

    /// Counts a received message.
    pub fn record_received(&mut self, now: Nanos, bytes: usize, segments: u64) {
        self.received.frames += bytes as u64;
        self.received.headers += segments * SEGMENT_HEADER_BYTES;
        self.received.messages += 1;
        self.record(now, bytes as u64 + segments * SEGMENT_HEADER_BYTES);
    }

    /// Counts a link that was opened, or closed.
    pub fn link_changed(&mut self, now: Nanos, opened: bool) {
        self.link_nanos += u128::from(now - self.links_since) * u128::from(self.links);
        self.links_since = now;
        self.links = if opened { self.links + 1 } else { self.links.saturating_sub(1) };
        self.record(now, 0);
    }

    /// Clears all counts at the start of the measured time; open links stay.
    pub fn reset(&mut self, now: Nanos) {
        *self = Meter {
            links: self.links,
            links_since: now,
            current_slot: now / SLOT_DURATION,
            ..Meter::default()
        };
    }

    /// Heartbeats that this end sent and received on all links until `now`.
    pub fn heartbeat_traffic(&self, now: Nanos) -> Flow {
        let nanos = self.link_nanos + u128::from(now - self.links_since) * u128::from(self.links);
        let seconds = nanos as f64 / 1e9;
        let (frames, total, count) = heartbeat_rates();
        let amount = |per_second: u64| (seconds * per_second as f64) as u64;
        Flow { frames: amount(frames), headers: amount(total - frames), messages: amount(count) }
    }
}
