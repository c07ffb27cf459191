//! A client's TCP connection that knows when the bytes it reads arrived. The kernel timestamps received data,
//! so a request that lay unread while the proxy was busy, had no free connection slot or was still starting
//! keeps its true age. Without kernel timestamps the time of the read counts. A request must never be taken
//! for older than the kernel says.

use nix::cmsg_space;
use nix::sys::socket::sockopt::ReceiveTimestampns;
use nix::sys::socket::{ControlMessageOwned, MsgFlags, recvmsg, setsockopt};
use nix::sys::time::TimeSpec;
use rustix::io::ioctl_fionread;
use std::io::{IoSliceMut, Result};
use std::os::fd::{AsFd, AsRawFd};
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Instant;

/// An older timestamp means that the system clock was set since.
const MAX_AGE: Duration = Duration::from_secs(10);

/// Makes the kernel timestamp data received on this socket, and on those that a listener accepts from now on.
/// Returns whether it does.
pub fn enable_timestamps(socket: &impl AsFd) -> bool {
    setsockopt(socket, ReceiveTimestampns, &true).is_ok()
}

/// A client's connection, with the arrival time of the bytes read last.
#[derive(Debug)]
pub struct ClientStream {
    stream: TcpStream,
    /// Buffer for a timestamp's control message; empty if the kernel gives none.
    control: Vec<u8>,
    /// When the next unread byte arrived, if that was looked up.
    unread_since: Option<Instant>,
    received_at: Instant,
}

impl ClientStream {
    /// Wraps a connection that was just accepted or taken over.
    pub fn new(stream: TcpStream) -> ClientStream {
        let control = if enable_timestamps(&stream) { cmsg_space!(TimeSpec) } else { Vec::new() };
        ClientStream { stream, control, unread_since: None, received_at: Instant::now() }
    }

    /// The underlying stream.
    pub fn tcp(&self) -> &TcpStream {
        &self.stream
    }

    /// How many bytes have arrived and were not read.
    pub fn unread_bytes(&self) -> usize {
        ioctl_fionread(&self.stream).map_or(0, |bytes| bytes as usize)
    }

    /// When the bytes read last arrived, as far as is known.
    pub fn received_at(&self) -> Instant {
        self.received_at
    }

    /// Returns once data or the end of the stream can be read, and records when it arrived.
    pub async fn wait_readable(&mut self) -> Result<()> {
        if self.control.is_empty() {
            return self.stream.peek(&mut [0]).await.map(|_| ());
        }
        let Self { stream, control, .. } = self;
        let received = stream.async_io(Interest::READABLE, || peek_timestamp(stream, control)).await?;
        self.unread_since = received.and_then(to_instant);
        Ok(())
    }

    /// Records when the unread data arrived, if there is any.
    pub fn record_unread_since(&mut self) {
        let Self { stream, control, .. } = self;
        if !control.is_empty()
            && let Ok(received) = stream.try_io(Interest::READABLE, || peek_timestamp(stream, control))
        {
            self.unread_since = received.and_then(to_instant);
        }
    }
}

/// When the kernel received the next byte, by the system clock; `None` if the kernel does not say.
fn peek_timestamp(stream: &TcpStream, control: &mut Vec<u8>) -> Result<Option<TimeSpec>> {
    control.clear();
    control.resize(control.capacity(), 0);
    let mut byte = [0];
    let mut parts = [IoSliceMut::new(&mut byte)];
    let flags = MsgFlags::MSG_PEEK | MsgFlags::MSG_DONTWAIT;
    let received = recvmsg::<()>(stream.as_raw_fd(), &mut parts, Some(control), flags)?;
    let Ok(mut messages) = received.cmsgs() else { return Ok(None) };
    Ok(messages.find_map(|message| match message {
        ControlMessageOwned::ScmTimestampns(at) => Some(at),
        _ => None,
    }))
}

/// Converts a time of the system clock to the monotonic clock; `None` if the time is in the future or too old
/// to be right.
fn to_instant(timestamp: TimeSpec) -> Option<Instant> {
    let received = UNIX_EPOCH.checked_add(Duration::from(timestamp))?;
    let age = SystemTime::now().duration_since(received).ok().filter(|age| *age <= MAX_AGE)?;
    Instant::now().checked_sub(age)
}

impl AsyncRead for ClientStream {
    fn poll_read(self: Pin<&mut Self>, context: &mut Context, buffer: &mut ReadBuf) -> Poll<Result<()>> {
        let this = self.get_mut();
        let read = Pin::new(&mut this.stream).poll_read(context, buffer);
        if read.is_ready() {
            this.received_at = this.unread_since.take().unwrap_or_else(Instant::now);
        }
        read
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(self: Pin<&mut Self>, context: &mut Context, bytes: &[u8]) -> Poll<Result<usize>> {
        Pin::new(&mut self.get_mut().stream).poll_write(context, bytes)
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context) -> Poll<Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(context)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context) -> Poll<Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(context)
    }
}
