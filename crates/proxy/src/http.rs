//! HTTP/1.1: as the origin and discovery speak it, requests out and answers in; and as operators do, calls in and
//! words out.

use crate::resp::{MAX_VALUE_BYTES, invalid, take_piece};
use bytes::{BufMut, Bytes, BytesMut};
use std::io::{Error, ErrorKind};
use tokio_util::codec::{Decoder, Encoder};

const LONGEST_HEAD: usize = 16 * 1024;
const MOST_HEADERS: usize = 64;

pub struct Request<'a> {
    pub method: &'static str,
    pub path: String,
    pub headers: Vec<(&'static str, &'a [u8])>,
    pub body: Option<&'a [u8]>,
    /// How long a body is that is sent behind the request.
    pub follows: Option<usize>,
}

impl Request<'_> {
    pub fn get(path: String) -> Self {
        Request { method: "GET", path, headers: Vec::new(), body: None, follows: None }
    }
}

#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Response {
    pub status: u16,
    /// Names in lower case.
    pub headers: Vec<(String, Bytes)>,
    pub body: Bytes,
    /// Nothing follows on this connection.
    pub last: bool,
}

impl Response {
    pub fn header(&self, name: &str) -> Option<&[u8]> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| &value[..])
    }

    /// Comes ahead of the answer.
    pub fn interim(&self) -> bool {
        matches!(self.status, 100..200)
    }
}

#[derive(Debug)]
pub struct Http {
    /// The longest body that is held whole, and the longest that may be announced.
    longest: usize,
    most: usize,
    /// The answer whose body is still coming.
    head: Option<(Response, Body)>,
}

impl Http {
    pub fn new(longest: usize) -> Http {
        Http { longest, most: longest, head: None }
    }
}

#[derive(Clone, Copy, Debug)]
enum Body {
    Length(usize),
    Chunks,
    UntilEnd,
}

/// An answer of the origin: whole, or in pieces where its body is long.
#[derive(Debug, PartialEq, Eq)]
pub enum Part {
    Whole(Response),
    /// With the length of the body that follows.
    Begin(Response, usize),
    Piece(Bytes),
    End,
}

/// The origin's answers.
#[derive(Debug)]
pub struct Parts {
    http: Http,
    /// What is still to come of a long body.
    left: Option<usize>,
}

impl Parts {
    /// Holds bodies up to this length whole.
    pub fn new(longest: usize) -> Parts {
        Parts { http: Http { longest, most: MAX_VALUE_BYTES, head: None }, left: None }
    }
}

impl Decoder for Parts {
    type Item = Part;
    type Error = Error;

    fn decode(&mut self, buffer: &mut BytesMut) -> Result<Option<Part>, Error> {
        if let Some(left) = &mut self.left {
            if *left > 0 {
                return Ok(take_piece(buffer, left).map(Part::Piece));
            }
            self.left = None;
            return Ok(Some(Part::End));
        }
        if self.http.head.is_none() {
            self.http.head = head(buffer, self.http.most)?;
        }
        match self.http.head.take() {
            Some((response, Body::Length(length))) if length > self.http.longest => {
                self.left = Some(length);
                Ok(Some(Part::Begin(response, length)))
            }
            head => {
                self.http.head = head;
                Ok(self.http.decode(buffer)?.map(Part::Whole))
            }
        }
    }

    fn decode_eof(&mut self, buffer: &mut BytesMut) -> Result<Option<Part>, Error> {
        match self.decode(buffer)? {
            None if self.left.is_some() => Err(ErrorKind::UnexpectedEof.into()),
            None => Ok(self.http.decode_eof(buffer)?.map(Part::Whole)),
            part => Ok(part),
        }
    }
}

impl Encoder<Request<'_>> for Parts {
    type Error = Error;

    fn encode(&mut self, request: Request<'_>, buffer: &mut BytesMut) -> Result<(), Error> {
        self.http.encode(request, buffer)
    }
}

impl Encoder<Request<'_>> for Http {
    type Error = Error;

    fn encode(&mut self, request: Request<'_>, buffer: &mut BytesMut) -> Result<(), Error> {
        let mut put = |parts: &[&[u8]]| parts.iter().for_each(|part| buffer.put(*part));
        put(&[request.method.as_bytes(), b" ", request.path.as_bytes(), b" HTTP/1.1\r\nHost: pumicebay\r\n"]);
        for (name, value) in &request.headers {
            put(&[name.as_bytes(), b": ", value, b"\r\n"]);
        }
        if let Some(length) = request.follows.or(request.body.map(<[u8]>::len)) {
            put(&[b"Content-Length: ", length.to_string().as_bytes(), b"\r\n"]);
        }
        put(&[b"\r\n", request.body.unwrap_or_default()]);
        Ok(())
    }
}

impl Decoder for Http {
    type Item = Response;
    type Error = Error;

    fn decode(&mut self, buffer: &mut BytesMut) -> Result<Option<Response>, Error> {
        if self.head.is_none() {
            self.head = head(buffer, self.most)?;
        }
        let Some((_, body)) = &self.head else { return Ok(None) };
        let body = match body {
            Body::Length(length) if buffer.len() >= *length => buffer.split_to(*length).freeze(),
            Body::Chunks => match chunks(buffer, self.longest)? {
                Some(body) => body,
                None => return Ok(None),
            },
            Body::UntilEnd if buffer.len() > self.longest => return Err(invalid("body too long")),
            _ => return Ok(None),
        };
        Ok(self.head.take().map(|(response, _)| Response { body, ..response }))
    }

