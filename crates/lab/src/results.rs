//! What a run gives: the JSON schema, described in `docs/experiments.md`, and the table for a terminal.

use crate::advertised_timeout::TimeoutCounts;
use crate::audit::Violation;
use serde::Serialize;
use std::fmt::Write;

/// Grows with every change that a reader of older results would stumble over.
pub const SCHEMA: u32 = 1;

/// All shares are between 0 and 1. `share` is the payoff that was earned within the objective over that asked
/// for; a wish and its retries count once.
#[derive(Clone, Debug, Serialize)]
pub struct Results {
    pub schema: u32,
    pub scenario: String,
    pub policy: String,
    /// `virtual` or `real`.
    pub clock: String,
    pub seed: u64,
    /// False where the load generator was late: then no figure here means anything.
    pub usable: bool,
    pub notes: Vec<String>,
    #[serde(rename = "wishes")]
    pub operations: u64,
    pub share: f64,
    pub worst_ten_seconds: f64,
    pub hit_rate: f64,
    pub fetches_per_second: f64,
    #[serde(rename = "exchanges_per_wish")]
    pub requests_per_operation: f64,
    #[serde(rename = "tries_per_exchange")]
    pub attempts_per_request: f64,
    pub served: f64,
    pub late: f64,
    pub shed: f64,
    pub errored: f64,
    pub lost: f64,
    pub origin_stops: u64,
    #[serde(rename = "cold_nodes_buried")]
    pub cold_node_overloads: u64,
    pub routes: Vec<Group>,
    pub tenants: Vec<Group>,
    pub latency: Vec<Latency>,
    pub load: Load,
    pub recovery: Vec<Recovery>,
    pub seconds: Vec<Second>,
    /// What attempts told their servers of the time that clients had left.
    #[serde(rename = "time_told")]
    pub advertised_timeouts: TimeoutCounts,
    /// How often each was broken: values that were not made for their exchange first, then rules 1 to 4.
    #[serde(rename = "rules_broken")]
    pub violations_by_rule: [u64; 5],
    #[serde(rename = "broken")]
    pub violations: Vec<Violation>,
}

#[derive(Clone, Debug, Serialize)]
pub struct Group {
    pub name: String,
    pub share: f64,
    pub asked: f64,
    #[serde(rename = "wishes")]
    pub operations: u64,
}

/// From when the client meant to send to the last byte of the answer, of what was served.
#[derive(Clone, Debug, Serialize)]
pub struct Latency {
    pub route: String,
    pub count: u64,
    pub objective_ms: f64,
    pub p50_ms: f64,
    pub p90_ms: f64,
    pub p99_ms: f64,
    pub p999_ms: f64,
    pub max_ms: f64,
}

#[derive(Clone, Debug, Serialize)]
pub struct Load {
    pub busiest_to_mean: f64,
    /// The standard deviation over the mean.
    pub variation: f64,
    pub served_by_node: Vec<u64>,
}

#[derive(Clone, Debug, Serialize)]
pub struct Recovery {
    pub fault: String,
    pub at: f64,
    /// The lowest share of any second in the 30 s after it.
    pub lowest: f64,
    /// Until service was back within 0.02 of before; none where it never was, or nothing came before.
    pub seconds: Option<f64>,
}

#[derive(Clone, Debug, Serialize)]
pub struct Second {
    pub at: usize,
    pub share: f64,
    pub asked: f64,
    pub shed: u64,
    pub errored: u64,
    pub fetches: u64,
}

impl Results {
    pub fn rules_kept(&self) -> bool {
        self.violations_by_rule.iter().all(|&count| count == 0)
    }

    /// For a terminal.
    pub fn table(&self) -> String {
        let mut text = String::new();
        let kind = match self.clock.as_str() {
            "virtual" => "simulated, in virtual time",
            _ => "emulated, real proxies on loopback sockets",
        };
        let mut line = |line: String| writeln!(text, "{line}").expect("a string takes all");
        line(format!("{} with {}, seed {} ({kind})", self.scenario, self.policy, self.seed));
        line(format!("  payoff within the objective  {:.3}", self.share));
        line(format!("  in the worst ten seconds     {:.3}", self.worst_ten_seconds));
        let Results { served, late, shed, errored, lost, .. } = self;
        line(format!(
            "  of {} wishes: served {served:.3} (late {late:.3}), shed {shed:.3}, errored {errored:.3}, \
             lost {lost:.3}",
            self.operations
        ));
        line(format!(
            "  hit rate {:.3}, origin fetches {:.1}/s, tries per exchange {:.3}, exchanges per wish {:.3}",
            self.hit_rate, self.fetches_per_second, self.attempts_per_request, self.requests_per_operation
        ));
        line(format!(
            "  busiest node {:.2} of the mean; origin stopped {} times, cold nodes buried {}",
            self.load.busiest_to_mean, self.origin_stops, self.cold_node_overloads
        ));
        line(format!(
            "  {:<16} {:>7} {:>9} {:>9} {:>9} {:>9}",
            "route", "payoff", "p50 ms", "p99 ms", "p99.9 ms", "objective"
        ));
        for (group, latency) in self.routes.iter().zip(&self.latency) {
            let Latency { p50_ms, p99_ms, p999_ms, objective_ms, .. } = latency;
            line(format!(
                "  {:<16} {:>7.3} {p50_ms:>9.1} {p99_ms:>9.1} {p999_ms:>9.1} {objective_ms:>9.0}",
                group.name, group.share
            ));
        }
        for group in &self.tenants {
            line(format!("  tenant {:<9} {:>7.3}", group.name, group.share));
        }
        for Recovery { fault, at, lowest, seconds } in &self.recovery {
            let back =
                seconds.map_or("not back by the end".into(), |seconds| format!("back after {seconds:.0} s"));
            line(format!("  {at:>5.1} s {fault}: lowest second {lowest:.3}, {back}"));
        }
        let TimeoutCounts { first_attempts, first_excessive, retries, retries_excessive, worst_excess_ms } =
            self.advertised_timeouts;
        line(format!(
            "  told more time than was left: {first_excessive} of {first_attempts} first attempts, {retries_excessive} of \
             {retries} further ones, at most {worst_excess_ms} ms more"
        ));
        let [values, one, two, three, four] = self.violations_by_rule;
        line(if self.rules_kept() {
            "  rules: all four kept".into()
        } else {
            format!("  rules broken: 1 {one}x, 2 {two}x, 3 {three}x, 4 {four}x, wrong values {values}")
        });
        for violation in self.violations.iter().take(10) {
            let node = violation.node.as_deref().unwrap_or("-");
            line(format!(
                "    rule {} exchange {} node {node} at {:.3} s: {}",
                violation.rule, violation.request, violation.at, violation.description
            ));
        }
        for note in &self.notes {
            line(format!("  note: {note}"));
        }
        if !self.usable {
            line("  NOT USABLE: see the notes".into());
        }
        text
    }
}
