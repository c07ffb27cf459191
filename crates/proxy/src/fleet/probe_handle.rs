//! The dispatcher's handle of the shared probes: nodes are probed by this process or by another one of its
//! zone.

use pumicebay_accord::Name;
use tokio::sync::mpsc;

/// The capacity of the mailbox.
const MAILBOX_CAPACITY: usize = 256;

/// An event for the probe actor.
pub enum ProbeEvent {
    /// The dispatcher wants the outcome of a probe of the node with this uid.
    OutcomeWanted(Name),
    /// A probe of the node with this uid has finished; `true` if the node answered.
    ProbeFinished(Name, bool),
}

/// The dispatcher's handle of the probe actor.
#[derive(Clone)]
pub struct ProbeHandle(mpsc::Sender<ProbeEvent>);

impl ProbeHandle {
    /// Asks for the outcome of a probe, which is delivered through `ControlHandle::probe_result`. Returns
    /// false if the mailbox is full.
    pub fn outcome_wanted(&self, uid: &str) -> bool {
        self.0.try_send(ProbeEvent::OutcomeWanted(uid.into())).is_ok()
    }

    /// Reports the outcome of a probe that `ControlHandle::probe` started. Dropped if the mailbox is full.
    pub fn probe_finished(&self, uid: &str, answered: bool) {
        let _ = self.0.try_send(ProbeEvent::ProbeFinished(uid.into(), answered));
    }
}

/// The receiving end, owned by the probe actor.
pub struct ProbeMailbox(pub mpsc::Receiver<ProbeEvent>);

/// Creates a connected handle and mailbox.
pub fn channel() -> (ProbeHandle, ProbeMailbox) {
    let (events, mailbox) = mpsc::channel(MAILBOX_CAPACITY);
    (ProbeHandle(events), ProbeMailbox(mailbox))
}
