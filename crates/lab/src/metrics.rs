//! Counts a day as it is played, and works out its results.

use crate::audit::Auditor;
use crate::results::{Group, Latency, Load, Recovery, Results, SCHEMA, Second};
use hdrhistogram::Histogram;
use pumicebay_model::spec::Scenario;
use pumicebay_model::traffic::Operation;
use pumicebay_model::{Nanos, SECOND, millis, seconds};

/// Windows over which the worst stretch is looked for, in seconds.
const WORST: usize = 10;
/// Service is back when its share over so many seconds is within this of what it was over so many before.
const BACK: f64 = 0.02;
const BACK_SECONDS: usize = 3;
const BEFORE_SECONDS: usize = 5;

#[derive(Clone, Copy, Debug, Default)]
struct Part {
    asked: f64,
    earned: f64,
    wishes: u64,
    served: u64,
    late: u64,
    shed: u64,
    errored: u64,
    lost: u64,
}

/// How a wish ended, all its retries taken together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    Served(Nanos),
    Shed,
    Errored,
    /// No answer, or nobody to ask.
    Lost,
}

pub struct Tally {
    day: Scenario,
    all: Part,
    seconds: Vec<Part>,
    routes: Vec<Part>,
    tenants: Vec<Part>,
    latency: Vec<Histogram<u64>>,
    /// By node, and at the origin by second.
    served: Vec<u64>,
    fetches: Vec<u64>,
    pub hits: u64,
    pub misses: u64,
    pub exchanges: u64,
    pub tries: u64,
    pub shed: u64,
    pub errored: u64,
    pub refused: u64,
    pub origin_stops: u64,
    pub buried: u64,
    pub log_lines: u64,
}

impl Tally {
    pub fn new(day: &Scenario) -> Tally {
        let length = day.seconds.ceil() as usize;
        // Three digits, from 1 µs to 100 s.
        let histogram = || Histogram::new_with_bounds(1, 100_000_000, 3).expect("sound bounds");
        Tally {
            all: Part::default(),
            seconds: vec![Part::default(); length],
            routes: vec![Part::default(); day.route.len()],
            tenants: vec![Part::default(); day.tenant.len()],
            latency: (0..day.route.len()).map(|_| histogram()).collect(),
            served: vec![0; day.nodes.count],
            fetches: vec![0; length],
            hits: 0,
            misses: 0,
            exchanges: 0,
            tries: 0,
            shed: 0,
            errored: 0,
            refused: 0,
            origin_stops: 0,
            buried: 0,
            log_lines: 0,
            day: day.clone(),
        }
    }

    /// A wish is over. What began in the warm-up is kept by second only.
    pub fn wish(&mut self, wish: &Operation, end: End) {
        let route = &self.day.route[wish.route];
        let objective = millis(route.objective_ms);
        let add = |part: &mut Part| {
            part.asked += route.payoff;
            part.wishes += 1;
            match end {
                End::Served(took) if took <= objective => {
                    part.earned += route.payoff;
                    part.served += 1;
                }
                End::Served(_) => {
                    part.served += 1;
                    part.late += 1;
                }
                End::Shed => part.shed += 1,
                End::Errored => part.errored += 1,
                End::Lost => part.lost += 1,
            }
        };
        if let Some(second) = self.seconds.get_mut((wish.start / SECOND) as usize) {
            add(second);
        }
        if wish.start < seconds(self.day.warm_up_seconds) {
            return;
        }
        add(&mut self.all);
        add(&mut self.routes[wish.route]);
        self.tenants.get_mut(wish.tenant).into_iter().for_each(add);
        if let End::Served(took) = end {
            self.latency[wish.route].saturating_record((took / 1000).max(1));
        }
    }

    /// A cache node answered with a value, or the origin did.
    pub fn served(&mut self, now: Nanos, node: Option<usize>) {
        match node {
            Some(node) => self.served[node] += 1,
            None => {
                let second = self.fetches.get_mut((now / SECOND) as usize);
                second.into_iter().for_each(|second| *second += 1);
            }
        }
    }

