//! Open-loop traffic: what clients request and when, independent of the results of earlier requests.

use crate::faults::FaultKind;
use crate::seeds::{Rng, rng, splitmix64};
use crate::spec::{RetryPolicy, Scenario};
use crate::{Nanos, millis, seconds};
use rand::RngExt;
use rand_distr::{Distribution, Exp1, Zipf};

/// How much longer than the overall timeout of its request a client waits for a response.
pub const CLIENT_TIMEOUT_MARGIN: Nanos = 100_000_000;
/// The connection refusals in a row, each by another proxy, after which a client gives up.
pub const MAX_CONNECTION_REFUSALS: usize = 4;

/// What a client wants done: its first request, and the same again in each retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Operation {
    /// When the client sends its first request.
    pub start: Nanos,
    /// Index of the route.
    pub route: usize,
    /// Index of the tenant; 0 if the scenario has none.
    pub tenant: usize,
    /// The key to read or write.
    pub key: u64,
    /// Size of the value in bytes.
    pub value_bytes: u64,
    /// Index of the proxy that gets the first request.
    pub proxy: usize,
}

/// One source of arrivals, with its own stream of random numbers: the scenario's usual traffic, a burst or a
/// scan.
struct ArrivalSource {
    rng: Rng,
    start: Nanos,
    end: Nanos,
    /// Its rate as a share of the usual one.
    rate_share: f64,
    /// The share of its operations that use one-off keys.
    one_off: f64,
    /// 0 for the usual traffic, otherwise the number of the fault, from 1.
    id: u64,
    /// The next arrival; None once the source has ended.
    next: Option<Operation>,
}

/// All operations of a scenario, in the order of their start, as an iterator.
pub struct Traffic {
    scenario: Scenario,
    zipf: Zipf<f64>,
    sources: Vec<ArrivalSource>,
    /// Hot keys: start, end, share of the operations, and key. They have a stream of random numbers of their
    /// own, so that a hot key changes nothing but keys.
    hot_keys: Vec<(Nanos, Nanos, f64, u64)>,
    hot_rng: Rng,
    /// Cumulative shares of the routes, up to 1.
    route_shares: Vec<f64>,
    /// Cumulative shares of the tenants, up to 1.
    tenant_shares: Vec<f64>,
}

impl Traffic {
    /// Creates the traffic of a scenario. The same seed gives the same operations.
    pub fn new(scenario: &Scenario, seed: u64) -> Traffic {
        let mut sources = vec![(0, seconds(scenario.seconds), 1.0, scenario.clients.one_off, 0)];
        let mut hot_keys = Vec::new();
        for (fault, number) in scenario.fault.iter().zip(1..) {
            let (start, end) = (fault.start_time(), fault.end_time().min(seconds(scenario.seconds)));
            match fault.kind {
                FaultKind::Burst => {
                    sources.push((start, end, fault.factor - 1.0, scenario.clients.one_off, number))
                }
                FaultKind::Scan => sources.push((start, end, fault.share, 1.0, number)),
                FaultKind::HotKey => hot_keys.push((start, end, fault.share, hot_key(number))),
                _ => {}
            }
        }
        let cumulative = |shares: Vec<f64>| {
            let total: f64 = shares.iter().sum();
            let add = |so_far: &mut f64, share: f64| {
                *so_far += share / total;
                Some(*so_far)
            };
            shares.into_iter().scan(0.0, add).collect::<Vec<f64>>()
        };
        let mut traffic = Traffic {
            zipf: Zipf::new(scenario.clients.keys as f64, scenario.clients.zipf)
                .expect("the scenario's keys and exponent were validated"),
            sources: Vec::new(),
            hot_keys,
            hot_rng: rng(seed, "hot", 0),
            route_shares: cumulative(scenario.route.iter().map(|route| route.share).collect()),
            tenant_shares: cumulative(scenario.tenant.iter().map(|tenant| tenant.share).collect()),
            scenario: scenario.clone(),
        };
        for (start, end, rate_share, one_off, id) in sources.into_iter().filter(|source| source.2 > 0.0) {
            let rng = rng(seed, "traffic", id);
            let mut source = ArrivalSource { rng, start, end, rate_share, one_off, id, next: None };
            traffic.advance(&mut source, start);
            traffic.sources.push(source);
        }
        traffic
    }

