//! Memory for answers of nodes that are longer than most: all connections share it, and what does not fit is
//! turned down by its length, before it comes.

use crate::resp::{LONGEST_BULK, bad};
use bytes::Bytes;
use std::io::Error;
use std::sync::Arc;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// What one connection reads, and what it holds of the memory for that.
#[derive(Debug)]
pub struct Large {
    /// In pieces of the usual length.
    room: Arc<Semaphore>,
    held: Option<(usize, OwnedSemaphorePermit)>,
}

/// Gives the memory back once nobody needs the value any more.
struct Kept {
    value: Bytes,
    _memory: OwnedSemaphorePermit,
}

impl AsRef<[u8]> for Kept {
    fn as_ref(&self) -> &[u8] {
        &self.value
    }
}

impl Large {
    pub fn new(room: Arc<Semaphore>) -> Large {
        Large { room, held: None }
    }

    /// Takes memory for an answer of this length, once: to read it and to write it to a client.
    pub fn admit(&mut self, length: usize) -> Result<(), Error> {
        if length <= LONGEST_BULK.max(self.admitted()) {
            return Ok(());
        }
        let pieces = u32::try_from(2 * length.div_ceil(LONGEST_BULK)).ok();
        let permit = pieces.and_then(|pieces| self.room.clone().try_acquire_many_owned(pieces).ok());
        self.held = Some((length, permit.ok_or_else(|| bad("no memory for so long an answer"))?));
        Ok(())
    }

    /// The longest that has been admitted.
    pub fn admitted(&self) -> usize {
        self.held.as_ref().map_or(0, |(length, _)| *length)
    }

    /// The value that was read, with the memory that was taken for it.
    pub fn keep(&mut self, value: Bytes) -> Bytes {
        match self.held.take() {
            Some((_, memory)) => Bytes::from_owner(Kept { value, _memory: memory }),
            None => value,
        }
    }
}
