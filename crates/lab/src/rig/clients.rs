//! Who reads and writes the record all the while: two askers of the rig's own, by links that no fault hits, which
//! write down what they were answered.

use super::history::Op;
use super::procs::Procs;
use super::witness::Witness;
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

const CLIENTS: usize = 2;
const PAUSE: Duration = Duration::from_millis(30);
const PATIENCE: Duration = Duration::from_millis(1500);
const VALUE: &str = "history";

#[derive(Default)]
struct Seen {
    operations: Vec<Op>,
    /// When the last write that was answered began.
    written: Option<Instant>,
}

pub struct Clients {
    seen: Arc<Mutex<Seen>>,
    tasks: JoinSet<()>,
    _actors: JoinSet<()>,
}

pub fn start(procs: &Procs, witness: &Witness) -> Result<Clients> {
    let (mut tasks, mut actors) = (JoinSet::new(), JoinSet::new());
    let seen = Arc::new(Mutex::new(Seen::default()));
    for number in 1..=CLIENTS {
        let (voters, spares) = procs.called();
        let section = json!({"fleet": {"name": "rig", "voters": voters, "spares": spares}});
        let config = FleetConfig::parse(&section, "")?.context("a section")?;
        let name = format!("client{number}");
        let asker = start_command(&LocalProcess::new(&name, config.into()), &mut actors);
        tasks.spawn(work(asker, name, witness.clone(), seen.clone()));
    }
    Ok(Clients { seen, tasks, _actors: actors })
}

impl Clients {
    /// Whether a write that began after this was answered.
    pub fn agreed_since(&self, since: Instant) -> bool {
        self.seen.lock().unwrap_or_else(PoisonError::into_inner).written.is_some_and(|at| at > since)
    }

    pub async fn stop(mut self) -> Vec<Op> {
        self.tasks.shutdown().await;
        std::mem::take(&mut self.seen.lock().unwrap_or_else(PoisonError::into_inner).operations)
    }
}

/// Reads, and writes over what it read, in turns.
async fn work(asker: VoterClient, who: String, witness: Witness, seen: Arc<Mutex<Seen>>) {
    for number in 0.. {
        let (mut began, mut text, mut over) = (Instant::now(), String::new(), 0);
        let record = |write: bool, began: Instant, text: &str, version: Option<u64>, over: u64| {
            let (begin, end) = (witness.at(began), witness.at(Instant::now()));
            let op = Op { who: who.clone(), write, begin, end, text: text.into(), version, over };
            let mut seen = seen.lock().unwrap_or_else(PoisonError::into_inner);
            if write && version.is_some() {
                seen.written = Some(began);
            }
            seen.operations.push(op);
        };
        match asker.submit(OperationKind::Read, PATIENCE).await {
            Reply::Record(read) => {
                if let Some(entry) = read.0.values.get(VALUE) {
                    (text, over) = (entry.text.clone(), entry.version);
                }
                record(false, began, &text, Some(over), 0);
            }
            _ => record(false, began, "", None, 0),
        }
        began = Instant::now();
        text = format!("{who}-{number}");
        let want = OperationKind::Put {
            name: VALUE.into(),
            text: text.clone(),
            expected_version: Some(over),
            fence: None,
        };
        match asker.submit(want, PATIENCE).await {
            Reply::Written(version) => record(true, began, &text, Some(version), over),
            // Another was quicker.
            Reply::Refused(_) => {}
            _ => record(true, began, &text, None, over),
        }
        sleep(PAUSE).await;
    }
}
