//! Values too long for one frame are streamed: only a few pieces are in memory, and the sender waits for the receiver.
//! This bounds the memory of one value; semaphores bound the number of such values. A value that must be known to be
//! whole before its first byte is passed on is buffered instead, within a limit for all such values together.

use crate::resp::invalid;
use bytes::{Bytes, BytesMut};
use std::collections::VecDeque;
use std::io::Error;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::mpsc::OwnedPermit;
use tokio::sync::{OwnedSemaphorePermit, Semaphore, SetOnce, mpsc, oneshot};
use tokio::time::{Instant, timeout};

/// The most bytes of one piece.
pub const PIECE_BYTES: usize = 16 * 1024;
/// The most pieces that are queued between the sender and the receiver.
const PIECES_IN_FLIGHT: usize = 2;
/// The most bytes that one value takes here, but for its last one: the queued pieces, one just read and one being written.
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
    /// When its first bytes had arrived.
    pub began_at: Instant,
    received: usize,
    pieces: Pieces,
    /// Resolves once the sender is gone.
    sender_gone: oneshot::Receiver<()>,
    _permit: Option<OwnedSemaphorePermit>,
}

/// The pieces of a value that were not taken yet.
#[derive(Debug)]
enum Pieces {
    /// They come from the sending end.
    Arriving(mpsc::Receiver<Bytes>),
    /// All of them are in memory.
    Buffered(VecDeque<BytesMut>),
}

/// Limits the memory of all values that are buffered whole. Clones share the limit.
#[derive(Clone, Debug)]
pub struct BufferedValueLimit {
    /// A permit for each [`PIECE_BYTES`].
    permits: Arc<Semaphore>,
    max_pieces: usize,
}

impl BufferedValueLimit {
    /// A limit of `max_bytes`, of which `available_bytes` may be used until [`BufferedValueLimit::extend`] adds to them.
    pub fn new(max_bytes: usize, available_bytes: usize) -> BufferedValueLimit {
        BufferedValueLimit {
            permits: Arc::new(Semaphore::new(available_bytes / PIECE_BYTES)),
            max_pieces: max_bytes / PIECE_BYTES,
        }
    }

    /// Makes so many more bytes available.
    pub fn extend(&self, bytes: usize) {
        self.permits.add_permits(bytes / PIECE_BYTES);
    }

    /// Waits for the memory of a value of this length.
    ///
    /// # Errors
    /// At once, if the value is longer than the limit.
    async fn acquire(&self, length: usize) -> Result<OwnedSemaphorePermit, Error> {
        let pieces = length.div_ceil(PIECE_BYTES);
        if pieces > self.max_pieces {
            return Err(invalid("a streamed value does not fit into the memory for buffered values"));
        }
        let permit = self.permits.clone().acquire_many_owned(pieces as u32).await;
        permit.map_err(|_| invalid("the limit of buffered values is closed"))
    }
}

/// When the last byte of a write arrived at this machine, once that is known.
pub type LastByteArrival = Arc<SetOnce<Instant>>;

/// A value that a client is still sending. It can be taken once: a second attempt finds it gone.
#[derive(Debug)]
pub struct Upload {
    /// The value's length in bytes.
    pub length: usize,
    /// When the write's last byte arrived.
    pub last_byte: LastByteArrival,
    value: Mutex<Option<StreamedValue>>,
}

impl Upload {
    /// Wraps the receiving end.
    pub fn new(value: StreamedValue, last_byte: LastByteArrival) -> Upload {
        Upload { length: value.length, last_byte, value: Mutex::new(Some(value)) }
    }

    /// Takes the receiving end; `None` if an attempt has taken it before.
    pub fn take(&self) -> Option<StreamedValue> {
        self.value.lock().ok()?.take()
    }
}

/// The sending end. The value's last byte is kept back until [`ValueSender::finish`] says that the message with the value has
/// come whole and valid: until then a length that does not fit, or an end that is missing, can still show that what was sent
/// is not the value. Dropped before, it makes the receiver fail.
pub struct ValueSender {
    pieces: mpsc::Sender<Bytes>,
    /// How many bytes of the value were not given to `send`.
    remaining: usize,
    /// The value's last byte, once all were given to `send`.
    last_byte: Option<Bytes>,
    /// Room for the last byte in the queue.
    last_permit: OwnedPermit<Bytes>,
    /// Never used; tells the receiver when it is dropped.
    _alive: oneshot::Sender<()>,
}

