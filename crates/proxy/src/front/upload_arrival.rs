//! Finds out when the last byte of a streamed write arrived. The client's time counts from then, but a connection reads
//! a value only as fast as a node takes it, so the rest of the value may long be in the kernel.

use crate::front::client_stream::ClientStream;
use crate::front::input::{disconnected, read};
use crate::resp::StreamingResp;
use crate::streaming::LastByteArrival;
use futures_util::FutureExt;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep};
use tokio_util::codec::Framed;

/// How often to check while nothing is read. A client's time is taken for over by so much too early at most.
const ARRIVAL_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// A receive buffer with so many unread bytes may be full: the kernel uses a part of it for its own records, and offers no room
/// that is smaller than a segment.
const MIN_FULL_BYTES: usize = 32 * 1024;
/// The bytes that follow a value in RESP.
const TERMINATOR_BYTES: usize = 2;

/// Follows one streamed write until its last byte has arrived.
pub struct UploadArrival {
    /// How many bytes of the command the connection has not passed on.
    bytes_left: usize,
    /// When they had not all arrived.
    incomplete_at: Instant,
    /// When the receive buffer last had room that the client did not use.
    had_room_at: Instant,
    /// Since when it has had room, if it has.
    room_since: Option<Instant>,
    /// Since when it has been full: the node is slower than the client, whose last byte may lie in its own send buffer.
    blocked_since: Option<Instant>,
    /// How long the client waits from its last byte on.
    client_timeout: Option<Duration>,
    last_byte: LastByteArrival,
}

impl UploadArrival {
    /// A write whose value of this length had begun to arrive at `begun_at`.
    pub fn new(length: usize, begun_at: Instant) -> UploadArrival {
        let bytes_left = length + TERMINATOR_BYTES;
        UploadArrival {
            bytes_left,
            incomplete_at: begun_at,
            had_room_at: begun_at,
            room_since: None,
            blocked_since: None,
            client_timeout: None,
            last_byte: Arc::default(),
        }
    }

    /// Limits the time for which the node may be slower than the client to that for which the client waits.
    pub fn limit(&mut self, client_timeout: Duration) {
        self.client_timeout = Some(client_timeout);
    }

    /// The time of arrival, which is set once it is known.
    pub fn last_byte(&self) -> LastByteArrival {
        self.last_byte.clone()
    }

    /// Whether the time of arrival is known.
    fn is_known(&self) -> bool {
        self.last_byte.initialized()
    }

    /// Notes that so many bytes were taken from the connection.
    pub fn record_taken(&mut self, bytes: usize) {
        self.bytes_left = self.bytes_left.saturating_sub(bytes);
    }

    /// Notes that the next bytes came after so long a wait for the client.
    pub fn record_wait(&mut self, waited: Duration) {
        if waited >= ARRIVAL_CHECK_INTERVAL {
            self.blocked_since = None;
            self.had_room_at = Instant::now();
        }
    }

    /// Notes that the whole command was taken from the connection.
    pub fn record_end(&mut self) {
        self.bytes_left = 0;
    }

    /// Looks whether the last byte has arrived. If so, the last time at which the write was incomplete counts, so that no
    /// client is answered too late. If the node has been slower than the client for as long as the client waits, its last
    /// byte counts as sent when that began: a client that is still writing is then refused early, which does no harm.
    pub fn check(&mut self, framed: &Framed<ClientStream, StreamingResp>) {
        if self.is_known() {
            return;
        }
        let stream = framed.get_ref();
        // The bytes read last came before those that are left, or with them.
        self.incomplete_at = self.incomplete_at.max(stream.received_at());
        let (now, unread) = (Instant::now(), stream.unread_bytes());
        if framed.read_buffer().len() + unread >= self.bytes_left {
            let _ = self.last_byte.set(self.blocked_since.unwrap_or(self.incomplete_at));
            return;
        }
        self.incomplete_at = now;
        self.watch_room(now, unread);
        match (self.blocked_since, self.client_timeout) {
            (Some(since), Some(timeout)) if since + timeout <= now => _ = self.last_byte.set(since),
            _ => {}
        }
    }

    /// Finds out whether the client could send more, by the bytes that are unread. A client that has more to send uses room at
    /// once.
    fn watch_room(&mut self, now: Instant, unread: usize) {
        if unread >= MIN_FULL_BYTES {
            self.room_since = None;
            self.blocked_since.get_or_insert(self.had_room_at);
            return;
        }
        let room_since = *self.room_since.get_or_insert(now);
        if self.blocked_since.is_none() || unread == 0 && room_since + ARRIVAL_CHECK_INTERVAL <= now {
            self.blocked_since = None;
            self.had_room_at = now;
        }
    }

    /// Keeps looking while nothing is taken. Returns once the client has disconnected.
    pub async fn watch(&mut self, framed: &mut Framed<ClientStream, StreamingResp>) {
        loop {
            self.check(framed);
            // TCP offers new room only when something is read, so a little is read ahead: a client that has more sends it then.
            let unread = framed.get_ref().unread_bytes();
            if !self.is_known()
                && (1..MIN_FULL_BYTES).contains(&unread)
                && framed.read_buffer().len() < MIN_FULL_BYTES
            {
                let _ = read(framed).now_or_never();
            }
            tokio::select! {
                biased;
                () = disconnected(framed.get_ref().tcp()) => return,
                () = sleep(ARRIVAL_CHECK_INTERVAL), if !self.is_known() => {}
            }
        }
    }
}
