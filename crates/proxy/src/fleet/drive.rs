//! Runs an actor that owns a state machine: takes what comes, in batches, and wakes it when it wants to be woken.

use tokio::sync::mpsc;
use tokio::time::{Instant, sleep_until};

/// Events taken together before the clock is looked at again.
const MAX_BATCH: usize = 64;

/// What an actor does with events and time.
pub trait Actor {
    type Event;

    /// When it wants to be woken at the latest.
    fn wake_at(&self) -> Instant;
    fn handle_event(&mut self, event: Self::Event);
    /// After events, and when it is due.
    fn tick(&mut self);
}

/// Runs until nobody can send events any more.
pub async fn drive<A: Actor>(mut actor: A, mut events: mpsc::Receiver<A::Event>) {
    loop {
        let wake_at = actor.wake_at();
        tokio::select! {
            event = events.recv() => match event {
                Some(event) => {
                    actor.handle_event(event);
                    for _ in 1..MAX_BATCH {
                        let Ok(event) = events.try_recv() else { break };
                        actor.handle_event(event);
                    }
                }
                None => return,
            },
            () = sleep_until(wake_at) => {}
        }
        actor.tick();
    }
}
