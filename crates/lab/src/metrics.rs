//! Counts what happens in a run, and computes its results.

use crate::audit::Auditor;
use crate::results::{Group, Latency, Load, Recovery, Results, SCHEMA, Second};
use hdrhistogram::Histogram;
use pumicebay_model::spec::Scenario;
use pumicebay_model::traffic::Operation;
use pumicebay_model::{Nanos, SECOND, millis, seconds};

/// The length of the window whose worst share is reported, in seconds.
const WORST_WINDOW_SECONDS: usize = 10;
/// Service has recovered when the payoff share over [`RECOVERY_WINDOW_SECONDS`] is at most this much below
/// its mean over the [`BASELINE_SECONDS`] before the fault.
const RECOVERY_TOLERANCE: f64 = 0.02;
const RECOVERY_WINDOW_SECONDS: usize = 3;
const BASELINE_SECONDS: usize = 5;

/// Counts of operations by outcome, and their payoff.
#[derive(Clone, Copy, Debug, Default)]
struct OutcomeCounts {
    /// The payoff of all operations, and of those that were served within the objective.
    asked: f64,
    earned: f64,
    operations: u64,
    served: u64,
    late: u64,
    shed: u64,
    errored: u64,
    lost: u64,
}

/// How an operation ended after all its retries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OperationOutcome {
    /// Served with a value, this long after the operation started.
    Served(Nanos),
    /// Rejected because of overload.
    Shed,
    /// Answered with an error.
    Errored,
    /// Not answered, or no proxy accepted a connection.
    Lost,
}

/// The counts of one run.
pub struct RunMetrics {
    scenario: Scenario,
    total: OutcomeCounts,
    seconds: Vec<OutcomeCounts>,
    routes: Vec<OutcomeCounts>,
    tenants: Vec<OutcomeCounts>,
    latency: Vec<Histogram<u64>>,
    /// Values served: by cache node, and by the origin in each second.
    served: Vec<u64>,
    fetches: Vec<u64>,
    /// Jobs of cache nodes that found the key, and those that did not.
    pub hits: u64,
    pub misses: u64,
    /// Requests that clients sent, retries included.
    pub requests: u64,
    /// Attempts that proxies sent to nodes and to the origin.
    pub attempts: u64,
    /// Requests that were shed, and that were answered with an error.
    pub shed: u64,
    pub errored: u64,
    /// Connections of clients that were refused.
    pub refused: u64,
    /// How often the origin stopped because of overload.
    pub origin_stops: u64,
    /// How often a cache node crashed from overload while cold.
    pub cold_node_overloads: u64,
    /// Log lines of all proxies.
    pub log_lines: u64,
}

impl RunMetrics {
    /// Empty counts for a run of this scenario.
    pub fn new(scenario: &Scenario) -> RunMetrics {
        let length = scenario.seconds.ceil() as usize;
        // Three significant digits, from 1 µs to 100 s.
        let histogram = || Histogram::new_with_bounds(1, 100_000_000, 3).expect("histogram bounds are valid");
        RunMetrics {
            total: OutcomeCounts::default(),
            seconds: vec![OutcomeCounts::default(); length],
            routes: vec![OutcomeCounts::default(); scenario.route.len()],
            tenants: vec![OutcomeCounts::default(); scenario.tenant.len()],
            latency: (0..scenario.route.len()).map(|_| histogram()).collect(),
            served: vec![0; scenario.nodes.count],
            fetches: vec![0; length],
            hits: 0,
            misses: 0,
            requests: 0,
            attempts: 0,
            shed: 0,
            errored: 0,
            refused: 0,
            origin_stops: 0,
            cold_node_overloads: 0,
            log_lines: 0,
            scenario: scenario.clone(),
        }
    }

    /// Counts an operation that ended. One that started in the warm-up is counted by second only.
    pub fn operation_finished(&mut self, operation: &Operation, outcome: OperationOutcome) {
        let route = &self.scenario.route[operation.route];
        let objective = millis(route.objective_ms);
        let add = |counts: &mut OutcomeCounts| {
            counts.asked += route.payoff;
            counts.operations += 1;
            match outcome {
                OperationOutcome::Served(latency) if latency <= objective => {
                    counts.earned += route.payoff;
                    counts.served += 1;
                }
                OperationOutcome::Served(_) => {
                    counts.served += 1;
                    counts.late += 1;
                }
                OperationOutcome::Shed => counts.shed += 1,
                OperationOutcome::Errored => counts.errored += 1,
                OperationOutcome::Lost => counts.lost += 1,
            }
        };
        if let Some(second) = self.seconds.get_mut((operation.start / SECOND) as usize) {
            add(second);
        }
        if operation.start < seconds(self.scenario.warm_up_seconds) {
            return;
        }
        add(&mut self.total);
        add(&mut self.routes[operation.route]);
        self.tenants.get_mut(operation.tenant).into_iter().for_each(add);
        if let OperationOutcome::Served(latency) = outcome {
            self.latency[operation.route].saturating_record((latency / 1000).max(1));
        }
    }

    /// Counts a value that a cache node served, or the origin if `node` is `None`.
    pub fn served(&mut self, now: Nanos, node: Option<usize>) {
        match node {
            Some(node) => self.served[node] += 1,
            None => {
                let second = self.fetches.get_mut((now / SECOND) as usize);
                second.into_iter().for_each(|second| *second += 1);
            }
        }
    }

