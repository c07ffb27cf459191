//! What is played: how many processes, and which fault begins when. From a file, or drawn from a seed.

use super::of_disk;
use anyhow::{Context, Result, ensure};
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use serde::{Deserialize, Serialize};
use std::path::Path;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Links swallow all that is sent on them, both ways or one way.
    Drop,
    OneWay,
    /// Links are reset, and come up no more.
    Reset,
    Delay,
    Slow,
    /// Links are cut in the middle of a frame.
    Cut,
    /// One end is gone, and the other is not told.
    HalfOpen,
    Kill,
    /// SIGSTOP, and later SIGCONT.
    Stop,
    /// Killed, and back with its folder emptied, set back to an older copy, or its file spoilt.
    Empty,
    SetBack,
    Spoil,
    /// Its folder takes no writes.
    Full,
    /// A voter's seat goes to the spare that `to` names, by an operator's command; for good.
    Replace,
}

/// What is drawn; an exchange of voters is asked for by name alone.
pub const ALL: [Kind; 13] = [
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

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    pub kind: Kind,
    /// In seconds from the start, and how long it lasts.
    pub at: f64,
    #[serde(default = "two")]
    pub seconds: f64,
    /// The process that is hit; for links, whose.
    pub who: String,
    /// For links: only the one to this voter. For an exchange: who votes from then on.
    #[serde(default)]
    pub to: Option<String>,
}

fn two() -> f64 {
    2.0
}

/// Processes are `p1` and so on, of which the first vote; who wants leases is `a1` and so on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Plan {
    pub processes: usize,
    pub voters: usize,
    /// Those after the voters that may be given a voter's seat.
    pub spares: usize,
    /// How long nobody wants anything at first, for what links carry when idle.
    pub idle_seconds: f64,
    pub seconds: f64,
    pub leases: usize,
    /// Commands that want each lease at once.
    pub askers: usize,
    pub lease_seconds: f64,
    /// How long one act under a lease takes.
    pub act_ms: u64,
    /// The stated drift, and how far clocks really are off at the most, in millionths.
    pub drift_ppm: u64,
    pub clocks_ppm: i64,
    pub cautious: bool,
    /// Faults drawn from the seed, beside those that are written out.
    pub random: usize,
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
            askers: 2,
            lease_seconds: 1.2,
            act_ms: 80,
            drift_ppm: 50_000,
            clocks_ppm: 40_000,
            cautious: true,
            random: 0,
            faults: Vec::new(),
        }
    }
}

impl Plan {
    pub fn read(path: &Path) -> Result<Plan> {
        let text = std::fs::read_to_string(path).with_context(|| path.display().to_string())?;
        let plan: Plan = toml::from_str(&text).with_context(|| path.display().to_string())?;
        ensure!(
            plan.voters == 3 || plan.voters == 5,
            "voters: expected three or five, found {}",
            plan.voters
        );
        let may_vote = plan.voters + plan.spares;
        ensure!(plan.processes >= may_vote, "processes: expected {may_vote} or more");
        ensure!((1..=64).contains(&plan.leases), "leases: expected 1 to 64, found {}", plan.leases);
        ensure!(plan.lease_seconds >= 0.5, "lease_seconds: expected 0.5 or more");
        for fault in &plan.faults {
            let end = fault.at + fault.seconds;
            ensure!(end <= plan.seconds, "fault at {}: ends at {end}, after the play", fault.at);
            ensure!(plan.names().contains(&fault.who), "fault at {}: nobody is {:?}", fault.at, fault.who);
            let voter = plan.names()[..plan.voters].contains(&fault.who);
            let needs = of_disk(fault.kind) || fault.kind == Kind::Full;
            ensure!(voter || !needs, "fault at {}: {} has no voter's disk", fault.at, fault.who);
            if fault.kind == Kind::Replace {
                let spares = &plan.names()[plan.voters..may_vote];
                let spare = fault.to.as_ref().is_some_and(|to| spares.contains(to));
                ensure!(
                    voter && spare,
                    "fault at {}: an exchange wants a voter and, in to, a spare",
                    fault.at
                );
            }
        }
        Ok(plan)
    }

    /// All processes that can be hit.
    pub fn names(&self) -> Vec<String> {
        let askers = (1..=self.leases * self.askers).map(|number| format!("a{number}"));
        (1..=self.processes).map(|number| format!("p{number}")).chain(askers).collect()
    }

    /// With faults drawn from this seed. One disk of a voter is hit at the most: a second one before the first is taken in
    /// again is more than a record of three bears. A disk that is set back wants cautious voters, and these wait for a
    /// person where another voter starts meanwhile: beside it only links are hit.
    pub fn drawn(&self, seed: u64) -> Plan {
        let mut plan = self.clone();
        let mut random = SmallRng::seed_from_u64(seed);
        let names = plan.names();
        let mut disks = 0;
        for _ in 0..plan.random {
            let kind = *ALL.choose(&mut random).unwrap_or(&Kind::Kill);
            let last = plan.seconds - 3.0;
            let at: f64 = random.random_range(0.5..last.max(1.0));
            let seconds = random.random_range(0.3..(plan.seconds - at - 0.5).clamp(0.4, 3.0));
            let voter = of_disk(kind) || kind == Kind::Full;
            disks += usize::from(of_disk(kind));
            if of_disk(kind) && disks > 1 {
                continue;
            }
            let among = if voter { &names[..plan.voters] } else { &names[..] };
            let Some(who) = among.choose(&mut random).cloned() else { continue };
            let link = matches!(kind, Kind::Drop | Kind::OneWay | Kind::Reset | Kind::HalfOpen | Kind::Cut);
            let one = link && random.random_bool(0.5);
            let to = one.then(|| names[..plan.voters].choose(&mut random).cloned()).flatten();
            plan.faults.push(Fault { kind, at, seconds, who, to });
        }
        plan.cautious = plan.faults.iter().any(|fault| fault.kind == Kind::SetBack);
        if plan.cautious {
            let starts = |kind| matches!(kind, Kind::Kill | Kind::Full);
            plan.faults.retain(|fault| !starts(fault.kind));
        }
        plan
    }
}

impl Fault {
    pub fn words(&self) -> String {
        let to = self.to.as_ref().map_or(String::new(), |to| format!(" to {to}"));
        let kind = format!("{:?}", self.kind).to_lowercase();
        format!("{:.1} s {kind} {}{to} for {:.1} s", self.at, self.who, self.seconds)
    }
}
