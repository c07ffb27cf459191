//! `pumicebay fleet run`: an operator's command under a lease. It is told the token, asked to end before the lease does,
//! and killed with all that it started before the lease's last moment. What it acts on has to refuse lower tokens all
//! the same: a machine that stands still stops this process and the command alike.

use crate::fleet::asker::Asker;
use crate::fleet::lease::Lease;
use anyhow::{Context, Result};
use pumicebay_accord::Held;
use rustix::process::{Pid, Signal, kill_process_group};
use std::process::ExitCode;
use std::time::Duration;
use tokio::process::Command;
use tokio::signal::unix::{SignalKind, signal};
use tokio::time::{Instant, sleep_until};

/// Exit codes of its own, out of the way of most commands'.
const NOT_RUN: u8 = 75;
const ENDED: u8 = 76;

pub async fn run(
    asker: Asker,
    name: &str,
    time: Duration,
    give_up: Option<Duration>,
    program: &str,
    arguments: &[String],
) -> Result<ExitCode> {
    let clock = asker.me.clock;
    let mut lease = Lease::want(asker, name, time);
    let (mut terminate, mut interrupt) = (signal(SignalKind::terminate())?, signal(SignalKind::interrupt())?);
    let far = Instant::now() + give_up.unwrap_or(Duration::from_secs(366 * 86_400));
    let token = loop {
        let held = *lease.held.borrow_and_update();
        if let Some(Held { token, .. }) = held {
            break token;
        }
        tokio::select! {
            _ = lease.held.changed() => {}
            _ = terminate.recv() => return Ok(ExitCode::from(NOT_RUN)),
            _ = interrupt.recv() => return Ok(ExitCode::from(NOT_RUN)),
            () = sleep_until(far) => {
                eprintln!("pumicebay: {name} is held by another");
                return Ok(ExitCode::from(NOT_RUN));
            }
        }
    };
    let mut command = Command::new(program);
    command.args(arguments).env("PUMICEBAY_LEASE", name).env("PUMICEBAY_TOKEN", token.to_string());
    // A group of its own, so that what it starts ends with it.
    let mut child =
        command.process_group(0).kill_on_drop(true).spawn().with_context(|| program.to_string())?;
    let group = child.id().and_then(|id| i32::try_from(id).ok()).and_then(Pid::from_raw);
    let send = |what| {
        // Gone already is as good.
        let _ = group.map(|group| kill_process_group(group, what));
    };
    // The last sixth of the lease is for ending in order, the last of that for being killed.
    let (order, kill) = (time / 6, time / 24);
    let mut asked = false;
    let ended = loop {
        let held = (*lease.held.borrow_and_update()).filter(|held| held.token == token);
        let left = held.map_or(Duration::ZERO, |held| clock.until(held.until));
        if left <= kill {
            send(Signal::KILL);
            child.wait().await?;
            eprintln!("pumicebay: {name} is lost, the command was killed");
            break None;
        }
        if left <= order && !asked {
            asked = true;
            eprintln!("pumicebay: {name} can't be renewed, the command is told to end");
            send(Signal::TERM);
        }
        let next = if left > order { left - order } else { left - kill };
        tokio::select! {
            biased;
            status = child.wait() => break Some(status?),
            _ = lease.held.changed() => {}
            () = sleep_until(Instant::now() + next) => {}
            _ = terminate.recv() => send(Signal::TERM),
            _ = interrupt.recv() => send(Signal::INT),
        }
    };
    // What it started and left behind must not act on.
    send(Signal::KILL);
    lease.give_back().await;
    Ok(match ended {
        Some(status) if !asked => {
            ExitCode::from(status.code().and_then(|code| u8::try_from(code).ok()).unwrap_or(ENDED))
        }
        _ => ExitCode::from(ENDED),
    })
}
