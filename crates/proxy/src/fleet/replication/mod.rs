//! Replication: maintenance orders reach every proxy of the group. Nothing here runs, listens or allocates
//! unless the configuration has a section `fleet.replication`. The decisions are made in
//! `pumicebay-replication`; this module does the input and output.
//!
//! | file | purpose |
//! | --- | --- |
//! | `config.rs` | the section `fleet.replication`, parsed and checked |
//! | `handle.rs` | the handle of the actor, and the service states that follow from the orders |
//! | `actor.rs` | owns the replica, and drives it with the fleet's clock and the machine's |
//! | `links.rs` | links to peers and to commands |
//! | `disk.rs` | the replica's copy on disk |
//! | `command.rs` | `pumicebay fleet drain`, `undrain` and `orders` |

pub mod actor;
pub mod command;
pub mod config;
pub mod disk;
pub mod handle;
pub mod links;

use crate::bans::Maintenance;
use crate::fleet::local_process::LocalProcess;
use crate::fleet::replication::config::ReplicationConfig;
use crate::fleet::replication::handle::{Event, Handle, ServiceStates};
use std::sync::Arc;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;

/// What the actor is started with.
pub struct ActorContext {
    /// Passed to tasks that report to the actor.
    pub handle: Handle,
    /// The actor's event queue.
    pub events: mpsc::Receiver<Event>,
    /// Publishes the service states to the task that applies them.
    pub states_sender: watch::Sender<ServiceStates>,
    /// Receives orders from commands, so that they are handled like operators' calls at this proxy.
    pub maintenance: Maintenance,
}

/// Starts the replica of this process: it keeps links to peers, accepts links from them, and keeps its copy
/// on disk. Returns a future that must be polled for as long as the replica is to run.
pub fn start(
    me: &LocalProcess,
    config: Arc<ReplicationConfig>,
    context: ActorContext,
) -> impl Future<Output = ()> + use<> {
    let mut actors = JoinSet::new();
    let snapshot_sender = config.folder.clone().map(|folder| {
        let (sender, newest) = watch::channel(None);
        actors.spawn(disk::run(folder, newest, context.handle.clone()));
        sender
    });
    if let Some(address) = config.listen_address(&me.id.name) {
        let maintenance = context.maintenance.clone();
        actors.spawn(links::accept(me.clone(), config.clone(), context.handle.clone(), maintenance, address));
    }
    actors.spawn(actor::run(me.clone(), config, context, snapshot_sender));
    super::watch_actors(actors)
}
