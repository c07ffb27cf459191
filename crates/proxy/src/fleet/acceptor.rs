//! Takes links as long as the process lives. An address that another process still has is tried again, and where there is
//! no room the next caller waits in the kernel's queue.

use crate::listen::listen;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::time::sleep;

/// The pause after a connection could not be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// The pause before an address that can't be had is tried again.
const BIND_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Where links are taken, and how many at a time.
pub struct Acceptor {
    /// What lines of the log begin with.
    pub log_prefix: &'static str,
    /// The key of the configuration that names the address.
    pub config_key: &'static str,
    /// Who calls there, for the log.
    pub peer_kind: &'static str,
    pub address: SocketAddr,
    pub max_links: usize,
}

impl Acceptor {
    /// Serves each connection as a task of its own, under a number that no other has.
    pub async fn run<S, F>(self, serve: S)
    where
        S: Fn(TcpStream, u64) -> F,
        F: Future<Output = ()> + Send + 'static,
    {
        let listener = self.listener().await;
        tracing::info!("{}: {} call at {}", self.log_prefix, self.peer_kind, self.address);
        let permits = Arc::new(Semaphore::new(self.max_links.min(Semaphore::MAX_PERMITS)));
        for connection_id in 1.. {
            let permit = permits.clone().acquire_owned().await;
            let stream = match listener.accept().await {
                Ok((stream, _)) => stream,
                Err(error) => {
                    tracing::warn!("{}: {error}", self.log_prefix);
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

    async fn listener(&self) -> TcpListener {
        let mut warned = false;
        loop {
            match listen(self.config_key, self.address) {
                Ok(listener) => return listener,
                Err(error) if !std::mem::replace(&mut warned, true) => {
                    tracing::warn!("{}: {error:#}", self.log_prefix);
                }
                Err(_) => {}
            }
            sleep(BIND_RETRY_DELAY).await;
        }
    }
}
