//! The settings of a scenario file. Each value has a default; an invalid value is reported with its key.

use crate::faults::Fault;
use serde::Deserialize;

/// Declares a section of a scenario: a struct with a default for each field, which rejects unknown keys.
macro_rules! section {
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

section! {
    /// A scenario: its world, and the faults that occur in it.
    Scenario {
        /// The name in reports.
        name: String = String::new(),
        /// Path of another scenario file, whose values apply where this one sets none.
        base: String = String::new(),
        /// The purpose of the scenario, in one line.
        #[serde(rename = "about")]
        description: String = String::new(),
        /// The seed of all random numbers.
        seed: u64 = 1,
        /// How long clients send new requests.
        seconds: f64 = 30.0,
        /// The part at the start that does not count in the results.
        warm_up_seconds: f64 = 3.0,
        /// The proxies.
        proxies: ProxySpec = ProxySpec::default(),
        /// The cache nodes.
        nodes: NodeSpec = NodeSpec::default(),
        /// The origin.
        origin: OriginSpec = OriginSpec::default(),
        /// The clients and their traffic.
        clients: ClientSpec = ClientSpec::default(),
        /// The network.
        network: NetworkSpec = NetworkSpec::default(),
        /// The discovery service.
        discovery: DiscoverySpec = DiscoverySpec::default(),
        /// The routes, at least one.
        route: Vec<Route> = vec![Route::default()],
        /// The tenants; may be empty.
        tenant: Vec<Tenant> = Vec::new(),
        /// The faults, in any order.
        fault: Vec<Fault> = Vec::new(),
        /// Ranges from which the lab's `hunt` command draws values: path of the key, lower and upper bound.
        ranges: std::collections::BTreeMap<String, (f64, f64)> = Default::default(),
    }
}

section! {
    /// The settings of the proxies.
    ProxySpec {
        /// The number of proxies.
        count: usize = 2,
        /// The number of proxies that each proxy's settings state; 0 for the actual number.
        #[serde(rename = "said")]
        configured_count: usize = 0,
        /// The traffic of the first proxy as a multiple of that of each other proxy.
        #[serde(rename = "busiest")]
        first_proxy_load: f64 = 1.0,
        /// Upstream attempts that a request may have.
        #[serde(rename = "tries")]
        max_attempts: u32 = 4,
        /// Whether proxies may probe nodes.
        probes: bool = true,
        /// Whether a response that sheds a request tells the client when to retry.
        #[serde(rename = "pauses")]
        retry_after: bool = true,
        /// How long a killed proxy stays down.
        restart_seconds: f64 = 1.0,
        /// On sockets: how long a proxy may take from its start until it answers.
        ready_seconds: f64 = 10.0,
        /// On sockets: how long a proxy may take from the request to stop until its process ends.
        #[serde(rename = "ends_seconds")]
        shutdown_seconds: f64 = 8.0,
        /// On sockets: whether the proxies form a fleet, with the first three as voters.
        fleet: bool = false,
        /// Whether the fleet also replicates maintenance orders.
        replication: bool = false,
    }
}

section! {
    /// The settings of the cache nodes.
    NodeSpec {
        /// The number of nodes, including those that join later.
        count: usize = 8,
        /// The number of zones, over which nodes and proxies are spread evenly.
        zones: usize = 1,
        /// Cores of each node. Service times grow once more jobs run than there are cores.
        cores: usize = 4,
        /// Jobs that a node executes at once.
        slots: usize = 8,
        /// Jobs that may wait for a slot.
        #[serde(rename = "waiting")]
        queue_capacity: usize = 64,
        /// The capacity of each node's store in MB (1,000,000 bytes).
        memory_mb: f64 = 64.0,
        /// Connections that a node accepts at once.
        #[serde(rename = "connections")]
        max_connections: usize = 1024,
        /// How long a new process takes to reach its full capacity.
        warm_up_seconds: f64 = 10.0,
        /// The share of its full capacity that a new process has at first.
        start_capacity: f64 = 0.2,
        /// The share by which a full queue lengthens service times; a partly filled one does so in
        /// proportion.
        #[serde(rename = "crowd")]
        queue_slowdown: f64 = 0.5,
        /// The largest deviation of a machine's service times from the nominal ones, as a share.
        #[serde(rename = "uneven")]
        speed_variation: f64 = 0.1,
        /// The sigma of the log-normal variation of service times.
        #[serde(rename = "chance")]
        service_time_sigma: f64 = 0.4,
        /// A cold node crashes when the work that arrives within the overload window exceeds this multiple of
        /// its capacity; 0 for never.
        #[serde(rename = "fall_multiple")]
        overload_multiple: f64 = 6.0,
        /// The length of the overload window.
        #[serde(rename = "fall_seconds")]
        overload_window_seconds: f64 = 1.0,
        /// How long a node stays down after it crashed from overload.
        down_seconds: f64 = 5.0,
        /// How long a draining node still takes new jobs.
        drain_grace_ms: f64 = 1000.0,
        /// How long an idle connection stays open.
        #[serde(rename = "idle_seconds")]
        idle_timeout_seconds: f64 = 15.0,
    }
}

section! {
    /// The settings of the origin.
    OriginSpec {
        /// Jobs that it executes at once.
        slots: usize = 16,
        /// Jobs that may wait for a slot.
        #[serde(rename = "waiting")]
        queue_capacity: usize = 64,
        /// The mean service time.
        service_ms: f64 = 40.0,
        /// The sigma of the log-normal variation of service times.
        #[serde(rename = "chance")]
        service_time_sigma: f64 = 0.3,
        /// The origin crashes after its queue has been full for this long.
        #[serde(rename = "overrun_seconds")]
        overload_seconds: f64 = 2.0,
        /// How long it stays down after a crash.
        #[serde(rename = "stop_seconds")]
        down_seconds: f64 = 3.0,
    }
}

/// When clients retry a request that was not served.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RetryPolicy {
    /// Clients do not retry.
    Never,
    /// Without a delay.
    AtOnce,
    /// After an exponential backoff with jitter, or the delay that the proxy stated if that is longer.
    #[serde(rename = "wait")]
    Backoff,
}

