//! The RESP2 protocol: commands from clients and to cache nodes, and the replies to both.

use crate::streaming::PIECE_BYTES;
use bytes::{Buf, BufMut, Bytes, BytesMut};
use smallvec::SmallVec;
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
/// Shorter frames that are not whole are looked through anew with each piece.
const MIN_SCANNED_BYTES: usize = 512;
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

/// A decoded frame, or a part of an array with one long member, which is streamed.
#[derive(Debug, PartialEq, Eq)]
pub enum FramePart {
    /// A frame without a long member.
    Frame(Frame),
    /// The start of an array with a long member.
    Begin {
        /// The members before the long one.
        before: Vec<Frame>,
        /// The length of the long one in bytes.
        length: usize,
        /// How many members follow it.
        members_after: usize,
    },
    /// The next bytes of the long member.
    Piece(Bytes),
    /// The members after the long one.
    End(Vec<Frame>),
}

/// Codec for commands and replies in which one member may be long.
#[derive(Debug, Default)]
pub struct StreamingResp {
    state: State,
    /// How far a frame was looked through that is not whole yet, if it is not short.
    scan: Option<PartialFrame>,
}

#[derive(Debug, Default)]
enum State {
    /// Between two frames.
    #[default]
    FrameStart,
    /// In the long member: how many of its bytes are still to come, and the number of members after it.
    LongMember(usize, usize),
    /// After the long member: how many members are still to come, and those that were read.
    TrailingMembers(usize, Vec<Frame>),
}

impl StreamingResp {
    /// Whether a frame with a long member has begun and not ended.
    pub fn is_within_frame(&self) -> bool {
        !matches!(self.state, State::FrameStart)
    }

    /// Decodes a frame as [`decode`] does, but looks at each byte of one that comes in many pieces only a few times.
    fn decode_start(&mut self, buffer: &mut BytesMut) -> Result<Decoded, Error> {
        if let Some(scan) = &mut self.scan
            && buffer.len() <= MAX_FRAME_BYTES
            && scan.is_partial(buffer)
        {
            return Ok(Decoded::Partial);
        }
        self.scan = None;
        let decoded = decode(buffer)?;
        if matches!(decoded, Decoded::Partial) && buffer.len() >= MIN_SCANNED_BYTES {
            self.scan = Some(PartialFrame::default());
        }
        Ok(decoded)
    }
}

impl Decoder for StreamingResp {
    type Item = FramePart;
    type Error = Error;

    fn decode(&mut self, buffer: &mut BytesMut) -> Result<Option<FramePart>, Error> {
        loop {
            match &mut self.state {
                State::FrameStart => match self.decode_start(buffer)? {
                    Decoded::Whole(frame) => return Ok(Some(FramePart::Frame(frame))),
                    Decoded::Partial => return Ok(None),
                    Decoded::Long(before, length, members_after) => {
                        self.state = State::LongMember(length, members_after);
                        return Ok(Some(FramePart::Begin { before, length, members_after }));
                    }
                },
                State::LongMember(0, after) => {
                    match buffer.get(..2) {
                        Some(b"\r\n") => buffer.advance(2),
                        Some(_) => return Err(invalid("bulk string without end")),
                        None => return Ok(None),
                    }
                    self.state = State::TrailingMembers(*after, Vec::new());
                }
                State::LongMember(left, _) => return Ok(take_piece(buffer, left).map(FramePart::Piece)),
                State::TrailingMembers(0, frames) => {
                    let frames = std::mem::take(frames);
                    self.state = State::FrameStart;
                    return Ok(Some(FramePart::End(frames)));
                }
                State::TrailingMembers(left, frames) => match decode_at(buffer, MAX_DEPTH - 1)? {
                    Decoded::Whole(frame) => {
                        frames.push(frame);
                        *left -= 1;
                    }
                    Decoded::Partial => return Ok(None),
                    Decoded::Long(..) => return Err(invalid("two long members")),
                },
            }
        }
    }
}

