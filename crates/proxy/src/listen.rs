//! Listening sockets that the proxy opens itself.

use anyhow::{Context, Result};
use std::net::SocketAddr;
use tokio::net::{TcpListener, TcpSocket};

const BACKLOG: u32 = 1024;

/// Binds the address and listens on it. `key` is the configuration key that the address comes from.
///
/// # Errors
/// When the address cannot be bound; the message names `key`.
pub fn listen(key: &str, at: SocketAddr) -> Result<TcpListener> {
    let socket = if at.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    socket.set_reuseaddr(true)?;
    socket.bind(at).with_context(|| format!("{key}: {at}"))?;
    socket.listen(BACKLOG).with_context(|| format!("{key}: {at}"))
}