section! {
    /// The settings of the clients and their traffic.
    ClientSpec {
        /// New requests a second, without retries.
        rate: f64 = 400.0,
        /// The amplitude of a sinusoidal change of the rate, as a share of the rate.
        swing: f64 = 0.0,
        /// The period of that change.
        swing_seconds: f64 = 60.0,
        /// The number of keys, apart from one-off keys.
        keys: u64 = 20_000,
        /// The exponent of the Zipf distribution of the keys' popularity.
        zipf: f64 = 0.9,
        /// How many ranks down in popularity the keys move each second.
        drift: f64 = 0.0,
        /// The share of requests for keys that are requested only once.
        one_off: f64 = 0.01,
        /// The mean size of a value in kB (1000 bytes).
        size_kb: f64 = 4.0,
        /// The share of the keys, most popular first, that the nodes hold at the start.
        warm_keys: f64 = 1.0,
        /// When clients retry.
        #[serde(rename = "retry")]
        retry_policy: RetryPolicy = RetryPolicy::Backoff,
        /// Retries of a request before the client gives up.
        retries: u32 = 2,
        /// The mean backoff before the first retry; it doubles with each further one.
        #[serde(rename = "wait_ms")]
        backoff_ms: f64 = 100.0,
        /// How long a client takes to notice that its proxy is gone and to turn to another.
        #[serde(rename = "notice_ms")]
        failover_ms: f64 = 500.0,
    }
}

section! {
    /// The settings of the network.
    NetworkSpec {
        /// The one-way delay within a zone.
        delay_ms: f64 = 0.5,
        /// The additional one-way delay between zones.
        zone_delay_ms: f64 = 1.0,
        /// The mean of the exponentially distributed jitter that is added.
        jitter_ms: f64 = 0.05,
    }
}

/// How proxies learn of changes from discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DiscoveryMode {
    /// Discovery sends each change.
    Push,
    /// The proxies request the changes.
    #[serde(rename = "ask")]
    Poll,
}

