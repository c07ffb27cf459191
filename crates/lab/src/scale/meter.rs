//! What a process sends and receives: all of it, and the worst second.

use pumicebay_carrier::Nanos;
use serde::Serialize;

/// What a frame has beside its message, and what TCP/IP puts before a segment of so many bytes at the most.
pub const FRAME: usize = 4 + 1;
pub const HEADERS: u64 = 40;
const SEGMENT: usize = 1460;
/// Both ends of a link beat twice a second with an empty frame.
const BEAT: u64 = 4 + 2;
const BEATS: u64 = 4;
/// A hello each way, as the fleet's links say it, and the segments that open a connection.
pub const HELLO: usize = 64;
/// Headers of the segments that open a connection.
pub const OPENING: u64 = 3;

/// Windows of a second that begin at each tenth.
const SLOTS: usize = 10;
const SLOT: Nanos = 100_000_000;

/// Bytes of the frames, those with headers, and messages.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Flow {
    pub frames: u64,
    pub headers: u64,
    pub messages: u64,
}

#[derive(Clone, Debug, Default)]
pub struct Meter {
    ring: [u32; SLOTS],
    slot: u64,
    within: u64,
    pub sent: Flow,
    pub received: Flow,
    /// Both ways, with headers and beats, in the worst second; and when that ended.
    pub worst: u64,
    pub worst_at: Nanos,
    /// Links by time, for the beats.
    pub links: u32,
    since: Nanos,
    link_nanos: u128,
}

pub fn segments(bytes: usize) -> u64 {
    bytes.div_ceil(SEGMENT) as u64
}

/// What the beats of one link are a second at each end, without headers and with them, and how many.
pub fn beats() -> (u64, u64, u64) {
    (BEATS * BEAT, BEATS * (BEAT + HEADERS), BEATS)
}

impl Meter {
    fn turn(&mut self, now: Nanos) {
        let slot = now / SLOT;
        let steps = slot.saturating_sub(self.slot).min(SLOTS as u64);
        for step in 1..=steps {
            let at = ((slot - steps + step) % SLOTS as u64) as usize;
            self.within -= u64::from(self.ring[at]);
            self.ring[at] = 0;
        }
        self.slot = slot;
    }

    fn add(&mut self, now: Nanos, bytes: u64) {
        self.turn(now);
        self.ring[(self.slot % SLOTS as u64) as usize] += bytes as u32;
        self.within += bytes;
        let all = self.within + u64::from(self.links) * beats().1;
        if all > self.worst {
            (self.worst, self.worst_at) = (all, now);
        }
    }

    pub fn sends(&mut self, now: Nanos, bytes: usize, segments: u64) {
        self.sent.frames += bytes as u64;
        self.sent.headers += segments * HEADERS;
        self.sent.messages += 1;
        self.add(now, bytes as u64 + segments * HEADERS);
    }

    pub fn receives(&mut self, now: Nanos, bytes: usize, segments: u64) {
        self.received.frames += bytes as u64;
        self.received.headers += segments * HEADERS;
        self.received.messages += 1;
        self.add(now, bytes as u64 + segments * HEADERS);
    }

    /// One link more, or one less.
    pub fn link(&mut self, now: Nanos, more: bool) {
        self.link_nanos += u128::from(now - self.since) * u128::from(self.links);
        self.since = now;
        self.links = if more { self.links + 1 } else { self.links.saturating_sub(1) };
        self.add(now, 0);
    }

    /// Forgets what was before the measured time.
    pub fn begin(&mut self, now: Nanos) {
        *self = Meter { links: self.links, since: now, slot: now / SLOT, ..Meter::default() };
    }

    /// Beats of all links until now, as a share of two ends: frames, headers, messages.
    pub fn beaten(&self, now: Nanos) -> Flow {
        let nanos = self.link_nanos + u128::from(now - self.since) * u128::from(self.links);
        let seconds = nanos as f64 / 1e9;
        let (frames, all, count) = beats();
        let part = |each: u64| (seconds * each as f64) as u64;
        Flow { frames: part(frames), headers: part(all - frames), messages: part(count) }
    }
}
