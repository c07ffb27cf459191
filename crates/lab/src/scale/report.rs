//! What came of a play, in words and as a page.

use super::plan::{Fault, Plan};
use super::truth::{AIM, Wrong};
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt::Write;

/// A proxy's whole traffic for control must stay below this in every second.
pub const LIMIT: u64 = 8_192;

/// Of times in seconds: the middle one, that of 99 in 100, the longest, and how many.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Times {
    pub median: f64,
    pub most: f64,
    pub longest: f64,
    pub count: usize,
}

/// What the processes of one role send and receive.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Traffic {
    pub processes: usize,
    /// Means of one process: bytes a second of its frames, of headers, of beats with theirs, both ways.
    pub frames: f64,
    pub headers: f64,
    pub beats: f64,
    /// Messages a second both ways, without beats.
    pub messages: f64,
    /// The worst second of any one, with headers and beats; whose, and when.
    pub worst: u64,
    pub worst_of: String,
    pub worst_at: f64,
    /// Processes that were over the limit in some second.
    pub over: usize,
    /// Children at the end, the most of any one.
    pub children: usize,
}

/// The same bytes for the same plan and seed.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Found {
    pub seed: u64,
    pub proxies: usize,
    pub relays_per_site: usize,
    pub seconds: f64,
    pub changes: usize,
    /// From the offer, and from when it was settled, until it was in force everywhere; until the root's sum said so, from
    /// when it was settled.
    pub from_offer: Times,
    pub in_force: Times,
    pub told: Times,
    /// Changes that took longer than is aimed at, from the offer and from the settling.
    pub late: (usize, usize),
    /// Changes that were not in force everywhere at the end, and of which the root's sum did not say so.
    pub unfinished: (usize, usize),
    /// Offers that were turned away, and that got no answer.
    pub turned_away: usize,
    pub unanswered: usize,
    /// Calls to parents in the measured time, first ones after a start among them.
    pub calls: usize,
    /// Members and exceptions of the root's sum at the end.
    pub sum_at_end: (u32, u32),
    pub traffic: BTreeMap<String, Traffic>,
    /// From the loss of a parent until there is another; the most that came to one parent, of one death.
    pub orphans: Times,
    pub herd: usize,
    /// From being back, or started anew, until caught up.
    pub caught_up: Times,
    /// After the last fault was undone until all that can be reached had what was settled by then.
    pub converged: Option<f64>,
    pub refusals_named: usize,
    pub wrong: Wrong,
}

/// What this machine spent: another run gives other figures.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Cost {
    pub seed: u64,
    pub seconds: f64,
    pub events: u64,
    /// Processor time of the decisions alone, without sockets: in millionths of a core for one process, from a sample.
    pub decisions: BTreeMap<String, f64>,
    /// Bytes of what one process holds for its decisions, estimated from what it keeps; by role.
    pub memory: BTreeMap<String, f64>,
    pub resident: u64,
}

pub fn times(all: &mut [f64]) -> Times {
    all.sort_by(f64::total_cmp);
    let part = |part: f64| {
        let at = ((all.len() as f64 * part) as usize).min(all.len().saturating_sub(1));
        all.get(at).copied().unwrap_or(0.0)
    };
    Times { median: part(0.5), most: part(0.99), longest: part(1.0), count: all.len() }
}

impl Times {
    fn words(&self) -> String {
        if self.count == 0 {
            return "none".into();
        }
        format!(
            "{:.2} s, 99 in 100 {:.2}, longest {:.2} ({})",
            self.median, self.most, self.longest, self.count
        )
    }
}

impl Found {
    pub fn summary(&self) -> String {
        let relays = match self.relays_per_site {
            0 => "direct".into(),
            relays => format!("{relays} relays a site"),
        };
        let mut lines = format!(
            "seed {} (virtual, simulated): {} proxies, {relays}, {} s, {} changes\n  in force everywhere after: {} from the offer; {} \
             from the settling; by the root's sum {}\n  over {AIM} s: {} from the offer, {} from the settling; unfinished {}, untold {}; offers \
             turned away {}, unanswered {}\n",
            self.seed,
            self.proxies,
            self.seconds,
            self.changes,
            self.from_offer.words(),
            self.in_force.words(),
            self.told.words(),
            self.late.0,
            self.late.1,
            self.unfinished.0,
            self.unfinished.1,
            self.turned_away,
            self.unanswered,
        );
        for (role, traffic) in &self.traffic {
            let _ = writeln!(
                lines,
                "  {role} ({}): {:.0} B/s of frames, {:.0} of headers, {:.0} of beats, {:.1} messages a second; worst second {} B \
                 ({} at {:.1} s), {} over {LIMIT}; {} children at most",
                traffic.processes,
                traffic.frames,
                traffic.headers,
                traffic.beats,
                traffic.messages,
                traffic.worst,
                traffic.worst_of,
                traffic.worst_at,
                traffic.over,
                traffic.children,
            );
        }
        let converged = self.converged.map_or("no".into(), |converged| format!("after {converged:.2} s"));
        let _ = writeln!(
            lines,
            "  another parent after {}, {} to one at most; caught up after {}; converged {converged}; {} calls to parents; refusals named {}; the root's sum at the \
             end: {} members, {} exceptions",
            self.orphans.words(),
            self.herd,
            self.caught_up.words(),
            self.calls,
            self.refusals_named,
            self.sum_at_end.0,
            self.sum_at_end.1,
        );
        let wrong = &self.wrong;
        let _ = writeln!(
            lines,
            "  wrong: {} went back, {} claimed what was not in force, {} not converged",
            wrong.went_back, wrong.claimed, wrong.not_converged
        );
        wrong.words.iter().for_each(|words| lines += &format!("    WRONG: {words}\n"));
        lines
    }
}

impl Cost {
    pub fn summary(&self) -> String {
        let each = |all: &BTreeMap<String, f64>, unit: &str| {
            all.iter().map(|(role, value)| format!("{role} {value:.0} {unit}")).collect::<Vec<_>>().join(", ")
        };
        format!(
            "  cost, which no two runs share: {:.1} s, {} events, {} MB resident; decisions alone, without sockets: {}; state: {}\n",
            self.seconds,
            self.events,
            self.resident / 1_000_000,
            each(&self.decisions, "millionths of a core"),
            each(&self.memory, "B"),
        )
    }
}

pub fn page(plan: &Plan, played: &[(Found, Cost)]) -> String {
    let mut text = String::new();
    for (found, cost) in played {
        text += &found.summary();
        text += &cost.summary();
    }
    let faults: Vec<String> = plan.faults.iter().map(Fault::words).collect();
    format!(
        "<!doctype html><meta charset='utf-8'><title>scale</title><style>body{{font:13px sans-serif}}</style><h1>{} proxies, \
         {} control machines</h1><p>{}</p><p>Purges ({} a second) are not played.</p><pre>{}</pre><pre>{}</pre>\n",
        plan.proxies,
        plan.control,
        escape(&plan.about),
        plan.purges_per_second,
        escape(&faults.join("\n")),
        escape(&text)
    )
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;")
}
