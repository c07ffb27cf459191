//! The RESP2 protocol: commands from clients and to cache nodes, and the replies to both.

mod decoding;
mod streaming;

pub use streaming::{FramePart, StreamingResp, take_piece};

use bytes::{BufMut, Bytes, BytesMut};
use decoding::{Decoded, decode};
use std::fmt::Write;
use std::io::{Error, ErrorKind};
use tokio::net::TcpStream;
use tokio_util::codec::{Decoder, Encoder, Framed};

/// The longest bulk string that is kept in memory as a whole.
pub const MAX_BULK_BYTES: usize = 64 * 1024;
/// The longest bulk string that is streamed.
pub const MAX_VALUE_BYTES: usize = 4 * 1024 * 1024;
/// Limits the memory that an incomplete frame can take; no valid command or reply is longer.
const MAX_FRAME_BYTES: usize = MAX_BULK_BYTES + 16 * 1024;
/// The longest line, without its end.
const MAX_LINE_BYTES: usize = 1024;
/// The most members of an array.
const MAX_ARRAY_LENGTH: usize = 64;
/// How deep arrays may be nested.
const MAX_DEPTH: usize = 4;

/// A RESP value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Frame {
    Simple(Bytes),
    Error(Bytes),
    Integer(i64),
    Bulk(Bytes),
    Null,
    Array(Vec<Frame>),
}

impl Frame {
    /// An error reply.
    pub fn error(text: impl Into<Bytes>) -> Frame {
        Frame::Error(text.into())
    }

    /// A simple string reply.
    pub fn simple(text: &'static str) -> Frame {
        Frame::Simple(Bytes::from_static(text.as_bytes()))
    }

    /// A command as an array of bulk strings.
    pub fn command<const N: usize>(words: [&[u8]; N]) -> Frame {
        Frame::Array(words.iter().map(|word| Frame::Bulk(Bytes::copy_from_slice(word))).collect())
    }
}

/// Codec for frames that are kept in memory as a whole.
#[derive(Clone, Copy, Debug, Default)]
pub struct Resp;

impl Decoder for Resp {
    type Item = Frame;
    type Error = Error;

    fn decode(&mut self, buffer: &mut BytesMut) -> Result<Option<Frame>, Error> {
        match decode(buffer)? {
            Decoded::Whole(frame) => Ok(Some(frame)),
            Decoded::Partial => Ok(None),
            Decoded::Long(..) => Err(invalid("bulk string too long")),
        }
    }
}

impl Encoder<&Frame> for Resp {
    type Error = Error;

    fn encode(&mut self, frame: &Frame, buffer: &mut BytesMut) -> Result<(), Error> {
        match frame {
            Frame::Simple(text) => line(buffer, b'+', text),
            Frame::Error(text) => line(buffer, b'-', text),
            Frame::Integer(number) => number_line(buffer, b':', *number),
            Frame::Null => line(buffer, b'$', b"-1"),
            Frame::Bulk(bytes) => {
                number_line(buffer, b'$', bytes.len() as i64);
                buffer.reserve(bytes.len() + 2);
                buffer.put_slice(bytes);
                buffer.put_slice(b"\r\n");
            }
            Frame::Array(parts) => {
                number_line(buffer, b'*', parts.len() as i64);
                for part in parts {
                    self.encode(part, buffer)?;
                }
            }
        }
        Ok(())
    }
}

/// Encodes an array of `members` and one more of `length` bytes, up to the bytes of the latter, which the
/// caller sends.
pub fn encode_streamed_array(members: &[Frame], length: usize, buffer: &mut BytesMut) -> Result<(), Error> {
    number_line(buffer, b'*', members.len() as i64 + 1);
    members.iter().try_for_each(|member| Resp.encode(member, buffer))?;
    number_line(buffer, b'$', length as i64);
    Ok(())
}

/// Writes the number straight into the buffer, without allocating a string.
fn number_line(buffer: &mut BytesMut, kind: u8, number: i64) {
    buffer.put_u8(kind);
    let _ = write!(buffer, "{number}\r\n");
}

fn line(buffer: &mut BytesMut, kind: u8, text: &[u8]) {
    buffer.reserve(text.len() + 3);
    buffer.put_u8(kind);
    // A line break in the text would start another reply.
    buffer.put(text.split(|byte| b"\r\n".contains(byte)).next().unwrap_or_default());
    buffer.put_slice(b"\r\n");
}

/// Returns once data of the next frame, or the end of the stream, can be read.
pub async fn readable<C>(framed: &Framed<TcpStream, C>) -> Result<(), Error> {
    if framed.read_buffer().is_empty() {
        framed.get_ref().peek(&mut [0]).await?;
    }
    Ok(())
}

/// The error for input that violates the protocol.
pub fn invalid(why: &'static str) -> Error {
    Error::new(ErrorKind::InvalidData, why)
}
