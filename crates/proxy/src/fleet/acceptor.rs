//! Accepts connections for as long as the process runs. Binding is retried while another process still holds
//! the address. At the connection limit, further connections wait in the kernel's accept queue.

use crate::listen::listen;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::time::sleep;

/// The delay after a failed `accept`.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// The delay between two attempts to bind the address.
const BIND_RETRY_DELAY: Duration = Duration::from_millis(200);

/// A listener that serves a limited number of connections at the same time.
pub struct Acceptor {
    /// The prefix of log lines.
    pub log_prefix: &'static str,
    /// The configuration key of the address, for error messages.
    pub config_key: &'static str,
    /// The kind of peers that connect, for the log.
    pub peer_kind: &'static str,
    /// The address to listen on.
    pub address: SocketAddr,
    /// The maximum number of open connections.
    pub max_links: usize,
}

impl Acceptor {
    /// Accepts connections and runs `serve` for each in its own task, with a connection id that is unique to
    /// this acceptor. Never returns.
    pub async fn run<S, F>(self, serve: S)
    where
        S: Fn(TcpStream, u64) -> F,
        F: Future<Output = ()> + Send + 'static,
    {
        let listener = self.listener().await;
        tracing::info!("{}: listening for {} on {}", self.log_prefix, self.peer_kind, self.address);
        let permits = Arc::new(Semaphore::new(self.max_links.min(Semaphore::MAX_PERMITS)));
        for connection_id in 1.. {
            let permit = permits.clone().acquire_owned().await;
            let stream = match listener.accept().await {
                Ok((stream, _)) => stream,
                Err(error) => {
                    tracing::warn!("{}: accepting a connection failed: {error}", self.log_prefix);
                    sleep(ACCEPT_RETRY_DELAY).await;
                    continue;
                }
            };
            let connection = serve(stream, connection_id);
            tokio::spawn(async move {
                connection.await;
                drop(permit);
            });
        }
    }

    /// Binds the address, with retries. Only the first failure is logged.
    async fn listener(&self) -> TcpListener {
        let mut warned = false;
        loop {
            match listen(self.config_key, self.address) {
                Ok(listener) => return listener,
                Err(error) if !std::mem::replace(&mut warned, true) => {
                    tracing::warn!("{}: listening failed, retrying: {error:#}", self.log_prefix);
                }
                Err(_) => {}
            }
            sleep(BIND_RETRY_DELAY).await;
        }
    }
}
