//! Runs pumicebay's decisions on the simulator's wire: batches of events on standard input, one reply
//! a batch on standard output. Many proxies live in one process and share nothing but this code.

mod instance;
mod wire;

use anyhow::{Context, Result, bail};
use instance::Instance;
use pumicebay_names::NANOS_PER_MICROSECOND;
use serde::Deserialize;
use serde_json::value::RawValue;
use std::collections::BTreeMap;
use std::io::{BufRead, Write};
use wire::{Entry, Fields};

#[derive(Deserialize)]
struct Batch<'a> {
    #[serde(rename = "wall-us")]
    wall: u64,
    n: u64,
    #[serde(rename = "in", borrow)]
    events: Vec<Vec<&'a RawValue>>,
}

#[derive(Default)]
struct Process {
    instances: BTreeMap<u64, Instance>,
    /// The numbered lists of nodes that `Topology` refers to.
    banks: BTreeMap<u64, Vec<Entry>>,
}

fn main() {
    if let Err(error) = run() {
        eprintln!("pumicebay-simhost: {error:#}");
        std::process::exit(1);
    }
}

fn run() -> Result<()> {
    let (mut input, mut output) = (std::io::stdin().lock(), std::io::stdout().lock());
    let mut process = Process::default();
    let (mut line, mut reply) = (String::new(), String::new());
    let mut last = None;
    while input.read_line(&mut line).context("reading standard input")? > 0 {
        let after = || last.map_or("the first batch".to_string(), |n| format!("the batch after {n}"));
        let batch: Batch = serde_json::from_str(&line).with_context(|| format!("{} is no batch", after()))?;
        reply.clear();
        reply.push_str("{\"n\":");
        reply.push_str(&batch.n.to_string());
        reply.push_str(",\"out\":[");
        for (place, event) in batch.events.iter().enumerate() {
            let told = process.handle(batch.wall * NANOS_PER_MICROSECOND, event, &mut reply);
            told.with_context(|| format!("batch {}, event {place}", batch.n))?;
        }
        if reply.ends_with(',') {
            reply.pop();
        }
        reply.push_str("]}\n");
        output.write_all(reply.as_bytes()).and_then(|()| output.flush()).context("writing the reply")?;
        last = Some(batch.n);
        line.clear();
    }
    Ok(())
}

impl Process {
    /// Hands one event to its instance and moves that instance's actions to the reply.
    fn handle(&mut self, now: u64, event: &[&RawValue], reply: &mut String) -> Result<()> {
        let Some((name, rest)) = event.split_first() else { bail!("an event without a name") };
        let name: &str = serde_json::from_str(name.get()).context("an event's name is no text")?;
        let fields = Fields { name, values: rest };
        match name {
            "List" => {
                self.banks.insert(fields.get(0)?, fields.get(1)?);
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
            "Topology" => instance.topology(now, &fields, &self.banks)?,
            "Arrival" => instance.arrival(now, &fields)?,
            "Ended" => instance.end(now, &fields)?,
            "Dropped" => instance.dropped(now, &fields)?,
            "TimeoutFired" => instance.timeout(now, &fields)?,
            "ProbeDone" => instance.probe_done(now, &fields)?,
            "UnderWay" => instance.under_way(&fields)?,
            _ => {}
        }
        instance.take_actions(reply);
        Ok(())
    }
}
