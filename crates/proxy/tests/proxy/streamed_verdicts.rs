//! A message with a long member, which is read in pieces, is judged as the same message with a short one, which is read as a
//! whole: what is valid, what is not, and what is still to come.

use bytes::BytesMut;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use pumicebay::resp::{Frame, FramePart, Resp, StreamingResp};
use tokio_util::codec::Decoder;

/// The bytes of the member that is short or long.
const SHORT: usize = 1000;
const LONG: usize = 70_000;
/// Members, of which the last four are not valid.
const MEMBERS: [&str; 11] = [
    "+a\r\n",
    ":7\r\n",
    "$-1\r\n",
    "$3\r\nabc\r\n",
    "*1\r\n$1\r\na\r\n",
    "*1\r\n*1\r\n:1\r\n",
    "*1\r\n*1\r\n*1\r\n:1\r\n",
    "*1\r\n*1\r\n*1\r\n*1\r\n:1\r\n",
    "?\r\n",
    "$x\r\n",
    "$2\r\nabc\r\n",
];
/// What may stand in the place of a member's end.
const ENDS: [&str; 8] = ["\r\n", "\r\n", "\r\n", "\r\n", "", "\r", "\n\r", "xx"];

/// A message, and how it differs from a valid one.
#[derive(Clone, Debug)]
struct Message {
    before: Vec<&'static str>,
    after: Vec<&'static str>,
    count_off: isize,
    length_off: isize,
    end: &'static str,
    missing: usize,
}

impl Message {
    /// Its bytes, with a member of this length.
    fn bytes(&self, length: usize) -> Vec<u8> {
        let count = (self.before.len() + 1 + self.after.len()) as isize + self.count_off;
        let told = length as isize + self.length_off;
        let head = format!("*{count}\r\n{}${told}\r\n", self.before.concat());
        let mut bytes = [head.as_bytes(), &vec![b'v'; length], self.end.as_bytes()].concat();
        bytes.extend(self.after.concat().into_bytes());
        bytes.truncate(bytes.len() - self.missing.min(bytes.len() - head.len()));
        bytes
    }
}

fn message() -> impl Strategy<Value = Message> {
    let members = || prop::collection::vec(prop::sample::select(&MEMBERS[..]), 0..4);
    let offsets = (-2_isize..3, prop_oneof![3 => Just(0_isize), 2 => -12_isize..13]);
    let end = prop::sample::select(&ENDS[..]);
    let missing = prop_oneof![3 => Just(0_usize), 1 => 1_usize..20];
    (members(), members(), offsets, end, missing).prop_map(
        |(before, after, (count_off, length_off), end, missing)| Message {
            before,
            after,
            count_off: if length_off == 0 { count_off } else { 0 },
            length_off,
            end,
            missing,
        },
    )
}

/// The first frame by the decoder of whole frames, with the member of `length` bytes left out.
fn judge_whole(bytes: &[u8], told: usize) -> String {
    match Resp.decode(&mut BytesMut::from(bytes)) {
        Ok(Some(frame)) => describe(frame, told),
        Ok(None) => "not yet whole".into(),
        Err(_) => "not valid".into(),
    }
}

fn describe(frame: Frame, told: usize) -> String {
    let Frame::Array(members) = frame else { return format!("{frame:?}") };
    let describe = |member: &Frame| match member {
        Frame::Bulk(bytes) if bytes.len() == told => "the member".into(),
        other => format!("{other:?}"),
    };
    members.iter().map(describe).collect::<Vec<_>>().join(", ")
}

/// The first frame by the decoder of streamed ones, from pieces of so many bytes.
fn judge_streamed(bytes: &[u8], piece: usize, told: usize) -> String {
    let (mut codec, mut buffer, mut members, mut received) =
        (StreamingResp::default(), BytesMut::new(), Vec::new(), 0);
    for piece in bytes.chunks(piece) {
        buffer.extend_from_slice(piece);
        loop {
            match codec.decode(&mut buffer) {
                Ok(None) => break,
                Ok(Some(FramePart::Frame(frame))) => return describe(frame, told),
                Ok(Some(FramePart::Begin { before, .. })) => members = before,
                Ok(Some(FramePart::Piece(piece))) => received += piece.len(),
                Ok(Some(FramePart::End(after))) => {
                    members.push(Frame::Bulk(vec![b'v'; received].into()));
                    members.extend(after);
                    return describe(Frame::Array(members), told);
                }
                Err(_) => return "not valid".into(),
            }
        }
    }
    "not yet whole".into()
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2000, rng_seed: RngSeed::Fixed(80), failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against a rule of its own for long members: what a short message is refused for passed in a long one.
    #[test]
    fn long_and_short_messages_are_judged_alike(message in message(), piece in prop_oneof![1_usize..40, 40_usize..80_000]) {
        let told = |length: usize| length.saturating_add_signed(message.length_off);
        let short = judge_whole(&message.bytes(SHORT), told(SHORT));
        let short_in_pieces = judge_streamed(&message.bytes(SHORT), piece, told(SHORT));
        let long = judge_streamed(&message.bytes(LONG), piece, told(LONG));
        prop_assert_eq!(&short, &short_in_pieces);
        prop_assert_eq!(&short, &long);
    }
}
