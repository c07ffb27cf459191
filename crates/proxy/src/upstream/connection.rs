//! One connection to a cache node or the origin. It carries one attempt at a time, since giving up an attempt means
//! closing its connection.

use crate::http::{self, Request};
use crate::messages::{AttemptResult, ClientRequest};
use crate::resp::{self, Frame, MAX_BULK_BYTES, readable};
use crate::shared::Shared;
use crate::streaming::{self, PIECE_BYTES, STALL_TIMEOUT, StreamedValue};
use crate::upstream::attempt::Errand;
use crate::upstream::forms::{answered, command, labels, probed, replied, request};
use anyhow::{Context, Result, bail};
use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use pumicebay_core::policy::deadline::advertised_timeout_ms;
use pumicebay_core::{Outcome, ReportedLoad};
use socket2::SockRef;
use std::io::{ErrorKind, Read};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio::task::yield_now;
use tokio::time::timeout;
use tokio_util::codec::{Decoder, Framed};

/// Answers with a status of 1xx that may come ahead of the one that counts.
const MOST_INTERIM: usize = 8;

pub struct Connection {
    wire: Wire,
    pub address: SocketAddr,
    _permit: OwnedSemaphorePermit,
}

enum Wire {
    Cache(Framed<TcpStream, resp::StreamingResp>),
    Origin(Framed<TcpStream, http::Parts>),
}

/// What comes back: all of it, or the beginning of a long value. And whether it is the last on this connection.
pub enum Came {
    Whole(AttemptResult, bool),
    Long(usize, Option<ReportedLoad>, bool),
}

/// Writes some of a long value. Until the last byte is written nothing can have run.
async fn send(stream: &mut TcpStream, bytes: &[u8]) -> Result<(), Outcome> {
    match timeout(STALL_TIMEOUT, stream.write_all(bytes)).await {
        Ok(Ok(())) => Ok(()),
        Ok(Err(_)) | Err(_) => Err(Outcome::Unreachable),
    }
}

/// Opens a connection, in place of one that rests where there is no room for more.
pub async fn connect(shared: &Shared, address: SocketAddr, origin: bool) -> Result<Box<Connection>, Outcome> {
    let unsent = |_| {
        tracing::warn!("{address}: no connection to spare");
        Outcome::Unsent
    };
    let permit = timeout(shared.config.connect, shared.upstream.room()).await.map_err(unsent)?;
    let stream = match timeout(shared.config.connect, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => stream,
        // This proxy's own want of descriptors says nothing about the node.
        Ok(Err(error)) if matches!(error.raw_os_error(), Some(23 | 24)) => return Err(Outcome::Unsent),
        Ok(Err(_)) | Err(_) => {
            shared.counters.connections_failed.add();
            return Err(Outcome::Unreachable);
        }
    };
    shared.counters.connections_opened.add();
    let _ = stream.set_nodelay(true);
    let wire = match origin {
        true => Wire::Origin(Framed::new(stream, http::Parts::new(MAX_BULK_BYTES))),
        false => Wire::Cache(Framed::new(stream, resp::StreamingResp::default())),
    };
    Ok(Box::new(Connection { wire, address, _permit: permit }))
}

impl Connection {
    /// May carry another try: nothing is left of the last one.
    pub fn alive(&self) -> bool {
        let (stream, unread) = match &self.wire {
            Wire::Cache(framed) => (framed.get_ref(), framed.read_buffer()),
            Wire::Origin(framed) => (framed.get_ref(), framed.read_buffer()),
        };
        unread.is_empty() && quiet(stream)
    }

    /// Writes a probe, or an attempt but for a value that follows. `Unsent` where hardly any time is left for it.
    pub async fn write(&mut self, shared: &Shared, errand: &Errand) -> Result<(), Outcome> {
        let encoded = match errand {
            Errand::Probe { .. } => self.encode_probe(shared),
            Errand::Try { cargo, until, .. } => {
                let clock = &shared.clock;
                let tell = advertised_timeout_ms(clock.now(), clock.at(*until), cargo.deadline)
                    .ok_or(Outcome::Unsent)?;
                self.encode_attempt(cargo, tell)
            }
        };
        encoded.map_err(|_| Outcome::Unreachable)?;
        let flushed = match &mut self.wire {
            Wire::Cache(framed) => SinkExt::<&Frame>::flush(framed).await,
            Wire::Origin(framed) => SinkExt::<Request>::flush(framed).await,
        };
        flushed.map_err(|_| Outcome::Unreachable)
    }

    fn encode_probe(&mut self, shared: &Shared) -> std::io::Result<()> {
        match &mut self.wire {
            Wire::Cache(framed) if shared.config.settings.text("reports") == "silent" => {
                framed.start_send_unpin(&Frame::command([b"PING"]))
            }
            Wire::Cache(framed) => framed.start_send_unpin(&Frame::command([b"INFO", b"load"])),
            Wire::Origin(framed) => framed.start_send_unpin(Request::get("/health/live".into())),
        }
    }

