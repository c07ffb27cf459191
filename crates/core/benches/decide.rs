//! What a decision costs by the number of nodes: `cargo bench -p pumicebay-core --bench decide`.
//!
//! One proxy with a host that only notes its sends, Zipf-like keys of which the nodes hold all, half as many
//! requests in flight as there are nodes, at most 2,000, and time that passes at 20,000 requests a second.
//! Ticks count. Prints the mean, the longest turn (one call from outside) and heap allocations, each for one
//! request from its arrival to its outcome.

use pumicebay_core::settings::Value;
use pumicebay_core::{Ask, Balance, Host, Listed, Nanos, Node, Outcome, RequestId, Settings, Standing};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Zipf};
use stats_alloc::{INSTRUMENTED_SYSTEM, Region, StatsAlloc};
use std::alloc::System;
use std::collections::VecDeque;
use std::time::{Duration, Instant};

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

const SECOND: Nanos = 1_000_000_000;
const GAP: Nanos = 50_000;
const TICK: Nanos = SECOND / 10;
const KEYS: f64 = 100_000.0;

#[derive(Default)]
struct Sends {
    sent: Vec<(RequestId, Node)>,
    wakes: VecDeque<Nanos>,
}

impl Host for Sends {
    fn send(&mut self, id: RequestId, node: Node, _timeout: Nanos) {
        self.sent.push((id, node));
    }
    fn shed(&mut self, _xchg: RequestId, _pause: Nanos) {}
    fn error(&mut self, _xchg: RequestId) {}
    fn forget(&mut self, _xchg: RequestId) {}
    fn wake(&mut self, at: Nanos, token: u64) {
        if token == 0 {
            self.wakes.push_back(at);
        }
    }
    fn probe(&mut self, _node: Node) {}
    fn dismiss(&mut self, _node: Node) {}
    fn follow(&mut self) {}
    fn log(&mut self, _line: &str) {}
}

fn listed(node: Node, standing: Standing) -> Listed {
    let identity = 0x9e37_79b9_7f4a_7c15_u64.wrapping_mul(node as u64 + 1);
    Listed { identity, standing, origin: node == 0, ..Listed::default() }
}

fn settings() -> Settings {
    let mut settings = Settings::default();
    let base = [
        ("routes", Value::Number(1.0)),
        ("route.0.repeat", Value::Text("retriable".into())),
        ("route.0.objective", Value::Time(SECOND)),
        ("most_tries", Value::Number(4.0)),
        ("fleet", Value::Number(1.0)),
        ("probes", Value::Flag(true)),
        ("cold", Value::Time(20 * SECOND)),
        ("fall", Value::Time(SECOND)),
        ("start_capacity", Value::Number(0.1)),
    ];
    base.into_iter().for_each(|(name, value)| settings.put(name, value));
    settings
}

/// What happens beside the requests.
#[derive(Clone, Copy, PartialEq)]
enum Day {
    Calm,
    /// One node in a hundred leaves or comes back, each second.
    Flaps,
    /// Every key is new.
    OneOff,
    /// A quarter of all ask for one key.
    HotKey,
}

struct Cost {
    mean: Duration,
    longest: Duration,
    allocations: f64,
}

fn measure(nodes: usize, day: Day, exchanges: u64) -> Cost {
    let mut balance = Balance::new(Sends::default(), settings(), 1, 100 * SECOND);
    let mut now = 100 * SECOND;
    for node in 0..=nodes {
        balance.listed(now, node, listed(node, Standing::Ready));
    }
    balance.listed_all(&(0..=nodes).collect::<Vec<_>>());
    let (mut rng, zipf) = (ChaCha8Rng::seed_from_u64(1), Zipf::new(KEYS, 1.0).expect("a popularity"));
    let most = (nodes / 2 + 2).min(2000);
    let mut out = VecDeque::with_capacity(most + 1);
    balance.host.sent.reserve(most);
    let (mut spent, mut longest, mut flaps) = (Duration::ZERO, Duration::ZERO, 0);
    let warm = exchanges;
    let mut region = Region::new(ALLOCATOR);
    for id in 1..=warm + exchanges {
        now += GAP;
        let key = match day {
            Day::OneOff => id.wrapping_mul(0x9e37_79b9_7f4a_7c15),
            Day::HotKey if id % 4 == 0 => 7,
            _ => (zipf.sample(&mut rng) as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15),
        };
        if id == warm + 1 {
            (spent, longest) = (Duration::ZERO, Duration::ZERO);
            region = Region::new(ALLOCATOR);
        }
        let mut turn = |balance: &mut Balance<Sends>, act: &mut dyn FnMut(&mut Balance<Sends>)| {
            let begun = Instant::now();
            act(balance);
            let took = begun.elapsed();
            spent += took;
            longest = longest.max(took);
        };
        while balance.host.wakes.front().is_some_and(|at| *at <= now) {
            balance.host.wakes.pop_front();
            turn(&mut balance, &mut |balance| balance.woke(now, 0));
        }
        let second = SECOND * 100 / (nodes as u64).max(1);
        if day == Day::Flaps && now / second > (now - GAP) / second {
            flaps += 1;
            let node = 1 + flaps / 2 * 7 % nodes;
            let standing = if flaps % 2 == 1 { Standing::Gone } else { Standing::Ready };
            turn(&mut balance, &mut |balance| balance.listed(now, node, listed(node, standing)));
        }
        let ask = Ask { key: Some(key), grace: 2 * SECOND, ..Ask::default() };
        turn(&mut balance, &mut |balance| balance.arrived(now, id, ask));
        out.extend(balance.host.sent.drain(..));
        while out.len() > most {
            let Some((id, _)) = out.pop_front() else { break };
            turn(&mut balance, &mut |balance| balance.ended(now, id, 0, Outcome::Completed, true));
            out.extend(balance.host.sent.drain(..));
        }
    }
    let allocations = region.change().allocations as f64 / exchanges as f64;
    assert!(now > TICK);
    Cost { mean: spent / exchanges as u32, longest, allocations }
}

fn main() {
    println!("| nodes | day | µs an exchange | longest turn, µs | allocations an exchange |");
    println!("| --- | --- | --- | --- | --- |");
    let days = [
        (Day::Calm, "calm"),
        (Day::Flaps, "1% flap each second"),
        (Day::OneOff, "one-off keys"),
        (Day::HotKey, "one key takes a quarter"),
    ];
    for (day, name) in days {
        for nodes in [10, 100, 1000, 10_000] {
            let quick = std::env::args().any(|arg| arg == "--quick");
            let cost = measure(nodes, day, if quick { 2_000 } else { 60_000 });
            println!(
                "| {nodes} | {name} | {:.2} | {:.0} | {:.2} |",
                cost.mean.as_nanos() as f64 / 1000.0,
                cost.longest.as_nanos() as f64 / 1000.0,
                cost.allocations
            );
        }
    }
}