impl Encoder<&Frame> for StreamingResp {
    type Error = Error;

    fn encode(&mut self, frame: &Frame, buffer: &mut BytesMut) -> Result<(), Error> {
        Resp.encode(frame, buffer)
    }
}

/// Splits off the received bytes of a long value, up to one piece. `left` counts those that are still to
/// come.
pub fn take_piece(buffer: &mut BytesMut, left: &mut usize) -> Option<Bytes> {
    let length = buffer.len().min(*left).min(PIECE_BYTES);
    *left -= length;
    (length > 0).then(|| buffer.split_to(length).freeze())
}

/// A frame of which a part has come, in constant memory: where the next value begins, and how many members are still to come
/// of each array that is open there.
#[derive(Debug, Default)]
struct PartialFrame {
    at: usize,
    open: SmallVec<[usize; MAX_DEPTH]>,
}

impl PartialFrame {
    /// Whether the frame is surely valid so far and not whole. Goes on where it ended before.
    fn is_partial(&mut self, buffer: &[u8]) -> bool {
        loop {
            let rest = &buffer[self.at..];
            let Some(line_end) = rest.iter().take(MAX_LINE_BYTES + 1).position(|&byte| byte == b'\n') else {
                return rest.len() <= MAX_LINE_BYTES;
            };
            let Some((kind, text)) = rest[..line_end].strip_suffix(b"\r").and_then(<[u8]>::split_first)
            else {
                return false;
            };
            let after_line = self.at + line_end + 1;
            match (kind, number(text)) {
                (b'+' | b'-', _) | (b':', Some(_)) | (b'$' | b'*', Some(-1)) | (b'*', Some(0)) => {
                    self.at = after_line;
                }
                (b'*', Some(length @ 1..))
                    if length <= MAX_ARRAY_LENGTH as i64 && self.open.len() < MAX_DEPTH =>
                {
                    self.at = after_line;
                    self.open.push(length as usize);
                    continue;
                }
                (b'$', Some(length @ 0..)) if length <= MAX_BULK_BYTES as i64 => {
                    let end = after_line + length as usize + 2;
                    match buffer.get(end - 2..end) {
                        None => return true,
                        Some(b"\r\n") => self.at = end,
                        Some(_) => return false,
                    }
                }
                _ => return false,
            }
            if self.end_value() {
                return false;
            }
        }
    }

    /// Counts a value as come. Returns whether the frame is whole with it.
    fn end_value(&mut self) -> bool {
        while let Some(left) = self.open.last_mut() {
            *left -= 1;
            if *left > 0 {
                return false;
            }
            self.open.pop();
        }
        true
    }
}

enum Decoded {
    Whole(Frame),
    Partial,
    /// The members of an array before a long one, its length, and the number of members after it.
    Long(Vec<Frame>, usize, usize),
}

/// Decodes one frame, or an array up to the bytes of its long member.
fn decode(buffer: &mut BytesMut) -> Result<Decoded, Error> {
    decode_at(buffer, MAX_DEPTH)
}

/// The same, for a frame in which arrays may be nested up to `depth`.
fn decode_at(buffer: &mut BytesMut, depth: usize) -> Result<Decoded, Error> {
    let (mut at, mut spans) = (0, Spans::new());
    match measure(buffer, &mut at, depth, &mut spans)? {
        Measured::Whole => {
            let frame = build_frame(&buffer.split_to(at).freeze(), &mut spans.iter());
            Ok(Decoded::Whole(frame))
        }
        Measured::Partial if buffer.len() > MAX_FRAME_BYTES => Err(invalid("frame too long")),
        Measured::Partial => Ok(Decoded::Partial),
        Measured::Long(length) => {
            let (whole, mut iter) = (buffer.split_to(at).freeze(), spans.iter());
            let Some(&Span::Array(count)) = iter.next() else { return Err(invalid("bulk string too long")) };
            let mut before = Vec::with_capacity(count);
            while iter.len() > 0 {
                before.push(build_frame(&whole, &mut iter));
            }
            let after = count - before.len() - 1;
            Ok(Decoded::Long(before, length, after))
        }
    }
}

