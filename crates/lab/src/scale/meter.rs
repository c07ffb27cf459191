//! What a process sends and receives: all of it, and the worst second.

use pumicebay_carrier::Nanos;
use serde::Serialize;

/// What a frame has beside its message, and what TCP/IP puts before a segment of so many bytes at the most.
pub const FRAME_OVERHEAD: usize = 4 + 1;
pub const SEGMENT_HEADER_BYTES: u64 = 40;
const MAX_SEGMENT_BYTES: usize = 1460;
/// Both ends of a link beat twice a second with an empty frame.
const HEARTBEAT_BYTES: u64 = 4 + 2;
const HEARTBEATS_PER_SECOND: u64 = 4;
/// A hello each way, as the fleet's links say it, and the segments that open a connection.
pub const HELLO_BYTES: usize = 64;
/// Headers of the segments that open a connection.
pub const HANDSHAKE_SEGMENTS: u64 = 3;

/// Windows of a second that begin at each tenth.
const WINDOW_SLOTS: usize = 10;
const SLOT_DURATION: Nanos = 100_000_000;

/// Bytes of the frames, those with headers, and messages.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Flow {
    pub frames: u64,
    pub headers: u64,
    pub messages: u64,
}

#[derive(Clone, Debug, Default)]
pub struct Meter {
    slot_bytes: [u32; WINDOW_SLOTS],
    current_slot: u64,
    window_bytes: u64,
    pub sent: Flow,
    pub received: Flow,
    /// Both ways, with headers and beats, in the worst second; and when that ended.
    pub peak_bytes: u64,
    pub peak_at: Nanos,
    /// Links by time, for the beats.
    pub links: u32,
    links_since: Nanos,
    link_nanos: u128,
}

pub fn segments(bytes: usize) -> u64 {
    bytes.div_ceil(MAX_SEGMENT_BYTES) as u64
}

/// What the beats of one link are a second at each end, without headers and with them, and how many.
pub fn heartbeat_rates() -> (u64, u64, u64) {
    (
        HEARTBEATS_PER_SECOND * HEARTBEAT_BYTES,
        HEARTBEATS_PER_SECOND * (HEARTBEAT_BYTES + SEGMENT_HEADER_BYTES),
        HEARTBEATS_PER_SECOND,
    )
}

impl Meter {
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

    fn record(&mut self, now: Nanos, bytes: u64) {
        self.advance(now);
        self.slot_bytes[(self.current_slot % WINDOW_SLOTS as u64) as usize] += bytes as u32;
        self.window_bytes += bytes;
        let total = self.window_bytes + u64::from(self.links) * heartbeat_rates().1;
        if total > self.peak_bytes {
            (self.peak_bytes, self.peak_at) = (total, now);
        }
    }

    pub fn record_sent(&mut self, now: Nanos, bytes: usize, segments: u64) {
        self.sent.frames += bytes as u64;
        self.sent.headers += segments * SEGMENT_HEADER_BYTES;
        self.sent.messages += 1;
        self.record(now, bytes as u64 + segments * SEGMENT_HEADER_BYTES);
    }

    pub fn record_received(&mut self, now: Nanos, bytes: usize, segments: u64) {
        self.received.frames += bytes as u64;
        self.received.headers += segments * SEGMENT_HEADER_BYTES;
        self.received.messages += 1;
        self.record(now, bytes as u64 + segments * SEGMENT_HEADER_BYTES);
    }

    /// One link more, or one less.
    pub fn link_changed(&mut self, now: Nanos, opened: bool) {
        self.link_nanos += u128::from(now - self.links_since) * u128::from(self.links);
        self.links_since = now;
        self.links = if opened { self.links + 1 } else { self.links.saturating_sub(1) };
        self.record(now, 0);
    }

    /// Forgets what was before the measured time.
    pub fn reset(&mut self, now: Nanos) {
        *self = Meter {
            links: self.links,
            links_since: now,
            current_slot: now / SLOT_DURATION,
            ..Meter::default()
        };
    }

    /// Beats of all links until now, as a share of two ends: frames, headers, messages.
    pub fn heartbeat_traffic(&self, now: Nanos) -> Flow {
        let nanos = self.link_nanos + u128::from(now - self.links_since) * u128::from(self.links);
        let seconds = nanos as f64 / 1e9;
        let (frames, total, count) = heartbeat_rates();
        let amount = |per_second: u64| (seconds * per_second as f64) as u64;
        Flow { frames: amount(frames), headers: amount(total - frames), messages: amount(count) }
    }
}
