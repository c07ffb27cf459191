//! Decodes frames that are in memory as a whole: first finds where a frame and its members end, then builds it without a copy.

use super::{
    Frame, MAX_ARRAY_LENGTH, MAX_BULK_BYTES, MAX_DEPTH, MAX_FRAME_BYTES, MAX_LINE_BYTES, MAX_VALUE_BYTES,
    invalid,
};
use bytes::{Bytes, BytesMut};
use smallvec::SmallVec;
use std::io::Error;

/// What is at the beginning of a buffer.
pub(super) enum Decoded {
    /// A whole frame.
    Whole(Frame),
    /// A valid beginning of a frame.
    Partial,
    /// The members of an array before a long one, its length, and the number of members after it.
    Long(Vec<Frame>, usize, usize),
}

/// Decodes one frame, or an array up to the bytes of its long member.
pub(super) fn decode(buffer: &mut BytesMut) -> Result<Decoded, Error> {
    decode_at(buffer, MAX_DEPTH)
}

/// Decodes one member of an array, in which arrays may be nested less deep.
pub(super) fn decode_member(buffer: &mut BytesMut) -> Result<Decoded, Error> {
    decode_at(buffer, MAX_DEPTH - 1)
}

/// Decodes one frame in which arrays may be nested up to `depth`.
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
pub(super) fn number(text: &[u8]) -> Option<i64> {
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