section! {
    /// The settings of the discovery service.
    DiscoverySpec {
        /// How proxies learn of changes.
        #[serde(rename = "follow")]
        mode: DiscoveryMode = DiscoveryMode::Push,
        /// How long discovery takes to notice that a node has started or died.
        #[serde(rename = "notice_ms")]
        detection_ms: f64 = 500.0,
        /// The lower bound of the time until a proxy receives a change; the upper bound is twice this.
        #[serde(rename = "told_ms")]
        propagation_ms: f64 = 100.0,
    }
}

/// Whether a request may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RetrySafety {
    /// It may be executed any number of times.
    Retriable,
    /// A repetition within the deduplication window and scope is discarded.
    Deduped,
    /// It must not be executed twice.
    NonRetriable,
}

/// The nodes among which a repetition of a deduplicated request is discarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DedupScope {
    /// All nodes.
    Fleet,
    /// The nodes of one zone.
    Zone,
}

section! {
    /// A class of requests.
    Route {
        /// The name in settings and reports.
        name: String = "read".into(),
        /// Its weight in the traffic, relative to those of all routes.
        share: f64 = 1.0,
        /// Whether its requests may be executed more than once.
        #[serde(rename = "effect")]
        retry_safety: RetrySafety = RetrySafety::Retriable,
        /// The nodes among which a repetition is discarded.
        #[serde(rename = "scope")]
        dedup_scope: DedupScope = DedupScope::Fleet,
        /// How long after its first execution a repetition is discarded.
        #[serde(rename = "window_seconds")]
        dedup_window_seconds: f64 = 5.0,
        /// Whether its requests write values.
        write: bool = false,
        /// The latency objective.
        objective_ms: f64 = 200.0,
        /// The overall timeout of a request.
        timeout_ms: f64 = 1000.0,
        /// The value of one request that is served within the objective, relative to those of other routes.
        payoff: f64 = 1.0,
        /// The mean service time at a warm node without contention.
        service_ms: f64 = 4.0,
    }
}

section! {
    /// A tenant.
    Tenant {
        /// The name in settings and reports.
        name: String = String::new(),
        /// Its weight in the traffic, relative to those of all tenants.
        share: f64 = 1.0,
        /// Its quota in requests a second.
        quota: f64 = 1e9,
    }
}

/// An invalid value in a scenario.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ValidationError {
    /// The path of the key, such as `clients.rate`.
    pub key: String,
    /// What was expected instead.
    pub message: String,
}

