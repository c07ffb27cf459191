//! HTTP/1.1 codecs: the client side for the origin and discovery, and the server side for operators' calls.

use crate::resp::{MAX_VALUE_BYTES, invalid, take_piece};
use bytes::{BufMut, Bytes, BytesMut};
use std::io::{Error, ErrorKind};
use tokio_util::codec::{Decoder, Encoder};

/// The longest head of a response, and the longest trailers, in bytes.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// The most headers in a response or a call.
const MAX_HEADERS: usize = 64;

/// A request to the origin or discovery.
pub struct Request<'a> {
    /// The HTTP method.
    pub method: &'static str,
    /// The path with the query, percent-encoded.
    pub path: String,
    /// Names and values.
    pub headers: Vec<(&'static str, &'a [u8])>,
    /// The body, if it is sent with the request.
    pub body: Option<&'a [u8]>,
    /// The length of a body that the caller sends after the request.
    pub streamed_body_length: Option<usize>,
}

impl Request<'_> {
    /// A GET request without headers.
    pub fn get(path: String) -> Self {
        Request { method: "GET", path, headers: Vec::new(), body: None, streamed_body_length: None }
    }
}

/// A response of the origin or discovery.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Response {
    /// The status code.
    pub status: u16,
    /// Names and values; the names are in lower case.
    pub headers: Vec<(String, Bytes)>,
    /// The body; empty where a streamed body follows.
    pub body: Bytes,
    /// Whether this is the last response on its connection.
    pub last: bool,
}

impl Response {
    /// The first value of the header with this lower-case name.
    pub fn header(&self, name: &str) -> Option<&[u8]> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| &value[..])
    }

    /// Whether this is an interim response (1xx), which precedes the final one.
    pub fn is_interim(&self) -> bool {
        matches!(self.status, 100..200)
    }
}

/// Encodes requests and decodes responses whose bodies are buffered whole.
#[derive(Debug)]
pub struct ClientCodec {
    /// The longest body that is buffered whole, and the longest Content-Length that is accepted, in bytes.
    max_buffered: usize,
    max_body: usize,
    /// The response whose body has not arrived completely.
    pending: Option<(Response, BodyFraming)>,
}

impl ClientCodec {
    /// A codec that accepts bodies of at most this many bytes.
    pub fn new(max_body: usize) -> ClientCodec {
        ClientCodec { max_buffered: max_body, max_body, pending: None }
    }
}

/// How the end of a body is found.
#[derive(Clone, Copy, Debug)]
enum BodyFraming {
    Length(usize),
    Chunked,
    UntilClose,
}

/// A part of the origin's response: all of it, or a piece of one whose body is streamed because it is long.
#[derive(Debug, PartialEq, Eq)]
pub enum Part {
    /// A whole response.
    Whole(Response),
    /// The head, and the length of the body that follows.
    Begin(Response, usize),
    /// Some bytes of the body.
    Piece(Bytes),
    /// The end of a streamed body.
    End,
}

/// Encodes requests to the origin and decodes its responses, with long bodies in pieces.
#[derive(Debug)]
pub struct StreamingClientCodec {
    codec: ClientCodec,
    /// How many bytes of a streamed body are still to come; `None` outside of one.
    remaining: Option<usize>,
}

impl StreamingClientCodec {
    /// A codec that buffers bodies of at most this many bytes whole and streams longer ones.
    pub fn new(max_buffered: usize) -> StreamingClientCodec {
        StreamingClientCodec {
            codec: ClientCodec { max_buffered, max_body: MAX_VALUE_BYTES, pending: None },
            remaining: None,
        }
    }
}

impl StreamingClientCodec {
    /// Whether the head of a response was read and its body not yet whole.
    pub fn is_within_response(&self) -> bool {
        self.remaining.is_some() || self.codec.pending.is_some()
    }
}

impl Decoder for StreamingClientCodec {
    type Item = Part;
    type Error = Error;

    fn decode(&mut self, buffer: &mut BytesMut) -> Result<Option<Part>, Error> {
        if let Some(remaining) = &mut self.remaining {
            if *remaining > 0 {
                return Ok(take_piece(buffer, remaining).map(Part::Piece));
            }
            self.remaining = None;
            return Ok(Some(Part::End));
        }
        if self.codec.pending.is_none() {
            self.codec.pending = parse_head(buffer, self.codec.max_body)?;
        }
        match self.codec.pending.take() {
            Some((response, BodyFraming::Length(length))) if length > self.codec.max_buffered => {
                self.remaining = Some(length);
                Ok(Some(Part::Begin(response, length)))
            }
            pending => {
                self.codec.pending = pending;
                Ok(self.codec.decode(buffer)?.map(Part::Whole))
            }
        }
    }

    fn decode_eof(&mut self, buffer: &mut BytesMut) -> Result<Option<Part>, Error> {
        match self.decode(buffer)? {
            None if self.remaining.is_some() => Err(ErrorKind::UnexpectedEof.into()),
            None => Ok(self.codec.decode_eof(buffer)?.map(Part::Whole)),
            part => Ok(part),
        }
    }
}