    /// Draws the source's next arrival after `at`: a Poisson process of changing rate, by thinning one of the
    /// source's highest rate.
    fn advance(&mut self, source: &mut ArrivalSource, mut at: Nanos) {
        let clients = &self.scenario.clients;
        let highest_rate = clients.rate * source.rate_share * (1.0 + clients.swing);
        loop {
            let gap: f64 = Exp1.sample(&mut source.rng);
            at += seconds(gap / highest_rate).max(1);
            if at >= source.end {
                source.next = None;
                return;
            }
            let phase = std::f64::consts::TAU * at as f64 / 1e9 / clients.swing_seconds;
            let rate = clients.rate * source.rate_share * (1.0 + clients.swing * phase.sin());
            if source.rng.random::<f64>() * highest_rate < rate {
                source.next = Some(self.draw_operation(source, at));
                return;
            }
        }
    }

    /// Draws the proxy of the first request. All are equally likely, except that the first one is
    /// `first_proxy_load` times as likely as each other.
    fn draw_proxy(&self, rng: &mut Rng) -> usize {
        let crate::spec::ProxySpec { count, first_proxy_load, .. } = self.scenario.proxies;
        if first_proxy_load == 1.0 {
            return rng.random_range(0..count);
        }
        let drawn = rng.random::<f64>() * (first_proxy_load + (count - 1) as f64) - first_proxy_load;
        if drawn < 0.0 { 0 } else { (1 + drawn as usize).min(count - 1) }
    }

    fn draw_operation(&self, source: &mut ArrivalSource, at: Nanos) -> Operation {
        debug_assert!(at >= source.start);
        let rng = &mut source.rng;
        let pick =
            |cumulative: &[f64], drawn: f64| cumulative.iter().position(|&share| drawn < share).unwrap_or(0);
        let (route, tenant) =
            (pick(&self.route_shares, rng.random()), pick(&self.tenant_shares, rng.random()));
        let rank = self.zipf.sample(rng) as u64;
        let drifted = rank + (self.scenario.clients.drift * at as f64 / 1e9) as u64;
        let is_one_off = rng.random::<f64>() < source.one_off;
        let random_key: u64 = rng.random();
        let key =
            if is_one_off { random_key | 1 << 63 } else { key_at_rank(drifted % self.scenario.clients.keys) };
        let proxy = self.draw_proxy(rng);
        Operation { start: at, route, tenant, key, value_bytes: value_bytes(&self.scenario, key), proxy }
    }
}

impl Iterator for Traffic {
    type Item = Operation;

    fn next(&mut self) -> Option<Operation> {
        let next_start =
            |source: &&mut ArrivalSource| source.next.map_or(Nanos::MAX, |operation| operation.start);
        let position = {
            let source = self.sources.iter_mut().min_by_key(|source| (next_start(source), source.id))?;
            let id = source.id;
            source.next?;
            self.sources.iter().position(|source| source.id == id)?
        };
        let mut source = self.sources.swap_remove(position);
        let mut operation = source.next.take()?;
        self.advance(&mut source, operation.start);
        self.sources.push(source);
        for &(start, end, share, key) in &self.hot_keys {
            let is_hot = self.hot_rng.random::<f64>() < share;
            if is_hot && (start..end).contains(&operation.start) {
                operation.key = key;
                operation.value_bytes = value_bytes(&self.scenario, key);
            }
        }
        Some(operation)
    }
}

/// The key that has this rank of popularity at the start of the scenario. Rank 1 is the most popular; ranks
/// are given modulo the number of keys, so that 0 is the least popular. Bit 63 is clear; it is set in one-off
/// keys.
pub fn key_at_rank(rank: u64) -> u64 {
    splitmix64(rank) >> 1
}

/// The key that a hot-key fault uses, by the fault's number.
fn hot_key(fault: u64) -> u64 {
    splitmix64(fault ^ 0xa5a5_0000_0000_0000) >> 1
}

/// The size of a key's value in bytes: 0.5 to 1.5 times the mean size, and always the same for a key.
pub fn value_bytes(scenario: &Scenario, key: u64) -> u64 {
    let part = (splitmix64(key ^ 0x517e) >> 11) as f64 / (1u64 << 53) as f64;
    (scenario.clients.size_kb * 1000.0 * (0.5 + part)) as u64
}

/// How long a client waits before its next retry, after `requests` of its requests for an operation were not
/// served; at least `retry_after`, which the proxy stated, if it backs off. None if it gives up.
pub fn retry_delay(scenario: &Scenario, rng: &mut Rng, requests: u32, retry_after: Nanos) -> Option<Nanos> {
    let clients = &scenario.clients;
    if requests > clients.retries {
        return None;
    }
    match clients.retry_policy {
        RetryPolicy::Never => None,
        RetryPolicy::AtOnce => Some(0),
        RetryPolicy::Backoff => {
            let backoff = clients.backoff_ms * f64::from(1u32 << (requests - 1).min(10));
            Some(millis(backoff * rng.random_range(0.5..1.5)).max(retry_after))
        }
    }
}
