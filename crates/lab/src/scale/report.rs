//! Report of a simulation: fields for JSON, a text summary, and an HTML page.

use super::plan::{Fault, Plan};
use super::truth::{CONVERGENCE_TARGET, Violations};
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt::Write;

/// Limit on the control traffic of a proxy in any second, in bytes, both directions.
pub const PROXY_BYTE_LIMIT: u64 = 8_192;

/// Distribution of durations, in seconds: median, 99th percentile (99 in 100), maximum, and count.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct TimeStats {
    /// 50th percentile.
    pub median: f64,
    /// 99th percentile.
    #[serde(rename = "most")]
    pub p99: f64,
    /// Maximum.
    pub longest: f64,
    /// Number of durations.
    pub count: usize,
}

/// Traffic of the processes of one role.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Traffic {
    /// Number of processes.
    pub processes: usize,
    /// Mean bytes a second of the frames of one process, both directions.
    pub frames: f64,
    /// Mean bytes a second of the TCP/IP headers of these frames.
    pub headers: f64,
    /// Mean bytes a second of heartbeats with their headers.
    #[serde(rename = "beats")]
    pub heartbeats: f64,
    /// Mean messages a second, both directions, without heartbeats.
    pub messages: f64,
    /// Bytes of the peak second of any process, with headers and heartbeats.
    pub worst: u64,
    /// Name of that process.
    pub worst_of: String,
    /// End of that second, in seconds from the start of the measured time.
    pub worst_at: f64,
    /// Number of processes that exceeded `PROXY_BYTE_LIMIT` in some second.
    #[serde(rename = "over")]
    pub over_limit: usize,
    /// Largest number of children of one process at the end.
    pub children: usize,
}

/// Results of a simulation. Deterministic: the same plan and seed give the same bytes of JSON.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Report {
    /// Seed of the run.
    pub seed: u64,
    /// Number of proxies of the plan.
    pub proxies: usize,
    /// Number of relays at each site.
    pub relays_per_site: usize,
    /// Measured time.
    pub seconds: f64,
    /// Number of settled changes in the measured time.
    pub changes: usize,
    /// Time from the first proposal of a change until it was in force at all reachable processes in its
    /// scope.
    pub from_offer: TimeStats,
    /// The same from when the change settled, that is, was committed.
    pub in_force: TimeStats,
    /// Time from when a change settled until the summary of the root reported it in force.
    #[serde(rename = "told")]
    pub reported: TimeStats,
    /// Changes that exceeded `CONVERGENCE_TARGET`, measured from the proposal and from when they settled.
    pub late: (usize, usize),
    /// Changes that were not in force everywhere at the end, and changes that the summary of the root did not
    /// report.
    pub unfinished: (usize, usize),
    /// Proposals that the publisher refused.
    #[serde(rename = "turned_away")]
    pub rejected: usize,
    /// Proposals that got no answer.
    pub unanswered: usize,
    /// Connection attempts to parents in the measured time, with the first ones after a start.
    #[serde(rename = "calls")]
    pub parent_dials: usize,
    /// Members and exceptions in the summary of the root at the end.
    #[serde(rename = "sum_at_end")]
    pub summary_at_end: (u32, u32),
    /// Traffic by role.
    pub traffic: BTreeMap<String, Traffic>,
    /// Time from the failure of a parent until its child is connected to another one.
    #[serde(rename = "orphans")]
    pub reparenting: TimeStats,
    /// Largest number of children that moved to the same parent after one failure.
    pub herd: usize,
    /// Time from being reachable again, or from a start, until the process caught up.
    pub caught_up: TimeStats,
    /// Seconds from the end of the last fault until all reachable processes had the changes settled by then.
    pub converged: Option<f64>,
    /// Processes whose refusal the summary of the root listed.
    pub refusals_named: usize,
    /// Violated rules.
    #[serde(rename = "wrong")]
    pub violations: Violations,
}

/// Resources that the simulation itself used; not deterministic.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct RunCost {
    /// Seed of the run.
    pub seed: u64,
    /// Wall-clock time of the simulation.
    pub seconds: f64,
    /// Number of simulated events.
    pub events: u64,
    /// CPU time of the node, publisher and voter code alone, without sockets: millionths of a core for one
    /// process, by role, estimated from a sample of calls.
    pub decisions: BTreeMap<String, f64>,
    /// Estimated bytes of the state of one process, by role.
    pub memory: BTreeMap<String, f64>,
    /// Resident memory of the simulating process, in bytes.
    pub resident: u64,
}

/// Sorts the durations and computes their distribution; zeros for none.
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
    /// Text of the report.
    pub fn summary(&self) -> String {
        let relays = match self.relays_per_site {
            0 => "direct".into(),
            relays => format!("{relays} relays a site"),
        };
        let mut lines = format!(
            "seed {} (virtual, simulated): {} proxies, {relays}, {} s, {} changes\n  in force everywhere after: {} from the proposal; {} \
             from the commit; reported by the root's summary after {}\n  over {CONVERGENCE_TARGET} s: {} from the proposal, {} from the commit; unfinished {}, unreported {}; proposals \
             refused {}, unanswered {}\n",
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
                "  {role} ({}): {:.0} B/s of frames, {:.0} of headers, {:.0} of heartbeats, {:.1} messages a second; peak second {} B \
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
            "  new parent after {}, at most {} to the same one; caught up after {}; converged {converged}; {} calls to parents; refusals named {}; the root's summary at the \
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
            "  violations: {} version regressions, {} false claims of changes in force, {} not converged",
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
    /// One line of text.
    pub fn summary(&self) -> String {
        let per_role = |values: &BTreeMap<String, f64>, unit: &str| {
            values
                .iter()
                .map(|(role, value)| format!("{role} {value:.0} {unit}"))
                .collect::<Vec<_>>()
                .join(", ")
        };
        format!(
            "  cost (differs between runs): {:.1} s, {} events, {} MB resident; CPU without sockets: {}; state: {}\n",
            self.seconds,
            self.events,
            self.resident / 1_000_000,
            per_role(&self.decisions, "millionths of a core"),
            per_role(&self.memory, "B"),
        )
    }
}

/// HTML page of all runs of a plan.
pub fn html_page(plan: &Plan, runs: &[(Report, RunCost)]) -> String {
    let mut text = String::new();
    for (report, cost) in runs {
        text += &report.summary();
        text += &cost.summary();
    }
    let faults: Vec<String> = plan.faults.iter().map(Fault::describe).collect();
    format!(
        "<!doctype html><meta charset='utf-8'><title>scale</title><style>body{{font:13px sans-serif}}</style><h1>{} proxies, \
         {} control machines</h1><p>{}</p><p>Purges ({} a second) are not simulated.</p><pre>{}</pre><pre>{}</pre>\n",
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
