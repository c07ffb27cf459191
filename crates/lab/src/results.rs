//! The results of a run: the JSON schema, described in `docs/experiments.md`, and the table for a terminal.

use crate::advertised_timeout::TimeoutCounts;
use crate::audit::Violation;
use serde::Serialize;
use std::fmt::Write;

/// The version of the JSON schema; grows with every incompatible change.
pub const SCHEMA: u32 = 1;

/// The results of one run. All shares are between 0 and 1. An operation (`wish` in the JSON) counts once,
/// together with its retries.
#[derive(Clone, Debug, Serialize)]
pub struct Results {
    pub schema: u32,
    pub scenario: String,
    pub policy: String,
    /// `virtual` or `real`.
    pub clock: String,
    pub seed: u64,
    /// False if the load generator fell behind, which makes all figures meaningless.
    pub usable: bool,
    /// Remarks for the reader, for example why the run is not usable.
    pub notes: Vec<String>,
    #[serde(rename = "wishes")]
    pub operations: u64,
    /// The payoff earned within the objective, as a share of the payoff of all operations.
    pub share: f64,
    /// The lowest mean of `share` over any ten seconds after the warm-up.
    pub worst_ten_seconds: f64,
    /// The share of the jobs at cache nodes that found their key.
    pub hit_rate: f64,
    pub fetches_per_second: f64,
    #[serde(rename = "exchanges_per_wish")]
    pub requests_per_operation: f64,
    #[serde(rename = "tries_per_exchange")]
    pub attempts_per_request: f64,
    /// Shares of the operations by outcome; `late` is the part of `served` that missed its objective.
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
    /// The timeouts that attempts advertised to their servers, compared with the time that clients had left.
    #[serde(rename = "time_told")]
    pub advertised_timeouts: TimeoutCounts,
    /// The number of values that were made for another request, then the violations of rules 1 to 4.
    #[serde(rename = "rules_broken")]
    pub violations_by_rule: [u64; 5],
    /// The first violations with their descriptions.
    #[serde(rename = "broken")]
    pub violations: Vec<Violation>,
}

/// The payoff of one route or tenant.
#[derive(Clone, Debug, Serialize)]
pub struct Group {
    pub name: String,
    pub share: f64,
    /// The payoff of all operations.
    pub asked: f64,
    #[serde(rename = "wishes")]
    pub operations: u64,
}

/// Latencies of the served operations of a route, from the intended start of the operation to the last byte
/// of the answer.
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

/// How evenly the cache nodes were loaded.
#[derive(Clone, Debug, Serialize)]
pub struct Load {
    /// The values served by the busiest node, as a ratio to the mean.
    pub busiest_to_mean: f64,
    /// The coefficient of variation: the standard deviation divided by the mean.
    pub variation: f64,
    pub served_by_node: Vec<u64>,
}

/// How service recovered from a fault.
#[derive(Clone, Debug, Serialize)]
pub struct Recovery {
    pub fault: String,
    /// When the fault starts, in seconds.
    pub at: f64,
    /// The lowest share of any second in the 30 s from its start.
    pub lowest: f64,
    /// Seconds until the share was within 0.02 of its value before the fault; `None` if it did not recover,
    /// or if nothing was measured before.
    pub seconds: Option<f64>,
}

/// The figures of one second of the run.
#[derive(Clone, Debug, Serialize)]
pub struct Second {
    pub at: usize,
    pub share: f64,
    pub asked: f64,
    pub shed: u64,
    pub errored: u64,
    /// Values that the origin served.
    pub fetches: u64,
}

impl Results {
    /// Whether no rule was broken and every value was made for its request.
    pub fn rules_kept(&self) -> bool {
        self.violations_by_rule.iter().all(|&count| count == 0)
    }

    /// A table for a terminal.
    pub fn table(&self) -> String {
        let mut text = String::new();
        let kind = match self.clock.as_str() {
            "virtual" => "simulated, in virtual time",
            _ => "emulated, real proxies on loopback sockets",
        };
        let mut push_line = |line: String| writeln!(text, "{line}").expect("writing to a string cannot fail");
        push_line(format!("{} with {}, seed {} ({kind})", self.scenario, self.policy, self.seed));
        push_line(format!("  payoff within the objective  {:.3}", self.share));
        push_line(format!("  in the worst ten seconds     {:.3}", self.worst_ten_seconds));
        let Results { served, late, shed, errored, lost, .. } = self;
        push_line(format!(
            "  of {} wishes: served {served:.3} (late {late:.3}), shed {shed:.3}, errored {errored:.3}, \
             lost {lost:.3}",
            self.operations
        ));
        push_line(format!(
            "  hit rate {:.3}, origin fetches {:.1}/s, tries per exchange {:.3}, exchanges per wish {:.3}",
            self.hit_rate, self.fetches_per_second, self.attempts_per_request, self.requests_per_operation
        ));
        push_line(format!(
            "  busiest node {:.2} of the mean; origin stopped {} times, cold nodes buried {}",
            self.load.busiest_to_mean, self.origin_stops, self.cold_node_overloads
        ));
        push_line(format!(
            "  {:<16} {:>7} {:>9} {:>9} {:>9} {:>9}",
            "route", "payoff", "p50 ms", "p99 ms", "p99.9 ms", "objective"
        ));
        for (group, latency) in self.routes.iter().zip(&self.latency) {
            let Latency { p50_ms, p99_ms, p999_ms, objective_ms, .. } = latency;
            push_line(format!(
                "  {:<16} {:>7.3} {p50_ms:>9.1} {p99_ms:>9.1} {p999_ms:>9.1} {objective_ms:>9.0}",
                group.name, group.share
            ));
        }
        for group in &self.tenants {
            push_line(format!("  tenant {:<9} {:>7.3}", group.name, group.share));
        }
        for Recovery { fault, at, lowest, seconds } in &self.recovery {
            let recovery = seconds.map_or("not recovered by the end".into(), |seconds| {
                format!("recovered after {seconds:.0} s")
            });
            push_line(format!("  {at:>5.1} s {fault}: lowest second {lowest:.3}, {recovery}"));
        }
        let TimeoutCounts { first_attempts, first_excessive, retries, retries_excessive, worst_excess_ms } =
            self.advertised_timeouts;
        push_line(format!(
            "  timeouts longer than the time left: {first_excessive} of {first_attempts} first attempts, {retries_excessive} of \
             {retries} further ones, at most {worst_excess_ms} ms longer"
        ));
        let [values, one, two, three, four] = self.violations_by_rule;
        push_line(if self.rules_kept() {
            "  rules: all four kept".into()
        } else {
            format!("  rules broken: 1 {one}x, 2 {two}x, 3 {three}x, 4 {four}x, wrong values {values}")
        });
        for violation in self.violations.iter().take(10) {
            let node = violation.node.as_deref().unwrap_or("-");
            push_line(format!(
                "    rule {} exchange {} node {node} at {:.3} s: {}",
                violation.rule, violation.request, violation.at, violation.description
            ));
        }
        for note in &self.notes {
            push_line(format!("  note: {note}"));
        }
        if !self.usable {
            push_line("  NOT USABLE: see the notes".into());
        }
        text
    }
}
