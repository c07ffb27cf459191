//! The link of an operator's command to one process of the fleet.

use crate::fleet::config::FleetConfig;
use crate::fleet::local_process::new_incarnation;
use crate::fleet::wire::{Frame, HEARTBEAT_INTERVAL, Hello, Link, Role};
use anyhow::{Context, Result};
use pumicebay_accord::ProcessId;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::{Instant, MissedTickBehavior, interval_at, timeout_at};

/// How long a process may take to answer a frame that needs no quorum.
pub const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// An open link from a command to one process.
pub struct CommandLink {
    link: Link,
    /// The hello of the other end.
    pub hello: Hello,
}

impl CommandLink {
    /// Connects to the process at `address` and exchanges hellos.
    pub async fn connect(fleet: &FleetConfig, address: SocketAddr) -> Result<CommandLink> {
        let id = ProcessId { name: "command".into(), incarnation: new_incarnation() };
        let own_hello = Hello::new(&fleet.name, &id, Role::Command, None);
        let (link, hello) = Link::connect(address, &own_hello).await?;
        Ok(CommandLink { link, hello })
    }

    /// Like `connect`, but returns an error if the other end does not support this protocol version.
    pub async fn connect_with_version(
        fleet: &FleetConfig,
        address: SocketAddr,
        version: u16,
    ) -> Result<CommandLink> {
        let command_link = CommandLink::connect(fleet, address).await?;
        command_link.link.ensure_version(version)?;
        Ok(command_link)
    }

    /// Sends a frame and returns the first received frame for which `extract` returns a value. Sends
    /// heartbeats while waiting. Returns an error after `timeout` or when the link ends.
    pub async fn query<T>(
        &mut self,
        frame: Frame,
        timeout: Duration,
        extract: impl Fn(Frame) -> Option<T>,
    ) -> Result<T> {
        self.link.send(&frame).await?;
        let deadline = Instant::now() + timeout;
        let mut heartbeat = interval_at(Instant::now() + HEARTBEAT_INTERVAL, HEARTBEAT_INTERVAL);
        heartbeat.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                frame = timeout_at(deadline, self.link.next()) => {
                    if let Some(answer) = extract(frame.context("no answer in time")??) {
                        return Ok(answer);
                    }
                }
                _ = heartbeat.tick() => self.link.send(&Frame::Heartbeat(None)).await?,
            }
        }
    }
}
