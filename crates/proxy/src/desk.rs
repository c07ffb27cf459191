//! The operators' and the fleet's way to the module: it needs nothing of the module but its mailbox.

use pumicebay_core::Settings;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};

/// How long a probe may take in all.
pub const PROBE_TIMEOUT: Duration = Duration::from_millis(250);

/// Who has an id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodeKind {
    Cache,
    Origin,
    Unknown,
}

/// What goes before all that waits in the module's mailbox.
pub enum ControlCommand {
    LookUp(String, oneshot::Sender<NodeKind>),
    SetMaintenance(String, bool, oneshot::Sender<()>),
    ApplySettings(Settings, oneshot::Sender<()>),
    Probe(String),
    ProbeResult(String, bool),
}

/// The operators' way to the module: it goes before all that waits in the mailbox.
#[derive(Clone)]
pub struct ControlHandle(pub mpsc::Sender<ControlCommand>);

impl ControlHandle {
    pub async fn node_kind(&self, uid: String) -> NodeKind {
        self.call(|answer| ControlCommand::LookUp(uid, answer)).await.unwrap_or(NodeKind::Unknown)
    }

    /// Returns once no decision sends the node anything more, or does so again.
    pub async fn set_maintenance(&self, uid: String, out_of_service: bool) {
        self.call(|done| ControlCommand::SetMaintenance(uid, out_of_service, done)).await;
    }

    /// Returns once these settings hold for what arrives.
    pub async fn apply_settings(&self, settings: Settings) {
        self.call(|done| ControlCommand::ApplySettings(settings, done)).await;
    }

    /// The fleet wants this node probed by this process; the outcome goes to the prober.
    pub async fn probe(&self, uid: String) {
        let _ = self.0.send(ControlCommand::Probe(uid)).await;
    }

    /// What became of a probe that the decisions asked for, whoever made it.
    pub async fn probe_result(&self, uid: String, answered: bool) {
        let _ = self.0.send(ControlCommand::ProbeResult(uid, answered)).await;
    }

    /// None only when the process ends.
    async fn call<T>(&self, command: impl FnOnce(oneshot::Sender<T>) -> ControlCommand) -> Option<T> {
        let (answer, answered) = oneshot::channel();
        self.0.send(command(answer)).await.ok()?;
        answered.await.ok()
    }
}
