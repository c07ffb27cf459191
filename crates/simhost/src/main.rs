//! Runs the decisions of many proxies for a simulator. Standard input carries batches of events as lines of
//! JSON; each batch is answered by a line on standard output with the resulting actions. The proxies share
//! one process but no state, except for the node lists.

mod instance;
mod wire;

use anyhow::{Context, Result, bail};
use instance::Instance;
use pumicebay_names::NANOS_PER_MICROSECOND;
use serde::Deserialize;
use serde_json::value::RawValue;
use std::collections::BTreeMap;
use std::io::{BufRead, Write};
use wire::{Fields, ListEntry};

/// A line of input.
#[derive(Deserialize)]
struct Batch<'a> {
    /// The simulated time of all events, in microseconds.
    #[serde(rename = "wall-us")]
    now_micros: u64,
    /// The batch's number, which the reply repeats.
    #[serde(rename = "n")]
    number: u64,
    /// The events: each a name followed by its values.
    #[serde(rename = "in", borrow)]
    events: Vec<Vec<&'a RawValue>>,
}

/// All proxies of the process, by their numbers, and the node lists.
#[derive(Default)]
struct Process {
    instances: BTreeMap<u64, Instance>,
    /// The node lists that `Topology` events refer to, by their numbers.
    node_lists: BTreeMap<u64, Vec<ListEntry>>,
}

fn main() {
    if let Err(error) = run() {
        eprintln!("pumicebay-simhost: {error:#}");
        std::process::exit(1);
    }
}

/// Answers batches until the end of standard input. Fails on the first batch or event that is invalid.
fn run() -> Result<()> {
    let (mut input, mut output) = (std::io::stdin().lock(), std::io::stdout().lock());
    let mut process = Process::default();
    let (mut line, mut reply) = (String::new(), String::new());
    let mut last_number = None;
    while input.read_line(&mut line).context("reading standard input")? > 0 {
        let position = || {
            last_number.map_or("the first batch".to_string(), |number| format!("the batch after {number}"))
        };
        let batch: Batch = serde_json::from_str(&line).with_context(|| format!("parsing {}", position()))?;
        reply.clear();
        reply.push_str("{\"n\":");
        reply.push_str(&batch.number.to_string());
        reply.push_str(",\"out\":[");
        for (index, event) in batch.events.iter().enumerate() {
            let result = process.handle(batch.now_micros * NANOS_PER_MICROSECOND, event, &mut reply);
            result.with_context(|| format!("batch {}, event {index}", batch.number))?;
        }
        if reply.ends_with(',') {
            reply.pop();
        }
        reply.push_str("]}\n");
        output.write_all(reply.as_bytes()).and_then(|()| output.flush()).context("writing the reply")?;
        last_number = Some(batch.number);
        line.clear();
    }
    Ok(())
}

impl Process {
    /// Passes one event to its proxy and appends the proxy's actions to the reply. Events with unknown names
    /// and events for unknown proxies are ignored.
    fn handle(&mut self, now: u64, event: &[&RawValue], reply: &mut String) -> Result<()> {
        let Some((name, values)) = event.split_first() else { bail!("the event has no name") };
        let name: &str = serde_json::from_str(name.get()).context("the event's name is not a string")?;
        let fields = Fields { name, values };
        match name {
            "List" => {
                self.node_lists.insert(fields.get(0)?, fields.get(1)?);
                return Ok(());
            }
            "Attach" => {
                self.instances.insert(fields.get(0)?, Instance::attach(now, &fields)?);
            }
            "Killed" => {
                self.instances.remove(&fields.get(0)?);
                return Ok(());
            }
            "Topology" | "Arrival" | "Ended" | "Dropped" | "TimeoutFired" | "ProbeDone" | "UnderWay" => {}
            _ => return Ok(()),
        }
        let Some(instance) = self.instances.get_mut(&fields.get(0)?) else { return Ok(()) };
        match name {
            "Topology" => instance.topology(now, &fields, &self.node_lists)?,
            "Arrival" => instance.request_arrived(now, &fields)?,
            "Ended" => instance.attempt_ended(now, &fields)?,
            "Dropped" => instance.request_cancelled(now, &fields)?,
            "TimeoutFired" => instance.timer_fired(now, &fields)?,
            "ProbeDone" => instance.probe_finished(now, &fields)?,
            "UnderWay" => instance.response_started(&fields)?,
            _ => {}
        }
        instance.take_actions(reply);
        Ok(())
    }
}
