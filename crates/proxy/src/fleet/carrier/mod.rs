//! The carrier: distributes configuration changes to all proxies of the fleet, and reports back what is in
//! force. Nothing here runs, listens or allocates unless the configuration has a section `fleet.carrier`. The
//! decisions are made in `pumicebay-carrier`; this module does the input and output.
//!
//! | file | purpose |
//! | --- | --- |
//! | `config.rs` | the section `fleet.carrier`, parsed and checked |
//! | `handle.rs` | the handle of the actor, and its events |
//! | `actor.rs` | owns the tree node and the publisher, and drives them with the fleet's clock |
//! | `links.rs` | links to children, to the parent and to commands |
//! | `publish.rs` | holds the lease `carrier`, reads and writes the record |
//! | `disk.rs` | the snapshot file with the last good resources |
//! | `apply.rs` | applies resources on top of the configuration file |
//! | `command.rs` | `pumicebay fleet set`, `unset` and `changes` |

pub mod actor;
pub mod apply;
pub mod command;
pub mod config;
pub mod disk;
pub mod handle;
pub mod links;
pub mod publish;

use crate::config::Config;
use crate::fleet::carrier::actor::{ActorContext, ConfigFreshness};
use crate::fleet::carrier::apply::{AppliedConfig, Applier};
use crate::fleet::carrier::config::CarrierConfig;
use crate::fleet::carrier::handle::Handle;
use crate::fleet::local_process::LocalProcess;
use crate::fleet::voter_client::VoterClient;
use pumicebay_carrier::{Location, Snapshot};
use std::sync::Arc;
use tokio::sync::{mpsc, watch};
use tokio::task::{JoinSet, spawn_blocking};

/// Loads the snapshot from the disk, and applies its resources on top of the configuration file. Both are
/// `None` if there is no readable snapshot.
pub async fn load_snapshot(file: &Config) -> (Option<Snapshot>, Option<AppliedConfig>) {
    let Some(fleet) = &file.fleet else { return (None, None) };
    let Some(carrier) = &fleet.carrier else { return (None, None) };
    let Some(folder) = carrier.folder.clone() else { return (None, None) };
    let snapshot = match spawn_blocking(move || disk::read(&folder)).await {
        Ok(Ok(Some(snapshot))) => snapshot,
        Ok(Ok(None)) => return (None, None),
        Ok(Err(error)) => {
            tracing::error!(
                "carrier: the snapshot is not used, starting with the configuration file alone: {error:#}"
            );
            return (None, None);
        }
        Err(error) => {
            tracing::error!(
                "carrier: the snapshot is not used, starting with the configuration file alone: {error}"
            );
            return (None, None);
        }
    };
    let location =
        Location { region: carrier.region.clone(), zone: fleet.zone.clone(), site: carrier.site.clone() };
    let resources = actor::relevant_resources(&file.name, location, &snapshot.resources);
    let applied = apply::apply_resources(file, &resources, &snapshot.last_good);
    let (version, used, all) = (snapshot.version, applied.accepted.len(), resources.len());
    tracing::info!("carrier: starts with version {version} of the snapshot, {used} of {all} resources");
    for (scope, name, why) in &applied.refused {
        tracing::error!("carrier: resource {name} for {scope} is refused: {why}");
    }
    (Some(snapshot), Some(applied))
}

/// Starts the carrier of this process: it keeps a link to a parent, accepts children if its role has them,
/// publishes while it holds the lease, and reports the age of its configuration. Returns the handle, and a
/// future that must be polled for as long as the carrier is to run.
pub fn start(
    me: &LocalProcess,
    config: Arc<CarrierConfig>,
    voter_client: Option<VoterClient>,
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
    if let Some(address) = config.listen_address(&me.id.name) {
        actors.spawn(links::accept(me.clone(), handle.clone(), address, config.max_children));
    }
    let voter_client = voter_client.filter(|_| config.role(&me.id.name) == config::TreeRole::Control);
    if let Some(voter_client) = voter_client.clone() {
        actors.spawn(publish::hold_lease(voter_client, handle.clone(), release_requests));
    }
    let context = ActorContext {
        handle: handle.clone(),
        applier,
        voter_client,
        snapshot_sender,
        release_lease,
        freshness_sender,
    };
    actors.spawn(actor::run(me.clone(), config, snapshot, context, events));
    (handle, super::watch_actors(actors))
}
