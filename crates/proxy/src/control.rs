//! The dispatcher's control interface for operators, reloads and the fleet. It depends on nothing but the
//! mailbox.

use pumicebay_core::Settings;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};

/// The timeout of a whole probe.
pub const PROBE_TIMEOUT: Duration = Duration::from_millis(250);

/// What kind of node has an id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodeKind {
    /// A cache node.
    Cache,
    /// The origin.
    Origin,
    /// No known node has the id.
    Unknown,
}

/// Commands that the dispatcher handles before all other events. Nodes are named by their unique ids.
pub enum ControlCommand {
    /// Asks what kind of node this is.
    LookUp(String, oneshot::Sender<NodeKind>),
    /// Takes the node out of service (true) or puts it back (false).
    SetMaintenance(String, bool, oneshot::Sender<()>),
    /// Replaces the settings.
    ApplySettings(Settings, oneshot::Sender<()>),
    /// Probes the node on behalf of the fleet.
    Probe(String),
    /// Reports whether the node answered a probe that the balancer had asked the fleet for.
    ProbeResult(String, bool),
}

/// Sends commands to the dispatcher ahead of all other events.
#[derive(Clone)]
pub struct ControlHandle(pub mpsc::Sender<ControlCommand>);

impl ControlHandle {
    /// What kind of node has this id; `Unknown` also when the process is ending.
    pub async fn node_kind(&self, uid: String) -> NodeKind {
        self.call(|answer| ControlCommand::LookUp(uid, answer)).await.unwrap_or(NodeKind::Unknown)
    }

    /// Takes the node out of service or puts it back. Returns once the balancer has stopped sending it
    /// requests, or may send them again.
    pub async fn set_maintenance(&self, uid: String, out_of_service: bool) {
        self.call(|done| ControlCommand::SetMaintenance(uid, out_of_service, done)).await;
    }

    /// Replaces the settings. Returns once they apply to new requests.
    pub async fn apply_settings(&self, settings: Settings) {
        self.call(|done| ControlCommand::ApplySettings(settings, done)).await;
    }

    /// Has this process probe the node for the fleet. The prober gets the result.
    pub async fn probe(&self, uid: String) {
        let _ = self.0.send(ControlCommand::Probe(uid)).await;
    }

    /// Reports the result of a probe that the balancer asked for, whichever process made it.
    pub async fn probe_result(&self, uid: String, answered: bool) {
        let _ = self.0.send(ControlCommand::ProbeResult(uid, answered)).await;
    }

    /// Sends a command and waits for its answer; `None` only when the process is ending.
    async fn call<T>(&self, command: impl FnOnce(oneshot::Sender<T>) -> ControlCommand) -> Option<T> {
        let (answer, answered) = oneshot::channel();
        self.0.send(command(answer)).await.ok()?;
        answered.await.ok()
    }
}
