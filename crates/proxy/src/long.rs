//! Values that are longer than most, passed on as they come: a few pieces are on their way at a time, and whoever
//! brings them waits for whoever takes them. So what one holds is bounded, and so is their number.

use crate::resp::invalid;
use bytes::Bytes;
use std::io::Error;
use std::sync::Mutex;
use std::time::Duration;
use tokio::sync::{OwnedSemaphorePermit, mpsc};
use tokio::time::timeout;

/// How much is taken at a time, and how many pieces are on their way.
pub const PIECE_BYTES: usize = 16 * 1024;
const PIECES_IN_FLIGHT: usize = 2;
/// What one value holds here at most: what is on its way, one piece read and one being written.
pub const MAX_BUFFERED_BYTES: usize = (PIECES_IN_FLIGHT + 2) * PIECE_BYTES;
/// How long nobody may bring or take a piece before the value is given up.
pub const STALL_TIMEOUT: Duration = Duration::from_secs(10);

/// A value, whole or on its way.
#[derive(Debug)]
pub enum Value {
    Whole(Bytes),
    Streamed(StreamedValue),
}

impl Value {
    /// Its bytes, if they are all here.
    pub fn whole(&self) -> Option<&Bytes> {
        if let Value::Whole(value) = self { Some(value) } else { None }
    }
}

impl From<Bytes> for Value {
    fn from(value: Bytes) -> Value {
        Value::Whole(value)
    }
}

/// The taking end.
#[derive(Debug)]
pub struct StreamedValue {
    pub length: usize,
    received: usize,
    pieces: mpsc::Receiver<Bytes>,
    _permit: Option<OwnedSemaphorePermit>,
}

/// A value that a client is still sending. It can be taken once: another try would find it gone.
#[derive(Debug)]
pub struct Upload {
    pub length: usize,
    value: Mutex<Option<StreamedValue>>,
}

impl Upload {
    pub fn new(value: StreamedValue) -> Upload {
        Upload { length: value.length, value: Mutex::new(Some(value)) }
    }

    pub fn take(&self) -> Option<StreamedValue> {
        self.value.lock().ok()?.take()
    }
}

/// The bringing end; dropped before all has come, it breaks the value off.
pub struct ValueSender(mpsc::Sender<Bytes>);

/// With the place that it takes among all long values, if their number is bounded there.
pub fn streamed_value(length: usize, permit: Option<OwnedSemaphorePermit>) -> (ValueSender, StreamedValue) {
    let (sender, pieces) = mpsc::channel(PIECES_IN_FLIGHT);
    (ValueSender(sender), StreamedValue { length, received: 0, pieces, _permit: permit })
}

impl ValueSender {
    /// Waits until there is room for the piece; an error when nobody takes it.
    pub async fn send(&self, piece: Bytes) -> Result<(), Error> {
        match timeout(STALL_TIMEOUT, self.0.send(piece)).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) => Err(invalid("a long value that nobody wants any more")),
            Err(_) => Err(invalid("a long value that nobody reads")),
        }
    }
}

impl StreamedValue {
    /// The next piece, none after the last; an error when the value breaks off.
    pub async fn next(&mut self) -> Result<Option<Bytes>, Error> {
        if self.received == self.length {
            return Ok(None);
        }
        let piece = self.pieces.recv().await.ok_or_else(|| invalid("a long value broke off"))?;
        self.received += piece.len();
        if self.received > self.length {
            Err(invalid("a long value that does not end"))
        } else {
            Ok(Some(piece))
        }
    }
}