impl Encoder<Request<'_>> for StreamingClientCodec {
    type Error = Error;

    fn encode(&mut self, request: Request<'_>, buffer: &mut BytesMut) -> Result<(), Error> {
        self.codec.encode(request, buffer)
    }
}

impl Encoder<Request<'_>> for ClientCodec {
    type Error = Error;

    fn encode(&mut self, request: Request<'_>, buffer: &mut BytesMut) -> Result<(), Error> {
        let mut put = |parts: &[&[u8]]| parts.iter().for_each(|part| buffer.put(*part));
        put(&[request.method.as_bytes(), b" ", request.path.as_bytes(), b" HTTP/1.1\r\nHost: pumicebay\r\n"]);
        for (name, value) in &request.headers {
            put(&[name.as_bytes(), b": ", value, b"\r\n"]);
        }
        if let Some(length) = request.streamed_body_length.or(request.body.map(<[u8]>::len)) {
            put(&[b"Content-Length: ", length.to_string().as_bytes(), b"\r\n"]);
        }
        put(&[b"\r\n", request.body.unwrap_or_default()]);
        Ok(())
    }
}

impl Decoder for ClientCodec {
    type Item = Response;
    type Error = Error;

    fn decode(&mut self, buffer: &mut BytesMut) -> Result<Option<Response>, Error> {
        if self.pending.is_none() {
            self.pending = parse_head(buffer, self.max_body)?;
        }
        let Some((_, framing)) = &self.pending else { return Ok(None) };
        let body = match framing {
            BodyFraming::Length(length) if buffer.len() >= *length => buffer.split_to(*length).freeze(),
            BodyFraming::Chunked => match take_chunked_body(buffer, self.max_buffered)? {
                Some(body) => body,
                None => return Ok(None),
            },
            BodyFraming::UntilClose if buffer.len() > self.max_buffered => {
                return Err(invalid("body too long"));
            }
            _ => return Ok(None),
        };
        Ok(self.pending.take().map(|(response, _)| Response { body, ..response }))
    }

    fn decode_eof(&mut self, buffer: &mut BytesMut) -> Result<Option<Response>, Error> {
        match self.decode(buffer)? {
            None if matches!(self.pending, Some((_, BodyFraming::UntilClose))) => {
                let body = buffer.split().freeze();
                Ok(self.pending.take().map(|(response, _)| Response { body, ..response }))
            }
            None if self.pending.is_some() || !buffer.is_empty() => Err(ErrorKind::UnexpectedEof.into()),
            response => Ok(response),
        }
    }
}

/// An operator's HTTP request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// The HTTP method.
    pub method: String,
    /// Without the query.
    pub path: String,
    /// The body; empty if there is none.
    pub body: Bytes,
}

/// The response to a call: the status code and one line of text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallResponse(pub u16, pub String);

/// Decodes operators' calls and encodes the responses. The text of a decoding error begins with the status code for the
/// response.
#[derive(Debug, Default)]
pub struct CallCodec {
    /// The call whose body has not arrived completely, and the length of the body.
    pending: Option<(Call, usize)>,
}

/// The longest head of a call in bytes; longer ones get status 431.
const MAX_CALL_HEAD_BYTES: usize = 8 * 1024;
/// The longest body of a call in bytes; longer ones get status 413.
const MAX_CALL_BODY_BYTES: usize = 4 * 1024;

impl Decoder for CallCodec {
    type Item = Call;
    type Error = Error;

    fn decode(&mut self, buffer: &mut BytesMut) -> Result<Option<Call>, Error> {
        if self.pending.is_none() {
            self.pending = parse_call_head(buffer)?;
        }
        let Some((_, length)) = self.pending.as_ref().filter(|(_, length)| buffer.len() >= *length) else {
            return Ok(None);
        };
        let body = buffer.split_to(*length).freeze();
        Ok(self.pending.take().map(|(call, _)| Call { body, ..call }))
    }
}

/// Takes the head of a call off the buffer once it is complete. Returns it with the length of its body.
fn parse_call_head(buffer: &mut BytesMut) -> Result<Option<(Call, usize)>, Error> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut headers);
    let head = match parsed.parse(buffer) {
        Ok(httparse::Status::Complete(head)) if head <= MAX_CALL_HEAD_BYTES => head,
        Ok(httparse::Status::Partial) if buffer.len() <= MAX_CALL_HEAD_BYTES => return Ok(None),
        Ok(_) | Err(httparse::Error::TooManyHeaders) => return Err(invalid("431 head too long")),
        Err(_) => return Err(invalid("400 malformed call")),
    };
    let (method, path) = (parsed.method.unwrap_or_default(), parsed.path.unwrap_or_default());
    let path = path.split('?').next().unwrap_or_default();
    let call = Call { method: method.into(), path: path.into(), body: Bytes::new() };
    let mut length = None;
    for header in parsed.headers.iter() {
        if header.name.eq_ignore_ascii_case("transfer-encoding") {
            return Err(invalid("411 a body needs its Content-Length"));
        }
        if header.name.eq_ignore_ascii_case("content-length") {
            let text = std::str::from_utf8(header.value).unwrap_or_default().trim();
            let digits = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
            if !digits || length.is_some() {
                return Err(invalid("400 invalid Content-Length"));
            }
            length = Some(text.parse().unwrap_or(usize::MAX));
        }
    }
    let length = length.unwrap_or(0);
    if length > MAX_CALL_BODY_BYTES {
        return Err(invalid("413 body too long"));
    }
    let _ = buffer.split_to(head);
    Ok(Some((call, length)))
}

