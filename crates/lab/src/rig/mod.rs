//! The rig: several processes of the program on loopback as one fleet, each directed link between two of them through a
//! relay, faults by timeline and by seed, and a witness outside them that judges by one clock.
//!
//! | file | job |
//! | --- | --- |
//! | `plan.rs` | what is played: a file, or faults drawn from a seed |
//! | `relay.rs` | a link that drops, delays, cuts |
//! | `procs.rs` | the processes and their folders |
//! | `witness.rs` | acts under leases as they really were |
//! | `history.rs` | whether all reads and writes of the record fit one order |
//! | `clients.rs` | who reads and writes the record all the while |
//! | `virt.rs` | the same decisions in virtual time, for large fleets |
//! | `report.rs` | who held what when, and the faults |
//!
//! A fault that hits links or processes is undone after its time; then the fleet has to come back by itself.

pub mod clients;
pub mod history;
pub mod plan;
pub mod procs;
pub mod relay;
pub mod report;
pub mod virt;
pub mod witness;

use anyhow::{Context, Result, bail};
use plan::{Fault, Kind, Plan};
use procs::Procs;
use serde::Serialize;
use std::path::PathBuf;
use std::time::Duration;
use tokio::time::{Instant, sleep, sleep_until};
use witness::{Act, Witness};

/// After the last fault all has to work again within this time.
const BACK: Duration = Duration::from_secs(15);

/// What came of a play.
#[derive(Debug, Serialize)]
pub struct Outcome {
    pub seed: u64,
    pub plan: Plan,
    pub acts: Vec<Act>,
    /// Acts begun under a token that was not the newest, which the witness turned away.
    pub turned_away: usize,
    pub reads: usize,
    pub writes: usize,
    /// Reads and writes that no majority answered in time.
    pub unanswered: usize,
    /// From when a holder's last act under a token ended to the next one's first, the longest, in seconds.
    pub longest_gap: f64,
    /// How long a write took until it was settled and answered, the middle one and the longest of a hundred, in
    /// milliseconds.
    pub settle_ms: (f64, f64),
    /// What passed over all links between processes, the clients' left out, a second.
    pub bytes_per_second: f64,
    pub frames_per_second: f64,
    /// The same while nobody wanted anything, where the plan has such a time.
    pub idle: Option<(f64, f64)>,
    /// Calls at an operators' door under a lease that were taken, and those under a lower token refused there.
    pub doors: (usize, usize),
    /// How long the fleet took to come back after the last fault was undone, in seconds.
    pub back: Option<f64>,
    /// Two acts at once where clocks were off by more than is stated.
    pub overlaps: Vec<String>,
    /// Broken rules, the shortest account of each.
    pub wrong: Vec<String>,
    /// The last lines of each process's log, where something went wrong.
    pub logs: Vec<String>,
}

/// The programs of a play: the proxy, and the lab, which is what acts under leases.
#[derive(Clone, Debug)]
pub struct Programs {
    pub proxy: PathBuf,
    pub lab: PathBuf,
}

pub fn play(plan: &Plan, seed: u64, programs: &Programs) -> Result<Outcome> {
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(4).enable_all().build()?;
    let outcome = runtime.block_on(run(plan, seed, programs.clone()));
    runtime.shutdown_timeout(Duration::from_secs(1));
    outcome
}

/// `act WITNESS WHO MILLIS [DOOR]`: acts under the lease that its surroundings name.
pub fn act(words: &[String]) -> Result<bool> {
    let [address, who, millis, door @ ..] = words else { bail!("act WITNESS WHO MILLIS [DOOR]") };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(witness::act(address, who, millis.parse()?, door.first().map(String::as_str)))
}

