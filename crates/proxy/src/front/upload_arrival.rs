//! Finds out when the last byte of a streamed write arrived. The client's time counts from then, but a connection reads
//! a value only as fast as a node takes it, so the rest of the value may long be in the kernel.

use crate::front::client_stream::ClientStream;
use crate::front::input::disconnected;
use crate::resp::StreamingResp;
use crate::streaming::LastByteArrival;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep};
use tokio_util::codec::Framed;

/// How often to check while nothing is read. A client's time is taken for over by so much too early at most.
const ARRIVAL_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// The bytes that follow a value in RESP.
const TERMINATOR_BYTES: usize = 2;

/// Follows one streamed write until its last byte has arrived.
pub struct UploadArrival {
    /// How many bytes of the command the connection has not passed on.
    bytes_left: usize,
    /// When they had not all arrived.
    incomplete_at: Instant,
    last_byte: LastByteArrival,
}

impl UploadArrival {
    /// A write whose value of this length had begun to arrive at `begun_at`.
    pub fn new(length: usize, begun_at: Instant) -> UploadArrival {
        let bytes_left = length + TERMINATOR_BYTES;
        UploadArrival { bytes_left, incomplete_at: begun_at, last_byte: Arc::default() }
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

    /// Notes that the whole command was taken from the connection.
    pub fn record_end(&mut self) {
        self.bytes_left = 0;
    }

    /// Looks whether the last byte has arrived. If so, the last time at which the write was incomplete counts, so that no
    /// client is answered too late.
    pub fn check(&mut self, framed: &Framed<ClientStream, StreamingResp>) {
        if self.is_known() {
            return;
        }
        let stream = framed.get_ref();
        // The bytes read last came before those that are left, or with them.
        self.incomplete_at = self.incomplete_at.max(stream.received_at());
        if framed.read_buffer().len() + stream.unread_bytes() < self.bytes_left {
            self.incomplete_at = Instant::now();
        } else {
            let _ = self.last_byte.set(self.incomplete_at);
        }
    }

    /// Keeps looking while nothing is read. Returns once the client has disconnected.
    pub async fn watch(&mut self, framed: &Framed<ClientStream, StreamingResp>) {
        let client_left = disconnected(framed.get_ref().tcp());
        tokio::pin!(client_left);
        loop {
            self.check(framed);
            tokio::select! {
                biased;
                () = &mut client_left => return,
                () = sleep(ARRIVAL_CHECK_INTERVAL), if !self.is_known() => {}
            }
        }
    }
}
