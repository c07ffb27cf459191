//! The module's way to have nodes probed: by this process or by another of its zone.

use pumicebay_accord::Name;
use tokio::sync::mpsc;

const MAILBOX: usize = 256;

/// What the module says.
pub enum Event {
    Wanted(Name),
    Probed(Name, bool),
}

/// The module's way to the actor.
#[derive(Clone)]
pub struct Prober(mpsc::Sender<Event>);

impl Prober {
    /// The decisions want the outcome of a probe; it comes by `ControlHandle::probe_result`. False where there is no room to ask.
    pub fn wanted(&self, uid: &str) -> bool {
        self.0.try_send(Event::Wanted(uid.into())).is_ok()
    }

    /// A probe that `ControlHandle::probe` asked for has come to this.
    pub fn probed(&self, uid: &str, answered: bool) {
        let _ = self.0.try_send(Event::Probed(uid.into(), answered));
    }
}

/// The actor's end.
pub struct Mailbox(pub mpsc::Receiver<Event>);

pub fn door() -> (Prober, Mailbox) {
    let (events, mailbox) = mpsc::channel(MAILBOX);
    (Prober(events), Mailbox(mailbox))
}
