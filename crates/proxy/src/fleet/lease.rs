//! One lease, asked for and renewed for as long as somebody wants it.

use crate::fleet::voter_client::Asker;
use pumicebay_accord::{HeldLease, LeaseClient, Name, Reply};
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{Instant, sleep_until};

/// What is held now, as of the last change; whoever acts looks at the clock too.
pub struct Lease {
    pub held: watch::Receiver<Option<HeldLease>>,
    /// The name of who has it where that is another, as of the last refusal.
    pub holder: watch::Receiver<Option<Name>>,
    give_back: Option<oneshot::Sender<oneshot::Sender<()>>>,
}

impl Lease {
    /// Wants the lease `name`, for `time` at each grant.
    pub fn want(asker: Asker, name: &str, time: Duration) -> Lease {
        let (tell, held) = watch::channel(None);
        let (tell_holder, holder) = watch::channel(None);
        let (give_back, given) = oneshot::channel();
        let me = &asker.me;
        let nanos = u64::try_from(time.as_nanos()).unwrap_or(u64::MAX);
        let holding = LeaseClient::new(me.clock.now(), me.who.clone(), name, nanos, me.config.drift_ppm);
        tokio::spawn(run(asker, holding, time, (tell, tell_holder), given));
        Lease { held, holder, give_back: Some(give_back) }
    }

    /// Stops holding it at once; returns when the others know, or a little later.
    pub async fn give_back(&mut self) {
        let (done, over) = oneshot::channel();
        if self.give_back.take().is_some_and(|give| give.send(done).is_ok()) {
            let _ = over.await;
        }
    }
}

async fn run(
    asker: Asker,
    mut holding: LeaseClient,
    time: Duration,
    (tell, tell_holder): (watch::Sender<Option<HeldLease>>, watch::Sender<Option<Name>>),
    mut given: oneshot::Receiver<oneshot::Sender<()>>,
) {
    let clock = asker.me.clock;
    let (answers, mut answered) = mpsc::channel::<(u64, Reply)>(8);
    let mut newest = 0;
    loop {
        let now = clock.now();
        if let Some(ask) = holding.next_operation(now, asker.number()) {
            newest = ask.id.number;
            let (asker, answers) = (asker.clone(), answers.clone());
            tokio::spawn(async move {
                let number = ask.id.number;
                let reply = asker.ask(ask, time / 2).await;
                let _ = answers.send((number, reply)).await;
            });
        }
        tell.send_if_modified(|held| std::mem::replace(held, holding.held()) != holding.held());
        tokio::select! {
            Some((number, reply)) = answered.recv() => {
                // Voters deny an ask that a later one overtook, also where the later one was granted: what is held is not
                // lost by that. The answer to the newest tells.
                let overtaken = number < newest && matches!(reply, Reply::Denied(..));
                let reply = if overtaken { Reply::Unknown } else { reply };
                let other = match &reply {
                    // An earlier life of one's own name is nobody to turn to.
                    Reply::Denied(Some(holder), _) if holder.name != asker.me.who.name => Some(&holder.name),
                    _ => None,
                };
                if matches!(reply, Reply::Denied(..) | Reply::Granted(_)) {
                    tell_holder.send_if_modified(|was| {
                        let changed = was.as_ref() != other;
                        *was = other.cloned();
                        changed
                    });
                }
                holding.answer_received(clock.now(), number, &reply);
            }
            () = sleep_until(Instant::now() + clock.until(holding.wake_at())) => {}
            done = &mut given => {
                let ask = holding.give_back(clock.now(), asker.number());
                tell.send_replace(None);
                if let Some(ask) = ask {
                    asker.ask(ask, time / 2).await;
                }
                if let Ok(done) = done {
                    let _ = done.send(());
                }
                return;
            }
        }
    }
}
