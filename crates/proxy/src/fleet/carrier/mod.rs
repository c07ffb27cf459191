//! The carrier of control: changes of configuration come by it, and what is in force is told back. Nothing here runs,
//! listens or allocates unless the configuration has a section `fleet.carrier`. The choices are those of
//! `pumicebay-carrier`; this folder carries them out.
//!
//! | file | job |
//! | --- | --- |
//! | `config.rs` | the section `fleet.carrier`, read and checked |
//! | `handle.rs` | the way to the actor |
//! | `actor.rs` | owns the node and the publisher, drives them with the fleet's clock |
//! | `links.rs` | children that call, the parent that is dialled, commands |
//! | `publish.rs` | the lease `carrier`, reads and writes of the record |
//! | `disk.rs` | the last good set on disk |
//! | `apply.rs` | lays what is carried over the file |
//! | `command.rs` | `pumicebay fleet set`, `unset`, `changes` |

pub mod actor;
pub mod apply;
pub mod command;
pub mod config;
pub mod disk;
pub mod handle;
pub mod links;
pub mod publish;

use crate::config::Config;
use crate::fleet::asker::Asker;
use crate::fleet::carrier::actor::{ActorContext, ConfigFreshness};
use crate::fleet::carrier::apply::{AppliedConfig, Applier};
use crate::fleet::carrier::config::CarrierConfig;
use crate::fleet::carrier::handle::Handle;
use crate::fleet::me::Me;
use pumicebay_carrier::{Location, Snapshot};
use std::sync::Arc;
use tokio::sync::{mpsc, watch};
use tokio::task::{JoinSet, spawn_blocking};

/// What was kept, if anything can be read, and that laid over the file.
pub async fn load_snapshot(file: &Config) -> (Option<Snapshot>, Option<AppliedConfig>) {
    let Some(fleet) = &file.fleet else { return (None, None) };
    let Some(carrier) = &fleet.carrier else { return (None, None) };
    let Some(folder) = carrier.folder.clone() else { return (None, None) };
    let snapshot = match spawn_blocking(move || disk::read(&folder)).await {
        Ok(Ok(Some(snapshot))) => snapshot,
        Ok(Ok(None)) => return (None, None),
        Ok(Err(error)) => {
            tracing::error!("carrier: what was kept is not used, starts from the file alone: {error:#}");
            return (None, None);
        }
        Err(error) => {
            tracing::error!("carrier: what was kept is not used, starts from the file alone: {error}");
            return (None, None);
        }
    };
    let location =
        Location { region: carrier.region.clone(), zone: fleet.zone.clone(), site: carrier.site.clone() };
    let resources = actor::relevant_resources(&file.name, location, &snapshot.resources);
    let applied = apply::apply_resources(file, &resources, &snapshot.last_good);
    let (version, used, all) = (snapshot.version, applied.accepted.len(), resources.len());
    tracing::info!("carrier: starts with version {version} as it was kept, {used} of {all} resources");
    for (scope, name, why) in &applied.refused {
        tracing::error!("carrier: {name} for {scope} is refused: {why}");
    }
    (Some(snapshot), Some(applied))
}

/// Takes its part: keeps a link to a parent, takes children if it is to, publishes if it is its turn, and tells how old what
/// it has is. Gives the way to it, and what has to run as long as it does.
pub fn start(
    me: &Me,
    config: Arc<CarrierConfig>,
    asker: Option<Asker>,
    applier: Applier,
    snapshot: Option<Snapshot>,
    freshness_sender: watch::Sender<ConfigFreshness>,
) -> (Handle, impl Future<Output = ()> + use<>) {
    let mut actors = JoinSet::new();
    let (handle, events) = handle::channel();
    let (release_lease, release_requests) = mpsc::channel(1);
    let snapshot_sender = config.folder.clone().map(|folder| {
        let (sender, newest) = watch::channel(None);
        actors.spawn(disk::run(folder, newest, handle.clone()));
        sender
    });
    if let Some(address) = config.listen_address(&me.who.name) {
        actors.spawn(links::accept(me.clone(), handle.clone(), address, config.max_children));
    }
    let asker = asker.filter(|_| config.role(&me.who.name) == config::TreeRole::Control);
    if let Some(asker) = asker.clone() {
        actors.spawn(publish::hold_lease(asker, handle.clone(), release_requests));
    }
    let context = ActorContext {
        handle: handle.clone(),
        applier,
        asker,
        snapshot_sender,
        release_lease,
        freshness_sender,
    };
    actors.spawn(actor::run(me.clone(), config, snapshot, context, events));
    (handle, super::watched(actors))
}
