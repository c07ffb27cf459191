//! A plan of a run: the size of the fleet, its leases and clocks, and its faults with their times, read from
//! a file or drawn from a seed.

use super::affects_disk;
use anyhow::{Context, Result, ensure};
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use serde::{Deserialize, Serialize};
use std::path::Path;

/// The kinds of fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Links discard all that is sent on them, in both directions.
    Drop,
    /// Links discard all that is sent in one direction, drawn at random.
    OneWay,
    /// Links are reset, and new connections are closed at once.
    Reset,
    /// Links deliver each chunk late.
    Delay,
    /// Links have a low bandwidth.
    Slow,
    /// Links are reset in the middle of a frame.
    Cut,
    /// The dialed end sees the link close; the dialing end does not.
    HalfOpen,
    /// The process is killed and started again when the fault ends.
    Kill,
    /// The process gets SIGSTOP, and SIGCONT when the fault ends.
    Stop,
    /// The process is killed and starts again with its folder removed.
    Empty,
    /// The process is killed and starts again with an older copy of its file.
    SetBack,
    /// The process is killed and starts again with its file truncated or one bit of it flipped.
    Spoil,
    /// The voter can't write its file.
    Full,
    /// An operator's command replaces the voter by the spare that `to` names, permanently.
    Replace,
}

/// The kinds that are drawn at random. `Replace` is not among them: a plan has to ask for it.
pub const RANDOM_KINDS: [Kind; 13] = [
    Kind::Drop,
    Kind::OneWay,
    Kind::Reset,
    Kind::Delay,
    Kind::Slow,
    Kind::Cut,
    Kind::HalfOpen,
    Kind::Kill,
    Kind::Stop,
    Kind::Empty,
    Kind::SetBack,
    Kind::Spoil,
    Kind::Full,
];

/// One fault of a plan.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    pub kind: Kind,
    /// When it begins, in seconds from the start.
    pub at: f64,
    /// How long it lasts, in seconds.
    #[serde(default = "two")]
    pub seconds: f64,
    /// The name of the affected process; for a fault of links, the process whose links are affected.
    pub who: String,
    /// For a fault of links: only the link to this voter is affected. For a replacement: the spare that
    /// becomes a voter.
    #[serde(default)]
    pub to: Option<String>,
}

/// The default duration of a fault, in seconds.
fn two() -> f64 {
    2.0
}

/// A plan. Proxies are named `p1` and so on, and the first of them are the voters; the commands that acquire
/// leases are named `a1` and so on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Plan {
    /// Number of proxies, with the voters and spares.
    pub processes: usize,
    /// Number of voters, 3 or 5.
    pub voters: usize,
    /// Number of proxies after the voters that may replace a voter.
    pub spares: usize,
    /// How long no process wants a lease at the beginning, to measure the traffic of idle links.
    pub idle_seconds: f64,
    /// Duration of the run, without the idle period and the recovery after it.
    pub seconds: f64,
    /// Number of leases.
    pub leases: usize,
    /// Number of commands that compete for each lease.
    #[serde(rename = "askers")]
    pub commands_per_lease: usize,
    /// Duration of a lease.
    pub lease_seconds: f64,
    /// Duration of one action under a lease.
    #[serde(rename = "act_ms")]
    pub action_ms: u64,
    /// The clock drift that the configuration states as a bound, in millionths.
    pub drift_ppm: u64,
    /// How far the simulated clocks are off at most, in millionths.
    #[serde(rename = "clocks_ppm")]
    pub max_clock_error_ppm: i64,
    /// Sets the voters' option `cautious`, under which a disk that is set back to an older copy does no harm.
    pub cautious: bool,
    /// Number of faults drawn from the seed, in addition to those in `faults`.
    #[serde(rename = "random")]
    pub random_faults: usize,
    #[serde(rename = "fault")]
    pub faults: Vec<Fault>,
}

impl Default for Plan {
    fn default() -> Plan {
        Plan {
            processes: 5,
            voters: 3,
            spares: 0,
            idle_seconds: 0.0,
            seconds: 12.0,
            leases: 2,
            commands_per_lease: 2,
            lease_seconds: 1.2,
            action_ms: 80,
            drift_ppm: 50_000,
            max_clock_error_ppm: 40_000,
            cautious: true,
            random_faults: 0,
            faults: Vec::new(),
        }
    }
}