    /// `tell`: for how many milliseconds the attempt will be waited for.
    fn encode_attempt(&mut self, cargo: &ClientRequest, tell: u64) -> std::io::Result<()> {
        match &mut self.wire {
            Wire::Cache(framed) => {
                let words = command(cargo, tell);
                match &cargo.upload {
                    Some(upload) => {
                        resp::encode_streamed_array(&words, upload.length, framed.write_buffer_mut())
                    }
                    None => framed.start_send_unpin(&Frame::Array(words)),
                }
            }
            Wire::Origin(framed) => {
                let labels = labels(&cargo.labels, tell);
                framed.start_send_unpin(request(cargo, &labels))
            }
        }
    }

    /// Sends a long value as it comes, up to its last byte, with what ends it.
    pub async fn upload(&mut self, mut value: StreamedValue) -> Result<(), Outcome> {
        let (stream, end) = match &mut self.wire {
            Wire::Cache(framed) => (framed.get_mut(), &b"\r\n"[..]),
            Wire::Origin(framed) => (framed.get_mut(), &b""[..]),
        };
        // A client that stops amid its value is no fault of the node's.
        while let Some(piece) = value.next().await.map_err(|_| Outcome::Unsent)? {
            send(stream, &piece).await?;
        }
        send(stream, end).await
    }

    /// What came back. Severed where nothing whole came.
    pub async fn read(&mut self, errand: &Errand, within: Duration) -> Result<Came> {
        let probe = matches!(errand, Errand::Probe { .. });
        match &mut self.wire {
            Wire::Cache(framed) => match part(framed, within).await? {
                resp::FramePart::Frame(frame) => {
                    let back = if probe { probed(frame) } else { replied(frame) }.context("cache node")?;
                    Ok(Came::Whole(back, false))
                }
                resp::FramePart::Begin(before, length) if before.is_empty() && !probe => {
                    Ok(Came::Long(length, None, false))
                }
                other => bail!("cache node: unexpected {other:?}"),
            },
            Wire::Origin(framed) => {
                for _ in 0..=MOST_INTERIM {
                    match part(framed, within).await? {
                        http::Part::Whole(response) if response.interim() => {}
                        http::Part::Whole(response) => {
                            let last = response.last;
                            return Ok(Came::Whole(answered(response), last));
                        }
                        http::Part::Begin(response, length) if response.status == 200 && !probe => {
                            let last = response.last;
                            return Ok(Came::Long(length, answered(response).reported_load, last));
                        }
                        other => bail!("origin: unexpected {other:?}"),
                    }
                }
                bail!("origin: no answer behind those with 1xx")
            }
        }
    }

    /// The next piece of a long value; none when it is over and so is all that belongs to it.
    async fn piece(&mut self, silent: Duration) -> Result<Option<Bytes>> {
        match &mut self.wire {
            Wire::Cache(framed) => match timeout(silent, some(framed)).await?? {
                resp::FramePart::Piece(piece) => Ok(Some(piece)),
                resp::FramePart::End(_) => Ok(None),
                other => bail!("cache node: unexpected {other:?}"),
            },
            Wire::Origin(framed) => match timeout(silent, some(framed)).await?? {
                http::Part::Piece(piece) => Ok(Some(piece)),
                http::Part::End => Ok(None),
                other => bail!("origin: unexpected {other:?}"),
            },
        }
    }

    /// The first pieces of a long value of this length.
    pub async fn first(&mut self, length: usize, within: Duration) -> Result<Vec<Bytes>> {
        let (mut pieces, mut came) = (Vec::new(), 0);
        while came < length.min(PIECE_BYTES) {
            let piece = self.piece(within).await?.context("a long value without an end")?;
            came += piece.len();
            pieces.push(piece);
        }
        Ok(pieces)
    }

    /// Brings a long value to whoever takes it.
    pub async fn pass_on(&mut self, first: Vec<Bytes>, source: streaming::ValueSender) -> Result<()> {
        for piece in first {
            source.send(piece).await?;
        }
        while let Some(piece) = self.piece(STALL_TIMEOUT).await? {
            source.send(piece).await?;
            // Others go on between two pieces.
            yield_now().await;
        }
        Ok(())
    }
}

async fn some<C: Decoder>(framed: &mut Framed<TcpStream, C>) -> Result<C::Item>
where
    C::Error: Into<anyhow::Error>,
{
    let part = framed.next().await.ok_or_else(|| std::io::Error::from(ErrorKind::UnexpectedEof))?;
    part.map_err(Into::into)
}

/// What comes next. Once it has begun to come, more of it must follow within this time: what stops amid an answer
/// gives none.
async fn part<C: Decoder>(framed: &mut Framed<TcpStream, C>, within: Duration) -> Result<C::Item>
where
    C::Error: Into<anyhow::Error>,
{
    readable(framed).await?;
    let mut came = 0;
    loop {
        match timeout(within, some(framed)).await {
            Ok(part) => return part,
            // Slowly, but it comes.
            Err(_) if framed.read_buffer().len() > came => came = framed.read_buffer().len(),
            Err(_) => bail!("answer stopped short"),
        }
    }
}

/// Open, and without a byte that nobody asked for. Asks the socket itself: the runtime hears of what came
/// only when it next looks, and an answer's second copy would be read as the next one's.
pub fn quiet(stream: &TcpStream) -> bool {
    let read = (&*SockRef::from(stream)).read(&mut [0]);
    read.is_err_and(|error| error.kind() == ErrorKind::WouldBlock)
}
