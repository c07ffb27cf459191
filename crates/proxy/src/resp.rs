//! RESP2 on the wire: commands from clients and to cache nodes, and the replies to both.

use crate::large::Large;
use bytes::{BufMut, Bytes, BytesMut};
use smallvec::SmallVec;
use std::fmt::Write;
use std::io::{Error, ErrorKind};
use tokio::net::TcpStream;
use tokio_util::codec::{Decoder, Encoder, Framed};

/// The longest bulk string that a client may send and a node usually does; the longest line and array.
pub const LONGEST_BULK: usize = 64 * 1024;
/// A frame that is not whole by then is no command or reply of ours: guards the memory.
const LONGEST_FRAME: usize = LONGEST_BULK + 16 * 1024;
const LONGEST_LINE: usize = 1024;
const LONGEST_ARRAY: usize = 64;
const DEEPEST: usize = 4;

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
    pub fn error(text: impl Into<Bytes>) -> Frame {
        Frame::Error(text.into())
    }

    pub fn simple(text: &'static str) -> Frame {
        Frame::Simple(Bytes::from_static(text.as_bytes()))
    }

    pub fn command<const N: usize>(words: [&[u8]; N]) -> Frame {
        Frame::Array(words.iter().map(|word| Frame::Bulk(Bytes::copy_from_slice(word))).collect())
    }
}

#[derive(Clone, Copy, Debug, Default)]
pub struct Resp;

impl Decoder for Resp {
    type Item = Frame;
    type Error = Error;

    fn decode(&mut self, buffer: &mut BytesMut) -> Result<Option<Frame>, Error> {
        let admit =
            &mut |length| if length > LONGEST_BULK { Err(bad("bulk string too long")) } else { Ok(()) };
        let frame = decode(buffer, admit)?;
        bounded(frame, buffer, LONGEST_FRAME)
    }
}

/// The replies of nodes, whose values may be longer where there is memory for them.
#[derive(Debug)]
pub struct Replies(pub Large);

impl Decoder for Replies {
    type Item = Frame;
    type Error = Error;

    fn decode(&mut self, buffer: &mut BytesMut) -> Result<Option<Frame>, Error> {
        let frame = decode(buffer, &mut |length| self.0.admit(length))?;
        bounded(frame, buffer, LONGEST_FRAME + self.0.admitted())
    }
}

impl Encoder<&Frame> for Replies {
    type Error = Error;

    fn encode(&mut self, frame: &Frame, buffer: &mut BytesMut) -> Result<(), Error> {
        Resp.encode(frame, buffer)
    }
}

type Admit<'a> = &'a mut dyn FnMut(usize) -> Result<(), Error>;

fn decode(buffer: &mut BytesMut, admit: Admit) -> Result<Option<Frame>, Error> {
    let (mut at, mut shapes) = (0, Shapes::new());
    let whole = measure(buffer, &mut at, DEEPEST, admit, &mut shapes)?;
    Ok(whole.then(|| cut(&buffer.split_to(at).freeze(), &mut shapes.iter())))
}

fn bounded(frame: Option<Frame>, rest: &[u8], longest: usize) -> Result<Option<Frame>, Error> {
    if frame.is_none() && rest.len() > longest { Err(bad("frame too long")) } else { Ok(frame) }
}

/// A part of a frame, by where it stands in the buffer. The parts of an array follow it.
#[derive(Clone, Copy)]
enum Shape {
    Line(u8, usize, usize),
    Integer(i64),
    Bulk(usize, usize),
    Null,
    Array(usize),
}

/// As many as a command or reply of ours has, without memory of their own.
type Shapes = SmallVec<[Shape; 8]>;

/// Finds the end of the frame that begins at `at`, and its parts; false while it is not whole.
fn measure(
    buffer: &[u8],
    at: &mut usize,
    depth: usize,
    admit: Admit,
    shapes: &mut Shapes,
) -> Result<bool, Error> {
    let Some(&kind) = buffer.get(*at) else { return Ok(false) };
    if !b"+-:$*".contains(&kind) {
        return Err(bad("expected a RESP type"));
    }
    let from = *at + 1;
    let line = &buffer[from..buffer.len().min(from + LONGEST_LINE)];
    let Some(length) = line.iter().position(|&byte| byte == b'\n') else {
        return if line.len() == LONGEST_LINE { Err(bad("line too long")) } else { Ok(false) };
    };
    let text = line[..length].strip_suffix(b"\r").ok_or_else(|| bad("line without CR"))?;
    *at = from + length + 1;
    let number = || {
        let text = std::str::from_utf8(text).ok().filter(|text| !text.starts_with('+'));
        text.and_then(|text| text.parse::<i64>().ok()).ok_or_else(|| bad("expected a number"))
    };
    let shape = match kind {
        b':' => Shape::Integer(number()?),
        b'$' | b'*' if number()? == -1 => Shape::Null,
        b'$' => {
            let length = usize::try_from(number()?).map_err(|_| bad("invalid bulk length"))?;
            admit(length)?;
            let (begin, end) = (*at, *at + length);
            if buffer.len() < end + 2 {
                return Ok(false);
            }
            if &buffer[end..end + 2] != b"\r\n" {
                return Err(bad("bulk string without end"));
            }
            *at = end + 2;
            Shape::Bulk(begin, end)
        }
        b'*' => {
            let length = usize::try_from(number()?).map_err(|_| bad("invalid array length"))?;
            if length > LONGEST_ARRAY || depth == 0 {
                return Err(bad("array too long or too deep"));
            }
            shapes.push(Shape::Array(length));
            for _ in 0..length {
                if !measure(buffer, at, depth - 1, admit, shapes)? {
                    return Ok(false);
                }
            }
            return Ok(true);
        }
        _ => Shape::Line(kind, from, from + text.len()),
    };
    shapes.push(shape);
    Ok(true)
}

/// The next frame of these shapes; each was measured, so none is missing.
fn cut(buffer: &Bytes, shapes: &mut std::slice::Iter<'_, Shape>) -> Frame {
    match shapes.next() {
        Some(&Shape::Line(b'+', begin, end)) => Frame::Simple(buffer.slice(begin..end)),
        Some(&Shape::Line(_, begin, end)) => Frame::Error(buffer.slice(begin..end)),
        Some(&Shape::Integer(number)) => Frame::Integer(number),
        Some(&Shape::Bulk(begin, end)) => Frame::Bulk(buffer.slice(begin..end)),
        Some(&Shape::Array(length)) => Frame::Array((0..length).map(|_| cut(buffer, shapes)).collect()),
        Some(Shape::Null) | None => Frame::Null,
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

/// Without a text of its own, which would have to be allocated.
fn number_line(buffer: &mut BytesMut, kind: u8, number: i64) {
    buffer.put_u8(kind);
    let _ = write!(buffer, "{number}\r\n");
}

fn line(buffer: &mut BytesMut, kind: u8, text: &[u8]) {
    buffer.reserve(text.len() + 3);
    buffer.put_u8(kind);
    // A line break in a reply's text would begin another reply.
    buffer.put(text.split(|byte| b"\r\n".contains(byte)).next().unwrap_or_default());
    buffer.put_slice(b"\r\n");
}

/// Returns once something of the next frame is there, or the end.
pub async fn begun<C>(framed: &Framed<TcpStream, C>) -> Result<(), Error> {
    if framed.read_buffer().is_empty() {
        framed.get_ref().peek(&mut [0]).await?;
    }
    Ok(())
}

/// What a codec can't read.
pub fn bad(why: &'static str) -> Error {
    Error::new(ErrorKind::InvalidData, why)
}
