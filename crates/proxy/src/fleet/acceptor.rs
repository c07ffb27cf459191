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
const NO_ROOM: Duration = Duration::from_millis(20);
/// The pause before an address that can't be had is tried again.
const AGAIN: Duration = Duration::from_millis(200);

/// Where links are taken, and how many at a time.
pub struct Acceptor {
    /// What lines of the log begin with.
    pub part: &'static str,
    /// The key of the configuration that names the address.
    pub key: &'static str,
    /// Who calls there, for the log.
    pub callers: &'static str,
    pub at: SocketAddr,
    pub most: usize,
}

impl Acceptor {
    /// Serves each connection as a task of its own, under a number that no other has.
    pub async fn run<S, F>(self, serve: S)
    where
        S: Fn(TcpStream, u64) -> F,
        F: Future<Output = ()> + Send + 'static,
    {
        let listener = self.listener().await;
        tracing::info!("{}: {} call at {}", self.part, self.callers, self.at);
        let room = Arc::new(Semaphore::new(self.most.min(Semaphore::MAX_PERMITS)));
        for number in 1.. {
            let place = room.clone().acquire_owned().await;
            let stream = match listener.accept().await {
                Ok((stream, _)) => stream,
                Err(error) => {
                    tracing::warn!("{}: {error}", self.part);
                    sleep(NO_ROOM).await;
                    continue;
                }
            };
            let served = serve(stream, number);
            tokio::spawn(async move {
                served.await;
                drop(place);
            });
        }
    }

    async fn listener(&self) -> TcpListener {
        let mut warned = false;
        loop {
            match listen(self.key, self.at) {
                Ok(listener) => return listener,
                Err(error) if !std::mem::replace(&mut warned, true) => {
                    tracing::warn!("{}: {error:#}", self.part);
                }
                Err(_) => {}
            }
            sleep(AGAIN).await;
        }
    }
}