    fn decode_eof(&mut self, buffer: &mut BytesMut) -> Result<Option<Response>, Error> {
        match self.decode(buffer)? {
            None if matches!(self.head, Some((_, Body::UntilEnd))) => {
                let body = buffer.split().freeze();
                Ok(self.head.take().map(|(response, _)| Response { body, ..response }))
            }
            None if self.head.is_some() || !buffer.is_empty() => Err(ErrorKind::UnexpectedEof.into()),
            response => Ok(response),
        }
    }
}

/// A call at the operators' door.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    pub method: String,
    pub path: String,
    pub body: Bytes,
}

/// The answer to a call: a status and one line of text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Word(pub u16, pub String);

/// Reads one call. What can't be read is an error whose text begins with the status that is owed.
#[derive(Debug, Default)]
pub struct Calls {
    head: Option<(Call, usize)>,
}

const LONGEST_CALL_HEAD: usize = 8 * 1024;
const LONGEST_CALL_BODY: usize = 4 * 1024;

impl Decoder for Calls {
    type Item = Call;
    type Error = Error;

    fn decode(&mut self, buffer: &mut BytesMut) -> Result<Option<Call>, Error> {
        if self.head.is_none() {
            self.head = call(buffer)?;
        }
        let Some((_, length)) = self.head.as_ref().filter(|(_, length)| buffer.len() >= *length) else {
            return Ok(None);
        };
        let body = buffer.split_to(*length).freeze();
        Ok(self.head.take().map(|(call, _)| Call { body, ..call }))
    }
}

/// Takes a call's head off the buffer, with the length of its body.
fn call(buffer: &mut BytesMut) -> Result<Option<(Call, usize)>, Error> {
    let mut headers = [httparse::EMPTY_HEADER; MOST_HEADERS];
    let mut parsed = httparse::Request::new(&mut headers);
    let head = match parsed.parse(buffer) {
        Ok(httparse::Status::Complete(head)) if head <= LONGEST_CALL_HEAD => head,
        Ok(httparse::Status::Partial) if buffer.len() <= LONGEST_CALL_HEAD => return Ok(None),
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
    if length > LONGEST_CALL_BODY {
        return Err(invalid("413 body too long"));
    }
    let _ = buffer.split_to(head);
    Ok(Some((call, length)))
}

impl Encoder<Word> for Calls {
    type Error = Error;

    fn encode(&mut self, Word(status, text): Word, buffer: &mut BytesMut) -> Result<(), Error> {
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

fn head(buffer: &mut BytesMut, most: usize) -> Result<Option<(Response, Body)>, Error> {
    let mut headers = [httparse::EMPTY_HEADER; MOST_HEADERS];
    let mut parsed = httparse::Response::new(&mut headers);
    let length = match parsed.parse(buffer).map_err(|_| invalid("malformed answer"))? {
        httparse::Status::Complete(length) => length,
        httparse::Status::Partial if buffer.len() > LONGEST_HEAD => return Err(invalid("head too long")),
        httparse::Status::Partial => return Ok(None),
    };
    let mut response = Response { status: parsed.code.unwrap_or(0), ..Response::default() };
    response.last = parsed.version == Some(0);
    let empty = response.interim() || matches!(response.status, 204 | 304);
    let mut body = if empty { Body::Length(0) } else { Body::UntilEnd };
    for header in parsed.headers.iter() {
        let (name, text) = (header.name.to_ascii_lowercase(), String::from_utf8_lossy(header.value));
        match name.as_str() {
            "content-length" if !empty => {
                let length = text.trim().parse().map_err(|_| invalid("invalid Content-Length"))?;
                if matches!(body, Body::Length(other) if other != length) {
                    return Err(invalid("two values of Content-Length"));
                }
                if length > most {
                    return Err(invalid("body too long"));
                }
                if !matches!(body, Body::Chunks) {
                    body = Body::Length(length);
                }
            }
            "transfer-encoding" if text.trim().eq_ignore_ascii_case("chunked") => body = Body::Chunks,
            "connection" => response.last |= text.trim().eq_ignore_ascii_case("close"),
            _ => {}
        }
        response.headers.push((name, Bytes::copy_from_slice(header.value)));
    }
    response.last |= matches!(body, Body::UntilEnd);
    let _ = buffer.split_to(length);
    Ok(Some((response, body)))
}

/// Takes a body in chunks off the buffer once it is whole.
fn chunks(buffer: &mut BytesMut, longest: usize) -> Result<Option<Bytes>, Error> {
    let (mut at, mut body) = (0, BytesMut::new());
    loop {
        let size = httparse::parse_chunk_size(&buffer[at..]).map_err(|_| invalid("malformed chunk"))?;
        let httparse::Status::Complete((head, size)) = size else { return Ok(None) };
        let size = usize::try_from(size).unwrap_or(usize::MAX);
        if size > longest || body.len() + size > longest {
            return Err(invalid("body too long"));
        }
        at += head;
        if size == 0 {
            // Trailers end with an empty line, as the body does without them.
            let Some(end) = trailers(&buffer[at..])? else { return Ok(None) };
            let _ = buffer.split_to(at + end);
            return Ok(Some(body.freeze()));
        }
        let Some(chunk) = buffer.get(at..at + size + 2) else { return Ok(None) };
        if &chunk[size..] != b"\r\n" {
            return Err(invalid("chunk without end"));
        }
        body.put(&chunk[..size]);
        at += size + 2;
    }
}

fn trailers(rest: &[u8]) -> Result<Option<usize>, Error> {
    let mut at = 0;
    while let Some(length) = rest[at..].iter().position(|&byte| byte == b'\n') {
        let empty = matches!(&rest[at..at + length], b"" | b"\r");
        at += length + 1;
        if empty {
            return Ok(Some(at));
        }
    }
    if rest.len() > LONGEST_HEAD { Err(invalid("trailers too long")) } else { Ok(None) }
}

/// A path with one segment, whatever bytes that holds.
pub fn path(segment: &[u8]) -> String {
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
