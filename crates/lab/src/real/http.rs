//! Server side of HTTP/1.1, as far as the stand-ins for the origin and discovery need it.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use std::io::{Error, ErrorKind};
use tokio_util::codec::{Decoder, Encoder};

/// Longest accepted request head, in bytes.
const MAX_HEAD_LEN: usize = 16 * 1024;
/// Longest accepted request body, in bytes.
const MAX_BODY_LEN: usize = 1024 * 1024;

/// A complete HTTP request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Request {
    pub method: String,
    /// Path with the query.
    pub path: String,
    /// Headers in order, their names in lower case.
    pub headers: Vec<(String, Bytes)>,
    pub body: Bytes,
}

impl Request {
    /// Value of the first header of this lower-case name.
    pub fn header(&self, name: &str) -> Option<&[u8]> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| &value[..])
    }

    /// A number from the query; `None` when it is absent or not a number.
    pub fn query(&self, name: &str) -> Option<u64> {
        let (_, query) = self.path.split_once('?')?;
        let value = query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='));
        value?.parse().ok()
    }
}

/// An HTTP response with at most one header besides `Content-Length`.
#[derive(Clone, Debug, Default)]
pub struct Response {
    pub status: u16,
    pub header: Option<(&'static str, &'static str)>,
    pub body: Bytes,
}

/// Codec that reads requests and writes responses.
#[derive(Debug, Default)]
pub struct ServerCodec;

impl Decoder for ServerCodec {
    type Item = Request;
    type Error = Error;

    fn decode(&mut self, buffer: &mut BytesMut) -> Result<Option<Request>, Error> {
        let invalid = |message: &'static str| Error::new(ErrorKind::InvalidData, message);
        let mut headers = [httparse::EMPTY_HEADER; 32];
        let mut parsed = httparse::Request::new(&mut headers);
        let head = match parsed.parse(buffer).map_err(|_| invalid("malformed request"))? {
            httparse::Status::Complete(length) => length,
            httparse::Status::Partial if buffer.len() > MAX_HEAD_LEN => return Err(invalid("head too long")),
            httparse::Status::Partial => return Ok(None),
        };
        let mut request = Request {
            method: parsed.method.unwrap_or_default().to_string(),
            path: parsed.path.unwrap_or_default().to_string(),
            ..Request::default()
        };
        for header in parsed.headers.iter() {
            request.headers.push((header.name.to_ascii_lowercase(), Bytes::copy_from_slice(header.value)));
        }
        let length = match request.header("content-length") {
            None => 0,
            Some(text) => {
                let length = std::str::from_utf8(text).ok().and_then(|text| text.trim().parse().ok());
                length.ok_or_else(|| invalid("invalid Content-Length"))?
            }
        };
        if length > MAX_BODY_LEN {
            return Err(invalid("body too long"));
        }
        if buffer.len() < head + length {
            return Ok(None);
        }
        buffer.advance(head);
        request.body = buffer.split_to(length).freeze();
        Ok(Some(request))
    }
}

impl Encoder<Response> for ServerCodec {
    type Error = Error;

    fn encode(&mut self, response: Response, buffer: &mut BytesMut) -> Result<(), Error> {
        let reason = if response.status == 200 { "OK" } else { "No" };
        buffer.put_slice(format!("HTTP/1.1 {} {reason}\r\n", response.status).as_bytes());
        if let Some((name, value)) = response.header {
            buffer.put_slice(format!("{name}: {value}\r\n").as_bytes());
        }
        buffer.put_slice(format!("Content-Length: {}\r\n\r\n", response.body.len()).as_bytes());
        buffer.put_slice(&response.body);
        Ok(())
    }
}
