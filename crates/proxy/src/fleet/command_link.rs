//! A command's link to one process of the fleet.

use crate::fleet::config::FleetConfig;
use crate::fleet::local_process::incarnation;
use crate::fleet::wire::{BEAT, Frame, Hello, Link, Role};
use anyhow::{Context, Result};
use pumicebay_accord::ProcessId;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::{Instant, MissedTickBehavior, interval_at, timeout_at};

/// How long a process may take to answer what it knows at once.
pub const ANSWERS: Duration = Duration::from_secs(2);

pub struct Called {
    link: Link,
    /// What the other end said of itself.
    pub hello: Hello,
}

impl Called {
    pub async fn call(fleet: &FleetConfig, at: SocketAddr) -> Result<Called> {
        let who = ProcessId { name: "command".into(), incarnation: incarnation() };
        let own = Hello::new(&fleet.name, &who, Role::Command, None);
        let (link, hello) = Link::connect(at, &own).await?;
        Ok(Called { link, hello })
    }

    /// The same, for frames that there are since this version of links.
    pub async fn call_speaking(fleet: &FleetConfig, at: SocketAddr, version: u16) -> Result<Called> {
        let called = Called::call(fleet, at).await?;
        called.link.ensure_speaks(version)?;
        Ok(called)
    }

    /// Sends a frame and gives the first that is wanted of what comes back; the link is kept up meanwhile.
    pub async fn ask<T>(
        &mut self,
        frame: Frame,
        patience: Duration,
        wanted: impl Fn(Frame) -> Option<T>,
    ) -> Result<T> {
        self.link.send(&frame).await?;
        let until = Instant::now() + patience;
        let mut beat = interval_at(Instant::now() + BEAT, BEAT);
        beat.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                frame = timeout_at(until, self.link.next()) => {
                    if let Some(answer) = wanted(frame.context("no answer in time")??) {
                        return Ok(answer);
                    }
                }
                _ = beat.tick() => self.link.send(&Frame::Beat(None)).await?,
            }
        }
    }
}
