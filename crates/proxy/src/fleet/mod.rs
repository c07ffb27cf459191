//! The fleet: links between proxies, the record that they agree on by quorum, and leases. Nothing here runs,
//! listens or allocates unless the configuration has a section `fleet`. The crate `pumicebay-accord` holds
//! the protocol logic without I/O; this module adds sockets, disks and timers.
//!
//! | file | content |
//! | --- | --- |
//! | `config.rs` | the section `fleet` of the configuration |
//! | `wire.rs` | frames, the hello and protocol versions |
//! | `checksummed_file.rs` | files with a checksum and a lock file, synced to disk |
//! | `store.rs` | the voter's file on disk |
//! | `local_process.rs` | the identity of this process and its clock |
//! | `drive.rs` | the event loop of actors that own a state machine |
//! | `voter_handle.rs` | the handle of the voter actor |
//! | `voter_actor.rs` | the actor that owns the `Voter` and its disk |
//! | `acceptor.rs` | accepts a limited number of connections |
//! | `inbound.rs` | incoming links of a voter |
//! | `outbound.rs` | links to the voters, with heartbeats and reconnects |
//! | `voter_client.rs` | submits operations to the voters |
//! | `probe_handle.rs` | the dispatcher's handle of the shared probes |
//! | `probes.rs` | one process per zone probes the nodes that are down |
//! | `lease.rs` | acquires and renews a lease |
//! | `carrier/` | distributes configuration changes and reports where they are in force |
//! | `replication/` | replicates maintenance orders within a group |
//! | `command_link.rs` | the link of a command to one process |
//! | `command.rs`, `run.rs` | the commands `pumicebay fleet ...` |

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

/// Starts the fleet's actors: links to the voters, and the voter itself if this process is a voter or spare.
/// Returns a client for the voters, and a future that must be polled while the actors are to run. No failure
/// here stops the proxy from serving: files and addresses that can't be opened are retried.
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

/// Logs each actor that ends or panics; the proxy keeps serving, as it does without a fleet. The actors are
/// aborted when this future is dropped. Never returns.
async fn watch_actors(mut actors: JoinSet<()>) {
    while let Some(result) = actors.join_next().await {
        match result {
            Ok(()) => tracing::error!("fleet: an actor ended; the proxy keeps serving"),
            Err(error) => tracing::error!("fleet: an actor failed: {error}; the proxy keeps serving"),
        }
    }
    std::future::pending().await
}

/// Starts links to the voters for an operator's command, which never votes.
pub fn start_command(local: &LocalProcess, actors: &mut JoinSet<()>) -> VoterClient {
    let (links, answers, _) = outbound::start(local, wire::Role::Command, None, actors);
    voter_client::start(local, links, answers, None, actors)
}
