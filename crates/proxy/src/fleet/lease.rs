//! Acquires a lease and renews it until it is released.

use crate::fleet::voter_client::VoterClient;
use pumicebay_accord::{HeldLease, LeaseClient, Name, Reply};
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{Instant, sleep_until};

/// A handle of a task that acquires and renews one lease.
pub struct LeaseHandle {
    /// The lease as of the last change; `None` while it is not held. Whoever acts under the lease must also
    /// compare `valid_until` with the clock.
    pub held: watch::Receiver<Option<HeldLease>>,
    /// The process that holds the lease, if another one does, as of the last denial.
    pub other_holder: watch::Receiver<Option<Name>>,
    release: Option<oneshot::Sender<oneshot::Sender<()>>>,
}

impl LeaseHandle {
    /// Starts a task that acquires the lease `name` and renews it, for `duration` with each grant.
    pub fn acquire(voters: VoterClient, name: &str, duration: Duration) -> LeaseHandle {
        let (held_sender, held) = watch::channel(None);
        let (holder_sender, other_holder) = watch::channel(None);
        let (release, released) = oneshot::channel();
        let local = &voters.local;
        let nanos = u64::try_from(duration.as_nanos()).unwrap_or(u64::MAX);
        let lease =
            LeaseClient::new(local.clock.now(), local.id.clone(), name, nanos, local.config.drift_ppm);
        tokio::spawn(run(voters, lease, duration, (held_sender, holder_sender), released));
        LeaseHandle { held, other_holder, release: Some(release) }
    }

    /// Stops holding the lease at once. Returns when the voters have released it, or after a timeout.
    pub async fn release(&mut self) {
        let (done, finished) = oneshot::channel();
        if self.release.take().is_some_and(|request| request.send(done).is_ok()) {
            let _ = finished.await;
        }
    }
}

/// The task behind `LeaseHandle`: runs until the lease is released.
async fn run(
    voters: VoterClient,
    mut lease: LeaseClient,
    duration: Duration,
    (held_sender, holder_sender): (watch::Sender<Option<HeldLease>>, watch::Sender<Option<Name>>),
    mut released: oneshot::Receiver<oneshot::Sender<()>>,
) {
    let clock = voters.local.clock;
    let (reply_sender, mut replies) = mpsc::channel::<(u64, Reply)>(8);
    let mut newest_number = 0;
    loop {
        let now = clock.now();
        if let Some(operation) = lease.next_operation(now, voters.next_number()) {
            newest_number = operation.id.number;
            let (voters, reply_sender) = (voters.clone(), reply_sender.clone());
            tokio::spawn(async move {
                let number = operation.id.number;
                let reply = voters.submit_operation(operation, duration / 2).await;
                let _ = reply_sender.send((number, reply)).await;
            });
        }
        held_sender.send_if_modified(|held| std::mem::replace(held, lease.held()) != lease.held());
        tokio::select! {
            Some((number, reply)) = replies.recv() => {
                // Voters deny an operation that a later one overtook, even if the later one was granted. Such
                // a denial does not end the held lease; the reply to the newest operation decides.
                let superseded = number < newest_number && matches!(reply, Reply::Denied(..));
                let reply = if superseded { Reply::Unknown } else { reply };
                let other_holder = match &reply {
                    // An earlier incarnation of this process is not another holder.
                    Reply::Denied(Some(holder), _) if holder.name != voters.local.id.name => Some(&holder.name),
                    _ => None,
                };
                if matches!(reply, Reply::Denied(..) | Reply::Granted(_)) {
                    holder_sender.send_if_modified(|known| {
                        let changed = known.as_ref() != other_holder;
                        *known = other_holder.cloned();
                        changed
                    });
                }
                lease.answer_received(clock.now(), number, &reply);
            }
            () = sleep_until(Instant::now() + clock.until(lease.wake_at())) => {}
            done = &mut released => {
                let operation = lease.give_back(clock.now(), voters.next_number());
                held_sender.send_replace(None);
                if let Some(operation) = operation {
                    voters.submit_operation(operation, duration / 2).await;
                }
                if let Ok(done) = done {
                    let _ = done.send(());
                }
                return;
            }
        }
    }
}
