//! What a scenario says of its world. Every figure has a default; what can't be is named by its key.

use crate::faults::Fault;
use serde::Deserialize;

/// Declares a part of a scenario: its keys with their defaults, no others.
macro_rules! part {
    ($(#[$doc:meta])* $name:ident { $($(#[$field_doc:meta])* $field:ident: $kind:ty = $default:expr,)* }) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Deserialize)]
        #[serde(deny_unknown_fields, default)]
        pub struct $name { $($(#[$field_doc])* pub $field: $kind,)* }

        impl Default for $name {
            fn default() -> Self {
                $name { $($field: $default,)* }
            }
        }
    };
}

part! {
    /// A day: its world, and what goes wrong in it.
    Scenario {
        name: String = String::new(),
        /// Another file, whose keys hold where this has none.
        base: String = String::new(),
        /// One line that says what the day is for.
        about: String = String::new(),
        seed: u64 = 1,
        /// How long clients come, and how much of its start does not count.
        seconds: f64 = 30.0,
        warm_up_seconds: f64 = 3.0,
        proxies: Proxies = Proxies::default(),
        nodes: Nodes = Nodes::default(),
        origin: Origin = Origin::default(),
        clients: Clients = Clients::default(),
        network: Network = Network::default(),
        discovery: Discovery = Discovery::default(),
        route: Vec<Route> = vec![Route::default()],
        tenant: Vec<Tenant> = Vec::new(),
        fault: Vec<Fault> = Vec::new(),
        /// Ranges that `hunt` draws from: a key's path, and its least and most.
        ranges: std::collections::BTreeMap<String, (f64, f64)> = Default::default(),
    }
}

part! {
    Proxies {
        count: usize = 2,
        /// How many there are by their settings; 0 for as many as there are.
        said: usize = 0,
        /// How many times the traffic of any other the first has.
        busiest: f64 = 1.0,
        /// Upstream tries an exchange may have.
        tries: u32 = 4,
        probes: bool = true,
        /// Whether a shed client is told when to come back.
        pauses: bool = true,
        /// How long one that was killed stays away.
        restart_seconds: f64 = 1.0,
        /// On sockets: how long one may take until it answers, and until it ends once it was asked to.
        ready_seconds: f64 = 10.0,
        ends_seconds: f64 = 8.0,
        /// On sockets: whether they are a fleet, of which the first three vote.
        fleet: bool = false,
        /// Whether they replicate orders of maintenance, too.
        replication: bool = false,
    }
}

part! {
    Nodes {
        count: usize = 8,
        zones: usize = 1,
        cores: usize = 4,
        /// Exchanges served at once, and how many may wait.
        slots: usize = 8,
        waiting: usize = 64,
        memory_mb: f64 = 64.0,
        connections: usize = 1024,
        /// How long a new process takes to its full capacity, and the part that it has at first.
        warm_up_seconds: f64 = 10.0,
        start_capacity: f64 = 0.2,
        /// What a full waiting room adds to service times.
        crowd: f64 = 0.5,
        /// By how much machines differ, and how much exchanges do (the sigma of a log-normal).
        uneven: f64 = 0.1,
        chance: f64 = 0.4,
        /// A cold node falls over when it is offered more than this multiple of its capacity within the
        /// window; 0 for never.
        fall_multiple: f64 = 6.0,
        fall_seconds: f64 = 1.0,
        /// How long one that fell over stays down.
        down_seconds: f64 = 5.0,
        drain_grace_ms: f64 = 1000.0,
        /// How long an idle connection stays open.
        idle_seconds: f64 = 15.0,
    }
}

part! {
    Origin {
        slots: usize = 16,
        waiting: usize = 64,
        service_ms: f64 = 40.0,
        chance: f64 = 0.3,
        /// It stops when its line was full for so long, for so long.
        overrun_seconds: f64 = 2.0,
        stop_seconds: f64 = 3.0,
    }
}

/// When clients try again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Retry {
    Never,
    AtOnce,
    /// After a wait that doubles, or the pause that they were told.
    Wait,
}

part! {
    Clients {
        /// Exchanges a second, without their retries.
        rate: f64 = 400.0,
        /// The part of the rate by which it swings, and over how long.
        swing: f64 = 0.0,
        swing_seconds: f64 = 60.0,
        keys: u64 = 20_000,
        /// The exponent of the keys' popularity.
        zipf: f64 = 0.9,
        /// How many ranks the keys move down in popularity, a second.
        drift: f64 = 0.0,
        /// The part of exchanges for keys that nobody asks for again.
        one_off: f64 = 0.01,
        size_kb: f64 = 4.0,
        /// The part of the keys, most popular first, whose copies the nodes hold at the start.
        warm_keys: f64 = 1.0,
        retry: Retry = Retry::Wait,
        retries: u32 = 2,
        wait_ms: f64 = 100.0,
        /// How long it takes until a client whose proxy is gone tries another.
        notice_ms: f64 = 500.0,
    }
}

part! {
    Network {
        /// One way, within a zone; what another zone adds; the mean of what chance adds.
        delay_ms: f64 = 0.5,
        zone_delay_ms: f64 = 1.0,
        jitter_ms: f64 = 0.05,
    }
}

/// How proxies follow discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Follow {
    Push,
    Ask,
}

part! {
    Discovery {
        follow: Follow = Follow::Push,
        /// What passes until it knows that a node died, and until each proxy is told: this and up to twice it.
        notice_ms: f64 = 500.0,
        told_ms: f64 = 100.0,
    }
}

/// Whether an exchange may run again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Effect {
    Retriable,
    Deduped,
    NonRetriable,
}

/// Among which nodes a repeat is discarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Scope {
    Fleet,
    Zone,
}

