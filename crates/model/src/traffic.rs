//! Open-loop arrivals: what clients ask for and when, whatever becomes of what they asked before.

use crate::faults::Kind;
use crate::seeds::{Rng, mix, rng};
use crate::spec::{Retry, Scenario};
use crate::{Nanos, millis, seconds};
use rand::RngExt;
use rand_distr::{Distribution, Exp1, Zipf};

/// How much longer than its exchange's overall timeout a client listens.
pub const LISTENS: Nanos = 100_000_000;
/// Proxies that a client asks in a row when all refuse it.
pub const ASKS: usize = 4;

/// What a client asks for first; its retries ask for the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Wish {
    pub at: Nanos,
    pub route: usize,
    pub tenant: usize,
    pub key: u64,
    /// The bytes of the value.
    pub size: u64,
    /// The proxy that it asks first.
    pub proxy: usize,
}

/// One source of arrivals: the day's own, a burst or a scan, each with its own draws.
struct Source {
    rng: Rng,
    from: Nanos,
    until: Nanos,
    /// Its part of the usual rate.
    part: f64,
    one_off: f64,
    number: u64,
    next: Option<Wish>,
}

pub struct Traffic {
    day: Scenario,
    zipf: Zipf<f64>,
    sources: Vec<Source>,
    /// Keys that are hot for a while: from, until, and the part of exchanges for each; with draws of their own.
    hot: Vec<(Nanos, Nanos, f64, u64)>,
    hot_rng: Rng,
    routes: Vec<f64>,
    tenants: Vec<f64>,
}

impl Traffic {
    pub fn new(day: &Scenario, seed: u64) -> Traffic {
        let mut sources = vec![(0, seconds(day.seconds), 1.0, day.clients.one_off, 0)];
        let mut hot = Vec::new();
        for (fault, number) in day.fault.iter().zip(1..) {
            let (from, until) = (fault.begins(), fault.ends().min(seconds(day.seconds)));
            match fault.kind {
                Kind::Burst => sources.push((from, until, fault.factor - 1.0, day.clients.one_off, number)),
                Kind::Scan => sources.push((from, until, fault.share, 1.0, number)),
                Kind::HotKey => hot.push((from, until, fault.share, hot_key(number))),
                _ => {}
            }
        }
        let sums = |shares: Vec<f64>| {
            let sum: f64 = shares.iter().sum();
            let add = |so_far: &mut f64, share: f64| {
                *so_far += share / sum;
                Some(*so_far)
            };
            shares.into_iter().scan(0.0, add).collect::<Vec<f64>>()
        };
        let mut traffic = Traffic {
            zipf: Zipf::new(day.clients.keys as f64, day.clients.zipf).expect("a checked popularity"),
            sources: Vec::new(),
            hot,
            hot_rng: rng(seed, "hot", 0),
            routes: sums(day.route.iter().map(|route| route.share).collect()),
            tenants: sums(day.tenant.iter().map(|tenant| tenant.share).collect()),
            day: day.clone(),
        };
        for (from, until, part, one_off, number) in sources.into_iter().filter(|source| source.2 > 0.0) {
            let rng = rng(seed, "traffic", number);
            let mut source = Source { rng, from, until, part, one_off, number, next: None };
            traffic.advance(&mut source, from);
            traffic.sources.push(source);
        }
        traffic
    }

    /// Draws the source's next arrival, by thinning the highest rate that it has.
    fn advance(&mut self, source: &mut Source, mut at: Nanos) {
        let clients = &self.day.clients;
        let highest = clients.rate * source.part * (1.0 + clients.swing);
        loop {
            let gap: f64 = Exp1.sample(&mut source.rng);
            at += seconds(gap / highest).max(1);
            if at >= source.until {
                source.next = None;
                return;
            }
            let turn = std::f64::consts::TAU * at as f64 / 1e9 / clients.swing_seconds;
            let rate = clients.rate * source.part * (1.0 + clients.swing * turn.sin());
            if source.rng.random::<f64>() * highest < rate {
                source.next = Some(self.draw(source, at));
                return;
            }
        }
    }

    /// The proxy that is asked first: any as likely, or the first so many times as likely as another.
    fn proxy(&self, rng: &mut Rng) -> usize {
        let crate::spec::Proxies { count, busiest, .. } = self.day.proxies;
        if busiest == 1.0 {
            return rng.random_range(0..count);
        }
        let drawn = rng.random::<f64>() * (busiest + (count - 1) as f64) - busiest;
        if drawn < 0.0 { 0 } else { (1 + drawn as usize).min(count - 1) }
    }

    fn draw(&self, source: &mut Source, at: Nanos) -> Wish {
        debug_assert!(at >= source.from);
        let rng = &mut source.rng;
        let pick = |sums: &[f64], draw: f64| sums.iter().position(|&sum| draw < sum).unwrap_or(0);
        let (route, tenant) = (pick(&self.routes, rng.random()), pick(&self.tenants, rng.random()));
        let rank = self.zipf.sample(rng) as u64;
        let drifted = rank + (self.day.clients.drift * at as f64 / 1e9) as u64;
        let once = rng.random::<f64>() < source.one_off;
        let fresh: u64 = rng.random();
        let key = if once { fresh | 1 << 63 } else { key(drifted % self.day.clients.keys) };
        let proxy = self.proxy(rng);
        Wish { at, route, tenant, key, size: size(&self.day, key), proxy }
    }
}

impl Iterator for Traffic {
    type Item = Wish;

    fn next(&mut self) -> Option<Wish> {
        let first = |source: &&mut Source| source.next.map_or(Nanos::MAX, |wish| wish.at);
        let place = {
            let source = self.sources.iter_mut().min_by_key(|source| (first(source), source.number))?;
            let number = source.number;
            source.next?;
            self.sources.iter().position(|source| source.number == number)?
        };
        let mut source = self.sources.swap_remove(place);
        let mut wish = source.next.take()?;
        self.advance(&mut source, wish.at);
        self.sources.push(source);
        for &(from, until, share, key) in &self.hot {
            let drawn = self.hot_rng.random::<f64>() < share;
            if drawn && (from..until).contains(&wish.at) {
                wish.key = key;
                wish.size = size(&self.day, key);
            }
        }
        Some(wish)
    }
}

/// The key of so popular a rank at the start of the day.
pub fn key(rank: u64) -> u64 {
    mix(rank) >> 1
}

fn hot_key(fault: u64) -> u64 {
    mix(fault ^ 0xa5a5_0000_0000_0000) >> 1
}

/// The bytes of a key's value: half to one and a half times the usual, the same each time.
pub fn size(day: &Scenario, key: u64) -> u64 {
    let part = (mix(key ^ 0x517e) >> 11) as f64 / (1u64 << 53) as f64;
    (day.clients.size_kb * 1000.0 * (0.5 + part)) as u64
}

/// When a client tries again whose try so many came to nothing, by the rules of the scenario.
pub fn again(day: &Scenario, rng: &mut Rng, tries: u32, pause: Nanos) -> Option<Nanos> {
    let clients = &day.clients;
    if tries > clients.retries {
        return None;
    }
    match clients.retry {
        Retry::Never => None,
        Retry::AtOnce => Some(0),
        Retry::Wait => {
            let wait = clients.wait_ms * f64::from(1u32 << (tries - 1).min(10));
            Some(millis(wait * rng.random_range(0.5..1.5)).max(pause))
        }
    }
}
