//! The decoder of commands and replies in which one member may be long. It judges a message as the decoder of whole frames
//! does, whatever pieces the message comes in.

use super::decoding::{Decoded, decode, decode_member, number};
use super::{
    Frame, MAX_ARRAY_LENGTH, MAX_BULK_BYTES, MAX_DEPTH, MAX_FRAME_BYTES, MAX_LINE_BYTES, Resp, invalid,
};
use crate::streaming::PIECE_BYTES;
use bytes::{Buf, Bytes, BytesMut};
use smallvec::SmallVec;
use std::io::Error;
use tokio_util::codec::{Decoder, Encoder};

/// Shorter frames that are not whole are looked through anew with each piece.
const MIN_SCANNED_BYTES: usize = 512;

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
                State::TrailingMembers(left, frames) => match decode_member(buffer)? {
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