impl Plan {
    /// Reads a plan in TOML. Returns an error where the file can't be read or parsed, or where a value makes
    /// no sense.
    pub fn read(path: &Path) -> Result<Plan> {
        let text = std::fs::read_to_string(path).with_context(|| path.display().to_string())?;
        let plan: Plan = toml::from_str(&text).with_context(|| path.display().to_string())?;
        ensure!(
            plan.voters == 3 || plan.voters == 5,
            "voters: expected three or five, found {}",
            plan.voters
        );
        let eligible = plan.voters + plan.spares;
        ensure!(plan.processes >= eligible, "processes: expected {eligible} or more");
        ensure!((1..=64).contains(&plan.leases), "leases: expected 1 to 64, found {}", plan.leases);
        ensure!(plan.lease_seconds >= 0.5, "lease_seconds: expected 0.5 or more");
        for fault in &plan.faults {
            let end = fault.at + fault.seconds;
            ensure!(end <= plan.seconds, "fault at {}: ends at {end}, after the run", fault.at);
            ensure!(
                plan.process_names().contains(&fault.who),
                "fault at {}: no process is named {:?}",
                fault.at,
                fault.who
            );
            let voter = plan.process_names()[..plan.voters].contains(&fault.who);
            let needs_disk = affects_disk(fault.kind) || fault.kind == Kind::Full;
            ensure!(
                voter || !needs_disk,
                "fault at {}: {} is not a voter and has no voter's disk",
                fault.at,
                fault.who
            );
            if fault.kind == Kind::Replace {
                let spares = &plan.process_names()[plan.voters..eligible];
                let spare = fault.to.as_ref().is_some_and(|to| spares.contains(to));
                ensure!(
                    voter && spare,
                    "fault at {}: replace needs a voter in who and a spare in to",
                    fault.at
                );
            }
        }
        Ok(plan)
    }

    /// The names of all processes that a fault can affect: proxies, then commands.
    pub fn process_names(&self) -> Vec<String> {
        let commands = (1..=self.leases * self.commands_per_lease).map(|number| format!("a{number}"));
        (1..=self.processes).map(|number| format!("p{number}")).chain(commands).collect()
    }

    /// The plan with faults drawn from this seed. At most one voter's disk is affected: a record of three
    /// voters does not survive a second damaged disk before the first voter has been readmitted. A disk that
    /// is set back needs cautious voters. These wait for an operator if another voter restarts meanwhile, so
    /// no process is then killed and no voter's disk is made full.
    pub fn with_random_faults(&self, seed: u64) -> Plan {
        let mut plan = self.clone();
        let mut rng = SmallRng::seed_from_u64(seed);
        let names = plan.process_names();
        let mut disk_faults = 0;
        for _ in 0..plan.random_faults {
            let kind = *RANDOM_KINDS.choose(&mut rng).unwrap_or(&Kind::Kill);
            let latest = plan.seconds - 3.0;
            let at: f64 = rng.random_range(0.5..latest.max(1.0));
            let seconds = rng.random_range(0.3..(plan.seconds - at - 0.5).clamp(0.4, 3.0));
            let needs_voter = affects_disk(kind) || kind == Kind::Full;
            disk_faults += usize::from(affects_disk(kind));
            if affects_disk(kind) && disk_faults > 1 {
                continue;
            }
            let candidates = if needs_voter { &names[..plan.voters] } else { &names[..] };
            let Some(who) = candidates.choose(&mut rng).cloned() else { continue };
            let link = matches!(kind, Kind::Drop | Kind::OneWay | Kind::Reset | Kind::HalfOpen | Kind::Cut);
            let one_link = link && rng.random_bool(0.5);
            let to = one_link.then(|| names[..plan.voters].choose(&mut rng).cloned()).flatten();
            plan.faults.push(Fault { kind, at, seconds, who, to });
        }
        plan.cautious = plan.faults.iter().any(|fault| fault.kind == Kind::SetBack);
        if plan.cautious {
            let restarts = |kind| matches!(kind, Kind::Kill | Kind::Full);
            plan.faults.retain(|fault| !restarts(fault.kind));
        }
        plan
    }
}

impl Fault {
    /// The fault as text, with its time, kind, process and duration.
    pub fn description(&self) -> String {
        let to = self.to.as_ref().map_or(String::new(), |to| format!(" to {to}"));
        let kind = format!("{:?}", self.kind).to_lowercase();
        format!("{:.1} s {kind} {}{to} for {:.1} s", self.at, self.who, self.seconds)
    }
}
