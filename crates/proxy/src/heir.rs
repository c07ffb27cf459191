//! From a process to the one that takes over: idle connections of clients go over one by one, so that none is closed
//! while a command may be on its way. The heir has a datagram socket in the proxy's private folder; each message is a
//! connection and what was read from it and not used.

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

/// Its name has the version of the messages.
const SOCKET_NAME: &str = "pumicebay-heir-1";
const MAGIC: &[u8] = b"pumicebay";
/// Of what was read and not used; a connection with more is served on where it is.
const MAX_UNREAD: usize = 16 * 1024;
/// How long the heir may take to make room for one more.
const PASS_TIMEOUT: Duration = Duration::from_millis(500);

/// This process as an heir to the one before it, and as what the next one has to replace.
pub struct TakeoverSocket {
    socket: UnixDatagram,
    path: PathBuf,
    inode: u64,
}

/// A connection that came over.
pub struct PassedConnection {
    pub stream: TcpStream,
    pub unread: Vec<u8>,
    /// It has brought an exchange before.
    pub used: bool,
}

impl TakeoverSocket {
    /// Takes the place of the process before, from now on: whoever stops after this passes its connections here.
    pub fn bind(folder: &Path) -> Result<TakeoverSocket> {
        let temporary = folder.join(format!("{SOCKET_NAME}.{}", std::process::id()));
        let _ = std::fs::remove_file(&temporary);
        let socket = UnixDatagram::bind(&temporary)?;
        let (path, inode) = (folder.join(SOCKET_NAME), std::fs::metadata(&temporary)?.ino());
        std::fs::rename(&temporary, &path)?;
        Ok(TakeoverSocket { socket, path, inode })
    }

    /// Whether there is a process before this one, which still serves.
    pub fn predecessor_exists(folder: &Path) -> bool {
        UnixDatagram::unbound().is_ok_and(|socket| socket.connect(folder.join(SOCKET_NAME)).is_ok())
    }

    /// The process that has taken this one's place since, if there is one and it lives.
    pub fn successor(&self) -> Option<Successor> {
        let other = std::fs::metadata(&self.path).ok()?.ino() != self.inode;
        let socket = UnixDatagram::unbound().ok()?;
        (other && socket.connect(&self.path).is_ok()).then_some(Successor(socket))
    }

    /// The next connection that comes over; an error for a message that is none of ours.
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
        let invalid = || Error::new(ErrorKind::InvalidData, "a message that is none of ours");
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

/// The process that takes over.
pub struct Successor(UnixDatagram);

impl Successor {
    /// Passes a connection on which nothing is open. After an error it is still this process's own.
    pub async fn pass(&self, stream: &TcpStream, unread: &[u8], used: bool) -> Result<()> {
        if unread.len() > MAX_UNREAD {
            return Err(Error::new(ErrorKind::InvalidInput, "too much unread"));
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
