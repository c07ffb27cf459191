//! Puts the actors together and runs them through the phases.

use crate::clients::{self, Front};
use crate::clock::Clock;
use crate::config::Config;
use crate::counters::Counters;
use crate::list::{self, List};
use crate::module::{self, Module};
use crate::node::Upstream;
use crate::phases::{Phase, Phases};
use anyhow::{Context, Result};
use std::sync::Arc;
use tokio::net::TcpSocket;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{Notify, Semaphore, mpsc};
use tokio_util::task::TaskTracker;

const BACKLOG: u32 = 1024;

/// Runs the proxy until it is told to stop and has answered what it took.
pub async fn serve(config: Config, counters: Arc<Counters>, stop: impl Future<Output = ()>) -> Result<()> {
    let (phases, clock, config) = (Phases::default(), Clock::start(), Arc::new(config));
    tracing::info!("{}", config.summary().replace('\n', "; "));
    let (door, mailbox) = module::door();
    let (follow, followed) = mpsc::channel(1);
    let upstream = Upstream {
        clock,
        config: config.clone(),
        counters: counters.clone(),
        door: door.clone(),
        watch: phases.watch(),
        free: Arc::new(Semaphore::new(config.upstream)),
    };
    let mut module = Module::new(upstream, None, follow, mailbox, phases.watch());
    if let Ok((_, whole, named)) = list::entries(&config.known, &config) {
        module.know(whole, named);
    }
    let socket = if config.listen.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    socket.set_reuseaddr(true)?;
    socket.bind(config.listen).with_context(|| format!("listen: {}", config.listen))?;
    let listener = socket.listen(BACKLOG).with_context(|| format!("listen: {}", config.listen))?;
    tokio::spawn(module.run());
    tokio::spawn(List::new(config.clone(), counters.clone(), door.clone(), followed).run());
    phases.enter(Phase::Serving);
    let connections = TaskTracker::new();
    let front = Front {
        clock,
        config: config.clone(),
        counters: counters.clone(),
        door,
        watch: phases.watch(),
        connections: connections.clone(),
        make_room: Arc::new(Notify::new()),
    };
    tokio::spawn(clients::accept(front, listener));
    stop.await;
    phases.stop(config.longest, &connections).await;
    Ok(())
}

/// Returns when the platform says to stop.
pub async fn signalled() -> Result<impl Future<Output = ()>> {
    let (mut terminate, mut interrupt) = (signal(SignalKind::terminate())?, signal(SignalKind::interrupt())?);
    Ok(async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
    })
}
