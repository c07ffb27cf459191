//! The event loop of actors that own a state machine: delivers events in batches and calls the actor when its
//! timer is due.

use tokio::sync::mpsc;
use tokio::time::{Instant, sleep_until};

/// The maximum number of events handled before the next tick.
const MAX_BATCH: usize = 64;

/// An actor that handles events and timer ticks.
pub trait Actor {
    /// The events that it handles.
    type Event;

    /// The latest time of the next `tick`.
    fn wake_at(&self) -> Instant;
    /// Handles one event.
    fn handle_event(&mut self, event: Self::Event);
    /// Called after each batch of events and when `wake_at` has passed.
    fn tick(&mut self);
}

/// Runs the actor until all senders of events are dropped.
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
