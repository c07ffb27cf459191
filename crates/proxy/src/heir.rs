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
const NAME: &str = "pumicebay-heir-1";
const GREETING: &[u8] = b"pumicebay";
/// Of what was read and not used; a connection with more is served on where it is.
const MOST_UNREAD: usize = 16 * 1024;
/// How long the heir may take to make room for one more.
const PASSING: Duration = Duration::from_millis(500);

/// This process as an heir to the one before it, and as what the next one has to replace.
pub struct Seat {
    socket: UnixDatagram,
    path: PathBuf,
    inode: u64,
}

/// A connection that came over.
pub struct Passed {
    pub stream: TcpStream,
    pub unread: Vec<u8>,
    /// It has brought an exchange before.
    pub used: bool,
}

impl Seat {
    /// Takes the place of the process before, from now on: whoever stops after this passes its connections here.
    pub fn take(folder: &Path) -> Result<Seat> {
        let own = folder.join(format!("{NAME}.{}", std::process::id()));
        let _ = std::fs::remove_file(&own);
        let socket = UnixDatagram::bind(&own)?;
        let (path, inode) = (folder.join(NAME), std::fs::metadata(&own)?.ino());
        std::fs::rename(&own, &path)?;
        Ok(Seat { socket, path, inode })
    }

    /// Whether there is a process before this one, which still serves.
    pub fn taken(folder: &Path) -> bool {
        UnixDatagram::unbound().is_ok_and(|socket| socket.connect(folder.join(NAME)).is_ok())
    }

    /// The process that has taken this one's place since, if there is one and it lives.
    pub fn heir(&self) -> Option<Heir> {
        let other = std::fs::metadata(&self.path).ok()?.ino() != self.inode;
        let socket = UnixDatagram::unbound().ok()?;
        (other && socket.connect(&self.path).is_ok()).then_some(Heir(socket))
    }

    /// The next connection that comes over; an error for a message that is none of ours.
    pub async fn next(&self) -> Result<Passed> {
        let (mut bytes, mut passed) = (vec![0; GREETING.len() + 1 + MOST_UNREAD], None);
        let length = self.socket.async_io(Interest::READABLE, || {
            let mut space = [MaybeUninit::uninit(); cmsg_space!(ScmRights(1))];
            let mut control = RecvAncillaryBuffer::new(&mut space);
            let mut parts = [IoSliceMut::new(&mut bytes)];
            let came = recvmsg(&self.socket, &mut parts, &mut control, RecvFlags::CMSG_CLOEXEC)?;
            for message in control.drain() {
                if let RecvAncillaryMessage::ScmRights(descriptors) = message {
                    passed = descriptors.last();
                }
            }
            Ok(came.bytes)
        });
        let length = length.await?;
        let foreign = || Error::new(ErrorKind::InvalidData, "a message that is none of ours");
        let rest = bytes[..length].strip_prefix(GREETING).ok_or_else(foreign)?;
        let (&used, unread) = rest.split_first().ok_or_else(foreign)?;
        let stream: std::net::TcpStream = OwnedFd::into(passed.ok_or_else(foreign)?);
        stream.set_nonblocking(true)?;
        Ok(Passed { stream: TcpStream::from_std(stream)?, unread: unread.to_vec(), used: used == 1 })
    }
}

/// The process that takes over.
pub struct Heir(UnixDatagram);

impl Heir {
    /// Passes a connection on which nothing is open. After an error it is still this process's own.
    pub async fn pass(&self, stream: &TcpStream, unread: &[u8], used: bool) -> Result<()> {
        if unread.len() > MOST_UNREAD {
            return Err(Error::new(ErrorKind::InvalidInput, "too much unread"));
        }
        let used = [u8::from(used)];
        let sent = self.0.async_io(Interest::WRITABLE, || {
            let mut space = [MaybeUninit::uninit(); cmsg_space!(ScmRights(1))];
            let mut control = SendAncillaryBuffer::new(&mut space);
            let descriptors = [stream.as_fd()];
            control.push(SendAncillaryMessage::ScmRights(&descriptors));
            let parts = [IoSlice::new(GREETING), IoSlice::new(&used), IoSlice::new(unread)];
            Ok(sendmsg(&self.0, &parts, &mut control, SendFlags::DONTWAIT | SendFlags::NOSIGNAL)?)
        });
        timeout(PASSING, sent).await??;
        Ok(())
    }
}