    /// The results of the run from these counts and its auditor.
    pub fn results(&self, policy: &str, clock: &str, seed: u64, auditor: &Auditor) -> Results {
        let scenario = &self.scenario;
        let per_operation = |count: u64| count as f64 / self.total.operations.max(1) as f64;
        let reads = (self.hits + self.misses).max(1) as f64;
        let group = |(name, counts): (String, &OutcomeCounts)| Group {
            name,
            share: share(counts),
            asked: counts.asked,
            operations: counts.operations,
        };
        let second = |(at, counts): (usize, &OutcomeCounts)| Second {
            at,
            share: share(counts),
            asked: counts.asked,
            shed: counts.shed,
            errored: counts.errored + counts.lost,
            fetches: self.fetches[at],
        };
        let names = scenario.route.iter().map(|route| route.name.clone());
        let tenants = scenario.tenant.iter().map(|tenant| tenant.name.clone());
        Results {
            schema: SCHEMA,
            scenario: scenario.name.clone(),
            policy: policy.into(),
            clock: clock.into(),
            seed,
            usable: true,
            notes: Vec::new(),
            operations: self.total.operations,
            share: share(&self.total),
            worst_ten_seconds: self.worst_window_share(),
            hit_rate: self.hits as f64 / reads,
            fetches_per_second: self.fetches.iter().sum::<u64>() as f64 / scenario.seconds,
            requests_per_operation: self.requests as f64 / self.total_operations().max(1) as f64,
            attempts_per_request: self.attempts as f64 / self.requests.max(1) as f64,
            served: per_operation(self.total.served),
            late: per_operation(self.total.late),
            shed: per_operation(self.total.shed),
            errored: per_operation(self.total.errored),
            lost: per_operation(self.total.lost),
            origin_stops: self.origin_stops,
            cold_node_overloads: self.cold_node_overloads,
            routes: names.zip(&self.routes).map(group).collect(),
            tenants: tenants.zip(&self.tenants).map(group).collect(),
            latency: self.latencies(),
            load: self.load(),
            recovery: scenario.fault.iter().map(|fault| self.recovery(fault)).collect(),
            seconds: self.seconds.iter().enumerate().map(second).collect(),
            advertised_timeouts: auditor.advertised_timeouts,
            violations_by_rule: auditor.violations_by_rule,
            violations: auditor.violations.clone(),
        }
    }

    fn total_operations(&self) -> u64 {
        self.seconds.iter().map(|counts| counts.operations).sum()
    }

    fn worst_window_share(&self) -> f64 {
        let first = self.scenario.warm_up_seconds.ceil() as usize;
        let counted = self.seconds.get(first..).unwrap_or_default();
        let windows = counted.windows(WORST_WINDOW_SECONDS.min(counted.len()).max(1));
        windows.map(mean_share).fold(f64::INFINITY, f64::min).min(1.0)
    }

    fn latencies(&self) -> Vec<Latency> {
        let summarize = |(route, histogram): (&pumicebay_model::spec::Route, &Histogram<u64>)| {
            let quantile_ms = |quantile| histogram.value_at_quantile(quantile) as f64 / 1000.0;
            Latency {
                route: route.name.clone(),
                count: histogram.len(),
                objective_ms: route.objective_ms,
                p50_ms: quantile_ms(0.5),
                p90_ms: quantile_ms(0.9),
                p99_ms: quantile_ms(0.99),
                p999_ms: quantile_ms(0.999),
                max_ms: histogram.max() as f64 / 1000.0,
            }
        };
        self.scenario.route.iter().zip(&self.latency).map(summarize).collect()
    }

    fn load(&self) -> Load {
        let count = self.served.len().max(1) as f64;
        let mean = self.served.iter().sum::<u64>() as f64 / count;
        let busiest = self.served.iter().copied().max().unwrap_or(0) as f64;
        let squares = self.served.iter().map(|&served| (served as f64 - mean).powi(2)).sum::<f64>();
        let divisor = if mean > 0.0 { mean } else { 1.0 };
        Load {
            busiest_to_mean: busiest / divisor,
            variation: (squares / count).sqrt() / divisor,
            served_by_node: self.served.clone(),
        }
    }

    fn recovery(&self, fault: &pumicebay_model::faults::Fault) -> Recovery {
        let at = fault.start_seconds as usize;
        let from = at.saturating_sub(BASELINE_SECONDS).max(self.scenario.warm_up_seconds as usize);
        let before = self.seconds.get(from..at).filter(|counts| !counts.is_empty()).map(mean_share);
        // The fault can affect service from the second in which it starts.
        let later = self.seconds.get(at..).unwrap_or_default();
        let lowest = later.iter().take(30).map(share).fold(1.0, f64::min);
        let recovery_seconds = |before: f64| {
            // The first window at or after the first one below the baseline that is no longer below it.
            let down = |window: &[OutcomeCounts]| mean_share(window) < before - RECOVERY_TOLERANCE;
            let windows = later.windows(RECOVERY_WINDOW_SECONDS.min(later.len()).max(1));
            let below: Vec<bool> = windows.map(down).collect();
            match below.iter().position(|&down| down) {
                None => Some(0.0),
                Some(first) => {
                    let up = below[first..].iter().position(|&down| !down);
                    up.map(|up| (first + up) as f64)
                }
            }
        };
        Recovery {
            fault: fault.label(),
            at: fault.start_seconds,
            lowest,
            seconds: before.and_then(recovery_seconds),
        }
    }
}

fn share(counts: &OutcomeCounts) -> f64 {
    if counts.asked > 0.0 { counts.earned / counts.asked } else { 1.0 }
}

fn mean_share(parts: &[OutcomeCounts]) -> f64 {
    let sum = |field: fn(&OutcomeCounts) -> f64| parts.iter().map(field).sum::<f64>();
    let asked = sum(|counts| counts.asked);
    if asked > 0.0 { sum(|counts| counts.earned) / asked } else { 1.0 }
}
