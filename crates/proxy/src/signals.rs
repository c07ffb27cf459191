//! The signals of the process: SIGHUP reloads its configuration, SIGTERM and SIGINT stop it.

use crate::config::Config;
use crate::descriptors::{DESCRIPTOR_CHECK_INTERVAL, out_of_descriptors};
use anyhow::Result;
use std::time::Duration;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep};

/// How long a reload retries for want of a descriptor.
const MAX_RELOAD_WAIT: Duration = Duration::from_secs(10);

/// Reads the configuration again on each SIGHUP. Tries again for want of a descriptor, since the signal is
/// not repeated.
///
/// # Errors
/// If the signal handler can't be installed.
pub fn reload_on_hangup(
    read: impl Fn() -> Result<Config> + Send + 'static,
) -> Result<mpsc::Receiver<Result<Config>>> {
    let mut hangup = signal(SignalKind::hangup())?;
    let (sender, configs) = mpsc::channel(1);
    tokio::spawn(async move {
        while hangup.recv().await.is_some() {
            let (until, mut config) = (Instant::now() + MAX_RELOAD_WAIT, read());
            while config.as_ref().is_err_and(out_of_descriptors) && Instant::now() < until {
                sleep(DESCRIPTOR_CHECK_INTERVAL).await;
                config = read();
            }
            if sender.send(config).await.is_err() {
                return;
            }
        }
    });
    Ok(configs)
}

/// Returns a future that completes on SIGTERM or SIGINT.
///
/// # Errors
/// If a signal handler can't be installed.
pub async fn termination_signal() -> Result<impl Future<Output = ()>> {
    let (mut terminate, mut interrupt) = (signal(SignalKind::terminate())?, signal(SignalKind::interrupt())?);
    Ok(async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
    })
}
