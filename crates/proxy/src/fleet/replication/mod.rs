//! Replication: orders of maintenance reach every proxy of the group. Nothing here runs, listens or allocates unless the
//! configuration has a section `fleet.replication`. The choices are those of `pumicebay-replication`; this folder carries
//! them out.
//!
//! | file | job |
//! | --- | --- |
//! | `config.rs` | the section `fleet.replication`, read and checked |
//! | `handle.rs` | the way to the actor, and what holds by the orders |
//! | `actor.rs` | owns the replica and drives it with both clocks |
//! | `links.rs` | peers that are dialled and that call, commands |
//! | `disk.rs` | the replica's copy on disk |
//! | `command.rs` | `pumicebay fleet drain`, `undrain`, `orders` |

pub mod actor;
pub mod command;
pub mod config;
pub mod disk;
pub mod handle;
pub mod links;

use crate::bans::Maintenance;
use crate::fleet::local_process::LocalProcess;
use crate::fleet::replication::config::ReplicationConfig;
use crate::fleet::replication::handle::{Event, Handle, Ordered};
use std::sync::Arc;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;

/// What the actor is started with.
pub struct Parts {
    pub handle: Handle,
    pub events: mpsc::Receiver<Event>,
    /// What holds by the orders, for whoever carries it out.
    pub tell: watch::Sender<Ordered>,
    /// Where commands' orders go, so that they take the way of all others.
    pub maintenance: Maintenance,
}

/// Takes its part: keeps links to peers, takes theirs, and keeps its copy on disk. Gives what has to run as long as it
/// does.
pub fn start(
    me: &LocalProcess,
    config: Arc<ReplicationConfig>,
    parts: Parts,
) -> impl Future<Output = ()> + use<> {
    let mut actors = JoinSet::new();
    let keep = config.folder.clone().map(|folder| {
        let (keep, newest) = watch::channel(None);
        actors.spawn(disk::run(folder, newest, parts.handle.clone()));
        keep
    });
    if let Some(at) = config.listens(&me.id.name) {
        let maintenance = parts.maintenance.clone();
        actors.spawn(links::accept(me.clone(), config.clone(), parts.handle.clone(), maintenance, at));
    }
    actors.spawn(actor::run(me.clone(), config, parts, keep));
    super::watch_actors(actors)
}