enum Measured {
    Whole,
    Partial,
    /// The bytes of a long member of the outermost array come next.
    Long(usize),
}

/// A value of a frame, given by its offsets in the buffer. The members of an array follow it.
#[derive(Clone, Copy)]
enum Span {
    Line(u8, usize, usize),
    Integer(i64),
    Bulk(usize, usize),
    Null,
    Array(usize),
}

/// Holds the values of a usual command or reply without a heap allocation.
type Spans = SmallVec<[Span; 8]>;

/// Finds the end of the frame that begins at `at`, and the offsets of its values.
fn measure(buffer: &[u8], at: &mut usize, depth: usize, spans: &mut Spans) -> Result<Measured, Error> {
    let Some(&kind) = buffer.get(*at) else { return Ok(Measured::Partial) };
    if !b"+-:$*".contains(&kind) {
        return Err(invalid("expected a RESP type"));
    }
    let from = *at + 1;
    let line = &buffer[from..buffer.len().min(from + MAX_LINE_BYTES)];
    let Some(length) = line.iter().position(|&byte| byte == b'\n') else {
        return if line.len() == MAX_LINE_BYTES {
            Err(invalid("line too long"))
        } else {
            Ok(Measured::Partial)
        };
    };
    let text = line[..length].strip_suffix(b"\r").ok_or_else(|| invalid("line without CR"))?;
    *at = from + length + 1;
    let number = || number(text).ok_or_else(|| invalid("expected a number"));
    let span = match kind {
        b':' => Span::Integer(number()?),
        b'$' | b'*' if number()? == -1 => Span::Null,
        b'$' => {
            let length = usize::try_from(number()?).map_err(|_| invalid("invalid bulk length"))?;
            if length > MAX_BULK_BYTES {
                let fits = depth == MAX_DEPTH - 1 && length <= MAX_VALUE_BYTES;
                return if fits { Ok(Measured::Long(length)) } else { Err(invalid("bulk string too long")) };
            }
            let (begin, end) = (*at, *at + length);
            if buffer.len() < end + 2 {
                return Ok(Measured::Partial);
            }
            if &buffer[end..end + 2] != b"\r\n" {
                return Err(invalid("bulk string without end"));
            }
            *at = end + 2;
            Span::Bulk(begin, end)
        }
        b'*' => {
            let length = usize::try_from(number()?).map_err(|_| invalid("invalid array length"))?;
            if length > MAX_ARRAY_LENGTH || depth == 0 {
                return Err(invalid("array too long or too deep"));
            }
            spans.push(Span::Array(length));
            for _ in 0..length {
                match measure(buffer, at, depth - 1, spans)? {
                    Measured::Whole => {}
                    incomplete => return Ok(incomplete),
                }
            }
            return Ok(Measured::Whole);
        }
        _ => Span::Line(kind, from, from + text.len()),
    };
    spans.push(span);
    Ok(Measured::Whole)
}

/// The number in a line.
fn number(text: &[u8]) -> Option<i64> {
    std::str::from_utf8(text).ok().filter(|text| !text.starts_with('+'))?.parse().ok()
}

/// Builds the next frame from measured spans, so none can be missing.
fn build_frame(buffer: &Bytes, spans: &mut std::slice::Iter<'_, Span>) -> Frame {
    match spans.next() {
        Some(&Span::Line(b'+', begin, end)) => Frame::Simple(buffer.slice(begin..end)),
        Some(&Span::Line(_, begin, end)) => Frame::Error(buffer.slice(begin..end)),
        Some(&Span::Integer(number)) => Frame::Integer(number),
        Some(&Span::Bulk(begin, end)) => Frame::Bulk(buffer.slice(begin..end)),
        Some(&Span::Array(length)) => Frame::Array((0..length).map(|_| build_frame(buffer, spans)).collect()),
        Some(Span::Null) | None => Frame::Null,
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