impl Scenario {
    /// All values that are out of range or contradict each other; empty if the scenario is valid.
    pub fn validate(&self) -> Vec<ValidationError> {
        let mut errors = Vec::new();
        let mut check = |valid: bool, key: &str, message: &str| {
            if !valid {
                errors.push(ValidationError { key: key.into(), message: message.into() });
            }
        };
        let positive = |number: f64| number > 0.0 && number.is_finite();
        let is_share = |number: f64| (0.0..=1.0).contains(&number);
        check(
            positive(self.seconds) && self.seconds <= 3600.0,
            "seconds",
            "expected more than 0, at most 3600",
        );
        check(
            (0.0..self.seconds).contains(&self.warm_up_seconds),
            "warm_up_seconds",
            "expected 0 or more and less than seconds",
        );
        check((1..=10_000).contains(&self.proxies.count), "proxies.count", "expected 1 to 10000");
        check(self.proxies.configured_count <= 10_000, "proxies.said", "expected 0 to 10000");
        check(
            positive(self.proxies.first_proxy_load) && self.proxies.first_proxy_load <= 1000.0,
            "proxies.busiest",
            "expected more than 0, at most 1000",
        );
        check(self.proxies.max_attempts > 0, "proxies.tries", "expected 1 or more");
        check(self.proxies.restart_seconds >= 0.0, "proxies.restart_seconds", "expected 0 or more");
        let time_limits = [self.proxies.ready_seconds, self.proxies.shutdown_seconds];
        check(
            time_limits.iter().all(|&limit| positive(limit) && limit <= 600.0),
            "proxies.ready_seconds",
            "expected more than 0, at most 600, here and for ends_seconds",
        );
        check(
            !self.proxies.fleet || self.proxies.count >= 3,
            "proxies.fleet",
            "expected proxies.count to be 3 or more",
        );
        check(
            !self.proxies.replication || self.proxies.fleet,
            "proxies.replication",
            "expected proxies.fleet to be true",
        );
        check((1..=100_000).contains(&self.nodes.count), "nodes.count", "expected 1 to 100000");
        check(self.nodes.zones > 0, "nodes.zones", "expected 1 or more");
        check(self.nodes.cores > 0, "nodes.cores", "expected 1 or more");
        check(self.nodes.slots > 0, "nodes.slots", "expected 1 or more");
        check(positive(self.nodes.memory_mb), "nodes.memory_mb", "expected more than 0");
        check(
            positive(self.nodes.start_capacity) && self.nodes.start_capacity <= 1.0,
            "nodes.start_capacity",
            "expected more than 0, at most 1",
        );
        check(
            (0.0..1.0).contains(&self.nodes.speed_variation),
            "nodes.uneven",
            "expected 0 or more and less than 1",
        );
        check((0.0..=3.0).contains(&self.nodes.service_time_sigma), "nodes.chance", "expected 0 to 3");
        check((0.0..=3.0).contains(&self.origin.service_time_sigma), "origin.chance", "expected 0 to 3");
        check(positive(self.nodes.overload_window_seconds), "nodes.fall_seconds", "expected more than 0");
        check(positive(self.nodes.idle_timeout_seconds), "nodes.idle_seconds", "expected more than 0");
        check(self.origin.slots > 0, "origin.slots", "expected 1 or more");
        check(positive(self.origin.service_ms), "origin.service_ms", "expected more than 0");
        check(positive(self.clients.rate), "clients.rate", "expected more than 0");
        check(is_share(self.clients.swing), "clients.swing", "expected 0 to 1");
        check(positive(self.clients.swing_seconds), "clients.swing_seconds", "expected more than 0");
        check(self.clients.keys > 0, "clients.keys", "expected 1 or more");
        check((0.0..=5.0).contains(&self.clients.zipf), "clients.zipf", "expected 0 to 5");
        check(self.clients.drift >= 0.0, "clients.drift", "expected 0 or more");
        check(is_share(self.clients.one_off), "clients.one_off", "expected 0 to 1");
        check(is_share(self.clients.warm_keys), "clients.warm_keys", "expected 0 to 1");
        check(
            positive(self.clients.size_kb) && self.clients.size_kb <= 40.0,
            "clients.size_kb",
            "expected more than 0, at most 40",
        );
        check(self.network.delay_ms >= 0.05, "network.delay_ms", "expected 0.05 or more");
        check(self.network.zone_delay_ms >= 0.0, "network.zone_delay_ms", "expected 0 or more");
        check(self.network.jitter_ms >= 0.0, "network.jitter_ms", "expected 0 or more");
        check(!self.route.is_empty(), "route", "expected at least one route");
        for (index, route) in self.route.iter().enumerate() {
            let key = |field| format!("route.{index}.{field}");
            check(!route.name.is_empty(), &key("name"), "expected a non-empty name");
            check(positive(route.share), &key("share"), "expected more than 0");
            check(positive(route.objective_ms), &key("objective_ms"), "expected more than 0");
            let timeout = route.timeout_ms >= route.objective_ms && route.timeout_ms <= 60_000.0;
            check(timeout, &key("timeout_ms"), "expected objective_ms or more, at most 60000");
            check(positive(route.service_ms), &key("service_ms"), "expected more than 0");
            check(route.payoff >= 0.0, &key("payoff"), "expected 0 or more");
        }
        for (index, tenant) in self.tenant.iter().enumerate() {
            check(!tenant.name.is_empty(), &format!("tenant.{index}.name"), "expected a non-empty name");
            check(positive(tenant.share), &format!("tenant.{index}.share"), "expected more than 0");
            check(positive(tenant.quota), &format!("tenant.{index}.quota"), "expected more than 0");
        }
        for (index, fault) in self.fault.iter().enumerate() {
            for (field, message) in fault.validate(self) {
                errors.push(ValidationError { key: format!("fault.{index}.{field}"), message });
            }
        }
        errors
    }

    /// The zone of a node or a proxy, by its index. The origin is in zone 0.
    pub fn zone(&self, index: usize) -> usize {
        index % self.nodes.zones
    }
}