part! {
    Route {
        name: String = "read".into(),
        /// Its part of the traffic, among all routes' parts.
        share: f64 = 1.0,
        effect: Effect = Effect::Retriable,
        scope: Scope = Scope::Fleet,
        window_seconds: f64 = 5.0,
        write: bool = false,
        objective_ms: f64 = 200.0,
        timeout_ms: f64 = 1000.0,
        payoff: f64 = 1.0,
        /// What one takes a warm node that is not crowded.
        service_ms: f64 = 4.0,
    }
}

part! {
    Tenant {
        name: String = String::new(),
        share: f64 = 1.0,
        /// Exchanges a second that it may ask for.
        quota: f64 = 1e9,
    }
}

/// What can't be: a key's path and why.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    pub key: String,
    pub why: String,
}

impl Scenario {
    /// All that is wrong with it.
    pub fn problems(&self) -> Vec<Problem> {
        let mut found = Vec::new();
        let mut need = |sound: bool, key: &str, why: &str| {
            if !sound {
                found.push(Problem { key: key.into(), why: why.into() });
            }
        };
        let more = |number: f64| number > 0.0 && number.is_finite();
        let part = |number: f64| (0.0..=1.0).contains(&number);
        need(more(self.seconds) && self.seconds <= 3600.0, "seconds", "expected more than 0, at most 3600");
        need(
            (0.0..self.seconds).contains(&self.warm_up_seconds),
            "warm_up_seconds",
            "expected 0 or more and less than seconds",
        );
        need((1..=10_000).contains(&self.proxies.count), "proxies.count", "expected 1 to 10000");
        need(self.proxies.said <= 10_000, "proxies.said", "expected 0 to 10000");
        need(
            more(self.proxies.busiest) && self.proxies.busiest <= 1000.0,
            "proxies.busiest",
            "expected more than 0, at most 1000",
        );
        need(self.proxies.tries > 0, "proxies.tries", "expected 1 or more");
        need(self.proxies.restart_seconds >= 0.0, "proxies.restart_seconds", "expected 0 or more");
        let waits = [self.proxies.ready_seconds, self.proxies.ends_seconds];
        need(
            waits.iter().all(|&wait| more(wait) && wait <= 600.0),
            "proxies.ready_seconds",
            "expected more than 0, at most 600, as for ends_seconds",
        );
        need(
            !self.proxies.fleet || self.proxies.count >= 3,
            "proxies.fleet",
            "expected three proxies or more",
        );
        need(
            !self.proxies.replication || self.proxies.fleet,
            "proxies.replication",
            "expected proxies.fleet beside it",
        );
        need((1..=100_000).contains(&self.nodes.count), "nodes.count", "expected 1 to 100000");
        need(self.nodes.zones > 0, "nodes.zones", "expected 1 or more");
        need(self.nodes.cores > 0, "nodes.cores", "expected 1 or more");
        need(self.nodes.slots > 0, "nodes.slots", "expected 1 or more");
        need(more(self.nodes.memory_mb), "nodes.memory_mb", "expected more than 0");
        need(
            more(self.nodes.start_capacity) && self.nodes.start_capacity <= 1.0,
            "nodes.start_capacity",
            "expected more than 0, at most 1",
        );
        need((0.0..1.0).contains(&self.nodes.uneven), "nodes.uneven", "expected 0 or more and less than 1");
        need((0.0..=3.0).contains(&self.nodes.chance), "nodes.chance", "expected 0 to 3");
        need((0.0..=3.0).contains(&self.origin.chance), "origin.chance", "expected 0 to 3");
        need(more(self.nodes.fall_seconds), "nodes.fall_seconds", "expected more than 0");
        need(more(self.nodes.idle_seconds), "nodes.idle_seconds", "expected more than 0");
        need(self.origin.slots > 0, "origin.slots", "expected 1 or more");
        need(more(self.origin.service_ms), "origin.service_ms", "expected more than 0");
        need(more(self.clients.rate), "clients.rate", "expected more than 0");
        need(part(self.clients.swing), "clients.swing", "expected 0 to 1");
        need(more(self.clients.swing_seconds), "clients.swing_seconds", "expected more than 0");
        need(self.clients.keys > 0, "clients.keys", "expected 1 or more");
        need((0.0..=5.0).contains(&self.clients.zipf), "clients.zipf", "expected 0 to 5");
        need(self.clients.drift >= 0.0, "clients.drift", "expected 0 or more");
        need(part(self.clients.one_off), "clients.one_off", "expected 0 to 1");
        need(part(self.clients.warm_keys), "clients.warm_keys", "expected 0 to 1");
        need(
            more(self.clients.size_kb) && self.clients.size_kb <= 40.0,
            "clients.size_kb",
            "expected more than 0, at most 40",
        );
        need(self.network.delay_ms >= 0.05, "network.delay_ms", "expected 0.05 or more");
        need(self.network.zone_delay_ms >= 0.0, "network.zone_delay_ms", "expected 0 or more");
        need(self.network.jitter_ms >= 0.0, "network.jitter_ms", "expected 0 or more");
        need(!self.route.is_empty(), "route", "expected one or more");
        for (at, route) in self.route.iter().enumerate() {
            let key = |field| format!("route.{at}.{field}");
            need(!route.name.is_empty(), &key("name"), "expected a text");
            need(more(route.share), &key("share"), "expected more than 0");
            need(more(route.objective_ms), &key("objective_ms"), "expected more than 0");
            let timeout = route.timeout_ms >= route.objective_ms && route.timeout_ms <= 60_000.0;
            need(timeout, &key("timeout_ms"), "expected objective_ms or more, at most 60000");
            need(more(route.service_ms), &key("service_ms"), "expected more than 0");
            need(route.payoff >= 0.0, &key("payoff"), "expected 0 or more");
        }
        for (at, tenant) in self.tenant.iter().enumerate() {
            need(!tenant.name.is_empty(), &format!("tenant.{at}.name"), "expected a text");
            need(more(tenant.share), &format!("tenant.{at}.share"), "expected more than 0");
            need(more(tenant.quota), &format!("tenant.{at}.quota"), "expected more than 0");
        }
        for (at, fault) in self.fault.iter().enumerate() {
            for (field, why) in fault.problems(self) {
                found.push(Problem { key: format!("fault.{at}.{field}"), why });
            }
        }
        found
    }

    /// The zone of a node, or of a proxy; the origin is in the first.
    pub fn zone(&self, number: usize) -> usize {
        number % self.nodes.zones
    }
}
