//! `pumicebay fleet run`: runs an operator's command while a lease is held. The command gets the lease's
//! fencing token. It is terminated before the lease expires, and killed with all its child processes shortly
//! before the expiry. Two processes enforce this: this one, which holds the lease, and a guard process, which
//! is the parent of the command and is told when the lease expires. Either of them ends the command if the
//! other is stopped or dead. The systems that the command changes must still reject lower tokens, because a
//! machine that is suspended stops all three processes together.

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

/// The exit code if the command was not run. This and `LEASE_LOST` are codes that few commands use.
const NOT_RUN: u8 = 75;
/// The exit code if the command was ended because the lease was lost.
const LEASE_LOST: u8 = 76;
/// The command gets SIGTERM when 1/6 of the lease's duration is left, and SIGKILL when 1/24 is left.
const TERMINATE_DIVISOR: u32 = 6;
const KILL_DIVISOR: u32 = 24;

/// Waits for the lease `name`, for at most `give_up`, and runs the program under it. Returns the program's
/// exit code, `NOT_RUN` or `LEASE_LOST`.
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
                eprintln!("pumicebay: lease {name} is held by another process; the command was not run");
                return Ok(ExitCode::from(NOT_RUN));
            }
        }
    };
    let program_path = std::env::current_exe().context("the path of this executable")?;
    let mut command = Command::new(program_path);
    command.args(["as-proxy", "fleet", "guard", program]).args(arguments);
    command.env("PUMICEBAY_LEASE", name).env("PUMICEBAY_TOKEN", token.to_string());
    command.env("PUMICEBAY_GUARD", format!("{} {}", clock.ppm, duration.as_nanos()));
    // The guard and its children are a process group of their own, so that all of them can be killed.
    let mut guard = command.process_group(0).stdin(Stdio::piped()).kill_on_drop(true).spawn()?;
    let group = ProcessGroup::of_child(&guard);
    let mut deadlines = guard.stdin.take().context("the guard's standard input")?;
    let mut term_sent = false;
    let status = loop {
        let held = (*lease.held.borrow_and_update()).filter(|held| held.token == token);
        let remaining = held.map_or(Duration::ZERO, |held| clock.until(held.valid_until));
        if remaining <= duration / KILL_DIVISOR {
            group.signal(Signal::KILL);
            guard.wait().await?;
            break None;
        }
        if let Some(held) = held.filter(|_| !term_sent) {
            send_deadline(&mut deadlines, held.valid_until).await;
        }
        term_sent |= remaining <= duration / TERMINATE_DIVISOR;
        let wait = if term_sent {
            remaining - duration / KILL_DIVISOR
        } else {
            remaining - duration / TERMINATE_DIVISOR
        };
        tokio::select! {
            biased;
            status = guard.wait() => break Some(status?),
            _ = lease.held.changed() => {}
            () = sleep_until(Instant::now() + wait) => {}
            _ = terminate.recv() => group.signal(Signal::TERM),
            _ = interrupt.recv() => group.signal(Signal::INT),
        }
    };
    // Processes that the command started must not continue without the lease.
    group.signal(Signal::KILL);
    lease.release().await;
    Ok(match status.and_then(|status| status.code()).and_then(|code| u8::try_from(code).ok()) {
        Some(code) => ExitCode::from(code),
        None => {
            eprintln!("pumicebay: lease {name} was lost; the command was ended");
            ExitCode::from(LEASE_LOST)
        }
    })
}

/// Tells the guard when the lease expires. A failure is ignored: a guard that has ended is noticed through
/// its exit status, and one that is stopped must not block this process.
async fn send_deadline(deadlines: &mut ChildStdin, valid_until: Nanos) {
    let line = format!("{valid_until}\n");
    let _ = tokio::time::timeout(Duration::from_millis(50), deadlines.write_all(line.as_bytes())).await;
}

/// The guard process: runs the command until it ends or until the lease expires without a renewal on standard
/// input.
pub async fn guard(program: &str, arguments: &[String]) -> Result<ExitCode> {
    let received = std::env::var("PUMICEBAY_GUARD")
        .context("guard: PUMICEBAY_GUARD is not set; fleet run starts this command")?;
    let (ppm, duration) = received.split_once(' ').context("PUMICEBAY_GUARD: expected two numbers")?;
    let (clock, duration) = (FleetClock::new(ppm.parse()?), Duration::from_nanos(duration.parse()?));
    let mut deadlines = read_deadlines();
    let mut valid_until = deadlines.recv().await.context("guard: no lease deadline on standard input")?;
    let mut command = Command::new(program);
    command.args(arguments).env_remove("PUMICEBAY_GUARD").stdin(Stdio::null()).kill_on_drop(true);
    // The guard ignores signals to the group, which are meant for the command, so that it can report how the
    // command ended.
    let (mut terminate, mut interrupt) = (signal(SignalKind::terminate())?, signal(SignalKind::interrupt())?);
    let mut child = command.spawn().with_context(|| program.to_string())?;
    let (mut term_sent, mut input_open) = (false, true);
    loop {
        let remaining = clock.until(valid_until);
        if remaining <= duration / KILL_DIVISOR {
            // This also kills the guard, which is in the group.
            ProcessGroup::own().signal(Signal::KILL);
            sleep(Duration::from_secs(1)).await;
        }
        if remaining <= duration / TERMINATE_DIVISOR && !term_sent {
            term_sent = true;
            ProcessGroup::own().signal(Signal::TERM);
        }
        let wait = if term_sent {
            remaining.saturating_sub(duration / KILL_DIVISOR)
        } else {
            remaining - duration / TERMINATE_DIVISOR
        };
        tokio::select! {
            biased;
            status = child.wait() => return Ok(exit_code(status?, term_sent)),
            deadline = deadlines.recv(), if input_open => match deadline {
                Some(deadline) => valid_until = valid_until.max(deadline),
                // The process that held the lease is dead: the lease expires without renewals.
                None => input_open = false,
            },
            () = sleep_until(Instant::now() + wait) => {}
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
    }
}

/// The lease deadlines from standard input, read by a thread that is not joined at exit.
fn read_deadlines() -> mpsc::Receiver<Nanos> {
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

/// The command's exit code, or `LEASE_LOST` if the guard terminated it or it died from a signal.
fn exit_code(status: ExitStatus, term_sent: bool) -> ExitCode {
    let code = status.code().and_then(|code| u8::try_from(code).ok()).filter(|_| !term_sent);
    ExitCode::from(code.unwrap_or(LEASE_LOST))
}

/// A process group; `None` if the process had already ended.
#[derive(Clone, Copy)]
struct ProcessGroup(Option<Pid>);

impl ProcessGroup {
    /// The group that a child process leads.
    fn of_child(child: &Child) -> ProcessGroup {
        ProcessGroup(child.id().and_then(|id| i32::try_from(id).ok()).and_then(Pid::from_raw))
    }

    /// The group that this process leads.
    fn own() -> ProcessGroup {
        ProcessGroup(Some(rustix::process::getpid()))
    }

    /// Sends a signal to the group. An error means that the group is gone and is ignored.
    fn signal(self, signal: Signal) {
        let _ = self.0.map(|group| kill_process_group(group, signal));
    }
}
