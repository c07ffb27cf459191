//! Starts what keeps nodes out of service: the maintenance actor, and the replica of the group's orders if there is one.

use crate::bans::{self, Maintenance, MaintenanceActor, Replication};
use crate::control::ControlHandle;
use crate::dispatcher::Dispatcher;
use crate::fleet::local_process::LocalProcess;
use crate::fleet::replication::config::ReplicationConfig;
use crate::fleet::replication::handle::{Channels, Handle};
use crate::fleet::replication::{self, handle};
use crate::shared::Shared;
use pumicebay_accord::FencingTokens;
use std::collections::BTreeSet;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinSet;

/// The handles of what was started.
pub struct MaintenanceHandles {
    /// Takes operators' calls.
    pub calls: Maintenance,
    /// The replica, if orders are replicated in a group.
    pub replication: Option<Handle>,
}

/// Starts the maintenance actor, and the replica if `group` has its section of the configuration. The dispatcher learns at
/// once which nodes earlier processes kept out of service.
pub fn start(
    group: Option<(&LocalProcess, Arc<ReplicationConfig>)>,
    shared: &Shared,
    control: &ControlHandle,
    dispatcher: &mut Dispatcher,
    actors: &mut JoinSet<()>,
) -> MaintenanceHandles {
    let (calls, mailbox) = bans::channel();
    let replication = group.map(|(me, config)| start_replica(me, config, &calls, actors));
    let replica = replication.as_ref().map(|replication| replication.handle.clone());
    let folder = shared.config.folder.clone();
    let cold_time = Duration::from_nanos(shared.config.settings.time("cold", 0));
    let (out, returned) = folder.as_deref().map(|folder| load_bans(folder, cold_time)).unwrap_or_default();
    let now = shared.clock.now();
    for uid in &out {
        dispatcher.set_maintenance(now, uid, true);
    }
    for uid in &returned {
        dispatcher.set_maintenance(now, uid, true);
        dispatcher.set_maintenance(now, uid, false);
    }
    let fences = FencingTokens::default();
    let actor = MaintenanceActor { control: control.clone(), folder, out, fences, replication };
    actors.spawn(actor.run(mailbox));
    MaintenanceHandles { calls, replication: replica }
}

/// Starts the replica of this process.
fn start_replica(
    me: &LocalProcess,
    config: Arc<ReplicationConfig>,
    maintenance: &Maintenance,
    actors: &mut JoinSet<()>,
) -> Replication {
    let Channels { handle, events, states_sender, states } = handle::channels();
    let maintenance = maintenance.clone();
    let context = replication::ActorContext { handle: handle.clone(), events, states_sender, maintenance };
    actors.spawn(replication::start(me, config, context));
    Replication { handle, ordered: states }
}

/// The nodes that are out of service by the files in the folder, and those that came back within `cold_time`.
fn load_bans(folder: &Path, cold_time: Duration) -> (BTreeSet<String>, BTreeSet<String>) {
    bans::load(folder, cold_time).unwrap_or_else(|error| {
        tracing::warn!("maintenance: reading the stored bans failed: {error}");
        Default::default()
    })
}