    /// What the day came to, by these counts and by its auditor.
    pub fn results(&self, policy: &str, clock: &str, seed: u64, auditor: &Auditor) -> Results {
        let day = &self.day;
        let per_wish = |count: u64| count as f64 / self.all.wishes.max(1) as f64;
        let reads = (self.hits + self.misses).max(1) as f64;
        let group = |(name, part): (String, &Part)| Group {
            name,
            share: share(part),
            asked: part.asked,
            wishes: part.wishes,
        };
        let second = |(at, part): (usize, &Part)| Second {
            at,
            share: share(part),
            asked: part.asked,
            shed: part.shed,
            errored: part.errored + part.lost,
            fetches: self.fetches[at],
        };
        let names = day.route.iter().map(|route| route.name.clone());
        let tenants = day.tenant.iter().map(|tenant| tenant.name.clone());
        Results {
            schema: SCHEMA,
            scenario: day.name.clone(),
            policy: policy.into(),
            clock: clock.into(),
            seed,
            usable: true,
            notes: Vec::new(),
            wishes: self.all.wishes,
            share: share(&self.all),
            worst_ten_seconds: self.worst(),
            hit_rate: self.hits as f64 / reads,
            fetches_per_second: self.fetches.iter().sum::<u64>() as f64 / day.seconds,
            exchanges_per_wish: self.exchanges as f64 / self.wishes_all().max(1) as f64,
            tries_per_exchange: self.tries as f64 / self.exchanges.max(1) as f64,
            served: per_wish(self.all.served),
            late: per_wish(self.all.late),
            shed: per_wish(self.all.shed),
            errored: per_wish(self.all.errored),
            lost: per_wish(self.all.lost),
            origin_stops: self.origin_stops,
            cold_nodes_buried: self.buried,
            routes: names.zip(&self.routes).map(group).collect(),
            tenants: tenants.zip(&self.tenants).map(group).collect(),
            latency: self.latencies(),
            load: self.load(),
            recovery: day.fault.iter().map(|fault| self.recovery(fault)).collect(),
            seconds: self.seconds.iter().enumerate().map(second).collect(),
            time_told: auditor.time_told,
            rules_broken: auditor.counts,
            broken: auditor.broken.clone(),
        }
    }

    fn wishes_all(&self) -> u64 {
        self.seconds.iter().map(|part| part.wishes).sum()
    }

    fn worst(&self) -> f64 {
        let first = self.day.warm_up_seconds.ceil() as usize;
        let counted = self.seconds.get(first..).unwrap_or_default();
        let windows = counted.windows(WORST.min(counted.len()).max(1));
        windows.map(mean_share).fold(f64::INFINITY, f64::min).min(1.0)
    }

    fn latencies(&self) -> Vec<Latency> {
        let one = |(route, histogram): (&pumicebay_model::spec::Route, &Histogram<u64>)| {
            let at = |part| histogram.value_at_quantile(part) as f64 / 1000.0;
            Latency {
                route: route.name.clone(),
                count: histogram.len(),
                objective_ms: route.objective_ms,
                p50_ms: at(0.5),
                p90_ms: at(0.9),
                p99_ms: at(0.99),
                p999_ms: at(0.999),
                max_ms: histogram.max() as f64 / 1000.0,
            }
        };
        self.day.route.iter().zip(&self.latency).map(one).collect()
    }

    fn load(&self) -> Load {
        let count = self.served.len().max(1) as f64;
        let mean = self.served.iter().sum::<u64>() as f64 / count;
        let most = self.served.iter().copied().max().unwrap_or(0) as f64;
        let squares = self.served.iter().map(|&served| (served as f64 - mean).powi(2)).sum::<f64>();
        let safe = if mean > 0.0 { mean } else { 1.0 };
        Load {
            busiest_to_mean: most / safe,
            variation: (squares / count).sqrt() / safe,
            served_by_node: self.served.clone(),
        }
    }

    fn recovery(&self, fault: &pumicebay_model::faults::Fault) -> Recovery {
        let at = fault.start_seconds as usize;
        let from = at.saturating_sub(BEFORE_SECONDS).max(self.day.warm_up_seconds as usize);
        let before = self.seconds.get(from..at).filter(|part| !part.is_empty()).map(mean_share);
        // The second in which it begins is the first that can suffer.
        let later = self.seconds.get(at..).unwrap_or_default();
        let lowest = later.iter().take(30).map(share).fold(1.0, f64::min);
        let back = |before: f64| {
            // Back for good: the first second from which the share stays up for some seconds, after the last
            // in the fault's first minute that is down.
            let down = |window: &[Part]| mean_share(window) < before - BACK;
            let windows = later.windows(BACK_SECONDS.min(later.len()).max(1));
            let fallen: Vec<bool> = windows.map(down).collect();
            match fallen.iter().position(|&down| down) {
                None => Some(0.0),
                Some(first) => {
                    let up = fallen[first..].iter().position(|&down| !down);
                    up.map(|up| (first + up) as f64)
                }
            }
        };
        Recovery { fault: fault.label(), at: fault.start_seconds, lowest, seconds: before.and_then(back) }
    }
}

fn share(part: &Part) -> f64 {
    if part.asked > 0.0 { part.earned / part.asked } else { 1.0 }
}

fn mean_share(parts: &[Part]) -> f64 {
    let sum = |field: fn(&Part) -> f64| parts.iter().map(field).sum::<f64>();
    let asked = sum(|part| part.asked);
    if asked > 0.0 { sum(|part| part.earned) / asked } else { 1.0 }
}
