//! Values that are longer than most, passed on as they come: a few pieces are on their way at a time, and whoever
//! brings them waits for whoever takes them. So what one holds is bounded, and so is their number.

use crate::resp::bad;
use bytes::Bytes;
use std::io::Error;
use std::sync::Mutex;
use std::time::Duration;
use tokio::sync::{OwnedSemaphorePermit, mpsc};
use tokio::time::timeout;

/// How much is taken at a time, and how many pieces are on their way.
pub const PIECE: usize = 16 * 1024;
const ON_THE_WAY: usize = 2;
/// What one value holds here at most: what is on its way, one piece read and one being written.
pub const HELD: usize = (ON_THE_WAY + 2) * PIECE;
/// How long nobody may bring or take a piece before the value is given up.
pub const SILENT: Duration = Duration::from_secs(10);

/// A value, whole or on its way.
#[derive(Debug)]
pub enum Value {
    Whole(Bytes),
    Long(Long),
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
pub struct Long {
    pub length: usize,
    came: usize,
    pieces: mpsc::Receiver<Bytes>,
    _room: Option<OwnedSemaphorePermit>,
}

/// A value that a client is still sending. It can be taken once: another try would find it gone.
#[derive(Debug)]
pub struct Upload {
    pub length: usize,
    value: Mutex<Option<Long>>,
}

impl Upload {
    pub fn new(value: Long) -> Upload {
        Upload { length: value.length, value: Mutex::new(Some(value)) }
    }

    pub fn take(&self) -> Option<Long> {
        self.value.lock().ok()?.take()
    }
}

/// The bringing end; dropped before all has come, it breaks the value off.
pub struct Source(mpsc::Sender<Bytes>);

/// With the place that it takes among all long values, if their number is bounded there.
pub fn long(length: usize, room: Option<OwnedSemaphorePermit>) -> (Source, Long) {
    let (source, pieces) = mpsc::channel(ON_THE_WAY);
    (Source(source), Long { length, came: 0, pieces, _room: room })
}

impl Source {
    /// Waits until there is room for the piece; an error when nobody takes it.
    pub async fn send(&self, piece: Bytes) -> Result<(), Error> {
        match timeout(SILENT, self.0.send(piece)).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) => Err(bad("a long value that nobody wants any more")),
            Err(_) => Err(bad("a long value that nobody reads")),
        }
    }
}

impl Long {
    /// The next piece, none after the last; an error when the value breaks off.
    pub async fn next(&mut self) -> Result<Option<Bytes>, Error> {
        if self.came == self.length {
            return Ok(None);
        }
        let piece = self.pieces.recv().await.ok_or_else(|| bad("a long value broke off"))?;
        self.came += piece.len();
        if self.came > self.length { Err(bad("a long value that does not end")) } else { Ok(Some(piece)) }
    }
}