/// Creates both ends of a streamed value of `length` bytes, at least one. The receiving end holds `permit`, if the number
/// of such values is limited where it is made.
pub fn streamed_value(length: usize, permit: Option<OwnedSemaphorePermit>) -> (ValueSender, StreamedValue) {
    let (sender, pieces) = mpsc::channel(PIECES_IN_FLIGHT + 1);
    let last_permit = sender.clone().try_reserve_owned().expect("a new queue has room");
    let (alive, sender_gone) = oneshot::channel();
    let value = StreamedValue {
        length,
        began_at: Instant::now(),
        received: 0,
        pieces: Pieces::Arriving(pieces),
        sender_gone,
        _permit: permit,
    };
    let sender =
        ValueSender { pieces: sender, remaining: length, last_byte: None, last_permit, _alive: alive };
    (sender, value)
}

impl ValueSender {
    /// Sends a piece, waiting for space in the queue, but for the value's last byte. Cancel safe: a cancelled call has sent
    /// nothing.
    ///
    /// # Errors
    /// If the receiver is gone, or takes nothing for `STALL_TIMEOUT`, or the value is longer than announced.
    pub async fn send(&mut self, mut piece: Bytes) -> Result<(), Error> {
        let Some(remaining) = self.remaining.checked_sub(piece.len()) else {
            return Err(invalid("a streamed value is longer than announced"));
        };
        let permit = match timeout(STALL_TIMEOUT, self.pieces.reserve()).await {
            Ok(Ok(permit)) => permit,
            Ok(Err(_)) => return Err(invalid("the receiver of a streamed value is gone")),
            Err(_) => return Err(invalid("the receiver of a streamed value has stalled")),
        };
        self.remaining = remaining;
        if remaining == 0 && !piece.is_empty() {
            let last_byte = piece.split_off(piece.len() - 1);
            // A copy, since the rest of the piece would stay in memory with it.
            self.last_byte = Some(Bytes::copy_from_slice(&last_byte));
        }
        if !piece.is_empty() {
            permit.send(piece);
        }
        Ok(())
    }

    /// Sends the last byte. The caller has read the message to its end, and it is valid.
    ///
    /// # Errors
    /// If the value is not whole.
    pub fn finish(self) -> Result<(), Error> {
        let last_byte =
            self.last_byte.ok_or_else(|| invalid("a streamed value ended before its last byte"))?;
        self.last_permit.send(last_byte);
        Ok(())
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
        let piece = match &mut self.pieces {
            Pieces::Arriving(pieces) => pieces.recv().await,
            Pieces::Buffered(pieces) => pieces.pop_front().map(BytesMut::freeze),
        };
        let piece = piece.ok_or_else(|| invalid("a streamed value ended before its last byte"))?;
        self.received += piece.len();
        if self.received > self.length {
            Err(invalid("a streamed value is longer than announced"))
        } else {
            Ok(Some(piece))
        }
    }

    /// Waits until the whole value is in memory. Its sender is done then, and can't break it off any more.
    ///
    /// # Errors
    /// If the value ends early, or is too long for `limit`.
    pub async fn buffer_whole(mut self, limit: &BufferedValueLimit) -> Result<StreamedValue, Error> {
        // Too long for the queue of pieces, the value is not whole if its sender is gone before any piece was taken.
        let permit = tokio::select! {
            biased;
            permit = limit.acquire(self.length) => permit?,
            _ = &mut self.sender_gone => return Err(invalid("a streamed value ended before its last byte")),
        };
        let mut buffered = VecDeque::with_capacity(self.length.div_ceil(PIECE_BYTES));
        while let Some(piece) = self.next().await? {
            append(&mut buffered, piece);
        }
        let pieces = Pieces::Buffered(buffered);
        Ok(StreamedValue { received: 0, pieces, _permit: Some(permit), ..self })
    }
}

/// Appends to pieces that are filled up to [`PIECE_BYTES`] each. Kept as they arrive, short pieces would take far more
/// memory than their bytes.
fn append(pieces: &mut VecDeque<BytesMut>, mut bytes: Bytes) {
    while !bytes.is_empty() {
        if pieces.back().is_none_or(|last| last.len() == PIECE_BYTES) {
            pieces.push_back(BytesMut::with_capacity(PIECE_BYTES));
        }
        let Some(last) = pieces.back_mut() else { return };
        let part = bytes.split_to(bytes.len().min(PIECE_BYTES - last.len()));
        last.extend_from_slice(&part);
    }
}
