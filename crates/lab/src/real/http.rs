//! HTTP/1.1 as a server speaks it: what the origin and discovery stand-ins need of it.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use std::io::{Error, ErrorKind};
use tokio_util::codec::{Decoder, Encoder};

const LONGEST_HEAD: usize = 16 * 1024;
const LONGEST_BODY: usize = 1024 * 1024;

#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Asked {
    pub method: String,
    /// With its query.
    pub path: String,
    /// Names in lower case.
    pub headers: Vec<(String, Bytes)>,
    pub body: Bytes,
}

impl Asked {
    pub fn header(&self, name: &str) -> Option<&[u8]> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| &value[..])
    }

    /// A figure of the query.
    pub fn query(&self, name: &str) -> Option<u64> {
        let (_, query) = self.path.split_once('?')?;
        let value = query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='));
        value?.parse().ok()
    }
}

#[derive(Clone, Debug, Default)]
pub struct Answer {
    pub status: u16,
    pub header: Option<(&'static str, &'static str)>,
    pub body: Bytes,
}

#[derive(Debug, Default)]
pub struct Server;

impl Decoder for Server {
    type Item = Asked;
    type Error = Error;

    fn decode(&mut self, buffer: &mut BytesMut) -> Result<Option<Asked>, Error> {
        let bad = |why: &'static str| Error::new(ErrorKind::InvalidData, why);
        let mut headers = [httparse::EMPTY_HEADER; 32];
        let mut parsed = httparse::Request::new(&mut headers);
        let head = match parsed.parse(buffer).map_err(|_| bad("malformed request"))? {
            httparse::Status::Complete(length) => length,
            httparse::Status::Partial if buffer.len() > LONGEST_HEAD => return Err(bad("head too long")),
            httparse::Status::Partial => return Ok(None),
        };
        let mut asked = Asked {
            method: parsed.method.unwrap_or_default().to_string(),
            path: parsed.path.unwrap_or_default().to_string(),
            ..Asked::default()
        };
        for header in parsed.headers.iter() {
            asked.headers.push((header.name.to_ascii_lowercase(), Bytes::copy_from_slice(header.value)));
        }
        let length = match asked.header("content-length") {
            None => 0,
            Some(text) => {
                let length = std::str::from_utf8(text).ok().and_then(|text| text.trim().parse().ok());
                length.ok_or_else(|| bad("invalid Content-Length"))?
            }
        };
        if length > LONGEST_BODY {
            return Err(bad("body too long"));
        }
        if buffer.len() < head + length {
            return Ok(None);
        }
        buffer.advance(head);
        asked.body = buffer.split_to(length).freeze();
        Ok(Some(asked))
    }
}

impl Encoder<Answer> for Server {
    type Error = Error;

    fn encode(&mut self, answer: Answer, buffer: &mut BytesMut) -> Result<(), Error> {
        let reason = if answer.status == 200 { "OK" } else { "No" };
        buffer.put_slice(format!("HTTP/1.1 {} {reason}\r\n", answer.status).as_bytes());
        if let Some((name, value)) = answer.header {
            buffer.put_slice(format!("{name}: {value}\r\n").as_bytes());
        }
        buffer.put_slice(format!("Content-Length: {}\r\n\r\n", answer.body.len()).as_bytes());
        buffer.put_slice(&answer.body);
        Ok(())
    }
}
