//! The carrier of control: changes of configuration come by it, and what is in force is told back. Nothing here runs,
//! listens or allocates unless the configuration has a section `fleet.carrier`. The choices are those of
//! `pumicebay-carrier`; this folder carries them out.
//!
//! | file | job |
//! | --- | --- |
//! | `config.rs` | the section `fleet.carrier`, read and checked |
//! | `door.rs` | the way to the actor |
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
pub mod door;
pub mod links;
pub mod publish;

use crate::config::Config;
use crate::fleet::carrier::actor::{Told, Ways};
use crate::fleet::carrier::apply::{Laid, Layer};
use crate::fleet::carrier::config::CarrierConfig;
use crate::fleet::carrier::door::Door;
use crate::fleet::local_process::LocalProcess;
use crate::fleet::voter_client::VoterClient;
use pumicebay_carrier::{Location, Snapshot};
use std::sync::Arc;
use tokio::sync::{mpsc, watch};
use tokio::task::{JoinSet, spawn_blocking};

/// What was kept, if anything can be read, and that laid over the file.
pub async fn kept(file: &Config) -> (Option<Snapshot>, Option<Laid>) {
    let Some(fleet) = &file.fleet else { return (None, None) };
    let Some(carrier) = &fleet.carrier else { return (None, None) };
    let Some(folder) = carrier.folder.clone() else { return (None, None) };
    let kept = match spawn_blocking(move || disk::read(&folder)).await {
        Ok(Ok(Some(kept))) => kept,
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
    let place =
        Location { region: carrier.region.clone(), zone: fleet.zone.clone(), site: carrier.site.clone() };
    let resources = actor::concerning(&file.name, place, &kept.resources);
    let laid = apply::lay(file, &resources, &kept.last_good);
    let (version, used, of) = (kept.version, laid.good.len(), resources.len());
    tracing::info!("carrier: starts with version {version} as it was kept, {used} of {of} resources");
    for (scope, name, why) in &laid.refused {
        tracing::error!("carrier: {name} for {scope} is refused: {why}");
    }
    (Some(kept), Some(laid))
}

/// Takes its part: keeps a link to a parent, takes children if it is to, publishes if it is its turn, and tells how old what
/// it has is. Gives the way to it, and what has to run as long as it does.
pub fn start(
    me: &LocalProcess,
    config: Arc<CarrierConfig>,
    asker: Option<VoterClient>,
    layer: Layer,
    kept: Option<Snapshot>,
    tell: watch::Sender<Told>,
) -> (Door, impl Future<Output = ()> + use<>) {
    let mut actors = JoinSet::new();
    let (door, events) = door::door();
    let (give_back, given) = mpsc::channel(1);
    let keep = config.folder.clone().map(|folder| {
        let (keep, newest) = watch::channel(None);
        actors.spawn(disk::run(folder, newest, door.clone()));
        keep
    });
    if let Some(at) = config.listens(&me.id.name) {
        actors.spawn(links::accept(me.clone(), door.clone(), at, config.children));
    }
    let asker = asker.filter(|_| config.part(&me.id.name) == config::Part::Control);
    if let Some(asker) = asker.clone() {
        actors.spawn(publish::want(asker, door.clone(), given));
    }
    let ways = Ways { door: door.clone(), layer, asker, keep, give_back, tell };
    actors.spawn(actor::run(me.clone(), config, kept, ways, events));
    (door, super::watch_actors(actors))
}
