//! One lease, asked for and renewed for as long as somebody wants it.

use crate::fleet::voter_client::VoterClient;
use pumicebay_accord::{HeldLease, LeaseClient, Name, Reply};
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{Instant, sleep_until};

/// What is held now, as of the last change; whoever acts looks at the clock too.
pub struct LeaseHandle {
    pub held: watch::Receiver<Option<HeldLease>>,
    /// The name of who has it where that is another, as of the last refusal.
    pub holder: watch::Receiver<Option<Name>>,
    release: Option<oneshot::Sender<oneshot::Sender<()>>>,
}

impl LeaseHandle {
    /// Wants the lease `name`, for `time` at each grant.
    pub fn acquire(voters: VoterClient, name: &str, duration: Duration) -> LeaseHandle {
        let (held_sender, held) = watch::channel(None);
        let (holder_sender, holder) = watch::channel(None);
        let (release, released) = oneshot::channel();
        let local = &voters.local;
        let nanos = u64::try_from(duration.as_nanos()).unwrap_or(u64::MAX);
        let lease =
            LeaseClient::new(local.clock.now(), local.id.clone(), name, nanos, local.config.drift_ppm);
        tokio::spawn(run(voters, lease, duration, (held_sender, holder_sender), released));
        LeaseHandle { held, holder, release: Some(release) }
    }

    /// Stops holding it at once; returns when the others know, or a little later.
    pub async fn release(&mut self) {
        let (done, finished) = oneshot::channel();
        if self.release.take().is_some_and(|request| request.send(done).is_ok()) {
            let _ = finished.await;
        }
    }
}

async fn run(
    voters: VoterClient,
    mut lease: LeaseClient,
    duration: Duration,
    (held_sender, holder_sender): (watch::Sender<Option<HeldLease>>, watch::Sender<Option<Name>>),
    mut released: oneshot::Receiver<oneshot::Sender<()>>,
) {
    let clock = voters.local.clock;
    let (answers, mut answered) = mpsc::channel::<(u64, Reply)>(8);
    let mut newest_number = 0;
    loop {
        let now = clock.now();
        if let Some(operation) = lease.next_operation(now, voters.next_number()) {
            newest_number = operation.id.number;
            let (voters, answers) = (voters.clone(), answers.clone());
            tokio::spawn(async move {
                let number = operation.id.number;
                let reply = voters.submit_operation(operation, duration / 2).await;
                let _ = answers.send((number, reply)).await;
            });
        }
        held_sender.send_if_modified(|held| std::mem::replace(held, lease.held()) != lease.held());
        tokio::select! {
            Some((number, reply)) = answered.recv() => {
                // Voters deny an ask that a later one overtook, also where the later one was granted: what is held is not
                // lost by that. The answer to the newest tells.
                let superseded = number < newest_number && matches!(reply, Reply::Denied(..));
                let reply = if superseded { Reply::Unknown } else { reply };
                let other_holder = match &reply {
                    // An earlier life of one's own name is nobody to turn to.
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
