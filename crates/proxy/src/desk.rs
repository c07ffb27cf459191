//! The operators' and the fleet's way to the module: it needs nothing of the module but its mailbox.

use pumicebay_core::Settings;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};

/// How long a probe may take in all.
pub const PROBE: Duration = Duration::from_millis(250);

/// Who has an id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Whose {
    Cache,
    Origin,
    Nobody,
}

/// What goes before all that waits in the module's mailbox.
pub enum Order {
    Whose(String, oneshot::Sender<Whose>),
    Maintained(String, bool, oneshot::Sender<()>),
    Retuned(Settings, oneshot::Sender<()>),
    Probe(String),
    Told(String, bool),
}

/// The operators' way to the module: it goes before all that waits in the mailbox.
#[derive(Clone)]
pub struct Desk(pub mpsc::Sender<Order>);

impl Desk {
    pub async fn whose(&self, uid: String) -> Whose {
        self.ask(|answer| Order::Whose(uid, answer)).await.unwrap_or(Whose::Nobody)
    }

    /// Returns once no decision sends the node anything more, or does so again.
    pub async fn maintained(&self, uid: String, out: bool) {
        self.ask(|done| Order::Maintained(uid, out, done)).await;
    }

    /// Returns once these settings hold for what arrives.
    pub async fn retuned(&self, settings: Settings) {
        self.ask(|done| Order::Retuned(settings, done)).await;
    }

    /// The fleet wants this node probed by this process; the outcome goes to the prober.
    pub async fn probe(&self, uid: String) {
        let _ = self.0.send(Order::Probe(uid)).await;
    }

    /// What became of a probe that the decisions asked for, whoever made it.
    pub async fn told(&self, uid: String, answered: bool) {
        let _ = self.0.send(Order::Told(uid, answered)).await;
    }

    /// None only when the process ends.
    async fn ask<T>(&self, order: impl FnOnce(oneshot::Sender<T>) -> Order) -> Option<T> {
        let (answer, answered) = oneshot::channel();
        self.0.send(order(answer)).await.ok()?;
        answered.await.ok()
    }
}
