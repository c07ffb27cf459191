//! `pumicebay fleet run`: an operator's command under a lease. It is told the token, asked to end before the lease does,
//! and killed with all that it started before the lease's last moment. Two processes see to that: this one, which holds
//! the lease, and a guard, which has the command as its child and is told how long the lease lasts. Either one ends the
//! command when the other is stopped or dead. What the command acts on has to refuse lower tokens all the same: a machine
//! that stands still stops all three alike.

use crate::fleet::lease::LeaseHandle;
use crate::fleet::local_process::FleetClock;
use crate::fleet::voter_client::VoterClient;
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
const LEASE_LOST: u8 = 76;
/// The last part of a lease is for ending in order, the last of that for being killed.
const TERMINATE_DIVISOR: u32 = 6;
const KILL_DIVISOR: u32 = 24;

pub async fn run(
    voters: VoterClient,
    name: &str,
    duration: Duration,
    give_up: Option<Duration>,
    program: &str,
    arguments: &[String],
) -> Result<ExitCode> {
    let clock = voters.local.clock;
    let mut lease = LeaseHandle::acquire(voters, name, duration);
    let (mut terminate, mut interrupt) = (signal(SignalKind::terminate())?, signal(SignalKind::interrupt())?);
    let give_up_at = Instant::now() + give_up.unwrap_or(Duration::from_secs(366 * 86_400));
    let token = loop {
        let held = *lease.held.borrow_and_update();
        if let Some(HeldLease { token, .. }) = held {
            break token;
        }
        tokio::select! {
            _ = lease.held.changed() => {}
            _ = terminate.recv() => return Ok(ExitCode::from(NOT_RUN)),
            _ = interrupt.recv() => return Ok(ExitCode::from(NOT_RUN)),
            () = sleep_until(give_up_at) => {
                eprintln!("pumicebay: {name} is held by another");
                return Ok(ExitCode::from(NOT_RUN));
            }
        }
    };
    let program_path = std::env::current_exe().context("this program's own path")?;
    let mut command = Command::new(program_path);
    command.args(["as-proxy", "fleet", "guard", program]).args(arguments);
    command.env("PUMICEBAY_LEASE", name).env("PUMICEBAY_TOKEN", token.to_string());
    command.env("PUMICEBAY_GUARD", format!("{} {}", clock.ppm, duration.as_nanos()));
    // The guard and what it starts are a group of their own, so that all of it can be ended.
    let mut guard = command.process_group(0).stdin(Stdio::piped()).kill_on_drop(true).spawn()?;
    let group = ProcessGroup::of_child(&guard);
    let mut deadlines = guard.stdin.take().context("the guard's orders")?;
    let mut term_sent = false;
    let status = loop {
        let held = (*lease.held.borrow_and_update()).filter(|held| held.token == token);
        let left = held.map_or(Duration::ZERO, |held| clock.until(held.valid_until));
        if left <= duration / KILL_DIVISOR {
            group.signal(Signal::KILL);
            guard.wait().await?;
            break None;
        }
        if let Some(held) = held.filter(|_| !term_sent) {
            send_deadline(&mut deadlines, held.valid_until).await;
        }
        term_sent |= left <= duration / TERMINATE_DIVISOR;
        let wait =
            if term_sent { left - duration / KILL_DIVISOR } else { left - duration / TERMINATE_DIVISOR };
        tokio::select! {
            biased;
            status = guard.wait() => break Some(status?),
            _ = lease.held.changed() => {}
            () = sleep_until(Instant::now() + wait) => {}
            _ = terminate.recv() => group.signal(Signal::TERM),
            _ = interrupt.recv() => group.signal(Signal::INT),
        }
    };
    // What the command left behind must not act on.
    group.signal(Signal::KILL);
    lease.release().await;
    Ok(match status.and_then(|status| status.code()).and_then(|code| u8::try_from(code).ok()) {
        Some(code) => ExitCode::from(code),
        None => {
            eprintln!("pumicebay: {name} is lost, the command was ended");
            ExitCode::from(LEASE_LOST)
        }
    })
}

