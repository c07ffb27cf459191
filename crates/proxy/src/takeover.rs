//! Passes idle client connections one by one from a process to the one that replaces it, so that none is
//! closed while a command may be on its way. The successor has a datagram socket in the proxy's private
//! folder; each message carries the descriptor of a connection and the bytes that were read from it but not
//! used.

use rustix::cmsg_space;
use rustix::net::{
    RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer, SendAncillaryMessage,
    SendFlags, recvmsg, sendmsg,
};
use std::io::{Error, ErrorKind, IoSlice, IoSliceMut, Result};
use std::mem::MaybeUninit;
use std::os::fd::{AsFd, OwnedFd};
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::io::Interest;
use tokio::net::{TcpStream, UnixDatagram};
use tokio::time::timeout;

/// The name of the socket, with the version of the messages.
const SOCKET_NAME: &str = "pumicebay-heir-1";
/// The first bytes of each message.
const MAGIC: &[u8] = b"pumicebay";
/// The most unused bytes that are passed with a connection; one with more stays with its process.
const MAX_UNREAD: usize = 16 * 1024;
/// How long the successor may take until its socket accepts another message.
const PASS_TIMEOUT: Duration = Duration::from_millis(500);

/// The socket on which this process receives connections of its predecessor, and at which its own successor
/// is found.
pub struct TakeoverSocket {
    socket: UnixDatagram,
    path: PathBuf,
    inode: u64,
}

/// A connection received from the previous process.
pub struct PassedConnection {
    /// The client's connection, in non-blocking mode.
    pub stream: TcpStream,
    /// Bytes that the previous process had read but not used.
    pub unread: Vec<u8>,
    /// Whether it has sent a request.
    pub used: bool,
}

impl TakeoverSocket {
    /// Replaces the previous process's socket: a process that stops from now on passes its connections here.
    pub fn bind(folder: &Path) -> Result<TakeoverSocket> {
        let temporary = folder.join(format!("{SOCKET_NAME}.{}", std::process::id()));
        let _ = std::fs::remove_file(&temporary);
        let socket = UnixDatagram::bind(&temporary)?;
        let (path, inode) = (folder.join(SOCKET_NAME), std::fs::metadata(&temporary)?.ino());
        std::fs::rename(&temporary, &path)?;
        Ok(TakeoverSocket { socket, path, inode })
    }

    /// Whether a previous process is still serving.
    pub fn predecessor_exists(folder: &Path) -> bool {
        UnixDatagram::unbound().is_ok_and(|socket| socket.connect(folder.join(SOCKET_NAME)).is_ok())
    }

    /// The process that has replaced this one's socket since, if it is running.
    pub fn successor(&self) -> Option<Successor> {
        let replaced = std::fs::metadata(&self.path).ok()?.ino() != self.inode;
        let socket = UnixDatagram::unbound().ok()?;
        (replaced && socket.connect(&self.path).is_ok()).then_some(Successor(socket))
    }

    /// The next connection passed by the previous process.
    ///
    /// # Errors
    /// If receiving fails, or the message is of another form.
    pub async fn receive(&self) -> Result<PassedConnection> {
        let (mut bytes, mut passed) = (vec![0; MAGIC.len() + 1 + MAX_UNREAD], None);
        let length = self.socket.async_io(Interest::READABLE, || {
            let mut space = [MaybeUninit::uninit(); cmsg_space!(ScmRights(1))];
            let mut control = RecvAncillaryBuffer::new(&mut space);
            let mut buffers = [IoSliceMut::new(&mut bytes)];
            let received = recvmsg(&self.socket, &mut buffers, &mut control, RecvFlags::CMSG_CLOEXEC)?;
            for message in control.drain() {
                if let RecvAncillaryMessage::ScmRights(descriptors) = message {
                    passed = descriptors.last();
                }
            }
            Ok(received.bytes)
        });
        let length = length.await?;
        let invalid = || Error::new(ErrorKind::InvalidData, "not a message that passes a connection");
        let rest = bytes[..length].strip_prefix(MAGIC).ok_or_else(invalid)?;
        let (&used, unread) = rest.split_first().ok_or_else(invalid)?;
        let stream: std::net::TcpStream = OwnedFd::into(passed.ok_or_else(invalid)?);
        stream.set_nonblocking(true)?;
        Ok(PassedConnection {
            stream: TcpStream::from_std(stream)?,
            unread: unread.to_vec(),
            used: used == 1,
        })
    }
}

/// The process that takes over from this one.
pub struct Successor(UnixDatagram);

impl Successor {
    /// Passes a connection that has no open request.
    ///
    /// # Errors
    /// If it can't be passed, in which case it still belongs to this process.
    pub async fn pass(&self, stream: &TcpStream, unread: &[u8], used: bool) -> Result<()> {
        if unread.len() > MAX_UNREAD {
            return Err(Error::new(ErrorKind::InvalidInput, "too many unread bytes"));
        }
        let used = [u8::from(used)];
        let sent = self.0.async_io(Interest::WRITABLE, || {
            let mut space = [MaybeUninit::uninit(); cmsg_space!(ScmRights(1))];
            let mut control = SendAncillaryBuffer::new(&mut space);
            let descriptors = [stream.as_fd()];
            control.push(SendAncillaryMessage::ScmRights(&descriptors));
            let buffers = [IoSlice::new(MAGIC), IoSlice::new(&used), IoSlice::new(unread)];
            Ok(sendmsg(&self.0, &buffers, &mut control, SendFlags::DONTWAIT | SendFlags::NOSIGNAL)?)
        });
        timeout(PASS_TIMEOUT, sent).await??;
        Ok(())
    }
}
