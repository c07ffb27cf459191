//! Takes client connections, from the listening socket or from the previous process, and serves each by a task of its own.

use crate::front::client_stream;
use crate::front::connection::{Client, NEW_CONNECTION_WAIT};
use crate::front::frontend::Frontend;
use crate::phases::Phase;
use crate::takeover::{PassedConnection, TakeoverSocket};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::time::{sleep, timeout};

/// Above the connection limit, at most this many accepted connections wait for their first bytes; the others
/// stay in the kernel's accept queue.
const MAX_WAITING_CONNECTIONS: usize = 16;
/// Pause after an accept failed, usually for want of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Serves the connections that the previous process passes on, for as long as this process runs.
pub async fn take_over(frontend: Frontend, socket: Arc<TakeoverSocket>) {
    loop {
        match socket.receive().await {
            Ok(PassedConnection { stream, unread, used }) => {
                let frontend = frontend.clone();
                frontend.shared.counters.clients_taken_over.add();
                frontend.connections.clone().spawn(async move {
                    let _permit = frontend.limit.acquire().await;
                    Client::taken_over(frontend, stream, &unread, used).run().await;
                });
            }
            Err(error) => {
                tracing::warn!("receiving a client connection from the previous process failed: {error}");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Accepts client connections until the phase reaches `Closing`, and then those that the kernel had accepted
/// by that time, since their clients may have sent a command. If a successor has the same listening socket,
/// it accepts the latter instead.
pub async fn accept(frontend: Frontend, listener: TcpListener) {
    client_stream::enable_timestamps(&listener);
    let (mut closing, waiting_slots) =
        (frontend.shared.phase.clone(), Arc::new(Semaphore::new(MAX_WAITING_CONNECTIONS)));
    loop {
        let accepted = tokio::select! {
            biased;
            () = closing.reached(Phase::Closing) => break,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) => admit(&frontend, stream, &waiting_slots).await,
            Err(error) => {
                frontend.shared.counters.accept_failures.add();
                tracing::warn!("accepting a client connection failed: {error}");
                frontend.limit.evict_one();
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    if frontend.shared.successor.get().is_none()
        && let Ok(listener) = listener.into_std()
    {
        // Calls accept directly: the runtime may not have been notified of the last connections yet.
        while let Ok((stream, _)) = listener.accept()
            && stream.set_nonblocking(true).is_ok()
            && let Ok(stream) = TcpStream::from_std(stream)
        {
            admit(&frontend, stream, &waiting_slots).await;
        }
    }
}

/// Starts serving a new connection as soon as the limit allows it.
async fn admit(frontend: &Frontend, stream: TcpStream, waiting_slots: &Arc<Semaphore>) {
    frontend.shared.counters.clients_accepted.add();
    let _ = stream.set_nodelay(true);
    let permit = frontend.limit.try_acquire();
    let slot = match permit {
        None => Some(waiting_slots.clone().acquire_owned().await.expect("never closed")),
        Some(_) => None,
    };
    let max_wait =
        NEW_CONNECTION_WAIT * waiting_slots.available_permits() as u32 / MAX_WAITING_CONNECTIONS as u32;
    let frontend = frontend.clone();
    frontend.connections.clone().spawn(async move {
        let _permit = match permit {
            Some(permit) => permit,
            // A connection that sends nothing must not evict one that does.
            None if timeout(max_wait, stream.peek(&mut [0])).await.is_err() => {
                return frontend.shared.counters.clients_closed_for_room.add();
            }
            None => frontend.limit.acquire().await,
        };
        drop(slot);
        Client::new(frontend, stream).run().await;
    });
}