/// A guard that is gone, or stopped, is found by its end or not needed.
async fn send_deadline(deadlines: &mut ChildStdin, valid_until: Nanos) {
    let line = format!("{valid_until}\n");
    let _ = tokio::time::timeout(Duration::from_millis(50), deadlines.write_all(line.as_bytes())).await;
}

/// The guard: runs the command until it ends, the lease does, or nobody says any more that it goes on.
pub async fn guard(program: &str, arguments: &[String]) -> Result<ExitCode> {
    let received = std::env::var("PUMICEBAY_GUARD").context("guard: only fleet run starts it")?;
    let (ppm, duration) = received.split_once(' ').context("PUMICEBAY_GUARD")?;
    let (clock, duration) = (FleetClock::new(ppm.parse()?), Duration::from_nanos(duration.parse()?));
    let mut deadlines = deadlines();
    let mut valid_until = deadlines.recv().await.context("no order")?;
    let mut command = Command::new(program);
    command.args(arguments).env_remove("PUMICEBAY_GUARD").stdin(Stdio::null()).kill_on_drop(true);
    // Signals to the group are for the command: the guard reports how it ended.
    let (mut terminate, mut interrupt) = (signal(SignalKind::terminate())?, signal(SignalKind::interrupt())?);
    let mut child = command.spawn().with_context(|| program.to_string())?;
    let (mut term_sent, mut input_open) = (false, true);
    loop {
        let left = clock.until(valid_until);
        if left <= duration / KILL_DIVISOR {
            // Itself too: it is one of the group.
            ProcessGroup::own().signal(Signal::KILL);
            sleep(Duration::from_secs(1)).await;
        }
        if left <= duration / TERMINATE_DIVISOR && !term_sent {
            term_sent = true;
            ProcessGroup::own().signal(Signal::TERM);
        }
        let wait = if term_sent {
            left.saturating_sub(duration / KILL_DIVISOR)
        } else {
            left - duration / TERMINATE_DIVISOR
        };
        tokio::select! {
            biased;
            status = child.wait() => return Ok(exit_code(status?, term_sent)),
            deadline = deadlines.recv(), if input_open => match deadline {
                Some(deadline) => valid_until = valid_until.max(deadline),
                // Whoever held the lease is dead: it ends by itself.
                None => input_open = false,
            },
            () = sleep_until(Instant::now() + wait) => {}
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
    }
}

/// What standard input says, read on a thread that nobody waits for at the end.
fn deadlines() -> mpsc::Receiver<Nanos> {
    let (deadline_sender, received) = mpsc::channel(8);
    std::thread::spawn(move || {
        for line in std::io::stdin().lines() {
            let Some(deadline) = line.ok().and_then(|line| line.parse().ok()) else { return };
            if deadline_sender.blocking_send(deadline).is_err() {
                return;
            }
        }
    });
    received
}

fn exit_code(status: ExitStatus, term_sent: bool) -> ExitCode {
    let code = status.code().and_then(|code| u8::try_from(code).ok()).filter(|_| !term_sent);
    ExitCode::from(code.unwrap_or(LEASE_LOST))
}

/// A group of processes.
#[derive(Clone, Copy)]
struct ProcessGroup(Option<Pid>);

impl ProcessGroup {
    fn of_child(child: &Child) -> ProcessGroup {
        ProcessGroup(child.id().and_then(|id| i32::try_from(id).ok()).and_then(Pid::from_raw))
    }

    /// That of this process, which leads it.
    fn own() -> ProcessGroup {
        ProcessGroup(Some(rustix::process::getpid()))
    }

    /// Gone already is as good.
    fn signal(self, signal: Signal) {
        let _ = self.0.map(|group| kill_process_group(group, signal));
    }
}
