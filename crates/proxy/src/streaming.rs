//! Values too long to be kept in memory are streamed: only a few pieces are buffered, and the sender waits
//! for the receiver. This bounds the memory of one value; semaphores bound the number of such values.

use crate::resp::invalid;
use bytes::Bytes;
use std::io::Error;
use std::sync::Mutex;
use std::time::Duration;
use tokio::sync::{OwnedSemaphorePermit, mpsc};
use tokio::time::timeout;

/// The most bytes of one piece.
pub const PIECE_BYTES: usize = 16 * 1024;
/// The most pieces that are queued between the sender and the receiver.
const PIECES_IN_FLIGHT: usize = 2;
/// The most bytes that one value takes here: the queued pieces, one piece just read and one being written.
pub const MAX_BUFFERED_BYTES: usize = (PIECES_IN_FLIGHT + 2) * PIECE_BYTES;
/// How long the sender may wait for the receiver, and a node's next piece may take, before the value is given
/// up.
pub const STALL_TIMEOUT: Duration = Duration::from_secs(10);

/// A value, either in memory as a whole or streamed.
#[derive(Debug)]
pub enum Value {
    /// All bytes of the value.
    Whole(Bytes),
    /// A value whose bytes are still arriving.
    Streamed(StreamedValue),
}

impl Value {
    /// The value's bytes if it is in memory as a whole.
    pub fn whole(&self) -> Option<&Bytes> {
        if let Value::Whole(value) = self { Some(value) } else { None }
    }
}

impl From<Bytes> for Value {
    fn from(value: Bytes) -> Value {
        Value::Whole(value)
    }
}

/// The receiving end of a streamed value.
#[derive(Debug)]
pub struct StreamedValue {
    /// The value's length in bytes.
    pub length: usize,
    received: usize,
    pieces: mpsc::Receiver<Bytes>,
    _permit: Option<OwnedSemaphorePermit>,
}

/// A value that a client is still sending. It can be taken once: a second attempt finds it gone.
#[derive(Debug)]
pub struct Upload {
    /// The value's length in bytes.
    pub length: usize,
    value: Mutex<Option<StreamedValue>>,
}

impl Upload {
    /// Wraps the receiving end.
    pub fn new(value: StreamedValue) -> Upload {
        Upload { length: value.length, value: Mutex::new(Some(value)) }
    }

    /// Takes the receiving end; `None` if an attempt has taken it before.
    pub fn take(&self) -> Option<StreamedValue> {
        self.value.lock().ok()?.take()
    }
}

/// The sending end. Dropped before the last piece, it makes the receiver fail.
pub struct ValueSender(mpsc::Sender<Bytes>);

/// Creates both ends of a streamed value of `length` bytes. The receiving end holds `permit`, if the number
/// of such values is limited where it is made.
pub fn streamed_value(length: usize, permit: Option<OwnedSemaphorePermit>) -> (ValueSender, StreamedValue) {
    let (sender, pieces) = mpsc::channel(PIECES_IN_FLIGHT);
    (ValueSender(sender), StreamedValue { length, received: 0, pieces, _permit: permit })
}

impl ValueSender {
    /// Sends a piece, waiting for space in the queue.
    ///
    /// # Errors
    /// If the receiver is gone, or takes nothing for `STALL_TIMEOUT`.
    pub async fn send(&self, piece: Bytes) -> Result<(), Error> {
        match timeout(STALL_TIMEOUT, self.0.send(piece)).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) => Err(invalid("the receiver of a streamed value is gone")),
            Err(_) => Err(invalid("the receiver of a streamed value has stalled")),
        }
    }
}

impl StreamedValue {
    /// The next piece; `None` after the last one.
    ///
    /// # Errors
    /// If the sender is gone before the last piece, or has sent more than the length.
    pub async fn next(&mut self) -> Result<Option<Bytes>, Error> {
        if self.received == self.length {
            return Ok(None);
        }
        let piece =
            self.pieces.recv().await.ok_or_else(|| invalid("a streamed value ended before its last byte"))?;
        self.received += piece.len();
        if self.received > self.length {
            Err(invalid("a streamed value is longer than announced"))
        } else {
            Ok(Some(piece))
        }
    }
}