async fn run(plan: &Plan, seed: u64, programs: Programs) -> Result<Outcome> {
    let witness = Witness::listen().await?;
    let mut procs = Procs::start(plan, seed, programs, &witness).await?;
    let start = witness.start();
    let second = |seconds: f64| start + Duration::from_secs_f64(seconds);
    let clients = clients::start(&procs, &witness)?;
    // What begins and what ends, in the order of their times.
    let mut steps: Vec<(f64, bool, &Fault)> = plan
        .faults
        .iter()
        .flat_map(|fault| [(fault.at, true, fault), (fault.at + fault.seconds, false, fault)])
        .collect();
    steps.sort_by(|one, two| one.0.total_cmp(&two.0));
    for (at, begins, fault) in steps {
        procs.look_after_until(second(at)).await?;
        let done = if begins { procs.begin(fault).await } else { procs.end(fault).await };
        done.with_context(|| format!("{fault:?}"))?;
    }
    procs.look_after_until(second(plan.seconds)).await?;
    // All is undone: the fleet has to agree again, and every lease has to be held by somebody.
    let healed = Instant::now();
    let mut back = None;
    while healed.elapsed() < BACK && back.is_none() {
        let acts = witness.acts();
        let since = witness.at(healed);
        let held = (0..plan.leases)
            .all(|lease| acts.iter().any(|act| act.lease == format!("lease{lease}") && act.begin > since));
        if held && clients.agreed_since(healed) {
            back = Some(healed.elapsed().as_secs_f64());
        }
        procs.look_after_until(Instant::now() + Duration::from_millis(50)).await?;
    }
    let operations = clients.stop().await;
    let ((bytes, frames), over) = (procs.carried(), start.elapsed().as_secs_f64());
    let notes = procs.stop().await;
    sleep(Duration::from_millis(100)).await;
    let acts = witness.acts();
    let (mut overlaps, mut wrong) = witness::judge(&acts);
    // Nothing is promised against clocks that are off by more than is stated but that tokens tell who came later.
    if plan.clocks_ppm.unsigned_abs() <= plan.drift_ppm {
        wrong.append(&mut overlaps);
    }
    wrong.extend(history::judge(&operations));
    wrong.extend(notes);
    let (doors, door_wrong) = witness.doors();
    wrong.extend(door_wrong);
    if back.is_none() {
        wrong.push(format!("not back {} s after the last fault was undone", BACK.as_secs()));
    }
    let logs = if wrong.is_empty() { Vec::new() } else { procs.logs() };
    let count = |what: &dyn Fn(&history::Op) -> bool| operations.iter().filter(|op| what(op)).count();
    Ok(Outcome {
        seed,
        plan: plan.clone(),
        turned_away: witness.turned_away(),
        reads: count(&|op| op.version.is_some() && !op.write),
        writes: count(&|op| op.version.is_some() && op.write),
        unanswered: count(&|op| op.version.is_none()),
        longest_gap: witness::longest_gap(&acts),
        acts,
        settle_ms: settle(&operations),
        bytes_per_second: bytes as f64 / over,
        frames_per_second: frames as f64 / over,
        idle: procs.idle,
        doors,
        back,
        overlaps,
        wrong,
        logs,
    })
}

impl Outcome {
    pub fn summary(&self) -> String {
        let faults: Vec<String> = self.plan.faults.iter().map(Fault::words).collect();
        let back = self.back.map_or("not back".into(), |back| format!("back after {back:.1} s"));
        let idle = self.idle.map_or(String::new(), |(bytes, frames)| {
            format!(" (idle {:.1} KB and {frames:.0})", bytes / 1e3)
        });
        let mut lines = format!(
            "seed {}: {} processes, {} acts, {} turned away by token, {} reads, {} writes, {} unanswered, longest gap \
             {:.1} s, settled in {:.1} ms, 99 in 100 in {:.1}, links {:.1} KB and {:.0} frames a second{idle}, doors took {} and refused {}, {back}\n  \
             faults: {}\n",
            self.seed,
            self.plan.processes,
            self.acts.len(),
            self.turned_away,
            self.reads,
            self.writes,
            self.unanswered,
            self.longest_gap,
            self.settle_ms.0,
            self.settle_ms.1,
            self.bytes_per_second / 1e3,
            self.frames_per_second,
            self.doors.0,
            self.doors.1,
            faults.join("; "),
        );
        for overlap in &self.overlaps {
            lines += &format!("  clocks past the stated drift: {overlap}\n");
        }
        for wrong in &self.wrong {
            lines += &format!("  WRONG: {wrong}\n");
        }
        lines
    }
}

fn settle(operations: &[history::Op]) -> (f64, f64) {
    let answered = operations.iter().filter(|op| op.write && op.version.is_some());
    let mut times: Vec<f64> = answered.map(|op| (op.end - op.begin) * 1e3).collect();
    times.sort_by(f64::total_cmp);
    let part = |part: f64| times.get((times.len() as f64 * part) as usize).copied().unwrap_or(f64::NAN);
    (part(0.5), part(0.99))
}

/// Whether a fault hits the disk of a voter.
fn of_disk(kind: Kind) -> bool {
    matches!(kind, Kind::Empty | Kind::SetBack | Kind::Spoil)
}

/// Sleeps, but not past what is wanted.
async fn pause(until: Instant, longest: Duration) {
    sleep_until(until.min(Instant::now() + longest)).await;
}
