//! The fleet: links between processes of the program, the record that they agree on, and leases. Nothing here runs, listens
//! or allocates unless the configuration has a section `fleet`. The choices are those of `pumicebay-accord`; this folder
//! carries them out.
//!
//! | file | job |
//! | --- | --- |
//! | `config.rs` | the section `fleet`, read and checked |
//! | `wire.rs` | frames, the hello, which versions understand each other |
//! | `checksummed_file.rs` | files of the program's own: synced, with a checksum and a lock |
//! | `store.rs` | a voter's disk |
//! | `local_process.rs` | who a process is to the others, and its clock |
//! | `drive.rs` | runs an actor that owns a state machine |
//! | `voter_handle.rs` | the way to the voter for all other files |
//! | `voter_actor.rs` | the voter: an actor that owns the `Voter` and its disk |
//! | `acceptor.rs` | takes links, with room for so many |
//! | `inbound.rs` | who calls a voter |
//! | `outbound.rs` | the links that a process keeps to the voters; beats, reconnects |
//! | `voter_client.rs` | asks voters until one answers |
//! | `probe_handle.rs` | the module's way to have nodes probed |
//! | `probes.rs` | one process probes a node that is down for all of its zone |
//! | `lease.rs` | one lease held for as long as it is wanted |
//! | `carrier/` | changes of configuration to all processes, and back what is in force |
//! | `replication/` | orders of maintenance to all processes of a group |
//! | `command_link.rs` | a command's link to one process |
//! | `command.rs`, `run.rs` | `pumicebay fleet ...` |

pub mod acceptor;
pub mod carrier;
pub mod checksummed_file;
pub mod command;
pub mod command_link;
pub mod config;
pub mod drive;
pub mod inbound;
pub mod lease;
pub mod local_process;
pub mod outbound;
pub mod probe_handle;
pub mod probes;
pub mod replication;
pub mod run;
pub mod store;
pub mod voter_actor;
pub mod voter_client;
pub mod voter_handle;
pub mod wire;

use crate::control::ControlHandle;
use crate::fleet::local_process::LocalProcess;
use crate::fleet::voter_client::VoterClient;
use tokio::task::JoinSet;

/// Takes its part in the fleet: votes if it is to, and keeps links to the voters. Gives the way to ask them, and what has
/// to run as long as it does. Nothing that fails here keeps a proxy from serving: what can't be opened is tried again.
pub fn start(
    local: &LocalProcess,
    control: ControlHandle,
    probes: probe_handle::ProbeMailbox,
) -> (VoterClient, impl Future<Output = ()> + use<>) {
    let mut actors = JoinSet::new();
    let (voter, mailbox) = voter_handle::channel();
    let listen_address = local.config.listen_address(&local.id.name);
    let own_voter = listen_address.map(|_| voter);
    let (links, answers, probe_frames) =
        outbound::start(local, wire::Role::Proxy, own_voter.as_ref(), &mut actors);
    if let (Some(address), Some(voter)) = (listen_address, own_voter.clone()) {
        actors.spawn(inbound::accept(local.clone(), voter, address));
        actors.spawn(voter_actor::run(local.clone(), links.clone(), mailbox));
    }
    let voters = voter_client::start(local, links.clone(), answers, own_voter.clone(), &mut actors);
    actors.spawn(probes::run(voters.clone(), links, own_voter, control, probes, probe_frames));
    (voters, watch_actors(actors))
}

/// The fleet's actors are a set of their own: one that ends, or panics, is reported, and the proxy serves on, as it does
/// where the whole fleet is gone. They end with this future.
async fn watch_actors(mut actors: JoinSet<()>) {
    while let Some(result) = actors.join_next().await {
        match result {
            Ok(()) => tracing::error!("fleet: a part of it has ended; serving goes on"),
            Err(error) => tracing::error!("fleet: a part of it has ended: {error}; serving goes on"),
        }
    }
    std::future::pending().await
}

/// Links for a command, which votes nowhere.
pub fn start_command(local: &LocalProcess, actors: &mut JoinSet<()>) -> VoterClient {
    let (links, answers, _) = outbound::start(local, wire::Role::Command, None, actors);
    voter_client::start(local, links, answers, None, actors)
}
