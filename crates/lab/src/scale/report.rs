//! What came of a play, in words and as a page.

use super::plan::{Fault, Plan};
use super::truth::{CONVERGENCE_TARGET, Violations};
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt::Write;

/// A proxy's whole traffic for control must stay below this in every second.
pub const PROXY_BYTE_LIMIT: u64 = 8_192;

/// Of times in seconds: the middle one, that of 99 in 100, the longest, and how many.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct TimeStats {
    pub median: f64,
    #[serde(rename = "most")]
    pub p99: f64,
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
    #[serde(rename = "beats")]
    pub heartbeats: f64,
    /// Messages a second both ways, without beats.
    pub messages: f64,
    /// The worst second of any one, with headers and beats; whose, and when.
    pub worst: u64,
    pub worst_of: String,
    pub worst_at: f64,
    /// Processes that were over the limit in some second.
    #[serde(rename = "over")]
    pub over_limit: usize,
    /// Children at the end, the most of any one.
    pub children: usize,
}

/// The same bytes for the same plan and seed.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Report {
    pub seed: u64,
    pub proxies: usize,
    pub relays_per_site: usize,
    pub seconds: f64,
    pub changes: usize,
    /// From the offer, and from when it was settled, until it was in force everywhere; until the root's sum said so, from
    /// when it was settled.
    pub from_offer: TimeStats,
    pub in_force: TimeStats,
    #[serde(rename = "told")]
    pub reported: TimeStats,
    /// Changes that took longer than is aimed at, from the offer and from the settling.
    pub late: (usize, usize),
    /// Changes that were not in force everywhere at the end, and of which the root's sum did not say so.
    pub unfinished: (usize, usize),
    /// Offers that were turned away, and that got no answer.
    #[serde(rename = "turned_away")]
    pub rejected: usize,
    pub unanswered: usize,
    /// Calls to parents in the measured time, first ones after a start among them.
    #[serde(rename = "calls")]
    pub parent_dials: usize,
    /// Members and exceptions of the root's sum at the end.
    #[serde(rename = "sum_at_end")]
    pub summary_at_end: (u32, u32),
    pub traffic: BTreeMap<String, Traffic>,
    /// From the loss of a parent until there is another; the most that came to one parent, of one death.
    #[serde(rename = "orphans")]
    pub reparenting: TimeStats,
    pub herd: usize,
    /// From being back, or started anew, until caught up.
    pub caught_up: TimeStats,
    /// After the last fault was undone until all that can be reached had what was settled by then.
    pub converged: Option<f64>,
    pub refusals_named: usize,
    #[serde(rename = "wrong")]
    pub violations: Violations,
}

/// What this machine spent: another run gives other figures.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct RunCost {
    pub seed: u64,
    pub seconds: f64,
    pub events: u64,
    /// Processor time of the decisions alone, without sockets: in millionths of a core for one process, from a sample.
    pub decisions: BTreeMap<String, f64>,
    /// Bytes of what one process holds for its decisions, estimated from what it keeps; by role.
    pub memory: BTreeMap<String, f64>,
    pub resident: u64,
}

pub fn time_stats(values: &mut [f64]) -> TimeStats {
    values.sort_by(f64::total_cmp);
    let quantile = |share: f64| {
        let index = ((values.len() as f64 * share) as usize).min(values.len().saturating_sub(1));
        values.get(index).copied().unwrap_or(0.0)
    };
    TimeStats { median: quantile(0.5), p99: quantile(0.99), longest: quantile(1.0), count: values.len() }
}

impl TimeStats {
    fn describe(&self) -> String {
        if self.count == 0 {
            return "none".into();
        }
        format!(
            "{:.2} s, 99 in 100 {:.2}, longest {:.2} ({})",
            self.median, self.p99, self.longest, self.count
        )
    }
}

impl Report {
    pub fn summary(&self) -> String {
        let relays = match self.relays_per_site {
            0 => "direct".into(),
            relays => format!("{relays} relays a site"),
        };
        let mut lines = format!(
            "seed {} (virtual, simulated): {} proxies, {relays}, {} s, {} changes\n  in force everywhere after: {} from the offer; {} \
             from the settling; by the root's sum {}\n  over {CONVERGENCE_TARGET} s: {} from the offer, {} from the settling; unfinished {}, untold {}; offers \
             turned away {}, unanswered {}\n",
            self.seed,
            self.proxies,
            self.seconds,
            self.changes,
            self.from_offer.describe(),
            self.in_force.describe(),
            self.reported.describe(),
            self.late.0,
            self.late.1,
            self.unfinished.0,
            self.unfinished.1,
            self.rejected,
            self.unanswered,
        );
        for (role, traffic) in &self.traffic {
            let _ = writeln!(
                lines,
                "  {role} ({}): {:.0} B/s of frames, {:.0} of headers, {:.0} of beats, {:.1} messages a second; worst second {} B \
                 ({} at {:.1} s), {} over {PROXY_BYTE_LIMIT}; {} children at most",
                traffic.processes,
                traffic.frames,
                traffic.headers,
                traffic.heartbeats,
                traffic.messages,
                traffic.worst,
                traffic.worst_of,
                traffic.worst_at,
                traffic.over_limit,
                traffic.children,
            );
        }
        let converged = self.converged.map_or("no".into(), |converged| format!("after {converged:.2} s"));
        let _ = writeln!(
            lines,
            "  another parent after {}, {} to one at most; caught up after {}; converged {converged}; {} calls to parents; refusals named {}; the root's sum at the \
             end: {} members, {} exceptions",
            self.reparenting.describe(),
            self.herd,
            self.caught_up.describe(),
            self.parent_dials,
            self.refusals_named,
            self.summary_at_end.0,
            self.summary_at_end.1,
        );
        let violations = &self.violations;
        let _ = writeln!(
            lines,
            "  wrong: {} went back, {} claimed what was not in force, {} not converged",
            violations.regressions, violations.false_claims, violations.not_converged
        );
        violations
            .descriptions
            .iter()
            .for_each(|description| lines += &format!("    WRONG: {description}\n"));
        lines
    }
}

impl RunCost {
    pub fn summary(&self) -> String {
        let per_role = |values: &BTreeMap<String, f64>, unit: &str| {
            values
                .iter()
                .map(|(role, value)| format!("{role} {value:.0} {unit}"))
                .collect::<Vec<_>>()
                .join(", ")
        };
        format!(
            "  cost, which no two runs share: {:.1} s, {} events, {} MB resident; decisions alone, without sockets: {}; state: {}\n",
            self.seconds,
            self.events,
            self.resident / 1_000_000,
            per_role(&self.decisions, "millionths of a core"),
            per_role(&self.memory, "B"),
        )
    }
}

pub fn html_page(plan: &Plan, runs: &[(Report, RunCost)]) -> String {
    let mut text = String::new();
    for (report, cost) in runs {
        text += &report.summary();
        text += &cost.summary();
    }
    let faults: Vec<String> = plan.faults.iter().map(Fault::describe).collect();
    format!(
        "<!doctype html><meta charset='utf-8'><title>scale</title><style>body{{font:13px sans-serif}}</style><h1>{} proxies, \
         {} control machines</h1><p>{}</p><p>Purges ({} a second) are not played.</p><pre>{}</pre><pre>{}</pre>\n",
        plan.proxies,
        plan.control_machines,
        escape(&plan.description),
        plan.purges_per_second,
        escape(&faults.join("\n")),
        escape(&text)
    )
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;")
}
