//! The module's way to have nodes probed: by this process or by another of its zone.

use pumicebay_accord::Name;
use tokio::sync::mpsc;

const MAILBOX_CAPACITY: usize = 256;

/// What the module says.
pub enum ProbeEvent {
    OutcomeWanted(Name),
    ProbeFinished(Name, bool),
}

/// The module's way to the actor.
#[derive(Clone)]
pub struct ProbeHandle(mpsc::Sender<ProbeEvent>);

impl ProbeHandle {
    /// The decisions want the outcome of a probe; it comes by `ControlHandle::probe_result`. False where there is no room to ask.
    pub fn outcome_wanted(&self, uid: &str) -> bool {
        self.0.try_send(ProbeEvent::OutcomeWanted(uid.into())).is_ok()
    }

    /// A probe that `ControlHandle::probe` asked for has come to this.
    pub fn probe_finished(&self, uid: &str, answered: bool) {
        let _ = self.0.try_send(ProbeEvent::ProbeFinished(uid.into(), answered));
    }
}

/// The actor's end.
pub struct ProbeMailbox(pub mpsc::Receiver<ProbeEvent>);

pub fn channel() -> (ProbeHandle, ProbeMailbox) {
    let (events, mailbox) = mpsc::channel(MAILBOX_CAPACITY);
    (ProbeHandle(events), ProbeMailbox(mailbox))
}
