//! The clients that read and write the record during a run. They connect to the voters directly, without the
//! relays that inject faults, and record each operation with its answer for
//! [`history::check`](super::history::check).

use super::history::Operation;
use super::processes::FleetProcesses;
use super::recorder::Recorder;
use anyhow::{Context, Result};
use pumicebay::fleet::config::FleetConfig;
use pumicebay::fleet::local_process::LocalProcess;
use pumicebay::fleet::start_command;
use pumicebay::fleet::voter_client::VoterClient;
use pumicebay_accord::{OperationKind, Reply};
use serde_json::json;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

const CLIENT_COUNT: usize = 2;
/// Between two operations of one client.
const OPERATION_PAUSE: Duration = Duration::from_millis(30);
/// How long a client waits for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1500);
/// Name of the value in the record that the clients read and write.
const VALUE_NAME: &str = "history";

/// What all clients have recorded.
#[derive(Default)]
struct ClientLog {
    operations: Vec<Operation>,
    /// When the most recently answered write began.
    last_write_began: Option<Instant>,
}

/// The running clients; they stop when this is dropped.
pub struct Clients {
    log: Arc<Mutex<ClientLog>>,
    tasks: JoinSet<()>,
    _actors: JoinSet<()>,
}

/// Starts the clients. Returns an error if the configuration for them is not valid.
pub fn start(processes: &FleetProcesses, recorder: &Recorder) -> Result<Clients> {
    let (mut tasks, mut actors) = (JoinSet::new(), JoinSet::new());
    let log = Arc::new(Mutex::new(ClientLog::default()));
    for number in 1..=CLIENT_COUNT {
        let (voters, spares) = processes.direct_addresses();
        let section = json!({"fleet": {"name": "rig", "voters": voters, "spares": spares}});
        let config =
            FleetConfig::parse(&section, "")?.context("the configuration has no section \"fleet\"")?;
        let name = format!("client{number}");
        let voter_client = start_command(&LocalProcess::new(&name, config.into()), &mut actors);
        tasks.spawn(run_client(voter_client, name, recorder.clone(), log.clone()));
    }
    Ok(Clients { log, tasks, _actors: actors })
}

impl Clients {
    /// Whether a write that began after this instant was answered.
    pub fn wrote_since(&self, since: Instant) -> bool {
        self.log.lock().unwrap_or_else(PoisonError::into_inner).last_write_began.is_some_and(|at| at > since)
    }

    /// Stops the clients and returns the operations that they recorded.
    pub async fn stop(mut self) -> Vec<Operation> {
        self.tasks.shutdown().await;
        std::mem::take(&mut self.log.lock().unwrap_or_else(PoisonError::into_inner).operations)
    }
}

/// Reads the value and then writes a new one that replaces the version it read, again and again.
async fn run_client(
    voter_client: VoterClient,
    client: String,
    recorder: Recorder,
    log: Arc<Mutex<ClientLog>>,
) {
    for number in 0.. {
        let (mut began, mut value, mut expected_version) = (Instant::now(), String::new(), 0);
        let append =
            |write: bool, began: Instant, value: &str, version: Option<u64>, expected_version: u64| {
                let (begin, end) = (recorder.seconds_at(began), recorder.seconds_at(Instant::now()));
                let operation = Operation {
                    client: client.clone(),
                    write,
                    begin,
                    end,
                    value: value.into(),
                    version,
                    expected_version,
                };
                let mut log = log.lock().unwrap_or_else(PoisonError::into_inner);
                if write && version.is_some() {
                    log.last_write_began = Some(began);
                }
                log.operations.push(operation);
            };
        match voter_client.submit(OperationKind::Read, ANSWER_TIMEOUT).await {
            Reply::Record(record) => {
                if let Some(entry) = record.0.values.get(VALUE_NAME) {
                    (value, expected_version) = (entry.text.clone(), entry.version);
                }
                append(false, began, &value, Some(expected_version), 0);
            }
            _ => append(false, began, "", None, 0),
        }
        began = Instant::now();
        value = format!("{client}-{number}");
        let operation = OperationKind::Put {
            name: VALUE_NAME.into(),
            text: value.clone(),
            expected_version: Some(expected_version),
            fence: None,
        };
        match voter_client.submit(operation, ANSWER_TIMEOUT).await {
            Reply::Written(version) => append(true, began, &value, Some(version), expected_version),
            // Another client wrote first, so the version that was read is no longer current.
            Reply::Refused(_) => {}
            _ => append(true, began, &value, None, expected_version),
        }
        sleep(OPERATION_PAUSE).await;
    }
}