impl Encoder<CallResponse> for CallCodec {
    type Error = Error;

    fn encode(
        &mut self,
        CallResponse(status, text): CallResponse,
        buffer: &mut BytesMut,
    ) -> Result<(), Error> {
        let reason = if status < 300 { "OK" } else { "No" };
        let length = text.len() + 1;
        let head = format!(
            "HTTP/1.1 {status} {reason}\r\nContent-Type: text/plain\r\nContent-Length: {length}\r\n\
             Connection: close\r\n\r\n{text}\n"
        );
        buffer.put(head.as_bytes());
        Ok(())
    }
}

/// Takes the head of a response off the buffer once it is complete. `max_body` limits the Content-Length.
fn parse_head(buffer: &mut BytesMut, max_body: usize) -> Result<Option<(Response, BodyFraming)>, Error> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Response::new(&mut headers);
    let length = match parsed.parse(buffer).map_err(|_| invalid("malformed response"))? {
        httparse::Status::Complete(length) => length,
        httparse::Status::Partial if buffer.len() > MAX_HEAD_BYTES => return Err(invalid("head too long")),
        httparse::Status::Partial => return Ok(None),
    };
    let mut response = Response { status: parsed.code.unwrap_or(0), ..Response::default() };
    response.last = parsed.version == Some(0);
    let empty = response.is_interim() || matches!(response.status, 204 | 304);
    let mut framing = if empty { BodyFraming::Length(0) } else { BodyFraming::UntilClose };
    for header in parsed.headers.iter() {
        let (name, text) = (header.name.to_ascii_lowercase(), String::from_utf8_lossy(header.value));
        match name.as_str() {
            "content-length" if !empty => {
                let length = text.trim().parse().map_err(|_| invalid("invalid Content-Length"))?;
                if matches!(framing, BodyFraming::Length(other) if other != length) {
                    return Err(invalid("conflicting values of Content-Length"));
                }
                if length > max_body {
                    return Err(invalid("body too long"));
                }
                if !matches!(framing, BodyFraming::Chunked) {
                    framing = BodyFraming::Length(length);
                }
            }
            "transfer-encoding" if text.trim().eq_ignore_ascii_case("chunked") => {
                framing = BodyFraming::Chunked
            }
            "connection" => response.last |= text.trim().eq_ignore_ascii_case("close"),
            _ => {}
        }
        response.headers.push((name, Bytes::copy_from_slice(header.value)));
    }
    response.last |= matches!(framing, BodyFraming::UntilClose);
    let _ = buffer.split_to(length);
    Ok(Some((response, framing)))
}

/// Takes a chunked body off the buffer once it is complete.
fn take_chunked_body(buffer: &mut BytesMut, max_body: usize) -> Result<Option<Bytes>, Error> {
    let (mut at, mut body) = (0, BytesMut::new());
    loop {
        let size = httparse::parse_chunk_size(&buffer[at..]).map_err(|_| invalid("malformed chunk"))?;
        let httparse::Status::Complete((head, size)) = size else { return Ok(None) };
        let size = usize::try_from(size).unwrap_or(usize::MAX);
        if size > max_body || body.len() + size > max_body {
            return Err(invalid("body too long"));
        }
        at += head;
        if size == 0 {
            // An empty line ends the trailers, and also a body without any.
            let Some(end) = trailers_length(&buffer[at..])? else { return Ok(None) };
            let _ = buffer.split_to(at + end);
            return Ok(Some(body.freeze()));
        }
        let Some(chunk) = buffer.get(at..at + size + 2) else { return Ok(None) };
        if &chunk[size..] != b"\r\n" {
            return Err(invalid("chunk without CRLF at its end"));
        }
        body.put(&chunk[..size]);
        at += size + 2;
    }
}

/// The length of the trailers with the empty line after them; `None` while that has not arrived.
fn trailers_length(rest: &[u8]) -> Result<Option<usize>, Error> {
    let mut at = 0;
    while let Some(length) = rest[at..].iter().position(|&byte| byte == b'\n') {
        let empty = matches!(&rest[at..at + length], b"" | b"\r");
        at += length + 1;
        if empty {
            return Ok(Some(at));
        }
    }
    if rest.len() > MAX_HEAD_BYTES { Err(invalid("trailers too long")) } else { Ok(None) }
}

/// A path of one segment, with all other bytes than unreserved characters percent-encoded.
pub fn segment_path(segment: &[u8]) -> String {
    let mut path = String::from("/");
    for &byte in segment {
        if byte.is_ascii_alphanumeric() || b"-._~".contains(&byte) {
            path.push(char::from(byte));
        } else {
            path.push_str(&format!("%{byte:02X}"));
        }
    }
    path
}
