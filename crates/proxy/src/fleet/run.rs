//! `pumicebay fleet run`: an operator's command under a lease. It is told the token, asked to end before the lease does,
//! and killed with all that it started before the lease's last moment. Two processes see to that: this one, which holds
//! the lease, and a guard, which has the command as its child and is told how long the lease lasts. Either one ends the
//! command when the other is stopped or dead. What the command acts on has to refuse lower tokens all the same: a machine
//! that stands still stops all three alike.

use crate::fleet::lease::Lease;
use crate::fleet::local_process::FleetClock;
use crate::fleet::voter_client::Asker;
use anyhow::{Context, Result};
use pumicebay_accord::{HeldLease, Nanos};
use rustix::process::{Pid, Signal, kill_process_group};
use std::process::{ExitCode, ExitStatus, Stdio};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::process::{Child, ChildStdin, Command};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep, sleep_until};

/// Exit codes of its own, out of the way of most commands'.
const NOT_RUN: u8 = 75;
const ENDED: u8 = 76;
/// The last part of a lease is for ending in order, the last of that for being killed.
const ORDER: u32 = 6;
const KILL: u32 = 24;

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
        if let Some(HeldLease { token, .. }) = held {
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
    let own = std::env::current_exe().context("this program's own path")?;
    let mut command = Command::new(own);
    command.args(["as-proxy", "fleet", "guard", program]).args(arguments);
    command.env("PUMICEBAY_LEASE", name).env("PUMICEBAY_TOKEN", token.to_string());
    command.env("PUMICEBAY_GUARD", format!("{} {}", clock.ppm, time.as_nanos()));
    // The guard and what it starts are a group of their own, so that all of it can be ended.
    let mut guard = command.process_group(0).stdin(Stdio::piped()).kill_on_drop(true).spawn()?;
    let group = Group::of(&guard);
    let mut orders = guard.stdin.take().context("the guard's orders")?;
    let mut asked = false;
    let ended = loop {
        let held = (*lease.held.borrow_and_update()).filter(|held| held.token == token);
        let left = held.map_or(Duration::ZERO, |held| clock.until(held.valid_until));
        if left <= time / KILL {
            group.send(Signal::KILL);
            guard.wait().await?;
            break None;
        }
        if let Some(held) = held.filter(|_| !asked) {
            tell(&mut orders, held.valid_until).await;
        }
        asked |= left <= time / ORDER;
        let next = if asked { left - time / KILL } else { left - time / ORDER };
        tokio::select! {
            biased;
            status = guard.wait() => break Some(status?),
            _ = lease.held.changed() => {}
            () = sleep_until(Instant::now() + next) => {}
            _ = terminate.recv() => group.send(Signal::TERM),
            _ = interrupt.recv() => group.send(Signal::INT),
        }
    };
    // What the command left behind must not act on.
    group.send(Signal::KILL);
    lease.give_back().await;
    Ok(match ended.and_then(|status| status.code()).and_then(|code| u8::try_from(code).ok()) {
        Some(code) => ExitCode::from(code),
        None => {
            eprintln!("pumicebay: {name} is lost, the command was ended");
            ExitCode::from(ENDED)
        }
    })
}

/// A guard that is gone, or stopped, is found by its end or not needed.
async fn tell(orders: &mut ChildStdin, until: Nanos) {
    let line = format!("{until}\n");
    let _ = tokio::time::timeout(Duration::from_millis(50), orders.write_all(line.as_bytes())).await;
}

/// The guard: runs the command until it ends, the lease does, or nobody says any more that it goes on.
pub async fn guard(program: &str, arguments: &[String]) -> Result<ExitCode> {
    let told = std::env::var("PUMICEBAY_GUARD").context("guard: only fleet run starts it")?;
    let (ppm, time) = told.split_once(' ').context("PUMICEBAY_GUARD")?;
    let (clock, time) = (FleetClock::new(ppm.parse()?), Duration::from_nanos(time.parse()?));
    let mut orders = orders();
    let mut until = orders.recv().await.context("no order")?;
    let mut command = Command::new(program);
    command.args(arguments).env_remove("PUMICEBAY_GUARD").stdin(Stdio::null()).kill_on_drop(true);
    // Signals to the group are for the command: the guard reports how it ended.
    let (mut terminate, mut interrupt) = (signal(SignalKind::terminate())?, signal(SignalKind::interrupt())?);
    let mut child = command.spawn().with_context(|| program.to_string())?;
    let (mut asked, mut listening) = (false, true);
    loop {
        let left = clock.until(until);
        if left <= time / KILL {
            // Itself too: it is one of the group.
            Group::own().send(Signal::KILL);
            sleep(Duration::from_secs(1)).await;
        }
        if left <= time / ORDER && !asked {
            asked = true;
            Group::own().send(Signal::TERM);
        }
        let next = if asked { left.saturating_sub(time / KILL) } else { left - time / ORDER };
        tokio::select! {
            biased;
            status = child.wait() => return Ok(code(status?, asked)),
            order = orders.recv(), if listening => match order {
                Some(order) => until = until.max(order),
                // Whoever held the lease is dead: it ends by itself.
                None => listening = false,
            },
            () = sleep_until(Instant::now() + next) => {}
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
    }
}

/// What standard input says, read on a thread that nobody waits for at the end.
fn orders() -> mpsc::Receiver<Nanos> {
    let (tell, told) = mpsc::channel(8);
    std::thread::spawn(move || {
        for line in std::io::stdin().lines() {
            let Some(order) = line.ok().and_then(|line| line.parse().ok()) else { return };
            if tell.blocking_send(order).is_err() {
                return;
            }
        }
    });
    told
}

fn code(status: ExitStatus, asked: bool) -> ExitCode {
    let code = status.code().and_then(|code| u8::try_from(code).ok()).filter(|_| !asked);
    ExitCode::from(code.unwrap_or(ENDED))
}

/// A group of processes.
#[derive(Clone, Copy)]
struct Group(Option<Pid>);

impl Group {
    fn of(child: &Child) -> Group {
        Group(child.id().and_then(|id| i32::try_from(id).ok()).and_then(Pid::from_raw))
    }

    /// That of this process, which leads it.
    fn own() -> Group {
        Group(Some(rustix::process::getpid()))
    }

    /// Gone already is as good.
    fn send(self, what: Signal) {
        let _ = self.0.map(|group| kill_process_group(group, what));
    }
}
