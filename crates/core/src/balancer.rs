//! State and constructors of [`Balancer`], which makes a proxy's decisions. Create it with the settings, then
//! call the method for each event with the time at which it happened; the balancer acts by calling its
//! `Host`. The event methods and decisions are in [`policy`](crate::policy).
//!
//! In the normal case (PRESS) `replicas` maps a key to the cache nodes that hold it. The least loaded of them
//! serves; if it is past the load threshold T, the least loaded cache of all is added to the key's replicas.
//! A cache that lacks the key reports a miss, and the value is fetched from the origin. Everything else
//! handles failures and overload.

use crate::fetches::Fetches;
use crate::host::{Host, Nanos, Node, RequestId};
use crate::key_queues::KeyQueues;
use crate::nodes::{LoadIndex, NodeIndex, Nodes};
use crate::policy::{MAX_TABLE_KEYS, REPLICA_IDLE_TIMEOUT, REPORT_LIFETIME, TICK};
use crate::settings::Settings;
use crate::state::{
    DemandStats, MachineTypes, PolicySettings, RequestState, Route, Scratch, Tenants, TrafficStats,
};
use crate::superseded::Superseded;
use crate::table::ReplicaTable;
use hashbrown::HashMap;
use oorandom::Rand32;

/// The state of a proxy's decisions; its methods make them.
pub struct Balancer<H: Host, F: NodeIndex = LoadIndex> {
    /// Carries out the decisions.
    pub host: H,
    pub(crate) settings: PolicySettings,
    pub(crate) rng: Rand32,
    /// Burst credit for fetches that this proxy starts with: a random part of one fetch.
    pub(crate) first_fetch_credit: f64,
    pub(crate) now: Nanos,
    /// Each route, with the settings that it had before and that clients may still refer to.
    pub(crate) routes: Vec<Superseded<Nanos, Route>>,
    /// The number of proxies that share the nodes and the origin.
    pub(crate) proxy_count: f64,
    pub(crate) nodes: Nodes<F>,
    /// Traffic of all caches together: where a proxy sends little to each cache, all together still give
    /// enough samples.
    pub(crate) all_caches: TrafficStats,
    pub(crate) origin: Option<Node>,
    /// The caches that hold each key, as far as learned from placement.
    pub(crate) replicas: ReplicaTable,
    pub(crate) requests: HashMap<RequestId, RequestState>,
    pub(crate) fetches: Fetches,
    /// Requests that wait for a cache to have capacity.
    pub(crate) capacity_queue: Vec<RequestId>,
    /// Queues of requests that must keep their order, by key.
    pub key_queues: KeyQueues,
    pub(crate) tenants: Tenants,
    pub(crate) demand: DemandStats,
    pub(crate) machine_types: MachineTypes,
    /// Whether the proxy is about to end: then nothing waits and nothing is sent.
    pub(crate) stopping: bool,
    /// When to ask discovery for the node list; `Nanos::MAX` once asked.
    pub(crate) watch_at: Nanos,
    /// The delay after the next failure of that request.
    pub(crate) watch_backoff: Nanos,
    pub(crate) scratch: Scratch,
}

impl<H: Host> Balancer<H> {
    /// Creates the balancer with the default node index. `seed` seeds its random choices.
    pub fn new(host: H, settings: Settings, seed: u64, now: Nanos) -> Self {
        Balancer::with_index(host, settings, seed, now)
    }
}

impl<H: Host, F: NodeIndex> Balancer<H, F> {
    /// Creates the balancer with another node index.
    pub fn with_index(host: H, settings: Settings, seed: u64, now: Nanos) -> Self {
        let routes = Route::all_from(&settings);
        let mut balancer = Balancer {
            host,
            rng: Rand32::new(seed),
            first_fetch_credit: f64::from(Rand32::new(!seed).rand_float()),
            now,
            proxy_count: settings.number("fleet", 1.0),
            settings: PolicySettings::new(&settings, &routes),
            routes: routes.into_iter().map(Superseded::new).collect(),
            nodes: Nodes::new(settings.time("cold", 0), REPORT_LIFETIME),
            all_caches: TrafficStats::default(),
            origin: None,
            replicas: ReplicaTable::new(MAX_TABLE_KEYS, REPLICA_IDLE_TIMEOUT),
            requests: HashMap::new(),
            fetches: Fetches::default(),
            capacity_queue: Vec::new(),
            key_queues: KeyQueues::default(),
            tenants: Tenants::new(&settings),
            demand: DemandStats::default(),
            machine_types: MachineTypes::default(),
            stopping: false,
            watch_at: 0,
            watch_backoff: TICK,
            scratch: Scratch::default(),
        };
        balancer.tick();
        balancer
    }

    /// Takes the learned replicas of all keys; the balancer starts again without any.
    pub fn take_replicas(&mut self) -> ReplicaTable {
        std::mem::replace(&mut self.replicas, ReplicaTable::new(MAX_TABLE_KEYS, REPLICA_IDLE_TIMEOUT))
    }

    /// Replaces the learned replicas by those of another balancer. Nodes that are not serving are dropped
    /// when their key is next looked up.
    pub fn set_replicas(&mut self, replicas: ReplicaTable) {
        self.replicas = replicas;
    }

    /// Advances the time of the balancer and of its nodes.
    pub(crate) fn advance_to(&mut self, now: Nanos) {
        self.now = now;
        self.nodes.advance_to(now);
    }
}
