//! Runs an actor that owns a state machine: takes what comes, in batches, and wakes it when it wants to be woken.

use tokio::sync::mpsc;
use tokio::time::{Instant, sleep_until};

/// Events taken together before the clock is looked at again.
const BATCH: usize = 64;

/// What an actor does with events and time.
pub trait Actor {
    type Event;

    /// When it wants to be woken at the latest.
    fn due(&self) -> Instant;
    fn take(&mut self, event: Self::Event);
    /// After events, and when it is due.
    fn tick(&mut self);
}

/// Runs until nobody can send events any more.
pub async fn drive<A: Actor>(mut actor: A, mut events: mpsc::Receiver<A::Event>) {
    loop {
        let due = actor.due();
        tokio::select! {
            event = events.recv() => match event {
                Some(event) => {
                    actor.take(event);
                    for _ in 1..BATCH {
                        let Ok(event) = events.try_recv() else { break };
                        actor.take(event);
                    }
                }
                None => return,
            },
            () = sleep_until(due) => {}
        }
        actor.tick();
    }
}
